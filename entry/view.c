/*
 * Immutable views: configuration, list of targets and list of peers. Both
 * threads share them by reference counts; each view is freed with its talloc
 * context.
 */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "entry/entry.h"

/* Define TYPE_new, TYPE_ref and TYPE_unref of a list of struct ITEM. */
#define LIST_FUNCTIONS(type, item)                                             \
	struct type *type##_new(size_t n)                                      \
	{                                                                      \
		struct type *l = talloc_zero(NULL, struct type);               \
                                                                               \
		l->arena = l;                                                  \
		l->refs = 1;                                                   \
		l->v = talloc_zero_array(l, struct item, n ? n : 1);           \
		return l;                                                      \
	}                                                                      \
	struct type *type##_ref(struct type *l)                                \
	{                                                                      \
		atomic_fetch_add(&l->refs, 1);                                 \
		return l;                                                      \
	}                                                                      \
	void type##_unref(struct type *l)                                      \
	{                                                                      \
		if (l && atomic_fetch_sub(&l->refs, 1) == 1)                   \
			talloc_free(l);                                        \
	}

LIST_FUNCTIONS(target_list, target_info)
LIST_FUNCTIONS(peer_list, entry_peer)

struct entry_config *entry_config_new(void)
{
	struct entry_config *c = talloc_zero(NULL, struct entry_config);

	c->arena = c;
	c->refs = 1;
	c->keys = g_hash_table_new(str_key_hash, str_key_equal);
	c->hosts = g_hash_table_new_full(str_key_hash, str_key_equal, NULL,
					 (GDestroyNotify)g_ptr_array_unref);
	return c;
}

struct entry_config *entry_config_ref(struct entry_config *c)
{
	atomic_fetch_add(&c->refs, 1);
	return c;
}

int64_t entry_config_fresh_ms(const struct entry_config *c)
{
	return c ? atomic_load(&c->fresh_ms) : 0;
}

void entry_config_unref(struct entry_config *c)
{
	if (!c || atomic_fetch_sub(&c->refs, 1) != 1)
		return;
	g_hash_table_unref(c->keys);
	g_hash_table_unref(c->hosts);
	talloc_free(c);
}

/* Order routes by the length of their paths, longest first. */
static int compare_path_len(gconstpointer a, gconstpointer b)
{
	const struct route_rule *x = *(const struct route_rule *const *)a;
	const struct route_rule *y = *(const struct route_rule *const *)b;

	return x->path.len < y->path.len   ? 1
	       : x->path.len > y->path.len ? -1
					   : 0;
}

void entry_config_index(struct entry_config *c)
{
	GHashTableIter it;
	gpointer list;

	for (size_t i = 0; i < c->route_count; i++) {
		struct route_rule *r = &c->routes[i];
		GPtrArray *a = g_hash_table_lookup(c->hosts, &r->host);

		if (!a) {
			a = g_ptr_array_new();
			g_hash_table_insert(c->hosts, &r->host, a);
		}
		g_ptr_array_add(a, r);
	}
	g_hash_table_iter_init(&it, c->hosts);
	while (g_hash_table_iter_next(&it, NULL, &list))
		g_ptr_array_sort(list, compare_path_len);
}

const struct route_rule *entry_config_route(const struct entry_config *c,
					    struct str host, struct str path)
{
	GPtrArray *a = g_hash_table_lookup(c->hosts, &host);

	for (guint i = 0; a && i < a->len; i++) {
		const struct route_rule *r = g_ptr_array_index(a, i);

		if (path.len >= r->path.len &&
		    !memcmp(path.data, r->path.data, r->path.len))
			return r;
	}
	return NULL;
}

const struct entry_organisation *
entry_config_key_owner(const struct entry_config *c, struct str key)
{
	return key.len ? g_hash_table_lookup(c->keys, &key) : NULL;
}

uint64_t target_info_hash(const struct target_info *t)
{
	uint64_t h = str_hash(t->service, t->id);

	h = str_hash(t->version, h);
	h = str_hash((struct str){(const char *)&t->address.sin_addr,
				  sizeof(t->address.sin_addr)},
		     h + t->address.sin_port);
	/*
	 * A bitwise complement for draining targets would not do: two targets
	 * that begin to drain at once would cancel out in the list's hash.
	 */
	return str_hash(t->draining ? STR_LIT("leaving") : STR_LIT("ready"), h);
}
