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

/* Whether the blank line that ends a block ends with CR LF. */
static bool ends_with_crlf(const char *p, size_t n)
{
	return n > 1 && p[n - 2] == '\r';
}

/*
 * Keep a block that is no event for the next one, if it is short enough. A
 * blank line with the other line end may be left of a chunk's framing.
 */
static void keep_padding(struct sse_splitter *c, const char *p, size_t n)
{
	if (c->line_ends == LINE_ENDS_LF && n == 2)
		return;
	if (buf_len(&c->padding) + n <= PADDING_MAX_BYTES)
		buf_add(&c->padding, p, n);
}

/* Whether a line is a field of an event. */
static bool is_field(const char *p, size_t n)
{
	static const char *const names[] = {"id", "data", "event", "retry"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		size_t len = strlen(names[i]);

		if (n > len && !memcmp(p, names[i], len) && p[len] == ':')
			return true;
	}
	return false;
}

/*
 * Whether the block is an event and nothing else. A faulty target writes the
 * head of another response into a stream, or counts a chunk wrong: then a line
 * begins as a status line or has no colon, no line is a field, or some lines
 * end with LF and others, which are no fields of an event, with CR LF.
 */
static bool is_sound(const char *p, size_t n)
{
	bool has_field = false, has_lf = false, has_other_crlf = false;

	for (size_t at = 0; at < n;) {
		const char *nl = memchr(p + at, '\n', n - at);
		size_t end = nl ? (size_t)(nl - p) : n;
		bool crlf = end > at && p[end - 1] == '\r';
		bool field = is_field(p + at, end - at);

		if ((end - at >= 5 && !memcmp(p + at, "HTTP/", 5)) ||
		    (end - at > crlf && !memchr(p + at, ':', end - at)))
			return false;
		has_field |= field;
		has_lf |= !crlf;
		has_other_crlf |= crlf && !field && p[at] != ':';
		at = end + 1;
	}
	return has_field && !(has_lf && has_other_crlf);
}

/* Whether an event of one line ends with CR LF. */
static bool is_one_crlf_line(const char *p, size_t n)
{
	const char *nl = memchr(p, '\n', n);

	return ends_with_crlf(p, n) && nl + 3 == p + n;
}

/*
 * Whether the event is more than what is left of a line of a stream behind
 * which two line ends of a chunk's framing were taken for text: such an event
 * has one line and ends with CR LF, though the run's others end with LF.
 */
static bool has_line_ends_of_run(struct sse_splitter *c, const char *p,
				 size_t n)
{
	if (!ends_with_crlf(p, n)) {
		if (c->line_ends == LINE_ENDS_CRLF_ONE)
			return false;
		c->line_ends = LINE_ENDS_LF;
	} else if (!is_one_crlf_line(p, n)) {
		c->line_ends = LINE_ENDS_CRLF;
	} else if (c->line_ends == LINE_ENDS_LF) {
		return false;
	} else if (!c->line_ends) {
		c->line_ends = LINE_ENDS_CRLF_ONE;
	}
	return true;
}

/*
 * Whether only the next block shows that an event is whole. One with data is
 * not held back: it may be all that comes for some time.
 */
static bool is_held(const struct sse_splitter *c, const char *p, size_t n)
{
	return !c->line_ends && is_one_crlf_line(p, n) &&
	       !(n > 5 && !memcmp(p, "data:", 5));
}

static void set_last_id(struct sse_splitter *c, struct str id)
{
	if (id.len >= sizeof(c->id_text))
		id.len = 0;
	memcpy(c->id_text, id.len ? id.data : "", id.len);
	c->last_id = (struct str){c->id_text, id.len};
	c->last_number = str_parse_number(c->last_id);
}

/* Whether the event with this number may be the next one; if so, count it. */
static bool may_follow(struct sse_splitter *c, int64_t number)
{
	/* A first event numbered 1 shows as well that numbers go up by one. */
	bool step = number == MAX(c->last_number, 0) + 1;

	if (c->resumed && (number < 0 || (!step && c->regular)))
		return false;
	if (!step && c->event_count)
		c->irregular = true;
	c->regular = step && !c->irregular;
	return true;
}

static bool pass_event(struct sse_splitter *c, const char *p, size_t n,
		       sse_event_fn *fn, void *ctx)
{
	struct str id = event_id(p, n);
	int64_t number = str_parse_number(id);

	if (!is_sound(p, n) || !has_line_ends_of_run(c, p, n))
		return false;
	c->run_number = number;
	/* A resumed stream may repeat events. */
	if (number >= 0 && number <= c->last_number)
		return true;
	if (!may_follow(c, number))
		return false;
	set_last_id(c, id);
	c->event_count++;
	if (!buf_len(&c->padding)) {
		fn(ctx, p, n);
		return true;
	}
	buf_add(&c->padding, p, n);
	fn(ctx, buf_data(&c->padding), buf_len(&c->padding));
	return true;
}

/* Return the length of the block that begins at an offset, or 0. */
static size_t block_length_at(const struct buf *b, size_t at, bool *is_event)
{
	return block_length(buf_data(b) + at, buf_len(b) - at, is_event);
}

bool sse_splitter_feed(struct sse_splitter *c, const char *p, size_t n,
		       sse_event_fn *fn, void *ctx)
{
	struct buf *b = &c->partial;
	bool is_event, is_next_event;
	size_t len, next;

	buf_add(b, p, n);
	while ((len = block_length_at(b, 0, &is_event))) {
		if (is_event && is_held(c, buf_data(b), len)) {
			next = block_length_at(b, len, &is_next_event);
			if (!next)
				break;
			if (!ends_with_crlf(buf_data(b) + len, next))
				return false;
		}
		if (is_event) {
			if (!pass_event(c, buf_data(b), len, fn, ctx))
				return false;
			buf_clear(&c->padding);
		} else {
			keep_padding(c, buf_data(b), len);
		}
		buf_consume(b, len);
	}
	return buf_len(b) <= EVENT_MAX_BYTES;
}

void sse_splitter_end(struct sse_splitter *c, sse_event_fn *fn, void *ctx)
{
	bool is_event;
	size_t len = block_length_at(&c->partial, 0, &is_event);

	if (len && pass_event(c, buf_data(&c->partial), len, fn, ctx))
		buf_consume(&c->partial, len);
}

void sse_splitter_restart(struct sse_splitter *c)
{
	buf_consume(&c->partial, buf_len(&c->partial));
	buf_clear(&c->padding);
	c->resumed |= c->event_count > 0;
	c->run_number = -1;
	c->line_ends = LINE_ENDS_UNKNOWN;
}

void sse_splitter_follow(struct sse_splitter *c, struct str last_id)
{
	if (str_parse_number(last_id) < 0)
		return;
	set_last_id(c, last_id);
	c->resumed = true;
	c->run_number = -1;
}

bool sse_splitter_is_cut(const struct sse_splitter *c, bool until_close)
{
	if (buf_len(&c->partial))
		return true;
	if (!c->resumed)
		return !c->event_count;
	if (c->run_number < 0)
		return until_close;
	return c->run_number < c->last_number;
}

void sse_splitter_clear(struct sse_splitter *c)
{
	buf_clear(&c->partial);
	buf_clear(&c->padding);
}
