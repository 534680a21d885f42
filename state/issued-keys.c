/*
 * A key has the form "ramp-INCARNATION-EXPIRY-RANDOM", each part 16 hex digits.
 * Its calls are held in a hash table by claim name.
 */
#include "state/issued-keys.h"

#include <string.h>

#define KEY_PREFIX "ramp-"

enum call_state {
	STATE_RUNNING,
	STATE_DONE,
	STATE_UNKNOWN,
	STATE_RELEASED,
};

/* The state of a key's call, over all its attempts. */
struct issued_call {
	enum call_state state;
	char *request;
	int64_t attempt;
	int64_t latest_ms;  /* deadline of the attempt */
	int64_t expires_ms; /* of the key: no attempt runs after it */
	/* The answer, if done. */
	int status;
	char *type;
	GBytes *body; /* NULL: not held */
};

struct issued_keys {
	uint64_t incarnation;
	GHashTable *calls;   /* claim name -> issued_call */
	size_t answer_bytes; /* of all bodies held */
};

static void free_call(void *p)
{
	struct issued_call *call = p;

	g_free(call->request);
	g_free(call->type);
	if (call->body)
		g_bytes_unref(call->body);
	g_free(call);
}

struct issued_keys *issued_keys_new(uint64_t incarnation)
{
	struct issued_keys *keys = g_new0(struct issued_keys, 1);

	keys->incarnation = incarnation;
	keys->calls = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_call);
	return keys;
}

void issued_keys_free(struct issued_keys *keys)
{
	g_hash_table_unref(keys->calls);
	g_free(keys);
}

char *issued_keys_generate(const struct issued_keys *keys, uint64_t random,
			   int64_t now_ms)
{
	return g_strdup_printf(
		KEY_PREFIX "%016" G_GINT64_MODIFIER "x-%016" G_GINT64_MODIFIER
			   "x-%016" G_GINT64_MODIFIER "x",
		keys->incarnation, (uint64_t)(now_ms + ISSUED_KEY_VALID_MS),
		random);
}

bool is_issued_key(struct str key)
{
	return key.len == strlen(KEY_PREFIX) + 3 * 16 + 2 &&
	       !memcmp(key.data, KEY_PREFIX, strlen(KEY_PREFIX));
}

/* Return the expiry in a key of this incarnation, 0 for any other key. */
static int64_t key_expiry_ms(const struct issued_keys *keys, struct str key)
{
	const char *p = key.data + strlen(KEY_PREFIX);
	char hex[17] = {0};

	memcpy(hex, p, 16);
	if (g_ascii_strtoull(hex, NULL, 16) != keys->incarnation)
		return 0;
	memcpy(hex, p + 17, 16);
	return (int64_t)g_ascii_strtoull(hex, NULL, 16);
}

/* Argument of is_expired. */
struct purge_context {
	struct issued_keys *keys;
	int64_t now_ms;
};

static gboolean is_expired(void *key, void *value, void *ctx)
{
	struct issued_call *call = value;
	struct purge_context *p = ctx;

	(void)key;
	if (call->state == STATE_RUNNING || call->expires_ms > p->now_ms)
		return FALSE;
	if (call->body)
		p->keys->answer_bytes -= g_bytes_get_size(call->body);
	return TRUE;
}

/* Expired keys are removed only if the table is full, never a running call. */
static bool has_room(struct issued_keys *keys, int64_t now_ms)
{
	struct purge_context p = {keys, now_ms};

	if (g_hash_table_size(keys->calls) < ISSUED_KEYS_MAX)
		return true;
	g_hash_table_foreach_remove(keys->calls, is_expired, &p);
	return g_hash_table_size(keys->calls) < ISSUED_KEYS_MAX;
}

static enum claim_verdict begin_new(struct issued_keys *keys,
				    const struct claim_request *q,
				    int64_t expires_ms, int64_t now_ms)
{
	struct issued_call *call;

	if (!has_room(keys, now_ms))
		return CLAIM_STORE_UNAVAILABLE;
	call = g_new0(struct issued_call, 1);
	call->request = g_strdup(q->request);
	call->attempt = q->attempt;
	call->latest_ms = q->latest_ms;
	call->expires_ms = expires_ms;
	g_hash_table_insert(keys->calls, g_strdup(q->name), call);
	return CLAIM_GRANTED;
}

static enum claim_verdict begin_repeat(struct issued_call *call,
				       const struct claim_request *q,
				       struct claim_result *out)
{
	gsize n = 0;

	if (strcmp(call->request, q->request))
		return CLAIM_KEY_REUSED;
	if (call->state == STATE_UNKNOWN)
		return CLAIM_OUTCOME_UNKNOWN;
	if (call->state == STATE_RUNNING) {
		out->retry_at_ms = call->latest_ms;
		return CLAIM_IN_PROGRESS;
	}
	if (call->state == STATE_RELEASED && q->attempt <= call->attempt)
		return CLAIM_RELEASED;
	if (call->state == STATE_RELEASED) {
		call->state = STATE_RUNNING;
		call->attempt = q->attempt;
		call->latest_ms = q->latest_ms;
		return CLAIM_GRANTED;
	}
	out->answer.status = call->status;
	out->answer.type = call->type;
	out->answer.body_stored = call->body != NULL;
	if (call->body)
		out->answer.body.data = g_bytes_get_data(call->body, &n);
	out->answer.body.len = n;
	return CLAIM_COMPLETED;
}

enum claim_verdict issued_keys_begin(struct issued_keys *keys, struct str key,
				     const struct claim_request *q,
				     int64_t now_ms, struct claim_result *out)
{
	int64_t expires_ms = key_expiry_ms(keys, key);
	struct issued_call *call = g_hash_table_lookup(keys->calls, q->name);

	*out = (struct claim_result){0};
	if (call && call->expires_ms > now_ms)
		out->verdict = begin_repeat(call, q, out);
	else if (expires_ms <= now_ms ||
		 expires_ms > now_ms + ISSUED_KEY_VALID_MS)
		out->verdict = CLAIM_OUTCOME_UNKNOWN;
	else
		out->verdict = begin_new(keys, q, expires_ms, now_ms);
	return out->verdict;
}

static void store_answer(struct issued_keys *keys, struct issued_call *call,
			 const struct claim_answer *a)
{
	call->status = a->status;
	call->type = g_strdup(a->type);
	if (!a->body_stored || a->body.len > ISSUED_ANSWER_MAX_BYTES ||
	    keys->answer_bytes + a->body.len > ISSUED_ANSWERS_MAX_BYTES)
		return;
	keys->answer_bytes += a->body.len;
	call->body = g_bytes_new(a->body.data, a->body.len);
}

void issued_keys_end(struct issued_keys *keys, const char *name,
		     enum claim_outcome outcome, const struct claim_answer *a)
{
	static const enum call_state end_states[] = {
		[CLAIM_ENDED_COMPLETE] = STATE_DONE,
		[CLAIM_ENDED_UNKNOWN] = STATE_UNKNOWN,
		[CLAIM_ENDED_NOT_RUN] = STATE_RELEASED,
	};
	struct issued_call *call = g_hash_table_lookup(keys->calls, name);

	call->state = end_states[outcome];
	if (outcome == CLAIM_ENDED_COMPLETE)
		store_answer(keys, call, a);
}
