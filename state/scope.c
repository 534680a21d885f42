/*
 * Rights of an organisation's admin. Limits, weights and priorities divide the
 * fleet between organisations, so only operators may set them. Only operators
 * may change services.
 */
#include <string.h>

#include "state/state.h"

/* Fields that an admin may set. */
static const struct {
	enum resource_kind kind;
	const char *field;
} writable[] = {
	{KIND_ORGANISATION, "keys"},   {KIND_INTENT, "service"},
	{KIND_INTENT, "organisation"}, {KIND_INTENT, "concurrent"},
	{KIND_INTENT, "targets"},
};

static bool is_writable(enum resource_kind k, const char *field)
{
	for (size_t i = 0; i < G_N_ELEMENTS(writable); i++) {
		if (writable[i].kind == k && !strcmp(writable[i].field, field))
			return true;
	}
	return false;
}

bool scope_can_read(const char *organisation, enum resource_kind k,
		    const char *name, const json_t *spec)
{
	const char *owner =
		json_string_value(json_object_get(spec, "organisation"));

	if (k == KIND_ORGANISATION)
		return !strcmp(name, organisation);
	return k == KIND_INTENT && owner && !strcmp(owner, organisation);
}

static void add_error(GPtrArray *errors, enum resource_kind k, const char *name,
		      const char *reason)
{
	g_ptr_array_add(errors, g_strdup_printf("%s/%s: %s", kind_name(k), name,
						reason));
}

static void check_field(enum resource_kind k, const char *name,
			const char *field, const json_t *was, const json_t *is,
			GPtrArray *errors)
{
	const json_t *old_value = json_object_get(was, field);
	const json_t *new_value = json_object_get(is, field);

	if (is_writable(k, field) ||
	    (old_value && new_value && json_equal(old_value, new_value)))
		return;
	g_ptr_array_add(errors, g_strdup_printf("%s/%s: %s: only an operator "
						"may set it",
						kind_name(k), name, field));
}

/* Add an error for each field that differs and that an admin may not set. */
static void check_fields(enum resource_kind k, const char *name,
			 const json_t *was, const json_t *is, GPtrArray *errors)
{
	const char *field;
	json_t *v;

	json_object_foreach ((json_t *)is, field, v)
		check_field(k, name, field, was, is, errors);
	json_object_foreach ((json_t *)was, field, v) {
		if (!json_object_get(is, field))
			check_field(k, name, field, was, is, errors);
	}
}

static void check_keys(const char *name, const json_t *spec, GPtrArray *errors)
{
	size_t i;
	json_t *key;

	json_array_foreach (json_object_get(spec, "keys"), i, key) {
		const char *role =
			json_string_value(json_object_get(key, "role"));

		if (role && !strcmp(role, "operator"))
			add_error(errors, KIND_ORGANISATION, name,
				  "keys: only an operator may add an "
				  "operator's key");
	}
}

bool scope_can_change(const char *organisation, enum resource_kind k,
		      const char *name, const json_t *was, const json_t *is,
		      GPtrArray *errors)
{
	guint before = errors->len;

	if ((was && !scope_can_read(organisation, k, name, was)) ||
	    (is && !scope_can_read(organisation, k, name, is))) {
		add_error(errors, k, name, "not the admin's organisation");
		return false;
	}
	if (k == KIND_ORGANISATION && (!was || !is))
		add_error(errors, k, name,
			  "only an operator may create or delete");
	if (k == KIND_ORGANISATION)
		check_keys(name, is, errors);
	if (is)
		check_fields(k, name, was, is, errors);
	return errors->len == before;
}
