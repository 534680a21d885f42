/*
 * Cancels work at targets on separate threads, so that the answer to a caller
 * doesn't wait for a target that may be unreachable.
 */
#include "node/node.h"

#define THREAD_COUNT       4
#define CONNECT_TIMEOUT_MS 500
#define ANSWER_TIMEOUT_MS  2000

struct cancel {
	char *url;
	char *reader_header; /* "Reader: ..." */
};

static void run_cancel(void *data, void *unused)
{
	struct cancel *c = data;
	const char *headers[] = {c->reader_header, NULL};
	struct http_request q = {.method = "DELETE",
				 .url = c->url,
				 .headers = headers,
				 .connect_timeout_ms = CONNECT_TIMEOUT_MS,
				 .fresh = true};
	struct http_call *p = http_call_open(&q);

	(void)unused;
	http_call_wait_headers(p, time_mono_ms() + ANSWER_TIMEOUT_MS);
	http_call_close(p);
	g_free(c->url);
	g_free(c->reader_header);
	g_free(c);
}

GThreadPool *cancel_pool_new(void)
{
	return g_thread_pool_new(run_cancel, NULL, THREAD_COUNT, FALSE, NULL);
}

void cancel_pool_drain(GThreadPool *p)
{
	g_thread_pool_free(p, FALSE, TRUE);
}

void cancel_request(GThreadPool *p, const struct target *t, struct str request,
		    const char *reader_header)
{
	struct cancel *c = g_new0(struct cancel, 1);

	c->url = g_strdup_printf("http://%s/v1/streams/" STR_FMT, t->address,
				 STR_ARG(request));
	c->reader_header = g_strdup(reader_header);
	g_thread_pool_push(p, c, NULL);
}
