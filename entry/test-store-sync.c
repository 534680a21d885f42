/*
 * Two nodes that keep in step with a store: one reads it, the other learns from
 * the first. The store is a set of callbacks that answer at once.
 */
#include <string.h>
#include <sys/syscall.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

#include "entry/evacuations.h"
#include "entry/origins.h"
#include "entry/store-sync.h"

#define WAIT_MS 10000
/* Of calls that get no answer; the default of store.timeout. */
#define CALL_TIMEOUT_S 1.5
/*
 * After an outage of the store a node has to know this soon what was removed
 * before it: the shortest time in which operators count it as in touch again.
 */
#define IN_TOUCH_MS 3000
/* Time in which a new configuration has to be in force; in the settings. */
#define CONFIG_APPLY_MS 2000

/* The store: a configuration, zones that are evacuated, at most one target. */
static struct {
	int64_t version; /* of the configuration */
	const char *content;
	int64_t revision, era;
	const char *zone;   /* evacuated; NULL: none */
	const char *target; /* NULL: none */
	bool down;
	bool silent;     /* calls get no answer and end by their timeout */
	int call_ms;     /* until an answer; 0: 2 ms */
	int call_max_ms; /* if set, a random time from call_ms up to it */
	bool early; /* answers show what was there when the call was sent */
} store;

static GRand *call_rand; /* see call_max_ms */

/* Time of the cases that don't wait for it; 0: the real time counts. */
static int64_t virtual_ms;

/* Replaces the C library's, for this program, libev and the modules. */
int clock_gettime(clockid_t id, struct timespec *t)
{
	if (!virtual_ms)
		return (int)syscall(SYS_clock_gettime, id, t);
	t->tv_sec = virtual_ms / 1000;
	t->tv_nsec = virtual_ms % 1000 * 1000000L;
	return 0;
}

/* A node without its threads. */
struct node {
	struct entry e;
	struct entry_options options;
	struct store_sync *sync;
	int config_reads, target_reads;
	bool cut;         /* its calls to the store fail at once */
	bool silent;      /* they get no answer, and fail by their timeout */
	int fail_targets; /* so many of its calls for the targets fail */
	bool refused;     /* all its calls are, as there are too many */
};

/* A call in progress; its callback runs from the loop. */
struct call {
	struct node *node;
	enum store_table table;
	store_done_fn *done;
	void *ctx;
	ev_timer timer;
	int64_t sent_ms;
	bool silent;        /* the store was when it was sent */
	const char *target; /* in the store then */
	int64_t revision;   /* of the store then */
};

/* Whether a long poll takes its time, or is answered at once. */
static bool polls_wait;

static json_t *fake_value(const struct store_page *p, size_t i)
{
	(void)p;
	(void)i;
	return json_pack("{s:I,s:s}", "version", (json_int_t)store.version,
			 "content", store.content);
}

static struct entry_config *fake_config(const json_t *value, GError **err)
{
	struct entry_config *c = entry_config_new();

	(void)err;
	c->version = json_integer_value(json_object_get(value, "version"));
	entry_config_index(c);
	return c;
}

static bool fake_target(void *arena, const char *key, const json_t *value,
			struct target_info *out)
{
	(void)arena;
	(void)value;
	*out = (struct target_info){.id = 1, .name = str_c(key)};
	return true;
}

static void finish_call(struct ev_loop *loop, ev_timer *w, int events)
{
	struct call *c = w->data;
	struct store_row rows[] = {
		{"config", store.revision, false, NULL},
		{"evacuated", store.revision, false, store.zone},
	};
	bool early = store.early && c->table == STORE_TARGETS;
	const char *key = early ? c->target : store.target;
	int64_t revision = early ? c->revision : store.revision;
	struct store_row target = {key, revision, false, NULL};
	bool down = store.down || c->node->cut || c->silent ||
		    c->node->refused ||
		    (c->table == STORE_TARGETS && c->node->fail_targets > 0 &&
		     c->node->fail_targets-- > 0);
	struct store_page p = {
		.status = down ? STORE_FAILED : STORE_OK,
		.rows = c->table == STORE_CONFIG ? rows : &target,
		.n = down                       ? 0
		     : c->table == STORE_CONFIG ? 1 + !!store.zone
						: key != NULL,
		.era = store.era,
		.revision = revision,
		.sent_ms = c->sent_ms,
		.refused = c->node->refused,
	};

	(void)loop;
	(void)events;
	c->done(c->ctx, &p);
	g_free(c);
}

/* Return the time that a call to the store takes. */
static int answer_time_ms(void)
{
	if (store.call_max_ms)
		return g_rand_int_range(call_rand, store.call_ms,
					store.call_max_ms + 1);
	return store.call_ms ? store.call_ms : 2;
}

static struct call *start_call(struct node *n, enum store_table t,
			       store_done_fn *done, void *ctx)
{
	struct call *c = g_new0(struct call, 1);

	*c = (struct call){.node = n,
			   .table = t,
			   .done = done,
			   .ctx = ctx,
			   .sent_ms = time_boot_ms(),
			   .silent = store.silent || n->silent,
			   .target = store.target,
			   .revision = store.revision};
	n->config_reads += t == STORE_CONFIG;
	n->target_reads += t == STORE_TARGETS;
	ev_timer_init(&c->timer, finish_call,
		      c->silent ? CALL_TIMEOUT_S : answer_time_ms() / 1000.0,
		      0);
	c->timer.data = c;
	ev_timer_start(n->e.tr.loop, &c->timer);
	return c;
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
	struct node *n = node;
	struct call *c = start_call(n, t, done, ctx);

	(void)revision;
	if (!polls_wait || c->silent)
		return;
	ev_timer_stop(n->e.tr.loop, &c->timer);
	ev_timer_set(&c->timer, (double)wait_ms / 1000.0, 0);
	ev_timer_start(n->e.tr.loop, &c->timer);
}

static const struct store_api fake_api = {.read = fake_read,
					  .await = fake_await,
					  .value = fake_value,
					  .target = fake_target,
					  .config = fake_config};

static void ignore_views(struct ev_loop *loop, ev_async *w, int events)
{
	(void)loop;
	(void)w;
	(void)events;
}

static struct node *node_new(struct ev_loop *loop, bool reader)
{
	struct node *n = g_new0(struct node, 1);

	n->options.store = &fake_api;
	n->e.o = &n->options;
	n->e.store = n;
	n->e.control_settings.bounds_drain_ms = 4000;
	n->e.control_settings.bounds_contact_ms = 5000;
	n->e.control_settings.bounds_revoke_ms = 60000;
	n->e.control_settings.bounds_config_apply_ms = CONFIG_APPLY_MS;
	n->e.control_settings.store_targets_poll_ms = 50;
	n->e.control_settings.store_config_wait_ms = 50;
	n->e.control_settings.store_timeout_ms = CALL_TIMEOUT_S * 1000;
	n->e.tr.loop = loop;
	n->e.origins = origins_new();
	n->e.notices = notices_new();
	n->e.evacuations = entry_evacuations_new(&n->e);
	ev_async_init(&n->e.tr.views_published, ignore_views);
	ev_async_start(loop, &n->e.tr.views_published);
	n->sync = store_sync_new(&n->e, loop);
	store_sync_set_reader(n->sync, reader, 100);
	return n;
}

static int64_t version_of(const struct node *n)
{
	return n->e.config ? n->e.config->version : -1;
}

static void run_for(struct ev_loop *loop, int64_t ms)
{
	int64_t until = time_mono_ms() + ms;

	while (time_mono_ms() < until)
		ev_run(loop, EVRUN_ONCE);
}

/* Run the loop until a node has a version. */
static void run_until(struct ev_loop *loop, const struct node *n,
		      int64_t version)
{
	int64_t until = time_mono_ms() + WAIT_MS;

	while (version_of(n) != version) {
		g_assert_cmpint(time_mono_ms(), <, until);
		ev_run(loop, EVRUN_ONCE);
	}
}

/*
 * Let a node query another one and fetch what it announces. lose: this chunk is
 * lost, if not negative. Return the number of chunks received.
 */
static int exchange(struct node *from, struct node *to, int lose)
{
	struct target_update updates[TARGET_UPDATES_MAX];
	struct store_query_answer answer;
	struct config_query wanted;
	struct config_chunk chunk;
	struct store_query query;
	int chunks = 0;

	store_sync_query(to->sync, time_boot_ms(), false, &query);
	store_sync_answer(from->sync, &query, &answer, updates);
	store_sync_apply_answer(to->sync, &answer);
	while (store_sync_config_query(to->sync, &wanted)) {
		g_assert_true(
			store_sync_config_chunk(from->sync, &wanted, &chunk));
		if (chunks++ == lose)
			return chunks;
		if (!store_sync_apply_chunk(to->sync, &chunk))
			break;
	}
	return chunks;
}

/* Hash of the configuration in force, as a node tells it to others. */
static uint64_t content_hash(const struct node *n)
{
	struct target_update updates[TARGET_UPDATES_MAX];
	struct store_query_answer answer;
	struct store_query query = {.after_key = (char *)""};

	store_sync_answer(n->sync, &query, &answer, updates);
	return answer.config_hash;
}

static void node_free(struct node *n, struct ev_loop *loop)
{
	store_sync_free(n->sync);
	ev_async_stop(loop, &n->e.tr.views_published);
	entry_config_unref(n->e.config);
	target_list_unref(n->e.list);
	origins_free(n->e.origins);
	notices_free(n->e.notices);
	evacuations_free(n->e.evacuations);
	g_free(n);
}

static bool is_evacuated(const struct node *n, const char *zone)
{
	return evacuations_has(n->e.evacuations,
			       evacuation_zone_id(str_c(zone)));
}

/* Run the loop until a zone is evacuated at a node, or no longer. */
static void run_until_evacuated(struct ev_loop *loop, const struct node *n,
				const char *zone, bool evacuated)
{
	int64_t until = time_mono_ms() + WAIT_MS;

	while (is_evacuated(n, zone) != evacuated) {
		g_assert_cmpint(time_mono_ms(), <, until);
		ev_run(loop, EVRUN_ONCE);
	}
}

static void set_store(int64_t version, const char *content, int64_t era)
{
	store.version = version;
	store.content = content;
	store.era = era;
	store.revision++;
	store.down = false;
	store.zone = NULL;
}

/* A new configuration reaches a node in pieces, and without a read of its own.
 */
static void test_config_from_peer(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	char *large = g_strnfill(5000, 'x');
	struct node *reader, *node;
	int reads;

	set_store(1, "first", 1);
	reader = node_new(loop, true);
	node = node_new(loop, false);
	run_until(loop, reader, 1);
	run_until(loop, node, 1);
	reads = node->config_reads;
	set_store(2, large, 1);
	run_until(loop, reader, 2);
	/* The third piece is lost; the next answer goes on from there. */
	g_assert_cmpint(exchange(reader, node, 2), ==, 3);
	g_assert_cmpint(version_of(node), ==, 1);
	g_assert_cmpint(exchange(reader, node, -1), ==, 3);
	g_assert_cmpint(version_of(node), ==, 2);
	g_assert_cmpint(node->config_reads, ==, reads);
	/* One that shares its parts with the last comes as a delta in one
	 * piece. */
	large[100] = '{';
	set_store(3, large, 1);
	run_until(loop, reader, 3);
	g_assert_cmpint(exchange(reader, node, -1), ==, 5);
	g_assert_cmpint(version_of(node), ==, 3);
	set_store(4, large, 1);
	run_until(loop, reader, 4);
	g_assert_cmpint(exchange(reader, node, -1), ==, 1);
	g_assert_cmpint(version_of(node), ==, 4);
	g_assert_cmpint(node->config_reads, ==, reads);
	/* Nothing more is fetched, and an old version is not given out. */
	g_assert_cmpint(exchange(reader, node, -1), ==, 0);
	node_free(reader, loop);
	node_free(node, loop);
	ev_loop_destroy(loop);
	g_free(large);
}

/*
 * The store comes back from a copy with an older configuration, and the
 * operator then writes another one under the number that is in force. No node
 * goes back, both take the new one, and an answer of the earlier era counts for
 * nothing.
 */
static void test_restored_store(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct target_update updates[TARGET_UPDATES_MAX];
	struct store_query_answer stale;
	struct store_query query;
	struct node *reader, *node;
	uint64_t hash;
	int64_t until;

	set_store(7, "revoked", 1);
	reader = node_new(loop, true);
	node = node_new(loop, false);
	run_until(loop, reader, 7);
	run_until(loop, node, 7);
	store_sync_query(node->sync, time_boot_ms(), false, &query);
	store_sync_answer(reader->sync, &query, &stale, updates);
	set_store(5, "old", 2);
	until = time_mono_ms() + 300;
	while (time_mono_ms() < until) {
		ev_run(loop, EVRUN_ONCE);
		g_assert_cmpint(version_of(reader), ==, 7);
	}
	set_store(7, "again", 2);
	hash = content_hash(reader);
	until = time_mono_ms() + WAIT_MS;
	while (content_hash(reader) == hash ||
	       content_hash(node) != content_hash(reader)) {
		exchange(reader, node, -1);
		g_assert_cmpint(time_mono_ms(), <, until);
		ev_run(loop, EVRUN_ONCE);
		g_assert_cmpint(version_of(node), ==, 7);
	}
	/* An answer of the earlier era announces nothing. */
	stale.config_version = 9;
	store_sync_apply_answer(node->sync, &stale);
	g_assert_false(
		store_sync_config_query(node->sync, &(struct config_query){0}));
	node_free(reader, loop);
	node_free(node, loop);
	ev_loop_destroy(loop);
}

/*
 * A node gets its first configuration from another one, which does not send the
 * evacuated zones, and serves callers by it.
 */
static void test_first_from_store(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct node *reader, *node;
	int64_t until;

	set_store(1, "first", 1);
	store.zone = "b";
	reader = node_new(loop, true);
	run_until(loop, reader, 1);
	g_assert_true(is_evacuated(reader, "b"));
	node = node_new(loop, false);
	node->cut = true;
	until = time_mono_ms() + 300;
	while (time_mono_ms() < until) {
		exchange(reader, node, -1);
		g_assert_cmpint(version_of(node), ==, -1);
		ev_run(loop, EVRUN_ONCE);
	}
	node->cut = false;
	while (version_of(node) < 0) {
		g_assert_false(is_evacuated(node, "b"));
		ev_run(loop, EVRUN_ONCE);
	}
	g_assert_true(is_evacuated(node, "b"));
	node_free(reader, loop);
	node_free(node, loop);
	ev_loop_destroy(loop);
}

/* A node that reaches no other one does not learn of an evacuation. */
static void test_evacuation_alone(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct node *node;
	int64_t began_ms;

	set_store(1, "first", 1);
	node = node_new(loop, false);
	store_sync_set_reader(node->sync, false, 370);
	run_until(loop, node, 1);
	store.zone = "b";
	store.revision++;
	began_ms = time_mono_ms();
	run_until_evacuated(loop, node, "b", true);
	store.zone = NULL;
	store.revision++;
	g_test_message("learned after %d ms", (int)(time_mono_ms() - began_ms));
	run_until_evacuated(loop, node, "b", false);
	node_free(node, loop);
	ev_loop_destroy(loop);
}

/* A read that shows an older state of the store takes an evacuation back. */
static void test_old_read(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct node *node;
	int reads;

	set_store(1, "first", 1);
	store.zone = "b";
	store.revision = 10;
	node = node_new(loop, true);
	run_until_evacuated(loop, node, "b", true);
	/* Past the hold after the start, which would keep it as well. */
	run_for(loop, EVACUATION_HOLD_MS + 100);
	store.zone = NULL;
	store.revision = 9;
	reads = node->config_reads;
	/* Full reads come every 2.1 s. */
	run_for(loop, 2500);
	g_assert_cmpint(node->config_reads, >, reads);
	g_assert_true(is_evacuated(node, "b"));
	/* A store that goes on from there has lost its later writes. */
	run_until_evacuated(loop, node, "b", false);
	node_free(node, loop);
	ev_loop_destroy(loop);
}

/*
 * A node relies on a reader that has lost its way to the store, and handles
 * requests by an old configuration beyond the time in which a new one has to be
 * in force.
 */
static void check_reader_lost(bool silent)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct node *reader, *node;
	int64_t next_ms = 0, changed_ms;

	set_store(1, "first", 1);
	store.target = NULL;
	reader = node_new(loop, true);
	node = node_new(loop, false);
	store_sync_set_reader(node->sync, false, 8);
	run_until(loop, reader, 1);
	run_until(loop, node, 1);
	/* Past the time after its start in which a node reads nothing. */
	for (int i = 0; i < 9; i++) {
		exchange(reader, node, -1);
		run_for(loop, 400);
	}
	exchange(reader, node, -1);
	reader->silent = silent;
	reader->cut = !silent;
	set_store(2, "second", 1);
	changed_ms = time_mono_ms();
	while (version_of(node) != 2) {
		g_assert_cmpint(time_mono_ms() - changed_ms, <,
				CONFIG_APPLY_MS);
		if (time_mono_ms() >= next_ms) {
			exchange(reader, node, -1);
			next_ms = time_mono_ms() + 400;
		}
		ev_run(loop, EVRUN_ONCE);
	}
	node_free(reader, loop);
	node_free(node, loop);
	ev_loop_destroy(loop);
}

static void test_reader_cut(void)
{
	check_reader_lost(false);
}

static void test_reader_silent(void)
{
	check_reader_lost(true);
}

/*
 * A relay that is no reader has failed to reach the store once, is confirmed by
 * a reader since, and confirms nothing to the nodes that rely on it.
 */
static void test_relay_confirms(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct target_update updates[TARGET_UPDATES_MAX];
	struct store_query_answer answer;
	struct store_query query = {.after_key = (char *)""};
	struct node *reader, *relay;
	int reads;

	set_store(1, "first", 1);
	store.target = NULL;
	reader = node_new(loop, true);
	relay = node_new(loop, false);
	store_sync_set_reader(relay->sync, false, 8);
	run_until(loop, reader, 1);
	run_until(loop, relay, 1);
	/* Nobody confirms its view, so it reads the store itself, in vain. */
	relay->cut = true;
	reads = relay->config_reads;
	while (relay->config_reads < reads + 2)
		ev_run(loop, EVRUN_ONCE);
	exchange(reader, relay, -1);
	store_sync_answer(relay->sync, &query, &answer, updates);
	g_assert_cmpuint(answer.config_age_ms, <, CONFIG_APPLY_MS);
	node_free(reader, loop);
	node_free(relay, loop);
	ev_loop_destroy(loop);
}

/*
 * Cases in virtual time, whose verdict no slow machine can turn. What one step
 * of the clock makes due runs at once.
 */
#define VIRTUAL_START_MS 1000000
/* The fleet of the incident. */
#define LARGE_FLEET     295
#define LARGE_FLEET_RUN 48
/* An answer of a slow store that is not down; see store-readers.c. */
#define SLOW_CALL_MS 300
/* In which a process has read its first list. */
#define FIRST_READ_MS 1000
/* In which a node that goes on running reads the store, with room to spare. */
#define AT_ONCE_MS 300

/* Advance the virtual time by a millisecond. */
static void step(struct ev_loop *loop)
{
	virtual_ms++;
	ev_run(loop, EVRUN_NOWAIT);
}

static void step_for(struct ev_loop *loop, int ms)
{
	while (ms-- > 0)
		step(loop);
}

/* Start a loop in virtual time, with a store that is up. */
static struct ev_loop *virtual_loop(const char *target)
{
	virtual_ms = VIRTUAL_START_MS;
	set_store(1, "first", 1);
	store.target = target;
	store.silent = false;
	store.call_ms = 0;
	return ev_loop_new(EVFLAG_AUTO);
}

static void virtual_end(struct ev_loop *loop)
{
	/* Calls that are in progress need their node. */
	ev_loop_destroy(loop);
	store.silent = false;
	store.call_ms = 0;
	store.call_max_ms = 0;
	store.early = false;
	virtual_ms = 0;
}

static int64_t list_age_ms(const struct node *n)
{
	return time_boot_ms() - store_sync_targets_confirmed_ms(n->sync);
}

/*
 * A target that left just before an outage is still used long after it, as the
 * store's return shows only once the calls that hang have timed out.
 */
static void test_removed_before_outage(void)
{
	struct ev_loop *loop = virtual_loop("t");
	struct node *node = node_new(loop, true);
	int64_t back_ms;
	int reads;

	step_for(loop, 200);
	g_assert_cmpint(node->e.list->n, ==, 1);
	/* A call sent before would be answered, and show the removal. */
	while (node->sync->targets_busy)
		step(loop);
	store.silent = true;
	store.target = NULL;
	step_for(loop, 3200);
	/* The next call begins just before the store is back. */
	reads = node->target_reads;
	while (node->target_reads == reads)
		step(loop);
	store.silent = false;
	back_ms = time_boot_ms();
	while (node->e.list->n) {
		g_assert_cmpint(time_boot_ms() - back_ms, <, IN_TOUCH_MS);
		step(loop);
	}
	/* Targets whose rows have expired are given the time to come back. */
	g_test_message("removed after %d ms", (int)(time_boot_ms() - back_ms));
	g_assert_cmpint(time_boot_ms() - back_ms, >, 2000);
	node_free(node, loop);
	virtual_end(loop);
}

/*
 * Run the nodes of a large fleet, whose readers give no answer, beside a store
 * that does. Check that between two times after the start no list is as old as
 * the drain time of a target.
 */
static void check_list_age(int drain_ms, int call_ms, int from_ms, int to_ms)
{
	struct ev_loop *loop = virtual_loop("t");
	struct node *nodes[LARGE_FLEET];
	int64_t oldest_ms = 0;

	store.call_ms = call_ms;
	for (guint32 i = 0; i < LARGE_FLEET; i++) {
		struct node *n = nodes[i] = node_new(loop, false);

		g_rand_set_seed(n->sync->rand, i);
		n->e.control_settings.bounds_drain_ms = drain_ms;
		store_sync_set_reader(n->sync, false, LARGE_FLEET);
	}
	step_for(loop, from_ms);
	for (int ms = from_ms; ms < to_ms; ms++) {
		step(loop);
		for (int i = 0; i < LARGE_FLEET; i++)
			oldest_ms = MAX(oldest_ms, list_age_ms(nodes[i]));
	}
	g_test_message("oldest list: %d ms", (int)oldest_ms);
	g_assert_cmpint(oldest_ms, <, drain_ms);
	for (int i = 0; i < LARGE_FLEET; i++)
		node_free(nodes[i], loop);
	virtual_end(loop);
}

/*
 * A node whose readers give no answer sends requests by a list that is older
 * than the drain time of a target, as its own reads are too far apart.
 */
static void test_list_age(void)
{
	check_list_age(4000, 0, FIRST_READ_MS, 30000);
}

/* The same with a store that is slow. */
static void test_list_age_slow(void)
{
	check_list_age(4000, SLOW_CALL_MS, FIRST_READ_MS, 30000);
}

/* The same with a shorter drain time. */
static void test_list_age_short(void)
{
	check_list_age(3000, 0, 10000, 30000);
}

/* The same with the first list of a process, until its second read is due. */
static void test_list_age_start(void)
{
	check_list_age(3000, 0, FIRST_READ_MS, 3300);
}

/*
 * Return until when the traffic thread may send by a node's list. The list has
 * no such deadline yet: the thread uses it for ever.
 */
static int64_t usable_until_ms(const struct node *n)
{
	return n->e.list ? atomic_load(&n->e.list->until_ms) : 0;
}

/*
 * A node whose control thread stands still goes on sending by its list, of
 * which it can't know whether it still holds.
 */
static void check_thread_late(bool reader)
{
	struct ev_loop *loop = virtual_loop("t");
	struct node *node = node_new(loop, reader);
	int64_t left_ms;

	step_for(loop, 1000);
	g_assert_cmpuint(node->e.list->n, ==, 1);
	store.target = NULL;
	store.revision++;
	left_ms = time_boot_ms();
	/* The thread is paused from here on: its loop doesn't run. */
	g_assert_cmpint(usable_until_ms(node), >, left_ms);
	g_assert_cmpint(usable_until_ms(node), <=,
			left_ms + node->e.control_settings.bounds_drain_ms);
	node_free(node, loop);
	virtual_end(loop);
}

static void test_reader_thread_late(void)
{
	check_thread_late(true);
}

static void test_node_thread_late(void)
{
	check_thread_late(false);
}

/*
 * The answers of relays and of the store come so late that a removal is not
 * known in the drain time. The list may not be used then.
 */
static void test_answers_late(void)
{
	struct ev_loop *loop = virtual_loop("t");
	struct node *node = node_new(loop, false);
	int64_t left_ms;

	store_sync_set_reader(node->sync, false, LARGE_FLEET);
	step_for(loop, 1000);
	g_assert_cmpuint(node->e.list->n, ==, 1);
	store.target = NULL;
	store.revision++;
	store.call_ms = 1400;
	left_ms = time_boot_ms();
	for (int ms = 0; ms < 8000 && node->e.list->n; ms++) {
		step(loop);
		g_assert_true(!node->e.list->n ||
			      usable_until_ms(node) <= left_ms + 4000);
	}
	g_assert_cmpuint(node->e.list->n, ==, 0);
	node_free(node, loop);
	virtual_end(loop);
}

/*
 * The store does not answer for long: nodes must go on serving by their lists,
 * without a gap.
 */
static void check_outage_serves(bool reader, bool silent)
{
	struct ev_loop *loop = virtual_loop("t");
	struct node *node = node_new(loop, reader);

	store_sync_set_reader(node->sync, reader, LARGE_FLEET);
	step_for(loop, 1000);
	store.silent = silent;
	store.down = !silent;
	for (int ms = 0; ms < 20000; ms++) {
		step(loop);
		g_assert_cmpuint(node->e.list->n, ==, 1);
		g_assert_cmpint(usable_until_ms(node), >, time_boot_ms());
	}
	node_free(node, loop);
	virtual_end(loop);
}

static void test_outage_reader_serves(void)
{
	check_outage_serves(true, true);
	check_outage_serves(true, false);
}

static void test_outage_node_serves(void)
{
	check_outage_serves(false, true);
	check_outage_serves(false, false);
}

/*
 * A reader that was paused takes the pause for an outage of the store, and
 * keeps a target that was removed for some seconds more. So do the nodes that
 * learn from it.
 */
static void test_pause_is_no_outage(void)
{
	struct ev_loop *loop = virtual_loop("t");
	struct node *reader = node_new(loop, true);
	struct node *node = node_new(loop, false);

	step_for(loop, 1000);
	g_assert_cmpuint(reader->e.list->n, ==, 1);
	while (reader->sync->targets_busy)
		step(loop);
	store.target = NULL;
	store.revision++;
	virtual_ms += 3000;
	step_for(loop, AT_ONCE_MS);
	exchange(reader, node, -1);
	g_assert_cmpuint(reader->e.list->n, ==, 0);
	g_assert_cmpuint(node->e.list->n, ==, 0);
	node_free(reader, loop);
	node_free(node, loop);
	virtual_end(loop);
}

/*
 * After an outage that the node has seen, rows that are missing are kept while
 * their targets write them again, also if the node was paused in it.
 */
static void check_outage_keeps(bool silent, bool paused)
{
	struct ev_loop *loop = virtual_loop("t");
	struct node *reader = node_new(loop, true);

	step_for(loop, 1000);
	store.silent = silent;
	store.down = !silent;
	step_for(loop, 2000);
	if (paused)
		virtual_ms += 3000;
	else
		step_for(loop, 3000);
	store.target = NULL;
	store.revision++;
	store.silent = false;
	store.down = false;
	step_for(loop, 2000);
	g_assert_cmpuint(reader->e.list->n, ==, 1);
	step_for(loop, 2500);
	g_assert_cmpuint(reader->e.list->n, ==, 0);
	node_free(reader, loop);
	virtual_end(loop);
}

static void test_outage_keeps_rows(void)
{
	check_outage_keeps(true, false);
	check_outage_keeps(false, false);
	check_outage_keeps(true, true);
	check_outage_keeps(false, true);
}

/*
 * Nodes that are no readers have gaps in an outage in which calls hang: the
 * evidence of a call has ended before the next one shows that it hangs too.
 */
static void check_outage_gaps(int fleet, int drain_ms, int contact_ms)
{
	int64_t gap_ms = 0, longest_ms = 0, total_ms = 0;

	for (guint32 seed = 0; seed < 20; seed++) {
		struct ev_loop *loop = virtual_loop("t");
		struct node *node = node_new(loop, false);

		g_rand_set_seed(node->sync->rand, seed);
		node->e.control_settings.bounds_drain_ms = drain_ms;
		node->e.control_settings.bounds_contact_ms = contact_ms;
		store_sync_set_reader(node->sync, false, (size_t)fleet);
		step_for(loop, 10000 + (int)seed * 100);
		store.silent = true;
		for (int ms = 0; ms < 30000; ms++) {
			step(loop);
			gap_ms = usable_until_ms(node) <= time_boot_ms()
					 ? gap_ms + 1
					 : 0;
			total_ms += gap_ms > 0;
			longest_ms = MAX(longest_ms, gap_ms);
		}
		node_free(node, loop);
		virtual_end(loop);
	}
	g_test_message("fleet %d: longest gap %d ms, in all %d of 600000 ms",
		       fleet, (int)longest_ms, (int)total_ms);
	g_assert_cmpint(longest_ms, ==, 0);
}

static void test_outage_gaps_small(void)
{
	check_outage_gaps(6, 2000, 3000);
}

static void test_outage_gaps_middle(void)
{
	check_outage_gaps(75, 3000, 4000);
}

static void test_outage_gaps_large(void)
{
	check_outage_gaps(295, 4000, 5000);
}

/*
 * One read of a node that no relay answers fails, as by a limit on its own
 * rate, beside a store that is sound: the list may not be used beyond the drain
 * time for that.
 */
static void test_own_failure(void)
{
	int64_t late_ms = 0;

	for (guint32 seed = 0; seed < 20; seed++) {
		struct ev_loop *loop = virtual_loop("t");
		struct node *node = node_new(loop, false);
		int64_t left_ms;
		int reads;

		g_rand_set_seed(node->sync->rand, seed);
		store_sync_set_reader(node->sync, false, LARGE_FLEET);
		step_for(loop, 10000);
		reads = node->target_reads;
		while (node->target_reads == reads || node->sync->targets_busy)
			step(loop);
		g_assert_cmpuint(node->e.list->n, ==, 1);
		store.target = NULL;
		store.revision++;
		left_ms = time_boot_ms();
		node->fail_targets = 1;
		for (int ms = 0; ms < 12000 && node->e.list->n; ms++) {
			step(loop);
			if (node->e.list->n &&
			    usable_until_ms(node) > time_boot_ms())
				late_ms = MAX(late_ms,
					      time_boot_ms() - left_ms - 4000);
		}
		node_free(node, loop);
		virtual_end(loop);
	}
	g_test_message("used up to %d ms past the drain time", (int)late_ms);
	g_assert_cmpint(late_ms, <=, 0);
}

/*
 * The store answers all calls, but slowly, as on a busy machine. A node that no
 * other one answers takes that for an outage, and uses its list beyond the
 * drain time.
 */
static void check_slow_store(int drain_ms, int contact_ms, int from_ms,
			     int to_ms)
{
	int64_t late_ms = 0, unusable_ms = 0;

	call_rand = g_rand_new_with_seed(1);
	for (guint32 seed = 0; seed < 40; seed++) {
		struct ev_loop *loop = virtual_loop("t");
		struct node *node = node_new(loop, false);
		int64_t left_ms;

		store.call_ms = from_ms;
		store.call_max_ms = to_ms;
		g_rand_set_seed(node->sync->rand, seed);
		node->e.control_settings.bounds_drain_ms = drain_ms;
		node->e.control_settings.bounds_contact_ms = contact_ms;
		store_sync_set_reader(node->sync, false, 24);
		for (int ms = 0; ms < 20000 + (int)seed * 50; ms++) {
			step(loop);
			unusable_ms += usable_until_ms(node) <= time_boot_ms();
		}
		store.target = NULL;
		store.revision++;
		left_ms = time_boot_ms();
		for (int ms = 0; ms < 12000 && node->e.list->n; ms++) {
			step(loop);
			if (node->e.list->n &&
			    usable_until_ms(node) > time_boot_ms())
				late_ms =
					MAX(late_ms, time_boot_ms() - left_ms -
							     drain_ms);
		}
		node_free(node, loop);
		virtual_end(loop);
	}
	g_rand_free(call_rand);
	g_test_message("drain %d, calls of %d to %d ms: used up to %d ms past "
		       "the drain time, not usable %d of 839000 ms",
		       drain_ms, from_ms, to_ms, (int)late_ms,
		       (int)unusable_ms);
	g_assert_cmpint(late_ms, <=, 0);
}

static void test_slow_store(void)
{
	check_slow_store(4000, 5000, 200, 1450);
}

static void test_slow_store_middle(void)
{
	check_slow_store(2000, 3000, 200, 1450);
}

static void test_slow_store_short(void)
{
	check_slow_store(500, 3000, 100, 900);
}

/*
 * A call to the store hangs. Until it ends, the node doesn't use what a relay
 * tells meanwhile, here that a target was removed.
 */
static void test_told_while_call_hangs(void)
{
	struct ev_loop *loop = virtual_loop("t");
	struct node *reader = node_new(loop, true);
	struct node *node = node_new(loop, false);

	store_sync_set_reader(node->sync, false, LARGE_FLEET);
	step_for(loop, 10000);
	node->silent = true;
	while (!node->sync->targets_busy)
		step(loop);
	store.target = NULL;
	store.revision++;
	step_for(loop, AT_ONCE_MS);
	g_assert_cmpuint(reader->e.list->n, ==, 0);
	exchange(reader, node, -1);
	g_assert_cmpuint(node->e.list->n, ==, 0);
	g_assert_cmpint(list_age_ms(node), <=, 2 * AT_ONCE_MS);
	node_free(reader, loop);
	node_free(node, loop);
	virtual_end(loop);
}

/*
 * Nodes learn of the end of an outage, and of the targets that were removed in
 * it, seconds after the readers, as these tell of another configuration than
 * theirs: a list that keeps rows which the store lacks is taken for the newest.
 */
static void test_outage_end_is_told(void)
{
	struct ev_loop *loop = virtual_loop("t");
	struct node *reader = node_new(loop, true);
	struct node *node = node_new(loop, false);

	store_sync_set_reader(node->sync, false, LARGE_FLEET);
	step_for(loop, 1000);
	store.down = true;
	step_for(loop, 8000);
	store.down = false;
	store.target = NULL;
	set_store(store.version + 1, "changed", store.era);
	for (int ms = 0; ms < 3600; ms++) {
		struct target_update updates[TARGET_UPDATES_MAX];
		struct store_query_answer answer;
		struct store_query query;

		step(loop);
		if (ms % 400)
			continue;
		store_sync_query(node->sync, time_boot_ms(), false, &query);
		store_sync_answer(reader->sync, &query, &answer, updates);
		/* The node never gets the reader's configuration. */
		answer.config_hash++;
		store_sync_apply_answer(node->sync, &answer);
	}
	g_assert_cmpuint(reader->e.list->n, ==, 0);
	g_assert_cmpuint(node->e.list->n, ==, 0);
	node_free(reader, loop);
	node_free(node, loop);
	virtual_end(loop);
}

/*
 * The store refuses all calls of a node, as there are too many, and is sound:
 * a node that no other one answers goes on by its list beyond the drain time.
 */
static void test_refused(void)
{
	for (int reader = 0; reader < 2; reader++) {
		struct ev_loop *loop = virtual_loop("t");
		struct node *node = node_new(loop, reader);
		int64_t left_ms;

		store_sync_set_reader(node->sync, reader, LARGE_FLEET);
		step_for(loop, 10000);
		g_assert_cmpuint(node->e.list->n, ==, 1);
		node->refused = true;
		store.target = NULL;
		store.revision++;
		left_ms = time_boot_ms();
		for (int ms = 0; ms < 12000; ms++) {
			step(loop);
			g_assert_true(time_boot_ms() - left_ms <= 4000 ||
				      usable_until_ms(node) <= time_boot_ms());
		}
		/* It is up to date soon after the refusals. */
		node->refused = false;
		step_for(loop, 2600);
		g_assert_cmpuint(node->e.list->n, ==, 0);
		node_free(node, loop);
		virtual_end(loop);
	}
}

/*
 * After an outage a target writes its row again in time. A read that was sent
 * before, and is answered late, lacks the row: the target is taken for gone.
 */
static void check_back_in_time(int slow_from_ms)
{
	struct ev_loop *loop = virtual_loop("t");
	struct node *reader = node_new(loop, true);

	store.early = true;
	step_for(loop, 1000);
	store.down = true;
	step_for(loop, 6000);
	store.down = false;
	store.target = NULL;
	store.revision++;
	for (int ms = 0; ms < 8000; ms++) {
		store.call_ms = ms < slow_from_ms ? 2 : 1400;
		if (ms == 2000) {
			store.target = "t";
			store.revision++;
		}
		step(loop);
		g_assert_cmpuint(reader->e.list->n, ==, 1);
	}
	node_free(reader, loop);
	virtual_end(loop);
}

static void test_back_in_time(void)
{
	for (int ms = 800; ms < 2000; ms += 50)
		check_back_in_time(ms);
}

/*
 * A read shows an older state of the store than one before, and the list counts
 * as the newest at the time of that read. A store that has come back from a
 * copy, and does not tell eras, must not leave the list unconfirmed for good.
 */
static void test_old_targets_read(void)
{
	struct ev_loop *loop = virtual_loop("t");
	struct node *reader = node_new(loop, true);
	int64_t newest_ms;

	store.revision += 5;
	step_for(loop, 2000);
	while (reader->sync->targets_busy)
		step(loop);
	store.revision -= 2;
	newest_ms = time_boot_ms();
	step_for(loop, 3000);
	g_assert_cmpint(store_sync_targets_confirmed_ms(reader->sync), <=,
			newest_ms);
	step_for(loop, 3000);
	g_assert_cmpint(list_age_ms(reader), <, AT_ONCE_MS);
	/* The list follows the store again. */
	store.target = NULL;
	step_for(loop, AT_ONCE_MS);
	g_assert_cmpuint(reader->e.list->n, ==, 0);
	node_free(reader, loop);
	virtual_end(loop);
}

/*
 * The answers of a relay take longer than the interval between queries, and the
 * node uses none of them: it reads the store itself, or its list runs out.
 */
static void test_relay_slow(void)
{
	struct ev_loop *loop = virtual_loop("t");
	struct node *reader = node_new(loop, true);
	struct node *node = node_new(loop, false);
	struct target_update updates[2][TARGET_UPDATES_MAX];
	struct store_query_answer answers[2];
	struct store_query query;
	int64_t oldest_ms = 0;
	int reads;

	store_sync_set_reader(node->sync, false, LARGE_FLEET);
	step_for(loop, 5000);
	reads = node->target_reads;
	for (int ms = 0; ms < 10000; ms++) {
		int n = ms / 400;

		step(loop);
		if (ms % 400 == 0) {
			store_sync_query(node->sync, time_boot_ms(), false,
					 &query);
			store_sync_answer(reader->sync, &query, &answers[n % 2],
					  updates[n % 2]);
		}
		/* The answer comes 450 ms after its query. */
		if (n && ms % 400 == 50)
			store_sync_apply_answer(node->sync,
						&answers[(n + 1) % 2]);
		if (ms > 1000)
			oldest_ms = MAX(oldest_ms, list_age_ms(node));
	}
	g_test_message("oldest list: %d ms, %d reads", (int)oldest_ms,
		       node->target_reads - reads);
	g_assert_cmpint(oldest_ms, <, 1000);
	g_assert_cmpint(node->target_reads - reads, <=, 1);
	node_free(reader, loop);
	node_free(node, loop);
	virtual_end(loop);
}

/* A list with rows that the store lacks is told to others as the newest. */
static void test_kept_rows_unconfirmed(void)
{
	struct ev_loop *loop = virtual_loop("t");
	struct node *reader = node_new(loop, true);
	int64_t up_ms;

	step_for(loop, 1000);
	store.down = true;
	step_for(loop, 8000);
	store.down = false;
	store.target = NULL;
	store.revision++;
	up_ms = time_boot_ms();
	while (reader->e.list->n) {
		g_assert_cmpint(store_sync_targets_confirmed_ms(reader->sync),
				<, up_ms);
		step(loop);
	}
	g_assert_cmpint(time_boot_ms() - up_ms, <, 3000);
	node_free(reader, loop);
	virtual_end(loop);
}

/* Nodes of a large fleet that read the store for the others. */
#define READERS 3
/* Between the queries of a node to a relay. */
#define QUERY_MS 400

/*
 * Print the calls of a fleet to the store since this was last asked. Return
 * those for the targets by nodes that are no readers.
 */
static int count_calls(struct node **nodes, const char *when)
{
	int config = 0, targets = 0, own = 0;

	for (int i = 0; i < LARGE_FLEET; i++) {
		config += nodes[i]->config_reads;
		targets += nodes[i]->target_reads;
		own += i < READERS ? 0 : nodes[i]->target_reads;
		nodes[i]->config_reads = nodes[i]->target_reads = 0;
	}
	g_test_message("%s: %d calls for the targets, %d of them by nodes that "
		       "are no readers, %d for the configuration",
		       when, targets, own, config);
	return own;
}

/* Run a fleet, in which nodes query readers, or nodes that do. */
static void run_fleet(struct ev_loop *loop, struct node **nodes, int ms)
{
	while (ms-- > 0) {
		step(loop);
		for (int i = READERS; i < LARGE_FLEET; i++) {
			int relay = i < 3 * READERS
					    ? i % READERS
					    : READERS + i % (2 * READERS);

			if ((virtual_ms + 7 * i) % QUERY_MS == 0)
				exchange(nodes[relay], nodes[i], -1);
		}
	}
}

/* On a calm day nodes that readers confirm read the targets as well. */
static void test_calls(void)
{
	struct ev_loop *loop = virtual_loop("t");
	struct node *nodes[LARGE_FLEET];

	polls_wait = true;
	for (guint32 i = 0; i < LARGE_FLEET; i++) {
		struct node *n = nodes[i] = node_new(loop, i < READERS);

		g_rand_set_seed(n->sync->rand, i);
		n->e.control_settings.bounds_config_apply_ms = 5000;
		n->e.control_settings.store_targets_poll_ms = 700;
		n->e.control_settings.store_config_wait_ms = 700;
		store_sync_set_reader(n->sync, i < READERS, LARGE_FLEET);
	}
	run_fleet(loop, nodes, 10000);
	count_calls(nodes, "10 s from the start");
	run_fleet(loop, nodes, 30000);
	g_assert_cmpint(count_calls(nodes, "30 s, calm"), ==, 0);
	store.down = true;
	run_fleet(loop, nodes, 15000);
	store.down = false;
	run_fleet(loop, nodes, 15000);
	count_calls(nodes, "30 s with an outage of 15 s");
	polls_wait = false;
	for (int i = 0; i < LARGE_FLEET; i++)
		node_free(nodes[i], loop);
	virtual_end(loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_set_level("error");
	g_test_add_func("/entry/store-sync/config-from-peer",
			test_config_from_peer);
	g_test_add_func("/entry/store-sync/restored-store",
			test_restored_store);
	g_test_add_func("/entry/store-sync/first-from-store",
			test_first_from_store);
	g_test_add_func("/entry/store-sync/evacuation-alone",
			test_evacuation_alone);
	g_test_add_func("/entry/store-sync/old-read", test_old_read);
	g_test_add_func("/entry/store-sync/removed-before-outage",
			test_removed_before_outage);
	g_test_add_func("/entry/store-sync/reader-cut", test_reader_cut);
	g_test_add_func("/entry/store-sync/reader-silent", test_reader_silent);
	g_test_add_func("/entry/store-sync/relay-confirms",
			test_relay_confirms);
	g_test_add_func("/entry/store-sync/outage-keeps-rows",
			test_outage_keeps_rows);
	g_test_add_func("/entry/store-sync/outage-reader-serves",
			test_outage_reader_serves);
	g_test_add_func("/entry/store-sync/outage-node-serves",
			test_outage_node_serves);
	g_test_add_func("/entry/store-sync/list-age", test_list_age);
	g_test_add_func("/entry/store-sync/list-age-slow", test_list_age_slow);
	g_test_add_func("/entry/store-sync/list-age-short",
			test_list_age_short);
	g_test_add_func("/entry/store-sync/list-age-start",
			test_list_age_start);
	g_test_add_func("/entry/store-sync/reader-thread-late",
			test_reader_thread_late);
	g_test_add_func("/entry/store-sync/node-thread-late",
			test_node_thread_late);
	g_test_add_func("/entry/store-sync/answers-late", test_answers_late);
	g_test_add_func("/entry/store-sync/pause-is-no-outage",
			test_pause_is_no_outage);
	g_test_add_func("/entry/store-sync/outage-gaps-small",
			test_outage_gaps_small);
	g_test_add_func("/entry/store-sync/outage-gaps-middle",
			test_outage_gaps_middle);
	g_test_add_func("/entry/store-sync/outage-gaps-large",
			test_outage_gaps_large);
	g_test_add_func("/entry/store-sync/own-failure", test_own_failure);
	g_test_add_func("/entry/store-sync/slow-store", test_slow_store);
	g_test_add_func("/entry/store-sync/slow-store-middle",
			test_slow_store_middle);
	g_test_add_func("/entry/store-sync/slow-store-short",
			test_slow_store_short);
	g_test_add_func("/entry/store-sync/told-while-call-hangs",
			test_told_while_call_hangs);
	g_test_add_func("/entry/store-sync/outage-end-is-told",
			test_outage_end_is_told);
	g_test_add_func("/entry/store-sync/refused", test_refused);
	g_test_add_func("/entry/store-sync/back-in-time", test_back_in_time);
	g_test_add_func("/entry/store-sync/old-targets-read",
			test_old_targets_read);
	g_test_add_func("/entry/store-sync/relay-slow", test_relay_slow);
	g_test_add_func("/entry/store-sync/kept-rows-unconfirmed",
			test_kept_rows_unconfirmed);
	g_test_add_func("/entry/store-sync/calls", test_calls);
	return g_test_run();
}
