/*
 * Fleet-wide limits of organisations. For each organisation one node, the
 * holder, owns the pool of its limits and grants parts of it, for a time, to
 * the nodes that have demand. Each node then enforces its grant without a call
 * to the holder. The decisions are made in route/.
 *
 * Safe from any thread, except where only the control thread may call.
 */
#ifndef LIMITS_H
#define LIMITS_H

#include "node/node.h"

/* Lifetime of a grant; the nodes notice the loss of a holder within it. */
#define LIMIT_GRANT_TTL_MS 12000

struct limits;

struct limits *limits_new(uint64_t seed);
void limits_free(struct limits *l);
/*
 * Count the request against its organisation's limits. Blocks for a short time
 * while this node has no grant yet; with a grant that is used up it refuses at
 * once.
 *
 * Return: RAMP_OK, or RAMP_ERR_OVER_LIMIT with rq->retry_at_ms set.
 */
enum ramp_error limits_acquire(struct request *rq);
/* Release what limits_acquire counted, if anything. */
void limits_release(struct request *rq);

/*
 * POST /internal/limits: grant parts of limits to another node. The signature
 * covers the body.
 */
int on_peer_limits(const struct _u_request *q, struct _u_response *r,
		   void *node);

/* The pools of the organisations whose holder is this node. */
struct limit_pools *limit_pools_new(void);
void limit_pools_free(struct limit_pools *l);
/*
 * Handle a change of the live nodes, on the control thread: drop the pools that
 * another node holds now.
 */
void limit_pools_members_changed(struct node *n, struct fleet *f,
				 int64_t now_ms);
/*
 * Return the grants that a node asks for; it may be this node itself. Omits
 * organisations whose holder is another node. The caller owns the result.
 */
json_t *limits_grant(struct node *n, const json_t *asks);
/*
 * Return the digest by which a call's signature covers its body. Free with
 * g_free.
 */
char *limits_body_digest(const void *data, size_t len);
/* Return the limits that an organisation declares, and whether it has any. */
struct limit_rates limits_declared(const struct organisation *o);
bool limits_are_declared(const struct organisation *o);
/*
 * Return the node that holds an organisation's pool, or NULL; the fleet owns
 * it.
 */
const struct peer *limits_holder(const struct fleet *f, const char *name);

#endif
