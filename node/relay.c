#include <string.h>
#include <talloc.h>

#include "node/node.h"

#define CONNECT_MS     500
#define RECONNECTS_MAX 4 /* in a row, without any sign of life */

struct relay {
	struct request *rq;
	const struct target *target;
	struct pull *pull;
	char *url; /* of the request, or of the rest of its answer */
	const char *headers[8];
	int64_t pos;     /* number of the next event */
	size_t consumed; /* bytes of the last event, freed by the next call */
	unsigned reconnects;
	bool alive; /* this connection has answered */
	bool ended;
};

static void set_headers(struct relay *rl)
{
	struct request *rq = rl->rq;
	int n = 0;

	rl->headers[n++] = "Content-Type: application/json";
	rl->headers[n++] = talloc_asprintf(rq->arena, "Request-Id: " STR_FMT,
					   STR_ARG(rq->id));
	rl->headers[n++] = talloc_asprintf(
		rq->arena, "Priority: %" G_GINT64_FORMAT, rq->priority);
	rl->headers[n++] = talloc_asprintf(
		rq->arena, "Deadline: %" G_GINT64_FORMAT, rq->deadline_ms);
	rl->headers[n] = NULL;
}

static void connect_first(struct relay *rl, const char *via)
{
	struct pull_request q = {.method = "POST",
				 .headers = rl->headers,
				 .body = rl->rq->body,
				 .connect_ms = CONNECT_MS,
				 .fresh = !rl->rq->service->idempotent};

	rl->url = via ? talloc_asprintf(rl->rq->arena, "%s/v1/chat/completions",
					via)
		      : talloc_asprintf(rl->rq->arena,
					"http://%s/v1/chat/completions",
					rl->target->address);
	q.url = rl->url;
	rl->pull = pull_open(&q);
}

static void connect_rest(struct relay *rl)
{
	struct pull_request q = {.method = "GET",
				 .headers = rl->headers,
				 .connect_ms = CONNECT_MS,
				 .fresh = true};

	rl->url = talloc_asprintf(
		rl->rq->arena,
		"http://%s/v1/streams/" STR_FMT "?from=%" G_GINT64_FORMAT,
		rl->target->address, STR_ARG(rl->rq->id), rl->pos);
	q.url = rl->url;
	rl->pull = pull_open(&q);
	rl->consumed = 0;
	rl->alive = false;
}

static int64_t silence_until(const struct relay *rl)
{
	return MIN(time_mono_ms() + rl->rq->node->set.streams_silence_ms,
		   request_until(rl->rq));
}

static bool is_late(const struct relay *rl)
{
	return time_now_ms() >= rl->rq->deadline_ms;
}

static bool echoes_id(const struct relay *rl)
{
	const char *id = pull_header(rl->pull, "Request-Id");

	return id && str_eq(str_c(id), rl->rq->id);
}

static void note_crossed(const struct relay *rl)
{
	metric_add(M_ANSWERS_CROSSED_TOTAL, 1);
	log_event(EV_ANSWER_CROSSED, "request=" STR_FMT " target=%s",
		  STR_ARG(rl->rq->id), rl->target->name);
}

/* Drop the connection and ask for the rest of the answer on a new one. */
static enum ramp_error reconnect(struct relay *rl)
{
	if (is_late(rl))
		return RAMP_ERR_TIMED_OUT;
	if (!rl->alive && rl->reconnects++ >= RECONNECTS_MAX)
		return RAMP_ERR_OUTCOME_UNKNOWN;
	if (rl->alive)
		rl->reconnects = 0;
	pull_close(rl->pull);
	connect_rest(rl);
	metric_add(M_STREAMS_RESUMED_TOTAL, 1);
	log_event(EV_STREAM_RESUMED,
		  "request=" STR_FMT " target=%s position=%" G_GINT64_FORMAT,
		  STR_ARG(rl->rq->id), rl->target->name, rl->pos);
	return RAMP_OK;
}

/* What the answer's status says, once its headers have arrived. */
static enum ramp_error check_status(struct relay *rl)
{
	int status = pull_status(rl->pull);

	if (status == 200 && echoes_id(rl)) {
		rl->alive = true;
		return RAMP_OK;
	}
	if (status == 200) {
		note_crossed(rl);
		return reconnect(rl);
	}
	/* By contract a target that refuses with 503 has not begun. */
	if (status == 503)
		return rl->pos ? RAMP_ERR_OUTCOME_UNKNOWN : RAMP_ERR_OVERLOADED;
	if (status == 400)
		return RAMP_ERR_BAD_REQUEST;
	return status == 404 ? RAMP_ERR_OUTCOME_UNKNOWN
			     : RAMP_ERR_TARGET_FAILED;
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

/*
 * Take the next event that is this request's own and has not been seen.
 *
 * Return: false when there is none yet; *crossed tells of a foreign event.
 */
static bool take_event(struct relay *rl, struct sse_event *e, bool *crossed)
{
	GByteArray *b = pull_bytes(rl->pull);
	size_t used;
	int64_t pos;

	*crossed = false;
	if (rl->consumed)
		g_byte_array_remove_range(b, 0, (guint)rl->consumed);
	rl->consumed = 0;
	while ((used = sse_next((char *)b->data, b->len, e))) {
		rl->consumed = used;
		if (str_eq(e->data, STR_LIT("[DONE]"))) {
			rl->ended = true;
			return true;
		}
		if (!parse_id(rl, e->id, &pos) || pos > rl->pos) {
			*crossed = true;
			return false;
		}
		if (pos == rl->pos) {
			rl->pos++;
			return true;
		}
		g_byte_array_remove_range(b, 0, (guint)used);
		rl->consumed = 0;
	}
	return false;
}

static enum ramp_error wait_more(struct relay *rl)
{
	enum pull_event ev = pull_wait(rl->pull, silence_until(rl));

	if (ev == PULL_DATA && !rl->alive)
		return check_status(rl);
	if (ev == PULL_DATA)
		return RAMP_OK;
	if (ev == PULL_TIMEOUT && pull_status(rl->pull) == 200 && !rl->alive)
		check_status(rl);
	if (ev == PULL_END && !rl->alive && pull_status(rl->pull) != 200)
		return check_status(rl);
	return reconnect(rl);
}

enum ramp_error relay_next(struct relay *rl, struct sse_event *e, bool *ended)
{
	enum ramp_error err;
	bool crossed;
	guint before;

	*ended = false;
	for (;;) {
		if (rl->alive && take_event(rl, e, &crossed)) {
			*ended = rl->ended;
			return RAMP_OK;
		}
		if (rl->alive && crossed) {
			note_crossed(rl);
			err = reconnect(rl);
		} else {
			before = pull_bytes(rl->pull)->len;
			err = wait_more(rl);
			if (err == RAMP_OK && before &&
			    pull_bytes(rl->pull)->len == before)
				err = reconnect(rl);
		}
		if (err != RAMP_OK)
			return err;
	}
}

enum ramp_error relay_open(struct request *rq, const struct target *t,
			   const char *via, struct relay **out)
{
	struct relay *rl = talloc_zero(rq->arena, struct relay);
	enum ramp_error err = RAMP_OK;
	enum pull_event ev;

	rl->rq = rq;
	rl->target = t;
	set_headers(rl);
	connect_first(rl, via);
	ev = pull_wait(rl->pull, silence_until(rl));
	if (ev == PULL_FAILED && !pull_maybe_sent(rl->pull))
		err = RAMP_ERR_NO_TARGET;
	else if (pull_status(rl->pull))
		err = check_status(rl);
	else
		err = reconnect(rl);
	while (err == RAMP_OK && !rl->alive)
		err = wait_more(rl);
	if (err != RAMP_OK) {
		relay_close(rl);
		return err;
	}
	*out = rl;
	return RAMP_OK;
}

static void cancel(const struct relay *rl)
{
	char *url = g_strdup_printf("http://%s/v1/streams/" STR_FMT,
				    rl->target->address, STR_ARG(rl->rq->id));
	struct pull_request q = {.method = "DELETE",
				 .url = url,
				 .connect_ms = CONNECT_MS,
				 .fresh = true};
	struct pull *p = pull_open(&q);

	pull_wait(p, time_mono_ms() + CONNECT_MS);
	pull_close(p);
	g_free(url);
}

void relay_close(struct relay *rl)
{
	bool sent = pull_maybe_sent(rl->pull);

	pull_close(rl->pull);
	if (sent && !rl->ended)
		cancel(rl);
}
