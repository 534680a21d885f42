/*
 * The pools of organisations' limits that this node holds for the fleet, and
 * the grants from them. Used by the control thread and the connections'
 * threads.
 */
#include <sodium.h>
#include <string.h>

#include "node/limits.h"
#include "node/peer-api.h"

#define DIGEST_BYTES 16

/* Pool of one organisation that this node holds. */
struct held_pool {
	struct limit_pool *pool;
	int64_t handover_until_ms; /* monotonic; grants nothing new before */
};

struct limit_pools {
	GMutex lock;
	GHashTable *pools;  /* organisation -> struct held_pool */
	int64_t changed_ms; /* last change of the live nodes; monotonic */
};

static void free_pool(void *p)
{
	struct held_pool *held = p;

	limit_pool_free(held->pool);
	g_free(held);
}

struct limit_pools *limit_pools_new(void)
{
	struct limit_pools *l = g_new0(struct limit_pools, 1);

	g_mutex_init(&l->lock);
	l->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_pool);
	l->changed_ms = time_mono_ms();
	return l;
}

void limit_pools_free(struct limit_pools *l)
{
	g_hash_table_unref(l->pools);
	g_mutex_clear(&l->lock);
	g_free(l);
}

static bool is_holder(const struct node *n, const struct fleet *f,
		      const char *name)
{
	const struct peer *p = limits_holder(f, name);

	return p && !strcmp(p->name, n->set.node_name);
}

/*
 * Find or create a pool; the lock is held. A new pool grants nothing while
 * grants of an earlier holder can still be valid, which is the case only if the
 * live nodes changed within the lifetime of a grant.
 */
static struct held_pool *find_pool(struct limit_pools *l,
				   const struct organisation *o)
{
	struct held_pool *p = g_hash_table_lookup(l->pools, o->name);

	if (!p) {
		p = g_new0(struct held_pool, 1);
		p->handover_until_ms = l->changed_ms + LIMIT_GRANT_TTL_MS;
		p->pool = limit_pool_new(limits_declared(o),
					 p->handover_until_ms);
		g_hash_table_insert(l->pools, g_strdup(o->name), p);
		metric_set(M_LIMIT_POOLS, g_hash_table_size(l->pools));
	}
	limit_pool_set_declared(p->pool, limits_declared(o));
	return p;
}

/* A node's request for a grant of one organisation's limits. */
struct demand {
	const char *organisation;
	double requests_per_s;   /* measured demand */
	struct limit_grant held; /* the grant that the node has */
	int64_t running;         /* requests in progress */
};

static bool read_demand(json_t *j, int64_t now_ms, struct demand *d)
{
	struct limit_rates *rates = &d->held.rates;
	json_int_t left_ms, running;

	if (json_unpack(j, "[s,F,F,F,F,I,I]", &d->organisation,
			&d->requests_per_s, &rates->requests_per_s,
			&rates->tokens_per_s, &rates->concurrent, &left_ms,
			&running))
		return false;
	d->running = running;
	d->held.until_ms = now_ms + CLAMP(left_ms, 0, LIMIT_GRANT_TTL_MS);
	return true;
}

/* Keep running requests booked even if their grant was reduced or has ended. */
static void book_running(struct demand *d, int64_t now_ms)
{
	if (d->running <= 0)
		return;
	if (d->held.until_ms <= now_ms)
		d->held.rates = (struct limit_rates){0};
	d->held.rates.concurrent =
		MAX(d->held.rates.concurrent, (double)d->running);
	d->held.until_ms = now_ms + LIMIT_GRANT_TTL_MS;
}

static json_t *grant_one(struct limit_pools *l, const struct organisation *o,
			 const char *node, struct demand *d)
{
	int64_t now = time_mono_ms();
	struct held_pool *p = find_pool(l, o);
	struct limit_grant g;

	book_running(d, now);
	g = limit_pool_grant(p->pool, str_hash(str_c(node), 0),
			     d->requests_per_s, &d->held, now,
			     now + LIMIT_GRANT_TTL_MS);
	return json_pack("[s,f,f,f,i,b]", o->name, g.rates.requests_per_s,
			 g.rates.tokens_per_s, g.rates.concurrent,
			 LIMIT_GRANT_TTL_MS, now < p->handover_until_ms);
}

json_t *limits_grant(struct node *n, const json_t *asks)
{
	const char *node = json_string_value(json_object_get(asks, "node"));
	struct config *c = node_config(n);
	struct fleet *f = node_fleet(n);
	json_t *out = json_array();
	size_t i;
	json_t *j;

	g_mutex_lock(&n->limit_pools->lock);
	json_array_foreach (json_object_get(asks, "asks"), i, j) {
		const struct organisation *o;
		struct demand d;

		if (!node || !c || !f || !read_demand(j, time_mono_ms(), &d))
			continue;
		o = config_organisation(c, d.organisation);
		if (o && limits_are_declared(o) && is_holder(n, f, o->name))
			json_array_append_new(
				out, grant_one(n->limit_pools, o, node, &d));
	}
	g_mutex_unlock(&n->limit_pools->lock);
	config_unref(c);
	fleet_unref(f);
	return json_pack("{s:o}", "grants", out);
}

char *limits_body_digest(const void *data, size_t len)
{
	unsigned char raw[DIGEST_BYTES];
	char hex[DIGEST_BYTES * 2 + 1];

	crypto_generichash(raw, sizeof(raw), data, len, NULL, 0);
	return g_strdup(sodium_bin2hex(hex, sizeof(hex), raw, sizeof(raw)));
}

static bool is_body_signed(const struct _u_request *q)
{
	const char *after = u_map_get(q->map_url, "after");
	char *expected =
		limits_body_digest(q->binary_body, q->binary_body_length);
	bool ok = after && !strcmp(after, expected) && peer_api_is_signed(q);

	g_free(expected);
	return ok;
}

int on_peer_limits(const struct _u_request *q, struct _u_response *r,
		   void *node)
{
	json_t *asks;

	if (!is_body_signed(q)) {
		log_event(EV_PEER_REFUSED, "path=%s", q->url_path);
		return answer_json(
			r, 403, ramp_error_json(RAMP_ERR_FORBIDDEN, NULL, 0));
	}
	asks = json_loadb(q->binary_body, q->binary_body_length, 0, NULL);
	answer_json(r, 200, limits_grant(node, asks));
	json_decref(asks);
	return U_CALLBACK_COMPLETE;
}

/* Return whether to drop a pool; ctx is {struct node, struct fleet}. */
static gboolean is_not_held(void *name, void *unused, void *ctx)
{
	struct node *n = ((void **)ctx)[0];

	(void)unused;
	return !is_holder(n, ((void **)ctx)[1], name);
}

void limit_pools_members_changed(struct node *n, struct fleet *f,
				 int64_t now_ms)
{
	struct limit_pools *l = n->limit_pools;
	void *ctx[] = {n, f};

	g_mutex_lock(&l->lock);
	l->changed_ms = now_ms;
	g_hash_table_foreach_remove(l->pools, is_not_held, ctx);
	metric_set(M_LIMIT_POOLS, g_hash_table_size(l->pools));
	g_mutex_unlock(&l->lock);
}
