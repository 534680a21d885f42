/*
 * What an organisation's admin may see and change. Limits, weights and
 * priorities weigh one organisation against the others, so they stay with the
 * operators, as do services.
 */
#include <string.h>

#include "state/state.h"

/* The fields that an admin may set. */
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

bool scope_sees(const char *organisation, enum resource_kind k,
		const char *name, const json_t *spec)
{
	const char *owner =
		json_string_value(json_object_get(spec, "organisation"));

	if (k == KIND_ORGANISATION)
		return !strcmp(name, organisation);
	return k == KIND_INTENT && owner && !strcmp(owner, organisation);
}

static void add(GPtrArray *errors, enum resource_kind k, const char *name,
		const char *what)
{
	g_ptr_array_add(errors,
			g_strdup_printf("%s/%s: %s", kind_name(k), name, what));
}

static void check_field(enum resource_kind k, const char *name,
			const char *field, const json_t *was, const json_t *is,
			GPtrArray *errors)
{
	const json_t *a = json_object_get(was, field);
	const json_t *b = json_object_get(is, field);

	if (is_writable(k, field) || (a && b && json_equal(a, b)))
		return;
	g_ptr_array_add(errors, g_strdup_printf("%s/%s: %s: only an operator "
						"may set it",
						kind_name(k), name, field));
}

/* Name each field that differs and isn't the admin's to set. */
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
			add(errors, KIND_ORGANISATION, name,
			    "keys: only an operator may add an operator's key");
	}
}

bool scope_can_change(const char *organisation, enum resource_kind k,
		      const char *name, const json_t *was, const json_t *is,
		      GPtrArray *errors)
{
	guint before = errors->len;

	if ((was && !scope_sees(organisation, k, name, was)) ||
	    (is && !scope_sees(organisation, k, name, is))) {
		add(errors, k, name, "not the admin's organisation");
		return false;
	}
	if (k == KIND_ORGANISATION && (!was || !is))
		add(errors, k, name, "only an operator may create or delete");
	if (k == KIND_ORGANISATION)
		check_keys(name, is, errors);
	if (is)
		check_fields(k, name, was, is, errors);
	return errors->len == before;
}
