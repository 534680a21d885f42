/*
 * Gathers the figures for the decisions on overload, and keeps the time that
 * requests take. See shed.h.
 */
#include <math.h>
#include <string.h>

#include "entry/shed.h"

/* Interval of observations between requests, while some wait. */
#define OBSERVE_MS 200
/* Age of the sum of load and slots of a service's targets. */
#define ROOM_VALID_MS 20
/* Interval at which unused state is dropped. */
#define SWEEP_MS 60000
/* Most tokens that a header is taken for. */
#define TOKENS_MAX 100000000

/* A service as the configuration in force has it. */
struct shed_service {
	struct overload_service rules;
	const struct entry_service *service; /* of the configuration */
	struct service_room room;
	int64_t room_ms; /* when it was summed; 0: never */
	bool observed;   /* requests wait, or did until recently */
};

struct shed {
	struct traffic *tr;
	struct overload *overload;
	struct entry_config *config;   /* to which the services belong */
	struct shed_service *services; /* as in the configuration */
	ev_timer observer;
	int64_t swept_ms;
};

static double random_double(void *ctx)
{
	return g_rand_double(ctx);
}

/* Add a route to the rules of a service to which it leads. */
static void add_route(struct overload_service *s, const struct route_rule *r)
{
	if (!s->latency_target_ms ||
	    r->latency_target_ms < s->latency_target_ms)
		s->latency_target_ms = r->latency_target_ms;
	s->priorities |= 1U << CLAMP(r->priority, 0, PRIORITY_COUNT - 1);
}

/* Return the priorities that organisations have instead of the routes'. */
static unsigned organisation_priorities(const struct entry_config *c)
{
	GHashTableIter it;
	gpointer v;
	unsigned bits = 0;

	g_hash_table_iter_init(&it, c->keys);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct entry_organisation *o = v;

		if (o->priority >= 0)
			bits |= 1U << MIN(o->priority, PRIORITY_COUNT - 1);
	}
	return bits;
}

/* Take over the services of another configuration. */
static void set_config(struct shed *s, struct entry_config *c)
{
	unsigned priorities = organisation_priorities(c);

	entry_config_unref(s->config);
	s->config = entry_config_ref(c);
	g_free(s->services);
	s->services = g_new0(struct shed_service, c->service_count + 1);
	for (size_t i = 0; i < c->service_count; i++) {
		struct shed_service *v = &s->services[i];

		v->service = &c->services[i];
		v->rules.id = str_hash(c->services[i].name, 0);
		v->rules.priorities = priorities;
		v->rules.ordered = c->services[i].model;
	}
	for (size_t i = 0; i < c->route_count; i++)
		for (size_t k = 0; k < c->routes[i].destination_count; k++) {
			const struct route_destination *d =
				&c->routes[i].destinations[k];

			if (d->weight > 0)
				add_route(&s->services[d->service].rules,
					  &c->routes[i]);
		}
}

/* Return the time since another node has reported its load. */
static int64_t load_age_ms(const struct traffic *tr, int64_t now_ms)
{
	int64_t newest_ms = loads_newest_ms(tr->e->loads);

	/* A node alone knows all requests itself. */
	if (!tr->peers || tr->peers->n <= 1)
		return 0;
	return newest_ms ? now_ms - newest_ms : INT64_MAX;
}

static struct overload_view view_of(struct shed *s, struct shed_service *v,
				    int64_t now_ms)
{
	if (!v->room_ms || now_ms - v->room_ms >= ROOM_VALID_MS) {
		v->room = pool_service_room(s->tr, v->service, now_ms);
		v->room_ms = now_ms;
	}
	return (struct overload_view){
		.load = v->room.load,
		.slots = v->room.slots,
		.unbounded = v->room.slotless > 0,
		.load_age_ms = load_age_ms(s->tr, now_ms),
	};
}

/* Observe the services of which requests wait. */
static void on_observe(struct ev_loop *loop, ev_timer *w, int events)
{
	struct shed *s = w->data;
	int64_t now = time_boot_ms();
	bool any = false;

	(void)events;
	for (size_t i = 0; s->config && i < s->config->service_count; i++) {
		struct shed_service *v = &s->services[i];
		struct overload_view view;

		if (!v->observed)
			continue;
		view = view_of(s, v, now);
		v->observed =
			overload_observe(s->overload, &v->rules, &view, now);
		any |= v->observed;
	}
	if (!any)
		ev_timer_stop(loop, w);
}

struct shed *shed_new(struct traffic *tr)
{
	struct shed *s;

	if (!tr->settings->overload_shed)
		return NULL;
	s = g_new0(struct shed, 1);
	s->tr = tr;
	s->overload =
		overload_new(tr->settings->overload_interval_ms,
			     (struct route_random){random_double, tr->rand});
	ev_timer_init(&s->observer, on_observe, OBSERVE_MS / 1000.0,
		      OBSERVE_MS / 1000.0);
	s->observer.data = s;
	return s;
}

void shed_free(struct shed *s)
{
	if (!s)
		return;
	ev_timer_stop(s->tr->loop, &s->observer);
	overload_free(s->overload);
	entry_config_unref(s->config);
	g_free(s->services);
	g_free(s);
}

/* Parse the numbers of a list separated by commas; return how many. */
static size_t parse_tokens(struct str text, double *out, size_t max)
{
	size_t n = 0;

	while (text.len && n < max) {
		const char *comma = memchr(text.data, ',', text.len);
		size_t len = comma ? (size_t)(comma - text.data) : text.len;
		struct str item = {text.data, len};
		int64_t v;

		while (item.len && item.data[0] == ' ') {
			item.data++;
			item.len--;
		}
		v = str_parse_number(item);
		if (v < 0 || v > TOKENS_MAX)
			return 0;
		out[n++] = (double)v;
		if (!comma)
			break;
		text.data += len + 1;
		text.len -= len + 1;
	}
	return n;
}

double shed_tokens(struct str usage, struct str hint)
{
	double v[2], output;

	if (parse_tokens(usage, v, 2) != 2)
		return -1;
	/* Most requests need far less output than the most they allow. */
	if (parse_tokens(hint, &output, 1) == 1)
		v[1] = MIN(v[1], output);
	return v[0] + v[1];
}

static struct overload_request describe(const struct exchange *x)
{
	const struct dialect *d = x->tr->dialect;

	return (struct overload_request){
		.route = str_hash(x->route->name, 0),
		.organisation = x->organisation
					? str_hash(x->organisation->name, 0)
					: 0,
		.priority = exchange_priority(x),
		.deadline_ms = x->deadline_ms,
		.latency_target_ms = x->route->latency_target_ms,
		.tokens =
			shed_tokens(message_header(x->request, d->token_usage),
				    message_header(x->request, d->length_hint)),
	};
}

static void refuse(struct exchange *x, const struct overload_verdict *v,
		   const struct overload_view *view)
{
	static const struct {
		const char *cause;
		int metric;
	} reasons[] = {
		[OVERLOAD_DEADLINE] = {"overload_deadline",
				       M_OVERLOAD_DEADLINE_REFUSALS_TOTAL},
		[OVERLOAD_RANK] = {"overload_rank",
				   M_OVERLOAD_RANK_REFUSALS_TOTAL},
	};

	metric_add(reasons[v->reason].metric, 1);
	x->failure_cause = reasons[v->reason].cause;
	x->shed_retry_after_ms = v->retry_after_ms;
	log_event(
		EV_REQUEST_SHED,
		"request=" STR_FMT " service=" STR_FMT " route=" STR_FMT
		" organisation=" STR_FMT
		" cause=%s priority=%d wait_ms=%d limit_ms=%d load=%.0f "
		"slots=%.0f load_age_ms=%d left_ms=%d retry_after_ms=%d",
		STR_ARG(x->request_id), STR_ARG(x->service->name),
		STR_ARG(x->route->name),
		STR_ARG(x->organisation ? x->organisation->name : STR_LIT("-")),
		reasons[v->reason].cause, exchange_priority(x), (int)v->wait_ms,
		(int)v->limit_ms, view->load, view->slots,
		(int)view->load_age_ms, (int)exchange_time_left_ms(x),
		(int)v->retry_after_ms);
	exchange_reply_error(x, RAMP_ERR_OVERLOADED);
}

/* Drop the state of what is no longer used. */
static void sweep(struct shed *s, int64_t now_ms)
{
	if (now_ms - s->swept_ms < SWEEP_MS)
		return;
	s->swept_ms = now_ms;
	overload_sweep(s->overload, now_ms);
}

bool shed_refuse(struct exchange *x)
{
	struct shed *s = x->tr->shed;
	int64_t now = time_boot_ms();
	struct overload_request r;
	struct overload_view view;
	struct overload_verdict v;
	struct shed_service *service;

	if (!s)
		return false;
	if (s->config != x->config)
		set_config(s, x->config);
	service = &s->services[x->service - x->config->services];
	view = view_of(s, service, now);
	r = describe(x);
	v = overload_decide(s->overload, &service->rules, &view, &r, now);
	sweep(s, now);
	if (v.wait_ms > 0) {
		service->observed = true;
		if (!ev_is_active(&s->observer))
			ev_timer_again(s->tr->loop, &s->observer);
	}
	metric_observe(M_OVERLOAD_WAIT_MS, (int64_t)v.wait_ms);
	if (v.reason != OVERLOAD_ADMITTED) {
		refuse(x, &v, &view);
		return true;
	}
	if (v.by_floor)
		metric_add(M_OVERLOAD_FLOOR_ADMISSIONS_TOTAL, 1);
	/* The room is summed anew before its time has passed. */
	service->room.load++;
	x->shed_pressure = v.pressure;
	x->shed_wait_ms = v.wait_ms;
	return false;
}

/* Whether the service's load is over its slots, or may be. */
static bool is_waiting(const struct exchange *x)
{
	struct shed *s = x->tr->shed;
	struct overload_view v;

	if (s->config != x->config)
		return true;
	v = view_of(s, &s->services[x->service - x->config->services],
		    time_boot_ms());
	return v.load > v.slots;
}

/* Whether the first attempt of an admitted request is in progress. */
static bool is_measured(const struct exchange *x)
{
	return x->tr->shed && x->shed_pressure > 0 && x->attempts == 1;
}

void shed_record_begin(struct exchange *x)
{
	struct shed *s = x->tr->shed;
	double usual;

	if (!is_measured(x))
		return;
	x->shed_began_ms = time_boot_ms();
	x->shed_waited = is_waiting(x);
	usual = overload_begin_ms(s->overload, str_hash(x->service->name, 0),
				  str_hash(x->route->name, 0));
	if (usual >= 0)
		metric_observe(
			M_OVERLOAD_ERROR_MS,
			(int64_t)fabs((double)(x->shed_began_ms - x->sent_ms) -
				      usual - x->shed_wait_ms));
}

void shed_record_end(const struct exchange *x)
{
	struct overload_run run = {
		.pressure = x->shed_pressure,
		.waited = x->shed_waited,
		.began_after_ms = x->shed_began_ms - x->sent_ms,
	};
	int64_t now = time_boot_ms();

	if (!is_measured(x) || !x->shed_began_ms)
		return;
	run.ended_after_ms = now - x->sent_ms;
	overload_record_run(x->tr->shed->overload,
			    str_hash(x->service->name, 0),
			    str_hash(x->route->name, 0), &run, now);
}
