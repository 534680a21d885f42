/*
 * Connections of callers: accepts them, reads one request at a time, hands it
 * to an exchange or answers it locally, and writes the response.
 */
#include <errno.h>
#include <http_parser.h>
#include <linux/sockios.h>
#include <malloc.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "entry/held.h"
#include "entry/internal.h"

#define READ_CHUNK_BYTES 16384
/* Most pipelined bytes read while a request is in progress. */
#define PIPELINED_MAX_BYTES 16384
/* Descriptors of the limit that callers leave to connections to targets. */
#define TARGET_FILES_RESERVED 400
/*
 * Descriptors of the limit that are no connections: the platform keeps 200 for
 * files; listeners, datagrams and event loops take some.
 */
#define OTHER_FILES_RESERVED 264
/* After this, a caller that was refused for want of memory may come back. */
#define MEMORY_RETRY_MS 500
/* Memory is given back to the system after this share of the limit was freed.
 */
#define TRIM_SHARE 0.1
/*
 * Buffers from this size on are mapped each on its own, so that they grow in
 * place and leave no holes. The allocator's own limit rises to 32 MB.
 */
#define MAPPED_MIN_BYTES (128 << 10)
/* Limits until a configuration is known. */
#define DEFAULT_HEADER_BYTES 16384
#define DEFAULT_BODY_BYTES   (4 << 20)
#define DEFAULT_HEADER_MS    3000
#define DEFAULT_IDLE_MS      15000
/* Time for a body to arrive when its caller names no deadline. */
#define BODY_MS 60000
/*
 * Time for which the rest of a request that was refused is read and dropped. A
 * close with unread input would reset the connection, and the caller might lose
 * the refusal.
 */
#define LINGER_MS 3000

struct caller {
	struct traffic *tr;
	enum port_kind kind;
	int fd;
	ev_io io;
	int io_events;     /* that io waits for */
	ev_timer timeout;  /* of the idle connection or the request's arrival */
	GList *queue_link; /* in tr->callers */
	struct reader *reader;
	struct buf input; /* read but not parsed yet */
	struct buf body;  /* of the request */
	struct buf output;
	struct message *request;   /* complete, but not handled yet */
	struct exchange *exchange; /* NULL: no request in progress */
	int64_t request_began_ms;  /* its first byte; 0: none yet */
	int64_t quiet_since_ms;    /* connected, or its response was written */
	int queued_bytes;          /* at the last timeout; see has_read */
	int64_t body_deadline_ms;  /* of its last byte; set by its head */
	bool keep_alive;           /* another request may follow */
	bool close_when_sent;      /* close once output is empty */
	bool parsing;              /* the reader uses input */
	bool refused;              /* what follows of its request is dropped */
	bool closed;               /* freed once no callback is running */
};

/* Return the limits of the current configuration. */
static struct caller_limits limits_of(const struct caller *c)
{
	if (c->tr->config)
		return c->tr->config->limits;
	return (struct caller_limits){DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES,
				      DEFAULT_HEADER_MS, DEFAULT_IDLE_MS};
}

struct traffic *caller_traffic(struct caller *c)
{
	return c->tr;
}

size_t caller_unsent_bytes(const struct caller *c)
{
	return buf_len(&c->output);
}

static void free_caller(void *p)
{
	struct caller *c = p;

	reader_free(c->reader);
	talloc_free(c->request);
	buf_clear(&c->input);
	buf_clear(&c->body);
	buf_clear(&c->output);
	g_free(c);
}

static void discard_request(struct caller *c)
{
	/* The reader still uses it; see parse_input. */
	if (c->parsing)
		return;
	buf_clear(&c->input);
	buf_clear(&c->body);
	talloc_free(c->request);
	c->request = NULL;
	reader_free(c->reader);
	c->reader = NULL;
}

static void close_caller(struct caller *c)
{
	if (c->closed)
		return;
	c->closed = true;
	if (c->exchange)
		exchange_cancel(c->exchange);
	c->exchange = NULL;
	discard_request(c);
	buf_clear(&c->output);
	account_add(&c->tr->held, -HELD_CONNECTION_BYTES);
	ev_io_stop(c->tr->loop, &c->io);
	ev_timer_stop(c->tr->loop, &c->timeout);
	sock_close(c->fd);
	g_queue_delete_link(c->tr->callers, c->queue_link);
	defer_free(c->tr->loop, c, free_caller);
}

void caller_reset(struct caller *c)
{
	/* After a plain close the response could be taken as complete. */
	sock_reset_on_close(c->fd);
	c->exchange = NULL;
	close_caller(c);
}

/* Wait for input while there is room for it, and to send queued output. */
static void update_events(struct caller *c)
{
	int events = 0;

	if (c->closed)
		return;
	if (buf_len(&c->input) < PIPELINED_MAX_BYTES)
		events |= EV_READ;
	if (buf_len(&c->output))
		events |= EV_WRITE;
	if (events == c->io_events)
		return;
	ev_io_stop(c->tr->loop, &c->io);
	c->io_events = events;
	if (!events)
		return;
	ev_io_set(&c->io, c->fd, events);
	ev_io_start(c->tr->loop, &c->io);
}

static void set_timeout(struct caller *c, int64_t ms)
{
	timer_start_once(c->tr->loop, &c->timeout, ms);
}

/* Drop what the caller has sent and what it sends from now on. */
static void drop_input(struct caller *c)
{
	c->refused = true;
	discard_request(c);
}

/*
 * All is sent that the caller gets: close, but first read what it is sending
 * still.
 */
static void end_output(struct caller *c)
{
	if (!c->refused && !buf_len(&c->input) && !sock_has_input(c->fd)) {
		close_caller(c);
		return;
	}
	drop_input(c);
	(void)shutdown(c->fd, SHUT_WR);
	set_timeout(c, LINGER_MS);
	update_events(c);
}

static void flush_output(struct caller *c)
{
	ssize_t n;

	if (!buf_len(&c->output) || c->closed)
		return;
	n = send(c->fd, buf_data(&c->output), buf_len(&c->output),
		 MSG_NOSIGNAL);
	if (n > 0) {
		buf_consume(&c->output, (size_t)n);
		/* A caller that reads slowly is not idle. */
		if (!c->exchange && !c->request_began_ms)
			set_timeout(c, limits_of(c).idle_ms);
	} else if (n < 0 && errno != EAGAIN && errno != EINTR) {
		close_caller(c);
		return;
	}
	if (!buf_len(&c->output) && c->close_when_sent)
		end_output(c);
}

/* Send as much as the socket takes, if nothing waits; return how much. */
static size_t send_at_once(struct caller *c, const char *p, size_t n, int flags)
{
	ssize_t sent;

	if (buf_len(&c->output) || !n)
		return 0;
	sent = send(c->fd, p, n, MSG_NOSIGNAL | flags);
	/* An error shows up again at the next I/O event. */
	return sent > 0 ? (size_t)sent : 0;
}

void caller_write(struct caller *c, const char *p, size_t n)
{
	size_t sent = send_at_once(c, p, n, 0);

	buf_add(&c->output, p + sent, n - sent);
	update_events(c);
}

void caller_write_last(struct caller *c, struct buf *head, struct buf *body)
{
	size_t sent;

	/* A copy costs less than another system call. */
	if (buf_len(body) <= COPIED_BODY_MAX_BYTES) {
		buf_add(head, buf_data(body), buf_len(body));
		buf_clear(body);
	}
	sent = send_at_once(c, buf_data(head), buf_len(head),
			    buf_len(body) ? MSG_MORE : 0);
	buf_add(&c->output, buf_data(head) + sent, buf_len(head) - sent);
	buf_consume(body, send_at_once(c, buf_data(body), buf_len(body), 0));
	if (!buf_len(&c->output))
		buf_move(&c->output, body);
	buf_add(&c->output, buf_data(body), buf_len(body));
	buf_clear(body);
	update_events(c);
}

static const char *const port_names[PORT_COUNT] = {
	[PORT_CALLERS] = "callers", [PORT_READY] = "ready",
	[PORT_ENTRIES] = "entries", [PORT_METRICS] = "metrics",
	[PORT_EXPLAIN] = "explain", [PORT_TUNNELS] = "tunnels",
};

/* Return what the caller makes this node hold, in bytes. */
static size_t held_by(const struct caller *c)
{
	return HELD_CONNECTION_BYTES + c->input.cap + c->body.cap +
	       c->output.cap + (c->reader ? reader_held_bytes(c->reader) : 0) +
	       (c->request ? c->request->text_size : 0) +
	       (c->exchange ? exchange_held_bytes(c->exchange) : 0);
}

/* Answer with an error and close, as the rest of the request is not read. */
static void reply_error(struct caller *c, enum ramp_error kind)
{
	struct buf out = {0};
	void *arena = talloc_new(NULL);
	int64_t wait_ms = kind == RAMP_ERR_OVERLOADED ? MEMORY_RETRY_MS : 0;

	metric_add(M_CALLERS_REFUSED_TOTAL, 1);
	log_event(EV_CALLER_REFUSED,
		  "port=%s error=%s ms=%d bytes=%zu held_mb=%d",
		  port_names[c->kind], error_responses[kind].name,
		  c->request_began_ms
			  ? (int)(time_boot_ms() - c->request_began_ms)
			  : 0,
		  held_by(c), (int)(c->tr->held.bytes / MB_BYTES));
	local_reply_error(&out, c->tr, arena, kind, wait_ms, false);
	c->close_when_sent = true;
	drop_input(c);
	/* The request has its answer; from here on the caller only reads it. */
	c->request_began_ms = 0;
	set_timeout(c, limits_of(c).idle_ms);
	caller_write(c, buf_data(&out), buf_len(&out));
	buf_clear(&out);
	talloc_free(arena);
	if (!buf_len(&c->output))
		end_output(c);
}

static struct holder holder_of(const struct caller *c)
{
	struct holder h = {HOLDER_IDLE, held_by(c), c->quiet_since_ms};

	if (c->exchange ? exchange_is_served(c->exchange)
			: buf_len(&c->output) > 0)
		h.state = HOLDER_SERVED;
	else if (c->refused)
		h.state = HOLDER_REFUSED;
	else if (c->exchange || c->request_began_ms)
		h.state = HOLDER_UNSERVED;
	if (c->request_began_ms)
		h.since_ms = c->request_began_ms;
	return h;
}

/* Return the caller to be ended first so that c may hold more, or NULL. */
static struct caller *first_to_end(const struct caller *c,
				   const struct holder *asker,
				   struct holder *worst)
{
	struct caller *found = NULL;

	for (GList *l = c->tr->callers->head; l; l = l->next) {
		struct caller *other = l->data;
		struct holder h = holder_of(other);

		if (other == c || other->parsing || !held_may_end(&h, asker) ||
		    (found && !held_ends_before(&h, worst)))
			continue;
		found = other;
		*worst = h;
	}
	return found;
}

/* End a caller that has got nothing; a request is told that it did not run. */
static void end_for_room(struct caller *c, const struct holder *h)
{
	metric_add(M_CALLERS_ENDED_TOTAL, 1);
	if (h->state == HOLDER_IDLE || h->state == HOLDER_REFUSED)
		close_caller(c);
	else if (c->exchange)
		exchange_refuse_for_memory(c->exchange);
	else
		reply_error(c, RAMP_ERR_OVERLOADED);
}

bool caller_make_room(struct caller *c, size_t n)
{
	struct traffic *tr = c->tr;
	struct holder own = holder_of(c), other;
	int64_t max;

	own.bytes += n;
	max = held_max(tr->settings->limits_memory_mb, own.bytes);
	while (tr->held.bytes + (int64_t)n > max) {
		struct caller *first = first_to_end(c, &own, &other);
		int64_t before = tr->held.bytes;

		if (!first)
			return false;
		end_for_room(first, &other);
		/* It may be parsing, or be freed later. */
		if (tr->held.bytes >= before)
			return false;
	}
	return true;
}

void callers_init_memory(void)
{
	mallopt(M_MMAP_THRESHOLD, MAPPED_MIN_BYTES);
}

void callers_trim_memory(struct traffic *tr)
{
	double limit =
		(double)tr->settings->limits_memory_mb * MB_BYTES * TRIM_SHARE;

	metric_set(M_CALLER_MEMORY_BYTES, tr->held.bytes);
	tr->held_most_bytes = MAX(tr->held_most_bytes, tr->held.bytes);
	if ((double)(tr->held_most_bytes - tr->held.bytes) < limit)
		return;
	tr->held_most_bytes = tr->held.bytes;
	malloc_trim(0);
}

/*
 * Allow the body as much time between its pieces as the head has in all: a
 * large one on a slow connection takes longer than that.
 */
static void await_body(struct caller *c)
{
	int64_t left_ms = c->body_deadline_ms - time_boot_ms();

	set_timeout(c, MIN(limits_of(c).header_ms, left_ms));
}

static bool on_head(void *ctx, struct message *m)
{
	struct caller *c = ctx;
	struct str deadline = message_header(m, c->tr->dialect->deadline);
	int64_t wait_ms = str_parse_number(deadline);
	struct str expect = message_header(m, STR_LIT("Expect"));
	static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (m->body_bytes > limits_of(c).body_bytes) {
		reply_error(c, RAMP_ERR_TOO_LARGE);
		return false;
	}
	if (!caller_make_room(c, (size_t)MAX(m->body_bytes, 0))) {
		reply_error(c, RAMP_ERR_OVERLOADED);
		return false;
	}
	if (m->body_bytes > 0)
		buf_reserve(&c->body, (size_t)m->body_bytes);
	if (m->has_body && str_eq_nocase(expect, STR_LIT("100-continue")))
		caller_write(c, interim, sizeof(interim) - 1);
	c->body_deadline_ms =
		c->request_began_ms + (wait_ms >= 0 ? wait_ms : BODY_MS);
	if (m->has_body)
		await_body(c);
	return true;
}

static bool on_body(void *ctx, const char *p, size_t n)
{
	struct caller *c = ctx;

	if ((int64_t)(buf_len(&c->body) + n) > limits_of(c).body_bytes) {
		reply_error(c, RAMP_ERR_TOO_LARGE);
		return false;
	}
	if (c->body.len + n > c->body.cap && !caller_make_room(c, n)) {
		reply_error(c, RAMP_ERR_OVERLOADED);
		return false;
	}
	buf_add(&c->body, p, n);
	await_body(c);
	return true;
}

static bool on_end(void *ctx, struct message *m)
{
	struct caller *c = ctx;

	c->request = m;
	c->keep_alive = m->keep_alive;
	return true;
}

static const struct reader_ops reader_ops = {on_head, on_body, on_end};

static void serve_locally(struct caller *c, struct message *m)
{
	struct buf out = {0};

	local_reply_serve(&out, c->tr, c->kind, m,
			  (struct str){buf_data(&c->body), buf_len(&c->body)},
			  c->keep_alive);
	talloc_free(m);
	caller_write(c, buf_data(&out), buf_len(&out));
	buf_clear(&out);
	caller_exchange_done(c, c->keep_alive);
}

/* Handle a complete request. */
static void handle_request(struct caller *c)
{
	struct message *m = c->request;
	struct exchange *x;

	c->request = NULL;
	ev_timer_stop(c->tr->loop, &c->timeout);
	if (c->kind != PORT_CALLERS) {
		serve_locally(c, m);
		return;
	}
	x = exchange_new(c, m,
			 (struct str){buf_data(&c->body), buf_len(&c->body)},
			 c->request_began_ms);
	c->exchange = x;
	exchange_start(x);
}

/* Parse input until a request is complete. */
static void parse_input(struct caller *c)
{
	while (!c->closed && !c->exchange && !c->close_when_sent &&
	       buf_len(&c->input)) {
		enum read_error err;
		size_t used;

		if (!c->request_began_ms) {
			c->request_began_ms = time_boot_ms();
			reader_set_header_max(
				c->reader, (size_t)limits_of(c).header_bytes);
			set_timeout(c, limits_of(c).header_ms);
		}
		c->parsing = true;
		used = reader_feed(c->reader, buf_data(&c->input),
				   buf_len(&c->input), &err);
		c->parsing = false;
		if (c->refused)
			drop_input(c);
		if (c->closed || err == READ_STOPPED)
			return;
		buf_consume(&c->input, used);
		if (err) {
			reply_error(c, err == READ_MALFORMED
					       ? RAMP_ERR_BAD_REQUEST
					       : RAMP_ERR_HEADERS_TOO_LARGE);
			return;
		}
		if (c->request)
			handle_request(c);
		else if (!caller_make_room(c, 0))
			reply_error(c, RAMP_ERR_OVERLOADED);
	}
}

void caller_exchange_done(struct caller *c, bool keep)
{
	c->exchange = NULL;
	c->request_began_ms = 0;
	c->quiet_since_ms = time_boot_ms();
	buf_consume(&c->body, buf_len(&c->body));
	if (c->closed)
		return;
	/* Also of one that is to be closed: its caller may never read. */
	set_timeout(c, limits_of(c).idle_ms);
	if (!keep || !c->keep_alive) {
		c->close_when_sent = true;
		if (!buf_len(&c->output))
			end_output(c);
		return;
	}
	g_queue_unlink(c->tr->callers, c->queue_link);
	g_queue_push_tail_link(c->tr->callers, c->queue_link);
	/* Pipelined input is parsed in the next iteration, not recursively. */
	if (buf_len(&c->input))
		ev_feed_event(c->tr->loop, &c->io, EV_CUSTOM);
	update_events(c);
}

static void read_input(struct caller *c)
{
	char p[READ_CHUNK_BYTES];
	ssize_t n = recv(c->fd, p, sizeof(p), 0);

	if (n > 0) {
		if (!c->refused)
			buf_add(&c->input, p, (size_t)n);
		return;
	}
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	/* A caller that closes has left, even if a response is in progress. */
	close_caller(c);
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	struct caller *c = w->data;

	(void)loop;
	if (events & EV_WRITE) {
		flush_output(c);
		if (!c->closed && c->exchange)
			exchange_caller_drained(c->exchange);
	}
	if (!c->closed && (events & EV_READ))
		read_input(c);
	if (!c->closed)
		parse_input(c);
	update_events(c);
}

/*
 * Whether the caller has taken any of the response since the last timeout. The
 * socket takes some MB at once and then nothing until most of it is read.
 */
static bool has_read(struct caller *c)
{
	int queued_bytes = 0;
	bool changed;

	(void)ioctl(c->fd, SIOCOUTQ, &queued_bytes);
	changed = queued_bytes != c->queued_bytes;
	c->queued_bytes = queued_bytes;
	return changed;
}

static void on_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	struct caller *c = w->data;

	(void)loop;
	(void)events;
	if (c->request_began_ms && !c->exchange)
		reply_error(c, RAMP_ERR_CALLER_SLOW);
	else if (!c->exchange && buf_len(&c->output) && has_read(c))
		set_timeout(c, limits_of(c).idle_ms);
	else if (!c->exchange)
		close_caller(c);
}

static struct caller *caller_new(struct port *p, int fd)
{
	struct caller *c = g_new0(struct caller, 1);

	c->tr = &p->e->tr;
	c->kind = p->kind;
	c->fd = fd;
	c->quiet_since_ms = time_boot_ms();
	c->reader = reader_new(true, &reader_ops, c);
	reader_set_account(c->reader, &c->tr->held);
	buf_set_account(&c->input, &c->tr->held);
	buf_set_account(&c->body, &c->tr->held);
	buf_set_account(&c->output, &c->tr->held);
	account_add(&c->tr->held, HELD_CONNECTION_BYTES);
	ev_io_init(&c->io, on_io, fd, EV_READ);
	c->io.data = c;
	c->io_events = EV_READ;
	ev_io_start(c->tr->loop, &c->io);
	ev_init(&c->timeout, on_timeout);
	c->timeout.data = c;
	set_timeout(c, limits_of(c).idle_ms);
	g_queue_push_tail(c->tr->callers, c);
	c->queue_link = g_queue_peek_tail_link(c->tr->callers);
	return c;
}

/* Whether one more connection would take a descriptor that others need. */
static bool is_short_of_files(const struct traffic *tr)
{
	int64_t files = tr->settings->limits_files;

	return (int64_t)g_queue_get_length(tr->callers) >=
		       MAX(files - TARGET_FILES_RESERVED, 16) ||
	       sock_open_connections() >= MAX(files - OTHER_FILES_RESERVED, 32);
}

/* Close the connection that has to give way first; false: there is none. */
static bool close_first(struct traffic *tr, const struct caller *except)
{
	int64_t now = time_boot_ms();
	struct caller *found = NULL;
	struct holder first = {0};

	for (GList *l = tr->callers->head; l; l = l->next) {
		struct caller *c = l->data;
		struct holder h = holder_of(c);

		if (c == except || c->parsing || c->exchange ||
		    h.state == HOLDER_SERVED ||
		    (found && !held_closes_before(&h, &first, now)))
			continue;
		found = c;
		first = h;
		/* The queue is in the order of idle times. */
		if (h.state == HOLDER_IDLE &&
		    now - h.since_ms >= HELD_REQUEST_DUE_MS)
			break;
	}
	if (!found)
		return false;
	end_for_room(found, &first);
	/* The refusal is sent; the descriptor is needed now. */
	close_caller(found);
	return true;
}

void callers_make_room_for_link(struct traffic *tr)
{
	if (is_short_of_files(tr))
		(void)close_first(tr, NULL);
}

void port_check_accept(struct port *p)
{
	struct traffic *tr = &p->e->tr;

	if (errno == EAGAIN || errno == EINTR || errno == ECONNABORTED)
		return;
	/* The connection still waits; without a pause the loop would spin. */
	metric_add(M_ACCEPT_ERRORS_TOTAL, 1);
	log_event(EV_ACCEPT_FAILED, "port=%s error=\"%s\" connections=%d",
		  port_names[p->kind], g_strerror(errno),
		  sock_open_connections());
	(void)close_first(tr, NULL);
	ev_io_stop(tr->loop, &p->io);
}

void caller_accept(struct port *p)
{
	struct traffic *tr = &p->e->tr;
	struct caller *c;
	int fd;

	while ((fd = sock_accept(p->fd)) >= 0) {
		bool is_short = is_short_of_files(tr);

		c = caller_new(p, fd);
		if (is_short && !close_first(tr, c))
			close_caller(c);
	}
	port_check_accept(p);
}

void callers_accept_again(struct traffic *tr)
{
	for (int i = 0; i < PORT_COUNT; i++)
		if (tr->ports[i].fd > 0 && !ev_is_active(&tr->ports[i].io))
			ev_io_start(tr->loop, &tr->ports[i].io);
}

bool caller_close_if_left(struct caller *c)
{
	if (!sock_peer_has_closed(c->fd))
		return false;
	close_caller(c);
	return true;
}

void callers_close_all(struct traffic *tr)
{
	while (tr->callers->head)
		close_caller(tr->callers->head->data);
}

/*
 * Whether the connection carries a request, its response, or one that may be on
 * its way: the caller has just connected, or its bytes have not been read.
 */
static bool is_busy(const struct caller *c, int64_t now_ms)
{
	if (c->exchange || c->request_began_ms || buf_len(&c->output) ||
	    buf_len(&c->input))
		return true;
	return now_ms - c->quiet_since_ms < HELD_REQUEST_DUE_MS ||
	       sock_has_input(c->fd);
}

void callers_close_idle(struct traffic *tr)
{
	int64_t now = time_boot_ms();
	GList *l = tr->callers->head;

	while (l) {
		struct caller *c = l->data;

		l = l->next;
		if (c->kind == PORT_CALLERS && !is_busy(c, now))
			close_caller(c);
	}
}

bool callers_busy(const struct traffic *tr)
{
	int64_t now = time_boot_ms();

	for (GList *l = tr->callers->head; l; l = l->next) {
		const struct caller *c = l->data;

		if (c->kind == PORT_CALLERS && is_busy(c, now))
			return true;
	}
	return false;
}
