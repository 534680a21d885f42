/*
 * Gossip of each node's contribution to the load of its pools, and the mean
 * over the fleet. In a large fleet not every contribution reaches every node in
 * time, so the mean covers those received, weighted by their age.
 */
#include <math.h>

#include "member/internal.h"

#define TRANSMITS_MAX 3 /* of one contribution by one node */
/*
 * The same measurement received on two paths differs in age by the delay of the
 * paths; only one that is newer by this much replaces another.
 */
#define SAME_MEASUREMENT_MS 100
/* Older contributions are neither sent nor accepted. */
#define TRANSMIT_MAX_AGE_MS 10000
#define RETENTION_MS        30000 /* on the node that received it */
/* Age at which the weight of a contribution has fallen to 1/e. */
#define WEIGHT_DECAY_MS 5000.0
/* Age from which this node's own contribution counts as a new measurement. */
#define OWN_REFRESH_MS 250
#define SHARES_MAX     8192 /* contributions kept; more are dropped */

static uint64_t share_key(uint32_t node, uint32_t pool)
{
	return (uint64_t)node << 32 | pool;
}

static uint32_t pool_id(const char *pool)
{
	return (uint32_t)member_id(pool);
}

static uint32_t own_id(const struct member *m)
{
	return (uint32_t)m->self->peer.id;
}

static void set_share(struct member *m, uint64_t key, double work,
		      double targets, int64_t measured_ms)
{
	struct share_entry *s = g_hash_table_lookup(m->shares, &key);

	if (!s && g_hash_table_size(m->shares) >= SHARES_MAX)
		return;
	if (!s) {
		s = g_new0(struct share_entry, 1);
		s->key = key;
		g_hash_table_insert(m->shares, &s->key, s);
	}
	s->work = work;
	s->targets = targets;
	s->measured_ms = measured_ms;
	s->times_sent = 0;
}

void member_set_load(struct member *m, const char *pool, double work,
		     unsigned targets)
{
	uint64_t key = share_key(own_id(m), pool_id(pool));
	struct share_entry *s = g_hash_table_lookup(m->shares, &key);

	if (!s || m->now_ms - s->measured_ms >= OWN_REFRESH_MS) {
		set_share(m, key, work, targets, m->now_ms);
		return;
	}
	s->work = work;
	s->targets = targets;
}

bool member_mean_load(const struct member *m, const char *pool, double *mean)
{
	uint32_t id = pool_id(pool);
	double work = 0, targets = 0;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, m->shares);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct share_entry *s = p;
		double age_ms = (double)(m->now_ms - s->measured_ms);
		double w = exp(-age_ms / WEIGHT_DECAY_MS);

		if ((uint32_t)s->key != id)
			continue;
		work += w * s->work;
		targets += w * s->targets;
	}
	if (targets <= 0)
		return false;
	*mean = work / targets;
	return true;
}

bool member_node_load(const struct member *m, uint64_t node, const char *pool,
		      double *work)
{
	uint64_t key = share_key((uint32_t)node, pool_id(pool));
	const struct share_entry *s = g_hash_table_lookup(m->shares, &key);

	*work = s ? s->work : 0;
	return s;
}

void shares_merge(struct member *m, const struct member_message *msg)
{
	for (u_int i = 0; i < msg->shares.shares_len; i++) {
		const struct pool_share *r = &msg->shares.shares_val[i];
		uint64_t key = share_key(r->node, r->pool);
		const struct share_entry *s =
			g_hash_table_lookup(m->shares, &key);
		int64_t measured_ms = m->now_ms - r->age_ms;

		if (r->node == own_id(m) || r->age_ms > TRANSMIT_MAX_AGE_MS ||
		    (s && measured_ms < s->measured_ms + SAME_MEASUREMENT_MS))
			continue;
		set_share(m, key, (double)r->work, (double)r->targets,
			  measured_ms);
	}
}

/* Return whether a contribution needs no further transmission. */
static bool is_disseminated(const struct member *m, const struct share_entry *s)
{
	return s->times_sent >= TRANSMITS_MAX ||
	       m->now_ms - s->measured_ms > TRANSMIT_MAX_AGE_MS;
}

bool shares_pending(struct member *m)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, m->shares);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (!is_disseminated(m, p))
			return true;
	}
	return false;
}

/* Sort those sent least often first, then the newest. */
static int by_transmits(const void *a, const void *b)
{
	const struct share_entry *x = *(struct share_entry *const *)a;
	const struct share_entry *y = *(struct share_entry *const *)b;

	if (x->times_sent != y->times_sent)
		return x->times_sent < y->times_sent ? -1 : 1;
	return x->measured_ms > y->measured_ms
		       ? -1
		       : x->measured_ms < y->measured_ms;
}

/* Return the contributions with transmissions left, in sending order. */
static GPtrArray *pending_shares(struct member *m)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, m->shares);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (!is_disseminated(m, p))
			g_ptr_array_add(list, p);
	}
	g_ptr_array_sort(list, by_transmits);
	return list;
}

u_int shares_fill(struct member *m, struct pool_share *out, size_t max)
{
	GPtrArray *list;
	u_int n;

	if (!max || !g_hash_table_size(m->shares))
		return 0;
	list = pending_shares(m);
	for (n = 0; n < list->len && n < max; n++) {
		struct share_entry *s = g_ptr_array_index(list, n);

		s->times_sent++;
		out[n] = (struct pool_share){
			.node = (uint32_t)(s->key >> 32),
			.pool = (uint32_t)s->key,
			.work = (float)s->work,
			.targets = (float)s->targets,
			.age_ms = (uint32_t)(m->now_ms - s->measured_ms),
		};
	}
	g_ptr_array_unref(list);
	return n;
}

void shares_sweep(struct member *m)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, m->shares);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct share_entry *s = p;

		if (m->now_ms - s->measured_ms > RETENTION_MS)
			g_hash_table_iter_remove(&it);
	}
}
