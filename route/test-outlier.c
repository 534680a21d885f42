/* Outlier detection: which and how many targets are ejected, and the ramp. */
#include "route/test-random.h"

#define POOL 9

static struct outliers *setup(const struct outlier_policy *p)
{
	struct outliers *o = outliers_new(p);
	uint64_t ids[POOL];

	for (uint64_t i = 0; i < POOL; i++)
		ids[i] = i + 1;
	outliers_set_pool(o, ids, POOL);
	return o;
}

/*
 * A third of the pool fails for 30 s: at most the allowed fraction is ejected,
 * under 2% of the requests fail, and all targets come back.
 */
static void test_third_fails(void)
{
	GRand *r = g_rand_new_with_seed(31);
	struct outliers *o = setup(&outlier_policy_default);
	unsigned sent = 0, failed = 0;

	for (int64_t now = 0; now < 300000; now++) {
		uint64_t t = (uint64_t)g_rand_int_range(r, 1, POOL + 1);

		g_assert_cmpuint(outliers_ejected(o, now), <=, 3);
		if (!outliers_allow(o, t, now, random_of(r)))
			continue;
		if (now < 30000 && t <= 3)
			outliers_record_error(o, t, now);
		else
			outliers_record_success(o, t, 100, now);
		sent += now < 30000;
		failed += now < 30000 && t <= 3;
	}
	g_assert_cmpuint(failed * 50, <, sent);
	g_assert_cmpuint(outliers_ejected(o, 300000), ==, 0);
	for (uint64_t t = 1; t <= 3; t++)
		g_assert_true(outliers_allow(o, t, 300000, random_of(r)));
	outliers_free(o);
	g_rand_free(r);
}

/* All targets fail: only the allowed fraction is ejected. */
static void test_all_fail(void)
{
	struct outliers *o = setup(&outlier_policy_default);

	for (int64_t now = 0; now < 1000; now++)
		outliers_record_error(o, (uint64_t)(now % POOL) + 1, now);
	g_assert_cmpuint(outliers_ejected(o, 1000), ==, 3);
	outliers_free(o);
}

/* The fraction is of the whole pool, of which other nodes watch a part. */
static void test_others(void)
{
	struct outliers *o = outliers_new(&outlier_policy_default);
	uint64_t own = 1;

	outliers_set_pool(o, &own, 1);
	for (int i = 0; i < 9; i++)
		outliers_record_error(o, 1, 0);
	g_assert_cmpuint(outliers_ejected(o, 1), ==, 0);
	outliers_set_remote(o, 3, 8);
	outliers_record_error(o, 1, 1);
	g_assert_cmpuint(outliers_ejected(o, 1), ==, 0);
	outliers_set_remote(o, 2, 8);
	outliers_record_error(o, 1, 1);
	g_assert_cmpuint(outliers_ejected(o, 1), ==, 1);
	outliers_free(o);
}

/* A slow target is ejected though it makes no errors. */
static void test_slow(void)
{
	GRand *r = g_rand_new_with_seed(32);
	struct outliers *o = setup(&outlier_policy_default);

	for (int64_t now = 0; now < 1000; now++) {
		uint64_t t = (uint64_t)(now % POOL) + 1;

		outliers_record_success(o, t, t == 5 ? 500 : 100, now);
	}
	g_assert_cmpuint(outliers_ejected(o, 1000), ==, 1);
	g_assert_false(outliers_allow(o, 5, 1000, random_of(r)));
	outliers_free(o);
	g_rand_free(r);
}

/*
 * After its ejection a target gets a growing part of its requests; one error
 * then ejects it for longer.
 */
static void test_ramp(void)
{
	GRand *r = g_rand_new_with_seed(33);
	const struct outlier_policy *p = &outlier_policy_default;
	struct outliers *o = setup(p);
	int64_t ramp_start = p->base_ejection_ms;
	unsigned early = 0, late = 0;

	for (int i = 0; i < p->consecutive_errors; i++)
		outliers_record_error(o, 1, 0);
	g_assert_false(outliers_allow(o, 1, ramp_start - 1, random_of(r)));
	for (int i = 0; i < 1000; i++) {
		early += outliers_allow(o, 1, ramp_start + 1, random_of(r));
		late += outliers_allow(o, 1, ramp_start + p->ramp_ms / 2,
				       random_of(r));
	}
	g_assert_cmpuint(early, >, 50);
	g_assert_cmpuint(early, <, 150);
	g_assert_cmpuint(late, >, 400);
	g_assert_cmpuint(late, <, 600);
	outliers_record_error(o, 1, ramp_start + 1);
	g_assert_false(outliers_allow(
		o, 1, ramp_start + 2 * p->base_ejection_ms, random_of(r)));
	outliers_free(o);
	g_rand_free(r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/outlier/third-fails", test_third_fails);
	g_test_add_func("/route/outlier/all-fail", test_all_fail);
	g_test_add_func("/route/outlier/others", test_others);
	g_test_add_func("/route/outlier/slow", test_slow);
	g_test_add_func("/route/outlier/ramp", test_ramp);
	return g_test_run();
}
