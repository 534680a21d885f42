/* The public calls of the state machine, its timers, and received messages. */
#include <string.h>

#include "member/internal.h"

/* Random members that member_stop sends the departure to. */
#define LEAVE_FANOUT 3

struct member *member_new(const struct member_options *o, int64_t now_ms)
{
	struct member *m = g_new0(struct member, 1);

	m->cb = o->callbacks;
	m->budget_bytes_s = o->budget_bytes_s;
	m->now_ms = now_ms;
	m->last_call_ms = now_ms;
	m->peers = g_ptr_array_new_with_free_func(peers_free);
	m->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	m->probe_order = g_array_new(false, false, sizeof(uint64_t));
	m->updates = g_ptr_array_new();
	m->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   targets_free);
	m->shares = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  g_free);
	m->self = peers_add(m, &o->self, MAX(o->incarnation, 1));
	/* Random phases, so that nodes started together don't send in step. */
	m->next_probe_ms = now_ms + (int64_t)member_random(m, PROBE_PERIOD_MS);
	m->next_gossip_ms =
		now_ms + (int64_t)member_random(m, GOSSIP_PERIOD_MS);
	m->next_reconnect_ms =
		now_ms + (int64_t)member_random(m, RECONNECT_PERIOD_MS);
	gossip_init_budget(m);
	gossip_queue(m, &m->self->update, UPDATE_NORMAL, true);
	return m;
}

void member_free(struct member *m)
{
	g_hash_table_unref(m->targets);
	g_hash_table_unref(m->shares);
	g_hash_table_unref(m->by_id);
	g_ptr_array_unref(m->updates);
	g_ptr_array_unref(m->peers);
	g_array_unref(m->probe_order);
	g_free(m);
}

/*
 * After this process was stopped or starved of CPU, acks that it waited for may
 * be unread in the socket. Draw no conclusion from the gap: cancel the probes
 * and extend all suspicions by its length.
 */
static void compensate_stall(struct member *m, int64_t gap_ms)
{
	if (gap_ms < STALL_THRESHOLD_MS)
		return;
	probe_cancel_all(m);
	for (guint i = 0; i < m->peers->len; i++) {
		struct node_entry *e = g_ptr_array_index(m->peers, i);

		e->suspicion_ends_ms += gap_ms;
		e->failed_probes = 0;
	}
}

static void sweep(struct member *m)
{
	if (m->now_ms < m->next_sweep_ms)
		return;
	m->next_sweep_ms = m->now_ms + SWEEP_PERIOD_MS;
	peers_sweep(m);
	targets_sweep(m);
	shares_sweep(m);
}

static void advance_clock(struct member *m, int64_t now_ms)
{
	int64_t gap_ms = now_ms - m->last_call_ms;

	if (gap_ms <= 0)
		return;
	m->now_ms = now_ms;
	m->last_call_ms = now_ms;
	compensate_stall(m, gap_ms);
	gossip_refill_budget(m, gap_ms);
}

void member_tick(struct member *m, int64_t now_ms)
{
	if (m->stopped)
		return;
	advance_clock(m, now_ms);
	sweep(m);
	probe_tick(m);
	gossip_tick(m);
}

static void merge_revision(struct member *m, uint64_t revision)
{
	if (revision > INT64_MAX || (int64_t)revision <= m->revision)
		return;
	m->revision = (int64_t)revision;
	m->revision_sent = 0;
}

void member_receive(struct member *m, int64_t now_ms,
		    const struct member_message *msg)
{
	struct node_entry *from;
	uint64_t self = m->self->peer.id;

	if (m->stopped || msg->from == self || (msg->to && msg->to != self))
		return;
	advance_clock(m, now_ms);
	for (u_int i = 0; i < msg->records.records_len; i++)
		peers_merge(m, &msg->records.records_val[i]);
	for (u_int i = 0; i < msg->targets.targets_len; i++)
		targets_merge(m, &msg->targets.targets_val[i]);
	merge_revision(m, msg->revision);
	shares_merge(m, msg);
	from = peers_find(m, msg->from);
	if (!from)
		return;
	peers_note_contact(m, from);
	from->digest_differs = msg->digest != m->digest;
	probe_receive(m, from, msg);
}

void member_join(struct member *m, const char *control)
{
	gossip_send(m, NULL, control, MEMBER_PING, ++m->seq, 0);
}

void member_leave(struct member *m)
{
	struct member_peer *p = &m->self->peer;
	struct member_record r = {
		.id = p->id,
		.incarnation = p->incarnation + 1,
		.leaving = true,
	};

	if (p->leaving)
		return;
	peers_set_self(m, &r);
}

void member_stop(struct member *m)
{
	struct member_peer *p = &m->self->peer;
	struct member_record r = {
		.id = p->id,
		.incarnation = p->incarnation + 1,
		.state = MEMBER_LEFT,
		.leaving = true,
	};

	peers_set_self(m, &r);
	for (int i = 0; i < LEAVE_FANOUT; i++) {
		struct node_entry *e = peers_pick(m, 0);

		if (e)
			gossip_send(m, e, e->peer.info.control, MEMBER_GOSSIP,
				    0, 0);
	}
	m->stopped = true;
}

void member_set_revision(struct member *m, int64_t revision)
{
	if (revision > 0)
		merge_revision(m, (uint64_t)revision);
}

int64_t member_revision(const struct member *m)
{
	return m->revision;
}

uint64_t member_view_version(const struct member *m)
{
	return m->view_version;
}

size_t member_count(const struct member *m)
{
	return m->peers->len;
}

const struct member_peer *member_at(const struct member *m, size_t i)
{
	struct node_entry *e = g_ptr_array_index(m->peers, i);

	return &e->peer;
}

const struct member_peer *member_find(const struct member *m, uint64_t id)
{
	struct node_entry *e = peers_find(m, id);

	return e ? &e->peer : NULL;
}

void member_count_live(const struct member *m, size_t *live, size_t *known)
{
	*live = 0;
	*known = 0;
	for (guint i = 0; i < m->peers->len; i++) {
		const struct node_entry *e = g_ptr_array_index(m->peers, i);

		if (e->peer.state != MEMBER_LEFT)
			(*known)++;
		if (peers_is_up(e))
			(*live)++;
	}
}

bool member_is_minority(const struct member *m)
{
	size_t live, known;

	member_count_live(m, &live, &known);
	return 2 * live < known;
}

int64_t member_bytes_sent(const struct member *m)
{
	return m->bytes_sent;
}
