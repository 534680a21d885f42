/* See begun-queue.h. */
#include <talloc.h>

#include "entry/begun-queue.h"

/* Longest time between two looks at what has changed. */
#define CHECK_MS 50
/* A request is not sent with less time than this before its deadline. */
#define SEND_MS 20
/*
 * Longest wait for what can't be foreseen: that a request at a full target
 * ends, or that the retry budget has room.
 */
#define ROOM_WAIT_MS 1000
/* Different services and versions that one pass tells apart. */
#define KINDS_MAX 8

struct begun_queue {
	struct traffic *tr;
	const struct begun_ops *ops;
	GQueue waiting; /* struct begun_wait, by deadline */
	GQueue passing; /* those that the pass in progress has yet to reach */
	size_t bytes;   /* of those in waiting */
	bool busy;      /* a pass or a check is in progress */
	bool closed;
	ev_timer timer;      /* of the next check */
	int64_t check_at_ms; /* when it fires, if it is active */
};

/* What waits for the same targets. */
struct kind {
	const struct entry_service *service;
	uint64_t version;
	bool awaits_retry;
};

static struct kind kind_of(const struct begun_wait *w)
{
	return (struct kind){w->service, w->version, w->awaits_retry};
}

static bool is_of(const struct begun_wait *w, const struct kind *k)
{
	return str_eq(w->service->name, k->service->name) &&
	       w->version == k->version && w->awaits_retry == k->awaits_retry;
}

static void on_timer(struct ev_loop *loop, ev_timer *t, int events)
{
	(void)loop;
	(void)events;
	begun_queue_check(t->data, time_boot_ms());
}

struct begun_queue *begun_queue_new(struct traffic *tr,
				    const struct begun_ops *ops)
{
	struct begun_queue *q = g_new0(struct begun_queue, 1);

	q->tr = tr;
	q->ops = ops;
	g_queue_init(&q->waiting);
	g_queue_init(&q->passing);
	ev_init(&q->timer, on_timer);
	q->timer.data = q;
	return q;
}

void begun_queue_free(struct begun_queue *q)
{
	if (!q)
		return;
	ev_timer_stop(q->tr->loop, &q->timer);
	g_queue_clear(&q->waiting);
	g_free(q);
}

static void count(struct begun_queue *q)
{
	metric_set(M_BEGUN_WAITING, (int64_t)q->waiting.length);
	metric_set(M_BEGUN_WAITING_BYTES, (int64_t)q->bytes);
}

static int by_deadline(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct begun_wait *x = a, *y = b;

	(void)ctx;
	return x->deadline_ms < y->deadline_ms   ? -1
	       : x->deadline_ms > y->deadline_ms ? 1
						 : 0;
}

static void enqueue(struct begun_queue *q, struct begun_wait *w)
{
	const struct begun_wait *last = g_queue_peek_tail(&q->waiting);

	/* A pass queues all of them anew, in their order. */
	if (!last || last->deadline_ms <= w->deadline_ms)
		g_queue_push_tail(&q->waiting, w);
	else
		g_queue_insert_sorted(&q->waiting, w, by_deadline, NULL);
	w->queued = true;
	q->bytes += w->bytes;
	count(q);
}

void begun_queue_leave(struct begun_queue *q, struct begun_wait *w)
{
	if (!w->queued)
		return;
	w->queued = false;
	if (!g_queue_remove(&q->waiting, w)) {
		g_queue_remove(&q->passing, w);
		return;
	}
	q->bytes -= w->bytes;
	count(q);
}

/* Return how many of the kind go before the request. */
static size_t ahead_of(const struct begun_queue *q, const struct begun_wait *w)
{
	struct kind k = kind_of(w);
	size_t n = 0;

	for (GList *l = q->waiting.head; l; l = l->next) {
		const struct begun_wait *x = l->data;

		if (x->deadline_ms > w->deadline_ms)
			break;
		n += x != w && is_of(x, &k);
	}
	return n;
}

/*
 * Whether a request with so many before it will be served in time; if not, sets
 * when there is room.
 */
static bool is_in_time(struct begun_wait *w, const struct pool_supply *s,
		       size_t ahead, int64_t now_ms)
{
	int64_t until_ms = w->deadline_ms - SEND_MS;
	int64_t room_ms = MIN(until_ms, w->since_ms + ROOM_WAIT_MS);

	w->retry_at_ms = 0;
	if (until_ms <= now_ms)
		return false;
	if (w->awaits_retry)
		return room_ms > now_ms;
	if (supply_count(s->known, s->known_count, until_ms) +
		    supply_count(s->room, s->room_count, room_ms) >
	    (double)ahead)
		return true;
	w->retry_at_ms =
		supply_time_ms(s->known, s->known_count, ahead + 1, now_ms,
			       now_ms + BEGUN_RETRY_AFTER_MAX_MS);
	if (w->retry_at_ms == INT64_MAX)
		w->retry_at_ms = 0;
	return false;
}

/* List what the targets will take, in memory that the caller frees. */
static struct pool_supply list_supply(const struct begun_queue *q,
				      const struct begun_wait *w,
				      int64_t now_ms)
{
	size_t max = g_hash_table_size(q->tr->targets) + 1;
	struct pool_supply s = {.known = g_new(struct supply, max),
				.room = g_new(struct supply, max)};

	pool_list_supply(q->tr, w->service, w->version, now_ms, &s);
	return s;
}

static void supply_clear(struct pool_supply *s)
{
	g_free(s->known);
	g_free(s->room);
}

/* Return when to look again: soon, and at the next known time. */
static int64_t next_check_ms(const struct pool_supply *s, int64_t now_ms)
{
	int64_t at_ms = now_ms + CHECK_MS;

	for (size_t i = 0; i < s->known_count; i++)
		at_ms = MIN(at_ms, s->known[i].next_ms);
	return MAX(at_ms, now_ms + 1);
}

static void arm(struct begun_queue *q, int64_t at_ms, int64_t now_ms)
{
	/* The tests of decisions have no loop. */
	if (!q->tr->loop ||
	    (ev_is_active(&q->timer) && q->check_at_ms <= at_ms))
		return;
	q->check_at_ms = at_ms;
	timer_start_once(q->tr->loop, &q->timer, at_ms - now_ms);
}

/* Whether there is memory for one more. */
static bool has_room(const struct begun_queue *q, const struct begun_wait *w)
{
	return q->waiting.length < BEGUN_QUEUE_MAX &&
	       (double)(q->bytes + w->bytes) <=
		       BEGUN_QUEUE_MEMORY_SHARE *
			       (double)q->tr->settings->limits_memory_mb *
			       MB_BYTES;
}

bool begun_queue_add(struct begun_queue *q, struct begun_wait *w,
		     int64_t now_ms)
{
	struct pool_supply s;
	bool in_time;

	if (q->closed || !has_room(q, w))
		return false;
	if (!w->since_ms)
		w->since_ms = now_ms;
	s = list_supply(q, w, now_ms);
	in_time = is_in_time(w, &s, ahead_of(q, w), now_ms);
	w->causes |= w->awaits_retry ? SUPPLY_RETRY : s.causes;
	if (in_time) {
		enqueue(q, w);
		arm(q, next_check_ms(&s, now_ms), now_ms);
	}
	supply_clear(&s);
	return in_time;
}

/* Whether a look for a target may succeed; saves those that can't. */
static bool may_succeed(const struct begun_queue *q, const struct begun_wait *w)
{
	return w->awaits_retry ||
	       pool_serves_version(q->tr, w->service, w->version);
}

/* Kinds that a pass has met. */
struct kinds {
	struct kind v[KINDS_MAX];
	size_t n;
};

static bool has_kind(const struct kinds *k, const struct begun_wait *w)
{
	for (size_t i = 0; i < k->n; i++)
		if (is_of(w, &k->v[i]))
			return true;
	return false;
}

static void add_kind(struct kinds *k, struct kind kind)
{
	if (k->n < KINDS_MAX)
		k->v[k->n++] = kind;
}

void begun_queue_serve(struct begun_queue *q)
{
	struct kinds failed = {0};
	struct begun_wait *w;

	if (q->busy || !q->waiting.length)
		return;
	q->busy = true;
	/* Those that go on waiting are queued anew. */
	q->passing = q->waiting;
	g_queue_init(&q->waiting);
	q->bytes = 0;
	while ((w = g_queue_pop_head(&q->passing))) {
		struct kind k = kind_of(w);
		size_t length = q->waiting.length;

		w->queued = false;
		if (has_kind(&failed, w) || !may_succeed(q, w))
			enqueue(q, w);
		else
			q->ops->attempt(w);
		if (q->waiting.length > length && !has_kind(&failed, w))
			add_kind(&failed, k);
	}
	count(q);
	q->busy = false;
}

/*
 * Refuse those of the kind that can't be served in time, given what the targets
 * will take.
 */
static void refuse_late(struct begun_queue *q, struct kind k,
			const struct pool_supply *s, int64_t now_ms)
{
	GList *next, *l = q->waiting.head;
	size_t ahead = 0;

	for (; l; l = next) {
		struct begun_wait *w = l->data;

		next = l->next;
		if (!is_of(w, &k))
			continue;
		w->causes |= w->awaits_retry ? SUPPLY_RETRY : s->causes;
		if (is_in_time(w, s, ahead, now_ms)) {
			ahead++;
			continue;
		}
		begun_queue_leave(q, w);
		q->ops->refuse(w);
	}
}

/* Return one that waits, of a kind that is not among these; NULL: none. */
static struct begun_wait *next_kind(const struct begun_queue *q,
				    const struct kinds *seen)
{
	for (GList *l = q->waiting.head; l; l = l->next)
		if (!has_kind(seen, l->data))
			return l->data;
	return NULL;
}

void begun_queue_check(struct begun_queue *q, int64_t now_ms)
{
	int64_t at_ms = now_ms + CHECK_MS;
	struct kinds seen = {0};
	struct begun_wait *w;

	if (q->busy)
		return;
	begun_queue_serve(q);
	q->busy = true;
	while (seen.n < KINDS_MAX && (w = next_kind(q, &seen))) {
		struct pool_supply s = list_supply(q, w, now_ms);

		add_kind(&seen, kind_of(w));
		at_ms = MIN(at_ms, next_check_ms(&s, now_ms));
		refuse_late(q, seen.v[seen.n - 1], &s, now_ms);
		supply_clear(&s);
	}
	q->busy = false;
	if (q->waiting.length)
		arm(q, at_ms, now_ms);
}

void begun_queue_close(struct begun_queue *q)
{
	struct begun_wait *w;

	q->closed = true;
	while ((w = g_queue_peek_head(&q->waiting))) {
		begun_queue_leave(q, w);
		q->ops->refuse(w);
	}
}

size_t begun_queue_length(const struct begun_queue *q)
{
	return q->waiting.length;
}

const char *begun_causes_text(void *arena, unsigned causes)
{
	static const char *const names[] = {"limit",   "rest", "warm_up",
					    "ejected", "room", "retry"};
	char *s = talloc_strdup(arena, "");

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (causes & 1U << i)
			s = talloc_asprintf_append(s, "%s%s", *s ? "," : "",
						   names[i]);
	return *s ? s : "none";
}
