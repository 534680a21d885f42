/*
 * Looks up a request's route, organisation and service in the configuration,
 * and determines its deadline and the parts of its prompt.
 */
#include <string.h>
#include <talloc.h>

#include "entry/exchange.h"

/*
 * Insert a part, which is longer than those so far, at the front. The shortest
 * is dropped when there is no room.
 */
static void prepend_part(struct prompt *p, struct str part)
{
	memmove(&p->parts[1], &p->parts[0],
		(PROMPT_PARTS_MAX - 1) * sizeof(p->parts[0]));
	p->parts[0] = str_hash(part, 0);
	p->part_count = MIN(p->part_count + 1, PROMPT_PARTS_MAX);
}

/*
 * Parse the prompt's parts, a comma-separated list of ID:TOKENS. The last part
 * is the request's own and so not shared. If it is the only one it is used as
 * the key all the same, as later requests of the same chat may begin with it.
 */
static struct prompt parse_prompt(struct str parts)
{
	const char *p = parts.data, *end = parts.data + parts.len;
	struct prompt out = {0};
	struct str last = {NULL, 0};
	int64_t tokens = 0;

	while (p && p < end) {
		const char *comma = memchr(p, ',', (size_t)(end - p));
		const char *stop = comma ? comma : end;
		const char *colon = memchr(p, ':', (size_t)(stop - p));
		int64_t n = 0;

		if (last.len)
			prepend_part(&out, last);
		out.shared_tokens = tokens;
		if (colon)
			n = str_parse_number((struct str){
				colon + 1, (size_t)(stop - colon - 1)});
		last = (struct str){p, (size_t)((colon ? colon : stop) - p)};
		tokens += MAX(n, 0);
		p = stop + 1;
	}
	if (!out.part_count && last.len)
		prepend_part(&out, last);
	return out;
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
	struct str host = message_header(m, STR_LIT("Host"));
	int64_t now = time_boot_ms();
	bool fresh = entry_config_is_valid(x->tr->e, now);
	int64_t wait_ms;

	if (x->tr->leaving_ms && now >= x->tr->refuse_at_ms)
		return RAMP_ERR_LEAVING;
	if (!x->config)
		return RAMP_ERR_NOT_READY;
	if (!m->url.len || m->url.data[0] != '/' || !x->request_id.len)
		return RAMP_ERR_BAD_REQUEST;
	x->route = entry_config_route(x->config, normalise_host(x->arena, host),
				      url_path(m->url));
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
	if (x->route->prefix_affinity)
		x->prompt = parse_prompt(message_header(m, d->prompt_parts));
	x->service = pick_service(x);
	return x->service ? RAMP_OK : RAMP_ERR_NO_TARGET;
}
