/*
 * Admission to the targets that this node owns: counts the work at each target,
 * compares it with a bound relative to the fleet's mean load, and decides on
 * requests. Work that other nodes admitted is inferred from load reports.
 */
#include <math.h>

#include "route/admit.h"

/* Weights of a new sample in the exponential moving averages. */
#define MEAN_WORK_ALPHA    0.02
#define REFUSAL_RATE_ALPHA 0.01
/* An observed mean is used only when above the totals' mean by this factor. */
#define OBSERVED_LOAD_MARGIN 1.04
/* Caps the refusal rate, so that retries spread at most 20 times as wide. */
#define REFUSAL_RATE_MAX 0.95

const struct admit_limits admit_limits_default = {
	.load_factor = 1.25,
	.cold_load_factor = 1.1,
	.join_headroom = 0.04,
	.min_bound = 32768,
	.max_target_work = 0,
	.share_reserve = 0.05,
	.queue_max = 64,
	.retry_min_ms = 250,
	.retry_spread_ms = 1000,
};

static void target_free(void *p)
{
	struct admit_target *t = p;

	g_array_unref(t->usage);
	g_array_unref(t->queue);
	g_free(t);
}

struct admit *admit_new(const struct admit_limits *limits,
			struct route_random random)
{
	struct admit *a = g_new0(struct admit, 1);

	a->limits = *limits;
	a->random = random;
	a->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   target_free);
	a->pending_refusals =
		g_array_new(FALSE, FALSE, sizeof(struct decision));
	return a;
}

void admit_set_load_factor(struct admit *a, double factor)
{
	a->limits.load_factor = factor;
}

void admit_free(struct admit *a)
{
	g_hash_table_unref(a->targets);
	g_array_unref(a->pending_refusals);
	g_free(a);
}

struct admit_target *admit_target_find(const struct admit *a, uint64_t target)
{
	return g_hash_table_lookup(a->targets, &target);
}

static struct admit_target *target_new(struct admit *a, uint64_t target)
{
	struct admit_target *t = g_new0(struct admit_target, 1);

	t->id = target;
	t->usage = g_array_new(FALSE, FALSE, sizeof(struct org_usage));
	t->queue = g_array_new(FALSE, FALSE, sizeof(struct queued_request));
	g_hash_table_insert(a->targets, &t->id, t);
	return t;
}

/*
 * Return the slot of now_ms. Slots skipped since the last call get the work in
 * progress, which did not change meanwhile.
 */
static struct history_slot *current_slot(struct admit_target *t, int64_t now_ms)
{
	int64_t n = MAX(now_ms / HISTORY_SLOT_MS, t->newest_slot);
	int64_t first = MAX(t->newest_slot + 1, n - HISTORY_SLOTS + 1);

	for (int64_t i = first; i <= n; i++)
		t->history[i % HISTORY_SLOTS] = (struct history_slot){
			.number = i, .requests = t->requests, .work = t->work};
	t->newest_slot = n;
	return &t->history[n % HISTORY_SLOTS];
}

/*
 * Return the slot of a time in the past, or the present work in progress when
 * the time is before the history or after the newest slot.
 */
static struct history_slot slot_at_time(const struct admit_target *t,
					int64_t ms)
{
	int64_t n = ms / HISTORY_SLOT_MS;
	const struct history_slot *s = &t->history[n % HISTORY_SLOTS];

	if (n <= t->newest_slot && s->number == n)
		return *s;
	return (struct history_slot){.requests = t->requests, .work = t->work};
}

/* Return the work admitted in the slot of that time and in later ones. */
static int64_t admitted_since(const struct admit_target *t, int64_t ms)
{
	int64_t sum = 0;

	for (int i = 0; i < HISTORY_SLOTS; i++)
		if (t->history[i].number >= ms / HISTORY_SLOT_MS)
			sum += t->history[i].admitted;
	return sum;
}

int64_t admit_target_load(const struct admit_target *t)
{
	return t->work + t->foreign_work;
}

static void set_owned(struct admit *a, struct admit_target *t, bool owned)
{
	if (t->owned == owned)
		return;
	t->owned = owned;
	a->owned_targets += owned ? 1 : -1;
	a->owned_work += owned ? admit_target_load(t) : -admit_target_load(t);
}

void admit_take_over(struct admit *a, uint64_t target, int64_t now_ms,
		     int64_t until_ms, unsigned sharers)
{
	struct admit_target *t = admit_target_find(a, target);

	if (!t)
		t = target_new(a, target);
	set_owned(a, t, true);
	t->took_over_ms = now_ms;
	t->handover_until_ms = until_ms;
	t->sharers = MAX(sharers, 1);
}

static void free_if_unused(struct admit *a, struct admit_target *t)
{
	if (!t->owned && t->requests == 0)
		g_hash_table_remove(a->targets, &t->id);
}

void admit_hand_over(struct admit *a, uint64_t target)
{
	struct admit_target *t = admit_target_find(a, target);

	if (!t || !t->owned)
		return;
	queue_refuse_all(a, t, t->newest_slot * HISTORY_SLOT_MS);
	set_owned(a, t, false);
	free_if_unused(a, t);
}

static void set_foreign_work(struct admit *a, struct admit_target *t,
			     int64_t work)
{
	if (t->owned)
		a->owned_work += work - t->foreign_work;
	t->foreign_work = work;
}

/*
 * Return the reported work that other nodes must have admitted: what exceeds
 * this node's own at the time of the report. Own work is the slot's peak, so
 * that a request that ended during the slot does not count as another node's.
 */
static int64_t estimate_foreign_work(const struct admit *a,
				     const struct admit_target *t,
				     const struct load_report *r)
{
	struct history_slot own = slot_at_time(t, r->taken_ms);
	int64_t requests = r->running + r->queued - own.requests;

	if (requests <= 0)
		return 0;
	return MAX((int64_t)((double)requests * a->mean_request_work),
		   r->work - own.work);
}

void admit_report(struct admit *a, const struct load_report *r, int64_t now_ms)
{
	struct admit_target *t = admit_target_find(a, r->target);

	if (!t || r->taken_ms < t->report.taken_ms)
		return;
	current_slot(t, now_ms);
	t->report = *r;
	set_foreign_work(a, t, estimate_foreign_work(a, t, r));
}

void admit_unreachable(struct admit *a, uint64_t target, int64_t now_ms)
{
	struct admit_target *t = admit_target_find(a, target);

	if (!t || !t->owned)
		return;
	t->unreachable_ms = now_ms;
	/* The cache may be lost: expect no reuse until one is reported. */
	t->eviction_age = (struct eviction_age){.known = true};
	queue_refuse_all(a, t, now_ms);
}

static bool is_reachable(const struct admit_target *t)
{
	return !t->unreachable_ms || t->report.taken_ms > t->unreachable_ms;
}

void admit_set_fleet_totals(struct admit *a, int64_t work, size_t targets)
{
	a->fleet_work = work;
	a->fleet_owned_work = a->owned_work;
	a->fleet_targets = targets;
}

void admit_owned_totals(const struct admit *a, int64_t *work, size_t *targets)
{
	*work = a->owned_work;
	*targets = a->owned_targets;
}

/*
 * Return the fleet's work: its totals with this node's part brought up to date,
 * or the observed mean load x targets when that shows that the totals lag.
 */
static double current_fleet_work(const struct admit *a, int64_t observed_load)
{
	double work =
		(double)(a->fleet_work - a->fleet_owned_work + a->owned_work);
	double by_observed = (double)observed_load * (double)a->fleet_targets;

	return by_observed > OBSERVED_LOAD_MARGIN * work ? by_observed : work;
}

/*
 * Return the load that a target may have: factor x the mean load after empty
 * targets have joined, so that a join leaves no target over the bound.
 */
static int64_t relative_bound(const struct admit *a, double factor,
			      int64_t observed_load)
{
	double n = (double)a->fleet_targets;
	double headroom = MAX(ceil(a->limits.join_headroom * n), 1);

	if (!a->fleet_targets)
		return INT64_MAX;
	return MAX((int64_t)(factor * current_fleet_work(a, observed_load) /
			     (n + headroom)),
		   a->limits.min_bound);
}

/*
 * Return whether the request may start whatever its size. An idle target always
 * takes one request, else a very large one could run nowhere; with
 * allow_oversize so does a target below the mean.
 */
static bool allows_oversize(const struct admit *a, int64_t load,
			    const struct admit_request *q)
{
	double n = (double)a->fleet_targets;

	return load == 0 ||
	       (q->allow_oversize &&
		(double)load * n <
			current_fleet_work(a, q->observed_mean_load));
}

int64_t admit_bound(const struct admit *a)
{
	int64_t bound = relative_bound(a, a->limits.load_factor, 0);

	return a->limits.max_target_work ? MIN(bound, a->limits.max_target_work)
					 : bound;
}

int64_t admit_load(const struct admit *a, uint64_t target)
{
	const struct admit_target *t = admit_target_find(a, target);

	return t && t->owned ? admit_target_load(t) : -1;
}

/*
 * Return whether the work fits into this node's part of the room while other
 * nodes may admit to the target too. Only a report taken after the change of
 * owner shows what the previous owner admitted, so there is no room before.
 */
static bool has_handover_room(const struct admit *a,
			      const struct admit_target *t, int64_t work)
{
	const struct load_report *r = &t->report;
	int64_t requests = r->running + r->queued;
	int64_t reported = MAX(
		(int64_t)((double)requests * a->mean_request_work), r->work);
	int64_t room = (admit_bound(a) - reported) / t->sharers;

	if (r->taken_ms < t->took_over_ms)
		return false;
	/* An idle target may take one request of any size. */
	if (!requests && !admitted_since(t, r->taken_ms))
		return true;
	return admitted_since(t, r->taken_ms) + work <= room;
}

static bool expects_reuse(const struct admit_target *t,
			  const struct admit_request *q)
{
	return q->reusable_tokens > 0 &&
	       eviction_age_predicts_hit(&t->eviction_age, q->reuse_age_ms);
}

int64_t admit_expected_work(const struct admit_target *t,
			    const struct admit_request *q)
{
	return expects_reuse(t, q) ? q->work - q->reusable_tokens : q->work;
}

static double load_factor_for(const struct admit *a,
			      const struct admit_target *t,
			      const struct admit_request *q)
{
	const struct admit_limits *l = &a->limits;

	return q->use_full_bound || expects_reuse(t, q)
		       ? l->load_factor
		       : MIN(l->cold_load_factor, l->load_factor);
}

enum refusal admit_target_check(const struct admit *a,
				const struct admit_target *t,
				const struct admit_request *q,
				int64_t queued_work, int64_t now_ms)
{
	double limit = (double)a->limits.max_target_work;
	double reserved = limit * a->limits.share_reserve;
	int64_t work = admit_expected_work(t, q);
	int64_t load = admit_target_load(t);
	int64_t new_load = load + work;

	if (now_ms < t->handover_until_ms && !has_handover_room(a, t, work))
		return REFUSAL_OVER_BOUND;
	if (limit > 0 && load > 0 && (double)new_load > limit)
		return REFUSAL_TARGET_FULL;
	if (new_load > relative_bound(a, load_factor_for(a, t, q),
				      q->observed_mean_load) &&
	    !allows_oversize(a, load, q))
		return REFUSAL_OVER_BOUND;
	/* The only organisation at a target borrows from no other. */
	if (limit > 0 && t->usage->len > 1 &&
	    (double)new_load > limit - reserved &&
	    !share_allows(a, t, q, queued_work))
		return REFUSAL_OVER_SHARE;
	return REFUSAL_NONE;
}

void admit_target_begin(struct admit *a, struct admit_target *t,
			const struct admit_request *q, int64_t now_ms)
{
	struct history_slot *s = current_slot(t, now_ms);
	int64_t work = admit_expected_work(t, q);

	t->work += work;
	t->requests++;
	a->owned_work += work;
	s->admitted += work;
	s->requests = MAX(s->requests, t->requests);
	s->work = MAX(s->work, t->work);
	share_charge(t, org_usage_get(t, q->organisation, q->weight), work);
	a->mean_request_work +=
		a->mean_request_work > 0
			? MEAN_WORK_ALPHA *
				  ((double)work - a->mean_request_work)
			: (double)work;
}

/*
 * The spread of the retry times grows with the refusal rate, so that refused
 * requests return at about the rate at which they can be served.
 */
void refuse_request(struct admit *a, const struct admit_request *q,
		    enum refusal why, int64_t now_ms, struct decision *d)
{
	double widening = 1 / (1 - MIN(a->refusal_rate, REFUSAL_RATE_MAX));
	double spread = (double)a->limits.retry_spread_ms * widening;
	const struct admit_target *t = admit_target_find(a, q->target);

	*d = (struct decision){
		.verdict = VERDICT_REFUSE,
		.refusal = why,
		.ticket = q->ticket,
		.target = q->target,
		.retry_at_ms =
			now_ms + a->limits.retry_min_ms +
			(int64_t)(spread * a->random.next(a->random.ctx)),
		.load = t ? admit_target_load(t) : 0,
	};
}

static void decide(struct admit *a, const struct admit_request *q,
		   int64_t now_ms, struct decision *d)
{
	struct admit_target *t = admit_target_find(a, q->target);
	enum refusal why;

	if (!t || !t->owned) {
		refuse_request(a, q, REFUSAL_NOT_OWNER, now_ms, d);
		return;
	}
	d->load = admit_target_load(t);
	if (!is_reachable(t)) {
		refuse_request(a, q, REFUSAL_TARGET_UNAVAILABLE, now_ms, d);
		return;
	}
	if (now_ms + q->run_ms > q->deadline_ms) {
		refuse_request(a, q, REFUSAL_DEADLINE, now_ms, d);
		return;
	}
	why = admit_target_check(a, t, q, 0, now_ms);
	if (why == REFUSAL_NONE && queue_precedes(a, t, q, now_ms))
		why = REFUSAL_OVER_BOUND;
	if (why) {
		queue_add(a, t, q, why, now_ms, d);
		return;
	}
	d->work = admit_expected_work(t, q);
	admit_target_begin(a, t, q, now_ms);
	d->verdict = VERDICT_ADMIT;
}

void admit_request(struct admit *a, const struct admit_request *q,
		   int64_t now_ms, struct decision *d)
{
	bool refused;

	*d = (struct decision){.ticket = q->ticket, .target = q->target};
	decide(a, q, now_ms, d);
	refused = d->verdict == VERDICT_REFUSE;
	a->refusal_rate +=
		REFUSAL_RATE_ALPHA * ((double)refused - a->refusal_rate);
}

void admit_done(struct admit *a, uint64_t target, uint32_t organisation,
		int64_t work, int64_t now_ms)
{
	struct admit_target *t = admit_target_find(a, target);
	struct org_usage *u;

	if (!t || t->requests == 0)
		return;
	current_slot(t, now_ms);
	work = MIN(work, t->work);
	t->requests--;
	t->work -= work;
	if (t->owned)
		a->owned_work -= work;
	u = org_usage_find(t, organisation);
	if (u) {
		u->work -= MIN(work, u->work);
		org_usage_update(t);
	}
	free_if_unused(a, t);
}

int64_t admit_correct_work(struct admit *a, const struct admit_request *q,
			   int64_t counted, int64_t reused)
{
	struct admit_target *t = admit_target_find(a, q->target);
	struct org_usage *u;
	int64_t change;

	if (!t || t->requests == 0)
		return counted;
	if (q->reusable_tokens > 0)
		eviction_age_update(&t->eviction_age, q->reuse_age_ms,
				    reused > 0);
	change = MAX(q->work - reused - counted, -t->work);
	t->work += change;
	if (t->owned)
		a->owned_work += change;
	u = org_usage_find(t, q->organisation);
	if (u)
		u->work = MAX(u->work + change, 0);
	return counted + change;
}
