/*
 * Sends POST requests to a plain service through the entries, one after the
 * other, each with an idempotency key. Then it gets from the service how often
 * each request ran: one with the outcome "complete" must have run once, one
 * with "not-run" never, and none twice.
 */
#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "standin/standin.h"

#define CONNECT_TIMEOUT_MS  1000
#define RESPONSE_TIMEOUT_MS 5000
#define ATTEMPTS_MAX        20
#define RETRY_DELAY_US      (50 * 1000)
#define POST_INTERVAL_US    (5 * 1000)
#define POST_PATH           "/v1/services/forum/app/posts"

/* Requests by outcome; wrong ones contradict the count of runs. */
struct totals {
	int asked, complete, not_run, unknown, wrong;
};

/*
 * Send one attempt. Return the outcome that the entry states in the header
 * Ramp-Outcome; without a response it is unknown, unless nothing was sent.
 */
static enum outcome post_once(const char *entry, const char *key, int attempt)
{
	char *url = g_strdup_printf("http://%s" POST_PATH, entry);
	char *key_header = g_strdup_printf("Idempotency-Key: %s", key);
	char *attempt_header = g_strdup_printf("Ramp-Attempt: %d", attempt);
	const char *headers[] = {"Authorization: Bearer key-recif", key_header,
				 attempt_header, NULL};
	struct http_request q = {.method = "POST",
				 .url = url,
				 .headers = headers,
				 .body = STR_LIT("hello"),
				 .connect_timeout_ms = CONNECT_TIMEOUT_MS,
				 .fresh = true};
	struct http_call *call = http_call_open(&q);
	int64_t until_ms = time_mono_ms() + RESPONSE_TIMEOUT_MS;
	enum outcome o = OUTCOME_UNKNOWN;
	const char *outcome_header;

	while (http_call_wait_more(call, until_ms) == HTTP_CALL_DATA)
		;
	outcome_header = http_call_header(call, "Ramp-Outcome");
	if (!http_call_maybe_sent(call) ||
	    !g_strcmp0(outcome_header, "not-run"))
		o = OUTCOME_NOT_RUN;
	else if (!g_strcmp0(outcome_header, "complete"))
		o = OUTCOME_COMPLETE;
	http_call_close(call);
	g_free(url);
	g_free(key_header);
	g_free(attempt_header);
	return o;
}

/* Try one entry after the other until the outcome isn't "not-run". */
static enum outcome post_until_run(const char *const *entries, int n, int first,
				   const char *key)
{
	enum outcome outcome = OUTCOME_NOT_RUN;

	for (int i = 0; i < ATTEMPTS_MAX && outcome == OUTCOME_NOT_RUN; i++) {
		if (i)
			g_usleep(RETRY_DELAY_US);
		outcome = post_once(entries[(first + i) % n], key, i);
	}
	return outcome;
}

/* Return how often each key ran, or NULL; the caller owns the JSON. */
static json_t *get_runs(const char *service)
{
	char *url = g_strdup_printf("http://%s/standin/runs", service);
	struct http_request q = {.method = "GET",
				 .url = url,
				 .connect_timeout_ms = CONNECT_TIMEOUT_MS};
	struct http_call *call = http_call_open(&q);
	int64_t until_ms = time_mono_ms() + RESPONSE_TIMEOUT_MS;
	json_t *j;

	while (http_call_wait_more(call, until_ms) == HTTP_CALL_DATA)
		;
	j = json_loadb((char *)http_call_unread(call)->data,
		       http_call_unread(call)->len, 0, NULL);
	http_call_close(call);
	g_free(url);
	return j;
}

/* Add a request to the totals, given how often it ran. */
static void check_runs(struct totals *t, enum outcome o, int64_t runs)
{
	t->asked++;
	t->complete += o == OUTCOME_COMPLETE;
	t->not_run += o == OUTCOME_NOT_RUN;
	t->unknown += o == OUTCOME_UNKNOWN;
	if (runs > 1 || (o == OUTCOME_COMPLETE && runs != 1) ||
	    (o == OUTCOME_NOT_RUN && runs))
		t->wrong++;
}

int main(int argc, char **argv)
{
	struct arg_str *entry =
		arg_strn("e", "entry", "IP:PORT", 1, 64, "address of an entry");
	struct arg_str *service =
		arg_str1("s", "service", "IP:PORT",
			 "service whose run counts are checked");
	struct arg_int *count =
		arg_int1("n", NULL, "N", "number of requests to send");
	struct arg_end *end = arg_end(4);
	void *table[] = {entry, service, count, end};
	struct totals t = {0};
	enum outcome *outcomes;
	json_t *runs;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	block_stop_signals();
	curl_global_init(CURL_GLOBAL_ALL);
	outcomes = g_new(enum outcome, count->ival[0]);
	for (int i = 0; i < count->ival[0]; i++) {
		char *key = g_strdup_printf("post-%d", i);

		outcomes[i] = post_until_run(entry->sval, entry->count, i, key);
		g_usleep(POST_INTERVAL_US);
		g_free(key);
	}
	runs = get_runs(service->sval[0]);
	if (!runs) {
		g_free(outcomes);
		return 1;
	}
	for (int i = 0; i < count->ival[0]; i++) {
		char *key = g_strdup_printf("post-%d", i);

		check_runs(&t, outcomes[i],
			   json_integer_value(json_object_get(runs, key)));
		g_free(key);
	}
	printf("posts: asked=%d complete=%d not_run=%d unknown=%d wrong=%d\n",
	       t.asked, t.complete, t.not_run, t.unknown, t.wrong);
	json_decref(runs);
	g_free(outcomes);
	return t.wrong || t.not_run ? 1 : 0;
}
