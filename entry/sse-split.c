/*
 * Splits a stream of server-sent events into whole events, so that a stream can
 * be resumed between two of them after its connection broke.
 */
#include <stdio.h>
#include <string.h>

#include "entry/entry.h"

/* Largest event that is buffered; targets send some 100 bytes. */
#define EVENT_MAX_BYTES (1 << 20)
/* Most bytes of comments that are kept for the next event; others are lost. */
#define PADDING_MAX_BYTES 4096

/*
 * Return the length of the first whole block with the blank line that ends it,
 * or 0. *is_event: it has a field. Blank lines and comments alone, as targets
 * send them to keep a connection open, are no event.
 */
static size_t block_length(const char *p, size_t n, bool *is_event)
{
	size_t at = 0;

	*is_event = false;
	while (at < n) {
		const char *nl = memchr(p + at, '\n', n - at);
		size_t len;

		if (!nl)
			return 0;
		len = (size_t)(nl - (p + at));
		if (len && p[at + len - 1] == '\r')
			len--;
		if (len && p[at] != ':')
			*is_event = true;
		at = (size_t)(nl - p) + 1;
		if (!len)
			return at;
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

/* Keep a block that is no event for the next one, if it is short enough. */
static void keep_padding(struct sse_splitter *c, const char *p, size_t n)
{
	if (buf_len(&c->padding) + n <= PADDING_MAX_BYTES)
		buf_add(&c->padding, p, n);
}

static void pass_event(struct sse_splitter *c, const char *p, size_t n,
		       sse_event_fn *fn, void *ctx)
{
	struct str id = event_id(p, n);
	int64_t number = str_parse_number(id);

	/* A resumed stream may repeat events. */
	if (c->event_count && number >= 0 && number <= c->last_number)
		return;
	if (id.len && id.len < sizeof(c->id_text)) {
		memcpy(c->id_text, id.data, id.len);
		c->last_id = (struct str){c->id_text, id.len};
		c->last_number = number;
	}
	c->event_count++;
	if (!buf_len(&c->padding)) {
		fn(ctx, p, n);
		return;
	}
	buf_add(&c->padding, p, n);
	fn(ctx, buf_data(&c->padding), buf_len(&c->padding));
}

bool sse_splitter_feed(struct sse_splitter *c, const char *p, size_t n,
		       sse_event_fn *fn, void *ctx)
{
	bool is_event;
	size_t len;

	buf_add(&c->partial, p, n);
	while ((len = block_length(buf_data(&c->partial), buf_len(&c->partial),
				   &is_event))) {
		if (is_event) {
			pass_event(c, buf_data(&c->partial), len, fn, ctx);
			buf_clear(&c->padding);
		} else {
			keep_padding(c, buf_data(&c->partial), len);
		}
		buf_consume(&c->partial, len);
	}
	return buf_len(&c->partial) <= EVENT_MAX_BYTES;
}

void sse_splitter_drop_partial(struct sse_splitter *c)
{
	buf_consume(&c->partial, buf_len(&c->partial));
	buf_clear(&c->padding);
}

void sse_splitter_clear(struct sse_splitter *c)
{
	buf_clear(&c->partial);
	buf_clear(&c->padding);
}
