/* The oracle and simple baselines: no load bound, no queue, no refusal. */
#include "bench/bench-route.h"

struct baseline {
	struct route_sim *sim;
	size_t *next_index; /* by node, for round robin */
};

static void *create(struct route_sim *sim)
{
	struct baseline *b = g_new0(struct baseline, 1);

	b->sim = sim;
	b->next_index = g_new0(size_t, sim->scenario.nodes);
	for (size_t i = 0; i < sim->scenario.nodes; i++)
		b->next_index[i] = i;
	return b;
}

static void destroy(void *ctx)
{
	struct baseline *b = ctx;

	g_free(b->next_index);
	g_free(b);
}

/*
 * Start at the engine, or at a random other one if it is down, which the node
 * may not know yet.
 */
static void start_or_retry_random(struct route_sim *sim, struct chat *c,
				  size_t engine)
{
	const struct view *v = &sim->views[c->node];

	while (!launch(sim, c, engine))
		engine = v->targets[g_rand_int_range(sim->rand, 0,
						     (gint32)v->count)]
				 .index;
}

static void route_random_engine(void *ctx, struct chat *c)
{
	struct route_sim *sim = ((struct baseline *)ctx)->sim;
	const struct view *v = &sim->views[c->node];
	int i = g_rand_int_range(sim->rand, 0, (gint32)v->count);

	start_or_retry_random(sim, c, v->targets[i].index);
}

static void route_hash(void *ctx, struct chat *c)
{
	struct route_sim *sim = ((struct baseline *)ctx)->sim;
	const struct view *v = &sim->views[c->node];

	start_or_retry_random(sim, c, v->targets[c->id % v->count].index);
}

static void route_round_robin(void *ctx, struct chat *c)
{
	struct baseline *b = ctx;
	const struct view *v = &b->sim->views[c->node];

	start_or_retry_random(
		b->sim, c,
		v->targets[b->next_index[c->node]++ % v->count].index);
}

static void route_least_reported(void *ctx, struct chat *c)
{
	struct route_sim *sim = ((struct baseline *)ctx)->sim;
	const struct view *v = &sim->views[c->node];
	size_t best = v->targets[0].index;

	for (size_t i = 1; i < v->count; i++) {
		size_t e = v->targets[i].index;

		if (sim->reports[e].work < sim->reports[best].work)
			best = e;
	}
	start_or_retry_random(sim, c, best);
}

/* Knows all caches and loads: choose the longest prefix, then least work. */
static void route_oracle(void *ctx, struct chat *c)
{
	struct route_sim *sim = ((struct baseline *)ctx)->sim;
	size_t best = ENGINE_NONE;
	int64_t most_cached = -1;

	for (size_t e = 0; e < sim->engine_count; e++) {
		int64_t cached;

		if (!sim->engines[e].alive)
			continue;
		cached = c->history ? route_sim_cached_tokens(sim, c, e) : 0;
		if (cached > most_cached ||
		    (cached == most_cached &&
		     sim->engines[e].work < sim->engines[best].work)) {
			most_cached = cached;
			best = e;
		}
	}
	launch(sim, c, best);
}

const struct strategy strategy_oracle = {"oracle", create, destroy,
					 .route = route_oracle};
const struct strategy strategy_random = {"random", create, destroy,
					 .route = route_random_engine};
const struct strategy strategy_hash = {"hash", create, destroy,
				       .route = route_hash};
const struct strategy strategy_round_robin = {"round_robin", create, destroy,
					      .route = route_round_robin};
const struct strategy strategy_least_reported = {
	"least_reported", create, destroy, .route = route_least_reported};
