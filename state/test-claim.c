/*
 * Claims: single faults at each step of a call and a repeat after it, seeded
 * schedules with several callers, and stored answers.
 */
#include <string.h>

#include "state/test-calls.h"

#define SCHEDULES 2000

/* Faults of the store, during the first request unless stated. */
enum fault {
	FAULT_NONE,
	FAULT_ANSWER_LOST,   /* the claim is written, the answer lost */
	FAULT_REQUEST_LOST,  /* the claim is not written, no answer */
	FAULT_LATE_EFFECT,   /* the claim is written after a timeout */
	FAULT_DOWN,          /* during both requests */
	FAULT_STALE,         /* reads of the second request */
	FAULT_DOWN_AT_END,   /* down before the outcome is stored */
	FAULT_DOWN_AT_FIRST, /* down during the first request only */
};

struct claim_case {
	const char *name;
	enum fault fault;
	enum target_behaviour target;
	int64_t kill_at_step, pause_at_step, pause_ms; /* of the first node */
	int64_t second_ms, second_attempt; /* of the repeat, after the first */
	enum reply first, second;          /* answers */
	guint runs;
};

/* A node's steps: request arrives, claim written, dispatch, answer, stored. */
static const struct claim_case cases[] = {
	{"repeat through another node", FAULT_NONE, TARGET_ANSWERS, 0, 0, 0,
	 500, 0, REPLY_COMPLETE, REPLY_COMPLETE, 1},
	{"two nodes at once", FAULT_NONE, TARGET_ANSWERS, 0, 0, 0, 0, 0,
	 REPLY_COMPLETE, REPLY_IN_PROGRESS, 1},
	{"dies before the claim", FAULT_NONE, TARGET_ANSWERS, 1, 0, 0, 500, 0,
	 REPLY_NONE, REPLY_COMPLETE, 1},
	{"dies as the claim is written", FAULT_NONE, TARGET_ANSWERS, 2, 0, 0,
	 500, 0, REPLY_NONE, REPLY_IN_PROGRESS, 0},
	{"dies between claim and dispatch", FAULT_NONE, TARGET_ANSWERS, 3, 0, 0,
	 6000, 0, REPLY_NONE, REPLY_UNKNOWN, 0},
	{"dies after dispatch", FAULT_NONE, TARGET_ANSWERS, 4, 0, 0, 500, 0,
	 REPLY_NONE, REPLY_IN_PROGRESS, 1},
	{"dies after dispatch, late repeat", FAULT_NONE, TARGET_ANSWERS, 4, 0,
	 0, 6000, 0, REPLY_NONE, REPLY_UNKNOWN, 1},
	{"dies before it answers", FAULT_NONE, TARGET_ANSWERS, 5, 0, 0, 500, 0,
	 REPLY_NONE, REPLY_COMPLETE, 1},
	{"claim's answer lost", FAULT_ANSWER_LOST, TARGET_ANSWERS, 0, 0, 0,
	 1000, 0, REPLY_COMPLETE, REPLY_IN_PROGRESS, 1},
	{"claim lost", FAULT_REQUEST_LOST, TARGET_ANSWERS, 0, 0, 0, 1000, 0,
	 REPLY_COMPLETE, REPLY_COMPLETE, 1},
	{"claim written late", FAULT_LATE_EFFECT, TARGET_ANSWERS, 0, 0, 0, 1000,
	 0, REPLY_COMPLETE, REPLY_COMPLETE, 1},
	{"paused before dispatch, resumes in time", FAULT_NONE, TARGET_ANSWERS,
	 0, 3, 1000, 500, 0, REPLY_COMPLETE, REPLY_IN_PROGRESS, 1},
	{"paused before dispatch, resumes late", FAULT_NONE, TARGET_ANSWERS, 0,
	 3, 9000, 6000, 0, REPLY_NOT_RUN, REPLY_UNKNOWN, 0},
	{"paused before the claim", FAULT_NONE, TARGET_ANSWERS, 0, 1, 3000, 500,
	 0, REPLY_COMPLETE, REPLY_COMPLETE, 1},
	{"paused while the target works", FAULT_NONE, TARGET_ANSWERS, 0, 4,
	 9000, 6000, 0, REPLY_COMPLETE, REPLY_UNKNOWN, 1},
	{"store down", FAULT_DOWN, TARGET_ANSWERS, 0, 0, 0, 500, 0,
	 REPLY_NO_STORE, REPLY_NO_STORE, 0},
	{"store down for the first", FAULT_DOWN_AT_FIRST, TARGET_ANSWERS, 0, 0,
	 0, 1000, 0, REPLY_NO_STORE, REPLY_COMPLETE, 1},
	{"store down before the answer is stored", FAULT_DOWN_AT_END,
	 TARGET_ANSWERS, 0, 0, 0, 6000, 0, REPLY_COMPLETE, REPLY_UNKNOWN, 1},
	{"stale read", FAULT_STALE, TARGET_ANSWERS, 0, 0, 0, 500, 0,
	 REPLY_COMPLETE, REPLY_NO_STORE, 1},
	{"target's answer lost", FAULT_NONE, TARGET_LOSES_ANSWER, 0, 0, 0, 500,
	 0, REPLY_UNKNOWN, REPLY_UNKNOWN, 1},
	{"target refuses, same attempt", FAULT_NONE, TARGET_REFUSES, 0, 0, 0,
	 500, 0, REPLY_NOT_RUN, REPLY_NOT_RUN, 0},
	{"target refuses, next attempt", FAULT_NONE, TARGET_REFUSES, 0, 0, 0,
	 500, 1, REPLY_NOT_RUN, REPLY_COMPLETE, 1},
};

struct simulation {
	struct fake *fake;
	struct calls *calls;
};

static void clear_faults(void *arg)
{
	struct simulation *w = arg;

	w->fake->faults.lose_answer = 0;
	w->fake->faults.lose_request = 0;
	w->fake->faults.late_effect = 0;
	w->calls->target = TARGET_ANSWERS;
}

static void set_stale(void *arg)
{
	struct simulation *w = arg;

	w->fake->faults.stale = 1;
	w->fake->faults.stale_revisions = 1000;
}

static void set_faults(struct simulation *w, const struct claim_case *r)
{
	struct fake_faults *f = &w->fake->faults;
	int64_t now = w->fake->now_ms;

	f->lose_answer = r->fault == FAULT_ANSWER_LOST;
	f->lose_request = r->fault == FAULT_REQUEST_LOST;
	f->late_effect = r->fault == FAULT_LATE_EFFECT;
	if (r->fault == FAULT_DOWN)
		f->down_until_ms = now + 600000;
	if (r->fault == FAULT_DOWN_AT_FIRST)
		f->down_until_ms = now + 500;
	if (r->fault == FAULT_DOWN_AT_END) {
		f->down_from_ms = now + 15;
		f->down_until_ms = now + 3000;
	}
	if (r->fault == FAULT_STALE)
		fake_schedule(w->fake, -1, 400, set_stale, w);
	fake_schedule(w->fake, -1, 400, clear_faults, w);
}

static void test_case(const struct claim_case *r)
{
	struct fake *f = fake_new(1);
	struct calls *c = calls_new(f);
	struct simulation w = {f, c};
	struct call_totals v = {0};
	int64_t start = f->now_ms;
	struct send *first, *second;

	c->target = r->target;
	f->procs[0].kill_at_step = r->kill_at_step;
	f->procs[0].pause_at_step = r->pause_at_step;
	f->procs[0].pause_ms = r->pause_ms;
	set_faults(&w, r);
	first = calls_send(c, 0, 0, start + 5000);
	fake_run(f, start + r->second_ms);
	second = calls_send(c, 1, r->second_attempt, f->now_ms + 5000);
	fake_run(f, start + 60000);
	calls_check(c, &v);
	if (first->reply != r->first || second->reply != r->second ||
	    c->runs->len != r->runs)
		g_test_message("%s: replies %d, %d; %u runs", r->name,
			       first->reply, second->reply, c->runs->len);
	g_assert_cmpint(first->reply, ==, r->first);
	g_assert_cmpint(second->reply, ==, r->second);
	g_assert_cmpuint(c->runs->len, ==, r->runs);
	g_assert_cmpint(v.false_not_run, ==, 0);
	calls_free(c);
	fake_free(f);
}

static void test_cases(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		test_case(&cases[i]);
}

static void test_schedules(void)
{
	struct call_totals v = {0};

	for (uint32_t seed = 1; seed <= SCHEDULES; seed++) {
		calls_schedule(seed, false, &v);
		if (v.double_runs || v.false_not_run || v.false_complete)
			g_test_message("seed %u", seed);
		g_assert_cmpint(v.double_runs, ==, 0);
		g_assert_cmpint(v.false_not_run, ==, 0);
		g_assert_cmpint(v.false_complete, ==, 0);
	}
	/* Each kind of answer must occur, or the checks prove little. */
	for (int t = 0; t < REPLY_COUNT; t++)
		g_assert_cmpint(v.replies[t], >, SCHEDULES / 100);
}

/* Without claims the same schedules give double runs and false answers. */
static void test_naive(void)
{
	struct call_totals v = {0};

	for (uint32_t seed = 1; seed <= SCHEDULES; seed++)
		calls_schedule(seed, true, &v);
	g_assert_cmpint(v.double_runs, >, 0);
	g_assert_cmpint(v.false_not_run, >, 0);
}

static struct claim_result last_result;

static void on_result(const struct claim_result *r, void *arg)
{
	last_result = *r;
	*(char **)arg = g_strndup(r->answer.body.data, r->answer.body.len);
}

static void on_end(void *arg)
{
	(void)arg;
}

static int64_t wall_clock_ms(void *ctx)
{
	return ((struct fake *)ctx)->now_ms;
}

static struct claim *begin(struct fake *f, const char *call,
			   const char *request, char **body)
{
	struct claim_request q = {.name = "key",
				  .call = call,
				  .request = request,
				  .latest_ms = f->now_ms + 5000};
	struct claim *c = claim_begin(fake_platform(f, 0), &q, wall_clock_ms, f,
				      on_result, body);

	fake_run(f, f->now_ms + 1000);
	return c;
}

static void check_repeat(struct fake *f, const struct claim_answer *a,
			 const char *want)
{
	char *body = NULL;
	struct claim *c = begin(f, "two", "request", &body);

	g_assert_cmpint(last_result.verdict, ==, CLAIM_COMPLETED);
	g_assert_cmpint(last_result.answer.status, ==, a->status);
	g_assert_true(last_result.answer.body_stored == (want != NULL));
	if (want)
		g_assert_cmpstr(body, ==, want);
	claim_free(c);
	g_free(body);
	c = begin(f, "three", "another request", &body);
	g_assert_cmpint(last_result.verdict, ==, CLAIM_KEY_REUSED);
	claim_free(c);
	g_free(body);
}

/* A repeat gets the stored answer, without a body that was too large. */
static void test_answer(void)
{
	for (size_t len = 3; len <= CLAIM_BODY_MAX_BYTES + 1;
	     len += CLAIM_BODY_MAX_BYTES) {
		struct fake *f = fake_new(1);
		char *big = g_strnfill(len, 'x');
		char *body = NULL;
		struct claim *c = begin(f, "one", "request", &body);
		struct claim_answer a = {418, "text/plain", {big, len}, true};

		g_assert_cmpint(last_result.verdict, ==, CLAIM_GRANTED);
		claim_end(c, CLAIM_ENDED_COMPLETE, &a, on_end, NULL);
		fake_run(f, f->now_ms + 1000);
		check_repeat(f, &a, len <= CLAIM_BODY_MAX_BYTES ? big : NULL);
		claim_free(c);
		g_free(body);
		g_free(big);
		fake_free(f);
	}
}

/* Names differ if only the bounds between organisation, service and key do. */
static void test_name(void)
{
	char *a = claim_name("o", "s", STR_LIT("k"));
	char *b = claim_name("os", "", STR_LIT("k"));
	char *c = claim_name("o", "s", STR_LIT("k"));

	g_assert_cmpstr(a, !=, b);
	g_assert_cmpstr(a, ==, c);
	g_free(a);
	g_free(b);
	g_free(c);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/state/claim/cases", test_cases);
	g_test_add_func("/state/claim/schedules", test_schedules);
	g_test_add_func("/state/claim/naive", test_naive);
	g_test_add_func("/state/claim/answer", test_answer);
	g_test_add_func("/state/claim/name", test_name);
	return g_test_run();
}
