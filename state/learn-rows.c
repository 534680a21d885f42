/*
 * The rows of the current configuration, the changes applied to them, and the
 * answers to peers.
 */
#include "state/learn-internal.h"

int64_t learn_get_int(const json_t *j, const char *field)
{
	return json_integer_value(json_object_get(j, field));
}

/* Add one row, or its last valid value if it is invalid. */
static void add_row(struct learner *l, struct config *c, const char *key,
		    json_t *row)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	json_t *last_valid = json_object_get(l->current.last_valid, key);
	enum resource_kind k;
	const char *name;

	if (!resource_from_key(key, &k, &name)) {
		g_ptr_array_unref(errors);
		return;
	}
	if (config_add(c, k, name, json_object_get(row, "spec"), errors)) {
		json_object_del(l->current.last_valid, key);
	} else if (last_valid) {
		GPtrArray *unused = g_ptr_array_new_with_free_func(g_free);

		config_add(c, k, name, json_object_get(last_valid, "spec"),
			   unused);
		g_ptr_array_unref(unused);
	}
	for (guint i = 0; i < errors->len; i++)
		l->ops.report_invalid_row(l->ops.ctx,
					  g_ptr_array_index(errors, i));
	g_ptr_array_unref(errors);
}

struct config *learn_build_config(struct learner *l)
{
	struct config *c = config_new(l->current.revision);
	const char *key;
	json_t *row;

	json_object_foreach (l->current.rows, key, row)
		add_row(l, c, key, row);
	return c;
}

/*
 * Set a row. The old value is kept until learn_build_config finds that the new
 * one is valid.
 */
static void put_row(struct learner *l, const char *key, json_t *row)
{
	json_t *old = json_object_get(l->current.rows, key);

	if (old && !json_object_get(l->current.last_valid, key))
		json_object_set(l->current.last_valid, key, old);
	json_object_set(l->current.rows, key, row);
}

static void remove_row(struct learner *l, const char *key)
{
	json_object_del(l->current.rows, key);
	json_object_del(l->current.last_valid, key);
}

static void apply_row(struct learner *l, const json_t *change)
{
	const char *name = json_string_value(json_object_get(change, "name"));
	const char *kind = json_string_value(json_object_get(change, "kind"));
	enum resource_kind k = kind ? kind_from_name(kind) : KIND_COUNT;
	json_t *is = json_object_get(change, "is");
	char *key;

	if (!name || k == KIND_COUNT) {
		l->ops.report_invalid_row(l->ops.ctx,
					  "audit row names no known resource");
		return;
	}
	key = resource_key(k, name);
	/* The row of a full read may have this change or a later one. */
	if (learn_get_int(json_object_get(l->current.rows, key), "revision") >=
	    learn_get_int(change, "revision")) {
		g_free(key);
		return;
	}
	if (!is || json_is_null(is)) {
		remove_row(l, key);
	} else {
		json_t *row = json_pack(
			"{s:O,s:I,s:I}", "spec", is, "generation",
			learn_get_int(change, "generation"), "revision",
			learn_get_int(change, "revision"));

		put_row(l, key, row);
		json_decref(row);
	}
	g_free(key);
}

bool learn_apply_change(struct learner *l, json_t *change)
{
	int64_t n = learn_get_int(change, "revision");

	if (n <= l->current.revision)
		return true;
	if (n != l->current.revision + 1)
		return false;
	apply_row(l, change);
	l->current.revision = n;
	g_queue_push_tail(l->changes, json_incref(change));
	if (g_queue_get_length(l->changes) > LEARN_CHANGES_MAX)
		json_decref(g_queue_pop_head(l->changes));
	return true;
}

void learn_discard_changes(struct learner *l)
{
	json_t *j;

	while ((j = g_queue_pop_head(l->changes)))
		json_decref(j);
}

/* Keep the last valid values, in case that rows of the snapshot are invalid. */
static void remember_valid_rows(const struct learner *l, struct snapshot *s)
{
	const char *key;
	json_t *row;

	json_object_foreach (s->rows, key, row) {
		json_t *old = json_object_get(l->current.last_valid, key);

		if (!old)
			old = json_object_get(l->current.rows, key);
		if (old && !json_object_get(s->last_valid, key))
			json_object_set(s->last_valid, key, old);
	}
}

bool learn_adopt_snapshot(struct learner *l, struct snapshot *s)
{
	if (s->revision <= l->current.revision) {
		snapshot_clear(s);
		return false;
	}
	remember_valid_rows(l, s);
	snapshot_clear(&l->current);
	l->current = *s;
	learn_discard_changes(l);
	return true;
}

void learn_discard_all(struct learner *l)
{
	snapshot_clear(&l->current);
	l->current = (struct snapshot){-1, json_object(), json_object()};
	learn_discard_changes(l);
}

json_t *learn_changes_json(const struct learner *l, int64_t after)
{
	json_t *list;
	const json_t *oldest = g_queue_peek_head(l->changes);

	if (l->published < 0)
		return NULL;
	if (after < l->published &&
	    (!oldest || learn_get_int(oldest, "revision") > after + 1))
		return json_pack("{s:I,s:b}", "revision", l->published, "gap",
				 1);
	list = json_array();
	for (GList *i = l->changes->head; i; i = i->next) {
		int64_t n = learn_get_int(i->data, "revision");

		if (n > after && n <= l->published)
			json_array_append(list, i->data);
	}
	return json_pack("{s:I,s:o}", "revision", l->published, "changes",
			 list);
}

json_t *learn_snapshot_json(const struct learner *l)
{
	if (l->published < 0 || !l->consistent)
		return NULL;
	return json_pack("{s:I,s:O,s:O}", "revision", l->current.revision,
			 "rows", l->current.rows, "before",
			 l->current.last_valid);
}
