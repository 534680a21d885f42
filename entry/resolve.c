/*
 * Looks up a request's route, organisation and service in the configuration,
 * and determines its deadline and the parts of its prompt.
 */
#include <string.h>
#include <talloc.h>

#include "entry/exchange.h"

/* Parse the prompt; placement uses it only if the route says so. */
static void read_prompt(struct exchange *x)
{
	struct str text =
		message_header(x->request, x->tr->dialect->prompt_parts);
	struct prompt prompt;

	if (!text.len)
		return;
	x->parts = talloc_zero(x->arena, struct prompt_parts);
	prompt = prompt_parse(text, x->parts);
	if (x->route->prefix_affinity)
		x->prompt = prompt;
}

/* Return the host without its port, in lower case. */
static struct str normalise_host(void *arena, struct str host)
{
	const char *colon = memchr(host.data, ':', host.len);
	char *lower;

	if (!host.len)
		return host;
	if (colon)
		host.len = (size_t)(colon - host.data);
	lower = talloc_strndup(arena, host.data, host.len);
	for (size_t i = 0; i < host.len; i++)
		lower[i] = g_ascii_tolower(lower[i]);
	return (struct str){lower, host.len};
}

/* Hash what a caller's later attempts and other requests of its have too. */
static uint64_t hash_whole(const struct exchange *x, struct str host)
{
	uint64_t h = str_hash(x->request->method, 0);

	h = str_hash(host, h);
	h = str_hash(x->request->url, h);
	if (x->organisation)
		h = str_hash(x->organisation->name, h);
	return str_hash(x->body, h);
}

/*
 * Pick one of the route's services by weight. The hash of the request id
 * decides, so repeats of a request get the same service, and a stream that is
 * taken up that of the attempt which began it.
 */
static const struct entry_service *pick_service(const struct exchange *x)
{
	const struct route_rule *r = x->route;
	struct str id = x->resumes.len ? x->resumes : x->request_id;
	int64_t at;

	if (!r->destination_count || r->weight_sum <= 0)
		return NULL;
	at = (int64_t)(str_hash(id, 1) % (uint64_t)r->weight_sum);
	for (size_t i = 0; i < r->destination_count; i++) {
		at -= r->destinations[i].weight;
		if (at < 0)
			return &x->config->services[r->destinations[i].service];
	}
	return NULL;
}

enum ramp_error exchange_resolve(struct exchange *x)
{
	const struct dialect *d = x->tr->dialect;
	const struct message *m = x->request;
	struct str host =
		normalise_host(x->arena, message_header(m, STR_LIT("Host")));
	int64_t now = time_boot_ms();
	bool fresh = entry_config_is_valid(x->tr->e, now);
	int64_t wait_ms;

	if (x->tr->leaving_ms && now >= x->tr->refuse_at_ms)
		return RAMP_ERR_LEAVING;
	if (!x->config)
		return RAMP_ERR_NOT_READY;
	if (!m->url.len || m->url.data[0] != '/' || !x->request_id.len)
		return RAMP_ERR_BAD_REQUEST;
	x->route = entry_config_route(x->config, host, url_path(m->url));
	/* A stale configuration proves neither a missing route nor a key. */
	if (!x->route)
		return fresh ? RAMP_ERR_NOT_FOUND : RAMP_ERR_NOT_READY;
	x->organisation =
		entry_config_key_owner(x->config, message_header(m, d->key));
	if (x->config->has_organisations && !x->route->public) {
		if (!fresh)
			return RAMP_ERR_NOT_READY;
		if (!x->organisation)
			return RAMP_ERR_UNAUTHORIZED;
	}
	wait_ms = str_parse_number(message_header(m, d->deadline));
	x->deadline_ms = x->arrived_ms + x->route->timeout_ms;
	if (wait_ms >= 0)
		x->deadline_ms = MIN(x->deadline_ms, x->arrived_ms + wait_ms);
	if (exchange_time_left_ms(x) < ATTEMPT_MIN_MS)
		return RAMP_ERR_OVERLOADED;
	read_prompt(x);
	x->whole = hash_whole(x, host);
	x->service = pick_service(x);
	return x->service ? RAMP_OK : RAMP_ERR_NO_TARGET;
}
