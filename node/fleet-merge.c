/*
 * Merges the platform's instance list with the membership, and orders the nodes
 * that are offered to a caller.
 */
#include <math.h>
#include <string.h>

#include "node/gossip.h"

static struct peer *find_peer(const struct fleet *f, const char *name)
{
	for (guint i = 0; i < f->peers->len; i++) {
		struct peer *p = g_ptr_array_index(f->peers, i);

		if (!strcmp(p->name, name))
			return p;
	}
	return NULL;
}

static void replace_string(char **to, const char *from)
{
	if (!strcmp(*to, from))
		return;
	g_free(*to);
	*to = g_strdup(from);
}

static void merge_peer(struct fleet *f, const struct member *m,
		       const struct member_peer *seen)
{
	struct peer *p = find_peer(f, seen->info.name);
	bool is_up =
		seen->state == MEMBER_LIVE || seen->state == MEMBER_SUSPECT;

	if (!p && !is_up)
		return;
	if (!p)
		p = fleet_add_peer(f, &seen->info);
	p->state = seen->state;
	p->incarnation = seen->incarnation;
	/*
	 * The list may still hold the address of an earlier process of that
	 * name.
	 */
	if (seen->incarnation && strcmp(p->address, seen->info.address)) {
		replace_string(&p->address, seen->info.address);
		replace_string(&p->control, seen->info.control);
		p->leaving = false;
	}
	p->leaving = p->leaving || seen->leaving;
	member_node_load(m, seen->id, ENTRY_POOL, &p->running);
}

static void merge_target(struct target *t, const struct member *m,
			 int64_t now_ms)
{
	enum target_health_state v = member_target_health(m, now_ms, t->name);

	t->leaving = t->leaving || v == TARGET_HEALTH_LEAVING;
	t->down = v == TARGET_HEALTH_DOWN || v == TARGET_HEALTH_FLAPPING;
}

/*
 * Clear the down mark in pools without any target that is up; see fleet_merge.
 */
static void clear_down_in_failed_pools(struct fleet *f)
{
	GHashTable *up = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < f->targets->len; i++) {
		struct target *t = g_ptr_array_index(f->targets, i);

		if (!t->leaving && !t->down)
			g_hash_table_add(up, t->pool);
	}
	for (guint i = 0; i < f->targets->len; i++) {
		struct target *t = g_ptr_array_index(f->targets, i);

		t->down = t->down && g_hash_table_contains(up, t->pool);
	}
	g_hash_table_unref(up);
}

struct fleet *fleet_merge(const struct fleet *listed, const struct member *m,
			  int64_t now_ms)
{
	struct fleet *f = fleet_copy(listed);

	for (guint i = 0; i < f->targets->len; i++)
		merge_target(g_ptr_array_index(f->targets, i), m, now_ms);
	clear_down_in_failed_pools(f);
	for (size_t i = 0; i < member_count(m); i++)
		merge_peer(f, m, member_at(m, i));
	member_count_live(m, &f->nodes_live, &f->nodes_known);
	return f;
}

/* A node to offer; sorted by rank, then by score, lowest first. */
struct candidate {
	const struct peer *peer;
	int rank;
	double score;
};

/* Rank by zone, then by region; suspected nodes come after all others. */
static int zone_rank(const struct peer *p, const struct entries_query *q)
{
	int suspect = p->state == MEMBER_SUSPECT ? 3 : 0;

	if (!strcmp(p->zone, q->zone))
		return suspect;
	return suspect + (strcmp(p->region, q->region) ? 2 : 1);
}

static int compare_candidates(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	return x->score < y->score ? -1 : x->score > y->score;
}

static double mean_running(const struct fleet *f)
{
	double sum = 0;

	for (guint i = 0; i < f->peers->len; i++)
		sum += ((const struct peer *)g_ptr_array_index(f->peers, i))
			       ->running;
	return f->peers->len ? sum / f->peers->len : 0;
}

GPtrArray *entries_order(const struct fleet *f, const struct entries_query *q)
{
	struct candidate *c = g_new(struct candidate, f->peers->len + 1);
	GPtrArray *order = g_ptr_array_new();
	double mean = mean_running(f);
	size_t n = 0;

	for (guint i = 0; i < f->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(f->peers, i);
		/*
		 * Scores are exponential variates with the load as mean: the
		 * chance to come first is proportional to the inverse of the
		 * load.
		 */
		double load = (1 + p->running) / (1 + mean);

		if (p->leaving || p->state == MEMBER_DEAD ||
		    p->state == MEMBER_LEFT)
			continue;
		c[n++] = (struct candidate){
			.peer = p,
			.rank = zone_rank(p, q),
			.score = -log(q->random(q->ctx)) * load,
		};
	}
	qsort(c, n, sizeof(*c), compare_candidates);
	for (size_t i = 0; i < n; i++)
		g_ptr_array_add(order, (gpointer)c[i].peer);
	g_free(c);
	return order;
}
