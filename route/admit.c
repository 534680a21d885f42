#include <math.h>

#include "route/admit.h"

#define WORK_SMOOTH   0.02 /* weight of one request in the mean work */
#define REFUSE_SMOOTH 0.01 /* weight of one ask in the refused part */
#define SEEN_RATIO    1.04 /* of the mean seen to that of the sums */
#define REFUSED_MAX   0.95 /* so that the spread is at most 20 times as wide */

const struct admit_limits admit_limits_default = {
	.load_factor = 1.25,
	.fresh_factor = 1.1,
	.join_reserve = 0.04,
	.floor_work = 32768,
	.target_work = 0,
	.share_reserve = 0.05,
	.queue_max = 64,
	.retry_min_ms = 250,
	.retry_spread_ms = 1000,
};

static void free_counted(void *p)
{
	struct counted *t = p;

	g_array_unref(t->usage);
	g_array_unref(t->waiting);
	g_free(t);
}

struct admit *admit_new(const struct admit_limits *limits,
			struct route_random random)
{
	struct admit *a = g_new0(struct admit, 1);

	a->limits = *limits;
	a->random = random;
	a->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   free_counted);
	a->refused = g_array_new(FALSE, FALSE, sizeof(struct decision));
	return a;
}

void admit_set_load_factor(struct admit *a, double factor)
{
	a->limits.load_factor = factor;
}

void admit_free(struct admit *a)
{
	g_hash_table_unref(a->targets);
	g_array_unref(a->refused);
	g_free(a);
}

struct counted *counted_find(const struct admit *a, uint64_t target)
{
	return g_hash_table_lookup(a->targets, &target);
}

static struct counted *counted_new(struct admit *a, uint64_t target)
{
	struct counted *t = g_new0(struct counted, 1);

	t->id = target;
	t->usage = g_array_new(FALSE, FALSE, sizeof(struct usage));
	t->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiting));
	g_hash_table_insert(a->targets, &t->id, t);
	return t;
}

/* The slot of now; those that were skipped had the same requests. */
static struct slot *slot_now(struct counted *t, int64_t now_ms)
{
	int64_t n = MAX(now_ms / SLOT_MS, t->last_slot);
	int64_t first = MAX(t->last_slot + 1, n - SLOTS_KEPT + 1);

	for (int64_t i = first; i <= n; i++)
		t->slots[i % SLOTS_KEPT] = (struct slot){
			.number = i, .requests = t->requests, .work = t->work};
	t->last_slot = n;
	return &t->slots[n % SLOTS_KEPT];
}

/* The most of about that time; what is now when it is long ago. */
static struct slot slot_at(const struct counted *t, int64_t ms)
{
	int64_t n = ms / SLOT_MS;
	const struct slot *s = &t->slots[n % SLOTS_KEPT];

	if (n <= t->last_slot && s->number == n)
		return *s;
	return (struct slot){.requests = t->requests, .work = t->work};
}

/* Work admitted in the slot of that time and after it. */
static int64_t admitted_since(const struct counted *t, int64_t ms)
{
	int64_t sum = 0;

	for (int i = 0; i < SLOTS_KEPT; i++)
		if (t->slots[i].number >= ms / SLOT_MS)
			sum += t->slots[i].admitted;
	return sum;
}

int64_t counted_load(const struct counted *t)
{
	return t->work + t->foreign;
}

static void set_mine(struct admit *a, struct counted *t, bool mine)
{
	if (t->mine == mine)
		return;
	t->mine = mine;
	a->own_targets += mine ? 1 : -1;
	a->own_work += mine ? counted_load(t) : -counted_load(t);
}

void admit_take_over(struct admit *a, uint64_t target, int64_t now_ms,
		     int64_t until_ms, unsigned sharers)
{
	struct counted *t = counted_find(a, target);

	if (!t)
		t = counted_new(a, target);
	set_mine(a, t, true);
	t->took_over_ms = now_ms;
	t->until_ms = until_ms;
	t->sharers = MAX(sharers, 1);
}

static void forget_if_unused(struct admit *a, struct counted *t)
{
	if (!t->mine && t->requests == 0)
		g_hash_table_remove(a->targets, &t->id);
}

void admit_give_up(struct admit *a, uint64_t target)
{
	struct counted *t = counted_find(a, target);

	if (!t || !t->mine)
		return;
	queue_drop(a, t, t->last_slot * SLOT_MS);
	set_mine(a, t, false);
	forget_if_unused(a, t);
}

static void set_foreign(struct admit *a, struct counted *t, int64_t work)
{
	if (t->mine)
		a->own_work += work - t->foreign;
	t->foreign = work;
}

/* What the report shows beyond what was admitted here. */
static int64_t foreign_work(const struct admit *a, const struct counted *t,
			    const struct load_report *r)
{
	struct slot own = slot_at(t, r->taken_ms);
	int64_t requests = r->running + r->queued - own.requests;

	if (requests <= 0)
		return 0;
	return MAX((int64_t)((double)requests * a->request_work),
		   r->work - own.work);
}

void admit_report(struct admit *a, const struct load_report *r, int64_t now_ms)
{
	struct counted *t = counted_find(a, r->target);

	if (!t || r->taken_ms < t->report.taken_ms)
		return;
	slot_now(t, now_ms);
	t->report = *r;
	set_foreign(a, t, foreign_work(a, t, r));
}

void admit_unreachable(struct admit *a, uint64_t target, int64_t now_ms)
{
	struct counted *t = counted_find(a, target);

	if (!t || !t->mine)
		return;
	t->unreachable_ms = now_ms;
	t->reuse_age = (struct reuse_age){.known = true};
	queue_drop(a, t, now_ms);
}

static bool is_reachable(const struct counted *t)
{
	return !t->unreachable_ms || t->report.taken_ms > t->unreachable_ms;
}

void admit_set_fleet(struct admit *a, int64_t work, size_t targets)
{
	a->fleet_work = work;
	a->fleet_own = a->own_work;
	a->fleet_targets = targets;
}

void admit_sums(const struct admit *a, int64_t *work, size_t *targets)
{
	*work = a->own_work;
	*targets = a->own_targets;
}

/* Work of the fleet; seen counts when it shows that the sums lag behind. */
static double fleet_work(const struct admit *a, int64_t seen)
{
	double work = (double)(a->fleet_work - a->fleet_own + a->own_work);
	double by_seen = (double)seen * (double)a->fleet_targets;

	return by_seen > SEEN_RATIO * work ? by_seen : work;
}

/* Bound by the mean that the fleet would have if empty targets joined. */
static int64_t relative_bound(const struct admit *a, double factor,
			      int64_t seen)
{
	double n = (double)a->fleet_targets;
	double join = MAX(ceil(a->limits.join_reserve * n), 1);

	if (!a->fleet_targets)
		return INT64_MAX;
	return MAX((int64_t)(factor * fleet_work(a, seen) / (n + join)),
		   a->limits.floor_work);
}

/* The bound is never less than one whole request at an idle target. */
static bool takes_any_size(const struct admit *a, int64_t load,
			   const struct admit_ask *q)
{
	double n = (double)a->fleet_targets;

	return load == 0 ||
	       (q->any_size && (double)load * n < fleet_work(a, q->seen_load));
}

int64_t admit_bound(const struct admit *a)
{
	int64_t bound = relative_bound(a, a->limits.load_factor, 0);

	return a->limits.target_work ? MIN(bound, a->limits.target_work)
				     : bound;
}

int64_t admit_load(const struct admit *a, uint64_t target)
{
	const struct counted *t = counted_find(a, target);

	return t && t->mine ? counted_load(t) : -1;
}

/*
 * While others may admit to the target too: this node's part of what a report
 * from after the change leaves free.
 */
static bool has_part(const struct admit *a, const struct counted *t,
		     int64_t work)
{
	const struct load_report *r = &t->report;
	int64_t requests = r->running + r->queued;
	int64_t reported =
		MAX((int64_t)((double)requests * a->request_work), r->work);
	int64_t part = (admit_bound(a) - reported) / t->sharers;

	if (r->taken_ms < t->took_over_ms)
		return false;
	/* An empty target may take one request of any size. */
	if (!requests && !admitted_since(t, r->taken_ms))
		return true;
	return admitted_since(t, r->taken_ms) + work <= part;
}

static bool is_reused(const struct counted *t, const struct admit_ask *q)
{
	return q->reuse > 0 &&
	       reuse_age_expects(&t->reuse_age, q->reuse_age_ms);
}

int64_t counted_work(const struct counted *t, const struct admit_ask *q)
{
	return is_reused(t, q) ? q->work - q->reuse : q->work;
}

static double factor_of(const struct admit *a, const struct counted *t,
			const struct admit_ask *q)
{
	const struct admit_limits *l = &a->limits;

	return q->whole_bound || is_reused(t, q)
		       ? l->load_factor
		       : MIN(l->fresh_factor, l->load_factor);
}

enum refusal counted_room(const struct admit *a, const struct counted *t,
			  const struct admit_ask *q, int64_t waiting,
			  int64_t now_ms)
{
	double full = (double)a->limits.target_work;
	double kept = full * a->limits.share_reserve;
	int64_t work = counted_work(t, q);
	int64_t load = counted_load(t);
	int64_t after = load + work;

	if (now_ms < t->until_ms && !has_part(a, t, work))
		return REFUSAL_NO_ROOM;
	if (full > 0 && load > 0 && (double)after > full)
		return REFUSAL_FULL;
	if (after > relative_bound(a, factor_of(a, t, q), q->seen_load) &&
	    !takes_any_size(a, load, q))
		return REFUSAL_NO_ROOM;
	/* Alone at the target, an organisation borrows nothing. */
	if (full > 0 && t->usage->len > 1 && (double)after > full - kept &&
	    !share_allows(a, t, q, waiting))
		return REFUSAL_OVER_SHARE;
	return REFUSAL_NONE;
}

void counted_add(struct admit *a, struct counted *t, const struct admit_ask *q,
		 int64_t now_ms)
{
	struct slot *s = slot_now(t, now_ms);
	int64_t work = counted_work(t, q);

	t->work += work;
	t->requests++;
	a->own_work += work;
	s->admitted += work;
	s->requests = MAX(s->requests, t->requests);
	s->work = MAX(s->work, t->work);
	share_charge(t, usage_get(t, q->organisation, q->weight), work);
	a->request_work +=
		a->request_work > 0
			? WORK_SMOOTH * ((double)work - a->request_work)
			: (double)work;
}

/*
 * The more is refused, the later those refused come back, so that they return
 * at about the rate at which they can be served.
 */
void refuse(struct admit *a, const struct admit_ask *q, enum refusal why,
	    int64_t now_ms, struct decision *d)
{
	double wide = 1 / (1 - MIN(a->refused_part, REFUSED_MAX));
	double spread = (double)a->limits.retry_spread_ms * wide;
	const struct counted *t = counted_find(a, q->target);

	*d = (struct decision){
		.verdict = VERDICT_REFUSE,
		.refusal = why,
		.ticket = q->ticket,
		.target = q->target,
		.retry_at_ms =
			now_ms + a->limits.retry_min_ms +
			(int64_t)(spread * a->random.next(a->random.ctx)),
		.load = t ? counted_load(t) : 0,
	};
}

static void decide(struct admit *a, const struct admit_ask *q, int64_t now_ms,
		   struct decision *d)
{
	struct counted *t = counted_find(a, q->target);
	enum refusal why;

	if (!t || !t->mine) {
		refuse(a, q, REFUSAL_NOT_HERE, now_ms, d);
		return;
	}
	d->load = counted_load(t);
	if (!is_reachable(t)) {
		refuse(a, q, REFUSAL_TARGET_GONE, now_ms, d);
		return;
	}
	if (now_ms + q->run_ms > q->deadline_ms) {
		refuse(a, q, REFUSAL_LATE, now_ms, d);
		return;
	}
	why = counted_room(a, t, q, 0, now_ms);
	if (why == REFUSAL_NONE && queue_goes_first(a, t, q, now_ms))
		why = REFUSAL_NO_ROOM;
	if (why) {
		queue_add(a, t, q, why, now_ms, d);
		return;
	}
	d->work = counted_work(t, q);
	counted_add(a, t, q, now_ms);
	d->verdict = VERDICT_ADMIT;
}

void admit_ask(struct admit *a, const struct admit_ask *q, int64_t now_ms,
	       struct decision *d)
{
	bool refused;

	*d = (struct decision){.ticket = q->ticket, .target = q->target};
	decide(a, q, now_ms, d);
	refused = d->verdict == VERDICT_REFUSE;
	a->refused_part += REFUSE_SMOOTH * ((double)refused - a->refused_part);
}

void admit_done(struct admit *a, uint64_t target, uint32_t organisation,
		int64_t work, int64_t now_ms)
{
	struct counted *t = counted_find(a, target);
	struct usage *u;

	if (!t || t->requests == 0)
		return;
	slot_now(t, now_ms);
	work = MIN(work, t->work);
	t->requests--;
	t->work -= work;
	if (t->mine)
		a->own_work -= work;
	u = usage_find(t, organisation);
	if (u) {
		u->work -= MIN(work, u->work);
		usage_changed(t);
	}
	forget_if_unused(a, t);
}

int64_t admit_reused(struct admit *a, const struct admit_ask *q,
		     int64_t counted, int64_t reused)
{
	struct counted *t = counted_find(a, q->target);
	struct usage *u;
	int64_t change;

	if (!t || t->requests == 0)
		return counted;
	if (q->reuse > 0)
		reuse_age_learn(&t->reuse_age, q->reuse_age_ms, reused > 0);
	change = MAX(q->work - reused - counted, -t->work);
	t->work += change;
	if (t->mine)
		a->own_work += change;
	u = usage_find(t, q->organisation);
	if (u)
		u->work = MAX(u->work + change, 0);
	return counted + change;
}
