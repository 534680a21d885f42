/*
 * Measures the decisions of route against the ways weighed and naive ones, in
 * one run. With the name of a way as argument: that way only, with details.
 */
#include <stdio.h>
#include <string.h>

#include "bench/bench-route.h"

#define SEED        20261203
#define SKEW_BOUND  1.25
#define REUSE_BOUND 0.95
#define REUSE_CHURN 0.90

static const struct shape shapes[] = {
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

static const struct way *const ways[] = {
	&way_oracle, &way_admit,       &way_p2c,
	&way_shares, &way_credits,     &way_random,
	&way_hash,   &way_round_robin, &way_least_reported,
};

#define WAYS G_N_ELEMENTS(ways)

struct job {
	const struct shape *shape;
	const struct way *way;
	struct sums sums;
};

void print_row(const char *name, const char *suffix, const char *way,
	       double value, const char *unit, double bound, bool at_least)
{
	bool ok = at_least ? value >= bound : value <= bound;

	printf("%s%s%s%s\t%.4g\t%s\t%.4g\t%s\n", name, suffix, *way ? "_" : "",
	       way, value, unit, bound, ok ? "ok" : "short");
}

static void run_job(void *data, void *unused)
{
	struct job *j = data;

	(void)unused;
	j->sums = world_run(j->shape, j->way, SEED);
}

static double reuse(const struct sums *s)
{
	return s->reused / s->reusable;
}

static void print_shape(const struct job *j)
{
	bool churn = j->shape->churn_ms > 0;
	double best = reuse(&j[0].sums);

	for (size_t i = 1; i < WAYS; i++)
		print_row(churn ? "skew_max_churn" : "skew_max",
			  j->shape->suffix, j[i].way->name, j[i].sums.skew_max,
			  "of_mean", SKEW_BOUND, false);
	for (size_t i = 1; i < WAYS; i++)
		print_row(churn ? "reuse_of_oracle_churn" : "reuse_of_oracle",
			  j->shape->suffix, j[i].way->name,
			  reuse(&j[i].sums) / best, "of_oracle",
			  churn ? REUSE_CHURN : REUSE_BOUND, true);
}

static void print_details(const struct job *j)
{
	const struct sums *s = &j->sums;
	double n = (double)s->requests;

	fprintf(stderr,
		"%s%s %s: skew %.3f reuse %.3f requests %.0f refused %.4f "
		"failed %.4f moved %.3f waited %.1f ms\n",
		j->shape->suffix, j->shape->churn_ms ? " churn" : "",
		j->way->name, s->skew_max, reuse(s), n, (double)s->refused / n,
		(double)s->failed / n, (double)s->moved / n, s->waited_ms / n);
}

int main(int argc, char **argv)
{
	struct job jobs[G_N_ELEMENTS(shapes)][WAYS] = {0};
	GThreadPool *pool = g_thread_pool_new(run_job, NULL, 4, FALSE, NULL);

	/* The large ones first. */
	for (size_t s = G_N_ELEMENTS(shapes); s-- > 0;) {
		for (size_t i = 0; i < WAYS; i++) {
			jobs[s][i] = (struct job){.shape = &shapes[s],
						  .way = ways[i]};
			if (argc < 2 || !strcmp(argv[1], ways[i]->name))
				g_thread_pool_push(pool, &jobs[s][i], NULL);
		}
	}
	g_thread_pool_free(pool, FALSE, TRUE);
	for (size_t s = 0; s < G_N_ELEMENTS(shapes); s++) {
		for (size_t i = 0; i < WAYS && argc > 1; i++)
			if (jobs[s][i].sums.requests)
				print_details(&jobs[s][i]);
		if (argc > 1)
			continue;
		print_shape(jobs[s]);
		if (shapes[s].churn_ms)
			continue;
		bench_share(&shapes[s]);
		bench_retry(&shapes[s]);
		bench_cost(&shapes[s]);
	}
	return 0;
}
