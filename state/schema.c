/* Check of a resource's spec against the table of fields. */
#include <inttypes.h>
#include <string.h>

#include "state/schema.h"

#define NAME_MAX_BYTES     64
#define KEY_HASH_HEX_CHARS 64

/* A check in progress: the resource that its errors name. */
struct check {
	enum resource_kind kind;
	const char *name;
	GPtrArray *errors;
};

static void G_GNUC_PRINTF(3, 4)
	add_error(const struct check *c, const char *field, const char *fmt,
		  ...)
{
	va_list ap;
	char *reason;

	va_start(ap, fmt);
	reason = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(c->errors,
			g_strdup_printf("%s/%s: %s: %s", kind_name(c->kind),
					c->name, field, reason));
	g_free(reason);
}

static const struct field_info *find_field(enum resource_kind k,
					   const char *name)
{
	for (size_t i = 0; i < field_count; i++) {
		if (field_infos[i].kind == k &&
		    !strcmp(field_infos[i].name, name))
			return &field_infos[i];
	}
	return NULL;
}

static bool in_range(const struct field_info *f, double v)
{
	return v >= f->min && v <= f->max;
}

static bool is_one_of(const char *list, const char *s)
{
	char **names = g_strsplit(list, ",", -1);
	bool found = g_strv_contains((const char *const *)names, s);

	g_strfreev(names);
	return found;
}

static bool is_valid_key(const json_t *j)
{
	const char *hash = json_string_value(json_object_get(j, "hash"));
	const char *role = json_string_value(json_object_get(j, "role"));

	return json_object_size(j) == 2 && hash &&
	       strlen(hash) == KEY_HASH_HEX_CHARS && role &&
	       is_one_of("caller,admin,operator", role);
}

static bool all_match(const json_t *list, bool (*test)(const json_t *))
{
	size_t i;
	json_t *element;

	json_array_foreach (list, i, element) {
		if (!test(element))
			return false;
	}
	return true;
}

static bool is_string(const json_t *j)
{
	return json_is_string(j);
}

static void check_string(const struct check *c, const struct field_info *f,
			 const json_t *v)
{
	if (!json_is_string(v) || !in_range(f, (double)json_string_length(v)))
		add_error(c, f->name, "a string of %g to %g bytes is allowed",
			  f->min, f->max);
}

static void check_list(const struct check *c, const struct field_info *f,
		       const json_t *v)
{
	bool (*test)(const json_t *) =
		f->type == FIELD_KEYS ? is_valid_key : is_string;

	if (!json_is_array(v) || !in_range(f, (double)json_array_size(v)) ||
	    !all_match(v, test))
		add_error(c, f->name, "a list of %g to %g %s is allowed",
			  f->min, f->max,
			  f->type == FIELD_KEYS ? "keys (hash and role)"
						: "strings");
}

static void check_field(const struct check *c, const struct field_info *f,
			const json_t *v)
{
	switch (f->type) {
	case FIELD_STRING:
	case FIELD_REF:
		check_string(c, f, v);
		return;
	case FIELD_STRINGS:
	case FIELD_KEYS:
		check_list(c, f, v);
		return;
	case FIELD_INT:
		if (!json_is_integer(v) ||
		    !in_range(f, (double)json_integer_value(v)))
			add_error(c, f->name,
				  "a whole number from %.0f to %.0f is allowed",
				  f->min, f->max);
		return;
	case FIELD_NUMBER:
		if (!json_is_number(v) || !in_range(f, json_number_value(v)))
			add_error(c, f->name,
				  "a number from %g to %g is allowed", f->min,
				  f->max);
		return;
	case FIELD_BOOL:
		if (!json_is_boolean(v))
			add_error(c, f->name, "true or false is allowed");
		return;
	case FIELD_ENUM:
		if (!json_is_string(v) ||
		    !is_one_of(f->extra, json_string_value(v)))
			add_error(c, f->name, "one of %s is allowed", f->extra);
		return;
	}
}

static bool is_valid_name(const char *s)
{
	size_t n = strlen(s);

	return n >= 1 && n <= NAME_MAX_BYTES &&
	       strspn(s, "abcdefghijklmnopqrstuvwxyz0123456789-.") == n;
}

bool resource_check(enum resource_kind k, const char *name, const json_t *spec,
		    GPtrArray *errors)
{
	struct check c = {k, name, errors};
	guint before = errors->len;
	const char *key;
	json_t *v;

	if (!is_valid_name(name))
		add_error(&c, "name",
			  "1 to %d of a-z, 0-9, \"-\" and \".\" are allowed",
			  NAME_MAX_BYTES);
	if (!json_is_object(spec)) {
		add_error(&c, "spec", "an object is required");
		return false;
	}
	json_object_foreach ((json_t *)spec, key, v) {
		const struct field_info *f = find_field(k, key);

		if (f)
			check_field(&c, f, v);
		else
			add_error(&c, key, "unknown field");
	}
	for (size_t i = 0; i < field_count; i++) {
		const struct field_info *f = &field_infos[i];

		if (f->kind == k && f->required &&
		    !json_object_get(spec, f->name))
			add_error(&c, f->name, "required but missing");
	}
	return errors->len == before;
}
