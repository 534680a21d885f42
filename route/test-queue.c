/* Who waits at a target, for how long, and who comes next. */
#include "route/test-random.h"

#define CAPACITY 10000

static GRand *rand_source;

static struct admit *setup(size_t queue_max)
{
	struct admit_limits l = admit_limits_default;
	struct admit *a;

	rand_source = g_rand_new_with_seed(3);
	l.floor_work = CAPACITY;
	l.target_work = CAPACITY;
	l.queue_max = queue_max;
	a = admit_new(&l, random_of(rand_source));
	admit_take_over(a, 1, 0, 0, 1);
	return a;
}

static void teardown(struct admit *a)
{
	admit_free(a);
	g_rand_free(rand_source);
}

static struct admit_ask ask_of(uint64_t ticket, uint32_t org, int priority,
			       int64_t work)
{
	return (struct admit_ask){
		.target = 1,
		.ticket = ticket,
		.organisation = org,
		.weight = 1,
		.priority = priority,
		.work = work,
		.deadline_ms = 100000,
		.wait_until_ms = 100000,
	};
}

static struct decision ask(struct admit *a, struct admit_ask q, int64_t now_ms)
{
	struct decision d;

	admit_ask(a, &q, now_ms, &d);
	return d;
}

static void test_order(void)
{
	struct admit *a = setup(8);
	static const uint64_t want[] = {4, 2, 3, 5};
	struct decision d;

	g_assert_cmpint(ask(a, ask_of(1, 0, 0, CAPACITY), 0).verdict, ==,
			VERDICT_ADMIT);
	ask(a, ask_of(2, 1, 5, 1000), 1);
	ask(a, ask_of(3, 2, 5, 1000), 1);
	ask(a, ask_of(4, 2, 9, 1000), 1);
	ask(a, ask_of(5, 1, 0, 1000), 1);
	g_assert_false(admit_poll(a, 2, &d));
	admit_done(a, 1, 0, CAPACITY, 3);
	/* 4 by priority, 2 as its organisation has less by then. */
	for (int i = 0; i < 4; i++) {
		g_assert_true(admit_poll(a, 3, &d));
		g_assert_cmpint(d.verdict, ==, VERDICT_ADMIT);
		g_assert_cmpuint(d.ticket, ==, want[i]);
	}
	g_assert_false(admit_poll(a, 3, &d));
	teardown(a);
}

/* Given up at the last time at which the deadline could be met, not later. */
static void test_deadline(void)
{
	struct admit *a = setup(8);
	struct admit_ask q = ask_of(2, 0, 0, 500);
	struct decision d;

	ask(a, ask_of(1, 0, 0, CAPACITY), 0);
	q.deadline_ms = 1000;
	q.run_ms = 400;
	g_assert_cmpint(ask(a, q, 10).verdict, ==, VERDICT_QUEUE);
	g_assert_cmpint(admit_next_ms(a), ==, 600);
	g_assert_false(admit_poll(a, 599, &d));
	g_assert_true(admit_poll(a, 600, &d));
	g_assert_cmpint(d.verdict, ==, VERDICT_REFUSE);
	g_assert_cmpint(d.refusal, ==, REFUSAL_DEADLINE);
	g_assert_cmpint(d.retry_at_ms, >, 600);
	/* One that could not end in time does not wait at all. */
	d = ask(a, q, 601);
	g_assert_cmpint(d.verdict, ==, VERDICT_REFUSE);
	g_assert_cmpint(d.refusal, ==, REFUSAL_DEADLINE);
	teardown(a);
}

static void test_full_and_cancel(void)
{
	struct admit *a = setup(2);
	struct decision d;

	ask(a, ask_of(1, 0, 0, CAPACITY), 0);
	ask(a, ask_of(2, 0, 1, 500), 0);
	ask(a, ask_of(3, 0, 2, 500), 0);
	d = ask(a, ask_of(4, 0, 1, 500), 0);
	g_assert_cmpint(d.refusal, ==, REFUSAL_QUEUE_FULL);
	g_assert_cmpint(ask(a, ask_of(5, 1, 0, 500), 0).verdict, ==,
			VERDICT_QUEUE);
	g_assert_true(admit_poll(a, 0, &d));
	g_assert_cmpuint(d.ticket, ==, 2);
	g_assert_cmpint(d.refusal, ==, REFUSAL_QUEUE_FULL);
	g_assert_true(admit_cancel(a, 3));
	g_assert_false(admit_cancel(a, 3));
	admit_give_up(a, 1);
	g_assert_true(admit_poll(a, 0, &d));
	g_assert_cmpuint(d.ticket, ==, 5);
	g_assert_cmpint(d.refusal, ==, REFUSAL_TARGET_GONE);
	g_assert_false(admit_poll(a, 0, &d));
	teardown(a);
}

/* Requests in progress; each ends after 5 to 15 s. */
struct run {
	uint32_t organisation;
	int64_t end_ms;
};

static void begin(GArray *runs, uint32_t organisation, int64_t now_ms)
{
	struct run x = {organisation,
			now_ms + g_rand_int_range(rand_source, 5000, 15000)};

	g_array_append_val(runs, x);
}

static void end_some(struct admit *a, GArray *runs, int64_t now_ms)
{
	for (guint i = 0; i < runs->len;) {
		struct run x = g_array_index(runs, struct run, i);

		if (x.end_ms > now_ms) {
			i++;
			continue;
		}
		admit_done(a, 1, x.organisation, 100, now_ms);
		g_array_remove_index_fast(runs, i);
	}
}

/*
 * Two organisations surge to 20 times their third; the one that asks for 60%
 * of its own, so that it never passes it for long, is served whole, and the
 * rest is lent out.
 */
static void test_surge(void)
{
	static const int64_t every_ms[] = {500, 15, 15};
	struct admit *a = setup(32);
	GArray *runs = g_array_new(FALSE, FALSE, sizeof(struct run));
	unsigned asked[3] = {0}, served[3] = {0};
	struct decision d;

	for (int64_t now = 0; now < 62000; now++) {
		end_some(a, runs, now);
		for (uint32_t o = 0; o < (now < 20000 ? 1 : 3); o++) {
			struct admit_ask q = ask_of(o, o, 0, 100);

			if (now >= 60000 || now % every_ms[o] != 0)
				continue;
			q.wait_until_ms = now + 2000;
			asked[o]++;
			if (ask(a, q, now).verdict == VERDICT_ADMIT) {
				served[o]++;
				begin(runs, o, now);
			}
		}
		while (admit_poll(a, now, &d)) {
			if (d.verdict != VERDICT_ADMIT)
				continue;
			served[d.ticket]++;
			begin(runs, (uint32_t)d.ticket, now);
		}
	}
	g_assert_cmpuint(asked[0], ==, 120);
	g_assert_cmpuint(served[0], ==, asked[0]);
	g_assert_cmpuint(served[1] + served[2], >, 250);
	g_assert_cmpuint(served[1] + served[2], <, asked[1]);
	g_array_unref(runs);
	teardown(a);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/queue/order", test_order);
	g_test_add_func("/route/queue/deadline", test_deadline);
	g_test_add_func("/route/queue/full-and-cancel", test_full_and_cancel);
	g_test_add_func("/route/queue/surge", test_surge);
	return g_test_run();
}
