/*
 * Caller requests: begin, refuse and free them, and read the headers that all
 * requests have. Runs on the thread of the caller's connection.
 */
#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "node/claims.h"
#include "node/limits.h"

#define REQUEST_ID_BYTES    16
#define RETRY_AFTER_MEAN_MS 1000 /* jitter of half to both sides */

static const char *header(const struct _u_request *q, const char *name)
{
	return u_map_get_case(q->map_header, name);
}

static const struct key_owner *authenticate(const struct request *rq,
					    const struct _u_request *q)
{
	const char *h = header(q, "Authorization");

	if (!h || !g_str_has_prefix(h, "Bearer "))
		return NULL;
	return config_key_owner(rq->config, str_c(h + strlen("Bearer ")));
}

static struct str new_request_id(void *arena)
{
	unsigned char raw[REQUEST_ID_BYTES];
	char hex[REQUEST_ID_BYTES * 2 + 1];

	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(hex, sizeof(hex), raw, sizeof(raw));
	return str_dup(arena, str_c(hex));
}

/*
 * Read Ramp-Deadline, a wall-clock time in ms, at most limits.request from now.
 */
static bool read_deadline(struct request *rq, const struct _u_request *q)
{
	const char *h = header(q, "Ramp-Deadline");
	int64_t latest = time_now_ms() + rq->node->set.limits_request_ms;
	char *end;

	rq->deadline_ms = latest;
	if (!h)
		return true;
	rq->deadline_ms = MIN(g_ascii_strtoll(h, &end, 10), latest);
	return end != h && !*end;
}

/*
 * Read the hint that an earlier answer gave the caller; ignore a malformed one.
 */
static void read_hint(struct request *rq, const struct _u_request *q)
{
	const char *h = header(q, "Ramp-Hint");

	if (!h || !hint_decode(h, strlen(h), &rq->hint))
		rq->hint = (struct hint){0};
}

enum ramp_error request_begin(struct node *n, const struct _u_request *q,
			      struct request **out)
{
	void *arena = talloc_new(NULL);
	struct request *rq = talloc_zero(arena, struct request);

	node_add_running(n, 1);
	metric_add(M_REQUESTS_TOTAL, 1);
	*out = rq;
	rq->arena = arena;
	rq->reused_tokens = -1;
	rq->node = n;
	rq->caller_fd = server_connection_fd();
	rq->id = new_request_id(arena);
	rq->config = node_config(n);
	rq->fleet = node_fleet(n);
	if (!rq->config || !rq->fleet)
		return RAMP_ERR_NOT_READY;
	rq->owner = authenticate(rq, q);
	if (!rq->owner)
		return RAMP_ERR_UNAUTHORIZED;
	if ((int64_t)q->binary_body_length > n->set.limits_body)
		return RAMP_ERR_TOO_LARGE;
	if (!read_deadline(rq, q))
		return RAMP_ERR_BAD_REQUEST;
	if (rq->deadline_ms <= time_now_ms())
		return RAMP_ERR_DEADLINE_PASSED;
	rq->key = str_dup(arena, str_c(header(q, "Idempotency-Key")));
	if (header(q, "Ramp-Chat"))
		rq->chat = talloc_strdup(arena, header(q, "Ramp-Chat"));
	read_hint(rq, q);
	return RAMP_OK;
}

void request_free(struct request *rq)
{
	struct node *n = rq->node;

	claims_end(rq, RAMP_ERR_OUTCOME_UNKNOWN, NULL);
	admission_release(n->admission, &rq->grant, rq->reused_tokens);
	limits_release(rq);
	config_unref(rq->config);
	fleet_unref(rq->fleet);
	talloc_free(rq->arena);
	node_add_running(n, -1);
}

void request_count_outcome(enum outcome o)
{
	static const enum metric_id ids[] = {
		[OUTCOME_COMPLETE] = M_ANSWERS_COMPLETE_TOTAL,
		[OUTCOME_NOT_RUN] = M_ANSWERS_NOT_RUN_TOTAL,
		[OUTCOME_FAILED] = M_ANSWERS_FAILED_TOTAL,
		[OUTCOME_UNKNOWN] = M_ANSWERS_UNKNOWN_TOTAL,
	};

	metric_add(ids[o], 1);
}

/* Refusing to resume an answer doesn't mean that its work has not run. */
static enum outcome refusal_outcome(const struct request *rq,
				    const struct error_response *a)
{
	if (rq->is_resume && a->outcome == OUTCOME_NOT_RUN)
		return OUTCOME_UNKNOWN;
	return a->outcome;
}

/* Add jitter, so that callers refused together don't retry together. */
static int64_t retry_after_ms(const struct request *rq, enum ramp_error e)
{
	int64_t remaining_ms = rq->retry_at_ms - time_now_ms();

	/* No earlier request with the message is served. */
	if (e == RAMP_ERR_PROMPT_BLOCKED)
		return CAUSE_BLOCK_IDLE_MS;
	if (remaining_ms > 0)
		return remaining_ms;
	return RETRY_AFTER_MEAN_MS / 2 +
	       (int64_t)(str_hash(rq->id, 0) % RETRY_AFTER_MEAN_MS);
}

int request_refuse(struct request *rq, struct _u_response *r, enum ramp_error e,
		   const char *detail)
{
	const struct error_response *a = &error_responses[e];
	enum outcome o = refusal_outcome(rq, a);
	int64_t after_ms = a->retry ? retry_after_ms(rq, e) : 0;
	json_t *j = ramp_error_json(e, detail,
				    a->retry ? time_now_ms() + after_ms : 0);

	claims_end(rq, e, NULL);
	request_count_outcome(o);
	log_event(o == OUTCOME_NOT_RUN ? EV_REQUEST_REFUSED : EV_REQUEST_FAILED,
		  "request=" STR_FMT " error=%s outcome=%s", STR_ARG(rq->id),
		  a->name, outcome_name(o));
	json_object_set_new(json_object_get(j, "error"), "outcome",
			    json_string(outcome_name(o)));
	u_map_put(r->map_header, "Ramp-Outcome", outcome_name(o));
	if (a->retry) {
		char s[24];

		g_snprintf(s, sizeof(s), "%d", (int)(after_ms + 999) / 1000);
		u_map_put(r->map_header, "Retry-After", s);
	}
	return answer_json(r, a->http_status, j);
}

bool request_resolve_service(struct request *rq, const char *service)
{
	rq->service = config_service(rq->config, service);
	if (!rq->service)
		return false;
	rq->intent = config_intent(rq->config, service,
				   rq->owner->organisation->name);
	rq->priority = rq->intent ? rq->intent->priority : 0;
	return true;
}

int64_t request_deadline_mono_ms(const struct request *rq)
{
	return time_mono_ms() + rq->deadline_ms - time_now_ms();
}
