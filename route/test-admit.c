/* Admission at the owner of targets: bound, load reports, change of owner. */
#include "route/test-random.h"

#define TARGETS 9

static struct admit_limits limits(void)
{
	struct admit_limits l = admit_limits_default;

	l.min_bound = 1000;
	l.cold_load_factor = 1.1;
	return l;
}

static struct admit_request make_request(uint64_t target, int64_t work)
{
	return (struct admit_request){.target = target,
				      .weight = 1,
				      .work = work,
				      .use_full_bound = true,
				      .deadline_ms = INT64_MAX / 2};
}

static struct admit *new_owner(GRand *r, const struct admit_limits *l,
			       int targets)
{
	struct admit *a = admit_new(l, random_of(r));

	for (int i = 1; i <= targets; i++)
		admit_take_over(a, (uint64_t)i, 0, 0, 1);
	admit_set_fleet_totals(a, 0, (size_t)targets);
	return a;
}

static enum verdict submit(struct admit *a, struct admit_request q,
			   int64_t now_ms)
{
	struct decision d;

	admit_request(a, &q, now_ms, &d);
	return d.verdict;
}

/* Each verdict agrees with plain sums over all requests in progress. */
static void test_against_sums(void)
{
	GRand *r = g_rand_new_with_seed(41);
	struct admit_limits l = limits();
	struct admit *a = new_owner(r, &l, TARGETS);
	int64_t load[TARGETS + 1] = {0}, sum = 0;
	GArray *running =
		g_array_new(FALSE, FALSE, sizeof(struct admit_request));
	unsigned refused = 0;

	for (int64_t now = 0; now < 20000; now++) {
		uint64_t t = (uint64_t)g_rand_int_range(r, 1, TARGETS + 1);
		struct admit_request q =
			make_request(t, g_rand_int_range(r, 10, 900));
		double factor = now % 3 == 0 ? 1.25 : 1.1;
		double bound = factor * (double)sum / (TARGETS + 1);
		bool has_room = load[t] == 0 ||
				(now % 2 && load[t] * TARGETS < sum) ||
				load[t] + q.work <= MAX((int64_t)bound, 1000);

		q.allow_oversize = now % 2;
		q.use_full_bound = now % 3 == 0;
		g_assert_cmpint(submit(a, q, now), ==,
				has_room ? VERDICT_ADMIT : VERDICT_REFUSE);
		refused += !has_room;
		if (has_room) {
			g_array_append_val(running, q);
			load[t] += q.work;
			sum += q.work;
		}
		while (running->len > 60) {
			guint i = (guint)g_rand_int_range(r, 0, 60);
			struct admit_request ended =
				g_array_index(running, struct admit_request, i);

			admit_done(a, ended.target, 0, ended.work, now);
			load[ended.target] -= ended.work;
			sum -= ended.work;
			g_array_remove_index_fast(running, i);
		}
	}
	g_assert_cmpuint(refused, >, 1000);
	g_array_unref(running);
	admit_free(a);
	g_rand_free(r);
}

/*
 * Requests that are refused at the same time get later retry times, spread
 * evenly: else they would all come back together.
 */
static void test_refusal(void)
{
	GRand *r = g_rand_new_with_seed(5);
	struct admit_limits l = limits();
	struct admit *a = new_owner(r, &l, 1);
	unsigned per_tenth[10] = {0};

	g_assert_cmpint(submit(a, make_request(1, 5000), 7), ==, VERDICT_ADMIT);
	for (int i = 0; i < 1000; i++) {
		struct admit_request q = make_request(1, 5000);
		struct decision d;
		int64_t delay;

		admit_request(a, &q, 7, &d);
		g_assert_cmpint(d.verdict, ==, VERDICT_REFUSE);
		g_assert_cmpint(d.refusal, ==, REFUSAL_OVER_BOUND);
		delay = d.retry_at_ms - 7 - l.retry_min_ms;
		g_assert_cmpint(delay, >=, 0);
		per_tenth[MIN(delay * 10 / (20 * l.retry_spread_ms), 9)]++;
	}
	for (int i = 0; i < 10; i++)
		g_assert_cmpuint(per_tenth[i], >, 20);
	admit_free(a);
	g_rand_free(r);
}

/* Work that another node admitted is inferred from the target's report. */
static void test_foreign(void)
{
	GRand *r = g_rand_new_with_seed(6);
	struct admit_limits l = limits();
	struct admit *a = new_owner(r, &l, 1);
	struct load_report delayed = {1, 2, 0, 200, 900};
	struct load_report with_foreign = {1, 9, 0, 900, 1950};

	g_assert_cmpint(submit(a, make_request(1, 100), 100), ==,
			VERDICT_ADMIT);
	g_assert_cmpint(submit(a, make_request(1, 100), 500), ==,
			VERDICT_ADMIT);
	admit_done(a, 1, 0, 100, 1500);
	/* The report's second request was this node's and has ended since. */
	admit_report(a, &delayed, 1900);
	g_assert_cmpint(admit_load(a, 1), ==, 100);
	admit_report(a, &with_foreign, 2000);
	g_assert_cmpint(admit_load(a, 1), ==, 900);
	g_assert_cmpint(submit(a, make_request(1, 200), 2000), ==,
			VERDICT_REFUSE);
	admit_report(a, &delayed, 2100);
	g_assert_cmpint(admit_load(a, 1), ==, 900);
	admit_free(a);
	g_rand_free(r);
}

/*
 * For 5 s two nodes own the same target, and its reports reach both 1 s late.
 * Nothing is admitted before a report from after the change, and then both
 * together stay within the bound.
 */
static void test_two_admitters(void)
{
	GRand *r = g_rand_new_with_seed(7);
	struct admit_limits l = limits();
	struct admit *a[2];
	int64_t work[7000 + 1] = {0}; /* admitted by then; nothing ends */
	int64_t admitted = 0, admitted_early = 0;

	for (int i = 0; i < 2; i++) {
		a[i] = admit_new(&l, random_of(r));
		admit_take_over(a[i], 1, 1000, 6000, 2);
		admit_set_fleet_totals(a[i], 80000, 9); /* bound: 10,000 */
	}
	for (int64_t now = 1000; now < 6000; now++) {
		for (int i = 0; i < 2; i++) {
			struct load_report report = {1, work[now - 1000] / 100,
						     0, 0, now - 1000};

			if (now % 200 == 0)
				admit_report(a[i], &report, now);
			if (submit(a[i], make_request(1, 100), now) ==
			    VERDICT_ADMIT)
				admitted += 100;
		}
		work[now] = admitted;
		if (now < 2000)
			admitted_early += admitted;
	}
	g_assert_cmpint(admitted_early, ==, 0);
	g_assert_cmpint(admitted, >, 5000);
	g_assert_cmpint(admitted, <=, admit_bound(a[0]));
	for (int i = 0; i < 2; i++)
		admit_free(a[i]);
	g_rand_free(r);
}

/* A node gives up a target and owns it again: work still running counts. */
static void test_hand_back(void)
{
	GRand *r = g_rand_new_with_seed(8);
	struct admit_limits l = limits();
	struct admit *a = new_owner(r, &l, 1);

	g_assert_cmpint(submit(a, make_request(1, 600), 0), ==, VERDICT_ADMIT);
	admit_hand_over(a, 1);
	g_assert_cmpint(admit_load(a, 1), ==, -1);
	g_assert_cmpint(submit(a, make_request(1, 1), 1), ==, VERDICT_REFUSE);
	admit_take_over(a, 1, 2, 0, 1);
	g_assert_cmpint(submit(a, make_request(1, 600), 3), ==, VERDICT_REFUSE);
	admit_done(a, 1, 0, 600, 4);
	g_assert_cmpint(submit(a, make_request(1, 600), 5), ==, VERDICT_ADMIT);
	admit_free(a);
	g_rand_free(r);
}

/* An empty target joins: even full targets stay within 1.25 x the new mean. */
static void test_join(void)
{
	GRand *r = g_rand_new_with_seed(9);
	struct admit_limits l = limits();
	struct admit *a = new_owner(r, &l, TARGETS);
	int64_t work, max_load = 0;
	size_t n;

	for (int i = 0; i < 100000; i++)
		submit(a,
		       make_request(
			       (uint64_t)g_rand_int_range(r, 1, TARGETS + 1),
			       9),
		       i);
	admit_take_over(a, TARGETS + 1, 100000, 0, 1);
	admit_owned_totals(a, &work, &n);
	admit_set_fleet_totals(a, work, n);
	for (uint64_t t = 1; t <= TARGETS; t++)
		max_load = MAX(max_load, admit_load(a, t));
	g_assert_cmpuint(n, ==, TARGETS + 1);
	g_assert_cmpint(max_load, >, 1000);
	g_assert_cmpfloat((double)max_load, <=,
			  1.25 * (double)work / (double)n);
	admit_free(a);
	g_rand_free(r);
}

/*
 * Fleet totals that lag behind a growing load cause no refusals: an observed
 * mean load clearly above them counts instead.
 */
static void test_growth(void)
{
	GRand *r = g_rand_new_with_seed(10);
	struct admit_limits l = limits();
	struct admit *a = new_owner(r, &l, 1);
	struct admit_request q = make_request(1, 2000);

	g_assert_cmpint(submit(a, q, 0), ==, VERDICT_ADMIT);
	admit_set_fleet_totals(a, 18000, 9);
	g_assert_cmpint(submit(a, q, 1), ==, VERDICT_REFUSE);
	q.observed_mean_load = 2050; /* near the totals: they count */
	g_assert_cmpint(submit(a, q, 1), ==, VERDICT_REFUSE);
	q.observed_mean_load = 4000;
	g_assert_cmpint(submit(a, q, 1), ==, VERDICT_ADMIT);
	g_assert_cmpint(submit(a, q, 1), ==, VERDICT_REFUSE);
	admit_free(a);
	g_rand_free(r);
}

/*
 * An unreachable target gets no requests until a report that was taken after
 * the failed connection arrives.
 */
static void test_unreachable(void)
{
	GRand *r = g_rand_new_with_seed(11);
	struct admit_limits l = limits();
	struct admit *a = new_owner(r, &l, 1);
	struct load_report before = {.target = 1, .taken_ms = 900};
	struct load_report after = {.target = 1, .taken_ms = 1100};

	g_assert_cmpint(submit(a, make_request(1, 10), 900), ==, VERDICT_ADMIT);
	admit_unreachable(a, 1, 1000);
	admit_report(a, &before, 1900);
	g_assert_cmpint(submit(a, make_request(1, 10), 1900), ==,
			VERDICT_REFUSE);
	admit_report(a, &after, 2100);
	g_assert_cmpint(submit(a, make_request(1, 10), 2100), ==,
			VERDICT_ADMIT);
	admit_free(a);
	g_rand_free(r);
}

/*
 * An evicted prefix counts as work: for the first request once the engine
 * reports no reuse, for later ones by the age of the prefix.
 */
static void test_evicted(void)
{
	GRand *r = g_rand_new_with_seed(15);
	struct admit_limits l = limits();
	struct admit *a = new_owner(r, &l, 2);
	struct admit_request q = make_request(1, 900);
	struct decision d;

	q.reusable_tokens = 800;
	q.reuse_age_ms = 30000;
	admit_request(a, &q, 0, &d);
	g_assert_cmpint(d.work, ==, 100);
	g_assert_cmpint(admit_correct_work(a, &q, d.work, 0), ==, 900);
	g_assert_cmpint(admit_load(a, 1), ==, 900);
	g_assert_cmpint(submit(a, q, 1), ==, VERDICT_REFUSE);
	q.reuse_age_ms = 1000;
	admit_request(a, &q, 1, &d);
	g_assert_cmpint(d.verdict, ==, VERDICT_ADMIT);
	g_assert_cmpint(admit_correct_work(a, &q, d.work, 800), ==, 100);
	admit_done(a, 1, 0, 900, 2);
	admit_done(a, 1, 0, 100, 2);
	g_assert_cmpint(admit_load(a, 1), ==, 0);
	admit_free(a);
	g_rand_free(r);
}

/*
 * The estimate finds the age at which an LRU cache evicts and follows changes.
 * A hit is predicted for under 1% of evicted and for over half of held
 * prefixes.
 */
static void test_reuse_age(void)
{
	GRand *r = g_rand_new_with_seed(16);
	struct eviction_age estimate = {0};
	unsigned evicted_count = 0, false_hits = 0, held_count = 0,
		 true_hits = 0;

	for (int i = 0; i < 3000; i++) {
		int64_t eviction_ms = i < 1000   ? 60000
				      : i < 2000 ? 5000
						 : 30000;
		int64_t age_ms = g_rand_int_range(r, 0, 90000);
		bool held = age_ms < eviction_ms;

		if (i % 1000 > 100) {
			evicted_count += !held;
			false_hits += !held && eviction_age_predicts_hit(
						       &estimate, age_ms);
			held_count += held;
			true_hits += held && eviction_age_predicts_hit(
						     &estimate, age_ms);
		}
		eviction_age_update(&estimate, age_ms, held);
	}
	g_assert_cmpuint(false_hits * 100, <, evicted_count);
	g_assert_cmpuint(true_hits * 2, >, held_count);
	g_rand_free(r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/admit/naive", test_against_sums);
	g_test_add_func("/route/admit/refusal", test_refusal);
	g_test_add_func("/route/admit/foreign", test_foreign);
	g_test_add_func("/route/admit/two-admitters", test_two_admitters);
	g_test_add_func("/route/admit/hand-back", test_hand_back);
	g_test_add_func("/route/admit/join", test_join);
	g_test_add_func("/route/admit/growth", test_growth);
	g_test_add_func("/route/admit/evicted", test_evicted);
	g_test_add_func("/route/admit/reuse-age", test_reuse_age);
	g_test_add_func("/route/admit/unreachable", test_unreachable);
	return g_test_run();
}
