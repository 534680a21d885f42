/*
 * Bounds on the age of the configuration and of the evacuated zones, and
 * numbers that go back, in virtual time: one node and a store with a
 * configuration and a zone.
 */
#include <string.h>

#include "entry/control.h"
#include "entry/evacuations.h"
#include "entry/test-virtual.h"

#define APPLY_MS      2000
#define EVACUATION_MS 5000
#define CONTACT_MS    3000
#define ZONE          "a"

/* What the store shows. */
struct state {
	int64_t era;
	int64_t revision;
	int64_t version; /* of the configuration */
	bool evacuated;
};

static struct {
	struct state now;
	const struct state *next; /* shown by the next read only */
	int refused;              /* so many reads of its are refused */
} store;

/* A node without its threads. */
struct node {
	struct entry e;
	struct entry_options options;
	struct store_sync *sync;
	bool asked_config; /* a call for the configuration is in progress */
};

/* A call in progress, which shows the store as it was when it was sent. */
struct call {
	struct node *node;
	enum store_table table;
	store_done_fn *done;
	void *ctx;
	ev_timer timer;
	int64_t sent_ms;
	struct state state;
	bool refused;
};

static void finish_call(struct ev_loop *loop, ev_timer *w, int events)
{
	struct call *c = w->data;
	struct store_row rows[] = {
		{"config", c->state.version, false, NULL},
		{"evacuate/" ZONE, c->state.revision, false, ZONE}};
	struct store_page p = {
		.status = c->refused ? STORE_FAILED : STORE_OK,
		.refused = c->refused,
		.rows = rows,
		.n = c->refused ? 0 : 1 + c->state.evacuated,
		.era = c->state.era,
		.revision = c->state.revision,
		.sent_ms = c->sent_ms,
	};

	(void)loop;
	(void)events;
	if (c->table == STORE_TARGETS)
		p.n = 0;
	else
		c->node->asked_config = false;
	c->done(c->ctx, &p);
	g_free(c);
}

static void start_call(struct node *n, enum store_table t, store_done_fn *done,
		       void *ctx)
{
	struct call *c = g_new0(struct call, 1);

	*c = (struct call){.node = n,
			   .table = t,
			   .done = done,
			   .ctx = ctx,
			   .sent_ms = time_boot_ms(),
			   .state = store.now};
	if (t == STORE_CONFIG) {
		n->asked_config = true;
		c->refused = store.refused > 0;
		store.refused -= c->refused;
		if (store.next)
			c->state = *store.next;
		store.next = NULL;
	}
	ev_timer_init(&c->timer, finish_call, VIRTUAL_CALL_MS / 1000.0, 0);
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

/* Start a loop in virtual time, with a store that is up. */
static struct ev_loop *virtual_loop(void)
{
	store.now = (struct state){.era = 1, .revision = 10, .version = 5};
	store.next = NULL;
	store.refused = 0;
	return virtual_loop_new();
}

static struct node *node_new(struct ev_loop *loop, bool reader, guint32 seed)
{
	struct node *n = g_new0(struct node, 1);
	struct entry_settings *s = &n->e.control_settings;

	s->bounds_drain_ms = 4000;
	s->bounds_contact_ms = CONTACT_MS;
	s->bounds_revoke_ms = 5000;
	s->bounds_config_apply_ms = APPLY_MS;
	n->sync = virtual_node_init(&n->e, &n->options, &fake_api, n, loop,
				    reader, seed);
	return n;
}

static void node_end(struct node *n, struct ev_loop *loop)
{
	virtual_node_clear(&n->e, n->sync);
	g_free(n);
	virtual_loop_end(loop);
}

static bool list_is_usable(const struct node *n)
{
	return n->e.list && atomic_load(&n->e.list->until_ms) > time_boot_ms();
}

/* Change the store once the node has just asked for its rows. */
static int64_t change_after_read(struct node *n, struct ev_loop *loop)
{
	while (!n->asked_config)
		virtual_step(loop, 1);
	while (n->asked_config)
		virtual_step(loop, 1);
	store.now.revision++;
	return time_boot_ms();
}

/*
 * A node that no other node reaches handles requests by an old configuration,
 * as it reads the store itself more seldom than the bound allows.
 */
static void check_alone(int refused)
{
	int64_t worst_ms = 0;

	for (guint32 seed = 0; seed < 20; seed++) {
		struct ev_loop *loop = virtual_loop();
		struct node *n = node_new(loop, false, seed);
		int64_t acked_ms, old_ms = 0;

		virtual_step(loop, 10000);
		acked_ms = change_after_read(n, loop);
		store.now.version++;
		store.refused = refused;
		while (n->e.config->version != store.now.version) {
			virtual_step(loop, 1);
			if (list_is_usable(n))
				old_ms = time_boot_ms() - acked_ms;
		}
		worst_ms = MAX(worst_ms, old_ms);
		node_end(n, loop);
	}
	g_test_message("%d reads refused: old configuration for up to %d ms",
		       refused, (int)worst_ms);
	g_assert_cmpint(worst_ms, <=, APPLY_MS);
}

static void test_config_alone(void)
{
	check_alone(0);
}

static void test_config_refused(void)
{
	check_alone(1);
}

/*
 * While the control thread stands still, requests are handled by an old
 * configuration as long as the list may be used.
 */
static void test_config_paused(void)
{
	struct ev_loop *loop = virtual_loop();
	struct node *n = node_new(loop, true, 1);
	int64_t acked_ms;

	virtual_step(loop, 5000);
	acked_ms = change_after_read(n, loop);
	store.now.version++;
	while (list_is_usable(n))
		virtual_ms++;
	g_test_message("old configuration for %d ms",
		       (int)(time_boot_ms() - acked_ms));
	g_assert_cmpint(time_boot_ms() - acked_ms, <=, APPLY_MS);
	node_end(n, loop);
}

/* A read that shows an older state, long after a new era, is taken as new. */
static void test_config_old_read(void)
{
	struct ev_loop *loop = virtual_loop();
	struct node *n = node_new(loop, true, 1);
	struct state old;
	int64_t lowest;

	virtual_step(loop, 2000);
	store.now.era = 2;
	store.now.revision = 100;
	virtual_step(loop, 10000);
	old = store.now;
	store.now.version = 6;
	store.now.revision++;
	virtual_step(loop, 1000);
	g_assert_cmpint(n->e.config->version, ==, 6);
	lowest = n->e.config->version;
	store.next = &old;
	for (int i = 0; i < 3000; i++) {
		virtual_step(loop, 1);
		lowest = MIN(lowest, n->e.config->version);
	}
	g_assert_cmpint(lowest, ==, 6);
	node_end(n, loop);
}

/* The same without a new era, where versions only grow. */
static void test_config_old_read_first_era(void)
{
	struct ev_loop *loop = virtual_loop();
	struct node *n = node_new(loop, true, 1);
	struct state old = store.now;

	virtual_step(loop, 2000);
	store.now.version = 6;
	store.now.revision++;
	virtual_step(loop, 1000);
	store.next = &old;
	for (int i = 0; i < 3000; i++) {
		virtual_step(loop, 1);
		g_assert_cmpint(n->e.config->version, ==, 6);
	}
	node_end(n, loop);
}

/*
 * A node that has the configuration of a restored store asks another node,
 * which still has the one from before, for that one.
 */
static void test_config_before_restore(void)
{
	struct ev_loop *loop = virtual_loop();
	struct node *n = node_new(loop, true, 1);
	struct store_query query;
	struct config_query wanted;
	struct store_query_answer answer = {.config_version = 7,
					    .config_hash = 77,
					    .config_age_ms = 100,
					    .targets_age_ms = UINT32_MAX};

	store.now.version = 7;
	virtual_step(loop, 2000);
	store.now.era = 2;
	store.now.version = 6;
	virtual_step(loop, 10000);
	g_assert_cmpint(n->e.config->version, ==, 6);
	store_sync_query(n->sync, time_boot_ms(), false, &query);
	answer.query_sent_ms = query.sent_ms;
	answer.era = 2;
	store_sync_apply_answer(n->sync, &answer);
	g_assert_false(store_sync_config_query(n->sync, &wanted));
	node_end(n, loop);
}

/* A node that no other node reaches learns of an evacuation too late. */
static void check_evacuation(bool reader, int refused)
{
	int64_t worst_ms = 0;

	for (guint32 seed = 0; seed < 20; seed++) {
		struct ev_loop *loop = virtual_loop();
		struct node *n = node_new(loop, reader, seed);
		uint64_t zone = evacuation_zone_id(str_c(ZONE));
		int64_t acked_ms, last_ms = 0;

		virtual_step(loop, 10000);
		acked_ms = change_after_read(n, loop);
		store.now.evacuated = true;
		store.refused = refused;
		while (!evacuations_has(n->e.evacuations, zone)) {
			virtual_step(loop, 1);
			if (list_is_usable(n))
				last_ms = time_boot_ms() - acked_ms;
		}
		worst_ms = MAX(worst_ms, last_ms);
		node_end(n, loop);
	}
	g_test_message("%s, %d reads refused: sends for up to %d ms",
		       reader ? "reader" : "node", refused, (int)worst_ms);
	g_assert_cmpint(worst_ms, <=, EVACUATION_MS);
}

static void test_evacuation_alone(void)
{
	check_evacuation(false, 0);
	check_evacuation(true, 0);
	check_evacuation(true, 2);
}

static void test_evacuation_refused(void)
{
	check_evacuation(false, 1);
}

/* Other nodes confirm the configuration of a node that gets no notices. */
static void test_evacuation_no_notice(void)
{
	struct ev_loop *loop = virtual_loop();
	struct node *n = node_new(loop, false, 1);
	uint64_t zone = evacuation_zone_id(str_c(ZONE));
	int64_t acked_ms;

	virtual_step(loop, 10000);
	acked_ms = change_after_read(n, loop);
	store.now.evacuated = true;
	while (!evacuations_has(n->e.evacuations, zone) &&
	       time_boot_ms() - acked_ms < 2 * EVACUATION_MS) {
		struct store_query query;
		struct store_query_answer answer = {
			.era = 1,
			.config_version = n->sync->config_version,
			.config_hash = n->sync->config_hash,
			.targets_revision = store.now.revision};

		virtual_step(loop, 400);
		store_sync_query(n->sync, time_boot_ms(), false, &query);
		answer.query_sent_ms = query.sent_ms;
		answer.targets_hash = query.targets_hash;
		store_sync_apply_answer(n->sync, &answer);
	}
	g_test_message("learns of it after %d ms",
		       (int)(time_boot_ms() - acked_ms));
	g_assert_cmpint(time_boot_ms() - acked_ms, <=, EVACUATION_MS);
	node_end(n, loop);
}

/* What another node has said before the control thread was paused. */
static struct peer_record record_of_limit(int per_1000_s)
{
	struct peer_record r = {.kind = RECORD_LIMIT};

	r.peer_record_u.limit = (struct limit_report){1, per_1000_s, 10};
	return r;
}

static struct peer_record record_of_notice(enum notice_kind kind, int64_t value)
{
	struct peer_record r = {.kind = RECORD_NOTICE};

	r.peer_record_u.notice = (struct notice_report){kind, 1, value, 10};
	return r;
}

static void receive(struct control *c, struct peer_record *r)
{
	struct peer_records m = {{1, r}};

	peers_receive_records(c, &m);
}

/*
 * A record that has waited for the control thread replaces what the traffic
 * thread has learned since, and goes from here to the other nodes as the latest
 * one.
 */
static void test_record_after_pause(void)
{
	struct ev_loop *loop = virtual_loop();
	struct node *n = node_new(loop, true, 1);
	struct control c = {.e = &n->e, .record_budget_ms = time_boot_ms()};
	struct peer_record limit = record_of_limit(LIMIT_NONE);
	struct peer_record unknown = record_of_limit(3000);
	struct peer_record brittle =
		record_of_notice(NOTICE_TARGET_BRITTLE, LIMIT_NONE);
	struct peer_record cut = record_of_notice(NOTICE_NODE_CUT, 0);
	struct target_limit known;

	virtual_ms += 1000;
	target_limits_name(n->e.target_limits, 1, 2000, time_boot_ms());
	notices_set(n->e.notices, NOTICE_TARGET_BRITTLE, 1, 3000,
		    time_boot_ms());
	notices_set(n->e.notices, NOTICE_NODE_CUT, 1, 1, time_boot_ms());
	virtual_ms += 1000;
	receive(&c, &limit);
	receive(&c, &brittle);
	receive(&c, &cut);
	g_assert_cmpuint(target_limits_list(n->e.target_limits, &known, 1), ==,
			 1);
	g_assert_cmpint(known.per_1000_s, ==, 2000);
	g_assert_cmpint(notices_get(n->e.notices, NOTICE_TARGET_BRITTLE, 1,
				    time_boot_ms(), 0),
			==, 3000);
	g_assert_cmpint(notices_get(n->e.notices, NOTICE_NODE_CUT, 1,
				    time_boot_ms(), 0),
			==, 1);
	/*
	 * What nothing contradicts is used, whenever it was said. No nodes are
	 * set, so that any limit allows nothing.
	 */
	unknown.peer_record_u.limit.target = 2;
	receive(&c, &unknown);
	g_assert_cmpint(
		target_limits_next_ms(n->e.target_limits, 2, time_boot_ms()),
		==, INT64_MAX);
	/* Once the thread runs again, records count. */
	virtual_ms += 1000;
	c.record_budget_ms = time_boot_ms();
	receive(&c, &limit);
	receive(&c, &brittle);
	receive(&c, &cut);
	g_assert_cmpint(
		target_limits_next_ms(n->e.target_limits, 1, time_boot_ms()),
		==, time_boot_ms());
	g_assert_cmpint(notices_get(n->e.notices, NOTICE_TARGET_BRITTLE, 1,
				    time_boot_ms(), 0),
			==, LIMIT_NONE);
	g_assert_cmpint(notices_get(n->e.notices, NOTICE_NODE_CUT, 1,
				    time_boot_ms(), 1),
			==, 0);
	node_end(n, loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/bounds-at-send/config-alone",
			test_config_alone);
	g_test_add_func("/entry/bounds-at-send/config-refused",
			test_config_refused);
	g_test_add_func("/entry/bounds-at-send/config-paused",
			test_config_paused);
	g_test_add_func("/entry/bounds-at-send/config-old-read",
			test_config_old_read);
	g_test_add_func("/entry/bounds-at-send/config-old-read-first-era",
			test_config_old_read_first_era);
	g_test_add_func("/entry/bounds-at-send/config-before-restore",
			test_config_before_restore);
	g_test_add_func("/entry/bounds-at-send/evacuation-alone",
			test_evacuation_alone);
	g_test_add_func("/entry/bounds-at-send/evacuation-refused",
			test_evacuation_refused);
	g_test_add_func("/entry/bounds-at-send/evacuation-no-notice",
			test_evacuation_no_notice);
	g_test_add_func("/entry/bounds-at-send/record-after-pause",
			test_record_after_pause);
	return g_test_run();
}
