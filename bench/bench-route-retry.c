/*
 * A third of the targets refuse every request. Each entry retries within its
 * budget; each target is watched by its admitting node, and the numbers set
 * aside are known to the others a second later. Beside it, three attempts at
 * once without budget or memory.
 */
#include <string.h>

#include "bench/bench-route.h"

#define RUN_MS      30000
#define TOLD_MS     1000
#define RETRY_SEED  99
#define AMPLIFIED   1.10
#define ANSWERED    0.667 /* what one attempt each would give */
#define NAIVE_TRIES 3

struct pool {
	const struct shape *s;
	GRand *rand;
	struct outliers **watchers; /* one a target */
	struct retry_budget *budgets;
	uint64_t firsts, attempts, answered;
};

static double next_random(void *ctx)
{
	return g_rand_double(ctx);
}

static size_t pick(struct pool *p)
{
	return (size_t)g_rand_int_range(p->rand, 0, (gint32)p->s->engines);
}

static bool fails(const struct pool *p, size_t e)
{
	return e < p->s->engines / 3;
}

/* A target whose admitting node does not set it aside. */
static size_t pick_allowed(struct pool *p, int64_t now_ms)
{
	struct route_random r = {next_random, p->rand};
	size_t e = pick(p);

	for (int i = 0; i < CHOOSE_MAX; i++) {
		if (outliers_allow(p->watchers[e], e + 1, now_ms, r))
			return e;
		e = pick(p);
	}
	return e;
}

static bool try(struct pool *p, size_t e, int64_t now_ms)
{
	p->attempts++;
	if (fails(p, e)) {
		outliers_error(p->watchers[e], e + 1, now_ms);
		return false;
	}
	outliers_ok(p->watchers[e], e + 1, 100, now_ms);
	return true;
}

static void request(struct pool *p, int64_t now_ms)
{
	struct route_random r = {next_random, p->rand};
	struct retry_budget *b =
		&p->budgets[g_rand_int_range(p->rand, 0, (gint32)p->s->nodes)];
	int64_t at = now_ms;

	p->firsts++;
	retry_first(b);
	for (int n = 1; at; n++) {
		if (try(p, pick_allowed(p, at), at)) {
			p->answered++;
			return;
		}
		at = retry_at(b, &retry_policy_default, n, 5000, at,
			      now_ms + 60000, r);
	}
}

static void request_naive(struct pool *p)
{
	p->firsts++;
	for (int n = 0; n < NAIVE_TRIES; n++) {
		p->attempts++;
		if (fails(p, pick(p)))
			continue;
		p->answered++;
		return;
	}
}

/* What each watcher hears of the others. */
static void tell(struct pool *p, int64_t now_ms)
{
	size_t n = p->s->engines;
	size_t aside = 0;

	for (size_t e = 0; e < n; e++)
		aside += outliers_aside(p->watchers[e], now_ms);
	for (size_t e = 0; e < n; e++)
		outliers_set_others(
			p->watchers[e],
			aside - outliers_aside(p->watchers[e], now_ms), n - 1);
}

static struct pool run(const struct shape *s, bool naive)
{
	struct pool p = {.s = s};
	double per_ms = s->rate * (double)s->engines / 1000;
	double due = 0;

	p.rand = g_rand_new_with_seed(RETRY_SEED);
	p.budgets = g_new0(struct retry_budget, s->nodes);
	p.watchers = g_new(struct outliers *, s->engines);
	for (uint64_t e = 0; e < s->engines; e++) {
		uint64_t id = e + 1;

		p.watchers[e] = outliers_new(&outlier_policy_default);
		outliers_set_pool(p.watchers[e], &id, 1);
	}
	for (int64_t now = 1; now <= RUN_MS; now++) {
		if (now % TOLD_MS == 1)
			tell(&p, now);
		due += per_ms;
		while (due >= 1) {
			due -= 1;
			if (naive)
				request_naive(&p);
			else
				request(&p, now);
		}
	}
	for (size_t e = 0; e < s->engines; e++)
		outliers_free(p.watchers[e]);
	g_free(p.watchers);
	g_free(p.budgets);
	g_rand_free(p.rand);
	return p;
}

static void print_pool(const struct pool *p, const char *way)
{
	double n = (double)p->firsts;

	print_row("retry_amplification", p->s->suffix, way,
		  (double)p->attempts / n, "attempts", AMPLIFIED, false);
	print_row("retry_answered", p->s->suffix, way, (double)p->answered / n,
		  "of_requests", ANSWERED, true);
}

void bench_retry(const struct shape *s)
{
	struct pool chosen = run(s, false);
	struct pool naive = run(s, true);

	print_pool(&chosen, "");
	print_pool(&naive, "three_tries");
}
