/* Silence timeout of streams, from their pace, and pauses between retries. */
#include "node/node.h"

#define MAX_BOUND_MS 1000

/* Even gaps give a short timeout, uneven ones a longer one, up to a limit. */
static void test_bound(void)
{
	static const struct {
		int64_t gaps_ms[8];
		int64_t min_ms, max_ms;
	} cases[] = {
		{{4, 4, 4, 4, 4, 4, 4, 4}, 250, 250},
		{{100, 100, 100, 100, 100, 100, 100, 100}, 250, 250},
		{{10, 300, 10, 300, 10, 300, 10, 300}, 400, 999},
		{{2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000},
		 MAX_BOUND_MS,
		 MAX_BOUND_MS},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct pace p = {0};

		for (size_t k = 0; k < G_N_ELEMENTS(cases[i].gaps_ms); k++)
			pace_record_gap(&p, cases[i].gaps_ms[k]);
		g_assert_cmpint(pace_timeout_ms(&p, MAX_BOUND_MS), >=,
				cases[i].min_ms);
		g_assert_cmpint(pace_timeout_ms(&p, MAX_BOUND_MS), <=,
				cases[i].max_ms);
	}
}

/* Too few gaps to know the pace: the longest timeout. */
static void test_unknown_pace(void)
{
	struct pace p = {0};

	g_assert_cmpint(pace_timeout_ms(&p, MAX_BOUND_MS), ==, MAX_BOUND_MS);
	pace_record_gap(&p, 4);
	g_assert_cmpint(pace_timeout_ms(&p, MAX_BOUND_MS), ==, MAX_BOUND_MS);
}

/* Silences in a row double the timeout, to spare a stalled engine. */
static void test_doubling(void)
{
	struct pace p = {0};
	int64_t initial_ms;

	for (int i = 0; i < 8; i++)
		pace_record_gap(&p, 4);
	initial_ms = pace_timeout_ms(&p, MAX_BOUND_MS);
	pace_record_timeout(&p);
	g_assert_cmpint(pace_timeout_ms(&p, MAX_BOUND_MS), ==, 2 * initial_ms);
	for (int i = 0; i < 100; i++)
		pace_record_timeout(&p);
	g_assert_cmpint(pace_timeout_ms(&p, MAX_BOUND_MS), ==, MAX_BOUND_MS);
	pace_record_gap(&p, 4);
	g_assert_cmpint(pace_timeout_ms(&p, MAX_BOUND_MS), ==, initial_ms);
}

/* Pauses grow with the attempt; jitter is as wide as their mean. */
static void test_pauses(void)
{
	for (unsigned attempt = 0; attempt < 5; attempt++) {
		int64_t min_ms = pace_backoff_ms(attempt, 0);
		int64_t mean_ms = min_ms * 2 + 1;
		GHashTable *distinct_pauses = g_hash_table_new(NULL, NULL);

		for (uint32_t r = 0; r < 1000; r++) {
			int64_t ms = pace_backoff_ms(attempt, r * 2654435761u);

			g_assert_cmpint(ms, >=, min_ms);
			g_assert_cmpint(ms, <=, min_ms + mean_ms);
			g_hash_table_add(distinct_pauses, GINT_TO_POINTER(ms));
		}
		g_assert_cmpint(g_hash_table_size(distinct_pauses), >=, 20);
		g_hash_table_unref(distinct_pauses);
		g_assert_cmpint(min_ms, <, pace_backoff_ms(attempt + 1, 0));
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node/pace/bound", test_bound);
	g_test_add_func("/node/pace/unknown", test_unknown_pace);
	g_test_add_func("/node/pace/doubling", test_doubling);
	g_test_add_func("/node/pace/pauses", test_pauses);
	return g_test_run();
}
