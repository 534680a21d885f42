/*
 * Estimate of a target's eviction age. Engines evict the least recently used
 * prefix, so a single age separates the prefixes that a target still holds from
 * those that it has evicted.
 */
#include "route/route.h"

/* Estimate for a target without observations. */
#define INITIAL_ESTIMATE_MS 60000
/* A miss lowers the estimate by this fraction of its distance to the age. */
#define MISS_STEP 0.75
/* A hit is predicted up to this fraction of the estimate. */
#define SAFETY_FACTOR 0.6

static int64_t estimate(const struct eviction_age *e)
{
	return e->known ? e->estimate_ms : INITIAL_ESTIMATE_MS;
}

bool eviction_age_predicts_hit(const struct eviction_age *e, int64_t age_ms)
{
	return (double)age_ms <= SAFETY_FACTOR * (double)estimate(e);
}

void eviction_age_update(struct eviction_age *e, int64_t age_ms, bool reused)
{
	int64_t old = estimate(e);

	/* The observation agrees with the estimate. */
	if (reused == (age_ms <= old))
		return;
	e->known = true;
	e->estimate_ms =
		reused ? age_ms
		       : old - (int64_t)(MISS_STEP * (double)(old - age_ms));
}
