/* Way (a): each node alone, by two choices among lagged reports. */
#include <string.h>

#include "bench/bench-route.h"

#define LOAD_FACTOR 1.25
#define TRIES       3

struct local {
	struct world *w;
	int64_t *sent; /* by node and engine, since the last report */
	struct p2c_load *loads;
};

static void *create(struct world *w)
{
	struct local *l = g_new0(struct local, 1);

	l->w = w;
	l->sent = g_new0(int64_t, w->shape.nodes * w->engine_count);
	l->loads = g_new0(struct p2c_load, w->engine_count);
	return l;
}

static void destroy(void *ctx)
{
	struct local *l = ctx;

	g_free(l->sent);
	g_free(l->loads);
	g_free(l);
}

static int64_t *sent(struct local *l, size_t node, size_t engine)
{
	return &l->sent[node * l->w->engine_count + engine];
}

static void reported(void *ctx, size_t engine)
{
	struct local *l = ctx;

	for (size_t i = 0; i < l->w->shape.nodes; i++)
		*sent(l, i, engine) = 0;
}

static void route(void *ctx, struct chat *c)
{
	struct local *l = ctx;
	struct world *w = l->w;
	const struct view *v = &w->views[c->node];
	double mean = (double)world_reported_work(w) / (double)v->count;
	size_t home = SIZE_MAX;

	for (size_t i = 0; i < v->count; i++) {
		size_t e = v->targets[i].index;

		l->loads[i] = (struct p2c_load){e, w->reports[e].work,
						*sent(l, c->node, e)};
		if (w->shape.hints && e == c->hint)
			home = i;
	}
	for (int t = 0; t < TRIES; t++) {
		size_t i = p2c_choose(l->loads, v->count, home,
				      (int64_t)(LOAD_FACTOR * mean),
				      world_random(w));
		size_t e = l->loads[i].target;

		if (world_start(w, c, e)) {
			*sent(l, c->node, e) += c->work;
			return;
		}
		home = SIZE_MAX;
	}
	world_refuse(w, c, w->now_ms + 1000);
}

const struct way way_p2c = {"p2c", create, destroy, .route = route,
			    .reported = reported};
