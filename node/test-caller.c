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
	struct pull_request request = {.method = method,
				       .url = url,
				       .headers =
					       headers ? headers : json_headers,
				       .body = str_c(body),
				       .connect_ms = CONNECT_MS,
				       .fresh = true};
	struct pull *p = pull_open(&request);
	int64_t until = time_mono_ms() + WAIT_MS;
	struct reply r = {0};
	enum pull_event event;

	while ((event = pull_wait_more(p, until)) == PULL_DATA)
		;
	if (event == PULL_END) {
		r.status = pull_status(p);
		r.outcome = g_strdup(pull_header(p, "Ramp-Outcome"));
		r.retry_after = g_strdup(pull_header(p, "Retry-After"));
		r.body = g_strndup((char *)pull_bytes(p)->data,
				   pull_bytes(p)->len);
		r.json = json_loads(r.body, JSON_DECODE_ANY, NULL);
	}
	pull_close(p);
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

static void open_stream(struct ask *a, const struct pull_request *request)
{
	const char *header;

	a->pull = pull_open(request);
	pull_wait_headers(a->pull, time_mono_ms() + WAIT_MS);
	a->status = pull_status(a->pull);
	header = pull_header(a->pull, "Ramp-Resume");
	if (header && !a->resume_token)
		a->resume_token = g_strdup(header);
	header = pull_header(a->pull, "Ramp-Request");
	if (header && !a->request_id)
		a->request_id = g_strdup(header);
}

struct ask *ask_open(int port, const char *service, const char *question,
		     int64_t tokens)
{
	static const char *const headers[] = {"Authorization: Bearer key-recif",
					      "Content-Type: application/json",
					      NULL};
	struct ask *a = g_new0(struct ask, 1);
	char *url = g_strdup_printf("http://127.0.0.1:%d/v1/chat/completions",
				    port);
	json_t *json =
		json_pack("{s:s,s:b,s:I,s:[{s:s,s:s}]}", "model", service,
			  "stream", 1, "max_tokens", tokens, "messages", "role",
			  "user", "content", question);
	char *body = json_dumps(json, JSON_COMPACT);
	struct pull_request request = {.method = "POST",
				       .url = url,
				       .headers = headers,
				       .body = str_c(body),
				       .connect_ms = CONNECT_MS,
				       .fresh = true};

	a->prompt = prompt_text(json_object_get(json, "messages"));
	open_stream(a, &request);
	/* The request has been sent or has failed: free what it points to. */
	g_free(url);
	free(body);
	json_decref(json);
	return a;
}

void ask_resume(struct ask *a, int port, const char *key)
{
	char *auth = g_strdup_printf("Authorization: Bearer %s", key);
	char *last_event = g_strdup_printf(
		"Last-Event-ID: %s", a->last_event_id ? a->last_event_id : "");
	const char *headers[] = {auth, a->last_event_id ? last_event : NULL,
				 NULL};
	char *url = g_strdup_printf("http://127.0.0.1:%d/v1/streams/%s", port,
				    a->resume_token);
	struct pull_request request = {.method = "GET",
				       .url = url,
				       .headers = headers,
				       .connect_ms = CONNECT_MS,
				       .fresh = true};

	ask_close(a);
	open_stream(a, &request);
	g_free(auth);
	g_free(last_event);
	g_free(url);
}

static void take_event(struct ask *a, const struct sse_event *e)
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
static void take_resume_token(struct ask *a, const struct sse_event *e)
{
	size_t prefix_len = strlen("resume ");

	if (e->comment.len <= prefix_len ||
	    memcmp(e->comment.data, "resume ", prefix_len))
		return;
	g_free(a->resume_token);
	a->resume_token = g_strndup(e->comment.data + prefix_len,
				    e->comment.len - prefix_len);
}

void ask_read(struct ask *a, int64_t words)
{
	GByteArray *b = pull_bytes(a->pull);
	int64_t until = time_mono_ms() + WAIT_MS;
	struct sse_event e;
	size_t n;

	while (a->words < words && !a->done && !a->outcome) {
		n = sse_next((char *)b->data, b->len, &e);
		take_resume_token(a, &e);
		if (n) {
			take_event(a, &e);
			g_byte_array_remove_range(b, 0, (guint)n);
		} else if (pull_wait_more(a->pull, until) != PULL_DATA) {
			return;
		}
	}
}

void ask_close(struct ask *a)
{
	if (a->pull)
		pull_close(a->pull);
	a->pull = NULL;
}

void ask_free(struct ask *a)
{
	ask_close(a);
	g_free(a->prompt);
	g_free(a->last_event_id);
	g_free(a->resume_token);
	g_free(a->request_id);
	g_free(a->outcome);
	g_free(a);
}
