/*
 * Dissemination: queued updates are sent with every ping, ack and gossip
 * message, most urgent first, as far as the send budget allows. Members whose
 * digests differ exchange whole entries; load contributions fill the room left.
 */
#include <string.h>

#include "member/internal.h"

/* Transmissions of an update, as a multiple of log2 of the number of nodes. */
static const unsigned retransmit_factors[] = {
	[UPDATE_URGENT] = 3,
	[UPDATE_NORMAL] = 1,
};

#define BURST_BYTES 1500 /* most credit of the send budget */
/* Credit that updates may not use, for the next pings and acks. */
#define UPDATES_RESERVE_BYTES 500
/* Credit that loads, and entries sent because digests differ, may not use. */
#define SYNC_RESERVE_BYTES 800
/* Least credit with which a message is sent that has only loads. */
#define SHARES_MIN_CREDIT_BYTES 1200
#define MILLIBYTES_PER_BYTE     1000

static unsigned transmit_limit(const struct member *m,
			       enum update_priority priority)
{
	return retransmit_factors[priority] * g_bit_storage(m->peers->len);
}

static bool revision_pending(const struct member *m)
{
	return m->revision &&
	       m->revision_sent < transmit_limit(m, UPDATE_URGENT);
}

void gossip_queue(struct member *m, struct update *u,
		  enum update_priority priority, bool with_info)
{
	u->priority = priority;
	u->with_info = with_info;
	u->times_sent = 0;
	if (u->is_queued)
		return;
	u->is_queued = true;
	g_ptr_array_add(m->updates, u);
}

void gossip_dequeue(struct member *m, struct update *u)
{
	if (!u->is_queued)
		return;
	u->is_queued = false;
	g_ptr_array_remove_fast(m->updates, u);
}

bool gossip_pending(const struct member *m)
{
	return m->updates->len || revision_pending(m);
}

/*
 * The send budget is a token bucket. It fills at the budget's rate less the
 * burst, so that rate and burst together stay within the budget in any second.
 */
void gossip_init_budget(struct member *m)
{
	m->credit_millibytes = BURST_BYTES * MILLIBYTES_PER_BYTE;
}

void gossip_refill_budget(struct member *m, int64_t elapsed_ms)
{
	m->credit_millibytes += elapsed_ms * (m->budget_bytes_s - BURST_BYTES);
	m->credit_millibytes =
		MIN(m->credit_millibytes, BURST_BYTES * MILLIBYTES_PER_BYTE);
}

/* Sort the most urgent first, then those sent least often. */
static int by_priority(const void *a, const void *b)
{
	const struct update *x = *(struct update *const *)a;
	const struct update *y = *(struct update *const *)b;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->times_sent != y->times_sent)
		return x->times_sent < y->times_sent ? -1 : 1;
	return 0;
}

/* A message under construction, with the arrays that its lists point to. */
struct draft {
	struct member_message msg;
	struct member_record records[MEMBER_RECORDS_MAX];
	struct target_record targets[MEMBER_TARGETS_MAX];
	struct pool_share shares[MEMBER_SHARES_MAX];
	size_t room_bytes; /* that may still be added */
};

static bool has_record(const struct draft *d, uint64_t id)
{
	for (u_int i = 0; i < d->msg.records.records_len; i++) {
		if (d->records[i].id == id)
			return true;
	}
	return false;
}

/*
 * Add a member's record if it fits and is not there yet. A dead member goes out
 * as suspect: each receiver waits for its own suspicion timeout.
 */
static bool add_record(struct draft *d, const struct node_entry *e,
		       bool with_info)
{
	struct member_record r = {
		.id = e->peer.id,
		.incarnation = e->peer.incarnation,
		.state = e->peer.state == MEMBER_DEAD ? MEMBER_SUSPECT
						      : e->peer.state,
		.leaving = e->peer.leaving,
		.info = with_info ? (struct member_info *)&e->peer.info : NULL,
	};
	size_t n = member_record_bytes(&r);

	if (n > d->room_bytes ||
	    d->msg.records.records_len == MEMBER_RECORDS_MAX ||
	    has_record(d, r.id))
		return false;
	d->records[d->msg.records.records_len++] = r;
	d->room_bytes -= n;
	return true;
}

static bool add_target(struct draft *d, const struct target_report *t)
{
	if (sizeof(struct target_record) > d->room_bytes ||
	    d->msg.targets.targets_len == MEMBER_TARGETS_MAX)
		return false;
	d->targets[d->msg.targets.targets_len++] = (struct target_record){
		t->target, t->observer, t->serial, t->status};
	d->room_bytes -= sizeof(struct target_record);
	return true;
}

static bool add_update(struct draft *d, const struct update *u)
{
	if (u->kind == UPDATE_TARGET)
		return add_target(d, u->owner);
	return add_record(d, u->owner, u->with_info);
}

/* Add queued updates, and dequeue those that reached their transmit limit. */
static void fill_updates(struct member *m, struct draft *d)
{
	g_ptr_array_sort(m->updates, by_priority);
	for (guint i = 0; i < m->updates->len; i++) {
		struct update *u = g_ptr_array_index(m->updates, i);

		if (add_update(d, u))
			u->times_sent++;
	}
	for (guint i = m->updates->len; i-- > 0;) {
		struct update *u = g_ptr_array_index(m->updates, i);

		if (u->times_sent >= transmit_limit(m, u->priority))
			gossip_dequeue(m, u);
	}
}

/*
 * Anti-entropy: add live members with their addresses, continuing where the
 * last message stopped, for as long as the receiver's digest differs.
 */
static void fill_sync(struct member *m, struct draft *d)
{
	for (guint i = 0; i < m->peers->len; i++) {
		const struct node_entry *e = g_ptr_array_index(
			m->peers, m->sync_next % m->peers->len);

		if (e->peer.state == MEMBER_LIVE && e->peer.incarnation &&
		    !add_record(d, e, true) && !has_record(d, e->peer.id))
			return;
		m->sync_next++;
	}
}

static void fill_header(struct member *m, struct draft *d,
			const struct node_entry *to)
{
	d->msg.from = m->self->peer.id;
	d->msg.to = to ? to->peer.id : 0;
	d->msg.revision = (uint64_t)m->revision;
	d->msg.digest = m->digest;
	d->msg.records.records_val = d->records;
	d->msg.targets.targets_val = d->targets;
	d->msg.shares.shares_val = d->shares;
}

static void fill_shares(struct member *m, struct draft *d)
{
	size_t max = MIN(d->room_bytes / sizeof(struct pool_share),
			 G_N_ELEMENTS(d->shares));

	d->msg.shares.shares_len = shares_fill(m, d->shares, max);
}

/*
 * Add what the receiver needs first: its own record when this node does not
 * believe it live, so that it can refute, and this node's record in a ping or
 * a ping request, so that the receiver can answer.
 */
static void fill_required(struct member *m, struct draft *d,
			  const struct node_entry *to)
{
	bool needs_self =
		d->msg.kind == MEMBER_PING || d->msg.kind == MEMBER_PING_REQ;

	if (to && to->peer.state != MEMBER_LIVE)
		add_record(d, to, false);
	if (needs_self)
		add_record(d, m->self,
			   !to || to->digest_differs ||
				   d->msg.kind == MEMBER_PING);
}

/* Return the bytes that may be added so that the reserve of credit is left. */
static size_t room_above_reserve(const struct member *m, const struct draft *d,
				 int64_t reserve_bytes)
{
	int64_t n = (int64_t)member_message_bytes(&d->msg);
	int64_t room_bytes =
		MIN(m->credit_millibytes / MILLIBYTES_PER_BYTE - reserve_bytes,
		    MEMBER_PACKET_MAX_BYTES) -
		n;

	return (size_t)MAX(room_bytes, 0);
}

static void charge_budget(struct member *m, const struct draft *d)
{
	int64_t n = (int64_t)member_message_bytes(&d->msg);

	m->credit_millibytes -= n * MILLIBYTES_PER_BYTE;
	m->bytes_sent += n;
	if (revision_pending(m))
		m->revision_sent++;
}

bool gossip_send(struct member *m, struct node_entry *to, const char *control,
		 enum member_kind kind, uint32_t seq, uint64_t subject)
{
	struct draft d = {
		.msg = {.kind = kind, .seq = seq, .subject = subject}};

	fill_header(m, &d, to);
	d.room_bytes = room_above_reserve(
		m, &d, kind == MEMBER_GOSSIP ? UPDATES_RESERVE_BYTES : 0);
	if (!d.room_bytes)
		return false;
	fill_required(m, &d, to);
	d.room_bytes = room_above_reserve(m, &d, UPDATES_RESERVE_BYTES);
	fill_updates(m, &d);
	d.room_bytes = room_above_reserve(m, &d, SYNC_RESERVE_BYTES);
	if (to && to->digest_differs)
		fill_sync(m, &d);
	d.room_bytes = room_above_reserve(m, &d, SYNC_RESERVE_BYTES);
	fill_shares(m, &d);
	charge_budget(m, &d);
	m->cb.send(m->cb.ctx, control, &d.msg);
	return true;
}

void gossip_tick(struct member *m)
{
	struct node_entry *e;

	if (m->now_ms < m->next_gossip_ms)
		return;
	m->next_gossip_ms = m->now_ms + GOSSIP_PERIOD_MS;
	/* Without a pending update, send loads if the credit allows it. */
	if (!gossip_pending(m) &&
	    (m->credit_millibytes <
		     SHARES_MIN_CREDIT_BYTES * MILLIBYTES_PER_BYTE ||
	     !shares_pending(m)))
		return;
	e = peers_pick_near(m);
	if (e)
		gossip_send(m, e, e->peer.info.control, MEMBER_GOSSIP, 0, 0);
}
