/*
 * This node's ways to targets: which are cut, so that the targets are reached
 * through other nodes, and when to try them again.
 */
#include "entry/tunnel.h"

/*
 * Targets of a service to which this node has lost its way, from which on it is
 * taken for lost to all others that have sent nothing for SILENT_MS.
 */
#define CUT_TARGETS 2
#define SILENT_MS   500
/* Least interval of the checks of targets of all services after a cut. */
#define CHECK_SERVICES_INTERVAL_MS 500
/* Interval of the looks at whether the way to a target is back. */
#define PROBE_INTERVAL_MS 500
/*
 * Time in which a way that was cut carries only requests that may be repeated,
 * unless the target sends something before: one on which connections are
 * established may still lose what is sent on them.
 */
#define UNPROVEN_MS 2000
/* Share of the targets to which a node has lost its way when it says so. */
#define CUT_SHARE 0.3
/* Most probes of ways at a time, as a part of the targets, and at least. */
#define PROBES_SHARE 0.125
#define PROBES_MIN   2

/* Reach the target through others. checked: by a check of it. */
static void set_cut(struct target *t, bool checked)
{
	t->cut_checked |= checked;
	if (t->cut_since_ms)
		return;
	t->cut_since_ms = time_boot_ms();
	t->unproven_until_ms = 0;
	t->probe_at_ms = t->cut_since_ms + PROBE_INTERVAL_MS;
	/* It was not to blame for what failed. */
	t->consecutive_faults = 0;
	t->ejected_until_ms = 0;
	t->error_rate = 0;
	t->last_failed = false;
	pool_close_idle_links(t);
	log_event(EV_WAY_LOST, "target=" STR_FMT " checked=%d silent_ms=%d",
		  STR_ARG(t->info.name), checked,
		  t->last_received_ms
			  ? (int)(t->cut_since_ms - t->last_received_ms)
			  : -1);
}

/*
 * Whether this node has lost its way to several targets of the service, and
 * none of the others has sent anything since then or shortly before.
 */
static bool is_service_cut(const struct traffic *tr, struct str service,
			   int64_t since_ms)
{
	size_t cut = 0, listed = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct target *t = v;

		if (!t->listed || !str_eq(t->info.service, service))
			continue;
		if (!t->cut_since_ms && t->last_received_ms >= since_ms)
			return false;
		listed++;
		cut += t->cut_checked;
	}
	return cut && cut >= MIN(CUT_TARGETS, listed);
}

/* Take the way to the service's targets that are silent for lost. */
static void cut_silent(struct traffic *tr, struct str service)
{
	int64_t since_ms = time_boot_ms() - SILENT_MS;
	GHashTableIter it;
	gpointer v;

	if (!is_service_cut(tr, service, since_ms))
		return;
	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct target *t = v;

		if (t->listed && str_eq(t->info.service, service) &&
		    t->last_received_ms < since_ms)
			set_cut(t, false);
	}
}

/* What cut the way to one service may have cut that to others: check some. */
static void check_other_services(struct traffic *tr)
{
	int64_t now = time_boot_ms();
	GHashTable *checked;
	GHashTableIter it;
	gpointer v;

	if (now - tr->services_checked_ms < CHECK_SERVICES_INTERVAL_MS)
		return;
	tr->services_checked_ms = now;
	checked = g_hash_table_new(str_key_hash, str_key_equal);
	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct target *t = v;
		int n = GPOINTER_TO_INT(
			g_hash_table_lookup(checked, &t->info.service));

		if (!t->listed || t->cut_since_ms || n == CUT_TARGETS ||
		    now - t->last_received_ms < SILENT_MS)
			continue;
		g_hash_table_insert(checked, &t->info.service,
				    GINT_TO_POINTER(n + 1));
		reach_check_start(t, NULL);
	}
	g_hash_table_unref(checked);
}

static bool is_unproven(const struct target *t, int64_t now_ms)
{
	return t->unproven_until_ms > now_ms;
}

bool ways_is_open(const struct target *t, bool last)
{
	return !t->cut_since_ms && !(last && is_unproven(t, time_boot_ms()));
}

void ways_record_received(struct target *t)
{
	t->unproven_until_ms = 0;
}

void ways_record_no_help(struct target *t)
{
	t->unproven_until_ms = 0;
}

bool ways_record_break(struct target *t)
{
	if (!is_unproven(t, time_boot_ms()))
		return false;
	set_cut(t, true);
	return true;
}

void ways_record(struct target *t, enum target_way way)
{
	if (way == WAY_CUT) {
		set_cut(t, true);
		cut_silent(t->tr, t->info.service);
		check_other_services(t->tr);
	} else if (way == WAY_OPEN && t->cut_since_ms) {
		log_event(EV_WAY_BACK, "target=" STR_FMT " ms=%d",
			  STR_ARG(t->info.name),
			  (int)(time_boot_ms() - t->cut_since_ms));
		t->cut_since_ms = 0;
		t->cut_checked = false;
		t->unproven_until_ms = time_boot_ms() + UNPROVEN_MS;
	} else if (way == WAY_UNKNOWN) {
		/* A probe has failed, as long as the way is looked at. */
		ways_record_break(t);
	}
}

/*
 * Tell other nodes whether this one has lost its way, so that they send it
 * fewer callers and don't ask it for help. Those that never have say nothing.
 */
static void tell_others(struct traffic *tr, size_t cut, int64_t now_ms)
{
	bool is_cut = cut && (double)cut >= CUT_SHARE * (double)tr->list->n;

	if (is_cut || tr->says_cut)
		notices_set(tr->e->notices, NOTICE_NODE_CUT,
			    member_id(tr->settings->node_name), is_cut, now_ms);
	tr->says_cut = is_cut;
}

void ways_probe(struct traffic *tr, int64_t now_ms)
{
	size_t most =
		(size_t)(PROBES_SHARE * (double)g_hash_table_size(tr->targets));
	size_t cut = 0, n = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct target *t = v;

		if (!t->listed || (!t->cut_since_ms && !is_unproven(t, now_ms)))
			continue;
		cut += t->cut_since_ms != 0;
		if (now_ms < t->probe_at_ms || n >= MAX(most, PROBES_MIN))
			continue;
		n++;
		t->probe_at_ms = now_ms + PROBE_INTERVAL_MS;
		reach_probe_start(t);
	}
	metric_set(M_TARGETS_CUT, (int64_t)cut);
	tell_others(tr, cut, now_ms);
}
