/*
 * The audit trail of configuration changes: GET /v1/changes and GET
 * /v1/changes/:id.
 */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "node/admin-api.h"

char *audit_key(int64_t revision)
{
	return g_strdup_printf("chg/%020" PRId64, revision);
}

/*
 * Set a spec to null if the admin may not see it. Return whether it is visible.
 */
static bool filter_spec(json_t *change, const char *field,
			const char *organisation, enum resource_kind k,
			const char *name)
{
	const json_t *spec = json_object_get(change, field);

	if (!spec || json_is_null(spec))
		return false;
	if (api_can_see(organisation, k, name, spec))
		return true;
	json_object_set_new(change, field, json_null());
	return false;
}

json_t *audit_view(const json_t *value, const char *organisation)
{
	json_t *view = json_copy((json_t *)value);
	const char *kind = json_string_value(json_object_get(view, "kind"));
	const char *name = json_string_value(json_object_get(view, "name"));
	enum resource_kind k = kind ? kind_from_name(kind) : KIND_COUNT;
	bool was, is;

	if (k == KIND_COUNT || !name) {
		json_decref(view);
		return NULL;
	}
	was = filter_spec(view, "was", organisation, k, name);
	is = filter_spec(view, "is", organisation, k, name);
	if (was || is || !organisation)
		return view;
	json_decref(view);
	return NULL;
}

/* GET /v1/changes?after=N: one page of the changes after N, oldest first. */
int on_change_list(const struct _u_request *q, struct _u_response *r,
		   void *node)
{
	json_t *list = json_array();
	int64_t after = 0;
	struct api_call c;
	struct rows rows;
	enum ramp_error e;
	char *key;
	size_t i;
	json_t *row;

	if (!api_begin(&c, node, q, r, ROLE_ADMIN)) {
		json_decref(list);
		return U_CALLBACK_COMPLETE;
	}
	if (!api_query_int(&c, "after", &after)) {
		json_decref(list);
		return api_refuse(&c, RAMP_ERR_BAD_REQUEST,
				  "after: a revision is required");
	}
	key = audit_key(after);
	e = api_read(&c, "chg/", key, true, &rows);
	g_free(key);
	json_array_foreach (rows.items, i, row) {
		const json_t *value = json_object_get(row, "value");
		json_t *view = audit_view(value, c.organisation);

		after = json_integer_value(json_object_get(value, "revision"));
		if (view)
			json_array_append_new(list, view);
	}
	rows_clear(&rows);
	if (e != RAMP_OK) {
		json_decref(list);
		return api_refuse(&c, e, NULL);
	}
	return api_answer(&c, 200,
			  json_pack("{s:o,s:I,s:b}", "changes", list, "after",
				    after, "more", after < rows.head));
}

/*
 * GET /v1/changes/:id: the change with this id, for a caller that lost the
 * answer to it and must know whether it was made.
 */
int on_change_get(const struct _u_request *q, struct _u_response *r, void *node)
{
	const char *id = u_map_get(q->map_url, "id");
	struct api_call c;
	struct rows rows;
	enum ramp_error e;
	const json_t *row;
	json_t *view = NULL;
	bool made; /* after the second read: and its audit row is gone */
	char *key;

	if (!api_begin(&c, node, q, r, ROLE_ADMIN))
		return U_CALLBACK_COMPLETE;
	key = g_strconcat("cid/", id, NULL);
	e = api_read(&c, key, NULL, true, &rows);
	row = rows_find(&rows, key);
	g_free(key);
	made = row != NULL;
	if (row) {
		key = audit_key(json_integer_value(json_object_get(
			json_object_get(row, "value"), "revision")));
		rows_clear(&rows);
		e = api_read(&c, key, NULL, true, &rows);
		row = rows_find(&rows, key);
		g_free(key);
	}
	if (row)
		view = audit_view(json_object_get(row, "value"),
				  c.organisation);
	made = made && !row;
	rows_clear(&rows);
	if (e != RAMP_OK)
		return api_refuse(&c, e, NULL);
	if (made)
		return api_refuse(&c, RAMP_ERR_GONE,
				  "made; its audit row is no longer kept");
	if (!view)
		return api_refuse(&c, RAMP_ERR_NOT_FOUND,
				  "no change with this identity is recorded; "
				  "sending it again makes it at most once");
	return api_answer(&c, 200, view);
}
