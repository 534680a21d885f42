#include "node/limits.h"

#include <string.h>

#include "node/spread.h"

#define PATH          "/internal/limits"
#define RENEW_MS      2000 /* between asks for one */
#define CONFIRM_MS    200  /* until the holder hears that one was cut */
#define HUNGRY_MS     500  /* between asks below an equal part */
#define ASK_MS        1000 /* for an answer */
#define FIRST_WAIT_MS 1500 /* a request waits for its node's first grant */
#define EQUAL_PART    0.9  /* of a grant: less than that is less */

/* An organisation's grant at this node. */
struct spend {
	struct limit_bucket bucket;
	struct limit_rates declared;
	bool fallback;     /* the grant is not the holder's but taken */
	bool failed;       /* the last ask brought nothing */
	bool refused;      /* a request, since the last answer */
	bool asked;        /* an ask is on its way */
	int64_t wanted_ms; /* the last request; monotonic, likewise below */
	int64_t next_ms;   /* of the next ask */
};

struct limits {
	GMutex lock;
	GCond answered;
	GHashTable *spends; /* name of an organisation -> struct spend */
	GRand *random;
	size_t nodes;        /* live */
	uint64_t nodes_hash; /* of their identities; the control thread's */
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
	l->spends =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->random = g_rand_new_with_seed((guint32)seed);
	l->nodes = 1;
	return l;
}

void limits_free(struct limits *l)
{
	g_hash_table_unref(l->spends);
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

bool limits_any(const struct organisation *o)
{
	return o->requests_per_s || o->tokens_per_s || o->concurrent;
}

/* The lock is held. A new bucket has one request, so that the first passes. */
static struct spend *find_spend(struct limits *l, const char *organisation)
{
	struct spend *s = g_hash_table_lookup(l->spends, organisation);

	if (!s) {
		s = g_new0(struct spend, 1);
		s->bucket.requests = 1;
		s->bucket.tokens = 1;
		s->bucket.filled_ms = time_mono_ms();
		g_hash_table_insert(l->spends, g_strdup(organisation), s);
	}
	return s;
}

/* Without a holder each node takes its part of the limit, in whole slots. */
static struct limit_rates own_part(const struct limits *l,
				   const struct spend *s)
{
	double n = (double)MAX(l->nodes, 1);

	return (struct limit_rates){
		s->declared.requests_per_s / n,
		s->declared.tokens_per_s / n,
		(double)(int64_t)(s->declared.concurrent / n),
	};
}

static void take_fallback(struct limits *l, struct spend *s, int64_t now_ms)
{
	struct limit_grant g = {own_part(l, s), now_ms + RENEW_MS};

	limit_bucket_grant(&s->bucket, g, now_ms);
	s->fallback = true;
	log_event(EV_LIMIT_FALLBACK, "nodes=%zu", l->nodes);
}

/* The lock is held, but not while waiting. */
static void wait_grant(struct limits *l, struct spend *s)
{
	int64_t end = g_get_monotonic_time() + FIRST_WAIT_MS * 1000;

	while (time_mono_ms() >= s->bucket.grant.until_ms && !s->failed) {
		if (!g_cond_wait_until(&l->answered, &l->lock, end))
			s->failed = true;
	}
	if (time_mono_ms() >= s->bucket.grant.until_ms)
		take_fallback(l, s, time_mono_ms());
}

enum ramp_error limits_enter(struct request *rq)
{
	const struct organisation *o = rq->owner->organisation;
	struct limits *l = rq->node->limits;
	struct route_random random = {next_random, l->random};
	struct spend *s;
	int64_t now, at;

	if (!limits_any(o))
		return RAMP_OK;
	g_mutex_lock(&l->lock);
	s = find_spend(l, o->name);
	s->declared = limits_declared(o);
	s->wanted_ms = time_mono_ms();
	wait_grant(l, s);
	now = time_mono_ms();
	at = limit_take(&s->bucket, &s->declared,
			rq->work.prompt_tokens + rq->work.output_tokens, now,
			random);
	s->refused |= at != 0;
	g_mutex_unlock(&l->lock);
	rq->limited = !at;
	if (!at)
		return RAMP_OK;
	metric_add(M_LIMIT_REFUSALS_TOTAL, 1);
	rq->retry_at_ms = time_now_ms() + at - now;
	return RAMP_ERR_OVER_LIMIT;
}

void limits_leave(struct request *rq)
{
	struct limits *l = rq->node->limits;

	if (!rq->limited)
		return;
	rq->limited = false;
	g_mutex_lock(&l->lock);
	limit_done(&find_spend(l, rq->owner->organisation->name)->bucket);
	g_mutex_unlock(&l->lock);
}

const struct peer *limits_holder(const struct fleet *f, const char *name)
{
	return peer_admitter(f, str_hash(str_c(name), 0));
}

/* Whether a is less than b in some part. */
static bool is_less(const struct limit_rates *a, const struct limit_rates *b,
		    double by)
{
	return a->requests_per_s < b->requests_per_s * by ||
	       a->tokens_per_s < b->tokens_per_s * by ||
	       a->concurrent < b->concurrent * by;
}

/*
 * The holder keeps what a node had booked until the node says that it has less
 * now; only then others get it.
 */
static void ask_early(const struct limits *l, struct spend *s,
		      const struct limit_rates *g)
{
	int64_t now = time_mono_ms();
	double part = EQUAL_PART / (double)MAX(l->nodes, 1);

	if (!s->fallback && is_less(g, &s->bucket.grant.rates, EQUAL_PART))
		s->next_ms = MIN(s->next_ms, now + CONFIRM_MS);
	else if (s->refused && is_less(g, &s->declared, part))
		s->next_ms = MIN(s->next_ms, now + HUNGRY_MS);
	s->refused = false;
}

/* The lock is held. from_ms: when the ask was sent, so that no clocks count. */
static void take_grant(struct limits *l, json_t *j, int64_t from_ms)
{
	struct limit_grant g;
	const char *name;
	struct spend *s;
	int term, quiet;
	bool empty;

	if (json_unpack(j, "[s,F,F,F,i,b]", &name, &g.rates.requests_per_s,
			&g.rates.tokens_per_s, &g.rates.concurrent, &term,
			&quiet))
		return;
	s = g_hash_table_lookup(l->spends, name);
	g.until_ms = from_ms + CLAMP(term, 0, LIMIT_TERM_MS);
	if (!s || (!s->fallback && g.until_ms < s->bucket.grant.until_ms))
		return;
	empty = g.rates.requests_per_s <= 0 && g.rates.tokens_per_s <= 0 &&
		g.rates.concurrent <= 0;
	/* An earlier holder's slots may all be in use: none is taken. */
	if (quiet && empty) {
		g.rates = own_part(l, s);
		g.rates.concurrent = 0;
	}
	ask_early(l, s, &g.rates);
	limit_bucket_grant(&s->bucket, g, time_mono_ms());
	s->fallback = quiet && empty;
	s->failed = false;
}

/* An ask on its way to a holder. */
struct limit_call {
	struct node *node;
	json_t *asks;
	int64_t sent_ms;
};

/* Those asked for that got nothing have failed until they get something. */
static void end_call(struct limit_call *c, const json_t *answer)
{
	struct limits *l = c->node->limits;
	size_t i;
	json_t *j;

	g_mutex_lock(&l->lock);
	json_array_foreach (json_object_get(c->asks, "asks"), i, j) {
		struct spend *s = g_hash_table_lookup(
			l->spends, json_string_value(json_array_get(j, 0)));

		s->asked = false;
		s->failed = true;
	}
	json_array_foreach (json_object_get(answer, "grants"), i, j)
		take_grant(l, j, c->sent_ms);
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

static void ask_holder(struct control_env *env, const struct peer *p,
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
	after = limits_digest(body, strlen(body));
	url = spread_url(p->address, PATH, after);
	fetch(env->fetcher, "POST", url, str_c(body), ASK_MS, on_answer, c);
	g_free(url);
	g_free(after);
	free(body);
}

static json_t *ask_json(const char *name, const struct spend *s, int64_t now_ms)
{
	const struct limit_grant *g = &s->bucket.grant;
	int64_t left = s->fallback ? 0 : MAX(g->until_ms - now_ms, 0);

	return json_pack("[s,f,f,f,f,I,I]", name, s->bucket.demand,
			 g->rates.requests_per_s, g->rates.tokens_per_s,
			 g->rates.concurrent, (json_int_t)left,
			 (json_int_t)s->bucket.running);
}

/* Whether it is time to ask; asks of all organisations go out together. */
static bool is_due(struct spend *s, int64_t now_ms)
{
	if (s->asked || now_ms < s->next_ms ||
	    (!s->bucket.running && now_ms - s->wanted_ms > LIMIT_TERM_MS))
		return false;
	s->asked = true;
	s->next_ms = (now_ms / RENEW_MS + 1) * RENEW_MS;
	return true;
}

static void free_list(void *p)
{
	json_decref(p);
}

/* Holder -> list of what it is asked for. */
static GHashTable *collect(struct limits *l, const struct fleet *f,
			   int64_t now_ms)
{
	GHashTable *to = g_hash_table_new_full(NULL, NULL, NULL, free_list);
	GHashTableIter it;
	gpointer name, s;

	g_mutex_lock(&l->lock);
	g_hash_table_iter_init(&it, l->spends);
	while (g_hash_table_iter_next(&it, &name, &s)) {
		const struct peer *p = limits_holder(f, name);
		json_t *list;

		if (!p || !is_due(s, now_ms))
			continue;
		list = g_hash_table_lookup(to, p);
		if (!list) {
			list = json_array();
			g_hash_table_insert(to, (gpointer)p, list);
		}
		json_array_append_new(list, ask_json(name, s, now_ms));
	}
	g_mutex_unlock(&l->lock);
	return to;
}

/* See who is live. */
static void look(struct node *n, struct fleet *f, int64_t now_ms)
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
	limit_pools_look(n, f, now_ms);
}

static void tick(void *ctx, int64_t now_ms)
{
	struct control_env *env = ctx;
	struct fleet *f = node_fleet(env->node);
	GHashTable *to;
	GHashTableIter it;
	gpointer p, list;

	if (!f)
		return;
	look(env->node, f, now_ms);
	to = collect(env->node->limits, f, now_ms);
	g_hash_table_iter_init(&it, to);
	while (g_hash_table_iter_next(&it, &p, &list))
		ask_holder(env, p, list);
	g_hash_table_unref(to);
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
