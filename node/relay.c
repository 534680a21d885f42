/*
 * Streams the answer of one target event by event. Replaces connections that
 * stall or break, resumes the answer after the last event received, and reruns
 * the request on another target when the answer is lost. Runs on the thread of
 * the caller's connection.
 */
#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "node/node.h"

#define CONNECT_TIMEOUT_MS 500
#define RECONNECTS_MAX     4 /* in a row without progress */
#define RUNS_MAX           3 /* per request, each on another target */
#define READER_BYTES       8
/* A target that crashes of an answer does so this soon after its first event.
 */
#define BEGUN_AFTER_MS 300

struct relay {
	struct request *rq;
	const struct target *target;
	struct http_call *http_call;
	const struct forward_hop *hop; /* while it opens, or NULL */
	const char *headers[8];
	const char *reader_header; /* same on all connections of this relay */
	int64_t deliver_pos;       /* number of the next event to deliver */
	/*
	 * Number of the next event to receive. Behind deliver_pos while the
	 * answer of a rerun is compared with what was delivered.
	 */
	int64_t receive_pos;
	uint64_t delivered_hash; /* running hash of the events delivered */
	uint64_t received_hash;  /* running hash of the current run's events */
	size_t consumed; /* bytes of the last event; freed by the next call */
	unsigned reconnects;
	struct pace pace;
	const struct target *tried[RUNS_MAX]; /* may still be working */
	unsigned run_count;
	const struct target *began_at; /* gave the first event; NULL: none */
	int64_t first_event_ms;        /* of the run; 0: none */
	/* Start of the connection or of the wait, or the last event in it. */
	int64_t silent_since_ms;
	bool recorded;   /* that the run began, or that its target crashed */
	bool resuming;   /* the connection asked for the rest of an answer */
	bool responded;  /* valid headers have arrived on the connection */
	bool progressed; /* new event on the connection, or idle in a queue */
	bool not_run;    /* the target refused before any work began */
	bool diverged;   /* a rerun gave a different answer */
	bool ended;
};

static void set_headers(struct relay *rl)
{
	unsigned char raw[READER_BYTES];
	char hex[READER_BYTES * 2 + 1];
	struct request *rq = rl->rq;
	int n = 0;

	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(hex, sizeof(hex), raw, sizeof(raw));
	rl->reader_header = talloc_asprintf(rq->arena, "Reader: %s", hex);
	rl->headers[n++] = "Content-Type: application/json";
	rl->headers[n++] = talloc_asprintf(rq->arena, "Request-Id: " STR_FMT,
					   STR_ARG(rq->id));
	rl->headers[n++] = talloc_asprintf(
		rq->arena, "Priority: %" G_GINT64_FORMAT, rq->priority);
	rl->headers[n++] = talloc_asprintf(
		rq->arena, "Deadline: %" G_GINT64_FORMAT, rq->deadline_ms);
	rl->headers[n++] = rl->reader_header;
	rl->headers[n] = NULL;
}

static struct relay *new_relay(struct request *rq)
{
	struct relay *rl = talloc_zero(rq->arena, struct relay);

	rl->rq = rq;
	set_headers(rl);
	return rl;
}

static const char *const *join_headers(const struct relay *rl,
				       const char *const *more)
{
	GPtrArray *all = g_ptr_array_new();
	const char **joined;

	for (const char *const *h = rl->headers; *h; h++)
		g_ptr_array_add(all, (char *)*h);
	for (; *more; more++)
		g_ptr_array_add(all, (char *)*more);
	g_ptr_array_add(all, NULL);
	joined = talloc_memdup(rl->rq->arena, all->pdata,
			       all->len * sizeof(char *));
	g_ptr_array_unref(all);
	return joined;
}

/* Send the request to the target, or to its admitting node if hop is set. */
static void send_request(struct relay *rl, const struct forward_hop *hop)
{
	struct http_request q = {
		.method = "POST",
		.headers = rl->headers,
		.body = rl->rq->body,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		/*
		 * libcurl may resend a request on a pooled connection. To an
		 * admitting node that would run the work twice, even if the
		 * service is idempotent.
		 */
		.fresh = hop || !rl->rq->service->idempotent};

	q.url = hop ? hop->url
		    : talloc_asprintf(rl->rq->arena,
				      "http://%s/v1/chat/completions",
				      rl->target->address);
	if (hop)
		q.headers = join_headers(rl, hop->headers);
	rl->hop = hop;
	rl->http_call = http_call_open(&q);
	http_call_watch_peer(rl->http_call, rl->rq->caller_fd);
	rl->resuming = false;
	rl->responded = false;
	rl->progressed = false;
	rl->consumed = 0;
	rl->silent_since_ms = time_mono_ms();
}

/* Ask the target for the events from receive_pos on. */
static void request_rest(struct relay *rl)
{
	char *url = g_strdup_printf(
		"http://%s/v1/streams/" STR_FMT "?from=%" G_GINT64_FORMAT,
		rl->target->address, STR_ARG(rl->rq->id), rl->receive_pos);
	struct http_request q = {.method = "GET",
				 .url = url,
				 .headers = rl->headers,
				 .connect_timeout_ms = CONNECT_TIMEOUT_MS,
				 .fresh = true};

	rl->http_call = http_call_open(&q);
	http_call_watch_peer(rl->http_call, rl->rq->caller_fd);
	rl->resuming = true;
	rl->responded = false;
	rl->progressed = false;
	rl->consumed = 0;
	rl->silent_since_ms = time_mono_ms();
	g_free(url);
}

/*
 * Return when silence counts as a stall (monotonic), at latest the deadline.
 * Bytes that complete no event don't end the silence.
 */
static int64_t stall_deadline_ms(const struct relay *rl)
{
	int64_t timeout_ms = pace_timeout_ms(
		&rl->pace, rl->rq->node->set.streams_silence_ms);

	return MIN(rl->silent_since_ms + timeout_ms,
		   request_deadline_mono_ms(rl->rq));
}

/* The run has begun and its target has not crashed of it. */
static void record_begin(struct relay *rl)
{
	if (!rl->recorded)
		chat_faults_began(rl->rq, rl->first_event_ms);
	rl->recorded = true;
}

/* The target of a run that had not begun can't be reached any more. */
static void record_crash(struct relay *rl)
{
	if (!rl->recorded)
		chat_faults_crashed(rl->rq, rl->target);
	rl->recorded = true;
}

static bool is_deadline_passed(const struct relay *rl)
{
	return time_now_ms() >= rl->rq->deadline_ms;
}

static void report_foreign_answer(const struct relay *rl)
{
	metric_add(M_ANSWERS_CROSSED_TOTAL, 1);
	log_event(EV_ANSWER_CROSSED, "request=" STR_FMT " target=%s",
		  STR_ARG(rl->rq->id), rl->target->name);
}

/* Return whether the Request-Id header of the answer is this request's. */
static bool answers_this_request(const struct relay *rl)
{
	const char *id = http_call_header(rl->http_call, "Request-Id");

	if (id && str_eq(str_c(id), rl->rq->id))
		return true;
	if (id)
		report_foreign_answer(rl);
	return false;
}

/* Sleep before another attempt. The request's identity seeds the jitter. */
static void sleep_backoff(const struct relay *rl, unsigned attempt)
{
	uint32_t random = (uint32_t)str_hash(rl->rq->id, attempt);
	int64_t left_ms = request_deadline_mono_ms(rl->rq) - time_mono_ms();
	int64_t pause_ms = MIN(pace_backoff_ms(attempt, random), left_ms);

	if (pause_ms > 0)
		g_usleep((gulong)pause_ms * 1000);
}

/* Replace the connection by one that asks for the rest of the answer. */
static enum ramp_error reconnect(struct relay *rl)
{
	if (is_deadline_passed(rl))
		return RAMP_ERR_TIMED_OUT;
	if (rl->rq->caller_gone)
		return RAMP_ERR_OUTCOME_UNKNOWN;
	if (rl->progressed)
		rl->reconnects = 0;
	else if (rl->reconnects >= RECONNECTS_MAX)
		return RAMP_ERR_OUTCOME_UNKNOWN;
	http_call_close(rl->http_call);
	rl->http_call = NULL;
	if (rl->reconnects)
		sleep_backoff(rl, rl->reconnects - 1);
	rl->reconnects++;
	request_rest(rl);
	metric_add(M_STREAMS_RESUMED_TOTAL, 1);
	log_event(EV_STREAM_RESUMED,
		  "request=" STR_FMT " target=%s position=%" G_GINT64_FORMAT,
		  STR_ARG(rl->rq->id), rl->target->name, rl->receive_pos);
	return RAMP_OK;
}

/* Map the status by which a target or node refused the request to an error. */
static enum ramp_error error_from_status(int status)
{
	/* By contract a target that answers 503 has not begun the work. */
	if (status == 503)
		return RAMP_ERR_OVERLOADED;
	return status == 400 ? RAMP_ERR_BAD_REQUEST : RAMP_ERR_TARGET_FAILED;
}

/*
 * Report what the status shows of the target's state. A target that takes no
 * new work answers 503 with the header Leaving.
 */
static void observe_status(const struct relay *rl, int status)
{
	bool leaves = status == 503 &&
		      http_call_header(rl->http_call, HDR_TARGET_LEAVING);

	if (leaves)
		node_observe_target(rl->rq->node, rl->target->name,
				    TARGET_REPORTED_LEAVING);
	else if (status == 200)
		node_observe_target(rl->rq->node, rl->target->name,
				    TARGET_ANSWERED);
}

/*
 * Whether a target that doesn't know the request may still get it: the one that
 * was sent first, perhaps through the admitting node, can wait to be read while
 * the later one for the rest is answered.
 */
static bool may_be_unread(const struct relay *rl, int status)
{
	return rl->resuming && status == 404 && !rl->rq->is_resume &&
	       !rl->first_event_ms;
}

/* Handle the status of the answer, whose headers have all arrived. */
static enum ramp_error check_status(struct relay *rl)
{
	int status = http_call_status(rl->http_call);

	if (status == 200 && answers_this_request(rl) &&
	    http_call_is_event_stream(rl->http_call)) {
		observe_status(rl, status);
		rl->responded = true;
		return RAMP_OK;
	}
	if (status == 200 || (rl->resuming && status == 503) ||
	    may_be_unread(rl, status))
		return reconnect(rl);
	/* It says nothing of this request; the target may be running it. */
	if (!rl->resuming && !rl->hop &&
	    http_call_is_foreign(rl->http_call, "Request-Id", rl->rq->id)) {
		report_foreign_answer(rl);
		return reconnect(rl);
	}
	observe_status(rl, status);
	/* The work has begun; a refusal to resume doesn't change that. */
	return rl->resuming ? RAMP_ERR_OUTCOME_UNKNOWN
			    : error_from_status(status);
}

/* Parse an event's id, "<request identity>:<number>". */
static bool parse_event_id(const struct relay *rl, struct str id, int64_t *pos)
{
	struct str expected = rl->rq->id;
	char *end;

	if (id.len < expected.len + 2 || id.data[expected.len] != ':' ||
	    memcmp(id.data, expected.data, expected.len))
		return false;
	*pos = g_ascii_strtoll(id.data + expected.len + 1, &end, 10);
	return end == id.data + id.len;
}

/* Return where the choices of a chunk begin, or NULL if it has none. */
static const char *find_choices(struct str data)
{
	static const char name[] = "\"choices\"";

	return data.len ? memmem(data.data, data.len, name, sizeof(name) - 1)
			: NULL;
}

/*
 * Whether an event holds a chunk. An engine that fails may write its error as
 * an event, and a server in front of it a response into the open event.
 */
static bool is_chunk(struct str data)
{
	return find_choices(data) && data.data[0] == '{' &&
	       data.data[data.len - 1] == '}';
}

/*
 * Hash a chunk from its choices on; the fields before differ between targets.
 */
static uint64_t hash_event(struct str data, uint64_t seed)
{
	size_t skip = (size_t)(find_choices(data) - data.data);

	return str_hash((struct str){data.data + skip, data.len - skip}, seed);
}

enum receive_result {
	RECEIVED_NONE,      /* no complete event yet */
	RECEIVED_EVENT,     /* an event to deliver, or the end */
	RECEIVED_DUPLICATE, /* an event that was already delivered */
	/* Of another request, after a gap, or no chunk of an answer. */
	RECEIVED_INVALID,
};

/*
 * Accept the next event of the run. A rerun is compared with the answer
 * delivered so far when it reaches the same position.
 */
static enum receive_result accept_event(struct relay *rl,
					const struct sse_event *e)
{
	int64_t reused = admission_parse_reused_tokens(e->data);

	if (reused >= 0)
		rl->rq->reused_tokens = reused;
	rl->received_hash = hash_event(e->data, rl->received_hash);
	rl->receive_pos++;
	rl->progressed = true;
	if (!rl->first_event_ms)
		rl->first_event_ms = time_mono_ms();
	if (time_mono_ms() - rl->first_event_ms >= BEGUN_AFTER_MS)
		record_begin(rl);
	if (rl->receive_pos > rl->deliver_pos) {
		if (!rl->began_at)
			rl->began_at = rl->target;
		rl->deliver_pos = rl->receive_pos;
		rl->delivered_hash = rl->received_hash;
		return RECEIVED_EVENT;
	}
	if (rl->receive_pos == rl->deliver_pos &&
	    rl->received_hash != rl->delivered_hash)
		rl->diverged = true;
	return RECEIVED_DUPLICATE;
}

/* Take the next event out of the connection's buffer. */
static enum receive_result receive_event(struct relay *rl, struct sse_event *e)
{
	GByteArray *b = http_call_unread(rl->http_call);
	int64_t number;

	if (rl->consumed)
		g_byte_array_remove_range(b, 0, (guint)rl->consumed);
	rl->consumed = sse_next((char *)b->data, b->len, e);
	if (!rl->consumed)
		return RECEIVED_NONE;
	rl->silent_since_ms = time_mono_ms();
	if (str_eq(e->data, STR_LIT("[DONE]"))) {
		rl->diverged = rl->receive_pos < rl->deliver_pos;
		rl->ended = !rl->diverged;
		if (rl->first_event_ms)
			record_begin(rl);
		return rl->ended ? RECEIVED_EVENT : RECEIVED_DUPLICATE;
	}
	if (!parse_event_id(rl, e->id, &number) || number > rl->receive_pos ||
	    !is_chunk(e->data))
		return RECEIVED_INVALID;
	return number < rl->receive_pos ? RECEIVED_DUPLICATE
					: accept_event(rl, e);
}

static enum ramp_error wait_headers(struct relay *rl)
{
	enum http_call_event ev =
		http_call_wait_headers(rl->http_call, stall_deadline_ms(rl));

	rl->rq->caller_gone = ev == HTTP_CALL_PEER_CLOSED;
	if (http_call_status(rl->http_call))
		return check_status(rl);
	/*
	 * An admitting node that can't be reached says nothing about the
	 * target.
	 */
	if (!http_call_maybe_sent(rl->http_call) && (rl->resuming || !rl->hop))
		node_observe_target(rl->rq->node, rl->target->name,
				    TARGET_CONNECT_FAILED);
	if (!http_call_maybe_sent(rl->http_call) && rl->resuming)
		record_crash(rl);
	if (!rl->resuming && !http_call_maybe_sent(rl->http_call))
		return RAMP_ERR_NO_TARGET;
	return reconnect(rl);
}

static enum ramp_error wait_data(struct relay *rl)
{
	int64_t start_ms = time_mono_ms();
	enum http_call_event ev =
		http_call_wait_more(rl->http_call, stall_deadline_ms(rl));

	if (ev == HTTP_CALL_DATA) {
		pace_record_gap(&rl->pace, time_mono_ms() - start_ms);
		return RAMP_OK;
	}
	rl->rq->caller_gone = ev == HTTP_CALL_PEER_CLOSED;
	if (ev == HTTP_CALL_TIMEOUT) {
		/*
		 * An open connection counts as progress, as the request may be
		 * queued at the target; but not when it stalls in the middle of
		 * an event.
		 */
		rl->progressed = !http_call_unread(rl->http_call)->len;
		pace_record_timeout(&rl->pace);
		node_observe_target(rl->rq->node, rl->target->name,
				    TARGET_STALLED);
	}
	return reconnect(rl);
}

static enum ramp_error wait_response(struct relay *rl)
{
	enum ramp_error err = RAMP_OK;

	while (err == RAMP_OK && !rl->responded)
		err = wait_headers(rl);
	return err;
}

static bool was_tried(const struct relay *rl, const struct target *t)
{
	for (unsigned i = 0; i < rl->run_count; i++) {
		if (rl->tried[i]->id == t->id)
			return true;
	}
	return false;
}

static void start_run(struct relay *rl, const struct target *t)
{
	rl->target = t;
	rl->tried[rl->run_count++] = t;
	rl->receive_pos = 0;
	rl->received_hash = 0;
	rl->reconnects = 0;
	rl->first_event_ms = 0;
	rl->recorded = false;
	rl->pace = (struct pace){0};
}

/*
 * Return whether a rerun is safe, which also needs the request's body and the
 * hash of the events delivered; a resumed request has neither.
 */
static bool may_rerun(const struct relay *rl)
{
	return rl->rq->service->idempotent && !rl->rq->is_resume &&
	       !rl->rq->caller_gone && !rl->diverged &&
	       !chat_faults_suspect(rl->rq) && rl->run_count < RUNS_MAX &&
	       !is_deadline_passed(rl);
}

/*
 * Whether a target may go on with the answer. What targets of two versions
 * write does not fit together, even if it is the same up to here.
 */
static bool may_continue(const struct relay *rl, const struct target *t)
{
	return !rl->began_at || !g_strcmp0(t->version, rl->began_at->version);
}

/* Rerun the request on another target after the answer was lost. */
static enum ramp_error rerun_elsewhere(struct relay *rl, enum ramp_error err)
{
	size_t n;
	const struct target **targets = dispatch_rank_targets(rl->rq, &n);

	for (size_t i = 0; i < n && may_rerun(rl); i++) {
		if (was_tried(rl, targets[i]) || !may_continue(rl, targets[i]))
			continue;
		log_event(EV_STREAM_RUN_AGAIN,
			  "request=" STR_FMT " lost=%s target=%s",
			  STR_ARG(rl->rq->id), rl->target->name,
			  targets[i]->name);
		metric_add(M_RETRIES_TOTAL, 1);
		http_call_close(rl->http_call);
		start_run(rl, targets[i]);
		send_request(rl, NULL);
		if (wait_response(rl) == RAMP_OK)
			return RAMP_OK;
	}
	return err;
}

/* Wait for headers or data, and replace the connection or rerun on errors. */
static enum ramp_error advance(struct relay *rl, enum receive_result result)
{
	enum ramp_error err;

	if (rl->diverged)
		return RAMP_ERR_OUTCOME_UNKNOWN;
	if (!rl->responded) {
		err = wait_headers(rl);
	} else if (result == RECEIVED_INVALID) {
		report_foreign_answer(rl);
		err = reconnect(rl);
	} else {
		err = wait_data(rl);
	}
	return err == RAMP_OK || err == RAMP_ERR_TIMED_OUT
		       ? err
		       : rerun_elsewhere(rl, err);
}

enum ramp_error relay_next(struct relay *rl, struct sse_event *e, bool *ended)
{
	const struct target *previous = rl->target;
	enum ramp_error err = RAMP_OK;

	*ended = false;
	/* The caller may have read slowly since the last event. */
	rl->silent_since_ms = time_mono_ms();
	while (err == RAMP_OK) {
		enum receive_result result = RECEIVED_NONE;

		if (rl->responded)
			result = receive_event(rl, e);
		if (result == RECEIVED_EVENT) {
			*ended = rl->ended;
			return RAMP_OK;
		}
		if (result != RECEIVED_DUPLICATE || rl->diverged)
			err = advance(rl, result);
		/*
		 * Report the new target at once, so that the caller can resume
		 * there if this node fails before the rerun has caught up.
		 */
		if (err == RAMP_OK && rl->target != previous) {
			memset(e, 0, sizeof(*e));
			return RAMP_OK;
		}
	}
	return err;
}

static enum ramp_error finish_open(struct relay *rl, struct relay **out)
{
	enum ramp_error err = wait_response(rl);

	if (err != RAMP_OK) {
		rl->not_run = error_responses[err].outcome == OUTCOME_NOT_RUN;
		if (rl->hop && !rl->resuming && http_call_status(rl->http_call))
			rl->hop->refused(rl->http_call, rl->hop->ctx);
		relay_close(rl);
		return err;
	}
	*out = rl;
	return RAMP_OK;
}

enum ramp_error relay_open(struct request *rq, const struct target *t,
			   const struct forward_hop *hop, struct relay **out)
{
	struct relay *rl = new_relay(rq);

	start_run(rl, t);
	send_request(rl, hop);
	return finish_open(rl, out);
}

enum ramp_error relay_resume(struct request *rq, const struct target *t,
			     int64_t pos, struct relay **out)
{
	struct relay *rl = new_relay(rq);

	start_run(rl, t);
	rl->deliver_pos = pos;
	rl->receive_pos = pos;
	request_rest(rl);
	return finish_open(rl, out);
}

const struct target *relay_target(const struct relay *rl)
{
	return rl->target;
}

/*
 * Cancel a run at its target. The target refuses when a newer connection, of an
 * entry to which the caller has moved, reads the answer.
 */
static void cancel_run(const struct relay *rl, const struct target *t)
{
	cancel_request(rl->rq->node->cancel_pool, t, rl->rq->id,
		       rl->reader_header);
}

void relay_close(struct relay *rl)
{
	bool sent = rl->resuming || http_call_maybe_sent(rl->http_call);

	http_call_close(rl->http_call);
	for (unsigned i = 0; i + 1 < rl->run_count; i++)
		cancel_run(rl, rl->tried[i]);
	if (sent && !rl->ended && !rl->not_run)
		cancel_run(rl, rl->target);
}
