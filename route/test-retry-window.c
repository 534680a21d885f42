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
			while (retry_window_take(&w, t))
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

/* Each request adds the ratio once, and is forgotten after the window. */
static void test_ratio(void)
{
	struct retry_window w = {.ratio = 0.2, .window_ms = WINDOW_MS};
	int taken = 0;

	for (int i = 0; i < 110; i++)
		retry_window_add_request(&w, 1000);
	while (retry_window_take(&w, 1000))
		taken++;
	g_assert_cmpint(taken, ==, 20);
	g_assert_false(retry_window_take(&w, 1000 + 2 * WINDOW_MS));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/window/any", test_any_window);
	g_test_add_func("/route/window/ratio", test_ratio);
	return g_test_run();
}
