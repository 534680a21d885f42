/* Power of two choices: load balancing without the target's owner. */
#include "route/route.h"

static int64_t load(const struct p2c_load *l)
{
	return l->work + l->sent_work;
}

static size_t pick_random(size_t n, struct route_random random)
{
	size_t i = (size_t)(random.next(random.ctx) * (double)n);

	return i < n ? i : n - 1;
}

size_t p2c_choose(const struct p2c_load *l, size_t n, size_t preferred,
		  int64_t bound, struct route_random random)
{
	size_t a = preferred;
	size_t b = pick_random(n, random);

	if (a < n && load(&l[a]) < bound)
		return a;
	if (a >= n)
		a = pick_random(n, random);
	return load(&l[a]) < load(&l[b]) ? a : b;
}
