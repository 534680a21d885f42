/*
 * limits: what an organisation declares at most holds across the fleet. One
 * node holds an organisation's pool and grants parts of it to the nodes that
 * have demand; each spends its part alone. The decisions are route's.
 */
#ifndef LIMITS_H
#define LIMITS_H

#include "node/node.h"

/* Of a grant, in ms; a lost holder is known by then. */
#define LIMIT_GRANT_TTL_MS 12000

struct limits;

struct limits *limits_new(uint64_t seed);
void limits_free(struct limits *l);
/*
 * Count the request against its organisation's limits. Waits a moment for the
 * first grant; refuses at once when a grant is there and used up.
 *
 * Return: RAMP_OK, or RAMP_ERR_OVER_LIMIT with rq->retry_at_ms set.
 */
enum ramp_error limits_acquire(struct request *rq);
/* Give back what limits_enter took, if it did. */
void limits_release(struct request *rq);

/* POST /internal/limits: other nodes ask for grants; the body is signed. */
int on_peer_limits(const struct _u_request *q, struct _u_response *r,
		   void *node);

/* limit-pools.c: organisations whose limits this node holds. */
struct limit_pools *limit_pools_new(void);
void limit_pools_free(struct limit_pools *l);
/* The live nodes have changed: forget pools that have passed to another. */
void limit_pools_members_changed(struct node *n, struct fleet *f,
				 int64_t now_ms);
/*
 * Answer asks as another node sends them, or this one itself. Organisations
 * that this node doesn't hold are left out.
 */
json_t *limits_grant(struct node *n, const json_t *asks);
/* With which a call's signature covers its body. Free with g_free. */
char *limits_body_digest(const void *data, size_t len);
/* limits.c: what the organisation declares, and whether that is anything. */
struct limit_rates limits_declared(const struct organisation *o);
bool limits_are_declared(const struct organisation *o);
/* limits.c: the node that holds an organisation's pool. */
const struct peer *limits_holder(const struct fleet *f, const char *name);

#endif
