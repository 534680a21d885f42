/* The helper's side of tunnels. See tunnel.h. */
#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/held.h"
#include "entry/tunnel.h"

/* Bytes of a side that wait for the other; it is not read beyond that. */
#define BUFFER_MAX_BYTES 16384
/* Share of the descriptors that tunnels may take, of two each. */
#define FILES_SHARE 0.25
/* Time for the hello to arrive, and for the target to be connected to. */
#define HELLO_TIMEOUT_MS   500
#define CONNECT_TIMEOUT_MS 400

enum { NODE, TARGET, SIDES };

struct side {
	int fd; /* -1: not open */
	ev_io io;
	int io_events;
	struct buf output; /* read from the other side */
	bool ended;        /* has sent all it had */
};

struct tunnel {
	struct traffic *tr;
	GList *queue_link; /* in tr->tunnels */
	struct side sides[SIDES];
	uint8_t hello[TUNNEL_HELLO_BYTES];
	size_t hello_bytes; /* received so far */
	bool connecting;    /* to the target */
	bool open;          /* bytes are copied */
	bool closed;        /* freed once no callback is running */
	ev_timer timer;     /* until it is open */
};

bool tunnel_hello(struct traffic *tr, uint64_t target, uint64_t helper,
		  uint8_t out[TUNNEL_HELLO_BYTES])
{
	uint64_t fields[3] = {target, helper, 0};
	struct entry *e = tr->e;
	bool has_key;

	randombytes_buf(&fields[2], sizeof(fields[2]));
	memcpy(out, fields, sizeof(fields));
	g_mutex_lock(&e->lock);
	has_key = e->has_secret;
	if (has_key)
		crypto_auth(out + sizeof(fields), out, sizeof(fields),
			    e->secret);
	g_mutex_unlock(&e->lock);
	return has_key;
}

/* Return the target that an authentic hello to this node names. */
static struct target *named_target(struct tunnel *t)
{
	struct entry *e = t->tr->e;
	uint64_t fields[3];
	bool ok;

	memcpy(fields, t->hello, sizeof(fields));
	g_mutex_lock(&e->lock);
	ok = e->has_secret &&
	     !crypto_auth_verify(t->hello + sizeof(fields), t->hello,
				 sizeof(fields), e->secret);
	g_mutex_unlock(&e->lock);
	if (!ok || fields[1] != member_id(t->tr->settings->node_name)) {
		metric_add(M_CONTROL_NOT_AUTHENTIC_TOTAL, 1);
		return NULL;
	}
	return g_hash_table_lookup(t->tr->targets, &fields[0]);
}

static void free_tunnel(void *p)
{
	struct tunnel *t = p;

	for (int i = 0; i < SIDES; i++)
		buf_clear(&t->sides[i].output);
	g_free(t);
}

/* Close both sides; reset: the one that is left must not look complete. */
static void close_tunnel(struct tunnel *t, bool reset)
{
	if (t->closed)
		return;
	t->closed = true;
	ev_timer_stop(t->tr->loop, &t->timer);
	for (int i = 0; i < SIDES; i++) {
		struct side *s = &t->sides[i];

		if (s->fd < 0)
			continue;
		ev_io_stop(t->tr->loop, &s->io);
		if (reset)
			sock_reset_on_close(s->fd);
		sock_close(s->fd);
	}
	g_queue_delete_link(t->tr->tunnels, t->queue_link);
	metric_set(M_TUNNELS, g_queue_get_length(t->tr->tunnels));
	defer_free(t->tr->loop, t, free_tunnel);
}

static void update_events(struct tunnel *t)
{
	for (int i = 0; i < SIDES && !t->closed; i++) {
		struct side *s = &t->sides[i];
		int events = 0;

		if (s->fd < 0)
			continue;
		if (i == TARGET && t->connecting)
			events = EV_WRITE;
		else if (!s->ended &&
			 buf_len(&t->sides[!i].output) < BUFFER_MAX_BYTES &&
			 !t->connecting)
			events |= EV_READ;
		if (buf_len(&s->output) && !t->connecting)
			events |= EV_WRITE;
		if (events == s->io_events)
			continue;
		ev_io_stop(t->tr->loop, &s->io);
		s->io_events = events;
		if (!events)
			continue;
		ev_io_set(&s->io, s->fd, events);
		ev_io_start(t->tr->loop, &s->io);
	}
}

/* Answer a hello that opens no tunnel, and close. */
static void refuse(struct tunnel *t, enum tunnel_reply reply)
{
	char c = (char)reply;

	/* The node takes a missing answer for a refusal. */
	(void)send(t->sides[NODE].fd, &c, 1, MSG_NOSIGNAL);
	close_tunnel(t, false);
}

/* Send what waits for a side. */
static void flush(struct tunnel *t, struct side *s)
{
	ssize_t n;

	if (!buf_len(&s->output) || s->fd < 0)
		return;
	n = send(s->fd, buf_data(&s->output), buf_len(&s->output),
		 MSG_NOSIGNAL);
	if (n > 0)
		buf_consume(&s->output, (size_t)n);
	else if (n < 0 && errno != EAGAIN && errno != EINTR)
		close_tunnel(t, true);
}

/* Pass on what the target has sent; n 0: its end. */
static void add_frame(struct tunnel *t, const char *p, size_t n)
{
	uint8_t head[TUNNEL_FRAME_HEAD_BYTES] = {(uint8_t)(n >> 8), (uint8_t)n};

	buf_add(&t->sides[NODE].output, head, sizeof(head));
	buf_add(&t->sides[NODE].output, p, n);
}

/* Copy what a side has sent to the other one. */
static void copy(struct tunnel *t, int from)
{
	struct side *s = &t->sides[from];
	char p[BUFFER_MAX_BYTES];
	ssize_t n = recv(s->fd, p, sizeof(p), 0);

	/* A node closes when it wants no response; see send-check.c. */
	if (from == NODE && n >= 0 && (n == 0 || sock_peer_has_closed(s->fd))) {
		close_tunnel(t, true);
	} else if (n > 0 && from == NODE) {
		buf_add(&t->sides[TARGET].output, p, (size_t)n);
		flush(t, &t->sides[TARGET]);
	} else if (n >= 0) {
		s->ended = n == 0;
		add_frame(t, p, (size_t)n);
		flush(t, &t->sides[NODE]);
	} else if (errno != EAGAIN && errno != EINTR) {
		close_tunnel(t, true);
	}
}

static void on_io(struct ev_loop *loop, ev_io *w, int events);

static void open_side(struct tunnel *t, int i, int fd)
{
	struct side *s = &t->sides[i];

	s->fd = fd;
	buf_set_account(&s->output, &t->tr->held);
	ev_io_init(&s->io, on_io, fd, 0);
	s->io.data = t;
}

/* Whether this node would send the target a request of its own. */
static bool is_usable(const struct target *g)
{
	int64_t now = time_boot_ms();

	return g && pool_takes_requests(g, now) &&
	       !notices_get(g->tr->e->notices, NOTICE_TARGET_REST, g->info.id,
			    now, 0);
}

static void start_connecting(struct tunnel *t)
{
	const struct target *g = named_target(t);
	int fd;

	if (!is_usable(g)) {
		refuse(t, TUNNEL_REFUSED);
		return;
	}
	if (!ways_is_open(g, true)) {
		refuse(t, TUNNEL_CUT);
		return;
	}
	fd = sock_connect(&g->info.address);
	if (fd < 0) {
		refuse(t, TUNNEL_REFUSED);
		return;
	}
	open_side(t, TARGET, fd);
	t->connecting = true;
	timer_start_once(t->tr->loop, &t->timer, CONNECT_TIMEOUT_MS);
}

static void read_hello(struct tunnel *t)
{
	ssize_t n = recv(t->sides[NODE].fd, t->hello + t->hello_bytes,
			 sizeof(t->hello) - t->hello_bytes, 0);

	if (n <= 0) {
		if (n == 0 || (errno != EAGAIN && errno != EINTR))
			close_tunnel(t, false);
		return;
	}
	t->hello_bytes += (size_t)n;
	if (t->hello_bytes == sizeof(t->hello))
		start_connecting(t);
}

static void finish_connecting(struct tunnel *t)
{
	char reply = TUNNEL_OPEN;
	socklen_t len = sizeof(int);
	int error = 0;

	if (getsockopt(t->sides[TARGET].fd, SOL_SOCKET, SO_ERROR, &error,
		       &len) < 0 ||
	    error) {
		refuse(t, TUNNEL_TARGET_DOWN);
		return;
	}
	ev_timer_stop(t->tr->loop, &t->timer);
	t->connecting = false;
	t->open = true;
	buf_add(&t->sides[NODE].output, &reply, 1);
	flush(t, &t->sides[NODE]);
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	struct tunnel *t = w->data;
	int i = w == &t->sides[TARGET].io ? TARGET : NODE;

	(void)loop;
	if (t->connecting && i == TARGET)
		finish_connecting(t);
	else if (!t->open)
		read_hello(t);
	else if (events & EV_READ)
		copy(t, i);
	if (!t->closed && t->open && (events & EV_WRITE))
		flush(t, &t->sides[i]);
	/* A target that has ended ends the tunnel once the node has it all. */
	if (!t->closed && t->sides[TARGET].ended &&
	    !buf_len(&t->sides[NODE].output))
		close_tunnel(t, false);
	update_events(t);
}

static void on_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	struct tunnel *t = w->data;

	(void)loop;
	(void)events;
	refuse(t, t->connecting ? TUNNEL_TARGET_DOWN : TUNNEL_REFUSED);
}

/* Whether there is room for another tunnel. */
static bool has_room(const struct traffic *tr)
{
	return 2.0 * g_queue_get_length(tr->tunnels) <
		       FILES_SHARE * (double)tr->settings->limits_files &&
	       tr->held.bytes < held_max(tr->settings->limits_memory_mb, 0);
}

void tunnels_accept(struct port *p)
{
	struct traffic *tr = &p->e->tr;
	int fd;

	while ((fd = sock_accept(p->fd)) >= 0) {
		struct tunnel *t = g_new0(struct tunnel, 1);

		t->tr = tr;
		t->sides[TARGET].fd = -1;
		open_side(t, NODE, fd);
		ev_init(&t->timer, on_timeout);
		t->timer.data = t;
		timer_start_once(tr->loop, &t->timer, HELLO_TIMEOUT_MS);
		g_queue_push_tail(tr->tunnels, t);
		t->queue_link = g_queue_peek_tail_link(tr->tunnels);
		metric_set(M_TUNNELS, g_queue_get_length(tr->tunnels));
		if (tr->leaving_ms || !has_room(tr))
			refuse(t, TUNNEL_REFUSED);
		update_events(t);
	}
	port_check_accept(p);
}

void tunnels_close_all(struct traffic *tr)
{
	while (tr->tunnels->head)
		close_tunnel(tr->tunnels->head->data, true);
}
