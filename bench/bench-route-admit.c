/* Way (c): one admitting node a target, asked by the entries. */
#include <string.h>

#include "bench/bench-route.h"

#define TRIES        4    /* targets that an entry asks */
#define TELL_MS      200  /* between two times */
#define DIRECT_MAX   20   /* nodes that tell each other their sums */
#define HAND_OVER_MS 5000 /* in which nodes may disagree about each other */
#define WAIT_HOME_MS 2000 /* most that a request waits for its prefix */
#define WAIT_FIT_MS  1000 /* for room at the best of those asked */
#define WAIT_LAST_MS 2000 /* and for that to fall under the mean */
#define SEEN_SMOOTH  0.05 /* weight of one decision */
#define RETRY_MS     500  /* when no target could be asked */
#define DEADLINE_MS  600000
#define SPEED_MS     (OUTPUT_MEAN * TOKEN_MS)

struct ways_node {
	struct admit *admit; /* NULL: the node is lost */
	bool *mine;          /* by engine */
	int64_t nodes_changed_ms;
	double seen_load; /* mean of the decisions that it got as entry */
};

struct ctx {
	struct world *w;
	struct ways_node *nodes;
	uint16_t *admitter;  /* by node and engine, as each node sees it */
	int64_t told_work;   /* of the fleet, as told one round ago */
	GHashTable *waiting; /* chat number -> struct chat */
};

static uint16_t *admitter(struct ctx *x, size_t node, size_t engine)
{
	return &x->admitter[node * x->w->engine_count + engine];
}

static size_t find_admitter(struct world *w, size_t node, uint64_t target,
			    uint64_t *ids, size_t *numbers)
{
	size_t n = 0;

	for (size_t i = 0; i < w->shape.nodes; i++) {
		if (!w->views[node].nodes[i])
			continue;
		ids[n] = w->node_ids[i];
		numbers[n++] = i;
	}
	return numbers[route_admitter(target, ids, n)];
}

static void set_mine(struct ctx *x, size_t node, size_t e, bool mine)
{
	struct world *w = x->w;
	struct ways_node *n = &x->nodes[node];
	int64_t until = n->nodes_changed_ms + HAND_OVER_MS;

	if (!n->admit || n->mine[e] == mine)
		return;
	n->mine[e] = mine;
	if (mine)
		admit_take_over(n->admit, w->engines[e].id, w->now_ms, until,
				2);
	else
		admit_give_up(n->admit, w->engines[e].id);
}

static void assign(struct ctx *x, size_t node, size_t e, uint64_t *ids,
		   size_t *numbers)
{
	struct world *w = x->w;
	size_t a = find_admitter(w, node, w->engines[e].id, ids, numbers);

	*admitter(x, node, e) = (uint16_t)a;
	set_mine(x, node, e, a == node && w->views[node].engines[e]);
}

/* May the change of a node move the engine to another admitting node? */
static bool may_move(struct ctx *x, size_t node, size_t e,
		     const struct change *c)
{
	size_t now = *admitter(x, node, e);
	uint64_t ids[] = {x->w->node_ids[now], x->w->node_ids[c->number]};

	if (!c->up)
		return now == c->number;
	return now == c->number ||
	       route_admitter(x->w->engines[e].id, ids, 2) == 1;
}

static void assign_all(struct ctx *x, size_t node, const struct change *c)
{
	uint64_t *ids = g_new(uint64_t, x->w->shape.nodes);
	size_t *numbers = g_new(size_t, x->w->shape.nodes);

	for (size_t e = 0; e < x->w->engine_count; e++)
		if (!c || may_move(x, node, e, c))
			assign(x, node, e, ids, numbers);
	g_free(ids);
	g_free(numbers);
}

static void view_changed(void *ctx, size_t node, const struct change *c)
{
	struct ctx *x = ctx;
	struct ways_node *n = &x->nodes[node];
	size_t e = c->number;

	if (!n->admit && x->w->node_alive[node]) {
		n->admit = admit_new(&admit_limits_default, world_random(x->w));
		n->nodes_changed_ms = x->w->now_ms;
		assign_all(x, node, NULL);
	}
	if (c->node) {
		n->nodes_changed_ms = x->w->now_ms;
		assign_all(x, node, c);
		return;
	}
	set_mine(x, node, e, *admitter(x, node, e) == node && c->up);
}

static void node_lost(void *ctx, size_t node)
{
	struct ctx *x = ctx;
	struct ways_node *n = &x->nodes[node];
	GHashTableIter it;
	gpointer p;

	admit_free(n->admit);
	n->admit = NULL;
	memset(n->mine, 0, x->w->engine_count);
	g_hash_table_iter_init(&it, x->waiting);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct chat *c = p;

		if (c->mark / x->w->engine_count != node)
			continue;
		g_hash_table_iter_remove(&it);
		world_refuse(x->w, c, x->w->now_ms + 50);
	}
}

static void *create(struct world *w)
{
	struct ctx *x = g_new0(struct ctx, 1);

	x->w = w;
	x->nodes = g_new0(struct ways_node, w->shape.nodes);
	x->admitter = g_new0(uint16_t, w->shape.nodes * w->engine_count);
	x->waiting = g_hash_table_new(NULL, NULL);
	for (size_t i = 0; i < w->shape.nodes; i++) {
		x->nodes[i].mine = g_new0(bool, w->engine_count);
		x->nodes[i].nodes_changed_ms = -HAND_OVER_MS;
		x->nodes[i].admit =
			admit_new(&admit_limits_default, world_random(w));
		if (i == 0 || w->shape.nodes < 20)
			assign_all(x, i, NULL);
	}
	/* All views are alike at the start. */
	for (size_t i = 1; i < w->shape.nodes && w->shape.nodes >= 20; i++) {
		memcpy(admitter(x, i, 0), x->admitter,
		       w->engine_count * sizeof(*x->admitter));
		for (size_t e = 0; e < w->engine_count; e++)
			set_mine(x, i, e,
				 x->admitter[e] == i && w->views[i].engines[e]);
	}
	return x;
}

static void destroy(void *ctx)
{
	struct ctx *x = ctx;

	for (size_t i = 0; i < x->w->shape.nodes; i++) {
		if (x->nodes[i].admit)
			admit_free(x->nodes[i].admit);
		g_free(x->nodes[i].mine);
	}
	g_hash_table_unref(x->waiting);
	g_free(x->nodes);
	g_free(x->admitter);
	g_free(x);
}

static struct chat *chat_of(struct ctx *x, uint64_t ticket)
{
	return &x->w->chats[ticket];
}

/* The request was admitted: mark = admitting node and engine. */
static bool begin(struct ctx *x, struct chat *c, size_t node, size_t engine,
		  int64_t work)
{
	c->mark = node * x->w->engine_count + engine;
	c->mark_work = work;
	if (world_start(x->w, c, engine))
		return true;
	admit_unreachable(x->nodes[node].admit, x->w->engines[engine].id,
			  x->w->now_ms);
	admit_done(x->nodes[node].admit, x->w->engines[engine].id,
		   c->organisation, work, x->w->now_ms);
	return false;
}

static struct admit_ask ask_of(struct ctx *x, const struct chat *c, size_t e,
			       int64_t wait_ms)
{
	bool home = x->w->shape.hints && c->hint == e;

	return (struct admit_ask){
		.target = x->w->engines[e].id,
		.ticket = (uint64_t)(c - x->w->chats),
		.organisation = c->organisation,
		.weight = 1,
		.work = chat_work(c, 0),
		.reuse = home ? c->history : 0,
		.reuse_age_ms = x->w->now_ms - c->hint_ms,
		.run_ms = SPEED_MS,
		.deadline_ms = c->asked_ms + DEADLINE_MS,
		.wait_until_ms = wait_ms ? x->w->now_ms + wait_ms : 0,
		.seen_load = (int64_t)x->nodes[c->node].seen_load,
	};
}

/* Does the decision tell the load of a target that is there? */
static bool was_counted(const struct decision *d)
{
	return d->refusal != REFUSAL_NOT_HERE &&
	       d->refusal != REFUSAL_TARGET_GONE;
}

static void see(struct ways_node *n, int64_t load)
{
	n->seen_load += n->seen_load > 0
				? SEEN_SMOOTH * ((double)load - n->seen_load)
				: (double)load;
}

/* Ask the admitting node of engine e, as the entry knows it. */
static enum verdict ask(struct ctx *x, struct chat *c, size_t e,
			const struct admit_ask *q, struct decision *d)
{
	size_t node = *admitter(x, c->node, e);

	*d = (struct decision){.verdict = VERDICT_REFUSE,
			       .refusal = REFUSAL_NOT_HERE,
			       .retry_at_ms = x->w->now_ms + 1000};
	if (!x->nodes[node].admit)
		return VERDICT_REFUSE;
	c->ask = *q;
	admit_ask(x->nodes[node].admit, q, x->w->now_ms, d);
	if (was_counted(d))
		see(&x->nodes[c->node], d->load);
	if (d->verdict == VERDICT_QUEUE) {
		c->mark = node * x->w->engine_count + e;
		g_hash_table_insert(x->waiting,
				    GSIZE_TO_POINTER(c - x->w->chats), c);
	}
	if (d->verdict == VERDICT_ADMIT && !begin(x, c, node, e, d->work))
		return VERDICT_REFUSE;
	return d->verdict;
}

static size_t engine_by_id(const struct view *v, uint64_t id)
{
	for (size_t i = 0; i < v->count; i++)
		if (v->targets[i].id == id)
			return v->targets[i].index;
	return NO_ENGINE;
}

/* What an entry does for a request, in order, until it is admitted. */
enum stage {
	STAGE_HOME, /* ask the first of the order; wait if it has the prefix */
	STAGE_OTHERS, /* ask the next ones */
	STAGE_FIT,    /* wait at the one with the least load */
	STAGE_AGAIN,  /* ask them all for the whole bound */
	STAGE_ANY,    /* have the one with the least load take any size */
};

/* What the entry was told by the targets that it asked. */
struct told {
	size_t best; /* engine with the least load */
	int64_t least;
	int64_t sum;
	int64_t count;
	int64_t retry_at_ms;
};

static void tell(struct told *t, size_t engine, const struct decision *d)
{
	t->retry_at_ms = d->retry_at_ms;
	if (!was_counted(d))
		return;
	t->sum += d->load;
	t->count++;
	if (t->best != NO_ENGINE && d->load >= t->least)
		return;
	t->least = d->load;
	t->best = engine;
}

/* Return: whether the request was admitted or waits. */
static bool ask_one(struct ctx *x, struct chat *c, size_t engine,
		    const struct admit_ask *q, struct told *t)
{
	struct decision d;

	if (ask(x, c, engine, q, &d) != VERDICT_REFUSE)
		return true;
	tell(t, engine, &d);
	return false;
}

static int64_t home_wait_ms(const struct chat *c, size_t e)
{
	if (e != c->hint || c->stage != STAGE_HOME)
		return 0;
	return MIN(choose_wait_ms(c->history, PREFILL_PER_S), WAIT_HOME_MS);
}

static bool ask_order(struct ctx *x, struct chat *c, struct told *t)
{
	struct world *w = x->w;
	struct view *v = &w->views[c->node];
	struct hint h = {.target = w->shape.hints && c->hint != NO_ENGINE
					   ? w->engines[c->hint].id
					   : 0};
	struct choose_input in = {.key = c->id,
				  .hint = &h,
				  .targets = v->targets,
				  .count = v->count};
	uint64_t order[CHOOSE_MAX];
	size_t most = c->stage == STAGE_AGAIN ? CHOOSE_MAX : TRIES;
	size_t n = MIN(choose_targets(&in, order), most);

	for (size_t i = c->stage == STAGE_OTHERS; i < n; i++) {
		size_t e = engine_by_id(v, order[i]);
		struct admit_ask q = ask_of(x, c, e, home_wait_ms(c, e));

		q.whole_bound = c->stage == STAGE_AGAIN;
		if (ask_one(x, c, e, &q, t))
			return true;
		if (c->stage == STAGE_HOME)
			c->stage = STAGE_OTHERS;
	}
	return false;
}

/* Those asked are a sample of the fleet: the best is under their mean. */
static bool ask_best(struct ctx *x, struct chat *c, struct told *t)
{
	bool any = c->stage == STAGE_ANY;
	struct admit_ask q;

	if (t->best == NO_ENGINE)
		return false;
	q = ask_of(x, c, t->best, any ? WAIT_LAST_MS : WAIT_FIT_MS);
	q.whole_bound = true;
	q.any_size = any;
	if (any)
		q.seen_load = MAX(q.seen_load, t->sum / t->count + 1);
	return ask_one(x, c, t->best, &q, t);
}

static void go_on(struct ctx *x, struct chat *c)
{
	struct told t = {.best = NO_ENGINE};

	if (c->stage <= STAGE_OTHERS) {
		if (ask_order(x, c, &t))
			return;
		c->stage = STAGE_FIT;
		if (ask_best(x, c, &t))
			return;
		c->stage = STAGE_AGAIN;
	}
	if (c->stage == STAGE_AGAIN) {
		t = (struct told){.best = NO_ENGINE};
		if (ask_order(x, c, &t))
			return;
		c->stage = STAGE_ANY;
		if (ask_best(x, c, &t))
			return;
	}
	world_refuse(x->w, c, MAX(t.retry_at_ms, x->w->now_ms + RETRY_MS));
}

static void route(void *ctx, struct chat *c)
{
	c->stage = STAGE_HOME;
	go_on(ctx, c);
}

/* Settle those who waited at the node. */
static void poll_node(struct ctx *x, size_t node)
{
	struct admit *a = x->nodes[node].admit;
	struct decision d;

	while (a && admit_poll(a, x->w->now_ms, &d)) {
		struct chat *c = chat_of(x, d.ticket);
		size_t e = c->mark % x->w->engine_count;

		g_hash_table_remove(x->waiting,
				    GSIZE_TO_POINTER(c - x->w->chats));
		if (d.verdict == VERDICT_ADMIT && begin(x, c, node, e, d.work))
			continue;
		c->stage++;
		go_on(x, c);
	}
}

static void ended(void *ctx, struct chat *c)
{
	struct ctx *x = ctx;
	size_t node = c->mark / x->w->engine_count;

	if (!x->nodes[node].admit)
		return;
	admit_done(x->nodes[node].admit, x->w->engines[c->engine].id,
		   c->organisation, c->mark_work, x->w->now_ms);
	if (g_hash_table_size(x->waiting))
		poll_node(x, node);
}

/* The first event of the answer tells what was reused. */
static void started(void *ctx, struct chat *c)
{
	struct ctx *x = ctx;
	size_t node = c->mark / x->w->engine_count;

	c->mark_work = admit_reused(x->nodes[node].admit, &c->ask, c->mark_work,
				    c->reused);
}

static void reported(void *ctx, size_t e)
{
	struct ctx *x = ctx;
	const struct report *r = &x->w->reports[e];
	struct load_report l = {x->w->engines[e].id, r->requests, 0, r->work,
				r->taken_ms};

	for (size_t i = 0; i < x->w->shape.nodes; i++)
		if (x->nodes[i].mine[e])
			admit_report(x->nodes[i].admit, &l, x->w->now_ms);
}

/*
 * In a small fleet each node tells its sums to all others; in a large one
 * only the decisions that entries got tell the mean.
 */
static void tell_sums(struct ctx *x)
{
	struct world *w = x->w;
	int64_t before = x->told_work;

	x->told_work = 0;
	for (size_t i = 0; i < w->shape.nodes; i++) {
		struct admit *a = x->nodes[i].admit;
		int64_t work;
		size_t targets;

		if (!a)
			continue;
		admit_sums(a, &work, &targets);
		if (w->shape.nodes <= DIRECT_MAX)
			x->told_work += work;
		admit_set_fleet(a, before, w->views[i].count);
	}
}

static void tick(void *ctx)
{
	struct ctx *x = ctx;

	if (x->w->now_ms % TELL_MS == 0)
		tell_sums(x);
	for (size_t i = 0; i < x->w->shape.nodes; i++)
		if (g_hash_table_size(x->waiting))
			poll_node(x, i);
}

const struct way way_admit = {
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
