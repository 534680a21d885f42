/* Changes: conditions, faults of the spec, lost answers and killed nodes. */
#include "state/test-table.h"

#define SERVICE  "{\"kind\":\"model\",\"pool\":\"p\"}"
#define SERVICE2 "{\"kind\":\"model\",\"pool\":\"q\"}"
#define INTENT   "{\"service\":\"s\",\"organisation\":\"o\"}"

/* A table with organisation o, service s and intent i for both. */
static struct fake_table *fake_with_resources(void)
{
	struct fake_table *f = fake_new();

	g_assert_cmpint(commit_change(f, "s1", KIND_ORGANISATION, "o",
				      "{\"keys\":[]}", CHANGE_IF_ABSENT, 0,
				      NULL),
			==, RAMP_OK);
	g_assert_cmpint(commit_change(f, "s2", KIND_SERVICE, "s", SERVICE,
				      CHANGE_IF_ABSENT, 0, NULL),
			==, RAMP_OK);
	g_assert_cmpint(commit_change(f, "s3", KIND_INTENT, "i", INTENT,
				      CHANGE_IF_ABSENT, 0, NULL),
			==, RAMP_OK);
	return f;
}

static void test_conditions(void)
{
	static const struct {
		const char *name, *spec;
		enum resource_kind kind;
		enum change_condition condition;
		int64_t version;
		int64_t present_version;
		enum ramp_error error;
	} cases[] = {
		{"s", SERVICE2, KIND_SERVICE, CHANGE_IF_VERSION, 2, 4, RAMP_OK},
		{"s", SERVICE2, KIND_SERVICE, CHANGE_ALWAYS, 0, 4, RAMP_OK},
		{"t", SERVICE2, KIND_SERVICE, CHANGE_ALWAYS, 0, 4, RAMP_OK},
		{"s", SERVICE2, KIND_SERVICE, CHANGE_IF_VERSION, 1, 2,
		 RAMP_ERR_CONFLICT},
		{"s", SERVICE2, KIND_SERVICE, CHANGE_IF_ABSENT, 0, 2,
		 RAMP_ERR_CONFLICT},
		{"t", SERVICE2, KIND_SERVICE, CHANGE_IF_VERSION, 2, 0,
		 RAMP_ERR_CONFLICT},
		{"i", NULL, KIND_INTENT, CHANGE_IF_VERSION, 3, 0, RAMP_OK},
		{"i", NULL, KIND_INTENT, CHANGE_IF_VERSION, 2, 3,
		 RAMP_ERR_CONFLICT},
		{"j", NULL, KIND_INTENT, CHANGE_ALWAYS, 0, 0,
		 RAMP_ERR_NOT_FOUND},
		{"s", NULL, KIND_SERVICE, CHANGE_ALWAYS, 0, 2,
		 RAMP_ERR_BAD_REQUEST},
		{"o", NULL, KIND_ORGANISATION, CHANGE_ALWAYS, 0, 1,
		 RAMP_ERR_BAD_REQUEST},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake_table *f = fake_with_resources();
		struct change_result r;
		guint before = f->tables->len;

		g_assert_cmpint(commit_change(f, "c", cases[i].kind,
					      cases[i].name, cases[i].spec,
					      cases[i].condition,
					      cases[i].version, &r),
				==, cases[i].error);
		g_assert_cmpint(r.version, ==, cases[i].present_version);
		g_assert_cmpint(r.revision, ==,
				cases[i].error == RAMP_OK ? 4 : 0);
		if (cases[i].error == RAMP_OK)
			g_assert_cmpuint(f->tables->len, ==, before + 1);
		g_assert_cmpint(!!row_version(f, "cid/c"), ==,
				cases[i].error == RAMP_OK);
		fake_free(f);
	}
}

static void test_faults(void)
{
	static const struct {
		enum resource_kind kind;
		const char *name, *spec;
		const char *want[3];
	} cases[] = {
		{KIND_INTENT,
		 "j",
		 "{\"service\":\"x\",\"organisation\":\"y\"}",
		 {"no service \"x\"", "no organisation \"y\""}},
		{KIND_SERVICE,
		 "t",
		 "{\"kind\":\"modl\",\"poll\":1}",
		 {"kind: one of", "poll: unknown field", "pool: required"}},
		{KIND_SERVICE, "s", NULL, {"intent/i: service: no service"}},
		{KIND_ORGANISATION,
		 "o",
		 NULL,
		 {"intent/i: organisation: no organisation"}},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *spec = cases[i].spec;
		struct change_request a = {
			.change = {.kind = cases[i].kind,
				   .name = cases[i].name,
				   .condition = CHANGE_ALWAYS},
			.id = "c",
			.spec = spec ? json_loads(spec, 0, NULL) : NULL};
		struct fake_table *f = fake_with_resources();

		send_change(f, &a);
		run_all_calls(f);
		g_assert_cmpint(a.result.error, ==, RAMP_ERR_BAD_REQUEST);
		for (int k = 0; k < 3 && cases[i].want[k]; k++)
			g_assert_nonnull(strstr(a.errors, cases[i].want[k]));
		change_request_clear(&a);
		fake_free(f);
	}
}

/* A key hash that another organisation has, or that occurs twice. */
static void test_key_owners(void)
{
	struct fake_table *f = fake_new();
	char *hash = key_hash(STR_LIT("k"));
	char *one = g_strdup_printf(
		"{\"keys\":[{\"hash\":\"%s\",\"role\":\"caller\"}]}", hash);
	char *twice = g_strdup_printf(
		"{\"keys\":[{\"hash\":\"%s\",\"role\":\"caller\"},"
		"{\"hash\":\"%s\",\"role\":\"admin\"}]}",
		hash, hash);

	g_assert_cmpint(commit_change(f, "a", KIND_ORGANISATION, "o", twice,
				      CHANGE_ALWAYS, 0, NULL),
			==, RAMP_ERR_BAD_REQUEST);
	g_assert_cmpint(commit_change(f, "b", KIND_ORGANISATION, "o", one,
				      CHANGE_ALWAYS, 0, NULL),
			==, RAMP_OK);
	g_assert_cmpint(commit_change(f, "c", KIND_ORGANISATION, "p", one,
				      CHANGE_ALWAYS, 0, NULL),
			==, RAMP_ERR_BAD_REQUEST);
	g_assert_cmpint(commit_change(f, "d", KIND_ORGANISATION, "o", one,
				      CHANGE_ALWAYS, 0, NULL),
			==, RAMP_OK);
	g_free(hash);
	g_free(one);
	g_free(twice);
	fake_free(f);
}

/* A fault of the transaction, then the change is sent again, same id. */
static void test_lost_answers(void)
{
	static const struct {
		enum fault fault;
		enum ramp_error first;
		bool repeated; /* of the second request */
	} cases[] = {
		{FAULT_NONE, RAMP_OK, true},
		{FAULT_ANSWER_LOST, RAMP_OK, true},
		{FAULT_LATE_EFFECT, RAMP_OK, true},
		{FAULT_REFUSED, RAMP_ERR_STORE_DOWN, false},
		{FAULT_NOT_SENT, RAMP_ERR_STORE_DOWN, false},
		{FAULT_STALE, RAMP_OK, true},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake_table *f = fake_with_resources();
		struct change_result r;

		f->next_fault = cases[i].fault;
		g_assert_cmpint(commit_change(f, "c", KIND_SERVICE, "s",
					      SERVICE2, CHANGE_IF_VERSION, 2,
					      &r),
				==, cases[i].first);
		g_assert_cmpint(commit_change(f, "c", KIND_SERVICE, "s",
					      SERVICE2, CHANGE_IF_VERSION, 2,
					      &r),
				==, RAMP_OK);
		g_assert_cmpint(r.repeated, ==, cases[i].repeated);
		g_assert_cmpint(r.version, ==, 4);
		g_assert_cmpint(r.generation, ==, 2);
		/* Exactly one change was committed. */
		g_assert_cmpint(row_version(f, "chg/00000000000000000005"), ==,
				0);
		g_assert_cmpint(commit_change(f, "c", KIND_SERVICE, "s",
					      SERVICE, CHANGE_ALWAYS, 0, &r),
				==, RAMP_ERR_BAD_REQUEST);
		fake_free(f);
	}
}

static void scan_until_commit(void *ctx, const char *prefix, const char *after,
			      plat_done_fn *done, void *arg)
{
	struct fake_table *f = ctx;
	struct plat_result down = {.status = PLAT_UNREACHABLE};

	if (f->txns_answered > 3) /* the change's transaction has run */
		done(&down, arg);
	else
		fake_scan(ctx, prefix, after, done, arg);
}

/* The transaction takes effect, then its answer and the store are lost. */
static void test_unknown(void)
{
	struct change_request a = {.change = {.kind = KIND_SERVICE,
					      .name = "s",
					      .condition = CHANGE_IF_VERSION,
					      .version = 2},
				   .id = "c"};
	struct fake_table *f = fake_with_resources();
	struct change_result r;

	f->plat.scan = scan_until_commit;
	f->next_fault = FAULT_ANSWER_LOST;
	g_assert_cmpint(commit_change(f, "c", KIND_SERVICE, "s", SERVICE2,
				      CHANGE_IF_VERSION, 2, &r),
			==, RAMP_ERR_STORE_UNAVAILABLE);
	/* A repeat during the outage must not answer that nothing was done. */
	a.spec = json_loads(SERVICE2, 0, NULL);
	send_change(f, &a);
	run_all_calls(f);
	g_assert_cmpint(a.result.error, ==, RAMP_ERR_STORE_UNAVAILABLE);
	change_request_clear(&a);
	f->plat.scan = fake_scan;
	g_assert_cmpint(commit_change(f, "c", KIND_SERVICE, "s", SERVICE2,
				      CHANGE_IF_VERSION, 2, &r),
			==, RAMP_OK);
	g_assert_true(r.repeated);
	fake_free(f);
}

/* Effect of the calls that a killed node had in progress. */
enum leftover {
	LEFTOVER_DROPPED,
	LEFTOVER_BEFORE_RESEND, /* before the change is sent again */
	LEFTOVER_AFTER_RESEND,
	LEFTOVER_COUNT,
};

static void drop_callbacks(struct fake_table *f)
{
	for (GList *l = f->calls.head; l; l = l->next)
		((struct call *)l->data)->done = NULL;
}

/*
 * The node is killed after it got so many answers, and the change is sent
 * again to another node. Return false if the first request had ended before.
 */
static bool kill_after(int answers, enum leftover leftover)
{
	struct change ch = {.kind = KIND_SERVICE,
			    .name = "s",
			    .condition = CHANGE_IF_VERSION,
			    .version = 2,
			    .first_attempt = true};
	struct change_request a = {.change = ch, .id = "c"};
	struct change_request b = {.change = ch, .id = "c"};
	struct fake_table *f = fake_with_resources();
	GQueue delayed = G_QUEUE_INIT;
	bool killed;

	a.spec = json_loads(SERVICE2, 0, NULL);
	b.spec = json_incref(a.spec);
	b.change.first_attempt = false;
	send_change(f, &a);
	for (int i = 0; i < answers && !a.done; i++)
		run_call(f);
	killed = !a.done;
	drop_callbacks(f);
	if (leftover == LEFTOVER_BEFORE_RESEND)
		run_all_calls(f);
	while (!g_queue_is_empty(&f->calls)) {
		struct call *c = g_queue_pop_head(&f->calls);

		if (leftover == LEFTOVER_AFTER_RESEND)
			g_queue_push_tail(&delayed, c);
		else
			free_call(c);
	}
	send_change(f, &b);
	run_all_calls(f);
	while (!g_queue_is_empty(&delayed))
		g_queue_push_tail(&f->calls, g_queue_pop_head(&delayed));
	run_all_calls(f);
	g_assert_cmpint(b.result.error, ==, RAMP_OK);
	g_assert_cmpint(b.result.version, ==, 4);
	g_assert_cmpint(!!row_version(f, "chg/00000000000000000004"), ==, 1);
	g_assert_cmpint(row_version(f, "chg/00000000000000000005"), ==, 0);
	change_request_clear(&a);
	change_request_clear(&b);
	fake_free(f);
	return killed;
}

static void test_killed(void)
{
	for (int leftover = 0; leftover < LEFTOVER_COUNT; leftover++) {
		int n = 0;

		while (kill_after(n, (enum leftover)leftover))
			n++;
		/* Reads of the head, of two pages of rows and of the id, then
		 * the transaction. */
		g_assert_cmpint(n, ==, 5);
	}
}

static void test_id(void)
{
	g_assert_true(change_id_valid("a-1_B.c"));
	g_assert_false(change_id_valid(""));
	g_assert_false(change_id_valid("a/b"));
	g_assert_false(change_id_valid("a b"));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/state/change/conditions", test_conditions);
	g_test_add_func("/state/change/faults", test_faults);
	g_test_add_func("/state/change/key-owners", test_key_owners);
	g_test_add_func("/state/change/lost-answers", test_lost_answers);
	g_test_add_func("/state/change/unknown", test_unknown);
	g_test_add_func("/state/change/killed", test_killed);
	g_test_add_func("/state/change/id", test_id);
	return g_test_run();
}
