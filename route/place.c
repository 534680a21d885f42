#include <stdint.h>

#include "route/route.h"

/* Under what the users' bound allows (2 x mean + 3), as views are late. */
const struct place_limits place_limits_default = {
	.factor = 1.6,
	.slack = 2,
};

/* Weight of the candidate for the key; see route_order. */
static uint64_t weight(uint64_t key, uint64_t id)
{
	struct route_rank r = {id, 0, 0};

	route_order(key, &r, 1);
	return r.score;
}

static double mean_load(const struct place_target *t, size_t n, bool aside)
{
	double sum = 0;
	size_t k = 0;

	for (size_t i = 0; i < n; i++) {
		if (t[i].aside && !aside)
			continue;
		sum += t[i].load;
		k++;
	}
	return k ? sum / (double)k : -1;
}

static size_t best_of_key(const struct place_target *t, size_t n, bool aside,
			  uint64_t key, double bound)
{
	size_t best = SIZE_MAX;
	uint64_t top = 0;

	for (size_t i = 0; i < n; i++) {
		uint64_t w;

		if ((t[i].aside && !aside) || t[i].load + 1 > bound)
			continue;
		w = weight(key, t[i].id);
		if (best == SIZE_MAX || w > top) {
			best = i;
			top = w;
		}
	}
	return best;
}

static size_t least(const struct place_target *t, size_t n, bool aside,
		    struct route_random random)
{
	size_t best = SIZE_MAX;
	unsigned ties = 0;

	for (size_t i = 0; i < n; i++) {
		if (t[i].aside && !aside)
			continue;
		if (best != SIZE_MAX && t[i].load > t[best].load)
			continue;
		if (best == SIZE_MAX || t[i].load < t[best].load)
			ties = 0;
		ties++;
		/* Each of those that tie wins with the same chance. */
		if (ties == 1 || random.next(random.ctx) * ties < 1)
			best = i;
	}
	return best;
}

size_t place_choose(const struct place_limits *l, uint64_t key,
		    const struct place_target *t, size_t n,
		    struct route_random random)
{
	double mean = mean_load(t, n, false);
	bool aside = mean < 0;
	size_t i = SIZE_MAX;

	if (aside)
		mean = mean_load(t, n, true);
	if (mean < 0)
		return SIZE_MAX;
	if (key)
		i = best_of_key(t, n, aside, key, mean * l->factor + l->slack);
	return i != SIZE_MAX ? i : least(t, n, aside, random);
}
