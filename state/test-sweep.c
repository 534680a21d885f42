/* The sweep of expired claims, also with a concurrent change and an outage. */
#include "state/sweep.h"
#include "state/test-fake.h"

#define EXPIRED_CLAIMS 250
#define VALID_CLAIMS   30
#define TICK_MS        20

static int64_t wall_clock_ms(void *ctx)
{
	return ((struct fake *)ctx)->now_ms;
}

static void add(struct fake *f, const char *prefix, int i, int64_t at_ms,
		int64_t latest_ms)
{
	char *key = g_strdup_printf("%s%04d", prefix, i);
	json_t *rows = json_pack("{s:{s:I,s:I}}", key, "at_ms", at_ms,
				 "latest_ms", latest_ms);

	fake_commit_rows(f, rows);
	json_decref(rows);
	g_free(key);
}

static int count(struct fake *f, const char *prefix, int most)
{
	int n = 0;

	for (int i = 0; i < most; i++) {
		char *key = g_strdup_printf("%s%04d", prefix, i);

		n += fake_row(f, key) != NULL;
		g_free(key);
	}
	return n;
}

static void run(struct fake *f, struct sweep *s, int64_t ms)
{
	int64_t until = f->now_ms + ms;

	while (f->now_ms < until) {
		sweep_tick(s, f->now_ms);
		fake_run(f, f->now_ms + TICK_MS);
	}
}

/* Expired claims are removed in batches; all other rows stay. */
static void test_removes(void)
{
	struct fake *f = fake_new(1);
	struct sweep *s;

	f->now_ms = 2 * (int64_t)CLAIM_RETENTION_MS;
	for (int i = 0; i < EXPIRED_CLAIMS; i++)
		add(f, "claim/a", i, 1, 1);
	for (int i = 0; i < VALID_CLAIMS; i++)
		add(f, "claim/b", i, 1, f->now_ms - CLAIM_RETENTION_MS / 2);
	add(f, "lease/x", 0, 1, 1);
	s = sweep_new(fake_platform(f, 0), wall_clock_ms, f);
	run(f, s, 60000);
	g_assert_cmpint(count(f, "claim/a", EXPIRED_CLAIMS), ==, 0);
	g_assert_cmpint(count(f, "claim/b", VALID_CLAIMS), ==, VALID_CLAIMS);
	g_assert_cmpint(count(f, "lease/x", 1), ==, 1);
	g_assert_cmpint(f->writes, ==,
			(EXPIRED_CLAIMS + SWEEP_BATCH_MAX - 1) /
				SWEEP_BATCH_MAX);
	sweep_free(s);
	fake_free(f);
}

/* A claim that changes between the read and the removal stays. */
static void test_changed(void)
{
	struct fake *f = fake_new(1);
	struct sweep *s;

	f->now_ms = 2 * (int64_t)CLAIM_RETENTION_MS;
	f->faults.delay_min_ms = 50;
	f->faults.delay_max_ms = 50;
	add(f, "claim/a", 0, 1, 1);
	s = sweep_new(fake_platform(f, 0), wall_clock_ms, f);
	sweep_tick(s, f->now_ms);
	fake_run(f, f->now_ms + 60);
	add(f, "claim/a", 0, f->now_ms, f->now_ms);
	run(f, s, 60000);
	g_assert_cmpint(f->writes, ==, 1);
	g_assert_cmpint(count(f, "claim/a", 1), ==, 1);
	sweep_free(s);
	fake_free(f);
}

/* The sweep continues after an outage. */
static void test_down(void)
{
	struct fake *f = fake_new(1);
	struct sweep *s;

	f->now_ms = 2 * (int64_t)CLAIM_RETENTION_MS;
	f->faults.down_until_ms = f->now_ms + 600000;
	add(f, "claim/a", 0, 1, 1);
	s = sweep_new(fake_platform(f, 0), wall_clock_ms, f);
	run(f, s, 590000);
	g_assert_cmpint(count(f, "claim/a", 1), ==, 1);
	run(f, s, 60000);
	g_assert_cmpint(count(f, "claim/a", 1), ==, 0);
	sweep_free(s);
	fake_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/state/sweep/removes", test_removes);
	g_test_add_func("/state/sweep/changed", test_changed);
	g_test_add_func("/state/sweep/down", test_down);
	return g_test_run();
}
