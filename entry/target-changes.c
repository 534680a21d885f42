/* Changes of targets, for the log. */
#include <stdio.h>
#include <string.h>

#include "entry/target-changes.h"

/*
 * Most lines of one call, which may have to name all targets of a large fleet;
 * the last one counts the targets that were left out.
 */
#define LINES_MAX 20
/* Most bytes of the targets in a line, within the limit of log_event. */
#define LINE_TARGETS_BYTES 850
/* Most changes that are kept; each takes a line at worst. */
#define CHANGES_MAX 4096

struct target_changes {
	GArray *v;     /* struct target_change */
	int not_kept;  /* beyond CHANGES_MAX */
	GString *line; /* the targets of the line being made */
};

struct source_name source_name(uint64_t node)
{
	struct source_name n = {"store"};

	if (node)
		snprintf(n.s, sizeof(n.s), "%" G_GINT64_MODIFIER "x", node);
	return n;
}

static void clear_change(void *p)
{
	g_free((char *)((struct target_change *)p)->key);
}

struct target_changes *target_changes_new(void)
{
	struct target_changes *c = g_new0(struct target_changes, 1);

	c->v = g_array_new(false, false, sizeof(struct target_change));
	g_array_set_clear_func(c->v, clear_change);
	c->line = g_string_new(NULL);
	return c;
}

void target_changes_free(struct target_changes *c)
{
	g_array_unref(c->v);
	g_string_free(c->line, TRUE);
	g_free(c);
}

enum target_state target_state_after(const struct target_info *before,
				     const struct target_info *after)
{
	if (!after)
		return TARGET_REMOVED;
	if (!before)
		return after->draining ? TARGET_DRAINING : TARGET_ADDED;
	if (before->draining != after->draining)
		return after->draining ? TARGET_DRAINING : TARGET_READY;
	return before->id != after->id ? TARGET_REPLACED : TARGET_MODIFIED;
}

void target_changes_add(struct target_changes *c,
			const struct target_change *change)
{
	struct target_change kept = *change;

	if (c->v->len >= CHANGES_MAX) {
		c->not_kept++;
		return;
	}
	kept.key = g_strdup(change->key);
	g_array_append_val(c->v, kept);
}

static int compare(int64_t a, int64_t b)
{
	return a < b ? -1 : a > b;
}

/* Order by what a line has in common. */
static int compare_groups(const struct target_change *a,
			  const struct target_change *b)
{
	int by[] = {
		compare(a->known_revision != 0, b->known_revision != 0),
		compare(a->state, b->state),
		compare((int64_t)a->source.node, (int64_t)b->source.node),
		compare(a->noticed, b->noticed),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(by); i++)
		if (by[i])
			return by[i];
	return 0;
}

static int compare_changes(gconstpointer a, gconstpointer b)
{
	const struct target_change *x = a, *y = b;
	int by_group = compare_groups(x, y);

	return by_group ? by_group : strcmp(x->key, y->key);
}

static void append_target(GString *s, const struct target_change *change)
{
	g_string_append_printf(s, "%s%s:%" G_GINT64_FORMAT, s->len ? "," : "",
			       change->key, change->source.revision);
	if (change->known_revision)
		g_string_append_printf(s, ":%" G_GINT64_FORMAT,
				       change->known_revision);
}

/* Log one line of targets from index i; return the index after the last. */
static guint log_line(struct target_changes *c, guint i, bool last_line,
		      int64_t list_age_ms)
{
	static const char *const names[] = {
		[TARGET_ADDED] = "added",       [TARGET_READY] = "ready",
		[TARGET_DRAINING] = "draining", [TARGET_REPLACED] = "replaced",
		[TARGET_MODIFIED] = "modified", [TARGET_REMOVED] = "removed",
	};
	const struct target_change *v = (const void *)c->v->data;
	const struct target_change *first = &v[i];
	int left_out = c->not_kept;

	g_string_truncate(c->line, 0);
	while (i < c->v->len && !compare_groups(first, &v[i]) &&
	       (!c->line->len ||
		c->line->len + strlen(v[i].key) < LINE_TARGETS_BYTES))
		append_target(c->line, &v[i++]);
	if (last_line)
		left_out += (int)(c->v->len - i);
	log_event(EV_TARGET_STATES,
		  "state=%s%s source=%s store_revision=%" G_GINT64_FORMAT
		  " list_age_ms=%d left_out=%d targets=%s",
		  first->known_revision ? "ignored_" : "", names[first->state],
		  source_name(first->source.node).s, first->noticed,
		  (int)list_age_ms, left_out, c->line->str);
	c->not_kept = 0;
	return i;
}

void target_changes_log(struct target_changes *c, int64_t list_age_ms)
{
	guint at = 0;

	g_array_sort(c->v, compare_changes);
	for (int line = 1; at < c->v->len && line <= LINES_MAX; line++)
		at = log_line(c, at, line == LINES_MAX, list_age_ms);
	g_array_set_size(c->v, 0);
}
