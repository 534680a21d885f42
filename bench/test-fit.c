/* Tests of fit_line and fit_at. */
#include <glib.h>

#include "bench/bench.h"

static void test_line(void)
{
	static const double x[] = {1, 2, 3, 4};
	static const double y[] = {5, 7, 9, 11};
	struct fit f = fit_line(x, y, 4);

	g_assert_cmpfloat_with_epsilon(f.slope, 2, 1e-9);
	g_assert_cmpfloat_with_epsilon(f.intercept, 3, 1e-9);
	g_assert_cmpfloat_with_epsilon(f.max_relative_error, 0, 1e-9);
	g_assert_cmpfloat_with_epsilon(fit_at(&f, 10), 23, 1e-9);
}

/* A point far off the line must show in max_relative_error. */
static void test_max_error(void)
{
	static const double x[] = {1, 2, 3};
	static const double y[] = {1, 10, 3};
	struct fit f = fit_line(x, y, 3);

	g_assert_cmpfloat(f.max_relative_error, >, 0.5);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/bench/fit/line", test_line);
	g_test_add_func("/bench/fit/worst", test_max_error);
	return g_test_run();
}
