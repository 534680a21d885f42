/* Nodes, their calls to each other and gossip, as events of the fake. */
#include "state/test-nodes.h"

#include <string.h>

#define PEER_CALL_TIMEOUT_MS 500
#define GOSSIP_FANOUT        2
#define WRITERS              1
#define FAULT_PHASE_MS       40000
#define SETTLE_MS            60000
#define NODES_MAX            6

/* A call of a node to its peer. */
struct peer_call {
	struct sim_node *from, *to;
	bool snapshot; /* fetch_snapshot; otherwise fetch_changes */
	int64_t after;
	learn_peer_fn *done;
	void *arg;
	json_t *answer;
	bool finished;
};

struct nodes *nodes_new(struct fake *f)
{
	struct nodes *ns = g_new0(struct nodes, 1);

	ns->fake = f;
	ns->poll_ms = 1000;
	ns->tick_ms = 20;
	ns->peers_known = true;
	ns->expected_rows =
		g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	ns->calls = g_ptr_array_new();
	g_ptr_array_add(ns->expected_rows, json_object());
	return ns;
}

void nodes_free(struct nodes *ns)
{
	for (int i = 0; i < ns->count; i++) {
		learn_free(ns->node[i].learner);
		config_unref(ns->node[i].config);
	}
	for (guint i = 0; i < ns->calls->len; i++) {
		struct peer_call *c = g_ptr_array_index(ns->calls, i);

		json_decref(c->answer);
		g_free(c);
	}
	g_ptr_array_unref(ns->calls);
	g_ptr_array_unref(ns->expected_rows);
	g_free(ns);
}

int64_t nodes_head(const struct nodes *ns)
{
	return (int64_t)ns->expected_rows->len - 1;
}

static json_t *change_rows(const char *res, int64_t n, enum resource_kind k,
			   const char *name, json_t *spec)
{
	char *chg = g_strdup_printf("chg/%020" G_GINT64_FORMAT, n);
	json_t *rows = json_pack("{s:{s:I},s:{s:s,s:I,s:I,s:s,s:s,s:o}}",
				 "head/config", "revision", n, chg, "id", chg,
				 "revision", n, "generation", n, "kind",
				 kind_name(k), "name", name, "is",
				 spec ? json_incref(spec) : json_null());

	if (spec)
		json_object_set_new(rows, res,
				    json_pack("{s:O,s:I,s:I}", "spec", spec,
					      "generation", n, "revision", n));
	g_free(chg);
	return rows;
}

int64_t nodes_change(struct nodes *ns, enum resource_kind k, const char *name,
		     const char *spec)
{
	int64_t n = nodes_head(ns) + 1;
	char *res = resource_key(k, name);
	json_t *j = spec ? json_loads(spec, 0, NULL) : NULL;
	json_t *rows = change_rows(res, n, k, name, j);
	json_t *expected_rows =
		json_copy(g_ptr_array_index(ns->expected_rows, n - 1));

	fake_commit_rows(ns->fake, rows);
	if (j) {
		json_object_set(expected_rows, res, json_object_get(rows, res));
	} else {
		fake_delete(ns->fake, res);
		json_object_del(expected_rows, res);
	}
	g_ptr_array_add(ns->expected_rows, expected_rows);
	json_decref(rows);
	json_decref(j);
	g_free(res);
	return n;
}

int64_t nodes_change_weight(struct nodes *ns, const char *name, double weight)
{
	char *spec = g_strdup_printf("{\"weight\":%.3f,\"keys\":[]}", weight);
	int64_t n = nodes_change(ns, KIND_ORGANISATION, name, spec);

	g_free(spec);
	return n;
}

/* Calls between nodes. */

static void finish_call(struct peer_call *c, const json_t *answer)
{
	if (c->finished)
		return;
	c->finished = true;
	c->done(answer, c->arg);
}

static void on_timeout(void *arg)
{
	finish_call(arg, NULL);
}

static void on_answer(void *arg)
{
	struct peer_call *c = arg;

	finish_call(c, c->answer);
}

static void answer_call(void *arg)
{
	struct peer_call *c = arg;
	struct learner *l = c->to->learner;
	json_t *j = c->snapshot ? learn_snapshot_json(l)
				: learn_changes_json(l, c->after);
	bool fails = c->snapshot && c->from->nodes->snapshot_calls_fail;

	c->answer = fails ? NULL : json_deep_copy(j);
	json_decref(j);
	fake_schedule(c->from->nodes->fake, c->from->proc, 1, on_answer, c);
}

static void start_call(struct sim_node *s, unsigned i, bool snapshot,
		       int64_t after, learn_peer_fn *done, void *arg)
{
	struct nodes *ns = s->nodes;
	struct peer_call *c = g_new0(struct peer_call, 1);
	int to = (int)i + ((int)i >= s->proc);

	*c = (struct peer_call){s,    &ns->node[to], snapshot, after,
				done, arg,           NULL,     false};
	g_ptr_array_add(ns->calls, c);
	fake_schedule(ns->fake, to, 1, answer_call, c);
	fake_schedule(ns->fake, s->proc, PEER_CALL_TIMEOUT_MS, on_timeout, c);
}

static void fetch_changes(void *ctx, unsigned i, int64_t after,
			  learn_peer_fn *done, void *arg)
{
	start_call(ctx, i, false, after, done, arg);
}

static void fetch_snapshot(void *ctx, unsigned i, learn_peer_fn *done,
			   void *arg)
{
	start_call(ctx, i, true, 0, done, arg);
}

static int peers(void *ctx)
{
	struct sim_node *s = ctx;

	return s->nodes->peers_known ? s->nodes->count - 1 : -1;
}

static bool is_table_reader(void *ctx)
{
	return ((struct sim_node *)ctx)->proc < LEARN_TABLE_READERS;
}

static bool is_snapshot_writer(void *ctx)
{
	return ((struct sim_node *)ctx)->proc < WRITERS;
}

static uint32_t draw_random(void *ctx)
{
	return g_rand_int(((struct sim_node *)ctx)->nodes->fake->rand);
}

static bool has_expected_rows(const struct sim_node *s, struct learner *l,
			      int64_t n)
{
	json_t *snapshot = learn_snapshot_json(l);
	bool equal = n <= nodes_head(s->nodes) &&
		     json_equal(json_object_get(snapshot, "rows"),
				g_ptr_array_index(s->nodes->expected_rows, n));

	json_decref(snapshot);
	return equal;
}

static void publish(void *ctx, struct config *c, struct learner *l)
{
	struct sim_node *s = ctx;

	s->reverts += c->revision <= s->in_force;
	s->wrong += !has_expected_rows(s, l, c->revision);
	config_unref(s->config);
	s->config = c;
	s->in_force = c->revision;
	s->in_force_ms = s->nodes->fake->now_ms;
}

static void on_invalid_row(void *ctx, const char *error)
{
	(void)error;
	((struct sim_node *)ctx)->invalid_rows++;
}

static void on_table_read(void *ctx, bool ok)
{
	((struct sim_node *)ctx)->store_failures += !ok;
}

/* Announce this node's revision to random nodes, once a round. */
static void gossip(struct sim_node *s)
{
	struct nodes *ns = s->nodes;

	if (!ns->gossip_ms || ns->fake->now_ms < s->next_gossip_ms)
		return;
	s->next_gossip_ms = ns->fake->now_ms + ns->gossip_ms;
	for (int i = 0; i < GOSSIP_FANOUT; i++) {
		int to = g_rand_int_range(ns->fake->rand, 0, ns->count);

		if (!ns->fake->procs[to].dead && ns->node[to].learner)
			learn_note_peer_revision(ns->node[to].learner,
						 s->in_force);
	}
}

static void tick(void *arg)
{
	struct sim_node *s = arg;
	struct fake *f = s->nodes->fake;

	learn_tick(s->learner, f->now_ms);
	gossip(s);
	fake_schedule(f, s->proc, s->nodes->tick_ms, tick, s);
}

int nodes_start(struct nodes *ns)
{
	int p = ns->count++;
	struct sim_node *s = &ns->node[p];
	struct learn_ops ops = {
		.ctx = s,
		.plat = fake_platform(ns->fake, p),
		.poll_ms = ns->poll_ms,
		.peers = peers,
		.fetch_changes = fetch_changes,
		.fetch_snapshot = fetch_snapshot,
		.is_table_reader = is_table_reader,
		.is_snapshot_writer = is_snapshot_writer,
		.random = draw_random,
		.publish = publish,
		.report_invalid_row = on_invalid_row,
		.report_table_read = on_table_read,
	};

	s->nodes = ns;
	s->proc = p;
	s->in_force = -1;
	s->learner = learn_new(&ops);
	fake_schedule(ns->fake, p,
		      g_rand_int_range(ns->fake->rand, 0, (int)ns->poll_ms),
		      tick, s);
	return p;
}

int nodes_count_behind(const struct nodes *ns, int64_t revision)
{
	int n = 0;

	for (int i = 0; i < ns->count; i++)
		n += !ns->fake->procs[i].dead &&
		     ns->node[i].in_force < revision;
	return n;
}

int64_t nodes_converge(struct nodes *ns, int64_t revision, int64_t max_ms)
{
	struct fake *f = ns->fake;
	int64_t start = f->now_ms;

	while (nodes_count_behind(ns, revision) && f->now_ms < start + max_ms)
		fake_run(f, f->now_ms + 10);
	return f->now_ms - start;
}

void nodes_delete_changes(struct nodes *ns, int64_t from, int64_t to)
{
	for (int64_t i = from; i <= to; i++) {
		char *key = g_strdup_printf("chg/%020" G_GINT64_FORMAT, i);

		fake_delete(ns->fake, key);
		g_free(key);
	}
}

static bool chance(struct fake *f, double p)
{
	return g_rand_double(f->rand) < p;
}

static void draw_faults(struct fake *f)
{
	f->faults.lose_answer = chance(f, 0.5) ? 0.2 : 0;
	f->faults.lose_request = chance(f, 0.5) ? 0.2 : 0;
	f->faults.refuse = chance(f, 0.5) ? 0.3 : 0;
	f->faults.stale = chance(f, 0.7) ? 0.5 : 0;
	f->faults.stale_revisions = 30;
	f->faults.delay_max_ms = chance(f, 0.3) ? 1500 : 10;
	f->faults.down_from_ms = f->now_ms + g_rand_int_range(f->rand, 0, 9000);
	f->faults.down_until_ms =
		f->faults.down_from_ms + g_rand_int_range(f->rand, 0, 20000);
	for (int p = 0; p < NODES_MAX; p++) {
		f->procs[p].kill_at_step =
			chance(f, 0.2) ? g_rand_int_range(f->rand, 1, 900) : 0;
		f->procs[p].pause_at_step =
			chance(f, 0.4) ? g_rand_int_range(f->rand, 1, 900) : 0;
		f->procs[p].pause_ms = g_rand_int_range(f->rand, 100, 15000);
	}
}

static void change_at_random(struct nodes *ns)
{
	struct fake *f = ns->fake;
	char name[2] = {(char)('a' + g_rand_int_range(f->rand, 0, 5)), 0};

	if (chance(f, 0.2))
		nodes_change(ns, KIND_ORGANISATION, name, NULL);
	else
		nodes_change_weight(ns, name,
				    1 + g_rand_int_range(f->rand, 0, 900));
	if (chance(f, 0.1))
		nodes_delete_changes(ns, 1, nodes_head(ns) - 3);
}

void nodes_schedule(uint32_t seed, struct nodes_totals *v)
{
	struct fake *f = fake_new(seed);
	struct nodes *ns = nodes_new(f);
	int64_t until = f->now_ms + FAULT_PHASE_MS;

	ns->gossip_ms = chance(f, 0.5) ? 200 : 0;
	draw_faults(f);
	for (int i = 0; i < 3; i++)
		nodes_start(ns);
	while (f->now_ms < until) {
		change_at_random(ns);
		if (ns->count < NODES_MAX && chance(f, 0.1))
			nodes_start(ns);
		fake_run(f, f->now_ms + g_rand_int_range(f->rand, 1, 1000));
	}
	f->faults = (struct fake_faults){
		.delay_min_ms = 1, .delay_max_ms = 5, .timeout_ms = 2000};
	nodes_converge(ns, nodes_head(ns), SETTLE_MS);
	v->behind += nodes_count_behind(ns, nodes_head(ns));
	v->changes += nodes_head(ns);
	for (int i = 0; i < ns->count; i++) {
		v->reverts += ns->node[i].reverts;
		v->wrong += ns->node[i].wrong;
	}
	nodes_free(ns);
	fake_free(f);
}
