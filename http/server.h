/* Internal to the server: watch over its connections. */
#ifndef SERVER_H
#define SERVER_H

#include "http/http.h"

struct idle;
struct conn;

struct idle *idle_new(int64_t idle_ms);
/* After the last connection has closed. */
void idle_free(struct idle *id);
struct conn *idle_opened(struct idle *id, int fd);
/* Before the descriptor is closed. */
void idle_closed(struct conn *c);
/* On the connection's thread: a request's first line has come. */
void idle_request(struct conn *c);
/* On the connection's thread: the whole request has come. */
void idle_handling(void);
/* The answer has gone out. */
void idle_ended(struct conn *c);

#endif
