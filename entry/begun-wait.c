/*
 * How an exchange whose caller has a part of the answer waits for a target, or
 * for room in the retry budget. See begun-queue.h.
 */
#include <talloc.h>

#include "entry/exchange.h"

bool exchange_is_begun(const struct exchange *x)
{
	return x->head_sent || exchange_is_take_up(x);
}

int exchange_rank(const struct exchange *x)
{
	return rank_of(exchange_is_begun(x), exchange_priority(x));
}

static void log_wait(const struct exchange *x, const char *result)
{
	int64_t ms = time_boot_ms() - x->wait.since_ms;

	metric_observe(M_BEGUN_WAIT_MS, ms);
	log_event(EV_BEGUN_WAITED,
		  "request=" STR_FMT " service=" STR_FMT
		  " for=%s ms=%d result=%s left_ms=%d",
		  STR_ARG(x->request_id), STR_ARG(x->service->name),
		  begun_causes_text(x->arena, x->wait.causes), (int)ms, result,
		  (int)exchange_time_left_ms(x));
}

void exchange_end_wait(struct exchange *x, const char *result)
{
	if (!x->wait.since_ms)
		return;
	begun_queue_leave(x->tr->begun, &x->wait);
	log_wait(x, result);
	x->wait.since_ms = 0;
	x->wait.causes = 0;
}

/*
 * Whether the caller may still use the service: its key may have been taken
 * away during the wait, or the configuration be too old to tell.
 */
static bool is_allowed(const struct exchange *x)
{
	struct str key = message_header(x->request, x->tr->dialect->key);
	const struct entry_organisation *o;

	if (!x->config->has_organisations || x->route->public)
		return true;
	if (!entry_config_is_valid(x->tr->e, time_boot_ms()))
		return false;
	o = entry_config_key_owner(x->tr->config, key);
	return o && str_eq(o->name, x->organisation->name);
}

/* Whether the service is in the configuration that is now in force. */
static bool is_declared(const struct exchange *x)
{
	const struct entry_config *c = x->tr->config;

	for (size_t i = 0; i < c->service_count; i++)
		if (str_eq(c->services[i].name, x->service->name))
			return true;
	return false;
}

static void refuse(struct exchange *x, const char *result, enum ramp_error kind)
{
	exchange_end_wait(x, result);
	x->all_resting = true;
	if (x->possible_runs)
		exchange_fail(x);
	else
		exchange_reply_error(x, kind);
}

static void on_refuse(struct begun_wait *w)
{
	struct exchange *x = w->owner;

	x->failure_cause = w->awaits_retry ? "no_retry_budget" : "no_target";
	refuse(x, "refused", RAMP_ERR_NO_TARGET);
}

static void on_attempt(struct begun_wait *w)
{
	struct exchange *x = w->owner;

	if (!is_allowed(x)) {
		x->failure_cause = "key_withdrawn";
		refuse(x, "not_allowed", RAMP_ERR_UNAUTHORIZED);
		return;
	}
	if (!is_declared(x)) {
		x->failure_cause = "no_service";
		refuse(x, "no_service", RAMP_ERR_NO_TARGET);
		return;
	}
	if (!w->awaits_retry) {
		exchange_attempt(x);
		return;
	}
	if (exchange_take_retry(x))
		exchange_begin_retry(x, x->possible_runs > 0);
	else if (!begun_queue_add(x->tr->begun, w, time_boot_ms()))
		on_refuse(w);
}

const struct begun_ops exchange_begun_ops = {on_attempt, on_refuse};

bool exchange_wait_begun(struct exchange *x, bool for_retry)
{
	struct begun_wait *w = &x->wait;

	if (!exchange_is_begun(x))
		return false;
	w->owner = x;
	w->service = x->service;
	w->version = exchange_target_version(x);
	w->deadline_ms = x->deadline_ms;
	w->bytes = x->body.len + talloc_total_size(x->request) +
		   talloc_total_size(x->arena);
	w->awaits_retry = for_retry;
	metric_add(M_BEGUN_WAITS_TOTAL, !w->since_ms);
	if (!begun_queue_add(x->tr->begun, w, time_boot_ms())) {
		exchange_end_wait(x, "refused");
		return false;
	}
	exchange_arm_timer(x);
	return true;
}
