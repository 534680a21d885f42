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

/* Takes the reference. A revision older than the one held is dropped. */
void node_set_config(struct node *n, struct config *c)
{
	struct config *old;

	g_mutex_lock(&n->lock);
	old = n->config;
	if (old && old->revision >= c->revision)
		old = c;
	else
		n->config = c;
	g_mutex_unlock(&n->lock);
	if (old != c) {
		metric_set(M_CONFIG_REVISION, c->revision);
		log_event(EV_CONFIG_APPLIED, "revision=%" G_GINT64_FORMAT,
			  c->revision);
	}
	config_unref(old);
}

/* Takes the reference. */
void node_set_fleet(struct node *n, struct fleet *f)
{
	struct fleet *old;

	g_mutex_lock(&n->lock);
	old = n->fleet;
	n->fleet = f;
	g_mutex_unlock(&n->lock);
	fleet_unref(old);
}
