/* Pings, pings by way of helpers, and what follows from their answers. */
#include <string.h>

#include "member/internal.h"

/* Probes that fail without word from any helper before suspicion. */
#define UNHEARD_MAX 5
/* After a ping that the budget did not allow. */
#define RETRY_MS 100

void probe_abandon(struct member *m)
{
	memset(&m->probe, 0, sizeof(m->probe));
	memset(m->relays, 0, sizeof(m->relays));
}

/* A new order of all members; each is probed once in it. */
static void shuffle_ring(struct member *m)
{
	uint64_t *id;

	g_array_set_size(m->ring, 0);
	for (guint i = 0; i < m->peers->len; i++) {
		struct node_entry *e = g_ptr_array_index(m->peers, i);

		if (e != m->self && peers_is_up(e))
			g_array_append_val(m->ring, e->seen.id);
	}
	id = (uint64_t *)(void *)m->ring->data;
	for (guint i = m->ring->len; i > 1; i--) {
		guint j = (guint)member_random(m, i);
		uint64_t t = id[i - 1];

		id[i - 1] = id[j];
		id[j] = t;
	}
	m->ring_at = 0;
}

static struct node_entry *next_in_ring(struct member *m)
{
	for (int round = 0; round < 2; round++) {
		while (m->ring_at < m->ring->len) {
			uint64_t id =
				g_array_index(m->ring, uint64_t, m->ring_at++);
			struct node_entry *e = peers_find(m, id);

			if (e && peers_is_up(e))
				return e;
		}
		shuffle_ring(m);
	}
	return NULL;
}

static bool ping(struct member *m, struct node_entry *e, uint32_t seq)
{
	return news_send(m, e, e->seen.info.control, MEMBER_PING, seq, 0);
}

static void begin(struct member *m, struct node_entry *e)
{
	m->probe = (struct probe){
		.id = e->seen.id,
		.seq = ++m->seq,
		.direct_until_ms = m->now_ms + DIRECT_MS,
		.until_ms = m->now_ms + PROBE_PERIOD_MS,
	};
	if (ping(m, e, m->probe.seq))
		return;
	/* No credit; the member is still next. */
	m->probe.id = 0;
	m->probe_ms = m->now_ms + RETRY_MS;
	m->ring_at--;
}

/* Ask others; the direct way is tried once more, as messages get lost. */
static void ask_helpers(struct member *m)
{
	struct probe *p = &m->probe;
	struct node_entry *e = peers_find(m, p->id);

	p->asked = true;
	if (!e)
		return;
	ping(m, e, p->seq);
	for (int i = 0; i < HELPERS; i++) {
		struct node_entry *h = peers_pick(m, p->id);

		if (h && news_send(m, h, h->seen.info.control, MEMBER_PROBE,
				   p->seq, p->id))
			p->helpers++;
	}
}

/*
 * No answer came. Without word from a helper the fault may as well lie with
 * this node, so it takes several such failures.
 */
static void fail(struct member *m)
{
	struct probe p = m->probe;
	struct node_entry *e = peers_find(m, p.id);

	m->probe.id = 0;
	if (!e || !peers_is_up(e))
		return;
	e->unheard++;
	if (p.nacks || !p.helpers || e->unheard >= UNHEARD_MAX)
		peers_suspect(m, e);
	else if (m->ring_at > 0)
		/* Again in the next period. */
		g_array_index(m->ring, uint64_t, --m->ring_at) = p.id;
}

static void check_probe(struct member *m)
{
	struct probe *p = &m->probe;

	if (!p->id)
		return;
	if (m->now_ms >= p->until_ms)
		fail(m);
	else if (!p->asked && m->now_ms >= p->direct_until_ms)
		ask_helpers(m);
}

static void check_relays(struct member *m)
{
	for (int i = 0; i < RELAYS_MAX; i++) {
		struct relay_probe *r = &m->relays[i];
		struct node_entry *e;

		if (!r->seq || m->now_ms < r->until_ms)
			continue;
		e = peers_find(m, r->asker);
		if (e)
			news_send(m, e, e->seen.info.control, MEMBER_NACK,
				  r->asker_seq, r->subject);
		r->seq = 0;
	}
}

/* Dead members are tried at times: a cut may have ended. */
static void reconnect(struct member *m)
{
	bool merging = m->now_ms < m->merging_until_ms;
	struct node_entry *e;

	if (m->now_ms < m->reconnect_ms)
		return;
	m->reconnect_ms = m->now_ms + (merging ? MERGE_MS : RECONNECT_MS);
	e = peers_pick_dead(m);
	if (e)
		ping(m, e, ++m->seq);
}

void probe_tick(struct member *m)
{
	struct node_entry *e;

	check_probe(m);
	check_relays(m);
	reconnect(m);
	if (m->probe.id || m->now_ms < m->probe_ms)
		return;
	m->probe_ms = m->now_ms + PROBE_PERIOD_MS;
	e = next_in_ring(m);
	if (e)
		begin(m, e);
}

/* Ping the subject for the one who asks. */
static void help(struct member *m, struct node_entry *from,
		 const struct member_message *msg)
{
	struct node_entry *e = peers_find(m, msg->subject);

	for (int i = 0; e && i < RELAYS_MAX; i++) {
		struct relay_probe *r = &m->relays[i];

		if (r->seq)
			continue;
		*r = (struct relay_probe){from->seen.id, msg->seq, e->seen.id,
					  ++m->seq, m->now_ms + INDIRECT_MS};
		ping(m, e, r->seq);
		return;
	}
}

static void pass_on(struct member *m, const struct member_message *msg)
{
	for (int i = 0; i < RELAYS_MAX; i++) {
		struct relay_probe *r = &m->relays[i];
		struct node_entry *e;

		if (!r->seq || r->seq != msg->seq || r->subject != msg->from)
			continue;
		r->seq = 0;
		e = peers_find(m, r->asker);
		if (e)
			news_send(m, e, e->seen.info.control, MEMBER_ACK,
				  r->asker_seq, r->subject);
	}
}

static bool is_current(const struct member *m, const struct member_message *msg)
{
	return m->probe.id && msg->seq == m->probe.seq &&
	       msg->subject == m->probe.id;
}

static void answered(struct member *m, const struct member_message *msg)
{
	struct node_entry *e = peers_find(m, msg->subject);

	if (is_current(m, msg)) {
		m->probe.id = 0;
		if (e)
			e->unheard = 0;
	}
	if (msg->subject == msg->from)
		pass_on(m, msg);
}

void probe_receive(struct member *m, struct node_entry *from,
		   const struct member_message *msg)
{
	switch (msg->kind) {
	case MEMBER_PING:
		news_send(m, from, from->seen.info.control, MEMBER_ACK,
			  msg->seq, m->self->seen.id);
		return;
	case MEMBER_ACK:
		answered(m, msg);
		return;
	case MEMBER_PROBE:
		help(m, from, msg);
		return;
	case MEMBER_NACK:
		if (is_current(m, msg))
			m->probe.nacks++;
		return;
	case MEMBER_NEWS:
		return;
	}
}
