/* Losses and joins of engines and nodes, and when each node learns of them. */
#include "bench/bench-route.h"

static void apply_to_fleet(struct route_sim *sim,
			   const struct churn_event *event)
{
	if (event->node) {
		sim->node_alive[event->index] = event->up;
		if (!event->up && sim->strategy->node_lost)
			sim->strategy->node_lost(sim->ctx, event->index);
	} else if (event->up) {
		sim->engines[event->index].alive = true;
	} else {
		route_sim_lose_engine(sim, event->index);
	}
}

void view_rebuild(struct route_sim *sim, struct view *v)
{
	v->count = 0;
	for (size_t engine = 0; engine < sim->engine_count; engine++)
		if (v->engines[engine])
			v->targets[v->count++] = (struct rendezvous_candidate){
				.id = sim->engines[engine].id, .index = engine};
}

static void update_view(struct route_sim *sim, size_t node,
			const struct churn_event *event)
{
	struct view *v = &sim->views[node];

	if (event->node)
		v->nodes[event->index] = event->up;
	else
		v->engines[event->index] = event->up;
	view_rebuild(sim, v);
	if (sim->strategy->view_changed)
		sim->strategy->view_changed(sim->ctx, node, event);
}

static void apply_if_due(struct route_sim *sim, struct churn_event *event)
{
	if (sim->now_ms < event->at_ms)
		return;
	if (!event->done) {
		event->done = true;
		apply_to_fleet(sim, event);
	}
	if (sim->now_ms > event->at_ms + VIEW_LAG_MAX_MS + TICK_MS)
		return;
	for (size_t i = 0; i < sim->scenario.nodes; i++) {
		if (!event->learn_ms[i] || sim->now_ms < event->learn_ms[i])
			continue;
		event->learn_ms[i] = 0;
		update_view(sim, i, event);
	}
}

static void schedule(struct route_sim *sim, int64_t at_ms, bool node,
		     size_t index, bool up)
{
	struct churn_event event = {
		.at_ms = at_ms, .index = index, .node = node, .up = up};

	event.learn_ms = g_new(int64_t, sim->scenario.nodes);
	for (size_t i = 0; i < sim->scenario.nodes; i++)
		event.learn_ms[i] =
			at_ms + 1 +
			g_rand_int_range(sim->rand, 0, VIEW_LAG_MAX_MS);
	g_array_append_val(sim->churn_events, event);
}

/*
 * In turn, every churn_ms: a rack (at least one engine) is lost and returns
 * after 6 s with an empty cache; one engine flaps; a new engine joins. Each
 * time, one node is lost and returns 8 s later.
 */
void churn_plan(struct route_sim *sim)
{
	size_t engines = sim->scenario.engines;
	size_t rack = MAX(engines / 25, 1);
	int64_t end_ms = sim->scenario.warm_ms + sim->scenario.run_ms;
	size_t next_joining = engines;
	int round = 0;

	for (int64_t at_ms = sim->scenario.warm_ms; at_ms < end_ms;
	     at_ms += sim->scenario.churn_ms) {
		size_t engine =
			(size_t)g_rand_int_range(sim->rand, 0, (int)engines);
		size_t node = (size_t)g_rand_int_range(
			sim->rand, 0, (int)sim->scenario.nodes);

		for (size_t k = 0; round % 3 == 0 && k < rack; k++) {
			schedule(sim, at_ms, false, (engine + k) % engines,
				 false);
			schedule(sim, at_ms + 6000, false,
				 (engine + k) % engines, true);
		}
		if (round % 3 == 1) {
			schedule(sim, at_ms, false, engine, false);
			schedule(sim, at_ms + 2000, false, engine, true);
			schedule(sim, at_ms + 4000, false, engine, false);
			schedule(sim, at_ms + 6000, false, engine, true);
		}
		if (round % 3 == 2 && next_joining < sim->engine_count)
			schedule(sim, at_ms, false, next_joining++, true);
		schedule(sim, at_ms + 1000, true, node, false);
		schedule(sim, at_ms + 9000, true, node, true);
		round++;
	}
}

void churn_tick(struct route_sim *sim)
{
	for (guint i = 0; i < sim->churn_events->len; i++)
		apply_if_due(sim, &g_array_index(sim->churn_events,
						 struct churn_event, i));
}
