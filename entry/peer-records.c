/*
 * The exchange of records between nodes: what crashes targets, the limits that
 * they name, and notices of targets and nodes. All kinds travel in the same
 * datagrams and share one budget of bytes; what exceeds it waits, except for
 * urgent notices. A small fleet
 * sends updates to all nodes; in a large one each node that learns of an update
 * sends it on to some. What others may have missed is sent again, to some nodes
 * in turn. Runs on the control thread.
 */
#include "entry/control.h"
#include "entry/evacuations.h"

/*
 * Bytes a second that a node sends, over all receivers, and how many of them at
 * once.
 */
#define BUDGET_BYTES_S 4096
#define BURST_BYTES    65536
/* Most bytes of the records in a datagram, and of one of them. */
#define DATAGRAM_RECORDS_BYTES 1150
#define RECORD_BYTES_MAX       200
/* Records that are taken from a source at a time. */
#define TAKEN_MAX 16
/* What no response has confirmed for this long is forgotten. */
#define LIMIT_TTL_MS 3600000
/*
 * A target that is listed this long after it seemed to crash has not, as the
 * store removes those that are silent for some seconds.
 */
#define LISTED_AFTER_MS 10000
/* Age up to which this node's list of targets says so. */
#define LIST_AGE_MAX_MS 2000
/* Interval of the looks at the list, and at what is out of date. */
#define SWEEP_INTERVAL_MS 1000
/*
 * The control thread was paused or delayed if no tick came for this long. What
 * arrives within LATE_MS after the next tick may have waited in the meantime.
 */
#define TICK_STALL_MS 500
#define LATE_MS       100

G_STATIC_ASSERT(CAUSE_REPORT_CRASHES_MAX == CAUSE_CRASHES_MAX);

/* A datagram that is being filled. */
struct packet {
	struct control *c;
	const struct peer_list *peers;
	bool resend; /* to some nodes; else an update */
	size_t bytes;
	struct peer_message m;
	struct peer_record records[PEER_RECORDS_MAX];
	struct cause_crash_report crashes[PEER_RECORDS_MAX][CAUSE_CRASHES_MAX];
};

static u_int age_of(int64_t at_ms, int64_t now_ms)
{
	return at_ms ? (u_int)CLAMP(now_ms - at_ms, 0, RECORD_NEVER_MS - 1)
		     : RECORD_NEVER_MS;
}

static int64_t time_of(u_int age_ms, int64_t now_ms)
{
	return age_ms == RECORD_NEVER_MS ? 0 : MAX(now_ms - (int64_t)age_ms, 1);
}

static void flush(struct packet *p)
{
	struct control *c = p->c;
	struct peer_records *r = &p->m.peer_message_u.records;
	size_t receivers;

	if (!r->entries.entries_len)
		return;
	receivers =
		p->resend ? peers_send_to_some(c, p->peers, RESEND_NODES, &p->m)
			  : peers_send_update(c, p->peers, &p->m);
	c->record_budget -= (double)(receivers * p->bytes);
	r->entries.entries_len = 0;
	p->bytes = 0;
}

static void packet_init(struct packet *p, struct control *c,
			const struct peer_list *l, bool resend)
{
	p->c = c;
	p->peers = l;
	p->resend = resend;
	p->bytes = 0;
	p->m = (struct peer_message){.kind = PEER_RECORDS};
	p->m.peer_message_u.records.entries.entries_val = p->records;
}

/* Return the place of the next record. */
static struct peer_record *next_record(struct packet *p, enum record_kind kind)
{
	struct peer_record *r =
		&p->records[p->m.peer_message_u.records.entries.entries_len];

	*r = (struct peer_record){.kind = kind};
	return r;
}

/* Add the record that was written to that place. */
static void add_record(struct packet *p)
{
	u_int *n = &p->m.peer_message_u.records.entries.entries_len;

	p->bytes += xdr_sizeof((xdrproc_t)xdr_peer_record, &p->records[*n]);
	++*n;
	if (*n == PEER_RECORDS_MAX ||
	    p->bytes + RECORD_BYTES_MAX > DATAGRAM_RECORDS_BYTES)
		flush(p);
}

static void add_cause(struct packet *p, const struct cause_record *v,
		      int64_t now_ms)
{
	u_int n = p->m.peer_message_u.records.entries.entries_len;
	struct peer_record *r = next_record(p, RECORD_CAUSE);
	struct cause_crash_report *crashes = p->crashes[n];

	r->peer_record_u.cause = (struct cause_report){
		.key = v->key,
		.whole = v->whole,
		.began_age_ms = age_of(v->began_ms, now_ms),
		.asked_age_ms = age_of(v->asked_ms, now_ms),
		.depth = v->depth,
		.blocked = v->blocked,
		.crashes = {v->crash_count, crashes},
	};
	for (uint32_t k = 0; k < v->crash_count; k++)
		crashes[k] = (struct cause_crash_report){
			v->crashes[k].target, v->crashes[k].attempt,
			age_of(v->crashes[k].at_ms, now_ms)};
	add_record(p);
}

static size_t fill_causes(struct packet *p, int64_t now_ms)
{
	struct crash_causes *f = p->c->e->crash_causes;
	struct cause_record v[TAKEN_MAX];
	size_t n = p->resend ? crash_causes_list(f, v, TAKEN_MAX)
			     : crash_causes_take_updates(f, v, TAKEN_MAX);

	for (size_t i = 0; i < n; i++)
		add_cause(p, &v[i], now_ms);
	return n;
}

static void receive_cause(struct control *c, const struct peer_record *r,
			  int64_t now_ms)
{
	const struct cause_report *e = &r->peer_record_u.cause;
	struct cause_record v = {
		.key = e->key,
		.whole = e->whole,
		.began_ms = time_of(e->began_age_ms, now_ms),
		.asked_ms = time_of(e->asked_age_ms, now_ms),
		.depth = e->depth,
		.blocked = e->blocked,
		.crash_count = e->crashes.crashes_len,
	};

	for (u_int k = 0; k < v.crash_count; k++)
		v.crashes[k] = (struct cause_crash){
			e->crashes.crashes_val[k].target,
			e->crashes.crashes_val[k].attempt,
			time_of(e->crashes.crashes_val[k].age_ms, now_ms)};
	crash_causes_receive(c->e->crash_causes, &v, now_ms);
}

static size_t fill_limits(struct packet *p, int64_t now_ms)
{
	struct target_limits *t = p->c->e->target_limits;
	struct target_limit v[TAKEN_MAX];
	size_t n = p->resend ? target_limits_list(t, v, TAKEN_MAX)
			     : target_limits_take_updates(t, v, TAKEN_MAX);

	for (size_t i = 0; i < n; i++) {
		next_record(p, RECORD_LIMIT)->peer_record_u.limit =
			(struct limit_report){v[i].target, (int)v[i].per_1000_s,
					      age_of(v[i].named_ms, now_ms)};
		add_record(p);
	}
	return n;
}

/*
 * Whether a message may have waited here, so that what it says is older than by
 * the age that it names.
 */
static bool is_late(const struct control *c, int64_t now_ms)
{
	return now_ms - c->record_budget_ms > TICK_STALL_MS ||
	       now_ms < c->records_late_until_ms;
}

/*
 * Return the earliest time at which a message that arrives now may have been
 * sent. A statement that takes an earlier one back counts from then: with a
 * later time it would replace a newer one here and, sent on, at other nodes.
 */
static int64_t sent_from_ms(const struct control *c, int64_t now_ms)
{
	int64_t from_ms = now_ms;

	if (now_ms - c->record_budget_ms > TICK_STALL_MS)
		from_ms = c->record_budget_ms;
	else if (now_ms < c->records_late_until_ms)
		from_ms = c->records_late_from_ms;
	/* 0: before the first tick of this process */
	return from_ms ? from_ms : now_ms;
}

static void receive_limit(struct control *c, const struct peer_record *r,
			  int64_t now_ms)
{
	const struct limit_report *e = &r->peer_record_u.limit;
	struct target_limit l = {e->target, e->per_1000_s,
				 time_of(e->age_ms, sent_from_ms(c, now_ms))};

	target_limits_receive(c->e->target_limits, &l);
}

static void add_notices(struct packet *p, const struct notice *v, size_t n,
			int64_t now_ms)
{
	for (size_t i = 0; i < n; i++) {
		next_record(p, RECORD_NOTICE)->peer_record_u.notice =
			(struct notice_report){v[i].kind, v[i].id, v[i].value,
					       age_of(v[i].at_ms, now_ms)};
		add_record(p);
	}
}

static size_t fill_notices(struct packet *p, int64_t now_ms)
{
	struct notices *all = p->c->e->notices;
	struct notice v[TAKEN_MAX];
	size_t n = p->resend ? notices_list(all, now_ms, v, TAKEN_MAX)
			     : notices_take_updates(all, v, TAKEN_MAX);

	add_notices(p, v, n, now_ms);
	return n;
}

/* These are sent at once, also when the budget is spent. */
static void fill_urgent_notices(struct packet *p, int64_t now_ms)
{
	struct notices *all = p->c->e->notices;
	struct notice v[TAKEN_MAX];
	size_t n = p->resend ? notices_list_urgent(all, now_ms, v, TAKEN_MAX)
			     : notices_take_urgent(all, v, TAKEN_MAX);

	add_notices(p, v, n, now_ms);
}

static void receive_notice(struct control *c, const struct peer_record *r,
			   int64_t now_ms)
{
	const struct notice_report *e = &r->peer_record_u.notice;
	struct notice v = {(enum notice_kind)e->kind, e->id, e->value,
			   time_of(e->age_ms, now_ms)};

	/* What is dropped here comes again within a second. */
	if (v.kind == NOTICE_ZONE_EVACUATED &&
	    (is_late(c, now_ms) ||
	     !entry_evacuations_receive(c->e, &v, now_ms)))
		return;
	if (v.kind == NOTICE_NODE_CUT || v.kind == NOTICE_TARGET_BRITTLE)
		v.at_ms = time_of(e->age_ms, sent_from_ms(c, now_ms));
	notices_receive(c->e->notices, &v);
}

/* The kinds of records, by record_kind, the most urgent first. */
static const struct {
	size_t (*fill)(struct packet *p, int64_t now_ms);
	void (*receive)(struct control *c, const struct peer_record *r,
			int64_t now_ms);
} sources[] = {
	[RECORD_CAUSE] = {fill_causes, receive_cause},
	[RECORD_LIMIT] = {fill_limits, receive_limit},
	[RECORD_NOTICE] = {fill_notices, receive_notice},
};

/*
 * Until the other nodes are known a node would take all of a limit for itself.
 */
static bool knows_peers(const struct control *c, const struct peer_list *l,
			int64_t now_ms)
{
	return l->n > 1 || control_knows_nodes(c, now_ms);
}

/*
 * Those that are suspected have no share of the limits, and the others take
 * over theirs: a node that was killed would leave it unused until it is known
 * to be dead.
 */
static void set_limit_nodes(struct control *c, const struct peer_list *l)
{
	uint64_t *ids = g_new(uint64_t, l->n + 1);
	size_t n = 0;

	for (size_t i = 0; i < l->n; i++)
		if (!l->v[i].suspected)
			ids[n++] = l->v[i].id;
	target_limits_set_nodes(c->e->target_limits, ids, n,
				n < l->n ? MEMBER_SILENT_MS : 0);
	g_free(ids);
}

static void set_nodes(struct control *c, const struct peer_list *l,
		      int64_t now_ms)
{
	uint64_t *ids;

	if (c->records_view == c->published_view || !knows_peers(c, l, now_ms))
		return;
	c->records_view = c->published_view;
	set_limit_nodes(c, l);
	ids = g_new(uint64_t, l->n + 1);
	for (size_t i = 0; i < l->n; i++)
		ids[i] = l->v[i].id;
	target_limits_set_nodes(c->e->overflow_limits, ids, l->n, 0);
	crash_causes_set_nodes(c->e->crash_causes,
			       member_id(c->e->control_settings.node_name), ids,
			       l->n);
	g_free(ids);
}

/* Take back the crashes of targets that are listed all the same. */
static void retract_crashes(struct control *c, int64_t now_ms)
{
	struct target_list *l;

	if (now_ms - store_sync_targets_confirmed_ms(c->sync) > LIST_AGE_MAX_MS)
		return;
	g_mutex_lock(&c->e->lock);
	l = c->e->list ? target_list_ref(c->e->list) : NULL;
	g_mutex_unlock(&c->e->lock);
	for (size_t i = 0; l && i < l->n; i++)
		crash_causes_alive(c->e->crash_causes, l->v[i].id,
				   now_ms - LISTED_AFTER_MS);
	target_list_unref(l);
}

static void sweep(struct control *c, int64_t now_ms)
{
	if (now_ms < c->records_sweep_at_ms)
		return;
	c->records_sweep_at_ms = now_ms + SWEEP_INTERVAL_MS;
	retract_crashes(c, now_ms);
	target_limits_expire(c->e->target_limits, now_ms - LIMIT_TTL_MS);
	target_limits_expire(c->e->overflow_limits, now_ms - LIMIT_TTL_MS);
	notices_expire(c->e->notices, now_ms);
}

/* Send the records of all kinds, as long as the budget lasts. */
static void send_records(struct control *c, const struct peer_list *l,
			 bool resend, int64_t now_ms)
{
	struct packet *p = g_new(struct packet, 1);

	packet_init(p, c, l, resend);
	fill_urgent_notices(p, now_ms);
	for (size_t i = 0; i < G_N_ELEMENTS(sources); i++)
		while (c->record_budget > 0 && sources[i].fill(p, now_ms) &&
		       !resend)
			;
	flush(p);
	g_free(p);
}

static void set_rounds(struct control *c, const struct peer_list *l)
{
	bool direct = l->n <= DIRECT_UPDATE_NODES_MAX;
	unsigned rounds = direct ? DIRECT_UPDATE_ROUNDS : FANOUT_UPDATE_ROUNDS;

	crash_causes_set_rounds(c->e->crash_causes, rounds, !direct);
	target_limits_set_rounds(c->e->target_limits, rounds, !direct);
	notices_set_rounds(c->e->notices, rounds, !direct);
}

void peers_send_records(struct control *c, const struct peer_list *l,
			int64_t now_ms)
{
	int64_t since_ms = now_ms - c->record_budget_ms;

	set_nodes(c, l, now_ms);
	set_rounds(c, l);
	sweep(c, now_ms);
	crash_causes_decide(c->e->crash_causes, now_ms);
	if (since_ms > TICK_STALL_MS) {
		c->records_late_from_ms = c->record_budget_ms;
		c->records_late_until_ms = now_ms + LATE_MS;
	}
	c->record_budget_ms = now_ms;
	c->record_budget =
		MIN(c->record_budget + (double)since_ms * BUDGET_BYTES_S / 1000,
		    BURST_BYTES);
	if (l->n <= 1)
		return;
	send_records(c, l, false, now_ms);
	if (now_ms < c->records_resend_at_ms)
		return;
	c->records_resend_at_ms = now_ms + RESEND_INTERVAL_MS;
	send_records(c, l, true, now_ms);
}

static bool is_known_leaving(const struct control *c, uint64_t target,
			     int64_t now_ms)
{
	return notices_get(c->e->notices, NOTICE_TARGET_LEAVING, target, now_ms,
			   0);
}

/*
 * List the targets that are leaving by a message of another node, and that this
 * node does not know to be, once each. Return their number.
 */
static size_t list_leaving(const struct control *c,
			   const struct peer_records *m, int64_t now_ms,
			   uint64_t *ids)
{
	size_t n = 0;

	for (u_int i = 0; i < m->entries.entries_len; i++) {
		const struct peer_record *r = &m->entries.entries_val[i];
		const struct notice_report *v = &r->peer_record_u.notice;

		size_t k = 0;

		if (r->kind != RECORD_NOTICE ||
		    v->kind != NOTICE_TARGET_LEAVING || !v->value ||
		    is_known_leaving(c, v->id, now_ms))
			continue;
		/* A message may have the same notice twice. */
		while (k < n && ids[k] != v->id)
			k++;
		if (k == n)
			ids[n++] = v->id;
	}
	return n;
}

/* Log the listed targets among those that have become known to be leaving. */
static void log_leaving(struct control *c, const uint64_t *ids, size_t n,
			int64_t now_ms)
{
	GString *names = g_string_new(NULL);
	struct target_list *l;

	g_mutex_lock(&c->e->lock);
	l = c->e->list ? target_list_ref(c->e->list) : NULL;
	g_mutex_unlock(&c->e->lock);
	for (size_t i = 0; l && i < l->n; i++)
		for (size_t k = 0; k < n; k++)
			if (l->v[i].id == ids[k] &&
			    is_known_leaving(c, ids[k], now_ms))
				g_string_append_printf(names, "%s" STR_FMT,
						       names->len ? "," : "",
						       STR_ARG(l->v[i].name));
	if (names->len)
		log_event(EV_TARGET_LEAVING, "target=%s source=notice",
			  names->str);
	g_string_free(names, TRUE);
	target_list_unref(l);
}

void peers_receive_records(struct control *c, const struct peer_records *m)
{
	uint64_t *leaving = g_newa(uint64_t, m->entries.entries_len + 1);
	int64_t now = time_boot_ms();
	size_t n = list_leaving(c, m, now, leaving);

	for (u_int i = 0; i < m->entries.entries_len; i++) {
		const struct peer_record *r = &m->entries.entries_val[i];

		sources[r->kind].receive(c, r, now);
	}
	if (n)
		log_leaving(c, leaving, n, now);
}
