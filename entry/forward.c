/*
 * Writes a request as a target gets it: without hop-by-hop and reserved
 * headers, with those that the entry sets.
 */
#include <arpa/inet.h>

#include "entry/exchange.h"

/* Whether only the entry may set the header. */
static bool is_reserved(const struct dialect *d, struct str name)
{
	for (size_t i = 0; i < d->reserved_count; i++)
		if (str_eq_nocase(d->reserved[i], name))
			return true;
	return false;
}

int exchange_priority(const struct exchange *x)
{
	if (x->organisation && x->organisation->priority >= 0)
		return MIN(x->organisation->priority, PRIORITY_COUNT - 1);
	return CLAMP(x->route->priority, 0, PRIORITY_COUNT - 1);
}

static void write_address_header(struct buf *b, struct str name,
				 const struct sockaddr_in *at)
{
	char ip[INET_ADDRSTRLEN] = "";

	inet_ntop(AF_INET, &at->sin_addr, ip, sizeof(ip));
	buf_fmt(b, STR_FMT ": %s:%d\r\n", STR_ARG(name), ip,
		ntohs(at->sin_port));
}

void exchange_forward(struct exchange *x, const struct target *source)
{
	const struct dialect *d = x->tr->dialect;
	const struct message *m = x->request;
	/* After the first event a retry asks for those that follow. */
	bool resumes = x->splitter.event_count && x->splitter.last_id.len;
	struct buf b = {0};
	struct end_to_end headers;
	struct header h;

	buf_add(&b, m->method.data, m->method.len);
	buf_add(&b, " ", 1);
	buf_add(&b, m->url.data, m->url.len);
	buf_add(&b, " HTTP/1.1\r\n", 11);
	end_to_end_begin(&headers, m);
	while (end_to_end_next(&headers, &h)) {
		/* Deadline, length and resume position are written below. */
		if (is_reserved(d, h.name) ||
		    str_eq_nocase(h.name, d->deadline) ||
		    str_eq_nocase(h.name, STR_LIT("Expect")) ||
		    str_eq_nocase(h.name, STR_LIT("Content-Length")) ||
		    (resumes && str_eq_nocase(h.name, d->last_event)))
			continue;
		buf_add_header(&b, h.name, h.value);
	}
	end_to_end_end(&headers);
	if (resumes)
		buf_add_header(&b, d->last_event, x->splitter.last_id);
	if (x->organisation)
		buf_add_header(&b, d->organisation, x->organisation->name);
	buf_add_header(&b, d->expected_target, x->target->info.name);
	if (x->service->model)
		buf_fmt(&b, STR_FMT ": %d\r\n", STR_ARG(d->priority),
			exchange_priority(x));
	if (source)
		write_address_header(&b, d->fetch_from, &source->info.address);
	buf_fmt(&b, STR_FMT ": %" G_GINT64_FORMAT "\r\n", STR_ARG(d->deadline),
		MAX(exchange_time_left_ms(x), 1));
	if (x->body.len || m->has_body || !str_eq(m->method, STR_LIT("GET")))
		buf_fmt(&b, "Content-Length: %zu\r\n", x->body.len);
	buf_add(&b, "\r\n", 2);
	link_send(x->link, buf_data(&b), buf_len(&b), x->body);
	buf_clear(&b);
}
