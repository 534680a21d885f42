/*
 * Bounds that have to be checked where a view is used, and what a node says or
 * takes for true of its list meanwhile. In virtual time: one node and a store
 * whose two tables answer at their own pace.
 */
#include <string.h>

#include "entry/test-virtual.h"

#define REVOKE_MS 2000
/* See peer-messages.c. */
#define QUERY_INTERVAL_MS 400

/* The store: a configuration and at most one target. */
static struct {
	int64_t version; /* of the configuration */
	int64_t revision;
	const char *target; /* NULL: none */
	bool down;
	int targets_ms; /* until a read of the targets is answered */
	int refused;    /* so many reads of the targets are refused */
} store;

/* A node without its threads. */
struct node {
	struct entry e;
	struct entry_options options;
	struct store_sync *sync;
	int target_reads;
};

/* A call in progress, which shows the store as it was when it was sent. */
struct call {
	struct node *node;
	enum store_table table;
	store_done_fn *done;
	void *ctx;
	ev_timer timer;
	int64_t sent_ms, version, revision;
	const char *target;
	bool down, refused;
};

static void finish_call(struct ev_loop *loop, ev_timer *w, int events)
{
	struct call *c = w->data;
	struct store_row row = {"config", c->version, false, NULL};
	struct store_page p = {
		.status = c->down ? STORE_FAILED : STORE_OK,
		.refused = c->refused,
		.rows = &row,
		.n = !c->down,
		.era = 1,
		.revision = c->revision,
		.sent_ms = c->sent_ms,
	};

	(void)loop;
	(void)events;
	if (c->table == STORE_TARGETS) {
		row = (struct store_row){c->target, c->revision, false, NULL};
		p.n = !c->down && c->target;
	}
	c->done(c->ctx, &p);
	g_free(c);
}

static void start_call(struct node *n, enum store_table t, store_done_fn *done,
		       void *ctx)
{
	struct call *c = g_new0(struct call, 1);
	int ms = t == STORE_TARGETS && !store.down ? store.targets_ms
						   : VIRTUAL_CALL_MS;
	bool refused = t == STORE_TARGETS && store.refused > 0;

	*c = (struct call){.node = n,
			   .table = t,
			   .done = done,
			   .ctx = ctx,
			   .sent_ms = time_boot_ms(),
			   .version = store.version,
			   .revision = store.revision,
			   .target = store.target,
			   .down = store.down || refused,
			   .refused = refused && !store.down};
	store.refused -= refused;
	n->target_reads += t == STORE_TARGETS;
	ev_timer_init(&c->timer, finish_call, ms / 1000.0, 0);
	c->timer.data = c;
	ev_timer_start(n->e.tr.loop, &c->timer);
}

static void fake_read(void *node, enum store_table t, const char *from,
		      store_done_fn *done, void *ctx)
{
	(void)from;
	start_call(node, t, done, ctx);
}

static void fake_await(void *node, enum store_table t, int64_t revision,
		       int64_t wait_ms, store_done_fn *done, void *ctx)
{
	(void)revision;
	(void)wait_ms;
	start_call(node, t, done, ctx);
}

static const struct store_api fake_api = {.read = fake_read,
					  .await = fake_await,
					  .value = virtual_value,
					  .target = virtual_target,
					  .config = virtual_config};

/* Start a loop in virtual time, with a store that is up and a target in it. */
static struct ev_loop *virtual_loop(void)
{
	store.version = 1;
	store.revision = 1;
	store.target = "t";
	store.down = false;
	store.targets_ms = VIRTUAL_CALL_MS;
	store.refused = 0;
	return virtual_loop_new();
}

static struct node *node_new(struct ev_loop *loop, bool reader, int drain_ms,
			     guint32 seed)
{
	struct node *n = g_new0(struct node, 1);
	struct entry_settings *s = &n->e.control_settings;

	s->bounds_drain_ms = drain_ms;
	s->bounds_contact_ms = 5000;
	s->bounds_revoke_ms = REVOKE_MS;
	s->bounds_config_apply_ms = 2000;
	n->sync = virtual_node_init(&n->e, &n->options, &fake_api, n, loop,
				    reader, seed);
	return n;
}

static void node_free(struct node *n)
{
	virtual_node_clear(&n->e, n->sync);
	g_free(n);
}

/* End a case with one node. */
static void node_end(struct node *n, struct ev_loop *loop)
{
	node_free(n);
	virtual_loop_end(loop);
}

/*
 * A revoked key is accepted by the configuration before, while the traffic
 * thread has not taken the one that the control thread has just confirmed.
 */
static void check_key(bool changed)
{
	struct ev_loop *loop = virtual_loop();
	struct node *n = node_new(loop, true, 4000, 1);

	virtual_step(loop, 1000);
	n->e.tr.config = entry_config_ref(n->e.config);
	g_assert_true(entry_config_is_valid(&n->e, time_boot_ms()));
	store.down = true;
	virtual_step(loop, 2 * REVOKE_MS);
	g_assert_false(entry_config_is_valid(&n->e, time_boot_ms()));
	/* Acknowledged long ago by a store that this node did not reach. */
	store.version += changed;
	store.revision++;
	store.down = false;
	virtual_step(loop, 1000);
	g_assert_cmpint(n->e.config->version, ==, 1 + changed);
	g_assert_cmpint(entry_config_is_valid(&n->e, time_boot_ms()), ==,
			!changed);
	entry_config_unref(n->e.tr.config);
	n->e.tr.config = n->e.config;
	g_assert_true(entry_config_is_valid(&n->e, time_boot_ms()));
	node_end(n, loop);
}

static void test_key_same_config(void)
{
	check_key(false);
}

static void test_key_older_config(void)
{
	check_key(true);
}

/* The age in the log of a send is that of another list than the one in use. */
static void test_log_older_list(void)
{
	struct ev_loop *loop = virtual_loop();
	struct node *n = node_new(loop, true, 4000, 1);
	struct target_list *taken;
	int64_t fresh_ms;

	virtual_step(loop, 1000);
	taken = target_list_ref(n->e.list);
	fresh_ms = atomic_load(&taken->fresh_ms);
	g_assert_cmpint(fresh_ms, >, VIRTUAL_START_MS);
	store.target = NULL;
	store.revision++;
	virtual_step(loop, 2000);
	g_assert_true(n->e.list != taken);
	g_assert_cmpint(atomic_load(&taken->fresh_ms), <, fresh_ms + 1000);
	g_assert_cmpint(atomic_load(&n->e.list->fresh_ms), >, fresh_ms + 1000);
	target_list_unref(taken);
	node_end(n, loop);
}

/* The target leaves just after a read has shown it; return when. */
static int64_t leave_after_read(struct node *n, struct ev_loop *loop)
{
	virtual_step(loop, 5000);
	while (!n->sync->targets_busy)
		virtual_step(loop, 1);
	while (n->sync->targets_busy)
		virtual_step(loop, 1);
	g_assert_cmpuint(n->e.list->n, ==, 1);
	store.target = NULL;
	store.revision++;
	return time_boot_ms();
}

/*
 * Go on until the node knows that the target has left. Return for how much
 * longer than the drain time its list could be used.
 */
static int64_t used_too_long_ms(struct node *n, struct ev_loop *loop,
				int64_t left_ms, int drain_ms)
{
	int64_t past_ms = 0;

	while (n->e.list->n) {
		virtual_step(loop, 1);
		if (n->e.list->n &&
		    atomic_load(&n->e.list->until_ms) > time_boot_ms())
			past_ms = MAX(past_ms,
				      time_boot_ms() - left_ms - drain_ms);
	}
	return past_ms;
}

/*
 * One read of the targets is answered late, by a machine that is busy, and the
 * list of a target that has left meanwhile is used beyond the drain time.
 */
static void check_late_answer(bool reader, int drain_ms)
{
	int64_t worst_ms = 0;

	for (int late_ms = 100; late_ms <= 500; late_ms += 50) {
		int64_t past_ms = 0;

		for (guint32 seed = 0; seed < 10; seed++) {
			struct ev_loop *loop = virtual_loop();
			struct node *n = node_new(loop, reader, drain_ms, seed);
			int64_t left_ms = leave_after_read(n, loop), used_ms;

			store.targets_ms = late_ms;
			used_ms = used_too_long_ms(n, loop, left_ms, drain_ms);
			past_ms = MAX(past_ms, used_ms);
			node_end(n, loop);
		}
		g_test_message("answers late by %d ms: used %d ms too long",
			       late_ms, (int)past_ms);
		worst_ms = MAX(worst_ms, past_ms);
	}
	g_assert_cmpint(worst_ms, ==, 0);
}

static void test_late_answer_500(void)
{
	check_late_answer(true, 500);
	check_late_answer(false, 500);
}

static void test_late_answer_2000(void)
{
	check_late_answer(true, 2000);
	check_late_answer(false, 2000);
}

static void test_late_answer_4000(void)
{
	check_late_answer(true, 4000);
	check_late_answer(false, 4000);
}

/*
 * A sound store refuses some reads of a node, as all nodes together read too
 * often, and its list is used beyond the drain time.
 */
static void check_refused(int reads, bool reader, int drain_ms)
{
	int64_t past_ms = 0;

	for (guint32 seed = 0; seed < 20; seed++) {
		struct ev_loop *loop = virtual_loop();
		struct node *n = node_new(loop, reader, drain_ms, seed);
		int64_t left_ms = leave_after_read(n, loop), used_ms;

		store.refused = reads;
		used_ms = used_too_long_ms(n, loop, left_ms, drain_ms);
		past_ms = MAX(past_ms, used_ms);
		node_end(n, loop);
	}
	g_test_message("%d reads of a %s refused: used %d ms too long", reads,
		       reader ? "reader" : "node", (int)past_ms);
	g_assert_cmpint(past_ms, ==, 0);
}

static void test_refused_once(void)
{
	check_refused(1, true, 4000);
	check_refused(1, false, 4000);
	check_refused(1, true, 2000);
	check_refused(1, false, 2000);
}

static void test_refused_node(void)
{
	for (int reads = 2; reads <= 4; reads++)
		check_refused(reads, false, 4000);
}

static void test_refused_reader(void)
{
	for (int reads = 2; reads <= 8; reads++)
		check_refused(reads, true, 4000);
}

/*
 * A target that has written its row again in time after an outage is taken for
 * removed, by a read that was sent before and answered when rows may be
 * removed.
 */
static void check_back_in_time(int targets_ms)
{
	int lost_ms = 0;

	for (int shift_ms = 0; shift_ms < 400; shift_ms += 20) {
		struct ev_loop *loop = virtual_loop();
		struct node *n = node_new(loop, true, 4000, 1);

		virtual_step(loop, 1000);
		store.down = true;
		virtual_step(loop, 5000 + shift_ms);
		store.target = NULL;
		store.revision++;
		store.targets_ms = targets_ms;
		store.down = false;
		virtual_step(loop, 1800);
		store.target = "t";
		store.revision++;
		for (int ms = 0; ms < 6000; ms++) {
			virtual_step(loop, 1);
			lost_ms += !n->e.list->n;
		}
		g_assert_cmpuint(n->e.list->n, ==, 1);
		node_end(n, loop);
	}
	g_test_message("targets calls of %d ms: without the target %d ms in 20 "
		       "outages",
		       targets_ms, lost_ms);
	g_assert_cmpint(lost_ms, ==, 0);
}

static void test_back_in_time(void)
{
	check_back_in_time(VIRTUAL_CALL_MS);
}

static void test_back_in_time_slow(void)
{
	for (int ms = 200; ms <= 1400; ms += 200)
		check_back_in_time(ms);
}

/*
 * A relay answers later than at the interval of the queries, as its thread is
 * busy, and a node whose list is the relay's reads the store again and again.
 */
static void check_relay_late(int late_ms)
{
	struct ev_loop *loop = virtual_loop();
	struct node *relay = node_new(loop, true, 4000, 1);
	struct node *n = node_new(loop, false, 4000, 2);
	struct store_query asked[2] = {0};
	int64_t due_ms[2] = {0}, oldest_ms = 0;
	int reads, slot = 0;

	virtual_step(loop, 1000);
	reads = n->target_reads;
	for (int ms = 0; ms < 20000; ms++) {
		virtual_step(loop, 1);
		for (int i = 0; i < 2; i++) {
			struct target_update updates[TARGET_UPDATES_MAX];
			struct store_query_answer answer;

			if (due_ms[i] != time_boot_ms())
				continue;
			store_sync_answer(relay->sync, &asked[i], &answer,
					  updates);
			store_sync_apply_answer(n->sync, &answer);
		}
		if (ms % QUERY_INTERVAL_MS == 0) {
			store_sync_query(n->sync, time_boot_ms(), false,
					 &asked[slot]);
			due_ms[slot] = time_boot_ms() + late_ms;
			slot = !slot;
		}
		oldest_ms =
			MAX(oldest_ms,
			    time_boot_ms() -
				    store_sync_targets_confirmed_ms(n->sync));
	}
	g_test_message("answers after %d ms: %d own reads in 20 s, oldest list "
		       "%d ms",
		       late_ms, n->target_reads - reads, (int)oldest_ms);
	g_assert_cmpint(n->target_reads, ==, reads);
	node_free(relay);
	node_end(n, loop);
}

static void test_relay_late_350(void)
{
	check_relay_late(350);
}

static void test_relay_late_450(void)
{
	check_relay_late(450);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/list-bound/key-same-config",
			test_key_same_config);
	g_test_add_func("/entry/list-bound/key-older-config",
			test_key_older_config);
	g_test_add_func("/entry/list-bound/log-older-list",
			test_log_older_list);
	g_test_add_func("/entry/list-bound/late-answer-500",
			test_late_answer_500);
	g_test_add_func("/entry/list-bound/late-answer-2000",
			test_late_answer_2000);
	g_test_add_func("/entry/list-bound/late-answer-4000",
			test_late_answer_4000);
	g_test_add_func("/entry/list-bound/refused-once", test_refused_once);
	g_test_add_func("/entry/list-bound/refused-node", test_refused_node);
	g_test_add_func("/entry/list-bound/refused-reader",
			test_refused_reader);
	g_test_add_func("/entry/list-bound/back-in-time", test_back_in_time);
	g_test_add_func("/entry/list-bound/back-in-time-slow",
			test_back_in_time_slow);
	g_test_add_func("/entry/list-bound/relay-late-350",
			test_relay_late_350);
	g_test_add_func("/entry/list-bound/relay-late-450",
			test_relay_late_450);
	return g_test_run();
}
