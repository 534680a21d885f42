/*
 * Writing snapshots: rarely, by whoever's turn it is, over the older of two
 * objects, so that a write that ends half-way leaves the newer one whole.
 */
#include "state/learn-priv.h"

static bool is_due(const struct learn *l)
{
	if (l->held.revision - l->kept >= SNAPSHOT_CHANGES)
		return true;
	return l->held.revision > l->kept &&
	       l->now_ms - l->kept_at_ms >= SNAPSHOT_MS;
}

static void on_put(const struct plat_result *r, void *arg)
{
	struct learn *l = arg;

	l->keeping = false;
	if (r->status != PLAT_OK)
		l->kept = MAX(l->seen[0], l->seen[1]);
}

static void put(struct learn *l)
{
	unsigned older = l->seen[0] <= l->seen[1] ? 0 : 1;
	size_t n;
	char *text = snapshot_encode(&l->held, &n);

	l->kept = l->held.revision;
	l->kept_at_ms = l->now_ms;
	l->ops.plat->object_put(l->ops.plat->ctx, learn_objects[older],
				(struct str){text, n}, on_put, l);
	g_free(text);
}

static void look(struct learn *l);

static void on_look(const struct plat_result *r, void *arg)
{
	struct learn *l = arg;
	struct snapshot s = {0};

	if (r->status != PLAT_OK && r->status != PLAT_NOT_FOUND) {
		l->keeping = false;
		return;
	}
	l->seen[l->keep_step] = -1;
	if (r->status == PLAT_OK && snapshot_decode(r->bytes, &s))
		l->seen[l->keep_step] = s.revision;
	snapshot_clear(&s);
	l->keep_step++;
	look(l);
}

/* What is there decides which object is written, and whether any is. */
static void look(struct learn *l)
{
	if (l->keep_step < OBJECTS) {
		l->ops.plat->object_get(l->ops.plat->ctx,
					learn_objects[l->keep_step], on_look,
					l);
		return;
	}
	l->kept = MAX(l->seen[0], l->seen[1]);
	if (l->whole && is_due(l))
		put(l);
	else
		l->keeping = false;
}

void learn_keep(struct learn *l)
{
	if (l->keeping || !l->whole || l->now_ms < l->next_keep_ms ||
	    !is_due(l) || !l->ops.is_writer(l->ops.ctx))
		return;
	l->next_keep_ms = l->now_ms + LEARN_RETRY_MS;
	l->keeping = true;
	l->keep_step = 0;
	look(l);
}
