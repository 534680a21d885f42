#include <string.h>

#include "entry/entry.h"
#include "entry/loads-gen.h"

/*
 * A node that has told nothing for this long, or for as many of its pauses,
 * counts as gone or idle.
 */
#define HEARD_FOR_MS     3000
#define HEARD_FOR_PAUSES 4

/* What another node told last. */
struct teller {
	uint64_t start;
	uint64_t seq;
	int64_t heard_ms;
	bool serving;
	GHashTable *running; /* target -> requests */
};

struct loads {
	GMutex lock;
	uint64_t node;
	uint64_t start;
	uint64_t seq;
	GHashTable *own;     /* target -> requests */
	GHashTable *tellers; /* node -> struct teller */
	GHashTable *sums;    /* target -> requests of all tellers */
	int64_t sums_until_ms;
	int64_t heard_for_ms;
	bool serving;
	bool told_serving;
	bool changed;
	int64_t told_ms;
};

/* Told again after this long though nothing changed, as datagrams get lost. */
#define TELL_AGAIN_MS 500

static void teller_free(void *p)
{
	struct teller *t = p;

	g_hash_table_unref(t->running);
	g_free(t);
}

static GHashTable *counts_new(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static void counts_set(GHashTable *h, uint64_t id, int n)
{
	if (n > 0)
		g_hash_table_insert(h, g_memdup2(&id, sizeof(id)),
				    GINT_TO_POINTER(n));
	else
		g_hash_table_remove(h, &id);
}

static int counts_get(GHashTable *h, uint64_t id)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(h, &id));
}

struct loads *loads_new(uint64_t node)
{
	struct loads *l = g_new0(struct loads, 1);

	l->node = node;
	l->start = (uint64_t)time_now_ms();
	l->heard_for_ms = HEARD_FOR_MS;
	l->own = counts_new();
	l->sums = counts_new();
	l->tellers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   teller_free);
	return l;
}

void loads_free(struct loads *l)
{
	g_hash_table_unref(l->own);
	g_hash_table_unref(l->sums);
	g_hash_table_unref(l->tellers);
	g_free(l);
}

void loads_add(struct loads *l, uint64_t target, int by)
{
	g_mutex_lock(&l->lock);
	counts_set(l->own, target, counts_get(l->own, target) + by);
	l->changed = true;
	g_mutex_unlock(&l->lock);
}

static void sum_up(struct loads *l, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_remove_all(l->sums);
	g_hash_table_iter_init(&it, l->tellers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct teller *t = v;
		GHashTableIter each;
		gpointer id, n;

		if (now_ms - t->heard_ms > l->heard_for_ms) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		g_hash_table_iter_init(&each, t->running);
		while (g_hash_table_iter_next(&each, &id, &n))
			counts_set(l->sums, *(uint64_t *)id,
				   counts_get(l->sums, *(uint64_t *)id) +
					   GPOINTER_TO_INT(n));
	}
	l->sums_until_ms = now_ms + TELL_AGAIN_MS;
}

double loads_others(struct loads *l, uint64_t target, int64_t now_ms)
{
	int n;

	g_mutex_lock(&l->lock);
	if (now_ms >= l->sums_until_ms)
		sum_up(l, now_ms);
	n = counts_get(l->sums, target);
	g_mutex_unlock(&l->lock);
	return n;
}

void loads_set_pause(struct loads *l, int64_t pause_ms)
{
	g_mutex_lock(&l->lock);
	l->heard_for_ms = MAX(HEARD_FOR_MS, HEARD_FOR_PAUSES * pause_ms);
	g_mutex_unlock(&l->lock);
}

void loads_set_serving(struct loads *l, bool serving)
{
	g_mutex_lock(&l->lock);
	l->changed |= l->serving != serving;
	l->serving = serving;
	g_mutex_unlock(&l->lock);
}

bool loads_is_urgent(struct loads *l)
{
	bool urgent;

	g_mutex_lock(&l->lock);
	urgent = l->serving != l->told_serving;
	g_mutex_unlock(&l->lock);
	return urgent;
}

bool loads_node_serves(struct loads *l, uint64_t node, int64_t now_ms)
{
	struct teller *t;
	bool serves;

	g_mutex_lock(&l->lock);
	t = g_hash_table_lookup(l->tellers, &node);
	serves = t && t->serving && now_ms - t->heard_ms <= l->heard_for_ms;
	g_mutex_unlock(&l->lock);
	return serves;
}

bool loads_next(struct loads *l, int64_t now_ms, struct load_news *m,
		struct load_entry *entries)
{
	GHashTableIter it;
	gpointer id, count;

	g_mutex_lock(&l->lock);
	if (!l->changed && now_ms - l->told_ms < TELL_AGAIN_MS) {
		g_mutex_unlock(&l->lock);
		return false;
	}
	l->changed = false;
	l->told_ms = now_ms;
	l->told_serving = l->serving;
	*m = (struct load_news){
		.node = l->node,
		.seq = ++l->seq,
		.start = l->start,
		.serving = l->serving,
		.entries.entries_val = entries,
	};
	g_hash_table_iter_init(&it, l->own);
	while (m->entries.entries_len < LOADS_ENTRIES_MAX &&
	       g_hash_table_iter_next(&it, &id, &count))
		entries[m->entries.entries_len++] = (struct load_entry){
			*(uint64_t *)id, (u_int)GPOINTER_TO_INT(count)};
	g_mutex_unlock(&l->lock);
	return true;
}

static void take(struct loads *l, int64_t now_ms, const load_news *m)
{
	uint64_t node = m->node;
	struct teller *t = g_hash_table_lookup(l->tellers, &node);

	if (node == l->node)
		return;
	if (!t) {
		t = g_new0(struct teller, 1);
		t->running = counts_new();
		g_hash_table_insert(l->tellers, g_memdup2(&node, sizeof(node)),
				    t);
	}
	/* Datagrams overtake each other; a new start counts from 1 again. */
	if (m->start < t->start || (m->start == t->start && m->seq <= t->seq))
		return;
	t->start = m->start;
	t->seq = m->seq;
	t->heard_ms = now_ms;
	t->serving = m->serving;
	g_hash_table_remove_all(t->running);
	for (u_int i = 0; i < m->entries.entries_len; i++)
		counts_set(t->running, m->entries.entries_val[i].target,
			   (int)m->entries.entries_val[i].running);
	l->sums_until_ms = 0;
}

void loads_heard(struct loads *l, int64_t now_ms, const struct load_news *m)
{
	g_mutex_lock(&l->lock);
	take(l, now_ms, m);
	g_mutex_unlock(&l->lock);
}
