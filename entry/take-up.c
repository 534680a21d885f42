/*
 * A stream that a caller takes up with another attempt goes on at the version
 * of the target's software that began it, at whichever entry.
 */
#include "entry/exchange.h"
#include "entry/origins.h"

bool exchange_is_take_up(const struct exchange *x)
{
	return x->route->stream &&
	       (x->resumes.len ||
		message_header(x->request, x->tr->dialect->last_event).len);
}

void exchange_leave_take_up(struct exchange *x)
{
	if (x->taking_up)
		g_queue_remove(x->tr->taking_up, x);
	x->taking_up = false;
}

/* Return the first of the route's services for which has() holds, or NULL. */
static const struct entry_service *
find_service(const struct exchange *x, uint64_t version,
	     bool (*has)(struct traffic *tr, const struct entry_service *s,
			 uint64_t version))
{
	for (size_t i = 0; i < x->route->destination_count; i++) {
		const struct entry_service *s =
			&x->config->services[x->route->destinations[i].service];

		if (x->route->destinations[i].weight > 0 &&
		    has(x->tr, s, version))
			return s;
	}
	return NULL;
}

const struct entry_service *exchange_version_service(const struct exchange *x,
						     uint64_t version)
{
	const struct entry_service *s =
		find_service(x, version, pool_serves_version);

	/* All may be held back for a time: see begun-wait.c. */
	return s ? s : find_service(x, version, pool_keeps_version);
}

static void log_take_up(const struct exchange *x, uint64_t version,
			const char *result)
{
	int64_t now = time_boot_ms();

	metric_add(M_TAKE_UPS_TOTAL, 1);
	log_event(EV_STREAM_TAKEN_UP,
		  "request=" STR_FMT " resumes=" STR_FMT
		  " result=%s version_id=%" G_GINT64_MODIFIER "x ms=%d",
		  STR_ARG(x->request_id), STR_ARG(x->resumes), result, version,
		  (int)(now - x->arrived_ms));
}

/* Refuse, as the caller would get events that don't fit those it has. */
static void refuse(struct exchange *x, uint64_t version, const char *cause)
{
	log_take_up(x, version, cause);
	metric_add(M_TAKE_UPS_REFUSED_TOTAL, 1);
	x->failure_cause = cause;
	exchange_reply_error(x, RAMP_ERR_NO_TARGET);
}

/* Wait for the other nodes' answers. */
static void await_answers(struct exchange *x)
{
	if (!x->take_up_deadline_ms)
		x->take_up_deadline_ms = time_boot_ms() + ORIGIN_LOOKUP_MS;
	if (!x->taking_up)
		g_queue_push_tail(x->tr->taking_up, x);
	x->taking_up = true;
	exchange_arm_timer(x);
	control_ask_origins(x->tr->e->control);
}

void exchange_take_up(struct exchange *x)
{
	const struct entry_service *s;
	int64_t now = time_boot_ms();
	uint64_t version = 0;
	enum origin_status found = origins_find(
		x->tr->e->origins, x->resumes, x->service->name, now, &version);

	if (found == ORIGIN_ASKED &&
	    (!x->take_up_deadline_ms || now < x->take_up_deadline_ms)) {
		await_answers(x);
		return;
	}
	if (found != ORIGIN_FOUND) {
		refuse(x, version, "version_unknown");
		return;
	}
	exchange_leave_take_up(x);
	s = exchange_version_service(x, version);
	if (!s) {
		refuse(x, version, "version_gone");
		return;
	}
	log_take_up(x, version, "goes_on");
	x->service = s;
	x->version = version;
	exchange_attempt(x);
}

void exchanges_on_origins(struct ev_loop *loop, ev_async *w, int events)
{
	struct traffic *tr = w->data;
	GQueue waiting = *tr->taking_up;
	struct exchange *x;

	(void)loop;
	(void)events;
	/* Those that go on waiting are queued anew. */
	g_queue_init(tr->taking_up);
	while ((x = g_queue_pop_head(&waiting))) {
		x->taking_up = false;
		exchange_take_up(x);
	}
}
