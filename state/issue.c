/*
 * A key has the form "ramp-INCARNATION-EXPIRY-RANDOM", each part 16 hex digits.
 * Its calls are held in a hash table by claim name.
 */
#include "state/issue.h"

#include <string.h>

#define KEY_PREFIX "ramp-"

enum state {
	STATE_RUNNING,
	STATE_DONE,
	STATE_UNKNOWN,
	STATE_RELEASED,
};

/* The state of a key's call, over all its attempts. */
struct issued_call {
	enum state state;
	char *request;
	int64_t attempt;
	int64_t latest_ms;  /* deadline of the attempt */
	int64_t expires_ms; /* of the key: no attempt runs after it */
	/* The answer, if done. */
	int status;
	char *type;
	GBytes *body; /* NULL: not held */
};

struct issue {
	uint64_t incarnation;
	GHashTable *calls;   /* claim name -> issued_call */
	size_t answer_bytes; /* of all bodies held */
};

static void free_entry(void *p)
{
	struct issued_call *e = p;

	g_free(e->request);
	g_free(e->type);
	if (e->body)
		g_bytes_unref(e->body);
	g_free(e);
}

struct issue *issue_new(uint64_t incarnation)
{
	struct issue *is = g_new0(struct issue, 1);

	is->incarnation = incarnation;
	is->calls = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  free_entry);
	return is;
}

void issue_free(struct issue *is)
{
	g_hash_table_unref(is->calls);
	g_free(is);
}

char *issue_key(const struct issue *is, uint64_t random, int64_t now_ms)
{
	return g_strdup_printf(
		KEY_PREFIX "%016" G_GINT64_MODIFIER "x-%016" G_GINT64_MODIFIER
			   "x-%016" G_GINT64_MODIFIER "x",
		is->incarnation, (uint64_t)(now_ms + ISSUE_VALID_MS), random);
}

bool issue_is_key(struct str key)
{
	return key.len == strlen(KEY_PREFIX) + 3 * 16 + 2 &&
	       !memcmp(key.data, KEY_PREFIX, strlen(KEY_PREFIX));
}

/* Return the expiry in a key of this incarnation, 0 for any other key. */
static int64_t key_expiry_ms(const struct issue *is, struct str key)
{
	const char *p = key.data + strlen(KEY_PREFIX);
	char hex[17] = {0};

	memcpy(hex, p, 16);
	if (g_ascii_strtoull(hex, NULL, 16) != is->incarnation)
		return 0;
	memcpy(hex, p + 17, 16);
	return (int64_t)g_ascii_strtoull(hex, NULL, 16);
}

/* Argument of is_expired. */
struct purge_context {
	struct issue *issue;
	int64_t now_ms;
};

static gboolean is_expired(void *key, void *value, void *ctx)
{
	struct issued_call *e = value;
	struct purge_context *p = ctx;

	(void)key;
	if (e->state == STATE_RUNNING || e->expires_ms > p->now_ms)
		return FALSE;
	if (e->body)
		p->issue->answer_bytes -= g_bytes_get_size(e->body);
	return TRUE;
}

/* Expired keys are removed only when the table is full. */
static bool has_room(struct issue *is, int64_t now_ms)
{
	struct purge_context p = {is, now_ms};

	if (g_hash_table_size(is->calls) < ISSUE_KEYS_MAX)
		return true;
	g_hash_table_foreach_remove(is->calls, is_expired, &p);
	return g_hash_table_size(is->calls) < ISSUE_KEYS_MAX;
}

static enum claim_verdict begin_new(struct issue *is,
				    const struct claim_request *q,
				    int64_t expires_ms, int64_t now_ms)
{
	struct issued_call *e;

	if (!has_room(is, now_ms))
		return CLAIM_NO_STORE;
	e = g_new0(struct issued_call, 1);
	e->request = g_strdup(q->request);
	e->attempt = q->attempt;
	e->latest_ms = q->latest_ms;
	e->expires_ms = expires_ms;
	g_hash_table_insert(is->calls, g_strdup(q->name), e);
	return CLAIM_RUN;
}

static enum claim_verdict begin_repeat(struct issued_call *e,
				       const struct claim_request *q,
				       struct claim_result *out)
{
	gsize n = 0;

	if (strcmp(e->request, q->request))
		return CLAIM_MISMATCH;
	if (e->state == STATE_UNKNOWN)
		return CLAIM_UNKNOWN;
	if (e->state == STATE_RUNNING) {
		out->retry_at_ms = e->latest_ms;
		return CLAIM_RUNNING;
	}
	if (e->state == STATE_RELEASED && q->attempt <= e->attempt)
		return CLAIM_RELEASED;
	if (e->state == STATE_RELEASED) {
		e->state = STATE_RUNNING;
		e->attempt = q->attempt;
		e->latest_ms = q->latest_ms;
		return CLAIM_RUN;
	}
	out->answer.status = e->status;
	out->answer.type = e->type;
	out->answer.kept = e->body != NULL;
	if (e->body)
		out->answer.body.data = g_bytes_get_data(e->body, &n);
	out->answer.body.len = n;
	return CLAIM_STORED;
}

enum claim_verdict issue_begin(struct issue *is, struct str key,
			       const struct claim_request *q, int64_t now_ms,
			       struct claim_result *out)
{
	int64_t expires_ms = key_expiry_ms(is, key);
	struct issued_call *e = g_hash_table_lookup(is->calls, q->name);

	*out = (struct claim_result){0};
	if (e && e->expires_ms > now_ms)
		out->verdict = begin_repeat(e, q, out);
	else if (expires_ms <= now_ms || expires_ms > now_ms + ISSUE_VALID_MS)
		out->verdict = CLAIM_UNKNOWN;
	else
		out->verdict = begin_new(is, q, expires_ms, now_ms);
	return out->verdict;
}

static void store_answer(struct issue *is, struct issued_call *e,
			 const struct claim_answer *a)
{
	e->status = a->status;
	e->type = g_strdup(a->type);
	if (!a->kept || a->body.len > ISSUE_ANSWER_MAX_BYTES ||
	    is->answer_bytes + a->body.len > ISSUE_ANSWERS_MAX_BYTES)
		return;
	is->answer_bytes += a->body.len;
	e->body = g_bytes_new(a->body.data, a->body.len);
}

void issue_end(struct issue *is, const char *name, enum claim_end outcome,
	       const struct claim_answer *a)
{
	static const enum state states[] = {
		[CLAIM_ENDED_DONE] = STATE_DONE,
		[CLAIM_ENDED_UNKNOWN] = STATE_UNKNOWN,
		[CLAIM_ENDED_NOT_RUN] = STATE_RELEASED,
	};
	struct issued_call *e = g_hash_table_lookup(is->calls, name);

	e->state = states[outcome];
	if (outcome == CLAIM_ENDED_DONE)
		store_answer(is, e, a);
}
