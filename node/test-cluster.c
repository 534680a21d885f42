/* Cluster of nodes for tests of the administration API. */
#include "node/test-cluster.h"

#include <string.h>

void cluster_set_faults(struct cluster *cluster, const char *faults)
{
	json_decref(procs_call_json(cluster->platform, "PUT", "/standin/faults",
				    faults));
}

static void publish_nodes(struct cluster *cluster)
{
	json_t *list = json_array();
	char *json;

	for (int i = 0; i < cluster->node_count; i++) {
		char *address = g_strdup_printf("127.0.0.1:%d",
						cluster->nodes[i]->port);

		json_array_append_new(
			list, json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "name",
					cluster->nodes[i]->name, "role", "node",
					"address", address, "zone", "a",
					"region", "local", "state", "live"));
		g_free(address);
	}
	json = json_dumps(list, JSON_COMPACT);
	json_decref(procs_call_json(cluster->platform, "PUT",
				    "/standin/instances", json));
	free(json);
	json_decref(list);
}

void launch(struct cluster *cluster, const char *argv0, int n)
{
	char *bootstrap_hash = key_hash(STR_LIT(OPERATOR_KEY));
	char *settings = g_strdup_printf("[entries]\nvalid = 100\n"
					 "[admin]\nbootstrap_hash = %s\n",
					 bootstrap_hash);

	memset(cluster, 0, sizeof(*cluster));
	cluster->procs = procs_new(argv0);
	cluster->platform =
		procs_start_standin(cluster->procs, "platform", "platform");
	cluster->node_count = n;
	for (int i = 0; i < n; i++) {
		char name[] = {'n', (char)('1' + i), '\0'};

		cluster->nodes[i] = procs_start_node(
			cluster->procs, name, cluster->platform, settings);
	}
	publish_nodes(cluster);
	for (int i = 0; i < n; i++)
		procs_wait_ready(cluster->nodes[i]);
	g_free(settings);
	g_free(bootstrap_hash);
}

void cluster_stop(struct cluster *cluster)
{
	procs_free(cluster->procs);
}

struct reply *admin_call(const struct proc *node, struct call_headers headers,
			 const char *method, const char *path, const char *body)
{
	const char *lines[6] = {0};
	char *built[3] = {0};
	struct reply *r;
	int n = 0;

	if (headers.key)
		built[0] = g_strconcat("Authorization: Bearer ", headers.key,
				       NULL);
	if (headers.change_id)
		built[1] = g_strconcat("Change-Id: ", headers.change_id, NULL);
	if (headers.change_attempt)
		built[2] = g_strconcat(
			"Change-Attempt: ", headers.change_attempt, NULL);
	for (int i = 0; i < 3; i++) {
		if (built[i])
			lines[n++] = built[i];
	}
	if (headers.precondition)
		lines[n++] = headers.precondition;
	r = procs_call(node, method, path, lines, body);
	for (int i = 0; i < 3; i++)
		g_free(built[i]);
	return r;
}

json_t *operator_call(const struct proc *node, const char *precondition,
		      const char *method, const char *path, const char *body,
		      int status)
{
	struct call_headers headers = {.key = OPERATOR_KEY,
				       .precondition = precondition};
	struct reply *r = admin_call(node, headers, method, path, body);
	json_t *j = json_incref(r->json);

	g_assert_cmpint(r->status, ==, status);
	reply_free(r);
	return j;
}

int64_t get_int(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

const char *get_string(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s ? s : "";
}

const char *error_type(const json_t *j)
{
	return get_string(json_object_get(j, "error"), "type");
}

char *organisation_body(const char *key, const char *role)
{
	char *hash = key_hash(str_c(key));
	char *body = g_strdup_printf("{\"spec\":{\"keys\":[{\"hash\":\"%s\","
				     "\"role\":\"%s\"}]}}",
				     hash, role);

	g_free(hash);
	return body;
}

void check_audit_trail(const struct proc *node)
{
	GHashTable *specs = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
	json_t *audit = operator_call(node, NULL, "GET", "/v1/changes?after=0",
				      NULL, 200);
	int64_t n = 0;
	size_t i;
	json_t *change;

	json_array_foreach (json_object_get(audit, "changes"), i, change) {
		char *id = g_strconcat(get_string(change, "kind"), "/",
				       get_string(change, "name"), NULL);
		json_t *spec = json_object_get(change, "is");
		const json_t *previous = g_hash_table_lookup(specs, id);

		g_assert_cmpint(get_int(change, "revision"), ==, ++n);
		g_assert_true(json_equal(json_object_get(change, "was"),
					 previous ? previous : json_null()));
		g_hash_table_replace(specs, id, json_incref(spec));
	}
	g_assert_cmpint(get_int(audit, "after"), ==, n);
	json_decref(audit);
	g_hash_table_unref(specs);
}
