/* Max-min fair shares, compared with a search for the fair level. */
#include <math.h>

#include "route/test-random.h"

/* Find the common level of share / weight by bisection. */
static double find_level(const struct fair_claimant *t, size_t n, double amount)
{
	double low = 0, high = 1e9;

	for (int round = 0; round < 200; round++) {
		double mid = (low + high) / 2;
		double sum = 0;

		for (size_t i = 0; i < n; i++)
			sum += MIN(t[i].demand, mid * t[i].weight);
		if (sum > amount)
			high = mid;
		else
			low = mid;
	}
	return low;
}

static void test_against_bisection(void)
{
	GRand *r = g_rand_new_with_seed(4);

	for (int round = 0; round < 500; round++) {
		struct fair_claimant t[20];
		size_t n = (size_t)g_rand_int_range(r, 1, 20);
		double amount = g_rand_double_range(r, 0, 500);
		double level;

		for (size_t i = 0; i < n; i++) {
			t[i].demand = g_rand_double_range(r, 0, 60);
			t[i].weight = g_rand_double_range(r, 0.5, 5);
		}
		level = find_level(t, n, amount);
		fair_shares(amount, t, n);
		for (size_t i = 0; i < n; i++)
			g_assert_cmpfloat(
				fabs(t[i].share -
				     MIN(t[i].demand, level * t[i].weight)),
				<, 1e-6);
	}
	g_rand_free(r);
}

/* One claimant's surge takes nothing from the others but unused capacity. */
static void test_surge(void)
{
	struct fair_claimant t[] = {{.demand = 2000, .weight = 1},
				    {.demand = 10, .weight = 1},
				    {.demand = 30, .weight = 2}};

	fair_shares(100, t, 3);
	g_assert_cmpfloat(t[1].share, ==, 10);
	g_assert_cmpfloat(t[2].share, ==, 30);
	g_assert_cmpfloat(t[0].share, ==, 60);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/fair/naive", test_against_bisection);
	g_test_add_func("/route/fair/surge", test_surge);
	return g_test_run();
}
