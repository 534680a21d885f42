/*
 * Targets of the own interface that answer with a refusal of another request,
 * or late with an error: callers are told that a request has not run which has,
 * it runs at a second target, or an error's text passes for a whole stream.
 * The nodes are real processes, the targets sockets of this test.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node/test-harness.h"

#define TARGETS 2
#define WORDS   3
/* Longer than a node waits for the headers of a request it has forwarded. */
#define LATE_MS  700
#define SETTINGS "[streams]\nsilence = 3000\n"

/* What a target writes before, or instead of, the answer of a request. */
struct answer_case {
	const char *name;
	const char *first; /* %s: the request's own id */
	int late_ms;
	bool on_kept;     /* only on a connection that has been used */
	bool then_answer; /* the true answer follows */
	bool refuses;     /* the request itself, which has not run */
};

#define REFUSAL "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n"
#define DONE    "data: [DONE]\n\n"

static const struct answer_case cases[] = {
	{"other-id", "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\n\r\n" DONE, 0,
	 false, false, false},
	{"earlier-id", REFUSAL "Request-Id: earlier\r\n\r\n", 0, false, true,
	 false},
	{"earlier-id-alone", REFUSAL "Request-Id: earlier\r\n\r\n", 0, false,
	 false, false},
	{"earlier-400",
	 "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n"
	 "Request-Id: earlier\r\n\r\n",
	 0, false, true, false},
	{"no-id-on-kept", REFUSAL "\r\n", 0, true, true, false},
	{"earlier-id-on-kept", REFUSAL "Request-Id: earlier\r\n\r\n", 0, true,
	 true, false},
	{"late-503",
	 "HTTP/1.1 503 Full\r\nContent-Length: 14\r\n"
	 "Content-Type: text/event-stream\r\n"
	 "Request-Id: %s\r\n\r\n" DONE,
	 LATE_MS, false, false, true},
	{"late-500", "HTTP/1.1 500 Bad\r\nRequest-Id: %s\r\n\r\n" DONE, LATE_MS,
	 false, false, false},
	{"late-other-id", "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\n\r\n" DONE,
	 LATE_MS, false, false, false},
};

struct test_target {
	int listener, port;
	GThread *thread;
};

static struct test_target targets[TARGETS];
static const struct answer_case *_Atomic current; /* of requests of a test */
static atomic_bool stop;
static atomic_int threads; /* of connections */
static atomic_int runs;    /* requests that have run */
static atomic_int odd;     /* answers that were not plain */

static void send_text(int fd, const char *text)
{
	(void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Copy a header's value; "" when there is none. */
static char *copy_header(const char *request, const char *name)
{
	char *line = g_strdup_printf("\r\n%s: ", name);
	const char *p = strcasestr(request, line);
	char *value =
		p ? g_strndup(p + strlen(line), strcspn(p + strlen(line), "\r"))
		  : g_strdup("");

	g_free(line);
	return value;
}

/* Send the whole answer of a request from event 0 on. */
static void send_answer(int fd, const char *id)
{
	GString *body = g_string_new(NULL);
	GString *text = g_string_new(NULL);

	for (int i = 0; i < WORDS; i++)
		g_string_append_printf(
			body,
			"id: %s:%d\ndata: {\"choices\":[{\"index\":0,"
			"\"delta\":{\"content\":\"w%d \"}}]}\n\n",
			id, i, i);
	g_string_append(body, DONE);
	g_string_printf(text,
			"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
			"Content-Type: text/event-stream\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			id, body->len, body->str);
	send_text(fd, text->str);
	g_string_free(body, TRUE);
	g_string_free(text, TRUE);
}

/* Send the whole answer of a call to a plain service. */
static void send_plain_answer(int fd, const char *id)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
				     "Content-Length: 3\r\n\r\nran",
				     id);

	send_text(fd, text);
	g_free(text);
}

/* Run a request; the case decides what the target writes. */
static void run(int fd, const char *id, int on_connection,
		void (*answer)(int fd, const char *id))
{
	/* The test may go on while this waits. */
	const struct answer_case *c = atomic_load(&current);
	char *first;

	if (!c || !c->refuses)
		atomic_fetch_add(&runs, 1);
	if (!c || (c->on_kept && on_connection == 1)) {
		answer(fd, id);
		return;
	}
	atomic_fetch_add(&odd, 1);
	g_usleep((gulong)c->late_ms * 1000);
	first = g_strdup_printf(c->first, id);
	send_text(fd, first);
	g_free(first);
	if (c->then_answer)
		answer(fd, id);
	else if (!strstr(c->first, "Content-Length"))
		shutdown(fd, SHUT_WR);
}

/* Serve one request; chats and calls of a service run, no other does. */
static void serve(int fd, const char *request, int on_connection)
{
	char *id = copy_header(request, "Request-Id");

	if (g_str_has_prefix(request, "POST /v1/chat/"))
		run(fd, id, on_connection, send_answer);
	else if (strstr(request, " /app/"))
		run(fd, id, on_connection, send_plain_answer);
	else if (g_str_has_prefix(request, "GET /load"))
		send_text(fd,
			  "HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n"
			  "{\"running\":0,\"queued\":0,\"work_tokens\":0}  ");
	else
		send_text(fd, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
	g_free(id);
}

/* Read a whole request; NULL at the end of the connection or of the test. */
static char *read_request(int fd)
{
	GString *s = g_string_new(NULL);
	struct pollfd p = {fd, POLLIN, 0};

	while (!atomic_load(&stop)) {
		char buf[4096];
		char *end = strstr(s->str, "\r\n\r\n");
		char *length = copy_header(s->str, "Content-Length");
		gsize want =
			end ? (gsize)(end + 4 - s->str) + (gsize)atoi(length)
			    : G_MAXSIZE;
		ssize_t n;

		g_free(length);
		if (s->len >= want)
			return g_string_free(s, FALSE);
		if (poll(&p, 1, 20) != 1)
			continue;
		n = recv(fd, buf, sizeof(buf), 0);
		if (n <= 0)
			break;
		g_string_append_len(s, buf, n);
	}
	g_string_free(s, TRUE);
	return NULL;
}

static void *connection_thread(void *arg)
{
	int fd = GPOINTER_TO_INT(arg), on = 1, n = 0;
	char *request;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	while ((request = read_request(fd))) {
		serve(fd, request, ++n);
		g_free(request);
	}
	close(fd);
	atomic_fetch_sub(&threads, 1);
	return NULL;
}

static void *accept_thread(void *arg)
{
	struct test_target *t = arg;
	struct pollfd p = {t->listener, POLLIN, 0};

	while (!atomic_load(&stop)) {
		int fd = poll(&p, 1, 20) == 1 ? accept(t->listener, NULL, NULL)
					      : -1;

		if (fd < 0)
			continue;
		atomic_fetch_add(&threads, 1);
		g_thread_unref(g_thread_new("connection", connection_thread,
					    GINT_TO_POINTER(fd)));
	}
	close(t->listener);
	return NULL;
}

static void start_targets(void)
{
	atomic_store(&stop, false);
	for (int i = 0; i < TARGETS; i++) {
		struct sockaddr_in at = {.sin_family = AF_INET};
		socklen_t len = sizeof(at);

		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		targets[i].listener =
			socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		g_assert_cmpint(bind(targets[i].listener,
				     (struct sockaddr *)&at, sizeof(at)),
				==, 0);
		g_assert_cmpint(listen(targets[i].listener, 64), ==, 0);
		getsockname(targets[i].listener, (struct sockaddr *)&at, &len);
		targets[i].port = ntohs(at.sin_port);
		targets[i].thread =
			g_thread_new("target", accept_thread, &targets[i]);
	}
}

static void stop_targets(void)
{
	atomic_store(&stop, true);
	for (int i = 0; i < TARGETS; i++)
		g_thread_join(targets[i].thread);
	WAIT_UNTIL(!atomic_load(&threads));
}

/* Start two nodes, so that one forwards to the other, and two targets. */
static struct rig *start_rig(void)
{
	struct rig *g = rig_new(TARGETS, 2, SETTINGS);

	start_targets();
	for (unsigned i = 0; i < TARGETS; i++) {
		g->engines[i].advertised_port = targets[i].port;
		g->services[i].advertised_port = targets[i].port;
	}
	rig_start(g);
	return g;
}

/* Send a chat and return what the caller gets of it as a whole. */
static struct reply call_chat(int port, const char *service, bool stream)
{
	static const char *const headers[] = {"Authorization: Bearer key-recif",
					      "Content-Type: application/json",
					      NULL};
	static int calls;
	char *body = g_strdup_printf(
		"{\"model\":\"%s\",\"stream\":%s,\"messages\":"
		"[{\"role\":\"user\",\"content\":\"call %d\"}]}",
		service, stream ? "true" : "false", ++calls);
	struct reply r =
		call_local(port, "POST", "/v1/chat/completions", headers, body);

	g_free(body);
	return r;
}

/* A caller never gets less than the whole answer as a success. */
static void check_reply(const struct reply *r, bool stream, bool once, int ran)
{
	bool whole = r->body && strstr(r->body, "w0 ") &&
		     (!stream || strstr(r->body, "w2 "));

	g_test_message("status %d outcome %s runs %d: %s", r->status,
		       r->outcome ? r->outcome : "-", ran,
		       r->body ? r->body : "-");
	if (ran) {
		g_assert_cmpint(r->status, !=, 503);
		g_assert_cmpstr(r->outcome, !=, "not-run");
		g_assert_false(r->body && strstr(r->body, "not-run"));
	}
	if (once)
		g_assert_cmpint(ran, <=, 1);
	if (r->status == 200 && (!stream || strstr(r->body, "[DONE]")))
		g_assert_true(whole);
}

static void test_case(gconstpointer data)
{
	static const char *const services[] = {"assistant", "report"};
	struct rig *g = start_rig();

	atomic_store(&odd, 0);
	for (int i = 0; i < 8; i++) {
		bool once = i & 1, stream = i & 2;
		int port = g->nodes[i >> 2].port;
		struct reply r;
		int before;

		/* There are connections that may be used again. */
		current = NULL;
		for (int k = 0; k < 3; k++) {
			r = call_chat(port, services[0], false);
			g_assert_cmpint(r.status, ==, 200);
			reply_clear(&r);
		}
		current = data;
		before = atomic_load(&runs);
		r = call_chat(port, services[once], stream);
		check_reply(&r, stream, once, atomic_load(&runs) - before);
		reply_clear(&r);
	}
	if (!current->on_kept)
		g_assert_cmpint(atomic_load(&odd), >=, 8);
	g_test_message("odd answers: %d", atomic_load(&odd));
	current = NULL;
	rig_free(g);
	stop_targets();
}

/* The same of a service whose calls may (GET) or may not (POST) be repeated. */
static void test_plain(gconstpointer data)
{
	static const char *const methods[] = {"GET", "POST"};
	struct rig *g = start_rig();

	for (int i = 0; i < 8; i++) {
		const char *method = methods[i & 1];
		char *path = g_strdup_printf("/v1/services/forum/app/%d", i);
		char *key = g_strdup_printf("Idempotency-Key: k%d", i);
		const char *h[] = {"Authorization: Bearer key-recif", key,
				   NULL};
		struct reply r;
		int before;

		current = NULL;
		for (int k = 0; k < 3; k++) {
			r = call_local(g->nodes[0].port, "GET",
				       "/v1/services/forum/app/", h, NULL);
			g_assert_cmpint(r.status, ==, 200);
			reply_clear(&r);
		}
		current = data;
		before = atomic_load(&runs);
		r = call_local(g->nodes[0].port, method, path, h, NULL);
		g_test_message("%s: status %d outcome %s body %s", method,
			       r.status, r.outcome ? r.outcome : "-",
			       r.body ? r.body : "-");
		g_assert_cmpstr(r.outcome, !=, "not-run");
		if (r.status == 200)
			g_assert_cmpstr(r.body, ==, "ran");
		if (i & 1)
			g_assert_cmpint(atomic_load(&runs) - before, ==, 1);
		reply_clear(&r);
		g_free(key);
		g_free(path);
	}
	current = NULL;
	rig_free(g);
	stop_targets();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path =
			g_strconcat("/foreign-answers/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], test_case);
		g_free(path);
		if (cases[i].late_ms)
			continue;
		path = g_strconcat("/foreign-answers/plain/", cases[i].name,
				   NULL);
		g_test_add_data_func(path, &cases[i], test_plain);
		g_free(path);
	}
	return g_test_run();
}
