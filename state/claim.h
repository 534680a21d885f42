/*
 * At most once: a claim row written before a call that must not be repeated
 * is dispatched. Only the call that wrote the row may dispatch, and nobody
 * ever takes a claim over that may have been dispatched. docs/STATE.md lists
 * the cases and what the caller is told in each.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include "state/state.h"

enum claim_verdict {
	CLAIM_RUN,      /* dispatch it, then call claim_end */
	CLAIM_STORED,   /* it ran; this is its answer */
	CLAIM_RUNNING,  /* another call holds it; come back at retry_at_ms */
	CLAIM_UNKNOWN,  /* it may have run, and its answer is lost */
	CLAIM_RELEASED, /* this attempt never ran and never will */
	CLAIM_MISMATCH, /* the key was used for another request */
	CLAIM_NO_STORE, /* this call did not run it; an earlier one may have */
};

/* Answer of a call that ran. A body over CLAIM_BODY_MAX is not kept. */
struct claim_answer {
	int status;
	const char *type; /* Content-Type, or NULL */
	struct str body;
	bool kept;
};

#define CLAIM_BODY_MAX 65536 /* bytes */
/* Largest difference between the clocks of two nodes. */
#define CLAIM_DRIFT_MS 500

struct claim_request {
	const char *name;    /* hash of organisation, service and key */
	const char *call;    /* unique to this call in the whole fleet */
	const char *request; /* hash of what the call asks for */
	int64_t attempt;     /* the caller's own count, from 0 */
	int64_t latest_ms;   /* deadline of the call; wall clock */
};

struct claim_result {
	enum claim_verdict verdict;
	struct claim_answer answer; /* of CLAIM_STORED */
	int64_t retry_at_ms;        /* of CLAIM_RUNNING */
};

/* Called exactly once; the result lives for the callback. */
typedef void claim_done_fn(const struct claim_result *r, void *arg);
typedef void claim_ended_fn(void *arg);

struct claim;

/*
 * Ask for the right to run a call. now returns the wall clock in ms; done may
 * be called before this returns. The claim belongs to the caller and is freed
 * by claim_free, after done or, when claim_end was called, after its callback.
 */
struct claim *claim_begin(struct platform *p, const struct claim_request *q,
			  int64_t (*now)(void *ctx), void *ctx,
			  claim_done_fn *done, void *arg);

enum claim_end {
	CLAIM_ENDED_DONE,    /* a whole answer came */
	CLAIM_ENDED_UNKNOWN, /* sent, and its answer was lost */
	CLAIM_ENDED_NOT_RUN, /* nothing was sent, or all targets refused */
};

/*
 * Record how a claimed call ended. An attempt that ended NOT_RUN never runs
 * afterwards; only one with a higher number may take the claim. The caller may
 * be told the outcome whether or not this reaches the store: until then a
 * repeat is told that the call runs, and after its latest time that its outcome
 * is unknown.
 */
void claim_end(struct claim *c, enum claim_end how,
	       const struct claim_answer *a, claim_ended_fn *done, void *arg);
void claim_free(struct claim *c);

/* Name of the claim of an organisation's key. Free with g_free. */
char *claim_name(const char *organisation, const char *service, struct str key);

#endif
