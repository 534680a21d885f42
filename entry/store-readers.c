/* Which nodes read the store, and how long the others may rely on them. */
#include "entry/store-clients.h"

/* So that a relay answers some hundred queries a second at most. */
#define NODES_PER_RELAY 24
/* Key of the rendezvous order; the same constant on all nodes. */
#define READERS_KEY 0x72656164

/* Write the first max nodes in the order of a key to out. */
static size_t choose_first(uint64_t key, const uint64_t *nodes, size_t n,
			   uint64_t *out, size_t max)
{
	struct rendezvous_candidate *r =
		g_new(struct rendezvous_candidate, n + 1);
	struct rendezvous_candidate top[STORE_RELAYS_MAX];
	size_t k;

	for (size_t i = 0; i < n; i++)
		r[i] = (struct rendezvous_candidate){nodes[i], i, 0};
	k = rendezvous_top(key, r, n, top, MIN(max, STORE_RELAYS_MAX));
	for (size_t i = 0; i < k; i++)
		out[i] = top[i].id;
	g_free(r);
	return k;
}

bool relays_are_serving(size_t serving, size_t live)
{
	return serving * 2 > live;
}

size_t store_relays_choose(const uint64_t *nodes, size_t n, uint64_t *out)
{
	size_t max = (n + NODES_PER_RELAY - 1) / NODES_PER_RELAY;

	return choose_first(READERS_KEY, nodes, n, out,
			    MAX(max, STORE_READERS));
}

size_t store_relays_of(uint64_t node, const uint64_t *relays, size_t n,
		       uint64_t *out)
{
	return choose_first(node, relays, n, out, STORE_READERS);
}

/* Long polls within the time in which a revoked key may still be used. */
#define POLLS_PER_REVOKE 7
/* The same within the time for a new configuration. */
#define POLLS_PER_APPLY 4
/* Allowance for the latency of a call to a slow store. */
#define SLOW_CALL_MS 300

int64_t reader_poll_wait_ms(int64_t setting_ms, int64_t revoke_ms,
			    int64_t apply_ms)
{
	int64_t max_ms =
		MIN(revoke_ms / POLLS_PER_REVOKE, apply_ms / POLLS_PER_APPLY);

	return MAX(MIN(setting_ms, max_ms), 1);
}

bool reader_is_current(int64_t age_ms, int64_t wait_ms)
{
	return age_ms <= 2 * wait_ms + SLOW_CALL_MS;
}

bool peer_reliance_is_valid(const struct peer_reliance *r, int64_t now_ms)
{
	/* The node's own read counts like a reader's confirmation. */
	int64_t last = MAX(r->confirmed_ms, r->known_ms);

	return r->known_ms && now_ms - last <= r->unconfirmed_max_ms &&
	       now_ms - r->known_ms < r->reliance_max_ms;
}
