/* The steps of callers, nodes and target, and the check of the history. */
#include "state/test-calls.h"

#define PROCS         3
#define SENDS_MAX     6
#define SCHEDULE_MS   120000
#define RESEND_MAX_MS 4000

struct calls *calls_new(struct fake *f)
{
	struct calls *c = g_new0(struct calls, 1);

	c->fake = f;
	c->work_ms = 20;
	c->runs = g_array_new(FALSE, FALSE, sizeof(struct target_run));
	c->sends = g_ptr_array_new();
	return c;
}

void calls_free(struct calls *c)
{
	for (guint i = 0; i < c->sends->len; i++) {
		struct send *s = g_ptr_array_index(c->sends, i);

		claim_free(s->claim);
		g_free(s->id);
		g_free(s);
	}
	g_ptr_array_unref(c->sends);
	g_array_unref(c->runs);
	g_free(c);
}

static int64_t wall_clock_ms(void *arg)
{
	struct send *s = arg;

	return fake_clock(s->calls->fake, s->proc);
}

static void set_reply(struct send *s, enum reply reply)
{
	s->reply = reply;
}

static void on_ended(void *arg)
{
	static const enum reply replies[] = {
		[CLAIM_ENDED_COMPLETE] = REPLY_COMPLETE,
		[CLAIM_ENDED_UNKNOWN] = REPLY_UNKNOWN,
		[CLAIM_ENDED_NOT_RUN] = REPLY_NOT_RUN,
	};
	struct send *s = arg;

	set_reply(s, replies[s->outcome]);
}

static void end_claim(struct send *s, enum claim_outcome outcome)
{
	struct claim_answer a = {200, NULL, STR_LIT("ok"), true};

	s->outcome = outcome;
	claim_end(s->claim, outcome, &a, on_ended, s);
}

static void on_answer(void *arg)
{
	end_claim(arg, CLAIM_ENDED_COMPLETE);
}

static void on_lost(void *arg)
{
	end_claim(arg, CLAIM_ENDED_UNKNOWN);
}

static void on_refused(void *arg)
{
	end_claim(arg, CLAIM_ENDED_NOT_RUN);
}

/* Run at the target, also if the node is paused or dead by now. */
static void run_at_target(void *arg)
{
	static fake_fn *const handlers[] = {
		[TARGET_ANSWERS] = on_answer,
		[TARGET_LOSES_ANSWER] = on_lost,
		[TARGET_REFUSES] = on_refused,
	};
	struct send *s = arg;
	struct calls *c = s->calls;
	struct target_run r = {s->attempt, c->fake->now_ms};

	if (c->target != TARGET_REFUSES)
		g_array_append_val(c->runs, r);
	fake_schedule(c->fake, s->proc, c->work_ms, handlers[c->target], s);
}

static void dispatch(void *arg)
{
	struct send *s = arg;

	if (wall_clock_ms(s) >= s->latest_ms)
		end_claim(s, CLAIM_ENDED_NOT_RUN);
	else
		fake_schedule(s->calls->fake, -1, 1, run_at_target, s);
}

static void on_verdict(const struct claim_result *r, void *arg)
{
	static const enum reply replies[] = {
		[CLAIM_COMPLETED] = REPLY_COMPLETE,
		[CLAIM_IN_PROGRESS] = REPLY_IN_PROGRESS,
		[CLAIM_OUTCOME_UNKNOWN] = REPLY_UNKNOWN,
		[CLAIM_RELEASED] = REPLY_NOT_RUN,
		[CLAIM_KEY_REUSED] = REPLY_UNKNOWN,
		[CLAIM_STORE_UNAVAILABLE] = REPLY_NO_STORE,
	};
	struct send *s = arg;

	if (r->verdict == CLAIM_GRANTED || s->calls->naive)
		fake_schedule(s->calls->fake, s->proc, 0, dispatch, s);
	else
		set_reply(s, replies[r->verdict]);
}

static void arrive(void *arg)
{
	struct send *s = arg;
	struct claim_request q = {.name = "key",
				  .call = s->id,
				  .request = "body",
				  .attempt = s->attempt,
				  .latest_ms = s->latest_ms};

	s->arrived_ms = s->calls->fake->now_ms;
	s->claim = claim_begin(&s->calls->fake->procs[s->proc].plat, &q,
			       wall_clock_ms, s, on_verdict, s);
}

struct send *calls_send(struct calls *c, int proc, int64_t attempt,
			int64_t latest_ms)
{
	struct send *s = g_new0(struct send, 1);

	s->calls = c;
	s->proc = proc;
	s->attempt = attempt;
	s->latest_ms = latest_ms;
	s->id = g_strdup_printf("call-%d", c->next_id++);
	g_ptr_array_add(c->sends, s);
	fake_platform(c->fake, proc);
	fake_schedule(c->fake, proc, 1, arrive, s);
	return s;
}

/*
 * The answer "not run" is true if no attempt ran before the request arrived,
 * and if this attempt and earlier ones never ran.
 */
static bool is_false_not_run(const struct calls *c, const struct send *s)
{
	for (guint i = 0; s->reply == REPLY_NOT_RUN && i < c->runs->len; i++) {
		const struct target_run *r =
			&g_array_index(c->runs, struct target_run, i);

		if (r->attempt <= s->attempt || r->at_ms < s->arrived_ms)
			return true;
	}
	return false;
}

void calls_check(const struct calls *c, struct call_totals *v)
{
	v->double_runs += c->runs->len > 1;
	for (guint i = 0; i < c->sends->len; i++) {
		const struct send *s = g_ptr_array_index(c->sends, i);

		v->replies[s->reply]++;
		v->sends++;
		v->false_not_run += is_false_not_run(c, s);
		v->false_complete +=
			s->reply == REPLY_COMPLETE && !c->runs->len;
	}
}

/* A caller that repeats a call until it is complete, or SENDS_MAX times. */
struct caller {
	struct calls *calls;
	struct send *last;
	int64_t attempt;
	int sends;
};

static bool chance(struct fake *f, double p)
{
	return g_rand_double(f->rand) < p;
}

static void send_next(void *arg)
{
	struct caller *k = arg;
	struct fake *f = k->calls->fake;
	enum reply reply = k->last ? k->last->reply : REPLY_NONE;
	int64_t resend_ms = g_rand_int_range(f->rand, 10, RESEND_MAX_MS);

	if (reply == REPLY_COMPLETE || k->sends++ == SENDS_MAX)
		return;
	if (reply == REPLY_NOT_RUN) {
		if (chance(f, 0.4))
			return;
		k->attempt++;
	}
	k->calls->target =
		(enum target_behaviour)g_rand_int_range(f->rand, 0, 3);
	k->last = calls_send(k->calls, g_rand_int_range(f->rand, 0, PROCS),
			     k->attempt,
			     f->now_ms + g_rand_int_range(f->rand, 500, 8000));
	fake_schedule(f, -1, resend_ms, send_next, k);
}

static void draw_faults(struct fake *f)
{
	f->faults.lose_answer = chance(f, 0.5) ? 0.2 : 0;
	f->faults.lose_request = chance(f, 0.5) ? 0.2 : 0;
	f->faults.late_effect = chance(f, 0.5) ? 0.2 : 0;
	f->faults.refuse = chance(f, 0.3) ? 0.2 : 0;
	f->faults.stale = chance(f, 0.5) ? 0.5 : 0;
	f->faults.stale_revisions = 4;
	f->faults.delay_max_ms = chance(f, 0.2) ? 1500 : 10;
	if (chance(f, 0.3)) {
		f->faults.down_from_ms =
			f->now_ms + g_rand_int_range(f->rand, 0, 3000);
		f->faults.down_until_ms =
			f->now_ms + g_rand_int_range(f->rand, 3000, 6000);
	}
	for (int p = 0; p < PROCS; p++) {
		struct fake_proc *pr = &f->procs[p];

		pr->clock_offset_ms = g_rand_int_range(
			f->rand, -CLOCK_SKEW_MAX_MS / 2, CLOCK_SKEW_MAX_MS / 2);
		pr->kill_at_step =
			chance(f, 0.2) ? g_rand_int_range(f->rand, 1, 9) : 0;
		pr->pause_at_step =
			chance(f, 0.5) ? g_rand_int_range(f->rand, 1, 9) : 0;
		pr->pause_ms = g_rand_int_range(f->rand, 100, 20000);
	}
}

void calls_schedule(uint32_t seed, bool naive, struct call_totals *v)
{
	struct fake *f = fake_new(seed);
	struct calls *c = calls_new(f);
	struct caller callers[2] = {{.calls = c}, {.calls = c}};

	c->naive = naive;
	draw_faults(f);
	fake_schedule(f, -1, 0, send_next, &callers[0]);
	if (chance(f, 0.5))
		fake_schedule(f, -1, g_rand_int_range(f->rand, 0, 50),
			      send_next, &callers[1]);
	fake_run(f, f->now_ms + SCHEDULE_MS);
	calls_check(c, v);
	calls_free(c);
	fake_free(f);
}
