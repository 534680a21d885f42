/* What nodes tell each other beside membership: loads, and the store's news. */
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>

#include "entry/control.h"

/* Behind each message, as membership seals its own. */
#define SEAL_BYTES crypto_auth_BYTES
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

/* A message as it is sent; n is 0 when there is none. */
struct sealed {
	char p[DATAGRAM_BYTES];
	size_t n;
};

static void seal(const struct control *c, struct peer_message *m,
		 struct sealed *out)
{
	XDR x;

	out->n = 0;
	xdrmem_create(&x, out->p, sizeof(out->p) - SEAL_BYTES, XDR_ENCODE);
	if (c->keyed && xdr_peer_message(&x, m))
		out->n = xdr_getpos(&x);
	xdr_destroy(&x);
	if (!out->n)
		return;
	crypto_auth((uint8_t *)out->p + out->n, (uint8_t *)out->p, out->n,
		    c->key);
	out->n += SEAL_BYTES;
}

static void send_sealed(const struct control *c, const struct sockaddr_in *to,
			const struct sealed *s)
{
	/* A message that can't be sent counts as one that was lost. */
	if (s->n && sendto(c->loads_fd, s->p, s->n, MSG_DONTWAIT,
			   (const struct sockaddr *)to, sizeof(*to)) > 0)
		metric_add(M_CONTROL_BYTES_SENT_TOTAL,
			   (int64_t)s->n + MEMBER_DATAGRAM_BYTES);
}

static void send_peer(const struct control *c, const struct sockaddr_in *to,
		      struct peer_message *m)
{
	struct sealed s;

	seal(c, m, &s);
	send_sealed(c, to, &s);
}

static void answer(struct control *c, const struct sockaddr_in *from,
		   const struct store_ask *ask)
{
	struct peer_message m = {.kind = PEER_WORD};
	struct target_news news[TARGETS_TOLD_MAX];

	store_sync_answer(c->sync, ask, &m.peer_message_u.word, news);
	send_peer(c, from, &m);
}

static void take_loads(struct control *c, const struct load_news *m)
{
	loads_receive(c->e->loads, time_boot_ms(), m);
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
		store_sync_apply_answer(c->sync, &m.peer_message_u.word);
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
			   n + MEMBER_DATAGRAM_BYTES);
		take_peer(c, &from, p, (size_t)n);
		len = sizeof(from);
	}
}

/* Pause between load datagrams to all peers. */
static int64_t tell_pause_ms(size_t peers)
{
	return MAX(TELL_MS, (int64_t)peers * 1000 / DATAGRAMS_S);
}

void peers_send_loads(struct control *c, const struct peer_list *l,
		      int64_t now_ms)
{
	uint64_t self = member_id(c->e->control_set.node_name);
	struct load_entry entries[LOADS_ENTRIES_MAX];
	struct held_entry held[HELD_MAX];
	struct peer_message m = {.kind = PEER_LOADS};
	struct sealed s;

	if (now_ms < c->tell_at_ms && !loads_serving_unsent(c->e->loads))
		return;
	c->tell_at_ms = now_ms + tell_pause_ms(l->n);
	loads_set_send_interval(c->e->loads, tell_pause_ms(l->n));
	if (!loads_next_report(c->e->loads, now_ms, &m.peer_message_u.loads,
			       entries))
		return;
	m.peer_message_u.loads.held.held_val = held;
	m.peer_message_u.loads.held.held_len =
		(u_int)holds_next(c->e->holds, held);
	seal(c, &m, &s);
	for (size_t i = 0; i < l->n; i++)
		if (l->v[i].id != self)
			send_sealed(c, &l->v[i].loads, &s);
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
	store_sync_set_reader(c->sync, reader || !k);
	discovery_set_reader(c->discovery, reader || !k);
	holders_store_set_writer(c->holders_store, !k || top[0] == self);
	if (reader || !k)
		return;
	m.peer_message_u.ask.asked_ms = now_ms;
	m.peer_message_u.ask.targets_hash = store_sync_targets_hash(c->sync);
	send_peer(c, &find_peer(l, top[c->turn++ % k])->loads, &m);
}
