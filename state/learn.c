/*
 * The state machine: when to read the snapshots, the table or a peer, and when
 * the rows are good enough to put them into force.
 */
#include "state/learn-internal.h"

#include <string.h>

#define CHANGE_PREFIX "chg/"

const char *const learn_object_names[SNAPSHOT_OBJECTS] = {"config-0",
							  "config-1"};

static void start_read(struct learner *l);

/* Return the key of a change's row; free with g_free. */
static char *change_key(int64_t revision)
{
	return g_strdup_printf(CHANGE_PREFIX "%020" G_GINT64_FORMAT, revision);
}

/* Return whether all peers asked at the start have answered or failed. */
static bool have_start_peers_answered(const struct learner *l)
{
	int n = l->ops.peers(l->ops.ctx);

	return n >= 0 && !l->peer_calls_open &&
	       l->peers_asked >= (unsigned)MIN(n, LEARN_START_PEERS_MAX);
}

/*
 * Put the current rows into force if they are consistent, confirmed, newer
 * than those in force and not older than what a peer has.
 */
static void publish(struct learner *l)
{
	if (!l->consistent || !l->confirmed ||
	    l->current.revision < l->peer_revision ||
	    l->current.revision <= l->published)
		return;
	if (l->published < 0 && !have_start_peers_answered(l))
		return;
	if (l->published < 0)
		l->stored_at_ms = l->now_ms;
	l->published = l->current.revision;
	l->ops.publish(l->ops.ctx, learn_build_config(l), l);
}

/* Reading the table. */

static void end_read(struct learner *l, bool ok)
{
	l->store_busy = false;
	l->ops.report_table_read(l->ops.ctx, ok);
}

static void read_changes(struct learner *l);
static void scan_changes(struct learner *l, const char *after);
static void read_head(struct learner *l);

static bool check_answer(struct learner *l, const struct plat_result *r)
{
	if (r->status == PLAT_OK &&
	    json_is_array(json_object_get(r->json, "rows")))
		return true;
	/* Only the table can make these rows consistent; without it, discard
	 * them so that a peer is asked for all of its rows. */
	if (!l->consistent && l->published < 0)
		learn_discard_all(l);
	end_read(l, false);
	return false;
}

/* Return the revision that the key of a change's row names, or 0. */
static int64_t change_key_revision(const char *key)
{
	char *canonical;
	int64_t n;
	bool ok;

	if (!key || !g_str_has_prefix(key, CHANGE_PREFIX))
		return 0;
	n = g_ascii_strtoll(key + strlen(CHANGE_PREFIX), NULL, 10);
	canonical = change_key(n);
	ok = !strcmp(key, canonical);
	g_free(canonical);
	return ok && n > 0 ? n : 0;
}

/*
 * Apply the change of a row of the table. Rows that are no changes are skipped.
 * Return false if there is a gap before it or it can't be read.
 */
static bool apply_change_row(struct learner *l, const json_t *row)
{
	const char *key = json_string_value(json_object_get(row, "key"));
	json_t *change = json_object_get(row, "value");
	int64_t n = change_key_revision(key);

	if (!n || n <= l->current.revision)
		return true;
	if (learn_get_int(change, "revision") == n)
		return learn_apply_change(l, change);
	l->ops.report_invalid_row(l->ops.ctx, "change can not be read");
	return false;
}

/*
 * The table has no more changes at that revision of it than were applied. A
 * stale list may lack changes that the rows of a full read have.
 */
static void end_changes(struct learner *l, int64_t table_revision)
{
	if (table_revision >= l->consistent_from)
		l->consistent = true;
	l->confirmed = true;
	end_read(l, true);
	publish(l);
}

static void on_changes(const struct plat_result *r, void *arg)
{
	struct learner *l = arg;
	const char *last_key = NULL;
	size_t i;
	json_t *row;

	if (!check_answer(l, r))
		return;
	json_array_foreach (json_object_get(r->json, "rows"), i, row) {
		const char *key =
			json_string_value(json_object_get(row, "key"));

		if (!apply_change_row(l, row)) {
			read_head(l);
			return;
		}
		last_key = key ? key : last_key;
	}
	if (!json_is_true(json_object_get(r->json, "more")))
		end_changes(l, learn_get_int(r->json, "revision"));
	else if (last_key)
		scan_changes(l, last_key);
	else
		end_read(l, false);
}

static void scan_changes(struct learner *l, const char *after)
{
	l->ops.plat->scan(l->ops.plat->ctx, CHANGE_PREFIX, after, on_changes,
			  l);
}

static void read_changes(struct learner *l)
{
	char *after = change_key(l->current.revision);

	scan_changes(l, after);
	g_free(after);
}

static void end_full_read(struct learner *l)
{
	struct snapshot s = l->full_read;

	l->full_read = (struct snapshot){0};
	/* Later pages may be newer than earlier ones: the changes since the
	 * head must be applied before the rows are consistent. */
	if (learn_adopt_snapshot(l, &s)) {
		l->consistent = false;
		l->consistent_from = l->full_read_newest;
		read_changes(l);
		return;
	}
	end_read(l, true);
}

static void on_rows(const struct plat_result *r, void *arg)
{
	struct learner *l = arg;
	json_t *rows = json_object_get(r->json, "rows");
	int64_t page_revision = learn_get_int(r->json, "revision");
	const char *last_key = NULL;
	bool more = json_is_true(json_object_get(r->json, "more"));
	size_t i;
	json_t *row;

	if (!check_answer(l, r))
		return;
	/* A page older than the head may lack changes up to its revision. */
	if (page_revision < l->full_read_head) {
		end_read(l, true);
		return;
	}
	l->full_read_newest = MAX(l->full_read_newest, page_revision);
	json_array_foreach (rows, i, row) {
		const char *key =
			json_string_value(json_object_get(row, "key"));
		json_t *value = json_object_get(row, "value");

		if (!key)
			continue;
		last_key = key;
		/* The last valid value of an unreadable row stays in force. */
		json_object_set_new(l->full_read.rows, key,
				    value ? json_incref(value) : json_null());
	}
	if (more && last_key)
		l->ops.plat->scan(l->ops.plat->ctx, "res/", last_key, on_rows,
				  l);
	else if (more)
		end_read(l, false);
	else
		end_full_read(l);
}

/*
 * Return the configuration's revision in the head's row: 0 if there is none, -1
 * if it can't be read. Each change is a transaction, so it can't be newer than
 * the table's revision.
 */
static int64_t head_revision(const json_t *head)
{
	const json_t *revision =
		json_object_get(json_object_get(head, "value"), "revision");
	int64_t n = json_integer_value(revision);

	if (!head)
		return 0;
	return json_is_integer(revision) && n >= 0 &&
			       n <= learn_get_int(head, "version")
		       ? n
		       : -1;
}

static void on_head(const struct plat_result *r, void *arg)
{
	struct learner *l = arg;
	json_t *head = json_array_get(json_object_get(r->json, "rows"), 0);
	int64_t revision;

	if (!check_answer(l, r))
		return;
	revision = head_revision(head);
	snapshot_clear(&l->full_read);
	l->full_read.revision = MAX(revision, 0);
	l->full_read.rows = json_object();
	l->full_read.last_valid = json_object();
	l->full_read_head = learn_get_int(head, "version");
	l->full_read_newest = 0;
	if (l->full_read.revision > l->current.revision)
		l->ops.plat->scan(l->ops.plat->ctx, "res/", NULL, on_rows, l);
	else if (revision >= 0)
		/* What follows in the list is no change of the rows. */
		end_changes(l, learn_get_int(r->json, "revision"));
	else
		end_read(l, true);
}

/*
 * Start a full read. The head is read first, so that the rows are not older
 * than its revision.
 */
static void read_head(struct learner *l)
{
	l->ops.plat->scan(l->ops.plat->ctx, "head/config", NULL, on_head, l);
}

static void on_object(const struct plat_result *r, void *arg)
{
	struct learner *l = arg;
	struct snapshot s = {0};

	if (r->status == PLAT_OK && snapshot_decode(r->bytes, &s) &&
	    learn_adopt_snapshot(l, &s))
		l->consistent = true;
	l->objects_tried++;
	start_read(l);
}

/*
 * Read the snapshots first, then the changes since; without a snapshot, all
 * rows.
 */
static void start_read(struct learner *l)
{
	l->store_busy = true;
	if (l->current.revision < 0 && l->objects_tried < SNAPSHOT_OBJECTS)
		l->ops.plat->object_get(l->ops.plat->ctx,
					learn_object_names[l->objects_tried],
					on_object, l);
	else if (l->current.revision < 0)
		read_head(l);
	else
		read_changes(l);
}

/* Peers. */

static void on_peer_snapshot(const json_t *answer, void *arg)
{
	struct learner *l = arg;
	struct snapshot s = {0};

	l->peer_calls_open--;
	if (answer && !json_unpack((json_t *)answer, "{s:I,s:O,s:O}",
				   "revision", &s.revision, "rows", &s.rows,
				   "before", &s.last_valid)) {
		if (learn_adopt_snapshot(l, &s))
			l->consistent = true;
	} else {
		snapshot_clear(&s);
	}
	publish(l);
}

static void on_peer_changes(const json_t *answer, void *arg)
{
	struct learner *l = arg;
	bool gap = json_is_true(json_object_get(answer, "gap"));
	int64_t n = learn_get_int(answer, "revision");
	size_t i;
	json_t *change;

	l->peer_calls_open--;
	if (answer) {
		l->peer_revision = MAX(l->peer_revision, n);
		l->confirmed = true;
	}
	json_array_foreach (json_object_get(answer, "changes"), i, change)
		gap = gap || !learn_apply_change(l, change);
	if (answer && (gap || l->current.revision < 0) &&
	    n > l->current.revision) {
		l->peer_calls_open++;
		l->ops.fetch_snapshot(l->ops.ctx, l->current_peer,
				      on_peer_snapshot, l);
		return;
	}
	publish(l);
}

static void ask_peer(struct learner *l, unsigned peer)
{
	l->peer_calls_open++;
	l->current_peer = peer;
	l->next_peer_call_ms = l->now_ms + LEARN_PEER_CALL_GAP_MS;
	l->ops.fetch_changes(l->ops.ctx, peer, l->current.revision,
			     on_peer_changes, l);
}

/*
 * Ask peers for their revision: a starting node may read an old revision from
 * the table, and must not put it into force while its peers have a newer one.
 */
static void ask_start_peers(struct learner *l)
{
	int n = l->ops.peers(l->ops.ctx);

	if (n <= 0 || l->peer_calls_open || have_start_peers_answered(l))
		return;
	if (!l->peers_asked)
		l->first_peer = l->ops.random(l->ops.ctx) % (unsigned)n;
	ask_peer(l, (l->first_peer + l->peers_asked++) % (unsigned)n);
}

/* Fetch an announced revision, from a random peer and the table in turns. */
static void catch_up(struct learner *l)
{
	int n = l->ops.peers(l->ops.ctx);

	if (l->peer_calls_open || l->now_ms < l->next_peer_call_ms)
		return;
	if (n > 0 && l->catch_up_count++ % 2 == 0)
		ask_peer(l, l->ops.random(l->ops.ctx) % (unsigned)n);
	else if (!l->store_busy)
		l->next_poll_ms = l->now_ms;
	l->next_peer_call_ms = l->now_ms + LEARN_PEER_CALL_GAP_MS;
}

static int64_t poll_interval(const struct learner *l)
{
	if (l->published < 0)
		return MIN(l->ops.poll_ms, LEARN_RETRY_MS);
	return l->ops.is_table_reader(l->ops.ctx)
		       ? l->ops.poll_ms
		       : l->ops.poll_ms * LEARN_NON_READER_FACTOR;
}

/* Ask again if neither the table nor a peer gave a configuration. */
static void restart_if_failed(struct learner *l)
{
	if (l->store_busy || !have_start_peers_answered(l) ||
	    l->now_ms < l->next_restart_ms)
		return;
	l->next_restart_ms = l->now_ms + LEARN_RETRY_MS;
	l->peers_asked = 0;
	l->objects_tried = 0;
}

void learn_tick(struct learner *l, int64_t now_ms)
{
	l->now_ms = now_ms;
	if (l->published < 0) {
		publish(l);
		restart_if_failed(l);
		ask_start_peers(l);
	} else if (l->announced_revision > l->current.revision) {
		catch_up(l);
	} else {
		l->catch_up_count = 0;
	}
	if (!l->store_busy && now_ms >= l->next_poll_ms) {
		l->next_poll_ms = now_ms + poll_interval(l);
		start_read(l);
	}
	if (l->published >= 0)
		learn_write_snapshot(l);
}

void learn_note_peer_revision(struct learner *l, int64_t revision)
{
	l->announced_revision = MAX(l->announced_revision, revision);
}

int64_t learn_revision(const struct learner *l)
{
	return l->current.revision;
}

struct learner *learn_new(const struct learn_ops *ops)
{
	struct learner *l = g_new0(struct learner, 1);

	l->ops = *ops;
	l->current = (struct snapshot){-1, json_object(), json_object()};
	l->published = -1;
	l->peer_revision = -1;
	l->announced_revision = -1;
	l->changes = g_queue_new();
	return l;
}

void learn_free(struct learner *l)
{
	learn_discard_changes(l);
	g_queue_free(l->changes);
	snapshot_clear(&l->current);
	snapshot_clear(&l->full_read);
	g_free(l);
}
