#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak/soak.h"

#define SLOW_US 100000
#define TURN_MS 20

struct way {
	int listener, port, to_port;
	atomic_int fault;
	atomic_bool stop;
	atomic_int open;
	GThread *thread;
};

struct pair {
	struct way *way;
	int fd[2]; /* from the entry, to the other end */
};

static void reset(int fd)
{
	struct linger l = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

/* Pass one piece on; false when the connection has ended. */
static bool pump(struct pair *p, int from)
{
	char buf[4096];
	ssize_t n = recv(p->fd[from], buf, sizeof(buf), 0);

	if (n <= 0)
		return false;
	if (atomic_load(&p->way->fault) == WAY_SLOW)
		g_usleep(SLOW_US);
	return send(p->fd[!from], buf, (size_t)n, MSG_NOSIGNAL) == n;
}

static void *pair_run(void *arg)
{
	struct pair *p = arg;
	struct way *w = p->way;
	bool open = p->fd[1] >= 0;

	while (open && !atomic_load(&w->stop)) {
		int fault = atomic_load(&w->fault);
		struct pollfd q[2] = {{p->fd[0], POLLIN, 0},
				      {p->fd[1], POLLIN, 0}};

		if (fault == WAY_RESET)
			break;
		if (fault == WAY_SILENT) {
			g_usleep(TURN_MS * 1000);
			continue;
		}
		if (fault == WAY_ONE_WAY)
			q[1].fd = -1;
		if (poll(q, 2, TURN_MS) <= 0)
			continue;
		for (int i = 0; i < 2 && open; i++)
			if (q[i].revents)
				open = pump(p, i);
	}
	if (atomic_load(&w->fault) == WAY_RESET)
		reset(p->fd[0]);
	close(p->fd[0]);
	if (p->fd[1] >= 0)
		close(p->fd[1]);
	g_free(p);
	atomic_fetch_sub(&w->open, 1);
	return NULL;
}

static void *way_run(void *arg)
{
	struct way *w = arg;
	struct pollfd q = {w->listener, POLLIN, 0};

	while (!atomic_load(&w->stop)) {
		struct pair *p;
		int fd;

		if (poll(&q, 1, TURN_MS) != 1)
			continue;
		fd = accept(w->listener, NULL, NULL);
		if (fd < 0)
			continue;
		p = g_new0(struct pair, 1);
		*p = (struct pair){w, {fd, dial(w->to_port)}};
		atomic_fetch_add(&w->open, 1);
		g_thread_unref(g_thread_new("pair", pair_run, p));
	}
	return NULL;
}

struct way *way_new(int to_port)
{
	struct way *w = g_new0(struct way, 1);

	w->to_port = to_port;
	w->listener = listen_any(SOCK_STREAM, &w->port);
	w->thread = g_thread_new("way", way_run, w);
	return w;
}

void way_free(struct way *w)
{
	atomic_store(&w->stop, true);
	g_thread_join(w->thread);
	close(w->listener);
	WAIT_UNTIL(!atomic_load(&w->open));
	g_free(w);
}

int way_port(const struct way *w)
{
	return w->port;
}

void way_set(struct way *w, enum way_fault f)
{
	atomic_store(&w->fault, f);
}
