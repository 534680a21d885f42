/*
 * Benchmark of the routing decisions of route/: the product's strategy, the
 * alternatives considered and simple baselines, in the same simulated fleets.
 * With the name of a strategy as argument, run only that one and print details
 * to standard error.
 */
#include <stdio.h>
#include <string.h>

#include "bench/bench-route.h"

#define SEED            20261203
#define SKEW_MAX        1.25
#define REUSE_MIN       0.95
#define REUSE_CHURN_MIN 0.90

static const struct scenario scenarios[] = {
	{.suffix = "_9",
	 .engines = 9,
	 .nodes = 9,
	 .organisations = 10,
	 .rate = 12.5,
	 .warm_ms = 60000,
	 .run_ms = 240000,
	 .hints = true},
	{.suffix = "_9",
	 .engines = 9,
	 .nodes = 9,
	 .organisations = 10,
	 .rate = 12.5,
	 .warm_ms = 60000,
	 .run_ms = 240000,
	 .churn_ms = 40000,
	 .hints = true},
	{.suffix = "_600",
	 .engines = 600,
	 .nodes = 370,
	 .organisations = 460,
	 .rate = 12.5,
	 .warm_ms = 40000,
	 .run_ms = 20000,
	 .hints = true},
	{.suffix = "_600",
	 .engines = 600,
	 .nodes = 370,
	 .organisations = 460,
	 .rate = 12.5,
	 .warm_ms = 40000,
	 .run_ms = 40000,
	 .churn_ms = 12000,
	 .hints = true},
};

static const struct strategy *const strategies[] = {
	&strategy_oracle, &strategy_admit,       &strategy_p2c,
	&strategy_shares, &strategy_credits,     &strategy_random,
	&strategy_hash,   &strategy_round_robin, &strategy_least_reported,
};

#define STRATEGY_COUNT G_N_ELEMENTS(strategies)

struct job {
	const struct scenario *scenario;
	const struct strategy *strategy;
	struct sim_totals totals;
};

void print_row(const char *name, const char *suffix, const char *strategy,
	       double value, const char *unit, double bound, bool at_least)
{
	bool ok = at_least ? value >= bound : value <= bound;

	printf("%s%s%s%s\t%.4g\t%s\t%.4g\t%s\n", name, suffix,
	       *strategy ? "_" : "", strategy, value, unit, bound,
	       ok ? "ok" : "short");
}

static void run_job(void *data, void *unused)
{
	struct job *j = data;

	(void)unused;
	j->totals = route_sim_run(j->scenario, j->strategy, SEED);
}

static double reuse_ratio(const struct sim_totals *s)
{
	return s->reused / s->reusable;
}

static void print_scenario(const struct job *j)
{
	bool churn = j->scenario->churn_ms > 0;
	double oracle_reuse = reuse_ratio(&j[0].totals);

	for (size_t i = 1; i < STRATEGY_COUNT; i++)
		print_row(churn ? "skew_max_churn" : "skew_max",
			  j->scenario->suffix, j[i].strategy->name,
			  j[i].totals.skew_max, "of_mean", SKEW_MAX, false);
	for (size_t i = 1; i < STRATEGY_COUNT; i++)
		print_row(churn ? "reuse_of_oracle_churn" : "reuse_of_oracle",
			  j->scenario->suffix, j[i].strategy->name,
			  reuse_ratio(&j[i].totals) / oracle_reuse, "of_oracle",
			  churn ? REUSE_CHURN_MIN : REUSE_MIN, true);
}

static void print_details(const struct job *j)
{
	const struct sim_totals *s = &j->totals;
	double n = (double)s->requests;

	fprintf(stderr,
		"%s%s %s: skew %.3f reuse %.3f requests %.0f refused %.4f "
		"failed %.4f moved %.3f waited %.1f ms\n",
		j->scenario->suffix, j->scenario->churn_ms ? " churn" : "",
		j->strategy->name, s->skew_max, reuse_ratio(s), n,
		(double)s->refused / n, (double)s->failed / n,
		(double)s->moved / n, s->waited_ms / n);
}

int main(int argc, char **argv)
{
	struct job jobs[G_N_ELEMENTS(scenarios)][STRATEGY_COUNT] = {0};
	GThreadPool *pool = g_thread_pool_new(run_job, NULL, 4, FALSE, NULL);

	/* Start the largest first, so that the pool's threads end together. */
	for (size_t s = G_N_ELEMENTS(scenarios); s-- > 0;) {
		for (size_t i = 0; i < STRATEGY_COUNT; i++) {
			jobs[s][i] = (struct job){.scenario = &scenarios[s],
						  .strategy = strategies[i]};
			if (argc < 2 || !strcmp(argv[1], strategies[i]->name))
				g_thread_pool_push(pool, &jobs[s][i], NULL);
		}
	}
	g_thread_pool_free(pool, FALSE, TRUE);
	for (size_t s = 0; s < G_N_ELEMENTS(scenarios); s++) {
		for (size_t i = 0; i < STRATEGY_COUNT && argc > 1; i++)
			if (jobs[s][i].totals.requests)
				print_details(&jobs[s][i]);
		if (argc > 1)
			continue;
		print_scenario(jobs[s]);
		if (scenarios[s].churn_ms)
			continue;
		bench_fairness(&scenarios[s]);
		bench_retry(&scenarios[s]);
		bench_node_cost(&scenarios[s]);
	}
	return 0;
}
