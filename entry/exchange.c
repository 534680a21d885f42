/*
 * Runs one request of a caller: makes attempts at targets, gives the response
 * to the caller whole or event by event, and answers with an error when no
 * attempt can succeed.
 */
#include <http_parser.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "entry/brittle.h"
#include "entry/exchange.h"
#include "entry/held.h"
#include "entry/origins.h"
#include "entry/shed.h"
#include "entry/tunnel.h"

/* Largest response that is buffered until complete; a longer one fails. */
#define RESPONSE_MAX_BYTES (8 << 20)
/*
 * Share of the process's memory that responses may take until they are
 * complete.
 */
#define RESPONSE_MEMORY_SHARE 0.15
/* Responses of this size count for nothing in that, or have always room. */
#define MEDIUM_RESPONSE_BYTES (256 << 10)
#define SMALL_RESPONSE_BYTES  (64 << 10)
/*
 * Time past the deadline before the entry answers with an error: the target has
 * the same deadline, and its own error response should arrive first.
 */
#define DEADLINE_SLACK_MS 60
/*
 * A stream counts as stalled after this multiple of the route's longest pause,
 * but not before STALL_MIN_MS.
 */
#define STALL_GAP_FACTOR 3
#define STALL_MIN_MS     1000
/*
 * A target that crashes of a prompt does so within this time of the first
 * event, if it gives one at all.
 */
#define BEGUN_AFTER_MS 300
/* Retry-After of a refusal: the minimum plus a random part up to the spread. */
#define RETRY_AFTER_MIN_MS    100
#define RETRY_AFTER_SPREAD_MS 200

/* Whether the route's responses are event streams. */
static bool is_event_stream(const struct exchange *x)
{
	return x->route && x->route->stream;
}

size_t exchange_held_bytes(const struct exchange *x)
{
	return HELD_REQUEST_BYTES + x->request->text_size +
	       x->response_body.cap + x->splitter.partial.cap +
	       x->splitter.padding.cap +
	       (x->link ? link_held_bytes(x->link) : 0);
}

bool exchange_is_served(const struct exchange *x)
{
	return x->target || x->possible_runs || x->head_sent;
}

/* Return how much of the response may wait for the caller, in bytes. */
static size_t unsent_max(const struct exchange *x)
{
	return held_unsent_max(x->tr->settings->limits_memory_mb,
			       x->tr->held.bytes);
}

/* Whether the response takes more memory than there is. */
static bool is_out_of_memory(struct exchange *x)
{
	size_t bytes = x->response_body.cap + x->splitter.partial.cap;
	double max = RESPONSE_MEMORY_SHARE * MB_BYTES *
		     (double)x->tr->settings->limits_memory_mb;

	if (bytes <= SMALL_RESPONSE_BYTES)
		return false;
	if ((bytes <= MEDIUM_RESPONSE_BYTES ||
	     (double)x->tr->held_responses.bytes <= max) &&
	    caller_make_room(x->caller, 0))
		return false;
	metric_add(M_CALLER_MEMORY_REFUSALS_TOTAL, 1);
	return true;
}

void exchange_refuse_for_memory(struct exchange *x)
{
	x->failure_cause = "memory";
	exchange_reply_error(x, RAMP_ERR_OVERLOADED);
}

void exchange_abandon_attempt(struct exchange *x)
{
	if (x->link)
		link_close(x->link);
	exchange_settle_retry(x);
	x->link = NULL;
	x->response = NULL;
	x->head_check_at_ms = 0;
	if (x->target)
		pool_add_running(x->target, -1);
	x->target = NULL;
	x->caller_is_slow = false;
	buf_clear(&x->response_body);
}

static void destroy(struct exchange *x)
{
	exchange_abandon_attempt(x);
	exchange_leave_take_up(x);
	exchange_leave_list_wait(x);
	exchange_end_wait(x, "ended");
	ev_timer_stop(x->tr->loop, &x->timer);
	sse_splitter_clear(&x->splitter);
	buf_clear(&x->response_body);
	entry_config_unref(x->config);
	x->tr->exchanges--;
	account_add(&x->tr->held, -HELD_REQUEST_BYTES);
	metric_set(M_REQUESTS_RUNNING, x->tr->exchanges);
	talloc_free(x->request);
	talloc_free(x->arena);
}

/* Whether the caller may send another request on its connection. */
static bool keeps_alive(const struct exchange *x)
{
	return !x->tr->leaving_ms;
}

/* Free the exchange after its response was written. */
static void finish(struct exchange *x, bool keep)
{
	struct caller *c = x->caller;

	destroy(x);
	caller_exchange_done(c, keep);
}

int64_t exchange_retry_after_ms(const struct exchange *x, enum ramp_error kind,
				GRand *rand)
{
	int64_t now = time_boot_ms();
	int64_t rest_end_ms =
		x->service ? pool_rest_end_ms(x->tr, x->service, now) : 0;

	if (x->shed_retry_after_ms)
		return x->shed_retry_after_ms;
	if (x->wait.retry_at_ms)
		return MAX(RETRY_AFTER_MIN_MS, x->wait.retry_at_ms - now) +
		       g_rand_int_range(rand, 0, RETRY_AFTER_SPREAD_MS);
	/* None is served earlier. */
	if (kind == RAMP_ERR_PROMPT_BLOCKED || kind == RAMP_ERR_REQUEST_BLOCKED)
		return CAUSE_BLOCK_IDLE_MS;
	return MAX(RETRY_AFTER_MIN_MS, x->all_resting ? rest_end_ms - now : 0) +
	       g_rand_int_range(rand, 0, RETRY_AFTER_SPREAD_MS);
}

void exchange_reply_error(struct exchange *x, enum ramp_error kind)
{
	struct buf out = {0};
	int64_t wait_ms =
		error_responses[kind].retry
			? exchange_retry_after_ms(x, kind, x->tr->rand)
			: 0;

	exchange_log_end(x, error_responses[kind].http_status,
			 error_responses[kind].name);
	metric_add(error_responses[kind].outcome == OUTCOME_NOT_RUN
			   ? M_ANSWERS_NOT_RUN_TOTAL
			   : M_ANSWERS_UNKNOWN_TOTAL,
		   1);
	if (x->head_sent) {
		/* A stream that has begun can't become an error response. */
		struct caller *c = x->caller;

		destroy(x);
		caller_reset(c);
		return;
	}
	local_reply_error(&out, x->tr, x->arena, kind, wait_ms, keeps_alive(x));
	caller_write(x->caller, buf_data(&out), buf_len(&out));
	buf_clear(&out);
	finish(x, keeps_alive(x));
}

void exchange_cancel(struct exchange *x)
{
	exchange_log_end(x, 0, "caller_left");
	destroy(x);
}

/* Copy the head of the target's response without its framing headers. */
static void write_response_head(struct exchange *x, struct buf *out)
{
	const struct message *m = x->response;
	struct end_to_end headers;
	struct header h;

	buf_fmt(out, "HTTP/1.1 %d %s\r\n", m->status,
		http_status_str((enum http_status)m->status));
	end_to_end_begin(&headers, m);
	while (end_to_end_next(&headers, &h))
		if (!str_eq_nocase(h.name, STR_LIT("Content-Length")))
			buf_add_header(out, h.name, h.value);
	end_to_end_end(&headers);
	if (!keeps_alive(x))
		buf_fmt(out, "Connection: close\r\n");
}

static bool is_head_request(const struct exchange *x)
{
	return str_eq(x->request->method, STR_LIT("HEAD"));
}

/* Send the complete response to the caller and end the exchange. */
static void deliver_response(struct exchange *x)
{
	struct buf out = {0};
	int status = x->response->status;

	write_response_head(x, &out);
	if (is_head_request(x)) {
		struct str n =
			message_header(x->response, STR_LIT("Content-Length"));

		if (n.len)
			buf_fmt(&out, "Content-Length: " STR_FMT "\r\n",
				STR_ARG(n));
	} else if (status != 204 && status != 304) {
		buf_fmt(&out, "Content-Length: %zu\r\n",
			buf_len(&x->response_body));
	}
	buf_add(&out, "\r\n", 2);
	if (is_head_request(x))
		buf_clear(&x->response_body);
	exchange_log_end(x, status, "answered");
	metric_add(M_ANSWERS_COMPLETE_TOTAL, 1);
	caller_write_last(x->caller, &out, &x->response_body);
	buf_clear(&out);
	finish(x, keeps_alive(x));
}

/* Silence of a stream after which it is resumed at another target. */
static int64_t stall_timeout_ms(const struct exchange *x)
{
	return MAX(STALL_MIN_MS,
		   STALL_GAP_FACTOR * x->route->event_gap_target_ms);
}

void exchange_arm_timer(struct exchange *x)
{
	int64_t at = x->deadline_ms + DEADLINE_SLACK_MS;

	if (x->target && x->stall_deadline_ms)
		at = MIN(at, x->stall_deadline_ms);
	if (x->head_check_at_ms)
		at = MIN(at, x->head_check_at_ms);
	if (x->taking_up)
		at = MIN(at, x->take_up_deadline_ms);
	if (x->awaiting_list)
		at = MIN(at, x->list_wait_end_ms);
	timer_start_once(x->tr->loop, &x->timer, at - time_boot_ms());
}

/* The first event decides at which version the stream may go on. */
static void note_version(struct exchange *x)
{
	if (x->version)
		return;
	x->version = x->attempt_version;
	if (x->route->retry == RETRY_RESUME &&
	    origins_record(x->tr->e->origins, x->request_id, x->service->name,
			   x->version, time_boot_ms()))
		control_ask_origins(x->tr->e->control);
}

/* Keep the times at which the caller gets events, for the log. */
static void note_given(struct exchange *x, int64_t now_ms)
{
	if (!x->first_given_ms)
		x->first_given_ms = now_ms;
	else
		x->longest_gap_ms =
			MAX(x->longest_gap_ms, now_ms - x->last_given_ms);
	x->last_given_ms = now_ms;
}

/* Send the head of a stream, before its first event or its end. */
static void deliver_stream_head(struct exchange *x, struct buf *out)
{
	write_response_head(x, out);
	buf_fmt(out, "Transfer-Encoding: chunked\r\n\r\n");
	x->head_sent = true;
}

/* Send one complete event of a stream to the caller, as one chunk. */
static void deliver_event(void *ctx, const char *p, size_t n)
{
	struct exchange *x = ctx;
	struct buf out = {0};
	int64_t now = time_boot_ms();

	note_given(x, now);
	if (!x->begin_recorded) {
		if (!x->first_event_ms)
			x->first_event_ms = now;
		if (now - x->first_event_ms >= BEGUN_AFTER_MS)
			exchange_record_begin(x, x->first_event_ms);
	}
	if (!x->head_sent) {
		deliver_stream_head(x, &out);
		note_version(x);
		metric_observe(M_FIRST_EVENT_MS, now - x->arrived_ms);
	}
	/*
	 * The timer is not re-armed for every event: when it fires early,
	 * on_timer sees the later deadline and re-arms.
	 */
	if (x->route->retry == RETRY_RESUME) {
		bool first = !x->stall_deadline_ms;

		x->stall_deadline_ms = now + stall_timeout_ms(x);
		if (first)
			exchange_arm_timer(x);
	}
	buf_fmt(&out, "%zx\r\n", n);
	buf_add(&out, p, n);
	buf_add(&out, "\r\n", 2);
	caller_write(x->caller, buf_data(&out), buf_len(&out));
	buf_clear(&out);
}

void exchange_caller_drained(struct exchange *x)
{
	if (!x->caller_is_slow ||
	    caller_unsent_bytes(x->caller) > unsent_max(x))
		return;
	x->caller_is_slow = false;
	if (x->link)
		link_set_paused(x->link, false);
}

int64_t exchange_time_left_ms(const struct exchange *x)
{
	return x->deadline_ms - time_boot_ms();
}

void exchange_fail(struct exchange *x)
{
	if (x->possible_runs)
		exchange_reply_error(x,
				     exchange_time_left_ms(x) < ATTEMPT_MIN_MS
					     ? RAMP_ERR_TIMED_OUT
					     : RAMP_ERR_OUTCOME_UNKNOWN);
	else
		exchange_reply_error(x, RAMP_ERR_OVERLOADED);
}

/* Put a fault on the target, or on the node through which it was reached. */
static void record_link_fault(const struct exchange *x, enum link_fault f)
{
	if (f == LINK_NO_TUNNEL || (f == LINK_BROKEN && x->helper)) {
		reach_avoid_helper(x->tr, x->helper);
		ways_record_no_help(x->target);
		return;
	}
	/*
	 * A reused connection may break because the target closed it as idle,
	 * so that is not counted as a fault.
	 */
	if (f == LINK_NOT_CONNECTED || !x->link_reused)
		pool_record_fault(x->target);
	else
		pool_record_response(x->target, false);
	x->target->last_failed = true;
}

static void on_link_fault(void *ctx, enum link_fault f, bool response_started)
{
	static const char *const causes[] = {
		[LINK_NOT_CONNECTED] = "connection_refused",
		[LINK_BROKEN] = "connection_broken",
		[LINK_MALFORMED] = "answer_malformed",
		[LINK_NO_TUNNEL] = "no_tunnel"};
	struct exchange *x = ctx;
	bool may_have_run = f == LINK_BROKEN || f == LINK_MALFORMED;

	(void)response_started;
	x->failure_cause = causes[f];
	if (f == LINK_BROKEN && (x->helper || !ways_record_break(x->target)))
		exchange_record_break(x);
	if (f == LINK_NOT_CONNECTED && !x->helper)
		reach_check_start(x->target, NULL);
	record_link_fault(x, f);
	if (!exchange_retry(x, may_have_run, may_have_run))
		exchange_fail(x);
}

static bool on_head(void *ctx, struct message *m)
{
	struct exchange *x = ctx;

	x->target->last_received_ms = time_boot_ms();
	x->target->last_failed = false;
	if (!x->helper)
		ways_record_received(x->target);
	switch (response_owner(x, m)) {
	case OWNER_OTHER:
		/* Skipped; the response to this request may follow. */
		return true;
	case OWNER_UNKNOWN:
		on_link_fault(x, LINK_MALFORMED, true);
		return false;
	case OWNER_THIS:
		break;
	}
	exchange_settle_retry(x);
	x->response = m;
	x->head_check_at_ms = 0;
	pool_record_begun(x->target, exchange_priority(x), x->sent_ms);
	response_record_wishes(x);
	shed_record_begin(x);
	x->streaming = is_event_stream(x) && response_is_stream(x);
	if (x->streaming && x->service->model)
		holders_record(x->tr->e->holders, &x->prompt,
			       x->target->info.id);
	return true;
}

static bool on_body(void *ctx, const char *p, size_t n)
{
	struct exchange *x = ctx;

	if (x->foreign_response) {
		x->foreign_bytes += n;
		if (x->foreign_bytes <= RESPONSE_MAX_BYTES)
			return true;
		on_link_fault(x, LINK_MALFORMED, true);
		return false;
	}
	if (x->streaming) {
		struct link *l = x->link;

		x->target->last_received_ms = time_boot_ms();
		if (!sse_splitter_feed(&x->splitter, p, n, deliver_event, x)) {
			on_link_fault(x, LINK_MALFORMED, true);
			return false;
		}
		if (is_out_of_memory(x)) {
			on_link_fault(x, LINK_MALFORMED, true);
			return false;
		}
		if (caller_unsent_bytes(x->caller) > unsent_max(x)) {
			x->caller_is_slow = true;
			link_set_paused(l, true);
		}
		return true;
	}
	if (buf_len(&x->response_body) + n > RESPONSE_MAX_BYTES) {
		on_link_fault(x, LINK_MALFORMED, true);
		return false;
	}
	buf_add(&x->response_body, p, n);
	if (!is_out_of_memory(x))
		return true;
	on_link_fault(x, LINK_MALFORMED, true);
	return false;
}

/*
 * Send the end of a stream; one that is taken up after its last event has no
 * event before it.
 */
static void deliver_stream_end(struct exchange *x)
{
	struct buf out = {0};

	if (!x->head_sent)
		deliver_stream_head(x, &out);
	buf_add(&out, "0\r\n\r\n", 5);
	caller_write(x->caller, buf_data(&out), buf_len(&out));
	buf_clear(&out);
}

static void finish_stream(struct exchange *x)
{
	sse_splitter_end(&x->splitter, deliver_event, x);
	if (sse_splitter_is_cut(&x->splitter, x->response->until_close)) {
		x->failure_cause = "stream_cut";
		exchange_record_break(x);
		pool_record_response(x->target, false);
		if (!exchange_retry(x, true, true))
			exchange_fail(x);
		return;
	}
	pool_record_response(x->target, true);
	exchange_record_begin(x, x->first_event_ms ? x->first_event_ms
						   : time_boot_ms());
	shed_record_end(x);
	exchange_log_end(x, 200, "answered");
	metric_add(M_ANSWERS_COMPLETE_TOTAL, 1);
	deliver_stream_end(x);
	finish(x, keeps_alive(x));
}

/* Give the link back to the pool if it can carry another request. */
static void release_link(struct exchange *x, bool reusable)
{
	if (reusable)
		pool_release_link(x->target, x->link);
	else
		link_close(x->link);
	x->link = NULL;
}

/* The response that was buffered is complete. */
static void finish_response(struct exchange *x)
{
	int status = x->response->status;

	if (response_is_not_run(x)) {
		if (x->response->status == 503)
			pool_record_rejection(x->target);
		x->failure_cause = "target_not_run";
		if (!exchange_retry(x, false, true))
			exchange_fail(x);
		return;
	}
	pool_record_response(x->target, status < 500);
	if (status >= 500 || x->head_sent || !response_is_deliverable(x)) {
		/*
		 * Once the caller has got the head of a stream, no other
		 * response can be passed on.
		 */
		bool deliverable = response_is_deliverable(x) && !x->head_sent;
		bool timed_out = status == 504;

		x->failure_cause =
			deliverable ? "target_failed" : "answer_unsound";
		/* A retry discards this response, so check beforehand. */
		if (!timed_out && exchange_may_retry(x, x->possible_runs + 1) &&
		    exchange_take_retry(x)) {
			exchange_replace_attempt(x);
			return;
		}
		if (!deliverable) {
			x->possible_runs++;
			exchange_fail(x);
			return;
		}
	}
	if (status / 100 == 2) {
		exchange_record_begin(x, time_boot_ms());
		shed_record_end(x);
	}
	deliver_response(x);
}

static void on_end(void *ctx, bool reusable)
{
	struct exchange *x = ctx;

	if (x->foreign_response) {
		/* The response to this request may follow on the connection. */
		if (!reusable)
			on_link_fault(x, LINK_BROKEN, true);
		return;
	}
	/* Of a target that has mixed up responses, more may follow. */
	release_link(x, reusable && !x->foreign_seen);
	if (x->streaming)
		finish_stream(x);
	else
		finish_response(x);
}

static const struct link_ops link_ops = {on_head, on_body, on_end,
					 on_link_fault, exchange_may_send};

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct exchange *x = w->data;
	int64_t now = time_boot_ms();

	(void)loop;
	(void)events;
	if (now >= x->deadline_ms + DEADLINE_SLACK_MS) {
		x->failure_cause = "deadline";
		if (x->link && link_connected(x->link))
			x->possible_runs++;
		exchange_fail(x);
		return;
	}
	if (x->target && x->stall_deadline_ms && now >= x->stall_deadline_ms) {
		x->stall_deadline_ms = now + stall_timeout_ms(x);
		if (exchange_retry_if_stalled(x))
			return;
	}
	if (x->head_check_at_ms && now >= x->head_check_at_ms &&
	    exchange_check_target(x, now))
		return;
	if (x->taking_up && now >= x->take_up_deadline_ms) {
		exchange_take_up(x);
		return;
	}
	if (x->awaiting_list && now >= x->list_wait_end_ms) {
		exchange_end_list_wait(x);
		return;
	}
	exchange_arm_timer(x);
}

/*
 * Refuse the request if it, or a part of its prompt, crashes targets. Return
 * whether it was refused.
 */
static bool refuse_blocked(struct exchange *x)
{
	static const struct {
		const char *cause;
		enum ramp_error error;
		int metric;
	} refusals[] = {
		[CAUSE_PART] = {"prompt_blocked", RAMP_ERR_PROMPT_BLOCKED,
				M_PROMPT_REFUSALS_TOTAL},
		[CAUSE_REQUEST] = {"request_blocked", RAMP_ERR_REQUEST_BLOCKED,
				   M_REQUEST_REFUSALS_TOTAL},
	};
	enum cause_block block = exchange_crash_block(x);

	if (block == CAUSE_NONE)
		return false;
	metric_add(refusals[block].metric, 1);
	x->failure_cause = refusals[block].cause;
	if (x->possible_runs)
		exchange_fail(x);
	else
		exchange_reply_error(x, refusals[block].error);
	return true;
}

/* Whether an attempt of the request was sent to the target. */
static bool was_tried(const struct exchange *x, uint64_t target)
{
	for (int i = 0; i < x->attempts; i++)
		if (x->tried_targets[i] == target)
			return true;
	return false;
}

void exchange_attempt(struct exchange *x)
{
	struct target *source, *t;
	bool again;

	if (!exchange_is_wanted(x) || refuse_blocked(x) ||
	    exchange_await_list(x))
		return;
	begun_queue_serve(x->tr->begun);
	t = pool_choose_target(x->tr, x->service, &x->prompt,
			       exchange_target_version(x), x->tried_targets,
			       (size_t)x->attempts, exchange_rank(x), &source);
	if (!t && (exchange_await_version(x) || exchange_wait_begun(x, false)))
		return;
	if (!t) {
		x->failure_cause = "no_target";
		if (!pool_list_is_usable(x->tr, time_boot_ms())) {
			x->failure_cause = "targets_unconfirmed";
			metric_add(M_REFUSALS_TARGETS_UNCONFIRMED_TOTAL, 1);
		}
		x->all_resting = true;
		if (x->possible_runs)
			exchange_fail(x);
		else
			exchange_reply_error(x, RAMP_ERR_NO_TARGET);
		return;
	}
	if (x->wait.since_ms && x->stall_deadline_ms)
		x->stall_deadline_ms = time_boot_ms() + stall_timeout_ms(x);
	exchange_end_wait(x, "placed");
	x->target = t;
	x->attempt_version = t->version;
	x->last_target_name = str_dup(x->arena, t->info.name);
	x->last_target_version = str_dup(x->arena, t->info.version);
	x->last_source_name = source ? str_dup(x->arena, source->info.name)
				     : (struct str)STR_LIT("-");
	pool_add_running(t, 1);
	again = was_tried(x, t->info.id);
	x->tried_targets[x->attempts++] = t->info.id;
	x->link = pool_acquire_link(
		t, !exchange_may_retry(x, x->possible_runs + 1), again,
		&x->link_reused, &x->helper);
	exchange_note_send(x);
	if (!x->link) {
		x->failure_cause = "no_descriptor";
		if (!exchange_retry(x, false, false))
			exchange_fail(x);
		return;
	}
	link_set_account(x->link, &x->tr->held);
	link_expect_response(x->link, &link_ops, x);
	link_expect_no_body(x->link, is_head_request(x));
	/* On a new connection the bytes are sent once it is established. */
	exchange_forward(x, source);
	x->list_wait_end_ms = 0;
	x->sent_ms = time_boot_ms();
	x->first_event_ms = 0;
	x->begin_recorded = false;
	x->foreign_bytes = 0;
	x->head_timeout_ms = stall_timeout_for(x->route->latency_target_ms,
					       x->deadline_ms - x->sent_ms);
	x->head_check_at_ms = x->sent_ms + x->head_timeout_ms;
	x->silence_counted = false;
	exchange_arm_timer(x);
}

struct exchange *exchange_new(struct caller *c, struct message *m,
			      struct str body, int64_t arrived_ms)
{
	struct traffic *tr = caller_traffic(c);
	struct exchange *x = talloc_zero(NULL, struct exchange);

	x->arena = x;
	x->caller = c;
	x->tr = tr;
	x->request = m;
	x->body = body;
	x->arrived_ms = arrived_ms;
	x->config = tr->config ? entry_config_ref(tr->config) : NULL;
	x->request_id = message_header(m, tr->dialect->request_id);
	x->resumes = message_header(m, tr->dialect->resumes);
	x->last_target_name = (struct str)STR_LIT("-");
	x->last_target_version = x->last_target_name;
	x->last_source_name = x->last_target_name;
	x->splitter.last_number = -1;
	ev_init(&x->timer, on_timer);
	/* After a pause of this process a response may be there already. */
	ev_set_priority(&x->timer, EV_MINPRI);
	x->timer.data = x;
	tr->exchanges++;
	account_add(&tr->held, HELD_REQUEST_BYTES);
	buf_set_account(&x->response_body, &tr->held_responses);
	buf_set_account(&x->splitter.partial, &tr->held_responses);
	buf_set_account(&x->splitter.padding, &tr->held_responses);
	metric_add(M_REQUESTS_TOTAL, 1);
	metric_set(M_REQUESTS_RUNNING, tr->exchanges);
	return x;
}

void exchange_start(struct exchange *x)
{
	enum ramp_error e = exchange_resolve(x);

	if (e != RAMP_OK) {
		exchange_reply_error(x, e);
		return;
	}
	if (!exchange_await_list(x))
		exchange_begin(x);
}

void exchange_begin(struct exchange *x)
{
	x->begun = true;
	/* Requests that are refused here pay for no retries. */
	if (!exchange_is_take_up(x) && shed_refuse(x))
		return;
	retry_window_add_request(pool_retry_window(x->tr, x->service->name),
				 time_boot_ms());
	if (!exchange_is_take_up(x)) {
		exchange_attempt(x);
		return;
	}
	if (x->route->retry == RETRY_RESUME)
		sse_splitter_follow(
			&x->splitter,
			message_header(x->request, x->tr->dialect->last_event));
	exchange_take_up(x);
}
