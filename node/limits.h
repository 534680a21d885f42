/*
 * limits: what an organisation declares at most holds across the fleet. One
 * node holds an organisation's pool and grants parts of it to the nodes that
 * have demand; each spends its part alone. The decisions are route's.
 */
#ifndef LIMITS_H
#define LIMITS_H

#include "node/node.h"

struct limits;

struct limits *limits_new(uint64_t seed);
void limits_free(struct limits *l);
/*
 * Count the request against its organisation's limits. Waits a moment for the
 * first grant; refuses at once when a grant is there and used up.
 *
 * Return: RAMP_OK, or RAMP_ERR_OVER_LIMIT with rq->retry_at_ms set.
 */
enum ramp_error limits_enter(struct request *rq);
/* Give back what limits_enter took, if it did. */
void limits_leave(struct request *rq);

/* POST /internal/limits: other nodes ask for grants; the body is signed. */
int on_peer_limits(const struct _u_request *q, struct _u_response *r,
		   void *node);

#endif
