/*
 * Targets that are sockets of the test itself, so that a test decides every
 * byte they write. A thread serves each connection.
 */
#ifndef TEST_RAW_TARGETS_H
#define TEST_RAW_TARGETS_H

#include <stdatomic.h>

#include "node/test-harness.h"

/*
 * Write the response to a request, which is complete. on_connection counts the
 * requests of the connection from 1 on.
 *
 * Return: whether the connection stays open; to reset it, the function sets
 * SO_LINGER.
 */
typedef bool raw_serve_fn(int fd, const char *request, int on_connection);

/* Whether servers answer a long request before they have read its body. */
extern atomic_bool raw_targets_early;

/* Start one server on a free port, and return the port. */
int raw_server_start(raw_serve_fn *serve);
/* Start the targets of a rig and put them in the place of its stand-ins. */
void raw_targets_start(struct rig *g, raw_serve_fn *serve);
/* Close all connections and join the threads; call after rig_free. */
void raw_targets_stop(void);
/* Send a text to the peer; a failure is ignored. */
void raw_send(int fd, const char *text);
/* Copy a header's value; "" when there is none. Free with g_free. */
char *raw_header(const char *request, const char *name);
/* Wait until the peer closes the connection, at most so long. */
void raw_wait_closed(int fd, int64_t timeout_ms);

#endif
