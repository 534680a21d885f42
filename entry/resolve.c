#include <string.h>
#include <talloc.h>

#include "entry/exchange.h"

/* Put the hash of a part before those of the shorter ones. */
static void add_part(struct prompt *p, struct str part)
{
	memmove(&p->parts[1], &p->parts[0],
		(PROMPT_PARTS - 1) * sizeof(p->parts[0]));
	p->parts[0] = str_hash(part, 0);
	p->part_count = MIN(p->part_count + 1, PROMPT_PARTS);
}

/*
 * Read the prompt's parts, ID:TOKENS with commas between. The last one is the
 * request's own; when it is the only one it may come back with the chat.
 */
static struct prompt read_prompt(struct str parts)
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
			add_part(&out, last);
		out.shared_tokens = tokens;
		if (colon)
			n = str_number((struct str){
				colon + 1, (size_t)(stop - colon - 1)});
		last = (struct str){p, (size_t)((colon ? colon : stop) - p)};
		tokens += MAX(n, 0);
		p = stop + 1;
	}
	if (!out.part_count && last.len)
		add_part(&out, last);
	return out;
}

static struct str host_of(void *arena, struct str host)
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

/* By the weights of the route's parts; one request always gets the same. */
static const struct entry_service *pick_service(const struct exchange *x)
{
	const struct route_rule *r = x->route;
	int64_t at;

	if (!r->part_count || r->weight_sum <= 0)
		return NULL;
	at = (int64_t)(str_hash(x->id, 1) % (uint64_t)r->weight_sum);
	for (size_t i = 0; i < r->part_count; i++) {
		at -= r->parts[i].weight;
		if (at < 0)
			return &x->config->services[r->parts[i].service];
	}
	return NULL;
}

enum ramp_error exchange_bind(struct exchange *x)
{
	const struct dialect *d = x->tr->d;
	const struct message *m = x->rq;
	struct str host = message_header(m, STR_LIT("Host"));
	int64_t now = time_boot_ms();
	bool fresh = entry_is_fresh(x->tr->e, now);
	int64_t wait;

	if (x->tr->leaving_ms && now >= x->tr->refuse_at_ms)
		return RAMP_ERR_LEAVING;
	if (!x->config)
		return RAMP_ERR_NOT_READY;
	if (!m->url.len || m->url.data[0] != '/' || !x->id.len)
		return RAMP_ERR_BAD_REQUEST;
	x->route = entry_config_route(x->config, host_of(x->arena, host),
				      url_path(m->url));
	if (!x->route)
		return fresh ? RAMP_ERR_NOT_FOUND : RAMP_ERR_NOT_READY;
	x->owner = entry_config_owner(x->config, message_header(m, d->key));
	if (x->config->has_organisations && !x->route->public) {
		if (!fresh)
			return RAMP_ERR_NOT_READY;
		if (!x->owner)
			return RAMP_ERR_UNAUTHORIZED;
	}
	wait = str_number(message_header(m, d->deadline));
	x->deadline_ms = x->arrived_ms + x->route->timeout_ms;
	if (wait >= 0)
		x->deadline_ms = MIN(x->deadline_ms, x->arrived_ms + wait);
	if (exchange_left_ms(x) < DEADLINE_LEAST_MS)
		return RAMP_ERR_OVERLOADED;
	if (x->route->sticky)
		x->prompt = read_prompt(message_header(m, d->prompt_parts));
	x->service = pick_service(x);
	return x->service ? RAMP_OK : RAMP_ERR_NO_TARGET;
}
