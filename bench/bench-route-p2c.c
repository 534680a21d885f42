/*
 * Strategy (a): each node decides by itself, by power of two choices among
 * delayed load reports plus the work that it sent itself since.
 */
#include <string.h>

#include "bench/bench-route.h"

#define LOAD_FACTOR  1.25
#define ATTEMPTS_MAX 3

struct p2c_ctx {
	struct route_sim *sim;
	int64_t *sent_work; /* by node and engine, since its last report */
	struct p2c_load *loads;
};

static void *create(struct route_sim *sim)
{
	struct p2c_ctx *p2c = g_new0(struct p2c_ctx, 1);

	p2c->sim = sim;
	p2c->sent_work =
		g_new0(int64_t, sim->scenario.nodes * sim->engine_count);
	p2c->loads = g_new0(struct p2c_load, sim->engine_count);
	return p2c;
}

static void destroy(void *ctx)
{
	struct p2c_ctx *p2c = ctx;

	g_free(p2c->sent_work);
	g_free(p2c->loads);
	g_free(p2c);
}

static int64_t *sent_work(struct p2c_ctx *p2c, size_t node, size_t engine)
{
	return &p2c->sent_work[node * p2c->sim->engine_count + engine];
}

static void reported(void *ctx, size_t engine)
{
	struct p2c_ctx *p2c = ctx;

	for (size_t i = 0; i < p2c->sim->scenario.nodes; i++)
		*sent_work(p2c, i, engine) = 0;
}

static void route(void *ctx, struct chat *c)
{
	struct p2c_ctx *p2c = ctx;
	struct route_sim *sim = p2c->sim;
	const struct view *v = &sim->views[c->node];
	double mean = (double)route_sim_reported_work(sim) / (double)v->count;
	size_t hint_index = SIZE_MAX;

	for (size_t i = 0; i < v->count; i++) {
		size_t e = v->targets[i].index;

		p2c->loads[i] = (struct p2c_load){e, sim->reports[e].work,
						  *sent_work(p2c, c->node, e)};
		if (sim->scenario.hints && e == c->hint)
			hint_index = i;
	}
	for (int attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
		size_t i = p2c_choose(p2c->loads, v->count, hint_index,
				      (int64_t)(LOAD_FACTOR * mean),
				      route_sim_random(sim));
		size_t e = p2c->loads[i].target;

		if (launch(sim, c, e)) {
			*sent_work(p2c, c->node, e) += c->work;
			return;
		}
		hint_index = SIZE_MAX;
	}
	route_sim_refuse_request(sim, c, sim->now_ms + 1000);
}

const struct strategy strategy_p2c = {"p2c", create, destroy, .route = route,
				      .reported = reported};
