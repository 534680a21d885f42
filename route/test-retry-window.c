/* Retry budget over a sliding window. */
#include <string.h>

#include "route/test-random.h"

#define WINDOW_MS   10000
#define DURATION_MS 40000

/* Take a retry that arrives at once. */
static bool take(struct retry_window *w, int64_t now_ms)
{
	if (!retry_window_take(w, now_ms, NULL))
		return false;
	retry_window_settle(w, now_ms);
	return true;
}

/*
 * In any window retries are at most ratio x requests + allowance, in whatever
 * order both arrive. This is stricter than what operators require, which also
 * counts the requests of the window before.
 */
static void test_any_window(void)
{
	static unsigned requests[DURATION_MS], retries[DURATION_MS];
	GRand *r = g_rand_new_with_seed(5);

	for (int round = 0; round < 5; round++) {
		struct retry_window w = {
			.ratio = 0.2, .allowance = 7, .window_ms = WINDOW_MS};
		double window_requests = 0, window_retries = 0;

		memset(requests, 0, sizeof(requests));
		memset(retries, 0, sizeof(retries));
		for (int t = 0; t < DURATION_MS; t++) {
			/* Bursts of requests; every allowed retry is taken. */
			if (g_rand_double(r) < (t / 3000 % 2 ? 0.05 : 0.01)) {
				retry_window_add_request(&w, t);
				requests[t]++;
			}
			while (take(&w, t))
				retries[t]++;
		}
		for (int t = 0; t < DURATION_MS; t++) {
			window_requests += requests[t];
			window_retries += retries[t];
			if (t < WINDOW_MS)
				continue;
			window_requests -= requests[t - WINDOW_MS];
			window_retries -= retries[t - WINDOW_MS];
			/* Requests of one more slot may have counted. */
			g_assert_cmpfloat(window_retries, <=,
					  0.2 * (window_requests + 60) + 7);
		}
	}
	g_rand_free(r);
}

/* Return the number of events in the WINDOW_MS from a moment on. */
static double in_window(const unsigned *v, int from)
{
	double n = 0;

	for (int t = MAX(from, 0); t < MIN(from + WINDOW_MS, DURATION_MS); t++)
		n += v[t];
	return n;
}

/*
 * After a burst of a window's length the retries of the windows that hold only
 * a part of it exceed what their requests allow.
 */
static void test_burst_ends(void)
{
	static unsigned requests[DURATION_MS], retries[DURATION_MS];
	GRand *r = g_rand_new_with_seed(9);

	for (int round = 0; round < 4; round++) {
		struct retry_window w = {
			.ratio = 0.2, .allowance = 2.5, .window_ms = WINDOW_MS};
		int start = 6000 + round * 230;

		memset(requests, 0, sizeof(requests));
		memset(retries, 0, sizeof(retries));
		for (int t = 0; t < DURATION_MS; t++) {
			bool burst = t >= start && t < start + WINDOW_MS;

			if (g_rand_double(r) < (burst ? 0.2 : 0.02)) {
				retry_window_add_request(&w, t);
				requests[t]++;
			}
			/* Every retry is taken late in the burst and after. */
			while (t >= 14000 && take(&w, t))
				retries[t]++;
		}
		for (int from = 0; from < DURATION_MS - WINDOW_MS; from += 10) {
			double most = in_window(requests, from);

			most = MAX(most,
				   in_window(requests, from - WINDOW_MS / 2));
			most = MAX(most, in_window(requests, from - WINDOW_MS));
			g_assert_cmpfloat(in_window(retries, from), <=,
					  0.2 * most + 2.5);
		}
		g_assert_cmpfloat(in_window(retries, 12000), >, 100);
	}
	g_rand_free(r);
}

/*
 * Each request pays for the ratio of a retry once, not in its own window and
 * again in the next, and is forgotten after that.
 */
static void test_ratio(void)
{
	struct retry_window w = {.ratio = 0.2, .window_ms = WINDOW_MS};
	int taken = 0, late = 0;

	for (int t = 0; t < 3 * WINDOW_MS; t += 100) {
		retry_window_add_request(&w, t);
		while (take(&w, t))
			taken++;
	}
	/*
	 * The last requests still have half of theirs to pay for; a slot and a
	 * fraction of a retry of each window are lost.
	 */
	g_assert_cmpint(taken, >=, (int)(0.2 * 2.25 * WINDOW_MS / 100));
	for (int t = 3 * WINDOW_MS; t < 6 * WINDOW_MS; t += 100)
		while (take(&w, t)) {
			taken++;
			late = t;
		}
	g_assert_cmpint(taken, <=, (int)(0.2 * 3 * WINDOW_MS / 100));
	g_assert_cmpint(late, <=, 4 * WINDOW_MS);
}

/* A retry that has not arrived yet is forgotten, and joins later ones. */
static void test_pending(void)
{
	struct retry_window w = {.allowance = 1, .window_ms = WINDOW_MS};

	g_assert_true(retry_window_take(&w, 1000, NULL));
	g_assert_false(retry_window_take(&w, 1000 + 5 * WINDOW_MS, NULL));
	retry_window_settle(&w, 1000 + 5 * WINDOW_MS);
	g_assert_false(retry_window_take(&w, 1000 + 6 * WINDOW_MS - 10, NULL));
	g_assert_true(retry_window_take(&w, 1000 + 7 * WINDOW_MS, NULL));
}

/* A new process uses the allowance that the one before it has used. */
static void test_new_process(void)
{
	const struct retry_budget_limits l = {0, 16, WINDOW_MS};
	struct retry_share s = {.started_ms = 50000};

	retry_share_update(&s, &l, 8, 50000);
	g_assert_false(retry_window_take(&s.window, 50000, NULL));
	retry_share_update(&s, &l, 8, 50000 + WINDOW_MS - 10);
	g_assert_false(
		retry_window_take(&s.window, 50000 + WINDOW_MS - 10, NULL));
	retry_share_update(&s, &l, 8, 51000 + WINDOW_MS);
	g_assert_true(take(&s.window, 51000 + WINDOW_MS));
	g_assert_true(take(&s.window, 51000 + WINDOW_MS));
	g_assert_false(take(&s.window, 51000 + WINDOW_MS));
}

/* A node that knows no other one yet takes the fleet's whole allowance. */
static void test_learns_fleet(void)
{
	const struct retry_budget_limits l = {0, 16, WINDOW_MS};
	struct retry_share s = {.started_ms = 0};
	int64_t now = 0;
	int taken = 0;

	for (; now < 8000; now += 1000)
		retry_share_update(&s, &l, 1, now);
	for (; now < 8000 + WINDOW_MS; now += 1000) {
		retry_share_update(&s, &l, 8, now);
		g_assert_false(take(&s.window, now));
	}
	retry_share_update(&s, &l, 8, now + 1000);
	while (take(&s.window, now + 1000))
		taken++;
	g_assert_cmpint(taken, ==, 2);
}

/* A node that leaves takes what it has used with it. */
static void test_node_leaves(void)
{
	const struct retry_budget_limits l = {0, 16, WINDOW_MS};
	struct retry_share s = {.started_ms = -50000};
	int taken = 0;

	retry_share_update(&s, &l, 8, 50000);
	retry_share_update(&s, &l, 1, 51000);
	while (take(&s.window, 51000))
		taken++;
	g_assert_cmpint(taken, ==, 2);
	retry_share_update(&s, &l, 1, 52000 + 2 * WINDOW_MS);
	while (take(&s.window, 52000 + 2 * WINDOW_MS))
		taken++;
	g_assert_cmpint(taken, ==, 2 + 16);
}

/*
 * After a longer window was set no retry is ever allowed again, and after a
 * shorter one those that were taken before are forgotten.
 */
static void test_window_changes(void)
{
	struct retry_window w = {
		.ratio = 0.2, .allowance = 5, .window_ms = WINDOW_MS};
	int64_t now = 10000000;
	int taken = 0;

	while (take(&w, now))
		taken++;
	g_assert_cmpint(taken, ==, 5);
	w.window_ms = 2 * WINDOW_MS;
	g_assert_false(take(&w, now + 1));
	now += 5 * WINDOW_MS;
	g_assert_true(take(&w, now));
	while (take(&w, now))
		;
	w.window_ms = WINDOW_MS;
	g_assert_false(take(&w, now + 1));
	now += 3 * WINDOW_MS;
	g_assert_true(take(&w, now));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/window/any", test_any_window);
	g_test_add_func("/route/window/learns-fleet", test_learns_fleet);
	g_test_add_func("/route/window/new-process", test_new_process);
	g_test_add_func("/route/window/node-leaves", test_node_leaves);
	g_test_add_func("/route/window/pending", test_pending);
	g_test_add_func("/route/window/burst-ends", test_burst_ends);
	g_test_add_func("/route/window/ratio", test_ratio);
	g_test_add_func("/route/window/window-changes", test_window_changes);
	return g_test_run();
}
