/*
 * Messages between nodes about what crashes targets. A small
 * fleet sends updates to all nodes; in a large one each node that learns of
 * it sends it on to some others. Runs on the control thread.
 */
#include "entry/control.h"

/* Datagrams with updates that a node sends in a tick, to each receiver. */
#define UPDATES_PER_TICK 4

static u_int age_of(int64_t at_ms, int64_t now_ms)
{
	return at_ms ? (u_int)CLAMP(now_ms - at_ms, 0, CAUSE_NEVER_MS - 1)
		     : CAUSE_NEVER_MS;
}

static int64_t time_of(u_int age_ms, int64_t now_ms)
{
	return age_ms == CAUSE_NEVER_MS ? 0 : MAX(now_ms - (int64_t)age_ms, 1);
}

/* Records as they are sent; the entries of m point into the others. */
struct cause_datagram {
	struct peer_message m;
	struct cause_report reports[CAUSE_REPORTS_MAX];
	struct cause_crash_report crashes[CAUSE_REPORTS_MAX]
					 [CAUSE_REPORT_CRASHES_MAX];
};

G_STATIC_ASSERT(CAUSE_REPORT_CRASHES_MAX == CAUSE_CRASHES_MAX);

static void fill_in(struct cause_datagram *d, const struct cause_record *v,
		    size_t n, int64_t now_ms)
{
	d->m = (struct peer_message){.kind = PEER_CAUSES};
	d->m.peer_message_u.causes.entries.entries_len = (u_int)n;
	d->m.peer_message_u.causes.entries.entries_val = d->reports;
	for (size_t i = 0; i < n; i++) {
		d->reports[i] = (struct cause_report){
			.key = v[i].key,
			.whole = v[i].whole,
			.began_age_ms = age_of(v[i].began_ms, now_ms),
			.asked_age_ms = age_of(v[i].asked_ms, now_ms),
			.depth = v[i].depth,
			.blocked = v[i].blocked,
			.crashes = {v[i].crash_count, d->crashes[i]},
		};
		for (uint32_t k = 0; k < v[i].crash_count; k++)
			d->crashes[i][k] = (struct cause_crash_report){
				v[i].crashes[k].target, v[i].crashes[k].attempt,
				age_of(v[i].crashes[k].at_ms, now_ms)};
	}
}

/*
 * A target that is listed this long after it seemed to crash has not, as the
 * store removes those that are silent for some seconds.
 */
#define LISTED_AFTER_MS 10000
/* Age up to which this node's list of targets says so. */
#define LIST_AGE_MAX_MS 2000
/* Interval of the looks at the list. */
#define LISTED_INTERVAL_MS 1000

static void retract_crashes(struct control *c, int64_t now_ms)
{
	struct target_list *l;

	if (now_ms < c->listed_check_at_ms ||
	    now_ms - store_sync_targets_confirmed_ms(c->sync) > LIST_AGE_MAX_MS)
		return;
	c->listed_check_at_ms = now_ms + LISTED_INTERVAL_MS;
	g_mutex_lock(&c->e->lock);
	l = c->e->list ? target_list_ref(c->e->list) : NULL;
	g_mutex_unlock(&c->e->lock);
	for (size_t i = 0; l && i < l->n; i++)
		crash_causes_alive(c->e->crash_causes, l->v[i].id,
				   now_ms - LISTED_AFTER_MS);
	target_list_unref(l);
}

void peers_send_causes(struct control *c, const struct peer_list *l,
		       int64_t now_ms)
{
	struct crash_causes *f = c->e->crash_causes;
	bool direct = l->n <= DIRECT_UPDATE_NODES_MAX;
	struct cause_record v[CAUSE_REPORTS_MAX];
	struct cause_datagram d;
	size_t n;

	crash_causes_set_rounds(
		f, direct ? DIRECT_UPDATE_ROUNDS : FANOUT_UPDATE_ROUNDS,
		!direct);
	retract_crashes(c, now_ms);
	crash_causes_decide(f, now_ms);
	if (l->n <= 1)
		return;
	for (int i = 0; i < UPDATES_PER_TICK; i++) {
		n = crash_causes_take_updates(f, v, CAUSE_REPORTS_MAX);
		if (!n)
			break;
		fill_in(&d, v, n, now_ms);
		peers_send_update(c, l, &d.m);
	}
	if (now_ms < c->parts_list_at_ms)
		return;
	c->parts_list_at_ms = now_ms + RESEND_INTERVAL_MS;
	n = crash_causes_list(f, v, CAUSE_REPORTS_MAX);
	if (!n)
		return;
	fill_in(&d, v, n, now_ms);
	peers_send_to_some(c, l, RESEND_NODES, &d.m);
}

void peers_receive_causes(struct control *c, const struct cause_reports *m)
{
	int64_t now = time_boot_ms();

	for (u_int i = 0; i < m->entries.entries_len; i++) {
		const struct cause_report *e = &m->entries.entries_val[i];
		struct cause_record r = {
			.key = e->key,
			.whole = e->whole,
			.began_ms = time_of(e->began_age_ms, now),
			.asked_ms = time_of(e->asked_age_ms, now),
			.depth = e->depth,
			.blocked = e->blocked,
			.crash_count = e->crashes.crashes_len,
		};

		for (u_int k = 0; k < r.crash_count; k++)
			r.crashes[k] = (struct cause_crash){
				e->crashes.crashes_val[k].target,
				e->crashes.crashes_val[k].attempt,
				time_of(e->crashes.crashes_val[k].age_ms, now)};
		crash_causes_receive(c->e->crash_causes, &r, now);
	}
}
