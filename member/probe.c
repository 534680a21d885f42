/*
 * Failure detection: direct pings, pings by way of relays, and the suspicion
 * that follows when both fail. Also pings to dead members, which end a network
 * partition.
 */
#include <string.h>

#include "member/internal.h"

/* Failed probes in a row before suspicion when no relay answers either. */
#define UNCONFIRMED_FAILURES_MAX 5
/* Delay after a ping that the send budget did not allow. */
#define PROBE_RETRY_MS 100

void probe_cancel_all(struct member *m)
{
	memset(&m->probe, 0, sizeof(m->probe));
	memset(m->relayed_pings, 0, sizeof(m->relayed_pings));
}

/*
 * Begin a round: a new random order in which each member is probed once, which
 * bounds the time until a failed one is probed.
 */
static void shuffle_probe_order(struct member *m)
{
	uint64_t *id;

	g_array_set_size(m->probe_order, 0);
	for (guint i = 0; i < m->peers->len; i++) {
		struct node_entry *e = g_ptr_array_index(m->peers, i);

		if (e != m->self && peers_is_up(e))
			g_array_append_val(m->probe_order, e->peer.id);
	}
	id = (uint64_t *)(void *)m->probe_order->data;
	for (guint i = m->probe_order->len; i > 1; i--) {
		guint j = (guint)member_random(m, i);
		uint64_t t = id[i - 1];

		id[i - 1] = id[j];
		id[j] = t;
	}
	m->probe_next = 0;
}

static struct node_entry *next_to_probe(struct member *m)
{
	for (int round = 0; round < 2; round++) {
		while (m->probe_next < m->probe_order->len) {
			uint64_t id = g_array_index(m->probe_order, uint64_t,
						    m->probe_next++);
			struct node_entry *e = peers_find(m, id);

			if (e && peers_is_up(e))
				return e;
		}
		shuffle_probe_order(m);
	}
	return NULL;
}

static bool ping(struct member *m, struct node_entry *e, uint32_t seq)
{
	return gossip_send(m, e, e->peer.info.control, MEMBER_PING, seq, 0);
}

static void start_probe(struct member *m, struct node_entry *e)
{
	m->probe = (struct probe){
		.subject = e->peer.id,
		.seq = ++m->seq,
		.direct_deadline_ms = m->now_ms + PING_TIMEOUT_MS,
		.deadline_ms = m->now_ms + PROBE_PERIOD_MS,
	};
	if (ping(m, e, m->probe.seq))
		return;
	/* The budget did not allow the ping: probe the same member next. */
	m->probe.subject = 0;
	m->next_probe_ms = m->now_ms + PROBE_RETRY_MS;
	m->probe_next--;
}

/*
 * Ask random members to ping the subject. Ping it directly once more too, as
 * the first ping or its ack may have been lost.
 */
static void send_ping_reqs(struct member *m)
{
	struct probe *p = &m->probe;
	struct node_entry *e = peers_find(m, p->subject);

	p->is_indirect = true;
	if (!e)
		return;
	ping(m, e, p->seq);
	for (int i = 0; i < PING_REQ_FANOUT; i++) {
		struct node_entry *relay = peers_pick(m, p->subject);

		if (relay && gossip_send(m, relay, relay->peer.info.control,
					 MEMBER_PING_REQ, p->seq, p->subject))
			p->relays_asked++;
	}
}

/*
 * Suspect the member if a relay sent a nack or no relay could be asked. When
 * no relay answers, the fault may lie with this node's own network, so
 * suspicion takes UNCONFIRMED_FAILURES_MAX failed probes.
 */
static void on_probe_failed(struct member *m)
{
	struct probe p = m->probe;
	struct node_entry *e = peers_find(m, p.subject);

	m->probe.subject = 0;
	if (!e || !peers_is_up(e))
		return;
	e->failed_probes++;
	if (p.nacks || !p.relays_asked ||
	    e->failed_probes >= UNCONFIRMED_FAILURES_MAX)
		peers_suspect(m, e);
	else if (m->probe_next > 0)
		/* Probe it again in the next period. */
		g_array_index(m->probe_order, uint64_t, --m->probe_next) =
			p.subject;
}

static void check_probe(struct member *m)
{
	struct probe *p = &m->probe;

	if (!p->subject)
		return;
	if (m->now_ms >= p->deadline_ms)
		on_probe_failed(m);
	else if (!p->is_indirect && m->now_ms >= p->direct_deadline_ms)
		send_ping_reqs(m);
}

/* Send a nack for each relayed ping that timed out. */
static void expire_relayed_pings(struct member *m)
{
	for (int i = 0; i < RELAYED_PINGS_MAX; i++) {
		struct relayed_ping *r = &m->relayed_pings[i];
		struct node_entry *e;

		if (!r->seq || m->now_ms < r->deadline_ms)
			continue;
		e = peers_find(m, r->requester);
		if (e)
			gossip_send(m, e, e->peer.info.control, MEMBER_NACK,
				    r->requester_seq, r->subject);
		r->seq = 0;
	}
}

/* Ping a dead member periodically: a network partition may have ended. */
static void ping_dead_member(struct member *m)
{
	bool merging = m->now_ms < m->merging_ends_ms;
	struct node_entry *e;

	if (m->now_ms < m->next_reconnect_ms)
		return;
	m->next_reconnect_ms = m->now_ms + (merging ? MERGE_RECONNECT_PERIOD_MS
						    : RECONNECT_PERIOD_MS);
	e = peers_pick_dead(m);
	if (e)
		ping(m, e, ++m->seq);
}

void probe_tick(struct member *m)
{
	struct node_entry *e;

	check_probe(m);
	expire_relayed_pings(m);
	ping_dead_member(m);
	if (m->probe.subject || m->now_ms < m->next_probe_ms)
		return;
	m->next_probe_ms = m->now_ms + PROBE_PERIOD_MS;
	e = next_to_probe(m);
	if (e)
		start_probe(m, e);
}

/*
 * Ping the subject on behalf of the sender. Without a free slot the request is
 * dropped.
 */
static void relay_ping(struct member *m, struct node_entry *from,
		       const struct member_message *msg)
{
	struct node_entry *e = peers_find(m, msg->subject);

	for (int i = 0; e && i < RELAYED_PINGS_MAX; i++) {
		struct relayed_ping *r = &m->relayed_pings[i];

		if (r->seq)
			continue;
		*r = (struct relayed_ping){from->peer.id, msg->seq, e->peer.id,
					   ++m->seq,
					   m->now_ms + RELAYED_PING_TIMEOUT_MS};
		ping(m, e, r->seq);
		return;
	}
}

/* Forward an ack to the member that asked for the ping. */
static void forward_ack(struct member *m, const struct member_message *msg)
{
	for (int i = 0; i < RELAYED_PINGS_MAX; i++) {
		struct relayed_ping *r = &m->relayed_pings[i];
		struct node_entry *e;

		if (!r->seq || r->seq != msg->seq || r->subject != msg->from)
			continue;
		r->seq = 0;
		e = peers_find(m, r->requester);
		if (e)
			gossip_send(m, e, e->peer.info.control, MEMBER_ACK,
				    r->requester_seq, r->subject);
	}
}

static bool is_current_probe(const struct member *m,
			     const struct member_message *msg)
{
	return m->probe.subject && msg->seq == m->probe.seq &&
	       msg->subject == m->probe.subject;
}

static void on_ack(struct member *m, const struct member_message *msg)
{
	struct node_entry *e = peers_find(m, msg->subject);

	if (is_current_probe(m, msg)) {
		m->probe.subject = 0;
		if (e)
			e->failed_probes = 0;
	}
	if (msg->subject == msg->from)
		forward_ack(m, msg);
}

void probe_receive(struct member *m, struct node_entry *from,
		   const struct member_message *msg)
{
	switch (msg->kind) {
	case MEMBER_PING:
		gossip_send(m, from, from->peer.info.control, MEMBER_ACK,
			    msg->seq, m->self->peer.id);
		return;
	case MEMBER_ACK:
		on_ack(m, msg);
		return;
	case MEMBER_PING_REQ:
		relay_ping(m, from, msg);
		return;
	case MEMBER_NACK:
		if (is_current_probe(m, msg))
			m->probe.nacks++;
		return;
	case MEMBER_GOSSIP:
		return;
	}
}
