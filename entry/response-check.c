/*
 * Judges the response of a target: whether it is that of the request, whether
 * it may be passed on, and what it says of the target.
 */
#include "entry/brittle.h"
#include "entry/exchange.h"

/* Most requests in 1,000 seconds that a target's limit is taken for. */
#define LIMIT_MAX_PER_1000_S 1000000000

enum response_owner response_owner(struct exchange *x, const struct message *m)
{
	struct str echo = message_header(m, x->tr->dialect->request_id);

	x->foreign_response = echo.len && !str_eq(echo, x->request_id);
	/*
	 * On a kept connection, or behind a response to another request, one
	 * without an id may be of no request, and says nothing of this one,
	 * least of all that it has not run.
	 */
	if (!echo.len && (x->link_reused || x->foreign_seen))
		return OWNER_UNKNOWN;
	if (!x->foreign_response)
		return OWNER_THIS;
	x->foreign_seen = true;
	metric_add(M_ANSWERS_CROSSED_TOTAL, 1);
	log_event(EV_ANSWER_CROSSED,
		  "request=" STR_FMT " target=" STR_FMT " answer_of=" STR_FMT,
		  STR_ARG(x->request_id), STR_ARG(x->target->info.name),
		  STR_ARG(echo));
	/* Nothing follows on a connection that ends with the response. */
	return m->keep_alive ? OWNER_OTHER : OWNER_UNKNOWN;
}

bool response_is_not_run(const struct exchange *x)
{
	int status = x->response->status;

	/* A success that says so contradicts itself. */
	return status == 421 ||
	       (status / 100 != 2 &&
		message_header(x->response, x->tr->dialect->not_run).data);
}

bool response_is_deliverable(const struct exchange *x)
{
	const struct message *m = x->response;

	if (message_header(m, STR_LIT("Content-Encoding")).len)
		return false;
	if (m->status / 100 == 2)
		return message_header(m, x->tr->dialect->signature).len &&
		       !message_header(m, x->tr->dialect->not_run).data;
	/*
	 * Callers take these statuses to mean that the request did not run,
	 * which the target did not state.
	 */
	return m->status != 408 && m->status != 429 && m->status != 503 &&
	       m->status >= 300;
}

bool response_is_stream(const struct exchange *x)
{
	static const struct str stream = STR_LIT("text/event-stream");
	struct str type = message_header(x->response, STR_LIT("Content-Type"));

	type.len = MIN(type.len, stream.len);
	return x->response->status == 200 &&
	       (!type.len || str_eq_nocase(type, stream)) &&
	       message_header(x->response, x->tr->dialect->request_id).len &&
	       response_is_deliverable(x);
}

void response_record_wishes(struct exchange *x)
{
	const struct dialect *d = x->tr->dialect;
	const struct message *m = x->response;
	struct str limit = message_header(m, d->limit);
	struct str brittle = message_header(m, d->brittle);
	struct str wait = message_header(m, STR_LIT("Retry-After"));
	int64_t ms;

	pool_record_load(x->target, message_header(m, d->load));
	if (str_eq(message_header(m, d->leaving), STR_LIT("1")))
		pool_record_leaving(x->target);
	pool_record_limit(x->target,
			  str_parse_milli(limit, LIMIT_MAX_PER_1000_S));
	pool_record_brittle(x->target,
			    str_parse_milli(brittle, LIMIT_MAX_PER_1000_S));
	if (m->status != 503 || !wait.len)
		return;
	ms = str_parse_retry_after(wait, time_now_ms());
	if (ms > 0)
		pool_record_rest(x->target, time_boot_ms() + ms, x->helper);
}
