/* The rows of the fake's table service, with all their versions. */
#include <string.h>

#include "state/test-fake.h"

static int compare_keys(const void *a, const void *b, void *unused)
{
	(void)unused;
	return strcmp(a, b);
}

static void clear_version(void *p)
{
	json_decref(((struct fake_version *)p)->value);
}

const struct fake_version *fake_version_at(const GArray *a, int64_t revision)
{
	for (guint i = a->len; i-- > 0;) {
		const struct fake_version *v =
			&g_array_index(a, struct fake_version, i);

		if (v->revision <= revision)
			return v->value ? v : NULL;
	}
	return NULL;
}

const struct fake_version *fake_newest(const struct fake *f, const char *key)
{
	const GArray *a = g_tree_lookup(f->rows, key);

	return a ? fake_version_at(a, f->revision) : NULL;
}

json_t *fake_row(const struct fake *f, const char *key)
{
	const struct fake_version *v = fake_newest(f, key);

	return v ? v->value : NULL;
}

void fake_write(struct fake *f, const char *key, json_t *value)
{
	GArray *a = g_tree_lookup(f->rows, key);
	struct fake_version v = {f->revision, json_incref(value)};

	if (!a) {
		a = g_array_new(FALSE, FALSE, sizeof(struct fake_version));
		g_array_set_clear_func(a, clear_version);
		g_tree_insert(f->rows, g_strdup(key), a);
	}
	g_array_append_val(a, v);
}

void fake_commit_rows(struct fake *f, const json_t *rows)
{
	const char *key;
	json_t *v;

	f->revision++;
	json_object_foreach ((json_t *)rows, key, v)
		fake_write(f, key, v);
}

void fake_delete(struct fake *f, const char *key)
{
	fake_write(f, key, NULL);
}

GTree *fake_rows_new(void)
{
	return g_tree_new_full(compare_keys, NULL, g_free,
			       (GDestroyNotify)g_array_unref);
}
