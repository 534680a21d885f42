/*
 * standin: small stand-ins for the systems around auburnramp (a platform, a
 * model engine, a plain service) and a caller that checks its answers. They
 * implement docs/CONTRACTS.md and are used by tests, the demo and benches.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "http/http.h"

/*
 * Body of the prompt as one string: role and content of each message, in
 * order. Free with g_free.
 */
char *prompt_text(const json_t *messages);
/* Tokens in n bytes of prompt; the stand-ins count four bytes as one. */
int64_t prompt_tokens(size_t n);
/* Word i of the answer to a prompt: a function of both alone. */
void answer_word(const char *prompt, int64_t i, char *buf, size_t n);

/* Break off the connection in place of an answer; the effect stands. */
int answer_lost(struct _u_response *r);

/*
 * The prefix cache of an engine: least recently used prefixes go first when
 * the token budget is full.
 */
struct prefix_cache;

/* A change of the cache, kept for GET /cache/events. */
struct cache_event {
	int64_t seq;
	bool stored; /* false: evicted */
	uint64_t prefix;
};

struct prefix_cache *prefix_cache_new(int64_t capacity_tokens);
void prefix_cache_free(struct prefix_cache *c);
/*
 * Look up and then store every message prefix of the prompt. Returns the
 * tokens of the longest prefix that was cached before.
 */
int64_t prefix_cache_use(struct prefix_cache *c, const json_t *messages);
int64_t prefix_cache_tokens(const struct prefix_cache *c);
/* Store or drop one prefix, as import and a restart do. */
void prefix_cache_put(struct prefix_cache *c, uint64_t prefix, int64_t tokens);
void prefix_cache_clear(struct prefix_cache *c);
/* Events after a sequence number, oldest first, at most max of them. */
size_t prefix_cache_events(const struct prefix_cache *c, int64_t after,
			   struct cache_event *out, size_t max);

#endif
