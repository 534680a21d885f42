/* What is made of a target's words and of connections to it. */
#include <sodium.h>

#include "member/test-net.h"

#define WARM_MS   20000
#define SECOND_MS 1000

static struct net *fleet(size_t n, unsigned loss_percent)
{
	struct net *t =
		net_new(&(struct net_options){.n = n,
					      .regions = 1,
					      .seed = 50,
					      .loss_percent = loss_percent});

	net_run(t, WARM_MS);
	return t;
}

static void note(struct net *t, size_t i, enum target_note what)
{
	member_note_target(t->nodes[i].member, t->now_ms, "e1", what);
}

static enum target_view view(const struct net *t, size_t i)
{
	return member_target(t->nodes[i].member, t->now_ms, "e1");
}

static void refuse(struct net *t, size_t i)
{
	for (int k = 0; k < 3; k++) {
		note(t, i, TARGET_REFUSED);
		net_run(t, 300);
	}
}

static bool all_see(struct net *t, void *arg)
{
	for (size_t i = 0; i < t->o.n; i++) {
		if (view(t, i) != *(enum target_view *)arg)
			return false;
	}
	return true;
}

/* One node hears it from the target; all know it within 3 s. */
static void test_leaving(void)
{
	struct net *t = fleet(50, 5);
	enum target_view want = TARGET_VIEW_LEAVING;

	note(t, 4, TARGET_LEAVES);
	g_assert_cmpint(net_until(t, all_see, &want, 3 * SECOND_MS), >=, 0);
	/* A late answer from before does not bring it back. */
	note(t, 9, TARGET_TAKES);
	net_run(t, SECOND_MS);
	g_assert_true(all_see(t, &want));
	/* Its own later word does. */
	net_run(t, 5 * SECOND_MS);
	note(t, 9, TARGET_TAKES);
	want = TARGET_VIEW_LIVE;
	g_assert_cmpint(net_until(t, all_see, &want, 5 * SECOND_MS), >=, 0);
	/* Nobody says so, but it may be another process by now. */
	note(t, 9, TARGET_LEAVES);
	net_run(t, 50 * SECOND_MS);
	want = TARGET_VIEW_LEAVING;
	g_assert_true(all_see(t, &want));
	net_run(t, 20 * SECOND_MS);
	want = TARGET_VIEW_LIVE;
	g_assert_true(all_see(t, &want));
	net_free(t);
}

/* A silent connection is no reason to give a target up. */
static void test_silent(void)
{
	struct net *t = fleet(5, 0);

	note(t, 0, TARGET_SILENT);
	g_assert_cmpint(view(t, 0), ==, TARGET_VIEW_SILENT);
	net_run(t, 10 * SECOND_MS);
	g_assert_cmpint(view(t, 0), ==, TARGET_VIEW_SILENT);
	g_assert_cmpint(view(t, 1), ==, TARGET_VIEW_LIVE);
	note(t, 0, TARGET_ANSWERED);
	g_assert_cmpint(view(t, 0), ==, TARGET_VIEW_LIVE);
	net_free(t);
}

/* One node that can't connect gives up for itself; two do for all. */
static void test_down(void)
{
	struct net *t = fleet(9, 0);
	enum target_view want = TARGET_VIEW_DOWN;

	note(t, 2, TARGET_REFUSED);
	g_assert_cmpint(view(t, 2), ==, TARGET_VIEW_LIVE);
	refuse(t, 2);
	g_assert_cmpint(view(t, 2), ==, TARGET_VIEW_DOWN);
	net_run(t, 5 * SECOND_MS);
	for (size_t i = 0; i < t->o.n; i++)
		g_assert_cmpint(view(t, i), ==,
				i == 2 ? TARGET_VIEW_DOWN : TARGET_VIEW_LIVE);
	refuse(t, 6);
	g_assert_cmpint(net_until(t, all_see, &want, 5 * SECOND_MS), >=, 0);
	/* Who can reach it goes on. */
	note(t, 1, TARGET_ANSWERED);
	g_assert_cmpint(view(t, 1), ==, TARGET_VIEW_LIVE);
	for (int k = 0; k < 10; k++) {
		net_run(t, SECOND_MS);
		note(t, 2, TARGET_REFUSED);
		note(t, 6, TARGET_REFUSED);
		g_assert_cmpint(view(t, 0), ==, TARGET_VIEW_DOWN);
	}
	note(t, 2, TARGET_ANSWERED);
	note(t, 6, TARGET_ANSWERED);
	net_run(t, 20 * SECOND_MS);
	want = TARGET_VIEW_LIVE;
	g_assert_true(all_see(t, &want));
	net_free(t);
}

/* Work that avoids a target does not keep it down for good. */
static void test_tried_again(void)
{
	struct net *t = fleet(3, 0);

	refuse(t, 0);
	g_assert_cmpint(view(t, 0), ==, TARGET_VIEW_DOWN);
	net_run(t, 15 * SECOND_MS);
	g_assert_cmpint(view(t, 0), ==, TARGET_VIEW_LIVE);
	net_free(t);
}

/* Each return is followed by a longer hold; a steady hour forgives. */
static void test_flapping(void)
{
	struct net *t = fleet(3, 0);
	int64_t last = 0;

	for (int i = 0; i < 5; i++) {
		int64_t from;

		refuse(t, 0);
		g_assert_cmpint(view(t, 0), ==, TARGET_VIEW_DOWN);
		note(t, 0, TARGET_ANSWERED);
		from = t->now_ms;
		while (view(t, 0) == TARGET_VIEW_FLAPPING)
			net_run(t, 100);
		g_assert_cmpint(t->now_ms - from, >, last);
		last = t->now_ms - from;
	}
	net_run(t, 3600 * SECOND_MS);
	refuse(t, 0);
	note(t, 0, TARGET_ANSWERED);
	net_run(t, 2 * SECOND_MS);
	g_assert_cmpint(view(t, 0), ==, TARGET_VIEW_LIVE);
	net_free(t);
}

/* A dead target that all nodes try does not use up the budget. */
static void test_down_everywhere(void)
{
	struct net *t = fleet(100, 0);
	int64_t before, after;

	for (int k = 0; k < 100; k++) {
		for (size_t i = 0; i < t->o.n; i++)
			note(t, i, TARGET_REFUSED);
		net_run(t, 500);
	}
	before = member_bytes_sent(t->nodes[0].member);
	net_run(t, 10 * SECOND_MS);
	after = member_bytes_sent(t->nodes[0].member);
	/* Half of the budget is left for other news. */
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
