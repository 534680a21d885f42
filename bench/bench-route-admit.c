/*
 * Strategy (c), the product's: each target has one admitting node, chosen by
 * rendezvous hashing, and the entry asks it for admission.
 */
#include <string.h>

#include "bench/bench-route.h"

#define TARGETS_TRIED      4    /* before queueing */
#define TOTALS_INTERVAL_MS 200  /* between exchanges of totals */
#define TOTALS_NODES_MAX   20   /* larger fleets exchange no totals */
#define HAND_OVER_MS       5000 /* until all nodes know the same members */
#define HINT_WAIT_MAX_MS   2000 /* at the target with the cached prefix */
#define QUEUE_WAIT_MS      1000 /* at the least loaded target tried */
#define LAST_QUEUE_WAIT_MS 2000 /* there, for its load to fall to the mean */
#define LOAD_EWMA_WEIGHT   0.05 /* of one decision */
#define RETRY_DELAY_MIN_MS 500  /* after a refusal by all targets */
#define DEADLINE_MS        600000
#define RUN_TIME_MS        (OUTPUT_MEAN_TOKENS * TOKEN_MS)

struct admit_node {
	struct admit *admit; /* NULL: the node is lost */
	bool *owned;         /* by engine: it is the admitting node */
	int64_t members_changed_ms;
	double observed_mean_load; /* EWMA of loads in replies to it as entry */
};

struct admission_ctx {
	struct route_sim *sim;
	struct admit_node *nodes;
	uint16_t *owner;     /* admitting node, by viewing node and engine */
	int64_t total_work;  /* of all targets, at the last exchange */
	GHashTable *waiting; /* queued requests: chat index -> struct chat */
};

static uint16_t *owner(struct admission_ctx *ac, size_t node, size_t engine)
{
	return &ac->owner[node * ac->sim->engine_count + engine];
}

/*
 * Return the admitting node of a target as node sees it. ids and indices are
 * scratch arrays with room for all nodes.
 */
static size_t find_owner(struct route_sim *sim, size_t node, uint64_t target,
			 uint64_t *ids, size_t *indices)
{
	size_t n = 0;

	for (size_t i = 0; i < sim->scenario.nodes; i++) {
		if (!sim->views[node].nodes[i])
			continue;
		ids[n] = sim->node_ids[i];
		indices[n++] = i;
	}
	return indices[rendezvous_owner(target, ids, n)];
}

/*
 * Make a node take over admission to an engine, or give it up. Until all nodes
 * know of a change of nodes, two may admit to the engine, so the new one uses
 * half of the room that the engine's reports leave.
 */
static void set_owned(struct admission_ctx *ac, size_t node, size_t engine,
		      bool owned)
{
	struct route_sim *sim = ac->sim;
	struct admit_node *n = &ac->nodes[node];
	int64_t hand_over_end_ms = n->members_changed_ms + HAND_OVER_MS;

	if (!n->admit || n->owned[engine] == owned)
		return;
	n->owned[engine] = owned;
	if (owned)
		admit_take_over(n->admit, sim->engines[engine].id, sim->now_ms,
				hand_over_end_ms, 2);
	else
		admit_hand_over(n->admit, sim->engines[engine].id);
}

static void assign_owner(struct admission_ctx *ac, size_t node, size_t engine,
			 uint64_t *ids, size_t *indices)
{
	struct route_sim *sim = ac->sim;
	size_t new_owner =
		find_owner(sim, node, sim->engines[engine].id, ids, indices);

	*owner(ac, node, engine) = (uint16_t)new_owner;
	set_owned(ac, node, engine,
		  new_owner == node && sim->views[node].engines[engine]);
}

/* Return whether a node's join or loss can change the engine's owner. */
static bool can_move_owner(struct admission_ctx *ac, size_t node, size_t engine,
			   const struct churn_event *event)
{
	size_t current = *owner(ac, node, engine);
	uint64_t ids[] = {ac->sim->node_ids[current],
			  ac->sim->node_ids[event->index]};

	if (!event->up)
		return current == event->index;
	return current == event->index ||
	       rendezvous_owner(ac->sim->engines[engine].id, ids, 2) == 1;
}

/* Recompute the owners that event can change, or all if it is NULL. */
static void assign_owners(struct admission_ctx *ac, size_t node,
			  const struct churn_event *event)
{
	uint64_t *ids = g_new(uint64_t, ac->sim->scenario.nodes);
	size_t *indices = g_new(size_t, ac->sim->scenario.nodes);

	for (size_t engine = 0; engine < ac->sim->engine_count; engine++)
		if (!event || can_move_owner(ac, node, engine, event))
			assign_owner(ac, node, engine, ids, indices);
	g_free(ids);
	g_free(indices);
}

static void view_changed(void *ctx, size_t node,
			 const struct churn_event *event)
{
	struct admission_ctx *ac = ctx;
	struct admit_node *n = &ac->nodes[node];
	size_t engine = event->index;

	if (!n->admit && ac->sim->node_alive[node]) {
		n->admit = admit_new(&admit_limits_default,
				     route_sim_random(ac->sim));
		n->members_changed_ms = ac->sim->now_ms;
		assign_owners(ac, node, NULL);
	}
	if (event->node) {
		n->members_changed_ms = ac->sim->now_ms;
		assign_owners(ac, node, event);
		return;
	}
	set_owned(ac, node, engine,
		  *owner(ac, node, engine) == node && event->up);
}

static void node_lost(void *ctx, size_t node)
{
	struct admission_ctx *ac = ctx;
	struct admit_node *n = &ac->nodes[node];
	GHashTableIter it;
	gpointer p;

	admit_free(n->admit);
	n->admit = NULL;
	memset(n->owned, 0, ac->sim->engine_count);
	g_hash_table_iter_init(&it, ac->waiting);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct chat *c = p;

		if (c->charge_slot / ac->sim->engine_count != node)
			continue;
		g_hash_table_iter_remove(&it);
		route_sim_refuse_request(ac->sim, c, ac->sim->now_ms + 50);
	}
}

static void *create(struct route_sim *sim)
{
	struct admission_ctx *ac = g_new0(struct admission_ctx, 1);

	ac->sim = sim;
	ac->nodes = g_new0(struct admit_node, sim->scenario.nodes);
	ac->owner = g_new0(uint16_t, sim->scenario.nodes * sim->engine_count);
	ac->waiting = g_hash_table_new(NULL, NULL);
	for (size_t i = 0; i < sim->scenario.nodes; i++) {
		ac->nodes[i].owned = g_new0(bool, sim->engine_count);
		ac->nodes[i].members_changed_ms = -HAND_OVER_MS;
		ac->nodes[i].admit =
			admit_new(&admit_limits_default, route_sim_random(sim));
		if (i == 0 || sim->scenario.nodes < 20)
			assign_owners(ac, i, NULL);
	}
	/* All views are the same at the start: copy the first node's result. */
	for (size_t i = 1; i < sim->scenario.nodes && sim->scenario.nodes >= 20;
	     i++) {
		memcpy(owner(ac, i, 0), ac->owner,
		       sim->engine_count * sizeof(*ac->owner));
		for (size_t engine = 0; engine < sim->engine_count; engine++)
			set_owned(ac, i, engine,
				  ac->owner[engine] == i &&
					  sim->views[i].engines[engine]);
	}
	return ac;
}

static void destroy(void *ctx)
{
	struct admission_ctx *ac = ctx;

	for (size_t i = 0; i < ac->sim->scenario.nodes; i++) {
		if (ac->nodes[i].admit)
			admit_free(ac->nodes[i].admit);
		g_free(ac->nodes[i].owned);
	}
	g_hash_table_unref(ac->waiting);
	g_free(ac->nodes);
	g_free(ac->owner);
	g_free(ac);
}

static struct chat *chat_by_ticket(struct admission_ctx *ac, uint64_t ticket)
{
	return &ac->sim->chats[ticket];
}

/*
 * Start an admitted request, charged to its admitting node and engine. If the
 * engine is down, report that to the node and return false.
 */
static bool start_admitted(struct admission_ctx *ac, struct chat *c,
			   size_t node, size_t engine, int64_t work)
{
	c->charge_slot = node * ac->sim->engine_count + engine;
	c->charged_work = work;
	if (launch(ac->sim, c, engine))
		return true;
	admit_unreachable(ac->nodes[node].admit, ac->sim->engines[engine].id,
			  ac->sim->now_ms);
	admit_done(ac->nodes[node].admit, ac->sim->engines[engine].id,
		   c->organisation, work, ac->sim->now_ms);
	return false;
}

/* Build the admission request; it may queue for wait_ms, 0 for not at all. */
static struct admit_request make_request(struct admission_ctx *ac,
					 const struct chat *c, size_t engine,
					 int64_t wait_ms)
{
	bool hinted = ac->sim->scenario.hints && c->hint == engine;

	return (struct admit_request){
		.target = ac->sim->engines[engine].id,
		.ticket = (uint64_t)(c - ac->sim->chats),
		.organisation = c->organisation,
		.weight = 1,
		.work = chat_work(c, 0),
		.reusable_tokens = hinted ? c->history : 0,
		.reuse_age_ms = ac->sim->now_ms - c->hint_ms,
		.run_ms = RUN_TIME_MS,
		.deadline_ms = c->arrived_ms + DEADLINE_MS,
		.wait_until_ms = wait_ms ? ac->sim->now_ms + wait_ms : 0,
		.observed_mean_load =
			(int64_t)ac->nodes[c->node].observed_mean_load,
	};
}

/* Return whether the decision has the load of a reachable target. */
static bool has_load(const struct decision *d)
{
	return d->refusal != REFUSAL_NOT_OWNER &&
	       d->refusal != REFUSAL_TARGET_UNAVAILABLE;
}

static void observe_load(struct admit_node *n, int64_t load)
{
	n->observed_mean_load +=
		n->observed_mean_load > 0
			? LOAD_EWMA_WEIGHT *
				  ((double)load - n->observed_mean_load)
			: (double)load;
}

/*
 * Request admission to an engine from its admitting node as the entry knows it.
 * The request is started when admitted, and recorded when queued.
 */
static enum verdict request_admission(struct admission_ctx *ac, struct chat *c,
				      size_t engine,
				      const struct admit_request *q,
				      struct decision *d)
{
	size_t node = *owner(ac, c->node, engine);

	*d = (struct decision){.verdict = VERDICT_REFUSE,
			       .refusal = REFUSAL_NOT_OWNER,
			       .retry_at_ms = ac->sim->now_ms + 1000};
	if (!ac->nodes[node].admit)
		return VERDICT_REFUSE;
	c->admission = *q;
	admit_request(ac->nodes[node].admit, q, ac->sim->now_ms, d);
	if (has_load(d))
		observe_load(&ac->nodes[c->node], d->load);
	if (d->verdict == VERDICT_QUEUE) {
		c->charge_slot = node * ac->sim->engine_count + engine;
		g_hash_table_insert(ac->waiting,
				    GSIZE_TO_POINTER(c - ac->sim->chats), c);
	}
	if (d->verdict == VERDICT_ADMIT &&
	    !start_admitted(ac, c, node, engine, d->work))
		return VERDICT_REFUSE;
	return d->verdict;
}

static size_t engine_by_id(const struct view *v, uint64_t id)
{
	for (size_t i = 0; i < v->count; i++)
		if (v->targets[i].id == id)
			return v->targets[i].index;
	return ENGINE_NONE;
}

/* Steps of an entry for one request, until it is admitted or queued. */
enum stage {
	STAGE_FIRST,      /* try the first target; queue if it has the prefix */
	STAGE_OTHERS,     /* try the next targets */
	STAGE_QUEUE,      /* queue at the least loaded of them */
	STAGE_FULL_BOUND, /* try all, up to their full load bound */
	STAGE_OVERSIZE,   /* queue at the least loaded, for any size */
};

/* Loads in the refusals that the entry got for a request. */
struct replies {
	size_t best; /* engine with the least load */
	int64_t least_load;
	int64_t load_sum;
	int64_t count;
	int64_t retry_at_ms;
};

static void record_reply(struct replies *replies, size_t engine,
			 const struct decision *d)
{
	replies->retry_at_ms = d->retry_at_ms;
	if (!has_load(d))
		return;
	replies->load_sum += d->load;
	replies->count++;
	if (replies->best != ENGINE_NONE && d->load >= replies->least_load)
		return;
	replies->least_load = d->load;
	replies->best = engine;
}

/* Return whether the request was admitted or queued; record a refusal. */
static bool try_engine(struct admission_ctx *ac, struct chat *c, size_t engine,
		       const struct admit_request *q, struct replies *replies)
{
	struct decision d;

	if (request_admission(ac, c, engine, q, &d) != VERDICT_REFUSE)
		return true;
	record_reply(replies, engine, &d);
	return false;
}

/* Queue for a cached prefix no longer than a new prefill would take. */
static int64_t hint_wait_ms(const struct chat *c, size_t engine)
{
	if (engine != c->hint || c->stage != STAGE_FIRST)
		return 0;
	return MIN(choose_wait_ms(c->history, PREFILL_PER_S), HINT_WAIT_MAX_MS);
}

/* Try the targets of the rendezvous order, as far as the stage goes. */
static bool try_in_order(struct admission_ctx *ac, struct chat *c,
			 struct replies *replies)
{
	struct route_sim *sim = ac->sim;
	struct view *v = &sim->views[c->node];
	struct hint h = {.target = sim->scenario.hints && c->hint != ENGINE_NONE
					   ? sim->engines[c->hint].id
					   : 0};
	struct choose_input in = {.key = c->id,
				  .hint = &h,
				  .targets = v->targets,
				  .count = v->count};
	uint64_t order[CHOOSE_MAX];
	size_t limit =
		c->stage == STAGE_FULL_BOUND ? CHOOSE_MAX : TARGETS_TRIED;
	size_t n = MIN(choose_targets(&in, order), limit);

	for (size_t i = c->stage == STAGE_OTHERS; i < n; i++) {
		size_t engine = engine_by_id(v, order[i]);
		struct admit_request q =
			make_request(ac, c, engine, hint_wait_ms(c, engine));

		q.use_full_bound = c->stage == STAGE_FULL_BOUND;
		if (try_engine(ac, c, engine, &q, replies))
			return true;
		if (c->stage == STAGE_FIRST)
			c->stage = STAGE_OTHERS;
	}
	return false;
}

/*
 * Queue at the least loaded of the targets tried. They are a sample of the
 * fleet, and its load is at most their mean. In the last stage, admission takes
 * their mean for the fleet's if that is higher.
 */
static bool try_least_loaded(struct admission_ctx *ac, struct chat *c,
			     struct replies *replies)
{
	bool oversize = c->stage == STAGE_OVERSIZE;
	struct admit_request q;

	if (replies->best == ENGINE_NONE)
		return false;
	q = make_request(ac, c, replies->best,
			 oversize ? LAST_QUEUE_WAIT_MS : QUEUE_WAIT_MS);
	q.use_full_bound = true;
	q.allow_oversize = oversize;
	if (oversize)
		q.observed_mean_load =
			MAX(q.observed_mean_load,
			    replies->load_sum / replies->count + 1);
	return try_engine(ac, c, replies->best, &q, replies);
}

/* Run the stages from the chat's present one on; refuse after the last. */
static void run_stages(struct admission_ctx *ac, struct chat *c)
{
	struct replies replies = {.best = ENGINE_NONE};

	if (c->stage <= STAGE_OTHERS) {
		if (try_in_order(ac, c, &replies))
			return;
		c->stage = STAGE_QUEUE;
		if (try_least_loaded(ac, c, &replies))
			return;
		c->stage = STAGE_FULL_BOUND;
	}
	if (c->stage == STAGE_FULL_BOUND) {
		replies = (struct replies){.best = ENGINE_NONE};
		if (try_in_order(ac, c, &replies))
			return;
		c->stage = STAGE_OVERSIZE;
		if (try_least_loaded(ac, c, &replies))
			return;
	}
	route_sim_refuse_request(
		ac->sim, c,
		MAX(replies.retry_at_ms, ac->sim->now_ms + RETRY_DELAY_MIN_MS));
}

static void route(void *ctx, struct chat *c)
{
	c->stage = STAGE_FIRST;
	run_stages(ctx, c);
}

/* Act on decisions about requests queued at the node. */
static void poll_queue(struct admission_ctx *ac, size_t node)
{
	struct admit *admit = ac->nodes[node].admit;
	struct decision d;

	while (admit && admit_poll(admit, ac->sim->now_ms, &d)) {
		struct chat *c = chat_by_ticket(ac, d.ticket);
		size_t engine = c->charge_slot % ac->sim->engine_count;

		g_hash_table_remove(ac->waiting,
				    GSIZE_TO_POINTER(c - ac->sim->chats));
		if (d.verdict == VERDICT_ADMIT &&
		    start_admitted(ac, c, node, engine, d.work))
			continue;
		c->stage++;
		run_stages(ac, c);
	}
}

static void ended(void *ctx, struct chat *c)
{
	struct admission_ctx *ac = ctx;
	size_t node = c->charge_slot / ac->sim->engine_count;

	if (!ac->nodes[node].admit)
		return;
	admit_done(ac->nodes[node].admit, ac->sim->engines[c->engine].id,
		   c->organisation, c->charged_work, ac->sim->now_ms);
	if (g_hash_table_size(ac->waiting))
		poll_queue(ac, node);
}

/* The first event of the answer gives the reuse; correct the charge. */
static void started(void *ctx, struct chat *c)
{
	struct admission_ctx *ac = ctx;
	size_t node = c->charge_slot / ac->sim->engine_count;

	c->charged_work =
		admit_correct_work(ac->nodes[node].admit, &c->admission,
				   c->charged_work, c->reused);
}

static void reported(void *ctx, size_t engine)
{
	struct admission_ctx *ac = ctx;
	const struct report *r = &ac->sim->reports[engine];
	struct load_report l = {ac->sim->engines[engine].id, r->requests, 0,
				r->work, r->taken_ms};

	for (size_t i = 0; i < ac->sim->scenario.nodes; i++)
		if (ac->nodes[i].owned[engine])
			admit_report(ac->nodes[i].admit, &l, ac->sim->now_ms);
}

/*
 * In a small fleet, nodes exchange the totals of their targets; in a large one,
 * the mean load is known only from the replies to entries.
 */
static void exchange_totals(struct admission_ctx *ac)
{
	struct route_sim *sim = ac->sim;
	int64_t previous_work = ac->total_work;

	ac->total_work = 0;
	for (size_t i = 0; i < sim->scenario.nodes; i++) {
		struct admit *admit = ac->nodes[i].admit;
		int64_t work;
		size_t targets;

		if (!admit)
			continue;
		admit_owned_totals(admit, &work, &targets);
		if (sim->scenario.nodes <= TOTALS_NODES_MAX)
			ac->total_work += work;
		admit_set_fleet_totals(admit, previous_work,
				       sim->views[i].count);
	}
}

static void tick(void *ctx)
{
	struct admission_ctx *ac = ctx;

	if (ac->sim->now_ms % TOTALS_INTERVAL_MS == 0)
		exchange_totals(ac);
	for (size_t i = 0; i < ac->sim->scenario.nodes; i++)
		if (g_hash_table_size(ac->waiting))
			poll_queue(ac, i);
}

const struct strategy strategy_admit = {
	.name = "",
	.create = create,
	.destroy = destroy,
	.route = route,
	.ended = ended,
	.started = started,
	.tick = tick,
	.view_changed = view_changed,
	.reported = reported,
	.node_lost = node_lost,
};
