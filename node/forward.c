#include "node/forward.h"

#include <string.h>
#include <talloc.h>

#include "node/spread.h"

#define CONNECT_MS     500
#define HEADERS_MS     500 /* for the target's; then the answer is begun */
#define BLOCK_BYTES    4096
#define SILENCE_FACTOR 3 /* the entry suspects silence long before */

/* Headers between nodes. */
#define H_POOL         "Ramp-Pool"
#define H_ORGANISATION "Ramp-Organisation"
#define H_WEIGHT       "Ramp-Weight"
#define H_WORK         "Ramp-Work"
#define H_REUSE        "Ramp-Reuse"
#define H_REUSE_AGE    "Ramp-Reuse-Age"
#define H_LAST         "Ramp-Last"
#define H_WAIT         "Ramp-Wait-Until"
#define H_GIVE_UP      "Ramp-Give-Up-At"
#define H_REFUSAL      "Ramp-Refusal"
#define H_LOAD         "Ramp-Load"
#define H_RETRY        "Ramp-Retry-At"

/* One request that passes through this node. */
struct passage {
	struct node *node;
	struct fleet *fleet;
	const struct target *target;
	struct admission_grant grant;
	int64_t reused; /* tokens; -1: not heard of yet */
	struct pull *pull;
	void *arena;
};

/* Monotonic to wall clock and back; each node has its own monotonic one. */
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

static const char *const *headers_for(const struct request *rq,
				      const struct admission_ask *q)
{
	void *arena = rq->arena;
	const char **h = talloc_zero_array(arena, const char *, 10);
	char weight[G_ASCII_DTOSTR_BUF_SIZE];

	g_ascii_dtostr(weight, sizeof(weight), q->weight);
	h[0] = talloc_asprintf(arena, H_POOL ": %s", q->pool);
	h[1] = talloc_asprintf(arena, H_ORGANISATION ": %s", q->organisation);
	h[2] = talloc_asprintf(arena, H_WEIGHT ": %s", weight);
	h[3] = int_header(arena, H_WORK, q->work);
	h[4] = int_header(arena, H_REUSE, q->reuse);
	h[5] = int_header(arena, H_REUSE_AGE, q->reuse_age_ms);
	h[6] = int_header(arena, H_LAST, q->last);
	h[7] = int_header(arena, H_WAIT, to_wall(q->wait_until_ms));
	h[8] = int_header(arena, H_GIVE_UP,
			  time_now_ms() + rq->node->set.streams_silence_ms);
	return h;
}

static int64_t answer_int(const struct pull *p, const char *name)
{
	const char *s = pull_header(p, name);

	return s ? g_ascii_strtoll(s, NULL, 10) : 0;
}

/* Called by the relay with the admitting node's refusal. */
static void read_refusal(const struct pull *p, void *ctx)
{
	struct admission_refusal *no = ctx;

	if (!pull_header(p, H_REFUSAL))
		return;
	no->why = (enum refusal)answer_int(p, H_REFUSAL);
	no->load = answer_int(p, H_LOAD);
	no->retry_at_ms = to_mono(answer_int(p, H_RETRY));
}

/*
 * The node can't be reached, or it took the request and nobody knows of it, as
 * when it is frozen: the target itself may still be well.
 */
static bool goes_straight(struct request *rq, enum ramp_error e)
{
	struct health *h = rq->node->health;

	if (e != RAMP_ERR_OUTCOME_UNKNOWN || rq->gone ||
	    !rq->service->idempotent)
		return e == RAMP_ERR_NO_TARGET;
	if (health_retry(h, 1, request_until(rq)) < 0)
		return false;
	metric_add(M_RETRIES_TOTAL, 1);
	return true;
}

enum ramp_error forward(struct request *rq, const struct peer *p,
			const struct target *t, const struct admission_ask *ask,
			struct relay **out, struct admission_refusal *no)
{
	char *path = talloc_asprintf(
		rq->arena, "/internal/targets/%s/v1/chat/completions", t->name);
	char *url = spread_url(p->address, path, "0");
	struct via via = {.url = url,
			  .headers = headers_for(rq, ask),
			  .refused = read_refusal,
			  .ctx = no};
	enum ramp_error e = relay_open(rq, t, &via, out);

	metric_add(M_REQUESTS_FORWARDED_TOTAL, 1);
	g_free(url);
	if (no->why != REFUSAL_NONE || !goes_straight(rq, e))
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

static struct admission_ask read_ask(const struct _u_request *q, uint64_t id)
{
	return (struct admission_ask){
		.pool = header(q, H_POOL),
		.organisation = header(q, H_ORGANISATION),
		.weight = MAX(g_ascii_strtod(header(q, H_WEIGHT), NULL), 0.01),
		.target = id,
		.priority = (int)header_int(q, "Priority"),
		.work = header_int(q, H_WORK),
		.reuse = header_int(q, H_REUSE),
		.reuse_age_ms = header_int(q, H_REUSE_AGE),
		.last = header_int(q, H_LAST) != 0,
		.deadline_ms = to_mono(header_int(q, "Deadline")),
		.wait_until_ms = to_mono(header_int(q, H_WAIT)),
	};
}

static int refuse(struct _u_response *r, const struct admission_refusal *no)
{
	char s[24];

	g_snprintf(s, sizeof(s), "%d", (int)no->why);
	u_map_put(r->map_header, H_REFUSAL, s);
	g_snprintf(s, sizeof(s), "%" G_GINT64_FORMAT, no->load);
	u_map_put(r->map_header, H_LOAD, s);
	g_snprintf(s, sizeof(s), "%" G_GINT64_FORMAT, to_wall(no->retry_at_ms));
	u_map_put(r->map_header, H_RETRY, s);
	return answer_json(r, error_answers[RAMP_ERR_OVERLOADED].http_status,
			   ramp_error_json(RAMP_ERR_OVERLOADED, NULL,
					   to_wall(no->retry_at_ms)));
}

static void open_target(struct passage *pa, const struct _u_request *q)
{
	static const char *const names[] = {
		"Request-Id", "Priority", "Deadline", "Reader", "Content-Type"};
	const char *headers[G_N_ELEMENTS(names) + 1] = {0};
	struct pull_request pq = {
		.method = "POST",
		.headers = headers,
		.body = {q->binary_body, q->binary_body_length},
		.connect_ms = CONNECT_MS,
		/* The entry may not repeat the request; nor may the pool. */
		.fresh = true};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		headers[i] = talloc_asprintf(pa->arena, "%s: %s", names[i],
					     header(q, names[i]));
	pq.url = talloc_asprintf(pa->arena, "http://%s/v1/chat/completions",
				 pa->target->address);
	pa->pull = pull_open(&pq);
	pull_wait_headers(pa->pull, time_mono_ms() + HEADERS_MS);
}

static ssize_t read_passage(void *ctx, uint64_t off, char *buf, size_t max)
{
	struct passage *pa = ctx;
	GByteArray *b = pull_bytes(pa->pull);
	int64_t silence = pa->node->set.streams_silence_ms * SILENCE_FACTOR;
	enum pull_event ev = pull_wait(pa->pull, time_mono_ms() + silence);
	int64_t reused;
	size_t n;

	(void)off;
	if (ev == PULL_END)
		return U_STREAM_END;
	if (ev != PULL_DATA)
		return U_STREAM_ERROR;
	reused = admission_read_reused((struct str){(char *)b->data, b->len});
	if (reused >= 0)
		pa->reused = reused;
	n = MIN(max, b->len);
	memcpy(buf, b->data, n);
	g_byte_array_remove_range(b, 0, (guint)n);
	return (ssize_t)n;
}

static void close_passage(void *ctx)
{
	struct passage *pa = ctx;

	if (pa->pull)
		pull_close(pa->pull);
	admission_leave(pa->node->admission, &pa->grant, pa->reused);
	fleet_unref(pa->fleet);
	node_count_request(pa->node, -1);
	talloc_free(pa->arena);
}

/* The target refused, or could not be reached: nothing ran. */
static int answer_refused(struct passage *pa, struct _u_response *r)
{
	int status = pull_status(pa->pull);
	enum ramp_error e = status ? RAMP_ERR_OVERLOADED : RAMP_ERR_NO_TARGET;

	close_passage(pa);
	return answer_json(r, status ? status : error_answers[e].http_status,
			   ramp_error_json(e, NULL, 0));
}

static int pass_on(struct passage *pa, const struct _u_request *q,
		   struct _u_response *r)
{
	int status;

	open_target(pa, q);
	status = pull_status(pa->pull);
	if ((!status && !pull_maybe_sent(pa->pull)) ||
	    (status && status != 200))
		return answer_refused(pa, r);
	/* The relay at the entry checks that the answer is the request's. */
	u_map_put(r->map_header, "Request-Id",
		  status ? pull_header(pa->pull, "Request-Id")
			 : header(q, "Request-Id"));
	u_map_put(r->map_header, "Content-Type", "text/event-stream");
	ulfius_set_stream_response(r, 200, read_passage, close_passage,
				   U_STREAM_SIZE_UNKNOWN, BLOCK_BYTES, pa);
	return U_CALLBACK_COMPLETE;
}

static char *target_name(const struct _u_request *q)
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

/* This node was frozen and the entry waits no more: nothing is begun now. */
static bool is_given_up(const struct _u_request *q)
{
	int64_t at = header_int(q, H_GIVE_UP);

	return at && time_now_ms() >= at;
}

int on_forward(const struct _u_request *q, struct _u_response *r, void *node)
{
	struct admission_refusal no = {.why = REFUSAL_NOT_HERE};
	char *name = target_name(q);
	struct admission_ask ask;
	struct passage *pa;
	void *arena;

	if (!spread_is_signed(q)) {
		g_free(name);
		return answer_json(
			r, 403, ramp_error_json(RAMP_ERR_FORBIDDEN, NULL, 0));
	}
	arena = talloc_new(NULL);
	pa = talloc_zero(arena, struct passage);
	pa->arena = arena;
	pa->node = node;
	pa->reused = -1;
	pa->fleet = node_fleet(node);
	pa->target = pa->fleet && name ? fleet_target(pa->fleet, name) : NULL;
	g_free(name);
	node_count_request(pa->node, 1);
	if (pa->target && !is_given_up(q)) {
		ask = read_ask(q, pa->target->id);
		if (admission_enter(pa->node->admission, &ask, &pa->grant, &no))
			return pass_on(pa, q, r);
	}
	close_passage(pa);
	return refuse(r, &no);
}
