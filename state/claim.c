/*
 * Claims in the table service. Each write of a row checks the version that was
 * read before it, so that of concurrent calls just one gets the claim.
 */
#include "state/claim.h"

#include <string.h>

/* Calls to the store in one claim_begin or claim_end. */
#define STORE_CALLS_MAX 4

struct claim {
	struct platform *plat;
	char *key; /* of the claim's row */
	char *call;
	char *request;
	int64_t attempt, latest_ms;
	int64_t (*now)(void *ctx);
	void *ctx;
	claim_done_fn *done;
	claim_ended_fn *ended;
	void *arg;
	int64_t version; /* of the row; 0: absent */
	int store_calls;
	json_t *end_txn; /* writes the outcome; kept to send it again */
};

/* Values of the field "state" of a row. */
static const char state_claimed[] = "claimed";
static const char state_done[] = "done";
static const char state_unknown[] = "unknown";
static const char state_released[] = "released";

static void write_claim(struct claim *c);
static void read_row(struct claim *c);
static void send_txn(struct claim *c, json_t *txn, plat_done_fn *done);

static void finish(struct claim *c, enum claim_verdict v)
{
	struct claim_result r = {.verdict = v};

	c->done(&r, c->arg);
}

static const char *get_string(const json_t *row, const char *field)
{
	const char *s = json_string_value(json_object_get(row, field));

	return s ? s : "";
}

static int64_t get_int(const json_t *row, const char *field)
{
	return json_integer_value(json_object_get(row, field));
}

static void finish_stored(struct claim *c, const json_t *row)
{
	struct claim_result r = {.verdict = CLAIM_COMPLETED};
	gsize n = 0;
	guchar *body = g_base64_decode(get_string(row, "body"), &n);

	r.answer.status = (int)get_int(row, "status");
	r.answer.type = json_string_value(json_object_get(row, "type"));
	r.answer.body = (struct str){(char *)body, n};
	r.answer.body_stored = json_is_true(json_object_get(row, "kept"));
	c->done(&r, c->arg);
	g_free(body);
}

static void finish_running(struct claim *c, int64_t retry_at_ms)
{
	struct claim_result r = {.verdict = CLAIM_IN_PROGRESS,
				 .retry_at_ms = retry_at_ms};

	c->done(&r, c->arg);
}

static void on_release_confirmed(const struct plat_result *r, void *arg)
{
	struct claim *c = arg;

	if (r->status == PLAT_OK)
		finish(c, CLAIM_RELEASED);
	else if (r->status == PLAT_CONFLICT)
		read_row(c);
	else
		finish(c, CLAIM_STORE_UNAVAILABLE);
}

/* Make the table check that the row still has the version that was read. */
static void confirm_release(struct claim *c)
{
	json_t *txn =
		json_pack("{s:s,s:[{s:s,s:I}],s:[]}", "id", c->call, "checks",
			  "key", c->key, "version", c->version, "puts");

	send_txn(c, txn, on_release_confirmed);
}

/*
 * Only an attempt that the caller made after the answer "not run" may take a
 * released claim. A request of an earlier attempt may have been delayed, and
 * its caller has the answer that it did not run, which must stay true. Clocks
 * can't distinguish the two, because a request may wait in the socket of a
 * paused node.
 */
static void handle_released(struct claim *c, const json_t *row)
{
	if (c->attempt > get_int(row, "attempt"))
		write_claim(c);
	else
		confirm_release(c);
}

static void evaluate_row(struct claim *c, const json_t *row)
{
	const char *state = get_string(row, "state");
	int64_t latest_ms = get_int(row, "latest_ms") + CLOCK_SKEW_MAX_MS;

	if (strcmp(get_string(row, "request"), c->request))
		finish(c, CLAIM_KEY_REUSED);
	else if (!strcmp(state, state_done))
		finish_stored(c, row);
	else if (!strcmp(state, state_released))
		handle_released(c, row);
	else if (strcmp(state, state_claimed))
		finish(c, CLAIM_OUTCOME_UNKNOWN);
	else if (!strcmp(get_string(row, "call"), c->call))
		finish(c, CLAIM_GRANTED); /* the answer to the write was lost */
	else if (c->now(c->ctx) < latest_ms)
		finish_running(c, latest_ms);
	else
		finish(c, CLAIM_OUTCOME_UNKNOWN);
}

static void on_row_read(const struct plat_result *r, void *arg)
{
	struct claim *c = arg;
	json_t *rows = json_object_get(r->json, "rows");
	const json_t *row = json_array_get(rows, 0);

	if (r->status != PLAT_OK) {
		read_row(c);
		return;
	}
	/* The conflict showed a newer version of the row: the read is stale. */
	if (strcmp(get_string(row, "key"), c->key) ||
	    get_int(row, "version") <= c->version) {
		read_row(c);
		return;
	}
	c->version = get_int(row, "version");
	evaluate_row(c, json_object_get(row, "value"));
}

static bool may_call_store(struct claim *c)
{
	return c->store_calls++ < STORE_CALLS_MAX &&
	       c->now(c->ctx) < c->latest_ms;
}

static void read_row(struct claim *c)
{
	if (may_call_store(c))
		c->plat->scan(c->plat->ctx, c->key, NULL, on_row_read, c);
	else
		finish(c, CLAIM_STORE_UNAVAILABLE);
}

static void on_claim_written(const struct plat_result *r, void *arg)
{
	struct claim *c = arg;

	switch (r->status) {
	case PLAT_OK:
		c->version = get_int(r->json, "revision");
		finish(c, CLAIM_GRANTED);
		return;
	case PLAT_CONFLICT:
		read_row(c);
		return;
	case PLAT_UNKNOWN:
		/* Safe to send again: its check lets it take effect once. */
		write_claim(c);
		return;
	default:
		finish(c, CLAIM_STORE_UNAVAILABLE);
	}
}

static json_t *row_txn(const struct claim *c, json_t *value)
{
	return json_pack("{s:s,s:[{s:s,s:I}],s:[{s:s,s:o}]}", "id", c->call,
			 "checks", "key", c->key, "version", c->version, "puts",
			 "key", c->key, "value", value);
}

static json_t *row_json(const struct claim *c, const char *state)
{
	return json_pack("{s:s,s:s,s:s,s:I,s:I,s:I}", "state", state, "call",
			 c->call, "request", c->request, "attempt", c->attempt,
			 "latest_ms", c->latest_ms, "at_ms", c->now(c->ctx));
}

static void send_txn(struct claim *c, json_t *txn, plat_done_fn *done)
{
	c->plat->txn(c->plat->ctx, txn, done, c);
	json_decref(txn);
}

static void write_claim(struct claim *c)
{
	if (may_call_store(c))
		send_txn(c, row_txn(c, row_json(c, state_claimed)),
			 on_claim_written);
	else
		finish(c, CLAIM_STORE_UNAVAILABLE);
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
	write_claim(c);
	return c;
}

static void on_end_written(const struct plat_result *r, void *arg);

static void write_end(struct claim *c)
{
	if (c->store_calls++ < STORE_CALLS_MAX)
		c->plat->txn(c->plat->ctx, c->end_txn, on_end_written, c);
	else
		c->ended(c->arg);
}

static void on_end_written(const struct plat_result *r, void *arg)
{
	struct claim *c = arg;

	/* A conflict shows that an earlier copy of end_txn took effect. */
	if (r->status == PLAT_OK || r->status == PLAT_CONFLICT)
		c->ended(c->arg);
	else
		write_end(c);
}

static void add_answer(json_t *row, const struct claim_answer *a)
{
	bool keep = a->body.len <= CLAIM_BODY_MAX_BYTES;
	char *body = keep ? g_base64_encode((const guchar *)a->body.data,
					    a->body.len)
			  : g_strdup("");

	json_object_set_new(row, "status", json_integer(a->status));
	json_object_set_new(row, "kept", json_boolean(keep && a->body_stored));
	json_object_set_new(row, "body", json_string(body));
	if (a->type)
		json_object_set_new(row, "type", json_string(a->type));
	g_free(body);
}

void claim_end(struct claim *c, enum claim_outcome outcome,
	       const struct claim_answer *a, claim_ended_fn *done, void *arg)
{
	static const char *const states[] = {
		[CLAIM_ENDED_COMPLETE] = state_done,
		[CLAIM_ENDED_UNKNOWN] = state_unknown,
		[CLAIM_ENDED_NOT_RUN] = state_released,
	};
	json_t *row = row_json(c, states[outcome]);

	if (outcome == CLAIM_ENDED_COMPLETE)
		add_answer(row, a);
	c->ended = done;
	c->arg = arg;
	c->store_calls = 0;
	c->end_txn = row_txn(c, row);
	write_end(c);
}

void claim_free(struct claim *c)
{
	if (!c)
		return;
	json_decref(c->end_txn);
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
