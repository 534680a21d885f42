#include "node/node.h"

#define MAX_MS 1000

/* A stream with even gaps is suspected soon, an uneven one later. */
static void test_bound(void)
{
	static const struct {
		int64_t gaps[8];
		int64_t low, high;
	} cases[] = {
		{{4, 4, 4, 4, 4, 4, 4, 4}, 250, 250},
		{{100, 100, 100, 100, 100, 100, 100, 100}, 250, 250},
		{{10, 300, 10, 300, 10, 300, 10, 300}, 400, 999},
		{{2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000},
		 MAX_MS,
		 MAX_MS},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct pace p = {0};

		for (size_t k = 0; k < G_N_ELEMENTS(cases[i].gaps); k++)
			pace_note(&p, cases[i].gaps[k]);
		g_assert_cmpint(pace_bound_ms(&p, MAX_MS), >=, cases[i].low);
		g_assert_cmpint(pace_bound_ms(&p, MAX_MS), <=, cases[i].high);
	}
}

static void test_unknown_pace(void)
{
	struct pace p = {0};

	g_assert_cmpint(pace_bound_ms(&p, MAX_MS), ==, MAX_MS);
	pace_note(&p, 4);
	g_assert_cmpint(pace_bound_ms(&p, MAX_MS), ==, MAX_MS);
}

/* An engine that is silent itself isn't asked again and again. */
static void test_doubling(void)
{
	struct pace p = {0};
	int64_t before;

	for (int i = 0; i < 8; i++)
		pace_note(&p, 4);
	before = pace_bound_ms(&p, MAX_MS);
	pace_silent(&p);
	g_assert_cmpint(pace_bound_ms(&p, MAX_MS), ==, 2 * before);
	for (int i = 0; i < 100; i++)
		pace_silent(&p);
	g_assert_cmpint(pace_bound_ms(&p, MAX_MS), ==, MAX_MS);
	pace_note(&p, 4);
	g_assert_cmpint(pace_bound_ms(&p, MAX_MS), ==, before);
}

/* Pauses grow and are spread over as much as their mean. */
static void test_pauses(void)
{
	for (unsigned n = 0; n < 5; n++) {
		int64_t low = pace_pause_ms(n, 0);
		int64_t base = low * 2 + 1;
		GHashTable *seen = g_hash_table_new(NULL, NULL);

		for (uint32_t r = 0; r < 1000; r++) {
			int64_t ms = pace_pause_ms(n, r * 2654435761u);

			g_assert_cmpint(ms, >=, low);
			g_assert_cmpint(ms, <=, low + base);
			g_hash_table_add(seen, GINT_TO_POINTER(ms));
		}
		g_assert_cmpint(g_hash_table_size(seen), >=, 20);
		g_hash_table_unref(seen);
		g_assert_cmpint(low, <, pace_pause_ms(n + 1, 0));
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
