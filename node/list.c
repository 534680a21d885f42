/* Control module: reads the platform's instance list. */
#include "node/node.h"

struct lister {
	struct control_env *env;
	int64_t next_read_ms; /* monotonic */
};

/* Log targets that came, and those that began to leave. */
static void note_targets(const struct fleet *old, const struct fleet *now)
{
	GHashTable *known = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; old && i < old->targets->len; i++) {
		const struct target *t = g_ptr_array_index(old->targets, i);

		if (!t->leaving)
			g_hash_table_add(known, t->name);
	}
	for (guint i = 0; i < now->targets->len; i++) {
		const struct target *t = g_ptr_array_index(now->targets, i);

		if (t->leaving == g_hash_table_contains(known, t->name))
			log_event(t->leaving ? EV_TARGET_LEAVING : EV_TARGET_UP,
				  "target=%s address=%s", t->name, t->address);
	}
	g_hash_table_unref(known);
}

static void on_list(const struct plat_result *r, void *arg)
{
	struct lister *l = arg;
	const json_t *list = json_object_get(r->json, "instances");

	struct fleet *old, *now;

	if (r->status != PLAT_OK || !json_is_array(list))
		return;
	old = node_fleet(l->env->node);
	now = fleet_from_instances(list);
	note_targets(old, now);
	fleet_unref(old);
	node_set_fleet(l->env->node, now);
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

	if (now_ms < l->next_read_ms)
		return;
	l->next_read_ms = now_ms + l->env->node->set.platform_poll_ms;
	p->instances(p->ctx, on_list, l);
}

const struct control_module list_module = {
	.start = start,
	.tick = tick,
	.stop = g_free,
};
