/*
 * Targets of the own interface that answer with a refusal of another request,
 * or late with an error: callers are told that a request has not run which has,
 * it runs at a second target, or an error's text passes for a whole stream.
 * The nodes are real processes, the targets sockets of this test.
 */
#include <curl/curl.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>

#include "node/test-raw-targets.h"

#define TARGETS 2
#define WORDS   3
/* After an answer, before the response that comes once more. */
#define AGAIN_MS 20
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

static const struct answer_case *_Atomic current; /* of requests of a test */
static atomic_int runs;                           /* requests that have run */
static atomic_int odd; /* answers that were not plain */

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
	raw_send(fd, text->str);
	g_string_free(body, TRUE);
	g_string_free(text, TRUE);
}

/* Send the whole answer of a call to a plain service. */
static void send_plain_answer(int fd, const char *id)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
				     "Content-Length: 3\r\n\r\nran",
				     id);

	raw_send(fd, text);
	g_free(text);
}

/* Run a request; the case decides what the target writes. */
static void run(int fd, const char *id, int on_connection,
		void (*answer)(int fd, const char *id))
{
	/* The test may end while this thread waits. */
	const struct answer_case *c = current;
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
	raw_send(fd, first);
	g_free(first);
	if (c->then_answer)
		answer(fd, id);
	else if (!strstr(c->first, "Content-Length"))
		shutdown(fd, SHUT_WR);
}

/* When a response is written that no request has asked for. */
enum when { AT_ONCE, LATER, BEFORE_NEXT, WHENS };

static const char *const when_names[WHENS] = {"at-once", "later",
					      "before-next"};

#define AGAIN(status) "HTTP/1.1 " status " X\r\nContent-Length: 0\r\n"

/* Responses of a plain service that come once more on a kept connection. */
static const struct again_case {
	const char *name;
	const char *text;
} again_cases[] = {
	{"503", AGAIN("503") "\r\n"},
	{"503-closes", AGAIN("503") "Connection: close\r\n\r\n"},
	{"503-named", AGAIN("503") "Request-Id: earlier\r\n\r\n"},
	{"408", AGAIN("408") "\r\n"},
	{"408-closes", AGAIN("408") "Connection: close\r\n\r\n"},
	{"421", AGAIN("421") "\r\n"},
	{"429", AGAIN("429") "Retry-After: 1\r\n\r\n"},
	{"429-named", AGAIN("429") "Request-Id: earlier\r\n\r\n"},
	{"500-named", AGAIN("500") "Request-Id: earlier\r\n\r\n"},
	{"200-named", AGAIN("200") "Request-Id: earlier\r\n\r\n"},
};

static const struct again_case *_Atomic again;
static const struct again_case *_Atomic empty;
static atomic_int again_when;
static atomic_int posts; /* calls that must not be repeated, and have run */

/* Answer a call of a service, and write a response once more. */
static void run_again(int fd, const char *id, int on_connection)
{
	const struct again_case *c = again;
	int when = atomic_load(&again_when);

	atomic_fetch_add(&runs, 1);
	if (when == BEFORE_NEXT && on_connection > 1) {
		atomic_fetch_add(&odd, 1);
		raw_send(fd, c->text);
	}
	send_plain_answer(fd, id);
	if (when == LATER)
		g_usleep(AGAIN_MS * 1000);
	if (when != BEFORE_NEXT) {
		atomic_fetch_add(&odd, 1);
		raw_send(fd, c->text);
	}
}

/* Serve one request; chats and calls of a service run, no other does. */
static bool serve(int fd, const char *request, int on_connection)
{
	char *id = raw_header(request, "Request-Id");

	if (g_str_has_prefix(request, "POST /app/"))
		atomic_fetch_add(&posts, 1);
	if (g_str_has_prefix(request, "POST /v1/chat/"))
		run(fd, id, on_connection, send_answer);
	else if (strstr(request, " /app/empty") && empty)
		raw_send(fd, empty->text);
	else if (strstr(request, " /app/") && again)
		run_again(fd, id, on_connection);
	else if (strstr(request, " /app/"))
		run(fd, id, on_connection, send_plain_answer);
	else if (g_str_has_prefix(request, "GET /load"))
		raw_send(fd,
			 "HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n"
			 "{\"running\":0,\"queued\":0,\"work_tokens\":0}  ");
	else
		raw_send(fd, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
	g_free(id);
	return true;
}

/* Start two nodes, so that one forwards to the other, and two targets. */
static struct rig *start_rig(void)
{
	struct rig *g = rig_new(TARGETS, 2, SETTINGS);

	raw_targets_start(g, serve);
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
	raw_targets_stop();
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
	raw_targets_stop();
}

/* Each caller gets the answer of its own call. */
static void test_again(gconstpointer data)
{
	static const char *const methods[] = {"GET", "PUT", "DELETE", "POST"};
	struct rig *g = start_rig();
	int wrong = 0;

	again = data;
	for (int i = 0; i < 24 * WHENS; i++) {
		const char *method = methods[i % 4];
		char *path = g_strdup_printf("/v1/services/forum/app/%d", i);
		char *key = g_strdup_printf("Idempotency-Key: a%d", i);
		const char *h[] = {"Authorization: Bearer key-recif", key,
				   NULL};
		int before = atomic_load(&posts);
		struct reply r;

		atomic_store(&again_when, i / 24);
		r = call_local(g->nodes[0].port, method, path, h, NULL);
		if (r.status != 200 || g_strcmp0(r.body, "ran") ||
		    g_strcmp0(r.outcome, "complete") ||
		    atomic_load(&posts) - before != (i % 4 == 3)) {
			wrong++;
			g_test_message("%s, %s: status %d outcome %s body %s",
				       method, when_names[i / 24], r.status,
				       r.outcome ? r.outcome : "-",
				       r.body ? r.body : "-");
		}
		/* Every other call begins when the connection is idle. */
		if (i / 4 % 2)
			g_usleep(2 * AGAIN_MS * 1000);
		reply_clear(&r);
		g_free(key);
		g_free(path);
	}
	rig_free(g);
	raw_targets_stop();
	again = NULL;
	g_assert_cmpint(wrong, ==, 0);
}

/* Answers without a body; the caller gets their status. */
static const struct again_case empty_cases[] = {
	{"201", AGAIN("201") "\r\n"},      {"204", "HTTP/1.1 204 X\r\n\r\n"},
	{"304", "HTTP/1.1 304 X\r\n\r\n"}, {"400", AGAIN("400") "\r\n"},
	{"404", AGAIN("404") "\r\n"},      {"409", AGAIN("409") "\r\n"},
	{"429", AGAIN("429") "\r\n"},      {"500", AGAIN("500") "\r\n"},
	{"502", AGAIN("502") "\r\n"},
};

/* A failed call without a body does not look like one that succeeded. */
static void test_empty(void)
{
	static const char *const methods[] = {"GET", "POST", "POST"};
	struct rig *g = start_rig();
	int wrong = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(empty_cases) * 3; i++) {
		const struct again_case *c = &empty_cases[i / 3];
		const char *method = methods[i % 3];
		char *key = g_strdup_printf("Idempotency-Key: e%zu", i / 3);
		const char *h[] = {"Authorization: Bearer key-recif", key,
				   NULL};
		struct reply r;

		/* The second POST is answered with what is stored. */
		empty = c;
		r = call_local(g->nodes[0].port, method,
			       "/v1/services/forum/app/empty", h, NULL);
		if (r.status != atoi(c->name) || (r.body && *r.body)) {
			wrong++;
			g_test_message("%s %s: status %d body %s", method,
				       c->name, r.status,
				       r.body ? r.body : "-");
		}
		reply_clear(&r);
		g_free(key);
	}
	rig_free(g);
	raw_targets_stop();
	empty = NULL;
	g_assert_cmpint(wrong, ==, 0);
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
	for (size_t i = 0; i < G_N_ELEMENTS(again_cases); i++) {
		char *path = g_strconcat("/foreign-answers/again/",
					 again_cases[i].name, NULL);

		g_test_add_data_func(path, &again_cases[i], test_again);
		g_free(path);
	}
	g_test_add_func("/foreign-answers/empty", test_empty);
	return g_test_run();
}
