/* What evacuated zones mean to the entry. See evacuations.h. */
#include "entry/evacuations.h"

uint64_t evacuation_zone_id(struct str name)
{
	return str_hash(name, 0);
}

/*
 * Count the targets of a zone, and find its name if it is not known; -1: no
 * list of targets has come yet.
 */
static int count_targets(struct entry *e, uint64_t zone, char **name)
{
	struct target_list *l;
	int n = 0;

	g_mutex_lock(&e->lock);
	l = e->list ? target_list_ref(e->list) : NULL;
	g_mutex_unlock(&e->lock);
	if (!l)
		return -1;
	for (size_t i = 0; i < l->n; i++) {
		struct str z = l->v[i].zone;

		if (!z.len || evacuation_zone_id(z) != zone)
			continue;
		n++;
		if (!*name)
			*name = g_strndup(z.data, z.len);
	}
	target_list_unref(l);
	return n;
}

static void on_changed(void *ctx, const struct evacuation *v, const char *name)
{
	static const char *const sources[] = {
		[EVACUATION_STORE] = "store",
		[EVACUATION_NODE] = "node",
	};
	struct entry *e = ctx;
	char *zone = g_strdup(name);
	int targets = count_targets(e, v->zone, &zone);

	metric_set(M_ZONES_EVACUATED,
		   (int64_t)evacuations_count(e->evacuations));
	log_event(v->evacuated ? EV_ZONE_EVACUATED : EV_ZONE_TAKEN_BACK,
		  "zone=%s zone_id=%" G_GINT64_MODIFIER
		  "x source=%s age_ms=%d targets=%d",
		  zone ? zone : "-", v->zone, sources[v->source],
		  (int)(time_boot_ms() - v->at_ms), targets);
	g_free(zone);
}

static void publish(void *ctx, const struct evacuation *v)
{
	struct entry *e = ctx;

	notices_set(e->notices, NOTICE_ZONE_EVACUATED, v->zone, v->evacuated,
		    v->at_ms);
}

struct evacuations *entry_evacuations_new(struct entry *e)
{
	static const struct evacuation_ops ops = {on_changed, publish};

	return evacuations_new(&ops, e);
}

bool entry_evacuations_receive(struct entry *e, const struct notice *v,
			       int64_t now_ms)
{
	struct evacuation said = {v->id, v->value != 0, v->at_ms,
				  EVACUATION_NODE};

	return evacuations_receive(e->evacuations, &said, now_ms);
}

bool target_is_evacuated(const struct target *t)
{
	return evacuations_has(t->tr->e->evacuations, t->zone);
}

int64_t target_evacuation_ended_ms(const struct target *t)
{
	return evacuations_ended_ms(t->tr->e->evacuations, t->zone);
}
