#include <stdlib.h>
#include <xxhash.h>

#include "route/route.h"

static int compare(const void *a, const void *b)
{
	const struct route_rank *x = a, *y = b;

	if (x->score != y->score)
		return x->score < y->score ? 1 : -1;
	return x->id < y->id ? -1 : x->id > y->id;
}

void route_order(uint64_t key, struct route_rank *r, size_t n)
{
	for (size_t i = 0; i < n; i++)
		r[i].score =
			XXH3_64bits_withSeed(&r[i].id, sizeof(r[i].id), key);
	qsort(r, n, sizeof(*r), compare);
}
