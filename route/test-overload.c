/*
 * Decisions under overload: single ones, and a fleet of nodes with old views in
 * front of one service whose callers ask for several times its room. Time is
 * simulated.
 */
#include <math.h>
#include <stdio.h>

#include "route/overload.h"
#include "route/test-random.h"

#define SERVICE  1
#define INTERVAL 1000
#define RUN_MS   1000 /* of all routes, on the mean */
#define SEED     20261204

/* Classes of requests, from the most urgent one. */
static const struct class
{
	int priority;
	int64_t latency_target_ms, wait_ms; /* wait_ms: until the deadline */
	double part;                        /* of all requests */
} classes[] = {
	{0, 500, 4000, 0.25},
	{1, 1000, 6000, 0.45},
	{2, 2000, 15000, 0.3},
};
#define CLASSES G_N_ELEMENTS(classes)

static const struct overload_service service = {
	.id = SERVICE,
	.latency_target_ms = 500,
	.priorities = 7,
};

/* Seconds at a multiple of the room. */
struct phase {
	int seconds;
	double ratio;
};

enum policy {
	POLICY_SHED,
	POLICY_NAIVE, /* first come, first served, nothing is refused */
	/*
	 * A central queue that knows how long each one runs: by priority, then
	 * by deadline, without those that would not end in time, or not begin
	 * within their latency target.
	 */
	POLICY_KNOWN,
	POLICY_KNOWN_TARGET,
	POLICIES,
};

struct setup {
	const struct phase *phases;
	size_t phase_count;
	size_t nodes;
	int slots;
	int64_t lag_ms; /* age that views reach */
	bool ordered;
	int organisations;
	double first_org_factor; /* load of the first one, by the others' */
	bool mixed_work;
	bool first_is_last; /* the first organisation is always least urgent */
	double urgent_part; /* the others are least urgent; 0: as classes */
	int slow_from_s; /* from then on work takes twice as long; 0: never */
	unsigned seed;
};

struct job {
	size_t class;
	uint64_t organisation;
	double run_ms, tokens;
	int64_t arrived_ms, deadline_ms, began_ms, ended_ms, due_ms;
	size_t node;
	struct overload_verdict verdict;
	int refusals;
	bool large;
};

struct node {
	struct overload *o;
	int own;    /* requests in progress */
	int remote; /* of the others, when the view was refreshed */
	int64_t viewed_ms;
};

struct sim {
	const struct setup *setup;
	enum policy policy;
	GRand *rand;      /* of the requests: the same for all policies */
	GRand *decisions; /* of what nodes do */
	struct node *nodes;
	GPtrArray *jobs;
	GPtrArray *waiting, *running, *returning; /* struct job */
	int64_t now_ms;
	int in_progress;
	int decided;
	int64_t first_refusal_ms, last_refusal_ms; /* by rank */
	double idle_ms; /* of slots, while the ratio is above 1 */
	int deadline_refusals, rank_refusals, floors;
	/* Of the policies that know all, by class; [1]: the largest ones alone.
	 */
	int offered[CLASSES][2], started[CLASSES][2];
};

struct totals {
	int offered, served, on_target;
};

static double normal(GRand *r)
{
	double sum = 0;

	for (int i = 0; i < 12; i++)
		sum += g_rand_double(r);
	return sum - 6;
}

static struct job *job_new(struct sim *s)
{
	const struct setup *u = s->setup;
	struct job *j = g_new0(struct job, 1);
	double pick = g_rand_double(s->rand), hint, work;
	double orgs = u->organisations - 1 + u->first_org_factor;
	double at = g_rand_double(s->rand) * orgs;

	while (j->class < CLASSES - 1 && pick >= classes[j->class].part)
		pick -= classes[j->class ++].part;
	if (u->urgent_part > 0)
		j->class = g_rand_double(s->rand) < u->urgent_part
				   ? 0
				   : CLASSES - 1;
	at -= u->first_org_factor;
	j->organisation = at < 0 ? 1 : 2 + (uint64_t)at;
	if (u->first_is_last && j->organisation == 1)
		j->class = CLASSES - 1;
	work = u->mixed_work ? exp(0.6 * normal(s->rand) - 0.18) : 1;
	hint = exp(0.3 * normal(s->rand));
	j->run_ms = RUN_MS * work;
	if (u->slow_from_s && s->now_ms - 1000000 >= u->slow_from_s * 1000)
		j->run_ms *= 2;
	j->tokens = 1000 * work * hint;
	j->large = work > 1.8; /* the largest tenth */
	j->arrived_ms = s->now_ms;
	j->deadline_ms = s->now_ms + classes[j->class].wait_ms;
	j->node = (size_t)g_rand_int_range(s->rand, 0, (gint32)u->nodes);
	g_ptr_array_add(s->jobs, j);
	return j;
}

static struct overload_view view_of(const struct sim *s, const struct node *n)
{
	return (struct overload_view){
		.load = n->own + n->remote,
		.slots = s->setup->slots,
		.load_age_ms = s->now_ms - n->viewed_ms,
	};
}

static struct overload_request request_of(const struct job *j, size_t class)
{
	return (struct overload_request){
		.route = 10 + class,
		.organisation = j->organisation,
		.priority = classes[class].priority,
		.deadline_ms = j->deadline_ms,
		.latency_target_ms = classes[class].latency_target_ms,
		.tokens = j->tokens,
	};
}

static void enter(struct sim *s, struct job *j)
{
	s->offered[j->class][0]++;
	s->offered[j->class][1] += j->large;
	j->due_ms = s->now_ms;
	s->nodes[j->node].own++;
	s->in_progress++;
	g_ptr_array_add(s->waiting, j);
}

static struct overload_service service_of(const struct sim *s)
{
	struct overload_service v = service;

	v.ordered = s->setup->ordered;
	return v;
}

/* A job arrives, for the first time or after a refusal. */
static void arrive(struct sim *s, struct job *j)
{
	struct node *n = &s->nodes[j->node];
	struct overload_service v = service_of(s);
	struct overload_view view = view_of(s, n);
	struct overload_request r = request_of(j, j->class);

	if (s->policy != POLICY_SHED) {
		enter(s, j);
		return;
	}
	s->decided++;
	j->verdict = overload_decide(n->o, &v, &view, &r, s->now_ms);
	s->floors += j->verdict.by_floor;
	if (j->verdict.reason == OVERLOAD_ADMITTED) {
		enter(s, j);
		return;
	}
	if (j->verdict.reason == OVERLOAD_RANK) {
		s->rank_refusals++;
		s->last_refusal_ms = s->now_ms;
		if (!s->first_refusal_ms)
			s->first_refusal_ms = s->now_ms;
	} else {
		s->deadline_refusals++;
	}
	g_assert_cmpint(j->verdict.retry_after_ms, >=, OVERLOAD_RETRY_MIN_MS);
	g_assert_cmpint(j->verdict.retry_after_ms, <=,
			MAX((j->deadline_ms - s->now_ms) / OVERLOAD_RETRY_PART,
			    OVERLOAD_RETRY_MIN_MS));
	if (j->refusals++)
		return;
	/* Callers come back once, at any node. */
	j->due_ms = s->now_ms + j->verdict.retry_after_ms;
	j->node = (size_t)g_rand_int_range(s->decisions, 0,
					   (gint32)s->setup->nodes);
	g_ptr_array_add(s->returning, j);
}

/* A job leaves the targets. */
static void leave(struct sim *s, struct job *j)
{
	s->in_progress--;
	s->nodes[j->node].own--;
}

/*
 * Whether a policy that knows all owes the job's kind a start: the rules on
 * starvation ask for a quarter of the rate of all, and for the largest half of
 * their class's.
 */
static bool is_owed(const struct sim *s, const struct job *j)
{
	const int *offered = s->offered[j->class];
	const int *started = s->started[j->class];
	double all_offered = 0, all_started = 0;

	if (j->large)
		return started[1] * 2.0 * offered[0] <
		       1.0 * started[0] * offered[1];
	for (size_t c = 0; c < CLASSES; c++) {
		all_offered += s->offered[c][0];
		all_started += s->started[c][0];
	}
	return started[0] * 4.0 * all_offered < all_started * offered[0];
}

static bool knows_all(const struct sim *s)
{
	return s->policy == POLICY_KNOWN || s->policy == POLICY_KNOWN_TARGET;
}

/* Whether a job is taken from the queue before another one. */
static bool goes_before(const struct sim *s, const struct job *a,
			const struct job *b)
{
	int pa = classes[a->class].priority, pb = classes[b->class].priority;

	if (knows_all(s)) {
		bool owed = is_owed(s, a);

		if (owed != is_owed(s, b))
			return owed;
		if (pa == pb)
			return a->deadline_ms < b->deadline_ms;
	}
	if ((knows_all(s) || s->setup->ordered) && pa != pb)
		return pa < pb;
	return a->due_ms < b->due_ms;
}

static bool is_hopeless(const struct sim *s, const struct job *j)
{
	double need = knows_all(s) ? j->run_ms : 0;

	if (s->policy == POLICY_KNOWN_TARGET &&
	    s->now_ms - j->arrived_ms > classes[j->class].latency_target_ms)
		return true;
	return (double)s->now_ms + need > (double)j->deadline_ms;
}

static void drop_waiting(struct sim *s)
{
	for (guint i = 0; i < s->waiting->len;) {
		struct job *j = g_ptr_array_index(s->waiting, i);

		if (!is_hopeless(s, j)) {
			i++;
			continue;
		}
		leave(s, j);
		g_ptr_array_remove_index(s->waiting, i);
	}
}

static void start_jobs(struct sim *s)
{
	while (s->waiting->len && (int)s->running->len < s->setup->slots) {
		guint best = 0;
		struct job *j;

		for (guint i = 1; i < s->waiting->len; i++)
			if (goes_before(s, g_ptr_array_index(s->waiting, i),
					g_ptr_array_index(s->waiting, best)))
				best = i;
		j = g_ptr_array_remove_index(s->waiting, best);
		j->began_ms = s->now_ms;
		s->started[j->class][0]++;
		s->started[j->class][1] += j->large;
		g_ptr_array_add(s->running, j);
	}
}

static void end_jobs(struct sim *s)
{
	for (guint i = 0; i < s->running->len;) {
		struct job *j = g_ptr_array_index(s->running, i);
		bool done = (double)(s->now_ms - j->began_ms) >= j->run_ms;

		if (!done && s->now_ms < j->deadline_ms) {
			i++;
			continue;
		}
		leave(s, j);
		g_ptr_array_remove_index_fast(s->running, i);
		if (!done)
			continue;
		j->ended_ms = s->now_ms;
		if (s->policy == POLICY_SHED) {
			struct overload_run run = {
				.pressure = j->verdict.pressure,
				.began_after_ms = j->began_ms - j->due_ms,
				.ended_after_ms = s->now_ms - j->due_ms,
				.waited = s->in_progress > s->setup->slots,
			};

			overload_record_run(s->nodes[j->node].o, SERVICE,
					    10 + j->class, &run, s->now_ms);
		}
	}
}

static void refresh_views(struct sim *s)
{
	const struct setup *u = s->setup;
	struct overload_service v = service_of(s);

	for (size_t i = 0; i < u->nodes; i++) {
		struct node *n = &s->nodes[i];
		struct overload_view view;

		if ((s->now_ms + (int64_t)i * 37) % u->lag_ms == 0) {
			n->remote = s->in_progress - n->own;
			n->viewed_ms = s->now_ms;
		}
		if (s->policy != POLICY_SHED ||
		    (s->now_ms + (int64_t)i * 13) % 200)
			continue;
		view = view_of(s, n);
		overload_observe(n->o, &v, &view, s->now_ms);
	}
}

static void take_returning(struct sim *s)
{
	for (guint i = 0; i < s->returning->len;) {
		struct job *j = g_ptr_array_index(s->returning, i);

		if (j->due_ms > s->now_ms) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(s->returning, i);
		arrive(s, j);
	}
}

static void step(struct sim *s, double ratio)
{
	double expected = ratio * s->setup->slots / RUN_MS;

	s->now_ms++;
	end_jobs(s);
	drop_waiting(s);
	start_jobs(s);
	refresh_views(s);
	take_returning(s);
	/* Arrivals of a Poisson process, at most a few in each ms. */
	for (int i = 0; i < 10; i++)
		if (g_rand_double(s->rand) < expected / 10)
			arrive(s, job_new(s));
	start_jobs(s);
	if (ratio > 1)
		s->idle_ms += s->setup->slots - (int)s->running->len;
}

static struct sim *sim_run(const struct setup *u, enum policy policy)
{
	struct sim *s = g_new0(struct sim, 1);

	s->setup = u;
	s->policy = policy;
	s->rand = g_rand_new_with_seed(u->seed);
	s->decisions = g_rand_new_with_seed(u->seed + 1);
	s->nodes = g_new0(struct node, u->nodes);
	s->jobs = g_ptr_array_new_with_free_func(g_free);
	s->waiting = g_ptr_array_new();
	s->running = g_ptr_array_new();
	s->returning = g_ptr_array_new();
	s->now_ms = 1000000;
	for (size_t i = 0; i < u->nodes; i++) {
		s->nodes[i].o = overload_new(INTERVAL, random_of(s->decisions));
		s->nodes[i].viewed_ms = s->now_ms;
	}
	for (size_t p = 0; p < u->phase_count; p++)
		for (int i = 0; i < u->phases[p].seconds * 1000; i++)
			step(s, u->phases[p].ratio);
	return s;
}

static void sim_free(struct sim *s)
{
	for (size_t i = 0; i < s->setup->nodes; i++)
		overload_free(s->nodes[i].o);
	g_free(s->nodes);
	g_ptr_array_unref(s->jobs);
	g_ptr_array_unref(s->waiting);
	g_ptr_array_unref(s->running);
	g_ptr_array_unref(s->returning);
	g_rand_free(s->rand);
	g_rand_free(s->decisions);
	g_free(s);
}

typedef bool select_fn(const struct job *j, uint64_t arg);

static bool select_all(const struct job *j, uint64_t arg)
{
	(void)j;
	(void)arg;
	return true;
}

static bool select_class(const struct job *j, uint64_t arg)
{
	return j->class == arg;
}

static bool select_large(const struct job *j, uint64_t arg)
{
	return j->class == arg && j->large;
}

static bool select_org(const struct job *j, uint64_t arg)
{
	return j->organisation == arg;
}

/* Count the jobs that arrived in a time, given in s from the start. */
static struct totals count(const struct sim *s, int from_s, int to_s,
			   select_fn *select, uint64_t arg)
{
	struct totals t = {0};

	for (guint i = 0; i < s->jobs->len; i++) {
		const struct job *j = g_ptr_array_index(s->jobs, i);
		int64_t at = j->arrived_ms - 1000000;

		if (at < from_s * 1000 || at >= to_s * 1000 || !select(j, arg))
			continue;
		t.offered++;
		if (!j->ended_ms)
			continue;
		t.served++;
		t.on_target += j->began_ms - j->arrived_ms <=
			       classes[j->class].latency_target_ms;
	}
	return t;
}

static double rate(struct totals t)
{
	return t.offered ? (double)t.served / t.offered : 1;
}

static void print_shares(const char *what, const struct sim *s, int from_s,
			 int to_s)
{
	static const char *const names[] = {
		[POLICY_SHED] = "shed",
		[POLICY_NAIVE] = "first come",
		[POLICY_KNOWN] = "full knowledge",
		[POLICY_KNOWN_TARGET] = "full knowledge, by target",
	};
	struct totals all = count(s, from_s, to_s, select_all, 0);

	g_test_message("%s, %s: offered %d served in time %.3f begun by the "
		       "latency target %.3f; decided %d deadline %d rank %d "
		       "floor %d idle %.3f",
		       what, names[s->policy], all.offered, rate(all),
		       (double)all.on_target / all.offered, s->decided,
		       s->deadline_refusals, s->rank_refusals, s->floors,
		       s->idle_ms / 1000 / s->setup->slots / (to_s - from_s));
	for (size_t c = 0; c < CLASSES; c++) {
		struct totals t = count(s, from_s, to_s, select_class, c);
		struct totals l = count(s, from_s, to_s, select_large, c);

		g_test_message("  priority %d: served %.3f on target %.3f "
			       "largest served %.3f",
			       classes[c].priority, rate(t),
			       (double)t.on_target / MAX(t.offered, 1),
			       rate(l));
	}
}

static const struct phase overload_phases[] = {{20, 0.6}, {60, 3}, {30, 0.6}};

static struct setup standard_setup(void)
{
	return (struct setup){
		.phases = overload_phases,
		.phase_count = G_N_ELEMENTS(overload_phases),
		.nodes = 76,
		.slots = 200,
		.lag_ms = 500,
		.organisations = 24,
		.first_org_factor = 1,
		.mixed_work = true,
		.seed = SEED,
	};
}

/* Half of the value is left to what is begun late and ends in time. */
static double value(struct totals t)
{
	return (t.on_target + 0.5 * (t.served - t.on_target)) / t.offered;
}

/*
 * At three times the room callers get less than first come, first served would
 * give them, or under 0.9 of what the better of two orders gives that know
 * everything. In time means begun by the latency target. Late is worth half.
 */
static void check_shares(bool ordered)
{
	struct setup u = standard_setup();
	double got[POLICIES];
	double on_target[POLICIES];

	u.ordered = ordered;
	for (int p = 0; p < POLICIES; p++) {
		struct sim *s = sim_run(&u, p);
		struct totals t = count(s, 20, 80, select_all, 0);

		print_shares(ordered ? "by priority" : "first come", s, 20, 80);
		got[p] = value(t);
		on_target[p] = (double)t.on_target / t.offered;
		if (p == POLICY_SHED) {
			g_assert_cmpint(s->decided, >, 30000);
			/* No slot is left idle for want of requests. */
			g_assert_cmpfloat(s->idle_ms, <,
					  0.02 * 60000 * u.slots);
		}
		sim_free(s);
	}
	g_test_message("value: shed %.3f first come %.3f known %.3f %.3f",
		       got[POLICY_SHED], got[POLICY_NAIVE], got[POLICY_KNOWN],
		       got[POLICY_KNOWN_TARGET]);
	g_assert_cmpfloat(got[POLICY_SHED], >, 1.2 * got[POLICY_NAIVE]);
	g_assert_cmpfloat(
		got[POLICY_SHED], >=,
		0.9 * MAX(got[POLICY_KNOWN], got[POLICY_KNOWN_TARGET]));
	g_assert_cmpfloat(on_target[POLICY_SHED], >=,
			  0.9 * on_target[POLICY_KNOWN_TARGET]);
}

static void test_shares(void)
{
	check_shares(false);
}

static void test_shares_ordered(void)
{
	check_shares(true);
}

/* Targets become slower during an overload, and the prediction doesn't. */
static void test_slow_targets(void)
{
	struct setup u = standard_setup();
	double served[POLICIES];

	u.slow_from_s = 40;
	for (int p = 0; p < POLICIES; p++) {
		struct sim *s = sim_run(&u, p);

		print_shares("slow targets", s, 60, 80);
		served[p] = rate(count(s, 60, 80, select_all, 0));
		sim_free(s);
	}
	g_assert_cmpfloat(served[POLICY_SHED], >, 1.5 * served[POLICY_NAIVE]);
	g_assert_cmpfloat(served[POLICY_SHED], >=,
			  0.9 * served[POLICY_KNOWN_TARGET]);
}

/* Assert the rules on starvation over the time of the overload. */
static void assert_floors(const struct sim *s)
{
	double all = rate(count(s, 20, 80, select_all, 0));

	for (size_t c = 0; c < CLASSES; c++) {
		struct totals kind = count(s, 20, 80, select_class, c);
		struct totals large = count(s, 20, 80, select_large, c);

		g_assert_cmpfloat(rate(kind), >=, all / 4);
		g_assert_cmpfloat(rate(large), >=, rate(kind) / 2);
	}
	for (int i = 1; i <= s->setup->organisations; i++)
		g_assert_cmpfloat(
			rate(count(s, 20, 80, select_org, (uint64_t)i)), >=,
			all / 4);
}

/* A kind, its largest requests or an organisation starve. */
static void test_floors(void)
{
	for (int ordered = 0; ordered < 2; ordered++) {
		struct setup u = standard_setup();
		struct sim *s;

		u.ordered = ordered;
		s = sim_run(&u, POLICY_SHED);
		assert_floors(s);
		sim_free(s);
	}
}

/* Urgent requests alone take all the room, and the others get none. */
static void test_urgent_crowd(void)
{
	struct setup u = standard_setup();
	struct sim *s;

	u.urgent_part = 0.9;
	s = sim_run(&u, POLICY_SHED);
	print_shares("urgent crowd", s, 20, 80);
	g_assert_cmpfloat(rate(count(s, 20, 80, select_class, CLASSES - 1)), >=,
			  rate(count(s, 20, 80, select_all, 0)) / 4);
	sim_free(s);
}

/* An organisation whose requests are all least urgent gets nothing. */
static void test_least_urgent_organisation(void)
{
	struct setup u = standard_setup();
	double all, first;
	struct sim *s;

	u.first_is_last = true;
	u.first_org_factor = 5;
	u.nodes = 4;
	s = sim_run(&u, POLICY_SHED);
	all = rate(count(s, 20, 80, select_all, 0));
	first = rate(count(s, 20, 80, select_org, 1));
	g_test_message("least urgent organisation: %.3f of all %.3f", first,
		       all);
	g_assert_cmpfloat(first, >=, all / 4);
	sim_free(s);
}

/* An organisation with ten times its load takes the others' room. */
static void test_large_organisation(void)
{
	struct setup u = standard_setup();
	struct totals first, others = {0};
	struct sim *s;

	u.organisations = 8;
	u.first_org_factor = 10;
	u.nodes = 4;
	s = sim_run(&u, POLICY_SHED);
	first = count(s, 20, 80, select_org, 1);
	for (uint64_t i = 2; i <= 8; i++) {
		struct totals t = count(s, 20, 80, select_org, i);

		others.offered += t.offered;
		others.served += t.served;
	}
	g_test_message("ten times the load: served %.3f, others %.3f",
		       rate(first), rate(others));
	g_assert_cmpfloat(rate(others), >, 1.5 * rate(first));
	assert_floors(s);
	sim_free(s);
}

/* Requests are refused by rank long after the overload has ended. */
static void test_recovery(void)
{
	struct setup u = standard_setup();
	struct sim *s = sim_run(&u, POLICY_SHED);

	g_assert_cmpint(s->rank_refusals, >, 0);
	g_assert_cmpint(s->last_refusal_ms, <=, 1000000 + 80000 + 2000);
	sim_free(s);
}

/* A burst of less than a second leads to refusals. */
static void test_short_burst(void)
{
	static const struct phase phases[] = {{20, 0.6}, {1, 1.45}, {10, 0.3}};
	struct setup u = standard_setup();
	struct sim *s;

	u.phases = phases;
	u.phase_count = G_N_ELEMENTS(phases);
	s = sim_run(&u, POLICY_SHED);
	g_assert_cmpint(s->rank_refusals + s->deadline_refusals, ==, 0);
	sim_free(s);
}

/* A service that is never short of room is served otherwise than before. */
static void test_room(void)
{
	static const struct phase phases[] = {{60, 0.8}};
	struct setup u = standard_setup();
	struct sim *s;

	u.phases = phases;
	u.phase_count = G_N_ELEMENTS(phases);
	s = sim_run(&u, POLICY_SHED);
	g_assert_cmpint(s->rank_refusals + s->deadline_refusals, ==, 0);
	sim_free(s);
}

/* A node alone with a service of which it knows how long requests run. */
struct fixture {
	struct overload *o;
	GRand *rand;
	int64_t now_ms;
};

static struct fixture fixture_new(int runs)
{
	struct fixture f = {.rand = g_rand_new_with_seed(SEED),
			    .now_ms = 5000000};
	struct overload_run run = {.pressure = 0.5,
				   .began_after_ms = 50,
				   .ended_after_ms = RUN_MS};
	struct overload_view view = {.load = 10, .slots = 100};

	f.o = overload_new(INTERVAL, random_of(f.rand));
	for (int i = 0; i < runs; i++) {
		size_t c = (size_t)i % CLASSES;
		struct job j = {.organisation = 1, .tokens = 1000};
		struct overload_request r;

		j.deadline_ms = f.now_ms + 60000;
		r = request_of(&j, c);
		overload_decide(f.o, &service, &view, &r, f.now_ms);
		overload_record_run(f.o, SERVICE, 10 + c, &run, f.now_ms);
	}
	return f;
}

static void fixture_free(struct fixture *f)
{
	overload_free(f->o);
	g_rand_free(f->rand);
}

/* A request of a class that waits for a time at most. */
static struct overload_verdict decide(struct fixture *f,
				      const struct overload_view *view,
				      size_t class, int64_t wait_ms,
				      double tokens)
{
	struct job j = {.organisation = 1, .tokens = tokens};
	struct overload_request r;

	j.deadline_ms = f->now_ms + wait_ms;
	r = request_of(&j, class);
	return overload_decide(f->o, &service, view, &r, f->now_ms);
}

/* Observe a state for a time. */
static void observe_for(struct fixture *f, const struct overload_view *view,
			int64_t ms)
{
	int64_t end = f->now_ms + ms;

	for (; f->now_ms < end; f->now_ms += 100)
		overload_observe(f->o, &service, view, f->now_ms);
}

/* The wait is not (load - slots) / slots x run time. */
static void test_prediction(void)
{
	struct fixture f = fixture_new(30);
	struct overload_view view = {.load = 250, .slots = 100};
	struct overload_verdict v = decide(&f, &view, 0, 60000, 1000);

	g_assert_cmpfloat_with_epsilon(v.wait_ms, 1500, 1);
	g_assert_cmpint(v.reason, ==, OVERLOAD_ADMITTED);
	fixture_free(&f);
}

/* What can't be served before its deadline is sent all the same. */
static void test_deadline(void)
{
	struct fixture f = fixture_new(30);
	struct overload_view view = {.load = 250, .slots = 100};

	g_assert_cmpint(decide(&f, &view, 0, 1400, 1000).reason, ==,
			OVERLOAD_DEADLINE);
	g_assert_cmpint(decide(&f, &view, 0, 2100, 1000).reason, ==,
			OVERLOAD_ADMITTED);
	/* Not by a deadline alone, when nothing waits. */
	view.load = 100;
	g_assert_cmpint(decide(&f, &view, 0, 30, 1000).reason, ==,
			OVERLOAD_ADMITTED);
	fixture_free(&f);
}

/* The prediction follows only after many runs that targets are slower. */
static void test_speed(void)
{
	struct fixture f = fixture_new(30);
	struct overload_view view = {.load = 200, .slots = 100};
	struct overload_run run = {.pressure = 0.5,
				   .began_after_ms = 50,
				   .ended_after_ms = 2 * RUN_MS};

	for (size_t i = 0; i < 20; i++)
		overload_record_run(f.o, SERVICE, 10 + i % CLASSES, &run,
				    f.now_ms);
	g_assert_cmpfloat(decide(&f, &view, 0, 60000, 1000).wait_ms, >,
			  1.6 * RUN_MS);
	fixture_free(&f);
}

/* Return the wait that is predicted after runs of differing times. */
static double wait_after_runs(int runs)
{
	struct fixture f = fixture_new(0);
	struct overload_view calm = {.load = 10, .slots = 100};
	struct overload_view full = {.load = 200, .slots = 100};
	double wait;

	for (int i = 0; i < runs; i++) {
		size_t c = (size_t)i % CLASSES;
		struct overload_run run = {
			.pressure = 0.5,
			.ended_after_ms = RUN_MS / 2 * (i % 2 ? 3 : 1),
		};

		decide(&f, &calm, c, 60000, 1000);
		overload_record_run(f.o, SERVICE, 10 + c, &run, f.now_ms);
	}
	wait = decide(&f, &full, 0, 60000, 1000).wait_ms;
	fixture_free(&f);
	return wait;
}

/* A mean over few runs, which may be far too high, predicts as one of many. */
static void test_few_runs(void)
{
	g_assert_cmpfloat(wait_after_runs(12), <, 0.85 * RUN_MS);
	g_assert_cmpfloat(wait_after_runs(300), >, 0.85 * RUN_MS);
	g_assert_cmpfloat(wait_after_runs(300), <, 1.1 * RUN_MS);
}

/* With too few runs, or without slots or reports, a guess refuses requests. */
static void test_unknown(void)
{
	struct overload_view full = {.load = 900, .slots = 100};
	struct overload_view views[] = {
		{.load = 900, .slots = 0},
		{.load = 900, .slots = 100, .unbounded = true},
		{.load = 900, .slots = 100, .load_age_ms = 3001},
	};
	struct fixture f = fixture_new(2);

	observe_for(&f, &full, 3000);
	g_assert_cmpint(decide(&f, &full, 2, 100, 9000).reason, ==,
			OVERLOAD_ADMITTED);
	fixture_free(&f);
	for (size_t i = 0; i < G_N_ELEMENTS(views); i++) {
		f = fixture_new(30);
		observe_for(&f, &views[i], 3000);
		g_assert_cmpint(decide(&f, &views[i], 2, 100, 9000).reason, ==,
				OVERLOAD_ADMITTED);
		fixture_free(&f);
	}
}

/* Refusals by rank begin before the interval, or end late. */
static void test_interval(void)
{
	struct fixture f = fixture_new(30);
	struct overload_view full = {.load = 200, .slots = 100};
	struct overload_view calm = {.load = 90, .slots = 100};

	observe_for(&f, &full, 900);
	g_assert_cmpint(decide(&f, &full, 2, 60000, 1000).reason, ==,
			OVERLOAD_ADMITTED);
	observe_for(&f, &calm, 100);
	observe_for(&f, &full, 900);
	g_assert_cmpint(decide(&f, &full, 2, 60000, 1000).reason, ==,
			OVERLOAD_ADMITTED);
	observe_for(&f, &full, 200);
	for (int i = 0; i < 40; i++)
		decide(&f, &full, 2, 60000, 1000);
	g_assert_cmpint(decide(&f, &full, 2, 60000, 1000).reason, ==,
			OVERLOAD_RANK);
	observe_for(&f, &calm, 100);
	for (int i = 0; i < 40; i++)
		g_assert_cmpint(decide(&f, &calm, 2, 60000, 9000).reason, ==,
				OVERLOAD_ADMITTED);
	/* Later a short burst is served as if there had been no overload. */
	observe_for(&f, &calm, 3500);
	observe_for(&f, &full, 900);
	for (int i = 0; i < 40; i++)
		g_assert_cmpint(decide(&f, &full, 2, 60000, 1000).reason, ==,
				OVERLOAD_ADMITTED);
	fixture_free(&f);
}

/* A node that was paused refuses by what it saw before. */
static void test_pause(void)
{
	struct fixture f = fixture_new(30);
	struct overload_view full = {.load = 200, .slots = 100};

	observe_for(&f, &full, 900);
	f.now_ms += 5000;
	for (int i = 0; i < 40; i++)
		g_assert_cmpint(decide(&f, &full, 2, 60000, 1000).reason, ==,
				OVERLOAD_ADMITTED);
	fixture_free(&f);
	f = fixture_new(30);
	observe_for(&f, &full, 2000);
	f.now_ms += 5000;
	for (int i = 0; i < 40; i++)
		g_assert_cmpint(decide(&f, &full, 2, 60000, 1000).reason, ==,
				OVERLOAD_ADMITTED);
	fixture_free(&f);
}

/*
 * A request is refused while a less urgent one of the same work is admitted at
 * the same moment. Admissions by a floor are another rule.
 */
static void test_priority_order(void)
{
	struct fixture f = fixture_new(300);
	int refused[CLASSES] = {0}, admitted[CLASSES] = {0};

	for (int i = 0; i < 20000; i++) {
		double load = 150 + 65 * sin(i / 400.0) +
			      g_rand_double_range(f.rand, -10, 10);
		double tokens = exp(g_rand_double_range(f.rand, 5, 9));
		struct overload_view view = {.load = load, .slots = 100};
		bool urgent_refused = false;

		f.now_ms += 20;
		for (size_t c = 0; c < CLASSES; c++) {
			struct overload_verdict v =
				decide(&f, &view, c, 60000, tokens);
			bool ok = v.reason == OVERLOAD_ADMITTED;

			refused[c] += !ok;
			admitted[c] += ok;
			if (ok && !v.by_floor)
				g_assert_false(urgent_refused);
			urgent_refused |= !ok;
			if (load <= 100)
				g_assert_true(ok);
		}
	}
	g_assert_cmpint(refused[0], >, 0);
	g_assert_cmpint(refused[1], >, refused[0]);
	g_assert_cmpint(refused[2], >, refused[1]);
	g_assert_cmpint(admitted[2], >, 0);
	fixture_free(&f);
}

/*
 * Urgent requests are refused for a queue that they overtake at the target, or
 * for want of time to wait behind it.
 */
static void test_overtaking(void)
{
	struct fixture f = fixture_new(300);
	struct overload_service ordered = service;
	struct overload_view view = {.load = 260, .slots = 100};

	/* A third of the requests is urgent: less than the slots. */
	ordered.ordered = true;
	for (int i = 0; i < 600; i++) {
		struct job j = {.organisation = 1, .tokens = 1000};
		struct overload_request r;
		struct overload_verdict v;

		f.now_ms += 10;
		j.deadline_ms = f.now_ms + (i % 3 ? 60000 : 1200);
		r = request_of(&j, (size_t)i % 3);
		v = overload_decide(f.o, &ordered, &view, &r, f.now_ms);
		if (!(i % 3))
			g_assert_cmpint(v.reason, ==, OVERLOAD_ADMITTED);
		if (i > 300 && i % 3 && v.reason == OVERLOAD_ADMITTED)
			g_assert_true(v.by_floor);
	}
	fixture_free(&f);
}

/* Retry-After sends all callers back at once, or too late for them. */
static void test_retry_after(void)
{
	struct fixture f = fixture_new(30);
	struct overload_view full = {.load = 400, .slots = 100};
	int64_t least = INT64_MAX, most = 0;

	for (int i = 0; i < 300; i++) {
		struct overload_verdict v = decide(&f, &full, 0, 2900, 1000);

		g_assert_cmpint(v.reason, ==, OVERLOAD_DEADLINE);
		g_assert_cmpint(v.retry_after_ms, <=, 2900 / 3);
		g_assert_cmpint(v.retry_after_ms, >=, 100);
	}
	observe_for(&f, &full, 1500);
	for (int i = 0; i < 300; i++) {
		struct overload_verdict v = decide(&f, &full, 0, 60000, 1000);

		if (v.reason == OVERLOAD_ADMITTED)
			continue;
		least = MIN(least, v.retry_after_ms);
		most = MAX(most, v.retry_after_ms);
	}
	/* The wait is 3,000 ms, room comes at 2,500 ms. */
	g_assert_cmpint(least, >=, 2400);
	g_assert_cmpint(least, <, 3000);
	g_assert_cmpint(most, >, 5000);
	g_assert_cmpint(most, <=, 5700);
	fixture_free(&f);
}

/* A node that starts within an overload never learns how long requests run. */
static void test_start_in_overload(void)
{
	struct fixture f = fixture_new(0);
	struct overload_view full = {.load = 300, .slots = 100};
	struct overload_run run = {.pressure = 3,
				   .waited = true,
				   .began_after_ms = 2 * RUN_MS,
				   .ended_after_ms = 3 * RUN_MS};

	for (int i = 0; i < 30; i++) {
		decide(&f, &full, 0, 60000, 1000);
		overload_record_run(f.o, SERVICE, 10, &run, f.now_ms);
	}
	g_assert_cmpfloat_with_epsilon(
		decide(&f, &full, 0, 60000, 1000).wait_ms, 2 * RUN_MS, 10);
	g_assert_cmpfloat(overload_begin_ms(f.o, SERVICE, 10), <, 0);
	fixture_free(&f);
}

/* What is no longer used takes memory for ever. */
static void test_sweep(void)
{
	struct fixture f = fixture_new(30);

	g_assert_cmpfloat(overload_begin_ms(f.o, SERVICE, 10), >, 0);
	overload_sweep(f.o, f.now_ms + 1000);
	g_assert_cmpfloat(overload_begin_ms(f.o, SERVICE, 10), >, 0);
	overload_sweep(f.o, f.now_ms + 1000000);
	g_assert_cmpfloat(overload_begin_ms(f.o, SERVICE, 10), <, 0);
	fixture_free(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/overload/prediction", test_prediction);
	g_test_add_func("/overload/deadline", test_deadline);
	g_test_add_func("/overload/speed", test_speed);
	g_test_add_func("/overload/few-runs", test_few_runs);
	g_test_add_func("/overload/unknown", test_unknown);
	g_test_add_func("/overload/interval", test_interval);
	g_test_add_func("/overload/pause", test_pause);
	g_test_add_func("/overload/priority-order", test_priority_order);
	g_test_add_func("/overload/overtaking", test_overtaking);
	g_test_add_func("/overload/retry-after", test_retry_after);
	g_test_add_func("/overload/start-in-overload", test_start_in_overload);
	g_test_add_func("/overload/sweep", test_sweep);
	g_test_add_func("/overload/room", test_room);
	g_test_add_func("/overload/short-burst", test_short_burst);
	g_test_add_func("/overload/recovery", test_recovery);
	g_test_add_func("/overload/floors", test_floors);
	g_test_add_func("/overload/urgent-crowd", test_urgent_crowd);
	g_test_add_func("/overload/least-urgent-organisation",
			test_least_urgent_organisation);
	g_test_add_func("/overload/large-organisation",
			test_large_organisation);
	g_test_add_func("/overload/slow-targets", test_slow_targets);
	g_test_add_func("/overload/shares", test_shares);
	g_test_add_func("/overload/shares-ordered", test_shares_ordered);
	return g_test_run();
}
