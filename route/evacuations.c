/* Evacuated zones by the latest statement about each. See evacuations.h. */
#include <stdatomic.h>

#include "route/evacuations.h"

struct zone {
	uint64_t id;
	char *name; /* NULL: not known */
	bool evacuated;
	int64_t said_ms;  /* time of the statement that counts */
	int64_t ended_ms; /* when this node learned of the end; 0: never */
	bool in_read;     /* the read in progress has its row */
};

/* The row of a zone. */
struct row {
	uint64_t zone;
	char *name;
};

struct evacuations {
	struct evacuation_ops ops;
	void *ctx;
	GMutex lock;           /* for changes of zones, and other threads */
	GHashTable *zones;     /* id -> struct zone */
	atomic_size_t known;   /* number of zones */
	GArray *rows;          /* struct row, of the read in progress */
	bool has_read;         /* a read was completed */
	int64_t read_ms;       /* zones that are not known had no row then */
	int64_t hold_until_ms; /* missing rows say nothing before */
	bool new_era;          /* the hold is for a new era */
};

static void zone_free(void *p)
{
	struct zone *z = p;

	g_free(z->name);
	g_free(z);
}

static void clear_row(gpointer p)
{
	g_free(((struct row *)p)->name);
}

struct evacuations *evacuations_new(const struct evacuation_ops *ops, void *ctx)
{
	struct evacuations *e = g_new0(struct evacuations, 1);

	e->ops = *ops;
	e->ctx = ctx;
	e->zones = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 zone_free);
	e->rows = g_array_new(false, false, sizeof(struct row));
	g_array_set_clear_func(e->rows, clear_row);
	e->read_ms = INT64_MIN;
	return e;
}

void evacuations_free(struct evacuations *e)
{
	g_hash_table_unref(e->zones);
	g_array_unref(e->rows);
	g_free(e);
}

static struct zone *find_zone(const struct evacuations *e, uint64_t id)
{
	return g_hash_table_lookup(e->zones, &id);
}

bool evacuations_has(struct evacuations *e, uint64_t zone)
{
	const struct zone *z;
	bool evacuated;

	if (!atomic_load(&e->known))
		return false;
	g_mutex_lock(&e->lock);
	z = find_zone(e, zone);
	evacuated = z && z->evacuated;
	g_mutex_unlock(&e->lock);
	return evacuated;
}

int64_t evacuations_ended_ms(struct evacuations *e, uint64_t zone)
{
	const struct zone *z;
	int64_t ended_ms;

	if (!atomic_load(&e->known))
		return 0;
	g_mutex_lock(&e->lock);
	z = find_zone(e, zone);
	ended_ms = z ? z->ended_ms : 0;
	g_mutex_unlock(&e->lock);
	return ended_ms;
}

size_t evacuations_count(struct evacuations *e)
{
	GHashTableIter it;
	size_t n = 0;
	gpointer v;

	g_mutex_lock(&e->lock);
	g_hash_table_iter_init(&it, e->zones);
	while (g_hash_table_iter_next(&it, NULL, &v))
		n += ((const struct zone *)v)->evacuated;
	g_mutex_unlock(&e->lock);
	return n;
}

/* Return the zone, a new one if it is not known. */
static struct zone *use_zone(struct evacuations *e, uint64_t id,
			     const char *name)
{
	struct zone *z = find_zone(e, id);

	if (!z) {
		z = g_new0(struct zone, 1);
		z->id = id;
		z->said_ms = e->read_ms;
		g_hash_table_insert(e->zones, &z->id, z);
		atomic_fetch_add(&e->known, 1);
	}
	if (!z->name)
		z->name = g_strdup(name);
	return z;
}

/*
 * Whether the statement counts in place of the one that does. Of two of the
 * same time the one that keeps requests away does.
 */
static bool is_later(const struct evacuations *e, const struct evacuation *v)
{
	const struct zone *z = find_zone(e, v->zone);
	int64_t said_ms = z ? z->said_ms : e->read_ms;

	return v->at_ms > said_ms || (v->at_ms == said_ms && v->evacuated);
}

/* Take over a statement that is_later. */
static void apply(struct evacuations *e, const struct evacuation *v,
		  const char *name, int64_t now_ms)
{
	struct zone *z;
	bool changed, ended_unseen;

	g_mutex_lock(&e->lock);
	z = use_zone(e, v->zone, name);
	changed = z->evacuated != v->evacuated;
	/*
	 * An end that is told of a zone that this node did not know to be
	 * evacuated: it started since. The zone's targets are cold all the
	 * same.
	 */
	ended_unseen = !changed && !v->evacuated && !z->ended_ms;
	z->evacuated = v->evacuated;
	z->said_ms = v->at_ms;
	if ((changed && !v->evacuated) || ended_unseen)
		z->ended_ms = now_ms;
	g_mutex_unlock(&e->lock);
	if (changed)
		e->ops.changed(e->ctx, v, z->name);
}

void evacuations_row_changed(struct evacuations *e, uint64_t zone,
			     const char *name, bool evacuated, int64_t at_ms,
			     int64_t now_ms)
{
	struct evacuation v = {zone, evacuated, at_ms, EVACUATION_STORE};

	/* The end of an evacuation that began and ended between two reads. */
	if (!is_later(e, &v) || (!evacuated && !find_zone(e, zone)))
		return;
	apply(e, &v, name, now_ms);
	e->ops.publish(e->ctx, &v);
}

bool evacuations_receive(struct evacuations *e, const struct evacuation *v,
			 int64_t now_ms)
{
	const struct zone *z = find_zone(e, v->zone);
	struct evacuation own = {v->zone, z && z->evacuated,
				 z ? z->said_ms : e->read_ms, EVACUATION_NODE};

	if (is_later(e, v)) {
		apply(e, v, NULL, now_ms);
		return true;
	}
	if (v->evacuated == own.evacuated)
		return true;
	/* The other node missed the later statement. */
	if (own.at_ms != INT64_MIN)
		e->ops.publish(e->ctx, &own);
	return false;
}

void evacuations_begin_read(struct evacuations *e)
{
	g_array_set_size(e->rows, 0);
}

void evacuations_add_row(struct evacuations *e, uint64_t zone, const char *name)
{
	struct row row = {zone, g_strdup(name)};

	g_array_append_val(e->rows, row);
}

/* State that the zones whose rows the read lacks are not evacuated. */
static void end_missing(struct evacuations *e, int64_t sent_ms, int64_t now_ms)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, e->zones);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct zone *z = p;
		struct evacuation v = {z->id, false, sent_ms, EVACUATION_STORE};

		if (z->in_read || !is_later(e, &v))
			continue;
		apply(e, &v, NULL, now_ms);
		if (now_ms - z->ended_ms < EVACUATION_RETELL_MS)
			e->ops.publish(e->ctx, &v);
	}
}

/* State that the zones whose rows the read has are evacuated. */
static void apply_rows(struct evacuations *e, int64_t sent_ms, int64_t now_ms)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, e->zones);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct zone *)p)->in_read = false;
	for (guint i = 0; i < e->rows->len; i++) {
		const struct row *r = &g_array_index(e->rows, struct row, i);
		struct zone *z;

		evacuations_row_changed(e, r->zone, r->name, true, sent_ms,
					now_ms);
		z = find_zone(e, r->zone);
		if (z)
			z->in_read = true;
	}
	evacuations_begin_read(e);
}

void evacuations_finish_read(struct evacuations *e, int64_t sent_ms,
			     int64_t now_ms)
{
	apply_rows(e, sent_ms, now_ms);
	if (now_ms >= e->hold_until_ms) {
		end_missing(e, sent_ms, now_ms);
		e->new_era = false;
	}
	/* A copy of the store says nothing of zones that it lacks. */
	if (!e->new_era)
		e->read_ms = MAX(e->read_ms, sent_ms);
	if (!e->has_read)
		e->hold_until_ms =
			MAX(e->hold_until_ms, now_ms + EVACUATION_HOLD_MS);
	e->has_read = true;
}

void evacuations_new_era(struct evacuations *e, int64_t now_ms)
{
	e->new_era = true;
	e->hold_until_ms = now_ms + EVACUATION_HOLD_MS;
}
