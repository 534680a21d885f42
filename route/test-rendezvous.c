#include <glib.h>

#include "route/route.h"

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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/rendezvous/leave", test_leave_moves_little);
	return g_test_run();
}
