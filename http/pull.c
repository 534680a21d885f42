#include <curl/curl.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "http/http.h"

#define POOL_MAX      256
#define POOLED_AGE_S  5L /* a pooled connection is dropped after this */
#define RECEIVE_BYTES 2048L
#define BUFFERED_MAX  (256 * 1024)
#define WAIT_MAX_MS   60000

struct pull {
	CURLM *multi;
	CURL *easy;
	struct curl_slist *headers;
	GByteArray *bytes;
	int watched; /* descriptor, or -1 */
	bool paused;
	bool headers_done; /* of the last answer, after any 1xx */
	bool ended;
	CURLcode result;
};

/*
 * Idle multi handles with their pooled connections. The last one returned is
 * taken first, so that few connections stay warm and the others age out.
 */
static GMutex pool_lock;
static CURLM *pool[POOL_MAX];
static unsigned pool_len;

static CURLM *take_multi(void)
{
	CURLM *m = NULL;

	g_mutex_lock(&pool_lock);
	if (pool_len)
		m = pool[--pool_len];
	g_mutex_unlock(&pool_lock);
	if (m)
		return m;
	m = curl_multi_init();
	curl_multi_setopt(m, CURLMOPT_MAXCONNECTS, 4L);
	return m;
}

static void give_multi(CURLM *m)
{
	g_mutex_lock(&pool_lock);
	if (pool_len < POOL_MAX) {
		pool[pool_len++] = m;
		m = NULL;
	}
	g_mutex_unlock(&pool_lock);
	if (m)
		curl_multi_cleanup(m);
}

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct pull *p = arg;

	/* A caller that reads slowly must not fill the node's memory. */
	if (p->bytes->len > BUFFERED_MAX) {
		p->paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	g_byte_array_append(p->bytes, (const guint8 *)data, (guint)(size * n));
	return size * n;
}

/* libcurl keeps the headers; only their end is taken note of. */
static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct pull *p = arg;
	size_t len = size * n;

	if (len >= 5 && !memcmp(data, "HTTP/", 5))
		p->headers_done = false;
	else if (len <= 2 && (data[0] == '\r' || data[0] == '\n'))
		p->headers_done = true;
	return len;
}

struct pull *pull_open(const struct pull_request *q)
{
	struct pull *p = g_new0(struct pull, 1);

	p->multi = take_multi();
	p->watched = -1;
	p->easy = curl_easy_init();
	p->bytes = g_byte_array_new();
	for (const char *const *h = q->headers; h && *h; h++)
		p->headers = curl_slist_append(p->headers, *h);
	p->headers = curl_slist_append(p->headers, "Expect:");
	curl_easy_setopt(p->easy, CURLOPT_URL, q->url);
	curl_easy_setopt(p->easy, CURLOPT_CUSTOMREQUEST, q->method);
	curl_easy_setopt(p->easy, CURLOPT_HTTPHEADER, p->headers);
	curl_easy_setopt(p->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(p->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(p->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(p->easy, CURLOPT_BUFFERSIZE, RECEIVE_BYTES);
	curl_easy_setopt(p->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)q->connect_ms);
	curl_easy_setopt(p->easy, CURLOPT_MAXAGE_CONN, POOLED_AGE_S);
	curl_easy_setopt(p->easy, CURLOPT_FRESH_CONNECT, q->fresh ? 1L : 0L);
	curl_easy_setopt(p->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(p->easy, CURLOPT_WRITEDATA, p);
	curl_easy_setopt(p->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(p->easy, CURLOPT_HEADERDATA, p);
	if (q->body.len) {
		curl_easy_setopt(p->easy, CURLOPT_POSTFIELDS, q->body.data);
		curl_easy_setopt(p->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)q->body.len);
	}
	curl_multi_add_handle(p->multi, p->easy);
	return p;
}

static void read_messages(struct pull *p)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(p->multi, &left))) {
		if (m->msg != CURLMSG_DONE)
			continue;
		p->ended = true;
		p->result = m->data.result;
	}
}

static void step(struct pull *p)
{
	int running;

	if (p->paused && p->bytes->len <= BUFFERED_MAX) {
		p->paused = false;
		curl_easy_pause(p->easy, CURLPAUSE_CONT);
	}
	curl_multi_perform(p->multi, &running);
	read_messages(p);
}

void pull_watch(struct pull *p, int fd)
{
	p->watched = fd;
}

/* Wait for something to happen. Returns false when the watched peer left. */
static bool wait_once(struct pull *p, int ms)
{
	struct curl_waitfd w = {p->watched, CURL_WAIT_POLLIN, 0};
	char byte;
	ssize_t n;

	curl_multi_poll(p->multi, &w, p->watched >= 0, ms, NULL);
	if (p->watched < 0 || !w.revents)
		return true;
	n = recv(p->watched, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	/* A next request on the same connection; it would end every wait. */
	if (n > 0)
		p->watched = -1;
	return n > 0 || (n < 0 && errno == EAGAIN);
}

/* Wait for more than n bytes, the end, until_ms or, if asked, the headers. */
static enum pull_event wait_for(struct pull *p, guint n, bool headers,
				int64_t until_ms)
{
	for (;;) {
		int64_t left;

		step(p);
		if (p->bytes->len > n || (headers && pull_status(p)))
			return PULL_DATA;
		if (p->ended)
			return p->result == CURLE_OK ? PULL_END : PULL_FAILED;
		left = until_ms - time_mono_ms();
		if (left <= 0)
			return PULL_TIMEOUT;
		if (!wait_once(p, (int)MIN(left, WAIT_MAX_MS)))
			return PULL_GONE;
	}
}

enum pull_event pull_wait(struct pull *p, int64_t until_ms)
{
	return wait_for(p, 0, false, until_ms);
}

enum pull_event pull_wait_more(struct pull *p, int64_t until_ms)
{
	return wait_for(p, p->bytes->len, false, until_ms);
}

enum pull_event pull_wait_headers(struct pull *p, int64_t until_ms)
{
	return wait_for(p, 0, true, until_ms);
}

int pull_status(const struct pull *p)
{
	long status = 0;

	if (p->headers_done)
		curl_easy_getinfo(p->easy, CURLINFO_RESPONSE_CODE, &status);
	/* An interim answer is none yet. */
	return status >= 200 ? (int)status : 0;
}

const char *pull_header(const struct pull *p, const char *name)
{
	struct curl_header *h;

	if (curl_easy_header(p->easy, name, 0, CURLH_HEADER, -1, &h) !=
	    CURLHE_OK)
		return NULL;
	/* Of several with one name the last counts. */
	if (h->amount > 1)
		curl_easy_header(p->easy, name, h->amount - 1, CURLH_HEADER, -1,
				 &h);
	return h->value;
}

GByteArray *pull_bytes(struct pull *p)
{
	return p->bytes;
}

bool pull_maybe_sent(const struct pull *p)
{
	curl_off_t connected = 0;
	long sent = 0;

	curl_easy_getinfo(p->easy, CURLINFO_PRETRANSFER_TIME_T, &connected);
	curl_easy_getinfo(p->easy, CURLINFO_REQUEST_SIZE, &sent);
	return connected > 0 || sent > 0;
}

void pull_close(struct pull *p)
{
	/* Removal closes the connection unless the answer was whole. */
	curl_multi_remove_handle(p->multi, p->easy);
	curl_easy_cleanup(p->easy);
	give_multi(p->multi);
	curl_slist_free_all(p->headers);
	g_byte_array_unref(p->bytes);
	g_free(p);
}
