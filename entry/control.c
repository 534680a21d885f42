#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <talloc.h>
#include <unistd.h>

#include "entry/follow.h"

#define DATAGRAM_BYTES 2048
/* Behind each message between nodes that membership does not seal itself. */
#define SEAL_BYTES crypto_auth_BYTES
#define TICK_MS    50
/* Loads are told this often, and no oftener than DATAGRAMS_S allows. */
#define TELL_MS 100
/* Load datagrams that a node sends in a second: some 1% of a small core. */
#define DATAGRAMS_S 100
/*
 * A node that doesn't read the store asks one that does this often, and so many
 * times within the time in which a leaving target may still be used.
 */
#define ASK_MS        400
#define ASKS_IN_DRAIN 5
/* The settings may change without a signal; looked at this often. */
#define SETTINGS_MS 2000
/* After its start a node has heard from all others of a large fleet. */
#define HEAR_MS 5000
/* Nodes not seen yet are spoken to this often. */
#define INTRODUCE_MS 1000
/* Incarnations count eighths of a second since 2025. */
#define EPOCH_MS       1735689600000
#define INCARNATION_MS 125

struct control {
	struct entry *e;
	struct ev_loop *loop;
	struct member *member;
	int member_fd, loads_fd;
	ev_io member_io, loads_io;
	ev_timer tick;
	ev_signal term, hup;
	ev_async stop, leave;
	uint8_t key[MEMBER_KEY_BYTES];
	bool keyed; /* nothing is sent or taken before */
	struct fleet *fleet;
	struct follow *follow;
	struct keep *keep;
	uint64_t view;
	int64_t heard_at_ms; /* all that live have been heard by then */
	int64_t tell_at_ms;
	int64_t ask_at_ms;
	int64_t settings_at_ms;
	struct timespec settings_changed; /* time of the file in force */
	int64_t introduce_at_ms;
	GHashTable *seeds; /* control addresses that were named somewhere */
	size_t turn;
};

static int open_udp(const char *ip, int64_t port, GError **err)
{
	struct sockaddr_in at;
	char text[64];
	int fd;

	snprintf(text, sizeof(text), "%s:%d", ip, (int)port);
	if (!parse_address(text, &at)) {
		g_set_error(err, RAMP_ERROR, RAMP_ERR_BAD_REQUEST,
			    "%s: not IP:PORT", text);
		return -1;
	}
	fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0 && !bind(fd, (struct sockaddr *)&at, sizeof(at)))
		return fd;
	g_set_error(err, RAMP_ERROR, RAMP_ERR_INTERNAL, "udp %s: %s", text,
		    g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

static void send_member(void *ctx, const char *to,
			const struct member_message *m)
{
	struct control *c = ctx;
	uint8_t p[DATAGRAM_BYTES];
	struct sockaddr_in at;
	size_t n;

	if (!c->keyed || !parse_address(to, &at))
		return;
	n = member_encode(m, c->key, p, sizeof(p));
	/* A message that can't be sent counts as one that was lost. */
	if (n && sendto(c->member_fd, p, n, MSG_DONTWAIT,
			(struct sockaddr *)&at, sizeof(at)) > 0)
		metric_add(M_CONTROL_BYTES_SENT_TOTAL,
			   (int64_t)n + MEMBER_DATAGRAM_BYTES);
}

static uint64_t random_bits(void *ctx)
{
	uint64_t r;

	(void)ctx;
	randombytes_buf(&r, sizeof(r));
	return r;
}

static void on_member(struct ev_loop *loop, ev_io *w, int events)
{
	struct control *c = w->data;
	uint8_t p[DATAGRAM_BYTES];
	ssize_t n;

	(void)loop;
	(void)events;
	while ((n = recv(c->member_fd, p, sizeof(p), MSG_DONTWAIT)) >= 0) {
		struct member_message m;

		metric_add(M_CONTROL_BYTES_RECEIVED_TOTAL,
			   n + MEMBER_DATAGRAM_BYTES);
		if (!c->keyed)
			continue;
		switch (member_decode(p, (size_t)n, c->key, &m)) {
		case MEMBER_DECODED:
			member_receive(c->member, time_mono_ms(), &m);
			member_message_clear(&m);
			break;
		case MEMBER_MALFORMED:
			metric_add(M_CONTROL_MALFORMED_TOTAL, 1);
			break;
		case MEMBER_NOT_AUTHENTIC:
			metric_add(M_CONTROL_NOT_AUTHENTIC_TOTAL, 1);
			break;
		}
	}
}

static void send_peer(struct control *c, const struct sockaddr_in *to,
		      struct peer_message *m)
{
	char p[DATAGRAM_BYTES];
	size_t n = 0;
	XDR x;

	xdrmem_create(&x, p, sizeof(p) - SEAL_BYTES, XDR_ENCODE);
	if (c->keyed && xdr_peer_message(&x, m))
		n = xdr_getpos(&x);
	xdr_destroy(&x);
	if (n) {
		crypto_auth((uint8_t *)p + n, (uint8_t *)p, n, c->key);
		n += SEAL_BYTES;
	}
	/* A message that can't be sent counts as one that was lost. */
	if (n && sendto(c->loads_fd, p, n, MSG_DONTWAIT,
			(const struct sockaddr *)to, sizeof(*to)) > 0)
		metric_add(M_CONTROL_BYTES_SENT_TOTAL,
			   (int64_t)n + MEMBER_DATAGRAM_BYTES);
}

static void answer(struct control *c, const struct sockaddr_in *from,
		   const struct store_ask *ask)
{
	struct peer_message m = {.kind = PEER_WORD};
	struct target_news news[TARGETS_TOLD_MAX];

	follow_tell(c->follow, ask, &m.peer_message_u.word, news);
	send_peer(c, from, &m);
}

static void take_loads(struct control *c, const struct load_news *m)
{
	loads_heard(c->e->loads, time_boot_ms(), m);
	holds_heard(c->e->holds, m->held.held_val, m->held.held_len);
}

/* Whether the message before the seal is one of this fleet. */
static bool is_sealed(const struct control *c, const char *p, size_t n)
{
	return c->keyed && n >= SEAL_BYTES &&
	       !crypto_auth_verify((const uint8_t *)p + n - SEAL_BYTES,
				   (const uint8_t *)p, n - SEAL_BYTES, c->key);
}

static void take_peer(struct control *c, const struct sockaddr_in *from,
		      const char *p, size_t n)
{
	struct peer_message m;
	XDR x;

	if (!is_sealed(c, p, n)) {
		metric_add(M_CONTROL_NOT_AUTHENTIC_TOTAL, 1);
		return;
	}
	n -= SEAL_BYTES;
	memset(&m, 0, sizeof(m));
	xdrmem_create(&x, (char *)p, (u_int)n, XDR_DECODE);
	if (!xdr_peer_message(&x, &m))
		metric_add(M_CONTROL_MALFORMED_TOTAL, 1);
	else if (m.kind == PEER_LOADS)
		take_loads(c, &m.peer_message_u.loads);
	else if (m.kind == PEER_ASK)
		answer(c, from, &m.peer_message_u.ask);
	else
		follow_heard(c->follow, &m.peer_message_u.word);
	xdr_destroy(&x);
	xdr_free((xdrproc_t)xdr_peer_message, (char *)&m);
}

static void on_loads(struct ev_loop *loop, ev_io *w, int events)
{
	struct control *c = w->data;
	char p[DATAGRAM_BYTES];
	struct sockaddr_in from;
	socklen_t len = sizeof(from);
	ssize_t n;

	(void)loop;
	(void)events;
	while ((n = recvfrom(c->loads_fd, p, sizeof(p), MSG_DONTWAIT,
			     (struct sockaddr *)&from, &len)) >= 0) {
		metric_add(M_CONTROL_BYTES_RECEIVED_TOTAL,
			   n + MEMBER_DATAGRAM_BYTES);
		take_peer(c, &from, p, (size_t)n);
		len = sizeof(from);
	}
}

/* Where a node takes loads: one port above its control address. */
static bool loads_address(const char *control, struct sockaddr_in *out)
{
	if (!parse_address(control, out))
		return false;
	out->sin_port = htons((uint16_t)(ntohs(out->sin_port) + 1));
	return true;
}

static void publish_peers(struct control *c)
{
	size_t n = member_count(c->member), live;
	struct peer_list *l = peer_list_new(n), *old;

	member_seen(c->member, &live, &l->known);
	for (size_t i = 0; i < n; i++) {
		const struct member_peer *p = member_at(c->member, i);
		struct entry_peer *q = &l->v[l->n];

		if (p->state != MEMBER_LIVE && p->state != MEMBER_SUSPECT)
			continue;
		if (!loads_address(p->info.control, &q->loads))
			continue;
		q->id = p->id;
		q->address = str_dup(l->arena, str_c(p->info.address));
		q->zone = str_dup(l->arena, str_c(p->info.zone));
		l->n++;
	}
	metric_set(M_ENTRIES_LIVE, (int64_t)l->n);
	g_mutex_lock(&c->e->lock);
	old = c->e->peers;
	c->e->peers = peer_list_ref(l);
	g_mutex_unlock(&c->e->lock);
	peer_list_unref(old);
	peer_list_unref(l);
	ev_async_send(c->e->tr.loop, &c->e->tr.news);
}

/* Pause between load datagrams to all peers. */
static int64_t tell_pause_ms(size_t peers)
{
	return MAX(TELL_MS, (int64_t)peers * 1000 / DATAGRAMS_S);
}

static struct peer_list *peers_of(struct control *c)
{
	struct peer_list *l;

	g_mutex_lock(&c->e->lock);
	l = c->e->peers ? peer_list_ref(c->e->peers) : NULL;
	g_mutex_unlock(&c->e->lock);
	return l;
}

static void tell_loads(struct control *c, const struct peer_list *l,
		       int64_t now_ms)
{
	uint64_t self = member_id(c->e->control_set.node_name);
	struct load_entry entries[LOADS_ENTRIES_MAX];
	struct held_entry held[HELD_MAX];
	struct peer_message m = {.kind = PEER_LOADS};

	if (now_ms < c->tell_at_ms && !loads_is_urgent(c->e->loads))
		return;
	c->tell_at_ms = now_ms + tell_pause_ms(l->n);
	loads_set_pause(c->e->loads, tell_pause_ms(l->n));
	if (!loads_next(c->e->loads, now_ms, &m.peer_message_u.loads, entries))
		return;
	m.peer_message_u.loads.held.held_val = held;
	m.peer_message_u.loads.held.held_len =
		(u_int)holds_next(c->e->holds, held);
	for (size_t i = 0; i < l->n; i++)
		if (l->v[i].id != self)
			send_peer(c, &l->v[i].loads, &m);
}

static const struct entry_peer *find_peer(const struct peer_list *l,
					  uint64_t id)
{
	for (size_t i = 0; i < l->n; i++)
		if (l->v[i].id == id)
			return &l->v[i];
	return NULL;
}

/* See who reads the store; ask one of them unless this node does. */
static void ask_readers(struct control *c, const struct peer_list *l,
			int64_t now_ms)
{
	uint64_t self = member_id(c->e->control_set.node_name);
	struct peer_message m = {.kind = PEER_ASK};
	uint64_t *ids, top[READERS];
	bool reader = false;
	size_t n = 0, k;

	if (now_ms < c->ask_at_ms)
		return;
	c->ask_at_ms = now_ms + MIN(ASK_MS, c->e->control_set.bounds_drain_ms /
						    ASKS_IN_DRAIN);
	ids = g_new(uint64_t, l->n + 1);
	for (size_t i = 0; i < l->n; i++)
		if (l->v[i].id == self ||
		    loads_node_serves(c->e->loads, l->v[i].id, now_ms))
			ids[n++] = l->v[i].id;
	/* Few have been heard yet: go by those that are listed. */
	if (n <= READERS && now_ms < c->heard_at_ms)
		for (n = 0; n < l->n; n++)
			ids[n] = l->v[n].id;
	k = readers_choose(ids, n, top);
	g_free(ids);
	for (size_t i = 0; i < k; i++)
		reader |= top[i] == self;
	follow_set_reader(c->follow, reader || !k);
	fleet_set_reader(c->fleet, reader || !k);
	keep_set_writer(c->keep, !k || top[0] == self);
	if (reader || !k)
		return;
	m.peer_message_u.ask.asked_ms = now_ms;
	m.peer_message_u.ask.targets_hash = follow_hash(c->follow);
	send_peer(c, &find_peer(l, top[c->turn++ % k])->loads, &m);
}

static bool is_known(const struct control *c, const char *control)
{
	for (size_t i = 0; i < member_count(c->member); i++) {
		const struct member_peer *p = member_at(c->member, i);

		if (p->state != MEMBER_DEAD &&
		    !strcmp(p->info.control, control))
			return true;
	}
	return false;
}

/* Speak to those that were named and have not been seen. */
static void introduce(struct control *c, int64_t now_ms)
{
	GHashTableIter it;
	gpointer control;

	if (now_ms < c->introduce_at_ms)
		return;
	c->introduce_at_ms = now_ms + INTRODUCE_MS;
	g_hash_table_iter_init(&it, c->seeds);
	while (g_hash_table_iter_next(&it, &control, NULL))
		if (strcmp(control, c->e->control_address) != 0 &&
		    !is_known(c, control))
			member_introduce(c->member, control);
}

static void tell_peers(struct control *c, int64_t now_ms)
{
	struct peer_list *l = peers_of(c);

	if (!l)
		return;
	tell_loads(c, l, now_ms);
	ask_readers(c, l, now_ms);
	peer_list_unref(l);
}

/* Take the bounds of the changed settings; all else needs a new start. */
static void reload(struct control *c)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct entry_settings s;

	if (settings_load_table(&entry_settings_table, c->e->o->path, &s,
				errors)) {
		settings_take_numbers(&entry_settings_table, "bounds",
				      &c->e->control_set, &s);
		g_mutex_lock(&c->e->lock);
		settings_take_numbers(&entry_settings_table, "bounds",
				      &c->e->reloaded, &s);
		c->e->has_reloaded = true;
		g_mutex_unlock(&c->e->lock);
		ev_async_send(c->e->tr.loop, &c->e->tr.news);
		log_event(EV_SETTINGS_RELOADED, "path=%s", c->e->o->path);
	} else {
		log_event(EV_SETTINGS_KEPT, "error=\"%s\"",
			  (char *)g_ptr_array_index(errors, 0));
	}
	settings_clear_table(&entry_settings_table, &s);
	g_ptr_array_unref(errors);
}

/* Read the settings again when the file has changed. */
static void watch_settings(struct control *c, int64_t now_ms)
{
	struct stat st;

	if (now_ms < c->settings_at_ms)
		return;
	c->settings_at_ms = now_ms + SETTINGS_MS;
	if (stat(c->e->o->path, &st) < 0 ||
	    !memcmp(&st.st_mtim, &c->settings_changed, sizeof(st.st_mtim)))
		return;
	if (c->settings_changed.tv_sec)
		reload(c);
	c->settings_changed = st.st_mtim;
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct control *c = w->data;
	int64_t now = time_boot_ms();

	(void)loop;
	(void)events;
	member_tick(c->member, time_mono_ms());
	if (c->view != member_view_number(c->member)) {
		c->view = member_view_number(c->member);
		publish_peers(c);
	}
	introduce(c, now);
	tell_peers(c, now);
	watch_settings(c, now);
}

static void leave(struct control *c)
{
	g_mutex_lock(&c->e->lock);
	c->e->leaving = true;
	g_mutex_unlock(&c->e->lock);
	member_leave(c->member);
	loads_set_serving(c->e->loads, false);
	c->tell_at_ms = 0;
	tell_peers(c, time_boot_ms());
	ev_async_send(c->e->tr.loop, &c->e->tr.news);
}

static void on_term(struct ev_loop *loop, ev_signal *w, int events)
{
	(void)loop;
	(void)events;
	leave(w->data);
}

static void on_leave(struct ev_loop *loop, ev_async *w, int events)
{
	(void)loop;
	(void)events;
	leave(w->data);
}

static void on_hup(struct ev_loop *loop, ev_signal *w, int events)
{
	(void)loop;
	(void)events;
	reload(w->data);
}

static void on_stop(struct ev_loop *loop, ev_async *w, int events)
{
	struct control *c = w->data;

	(void)events;
	member_stop(c->member);
	ev_break(loop, EVBREAK_ALL);
}

void control_seed(struct control *c, const struct member_info *infos, size_t n)
{
	member_seed(c->member, time_mono_ms(), infos, n);
}

void control_set_secret(struct control *c, const uint8_t *secret)
{
	memcpy(c->key, secret, sizeof(c->key));
	c->keyed = true;
}

void control_leave(struct control *c)
{
	ev_async_send(c->loop, &c->leave);
}

/* The settings name seeds by another port; the control port is the same. */
static void add_seeds(struct control *c)
{
	char **v = g_strsplit(c->e->control_set.peers_seeds, ",", -1);

	for (char **p = v; *p; p++) {
		char *colon = strrchr(*p, ':');

		if (!colon)
			continue;
		*colon = '\0';
		g_hash_table_add(
			c->seeds,
			g_strdup_printf("%s:%d", g_strstrip(*p),
					(int)c->e->control_set.peers_port));
	}
	g_strfreev(v);
}

static void watch_fd(struct control *c, ev_io *w, int fd,
		     void (*fn)(struct ev_loop *, ev_io *, int))
{
	ev_io_init(w, fn, fd, EV_READ);
	w->data = c;
	ev_io_start(c->loop, w);
}

struct control *control_new(struct entry *e, GError **err)
{
	const struct entry_settings *s = &e->control_set;
	struct control *c = g_new0(struct control, 1);
	struct sockaddr_in store;
	struct member_options o = {
		.self = {s->node_name, s->listen_callers, e->control_address,
			 s->node_zone, s->node_region},
		.incarnation =
			(uint32_t)((time_now_ms() - EPOCH_MS) / INCARNATION_MS),
		.budget_bytes_s = s->peers_budget,
		.callbacks = {c, send_member, random_bits},
	};

	c->e = e;
	e->control = c;
	c->loop = ev_loop_new(EVFLAG_AUTO);
	later_begin(c->loop);
	c->seeds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->loads_fd = -1;
	c->member_fd = open_udp(s->node_ip, s->peers_port, err);
	if (c->member_fd >= 0)
		c->loads_fd = open_udp(s->node_ip, s->peers_port + 1, err);
	if (c->loads_fd < 0)
		return c;
	c->member = member_new(&o, time_mono_ms());
	add_seeds(c);
	watch_fd(c, &c->member_io, c->member_fd, on_member);
	watch_fd(c, &c->loads_io, c->loads_fd, on_loads);
	ev_timer_init(&c->tick, on_tick, 0, TICK_MS / 1000.0);
	c->tick.data = c;
	ev_timer_start(c->loop, &c->tick);
	if (e->o->signals) {
		ev_signal_init(&c->term, on_term, SIGTERM);
		c->term.data = c;
		ev_signal_start(c->loop, &c->term);
		ev_signal_init(&c->hup, on_hup, SIGHUP);
		c->hup.data = c;
		ev_signal_start(c->loop, &c->hup);
	}
	ev_async_init(&c->stop, on_stop);
	c->stop.data = c;
	ev_async_start(c->loop, &c->stop);
	ev_async_init(&c->leave, on_leave);
	c->leave.data = c;
	ev_async_start(c->loop, &c->leave);
	c->heard_at_ms = time_boot_ms() + HEAR_MS;
	parse_address(s->store_address, &store); /* checked at the start */
	e->store = e->o->store->open(c->loop, &store, s->store_timeout_ms);
	c->follow = follow_new(e, c->loop);
	c->fleet = fleet_new(e, c->loop);
	c->keep = keep_new(e, c->loop);
	return c;
}

void *control_run(void *control)
{
	struct control *c = control;

	ev_run(c->loop, 0);
	return NULL;
}

void control_stop(struct control *c)
{
	ev_async_send(c->loop, &c->stop);
}

void control_free(struct control *c)
{
	/* Calls in progress are dropped with the store's client. */
	if (c->e->store)
		c->e->o->store->close(c->e->store);
	if (c->follow)
		follow_free(c->follow);
	if (c->fleet)
		fleet_free(c->fleet);
	if (c->keep)
		keep_free(c->keep);
	if (c->member)
		member_free(c->member);
	if (c->member_fd >= 0)
		close(c->member_fd);
	if (c->loads_fd >= 0)
		close(c->loads_fd);
	g_hash_table_unref(c->seeds);
	later_end(c->loop);
	ev_loop_destroy(c->loop);
	g_free(c);
}
