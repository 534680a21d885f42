/*
 * The index is set-associative: each prefix has one bucket of WAYS entries,
 * one for each target that holds it, and a full bucket drops the entry that
 * was used longest ago. Lost events
 * leave entries that no longer hold; a request that follows one reads its
 * prefix again, and nothing else goes wrong.
 */
#include <glib.h>
#include <stdlib.h>
#include <xxhash.h>

#include "route/route.h"

#define WAYS PREFIX_HOLDERS

struct entry {
	uint64_t prefix;
	uint64_t target; /* 0: free */
	uint64_t used;   /* tick of the last use */
};

struct prefix_index {
	struct entry *entries;
	size_t buckets;
	uint64_t tick;
	GHashTable *last_seq; /* target -> number of its last event */
};

struct prefix_index *prefix_index_new(size_t entries)
{
	struct prefix_index *x = g_new0(struct prefix_index, 1);

	x->buckets = MAX(entries / WAYS, 1);
	x->entries = g_new0(struct entry, x->buckets * WAYS);
	x->last_seq = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    g_free);
	return x;
}

void prefix_index_free(struct prefix_index *x)
{
	g_hash_table_unref(x->last_seq);
	g_free(x->entries);
	g_free(x);
}

static struct entry *bucket(const struct prefix_index *x, uint64_t prefix)
{
	uint64_t h = XXH3_64bits(&prefix, sizeof(prefix));

	return &x->entries[h % x->buckets * WAYS];
}

static struct entry *find(const struct prefix_index *x, uint64_t prefix,
			  uint64_t target)
{
	struct entry *b = bucket(x, prefix);

	for (int i = 0; i < WAYS; i++)
		if (b[i].target == target && b[i].prefix == prefix)
			return &b[i];
	return NULL;
}

/* The entry to be replaced by a new one of the prefix. */
static struct entry *spare(const struct prefix_index *x, uint64_t prefix)
{
	struct entry *b = bucket(x, prefix), *e = b;

	for (int i = 0; i < WAYS; i++) {
		if (!b[i].target)
			return &b[i];
		if (b[i].used < e->used)
			e = &b[i];
	}
	return e;
}

bool prefix_index_note(struct prefix_index *x, uint64_t prefix, uint64_t target)
{
	struct entry *e = find(x, prefix, target);

	if (e) {
		e->used = ++x->tick;
		return false;
	}
	*spare(x, prefix) = (struct entry){prefix, target, ++x->tick};
	return true;
}

bool prefix_index_holds(const struct prefix_index *x, uint64_t prefix,
			uint64_t target)
{
	return find(x, prefix, target) != NULL;
}

static int by_use(const void *a, const void *b)
{
	const struct entry *p = a, *q = b;

	return p->used < q->used ? 1 : -1;
}

size_t prefix_index_list(const struct prefix_index *x, struct prefix_held *out,
			 size_t max)
{
	struct entry *v = g_new(struct entry, x->buckets * WAYS);
	size_t n = 0;

	for (size_t i = 0; i < x->buckets * WAYS; i++)
		if (x->entries[i].target)
			v[n++] = x->entries[i];
	qsort(v, n, sizeof(v[0]), by_use);
	n = MIN(n, max);
	for (size_t i = 0; i < n; i++)
		out[i] = (struct prefix_held){v[i].prefix, v[i].target};
	g_free(v);
	return n;
}

size_t prefix_index_holders(const struct prefix_index *x, uint64_t prefix,
			    uint64_t out[PREFIX_HOLDERS])
{
	const struct entry *b = bucket(x, prefix);
	struct entry held[WAYS];
	size_t n = 0;

	for (int i = 0; i < WAYS; i++)
		if (b[i].target && b[i].prefix == prefix)
			held[n++] = b[i];
	qsort(held, n, sizeof(held[0]), by_use);
	for (size_t i = 0; i < n; i++)
		out[i] = held[i].target;
	return n;
}

/* Return: whether the event is newer than all that came before it. */
static bool is_new(struct prefix_index *x, const struct cache_change *c)
{
	uint64_t *last = g_hash_table_lookup(x->last_seq, &c->target);
	uint64_t *id;

	if (last) {
		if (c->seq <= *last)
			return false;
		*last = c->seq;
		return true;
	}
	id = g_new(uint64_t, 1);
	last = g_new(uint64_t, 1);
	*id = c->target;
	*last = c->seq;
	g_hash_table_insert(x->last_seq, id, last);
	return true;
}

void prefix_index_feed(struct prefix_index *x, const struct cache_change *c)
{
	struct entry *e;

	if (!c->target || !is_new(x, c))
		return;
	if (c->stored) {
		prefix_index_note(x, c->prefix, c->target);
		return;
	}
	e = find(x, c->prefix, c->target);
	if (e)
		e->target = 0;
}

void prefix_index_forget(struct prefix_index *x, uint64_t target)
{
	for (size_t i = 0; i < x->buckets * WAYS; i++)
		if (x->entries[i].target == target)
			x->entries[i].target = 0;
	g_hash_table_remove(x->last_seq, &target);
}

uint64_t prefix_index_find(struct prefix_index *x, const uint64_t *prefixes,
			   size_t n, size_t *depth)
{
	uint64_t held[PREFIX_HOLDERS];

	for (size_t i = 0; i < n; i++) {
		if (!prefix_index_holders(x, prefixes[i], held))
			continue;
		prefix_index_note(x, prefixes[i], held[0]);
		*depth = i;
		return held[0];
	}
	return 0;
}
