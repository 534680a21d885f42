/*
 * Sums of the requests in progress at each target, as the relays of a large
 * fleet keep them. Each node reports its own requests to one relay; the relays
 * send each other the sums over their nodes; and each node gets the total of
 * the others in reply to its report. Pure state, control thread only.
 */
#include <string.h>

#include "entry/load-relay.h"

/* A node or relay that has sent nothing for this long counts as gone. */
#define SENDER_TTL_MS 1200
/* The total is computed at most this often. */
#define TOTAL_INTERVAL_MS 40
#define COUNT_MAX         255

/* What a node or a relay has sent last. */
struct sender {
	uint64_t start, seq;
	int64_t received_ms;
	GHashTable *counts; /* low 32 bits of the target's id -> requests */
};

struct load_relay {
	GHashTable *nodes;   /* id -> struct sender: the nodes of this relay */
	GHashTable *relays;  /* id -> struct sender: sums of other relays */
	GHashTable *total;   /* target -> requests of all */
	int64_t total_at_ms; /* when total is computed anew */
};

static void sender_free(void *p)
{
	struct sender *s = p;

	g_hash_table_unref(s->counts);
	g_free(s);
}

static GHashTable *senders_new(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				     sender_free);
}

struct load_relay *load_relay_new(void)
{
	struct load_relay *r = g_new0(struct load_relay, 1);

	r->nodes = senders_new();
	r->relays = senders_new();
	r->total = g_hash_table_new(NULL, NULL);
	return r;
}

void load_relay_free(struct load_relay *r)
{
	g_hash_table_unref(r->nodes);
	g_hash_table_unref(r->relays);
	g_hash_table_unref(r->total);
	g_free(r);
}

static int count_of(GHashTable *counts, uint32_t target)
{
	return GPOINTER_TO_INT(
		g_hash_table_lookup(counts, GUINT_TO_POINTER(target)));
}

static void set_count(GHashTable *counts, uint32_t target, int n)
{
	if (n > 0)
		g_hash_table_insert(counts, GUINT_TO_POINTER(target),
				    GINT_TO_POINTER(n));
	else
		g_hash_table_remove(counts, GUINT_TO_POINTER(target));
}

/* Which part of a table, and of how many. */
struct part {
	uint32_t index, count;
};

static gboolean is_of_part(gpointer target, gpointer n, gpointer part)
{
	const struct part *p = part;

	(void)n;
	return GPOINTER_TO_UINT(target) % p->count == p->index;
}

bool load_table_decode(const struct load_table *t, GHashTable *counts)
{
	const uint8_t *p = (const uint8_t *)t->entries.entries_val;
	struct part part = {t->part, t->parts};

	if (!part.count || part.index >= part.count ||
	    t->entries.entries_len % LOAD_TABLE_ENTRY_BYTES)
		return false;
	g_hash_table_foreach_remove(counts, is_of_part, &part);
	for (u_int i = 0; i < t->entries.entries_len;
	     i += LOAD_TABLE_ENTRY_BYTES) {
		uint32_t target;

		memcpy(&target, p + i, sizeof(target));
		set_count(counts, g_ntohl(target), p[i + sizeof(target)]);
	}
	return true;
}

/* Append a target's count; false when there is no room. */
static bool append_entry(struct load_table *t, uint32_t target, int n)
{
	char *p = t->entries.entries_val + t->entries.entries_len;
	uint32_t id = g_htonl(target);

	if (t->entries.entries_len + LOAD_TABLE_ENTRY_BYTES >
	    LOAD_TABLE_BYTES_MAX)
		return false;
	memcpy(p, &id, sizeof(id));
	p[sizeof(id)] = (char)MIN(n, COUNT_MAX);
	t->entries.entries_len += LOAD_TABLE_ENTRY_BYTES;
	return true;
}

uint32_t load_table_parts(size_t targets)
{
	/* Ids spread evenly, but not exactly: leave a fifth of the room. */
	size_t room = LOAD_TABLE_BYTES_MAX / LOAD_TABLE_ENTRY_BYTES * 4 / 5;

	return targets <= room / 4 * 5
		       ? 1
		       : (uint32_t)((targets + room - 1) / room);
}

void load_table_encode(GHashTable *counts, GHashTable *except,
		       struct load_table *t)
{
	struct part part = {t->part, t->parts};
	GHashTableIter it;
	gpointer target, n;

	t->entries.entries_len = 0;
	g_hash_table_iter_init(&it, counts);
	while (g_hash_table_iter_next(&it, &target, &n)) {
		uint32_t id = GPOINTER_TO_UINT(target);
		int rest = GPOINTER_TO_INT(n);

		if (!is_of_part(target, n, &part))
			continue;
		if (except)
			rest -= count_of(except, id);
		if (rest > 0 && !append_entry(t, id, rest))
			return;
	}
}

bool load_relay_receive(struct load_relay *r, bool from_relay,
			const struct load_table *t, int64_t now_ms)
{
	GHashTable *senders = from_relay ? r->relays : r->nodes;
	uint64_t node = t->node;
	struct sender *s = g_hash_table_lookup(senders, &node);

	if (!s) {
		s = g_new0(struct sender, 1);
		s->counts = g_hash_table_new(NULL, NULL);
		g_hash_table_insert(senders, g_memdup2(&node, sizeof(node)), s);
	}
	/* Datagrams may arrive out of order; parts have the same number. */
	if (t->start < s->start || (t->start == s->start && t->seq < s->seq))
		return true;
	if (!load_table_decode(t, s->counts))
		return false;
	s->start = t->start;
	s->seq = t->seq;
	s->received_ms = now_ms;
	return true;
}

/* Add the counts of all senders, and forget those that are gone. */
static void add_senders(GHashTable *senders, GHashTable *sums, int64_t now_ms)
{
	GHashTableIter it, each;
	gpointer v, target, n;

	g_hash_table_iter_init(&it, senders);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct sender *s = v;

		if (now_ms - s->received_ms > SENDER_TTL_MS) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		g_hash_table_iter_init(&each, s->counts);
		while (g_hash_table_iter_next(&each, &target, &n))
			set_count(sums, GPOINTER_TO_UINT(target),
				  count_of(sums, GPOINTER_TO_UINT(target)) +
					  GPOINTER_TO_INT(n));
	}
}

GHashTable *load_relay_group(struct load_relay *r, int64_t now_ms)
{
	GHashTable *sums = g_hash_table_new(NULL, NULL);

	add_senders(r->nodes, sums, now_ms);
	return sums;
}

GHashTable *load_relay_total(struct load_relay *r, int64_t now_ms)
{
	if (now_ms < r->total_at_ms)
		return r->total;
	r->total_at_ms = now_ms + TOTAL_INTERVAL_MS;
	g_hash_table_remove_all(r->total);
	add_senders(r->nodes, r->total, now_ms);
	add_senders(r->relays, r->total, now_ms);
	return r->total;
}

GHashTable *load_relay_counts_of(struct load_relay *r, uint64_t node)
{
	struct sender *s = g_hash_table_lookup(r->nodes, &node);

	return s ? s->counts : NULL;
}
