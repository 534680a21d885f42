/* When a target that has not begun to answer is waited for no longer. */
#include <glib.h>

#include "route/route.h"

static void test_patience(void)
{
	/* The time in which an answer is wanted, */
	g_assert_cmpint(wait_patience_ms(800, 15000), ==, 800);
	/* not so short that one lost packet uses it up, */
	g_assert_cmpint(wait_patience_ms(100, 15000), >=, 250);
	/* and never so long that no second try fits behind it, */
	for (int64_t left = 300; left < 3000; left += 10)
		g_assert_cmpint(2 * wait_patience_ms(1500, left), <=, left);
	/* nor so short that a target at work would seem silent. */
	for (int64_t left = 0; left < 3000; left += 10)
		g_assert_cmpint(wait_patience_ms(1, left), >=, MIN(left, 100));
}

static void test_signs(void)
{
	static const struct {
		struct wait_state w;
		int64_t now_ms;
		enum wait_sign sign;
	} cases[] = {
		/* sent, heard, begun, patience */
		{{1000, 0, 0, 500}, 1000, WAIT_BUSY},
		{{1000, 0, 0, 500}, 1499, WAIT_BUSY},
		{{1000, 0, 0, 500}, 1500, WAIT_SILENT},
		/* What came before the sending is no sign of life. */
		{{1000, 999, 0, 500}, 1500, WAIT_SILENT},
		{{1000, 1300, 0, 500}, 1500, WAIT_BUSY},
		{{1000, 1300, 0, 500}, 1800, WAIT_SILENT},
		/* It goes on with what was sent before, or just behind. */
		{{1000, 3000, 900, 500}, 3001, WAIT_BUSY},
		{{1000, 3000, 1499, 500}, 3001, WAIT_BUSY},
		{{1000, 3000, 1500, 500}, 3001, WAIT_OVERTAKEN},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(wait_sign(&cases[i].w, cases[i].now_ms), ==,
				cases[i].sign);
}

/*
 * Load: a target of 8 places at work on twice what it can do, in order, for
 * 30 s. Nothing is sent elsewhere, however long the queue; requests that it
 * loses are, each within one patience of being overtaken.
 */
static void test_busy_target(void)
{
	enum { PLACES = 8, WORK_MS = 400, GAP_MS = 25, N = 1200 };
	int64_t free_at[PLACES] = {0}, begins[N], begun = 0;
	int vain = 0, lost = 0, found = 0;
	bool given_up[N] = {false};

	for (int i = 0; i < N; i++) {
		int64_t *at = &free_at[0];

		for (int k = 1; k < PLACES; k++)
			if (free_at[k] < *at)
				at = &free_at[k];
		begins[i] = MAX(*at, (int64_t)i * GAP_MS);
		*at = begins[i] + WORK_MS;
		if (i % 100 == 50)
			lost++;
	}
	for (int64_t now = 0; now < begins[N - 1]; now += 5) {
		for (int i = 0; i < N; i++)
			if (begins[i] <= now && i % 100 != 50)
				begun = MAX(begun, (int64_t)i * GAP_MS);
		for (int i = 0; i < N && (int64_t)i * GAP_MS <= now; i++) {
			/* Something is always said by what runs. */
			struct wait_state w = {(int64_t)i * GAP_MS, now, begun,
					       800};
			bool gone = i % 100 == 50;

			if (given_up[i] || (!gone && begins[i] <= now) ||
			    wait_sign(&w, now) == WAIT_BUSY)
				continue;
			given_up[i] = true;
			found += gone;
			vain += !gone;
		}
	}
	g_assert_cmpint(vain, ==, 0);
	g_assert_cmpint(found, ==, lost);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/wait/patience", test_patience);
	g_test_add_func("/route/wait/signs", test_signs);
	g_test_add_func("/route/wait/busy-target", test_busy_target);
	return g_test_run();
}
