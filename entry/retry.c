/*
 * Decides whether a failed, stalled or unanswered attempt is retried at another
 * target, and starts the retry.
 */
#include "entry/exchange.h"
#include "entry/tunnel.h"

bool exchange_may_retry(const struct exchange *x, int possible_runs)
{
	if (x->attempts >= ATTEMPTS_MAX ||
	    exchange_time_left_ms(x) < ATTEMPT_MIN_MS)
		return false;
	if (!possible_runs)
		return true;
	if (possible_runs >= x->route->runs_max ||
	    x->route->retry == RETRY_NEVER || exchange_is_suspect(x))
		return false;
	/* A stream that has begun can resume only after a numbered event. */
	return !x->head_sent || (x->route->retry == RETRY_RESUME &&
				 x->splitter.last_number >= 0);
}

bool exchange_take_retry(struct exchange *x)
{
	if (!exchange_is_begun(x))
		begun_queue_serve(x->tr->begun);
	x->retry_taken =
		retry_window_take(pool_retry_window(x->tr, x->service->name),
				  time_boot_ms(), &x->retry_room);
	return x->retry_taken;
}

void exchange_settle_retry(struct exchange *x)
{
	if (!x->retry_pending)
		return;
	x->retry_pending = false;
	retry_window_settle(pool_retry_window(x->tr, x->service->name),
			    time_boot_ms());
}

/* End the attempt, which the target may have run if ran. */
static void end_attempt(struct exchange *x, bool ran)
{
	exchange_abandon_attempt(x);
	sse_splitter_restart(&x->splitter);
	x->streaming = false;
	x->foreign_response = false;
	x->foreign_seen = false;
	if (ran)
		x->possible_runs++;
}

/* The retry that was taken belongs to the next attempt from now on. */
static void begin_pending(struct exchange *x)
{
	x->retry_pending = x->retry_taken;
	x->retry_taken = false;
}

void exchange_begin_retry(struct exchange *x, bool ran)
{
	begin_pending(x);
	metric_add(M_RETRIES_TOTAL, 1);
	log_event(
		EV_REQUEST_REPEATED,
		"request=" STR_FMT " target=" STR_FMT " version=" STR_FMT
		" cause=%s ran=%d sends=%d after=%d began=%d whole=%x parts=%s"
		" %s %s",
		STR_ARG(x->request_id), STR_ARG(x->last_target_name),
		STR_ARG(x->last_target_version), x->failure_cause, ran,
		x->attempts, (int)x->splitter.last_number,
		x->first_event_ms != 0, (unsigned)x->whole,
		prompt_parts_text(x->arena, x->parts), exchange_budget_text(x),
		exchange_basis_text(x));
	exchange_attempt(x);
}

void exchange_replace_attempt(struct exchange *x)
{
	end_attempt(x, true);
	exchange_begin_retry(x, true);
}

bool exchange_retry(struct exchange *x, bool ran, bool charge)
{
	/* An attempt that reached no target leaves what it took to the next. */
	if (!charge && x->retry_pending) {
		x->retry_pending = false;
		x->retry_taken = true;
	}
	end_attempt(x, ran);
	if (!exchange_may_retry(x, x->possible_runs)) {
		begin_pending(x);
		exchange_settle_retry(x);
		return false;
	}
	if (charge && !exchange_take_retry(x)) {
		if (exchange_wait_begun(x, true))
			return true;
		x->failure_cause = "no_retry_budget";
		return false;
	}
	exchange_begin_retry(x, ran);
	return true;
}

/*
 * Replace an attempt that the target may still be running by one at another
 * target, if the route and the retry budget allow it; else keep waiting.
 * Returns whether it was replaced.
 */
static bool replace_attempt(struct exchange *x, const char *cause)
{
	/* A target that is late is better than none. */
	if (!exchange_may_retry(x, x->possible_runs + 1) ||
	    !pool_serves_version(x->tr, x->service,
				 exchange_target_version(x)) ||
	    !exchange_take_retry(x))
		return false;
	x->failure_cause = cause;
	x->target->last_failed = true;
	exchange_replace_attempt(x);
	return true;
}

bool exchange_retry_if_stalled(struct exchange *x)
{
	struct target *t = x->target;

	if (x->caller_is_slow || !replace_attempt(x, "stream_stalled"))
		return false;
	pool_record_error(t);
	return true;
}

bool exchange_check_target(struct exchange *x, int64_t now)
{
	struct stall_state state = {
		.sent_ms = x->sent_ms,
		.last_received_ms = x->target->last_received_ms,
		.newest_begun_sent_ms =
			pool_newest_begun_ms(x->target, exchange_priority(x)),
		.stall_after_ms = x->head_timeout_ms,
	};
	struct target *t = x->target;

	x->head_check_at_ms = now + x->head_timeout_ms / 2;
	switch (stall_status(&state, now)) {
	case STALL_NONE:
		return false;
	case STALL_TARGET_SILENT:
		/*
		 * A single lost request is possible, so silence counts as one
		 * fault for each attempt; two in a row eject the target.
		 */
		if (!x->silence_counted) {
			pool_record_fault(t);
			reach_check_start(t, NULL);
		}
		x->silence_counted = true;
		return replace_attempt(x, "target_silent");
	case STALL_REQUEST_OVERTAKEN:
		if (!replace_attempt(x, "overtaken"))
			return false;
		pool_record_error(t);
		return true;
	}
	return false;
}
