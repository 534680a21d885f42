/*
 * Strategies (b) and (d), in which each node has a quota of each target's work.
 * (b): a share of the target's load bound, adjusted each second to the node's
 * recent demand. (d): credits that the target's admitting node issues, which
 * expire. As quotas of a few tokens would admit nothing, in (b) a node may
 * always have one request at a target, and in both a request that exceeds all
 * quotas starts at the best target regardless.
 */
#include "bench/bench-route.h"

#define LOAD_FACTOR        1.25
#define LOAD_BOUND_MIN     32768.0 /* min_bound of admit_limits_default */
#define JOIN_RESERVE       0.04    /* empty targets that may join / all */
#define ATTEMPTS_MAX       4
#define UPDATE_INTERVAL_MS 1000
#define DEMAND_DECAY       0.8  /* weight of past demand, at each update */
#define EVEN_FRACTION      0.2  /* of the bound, divided evenly */
#define CREDIT_MIN_TOKENS  2000 /* requested at once */
#define CREDIT_TTL_MS      2000

/* One node's quota of one target, in tokens. */
struct quota {
	double demand;       /* (b): recent work, exponentially decayed */
	double share;        /* (b): work that may be in progress */
	int64_t in_progress; /* work */
	int64_t unspent;     /* (d): credit not yet spent */
	int64_t expires_ms;  /* (d): when unspent credit expires */
};

struct quota_ctx {
	struct route_sim *sim;
	struct quota *quotas; /* by node and engine */
	int64_t *issued;      /* (d): credit by engine, spent and unspent */
	int64_t last_issued;  /* (d): sum of issued at the last update */
};

static void *create(struct route_sim *sim)
{
	struct quota_ctx *q = g_new0(struct quota_ctx, 1);

	q->sim = sim;
	q->quotas =
		g_new0(struct quota, sim->scenario.nodes * sim->engine_count);
	q->issued = g_new0(int64_t, sim->engine_count);
	return q;
}

static void destroy(void *ctx)
{
	struct quota_ctx *q = ctx;

	g_free(q->quotas);
	g_free(q->issued);
	g_free(q);
}

static struct quota *quota_of(struct quota_ctx *q, size_t node, size_t engine)
{
	return &q->quotas[node * q->sim->engine_count + engine];
}

/* Store the engines to try, in order, in out; return how many to try. */
static size_t choose_engines(struct quota_ctx *q, const struct chat *c,
			     size_t *out)
{
	struct route_sim *sim = q->sim;
	struct view *v = &sim->views[c->node];
	struct hint h = {.target = c->hint != ENGINE_NONE
					   ? sim->engines[c->hint].id
					   : 0};
	struct choose_input in = {.key = c->id,
				  .hint = &h,
				  .targets = v->targets,
				  .count = v->count};
	uint64_t ids[CHOOSE_MAX];
	size_t count = choose_targets(&in, ids);

	for (size_t i = 0; i < count; i++)
		for (size_t k = 0; k < v->count; k++)
			if (v->targets[k].id == ids[i])
				out[i] = v->targets[k].index;
	return MIN(count, ATTEMPTS_MAX);
}

/* Return the work a node expects: the hinted engine has all history cached. */
static int64_t expected_work(const struct chat *c, size_t engine)
{
	return chat_work(c, engine == c->hint ? c->history : 0);
}

static bool start_charged(struct quota_ctx *q, struct chat *c, size_t engine,
			  int64_t work)
{
	struct quota *quota = quota_of(q, c->node, engine);

	c->charge_slot = c->node;
	c->charged_work = work;
	if (!launch(q->sim, c, engine))
		return false;
	quota->in_progress += work;
	quota->demand += (double)work;
	return true;
}

/* Return the part of a share that is used with another request added. */
static double utilisation(const struct quota *quota, int64_t work)
{
	return (double)(quota->in_progress + work) / MAX(quota->share, 1);
}

static void route_shares(void *ctx, struct chat *c)
{
	struct quota_ctx *q = ctx;
	size_t order[CHOOSE_MAX] = {0};
	size_t count = choose_engines(q, c, order);
	size_t best = order[0];

	for (size_t i = 0; i < count; i++) {
		struct quota *quota = quota_of(q, c->node, order[i]);
		int64_t work = expected_work(c, order[i]);

		if ((quota->in_progress == 0 ||
		     utilisation(quota, work) <= 1) &&
		    start_charged(q, c, order[i], work))
			return;
		if (utilisation(quota, work) <
		    utilisation(quota_of(q, c->node, best),
				expected_work(c, best)))
			best = order[i];
	}
	if (!start_charged(q, c, best, expected_work(c, best)))
		route_sim_refuse_request(q->sim, c, q->sim->now_ms + 500);
}

static void ended_shares(void *ctx, struct chat *c)
{
	quota_of(ctx, c->charge_slot, c->engine)->in_progress -=
		c->charged_work;
}

/* The first event of the answer gives the actual work; correct the charge. */
static void started(void *ctx, struct chat *c)
{
	struct quota_ctx *q = ctx;

	q->issued[c->engine] += c->work - c->charged_work;
	quota_of(q, c->charge_slot, c->engine)->in_progress +=
		c->work - c->charged_work;
	c->charged_work = c->work;
}

/* Divide an engine's bound among the nodes, mostly by demand. */
static void divide_bound(struct quota_ctx *q, size_t e, double bound)
{
	size_t count = q->sim->scenario.nodes;
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += quota_of(q, i, e)->demand;
	for (size_t i = 0; i < count; i++) {
		struct quota *quota = quota_of(q, i, e);
		double even = bound * EVEN_FRACTION / (double)count;

		quota->share = sum > 0 ? even + bound * (1 - EVEN_FRACTION) *
							 quota->demand / sum
				       : bound / (double)count;
		quota->demand *= DEMAND_DECAY;
	}
}

static void tick_shares(void *ctx)
{
	struct quota_ctx *q = ctx;
	size_t count = q->sim->views[0].count;
	double bound = LOAD_FACTOR * (double)route_sim_reported_work(q->sim) /
		       ((double)count + MAX(JOIN_RESERVE * (double)count, 1));

	if (q->sim->now_ms % UPDATE_INTERVAL_MS)
		return;
	for (size_t e = 0; e < q->sim->engine_count; e++)
		divide_bound(q, e, bound);
}

/*
 * Start a request on credit, of which more is issued if necessary. Return false
 * if that would exceed the engine's bound, or if the engine is down.
 */
static bool spend_credit(struct quota_ctx *q, struct chat *c, size_t e,
			 double bound)
{
	struct quota *quota = quota_of(q, c->node, e);
	int64_t work = expected_work(c, e);
	int64_t extra = MAX(work - quota->unspent, CREDIT_MIN_TOKENS);

	if (quota->unspent < work) {
		if ((double)(q->issued[e] + extra) > bound)
			return false;
		q->issued[e] += extra;
		quota->unspent += extra;
		quota->expires_ms = q->sim->now_ms + CREDIT_TTL_MS;
	}
	if (!start_charged(q, c, e, work))
		return false;
	quota->unspent -= work;
	return true;
}

static void route_credits(void *ctx, struct chat *c)
{
	struct quota_ctx *q = ctx;
	size_t count = q->sim->views[c->node].count;
	double bound = LOAD_FACTOR * (double)q->last_issued /
		       ((double)count + MAX(JOIN_RESERVE * (double)count, 1));
	size_t order[CHOOSE_MAX] = {0};
	size_t k = choose_engines(q, c, order);
	size_t best = order[0];

	for (size_t i = 0; i < k; i++) {
		if (spend_credit(q, c, order[i], MAX(bound, LOAD_BOUND_MIN)))
			return;
		if (q->issued[order[i]] < q->issued[best])
			best = order[i];
	}
	if (!spend_credit(q, c, best, 1e18))
		route_sim_refuse_request(q->sim, c, q->sim->now_ms + 500);
}

static void ended_credits(void *ctx, struct chat *c)
{
	struct quota_ctx *q = ctx;

	quota_of(q, c->charge_slot, c->engine)->in_progress -= c->charged_work;
	q->issued[c->engine] -= c->charged_work;
}

static void tick_credits(void *ctx)
{
	struct quota_ctx *q = ctx;

	for (size_t e = 0; e < q->sim->engine_count; e++) {
		for (size_t i = 0; i < q->sim->scenario.nodes; i++) {
			struct quota *quota = quota_of(q, i, e);

			if (!quota->unspent ||
			    quota->expires_ms > q->sim->now_ms)
				continue;
			q->issued[e] -= quota->unspent;
			quota->unspent = 0;
		}
	}
	if (q->sim->now_ms % UPDATE_INTERVAL_MS)
		return;
	q->last_issued = 0;
	for (size_t e = 0; e < q->sim->engine_count; e++)
		q->last_issued += q->issued[e];
}

const struct strategy strategy_shares = {"shares",
					 create,
					 destroy,
					 .route = route_shares,
					 .ended = ended_shares,
					 .started = started,
					 .tick = tick_shares};
const struct strategy strategy_credits = {"credits",
					  create,
					  destroy,
					  .route = route_credits,
					  .ended = ended_credits,
					  .started = started,
					  .tick = tick_credits};
