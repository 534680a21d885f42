/*
 * Ways (b) and (d). (b): each node has a share of each target's allowance,
 * moved each second towards where the demand was. (d): a target's admitting
 * node gives nodes credits that end at a deadline. In both a node may always
 * have one request at a target, as shares of a few tokens admit nothing.
 */
#include "bench/bench-route.h"

#define LOAD_FACTOR 1.25
#define FLOOR_WORK  32768.0 /* as in admit_limits_default */
#define TRIES       4
#define SHARE_MS    1000
#define DEMAND_KEPT 0.8  /* of the smoothed demand, each SHARE_MS */
#define EVEN_PART   0.2  /* of the allowance, divided evenly */
#define CREDIT      2000 /* tokens asked for at once */
#define CREDIT_MS   2000

/* One node's part of one target. */
struct part {
	double demand;
	double share;  /* (b) */
	int64_t used;  /* work in progress */
	int64_t spare; /* (d): credit not yet spent */
	int64_t until_ms;
};

struct parts {
	struct world *w;
	struct part *parts;
	int64_t *issued; /* (d): by engine, spent and spare */
	int64_t told;    /* (d): sum of issued as told one second ago */
};

static void *create(struct world *w)
{
	struct parts *x = g_new0(struct parts, 1);

	x->w = w;
	x->parts = g_new0(struct part, w->shape.nodes * w->engine_count);
	x->issued = g_new0(int64_t, w->engine_count);
	return x;
}

static void destroy(void *ctx)
{
	struct parts *x = ctx;

	g_free(x->parts);
	g_free(x->issued);
	g_free(x);
}

static struct part *part_of(struct parts *x, size_t node, size_t engine)
{
	return &x->parts[node * x->w->engine_count + engine];
}

static size_t targets(struct parts *x, const struct chat *c, size_t *out)
{
	struct world *w = x->w;
	struct view *v = &w->views[c->node];
	struct hint h = {.target = c->hint != NO_ENGINE ? w->engines[c->hint].id
							: 0};
	struct choose_input in = {.key = c->id,
				  .hint = &h,
				  .targets = v->targets,
				  .count = v->count};
	uint64_t ids[CHOOSE_MAX];
	size_t n = choose_targets(&in, ids);

	for (size_t i = 0; i < n; i++)
		for (size_t k = 0; k < v->count; k++)
			if (v->targets[k].id == ids[i])
				out[i] = v->targets[k].index;
	return MIN(n, TRIES);
}

/* Work as the node expects it: all is reused where the hint points. */
static int64_t expected(const struct chat *c, size_t engine)
{
	return chat_work(c, engine == c->hint ? c->history : 0);
}

static bool start(struct parts *x, struct chat *c, size_t engine, int64_t work)
{
	struct part *p = part_of(x, c->node, engine);

	c->mark = c->node;
	c->mark_work = work;
	if (!world_start(x->w, c, engine))
		return false;
	p->used += work;
	p->demand += (double)work;
	return true;
}

static double full(const struct part *p, int64_t work)
{
	return (double)(p->used + work) / MAX(p->share, 1);
}

static void route_shares(void *ctx, struct chat *c)
{
	struct parts *x = ctx;
	size_t order[CHOOSE_MAX] = {0};
	size_t n = targets(x, c, order);
	size_t best = order[0];

	for (size_t i = 0; i < n; i++) {
		struct part *p = part_of(x, c->node, order[i]);
		int64_t work = expected(c, order[i]);

		if ((p->used == 0 || full(p, work) <= 1) &&
		    start(x, c, order[i], work))
			return;
		if (full(p, work) <
		    full(part_of(x, c->node, best), expected(c, best)))
			best = order[i];
	}
	if (!start(x, c, best, expected(c, best)))
		world_refuse(x->w, c, x->w->now_ms + 500);
}

static void ended_shares(void *ctx, struct chat *c)
{
	part_of(ctx, c->mark, c->engine)->used -= c->mark_work;
}

/* The first event of the answer tells what was reused. */
static void started(void *ctx, struct chat *c)
{
	struct parts *x = ctx;

	x->issued[c->engine] += c->work - c->mark_work;
	part_of(x, c->mark, c->engine)->used += c->work - c->mark_work;
	c->mark_work = c->work;
}

static void share_out(struct parts *x, size_t e, double bound)
{
	size_t n = x->w->shape.nodes;
	double sum = 0;

	for (size_t i = 0; i < n; i++)
		sum += part_of(x, i, e)->demand;
	for (size_t i = 0; i < n; i++) {
		struct part *p = part_of(x, i, e);
		double even = bound * EVEN_PART / (double)n;

		p->share = sum > 0 ? even + bound * (1 - EVEN_PART) *
						     p->demand / sum
				   : bound / (double)n;
		p->demand *= DEMAND_KEPT;
	}
}

static void tick_shares(void *ctx)
{
	struct parts *x = ctx;
	size_t n = x->w->views[0].count;
	double bound = LOAD_FACTOR * (double)world_reported_work(x->w) /
		       ((double)n + MAX(0.04 * (double)n, 1));

	if (x->w->now_ms % SHARE_MS)
		return;
	for (size_t e = 0; e < x->w->engine_count; e++)
		share_out(x, e, bound);
}

static bool spend(struct parts *x, struct chat *c, size_t e, double bound)
{
	struct part *p = part_of(x, c->node, e);
	int64_t work = expected(c, e);
	int64_t more = MAX(work - p->spare, CREDIT);

	if (p->spare < work) {
		if ((double)(x->issued[e] + more) > bound)
			return false;
		x->issued[e] += more;
		p->spare += more;
		p->until_ms = x->w->now_ms + CREDIT_MS;
	}
	if (!start(x, c, e, work))
		return false;
	p->spare -= work;
	return true;
}

static void route_credits(void *ctx, struct chat *c)
{
	struct parts *x = ctx;
	size_t n = x->w->views[c->node].count;
	double bound = LOAD_FACTOR * (double)x->told /
		       ((double)n + MAX(0.04 * (double)n, 1));
	size_t order[CHOOSE_MAX] = {0};
	size_t k = targets(x, c, order);
	size_t best = order[0];

	for (size_t i = 0; i < k; i++) {
		if (spend(x, c, order[i], MAX(bound, FLOOR_WORK)))
			return;
		if (x->issued[order[i]] < x->issued[best])
			best = order[i];
	}
	if (!spend(x, c, best, 1e18))
		world_refuse(x->w, c, x->w->now_ms + 500);
}

static void ended_credits(void *ctx, struct chat *c)
{
	struct parts *x = ctx;

	part_of(x, c->mark, c->engine)->used -= c->mark_work;
	x->issued[c->engine] -= c->mark_work;
}

static void tick_credits(void *ctx)
{
	struct parts *x = ctx;

	for (size_t e = 0; e < x->w->engine_count; e++) {
		for (size_t i = 0; i < x->w->shape.nodes; i++) {
			struct part *p = part_of(x, i, e);

			if (!p->spare || p->until_ms > x->w->now_ms)
				continue;
			x->issued[e] -= p->spare;
			p->spare = 0;
		}
	}
	if (x->w->now_ms % SHARE_MS)
		return;
	x->told = 0;
	for (size_t e = 0; e < x->w->engine_count; e++)
		x->told += x->issued[e];
}

const struct way way_shares = {"shares",
			       create,
			       destroy,
			       .route = route_shares,
			       .ended = ended_shares,
			       .started = started,
			       .tick = tick_shares};
const struct way way_credits = {"credits",
				create,
				destroy,
				.route = route_credits,
				.ended = ended_credits,
				.started = started,
				.tick = tick_credits};
