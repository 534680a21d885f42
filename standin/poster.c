/*
 * Posts to a plain service through the entries, each with an idempotency key,
 * one after the other, and then asks the service how often each one ran. What
 * was told "complete" must have run once, what was told "not-run" never, and
 * nothing twice.
 */
#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "standin/standin.h"

#define CONNECT_MS   1000
#define ANSWER_MS    5000
#define TRIES_MAX    20
#define TRY_PAUSE_US (50 * 1000)
#define PAUSE_US     (5 * 1000)
#define PATH         "/v1/services/forum/app/posts"

struct totals {
	int asked, complete, not_run, unknown, wrong;
};

/* One call. Returns what the entry says of it; without an answer, unknown. */
static enum outcome post_once(const char *entry, const char *key, int attempt)
{
	char *url = g_strdup_printf("http://%s" PATH, entry);
	char *k = g_strdup_printf("Idempotency-Key: %s", key);
	char *n = g_strdup_printf("Ramp-Attempt: %d", attempt);
	const char *headers[] = {"Authorization: Bearer key-recif", k, n, NULL};
	struct pull_request q = {.method = "POST",
				 .url = url,
				 .headers = headers,
				 .body = STR_LIT("hello"),
				 .connect_ms = CONNECT_MS,
				 .fresh = true};
	struct pull *p = pull_open(&q);
	int64_t until = time_mono_ms() + ANSWER_MS;
	enum outcome o = OUTCOME_UNKNOWN;
	const char *said;

	while (pull_wait_more(p, until) == PULL_DATA)
		;
	said = pull_header(p, "Ramp-Outcome");
	if (!pull_maybe_sent(p) || !g_strcmp0(said, "not-run"))
		o = OUTCOME_NOT_RUN;
	else if (!g_strcmp0(said, "complete"))
		o = OUTCOME_COMPLETE;
	pull_close(p);
	g_free(url);
	g_free(k);
	g_free(n);
	return o;
}

/* Try until something else than "not-run" is said, entry after entry. */
static enum outcome post(const char *const *entries, int n, int first,
			 const char *key)
{
	enum outcome o = OUTCOME_NOT_RUN;

	for (int i = 0; i < TRIES_MAX && o == OUTCOME_NOT_RUN; i++) {
		if (i)
			g_usleep(TRY_PAUSE_US);
		o = post_once(entries[(first + i) % n], key, i);
	}
	return o;
}

static json_t *runs_at(const char *service)
{
	char *url = g_strdup_printf("http://%s/standin/runs", service);
	struct pull_request q = {
		.method = "GET", .url = url, .connect_ms = CONNECT_MS};
	struct pull *p = pull_open(&q);
	int64_t until = time_mono_ms() + ANSWER_MS;
	json_t *j;

	while (pull_wait_more(p, until) == PULL_DATA)
		;
	j = json_loadb((char *)pull_bytes(p)->data, pull_bytes(p)->len, 0,
		       NULL);
	pull_close(p);
	g_free(url);
	return j;
}

static void judge(struct totals *t, enum outcome o, int64_t runs)
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
	struct arg_str *entry = arg_strn("e", "entry", "IP:PORT", 1, 64, "");
	struct arg_str *service = arg_str1("s", "service", "IP:PORT",
					   "the service behind the entries");
	struct arg_int *count = arg_int1("n", NULL, "N", "posts to send");
	struct arg_end *end = arg_end(4);
	void *table[] = {entry, service, count, end};
	struct totals t = {0};
	enum outcome *said;
	json_t *runs;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	block_stop_signals();
	curl_global_init(CURL_GLOBAL_ALL);
	said = g_new(enum outcome, count->ival[0]);
	for (int i = 0; i < count->ival[0]; i++) {
		char *key = g_strdup_printf("post-%d", i);

		said[i] = post(entry->sval, entry->count, i, key);
		g_usleep(PAUSE_US);
		g_free(key);
	}
	runs = runs_at(service->sval[0]);
	if (!runs) {
		g_free(said);
		return 1;
	}
	for (int i = 0; i < count->ival[0]; i++) {
		char *key = g_strdup_printf("post-%d", i);

		judge(&t, said[i],
		      json_integer_value(json_object_get(runs, key)));
		g_free(key);
	}
	printf("posts: asked=%d complete=%d not_run=%d unknown=%d wrong=%d\n",
	       t.asked, t.complete, t.not_run, t.unknown, t.wrong);
	json_decref(runs);
	g_free(said);
	return t.wrong || t.not_run ? 1 : 0;
}
