/*
 * standin: small programs that stand in for the systems around auburnramp (a
 * platform, a model engine, a plain service), and clients that check the
 * answers. They implement docs/CONTRACTS.md; tests, the demo and benchmarks
 * run them as processes of their own. This header declares what the programs
 * and the tests that check their answers share. Nothing in it takes a lock: a
 * program that shares a prefix cache between threads holds its own.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "http/http.h"

/*
 * Concatenate the messages of a chat, in order, each as "ROLE:CONTENT" and a
 * newline. Free with g_free.
 */
char *prompt_text(const json_t *messages);
/* Return the tokens of n bytes of prompt, counted as four bytes each. */
int64_t prompt_tokens(size_t n);
/*
 * Write word i of the answer to a prompt to buf, which holds n bytes. The word
 * depends on the prompt and i only, so that a client can check each answer.
 */
void answer_word(const char *prompt, int64_t i, char *buf, size_t n);

/*
 * Respond by breaking off the connection without a complete response, as if
 * the server had failed after it had done the work.
 */
int abort_response(struct _u_response *r);

/*
 * The prefix cache of an engine. When the token capacity is exceeded, the least
 * recently used prefixes are evicted.
 */
struct prefix_cache;

/* A change of the cache, as GET /cache/events reports it. */
struct cache_event {
	int64_t seq; /* from 1 on, without gaps */
	bool stored; /* false: evicted */
	uint64_t prefix;
};

struct prefix_cache *prefix_cache_new(int64_t capacity_tokens);
void prefix_cache_free(struct prefix_cache *c);
/*
 * Look up and then store each prefix of the chat that ends with a message.
 * Return the tokens of the longest prefix that was in the cache before.
 */
int64_t prefix_cache_add_prompt(struct prefix_cache *c, const json_t *messages);
/* Return the sum of the tokens of all stored prefixes. */
int64_t prefix_cache_used_tokens(const struct prefix_cache *c);
/* Store one prefix, as an import does, or mark it as recently used. */
void prefix_cache_put(struct prefix_cache *c, uint64_t prefix, int64_t tokens);
/* Evict all prefixes, as a restart does. */
void prefix_cache_clear(struct prefix_cache *c);
/*
 * Copy the events after sequence number after to out, oldest first, at most max
 * of them. Only the latest 4096 events are kept. Return their number.
 */
size_t prefix_cache_events(const struct prefix_cache *c, int64_t after,
			   struct cache_event *out, size_t max);

#endif
