/* Check of a change against the present resources; collects all its faults. */
#include "state/change-check.h"

static int64_t resource_version(const json_t *row)
{
	return json_integer_value(
		json_object_get(json_object_get(row, "value"), "revision"));
}

static enum ramp_error check_condition(const struct change *c,
				       const json_t *row)
{
	if (!c->spec && !row)
		return RAMP_ERR_NOT_FOUND;
	if (c->condition == CHANGE_IF_ABSENT && row)
		return RAMP_ERR_CONFLICT;
	if (c->condition == CHANGE_IF_VERSION &&
	    resource_version(row) != c->version)
		return RAMP_ERR_CONFLICT;
	return RAMP_OK;
}

/* Check that no hash occurs twice: the key would have two owners. */
static void check_key_hashes(const struct change *c,
			     const struct config *config, GPtrArray *errors)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;
	json_t *key;

	json_array_foreach (json_object_get(c->spec, "keys"), i, key) {
		const char *hash =
			json_string_value(json_object_get(key, "hash"));

		if (!hash)
			continue;
		if (g_hash_table_contains(config->keys, hash) ||
		    !g_hash_table_add(seen, (char *)hash))
			g_ptr_array_add(errors,
					g_strdup_printf("%s/%s: keys: hash %s "
							"is in use",
							kind_name(c->kind),
							c->name, hash));
	}
	g_hash_table_unref(seen);
}

/* Build the configuration of all rows but one; invalid rows are left out. */
static struct config *build_config(const json_t *rows, const json_t *excluded)
{
	GPtrArray *unused = g_ptr_array_new_with_free_func(g_free);
	json_t *included = json_array();
	struct config *c;
	size_t i;
	json_t *row;

	json_array_foreach (rows, i, row) {
		if (row != excluded)
			json_array_append(included, row);
	}
	c = config_from_rows(0, included, unused);
	json_decref(included);
	g_ptr_array_unref(unused);
	return c;
}

static GPtrArray *find_dangling_refs(const struct config *c)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);

	config_check_refs(c, errors);
	return errors;
}

/*
 * Add the faults that the change causes; those that existed before it do not
 * prevent it. Free both lists.
 */
static void add_new_faults(GPtrArray *errors, GPtrArray *before,
			   GPtrArray *after)
{
	for (guint i = 0; i < after->len; i++) {
		const char *s = g_ptr_array_index(after, i);

		if (!g_ptr_array_find_with_equal_func(before, s, g_str_equal,
						      NULL))
			g_ptr_array_add(errors, g_strdup(s));
	}
	g_ptr_array_unref(before);
	g_ptr_array_unref(after);
}

static void check_delete(const json_t *rows, const json_t *row,
			 GPtrArray *errors)
{
	struct config *before = build_config(rows, NULL);
	struct config *after = build_config(rows, row);

	add_new_faults(errors, find_dangling_refs(before),
		       find_dangling_refs(after));
	config_unref(before);
	config_unref(after);
}

static void check_put(const struct change *c, const json_t *rows,
		      const json_t *row, GPtrArray *errors)
{
	struct config *config = build_config(rows, row);
	GPtrArray *before = find_dangling_refs(config);

	if (c->kind == KIND_ORGANISATION)
		check_key_hashes(c, config, errors);
	if (config_add(config, c->kind, c->name, c->spec, errors))
		add_new_faults(errors, before, find_dangling_refs(config));
	else
		g_ptr_array_unref(before);
	config_unref(config);
}

enum ramp_error change_check(const struct change *c, const json_t *rows,
			     const json_t *row, GPtrArray *errors)
{
	const json_t *was =
		json_object_get(json_object_get(row, "value"), "spec");
	enum ramp_error e;

	if (c->organisation && !scope_can_change(c->organisation, c->kind,
						 c->name, was, c->spec, errors))
		return RAMP_ERR_FORBIDDEN;
	e = check_condition(c, row);
	if (e != RAMP_OK)
		return e;
	if (c->spec)
		check_put(c, rows, row, errors);
	else
		check_delete(rows, row, errors);
	return errors->len ? RAMP_ERR_BAD_REQUEST : RAMP_OK;
}
