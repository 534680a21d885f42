/* Tests of how long answers of the directory are kept. */
#include <glib.h>

#include "route/directory.h"

#define MAX_S 2.0

static double ttl_s(size_t listed, size_t known, int64_t age_ms)
{
	struct directory_view v = {listed, known, age_ms};

	return directory_ttl_s(&v, MAX_S);
}

/* In calm times an answer is asked for again and again. */
static void test_all_serve(void)
{
	g_assert_cmpfloat(ttl_s(70, 70, 60000), ==, MAX_S);
	g_assert_cmpfloat(ttl_s(1, 1, 60000), ==, MAX_S);
}

/* The first of 70 nodes that is back keeps the callers of all for 2 s. */
static void test_few_are_back(void)
{
	g_assert_cmpfloat(ttl_s(1, 70, 60000), <=, 0.3);
	g_assert_cmpfloat(ttl_s(35, 70, 60000), <=, MAX_S / 2);
}

/* A node that has just started knows only itself and names nobody else. */
static void test_just_started(void)
{
	g_assert_cmpfloat(ttl_s(1, 1, 500), <=, 0.3);
}

static void test_short_limit(void)
{
	struct directory_view v = {1, 70, 500};

	g_assert_cmpfloat(directory_ttl_s(&v, 0.1), ==, 0.1);
}

/*
 * 70 nodes come back within a second, each known to the others at once; 1,000
 * callers ask every node. The node that is back first keeps far more than its
 * share of them for seconds.
 */
static void test_herd(void)
{
	enum { NODES = 70, CALLERS = 1000 };
	int at_first = 0;
	GRand *rand = g_rand_new_with_seed(20261204);

	for (int c = 0; c < CALLERS; c++) {
		double now_s = 0;
		int chosen = 0;

		/* Until the time at which the load of the first is counted. */
		while (now_s < 1.5) {
			int back = 1 + (int)(MIN(now_s, 1) * (NODES - 1));

			chosen = g_rand_int_range(rand, 0, back);
			now_s += ttl_s((size_t)back, NODES, 60000);
		}
		at_first += chosen == 0;
	}
	g_assert_cmpint(at_first, <, 3 * CALLERS / NODES);
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/directory/all-serve", test_all_serve);
	g_test_add_func("/directory/few-are-back", test_few_are_back);
	g_test_add_func("/directory/just-started", test_just_started);
	g_test_add_func("/directory/short-limit", test_short_limit);
	g_test_add_func("/directory/herd", test_herd);
	return g_test_run();
}
