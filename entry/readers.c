#include "entry/follow.h"

/* Any number that all nodes share. */
#define READERS_KEY 0x72656164

size_t readers_choose(const uint64_t *nodes, size_t n, uint64_t *out)
{
	struct route_rank *r = g_newa(struct route_rank, n + 1);
	struct route_rank top[READERS];
	size_t k;

	for (size_t i = 0; i < n; i++)
		r[i] = (struct route_rank){nodes[i], i, 0};
	k = route_top(READERS_KEY, r, n, top, READERS);
	for (size_t i = 0; i < k; i++)
		out[i] = top[i].id;
	return k;
}
