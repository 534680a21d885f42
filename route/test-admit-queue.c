/* The queue at a target: order, expiry, displacement, fair shares. */
#include "route/test-random.h"

#define CAPACITY 10000

static GRand *test_rand;

static struct admit *setup(size_t queue_max)
{
	struct admit_limits l = admit_limits_default;
	struct admit *a;

	test_rand = g_rand_new_with_seed(3);
	l.min_bound = CAPACITY;
	l.max_target_work = CAPACITY;
	l.queue_max = queue_max;
	a = admit_new(&l, random_of(test_rand));
	admit_take_over(a, 1, 0, 0, 1);
	return a;
}

static void teardown(struct admit *a)
{
	admit_free(a);
	g_rand_free(test_rand);
}

static struct admit_request make_request(uint64_t ticket, uint32_t org,
					 int priority, int64_t work)
{
	return (struct admit_request){
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

static struct decision submit(struct admit *a, struct admit_request q,
			      int64_t now_ms)
{
	struct decision d;

	admit_request(a, &q, now_ms, &d);
	return d;
}

/* The order of the queue: priority first, or the organisation served less. */
static void test_order(void)
{
	struct admit *a = setup(8);
	static const uint64_t expected[] = {4, 2, 3, 5};
	struct decision d;

	g_assert_cmpint(submit(a, make_request(1, 0, 0, CAPACITY), 0).verdict,
			==, VERDICT_ADMIT);
	submit(a, make_request(2, 1, 5, 1000), 1);
	submit(a, make_request(3, 2, 5, 1000), 1);
	submit(a, make_request(4, 2, 9, 1000), 1);
	submit(a, make_request(5, 1, 0, 1000), 1);
	g_assert_false(admit_poll(a, 2, &d));
	admit_done(a, 1, 0, CAPACITY, 3);
	/* 4 by priority, then 2: its organisation has been served less. */
	for (int i = 0; i < 4; i++) {
		g_assert_true(admit_poll(a, 3, &d));
		g_assert_cmpint(d.verdict, ==, VERDICT_ADMIT);
		g_assert_cmpuint(d.ticket, ==, expected[i]);
	}
	g_assert_false(admit_poll(a, 3, &d));
	teardown(a);
}

/*
 * A queued request expires at the last moment at which it could still meet its
 * deadline.
 */
static void test_deadline(void)
{
	struct admit *a = setup(8);
	struct admit_request q = make_request(2, 0, 0, 500);
	struct decision d;

	submit(a, make_request(1, 0, 0, CAPACITY), 0);
	q.deadline_ms = 1000;
	q.run_ms = 400;
	g_assert_cmpint(submit(a, q, 10).verdict, ==, VERDICT_QUEUE);
	g_assert_cmpint(admit_next_poll_ms(a), ==, 600);
	g_assert_false(admit_poll(a, 599, &d));
	g_assert_true(admit_poll(a, 600, &d));
	g_assert_cmpint(d.verdict, ==, VERDICT_REFUSE);
	g_assert_cmpint(d.refusal, ==, REFUSAL_DEADLINE);
	g_assert_cmpint(d.retry_at_ms, >, 600);
	/* A request that can not meet its deadline is not queued. */
	d = submit(a, q, 601);
	g_assert_cmpint(d.verdict, ==, VERDICT_REFUSE);
	g_assert_cmpint(d.refusal, ==, REFUSAL_DEADLINE);
	teardown(a);
}

/*
 * In a full queue the organisation with the most queued work loses a request. A
 * queued request can be cancelled once. Giving up the target refuses the rest.
 */
static void test_full_and_cancel(void)
{
	struct admit *a = setup(2);
	struct decision d;

	submit(a, make_request(1, 0, 0, CAPACITY), 0);
	submit(a, make_request(2, 0, 1, 500), 0);
	submit(a, make_request(3, 0, 2, 500), 0);
	d = submit(a, make_request(4, 0, 1, 500), 0);
	g_assert_cmpint(d.refusal, ==, REFUSAL_QUEUE_FULL);
	g_assert_cmpint(submit(a, make_request(5, 1, 0, 500), 0).verdict, ==,
			VERDICT_QUEUE);
	g_assert_true(admit_poll(a, 0, &d));
	g_assert_cmpuint(d.ticket, ==, 2);
	g_assert_cmpint(d.refusal, ==, REFUSAL_QUEUE_FULL);
	g_assert_true(admit_cancel(a, 3));
	g_assert_false(admit_cancel(a, 3));
	admit_hand_over(a, 1);
	g_assert_true(admit_poll(a, 0, &d));
	g_assert_cmpuint(d.ticket, ==, 5);
	g_assert_cmpint(d.refusal, ==, REFUSAL_TARGET_UNAVAILABLE);
	g_assert_false(admit_poll(a, 0, &d));
	teardown(a);
}

/* A request in progress; it ends after 5 to 15 s. */
struct running {
	uint32_t organisation;
	int64_t end_ms;
};

static void begin(GArray *running, uint32_t organisation, int64_t now_ms)
{
	struct running new = {organisation,
			      now_ms +
				      g_rand_int_range(test_rand, 5000, 15000)};

	g_array_append_val(running, new);
}

static void end_due(struct admit *a, GArray *running, int64_t now_ms)
{
	for (guint i = 0; i < running->len;) {
		struct running done = g_array_index(running, struct running, i);

		if (done.end_ms > now_ms) {
			i++;
			continue;
		}
		admit_done(a, 1, done.organisation, 100, now_ms);
		g_array_remove_index_fast(running, i);
	}
}

/*
 * Two of three organisations surge to 20 times their third of the target. The
 * third asks for 60% of its own, so that it never exceeds it for long: all its
 * requests are served, and what it leaves is lent to the others.
 */
static void test_surge(void)
{
	static const int64_t every_ms[] = {500, 15, 15};
	struct admit *a = setup(32);
	GArray *running = g_array_new(FALSE, FALSE, sizeof(struct running));
	unsigned submitted[3] = {0}, served[3] = {0};
	struct decision d;

	for (int64_t now = 0; now < 62000; now++) {
		end_due(a, running, now);
		for (uint32_t org = 0; org < (now < 20000 ? 1 : 3); org++) {
			struct admit_request q = make_request(org, org, 0, 100);

			if (now >= 60000 || now % every_ms[org] != 0)
				continue;
			q.wait_until_ms = now + 2000;
			submitted[org]++;
			if (submit(a, q, now).verdict == VERDICT_ADMIT) {
				served[org]++;
				begin(running, org, now);
			}
		}
		while (admit_poll(a, now, &d)) {
			if (d.verdict != VERDICT_ADMIT)
				continue;
			served[d.ticket]++;
			begin(running, (uint32_t)d.ticket, now);
		}
	}
	g_assert_cmpuint(submitted[0], ==, 120);
	g_assert_cmpuint(served[0], ==, submitted[0]);
	g_assert_cmpuint(served[1] + served[2], >, 250);
	g_assert_cmpuint(served[1] + served[2], <, submitted[1]);
	g_array_unref(running);
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
