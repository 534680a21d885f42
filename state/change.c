/*
 * Commit of changes to resources. One transaction checks the versions of
 * head/config, of the resource's row and of the change's identity row, and
 * writes all three and the audit row. Any change since the rows were read
 * makes the transaction fail.
 *
 * The table may answer reads from an old revision. A page of rows is accepted
 * only if its revision is at least the version of the head row read before it.
 * While the head has that version no resource changes, so the rows are those
 * that the transaction finds. A refusal is confirmed by a transaction that
 * only checks the head: it shows that the refusal follows from the present
 * rows, and that an earlier copy of the change's transaction, still in
 * transit, can't be accepted any more.
 */
#include <inttypes.h>
#include <string.h>

#include "state/change-check.h"

#define ATTEMPTS_MAX 16
#define ID_MAX_BYTES 64
#define HEAD_KEY     "head/config"

/* The commit of a change in progress. */
struct commit {
	const struct platform *plat;
	const struct change *change;
	change_done_fn *done;
	void *arg;

	/* The newest answer of the platform, and its handler. */
	void (*handle_answer)(struct commit *r);
	enum plat_status status;
	json_t *json;
	bool answered;
	bool looping;
	bool finished;

	int attempts;
	/* By an earlier request, or by a transaction with a lost answer. */
	bool maybe_committed;

	int64_t head_version; /* of the head row; 0: absent */
	/* Newest head version that a transaction found to be outdated. */
	int64_t outdated_version;
	bool read_stale;   /* the last read was older than is known */
	json_t *rows;      /* all with prefix "res/" */
	const json_t *row; /* of the resource, or NULL */
	GPtrArray *errors;
	struct change_result result;
};

static void start_attempt(struct commit *r);

static void finish(struct commit *r)
{
	r->result.errors = r->errors;
	r->done(&r->result, r->arg);
	json_decref(r->json);
	json_decref(r->rows);
	g_ptr_array_unref(r->errors);
	g_free(r);
}

/*
 * Handle answers in a loop: a platform may call back before its function
 * returns, and handlers that call each other would recurse without bound.
 */
static void handle_answers(struct commit *r)
{
	if (r->looping)
		return;
	r->looping = true;
	while (r->answered && !r->finished) {
		r->answered = false;
		r->handle_answer(r);
	}
	r->looping = false;
	if (r->finished)
		finish(r);
}

static void on_answer(const struct plat_result *p, void *arg)
{
	struct commit *r = arg;

	json_decref(r->json);
	r->json = p->json ? json_incref((json_t *)p->json) : NULL;
	r->status = p->status;
	r->answered = true;
	handle_answers(r);
}

static void end_with(struct commit *r, enum ramp_error e)
{
	r->result.error = e;
	if (e != RAMP_OK)
		r->result.revision = 0;
	r->finished = true;
}

/*
 * End without a decision. Only if no transaction can have been committed is it
 * certain that nothing was done.
 */
static void end_not_reached(struct commit *r, enum ramp_error otherwise)
{
	end_with(r,
		 r->maybe_committed ? RAMP_ERR_STORE_UNAVAILABLE : otherwise);
}

static void retry(struct commit *r)
{
	if (++r->attempts == ATTEMPTS_MAX)
		end_not_reached(r, r->read_stale ? RAMP_ERR_STORE_DOWN
						 : RAMP_ERR_OVERLOADED);
	else
		start_attempt(r);
}

static int64_t get_int(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

static const char *get_string(const json_t *j, const char *name)
{
	return json_string_value(json_object_get(j, name));
}

/* Return the row with exactly this key, or NULL. */
static const json_t *find_row(const json_t *rows, const char *key)
{
	size_t i;
	json_t *row;

	json_array_foreach (rows, i, row) {
		const char *k = get_string(row, "key");

		if (k && !strcmp(k, key))
			return row;
	}
	return NULL;
}

static void scan(struct commit *r, const char *prefix, const char *after,
		 void (*handle_answer)(struct commit *r))
{
	r->handle_answer = handle_answer;
	r->plat->scan(r->plat->ctx, prefix, after, on_answer, r);
}

static void send_txn(struct commit *r, json_t *txn,
		     void (*handle_answer)(struct commit *r))
{
	r->handle_answer = handle_answer;
	r->plat->txn(r->plat->ctx, txn, on_answer, r);
	json_decref(txn);
}

static json_t *txn_check(const char *key, int64_t version)
{
	return json_pack("{s:s,s:I}", "key", key, "version", version);
}

static json_t *txn_put(const char *key, json_t *value)
{
	return json_pack("{s:s,s:o}", "key", key, "value", value);
}

static char *identity_key(const struct change *c)
{
	return g_strconcat("cid/", c->id, NULL);
}

static const json_t *row_value(const json_t *row)
{
	return json_object_get(row, "value");
}

/* Writing the change. */

static json_t *json_or_null(const json_t *j)
{
	return j ? json_incref((json_t *)j) : json_null();
}

static json_t *audit_value(const struct commit *r)
{
	const struct change *c = r->change;

	return json_pack(
		"{s:s,s:I,s:I,s:s,s:s,s:I,s:s,s:s,s:o,s:o}", "id", c->id,
		"revision", r->result.revision, "generation",
		r->result.generation, "who", c->who, "from", c->from, "at_ms",
		c->at_ms, "kind", kind_name(c->kind), "name", c->name, "was",
		json_or_null(json_object_get(row_value(r->row), "spec")), "is",
		json_or_null(c->spec));
}

static char *audit_key(int64_t revision)
{
	return g_strdup_printf("chg/%020" PRId64, revision);
}

static json_t *commit_txn(const struct commit *r)
{
	const struct change *c = r->change;
	char *res = resource_key(c->kind, c->name);
	char *cid = identity_key(c);
	char *chg = audit_key(r->result.revision);
	int64_t n = r->result.revision;
	json_t *txn = json_pack(
		"{s:s,s:[o,o,o],s:[o,o,o],s:[]}", "id", c->id, "checks",
		txn_check(HEAD_KEY, r->head_version), txn_check(cid, 0),
		txn_check(res, get_int(r->row, "version")), "puts",
		txn_put(HEAD_KEY, json_pack("{s:I}", "revision", n)),
		txn_put(cid, json_pack("{s:I}", "revision", n)),
		txn_put(chg, audit_value(r)), "deletes");

	if (c->spec)
		json_array_append_new(
			json_object_get(txn, "puts"),
			txn_put(res,
				json_pack("{s:O,s:I,s:I}", "spec", c->spec,
					  "generation", r->result.generation,
					  "revision", n)));
	else
		json_array_append_new(json_object_get(txn, "deletes"),
				      json_string(res));
	g_free(res);
	g_free(cid);
	g_free(chg);
	return txn;
}

static void on_commit(struct commit *r)
{
	if (r->status == PLAT_UNKNOWN)
		r->maybe_committed = true;
	if (r->status == PLAT_CONFLICT)
		r->outdated_version = r->head_version;
	if (r->status == PLAT_CONFLICT || r->status == PLAT_UNKNOWN) {
		retry(r);
		return;
	}
	if (r->status != PLAT_OK) {
		end_not_reached(r, RAMP_ERR_STORE_DOWN);
		return;
	}
	r->result.version = r->change->spec ? r->result.revision : 0;
	end_with(r, RAMP_OK);
}

static void on_confirm(struct commit *r)
{
	if (r->status == PLAT_CONFLICT)
		r->outdated_version = r->head_version;
	if (r->status == PLAT_OK)
		end_with(r, r->result.error);
	else if (r->status == PLAT_CONFLICT || r->status == PLAT_UNKNOWN)
		retry(r);
	else
		end_not_reached(r, RAMP_ERR_STORE_DOWN);
}

static void commit_or_refuse(struct commit *r)
{
	r->result.version = get_int(row_value(r->row), "revision");
	r->result.generation = get_int(row_value(r->row), "generation");
	r->result.error = change_check(r->change, r->rows, r->row, r->errors);
	if (r->result.error == RAMP_OK) {
		r->result.generation++;
		send_txn(r, commit_txn(r), on_commit);
		return;
	}
	send_txn(r,
		 json_pack("{s:s,s:[o]}", "id", r->change->id, "checks",
			   txn_check(HEAD_KEY, r->head_version)),
		 on_confirm);
}

/* Check whether the change that was committed under this id is this one. */
static void on_audit_row(struct commit *r)
{
	const struct change *c = r->change;
	char *key = audit_key(r->result.revision);
	const json_t *v =
		row_value(find_row(json_object_get(r->json, "rows"), key));
	const json_t *is = json_object_get(v, "is");
	const char *kind = get_string(v, "kind");
	const char *name = get_string(v, "name");

	g_free(key);
	if (r->status != PLAT_OK || !v) {
		end_with(r, RAMP_ERR_STORE_UNAVAILABLE);
		return;
	}
	r->result.generation = get_int(v, "generation");
	r->result.version = json_is_null(is) ? 0 : r->result.revision;
	if (kind && name && !strcmp(kind, kind_name(c->kind)) &&
	    !strcmp(name, c->name) &&
	    (c->spec ? json_equal(is, c->spec) : json_is_null(is))) {
		r->result.repeated = true;
		end_with(r, RAMP_OK);
		return;
	}
	g_ptr_array_add(r->errors,
			g_strdup_printf("identity %s belongs to another change",
					c->id));
	end_with(r, RAMP_ERR_BAD_REQUEST);
}

/* Reads. */

/*
 * Check that the answer has rows and is not older than the head. If not, start
 * the next attempt or end the commit, and return false.
 */
static bool accept_rows(struct commit *r)
{
	if (r->status != PLAT_OK ||
	    !json_is_array(json_object_get(r->json, "rows"))) {
		end_not_reached(r, RAMP_ERR_STORE_DOWN);
		return false;
	}
	r->read_stale = get_int(r->json, "revision") < r->head_version;
	if (r->read_stale) {
		retry(r);
		return false;
	}
	return true;
}

static void on_identity(struct commit *r)
{
	char *key = identity_key(r->change);
	const json_t *row;

	if (accept_rows(r)) {
		row = find_row(json_object_get(r->json, "rows"), key);
		if (row) {
			char *chg;

			r->result.revision =
				get_int(row_value(row), "revision");
			chg = audit_key(r->result.revision);
			scan(r, chg, NULL, on_audit_row);
			g_free(chg);
		} else {
			commit_or_refuse(r);
		}
	}
	g_free(key);
}

static void on_rows(struct commit *r)
{
	json_t *rows = json_object_get(r->json, "rows");
	const json_t *last;
	char *key;

	if (!accept_rows(r))
		return;
	json_array_extend(r->rows, rows);
	last = json_array_get(rows, json_array_size(rows) - 1);
	if (last && json_is_true(json_object_get(r->json, "more"))) {
		scan(r, "res/", get_string(last, "key"), on_rows);
		return;
	}
	key = resource_key(r->change->kind, r->change->name);
	r->row = find_row(r->rows, key);
	g_free(key);
	key = identity_key(r->change);
	scan(r, key, NULL, on_identity);
	g_free(key);
}

static void on_head(struct commit *r)
{
	const json_t *row;

	if (!accept_rows(r))
		return;
	row = find_row(json_object_get(r->json, "rows"), HEAD_KEY);
	r->head_version = get_int(row, "version");
	r->read_stale = r->head_version <= r->outdated_version;
	if (r->read_stale) {
		retry(r);
		return;
	}
	r->result.revision = get_int(row_value(row), "revision") + 1;
	scan(r, "res/", NULL, on_rows);
}

static void start_attempt(struct commit *r)
{
	json_array_clear(r->rows);
	r->row = NULL;
	g_ptr_array_set_size(r->errors, 0);
	r->head_version = 0;
	scan(r, HEAD_KEY, NULL, on_head);
}

void change_commit(const struct platform *p, const struct change *c,
		   change_done_fn *done, void *arg)
{
	struct commit *r = g_new0(struct commit, 1);

	r->plat = p;
	r->change = c;
	r->done = done;
	r->arg = arg;
	r->rows = json_array();
	r->errors = g_ptr_array_new_with_free_func(g_free);
	r->maybe_committed = !c->first_attempt;
	r->outdated_version = -1;
	r->looping = true;
	start_attempt(r);
	r->looping = false;
	handle_answers(r);
}

bool change_id_valid(const char *s)
{
	size_t n = strlen(s);

	return n >= 1 && n <= ID_MAX_BYTES &&
	       strspn(s, G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "-_.") == n;
}
