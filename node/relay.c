#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "node/node.h"

#define CONNECT_MS     500
#define RECONNECTS_MAX 4 /* in a row, without any sign of life */
#define RUNS_MAX       3 /* of one request, each on another target */
#define READER_BYTES   8

struct relay {
	struct request *rq;
	const struct target *target;
	struct pull *pull;
	const struct via *via; /* while it opens; or NULL */
	const char *headers[8];
	const char *reader; /* names this relay's connections to the target */
	int64_t pos;        /* number of the next event to give out */
	int64_t next; /* ... to take; behind pos while a run is compared */
	uint64_t given_hash; /* of the events given out */
	uint64_t taken_hash; /* of the events of the run in progress */
	size_t consumed; /* bytes of the last event, freed by the next call */
	unsigned reconnects;
	struct pace pace;
	const struct target *used[RUNS_MAX]; /* may still be at work */
	unsigned runs;
	bool resuming;  /* the connection asks for the rest of an answer */
	bool alive;     /* it has answered */
	bool moved;     /* it has brought the answer on */
	bool refused;   /* the work never began */
	bool different; /* a further run gave another answer */
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
	rl->reader = talloc_asprintf(rq->arena, "Reader: %s", hex);
	rl->headers[n++] = "Content-Type: application/json";
	rl->headers[n++] = talloc_asprintf(rq->arena, "Request-Id: " STR_FMT,
					   STR_ARG(rq->id));
	rl->headers[n++] = talloc_asprintf(
		rq->arena, "Priority: %" G_GINT64_FORMAT, rq->priority);
	rl->headers[n++] = talloc_asprintf(
		rq->arena, "Deadline: %" G_GINT64_FORMAT, rq->deadline_ms);
	rl->headers[n++] = rl->reader;
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

static void connect_first(struct relay *rl, const struct via *via)
{
	struct pull_request q = {
		.method = "POST",
		.headers = rl->headers,
		.body = rl->rq->body,
		.connect_ms = CONNECT_MS,
		/* Between nodes a second sending would run
		 * the work twice even when that is harmless. */
		.fresh = via || !rl->rq->service->idempotent};

	q.url = via ? via->url
		    : talloc_asprintf(rl->rq->arena,
				      "http://%s/v1/chat/completions",
				      rl->target->address);
	if (via)
		q.headers = join_headers(rl, via->headers);
	rl->via = via;
	rl->pull = pull_open(&q);
	pull_watch(rl->pull, rl->rq->caller_fd);
	rl->resuming = false;
	rl->alive = false;
	rl->moved = false;
	rl->consumed = 0;
}

static void connect_rest(struct relay *rl)
{
	char *url = g_strdup_printf(
		"http://%s/v1/streams/" STR_FMT "?from=%" G_GINT64_FORMAT,
		rl->target->address, STR_ARG(rl->rq->id), rl->next);
	struct pull_request q = {.method = "GET",
				 .url = url,
				 .headers = rl->headers,
				 .connect_ms = CONNECT_MS,
				 .fresh = true};

	rl->pull = pull_open(&q);
	pull_watch(rl->pull, rl->rq->caller_fd);
	rl->resuming = true;
	rl->alive = false;
	rl->moved = false;
	rl->consumed = 0;
	g_free(url);
}

static int64_t silence_until(const struct relay *rl)
{
	int64_t bound =
		pace_bound_ms(&rl->pace, rl->rq->node->set.streams_silence_ms);

	return MIN(time_mono_ms() + bound, request_until(rl->rq));
}

static bool is_late(const struct relay *rl)
{
	return time_now_ms() >= rl->rq->deadline_ms;
}

static void note_crossed(const struct relay *rl)
{
	metric_add(M_ANSWERS_CROSSED_TOTAL, 1);
	log_event(EV_ANSWER_CROSSED, "request=" STR_FMT " target=%s",
		  STR_ARG(rl->rq->id), rl->target->name);
}

/* Whether the answer's header names this request. */
static bool echoes_id(const struct relay *rl)
{
	const char *id = pull_header(rl->pull, "Request-Id");

	if (id && str_eq(str_c(id), rl->rq->id))
		return true;
	if (id)
		note_crossed(rl);
	return false;
}

/* Pause before a further attempt; the request's identity is the seed. */
static void pause_before(const struct relay *rl, unsigned attempt)
{
	uint32_t random = (uint32_t)str_hash(rl->rq->id, attempt);
	int64_t left = request_until(rl->rq) - time_mono_ms();
	int64_t pause = MIN(pace_pause_ms(attempt, random), left);

	if (pause > 0)
		g_usleep((gulong)pause * 1000);
}

/* Drop the connection and ask for the rest of the answer on a new one. */
static enum ramp_error reconnect(struct relay *rl)
{
	if (is_late(rl))
		return RAMP_ERR_TIMED_OUT;
	if (rl->rq->gone)
		return RAMP_ERR_OUTCOME_UNKNOWN;
	if (rl->moved)
		rl->reconnects = 0;
	else if (rl->reconnects >= RECONNECTS_MAX)
		return RAMP_ERR_OUTCOME_UNKNOWN;
	pull_close(rl->pull);
	rl->pull = NULL;
	if (rl->reconnects)
		pause_before(rl, rl->reconnects - 1);
	rl->reconnects++;
	connect_rest(rl);
	metric_add(M_STREAMS_RESUMED_TOTAL, 1);
	log_event(EV_STREAM_RESUMED,
		  "request=" STR_FMT " target=%s position=%" G_GINT64_FORMAT,
		  STR_ARG(rl->rq->id), rl->target->name, rl->next);
	return RAMP_OK;
}

/* What the status says of a request that was just sent. */
static enum ramp_error first_status(int status)
{
	/* By contract a target that refuses with 503 has not begun. */
	if (status == 503)
		return RAMP_ERR_OVERLOADED;
	return status == 400 ? RAMP_ERR_BAD_REQUEST : RAMP_ERR_TARGET_FAILED;
}

/* A target that takes no new work says so when it refuses. */
static void note_status(const struct relay *rl, int status)
{
	bool leaves = status == 503 && pull_header(rl->pull, "Leaving");

	if (leaves)
		node_note_target(rl->rq->node, rl->target->name, TARGET_LEAVES);
	else if (status == 200)
		node_note_target(rl->rq->node, rl->target->name,
				 TARGET_ANSWERED);
}

/* What the answer's status says, once its headers have arrived. */
static enum ramp_error check_status(struct relay *rl)
{
	int status = pull_status(rl->pull);

	note_status(rl, status);
	if (status == 200 && echoes_id(rl)) {
		rl->alive = true;
		return RAMP_OK;
	}
	if (status == 200 || (rl->resuming && status == 503))
		return reconnect(rl);
	/* The work had begun; nothing the target says now undoes that. */
	return rl->resuming ? RAMP_ERR_OUTCOME_UNKNOWN : first_status(status);
}

/* "id: <request identity>:<number>". */
static bool parse_id(const struct relay *rl, struct str id, int64_t *pos)
{
	struct str want = rl->rq->id;
	char *end;

	if (id.len < want.len + 2 || id.data[want.len] != ':' ||
	    memcmp(id.data, want.data, want.len))
		return false;
	*pos = g_ascii_strtoll(id.data + want.len + 1, &end, 10);
	return end == id.data + id.len;
}

/* Hash of an event's answer; what stands before differs between targets. */
static uint64_t hash_event(struct str data, uint64_t seed)
{
	static const char start[] = "\"choices\"";
	const char *s = memmem(data.data, data.len, start, sizeof(start) - 1);
	size_t skip = s ? (size_t)(s - data.data) : 0;

	return str_hash((struct str){data.data + skip, data.len - skip}, seed);
}

enum taken {
	TAKEN_NONE,    /* no whole event yet */
	TAKEN_EVENT,   /* one to give out, or the end */
	TAKEN_PASSED,  /* one that was given out before */
	TAKEN_FOREIGN, /* one of another request, or out of order */
};

/* The run in progress has come to event number next; is it the same answer? */
static enum taken compare(struct relay *rl, const struct sse_event *e)
{
	int64_t reused = admission_read_reused(e->data);

	if (reused >= 0)
		rl->rq->reused_tokens = reused;
	rl->taken_hash = hash_event(e->data, rl->taken_hash);
	rl->next++;
	rl->moved = true;
	if (rl->next > rl->pos) {
		rl->pos = rl->next;
		rl->given_hash = rl->taken_hash;
		return TAKEN_EVENT;
	}
	if (rl->next == rl->pos && rl->taken_hash != rl->given_hash)
		rl->different = true;
	return TAKEN_PASSED;
}

static enum taken take_event(struct relay *rl, struct sse_event *e)
{
	GByteArray *b = pull_bytes(rl->pull);
	int64_t number;

	if (rl->consumed)
		g_byte_array_remove_range(b, 0, (guint)rl->consumed);
	rl->consumed = sse_next((char *)b->data, b->len, e);
	if (!rl->consumed)
		return TAKEN_NONE;
	if (str_eq(e->data, STR_LIT("[DONE]"))) {
		rl->different = rl->next < rl->pos;
		rl->ended = !rl->different;
		return rl->ended ? TAKEN_EVENT : TAKEN_PASSED;
	}
	if (!parse_id(rl, e->id, &number) || number > rl->next)
		return TAKEN_FOREIGN;
	return number < rl->next ? TAKEN_PASSED : compare(rl, e);
}

static enum ramp_error wait_headers(struct relay *rl)
{
	enum pull_event ev = pull_wait_headers(rl->pull, silence_until(rl));

	rl->rq->gone = ev == PULL_GONE;
	if (pull_status(rl->pull))
		return check_status(rl);
	/* An admitting node that is gone says nothing about the target. */
	if (!pull_maybe_sent(rl->pull) && (rl->resuming || !rl->via))
		node_note_target(rl->rq->node, rl->target->name,
				 TARGET_REFUSED);
	if (!rl->resuming && !pull_maybe_sent(rl->pull))
		return RAMP_ERR_NO_TARGET;
	return reconnect(rl);
}

static enum ramp_error wait_more(struct relay *rl)
{
	int64_t from = time_mono_ms();
	enum pull_event ev = pull_wait_more(rl->pull, silence_until(rl));

	if (ev == PULL_DATA) {
		pace_note(&rl->pace, time_mono_ms() - from);
		return RAMP_OK;
	}
	rl->rq->gone = ev == PULL_GONE;
	if (ev == PULL_TIMEOUT) {
		/* It may be queueing: an open connection is a sign of life. */
		rl->moved = !pull_bytes(rl->pull)->len;
		pace_silent(&rl->pace);
		node_note_target(rl->rq->node, rl->target->name, TARGET_SILENT);
	}
	return reconnect(rl);
}

static enum ramp_error wait_alive(struct relay *rl)
{
	enum ramp_error err = RAMP_OK;

	while (err == RAMP_OK && !rl->alive)
		err = wait_headers(rl);
	return err;
}

static bool was_used(const struct relay *rl, const struct target *t)
{
	for (unsigned i = 0; i < rl->runs; i++) {
		if (rl->used[i]->id == t->id)
			return true;
	}
	return false;
}

static void use_target(struct relay *rl, const struct target *t)
{
	rl->target = t;
	rl->used[rl->runs++] = t;
	rl->next = 0;
	rl->taken_hash = 0;
	rl->reconnects = 0;
	rl->pace = (struct pace){0};
}

/* Running again is safe, and its body and what was given out are known. */
static bool may_run_again(const struct relay *rl)
{
	return rl->rq->service->idempotent && !rl->rq->resumed &&
	       !rl->rq->gone && !rl->different && rl->runs < RUNS_MAX &&
	       !is_late(rl);
}

/* The target has lost the answer: run the request on another one. */
static enum ramp_error run_again(struct relay *rl, enum ramp_error err)
{
	size_t n;
	const struct target **order = dispatch_order(rl->rq, &n);

	for (size_t i = 0; i < n && may_run_again(rl); i++) {
		if (was_used(rl, order[i]))
			continue;
		log_event(EV_STREAM_RUN_AGAIN,
			  "request=" STR_FMT " lost=%s target=%s",
			  STR_ARG(rl->rq->id), rl->target->name,
			  order[i]->name);
		metric_add(M_RETRIES_TOTAL, 1);
		pull_close(rl->pull);
		use_target(rl, order[i]);
		connect_first(rl, NULL);
		if (wait_alive(rl) == RAMP_OK)
			return RAMP_OK;
	}
	return err;
}

/* Work on the connection until there is more to take. */
static enum ramp_error more(struct relay *rl, enum taken taken)
{
	enum ramp_error err;

	if (rl->different)
		return RAMP_ERR_OUTCOME_UNKNOWN;
	if (!rl->alive) {
		err = wait_headers(rl);
	} else if (taken == TAKEN_FOREIGN) {
		note_crossed(rl);
		err = reconnect(rl);
	} else {
		err = wait_more(rl);
	}
	return err == RAMP_OK || err == RAMP_ERR_TIMED_OUT ? err
							   : run_again(rl, err);
}

enum ramp_error relay_next(struct relay *rl, struct sse_event *e, bool *ended)
{
	const struct target *from = rl->target;
	enum ramp_error err = RAMP_OK;

	*ended = false;
	while (err == RAMP_OK) {
		enum taken taken = TAKEN_NONE;

		if (rl->alive)
			taken = take_event(rl, e);
		if (taken == TAKEN_EVENT) {
			*ended = rl->ended;
			return RAMP_OK;
		}
		if (taken != TAKEN_PASSED || rl->different)
			err = more(rl, taken);
		/* Said at once: this node may die before it has caught up. */
		if (err == RAMP_OK && rl->target != from) {
			memset(e, 0, sizeof(*e));
			return RAMP_OK;
		}
	}
	return err;
}

static enum ramp_error open_relay(struct relay *rl, struct relay **out)
{
	enum ramp_error err = wait_alive(rl);

	if (err != RAMP_OK) {
		rl->refused = error_answers[err].outcome == OUTCOME_NOT_RUN;
		if (rl->via && !rl->resuming && pull_status(rl->pull))
			rl->via->refused(rl->pull, rl->via->ctx);
		relay_close(rl);
		return err;
	}
	*out = rl;
	return RAMP_OK;
}

enum ramp_error relay_open(struct request *rq, const struct target *t,
			   const struct via *via, struct relay **out)
{
	struct relay *rl = new_relay(rq);

	use_target(rl, t);
	connect_first(rl, via);
	return open_relay(rl, out);
}

enum ramp_error relay_resume(struct request *rq, const struct target *t,
			     int64_t pos, struct relay **out)
{
	struct relay *rl = new_relay(rq);

	use_target(rl, t);
	rl->pos = pos;
	rl->next = pos;
	connect_rest(rl);
	return open_relay(rl, out);
}

const struct target *relay_target(const struct relay *rl)
{
	return rl->target;
}

/*
 * The target refuses when a newer connection, of an entry to which the caller
 * has moved, reads the answer.
 */
static void cancel(const struct relay *rl, const struct target *t)
{
	cancel_work(rl->rq->node->cancels, t, rl->rq->id, rl->reader);
}

void relay_close(struct relay *rl)
{
	bool sent = rl->resuming || pull_maybe_sent(rl->pull);

	pull_close(rl->pull);
	for (unsigned i = 0; i + 1 < rl->runs; i++)
		cancel(rl, rl->used[i]);
	if (sent && !rl->ended && !rl->refused)
		cancel(rl, rl->target);
}
