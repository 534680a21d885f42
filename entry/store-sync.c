/*
 * Keeps the configuration and the list of targets in step with the platform's
 * store. A few nodes of the fleet, the readers, poll the store all the time.
 * The others query the readers, and read the store themselves only when their
 * view is stale or when no reader confirms it.
 */
#include <string.h>
#include <talloc.h>

#include "entry/store-clients.h"

/* Limit of the updates in a message, which must not need IP fragmentation. */
#define UPDATES_BYTES_MAX 1200
/* Pause after a failed call, plus a random jitter. */
#define RETRY_MS        250
#define RETRY_JITTER_MS 150
/* Minimum interval between configuration reads of a node that is no reader. */
#define CONFIG_READ_MIN_MS 200
/* A reader waits for changes, and reads the whole row at this interval too. */
#define CONFIG_FULL_READ_MS 2100
/*
 * Targets whose rows expired during an outage of the store register again
 * within 2 s of its end. Missing rows are not removed for this long.
 */
#define RECOVERY_MS 2500
/*
 * The store counts as down after this time without a complete read and without
 * a reader's confirmation.
 */
#define OUTAGE_MS 2500
/*
 * A node that is no reader reads the store itself once its view has not been
 * confirmed for this long, or for this part of the drain time of a target if
 * that is shorter: a read must fit into the rest of the drain time.
 */
#define UNCONFIRMED_MAX_MS   1300
#define UNCONFIRMED_MAX_PART 0.65
/*
 * Part of the time limit for revoking a key for which a node relies on readers
 * before it reads the configuration itself.
 */
#define RELIANCE_MAX_PART 0.4
/* Interval at which a node that is no reader checks whether it has to read. */
#define RECHECK_MS 100
/* Shortest interval between reads that are caused by a reader's answer. */
#define TARGETS_READ_MIN_MS 300
/* After a failed call, a paged read that began longer ago starts over. */
#define PAGED_READ_MAX_MS 2000
/* Reads of the targets within the drain time of a target. */
#define READS_PER_DRAIN 3

/* The newest known state of a target's row. */
struct target_row {
	int64_t revision;
	bool usable;          /* info is valid */
	uint64_t read_number; /* of the last full read that contained it */
	struct target_info info;
	void *arena; /* owns the strings of info */
};

/* A recent change of the list, for nodes that query this one. */
struct target_change {
	char *key;
	int64_t revision;
	bool removed; /* deleted in the store, or no longer usable */
};

struct store_sync {
	struct entry *e;
	const struct store_api *api;
	void *store;
	struct ev_loop *loop;
	ev_timer config_timer, targets_timer;
	GRand *rand;
	bool reader;   /* see store_sync_set_reader */
	bool store_up; /* by the last call */

	int64_t config_version;      /* of the view in force; -1: none yet */
	int64_t config_revision;     /* of the store, to wait from; 0: read */
	int64_t config_read_ms;      /* start of the last full read */
	int64_t config_confirmed_ms; /* last query confirmed by a reader */
	bool config_stale;           /* a peer has a newer version */
	bool config_busy;            /* a call to the store is in progress */

	GHashTable *rows;     /* key -> struct target_row */
	uint64_t read_number; /* of the full read in progress, or the last */
	char *next_key; /* of the next page; NULL: before the first page */
	int64_t read_started_ms; /* start of that read */
	int64_t read_ended_ms;   /* end of the last complete read; 0: none */
	int64_t targets_confirmed_ms; /* last known to be current; 0: never */
	int64_t outage_ended_ms;      /* end of the last outage */
	uint64_t targets_hash;        /* of the list in force */
	GQueue *recent_changes;       /* struct target_change, newest first */
	bool targets_stale;           /* a peer has a newer list */
	bool targets_busy;            /* a call to the store is in progress */
	bool unpublished; /* rows have changed since the list was published */
};

static void schedule(struct store_sync *s, ev_timer *w, int64_t ms)
{
	timer_start_once(s->loop, w, ms);
}

static int64_t retry_pause_ms(struct store_sync *s)
{
	return RETRY_MS + g_rand_int_range(s->rand, 0, RETRY_JITTER_MS);
}

/* Log when the store becomes unreachable or reachable again. */
static void log_store_state(struct store_sync *s, const struct store_page *p)
{
	bool up = p->status != STORE_FAILED;

	if (up == s->store_up)
		return;
	s->store_up = up;
	log_event(up ? EV_STORE_REACHABLE : EV_STORE_UNREACHABLE,
		  "config=%d config_age_ms=%d", (int)s->config_version,
		  (int)(time_boot_ms() - atomic_load(&s->e->config_fresh_ms)));
}

/* Configuration. */

/*
 * Publish a configuration if it is newer than the one in force. Return false
 * when it is malformed or older.
 */
static bool apply_config(struct store_sync *s, const json_t *value)
{
	GError *err = NULL;
	struct entry_config *c = s->api->config(value, &err);

	if (!c) {
		log_event(EV_CONFIG_UNREADABLE, "error=\"%s\"", err->message);
		g_error_free(err);
		return false;
	}
	/* A read may return an older state of the store. */
	if (c->version <= s->config_version) {
		bool same = c->version == s->config_version;

		entry_config_unref(c);
		return same;
	}
	s->config_version = c->version;
	s->config_stale = false;
	log_event(EV_CONFIG_APPLIED, "revision=%d routes=%d", (int)c->version,
		  (int)c->route_count);
	entry_publish_config(s->e, c);
	return true;
}

/* Return false when the configuration in the page is not in force here. */
static bool apply_config_rows(struct store_sync *s, const struct store_page *p)
{
	bool ok = true;

	for (size_t i = 0; i < p->n; i++) {
		json_t *value;

		if (p->rows[i].deleted)
			continue;
		value = s->api->value(p, i);
		ok = apply_config(s, value);
		json_decref(value);
	}
	return ok && s->config_version >= 0;
}

/* Readers wait for the next change at once; others do not read repeatedly. */
static int64_t config_pause_ms(struct store_sync *s)
{
	if (s->config_version < 0)
		return retry_pause_ms(s);
	return s->reader ? 0 : CONFIG_READ_MIN_MS;
}

static void on_config(void *ctx, const struct store_page *p)
{
	struct store_sync *s = ctx;

	s->config_busy = false;
	log_store_state(s, p);
	if (p->status != STORE_OK) {
		s->config_revision = 0;
		schedule(s, &s->config_timer,
			 p->status == STORE_HISTORY_LOST ? 0
							 : retry_pause_ms(s));
		return;
	}
	if (apply_config_rows(s, p))
		entry_confirm_config(s->e, p->sent_ms);
	s->config_revision = p->revision;
	schedule(s, &s->config_timer, config_pause_ms(s));
}

/* Time without confirmation after which a node reads the store itself. */
static int64_t unconfirmed_max_ms(const struct store_sync *s)
{
	return MIN(UNCONFIRMED_MAX_MS,
		   (int64_t)(UNCONFIRMED_MAX_PART *
			     (double)s->e->control_settings.bounds_drain_ms));
}

static bool is_unconfirmed(const struct store_sync *s, int64_t confirmed_ms,
			   int64_t now_ms)
{
	return !confirmed_ms || now_ms - confirmed_ms > unconfirmed_max_ms(s);
}

/* Whether the readers confirm that the configuration is current. */
static bool is_config_confirmed(const struct store_sync *s, int64_t now_ms)
{
	struct peer_reliance r = {
		.confirmed_ms = s->config_confirmed_ms,
		.known_ms = atomic_load(&s->e->config_fresh_ms),
		.unconfirmed_max_ms = unconfirmed_max_ms(s),
		.reliance_max_ms = (int64_t)(RELIANCE_MAX_PART *
					     (double)s->e->control_settings
						     .bounds_revoke_ms),
	};

	return !s->config_stale && peer_reliance_is_valid(&r, now_ms);
}

static int64_t config_poll_wait_ms(const struct store_sync *s)
{
	return reader_poll_wait_ms(s->e->control_settings.store_config_wait_ms,
				   s->e->control_settings.bounds_revoke_ms);
}

static void read_config(struct ev_loop *loop, ev_timer *w, int events)
{
	struct store_sync *s = w->data;
	int64_t now = time_boot_ms();
	bool full_read_due = now - s->config_read_ms >= CONFIG_FULL_READ_MS;

	(void)loop;
	(void)events;
	if (!s->reader && is_config_confirmed(s, now)) {
		/*
		 * The revision to wait from becomes too old while the node does
		 * not read, so the next call has to read the row.
		 */
		s->config_revision = 0;
		schedule(s, w, RECHECK_MS);
		return;
	}
	s->config_busy = true;
	if (s->config_revision && s->reader && !full_read_due) {
		s->api->await(s->store, STORE_CONFIG, s->config_revision,
			      config_poll_wait_ms(s), on_config, s);
		return;
	}
	s->config_read_ms = now;
	s->api->read(s->store, STORE_CONFIG, "", on_config, s);
}

/* Targets. */

static void target_row_free(void *p)
{
	struct target_row *row = p;

	talloc_free(row->arena);
	g_free(row);
}

static void change_free(void *p)
{
	g_free(((struct target_change *)p)->key);
	g_free(p);
}

/* Keep a change for answers, which have room for the most recent ones only. */
static void record_change(struct store_sync *s, const char *key,
			  int64_t revision, bool removed)
{
	struct target_change *c = g_new(struct target_change, 1);

	*c = (struct target_change){g_strdup(key), revision, removed};
	g_queue_push_head(s->recent_changes, c);
	if (g_queue_get_length(s->recent_changes) > TARGET_UPDATES_MAX)
		change_free(g_queue_pop_tail(s->recent_changes));
	s->unpublished = true;
}

/* Update a target from its row, unless a newer revision is known. */
static void apply_target_row(struct store_sync *s, const struct store_page *p,
			     size_t i)
{
	const struct store_row *r = &p->rows[i];
	struct target_row *row = g_hash_table_lookup(s->rows, r->key);
	struct target_info info;
	void *arena;
	json_t *value;
	bool usable;

	/* A read may return an older state of the store. */
	if (row && row->revision >= r->revision) {
		row->read_number = s->read_number;
		return;
	}
	if (!row) {
		row = g_new0(struct target_row, 1);
		g_hash_table_insert(s->rows, g_strdup(r->key), row);
	}
	arena = talloc_new(NULL);
	value = s->api->value(p, i);
	usable = s->api->target(arena, r->key, value, &info);
	json_decref(value);
	if (!usable && (row->usable || !row->revision))
		log_event(EV_TARGET_UNREADABLE, "key=%s revision=%d", r->key,
			  (int)r->revision);
	/* Heartbeats change the row's revision, but not the target. */
	if (usable != row->usable ||
	    (usable && target_info_hash(&info) != target_info_hash(&row->info)))
		record_change(s, r->key, r->revision, !usable);
	talloc_free(row->arena);
	row->arena = arena;
	row->info = info;
	row->usable = usable;
	row->revision = r->revision;
	row->read_number = s->read_number;
}

/* Remove a row that the last full read did not contain. */
static gboolean drop_missing_row(gpointer key, gpointer v, gpointer ctx)
{
	struct store_sync *s = ctx;
	struct target_row *row = v;

	if (row->read_number == s->read_number)
		return false;
	if (row->usable)
		record_change(s, key, row->revision, true);
	return true;
}

/* Publish the usable rows as the list of targets. */
static void publish_targets(struct store_sync *s)
{
	struct target_list *l = target_list_new(g_hash_table_size(s->rows));
	GHashTableIter it;
	int draining = 0;
	gpointer v;

	s->targets_hash = 0;
	g_hash_table_iter_init(&it, s->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct target_row *row = v;
		struct target_info *t = &l->v[l->n];

		if (!row->usable)
			continue;
		*t = row->info;
		t->name = str_dup(l->arena, row->info.name);
		t->service = str_dup(l->arena, row->info.service);
		t->zone = str_dup(l->arena, row->info.zone);
		s->targets_hash ^= target_info_hash(t);
		draining += t->draining;
		l->n++;
	}
	log_event(EV_TARGETS_CHANGED, "targets=%d leaving=%d", (int)l->n,
		  draining);
	entry_publish_targets(s->e, l);
}

/* Finish a full read, after its last page. */
static void finish_read(struct store_sync *s)
{
	int64_t now = time_boot_ms();
	int64_t last_current_ms =
		MAX(s->read_ended_ms, s->targets_confirmed_ms);
	bool first = !s->read_ended_ms;

	if (last_current_ms && now - last_current_ms > OUTAGE_MS)
		s->outage_ended_ms = now;
	s->read_ended_ms = now;
	s->targets_confirmed_ms = s->read_started_ms;
	s->targets_stale = false;
	if (now - s->outage_ended_ms > RECOVERY_MS)
		g_hash_table_foreach_remove(s->rows, drop_missing_row, s);
	if (s->unpublished || first)
		publish_targets(s);
	s->unpublished = false;
}

static int64_t targets_pause_ms(const struct store_sync *s)
{
	return MIN(s->e->control_settings.store_targets_poll_ms,
		   s->e->control_settings.bounds_drain_ms / READS_PER_DRAIN);
}

static void on_targets(void *ctx, const struct store_page *p)
{
	struct store_sync *s = ctx;

	s->targets_busy = false;
	log_store_state(s, p);
	if (p->status != STORE_OK) {
		/* Keep the pages read so far, unless they are too old. */
		if (time_boot_ms() - s->read_started_ms > PAGED_READ_MAX_MS)
			g_clear_pointer(&s->next_key, g_free);
		schedule(s, &s->targets_timer, retry_pause_ms(s));
		return;
	}
	g_clear_pointer(&s->next_key, g_free);
	for (size_t i = 0; i < p->n; i++)
		apply_target_row(s, p, i);
	if (p->n && p->more) {
		/* The smallest key above the last one read. */
		s->next_key = g_strconcat(p->rows[p->n - 1].key, "\001", NULL);
		schedule(s, &s->targets_timer, 0);
		return;
	}
	finish_read(s);
	/* A reader's answer with another hash brings the next read forward. */
	schedule(s, &s->targets_timer, targets_pause_ms(s));
}

static void read_targets(struct ev_loop *loop, ev_timer *w, int events)
{
	struct store_sync *s = w->data;
	int64_t now = time_boot_ms();
	/*
	 * After an outage rows may be missing everywhere, so that a list that
	 * equals the readers' is not known to be complete.
	 */
	bool settled = now - s->outage_ended_ms > 2 * RECOVERY_MS;

	(void)loop;
	(void)events;
	if (!s->next_key && !s->reader && settled && !s->targets_stale &&
	    !is_unconfirmed(s, s->targets_confirmed_ms, now)) {
		schedule(s, w, RECHECK_MS);
		return;
	}
	if (!s->next_key) {
		s->read_number++;
		s->read_started_ms = now;
	}
	s->targets_busy = true;
	s->api->read(s->store, STORE_TARGETS, s->next_key ? s->next_key : "",
		     on_targets, s);
}

/* Queries between nodes. */

void store_sync_set_reader(struct store_sync *s, bool reader)
{
	s->reader = reader;
}

/* Return the age of a point in time for an answer; UINT32_MAX: not known. */
static unsigned age_ms_at(int64_t at_ms, int64_t now_ms)
{
	return at_ms ? (unsigned)MIN(now_ms - at_ms, UINT32_MAX) : UINT32_MAX;
}

static const char *str_or_empty(struct str s)
{
	return s.data ? s.data : "";
}

/* Describe a change for another node; the strings are borrowed. */
static void fill_update(struct store_sync *s, const struct target_change *c,
			struct target_update *update)
{
	const struct target_row *row = g_hash_table_lookup(s->rows, c->key);

	*update = (struct target_update){.key = c->key,
					 .revision = c->revision,
					 .removed = c->removed,
					 .service = (char *)"",
					 .zone = (char *)""};
	if (c->removed || !row || !row->usable)
		return;
	/*
	 * Send the current state; a later change of the same row, if any, is
	 * earlier in the message.
	 */
	update->revision = row->revision;
	update->draining = row->info.draining;
	update->id = row->info.id;
	update->service = (char *)str_or_empty(row->info.service);
	update->zone = (char *)str_or_empty(row->info.zone);
	update->ip = row->info.address.sin_addr.s_addr;
	update->port = row->info.address.sin_port;
	update->slots = (u_int)row->info.slots;
}

/* Apply an update from another node; false when it is not newer. */
static bool apply_update(struct store_sync *s,
			 const struct target_update *update)
{
	struct target_row *row = g_hash_table_lookup(s->rows, update->key);

	if (update->removed) {
		if (!row || row->revision > update->revision)
			return false;
		record_change(s, update->key, update->revision, true);
		g_hash_table_remove(s->rows, update->key);
		return true;
	}
	if (row && row->revision >= update->revision)
		return false;
	if (!row) {
		row = g_new0(struct target_row, 1);
		g_hash_table_insert(s->rows, g_strdup(update->key), row);
	}
	talloc_free(row->arena);
	row->arena = talloc_new(NULL);
	row->usable = true;
	row->revision = update->revision;
	row->read_number = s->read_number;
	row->info = (struct target_info){
		.id = update->id,
		.name = str_dup(row->arena, str_c(update->key)),
		.service = str_dup(row->arena, str_c(update->service)),
		.zone = str_dup(row->arena, str_c(update->zone)),
		.address = {.sin_family = AF_INET,
			    .sin_port = (in_port_t)update->port,
			    .sin_addr = {update->ip}},
		.slots = update->slots,
		.draining = update->draining,
	};
	record_change(s, update->key, update->revision, false);
	return true;
}

/* Apply the updates of an answer, oldest first. */
static void apply_updates(struct store_sync *s,
			  const struct store_query_answer *answer)
{
	bool changed = false;

	for (u_int i = answer->updates.updates_len; i-- > 0;)
		changed |= apply_update(s, &answer->updates.updates_val[i]);
	if (changed)
		publish_targets(s);
	s->unpublished = false;
}

/* Encoded size of an update, including length fields and padding. */
static int update_bytes(const struct target_update *update)
{
	return (int)xdr_sizeof((xdrproc_t)xdr_target_update, (void *)update);
}

void store_sync_answer(struct store_sync *s, const struct store_query *query,
		       struct store_query_answer *answer,
		       struct target_update *updates)
{
	GList *at = s->recent_changes->head;
	int64_t now = time_boot_ms();
	int room_bytes = UPDATES_BYTES_MAX;
	bool settled = now - s->outage_ended_ms > RECOVERY_MS;

	*answer = (struct store_query_answer){
		.query_sent_ms = query->sent_ms,
		.config_version = s->config_version,
		.config_age_ms =
			age_ms_at(atomic_load(&s->e->config_fresh_ms), now),
		.targets_hash = s->targets_hash,
		.targets_age_ms =
			settled ? age_ms_at(s->targets_confirmed_ms, now)
				: UINT32_MAX,
		.updates = {0, updates},
	};
	/* The querying node has the same list. */
	if (query->targets_hash == s->targets_hash)
		return;
	for (; at && answer->updates.updates_len < TARGET_UPDATES_MAX;
	     at = at->next) {
		struct target_update *update =
			&updates[answer->updates.updates_len];

		fill_update(s, at->data, update);
		room_bytes -= update_bytes(update);
		if (room_bytes < 0)
			break;
		answer->updates.updates_len++;
	}
}

uint64_t store_sync_targets_hash(const struct store_sync *s)
{
	return s->targets_hash;
}

void store_sync_apply_answer(struct store_sync *s,
			     const struct store_query_answer *answer)
{
	/*
	 * The ages count back from the time of the answer, which is later than
	 * that of the query. The times computed here are thus too early, which
	 * is the safe side.
	 */
	int64_t config_ms = answer->query_sent_ms - answer->config_age_ms;
	int64_t targets_ms = answer->query_sent_ms - answer->targets_age_ms;

	if (answer->query_sent_ms > time_boot_ms())
		return;
	if (answer->config_age_ms != UINT32_MAX &&
	    answer->config_version == s->config_version) {
		entry_confirm_config(s->e, config_ms);
		if (reader_is_current(answer->config_age_ms,
				      config_poll_wait_ms(s)))
			s->config_confirmed_ms = answer->query_sent_ms;
	}
	if (answer->config_version > s->config_version) {
		s->config_stale = true;
		if (!s->config_busy)
			schedule(s, &s->config_timer, 0);
	}
	if (answer->targets_age_ms == UINT32_MAX || !s->read_ended_ms ||
	    targets_ms <= s->targets_confirmed_ms)
		return;
	if (answer->targets_hash != s->targets_hash && !s->targets_busy)
		apply_updates(s, answer);
	if (answer->targets_hash == s->targets_hash) {
		s->targets_stale = false;
		s->targets_confirmed_ms = targets_ms;
		return;
	}
	s->targets_stale = true;
	if (!s->targets_busy &&
	    time_boot_ms() - s->read_ended_ms >= TARGETS_READ_MIN_MS)
		schedule(s, &s->targets_timer, 0);
}

static void start_timer(struct store_sync *s, ev_timer *w,
			void (*fn)(struct ev_loop *, ev_timer *, int))
{
	ev_timer_init(w, fn, 0, 0);
	w->data = s;
	ev_timer_start(s->loop, w);
}

struct store_sync *store_sync_new(struct entry *e, struct ev_loop *loop)
{
	struct store_sync *s = g_new0(struct store_sync, 1);

	s->e = e;
	s->api = e->o->store;
	s->loop = loop;
	s->store = e->store;
	s->rand = g_rand_new();
	s->config_version = -1;
	s->reader = true;
	s->store_up = true;
	s->outage_ended_ms = INT64_MIN / 2;
	s->recent_changes = g_queue_new();
	s->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					target_row_free);
	start_timer(s, &s->config_timer, read_config);
	start_timer(s, &s->targets_timer, read_targets);
	return s;
}

void store_sync_free(struct store_sync *s)
{
	ev_timer_stop(s->loop, &s->config_timer);
	ev_timer_stop(s->loop, &s->targets_timer);
	g_queue_free_full(s->recent_changes, change_free);
	g_hash_table_unref(s->rows);
	g_rand_free(s->rand);
	g_free(s->next_key);
	g_free(s);
}
