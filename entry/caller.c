#include <errno.h>
#include <http_parser.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "entry/inner.h"

#define READ_BYTES 16384
/* Bytes that may wait behind a request in progress. */
#define AHEAD_MAX 65536
/* Connections of the limit on descriptors that are kept for targets. */
#define FILES_KEPT 400
/* Part of the memory that bodies of requests may take. */
#define BODIES_PART 0.4
#define MB          1048576
/* Before a configuration is known. */
#define HEADER_BYTES 16384
#define BODY_BYTES   (4 << 20)
#define HEADER_MS    3000
#define IDLE_MS      15000

struct caller {
	struct traffic *tr;
	enum port_kind kind;
	int fd;
	ev_io io;
	int events;
	ev_timer limit; /* end of idleness, or of a slow request */
	GList *node;    /* in tr->callers */
	struct reader *rd;
	struct buf in;   /* read but not parsed yet */
	struct buf body; /* of the request being read */
	struct buf out;
	struct message *m; /* being read, or answered */
	struct exchange *x;
	int64_t began_ms; /* first byte of the request; 0: none yet */
	bool keep;        /* take another request after this answer */
	bool finish;      /* close once out is empty */
	bool closed;      /* and freed once no callback is in progress */
};

static struct caller_limits limits_of(const struct caller *c)
{
	if (c->tr->config)
		return c->tr->config->limits;
	return (struct caller_limits){HEADER_BYTES, BODY_BYTES, HEADER_MS,
				      IDLE_MS};
}

struct traffic *caller_traffic(struct caller *c)
{
	return c->tr;
}

size_t caller_unsent(const struct caller *c)
{
	return buf_len(&c->out);
}

static void release(void *p)
{
	struct caller *c = p;

	reader_free(c->rd);
	talloc_free(c->m);
	buf_clear(&c->in);
	buf_clear(&c->body);
	buf_clear(&c->out);
	g_free(c);
}

static void drop_body(struct caller *c)
{
	c->tr->bodies -= (int64_t)buf_len(&c->body);
	buf_drop(&c->body, buf_len(&c->body));
	if (c->body.cap > READ_BYTES)
		buf_clear(&c->body);
}

static void destroy(struct caller *c)
{
	if (c->closed)
		return;
	c->closed = true;
	if (c->x)
		exchange_cancel(c->x);
	c->x = NULL;
	drop_body(c);
	ev_io_stop(c->tr->loop, &c->io);
	ev_timer_stop(c->tr->loop, &c->limit);
	close(c->fd);
	g_queue_delete_link(c->tr->callers, c->node);
	later_free(c->tr->loop, c, release);
}

void caller_abort(struct caller *c)
{
	struct linger reset = {1, 0};

	/* A reset can't be taken for the end of an answer without a length. */
	(void)setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	c->x = NULL;
	destroy(c);
}

static void watch(struct caller *c)
{
	int events = 0;

	if (c->closed)
		return;
	if (buf_len(&c->in) < AHEAD_MAX)
		events |= EV_READ;
	if (buf_len(&c->out))
		events |= EV_WRITE;
	if (events == c->events)
		return;
	ev_io_stop(c->tr->loop, &c->io);
	c->events = events;
	if (!events)
		return;
	ev_io_set(&c->io, c->fd, events);
	ev_io_start(c->tr->loop, &c->io);
}

static void set_limit(struct caller *c, int64_t ms)
{
	timer_in(c->tr->loop, &c->limit, ms);
}

static void flush(struct caller *c)
{
	ssize_t n;

	if (!buf_len(&c->out) || c->closed)
		return;
	n = send(c->fd, buf_at(&c->out), buf_len(&c->out), MSG_NOSIGNAL);
	if (n > 0) {
		buf_drop(&c->out, (size_t)n);
	} else if (n < 0 && errno != EAGAIN && errno != EINTR) {
		destroy(c);
		return;
	}
	if (!buf_len(&c->out) && c->finish)
		destroy(c);
}

void caller_write(struct caller *c, const char *p, size_t n)
{
	bool waiting = buf_len(&c->out) > 0;

	buf_add(&c->out, p, n);
	if (!waiting) {
		ssize_t k = send(c->fd, buf_at(&c->out), buf_len(&c->out),
				 MSG_NOSIGNAL);

		/* A failure shows again on the next event. */
		if (k > 0)
			buf_drop(&c->out, (size_t)k);
	}
	watch(c);
}

/* Answer with an error of our own; after a malformed request also close. */
static void refuse(struct caller *c, enum ramp_error kind)
{
	struct buf out = {0};
	void *arena = talloc_new(NULL);

	own_refuse(&out, c->tr, arena, kind, 0, false);
	c->finish = true;
	caller_write(c, buf_at(&out), buf_len(&out));
	buf_clear(&out);
	talloc_free(arena);
	if (!buf_len(&c->out))
		destroy(c);
}

static bool on_head(void *ctx, struct message *m)
{
	struct caller *c = ctx;
	struct str expect = message_header(m, STR_LIT("Expect"));
	static const char go[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (m->has_body && str_same(expect, STR_LIT("100-continue")))
		caller_write(c, go, sizeof(go) - 1);
	return true;
}

static bool on_body(void *ctx, const char *p, size_t n)
{
	struct caller *c = ctx;

	if ((int64_t)(buf_len(&c->body) + n) > limits_of(c).body_bytes) {
		refuse(c, RAMP_ERR_TOO_LARGE);
		return false;
	}
	if ((double)(c->tr->bodies + (int64_t)n) >
	    BODIES_PART * (double)c->tr->set->limits_memory_mb * MB) {
		refuse(c, RAMP_ERR_OVERLOADED);
		return false;
	}
	c->tr->bodies += (int64_t)n;
	buf_add(&c->body, p, n);
	return true;
}

static bool on_end(void *ctx, struct message *m)
{
	struct caller *c = ctx;

	c->m = m;
	c->keep = m->keep_alive;
	return true;
}

static const struct reader_ops reader_ops = {on_head, on_body, on_end};

static void serve_own(struct caller *c, struct message *m)
{
	struct buf out = {0};

	own_serve(&out, c->tr, c->kind, m, c->keep);
	talloc_free(m);
	caller_write(c, buf_at(&out), buf_len(&out));
	buf_clear(&out);
	caller_done(c, c->keep);
}

/* A whole request has come. */
static void serve(struct caller *c)
{
	struct message *m = c->m;
	struct exchange *x;

	c->m = NULL;
	ev_timer_stop(c->tr->loop, &c->limit);
	if (c->kind != PORT_CALLERS) {
		serve_own(c, m);
		return;
	}
	x = exchange_new(c, m,
			 (struct str){buf_at(&c->body), buf_len(&c->body)},
			 c->began_ms);
	c->x = x;
	exchange_start(x);
}

/* Parse what has come until a request is whole. */
static void take(struct caller *c)
{
	while (!c->closed && !c->x && !c->finish && buf_len(&c->in)) {
		enum read_error err;
		size_t used;

		if (!c->began_ms) {
			c->began_ms = time_boot_ms();
			set_limit(c, limits_of(c).header_ms);
		}
		used = reader_feed(c->rd, buf_at(&c->in), buf_len(&c->in),
				   &err);
		if (c->closed || err == READ_STOPPED)
			return;
		buf_drop(&c->in, used);
		if (err) {
			refuse(c, err == READ_MALFORMED
					  ? RAMP_ERR_BAD_REQUEST
					  : RAMP_ERR_HEADERS_TOO_LARGE);
			return;
		}
		if (c->m)
			serve(c);
	}
}

void caller_done(struct caller *c, bool keep)
{
	c->x = NULL;
	c->began_ms = 0;
	drop_body(c);
	if (c->closed)
		return;
	if (!keep || !c->keep) {
		c->finish = true;
		if (!buf_len(&c->out))
			destroy(c);
		return;
	}
	set_limit(c, limits_of(c).idle_ms);
	/* Bytes that waited are taken on the next turn, not in recursion. */
	if (buf_len(&c->in))
		ev_feed_event(c->tr->loop, &c->io, EV_CUSTOM);
	watch(c);
}

static void receive(struct caller *c)
{
	char p[READ_BYTES];
	ssize_t n = recv(c->fd, p, sizeof(p), 0);

	if (n > 0) {
		buf_add(&c->in, p, (size_t)n);
		return;
	}
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	/* A caller that closes is gone, also when an answer is on its way. */
	destroy(c);
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	struct caller *c = w->data;

	(void)loop;
	if (events & EV_WRITE) {
		flush(c);
		if (!c->closed && c->x)
			exchange_drained(c->x);
	}
	if (!c->closed && (events & EV_READ))
		receive(c);
	if (!c->closed)
		take(c);
	watch(c);
}

static void on_limit(struct ev_loop *loop, ev_timer *w, int events)
{
	struct caller *c = w->data;

	(void)loop;
	(void)events;
	if (c->began_ms && !c->x)
		refuse(c, RAMP_ERR_CALLER_SLOW);
	else if (!c->x)
		destroy(c);
}

static struct caller *caller_new(struct port *p, int fd)
{
	struct caller *c = g_new0(struct caller, 1);

	c->tr = &p->e->tr;
	c->kind = p->kind;
	c->fd = fd;
	c->rd = reader_new(true, &reader_ops, c);
	reader_limit(c->rd, (size_t)limits_of(c).header_bytes);
	ev_io_init(&c->io, on_io, fd, EV_READ);
	c->io.data = c;
	c->events = EV_READ;
	ev_io_start(c->tr->loop, &c->io);
	ev_init(&c->limit, on_limit);
	c->limit.data = c;
	set_limit(c, limits_of(c).idle_ms);
	g_queue_push_tail(c->tr->callers, c);
	c->node = g_queue_peek_tail_link(c->tr->callers);
	return c;
}

/* Make room for a new connection by closing the one idle for longest. */
static void evict_idle(struct traffic *tr)
{
	for (GList *l = tr->callers->head; l; l = l->next) {
		struct caller *c = l->data;

		if (!c->x && !c->began_ms && !buf_len(&c->out)) {
			destroy(c);
			return;
		}
	}
}

void caller_accept(struct port *p)
{
	struct traffic *tr = &p->e->tr;
	int fd;

	while ((fd = sock_accept(p->fd)) >= 0) {
		int64_t most = tr->set->limits_files - FILES_KEPT;

		if ((int64_t)g_queue_get_length(tr->callers) >= MAX(most, 16))
			evict_idle(tr);
		caller_new(p, fd);
	}
}

void callers_close_all(struct traffic *tr)
{
	while (tr->callers->head)
		destroy(tr->callers->head->data);
}

void callers_close_idle(struct traffic *tr)
{
	GList *l = tr->callers->head;

	while (l) {
		struct caller *c = l->data;

		l = l->next;
		if (c->kind == PORT_CALLERS && !c->x && !c->began_ms &&
		    !buf_len(&c->out) && !buf_len(&c->in))
			destroy(c);
	}
}
