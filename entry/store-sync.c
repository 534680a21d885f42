/*
 * Keeps the configuration and the list of targets in step with the platform's
 * store. A few nodes of the fleet, the readers, poll the store all the time.
 * The others query them or relays (peer-sync.c), and read the store themselves
 * only when their view is stale or when no reader confirms it.
 */
#include <string.h>
#include <talloc.h>

#include "entry/evacuations.h"
#include "entry/list-deadline.h"
#include "entry/store-sync.h"

/* Pause after a failed call, plus a random jitter. */
#define RETRY_MS        250
#define RETRY_JITTER_MS 150
/* Minimum interval between configuration reads of a node that is no reader. */
#define CONFIG_READ_MIN_MS 200
/* A reader waits for changes, and reads the whole row at this interval too. */
#define CONFIG_FULL_READ_MS 2100
/*
 * A node that is no reader reads the store itself once its view has not been
 * confirmed for this long, or for this part of the drain time of a target if
 * that is shorter: a read must fit into the rest of the drain time.
 */
#define UNCONFIRMED_MAX_MS   2000
#define UNCONFIRMED_MAX_PART 0.65
/*
 * Parts of the time limits for revoking a key and for a new configuration for
 * which a node relies on readers before it reads the configuration itself.
 */
#define RELIANCE_MAX_REVOKE_PART 0.4
#define RELIANCE_MAX_APPLY_PART  0.7
/* Interval at which a node that is no reader checks whether it has to read. */
#define RECHECK_MS 100
/*
 * A node that is no reader reads the store itself at most once in this time for
 * each node of the fleet: when no reader is current, as during an outage, all
 * nodes are in this state, and the store has to bear it. With its random part,
 * of a quarter more or less, the interval stays below the 5 s within which a
 * node that reaches no other one has to learn of an evacuation.
 */
#define OWN_READ_MS_PER_NODE 10
#define OWN_READ_MAX_MS      3600
/*
 * Part of the drain time within which a node without a current reader reads the
 * targets again: the read has to end before the list is too old to be used.
 */
#define OWN_READ_DRAIN_PART 0.5
/* The same of the time to apply a configuration, while the store answers. */
#define OWN_READ_APPLY_PART 0.5
/*
 * After a start the other nodes get this long to confirm the first view, that
 * of the targets at most UNCONFIRMED_MAX_PART of the drain time.
 */
#define OWN_READ_START_MS 3000
/* A failed call doubles the pause up to this, on a node that is no reader. */
#define RETRY_MAX_MS 2000
/* A configuration that another node sends has to arrive within this time. */
#define CONFIG_PEER_MAX_MS 1200
/*
 * After the store has come back from a copy, the operator writes his
 * configuration again. A lower version is not applied for this long.
 */
#define OLD_CONFIG_MS 5000
/* After a failed call, a paged read that began longer ago starts over. */
#define PAGED_READ_MAX_MS 2000
/* Shortest interval between reads that are caused by a reader's answer. */
#define TARGETS_READ_MIN_MS 300
/* Reads of the targets within the drain time of a target. */
#define READS_PER_DRAIN 3

void store_sync_schedule(struct store_sync *s, ev_timer *w, int64_t ms)
{
	timer_start_once(s->loop, w, ms);
}

static int64_t retry_pause_ms(struct store_sync *s)
{
	const struct entry_settings *e = &s->e->control_settings;
	int64_t max_ms = call_watch_pause_max_ms(e->bounds_contact_ms,
						 e->store_timeout_ms,
						 RETRY_JITTER_MS + RECHECK_MS);
	int64_t ms = RETRY_MS;

	max_ms = CLAMP(max_ms, RETRY_MS, RETRY_MAX_MS);
	for (int i = 1; !s->reader && i < s->failures && ms < max_ms; i++)
		ms *= 2;
	ms = MIN(ms, max_ms);
	return ms + g_rand_int_range(s->rand, 0, RETRY_JITTER_MS);
}

/*
 * Return when a node that is no reader may read the store itself again; max_ms
 * limits the mean interval.
 */
static int64_t next_own_read_ms(struct store_sync *s, int64_t now_ms,
				int64_t max_ms)
{
	int64_t ms = MIN((int64_t)s->fleet_size * OWN_READ_MS_PER_NODE, max_ms);

	return now_ms + ms * 3 / 4 +
	       g_rand_int_range(s->rand, 0, (gint32)ms / 2 + 1);
}

/* Return a part of the drain time of a target. */
static int64_t drain_part_ms(const struct store_sync *s, double part)
{
	return (int64_t)(part * (double)s->e->control_settings.bounds_drain_ms);
}

static struct list_evidence list_evidence(const struct store_sync *s)
{
	return (struct list_evidence){s->targets_confirmed_ms,
				      outage_last_ms(&s->outage),
				      s->targets_newer_ms};
}

static struct list_bounds list_bounds(const struct store_sync *s)
{
	const struct entry_settings *e = &s->e->control_settings;

	return (struct list_bounds){e->bounds_drain_ms, e->bounds_contact_ms};
}

/* Return until when the present list of targets may be used. */
static int64_t list_until_ms(const struct store_sync *s, int64_t now_ms)
{
	struct list_evidence e = list_evidence(s);
	struct list_bounds b = list_bounds(s);

	return list_deadline_ms(&e, &b, now_ms);
}

/* Move on the time until which the list is used, again while disturbed. */
static void extend_list(struct store_sync *s)
{
	struct list_evidence e = list_evidence(s);
	struct list_bounds b = list_bounds(s);
	int64_t now = time_boot_ms();
	int64_t next = list_next_deadline_ms(&e, &b, now);

	entry_extend_list(s->e, list_deadline_ms(&e, &b, now));
	if (next)
		store_sync_schedule(s, &s->extend_timer, next - now);
}

static void on_extend(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	extend_list(w->data);
}

void store_sync_note_failure(struct store_sync *s, int64_t sent_ms)
{
	outage_note_failure(&s->outage, sent_ms);
	extend_list(s);
}

/* Record whether the store answers; log when that changes. */
static void record_store_state(struct store_sync *s, const struct store_page *p)
{
	bool up = p->status != STORE_FAILED;

	if (up && s->reader)
		outage_note_probed_answer(&s->outage, p->sent_ms,
					  time_boot_ms());
	else if (up)
		outage_note_answer(&s->outage, p->sent_ms, time_boot_ms());
	else if (!p->refused)
		store_sync_note_failure(s, p->sent_ms);
	s->failures = up ? 0 : s->failures + 1;
	if (up == s->store_up)
		return;
	s->store_up = up;
	if (!up && s->reader)
		store_sync_schedule(s, &s->probe_timer, OUTAGE_PROBE_MS);
	log_event(up ? EV_STORE_REACHABLE : EV_STORE_UNREACHABLE,
		  "config=%d config_age_ms=%d", (int)s->config_version,
		  (int)(time_boot_ms() - atomic_load(&s->e->config_fresh_ms)));
}

/*
 * Note the era of a page or of another node's answer. Return false when it is
 * an earlier one, whose content is out of date.
 */
bool store_sync_accept_era(struct store_sync *s, int64_t era)
{
	int64_t now = time_boot_ms();

	if (era <= s->era)
		return era == s->era;
	/* The first era that a process sees is not a change. */
	if (s->era || s->config_version >= 0) {
		log_event(EV_STORE_ERA, "era=%d before=%d config=%d", (int)era,
			  (int)s->era, (int)s->config_version);
		s->era_seen_ms = now;
		s->era_config_version =
			MAX(s->era_config_version, s->config_version);
		s->config_revision = 0;
		s->rows_revision = 0;
		s->zone_row_revision = 0;
		evacuations_new_era(s->e->evacuations, now);
		outage_restart(&s->outage, now);
		target_table_new_era(s->table, now);
		g_clear_pointer(&s->next_key, g_free);
	}
	s->era = era;
	return true;
}

/* Configuration. */

/* Whether an older configuration may still be one from before a copy. */
bool store_sync_awaits_operator(const struct store_sync *s)
{
	return s->era_seen_ms &&
	       time_boot_ms() - s->era_seen_ms < OLD_CONFIG_MS;
}

/* Whether the configuration replaces the one in force. */
static bool is_newer(const struct store_sync *s, const struct entry_config *c,
		     const char *text)
{
	if (c->version > s->config_version)
		return true;
	/* A read may return an older state of the store. */
	if (!s->era_seen_ms)
		return false;
	/* Versions are given out again after the store was restored. */
	if (c->version == s->config_version)
		return strcmp(text, s->config_text) != 0;
	return !store_sync_awaits_operator(s);
}

/*
 * Publish a configuration if it is newer than the one in force. Return false
 * when it is malformed or the one in force may not be the newest.
 */
bool store_sync_apply_config(struct store_sync *s, const json_t *value)
{
	GError *err = NULL;
	struct entry_config *c = s->api->config(value, &err);
	char *text;
	bool current;

	if (!c) {
		log_event(EV_CONFIG_UNREADABLE, "error=\"%s\"", err->message);
		g_error_free(err);
		return false;
	}
	text = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS);
	if (!is_newer(s, c, text)) {
		s->config_stale_ms = 0;
		current = c->version == s->config_version ||
			  store_sync_awaits_operator(s);
		entry_config_unref(c);
		free(text);
		return current;
	}
	store_sync_keep_base(s);
	s->config_text = text;
	s->config_hash = str_hash(str_c(text), 0);
	s->config_version = c->version;
	s->config_stale_ms = 0;
	log_event(EV_CONFIG_APPLIED, "revision=%d routes=%d", (int)c->version,
		  (int)c->route_count);
	entry_publish_config(s->e, c);
	return true;
}

static void clear_rows(struct config_rows *r)
{
	g_free(r->next_key);
	json_decref(r->config);
	*r = (struct config_rows){0};
}

/* Use the row of an evacuated zone. */
static void take_evacuation(struct store_sync *s, const struct store_page *p,
			    const struct store_row *row)
{
	struct evacuations *e = s->e->evacuations;
	uint64_t zone = evacuation_zone_id(str_c(row->zone));

	if (s->config_whole) {
		if (!row->deleted)
			evacuations_add_row(e, zone, row->zone);
		return;
	}
	evacuations_row_changed(e, zone, row->zone, !row->deleted, p->sent_ms,
				time_boot_ms());
	/*
	 * The feed may have been asked for long before the row was written. A
	 * read of all rows shows what is so now; one for each change, as a feed
	 * may show a row again.
	 */
	if (row->revision <= s->zone_row_revision)
		return;
	s->zone_row_revision = row->revision;
	s->config_read_ms = 0;
}

/*
 * Whether a page shows an older state of the store than one before, as a read
 * may. One that nothing contradicts any more is not older: a store that does
 * not tell its eras has come back from a copy.
 */
static bool is_old_page(struct store_sync *s, const struct store_page *p)
{
	int64_t now = time_boot_ms();

	if (p->revision < s->rows_revision &&
	    now - s->rows_revision_ms < OLD_CONFIG_MS)
		return true;
	if (p->revision < s->rows_revision)
		s->zone_row_revision = 0;
	s->rows_revision = p->revision;
	s->rows_revision_ms = now;
	return false;
}

/* Collect the rows of a page. */
static void take_rows(struct store_sync *s, const struct store_page *p)
{
	struct config_rows *r = &s->rows;
	bool old = is_old_page(s, p);

	r->old |= old;
	for (size_t i = 0; i < p->n; i++) {
		const struct store_row *row = &p->rows[i];

		if (row->zone && !old) {
			take_evacuation(s, p, row);
		} else if (!row->zone && !row->deleted) {
			json_decref(r->config);
			r->config = s->api->value(p, i);
			r->has_config = true;
		}
	}
}

/*
 * Use the rows once all are there: first the evacuations, as the node serves
 * callers once it has a configuration. Return false when the configuration that
 * was read is not in force here.
 */
static bool finish_rows(struct store_sync *s)
{
	struct config_rows *r = &s->rows;
	bool ok = true;

	/* It shows less than is known, as a read may. */
	if (r->old)
		return false;
	if (s->config_whole) {
		evacuations_finish_read(s->e->evacuations, r->sent_ms,
					time_boot_ms());
		s->config_was_read = true;
	}
	if (r->has_config)
		ok = store_sync_apply_config(s, r->config);
	return ok && s->config_version >= 0;
}

/* Begin with the first page of a read, or with a feed. */
static void begin_rows(struct store_sync *s, const struct store_page *p)
{
	s->rows = (struct config_rows){
		.sent_ms = p->sent_ms,
		.era = p->era,
		.revision = p->revision,
	};
	if (s->config_whole)
		evacuations_begin_read(s->e->evacuations);
}

/* Readers wait for the next change at once; others do not read repeatedly. */
static int64_t config_pause_ms(struct store_sync *s)
{
	if (s->config_version < 0)
		return retry_pause_ms(s);
	return s->reader ? 0 : CONFIG_READ_MIN_MS;
}

/* Start over after a failed call, or one that does not fit the last. */
static void drop_rows(struct store_sync *s, int64_t pause_ms)
{
	clear_rows(&s->rows);
	s->config_revision = 0;
	store_sync_schedule(s, &s->config_timer, pause_ms);
}

static void on_config(void *ctx, const struct store_page *p)
{
	struct store_sync *s = ctx;

	s->config_busy = false;
	record_store_state(s, p);
	if (p->status != STORE_OK || !store_sync_accept_era(s, p->era)) {
		int64_t pause_ms =
			p->status == STORE_HISTORY_LOST ? 0 : retry_pause_ms(s);

		/* A sound store has refused it: the time until then counts. */
		if (p->refused)
			s->config_own_at_ms = MIN(s->config_own_at_ms,
						  time_boot_ms() + pause_ms);
		drop_rows(s, pause_ms);
		return;
	}
	if (!s->rows.next_key)
		begin_rows(s, p);
	else if (p->era != s->rows.era) {
		drop_rows(s, retry_pause_ms(s));
		return;
	}
	take_rows(s, p);
	g_clear_pointer(&s->rows.next_key, g_free);
	if (s->config_whole && p->more && p->last_key) {
		/* The smallest key above the last one read. */
		s->rows.next_key = g_strconcat(p->last_key, "\001", NULL);
		store_sync_schedule(s, &s->config_timer, 0);
		return;
	}
	if (finish_rows(s))
		entry_confirm_config(s->e, s->rows.sent_ms);
	/* A feed that is cut short would have to be asked for its rest. */
	s->config_revision = !s->config_whole && p->more ? 0 : s->rows.revision;
	clear_rows(&s->rows);
	store_sync_schedule(s, &s->config_timer, config_pause_ms(s));
}

/* Time without confirmation after which a node reads the store itself. */
static int64_t unconfirmed_max_ms(const struct store_sync *s)
{
	return MIN(UNCONFIRMED_MAX_MS, drain_part_ms(s, UNCONFIRMED_MAX_PART));
}

static bool is_unconfirmed(const struct store_sync *s, int64_t confirmed_ms,
			   int64_t now_ms)
{
	return !confirmed_ms || now_ms - confirmed_ms > unconfirmed_max_ms(s);
}

static int64_t reliance_max_ms(const struct store_sync *s)
{
	const struct entry_settings *e = &s->e->control_settings;

	return (int64_t)MIN(
		RELIANCE_MAX_REVOKE_PART * (double)e->bounds_revoke_ms,
		RELIANCE_MAX_APPLY_PART * (double)e->bounds_config_apply_ms);
}

/* Whether the readers confirm that the configuration is current. */
static bool is_config_confirmed(const struct store_sync *s, int64_t now_ms)
{
	struct peer_reliance r = {
		.confirmed_ms = s->config_confirmed_ms,
		.known_ms = atomic_load(&s->e->config_fresh_ms),
		.unconfirmed_max_ms = unconfirmed_max_ms(s),
		.reliance_max_ms = reliance_max_ms(s),
	};

	return !s->config_stale_ms && peer_reliance_is_valid(&r, now_ms);
}

int64_t store_sync_poll_wait_ms(const struct store_sync *s)
{
	const struct entry_settings *e = &s->e->control_settings;

	return reader_poll_wait_ms(e->store_config_wait_ms, e->bounds_revoke_ms,
				   e->bounds_config_apply_ms);
}

/* Whether a newer configuration is expected from another node. */
static bool awaits_peer_config(const struct store_sync *s, int64_t now_ms)
{
	return s->config_stale_ms && s->fetch_version >= 0 &&
	       now_ms - s->config_stale_ms < CONFIG_PEER_MAX_MS;
}

/* Mean interval at most between a node's own reads of the configuration. */
static int64_t config_read_max_ms(const struct store_sync *s)
{
	const struct entry_settings *e = &s->e->control_settings;

	if (!s->store_up)
		return OWN_READ_MAX_MS;
	return MIN(OWN_READ_MAX_MS,
		   (int64_t)(OWN_READ_APPLY_PART *
			     (double)e->bounds_config_apply_ms));
}

/* Whether a node that is no reader reads the configuration now. */
static bool reads_config_itself(struct store_sync *s, int64_t now_ms)
{
	if (is_config_confirmed(s, now_ms) || awaits_peer_config(s, now_ms))
		return false;
	if (s->config_version < 0)
		return true;
	if (now_ms < s->config_own_at_ms)
		return false;
	s->config_own_at_ms =
		next_own_read_ms(s, now_ms, config_read_max_ms(s));
	log_event(EV_STORE_READ_OWN, "table=config reason=%s config=%d",
		  s->config_stale_ms ? "peer_newer" : "unconfirmed",
		  (int)s->config_version);
	return true;
}

static void read_config(struct ev_loop *loop, ev_timer *w, int events)
{
	struct store_sync *s = w->data;
	int64_t now = time_boot_ms();
	bool full_read_due = now - s->config_read_ms >= CONFIG_FULL_READ_MS;

	(void)loop;
	(void)events;
	if (!s->reader && !s->rows.next_key && !reads_config_itself(s, now)) {
		/*
		 * The revision to wait from becomes too old while the node does
		 * not read, so the next call has to read the row.
		 */
		s->config_revision = 0;
		store_sync_schedule(s, w, RECHECK_MS);
		return;
	}
	s->config_busy = true;
	s->config_whole = s->rows.next_key || !s->config_revision ||
			  !s->reader || full_read_due;
	if (!s->config_whole) {
		s->api->await(s->store, STORE_CONFIG, s->config_revision,
			      store_sync_poll_wait_ms(s), on_config, s);
		return;
	}
	if (!s->rows.next_key)
		s->config_read_ms = now;
	s->api->read(s->store, STORE_CONFIG,
		     s->rows.next_key ? s->rows.next_key : "", on_config, s);
}

/* Targets. */

void store_sync_confirm_targets(struct store_sync *s, int64_t at_ms,
				uint64_t from)
{
	/* An answer may have confirmed more between two pages of a read. */
	if (at_ms > s->targets_confirmed_ms) {
		s->targets_confirmed_ms = at_ms;
		entry_confirm_targets(s->e, at_ms, from);
	}
	extend_list(s);
}

void store_sync_note_newer_targets(struct store_sync *s, int64_t at_ms)
{
	s->targets_newer_ms = MAX(s->targets_newer_ms, at_ms);
	extend_list(s);
	if (!s->targets_busy &&
	    time_boot_ms() - s->read_ended_ms >= TARGETS_READ_MIN_MS)
		store_sync_schedule(s, &s->targets_timer, 0);
}

void store_sync_publish_targets(struct store_sync *s)
{
	int64_t confirmed_ms = s->targets_confirmed_ms;
	struct target_list *l;
	int draining = 0;

	target_table_log_changes(
		s->table, confirmed_ms ? time_boot_ms() - confirmed_ms : -1);
	if (!target_table_changed(s->table) && s->e->list)
		return;
	l = target_table_list(s->table);
	for (size_t i = 0; i < l->n; i++)
		draining += l->v[i].draining;
	log_event(EV_TARGETS_CHANGED, "targets=%d leaving=%d", (int)l->n,
		  draining);
	l->until_ms = list_until_ms(s, time_boot_ms());
	entry_publish_targets(s->e, l);
}

/* A call for the targets begins. */
static void begin_targets_call(struct store_sync *s, int64_t now_ms)
{
	int64_t due_ms = call_watch_begin(&s->watch, now_ms, s->failures > 0);

	s->targets_busy = true;
	store_sync_schedule(s, &s->watch_timer, due_ms - now_ms);
}

/* It has ended, with an answer or without. */
static void end_targets_call(struct store_sync *s, bool answered)
{
	s->targets_busy = false;
	ev_timer_stop(s->loop, &s->watch_timer);
	call_watch_end(&s->watch, time_boot_ms(), answered);
	outage_note_hanging(&s->outage, 0);
}

static void on_watch(struct ev_loop *loop, ev_timer *w, int events)
{
	struct store_sync *s = w->data;
	int64_t now = time_boot_ms();

	(void)loop;
	(void)events;
	if (!call_watch_is_hanging(&s->watch, now)) {
		store_sync_schedule(s, w, MAX(s->watch.due_ms - now, 1));
		return;
	}
	outage_note_hanging(&s->outage, s->watch.started_ms);
	extend_list(s);
}

/* Finish a full read, after its last page. */
static void finish_read(struct store_sync *s)
{
	int64_t now = time_boot_ms();
	bool whole;

	s->read_ended_ms = now;
	s->targets_stale = false;
	whole = target_table_finish_read(
		s->table, outage_is_settled(&s->outage, s->read_started_ms),
		now);
	store_sync_publish_targets(s);
	/* Whether targets whose rows are missing have left is not known yet. */
	if (whole)
		store_sync_confirm_targets(s, s->read_started_ms, 0);
}

/* Return when a read must begin to end before the list is too old. */
static int64_t read_by_ms(const struct store_sync *s, int64_t now_ms)
{
	struct list_evidence e = list_evidence(s);
	struct list_bounds b = list_bounds(s);

	return list_read_by_ms(&e, &b,
			       call_watch_slowest_ms(&s->watch, now_ms));
}

static int64_t targets_pause_ms(const struct store_sync *s)
{
	int64_t now = time_boot_ms();
	int64_t ms =
		MIN(s->e->control_settings.store_targets_poll_ms,
		    s->e->control_settings.bounds_drain_ms / READS_PER_DRAIN);
	int64_t settled_in_ms = outage_settled_ms(&s->outage) - now;

	/* Missing rows may be removed from then on. */
	if (settled_in_ms > 0)
		return MIN(ms, settled_in_ms);
	return CLAMP(read_by_ms(s, now) - now, MIN(ms, RECHECK_MS), ms);
}

static void on_targets(void *ctx, const struct store_page *p)
{
	struct store_sync *s = ctx;
	int64_t pause_ms;

	end_targets_call(s, p->status != STORE_FAILED);
	record_store_state(s, p);
	if (p->status != STORE_OK || !store_sync_accept_era(s, p->era)) {
		/* Keep the pages read so far, unless they are too old. */
		if (time_boot_ms() - s->read_started_ms > PAGED_READ_MAX_MS)
			g_clear_pointer(&s->next_key, g_free);
		pause_ms = retry_pause_ms(s);
		/* One failure may be of this call alone. */
		if (s->failures == 1)
			s->targets_own_at_ms = MIN(s->targets_own_at_ms,
						   time_boot_ms() + pause_ms);
		store_sync_schedule(s, &s->targets_timer, pause_ms);
		return;
	}
	g_clear_pointer(&s->next_key, g_free);
	for (size_t i = 0; i < p->n; i++)
		target_table_apply_row(s->table, s->api, p, i, time_boot_ms());
	target_table_end_page(s->table, p);
	if (p->n && p->more) {
		/* The smallest key above the last one read. */
		s->next_key = g_strconcat(p->rows[p->n - 1].key, "\001", NULL);
		store_sync_schedule(s, &s->targets_timer, 0);
		return;
	}
	finish_read(s);
	/* A reader's answer with another hash brings the next read forward. */
	store_sync_schedule(s, &s->targets_timer, targets_pause_ms(s));
}

/* Whether a node that is no reader reads the targets now. */
static bool reads_targets_itself(struct store_sync *s, int64_t now_ms)
{
	if (s->next_key || !s->read_ended_ms)
		return true;
	if (now_ms < outage_own_reads_ms(&s->outage))
		return false;
	if (!s->targets_stale &&
	    !is_unconfirmed(s, s->targets_confirmed_ms, now_ms) &&
	    now_ms < read_by_ms(s, now_ms))
		return false;
	if (now_ms < s->targets_own_at_ms)
		return false;
	s->targets_own_at_ms = next_own_read_ms(
		s, now_ms,
		MIN(OWN_READ_MAX_MS, drain_part_ms(s, OWN_READ_DRAIN_PART)));
	log_event(EV_STORE_READ_OWN, "table=targets reason=%s age_ms=%d",
		  s->targets_stale ? "list_differs" : "unconfirmed",
		  (int)(now_ms - s->targets_confirmed_ms));
	return true;
}

static void read_targets(struct ev_loop *loop, ev_timer *w, int events)
{
	struct store_sync *s = w->data;
	int64_t now = time_boot_ms();

	(void)loop;
	(void)events;
	if (!s->reader && !reads_targets_itself(s, now)) {
		store_sync_schedule(s, w, RECHECK_MS);
		return;
	}
	if (!s->next_key) {
		target_table_begin_read(s->table);
		s->read_started_ms = now;
	}
	begin_targets_call(s, now);
	s->api->read(s->store, STORE_TARGETS, s->next_key ? s->next_key : "",
		     on_targets, s);
}

/* The answer to a probe, of which only the time counts. */
static void on_probe_answer(void *ctx, const struct store_page *p)
{
	struct store_sync *s = ctx;

	if (p->status != STORE_FAILED)
		outage_note_probed_answer(&s->outage, p->sent_ms,
					  time_boot_ms());
}

/* Ask the store, while a call to it hangs, whether it is back. */
static void probe_store(struct ev_loop *loop, ev_timer *w, int events)
{
	struct store_sync *s = w->data;

	(void)loop;
	(void)events;
	if (s->store_up || !s->reader)
		return;
	if (s->config_busy)
		s->api->read(s->store, STORE_CONFIG, "", on_probe_answer, s);
	store_sync_schedule(s, w, OUTAGE_PROBE_MS);
}

void store_sync_set_reader(struct store_sync *s, bool reader, size_t fleet_size)
{
	if (reader && !s->reader && !s->store_up)
		store_sync_schedule(s, &s->probe_timer, OUTAGE_PROBE_MS);
	s->reader = reader;
	s->fleet_size = fleet_size;
}

static void start_timer(struct store_sync *s, ev_timer *w,
			void (*fn)(struct ev_loop *, ev_timer *, int))
{
	ev_timer_init(w, fn, 0, 0);
	w->data = s;
	ev_timer_start(s->loop, w);
}

int64_t store_sync_targets_confirmed_ms(const struct store_sync *s)
{
	return s->targets_confirmed_ms;
}

bool store_sync_is_failing(const struct store_sync *s)
{
	return !s->store_up || s->outage.hanging_ms;
}

struct store_sync *store_sync_new(struct entry *e, struct ev_loop *loop)
{
	struct store_sync *s = g_new0(struct store_sync, 1);
	int64_t now = time_boot_ms();

	s->e = e;
	s->api = e->o->store;
	s->loop = loop;
	s->store = e->store;
	s->rand = g_rand_new();
	s->config_version = -1;
	s->era_config_version = -1;
	s->fetch_version = -1;
	s->fetched = g_string_new(NULL);
	s->config_own_at_ms = now + OWN_READ_START_MS;
	s->targets_own_at_ms =
		now +
		MIN(OWN_READ_START_MS, drain_part_ms(s, UNCONFIRMED_MAX_PART));
	s->store_up = true;
	ev_init(&s->probe_timer, probe_store);
	s->probe_timer.data = s;
	ev_init(&s->watch_timer, on_watch);
	s->watch_timer.data = s;
	ev_init(&s->extend_timer, on_extend);
	s->extend_timer.data = s;
	s->table = target_table_new();
	target_table_on_cold(s->table, warmups_read_row, e);
	start_timer(s, &s->config_timer, read_config);
	start_timer(s, &s->targets_timer, read_targets);
	return s;
}

void store_sync_free(struct store_sync *s)
{
	ev_timer_stop(s->loop, &s->config_timer);
	ev_timer_stop(s->loop, &s->targets_timer);
	ev_timer_stop(s->loop, &s->probe_timer);
	ev_timer_stop(s->loop, &s->watch_timer);
	ev_timer_stop(s->loop, &s->extend_timer);
	target_table_free(s->table);
	free(s->config_text);
	clear_rows(&s->rows);
	for (size_t i = 0; i < CONFIG_BASES; i++)
		store_sync_clear_base(&s->bases[i]);
	g_string_free(s->fetched, TRUE);
	g_free(s->after_key);
	g_rand_free(s->rand);
	g_free(s->next_key);
	g_free(s);
}
