/* Engines and nodes that come and go, and when each node learns of it. */
#include "bench/bench-route.h"

static void make_change(struct world *w, const struct change *c)
{
	if (c->node) {
		w->node_alive[c->number] = c->up;
		if (!c->up && w->way->node_lost)
			w->way->node_lost(w->ctx, c->number);
	} else if (c->up) {
		w->engines[c->number].alive = true;
	} else {
		world_lose_engine(w, c->number);
	}
}

void view_rebuild(struct world *w, struct view *v)
{
	v->count = 0;
	for (size_t e = 0; e < w->engine_count; e++)
		if (v->engines[e])
			v->targets[v->count++] = (struct route_rank){
				.id = w->engines[e].id, .index = e};
}

static void learn(struct world *w, size_t node, const struct change *c)
{
	struct view *v = &w->views[node];

	if (c->node)
		v->nodes[c->number] = c->up;
	else
		v->engines[c->number] = c->up;
	view_rebuild(w, v);
	if (w->way->view_changed)
		w->way->view_changed(w->ctx, node, c);
}

static void apply_change(struct world *w, struct change *c)
{
	if (w->now_ms < c->at_ms)
		return;
	if (!c->done) {
		c->done = true;
		make_change(w, c);
	}
	if (w->now_ms > c->at_ms + DISAGREE_MS + TICK_MS)
		return;
	for (size_t i = 0; i < w->shape.nodes; i++) {
		if (!c->known_ms[i] || w->now_ms < c->known_ms[i])
			continue;
		c->known_ms[i] = 0;
		learn(w, i, c);
	}
}

static void plan(struct world *w, int64_t at_ms, bool node, size_t number,
		 bool up)
{
	struct change c = {
		.at_ms = at_ms, .number = number, .node = node, .up = up};

	c.known_ms = g_new(int64_t, w->shape.nodes);
	for (size_t i = 0; i < w->shape.nodes; i++)
		c.known_ms[i] =
			at_ms + 1 + g_rand_int_range(w->rand, 0, DISAGREE_MS);
	g_array_append_val(w->changes, c);
}

/*
 * In turn, each churn_ms: a rack (or one engine) is lost and comes back
 * empty after 6 s; one engine flaps; a new one joins; nodes are replaced.
 */
void churn_plan(struct world *w)
{
	size_t engines = w->shape.engines;
	size_t rack = MAX(engines / 25, 1);
	int64_t end = w->shape.warm_ms + w->shape.run_ms;
	size_t joined = engines;
	int kind = 0;

	for (int64_t at = w->shape.warm_ms; at < end; at += w->shape.churn_ms) {
		size_t e = (size_t)g_rand_int_range(w->rand, 0, (int)engines);
		size_t n = (size_t)g_rand_int_range(w->rand, 0,
						    (int)w->shape.nodes);

		for (size_t k = 0; kind % 3 == 0 && k < rack; k++) {
			plan(w, at, false, (e + k) % engines, false);
			plan(w, at + 6000, false, (e + k) % engines, true);
		}
		if (kind % 3 == 1) {
			plan(w, at, false, e, false);
			plan(w, at + 2000, false, e, true);
			plan(w, at + 4000, false, e, false);
			plan(w, at + 6000, false, e, true);
		}
		if (kind % 3 == 2 && joined < w->engine_count)
			plan(w, at, false, joined++, true);
		plan(w, at + 1000, true, n, false);
		plan(w, at + 9000, true, n, true);
		kind++;
	}
}

void churn_tick(struct world *w)
{
	for (guint i = 0; i < w->changes->len; i++)
		apply_change(w, &g_array_index(w->changes, struct change, i));
}
