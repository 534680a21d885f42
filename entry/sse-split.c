/*
 * Splits a stream of server-sent events into whole events, so that a stream can
 * be resumed between two of them after its connection broke.
 */
#include <stdio.h>
#include <string.h>

#include "entry/entry.h"

/* Largest event that is buffered; targets send some 100 bytes. */
#define EVENT_MAX_BYTES (1 << 20)

/* Return the length of the first whole event with its blank line, or 0. */
static size_t event_length(const char *p, size_t n)
{
	size_t at = 0;
	bool has_field = false;

	while (at < n) {
		const char *nl = memchr(p + at, '\n', n - at);
		size_t len;

		if (!nl)
			return 0;
		len = (size_t)(nl - (p + at));
		if (len && p[at + len - 1] == '\r')
			len--;
		at = (size_t)(nl - p) + 1;
		if (!len && has_field)
			return at;
		if (len)
			has_field = true;
	}
	return 0;
}

/* Return the value of the event's id field; empty when it has none. */
static struct str event_id(const char *p, size_t n)
{
	struct str id = {NULL, 0};
	size_t at = 0;

	while (at < n) {
		const char *nl = memchr(p + at, '\n', n - at);
		size_t end = nl ? (size_t)(nl - p) : n;

		if (end - at > 3 && !memcmp(p + at, "id:", 3)) {
			at += 3;
			if (p[at] == ' ')
				at++;
			id = (struct str){p + at, end - at};
			if (id.len && id.data[id.len - 1] == '\r')
				id.len--;
		}
		at = end + 1;
	}
	return id;
}

bool sse_splitter_feed(struct sse_splitter *c, const char *p, size_t n,
		       sse_event_fn *fn, void *ctx)
{
	size_t len;

	buf_add(&c->partial, p, n);
	while ((len = event_length(buf_data(&c->partial),
				   buf_len(&c->partial)))) {
		struct str id = event_id(buf_data(&c->partial), len);
		int64_t number = str_parse_number(id);
		/* A resumed stream may repeat events. */
		bool duplicate = c->event_count && number >= 0 &&
				 number <= c->last_number;

		if (!duplicate) {
			if (id.len && id.len < sizeof(c->id_text)) {
				memcpy(c->id_text, id.data, id.len);
				c->last_id = (struct str){c->id_text, id.len};
				c->last_number = number;
			}
			c->event_count++;
			fn(ctx, buf_data(&c->partial), len);
		}
		buf_consume(&c->partial, len);
	}
	return buf_len(&c->partial) <= EVENT_MAX_BYTES;
}

void sse_splitter_drop_partial(struct sse_splitter *c)
{
	buf_consume(&c->partial, buf_len(&c->partial));
}

void sse_splitter_clear(struct sse_splitter *c)
{
	buf_clear(&c->partial);
}
