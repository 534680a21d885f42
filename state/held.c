/* What a node holds of the configuration, and how changes alter it. */
#include "state/learn-priv.h"

int64_t learn_number(const json_t *j, const char *field)
{
	return json_integer_value(json_object_get(j, field));
}

/* Add one row, or the value before it when it can't be read. */
static void add_row(struct learn *l, struct config *c, const char *key,
		    json_t *row)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	json_t *before = json_object_get(l->held.before, key);
	enum resource_kind k;
	const char *name;

	if (!resource_from_key(key, &k, &name)) {
		g_ptr_array_unref(errors);
		return;
	}
	if (config_add(c, k, name, json_object_get(row, "spec"), errors)) {
		json_object_del(l->held.before, key);
	} else if (before) {
		GPtrArray *unused = g_ptr_array_new_with_free_func(g_free);

		config_add(c, k, name, json_object_get(before, "spec"), unused);
		g_ptr_array_unref(unused);
	}
	for (guint i = 0; i < errors->len; i++)
		l->ops.unreadable(l->ops.ctx, g_ptr_array_index(errors, i));
	g_ptr_array_unref(errors);
}

struct config *held_build(struct learn *l)
{
	struct config *c = config_new(l->held.revision);
	const char *key;
	json_t *row;

	json_object_foreach (l->held.rows, key, row)
		add_row(l, c, key, row);
	return c;
}

/* Keep what a row was while its new value is checked. */
static void put_row(struct learn *l, const char *key, json_t *row)
{
	json_t *old = json_object_get(l->held.rows, key);

	if (old && !json_object_get(l->held.before, key))
		json_object_set(l->held.before, key, old);
	json_object_set(l->held.rows, key, row);
}

static void remove_row(struct learn *l, const char *key)
{
	json_object_del(l->held.rows, key);
	json_object_del(l->held.before, key);
}

static void apply_row(struct learn *l, const json_t *change)
{
	const char *name = json_string_value(json_object_get(change, "name"));
	const char *kind = json_string_value(json_object_get(change, "kind"));
	enum resource_kind k = kind ? kind_from_name(kind) : KIND_COUNT;
	json_t *is = json_object_get(change, "is");
	char *key;

	if (!name || k == KIND_COUNT) {
		l->ops.unreadable(l->ops.ctx, "a change names no resource");
		return;
	}
	key = resource_key(k, name);
	/* A full read may already have seen a later change of the row. */
	if (learn_number(json_object_get(l->held.rows, key), "revision") >=
	    learn_number(change, "revision")) {
		g_free(key);
		return;
	}
	if (!is || json_is_null(is)) {
		remove_row(l, key);
	} else {
		json_t *row =
			json_pack("{s:O,s:I,s:I}", "spec", is, "generation",
				  learn_number(change, "generation"),
				  "revision", learn_number(change, "revision"));

		put_row(l, key, row);
		json_decref(row);
	}
	g_free(key);
}

/*
 * Apply a change that follows the last one.
 *
 * Return: false when there is a gap before it.
 */
bool held_apply(struct learn *l, json_t *change)
{
	int64_t n = learn_number(change, "revision");

	if (n <= l->held.revision)
		return true;
	if (n != l->held.revision + 1)
		return false;
	apply_row(l, change);
	l->held.revision = n;
	g_queue_push_tail(l->changes, json_incref(change));
	if (g_queue_get_length(l->changes) > LEARN_CHANGES_MAX)
		json_decref(g_queue_pop_head(l->changes));
	return true;
}

void held_drop_changes(struct learn *l)
{
	json_t *j;

	while ((j = g_queue_pop_head(l->changes)))
		json_decref(j);
}

/* What is held of the rows may be needed if the new ones can't be read. */
static void remember(const struct learn *l, struct snapshot *s)
{
	const char *key;
	json_t *row;

	json_object_foreach (s->rows, key, row) {
		json_t *old = json_object_get(l->held.before, key);

		if (!old)
			old = json_object_get(l->held.rows, key);
		if (old && !json_object_get(s->before, key))
			json_object_set(s->before, key, old);
	}
}

/* Take over everything of a newer revision; takes the references. */
bool held_adopt(struct learn *l, struct snapshot *s)
{
	if (s->revision <= l->held.revision) {
		snapshot_clear(s);
		return false;
	}
	remember(l, s);
	snapshot_clear(&l->held);
	l->held = *s;
	held_drop_changes(l);
	return true;
}

void held_drop(struct learn *l)
{
	snapshot_clear(&l->held);
	l->held = (struct snapshot){-1, json_object(), json_object()};
	held_drop_changes(l);
}

json_t *learn_changes(const struct learn *l, int64_t after)
{
	json_t *list;
	const json_t *oldest = g_queue_peek_head(l->changes);

	if (l->published < 0)
		return NULL;
	if (after < l->published &&
	    (!oldest || learn_number(oldest, "revision") > after + 1))
		return json_pack("{s:I,s:b}", "revision", l->published, "gap",
				 1);
	list = json_array();
	for (GList *i = l->changes->head; i; i = i->next) {
		int64_t n = learn_number(i->data, "revision");

		if (n > after && n <= l->published)
			json_array_append(list, i->data);
	}
	return json_pack("{s:I,s:o}", "revision", l->published, "changes",
			 list);
}

json_t *learn_whole(const struct learn *l)
{
	if (l->published < 0 || !l->whole)
		return NULL;
	return json_pack("{s:I,s:O,s:O}", "revision", l->held.revision, "rows",
			 l->held.rows, "before", l->held.before);
}
