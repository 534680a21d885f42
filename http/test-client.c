/* The two HTTP clients against the HTTP server, in one process. */
#include <curl/curl.h>
#include <string.h>

#include "http/http.h"

#define TIMEOUT_MS 5000

/* Respond with the body and the method of the request. */
static int on_echo(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	(void)ctx;
	u_map_put(r->map_header, "X-Method", q->http_verb);
	ulfius_set_binary_body_response(r, 200, q->binary_body,
					q->binary_body_length);
	return U_CALLBACK_COMPLETE;
}

/* Respond after 300 ms, later than the timeouts of the tests. */
static int on_delayed(const struct _u_request *q, struct _u_response *r,
		      void *ctx)
{
	(void)q;
	(void)ctx;
	g_usleep(300 * 1000);
	ulfius_set_string_body_response(r, 200, "late");
	return U_CALLBACK_COMPLETE;
}

static atomic_bool send_second_half;

/* Send half an event and, once send_second_half is set, the other half. */
static ssize_t stream_halves(void *ctx, uint64_t off, char *buf, size_t max)
{
	static const char *const halves[] = {"data: a", "b\n\n"};
	int *next = ctx;
	size_t n;

	(void)off;
	if (*next == G_N_ELEMENTS(halves))
		return U_STREAM_END;
	while (*next && !atomic_load(&send_second_half))
		g_usleep(1000);
	n = MIN(max, strlen(halves[*next]));
	memcpy(buf, halves[(*next)++], n);
	return (ssize_t)n;
}

static int on_halves(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	(void)q;
	(void)ctx;
	u_map_put(r->map_header, "X-Kind", "halves");
	ulfius_set_stream_response(r, 200, stream_halves, g_free,
				   U_STREAM_SIZE_UNKNOWN, 64, g_new0(int, 1));
	return U_CALLBACK_COMPLETE;
}

static int on_path_name(const struct _u_request *q, struct _u_response *r,
			void *ctx)
{
	const char *name = u_map_get(q->map_url, "name");

	(void)ctx;
	ulfius_set_string_body_response(r, 200, name ? name : "(none)");
	return U_CALLBACK_COMPLETE;
}

static const struct server_route routes[] = {
	{"GET", "/halves", on_halves},
	{"GET", "/things/:name/part", on_path_name},
	{"*", "/echo", on_echo},
	{"GET", "/silent", on_delayed},
};

static struct server server;

static char *server_url(const char *path)
{
	return g_strdup_printf("http://127.0.0.1:%d%s", server.port, path);
}

static struct http_call *open_call(const char *path, const char *body)
{
	char *full_url = server_url(path);
	struct http_request q = {.method = body ? "POST" : "GET",
				 .url = full_url,
				 .body = str_c(body),
				 .connect_timeout_ms = 1000};
	struct http_call *call = http_call_open(&q);

	g_free(full_url);
	return call;
}

static void test_call_complete(void)
{
	struct http_call *call = open_call("/echo", "abc");

	g_assert_cmpint(http_call_wait(call, time_mono_ms() + TIMEOUT_MS), ==,
			HTTP_CALL_DATA);
	g_assert_cmpmem(http_call_unread(call)->data,
			http_call_unread(call)->len, "abc", 3);
	g_assert_cmpint(http_call_status(call), ==, 200);
	g_assert_cmpstr(http_call_header(call, "x-method"), ==, "POST");
	g_byte_array_set_size(http_call_unread(call), 0);
	g_assert_cmpint(http_call_wait(call, time_mono_ms() + TIMEOUT_MS), ==,
			HTTP_CALL_END);
	http_call_close(call);
}

/* After a timeout the server may have run the request. */
static void test_call_stall(void)
{
	struct http_call *call = open_call("/silent", NULL);

	g_assert_cmpint(http_call_wait(call, time_mono_ms() + 50), ==,
			HTTP_CALL_TIMEOUT);
	g_assert_true(http_call_maybe_sent(call));
	http_call_close(call);
}

/* When the connection is refused, the request hasn't been sent. */
static void test_call_refused(void)
{
	struct http_request q = {.method = "GET",
				 .url = "http://127.0.0.1:1/",
				 .connect_timeout_ms = 1000};
	struct http_call *call = http_call_open(&q);

	g_assert_cmpint(http_call_wait(call, time_mono_ms() + TIMEOUT_MS), ==,
			HTTP_CALL_FAILED);
	g_assert_false(http_call_maybe_sent(call));
	http_call_close(call);
}

/*
 * Unread bytes of an incomplete event must not end http_call_wait_more, or a
 * reader would loop without waiting.
 */
static void test_call_wait_more(void)
{
	int64_t until_ms = time_mono_ms() + TIMEOUT_MS;
	struct http_call *call;

	atomic_store(&send_second_half, false);
	call = open_call("/halves", NULL);
	g_assert_cmpint(http_call_wait_headers(call, until_ms), ==,
			HTTP_CALL_DATA);
	g_assert_cmpstr(http_call_header(call, "x-kind"), ==, "halves");
	while (http_call_unread(call)->len < strlen("data: a"))
		g_assert_cmpint(http_call_wait_more(call, until_ms), ==,
				HTTP_CALL_DATA);
	g_assert_cmpint(http_call_wait_more(call, time_mono_ms()), ==,
			HTTP_CALL_TIMEOUT);
	atomic_store(&send_second_half, true);
	g_assert_cmpint(http_call_wait(call, until_ms), ==, HTTP_CALL_DATA);
	g_assert_cmpint(http_call_wait_more(call, until_ms), ==,
			HTTP_CALL_DATA);
	g_assert_cmpmem(http_call_unread(call)->data,
			http_call_unread(call)->len, "data: ab\n\n", 10);
	g_assert_cmpint(http_call_wait_more(call, until_ms), ==, HTTP_CALL_END);
	http_call_close(call);
}

/* The handler gets the path segments that its route names. */
static void test_path_names(void)
{
	struct http_call *call = open_call("/things/abc/part", NULL);

	g_assert_cmpint(http_call_wait(call, time_mono_ms() + TIMEOUT_MS), ==,
			HTTP_CALL_DATA);
	g_assert_cmpmem(http_call_unread(call)->data,
			http_call_unread(call)->len, "abc", 3);
	http_call_close(call);
}

/* A request counts as in progress until its response has been sent. */
static void test_busy(void)
{
	int64_t until_ms = time_mono_ms() + TIMEOUT_MS;
	struct http_call *call;

	atomic_store(&send_second_half, false);
	call = open_call("/halves", NULL);
	g_assert_cmpint(http_call_wait(call, until_ms), ==, HTTP_CALL_DATA);
	g_assert_true(server_busy(&server));
	atomic_store(&send_second_half, true);
	while (http_call_wait_more(call, until_ms) == HTTP_CALL_DATA)
		;
	while (server_busy(&server) && time_mono_ms() < until_ms)
		g_usleep(1000);
	g_assert_false(server_busy(&server));
	http_call_close(call);
}

/* A copy of a fetch_result; it outlives the callback. */
struct fetch_outcome {
	bool done;
	int status;
	bool maybe_sent;
	char body[16];
};

static void on_done(const struct fetch_result *r, void *arg)
{
	struct fetch_outcome *outcome = arg;

	outcome->done = true;
	outcome->status = r->status;
	outcome->maybe_sent = r->maybe_sent;
	if (r->body.len < sizeof(outcome->body))
		memcpy(outcome->body, r->body.data ? r->body.data : "",
		       r->body.len);
}

static void test_fetch(void)
{
	static const struct {
		const char *path, *body;
		int64_t timeout_ms;
		int status;
		bool maybe_sent;
	} cases[] = {
		{"/echo", "hi", TIMEOUT_MS, 200, true},
		{"/silent", NULL, 50, 0, true},
		{"/nowhere", NULL, TIMEOUT_MS, 404, true},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fetcher *f = fetcher_new();
		struct fetch_outcome outcome = {0};
		char *full_url = server_url(cases[i].path);

		fetch(f, cases[i].body ? "POST" : "GET", full_url,
		      str_c(cases[i].body), cases[i].timeout_ms, on_done,
		      &outcome);
		while (!outcome.done)
			fetcher_poll(f, NULL, 0, 100);
		g_assert_cmpint(outcome.status, ==, cases[i].status);
		g_assert_true(outcome.maybe_sent == cases[i].maybe_sent);
		if (cases[i].body)
			g_assert_cmpstr(outcome.body, ==, cases[i].body);
		g_free(full_url);
		fetcher_free(f);
	}
}

/* When the connection is refused, the request hasn't been sent. */
static void test_fetch_refused(void)
{
	struct fetcher *f = fetcher_new();
	struct fetch_outcome outcome = {.maybe_sent = true};

	fetch(f, "GET", "http://127.0.0.1:1/", str_c(NULL), 1000, on_done,
	      &outcome);
	while (!outcome.done)
		fetcher_poll(f, NULL, 0, 100);
	g_assert_false(outcome.maybe_sent);
	fetcher_free(f);
}

int main(int argc, char **argv)
{
	struct server_options options = {0};
	int failed;

	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	g_assert_true(server_start(&server, &options, routes,
				   G_N_ELEMENTS(routes), NULL));
	g_test_add_func("/http/pull/whole", test_call_complete);
	g_test_add_func("/http/pull/silence", test_call_stall);
	g_test_add_func("/http/pull/refused", test_call_refused);
	g_test_add_func("/http/pull/more", test_call_wait_more);
	g_test_add_func("/http/server/path-names", test_path_names);
	g_test_add_func("/http/server/busy", test_busy);
	g_test_add_func("/http/fetch/table", test_fetch);
	g_test_add_func("/http/fetch/refused", test_fetch_refused);
	failed = g_test_run();
	server_stop(&server);
	return failed;
}
