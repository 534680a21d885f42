#include "node/test-admin.h"

#include <string.h>

void world_faults(struct world *w, const char *text)
{
	json_decref(procs_json(w->platform, "PUT", "/standin/faults", text));
}

static void list_nodes(struct world *w)
{
	json_t *list = json_array();
	char *text;

	for (int i = 0; i < w->node_count; i++) {
		char *address =
			g_strdup_printf("127.0.0.1:%d", w->nodes[i]->port);

		json_array_append_new(
			list, json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "name",
					w->nodes[i]->name, "role", "node",
					"address", address, "zone", "a",
					"region", "local", "state", "live"));
		g_free(address);
	}
	text = json_dumps(list, JSON_COMPACT);
	json_decref(procs_json(w->platform, "PUT", "/standin/instances", text));
	free(text);
	json_decref(list);
}

void world_start(struct world *w, const char *argv0, int n)
{
	char *hash = key_hash(STR_LIT(OPERATOR_KEY));
	char *more = g_strdup_printf("[entries]\nvalid = 100\n"
				     "[admin]\nbootstrap_hash = %s\n",
				     hash);

	memset(w, 0, sizeof(*w));
	w->procs = procs_new(argv0);
	w->platform = procs_standin(w->procs, "platform", "platform");
	w->node_count = n;
	for (int i = 0; i < n; i++) {
		char name[] = {'n', (char)('1' + i), '\0'};

		w->nodes[i] = procs_node(w->procs, name, w->platform, more);
	}
	list_nodes(w);
	for (int i = 0; i < n; i++)
		procs_wait_ready(w->nodes[i]);
	g_free(more);
	g_free(hash);
}

void world_stop(struct world *w)
{
	procs_free(w->procs);
}

struct reply *admin_call(const struct proc *node, struct caller who,
			 const char *method, const char *path, const char *body)
{
	const char *headers[6] = {0};
	char *made[3] = {0};
	struct reply *r;
	int n = 0;

	if (who.key)
		made[0] = g_strconcat("Authorization: Bearer ", who.key, NULL);
	if (who.change)
		made[1] = g_strconcat("Change-Id: ", who.change, NULL);
	if (who.attempt)
		made[2] = g_strconcat("Change-Attempt: ", who.attempt, NULL);
	for (int i = 0; i < 3; i++) {
		if (made[i])
			headers[n++] = made[i];
	}
	if (who.condition)
		headers[n++] = who.condition;
	r = procs_call(node, method, path, headers, body);
	for (int i = 0; i < 3; i++)
		g_free(made[i]);
	return r;
}

json_t *admin_ok(const struct proc *node, const char *condition,
		 const char *method, const char *path, const char *body,
		 int status)
{
	struct caller who = {.key = OPERATOR_KEY, .condition = condition};
	struct reply *r = admin_call(node, who, method, path, body);
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

void check_audit(const struct proc *node)
{
	GHashTable *present = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
	json_t *page =
		admin_ok(node, NULL, "GET", "/v1/changes?after=0", NULL, 200);
	int64_t n = 0;
	size_t i;
	json_t *c;

	json_array_foreach (json_object_get(page, "changes"), i, c) {
		char *id = g_strconcat(get_string(c, "kind"), "/",
				       get_string(c, "name"), NULL);
		json_t *is = json_object_get(c, "is");
		const json_t *before = g_hash_table_lookup(present, id);

		g_assert_cmpint(get_int(c, "revision"), ==, ++n);
		g_assert_true(json_equal(json_object_get(c, "was"),
					 before ? before : json_null()));
		g_hash_table_replace(present, id, json_incref(is));
	}
	g_assert_cmpint(get_int(page, "after"), ==, n);
	json_decref(page);
	g_hash_table_unref(present);
}
