/*
 * Predicts the wait at a service's targets and decides which requests are
 * refused when they are short of room. See overload.h.
 */
#include <glib.h>
#include <math.h>

#include "route/overload.h"

#define PRIORITIES 10
/* Fewer runs of a service than this predict nothing. */
#define RUNS_MIN 8
/*
 * Runs that a mean goes back over. A node of 370 sees about two requests of a
 * route in a second.
 */
#define RUNS_MEMORY 50
/*
 * The same for how long runs of all routes take by their means, which tells
 * sooner that the targets have become slower, and bounds of that.
 */
#define SPEED_MEMORY 16
#define SPEED_MIN    0.5
#define SPEED_MAX    5.0
/* Means of runs without a wait are used for this long after others began. */
#define CALM_VALID_MS 10000
/* Time constant of the counts of requests offered and admitted. */
#define TALLY_MS 20000.0
/* What has not been used for this long is dropped. */
#define UNUSED_MS 900000
/*
 * Observations further apart say nothing of the time between them: the process
 * was paused, or nobody asked.
 */
#define GAP_MAX_MS 1000
/*
 * Shedding lasts this much longer than the load is over the slots. While the
 * wait is below its limit, no request is refused, but when the wait rises
 * again, it need not be over the target for the whole interval: during a
 * lasting overload it swings about the limits, as views are up to 0.5 s old.
 */
#define RESUME_MS 3000
/*
 * Part of the mean run time that a request is taken to need at least; most
 * runs are shorter than the mean, which few long ones raise.
 */
#define RUN_PART_MIN 0.5
/*
 * Limits of priorities, as a part of the latency target, by the number of more
 * urgent priorities of the service; the last is that of all others.
 */
static const double priority_parts[] = {1, 0.7, 0.6, 0.5, 0.4};
/*
 * Reduction of the limit for each doubling of the work beyond a part of the
 * route's mean, and the least part of the limit that is left. Most urgent
 * requests are admitted by their latency target up to nearly the mean; for the
 * others work decides more. In test-overload's fleet a reduction by 0.2 from
 * the mean on served 13% fewer requests in time.
 */
#define WORK_REDUCTION   0.4
#define WORK_PART_MIN    0.1
#define WORK_FULL        0.3
#define WORK_FULL_URGENT 0.8
/* Part of the limit that is left to organisations over their share. */
#define OVER_SHARE_PART 0.5
/* Requests over its share that an organisation may have by chance. */
#define OVER_SHARE_SLACK 2.0
/*
 * Floors, as a part of the rate of admission of the service, or of the route
 * for its largest requests. The rules ask for a quarter and a half; each node
 * adds a margin for what it counts wrongly, as it sees a part of the requests.
 */
#define FLOOR_PART       0.27
#define FLOOR_SMALL_PART 0.32
#define FLOOR_LARGE_PART 0.65
/*
 * Work, as a part of the route's mean, up to which the higher floor counts: as
 * far as there are such requests, they fill the floors of their kinds.
 */
#define SMALL_PART 0.7
/*
 * Part of a route's requests that count as its largest. It is twice the tenth
 * that the rules name, as callers' estimates of the output are often far off.
 */
#define LARGE_PART 0.2
/* Step of the estimate of their bound, as a part of the mean. */
#define LARGE_STEP 0.05
/* Admissions of an unknown kind that are assumed beside those counted. */
#define AHEAD_PRIOR 4.0
/* Part of the slots that more urgent requests leave at least. */
#define SLOTS_LEFT_MIN 0.1

/* Mean and variance over the last values. */
struct moments {
	double n, mean, variance;
	int64_t at_ms; /* of the last value */
};

/* Requests offered and admitted, those of the past with less weight. */
struct tally {
	double offered, admitted;
	int64_t at_ms;
};

struct route_state {
	struct moments calm;   /* run times of requests that did not wait */
	struct moments scaled; /* of others, without the part they waited */
	struct moments begin;  /* until the response began, without a wait */
	struct moments work;
	double large_tokens; /* bound of the largest requests */
	struct tally all, large;
	int64_t used_ms;
};

struct org_state {
	struct tally all;
	int64_t used_ms;
};

struct service_state {
	GHashTable *routes;        /* id -> struct route_state */
	GHashTable *organisations; /* id -> struct org_state */
	struct moments speed;      /* run times by the means of their routes */
	struct tally all;
	struct tally priorities[PRIORITIES]; /* in ms of run time */
	int64_t observed_ms;                 /* 0: never */
	int64_t above_since_ms; /* wait over the target; 0: it isn't */
	int64_t short_ms;       /* when load was last over slots */
	bool shedding;
	int64_t used_ms;
};

struct overload {
	GHashTable *services; /* id -> struct service_state */
	int64_t interval_ms;
	struct route_random random;
};

static void service_free(void *p)
{
	struct service_state *s = p;

	g_hash_table_unref(s->routes);
	g_hash_table_unref(s->organisations);
	g_free(s);
}

static GHashTable *table_new(GDestroyNotify destroy)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				     destroy);
}

struct overload *overload_new(int64_t interval_ms, struct route_random random)
{
	struct overload *o = g_new0(struct overload, 1);

	o->services = table_new(service_free);
	o->interval_ms = interval_ms;
	o->random = random;
	return o;
}

void overload_free(struct overload *o)
{
	if (!o)
		return;
	g_hash_table_unref(o->services);
	g_free(o);
}

/* Return the value of an id, which is created with that size if it is new. */
static void *find_or_add(GHashTable *h, uint64_t id, size_t size)
{
	void *v = g_hash_table_lookup(h, &id);

	if (v)
		return v;
	v = g_malloc0(size);
	g_hash_table_insert(h, g_memdup2(&id, sizeof(id)), v);
	return v;
}

static struct service_state *find_service(struct overload *o, uint64_t id,
					  int64_t now_ms)
{
	struct service_state *s =
		find_or_add(o->services, id, sizeof(struct service_state));

	if (!s->routes) {
		s->routes = table_new(g_free);
		s->organisations = table_new(g_free);
	}
	s->used_ms = now_ms;
	return s;
}

static struct route_state *find_route(struct service_state *s, uint64_t id,
				      int64_t now_ms)
{
	struct route_state *r =
		find_or_add(s->routes, id, sizeof(struct route_state));

	r->used_ms = now_ms;
	return r;
}

static struct org_state *find_org(struct service_state *s, uint64_t id,
				  int64_t now_ms)
{
	struct org_state *v =
		find_or_add(s->organisations, id, sizeof(struct org_state));

	v->used_ms = now_ms;
	return v;
}

static void moments_add(struct moments *m, double value, double memory,
			int64_t now_ms)
{
	double weight, delta = value - m->mean;

	m->n = MIN(m->n + 1, memory);
	weight = 1 / m->n;
	m->mean += weight * delta;
	m->variance = (1 - weight) * (m->variance + weight * delta * delta);
	m->at_ms = now_ms;
}

/* Return the mean less its standard error: few values predict less. */
static double cautious_mean(const struct moments *m)
{
	return MAX(m->mean - sqrt(m->variance / MAX(m->n, 1)), 0);
}

static void tally_decay(struct tally *t, int64_t now_ms)
{
	double keep = exp(-(double)MAX(now_ms - t->at_ms, 0) / TALLY_MS);

	t->offered *= keep;
	t->admitted *= keep;
	t->at_ms = MAX(now_ms, t->at_ms);
}

/* Return the part of the requests offered that were admitted. */
static double tally_rate(const struct tally *t)
{
	return t->offered > 0 ? t->admitted / t->offered : 1;
}

/*
 * Return the run times of the route that predict best, or NULL. Those without a
 * wait are exact, but during a long overload there are none.
 */
static const struct moments *route_runs(const struct route_state *r)
{
	bool calm_ended = r->scaled.at_ms - r->calm.at_ms > CALM_VALID_MS;

	if (r->calm.n >= RUNS_MIN && !calm_ended)
		return &r->calm;
	if (r->scaled.n >= RUNS_MIN || r->scaled.n > r->calm.n)
		return &r->scaled;
	return r->calm.n ? &r->calm : NULL;
}

/*
 * Return the mean run time of the service's requests by what this node admitted
 * lately, 0 if there are too few runs.
 */
static double service_run_ms(struct service_state *s, int64_t now_ms)
{
	double sum = 0, weights = 0, n = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->routes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct route_state *r = v;
		const struct moments *m = route_runs(r);

		if (!m)
			continue;
		tally_decay(&r->all, now_ms);
		n += m->n;
		sum += r->all.admitted * cautious_mean(m);
		weights += r->all.admitted;
	}
	if (n < RUNS_MIN || weights <= 0)
		return 0;
	return sum / weights * (s->speed.n ? MAX(s->speed.mean, SPEED_MIN) : 1);
}

/* Return the wait of a request that comes after a load. */
static double wait_behind(double load, const struct overload_view *v,
			  double run_ms)
{
	return MAX(load - v->slots, 0) / v->slots * run_ms;
}

/* Whether the view allows a prediction. */
static bool is_predictable(const struct overload_view *v)
{
	return v->slots > 0 && !v->unbounded &&
	       v->load_age_ms <= OVERLOAD_LOAD_AGE_MAX_MS;
}

/* Return how many priorities of the service are more urgent. */
static size_t more_urgent(const struct overload_service *s, int priority)
{
	size_t n = 0;

	for (int p = 0; p < priority && p < PRIORITIES; p++)
		n += s->priorities >> p & 1;
	return n;
}

/* Return the part of the latency target up to which a priority is admitted. */
static double priority_part(const struct overload_service *s, int priority)
{
	size_t level = more_urgent(s, priority);

	return priority_parts[MIN(level, G_N_ELEMENTS(priority_parts) - 1)];
}

/*
 * Update whether requests are refused by rank. The wait is that of the service.
 * Refusals end as soon as it falls below the limits of its requests, and may
 * begin again without the interval for RESUME_MS.
 */
static void note_wait(struct overload *o, struct service_state *state,
		      const struct overload_service *s, double wait_ms,
		      int64_t now_ms)
{
	double target_ms = (double)s->latency_target_ms;
	bool gap = now_ms - state->observed_ms > GAP_MAX_MS;

	state->observed_ms = now_ms;
	if (gap) {
		state->shedding = false;
		state->above_since_ms = 0;
	}
	if (wait_ms <= target_ms)
		state->above_since_ms = 0;
	else if (!state->above_since_ms)
		state->above_since_ms = now_ms;
	if (state->above_since_ms &&
	    now_ms - state->above_since_ms >= o->interval_ms)
		state->shedding = true;
	if (wait_ms > 0)
		state->short_ms = now_ms;
	else if (now_ms - state->short_ms > RESUME_MS)
		state->shedding = false;
}

bool overload_observe(struct overload *o, const struct overload_service *s,
		      const struct overload_view *v, int64_t now_ms)
{
	struct service_state *state = find_service(o, s->id, now_ms);
	double wait = 0;

	if (is_predictable(v))
		wait = wait_behind(v->load, v, service_run_ms(state, now_ms));
	note_wait(o, state, s, wait, now_ms);
	return wait > 0 || state->shedding;
}

/*
 * Return the wait up to which the request's priority is admitted. That of a
 * more urgent one is never lower: the service's target is the lowest.
 */
static double priority_limit_ms(const struct overload_service *s,
				const struct overload_request *r)
{
	int64_t target_ms = s->latency_target_ms;

	if (!more_urgent(s, r->priority))
		target_ms = MAX(target_ms, r->latency_target_ms);
	return priority_part(s, r->priority) * (double)target_ms;
}

/* Return the part of the limit that is left to a request with more work. */
static double work_part(const struct route_state *r, double tokens,
			bool most_urgent)
{
	double ratio, full;

	if (tokens <= 0 || r->work.n < RUNS_MIN || r->work.mean <= 0)
		return 1;
	ratio = tokens / r->work.mean;
	full = most_urgent ? WORK_FULL_URGENT : WORK_FULL;
	return CLAMP(1 - WORK_REDUCTION * log2(ratio / full), WORK_PART_MIN, 1);
}

/* Whether the organisation has more than its max-min share of admissions. */
static bool is_over_share(struct service_state *s, uint64_t organisation,
			  int64_t now_ms)
{
	size_t n = 0, own = 0, max = g_hash_table_size(s->organisations);
	struct fair_claimant *c = g_new0(struct fair_claimant, max);
	GHashTableIter it;
	double admitted = 0, total = 0;
	gpointer id, v;
	bool over;

	g_hash_table_iter_init(&it, s->organisations);
	while (g_hash_table_iter_next(&it, &id, &v)) {
		struct org_state *org = v;

		tally_decay(&org->all, now_ms);
		if (*(uint64_t *)id == organisation) {
			own = n;
			admitted = org->all.admitted;
		}
		total += org->all.admitted;
		c[n++] = (struct fair_claimant){.demand = org->all.offered,
						.weight = 1};
	}
	fair_shares(total, c, n);
	over = admitted > c[own].share + OVER_SHARE_SLACK;
	g_free(c);
	return over;
}

/* What is known of the request's route and organisation. */
struct context {
	struct service_state *service;
	struct route_state *route;
	struct org_state *org; /* NULL: none */
	bool large, small;     /* by its work among those of its route */
};

/* Return the wait up to which the request is admitted. */
static double limit_ms(const struct overload_service *s,
		       const struct context *c,
		       const struct overload_request *r, int64_t now_ms)
{
	double ms =
		priority_limit_ms(s, r) *
		work_part(c->route, r->tokens, !more_urgent(s, r->priority));

	if (c->org && c->service->shedding &&
	    is_over_share(c->service, r->organisation, now_ms))
		ms *= OVER_SHARE_PART;
	return ms;
}

/* Whether the group is admitted too seldom, by a random number. */
static bool is_below(const struct tally *group, const struct tally *whole,
		     double part, double chance)
{
	return group->admitted + chance <
	       part * tally_rate(whole) * group->offered;
}

/*
 * Whether a floor asks for the request. The random number rounds the expected
 * admissions: where a node sees few requests of a kind, most get none.
 */
static bool is_floor_due(struct overload *o, const struct context *c)
{
	double chance = o->random.next(o->random.ctx);
	double part = c->small ? FLOOR_SMALL_PART : FLOOR_PART;

	return is_below(&c->route->all, &c->service->all, part, chance) ||
	       (c->org &&
		is_below(&c->org->all, &c->service->all, part, chance)) ||
	       (c->large && is_below(&c->route->large, &c->route->all,
				     FLOOR_LARGE_PART, chance));
}

/* Update the estimates of the route's work with a request. */
static void note_work(struct route_state *r, double tokens, int64_t now_ms)
{
	double step;

	moments_add(&r->work, tokens, RUNS_MEMORY, now_ms);
	step = LARGE_STEP * r->work.mean;
	if (r->work.n <= 1)
		r->large_tokens = 2 * tokens;
	else if (tokens > r->large_tokens)
		r->large_tokens += (1 - LARGE_PART) * step;
	else
		r->large_tokens -= LARGE_PART * step;
}

static void tally_offer(struct tally *t, double n, int64_t now_ms)
{
	tally_decay(t, now_ms);
	t->offered += n;
}

/* Look up what the request belongs to and count it as offered. */
static struct context offer(struct overload *o, uint64_t service,
			    const struct overload_request *r, int64_t now_ms)
{
	struct context c = {.service = find_service(o, service, now_ms)};

	c.route = find_route(c.service, r->route, now_ms);
	c.large = r->tokens > 0 && c.route->work.n >= RUNS_MIN &&
		  r->tokens > c.route->large_tokens;
	c.small = r->tokens <= SMALL_PART * c.route->work.mean;
	if (r->tokens > 0)
		note_work(c.route, r->tokens, now_ms);
	if (r->organisation)
		c.org = find_org(c.service, r->organisation, now_ms);
	tally_offer(&c.service->all, 1, now_ms);
	tally_offer(&c.route->all, 1, now_ms);
	if (c.large)
		tally_offer(&c.route->large, 1, now_ms);
	if (c.org)
		tally_offer(&c.org->all, 1, now_ms);
	return c;
}

static void admit(const struct context *c, int priority, int64_t now_ms)
{
	const struct moments *m = route_runs(c->route);
	struct tally *t =
		&c->service->priorities[CLAMP(priority, 0, PRIORITIES - 1)];

	c->service->all.admitted++;
	c->route->all.admitted++;
	if (c->large)
		c->route->large.admitted++;
	if (c->org)
		c->org->all.admitted++;
	tally_decay(t, now_ms);
	t->admitted += m ? m->mean : 0;
}

/*
 * Return the parts of the load of priorities more urgent than this one and of
 * all up to it, by the run time that this node admitted lately.
 */
static void parts_ahead(struct service_state *s, int priority, double run_ms,
			int64_t now_ms, double *before, double *up_to)
{
	double all = AHEAD_PRIOR * run_ms;

	*before = 0;
	*up_to = 0;
	for (int p = 0; p < PRIORITIES; p++) {
		struct tally *t = &s->priorities[p];

		tally_decay(t, now_ms);
		all += t->admitted;
		if (p < priority)
			*before += t->admitted;
		if (p <= priority)
			*up_to += t->admitted;
	}
	*before /= all;
	*up_to /= all;
}

/*
 * Predict the wait of a request of the priority. Where targets order their
 * queues, only what is as urgent is served before it, and what is more urgent
 * goes on to take its part of the slots meanwhile.
 */
static double predict_wait(struct service_state *state,
			   const struct overload_service *s,
			   const struct overload_view *v, int priority,
			   double run_ms, int64_t now_ms)
{
	double before, up_to, left;

	if (!s->ordered || v->load <= v->slots)
		return wait_behind(v->load, v, run_ms);
	parts_ahead(state, priority, run_ms, now_ms, &before, &up_to);
	left = MAX(1 - before, SLOTS_LEFT_MIN);
	return wait_behind(v->load * up_to, v, run_ms) / left;
}

/* Whether the request would not be served before its deadline. */
static bool is_too_late(const struct context *c,
			const struct overload_request *r, double wait_ms,
			int64_t now_ms)
{
	const struct moments *m = route_runs(c->route);

	if (wait_ms <= 0)
		return false;
	return wait_ms + RUN_PART_MIN * (m ? cautious_mean(m) : 0) >
	       (double)(r->deadline_ms - now_ms);
}

/*
 * Return when there is room for the rank, plus a random part as wide as the
 * backlog, so that callers come back at the rate at which it is served.
 */
static int64_t retry_after(struct overload *o, const struct overload_verdict *v,
			   const struct overload_request *r, int64_t now_ms)
{
	double ms = MAX(v->wait_ms - v->limit_ms, 0) +
		    v->wait_ms * o->random.next(o->random.ctx);
	int64_t max = (r->deadline_ms - now_ms) / OVERLOAD_RETRY_PART;

	return MAX(MIN((int64_t)ms, max), OVERLOAD_RETRY_MIN_MS);
}

static struct overload_verdict refuse(struct overload *o,
				      struct overload_verdict v,
				      enum overload_reason reason,
				      const struct overload_request *r,
				      int64_t now_ms)
{
	v.reason = reason;
	v.retry_after_ms = retry_after(o, &v, r, now_ms);
	return v;
}

struct overload_verdict overload_decide(struct overload *o,
					const struct overload_service *s,
					const struct overload_view *v,
					const struct overload_request *r,
					int64_t now_ms)
{
	struct context c = offer(o, s->id, r, now_ms);
	struct overload_verdict verdict = {0};
	double run_ms, wait = 0;

	if (is_predictable(v)) {
		run_ms = service_run_ms(c.service, now_ms);
		wait = wait_behind(v->load, v, run_ms);
		verdict.wait_ms = predict_wait(c.service, s, v, r->priority,
					       run_ms, now_ms);
		verdict.pressure = v->load / v->slots;
	}
	note_wait(o, c.service, s, wait, now_ms);
	verdict.limit_ms = limit_ms(s, &c, r, now_ms);
	if (is_too_late(&c, r, verdict.wait_ms, now_ms))
		return refuse(o, verdict, OVERLOAD_DEADLINE, r, now_ms);
	if (c.service->shedding &&
	    MIN(wait, verdict.wait_ms) > verdict.limit_ms) {
		verdict.by_floor = is_floor_due(o, &c);
		if (!verdict.by_floor)
			return refuse(o, verdict, OVERLOAD_RANK, r, now_ms);
	}
	admit(&c, r->priority, now_ms);
	return verdict;
}

/* Compare a run with the mean of its route. */
static void note_speed(struct service_state *s, const struct route_state *r,
		       double ms, int64_t now_ms)
{
	const struct moments *m = route_runs(r);

	if (m && m->n >= RUNS_MIN && m->mean > 0)
		moments_add(&s->speed, CLAMP(ms / m->mean, 0, SPEED_MAX),
			    SPEED_MEMORY, now_ms);
}

void overload_record_run(struct overload *o, uint64_t service, uint64_t route,
			 const struct overload_run *run, int64_t now_ms)
{
	struct service_state *s = find_service(o, service, now_ms);
	struct route_state *r = find_route(s, route, now_ms);
	double ms = (double)run->ended_after_ms;

	if (run->pressure <= 0)
		return;
	if (run->pressure > 1) {
		/* It waited behind what was over the slots, then ran. */
		ms /= run->pressure;
		note_speed(s, r, ms, now_ms);
		moments_add(&r->scaled, ms, RUNS_MEMORY, now_ms);
		return;
	}
	if (run->waited)
		return;
	note_speed(s, r, ms, now_ms);
	moments_add(&r->calm, ms, RUNS_MEMORY, now_ms);
	moments_add(&r->begin, (double)run->began_after_ms, RUNS_MEMORY,
		    now_ms);
}

double overload_begin_ms(const struct overload *o, uint64_t service,
			 uint64_t route)
{
	const struct service_state *s =
		g_hash_table_lookup(o->services, &service);
	const struct route_state *r =
		s ? g_hash_table_lookup(s->routes, &route) : NULL;

	return r && r->begin.n ? r->begin.mean : -1;
}

static gboolean is_unused_route(gpointer id, gpointer v, gpointer now_ms)
{
	(void)id;
	return *(int64_t *)now_ms - ((struct route_state *)v)->used_ms >
	       UNUSED_MS;
}

static gboolean is_unused_org(gpointer id, gpointer v, gpointer now_ms)
{
	(void)id;
	return *(int64_t *)now_ms - ((struct org_state *)v)->used_ms >
	       UNUSED_MS;
}

static gboolean is_unused_service(gpointer id, gpointer v, gpointer now_ms)
{
	struct service_state *s = v;

	(void)id;
	g_hash_table_foreach_remove(s->routes, is_unused_route, now_ms);
	g_hash_table_foreach_remove(s->organisations, is_unused_org, now_ms);
	return *(int64_t *)now_ms - s->used_ms > UNUSED_MS;
}

void overload_sweep(struct overload *o, int64_t now_ms)
{
	g_hash_table_foreach_remove(o->services, is_unused_service, &now_ms);
}
