/* The sockets, threads and requests of targets inside the test. */
#include "node/test-raw-targets.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_MS 20

struct raw_target {
	int listener;
	raw_serve_fn *serve;
	GThread *thread;
};

struct connection {
	int fd;
	raw_serve_fn *serve;
};

static struct raw_target targets[RIG_PROCS_MAX + 1];
static unsigned target_count;
static atomic_bool stop;
static atomic_int threads; /* of connections */
atomic_bool raw_targets_early;

/* A body of this size is read before the answer in any case. */
#define SHORT_BODY_BYTES 65536

void raw_send(int fd, const char *text)
{
	(void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
}

char *raw_header(const char *request, const char *name)
{
	char *line = g_strdup_printf("\r\n%s: ", name);
	const char *p = strcasestr(request, line);
	char *value =
		p ? g_strndup(p + strlen(line), strcspn(p + strlen(line), "\r"))
		  : g_strdup("");

	g_free(line);
	return value;
}

void raw_wait_closed(int fd, int64_t timeout_ms)
{
	int64_t until_ms = time_mono_ms() + timeout_ms;
	struct pollfd p = {fd, POLLIN, 0};
	char byte;

	while (!atomic_load(&stop) && time_mono_ms() < until_ms) {
		if (poll(&p, 1, POLL_MS) == 1 &&
		    recv(fd, &byte, 1, MSG_PEEK) <= 0)
			return;
	}
}

/* Read a whole request; NULL at the end of the connection or of the test. */
static char *read_request(int fd)
{
	GString *s = g_string_new(NULL);
	struct pollfd p = {fd, POLLIN, 0};

	while (!atomic_load(&stop)) {
		char buf[4096];
		char *end = strstr(s->str, "\r\n\r\n");
		char *length = raw_header(s->str, "Content-Length");
		gsize want =
			end ? (gsize)(end + 4 - s->str) + (gsize)atoi(length)
			    : G_MAXSIZE;
		ssize_t n;

		g_free(length);
		if (s->len >= want || (end && atomic_load(&raw_targets_early) &&
				       want > SHORT_BODY_BYTES))
			return g_string_free(s, FALSE);
		if (poll(&p, 1, POLL_MS) != 1)
			continue;
		n = recv(fd, buf, sizeof(buf), 0);
		if (n <= 0)
			break;
		g_string_append_len(s, buf, n);
	}
	g_string_free(s, TRUE);
	return NULL;
}

static void *connection_thread(void *arg)
{
	struct connection *c = arg;
	int fd = c->fd, on = 1, n = 0;
	bool open = true;
	char *request;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	while (open && (request = read_request(fd))) {
		open = c->serve(fd, request, ++n);
		g_free(request);
	}
	close(fd);
	g_free(c);
	atomic_fetch_sub(&threads, 1);
	return NULL;
}

static void *accept_thread(void *arg)
{
	struct raw_target *t = arg;
	struct pollfd p = {t->listener, POLLIN, 0};

	while (!atomic_load(&stop)) {
		int fd = poll(&p, 1, POLL_MS) == 1
				 ? accept(t->listener, NULL, NULL)
				 : -1;
		struct connection *c;

		if (fd < 0)
			continue;
		c = g_new(struct connection, 1);
		*c = (struct connection){fd, t->serve};
		atomic_fetch_add(&threads, 1);
		g_thread_unref(
			g_thread_new("connection", connection_thread, c));
	}
	close(t->listener);
	return NULL;
}

int raw_server_start(raw_serve_fn *serve)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	socklen_t len = sizeof(at);
	struct raw_target *t = &targets[target_count];

	g_assert_cmpuint(target_count, <, G_N_ELEMENTS(targets));
	if (!target_count++)
		atomic_store(&stop, false);
	t->serve = serve;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	t->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(bind(t->listener, (struct sockaddr *)&at, sizeof(at)),
			==, 0);
	g_assert_cmpint(listen(t->listener, 64), ==, 0);
	getsockname(t->listener, (struct sockaddr *)&at, &len);
	t->thread = g_thread_new("target", accept_thread, t);
	return ntohs(at.sin_port);
}

void raw_targets_start(struct rig *g, raw_serve_fn *serve)
{
	for (unsigned i = 0; i < g->engine_count; i++) {
		int port = raw_server_start(serve);

		g->engines[i].advertised_port = port;
		if (i < g->service_count)
			g->services[i].advertised_port = port;
	}
}

void raw_targets_stop(void)
{
	atomic_store(&stop, true);
	for (unsigned i = 0; i < target_count; i++)
		g_thread_join(targets[i].thread);
	target_count = 0;
	WAIT_UNTIL(!atomic_load(&threads));
}
