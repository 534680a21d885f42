/*
 * A stream of the own interface breaks off after its second event, and what
 * the target or the next one answers is an error, or a stream that does not go
 * on there: the error's text gets into the caller's answer, events are missing
 * or come twice, or the answer ends as if it were complete. The nodes are real
 * processes, the targets sockets of this test.
 */
#include <curl/curl.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>

#include "node/test-raw-targets.h"

#define TARGETS  2
#define CALLERS  4 /* threads */
#define BEGUN    2 /* events before the break */
#define EVENTS   4
#define PART_MS  10
#define STALL_MS 1500
#define SETTINGS "[streams]\nsilence = 1500\n"
/* In all that a caller must not get. */
#define ERROR_TEXT "zzerr"
#define DONE       "data: [DONE]\n\n"

enum framing { LENGTH, CHUNKED, UNTIL_CLOSE, FRAMINGS };

/* How the first stream breaks off; %s stands for the request's id. */
static const struct stream_break {
	const char *name;
	const char *text; /* behind the second event, in the framing */
	enum framing framing;
	bool reset;
	bool stays_open; /* the stream stalls */
} breaks[] = {
	{"close", "", CHUNKED, false, false},
	{"reset", "", CHUNKED, true, false},
	{"ended", "0\r\n\r\n", CHUNKED, false, false},
	{"in-chunk", "100\r\nid: %s:2\ndata: {\"ch", CHUNKED, false, false},
	{"in-last-chunk", "0\r\n", CHUNKED, false, false},
	{"bad-chunk",
	 "HTTP/1.1 503 " ERROR_TEXT "\r\nContent-Length: 0\r\n\r\n", CHUNKED,
	 false, false},
	{"length", "id: %s:2\nd", LENGTH, false, false},
	{"open", "", UNTIL_CLOSE, false, false},
	{"open-reset", "id: %s:2\nd", UNTIL_CLOSE, true, false},
	{"open-in-event", "id: %s:2\ndata: {\"choices\":[", UNTIL_CLOSE, false,
	 false},
	{"open-head",
	 "HTTP/1.1 503 Full\r\nServer: x\r\n\r\ndata: " ERROR_TEXT "\n\n",
	 UNTIL_CLOSE, false, false},
	{"open-head-in-event",
	 "id: %s:2\ndata: HTTP/1.1 503 " ERROR_TEXT "\r\nServer: x\r\n\r\n",
	 UNTIL_CLOSE, false, false},
	{"open-head-in-json",
	 "id: %s:2\ndata: {\"choices\":[HTTP/1.1 503 " ERROR_TEXT "\r\n\r\n",
	 UNTIL_CLOSE, false, false},
	{"open-head-after-id",
	 "id: %s:2\nHTTP/1.1 503 " ERROR_TEXT "\r\nServer: x\r\n\r\n",
	 UNTIL_CLOSE, false, false},
	{"stall", "", CHUNKED, false, true},
};

#define EVENT_STREAM "Content-Type: text/event-stream\r\n"
#define NAMED        "Request-Id: %s\r\n"

/* What answers that are no stream begin with; %s: the request's id. */
static const struct error_answer {
	const char *status;
	const char *headers;
} errors[] = {
	{"200 OK", EVENT_STREAM},
	{"200 OK", EVENT_STREAM "Request-Id: other\r\n"},
	{"200 OK", NAMED "Content-Type: application/json\r\n"},
	{"200 OK", NAMED "Content-Type: text/plain; charset=utf-8\r\n"},
	{"200 OK", NAMED EVENT_STREAM "Content-Encoding: gzip\r\n"},
	{"204 No Content", NAMED EVENT_STREAM},
	{"206 Part", NAMED EVENT_STREAM "Content-Range: bytes 0-9/100\r\n"},
	{"301 Moved", NAMED "Location: /\r\n"},
	{"304 Same", NAMED EVENT_STREAM},
	{"400 Bad", NAMED EVENT_STREAM},
	{"401 No", NAMED},
	{"404 No", NAMED},
	{"404 No", ""},
	{"408 Late", NAMED},
	{"409 No", NAMED},
	{"421 Other", NAMED},
	{"429 Many", NAMED "Retry-After: 1\r\n"},
	{"500 Bad", NAMED EVENT_STREAM},
	{"500 Bad", EVENT_STREAM},
	{"502 Bad", NAMED EVENT_STREAM},
	{"503 Full", NAMED EVENT_STREAM},
	{"503 Full", "Retry-After: 1\r\n"},
	{"504 Late", NAMED EVENT_STREAM},
};

#define CHUNK(n, text)                                                         \
	"id: %s:" #n "\ndata: {\"choices\":[{\"index\":0,\"delta\":"           \
	"{\"content\":\"" text " \"}}]}\n\n"

static const char *const texts[] = {
	"",
	DONE,
	"{\"error\":\"" ERROR_TEXT "\"}",
	"data: {\"error\":\"" ERROR_TEXT "\"}\n\n" DONE,
	CHUNK(2, ERROR_TEXT) CHUNK(3, ERROR_TEXT) DONE,
	CHUNK(0, "w0") CHUNK(1, "w1") DONE,
	"HTTP/1.1 200 OK\r\n" NAMED EVENT_STREAM "\r\n" DONE,
};

#define ERROR_ROWS (G_N_ELEMENTS(errors) * FRAMINGS * G_N_ELEMENTS(texts))

/* A response of a target; %s: the request's id. */
struct response {
	const char *status, *headers, *body;
	enum framing framing;
};

/* What the targets write for the request of a call. */
struct script {
	const struct stream_break *first;
	struct response rest;  /* to a request of the rest */
	struct response rerun; /* to a run at another target */
	bool rerun_answers;    /* with the whole answer instead */
	char *id;              /* of the request, once it is known */
	atomic_int resumed;    /* answers that were not the first */
	atomic_int runs;
};

static GMutex lock;            /* protects the two */
static GHashTable *by_key;     /* script: of a call's word in its prompt */
static GHashTable *by_request; /* script: of the request's id */
static struct rig *rig;
/* All calls; a target may still write an answer that its node gave up. */
static GPtrArray *all_calls;

static char *replace_ids(const char *text, const char *id)
{
	char **parts = g_strsplit(text, "%s", -1);
	char *out = g_strjoinv(id, parts);

	g_strfreev(parts);
	return out;
}

static void send_with_id(int fd, const char *text, const char *id)
{
	char *out = replace_ids(text, id);

	raw_send(fd, out);
	g_free(out);
}

/* Frame a body, with the headers that say how. */
static char *frame(enum framing f, const char *body)
{
	size_t n = strlen(body);

	if (f == LENGTH)
		return g_strdup_printf("Content-Length: %zu\r\n\r\n%s", n,
				       body);
	if (f == UNTIL_CLOSE)
		return g_strdup_printf("Connection: close\r\n\r\n%s", body);
	if (!n)
		return g_strdup("Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
	return g_strdup_printf("Transfer-Encoding: chunked\r\n\r\n"
			       "%zx\r\n%s\r\n0\r\n\r\n",
			       n, body);
}

/* The events of the true answer, from and up to (not including) one. */
static char *answer_events(int from, int to, const char *id)
{
	GString *s = g_string_new(NULL);

	for (int i = from; i < to; i++)
		g_string_append_printf(
			s,
			"id: %s:%d\ndata: {\"choices\":[{\"index\":0,"
			"\"delta\":{\"content\":\"w%d \"}}]}\n\n",
			id, i, i);
	return g_string_free(s, FALSE);
}

#define HEAD_200 "HTTP/1.1 200 OK\r\n" NAMED EVENT_STREAM

/*
 * Send a response.
 *
 * Return: whether the connection stays open. The body of a response that can
 * have none would be taken for the next response.
 */
static bool send_response(int fd, const struct response *r, const char *id)
{
	char *headers = replace_ids(r->headers, id);
	char *body = replace_ids(r->body, id);
	char *framed = frame(r->framing, body);
	char *text = g_strdup_printf("HTTP/1.1 %s\r\n%s%s", r->status, headers,
				     framed);

	raw_send(fd, text);
	g_free(text);
	g_free(framed);
	g_free(body);
	g_free(headers);
	return r->framing != UNTIL_CLOSE && r->status[0] != '3' &&
	       !g_str_has_prefix(r->status, "204");
}

static bool send_whole_answer(int fd, const char *id)
{
	char *events = answer_events(0, EVENTS, id);
	char *body = g_strconcat(events, DONE, NULL);
	struct response r = {"200 OK", NAMED EVENT_STREAM, body, LENGTH};

	send_response(fd, &r, id);
	g_free(body);
	g_free(events);
	return true;
}

static void send_chunk(int fd, const char *text)
{
	char *out = g_strdup_printf("%zx\r\n%s\r\n", strlen(text), text);

	raw_send(fd, out);
	g_free(out);
}

/* Send a stream that breaks off after two events. */
static bool begin_stream(int fd, const struct stream_break *b, const char *id)
{
	static const char *const framing[] = {
		[LENGTH] = "Content-Length: 1000\r\n\r\n",
		[CHUNKED] = "Transfer-Encoding: chunked\r\n\r\n",
		[UNTIL_CLOSE] = "\r\n",
	};
	struct linger at_once = {.l_onoff = 1};
	char *events = answer_events(0, BEGUN, id);

	send_with_id(fd, HEAD_200, id);
	raw_send(fd, framing[b->framing]);
	if (b->framing == CHUNKED)
		send_chunk(fd, events);
	else
		raw_send(fd, events);
	g_free(events);
	g_usleep(PART_MS * 1000);
	send_with_id(fd, b->text, id);
	if (b->stays_open)
		raw_wait_closed(fd, 4 * STALL_MS);
	if (b->reset) {
		g_usleep(PART_MS * 1000); /* the bytes arrive before it */
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once,
			   sizeof(at_once));
	}
	return false;
}

/* Find the script of a chat by the word of its prompt that begins with key. */
static struct script *find_script(const char *request, const char *id)
{
	const char *word = strstr(request, "key-");
	char *key = word ? g_strndup(word, strcspn(word, "\" ")) : g_strdup("");
	struct script *s;

	g_mutex_lock(&lock);
	s = g_hash_table_lookup(by_request, id);
	if (!s && (s = g_hash_table_lookup(by_key, key))) {
		s->id = g_strdup(id);
		g_hash_table_insert(by_request, s->id, s);
	}
	g_mutex_unlock(&lock);
	g_free(key);
	return s;
}

static bool serve_chat(int fd, struct script *s, const char *id, bool runs)
{
	int run = runs ? atomic_fetch_add(&s->runs, 1) : 0;

	if (runs && !run)
		return begin_stream(fd, s->first, id);
	atomic_fetch_add(&s->resumed, 1);
	if (runs && s->rerun_answers)
		return send_whole_answer(fd, id);
	return send_response(fd, runs ? &s->rerun : &s->rest, id);
}

static bool serve(int fd, const char *request, int on_connection)
{
	char *id = raw_header(request, "Request-Id");
	bool runs = g_str_has_prefix(request, "POST /v1/chat/");
	struct script *s = runs || g_str_has_prefix(request, "GET /v1/streams/")
				   ? find_script(request, id)
				   : NULL;
	bool open = true;

	(void)on_connection;
	if (s)
		open = serve_chat(fd, s, id, runs);
	else if (g_str_has_prefix(request, "GET /load"))
		raw_send(fd,
			 "HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n"
			 "{\"running\":0,\"queued\":0,\"work_tokens\":0}  ");
	else
		raw_send(fd, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
	g_free(id);
	return open;
}

/* A call, and what its caller must get. */
struct call {
	struct script script;
	const char *service;
	bool stream;
	unsigned node;
	int events;    /* of the true answer; fewer after a reset */
	bool complete; /* all of them and the end */
	bool right;    /* that is what it has got */
};

static struct reply call_chat(const struct call *c, const char *key)
{
	static const char *const headers[] = {"Authorization: Bearer key-recif",
					      "Content-Type: application/json",
					      NULL};
	char *body =
		g_strdup_printf("{\"model\":\"%s\",\"stream\":%s,"
				"\"messages\":[{\"role\":\"user\","
				"\"content\":\"%s\"}]}",
				c->service, c->stream ? "true" : "false", key);
	struct reply r = call_local(rig->nodes[c->node].port, "POST",
				    "/v1/chat/completions", headers, body);

	g_free(body);
	return r;
}

/* Drop the events that are comments. */
static char *without_comments(const char *body)
{
	char **events = g_strsplit(body, "\n\n", -1);
	GString *s = g_string_new(NULL);

	for (char **e = events; *e && **e; e++) {
		if (**e != ':')
			g_string_append_printf(s, "%s\n\n", *e);
	}
	g_strfreev(events);
	return g_string_free(s, FALSE);
}

/* Whether the rest of a stream is one error event that says what is known. */
static bool is_error_event(const char *rest)
{
	static const char start[] = "data: ";
	const char *end = strstr(rest, "\n\n");
	json_t *j;
	bool ok;

	if (!g_str_has_prefix(rest, start) || !end || end[2])
		return false;
	j = json_loadb(rest + strlen(start),
		       (size_t)(end - rest) - strlen(start), 0, NULL);
	ok = !g_strcmp0(json_string_value(json_object_get(
				json_object_get(j, "error"), "outcome")),
			"unknown");
	json_decref(j);
	return ok;
}

/* Whether the stream has so many events and is recognisably broken then. */
static bool is_broken(const char *got, int events, const char *id)
{
	char *begin = answer_events(0, events, id);
	bool ok = g_str_has_prefix(got, begin) &&
		  is_error_event(got + strlen(begin));

	g_free(begin);
	return ok;
}

static bool is_stream_right(const struct call *c, const struct reply *r)
{
	char *events = answer_events(0, c->events, c->script.id);
	char *all = g_strconcat(events, DONE, NULL);
	char *got = without_comments(r->body);
	bool ok;

	if (c->complete) {
		ok = !strcmp(got, all);
	} else {
		ok = is_broken(got, c->events, c->script.id);
		/* A reset may take what was sent before it along. */
		for (int n = 0; c->script.first->reset && n < c->events; n++)
			ok = ok || is_broken(got, n, c->script.id);
	}
	g_free(got);
	g_free(all);
	g_free(events);
	return ok && r->status == 200;
}

/* An answer that is not streamed is the whole one, or none. */
static bool is_whole_right(const struct call *c, const struct reply *r)
{
	GString *text = g_string_new("\"");
	bool ok;

	for (int i = 0; i < c->events; i++)
		g_string_append_printf(text, "w%d ", i);
	g_string_append_c(text, '"');
	if (c->complete)
		ok = r->status == 200 && strstr(r->body, text->str);
	else
		ok = r->status >= 500 && !g_strcmp0(r->outcome, "unknown");
	g_string_free(text, TRUE);
	return ok;
}

static bool is_right(const struct call *c, const struct reply *r)
{
	if (!r->body || strstr(r->body, ERROR_TEXT))
		return false;
	/* A service whose calls must not be repeated. */
	if (!strcmp(c->service, "report") && atomic_load(&c->script.runs) != 1)
		return false;
	return c->stream ? is_stream_right(c, r) : is_whole_right(c, r);
}

static void run_call(void *data, void *unused)
{
	struct call *c = data;
	static atomic_int calls;
	int n = atomic_fetch_add(&calls, 1);
	char *key = g_strdup_printf("key-%d", n);
	struct reply r;

	(void)unused;
	g_mutex_lock(&lock);
	g_hash_table_insert(by_key, key, &c->script);
	g_mutex_unlock(&lock);
	r = call_chat(c, key);
	c->right = is_right(c, &r);
	if (!c->right)
		g_test_message("node %u %s stream %d: %s, headers %s, framing "
			       "%d, body %s: runs %d, status %d: %s",
			       c->node, c->service, c->stream,
			       c->script.rest.status, c->script.rest.headers,
			       c->script.rest.framing, c->script.rest.body,
			       atomic_load(&c->script.runs), r.status,
			       r.body ? r.body : "-");
	reply_clear(&r);
}

/* Make the calls, some at a time; each must go on or break off as it must. */
static void run_calls(GPtrArray *calls)
{
	GThreadPool *pool =
		g_thread_pool_new(run_call, NULL, CALLERS, TRUE, NULL);
	int resumed = 0, wrong = 0;

	for (guint i = 0; i < calls->len; i++)
		g_thread_pool_push(pool, g_ptr_array_index(calls, i), NULL);
	g_thread_pool_free(pool, FALSE, TRUE);
	for (guint i = 0; i < calls->len; i++) {
		struct call *c = g_ptr_array_index(calls, i);

		resumed += atomic_load(&c->script.resumed);
		wrong += !c->right;
	}
	g_mutex_lock(&lock);
	g_hash_table_remove_all(by_key);
	g_hash_table_remove_all(by_request);
	g_mutex_unlock(&lock);
	g_test_message("%u calls, %d answers after the break, %d wrong",
		       calls->len, resumed, wrong);
	g_assert_cmpint(resumed, >=, (int)calls->len);
	if (wrong)
		g_test_fail();
}

/* The calls at one node, of a service that may or may not run again. */
static struct call *add_call(GPtrArray *calls, const struct stream_break *b)
{
	struct call *c = g_new0(struct call, 1);
	unsigned n = calls->len;

	c->script.first = b;
	c->node = n & 1;
	c->stream = n % 4 < 3;
	c->service = n % 5 == 4 ? "report" : "assistant";
	c->events = BEGUN;
	g_ptr_array_add(calls, c);
	g_ptr_array_add(all_calls, c);
	return c;
}

/* Add a call that is answered with the error of a row after the break. */
static void add_error(GPtrArray *calls, const struct stream_break *b,
		      size_t row)
{
	const struct error_answer *a = &errors[row % G_N_ELEMENTS(errors)];
	struct call *c = add_call(calls, b);

	c->script.rest =
		(struct response){a->status, a->headers,
				  texts[row / G_N_ELEMENTS(errors) / FRAMINGS],
				  row / G_N_ELEMENTS(errors) % FRAMINGS};
	c->script.rerun = c->script.rest;
	/* In every other call the run at the next target is sound. */
	c->script.rerun_answers = calls->len / 2 & 1;
	c->complete =
		c->script.rerun_answers && !strcmp(c->service, "assistant");
	if (c->complete)
		c->events = EVENTS;
}

/* Rows that a break takes; a stall lasts for more than a second. */
static size_t stride(const struct stream_break *b)
{
	if (b == &breaks[0])
		return 1;
	/* Prime to the numbers of errors, framings and texts. */
	return b->stays_open ? 53 : 13;
}

static void test_error(gconstpointer data)
{
	const struct stream_break *b = data;
	GPtrArray *calls = g_ptr_array_new();

	for (size_t row = 0; row < ERROR_ROWS; row += stride(b))
		add_error(calls, b, row);
	run_calls(calls);
	g_ptr_array_unref(calls);
}

/* Answers to a request of the rest, and what the caller gets of them. */
static const struct resumed_stream {
	const char *name;
	const char *body;
	int events; /* that the caller gets in all */
	enum framing framing;
	bool complete;
} streams[] = {
	{"next", CHUNK(2, "w2") CHUNK(3, "w3") DONE, 4, CHUNKED, true},
	{"next-until-close", CHUNK(2, "w2") DONE, 3, UNTIL_CLOSE, true},
	{"repeats-all", CHUNK(0, "w0") CHUNK(1, "w1") CHUNK(2, "w2") DONE, 3,
	 CHUNKED, true},
	{"repeats-within", CHUNK(2, "w2") CHUNK(2, "w2") CHUNK(3, "w3") DONE, 4,
	 LENGTH, true},
	{"nothing-left", DONE, 2, CHUNKED, true},
	{"ends-without-end", "", 2, CHUNKED, false},
	{"next-without-end", CHUNK(2, "w2"), 3, UNTIL_CLOSE, false},
	{"skips", CHUNK(3, ERROR_TEXT) DONE, 2, CHUNKED, false},
	{"skips-within", CHUNK(2, "w2") CHUNK(4, ERROR_TEXT) DONE, 3, CHUNKED,
	 false},
	{"far-ahead", CHUNK(99999999999999999999, ERROR_TEXT) DONE, 2, CHUNKED,
	 false},
	{"word-for-number", CHUNK(2x, ERROR_TEXT) DONE, 2, CHUNKED, false},
	{"no-id", "data: {\"choices\":[]," ERROR_TEXT "}\n\n" DONE, 2, CHUNKED,
	 false},
	{"error-event",
	 "data: {\"error\":{\"message\":\"" ERROR_TEXT "\"}}\n\n" DONE, 2,
	 CHUNKED, false},
	{"error-event-with-id",
	 "id: %s:2\ndata: {\"error\":{\"message\":\"" ERROR_TEXT
	 "\"}}\n\n" DONE,
	 2, CHUNKED, false},
	{"error-event-within",
	 CHUNK(2, "w2") "id: %s:3\ndata: {\"error\":\"" ERROR_TEXT
			"\"}\n\n" DONE,
	 3, CHUNKED, false},
	{"error-names-choices",
	 "id: %s:2\ndata: {\"error\":\"no \\\"choices\\\": " ERROR_TEXT
	 "\"}\n\n" DONE,
	 2, CHUNKED, false},
	{"text-with-id", "id: %s:2\ndata: " ERROR_TEXT "\n\n" DONE, 2, CHUNKED,
	 false},
	{"id-alone", "id: %s:2\n\n" DONE, 2, CHUNKED, false},
	{"head", "HTTP/1.1 503 Full\r\n\r\ndata: " ERROR_TEXT "\n\n" DONE, 2,
	 UNTIL_CLOSE, false},
	{"head-within",
	 CHUNK(2, "w2") "HTTP/1.1 503 Full\r\n\r\n"
			"data: " ERROR_TEXT "\n\n" DONE,
	 3, UNTIL_CLOSE, false},
	{"json", "{\"error\":\"" ERROR_TEXT "\"}\n\n", 2, CHUNKED, false},
	{"in-event", CHUNK(2, "w2") "id: %s:3\ndata: {\"ch", 3, CHUNKED, false},
};

static void test_resumed(gconstpointer data)
{
	static const char *const headers[] = {
		NAMED EVENT_STREAM,
		NAMED "Content-Type: Text/Event-Stream; charset=utf-8\r\n",
		NAMED};
	const struct resumed_stream *s = data;
	GPtrArray *calls = g_ptr_array_new();

	for (int i = 0; i < 8; i++) {
		struct call *c = add_call(calls, &breaks[0]);

		c->script.rest = (struct response){
			"200 OK", headers[i % G_N_ELEMENTS(headers)], s->body,
			s->framing};
		c->script.rerun =
			(struct response){"500 Bad", NAMED, ERROR_TEXT, LENGTH};
		c->events = s->events;
		c->complete = s->complete;
	}
	run_calls(calls);
	g_ptr_array_unref(calls);
}

/* A caller asks the other node for the rest, and the target has an error. */
static void test_taken_up(void)
{
	int wrong = 0;

	for (size_t row = 0; row < ERROR_ROWS; row += 11) {
		GPtrArray *calls = g_ptr_array_new();
		char *key = g_strdup_printf("key-taken-up-%zu", row);
		struct chat_stream *a;
		const char *outcome;
		struct call *c;

		add_error(calls, &breaks[0], row);
		c = g_ptr_array_index(calls, 0);
		g_mutex_lock(&lock);
		g_hash_table_insert(by_key, key, &c->script);
		g_mutex_unlock(&lock);
		a = chat_stream_open(rig->nodes[row & 1].port, "report", key,
				     EVENTS);
		chat_stream_read(a, EVENTS + 1);
		g_assert_cmpint(a->words, ==, BEGUN);
		g_assert_cmpstr(a->outcome, ==, "unknown");
		g_clear_pointer(&a->outcome, g_free);
		chat_stream_resume(a, rig->nodes[~row & 1].port, "key-recif");
		chat_stream_read(a, EVENTS + 1);
		outcome = http_call_header(a->http_call, "Ramp-Outcome");
		if (a->done || a->words != BEGUN ||
		    (a->status == 200 ? !a->outcome
				      : !g_strcmp0(outcome, "not-run"))) {
			g_test_message(
				"%s, headers %s, framing %d, body %s: "
				"status %d, %" G_GINT64_FORMAT " words",
				c->script.rest.status, c->script.rest.headers,
				c->script.rest.framing, c->script.rest.body,
				a->status, a->words);
			wrong++;
		}
		chat_stream_free(a);
		g_mutex_lock(&lock);
		g_hash_table_remove_all(by_key);
		g_hash_table_remove_all(by_request);
		g_mutex_unlock(&lock);
		g_ptr_array_unref(calls);
	}
	g_assert_cmpint(wrong, ==, 0);
}

int main(int argc, char **argv)
{
	int failed;

	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	all_calls = g_ptr_array_new_with_free_func(g_free);
	by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	by_request =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(breaks); i++) {
		char *path = g_strconcat("/error-in-stream/error/",
					 breaks[i].name, NULL);

		g_test_add_data_func(path, &breaks[i], test_error);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(streams); i++) {
		char *path = g_strconcat("/error-in-stream/resumed/",
					 streams[i].name, NULL);

		g_test_add_data_func(path, &streams[i], test_resumed);
		g_free(path);
	}
	g_test_add_func("/error-in-stream/taken-up", test_taken_up);
	rig = rig_new(TARGETS, 2, SETTINGS);
	raw_targets_start(rig, serve);
	rig_start(rig);
	failed = g_test_run();
	/* Some requests went through the other node. */
	g_assert_cmpint(
		proc_metric(&rig->nodes[0], "ramp_requests_forwarded_total") +
			proc_metric(&rig->nodes[1],
				    "ramp_requests_forwarded_total"),
		>, 0);
	rig_free(rig);
	raw_targets_stop();
	g_ptr_array_unref(all_calls);
	return failed;
}
