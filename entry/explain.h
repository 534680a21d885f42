/*
 * explain: answers an operator's question where a request would go now, and
 * why. It listens on a port of its own (settings: section "explain"), which is
 * closed by default.
 *
 * A question is POST /v1/explain with the operator's key as bearer token and a
 * JSON object that describes the request; docs/OPERATIONS.md lists its members
 * and those of the answer. The request passes through the same checks as a
 * caller's (resolve.c, exchange_start), in their order, and the same placement
 * (pool_list_candidates, place_choose). Nothing is counted or taken: no
 * request, token, key rate or retry, and no random number of the traffic
 * thread's. Knowledge that is computed on each use (load sums, token buckets
 * filled by the time that has passed) is brought up to date as by any look at
 * it.
 *
 * Traffic thread only. A question costs one placement, a look at each target of
 * the service, and the text of the answer.
 */
#ifndef ENTRY_EXPLAIN_H
#define ENTRY_EXPLAIN_H

#include "entry/internal.h"

/* Largest question; a larger one is refused with 413. */
#define EXPLAIN_MAX_BYTES (256 << 10)

/*
 * Append the answer to a request at the explain port to out: 200 with the
 * answer, 401 without the operator's key, 404 for another path, 400 with a
 * message for a malformed question. The errors have the form of the
 * administration API (docs/API.md).
 */
void explain_serve(struct buf *out, struct traffic *tr, const struct message *m,
		   struct str body, bool keep);

#endif
