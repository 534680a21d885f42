/*
 * HTTP/1.1 messages: helpers for headers, and a reader that splits a byte
 * stream into messages with http_parser.
 */
#include <http_parser.h>
#include <string.h>
#include <time.h>
#include <strings.h>
#include <talloc.h>

#include "entry/entry.h"

/* Largest head of a response; targets send a few hundred bytes. */
#define RESPONSE_HEAD_MAX_BYTES 65536
#define INITIAL_HEADER_SLOTS    16

struct reader {
	http_parser parser;
	const struct reader_ops *ops;
	void *ctx;
	struct message *message; /* being read, or NULL */
	/* The URL, or the name and value of one header, as received so far. */
	struct buf head_text;
	size_t value_offset; /* of the header's value in head_text */
	bool in_value;
	bool in_trailer; /* the header section is complete */
	size_t header_max_bytes;
	size_t header_slots; /* allocated size of message->headers */
	enum read_error error;
	bool is_request;
	bool no_body;       /* the next response answers a HEAD request */
	bool message_ended; /* finish_message is to be called */
	size_t unread; /* bytes passed to reader_feed that follow the message */
};

bool str_eq_nocase(struct str a, struct str b)
{
	return a.len == b.len && !strncasecmp(a.data, b.data, a.len);
}

struct str url_path(struct str url)
{
	const char *q = memchr(url.data, '?', url.len);

	return q ? (struct str){url.data, (size_t)(q - url.data)} : url;
}

struct str message_header(const struct message *m, struct str name)
{
	for (size_t i = 0; i < m->header_count; i++)
		if (str_eq_nocase(m->headers[i].name, name))
			return m->headers[i].value;
	return (struct str){NULL, 0};
}

/* Whether a comma-separated list contains the item. */
static bool list_contains(struct str list, struct str item)
{
	const char *p = list.data, *end = list.data + list.len;

	while (p < end) {
		const char *comma = memchr(p, ',', (size_t)(end - p));
		const char *stop = comma ? comma : end;
		const char *q = stop;

		while (p < q && (*p == ' ' || *p == '\t'))
			p++;
		while (q > p && (q[-1] == ' ' || q[-1] == '\t'))
			q--;
		if (str_eq_nocase((struct str){p, (size_t)(q - p)}, item))
			return true;
		p = stop + 1;
	}
	return false;
}

bool header_is_hop_by_hop(const struct message *m, struct str name)
{
	static const struct str hop_by_hop[] = {
		STR_LIT("Connection"),
		STR_LIT("Keep-Alive"),
		STR_LIT("Proxy-Connection"),
		STR_LIT("Proxy-Authenticate"),
		STR_LIT("Proxy-Authorization"),
		STR_LIT("TE"),
		STR_LIT("Trailer"),
		STR_LIT("Transfer-Encoding"),
		STR_LIT("Upgrade"),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop); i++)
		if (str_eq_nocase(hop_by_hop[i], name))
			return true;
	/* The Connection header names further ones. */
	for (size_t i = 0; i < m->header_count; i++)
		if (str_eq_nocase(m->headers[i].name, hop_by_hop[0]) &&
		    list_contains(m->headers[i].value, name))
			return true;
	return false;
}

int64_t str_parse_number(struct str s)
{
	int64_t n = 0;

	/* 15 digits can't overflow. */
	if (!s.len || s.len > 15)
		return -1;
	for (size_t i = 0; i < s.len; i++) {
		if (s.data[i] < '0' || s.data[i] > '9')
			return -1;
		n = n * 10 + (s.data[i] - '0');
	}
	return n;
}

/* Parse a date such as "Sun, 06 Nov 1994 08:49:37 GMT"; -1: malformed. */
static int64_t parse_date_ms(struct str s)
{
	char text[40];
	struct tm tm = {0};
	const char *end;

	if (s.len >= sizeof(text))
		return -1;
	memcpy(text, s.data, s.len);
	text[s.len] = '\0';
	end = strptime(text, "%a, %d %b %Y %H:%M:%S GMT", &tm);
	return end && !*end ? (int64_t)timegm(&tm) * 1000 : -1;
}

int64_t str_parse_milli(struct str s, int64_t max)
{
	int64_t n = 0, unit = 1000;
	bool fraction = false;
	size_t digits = 0;

	for (size_t i = 0; i < s.len; i++) {
		if (s.data[i] == '.' && !fraction && digits) {
			fraction = true;
			continue;
		}
		if (!g_ascii_isdigit(s.data[i]))
			return -1;
		digits++;
		if (fraction) {
			unit /= 10;
			n += (s.data[i] - '0') * unit;
		} else {
			n = MIN(n * 10 + (s.data[i] - '0') * 1000, max);
		}
	}
	return digits ? MIN(n, max) : -1;
}

int64_t str_parse_retry_after(struct str s, int64_t wall_now_ms)
{
	if (s.len && g_ascii_isalpha(s.data[0])) {
		int64_t at = parse_date_ms(s);

		return at < 0 ? -1
			      : CLAMP(at - wall_now_ms, 0, RETRY_AFTER_MAX_MS);
	}
	return str_parse_milli(s, RETRY_AFTER_MAX_MS);
}

static struct reader *reader_of(http_parser *p)
{
	return p->data;
}

static int on_message_begin(http_parser *p)
{
	struct reader *r = reader_of(p);

	r->message = talloc_zero(NULL, struct message);
	r->message->arena = r->message;
	r->header_slots = 0;
	r->in_value = false;
	r->in_trailer = false;
	buf_consume(&r->head_text, buf_len(&r->head_text));
	return 0;
}

/* http_parser accepts some bytes that a name or value may not contain. */
static bool is_valid_header(struct header h)
{
	static const char token_chars[] = "!#$%&'*+-.^_`|~";

	if (!h.name.len)
		return false;
	for (size_t i = 0; i < h.name.len; i++)
		if (!g_ascii_isalnum(h.name.data[i]) &&
		    !strchr(token_chars, h.name.data[i]))
			return false;
	for (size_t i = 0; i < h.value.len; i++) {
		unsigned char c = (unsigned char)h.value.data[i];

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

/* Return the header that is complete; it points into head_text. */
static struct header last_header(const struct reader *r)
{
	struct header h = {
		{r->head_text.data, r->value_offset},
		{r->head_text.data + r->value_offset,
		 r->head_text.len - r->value_offset},
	};

	while (h.value.len && (h.value.data[h.value.len - 1] == ' ' ||
			       h.value.data[h.value.len - 1] == '\t'))
		h.value.len--;
	return h;
}

static void add_header(struct reader *r, struct header h)
{
	struct message *m = r->message;

	if (m->header_count == r->header_slots) {
		r->header_slots = r->header_slots ? r->header_slots * 2
						  : INITIAL_HEADER_SLOTS;
		m->headers = talloc_realloc(m, m->headers, struct header,
					    r->header_slots);
	}
	m->headers[m->header_count++] =
		(struct header){str_dup(m, h.name), str_dup(m, h.value)};
}

/*
 * Take the header that is complete; false when it is invalid. Trailers are
 * dropped: the head has been acted on by then, and one that says for instance
 * that the request has not run would contradict it.
 */
static bool finish_header(struct reader *r)
{
	struct header h;
	bool valid;

	if (!r->in_value)
		return true;
	h = last_header(r);
	valid = is_valid_header(h);
	if (!r->in_trailer)
		add_header(r, h);
	r->in_value = false;
	buf_consume(&r->head_text, buf_len(&r->head_text));
	return valid;
}

static int on_url(http_parser *p, const char *at, size_t n)
{
	buf_add(&reader_of(p)->head_text, at, n);
	return 0;
}

static int on_header_name(http_parser *p, const char *at, size_t n)
{
	struct reader *r = reader_of(p);

	if (r->is_request && !r->message->url.len) {
		r->message->url = str_dup(r->message,
					  (struct str){buf_data(&r->head_text),
						       buf_len(&r->head_text)});
		buf_consume(&r->head_text, buf_len(&r->head_text));
	}
	if (!finish_header(r))
		return 1;
	buf_add(&r->head_text, at, n);
	return 0;
}

static int on_header_value(http_parser *p, const char *at, size_t n)
{
	struct reader *r = reader_of(p);

	if (!r->in_value) {
		r->in_value = true;
		r->value_offset = r->head_text.len;
	}
	buf_add(&r->head_text, at, n);
	return 0;
}

/*
 * Whether a response has no body whatever its headers say. http_parser reads
 * one of a 1xx, 204 or 304 response that has a length.
 */
static bool is_bodiless(const struct reader *r, const struct message *m)
{
	if (r->is_request)
		return false;
	return r->no_body || m->status / 100 == 1 || m->status == 204 ||
	       m->status == 304;
}

/* Whether a response is coded in another way than in chunks. */
static bool has_other_coding(const struct reader *r, const struct message *m)
{
	struct str coding = message_header(m, STR_LIT("Transfer-Encoding"));

	return !r->is_request && coding.data &&
	       !str_eq_nocase(coding, STR_LIT("chunked"));
}

static int on_headers_complete(http_parser *p)
{
	struct reader *r = reader_of(p);
	struct message *m = r->message;

	if (!finish_header(r))
		return -1;
	if (r->is_request && !m->url.len)
		m->url = str_dup(m, (struct str){buf_data(&r->head_text),
						 buf_len(&r->head_text)});
	if (r->is_request)
		m->method = str_c(http_method_str(p->method));
	m->status = p->status_code;
	m->keep_alive = http_should_keep_alive(p);
	m->has_body =
		(p->flags & F_CHUNKED) ||
		(p->content_length > 0 && p->content_length != UINT64_MAX);
	m->until_close = !r->is_request && !is_bodiless(r, m) &&
			 !(p->flags & F_CHUNKED) &&
			 p->content_length == UINT64_MAX;
	/* Its sender may send the body all the same, before the next one. */
	if (is_bodiless(r, m) && m->has_body)
		m->keep_alive = false;
	r->in_trailer = true;
	/* Its body would be taken to end with the connection, as it is. */
	if (has_other_coding(r, m))
		return -1;
	if (r->ops->head && !r->ops->head(r->ctx, m)) {
		r->error = READ_STOPPED;
		return -1;
	}
	return is_bodiless(r, m) ? 1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	struct reader *r = reader_of(p);

	if (r->ops->body(r->ctx, at, n))
		return 0;
	r->error = READ_STOPPED;
	return 1;
}

static int on_message_complete(http_parser *p)
{
	/* reader_feed calls back once http_parser_execute has returned. */
	reader_of(p)->message_ended = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_header_name,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

struct reader *reader_new(bool request, const struct reader_ops *ops, void *ctx)
{
	struct reader *r = g_new0(struct reader, 1);

	http_parser_init(&r->parser, request ? HTTP_REQUEST : HTTP_RESPONSE);
	r->parser.data = r;
	r->ops = ops;
	r->ctx = ctx;
	r->is_request = request;
	r->header_max_bytes = RESPONSE_HEAD_MAX_BYTES;
	return r;
}

void reader_free(struct reader *r)
{
	if (!r)
		return;
	/* A message that has not ended still belongs to the reader. */
	talloc_free(r->message);
	buf_clear(&r->head_text);
	g_free(r);
}

void reader_set_header_max(struct reader *r, size_t header_bytes)
{
	r->header_max_bytes = header_bytes;
}

void reader_set_no_body(struct reader *r, bool no_body)
{
	r->no_body = no_body;
}

size_t reader_unread_bytes(const struct reader *r)
{
	return r->unread;
}

bool reader_is_mid_message(const struct reader *r)
{
	return r->message && !r->message_ended;
}

/* Pass on the message that has ended; the next bytes begin another. */
static bool finish_message(struct reader *r)
{
	struct message *m = r->message;

	r->message_ended = false;
	http_parser_pause(&r->parser, 0);
	r->message = NULL;
	return r->ops->end(r->ctx, m);
}

size_t reader_feed(struct reader *r, const char *p, size_t n,
		   enum read_error *err)
{
	size_t used;

	*err = READ_OK;
	used = http_parser_execute(&r->parser, &callbacks, p, n);
	if (r->message_ended) {
		if (HTTP_PARSER_ERRNO(&r->parser) != HPE_PAUSED &&
		    HTTP_PARSER_ERRNO(&r->parser) != HPE_OK) {
			*err = READ_MALFORMED;
			return used;
		}
		r->unread = n - used;
		if (!finish_message(r))
			*err = READ_STOPPED;
		return used;
	}
	if (HTTP_PARSER_ERRNO(&r->parser) == HPE_HEADER_OVERFLOW ||
	    r->parser.nread > r->header_max_bytes)
		*err = READ_HEADERS_TOO_LARGE;
	else if (r->error)
		*err = r->error;
	else if (HTTP_PARSER_ERRNO(&r->parser) != HPE_OK || r->parser.upgrade)
		*err = READ_MALFORMED;
	return used;
}

enum read_error reader_eof(struct reader *r)
{
	if (!r->message)
		return READ_MALFORMED;
	http_parser_execute(&r->parser, &callbacks, NULL, 0);
	if (!r->message_ended)
		return READ_MALFORMED;
	return finish_message(r) ? READ_OK : READ_STOPPED;
}
