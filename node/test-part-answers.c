/*
 * Targets of the own interface whose response is none, or only a part of one: a
 * status that HTTP does not have, and a body without a length that is reset,
 * at the latest while the request's body is still being written. The nodes are
 * real processes, the targets sockets of this test.
 */
#include <curl/curl.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>

#include "node/test-raw-targets.h"

#define TARGETS    2
#define CALLS      12
#define BODY_BYTES 900000

struct odd_case {
	const char *name;
	const char *status; /* NULL: a part of the body, then a reset */
	bool stream;        /* a chat, else a call of a service */
};

static const struct odd_case cases[] = {
	{"reset/plain", NULL, false}, {"reset/stream", NULL, true},
	{"000/plain", "000", false},  {"000/stream", "000", true},
	{"099/plain", "099", false},  {"099/stream", "099", true},
	{"600/plain", "600", false},  {"600/stream", "600", true},
	{"999/plain", "999", false},  {"999/stream", "999", true},
};

static const struct odd_case *_Atomic current;

static bool respond_odd(int fd, const char *id)
{
	static const struct linger reset = {1, 0};
	const struct odd_case *c = current;
	const char *body =
		c->stream ? "id: %s:0\ndata: {\"choices\":[{\"index\":0,"
			    "\"delta\":{\"content\":\"w0 \"}}]}\n\n"
			  : "part of it %s";
	char *part = g_strdup_printf(body, id);
	char *text = g_strdup_printf(
		"HTTP/1.1 %s X\r\nRequest-Id: %s\r\nContent-Type: %s\r\n%s\r\n"
		"%s%s",
		c->status ? c->status : "200", id,
		c->stream ? "text/event-stream" : "text/plain",
		c->status ? "Connection: close\r\n" : "", part,
		c->status && c->stream ? "data: [DONE]\n\n" : "");

	raw_send(fd, text);
	g_usleep(2000);
	if (!c->status)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	g_free(text);
	g_free(part);
	return false;
}

static bool serve(int fd, const char *request, int on_connection)
{
	char *id = raw_header(request, "Request-Id");
	bool open = true;

	(void)on_connection;
	if (g_str_has_prefix(request, "POST /v1/chat/") ||
	    g_str_has_prefix(request, "POST /app/"))
		open = respond_odd(fd, id);
	else if (g_str_has_prefix(request, "GET /load"))
		raw_send(fd,
			 "HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n"
			 "{\"running\":0,\"queued\":0,\"work_tokens\":0}  ");
	else
		raw_send(fd, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
	g_free(id);
	return open;
}

static struct reply call(int port, bool stream, const char *filler)
{
	static const char *const headers[] = {"Authorization: Bearer key-recif",
					      "Content-Type: application/json",
					      NULL};
	char *body = g_strdup_printf(
		"{\"model\":\"assistant\",\"stream\":true,\"messages\":"
		"[{\"role\":\"user\",\"content\":\"%s\"}]}",
		filler);
	struct reply r = call_local(port, "POST",
				    stream ? "/v1/chat/completions"
					   : "/v1/services/forum/app/odd",
				    headers, body);

	g_free(body);
	return r;
}

/* A caller gets it as a whole answer, or its status as it is. */
static void test_odd(gconstpointer data)
{
	const struct odd_case *c = data;
	struct rig *g = rig_new(TARGETS, 2, "[streams]\nsilence = 3000\n");
	char *filler = g_strnfill(c->status ? 1 : BODY_BYTES, 'x');
	int wrong = 0;

	current = c;
	raw_targets_start(g, serve);
	rig_start(g);
	atomic_store(&raw_targets_early, !c->status);
	for (int i = 0; i < CALLS; i++) {
		struct reply r = call(g->nodes[i % 2].port, c->stream, filler);
		bool whole =
			r.status == 200 &&
			(!c->stream || (r.body && strstr(r.body, "[DONE]")));

		g_test_message("status %d outcome %s: %s", r.status,
			       r.outcome ? r.outcome : "-",
			       r.body ? r.body : "-");
		wrong += whole || r.status > 599 ||
			 (r.status < 400 && r.status != 200) ||
			 !g_strcmp0(r.outcome, "complete") ||
			 !g_strcmp0(r.outcome, "not-run");
		reply_clear(&r);
	}
	atomic_store(&raw_targets_early, false);
	g_assert_cmpint(wrong, ==, 0);
	rig_free(g);
	raw_targets_stop();
	g_free(filler);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path =
			g_strconcat("/part-answers-own/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], test_odd);
		g_free(path);
	}
	return g_test_run();
}
