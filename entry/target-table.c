/*
 * The rows of the store's table of targets, as far as this node knows them, and
 * the changes of it that other nodes lack. Pure state: it makes no calls.
 *
 * Each row has the store's revision at the read that showed its last change.
 * The change itself is not newer. So a node whose list is complete up to some
 * revision lacks only rows that were noticed after it, whichever node it asks.
 */
#include <string.h>
#include <talloc.h>

#include "entry/store-clients.h"
#include "entry/target-changes.h"

/* Limit of the updates in a message, which must not need IP fragmentation. */
#define UPDATES_BYTES_MAX 1150
/* Rows of removed targets are kept this long, and at most this many. */
#define REMOVED_KEPT_MS  60000
#define REMOVED_KEPT_MAX 4096
/*
 * A target that was removed before the store came back from a copy may have an
 * old row in that copy, which the store drops when it has not been written for
 * three heartbeats.
 */
#define OLD_ROW_MS 5000
/*
 * Another node's revisions are not further ahead of this node's than the store
 * gets between two reads of it. No row of the store would replace one that is.
 */
#define REVISION_AHEAD_MAX ((int64_t)1 << 32)

/* The newest known state of a target's row. */
struct target_row {
	/*
	 * Of the row; of the page that lacked it when it was removed. 0: from
	 * an earlier era.
	 */
	int64_t revision;
	int64_t noticed;      /* revision of the read that showed the change */
	int64_t noticed_ms;   /* when this node noticed it */
	bool usable;          /* info is valid; else removed or unreadable */
	uint64_t read_number; /* of the last full read that contained it */
	int64_t absent;       /* revision of the last page that lacked it */
	int64_t old_until_ms; /* a row with the removed id is not used before */
	uint64_t removed_id;  /* id of the target that was removed; 0: none */
	struct target_info info;
	void *arena; /* owns the strings of info */
};

struct target_table {
	GHashTable *rows;      /* key -> struct target_row */
	uint64_t read_number;  /* of the full read in progress, or the last */
	int64_t read_revision; /* of the first page of that read */
	int64_t page_revision; /* of the last page applied */
	char *page_end;        /* last key of that page; NULL: of no page */
	int64_t revision;      /* the list is complete up to it; 0: no list */
	int64_t revision_ms;   /* when a read or another node last showed it */
	int64_t history_from;  /* changes noticed after it are all known */
	uint64_t hash;         /* of the usable targets */
	size_t removed;        /* rows that are not usable */
	bool changed;          /* since target_table_list */
	uint64_t sender;       /* see target_table_set_sender */
	struct target_changes *changes; /* since target_table_log_changes */
	cold_row_fn *on_cold;           /* may be NULL */
	void *on_cold_ctx;
};

static void row_free(void *p)
{
	struct target_row *row = p;

	talloc_free(row->arena);
	g_free(row);
}

struct target_table *target_table_new(void)
{
	struct target_table *t = g_new0(struct target_table, 1);

	t->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					row_free);
	t->changes = target_changes_new();
	return t;
}

void target_table_on_cold(struct target_table *t, cold_row_fn *fn, void *ctx)
{
	t->on_cold = fn;
	t->on_cold_ctx = ctx;
}

void target_table_free(struct target_table *t)
{
	g_hash_table_unref(t->rows);
	target_changes_free(t->changes);
	g_free(t->page_end);
	g_free(t);
}

void target_table_set_sender(struct target_table *t, uint64_t node)
{
	t->sender = node;
}

void target_table_log_changes(struct target_table *t, int64_t list_age_ms)
{
	target_changes_log(t->changes, list_age_ms);
}

uint64_t target_table_hash(const struct target_table *t)
{
	return t->hash;
}

int64_t target_table_revision(const struct target_table *t)
{
	return t->revision;
}

bool target_table_changed(const struct target_table *t)
{
	return t->changed;
}

static struct target_row *row_of(struct target_table *t, const char *key)
{
	struct target_row *row = g_hash_table_lookup(t->rows, key);

	if (row)
		return row;
	row = g_new0(struct target_row, 1);
	g_hash_table_insert(t->rows, g_strdup(key), row);
	t->removed++;
	return row;
}

/*
 * Replace what a row says, by what was noticed at row->noticed. Takes the
 * arena, which owns the strings of info; info NULL: the row is removed or
 * unreadable.
 */
static void set_row(struct target_table *t, const char *key,
		    struct target_row *row, void *arena,
		    const struct target_info *info,
		    const struct target_source *source)
{
	target_changes_add(
		t->changes,
		&(struct target_change){
			.key = key,
			.state = target_state_after(
				row->usable ? &row->info : NULL, info),
			.source = *source,
			.noticed = row->noticed,
		});
	if (row->usable) {
		t->hash ^= target_info_hash(&row->info);
		row->removed_id = row->info.id;
	} else {
		t->removed--;
	}
	talloc_free(row->arena);
	row->arena = arena;
	row->usable = info != NULL;
	if (info) {
		row->info = *info;
		row->info.source = *source;
		t->hash ^= target_info_hash(info);
	} else {
		memset(&row->info, 0, sizeof(row->info));
		t->removed++;
	}
	t->changed = true;
}

void target_table_begin_read(struct target_table *t)
{
	t->read_number++;
	t->read_revision = 0;
	g_clear_pointer(&t->page_end, g_free);
}

/* Whether a row is one that a removed target left in an older copy. */
static bool is_old_row(const struct target_row *row,
		       const struct target_info *info, int64_t now_ms)
{
	return !row->usable && row->removed_id == info->id &&
	       now_ms < row->old_until_ms;
}

/*
 * A target that was leaving before the store came back from a copy is still
 * leaving if its row there is older. A later row counts as it is.
 */
static void keep_draining(const struct target_row *row,
			  struct target_info *info)
{
	if (!row->revision && row->usable && row->info.id == info->id)
		info->draining |= row->info.draining;
}

void target_table_apply_row(struct target_table *t, const struct store_api *api,
			    const struct store_page *p, size_t i,
			    int64_t now_ms)
{
	const struct store_row *r = &p->rows[i];
	struct target_source source = {r->revision, now_ms, 0};
	struct target_row *row = g_hash_table_lookup(t->rows, r->key);
	bool known = row != NULL, usable;
	struct target_info info;
	void *arena;
	json_t *value;

	/* A read may return an older state of the store. */
	if (row && row->revision >= r->revision) {
		row->read_number = t->read_number;
		return;
	}
	arena = talloc_new(NULL);
	value = api->value(p, i);
	usable = api->target(arena, r->key, value, &info);
	json_decref(value);
	row = row_of(t, r->key);
	if (!usable && (row->usable || !known))
		log_event(EV_TARGET_UNREADABLE, "key=%s revision=%d", r->key,
			  (int)r->revision);
	if (usable && is_old_row(row, &info, now_ms)) {
		talloc_free(arena);
		return;
	}
	if (usable)
		keep_draining(row, &info);
	if (usable && info.warmup_left_ms > 0 && t->on_cold)
		t->on_cold(t->on_cold_ctx, &info, now_ms);
	row->revision = r->revision;
	row->read_number = t->read_number;
	/* Heartbeats change the row's revision, but not the target. */
	if (usable != row->usable ||
	    (usable &&
	     target_info_hash(&info) != target_info_hash(&row->info))) {
		row->noticed = p->revision;
		row->noticed_ms = now_ms;
		set_row(t, r->key, row, arena, usable ? &info : NULL, &source);
	} else {
		talloc_free(arena);
	}
}

/* Note the rows that a page would have if they were in the store. */
static void note_absent(struct target_table *t, const struct store_page *p)
{
	const char *last = p->n && p->more ? p->rows[p->n - 1].key : NULL;
	GHashTableIter it;
	gpointer key, v;

	g_hash_table_iter_init(&it, t->rows);
	while (g_hash_table_iter_next(&it, &key, &v)) {
		struct target_row *row = v;

		if (row->read_number != t->read_number &&
		    (!t->page_end || strcmp(key, t->page_end) > 0) &&
		    (!last || strcmp(key, last) <= 0))
			row->absent = p->revision;
	}
	g_free(t->page_end);
	t->page_end = g_strdup(last);
}

void target_table_end_page(struct target_table *t, const struct store_page *p)
{
	if (!t->read_revision)
		t->read_revision = p->revision;
	t->page_revision = p->revision;
	note_absent(t, p);
}

/* Forget targets that were removed long ago. */
static void drop_old_removals(struct target_table *t, int64_t now_ms)
{
	int64_t kept_ms = t->removed > REMOVED_KEPT_MAX ? REMOVED_KEPT_MS / 4
							: REMOVED_KEPT_MS;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct target_row *row = v;

		if (row->usable || now_ms - row->noticed_ms < kept_ms ||
		    now_ms < row->old_until_ms)
			continue;
		t->history_from = MAX(t->history_from, row->noticed);
		t->removed--;
		g_hash_table_iter_remove(&it);
	}
}

/* The list is complete up to a revision, and may be up to a later one. */
static void note_revision(struct target_table *t, int64_t revision,
			  int64_t now_ms)
{
	if (revision < t->revision)
		return;
	t->revision = revision;
	t->revision_ms = now_ms;
}

/*
 * Whether a read shows an older state of the store than is known. If all have
 * done so for some time the store has come back from a copy without telling an
 * era, and the next read counts.
 */
static bool is_old_read(struct target_table *t, int64_t now_ms)
{
	if (t->read_revision >= t->revision)
		return false;
	if (now_ms - t->revision_ms >= OLD_ROW_MS)
		target_table_new_era(t, now_ms);
	return true;
}

bool target_table_finish_read(struct target_table *t, bool remove_missing,
			      int64_t now_ms)
{
	bool whole = true;
	GHashTableIter it;
	gpointer key, v;

	g_hash_table_iter_init(&it, t->rows);
	while (g_hash_table_iter_next(&it, &key, &v)) {
		struct target_row *row = v;
		int64_t absent = MAX(row->absent, t->read_revision);
		struct target_source source = {absent, now_ms, 0};

		/* Another node may have told of a row that is newer. */
		if (row->read_number == t->read_number || !row->usable ||
		    row->revision > absent)
			continue;
		if (!remove_missing) {
			whole = false;
			continue;
		}
		/*
		 * The row had gone by then. Its last revision would lose
		 * against a later heartbeat that another node has read.
		 */
		row->revision = absent;
		row->noticed = t->page_revision;
		row->noticed_ms = now_ms;
		set_row(t, key, row, NULL, NULL, &source);
	}
	drop_old_removals(t, now_ms);
	if (is_old_read(t, now_ms))
		return false;
	if (!t->revision)
		t->history_from = MAX(t->history_from, t->read_revision);
	note_revision(t, t->read_revision, now_ms);
	return whole;
}

struct target_list *target_table_list(struct target_table *t)
{
	struct target_list *l = target_list_new(g_hash_table_size(t->rows));
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct target_row *row = v;
		struct target_info *info = &l->v[l->n];

		if (!row->usable)
			continue;
		*info = row->info;
		info->name = str_dup(l->arena, row->info.name);
		info->service = str_dup(l->arena, row->info.service);
		info->zone = str_dup(l->arena, row->info.zone);
		info->version = str_dup(l->arena, row->info.version);
		l->n++;
	}
	t->changed = false;
	return l;
}

void target_table_new_era(struct target_table *t, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	/* Revisions of the earlier era can't be compared with later ones. */
	g_hash_table_iter_init(&it, t->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct target_row *row = v;

		row->revision = 0;
		row->noticed = 0;
		row->absent = 0;
		if (!row->usable)
			row->old_until_ms = now_ms + OLD_ROW_MS;
	}
	t->revision = 0;
	t->history_from = 0;
	t->read_revision = 0;
}

/* Updates for other nodes. */

/* A row with its key, to be sorted. */
struct keyed_row {
	const char *key;
	const struct target_row *row;
};

static int compare_rows(gconstpointer a, gconstpointer b)
{
	const struct keyed_row *x = a, *y = b;

	if (x->row->noticed != y->row->noticed)
		return x->row->noticed < y->row->noticed ? -1 : 1;
	return strcmp(x->key, y->key);
}

/* Whether the querying node lacks the row's last change. */
static bool is_wanted(const struct store_query *q, const char *key,
		      const struct target_row *row)
{
	if (!row->noticed)
		return false;
	if (!q->after_noticed)
		return row->noticed > q->targets_revision;
	if (row->noticed != q->after_noticed)
		return row->noticed > q->after_noticed;
	return strcmp(key, q->after_key) > 0;
}

static const char *str_or_empty(struct str s)
{
	return s.data ? s.data : "";
}

/* Describe a row for another node; the strings are borrowed. */
static void fill_update(const struct keyed_row *k, struct target_update *update)
{
	const struct target_row *row = k->row;

	*update = (struct target_update){
		.key = (char *)k->key,
		.revision = row->revision,
		.noticed = row->noticed,
		.removed = !row->usable,
		.service = (char *)str_or_empty(row->info.service),
		.zone = (char *)str_or_empty(row->info.zone),
		.software_version = (char *)str_or_empty(row->info.version),
	};
	if (!row->usable)
		return;
	update->draining = row->info.draining;
	update->id = row->info.id;
	update->ip = row->info.address.sin_addr.s_addr;
	update->port = row->info.address.sin_port;
	update->slots = (u_int)row->info.slots;
}

/* Encoded size of an update, including length fields and padding. */
static int update_bytes(const struct target_update *update)
{
	return (int)xdr_sizeof((xdrproc_t)xdr_target_update, (void *)update);
}

void target_table_updates(const struct target_table *t,
			  const struct store_query *q,
			  struct store_query_answer *answer)
{
	GArray *wanted = g_array_new(false, false, sizeof(struct keyed_row));
	struct target_update *out = answer->updates.updates_val;
	int room_bytes = UPDATES_BYTES_MAX;
	GHashTableIter it;
	gpointer key, v;

	answer->history_lost = q->targets_revision < t->history_from;
	g_hash_table_iter_init(&it, t->rows);
	while (!answer->history_lost && g_hash_table_iter_next(&it, &key, &v))
		if (is_wanted(q, key, v)) {
			struct keyed_row k = {key, v};

			g_array_append_val(wanted, k);
		}
	g_array_sort(wanted, compare_rows);
	for (guint i = 0; i < wanted->len; i++) {
		struct target_update *update =
			&out[answer->updates.updates_len];

		answer->more = i == TARGET_UPDATES_MAX;
		if (answer->more)
			break;
		fill_update(&g_array_index(wanted, struct keyed_row, i),
			    update);
		room_bytes -= update_bytes(update);
		answer->more = room_bytes < 0;
		if (answer->more)
			break;
		answer->updates.updates_len++;
	}
	g_array_unref(wanted);
}

/* Keep an update for the log that is not used, as a later row is known. */
static void note_ignored(struct target_table *t, const struct target_row *row,
			 const struct target_update *update,
			 const struct target_source *source)
{
	if (row->usable == !update->removed &&
	    (!row->usable || row->info.draining == update->draining))
		return;
	target_changes_add(t->changes,
			   &(struct target_change){
				   .key = update->key,
				   .state = update->removed    ? TARGET_REMOVED
					    : update->draining ? TARGET_DRAINING
							       : TARGET_READY,
				   .source = *source,
				   .noticed = update->noticed,
				   .known_revision = row->revision,
			   });
}

/* Whether a revision from another node can be one of the store's. */
static bool is_sound_revision(const struct target_table *t, int64_t revision)
{
	int64_t known = MAX(t->page_revision, t->revision);

	return revision >= 0 && revision - known <= REVISION_AHEAD_MAX;
}

/* Whether an update can be of a row that the store's decoder accepts. */
static bool is_sound_update(const struct target_table *t,
			    const struct target_update *update)
{
	return *update->key && is_sound_revision(t, update->revision) &&
	       is_sound_revision(t, update->noticed) &&
	       (update->removed ||
		(update->port && update->port <= UINT16_MAX &&
		 *update->service));
}

static void apply_update(struct target_table *t,
			 const struct target_update *update, int64_t now_ms)
{
	struct target_source source = {update->revision, now_ms, t->sender};
	struct target_row *row = g_hash_table_lookup(t->rows, update->key);
	struct target_info info;
	void *arena;

	if (row && row->revision > update->revision) {
		note_ignored(t, row, update, &source);
		return;
	}
	row = row_of(t, update->key);
	row->noticed = MAX(row->noticed, update->noticed);
	row->noticed_ms = now_ms;
	if (update->removed) {
		row->revision = update->revision;
		if (row->usable)
			set_row(t, update->key, row, NULL, NULL, &source);
		return;
	}
	arena = talloc_new(NULL);
	info = (struct target_info){
		.id = update->id,
		.name = str_dup(arena, str_c(update->key)),
		.service = str_dup(arena, str_c(update->service)),
		.zone = str_dup(arena, str_c(update->zone)),
		.version = str_dup(arena, str_c(update->software_version)),
		.address = {.sin_family = AF_INET,
			    .sin_port = (in_port_t)update->port,
			    .sin_addr = {update->ip}},
		.slots = update->slots,
		.draining = update->draining,
	};
	keep_draining(row, &info);
	row->revision = update->revision;
	if (is_old_row(row, &info, now_ms) ||
	    (row->usable &&
	     target_info_hash(&info) == target_info_hash(&row->info))) {
		talloc_free(arena);
		return;
	}
	set_row(t, update->key, row, arena, &info, &source);
}

void target_table_apply_updates(struct target_table *t,
				const struct store_query_answer *answer,
				int64_t now_ms)
{
	for (u_int i = 0; i < answer->updates.updates_len; i++)
		if (is_sound_update(t, &answer->updates.updates_val[i]))
			apply_update(t, &answer->updates.updates_val[i],
				     now_ms);
	if (answer->more || answer->targets_hash != t->hash ||
	    !is_sound_revision(t, answer->targets_revision))
		return;
	note_revision(t, answer->targets_revision, now_ms);
	drop_old_removals(t, now_ms);
}
