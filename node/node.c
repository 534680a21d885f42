/*
 * Access to the parts of struct node that all threads share: the configuration
 * and fleet in force, the observations and the count of requests.
 */
#include <string.h>

#include "node/node.h"

struct config *node_config(struct node *n)
{
	struct config *c;

	g_mutex_lock(&n->lock);
	c = n->config ? config_ref(n->config) : NULL;
	g_mutex_unlock(&n->lock);
	return c;
}

struct fleet *node_fleet(struct node *n)
{
	struct fleet *f;

	g_mutex_lock(&n->lock);
	f = n->fleet ? fleet_ref(n->fleet) : NULL;
	g_mutex_unlock(&n->lock);
	return f;
}

/* The lock is held. */
static void record_applied(struct node *n, int64_t revision)
{
	if (n->applied_count == APPLIED_REVISIONS_MAX)
		memmove(n->applied, n->applied + 1,
			--n->applied_count * sizeof(n->applied[0]));
	n->applied[n->applied_count++] =
		(struct applied_revision){revision, time_now_ms()};
}

int64_t node_in_force_since(struct node *n, int64_t revision)
{
	int64_t since = 0;

	g_mutex_lock(&n->lock);
	for (unsigned i = n->applied_count; i-- > 0;) {
		if (n->applied[i].revision < revision)
			break;
		since = n->applied[i].at_ms;
	}
	g_mutex_unlock(&n->lock);
	return since;
}

void node_set_config(struct node *n, struct config *c)
{
	struct config *old;

	g_mutex_lock(&n->lock);
	old = n->config;
	if (old && old->revision >= c->revision)
		old = c;
	else
		n->config = c;
	if (old != c)
		record_applied(n, c->revision);
	g_mutex_unlock(&n->lock);
	if (old != c) {
		metric_set(M_CONFIG_REVISION, c->revision);
		log_event(EV_CONFIG_APPLIED, "revision=%" G_GINT64_FORMAT,
			  c->revision);
	}
	config_unref(old);
}

/* Return the log event for a target's state. */
static enum log_event_id target_event_id(const struct target *t)
{
	if (t->leaving)
		return EV_TARGET_LEAVING;
	return t->down ? EV_TARGET_DOWN : EV_TARGET_UP;
}

/* Log each target whose state has changed or that is new. */
static void log_target_changes(const struct fleet *old, const struct fleet *now)
{
	GHashTable *before = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; old && i < old->targets->len; i++) {
		struct target *t = g_ptr_array_index(old->targets, i);

		g_hash_table_replace(before, t->name, t);
	}
	for (guint i = 0; i < now->targets->len; i++) {
		const struct target *t = g_ptr_array_index(now->targets, i);
		const struct target *was = g_hash_table_lookup(before, t->name);

		if (!was || target_event_id(was) != target_event_id(t))
			log_event(target_event_id(t), "target=%s address=%s",
				  t->name, t->address);
	}
	g_hash_table_unref(before);
}

static bool lists_peer(const struct fleet *f, const char *name)
{
	for (guint i = 0; f && i < f->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(f->peers, i);

		if (!strcmp(p->name, name))
			return true;
	}
	return false;
}

void node_set_fleet(struct node *n, struct fleet *f)
{
	struct fleet *old;

	f->lists_self = lists_peer(n->listed_fleet, n->set.node_name);
	g_mutex_lock(&n->lock);
	old = n->fleet;
	n->fleet = fleet_ref(f);
	g_mutex_unlock(&n->lock);
	log_target_changes(old, f);
	fleet_unref(f);
	fleet_unref(old);
}

void node_set_listed_fleet(struct node *n, struct fleet *f, int64_t asked_ms)
{
	if (n->listed_fleet && asked_ms <= n->listed_fleet->asked_ms) {
		fleet_unref(f);
		return;
	}
	f->asked_ms = asked_ms;
	fleet_unref(n->listed_fleet);
	n->listed_fleet = f;
	n->listed_version++;
}

void node_observe_target(struct node *n, const char *target,
			 enum target_observation observation)
{
	struct target_event *e = g_new(struct target_event, 1);

	*e = (struct target_event){g_strdup(target), observation};
	g_async_queue_push(n->target_events, e);
}

void node_add_running(struct node *n, int delta)
{
	atomic_fetch_add(&n->running, delta);
	metric_add(M_REQUESTS_RUNNING, delta);
}
