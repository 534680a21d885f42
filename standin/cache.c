#include <string.h>

#include "standin/standin.h"

#define EVENTS_KEPT 4096

struct entry {
	uint64_t prefix;
	int64_t tokens;
	GList *node; /* in by_use, most recent first */
};

struct prefix_cache {
	int64_t capacity;
	int64_t used;
	GHashTable *entries;
	GQueue by_use;
	struct cache_event events[EVENTS_KEPT]; /* ring, by sequence number */
	int64_t last_seq;
};

struct prefix_cache *prefix_cache_new(int64_t capacity_tokens)
{
	struct prefix_cache *c = g_new0(struct prefix_cache, 1);

	c->capacity = capacity_tokens;
	c->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	g_queue_init(&c->by_use);
	return c;
}

void prefix_cache_free(struct prefix_cache *c)
{
	g_queue_clear(&c->by_use);
	g_hash_table_unref(c->entries);
	g_free(c);
}

static void add_event(struct prefix_cache *c, bool stored, uint64_t prefix)
{
	struct cache_event *e;

	c->last_seq++;
	e = &c->events[c->last_seq % EVENTS_KEPT];
	*e = (struct cache_event){c->last_seq, stored, prefix};
}

static void evict_oldest(struct prefix_cache *c)
{
	struct entry *e = g_queue_pop_tail(&c->by_use);

	c->used -= e->tokens;
	add_event(c, false, e->prefix);
	g_hash_table_remove(c->entries, &e->prefix);
}

void prefix_cache_put(struct prefix_cache *c, uint64_t prefix, int64_t tokens)
{
	struct entry *e = g_hash_table_lookup(c->entries, &prefix);

	if (e) {
		g_queue_unlink(&c->by_use, e->node);
		g_queue_push_head_link(&c->by_use, e->node);
		return;
	}
	if (tokens > c->capacity)
		return;
	while (c->used + tokens > c->capacity)
		evict_oldest(c);
	e = g_new0(struct entry, 1);
	e->prefix = prefix;
	e->tokens = tokens;
	g_queue_push_head(&c->by_use, e);
	e->node = c->by_use.head;
	g_hash_table_insert(c->entries, &e->prefix, e);
	c->used += tokens;
	add_event(c, true, prefix);
}

void prefix_cache_clear(struct prefix_cache *c)
{
	while (c->by_use.length)
		evict_oldest(c);
}

int64_t prefix_cache_use(struct prefix_cache *c, const json_t *messages)
{
	GString *text = g_string_new(NULL);
	int64_t cached = 0;
	size_t before = 0;
	size_t i;
	json_t *m;

	json_array_foreach (messages, i, m) {
		json_t *one = json_pack("[O]", m);
		char *s = prompt_text(one);
		uint64_t h;

		g_string_append(text, s);
		g_free(s);
		json_decref(one);
		h = str_hash((struct str){text->str, text->len}, 0);
		if (g_hash_table_contains(c->entries, &h))
			cached = prompt_tokens(text->len);
		/* Each entry weighs what it adds to the prefix before it. */
		prefix_cache_put(c, h, prompt_tokens(text->len - before));
		before = text->len;
	}
	g_string_free(text, TRUE);
	return cached;
}

int64_t prefix_cache_tokens(const struct prefix_cache *c)
{
	return c->used;
}

size_t prefix_cache_events(const struct prefix_cache *c, int64_t after,
			   struct cache_event *out, size_t max)
{
	int64_t seq = MAX(after + 1, c->last_seq - EVENTS_KEPT + 1);
	size_t n = 0;

	for (seq = MAX(seq, 1); seq <= c->last_seq && n < max; seq++)
		out[n++] = c->events[seq % EVENTS_KEPT];
	return n;
}
