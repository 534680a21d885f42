/*
 * A tenth of the organisations (three at least) surge to 20 times their
 * entitlement; the others go on asking for half of theirs. The share kept is
 * that of the worst of the others. Beside it, first come first served.
 */
#include <math.h>
#include <string.h>

#include "bench/bench-route.h"

#define SLOTS      20 /* requests that an engine holds */
#define WORK       500
#define RUN_MS     2000 /* mean */
#define SURGE      20.0
#define QUIET      0.5
#define WAIT_MS    1000
#define TRIES      4
#define START_MS   5000 /* of the surge */
#define END_MS     20000
#define KEPT       0.98
#define SHARE_SEED 77

struct org {
	double every_ms; /* between requests */
	double next_ms;
	uint64_t asked, served;
};

struct run {
	int64_t end_ms;
	size_t engine;
	uint32_t organisation;
};

struct fleet {
	const struct shape *s;
	bool fair;
	GRand *rand;
	struct org *orgs;
	uint32_t surging;
	struct admit **admits; /* one a engine: each has its admitting node */
	GArray **ends;         /* by ms: struct run */
	int64_t now_ms;
};

static double next_random(void *ctx)
{
	return g_rand_double(ctx);
}

static struct admit *admit_create(struct fleet *f, size_t engine)
{
	struct admit_limits l = admit_limits_default;
	struct admit *a;

	l.target_work = SLOTS * WORK;
	l.floor_work = l.target_work; /* the relative bound plays no part */
	l.share_reserve = f->fair ? l.share_reserve : 0;
	a = admit_new(&l, (struct route_random){next_random, f->rand});
	admit_take_over(a, engine + 1, 0, 0, 1);
	return a;
}

static bool is_counted(const struct fleet *f)
{
	return f->now_ms >= START_MS && f->now_ms < END_MS - WAIT_MS;
}

static void begin(struct fleet *f, size_t engine, uint32_t org, bool counted)
{
	double ms = -log(1 - g_rand_double(f->rand)) * RUN_MS;
	struct run r = {f->now_ms + 1 + (int64_t)ms, engine, org};

	f->orgs[org].served += counted;
	if (r.end_ms < END_MS)
		g_array_append_val(f->ends[r.end_ms], r);
}

static void poll(struct fleet *f, size_t engine)
{
	struct decision d;

	while (admit_poll(f->admits[engine], f->now_ms, &d))
		if (d.verdict == VERDICT_ADMIT)
			begin(f, engine, (uint32_t)(d.ticket >> 1),
			      d.ticket & 1);
}

static void request(struct fleet *f, uint32_t org)
{
	bool counted = is_counted(f);
	struct admit_ask q = {.ticket = (uint64_t)org << 1 | counted,
			      .organisation = f->fair ? org : 0,
			      .weight = 1,
			      .work = WORK,
			      .whole_bound = true,
			      .deadline_ms = f->now_ms + 10 * RUN_MS};

	f->orgs[org].asked += counted;
	for (int i = 0; i < TRIES; i++) {
		size_t e = (size_t)g_rand_int_range(f->rand, 0,
						    (gint32)f->s->engines);
		struct decision d;

		q.target = e + 1;
		q.wait_until_ms = i == TRIES - 1 ? f->now_ms + WAIT_MS : 0;
		admit_ask(f->admits[e], &q, f->now_ms, &d);
		if (d.verdict == VERDICT_ADMIT)
			begin(f, e, org, counted);
		if (d.verdict != VERDICT_REFUSE)
			return;
	}
}

static void end_runs(struct fleet *f)
{
	GArray *ends = f->ends[f->now_ms];

	for (guint i = 0; i < ends->len; i++) {
		struct run r = g_array_index(ends, struct run, i);

		admit_done(f->admits[r.engine], r.engine + 1,
			   f->fair ? r.organisation : 0, WORK, f->now_ms);
		poll(f, r.engine);
	}
}

static void ask_all(struct fleet *f)
{
	for (uint32_t o = 0; o < f->s->organisations; o++) {
		struct org *x = &f->orgs[o];
		bool surge = o < f->surging && f->now_ms >= START_MS;
		double every = x->every_ms / (surge ? SURGE : QUIET);

		x->next_ms = MIN(x->next_ms, (double)f->now_ms + 20 * every);
		while (x->next_ms <= (double)f->now_ms) {
			request(f, o);
			x->next_ms += -log(1 - g_rand_double(f->rand)) * every;
		}
	}
}

static double worst_share(const struct fleet *f)
{
	double worst = 1;

	for (uint32_t o = f->surging; o < f->s->organisations; o++)
		worst = MIN(worst, (double)f->orgs[o].served /
					   (double)f->orgs[o].asked);
	return worst;
}

static double run(const struct shape *s, bool fair)
{
	struct fleet f = {.s = s, .fair = fair};
	double capacity = (double)s->engines * SLOTS / RUN_MS;
	double worst;

	f.rand = g_rand_new_with_seed(SHARE_SEED);
	f.surging = MAX(s->organisations / 10, 3);
	f.orgs = g_new0(struct org, s->organisations);
	f.admits = g_new(struct admit *, s->engines);
	f.ends = g_new(GArray *, END_MS);
	for (size_t e = 0; e < s->engines; e++)
		f.admits[e] = admit_create(&f, e);
	for (int64_t t = 0; t < END_MS; t++)
		f.ends[t] = g_array_new(FALSE, FALSE, sizeof(struct run));
	for (uint32_t o = 0; o < s->organisations; o++)
		f.orgs[o].every_ms = s->organisations / capacity;
	for (; f.now_ms < END_MS; f.now_ms++) {
		end_runs(&f);
		ask_all(&f);
		for (size_t e = 0; f.now_ms % TICK_MS == 0 && e < s->engines;
		     e++)
			poll(&f, e);
	}
	worst = worst_share(&f);
	for (size_t e = 0; e < s->engines; e++)
		admit_free(f.admits[e]);
	for (int64_t t = 0; t < END_MS; t++)
		g_array_unref(f.ends[t]);
	g_free(f.admits);
	g_free(f.ends);
	g_free(f.orgs);
	g_rand_free(f.rand);
	return worst;
}

void bench_share(const struct shape *s)
{
	print_row("share_kept", s->suffix, "", run(s, true), "of_entitlement",
		  KEPT, true);
	print_row("share_kept", s->suffix, "first_come", run(s, false),
		  "of_entitlement", KEPT, true);
}
