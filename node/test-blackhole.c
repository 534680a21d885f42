#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdatomic.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node/test-harness.h"

#define POLL_MS     10
#define BLOCK_BYTES 16384

struct hole {
	int fd, port;
	atomic_int to_port;
	atomic_int mode;
	atomic_int generation; /* connections of earlier ones are silent */
	atomic_int connections;
	atomic_bool stop;
	GThread *thread;
	GPtrArray *threads; /* one a connection */
};

struct link {
	struct hole *h;
	int caller, target;
	int generation;
};

static struct sockaddr_in loopback(int port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
				    .sin_port = htons((uint16_t)port),
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
}

/* Pass on what can be read. Returns false at the end of either side. */
static bool pass(int from, int to)
{
	char buf[BLOCK_BYTES];
	ssize_t n = recv(from, buf, sizeof(buf), 0);

	return n > 0 && send(to, buf, (size_t)n, MSG_NOSIGNAL) == n;
}

static bool step(struct link *l)
{
	struct pollfd fds[] = {{l->caller, POLLIN, 0}, {l->target, POLLIN, 0}};
	struct hole *h = l->h;

	if (l->generation < atomic_load(&h->generation)) {
		g_usleep(POLL_MS * 1000);
		return true;
	}
	if (poll(fds, 2, POLL_MS) < 0)
		return errno == EINTR;
	if (l->generation < atomic_load(&h->generation))
		return true;
	if (fds[0].revents && !pass(l->caller, l->target))
		return false;
	if (!fds[1].revents)
		return true;
	return atomic_load(&h->mode) != HOLE_CUT && pass(l->target, l->caller);
}

static void *run_link(void *arg)
{
	struct link *l = arg;

	while (!atomic_load(&l->h->stop) && step(l))
		;
	close(l->caller);
	close(l->target);
	g_free(l);
	return NULL;
}

static void accept_one(struct hole *h)
{
	struct sockaddr_in to = loopback(atomic_load(&h->to_port));
	struct link *l = g_new0(struct link, 1);

	l->h = h;
	l->generation = atomic_load(&h->generation);
	l->caller = accept(h->fd, NULL, NULL);
	l->target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (l->caller < 0 ||
	    connect(l->target, (struct sockaddr *)&to, sizeof(to))) {
		close(l->caller);
		close(l->target);
		g_free(l);
		return;
	}
	atomic_fetch_add(&h->connections, 1);
	g_ptr_array_add(h->threads, g_thread_new("link", run_link, l));
}

static void *run_accept(void *arg)
{
	struct hole *h = arg;

	while (!atomic_load(&h->stop)) {
		struct pollfd p = {h->fd, POLLIN, 0};

		if (poll(&p, 1, POLL_MS) > 0)
			accept_one(h);
	}
	return NULL;
}

struct hole *hole_new(int to_port)
{
	struct hole *h = g_new0(struct hole, 1);
	struct sockaddr_in a = loopback(0);
	socklen_t len = sizeof(a);

	h->to_port = to_port;
	h->threads = g_ptr_array_new();
	h->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(bind(h->fd, (struct sockaddr *)&a, sizeof(a)), ==, 0);
	g_assert_cmpint(listen(h->fd, SOMAXCONN), ==, 0);
	getsockname(h->fd, (struct sockaddr *)&a, &len);
	h->port = ntohs(a.sin_port);
	h->thread = g_thread_new("hole", run_accept, h);
	return h;
}

void hole_to(struct hole *h, int to_port)
{
	atomic_store(&h->to_port, to_port);
}

int hole_port(const struct hole *h)
{
	return h->port;
}

void hole_set(struct hole *h, enum hole_mode m)
{
	atomic_store(&h->mode, m);
	if (m == HOLE_BLIND)
		atomic_fetch_add(&h->generation, 1);
}

int hole_connections(struct hole *h)
{
	return atomic_load(&h->connections);
}

void hole_free(struct hole *h)
{
	atomic_store(&h->stop, true);
	g_thread_join(h->thread);
	for (guint i = 0; i < h->threads->len; i++)
		g_thread_join(g_ptr_array_index(h->threads, i));
	g_ptr_array_unref(h->threads);
	close(h->fd);
	g_free(h);
}
