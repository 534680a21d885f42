/*
 * Health of targets, from this node's own observations, the reports of other
 * nodes that can't connect, and what a target announces itself.
 */
#include "member/internal.h"

/* This many failures to connect, over this time, mark a target down. */
#define CONNECT_FAILURES_MIN   2
#define CONNECT_FAILING_MIN_MS 500
/* A failure later than this after the first of a series begins a new one. */
#define FAILURE_SERIES_MAX_MS 5000
/*
 * Time without a failure after which a down target is marked up. Routing avoids
 * a down target, so no connection would show that it has recovered.
 */
#define DOWN_RETRY_MS 10000
/* An observer's report expires after this time unless it is refreshed. */
#define REPORT_TTL_MS     6000
#define REPORT_REFRESH_MS 2000
/* This many reports mark a target down where it has not answered lately. */
#define OBSERVERS_DOWN_MIN 2
/*
 * Further observers do not report: bounds the gossip on a dead target that all
 * nodes try to reach.
 */
#define OBSERVERS_PER_TARGET_MAX 4
/* An answer to this node outweighs observers' reports for this time. */
#define OWN_ANSWER_VALID_MS 2000
/* Hold-down of a target that is up again; doubles with each return. */
#define HOLD_FIRST_MS 1000
#define HOLD_MAX_MS   60000
/* This long after a hold-down ended, the next one is HOLD_FIRST_MS again. */
#define FLAP_RESET_MS 60000
/*
 * A target that announced that it leaves counts as accepting work again only
 * after this time: an answer from before may arrive late.
 */
#define LEAVING_MIN_MS 3000
/* Time after which the announcement that a target leaves expires. */
#define LEAVING_TTL_MS      60000
#define TARGET_RETENTION_MS (600 * 1000)

void targets_free(void *entry)
{
	struct target_entry *t = entry;

	g_ptr_array_unref(t->reports);
	g_free(t);
}

static struct target_entry *find(const struct member *m, uint64_t id)
{
	return g_hash_table_lookup(m->targets, &id);
}

static struct target_entry *find_or_add(struct member *m, uint64_t id)
{
	struct target_entry *t = find(m, id);

	if (!t) {
		t = g_new0(struct target_entry, 1);
		t->id = id;
		t->reports = g_ptr_array_new_with_free_func(g_free);
		t->next_hold_ms = HOLD_FIRST_MS;
		t->last_answer_ms = INT64_MIN / 2;
		g_hash_table_insert(m->targets, &t->id, t);
	}
	t->last_update_ms = m->now_ms;
	return t;
}

/* Return an observer's report, the target's own for observer 0, or NULL. */
static struct target_report *find_report(const struct target_entry *t,
					 uint64_t observer)
{
	for (guint i = 0; i < t->reports->len; i++) {
		struct target_report *report = g_ptr_array_index(t->reports, i);

		if (report->observer == observer)
			return report;
	}
	return NULL;
}

/* Count the observers whose unexpired reports say that they can't connect. */
static unsigned count_observers_down(const struct target_entry *t,
				     int64_t now_ms)
{
	unsigned n = 0;

	for (guint i = 0; i < t->reports->len; i++) {
		const struct target_report *report =
			g_ptr_array_index(t->reports, i);

		if (report->observer &&
		    report->status == TARGET_STATUS_UNREACHABLE &&
		    now_ms - report->received_ms < REPORT_TTL_MS)
			n++;
	}
	return n;
}

/* Store a report in place of its observer's last one, and gossip it. */
static void set_report(struct member *m, struct target_entry *t,
		       const struct target_record *r)
{
	struct target_report *report = find_report(t, r->observer);
	bool changed = !report || report->status != r->status;

	if (!report) {
		report = g_new0(struct target_report, 1);
		report->update =
			(struct update){.kind = UPDATE_TARGET, .owner = report};
		report->target = t->id;
		report->observer = r->observer;
		g_ptr_array_add(t->reports, report);
	}
	report->serial = r->serial;
	report->status = r->status;
	report->received_ms = m->now_ms;
	if (changed)
		m->view_version++;
	gossip_queue(m, &report->update,
		     r->observer ? UPDATE_NORMAL : UPDATE_URGENT, false);
}

/*
 * Make a report on behalf of an observer, this node, or of the target itself
 * (0). Its serial is above the last one received, so that it replaces that.
 */
static void publish_report(struct member *m, struct target_entry *t,
			   uint64_t observer, enum target_status status)
{
	const struct target_report *report = find_report(t, observer);

	set_report(m, t,
		   &(struct target_record){t->id, observer,
					   report ? report->serial + 1 : 1,
					   status});
}

void targets_merge(struct member *m, const struct target_record *r)
{
	struct target_entry *t = find_or_add(m, r->id);
	const struct target_report *report = find_report(t, r->observer);

	if (report &&
	    (r->serial < report->serial ||
	     (r->serial == report->serial && r->status <= report->status)))
		return;
	if (!report && r->observer &&
	    t->reports->len > OBSERVERS_PER_TARGET_MAX)
		return;
	set_report(m, t, r);
}

static void on_connect_failed(struct member *m, struct target_entry *t)
{
	int64_t now = m->now_ms;

	if (!t->connect_failures ||
	    now - t->first_failure_ms > FAILURE_SERIES_MAX_MS) {
		t->connect_failures = 0;
		t->first_failure_ms = now;
	}
	t->connect_failures++;
	t->last_failure_ms = now;
	if (t->down || t->connect_failures < CONNECT_FAILURES_MIN ||
	    now - t->first_failure_ms < CONNECT_FAILING_MIN_MS)
		return;
	t->down = true;
	m->view_version++;
	if (count_observers_down(t, now) < OBSERVERS_PER_TARGET_MAX)
		publish_report(m, t, m->self->peer.id,
			       TARGET_STATUS_UNREACHABLE);
}

/* Mark a target up, in hold-down for a time that doubles with each return. */
static void mark_up(struct member *m, struct target_entry *t)
{
	t->down = false;
	m->view_version++;
	if (m->now_ms - t->hold_until_ms > FLAP_RESET_MS)
		t->next_hold_ms = HOLD_FIRST_MS;
	t->hold_until_ms = m->now_ms + t->next_hold_ms;
	t->next_hold_ms = MIN(2 * t->next_hold_ms, HOLD_MAX_MS);
	if (find_report(t, m->self->peer.id))
		publish_report(m, t, m->self->peer.id, TARGET_STATUS_REACHABLE);
}

static void on_answered(struct member *m, struct target_entry *t)
{
	t->last_answer_ms = m->now_ms;
	t->connect_failures = 0;
	if (t->stalled_ms)
		m->view_version++;
	t->stalled_ms = 0;
	if (t->down)
		mark_up(m, t);
}

static void on_leaving(struct member *m, struct target_entry *t)
{
	const struct target_report *report = find_report(t, 0);

	on_answered(m, t);
	if (!report || report->status != TARGET_STATUS_LEAVING)
		publish_report(m, t, 0, TARGET_STATUS_LEAVING);
}

static void on_accepting(struct member *m, struct target_entry *t)
{
	const struct target_report *report = find_report(t, 0);

	on_answered(m, t);
	if (report && report->status == TARGET_STATUS_LEAVING &&
	    m->now_ms - report->received_ms >= LEAVING_MIN_MS)
		publish_report(m, t, 0, TARGET_STATUS_ACCEPTING);
}

static void on_stalled(struct member *m, struct target_entry *t)
{
	if (!t->stalled_ms)
		m->view_version++;
	t->stalled_ms = m->now_ms;
}

static void (*const observation_handlers[])(struct member *,
					    struct target_entry *) = {
	[TARGET_ANSWERED] = on_answered,
	[TARGET_STALLED] = on_stalled,
	[TARGET_CONNECT_FAILED] = on_connect_failed,
	[TARGET_REPORTED_LEAVING] = on_leaving,
	[TARGET_REPORTED_ACCEPTING] = on_accepting,
};

void member_observe_target(struct member *m, int64_t now_ms, const char *target,
			   enum target_observation observation)
{
	m->now_ms = MAX(m->now_ms, now_ms);
	observation_handlers[observation](m, find_or_add(m, member_id(target)));
}

enum target_health_state
member_target_health(const struct member *m, int64_t now_ms, const char *target)
{
	const struct target_entry *t = find(m, member_id(target));
	const struct target_report *report = t ? find_report(t, 0) : NULL;

	if (!t)
		return TARGET_HEALTH_LIVE;
	if (report && report->status == TARGET_STATUS_LEAVING)
		return TARGET_HEALTH_LEAVING;
	if (t->down || (count_observers_down(t, now_ms) >= OBSERVERS_DOWN_MIN &&
			now_ms - t->last_answer_ms > OWN_ANSWER_VALID_MS))
		return TARGET_HEALTH_DOWN;
	if (now_ms < t->hold_until_ms)
		return TARGET_HEALTH_FLAPPING;
	return t->stalled_ms ? TARGET_HEALTH_STALLED : TARGET_HEALTH_LIVE;
}

static void drop_report(struct member *m, struct target_entry *t, guint i)
{
	struct target_report *report = g_ptr_array_index(t->reports, i);

	gossip_dequeue(m, &report->update);
	g_ptr_array_remove_index_fast(t->reports, i);
}

/*
 * Return how long a report counts. A target's announcement that it leaves
 * expires too, as another process may run there by then; the instance list
 * decides from then on whether the target is used.
 */
static int64_t report_ttl_ms(const struct target_report *report)
{
	if (report->observer)
		return REPORT_TTL_MS;
	return report->status == TARGET_STATUS_LEAVING ? LEAVING_TTL_MS
						       : TARGET_RETENTION_MS;
}

/* Expire reports, and refresh this node's own while the target is down. */
static void sweep_reports(struct member *m, struct target_entry *t)
{
	uint64_t self = m->self->peer.id;

	for (guint i = t->reports->len; i-- > 0;) {
		const struct target_report *report =
			g_ptr_array_index(t->reports, i);
		int64_t age_ms = m->now_ms - report->received_ms;

		if (report->observer == self && t->down &&
		    age_ms >= REPORT_REFRESH_MS &&
		    count_observers_down(t, m->now_ms) <=
			    OBSERVERS_PER_TARGET_MAX)
			publish_report(m, t, self, TARGET_STATUS_UNREACHABLE);
		else if (age_ms >= report_ttl_ms(report)) {
			drop_report(m, t, i);
			m->view_version++;
		}
	}
}

void targets_sweep(struct member *m)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, m->targets);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct target_entry *t = p;

		sweep_reports(m, t);
		if (t->down && m->now_ms - t->last_failure_ms >= DOWN_RETRY_MS)
			mark_up(m, t);
		if (m->now_ms - t->last_update_ms < TARGET_RETENTION_MS)
			continue;
		while (t->reports->len)
			drop_report(m, t, 0);
		g_hash_table_iter_remove(&it);
		m->view_version++;
	}
}
