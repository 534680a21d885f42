/*
 * Forwarding of chat requests between nodes: the entry sends a request to the
 * node that admits to the target, which admits it and streams the target's
 * answer back unchanged.
 */
#include "node/forward.h"

#include <string.h>
#include <talloc.h>

#include "node/peer-api.h"

#define CONNECT_TIMEOUT_MS 500
/* Wait for the target's headers; after it the answer begins without them. */
#define HEADERS_TIMEOUT_MS     500
#define STREAM_BLOCK_BYTES     4096
#define SILENCE_TIMEOUT_FACTOR 3 /* the entry's stall timeout is shorter */

/* Headers of the calls between nodes. */
#define HDR_POOL         "Ramp-Pool"
#define HDR_ORGANISATION "Ramp-Organisation"
#define HDR_WEIGHT       "Ramp-Weight"
#define HDR_WORK         "Ramp-Work"
#define HDR_REUSE        "Ramp-Reuse"
#define HDR_REUSE_AGE    "Ramp-Reuse-Age"
#define HDR_FINAL_ROUND  "Ramp-Last"
#define HDR_WAIT_UNTIL   "Ramp-Wait-Until"
#define HDR_EXPIRES_AT   "Ramp-Give-Up-At"
#define HDR_REFUSAL      "Ramp-Refusal"
#define HDR_LOAD         "Ramp-Load"
#define HDR_RETRY_AT     "Ramp-Retry-At"

/* A request that this node forwards to a target. */
struct forwarded_request {
	struct node *node;
	struct fleet *fleet;
	const struct target *target;
	struct admission_grant grant;
	const char *request_id;
	bool is_sound;  /* the target's headers are those of the answer */
	int64_t reused; /* tokens; -1: not reported */
	struct http_call *http_call;
	void *arena;
};

/* Convert between monotonic and wall clock; 0 stands for no time. */
static int64_t to_wall(int64_t mono_ms)
{
	return mono_ms ? mono_ms - time_mono_ms() + time_now_ms() : 0;
}

static int64_t to_mono(int64_t wall_ms)
{
	return wall_ms ? wall_ms - time_now_ms() + time_mono_ms() : 0;
}

static const char *int_header(void *arena, const char *name, int64_t v)
{
	return talloc_asprintf(arena, "%s: %" G_GINT64_FORMAT, name, v);
}

/*
 * Return the headers that carry an admission request to the admitting node.
 * Times are wall clock, as the monotonic clocks of the nodes differ.
 */
static const char *const *admission_headers(const struct request *rq,
					    const struct admission_request *q)
{
	void *arena = rq->arena;
	const char **h = talloc_zero_array(arena, const char *, 10);
	char weight[G_ASCII_DTOSTR_BUF_SIZE];

	g_ascii_dtostr(weight, sizeof(weight), q->weight);
	h[0] = talloc_asprintf(arena, HDR_POOL ": %s", q->pool);
	h[1] = talloc_asprintf(arena, HDR_ORGANISATION ": %s", q->organisation);
	h[2] = talloc_asprintf(arena, HDR_WEIGHT ": %s", weight);
	h[3] = int_header(arena, HDR_WORK, q->work);
	h[4] = int_header(arena, HDR_REUSE, q->reusable_tokens);
	h[5] = int_header(arena, HDR_REUSE_AGE, q->reuse_age_ms);
	h[6] = int_header(arena, HDR_FINAL_ROUND, q->final_round);
	h[7] = int_header(arena, HDR_WAIT_UNTIL, to_wall(q->wait_until_ms));
	h[8] = int_header(arena, HDR_EXPIRES_AT,
			  time_now_ms() + rq->node->set.streams_silence_ms);
	return h;
}

static int64_t answer_header_int(const struct http_call *p, const char *name)
{
	const char *s = http_call_header(p, name);

	return s ? g_ascii_strtoll(s, NULL, 10) : 0;
}

/* Read the admitting node's refusal; called by the relay. */
static void read_refusal(const struct http_call *p, void *ctx)
{
	struct admission_refusal *refusal = ctx;

	if (!http_call_header(p, HDR_REFUSAL))
		return;
	refusal->reason = (enum refusal)answer_header_int(p, HDR_REFUSAL);
	refusal->load = answer_header_int(p, HDR_LOAD);
	refusal->retry_at_ms = to_mono(answer_header_int(p, HDR_RETRY_AT));
}

/*
 * Return whether to send the request directly to the target: the admitting node
 * can't be reached, or it accepted the request and didn't answer, as when its
 * process is frozen, while the target may be healthy. In the second case the
 * work may have run, so the service must be idempotent.
 */
static bool may_bypass_admitter(struct request *rq, enum ramp_error e)
{
	struct health *h = rq->node->health;

	if (e != RAMP_ERR_OUTCOME_UNKNOWN || rq->caller_gone ||
	    !rq->service->idempotent)
		return e == RAMP_ERR_NO_TARGET;
	if (health_retry_delay_ms(h, 1, request_deadline_mono_ms(rq)) < 0)
		return false;
	metric_add(M_RETRIES_TOTAL, 1);
	return true;
}

enum ramp_error forward_request(struct request *rq, const struct peer *p,
				const struct target *t,
				const struct admission_request *admission,
				struct relay **out,
				struct admission_refusal *refusal)
{
	char *path = talloc_asprintf(
		rq->arena, "/internal/targets/%s/v1/chat/completions", t->name);
	char *url = peer_api_signed_url(p->address, path, "0");
	struct forward_hop hop = {.url = url,
				  .headers = admission_headers(rq, admission),
				  .refused = read_refusal,
				  .ctx = refusal};
	enum ramp_error e = relay_open(rq, t, &hop, out);

	metric_add(M_REQUESTS_FORWARDED_TOTAL, 1);
	g_free(url);
	if (refusal->reason != REFUSAL_NONE || !may_bypass_admitter(rq, e))
		return e;
	log_event(EV_ADMITTER_UNREACHABLE, "node=%s target=%s", p->name,
		  t->name);
	return relay_open(rq, t, NULL, out);
}

static const char *header(const struct _u_request *q, const char *name)
{
	const char *s = u_map_get_case(q->map_header, name);

	return s ? s : "";
}

static int64_t header_int(const struct _u_request *q, const char *name)
{
	return g_ascii_strtoll(header(q, name), NULL, 10);
}

static struct admission_request
read_admission_request(const struct _u_request *q, uint64_t id)
{
	return (struct admission_request){
		.pool = header(q, HDR_POOL),
		.organisation = header(q, HDR_ORGANISATION),
		.weight =
			MAX(g_ascii_strtod(header(q, HDR_WEIGHT), NULL), 0.01),
		.target = id,
		.priority = (int)header_int(q, "Priority"),
		.work = header_int(q, HDR_WORK),
		.reusable_tokens = header_int(q, HDR_REUSE),
		.reuse_age_ms = header_int(q, HDR_REUSE_AGE),
		.final_round = header_int(q, HDR_FINAL_ROUND) != 0,
		.deadline_ms = to_mono(header_int(q, "Deadline")),
		.wait_until_ms = to_mono(header_int(q, HDR_WAIT_UNTIL)),
	};
}

static int answer_refusal(struct _u_response *r,
			  const struct admission_refusal *refusal)
{
	char s[24];

	g_snprintf(s, sizeof(s), "%d", (int)refusal->reason);
	u_map_put(r->map_header, HDR_REFUSAL, s);
	g_snprintf(s, sizeof(s), "%" G_GINT64_FORMAT, refusal->load);
	u_map_put(r->map_header, HDR_LOAD, s);
	g_snprintf(s, sizeof(s), "%" G_GINT64_FORMAT,
		   to_wall(refusal->retry_at_ms));
	u_map_put(r->map_header, HDR_RETRY_AT, s);
	return answer_json(r, error_responses[RAMP_ERR_OVERLOADED].http_status,
			   ramp_error_json(RAMP_ERR_OVERLOADED, NULL,
					   to_wall(refusal->retry_at_ms)));
}

static void send_to_target(struct forwarded_request *fr,
			   const struct _u_request *q)
{
	static const char *const names[] = {
		"Request-Id", "Priority", "Deadline", "Reader", "Content-Type"};
	const char *headers[G_N_ELEMENTS(names) + 1] = {0};
	struct http_request pq = {
		.method = "POST",
		.headers = headers,
		.body = {q->binary_body, q->binary_body_length},
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		/*
		 * The request must not be sent twice, so no pooled connection
		 * that libcurl might retry on.
		 */
		.fresh = true};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		headers[i] = talloc_asprintf(fr->arena, "%s: %s", names[i],
					     header(q, names[i]));
	pq.url = talloc_asprintf(fr->arena, "http://%s/v1/chat/completions",
				 fr->target->address);
	fr->http_call = http_call_open(&pq);
	http_call_wait_headers(fr->http_call,
			       time_mono_ms() + HEADERS_TIMEOUT_MS);
}

/*
 * Whether the target's headers are those of the answer. They may come late,
 * when the answer to the entry has begun without them: the body of an error
 * must not follow in it.
 */
static bool is_answer(const struct forwarded_request *fr)
{
	const char *id = http_call_header(fr->http_call, "Request-Id");

	return http_call_status(fr->http_call) == 200 &&
	       !g_strcmp0(id, fr->request_id) &&
	       http_call_is_event_stream(fr->http_call);
}

static ssize_t read_forwarded(void *ctx, uint64_t off, char *buf, size_t max)
{
	struct forwarded_request *fr = ctx;
	GByteArray *b = http_call_unread(fr->http_call);
	int64_t timeout_ms =
		fr->node->set.streams_silence_ms * SILENCE_TIMEOUT_FACTOR;
	enum http_call_event ev =
		http_call_wait(fr->http_call, time_mono_ms() + timeout_ms);
	int64_t reused;
	size_t n;

	(void)off;
	fr->is_sound = fr->is_sound || is_answer(fr);
	if (!fr->is_sound)
		return U_STREAM_ERROR;
	if (ev == HTTP_CALL_END)
		return U_STREAM_END;
	if (ev != HTTP_CALL_DATA)
		return U_STREAM_ERROR;
	reused = admission_parse_reused_tokens(
		(struct str){(char *)b->data, b->len});
	if (reused >= 0)
		fr->reused = reused;
	n = MIN(max, b->len);
	memcpy(buf, b->data, n);
	g_byte_array_remove_range(b, 0, (guint)n);
	return (ssize_t)n;
}

static void close_forwarded(void *ctx)
{
	struct forwarded_request *fr = ctx;

	if (fr->http_call)
		http_call_close(fr->http_call);
	admission_release(fr->node->admission, &fr->grant, fr->reused);
	fleet_unref(fr->fleet);
	node_add_running(fr->node, -1);
	talloc_free(fr->arena);
}

/*
 * Answer when the target refused or could not be reached, so nothing ran. The
 * entry must learn that the target is leaving, or it sends its next requests
 * there as well.
 */
static int answer_not_run(struct forwarded_request *fr, struct _u_response *r)
{
	int status = http_call_status(fr->http_call);
	enum ramp_error e = status ? RAMP_ERR_OVERLOADED : RAMP_ERR_NO_TARGET;

	if (status == 503 &&
	    http_call_header(fr->http_call, HDR_TARGET_LEAVING)) {
		u_map_put(r->map_header, HDR_TARGET_LEAVING, "true");
		node_observe_target(fr->node, fr->target->name,
				    TARGET_REPORTED_LEAVING);
	}
	close_forwarded(fr);
	return answer_json(r, status ? status : error_responses[e].http_status,
			   ramp_error_json(e, NULL, 0));
}

/*
 * Send the admitted request to the target and stream the answer to the entry.
 */
static int stream_answer(struct forwarded_request *fr,
			 const struct _u_request *q, struct _u_response *r)
{
	int status;

	fr->request_id = talloc_strdup(fr->arena, header(q, "Request-Id"));
	send_to_target(fr, q);
	status = http_call_status(fr->http_call);
	if ((!status && !http_call_maybe_sent(fr->http_call)) ||
	    (status && status != 200 &&
	     !http_call_is_foreign(fr->http_call, "Request-Id",
				   str_c(fr->request_id))))
		return answer_not_run(fr, r);
	/*
	 * The entry's relay checks that the answer belongs to the request, and
	 * asks the target for it if this one breaks off.
	 */
	u_map_put(r->map_header, "Request-Id",
		  status ? http_call_header(fr->http_call, "Request-Id")
			 : fr->request_id);
	u_map_put(r->map_header, "Content-Type", "text/event-stream");
	ulfius_set_stream_response(r, 200, read_forwarded, close_forwarded,
				   U_STREAM_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
				   fr);
	return U_CALLBACK_COMPLETE;
}

static char *target_name_from_path(const struct _u_request *q)
{
	static const char start[] = "/internal/targets/";
	const char *p = strstr(q->url_path, start);
	const char *end;

	if (!p)
		return NULL;
	p += strlen(start);
	end = strchr(p, '/');
	return end ? g_strndup(p, (gsize)(end - p)) : NULL;
}

/*
 * Return whether the entry has stopped waiting, as after this process was
 * frozen. Such a request must not begin.
 */
static bool is_expired(const struct _u_request *q)
{
	int64_t expires_ms = header_int(q, HDR_EXPIRES_AT);

	return expires_ms && time_now_ms() >= expires_ms;
}

int on_forward(const struct _u_request *q, struct _u_response *r, void *node)
{
	struct admission_refusal refusal = {.reason = REFUSAL_NOT_OWNER};
	char *name = target_name_from_path(q);
	struct admission_request admission;
	struct forwarded_request *fr;
	void *arena;

	if (!peer_api_is_signed(q)) {
		g_free(name);
		return answer_json(
			r, 403, ramp_error_json(RAMP_ERR_FORBIDDEN, NULL, 0));
	}
	arena = talloc_new(NULL);
	fr = talloc_zero(arena, struct forwarded_request);
	fr->arena = arena;
	fr->node = node;
	fr->reused = -1;
	fr->fleet = node_fleet(node);
	fr->target = fr->fleet && name ? fleet_target(fr->fleet, name) : NULL;
	g_free(name);
	node_add_running(fr->node, 1);
	if (fr->target && !is_expired(q)) {
		admission = read_admission_request(q, fr->target->id);
		if (admission_acquire(fr->node->admission, &admission,
				      &fr->grant, &refusal))
			return stream_answer(fr, q, r);
	}
	close_forwarded(fr);
	return answer_refusal(r, &refusal);
}
