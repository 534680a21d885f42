/*
 * HTTP/1.1 messages: helpers for headers, and a reader that splits a byte
 * stream into messages with http_parser.
 */
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <strings.h>
#include <talloc.h>

#include "entry/entry.h"

/* Largest head of a response; targets send a few hundred bytes. */
#define RESPONSE_HEAD_MAX_BYTES 65536
/* Heads grow by doubling up to this size, and by as much beyond it. */
#define HEAD_GROWTH_MAX_BYTES 65536
#define HEAD_INITIAL_BYTES    512

struct reader {
	http_parser parser;
	const struct reader_ops *ops;
	void *ctx;
	struct message *message; /* being read, or NULL */
	/*
	 * Gets the headers that are read: the message, or once its head is
	 * complete and must not move, another one, which is dropped.
	 */
	struct message *into;
	size_t header_at, value_at; /* in its text, of the header being read */
	bool in_header, in_value;
	bool in_trailer; /* the header section is complete */
	size_t header_max_bytes;
	struct account *account; /* of messages; NULL: none */
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

/* Return the bit of a name in struct message's names. */
static uint64_t name_bit(struct str name)
{
	unsigned first = (unsigned)g_ascii_tolower(name.data[0]);
	unsigned last = (unsigned)g_ascii_tolower(name.data[name.len - 1]);

	return 1ULL << ((name.len * 31 + first + last * 7) % 64);
}

static void resize_text(struct message *m, size_t size)
{
	account_add(m->account, (int64_t)size - (int64_t)m->text_size);
	m->text = talloc_realloc(m->arena, m->text, char, size);
	m->text_size = size;
}

/* Make room for n more bytes of text. */
static void reserve_text(struct message *m, size_t n)
{
	size_t size = MAX(m->text_size, HEAD_INITIAL_BYTES);

	if (m->text_len + n <= m->text_size)
		return;
	while (size < m->text_len + n)
		size += MIN(size, HEAD_GROWTH_MAX_BYTES);
	resize_text(m, size);
}

static void add_text(struct message *m, const char *p, size_t n)
{
	if (!n)
		return;
	reserve_text(m, n);
	memcpy(m->text + m->text_len, p, n);
	m->text_len += n;
}

bool message_next_header(const struct message *m, size_t *at, struct header *h)
{
	const char *p = m->text + m->headers_at + *at;
	const char *end = m->text + m->text_len;
	const char *colon, *stop;

	if (!m->text || p >= end)
		return false;
	colon = memchr(p, ':', (size_t)(end - p));
	stop = memchr(colon, '\n', (size_t)(end - colon));
	h->name = (struct str){p, (size_t)(colon - p)};
	h->value = (struct str){colon + 1, (size_t)(stop - colon - 1)};
	*at += (size_t)(stop + 1 - p);
	return true;
}

/* http_parser accepts some bytes that a name or value may not contain. */
static bool is_valid_header(struct header h)
{
	static const char token_chars[] = "!#$%&'*+-.^_`|~";

	if (!h.name.len)
		return false;
	for (size_t i = 0; i < h.name.len; i++)
		if (!g_ascii_isalnum(h.name.data[i]) &&
		    !memchr(token_chars, h.name.data[i],
			    sizeof(token_chars) - 1))
			return false;
	for (size_t i = 0; i < h.value.len; i++) {
		unsigned char c = (unsigned char)h.value.data[i];

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

bool message_add_header(struct message *m, struct header h)
{
	if (!is_valid_header(h))
		return false;
	add_text(m, h.name.data, h.name.len);
	add_text(m, ":", 1);
	add_text(m, h.value.data, h.value.len);
	add_text(m, "\n", 1);
	m->names |= name_bit(h.name);
	return true;
}

struct str message_header(const struct message *m, struct str name)
{
	struct header h;
	size_t at = 0;

	if (!name.len || !(m->names & name_bit(name)))
		return (struct str){NULL, 0};
	while (message_next_header(m, &at, &h))
		if (str_eq_nocase(h.name, name))
			return h.value;
	return (struct str){NULL, 0};
}

static const struct str connection = STR_LIT("Connection");

/* Order of names, without regard to case. */
static int compare_names(const void *a, const void *b)
{
	const struct str *x = a, *y = b;

	if (x->len != y->len)
		return x->len < y->len ? -1 : 1;
	return strncasecmp(x->data, y->data, x->len);
}

/* Append the items of a comma-separated list to v, unless it is NULL. */
static size_t list_items(struct str list, struct str *v, size_t n)
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
		if (q > p && v)
			v[n] = (struct str){p, (size_t)(q - p)};
		n += q > p;
		p = stop + 1;
	}
	return n;
}

/* List the names in all Connection headers in v; NULL: only count them. */
static size_t listed_names(const struct message *m, struct str *v)
{
	struct header h;
	size_t at = 0, n = 0;

	while (message_next_header(m, &at, &h))
		if (str_eq_nocase(h.name, connection))
			n = list_items(h.value, v, n);
	return n;
}

void end_to_end_begin(struct end_to_end *e, const struct message *m)
{
	*e = (struct end_to_end){.message = m};
	if (!(m->names & name_bit(connection)))
		return;
	e->listed_count = listed_names(m, NULL);
	if (!e->listed_count)
		return;
	e->listed = g_new(struct str, e->listed_count);
	listed_names(m, e->listed);
	qsort(e->listed, e->listed_count, sizeof(*e->listed), compare_names);
}

void end_to_end_end(struct end_to_end *e)
{
	g_free(e->listed);
	e->listed = NULL;
}

static bool is_hop_by_hop(const struct end_to_end *e, struct str name)
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
	return e->listed_count && bsearch(&name, e->listed, e->listed_count,
					  sizeof(*e->listed), compare_names);
}

bool end_to_end_next(struct end_to_end *e, struct header *h)
{
	while (message_next_header(e->message, &e->at, h))
		if (!is_hop_by_hop(e, h->name))
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

/* Destructor of a message that a reader has created. */
static int leave_account(struct message *m)
{
	account_add(m->account, -(int64_t)m->text_size);
	return 0;
}

static struct message *message_new(const struct reader *r, void *parent)
{
	struct message *m = talloc_zero(parent, struct message);

	m->arena = m;
	m->account = r->account;
	talloc_set_destructor(m, leave_account);
	return m;
}

static int on_message_begin(http_parser *p)
{
	struct reader *r = reader_of(p);

	r->message = message_new(r, NULL);
	r->into = r->message;
	r->in_header = false;
	r->in_value = false;
	r->in_trailer = false;
	return 0;
}

/* End the name of the header that is being read; its value follows. */
static void begin_value(struct reader *r)
{
	if (r->in_value)
		return;
	add_text(r->into, ":", 1);
	r->value_at = r->into->text_len;
	r->in_value = true;
}

/*
 * Take the header that is complete; false when it is invalid. Trailers are
 * dropped: the head has been acted on by then, and one that says for instance
 * that the request has not run would contradict it.
 */
static bool finish_header(struct reader *r)
{
	struct message *m = r->into;
	struct header h;

	if (!r->in_header)
		return true;
	begin_value(r);
	while (m->text_len > r->value_at && (m->text[m->text_len - 1] == ' ' ||
					     m->text[m->text_len - 1] == '\t'))
		m->text_len--;
	h.name = (struct str){m->text + r->header_at,
			      r->value_at - 1 - r->header_at};
	h.value =
		(struct str){m->text + r->value_at, m->text_len - r->value_at};
	r->in_header = r->in_value = false;
	if (!is_valid_header(h))
		return false;
	if (r->in_trailer) {
		m->text_len = r->header_at;
		return true;
	}
	m->names |= name_bit(h.name);
	add_text(m, "\n", 1);
	return true;
}

static int on_url(http_parser *p, const char *at, size_t n)
{
	struct message *m = reader_of(p)->message;

	add_text(m, at, n);
	m->headers_at = m->text_len;
	return 0;
}

static int on_header_name(http_parser *p, const char *at, size_t n)
{
	struct reader *r = reader_of(p);

	if (r->in_value && !finish_header(r))
		return 1;
	if (r->in_trailer && r->into == r->message)
		r->into = message_new(r, r->message);
	if (!r->in_header)
		r->header_at = r->into->text_len;
	r->in_header = true;
	add_text(r->into, at, n);
	return 0;
}

static int on_header_value(http_parser *p, const char *at, size_t n)
{
	struct reader *r = reader_of(p);

	begin_value(r);
	add_text(r->into, at, n);
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
	resize_text(m, m->text_len);
	if (r->is_request) {
		m->url = (struct str){m->text, m->headers_at};
		m->method = str_c(http_method_str(p->method));
	}
	m->status = p->status_code;
	/* No such response exists, whatever else it says. */
	if (!r->is_request && (m->status < 100 || m->status > 599))
		return -1;
	m->keep_alive = http_should_keep_alive(p);
	m->has_body =
		(p->flags & F_CHUNKED) ||
		(p->content_length > 0 && p->content_length != UINT64_MAX);
	m->body_bytes =
		p->content_length == UINT64_MAX || (p->flags & F_CHUNKED)
			? -1
			: (int64_t)MIN(p->content_length, INT64_MAX);
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

	/* The reader has a limit of its own, which may be above the parser's.
	 */
	http_parser_set_max_header_size(INT32_MAX);
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
	g_free(r);
}

void reader_set_header_max(struct reader *r, size_t header_bytes)
{
	r->header_max_bytes = header_bytes;
}

void reader_set_account(struct reader *r, struct account *account)
{
	r->account = account;
}

size_t reader_held_bytes(const struct reader *r)
{
	return r->message ? r->message->text_size : 0;
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
	if (r->parser.nread > r->header_max_bytes)
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
