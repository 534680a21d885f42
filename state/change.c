/*
 * Changes of resources. One transaction checks head/config, the resource's
 * row and the change's identity and writes all of them and the audit row, so
 * every change since the rows were read makes it fail.
 *
 * Reads may be old. A row set counts only if its revision has reached the
 * version of the head row read before it: while the head keeps that version no
 * resource changes, so the rows are those that the transaction meets. A
 * refusal is confirmed by a transaction that only checks the head; then what
 * was refused is refused by the present rows, and a copy of the transaction
 * that is still on its way can't be accepted any more either.
 */
#include <inttypes.h>
#include <string.h>

#include "state/change.h"

#define ATTEMPTS_MAX 16
#define ID_MAX_BYTES 64
#define HEAD_KEY     "head/config"

/* A change in progress. */
struct run {
	const struct platform *plat;
	const struct change *change;
	change_done_fn *done;
	void *arg;

	/* The newest answer of the platform and who takes it. */
	void (*take)(struct run *r);
	enum plat_status status;
	json_t *json;
	bool answered;
	bool driving;
	bool ended;

	int attempts;
	bool maybe_made; /* by an earlier send, or an answer was lost */

	int64_t head_version; /* of the row; 0: absent */
	int64_t lost_version; /* newest of them that a commit found moved on */
	bool stale;           /* the newest read was from the past */
	json_t *rows;         /* all of res/ */
	const json_t *row;    /* the resource's, or NULL */
	GPtrArray *errors;
	struct change_result result;
};

static void start_attempt(struct run *r);

static void finish(struct run *r)
{
	r->result.errors = r->errors;
	r->done(&r->result, r->arg);
	json_decref(r->json);
	json_decref(r->rows);
	g_ptr_array_unref(r->errors);
	g_free(r);
}

/* A loop in place of recursion: a platform may answer before it returns. */
static void drive(struct run *r)
{
	if (r->driving)
		return;
	r->driving = true;
	while (r->answered && !r->ended) {
		r->answered = false;
		r->take(r);
	}
	r->driving = false;
	if (r->ended)
		finish(r);
}

static void on_answer(const struct plat_result *p, void *arg)
{
	struct run *r = arg;

	json_decref(r->json);
	r->json = p->json ? json_incref((json_t *)p->json) : NULL;
	r->status = p->status;
	r->answered = true;
	drive(r);
}

static void end(struct run *r, enum ramp_error e)
{
	r->result.error = e;
	if (e != RAMP_OK)
		r->result.revision = 0;
	r->ended = true;
}

/* The store can't be asked: whether that leaves doubt depends on the past. */
static void give_up(struct run *r, enum ramp_error otherwise)
{
	end(r, r->maybe_made ? RAMP_ERR_STORE_UNAVAILABLE : otherwise);
}

static void retry(struct run *r)
{
	if (++r->attempts == ATTEMPTS_MAX)
		give_up(r,
			r->stale ? RAMP_ERR_STORE_DOWN : RAMP_ERR_OVERLOADED);
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

/* Row of the answer with exactly this key, or NULL. */
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

static void scan(struct run *r, const char *prefix, const char *after,
		 void (*take)(struct run *r))
{
	r->take = take;
	r->plat->scan(r->plat->ctx, prefix, after, on_answer, r);
}

static void send_txn(struct run *r, json_t *txn, void (*take)(struct run *r))
{
	r->take = take;
	r->plat->txn(r->plat->ctx, txn, on_answer, r);
	json_decref(txn);
}

static json_t *check(const char *key, int64_t version)
{
	return json_pack("{s:s,s:I}", "key", key, "version", version);
}

static json_t *put(const char *key, json_t *value)
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

/* The commit. */

static json_t *or_null(const json_t *j)
{
	return j ? json_incref((json_t *)j) : json_null();
}

static json_t *audit_value(const struct run *r)
{
	const struct change *c = r->change;

	return json_pack("{s:s,s:I,s:I,s:s,s:s,s:I,s:s,s:s,s:o,s:o}", "id",
			 c->id, "revision", r->result.revision, "generation",
			 r->result.generation, "who", c->who, "from", c->from,
			 "at_ms", c->at_ms, "kind", kind_name(c->kind), "name",
			 c->name, "was",
			 or_null(json_object_get(row_value(r->row), "spec")),
			 "is", or_null(c->spec));
}

static char *audit_key(int64_t revision)
{
	return g_strdup_printf("chg/%020" PRId64, revision);
}

static json_t *commit_txn(const struct run *r)
{
	const struct change *c = r->change;
	char *res = resource_key(c->kind, c->name);
	char *cid = identity_key(c);
	char *chg = audit_key(r->result.revision);
	int64_t n = r->result.revision;
	json_t *txn = json_pack(
		"{s:s,s:[o,o,o],s:[o,o,o],s:[]}", "id", c->id, "checks",
		check(HEAD_KEY, r->head_version), check(cid, 0),
		check(res, get_int(r->row, "version")), "puts",
		put(HEAD_KEY, json_pack("{s:I}", "revision", n)),
		put(cid, json_pack("{s:I}", "revision", n)),
		put(chg, audit_value(r)), "deletes");

	if (c->spec)
		json_array_append_new(
			json_object_get(txn, "puts"),
			put(res, json_pack("{s:O,s:I,s:I}", "spec", c->spec,
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

static void take_commit(struct run *r)
{
	if (r->status == PLAT_UNKNOWN)
		r->maybe_made = true;
	if (r->status == PLAT_CONFLICT)
		r->lost_version = r->head_version;
	if (r->status == PLAT_CONFLICT || r->status == PLAT_UNKNOWN) {
		retry(r);
		return;
	}
	if (r->status != PLAT_OK) {
		give_up(r, RAMP_ERR_STORE_DOWN);
		return;
	}
	r->result.version = r->change->spec ? r->result.revision : 0;
	end(r, RAMP_OK);
}

static void take_confirm(struct run *r)
{
	if (r->status == PLAT_CONFLICT)
		r->lost_version = r->head_version;
	if (r->status == PLAT_OK)
		end(r, r->result.error);
	else if (r->status == PLAT_CONFLICT || r->status == PLAT_UNKNOWN)
		retry(r);
	else
		give_up(r, RAMP_ERR_STORE_DOWN);
}

static void commit_or_refuse(struct run *r)
{
	r->result.version = get_int(row_value(r->row), "revision");
	r->result.generation = get_int(row_value(r->row), "generation");
	r->result.error = change_decide(r->change, r->rows, r->row, r->errors);
	if (r->result.error == RAMP_OK) {
		r->result.generation++;
		send_txn(r, commit_txn(r), take_commit);
		return;
	}
	send_txn(r,
		 json_pack("{s:s,s:[o]}", "id", r->change->id, "checks",
			   check(HEAD_KEY, r->head_version)),
		 take_confirm);
}

/* An earlier send made a change under this identity: was it this one? */
static void take_audit(struct run *r)
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
		end(r, RAMP_ERR_STORE_UNAVAILABLE);
		return;
	}
	r->result.generation = get_int(v, "generation");
	r->result.version = json_is_null(is) ? 0 : r->result.revision;
	if (kind && name && !strcmp(kind, kind_name(c->kind)) &&
	    !strcmp(name, c->name) &&
	    (c->spec ? json_equal(is, c->spec) : json_is_null(is))) {
		r->result.repeated = true;
		end(r, RAMP_OK);
		return;
	}
	g_ptr_array_add(r->errors,
			g_strdup_printf("identity %s belongs to another change",
					c->id));
	end(r, RAMP_ERR_BAD_REQUEST);
}

/* Reads. */

/* Whether the answer is a row set that counts; if not, goes on by itself. */
static bool usable(struct run *r)
{
	if (r->status != PLAT_OK ||
	    !json_is_array(json_object_get(r->json, "rows"))) {
		give_up(r, RAMP_ERR_STORE_DOWN);
		return false;
	}
	r->stale = get_int(r->json, "revision") < r->head_version;
	if (r->stale) {
		retry(r);
		return false;
	}
	return true;
}

static void take_identity(struct run *r)
{
	char *key = identity_key(r->change);
	const json_t *row;

	if (usable(r)) {
		row = find_row(json_object_get(r->json, "rows"), key);
		if (row) {
			char *chg;

			r->result.revision =
				get_int(row_value(row), "revision");
			chg = audit_key(r->result.revision);
			scan(r, chg, NULL, take_audit);
			g_free(chg);
		} else {
			commit_or_refuse(r);
		}
	}
	g_free(key);
}

static void take_rows(struct run *r)
{
	json_t *rows = json_object_get(r->json, "rows");
	const json_t *last;
	char *key;

	if (!usable(r))
		return;
	json_array_extend(r->rows, rows);
	last = json_array_get(rows, json_array_size(rows) - 1);
	if (last && json_is_true(json_object_get(r->json, "more"))) {
		scan(r, "res/", get_string(last, "key"), take_rows);
		return;
	}
	key = resource_key(r->change->kind, r->change->name);
	r->row = find_row(r->rows, key);
	g_free(key);
	key = identity_key(r->change);
	scan(r, key, NULL, take_identity);
	g_free(key);
}

static void take_head(struct run *r)
{
	const json_t *row;

	if (!usable(r))
		return;
	row = find_row(json_object_get(r->json, "rows"), HEAD_KEY);
	r->head_version = get_int(row, "version");
	r->stale = r->head_version <= r->lost_version;
	if (r->stale) {
		retry(r);
		return;
	}
	r->result.revision = get_int(row_value(row), "revision") + 1;
	scan(r, "res/", NULL, take_rows);
}

static void start_attempt(struct run *r)
{
	json_array_clear(r->rows);
	r->row = NULL;
	g_ptr_array_set_size(r->errors, 0);
	r->head_version = 0;
	scan(r, HEAD_KEY, NULL, take_head);
}

void change_commit(const struct platform *p, const struct change *c,
		   change_done_fn *done, void *arg)
{
	struct run *r = g_new0(struct run, 1);

	r->plat = p;
	r->change = c;
	r->done = done;
	r->arg = arg;
	r->rows = json_array();
	r->errors = g_ptr_array_new_with_free_func(g_free);
	r->maybe_made = !c->first;
	r->lost_version = -1;
	r->driving = true;
	start_attempt(r);
	r->driving = false;
	drive(r);
}

bool change_id_valid(const char *s)
{
	size_t n = strlen(s);

	return n >= 1 && n <= ID_MAX_BYTES &&
	       strspn(s, G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "-_.") == n;
}
