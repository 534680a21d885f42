/*
 * Admission control for the targets that this node admits to: it counts the
 * work at each target and admits, queues or refuses requests. This module adds
 * locks, threads and clocks to the decisions of route/.
 *
 * Safe from any thread, except where only the control thread may call.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include "base/base.h"
#include "route/route.h"

struct admission;

/* A request for admission to a target. */
struct admission_request {
	const char *pool;
	const char *organisation;
	double weight; /* the organisation's */
	uint64_t target;
	int priority;
	int64_t work; /* tokens, if no cached prefix is reused */
	/* Prompt tokens that the target may have cached. */
	int64_t reusable_tokens;
	int64_t reuse_age_ms; /* time since the target last used them */
	/*
	 * All targets have refused once: admit up to the whole bound, and work
	 * of any size to a target whose load is below the pool's mean.
	 */
	bool final_round;
	int64_t deadline_ms;   /* monotonic; likewise below */
	int64_t wait_until_ms; /* latest time to queue until; 0: don't queue */
};

/* Admitted work; release it with admission_release. */
struct admission_grant {
	const char *pool; /* interned */
	struct admit_request request;
	int64_t work; /* tokens as counted; 0: nothing is held */
};

/* Why a request was refused, and when to retry it. */
struct admission_refusal {
	enum refusal reason;
	int64_t load; /* of the target, in tokens; INT64_MAX: not known */
	int64_t retry_at_ms; /* monotonic */
};

/*
 * Create the admission state. max_target_work is the most tokens that a target
 * may hold; organisations are held to their shares when a target comes near it.
 */
struct admission *admission_new(uint64_t seed, int64_t max_target_work);
void admission_free(struct admission *a);
/*
 * Admit a request to a target, blocking in its queue if the request allows
 * that.
 *
 * Return: true with a grant, or false with the refusal.
 */
bool admission_acquire(struct admission *a, const struct admission_request *q,
		       struct admission_grant *grant,
		       struct admission_refusal *refusal);
/*
 * Release a grant when its work has ended or did not begin, and clear it.
 * reused is the number of prompt tokens that the target reported as reused from
 * its cache, -1 if it reported none. Does nothing without a grant.
 */
void admission_release(struct admission *a, struct admission_grant *g,
		       int64_t reused);
/* Return the reused prompt tokens that an event of an answer reports, or -1. */
int64_t admission_parse_reused_tokens(struct str event);

/* The functions below are for the control thread only. */

/*
 * Begin to admit to a target. Until until_ms (monotonic) up to `sharers` nodes
 * may admit to it, as membership views differ, and each uses only its part of
 * the room.
 */
void admission_take_over(struct admission *a, const char *pool, uint64_t target,
			 int64_t until_ms, unsigned sharers);
/* Stop admitting to a target, as another node does so now. */
void admission_hand_over(struct admission *a, const char *pool,
			 uint64_t target);
/* Record a target's load report. */
void admission_record_load(struct admission *a, const char *pool,
			   const struct load_report *r);
/* Set the work and the number of targets of a pool in the whole fleet. */
void admission_set_fleet_totals(struct admission *a, const char *pool,
				int64_t work, size_t targets);
/* Set a target's highest load as a multiple of the pool's mean load. */
void admission_set_load_factor(struct admission *a, const char *pool,
			       double factor);
/*
 * Return the work and the number of the pool's targets that this node admits
 * to.
 */
void admission_owned_totals(struct admission *a, const char *pool,
			    int64_t *work, size_t *targets);

#endif
