/*
 * Two operators race over one resource, in seeded schedules: each reads the
 * present version, replaces it under that condition and sends an unsettled
 * change again.
 */
#include <inttypes.h>

#include "state/test-table.h"

#define SCHEDULES 400
#define SERVICE   "{\"kind\":\"model\",\"pool\":\"p\"}"
#define ROUNDS    6

struct racer {
	struct asked ask;
	int who, round;
	int64_t version; /* believed present */
	enum ramp_error results[ROUNDS];
	int64_t revisions[ROUNDS];
	int resends;
};

static void send_round(struct fake *f, struct racer *o)
{
	g_snprintf(o->ask.id, sizeof(o->ask.id), "op%d-%d", o->who, o->round);
	json_decref(o->ask.spec);
	o->ask.spec =
		json_pack("{s:s,s:s}", "kind", "model", "pool", o->ask.id);
	o->ask.change.version = o->version;
	o->ask.change.first = true;
	ask(f, &o->ask);
}

/* Take the result of a round; go on with the next, or ask again. */
static void next_round(struct fake *f, struct racer *o)
{
	const struct change_result *r = &o->ask.result;

	o->results[o->round] = r->error;
	o->revisions[o->round] = r->revision;
	if (r->error == RAMP_ERR_STORE_UNAVAILABLE && o->resends++ < 20) {
		o->ask.change.first = false;
		ask(f, &o->ask);
		return;
	}
	/* A conflict names the present version, never one from the past. */
	if (r->error == RAMP_ERR_CONFLICT)
		g_assert_cmpint(r->version, >, o->version);
	if (r->error == RAMP_OK || r->error == RAMP_ERR_CONFLICT)
		o->version = r->version;
	if (++o->round < ROUNDS)
		send_round(f, o);
}

static const json_t *audit(struct fake *f, int64_t revision)
{
	char *key = g_strdup_printf("chg/%020" PRId64, revision);
	const json_t *v =
		json_object_get(json_object_get(table(f), key), "value");

	g_free(key);
	return v;
}

/* Position of an identity in the audit trail, or 0; at most one. */
static int64_t made_at(struct fake *f, const char *id)
{
	int64_t found = 0;
	const json_t *v;

	for (int64_t n = 1; (v = audit(f, n)); n++) {
		if (strcmp(json_string_value(json_object_get(v, "id")), id))
			continue;
		g_assert_cmpint(found, ==, 0);
		found = n;
	}
	return found;
}

static void check_operator(struct fake *f, const struct racer *o, int *accepted)
{
	int64_t last = 0;

	for (int i = 0; i < ROUNDS; i++) {
		char *id = g_strdup_printf("op%d-%d", o->who, i);
		int64_t n = made_at(f, id);

		g_free(id);
		if (o->results[i] == RAMP_OK) {
			(*accepted)++;
			g_assert_cmpint(n, ==, o->revisions[i]);
			g_assert_cmpint(n, >, last);
			last = n;
		} else if (o->results[i] != RAMP_ERR_STORE_UNAVAILABLE) {
			g_assert_cmpint(n, ==, 0); /* told: not run */
		}
	}
}

/* Each change starts from what the one before it left. */
static void check_chain(struct fake *f)
{
	const json_t *is = NULL;
	const json_t *v;
	int64_t n;

	for (n = 1; (v = audit(f, n)); n++) {
		const json_t *was = json_object_get(v, "was");

		g_assert_cmpint(
			json_integer_value(json_object_get(v, "generation")),
			==, n);
		g_assert_true(is ? json_equal(was, is) : json_is_null(was));
		is = json_object_get(v, "is");
	}
	v = json_object_get(json_object_get(table(f), "head/config"), "value");
	g_assert_cmpint(json_integer_value(json_object_get(v, "revision")), ==,
			n - 1);
	v = json_object_get(json_object_get(table(f), "res/service/s"),
			    "value");
	g_assert_true(json_equal(json_object_get(v, "spec"), is));
}

static int race(guint32 seed)
{
	struct racer o[2] = {0};
	struct fake *f = fake_new();
	int accepted = 0;

	g_assert_cmpint(make(f, "first", KIND_SERVICE, "s", SERVICE,
			     CHANGE_ALWAYS, 0, NULL),
			==, RAMP_OK);
	f->rand = g_rand_new_with_seed(seed);
	for (int i = 0; i < 2; i++) {
		o[i].who = i;
		o[i].version = 1;
		o[i].ask.change =
			(struct change){.kind = KIND_SERVICE,
					.name = "s",
					.condition = CHANGE_IF_VERSION};
		send_round(f, &o[i]);
	}
	while (!g_queue_is_empty(&f->calls)) {
		step(f);
		for (int i = 0; i < 2; i++) {
			if (o[i].ask.done && o[i].round < ROUNDS)
				next_round(f, &o[i]);
		}
	}
	check_chain(f);
	for (int i = 0; i < 2; i++) {
		g_assert_cmpint(o[i].round, ==, ROUNDS);
		check_operator(f, &o[i], &accepted);
		asked_clear(&o[i].ask);
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
	/* The check means nothing unless many are accepted. */
	g_assert_cmpint(accepted, >, 2 * SCHEDULES);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/state/race/two-operators", test_race);
	return g_test_run();
}
