/*
 * Writing of snapshots by the node whose turn it is. Two objects are written
 * in turn, always the one with the older snapshot, so that a truncated write
 * leaves the newer one intact.
 */
#include "state/learn-internal.h"

static bool is_due(const struct learner *l)
{
	if (l->current.revision - l->stored_revision >=
	    SNAPSHOT_INTERVAL_CHANGES)
		return true;
	return l->current.revision > l->stored_revision &&
	       l->now_ms - l->stored_at_ms >= SNAPSHOT_INTERVAL_MS;
}

static void on_put(const struct plat_result *r, void *arg)
{
	struct learner *l = arg;

	l->snapshot_busy = false;
	if (r->status != PLAT_OK)
		l->stored_revision =
			MAX(l->object_revisions[0], l->object_revisions[1]);
}

static void put_snapshot(struct learner *l)
{
	unsigned older =
		l->object_revisions[0] <= l->object_revisions[1] ? 0 : 1;
	size_t n;
	char *text = snapshot_encode(&l->current, &n);

	l->stored_revision = l->current.revision;
	l->stored_at_ms = l->now_ms;
	l->ops.plat->object_put(l->ops.plat->ctx, learn_object_names[older],
				(struct str){text, n}, on_put, l);
	g_free(text);
}

static void read_objects(struct learner *l);

static void on_object_read(const struct plat_result *r, void *arg)
{
	struct learner *l = arg;
	struct snapshot s = {0};

	if (r->status != PLAT_OK && r->status != PLAT_NOT_FOUND) {
		l->snapshot_busy = false;
		return;
	}
	l->object_revisions[l->object_index] = -1;
	if (r->status == PLAT_OK && snapshot_decode(r->bytes, &s))
		l->object_revisions[l->object_index] = s.revision;
	snapshot_clear(&s);
	l->object_index++;
	read_objects(l);
}

/*
 * Read both objects before a write: another node may have written a snapshot
 * since, and the older one is to be replaced.
 */
static void read_objects(struct learner *l)
{
	if (l->object_index < SNAPSHOT_OBJECTS) {
		l->ops.plat->object_get(l->ops.plat->ctx,
					learn_object_names[l->object_index],
					on_object_read, l);
		return;
	}
	l->stored_revision =
		MAX(l->object_revisions[0], l->object_revisions[1]);
	if (l->consistent && is_due(l))
		put_snapshot(l);
	else
		l->snapshot_busy = false;
}

void learn_write_snapshot(struct learner *l)
{
	if (l->snapshot_busy || !l->consistent ||
	    l->now_ms < l->next_snapshot_ms || !is_due(l) ||
	    !l->ops.is_snapshot_writer(l->ops.ctx))
		return;
	l->next_snapshot_ms = l->now_ms + LEARN_RETRY_MS;
	l->snapshot_busy = true;
	l->object_index = 0;
	read_objects(l);
}
