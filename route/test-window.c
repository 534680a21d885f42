#include <string.h>

#include "route/test-random.h"

#define WINDOW_MS 10000
#define SPAN_MS   40000

/*
 * Over any window, repeats stay within ratio x requests + allowance, whatever
 * the order in which both come. Requests count in the window itself here; the
 * users also count those of the one before, which allows more.
 */
static void test_any_window(void)
{
	static unsigned firsts[SPAN_MS], repeats[SPAN_MS];
	GRand *r = g_rand_new_with_seed(5);

	for (int round = 0; round < 5; round++) {
		struct retry_window w = {
			.ratio = 0.2, .allowance = 7, .window_ms = WINDOW_MS};
		double f = 0, n = 0;

		memset(firsts, 0, sizeof(firsts));
		memset(repeats, 0, sizeof(repeats));
		for (int t = 0; t < SPAN_MS; t++) {
			/* Bursts of requests, always more repeats asked. */
			if (g_rand_double(r) < (t / 3000 % 2 ? 0.05 : 0.01)) {
				retry_window_first(&w, t);
				firsts[t]++;
			}
			while (retry_window_take(&w, t))
				repeats[t]++;
		}
		for (int t = 0; t < SPAN_MS; t++) {
			f += firsts[t];
			n += repeats[t];
			if (t < WINDOW_MS)
				continue;
			f -= firsts[t - WINDOW_MS];
			n -= repeats[t - WINDOW_MS];
			/* A slot more of requests may have paid. */
			g_assert_cmpfloat(n, <=, 0.2 * (f + 60) + 7);
		}
	}
	g_rand_free(r);
}

/* Each request pays for its part once. */
static void test_ratio(void)
{
	struct retry_window w = {.ratio = 0.2, .window_ms = WINDOW_MS};
	int taken = 0;

	for (int i = 0; i < 110; i++)
		retry_window_first(&w, 1000);
	while (retry_window_take(&w, 1000))
		taken++;
	g_assert_cmpint(taken, ==, 20);
	/* A window later all is forgotten. */
	g_assert_false(retry_window_take(&w, 1000 + 2 * WINDOW_MS));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/window/any", test_any_window);
	g_test_add_func("/route/window/ratio", test_ratio);
	return g_test_run();
}
