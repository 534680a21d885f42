/* Retry budget and backoff. */
#include "route/test-random.h"

/*
 * First a third of the attempts fails, then all: the budget keeps the number of
 * attempts within 110% of the requests.
 */
static void test_budget(void)
{
	GRand *r = g_rand_new_with_seed(21);
	struct retry_budget b = {0};
	int requests = 0, retries = 0;

	for (int64_t now = 0; now < 30000; now++) {
		int fail_of_3 = now < 20000 ? 1 : 3;

		requests++;
		retry_budget_deposit(&b);
		for (int attempt = 1; g_rand_int_range(r, 0, 3) < fail_of_3;
		     attempt++) {
			if (!retry_schedule(&b, &retry_policy_default, attempt,
					    0, now, now + 100000, random_of(r)))
				break;
			retries++;
		}
		g_assert_cmpfloat(retries, <=, 0.1 * requests + 0.001);
	}
	g_assert_cmpint(retries, >, requests / 11);
	g_rand_free(r);
}

/* The backoff grows to its maximum, has jitter, and respects the deadline. */
static void test_backoff(void)
{
	GRand *r = g_rand_new_with_seed(22);
	struct retry_policy p = {.base_ms = 100, .max_ms = 800, .attempts = 9};
	struct retry_budget b = {0};
	int64_t low = INT64_MAX, high = 0;

	for (int round = 0; round < 2000; round++) {
		int attempt = round % 8 + 1;
		int64_t backoff = MIN(100 << (attempt - 1), 800);
		int64_t at;

		b.balance = 1;
		at = retry_schedule(&b, &p, attempt, 50, 1000, 100000,
				    random_of(r));
		g_assert_cmpint(at, >=, 1000 + backoff / 2);
		g_assert_cmpint(at, <=, 1000 + backoff);
		low = attempt == 8 ? MIN(low, at) : low;
		high = attempt == 8 ? MAX(high, at) : high;
		b.balance = 1;
		at = retry_schedule(&b, &p, attempt, 50, 1000, 1200,
				    random_of(r));
		g_assert_true(at == 0 || at + 50 <= 1200);
		/* Only a retry takes from the budget. */
		g_assert_cmpfloat(b.balance, ==, at ? 0 : 1);
	}
	g_assert_cmpint(high - low, >, 300);
	g_assert_cmpint(retry_schedule(&b, &p, 9, 0, 0, 100000, random_of(r)),
			==, 0);
	g_rand_free(r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/retry/budget", test_budget);
	g_test_add_func("/route/retry/backoff", test_backoff);
	return g_test_run();
}
