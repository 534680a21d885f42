#include <http_parser.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

#include "entry/entry.h"

/* Largest head of an answer; targets send a few hundred bytes. */
#define ANSWER_HEAD_BYTES 65536
#define HEADERS_FIRST     16

struct reader {
	http_parser p;
	const struct reader_ops *ops;
	void *ctx;
	struct message *m; /* being read, or NULL */
	struct buf head;   /* url, names and values as they come */
	size_t value_at;   /* where in it the value begins */
	bool in_value;
	size_t header_max;
	size_t slots; /* room in m->headers */
	enum read_error error;
	bool request;
	bool no_body;
	bool ended;
};

bool str_same(struct str a, struct str b)
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
		if (str_same(m->headers[i].name, name))
			return m->headers[i].value;
	return (struct str){NULL, 0};
}

/* Whether a comma-separated list holds the word. */
static bool list_has(struct str list, struct str word)
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
		if (str_same((struct str){p, (size_t)(q - p)}, word))
			return true;
		p = stop + 1;
	}
	return false;
}

bool header_is_hop(const struct message *m, struct str name)
{
	static const struct str hop[] = {
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

	for (size_t i = 0; i < G_N_ELEMENTS(hop); i++)
		if (str_same(hop[i], name))
			return true;
	for (size_t i = 0; i < m->header_count; i++)
		if (str_same(m->headers[i].name, hop[0]) &&
		    list_has(m->headers[i].value, name))
			return true;
	return false;
}

int64_t str_number(struct str s)
{
	int64_t n = 0;

	if (!s.len || s.len > 15)
		return -1;
	for (size_t i = 0; i < s.len; i++) {
		if (s.data[i] < '0' || s.data[i] > '9')
			return -1;
		n = n * 10 + (s.data[i] - '0');
	}
	return n;
}

static struct reader *of(http_parser *p)
{
	return p->data;
}

static int on_begin(http_parser *p)
{
	struct reader *r = of(p);

	r->m = talloc_zero(NULL, struct message);
	r->m->arena = r->m;
	r->slots = 0;
	r->in_value = false;
	buf_drop(&r->head, buf_len(&r->head));
	return 0;
}

/* The parser lets some bytes through that no name or value may hold. */
static bool header_sound(struct header h)
{
	static const char extra[] = "!#$%&'*+-.^_`|~";

	if (!h.name.len)
		return false;
	for (size_t i = 0; i < h.name.len; i++)
		if (!g_ascii_isalnum(h.name.data[i]) &&
		    !strchr(extra, h.name.data[i]))
			return false;
	for (size_t i = 0; i < h.value.len; i++) {
		unsigned char c = (unsigned char)h.value.data[i];

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

static bool header_done(struct reader *r)
{
	struct message *m = r->m;
	struct header *h;
	struct str value;

	if (!r->in_value)
		return true;
	if (m->header_count == r->slots) {
		r->slots = r->slots ? r->slots * 2 : HEADERS_FIRST;
		m->headers =
			talloc_realloc(m, m->headers, struct header, r->slots);
	}
	h = &m->headers[m->header_count++];
	value = (struct str){r->head.data + r->value_at,
			     r->head.len - r->value_at};
	while (value.len && (value.data[value.len - 1] == ' ' ||
			     value.data[value.len - 1] == '\t'))
		value.len--;
	h->name = str_dup(m, (struct str){r->head.data, r->value_at});
	h->value = str_dup(m, value);
	r->in_value = false;
	buf_drop(&r->head, buf_len(&r->head));
	return header_sound(*h);
}

static int on_url(http_parser *p, const char *at, size_t n)
{
	buf_add(&of(p)->head, at, n);
	return 0;
}

static int on_name(http_parser *p, const char *at, size_t n)
{
	struct reader *r = of(p);

	if (r->request && !r->m->url.len) {
		r->m->url = str_dup(r->m, (struct str){buf_at(&r->head),
						       buf_len(&r->head)});
		buf_drop(&r->head, buf_len(&r->head));
	}
	if (!header_done(r))
		return 1;
	buf_add(&r->head, at, n);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	struct reader *r = of(p);

	if (!r->in_value) {
		r->in_value = true;
		r->value_at = r->head.len;
	}
	buf_add(&r->head, at, n);
	return 0;
}

static int on_head(http_parser *p)
{
	struct reader *r = of(p);
	struct message *m = r->m;

	if (!header_done(r))
		return -1;
	if (r->request && !m->url.len)
		m->url = str_dup(
			m, (struct str){buf_at(&r->head), buf_len(&r->head)});
	if (r->request)
		m->method = str_c(http_method_str(p->method));
	m->status = p->status_code;
	m->keep_alive = http_should_keep_alive(p);
	m->has_body =
		(p->flags & F_CHUNKED) ||
		(p->content_length > 0 && p->content_length != UINT64_MAX);
	if (r->ops->head && !r->ops->head(r->ctx, m)) {
		r->error = READ_STOPPED;
		return -1;
	}
	return r->no_body ? 1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	struct reader *r = of(p);

	if (r->ops->body(r->ctx, at, n))
		return 0;
	r->error = READ_STOPPED;
	return 1;
}

static int on_end(http_parser *p)
{
	of(p)->ended = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_end,
};

struct reader *reader_new(bool request, const struct reader_ops *ops, void *ctx)
{
	struct reader *r = g_new0(struct reader, 1);

	http_parser_init(&r->p, request ? HTTP_REQUEST : HTTP_RESPONSE);
	r->p.data = r;
	r->ops = ops;
	r->ctx = ctx;
	r->request = request;
	r->header_max = ANSWER_HEAD_BYTES;
	return r;
}

void reader_free(struct reader *r)
{
	if (!r)
		return;
	/* Of a message that never had its head, nobody else knows. */
	talloc_free(r->m);
	buf_clear(&r->head);
	g_free(r);
}

void reader_limit(struct reader *r, size_t header_bytes)
{
	r->header_max = header_bytes;
}

void reader_no_body(struct reader *r, bool no_body)
{
	r->no_body = no_body;
}

bool reader_busy(const struct reader *r)
{
	return r->m && !r->ended;
}

/* Ends a message: the next bytes begin another. */
static bool finish(struct reader *r)
{
	struct message *m = r->m;

	r->ended = false;
	http_parser_pause(&r->p, 0);
	r->m = NULL;
	return r->ops->end(r->ctx, m);
}

size_t reader_feed(struct reader *r, const char *p, size_t n,
		   enum read_error *err)
{
	size_t used;

	*err = READ_OK;
	used = http_parser_execute(&r->p, &callbacks, p, n);
	if (r->ended) {
		if (HTTP_PARSER_ERRNO(&r->p) != HPE_PAUSED &&
		    HTTP_PARSER_ERRNO(&r->p) != HPE_OK) {
			*err = READ_MALFORMED;
			return used;
		}
		if (!finish(r))
			*err = READ_STOPPED;
		return used;
	}
	if (HTTP_PARSER_ERRNO(&r->p) == HPE_HEADER_OVERFLOW ||
	    r->p.nread > r->header_max)
		*err = READ_HEADERS_TOO_LARGE;
	else if (r->error)
		*err = r->error;
	else if (HTTP_PARSER_ERRNO(&r->p) != HPE_OK || r->p.upgrade)
		*err = READ_MALFORMED;
	return used;
}

enum read_error reader_eof(struct reader *r)
{
	if (!r->m)
		return READ_MALFORMED;
	http_parser_execute(&r->p, &callbacks, NULL, 0);
	if (!r->ended)
		return READ_MALFORMED;
	return finish(r) ? READ_OK : READ_STOPPED;
}
