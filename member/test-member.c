/*
 * Membership on a virtual clock: detection of dead members, no eviction of live
 * ones under loss, cuts and stalls, convergence afterwards, and the budget.
 */
#include <sodium.h>
#include <string.h>

#include "member/test-net.h"

#define WARM_MS   20000
#define SECOND_MS 1000
#define MINUTE_MS (60 * SECOND_MS)
#define HOUR_MS   (60 * MINUTE_MS)

static struct net *new_converged_fleet(const struct net_options *o)
{
	struct net *t = net_new(o);

	net_run(t, WARM_MS);
	return t;
}

/* Check that no member ever exceeded the budget, and free the fleet. */
static void check_and_free(struct net *t)
{
	for (size_t i = 0; i < t->o.n; i++)
		g_assert_cmpint(t->nodes[i].max_second_bytes, <=, 4096);
	g_assert_cmpint(t->rejected, ==, 0);
	net_free(t);
}

static bool all_see_dead(struct net *t, void *victim)
{
	return net_all_see_dead(t, *(size_t *)victim);
}

static bool all_see_live(struct net *t, void *arg)
{
	(void)arg;
	return net_all_see_live(t);
}

/* All detect a killed member, and no other member is evicted. */
static void test_kill(void)
{
	static const struct net_options table[] = {
		{.n = 2, .regions = 1, .seed = 1},
		{.n = 3, .regions = 1, .seed = 2},
		{.n = 9, .regions = 1, .seed = 3},
		{.n = 50, .regions = 2, .seed = 4},
		{.n = 50, .regions = 2, .seed = 5, .loss_percent = 10},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
		struct net *t = new_converged_fleet(&table[i]);
		size_t victim = 1;

		net_kill(t, victim);
		g_assert_cmpint(
			net_run_until(t, all_see_dead, &victim, MINUTE_MS), >=,
			0);
		g_assert_cmpuint(t->false_evictions, ==, 0);
		check_and_free(t);
	}
}

/* Two members with a cut link between them do not evict each other. */
static void test_bad_link(void)
{
	struct net *t = new_converged_fleet(&(struct net_options){
		.n = 9, .regions = 1, .seed = 6, .loss_percent = 2});

	net_cut_link(t, 2, 5);
	net_run(t, 5 * MINUTE_MS);
	g_assert_cmpint(net_view_of(t, 2, 5)->state, ==, MEMBER_LIVE);
	g_assert_cmpint(net_view_of(t, 5, 2)->state, ==, MEMBER_LIVE);
	g_assert_cmpuint(t->false_evictions, ==, 0);
	check_and_free(t);
}

/*
 * A process that is stopped and continued must not evict others, and all see
 * each other as live again.
 */
static void test_frozen(void)
{
	static const int64_t frozen_ms[] = {2000, 5000, 30000, 600000};

	for (size_t i = 0; i < G_N_ELEMENTS(frozen_ms); i++) {
		struct net *t = new_converged_fleet(&(struct net_options){
			.n = 20, .regions = 1, .seed = 7 + i});

		t->nodes[3].frozen = true;
		t->nodes[3].evictions_expected = true;
		net_run(t, frozen_ms[i]);
		t->nodes[3].frozen = false;
		g_assert_cmpint(net_run_until(t, all_see_live, NULL, MINUTE_MS),
				>=, 0);
		t->nodes[3].evictions_expected = false;
		net_run(t, MINUTE_MS);
		g_assert_cmpuint(t->false_evictions, ==, 0);
		check_and_free(t);
	}
}

/*
 * After a stop, timeouts that ran out meanwhile must not make the continued
 * process evict others: checks that process's own view.
 */
static void test_frozen_evicts_nobody(void)
{
	struct net *t = new_converged_fleet(
		&(struct net_options){.n = 20, .regions = 1, .seed = 12});

	t->nodes[3].frozen = true;
	net_run(t, MINUTE_MS);
	t->nodes[3].frozen = false;
	for (int s = 0; s < 30; s++) {
		net_run(t, SECOND_MS);
		for (size_t j = 0; j < t->o.n; j++)
			g_assert_cmpint(net_view_of(t, 3, j)->state, !=,
					MEMBER_DEAD);
	}
	check_and_free(t);
}

static void test_loss(void)
{
	struct net *t = new_converged_fleet(&(struct net_options){
		.n = 100, .regions = 2, .seed = 20, .loss_percent = 10});

	net_run(t, 5 * MINUTE_MS);
	g_assert_cmpuint(t->false_evictions, ==, 0);
	check_and_free(t);
}

/* Run for one second and return the bytes sent by all members in it. */
static int64_t bytes_in_second(struct net *t)
{
	int64_t n = 0;

	for (size_t i = 0; i < t->o.n; i++)
		n -= member_bytes_sent(t->nodes[i].member);
	net_run(t, SECOND_MS);
	for (size_t i = 0; i < t->o.n; i++)
		n += member_bytes_sent(t->nodes[i].member);
	return n;
}

/*
 * Two halves are partitioned for an hour: each keeps its own members live, and
 * both merge again within a minute and within the budget. With exactly half of
 * the known nodes alive neither counts as a minority.
 */
static void test_regions(void)
{
	struct net *t = new_converged_fleet(
		&(struct net_options){.n = 40, .regions = 2, .seed = 30});
	size_t live, known;

	t->partitioned = true;
	net_run(t, HOUR_MS);
	for (size_t i = 0; i < t->o.n; i++) {
		member_count_live(t->nodes[i].member, &live, &known);
		g_assert_cmpuint(live, ==, 20);
		g_assert_cmpuint(known, ==, 40);
		g_assert_false(member_is_minority(t->nodes[i].member));
	}
	t->partitioned = false;
	g_assert_cmpint(net_run_until(t, all_see_live, NULL, MINUTE_MS), >=, 0);
	net_run(t, 2 * MINUTE_MS);
	g_assert_cmpuint(t->false_evictions, ==, 0);
	/* Traffic must fall again, below a fifth of the budget. */
	g_assert_cmpint(bytes_in_second(t), <, 40 * 4096 / 5);
	g_assert_true(net_all_see_live(t));
	check_and_free(t);
}

/* Members of a small partition detect that they are a minority, and rejoin. */
static void test_minority(void)
{
	struct net *t = new_converged_fleet(
		&(struct net_options){.n = 9, .regions = 3, .seed = 31});
	size_t live, known;

	t->partitioned = true;
	net_run(t, 3 * MINUTE_MS);
	for (size_t i = 0; i < t->o.n; i++) {
		member_count_live(t->nodes[i].member, &live, &known);
		g_assert_cmpuint(live, ==, 3);
		g_assert_true(member_is_minority(t->nodes[i].member));
	}
	t->partitioned = false;
	g_assert_cmpint(net_run_until(t, all_see_live, NULL, MINUTE_MS), >=, 0);
	for (size_t i = 0; i < t->o.n; i++)
		g_assert_false(member_is_minority(t->nodes[i].member));
	check_and_free(t);
}

/* All processes restart at the same time under their old names. */
static void test_mass_restart(void)
{
	struct net *t = new_converged_fleet(
		&(struct net_options){.n = 60, .regions = 2, .seed = 32});

	for (size_t i = 0; i < t->o.n; i++)
		net_kill(t, i);
	net_run(t, SECOND_MS);
	for (size_t i = 0; i < t->o.n; i++)
		net_start(t, i);
	g_assert_cmpint(net_run_until(t, all_see_live, NULL, MINUTE_MS), >=, 0);
	net_run(t, MINUTE_MS);
	g_assert_cmpuint(t->false_evictions, ==, 0);
	check_and_free(t);
}

/* All instances of one of four availability zones die at the same time. */
static void test_zone_loss(void)
{
	struct net *t = new_converged_fleet(
		&(struct net_options){.n = 40, .regions = 1, .seed = 33});

	for (size_t i = 0; i < t->o.n; i += 4)
		net_kill(t, i);
	for (size_t i = 0; i < t->o.n; i += 4)
		g_assert_cmpint(net_run_until(t, all_see_dead, &i, MINUTE_MS),
				>=, 0);
	g_assert_cmpuint(t->false_evictions, ==, 0);
	check_and_free(t);
}

static bool all_know_all(struct net *t, void *arg)
{
	(void)arg;
	for (size_t i = 0; i < t->o.n; i++) {
		if (member_count(t->nodes[i].member) != t->o.n)
			return false;
	}
	return net_all_see_live(t);
}

/* Without an instance list one known address is enough to find all members. */
static void test_peers_only(void)
{
	struct net *t = net_new(&(struct net_options){
		.n = 30, .regions = 1, .seed = 34, .seed_only = true});

	g_assert_cmpint(net_run_until(t, all_know_all, NULL, 2 * MINUTE_MS), >=,
			0);
	check_and_free(t);
}

static bool leaving_known(struct net *t, void *victim)
{
	for (size_t i = 0; i < t->o.n; i++) {
		if (!net_view_of(t, i, *(size_t *)victim)->leaving)
			return false;
	}
	return true;
}

static void test_leave(void)
{
	struct net *t = new_converged_fleet(&(struct net_options){
		.n = 50, .regions = 2, .seed = 35, .loss_percent = 5});
	size_t victim = 7;

	member_leave(t->nodes[victim].member);
	g_assert_cmpint(net_run_until(t, leaving_known, &victim, 5 * SECOND_MS),
			>=, 0);
	net_run(t, MINUTE_MS);
	g_assert_true(leaving_known(t, &victim));
	t->nodes[victim].evictions_expected = true;
	member_stop(t->nodes[victim].member);
	net_run(t, SECOND_MS);
	net_kill(t, victim);
	g_assert_cmpint(net_run_until(t, all_see_dead, &victim, 5 * SECOND_MS),
			>=, 0);
	check_and_free(t);
}

/*
 * A stale instance list must not revive a dead member; a member that the list
 * drops is forgotten.
 */
static void test_late_list(void)
{
	struct net *t = new_converged_fleet(
		&(struct net_options){.n = 9, .regions = 1, .seed = 36});
	struct member_info infos[9];
	size_t victim = 8;

	for (size_t i = 0; i < 9; i++)
		infos[i] = t->nodes[i].info;
	net_kill(t, victim);
	g_assert_cmpint(net_run_until(t, all_see_dead, &victim, MINUTE_MS), >=,
			0);
	member_merge_instances(t->nodes[0].member, t->now_ms, infos, 9);
	g_assert_cmpint(net_view_of(t, 0, victim)->state, ==, MEMBER_DEAD);
	member_merge_instances(t->nodes[0].member, t->now_ms, infos, 8);
	net_run(t, 2 * MINUTE_MS);
	g_assert_null(net_view_of(t, 0, victim));
	check_and_free(t);
}

/* Each member's estimate of the mean load is close to the true one. */
static void test_mean_load(void)
{
	struct net *t = new_converged_fleet(&(struct net_options){
		.n = 50, .regions = 2, .seed = 37, .loss_percent = 10});
	double mean;

	for (int s = 0; s < 60; s++) {
		for (size_t i = 0; i < t->o.n; i++)
			member_set_load(t->nodes[i].member, "llm",
					(double)(i % 5) * 100, i % 3);
		net_run(t, SECOND_MS);
	}
	for (size_t i = 0; i < t->o.n; i++) {
		g_assert_true(
			member_mean_load(t->nodes[i].member, "llm", &mean));
		/* 50 nodes: work 10,000 on 49 targets. */
		g_assert_cmpfloat_with_epsilon(mean, 10000.0 / 49, 20);
	}
	g_assert_false(member_mean_load(t->nodes[0].member, "no", &mean));
	check_and_free(t);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/member/kill", test_kill);
	g_test_add_func("/member/bad-link", test_bad_link);
	g_test_add_func("/member/frozen", test_frozen);
	g_test_add_func("/member/frozen-evicts-nobody",
			test_frozen_evicts_nobody);
	g_test_add_func("/member/loss", test_loss);
	g_test_add_func("/member/regions", test_regions);
	g_test_add_func("/member/minority", test_minority);
	g_test_add_func("/member/mass-restart", test_mass_restart);
	g_test_add_func("/member/zone-loss", test_zone_loss);
	g_test_add_func("/member/peers-only", test_peers_only);
	g_test_add_func("/member/leave", test_leave);
	g_test_add_func("/member/late-list", test_late_list);
	g_test_add_func("/member/mean-load", test_mean_load);
	return g_test_run();
}
