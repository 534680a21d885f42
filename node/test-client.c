/* HTTP client of the tests: complete calls, and streamed answers. */
#include <string.h>

#include "node/test-harness.h"

#define CONNECT_MS 2000

static const char *const json_headers[] = {"Content-Type: application/json",
					   NULL};

struct reply call_local(int port, const char *method, const char *path,
			const char *const *headers, const char *body)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d%s", port, path);
	struct http_request request = {.method = method,
				       .url = url,
				       .headers =
					       headers ? headers : json_headers,
				       .body = str_c(body),
				       .connect_timeout_ms = CONNECT_MS,
				       .fresh = true};
	struct http_call *p = http_call_open(&request);
	int64_t until = time_mono_ms() + WAIT_MS;
	struct reply r = {0};
	enum http_call_event event;

	while ((event = http_call_wait_more(p, until)) == HTTP_CALL_DATA)
		;
	if (event == HTTP_CALL_END) {
		r.status = http_call_status(p);
		r.outcome = g_strdup(http_call_header(p, "Ramp-Outcome"));
		r.retry_after = g_strdup(http_call_header(p, "Retry-After"));
		r.body = g_strndup((char *)http_call_unread(p)->data,
				   http_call_unread(p)->len);
		r.json = json_loads(r.body, JSON_DECODE_ANY, NULL);
	}
	http_call_close(p);
	g_free(url);
	return r;
}

void reply_clear(struct reply *r)
{
	g_free(r->outcome);
	g_free(r->retry_after);
	g_free(r->body);
	json_decref(r->json);
	*r = (struct reply){0};
}

json_t *get_local_json(int port, const char *path)
{
	struct reply r = call_local(port, "GET", path, NULL, NULL);
	json_t *json = json_incref(r.json);

	g_assert_cmpint(r.status, ==, 200);
	reply_clear(&r);
	return json;
}

static void open_stream(struct chat_stream *a,
			const struct http_request *request)
{
	const char *header;

	a->http_call = http_call_open(request);
	http_call_wait_headers(a->http_call, time_mono_ms() + WAIT_MS);
	a->status = http_call_status(a->http_call);
	header = http_call_header(a->http_call, "Ramp-Resume");
	if (header && !a->resume_token)
		a->resume_token = g_strdup(header);
	header = http_call_header(a->http_call, "Ramp-Request");
	if (header && !a->request_id)
		a->request_id = g_strdup(header);
}

struct chat_stream *chat_stream_open(int port, const char *service,
				     const char *question, int64_t tokens)
{
	static const char *const headers[] = {"Authorization: Bearer key-recif",
					      "Content-Type: application/json",
					      NULL};
	struct chat_stream *a = g_new0(struct chat_stream, 1);
	char *url = g_strdup_printf("http://127.0.0.1:%d/v1/chat/completions",
				    port);
	json_t *json =
		json_pack("{s:s,s:b,s:I,s:[{s:s,s:s}]}", "model", service,
			  "stream", 1, "max_tokens", tokens, "messages", "role",
			  "user", "content", question);
	char *body = json_dumps(json, JSON_COMPACT);
	struct http_request request = {.method = "POST",
				       .url = url,
				       .headers = headers,
				       .body = str_c(body),
				       .connect_timeout_ms = CONNECT_MS,
				       .fresh = true};

	a->prompt = prompt_text(json_object_get(json, "messages"));
	open_stream(a, &request);
	/* The request has been sent or has failed: free what it points to. */
	g_free(url);
	free(body);
	json_decref(json);
	return a;
}

void chat_stream_resume(struct chat_stream *a, int port, const char *key)
{
	char *auth = g_strdup_printf("Authorization: Bearer %s", key);
	char *last_event = g_strdup_printf(
		"Last-Event-ID: %s", a->last_event_id ? a->last_event_id : "");
	const char *headers[] = {auth, a->last_event_id ? last_event : NULL,
				 NULL};
	char *url = g_strdup_printf("http://127.0.0.1:%d/v1/streams/%s", port,
				    a->resume_token);
	struct http_request request = {.method = "GET",
				       .url = url,
				       .headers = headers,
				       .connect_timeout_ms = CONNECT_MS,
				       .fresh = true};

	chat_stream_close(a);
	open_stream(a, &request);
	g_free(auth);
	g_free(last_event);
	g_free(url);
}

static void take_event(struct chat_stream *a, const struct sse_event *e)
{
	json_t *json = json_loadb(e->data.data, e->data.len, 0, NULL);
	const json_t *choice =
		json_array_get(json_object_get(json, "choices"), 0);
	const json_t *error_event = json_object_get(json, "error");
	const char *word = json_string_value(
		json_object_get(json_object_get(choice, "delta"), "content"));
	char want[32];

	a->done = str_eq(e->data, STR_LIT("[DONE]"));
	if (error_event)
		a->outcome = g_strdup(json_string_value(
			json_object_get(error_event, "outcome")));
	if (word) {
		answer_word(a->prompt, a->words, want, sizeof(want));
		a->mismatch |= strcmp(word, want) != 0;
		a->words++;
	}
	if (e->id.len) {
		g_free(a->last_event_id);
		a->last_event_id = g_strndup(e->id.data, e->id.len);
	}
	json_decref(json);
}

/*
 * Read the comment ": resume TOKEN", sent when the request runs again on
 * another engine: the token of the response header names the old engine.
 */
static void take_resume_token(struct chat_stream *a, const struct sse_event *e)
{
	size_t prefix_len = strlen("resume ");

	if (e->comment.len <= prefix_len ||
	    memcmp(e->comment.data, "resume ", prefix_len))
		return;
	g_free(a->resume_token);
	a->resume_token = g_strndup(e->comment.data + prefix_len,
				    e->comment.len - prefix_len);
}

void chat_stream_read(struct chat_stream *a, int64_t words)
{
	GByteArray *b = http_call_unread(a->http_call);
	int64_t until = time_mono_ms() + WAIT_MS;
	struct sse_event e;
	size_t n;

	while (a->words < words && !a->done && !a->outcome) {
		n = sse_next((char *)b->data, b->len, &e);
		take_resume_token(a, &e);
		if (n) {
			take_event(a, &e);
			g_byte_array_remove_range(b, 0, (guint)n);
		} else if (http_call_wait_more(a->http_call, until) !=
			   HTTP_CALL_DATA) {
			return;
		}
	}
}

void chat_stream_close(struct chat_stream *a)
{
	if (a->http_call)
		http_call_close(a->http_call);
	a->http_call = NULL;
}

void chat_stream_free(struct chat_stream *a)
{
	chat_stream_close(a);
	g_free(a->prompt);
	g_free(a->last_event_id);
	g_free(a->resume_token);
	g_free(a->request_id);
	g_free(a->outcome);
	g_free(a);
}
