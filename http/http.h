/*
 * http: the HTTP server and the two HTTP clients of the system. The server is
 * ulfius. The clients stand on libcurl, ulfius's own transport, because its
 * client opens a connection for each call and has no stall timeout.
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

/* A running HTTP server. */
struct server {
	struct _u_instance inst;
	int fd;
	int port;
	struct idle *idle;
	struct bound_route *bound;
	atomic_int busy; /* requests between their first line and their end */
};

/* How a server listens; zero values take the defaults. */
struct server_options {
	const char *address;  /* IP number; default 127.0.0.1 */
	int port;             /* 0 takes a free port */
	unsigned connections; /* most open connections; default 4096 */
	int64_t idle_ms;      /* close connections that are idle for so long */
	size_t header_bytes;  /* memory for a request's headers */
	size_t body_bytes;    /* largest body; 0 is no limit */
};

/* A row of a server's routing table. */
struct server_route {
	const char *method;
	const char *path; /* ulfius format, as in "/objects/:name" */
	int (*handle)(const struct _u_request *q, struct _u_response *r,
		      void *ctx);
};

/*
 * Serve the n routes with a thread for each connection.
 *
 * Return: false when the address can't be bound or the server can't start;
 * errno says why.
 */
bool server_start(struct server *s, const struct server_options *o,
		  const struct server_route *routes, size_t n, void *ctx);
/*
 * Whether any request is in progress: its first line has been read and the
 * last byte of its answer not yet been handed to the system.
 */
bool server_busy(struct server *s);
/*
 * Descriptor of the connection whose request this thread handles, or -1; only
 * for watching (pull_watch).
 */
int server_caller_fd(void);
/* Stop accepting connections; open ones go on until server_stop. */
void server_quiesce(struct server *s);
void server_stop(struct server *s);
/* Write the port as one line, by rename, so that a reader never sees half. */
bool server_write_port(const struct server *s, const char *path);
/* Answer with a JSON body; takes the reference to j. */
int answer_json(struct _u_response *r, int status, json_t *j);
/* Block SIGTERM and SIGINT and ignore SIGPIPE; before any thread starts. */
void block_stop_signals(void);
void wait_for_stop(void);

/* Answer to a call of the control thread. The body lives for the callback. */
struct fetch_result {
	int status;      /* HTTP status; 0 when no whole answer arrived */
	bool maybe_sent; /* the request may have reached the other side */
	struct str body;
};

/*
 * HTTP client for one thread that must never block: many calls at once, each
 * ended by its callback, from fetcher_poll.
 */
struct fetcher;
typedef void fetch_done_fn(const struct fetch_result *r, void *arg);

struct fetcher *fetcher_new(void);
/* Ends all calls without calling back. */
void fetcher_free(struct fetcher *f);
/* Start a call; the strings are copied. */
void fetch(struct fetcher *f, const char *method, const char *url,
	   struct str body, int64_t timeout_ms, fetch_done_fn *done, void *arg);
/*
 * Wait at most timeout_ms for the calls or the n descriptors (their revents
 * are set) and run the callbacks of the calls that ended.
 */
void fetcher_poll(struct fetcher *f, struct pollfd *fds, unsigned n,
		  int timeout_ms);

/* One call of a traffic thread, read as it arrives by that thread alone. */
struct pull;

struct pull_request {
	const char *method;
	const char *url;
	const char *const *headers; /* "Name: value", ends in NULL */
	struct str body;            /* must live until pull_close */
	int64_t connect_ms;         /* time to open a connection */
	/*
	 * Never take a pooled connection. libcurl sends a request again by
	 * itself when a pooled connection turns out to be closed; a call that
	 * must run at most once can't have that.
	 */
	bool fresh;
};

enum pull_event {
	PULL_DATA,    /* unread bytes are in pull_bytes() */
	PULL_END,     /* the answer is whole */
	PULL_FAILED,  /* the connection failed or ended early */
	PULL_TIMEOUT, /* nothing happened until the given time */
	PULL_GONE,    /* the peer of the watched connection has left */
};

struct pull *pull_open(const struct pull_request *q);
/* Let waits end with PULL_GONE when the peer of connection fd leaves. */
void pull_watch(struct pull *p, int fd);
/* Wait until there are unread bytes, the end, or until_ms (monotonic). */
enum pull_event pull_wait(struct pull *p, int64_t until_ms);
/* The same, but unread bytes of before don't count: waits for further ones. */
enum pull_event pull_wait_more(struct pull *p, int64_t until_ms);
/* The same, but PULL_DATA also means that all headers have arrived. */
enum pull_event pull_wait_headers(struct pull *p, int64_t until_ms);
/* HTTP status, or 0 while not all headers have arrived. */
int pull_status(const struct pull *p);
/* Value of an answer header, or NULL. Names compare without case. */
const char *pull_header(const struct pull *p, const char *name);
/* Unread bytes; the reader takes them by g_byte_array_remove_range. */
GByteArray *pull_bytes(struct pull *p);
/* Whether the other side may have begun to work on the request. */
bool pull_maybe_sent(const struct pull *p);
/* Ends the call; its connection is pooled only if the answer was whole. */
void pull_close(struct pull *p);

/* One server-sent event; the strings point into the buffer parsed. */
struct sse_event {
	struct str id;
	struct str data;
	struct str comment; /* the last whole comment line before its end */
};

/*
 * Take the next whole event from the front of n bytes. Unknown fields are
 * passed over; of several data or comment lines the last one counts, as no
 * system here sends more.
 *
 * Return: the bytes used, or 0 when there is no whole event yet; the comment
 * is set in either case.
 */
size_t sse_next(const char *buf, size_t n, struct sse_event *out);

#endif
