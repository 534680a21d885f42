/* A TCP proxy whose faults are set from outside. See soak.h. */
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak/soak.h"

#define DELAY_US 100000 /* of each read */
/* Time in which a connection notices a change of the fault. */
#define POLL_INTERVAL_MS 20

struct proxy {
	int listener, port, to_port;
	atomic_int fault; /* enum proxy_fault */
	atomic_bool stop;
	atomic_int connections; /* those whose threads are running */
	GThread *thread;
};

struct proxy_connection {
	struct proxy *proxy;
	int fd[2]; /* from the entry; to the target or store, -1: none */
};

/* Make the close of a socket send a TCP reset. */
static void reset_on_close(int fd)
{
	struct linger l = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

/* Forward one read of a side; false when the connection has ended. */
static bool proxy_forward(struct proxy_connection *c, int side)
{
	char buf[4096];
	ssize_t n = recv(c->fd[side], buf, sizeof(buf), 0);

	if (n <= 0)
		return false;
	if (atomic_load(&c->proxy->fault) == PROXY_FAULT_DELAY)
		g_usleep(DELAY_US);
	return send(c->fd[!side], buf, (size_t)n, MSG_NOSIGNAL) == n;
}

/* Forward both ways, as far as the fault allows, until a side closes. */
static void *proxy_connection_thread(void *arg)
{
	struct proxy_connection *c = arg;
	struct proxy *p = c->proxy;
	bool open = c->fd[1] >= 0;

	while (open && !atomic_load(&p->stop)) {
		int fault = atomic_load(&p->fault);
		struct pollfd fds[2] = {{c->fd[0], POLLIN, 0},
					{c->fd[1], POLLIN, 0}};

		if (fault == PROXY_FAULT_RESET)
			break;
		if (fault == PROXY_FAULT_STALL) {
			g_usleep(POLL_INTERVAL_MS * 1000);
			continue;
		}
		if (fault == PROXY_FAULT_ONE_WAY)
			fds[1].fd = -1;
		if (poll(fds, 2, POLL_INTERVAL_MS) <= 0)
			continue;
		for (int i = 0; i < 2 && open; i++)
			if (fds[i].revents)
				open = proxy_forward(c, i);
	}
	if (atomic_load(&p->fault) == PROXY_FAULT_RESET)
		reset_on_close(c->fd[0]);
	close(c->fd[0]);
	if (c->fd[1] >= 0)
		close(c->fd[1]);
	g_free(c);
	atomic_fetch_sub(&p->connections, 1);
	return NULL;
}

static void *proxy_accept_thread(void *arg)
{
	struct proxy *p = arg;
	struct pollfd fds = {p->listener, POLLIN, 0};

	while (!atomic_load(&p->stop)) {
		struct proxy_connection *c;
		int fd;

		if (poll(&fds, 1, POLL_INTERVAL_MS) != 1)
			continue;
		fd = accept(p->listener, NULL, NULL);
		if (fd < 0)
			continue;
		c = g_new0(struct proxy_connection, 1);
		*c = (struct proxy_connection){p, {fd, dial(p->to_port)}};
		atomic_fetch_add(&p->connections, 1);
		g_thread_unref(
			g_thread_new("proxy-conn", proxy_connection_thread, c));
	}
	return NULL;
}

struct proxy *proxy_new(int to_port)
{
	struct proxy *p = g_new0(struct proxy, 1);

	p->to_port = to_port;
	p->listener = listen_any(SOCK_STREAM, &p->port);
	p->thread = g_thread_new("proxy", proxy_accept_thread, p);
	return p;
}

void proxy_free(struct proxy *p)
{
	atomic_store(&p->stop, true);
	g_thread_join(p->thread);
	close(p->listener);
	WAIT_UNTIL(!atomic_load(&p->connections));
	g_free(p);
}

int proxy_port(const struct proxy *p)
{
	return p->port;
}

void proxy_set_fault(struct proxy *p, enum proxy_fault fault)
{
	atomic_store(&p->fault, fault);
}
