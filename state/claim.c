#include "state/claim.h"

#include <string.h>

#define TRIES_MAX 4 /* calls to the store for one claim_begin or claim_end */

struct claim {
	struct platform *plat;
	char *key; /* of the row */
	char *call;
	char *request;
	int64_t attempt, latest_ms;
	int64_t (*now)(void *ctx);
	void *ctx;
	claim_done_fn *done;
	claim_ended_fn *ended;
	void *arg;
	int64_t version; /* the row's, 0 when absent */
	int tries;
	json_t *last; /* transaction in progress */
};

/* States of a row. */
static const char claimed[] = "claimed";
static const char done_state[] = "done";
static const char unknown[] = "unknown";
static const char released[] = "released";

static void try_claim(struct claim *c);
static void read_row(struct claim *c);
static void send(struct claim *c, json_t *txn, plat_done_fn *done);

static void finish(struct claim *c, enum claim_verdict v)
{
	struct claim_result r = {.verdict = v};

	c->done(&r, c->arg);
}

static const char *text(const json_t *row, const char *field)
{
	const char *s = json_string_value(json_object_get(row, field));

	return s ? s : "";
}

static int64_t number(const json_t *row, const char *field)
{
	return json_integer_value(json_object_get(row, field));
}

static void finish_stored(struct claim *c, const json_t *row)
{
	struct claim_result r = {.verdict = CLAIM_STORED};
	gsize n = 0;
	guchar *body = g_base64_decode(text(row, "body"), &n);

	r.answer.status = (int)number(row, "status");
	r.answer.type = json_string_value(json_object_get(row, "type"));
	r.answer.body = (struct str){(char *)body, n};
	r.answer.kept = json_is_true(json_object_get(row, "kept"));
	c->done(&r, c->arg);
	g_free(body);
}

static void finish_running(struct claim *c, int64_t retry_at_ms)
{
	struct claim_result r = {.verdict = CLAIM_RUNNING,
				 .retry_at_ms = retry_at_ms};

	c->done(&r, c->arg);
}

static void on_confirmed(const struct plat_result *r, void *arg)
{
	struct claim *c = arg;

	if (r->status == PLAT_OK)
		finish(c, CLAIM_RELEASED);
	else if (r->status == PLAT_CONFLICT)
		read_row(c);
	else
		finish(c, CLAIM_NO_STORE);
}

/* Have the table check that the row is still the one that was read. */
static void confirm(struct claim *c)
{
	json_t *txn =
		json_pack("{s:s,s:[{s:s,s:I}],s:[]}", "id", c->call, "checks",
			  "key", c->key, "version", c->version, "puts");

	send(c, txn, on_confirmed);
}

/*
 * Only an attempt that the caller made after it was told "not run" may take a
 * released claim. An earlier one may have been held up on its way: its caller
 * was told that nothing ran, and that must stay true. Clocks can't tell the
 * two apart, because a request may wait in a paused node's socket.
 */
static void on_released(struct claim *c, const json_t *row)
{
	if (c->attempt > number(row, "attempt"))
		try_claim(c);
	else
		confirm(c);
}

static void judge(struct claim *c, const json_t *row)
{
	const char *state = text(row, "state");
	int64_t latest_ms = number(row, "latest_ms") + CLAIM_DRIFT_MS;

	if (strcmp(text(row, "request"), c->request))
		finish(c, CLAIM_MISMATCH);
	else if (!strcmp(state, done_state))
		finish_stored(c, row);
	else if (!strcmp(state, released))
		on_released(c, row);
	else if (strcmp(state, claimed))
		finish(c, CLAIM_UNKNOWN);
	else if (!strcmp(text(row, "call"), c->call))
		finish(c, CLAIM_RUN);
	else if (c->now(c->ctx) < latest_ms)
		finish_running(c, latest_ms);
	else
		finish(c, CLAIM_UNKNOWN);
}

static void on_row(const struct plat_result *r, void *arg)
{
	struct claim *c = arg;
	json_t *rows = json_object_get(r->json, "rows");
	const json_t *row = json_array_get(rows, 0);

	if (r->status != PLAT_OK) {
		read_row(c);
		return;
	}
	/* A conflict says that the row is there: such a read is stale. */
	if (strcmp(text(row, "key"), c->key) ||
	    number(row, "version") <= c->version) {
		read_row(c);
		return;
	}
	c->version = number(row, "version");
	judge(c, json_object_get(row, "value"));
}

static bool may_try(struct claim *c)
{
	return c->tries++ < TRIES_MAX && c->now(c->ctx) < c->latest_ms;
}

static void read_row(struct claim *c)
{
	if (may_try(c))
		c->plat->scan(c->plat->ctx, c->key, NULL, on_row, c);
	else
		finish(c, CLAIM_NO_STORE);
}

static void on_claim(const struct plat_result *r, void *arg)
{
	struct claim *c = arg;

	switch (r->status) {
	case PLAT_OK:
		c->version = number(r->json, "revision");
		finish(c, CLAIM_RUN);
		return;
	case PLAT_CONFLICT:
		read_row(c);
		return;
	case PLAT_UNKNOWN:
		/* Sent again: it takes effect at most once, by its check. */
		try_claim(c);
		return;
	default:
		finish(c, CLAIM_NO_STORE);
	}
}

static json_t *txn_of(const struct claim *c, json_t *value)
{
	return json_pack("{s:s,s:[{s:s,s:I}],s:[{s:s,s:o}]}", "id", c->call,
			 "checks", "key", c->key, "version", c->version, "puts",
			 "key", c->key, "value", value);
}

static json_t *row_of(const struct claim *c, const char *state)
{
	return json_pack("{s:s,s:s,s:s,s:I,s:I,s:I}", "state", state, "call",
			 c->call, "request", c->request, "attempt", c->attempt,
			 "latest_ms", c->latest_ms, "at_ms", c->now(c->ctx));
}

static void send(struct claim *c, json_t *txn, plat_done_fn *done)
{
	c->plat->txn(c->plat->ctx, txn, done, c);
	json_decref(txn);
}

static void try_claim(struct claim *c)
{
	if (may_try(c))
		send(c, txn_of(c, row_of(c, claimed)), on_claim);
	else
		finish(c, CLAIM_NO_STORE);
}

struct claim *claim_begin(struct platform *p, const struct claim_request *q,
			  int64_t (*now)(void *ctx), void *ctx,
			  claim_done_fn *done, void *arg)
{
	struct claim *c = g_new0(struct claim, 1);

	c->plat = p;
	c->key = g_strconcat("claim/", q->name, NULL);
	c->call = g_strdup(q->call);
	c->request = g_strdup(q->request);
	c->attempt = q->attempt;
	c->latest_ms = q->latest_ms;
	c->now = now;
	c->ctx = ctx;
	c->done = done;
	c->arg = arg;
	try_claim(c);
	return c;
}

static void on_end(const struct plat_result *r, void *arg);

static void try_end(struct claim *c)
{
	if (c->tries++ < TRIES_MAX)
		c->plat->txn(c->plat->ctx, c->last, on_end, c);
	else
		c->ended(c->arg);
}

static void on_end(const struct plat_result *r, void *arg)
{
	struct claim *c = arg;

	if (r->status == PLAT_OK || r->status == PLAT_CONFLICT)
		c->ended(c->arg);
	else
		try_end(c);
}

static void add_answer(json_t *row, const struct claim_answer *a)
{
	bool keep = a->body.len <= CLAIM_BODY_MAX;
	char *body = keep ? g_base64_encode((const guchar *)a->body.data,
					    a->body.len)
			  : g_strdup("");

	json_object_set_new(row, "status", json_integer(a->status));
	json_object_set_new(row, "kept", json_boolean(keep && a->kept));
	json_object_set_new(row, "body", json_string(body));
	if (a->type)
		json_object_set_new(row, "type", json_string(a->type));
	g_free(body);
}

void claim_end(struct claim *c, enum claim_end how,
	       const struct claim_answer *a, claim_ended_fn *done, void *arg)
{
	static const char *const states[] = {
		[CLAIM_ENDED_DONE] = done_state,
		[CLAIM_ENDED_UNKNOWN] = unknown,
		[CLAIM_ENDED_NOT_RUN] = released,
	};
	json_t *row = row_of(c, states[how]);

	if (how == CLAIM_ENDED_DONE)
		add_answer(row, a);
	c->ended = done;
	c->arg = arg;
	c->tries = 0;
	c->last = txn_of(c, row);
	try_end(c);
}

void claim_free(struct claim *c)
{
	if (!c)
		return;
	json_decref(c->last);
	g_free(c->key);
	g_free(c->call);
	g_free(c->request);
	g_free(c);
}

char *claim_name(const char *organisation, const char *service, struct str key)
{
	GString *s = g_string_new(organisation);
	char *hash;

	g_string_append_c(s, '\0');
	g_string_append(s, service);
	g_string_append_c(s, '\0');
	g_string_append_len(s, key.data, (gssize)key.len);
	hash = key_hash((struct str){s->str, s->len});
	g_string_free(s, TRUE);
	return hash;
}
