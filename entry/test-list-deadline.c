/* Until when a list of targets may be used, by what is known of it. */
#include "base/base.h"
#include "entry/list-deadline.h"

#define DRAIN_MS   4000
#define CONTACT_MS 5000

static int64_t until_ms(int64_t confirmed_ms, int64_t disturbed_ms,
			int64_t now_ms)
{
	struct list_evidence e = {confirmed_ms, disturbed_ms, 0};
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
	g_assert_cmpint(until_ms(10000, 20000, 20000), <=, 20000 + 600);
}

/* A call that failed extends a list that the store has confirmed since. */
static void test_confirmed_after_failure(void)
{
	for (int64_t now = 10000; now < 20000; now += 100)
		g_assert_cmpint(until_ms(10000, 9900, now), <,
				10000 + DRAIN_MS);
}

/* A failed call extends a list of which another node has a newer one. */
static void test_newer_elsewhere(void)
{
	struct list_bounds b = {DRAIN_MS, CONTACT_MS};

	for (int64_t now = 12500; now < 20000; now += 100) {
		struct list_evidence e = {10000, 12000, 12500};

		g_assert_cmpint(list_deadline_ms(&e, &b, now), <,
				10000 + DRAIN_MS);
		g_assert_cmpint(list_next_deadline_ms(&e, &b, now), ==, 0);
		/* The store does not answer after that either. */
		e.disturbed_ms = 13000;
		if (now < 13000 + CONTACT_MS - 700)
			g_assert_cmpint(list_deadline_ms(&e, &b, now), >, now);
	}
}

/* The use of a list ends in an outage as nobody extends it in time. */
static void test_extended_in_time(void)
{
	struct list_bounds b = {DRAIN_MS, CONTACT_MS};
	struct list_evidence e = {10000, 20000, 0};

	for (int64_t now = 20000; now < 24000; now += 100) {
		int64_t next = list_next_deadline_ms(&e, &b, now);

		g_assert_cmpint(next, >, now);
		g_assert_cmpint(next, <, list_deadline_ms(&e, &b, now));
	}
	g_assert_cmpint(list_next_deadline_ms(&e, &b, 25000), ==, 0);
}

/* A read of a slow store ends when the list is too old already. */
static void test_read_of_slow_store(void)
{
	struct list_evidence e = {10000, 0, 0};
	struct list_bounds b = {DRAIN_MS, CONTACT_MS};

	g_assert_cmpint(list_read_by_ms(&e, &b, 700) + 700, <=,
			until_ms(10000, 0, 10000));
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
	g_test_add_func("/list-deadline/confirmed-after-failure",
			test_confirmed_after_failure);
	g_test_add_func("/list-deadline/newer-elsewhere", test_newer_elsewhere);
	g_test_add_func("/list-deadline/extended-in-time",
			test_extended_in_time);
	g_test_add_func("/list-deadline/read-of-slow-store",
			test_read_of_slow_store);
	return g_test_run();
}
