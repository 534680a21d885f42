/* Whether the present rows let a change be made, and all that speaks against
 * it. */
#include "state/change.h"

static int64_t version_of(const json_t *row)
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
	if (c->condition == CHANGE_IF_VERSION && version_of(row) != c->version)
		return RAMP_ERR_CONFLICT;
	return RAMP_OK;
}

/* A hash in two places would give a key two owners. */
static void check_key_owners(const struct change *c,
			     const struct config *others, GPtrArray *errors)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;
	json_t *key;

	json_array_foreach (json_object_get(c->spec, "keys"), i, key) {
		const char *hash =
			json_string_value(json_object_get(key, "hash"));

		if (!hash)
			continue;
		if (g_hash_table_contains(others->keys, hash) ||
		    !g_hash_table_add(seen, (char *)hash))
			g_ptr_array_add(errors,
					g_strdup_printf("%s/%s: keys: hash %s "
							"is in use",
							kind_name(c->kind),
							c->name, hash));
	}
	g_hash_table_unref(seen);
}

static struct config *read_rows(const json_t *rows, const json_t *without)
{
	GPtrArray *unused = g_ptr_array_new_with_free_func(g_free);
	json_t *some = json_array();
	struct config *c;
	size_t i;
	json_t *row;

	json_array_foreach (rows, i, row) {
		if (row != without)
			json_array_append(some, row);
	}
	c = config_from_rows(0, some, unused);
	json_decref(some);
	g_ptr_array_unref(unused);
	return c;
}

static GPtrArray *dangling(const struct config *c)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);

	config_check_refs(c, faults);
	return faults;
}

/* Faults that the change brings; those there before are not its own. */
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
	struct config *all = read_rows(rows, NULL);
	struct config *rest = read_rows(rows, row);

	add_new_faults(errors, dangling(all), dangling(rest));
	config_unref(all);
	config_unref(rest);
}

static void check_put(const struct change *c, const json_t *rows,
		      const json_t *row, GPtrArray *errors)
{
	struct config *with = read_rows(rows, row);
	GPtrArray *before = dangling(with);

	if (c->kind == KIND_ORGANISATION)
		check_key_owners(c, with, errors);
	if (config_add(with, c->kind, c->name, c->spec, errors))
		add_new_faults(errors, before, dangling(with));
	else
		g_ptr_array_unref(before);
	config_unref(with);
}

enum ramp_error change_decide(const struct change *c, const json_t *rows,
			      const json_t *row, GPtrArray *errors)
{
	const json_t *was =
		json_object_get(json_object_get(row, "value"), "spec");
	enum ramp_error e;

	if (c->organisation && !scope_allows(c->organisation, c->kind, c->name,
					     was, c->spec, errors))
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
