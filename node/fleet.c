/* The fleet: targets and nodes from the platform's instance list. */
#include <string.h>

#include "node/node.h"

static void free_target(void *p)
{
	struct target *t = p;

	g_free(t->name);
	g_free(t->pool);
	g_free(t->address);
	g_free(t->zone);
	g_free(t->version);
	g_free(t);
}

static void free_peer(void *p)
{
	struct peer *e = p;

	g_free(e->name);
	g_free(e->address);
	g_free(e->zone);
	g_free(e->region);
	g_free(e->control);
	g_free(e);
}

static const char *string_or_empty(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s ? s : "";
}

/* Return whether an address has a host and a port to connect to. */
static bool is_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	uint64_t port;

	if (!colon || colon == text || strpbrk(text, "/?#@ \t\r\n"))
		return false;
	return g_ascii_string_to_unsigned(colon + 1, 10, 1, G_MAXUINT16, &port,
					  NULL);
}

/* Return whether the texts of a node fit into the messages between nodes. */
static bool fits_messages(const json_t *j)
{
	static const char *const names[] = {"name", "address", "control",
					    "zone", "region"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strlen(string_or_empty(j, names[i])) >
		    MEMBER_TEXT_MAX_BYTES)
			return false;
	}
	return true;
}

static bool is_node(const json_t *j)
{
	return !strcmp(string_or_empty(j, "role"), "node");
}

/* Return whether an instance can be used; one that can't is skipped. */
static bool is_usable(const json_t *j)
{
	const char *control = string_or_empty(j, "control");

	return *string_or_empty(j, "name") &&
	       is_address(string_or_empty(j, "address")) &&
	       (!*control || is_address(control)) &&
	       (!is_node(j) || fits_messages(j));
}

static void add_target(struct fleet *f, const json_t *j)
{
	struct target *t = g_new0(struct target, 1);

	t->name = g_strdup(string_or_empty(j, "name"));
	t->pool = g_strdup(string_or_empty(j, "pool"));
	t->address = g_strdup(string_or_empty(j, "address"));
	t->zone = g_strdup(string_or_empty(j, "zone"));
	t->version = g_strdup(string_or_empty(j, "version"));
	t->id = str_hash(str_c(t->name), 0);
	t->leaving = !strcmp(string_or_empty(j, "state"), "leaving");
	g_ptr_array_add(f->targets, t);
}

struct peer *fleet_add_peer(struct fleet *f, const struct member_info *info)
{
	struct peer *p = g_new0(struct peer, 1);

	p->name = g_strdup(info->name);
	p->id = str_hash(str_c(p->name), 0);
	p->address = g_strdup(info->address);
	p->control = g_strdup(info->control);
	p->zone = g_strdup(info->zone);
	p->region = g_strdup(info->region);
	g_ptr_array_add(f->peers, p);
	return p;
}

static void add_peer(struct fleet *f, const json_t *j)
{
	const char *address = string_or_empty(j, "address");
	const char *control = string_or_empty(j, "control");
	struct member_info info = {
		.name = (char *)string_or_empty(j, "name"),
		.address = (char *)address,
		.control = (char *)(*control ? control : address),
		.zone = (char *)string_or_empty(j, "zone"),
		.region = (char *)string_or_empty(j, "region"),
	};

	fleet_add_peer(f, &info)->leaving =
		!strcmp(string_or_empty(j, "state"), "leaving");
}

static struct fleet *fleet_new(void)
{
	struct fleet *f = g_atomic_rc_box_new0(struct fleet);

	f->targets = g_ptr_array_new_with_free_func(free_target);
	f->peers = g_ptr_array_new_with_free_func(free_peer);
	return f;
}

static void copy_target(struct fleet *f, const struct target *from)
{
	struct target *t = g_memdup2(from, sizeof(*from));

	t->name = g_strdup(from->name);
	t->pool = g_strdup(from->pool);
	t->address = g_strdup(from->address);
	t->zone = g_strdup(from->zone);
	t->version = g_strdup(from->version);
	g_ptr_array_add(f->targets, t);
}

struct fleet *fleet_copy(const struct fleet *f)
{
	struct fleet *copy = fleet_new();

	copy->asked_ms = f->asked_ms;
	for (guint i = 0; i < f->targets->len; i++)
		copy_target(copy, g_ptr_array_index(f->targets, i));
	for (guint i = 0; i < f->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(f->peers, i);
		struct member_info info = {p->name, p->address, p->control,
					   p->zone, p->region};

		fleet_add_peer(copy, &info)->leaving = p->leaving;
	}
	return copy;
}

struct fleet *fleet_from_instances(const json_t *instances)
{
	struct fleet *f = fleet_new();
	size_t i;
	json_t *j;

	json_array_foreach (instances, i, j) {
		if (!is_usable(j))
			continue;
		if (is_node(j))
			add_peer(f, j);
		else
			add_target(f, j);
	}
	return f;
}

static json_t *instance_json(const char *role, const char *name,
			     const char *pool, const char *address,
			     const char *zone, bool leaving)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "role", role, "name",
			 name, "pool", pool, "address", address, "zone", zone,
			 "state", leaving ? "leaving" : "live");
}

json_t *fleet_to_instances(const struct fleet *f)
{
	json_t *list = json_array();

	for (guint i = 0; i < f->targets->len; i++) {
		const struct target *t = g_ptr_array_index(f->targets, i);

		json_t *j = instance_json("target", t->name, t->pool,
					  t->address, t->zone, t->leaving);

		json_object_set_new(j, "version", json_string(t->version));
		json_array_append_new(list, j);
	}
	for (guint i = 0; i < f->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(f->peers, i);
		json_t *j = instance_json("node", p->name, "", p->address,
					  p->zone, p->leaving);

		json_object_set_new(j, "region", json_string(p->region));
		json_object_set_new(j, "control", json_string(p->control));
		json_array_append_new(list, j);
	}
	return list;
}

struct fleet *fleet_ref(struct fleet *f)
{
	return g_atomic_rc_box_acquire(f);
}

static void free_arrays(void *p)
{
	struct fleet *f = p;

	g_ptr_array_unref(f->targets);
	g_ptr_array_unref(f->peers);
}

void fleet_unref(struct fleet *f)
{
	if (f)
		g_atomic_rc_box_release_full(f, free_arrays);
}

const struct target *fleet_target(const struct fleet *f, const char *name)
{
	for (guint i = 0; i < f->targets->len; i++) {
		const struct target *t = g_ptr_array_index(f->targets, i);

		if (!strcmp(t->name, name))
			return t;
	}
	return NULL;
}

bool fleet_owns_key(const struct fleet *f, const char *name, const char *key)
{
	struct rendezvous_candidate *r =
		g_new0(struct rendezvous_candidate, f->peers->len + 1);
	uint64_t self = str_hash(str_c(name), 0);
	size_t count = 0;
	bool first;

	for (guint i = 0; i < f->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(f->peers, i);

		if (!p->leaving)
			r[count++].id = str_hash(str_c(p->name), 0);
	}
	rendezvous_sort(str_hash(str_c(key), 0), r, count);
	first = count && r[0].id == self;
	g_free(r);
	return first;
}
