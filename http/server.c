/*
 * The HTTP server: ulfius on top of libmicrohttpd, each connection on a thread
 * of its own, with an idle timeout and a count of the requests in progress.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <malloc.h>
#include <microhttpd.h>
#include <signal.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/idle-timeout.h"

#define THREAD_STACK_BYTES   (128 * 1024)
#define LISTEN_BACKLOG       512
#define SEND_BUFFER_BYTES    (64 * 1024) /* per connection */
#define MALLOC_ARENAS        4
#define DEFAULT_CONNECTIONS  4096
#define DEFAULT_HEADER_BYTES 32768
#define DEFAULT_IDLE_MS      (24 * 3600 * 1000)

/* Return a listening socket and set its port, or -1 with errno set. */
static int listen_on(const char *address, int port, int *bound_port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port)};
	socklen_t len = sizeof(addr);
	int send_bytes = SEND_BUFFER_BYTES;
	int reuse = 1;
	int fd;

	if (inet_pton(AF_INET, address, &addr.sin_addr) != 1) {
		errno = EINVAL;
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
	/*
	 * Accepted connections inherit the size. It bounds the kernel memory
	 * that a response takes while its peer does not read.
	 */
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_bytes, sizeof(send_bytes));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) ||
	    listen(fd, LISTEN_BACKLOG) ||
	    getsockname(fd, (struct sockaddr *)&addr, &len)) {
		close(fd);
		return -1;
	}
	*bound_port = ntohs(addr.sin_port);
	return fd;
}

/* Return our record of a connection of libmicrohttpd, or NULL. */
static struct conn *conn_of(struct MHD_Connection *c)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(c, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

/* Called by libmicrohttpd when a connection is opened or closed. */
static void on_connection(void *ctx, struct MHD_Connection *c, void **conn,
			  enum MHD_ConnectionNotificationCode event)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(c, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct server *s = ctx;

	if (event == MHD_CONNECTION_NOTIFY_STARTED)
		*conn = idle_monitor_add(s->idle_monitor, info->connect_fd);
	else if (*conn)
		idle_monitor_remove(*conn);
}

/* Called by libmicrohttpd when the request line has been read. */
static void *on_request_line(void *ctx, const char *uri,
			     struct MHD_Connection *c)
{
	struct conn *conn = conn_of(c);
	struct server *s = ctx;

	atomic_fetch_add(&s->active_requests, 1);
	if (conn)
		conn_request_begin(conn);
	return ulfius_uri_logger(NULL, uri);
}

/* Called by libmicrohttpd when the response has been sent or has failed. */
static void on_request_end(void *ctx, struct MHD_Connection *c, void **request,
			   enum MHD_RequestTerminationCode why)
{
	struct conn *conn = conn_of(c);
	struct server *s = ctx;

	mhd_request_completed(NULL, c, request, why);
	if (conn)
		conn_request_end(conn);
	atomic_fetch_sub(&s->active_requests, 1);
}

bool server_busy(struct server *s)
{
	return atomic_load(&s->active_requests) > 0;
}

/* A route with the context that its handler gets. */
struct bound_route {
	const struct server_route *route;
	void *ctx;
};

/* Called by ulfius when the complete request has been read. */
static int run_handler(const struct _u_request *q, struct _u_response *r,
		       void *arg)
{
	const struct bound_route *b = arg;

	conn_handler_begin();
	return b->route->handle(q, r, b->ctx);
}

/* Register the routes with ulfius. */
static void add_routes(struct server *s, const struct server_route *routes,
		       size_t n, void *ctx)
{
	s->bound_routes = g_new(struct bound_route, n);
	for (size_t i = 0; i < n; i++) {
		s->bound_routes[i] = (struct bound_route){&routes[i], ctx};
		ulfius_add_endpoint_by_val(&s->inst, routes[i].method, NULL,
					   routes[i].path, 0, run_handler,
					   &s->bound_routes[i]);
	}
}

bool server_start(struct server *s, const struct server_options *o,
		  const struct server_route *routes, size_t n, void *ctx)
{
	/* Indices of the options whose values are set below. */
	enum { LISTEN_SOCKET = 2, CONNECTION_LIMIT = 4, MEMORY_LIMIT = 5 };
	struct MHD_OptionItem mhd_options[] = {
		{MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)on_request_end, s},
		{MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)on_request_line, s},
		[LISTEN_SOCKET] = {MHD_OPTION_LISTEN_SOCKET, 0, NULL},
		{MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES, NULL},
		[CONNECTION_LIMIT] = {MHD_OPTION_CONNECTION_LIMIT,
				      DEFAULT_CONNECTIONS, NULL},
		[MEMORY_LIMIT] = {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
				  DEFAULT_HEADER_BYTES, NULL},
		{MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)on_connection, s},
		{MHD_OPTION_END, 0, NULL},
	};

	memset(s, 0, sizeof(*s));
	/* Each arena takes memory of its own, and there are many threads. */
	mallopt(M_ARENA_MAX, MALLOC_ARENAS);
	s->listen_fd = listen_on(o->address ? o->address : "127.0.0.1", o->port,
				 &s->port);
	if (s->listen_fd < 0)
		return false;
	mhd_options[LISTEN_SOCKET].value = s->listen_fd;
	if (o->connections)
		mhd_options[CONNECTION_LIMIT].value = o->connections;
	if (o->header_bytes)
		mhd_options[MEMORY_LIMIT].value = (intptr_t)o->header_bytes;
	if (ulfius_init_instance(&s->inst, (unsigned)s->port, NULL, NULL) !=
	    U_OK)
		return false;
	s->inst.max_post_body_size = o->body_bytes;
	s->inst.allowed_post_processor = U_POST_PROCESS_NONE;
	add_routes(s, routes, n, ctx);
	s->idle_monitor =
		idle_monitor_new(o->idle_ms ? o->idle_ms : DEFAULT_IDLE_MS);
	return ulfius_start_framework_with_mhd_options(
		       &s->inst,
		       MHD_USE_THREAD_PER_CONNECTION |
			       MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
			       MHD_USE_ITC,
		       mhd_options) == U_OK;
}

void server_quiesce(struct server *s)
{
	MHD_socket fd = MHD_quiesce_daemon(s->inst.mhd_daemon);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

void server_stop(struct server *s)
{
	ulfius_stop_framework(&s->inst);
	ulfius_clean_instance(&s->inst);
	idle_monitor_free(s->idle_monitor);
	g_free(s->bound_routes);
}

bool server_write_port(const struct server *s, const char *path)
{
	char *text;
	bool ok;

	if (!path)
		return true;
	text = g_strdup_printf("%d\n", s->port);
	ok = g_file_set_contents(path, text, -1, NULL);
	g_free(text);
	return ok;
}

void answer_bytes(struct _u_response *r, int status, struct str body)
{
	/* ulfius refuses a body that is NULL, and keeps status 200 then. */
	if (body.len)
		ulfius_set_binary_body_response(r, (unsigned)status, body.data,
						body.len);
	else
		ulfius_set_empty_body_response(r, (unsigned)status);
}

int answer_json(struct _u_response *r, int status, json_t *j)
{
	ulfius_set_json_body_response(r, (unsigned)status, j);
	json_decref(j);
	return U_CALLBACK_COMPLETE;
}

static void set_stop_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void block_stop_signals(void)
{
	sigset_t set;

	set_stop_signals(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop_signal(void)
{
	sigset_t set;
	int sig;

	set_stop_signals(&set);
	sigwait(&set, &sig);
}
