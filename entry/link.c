/*
 * Client side of HTTP/1.1 connections: connects, sends requests, parses the
 * responses and passes their parts to the callbacks of the current user.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "entry/tunnel.h"

#define READ_CHUNK_BYTES 16384
/* Time to establish a connection; the network takes about 1 ms one way. */
#define CONNECT_TIMEOUT_MS 400
/* The same through another node, which connects within the time above. */
#define TUNNEL_TIMEOUT_MS 700
/*
 * Share of the peer's keep-alive timeout for which a connection is used, so
 * that no request is sent while the peer closes it.
 */
#define IDLE_TIMEOUT_SHARE 0.7
/* Interim responses before one that is a result; more make no sense. */
#define INTERIM_MAX 16
/* Keep-alive timeout when the peer's response has none. */
#define DEFAULT_IDLE_TIMEOUT_MS 60000

struct link {
	struct ev_loop *loop;
	ev_io io;
	ev_timer connect_timer;
	int io_events; /* that io waits for */
	int fd;
	struct reader *reader;
	const struct link_ops *ops; /* NULL: no response is expected */
	void (*on_lost)(void *ctx); /* while ops is NULL */
	void *ctx;
	struct buf output;
	struct buf request;       /* waits until the tunnel is open */
	struct str body;          /* what is unsent of it; follows output */
	struct message *response; /* complete; ops->end may use it */
	int64_t idle_timeout_ms;  /* see IDLE_TIMEOUT_SHARE */
	bool connected;
	bool tunnel;     /* through another node */
	bool hello_sent; /* to it; its reply is due */
	char tunnel_reply;
	struct buf frames;     /* from the other node, the last incomplete */
	unsigned interim;      /* responses (1xx) before the result */
	bool response_started; /* bytes of the response have arrived */
	bool keep_alive;       /* the response lets the connection be reused */
	bool paused;
	bool awaiting; /* a response is due, or a part of it */
	bool closed;   /* freed once no callback is running */
};

static void free_link(void *p)
{
	struct link *l = p;

	reader_free(l->reader);
	talloc_free(l->response);
	buf_clear(&l->output);
	buf_clear(&l->request);
	buf_clear(&l->frames);
	g_free(l);
}

void link_close(struct link *l)
{
	if (l->closed)
		return;
	l->closed = true;
	ev_io_stop(l->loop, &l->io);
	ev_timer_stop(l->loop, &l->connect_timer);
	/* What a cut holds back of the request must not arrive any more. */
	if (l->fd >= 0 && l->awaiting && l->connected)
		sock_reset_on_close(l->fd);
	if (l->fd >= 0)
		sock_close(l->fd);
	l->fd = -1;
	buf_clear(&l->output);
	buf_clear(&l->request);
	l->body.len = 0;
	defer_free(l->loop, l, free_link);
}

static bool has_unsent(const struct link *l)
{
	return buf_len(&l->output) || l->body.len;
}

static void update_events(struct link *l)
{
	int events = 0;

	if (l->closed)
		return;
	if (!l->paused)
		events |= EV_READ;
	if (!l->connected || has_unsent(l))
		events |= EV_WRITE;
	if (!l->connected)
		events = l->hello_sent ? EV_READ : EV_WRITE;
	if (events == l->io_events)
		return;
	ev_io_stop(l->loop, &l->io);
	l->io_events = events;
	if (!events)
		return;
	ev_io_set(&l->io, l->fd, events);
	ev_io_start(l->loop, &l->io);
}

/* Report the fault to the current user, whose callback closes the link. */
static void report_fault(struct link *l, enum link_fault f)
{
	if (l->closed)
		return;
	if (l->ops)
		l->ops->fault(l->ctx, f, l->response_started);
	else if (l->on_lost)
		l->on_lost(l->ctx);
	else
		link_close(l);
}

static bool on_head(void *ctx, struct message *m)
{
	struct link *l = ctx;
	struct str keep_alive = message_header(m, STR_LIT("Keep-Alive"));

	/* Interim (1xx) responses say nothing of the result: skip them. */
	if (m->status / 100 == 1)
		return true;
	l->keep_alive = m->keep_alive;
	for (size_t i = 0; i + 8 < keep_alive.len; i++) {
		if (memcmp(keep_alive.data + i, "timeout=", 8))
			continue;
		l->idle_timeout_ms =
			(int64_t)(g_ascii_strtod(keep_alive.data + i + 8,
						 NULL) *
				  1000 * IDLE_TIMEOUT_SHARE);
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
		return ++l->interim <= INTERIM_MAX;
	}
	talloc_free(l->response);
	l->response = m;
	/*
	 * Not reusable while a part of the request is unsent: the peer would
	 * read that part as the beginning of the next request.
	 */
	l->awaiting = false;
	l->ops->end(l->ctx, l->keep_alive && !has_unsent(l));
	if (l->response == m) {
		talloc_free(m);
		l->response = NULL;
	}
	return !l->closed;
}

static const struct reader_ops reader_ops = {on_head, on_body, on_end};

static void parse_response(struct link *l, const char *p, size_t n)
{
	enum read_error err = READ_OK;

	while (n && !l->closed) {
		size_t used;

		/*
		 * No response is expected, so the bytes belong to no request.
		 */
		if (!l->ops) {
			report_fault(l, LINK_MALFORMED);
			return;
		}
		l->response_started = true;
		used = reader_feed(l->reader, p, n, &err);
		if (!l->closed && l->interim > INTERIM_MAX)
			err = READ_MALFORMED;
		if (l->closed || err == READ_STOPPED)
			return;
		if (err) {
			report_fault(l, LINK_MALFORMED);
			return;
		}
		p += used;
		n -= used;
	}
}

/* The peer closed the connection (clean) or it broke. */
static void on_eof(struct link *l, bool clean)
{
	/* A response without a length ends where the connection closes. */
	if (clean && l->ops && reader_is_mid_message(l->reader) &&
	    reader_eof(l->reader) != READ_MALFORMED)
		return;
	if (!l->closed)
		report_fault(l, LINK_BROKEN);
}

/* Take what the target has sent out of the frames of the other node. */
static void read_frames(struct link *l, const char *p, size_t n)
{
	buf_add(&l->frames, p, n);
	while (!l->closed && buf_len(&l->frames) >= TUNNEL_FRAME_HEAD_BYTES) {
		const uint8_t *head = (const uint8_t *)buf_data(&l->frames);
		size_t len = (size_t)head[0] << 8 | head[1];
		size_t end = TUNNEL_FRAME_HEAD_BYTES + len;

		if (buf_len(&l->frames) < end)
			return;
		if (!len) {
			on_eof(l, true);
			return;
		}
		parse_response(
			l, buf_data(&l->frames) + TUNNEL_FRAME_HEAD_BYTES, len);
		if (!l->closed)
			buf_consume(&l->frames, end);
	}
}

static void read_input(struct link *l)
{
	char p[READ_CHUNK_BYTES];
	ssize_t n = recv(l->fd, p, sizeof(p), 0);

	if (n > 0 && l->tunnel_reply == TUNNEL_OPEN)
		read_frames(l, p, (size_t)n);
	else if (n > 0)
		parse_response(l, p, (size_t)n);
	else if (n == 0)
		on_eof(l, !l->tunnel);
	else if (errno != EAGAIN && errno != EINTR)
		on_eof(l, false);
}

/* Send what the socket takes; false: the connection is broken. */
static bool send_some(struct link *l)
{
	ssize_t n;

	while (has_unsent(l)) {
		bool head = buf_len(&l->output) > 0;
		size_t len = head ? buf_len(&l->output) : l->body.len;

		/* Another node gets the hello first. */
		if (!head && !l->connected)
			break;
		n = send(l->fd, head ? buf_data(&l->output) : l->body.data, len,
			 MSG_NOSIGNAL |
				 (head && l->connected && l->body.len ? MSG_MORE
								      : 0));
		if (n < 0)
			return errno == EAGAIN || errno == EINTR;
		if (head) {
			buf_consume(&l->output, (size_t)n);
		} else {
			l->body.data += n;
			l->body.len -= (size_t)n;
		}
		if ((size_t)n < len)
			break;
	}
	return true;
}

static void flush_output(struct link *l)
{
	if (!send_some(l))
		report_fault(l, LINK_BROKEN);
}

/* The target can be written to: send what waits, if it is still wanted. */
static void on_open(struct link *l)
{
	ev_timer_stop(l->loop, &l->connect_timer);
	l->connected = true;
	if (l->ops && l->ops->may_send && !l->ops->may_send(l->ctx))
		return;
	buf_add(&l->output, buf_data(&l->request), buf_len(&l->request));
	buf_clear(&l->request);
}

static void on_connected(struct link *l)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(l->fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 ||
	    error) {
		report_fault(l, LINK_NOT_CONNECTED);
		return;
	}
	if (l->tunnel) {
		l->hello_sent = true;
		flush_output(l);
		return;
	}
	on_open(l);
}

/* Read whether the other node has connected to the target. */
static void read_tunnel_reply(struct link *l)
{
	ssize_t n = recv(l->fd, &l->tunnel_reply, 1, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n == 1 && (l->tunnel_reply == TUNNEL_OPEN ||
		       l->tunnel_reply == TUNNEL_OPEN_UNFRAMED)) {
		on_open(l);
		return;
	}
	report_fault(l, l->tunnel_reply == TUNNEL_TARGET_DOWN
				? LINK_NOT_CONNECTED
				: LINK_NO_TUNNEL);
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	struct link *l = w->data;

	(void)loop;
	if (l->hello_sent && !l->connected)
		read_tunnel_reply(l);
	else if (!l->connected)
		on_connected(l);
	else if (events & EV_READ)
		read_input(l);
	if (!l->closed && l->connected)
		flush_output(l);
	update_events(l);
}

static void on_connect_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	struct link *l = w->data;

	(void)loop;
	(void)events;
	report_fault(l, l->tunnel ? LINK_NO_TUNNEL : LINK_NOT_CONNECTED);
}

static struct link *open_within(struct ev_loop *loop,
				const struct sockaddr_in *to, int64_t ms)
{
	int fd = sock_connect(to);
	struct link *l;

	if (fd < 0)
		return NULL;
	l = g_new0(struct link, 1);
	l->loop = loop;
	l->fd = fd;
	l->reader = reader_new(false, &reader_ops, l);
	l->idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
	ev_io_init(&l->io, on_io, fd, EV_WRITE);
	l->io.data = l;
	l->io_events = EV_WRITE;
	ev_io_start(loop, &l->io);
	ev_timer_init(&l->connect_timer, on_connect_timeout, (double)ms / 1000,
		      0);
	l->connect_timer.data = l;
	/* After a pause of this process it may be established already. */
	ev_set_priority(&l->connect_timer, EV_MINPRI);
	ev_timer_start(loop, &l->connect_timer);
	return l;
}

struct link *link_open(struct ev_loop *loop, const struct sockaddr_in *to)
{
	return open_within(loop, to, CONNECT_TIMEOUT_MS);
}

struct link *link_open_through(struct ev_loop *loop,
			       const struct sockaddr_in *helper,
			       const uint8_t *hello, size_t n)
{
	struct link *l = open_within(loop, helper, TUNNEL_TIMEOUT_MS);

	if (!l)
		return NULL;
	l->tunnel = true;
	buf_add(&l->output, (const char *)hello, n);
	return l;
}

int link_tunnel_reply(const struct link *l)
{
	return l->tunnel_reply;
}

bool link_is_tunnel(const struct link *l)
{
	return l->tunnel;
}

void link_set_idle(struct link *l, void (*on_lost)(void *ctx), void *ctx)
{
	l->ops = NULL;
	l->on_lost = on_lost;
	l->ctx = ctx;
	l->paused = false;
	/* Memory that the response needed. */
	if (!buf_len(&l->output))
		buf_clear(&l->output);
	if (!buf_len(&l->frames))
		buf_clear(&l->frames);
	update_events(l);
}

void link_expect_response(struct link *l, const struct link_ops *ops, void *ctx)
{
	l->ops = ops;
	l->ctx = ctx;
	l->response_started = false;
	l->awaiting = true;
	l->interim = 0;
	l->paused = false;
	update_events(l);
}

void link_send(struct link *l, const char *p, size_t n, struct str body)
{
	struct buf *b = l->tunnel && !l->connected ? &l->request : &l->output;

	buf_add(b, p, n);
	/* A copy costs less than another system call. */
	if (body.len <= COPIED_BODY_MAX_BYTES)
		buf_add(b, body.data, body.len);
	else
		l->body = body;
	/* An error shows up again at the next I/O event. */
	if (l->connected)
		(void)send_some(l);
	update_events(l);
}

void link_set_account(struct link *l, struct account *account)
{
	buf_set_account(&l->output, account);
	buf_set_account(&l->request, account);
	buf_set_account(&l->frames, account);
	reader_set_account(l->reader, account);
}

size_t link_held_bytes(const struct link *l)
{
	return l->output.cap + l->request.cap + l->frames.cap +
	       reader_held_bytes(l->reader) +
	       (l->response ? l->response->text_size : 0);
}

void link_expect_no_body(struct link *l, bool no_body)
{
	reader_set_no_body(l->reader, no_body);
}

void link_set_paused(struct link *l, bool pause)
{
	l->paused = pause;
	update_events(l);
}

bool link_connected(const struct link *l)
{
	return l->connected;
}

bool link_is_quiet(const struct link *l)
{
	char byte;

	return recv(l->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       (errno == EAGAIN || errno == EINTR);
}

int64_t link_idle_deadline_ms(const struct link *l)
{
	/*
	 * The next attempt of the same request may get this link before the
	 * bytes are parsed, and would take them for its response.
	 */
	if (reader_unread_bytes(l->reader) || l->idle_timeout_ms <= 0)
		return 0;
	return time_boot_ms() + l->idle_timeout_ms;
}
