/*
 * Placement in a large fleet, on a virtual clock: 300 nodes whose views of each
 * other's requests are late. Operators allow at most 3 in 100 requests of any
 * five seconds to reach a target that holds more than twice the mean and 3.
 */
#include <string.h>

#include "route/test-random.h"

#define NODES        300
#define TARGETS      256
#define KEYS         626
#define REQUESTS_S   1400
#define STEP_MS      5
#define WARM_UP_MS   5000
#define WINDOW_MS    5000
#define DURATION_MS  30000
#define DURATION_MIN 400 /* of a request, ms */
#define DURATION_MAX 1600
#define FACTOR       2.0
#define OVER_MAX     0.03

struct fleet {
	GRand *rand;
	int running[TARGETS];
	int seen[TARGETS]; /* running as of the last reports */
	GQueue ends[DURATION_MS / STEP_MS + DURATION_MAX / STEP_MS + 1];
	struct key_rates *rates[NODES];
	int64_t lag_ms;
	double hot;         /* fraction of the requests that have one key */
	int requests, over; /* in the current window */
	double worst;       /* share over the bound in any window */
};

static size_t choose(struct fleet *f, int node, uint64_t key, int64_t now_ms)
{
	struct place_limits l = place_limits_for(700, FACTOR);
	struct place_target t[TARGETS];

	l.unseen = key_rates_per_ms(f->rates[node], key, now_ms) * (NODES - 1) *
		   (double)f->lag_ms;
	key_rates_record(f->rates[node], key, now_ms);
	for (size_t i = 0; i < TARGETS; i++)
		t[i] = (struct place_target){
			.id = i * 17 + 5,
			.load = f->seen[i],
			.weight = 1,
		};
	return place_choose(&l, key, t, TARGETS, random_of(f->rand));
}

static void arrive(struct fleet *f, int64_t now_ms)
{
	bool hot = g_rand_double(f->rand) < f->hot;
	uint64_t key =
		1000 + (hot ? 0 : (uint64_t)g_rand_int_range(f->rand, 1, KEYS));
	size_t target =
		choose(f, g_rand_int_range(f->rand, 0, NODES), key, now_ms);
	int64_t end_ms =
		now_ms + g_rand_int_range(f->rand, DURATION_MIN, DURATION_MAX);
	double mean = 0;

	for (size_t i = 0; i < TARGETS; i++)
		mean += f->running[i] / (double)TARGETS;
	f->requests++;
	f->over += f->running[target] + 1 > FACTOR * mean + 3;
	f->running[target]++;
	g_queue_push_tail(&f->ends[end_ms / STEP_MS], GSIZE_TO_POINTER(target));
}

static void end_due(struct fleet *f, int64_t now_ms)
{
	GQueue *due = &f->ends[now_ms / STEP_MS];

	while (!g_queue_is_empty(due))
		f->running[GPOINTER_TO_SIZE(g_queue_pop_head(due))]--;
}

/* Play the load and return the worst window's share over the bound. */
static double play(int64_t lag_ms, double hot)
{
	struct fleet *f = g_new0(struct fleet, 1);
	double worst;
	int due = 0;

	f->rand = g_rand_new_with_seed(7);
	f->lag_ms = lag_ms;
	f->hot = hot;
	for (int i = 0; i < NODES; i++)
		f->rates[i] = key_rates_new();
	for (int64_t now = 0; now < DURATION_MS; now += STEP_MS) {
		end_due(f, now);
		if (now % lag_ms < STEP_MS)
			memcpy(f->seen, f->running, sizeof(f->seen));
		if (now % WINDOW_MS == 0) {
			if (now > WARM_UP_MS && f->requests)
				f->worst = MAX(f->worst,
					       f->over / (double)f->requests);
			f->requests = f->over = 0;
		}
		due += REQUESTS_S * STEP_MS / 1000;
		for (; due > 0; due--)
			arrive(f, now);
	}
	worst = f->worst;
	g_test_message("views %d ms old, %.2f of one key: %.4f over",
		       (int)lag_ms, hot, worst);
	for (int i = 0; i < NODES; i++)
		key_rates_free(f->rates[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(f->ends); i++)
		g_queue_clear(&f->ends[i]);
	g_rand_free(f->rand);
	g_free(f);
	return worst;
}

/* One key has a tenth of all requests, as in a hot thread. */
static void test_hot_key(void)
{
	g_assert_cmpfloat(play(500, 0.1), <=, OVER_MAX);
}

/* No key is hot. */
static void test_even(void)
{
	g_assert_cmpfloat(play(500, 0), <=, OVER_MAX);
}

/* A rate counts the requests of the recent past only. */
static void test_rate(void)
{
	struct key_rates *r = key_rates_new();

	g_assert_cmpfloat(key_rates_per_ms(r, 1, 1000), ==, 0);
	for (int64_t now = 100000; now < 108000; now += 100)
		key_rates_record(r, (uint64_t)(now / 100 % 2), now);
	g_assert_cmpfloat_with_epsilon(key_rates_per_ms(r, 1, 108000), 0.005,
				       0.0002);
	g_assert_cmpfloat(key_rates_per_ms(r, 2, 108000), ==, 0);
	g_assert_cmpfloat(key_rates_per_ms(r, 1, 120000), ==, 0);
	/* More requests than are remembered: the rate is still right. */
	for (int64_t now = 200000; now < 202000; now++)
		key_rates_record(r, 3, now);
	g_assert_cmpfloat_with_epsilon(key_rates_per_ms(r, 3, 202000), 1, 0.01);
	key_rates_free(r);
}

/* Requests that are not seen spread in the key's order, as far as needed. */
static void test_share(void)
{
	GRand *rand = g_rand_new_with_seed(3);
	struct place_limits l = place_limits_for(700, FACTOR);
	struct place_target t[TARGETS];
	int counts[TARGETS] = {0}, used = 0;

	for (size_t i = 0; i < TARGETS; i++)
		t[i] = (struct place_target){.id = i, .load = 4, .weight = 1};
	l.unseen = 40;
	for (int i = 0; i < 4000; i++)
		counts[place_choose(&l, 77, t, TARGETS, random_of(rand))]++;
	for (size_t i = 0; i < TARGETS; i++) {
		/* A target's room is 2 x the mean and slack, less its load. */
		g_assert_cmpint(counts[i], <=, 4000 * 3.5 / 40);
		used += counts[i] > 4;
	}
	g_assert_cmpint(used, >, 10);
	g_assert_cmpint(used, <, 100);
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/place-lag/rate", test_rate);
	g_test_add_func("/route/place-lag/share", test_share);
	g_test_add_func("/route/place-lag/even", test_even);
	g_test_add_func("/route/place-lag/hot-key", test_hot_key);
	return g_test_run();
}
