/*
 * Rollout status of changes, the list of nodes, and drain. The connection's
 * thread asks all nodes at once for the revision that they have in force.
 */
#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "node/admin-api.h"

#define CALL_TIMEOUT_MS 1000

/* A call of GET /ready on one node. */
struct asked_node {
	const struct peer *peer; /* NULL: this node, if none is listed */
	json_t *ready;           /* NULL: no answer */
	int *pending;            /* calls without an answer */
};

static void on_ready_answer(const struct fetch_result *r, void *arg)
{
	struct asked_node *a = arg;

	if (r->status)
		a->ready = json_loadb(r->body.data, r->body.len, 0, NULL);
	--*a->pending;
}

static json_t *describe(const struct node *n, const struct asked_node *a)
{
	const struct peer *p = a->peer;
	json_t *j = json_pack("{s:s,s:s,s:s,s:s,s:b}", "name",
			      p ? p->name : n->set.node_name, "address",
			      p ? p->address : n->address, "zone",
			      p ? p->zone : n->set.node_zone, "region",
			      p ? p->region : n->set.node_region, "reachable",
			      json_is_object(a->ready));

	if (json_is_object(a->ready))
		json_object_update_missing(j, a->ready);
	else
		json_object_set_new(j, "leaving",
				    json_boolean(p && p->leaving));
	return j;
}

static void ask_node(struct fetcher *f, const char *address, const char *query,
		     struct asked_node *a)
{
	char *url = g_strdup_printf("http://%s/ready%s", address, query);

	fetch(f, "GET", url, str_c(NULL), CALL_TIMEOUT_MS, on_ready_answer, a);
	g_free(url);
}

/*
 * Ask every node for its state. Unless the revision is -1, since_ms in the
 * answer refers to it. The caller owns the list.
 */
static json_t *ask_nodes(struct api_call *c, int64_t revision)
{
	struct fleet *fleet = node_fleet(c->node);
	guint n = fleet ? fleet->peers->len : 0;
	struct asked_node *asked = g_new0(struct asked_node, n + 1);
	struct fetcher *f = fetcher_new();
	json_t *list = json_array();
	char query[64] = "";
	int pending = (int)MAX(n, 1);

	if (revision >= 0)
		g_snprintf(query, sizeof(query), "?revision=%" PRId64,
			   revision);
	for (guint i = 0; i < MAX(n, 1); i++) {
		asked[i].pending = &pending;
		asked[i].peer = n ? g_ptr_array_index(fleet->peers, i) : NULL;
		ask_node(f, n ? asked[i].peer->address : c->node->address,
			 query, &asked[i]);
	}
	while (pending > 0)
		fetcher_poll(f, NULL, 0, CALL_TIMEOUT_MS);
	for (guint i = 0; i < MAX(n, 1); i++) {
		json_array_append_new(list, describe(c->node, &asked[i]));
		json_decref(asked[i].ready);
	}
	fetcher_free(f);
	g_free(asked);
	fleet_unref(fleet);
	return list;
}

/* GET /v1/nodes */
int on_nodes(const struct _u_request *q, struct _u_response *r, void *node)
{
	struct api_call c;

	if (!api_begin(&c, node, q, r, ROLE_OPERATOR))
		return U_CALLBACK_COMPLETE;
	return api_answer(&c, 200,
			  json_pack("{s:o}", "nodes", ask_nodes(&c, -1)));
}

/*
 * Count the nodes that aren't leaving and those of them with the revision in
 * force, and set "in_force" on each node. Return the wall-clock time since
 * which the revision is in force on all of them, or 0.
 */
static int64_t count_in_force(json_t *nodes, int64_t revision, int *live,
			      int *in_force)
{
	int64_t since = 0;
	size_t i;
	json_t *n;

	*live = 0;
	*in_force = 0;
	json_array_foreach (nodes, i, n) {
		int64_t node_revision =
			json_integer_value(json_object_get(n, "revision"));
		int64_t since_ms =
			json_integer_value(json_object_get(n, "since_ms"));
		bool applied = json_is_true(json_object_get(n, "reachable")) &&
			       node_revision >= revision && since_ms;

		json_object_set_new(n, "in_force", json_boolean(applied));
		if (json_is_true(json_object_get(n, "leaving")))
			continue;
		++*live;
		*in_force += applied;
		since = applied ? MAX(since, since_ms) : since;
	}
	return *live && *in_force == *live ? since : 0;
}

/*
 * Return whether the platform's instance list, which may lag, names this node.
 */
static bool is_listed(struct node *n)
{
	struct fleet *f = node_fleet(n);
	bool listed = f && f->lists_self;

	fleet_unref(f);
	return listed;
}

static json_t *status_json(struct api_call *c, enum resource_kind k,
			   const char *name, const json_t *value,
			   int64_t revision)
{
	json_t *nodes = ask_nodes(c, revision);
	int live, in_force;
	int64_t since = count_in_force(nodes, revision, &live, &in_force);
	bool everywhere = live && in_force == live && is_listed(c->node);

	return json_pack("{s:s,s:s,s:I,s:O*,s:i,s:i,s:b,s:I,s:o}", "kind",
			 kind_name(k), "name", name, "revision", revision,
			 "generation", json_object_get(value, "generation"),
			 "live", live, "in_force", in_force, "everywhere",
			 everywhere, "since_ms", everywhere ? since : 0,
			 "nodes", nodes);
}

/*
 * GET /v1/resources/:kind/:name/status. ?revision=N asks about a change, which
 * may have deleted the resource.
 */
int on_resource_status(const struct _u_request *q, struct _u_response *r,
		       void *node)
{
	const char *name = u_map_get(q->map_url, "name");
	int64_t revision = 0;
	struct api_call c;
	enum resource_kind k;
	enum ramp_error e;
	struct rows rows;
	const json_t *value;
	json_t *j = NULL;
	char *key;

	if (!api_begin(&c, node, q, r, ROLE_ADMIN))
		return U_CALLBACK_COMPLETE;
	k = api_kind(&c);
	if (k == KIND_COUNT)
		return api_refuse(&c, RAMP_ERR_NOT_FOUND, "no such collection");
	if (!api_query_int(&c, "revision", &revision))
		return api_refuse(&c, RAMP_ERR_BAD_REQUEST,
				  "revision: a number is required");
	/*
	 * A known revision needs no read, so this works while the store is
	 * down.
	 */
	if (revision)
		return api_answer(&c, 200,
				  status_json(&c, k, name, NULL, revision));
	key = resource_key(k, name);
	e = api_read(&c, key, NULL, true, &rows);
	value = json_object_get(rows_find(&rows, key), "value");
	g_free(key);
	if (value && api_can_see(c.organisation, k, name,
				 json_object_get(value, "spec")))
		j = status_json(
			&c, k, name, value,
			json_integer_value(json_object_get(value, "revision")));
	rows_clear(&rows);
	if (!j)
		return api_refuse(&c, e != RAMP_OK ? e : RAMP_ERR_NOT_FOUND,
				  NULL);
	return api_answer(&c, 200, j);
}

/* POST /v1/drain: has the same effect as SIGTERM to this node. */
int on_drain(const struct _u_request *q, struct _u_response *r, void *node)
{
	struct api_call c;

	if (!api_begin(&c, node, q, r, ROLE_OPERATOR))
		return U_CALLBACK_COMPLETE;
	log_event(EV_DRAIN_ASKED, "who=%s from=%s", c.who, c.from);
	kill(getpid(), SIGTERM);
	return api_answer(&c, 202,
			  json_pack("{s:s,s:b}", "name", c.node->set.node_name,
				    "leaving", 1));
}
