/*
 * http: the HTTP server, the two HTTP clients and a parser of server-sent
 * events.
 *
 * struct server runs ulfius with a thread for each connection.
 *
 * struct fetcher is a non-blocking client for a thread with its own event loop.
 * It runs many calls at once, collects each response body in memory and reports
 * each result through a callback.
 *
 * struct http_call is a blocking client for the thread that handles one
 * request. It returns the response piece by piece as it arrives, so that a
 * stream can be relayed.
 *
 * The clients use libcurl, which ulfius itself uses as transport, because the
 * client of ulfius opens a new connection for each call and has no timeout for
 * a response that stalls. Neither client object may be shared by threads.
 */
#ifndef HTTP_H
#define HTTP_H

#include <jansson.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <ulfius.h>

#include "base/base.h"

/* A running HTTP server; the caller owns the memory, server.c the fields. */
struct server {
	struct _u_instance inst;
	int listen_fd;
	int port; /* the port in use, also if the kernel chose it */
	struct idle_monitor *idle_monitor;
	struct bound_route *bound_routes;
	atomic_int active_requests; /* from request line to end of response */
};

/* How a server listens; zero values take the defaults. */
struct server_options {
	const char *address;  /* IPv4 address; default 127.0.0.1 */
	int port;             /* 0 takes a free port */
	unsigned connections; /* limit of open connections; default 4096 */
	int64_t idle_ms;      /* timeout of idle connections; default 24 h */
	size_t header_bytes;  /* memory for request headers; default 32 KiB */
	size_t body_bytes;    /* largest request body; 0 is no limit */
};

/* A row of a server's routing table. */
struct server_route {
	const char *method; /* "*" matches every method */
	const char *path;   /* ulfius format, as in "/objects/:name" */
	int (*handle)(const struct _u_request *q, struct _u_response *r,
		      void *ctx);
};

/*
 * Start to serve n routes, each connection on a thread of its own. The handlers
 * get ctx and run on the connection's thread. The routes must live as long as
 * the server.
 *
 * Return: false when the address can't be bound or the server can't start;
 * errno holds the cause.
 */
bool server_start(struct server *s, const struct server_options *o,
		  const struct server_route *routes, size_t n, void *ctx);
/*
 * Return true while any request is in progress: its request line has been read
 * and the last byte of its response not yet been handed to the kernel.
 */
bool server_busy(struct server *s);
/*
 * Return the descriptor of the connection whose request the calling thread
 * handles, or -1. It may only be watched (http_call_watch_peer), not read or
 * closed.
 */
int server_connection_fd(void);
/* Stop accepting connections; open ones are served until server_stop. */
void server_quiesce(struct server *s);
/* Close all connections, wait for their threads and free the resources. */
void server_stop(struct server *s);
/*
 * Write the port as one line to the file at path, by rename, so that a reader
 * never sees a partial file. Do nothing when path is NULL.
 */
bool server_write_port(const struct server *s, const char *path);
/* Respond with a JSON body; takes the reference to j. */
int answer_json(struct _u_response *r, int status, json_t *j);
/* Respond with a copy of a body, which may be empty. */
void answer_bytes(struct _u_response *r, int status, struct str body);
/* Block SIGTERM and SIGINT, ignore SIGPIPE. Call before starting threads. */
void block_stop_signals(void);
/* Wait for SIGTERM or SIGINT, which block_stop_signals has blocked. */
void wait_for_stop_signal(void);

/* Whether HTTP has such a status; a response with another one is none. */
static inline bool http_status_exists(long status)
{
	return status >= 100 && status <= 599;
}

/* The result of a fetch(); the body is valid during the callback only. */
struct fetch_result {
	int status;      /* HTTP status; 0 without a complete response */
	bool maybe_sent; /* the request may have reached the server */
	struct str body;
};

/*
 * Non-blocking HTTP client. All calls on it and all callbacks happen on the one
 * thread that runs fetcher_poll.
 */
struct fetcher;
typedef void fetch_done_fn(const struct fetch_result *r, void *arg);

struct fetcher *fetcher_new(void);
/* Abort all calls without running their callbacks and free the client. */
void fetcher_free(struct fetcher *f);
/*
 * Start a call, which may take timeout_ms in all. Copies the strings. An empty
 * body is not sent; any other is sent as JSON. fetcher_poll runs done once.
 */
void fetch(struct fetcher *f, const char *method, const char *url,
	   struct str body, int64_t timeout_ms, fetch_done_fn *done, void *arg);
/*
 * Wait at most timeout_ms for activity on the calls or on the n descriptors,
 * set the descriptors' revents, and run the callbacks of the calls that ended.
 */
void fetcher_poll(struct fetcher *f, struct pollfd *fds, unsigned n,
		  int timeout_ms);

/*
 * One blocking HTTP call, used by one thread. The thread reads the response as
 * it arrives; each wait has its own deadline, so a stall can be distinguished
 * from a long response.
 */
struct http_call;

/* What to send; only method and url are required. */
struct http_request {
	const char *method;
	const char *url;
	/* Each "Name: value", terminated by NULL; or NULL for none. */
	const char *const *headers;
	struct str body;            /* must live until http_call_close */
	int64_t connect_timeout_ms; /* limit of the time to open a connection */
	/*
	 * Open a new connection instead of using a pooled one. libcurl resends
	 * a request by itself when a pooled connection turns out to be closed,
	 * so a call that must run at most once needs a new connection.
	 */
	bool fresh;
};

/* Why a wait ended. */
enum http_call_event {
	HTTP_CALL_DATA,        /* unread bytes are in http_call_unread() */
	HTTP_CALL_END,         /* the response is complete */
	HTTP_CALL_FAILED,      /* the connection failed or ended early */
	HTTP_CALL_TIMEOUT,     /* the deadline of the wait has passed */
	HTTP_CALL_PEER_CLOSED, /* the watched peer closed its connection */
};

/*
 * Prepare a call. It makes progress only during the waits, which also report
 * its errors; this function itself never fails.
 */
struct http_call *http_call_open(const struct http_request *q);
/*
 * Let waits return HTTP_CALL_PEER_CLOSED when the peer of connection fd closes
 * it, so that work for a caller that has disconnected can be cancelled.
 */
void http_call_watch_peer(struct http_call *c, int fd);
/*
 * Wait until there are unread bytes, the response ends or until_ms (monotonic)
 * has passed.
 */
enum http_call_event http_call_wait(struct http_call *c, int64_t until_ms);
/* Like http_call_wait, but wait for more bytes than are unread already. */
enum http_call_event http_call_wait_more(struct http_call *c, int64_t until_ms);
/*
 * Like http_call_wait, but also return HTTP_CALL_DATA when all headers have
 * arrived.
 */
enum http_call_event http_call_wait_headers(struct http_call *c,
					    int64_t until_ms);
/* Return the HTTP status, or 0 until all headers have arrived. */
int http_call_status(const struct http_call *c);
/*
 * Return the value of a response header, or NULL. The name is compared without
 * regard to case. The value is valid until http_call_close.
 */
const char *http_call_header(const struct http_call *c, const char *name);
/*
 * Return the unread bytes. The caller removes what it has read by
 * g_byte_array_remove_range.
 */
GByteArray *http_call_unread(struct http_call *c);
/* Return whether the server may have begun to work on the request. */
bool http_call_maybe_sent(const struct http_call *c);
/*
 * Return whether the response can't be taken for that to the request: the
 * header names another id, or none on a connection that was used before, as
 * what an earlier request left may come there.
 */
bool http_call_is_foreign(const struct http_call *c, const char *header,
			  struct str id);
/*
 * Return whether the body can be read as server-sent events: the headers name
 * no other type and no encoding.
 */
bool http_call_is_event_stream(const struct http_call *c);
/*
 * End the call and free it. Its connection goes back to the pool only if the
 * response was complete.
 */
void http_call_close(struct http_call *c);

/* One server-sent event; the strings point into the parsed buffer. */
struct sse_event {
	struct str id;
	struct str data;
	struct str comment; /* last complete comment line up to its end */
};

/*
 * Parse the first complete event of n bytes. Unknown fields are ignored. Of
 * several data or comment lines the last one counts, because no system here
 * sends more than one.
 *
 * Return: the bytes consumed, or 0 when there is no complete event yet. The
 * comment is set in either case.
 */
size_t sse_next(const char *buf, size_t n, struct sse_event *out);

#endif
