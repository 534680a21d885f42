#include "state/issue.h"

#include <string.h>

#define PREFIX "ramp-"

enum state {
	STATE_RUNNING,
	STATE_DONE,
	STATE_UNKNOWN,
	STATE_RELEASED,
};

struct entry {
	enum state state;
	char *request;
	int64_t attempt;
	int64_t latest_ms;  /* of the call */
	int64_t expires_ms; /* of the key: it never runs after this */
	int status;
	char *type;
	GBytes *body;
};

struct issue {
	uint64_t incarnation;
	GHashTable *entries; /* claim name -> struct entry */
	size_t answer_bytes;
};

static void free_entry(void *p)
{
	struct entry *e = p;

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
	is->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_entry);
	return is;
}

void issue_free(struct issue *is)
{
	g_hash_table_unref(is->entries);
	g_free(is);
}

char *issue_key(const struct issue *is, uint64_t random, int64_t now_ms)
{
	return g_strdup_printf(
		PREFIX "%016" G_GINT64_MODIFIER "x-%016" G_GINT64_MODIFIER
		       "x-%016" G_GINT64_MODIFIER "x",
		is->incarnation, (uint64_t)(now_ms + ISSUE_VALID_MS), random);
}

bool issue_is_key(struct str key)
{
	return key.len == strlen(PREFIX) + 3 * 16 + 2 &&
	       !memcmp(key.data, PREFIX, strlen(PREFIX));
}

/* Time after which the key never runs, or 0 when it is not ours to run. */
static int64_t expiry(const struct issue *is, struct str key)
{
	const char *p = key.data + strlen(PREFIX);
	char hex[17] = {0};

	memcpy(hex, p, 16);
	if (g_ascii_strtoull(hex, NULL, 16) != is->incarnation)
		return 0;
	memcpy(hex, p + 17, 16);
	return (int64_t)g_ascii_strtoull(hex, NULL, 16);
}

struct purge {
	struct issue *issue;
	int64_t now_ms;
};

static gboolean is_expired(void *key, void *value, void *ctx)
{
	struct entry *e = value;
	struct purge *p = ctx;

	(void)key;
	if (e->state == STATE_RUNNING || e->expires_ms > p->now_ms)
		return FALSE;
	if (e->body)
		p->issue->answer_bytes -= g_bytes_get_size(e->body);
	return TRUE;
}

static bool has_room(struct issue *is, int64_t now_ms)
{
	struct purge p = {is, now_ms};

	if (g_hash_table_size(is->entries) < ISSUE_KEPT_MAX)
		return true;
	g_hash_table_foreach_remove(is->entries, is_expired, &p);
	return g_hash_table_size(is->entries) < ISSUE_KEPT_MAX;
}

static enum claim_verdict begin_new(struct issue *is,
				    const struct claim_request *q,
				    int64_t expires_ms, int64_t now_ms)
{
	struct entry *e;

	if (!has_room(is, now_ms))
		return CLAIM_NO_STORE;
	e = g_new0(struct entry, 1);
	e->request = g_strdup(q->request);
	e->attempt = q->attempt;
	e->latest_ms = q->latest_ms;
	e->expires_ms = expires_ms;
	g_hash_table_insert(is->entries, g_strdup(q->name), e);
	return CLAIM_RUN;
}

static enum claim_verdict begin_again(struct entry *e,
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
	int64_t expires_ms = expiry(is, key);
	struct entry *e = g_hash_table_lookup(is->entries, q->name);

	*out = (struct claim_result){0};
	if (e && e->expires_ms > now_ms)
		out->verdict = begin_again(e, q, out);
	else if (expires_ms <= now_ms || expires_ms > now_ms + ISSUE_VALID_MS)
		out->verdict = CLAIM_UNKNOWN;
	else
		out->verdict = begin_new(is, q, expires_ms, now_ms);
	return out->verdict;
}

static void keep_answer(struct issue *is, struct entry *e,
			const struct claim_answer *a)
{
	e->status = a->status;
	e->type = g_strdup(a->type);
	if (!a->kept || a->body.len > ISSUE_ANSWER_MAX ||
	    is->answer_bytes + a->body.len > ISSUE_ANSWERS_MAX)
		return;
	is->answer_bytes += a->body.len;
	e->body = g_bytes_new(a->body.data, a->body.len);
}

void issue_end(struct issue *is, const char *name, enum claim_end how,
	       const struct claim_answer *a)
{
	static const enum state states[] = {
		[CLAIM_ENDED_DONE] = STATE_DONE,
		[CLAIM_ENDED_UNKNOWN] = STATE_UNKNOWN,
		[CLAIM_ENDED_NOT_RUN] = STATE_RELEASED,
	};
	struct entry *e = g_hash_table_lookup(is->entries, name);

	e->state = states[how];
	if (how == CLAIM_ENDED_DONE)
		keep_answer(is, e, a);
}
