/*
 * Placement of model requests with shared prompts, on a virtual clock. Several
 * nodes choose targets by delayed views of each other's requests. Checks how
 * often prompts are computed again and how often a target is over its bound.
 */
#include <math.h>
#include <string.h>

#include "route/test-random.h"

#define NODES       6
#define TARGETS     9
#define LONG_KEYS   57 /* long prompts, each shared by many requests */
#define SHORT_KEYS  82
#define STEP_MS     10
#define PUBLISH_MS  100 /* interval at which nodes publish their counts */
#define DURATION_MS 60000
#define JOBS_MAX    4096
#define FACTOR      2.0 /* operators allow factor x mean + 3 */

struct job {
	int64_t until_ms;
	int target, node;
};

struct simulation {
	GRand *rand;
	struct job jobs[JOBS_MAX];
	int running[NODES][TARGETS];
	int published[NODES][TARGETS]; /* running as other nodes see it */
	bool holds[TARGETS][LONG_KEYS + SHORT_KEYS];
	double requests_per_s;
	double hot_fraction; /* part of the long requests that share one key */
	bool by_load_only;   /* least loaded target, without keys */
	int requests, recomputed, over_bound;
};

static double load_of(const struct simulation *sim, int node, int target)
{
	double n = sim->running[node][target];

	for (int i = 0; i < NODES; i++)
		n += i == node ? 0 : sim->published[i][target];
	return n;
}

static double current_load(const struct simulation *sim, int target)
{
	double n = 0;

	for (int i = 0; i < NODES; i++)
		n += sim->running[i][target];
	return n;
}

static int choose(struct simulation *sim, int node, int key)
{
	struct place_target t[TARGETS];
	struct place_limits l =
		place_limits_for(key < LONG_KEYS ? 10000 : 700, FACTOR);

	for (int i = 0; i < TARGETS; i++)
		t[i] = (struct place_target){
			.id = (uint64_t)i * 17 + 5,
			.load = load_of(sim, node, i),
			.weight = 1,
			.can_export = true,
		};
	return (int)place_choose(&l,
				 sim->by_load_only ? 0 : (uint64_t)key + 1000,
				 t, TARGETS, random_of(sim->rand));
}

static int pick_key(struct simulation *sim)
{
	if (g_rand_double(sim->rand) < 0.4)
		return LONG_KEYS + g_rand_int_range(sim->rand, 0, SHORT_KEYS);
	if (g_rand_double(sim->rand) < sim->hot_fraction)
		return 0;
	return g_rand_int_range(sim->rand, 0, LONG_KEYS);
}

static void arrive(struct simulation *sim, int64_t now_ms)
{
	int node = g_rand_int_range(sim->rand, 0, NODES);
	int key = pick_key(sim), target = choose(sim, node, key);
	double mean = 0;

	for (int i = 0; i < TARGETS; i++)
		mean += current_load(sim, i) / TARGETS;
	sim->requests++;
	sim->over_bound += current_load(sim, target) + 1 > FACTOR * mean + 3;
	/* The first computation of a prompt can't be avoided: not counted. */
	if (!sim->holds[target][key]) {
		bool held = false;

		for (int i = 0; i < TARGETS; i++)
			held |= sim->holds[i][key];
		sim->recomputed += held && key < LONG_KEYS;
		sim->holds[target][key] = true;
	}
	for (int i = 0; i < JOBS_MAX; i++) {
		struct job *j = &sim->jobs[i];

		if (j->until_ms > now_ms)
			continue;
		*j = (struct job){
			now_ms + g_rand_int_range(sim->rand, 200, 2600), target,
			node};
		sim->running[node][target]++;
		return;
	}
	g_assert_not_reached();
}

static void run(struct simulation *sim)
{
	static struct job before[JOBS_MAX];
	double due = 0; /* requests that should have arrived by now */

	for (int64_t now = 0; now < DURATION_MS; now += STEP_MS) {
		/* End the jobs that were due in this step. */
		memcpy(before, sim->jobs, sizeof(before));
		for (int i = 0; i < JOBS_MAX; i++)
			if (before[i].until_ms > now - STEP_MS &&
			    before[i].until_ms <= now && before[i].until_ms)
				sim->running[before[i].node]
					    [before[i].target]--;
		if (now % PUBLISH_MS == 0)
			memcpy(sim->published, sim->running,
			       sizeof(sim->published));
		due += sim->requests_per_s * STEP_MS / 1000;
		while (due >= g_rand_double(sim->rand)) {
			arrive(sim, now);
			due--;
		}
	}
}

static struct simulation *run_simulation(double requests_per_s,
					 double hot_fraction, bool by_load_only)
{
	struct simulation *sim = g_new0(struct simulation, 1);

	sim->rand = g_rand_new_with_seed(42);
	sim->requests_per_s = requests_per_s;
	sim->hot_fraction = hot_fraction;
	sim->by_load_only = by_load_only;
	run(sim);
	g_test_message("%.0f/s hot %.2f%s: %d requests, %d recomputed, %d over",
		       requests_per_s, hot_fraction,
		       by_load_only ? " by load only" : "", sim->requests,
		       sim->recomputed, sim->over_bound);
	return sim;
}

static void simulation_free(struct simulation *sim)
{
	g_rand_free(sim->rand);
	g_free(sim);
}

/* Fractions of the long requests that share one key. */
static const double hot_fractions[] = {0, 0.3};

/* Operators allow 3 in 100 requests over the bound, at any load. */
static void test_even(void)
{
	static const double loads[] = {10, 40, 80, 160, 240};

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(hot_fractions); k++) {
			struct simulation *sim = run_simulation(
				loads[i], hot_fractions[k], false);

			g_assert_cmpint(sim->over_bound * 100, <=,
					sim->requests * 3);
			simulation_free(sim);
		}
}

/* Prompts are recomputed under a third as often as with load-only choice. */
static void test_reuse(void)
{
	for (size_t k = 0; k < G_N_ELEMENTS(hot_fractions); k++) {
		struct simulation *load_only =
			run_simulation(80, hot_fractions[k], true);
		struct simulation *sim =
			run_simulation(80, hot_fractions[k], false);

		g_assert_cmpint(sim->recomputed * 3, <, load_only->recomputed);
		simulation_free(load_only);
		simulation_free(sim);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/place-load/even", test_even);
	g_test_add_func("/route/place-load/reuse", test_reuse);
	return g_test_run();
}
