/*
 * Which software versions all other nodes know of, and which of them they have
 * to be told of. See version-gate.h.
 */
#include <glib.h>

#include "base/base.h"
#include "entry/version-gate.h"

/* Nodes that have not confirmed a version are told again after this time. */
#define RESEND_MS 100
/* The same once streams begin there. */
#define RESEND_OPEN_MS 1000

struct gate {
	uint64_t version, service;
	bool open;
	bool opened_here; /* the other nodes have to be told that it is open */
	bool done;        /* no node has to be told any more */
	int64_t opens_at_ms;
	int64_t listed_since_ms; /* 0: it is not */
	int64_t send_at_ms;
	GHashTable *nodes; /* ids of those that have confirmed it */
};

struct version_gate {
	GHashTable *v; /* version -> struct gate */
};

static void gate_free(void *p)
{
	struct gate *e = p;

	g_hash_table_unref(e->nodes);
	g_free(e);
}

struct version_gate *version_gate_new(void)
{
	struct version_gate *g = g_new0(struct version_gate, 1);

	g->v = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				     gate_free);
	return g;
}

void version_gate_free(struct version_gate *g)
{
	g_hash_table_unref(g->v);
	g_free(g);
}

static struct gate *find(const struct version_gate *g, uint64_t version)
{
	return g_hash_table_lookup(g->v, &version);
}

void version_gate_add(struct version_gate *g, uint64_t service,
		      uint64_t version, int64_t now_ms)
{
	struct gate *e = find(g, version);

	if (e)
		return;
	e = g_new0(struct gate, 1);
	e->version = version;
	e->service = service;
	e->opens_at_ms = now_ms + VERSION_GATE_MS;
	e->nodes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
	g_hash_table_insert(g->v, &e->version, e);
}

void version_gate_set_listed(struct version_gate *g, uint64_t version,
			     bool listed, int64_t now_ms)
{
	struct gate *e = find(g, version);

	if (!e)
		return;
	if (!listed)
		e->listed_since_ms = 0;
	else if (!e->listed_since_ms)
		e->listed_since_ms = now_ms;
}

void version_gate_drop(struct version_gate *g, uint64_t version)
{
	g_hash_table_remove(g->v, &version);
}

bool version_gate_open(struct version_gate *g, uint64_t version)
{
	struct gate *e = find(g, version);

	if (!e || e->open)
		return false;
	e->open = e->done = true;
	return true;
}

bool version_gate_is_open(const struct version_gate *g, uint64_t version)
{
	const struct gate *e = find(g, version);

	return e && e->open;
}

static void log_open(const struct gate *e, const char *why, int64_t now_ms)
{
	log_event(EV_VERSION_KNOWN,
		  "version_id=%" G_GINT64_MODIFIER "x why=%s ms=%d nodes=%u",
		  e->version, why,
		  (int)(now_ms - e->opens_at_ms + VERSION_GATE_MS),
		  g_hash_table_size(e->nodes));
}

bool version_gate_confirm(struct version_gate *g, uint64_t version,
			  uint64_t node, bool open, int64_t now_ms)
{
	struct gate *e = find(g, version);

	if (!e)
		return false;
	if (!g_hash_table_contains(e->nodes, &node))
		g_hash_table_add(e->nodes, g_memdup2(&node, sizeof(node)));
	if (!open || e->open)
		return false;
	/* That node tells the others. */
	e->open = e->done = true;
	log_open(e, "node", now_ms);
	return true;
}

static bool all_have_confirmed(const struct gate *e, const uint64_t *nodes,
			       size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (!g_hash_table_contains(e->nodes, &nodes[i]))
			return false;
	return nodes != NULL;
}

/* Whether streams may begin though some nodes have not confirmed. */
static bool has_waited(const struct gate *e, int64_t list_confirmed_ms,
		       int64_t now_ms)
{
	return now_ms >= e->opens_at_ms && e->listed_since_ms &&
	       list_confirmed_ms - e->listed_since_ms >= LIST_FRESH_MS;
}

bool version_gate_check(struct version_gate *g, const uint64_t *nodes, size_t n,
			int64_t list_confirmed_ms, int64_t now_ms)
{
	bool opened = false;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, g->v);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct gate *e = p;
		bool all = all_have_confirmed(e, nodes, n);

		if (e->open ||
		    !(all || has_waited(e, list_confirmed_ms, now_ms)))
			continue;
		e->open = e->opened_here = opened = true;
		e->send_at_ms = 0;
		log_open(e, all ? "confirmed" : "time", now_ms);
	}
	return opened;
}

static bool is_due(const struct gate *e, int64_t now_ms)
{
	return e->listed_since_ms && !e->done && now_ms >= e->send_at_ms;
}

bool version_gate_has_due(const struct version_gate *g, int64_t now_ms)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, g->v);
	while (g_hash_table_iter_next(&it, NULL, &p))
		if (is_due(p, now_ms))
			return true;
	return false;
}

size_t version_gate_take_due(struct version_gate *g, const uint64_t *nodes,
			     size_t n, int64_t now_ms, struct version_news *out,
			     size_t max)
{
	GHashTableIter it;
	size_t taken = 0;
	gpointer p;

	g_hash_table_iter_init(&it, g->v);
	while (taken < max && g_hash_table_iter_next(&it, NULL, &p)) {
		struct gate *e = p;

		if (!is_due(e, now_ms))
			continue;
		e->send_at_ms = now_ms + (e->open ? RESEND_OPEN_MS : RESEND_MS);
		out[taken++] = (struct version_news){e->service, e->version,
						     e->open, e->opened_here};
		e->opened_here = false;
		e->done = e->open && all_have_confirmed(e, nodes, n);
	}
	return taken;
}

bool version_gate_has_confirmed(const struct version_gate *g, uint64_t version,
				uint64_t node)
{
	const struct gate *e = find(g, version);

	return e && g_hash_table_contains(e->nodes, &node);
}
