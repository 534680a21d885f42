/* Opens non-blocking TCP sockets, set to detect a dead peer within seconds. */
#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/entry.h"

#define LISTEN_BACKLOG 512
/*
 * A connection breaks when sent data, or keep-alive probes, stay unacknowledged
 * for this long: the kernel then does not wait for the number of probes. A peer
 * that is silent for a second or two goes on.
 */
#define UNACKED_TIMEOUT_MS 2500
/* Keep-alive probes of a silent connection. */
#define KEEPALIVE_IDLE_S     1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     2
/* The flags in a TCP header that begin a connection, and their offset. */
#define TCP_FLAGS_OFFSET 13
#define TCP_SYN          0x02
#define TCP_ACK          0x10

/* Of all threads. */
static atomic_int open_connections;

static void set_option(int fd, int level, int name, int value)
{
	/* Without the option the system's default applies. */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void set_connection_options(int fd)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS);
}

void sock_reset_on_close(int fd)
{
	struct linger l = {1, 0};

	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

bool parse_address(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	uint64_t port;

	memset(out, 0, sizeof(*out));
	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL))
		return false;
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

int sock_listen(const char *address, GError **err)
{
	struct sockaddr_in at;
	int fd = -1;

	if (!parse_address(address, &at)) {
		g_set_error(err, RAMP_ERROR, RAMP_ERR_BAD_REQUEST,
			    "listen address %s is not IP:PORT", address);
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0) {
		set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
		if (!bind(fd, (struct sockaddr *)&at, sizeof(at)) &&
		    !listen(fd, LISTEN_BACKLOG))
			return fd;
	}
	g_set_error(err, RAMP_ERROR, RAMP_ERR_INTERNAL,
		    "cannot listen on %s: %s", address, g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

int sock_connect(const struct sockaddr_in *to)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	set_connection_options(fd);
	if (!connect(fd, (const struct sockaddr *)to, sizeof(*to)) ||
	    errno == EINPROGRESS) {
		atomic_fetch_add(&open_connections, 1);
		return fd;
	}
	close(fd);
	return -1;
}

int sock_accept(int fd)
{
	int conn = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (conn < 0)
		return -1;
	set_connection_options(conn);
	atomic_fetch_add(&open_connections, 1);
	return conn;
}

void sock_close(int fd)
{
	close(fd);
	atomic_fetch_sub(&open_connections, 1);
}

int sock_open_connections(void)
{
	return atomic_load(&open_connections);
}

void sock_ignore_new(int fd)
{
	/* A listener's filter sees each packet from its TCP header on. */
	struct sock_filter drop_syn[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
		BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TCP_SYN | TCP_ACK),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TCP_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	struct sock_fprog program = {G_N_ELEMENTS(drop_syn), drop_syn};

	/* Without it the listener takes connections until it is closed. */
	(void)setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
			 sizeof(program));
}

bool sock_has_input(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool sock_peer_has_closed(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}
