/* Which calls to the store count as hanging. */
#include "base/base.h"
#include "entry/call-watch.h"

/* Make a call that takes ms; return after which time it counted as hanging. */
static int64_t call(struct call_watch *w, int64_t *now_ms, int64_t ms,
		    bool answered, bool failing)
{
	int64_t start_ms = *now_ms, hanging_ms = -1;

	call_watch_begin(w, start_ms, failing);
	for (int64_t t = 0; t < ms && hanging_ms < 0; t++)
		if (call_watch_is_hanging(w, start_ms + t))
			hanging_ms = t;
	*now_ms += ms;
	call_watch_end(w, *now_ms, answered);
	*now_ms += 500;
	return hanging_ms;
}

/* A store that does not answer is noticed too late to serve callers. */
static void test_silent_store(void)
{
	struct call_watch w = {0};
	int64_t now_ms = 1000, ms;

	for (int i = 0; i < 30; i++)
		g_assert_cmpint(call(&w, &now_ms, 5, true, false), ==, -1);
	ms = call(&w, &now_ms, 1500, false, false);
	g_assert_cmpint(ms, >, 100);
	g_assert_cmpint(ms, <=, 300);
}

/* A store that is always slow to answer counts as one in trouble. */
static void test_slow_store(void)
{
	struct call_watch w = {0};
	int64_t now_ms = 1000;

	call(&w, &now_ms, 450, true, false);
	for (int i = 0; i < 30; i++)
		g_assert_cmpint(
			call(&w, &now_ms, i % 3 ? 850 : 450, true, false), ==,
			-1);
}

/* One slow answer makes the next outage known late for ever. */
static void test_slow_once(void)
{
	struct call_watch w = {0};
	int64_t now_ms = 1000;

	call(&w, &now_ms, 1400, true, false);
	now_ms += 30000;
	g_assert_cmpint(call(&w, &now_ms, 1500, false, false), <=, 300);
}

/* In an outage, after slow answers, nodes refuse callers between two calls. */
static void test_failing_after_slow(void)
{
	struct call_watch w = {0};
	int64_t now_ms = 1000;

	call(&w, &now_ms, 700, true, false);
	g_assert_cmpint(call(&w, &now_ms, 1500, false, false), >, 700);
	g_assert_cmpint(call(&w, &now_ms, 1500, false, true), <=, 300);
}

/* A thread that was paused takes its own pause for the store's. */
static void test_paused(void)
{
	struct call_watch w = {0};
	int64_t due_ms = call_watch_begin(&w, 1000, false);

	g_assert_false(call_watch_is_hanging(&w, due_ms + 1000));
	g_assert_cmpint(w.due_ms, >, due_ms + 1000);
	g_assert_true(call_watch_is_hanging(&w, w.due_ms));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/call-watch/silent-store", test_silent_store);
	g_test_add_func("/call-watch/slow-store", test_slow_store);
	g_test_add_func("/call-watch/slow-once", test_slow_once);
	g_test_add_func("/call-watch/failing-after-slow",
			test_failing_after_slow);
	g_test_add_func("/call-watch/paused", test_paused);
	return g_test_run();
}
