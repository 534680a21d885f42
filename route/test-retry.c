#include "route/test-random.h"

/* A third of the attempts fail, then all: attempts stay within 110%. */
static void test_budget(void)
{
	GRand *r = g_rand_new_with_seed(21);
	struct retry_budget b = {0};
	int firsts = 0, retries = 0;

	for (int64_t now = 0; now < 30000; now++) {
		int fail_of_3 = now < 20000 ? 1 : 3;

		firsts++;
		retry_first(&b);
		for (int n = 1; g_rand_int_range(r, 0, 3) < fail_of_3; n++) {
			if (!retry_at(&b, &retry_policy_default, n, 0, now,
				      now + 100000, random_of(r)))
				break;
			retries++;
		}
		g_assert_cmpfloat(retries, <=, 0.1 * firsts + 0.001);
	}
	g_assert_cmpint(retries, >, firsts / 11);
	g_rand_free(r);
}

/* Backoff grows to its maximum, is spread, and never passes the deadline. */
static void test_backoff(void)
{
	GRand *r = g_rand_new_with_seed(22);
	struct retry_policy p = {.base_ms = 100, .max_ms = 800, .attempts = 9};
	struct retry_budget b = {0};
	int64_t low = INT64_MAX, high = 0;

	for (int round = 0; round < 2000; round++) {
		int n = round % 8 + 1;
		int64_t full = MIN(100 << (n - 1), 800);
		int64_t at;

		b.saved = 1;
		at = retry_at(&b, &p, n, 50, 1000, 100000, random_of(r));
		g_assert_cmpint(at, >=, 1000 + full / 2);
		g_assert_cmpint(at, <=, 1000 + full);
		low = n == 8 ? MIN(low, at) : low;
		high = n == 8 ? MAX(high, at) : high;
		b.saved = 1;
		at = retry_at(&b, &p, n, 50, 1000, 1200, random_of(r));
		g_assert_true(at == 0 || at + 50 <= 1200);
		/* What was not retried is not paid for. */
		g_assert_cmpfloat(b.saved, ==, at ? 0 : 1);
	}
	g_assert_cmpint(high - low, >, 300);
	g_assert_cmpint(retry_at(&b, &p, 9, 0, 0, 100000, random_of(r)), ==, 0);
	g_rand_free(r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/retry/budget", test_budget);
	g_test_add_func("/route/retry/backoff", test_backoff);
	return g_test_run();
}
