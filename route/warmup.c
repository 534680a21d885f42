/*
 * Cold targets and this node's share of the requests that they bear.
 *
 * The nodes share a number of slots for each cold target. A slot allows one
 * request in any WINDOW_MS, so the number of slots bounds the requests in every
 * second, whatever the pattern of demand. A token bucket of the same sustained
 * rate would need a second bound for its burst. Slots are divided evenly; what
 * remains goes to the first nodes in the target's rendezvous order.
 *
 * A share shrinks as soon as the view of the nodes says so, and grows only
 * after the larger share has stood for SETTLE_MS: by then the nodes that had
 * the slots before have learned of the change.
 */
#include <math.h>
#include <stdatomic.h>

#include "route/route.h"
#include "route/warmup.h"

/*
 * Time in which a slot allows one request. It is longer than a second, as
 * requests take different times to reach the target.
 */
#define WINDOW_MS 1100
/*
 * Part of the bound that is given out as slots. 0.6 x 1000 / WINDOW_MS is above
 * one half, the rate that has to be usable. The rest is for nodes whose views
 * differ, and for requests that were delayed on their way.
 */
#define SLOTS_PART 0.6
/* Time for which a larger share has to stand before it counts. */
#define SETTLE_MS 3000
/* Most slots of a node, which limits the memory for its last requests. */
#define SHARE_MAX 1000
/* Other nodes are told again of a target that stays cold for this much longer,
 * or after this time, as a notice expires. */
#define TOLD_EXCESS_MS   1500
#define TOLD_INTERVAL_MS 30000
/* A warm-up that ends later than this is taken to end then. */
#define COLD_MAX_MS 3600000

struct cold {
	uint64_t target;
	int64_t until_ms;
	enum warmup_source source; /* of until_ms */
	int64_t open_ms;           /* no request is sent before */
	uint64_t version;      /* of the nodes that wanted is computed for */
	size_t slots;          /* of all nodes, that it is computed for */
	size_t share;          /* slots of this node */
	size_t wanted;         /* share by the current view */
	int64_t raise_ms;      /* when share may grow to wanted */
	GArray *sent;          /* int64_t, times of requests, oldest first */
	int64_t told_until_ms; /* that other nodes were told; 0: never */
	int64_t told_ms;       /* when they were */
};

struct warmup {
	GMutex lock;
	GHashTable *targets; /* id -> struct cold */
	atomic_size_t count; /* of targets, to be read without the lock */
	uint64_t self;
	uint64_t *nodes;
	size_t node_count;
	uint64_t version; /* of nodes; 0: not set yet */
	int64_t known_ms; /* when nodes was first set */
	warmup_changed_fn *changed;
	void *ctx;
};

static const char *const source_names[] = {
	[WARMUP_STARTED] = "start",   [WARMUP_ROW] = "row",
	[WARMUP_NOTICE] = "notice",   [WARMUP_EVACUATION] = "evacuation",
	[WARMUP_PAUSE] = "own_pause",
};

const char *warmup_source_name(enum warmup_source s)
{
	return source_names[s];
}

static void cold_free(void *p)
{
	g_array_unref(((struct cold *)p)->sent);
	g_free(p);
}

struct warmup *warmup_new(uint64_t self, warmup_changed_fn *changed, void *ctx)
{
	struct warmup *w = g_new0(struct warmup, 1);

	w->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   cold_free);
	w->self = self;
	w->changed = changed;
	w->ctx = ctx;
	return w;
}

void warmup_free(struct warmup *w)
{
	g_hash_table_unref(w->targets);
	g_free(w->nodes);
	g_free(w);
}

void warmup_set_nodes(struct warmup *w, const uint64_t *nodes, size_t n,
		      int64_t now_ms)
{
	g_mutex_lock(&w->lock);
	g_free(w->nodes);
	w->nodes = g_memdup2(nodes, n * sizeof(*nodes));
	w->node_count = n;
	if (!w->version++)
		w->known_ms = now_ms;
	g_mutex_unlock(&w->lock);
}

bool warmup_any(struct warmup *w)
{
	return atomic_load(&w->count) > 0;
}

/* Return the slots of all nodes for a bound in requests a second. */
static size_t count_slots(double bound)
{
	double most = floor(bound), n = ceil(SLOTS_PART * bound);

	return most > 0 ? (size_t)MIN(n, most) : 0;
}

/* Return this node's part of the slots by its view of the nodes. */
static size_t own_slots(const struct warmup *w, uint64_t target, size_t slots)
{
	size_t n = MAX(w->node_count, 1), share = slots / n;

	if (slots % n)
		share += rendezvous_count_before(target, w->self, w->nodes,
						 w->node_count) < slots % n;
	return MIN(share, SHARE_MAX);
}

/* Bring the target's share up to date. */
static void update_share(const struct warmup *w, struct cold *c, size_t slots,
			 int64_t now_ms)
{
	bool first = !c->version;

	if (!w->version)
		return;
	if (c->version != w->version || c->slots != slots) {
		size_t before = c->wanted;

		c->version = w->version;
		c->slots = slots;
		c->wanted = own_slots(w, c->target, slots);
		if (c->wanted > c->share && before <= c->share)
			c->raise_ms =
				(first ? w->known_ms : now_ms) + SETTLE_MS;
		/* A share that shrank meanwhile has to settle as well. */
		else if (c->wanted > before)
			c->raise_ms = now_ms + SETTLE_MS;
	}
	if (c->wanted < c->share || now_ms >= c->raise_ms)
		c->share = c->wanted;
}

static struct cold *find_cold(struct warmup *w, uint64_t target, int64_t now_ms)
{
	struct cold *c = g_hash_table_lookup(w->targets, &target);

	return c && c->until_ms > now_ms ? c : NULL;
}

/* Forget the requests that no longer count. */
static void drop_old(struct cold *c, int64_t now_ms)
{
	guint n = 0;

	while (n < c->sent->len &&
	       g_array_index(c->sent, int64_t, n) + WINDOW_MS <= now_ms)
		n++;
	if (n)
		g_array_remove_range(c->sent, 0, n);
}

/* Return when a slot of this node is free. */
static int64_t free_slot_ms(const struct cold *c, int64_t now_ms)
{
	int64_t at_ms = MAX(now_ms, c->open_ms);

	if (!c->share)
		return c->wanted ? MAX(at_ms, c->raise_ms) : c->until_ms;
	if (c->sent->len >= c->share)
		at_ms = MAX(at_ms, g_array_index(c->sent, int64_t,
						 c->sent->len - c->share) +
					   WINDOW_MS);
	return at_ms;
}

int64_t warmup_next_ms(struct warmup *w, uint64_t target, double bound,
		       int64_t now_ms)
{
	int64_t next_ms = now_ms;
	struct cold *c;

	if (!warmup_any(w))
		return now_ms;
	g_mutex_lock(&w->lock);
	c = find_cold(w, target, now_ms);
	if (c) {
		update_share(w, c, count_slots(bound), now_ms);
		drop_old(c, now_ms);
		next_ms = MIN(free_slot_ms(c, now_ms), c->until_ms);
	}
	g_mutex_unlock(&w->lock);
	return next_ms;
}

void warmup_take(struct warmup *w, uint64_t target, double bound,
		 int64_t now_ms)
{
	struct cold *c;

	if (!warmup_any(w))
		return;
	g_mutex_lock(&w->lock);
	c = find_cold(w, target, now_ms);
	if (c) {
		update_share(w, c, count_slots(bound), now_ms);
		drop_old(c, now_ms);
		g_array_append_val(c->sent, now_ms);
	}
	g_mutex_unlock(&w->lock);
}

/* Remove a target that is warm again. */
static void remove_cold(struct warmup *w, struct cold *c)
{
	if (w->changed)
		w->changed(w->ctx, c->target, 0, c->source);
	g_hash_table_remove(w->targets, &c->target);
	atomic_fetch_sub(&w->count, 1);
}

static struct cold *add_cold(struct warmup *w, uint64_t target,
			     enum warmup_source s, int64_t now_ms)
{
	struct cold *c = g_new0(struct cold, 1);

	c->target = target;
	/*
	 * What was sent to it while it counted as warm is not known here, but a
	 * process that was paused has sent nothing.
	 */
	c->open_ms = now_ms + (s == WARMUP_PAUSE ? 0 : WINDOW_MS);
	c->sent = g_array_new(false, false, sizeof(int64_t));
	g_hash_table_insert(w->targets, &c->target, c);
	atomic_fetch_add(&w->count, 1);
	return c;
}

static void set_cold(struct warmup *w, uint64_t target, int64_t until_ms,
		     enum warmup_source s, int64_t now_ms)
{
	struct cold *c = g_hash_table_lookup(w->targets, &target);
	bool was_cold = c && c->until_ms > now_ms;
	bool was_known = was_cold && c->source != WARMUP_PAUSE;

	until_ms = MIN(until_ms, now_ms + COLD_MAX_MS);
	if (until_ms <= now_ms || (was_cold && until_ms <= c->until_ms))
		return;
	if (c && !was_cold) {
		remove_cold(w, c);
		c = NULL;
	}
	if (!c)
		c = add_cold(w, target, s, now_ms);
	c->until_ms = until_ms;
	c->source = s;
	if (!was_known && w->changed)
		w->changed(w->ctx, target, until_ms, s);
}

void warmup_set_cold(struct warmup *w, uint64_t target, int64_t until_ms,
		     enum warmup_source s, int64_t now_ms)
{
	if (until_ms <= now_ms)
		return;
	g_mutex_lock(&w->lock);
	set_cold(w, target, until_ms, s, now_ms);
	g_mutex_unlock(&w->lock);
}

bool warmup_read_row(struct warmup *w, uint64_t target, int64_t left_ms,
		     int64_t now_ms)
{
	struct cold *c;
	bool news = false;

	if (left_ms <= 0)
		return false;
	left_ms = MIN(left_ms, COLD_MAX_MS);
	g_mutex_lock(&w->lock);
	set_cold(w, target, now_ms + left_ms, WARMUP_ROW, now_ms);
	c = find_cold(w, target, now_ms);
	if (c) {
		news = now_ms + left_ms > c->told_until_ms + TOLD_EXCESS_MS ||
		       now_ms - c->told_ms >= TOLD_INTERVAL_MS;
		if (news) {
			c->told_until_ms = now_ms + left_ms;
			c->told_ms = now_ms;
		}
	}
	g_mutex_unlock(&w->lock);
	return news;
}

int64_t warmup_until_ms(struct warmup *w, uint64_t target, int64_t now_ms)
{
	int64_t until_ms = 0;
	struct cold *c;

	if (!warmup_any(w))
		return 0;
	g_mutex_lock(&w->lock);
	c = find_cold(w, target, now_ms);
	if (c)
		until_ms = c->until_ms;
	g_mutex_unlock(&w->lock);
	return until_ms;
}

size_t warmup_expire(struct warmup *w, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;
	size_t n;

	if (!warmup_any(w))
		return 0;
	g_mutex_lock(&w->lock);
	g_hash_table_iter_init(&it, w->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct cold *c = v;

		if (c->until_ms > now_ms)
			continue;
		if (w->changed)
			w->changed(w->ctx, c->target, 0, c->source);
		g_hash_table_iter_remove(&it);
		atomic_fetch_sub(&w->count, 1);
	}
	n = g_hash_table_size(w->targets);
	g_mutex_unlock(&w->lock);
	return n;
}
