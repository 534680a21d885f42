/* Detection of stalled requests. */
#include <glib.h>

#include "route/route.h"

/* Bounds of the stall timeout. */
static void test_timeout(void)
{
	/* The timeout is the time within which an answer is expected. */
	g_assert_cmpint(stall_timeout_for(800, 15000), ==, 800);
	/* The timeout is longer than the retransmission of a lost packet. */
	g_assert_cmpint(stall_timeout_for(100, 15000), >=, 250);
	/* The timeout leaves time for a second attempt. */
	for (int64_t left = 300; left < 3000; left += 10)
		g_assert_cmpint(2 * stall_timeout_for(1500, left), <=, left);
	/* Even with little time left a working target does not seem silent. */
	for (int64_t left = 0; left < 3000; left += 10)
		g_assert_cmpint(stall_timeout_for(1, left), >=, MIN(left, 100));
}

/* The two signs of a stall: silence, and later requests that begin. */
static void test_signs(void)
{
	static const struct {
		struct stall_state state;
		int64_t now_ms;
		enum stall_status expected;
	} cases[] = {
		/* sent, last received, newest begun, timeout */
		{{1000, 0, 0, 500}, 1000, STALL_NONE},
		{{1000, 0, 0, 500}, 1499, STALL_NONE},
		{{1000, 0, 0, 500}, 1500, STALL_TARGET_SILENT},
		/* Data from before the request was sent does not count. */
		{{1000, 999, 0, 500}, 1500, STALL_TARGET_SILENT},
		{{1000, 1300, 0, 500}, 1500, STALL_NONE},
		{{1000, 1300, 0, 500}, 1800, STALL_TARGET_SILENT},
		/* Requests sent before or shortly after this one begin. */
		{{1000, 3000, 900, 500}, 3001, STALL_NONE},
		{{1000, 3000, 1499, 500}, 3001, STALL_NONE},
		{{1000, 3000, 1500, 500}, 3001, STALL_REQUEST_OVERTAKEN},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(stall_status(&cases[i].state, cases[i].now_ms),
				==, cases[i].expected);
}

/*
 * For 30 s a target with 8 slots gets twice the load that it can serve, and
 * serves it in order. However long its queue, no request that it will serve
 * counts as stalled; each request that it loses does.
 */
static void test_busy_target(void)
{
	enum { SLOTS = 8, WORK_MS = 400, GAP_MS = 25, N = 1200 };
	int64_t free_at[SLOTS] = {0}, begins_ms[N], newest_begun_ms = 0;
	int false_stalls = 0, lost = 0, found_lost = 0;
	bool stalled[N] = {false};

	for (int i = 0; i < N; i++) {
		int64_t *slot = &free_at[0];

		for (int k = 1; k < SLOTS; k++)
			if (free_at[k] < *slot)
				slot = &free_at[k];
		begins_ms[i] = MAX(*slot, (int64_t)i * GAP_MS);
		*slot = begins_ms[i] + WORK_MS;
		if (i % 100 == 50)
			lost++;
	}
	for (int64_t now = 0; now < begins_ms[N - 1]; now += 5) {
		for (int i = 0; i < N; i++)
			if (begins_ms[i] <= now && i % 100 != 50)
				newest_begun_ms = MAX(newest_begun_ms,
						      (int64_t)i * GAP_MS);
		for (int i = 0; i < N && (int64_t)i * GAP_MS <= now; i++) {
			/* The running requests always send something. */
			struct stall_state s = {(int64_t)i * GAP_MS, now,
						newest_begun_ms, 800};
			bool is_lost = i % 100 == 50;

			if (stalled[i] || (!is_lost && begins_ms[i] <= now) ||
			    stall_status(&s, now) == STALL_NONE)
				continue;
			stalled[i] = true;
			found_lost += is_lost;
			false_stalls += !is_lost;
		}
	}
	g_assert_cmpint(false_stalls, ==, 0);
	g_assert_cmpint(found_lost, ==, lost);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/wait/patience", test_timeout);
	g_test_add_func("/route/wait/signs", test_signs);
	g_test_add_func("/route/wait/busy-target", test_busy_target);
	return g_test_run();
}
