/* The callers of the tests: whole calls and streamed answers. */
#include <string.h>

#include "node/test-harness.h"

#define CONNECT_MS 2000

static const char *const json_headers[] = {"Content-Type: application/json",
					   NULL};

struct reply call_port(int port, const char *method, const char *path,
		       const char *const *headers, const char *body)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d%s", port, path);
	struct pull_request q = {.method = method,
				 .url = url,
				 .headers = headers ? headers : json_headers,
				 .body = str_c(body),
				 .connect_ms = CONNECT_MS,
				 .fresh = true};
	struct pull *p = pull_open(&q);
	int64_t until = time_mono_ms() + WAIT_MS;
	struct reply r = {0};
	enum pull_event ev;

	while ((ev = pull_wait_more(p, until)) == PULL_DATA)
		;
	if (ev == PULL_END) {
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

json_t *get_json(int port, const char *path)
{
	struct reply r = call_port(port, "GET", path, NULL, NULL);
	json_t *j = json_incref(r.json);

	g_assert_cmpint(r.status, ==, 200);
	reply_clear(&r);
	return j;
}

static void open_url(struct ask *a, const struct pull_request *q)
{
	const char *s;

	a->pull = pull_open(q);
	pull_wait_headers(a->pull, time_mono_ms() + WAIT_MS);
	a->status = pull_status(a->pull);
	s = pull_header(a->pull, "Ramp-Resume");
	if (s && !a->resume)
		a->resume = g_strdup(s);
	s = pull_header(a->pull, "Ramp-Request");
	if (s && !a->request)
		a->request = g_strdup(s);
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
	json_t *j = json_pack("{s:s,s:b,s:I,s:[{s:s,s:s}]}", "model", service,
			      "stream", 1, "max_tokens", tokens, "messages",
			      "role", "user", "content", question);
	char *body = json_dumps(j, JSON_COMPACT);
	struct pull_request q = {.method = "POST",
				 .url = url,
				 .headers = headers,
				 .body = str_c(body),
				 .connect_ms = CONNECT_MS,
				 .fresh = true};

	a->prompt = prompt_text(json_object_get(j, "messages"));
	open_url(a, &q);
	/* Sent by now, or the call has failed. */
	g_free(url);
	free(body);
	json_decref(j);
	return a;
}

void ask_resume(struct ask *a, int port, const char *key)
{
	char *auth = g_strdup_printf("Authorization: Bearer %s", key);
	char *last = g_strdup_printf("Last-Event-ID: %s",
				     a->last_id ? a->last_id : "");
	const char *headers[] = {auth, a->last_id ? last : NULL, NULL};
	char *url = g_strdup_printf("http://127.0.0.1:%d/v1/streams/%s", port,
				    a->resume);
	struct pull_request q = {.method = "GET",
				 .url = url,
				 .headers = headers,
				 .connect_ms = CONNECT_MS,
				 .fresh = true};

	ask_close(a);
	open_url(a, &q);
	g_free(auth);
	g_free(last);
	g_free(url);
}

static void take(struct ask *a, const struct sse_event *e)
{
	json_t *j = json_loadb(e->data.data, e->data.len, 0, NULL);
	const json_t *choice = json_array_get(json_object_get(j, "choices"), 0);
	const json_t *error = json_object_get(j, "error");
	const char *word = json_string_value(
		json_object_get(json_object_get(choice, "delta"), "content"));
	char want[32];

	a->done = str_eq(e->data, STR_LIT("[DONE]"));
	if (error)
		a->outcome = g_strdup(
			json_string_value(json_object_get(error, "outcome")));
	if (word) {
		answer_word(a->prompt, a->words, want, sizeof(want));
		a->wrong |= strcmp(word, want) != 0;
		a->words++;
	}
	if (e->id.len) {
		g_free(a->last_id);
		a->last_id = g_strndup(e->id.data, e->id.len);
	}
	json_decref(j);
}

/* ": resume IDENTITY", after a run anew on another engine. */
static void take_identity(struct ask *a, const struct sse_event *e)
{
	size_t n = strlen("resume ");

	if (e->comment.len <= n || memcmp(e->comment.data, "resume ", n))
		return;
	g_free(a->resume);
	a->resume = g_strndup(e->comment.data + n, e->comment.len - n);
}

void ask_read(struct ask *a, int64_t words)
{
	GByteArray *b = pull_bytes(a->pull);
	int64_t until = time_mono_ms() + WAIT_MS;
	struct sse_event e;
	size_t n;

	while (a->words < words && !a->done && !a->outcome) {
		n = sse_next((char *)b->data, b->len, &e);
		take_identity(a, &e);
		if (n) {
			take(a, &e);
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
	g_free(a->last_id);
	g_free(a->resume);
	g_free(a->request);
	g_free(a->outcome);
	g_free(a);
}
