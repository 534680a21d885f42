/*
 * Targets of the own interface that send bytes without end, in a head, a body
 * or an event. The node is a real process, the targets sockets of this test.
 */
#include <curl/curl.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>

#include "node/test-raw-targets.h"

#define TARGETS 2
/* More than this of one response is never read. */
#define BYTES_MAX (24 << 20)
/* Requests at the same time, and what the node may hold of their responses. */
#define CALLERS    32
#define MEMORY_MAX (100 << 20)
#define SETTINGS   "[limits]\nrequest = 3000\n"

struct endless {
	const char *name;
	const char *start; /* %s: the request's id */
	const char *piece;
	bool stream;
};

#define HEAD "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
#define SSE  "Content-Type: text/event-stream\r\n\r\n"

static const struct endless cases[] = {
	{"nothing-but-bytes", "%.0s", "aaaaaaaaaaaaaaaa", false},
	{"header-value", HEAD "X: ", "aaaaaaaaaaaaaaaa", false},
	{"headers", HEAD, "X-Y: zzzzzzzzzz\r\n", false},
	{"interim", "%.0s", "HTTP/1.1 102 Processing\r\n\r\n", false},
	{"body", HEAD "\r\n", "aaaaaaaaaaaaaaaa", false},
	{"chunk-size", HEAD "Transfer-Encoding: chunked\r\n\r\n",
	 "0000000000000000", false},
	{"event", HEAD SSE "id: %s:0\n", "data: aaaaaaaaaa\n", true},
	{"event-line", HEAD SSE "data: ", "aaaaaaaaaaaaaaaa", true},
	{"comments", HEAD SSE, ": aaaaaaaaaaaa\n", true},
	{"other-events", HEAD SSE, "id: other:1\ndata: a\n\n", true},
};

static const struct endless *_Atomic current;
static atomic_int_least64_t most_sent; /* by a target, on one connection */
static atomic_int begun, ended, unclosed;

static void send_without_end(int fd, const char *id)
{
	const struct endless *e = current;
	GString *block = g_string_new(NULL);
	char *start = g_strdup_printf(e->start, id, id);
	int64_t sent = 0;
	ssize_t n = 0;

	atomic_fetch_add(&begun, 1);
	raw_send(fd, start);
	while (block->len < 16384)
		g_string_append(block, e->piece);
	while (sent < 2 * (int64_t)BYTES_MAX &&
	       (n = send(fd, block->str, block->len, MSG_NOSIGNAL)) > 0)
		sent += n;
	atomic_fetch_add(&unclosed, n > 0);
	if (sent > atomic_load(&most_sent))
		atomic_store(&most_sent, sent);
	g_free(start);
	g_string_free(block, TRUE);
	atomic_fetch_add(&ended, 1);
}

static bool serve(int fd, const char *request, int on_connection)
{
	char *id = raw_header(request, "Request-Id"), *text;
	bool endless = g_str_has_prefix(request, "POST /v1/chat/") ||
		       g_str_has_prefix(request, "POST /app/");

	(void)on_connection;
	if (endless) {
		send_without_end(fd, id);
	} else if (strstr(request, " /app/sound")) {
		text = g_strdup_printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
				       "Content-Length: 5\r\n\r\nsound",
				       id);
		raw_send(fd, text);
		g_free(text);
	} else if (g_str_has_prefix(request, "GET /load")) {
		raw_send(fd,
			 "HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n"
			 "{\"running\":0,\"queued\":0,\"work_tokens\":0}  ");
	} else {
		raw_send(fd, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
	}
	g_free(id);
	return !endless;
}

static struct reply call_plain(int port, const char *method, const char *path)
{
	static const char *const headers[] = {"Authorization: Bearer key-recif",
					      NULL};

	return call_local(port, method, path, headers,
			  *method == 'P' ? "x" : NULL);
}

static bool is_sound(int port)
{
	struct reply r =
		call_plain(port, "GET", "/v1/services/forum/app/sound");
	bool sound = r.status == 200 && r.body && !strcmp(r.body, "sound");

	reply_clear(&r);
	return sound;
}

static void *call_endless(void *port)
{
	static const char *const headers[] = {"Authorization: Bearer key-recif",
					      "Content-Type: application/json",
					      NULL};
	const struct endless *e = current;
	struct reply r;
	bool whole;

	if (!e->stream)
		r = call_plain(GPOINTER_TO_INT(port), "POST",
			       "/v1/services/forum/app/endless");
	else
		r = call_local(GPOINTER_TO_INT(port), "POST",
			       "/v1/chat/completions", headers,
			       "{\"model\":\"assistant\",\"stream\":true,"
			       "\"messages\":[{\"role\":\"user\","
			       "\"content\":\"x\"}]}");
	whole = r.status == 200 &&
		(!e->stream || (r.body && strstr(r.body, "[DONE]")));
	reply_clear(&r);
	return GINT_TO_POINTER(whole);
}

/*
 * Endless responses fill the memory, pass for whole ones, or end the requests
 * of other callers.
 */
static void test_endless(gconstpointer data)
{
	struct rig *g = rig_new(TARGETS, 1, SETTINGS);
	GThread *threads[CALLERS];
	int64_t before, most = 0;
	int unsound = 0, whole = 0, port;

	atomic_store(&most_sent, 0);
	atomic_store(&begun, 0);
	atomic_store(&ended, 0);
	atomic_store(&unclosed, 0);
	current = data;
	raw_targets_start(g, serve);
	rig_start(g);
	port = g->nodes[0].port;
	WAIT_UNTIL(is_sound(port));
	before = proc_memory_bytes(&g->nodes[0]);
	g_assert_cmpint(before, >, 0);
	for (size_t i = 0; i < CALLERS; i++)
		threads[i] = g_thread_new("caller", call_endless,
					  GINT_TO_POINTER(port));
	for (int i = 0; i < 50; i++) {
		most = MAX(most, proc_memory_bytes(&g->nodes[0]));
		unsound += !is_sound(port);
		g_usleep(20 * 1000);
	}
	for (size_t i = 0; i < CALLERS; i++)
		whole += GPOINTER_TO_INT(g_thread_join(threads[i]));
	most = MAX(most, proc_memory_bytes(&g->nodes[0]));
	WAIT_UNTIL(atomic_load(&begun) > 0 &&
		   atomic_load(&ended) == atomic_load(&begun));
	g_test_message("%d begun, %d sound calls failed, at most %d MB sent,"
		       " memory grew by %d MB",
		       atomic_load(&begun), unsound,
		       (int)(atomic_load(&most_sent) >> 20),
		       (int)((most - before) >> 20));
	g_assert_cmpint(whole, ==, 0);
	g_assert_cmpint(unsound, ==, 0);
	g_assert_cmpint(atomic_load(&unclosed), ==, 0);
	g_assert_cmpint(atomic_load(&most_sent), <=, BYTES_MAX);
	g_assert_cmpint(most - before, <=, MEMORY_MAX);
	rig_free(g);
	raw_targets_stop();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/endless-own/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_endless);
		g_free(path);
	}
	return g_test_run();
}
