/* Whether, when and how a request goes on at another target. */
#include "entry/exchange.h"

bool exchange_may_go_on(const struct exchange *x, int runs)
{
	if (x->sends >= SENDS_MAX || exchange_left_ms(x) < DEADLINE_LEAST_MS)
		return false;
	if (!runs)
		return true;
	if (runs >= x->route->runs_max || x->route->repeat == REPEAT_NEVER)
		return false;
	return !x->given ||
	       (x->route->repeat == REPEAT_REST && x->cut.number >= 0);
}

bool exchange_pay(const struct exchange *x)
{
	return retry_window_take(pool_retries(x->tr, x->service->name),
				 time_boot_ms());
}

bool exchange_go_on(struct exchange *x, bool ran, bool arrived)
{
	exchange_drop_link(x);
	cutter_break(&x->cut);
	x->streaming = false;
	x->other_answer = false;
	if (ran)
		x->runs++;
	if (!exchange_may_go_on(x, x->runs))
		return false;
	if (arrived && !exchange_pay(x)) {
		x->cause = "no_retry_budget";
		return false;
	}
	metric_add(M_RETRIES_TOTAL, 1);
	log_event(EV_REQUEST_REPEATED,
		  "request=" STR_FMT " target=" STR_FMT
		  " cause=%s ran=%d sends=%d after=%d",
		  STR_ARG(x->id), STR_ARG(x->last_target), x->cause, ran,
		  x->sends, (int)x->cut.number);
	exchange_attempt(x);
	return true;
}

/*
 * Leave an attempt that may still be at work: go on elsewhere if that is
 * allowed and paid for, else keep waiting. Returns true when it was left.
 */
static bool leave_attempt(struct exchange *x, const char *cause)
{
	if (!exchange_may_go_on(x, x->runs + 1) || !exchange_pay(x))
		return false;
	x->cause = cause;
	x->target->broke = true;
	exchange_go_on(x, true, false);
	return true;
}

bool exchange_leave_stalled(struct exchange *x)
{
	struct target *t = x->target;

	/* It is the caller that is slow. */
	if (caller_unsent(x->c) > UNSENT_MAX ||
	    !leave_attempt(x, "stream_stalled"))
		return false;
	pool_note_error(t);
	return true;
}

bool exchange_look_at_wait(struct exchange *x, int64_t now)
{
	struct wait_state w = {
		.sent_ms = x->sent_ms,
		.heard_ms = x->target->heard_ms,
		.begun_ms = pool_begun_ms(x->target, exchange_priority(x)),
		.patience_ms = x->patience_ms,
	};
	struct target *t = x->target;

	x->look_at_ms = now + x->patience_ms / 2;
	switch (wait_sign(&w, now)) {
	case WAIT_BUSY:
		return false;
	case WAIT_SILENT:
		/* One request may have been lost; two are a sign. */
		if (!x->silent)
			pool_note_fault(t);
		x->silent = true;
		return leave_attempt(x, "target_silent");
	case WAIT_OVERTAKEN:
		if (!leave_attempt(x, "overtaken"))
			return false;
		pool_note_error(t);
		return true;
	}
	return false;
}
