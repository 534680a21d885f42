#include "entry/follow.h"

/* Some 24 bytes each; a part that is used is held by two targets or three. */
#define ENTRIES 8192
/* News that wait to be told; when there are more the oldest are left out. */
#define NEWS_MAX 256

struct holds {
	GMutex lock;
	struct prefix_index *index;
	struct held_entry news[NEWS_MAX]; /* a ring */
	size_t first, count;
	uint64_t changes;
};

struct holds *holds_new(void)
{
	struct holds *h = g_new0(struct holds, 1);

	h->index = prefix_index_new(ENTRIES);
	return h;
}

void holds_free(struct holds *h)
{
	prefix_index_free(h->index);
	g_free(h);
}

static void add_news(struct holds *h, uint64_t part, uint64_t target)
{
	h->changes++;
	if (h->count == NEWS_MAX) {
		h->first = (h->first + 1) % NEWS_MAX;
		h->count--;
	}
	h->news[(h->first + h->count++) % NEWS_MAX] =
		(struct held_entry){part, target};
}

void holds_note(struct holds *h, const struct prompt *p, uint64_t target)
{
	g_mutex_lock(&h->lock);
	for (size_t i = 0; i < p->part_count; i++)
		if (prefix_index_note(h->index, p->parts[i], target))
			add_news(h, p->parts[i], target);
	g_mutex_unlock(&h->lock);
}

void holds_heard(struct holds *h, const struct held_entry *v, size_t n)
{
	g_mutex_lock(&h->lock);
	for (size_t i = 0; i < n; i++)
		h->changes +=
			prefix_index_note(h->index, v[i].part, v[i].target);
	g_mutex_unlock(&h->lock);
}

size_t holds_next(struct holds *h, struct held_entry *out)
{
	size_t n;

	g_mutex_lock(&h->lock);
	for (n = 0; n < HELD_MAX && h->count; n++) {
		out[n] = h->news[h->first];
		h->first = (h->first + 1) % NEWS_MAX;
		h->count--;
	}
	g_mutex_unlock(&h->lock);
	return n;
}

size_t holds_source(struct holds *h, const struct prompt *p,
		    const struct place_target *t, size_t n, size_t chosen)
{
	size_t at;

	g_mutex_lock(&h->lock);
	at = place_source(p->parts, p->part_count, h->index, t, n, chosen);
	g_mutex_unlock(&h->lock);
	return at;
}

size_t holds_list(struct holds *h, struct held_entry *out, size_t max)
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

uint64_t holds_changes(struct holds *h)
{
	uint64_t n;

	g_mutex_lock(&h->lock);
	n = h->changes;
	g_mutex_unlock(&h->lock);
	return n;
}
