#include "route/test-random.h"

static void fill(struct route_rank *r, size_t n)
{
	for (size_t i = 0; i < n; i++)
		r[i] = (struct route_rank){.id = i * 7 + 1, .index = i};
}

/* A candidate that leaves moves only the keys that it held. */
static void test_leave_moves_little(void)
{
	struct route_rank a[9], b[8];
	unsigned moved = 0;

	for (uint64_t key = 0; key < 1000; key++) {
		fill(a, 9);
		fill(b, 8);
		route_order(key, a, 9);
		route_order(key, b, 8);
		if (a[0].index != b[0].index) {
			g_assert_cmpuint(a[0].index, ==, 8);
			moved++;
		}
	}
	g_assert_cmpuint(moved, >, 70);
	g_assert_cmpuint(moved, <, 160);
}

/* The first of the order are found without sorting. */
static void test_top(void)
{
	struct route_rank all[50], top[60];

	for (uint64_t key = 0; key < 2000; key++) {
		size_t n = key % 50;
		size_t k = key % 9;

		fill(all, n);
		g_assert_cmpuint(route_top(key, all, n, top, k), ==, MIN(k, n));
		route_order(key, all, n);
		for (size_t i = 0; i < MIN(k, n); i++)
			g_assert_cmpuint(top[i].id, ==, all[i].id);
	}
}

/* Every node names the same one, and a node that leaves moves only its own. */
static void test_admitter(void)
{
	uint64_t nodes[] = {3, 5, 8, 13, 21, 34}, other[] = {34, 3, 13, 8, 21};
	unsigned count[6] = {0};

	for (uint64_t target = 1; target <= 1200; target++) {
		uint64_t a = nodes[route_admitter(target, nodes, 6)];
		uint64_t b = other[route_admitter(target, other, 5)];

		count[route_admitter(target, nodes, 6)]++;
		if (a != 5)
			g_assert_cmpuint(a, ==, b);
	}
	for (int i = 0; i < 6; i++)
		g_assert_cmpuint(count[i], >, 120);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/rendezvous/leave", test_leave_moves_little);
	g_test_add_func("/route/rendezvous/top", test_top);
	g_test_add_func("/route/rendezvous/admitter", test_admitter);
	return g_test_run();
}
