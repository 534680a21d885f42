/*
 * Two operators change one resource concurrently, in seeded schedules with
 * faults of the table. Each change has the version last seen as its condition,
 * and is sent again with the same id while its outcome is unknown. Guards
 * against a lost update, a change made twice and a false refusal.
 */
#include <inttypes.h>

#include "state/test-table.h"

#define SCHEDULES 400
#define SERVICE   "{\"kind\":\"model\",\"pool\":\"p\"}"
#define ROUNDS    6

struct operator_run {
	struct change_request request;
	int number, round;
	int64_t version; /* last seen of the resource */
	enum ramp_error results[ROUNDS];
	int64_t revisions[ROUNDS];
	int resends;
};

static void send_round(struct fake_table *f, struct operator_run *o)
{
	g_snprintf(o->request.id, sizeof(o->request.id), "op%d-%d", o->number,
		   o->round);
	json_decref(o->request.spec);
	o->request.spec =
		json_pack("{s:s,s:s}", "kind", "model", "pool", o->request.id);
	o->request.change.version = o->version;
	o->request.change.first_attempt = true;
	send_change(f, &o->request);
}

/* Take a round's result, then send its change again or the next round's. */
static void on_round_done(struct fake_table *f, struct operator_run *o)
{
	const struct change_result *r = &o->request.result;

	o->results[o->round] = r->error;
	o->revisions[o->round] = r->revision;
	if (r->error == RAMP_ERR_STORE_UNAVAILABLE && o->resends++ < 20) {
		o->request.change.first_attempt = false;
		send_change(f, &o->request);
		return;
	}
	/* A conflict must return the present version, not a stale one. */
	if (r->error == RAMP_ERR_CONFLICT)
		g_assert_cmpint(r->version, >, o->version);
	if (r->error == RAMP_OK || r->error == RAMP_ERR_CONFLICT)
		o->version = r->version;
	if (++o->round < ROUNDS)
		send_round(f, o);
}

static const json_t *audit_value(struct fake_table *f, int64_t revision)
{
	char *key = g_strdup_printf("chg/%020" PRId64, revision);
	const json_t *v =
		json_object_get(json_object_get(newest_rows(f), key), "value");

	g_free(key);
	return v;
}

/* Return the revision of the change with this id, 0 if none; at most one. */
static int64_t find_audit_revision(struct fake_table *f, const char *id)
{
	int64_t found = 0;
	const json_t *v;

	for (int64_t n = 1; (v = audit_value(f, n)); n++) {
		if (strcmp(json_string_value(json_object_get(v, "id")), id))
			continue;
		g_assert_cmpint(found, ==, 0);
		found = n;
	}
	return found;
}

static void check_operator(struct fake_table *f, const struct operator_run *o,
			   int *accepted)
{
	int64_t last = 0;

	for (int i = 0; i < ROUNDS; i++) {
		char *id = g_strdup_printf("op%d-%d", o->number, i);
		int64_t n = find_audit_revision(f, id);

		g_free(id);
		if (o->results[i] == RAMP_OK) {
			(*accepted)++;
			g_assert_cmpint(n, ==, o->revisions[i]);
			g_assert_cmpint(n, >, last);
			last = n;
		} else if (o->results[i] != RAMP_ERR_STORE_UNAVAILABLE) {
			g_assert_cmpint(n, ==, 0); /* answered: not done */
		}
	}
}

/* Check that each change replaced the spec that the previous one wrote. */
static void check_audit_chain(struct fake_table *f)
{
	const json_t *is = NULL;
	const json_t *v;
	int64_t n;

	for (n = 1; (v = audit_value(f, n)); n++) {
		const json_t *was = json_object_get(v, "was");

		g_assert_cmpint(
			json_integer_value(json_object_get(v, "generation")),
			==, n);
		g_assert_true(is ? json_equal(was, is) : json_is_null(was));
		is = json_object_get(v, "is");
	}
	v = json_object_get(json_object_get(newest_rows(f), "head/config"),
			    "value");
	g_assert_cmpint(json_integer_value(json_object_get(v, "revision")), ==,
			n - 1);
	v = json_object_get(json_object_get(newest_rows(f), "res/service/s"),
			    "value");
	g_assert_true(json_equal(json_object_get(v, "spec"), is));
}

static int race(guint32 seed)
{
	struct operator_run o[2] = {0};
	struct fake_table *f = fake_new();
	int accepted = 0;

	g_assert_cmpint(commit_change(f, "first", KIND_SERVICE, "s", SERVICE,
				      CHANGE_ALWAYS, 0, NULL),
			==, RAMP_OK);
	f->rand = g_rand_new_with_seed(seed);
	for (int i = 0; i < 2; i++) {
		o[i].number = i;
		o[i].version = 1;
		o[i].request.change =
			(struct change){.kind = KIND_SERVICE,
					.name = "s",
					.condition = CHANGE_IF_VERSION};
		send_round(f, &o[i]);
	}
	while (!g_queue_is_empty(&f->calls)) {
		run_call(f);
		for (int i = 0; i < 2; i++) {
			if (o[i].request.done && o[i].round < ROUNDS)
				on_round_done(f, &o[i]);
		}
	}
	check_audit_chain(f);
	for (int i = 0; i < 2; i++) {
		g_assert_cmpint(o[i].round, ==, ROUNDS);
		check_operator(f, &o[i], &accepted);
		change_request_clear(&o[i].request);
	}
	fake_free(f);
	return accepted;
}

static void test_race(void)
{
	int accepted = 0;

	for (guint32 seed = 1; seed <= SCHEDULES; seed++)
		accepted += race(seed);
	g_test_message("%d schedules, %d changes accepted", SCHEDULES,
		       accepted);
	/* With few accepted changes the checks would prove little. */
	g_assert_cmpint(accepted, >, 2 * SCHEDULES);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/state/race/two-operators", test_race);
	return g_test_run();
}
