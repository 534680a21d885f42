/*
 * Placement under a day's load on a virtual clock: several nodes choose by
 * late views of each other's requests. Answers what a load of model requests
 * with shared prompts costs in prompts read again, and how even it stays.
 */
#include <math.h>
#include <string.h>

#include "route/test-random.h"

#define NODES    6
#define TARGETS  9
#define KEYS     57 /* long prompts, each with many requests */
#define SHORTS   82
#define STEP_MS  10
#define VIEW_MS  100 /* between what nodes tell each other */
#define SPAN_MS  60000
#define JOBS_MAX 4096
#define FACTOR   2.0 /* operators allow factor x mean + 3 */

struct job {
	int64_t until_ms;
	int target, node;
};

struct world {
	GRand *rand;
	struct job jobs[JOBS_MAX];
	int running[NODES][TARGETS];
	int told[NODES][TARGETS]; /* as the others know it */
	bool holds[TARGETS][KEYS + SHORTS];
	double per_s;
	double hot; /* part of the long requests for one key */
	bool naive; /* by load alone */
	int asked, again, over;
};

static double load_of(const struct world *w, int node, int target)
{
	double n = w->running[node][target];

	for (int i = 0; i < NODES; i++)
		n += i == node ? 0 : w->told[i][target];
	return n;
}

static double true_load(const struct world *w, int target)
{
	double n = 0;

	for (int i = 0; i < NODES; i++)
		n += w->running[i][target];
	return n;
}

static int choose(struct world *w, int node, int key)
{
	struct place_target t[TARGETS];
	struct place_limits l =
		place_limits_for(key < KEYS ? 10000 : 700, FACTOR);

	for (int i = 0; i < TARGETS; i++)
		t[i] = (struct place_target){
			.id = (uint64_t)i * 17 + 5,
			.load = load_of(w, node, i),
			.weight = 1,
			.gives = true,
		};
	return (int)place_choose(&l, w->naive ? 0 : (uint64_t)key + 1000, t,
				 TARGETS, random_of(w->rand));
}

static int pick_key(struct world *w)
{
	if (g_rand_double(w->rand) < 0.4)
		return KEYS + g_rand_int_range(w->rand, 0, SHORTS);
	if (g_rand_double(w->rand) < w->hot)
		return 0;
	return g_rand_int_range(w->rand, 0, KEYS);
}

static void arrive(struct world *w, int64_t now_ms)
{
	int node = g_rand_int_range(w->rand, 0, NODES);
	int key = pick_key(w), target = choose(w, node, key);
	double mean = 0;

	for (int i = 0; i < TARGETS; i++)
		mean += true_load(w, i) / TARGETS;
	w->asked++;
	w->over += true_load(w, target) + 1 > FACTOR * mean + 3;
	/* The first reading of a prompt is nobody's fault. */
	if (!w->holds[target][key]) {
		bool held = false;

		for (int i = 0; i < TARGETS; i++)
			held |= w->holds[i][key];
		w->again += held && key < KEYS;
		w->holds[target][key] = true;
	}
	for (int i = 0; i < JOBS_MAX; i++) {
		struct job *j = &w->jobs[i];

		if (j->until_ms > now_ms)
			continue;
		*j = (struct job){now_ms + g_rand_int_range(w->rand, 200, 2600),
				  target, node};
		w->running[node][target]++;
		return;
	}
	g_assert_not_reached();
}

static void play(struct world *w)
{
	static struct job was[JOBS_MAX];
	double due = 0; /* requests that should have come by now */

	for (int64_t now = 0; now < SPAN_MS; now += STEP_MS) {
		/* Ends of this step, by the jobs that were in progress. */
		memcpy(was, w->jobs, sizeof(was));
		for (int i = 0; i < JOBS_MAX; i++)
			if (was[i].until_ms > now - STEP_MS &&
			    was[i].until_ms <= now && was[i].until_ms)
				w->running[was[i].node][was[i].target]--;
		if (now % VIEW_MS == 0)
			memcpy(w->told, w->running, sizeof(w->told));
		due += w->per_s * STEP_MS / 1000;
		while (due >= g_rand_double(w->rand)) {
			arrive(w, now);
			due--;
		}
	}
}

static struct world *world_new(double per_s, double hot, bool naive)
{
	struct world *w = g_new0(struct world, 1);

	w->rand = g_rand_new_with_seed(42);
	w->per_s = per_s;
	w->hot = hot;
	w->naive = naive;
	play(w);
	g_test_message("%.0f/s hot %.2f%s: %d asked, %d read again, %d over",
		       per_s, hot, naive ? " naive" : "", w->asked, w->again,
		       w->over);
	return w;
}

static void world_free(struct world *w)
{
	g_rand_free(w->rand);
	g_free(w);
}

/* Parts of the long requests that are for one key. */
static const double hots[] = {0, 0.3};

/* Operators allow 3 in 100 requests over the bound, on any load. */
static void test_even(void)
{
	static const double loads[] = {10, 40, 80, 160, 240};

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(hots); k++) {
			struct world *w = world_new(loads[i], hots[k], false);

			g_assert_cmpint(w->over * 100, <=, w->asked * 3);
			world_free(w);
		}
}

/* Prompts are read again far less often than by load alone. */
static void test_reuse(void)
{
	for (size_t k = 0; k < G_N_ELEMENTS(hots); k++) {
		struct world *naive = world_new(80, hots[k], true);
		struct world *w = world_new(80, hots[k], false);

		g_assert_cmpint(w->again * 3, <, naive->again);
		world_free(naive);
		world_free(w);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/place-load/even", test_even);
	g_test_add_func("/route/place-load/reuse", test_reuse);
	return g_test_run();
}
