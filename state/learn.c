#include "state/learn-priv.h"

#include <string.h>

#define CHANGE_PREFIX "chg/"

const char *const learn_objects[OBJECTS] = {"config-0", "config-1"};

static void read_start(struct learn *l);

/* Whether all peers that are asked at the start have answered or failed. */
static bool has_asked(const struct learn *l)
{
	int n = l->ops.peers(l->ops.ctx);

	return n >= 0 && !l->asks_open &&
	       l->asked >= (unsigned)MIN(n, LEARN_ASKED_MAX);
}

/* In force once it is whole and no older than what the peers hold. */
static void publish(struct learn *l)
{
	if (!l->whole || !l->confirmed || l->held.revision < l->wanted ||
	    l->held.revision <= l->published)
		return;
	if (l->published < 0 && !has_asked(l))
		return;
	if (l->published < 0)
		l->kept_at_ms = l->now_ms;
	l->published = l->held.revision;
	l->ops.publish(l->ops.ctx, held_build(l), l);
}

/* Reading the table. */

static void read_ended(struct learn *l, bool ok)
{
	l->reading = false;
	l->ops.store(l->ops.ctx, ok);
}

static void follow(struct learn *l);
static void read_head(struct learn *l);

static bool is_ok(struct learn *l, const struct plat_result *r)
{
	if (r->status == PLAT_OK &&
	    json_is_array(json_object_get(r->json, "rows")))
		return true;
	/* Without the table these rows can't be made whole: ask the peers. */
	if (!l->whole && l->published < 0)
		held_drop(l);
	read_ended(l, false);
	return false;
}

static void on_changes(const struct plat_result *r, void *arg)
{
	struct learn *l = arg;
	size_t i;
	json_t *row;

	if (!is_ok(l, r))
		return;
	json_array_foreach (json_object_get(r->json, "rows"), i, row) {
		if (!held_apply(l, json_object_get(row, "value"))) {
			read_head(l);
			return;
		}
	}
	if (json_is_true(json_object_get(r->json, "more"))) {
		follow(l);
		return;
	}
	/* Rows of a full read may be newer than a stale list of changes. */
	if (learn_number(r->json, "revision") >= l->must_see)
		l->whole = true;
	l->confirmed = true;
	read_ended(l, true);
	publish(l);
}

static void follow(struct learn *l)
{
	char *after = g_strdup_printf(CHANGE_PREFIX "%020" G_GINT64_FORMAT,
				      l->held.revision);

	l->ops.plat->scan(l->ops.plat->ctx, CHANGE_PREFIX, after, on_changes,
			  l);
	g_free(after);
}

static void end_full(struct learn *l)
{
	struct snapshot s = l->full;

	l->full = (struct snapshot){0};
	/* Rows of a later page may be newer than those of an earlier one. */
	if (held_adopt(l, &s)) {
		l->whole = false;
		l->must_see = l->full_seen;
		follow(l);
		return;
	}
	read_ended(l, true);
}

static void on_rows(const struct plat_result *r, void *arg)
{
	struct learn *l = arg;
	json_t *rows = json_object_get(r->json, "rows");
	int64_t seen = learn_number(r->json, "revision");
	const char *key = NULL;
	size_t i;
	json_t *row;

	if (!is_ok(l, r))
		return;
	/* A page from before the head lacks what the head tells of. */
	if (seen < l->full_head) {
		read_ended(l, true);
		return;
	}
	l->full_seen = MAX(l->full_seen, seen);
	json_array_foreach (rows, i, row) {
		key = json_string_value(json_object_get(row, "key"));
		json_object_set(l->full.rows, key,
				json_object_get(row, "value"));
	}
	if (json_is_true(json_object_get(r->json, "more")) && key)
		l->ops.plat->scan(l->ops.plat->ctx, "res/", key, on_rows, l);
	else
		end_full(l);
}

static void on_head(const struct plat_result *r, void *arg)
{
	struct learn *l = arg;
	json_t *head = json_array_get(json_object_get(r->json, "rows"), 0);

	if (!is_ok(l, r))
		return;
	snapshot_clear(&l->full);
	l->full.revision =
		learn_number(json_object_get(head, "value"), "revision");
	l->full.rows = json_object();
	l->full.before = json_object();
	l->full_head = learn_number(head, "version");
	l->full_seen = 0;
	if (l->full.revision <= l->held.revision)
		read_ended(l, true);
	else
		l->ops.plat->scan(l->ops.plat->ctx, "res/", NULL, on_rows, l);
}

/* A full read: the head first, so that the rows are no older than it. */
static void read_head(struct learn *l)
{
	l->ops.plat->scan(l->ops.plat->ctx, "head/config", NULL, on_head, l);
}

static void on_object(const struct plat_result *r, void *arg)
{
	struct learn *l = arg;
	struct snapshot s = {0};

	if (r->status == PLAT_OK && snapshot_decode(r->bytes, &s) &&
	    held_adopt(l, &s))
		l->whole = true;
	l->objects_read++;
	read_start(l);
}

/* The snapshots first, then the changes since, or everything. */
static void read_start(struct learn *l)
{
	l->reading = true;
	if (l->held.revision < 0 && l->objects_read < OBJECTS)
		l->ops.plat->object_get(l->ops.plat->ctx,
					learn_objects[l->objects_read],
					on_object, l);
	else if (l->held.revision < 0)
		read_head(l);
	else
		follow(l);
}

/* Peers. */

static void on_whole(const json_t *answer, void *arg)
{
	struct learn *l = arg;
	struct snapshot s = {0};

	l->asks_open--;
	if (answer &&
	    !json_unpack((json_t *)answer, "{s:I,s:O,s:O}", "revision",
			 &s.revision, "rows", &s.rows, "before", &s.before)) {
		if (held_adopt(l, &s))
			l->whole = true;
	} else {
		snapshot_clear(&s);
	}
	publish(l);
}

static void on_peer(const json_t *answer, void *arg)
{
	struct learn *l = arg;
	bool gap = json_is_true(json_object_get(answer, "gap"));
	int64_t n = learn_number(answer, "revision");
	size_t i;
	json_t *change;

	l->asks_open--;
	if (answer) {
		l->wanted = MAX(l->wanted, n);
		l->confirmed = true;
	}
	json_array_foreach (json_object_get(answer, "changes"), i, change)
		gap = gap || !held_apply(l, change);
	if (answer && (gap || l->held.revision < 0) && n > l->held.revision) {
		l->asks_open++;
		l->ops.ask_whole(l->ops.ctx, l->asked_peer, on_whole, l);
		return;
	}
	publish(l);
}

static void ask(struct learn *l, unsigned peer)
{
	l->asks_open++;
	l->asked_peer = peer;
	l->next_ask_ms = l->now_ms + LEARN_ASK_MS;
	l->ops.ask_changes(l->ops.ctx, peer, l->held.revision, on_peer, l);
}

/* A node that starts holds back until it knows what its peers hold. */
static void ask_at_start(struct learn *l)
{
	int n = l->ops.peers(l->ops.ctx);

	if (n <= 0 || l->asks_open || has_asked(l))
		return;
	if (!l->asked)
		l->first_peer = l->ops.random(l->ops.ctx) % (unsigned)n;
	ask(l, (l->first_peer + l->asked++) % (unsigned)n);
}

/* Another node holds more: ask one of them, or else the table. */
static void catch_up(struct learn *l)
{
	int n = l->ops.peers(l->ops.ctx);

	if (l->asks_open || l->now_ms < l->next_ask_ms)
		return;
	if (n > 0 && l->misses++ % 2 == 0)
		ask(l, l->ops.random(l->ops.ctx) % (unsigned)n);
	else if (!l->reading)
		l->next_read_ms = l->now_ms;
	l->next_ask_ms = l->now_ms + LEARN_ASK_MS;
}

static int64_t poll_interval(const struct learn *l)
{
	if (l->published < 0)
		return MIN(l->ops.poll_ms, LEARN_RETRY_MS);
	return l->ops.is_reader(l->ops.ctx)
		       ? l->ops.poll_ms
		       : l->ops.poll_ms * LEARN_OTHERS_FACTOR;
}

/* Begin again when all that was asked has failed. */
static void restart(struct learn *l)
{
	if (l->reading || !has_asked(l) || l->now_ms < l->next_start_ms)
		return;
	l->next_start_ms = l->now_ms + LEARN_RETRY_MS;
	l->asked = 0;
	l->objects_read = 0;
}

void learn_tick(struct learn *l, int64_t now_ms)
{
	l->now_ms = now_ms;
	if (l->published < 0) {
		publish(l);
		restart(l);
		ask_at_start(l);
	} else if (l->heard > l->held.revision) {
		catch_up(l);
	} else {
		l->misses = 0;
	}
	if (!l->reading && now_ms >= l->next_read_ms) {
		l->next_read_ms = now_ms + poll_interval(l);
		read_start(l);
	}
	if (l->published >= 0)
		learn_keep(l);
}

void learn_heard(struct learn *l, int64_t revision)
{
	l->heard = MAX(l->heard, revision);
}

int64_t learn_revision(const struct learn *l)
{
	return l->held.revision;
}

struct learn *learn_new(const struct learn_ops *ops)
{
	struct learn *l = g_new0(struct learn, 1);

	l->ops = *ops;
	l->held = (struct snapshot){-1, json_object(), json_object()};
	l->published = -1;
	l->wanted = -1;
	l->heard = -1;
	l->changes = g_queue_new();
	return l;
}

void learn_free(struct learn *l)
{
	held_drop_changes(l);
	g_queue_free(l->changes);
	snapshot_clear(&l->held);
	snapshot_clear(&l->full);
	g_free(l);
}
