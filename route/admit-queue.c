/*
 * The queue of requests that wait for room at a target.
 *
 * Requests of organisations within their share come before those of
 * organisations that borrow from others. Within their share, the higher
 * priority comes first; among those that borrow, the organisation that was
 * served least relative to its weight, then the higher priority. Ties go to the
 * oldest. A request over the bound relative to the fleet's mean is passed over,
 * as it may find room at another target.
 *
 * When the queue is full, the organisation with the highest finish tag, its
 * queued requests included, loses its last request.
 */
#include "route/admit.h"

struct precedence {
	double start_tag; /* 0: within its share; see share_start_tag */
	int priority;
	uint64_t arrival;
};

static struct precedence precedence_of(const struct admit *a,
				       const struct admit_target *t,
				       const struct admit_request *q,
				       uint64_t arrival, int64_t queued_work)
{
	return (struct precedence){
		.start_tag = share_allows(a, t, q, queued_work)
				     ? 0
				     : share_start_tag(t, q->organisation),
		.priority = q->priority,
		.arrival = arrival,
	};
}

static bool comes_before(struct precedence x, struct precedence y)
{
	if (x.start_tag != y.start_tag)
		return x.start_tag < y.start_tag;
	if (x.priority != y.priority)
		return x.priority > y.priority;
	return x.arrival < y.arrival;
}

static struct queued_request *queued_at(const struct admit_target *t, guint i)
{
	return &g_array_index(t->queue, struct queued_request, i);
}

/*
 * Return the index of the first request in precedence that is not over the
 * relative bound, or the queue's length when there is none. Its precedence is
 * stored in *first, which is set only then.
 */
static guint find_first(const struct admit *a, const struct admit_target *t,
			int64_t now_ms, struct precedence *first)
{
	guint n = t->queue->len;
	guint best = n;

	for (guint i = 0; i < n; i++) {
		const struct queued_request *r = queued_at(t, i);
		struct precedence p =
			precedence_of(a, t, &r->request, r->arrival, r->work);

		if (best < n && !comes_before(p, *first))
			continue;
		if (admit_target_check(a, t, &r->request, r->work, now_ms) ==
		    REFUSAL_OVER_BOUND)
			continue;
		best = i;
		*first = p;
	}
	return best;
}

static void remove_at(struct admit_target *t, guint i)
{
	struct org_usage *u =
		org_usage_find(t, queued_at(t, i)->request.organisation);

	if (u) {
		u->queued--;
		u->queued_work -= queued_at(t, i)->work;
	}
	g_array_remove_index_fast(t->queue, i);
	org_usage_update(t);
}

bool queue_precedes(const struct admit *a, const struct admit_target *t,
		    const struct admit_request *q, int64_t now_ms)
{
	struct precedence first;

	if (find_first(a, t, now_ms, &first) == t->queue->len)
		return false;
	return comes_before(first, precedence_of(a, t, q, UINT64_MAX, 0));
}

static void enqueue(struct admit *a, struct admit_target *t,
		    const struct admit_request *q)
{
	struct org_usage *u = org_usage_get(t, q->organisation, q->weight);
	struct queued_request new = {
		.request = *q,
		.arrival = a->next_arrival++,
		.work = admit_expected_work(t, q),
		.expires_ms = MIN(q->wait_until_ms, q->deadline_ms - q->run_ms),
	};

	u->queued++;
	u->queued_work += new.work;
	g_array_append_val(t->queue, new);
	org_usage_update(t);
}

/*
 * Return the organisation that has the highest finish tag once all queued
 * requests and q have been served.
 */
static uint32_t most_served_organisation(const struct admit_target *t,
					 const struct admit_request *q)
{
	uint32_t most = q->organisation;
	double max_tag = share_queued_finish_tag(t, most) +
			 (double)admit_expected_work(t, q) / q->weight;

	for (guint i = 0; i < t->queue->len; i++) {
		uint32_t org = queued_at(t, i)->request.organisation;
		double tag = share_queued_finish_tag(t, org);

		if (org == q->organisation || tag <= max_tag)
			continue;
		most = org;
		max_tag = tag;
	}
	return most;
}

/*
 * Return the index of the organisation's request that would be served last, or
 * the queue's length when it has none.
 */
static guint find_last_of(const struct admit_target *t, uint32_t organisation)
{
	guint n = t->queue->len;
	guint last = n;

	for (guint i = 0; i < n; i++) {
		const struct queued_request *r = queued_at(t, i);
		const struct queued_request *last_r =
			last < n ? queued_at(t, last) : NULL;

		if (r->request.organisation != organisation)
			continue;
		if (!last_r || r->request.priority < last_r->request.priority ||
		    (r->request.priority == last_r->request.priority &&
		     r->arrival > last_r->arrival))
			last = i;
	}
	return last;
}

/*
 * Make room for q in a full queue by refusing another request. Return false
 * when it is q that has to be refused.
 */
static bool make_room(struct admit *a, struct admit_target *t,
		      const struct admit_request *q, int64_t now_ms)
{
	uint32_t most = most_served_organisation(t, q);
	guint last = find_last_of(t, most);
	struct decision d;

	if (last == t->queue->len ||
	    (most == q->organisation &&
	     queued_at(t, last)->request.priority >= q->priority))
		return false;
	refuse_request(a, &queued_at(t, last)->request, REFUSAL_QUEUE_FULL,
		       now_ms, &d);
	g_array_append_val(a->pending_refusals, d);
	remove_at(t, last);
	return true;
}

void queue_add(struct admit *a, struct admit_target *t,
	       const struct admit_request *q, enum refusal why, int64_t now_ms,
	       struct decision *d)
{
	if (q->wait_until_ms <= now_ms || !a->limits.queue_max) {
		refuse_request(a, q, why, now_ms, d);
		return;
	}
	if (t->queue->len >= a->limits.queue_max &&
	    !make_room(a, t, q, now_ms)) {
		refuse_request(a, q, REFUSAL_QUEUE_FULL, now_ms, d);
		return;
	}
	enqueue(a, t, q);
	d->verdict = VERDICT_QUEUE;
}

void queue_refuse_all(struct admit *a, struct admit_target *t, int64_t now_ms)
{
	struct decision d;

	while (t->queue->len) {
		refuse_request(a, &queued_at(t, 0)->request,
			       REFUSAL_TARGET_UNAVAILABLE, now_ms, &d);
		g_array_append_val(a->pending_refusals, d);
		remove_at(t, 0);
	}
}

bool admit_cancel(struct admit *a, uint64_t ticket)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, a->targets);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct admit_target *t = p;

		for (guint i = 0; i < t->queue->len; i++) {
			if (queued_at(t, i)->request.ticket != ticket)
				continue;
			remove_at(t, i);
			return true;
		}
	}
	return false;
}

/* Refuse one expired request; false when there is none. */
static bool refuse_expired(struct admit *a, struct admit_target *t,
			   int64_t now_ms, struct decision *d)
{
	for (guint i = 0; i < t->queue->len; i++) {
		const struct queued_request *r = queued_at(t, i);
		bool misses_deadline = r->expires_ms < r->request.wait_until_ms;

		if (r->expires_ms > now_ms)
			continue;
		refuse_request(a, &r->request,
			       misses_deadline ? REFUSAL_DEADLINE
					       : REFUSAL_OVER_BOUND,
			       now_ms, d);
		remove_at(t, i);
		return true;
	}
	return false;
}

/* Admit the first request if it fits; false otherwise. */
static bool admit_first(struct admit *a, struct admit_target *t, int64_t now_ms,
			struct decision *d)
{
	struct precedence unused;
	guint first = find_first(a, t, now_ms, &unused);
	struct admit_request q;

	if (first == t->queue->len)
		return false;
	q = queued_at(t, first)->request;
	if (admit_target_check(a, t, &q, queued_at(t, first)->work, now_ms))
		return false;
	remove_at(t, first);
	*d = (struct decision){
		.verdict = VERDICT_ADMIT,
		.ticket = q.ticket,
		.target = q.target,
		.work = admit_expected_work(t, &q),
		.load = admit_target_load(t),
	};
	admit_target_begin(a, t, &q, now_ms);
	return true;
}

bool admit_poll(struct admit *a, int64_t now_ms, struct decision *d)
{
	GHashTableIter it;
	gpointer p;

	if (a->pending_refusals->len) {
		*d = g_array_index(a->pending_refusals, struct decision, 0);
		g_array_remove_index(a->pending_refusals, 0);
		return true;
	}
	g_hash_table_iter_init(&it, a->targets);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct admit_target *t = p;

		if (!t->queue->len)
			continue;
		if (refuse_expired(a, t, now_ms, d) ||
		    admit_first(a, t, now_ms, d))
			return true;
	}
	return false;
}

int64_t admit_next_poll_ms(const struct admit *a)
{
	int64_t next = a->pending_refusals->len ? 0 : INT64_MAX;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, a->targets);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct admit_target *t = p;

		for (guint i = 0; i < t->queue->len; i++)
			next = MIN(next, queued_at(t, i)->expires_ms);
	}
	return next;
}
