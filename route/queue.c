/*
 * Requests that wait for room at a target. The next one is of an organisation
 * within its share before one that borrows, then of the higher priority, then
 * of the organisation that uses least for its weight, then the oldest.
 */
#include "route/admit.h"

struct rank {
	bool borrows;
	int priority;
	double used; /* work / weight */
	uint64_t order;
};

static struct rank rank_of(const struct admit *a, const struct counted *t,
			   const struct ask *q, uint64_t order)
{
	const struct usage *u = usage_find(t, q->organisation);

	return (struct rank){
		.borrows = !share_allows(a, t, q),
		.priority = q->priority,
		.used = u ? (double)u->work / q->weight : 0,
		.order = order,
	};
}

static bool before(struct rank x, struct rank y)
{
	if (x.borrows != y.borrows)
		return y.borrows;
	if (x.priority != y.priority)
		return x.priority > y.priority;
	if (x.used != y.used)
		return x.used < y.used;
	return x.order < y.order;
}

static struct waiting *at(const struct counted *t, guint i)
{
	return &g_array_index(t->waiting, struct waiting, i);
}

static struct rank rank_at(const struct admit *a, const struct counted *t,
			   guint i)
{
	return rank_of(a, t, &at(t, i)->ask, at(t, i)->order);
}

/* First in rank, or with last set the last; the queue must not be empty. */
static guint find_end(const struct admit *a, const struct counted *t, bool last)
{
	guint best = 0;
	struct rank r = rank_at(a, t, 0);

	for (guint i = 1; i < t->waiting->len; i++) {
		struct rank x = rank_at(a, t, i);

		if (last ? before(r, x) : before(x, r)) {
			best = i;
			r = x;
		}
	}
	return best;
}

static void take_out(struct counted *t, guint i)
{
	struct usage *u = usage_find(t, at(t, i)->ask.organisation);

	if (u)
		u->waiting--;
	g_array_remove_index_fast(t->waiting, i);
	usage_trim(t);
}

bool queue_goes_first(const struct admit *a, const struct counted *t,
		      const struct ask *q)
{
	struct rank r;

	if (!t->waiting->len)
		return false;
	r = rank_of(a, t, q, UINT64_MAX);
	return before(rank_at(a, t, find_end(a, t, false)), r);
}

static void put_in(struct admit *a, struct counted *t, const struct ask *q)
{
	struct waiting w = {
		.ask = *q,
		.order = a->arrivals++,
		.give_up_ms = MIN(q->wait_until_ms, q->deadline_ms - q->run_ms),
	};

	g_array_append_val(t->waiting, w);
	usage_get(t, q->organisation, q->weight)->waiting++;
}

/* Make room in a full queue by refusing the last. Returns false if that is q.
 */
static bool displace(struct admit *a, struct counted *t, const struct ask *q,
		     int64_t now_ms)
{
	guint last = find_end(a, t, true);
	struct decision d;

	if (before(rank_at(a, t, last), rank_of(a, t, q, UINT64_MAX)))
		return false;
	refuse(a, &at(t, last)->ask, REFUSAL_QUEUE_FULL, now_ms, &d);
	g_array_append_val(a->refused, d);
	take_out(t, last);
	return true;
}

void queue_add(struct admit *a, struct counted *t, const struct ask *q,
	       enum refusal why, int64_t now_ms, struct decision *d)
{
	if (q->wait_until_ms <= now_ms || !a->limits.queue_max) {
		refuse(a, q, why, now_ms, d);
		return;
	}
	if (t->waiting->len >= a->limits.queue_max &&
	    !displace(a, t, q, now_ms)) {
		refuse(a, q, REFUSAL_QUEUE_FULL, now_ms, d);
		return;
	}
	put_in(a, t, q);
	d->verdict = VERDICT_QUEUE;
}

void queue_drop(struct admit *a, struct counted *t, int64_t now_ms)
{
	struct decision d;

	while (t->waiting->len) {
		refuse(a, &at(t, 0)->ask, REFUSAL_TARGET_GONE, now_ms, &d);
		g_array_append_val(a->refused, d);
		take_out(t, 0);
	}
}

bool admit_cancel(struct admit *a, uint64_t ticket)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, a->targets);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct counted *t = p;

		for (guint i = 0; i < t->waiting->len; i++) {
			if (at(t, i)->ask.ticket != ticket)
				continue;
			take_out(t, i);
			return true;
		}
	}
	return false;
}

static bool give_up(struct admit *a, struct counted *t, int64_t now_ms,
		    struct decision *d)
{
	for (guint i = 0; i < t->waiting->len; i++) {
		const struct waiting *w = at(t, i);
		bool late = w->give_up_ms < w->ask.wait_until_ms;

		if (w->give_up_ms > now_ms)
			continue;
		refuse(a, &w->ask, late ? REFUSAL_LATE : REFUSAL_NO_ROOM,
		       now_ms, d);
		take_out(t, i);
		return true;
	}
	return false;
}

static bool let_in(struct admit *a, struct counted *t, int64_t now_ms,
		   struct decision *d)
{
	guint first = find_end(a, t, false);
	struct ask q = at(t, first)->ask;

	if (counted_room(a, t, &q, now_ms))
		return false;
	take_out(t, first);
	counted_add(a, t, &q, now_ms);
	*d = (struct decision){
		.verdict = VERDICT_ADMIT,
		.ticket = q.ticket,
		.target = q.target,
		.work = q.work,
		.load = counted_load(t),
	};
	return true;
}

bool admit_poll(struct admit *a, int64_t now_ms, struct decision *d)
{
	GHashTableIter it;
	gpointer p;

	if (a->refused->len) {
		*d = g_array_index(a->refused, struct decision, 0);
		g_array_remove_index(a->refused, 0);
		return true;
	}
	g_hash_table_iter_init(&it, a->targets);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct counted *t = p;

		if (!t->waiting->len)
			continue;
		if (give_up(a, t, now_ms, d) || let_in(a, t, now_ms, d))
			return true;
	}
	return false;
}

int64_t admit_next_ms(const struct admit *a)
{
	int64_t next = a->refused->len ? 0 : INT64_MAX;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, a->targets);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct counted *t = p;

		for (guint i = 0; i < t->waiting->len; i++)
			next = MIN(next, at(t, i)->give_up_ms);
	}
	return next;
}
