/*
 * For tests: a table service in memory. Calls wait in a queue until the test
 * runs them, in order or in a seeded random order. A call may have a fault: a
 * lost answer, a late effect, a refusal or a stale read.
 */
#ifndef STATE_TEST_TABLE_H
#define STATE_TEST_TABLE_H

#include <string.h>

#include "state/state.h"

enum fault {
	FAULT_NONE,
	FAULT_ANSWER_LOST, /* takes effect, answers PLAT_UNKNOWN */
	FAULT_LATE_EFFECT, /* answers PLAT_UNKNOWN, takes effect later */
	FAULT_REFUSED,
	FAULT_NOT_SENT,
	FAULT_STALE, /* a scan answers from an earlier revision */
};

struct call {
	json_t *txn; /* NULL: a scan */
	char *prefix, *after;
	plat_done_fn *done; /* NULL: the caller has its answer */
	void *arg;
};

struct fake_table {
	struct platform plat;
	GPtrArray *tables; /* by revision: key -> {"value", "version"} */
	GQueue calls;
	enum fault next_fault; /* of the next transaction, without rand */
	GRand *rand;           /* NULL: run in order, with next_fault */
	int txns_answered;     /* not counting late effects */
};

static json_t *newest_rows(struct fake_table *f)
{
	return g_ptr_array_index(f->tables, f->tables->len - 1);
}

static int64_t row_version(struct fake_table *f, const char *key)
{
	return json_integer_value(json_object_get(
		json_object_get(newest_rows(f), key), "version"));
}

static void queue_call(struct fake_table *f, struct call c)
{
	g_queue_push_tail(&f->calls, g_memdup2(&c, sizeof(c)));
}

static void fake_txn(void *ctx, const json_t *txn, plat_done_fn *done,
		     void *arg)
{
	queue_call(ctx,
		   (struct call){json_deep_copy(txn), NULL, NULL, done, arg});
}

static void fake_scan(void *ctx, const char *prefix, const char *after,
		      plat_done_fn *done, void *arg)
{
	queue_call(ctx, (struct call){NULL, g_strdup(prefix), g_strdup(after),
				      done, arg});
}

static bool checks_pass(struct fake_table *f, const json_t *txn)
{
	size_t i;
	json_t *c;

	json_array_foreach (json_object_get(txn, "checks"), i, c) {
		const char *key = json_string_value(json_object_get(c, "key"));
		int64_t version =
			json_integer_value(json_object_get(c, "version"));

		if (row_version(f, key) != version)
			return false;
	}
	return true;
}

static void apply_txn(struct fake_table *f, const json_t *txn)
{
	json_t *rows = json_copy(newest_rows(f));
	int64_t revision = f->tables->len;
	size_t i;
	json_t *x;

	json_array_foreach (json_object_get(txn, "puts"), i, x)
		json_object_set_new(
			rows, json_string_value(json_object_get(x, "key")),
			json_pack("{s:O,s:I}", "value",
				  json_object_get(x, "value"), "version",
				  revision));
	json_array_foreach (json_object_get(txn, "deletes"), i, x)
		json_object_del(rows, json_string_value(x));
	g_ptr_array_add(f->tables, rows);
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Answer with a page of at most two rows, so that most scans take several. */
static json_t *scan_answer(struct fake_table *f, const struct call *c,
			   guint revision)
{
	json_t *all_rows = g_ptr_array_index(f->tables, revision);
	GPtrArray *keys = g_ptr_array_new();
	json_t *rows = json_array();
	bool more = false;
	const char *key;
	json_t *row;

	json_object_foreach (all_rows, key, row) {
		if (g_str_has_prefix(key, c->prefix) &&
		    (!c->after || strcmp(key, c->after) > 0))
			g_ptr_array_add(keys, (char *)key);
	}
	g_ptr_array_sort(keys, compare_keys);
	for (guint i = 0; i < keys->len && !more; i++) {
		key = g_ptr_array_index(keys, i);
		row = json_object_get(all_rows, key);
		more = i == 2;
		if (!more)
			json_array_append_new(
				rows,
				json_pack("{s:s,s:O,s:O}", "key", key, "value",
					  json_object_get(row, "value"),
					  "version",
					  json_object_get(row, "version")));
	}
	g_ptr_array_unref(keys);
	return json_pack("{s:I,s:o,s:b}", "revision", (json_int_t)revision,
			 "rows", rows, "more", more);
}

static void answer(struct call *c, enum plat_status status, json_t *j)
{
	struct plat_result r = {.status = status, .json = j};

	if (c->done)
		c->done(&r, c->arg);
	json_decref(j);
}

static void free_call(struct call *c)
{
	json_decref(c->txn);
	g_free(c->prefix);
	g_free(c->after);
	g_free(c);
}

static void run_scan(struct fake_table *f, struct call *c, enum fault fault)
{
	guint newest = f->tables->len - 1;

	if (fault == FAULT_STALE && newest) /* in rows and revision */
		newest -=
			f->rand ? (guint)g_rand_int_range(
					  f->rand, 0, (gint)MIN(newest, 4) + 1)
				: 1;
	if (fault == FAULT_REFUSED)
		answer(c, PLAT_REFUSED, NULL);
	else if (fault == FAULT_NOT_SENT)
		answer(c, PLAT_UNREACHABLE, NULL);
	else
		answer(c, PLAT_OK, scan_answer(f, c, newest));
}

static void run_txn(struct fake_table *f, struct call *c, enum fault fault)
{
	bool passed;

	if (fault == FAULT_REFUSED || fault == FAULT_NOT_SENT) {
		answer(c,
		       fault == FAULT_REFUSED ? PLAT_REFUSED : PLAT_UNREACHABLE,
		       NULL);
		return;
	}
	if (fault == FAULT_LATE_EFFECT && c->done) {
		struct call late = *c;

		late.done = NULL;
		late.txn = json_incref(c->txn);
		queue_call(f, late);
		answer(c, PLAT_UNKNOWN, NULL);
		return;
	}
	passed = checks_pass(f, c->txn);
	if (passed)
		apply_txn(f, c->txn);
	f->txns_answered += c->done != NULL;
	if (fault == FAULT_ANSWER_LOST)
		answer(c, PLAT_UNKNOWN, NULL);
	else
		answer(c, passed ? PLAT_OK : PLAT_CONFLICT, NULL);
}

static enum fault draw_fault(struct fake_table *f, bool is_scan)
{
	static const enum fault faults[] = {FAULT_ANSWER_LOST,
					    FAULT_LATE_EFFECT, FAULT_REFUSED,
					    FAULT_NOT_SENT};
	int n = g_rand_int_range(f->rand, 0, 40);

	if (is_scan && n >= 30)
		return FAULT_STALE;
	return n < (int)G_N_ELEMENTS(faults) ? faults[n] : FAULT_NONE;
}

static void run_call(struct fake_table *f)
{
	guint n = g_queue_get_length(&f->calls);
	guint index =
		f->rand ? (guint)g_rand_int_range(f->rand, 0, (gint)n) : 0;
	struct call *c = g_queue_pop_nth(&f->calls, index);
	enum fault fault = FAULT_NONE;

	if (f->rand) {
		fault = draw_fault(f, !c->txn);
	} else if (c->txn || f->next_fault == FAULT_STALE) {
		fault = f->next_fault;
		f->next_fault = FAULT_NONE;
	}
	if (c->txn)
		run_txn(f, c, fault);
	else
		run_scan(f, c, fault);
	free_call(c);
}

static void run_all_calls(struct fake_table *f)
{
	while (!g_queue_is_empty(&f->calls))
		run_call(f);
}

static struct fake_table *fake_new(void)
{
	struct fake_table *f = g_new0(struct fake_table, 1);

	f->plat =
		(struct platform){.ctx = f, .txn = fake_txn, .scan = fake_scan};
	f->tables = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	g_ptr_array_add(f->tables, json_object());
	g_queue_init(&f->calls);
	return f;
}

static void fake_free(struct fake_table *f)
{
	g_assert_true(g_queue_is_empty(&f->calls));
	g_ptr_array_unref(f->tables);
	if (f->rand)
		g_rand_free(f->rand);
	g_free(f);
}

/* A change that was sent, and its result. */
struct change_request {
	struct change change;
	json_t *spec;
	char id[32];
	bool done;
	struct change_result result;
	char *errors;
};

static void on_done(const struct change_result *r, void *arg)
{
	struct change_request *a = arg;

	g_assert_false(a->done);
	a->done = true;
	a->result = *r;
	a->result.errors = NULL;
	g_free(a->errors);
	a->errors = g_strdup("");
	for (guint i = 0; i < r->errors->len; i++) {
		char *s = g_strconcat(
			a->errors, g_ptr_array_index(r->errors, i), "\n", NULL);

		g_free(a->errors);
		a->errors = s;
	}
}

static void send_change(struct fake_table *f, struct change_request *a)
{
	a->done = false;
	a->change.who = "test";
	a->change.from = "127.0.0.1";
	a->change.id = a->id;
	a->change.spec = a->spec;
	change_commit(&f->plat, &a->change, on_done, a);
}

static void change_request_clear(struct change_request *a)
{
	json_decref(a->spec);
	g_free(a->errors);
}

/* Commit one change and run all its calls. */
static enum ramp_error commit_change(struct fake_table *f, const char *id,
				     enum resource_kind k, const char *name,
				     const char *spec,
				     enum change_condition condition,
				     int64_t version, struct change_result *out)
{
	struct change_request a = {.change = {.kind = k,
					      .name = name,
					      .condition = condition,
					      .first_attempt = true,
					      .version = version},
				   .spec = spec ? json_loads(spec, 0, NULL)
						: NULL};

	g_strlcpy(a.id, id, sizeof(a.id));
	send_change(f, &a);
	run_all_calls(f);
	g_assert_true(a.done);
	if (out)
		*out = a.result;
	change_request_clear(&a);
	return a.result.error;
}

#endif
