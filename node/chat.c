/*
 * POST /v1/chat/completions, with the answer as one JSON body or streamed. Runs
 * on the thread of the caller's connection.
 */
#include <string.h>
#include <talloc.h>

#include "node/claims.h"
#include "node/limits.h"

/* Read by the server at a time; most events are smaller. */
#define STREAM_BLOCK_BYTES 1024

/*
 * The answer of a chat is not stored for repeated requests, as it may be long.
 */
static const struct claim_answer unstored_answer = {.status = 200};

/* State of a streamed answer; used by the connection's thread only. */
struct stream {
	struct request *rq;
	struct relay *relay;
	const struct target *announced; /* in the caller's resume token */
	GString *out; /* the last event, as sent to the caller */
	size_t off;   /* bytes of out that were sent */
	bool ended;
	bool failed; /* ended by an error */
};

static bool is_message(const json_t *m)
{
	return json_is_string(json_object_get(m, "role")) &&
	       (json_is_string(json_object_get(m, "content")) ||
		json_is_array(json_object_get(m, "content")));
}

static const char *check_body(const json_t *body)
{
	const json_t *messages = json_object_get(body, "messages");
	size_t i;
	json_t *m;

	if (!json_is_string(json_object_get(body, "model")))
		return "model: a string is required";
	if (!json_is_array(messages) || !json_array_size(messages))
		return "messages: a list of at least one message is required";
	json_array_foreach (messages, i, m) {
		if (!is_message(m))
			return "messages: each needs a role and a content";
	}
	return NULL;
}

/*
 * The target is always asked for a stream, because only a stream can be
 * resumed.
 */
static void set_target_body(struct request *rq, json_t *body)
{
	char *s;

	json_object_set_new(body, "model", json_string(rq->service->model));
	json_object_set_new(body, "stream", json_true());
	s = json_dumps(body, JSON_COMPACT);
	rq->body = str_dup(rq->arena, str_c(s));
	free(s);
}

static void append_event(GString *out, const struct sse_event *e)
{
	if (e->id.len)
		g_string_append_printf(out, "id: " STR_FMT "\n",
				       STR_ARG(e->id));
	g_string_append_printf(out, "data: " STR_FMT "\n\n", STR_ARG(e->data));
}

static void append_error(GString *out, enum ramp_error e)
{
	json_t *j = ramp_error_json(e, NULL, 0);
	char *s = json_dumps(j, JSON_COMPACT);

	g_string_append_printf(out, "data: %s\n\n", s);
	free(s);
	json_decref(j);
}

/*
 * Return the token with which the caller gets the rest of the answer from any
 * entry.
 */
static char *make_resume_token(struct request *rq, const struct target *t)
{
	struct resume s = {
		.organisation = rq->owner->organisation->name,
		.service = rq->service->name,
		.target = t->name,
		.address = t->address,
		.request = rq->id.data,
		.deadline_ms = rq->deadline_ms,
	};

	return resume_seal(rq->arena, rq->node->resume_key, &s);
}

/*
 * Append a new token when the target has changed. It is an SSE comment, which
 * clients that don't know it skip.
 */
static void append_resume_token(struct stream *s)
{
	const struct target *t = relay_target(s->relay);

	if (t == s->announced)
		return;
	s->announced = t;
	g_string_append_printf(s->out, ": resume %s\n\n",
			       make_resume_token(s->rq, t));
}

/* Wait for the next event of the answer and put it into the buffer. */
static void fill_buffer(struct stream *s)
{
	struct sse_event e;
	enum ramp_error err;

	g_string_truncate(s->out, 0);
	s->off = 0;
	err = relay_next(s->relay, &e, &s->ended);
	if (err == RAMP_OK) {
		append_resume_token(s);
		if (e.data.data)
			append_event(s->out, &e);
		return;
	}
	log_event(EV_STREAM_LOST, "request=" STR_FMT " error=%s",
		  STR_ARG(s->rq->id), error_responses[err].name);
	claims_end(s->rq, err, NULL);
	request_count_outcome(error_responses[err].outcome);
	append_error(s->out, err);
	s->ended = true;
	s->failed = true;
}

static ssize_t read_stream(void *ctx, uint64_t off, char *buf, size_t max)
{
	struct stream *s = ctx;
	size_t n;

	(void)off;
	if (s->off == s->out->len && s->ended)
		return U_STREAM_END;
	if (s->off == s->out->len)
		fill_buffer(s);
	n = MIN(max, s->out->len - s->off);
	memcpy(buf, s->out->str + s->off, n);
	s->off += n;
	return (ssize_t)n;
}

static void close_stream(void *ctx)
{
	struct stream *s = ctx;

	if (s->ended && !s->failed) {
		claims_end(s->rq, RAMP_OK, &unstored_answer);
		request_count_outcome(OUTCOME_COMPLETE);
	}
	if (!s->ended || s->rq->caller_gone)
		log_event(EV_CALLER_LEFT, "request=" STR_FMT,
			  STR_ARG(s->rq->id));
	relay_close(s->relay);
	g_string_free(s->out, TRUE);
	request_free(s->rq);
	g_free(s);
}

/*
 * Name the target that now has the chat's prefix, for the caller's next turn.
 */
static void put_hint(const struct target *t, struct _u_response *r)
{
	struct hint h = {.target = t->id, .at_ms = time_now_ms()};
	char text[HINT_SIZE];

	hint_encode(&h, text);
	u_map_put(r->map_header, "Ramp-Hint", text);
}

static void put_resume_headers(struct request *rq, const struct target *t,
			       struct _u_response *r)
{
	u_map_put(r->map_header, "Ramp-Request", rq->id.data);
	u_map_put(r->map_header, "Ramp-Resume", make_resume_token(rq, t));
}

int answer_stream(struct request *rq, struct relay *rl, struct _u_response *r)
{
	struct stream *s = g_new0(struct stream, 1);

	s->rq = rq;
	s->relay = rl;
	s->announced = relay_target(rl);
	s->out = g_string_new(NULL);
	u_map_put(r->map_header, "Content-Type", "text/event-stream");
	put_resume_headers(rq, relay_target(rl), r);
	put_hint(relay_target(rl), r);
	ulfius_set_stream_response(r, 200, read_stream, close_stream,
				   U_STREAM_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
				   s);
	return U_CALLBACK_COMPLETE;
}

/* Append a chunk's text to the answer and keep the chunk as the last one. */
static void append_chunk(GString *text, json_t **last,
			 const struct sse_event *e)
{
	json_t *chunk = json_loadb(e->data.data, e->data.len, 0, NULL);
	const json_t *choice =
		json_array_get(json_object_get(chunk, "choices"), 0);
	const char *s = json_string_value(
		json_object_get(json_object_get(choice, "delta"), "content"));

	if (s)
		g_string_append(text, s);
	json_decref(*last);
	*last = chunk;
}

static json_t *whole_answer(const GString *text, const json_t *last)
{
	const json_t *choice =
		json_array_get(json_object_get(last, "choices"), 0);
	json_t *usage = json_object_get(last, "usage");

	return json_pack(
		"{s:O*,s:s,s:O*,s:O*,s:[{s:i,s:{s:s,s:s},s:O*}],"
		"s:O*}",
		"id", json_object_get(last, "id"), "object", "chat.completion",
		"created", json_object_get(last, "created"), "model",
		json_object_get(last, "model"), "choices", "index", 0,
		"message", "role", "assistant", "content", text->str,
		"finish_reason", json_object_get(choice, "finish_reason"),
		"usage", usage);
}

static int answer_whole(struct request *rq, struct relay *rl,
			struct _u_response *r)
{
	GString *text = g_string_new(NULL);
	json_t *last = NULL;
	struct sse_event e;
	enum ramp_error err;
	bool ended = false;

	while ((err = relay_next(rl, &e, &ended)) == RAMP_OK && !ended) {
		if (e.data.data)
			append_chunk(text, &last, &e);
	}
	relay_close(rl);
	if (err != RAMP_OK) {
		request_refuse(rq, r, err, NULL);
	} else {
		claims_end(rq, RAMP_OK, &unstored_answer);
		request_count_outcome(OUTCOME_COMPLETE);
		u_map_put(r->map_header, "Ramp-Outcome",
			  outcome_name(OUTCOME_COMPLETE));
		u_map_put(r->map_header, "Ramp-Request", rq->id.data);
		put_hint(relay_target(rl), r);
		answer_json(r, 200, whole_answer(text, last));
	}
	json_decref(last);
	g_string_free(text, TRUE);
	request_free(rq);
	return U_CALLBACK_COMPLETE;
}

/*
 * Read the body: the service, the estimated work, and the body for the target.
 * On an error *why is the detail for the caller.
 */
static enum ramp_error read_chat(struct request *rq, const struct _u_request *q,
				 const char **why)
{
	json_error_t at;
	json_t *body = json_loadb(q->binary_body ? q->binary_body : "",
				  q->binary_body_length, 0, &at);

	*why = body ? check_body(body) : talloc_strdup(rq->arena, at.text);
	if (*why) {
		json_decref(body);
		return RAMP_ERR_BAD_REQUEST;
	}
	if (!request_resolve_service(
		    rq, json_string_value(json_object_get(body, "model"))) ||
	    rq->service->kind != SERVICE_MODEL) {
		json_decref(body);
		*why = "no such model service";
		return RAMP_ERR_NOT_FOUND;
	}
	rq->stream = json_is_true(json_object_get(body, "stream"));
	rq->work = estimate_work(body, rq->owner->organisation->name, rq->chat);
	chat_faults_set_parts(rq, body);
	set_target_body(rq, body);
	json_decref(body);
	return RAMP_OK;
}

/*
 * Claim the chat if the service's calls must not be repeated.
 *
 * Return: RAMP_OK, or the error to refuse it with. *stored is set when the chat
 * has already run and r holds its answer.
 */
static enum ramp_error claim_chat(struct request *rq,
				  const struct _u_request *q,
				  struct _u_response *r, bool *stored)
{
	struct claim_answer a;
	enum ramp_error e;

	if (rq->service->idempotent)
		return RAMP_OK;
	e = claims_begin(rq, q, "chat", stored, &a);
	if (e == RAMP_OK && *stored)
		claims_replay_answer(rq, r, &a);
	return e;
}

int on_chat(const struct _u_request *q, struct _u_response *r, void *node)
{
	const char *why = NULL;
	struct request *rq;
	struct relay *rl;
	bool stored = false;
	enum ramp_error e = request_begin(node, q, &rq);

	if (e == RAMP_OK)
		e = read_chat(rq, q, &why);
	if (e == RAMP_OK)
		e = limits_acquire(rq);
	if (e == RAMP_OK)
		e = claim_chat(rq, q, r, &stored);
	if (e == RAMP_OK && stored) {
		request_count_outcome(OUTCOME_COMPLETE);
		request_free(rq);
		return U_CALLBACK_COMPLETE;
	}
	if (e == RAMP_OK)
		e = chat_faults_check(rq);
	if (e == RAMP_OK)
		e = dispatch(rq, &rl);
	if (e != RAMP_OK) {
		request_refuse(rq, r, e, why);
		request_free(rq);
		return U_CALLBACK_COMPLETE;
	}
	return rq->stream ? answer_stream(rq, rl, r) : answer_whole(rq, rl, r);
}
