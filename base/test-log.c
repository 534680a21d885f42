/* The event log; subprocesses show what reaches standard error. */
#include <string.h>

#include "base/base.h"

/* A line break inside a value must not start a second line. */
static void log_line_break(void)
{
	log_event(EV_NODE_STARTED, "name=%s", "a\nb");
}

static void test_one_line_per_event(void)
{
	if (g_test_subprocess()) {
		log_line_break();
		return;
	}
	g_test_trap_subprocess(NULL, 0, 0);
	g_test_trap_assert_passed();
	g_test_trap_assert_stderr("*info 1001 node_started name=a b\n");
}

static void test_lower_level_is_dropped(void)
{
	if (g_test_subprocess()) {
		log_set_level("error");
		log_line_break();
		return;
	}
	g_test_trap_subprocess(NULL, 0, 0);
	g_test_trap_assert_stderr_unmatched("*node_started*");
}

/* Calls that come faster than lines refill get the full rate all the same. */
static void test_full_rate(void)
{
	struct line_budget b = {.rate_per_s = 150};
	int taken = 0;

	for (int64_t now_ms = 0; now_ms <= 10000; now_ms += 9)
		for (int i = 0; i < 4; i++)
			taken += line_budget_take(&b, now_ms, true);
	g_assert_cmpint(taken, >=, 1495);
	g_assert_cmpint(taken, <=, 1500);
}

/* Ordinary lines leave a fifth of the budget to urgent ones. */
static void test_urgent_reserve(void)
{
	struct line_budget b = {.rate_per_s = 100, .thousandths = 100000};
	int ordinary = 0, urgent = 0;

	while (line_budget_take(&b, 0, false))
		ordinary++;
	while (line_budget_take(&b, 0, true))
		urgent++;
	g_assert_cmpint(ordinary, ==, 80);
	g_assert_cmpint(urgent, ==, 20);
}

static void test_numbers_are_unique(void)
{
	for (int i = 0; i < EV_COUNT; i++) {
		for (int j = i + 1; j < EV_COUNT; j++)
			g_assert_cmpint(log_events[i].number, !=,
					log_events[j].number);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/log/one-line", test_one_line_per_event);
	g_test_add_func("/base/log/level", test_lower_level_is_dropped);
	g_test_add_func("/base/log/full-rate", test_full_rate);
	g_test_add_func("/base/log/urgent", test_urgent_reserve);
	g_test_add_func("/base/log/numbers", test_numbers_are_unique);
	return g_test_run();
}
