/*
 * Replaces calls of the C library in an entry process: it loses or delays its
 * datagrams from and to other entries. The file that PEER_HARM names
 * says what to do, as one of enum peer_harm; the soak writes it at any time.
 * Control thread only: all datagrams are its own.
 */
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "soak/test-harm.h"

#define HELD_MAX 512
#define BYTES    2048

typedef ssize_t send_fn(int, const void *, size_t, int, const struct sockaddr *,
			socklen_t);
typedef ssize_t recv_fn(int, void *, size_t, int, struct sockaddr *,
			socklen_t *);

/* Received datagrams that are delayed, in their order. */
static struct held {
	int64_t due_ms;
	ssize_t n;
	struct sockaddr_storage from;
	int fd;
	socklen_t from_len;
	char bytes[BYTES];
} held[HELD_MAX];
static size_t first, count;

static enum peer_harm harm_now(void)
{
	static int fd = -1;
	const char *path = getenv(PEER_HARM_FILE);
	char c = PEER_HARM_NONE;

	if (fd < 0 && path)
		fd = open(path, O_RDONLY | O_CLOEXEC);
	if (fd < 0 || pread(fd, &c, 1, 0) != 1)
		return PEER_HARM_NONE;
	return (enum peer_harm)c;
}

static int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_BOOTTIME, &t);
	return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

ssize_t sendto(int fd, const void *p, size_t n, int flags,
	       const struct sockaddr *to, socklen_t len)
{
	static send_fn *real;
	enum peer_harm harm = to ? harm_now() : PEER_HARM_NONE;

	if (!real)
		real = (send_fn *)dlsym(RTLD_NEXT, "sendto");
	if (harm == PEER_HARM_LOSE_SENT || harm == PEER_HARM_LOSE_ALL)
		return (ssize_t)n;
	return real(fd, p, n, flags, to, len);
}

/* Receive what there is, to be held for some time. */
static void hold(recv_fn *real, int fd)
{
	while (count < HELD_MAX) {
		struct held *h = &held[(first + count) % HELD_MAX];

		h->from_len = sizeof(h->from);
		h->n = real(fd, h->bytes, BYTES, MSG_DONTWAIT,
			    (struct sockaddr *)&h->from, &h->from_len);
		if (h->n < 0)
			return;
		h->fd = fd;
		h->due_ms = now_ms() + PEER_HARM_DELAY_MS;
		count++;
	}
}

/* Return the first datagram held; -1 with EAGAIN: none is due. */
static ssize_t take(int fd, void *p, size_t n, struct sockaddr *from,
		    socklen_t *len, bool all)
{
	struct held *h = &held[first];
	size_t copied;

	if (!count || h->fd != fd || (!all && now_ms() < h->due_ms)) {
		errno = EAGAIN;
		return -1;
	}
	first = (first + 1) % HELD_MAX;
	count--;
	copied = n < (size_t)h->n ? n : (size_t)h->n;
	memcpy(p, h->bytes, copied);
	if (from && len) {
		memcpy(from, &h->from, *len < h->from_len ? *len : h->from_len);
		*len = h->from_len;
	}
	return (ssize_t)copied;
}

ssize_t recvfrom(int fd, void *p, size_t n, int flags, struct sockaddr *from,
		 socklen_t *len)
{
	static recv_fn *real;
	enum peer_harm harm = from ? harm_now() : PEER_HARM_NONE;
	ssize_t got;

	if (!real)
		real = (recv_fn *)dlsym(RTLD_NEXT, "recvfrom");
	if (harm == PEER_HARM_DELAY) {
		hold(real, fd);
		return take(fd, p, n, from, len, false);
	}
	if (from && (got = take(fd, p, n, from, len, true)) >= 0)
		return got;
	do
		got = real(fd, p, n, flags, from, len);
	while (got >= 0 &&
	       (harm == PEER_HARM_LOSE_RECEIVED || harm == PEER_HARM_LOSE_ALL));
	return got;
}
