#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/entry.h"

#define BACKLOG 512
/*
 * Time after which bytes that the other side has not acknowledged break the
 * connection: several retransmissions of 200 ms and up.
 */
#define UNACKED_MS 1500
/* Probes of a silent connection: broken after idle + count x gap. */
#define PROBE_IDLE_S 1
#define PROBE_GAP_S  1
#define PROBE_COUNT  2

static void set_int(int fd, int level, int name, int value)
{
	/* An option that is missing leaves the system's own default. */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void tune(int fd)
{
	set_int(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_int(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_int(fd, IPPROTO_TCP, TCP_KEEPIDLE, PROBE_IDLE_S);
	set_int(fd, IPPROTO_TCP, TCP_KEEPINTVL, PROBE_GAP_S);
	set_int(fd, IPPROTO_TCP, TCP_KEEPCNT, PROBE_COUNT);
	set_int(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_MS);
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
			    "%s: not IP:PORT", address);
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0) {
		set_int(fd, SOL_SOCKET, SO_REUSEADDR, 1);
		if (!bind(fd, (struct sockaddr *)&at, sizeof(at)) &&
		    !listen(fd, BACKLOG))
			return fd;
	}
	g_set_error(err, RAMP_ERROR, RAMP_ERR_INTERNAL, "%s: %s", address,
		    g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

int sock_connect(const struct sockaddr_in *to)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	tune(fd);
	if (!connect(fd, (const struct sockaddr *)to, sizeof(*to)) ||
	    errno == EINPROGRESS)
		return fd;
	close(fd);
	return -1;
}

int sock_accept(int fd)
{
	int c = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (c >= 0)
		tune(c);
	return c;
}
