#include <http_parser.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "entry/exchange.h"

/* Largest answer that is held until it is whole; a longer one fails. */
#define ANSWER_MAX (8 << 20)
/* A target answers its own deadline itself; ours is this much later. */
#define DEADLINE_SLACK_MS 60
/* Pauses that make a stream go on elsewhere, in parts of its longest one. */
#define STALL_GAPS   3
#define STALL_MIN_MS 1000
/* When a caller may come back after a refusal, with a random part on top. */
#define RETRY_MIN_MS    100
#define RETRY_SPREAD_MS 200

static bool is_event_stream(const struct exchange *x)
{
	return x->route && x->route->stream;
}

void exchange_drop_link(struct exchange *x)
{
	if (x->link)
		link_close(x->link);
	x->link = NULL;
	x->answer = NULL;
	if (x->target)
		pool_running(x->target, -1);
	x->target = NULL;
	buf_drop(&x->held, buf_len(&x->held));
}

static void destroy(struct exchange *x)
{
	exchange_drop_link(x);
	ev_timer_stop(x->tr->loop, &x->timer);
	cutter_clear(&x->cut);
	buf_clear(&x->held);
	entry_config_unref(x->config);
	x->tr->exchanges--;
	metric_set(M_REQUESTS_RUNNING, x->tr->exchanges);
	talloc_free(x->rq);
	talloc_free(x->arena);
}

static void log_end(const struct exchange *x, int status, const char *how)
{
	int64_t now = time_boot_ms();
	int64_t fresh = atomic_load(&x->tr->e->fresh_ms);

	metric_observe(M_REQUEST_MS, now - x->arrived_ms);
	log_event(EV_REQUEST_ENDED,
		  "request=" STR_FMT " route=" STR_FMT
		  " prompt=%x shared=%d target=" STR_FMT " source=" STR_FMT
		  " status=%d how=%s ms=%d sends=%d runs=%d events=%d "
		  "cause=%s config=%d config_age_ms=%d",
		  STR_ARG(x->id),
		  STR_ARG(x->route ? x->route->name : STR_LIT("-")),
		  (unsigned)x->prompt.parts[0], (int)x->prompt.shared_tokens,
		  STR_ARG(x->last_target), STR_ARG(x->last_source), status, how,
		  (int)(now - x->arrived_ms), x->sends, x->runs,
		  (int)x->cut.events, x->cause ? x->cause : "-",
		  x->config ? (int)x->config->version : 0,
		  fresh ? (int)(now - fresh) : -1);
}

static bool keeps(const struct exchange *x)
{
	return !x->tr->leaving_ms;
}

static void finish(struct exchange *x, bool keep)
{
	struct caller *c = x->c;

	destroy(x);
	caller_done(c, keep);
}

static int64_t retry_after(const struct exchange *x)
{
	return RETRY_MIN_MS + g_rand_int_range(x->tr->rand, 0, RETRY_SPREAD_MS);
}

/* Answer with an error of our own and end. */
static void refuse(struct exchange *x, enum ramp_error kind)
{
	struct buf out = {0};
	int64_t back = error_answers[kind].retry ? retry_after(x) : 0;

	log_end(x, error_answers[kind].http_status, error_answers[kind].name);
	metric_add(error_answers[kind].outcome == OUTCOME_NOT_RUN
			   ? M_ANSWERS_NOT_RUN_TOTAL
			   : M_ANSWERS_UNKNOWN_TOTAL,
		   1);
	if (x->given) {
		/* The answer has begun and can't be completed. */
		struct caller *c = x->c;

		destroy(x);
		caller_abort(c);
		return;
	}
	own_refuse(&out, x->tr, x->arena, kind, back, keeps(x));
	caller_write(x->c, buf_at(&out), buf_len(&out));
	buf_clear(&out);
	finish(x, keeps(x));
}

void exchange_cancel(struct exchange *x)
{
	log_end(x, 0, "caller_left");
	destroy(x);
}

/* Copy the head of a target's answer, but for its framing. */
static void add_head(struct exchange *x, struct buf *out)
{
	const struct message *m = x->answer;

	buf_fmt(out, "HTTP/1.1 %d %s\r\n", m->status,
		http_status_str((enum http_status)m->status));
	for (size_t i = 0; i < m->header_count; i++) {
		const struct header *h = &m->headers[i];

		if (header_is_hop(m, h->name) ||
		    str_same(h->name, STR_LIT("Content-Length")))
			continue;
		buf_header(out, h->name, h->value);
	}
	if (!keeps(x))
		buf_fmt(out, "Connection: close\r\n");
}

static bool is_head_request(const struct exchange *x)
{
	return str_eq(x->rq->method, STR_LIT("HEAD"));
}

/* The answer is whole: give it on. */
static void give_whole(struct exchange *x)
{
	struct buf out = {0};
	int status = x->answer->status;

	add_head(x, &out);
	if (is_head_request(x)) {
		struct str n =
			message_header(x->answer, STR_LIT("Content-Length"));

		if (n.len)
			buf_fmt(&out, "Content-Length: " STR_FMT "\r\n",
				STR_ARG(n));
	} else if (status != 204 && status != 304) {
		buf_fmt(&out, "Content-Length: %zu\r\n", buf_len(&x->held));
	}
	buf_add(&out, "\r\n", 2);
	if (!is_head_request(x))
		buf_add(&out, buf_at(&x->held), buf_len(&x->held));
	log_end(x, status, "answered");
	metric_add(M_ANSWERS_COMPLETE_TOTAL, 1);
	caller_write(x->c, buf_at(&out), buf_len(&out));
	buf_clear(&out);
	finish(x, keeps(x));
}

/* Silence of a stream after which it goes on elsewhere. */
static int64_t stall_ms(const struct exchange *x)
{
	return MAX(STALL_MIN_MS, STALL_GAPS * x->route->gap_ms);
}

/* Look at the exchange when the next of its deadlines has come. */
static void set_timer(struct exchange *x)
{
	int64_t at = x->deadline_ms + DEADLINE_SLACK_MS;

	if (x->stall_at_ms)
		at = MIN(at, x->stall_at_ms);
	if (x->look_at_ms)
		at = MIN(at, x->look_at_ms);
	timer_in(x->tr->loop, &x->timer, at - time_boot_ms());
}

/* A whole event of a stream. */
static void give_event(void *ctx, const char *p, size_t n)
{
	struct exchange *x = ctx;
	struct buf out = {0};

	if (!x->given) {
		add_head(x, &out);
		buf_fmt(&out, "Transfer-Encoding: chunked\r\n\r\n");
		x->given = true;
		metric_observe(M_FIRST_EVENT_MS,
			       time_boot_ms() - x->arrived_ms);
	}
	/* The timer looks at this only when the time before it is over. */
	if (x->route->repeat == REPEAT_REST) {
		bool first = !x->stall_at_ms;

		x->stall_at_ms = time_boot_ms() + stall_ms(x);
		if (first)
			set_timer(x);
	}
	buf_fmt(&out, "%zx\r\n", n);
	buf_add(&out, p, n);
	buf_add(&out, "\r\n", 2);
	caller_write(x->c, buf_at(&out), buf_len(&out));
	buf_clear(&out);
}

void exchange_drained(struct exchange *x)
{
	if (x->link && caller_unsent(x->c) < UNSENT_MAX)
		link_pause(x->link, false);
}

int64_t exchange_left_ms(const struct exchange *x)
{
	return x->deadline_ms - time_boot_ms();
}

/* Nothing can be repeated: say what is known. */
static void give_up(struct exchange *x)
{
	if (x->runs)
		refuse(x, exchange_left_ms(x) < DEADLINE_LEAST_MS
				  ? RAMP_ERR_TIMED_OUT
				  : RAMP_ERR_OUTCOME_UNKNOWN);
	else
		refuse(x, RAMP_ERR_OVERLOADED);
}

static void on_fault(void *ctx, enum link_fault f, bool answered)
{
	static const char *const causes[] = {
		"connection_refused", "connection_broken", "answer_malformed"};
	struct exchange *x = ctx;
	bool arrived = f != LINK_REFUSED;

	(void)answered;
	x->cause = causes[f];
	/* A kept connection that breaks may just have been closed as idle. */
	if (f == LINK_REFUSED || !x->reused)
		pool_note_fault(x->target);
	else
		pool_note(x->target, false);
	x->target->broke = true;
	if (!exchange_go_on(x, arrived, arrived))
		give_up(x);
}

/* An answer by which the target says that it has not run the request. */
static bool says_not_run(const struct exchange *x)
{
	return x->answer->status == 421 ||
	       message_header(x->answer, x->tr->d->not_run).data;
}

/* Whether the target's answer may be given to the caller as it is. */
static bool is_sound(const struct exchange *x)
{
	const struct message *m = x->answer;

	if (message_header(m, STR_LIT("Content-Encoding")).len)
		return false;
	if (m->status / 100 == 2)
		return message_header(m, x->tr->d->signature).len > 0;
	/* To callers these say "not run", which the target did not. */
	return m->status != 408 && m->status != 429 && m->status != 503 &&
	       m->status >= 300;
}

static bool on_head(void *ctx, struct message *m)
{
	struct exchange *x = ctx;
	struct str echo = message_header(m, x->tr->d->request_id);

	x->target->heard_ms = time_boot_ms();
	x->target->broke = false;
	x->other_answer = echo.len && !str_eq(echo, x->id);
	if (x->other_answer) {
		metric_add(M_ANSWERS_CROSSED_TOTAL, 1);
		log_event(EV_ANSWER_CROSSED,
			  "request=" STR_FMT " target=" STR_FMT
			  " answer_of=" STR_FMT,
			  STR_ARG(x->id), STR_ARG(x->target->info.name),
			  STR_ARG(echo));
		return true;
	}
	x->answer = m;
	x->look_at_ms = 0;
	pool_note_begun(x->target, exchange_priority(x), x->sent_ms);
	pool_note_load(x->target, message_header(m, x->tr->d->load));
	x->streaming = is_event_stream(x) && m->status == 200 && echo.len &&
		       is_sound(x);
	if (x->streaming && x->service->model)
		holds_note(x->tr->e->holds, &x->prompt, x->target->info.id);
	return true;
}

static bool on_body(void *ctx, const char *p, size_t n)
{
	struct exchange *x = ctx;

	if (x->other_answer)
		return true;
	if (x->streaming) {
		struct link *l = x->link;

		x->target->heard_ms = time_boot_ms();
		if (!cutter_feed(&x->cut, p, n, give_event, x)) {
			on_fault(x, LINK_MALFORMED, true);
			return false;
		}
		if (caller_unsent(x->c) > UNSENT_MAX)
			link_pause(l, true);
		return true;
	}
	if (buf_len(&x->held) + n > ANSWER_MAX) {
		on_fault(x, LINK_MALFORMED, true);
		return false;
	}
	buf_add(&x->held, p, n);
	return true;
}

static void end_stream(struct exchange *x)
{
	/* Half an event at the end is a stream that was cut. */
	if (buf_len(&x->cut.held) || !x->cut.events) {
		x->cause = "stream_cut";
		pool_note(x->target, false);
		if (!exchange_go_on(x, true, true))
			give_up(x);
		return;
	}
	pool_note(x->target, true);
	log_end(x, 200, "answered");
	metric_add(M_ANSWERS_COMPLETE_TOTAL, 1);
	caller_write(x->c, "0\r\n\r\n", 5);
	finish(x, keeps(x));
}

/* The link can carry another request, or is closed. */
static void release_link(struct exchange *x, bool reusable)
{
	if (reusable)
		pool_keep(x->target, x->link);
	else
		link_close(x->link);
	x->link = NULL;
}

static void end_whole(struct exchange *x)
{
	int status = x->answer->status;

	if (says_not_run(x)) {
		x->cause = "target_not_run";
		if (!exchange_go_on(x, false, true))
			give_up(x);
		return;
	}
	pool_note(x->target, status < 500);
	if (status >= 500 || x->given || !is_sound(x)) {
		/* Behind the events given on, no other head may follow. */
		bool sound = is_sound(x) && !x->given;
		bool late = status == 504;

		x->cause = sound ? "target_failed" : "answer_unsound";
		/* The answer is lost by trying again, so look first. */
		if (!late && exchange_may_go_on(x, x->runs + 1) &&
		    exchange_pay(x)) {
			exchange_go_on(x, true, false);
			return;
		}
		if (!sound) {
			x->runs++;
			give_up(x);
			return;
		}
	}
	give_whole(x);
}

static void on_end(void *ctx, bool reusable)
{
	struct exchange *x = ctx;

	if (x->other_answer) {
		/* The one that was asked for comes behind it, or nothing. */
		if (!reusable)
			on_fault(x, LINK_BROKEN, true);
		return;
	}
	release_link(x, reusable);
	if (x->streaming)
		end_stream(x);
	else
		end_whole(x);
}

static const struct link_ops link_ops = {on_head, on_body, on_end, on_fault};

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct exchange *x = w->data;
	int64_t now = time_boot_ms();

	(void)loop;
	(void)events;
	if (now >= x->deadline_ms + DEADLINE_SLACK_MS) {
		x->cause = "deadline";
		if (x->link && link_connected(x->link))
			x->runs++;
		exchange_drop_link(x);
		refuse(x, x->runs ? RAMP_ERR_TIMED_OUT : RAMP_ERR_OVERLOADED);
		return;
	}
	if (x->stall_at_ms && now >= x->stall_at_ms) {
		x->stall_at_ms = now + stall_ms(x);
		if (exchange_leave_stalled(x))
			return;
	}
	if (x->look_at_ms && now >= x->look_at_ms &&
	    exchange_look_at_wait(x, now))
		return;
	set_timer(x);
}

void exchange_attempt(struct exchange *x)
{
	struct target *source;
	struct target *t = pool_choose(x->tr, x->service, &x->prompt, x->tried,
				       (size_t)x->sends, &source);

	if (!t) {
		x->cause = "no_target";
		if (x->runs)
			give_up(x);
		else
			refuse(x, RAMP_ERR_NO_TARGET);
		return;
	}
	x->target = t;
	x->last_target = str_dup(x->arena, t->info.name);
	x->last_source = source ? str_dup(x->arena, source->info.name)
				: (struct str)STR_LIT("-");
	pool_running(t, 1);
	x->tried[x->sends++] = t->info.id;
	x->link = pool_link(t, &x->reused);
	if (!x->link) {
		x->cause = "no_descriptor";
		if (!exchange_go_on(x, false, false))
			give_up(x);
		return;
	}
	link_use(x->link, &link_ops, x);
	link_no_body(x->link, is_head_request(x));
	/* On a new connection the bytes leave once it is open. */
	exchange_send(x, source);
	x->sent_ms = time_boot_ms();
	x->patience_ms =
		wait_patience_ms(x->route->aim_ms, x->deadline_ms - x->sent_ms);
	x->look_at_ms = x->sent_ms + x->patience_ms;
	x->silent = false;
	set_timer(x);
}

struct exchange *exchange_new(struct caller *c, struct message *m,
			      struct str body, int64_t arrived_ms)
{
	struct traffic *tr = caller_traffic(c);
	struct exchange *x = talloc_zero(NULL, struct exchange);

	x->arena = x;
	x->c = c;
	x->tr = tr;
	x->rq = m;
	x->body = body;
	x->arrived_ms = arrived_ms;
	x->config = tr->config ? entry_config_ref(tr->config) : NULL;
	x->id = message_header(m, tr->d->request_id);
	x->last_target = (struct str)STR_LIT("-");
	x->last_source = x->last_target;
	x->cut.number = -1;
	ev_init(&x->timer, on_timer);
	x->timer.data = x;
	tr->exchanges++;
	metric_add(M_REQUESTS_TOTAL, 1);
	metric_set(M_REQUESTS_RUNNING, tr->exchanges);
	return x;
}

void exchange_start(struct exchange *x)
{
	enum ramp_error e = exchange_bind(x);

	if (e != RAMP_OK) {
		refuse(x, e);
		return;
	}
	retry_window_first(pool_retries(x->tr, x->service->name),
			   time_boot_ms());
	exchange_attempt(x);
}
