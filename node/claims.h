/* claims: at most once for calls that must not be repeated. */
#ifndef CLAIMS_H
#define CLAIMS_H

#include "node/node.h"
#include "state/issue.h"

/*
 * Ask for the right to run the request. One without a key gets one that this
 * node issues, and reads it in the answer's Idempotency-Key. what names the
 * call within the service, as method and path.
 *
 * Return: RAMP_OK and *stored false: run it, then call claims_end. RAMP_OK
 * and *stored: it has run and *out is its answer, in the request's arena. Any
 * other kind: refuse it.
 */
enum ramp_error claims_begin(struct request *rq, const struct _u_request *q,
			     const char *operation, bool *stored,
			     struct claim_answer *out);
/*
 * Record how the request ended: e is RAMP_OK with an answer, or an error
 * kind, whose outcome counts. Does nothing without a claim, or again.
 */
void claims_end(struct request *rq, enum ramp_error e,
		const struct claim_answer *a);
/* Answer a repeat with what was stored. */
int claims_replay_answer(struct request *rq, struct _u_response *r,
			 const struct claim_answer *a);

#endif
