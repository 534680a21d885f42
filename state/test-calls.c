#include "state/test-calls.h"

#define PROCS        3
#define SENDS_MAX    6
#define SCHEDULE_MS  120000
#define PATIENCE_MAX 4000

struct calls *calls_new(struct fake *f)
{
	struct calls *c = g_new0(struct calls, 1);

	c->fake = f;
	c->work_ms = 20;
	c->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
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

static int64_t clock_of(void *arg)
{
	struct send *s = arg;

	return fake_clock(s->calls->fake, s->proc);
}

static void tell(struct send *s, enum told t)
{
	s->told = t;
}

static void on_ended(void *arg)
{
	static const enum told of[] = {
		[CLAIM_ENDED_DONE] = TOLD_COMPLETE,
		[CLAIM_ENDED_UNKNOWN] = TOLD_UNKNOWN,
		[CLAIM_ENDED_NOT_RUN] = TOLD_NOT_RUN,
	};
	struct send *s = arg;

	tell(s, of[s->how]);
}

static void end(struct send *s, enum claim_end how)
{
	struct claim_answer a = {200, NULL, STR_LIT("ok"), true};

	s->how = how;
	claim_end(s->claim, how, &a, on_ended, s);
}

static void on_answer(void *arg)
{
	end(arg, CLAIM_ENDED_DONE);
}

static void on_lost(void *arg)
{
	end(arg, CLAIM_ENDED_UNKNOWN);
}

static void on_busy(void *arg)
{
	end(arg, CLAIM_ENDED_NOT_RUN);
}

/* The target takes the request, whatever becomes of the node. */
static void on_target(void *arg)
{
	static fake_fn *const then[] = {
		[TARGET_ANSWERS] = on_answer,
		[TARGET_LOSES] = on_lost,
		[TARGET_BUSY] = on_busy,
	};
	struct send *s = arg;
	struct calls *c = s->calls;
	struct run r = {s->attempt, c->fake->now_ms};

	if (c->target != TARGET_BUSY)
		g_array_append_val(c->runs, r);
	fake_after(c->fake, s->proc, c->work_ms, then[c->target], s);
}

static void dispatch(void *arg)
{
	struct send *s = arg;

	if (clock_of(s) >= s->latest_ms)
		end(s, CLAIM_ENDED_NOT_RUN);
	else
		fake_after(s->calls->fake, -1, 1, on_target, s);
}

static void on_verdict(const struct claim_result *r, void *arg)
{
	static const enum told of[] = {
		[CLAIM_STORED] = TOLD_COMPLETE,
		[CLAIM_RUNNING] = TOLD_RUNNING,
		[CLAIM_UNKNOWN] = TOLD_UNKNOWN,
		[CLAIM_RELEASED] = TOLD_NOT_RUN,
		[CLAIM_MISMATCH] = TOLD_UNKNOWN,
		[CLAIM_NO_STORE] = TOLD_NO_STORE,
	};
	struct send *s = arg;

	if (r->verdict == CLAIM_RUN || s->calls->naive)
		fake_after(s->calls->fake, s->proc, 0, dispatch, s);
	else
		tell(s, of[r->verdict]);
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
			       clock_of, s, on_verdict, s);
}

struct send *calls_send(struct calls *c, int proc, int64_t attempt,
			int64_t latest_ms)
{
	struct send *s = g_new0(struct send, 1);

	s->calls = c;
	s->proc = proc;
	s->attempt = attempt;
	s->latest_ms = latest_ms;
	s->id = g_strdup_printf("call-%d", c->serial++);
	g_ptr_array_add(c->sends, s);
	fake_platform(c->fake, proc);
	fake_after(c->fake, proc, 1, arrive, s);
	return s;
}

/*
 * "not run" says that nothing had run when the send arrived, and that no send
 * of that attempt or an earlier one will ever run.
 */
static bool is_false_not_run(const struct calls *c, const struct send *s)
{
	for (guint i = 0; s->told == TOLD_NOT_RUN && i < c->runs->len; i++) {
		const struct run *r = &g_array_index(c->runs, struct run, i);

		if (r->attempt <= s->attempt || r->at_ms < s->arrived_ms)
			return true;
	}
	return false;
}

void calls_check(const struct calls *c, struct verdicts *v)
{
	v->double_runs += c->runs->len > 1;
	for (guint i = 0; i < c->sends->len; i++) {
		const struct send *s = g_ptr_array_index(c->sends, i);

		v->told[s->told]++;
		v->sends++;
		v->false_not_run += is_false_not_run(c, s);
		v->false_complete += s->told == TOLD_COMPLETE && !c->runs->len;
	}
}

/* A caller who repeats the call until it is told a final outcome. */
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

static void go_on(void *arg)
{
	struct caller *k = arg;
	struct fake *f = k->calls->fake;
	enum told t = k->last ? k->last->told : TOLD_NOTHING;
	int64_t patience = g_rand_int_range(f->rand, 10, PATIENCE_MAX);

	if (t == TOLD_COMPLETE || k->sends++ == SENDS_MAX)
		return;
	if (t == TOLD_NOT_RUN) {
		if (chance(f, 0.4))
			return;
		k->attempt++;
	}
	k->calls->target = (enum target_does)g_rand_int_range(f->rand, 0, 3);
	k->last = calls_send(k->calls, g_rand_int_range(f->rand, 0, PROCS),
			     k->attempt,
			     f->now_ms + g_rand_int_range(f->rand, 500, 8000));
	fake_after(f, -1, patience, go_on, k);
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
		pr->kill_at =
			chance(f, 0.2) ? g_rand_int_range(f->rand, 1, 9) : 0;
		pr->pause_at =
			chance(f, 0.5) ? g_rand_int_range(f->rand, 1, 9) : 0;
		pr->pause_ms = g_rand_int_range(f->rand, 100, 20000);
	}
}

void calls_schedule(uint32_t seed, bool naive, struct verdicts *v)
{
	struct fake *f = fake_new(seed);
	struct calls *c = calls_new(f);
	struct caller callers[2] = {{.calls = c}, {.calls = c}};

	c->naive = naive;
	draw_faults(f);
	fake_after(f, -1, 0, go_on, &callers[0]);
	if (chance(f, 0.5))
		fake_after(f, -1, g_rand_int_range(f->rand, 0, 50), go_on,
			   &callers[1]);
	fake_run(f, f->now_ms + SCHEDULE_MS);
	calls_check(c, v);
	calls_free(c);
	fake_free(f);
}
