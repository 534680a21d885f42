/*
 * The control thread: runs the membership protocol, publishes the list of
 * peers, reloads the settings and handles signals. The clients of the store and
 * peer-messages.c run on the same event loop.
 */
#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <talloc.h>
#include <unistd.h>

#include "entry/control.h"

#define TICK_MS 50
/* Interval of checks for a changed settings file, in addition to SIGHUP. */
#define SETTINGS_CHECK_MS 2000
/*
 * Time after the start in which all other nodes have sent a load report, even
 * in a large fleet.
 */
#define PEERS_KNOWN_MS 5000
/* Interval of introductions to seeds that are not in the membership list. */
#define INTRODUCE_INTERVAL_MS 1000
/* An incarnation is the start time, in eighths of a second since 2025. */
#define INCARNATION_EPOCH_MS 1735689600000
#define INCARNATION_UNIT_MS  125

static int open_udp(const char *ip, int64_t port, GError **err)
{
	struct sockaddr_in at;
	char text[64];
	int fd;

	snprintf(text, sizeof(text), "%s:%d", ip, (int)port);
	if (!parse_address(text, &at)) {
		g_set_error(err, RAMP_ERROR, RAMP_ERR_BAD_REQUEST,
			    "UDP address %s is not of the form IP:PORT", text);
		return -1;
	}
	fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0 && !bind(fd, (struct sockaddr *)&at, sizeof(at)))
		return fd;
	g_set_error(err, RAMP_ERROR, RAMP_ERR_INTERNAL,
		    "cannot open UDP socket on %s: %s", text,
		    g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

static void send_member_message(void *ctx, const char *to,
				const struct member_message *m)
{
	struct control *c = ctx;
	uint8_t p[DATAGRAM_BYTES];
	struct sockaddr_in at;
	size_t n;

	if (!c->has_key || !parse_address(to, &at))
		return;
	n = member_encode(m, c->key, p, sizeof(p));
	/* The protocol tolerates lost messages, so failures are ignored. */
	if (n && sendto(c->member_fd, p, n, MSG_DONTWAIT,
			(struct sockaddr *)&at, sizeof(at)) > 0)
		metric_add(M_CONTROL_BYTES_SENT_TOTAL,
			   (int64_t)n + MEMBER_IP_UDP_HEADER_BYTES);
}

static uint64_t random_bits(void *ctx)
{
	uint64_t r;

	(void)ctx;
	randombytes_buf(&r, sizeof(r));
	return r;
}

static void on_member_datagram(struct ev_loop *loop, ev_io *w, int events)
{
	struct control *c = w->data;
	uint8_t p[DATAGRAM_BYTES];
	ssize_t n;

	(void)loop;
	(void)events;
	while ((n = recv(c->member_fd, p, sizeof(p), MSG_DONTWAIT)) >= 0) {
		struct member_message m;

		metric_add(M_CONTROL_BYTES_RECEIVED_TOTAL,
			   n + MEMBER_IP_UDP_HEADER_BYTES);
		if (!c->has_key)
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

/* Address for messages of peer-messages.c: one port above the control port. */
static bool loads_address(const char *control_address, struct sockaddr_in *out)
{
	if (!parse_address(control_address, out))
		return false;
	out->sin_port = htons((uint16_t)(ntohs(out->sin_port) + 1));
	return true;
}

/* Publish the list of nodes that are live or suspected. */
static void publish_peers(struct control *c)
{
	size_t n = member_count(c->member), live;
	struct peer_list *l = peer_list_new(n), *old;
	size_t ids = 0;

	member_count_live(c->member, &live, &l->known);
	l->known_ids = talloc_zero_array(l->arena, uint64_t, n + 1);
	for (size_t i = 0; i < n; i++) {
		const struct member_peer *p = member_at(c->member, i);
		struct entry_peer *peer = &l->v[l->n];

		if (p->state != MEMBER_LEFT)
			l->known_ids[ids++] = p->id;
		if (p->state != MEMBER_LIVE && p->state != MEMBER_SUSPECT)
			continue;
		if (!loads_address(p->info.control, &peer->report_address))
			continue;
		peer->id = p->id;
		peer->suspected = p->state == MEMBER_SUSPECT;
		peer->address = str_dup(l->arena, str_c(p->info.address));
		peer->zone = str_dup(l->arena, str_c(p->info.zone));
		l->n++;
	}
	metric_set(M_ENTRIES_LIVE, (int64_t)l->n);
	g_mutex_lock(&c->e->lock);
	old = c->e->peers;
	c->e->peers = peer_list_ref(l);
	g_mutex_unlock(&c->e->lock);
	peer_list_unref(old);
	peer_list_unref(l);
	ev_async_send(c->e->tr.loop, &c->e->tr.views_published);
}

/* Return a new reference to the published list; NULL before the first. */
static struct peer_list *peers_ref(struct control *c)
{
	struct peer_list *l;

	g_mutex_lock(&c->e->lock);
	l = c->e->peers ? peer_list_ref(c->e->peers) : NULL;
	g_mutex_unlock(&c->e->lock);
	return l;
}

static bool is_known(const struct control *c, const char *control_address)
{
	for (size_t i = 0; i < member_count(c->member); i++) {
		const struct member_peer *p = member_at(c->member, i);

		if (p->state != MEMBER_DEAD &&
		    !strcmp(p->info.control, control_address))
			return true;
	}
	return false;
}

/* Introduce this node to the configured seeds that are not known yet. */
static void introduce_seeds(struct control *c, int64_t now_ms)
{
	GHashTableIter it;
	gpointer address;

	if (now_ms < c->introduce_at_ms)
		return;
	c->introduce_at_ms = now_ms + INTRODUCE_INTERVAL_MS;
	g_hash_table_iter_init(&it, c->seeds);
	while (g_hash_table_iter_next(&it, &address, NULL))
		if (strcmp(address, c->e->control_address) != 0 &&
		    !is_known(c, address))
			member_join(c->member, address);
}

bool control_knows_nodes(const struct control *c, int64_t now_ms)
{
	return now_ms >= c->peers_known_at_ms ||
	       discovery_has_read(c->discovery);
}

/*
 * Tell the warm-ups which nodes are known, live or not. A node that knows only
 * some of the others would take more than its share, so they have to be read
 * from the store, or else to have had time to introduce themselves.
 */
static void set_warmup_nodes(struct control *c, const struct peer_list *l,
			     int64_t now_ms)
{
	if (c->warmup_view == c->published_view ||
	    !control_knows_nodes(c, now_ms))
		return;
	c->warmup_view = c->published_view;
	warmup_set_nodes(c->e->warmup, l->known_ids, l->known, now_ms);
}

static void exchange_origins(struct control *c, const struct peer_list *l,
			     int64_t now_ms)
{
	/* First, as a node that knows of a version needs the records. */
	peers_send_origins(c, l, now_ms);
	peers_send_versions(c, l, now_ms);
	peers_ask_origins(c, l, now_ms);
	versions_store_tick(c->versions_store, now_ms);
}

/* Send the messages to other nodes that are due. */
static void exchange_with_peers(struct control *c, int64_t now_ms)
{
	struct peer_list *l = peers_ref(c);

	if (!l)
		return;
	set_warmup_nodes(c, l, now_ms);
	peers_send_loads(c, l, now_ms);
	peers_query_relays(c, l, now_ms);
	peers_relay_loads(c, l, now_ms);
	peers_sweep_origins(c, l, now_ms);
	exchange_origins(c, l, now_ms);
	peers_send_records(c, l, now_ms);
	peer_list_unref(l);
}

/* Apply the section "bounds" of the settings; the others need a restart. */
static void reload(struct control *c)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct entry_settings s;

	if (settings_load_table(&entry_settings_table, c->e->o->path, &s,
				errors)) {
		settings_copy_numbers(&entry_settings_table, "bounds",
				      &c->e->control_settings, &s);
		g_mutex_lock(&c->e->lock);
		settings_copy_numbers(&entry_settings_table, "bounds",
				      &c->e->reloaded, &s);
		c->e->has_reloaded = true;
		g_mutex_unlock(&c->e->lock);
		ev_async_send(c->e->tr.loop, &c->e->tr.views_published);
		log_event(EV_SETTINGS_RELOADED, "path=%s", c->e->o->path);
	} else {
		log_event(EV_SETTINGS_KEPT, "error=\"%s\"",
			  (char *)g_ptr_array_index(errors, 0));
	}
	settings_clear_table(&entry_settings_table, &s);
	g_ptr_array_unref(errors);
}

/*
 * Reload the settings when the file's modification time has changed since the
 * last check. The first check only records the time.
 */
static void check_settings_file(struct control *c, int64_t now_ms)
{
	struct stat st;

	if (now_ms < c->settings_check_at_ms)
		return;
	c->settings_check_at_ms = now_ms + SETTINGS_CHECK_MS;
	if (stat(c->e->o->path, &st) < 0 ||
	    !memcmp(&st.st_mtim, &c->settings_mtime, sizeof(st.st_mtim)))
		return;
	if (c->settings_mtime.tv_sec)
		reload(c);
	c->settings_mtime = st.st_mtim;
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct control *c = w->data;
	int64_t now = time_boot_ms();

	(void)loop;
	(void)events;
	member_tick(c->member, time_mono_ms());
	if (c->published_view != member_view_version(c->member)) {
		c->published_view = member_view_version(c->member);
		publish_peers(c);
	}
	introduce_seeds(c, now);
	exchange_with_peers(c, now);
	check_settings_file(c, now);
}

/* Announce the shutdown to the other nodes and start it on both threads. */
static void begin_leave(struct control *c)
{
	g_mutex_lock(&c->e->lock);
	c->e->leaving = true;
	g_mutex_unlock(&c->e->lock);
	member_leave(c->member);
	loads_set_serving(c->e->loads, false);
	exchange_with_peers(c, time_boot_ms());
	ev_async_send(c->e->tr.loop, &c->e->tr.views_published);
}

static void on_term(struct ev_loop *loop, ev_signal *w, int events)
{
	(void)loop;
	(void)events;
	begin_leave(w->data);
}

static void on_leave(struct ev_loop *loop, ev_async *w, int events)
{
	(void)loop;
	(void)events;
	begin_leave(w->data);
}

static void on_origin_asked(struct ev_loop *loop, ev_async *w, int events)
{
	struct control *c = w->data;
	struct peer_list *l = peers_ref(c);

	(void)loop;
	(void)events;
	if (!l)
		return;
	exchange_origins(c, l, time_boot_ms());
	peer_list_unref(l);
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
	member_merge_instances(c->member, time_mono_ms(), infos, n);
}

void control_set_secret(struct control *c, const uint8_t *secret)
{
	memcpy(c->key, secret, sizeof(c->key));
	c->has_key = true;
	g_mutex_lock(&c->e->lock);
	memcpy(c->e->secret, secret, sizeof(c->e->secret));
	c->e->has_secret = true;
	g_mutex_unlock(&c->e->lock);
}

void control_ask_origins(struct control *c)
{
	ev_async_send(c->loop, &c->origin_asked);
}

void control_leave(struct control *c)
{
	ev_async_send(c->loop, &c->leave);
}

/*
 * Read the seeds from the settings. The ports given there are not control
 * ports; the control port is the same on all nodes.
 */
static void add_seed_addresses(struct control *c)
{
	char **v = g_strsplit(c->e->control_settings.peers_seeds, ",", -1);

	for (char **p = v; *p; p++) {
		char *colon = strrchr(*p, ':');

		if (!colon)
			continue;
		*colon = '\0';
		g_hash_table_add(
			c->seeds,
			g_strdup_printf(
				"%s:%d", g_strstrip(*p),
				(int)c->e->control_settings.peers_port));
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
	const struct entry_settings *s = &e->control_settings;
	struct control *c = g_new0(struct control, 1);
	struct sockaddr_in store;
	struct member_options o = {
		.self = {s->node_name, s->listen_callers, e->control_address,
			 s->node_zone, s->node_region},
		.incarnation =
			(uint32_t)((time_now_ms() - INCARNATION_EPOCH_MS) /
				   INCARNATION_UNIT_MS),
		.budget_bytes_s = s->peers_budget,
		.callbacks = {c, send_member_message, random_bits},
	};

	c->e = e;
	e->control = c;
	c->loop = ev_loop_new(EVFLAG_AUTO);
	defer_init(c->loop);
	c->seeds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->loads_fd = -1;
	c->member_fd = open_udp(s->node_ip, s->peers_port, err);
	if (c->member_fd >= 0)
		c->loads_fd = open_udp(s->node_ip, s->peers_port + 1, err);
	if (c->loads_fd < 0)
		return c;
	c->member = member_new(&o, time_mono_ms());
	add_seed_addresses(c);
	watch_fd(c, &c->member_io, c->member_fd, on_member_datagram);
	watch_fd(c, &c->loads_io, c->loads_fd, peers_on_datagram);
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
	ev_async_init(&c->origin_asked, on_origin_asked);
	c->origin_asked.data = c;
	ev_async_start(c->loop, &c->origin_asked);
	c->peers_known_at_ms = time_boot_ms() + PEERS_KNOWN_MS;
	parse_address(s->store_address, &store); /* checked by main */
	e->store = e->o->store->open(c->loop, &store, s->store_timeout_ms);
	c->started_ms = time_now_ms();
	c->load_relay = load_relay_new();
	c->sync = store_sync_new(e, c->loop);
	c->discovery = discovery_new(e, c->loop);
	c->causes_store = causes_store_new(e, c->loop);
	c->holders_store = holders_store_new(e, c->loop, c->causes_store);
	c->versions_store = versions_store_new(e);
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
	/* First cancel calls in progress, whose callbacks use the modules. */
	if (c->e->store)
		c->e->o->store->close(c->e->store);
	if (c->sync)
		store_sync_free(c->sync);
	if (c->discovery)
		discovery_free(c->discovery);
	if (c->holders_store)
		holders_store_free(c->holders_store);
	if (c->versions_store)
		versions_store_free(c->versions_store);
	if (c->causes_store)
		causes_store_free(c->causes_store);
	if (c->load_relay)
		load_relay_free(c->load_relay);
	if (c->member)
		member_free(c->member);
	if (c->member_fd >= 0)
		close(c->member_fd);
	if (c->loads_fd >= 0)
		close(c->loads_fd);
	g_hash_table_unref(c->seeds);
	defer_fini(c->loop);
	ev_loop_destroy(c->loop);
	g_free(c);
}
