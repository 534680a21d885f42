/*
 * TCP proxy with faults. One thread accepts, one thread forwards the bytes of
 * each connection.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdatomic.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node/test-harness.h"

#define POLL_MS     10
#define BLOCK_BYTES 16384

struct tcp_proxy {
	int listen_fd, port;
	atomic_int to_port;
	atomic_int mode;
	atomic_int generation; /* connections of older ones are stalled */
	atomic_int connections;
	atomic_bool stopping;
	GThread *accept_thread;
	GPtrArray *connection_threads; /* one for each connection */
};

struct connection {
	struct tcp_proxy *proxy;
	int client_fd, target_fd;
	int generation;
};

static struct sockaddr_in loopback(int port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
				    .sin_port = htons((uint16_t)port),
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
}

/* Return false when either side has closed. */
static bool forward_bytes(int from, int to)
{
	char buf[BLOCK_BYTES];
	ssize_t n = recv(from, buf, sizeof(buf), 0);

	return n > 0 && send(to, buf, (size_t)n, MSG_NOSIGNAL) == n;
}

/* Forward nothing; send some bytes of no event where the mode says so. */
static bool stall(struct connection *conn)
{
	static const char piece[] = "1\r\n:\r\n";

	g_usleep(POLL_MS * 1000);
	return atomic_load(&conn->proxy->mode) != TCP_PROXY_TRICKLE ||
	       send(conn->client_fd, piece, sizeof(piece) - 1, MSG_NOSIGNAL) >=
		       0;
}

static bool forward_once(struct connection *conn)
{
	struct pollfd fds[] = {{conn->client_fd, POLLIN, 0},
			       {conn->target_fd, POLLIN, 0}};
	struct tcp_proxy *proxy = conn->proxy;

	if (conn->generation < atomic_load(&proxy->generation))
		return stall(conn);
	if (poll(fds, 2, POLL_MS) < 0)
		return errno == EINTR;
	/* The mode may have changed during the poll. */
	if (conn->generation < atomic_load(&proxy->generation))
		return true;
	if (fds[0].revents && !forward_bytes(conn->client_fd, conn->target_fd))
		return false;
	if (!fds[1].revents)
		return true;
	return atomic_load(&proxy->mode) != TCP_PROXY_CUT_RESPONSES &&
	       forward_bytes(conn->target_fd, conn->client_fd);
}

static void *run_connection(void *arg)
{
	struct connection *conn = arg;

	while (!atomic_load(&conn->proxy->stopping) && forward_once(conn))
		;
	close(conn->client_fd);
	close(conn->target_fd);
	g_free(conn);
	return NULL;
}

static void accept_connection(struct tcp_proxy *proxy)
{
	struct sockaddr_in to = loopback(atomic_load(&proxy->to_port));
	struct connection *conn = g_new0(struct connection, 1);

	conn->proxy = proxy;
	conn->generation = atomic_load(&proxy->generation);
	conn->client_fd = accept(proxy->listen_fd, NULL, NULL);
	conn->target_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (conn->client_fd < 0 ||
	    connect(conn->target_fd, (struct sockaddr *)&to, sizeof(to))) {
		close(conn->client_fd);
		close(conn->target_fd);
		g_free(conn);
		return;
	}
	atomic_fetch_add(&proxy->connections, 1);
	g_ptr_array_add(proxy->connection_threads,
			g_thread_new("connection", run_connection, conn));
}

static void *run_accept(void *arg)
{
	struct tcp_proxy *proxy = arg;

	while (!atomic_load(&proxy->stopping)) {
		struct pollfd p = {proxy->listen_fd, POLLIN, 0};

		if (poll(&p, 1, POLL_MS) > 0)
			accept_connection(proxy);
	}
	return NULL;
}

struct tcp_proxy *tcp_proxy_new(int to_port)
{
	struct tcp_proxy *proxy = g_new0(struct tcp_proxy, 1);
	struct sockaddr_in a = loopback(0);
	socklen_t len = sizeof(a);

	proxy->to_port = to_port;
	proxy->connection_threads = g_ptr_array_new();
	proxy->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(
		bind(proxy->listen_fd, (struct sockaddr *)&a, sizeof(a)), ==,
		0);
	g_assert_cmpint(listen(proxy->listen_fd, SOMAXCONN), ==, 0);
	getsockname(proxy->listen_fd, (struct sockaddr *)&a, &len);
	proxy->port = ntohs(a.sin_port);
	proxy->accept_thread = g_thread_new("tcp-proxy", run_accept, proxy);
	return proxy;
}

void tcp_proxy_set_port(struct tcp_proxy *proxy, int to_port)
{
	atomic_store(&proxy->to_port, to_port);
}

int tcp_proxy_port(const struct tcp_proxy *proxy)
{
	return proxy->port;
}

void tcp_proxy_set_mode(struct tcp_proxy *proxy, enum tcp_proxy_mode m)
{
	atomic_store(&proxy->mode, m);
	if (m == TCP_PROXY_BLACKHOLE || m == TCP_PROXY_TRICKLE)
		atomic_fetch_add(&proxy->generation, 1);
}

int tcp_proxy_connections(struct tcp_proxy *proxy)
{
	return atomic_load(&proxy->connections);
}

void tcp_proxy_free(struct tcp_proxy *proxy)
{
	atomic_store(&proxy->stopping, true);
	g_thread_join(proxy->accept_thread);
	for (guint i = 0; i < proxy->connection_threads->len; i++)
		g_thread_join(g_ptr_array_index(proxy->connection_threads, i));
	g_ptr_array_unref(proxy->connection_threads);
	close(proxy->listen_fd);
	g_free(proxy);
}
