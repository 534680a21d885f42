/* What targets that take no request now will take later. */
#include <glib.h>

#include "route/supply.h"

#define NOW_MS 1000

/* Two targets: one a second from 100 ms on, one every two from 500 ms on. */
static const struct supply two[] = {{NOW_MS + 100, 0.001},
				    {NOW_MS + 500, 0.0005}};

/* A request waits that can't be served in time, or one that can is refused. */
static void test_count(void)
{
	static const struct {
		int64_t at_ms;
		double count;
	} rows[] = {{0, 0},    {99, 0},   {100, 1},  {500, 2},
		    {1099, 2}, {1100, 3}, {2100, 4}, {2500, 5}};

	g_assert_cmpfloat(supply_count(two, 0, INT64_MAX), ==, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_assert_cmpfloat(supply_count(two, 2, NOW_MS + rows[i].at_ms),
				  ==, rows[i].count);
}

/* A refused caller comes back before there is room, or long after. */
static void test_time(void)
{
	static const int64_t times[] = {100, 500, 1100, 2100, 2500};

	for (size_t i = 0; i < G_N_ELEMENTS(times); i++)
		g_assert_cmpint(
			supply_time_ms(two, 2, i + 1, NOW_MS, NOW_MS + 10000),
			==, NOW_MS + times[i]);
	g_assert_cmpint(supply_time_ms(two, 2, 5, NOW_MS, NOW_MS + 2499), ==,
			INT64_MAX);
	g_assert_cmpint(supply_time_ms(two, 0, 1, NOW_MS, NOW_MS + 10000), ==,
			INT64_MAX);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/supply/count", test_count);
	g_test_add_func("/supply/time", test_time);
	return g_test_run();
}
