/* Tests of who gives way when callers hold too much. */
#include <glib.h>

#include "entry/held.h"

#define MEMORY_MB 260
#define HALF      ((int64_t)MEMORY_MB * 1048576 / 2)

/* Large requests deny a small one its room. */
static void test_small_has_room(void)
{
	g_assert_cmpint(held_max(MEMORY_MB, 4000), ==, HALF);
	g_assert_cmpint(held_max(MEMORY_MB, 65536), ==, HALF);
	g_assert_cmpint(held_max(MEMORY_MB, 4 << 20), <=, HALF - 1000 * 20000);
}

/* Output that nobody reads goes on growing while memory is short. */
static void test_unsent(void)
{
	g_assert_cmpuint(held_unsent_max(MEMORY_MB, 0), ==, 262144);
	g_assert_cmpuint(held_unsent_max(MEMORY_MB, HALF * 6 / 10), ==, 32768);
	g_assert_cmpuint(held_unsent_max(MEMORY_MB, HALF * 9 / 10), ==, 0);
	g_assert_cmpuint(held_unsent_max(MEMORY_MB, HALF * 2), ==, 0);
}

static const struct holder old_idle = {HOLDER_IDLE, 1024, 1000};
static const struct holder new_idle = {HOLDER_IDLE, 1024, 99900};
static const struct holder small = {HOLDER_UNSERVED, 6000, 99000};
static const struct holder large = {HOLDER_UNSERVED, 4 << 20, 99950};
static const struct holder refused = {HOLDER_REFUSED, 1024, 99950};
static const struct holder served = {HOLDER_SERVED, 8 << 20, 500};

/* One that holds little, or has its answer begun, is ended before others. */
static void test_order(void)
{
	g_assert_true(held_ends_before(&old_idle, &new_idle));
	g_assert_true(held_ends_before(&new_idle, &large));
	g_assert_true(held_ends_before(&large, &small));
	g_assert_false(held_ends_before(&small, &large));
	g_assert_false(held_may_end(&served, &small));
	g_assert_true(held_may_end(&large, &small));
	/* A close would lose the refusal. */
	g_assert_false(held_may_end(&refused, &small));
	g_assert_true(held_may_end(&old_idle, &small));
	g_assert_false(held_may_end(&old_idle, &large));
	g_assert_false(held_may_end(&small, &large));
	/* Of two that hold as much, neither ends the other. */
	g_assert_false(held_may_end(&large, &large));
	/* Nor does a response that is read end a small request that waits. */
	g_assert_false(held_may_end(&small, &served));
}

/*
 * A connection whose request is on its way, or that is served, is closed to
 * free its descriptor before one that holds half a request.
 */
static void test_descriptors(void)
{
	const int64_t now = 100000;

	g_assert_true(held_closes_before(&old_idle, &refused, now));
	g_assert_true(held_closes_before(&refused, &small, now));
	g_assert_true(held_closes_before(&small, &large, now));
	g_assert_true(held_closes_before(&large, &new_idle, now));
	g_assert_true(held_closes_before(&new_idle, &served, now));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/held/small-has-room", test_small_has_room);
	g_test_add_func("/entry/held/unsent", test_unsent);
	g_test_add_func("/entry/held/order", test_order);
	g_test_add_func("/entry/held/descriptors", test_descriptors);
	return g_test_run();
}
