/* Until when a list of targets may be used, by what is known of it. */
#include "base/base.h"
#include "entry/list-deadline.h"

#define DRAIN_MS   4000
#define CONTACT_MS 5000

static int64_t until_ms(int64_t confirmed_ms, int64_t disturbed_ms,
			int64_t now_ms)
{
	struct list_evidence e = {confirmed_ms, disturbed_ms};
	struct list_bounds b = {DRAIN_MS, CONTACT_MS};

	return list_deadline_ms(&e, &b, now_ms);
}

/* A list is used longer than a target that left since may be. */
static void test_older_than_drain(void)
{
	for (int64_t now = 10000; now < 20000; now += 100)
		g_assert_cmpint(until_ms(10000, 0, now), <, 10000 + DRAIN_MS);
	g_assert_cmpint(until_ms(10000, 0, 10000), >, 10000 + DRAIN_MS / 2);
}

/* A node without any list uses one, as it has only just started. */
static void test_never_confirmed(void)
{
	g_assert_cmpint(until_ms(0, 9900, 10000), ==, 0);
}

/* Callers are refused during an outage of the store. */
static void test_store_down(void)
{
	for (int64_t now = 20000; now < 24000; now += 100)
		g_assert_cmpint(until_ms(10000, 20000, now), >, now);
}

/* A node goes on by an old list after an outage, when it is in touch again. */
static void test_after_outage(void)
{
	for (int64_t now = 20000; now < 40000; now += 100)
		g_assert_cmpint(until_ms(10000, 20000, now), <,
				20000 + CONTACT_MS);
}

/* An outage extends the list for a node whose control thread then stops. */
static void test_control_thread_stops(void)
{
	g_assert_cmpint(until_ms(10000, 20000, 20000), <=,
			20000 + LIST_EXTENSION_MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/list-deadline/older-than-drain",
			test_older_than_drain);
	g_test_add_func("/list-deadline/never-confirmed", test_never_confirmed);
	g_test_add_func("/list-deadline/store-down", test_store_down);
	g_test_add_func("/list-deadline/after-outage", test_after_outage);
	g_test_add_func("/list-deadline/control-thread-stops",
			test_control_thread_stops);
	return g_test_run();
}
