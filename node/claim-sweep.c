/*
 * Control module: removes expired claims from the table, on the node that owns
 * this task.
 */
#include "state/sweep.h"
#include "node/node.h"

#define CHECK_INTERVAL_MS 1000

struct sweeper {
	struct node *node;
	struct sweep *sweep;
	int64_t next_check_ms;
};

static int64_t wall_now_ms(void *ctx)
{
	(void)ctx;
	return time_now_ms();
}

static void *start(struct control_env *env)
{
	struct sweeper *s = g_new0(struct sweeper, 1);

	s->node = env->node;
	s->sweep = sweep_new(&env->plat, wall_now_ms, NULL);
	return s;
}

static void tick(void *ctx, int64_t now_ms)
{
	struct sweeper *s = ctx;
	struct fleet *f;

	if (now_ms < s->next_check_ms)
		return;
	s->next_check_ms = now_ms + CHECK_INTERVAL_MS;
	f = node_fleet(s->node);
	if (f && fleet_owns_key(f, s->node->set.node_name, "claims"))
		sweep_tick(s->sweep, now_ms);
	fleet_unref(f);
}

static void stop(void *ctx)
{
	struct sweeper *s = ctx;

	sweep_free(s->sweep);
	g_free(s);
}

const struct control_module sweep_module = {
	.start = start,
	.tick = tick,
	.stop = stop,
};
