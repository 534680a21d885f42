/* The yardstick and the naive ways: no bound, no queue, no refusal. */
#include "bench/bench-route.h"

struct naive {
	struct world *w;
	size_t *turn; /* of each node, for round robin */
};

static void *create(struct world *w)
{
	struct naive *n = g_new0(struct naive, 1);

	n->w = w;
	n->turn = g_new0(size_t, w->shape.nodes);
	for (size_t i = 0; i < w->shape.nodes; i++)
		n->turn[i] = i;
	return n;
}

static void destroy(void *ctx)
{
	struct naive *n = ctx;

	g_free(n->turn);
	g_free(n);
}

/* Try the engine, then others at random: the node may not know of a loss. */
static void start_or_random(struct world *w, struct chat *c, size_t engine)
{
	const struct view *v = &w->views[c->node];

	while (!world_start(w, c, engine))
		engine = v->targets[g_rand_int_range(w->rand, 0,
						     (gint32)v->count)]
				 .index;
}

static void route_random_engine(void *ctx, struct chat *c)
{
	struct world *w = ((struct naive *)ctx)->w;
	const struct view *v = &w->views[c->node];
	int i = g_rand_int_range(w->rand, 0, (gint32)v->count);

	start_or_random(w, c, v->targets[i].index);
}

static void route_hash(void *ctx, struct chat *c)
{
	struct world *w = ((struct naive *)ctx)->w;
	const struct view *v = &w->views[c->node];

	start_or_random(w, c, v->targets[c->id % v->count].index);
}

static void route_round_robin(void *ctx, struct chat *c)
{
	struct naive *n = ctx;
	const struct view *v = &n->w->views[c->node];

	start_or_random(n->w, c,
			v->targets[n->turn[c->node]++ % v->count].index);
}

static void route_least_reported(void *ctx, struct chat *c)
{
	struct world *w = ((struct naive *)ctx)->w;
	const struct view *v = &w->views[c->node];
	size_t best = v->targets[0].index;

	for (size_t i = 1; i < v->count; i++) {
		size_t e = v->targets[i].index;

		if (w->reports[e].work < w->reports[best].work)
			best = e;
	}
	start_or_random(w, c, best);
}

/* Sees everything, keeps no bound: the most of a prefix, else least work. */
static void route_oracle(void *ctx, struct chat *c)
{
	struct world *w = ((struct naive *)ctx)->w;
	size_t best = NO_ENGINE;
	int64_t most = -1;

	for (size_t e = 0; e < w->engine_count; e++) {
		int64_t cached;

		if (!w->engines[e].alive)
			continue;
		cached = c->history ? world_cached(w, c, e) : 0;
		if (cached > most ||
		    (cached == most &&
		     w->engines[e].work < w->engines[best].work)) {
			most = cached;
			best = e;
		}
	}
	world_start(w, c, best);
}

const struct way way_oracle = {"oracle", create, destroy,
			       .route = route_oracle};
const struct way way_random = {"random", create, destroy,
			       .route = route_random_engine};
const struct way way_hash = {"hash", create, destroy, .route = route_hash};
const struct way way_round_robin = {"round_robin", create, destroy,
				    .route = route_round_robin};
const struct way way_least_reported = {"least_reported", create, destroy,
				       .route = route_least_reported};
