/* The prefix cache of the engine stand-in and the log of its changes. */
#include <string.h>

#include "standin/standin.h"

#define EVENTS_KEPT 4096

struct entry {
	uint64_t prefix;
	int64_t tokens;
	GList *lru_link; /* the link of this entry in lru */
};

struct prefix_cache {
	int64_t capacity_tokens;
	int64_t used_tokens;
	GHashTable *entries; /* prefix -> struct entry */
	GQueue lru;          /* of struct entry, most recently used first */
	struct cache_event events[EVENTS_KEPT]; /* ring; seq gives the index */
	int64_t last_seq;
};

struct prefix_cache *prefix_cache_new(int64_t capacity_tokens)
{
	struct prefix_cache *c = g_new0(struct prefix_cache, 1);

	c->capacity_tokens = capacity_tokens;
	c->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	g_queue_init(&c->lru);
	return c;
}

void prefix_cache_free(struct prefix_cache *c)
{
	g_queue_clear(&c->lru);
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

static void evict_least_recent(struct prefix_cache *c)
{
	struct entry *e = g_queue_pop_tail(&c->lru);

	c->used_tokens -= e->tokens;
	add_event(c, false, e->prefix);
	g_hash_table_remove(c->entries, &e->prefix);
}

void prefix_cache_put(struct prefix_cache *c, uint64_t prefix, int64_t tokens)
{
	struct entry *e = g_hash_table_lookup(c->entries, &prefix);

	if (e) {
		g_queue_unlink(&c->lru, e->lru_link);
		g_queue_push_head_link(&c->lru, e->lru_link);
		return;
	}
	if (tokens > c->capacity_tokens)
		return;
	while (c->used_tokens + tokens > c->capacity_tokens)
		evict_least_recent(c);
	e = g_new0(struct entry, 1);
	e->prefix = prefix;
	e->tokens = tokens;
	g_queue_push_head(&c->lru, e);
	e->lru_link = c->lru.head;
	g_hash_table_insert(c->entries, &e->prefix, e);
	c->used_tokens += tokens;
	add_event(c, true, prefix);
}

void prefix_cache_clear(struct prefix_cache *c)
{
	while (c->lru.length)
		evict_least_recent(c);
}

int64_t prefix_cache_add_prompt(struct prefix_cache *c, const json_t *messages)
{
	GString *text = g_string_new(NULL);
	int64_t cached = 0;
	size_t previous_len = 0;
	size_t i;
	json_t *message;

	json_array_foreach (messages, i, message) {
		json_t *message_alone = json_pack("[O]", message);
		char *message_text = prompt_text(message_alone);
		uint64_t prefix;

		g_string_append(text, message_text);
		g_free(message_text);
		json_decref(message_alone);
		prefix = str_hash((struct str){text->str, text->len}, 0);
		if (g_hash_table_contains(c->entries, &prefix))
			cached = prompt_tokens(text->len);
		/*
		 * An entry counts only the tokens that it adds to the next
		 * shorter prefix.
		 */
		prefix_cache_put(c, prefix,
				 prompt_tokens(text->len - previous_len));
		previous_len = text->len;
	}
	g_string_free(text, TRUE);
	return cached;
}

int64_t prefix_cache_used_tokens(const struct prefix_cache *c)
{
	return c->used_tokens;
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
