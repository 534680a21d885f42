#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "entry/inner.h"

#define READ_BYTES 16384
/* A connection that is not open by then is given up: the way is 1 ms. */
#define CONNECT_MS 400
/* Kept below what the other side said, as its close crosses our request. */
#define IDLE_PART 0.7
/* When it said nothing. */
#define IDLE_MS 60000

struct link {
	struct ev_loop *loop;
	ev_io io;
	ev_timer opening;
	int events;
	int fd;
	struct reader *rd;
	const struct link_ops *ops; /* NULL: no answer is waited for */
	void (*lost)(void *ctx);    /* then */
	void *ctx;
	struct buf out;
	struct message *m; /* of the answer being read */
	int64_t idle_ms;   /* that the other side allows */
	bool connected;
	bool answered; /* bytes of the answer have come */
	bool keep;     /* the answer lets the connection be used again */
	bool paused;
	bool closed; /* and freed once no callback is in progress */
};

static void release(void *p)
{
	struct link *l = p;

	reader_free(l->rd);
	talloc_free(l->m);
	buf_clear(&l->out);
	g_free(l);
}

void link_close(struct link *l)
{
	if (l->closed)
		return;
	l->closed = true;
	ev_io_stop(l->loop, &l->io);
	ev_timer_stop(l->loop, &l->opening);
	if (l->fd >= 0)
		close(l->fd);
	l->fd = -1;
	later_free(l->loop, l, release);
}

static void watch(struct link *l)
{
	int events = 0;

	if (l->closed)
		return;
	if (!l->paused)
		events |= EV_READ;
	if (!l->connected || buf_len(&l->out))
		events |= EV_WRITE;
	if (!l->connected)
		events = EV_WRITE;
	if (events == l->events)
		return;
	ev_io_stop(l->loop, &l->io);
	l->events = events;
	if (!events)
		return;
	ev_io_set(&l->io, l->fd, events);
	ev_io_start(l->loop, &l->io);
}

static void fault(struct link *l, enum link_fault f)
{
	if (l->closed)
		return;
	if (l->ops)
		l->ops->fault(l->ctx, f, l->answered);
	else if (l->lost)
		l->lost(l->ctx);
	else
		link_close(l);
}

static bool on_head(void *ctx, struct message *m)
{
	struct link *l = ctx;
	struct str alive = message_header(m, STR_LIT("Keep-Alive"));

	/* Interim answers say nothing of the request's work. */
	if (m->status / 100 == 1)
		return true;
	l->keep = m->keep_alive;
	for (size_t i = 0; i + 8 < alive.len; i++) {
		if (memcmp(alive.data + i, "timeout=", 8))
			continue;
		l->idle_ms =
			(int64_t)(g_ascii_strtod(alive.data + i + 8, NULL) *
				  1000 * IDLE_PART);
		break;
	}
	return l->ops->head(l->ctx, m) && !l->closed;
}

static bool on_body(void *ctx, const char *p, size_t n)
{
	struct link *l = ctx;

	return l->ops->body(l->ctx, p, n) && !l->closed;
}

static bool on_end(void *ctx, struct message *m)
{
	struct link *l = ctx;

	if (m->status / 100 == 1) {
		talloc_free(m);
		return true;
	}
	talloc_free(l->m);
	l->m = m;
	/* The rest of a request would be taken for the next one. */
	l->ops->end(l->ctx, l->keep && !buf_len(&l->out));
	return !l->closed;
}

static const struct reader_ops reader_ops = {on_head, on_body, on_end};

static void feed(struct link *l, const char *p, size_t n)
{
	enum read_error err = READ_OK;

	while (n && !l->closed) {
		size_t used;

		if (!l->ops) {
			fault(l, LINK_MALFORMED);
			return;
		}
		l->answered = true;
		used = reader_feed(l->rd, p, n, &err);
		if (l->closed || err == READ_STOPPED)
			return;
		if (err) {
			fault(l, LINK_MALFORMED);
			return;
		}
		p += used;
		n -= used;
	}
}

static void on_eof(struct link *l, bool clean)
{
	/* An answer without a length ends with its connection. */
	if (clean && l->ops && reader_busy(l->rd) &&
	    reader_eof(l->rd) != READ_MALFORMED)
		return;
	if (!l->closed)
		fault(l, LINK_BROKEN);
}

static void receive(struct link *l)
{
	char p[READ_BYTES];
	ssize_t n = recv(l->fd, p, sizeof(p), 0);

	if (n > 0)
		feed(l, p, (size_t)n);
	else if (n == 0)
		on_eof(l, true);
	else if (errno != EAGAIN && errno != EINTR)
		on_eof(l, false);
}

static void flush(struct link *l)
{
	ssize_t n;

	if (!buf_len(&l->out))
		return;
	n = send(l->fd, buf_at(&l->out), buf_len(&l->out), MSG_NOSIGNAL);
	if (n > 0)
		buf_drop(&l->out, (size_t)n);
	else if (n < 0 && errno != EAGAIN && errno != EINTR)
		fault(l, LINK_BROKEN);
}

static void on_connected(struct link *l)
{
	int e = 0;
	socklen_t len = sizeof(e);

	if (getsockopt(l->fd, SOL_SOCKET, SO_ERROR, &e, &len) < 0 || e) {
		fault(l, LINK_REFUSED);
		return;
	}
	ev_timer_stop(l->loop, &l->opening);
	l->connected = true;
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	struct link *l = w->data;

	(void)loop;
	if (!l->connected)
		on_connected(l);
	else if (events & EV_READ)
		receive(l);
	if (!l->closed && l->connected)
		flush(l);
	watch(l);
}

static void on_opening(struct ev_loop *loop, ev_timer *w, int events)
{
	struct link *l = w->data;

	(void)loop;
	(void)events;
	fault(l, LINK_REFUSED);
}

struct link *link_open(struct ev_loop *loop, const struct sockaddr_in *to)
{
	int fd = sock_connect(to);
	struct link *l;

	if (fd < 0)
		return NULL;
	l = g_new0(struct link, 1);
	l->loop = loop;
	l->fd = fd;
	l->rd = reader_new(false, &reader_ops, l);
	l->idle_ms = IDLE_MS;
	ev_io_init(&l->io, on_io, fd, EV_WRITE);
	l->io.data = l;
	l->events = EV_WRITE;
	ev_io_start(loop, &l->io);
	ev_timer_init(&l->opening, on_opening, CONNECT_MS / 1000.0, 0);
	l->opening.data = l;
	ev_timer_start(loop, &l->opening);
	return l;
}

void link_rest(struct link *l, void (*lost)(void *ctx), void *ctx)
{
	l->ops = NULL;
	l->lost = lost;
	l->ctx = ctx;
	l->paused = false;
	watch(l);
}

void link_use(struct link *l, const struct link_ops *ops, void *ctx)
{
	l->ops = ops;
	l->ctx = ctx;
	l->answered = false;
	l->paused = false;
	watch(l);
}

void link_send(struct link *l, const char *p, size_t n)
{
	buf_add(&l->out, p, n);
	if (l->connected) {
		ssize_t k = send(l->fd, buf_at(&l->out), buf_len(&l->out),
				 MSG_NOSIGNAL);

		/* A failure shows again on the next event. */
		if (k > 0)
			buf_drop(&l->out, (size_t)k);
	}
	watch(l);
}

void link_no_body(struct link *l, bool no_body)
{
	reader_no_body(l->rd, no_body);
}

void link_pause(struct link *l, bool pause)
{
	l->paused = pause;
	watch(l);
}

bool link_connected(const struct link *l)
{
	return l->connected;
}

int64_t link_idle_until(const struct link *l)
{
	return l->idle_ms > 0 ? time_boot_ms() + l->idle_ms : 0;
}
