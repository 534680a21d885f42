/*
 * crash-trials: decides when a request with a blocked key is let through, to
 * see whether it still crashes its target. Pure functions of what is known of
 * the key; the owner is crash-causes.c. Times are in ms of the caller's clock.
 */
#ifndef CRASH_TRIALS_H
#define CRASH_TRIALS_H

#include "route/crash-causes.h"

/* The trials that this node has let through since the key's last crash. */
struct crash_trials {
	int64_t at_ms; /* of the last one; 0: none */
	unsigned count;
};

/* What a decision is based on, besides the key's record. */
struct crash_trial_view {
	size_t rank;  /* nodes before this one in the key's rendezvous order */
	size_t allow; /* the number of crashes after which the rules count */
	int64_t last_crash_ms; /* of any target, whatever the key */
	/* The crashes of the key at moments at which others crashed too. */
	bool common[CAUSE_CRASHES_MAX];
};

/* Whether this node is to let a request with the key through now. */
bool crash_trials_due(const struct crash_trials *t,
		      const struct cause_record *r,
		      const struct crash_trial_view *v, int64_t now_ms);

/*
 * Count a trial that begins now; return for how long, in ms, no other node is
 * to begin one.
 */
int64_t crash_trials_begin(struct crash_trials *t, const struct cause_record *r,
			   int64_t now_ms);

#endif
