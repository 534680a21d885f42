/*
 * Orders: the choice of the next one, and simulated holders that are killed or
 * paused at each step, or race for the lease in seeded schedules.
 */
#include <string.h>

#include "state/test-orders.h"

#define SETTLE_MS 300000
#define SCHEDULES 300
#define STEPS_MAX 70

static void set_desired(struct orders *o, const char *version)
{
	o->desired[0] = (struct order_load){"m1", "", version};
	o->desired[1] = (struct order_load){"m2", "", "v1"};
	o->desired_count = 2;
}

static void test_settle(void)
{
	struct fake *f = fake_new(1);
	struct orders *o = orders_new(f, 6, true);

	set_desired(o, "v1");
	orders_start(o, 0);
	orders_start(o, 1);
	g_assert_cmpint(orders_converge(o, SETTLE_MS), <, 60000);
	set_desired(o, "v2");
	g_assert_cmpint(orders_converge(o, SETTLE_MS), <, 60000);
	g_assert_cmpint(o->lost_copies, ==, 0);
	orders_free(o);
	fake_free(f);
}

/*
 * Kill the holder before a step, or pause it beyond its lease's deadline. Add
 * the stale orders that targets refused, or took if they don't check tokens,
 * to stale_orders.
 */
static void check_failure_at(int step, int64_t pause_ms, bool checks_fence,
			     const char *final_version, int64_t *stale_orders)
{
	struct fake *f = fake_new(1);
	struct orders *o = orders_new(f, 4, checks_fence);

	set_desired(o, "v1");
	orders_start(o, 1);
	orders_converge(o, SETTLE_MS);
	fake_run(f, f->now_ms + 10000);
	f->procs[1].dead = true;
	set_desired(o, "v2");
	if (pause_ms)
		f->procs[0].pause_at_step = step;
	else
		f->procs[0].kill_at_step = step;
	f->procs[0].pause_ms = pause_ms;
	orders_start(o, 0);
	fake_run(f, f->now_ms + 1000);
	/* v1 is what targets still hold if they have not got v2 yet. */
	set_desired(o, final_version);
	orders_start(o, 2);
	g_assert_cmpint(orders_converge(o, SETTLE_MS), <, SETTLE_MS);
	fake_run(f, f->now_ms + 2 * pause_ms + 60000);
	g_assert_cmpuint(orders_count_wrong(o), ==, 0);
	g_assert_cmpint(o->lost_copies, ==, 0);
	g_assert_cmpint(o->sent_late, ==, 0);
	if (checks_fence)
		g_assert_cmpint(o->stale_accepted, ==, 0);
	*stale_orders += checks_fence ? o->stale_refused : o->stale_accepted;
	orders_free(o);
	fake_free(f);
}

static void test_kill(void)
{
	int64_t unused = 0;

	for (int step = 1; step <= STEPS_MAX; step++) {
		check_failure_at(step, 0, true, "v1", &unused);
		check_failure_at(step, 0, true, "v3", &unused);
	}
}

static void test_pause(void)
{
	static const char *const final_version[] = {"v1", "v2", "v3"};
	int64_t refused = 0, taken = 0;

	for (int step = 1; step <= STEPS_MAX; step++) {
		for (size_t i = 0; i < G_N_ELEMENTS(final_version); i++) {
			check_failure_at(step, 30000, true, final_version[i],
					 &refused);
			check_failure_at(step, 120000, true, final_version[i],
					 &refused);
			check_failure_at(step, 30000, false, final_version[i],
					 &taken);
			check_failure_at(step, 120000, false, final_version[i],
					 &taken);
		}
	}
	/* The test proves nothing unless resumed holders sent stale orders. */
	g_assert_cmpint(refused, >, 0);
	g_assert_cmpint(taken, >, 0);
}

/*
 * After the table was restored from an old copy, holders get fencing tokens
 * that are below those of earlier ones, and all targets refuse their orders.
 */
static void test_restored(void)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		struct fake *f = fake_new(seed);
		struct orders *o = orders_new(f, 4, true);
		json_t *copy =
			json_pack("{s:{s:s,s:i,s:i}}", "lease/pool/", "holder",
				  "n0", "fence", 1, "deadline_ms", 0);
		json_t *later =
			json_pack("{s:{s:s,s:i,s:i}}", "lease/pool/", "holder",
				  "n0", "fence", 1000, "deadline_ms", 0);
		int64_t ms;

		fake_commit_rows(f, later);
		set_desired(o, "v1");
		orders_start(o, 0);
		orders_start(o, 1);
		g_assert_cmpint(orders_converge(o, SETTLE_MS), <, 60000);
		fake_run(f, f->now_ms + 60000);
		fake_commit_rows(f, copy);
		set_desired(o, "v2");
		ms = orders_converge(o, SETTLE_MS);
		g_test_message("seed %u: %d ms, %d orders refused", seed,
			       (int)ms, (int)o->stale_refused);
		g_assert_cmpint(ms, <, 60000);
		g_assert_cmpint(o->stale_accepted, ==, 0);
		json_decref(copy);
		json_decref(later);
		orders_free(o);
		fake_free(f);
	}
}

static void test_schedules(void)
{
	struct orders sum = {0};

	for (uint32_t seed = 1; seed <= SCHEDULES; seed++) {
		size_t a = orders_schedule(seed, true, &sum);

		if (a || sum.stale_accepted || sum.lost_copies)
			g_test_message("seed %u", seed);
		g_assert_cmpuint(a, ==, 0);
		g_assert_cmpint(sum.stale_accepted, ==, 0);
		g_assert_cmpint(sum.lost_copies, ==, 0);
	}
	for (uint32_t seed = 1; seed <= SCHEDULES; seed++) {
		size_t a = orders_schedule(seed, false, &sum);

		if (a)
			g_test_message("seed %u, unchecked", seed);
		g_assert_cmpuint(a, ==, 0);
		g_assert_cmpint(sum.sent_late, ==, 0);
	}
}

/* Runs wait for the weight store's rate limit without needless calls. */
static void test_weights(void)
{
	struct fake *f = fake_new(1);
	struct orders *o = orders_new(f, 6, true);
	int64_t ms;

	f->weight_ms = 5000;
	set_desired(o, "v1");
	for (int p = 0; p < SIM_HOLDERS; p++)
		orders_start(o, p);
	ms = orders_converge(o, SETTLE_MS);
	g_assert_cmpint(ms, >=, 5 * f->weight_ms);
	g_assert_cmpint(ms, <, SETTLE_MS);
	/* At most one refusal in a run, and a run every 3 s. */
	g_assert_cmpint(f->weight_refusals, <=, ms / 3000 + 1);
	orders_free(o);
	fake_free(f);
}

static void test_next(void)
{
	static const struct {
		const char *held[4]; /* "model version", or NULL: not alive */
		const char *desired[2];
		int target; /* -1: nothing to do */
		const char *load;
	} rows[] = {
		{{"", "", "", ""}, {"a 1"}, 0, "a 1"},
		{{"a 1", "a 1", "a 1", "a 1"}, {"a 1"}, -1, NULL},
		{{"a 1", "a 1", "a 1", "a 1"}, {"a 2"}, 0, "a 2"},
		{{"a 2", "a 1", "a 1", "a 1"}, {"a 2"}, 1, "a 2"},
		{{"a 1", NULL, NULL, NULL}, {"a 2"}, 0, "a 2"},
		{{"a 1", "a 1", "a 1", "a 1"}, {"a 1", "b 1"}, 0, "b 1"},
		{{"a 1", "b 1", NULL, NULL}, {"b 1", "a 1"}, -1, NULL},
		/* Last copies of two models: only an upgrade in place. */
		{{"a 1", "b 1", NULL, NULL}, {"a 2", "b 1"}, 0, "a 2"},
		/* The other target can take the new version first. */
		{{"a 1", "c 1", NULL, NULL}, {"a 2"}, 1, "a 2"},
		{{"a 1", "a 2", NULL, NULL}, {"a 2"}, 0, "a 2"},
		{{"a 1", NULL, NULL, NULL}, {"a 1", "b 1"}, -1, NULL},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct order_target t[4];
		struct order_load desired[2];
		char models[6][2] = {0}, versions[6][2] = {0};
		struct order out;
		size_t n = 0;
		bool due;

		for (int k = 0; k < 4; k++) {
			const char *h = rows[i].held[k];

			if (h && *h) {
				models[k][0] = h[0];
				versions[k][0] = h[2];
			}
			t[k] = (struct order_target){
				"t", h != NULL, {models[k], "", versions[k]}};
		}
		for (; n < 2 && rows[i].desired[n]; n++) {
			models[4 + n][0] = rows[i].desired[n][0];
			versions[4 + n][0] = rows[i].desired[n][2];
			desired[n] = (struct order_load){models[4 + n], "",
							 versions[4 + n]};
		}
		due = order_next(t, 4, desired, n, &out);
		g_test_message("row %zu", i);
		g_assert_true(due == (rows[i].target >= 0));
		if (!due)
			continue;
		g_assert_cmpuint(out.target, ==, rows[i].target);
		g_assert_cmpint(out.load.model[0], ==, rows[i].load[0]);
		g_assert_cmpint(out.load.version[0], ==, rows[i].load[2]);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/state/order/next", test_next);
	g_test_add_func("/state/order/settle", test_settle);
	g_test_add_func("/state/order/weights", test_weights);
	g_test_add_func("/state/order/kill", test_kill);
	g_test_add_func("/state/order/pause", test_pause);
	g_test_add_func("/state/order/restored", test_restored);
	g_test_add_func("/state/order/schedules", test_schedules);
	return g_test_run();
}
