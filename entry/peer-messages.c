/*
 * Messages between nodes in addition to the membership protocol: load reports,
 * and queries about the state of the store. Runs on the control thread.
 */
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>

#include "entry/control.h"

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
#define QUERIES_PER_DRAIN 5

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

static void send_message(const struct control *c, const struct sockaddr_in *to,
			 struct peer_message *m)
{
	struct datagram d;

	encode_datagram(c, m, &d);
	send_datagram(c, to, &d);
}

static void answer_query(struct control *c, const struct sockaddr_in *from,
			 const struct store_query *query)
{
	struct peer_message m = {.kind = PEER_STORE_ANSWER};
	struct target_update updates[TARGET_UPDATES_MAX];

	store_sync_answer(c->sync, query, &m.peer_message_u.answer, updates);
	send_message(c, from, &m);
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
	if (!xdr_peer_message(&x, &m))
		metric_add(M_CONTROL_MALFORMED_TOTAL, 1);
	else if (m.kind == PEER_LOADS)
		apply_loads(c, &m.peer_message_u.loads);
	else if (m.kind == PEER_STORE_QUERY)
		answer_query(c, from, &m.peer_message_u.query);
	else
		store_sync_apply_answer(c->sync, &m.peer_message_u.answer);
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
	uint64_t self = member_id(c->e->control_settings.node_name);
	struct load_entry entries[LOADS_ENTRIES_MAX];
	struct prompt_holder holders[HOLDERS_PER_REPORT_MAX];
	struct peer_message m = {.kind = PEER_LOADS};
	struct datagram d;

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
	encode_datagram(c, &m, &d);
	for (size_t i = 0; i < l->n; i++)
		if (l->v[i].id != self)
			send_datagram(c, &l->v[i].report_address, &d);
}

static const struct entry_peer *find_peer(const struct peer_list *l,
					  uint64_t id)
{
	for (size_t i = 0; i < l->n; i++)
		if (l->v[i].id == id)
			return &l->v[i];
	return NULL;
}

void peers_query_readers(struct control *c, const struct peer_list *l,
			 int64_t now_ms)
{
	uint64_t self = member_id(c->e->control_settings.node_name);
	struct peer_message m = {.kind = PEER_STORE_QUERY};
	uint64_t *ids, readers[STORE_READERS];
	bool reader = false;
	size_t n = 0, k;

	if (now_ms < c->query_at_ms)
		return;
	c->query_at_ms = now_ms + MIN(QUERY_INTERVAL_MS,
				      c->e->control_settings.bounds_drain_ms /
					      QUERIES_PER_DRAIN);
	ids = g_new(uint64_t, l->n + 1);
	for (size_t i = 0; i < l->n; i++)
		if (l->v[i].id == self ||
		    loads_peer_is_serving(c->e->loads, l->v[i].id, now_ms))
			ids[n++] = l->v[i].id;
	/*
	 * Shortly after the start few load reports have arrived: choose among
	 * all live nodes instead.
	 */
	if (n <= STORE_READERS && now_ms < c->peers_known_at_ms)
		for (n = 0; n < l->n; n++)
			ids[n] = l->v[n].id;
	k = store_readers_choose(ids, n, readers);
	g_free(ids);
	for (size_t i = 0; i < k; i++)
		reader |= readers[i] == self;
	store_sync_set_reader(c->sync, reader || !k);
	discovery_set_reader(c->discovery, reader || !k);
	holders_store_set_writer(c->holders_store, !k || readers[0] == self);
	if (reader || !k)
		return;
	m.peer_message_u.query.sent_ms = now_ms;
	m.peer_message_u.query.targets_hash = store_sync_targets_hash(c->sync);
	send_message(
		c, &find_peer(l, readers[c->next_reader++ % k])->report_address,
		&m);
}
