/* Limits across the fleet: the grants of the pool and the token buckets. */
#include "route/test-random.h"

#define NODES       20
#define GRANT_MS    2000
#define LIMIT_PER_S 100.0
#define SLOTS       30.0
#define ROUNDING    1e-6

static const struct limit_rates declared = {LIMIT_PER_S, 50000, SLOTS};

/* Renew a node's grant; when the answer is lost it keeps the one it has. */
static void renew(struct limit_pool *p, struct limit_grant *g, uint64_t node,
		  double demand, int64_t now, bool lost)
{
	struct limit_grant answer =
		limit_pool_grant(p, node, demand, g, now, now + GRANT_MS);

	if (!lost)
		*g = answer;
}

/* The grants that have not expired are within the limit in sum. */
static void check_sum(const struct limit_grant *g, int64_t now)
{
	struct limit_rates sum = {0};

	for (int i = 0; i < NODES; i++) {
		if (g[i].until_ms <= now)
			continue;
		sum.requests_per_s += g[i].rates.requests_per_s;
		sum.tokens_per_s += g[i].rates.tokens_per_s;
		sum.concurrent += g[i].rates.concurrent;
	}
	g_assert_cmpfloat(sum.requests_per_s, <=, LIMIT_PER_S + ROUNDING);
	g_assert_cmpfloat(sum.tokens_per_s, <=, 50000 + ROUNDING);
	g_assert_cmpfloat(sum.concurrent, <=, SLOTS);
}

/*
 * Nodes come and go, change their demand and lose answers, and the pool moves
 * to a new holder: the sum of the grants in use never exceeds the limit.
 */
static void test_sum(void)
{
	GRand *r = g_rand_new_with_seed(12);
	struct limit_pool *p = limit_pool_new(declared, 0);
	struct limit_grant g[NODES] = {0};

	for (int64_t now = 1; now < 200000; now += 20) {
		int i = g_rand_int_range(r, 0, NODES);
		double demand = g_rand_double_range(r, 0, 60);

		if (g_rand_int_range(r, 0, 1000) == 0) {
			limit_pool_free(p);
			p = limit_pool_new(declared, now + GRANT_MS);
		}
		renew(p, &g[i], (uint64_t)i, demand, now,
		      g_rand_int_range(r, 0, 10) == 0);
		check_sum(g, now);
	}
	limit_pool_free(p);
	g_rand_free(r);
}

/*
 * Grants follow demand. A new holder of the pool renews the grants in use and
 * makes no new ones until those may have expired.
 */
static void test_demand(void)
{
	struct limit_pool *p = limit_pool_new(declared, 0);
	struct limit_grant g[NODES] = {0};
	double before;

	for (int64_t now = 1; now < 20000; now += 500)
		for (int i = 0; i < 3; i++)
			renew(p, &g[i], (uint64_t)i, i == 0 ? 200 : 10, now, 0);
	g_assert_cmpfloat(g[1].rates.requests_per_s, >=, 10 - ROUNDING);
	g_assert_cmpfloat(g[2].rates.requests_per_s, >=, 10 - ROUNDING);
	g_assert_cmpfloat(g[0].rates.requests_per_s, >, 70);
	limit_pool_free(p);
	p = limit_pool_new(declared, 20000 + GRANT_MS);
	before = g[0].rates.requests_per_s;
	renew(p, &g[0], 0, 200, 20000, 0);
	renew(p, &g[4], 4, 200, 20000, 0);
	g_assert_cmpfloat(g[0].rates.requests_per_s, >=, before - ROUNDING);
	g_assert_cmpfloat(g[0].rates.requests_per_s, <=, before + ROUNDING);
	g_assert_cmpfloat(g[4].rates.requests_per_s, ==, 0);
	limit_pool_free(p);
}

/* A surge over many nodes gets no more than the declared rate and a burst. */
static void test_surge(void)
{
	GRand *r = g_rand_new_with_seed(13);
	struct limit_rates rate_only = {LIMIT_PER_S, 0, 0};
	struct limit_pool *p = limit_pool_new(rate_only, 0);
	struct limit_bucket b[NODES] = {0};
	unsigned taken = 0;

	for (int64_t now = 0; now < 20000; now++) {
		int i = g_rand_int_range(r, 0, NODES);
		int64_t retry_at_ms = limit_bucket_take(&b[i], &rate_only, 100,
							now, random_of(r));

		taken += retry_at_ms == 0;
		g_assert_true(retry_at_ms == 0 || retry_at_ms > now);
		if (now % 500 != 0)
			continue;
		for (uint64_t k = 0; k < NODES; k++)
			limit_bucket_set_grant(
				&b[k],
				limit_pool_grant(p, k, b[k].demand, &b[k].grant,
						 now, now + GRANT_MS),
				now);
	}
	/* 20 s at the limit, and the burst of one second in the buckets. */
	g_assert_cmpuint(taken, <=, 20 * 100 + 100);
	g_assert_cmpuint(taken, >=, 20 * 85);
	limit_pool_free(p);
	g_rand_free(r);
}

/* Concurrency is bounded, and nothing starts on an expired grant. */
static void test_concurrent(void)
{
	GRand *r = g_rand_new_with_seed(14);
	struct limit_rates two = {.concurrent = 2};
	struct limit_bucket b = {.grant = {two, 1000}};

	g_assert_cmpint(limit_bucket_take(&b, &two, 5, 1, random_of(r)), ==, 0);
	g_assert_cmpint(limit_bucket_take(&b, &two, 5, 1, random_of(r)), ==, 0);
	g_assert_cmpint(limit_bucket_take(&b, &two, 5, 1, random_of(r)), >, 1);
	limit_bucket_release(&b);
	g_assert_cmpint(limit_bucket_take(&b, &two, 5, 2, random_of(r)), ==, 0);
	limit_bucket_release(&b);
	g_assert_cmpint(limit_bucket_take(&b, &two, 5, 1000, random_of(r)), >,
			1000);
	g_rand_free(r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/limit/sum", test_sum);
	g_test_add_func("/route/limit/demand", test_demand);
	g_test_add_func("/route/limit/surge", test_surge);
	g_test_add_func("/route/limit/concurrent", test_concurrent);
	return g_test_run();
}
