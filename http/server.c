#include <arpa/inet.h>
#include <errno.h>
#include <malloc.h>
#include <microhttpd.h>
#include <signal.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http.h"

#define THREAD_STACK_BYTES   (128 * 1024)
#define LISTEN_BACKLOG       512
#define DEFAULT_CONNECTIONS  4096
#define DEFAULT_HEADER_BYTES 32768

static int listen_on(const char *address, int port, int *bound)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons((uint16_t)port)};
	socklen_t len = sizeof(a);
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
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) ||
	    listen(fd, LISTEN_BACKLOG) ||
	    getsockname(fd, (struct sockaddr *)&a, &len)) {
		close(fd);
		return -1;
	}
	*bound = ntohs(a.sin_port);
	return fd;
}

static void *on_begin(void *ctx, const char *uri)
{
	struct server *s = ctx;

	atomic_fetch_add(&s->busy, 1);
	return ulfius_uri_logger(NULL, uri);
}

static void on_end(void *ctx, struct MHD_Connection *c, void **request,
		   enum MHD_RequestTerminationCode why)
{
	struct server *s = ctx;

	mhd_request_completed(NULL, c, request, why);
	atomic_fetch_sub(&s->busy, 1);
}

bool server_busy(struct server *s)
{
	return atomic_load(&s->busy) > 0;
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
		{MHD_OPTION_CONNECTION_TIMEOUT, 0, NULL},
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
	ops[6].value = o->idle_s;
	if (ulfius_init_instance(&s->inst, (unsigned)s->port, NULL, NULL) !=
	    U_OK)
		return false;
	s->inst.max_post_body_size = o->body_bytes;
	s->inst.allowed_post_processor = U_POST_PROCESS_NONE;
	for (size_t i = 0; i < n; i++)
		ulfius_add_endpoint_by_val(&s->inst, routes[i].method, NULL,
					   routes[i].path, 0, routes[i].handle,
					   ctx);
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
