/*
 * Prefix index, set-associative: a prefix maps to one bucket of WAYS entries
 * and has one entry for each target that holds it. A full bucket replaces its
 * least recently used entry.
 *
 * When events are lost, entries become stale. A request that follows a stale
 * entry only computes its prefix again.
 */
#include <glib.h>
#include <stdlib.h>
#include <xxhash.h>

#include "route/route.h"

#define WAYS PREFIX_MAX_HOLDERS

struct entry {
	uint64_t prefix;
	uint64_t target;    /* 0: free */
	uint64_t last_used; /* tick */
};

struct prefix_index {
	struct entry *entries;
	size_t buckets;
	uint64_t tick;        /* counts uses */
	GHashTable *last_seq; /* target -> seq of its last event */
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

static struct entry *find_bucket(const struct prefix_index *x, uint64_t prefix)
{
	uint64_t h = XXH3_64bits(&prefix, sizeof(prefix));

	return &x->entries[h % x->buckets * WAYS];
}

static struct entry *find_entry(const struct prefix_index *x, uint64_t prefix,
				uint64_t target)
{
	struct entry *b = find_bucket(x, prefix);

	for (int i = 0; i < WAYS; i++)
		if (b[i].target == target && b[i].prefix == prefix)
			return &b[i];
	return NULL;
}

/* Return a free entry of the prefix's bucket, or the least recently used. */
static struct entry *find_victim(const struct prefix_index *x, uint64_t prefix)
{
	struct entry *b = find_bucket(x, prefix), *e = b;

	for (int i = 0; i < WAYS; i++) {
		if (!b[i].target)
			return &b[i];
		if (b[i].last_used < e->last_used)
			e = &b[i];
	}
	return e;
}

bool prefix_index_add(struct prefix_index *x, uint64_t prefix, uint64_t target)
{
	struct entry *e = find_entry(x, prefix, target);

	if (e) {
		e->last_used = ++x->tick;
		return false;
	}
	*find_victim(x, prefix) = (struct entry){prefix, target, ++x->tick};
	return true;
}

bool prefix_index_holds(const struct prefix_index *x, uint64_t prefix,
			uint64_t target)
{
	return find_entry(x, prefix, target) != NULL;
}

static int compare_last_used(const void *a, const void *b)
{
	const struct entry *p = a, *q = b;

	return p->last_used < q->last_used ? 1 : -1;
}

size_t prefix_index_list(const struct prefix_index *x,
			 struct prefix_location *out, size_t max)
{
	struct entry *v = g_new(struct entry, x->buckets * WAYS);
	size_t n = 0;

	for (size_t i = 0; i < x->buckets * WAYS; i++)
		if (x->entries[i].target)
			v[n++] = x->entries[i];
	qsort(v, n, sizeof(v[0]), compare_last_used);
	n = MIN(n, max);
	for (size_t i = 0; i < n; i++)
		out[i] = (struct prefix_location){v[i].prefix, v[i].target};
	g_free(v);
	return n;
}

size_t prefix_index_holders(const struct prefix_index *x, uint64_t prefix,
			    uint64_t out[PREFIX_MAX_HOLDERS])
{
	const struct entry *b = find_bucket(x, prefix);
	struct entry held[WAYS];
	size_t n = 0;

	for (int i = 0; i < WAYS; i++)
		if (b[i].target && b[i].prefix == prefix)
			held[n++] = b[i];
	qsort(held, n, sizeof(held[0]), compare_last_used);
	for (size_t i = 0; i < n; i++)
		out[i] = held[i].target;
	return n;
}

/* Return whether the event is newer than the target's last one; record it. */
static bool is_new(struct prefix_index *x, const struct prefix_event *ev)
{
	uint64_t *last = g_hash_table_lookup(x->last_seq, &ev->target);
	uint64_t *id;

	if (last) {
		if (ev->seq <= *last)
			return false;
		*last = ev->seq;
		return true;
	}
	id = g_new(uint64_t, 1);
	last = g_new(uint64_t, 1);
	*id = ev->target;
	*last = ev->seq;
	g_hash_table_insert(x->last_seq, id, last);
	return true;
}

void prefix_index_apply(struct prefix_index *x, const struct prefix_event *ev)
{
	struct entry *e;

	if (!ev->target || !is_new(x, ev))
		return;
	if (ev->stored) {
		prefix_index_add(x, ev->prefix, ev->target);
		return;
	}
	e = find_entry(x, ev->prefix, ev->target);
	if (e)
		e->target = 0;
}

void prefix_index_drop_target(struct prefix_index *x, uint64_t target)
{
	for (size_t i = 0; i < x->buckets * WAYS; i++)
		if (x->entries[i].target == target)
			x->entries[i].target = 0;
	g_hash_table_remove(x->last_seq, &target);
}

uint64_t prefix_index_find_longest(struct prefix_index *x,
				   const uint64_t *prefixes, size_t n,
				   size_t *depth)
{
	uint64_t held[PREFIX_MAX_HOLDERS];

	for (size_t i = 0; i < n; i++) {
		if (!prefix_index_holders(x, prefixes[i], held))
			continue;
		prefix_index_add(x, prefixes[i], held[0]);
		*depth = i;
		return held[0];
	}
	return 0;
}
