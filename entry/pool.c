/*
 * Targets as the traffic thread sees them: their health and load, the choice of
 * one for a request, idle links to them, and the retry budget of each service.
 */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "entry/brittle.h"
#include "entry/evacuations.h"
#include "entry/internal.h"
#include "entry/origins.h"
#include "entry/tunnel.h"

/* Most idle links kept to one target. */
#define IDLE_LINKS_MAX 16
/* Share of the connections that a target accepts which idle ones may hold. */
#define IDLE_LINKS_SHARE 0.6
/* Connection faults in a row that eject a target, and for how long. */
#define EJECT_FAULTS 2
#define EJECT_MS     1500
/* Weight of one outcome in the moving average of failures. */
#define ERROR_RATE_WEIGHT 0.15
/* A target is avoided above this excess over the others' mean error rate. */
#define ERROR_EXCESS_MAX 0.35
/*
 * Share of a target's slots that requests may take while others have limits;
 * beyond it they slow each other down.
 */
#define ROOM_SHARE 0.5
/*
 * Time between looks at a target that takes no request until one of those that
 * it runs ends, and the requests a ms that it is taken to accept then.
 */
#define ROOM_CHECK_MS 100
#define ROOM_PER_MS   (1.0 / ROOM_CHECK_MS)
/* Most requests a ms that are expected of a target without a limit. */
#define SUPPLY_MAX_PER_MS 1.0
/* A load report of a target is used for this long. */
#define LOAD_REPORT_VALID_MS 250

struct idle_link {
	struct target *target;
	struct link *link;
	int64_t until_ms; /* not used from then on: the target may close it */
};

/* Close a link that has been taken out of its target's queue. */
static void close_idle_link(struct idle_link *i)
{
	link_close(i->link);
	g_free(i);
}

static void on_idle_link_lost(void *ctx)
{
	struct idle_link *i = ctx;

	g_queue_remove(i->target->idle_links, i);
	close_idle_link(i);
}

void pool_close_idle_links(struct target *t)
{
	struct idle_link *i;

	while ((i = g_queue_pop_head(t->idle_links)))
		close_idle_link(i);
}

static void target_free(void *p)
{
	struct target *t = p;

	pool_close_idle_links(t);
	g_queue_free(t->idle_links);
	talloc_free(t->arena);
}

/* A target without a start time may come back with other software. */
static void set_version(struct target *t, const struct target_info *info)
{
	if (t->version && str_eq(t->info.version, info->version))
		return;
	t->info.version = str_dup(t, info->version);
	t->version = software_version_id(info->service, info->version);
	t->version_known = false;
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
	t->zone = evacuation_zone_id(info->zone);
	t->info.version = (struct str){NULL, 0};
	set_version(t, info);
	t->idle_links = g_queue_new();
	t->limit_per_1000_s = LIMIT_NONE;
	return t;
}

/* Whether the target is not listed and no request of this node uses it. */
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
		struct idle_link *i;

		if (target_is_evacuated(t))
			pool_close_idle_links(t);
		while ((i = g_queue_peek_tail(t->idle_links)) &&
		       i->until_ms <= now) {
			g_queue_pop_tail(t->idle_links);
			close_idle_link(i);
		}
	}
	g_hash_table_foreach_remove(tr->targets, is_unused, NULL);
}

/*
 * Return when the target joined. The targets in the first list may have joined
 * before this process started, so the start time that they report is used, from
 * which on the other nodes have known them.
 */
static int64_t join_time_ms(const struct traffic *tr,
			    const struct target_info *t)
{
	int64_t now = time_boot_ms();

	if (tr->list)
		return now;
	/* A jump of the wall clock makes a target look just started, or old. */
	return t->born_ms ? now - MAX(time_now_ms() - t->born_ms, 0) : 0;
}

void pool_update_targets(struct traffic *tr, struct target_list *l)
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
			t->joined_ms = join_time_ms(tr, &l->v[i]);
			g_hash_table_insert(tr->targets, &t->info.id, t);
		}
		t->listed = true;
		t->info.address = l->v[i].address;
		t->info.slots = l->v[i].slots;
		set_version(t, &l->v[i]);
		t->info.draining = l->v[i].draining;
		t->info.source = l->v[i].source;
		if (t->info.draining)
			pool_close_idle_links(t);
	}
	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (!((struct target *)v)->listed)
			pool_close_idle_links(v);
	pool_sweep(tr);
}

/* The retry budget of a service. */
struct service_retries {
	struct str service;
	struct retry_share share;
};

static void service_retries_free(void *p)
{
	talloc_free(p);
}

void pool_init(struct traffic *tr)
{
	tr->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    target_free);
	tr->key_rates = key_rates_new();
	tr->brittle = brittle_new();
	tr->retry_windows = g_hash_table_new_full(str_key_hash, str_key_equal,
						  NULL, service_retries_free);
}

void pool_free(struct traffic *tr)
{
	g_hash_table_unref(tr->targets);
	g_hash_table_unref(tr->retry_windows);
	key_rates_free(tr->key_rates);
	brittle_free(tr->brittle);
}

static double random_double(void *ctx)
{
	return g_rand_double(ctx);
}

double pool_load(struct target *t, int64_t now_ms)
{
	double summed =
		t->running + loads_remote(t->tr->e->loads, t->info.id, now_ms);
	double reported =
		t->reported_load + (double)(t->running - t->running_at_report);

	if (!t->load_reported_ms ||
	    now_ms - t->load_reported_ms > LOAD_REPORT_VALID_MS)
		return summed;
	return MAX(summed, reported);
}

bool pool_list_is_usable(const struct traffic *tr, int64_t now_ms)
{
	return tr->list && now_ms < atomic_load(&tr->list->until_ms);
}

/* Whether it takes requests, if not now then after a rest. */
static bool is_in_service(const struct target *t, int64_t now_ms)
{
	return pool_list_is_usable(t->tr, now_ms) && t->listed &&
	       !t->info.draining && !t->says_leaving &&
	       !target_is_evacuated(t) &&
	       !notices_get(t->tr->e->notices, NOTICE_TARGET_LEAVING,
			    t->info.id, now_ms, 0);
}

bool pool_takes_requests(const struct target *t, int64_t now_ms)
{
	return t->resting_until_ms <= now_ms && is_in_service(t, now_ms);
}

struct place_target pool_candidate(struct target *t, int64_t now_ms)
{
	bool ejected = t->ejected_until_ms > now_ms;
	bool resting = t->resting_until_ms > now_ms;
	bool limited = target_limits_next_ms(t->tr->e->target_limits,
					     t->info.id, now_ms) > now_ms;

	double load = pool_load(t, now_ms);

	return (struct place_target){
		.id = t->info.id,
		.load = load,
		.slots = (double)t->info.slots,
		.weight =
			t->joined_ms ? place_weight(now_ms - t->joined_ms) : 1,
		.avoid = ejected,
		.draining = !pool_takes_requests(t, now_ms),
		.limited = limited || brittle_is_overfull(t, load, now_ms),
		.warming = warmups_next_ms(t, now_ms) > now_ms,
		.can_export = !t->last_failed && !ejected && !resting,
	};
}

/* Avoid targets that fail far more often than the rest of their service. */
static void avoid_outliers(struct place_target *p, struct target **targets,
			   size_t n)
{
	double errors = 0;
	size_t candidates = 0;

	for (size_t i = 0; i < n; i++) {
		if (p[i].draining)
			continue;
		errors += targets[i]->error_rate;
		candidates++;
	}
	if (candidates < 2)
		return;
	for (size_t i = 0; i < n; i++) {
		double others = (errors - targets[i]->error_rate) /
				(double)(candidates - 1);

		if (!p[i].draining &&
		    targets[i]->error_rate > others + ERROR_EXCESS_MAX)
			p[i].avoid = true;
	}
}

/* Avoid the targets that this request was sent to before. */
static void avoid_tried(struct place_target *p, size_t n, const uint64_t *tried,
			size_t tried_count)
{
	for (size_t i = 0; i < n; i++)
		for (size_t k = 0; k < tried_count; k++)
			if (tried[k] == p[i].id)
				p[i].avoid = true;
}

/* Return the number of nodes, live or not, that share fleet-wide limits. */
static size_t known_nodes(const struct traffic *tr)
{
	return tr->peers ? MAX(tr->peers->known, 1) : 1;
}

/*
 * Estimate the requests for a key that other nodes have sent and that this node
 * doesn't know of yet.
 */
static double expect_unseen(struct traffic *tr, uint64_t key, int64_t now_ms)
{
	double others = tr->peers ? (double)tr->peers->n - 1 : 0;
	double per_ms = key_rates_per_ms(tr->key_rates, key, now_ms);

	return per_ms * others * (double)loads_lag_ms(tr->e->loads, now_ms);
}

/* Whether streams that may be resumed may begin at the target. */
static bool is_version_known(struct target *t)
{
	if (!t->version_known)
		t->version_known =
			origins_may_begin(t->tr->e->origins, t->version);
	return t->version_known;
}

static bool has_version(struct target *t, uint64_t version)
{
	if (version == VERSION_KNOWN)
		return is_version_known(t);
	return version == VERSION_ANY || version == t->version;
}

/* Whether the target is listed for the service, with such a version. */
static bool is_candidate(struct target *t, const struct entry_service *s,
			 uint64_t version)
{
	return t->listed && str_eq(t->info.service, s->name) &&
	       has_version(t, version);
}

static bool may_send(struct place_target p)
{
	return !p.draining && !p.limited && !p.warming;
}

struct service_room pool_service_room(struct traffic *tr,
				      const struct entry_service *s,
				      int64_t now_ms)
{
	struct service_room room = {0};
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct place_target p;

		if (!is_candidate(v, s, VERSION_ANY))
			continue;
		p = pool_candidate(v, now_ms);
		if (p.draining || p.avoid)
			continue;
		room.targets++;
		room.load += p.load;
		room.slots += p.slots;
		room.slotless += p.slots <= 0;
	}
	return room;
}

bool pool_serves_version(struct traffic *tr, const struct entry_service *s,
			 uint64_t version)
{
	int64_t now = time_boot_ms();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (is_candidate(v, s, version) &&
		    may_send(pool_candidate(v, now)))
			return true;
	return false;
}

bool pool_keeps_version(struct traffic *tr, const struct entry_service *s,
			uint64_t version)
{
	int64_t now = time_boot_ms();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (is_candidate(v, s, version) && is_in_service(v, now))
			return true;
	return false;
}

/* Add when the target takes requests; without a share of its limit never. */
static void add_supply(struct target *t, int64_t now_ms,
		       struct pool_supply *out)
{
	struct target_limits *l = t->tr->e->target_limits;
	double per_ms = MIN(target_limits_per_ms(l, t->info.id, now_ms),
			    SUPPLY_MAX_PER_MS);
	int64_t warm_ms = warmups_next_ms(t, now_ms);
	const struct {
		enum supply_cause cause;
		int64_t until_ms;
	} holds[] = {
		{SUPPLY_LIMIT, target_limits_next_ms(l, t->info.id, now_ms)},
		{SUPPLY_REST, t->resting_until_ms},
		{SUPPLY_WARM_UP, warm_ms},
		{SUPPLY_EJECTED, t->ejected_until_ms},
	};
	int64_t next_ms = now_ms;

	if (!(per_ms > 0))
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(holds); i++) {
		next_ms = MAX(next_ms, holds[i].until_ms);
		out->causes |= holds[i].until_ms > now_ms ? holds[i].cause : 0;
	}
	if (warm_ms > now_ms)
		per_ms = MIN(per_ms, 1.0 / WARMUP_SLOT_MS);
	if (next_ms > now_ms) {
		out->known[out->known_count++] =
			(struct supply){next_ms, per_ms};
		return;
	}
	out->causes |= SUPPLY_ROOM;
	out->room[out->room_count++] = (struct supply){
		now_ms + ROOM_CHECK_MS, MIN(per_ms, ROOM_PER_MS)};
}

void pool_list_supply(struct traffic *tr, const struct entry_service *s,
		      uint64_t version, int64_t now_ms, struct pool_supply *out)
{
	GHashTableIter it;
	gpointer v;

	out->known_count = out->room_count = 0;
	out->causes = 0;
	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (is_candidate(v, s, version) && is_in_service(v, now_ms))
			add_supply(v, now_ms, out);
}

/*
 * Keep a request that can wait from targets that fail, if a sound one takes it
 * later and none does now.
 */
static void await_sound(struct pool_candidates *c, int64_t now_ms)
{
	struct target_limits *l;
	bool any = false;

	for (size_t i = 0; i < c->n; i++) {
		if (c->p[i].avoid || c->p[i].draining)
			continue;
		if (may_send(c->p[i]))
			return;
		l = c->targets[i]->tr->e->target_limits;
		any |= target_limits_next_ms(l, c->p[i].id, now_ms) < INT64_MAX;
	}
	for (size_t i = 0; any && i < c->n; i++)
		c->p[i].limited |= c->p[i].avoid;
}

void pool_list_candidates(struct traffic *tr, const struct entry_service *s,
			  const struct prompt *prompt, uint64_t version,
			  int rank, int64_t now_ms, struct pool_candidates *c)
{
	GHashTableIter it;
	gpointer v;

	c->n = 0;
	c->limits = place_limits_for(prompt->shared_tokens,
				     tr->settings->bounds_load_factor);
	if (prompt->parts[0])
		c->limits.unseen = expect_unseen(tr, prompt->parts[0], now_ms);
	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct target *t = v;

		if (!is_candidate(t, s, version))
			continue;
		c->limits.room =
			MAX(c->limits.room, ROOM_SHARE * (double)t->info.slots);
		c->targets[c->n] = t;
		c->p[c->n++] = pool_candidate(t, now_ms);
	}
	if (c->alone)
		memcpy(c->alone, c->p, c->n * sizeof(*c->p));
	c->limits.spread =
		brittle_is_short(tr, s->name, now_ms) ? BRITTLE_CALM_SHARE : 0;
	place_limit_overflow(c->p, c->n, rank_priority(rank));
	avoid_outliers(c->p, c->targets, c->n);
	if (rank == RANK_BEGUN)
		await_sound(c, now_ms);
}

struct target *pool_choose_target(struct traffic *tr,
				  const struct entry_service *s,
				  const struct prompt *prompt, uint64_t version,
				  const uint64_t *tried, size_t tried_count,
				  int rank, struct target **source)
{
	size_t max = g_hash_table_size(tr->targets), n, chosen, donor;
	struct place_target *p = g_newa(struct place_target, max + 1);
	struct target **targets = g_newa(struct target *, max + 1);
	struct pool_candidates c = {.targets = targets, .p = p};
	int64_t now = time_boot_ms();

	*source = NULL;
	pool_list_candidates(tr, s, prompt, version, rank, now, &c);
	n = c.n;
	if (prompt->parts[0])
		key_rates_record(tr->key_rates, prompt->parts[0], now);
	avoid_tried(p, n, tried, tried_count);
	chosen = place_choose(&c.limits, prompt->parts[0], p, n,
			      (struct route_random){random_double, tr->rand});
	warmups_record_choice(&c.limits, prompt->parts[0], p, n, chosen);
	if (chosen == SIZE_MAX)
		return NULL;
	warmups_take(targets[chosen], now);
	target_limits_take(tr->e->target_limits, targets[chosen]->info.id, now);
	brittle_take(targets[chosen], p[chosen].load, now);
	if (!s->kv_transfer)
		return targets[chosen];
	donor = holders_fetch_source(tr->e->holders, prompt, p, n, chosen);
	if (donor != SIZE_MAX)
		*source = targets[donor];
	return targets[chosen];
}

struct link *pool_acquire_link(struct target *t, bool last, bool fresh,
			       bool *reused, uint64_t *helper)
{
	int64_t now = time_boot_ms();
	struct idle_link *i;
	struct link *through;

	*reused = false;
	*helper = 0;
	if (!ways_is_open(t, last)) {
		through = reach_through_peer(t, helper);
		if (through)
			return through;
	}
	while (!fresh && (i = g_queue_pop_head(t->idle_links))) {
		struct link *l = i->link;
		bool usable = i->until_ms > now && link_is_quiet(l);

		g_free(i);
		if (usable) {
			*reused = true;
			return l;
		}
		link_close(l);
	}
	callers_make_room_for_link(t->tr);
	return link_open(t->tr->loop, &t->info.address);
}

/* Return this node's share of the idle links that a target allows. */
static guint idle_links_max(const struct target *t)
{
	const struct entry_config *c = t->tr->config;
	double nodes = (double)known_nodes(t->tr);

	for (size_t i = 0; c && i < c->service_count; i++) {
		const struct entry_service *s = &c->services[i];

		if (!s->connections_max || !str_eq(s->name, t->info.service))
			continue;
		return (guint)CLAMP((double)s->connections_max *
					    IDLE_LINKS_SHARE / nodes,
				    1, IDLE_LINKS_MAX);
	}
	return IDLE_LINKS_MAX;
}

void pool_release_link(struct target *t, struct link *l)
{
	struct idle_link *i;

	if (!t->listed || t->info.draining || t->says_leaving ||
	    target_is_evacuated(t) || t->tr->leaving_ms || t->cut_since_ms ||
	    link_is_tunnel(l) ||
	    g_queue_get_length(t->idle_links) >= idle_links_max(t) ||
	    link_idle_deadline_ms(l) <= time_boot_ms()) {
		link_close(l);
		return;
	}
	i = g_new0(struct idle_link, 1);
	i->target = t;
	i->link = l;
	i->until_ms = link_idle_deadline_ms(l);
	link_set_idle(l, on_idle_link_lost, i);
	g_queue_push_head(t->idle_links, i);
}

void pool_add_running(struct target *t, int delta)
{
	t->running += delta;
	loads_add(t->tr->e->loads, t->info.id, delta);
}

void pool_record_response(struct target *t, bool ok)
{
	t->error_rate += ERROR_RATE_WEIGHT * ((ok ? 0.0 : 1.0) - t->error_rate);
	t->consecutive_faults = 0;
	if (ok)
		t->ejected_until_ms = 0;
}

void pool_record_error(struct target *t)
{
	t->error_rate += ERROR_RATE_WEIGHT * (1.0 - t->error_rate);
}

/* Avoid the target for EJECT_MS. */
static void eject(struct target *t)
{
	int64_t now = time_boot_ms();

	if (t->ejected_until_ms <= now)
		log_event(EV_TARGET_DOWN,
			  "target=" STR_FMT " faults=%d silent_ms=%d",
			  STR_ARG(t->info.name), t->consecutive_faults,
			  t->last_received_ms ? (int)(now - t->last_received_ms)
					      : -1);
	t->ejected_until_ms = now + EJECT_MS;
}

void pool_record_fault(struct target *t)
{
	if (t->cut_since_ms)
		return;
	t->last_failed = true;
	pool_record_error(t);
	if (++t->consecutive_faults >= EJECT_FAULTS)
		eject(t);
}

void pool_record_begun(struct target *t, int priority, int64_t sent_ms)
{
	t->begun_sent_ms[priority] = MAX(t->begun_sent_ms[priority], sent_ms);
}

int64_t pool_newest_begun_ms(const struct target *t, int priority)
{
	int64_t newest = 0;

	for (int i = priority; i < PRIORITY_COUNT; i++)
		newest = MAX(newest, t->begun_sent_ms[i]);
	return newest;
}

void pool_record_leaving(struct target *t)
{
	if (t->says_leaving)
		return;
	t->says_leaving = true;
	notices_set(t->tr->e->notices, NOTICE_TARGET_LEAVING, t->info.id, 1,
		    time_boot_ms());
	pool_close_idle_links(t);
	log_event(EV_TARGET_LEAVING, "target=" STR_FMT " source=response",
		  STR_ARG(t->info.name));
}

void pool_record_limit(struct target *t, int64_t per_1000_s)
{
	target_limits_name(t->tr->e->target_limits, t->info.id, per_1000_s,
			   time_boot_ms());
	if (t->limit_per_1000_s == per_1000_s)
		return;
	t->limit_per_1000_s = per_1000_s;
	log_event(EV_TARGET_LIMITED,
		  "target=" STR_FMT " target_id=%" G_GINT64_MODIFIER
		  "x per_s=%.3f source=response",
		  STR_ARG(t->info.name), t->info.id, (double)per_1000_s / 1000);
}

void pool_record_rest(struct target *t, int64_t until_ms, uint64_t helper)
{
	int64_t now = time_boot_ms();

	if (helper)
		notices_set(t->tr->e->notices, NOTICE_TARGET_REST, t->info.id,
			    until_ms - now, now);
	t->resting_until_ms = MAX(t->resting_until_ms, until_ms);
	metric_add(M_TARGET_RESTS_TOTAL, 1);
	log_event(EV_TARGET_RESTS, "target=" STR_FMT " ms=%d",
		  STR_ARG(t->info.name), (int)(until_ms - time_boot_ms()));
}

int64_t pool_rest_end_ms(const struct traffic *tr,
			 const struct entry_service *s, int64_t now_ms)
{
	int64_t soonest = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct target *t = v;
		int64_t at_ms;

		if (!t->listed || t->info.draining || t->says_leaving ||
		    target_is_evacuated(t) || !str_eq(t->info.service, s->name))
			continue;
		at_ms = MAX(t->resting_until_ms,
			    target_limits_next_ms(tr->e->target_limits,
						  t->info.id, now_ms));
		at_ms = MAX(at_ms, warmups_retry_ms(t, now_ms));
		if (at_ms > now_ms && at_ms < INT64_MAX &&
		    (!soonest || at_ms < soonest))
			soonest = at_ms;
	}
	return soonest;
}

void pool_record_load(struct target *t, struct str load)
{
	char text[48];
	int running, waiting, slots;

	if (!load.len || load.len >= sizeof(text))
		return;
	memcpy(text, load.data, load.len);
	text[load.len] = '\0';
	if (sscanf(text, "%d,%d,%d", &running, &waiting, &slots) != 3)
		return;
	t->reported_load = running + waiting;
	t->running_at_report = t->running;
	t->load_reported_ms = time_boot_ms();
}

struct retry_window *pool_retry_window(struct traffic *tr, struct str service)
{
	const struct entry_settings *s = tr->settings;
	struct service_retries *r =
		g_hash_table_lookup(tr->retry_windows, &service);
	const struct retry_budget_limits limits = {
		.ratio = s->bounds_retry_ratio,
		.allowance = s->bounds_retry_allowance,
		.window_ms = (int64_t)(s->bounds_retry_window_s * 1000),
	};

	if (!r) {
		r = talloc_zero(NULL, struct service_retries);
		r->service = str_dup(r, service);
		r->share.started_ms = tr->started_ms;
		g_hash_table_insert(tr->retry_windows, &r->service, r);
	}
	retry_share_update(&r->share, &limits, known_nodes(tr), time_boot_ms());
	return &r->share.window;
}
