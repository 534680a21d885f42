/* Tests of the splitting of event streams. */
#include <string.h>

#include "entry/entry.h"

static void collect(void *ctx, const char *p, size_t n)
{
	g_string_append_len(ctx, p, (gssize)n);
}

static const char stream[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
			     ": pause\n\nid: 3\r\ndata: c\r\n\r\n";

/* Events come out whole and unchanged however the input is split. */
static void test_any_split(void)
{
	for (size_t step = 1; step < sizeof(stream); step++) {
		struct sse_splitter c = {.last_number = -1};
		GString *out = g_string_new(NULL);

		for (size_t at = 0; at < sizeof(stream) - 1; at += step)
			g_assert_true(sse_splitter_feed(
				&c, stream + at,
				MIN(step, sizeof(stream) - 1 - at), collect,
				out));
		g_assert_cmpstr(out->str, ==, stream);
		g_assert_cmpint(c.last_number, ==, 3);
		sse_splitter_clear(&c);
		g_string_free(out, TRUE);
	}
}

/*
 * After a connection broke within an event, that part is dropped, and events
 * that the resumed stream repeats are not passed on twice.
 */
static void test_resume(void)
{
	struct sse_splitter c = {.last_number = -1};
	GString *out = g_string_new(NULL);

	sse_splitter_feed(&c, stream, 20, collect, out);
	sse_splitter_restart(&c);
	g_assert_cmpstr(out->str, ==, "id: 1\ndata: a\n\n");
	sse_splitter_feed(&c, stream, sizeof(stream) - 1, collect, out);
	g_assert_cmpstr(out->str, ==, stream);
	sse_splitter_clear(&c);
	g_string_free(out, TRUE);
}

static void count(void *ctx, const char *p, size_t n)
{
	(void)p;
	(void)n;
	++*(int *)ctx;
}

/*
 * Comments and blank lines count as events, so that a target that sends nothing
 * else seems to make progress, or are left over as an incomplete event, so that
 * a whole stream which ends with them seems to have broken off.
 */
static void test_comments(void)
{
	static const char text[] = "\n: a\n\nid: 1\ndata: a\n\n\r\n"
				   ": b\r\n\r\n: c\ndata: d\n\n: e\n\n\n";

	for (size_t step = 1; step < sizeof(text); step++) {
		struct sse_splitter c = {.last_number = -1};
		int events = 0;

		for (size_t at = 0; at < sizeof(text) - 1; at += step)
			g_assert_true(sse_splitter_feed(
				&c, text + at, MIN(step, sizeof(text) - 1 - at),
				count, &events));
		g_assert_cmpint(events, ==, 2);
		g_assert_cmpuint(c.event_count, ==, 2);
		g_assert_cmpuint(buf_len(&c.partial), ==, 0);
		sse_splitter_clear(&c);
	}
}

/* Comments without end take all memory. */
static void test_endless_comments(void)
{
	struct sse_splitter c = {.last_number = -1};
	int events = 0;

	for (int i = 0; i < 100000; i++)
		g_assert_true(
			sse_splitter_feed(&c, ": a\n\n", 5, count, &events));
	g_assert_cmpuint(c.padding.cap + c.partial.cap, <, 16384);
	g_assert_cmpint(events, ==, 0);
	sse_splitter_clear(&c);
}

/*
 * A stream that is taken up after its last event seems to be cut, as nothing is
 * left to send; one that begins without an event is.
 */
static void test_taken_up_at_end(void)
{
	struct sse_splitter c = {.last_number = -1}, first = c;
	GString *out = g_string_new(NULL);

	sse_splitter_follow(&c, (struct str)STR_LIT("3"));
	sse_splitter_feed(&c, ": pause\n\n", 9, collect, out);
	sse_splitter_end(&c, collect, out);
	g_assert_false(sse_splitter_is_cut(&c, false));
	/* The close of the connection may be a break. */
	g_assert_true(sse_splitter_is_cut(&c, true));
	sse_splitter_feed(&c, "id: 4\n", 6, collect, out);
	g_assert_true(sse_splitter_is_cut(&c, false));
	g_assert_true(sse_splitter_is_cut(&first, false));
	g_assert_cmpstr(out->str, ==, "");
	sse_splitter_clear(&c);
	g_string_free(out, TRUE);
}

/* Whether a text is the first events of a stream, each of them whole. */
static bool is_whole_events(const char *text, const char *all)
{
	size_t n = strlen(text);

	return !strncmp(text, all, n) &&
	       (!n || (n > 1 && !strcmp(text + n - 2, "\n\n")));
}

/* Feed a text in steps; false when the splitter refuses it. */
static bool feed(const char *text, size_t step, GString *out)
{
	struct sse_splitter c = {.last_number = -1};
	size_t n = strlen(text);
	bool sound = true;

	for (size_t at = 0; at < n && sound; at += step)
		sound = sse_splitter_feed(&c, text + at, MIN(step, n - at),
					  collect, out);
	if (sound)
		sse_splitter_end(&c, collect, out);
	sound &= !sse_splitter_is_cut(&c, false);
	sse_splitter_clear(&c);
	return sound;
}

/*
 * A chunk's size that a target counted wrong makes the framing of the chunk
 * behind it a part of an event that is passed on.
 */
static void test_framing(void)
{
	static const char *const texts[] = {
		"id: 1\ndata: a b\n\nid: 2\ndata: c\n\nid: 3\ndata: d\n\n",
		"event: x\nid: 1\ndata: a\n\nid: 2\ndata: c\ndata: d\n\n",
		"retry: 9\n\nid: 1\ndata: a\n\nid: 2\ndata: c\n\n",
		/* The first event is known to be whole when it is read. */
		"data: a\n\ndata: b c\n\ndata: d\n\n",
		"data: a\nid: 1\n\ndata: b c\nid: 2\n\n",
	};
	static const char *const sizes[] = {"",  "1",  "1f", "g",
					    " ", "-1", "\r", "1;a:b"};

	for (size_t t = 0; t < G_N_ELEMENTS(texts) * G_N_ELEMENTS(sizes); t++) {
		const char *text = texts[t / G_N_ELEMENTS(sizes)];
		size_t n = strlen(text);
		size_t from =
			text[0] == 'd' ? strstr(text, "\n\n") - text + 2 : 1;

		for (size_t place = from; place < n; place++) {
			char *bad = g_strdup_printf(
				"%.*s\r\n%s\r\n%s", (int)place, text,
				sizes[t % G_N_ELEMENTS(sizes)], text + place);

			for (size_t step = 1; step <= strlen(bad); step++) {
				GString *out = g_string_new(NULL);
				bool whole = feed(bad, step, out);

				if (!is_whole_events(out->str, text) ||
				    (whole && strcmp(out->str, text) != 0))
					g_error("%s: passed on: %s", bad,
						out->str);
				g_string_free(out, TRUE);
			}
			g_free(bad);
		}
	}
}

/* A sound stream whose lines end with CR LF is taken for a damaged one. */
static void test_crlf(void)
{
	static const char *const texts[] = {
		"id: 1\r\n\r\n",
		"id: 1\r\n\r\nid: 2\r\n\r\n",
		"id: 1\r\n\r\n\r\ndata: a\r\n\r\n",
		"retry: 5\r\n\r\nid: 1\r\ndata: a\r\n\r\n",
		"data: a\r\n\r\ndata: b\r\n\r\n",
		"data: a\r\n\r\n: c\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
	};

	for (size_t t = 0; t < G_N_ELEMENTS(texts); t++) {
		for (size_t step = 1; step <= strlen(texts[t]); step++) {
			GString *out = g_string_new(NULL);

			g_assert_true(feed(texts[t], step, out));
			g_assert_cmpstr(out->str, ==, texts[t]);
			g_string_free(out, TRUE);
		}
	}
}

/* An event that never ends is refused before it takes all memory. */
static void test_endless(void)
{
	struct sse_splitter c = {.last_number = -1};
	GString *out = g_string_new(NULL);
	char block[4096];
	int blocks = 0;

	memset(block, 'x', sizeof(block));
	while (blocks < 1000 &&
	       sse_splitter_feed(&c, block, sizeof(block), collect, out))
		blocks++;
	g_assert_cmpint(blocks, <, 1000);
	sse_splitter_clear(&c);
	g_string_free(out, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/cut/any-split", test_any_split);
	g_test_add_func("/entry/cut/resume", test_resume);
	g_test_add_func("/entry/cut/taken-up-at-end", test_taken_up_at_end);
	g_test_add_func("/entry/cut/comments", test_comments);
	g_test_add_func("/entry/cut/framing", test_framing);
	g_test_add_func("/entry/cut/crlf", test_crlf);
	g_test_add_func("/entry/cut/endless", test_endless);
	g_test_add_func("/entry/cut/endless-comments", test_endless_comments);
	return g_test_run();
}
