/*
 * Runs the examples of docs/API.md in order against one node: sends each
 * "http request" block and compares the response with the block after it.
 */
#include <curl/curl.h>
#include <sodium.h>
#include <string.h>

#include "node/test-cluster.h"

#define HEADERS_MAX 8
#define BLOCK_FENCE "```"

static const char *argv0;

/*
 * Return whether got has all members and elements of want; further members of
 * objects are allowed. The string "..." in want stands for any value.
 */
static bool json_includes(const json_t *want, const json_t *got)
{
	const char *key;
	size_t i;
	json_t *value;

	if (json_is_string(want) && !strcmp(json_string_value(want), "..."))
		return got != NULL;
	if (json_is_array(want)) {
		if (json_array_size(want) != json_array_size(got))
			return false;
		json_array_foreach (want, i, value) {
			if (!json_includes(value, json_array_get(got, i)))
				return false;
		}
		return true;
	}
	if (!json_is_object(want))
		return json_equal(want, got);
	json_object_foreach ((json_t *)want, key, value) {
		if (!json_includes(value, json_object_get(got, key)))
			return false;
	}
	return true;
}

static void expect_json(const char *want_text, const json_t *got,
			const char *what)
{
	json_error_t error;
	json_t *want = json_loads(want_text, 0, &error);
	char *text = json_dumps(got, JSON_COMPACT | JSON_ENCODE_ANY);

	g_test_message("%s: %s", what, text);
	g_assert_cmpstr(want ? "" : error.text, ==, "");
	g_assert_true(json_includes(want, got));
	free(text);
	json_decref(want);
}

/* A parsed request block. The strings but body point into lines. */
struct example {
	char **lines;
	char *method, *path;
	const char *headers[HEADERS_MAX];
	char *body;
};

static void example_read(struct example *e, const char *block)
{
	int header_count = 0;
	int line = 1;

	memset(e, 0, sizeof(*e));
	e->lines = g_strsplit(block, "\n", -1);
	e->method = e->lines[0];
	e->path = strchr(e->lines[0], ' ');
	*e->path++ = '\0';
	for (; e->lines[line] && *e->lines[line]; line++) {
		g_assert_cmpint(header_count, <, HEADERS_MAX - 1);
		e->headers[header_count++] =
			strcmp(e->lines[line], "Authorization: Bearer KEY")
				? e->lines[line]
				: "Authorization: Bearer " OPERATOR_KEY;
	}
	if (e->lines[line])
		e->body = g_strjoinv("\n", e->lines + line + 1);
}

static void example_clear(struct example *e)
{
	g_strfreev(e->lines);
	g_free(e->body);
}

static void check_call(const struct proc *node, const struct example *e,
		       const char *response)
{
	const char *body = e->body && *e->body ? e->body : NULL;
	struct reply *r =
		procs_call(node, e->method, e->path, e->headers, body);

	g_assert_cmpint(r->status, ==, atoi(response));
	expect_json(strchr(response, '\n'), r->json, e->path);
	reply_free(r);
}

/* Wait for the next event with data; *id gets its id. */
static json_t *next_event(struct http_call *http_call, int64_t *id)
{
	int64_t until = time_mono_ms() + WAIT_MS;
	json_t *data = NULL;

	while (!data) {
		GByteArray *buf = http_call_unread(http_call);
		struct sse_event event;
		size_t n = sse_next((char *)buf->data, buf->len, &event);

		if (n && event.data.len) {
			*id = g_ascii_strtoll(event.id.data, NULL, 10);
			data = json_loadb(event.data.data, event.data.len, 0,
					  NULL);
		}
		if (n)
			g_byte_array_remove_range(buf, 0, (guint)n);
		else
			g_assert_cmpint(http_call_wait(http_call, until), ==,
					HTTP_CALL_DATA);
	}
	return data;
}

/* Compare a watch with the block's events, which empty lines separate. */
static void check_watch(const struct proc *node, const struct example *e,
			const char *response)
{
	char *url =
		g_strdup_printf("http://127.0.0.1:%d%s", node->port, e->path);
	struct http_request q = {.method = "GET",
				 .url = url,
				 .headers = e->headers,
				 .connect_timeout_ms = WAIT_MS,
				 .fresh = true};
	struct http_call *http_call = http_call_open(&q);
	char **want_events = g_strsplit(response, "\n\n", -1);

	for (int i = 0; want_events[i]; i++) {
		char **parts = g_strsplit(want_events[i], "\ndata: ", -1);
		char *want = g_strjoinv("\n", parts + 1);
		int64_t id = 0;
		json_t *got = next_event(http_call, &id);

		g_assert_cmpint(
			id, ==,
			g_ascii_strtoll(parts[0] + strlen("id: "), NULL, 10));
		expect_json(want, got, "event");
		json_decref(got);
		g_free(want);
		g_strfreev(parts);
	}
	g_strfreev(want_events);
	http_call_close(http_call);
	g_free(url);
}

/*
 * Return the text of the next block of this kind and move *cursor past it;
 * NULL if there is none. Free with g_free.
 */
static char *next_block(const char **cursor, const char *kind)
{
	char *opening = g_strconcat(BLOCK_FENCE "http ", kind, "\n", NULL);
	const char *start = strstr(*cursor, opening);
	const char *stop;
	char *text;

	if (!start) {
		g_free(opening);
		return NULL;
	}
	start += strlen(opening);
	g_free(opening);
	stop = strstr(start, "\n" BLOCK_FENCE);
	g_assert_nonnull(stop);
	text = g_strndup(start, (gsize)(stop - start));
	*cursor = stop + strlen("\n" BLOCK_FENCE);
	return text;
}

/* Run all examples of the page in order. Return how many there were. */
static int check_examples(const struct proc *node, const char *doc)
{
	char *request;
	int n = 0;

	while ((request = next_block(&doc, "request"))) {
		const char *after = doc;
		bool watch = strstr(request, "watch=true") != NULL;
		char *response =
			next_block(&after, watch ? "events" : "answer");
		struct example e;

		g_assert_nonnull(response);
		example_read(&e, request);
		(watch ? check_watch : check_call)(node, &e, response);
		example_clear(&e);
		g_free(response);
		g_free(request);
		doc = after;
		n++;
	}
	return n;
}

static void test_examples(void)
{
	struct cluster cluster;
	char *path, *doc;
	int blocks = 0;

	launch(&cluster, argv0, 1);
	path = g_build_filename(cluster.procs->build_root, "docs/API.md", NULL);
	g_assert_true(g_file_get_contents(path, &doc, NULL, NULL));
	for (const char *s = doc; (s = strstr(s, BLOCK_FENCE "http request"));
	     s++)
		blocks++;
	g_assert_cmpint(blocks, >, 10);
	g_assert_cmpint(check_examples(cluster.nodes[0], doc), ==, blocks);
	g_free(doc);
	g_free(path);
	cluster_stop(&cluster);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	argv0 = argv[0];
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL))
		return 1;
	g_test_add_func("/node/doc/examples", test_examples);
	return g_test_run();
}
