/* Retry budget over a sliding window. */
#include <string.h>

#include "route/test-random.h"

#define WINDOW_MS   10000
#define DURATION_MS 40000

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
			while (retry_window_take(&w, t, NULL))
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
			while (t >= 14000 && retry_window_take(&w, t, NULL))
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

/* Each request adds the ratio once, and is forgotten after the window. */
static void test_ratio(void)
{
	struct retry_window w = {.ratio = 0.2, .window_ms = WINDOW_MS};
	int taken = 0;

	for (int i = 0; i < 110; i++)
		retry_window_add_request(&w, 1000);
	while (retry_window_take(&w, 1000, NULL))
		taken++;
	g_assert_cmpint(taken, ==, 22);
	g_assert_false(retry_window_take(&w, 1000 + 2 * WINDOW_MS, NULL));
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

	while (retry_window_take(&w, now, NULL))
		taken++;
	g_assert_cmpint(taken, ==, 5);
	w.window_ms = 2 * WINDOW_MS;
	g_assert_false(retry_window_take(&w, now + 1, NULL));
	now += 5 * WINDOW_MS;
	g_assert_true(retry_window_take(&w, now, NULL));
	while (retry_window_take(&w, now, NULL))
		;
	w.window_ms = WINDOW_MS;
	g_assert_false(retry_window_take(&w, now + 1, NULL));
	now += 3 * WINDOW_MS;
	g_assert_true(retry_window_take(&w, now, NULL));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/window/any", test_any_window);
	g_test_add_func("/route/window/burst-ends", test_burst_ends);
	g_test_add_func("/route/window/ratio", test_ratio);
	g_test_add_func("/route/window/window-changes", test_window_changes);
	return g_test_run();
}
