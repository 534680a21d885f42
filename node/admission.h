/*
 * admission: this node's counts of the targets it admits for, safe to use
 * from any thread. The decisions are route's.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include "base/base.h"
#include "route/route.h"

struct admission;

/* A request as admission sees it. */
struct admission_ask {
	const char *pool;
	const char *organisation;
	double weight; /* the organisation's */
	uint64_t target;
	int priority;
	int64_t work;          /* tokens, if nothing is reused */
	int64_t reuse;         /* prompt tokens that the target may hold */
	int64_t reuse_age_ms;  /* how long ago it used them */
	bool final_round;      /* no target had room at the first asking */
	int64_t deadline_ms;   /* monotonic; likewise below */
	int64_t wait_until_ms; /* queue no longer than this; 0: not at all */
};

/* Work admitted, to be given back by admission_leave. */
struct admission_grant {
	const char *pool; /* interned */
	struct admit_ask ask;
	int64_t work; /* tokens, as counted; 0: no grant */
};

/* Why a request was refused, and when it may come back. */
struct admission_refusal {
	enum refusal reason;
	int64_t load;        /* of the target, in tokens */
	int64_t retry_at_ms; /* monotonic */
};

/* target_work: most tokens that a target holds; shares bind near it. */
struct admission *admission_new(uint64_t seed, int64_t target_work);
void admission_free(struct admission *a);
/*
 * Ask for a place at a target, and wait for it in the queue where the ask
 * says so.
 *
 * Return: true with a grant, or false with the reason.
 */
bool admission_enter(struct admission *a, const struct admission_ask *q,
		     struct admission_grant *grant,
		     struct admission_refusal *no);
/*
 * The work ended or did not begin. reused is what the target said that it
 * reused of the prompt, in tokens; -1: nothing was heard. Clears the grant.
 */
void admission_release(struct admission *a, struct admission_grant *g,
		       int64_t reused);
/* Tokens reused as an event of an answer tells; -1 when it does not. */
int64_t admission_parse_reused_tokens(struct str event);

/* The functions below are the control thread's. */

/* Admit to the target from now on, with care until until_ms. */
void admission_take(struct admission *a, const char *pool, uint64_t target,
		    int64_t until_ms, unsigned sharers);
void admission_hand_over(struct admission *a, const char *pool,
			 uint64_t target);
void admission_record_load(struct admission *a, const char *pool,
			   const struct load_report *r);
/* Sums of a pool in the whole fleet. */
void admission_set_fleet(struct admission *a, const char *pool, int64_t work,
			 size_t targets);
/* Most load of the pool's targets as a multiple of the fleet's mean. */
void admission_set_load_factor(struct admission *a, const char *pool,
			       double factor);
/* This node's part of them. */
void admission_owned_totals(struct admission *a, const char *pool,
			    int64_t *work, size_t *targets);

#endif
