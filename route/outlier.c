/*
 * Outlier detection: ejects targets that fail several times in a row or whose
 * time to first token is far above the pool's mean.
 */
#include <glib.h>

#include "route/route.h"

/* Weight of a new sample in the moving average of the time to first token. */
#define FIRST_TOKEN_ALPHA 0.2
/* Smallest fraction of its requests that a target gets during the ramp. */
#define RAMP_MIN 0.1

const struct outlier_policy outlier_policy_default = {
	.consecutive_errors = 3,
	.slow_factor = 3,
	.min_samples = 10,
	.base_ejection_ms = 2000,
	.max_ejection_ms = 60000,
	.ramp_ms = 10000,
	.max_ejected_fraction = 0.35,
};

struct target_health {
	uint64_t id;
	int consecutive_errors;
	int samples;
	double first_token_ms; /* moving average; valid with samples */
	int ejections;         /* since the last success after a ramp */
	int64_t ejected_until_ms;
	int64_t ramp_until_ms;
	bool in_pool; /* set only during outliers_set_pool */
};

struct outliers {
	struct outlier_policy policy;
	GHashTable *targets; /* id -> struct target_health */
	/* Targets that other nodes watch, and how many of them are ejected. */
	size_t other_ejected;
	size_t other_targets;
	/* Sum and number of the first_token_ms of targets with samples. */
	double time_sum;
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

static struct target_health *find(const struct outliers *o, uint64_t target)
{
	return g_hash_table_lookup(o->targets, &target);
}

static void reset_times(struct outliers *o, struct target_health *h)
{
	if (h->samples) {
		o->time_sum -= h->first_token_ms;
		o->time_count--;
	}
	h->samples = 0;
}

static gboolean remove_absent(void *key, void *value, void *ctx)
{
	struct target_health *h = value;
	bool absent = !h->in_pool;

	(void)key;
	if (absent)
		reset_times(ctx, h);
	h->in_pool = false;
	return absent;
}

void outliers_set_pool(struct outliers *o, const uint64_t *targets, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		struct target_health *h = find(o, targets[i]);

		if (!h) {
			h = g_new0(struct target_health, 1);
			h->id = targets[i];
			g_hash_table_insert(o->targets, &h->id, h);
		}
		h->in_pool = true;
	}
	g_hash_table_foreach_remove(o->targets, remove_absent, o);
}

void outliers_set_remote(struct outliers *o, size_t ejected, size_t targets)
{
	o->other_ejected = ejected;
	o->other_targets = targets;
}

size_t outliers_ejected(const struct outliers *o, int64_t now_ms)
{
	GHashTableIter it;
	gpointer p;
	size_t n = 0;

	g_hash_table_iter_init(&it, o->targets);
	while (g_hash_table_iter_next(&it, NULL, &p))
		n += ((struct target_health *)p)->ejected_until_ms > now_ms;
	return n;
}

/*
 * Eject a target, for twice as long as the last time when it has not recovered
 * since. Does nothing when too much of the pool would be ejected.
 */
static void eject(struct outliers *o, struct target_health *h, int64_t now_ms)
{
	const struct outlier_policy *p = &o->policy;
	size_t pool_size = g_hash_table_size(o->targets) + o->other_targets;
	int64_t ms = p->base_ejection_ms;

	if (h->ejected_until_ms > now_ms)
		return;
	if (outliers_ejected(o, now_ms) + o->other_ejected + 1 >
	    (size_t)(p->max_ejected_fraction * (double)pool_size))
		return;
	for (int i = 0; i < h->ejections && ms < p->max_ejection_ms; i++)
		ms *= 2;
	h->ejections++;
	h->consecutive_errors = 0;
	reset_times(o, h);
	h->ejected_until_ms = now_ms + MIN(ms, p->max_ejection_ms);
	h->ramp_until_ms = h->ejected_until_ms + p->ramp_ms;
}

static void add_time(struct outliers *o, struct target_health *h, double ms)
{
	double before = h->samples ? h->first_token_ms : 0;

	h->first_token_ms =
		h->samples ? before + FIRST_TOKEN_ALPHA * (ms - before) : ms;
	o->time_sum += h->first_token_ms - before;
	o->time_count += !h->samples;
	h->samples++;
}

/*
 * Return whether the target is slow compared with the mean of the others; its
 * own time is left out so that a pool of two can be judged.
 */
static bool is_slow(const struct outliers *o, const struct target_health *h)
{
	double others = o->time_sum - h->first_token_ms;

	if (h->samples < o->policy.min_samples || o->time_count < 2)
		return false;
	return h->first_token_ms >
	       o->policy.slow_factor * others / (double)(o->time_count - 1);
}

void outliers_record_success(struct outliers *o, uint64_t target,
			     int64_t first_token_ms, int64_t now_ms)
{
	struct target_health *h = find(o, target);

	if (!h)
		return;
	h->consecutive_errors = 0;
	add_time(o, h, (double)first_token_ms);
	if (is_slow(o, h))
		eject(o, h, now_ms);
	else if (now_ms >= h->ramp_until_ms)
		h->ejections = 0;
}

void outliers_record_error(struct outliers *o, uint64_t target, int64_t now_ms)
{
	struct target_health *h = find(o, target);

	if (!h)
		return;
	h->consecutive_errors++;
	/* During the ramp one error is enough. */
	if (h->consecutive_errors >= o->policy.consecutive_errors ||
	    now_ms < h->ramp_until_ms)
		eject(o, h, now_ms);
}

bool outliers_allow(struct outliers *o, uint64_t target, int64_t now_ms,
		    struct route_random random)
{
	struct target_health *h = find(o, target);
	double allowed;

	if (!h || now_ms >= h->ramp_until_ms)
		return true;
	if (now_ms < h->ejected_until_ms)
		return false;
	allowed = (double)(now_ms - h->ejected_until_ms) /
		  (double)o->policy.ramp_ms;
	return random.next(random.ctx) < MAX(allowed, RAMP_MIN);
}
