/* Control module: polls the platform's instance list. */
#include "node/node.h"

struct lister {
	struct control_env *env;
	int64_t next_read_ms; /* monotonic */
};

/* A call in progress; calls overlap when one takes longer than the interval. */
struct list_call {
	struct lister *lister;
	int64_t sent_ms; /* monotonic */
};

static void on_list(const struct plat_result *r, void *arg)
{
	struct list_call *c = arg;
	const json_t *list = json_object_get(r->json, "instances");

	if (r->status == PLAT_OK && json_is_array(list))
		node_set_listed_fleet(c->lister->env->node,
				      fleet_from_instances(list), c->sent_ms);
	g_free(c);
}

static void *start(struct control_env *env)
{
	struct lister *l = g_new0(struct lister, 1);

	l->env = env;
	return l;
}

static void tick(void *ctx, int64_t now_ms)
{
	struct lister *l = ctx;
	struct platform *p = &l->env->plat;
	struct list_call *c;

	if (now_ms < l->next_read_ms)
		return;
	l->next_read_ms = now_ms + l->env->node->set.platform_poll_ms;
	c = g_new(struct list_call, 1);
	*c = (struct list_call){l, now_ms};
	p->instances(p->ctx, on_list, c);
}

const struct control_module list_module = {
	.start = start,
	.tick = tick,
	.stop = g_free,
};
