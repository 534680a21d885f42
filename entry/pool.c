#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "entry/inner.h"

/* Idle connections kept to one target, the last used ones. */
#define IDLE_MAX 16
/* Part of the connections that a target takes which idle ones may hold. */
#define IDLE_PART 0.6
/* Connections that failed in a row before a target is set aside. */
#define FAULTS_MAX 2
#define ASIDE_MS   1500
/* Weight of one answer in the recent part of failures. */
#define ERROR_WEIGHT 0.15
/* Failures above the mean of the service that set a target aside. */
#define ERROR_EXCESS 0.35
/* A target's own word on its load is used for this long. */
#define LOAD_FOR_MS 250

struct idle {
	struct target *target;
	struct link *link;
	int64_t until_ms;
};

/* It is in no queue any more. */
static void close_idle(struct idle *i)
{
	link_close(i->link);
	g_free(i);
}

static void on_idle_lost(void *ctx)
{
	struct idle *i = ctx;

	g_queue_remove(i->target->idle, i);
	close_idle(i);
}

static void drop_idle(struct target *t)
{
	struct idle *i;

	while ((i = g_queue_pop_head(t->idle)))
		close_idle(i);
}

static void target_free(void *p)
{
	struct target *t = p;

	drop_idle(t);
	g_queue_free(t->idle);
	talloc_free(t->arena);
}

static struct target *target_new(struct traffic *tr,
				 const struct target_info *info)
{
	struct target *t = talloc_zero(NULL, struct target);

	t->arena = t;
	t->tr = tr;
	t->info = *info;
	t->info.name = str_dup(t, info->name);
	t->info.service = str_dup(t, info->service);
	t->info.zone = str_dup(t, info->zone);
	t->idle = g_queue_new();
	return t;
}

static gboolean is_unused(gpointer id, gpointer v, gpointer ctx)
{
	struct target *t = v;

	(void)id;
	(void)ctx;
	return !t->listed && !t->running;
}

void pool_sweep(struct traffic *tr)
{
	int64_t now = time_boot_ms();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct target *t = v;
		struct idle *i;

		while ((i = g_queue_peek_tail(t->idle)) && i->until_ms <= now) {
			g_queue_pop_tail(t->idle);
			close_idle(i);
		}
	}
	g_hash_table_foreach_remove(tr->targets, is_unused, NULL);
}

/*
 * When the target joined. Those of the first list were there before this
 * process, and their own word tells for how long, as the other nodes saw it.
 */
static int64_t joined_ms(const struct traffic *tr, const struct target_info *t)
{
	int64_t now = time_boot_ms();

	if (tr->list)
		return now;
	/* A time of day that jumped makes it as new as can be, or old. */
	return t->born_ms ? now - MAX(time_now_ms() - t->born_ms, 0) : 0;
}

void pool_take(struct traffic *tr, struct target_list *l)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct target *)v)->listed = false;
	for (size_t i = 0; i < l->n; i++) {
		struct target *t =
			g_hash_table_lookup(tr->targets, &l->v[i].id);

		if (!t) {
			t = target_new(tr, &l->v[i]);
			t->joined_ms = joined_ms(tr, &l->v[i]);
			g_hash_table_insert(tr->targets, &t->info.id, t);
		}
		t->listed = true;
		t->info.address = l->v[i].address;
		t->info.slots = l->v[i].slots;
		t->info.leaving = l->v[i].leaving;
		if (t->info.leaving)
			drop_idle(t);
	}
	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (!((struct target *)v)->listed)
			drop_idle(v);
	pool_sweep(tr);
}

/* What is spent on repeats at a service. */
struct service_retries {
	struct str service;
	struct retry_window window;
};

static void retries_free(void *p)
{
	talloc_free(p);
}

void pool_init(struct traffic *tr)
{
	tr->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    target_free);
	tr->retries = g_hash_table_new_full(str_key_hash, str_key_equal, NULL,
					    retries_free);
}

void pool_free(struct traffic *tr)
{
	g_hash_table_unref(tr->targets);
	g_hash_table_unref(tr->retries);
}

static double next_random(void *ctx)
{
	return g_rand_double(ctx);
}

/* Requests there: what the nodes tell, or the target's own newer word. */
static double load_of(struct target *t, int64_t now_ms)
{
	double told =
		t->running + loads_others(t->tr->e->loads, t->info.id, now_ms);
	double own = t->load + (double)(t->running - t->load_own);

	if (!t->load_at_ms || now_ms - t->load_at_ms > LOAD_FOR_MS)
		return told;
	return MAX(told, own);
}

static struct place_target candidate_of(struct target *t, int64_t now_ms)
{
	bool aside = t->aside_until_ms > now_ms;

	return (struct place_target){
		.id = t->info.id,
		.load = load_of(t, now_ms),
		.weight =
			t->joined_ms ? place_weight(now_ms - t->joined_ms) : 1,
		.aside = aside,
		.leaving = t->info.leaving,
		.gives = !t->broke && !aside,
	};
}

/* Those that fail far more often than the rest of their service. */
static void set_outliers_aside(struct place_target *p, struct target **by,
			       size_t n)
{
	double errors = 0;
	size_t staying = 0;

	for (size_t i = 0; i < n; i++) {
		if (p[i].leaving)
			continue;
		errors += by[i]->errors;
		staying++;
	}
	if (staying < 2)
		return;
	for (size_t i = 0; i < n; i++) {
		double others =
			(errors - by[i]->errors) / (double)(staying - 1);

		if (!p[i].leaving && by[i]->errors > others + ERROR_EXCESS)
			p[i].aside = true;
	}
}

static void set_tried_aside(struct place_target *p, size_t n,
			    const uint64_t *tried, size_t tried_count)
{
	for (size_t i = 0; i < n; i++)
		for (size_t k = 0; k < tried_count; k++)
			if (tried[k] == p[i].id)
				p[i].aside = true;
}

struct target *pool_choose(struct traffic *tr, const struct entry_service *s,
			   const struct prompt *prompt, const uint64_t *tried,
			   size_t tried_count, struct target **source)
{
	size_t most = g_hash_table_size(tr->targets), n = 0, at, from;
	struct place_target *p = g_newa(struct place_target, most + 1);
	struct target **by = g_newa(struct target *, most + 1);
	struct place_limits limits = place_limits_for(
		prompt->shared_tokens, tr->set->bounds_load_factor);
	int64_t now = time_boot_ms();
	GHashTableIter it;
	gpointer v;

	*source = NULL;
	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct target *t = v;

		if (!t->listed || !str_eq(t->info.service, s->name))
			continue;
		by[n] = t;
		p[n++] = candidate_of(t, now);
	}
	set_outliers_aside(p, by, n);
	set_tried_aside(p, n, tried, tried_count);
	at = place_choose(&limits, prompt->parts[0], p, n,
			  (struct route_random){next_random, tr->rand});
	if (at == SIZE_MAX)
		return NULL;
	if (!s->fetches)
		return by[at];
	from = holds_source(tr->e->holds, prompt, p, n, at);
	if (from != SIZE_MAX)
		*source = by[from];
	return by[at];
}

struct link *pool_link(struct target *t, bool *reused)
{
	int64_t now = time_boot_ms();
	struct idle *i;

	*reused = false;
	while ((i = g_queue_pop_head(t->idle))) {
		struct link *l = i->link;
		bool good = i->until_ms > now;

		g_free(i);
		if (good) {
			*reused = true;
			return l;
		}
		link_close(l);
	}
	return link_open(t->tr->loop, &t->info.address);
}

/* Nodes of the fleet, live or not, among which what is allowed is divided. */
static double nodes_known(const struct traffic *tr)
{
	return tr->peers ? (double)MAX(tr->peers->known, 1) : 1;
}

/* This node's part of the idle connections that a target allows. */
static guint idle_max(const struct target *t)
{
	const struct entry_config *c = t->tr->config;
	double nodes = nodes_known(t->tr);

	for (size_t i = 0; c && i < c->service_count; i++) {
		const struct entry_service *s = &c->services[i];

		if (!s->connections_max || !str_eq(s->name, t->info.service))
			continue;
		return (guint)CLAMP((double)s->connections_max * IDLE_PART /
					    nodes,
				    1, IDLE_MAX);
	}
	return IDLE_MAX;
}

void pool_keep(struct target *t, struct link *l)
{
	struct idle *i;

	if (!t->listed || t->info.leaving || t->tr->leaving_ms ||
	    g_queue_get_length(t->idle) >= idle_max(t) ||
	    link_idle_until(l) <= time_boot_ms()) {
		link_close(l);
		return;
	}
	i = g_new0(struct idle, 1);
	i->target = t;
	i->link = l;
	i->until_ms = link_idle_until(l);
	link_rest(l, on_idle_lost, i);
	g_queue_push_head(t->idle, i);
}

void pool_running(struct target *t, int by)
{
	t->running += by;
	loads_add(t->tr->e->loads, t->info.id, by);
}

void pool_note(struct target *t, bool ok)
{
	t->errors += ERROR_WEIGHT * ((ok ? 0.0 : 1.0) - t->errors);
	t->faults = 0;
	if (ok)
		t->aside_until_ms = 0;
}

void pool_note_error(struct target *t)
{
	t->errors += ERROR_WEIGHT * (1.0 - t->errors);
}

static void set_aside(struct target *t)
{
	int64_t now = time_boot_ms();

	if (t->aside_until_ms <= now)
		log_event(EV_TARGET_DOWN,
			  "target=" STR_FMT " faults=%d silent_ms=%d",
			  STR_ARG(t->info.name), t->faults,
			  t->heard_ms ? (int)(now - t->heard_ms) : -1);
	t->aside_until_ms = now + ASIDE_MS;
}

void pool_note_fault(struct target *t)
{
	t->broke = true;
	pool_note_error(t);
	if (++t->faults >= FAULTS_MAX)
		set_aside(t);
}

void pool_note_begun(struct target *t, int priority, int64_t sent_ms)
{
	t->begun_ms[priority] = MAX(t->begun_ms[priority], sent_ms);
}

int64_t pool_begun_ms(const struct target *t, int priority)
{
	int64_t newest = 0;

	for (int i = priority; i < PRIORITIES; i++)
		newest = MAX(newest, t->begun_ms[i]);
	return newest;
}

void pool_note_load(struct target *t, struct str load)
{
	char text[48];
	int running, waiting, slots;

	if (!load.len || load.len >= sizeof(text))
		return;
	memcpy(text, load.data, load.len);
	text[load.len] = '\0';
	if (sscanf(text, "%d,%d,%d", &running, &waiting, &slots) != 3)
		return;
	t->load = running + waiting;
	t->load_own = t->running;
	t->load_at_ms = time_boot_ms();
}

struct retry_window *pool_retries(struct traffic *tr, struct str service)
{
	struct service_retries *r = g_hash_table_lookup(tr->retries, &service);
	struct retry_window *s;
	int64_t now = time_boot_ms();
	double nodes = nodes_known(tr);
	double age;

	if (!r) {
		r = talloc_zero(NULL, struct service_retries);
		r->service = str_dup(r, service);
		g_hash_table_insert(tr->retries, &r->service, r);
	}
	s = &r->window;
	s->ratio = tr->set->bounds_retry_ratio;
	s->window_ms = (int64_t)(tr->set->bounds_retry_window_s * 1000);
	/* What an earlier process of this node spent is not known. */
	age = (double)(now - tr->started_ms) / (double)MAX(s->window_ms, 1);
	s->allowance = tr->set->bounds_retry_allowance / nodes * MIN(age, 1);
	return s;
}
