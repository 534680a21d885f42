/*
 * The non-blocking HTTP client: many calls at once on one libcurl multi handle,
 * driven by fetcher_poll.
 */
#include <curl/curl.h>
#include <string.h>

#include "http/http.h"

#define CONNECT_TIMEOUT_MS     1000
#define BODY_MAX_BYTES         (16 * 1024 * 1024)
#define POOLED_CONNECTIONS_MAX 64L

/* A call in progress. */
struct call {
	struct fetcher *f;
	CURL *easy;
	struct curl_slist *headers;
	GByteArray *body; /* of the response, as far as received */
	char *request_body;
	fetch_done_fn *done;
	void *arg;
};

struct fetcher {
	CURLM *multi;
	GHashTable *calls; /* set of struct call */
};

struct fetcher *fetcher_new(void)
{
	struct fetcher *f = g_new0(struct fetcher, 1);

	f->multi = curl_multi_init();
	curl_multi_setopt(f->multi, CURLMOPT_MAXCONNECTS,
			  POOLED_CONNECTIONS_MAX);
	f->calls = g_hash_table_new(NULL, NULL);
	return f;
}

static void free_call(struct call *c)
{
	curl_multi_remove_handle(c->f->multi, c->easy);
	curl_easy_cleanup(c->easy);
	curl_slist_free_all(c->headers);
	g_byte_array_unref(c->body);
	g_free(c->request_body);
	g_free(c);
}

void fetcher_free(struct fetcher *f)
{
	GHashTableIter it;
	gpointer c;

	g_hash_table_iter_init(&it, f->calls);
	while (g_hash_table_iter_next(&it, &c, NULL))
		free_call(c);
	g_hash_table_unref(f->calls);
	curl_multi_cleanup(f->multi);
	g_free(f);
}

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct call *c = arg;

	/* Any other value than size * n makes libcurl fail the call. */
	if (c->body->len + size * n > BODY_MAX_BYTES)
		return 0;
	g_byte_array_append(c->body, (const guint8 *)data, (guint)(size * n));
	return size * n;
}

void fetch(struct fetcher *f, const char *method, const char *url,
	   struct str body, int64_t timeout_ms, fetch_done_fn *done, void *arg)
{
	struct call *c = g_new0(struct call, 1);

	c->f = f;
	c->done = done;
	c->arg = arg;
	c->body = g_byte_array_new();
	c->easy = curl_easy_init();
	curl_easy_setopt(c->easy, CURLOPT_URL, url);
	curl_easy_setopt(c->easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(c->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)MIN(timeout_ms, CONNECT_TIMEOUT_MS));
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	if (body.len) {
		c->request_body = g_memdup2(body.data, body.len);
		c->headers = curl_slist_append(NULL, "Content-Type: "
						     "application/json");
		c->headers = curl_slist_append(c->headers, "Expect:");
		curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, c->request_body);
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)body.len);
		/*
		 * libcurl would resend the request by itself if a pooled
		 * connection turned out to be closed.
		 */
		curl_easy_setopt(c->easy, CURLOPT_FRESH_CONNECT, 1L);
	}
	g_hash_table_add(f->calls, c);
	curl_multi_add_handle(f->multi, c->easy);
}

/* Return whether the error shows that no byte of the request was sent. */
static bool never_sent(CURLcode code)
{
	return code == CURLE_COULDNT_CONNECT ||
	       code == CURLE_COULDNT_RESOLVE_HOST ||
	       code == CURLE_URL_MALFORMAT ||
	       code == CURLE_UNSUPPORTED_PROTOCOL;
}

static void end_call(struct fetcher *f, struct call *c, CURLcode code)
{
	struct fetch_result r = {.maybe_sent = !never_sent(code)};
	long status = 0;
	curl_off_t pretransfer_us = 0;

	if (code == CURLE_OK) {
		curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
		if (http_status_exists(status))
			r.body = (struct str){(char *)c->body->data,
					      c->body->len};
		else
			status = 0;
	} else if (code == CURLE_OPERATION_TIMEDOUT) {
		/* 0 if the connection was never ready for the request. */
		curl_easy_getinfo(c->easy, CURLINFO_PRETRANSFER_TIME_T,
				  &pretransfer_us);
		r.maybe_sent = pretransfer_us > 0;
	}
	r.status = (int)status;
	g_hash_table_remove(f->calls, c);
	c->done(&r, c->arg);
	free_call(c);
}

void fetcher_poll(struct fetcher *f, struct pollfd *fds, unsigned n,
		  int timeout_ms)
{
	struct curl_waitfd *waitfds = g_newa(struct curl_waitfd, n + 1);
	int running, left;
	CURLMsg *m;

	for (unsigned i = 0; i < n; i++)
		waitfds[i] =
			(struct curl_waitfd){fds[i].fd, CURL_WAIT_POLLIN, 0};
	curl_multi_perform(f->multi, &running);
	curl_multi_poll(f->multi, waitfds, n, timeout_ms, NULL);
	for (unsigned i = 0; i < n; i++)
		fds[i].revents = waitfds[i].revents ? POLLIN : 0;
	curl_multi_perform(f->multi, &running);
	while ((m = curl_multi_info_read(f->multi, &left))) {
		struct call *c = NULL;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &c);
		end_call(f, c, m->data.result);
	}
}
