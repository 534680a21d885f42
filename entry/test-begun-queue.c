/* Requests that wait for the rest of an answer, at one node in virtual time. */
#include <string.h>

#include "entry/begun-queue.h"
#include "entry/brittle.h"
#include "entry/test-pool-node.h"
#include "entry/test-virtual.h"

#define WAITERS 6
#define SLOTS   4
/* Of the limit of each target: one request in so many ms. */
#define TOKEN_MS 1000

struct waiter {
	struct begun_wait wait;
	bool placed, refused;
	int64_t ended_ms; /* since the start */
	struct target *target;
};

static struct entry node;
static struct entry_service service;
static struct waiter waiters[WAITERS];
static int order[WAITERS], order_count; /* in which they were placed */

static int64_t now_ms(void)
{
	return virtual_ms - VIRTUAL_START_MS;
}

static struct target *choose(int rank)
{
	struct prompt prompt = {0};
	struct target *source;

	return pool_choose_target(&node.tr, &service, &prompt, VERSION_ANY,
				  NULL, 0, rank, &source);
}

static void on_attempt(struct begun_wait *w)
{
	struct waiter *x = w->owner;

	x->target = choose(RANK_BEGUN);
	if (!x->target) {
		if (!begun_queue_add(node.tr.begun, w, virtual_ms))
			x->refused = true;
		return;
	}
	pool_add_running(x->target, 1);
	x->placed = true;
	x->ended_ms = now_ms();
	order[order_count++] = (int)(x - waiters);
}

static void on_refuse(struct begun_wait *w)
{
	struct waiter *x = w->owner;

	x->refused = true;
	x->ended_ms = now_ms();
}

static const struct begun_ops ops = {on_attempt, on_refuse};

static void set_targets(int n)
{
	struct target_list *l = target_list_new((size_t)n + 1);

	atomic_store(&l->until_ms, INT64_MAX);
	for (int i = 0; i < n; i++)
		l->v[l->n++] = (struct target_info){.id = 1 + (uint64_t)i,
						    .name = STR_LIT("t"),
						    .service = service.name,
						    .slots = SLOTS};
	pool_node_take_list(&node, l);
}

static struct target *target_at(int i)
{
	uint64_t id = 1 + (uint64_t)i;

	return g_hash_table_lookup(node.tr.targets, &id);
}

static void set_limit(int target, int64_t per_1000_s)
{
	target_limits_name(node.target_limits, 1 + (uint64_t)target, per_1000_s,
			   virtual_ms);
}

static void set_up(int targets)
{
	struct peer_list *peers = pool_node_peers(1);

	virtual_ms = VIRTUAL_START_MS;
	memset(&node, 0, sizeof(node));
	memset(waiters, 0, sizeof(waiters));
	order_count = 0;
	service = (struct entry_service){.name = STR_LIT("pool")};
	pool_node_init(&node, 0, peers);
	peer_list_unref(peers);
	node.tr.begun = begun_queue_new(&node.tr, &ops);
	set_targets(targets);
}

static void tear_down(void)
{
	begun_queue_free(node.tr.begun);
	pool_node_clear(&node);
	virtual_ms = 0;
}

/* Have a request wait; return whether it does. */
static bool wait_for(int i, int64_t deadline_ms)
{
	waiters[i].wait = (struct begun_wait){
		.service = &service,
		.deadline_ms = VIRTUAL_START_MS + deadline_ms,
		.bytes = 1000,
		.owner = &waiters[i],
	};
	return begun_queue_add(node.tr.begun, &waiters[i].wait, virtual_ms);
}

/* Go on to a time, with a new request at each step; return those placed. */
static int go_on_to(int64_t ms)
{
	int placed = 0;

	while (now_ms() < ms) {
		virtual_ms += 10;
		if (now_ms() % 50 == 0)
			begun_queue_check(node.tr.begun, virtual_ms);
		begun_queue_serve(node.tr.begun);
		placed += choose(rank_of(false, 0)) != NULL;
	}
	return placed;
}

/* A new request, or one that can wait for longer, gets the next token. */
static void test_order(void)
{
	static const int64_t deadlines[] = {5000, 3000, 9000, 4000};
	static const int expected[] = {1, 3, 0, 2};

	set_up(1);
	set_limit(0, 1000000 / TOKEN_MS);
	for (int i = 0; i < 4; i++)
		g_assert_true(wait_for(i, deadlines[i]));
	g_assert_cmpint(go_on_to(4 * TOKEN_MS + 500), ==, 0);
	for (int i = 0; i < 4; i++) {
		g_assert_cmpint(order[i], ==, expected[i]);
		g_assert_cmpint(waiters[expected[i]].ended_ms, <=,
				(i + 1) * TOKEN_MS + 20);
	}
	/* New ones get what follows. */
	g_assert_cmpint(go_on_to(10 * TOKEN_MS), >=, 4);
	tear_down();
}

/* One that will not be served in time waits for its deadline. */
static void test_refused_at_once(void)
{
	set_up(1);
	set_limit(0, 1000000 / TOKEN_MS);
	g_assert_true(wait_for(0, 2 * TOKEN_MS + 500));
	g_assert_true(wait_for(1, 2 * TOKEN_MS + 500));
	g_assert_false(wait_for(2, 2 * TOKEN_MS + 500));
	/* Its caller is told when the third token comes. */
	g_assert_cmpint(waiters[2].wait.retry_at_ms - VIRTUAL_START_MS, >=,
			3 * TOKEN_MS);
	g_assert_cmpint(waiters[2].wait.retry_at_ms - VIRTUAL_START_MS, <=,
			3 * TOKEN_MS + 20);
	go_on_to(3 * TOKEN_MS);
	g_assert_true(waiters[0].placed && waiters[1].placed);
	tear_down();
}

/* Those that a limit, once it is lower, can't serve any more wait on. */
static void test_lower_limit(void)
{
	set_up(1);
	set_limit(0, 1000000 / TOKEN_MS);
	for (int i = 0; i < 4; i++)
		g_assert_true(wait_for(i, 5 * TOKEN_MS));
	virtual_ms += 100;
	set_limit(0, 1000000 / TOKEN_MS / 4);
	go_on_to(200);
	g_assert_false(waiters[0].refused);
	for (int i = 1; i < 4; i++) {
		g_assert_true(waiters[i].refused);
		g_assert_cmpint(waiters[i].ended_ms, <=, 200);
	}
	tear_down();
}

/* The end of a limit serves those that wait only with the next token. */
static void test_limit_ends(void)
{
	set_up(1);
	set_limit(0, 1000000 / TOKEN_MS);
	for (int i = 0; i < 4; i++)
		g_assert_true(wait_for(i, 5 * TOKEN_MS));
	virtual_ms += 100;
	set_limit(0, LIMIT_NONE);
	go_on_to(200);
	for (int i = 0; i < 4; i++)
		g_assert_true(waiters[i].placed);
	tear_down();
}

/* What waits for targets that have left is not told. */
static void test_list_changes(void)
{
	set_up(1);
	set_limit(0, 1000000 / TOKEN_MS);
	g_assert_true(wait_for(0, 5 * TOKEN_MS));
	set_targets(0);
	go_on_to(100);
	g_assert_true(waiters[0].refused);
	g_assert_cmpint(waiters[0].wait.retry_at_ms, ==, 0);
	tear_down();
}

/* Targets that asked for rest get new requests first when that ends. */
static void test_rest(void)
{
	set_up(2);
	for (int i = 0; i < 2; i++)
		pool_record_rest(target_at(i), virtual_ms + 700 + 200 * i, 0);
	g_assert_true(wait_for(0, 2000));
	/* It ends 20 ms after the last moment at which a request is sent. */
	g_assert_false(wait_for(1, 700));
	g_assert_cmpint(go_on_to(680), ==, 0);
	go_on_to(800);
	g_assert_true(waiters[0].placed);
	g_assert_cmpint(waiters[0].ended_ms, ==, 700);
	tear_down();
}

/* At full targets, brittle ones too, it is refused, or waits for too long. */
static void test_room(void)
{
	for (int brittle = 0; brittle < 2; brittle++) {
		struct target *t;

		set_up(2);
		t = target_at(0);
		pool_add_running(t, 2 * SLOTS);
		pool_add_running(target_at(1), 2 * SLOTS);
		if (brittle) {
			pool_record_brittle(t, 1);
			pool_record_brittle(target_at(1), 1);
		} else {
			/* Loads count as full only beside a limited target. */
			set_limit(1, 1);
		}
		go_on_to(50);
		g_assert_true(wait_for(0, 5000));
		g_assert_cmpint(go_on_to(500), ==, 0);
		pool_add_running(t, -2 * SLOTS);
		go_on_to(600);
		g_assert_true(waiters[0].placed);
		g_assert_cmpint(waiters[0].ended_ms, <=, 520);
		/* New ones take the rest of the room. */
		pool_add_running(t, 2 * SLOTS);
		g_assert_true(wait_for(1, 3500));
		go_on_to(3000);
		g_assert_true(waiters[1].refused);
		g_assert_cmpint(waiters[1].ended_ms, <, 2000);
		tear_down();
	}
}

/* A target that has just failed is tried while sound ones have a token soon. */
static void test_failing_target(void)
{
	set_up(2);
	set_limit(0, 1000000 / TOKEN_MS);
	for (int i = 0; i < 2; i++)
		pool_record_fault(target_at(1));
	g_assert_null(choose(RANK_BEGUN));
	g_assert_true(wait_for(0, 5000));
	go_on_to(TOKEN_MS + 50);
	g_assert_true(waiters[0].target == target_at(0));
	tear_down();
}

/* A target that fails counts as limited: placement allows others more load. */
static void test_sound_target_free(void)
{
	struct target *targets[2];
	struct place_target p[2];
	struct pool_candidates c = {.targets = targets, .p = p};
	struct prompt prompt = {0};

	set_up(2);
	for (int i = 0; i < 2; i++)
		pool_record_fault(target_at(1));
	pool_list_candidates(&node.tr, &service, &prompt, VERSION_ANY,
			     RANK_BEGUN, virtual_ms, &c);
	g_assert_cmpuint(c.n, ==, 2);
	g_assert_false(p[0].limited || p[1].limited);
	g_assert_true(p[0].avoid || p[1].avoid);
	tear_down();
}

/* Requests that wait take ever more memory. */
static void test_bounds(void)
{
	static struct waiter many[BEGUN_QUEUE_MAX + 1];
	int n = 0;

	set_up(1);
	set_limit(0, 1000000);
	while (n <= BEGUN_QUEUE_MAX) {
		many[n].wait = (struct begun_wait){
			.service = &service,
			.deadline_ms = virtual_ms + 900000,
			.bytes = 100,
			.owner = &many[n],
		};
		if (!begun_queue_add(node.tr.begun, &many[n].wait, virtual_ms))
			break;
		n++;
	}
	g_assert_cmpint(n, ==, BEGUN_QUEUE_MAX);
	begun_queue_leave(node.tr.begun, &many[0].wait);
	g_assert_cmpuint(begun_queue_length(node.tr.begun), ==,
			 BEGUN_QUEUE_MAX - 1);
	many[0].wait.bytes = (size_t)(BEGUN_QUEUE_MEMORY_SHARE *
				      node.settings.limits_memory_mb * 1048576);
	g_assert_false(
		begun_queue_add(node.tr.begun, &many[0].wait, virtual_ms));
	tear_down();
}

/* A node that leaves goes on holding requests. */
static void test_close(void)
{
	set_up(1);
	set_limit(0, 1000000 / TOKEN_MS);
	g_assert_true(wait_for(0, 5000));
	g_assert_true(wait_for(1, 5000));
	begun_queue_close(node.tr.begun);
	g_assert_true(waiters[0].refused && waiters[1].refused);
	g_assert_false(wait_for(2, 5000));
	tear_down();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_set_level("error");
	g_test_add_func("/begun-queue/order", test_order);
	g_test_add_func("/begun-queue/refused-at-once", test_refused_at_once);
	g_test_add_func("/begun-queue/lower-limit", test_lower_limit);
	g_test_add_func("/begun-queue/limit-ends", test_limit_ends);
	g_test_add_func("/begun-queue/list-changes", test_list_changes);
	g_test_add_func("/begun-queue/rest", test_rest);
	g_test_add_func("/begun-queue/room", test_room);
	g_test_add_func("/begun-queue/failing-target", test_failing_target);
	g_test_add_func("/begun-queue/sound-target-free",
			test_sound_target_free);
	g_test_add_func("/begun-queue/bounds", test_bounds);
	g_test_add_func("/begun-queue/close", test_close);
	return g_test_run();
}
