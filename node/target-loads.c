/*
 * Control module: keeps the set of targets that this node admits to, polls the
 * load of these targets only, and shares each pool's load with the other nodes.
 */
#include <string.h>

#include "node/node.h"

/*
 * Longest time for which the nodes' views may differ on who admits to a target.
 */
#define HANDOVER_MS       5000
#define SHARE_INTERVAL_MS 250
#define HANDOVER_NODES    2 /* the previous and the next admitting node */
/*
 * Poll interval during a hand-over, when each admission needs a new load
 * report.
 */
#define HANDOVER_POLL_MS 50

/* A target that this node admits to. */
struct owned_target {
	char *name;
	char *pool;
	char *address;
	bool call_pending;         /* a load report is requested */
	bool present;              /* still this node's in the newest fleet */
	int64_t handover_until_ms; /* monotonic; likewise below */
	int64_t next_poll_ms;
};

struct loads {
	struct control_env *env;
	GHashTable *owned;     /* target id -> struct owned_target */
	struct fleet *fleet;   /* that owned was derived from */
	int64_t next_share_ms; /* monotonic */
};

/* A request for a load report in progress. */
struct load_call {
	struct loads *loads;
	uint64_t target;
	int64_t sent_ms;
};

static void free_owned_target(void *p)
{
	struct owned_target *owned = p;

	g_free(owned->name);
	g_free(owned->pool);
	g_free(owned->address);
	g_free(owned);
}

static bool is_owned(const struct loads *l, const struct target *t)
{
	const struct peer *p = peer_admitter(l->fleet, t->id);

	return p && !strcmp(p->name, l->env->node->set.node_name);
}

/* Begin to admit to a target, or note that it is still this node's. */
static void take_over(struct loads *l, const struct target *t, int64_t now_ms)
{
	struct owned_target *owned = g_hash_table_lookup(l->owned, &t->id);

	if (!owned) {
		owned = g_new0(struct owned_target, 1);
		owned->name = g_strdup(t->name);
		owned->pool = g_strdup(t->pool);
		owned->handover_until_ms = now_ms + HANDOVER_MS;
		g_hash_table_insert(l->owned, g_memdup2(&t->id, sizeof(t->id)),
				    owned);
		admission_take_over(l->env->node->admission, t->pool, t->id,
				    owned->handover_until_ms, HANDOVER_NODES);
	}
	g_free(owned->address);
	owned->address = g_strdup(t->address);
	owned->present = true;
}

/*
 * Hand over a target that update_owned did not mark as present, and clear the
 * mark of the others.
 */
static gboolean drop_absent(void *key, void *value, void *ctx)
{
	struct loads *l = ctx;
	struct owned_target *owned = value;

	if (owned->present) {
		owned->present = false;
		return FALSE;
	}
	admission_hand_over(l->env->node->admission, owned->pool,
			    *(uint64_t *)key);
	return TRUE;
}

/* Derive the owned targets from a new fleet. */
static void update_owned(struct loads *l, int64_t now_ms)
{
	struct fleet *f = node_fleet(l->env->node);

	if (f == l->fleet || !f) {
		fleet_unref(f);
		return;
	}
	fleet_unref(l->fleet);
	l->fleet = f;
	health_set_fleet(l->env->node->health, f);
	for (guint i = 0; i < f->targets->len; i++) {
		const struct target *t = g_ptr_array_index(f->targets, i);

		if (is_owned(l, t))
			take_over(l, t, now_ms);
	}
	g_hash_table_foreach_remove(l->owned, drop_absent, l);
}

/*
 * Report what a poll shows of the target's state. The admitting node polls it,
 * so it is the first to see that the target is leaving or down.
 */
static void observe_target(const struct loads *l,
			   const struct owned_target *owned,
			   const struct fetch_result *r, bool leaving)
{
	struct node *n = l->env->node;

	if (r->status == 200) {
		node_observe_target(n, owned->name, TARGET_ANSWERED);
		node_observe_target(n, owned->name,
				    leaving ? TARGET_REPORTED_LEAVING
					    : TARGET_REPORTED_ACCEPTING);
	} else if (!r->status && !r->maybe_sent) {
		node_observe_target(n, owned->name, TARGET_CONNECT_FAILED);
	}
}

static void accept_report(const struct load_call *c,
			  const struct owned_target *owned,
			  const struct fetch_result *r)
{
	json_t *j = json_loadb(r->body.data ? r->body.data : "", r->body.len, 0,
			       NULL);
	json_int_t running = 0, queued = 0, work = 0, age_ms = 0;
	int leaving = 0;
	bool valid =
		!json_unpack(j, "{s:I,s:I,s:I,s?I,s?b}", "running", &running,
			     "queued", &queued, "work_tokens", &work, "age_ms",
			     &age_ms, "leaving", &leaving);
	struct load_report report = {.target = c->target,
				     .running = running,
				     .queued = queued,
				     .work = work,
				     .taken_ms = c->sent_ms - age_ms};

	json_decref(j);
	observe_target(c->loads, owned, r, leaving);
	if (valid && r->status == 200)
		admission_record_load(c->loads->env->node->admission,
				      owned->pool, &report);
}

static void on_load(const struct fetch_result *r, void *arg)
{
	struct load_call *c = arg;
	struct owned_target *owned =
		g_hash_table_lookup(c->loads->owned, &c->target);

	if (owned) {
		owned->call_pending = false;
		accept_report(c, owned, r);
	}
	g_free(c);
}

static void fetch_load(struct loads *l, uint64_t id, struct owned_target *owned,
		       int64_t now_ms)
{
	struct load_call *c = g_new(struct load_call, 1);
	char *url = g_strdup_printf("http://%s/load", owned->address);

	*c = (struct load_call){l, id, now_ms};
	owned->call_pending = true;
	fetch(l->env->fetcher, "GET", url, str_c(NULL),
	      l->env->node->set.loads_timeout_ms, on_load, c);
	g_free(url);
}

/* Request the load reports that are due. */
static void poll_due(struct loads *l, int64_t now_ms)
{
	GHashTableIter it;
	gpointer id, value;

	g_hash_table_iter_init(&it, l->owned);
	while (g_hash_table_iter_next(&it, &id, &value)) {
		struct owned_target *owned = value;
		int64_t interval_ms = l->env->node->set.loads_poll_ms;

		if (owned->call_pending || now_ms < owned->next_poll_ms)
			continue;
		if (now_ms < owned->handover_until_ms)
			interval_ms = MIN(interval_ms, HANDOVER_POLL_MS);
		owned->next_poll_ms = now_ms + interval_ms;
		fetch_load(l, *(uint64_t *)id, owned, now_ms);
	}
}

/* Set the smallest max_load_factor of the services that share the pool. */
static void set_load_factor(struct loads *l, const char *pool)
{
	struct config *c = node_config(l->env->node);
	double factor = G_MAXDOUBLE;
	GHashTableIter it;
	gpointer p;

	if (!c)
		return;
	g_hash_table_iter_init(&it, c->resources[KIND_SERVICE]);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct service *s = p;

		if (!strcmp(s->pool, pool))
			factor = MIN(factor, s->max_load_factor);
	}
	config_unref(c);
	if (factor < G_MAXDOUBLE)
		admission_set_load_factor(l->env->node->admission, pool,
					  factor);
}

/*
 * Publish this node's part of a pool's load, and set the fleet's totals from
 * the mean over all nodes.
 */
static void share_pool(struct loads *l, const char *pool)
{
	struct node *n = l->env->node;
	size_t targets = 0;
	size_t owned_count;
	int64_t work;
	double mean;

	for (guint i = 0; i < l->fleet->targets->len; i++) {
		const struct target *t =
			g_ptr_array_index(l->fleet->targets, i);

		if (!t->leaving && !t->down && !strcmp(t->pool, pool))
			targets++;
	}
	set_load_factor(l, pool);
	admission_owned_totals(n->admission, pool, &work, &owned_count);
	member_set_load(n->member, pool, (double)work, (unsigned)owned_count);
	if (member_mean_load(n->member, pool, &mean))
		admission_set_fleet_totals(n->admission, pool,
					   (int64_t)(mean * (double)targets),
					   targets);
}

static void share_loads(struct loads *l, int64_t now_ms)
{
	GHashTable *seen;

	if (now_ms < l->next_share_ms || !l->fleet || !l->env->node->member)
		return;
	l->next_share_ms = now_ms + SHARE_INTERVAL_MS;
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; i < l->fleet->targets->len; i++) {
		const struct target *t =
			g_ptr_array_index(l->fleet->targets, i);

		if (g_hash_table_add(seen, t->pool))
			share_pool(l, t->pool);
	}
	g_hash_table_unref(seen);
}

static void *start(struct control_env *env)
{
	struct loads *l = g_new0(struct loads, 1);

	l->env = env;
	l->owned = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 free_owned_target);
	return l;
}

static void tick(void *ctx, int64_t now_ms)
{
	struct loads *l = ctx;

	update_owned(l, now_ms);
	poll_due(l, now_ms);
	share_loads(l, now_ms);
}

static void stop(void *ctx)
{
	struct loads *l = ctx;

	g_hash_table_unref(l->owned);
	fleet_unref(l->fleet);
	g_free(l);
}

const struct control_module loads_module = {
	.start = start,
	.tick = tick,
	.stop = stop,
};
