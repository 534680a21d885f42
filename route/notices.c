/* Statements of nodes, the latest of each kind about each target or node. */
#include <stdatomic.h>

#include "route/notices.h"

/* Most notices that are kept; beyond that only new urgent ones are. */
#define NOTICES_MAX 4096

/* More than any time in ms or rate; sums with times don't overflow. */
#define VALUE_MAX ((int64_t)1000000000000)

/* Time for which a notice counts. */
static const int64_t ttl_ms[NOTICE_KINDS] = {
	[NOTICE_NODE_CUT] = 6000,
	[NOTICE_TARGET_LEAVING] = 60000,
	[NOTICE_TARGET_REST] = 3600000,
	[NOTICE_TARGET_BRITTLE] = 180000,
	/* Only of the end of an evacuation; see is_current. */
	[NOTICE_ZONE_EVACUATED] = 30000,
	/* Readers of the store say it again every 30 s while it holds. */
	[NOTICE_TARGET_COLD] = 120000,
	[NOTICE_CAUSE_TRIED] = 30000,
};
/* Whether the value of a kind is a time, in ms, that runs from the notice on.
 */
static const bool ends_by_itself[NOTICE_KINDS] = {
	[NOTICE_TARGET_REST] = true,
	[NOTICE_TARGET_COLD] = true,
	[NOTICE_CAUSE_TRIED] = true,
};
/* Part of it after which the same statement is sent again. */
#define REFRESH_PART 3

struct entry {
	struct notice v;
	int64_t told_at_ms;   /* at_ms of what was last sent or received */
	unsigned rounds_left; /* how often it is still to be sent */
};

struct notices {
	GMutex lock;
	GHashTable *v;                   /* key of a notice -> struct entry */
	atomic_size_t set[NOTICE_KINDS]; /* how often a kind was */
	unsigned rounds;
	bool forward;
	bool has_updates;
	size_t list_next; /* where notices_list goes on */
};

/*
 * Whether a notice counts. An evacuation does until its end is stated, as
 * nobody can confirm it during an outage of the store.
 */
static bool is_current(const struct notice *v, int64_t now_ms)
{
	return now_ms - v->at_ms < ttl_ms[v->kind] ||
	       (v->kind == NOTICE_ZONE_EVACUATED && v->value);
}

/* Whether the notice is sent before others, however many these are. */
static bool is_urgent(const struct notice *v)
{
	return v->kind == NOTICE_ZONE_EVACUATED;
}

static guint hash(gconstpointer p)
{
	const struct notice *n = p;

	return (guint)(n->id ^ n->id >> 32) * NOTICE_KINDS + n->kind;
}

static gboolean equal(gconstpointer a, gconstpointer b)
{
	const struct notice *x = a, *y = b;

	return x->id == y->id && x->kind == y->kind;
}

struct notices *notices_new(void)
{
	struct notices *n = g_new0(struct notices, 1);

	n->v = g_hash_table_new_full(hash, equal, NULL, g_free);
	n->rounds = 1;
	return n;
}

void notices_free(struct notices *n)
{
	g_hash_table_unref(n->v);
	g_free(n);
}

/* Return the notice's entry, a new one if there is room, else NULL. */
static struct entry *use_entry(struct notices *n, const struct notice *v)
{
	struct entry *e = g_hash_table_lookup(n->v, v);

	if (e || (g_hash_table_size(n->v) >= NOTICES_MAX && !is_urgent(v)))
		return e;
	e = g_new0(struct entry, 1);
	e->v = *v;
	e->v.at_ms = INT64_MIN;
	g_hash_table_insert(n->v, &e->v, e);
	return e;
}

static void queue(struct notices *n, struct entry *e)
{
	e->rounds_left = n->rounds;
	n->has_updates = true;
}

/* Take a notice over; return its entry if that is news for other nodes. */
static struct entry *merge(struct notices *n, const struct notice *v)
{
	struct entry *e = use_entry(n, v);
	bool news;

	if (!e || v->at_ms <= e->v.at_ms)
		return NULL;
	news = e->v.at_ms == INT64_MIN || e->v.value != v->value ||
	       v->at_ms - e->told_at_ms > ttl_ms[v->kind] / REFRESH_PART;
	e->v.value = v->value;
	e->v.at_ms = v->at_ms;
	atomic_fetch_add(&n->set[v->kind], 1);
	if (!news)
		return NULL;
	e->told_at_ms = v->at_ms;
	return e;
}

void notices_set(struct notices *n, enum notice_kind kind, uint64_t id,
		 int64_t value, int64_t now_ms)
{
	struct notice v = {kind, id, value, now_ms};
	struct entry *e;

	g_mutex_lock(&n->lock);
	e = merge(n, &v);
	if (e)
		queue(n, e);
	g_mutex_unlock(&n->lock);
}

void notices_receive(struct notices *n, const struct notice *received)
{
	struct notice bounded = *received, *v = &bounded;
	struct entry *e;

	v->value = CLAMP(v->value, -VALUE_MAX, VALUE_MAX);
	if (v->kind >= NOTICE_KINDS || !ttl_ms[v->kind])
		return;
	g_mutex_lock(&n->lock);
	e = merge(n, v);
	if (e && n->forward)
		queue(n, e);
	g_mutex_unlock(&n->lock);
}

int64_t notices_get(struct notices *n, enum notice_kind kind, uint64_t id,
		    int64_t now_ms, int64_t missing)
{
	struct notice key = {kind, id, 0, 0};
	int64_t value = missing;
	struct entry *e;

	if (!notices_any(n, kind))
		return missing;
	g_mutex_lock(&n->lock);
	e = g_hash_table_lookup(n->v, &key);
	if (e && is_current(&e->v, now_ms))
		value = e->v.value;
	/* A rest, a warm-up and a trial end when their time is over. */
	if (e && ends_by_itself[kind] && value != missing)
		value = MAX(e->v.value - (now_ms - e->v.at_ms), 0);
	g_mutex_unlock(&n->lock);
	return value;
}

bool notices_any(struct notices *n, enum notice_kind kind)
{
	return atomic_load(&n->set[kind]) > 0;
}

void notices_set_rounds(struct notices *n, unsigned rounds, bool forward)
{
	g_mutex_lock(&n->lock);
	n->rounds = rounds;
	n->forward = forward;
	g_mutex_unlock(&n->lock);
}

size_t notices_take_updates(struct notices *n, struct notice *out, size_t max)
{
	GHashTableIter it;
	gpointer p;
	size_t k = 0;

	g_mutex_lock(&n->lock);
	g_hash_table_iter_init(&it, n->v);
	while (n->has_updates && k < max &&
	       g_hash_table_iter_next(&it, NULL, &p)) {
		struct entry *e = p;

		if (!e->rounds_left)
			continue;
		e->rounds_left--;
		out[k++] = e->v;
	}
	n->has_updates = k > 0;
	g_mutex_unlock(&n->lock);
	return k;
}

size_t notices_take_urgent(struct notices *n, struct notice *out, size_t max)
{
	GHashTableIter it;
	gpointer p;
	size_t k = 0;

	if (!notices_any(n, NOTICE_ZONE_EVACUATED))
		return 0;
	g_mutex_lock(&n->lock);
	g_hash_table_iter_init(&it, n->v);
	while (n->has_updates && k < max &&
	       g_hash_table_iter_next(&it, NULL, &p)) {
		struct entry *e = p;

		if (!e->rounds_left || !is_urgent(&e->v))
			continue;
		e->rounds_left--;
		out[k++] = e->v;
	}
	g_mutex_unlock(&n->lock);
	return k;
}

size_t notices_list(struct notices *n, int64_t now_ms, struct notice *out,
		    size_t max)
{
	GHashTableIter it;
	gpointer p;
	size_t k = 0, at = 0;

	g_mutex_lock(&n->lock);
	if (n->list_next >= g_hash_table_size(n->v))
		n->list_next = 0;
	g_hash_table_iter_init(&it, n->v);
	while (k < max && g_hash_table_iter_next(&it, NULL, &p)) {
		const struct entry *e = p;

		if (at++ < n->list_next)
			continue;
		n->list_next = at;
		if (is_current(&e->v, now_ms))
			out[k++] = e->v;
	}
	g_mutex_unlock(&n->lock);
	return k;
}

size_t notices_list_urgent(struct notices *n, int64_t now_ms,
			   struct notice *out, size_t max)
{
	GHashTableIter it;
	gpointer p;
	size_t k = 0;

	if (!notices_any(n, NOTICE_ZONE_EVACUATED))
		return 0;
	g_mutex_lock(&n->lock);
	g_hash_table_iter_init(&it, n->v);
	while (k < max && g_hash_table_iter_next(&it, NULL, &p)) {
		const struct entry *e = p;

		if (is_urgent(&e->v) && is_current(&e->v, now_ms))
			out[k++] = e->v;
	}
	g_mutex_unlock(&n->lock);
	return k;
}

void notices_expire(struct notices *n, int64_t now_ms)
{
	GHashTableIter it;
	gpointer p;

	g_mutex_lock(&n->lock);
	g_hash_table_iter_init(&it, n->v);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct entry *e = p;

		if (!is_current(&e->v, now_ms))
			g_hash_table_iter_remove(&it);
	}
	g_mutex_unlock(&n->lock);
}
