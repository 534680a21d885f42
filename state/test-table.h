/*
 * For tests: a table service held in memory. Calls wait in a queue; the test,
 * or a seeded schedule, says in which order they take effect and which answers
 * get lost, come late or show the past.
 */
#ifndef STATE_TEST_TABLE_H
#define STATE_TEST_TABLE_H

#include <string.h>

#include "state/state.h"

enum fault {
	FAULT_NONE,
	FAULT_LOST,    /* effect, no answer */
	FAULT_LATE,    /* no answer now, the effect comes later */
	FAULT_REFUSED, /* answered: not done */
	FAULT_UNSENT,
	FAULT_STALE, /* a scan shows an earlier revision */
};

struct call {
	json_t *txn; /* NULL: a scan */
	char *prefix, *after;
	plat_done_fn *done; /* NULL: answered already */
	void *arg;
};

struct fake {
	struct platform plat;
	GPtrArray *tables; /* by revision: key -> {"value", "version"} */
	GQueue calls;
	enum fault next; /* fault of the next transaction, unless random */
	GRand *rand;     /* NULL: in order, faults as told */
	int txns;        /* answered so far */
};

static json_t *table(struct fake *f)
{
	return g_ptr_array_index(f->tables, f->tables->len - 1);
}

static int64_t version_of(struct fake *f, const char *key)
{
	return json_integer_value(
		json_object_get(json_object_get(table(f), key), "version"));
}

static void push(struct fake *f, struct call c)
{
	g_queue_push_tail(&f->calls, g_memdup2(&c, sizeof(c)));
}

static void fake_txn(void *ctx, const json_t *txn, plat_done_fn *done,
		     void *arg)
{
	push(ctx, (struct call){json_deep_copy(txn), NULL, NULL, done, arg});
}

static void fake_scan(void *ctx, const char *prefix, const char *after,
		      plat_done_fn *done, void *arg)
{
	push(ctx,
	     (struct call){NULL, g_strdup(prefix), g_strdup(after), done, arg});
}

static bool checks_hold(struct fake *f, const json_t *txn)
{
	size_t i;
	json_t *c;

	json_array_foreach (json_object_get(txn, "checks"), i, c) {
		const char *key = json_string_value(json_object_get(c, "key"));
		int64_t want =
			json_integer_value(json_object_get(c, "version"));

		if (version_of(f, key) != want)
			return false;
	}
	return true;
}

static void apply(struct fake *f, const json_t *txn)
{
	json_t *next = json_copy(table(f));
	int64_t revision = f->tables->len;
	size_t i;
	json_t *x;

	json_array_foreach (json_object_get(txn, "puts"), i, x)
		json_object_set_new(
			next, json_string_value(json_object_get(x, "key")),
			json_pack("{s:O,s:I}", "value",
				  json_object_get(x, "value"), "version",
				  revision));
	json_array_foreach (json_object_get(txn, "deletes"), i, x)
		json_object_del(next, json_string_value(x));
	g_ptr_array_add(f->tables, next);
}

static int compare(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Pages of two rows, so that every scan of some size takes several. */
static json_t *scan_answer(struct fake *f, const struct call *c, guint revision)
{
	json_t *t = g_ptr_array_index(f->tables, revision);
	GPtrArray *keys = g_ptr_array_new();
	json_t *rows = json_array();
	bool more = false;
	const char *key;
	json_t *row;

	json_object_foreach (t, key, row) {
		if (g_str_has_prefix(key, c->prefix) &&
		    (!c->after || strcmp(key, c->after) > 0))
			g_ptr_array_add(keys, (char *)key);
	}
	g_ptr_array_sort(keys, compare);
	for (guint i = 0; i < keys->len && !more; i++) {
		key = g_ptr_array_index(keys, i);
		row = json_object_get(t, key);
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

static void run_scan(struct fake *f, struct call *c, enum fault fault)
{
	guint newest = f->tables->len - 1;

	if (fault == FAULT_STALE && newest) /* rows and revision as of then */
		newest -=
			f->rand ? (guint)g_rand_int_range(
					  f->rand, 0, (gint)MIN(newest, 4) + 1)
				: 1;
	if (fault == FAULT_REFUSED)
		answer(c, PLAT_REFUSED, NULL);
	else if (fault == FAULT_UNSENT)
		answer(c, PLAT_UNREACHABLE, NULL);
	else
		answer(c, PLAT_OK, scan_answer(f, c, newest));
}

static void run_txn(struct fake *f, struct call *c, enum fault fault)
{
	bool held;

	if (fault == FAULT_REFUSED || fault == FAULT_UNSENT) {
		answer(c,
		       fault == FAULT_REFUSED ? PLAT_REFUSED : PLAT_UNREACHABLE,
		       NULL);
		return;
	}
	if (fault == FAULT_LATE && c->done) {
		struct call late = *c;

		late.done = NULL;
		late.txn = json_incref(c->txn);
		push(f, late);
		answer(c, PLAT_UNKNOWN, NULL);
		return;
	}
	held = checks_hold(f, c->txn);
	if (held)
		apply(f, c->txn);
	f->txns += c->done != NULL;
	if (fault == FAULT_LOST)
		answer(c, PLAT_UNKNOWN, NULL);
	else
		answer(c, held ? PLAT_OK : PLAT_CONFLICT, NULL);
}

static enum fault pick_fault(struct fake *f, bool is_scan)
{
	static const enum fault some[] = {FAULT_LOST, FAULT_LATE, FAULT_REFUSED,
					  FAULT_UNSENT};
	int n = g_rand_int_range(f->rand, 0, 40);

	if (is_scan && n >= 30)
		return FAULT_STALE;
	return n < (int)G_N_ELEMENTS(some) ? some[n] : FAULT_NONE;
}

static void step(struct fake *f)
{
	guint n = g_queue_get_length(&f->calls);
	guint at = f->rand ? (guint)g_rand_int_range(f->rand, 0, (gint)n) : 0;
	struct call *c = g_queue_pop_nth(&f->calls, at);
	enum fault fault = FAULT_NONE;

	if (f->rand) {
		fault = pick_fault(f, !c->txn);
	} else if (c->txn || f->next == FAULT_STALE) {
		fault = f->next;
		f->next = FAULT_NONE;
	}
	if (c->txn)
		run_txn(f, c, fault);
	else
		run_scan(f, c, fault);
	free_call(c);
}

static void drain(struct fake *f)
{
	while (!g_queue_is_empty(&f->calls))
		step(f);
}

static struct fake *fake_new(void)
{
	struct fake *f = g_new0(struct fake, 1);

	f->plat =
		(struct platform){.ctx = f, .txn = fake_txn, .scan = fake_scan};
	f->tables = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	g_ptr_array_add(f->tables, json_object());
	g_queue_init(&f->calls);
	return f;
}

static void fake_free(struct fake *f)
{
	g_assert_true(g_queue_is_empty(&f->calls));
	g_ptr_array_unref(f->tables);
	if (f->rand)
		g_rand_free(f->rand);
	g_free(f);
}

/* A change that is being asked for and its result. */
struct asked {
	struct change change;
	json_t *spec;
	char id[32];
	bool done;
	struct change_result result;
	char *errors;
};

static void on_done(const struct change_result *r, void *arg)
{
	struct asked *a = arg;

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

static void ask(struct fake *f, struct asked *a)
{
	a->done = false;
	a->change.who = "test";
	a->change.from = "127.0.0.1";
	a->change.id = a->id;
	a->change.spec = a->spec;
	change_commit(&f->plat, &a->change, on_done, a);
}

static void asked_clear(struct asked *a)
{
	json_decref(a->spec);
	g_free(a->errors);
}

/* One change by itself, its call run to the end. */
static enum ramp_error make(struct fake *f, const char *id,
			    enum resource_kind k, const char *name,
			    const char *spec, enum change_condition condition,
			    int64_t version, struct change_result *out)
{
	struct asked a = {.change = {.kind = k,
				     .name = name,
				     .condition = condition,
				     .first = true,
				     .version = version},
			  .spec = spec ? json_loads(spec, 0, NULL) : NULL};

	g_strlcpy(a.id, id, sizeof(a.id));
	ask(f, &a);
	drain(f);
	g_assert_true(a.done);
	if (out)
		*out = a.result;
	asked_clear(&a);
	return a.result.error;
}

#endif
