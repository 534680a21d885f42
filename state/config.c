/*
 * Configurations: resources parsed from their JSON specs, the references
 * between them and the lookups.
 */
#include <sodium.h>
#include <string.h>

#include "state/schema.h"

#define MAX_LOAD_FACTOR_DEFAULT 1.25

static void free_organisation(void *p)
{
	struct organisation *o = p;

	g_free(o->name);
	g_free(o);
}

static void free_service(void *p)
{
	struct service *s = p;

	g_free(s->name);
	g_free(s->pool);
	g_free(s->model);
	g_free(s->adapter);
	g_free(s->version);
	g_free(s);
}

static void free_intent(void *p)
{
	struct intent *i = p;

	g_free(i->name);
	g_free(i->service);
	g_free(i->organisation);
	g_strfreev(i->targets);
	g_free(i);
}

struct config *config_new(int64_t revision)
{
	static const GDestroyNotify free_fns[KIND_COUNT] = {
		[KIND_ORGANISATION] = free_organisation,
		[KIND_SERVICE] = free_service,
		[KIND_INTENT] = free_intent,
	};
	struct config *c = g_atomic_rc_box_new0(struct config);

	c->revision = revision;
	for (int k = 0; k < KIND_COUNT; k++)
		c->resources[k] = g_hash_table_new_full(g_str_hash, g_str_equal,
							NULL, free_fns[k]);
	c->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return c;
}

struct config *config_ref(struct config *c)
{
	return g_atomic_rc_box_acquire(c);
}

static void free_tables(void *p)
{
	struct config *c = p;

	g_hash_table_unref(c->keys);
	for (int k = 0; k < KIND_COUNT; k++)
		g_hash_table_unref(c->resources[k]);
}

void config_unref(struct config *c)
{
	if (c)
		g_atomic_rc_box_release_full(c, free_tables);
}

/* Fields of a spec; a missing one has the fallback, 0 or NULL. */

static char *get_string(const json_t *spec, const char *name,
			const char *fallback)
{
	const char *s = json_string_value(json_object_get(spec, name));

	return g_strdup(s ? s : fallback);
}

static double get_number(const json_t *spec, const char *name, double fallback)
{
	const json_t *v = json_object_get(spec, name);

	return v ? json_number_value(v) : fallback;
}

static int64_t get_int(const json_t *spec, const char *name)
{
	return json_integer_value(json_object_get(spec, name));
}

static bool get_bool(const json_t *spec, const char *name, bool fallback)
{
	const json_t *v = json_object_get(spec, name);

	return v ? json_is_true(v) : fallback;
}

static enum role role_from_name(const char *s)
{
	if (!strcmp(s, "operator"))
		return ROLE_OPERATOR;
	return strcmp(s, "admin") ? ROLE_CALLER : ROLE_ADMIN;
}

static void add_keys(struct config *c, const struct organisation *o,
		     const json_t *keys)
{
	size_t i;
	json_t *k;

	json_array_foreach (keys, i, k) {
		struct key_owner *owner = g_new(struct key_owner, 1);

		owner->organisation = o;
		owner->role = role_from_name(
			json_string_value(json_object_get(k, "role")));
		g_hash_table_replace(c->keys, get_string(k, "hash", ""), owner);
	}
}

static void add_organisation(struct config *c, const char *name,
			     const json_t *spec)
{
	struct organisation *o = g_new0(struct organisation, 1);

	o->name = g_strdup(name);
	o->weight = get_number(spec, "weight", 1);
	o->requests_per_s = get_int(spec, "requests_per_s");
	o->tokens_per_s = get_int(spec, "tokens_per_s");
	o->concurrent = get_int(spec, "concurrent");
	g_hash_table_replace(c->resources[KIND_ORGANISATION], o->name, o);
	add_keys(c, o, json_object_get(spec, "keys"));
}

static void add_service(struct config *c, const char *name, const json_t *spec)
{
	struct service *s = g_new0(struct service, 1);
	const char *kind = json_string_value(json_object_get(spec, "kind"));

	s->name = g_strdup(name);
	s->kind = strcmp(kind, "plain") ? SERVICE_MODEL : SERVICE_PLAIN;
	s->pool = get_string(spec, "pool", "");
	s->model = get_string(spec, "model", name);
	s->adapter = get_string(spec, "adapter", NULL);
	s->version = get_string(spec, "version", NULL);
	s->idempotent = get_bool(spec, "idempotent", s->kind == SERVICE_MODEL);
	s->checks_fence = get_bool(spec, "checks_fence", false);
	s->max_load_factor =
		get_number(spec, "max_load_factor", MAX_LOAD_FACTOR_DEFAULT);
	g_hash_table_replace(c->resources[KIND_SERVICE], s->name, s);
}

static char **get_strings(const json_t *list)
{
	GPtrArray *a;
	size_t i;
	json_t *x;

	if (!list)
		return NULL;
	a = g_ptr_array_new();
	json_array_foreach (list, i, x)
		g_ptr_array_add(a, g_strdup(json_string_value(x)));
	g_ptr_array_add(a, NULL);
	return (char **)g_ptr_array_free(a, FALSE);
}

static void add_intent(struct config *c, const char *name, const json_t *spec)
{
	struct intent *i = g_new0(struct intent, 1);

	i->name = g_strdup(name);
	i->service = get_string(spec, "service", "");
	i->organisation = get_string(spec, "organisation", NULL);
	i->weight = get_number(spec, "weight", 1);
	i->concurrent = get_int(spec, "concurrent");
	i->priority = get_int(spec, "priority");
	i->targets = get_strings(json_object_get(spec, "targets"));
	g_hash_table_replace(c->resources[KIND_INTENT], i->name, i);
}

bool config_add(struct config *c, enum resource_kind k, const char *name,
		const json_t *spec, GPtrArray *errors)
{
	static void (*const add[KIND_COUNT])(struct config *, const char *,
					     const json_t *) = {
		[KIND_ORGANISATION] = add_organisation,
		[KIND_SERVICE] = add_service,
		[KIND_INTENT] = add_intent,
	};

	if (!resource_check(k, name, spec, errors))
		return false;
	add[k](c, name, spec);
	return true;
}

bool config_check_refs(const struct config *c, GPtrArray *errors)
{
	guint before = errors->len;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, c->resources[KIND_INTENT]);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct intent *i = p;

		if (!config_service(c, i->service))
			g_ptr_array_add(errors,
					g_strdup_printf("intent/%s: service: "
							"no service \"%s\"",
							i->name, i->service));
		if (i->organisation && !config_organisation(c, i->organisation))
			g_ptr_array_add(
				errors,
				g_strdup_printf("intent/%s: organisation: no "
						"organisation \"%s\"",
						i->name, i->organisation));
	}
	return errors->len == before;
}

const struct organisation *config_organisation(const struct config *c,
					       const char *name)
{
	return g_hash_table_lookup(c->resources[KIND_ORGANISATION], name);
}

const struct service *config_service(const struct config *c, const char *name)
{
	return g_hash_table_lookup(c->resources[KIND_SERVICE], name);
}

const struct intent *config_intent(const struct config *c, const char *service,
				   const char *organisation)
{
	const struct intent *best = NULL;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, c->resources[KIND_INTENT]);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct intent *i = p;
		bool specific = i->organisation != NULL;

		if (strcmp(i->service, service) ||
		    (specific && strcmp(i->organisation, organisation)))
			continue;
		/* The order of the hash table differs between nodes; that of
		 * the names does not. */
		if (!best || (specific && !best->organisation) ||
		    (specific == !!best->organisation &&
		     strcmp(i->name, best->name) < 0))
			best = i;
	}
	return best;
}

const struct key_owner *config_key_owner(const struct config *c, struct str key)
{
	char *hash = key_hash(key);
	const struct key_owner *o = g_hash_table_lookup(c->keys, hash);

	g_free(hash);
	return o;
}

struct config *config_from_rows(int64_t revision, const json_t *rows,
				GPtrArray *errors)
{
	struct config *c = config_new(revision);
	size_t i;
	json_t *row;

	json_array_foreach (rows, i, row) {
		const char *key =
			json_string_value(json_object_get(row, "key"));
		const json_t *value = json_object_get(row, "value");
		enum resource_kind k;
		const char *name;

		if (!key || !resource_from_key(key, &k, &name))
			continue;
		config_add(c, k, name, json_object_get(value, "spec"), errors);
	}
	return c;
}
