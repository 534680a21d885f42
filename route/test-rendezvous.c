/* Rendezvous hashing: order, first k, owner of a target. */
#include "route/test-random.h"

static void fill(struct rendezvous_candidate *r, size_t n)
{
	for (size_t i = 0; i < n; i++)
		r[i] = (struct rendezvous_candidate){.id = i * 7 + 1,
						     .index = i};
}

/* When a candidate leaves, only its own keys move. */
static void test_leave_moves_little(void)
{
	struct rendezvous_candidate nine[9], eight[8];
	unsigned moved = 0;

	for (uint64_t key = 0; key < 1000; key++) {
		fill(nine, 9);
		fill(eight, 8);
		rendezvous_sort(key, nine, 9);
		rendezvous_sort(key, eight, 8);
		if (nine[0].index != eight[0].index) {
			g_assert_cmpuint(nine[0].index, ==, 8);
			moved++;
		}
	}
	g_assert_cmpuint(moved, >, 70);
	g_assert_cmpuint(moved, <, 160);
}

/* The first k agree with those of the sorted order. */
static void test_top(void)
{
	struct rendezvous_candidate all[50], top[60];

	for (uint64_t key = 0; key < 2000; key++) {
		size_t n = key % 50;
		size_t k = key % 9;

		fill(all, n);
		g_assert_cmpuint(rendezvous_top(key, all, n, top, k), ==,
				 MIN(k, n));
		rendezvous_sort(key, all, n);
		for (size_t i = 0; i < MIN(k, n); i++)
			g_assert_cmpuint(top[i].id, ==, all[i].id);
	}
}

/*
 * All nodes compute the same owner, whatever the order of their lists, and when
 * a node leaves, only its own targets move.
 */
static void test_admitter(void)
{
	uint64_t nodes[] = {3, 5, 8, 13, 21, 34},
		 without_5[] = {34, 3, 13, 8, 21};
	unsigned count[6] = {0};

	for (uint64_t target = 1; target <= 1200; target++) {
		uint64_t before = nodes[rendezvous_owner(target, nodes, 6)];
		uint64_t after =
			without_5[rendezvous_owner(target, without_5, 5)];

		count[rendezvous_owner(target, nodes, 6)]++;
		if (before != 5)
			g_assert_cmpuint(before, ==, after);
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
