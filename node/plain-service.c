/*
 * Calls to plain services, under /v1/services/:service, which are answered as a
 * whole. Runs on the thread of the caller's connection.
 */
#include <string.h>
#include <talloc.h>

#include "node/claims.h"
#include "node/limits.h"

#define CONNECT_TIMEOUT_MS 500
#define ATTEMPTS_MAX       3

/* Return whether HTTP defines the method as idempotent. */
static bool is_idempotent_method(const char *m)
{
	return !strcmp(m, "GET") || !strcmp(m, "HEAD") || !strcmp(m, "PUT") ||
	       !strcmp(m, "DELETE");
}

#define PATH_PREFIX "/v1/services/"

static const char *path_after_service(const struct _u_request *q)
{
	const char *p = strstr(q->http_url, PATH_PREFIX);

	p = p ? strchr(p + strlen(PATH_PREFIX), '/') : NULL;
	return p ? p : "/";
}

/*
 * Return whether a server may write the status without reading a request, as
 * on a connection that was idle for long, or write it for a request once more.
 */
static bool is_refusal(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/*
 * What a whole answer says. Services need not name the request, but one that
 * names another, or a refusal that may be of another, says nothing of this one.
 */
static enum ramp_error judge_answer(const struct request *rq,
				    const struct http_call *p)
{
	int status = http_call_status(p);

	if ((is_refusal(status) || http_call_header(p, "Request-Id")) &&
	    http_call_is_foreign(p, "Request-Id", rq->id)) {
		metric_add(M_ANSWERS_CROSSED_TOTAL, 1);
		return RAMP_ERR_OUTCOME_UNKNOWN;
	}
	/* By contract 503 says that nothing ran; what others say is passed on.
	 */
	return status == 503 ? RAMP_ERR_OVERLOADED : RAMP_OK;
}

/* Wait until the whole answer has arrived. */
static enum ramp_error read_answer(struct request *rq, struct http_call *p)
{
	enum http_call_event ev;

	while ((ev = http_call_wait_more(p, request_deadline_mono_ms(rq))) ==
	       HTTP_CALL_DATA)
		;
	if (ev == HTTP_CALL_END)
		return judge_answer(rq, p);
	if (!http_call_maybe_sent(p))
		return RAMP_ERR_NO_TARGET;
	return ev == HTTP_CALL_TIMEOUT ? RAMP_ERR_TIMED_OUT
				       : RAMP_ERR_OUTCOME_UNKNOWN;
}

static const char *const *target_headers(struct request *rq,
					 const struct _u_request *q)
{
	const char *type = u_map_get_case(q->map_header, "Content-Type");
	const char **h = talloc_zero_array(rq->arena, const char *, 4);

	h[0] = talloc_asprintf(rq->arena, "Content-Type: %s",
			       type ? type : "application/octet-stream");
	h[1] = talloc_asprintf(rq->arena, "Request-Id: " STR_FMT,
			       STR_ARG(rq->id));
	if (rq->key.len)
		h[2] = talloc_asprintf(rq->arena, "Idempotency-Key: " STR_FMT,
				       STR_ARG(rq->key));
	return h;
}

/*
 * Send a call. Only an idempotent one uses a pooled connection. As such a
 * connection may be dead without an error, the call is repeated on a new one
 * after streams.silence without headers.
 */
static struct http_call *send_call(struct request *rq, struct http_request *pq)
{
	int64_t silence_until_ms =
		time_mono_ms() + rq->node->set.streams_silence_ms;
	struct http_call *p = http_call_open(pq);

	if (pq->fresh ||
	    http_call_wait_headers(p, silence_until_ms) != HTTP_CALL_TIMEOUT)
		return p;
	http_call_close(p);
	pq->fresh = true;
	return http_call_open(pq);
}

static void put_answer(struct request *rq, struct http_call *p,
		       struct _u_response *r)
{
	const char *type = http_call_header(p, "Content-Type");
	GByteArray *all = http_call_unread(p);
	struct claim_answer a = {
		http_call_status(p), type, {(char *)all->data, all->len}, true};

	claims_end(rq, RAMP_OK, &a);
	if (type)
		u_map_put(r->map_header, "Content-Type", type);
	answer_bytes(r, a.status, a.body);
}

static enum ramp_error call_target(struct request *rq,
				   const struct _u_request *q, bool idempotent,
				   const struct target *t,
				   struct _u_response *r)
{
	char *url = talloc_asprintf(rq->arena, "http://%s%s", t->address,
				    path_after_service(q));
	struct http_request pq = {.method = q->http_verb,
				  .url = url,
				  .headers = target_headers(rq, q),
				  .body = rq->body,
				  .connect_timeout_ms = CONNECT_TIMEOUT_MS,
				  .fresh = !idempotent};
	struct http_call *p = send_call(rq, &pq);
	enum ramp_error e = read_answer(rq, p);

	/* A pooled connection may hold the rest of an earlier answer. */
	if (e == RAMP_ERR_OUTCOME_UNKNOWN && !pq.fresh) {
		http_call_close(p);
		pq.fresh = true;
		p = http_call_open(&pq);
		e = read_answer(rq, p);
	}
	if (e == RAMP_OK)
		put_answer(rq, p, r);
	http_call_close(p);
	return e;
}

/* Try the targets in order of preference while that is safe. */
static enum ramp_error call_targets(struct request *rq,
				    const struct _u_request *q, bool idempotent,
				    struct _u_response *r)
{
	enum ramp_error e = RAMP_ERR_NO_TARGET;
	bool may_have_run = false;
	size_t n;
	const struct target **targets = dispatch_rank_targets(rq, &n);

	for (size_t i = 0; i < n && i < ATTEMPTS_MAX; i++) {
		if (i)
			metric_add(M_RETRIES_TOTAL, 1);
		e = call_target(rq, q, idempotent, targets[i], r);
		may_have_run |= error_responses[e].outcome != OUTCOME_NOT_RUN;
		if (e == RAMP_OK || e == RAMP_ERR_TIMED_OUT ||
		    (!idempotent &&
		     error_responses[e].outcome != OUTCOME_NOT_RUN))
			return e;
	}
	/* That the last one has refused says nothing of those before. */
	return may_have_run ? RAMP_ERR_OUTCOME_UNKNOWN : e;
}

/* Run a call that must not be repeated, which needs a claim. */
static enum ramp_error call_with_claim(struct request *rq,
				       const struct _u_request *q,
				       struct _u_response *r)
{
	const char *operation = talloc_asprintf(
		rq->arena, "%s %s", q->http_verb, path_after_service(q));
	struct claim_answer a;
	bool stored;
	enum ramp_error e = claims_begin(rq, q, operation, &stored, &a);

	if (rq->key.len)
		u_map_put(r->map_header, "Idempotency-Key", rq->key.data);
	if (e != RAMP_OK)
		return e;
	if (!stored)
		return call_targets(rq, q, false, r);
	claims_replay_answer(rq, r, &a);
	return RAMP_OK;
}

static enum ramp_error call_service(struct request *rq,
				    const struct _u_request *q,
				    struct _u_response *r)
{
	rq->body = (struct str){q->binary_body, q->binary_body_length};
	if (rq->service->idempotent || is_idempotent_method(q->http_verb))
		return call_targets(rq, q, true, r);
	return call_with_claim(rq, q, r);
}

int on_plain(const struct _u_request *q, struct _u_response *r, void *node)
{
	struct request *rq;
	enum ramp_error e = request_begin(node, q, &rq);

	if (e == RAMP_OK &&
	    (!request_resolve_service(rq, u_map_get(q->map_url, "service")) ||
	     rq->service->kind != SERVICE_PLAIN))
		e = RAMP_ERR_NOT_FOUND;
	if (e == RAMP_OK)
		e = limits_acquire(rq);
	if (e == RAMP_OK)
		e = call_service(rq, q, r);
	if (e == RAMP_OK) {
		request_count_outcome(OUTCOME_COMPLETE);
		u_map_put(r->map_header, "Ramp-Outcome",
			  outcome_name(OUTCOME_COMPLETE));
	} else {
		request_refuse(rq, r, e, NULL);
	}
	request_free(rq);
	return U_CALLBACK_COMPLETE;
}
