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

/* Waits in the time in which a key may be used that was taken away. */
#define WAITS_IN_REVOKE 7
/* What a call to the store takes besides, when it is not well. */
#define CALL_MS 300

int64_t reader_wait_ms(int64_t setting_ms, int64_t revoke_ms)
{
	return MAX(MIN(setting_ms, revoke_ms / WAITS_IN_REVOKE), 1);
}

bool reader_keeps_up(int64_t age_ms, int64_t wait_ms)
{
	return age_ms <= 2 * wait_ms + CALL_MS;
}

bool reliance_holds(const struct reliance *r, int64_t now_ms)
{
	/* A reading of its own is as good as a word. */
	int64_t last = MAX(r->told_ms, r->fresh_ms);

	return r->fresh_ms && now_ms - last <= r->alone_ms &&
	       now_ms - r->fresh_ms < r->trust_ms;
}
