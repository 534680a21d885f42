/*
 * Benchmark of fairness between organisations. A tenth of them, at least three,
 * surge to 20 times their entitlement, while the others use half of theirs. The
 * figure is the smallest fraction of their requests that any of the others gets
 * served. The baseline is first come, first served.
 */
#include <math.h>
#include <string.h>

#include "bench/bench-route.h"

#define ENGINE_SLOTS        20 /* requests that an engine runs at once */
#define REQUEST_WORK_TOKENS 500
#define RUN_MEAN_MS         2000
#define SURGE_LOAD          20.0 /* of the entitlement */
#define NORMAL_LOAD         0.5  /* likewise */
#define QUEUE_WAIT_MS       1000
#define ATTEMPTS_MAX        4
#define SURGE_START_MS      5000
#define END_MS              20000
#define SHARE_KEPT_MIN      0.98
#define SEED                77

struct org {
	double interval_ms; /* mean between requests at its entitlement */
	double next_request_ms;
	uint64_t requested, served; /* counted requests */
};

struct running_request {
	int64_t end_ms;
	size_t engine;
	uint32_t organisation;
};

struct fairness_run {
	const struct scenario *scenario;
	bool fair; /* share by organisation, else first come, first served */
	GRand *rand;
	struct org *orgs;
	uint32_t surging_count; /* the first so many organisations surge */
	struct admit **admits;  /* by engine: each has its admitting node */
	GArray **ends_by_ms;    /* struct running_request, by ms of its end */
	int64_t now_ms;
};

static double next_random(void *ctx)
{
	return g_rand_double(ctx);
}

static struct admit *admit_create(struct fairness_run *f, size_t engine)
{
	struct admit_limits limits = admit_limits_default;
	struct admit *admit;

	limits.max_target_work = ENGINE_SLOTS * REQUEST_WORK_TOKENS;
	/* Disable the bound relative to the mean load. */
	limits.min_bound = limits.max_target_work;
	limits.share_reserve = f->fair ? limits.share_reserve : 0;
	admit = admit_new(&limits, (struct route_random){next_random, f->rand});
	admit_take_over(admit, engine + 1, 0, 0, 1);
	return admit;
}

/* Requests count from the surge on, if a queued one can still be decided. */
static bool is_counted(const struct fairness_run *f)
{
	return f->now_ms >= SURGE_START_MS &&
	       f->now_ms < END_MS - QUEUE_WAIT_MS;
}

static void start_request(struct fairness_run *f, size_t engine, uint32_t org,
			  bool counted)
{
	double ms = -log(1 - g_rand_double(f->rand)) * RUN_MEAN_MS;
	struct running_request running = {f->now_ms + 1 + (int64_t)ms, engine,
					  org};

	f->orgs[org].served += counted;
	if (running.end_ms < END_MS)
		g_array_append_val(f->ends_by_ms[running.end_ms], running);
}

static void poll_queue(struct fairness_run *f, size_t engine)
{
	struct decision d;

	while (admit_poll(f->admits[engine], f->now_ms, &d))
		if (d.verdict == VERDICT_ADMIT)
			start_request(f, engine, (uint32_t)(d.ticket >> 1),
				      d.ticket & 1);
}

/* A ticket holds the organisation and whether the request counts. */
static void send_request(struct fairness_run *f, uint32_t org)
{
	bool counted = is_counted(f);
	struct admit_request q = {.ticket = (uint64_t)org << 1 | counted,
				  .organisation = f->fair ? org : 0,
				  .weight = 1,
				  .work = REQUEST_WORK_TOKENS,
				  .use_full_bound = true,
				  .deadline_ms = f->now_ms + 10 * RUN_MEAN_MS};

	f->orgs[org].requested += counted;
	for (int i = 0; i < ATTEMPTS_MAX; i++) {
		size_t engine = (size_t)g_rand_int_range(
			f->rand, 0, (gint32)f->scenario->engines);
		struct decision d;

		q.target = engine + 1;
		q.wait_until_ms =
			i == ATTEMPTS_MAX - 1 ? f->now_ms + QUEUE_WAIT_MS : 0;
		admit_request(f->admits[engine], &q, f->now_ms, &d);
		if (d.verdict == VERDICT_ADMIT)
			start_request(f, engine, org, counted);
		if (d.verdict != VERDICT_REFUSE)
			return;
	}
}

static void end_requests(struct fairness_run *f)
{
	GArray *ending = f->ends_by_ms[f->now_ms];

	for (guint i = 0; i < ending->len; i++) {
		struct running_request running =
			g_array_index(ending, struct running_request, i);

		admit_done(f->admits[running.engine], running.engine + 1,
			   f->fair ? running.organisation : 0,
			   REQUEST_WORK_TOKENS, f->now_ms);
		poll_queue(f, running.engine);
	}
}

static void send_due_requests(struct fairness_run *f)
{
	for (uint32_t org = 0; org < f->scenario->organisations; org++) {
		struct org *state = &f->orgs[org];
		bool surges =
			org < f->surging_count && f->now_ms >= SURGE_START_MS;
		double interval = state->interval_ms /
				  (surges ? SURGE_LOAD : NORMAL_LOAD);

		/* A time drawn before the surge must not defer it. */
		state->next_request_ms = MIN(state->next_request_ms,
					     (double)f->now_ms + 20 * interval);
		while (state->next_request_ms <= (double)f->now_ms) {
			send_request(f, org);
			state->next_request_ms +=
				-log(1 - g_rand_double(f->rand)) * interval;
		}
	}
}

/* Return the smallest served part among organisations that don't surge. */
static double min_share_kept(const struct fairness_run *f)
{
	double smallest = 1;

	for (uint32_t org = f->surging_count; org < f->scenario->organisations;
	     org++)
		smallest =
			MIN(smallest, (double)f->orgs[org].served /
					      (double)f->orgs[org].requested);
	return smallest;
}

/* Simulate with or without fair sharing; return the smallest share kept. */
static double smallest_share(const struct scenario *scenario, bool fair)
{
	struct fairness_run f = {.scenario = scenario, .fair = fair};
	double capacity =
		(double)scenario->engines * ENGINE_SLOTS / RUN_MEAN_MS;
	double smallest;

	f.rand = g_rand_new_with_seed(SEED);
	f.surging_count = MAX(scenario->organisations / 10, 3);
	f.orgs = g_new0(struct org, scenario->organisations);
	f.admits = g_new(struct admit *, scenario->engines);
	f.ends_by_ms = g_new(GArray *, END_MS);
	for (size_t engine = 0; engine < scenario->engines; engine++)
		f.admits[engine] = admit_create(&f, engine);
	for (int64_t ms = 0; ms < END_MS; ms++)
		f.ends_by_ms[ms] = g_array_new(FALSE, FALSE,
					       sizeof(struct running_request));
	for (uint32_t org = 0; org < scenario->organisations; org++)
		f.orgs[org].interval_ms = scenario->organisations / capacity;
	for (; f.now_ms < END_MS; f.now_ms++) {
		end_requests(&f);
		send_due_requests(&f);
		for (size_t engine = 0;
		     f.now_ms % TICK_MS == 0 && engine < scenario->engines;
		     engine++)
			poll_queue(&f, engine);
	}
	smallest = min_share_kept(&f);
	for (size_t engine = 0; engine < scenario->engines; engine++)
		admit_free(f.admits[engine]);
	for (int64_t ms = 0; ms < END_MS; ms++)
		g_array_unref(f.ends_by_ms[ms]);
	g_free(f.admits);
	g_free(f.ends_by_ms);
	g_free(f.orgs);
	g_rand_free(f.rand);
	return smallest;
}

void bench_fairness(const struct scenario *scenario)
{
	print_row("share_kept", scenario->suffix, "",
		  smallest_share(scenario, true), "of_entitlement",
		  SHARE_KEPT_MIN, true);
	print_row("share_kept", scenario->suffix, "first_come",
		  smallest_share(scenario, false), "of_entitlement",
		  SHARE_KEPT_MIN, true);
}
