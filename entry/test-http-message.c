/* Tests of the HTTP message reader. */
#include <string.h>
#include <talloc.h>

#include "entry/entry.h"

/* What the callbacks received. */
struct received {
	int heads, ends;
	size_t headers_at_end; /* of all messages that have ended */
	GString *body;
	char *headers; /* as [NAME=VALUE]... */
};

static bool on_head(void *ctx, struct message *m)
{
	struct received *s = ctx;
	struct header h;
	size_t at = 0;

	s->heads++;
	g_free(s->headers);
	s->headers = g_strdup("");
	while (message_next_header(m, &at, &h)) {
		char *old = s->headers;

		s->headers = g_strdup_printf("%s[" STR_FMT "=" STR_FMT "]", old,
					     STR_ARG(h.name), STR_ARG(h.value));
		g_free(old);
	}
	return true;
}

static bool on_body(void *ctx, const char *p, size_t n)
{
	g_string_append_len(((struct received *)ctx)->body, p, (gssize)n);
	return true;
}

static bool on_end(void *ctx, struct message *m)
{
	struct received *s = ctx;
	struct header h;

	s->ends++;
	for (size_t at = 0; message_next_header(m, &at, &h);)
		s->headers_at_end++;
	talloc_free(m);
	return true;
}

static const struct reader_ops ops = {on_head, on_body, on_end};

/*
 * Feed the text in pieces of step bytes and, with eof, the end of the stream.
 * Stops at the first error and returns it.
 */
static enum read_error feed(struct received *s, bool request, const char *text,
			    size_t step, bool eof)
{
	struct reader *r = reader_new(request, &ops, s);
	enum read_error err = READ_OK;
	size_t n = strlen(text), at = 0;

	memset(s, 0, sizeof(*s));
	s->body = g_string_new(NULL);
	while (at < n && !err)
		at += reader_feed(r, text + at, MIN(step, n - at), &err);
	if (!err && eof)
		err = reader_eof(r);
	reader_free(r);
	return err;
}

static void clear(struct received *s)
{
	g_string_free(s->body, TRUE);
	g_free(s->headers);
}

/* Requests that follow each other, however the input is split. */
static void test_requests(void)
{
	static const char text[] =
		"POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nEmpty:\r\n"
		"Padded:  y \r\nContent-Length: 3\r\n\r\nabc"
		"POST / HTTP/1.1\r\nHost: x\r\n"
		"Transfer-Encoding: chunked\r\n\r\n"
		"2\r\nde\r\n1\r\nf\r\n0\r\n\r\n";

	for (size_t step = 1; step < sizeof(text); step++) {
		struct received s;

		g_assert_cmpint(feed(&s, true, text, step, false), ==, READ_OK);
		g_assert_cmpint(s.ends, ==, 2);
		g_assert_cmpstr(s.body->str, ==, "abcdef");
		clear(&s);
	}
}

/* Values may be empty and lose the blanks around them. */
static void test_values(void)
{
	struct received s;

	g_assert_cmpint(feed(&s, true,
			     "GET / HTTP/1.1\r\nHost: x\r\nEmpty:\r\n"
			     "Padded:  y z \r\n\r\n",
			     3, false),
			==, READ_OK);
	g_assert_cmpstr(s.headers, ==, "[Host=x][Empty=][Padded=y z]");
	clear(&s);
}

/*
 * Messages that another parser could read differently are refused, as that
 * allows request smuggling.
 */
static void test_malformed(void)
{
	static const char *const texts[] = {
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		"Content-Length: 4\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\nabc",
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"GET / HTTP/1.1\r\nBad Name: x\r\n\r\n",
		"GET / HTTP/1.1\r\nName : x\r\n\r\n",
		"GET / HTTP/1.1\r\nName: a\x01z\r\n\r\n",
		"NONSENSE\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct received s;

		g_test_message("%s", texts[i]);
		g_assert_cmpint(feed(&s, true, texts[i], 7, false), !=,
				READ_OK);
		clear(&s);
	}
}

/*
 * A response without a length ends where the connection closes; one with a
 * length is malformed when it closes earlier.
 */
static void test_until_close(void)
{
	struct received s;

	g_assert_cmpint(feed(&s, false, "HTTP/1.1 200 OK\r\n\r\nabc", 4, true),
			==, READ_OK);
	g_assert_cmpint(s.ends, ==, 1);
	g_assert_cmpstr(s.body->str, ==, "abc");
	clear(&s);
	g_assert_cmpint(feed(&s, false,
			     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
			     4, true),
			==, READ_MALFORMED);
	g_assert_cmpint(s.ends, ==, 0);
	clear(&s);
	/* Chunks of an unknown coding aren't the body. */
	g_assert_cmpint(feed(&s, false,
			     "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked"
			     "\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
			     4, true),
			==, READ_MALFORMED);
	g_assert_cmpint(s.ends, ==, 0);
	clear(&s);
}

/*
 * A trailer is taken for a header, by which it could add a key to a request or
 * a refusal to a response; an invalid one is malformed.
 */
static void test_trailer(void)
{
	static const char head[] = "HTTP/1.1 200 OK\r\nA: 1\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n"
				   "3\r\nabc\r\n0\r\n";
	char *text =
		g_strconcat(head, "B: 2\r\nC: 3\r\n\r\n", head, "\r\n", NULL);
	struct received s;

	for (size_t step = 1; step < strlen(text); step++) {
		g_assert_cmpint(feed(&s, false, text, step, false), ==,
				READ_OK);
		g_assert_cmpint(s.ends, ==, 2);
		g_assert_cmpint(s.headers_at_end, ==, 2 * 2);
		g_assert_cmpstr(s.body->str, ==, "abcabc");
		clear(&s);
	}
	g_free(text);
	text = g_strconcat(head, "B: a\001z\r\nC: 3\r\n\r\n", NULL);
	g_assert_cmpint(feed(&s, false, text, 7, false), ==, READ_MALFORMED);
	clear(&s);
	g_free(text);
}

/*
 * A response that can't have a body is read with the one that its headers
 * describe, which is a part of the next response or never comes.
 */
static void test_bodiless(void)
{
	static const char text[] = "HTTP/1.1 103 X\r\nContent-Length: 3\r\n\r\n"
				   "HTTP/1.1 204 X\r\nContent-Length: 3\r\n\r\n"
				   "HTTP/1.1 304 X\r\nContent-Length: 3\r\n\r\n"
				   "HTTP/1.1 204 X\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n"
				   "HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\n"
				   "abc";

	for (size_t step = 1; step < sizeof(text); step++) {
		struct received s;

		g_assert_cmpint(feed(&s, false, text, step, false), ==,
				READ_OK);
		g_assert_cmpint(s.ends, ==, 5);
		g_assert_cmpstr(s.body->str, ==, "abc");
		clear(&s);
	}
}

/* A header that never ends is refused at the limit. */
static void test_header_limit(void)
{
	struct reader *r;
	struct received s = {.body = g_string_new(NULL)};
	enum read_error err = READ_OK;

	r = reader_new(true, &ops, &s);
	reader_set_header_max(r, 1000);
	reader_feed(r, "GET / HTTP/1.1\r\nA: ", 19, &err);
	for (int i = 0; i < 300 && !err; i++)
		reader_feed(r, "xxxxxxxxxx", 10, &err);
	g_assert_cmpint(err, ==, READ_HEADERS_TOO_LARGE);
	reader_free(r);
	clear(&s);
}

/* What the head of one message takes, and how often it was reported. */
struct taken {
	size_t bytes;
	size_t headers;
};

static bool measure_head(void *ctx, struct message *m)
{
	struct taken *t = ctx;
	struct header h;

	t->bytes = talloc_total_size(m);
	for (size_t at = 0; message_next_header(m, &at, &h);)
		t->headers++;
	return true;
}

static bool ignore_body(void *ctx, const char *p, size_t n)
{
	(void)ctx;
	(void)p;
	(void)n;
	return true;
}

static bool free_message(void *ctx, struct message *m)
{
	(void)ctx;
	talloc_free(m);
	return true;
}

/* A head takes memory by its lines, not by its bytes. */
static void test_many_lines(void)
{
	static const struct reader_ops measure = {measure_head, ignore_body,
						  free_message};
	static const char *const lines[] = {"a:\r\n", "a:\n", "ab: cd\r\n"};

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		GString *s = g_string_new("GET / HTTP/1.1\r\n");
		struct taken t = {0, 0};
		struct reader *r = reader_new(true, &measure, &t);
		enum read_error err;
		size_t n = 0;

		reader_set_header_max(r, 16384);
		for (; s->len < 16000; n++)
			g_string_append(s, lines[i]);
		g_string_append(s, "\r\n");
		reader_feed(r, s->str, s->len, &err);
		g_assert_cmpint(err, ==, READ_OK);
		g_assert_cmpuint(t.headers, ==, n);
		g_assert_cmpuint(t.bytes, <=, s->len + 1024);
		reader_free(r);
		g_string_free(s, TRUE);
	}
}

/* Write the headers of a message that are to be forwarded, as NAME,... */
static bool list_end_to_end(void *ctx, struct message *m)
{
	struct end_to_end e;
	struct header h;

	end_to_end_begin(&e, m);
	while (end_to_end_next(&e, &h))
		g_string_append_printf(ctx, STR_FMT ",", STR_ARG(h.name));
	end_to_end_end(&e);
	return true;
}

/* A header that concerns one connection is forwarded, or another is not. */
static void test_end_to_end(void)
{
	static const struct reader_ops list = {list_end_to_end, ignore_body,
					       free_message};
	static const char text[] =
		"GET / HTTP/1.1\r\nHost: x\r\nA: 1\r\nB: 2\r\n"
		"Connection: close, b ,,\r\nC:\r\nTE: x\r\n"
		"connection: CC, c\r\ncc: y\r\nAA: z\r\nKeep-Alive: 3\r\n"
		"A: 4\r\n\r\n";
	GString *names = g_string_new(NULL);
	struct reader *r = reader_new(true, &list, names);
	enum read_error err;

	reader_feed(r, text, sizeof(text) - 1, &err);
	g_assert_cmpint(err, ==, READ_OK);
	g_assert_cmpstr(names->str, ==, "Host,A,AA,A,");
	reader_free(r);
	g_string_free(names, TRUE);
}

/* Names that share a bit of the set of names are taken for each other. */
static void test_names(void)
{
	static const char letters[] = "abcdefghijklmnopqrstuvwxyz";
	struct message m = {.arena = talloc_new(NULL)};
	char name[3] = "";
	int found = 0;

	for (const char *c = letters; *c; c += 2) {
		struct header h = {{name, 2}, {c, 1}};

		name[0] = name[1] = *c;
		g_assert_true(message_add_header(&m, h));
	}
	for (const char *c = letters; *c; c++) {
		struct str value;

		name[0] = g_ascii_toupper(*c);
		name[1] = *c;
		value = message_header(&m, (struct str){name, 2});
		found += value.len == 1 && value.data[0] == *c;
	}
	g_assert_cmpint(found, ==, 13);
	g_assert_false(message_add_header(
		&m, (struct header){STR_LIT("a b"), STR_LIT("c")}));
	g_assert_false(message_add_header(
		&m, (struct header){STR_LIT("a"), STR_LIT("c\nd:e")}));
	talloc_free(m.arena);
}

static void test_retry_after(void)
{
	static const struct {
		const char *text;
		int64_t ms;
	} cases[] = {
		{"0", 0},
		{"2", 2000},
		{"1.25", 1250},
		{"0.0004", 0},
		{"", -1},
		{"-1", -1},
		{".5", -1},
		{"1.2.3", -1},
		{"2 s", -1},
		{"99999999999999999999", RETRY_AFTER_MAX_MS},
		{"Thu, 01 Jan 1970 00:01:40 GMT", 90000},
		{"Thu, 01 Jan 1970 00:00:01 GMT", 0},
		{"Thu, 01 Jan 2099 00:00:00 GMT", RETRY_AFTER_MAX_MS},
		{"Thursday", -1},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(
			str_parse_retry_after(str_c(cases[i].text), 10000), ==,
			cases[i].ms);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/message/requests", test_requests);
	g_test_add_func("/entry/message/values", test_values);
	g_test_add_func("/entry/message/malformed", test_malformed);
	g_test_add_func("/entry/message/until-close", test_until_close);
	g_test_add_func("/entry/message/trailer", test_trailer);
	g_test_add_func("/entry/message/bodiless", test_bodiless);
	g_test_add_func("/entry/message/header-limit", test_header_limit);
	g_test_add_func("/entry/message/many-lines", test_many_lines);
	g_test_add_func("/entry/message/end-to-end", test_end_to_end);
	g_test_add_func("/entry/message/names", test_names);
	g_test_add_func("/entry/http-message/retry-after", test_retry_after);
	return g_test_run();
}
