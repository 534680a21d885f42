/*
 * Requests that wait for room at a target. The next one is of an organisation
 * within its share before one that borrows. Of those within, the higher
 * priority comes first; of those that borrow, the one whose organisation was
 * served least for its weight, then the higher priority. Of equals the oldest
 * comes first. One that is over the fleet's relative bound lets others pass: it
 * may find room elsewhere. From a full queue the organisation that would have
 * been served most with all that it waits for loses its last request.
 */
#include "route/admit.h"

struct rank {
	double start; /* virtual time of those that borrow; 0: within */
	int priority;
	uint64_t order;
};

static struct rank rank_of(const struct admit *a, const struct counted *t,
			   const struct admit_ask *q, uint64_t order,
			   int64_t waiting)
{
	return (struct rank){
		.start = share_allows(a, t, q, waiting)
				 ? 0
				 : share_start(t, q->organisation),
		.priority = q->priority,
		.order = order,
	};
}

static bool before(struct rank x, struct rank y)
{
	if (x.start != y.start)
		return x.start < y.start;
	if (x.priority != y.priority)
		return x.priority > y.priority;
	return x.order < y.order;
}

static struct waiting *at(const struct counted *t, guint i)
{
	return &g_array_index(t->waiting, struct waiting, i);
}

/*
 * Number of the first in rank that is not over the relative bound, or the
 * queue's length when there is none.
 */
static guint find_first(const struct admit *a, const struct counted *t,
			int64_t now_ms, struct rank *rank)
{
	guint n = t->waiting->len;
	guint best = n;

	for (guint i = 0; i < n; i++) {
		const struct waiting *w = at(t, i);
		struct rank r = rank_of(a, t, &w->ask, w->order, w->work);

		if (best < n && !before(r, *rank))
			continue;
		if (counted_room(a, t, &w->ask, w->work, now_ms) ==
		    REFUSAL_NO_ROOM)
			continue;
		best = i;
		*rank = r;
	}
	return best;
}

static void take_out(struct counted *t, guint i)
{
	struct usage *u = usage_find(t, at(t, i)->ask.organisation);

	if (u) {
		u->waiting--;
		u->waiting_work -= at(t, i)->work;
	}
	g_array_remove_index_fast(t->waiting, i);
	usage_changed(t);
}

bool queue_goes_first(const struct admit *a, const struct counted *t,
		      const struct admit_ask *q, int64_t now_ms)
{
	struct rank first;

	if (find_first(a, t, now_ms, &first) == t->waiting->len)
		return false;
	return before(first, rank_of(a, t, q, UINT64_MAX, 0));
}

static void put_in(struct admit *a, struct counted *t,
		   const struct admit_ask *q)
{
	struct usage *u = usage_get(t, q->organisation, q->weight);
	struct waiting w = {
		.ask = *q,
		.order = a->arrivals++,
		.work = counted_work(t, q),
		.give_up_ms = MIN(q->wait_until_ms, q->deadline_ms - q->run_ms),
	};

	u->waiting++;
	u->waiting_work += w.work;
	g_array_append_val(t->waiting, w);
	usage_changed(t);
}

/* The organisation that would have been served most, with q. */
static uint32_t most_promised(const struct counted *t,
			      const struct admit_ask *q)
{
	uint32_t most = q->organisation;
	double end = share_promised(t, most) +
		     (double)counted_work(t, q) / q->weight;

	for (guint i = 0; i < t->waiting->len; i++) {
		uint32_t o = at(t, i)->ask.organisation;
		double e = share_promised(t, o);

		if (o == q->organisation || e <= end)
			continue;
		most = o;
		end = e;
	}
	return most;
}

/* Number of the organisation's last request, or the queue's length: none. */
static guint find_last(const struct counted *t, uint32_t organisation)
{
	guint n = t->waiting->len;
	guint last = n;

	for (guint i = 0; i < n; i++) {
		const struct waiting *w = at(t, i);
		const struct waiting *l = last < n ? at(t, last) : NULL;

		if (w->ask.organisation != organisation)
			continue;
		if (!l || w->ask.priority < l->ask.priority ||
		    (w->ask.priority == l->ask.priority && w->order > l->order))
			last = i;
	}
	return last;
}

/* Make room in a full queue; false if q itself is the one to be refused. */
static bool displace(struct admit *a, struct counted *t,
		     const struct admit_ask *q, int64_t now_ms)
{
	uint32_t most = most_promised(t, q);
	guint last = find_last(t, most);
	struct decision d;

	if (last == t->waiting->len ||
	    (most == q->organisation &&
	     at(t, last)->ask.priority >= q->priority))
		return false;
	refuse(a, &at(t, last)->ask, REFUSAL_QUEUE_FULL, now_ms, &d);
	g_array_append_val(a->refused, d);
	take_out(t, last);
	return true;
}

void queue_add(struct admit *a, struct counted *t, const struct admit_ask *q,
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
	struct rank rank;
	guint first = find_first(a, t, now_ms, &rank);
	struct admit_ask q;

	if (first == t->waiting->len)
		return false;
	q = at(t, first)->ask;
	if (counted_room(a, t, &q, at(t, first)->work, now_ms))
		return false;
	take_out(t, first);
	*d = (struct decision){
		.verdict = VERDICT_ADMIT,
		.ticket = q.ticket,
		.target = q.target,
		.work = counted_work(t, &q),
		.load = counted_load(t),
	};
	counted_add(a, t, &q, now_ms);
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
