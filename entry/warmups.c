/*
 * Cold targets as the entry sees them: gathers what says that a target is cold,
 * and asks route/warmup.c for this node's share of the requests that it bears.
 * Runs on the traffic thread, except for what control.c calls; struct warmup
 * has a lock of its own. See docs/design/warm-up.md.
 */
#include "entry/evacuations.h"

/*
 * After a pause of this length the process knows less of the targets than a
 * running node does, which reads rows up to 2 s old.
 */
#define PAUSE_MS 2000
/* Time in which the list of targets is read again after a pause. */
#define CATCH_UP_MS 1500

/* Whether the settings limit warm-ups at all. */
static bool is_enabled(const struct traffic *tr)
{
	return tr->settings->bounds_warmup_overshoot > 0;
}

/* Return the target's service if that has a warm-up, else NULL. */
static const struct entry_service *warmup_service(const struct target *t)
{
	const struct entry_config *c = t->tr->config;

	for (size_t i = 0; c && i < c->service_count; i++) {
		const struct entry_service *s = &c->services[i];

		if (str_eq(s->name, t->info.service))
			return s->warmup_ms && s->warmup_per_s > 0 ? s : NULL;
	}
	return NULL;
}

/* Return the requests in one second that a cold target of the service bears. */
static double bound_of(const struct traffic *tr, const struct entry_service *s)
{
	return s->warmup_per_s * tr->settings->bounds_warmup_overshoot +
	       tr->settings->bounds_warmup_allowance;
}

/* Take over what another node has read of the target. */
static void read_notice(const struct target *t, int64_t now_ms)
{
	struct entry *e = t->tr->e;
	int64_t left_ms = notices_get(e->notices, NOTICE_TARGET_COLD,
				      t->info.id, now_ms, 0);

	if (left_ms > 0)
		warmup_set_cold(e->warmup, t->info.id,
				now_ms + MIN(left_ms, G_MAXINT32),
				WARMUP_NOTICE, now_ms);
}

/* The process was paused: treat all targets that may be cold as such. */
static void mark_all_cold(struct traffic *tr, int64_t paused_ms, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;
	int n = 0;

	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct target *t = v;

		if (!t->listed || !warmup_service(t))
			continue;
		warmup_set_cold(tr->e->warmup, t->info.id, now_ms + CATCH_UP_MS,
				WARMUP_PAUSE, now_ms);
		n++;
	}
	if (n)
		log_event(EV_TARGET_COLD,
			  "targets=%d left_ms=%d source=%s paused_ms=%d", n,
			  CATCH_UP_MS, warmup_source_name(WARMUP_PAUSE),
			  (int)paused_ms);
}

/*
 * Notice a pause. Requests may be placed before the first timer runs after it,
 * so each placement checks, too.
 */
static void check_pause(struct traffic *tr, int64_t now_ms)
{
	int64_t paused_ms = tr->awake_ms ? now_ms - tr->awake_ms : 0;

	tr->awake_ms = now_ms;
	if (paused_ms > PAUSE_MS && is_enabled(tr))
		mark_all_cold(tr, paused_ms, now_ms);
}

/* The target of a service with a warm-up is cold from from_ms on. */
static void set_cold_from(const struct target *t, const struct entry_service *s,
			  int64_t from_ms, enum warmup_source source,
			  int64_t now_ms)
{
	warmup_set_cold(t->tr->e->warmup, t->info.id, from_ms + s->warmup_ms,
			source, now_ms);
}

/* Targets of a zone whose evacuation has ended are cold from then on. */
static void read_evacuation(const struct target *t,
			    const struct entry_service *s, int64_t now_ms)
{
	int64_t ended_ms = target_evacuation_ended_ms(t);

	if (ended_ms)
		set_cold_from(t, s, ended_ms, WARMUP_EVACUATION, now_ms);
}

int64_t warmups_next_ms(struct target *t, int64_t now_ms)
{
	struct traffic *tr = t->tr;
	const struct entry_service *s;

	if (!is_enabled(tr))
		return now_ms;
	check_pause(tr, now_ms);
	if (!warmup_any(tr->e->warmup) &&
	    !notices_any(tr->e->notices, NOTICE_TARGET_COLD) &&
	    !target_evacuation_ended_ms(t))
		return now_ms;
	s = warmup_service(t);
	if (!s)
		return now_ms;
	read_notice(t, now_ms);
	read_evacuation(t, s, now_ms);
	return warmup_next_ms(tr->e->warmup, t->info.id, bound_of(tr, s),
			      now_ms);
}

int64_t warmups_retry_ms(struct target *t, int64_t now_ms)
{
	return MIN(warmups_next_ms(t, now_ms), now_ms + WARMUP_SLOT_MS);
}

/* Whether any of the targets is cold and without a slot of this node. */
static bool has_warming(const struct place_target *p, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (p[i].warming)
			return true;
	return false;
}

void warmups_record_choice(const struct place_limits *l, uint64_t key,
			   const struct place_target *p, size_t n,
			   size_t chosen)
{
	if (!has_warming(p, n) || !place_avoided_warming(l, key, p, n, chosen))
		return;
	metric_add(chosen == SIZE_MAX ? M_WARMUP_REFUSALS_TOTAL
				      : M_WARMUP_DIVERSIONS_TOTAL,
		   1);
}

void warmups_take(struct target *t, int64_t now_ms)
{
	const struct entry_service *s;

	if (!is_enabled(t->tr) || !warmup_any(t->tr->e->warmup))
		return;
	s = warmup_service(t);
	if (s)
		warmup_take(t->tr->e->warmup, t->info.id, bound_of(t->tr, s),
			    now_ms);
}

void warmups_update(struct traffic *tr)
{
	int64_t now = time_boot_ms();
	GHashTableIter it;
	gpointer v;

	if (!is_enabled(tr))
		return;
	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct target *t = v;
		const struct entry_service *s = warmup_service(t);

		if (s && t->listed && t->joined_ms)
			set_cold_from(t, s, t->joined_ms, WARMUP_STARTED, now);
	}
}

/* Learn of notices also while no request is placed, for the log. */
static void read_notices(struct traffic *tr, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	if (!notices_any(tr->e->notices, NOTICE_TARGET_COLD))
		return;
	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct target *t = v;

		if (t->listed && warmup_service(t))
			read_notice(t, now_ms);
	}
}

void warmups_tick(struct traffic *tr, int64_t now_ms)
{
	check_pause(tr, now_ms);
	if (is_enabled(tr))
		read_notices(tr, now_ms);
	metric_set(M_TARGETS_COLD,
		   (int64_t)warmup_expire(tr->e->warmup, now_ms));
}

void warmups_read_row(void *entry, const struct target_info *t, int64_t now_ms)
{
	struct entry *e = entry;

	if (!(e->control_settings.bounds_warmup_overshoot > 0) ||
	    !warmup_read_row(e->warmup, t->id, t->warmup_left_ms, now_ms))
		return;
	notices_set(e->notices, NOTICE_TARGET_COLD, t->id, t->warmup_left_ms,
		    now_ms);
}

void warmups_log(void *ctx, uint64_t target, int64_t until_ms,
		 enum warmup_source s)
{
	(void)ctx;
	if (s == WARMUP_PAUSE)
		return; /* one line is logged for all targets */
	if (until_ms)
		log_event(EV_TARGET_COLD,
			  "target_id=%" G_GINT64_MODIFIER
			  "x left_ms=%d source=%s",
			  target, (int)(until_ms - time_boot_ms()),
			  warmup_source_name(s));
	else
		log_event(EV_TARGET_WARM,
			  "target_id=%" G_GINT64_MODIFIER "x source=%s", target,
			  warmup_source_name(s));
}
