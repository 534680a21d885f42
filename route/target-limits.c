/*
 * Shares of the limits that targets name. A request may not wait for the answer
 * of another node, and there may be many more nodes than requests a second. So
 * the first nodes in the rendezvous order of the target share its limit, as
 * many as can each begin with one request without exceeding it together. Each
 * has a token bucket. When the node gets its share, the bucket holds what those
 * that had it before are known not to have sent, else nothing.
 */
#include <math.h>
#include <stdatomic.h>

#include "route/route.h"
#include "route/target-limits.h"

const struct limit_policy limit_requests = {3, 2, 250};
const struct limit_policy limit_overflow = {0, 0.5, 0};

struct limited {
	struct target_limit l;
	uint64_t version;     /* of the nodes for which the share holds */
	double per_ms;        /* share of this node; 0: none */
	double tokens, burst; /* requests that may be sent now, and at most */
	int64_t filled_ms;    /* when tokens was computed */
	unsigned rounds_left; /* how often it is still to be sent */
};

struct target_limits {
	const struct limit_policy *policy;
	GMutex lock;
	GHashTable *targets; /* id -> struct limited */
	atomic_size_t count; /* of targets, to be read without the lock */
	uint64_t self;
	uint64_t *nodes;
	size_t node_count;
	uint64_t version;  /* of nodes; 0: not set yet */
	int64_t unsent_ms; /* see target_limits_set_nodes */
	size_t list_next;  /* where target_limits_list goes on */
	unsigned rounds;
	bool forward;
	bool has_updates;
	limit_changed_fn *changed;
	void *ctx;
};

struct target_limits *target_limits_new(const struct limit_policy *policy,
					uint64_t self,
					limit_changed_fn *changed, void *ctx)
{
	struct target_limits *t = g_new0(struct target_limits, 1);

	t->policy = policy;
	t->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	t->self = self;
	t->rounds = 1;
	t->changed = changed;
	t->ctx = ctx;
	return t;
}

void target_limits_free(struct target_limits *t)
{
	g_hash_table_unref(t->targets);
	g_free(t->nodes);
	g_free(t);
}

void target_limits_set_rounds(struct target_limits *t, unsigned rounds,
			      bool forward)
{
	g_mutex_lock(&t->lock);
	t->rounds = rounds;
	t->forward = forward;
	g_mutex_unlock(&t->lock);
}

void target_limits_set_nodes(struct target_limits *t, const uint64_t *nodes,
			     size_t n, int64_t unsent_ms)
{
	g_mutex_lock(&t->lock);
	g_free(t->nodes);
	t->unsent_ms = unsent_ms;
	t->nodes = g_memdup2(nodes, n * sizeof(*nodes));
	t->node_count = n;
	t->version++;
	g_mutex_unlock(&t->lock);
}

/* Compute this node's share for the nodes and the limit in force. */
static void compute_share(const struct target_limits *t, struct limited *x,
			  int64_t now_ms)
{
	const struct limit_policy *p = t->policy;
	double per_s = (double)MAX(x->l.per_1000_s, p->min_per_1000_s) / 1000;
	double burst = p->burst_min + p->burst_s * per_s;
	size_t n = MIN((size_t)burst, MAX(t->node_count, 1));
	double per_ms_before = x->per_ms;
	bool took_over = x->version && x->version != t->version;

	x->version = t->version;
	x->per_ms = 0;
	if (!t->version ||
	    rendezvous_count_before(x->l.target, t->self, t->nodes,
				    t->node_count) >= n) {
		x->tokens = 0;
		return;
	}
	x->per_ms = per_s / 1000 / (double)n;
	x->burst = burst / (double)n;
	if (!(per_ms_before > 0)) {
		x->tokens = 0;
		x->filled_ms = now_ms;
	}
	if (took_over && x->per_ms > per_ms_before)
		x->tokens += (x->per_ms - per_ms_before) * (double)t->unsent_ms;
	x->tokens = MIN(x->tokens, x->burst);
}

/* Return the target's limit, filled up to now; NULL when it has none. */
static struct limited *find_limited(struct target_limits *t, uint64_t target,
				    int64_t now_ms)
{
	struct limited *x = g_hash_table_lookup(t->targets, &target);
	double tokens;

	if (!x || x->l.per_1000_s == LIMIT_NONE)
		return NULL;
	if (x->version != t->version)
		compute_share(t, x, now_ms);
	tokens = x->tokens + x->per_ms * (double)(now_ms - x->filled_ms);
	x->tokens = MIN(tokens, x->burst);
	x->filled_ms = now_ms;
	return x;
}

int64_t target_limits_next_ms(struct target_limits *t, uint64_t target,
			      int64_t now_ms)
{
	int64_t next_ms = now_ms;
	struct limited *x;

	if (!atomic_load(&t->count))
		return now_ms;
	g_mutex_lock(&t->lock);
	x = find_limited(t, target, now_ms);
	if (x && !(x->per_ms > 0))
		next_ms = INT64_MAX;
	else if (x && x->tokens < 1)
		next_ms += (int64_t)((1 - x->tokens) / x->per_ms) + 1;
	g_mutex_unlock(&t->lock);
	return next_ms;
}

double target_limits_per_ms(struct target_limits *t, uint64_t target,
			    int64_t now_ms)
{
	struct limited *x;
	double per_ms;

	if (!atomic_load(&t->count))
		return INFINITY;
	g_mutex_lock(&t->lock);
	x = find_limited(t, target, now_ms);
	per_ms = x ? x->per_ms : INFINITY;
	g_mutex_unlock(&t->lock);
	return per_ms;
}

void target_limits_take(struct target_limits *t, uint64_t target,
			int64_t now_ms)
{
	struct limited *x;

	if (!atomic_load(&t->count))
		return;
	g_mutex_lock(&t->lock);
	x = find_limited(t, target, now_ms);
	if (x)
		x->tokens -= 1;
	g_mutex_unlock(&t->lock);
}

/* Take over what a target named; return whether the limit has changed. */
static bool set_limit(struct target_limits *t, const struct target_limit *l)
{
	struct limited *x = g_hash_table_lookup(t->targets, &l->target);
	bool changed;

	if (!x && l->per_1000_s == LIMIT_NONE)
		return false;
	if (!x) {
		x = g_new0(struct limited, 1);
		x->l.target = l->target;
		x->l.per_1000_s = LIMIT_NONE;
		g_hash_table_insert(t->targets, &x->l.target, x);
		atomic_fetch_add(&t->count, 1);
	}
	if (l->named_ms < x->l.named_ms)
		return false;
	changed = l->per_1000_s != x->l.per_1000_s;
	if (x->l.per_1000_s == LIMIT_NONE)
		x->per_ms = 0; /* begins with an empty bucket */
	x->l = *l;
	if (!changed)
		return false;
	compute_share(t, x, l->named_ms);
	if (t->changed)
		t->changed(t->ctx, l);
	return true;
}

static void queue_update(struct target_limits *t, uint64_t target)
{
	struct limited *x = g_hash_table_lookup(t->targets, &target);

	x->rounds_left = t->rounds;
	t->has_updates = true;
}

void target_limits_name(struct target_limits *t, uint64_t target,
			int64_t per_1000_s, int64_t now_ms)
{
	struct target_limit l = {target, per_1000_s, now_ms};

	if (per_1000_s == LIMIT_NONE && !atomic_load(&t->count))
		return;
	g_mutex_lock(&t->lock);
	if (set_limit(t, &l))
		queue_update(t, target);
	g_mutex_unlock(&t->lock);
}

void target_limits_receive(struct target_limits *t,
			   const struct target_limit *l)
{
	g_mutex_lock(&t->lock);
	if (set_limit(t, l) && t->forward)
		queue_update(t, l->target);
	g_mutex_unlock(&t->lock);
}

size_t target_limits_take_updates(struct target_limits *t,
				  struct target_limit *out, size_t max)
{
	GHashTableIter it;
	gpointer v;
	size_t n = 0;

	g_mutex_lock(&t->lock);
	if (t->has_updates) {
		g_hash_table_iter_init(&it, t->targets);
		while (n < max && g_hash_table_iter_next(&it, NULL, &v)) {
			struct limited *x = v;

			if (!x->rounds_left)
				continue;
			x->rounds_left--;
			out[n++] = x->l;
		}
	}
	t->has_updates = n > 0;
	g_mutex_unlock(&t->lock);
	return n;
}

size_t target_limits_list(struct target_limits *t, struct target_limit *out,
			  size_t max)
{
	size_t n = 0, at = 0, size;
	GHashTableIter it;
	gpointer v;

	if (!atomic_load(&t->count))
		return 0;
	g_mutex_lock(&t->lock);
	size = g_hash_table_size(t->targets);
	if (t->list_next >= size)
		t->list_next = 0;
	g_hash_table_iter_init(&it, t->targets);
	while (n < max && g_hash_table_iter_next(&it, NULL, &v))
		if (at++ >= t->list_next)
			out[n++] = ((struct limited *)v)->l;
	t->list_next += n;
	g_mutex_unlock(&t->lock);
	return n;
}

void target_limits_expire(struct target_limits *t, int64_t before_ms)
{
	GHashTableIter it;
	gpointer v;

	if (!atomic_load(&t->count))
		return;
	g_mutex_lock(&t->lock);
	g_hash_table_iter_init(&it, t->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (((struct limited *)v)->l.named_ms >= before_ms)
			continue;
		g_hash_table_iter_remove(&it);
		atomic_fetch_sub(&t->count, 1);
	}
	g_mutex_unlock(&t->lock);
}
