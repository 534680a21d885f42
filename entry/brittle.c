/* Brittle targets as the traffic thread sees them. See brittle.h. */
#include "entry/brittle.h"

/* Time after a rejection in which the part of each node counts. */
#define REJECTED_MS 1000
/*
 * Time after a target has joined in which the part of each node counts: it is
 * empty, and all nodes see that.
 */
#define JOINED_MS 3000
/* Share of the rejections that it bears which the nodes may cause. */
#define REJECTIONS_SHARE 0.5
/* How long what was found of a service is used. */
#define REFRESH_MS 50

/* What targets of a service have said. */
struct service {
	struct str name;
	int64_t checked_ms;
	int64_t per_1000_s; /* the least that one bears, or LIMIT_NONE */
	double room;        /* brittle_room of all targets that work */
	double load, slots; /* of these */
	bool fails;         /* one of its targets does, or has no room */
	struct brittle_rate rate;
	int targets;    /* that were listed at the last check */
	bool has_share; /* this node has a part of a target's slots */
};

struct brittle {
	GArray *services; /* struct service */
};

struct brittle *brittle_new(void)
{
	struct brittle *b = g_new0(struct brittle, 1);

	b->services = g_array_new(FALSE, TRUE, sizeof(struct service));
	return b;
}

void brittle_free(struct brittle *b)
{
	for (guint i = 0; i < b->services->len; i++)
		g_free((char *)g_array_index(b->services, struct service, i)
			       .name.data);
	g_array_unref(b->services);
	g_free(b);
}

/* Return what the target itself has said, to this node or to another one. */
static int64_t own_limit(struct target *t, int64_t now_ms)
{
	return notices_get(t->tr->e->notices, NOTICE_TARGET_BRITTLE, t->info.id,
			   now_ms, LIMIT_NONE);
}

static int node_count(const struct traffic *tr)
{
	return tr->peers ? (int)MAX(tr->peers->n, 1) : 1;
}

/* Return the nodes that come before this one in the target's own order. */
static int nodes_before(const struct target *t)
{
	uint64_t self = member_id(t->tr->settings->node_name);
	uint64_t own = rendezvous_score(t->info.id, self);
	const struct peer_list *l = t->tr->peers;
	int before = 0;

	for (size_t i = 0; l && i < l->n; i++)
		before += l->v[i].id != self &&
			  rendezvous_score(t->info.id, l->v[i].id) > own;
	return before;
}

static bool is_rejecting(const struct target *t, int64_t now_ms)
{
	return now_ms - t->rejected_ms < REJECTED_MS;
}

static void add_room(struct service *s, struct target *t, int64_t now_ms)
{
	double load = pool_load(t, now_ms);

	s->load += load;
	s->slots += (double)t->info.slots;
	s->has_share =
		s->has_share || brittle_share(t->info.slots, node_count(t->tr),
					      nodes_before(t)) > 0;
	s->room += brittle_room((double)t->info.slots, load);
}

static void check_service(struct traffic *tr, struct service *s, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	s->checked_ms = now_ms;
	s->per_1000_s = LIMIT_NONE;
	s->room = s->load = s->slots = 0;
	s->fails = false;
	/* Where there are as many targets, each node has a part of some. */
	s->has_share = s->targets >= node_count(tr);
	s->targets = 0;
	g_hash_table_iter_init(&it, tr->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct target *t = v;
		int64_t limit;

		if (!str_eq(t->info.service, s->name))
			continue;
		limit = own_limit(t, now_ms);
		if (limit != LIMIT_NONE &&
		    (s->per_1000_s == LIMIT_NONE || limit < s->per_1000_s))
			s->per_1000_s = limit;
		s->targets += t->listed;
		if (!pool_takes_requests(t, now_ms))
			continue;
		if (t->last_failed || t->ejected_until_ms > now_ms ||
		    is_rejecting(t, now_ms))
			s->fails = true;
		else
			add_room(s, t, now_ms);
	}
}

/* Return what is known of a service; NULL: no target is brittle. */
static struct service *find_service(struct traffic *tr, struct str name,
				    int64_t now_ms)
{
	GArray *all = tr->brittle->services;
	struct service *s = NULL;

	if (!notices_any(tr->e->notices, NOTICE_TARGET_BRITTLE))
		return NULL;
	for (guint i = 0; i < all->len && !s; i++)
		if (str_eq(g_array_index(all, struct service, i).name, name))
			s = &g_array_index(all, struct service, i);
	if (!s) {
		struct service new = {
			.name = {g_memdup2(name.data, name.len), name.len}};

		g_array_append_val(all, new);
		s = &g_array_index(all, struct service, all->len - 1);
	}
	if (now_ms - s->checked_ms >= REFRESH_MS) {
		check_service(tr, s, now_ms);
		brittle_rate_update(&s->rate, s->load, s->slots, node_count(tr),
				    now_ms);
	}
	return s->per_1000_s == LIMIT_NONE ? NULL : s;
}

/* Return how many rejections in 1,000 s the target bears; LIMIT_NONE: any. */
static int64_t limit_of(struct target *t, const struct service *s,
			int64_t now_ms)
{
	int64_t limit = s ? own_limit(t, now_ms) : LIMIT_NONE;

	/* One that has answered nobody yet is taken to be like the others. */
	if (s && limit == LIMIT_NONE && !t->last_received_ms)
		limit = s->per_1000_s;
	return limit;
}

/* Return the requests that other nodes may have sent to the service unseen. */
static double unseen(struct traffic *tr, const struct service *s,
		     int64_t now_ms)
{
	return (node_count(tr) - 1) *
	       (double)loads_lag_ms(tr->e->loads, now_ms) *
	       retry_window_requests_per_ms(pool_retry_window(tr, s->name),
					    now_ms);
}

bool brittle_is_short(struct traffic *tr, struct str service, int64_t now_ms)
{
	const struct service *s = find_service(tr, service, now_ms);

	return s && !brittle_lasts(s->room, unseen(tr, s, now_ms));
}

/*
 * Whether a node without a part of any target's slots may send a request by the
 * rate: where requests end before their load is seen, and no target fails.
 */
static bool has_token(struct traffic *tr, const struct service *s,
		      int64_t now_ms)
{
	return !s->fails && !s->has_share && s->rate.tokens >= 1 &&
	       s->rate.work_ms < (double)loads_lag_ms(tr->e->loads, now_ms);
}

/*
 * Whether a request to the target now is one that it may have to reject. The
 * nodes share those that it bears.
 */
static bool may_reject(struct target *t, double load, int64_t now_ms)
{
	struct traffic *tr = t->tr;
	struct service *s = find_service(tr, t->info.service, now_ms);
	int64_t limit = limit_of(t, s, now_ms);
	struct brittle_load b = {
		.slots = (double)t->info.slots,
		.load = load,
		.rejected = is_rejecting(t, now_ms) ||
			    (t->joined_ms && now_ms - t->joined_ms < JOINED_MS),
		.target = t->info.id,
		.node = member_id(tr->settings->node_name),
	};

	if (limit == LIMIT_NONE)
		return false;
	target_limits_name(tr->e->overflow_limits, t->info.id,
			   (int64_t)(REJECTIONS_SHARE * (double)limit), now_ms);
	b.room = s->room;
	b.unseen = unseen(tr, s, now_ms);
	b.turn = now_ms / MAX(loads_lag_ms(tr->e->loads, now_ms), 1);
	if (brittle_is_calm(&b) || (!b.rejected && has_token(tr, s, now_ms)))
		return false;
	return t->running >=
	       brittle_share(t->info.slots, node_count(tr), nodes_before(t));
}

bool brittle_is_overfull(struct target *t, double load, int64_t now_ms)
{
	return may_reject(t, load, now_ms) &&
	       target_limits_next_ms(t->tr->e->overflow_limits, t->info.id,
				     now_ms) > now_ms;
}

void brittle_take(struct target *t, double load, int64_t now_ms)
{
	struct service *s = find_service(t->tr, t->info.service, now_ms);

	if (may_reject(t, load, now_ms))
		target_limits_take(t->tr->e->overflow_limits, t->info.id,
				   now_ms);
	if (s)
		brittle_rate_take(&s->rate);
}

void pool_record_rejection(struct target *t)
{
	t->rejected_ms = time_boot_ms();
}

void pool_record_brittle(struct target *t, int64_t per_1000_s)
{
	struct notices *n = t->tr->e->notices;
	int64_t now = time_boot_ms();

	if (per_1000_s == LIMIT_NONE && own_limit(t, now) == LIMIT_NONE)
		return;
	notices_set(n, NOTICE_TARGET_BRITTLE, t->info.id, per_1000_s, now);
}
