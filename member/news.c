/* What is told to others, most urgent first, within the byte budget. */
#include <string.h>

#include "member/internal.h"

/* Times that a change is told: so often the binary logarithm of the fleet. */
static const unsigned tell_factors[] = {
	[NEWS_URGENT] = 3,
	[NEWS_JOIN] = 1,
};

#define BURST 1500 /* bytes */
/* Credit that news leave for the next pings and acks, in bytes. */
#define NEWS_RESERVE 500
/* The same of entries that are added only because views differ. */
#define SYNC_RESERVE 800
/* Credit from which a message is sent for shares alone. */
#define SHARES_CREDIT 1200
#define CREDIT        1000

static unsigned tell_times(const struct member *m, enum news_class urgency)
{
	return tell_factors[urgency] * g_bit_storage(m->peers->len);
}

static bool tells_revision(const struct member *m)
{
	return m->revision && m->revision_sent < tell_times(m, NEWS_URGENT);
}

void news_queue(struct member *m, struct news *w, enum news_class urgency,
		bool full)
{
	w->urgency = urgency;
	w->full = full;
	w->sent = 0;
	if (w->queued)
		return;
	w->queued = true;
	g_ptr_array_add(m->news, w);
}

void news_drop(struct member *m, struct news *w)
{
	if (!w->queued)
		return;
	w->queued = false;
	g_ptr_array_remove_fast(m->news, w);
}

bool news_waiting(const struct member *m)
{
	return m->news->len || tells_revision(m);
}

/* In any second no more is sent than the rate and the burst: the budget. */
void news_start(struct member *m)
{
	m->credit = BURST * CREDIT;
}

void news_refill(struct member *m, int64_t elapsed_ms)
{
	m->credit += elapsed_ms * (m->budget - BURST);
	m->credit = MIN(m->credit, BURST * CREDIT);
}

static int by_urgency(const void *a, const void *b)
{
	const struct news *x = *(struct news *const *)a;
	const struct news *y = *(struct news *const *)b;

	if (x->urgency != y->urgency)
		return x->urgency < y->urgency ? -1 : 1;
	if (x->sent != y->sent)
		return x->sent < y->sent ? -1 : 1;
	return 0;
}

/* A message being put together. */
struct draft {
	struct member_message msg;
	struct member_record records[MEMBER_RECORDS_MAX];
	struct target_record targets[MEMBER_TARGETS_MAX];
	struct pool_share shares[MEMBER_SHARES_MAX];
	size_t room; /* bytes */
};

static bool has_record(const struct draft *d, uint64_t id)
{
	for (u_int i = 0; i < d->msg.records.records_len; i++) {
		if (d->records[i].id == id)
			return true;
	}
	return false;
}

static bool add_record(struct draft *d, const struct node_entry *e, bool full)
{
	struct member_record r = {
		.id = e->seen.id,
		.incarnation = e->seen.incarnation,
		.state = e->seen.state == MEMBER_DEAD ? MEMBER_SUSPECT
						      : e->seen.state,
		.leaving = e->seen.leaving,
		.info = full ? (struct member_info *)&e->seen.info : NULL,
	};
	size_t n = member_record_bytes(&r);

	if (n > d->room || d->msg.records.records_len == MEMBER_RECORDS_MAX ||
	    has_record(d, r.id))
		return false;
	d->records[d->msg.records.records_len++] = r;
	d->room -= n;
	return true;
}

static bool add_target(struct draft *d, const struct target_fact *f)
{
	if (sizeof(struct target_record) > d->room ||
	    d->msg.targets.targets_len == MEMBER_TARGETS_MAX)
		return false;
	d->targets[d->msg.targets.targets_len++] = (struct target_record){
		f->target, f->observer, f->serial, f->word};
	d->room -= sizeof(struct target_record);
	return true;
}

static bool add_news(struct draft *d, const struct news *w)
{
	if (w->kind == NEWS_TARGET)
		return add_target(d, w->owner);
	return add_record(d, w->owner, w->full);
}

static void fill_news(struct member *m, struct draft *d)
{
	g_ptr_array_sort(m->news, by_urgency);
	for (guint i = 0; i < m->news->len; i++) {
		struct news *w = g_ptr_array_index(m->news, i);

		if (add_news(d, w))
			w->sent++;
	}
	for (guint i = m->news->len; i-- > 0;) {
		struct news *w = g_ptr_array_index(m->news, i);

		if (w->sent >= tell_times(m, w->urgency))
			news_drop(m, w);
	}
}

/* Whole entries in turn, until the two views are the same. */
static void fill_sync(struct member *m, struct draft *d)
{
	for (guint i = 0; i < m->peers->len; i++) {
		const struct node_entry *e =
			g_ptr_array_index(m->peers, m->sync_at % m->peers->len);

		if (e->seen.state == MEMBER_LIVE && e->seen.incarnation &&
		    !add_record(d, e, true) && !has_record(d, e->seen.id))
			return;
		m->sync_at++;
	}
}

static void address(struct member *m, struct draft *d,
		    const struct node_entry *to)
{
	d->msg.from = m->self->seen.id;
	d->msg.to = to ? to->seen.id : 0;
	d->msg.revision = (uint64_t)m->revision;
	d->msg.digest = m->digest;
	d->msg.records.records_val = d->records;
	d->msg.targets.targets_val = d->targets;
	d->msg.shares.shares_val = d->shares;
}

static void fill_shares(struct member *m, struct draft *d)
{
	size_t max = MIN(d->room / sizeof(struct pool_share),
			 G_N_ELEMENTS(d->shares));

	d->msg.shares.shares_len = shares_fill(m, d->shares, max);
}

/* What the receiver must know: who asks, and what is believed of itself. */
static void fill_needed(struct member *m, struct draft *d,
			const struct node_entry *to)
{
	bool introduces =
		d->msg.kind == MEMBER_PING || d->msg.kind == MEMBER_PROBE;

	if (to && to->seen.state != MEMBER_LIVE)
		add_record(d, to, false);
	if (introduces)
		add_record(d, m->self,
			   !to || to->differs || d->msg.kind == MEMBER_PING);
}

/* Bytes that may be added so that so much credit is left. */
static size_t room_above(const struct member *m, const struct draft *d,
			 int64_t reserve)
{
	int64_t n = (int64_t)member_message_bytes(&d->msg);
	int64_t room = MIN(m->credit / CREDIT - reserve, MEMBER_SENT_MAX) - n;

	return (size_t)MAX(room, 0);
}

static void charge(struct member *m, const struct draft *d)
{
	int64_t n = (int64_t)member_message_bytes(&d->msg);

	m->credit -= n * CREDIT;
	m->bytes_sent += n;
	if (tells_revision(m))
		m->revision_sent++;
}

bool news_send(struct member *m, struct node_entry *to, const char *control,
	       enum member_kind kind, uint32_t seq, uint64_t subject)
{
	struct draft d = {
		.msg = {.kind = kind, .seq = seq, .subject = subject}};

	address(m, &d, to);
	d.room = room_above(m, &d, kind == MEMBER_NEWS ? NEWS_RESERVE : 0);
	if (!d.room)
		return false;
	fill_needed(m, &d, to);
	d.room = room_above(m, &d, NEWS_RESERVE);
	fill_news(m, &d);
	d.room = room_above(m, &d, SYNC_RESERVE);
	if (to && to->differs)
		fill_sync(m, &d);
	d.room = room_above(m, &d, SYNC_RESERVE);
	fill_shares(m, &d);
	charge(m, &d);
	m->cb.send(m->cb.ctx, control, &d.msg);
	return true;
}

void news_tick(struct member *m)
{
	struct node_entry *e;

	if (m->now_ms < m->news_ms)
		return;
	m->news_ms = m->now_ms + NEWS_MS;
	/* Loads are told as often as credit allows, and only after news. */
	if (!news_waiting(m) &&
	    (m->credit < SHARES_CREDIT * CREDIT || !shares_waiting(m)))
		return;
	e = peers_pick_near(m);
	if (e)
		news_send(m, e, e->seen.info.control, MEMBER_NEWS, 0, 0);
}
