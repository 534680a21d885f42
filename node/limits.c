#include "node/limits.h"

#include <sodium.h>
#include <string.h>

#include "node/spread.h"

#define PATH          "/internal/limits"
#define TERM_MS       12000 /* of a grant; a lost holder is known by then */
#define RENEW_MS      2000  /* between asks for one */
#define CONFIRM_MS    200   /* until the holder hears that one was cut */
#define HUNGRY_MS     500   /* between asks below an equal part */
#define ASK_MS        1000  /* for an answer */
#define FIRST_WAIT_MS 1500  /* a request waits for its node's first grant */
#define DIGEST_BYTES  16
#define EQUAL_PART    0.9 /* of a grant: less than that is less */

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

/* An organisation's limits, where this node holds them. */
struct pool {
	struct limit_pool *pool;
	int64_t quiet_until_ms;
};

struct limits {
	GMutex lock;
	GCond answered;
	GHashTable *spends; /* name of an organisation -> struct spend */
	GHashTable *pools;  /* likewise -> struct pool */
	GRand *random;
	size_t nodes;        /* live */
	uint64_t nodes_hash; /* of their identities */
	int64_t changed_ms;  /* when these last changed */
};

static double next_random(void *ctx)
{
	return g_rand_double(ctx);
}

static void free_pool(void *p)
{
	struct pool *x = p;

	limit_pool_free(x->pool);
	g_free(x);
}

struct limits *limits_new(uint64_t seed)
{
	struct limits *l = g_new0(struct limits, 1);

	g_mutex_init(&l->lock);
	g_cond_init(&l->answered);
	l->spends =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_pool);
	l->random = g_rand_new_with_seed((guint32)seed);
	l->nodes = 1;
	l->changed_ms = time_mono_ms();
	return l;
}

void limits_free(struct limits *l)
{
	g_hash_table_unref(l->spends);
	g_hash_table_unref(l->pools);
	g_rand_free(l->random);
	g_mutex_clear(&l->lock);
	g_cond_clear(&l->answered);
	g_free(l);
}

static struct limit_rates rates_of(const struct organisation *o)
{
	return (struct limit_rates){(double)o->requests_per_s,
				    (double)o->tokens_per_s,
				    (double)o->concurrent};
}

static bool is_limited(const struct organisation *o)
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

	if (!is_limited(o))
		return RAMP_OK;
	g_mutex_lock(&l->lock);
	s = find_spend(l, o->name);
	s->declared = rates_of(o);
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

/* The node that holds an organisation's pool. */
static const struct peer *holder_of(const struct fleet *f, const char *name)
{
	return peer_admitter(f, str_hash(str_c(name), 0));
}

static bool is_holder(const struct node *n, const struct fleet *f,
		      const char *name)
{
	const struct peer *p = holder_of(f, name);

	return p && !strcmp(p->name, n->set.node_name);
}

/*
 * The lock is held. Grants of an earlier holder may be out only if the nodes
 * have changed within a term.
 */
static struct pool *find_pool(struct limits *l, const struct organisation *o)
{
	struct pool *p = g_hash_table_lookup(l->pools, o->name);

	if (!p) {
		p = g_new0(struct pool, 1);
		p->quiet_until_ms = l->changed_ms + TERM_MS;
		p->pool = limit_pool_new(rates_of(o), p->quiet_until_ms);
		g_hash_table_insert(l->pools, g_strdup(o->name), p);
		metric_set(M_LIMIT_POOLS, g_hash_table_size(l->pools));
	}
	limit_pool_declare(p->pool, rates_of(o));
	return p;
}

/* What a node said of an organisation. */
struct demand {
	const char *organisation;
	double per_s;
	struct limit_grant held;
	int64_t running;
};

static bool read_demand(json_t *j, int64_t now_ms, struct demand *d)
{
	struct limit_rates *x = &d->held.rates;
	json_int_t left, running;

	if (json_unpack(j, "[s,F,F,F,F,I,I]", &d->organisation, &d->per_s,
			&x->requests_per_s, &x->tokens_per_s, &x->concurrent,
			&left, &running))
		return false;
	d->running = running;
	d->held.until_ms = now_ms + CLAMP(left, 0, TERM_MS);
	return true;
}

/* What runs stays booked, also when the grant for it was cut or has ended. */
static void book_running(struct demand *d, int64_t now_ms)
{
	if (d->running <= 0)
		return;
	if (d->held.until_ms <= now_ms)
		d->held.rates = (struct limit_rates){0};
	d->held.rates.concurrent =
		MAX(d->held.rates.concurrent, (double)d->running);
	d->held.until_ms = now_ms + TERM_MS;
}

static json_t *grant_one(struct limits *l, const struct organisation *o,
			 const char *node, struct demand *d)
{
	int64_t now = time_mono_ms();
	struct pool *p = find_pool(l, o);
	struct limit_grant g;

	book_running(d, now);
	g = limit_pool_grant(p->pool, str_hash(str_c(node), 0), d->per_s,
			     &d->held, now, now + TERM_MS);
	return json_pack("[s,f,f,f,i,b]", o->name, g.rates.requests_per_s,
			 g.rates.tokens_per_s, g.rates.concurrent, TERM_MS,
			 now < p->quiet_until_ms);
}

/* Organisations that this node doesn't hold are left out of the answer. */
static json_t *grant_all(struct node *n, const json_t *asks)
{
	const char *node = json_string_value(json_object_get(asks, "node"));
	struct config *c = node_config(n);
	struct fleet *f = node_fleet(n);
	json_t *out = json_array();
	size_t i;
	json_t *j;

	g_mutex_lock(&n->limits->lock);
	json_array_foreach (json_object_get(asks, "asks"), i, j) {
		const struct organisation *o;
		struct demand d;

		if (!node || !c || !f || !read_demand(j, time_mono_ms(), &d))
			continue;
		o = config_organisation(c, d.organisation);
		if (o && is_limited(o) && is_holder(n, f, o->name))
			json_array_append_new(
				out, grant_one(n->limits, o, node, &d));
	}
	g_mutex_unlock(&n->limits->lock);
	config_unref(c);
	fleet_unref(f);
	return json_pack("{s:o}", "grants", out);
}

/* The signature covers the body by its digest. */
static char *digest(const void *data, size_t len)
{
	unsigned char raw[DIGEST_BYTES];
	char hex[DIGEST_BYTES * 2 + 1];

	crypto_generichash(raw, sizeof(raw), data, len, NULL, 0);
	return g_strdup(sodium_bin2hex(hex, sizeof(hex), raw, sizeof(raw)));
}

static bool is_body_signed(const struct _u_request *q)
{
	const char *after = u_map_get(q->map_url, "after");
	char *want = digest(q->binary_body, q->binary_body_length);
	bool ok = after && !strcmp(after, want) && spread_is_signed(q);

	g_free(want);
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
	answer_json(r, 200, grant_all(node, asks));
	json_decref(asks);
	return U_CALLBACK_COMPLETE;
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
	g.until_ms = from_ms + CLAMP(term, 0, TERM_MS);
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
		json_t *j = grant_all(env->node, c->asks);

		end_call(c, j);
		json_decref(j);
		return;
	}
	body = json_dumps(c->asks, JSON_COMPACT | JSON_REAL_PRECISION(6));
	after = digest(body, strlen(body));
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
	    (!s->bucket.running && now_ms - s->wanted_ms > TERM_MS))
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
		const struct peer *p = holder_of(f, name);
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

static gboolean is_lost(void *name, void *unused, void *ctx)
{
	struct node *n = ((void **)ctx)[0];

	(void)unused;
	return !is_holder(n, ((void **)ctx)[1], name);
}

/* See who is live; a pool that has passed to another node is forgotten. */
static void look(struct node *n, struct fleet *f, int64_t now_ms)
{
	struct limits *l = n->limits;
	void *ctx[] = {n, f};
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
	if (hash != l->nodes_hash) {
		l->nodes_hash = hash;
		l->nodes = live;
		l->changed_ms = now_ms;
		g_hash_table_foreach_remove(l->pools, is_lost, ctx);
		metric_set(M_LIMIT_POOLS, g_hash_table_size(l->pools));
	}
	g_mutex_unlock(&l->lock);
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
