#include <arpa/inet.h>
#include <errno.h>
#include <malloc.h>
#include <microhttpd.h>
#include <signal.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/server.h"

#define THREAD_STACK_BYTES   (128 * 1024)
#define LISTEN_BACKLOG       512
#define SEND_BUFFER_BYTES    (64 * 1024) /* for an answer that isn't read */
#define DEFAULT_CONNECTIONS  4096
#define DEFAULT_HEADER_BYTES 32768
#define DEFAULT_IDLE_MS      (24 * 3600 * 1000)

static int listen_on(const char *address, int port, int *bound)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons((uint16_t)port)};
	socklen_t len = sizeof(a);
	int send_bytes = SEND_BUFFER_BYTES;
	int on = 1;
	int fd;

	if (inet_pton(AF_INET, address, &a.sin_addr) != 1) {
		errno = EINVAL;
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	/* Connections inherit it. */
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_bytes, sizeof(send_bytes));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) ||
	    listen(fd, LISTEN_BACKLOG) ||
	    getsockname(fd, (struct sockaddr *)&a, &len)) {
		close(fd);
		return -1;
	}
	*bound = ntohs(a.sin_port);
	return fd;
}

static struct conn *conn_of(struct MHD_Connection *c)
{
	const union MHD_ConnectionInfo *i =
		MHD_get_connection_info(c, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return i ? i->socket_context : NULL;
}

static void on_connection(void *ctx, struct MHD_Connection *c, void **conn,
			  enum MHD_ConnectionNotificationCode what)
{
	const union MHD_ConnectionInfo *i =
		MHD_get_connection_info(c, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct server *s = ctx;

	if (what == MHD_CONNECTION_NOTIFY_STARTED)
		*conn = idle_opened(s->idle, i->connect_fd);
	else if (*conn)
		idle_closed(*conn);
}

static void *on_begin(void *ctx, const char *uri, struct MHD_Connection *c)
{
	struct conn *conn = conn_of(c);
	struct server *s = ctx;

	atomic_fetch_add(&s->busy, 1);
	if (conn)
		idle_request(conn);
	return ulfius_uri_logger(NULL, uri);
}

static void on_end(void *ctx, struct MHD_Connection *c, void **request,
		   enum MHD_RequestTerminationCode why)
{
	struct conn *conn = conn_of(c);
	struct server *s = ctx;

	mhd_request_completed(NULL, c, request, why);
	if (conn)
		idle_ended(conn);
	atomic_fetch_sub(&s->busy, 1);
}

bool server_busy(struct server *s)
{
	return atomic_load(&s->busy) > 0;
}

/* A route and the context of its handler. */
struct bound_route {
	const struct server_route *route;
	void *ctx;
};

static int on_route(const struct _u_request *q, struct _u_response *r,
		    void *arg)
{
	const struct bound_route *b = arg;

	idle_handling();
	return b->route->handle(q, r, b->ctx);
}

static void add_routes(struct server *s, const struct server_route *routes,
		       size_t n, void *ctx)
{
	s->bound = g_new(struct bound_route, n);
	for (size_t i = 0; i < n; i++) {
		s->bound[i] = (struct bound_route){&routes[i], ctx};
		ulfius_add_endpoint_by_val(&s->inst, routes[i].method, NULL,
					   routes[i].path, 0, on_route,
					   &s->bound[i]);
	}
}

bool server_start(struct server *s, const struct server_options *o,
		  const struct server_route *routes, size_t n, void *ctx)
{
	struct MHD_OptionItem ops[] = {
		{MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)on_end, s},
		{MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)on_begin, s},
		{MHD_OPTION_LISTEN_SOCKET, 0, NULL},
		{MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES, NULL},
		{MHD_OPTION_CONNECTION_LIMIT, DEFAULT_CONNECTIONS, NULL},
		{MHD_OPTION_CONNECTION_MEMORY_LIMIT, DEFAULT_HEADER_BYTES,
		 NULL},
		{MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)on_connection, s},
		{MHD_OPTION_END, 0, NULL},
	};

	memset(s, 0, sizeof(*s));
	/* Many threads with a malloc arena each would cost much memory. */
	mallopt(M_ARENA_MAX, 4);
	s->fd = listen_on(o->address ? o->address : "127.0.0.1", o->port,
			  &s->port);
	if (s->fd < 0)
		return false;
	ops[2].value = s->fd;
	if (o->connections)
		ops[4].value = o->connections;
	if (o->header_bytes)
		ops[5].value = (intptr_t)o->header_bytes;
	if (ulfius_init_instance(&s->inst, (unsigned)s->port, NULL, NULL) !=
	    U_OK)
		return false;
	s->inst.max_post_body_size = o->body_bytes;
	s->inst.allowed_post_processor = U_POST_PROCESS_NONE;
	add_routes(s, routes, n, ctx);
	s->idle = idle_new(o->idle_ms ? o->idle_ms : DEFAULT_IDLE_MS);
	return ulfius_start_framework_with_mhd_options(
		       &s->inst,
		       MHD_USE_THREAD_PER_CONNECTION |
			       MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
			       MHD_USE_ITC,
		       ops) == U_OK;
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
	idle_free(s->idle);
	g_free(s->bound);
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

int answer_json(struct _u_response *r, int status, json_t *j)
{
	ulfius_set_json_body_response(r, (unsigned)status, j);
	json_decref(j);
	return U_CALLBACK_COMPLETE;
}

static void stop_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void block_stop_signals(void)
{
	sigset_t set;

	stop_signals(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop(void)
{
	sigset_t set;
	int sig;

	stop_signals(&set);
	sigwait(&set, &sig);
}
