/*
 * A part that crashes targets is among the parts of each attempt that such a
 * crash breaks before its response begins, and no response with it begins. Of
 * the other parts in these attempts responses begin before long, at the same
 * node or at another.
 *
 * So a part is blocked once several targets, in requests that differ, have
 * crashed since a response with it last began. Where several parts qualify, one
 * is blocked, and the crashes that it explains are taken off the others. Many
 * targets that crash at the same moment count as one crash, as no single
 * request reaches them all.
 */
#include <stdatomic.h>

#include "route/crash-causes.h"

/* Crashes, and requests in them, that block a part. */
#define BLOCK_CRASHES  4
#define BLOCK_REQUESTS 2
/*
 * While other targets crash that the part doesn't account for, and its own are
 * less than one in CRASH_SHARE, it takes more of them.
 */
#define CRASH_SHARE              2
#define BLOCK_CRASHES_AMONG_MANY 7
/* Crashes of all parts that are remembered for this. */
#define RECENT_MAX 128
/* Crashes closer together than this may have one cause outside the prompt. */
#define CRASH_GAP_MS 150
/* Moments of crashes that block a part; see CRASH_GAP_MS. */
#define BLOCK_MOMENTS 3
/* Time for records of other nodes to arrive before a part is blocked. */
#define SETTLE_MS 150
/* Crashes are forgotten after this time. */
#define CRASH_TTL_MS 600000
/* Parts that are remembered; the longest unused ones are forgotten. */
#define PARTS_MAX 2048
/* Parts that are blocked at the same time; more free the longest idle one. */
#define BLOCKED_MAX 64

struct part {
	struct cause_record r;
	int64_t qualified_ms; /* since when it is to be blocked; 0: it isn't */
	int64_t freed_ms;     /* blocked again only after a later crash */
	unsigned rounds_left; /* how often it is still to be sent */
	GList link;           /* in the order of use */
};

struct crash_causes {
	GMutex lock;
	GHashTable *parts; /* hash -> struct part */
	GQueue used;       /* struct part, most recently used first */
	size_t suspected;  /* parts with crashes */
	struct part *blocked[BLOCKED_MAX];
	size_t blocked_count;
	struct cause_crash recent[RECENT_MAX]; /* the last of all parts */
	size_t next_recent;
	atomic_size_t blocks; /* blocked_count, to be read without the lock */
	unsigned rounds;
	bool forward;
	bool has_updates;
	uint64_t changes; /* parts blocked or freed so far */
	cause_changed_fn *changed;
	void *ctx;
};

struct crash_causes *crash_causes_new(cause_changed_fn *changed, void *ctx)
{
	struct crash_causes *f = g_new0(struct crash_causes, 1);

	f->parts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	g_queue_init(&f->used);
	f->rounds = 1;
	f->changed = changed;
	f->ctx = ctx;
	return f;
}

void crash_causes_free(struct crash_causes *f)
{
	g_hash_table_unref(f->parts);
	g_free(f);
}

void crash_causes_set_rounds(struct crash_causes *f, unsigned rounds,
			     bool forward)
{
	g_mutex_lock(&f->lock);
	f->rounds = rounds;
	f->forward = forward;
	g_mutex_unlock(&f->lock);
}

static void queue_update(struct crash_causes *f, struct part *p)
{
	p->rounds_left = f->rounds;
	f->has_updates = true;
}

uint64_t crash_causes_changes(struct crash_causes *f)
{
	uint64_t n;

	g_mutex_lock(&f->lock);
	n = f->changes;
	g_mutex_unlock(&f->lock);
	return n;
}

static void report(struct crash_causes *f, const struct part *p,
		   const char *why)
{
	f->changes++;
	if (f->changed)
		f->changed(f->ctx, &p->r, why);
}

/* Stop refusing requests with the part. */
static void free_part(struct crash_causes *f, struct part *p, const char *why)
{
	size_t i = 0;

	if (!p->r.blocked)
		return;
	while (f->blocked[i] != p)
		i++;
	f->blocked[i] = f->blocked[--f->blocked_count];
	atomic_store(&f->blocks, f->blocked_count);
	p->r.blocked = false;
	report(f, p, why);
}

static void free_longest_idle(struct crash_causes *f)
{
	struct part *p = f->blocked[0];

	for (size_t i = 1; i < f->blocked_count; i++)
		if (f->blocked[i]->r.asked_ms < p->r.asked_ms)
			p = f->blocked[i];
	free_part(f, p, "too_many");
}

static void block_part(struct crash_causes *f, struct part *p, const char *why)
{
	if (p->r.blocked)
		return;
	if (f->blocked_count == BLOCKED_MAX)
		free_longest_idle(f);
	f->blocked[f->blocked_count++] = p;
	atomic_store(&f->blocks, f->blocked_count);
	p->r.blocked = true;
	p->qualified_ms = 0;
	report(f, p, why);
}

/* Forget the part that was not used for the longest time. */
static void evict(struct crash_causes *f)
{
	GList *l = f->used.tail;
	struct part *p;

	while (l && ((struct part *)l->data)->r.blocked)
		l = l->prev;
	if (!l)
		return;
	p = l->data;
	f->suspected -= p->r.crash_count > 0;
	g_queue_unlink(&f->used, l);
	g_hash_table_remove(f->parts, &p->r.part);
}

static struct part *find_part(struct crash_causes *f, uint64_t id)
{
	return g_hash_table_lookup(f->parts, &id);
}

/* Return the part, which is new if it is not known, and mark it as used. */
static struct part *use_part(struct crash_causes *f, uint64_t id)
{
	struct part *p = find_part(f, id);

	if (p) {
		g_queue_unlink(&f->used, &p->link);
	} else {
		if (g_hash_table_size(f->parts) >= PARTS_MAX)
			evict(f);
		p = g_new0(struct part, 1);
		p->r.part = id;
		p->link.data = p;
		g_hash_table_insert(f->parts, &p->r.part, p);
	}
	g_queue_push_head_link(&f->used, &p->link);
	return p;
}

static bool has_target(const struct cause_record *r, uint32_t target)
{
	for (uint32_t i = 0; i < r->crash_count; i++)
		if (r->crashes[i].target == target)
			return true;
	return false;
}

/* Remove the crashes for which drop returns true; return whether any was. */
static bool drop_crashes(struct crash_causes *f, struct part *p,
			 bool (*drop)(const struct cause_crash *c,
				      const void *ctx),
			 const void *ctx)
{
	struct cause_record *r = &p->r;
	uint32_t kept = 0, before = r->crash_count;

	for (uint32_t i = 0; i < before; i++)
		if (!drop(&r->crashes[i], ctx))
			r->crashes[kept++] = r->crashes[i];
	r->crash_count = kept;
	f->suspected -= before && !kept;
	return kept < before;
}

static bool is_not_later(const struct cause_crash *c, const void *at_ms)
{
	return c->at_ms <= *(const int64_t *)at_ms;
}

static bool is_of_part(const struct cause_crash *c, const void *part)
{
	return has_target(&((const struct part *)part)->r, c->target);
}

/* Whether a blocked part other than p accounts for the target's crash. */
static bool is_explained(const struct crash_causes *f, const struct part *p,
			 uint32_t target)
{
	for (size_t i = 0; i < f->blocked_count; i++)
		if (f->blocked[i] != p && has_target(&f->blocked[i]->r, target))
			return true;
	return false;
}

/* Remember that the target crashed, whichever part it is put on. */
static void note_target(struct crash_causes *f, struct cause_crash c)
{
	for (size_t i = 0; i < RECENT_MAX; i++)
		if (f->recent[i].at_ms && f->recent[i].target == c.target)
			return;
	f->recent[f->next_recent++ % RECENT_MAX] = c;
}

/* Add a crash in its order of time; return whether it was new. */
static bool add_crash(struct crash_causes *f, struct part *p,
		      struct cause_crash c)
{
	struct cause_record *r = &p->r;
	uint32_t i;

	note_target(f, c);
	if (c.at_ms <= r->began_ms || has_target(r, c.target) ||
	    is_explained(f, p, c.target))
		return false;
	if (r->crash_count == CAUSE_CRASHES_MAX) {
		if (c.at_ms <= r->crashes[CAUSE_CRASHES_MAX - 1].at_ms)
			return false;
		r->crash_count--;
	}
	f->suspected += !r->crash_count;
	for (i = r->crash_count++; i > 0 && r->crashes[i - 1].at_ms > c.at_ms;
	     i--)
		r->crashes[i] = r->crashes[i - 1];
	r->crashes[i] = c;
	return true;
}

/* Count the requests that differ in the part's crashes. */
static size_t count_requests(const struct cause_record *r)
{
	size_t n = 0;

	for (uint32_t i = 0; i < r->crash_count; i++) {
		uint32_t k = 0;

		while (k < i && r->crashes[k].request != r->crashes[i].request)
			k++;
		n += k == i;
	}
	return n;
}

/* Count the moments of the part's crashes; see CRASH_GAP_MS. */
static size_t count_moments(const struct cause_record *r)
{
	int64_t last_ms = 0;
	size_t n = 0;

	for (uint32_t i = 0; i < r->crash_count; i++) {
		if (i && r->crashes[i].at_ms - last_ms < CRASH_GAP_MS)
			continue;
		last_ms = r->crashes[i].at_ms;
		n++;
	}
	return n;
}

/* Whether the part has crashed enough targets to be blocked by a node. */
static bool has_crashes(const struct part *p)
{
	const struct cause_record *r = &p->r;

	return r->crash_count >= BLOCK_CRASHES &&
	       r->crashes[r->crash_count - 1].at_ms > p->freed_ms;
}

static bool qualifies(const struct part *p)
{
	const struct cause_record *r = &p->r;

	return has_crashes(p) && count_requests(r) >= BLOCK_REQUESTS &&
	       count_moments(r) >= BLOCK_MOMENTS;
}

/*
 * Count the targets that crashed from the part's first crash to its last, less
 * those that blocked parts account for.
 */
static size_t count_targets(const struct crash_causes *f, const struct part *p)
{
	int64_t first_ms = p->r.crashes[0].at_ms;
	int64_t last_ms = p->r.crashes[p->r.crash_count - 1].at_ms;
	size_t n = 0;

	for (size_t i = 0; i < RECENT_MAX; i++)
		n += f->recent[i].at_ms >= first_ms &&
		     f->recent[i].at_ms <= last_ms &&
		     !is_explained(f, p, f->recent[i].target);
	return n;
}

/* Whether the part's crashes are more than chance puts on a sound part. */
static bool stands_out(const struct crash_causes *f, const struct part *p)
{
	return p->r.crash_count >= BLOCK_CRASHES_AMONG_MANY ||
	       (size_t)p->r.crash_count * CRASH_SHARE >= count_targets(f, p);
}

/* Whether all crashes of a are crashes of b. */
static bool is_within(const struct cause_record *a,
		      const struct cause_record *b)
{
	for (uint32_t i = 0; i < a->crash_count; i++)
		if (!has_target(b, a->crashes[i].target))
			return false;
	return true;
}

/*
 * Whether a accounts for the crashes rather than b does. Parts that always come
 * together can't be told apart; the one that stands later in the prompt is in
 * fewer sound requests.
 */
static bool is_likelier(const struct cause_record *a,
			const struct cause_record *b)
{
	if (!a->began_ms != !b->began_ms)
		return !a->began_ms;
	if (is_within(a, b) || is_within(b, a))
		return a->depth > b->depth;
	return a->crash_count > b->crash_count;
}

/* Take the crashes that the blocked part explains off all less likely ones. */
static void explain(struct crash_causes *f, struct part *p)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, f->parts);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct part *other = v;

		if (other == p || !other->r.crash_count ||
		    !is_likelier(&p->r, &other->r) ||
		    !drop_crashes(f, other, is_of_part, p))
			continue;
		if (!qualifies(other))
			free_part(f, other, "explained");
	}
}

void crash_causes_crashed(struct crash_causes *f, struct cause_keys p,
			  uint64_t request, uint64_t target, int64_t now_ms)
{
	struct cause_crash c = {(uint32_t)target, (uint32_t)request, now_ms};
	bool blocked = false;

	g_mutex_lock(&f->lock);
	for (size_t i = 0; i < p.n; i++) {
		struct part *part = find_part(f, p.v[i]);

		blocked |= part && part->r.blocked;
	}
	for (size_t i = 0; i < p.n; i++) {
		struct part *part = use_part(f, p.v[i]);

		/* A part that is blocked already accounts for the crash. */
		if (blocked && !part->r.blocked)
			continue;
		part->r.depth = (uint32_t)i;
		if (add_crash(f, part, c))
			queue_update(f, part);
	}
	g_mutex_unlock(&f->lock);
}

/* A response with the part began then, which clears it of earlier crashes. */
static bool clear_part(struct crash_causes *f, struct part *p, int64_t began_ms)
{
	if (began_ms <= p->r.began_ms)
		return false;
	p->r.began_ms = began_ms;
	if (!drop_crashes(f, p, is_not_later, &began_ms))
		return false;
	if (!qualifies(p))
		free_part(f, p, "began");
	return true;
}

void crash_causes_began(struct crash_causes *f, struct cause_keys p,
			int64_t began_ms)
{
	g_mutex_lock(&f->lock);
	for (size_t i = 0; i < p.n; i++) {
		struct part *part = use_part(f, p.v[i]);

		if (clear_part(f, part, began_ms))
			queue_update(f, part);
	}
	g_mutex_unlock(&f->lock);
}

bool crash_causes_block(struct crash_causes *f, struct cause_keys p,
			int64_t now_ms)
{
	bool blocks = false;

	if (!atomic_load(&f->blocks))
		return false;
	g_mutex_lock(&f->lock);
	for (size_t i = 0; i < p.n; i++) {
		struct part *part = find_part(f, p.v[i]);

		if (!part || !part->r.blocked)
			continue;
		part->r.asked_ms = now_ms;
		blocks = true;
	}
	g_mutex_unlock(&f->lock);
	return blocks;
}

/* Return the likeliest of the parts that have qualified for SETTLE_MS. */
static struct part *next_to_block(struct crash_causes *f, int64_t now_ms)
{
	struct part *best = NULL;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, f->parts);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct part *p = v;

		if (!p->r.crash_count || p->r.blocked)
			continue;
		if (!qualifies(p) || !stands_out(f, p)) {
			p->qualified_ms = 0;
			continue;
		}
		if (!p->qualified_ms)
			p->qualified_ms = now_ms;
		if (now_ms - p->qualified_ms >= SETTLE_MS &&
		    (!best || is_likelier(&p->r, &best->r)))
			best = p;
	}
	return best;
}

static void expire(struct crash_causes *f, int64_t now_ms)
{
	int64_t oldest_ms = now_ms - CRASH_TTL_MS;
	GHashTableIter it;
	gpointer v;

	for (size_t i = f->blocked_count; i-- > 0;) {
		struct part *p = f->blocked[i];

		if (now_ms - p->r.asked_ms < CAUSE_BLOCK_IDLE_MS)
			continue;
		p->freed_ms = now_ms;
		free_part(f, p, "idle");
	}
	g_hash_table_iter_init(&it, f->parts);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct part *p = v;

		/* Those of a part that was blocked lately are kept. */
		if (p->r.crash_count && p->r.asked_ms <= oldest_ms)
			drop_crashes(f, p, is_not_later, &oldest_ms);
	}
}

void crash_causes_decide(struct crash_causes *f, int64_t now_ms)
{
	struct part *p;

	g_mutex_lock(&f->lock);
	if (f->suspected) {
		expire(f, now_ms);
		while ((p = next_to_block(f, now_ms))) {
			p->r.asked_ms = now_ms;
			block_part(f, p, "crashes");
			queue_update(f, p);
			explain(f, p);
		}
	}
	g_mutex_unlock(&f->lock);
}

/* Blocked parts first, then by their crashes. */
static int compare(const void *a, const void *b)
{
	const struct cause_record *x = &(*(struct part *const *)a)->r;
	const struct cause_record *y = &(*(struct part *const *)b)->r;

	if (x->blocked != y->blocked)
		return x->blocked ? -1 : 1;
	return (int)y->crash_count - (int)x->crash_count;
}

/* Copy the first parts of an array, which is freed, and sort it before. */
static size_t copy_first(GPtrArray *parts, struct cause_record *out, size_t max)
{
	size_t n = MIN(parts->len, max);

	g_ptr_array_sort(parts, compare);
	for (size_t i = 0; i < n; i++) {
		struct part *p = g_ptr_array_index(parts, i);

		out[i] = p->r;
		if (p->rounds_left)
			p->rounds_left--;
	}
	g_ptr_array_unref(parts);
	return n;
}

static bool is_update(const struct part *p)
{
	return p->rounds_left > 0;
}

/* Parts with a single crash are not sent again. */
static bool is_suspect(const struct part *p)
{
	return p->r.blocked || p->r.crash_count > 1;
}

static size_t select_parts(struct crash_causes *f,
			   bool (*wanted)(const struct part *p),
			   struct cause_record *out, size_t max)
{
	GPtrArray *parts = g_ptr_array_new();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, f->parts);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (wanted(v))
			g_ptr_array_add(parts, v);
	return copy_first(parts, out, max);
}

size_t crash_causes_take_updates(struct crash_causes *f,
				 struct cause_record *out, size_t max)
{
	size_t n = 0;

	g_mutex_lock(&f->lock);
	if (f->has_updates)
		n = select_parts(f, is_update, out, max);
	f->has_updates = n > 0;
	g_mutex_unlock(&f->lock);
	return n;
}

size_t crash_causes_list(struct crash_causes *f, struct cause_record *out,
			 size_t max)
{
	size_t n = 0;

	g_mutex_lock(&f->lock);
	if (f->suspected)
		n = select_parts(f, is_suspect, out, max);
	g_mutex_unlock(&f->lock);
	return n;
}

/* Merge the record into the part; return whether that changed it. */
static bool merge(struct crash_causes *f, struct part *p,
		  const struct cause_record *r, int64_t now_ms)
{
	bool changed = clear_part(f, p, r->began_ms);
	bool blocks = r->blocked && now_ms - r->asked_ms < CAUSE_BLOCK_IDLE_MS;

	p->r.asked_ms = MAX(p->r.asked_ms, r->asked_ms);
	if (!p->r.crash_count)
		p->r.depth = r->depth;
	for (uint32_t i = 0; i < r->crash_count; i++)
		changed |= add_crash(f, p, r->crashes[i]);
	/* Which of a target's requests it recorded differs between nodes. */
	if (!blocks || p->r.blocked || !has_crashes(p))
		return changed;
	block_part(f, p, "other_node");
	explain(f, p);
	return true;
}

/* Whether this node knows of a later response with the part. */
static bool knows_more(const struct part *p, const struct cause_record *r)
{
	return p->r.began_ms > r->began_ms &&
	       (!r->began_ms || r->crashes[0].at_ms <= p->r.began_ms);
}

void crash_causes_receive(struct crash_causes *f, const struct cause_record *r,
			  int64_t now_ms)
{
	struct part *p;

	g_mutex_lock(&f->lock);
	p = use_part(f, r->part);
	if (r->crash_count && knows_more(p, r))
		queue_update(f, p);
	if (merge(f, p, r, now_ms) && f->forward)
		queue_update(f, p);
	g_mutex_unlock(&f->lock);
}
