/*
 * Messages between nodes in addition to the membership protocol: load reports,
 * and queries about the state of the store. Runs on the control thread.
 */
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>

#include "entry/control.h"

/* Nodes of a large fleet that a node sends an update to. */
#define UPDATE_FANOUT 4
/* Length of the authentication code at the end of each datagram. */
#define MAC_BYTES crypto_auth_BYTES
/* Interval of load reports, unless LOAD_DATAGRAMS_PER_S makes it longer. */
#define SEND_INTERVAL_MIN_MS 100
/* Limit of the load datagrams that a node sends: some 1% of a small core. */
#define LOAD_DATAGRAMS_PER_S 100
/*
 * Interval of the queries of a node that is no reader, and their least number
 * within the drain time of a target.
 */
#define QUERY_INTERVAL_MS 400
/* A relay's view adds to the age of those that rely on it. */
#define RELAY_QUERY_INTERVAL_MS 200
#define QUERIES_PER_DRAIN       5
/* Fleets with more nodes exchange their loads over relays. */
#define DIRECT_LOADS_NODES_MAX 24
/* Interval of the reports to a relay, and of the sums between relays. */
#define LOAD_REPORT_INTERVAL_MS 150
/* Without a total for this long the node changes to its next relay. */
#define LOAD_TOTAL_MISSING_MS 600

/* An encoded message with its authentication code; n is 0 on failure. */
struct datagram {
	char p[DATAGRAM_BYTES];
	size_t n;
};

static void encode_datagram(const struct control *c, struct peer_message *m,
			    struct datagram *out)
{
	XDR x;

	out->n = 0;
	xdrmem_create(&x, out->p, sizeof(out->p) - MAC_BYTES, XDR_ENCODE);
	if (c->has_key && xdr_peer_message(&x, m))
		out->n = xdr_getpos(&x);
	xdr_destroy(&x);
	if (!out->n)
		return;
	crypto_auth((uint8_t *)out->p + out->n, (uint8_t *)out->p, out->n,
		    c->key);
	out->n += MAC_BYTES;
}

static void send_datagram(const struct control *c, const struct sockaddr_in *to,
			  const struct datagram *d)
{
	/* The protocol tolerates lost messages, so failures are ignored. */
	if (d->n && sendto(c->loads_fd, d->p, d->n, MSG_DONTWAIT,
			   (const struct sockaddr *)to, sizeof(*to)) > 0)
		metric_add(M_CONTROL_BYTES_SENT_TOTAL,
			   (int64_t)d->n + MEMBER_IP_UDP_HEADER_BYTES);
}

void peers_send_message(const struct control *c, const struct sockaddr_in *to,
			struct peer_message *m)
{
	struct datagram d;

	encode_datagram(c, m, &d);
	send_datagram(c, to, &d);
}

/* Send to all other nodes; return their number. */
static size_t send_to_all(const struct control *c, const struct peer_list *l,
			  struct peer_message *m)
{
	uint64_t self = member_id(c->e->control_settings.node_name);
	struct datagram d;
	size_t n = 0;

	encode_datagram(c, m, &d);
	for (size_t i = 0; i < l->n; i++) {
		if (l->v[i].id == self)
			continue;
		send_datagram(c, &l->v[i].report_address, &d);
		n++;
	}
	return n;
}

size_t peers_send_to_some(const struct control *c, const struct peer_list *l,
			  size_t count, struct peer_message *m)
{
	uint64_t self = member_id(c->e->control_settings.node_name);
	struct datagram d;
	size_t n = 0;

	encode_datagram(c, m, &d);
	for (size_t i = 0; i < count; i++) {
		const struct entry_peer *p =
			&l->v[g_random_int_range(0, (gint32)l->n)];

		if (p->id == self)
			continue;
		send_datagram(c, &p->report_address, &d);
		n++;
	}
	return n;
}

size_t peers_send_update(const struct control *c, const struct peer_list *l,
			 struct peer_message *m)
{
	if (l->n > DIRECT_UPDATE_NODES_MAX)
		return peers_send_to_some(c, l, UPDATE_FANOUT, m);
	return send_to_all(c, l, m);
}

static void answer_query(struct control *c, const struct sockaddr_in *from,
			 const struct store_query *query)
{
	struct peer_message m = {.kind = PEER_STORE_ANSWER};
	struct target_update updates[TARGET_UPDATES_MAX];

	store_sync_answer(c->sync, query, &m.peer_message_u.answer, updates);
	peers_send_message(c, from, &m);
}

static void send_query(struct control *c, const struct sockaddr_in *to,
		       bool continued)
{
	struct peer_message m = {.kind = PEER_STORE_QUERY};

	store_sync_query(c->sync, time_boot_ms(), continued,
			 &m.peer_message_u.query);
	peers_send_message(c, to, &m);
}

static void send_config_query(struct control *c, const struct sockaddr_in *to)
{
	struct peer_message m = {.kind = PEER_CONFIG_QUERY};

	if (store_sync_config_query(c->sync, &m.peer_message_u.config_query))
		peers_send_message(c, to, &m);
}

static void answer_config_query(struct control *c,
				const struct sockaddr_in *from,
				const struct config_query *query)
{
	struct peer_message m = {.kind = PEER_CONFIG_CHUNK};

	if (store_sync_config_chunk(c->sync, query,
				    &m.peer_message_u.config_chunk))
		peers_send_message(c, from, &m);
}

static void apply_answer(struct control *c, const struct sockaddr_in *from,
			 const struct store_query_answer *answer)
{
	if (store_sync_apply_answer(c->sync, answer))
		send_query(c, from, true);
	/* Also goes on with a configuration of which a piece was lost. */
	send_config_query(c, from);
}

static void apply_loads(struct control *c, const struct loads_report *report)
{
	loads_receive(c->e->loads, time_boot_ms(), report);
	holders_receive(c->e->holders, report->new_holders.new_holders_val,
			report->new_holders.new_holders_len);
}

/* Whether the authentication code was made with the fleet's secret. */
static bool is_authentic(const struct control *c, const char *p, size_t n)
{
	return c->has_key && n >= MAC_BYTES &&
	       !crypto_auth_verify((const uint8_t *)p + n - MAC_BYTES,
				   (const uint8_t *)p, n - MAC_BYTES, c->key);
}

static void receive_total(struct control *c, const struct load_table *t)
{
	if (loads_receive_total(c->e->loads, t, time_boot_ms()))
		c->load_total_ms = time_boot_ms();
	else
		metric_add(M_CONTROL_MALFORMED_TOTAL, 1);
}

/* Send a table of counts in as many datagrams as it takes. */
static void send_table(struct control *c, const struct sockaddr_in *to,
		       struct peer_message *m, struct load_table *t,
		       GHashTable *counts, GHashTable *except)
{
	char bytes[LOAD_TABLE_BYTES_MAX];

	t->parts = load_table_parts(g_hash_table_size(counts));
	t->entries.entries_val = bytes;
	for (t->part = 0; t->part < t->parts; t->part++) {
		load_table_encode(counts, except, t);
		if (to)
			peers_send_message(c, to, m);
		else
			receive_total(c, t);
	}
	t->entries.entries_val = NULL;
}

/* Send a node the requests of all others; to NULL: this node itself. */
static void send_total(struct control *c, const struct sockaddr_in *to,
		       uint64_t node)
{
	struct peer_message m = {.kind = PEER_LOAD_TOTAL};
	/* First, as this may forget the node, and free its counts. */
	GHashTable *total = load_relay_total(c->load_relay, time_boot_ms());

	send_table(c, to, &m, &m.peer_message_u.load_total, total,
		   load_relay_counts_of(c->load_relay, node));
}

static void receive_table(struct control *c, const struct sockaddr_in *from,
			  bool from_relay, const struct load_table *t)
{
	if (!load_relay_receive(c->load_relay, from_relay, t, time_boot_ms()))
		metric_add(M_CONTROL_MALFORMED_TOTAL, 1);
	else if (!from_relay)
		send_total(c, from, t->node);
}

static void handle_message(struct control *c, const struct sockaddr_in *from,
			   const struct peer_message *m)
{
	switch (m->kind) {
	case PEER_LOADS:
		apply_loads(c, &m->peer_message_u.loads);
		break;
	case PEER_STORE_QUERY:
		answer_query(c, from, &m->peer_message_u.query);
		break;
	case PEER_STORE_ANSWER:
		apply_answer(c, from, &m->peer_message_u.answer);
		break;
	case PEER_CONFIG_QUERY:
		answer_config_query(c, from, &m->peer_message_u.config_query);
		break;
	case PEER_CONFIG_CHUNK:
		if (store_sync_apply_chunk(c->sync,
					   &m->peer_message_u.config_chunk))
			send_config_query(c, from);
		break;
	case PEER_LOAD_REPORT:
		receive_table(c, from, false, &m->peer_message_u.load_report);
		break;
	case PEER_LOAD_GROUP:
		receive_table(c, from, true, &m->peer_message_u.load_group);
		break;
	case PEER_LOAD_TOTAL:
		receive_total(c, &m->peer_message_u.load_total);
		break;
	case PEER_ORIGINS:
		origins_receive(c->e->origins,
				m->peer_message_u.origins.entries.entries_val,
				m->peer_message_u.origins.entries.entries_len,
				time_boot_ms());
		break;
	case PEER_ORIGIN_QUERY:
		peers_answer_origins(c, from, &m->peer_message_u.origin_query);
		break;
	case PEER_ORIGIN_ANSWER:
		peers_apply_origins(c, &m->peer_message_u.origin_answer);
		break;
	case PEER_RECORDS:
		peers_receive_records(c, &m->peer_message_u.records);
		break;
	case PEER_VERSIONS:
		peers_apply_versions(c, from, &m->peer_message_u.versions);
		break;
	}
}

static void handle_datagram(struct control *c, const struct sockaddr_in *from,
			    const char *p, size_t n)
{
	struct peer_message m;
	XDR x;

	if (!is_authentic(c, p, n)) {
		metric_add(M_CONTROL_NOT_AUTHENTIC_TOTAL, 1);
		return;
	}
	n -= MAC_BYTES;
	memset(&m, 0, sizeof(m));
	xdrmem_create(&x, (char *)p, (u_int)n, XDR_DECODE);
	if (xdr_peer_message(&x, &m))
		handle_message(c, from, &m);
	else
		metric_add(M_CONTROL_MALFORMED_TOTAL, 1);
	xdr_destroy(&x);
	xdr_free((xdrproc_t)xdr_peer_message, (char *)&m);
}

void peers_on_datagram(struct ev_loop *loop, ev_io *w, int events)
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
			   n + MEMBER_IP_UDP_HEADER_BYTES);
		handle_datagram(c, &from, p, (size_t)n);
		len = sizeof(from);
	}
}

/* Interval between load reports, by the number of peers. */
static int64_t send_interval_ms(size_t peers)
{
	return MAX(SEND_INTERVAL_MIN_MS,
		   (int64_t)peers * 1000 / LOAD_DATAGRAMS_PER_S);
}

void peers_send_loads(struct control *c, const struct peer_list *l,
		      int64_t now_ms)
{
	struct load_entry entries[LOADS_ENTRIES_MAX];
	struct prompt_holder holders[HOLDERS_PER_REPORT_MAX];
	struct peer_message m = {.kind = PEER_LOADS};

	if (now_ms < c->send_at_ms && !loads_serving_unsent(c->e->loads))
		return;
	c->send_at_ms = now_ms + send_interval_ms(l->n);
	loads_set_send_interval(c->e->loads, send_interval_ms(l->n));
	if (!loads_next_report(c->e->loads, now_ms, &m.peer_message_u.loads,
			       entries))
		return;
	m.peer_message_u.loads.new_holders.new_holders_val = holders;
	m.peer_message_u.loads.new_holders.new_holders_len =
		(u_int)holders_next_unsent(c->e->holders, holders);
	send_to_all(c, l, &m);
}

static const struct entry_peer *find_peer(const struct peer_list *l,
					  uint64_t id)
{
	for (size_t i = 0; i < l->n; i++)
		if (l->v[i].id == id)
			return &l->v[i];
	return NULL;
}

/* Return whether this node has its place in an order of nodes. */
static bool contains(const uint64_t *ids, size_t n, uint64_t id)
{
	for (size_t i = 0; i < n; i++)
		if (ids[i] == id)
			return true;
	return false;
}

/*
 * Write the ids of the nodes from which relays are chosen to ids, and return
 * their number: those that serve callers, if enough do, else all live ones.
 */
static size_t relay_candidates(struct control *c, const struct peer_list *l,
			       int64_t now_ms, uint64_t *ids)
{
	uint64_t self = member_id(c->e->control_settings.node_name);
	size_t n = 0;

	for (size_t i = 0; i < l->n; i++)
		if (l->v[i].id == self ||
		    loads_peer_is_serving(c->e->loads, l->v[i].id, now_ms))
			ids[n++] = l->v[i].id;
	if (relays_are_serving(n, l->n))
		return n;
	for (n = 0; n < l->n; n++)
		ids[n] = l->v[n].id;
	return n;
}

/* The relays of the fleet, and those that this node queries. */
struct relays {
	uint64_t all[STORE_RELAYS_MAX];
	size_t n;
	uint64_t own[STORE_READERS];
	size_t own_count;
	bool reader; /* this node is one */
	bool relay;  /* this node is one, perhaps a reader as well */
};

static void choose_relays(struct control *c, const struct peer_list *l,
			  int64_t now_ms, struct relays *out)
{
	uint64_t self = member_id(c->e->control_settings.node_name);
	uint64_t *ids = g_new(uint64_t, l->n + 1);
	size_t n = relay_candidates(c, l, now_ms, ids), readers;

	out->n = store_relays_choose(ids, n, out->all);
	g_free(ids);
	readers = MIN(out->n, STORE_READERS);
	out->reader = !out->n || contains(out->all, readers, self);
	out->relay = contains(out->all, out->n, self);
	/* A relay queries the readers, as it must not wait for another relay.
	 */
	out->own_count = store_relays_of(
		self, out->all, out->relay ? readers : out->n, out->own);
}

/* Send the sums over this relay's nodes to all other relays. */
static void send_groups(struct control *c, const struct peer_list *l,
			const struct relays *r, int64_t now_ms)
{
	uint64_t self = member_id(c->e->control_settings.node_name);
	struct peer_message m = {.kind = PEER_LOAD_GROUP};
	struct load_table *t = &m.peer_message_u.load_group;
	GHashTable *sums = load_relay_group(c->load_relay, now_ms);

	t->node = self;
	t->start = (uint64_t)c->started_ms;
	t->seq = ++c->group_seq;
	for (size_t i = 0; i < r->n; i++) {
		const struct entry_peer *p =
			r->all[i] == self ? NULL : find_peer(l, r->all[i]);

		if (p)
			send_table(c, &p->report_address, &m, t, sums, NULL);
	}
	g_hash_table_unref(sums);
}

/* Return the relay that gets this node's loads, and change it when silent. */
static const struct entry_peer *load_relay_of(struct control *c,
					      const struct peer_list *l,
					      const struct relays *r,
					      int64_t now_ms)
{
	if (now_ms - c->load_total_ms > LOAD_TOTAL_MISSING_MS) {
		c->load_relay_choice++;
		c->load_total_ms = now_ms;
	}
	return find_peer(l, r->own[c->load_relay_choice % r->own_count]);
}

void peers_relay_loads(struct control *c, const struct peer_list *l,
		       int64_t now_ms)
{
	uint64_t self = member_id(c->e->control_settings.node_name);
	struct peer_message m = {.kind = PEER_LOAD_REPORT};
	struct load_table *t = &m.peer_message_u.load_report;
	const struct entry_peer *p;
	char bytes[LOAD_TABLE_BYTES_MAX];
	struct relays r;

	if (l->n <= DIRECT_LOADS_NODES_MAX || now_ms < c->load_report_at_ms)
		return;
	c->load_report_at_ms = now_ms + LOAD_REPORT_INTERVAL_MS;
	choose_relays(c, l, now_ms, &r);
	if (!r.n)
		return;
	t->parts = 1;
	t->entries.entries_val = bytes;
	loads_own_table(c->e->loads, t);
	if (r.relay) {
		load_relay_receive(c->load_relay, false, t, now_ms);
		send_groups(c, l, &r, now_ms);
		send_total(c, NULL, self);
		return;
	}
	p = load_relay_of(c, l, &r, now_ms);
	if (p)
		peers_send_message(c, &p->report_address, &m);
}

void peers_query_relays(struct control *c, const struct peer_list *l,
			int64_t now_ms)
{
	const struct entry_peer *peer;
	struct relays r;
	bool writer;

	if (now_ms < c->query_at_ms)
		return;
	choose_relays(c, l, now_ms, &r);
	c->query_at_ms =
		now_ms +
		MIN(r.relay ? RELAY_QUERY_INTERVAL_MS : QUERY_INTERVAL_MS,
		    c->e->control_settings.bounds_drain_ms / QUERIES_PER_DRAIN);
	/* Until the other nodes are known, each is the only one to itself. */
	if (r.n <= 1 && l->n <= 1 && !control_knows_nodes(c, now_ms))
		return;
	store_sync_set_reader(c->sync, r.reader, l->n);
	discovery_set_reader(c->discovery, r.reader);
	writer =
		!r.n || r.all[0] == member_id(c->e->control_settings.node_name);
	holders_store_set_writer(c->holders_store, writer);
	causes_store_set_writer(c->causes_store, writer);
	versions_store_set_writer(c->versions_store, writer);
	if (r.reader)
		return;
	peer = find_peer(l, r.own[c->next_relay++ % r.own_count]);
	if (!peer)
		return;
	store_sync_set_queried(c->sync, peer->id);
	send_query(c, &peer->report_address, false);
}
