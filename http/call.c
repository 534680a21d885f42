/*
 * The blocking HTTP client: each call runs on a libcurl multi handle taken from
 * a pool, so that its connection can be used again by a later call.
 */
#include <curl/curl.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "http/http.h"

#define POOLED_HANDLES_MAX   256
#define POOLED_IDLE_MAX_S    5L /* then a pooled connection is closed */
#define RECEIVE_BUFFER_BYTES 2048L
#define UNREAD_MAX_BYTES     (256 * 1024)
#define POLL_MAX_MS          60000
#define CONNECTIONS_MAX      4L /* of one multi handle */

struct http_call {
	CURLM *multi;
	CURL *easy;
	struct curl_slist *headers;
	GByteArray *unread;  /* body bytes that the caller hasn't taken */
	int watched_fd;      /* of http_call_watch_peer, or -1 */
	bool receive_paused; /* until some unread bytes are taken */
	bool headers_done;   /* of the latest response, after any 1xx */
	bool ended;          /* result is set */
	CURLcode result;
};

/*
 * Pool of idle multi handles, each with its open connections, shared by all
 * threads. The handle returned last is taken first, so that a few connections
 * are kept in use and the others expire.
 */
static GMutex pool_lock;
static CURLM *pool[POOLED_HANDLES_MAX];
static unsigned pool_len;

static CURLM *pool_take(void)
{
	CURLM *m = NULL;

	g_mutex_lock(&pool_lock);
	if (pool_len)
		m = pool[--pool_len];
	g_mutex_unlock(&pool_lock);
	if (m)
		return m;
	m = curl_multi_init();
	curl_multi_setopt(m, CURLMOPT_MAXCONNECTS, CONNECTIONS_MAX);
	return m;
}

static void pool_return(CURLM *m)
{
	g_mutex_lock(&pool_lock);
	if (pool_len < POOLED_HANDLES_MAX) {
		pool[pool_len++] = m;
		m = NULL;
	}
	g_mutex_unlock(&pool_lock);
	if (m)
		curl_multi_cleanup(m);
}

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct http_call *c = arg;

	/* Limit the memory used for a caller that reads slowly. */
	if (c->unread->len > UNREAD_MAX_BYTES) {
		c->receive_paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	g_byte_array_append(c->unread, (const guint8 *)data, (guint)(size * n));
	return size * n;
}

/* Find the end of the headers; libcurl itself stores them. */
static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct http_call *c = arg;
	size_t len = size * n;
	long status = 0;

	if (len >= 5 && !memcmp(data, "HTTP/", 5)) {
		c->headers_done = false;
		/* libcurl takes any number; a failed call has no response. */
		curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
		if (!http_status_exists(status))
			return 0;
	} else if (len <= 2 && (data[0] == '\r' || data[0] == '\n')) {
		c->headers_done = true;
	}
	return len;
}

struct http_call *http_call_open(const struct http_request *q)
{
	struct http_call *c = g_new0(struct http_call, 1);

	c->multi = pool_take();
	c->watched_fd = -1;
	c->easy = curl_easy_init();
	c->unread = g_byte_array_new();
	for (const char *const *h = q->headers; h && *h; h++)
		c->headers = curl_slist_append(c->headers, *h);
	c->headers = curl_slist_append(c->headers, "Expect:");
	curl_easy_setopt(c->easy, CURLOPT_URL, q->url);
	curl_easy_setopt(c->easy, CURLOPT_CUSTOMREQUEST, q->method);
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(c->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(c->easy, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER_BYTES);
	curl_easy_setopt(c->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)q->connect_timeout_ms);
	curl_easy_setopt(c->easy, CURLOPT_MAXAGE_CONN, POOLED_IDLE_MAX_S);
	curl_easy_setopt(c->easy, CURLOPT_FRESH_CONNECT, q->fresh ? 1L : 0L);
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c->easy, CURLOPT_HEADERDATA, c);
	if (q->body.len) {
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, q->body.data);
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)q->body.len);
	}
	curl_multi_add_handle(c->multi, c->easy);
	return c;
}

/* Record the result of the transfer once it has ended. */
static void record_completion(struct http_call *c)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(c->multi, &left))) {
		if (m->msg != CURLMSG_DONE)
			continue;
		c->ended = true;
		c->result = m->data.result;
	}
}

/* Transfer available data, and resume receiving if there is space again. */
static void make_progress(struct http_call *c)
{
	int running;

	if (c->receive_paused && c->unread->len <= UNREAD_MAX_BYTES) {
		c->receive_paused = false;
		curl_easy_pause(c->easy, CURLPAUSE_CONT);
	}
	curl_multi_perform(c->multi, &running);
	record_completion(c);
}

void http_call_watch_peer(struct http_call *c, int fd)
{
	c->watched_fd = fd;
}

/*
 * Poll the connections once. Return false when the watched peer has closed its
 * connection.
 */
static bool poll_once(struct http_call *c, int timeout_ms)
{
	struct curl_waitfd w = {c->watched_fd, CURL_WAIT_POLLIN, 0};
	char byte;
	ssize_t n;

	curl_multi_poll(c->multi, &w, c->watched_fd >= 0, timeout_ms, NULL);
	if (c->watched_fd < 0 || !w.revents)
		return true;
	n = recv(c->watched_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	/* A pipelined request: stop watching, as it would end every poll. */
	if (n > 0)
		c->watched_fd = -1;
	return n > 0 || (n < 0 && errno == EAGAIN);
}

/*
 * Wait for more than n unread bytes, the end of the response, until_ms or, if
 * headers is set, the end of the headers.
 */
static enum http_call_event wait_until(struct http_call *c, guint n,
				       bool headers, int64_t until_ms)
{
	for (;;) {
		int64_t left;

		make_progress(c);
		if (c->unread->len > n || (headers && http_call_status(c)))
			return HTTP_CALL_DATA;
		if (c->ended)
			return c->result == CURLE_OK ? HTTP_CALL_END
						     : HTTP_CALL_FAILED;
		left = until_ms - time_mono_ms();
		if (left <= 0)
			return HTTP_CALL_TIMEOUT;
		if (!poll_once(c, (int)MIN(left, POLL_MAX_MS)))
			return HTTP_CALL_PEER_CLOSED;
	}
}

enum http_call_event http_call_wait(struct http_call *c, int64_t until_ms)
{
	return wait_until(c, 0, false, until_ms);
}

enum http_call_event http_call_wait_more(struct http_call *c, int64_t until_ms)
{
	return wait_until(c, c->unread->len, false, until_ms);
}

enum http_call_event http_call_wait_headers(struct http_call *c,
					    int64_t until_ms)
{
	return wait_until(c, 0, true, until_ms);
}

int http_call_status(const struct http_call *c)
{
	long status = 0;

	if (c->headers_done)
		curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	/* An interim (1xx) response is not the response yet. */
	return status >= 200 ? (int)status : 0;
}

const char *http_call_header(const struct http_call *c, const char *name)
{
	struct curl_header *h;

	if (curl_easy_header(c->easy, name, 0, CURLH_HEADER, -1, &h) !=
	    CURLHE_OK)
		return NULL;
	/* Of several headers of one name the last counts. */
	if (h->amount > 1)
		curl_easy_header(c->easy, name, h->amount - 1, CURLH_HEADER, -1,
				 &h);
	return h->value;
}

GByteArray *http_call_unread(struct http_call *c)
{
	return c->unread;
}

bool http_call_maybe_sent(const struct http_call *c)
{
	curl_off_t pretransfer_us = 0;
	long request_bytes = 0;

	curl_easy_getinfo(c->easy, CURLINFO_PRETRANSFER_TIME_T,
			  &pretransfer_us);
	curl_easy_getinfo(c->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
	return pretransfer_us > 0 || request_bytes > 0;
}

bool http_call_is_foreign(const struct http_call *c, const char *header,
			  struct str id)
{
	const char *named = http_call_header(c, header);
	long connects = 0;

	if (named)
		return !str_eq(str_c(named), id);
	curl_easy_getinfo(c->easy, CURLINFO_NUM_CONNECTS, &connects);
	return !connects;
}

bool http_call_is_event_stream(const struct http_call *c)
{
	static const char name[] = "text/event-stream";
	const char *type = http_call_header(c, "Content-Type");

	if (http_call_header(c, "Content-Encoding"))
		return false;
	return !type || (!g_ascii_strncasecmp(type, name, strlen(name)) &&
			 strchr("; \t", type[strlen(name)]));
}

void http_call_close(struct http_call *c)
{
	/* Closes the connection unless the response was complete. */
	curl_multi_remove_handle(c->multi, c->easy);
	curl_easy_cleanup(c->easy);
	pool_return(c->multi);
	curl_slist_free_all(c->headers);
	g_byte_array_unref(c->unread);
	g_free(c);
}
