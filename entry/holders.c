/*
 * Prompt holders: which targets have which prompt prefixes in their cache, from
 * the requests of this node and the reports of the other nodes. Used by the
 * traffic thread and the control thread under a lock.
 */
#include "entry/store-clients.h"

/* Some 24 bytes each; a prefix in use is held by two or three targets. */
#define INDEX_ENTRIES_MAX 8192
/* Entries queued for reports; when it is full, the oldest are dropped. */
#define UNSENT_MAX 256

struct holders {
	GMutex lock;
	struct prefix_index *index;
	/* Ring buffer of entries not yet sent to the other nodes. */
	struct prompt_holder unsent[UNSENT_MAX];
	size_t unsent_first, unsent_count;
	uint64_t changes; /* number of new entries so far */
};

struct holders *holders_new(void)
{
	struct holders *h = g_new0(struct holders, 1);

	h->index = prefix_index_new(INDEX_ENTRIES_MAX);
	return h;
}

void holders_free(struct holders *h)
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
		(struct prompt_holder){prefix, target};
}

void holders_record(struct holders *h, const struct prompt *p, uint64_t target)
{
	g_mutex_lock(&h->lock);
	for (size_t i = 0; i < p->part_count; i++)
		if (prefix_index_add(h->index, p->parts[i], target))
			queue_unsent(h, p->parts[i], target);
	g_mutex_unlock(&h->lock);
}

void holders_receive(struct holders *h, const struct prompt_holder *v, size_t n)
{
	g_mutex_lock(&h->lock);
	for (size_t i = 0; i < n; i++)
		h->changes += prefix_index_add(h->index, v[i].prompt_part,
					       v[i].target);
	g_mutex_unlock(&h->lock);
}

size_t holders_next_unsent(struct holders *h, struct prompt_holder *out)
{
	size_t n;

	g_mutex_lock(&h->lock);
	for (n = 0; n < HOLDERS_PER_REPORT_MAX && h->unsent_count; n++) {
		out[n] = h->unsent[h->unsent_first];
		h->unsent_first = (h->unsent_first + 1) % UNSENT_MAX;
		h->unsent_count--;
	}
	g_mutex_unlock(&h->lock);
	return n;
}

size_t holders_fetch_source(struct holders *h, const struct prompt *p,
			    const struct place_target *t, size_t n,
			    size_t chosen)
{
	size_t at;

	g_mutex_lock(&h->lock);
	at = place_source(p->parts, p->part_count, h->index, t, n, chosen);
	g_mutex_unlock(&h->lock);
	return at;
}

size_t holders_list(struct holders *h, struct prompt_holder *out, size_t max)
{
	struct prefix_location *v = g_new(struct prefix_location, max);
	size_t n;

	g_mutex_lock(&h->lock);
	n = prefix_index_list(h->index, v, max);
	g_mutex_unlock(&h->lock);
	for (size_t i = 0; i < n; i++)
		out[i] = (struct prompt_holder){v[i].prefix, v[i].target};
	g_free(v);
	return n;
}

uint64_t holders_change_count(struct holders *h)
{
	uint64_t n;

	g_mutex_lock(&h->lock);
	n = h->changes;
	g_mutex_unlock(&h->lock);
	return n;
}
