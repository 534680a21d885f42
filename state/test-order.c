#include <string.h>

#include "state/test-orders.h"

#define SETTLE_MS 300000
#define SCHEDULES 300
#define STEPS     70

static void want(struct orders *o, const char *version)
{
	o->wants[0] = (struct order_load){"m1", "", version};
	o->wants[1] = (struct order_load){"m2", "", "v1"};
	o->wanted = 2;
}

static void test_settle(void)
{
	struct fake *f = fake_new(1);
	struct orders *o = orders_new(f, 6, true);

	want(o, "v1");
	orders_start(o, 0);
	orders_start(o, 1);
	g_assert_cmpint(orders_settle(o, SETTLE_MS), <, 60000);
	want(o, "v2");
	g_assert_cmpint(orders_settle(o, SETTLE_MS), <, 60000);
	g_assert_cmpint(o->lost_copies, ==, 0);
	orders_free(o);
	fake_free(f);
}

/* The holder dies, or is paused past its deadline, before every step. */
static void fail_at(int step, int64_t pause_ms, bool checks, const char *then,
		    int64_t *refused)
{
	struct fake *f = fake_new(1);
	struct orders *o = orders_new(f, 4, checks);

	want(o, "v1");
	orders_start(o, 1);
	orders_settle(o, SETTLE_MS);
	fake_run(f, f->now_ms + 10000);
	f->procs[1].dead = true;
	want(o, "v2");
	if (pause_ms)
		f->procs[0].pause_at = step;
	else
		f->procs[0].kill_at = step;
	f->procs[0].pause_ms = pause_ms;
	orders_start(o, 0);
	fake_run(f, f->now_ms + 1000);
	/* Back to what a target on its way to v2 may still hold. */
	want(o, then);
	orders_start(o, 2);
	g_assert_cmpint(orders_settle(o, SETTLE_MS), <, SETTLE_MS);
	fake_run(f, f->now_ms + 2 * pause_ms + 60000);
	g_assert_cmpuint(orders_wrong(o), ==, 0);
	g_assert_cmpint(o->lost_copies, ==, 0);
	g_assert_cmpint(o->late_sent, ==, 0);
	if (checks)
		g_assert_cmpint(o->stale_taken, ==, 0);
	*refused += checks ? o->stale_refused : o->stale_taken;
	orders_free(o);
	fake_free(f);
}

static void test_kill(void)
{
	int64_t unused = 0;

	for (int step = 1; step <= STEPS; step++) {
		fail_at(step, 0, true, "v1", &unused);
		fail_at(step, 0, true, "v3", &unused);
	}
}

static void test_pause(void)
{
	static const char *const then[] = {"v1", "v2", "v3"};
	int64_t refused = 0, taken = 0;

	for (int step = 1; step <= STEPS; step++) {
		for (size_t i = 0; i < G_N_ELEMENTS(then); i++) {
			fail_at(step, 30000, true, then[i], &refused);
			fail_at(step, 120000, true, then[i], &refused);
			fail_at(step, 30000, false, then[i], &taken);
			fail_at(step, 120000, false, then[i], &taken);
		}
	}
	/* The woken holder did send, so the measures were put to the test. */
	g_assert_cmpint(refused, >, 0);
	g_assert_cmpint(taken, >, 0);
}

static void test_schedules(void)
{
	struct orders sum = {0};

	for (uint32_t seed = 1; seed <= SCHEDULES; seed++) {
		size_t a = orders_schedule(seed, true, &sum);

		if (a || sum.stale_taken || sum.lost_copies)
			g_test_message("seed %u", seed);
		g_assert_cmpuint(a, ==, 0);
		g_assert_cmpint(sum.stale_taken, ==, 0);
		g_assert_cmpint(sum.lost_copies, ==, 0);
	}
	for (uint32_t seed = 1; seed <= SCHEDULES; seed++) {
		size_t a = orders_schedule(seed, false, &sum);

		if (a)
			g_test_message("seed %u, unchecked", seed);
		g_assert_cmpuint(a, ==, 0);
		g_assert_cmpint(sum.late_sent, ==, 0);
	}
}

/* Loads keep to the rate of the weight store. */
static void test_weights(void)
{
	struct fake *f = fake_new(1);
	struct orders *o = orders_new(f, 6, true);
	int64_t ms;

	f->weight_ms = 5000;
	want(o, "v1");
	for (int p = 0; p < SIM_HOLDERS; p++)
		orders_start(o, p);
	ms = orders_settle(o, SETTLE_MS);
	g_assert_cmpint(ms, >=, 5 * f->weight_ms);
	g_assert_cmpint(ms, <, SETTLE_MS);
	/* One refusal a try at most, and a try every three seconds. */
	g_assert_cmpint(f->weight_refusals, <=, ms / 3000 + 1);
	orders_free(o);
	fake_free(f);
}

static void test_next(void)
{
	static const struct {
		const char *held[4]; /* "model version", or NULL: dead */
		const char *wants[2];
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
		/* The other target takes the new version first. */
		{{"a 1", "c 1", NULL, NULL}, {"a 2"}, 1, "a 2"},
		{{"a 1", "a 2", NULL, NULL}, {"a 2"}, 0, "a 2"},
		{{"a 1", NULL, NULL, NULL}, {"a 1", "b 1"}, -1, NULL},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct order_target t[4];
		struct order_load wants[2];
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
		for (; n < 2 && rows[i].wants[n]; n++) {
			models[4 + n][0] = rows[i].wants[n][0];
			versions[4 + n][0] = rows[i].wants[n][2];
			wants[n] = (struct order_load){models[4 + n], "",
						       versions[4 + n]};
		}
		due = order_next(t, 4, wants, n, &out);
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
	g_test_add_func("/state/order/schedules", test_schedules);
	return g_test_run();
}
