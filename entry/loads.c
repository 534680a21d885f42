/*
 * Counts of requests in progress at each target. The traffic thread updates
 * this node's counts and reads the sums of the others; the control thread
 * builds this node's reports and applies those of the others.
 */
#include <string.h>

#include "entry/entry.h"
#include "entry/load-relay.h"

/*
 * A node's report expires after this time, or after this number of its send
 * intervals if that is longer; the node then counts as gone or idle.
 */
#define REPORT_TTL_MS        3000
#define REPORT_TTL_INTERVALS 4

/* A relay's total is used for this long. */
#define RELAYED_TTL_MS 3000
/*
 * Age of the requests in a relay's total, beyond the time since it arrived: the
 * intervals at which nodes and relays send.
 */
#define RELAYED_LAG_MS 250

/* The last report of another node. */
struct peer_load {
	uint64_t start;
	uint64_t seq;
	int64_t received_ms;
	bool serving;
	GHashTable *running; /* target -> requests */
};

struct loads {
	GMutex lock;
	GHashTable *relayed; /* see load_table: requests of all others */
	int64_t relayed_ms;  /* when it last arrived; 0: never */
	int64_t newest_ms;   /* when another report or total last arrived */
	int64_t send_interval_ms;
	uint64_t node;
	uint64_t start;    /* wall-clock ms; orders reports across restarts */
	uint64_t seq;      /* of the last report of this start */
	GHashTable *own;   /* target -> requests */
	GHashTable *peers; /* node -> struct peer_load */
	GHashTable *peer_sums;  /* target -> requests of all peers */
	int64_t sums_expire_ms; /* peer_sums is computed anew from then on */
	int64_t report_ttl_ms;
	bool serving;
	bool sent_serving; /* serving in the last report */
	bool changed;      /* since the last report */
	int64_t sent_ms;   /* time of the last report */
};

/* An unchanged report is repeated after this time, as datagrams get lost. */
#define RESEND_MS 500

/* Far above what a node has in progress; sums over all nodes fit an int. */
#define PEER_REQUESTS_MAX 100000

static void peer_load_free(void *p)
{
	struct peer_load *peer = p;

	g_hash_table_unref(peer->running);
	g_free(peer);
}

static GHashTable *counts_new(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static void counts_set(GHashTable *h, uint64_t id, int n)
{
	if (n > 0)
		g_hash_table_insert(h, g_memdup2(&id, sizeof(id)),
				    GINT_TO_POINTER(n));
	else
		g_hash_table_remove(h, &id);
}

static int counts_get(GHashTable *h, uint64_t id)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(h, &id));
}

struct loads *loads_new(uint64_t node)
{
	struct loads *l = g_new0(struct loads, 1);

	l->node = node;
	l->start = (uint64_t)time_now_ms();
	l->report_ttl_ms = REPORT_TTL_MS;
	l->relayed = g_hash_table_new(NULL, NULL);
	l->own = counts_new();
	l->peer_sums = counts_new();
	l->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 peer_load_free);
	return l;
}

void loads_free(struct loads *l)
{
	g_hash_table_unref(l->relayed);
	g_hash_table_unref(l->own);
	g_hash_table_unref(l->peer_sums);
	g_hash_table_unref(l->peers);
	g_free(l);
}

void loads_add(struct loads *l, uint64_t target, int delta)
{
	g_mutex_lock(&l->lock);
	counts_set(l->own, target, counts_get(l->own, target) + delta);
	l->changed = true;
	g_mutex_unlock(&l->lock);
}

/* Compute peer_sums from the reports, and drop those that have expired. */
static void sum_peers(struct loads *l, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_remove_all(l->peer_sums);
	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct peer_load *peer = v;
		GHashTableIter each;
		gpointer id, n;

		if (now_ms - peer->received_ms > l->report_ttl_ms) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		g_hash_table_iter_init(&each, peer->running);
		while (g_hash_table_iter_next(&each, &id, &n))
			counts_set(l->peer_sums, *(uint64_t *)id,
				   counts_get(l->peer_sums, *(uint64_t *)id) +
					   GPOINTER_TO_INT(n));
	}
	l->sums_expire_ms = now_ms + RESEND_MS;
}

/* Whether a relay's total is recent enough to be used. */
static bool is_relayed(const struct loads *l, int64_t now_ms)
{
	return l->relayed_ms && now_ms - l->relayed_ms <= RELAYED_TTL_MS;
}

double loads_remote(struct loads *l, uint64_t target, int64_t now_ms)
{
	int n;

	g_mutex_lock(&l->lock);
	if (now_ms >= l->sums_expire_ms)
		sum_peers(l, now_ms);
	if (is_relayed(l, now_ms))
		n = GPOINTER_TO_INT(g_hash_table_lookup(
			l->relayed, GUINT_TO_POINTER((uint32_t)target)));
	else
		n = counts_get(l->peer_sums, target);
	g_mutex_unlock(&l->lock);
	return n;
}

void loads_set_send_interval(struct loads *l, int64_t interval_ms)
{
	g_mutex_lock(&l->lock);
	l->send_interval_ms = interval_ms;
	l->report_ttl_ms =
		MAX(REPORT_TTL_MS, REPORT_TTL_INTERVALS * interval_ms);
	g_mutex_unlock(&l->lock);
}

int64_t loads_lag_ms(struct loads *l, int64_t now_ms)
{
	int64_t ms;

	g_mutex_lock(&l->lock);
	ms = is_relayed(l, now_ms) ? now_ms - l->relayed_ms + RELAYED_LAG_MS
				   : l->send_interval_ms;
	g_mutex_unlock(&l->lock);
	return ms;
}

int64_t loads_newest_ms(struct loads *l)
{
	int64_t ms;

	g_mutex_lock(&l->lock);
	ms = l->newest_ms;
	g_mutex_unlock(&l->lock);
	return ms;
}

void loads_own_table(struct loads *l, struct load_table *t)
{
	GHashTable *counts = g_hash_table_new(NULL, NULL);
	GHashTableIter it;
	gpointer id, n;

	g_mutex_lock(&l->lock);
	t->node = l->node;
	t->start = l->start;
	t->seq = ++l->seq;
	g_hash_table_iter_init(&it, l->own);
	while (g_hash_table_iter_next(&it, &id, &n))
		g_hash_table_insert(
			counts, GUINT_TO_POINTER((uint32_t) * (uint64_t *)id),
			n);
	g_mutex_unlock(&l->lock);
	load_table_encode(counts, NULL, t);
	g_hash_table_unref(counts);
}

bool loads_receive_total(struct loads *l, const struct load_table *t,
			 int64_t now_ms)
{
	bool ok;

	g_mutex_lock(&l->lock);
	ok = load_table_decode(t, l->relayed);
	if (ok)
		l->relayed_ms = l->newest_ms = now_ms;
	g_mutex_unlock(&l->lock);
	return ok;
}

void loads_set_serving(struct loads *l, bool serving)
{
	g_mutex_lock(&l->lock);
	l->changed |= l->serving != serving;
	l->serving = serving;
	g_mutex_unlock(&l->lock);
}

bool loads_serving_unsent(struct loads *l)
{
	bool unsent;

	g_mutex_lock(&l->lock);
	unsent = l->serving != l->sent_serving;
	g_mutex_unlock(&l->lock);
	return unsent;
}

bool loads_peer_is_serving(struct loads *l, uint64_t node, int64_t now_ms)
{
	struct peer_load *peer;
	bool serving;

	g_mutex_lock(&l->lock);
	peer = g_hash_table_lookup(l->peers, &node);
	serving = peer && peer->serving &&
		  now_ms - peer->received_ms <= l->report_ttl_ms;
	g_mutex_unlock(&l->lock);
	return serving;
}

bool loads_next_report(struct loads *l, int64_t now_ms,
		       struct loads_report *report, struct load_entry *entries)
{
	GHashTableIter it;
	gpointer id, count;

	g_mutex_lock(&l->lock);
	if (!l->changed && now_ms - l->sent_ms < RESEND_MS) {
		g_mutex_unlock(&l->lock);
		return false;
	}
	l->changed = false;
	l->sent_ms = now_ms;
	l->sent_serving = l->serving;
	*report = (struct loads_report){
		.node = l->node,
		.seq = ++l->seq,
		.start = l->start,
		.serving = l->serving,
		.entries.entries_val = entries,
	};
	g_hash_table_iter_init(&it, l->own);
	while (!is_relayed(l, now_ms) &&
	       report->entries.entries_len < LOADS_ENTRIES_MAX &&
	       g_hash_table_iter_next(&it, &id, &count))
		entries[report->entries.entries_len++] = (struct load_entry){
			*(uint64_t *)id, (u_int)GPOINTER_TO_INT(count)};
	g_mutex_unlock(&l->lock);
	return true;
}

static void apply_report(struct loads *l, int64_t now_ms,
			 const loads_report *report)
{
	uint64_t node = report->node;
	struct peer_load *peer = g_hash_table_lookup(l->peers, &node);

	if (node == l->node)
		return;
	if (!peer) {
		peer = g_new0(struct peer_load, 1);
		peer->running = counts_new();
		g_hash_table_insert(l->peers, g_memdup2(&node, sizeof(node)),
				    peer);
	}
	/*
	 * Datagrams may arrive out of order. The sequence number begins at 1
	 * again when the node restarts.
	 */
	if (report->start < peer->start ||
	    (report->start == peer->start && report->seq <= peer->seq))
		return;
	peer->start = report->start;
	peer->seq = report->seq;
	peer->received_ms = now_ms;
	l->newest_ms = now_ms;
	peer->serving = report->serving;
	g_hash_table_remove_all(peer->running);
	for (u_int i = 0; i < report->entries.entries_len; i++)
		counts_set(peer->running, report->entries.entries_val[i].target,
			   (int)MIN(report->entries.entries_val[i].running,
				    PEER_REQUESTS_MAX));
	l->sums_expire_ms = 0;
}

void loads_receive(struct loads *l, int64_t now_ms,
		   const struct loads_report *report)
{
	g_mutex_lock(&l->lock);
	apply_report(l, now_ms, report);
	g_mutex_unlock(&l->lock);
}
