/* GET /v1/entries (the nodes that a caller may use), /ready and /metrics. */
#include <sodium.h>
#include <string.h>

#include "node/gossip.h"

static json_t *entry_json(const struct peer *p)
{
	return json_pack("{s:s,s:s,s:s}", "name", p->name, "address",
			 p->address, "zone", p->zone);
}

static double next_random(void *ctx)
{
	(void)ctx;
	return (randombytes_random() + 1.0) / (UINT32_MAX + 1.0);
}

/*
 * Return whether to offer the node to callers. This node knows before the
 * membership does that it is leaving.
 */
static bool is_offered(const struct node *n, const struct peer *p)
{
	return strcmp(p->name, n->set.node_name) || !atomic_load(&n->leaving);
}

int on_entries(const struct _u_request *q, struct _u_response *r, void *node)
{
	struct node *n = node;
	const char *zone = u_map_get(q->map_url, "zone");
	struct entries_query eq = {
		.zone = zone ? zone : n->set.node_zone,
		.region = n->set.node_region,
		.random = next_random,
	};
	struct fleet *f = node_fleet(n);
	GPtrArray *order = f ? entries_order(f, &eq) : g_ptr_array_new();
	json_t *list = json_array();

	for (guint i = 0; i < order->len; i++) {
		const struct peer *p = g_ptr_array_index(order, i);

		if (is_offered(n, p))
			json_array_append_new(list, entry_json(p));
	}
	g_ptr_array_unref(order);
	fleet_unref(f);
	return answer_json(r, 200,
			   json_pack("{s:o,s:I}", "entries", list,
				     "valid_until_ms",
				     time_now_ms() + n->set.entries_valid_ms));
}

int on_metrics(const struct _u_request *q, struct _u_response *r, void *node)
{
	char *s = metrics_text();

	(void)q;
	(void)node;
	ulfius_set_string_body_response(r, 200, s);
	u_map_put(r->map_header, "Content-Type", "text/plain; version=0.0.4");
	g_free(s);
	return U_CALLBACK_COMPLETE;
}

/*
 * GET /ready?revision=N: whether the node takes requests, and since when
 * revision N (without it the newest one) has been in force.
 */
int on_ready(const struct _u_request *q, struct _u_response *r, void *node)
{
	struct node *n = node;
	const char *asked = u_map_get(q->map_url, "revision");
	struct config *c = node_config(n);
	struct fleet *f = node_fleet(n);
	bool ready = c && f && !atomic_load(&n->leaving);
	int64_t rev = c ? c->revision : 0;
	int64_t since = node_in_force_since(
		n, asked ? g_ascii_strtoll(asked, NULL, 10) : rev);

	config_unref(c);
	fleet_unref(f);
	return answer_json(r, ready ? 200 : 503,
			   json_pack("{s:s,s:b,s:I,s:I,s:b,s:i}", "name",
				     n->set.node_name, "ready", ready,
				     "revision", rev, "since_ms", since,
				     "leaving", (int)atomic_load(&n->leaving),
				     "running", atomic_load(&n->running)));
}
