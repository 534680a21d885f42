/*
 * Prompt holders: which targets have which prompt prefixes in their cache, by
 * the requests of this node and the reports of the others. Used by the traffic
 * thread and the control thread under a lock.
 */
#include "entry/follow.h"

/* Some 24 bytes each; a prefix in use is held by two or three targets. */
#define INDEX_ENTRIES_MAX 8192
/* Entries queued for reports; when it is full, the oldest are dropped. */
#define UNSENT_MAX 256

struct holders {
	GMutex lock;
	struct prefix_index *index;
	/* Ring buffer of what the other nodes have not been sent yet. */
	struct held_entry unsent[UNSENT_MAX];
	size_t unsent_first, unsent_count;
	uint64_t changes; /* number of new entries so far */
};

struct holders *holds_new(void)
{
	struct holders *h = g_new0(struct holders, 1);

	h->index = prefix_index_new(INDEX_ENTRIES_MAX);
	return h;
}

void holds_free(struct holders *h)
{
	prefix_index_free(h->index);
	g_free(h);
}

/* Queue a new entry for the next reports to the other nodes. */
static void queue_unsent(struct holders *h, uint64_t prefix, uint64_t target)
{
	h->changes++;
	if (h->unsent_count == UNSENT_MAX) {
		h->unsent_first = (h->unsent_first + 1) % UNSENT_MAX;
		h->unsent_count--;
	}
	h->unsent[(h->unsent_first + h->unsent_count++) % UNSENT_MAX] =
		(struct held_entry){prefix, target};
}

void holds_note(struct holders *h, const struct prompt *p, uint64_t target)
{
	g_mutex_lock(&h->lock);
	for (size_t i = 0; i < p->part_count; i++)
		if (prefix_index_note(h->index, p->parts[i], target))
			queue_unsent(h, p->parts[i], target);
	g_mutex_unlock(&h->lock);
}

void holds_heard(struct holders *h, const struct held_entry *v, size_t n)
{
	g_mutex_lock(&h->lock);
	for (size_t i = 0; i < n; i++)
		h->changes +=
			prefix_index_note(h->index, v[i].part, v[i].target);
	g_mutex_unlock(&h->lock);
}

size_t holds_next(struct holders *h, struct held_entry *out)
{
	size_t n;

	g_mutex_lock(&h->lock);
	for (n = 0; n < HELD_MAX && h->unsent_count; n++) {
		out[n] = h->unsent[h->unsent_first];
		h->unsent_first = (h->unsent_first + 1) % UNSENT_MAX;
		h->unsent_count--;
	}
	g_mutex_unlock(&h->lock);
	return n;
}

size_t holds_source(struct holders *h, const struct prompt *p,
		    const struct place_target *t, size_t n, size_t chosen)
{
	size_t at;

	g_mutex_lock(&h->lock);
	at = place_source(p->parts, p->part_count, h->index, t, n, chosen);
	g_mutex_unlock(&h->lock);
	return at;
}

size_t holds_list(struct holders *h, struct held_entry *out, size_t max)
{
	struct prefix_held *v = g_new(struct prefix_held, max);
	size_t n;

	g_mutex_lock(&h->lock);
	n = prefix_index_list(h->index, v, max);
	g_mutex_unlock(&h->lock);
	for (size_t i = 0; i < n; i++)
		out[i] = (struct held_entry){v[i].prefix, v[i].target};
	g_free(v);
	return n;
}

uint64_t holds_changes(struct holders *h)
{
	uint64_t n;

	g_mutex_lock(&h->lock);
	n = h->changes;
	g_mutex_unlock(&h->lock);
	return n;
}
