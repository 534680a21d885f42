/* The last crashes of targets, in a ring. */
#include "route/recent-crashes.h"
#include "route/crash-evidence.h"

static struct recent_crash *find(struct recent_crashes *r, uint32_t target)
{
	for (size_t i = 0; i < RECENT_CRASHES_MAX; i++)
		if (r->v[i].at_ms && r->v[i].target == target)
			return &r->v[i];
	return NULL;
}

bool recent_crashes_add(struct recent_crashes *r, const struct cause_crash *c)
{
	struct recent_crash *known = find(r, c->target);

	if (known) {
		known->at_ms = MAX(known->at_ms, c->at_ms);
		return c->at_ms > known->alive_ms;
	}
	r->v[r->next++ % RECENT_CRASHES_MAX] =
		(struct recent_crash){c->target, c->at_ms, 0};
	return true;
}

const struct recent_crash *recent_crashes_alive(struct recent_crashes *r,
						uint32_t target,
						int64_t alive_ms)
{
	struct recent_crash *known = find(r, target);

	if (!known || known->at_ms > alive_ms ||
	    known->at_ms <= known->alive_ms)
		return NULL;
	known->alive_ms = alive_ms;
	return known;
}

bool recent_crash_counts(const struct recent_crash *r)
{
	return r->at_ms > r->alive_ms;
}

int64_t recent_crashes_last_ms(const struct recent_crashes *r)
{
	int64_t last_ms = 0;

	for (size_t i = 0; i < RECENT_CRASHES_MAX; i++)
		if (recent_crash_counts(&r->v[i]))
			last_ms = MAX(last_ms, r->v[i].at_ms);
	return last_ms;
}

size_t recent_crashes_at(const struct recent_crashes *r, int64_t at_ms)
{
	size_t n = 0;

	for (size_t i = 0; i < RECENT_CRASHES_MAX; i++)
		n += recent_crash_counts(&r->v[i]) &&
		     ABS(r->v[i].at_ms - at_ms) < CRASH_GAP_MS;
	return n;
}
