/*
 * recent-crashes: the targets that have crashed lately, whichever key was
 * there. Each target crashes once, as a restart gives it another id.
 *
 * Pure state without a lock; the owner is crash-causes.c, under whose lock all
 * functions run. Times are in ms of the caller's clock.
 */
#ifndef RECENT_CRASHES_H
#define RECENT_CRASHES_H

#include "route/crash-causes.h"

/* Crashes that are remembered; the oldest are forgotten. */
#define RECENT_CRASHES_MAX 128

/* A target that has crashed, or seemed to. */
struct recent_crash {
	uint32_t target;
	int64_t at_ms;
	int64_t alive_ms; /* it had not crashed before; 0: it had */
};

struct recent_crashes {
	struct recent_crash v[RECENT_CRASHES_MAX];
	size_t next;
};

/*
 * Remember that the target crashed. Return whether it has, and not gone on
 * afterwards.
 */
bool recent_crashes_add(struct recent_crashes *r, const struct cause_crash *c);
/*
 * The target lived at a time. Return its crash if that is news and shows that
 * it had not crashed, else NULL.
 */
const struct recent_crash *recent_crashes_alive(struct recent_crashes *r,
						uint32_t target,
						int64_t alive_ms);
/* Whether it is known not to have gone on; false for an empty place. */
bool recent_crash_counts(const struct recent_crash *r);
/* Return when a target last crashed; 0: not known. */
int64_t recent_crashes_last_ms(const struct recent_crashes *r);
/* Count the targets that crashed at that moment; see CRASH_GAP_MS. */
size_t recent_crashes_at(const struct recent_crashes *r, int64_t at_ms);

#endif
