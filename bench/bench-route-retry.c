/*
 * Benchmark of retries while a third of the targets fail every request. Each
 * entry retries within its retry budget. Each target's admitting node runs
 * outlier detection for it; the number of ejected targets reaches the other
 * nodes a second later. The baseline makes up to three attempts at once,
 * without a budget and without outlier detection.
 */
#include <string.h>

#include "bench/bench-route.h"

#define RUN_MS                30000
#define EJECTIONS_INTERVAL_MS 1000
#define RETRY_SEED            99
#define AMPLIFICATION_MAX     1.10
#define ANSWERED_MIN          0.667 /* rate of success of a single attempt */
#define NAIVE_ATTEMPTS_MAX    3

struct retry_run {
	const struct scenario *scenario;
	GRand *rand;
	struct outliers **detectors;  /* by target */
	struct retry_budget *budgets; /* by node */
	uint64_t requests, attempts, answered;
};

static double next_random(void *ctx)
{
	return g_rand_double(ctx);
}

static size_t random_target(struct retry_run *run)
{
	return (size_t)g_rand_int_range(run->rand, 0,
					(gint32)run->scenario->engines);
}

/* The first third of the targets fail. */
static bool is_faulty(const struct retry_run *run, size_t target)
{
	return target < run->scenario->engines / 3;
}

/* Return a random target that is not ejected, if a few draws find one. */
static size_t random_allowed_target(struct retry_run *run, int64_t now_ms)
{
	struct route_random rng = {next_random, run->rand};
	size_t target = random_target(run);

	for (int i = 0; i < CHOOSE_MAX; i++) {
		if (outliers_allow(run->detectors[target], target + 1, now_ms,
				   rng))
			return target;
		target = random_target(run);
	}
	return target;
}

static bool send_attempt(struct retry_run *run, size_t target, int64_t now_ms)
{
	run->attempts++;
	if (is_faulty(run, target)) {
		outliers_record_error(run->detectors[target], target + 1,
				      now_ms);
		return false;
	}
	outliers_record_success(run->detectors[target], target + 1, 100,
				now_ms);
	return true;
}

/* Send a request with retries, all at once on the virtual clock. */
static void send_request(struct retry_run *run, int64_t now_ms)
{
	struct route_random rng = {next_random, run->rand};
	struct retry_budget *budget = &run->budgets[g_rand_int_range(
		run->rand, 0, (gint32)run->scenario->nodes)];
	int64_t attempt_ms = now_ms;

	run->requests++;
	retry_budget_deposit(budget);
	for (int n = 1; attempt_ms; n++) {
		if (send_attempt(run, random_allowed_target(run, attempt_ms),
				 attempt_ms)) {
			run->answered++;
			return;
		}
		attempt_ms =
			retry_schedule(budget, &retry_policy_default, n, 5000,
				       attempt_ms, now_ms + 60000, rng);
	}
}

static void send_request_naive(struct retry_run *run)
{
	run->requests++;
	for (int n = 0; n < NAIVE_ATTEMPTS_MAX; n++) {
		run->attempts++;
		if (is_faulty(run, random_target(run)))
			continue;
		run->answered++;
		return;
	}
}

/* Give each detector the number of targets that the others ejected. */
static void exchange_ejections(struct retry_run *run, int64_t now_ms)
{
	size_t n = run->scenario->engines;
	size_t ejected = 0;

	for (size_t target = 0; target < n; target++)
		ejected += outliers_ejected(run->detectors[target], now_ms);
	for (size_t target = 0; target < n; target++)
		outliers_set_remote(
			run->detectors[target],
			ejected - outliers_ejected(run->detectors[target],
						   now_ms),
			n - 1);
}

static struct retry_run run_scenario(const struct scenario *scenario,
				     bool naive)
{
	struct retry_run run = {.scenario = scenario};
	double requests_per_ms =
		scenario->rate * (double)scenario->engines / 1000;
	double requests_due = 0;

	run.rand = g_rand_new_with_seed(RETRY_SEED);
	run.budgets = g_new0(struct retry_budget, scenario->nodes);
	run.detectors = g_new(struct outliers *, scenario->engines);
	for (uint64_t target = 0; target < scenario->engines; target++) {
		uint64_t id = target + 1;

		run.detectors[target] = outliers_new(&outlier_policy_default);
		outliers_set_pool(run.detectors[target], &id, 1);
	}
	for (int64_t now_ms = 1; now_ms <= RUN_MS; now_ms++) {
		if (now_ms % EJECTIONS_INTERVAL_MS == 1)
			exchange_ejections(&run, now_ms);
		requests_due += requests_per_ms;
		while (requests_due >= 1) {
			requests_due -= 1;
			if (naive)
				send_request_naive(&run);
			else
				send_request(&run, now_ms);
		}
	}
	for (size_t target = 0; target < scenario->engines; target++)
		outliers_free(run.detectors[target]);
	g_free(run.detectors);
	g_free(run.budgets);
	g_rand_free(run.rand);
	return run;
}

static void print_run(const struct retry_run *run, const char *strategy)
{
	double n = (double)run->requests;

	print_row("retry_amplification", run->scenario->suffix, strategy,
		  (double)run->attempts / n, "attempts", AMPLIFICATION_MAX,
		  false);
	print_row("retry_answered", run->scenario->suffix, strategy,
		  (double)run->answered / n, "of_requests", ANSWERED_MIN, true);
}

void bench_retry(const struct scenario *scenario)
{
	struct retry_run budgeted = run_scenario(scenario, false);
	struct retry_run naive = run_scenario(scenario, true);

	print_run(&budgeted, "");
	print_run(&naive, "three_tries");
}
