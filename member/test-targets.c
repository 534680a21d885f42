/*
 * Health of a target: what it announces itself, observations of connections to
 * it, and the reports of other members.
 */
#include <sodium.h>

#include "member/test-net.h"

#define WARM_MS   20000
#define SECOND_MS 1000

static struct net *new_fleet(size_t n, unsigned loss_percent)
{
	struct net *t =
		net_new(&(struct net_options){.n = n,
					      .regions = 1,
					      .seed = 50,
					      .loss_percent = loss_percent});

	net_run(t, WARM_MS);
	return t;
}

static void observe(struct net *t, size_t i,
		    enum target_observation observation)
{
	member_observe_target(t->nodes[i].member, t->now_ms, "e1", observation);
}

static enum target_health_state health(const struct net *t, size_t i)
{
	return member_target_health(t->nodes[i].member, t->now_ms, "e1");
}

static void fail_to_connect(struct net *t, size_t i)
{
	for (int k = 0; k < 3; k++) {
		observe(t, i, TARGET_CONNECT_FAILED);
		net_run(t, 300);
	}
}

static bool all_see(struct net *t, void *arg)
{
	for (size_t i = 0; i < t->o.n; i++) {
		if (health(t, i) != *(enum target_health_state *)arg)
			return false;
	}
	return true;
}

/* A target announces to one member that it leaves; all know within 3 s. */
static void test_leaving(void)
{
	struct net *t = new_fleet(50, 5);
	enum target_health_state expected = TARGET_HEALTH_LEAVING;

	observe(t, 4, TARGET_REPORTED_LEAVING);
	g_assert_cmpint(net_run_until(t, all_see, &expected, 3 * SECOND_MS), >=,
			0);
	/* An answer sent before, arriving late, does not revive the target. */
	observe(t, 9, TARGET_REPORTED_ACCEPTING);
	net_run(t, SECOND_MS);
	g_assert_true(all_see(t, &expected));
	/* A later announcement by the target does. */
	net_run(t, 5 * SECOND_MS);
	observe(t, 9, TARGET_REPORTED_ACCEPTING);
	expected = TARGET_HEALTH_LIVE;
	g_assert_cmpint(net_run_until(t, all_see, &expected, 5 * SECOND_MS), >=,
			0);
	/* The announcement expires: another process may run there by then. */
	observe(t, 9, TARGET_REPORTED_LEAVING);
	net_run(t, 50 * SECOND_MS);
	expected = TARGET_HEALTH_LEAVING;
	g_assert_true(all_see(t, &expected));
	net_run(t, 20 * SECOND_MS);
	expected = TARGET_HEALTH_LIVE;
	g_assert_true(all_see(t, &expected));
	net_free(t);
}

/* A stalled connection does not take a target down. */
static void test_silent(void)
{
	struct net *t = new_fleet(5, 0);

	observe(t, 0, TARGET_STALLED);
	g_assert_cmpint(health(t, 0), ==, TARGET_HEALTH_STALLED);
	net_run(t, 10 * SECOND_MS);
	g_assert_cmpint(health(t, 0), ==, TARGET_HEALTH_STALLED);
	g_assert_cmpint(health(t, 1), ==, TARGET_HEALTH_LIVE);
	observe(t, 0, TARGET_ANSWERED);
	g_assert_cmpint(health(t, 0), ==, TARGET_HEALTH_LIVE);
	net_free(t);
}

/*
 * One member that can't connect sees the target as down for itself; two make it
 * down for all.
 */
static void test_down(void)
{
	struct net *t = new_fleet(9, 0);
	enum target_health_state expected = TARGET_HEALTH_DOWN;

	observe(t, 2, TARGET_CONNECT_FAILED);
	g_assert_cmpint(health(t, 2), ==, TARGET_HEALTH_LIVE);
	fail_to_connect(t, 2);
	g_assert_cmpint(health(t, 2), ==, TARGET_HEALTH_DOWN);
	net_run(t, 5 * SECOND_MS);
	for (size_t i = 0; i < t->o.n; i++)
		g_assert_cmpint(health(t, i), ==,
				i == 2 ? TARGET_HEALTH_DOWN
				       : TARGET_HEALTH_LIVE);
	fail_to_connect(t, 6);
	g_assert_cmpint(net_run_until(t, all_see, &expected, 5 * SECOND_MS), >=,
			0);
	/* A member that can reach the target keeps using it. */
	observe(t, 1, TARGET_ANSWERED);
	g_assert_cmpint(health(t, 1), ==, TARGET_HEALTH_LIVE);
	for (int k = 0; k < 10; k++) {
		net_run(t, SECOND_MS);
		observe(t, 2, TARGET_CONNECT_FAILED);
		observe(t, 6, TARGET_CONNECT_FAILED);
		g_assert_cmpint(health(t, 0), ==, TARGET_HEALTH_DOWN);
	}
	observe(t, 2, TARGET_ANSWERED);
	observe(t, 6, TARGET_ANSWERED);
	net_run(t, 20 * SECOND_MS);
	expected = TARGET_HEALTH_LIVE;
	g_assert_true(all_see(t, &expected));
	net_free(t);
}

/* A target that routing avoids while it is down is tried again. */
static void test_tried_again(void)
{
	struct net *t = new_fleet(3, 0);

	fail_to_connect(t, 0);
	g_assert_cmpint(health(t, 0), ==, TARGET_HEALTH_DOWN);
	net_run(t, 15 * SECOND_MS);
	g_assert_cmpint(health(t, 0), ==, TARGET_HEALTH_LIVE);
	net_free(t);
}

/* Each return has a longer hold-down; a stable hour resets it. */
static void test_flapping(void)
{
	struct net *t = new_fleet(3, 0);
	int64_t last_hold_ms = 0;

	for (int i = 0; i < 5; i++) {
		int64_t start_ms;

		fail_to_connect(t, 0);
		g_assert_cmpint(health(t, 0), ==, TARGET_HEALTH_DOWN);
		observe(t, 0, TARGET_ANSWERED);
		start_ms = t->now_ms;
		while (health(t, 0) == TARGET_HEALTH_FLAPPING)
			net_run(t, 100);
		g_assert_cmpint(t->now_ms - start_ms, >, last_hold_ms);
		last_hold_ms = t->now_ms - start_ms;
	}
	net_run(t, 3600 * SECOND_MS);
	fail_to_connect(t, 0);
	observe(t, 0, TARGET_ANSWERED);
	net_run(t, 2 * SECOND_MS);
	g_assert_cmpint(health(t, 0), ==, TARGET_HEALTH_LIVE);
	net_free(t);
}

/* Reports of a dead target that all members try don't use up the budget. */
static void test_down_everywhere(void)
{
	struct net *t = new_fleet(100, 0);
	int64_t before, after;

	for (int k = 0; k < 100; k++) {
		for (size_t i = 0; i < t->o.n; i++)
			observe(t, i, TARGET_CONNECT_FAILED);
		net_run(t, 500);
	}
	before = member_bytes_sent(t->nodes[0].member);
	net_run(t, 10 * SECOND_MS);
	after = member_bytes_sent(t->nodes[0].member);
	/* Half of the budget is left for other updates. */
	g_assert_cmpint(after - before, <, 10 * 2048);
	g_assert_cmpuint(t->false_evictions, ==, 0);
	net_free(t);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/member/targets/leaving", test_leaving);
	g_test_add_func("/member/targets/silent", test_silent);
	g_test_add_func("/member/targets/down", test_down);
	g_test_add_func("/member/targets/tried-again", test_tried_again);
	g_test_add_func("/member/targets/flapping", test_flapping);
	g_test_add_func("/member/targets/down-everywhere",
			test_down_everywhere);
	return g_test_run();
}
