#include <glib.h>

#include "route/route.h"

#define SMOOTH     0.2 /* weight of a new time in the mean */
#define RAMP_FIRST 0.1 /* part of its traffic that a first trial gets */

const struct outlier_policy outlier_policy_default = {
	.errors = 3,
	.slow_factor = 3,
	.slow_samples = 10,
	.aside_ms = 2000,
	.aside_max_ms = 60000,
	.ramp_ms = 10000,
	.aside_part = 0.35,
};

struct watched {
	uint64_t id;
	int errors; /* in a row */
	int samples;
	double first_token_ms; /* smoothed */
	int asides;            /* in a row */
	int64_t aside_until_ms;
	int64_t ramp_until_ms;
	bool in_pool;
};

struct outliers {
	struct outlier_policy policy;
	GHashTable *targets; /* id -> struct watched */
	size_t other_aside;  /* by other nodes, and their targets */
	size_t other_targets;
	double time_sum; /* of all smoothed times */
	size_t time_count;
};

struct outliers *outliers_new(const struct outlier_policy *p)
{
	struct outliers *o = g_new0(struct outliers, 1);

	o->policy = *p;
	o->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	return o;
}

void outliers_free(struct outliers *o)
{
	g_hash_table_unref(o->targets);
	g_free(o);
}

static struct watched *get(const struct outliers *o, uint64_t target)
{
	return g_hash_table_lookup(o->targets, &target);
}

static void forget_times(struct outliers *o, struct watched *w)
{
	if (w->samples) {
		o->time_sum -= w->first_token_ms;
		o->time_count--;
	}
	w->samples = 0;
}

static gboolean drop_absent(void *key, void *value, void *ctx)
{
	struct watched *w = value;
	bool absent = !w->in_pool;

	(void)key;
	if (absent)
		forget_times(ctx, w);
	w->in_pool = false;
	return absent;
}

void outliers_set_pool(struct outliers *o, const uint64_t *targets, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		struct watched *w = get(o, targets[i]);

		if (!w) {
			w = g_new0(struct watched, 1);
			w->id = targets[i];
			g_hash_table_insert(o->targets, &w->id, w);
		}
		w->in_pool = true;
	}
	g_hash_table_foreach_remove(o->targets, drop_absent, o);
}

void outliers_set_others(struct outliers *o, size_t aside, size_t targets)
{
	o->other_aside = aside;
	o->other_targets = targets;
}

size_t outliers_aside(const struct outliers *o, int64_t now_ms)
{
	GHashTableIter it;
	gpointer p;
	size_t n = 0;

	g_hash_table_iter_init(&it, o->targets);
	while (g_hash_table_iter_next(&it, NULL, &p))
		n += ((struct watched *)p)->aside_until_ms > now_ms;
	return n;
}

static void set_aside(struct outliers *o, struct watched *w, int64_t now_ms)
{
	const struct outlier_policy *p = &o->policy;
	size_t pool = g_hash_table_size(o->targets) + o->other_targets;
	int64_t ms = p->aside_ms;

	if (w->aside_until_ms > now_ms)
		return;
	if (outliers_aside(o, now_ms) + o->other_aside + 1 >
	    (size_t)(p->aside_part * (double)pool))
		return;
	for (int i = 0; i < w->asides && ms < p->aside_max_ms; i++)
		ms *= 2;
	w->asides++;
	w->errors = 0;
	forget_times(o, w);
	w->aside_until_ms = now_ms + MIN(ms, p->aside_max_ms);
	w->ramp_until_ms = w->aside_until_ms + p->ramp_ms;
}

static void add_time(struct outliers *o, struct watched *w, double ms)
{
	double before = w->samples ? w->first_token_ms : 0;

	w->first_token_ms = w->samples ? before + SMOOTH * (ms - before) : ms;
	o->time_sum += w->first_token_ms - before;
	o->time_count += !w->samples;
	w->samples++;
}

/* Compared with the mean of the others, so that a pool of two can be judged. */
static bool is_slow(const struct outliers *o, const struct watched *w)
{
	double others = o->time_sum - w->first_token_ms;

	if (w->samples < o->policy.slow_samples || o->time_count < 2)
		return false;
	return w->first_token_ms >
	       o->policy.slow_factor * others / (double)(o->time_count - 1);
}

void outliers_ok(struct outliers *o, uint64_t target, int64_t first_token_ms,
		 int64_t now_ms)
{
	struct watched *w = get(o, target);

	if (!w)
		return;
	w->errors = 0;
	add_time(o, w, (double)first_token_ms);
	if (is_slow(o, w))
		set_aside(o, w, now_ms);
	else if (now_ms >= w->ramp_until_ms)
		w->asides = 0;
}

void outliers_error(struct outliers *o, uint64_t target, int64_t now_ms)
{
	struct watched *w = get(o, target);

	if (!w)
		return;
	w->errors++;
	/* One error is enough during the ramp. */
	if (w->errors >= o->policy.errors || now_ms < w->ramp_until_ms)
		set_aside(o, w, now_ms);
}

bool outliers_allow(struct outliers *o, uint64_t target, int64_t now_ms,
		    struct route_random random)
{
	struct watched *w = get(o, target);
	double part;

	if (!w || now_ms >= w->ramp_until_ms)
		return true;
	if (now_ms < w->aside_until_ms)
		return false;
	part = (double)(now_ms - w->aside_until_ms) / (double)o->policy.ramp_ms;
	return random.next(random.ctx) < MAX(part, RAMP_FIRST);
}
