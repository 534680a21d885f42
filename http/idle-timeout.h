/*
 * Internal to the server: the idle timeout of its connections. A thread of the
 * monitor closes connections without progress; the functions below are called
 * by the server's own threads.
 */
#ifndef IDLE_TIMEOUT_H
#define IDLE_TIMEOUT_H

#include "http/http.h"

struct idle_monitor;
/* One connection; owned by the monitor from idle_monitor_add on. */
struct conn;

/* Start the monitor's thread. idle_ms is the timeout of each connection. */
struct idle_monitor *idle_monitor_new(int64_t idle_ms);
/* Stop the thread and free. All connections must have been removed. */
void idle_monitor_free(struct idle_monitor *m);
/* Monitor a newly accepted connection. */
struct conn *idle_monitor_add(struct idle_monitor *m, int fd);
/*
 * Stop monitoring the connection and free it. Call before the descriptor is
 * closed, as its number may then belong to another connection.
 */
void idle_monitor_remove(struct conn *c);
/* On the connection's thread: a request line has been read. */
void conn_request_begin(struct conn *c);
/* On the connection's thread: the complete request has been read. */
void conn_handler_begin(void);
/* The response has been sent. */
void conn_request_end(struct conn *c);

#endif
