/* See test-pool-node.h. */
#include "entry/evacuations.h"
#include "entry/test-pool-node.h"

static char *node_name(int i)
{
	return g_strdup_printf("node-%d", i);
}

void pool_node_init(struct entry *e, int i, struct peer_list *peers)
{
	uint64_t *ids = g_new0(uint64_t, peers->n);

	e->settings.node_name = node_name(i);
	e->settings.bounds_load_factor = 2;
	e->settings.bounds_retry_window_s = 10;
	e->settings.limits_memory_mb = 256;
	e->tr.e = e;
	e->tr.settings = &e->settings;
	e->tr.rand = g_rand_new_with_seed((guint32)i + 1);
	e->tr.peers = peer_list_ref(peers);
	e->loads = loads_new(member_id(e->settings.node_name));
	e->notices = notices_new();
	notices_set_rounds(e->notices, 1, false);
	e->evacuations = entry_evacuations_new(e);
	e->target_limits =
		target_limits_new(&limit_requests, peers->v[i].id, NULL, NULL);
	e->overflow_limits =
		target_limits_new(&limit_overflow, peers->v[i].id, NULL, NULL);
	for (size_t k = 0; k < peers->n; k++)
		ids[k] = peers->v[k].id;
	target_limits_set_nodes(e->target_limits, ids, peers->n, 0);
	target_limits_set_nodes(e->overflow_limits, ids, peers->n, 0);
	g_free(ids);
	pool_init(&e->tr);
}

void pool_node_clear(struct entry *e)
{
	pool_free(&e->tr);
	target_list_unref(e->tr.list);
	peer_list_unref(e->tr.peers);
	target_limits_free(e->target_limits);
	target_limits_free(e->overflow_limits);
	evacuations_free(e->evacuations);
	notices_free(e->notices);
	loads_free(e->loads);
	g_rand_free(e->tr.rand);
	g_free(e->settings.node_name);
}

struct peer_list *pool_node_peers(int n)
{
	struct peer_list *l = peer_list_new((size_t)n);

	for (int i = 0; i < n; i++) {
		char *name = node_name(i);

		l->v[l->n++].id = member_id(name);
		g_free(name);
	}
	l->known = l->n;
	return l;
}

void pool_node_take_list(struct entry *e, struct target_list *l)
{
	pool_update_targets(&e->tr, l);
	target_list_unref(e->tr.list);
	e->tr.list = l;
}
