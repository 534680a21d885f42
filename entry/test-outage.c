/* What counts as an outage of the store, and when it has ended. */
#include "base/base.h"
#include "entry/outage.h"

static bool is_over(const struct outage *o)
{
	return outage_settled_ms(o) != 0;
}

/* A store that is slow to answer, asked now and then, counts as down. */
static void test_slow_answer(void)
{
	struct outage o = {0};

	outage_note_answer(&o, 1000, 1004);
	outage_note_hanging(&o, 3500);
	outage_note_hanging(&o, 0);
	outage_note_answer(&o, 3500, 4200);
	outage_note_answer(&o, 6100, 6104);
	g_assert_false(is_over(&o));
}

/* A single call that fails, between calls far apart, counts as an outage. */
static void test_single_failure(void)
{
	struct outage o = {0};

	outage_note_answer(&o, 1000, 1004);
	outage_note_failure(&o, 3500);
	outage_note_answer(&o, 3900, 3904);
	g_assert_false(is_over(&o));
	g_assert_cmpint(outage_last_ms(&o), ==, 3500);
}

/* An outage is not noticed, and targets that come back after it are dropped. */
static void test_calls_fail(void)
{
	struct outage o = {0};

	outage_note_answer(&o, 1000, 1004);
	outage_note_failure(&o, 2000);
	outage_note_failure(&o, 4000);
	outage_note_probed_answer(&o, 6000, 6004);
	g_assert_cmpint(outage_settled_ms(&o), >, 8000);
	/* The reader asked in vain before. */
	g_assert_cmpint(outage_last_ms(&o), ==, 6000 - OUTAGE_PROBE_MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/outage/slow-answer", test_slow_answer);
	g_test_add_func("/outage/single-failure", test_single_failure);
	g_test_add_func("/outage/calls-fail", test_calls_fail);
	return g_test_run();
}
