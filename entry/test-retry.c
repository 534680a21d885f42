/*
 * Retries of an exchange. The functions of other files that retry.c calls are
 * replaced here, as a real clock can't be stopped between two checks.
 */
#include "entry/exchange.h"
#include "entry/tunnel.h"

static int64_t time_left_ms[8]; /* one for each look at the clock */
static size_t looks;
static int attempts_begun;
static bool version_served = true;
static bool is_suspect;

int64_t exchange_time_left_ms(const struct exchange *x)
{
	(void)x;
	g_assert_cmpuint(looks, <, G_N_ELEMENTS(time_left_ms));
	return time_left_ms[looks++];
}

void exchange_attempt(struct exchange *x)
{
	x->attempts++;
	attempts_begun++;
}

void exchange_abandon_attempt(struct exchange *x)
{
	x->target = NULL;
}

void reach_check_start(struct target *t, const struct cause_keys *suspect)
{
	(void)t;
	(void)suspect;
}

bool exchange_is_suspect(const struct exchange *x)
{
	(void)x;
	return is_suspect;
}

int exchange_priority(const struct exchange *x)
{
	(void)x;
	return 0;
}

size_t caller_unsent_bytes(const struct caller *c)
{
	(void)c;
	return 0;
}

void pool_record_error(struct target *t)
{
	t->consecutive_faults++;
}

void pool_record_fault(struct target *t)
{
	t->consecutive_faults++;
}

int64_t pool_newest_begun_ms(const struct target *t, int priority)
{
	(void)t;
	(void)priority;
	return 0;
}

bool pool_serves_version(struct traffic *tr, const struct entry_service *s,
			 uint64_t version)
{
	(void)tr;
	(void)s;
	(void)version;
	return version_served;
}

bool exchange_is_begun(const struct exchange *x)
{
	(void)x;
	return true;
}

bool exchange_wait_begun(struct exchange *x, bool for_retry)
{
	(void)x;
	(void)for_retry;
	return false;
}

void begun_queue_serve(struct begun_queue *q)
{
	(void)q;
}

struct retry_window *pool_retry_window(struct traffic *tr, struct str service)
{
	static struct retry_window w;

	(void)tr;
	(void)service;
	w.window_ms = 1000;
	w.allowance = 100;
	return &w;
}

/*
 * The deadline comes so close while a retry is being decided that a second look
 * would refuse it. A retry that was decided begins: an attempt that ends
 * without a successor would leave the caller without an answer.
 */
static void test_deadline_between_checks(void)
{
	struct entry_service service = {0};
	struct route_rule route = {.retry = RETRY_RESUME, .runs_max = 2};
	struct target target = {0};
	struct traffic tr = {0};
	struct exchange x = {
		.tr = &tr,
		.route = &route,
		.service = &service,
		.target = &target,
		.attempts = 1,
	};

	looks = 0;
	attempts_begun = 0;
	for (size_t i = 0; i < G_N_ELEMENTS(time_left_ms); i++)
		time_left_ms[i] = i ? ATTEMPT_MIN_MS - 1 : ATTEMPT_MIN_MS;
	g_assert_true(exchange_retry_if_stalled(&x));
	g_assert_cmpint(attempts_begun, ==, 1);
	g_assert_cmpint(x.possible_runs, ==, 1);
}

/* Without time for another attempt the one in progress goes on. */
static void test_no_time_left(void)
{
	struct route_rule route = {.retry = RETRY_RESUME, .runs_max = 2};
	struct target target = {0};
	struct exchange x = {.route = &route, .target = &target, .attempts = 1};

	looks = 0;
	attempts_begun = 0;
	time_left_ms[0] = ATTEMPT_MIN_MS - 1;
	g_assert_false(exchange_retry_if_stalled(&x));
	g_assert_cmpint(attempts_begun, ==, 0);
	g_assert_true(x.target == &target);
}

/* A stalled stream is given up though no target of its version is left. */
static void test_version_not_served(void)
{
	struct entry_service service = {0};
	struct route_rule route = {.retry = RETRY_RESUME, .runs_max = 2};
	struct target target = {0};
	struct exchange x = {.route = &route,
			     .service = &service,
			     .target = &target,
			     .attempts = 1,
			     .version = 1};

	looks = 0;
	attempts_begun = 0;
	time_left_ms[0] = 1000;
	version_served = false;
	g_assert_false(exchange_retry_if_stalled(&x));
	version_served = true;
	g_assert_cmpint(attempts_begun, ==, 0);
	g_assert_true(x.target == &target);
}

/* A request under which targets have crashed is sent to one more. */
static void test_suspect_not_repeated(void)
{
	struct entry_service service = {0};
	struct route_rule route = {.retry = RETRY_IDEMPOTENT, .runs_max = 3};
	struct exchange x = {
		.route = &route, .service = &service, .attempts = 1};

	attempts_begun = 0;
	for (size_t i = 0; i < G_N_ELEMENTS(time_left_ms); i++)
		time_left_ms[i] = 10 * ATTEMPT_MIN_MS;
	is_suspect = true;
	looks = 0;
	g_assert_false(exchange_may_retry(&x, 1));
	/* One that has not run is no danger. */
	g_assert_true(exchange_may_retry(&x, 0));
	is_suspect = false;
	g_assert_true(exchange_may_retry(&x, 1));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_set_level("error");
	g_test_add_func("/entry/retry/deadline-between-checks",
			test_deadline_between_checks);
	g_test_add_func("/entry/retry/no-time-left", test_no_time_left);
	g_test_add_func("/entry/retry/suspect-not-repeated",
			test_suspect_not_repeated);
	g_test_add_func("/entry/retry/version-not-served",
			test_version_not_served);
	return g_test_run();
}
