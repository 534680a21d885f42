/*
 * Control module: runs the membership state machine on a UDP socket and
 * publishes the merged fleet.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node/gossip.h"

#define BUFFER_BYTES             2048
#define DATAGRAMS_PER_WAKEUP_MAX 64   /* so that other modules get their turn */
#define PUBLISH_INTERVAL_MS      1000 /* at most between two fleets */
#define RETRY_INTERVAL_MS        1000 /* between tries to bind or to join */
#define KEY_CONTEXT              "auburnramp member"
/*
 * An incarnation is the start time in units since 2025-01-01, so that a
 * restarted process gets a higher one.
 */
#define INCARNATION_EPOCH_MS 1735689600000
#define INCARNATION_UNIT_MS  125

/* State of the module; control thread only. */
struct gossip {
	struct control_env *env;
	struct member *member; /* NULL: the socket is not bound */
	int fd;                /* -1: likewise */
	uint8_t key[MEMBER_KEY_BYTES];
	GHashTable *logged_states; /* node id -> state last logged, + 1 */
	uint64_t view_version;
	uint64_t listed_version;
	int64_t next_publish_ms, next_bind_ms, next_join_ms;
	int64_t bytes_sent; /* already added to the metric */
	bool minority;
	bool bind_failure_logged;
};

static bool to_sockaddr(const char *address, struct sockaddr_storage *out,
			socklen_t *len)
{
	const char *colon = strrchr(address, ':');
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;
	char *ip;
	bool ok;

	if (!colon)
		return false;
	memset(out, 0, sizeof(*out));
	ip = g_strndup(address, (gsize)(colon - address));
	v4->sin_family = AF_INET;
	v4->sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, 10));
	ok = inet_pton(AF_INET, ip, &v4->sin_addr) == 1;
	*len = sizeof(*v4);
	g_free(ip);
	return ok;
}

static void on_send(void *ctx, const char *control,
		    const struct member_message *m)
{
	struct gossip *g = ctx;
	struct sockaddr_storage to;
	uint8_t buf[BUFFER_BYTES];
	socklen_t len;
	size_t n;

	if (!to_sockaddr(control, &to, &len))
		return;
	n = member_encode(m, g->key, buf, sizeof(buf));
	/*
	 * A message that can't be sent is lost, which the protocol tolerates.
	 */
	if (n)
		(void)!sendto(g->fd, buf, n, MSG_DONTWAIT,
			      (struct sockaddr *)&to, len);
}

static uint64_t on_random(void *ctx)
{
	uint64_t r;

	(void)ctx;
	randombytes_buf(&r, sizeof(r));
	return r;
}

static int bind_udp(const char *ip, int port)
{
	struct sockaddr_storage at;
	socklen_t len;
	char *address = g_strdup_printf("%s:%d", ip, port);
	int fd = -1;

	if (to_sockaddr(address, &at, &len))
		fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
			    0);
	g_free(address);
	if (fd < 0 || !bind(fd, (struct sockaddr *)&at, len))
		return fd;
	close(fd);
	return -1;
}

/*
 * Bind the configured port or else the TCP port's number; if that fails and the
 * settings allow it, any free port.
 */
static int open_socket(const struct node *n)
{
	int port = n->set.node_control_port ? (int)n->set.node_control_port
					    : n->server.port;
	int fd = bind_udp(n->set.node_address, port);

	if (fd < 0 && n->set.node_control_any)
		fd = bind_udp(n->set.node_address, 0);
	return fd;
}

static int port_of(int fd)
{
	struct sockaddr_in at = {0};
	socklen_t len = sizeof(at);

	getsockname(fd, (struct sockaddr *)&at, &len);
	return ntohs(at.sin_port);
}

static void load_key(struct gossip *g)
{
	const char *path = g->env->node->set.node_secret_file;
	char *text = *path ? secret_read(path) : NULL;

	/* Without a secret file this is a test fleet, with a well-known key. */
	if (!text)
		text = g_strdup("");
	crypto_generichash(g->key, sizeof(g->key), (uint8_t *)KEY_CONTEXT,
			   strlen(KEY_CONTEXT), (uint8_t *)text,
			   MIN(strlen(text), crypto_generichash_KEYBYTES_MAX));
	secret_free(text);
}

static void start_member(struct gossip *g)
{
	struct node *n = g->env->node;
	char *control =
		g_strdup_printf("%s:%d", n->set.node_address, port_of(g->fd));
	struct member_options o = {
		.self = {n->set.node_name, n->address, control,
			 n->set.node_zone, n->set.node_region},
		.incarnation =
			(uint32_t)((time_now_ms() - INCARNATION_EPOCH_MS) /
				   INCARNATION_UNIT_MS),
		.budget_bytes_s = n->set.node_control_budget,
		.callbacks = {g, on_send, on_random},
	};

	g->member = member_new(&o, time_mono_ms());
	n->member = g->member;
	g_free(control);
}

static void try_bind(struct gossip *g, int64_t now_ms)
{
	if (now_ms < g->next_bind_ms)
		return;
	g->next_bind_ms = now_ms + RETRY_INTERVAL_MS;
	g->fd = open_socket(g->env->node);
	if (g->fd >= 0) {
		start_member(g);
		return;
	}
	if (!g->bind_failure_logged)
		log_event(EV_CONTROL_UNBOUND, "error=\"%s\"",
			  g_strerror(errno));
	g->bind_failure_logged = true;
}

static void *start(struct control_env *env)
{
	struct gossip *g = g_new0(struct gossip, 1);

	g->env = env;
	g->fd = -1;
	g->logged_states = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	load_key(g);
	try_bind(g, time_mono_ms());
	return g;
}

static void receive_datagram(struct gossip *g, const uint8_t *buf, size_t n)
{
	struct member_message msg;

	metric_add(M_CONTROL_BYTES_RECEIVED_TOTAL,
		   (int64_t)n + MEMBER_IP_UDP_HEADER_BYTES);
	switch (member_decode(buf, n, g->key, &msg)) {
	case MEMBER_DECODED:
		member_receive(g->member, time_mono_ms(), &msg);
		member_message_clear(&msg);
		return;
	case MEMBER_MALFORMED:
		metric_add(M_CONTROL_MALFORMED_TOTAL, 1);
		return;
	case MEMBER_NOT_AUTHENTIC:
		metric_add(M_CONTROL_NOT_AUTHENTIC_TOTAL, 1);
		return;
	}
}

static void readable(void *ctx)
{
	struct gossip *g = ctx;
	uint8_t buf[BUFFER_BYTES];

	for (int i = 0; i < DATAGRAMS_PER_WAKEUP_MAX; i++) {
		ssize_t n = recv(g->fd, buf, sizeof(buf), MSG_DONTWAIT);

		if (n < 0)
			return;
		receive_datagram(g, buf, (size_t)n);
	}
}

static int fd_of(void *ctx)
{
	return ((struct gossip *)ctx)->fd;
}

/* Pass the platform's instance list to the membership. */
static void merge_listed(struct gossip *g, int64_t now_ms)
{
	const struct fleet *f = g->env->node->listed_fleet;
	struct member_info *infos = g_new0(struct member_info, f->peers->len);

	for (guint i = 0; i < f->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(f->peers, i);

		infos[i] = (struct member_info){p->name, p->address, p->control,
						p->zone, p->region};
	}
	member_merge_instances(g->member, now_ms, infos, f->peers->len);
	g_free(infos);
}

/* Join through the peers of the settings while no other node is known. */
static void join_configured_peers(struct gossip *g, int64_t now_ms)
{
	char **names;

	if (now_ms < g->next_join_ms || member_count(g->member) > 1)
		return;
	g->next_join_ms = now_ms + RETRY_INTERVAL_MS;
	names = g_strsplit(g->env->node->set.node_peers, ",", -1);
	for (char **s = names; *s; s++) {
		if (*g_strstrip(*s))
			member_join(g->member, *s);
	}
	g_strfreev(names);
}

static const enum log_event_id state_events[] = {
	[MEMBER_LIVE] = EV_NODE_SEEN,
	[MEMBER_SUSPECT] = EV_NODE_SUSPECTED,
	[MEMBER_LEFT] = EV_NODE_LEFT,
	[MEMBER_DEAD] = EV_NODE_LOST,
};

/* Log each node whose state has changed, and changes of the majority. */
static void log_changes(struct gossip *g)
{
	bool minority = member_is_minority(g->member);

	for (size_t i = 0; i < member_count(g->member); i++) {
		const struct member_peer *p = member_at(g->member, i);
		gpointer state = GINT_TO_POINTER(p->state + 1);

		/* Listed, but no message from it has arrived yet. */
		if (!p->incarnation && p->state == MEMBER_LIVE)
			continue;
		if (g_hash_table_lookup(g->logged_states, &p->id) == state)
			continue;
		g_hash_table_replace(g->logged_states,
				     g_memdup2(&p->id, sizeof(p->id)), state);
		log_event(state_events[p->state], "node=%s incarnation=%u",
			  p->info.name, p->incarnation);
	}
	if (minority != g->minority)
		log_event(minority ? EV_MINORITY_SEEN : EV_MAJORITY_SEEN,
			  "nodes=%zu", member_count(g->member));
	g->minority = minority;
}

static void publish(struct gossip *g, int64_t now_ms)
{
	struct node *n = g->env->node;
	bool changed = g->listed_version != n->listed_version ||
		       g->view_version != member_view_version(g->member);

	if (!n->listed_fleet || (!changed && now_ms < g->next_publish_ms))
		return;
	if (g->listed_version != n->listed_version)
		merge_listed(g, now_ms);
	g->next_publish_ms = now_ms + PUBLISH_INTERVAL_MS;
	g->listed_version = n->listed_version;
	if (g->view_version != member_view_version(g->member))
		log_changes(g);
	g->view_version = member_view_version(g->member);
	node_set_fleet(n, fleet_merge(n->listed_fleet, g->member, now_ms));
}

/* Pass the observations that other threads have queued to the membership. */
static void deliver_observations(struct gossip *g, int64_t now_ms)
{
	struct target_event *e;

	while ((e = g_async_queue_try_pop(g->env->node->target_events))) {
		member_observe_target(g->member, now_ms, e->target,
				      e->observation);
		g_free(e->target);
		g_free(e);
	}
}

/* Report the revision in force, and store the newest one that is reported. */
static void exchange_revision(struct gossip *g)
{
	struct node *n = g->env->node;
	struct config *c = node_config(n);

	if (c)
		member_set_revision(g->member, c->revision);
	config_unref(c);
	atomic_store(&n->reported_revision, member_revision(g->member));
}

static void count_bytes(struct gossip *g)
{
	int64_t sent = member_bytes_sent(g->member);

	metric_add(M_CONTROL_BYTES_SENT_TOTAL, sent - g->bytes_sent);
	g->bytes_sent = sent;
}

static void tick(void *ctx, int64_t now_ms)
{
	struct gossip *g = ctx;
	struct node *n = g->env->node;

	if (!g->member)
		try_bind(g, now_ms);
	if (!g->member) {
		/*
		 * Without a socket there is no membership: the fleet is the
		 * platform's list.
		 */
		if (n->listed_fleet && g->listed_version != n->listed_version)
			node_set_fleet(n, fleet_ref(n->listed_fleet));
		g->listed_version = n->listed_version;
		return;
	}
	deliver_observations(g, now_ms);
	if (atomic_load(&n->leaving))
		member_leave(g->member);
	join_configured_peers(g, now_ms);
	exchange_revision(g);
	member_set_load(g->member, ENTRY_POOL, atomic_load(&n->running), 1);
	member_tick(g->member, now_ms);
	publish(g, now_ms);
	count_bytes(g);
}

static void stop(void *ctx)
{
	struct gossip *g = ctx;

	if (g->member) {
		member_stop(g->member);
		g->env->node->member = NULL;
		member_free(g->member);
		close(g->fd);
	}
	g_hash_table_unref(g->logged_states);
	g_free(g);
}

const struct control_module gossip_module = {
	.start = start,
	.tick = tick,
	.fd = fd_of,
	.readable = readable,
	.stop = stop,
};
