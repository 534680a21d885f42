/*
 * At-most-once execution of calls that must not be repeated. A call is run only
 * by the request that holds the claim on its idempotency key. The threads of
 * callers' connections use it; they may block on the table service.
 */
#ifndef CLAIMS_H
#define CLAIMS_H

#include "node/node.h"
#include "state/issued-keys.h"

/*
 * Claim the right to run the request. A request without an idempotency key gets
 * one that this node issues, which the answer returns as Idempotency-Key.
 * operation names the call within the service, such as its method and path.
 *
 * Return: RAMP_OK with *stored false: run it, then call claims_end. RAMP_OK
 * with *stored true: it has already run and *out is its answer, in the
 * request's arena. Any other error: refuse the request with it.
 */
enum ramp_error claims_begin(struct request *rq, const struct _u_request *q,
			     const char *operation, bool *stored,
			     struct claim_answer *out);
/*
 * Record how the claimed request ended: RAMP_OK with its answer, or an error
 * whose outcome is recorded. Does nothing without a claim or when called again.
 */
void claims_end(struct request *rq, enum ramp_error e,
		const struct claim_answer *a);
/* Answer a repeated request with the stored answer. */
int claims_replay_answer(struct request *rq, struct _u_response *r,
			 const struct claim_answer *a);

#endif
