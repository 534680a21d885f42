/*
 * Claims: at-most-once execution of calls that are not idempotent. A call
 * writes a claim row before it is dispatched. Only the call that wrote the row
 * may dispatch, and a claim whose call may have been dispatched is never taken
 * over by another. docs/STATE.md lists the cases and the caller's answer in
 * each.
 *
 * A struct claim is used by one thread, that of its platform's callbacks.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include "state/state.h"

/* Decision on a call that asked for a claim. */
enum claim_verdict {
	CLAIM_GRANTED,   /* dispatch the call, then call claim_end */
	CLAIM_COMPLETED, /* an earlier call ran; its answer is in the result */
	CLAIM_IN_PROGRESS, /* another call holds the claim until retry_at_ms */
	CLAIM_OUTCOME_UNKNOWN,   /* an earlier call may have run; its answer is
				    lost */
	CLAIM_RELEASED,          /* this attempt never ran and never will */
	CLAIM_KEY_REUSED,        /* the key was used for another request */
	CLAIM_STORE_UNAVAILABLE, /* this call did not run; an earlier one may
				    have */
};

/* Response to a call that ran. */
struct claim_answer {
	int status;       /* of HTTP */
	const char *type; /* Content-Type, or NULL */
	struct str body;
	bool body_stored; /* false: too large (CLAIM_BODY_MAX_BYTES), or lost */
};

#define CLAIM_BODY_MAX_BYTES 65536
/* Largest difference between the wall clocks of two nodes. */
#define CLOCK_SKEW_MAX_MS 500

struct claim_request {
	const char *name;    /* of the claim, see claim_name */
	const char *call;    /* id of this call, unique in the fleet */
	const char *request; /* hash of the request, to detect a reused key */
	int64_t attempt;     /* counted by the caller, from 0 */
	int64_t latest_ms;   /* deadline of the call; wall clock */
};

struct claim_result {
	enum claim_verdict verdict;
	struct claim_answer answer; /* of CLAIM_COMPLETED */
	int64_t retry_at_ms;        /* of CLAIM_IN_PROGRESS; wall clock */
};

/* Called exactly once; r is valid during the callback only. */
typedef void claim_done_fn(const struct claim_result *r, void *arg);
/* Called exactly once, when the outcome was stored or could not be. */
typedef void claim_ended_fn(void *arg);

struct claim;

/*
 * Ask for the right to run a call. q is copied; p and ctx must outlive the
 * claim. now returns the wall clock in ms. done may be called before this
 * returns. Free the claim with claim_free, after done was called and, if
 * claim_end was called, after its callback too.
 */
struct claim *claim_begin(struct platform *p, const struct claim_request *q,
			  int64_t (*now)(void *ctx), void *ctx,
			  claim_done_fn *done, void *arg);

/* Outcome of a call that was claimed. */
enum claim_outcome {
	CLAIM_ENDED_COMPLETE, /* the complete answer arrived */
	CLAIM_ENDED_UNKNOWN,  /* the call was sent and its answer was lost */
	CLAIM_ENDED_NOT_RUN,  /* nothing was sent, or all targets refused */
};

/*
 * Store the outcome of a call that got CLAIM_GRANTED. An attempt that ended
 * with CLAIM_ENDED_NOT_RUN never runs afterwards; only one with a higher number
 * may take the claim. a is used for CLAIM_ENDED_COMPLETE only.
 *
 * The caller may be answered even if the store can't be reached. A repeat then
 * gets CLAIM_IN_PROGRESS until latest_ms has passed, and CLAIM_OUTCOME_UNKNOWN
 * after it.
 */
void claim_end(struct claim *c, enum claim_outcome outcome,
	       const struct claim_answer *a, claim_ended_fn *done, void *arg);
void claim_free(struct claim *c);

/*
 * Return the name of the claim of an idempotency key: a hash of organisation,
 * service and key. Free with g_free.
 */
char *claim_name(const char *organisation, const char *service, struct str key);

#endif
