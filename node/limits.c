/*
 * This node's grants of the organisations' limits: enforces them, and a control
 * module renews them at the holders.
 */
#include "node/limits.h"

#include <string.h>

#include "node/peer-api.h"

#define LIMITS_PATH         "/internal/limits"
#define RENEW_INTERVAL_MS   2000 /* between calls for one organisation */
#define REDUCED_RENEW_MS    200  /* until a reduced grant is confirmed */
#define LOW_GRANT_RENEW_MS  500  /* with less than an equal share */
#define CALL_TIMEOUT_MS     1000 /* of a call to a holder */
#define FIRST_GRANT_WAIT_MS 1500 /* of a request, while there is no grant */
#define EQUAL_GRANT_RATIO   0.9  /* below this part a grant counts as less */

/* State of one organisation's limits on this node. */
struct org_limit {
	struct limit_bucket bucket;
	struct limit_rates declared;
	bool is_fallback;    /* using the equal share, not a holder's grant */
	bool renewal_failed; /* the last call to the holder brought no grant */
	/* A request was refused since the last grant arrived. */
	bool refused_request;
	bool call_pending;       /* a call to the holder is in progress */
	int64_t last_request_ms; /* monotonic, likewise below */
	int64_t next_renewal_ms;
};

struct limits {
	GMutex lock;
	GCond answered;
	GHashTable *organisations; /* name -> struct org_limit */
	GRand *random;
	size_t nodes;        /* live */
	uint64_t nodes_hash; /* of their identities; control thread only */
};

static double next_random(void *ctx)
{
	return g_rand_double(ctx);
}

struct limits *limits_new(uint64_t seed)
{
	struct limits *l = g_new0(struct limits, 1);

	g_mutex_init(&l->lock);
	g_cond_init(&l->answered);
	l->organisations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->random = g_rand_new_with_seed((guint32)seed);
	l->nodes = 1;
	return l;
}

void limits_free(struct limits *l)
{
	g_hash_table_unref(l->organisations);
	g_rand_free(l->random);
	g_mutex_clear(&l->lock);
	g_cond_clear(&l->answered);
	g_free(l);
}

struct limit_rates limits_declared(const struct organisation *o)
{
	return (struct limit_rates){(double)o->requests_per_s,
				    (double)o->tokens_per_s,
				    (double)o->concurrent};
}

bool limits_are_declared(const struct organisation *o)
{
	return o->requests_per_s || o->tokens_per_s || o->concurrent;
}

/*
 * The lock is held. A new bucket holds one request, so that the first is not
 * refused.
 */
static struct org_limit *find_org_limit(struct limits *l,
					const char *organisation)
{
	struct org_limit *lim =
		g_hash_table_lookup(l->organisations, organisation);

	if (!lim) {
		lim = g_new0(struct org_limit, 1);
		lim->bucket.requests = 1;
		lim->bucket.tokens = 1;
		lim->bucket.filled_ms = time_mono_ms();
		g_hash_table_insert(l->organisations, g_strdup(organisation),
				    lim);
	}
	return lim;
}

/*
 * Return this node's equal share of the declared limits, with a whole number of
 * concurrent requests. It applies while no holder answers.
 */
static struct limit_rates equal_share(const struct limits *l,
				      const struct org_limit *lim)
{
	double n = (double)MAX(l->nodes, 1);

	return (struct limit_rates){
		lim->declared.requests_per_s / n,
		lim->declared.tokens_per_s / n,
		(double)(int64_t)(lim->declared.concurrent / n),
	};
}

/* Use the equal share until the next renewal. The lock is held. */
static void use_fallback(struct limits *l, struct org_limit *lim,
			 int64_t now_ms)
{
	struct limit_grant g = {equal_share(l, lim),
				now_ms + RENEW_INTERVAL_MS};

	limit_bucket_set_grant(&lim->bucket, g, now_ms);
	lim->is_fallback = true;
	log_event(EV_LIMIT_FALLBACK, "nodes=%zu", l->nodes);
}

/*
 * Wait while there is no valid grant, and fall back to the equal share if none
 * comes. The lock is held, but released while waiting.
 */
static void wait_grant(struct limits *l, struct org_limit *lim)
{
	int64_t end = g_get_monotonic_time() + FIRST_GRANT_WAIT_MS * 1000;

	while (time_mono_ms() >= lim->bucket.grant.until_ms &&
	       !lim->renewal_failed) {
		if (!g_cond_wait_until(&l->answered, &l->lock, end))
			lim->renewal_failed = true;
	}
	if (time_mono_ms() >= lim->bucket.grant.until_ms)
		use_fallback(l, lim, time_mono_ms());
}

enum ramp_error limits_acquire(struct request *rq)
{
	const struct organisation *o = rq->owner->organisation;
	struct limits *l = rq->node->limits;
	struct route_random random = {next_random, l->random};
	struct org_limit *lim;
	int64_t now, retry_ms;

	if (!limits_are_declared(o))
		return RAMP_OK;
	g_mutex_lock(&l->lock);
	lim = find_org_limit(l, o->name);
	lim->declared = limits_declared(o);
	lim->last_request_ms = time_mono_ms();
	wait_grant(l, lim);
	now = time_mono_ms();
	retry_ms = limit_bucket_take(
		&lim->bucket, &lim->declared,
		rq->work.prompt_tokens + rq->work.output_tokens, now, random);
	lim->refused_request |= retry_ms != 0;
	g_mutex_unlock(&l->lock);
	rq->limit_taken = !retry_ms;
	if (!retry_ms)
		return RAMP_OK;
	metric_add(M_LIMIT_REFUSALS_TOTAL, 1);
	rq->retry_at_ms = time_now_ms() + retry_ms - now;
	return RAMP_ERR_OVER_LIMIT;
}

void limits_release(struct request *rq)
{
	struct limits *l = rq->node->limits;

	if (!rq->limit_taken)
		return;
	rq->limit_taken = false;
	g_mutex_lock(&l->lock);
	limit_bucket_release(
		&find_org_limit(l, rq->owner->organisation->name)->bucket);
	g_mutex_unlock(&l->lock);
}

const struct peer *limits_holder(const struct fleet *f, const char *name)
{
	return peer_admitter(f, str_hash(str_c(name), 0));
}

/* Return whether some rate of a is below ratio times that of b. */
static bool is_below(const struct limit_rates *a, const struct limit_rates *b,
		     double ratio)
{
	return a->requests_per_s < b->requests_per_s * ratio ||
	       a->tokens_per_s < b->tokens_per_s * ratio ||
	       a->concurrent < b->concurrent * ratio;
}

/*
 * Renew soon after a reduced grant: the holder keeps the old one booked until
 * this node confirms the reduction, and can't grant the difference to others
 * before. Renew soon as well when requests are refused on less than an equal
 * share.
 */
static void schedule_early_renewal(const struct limits *l,
				   struct org_limit *lim,
				   const struct limit_rates *g)
{
	int64_t now = time_mono_ms();
	double share = EQUAL_GRANT_RATIO / (double)MAX(l->nodes, 1);

	if (!lim->is_fallback &&
	    is_below(g, &lim->bucket.grant.rates, EQUAL_GRANT_RATIO))
		lim->next_renewal_ms =
			MIN(lim->next_renewal_ms, now + REDUCED_RENEW_MS);
	else if (lim->refused_request && is_below(g, &lim->declared, share))
		lim->next_renewal_ms =
			MIN(lim->next_renewal_ms, now + LOW_GRANT_RENEW_MS);
	lim->refused_request = false;
}

/*
 * The lock is held. The grant's lifetime counts from when the call was sent, so
 * it ends here no later than at the holder, whatever their clocks.
 */
static void accept_grant(struct limits *l, json_t *j, int64_t sent_ms)
{
	struct limit_grant g;
	const char *name;
	struct org_limit *lim;
	int ttl_ms, in_handover;
	bool empty;

	if (json_unpack(j, "[s,F,F,F,i,b]", &name, &g.rates.requests_per_s,
			&g.rates.tokens_per_s, &g.rates.concurrent, &ttl_ms,
			&in_handover))
		return;
	lim = g_hash_table_lookup(l->organisations, name);
	g.until_ms = sent_ms + CLAMP(ttl_ms, 0, LIMIT_GRANT_TTL_MS);
	if (!lim ||
	    (!lim->is_fallback && g.until_ms < lim->bucket.grant.until_ms))
		return;
	empty = g.rates.requests_per_s <= 0 && g.rates.tokens_per_s <= 0 &&
		g.rates.concurrent <= 0;
	/*
	 * In a hand-over a new holder grants nothing yet. Use the equal share,
	 * but no concurrent requests, as those of the earlier holder's grants
	 * may all be in use.
	 */
	if (in_handover && empty) {
		g.rates = equal_share(l, lim);
		g.rates.concurrent = 0;
	}
	schedule_early_renewal(l, lim, &g.rates);
	limit_bucket_set_grant(&lim->bucket, g, time_mono_ms());
	lim->is_fallback = in_handover && empty;
	lim->renewal_failed = false;
}

/* A call to a holder in progress. */
struct limit_call {
	struct node *node;
	json_t *asks;
	int64_t sent_ms;
};

/*
 * Mark all organisations of the call as failed, then accept the grants of the
 * answer, which clear the mark.
 */
static void end_call(struct limit_call *c, const json_t *answer)
{
	struct limits *l = c->node->limits;
	size_t i;
	json_t *j;

	g_mutex_lock(&l->lock);
	json_array_foreach (json_object_get(c->asks, "asks"), i, j) {
		struct org_limit *lim = g_hash_table_lookup(
			l->organisations,
			json_string_value(json_array_get(j, 0)));

		lim->call_pending = false;
		lim->renewal_failed = true;
	}
	json_array_foreach (json_object_get(answer, "grants"), i, j)
		accept_grant(l, j, c->sent_ms);
	g_cond_broadcast(&l->answered);
	g_mutex_unlock(&l->lock);
	json_decref(c->asks);
	g_free(c);
}

static void on_answer(const struct fetch_result *r, void *arg)
{
	json_t *j = NULL;

	if (r->status == 200)
		j = json_loadb(r->body.data, r->body.len, 0, NULL);
	end_call(arg, j);
	json_decref(j);
}

static void call_holder(struct control_env *env, const struct peer *p,
			json_t *list)
{
	struct limit_call *c = g_new0(struct limit_call, 1);
	char *body, *after, *url;

	c->node = env->node;
	c->sent_ms = time_mono_ms();
	c->asks = json_pack("{s:s,s:O}", "node", env->node->set.node_name,
			    "asks", list);
	if (!strcmp(p->name, env->node->set.node_name)) {
		json_t *j = limits_grant(env->node, c->asks);

		end_call(c, j);
		json_decref(j);
		return;
	}
	body = json_dumps(c->asks, JSON_COMPACT | JSON_REAL_PRECISION(6));
	after = limits_body_digest(body, strlen(body));
	url = peer_api_signed_url(p->address, LIMITS_PATH, after);
	fetch(env->fetcher, "POST", url, str_c(body), CALL_TIMEOUT_MS,
	      on_answer, c);
	g_free(url);
	g_free(after);
	free(body);
}

static json_t *grant_request_json(const char *name, const struct org_limit *lim,
				  int64_t now_ms)
{
	const struct limit_grant *g = &lim->bucket.grant;
	int64_t left_ms = lim->is_fallback ? 0 : MAX(g->until_ms - now_ms, 0);

	return json_pack("[s,f,f,f,f,I,I]", name, lim->bucket.demand,
			 g->rates.requests_per_s, g->rates.tokens_per_s,
			 g->rates.concurrent, (json_int_t)left_ms,
			 (json_int_t)lim->bucket.running);
}

/*
 * Return whether to renew now. The next time is a multiple of the interval, so
 * that all organisations of a holder are renewed in one call.
 */
static bool is_due(struct org_limit *lim, int64_t now_ms)
{
	if (lim->call_pending || now_ms < lim->next_renewal_ms ||
	    (!lim->bucket.running &&
	     now_ms - lim->last_request_ms > LIMIT_GRANT_TTL_MS))
		return false;
	lim->call_pending = true;
	lim->next_renewal_ms =
		(now_ms / RENEW_INTERVAL_MS + 1) * RENEW_INTERVAL_MS;
	return true;
}

static void free_list(void *p)
{
	json_decref(p);
}

/* Return what is due for renewal: holder (const struct peer) -> JSON array. */
static GHashTable *collect_due(struct limits *l, const struct fleet *f,
			       int64_t now_ms)
{
	GHashTable *by_holder =
		g_hash_table_new_full(NULL, NULL, NULL, free_list);
	GHashTableIter it;
	gpointer name, lim;

	g_mutex_lock(&l->lock);
	g_hash_table_iter_init(&it, l->organisations);
	while (g_hash_table_iter_next(&it, &name, &lim)) {
		const struct peer *p = limits_holder(f, name);
		json_t *list;

		if (!p || !is_due(lim, now_ms))
			continue;
		list = g_hash_table_lookup(by_holder, p);
		if (!list) {
			list = json_array();
			g_hash_table_insert(by_holder, (gpointer)p, list);
		}
		json_array_append_new(list,
				      grant_request_json(name, lim, now_ms));
	}
	g_mutex_unlock(&l->lock);
	return by_holder;
}

/* Recount the live nodes, and report a change to the pools. */
static void update_members(struct node *n, struct fleet *f, int64_t now_ms)
{
	struct limits *l = n->limits;
	uint64_t hash = 0;
	size_t live = 0;

	for (guint i = 0; i < f->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(f->peers, i);

		if (p->leaving || p->state == MEMBER_DEAD ||
		    p->state == MEMBER_LEFT)
			continue;
		hash ^= p->id;
		live++;
	}
	g_mutex_lock(&l->lock);
	l->nodes = live;
	g_mutex_unlock(&l->lock);
	if (hash == l->nodes_hash)
		return;
	l->nodes_hash = hash;
	limit_pools_members_changed(n, f, now_ms);
}

static void tick(void *ctx, int64_t now_ms)
{
	struct control_env *env = ctx;
	struct fleet *f = node_fleet(env->node);
	GHashTable *by_holder;
	GHashTableIter it;
	gpointer p, list;

	if (!f)
		return;
	update_members(env->node, f, now_ms);
	by_holder = collect_due(env->node->limits, f, now_ms);
	g_hash_table_iter_init(&it, by_holder);
	while (g_hash_table_iter_next(&it, &p, &list))
		call_holder(env, p, list);
	g_hash_table_unref(by_holder);
	fleet_unref(f);
}

static void *start(struct control_env *env)
{
	return env;
}

static void stop(void *ctx)
{
	(void)ctx;
}

const struct control_module limits_module = {
	.start = start,
	.tick = tick,
	.stop = stop,
};
