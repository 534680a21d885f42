/*
 * Engines evict the prefix that was used longest ago, so that one age divides
 * what a target still holds from what it does not.
 */
#include "route/route.h"

#define FIRST_LIMIT_MS 60000 /* of a target not known yet */
#define FALL           0.75  /* part of the distance that a miss takes */
#define TRUSTED        0.6   /* part of the limit up to which it is relied on */

static int64_t limit(const struct reuse_age *r)
{
	return r->known ? r->limit_ms : FIRST_LIMIT_MS;
}

bool reuse_age_expects(const struct reuse_age *r, int64_t age_ms)
{
	return (double)age_ms <= TRUSTED * (double)limit(r);
}

void reuse_age_learn(struct reuse_age *r, int64_t age_ms, bool reused)
{
	int64_t now = limit(r);

	if (reused == (age_ms <= now))
		return;
	r->known = true;
	r->limit_ms = reused ? age_ms
			     : now - (int64_t)(FALL * (double)(now - age_ms));
}
