/*
 * Membership protocol between nodes over UDP, and the fleet as it follows from
 * the membership and the platform's instance list. The functions change no
 * shared state; fleet_merge is for the control thread, which owns the member.
 */
#ifndef GOSSIP_H
#define GOSSIP_H

#include "member/member.h"
#include "node/node.h"

/* Pool name under which nodes report their number of requests in progress. */
#define ENTRY_POOL "@entry"

/*
 * Return the platform's list merged with the membership. Listed targets are
 * marked leaving or down as the membership sees them. If all targets of a pool
 * appear to be down, none is marked, as the fault may lie with this node. Nodes
 * that are not listed yet are included while they are up.
 */
struct fleet *fleet_merge(const struct fleet *listed, const struct member *m,
			  int64_t now_ms);

/* Where the caller is, which decides the order of entries. */
struct entries_query {
	const char *zone;
	const char *region;
	double (*random)(void *ctx); /* uniform in (0, 1] */
	void *ctx;
};

/*
 * Order the nodes for a caller: first those of its availability zone, then
 * those of its region, then the others; suspected nodes come last. Within each
 * group the order is random, and a node with fewer requests in progress comes
 * first more often. Leaving and dead nodes are left out.
 *
 * Return: array of const struct peer, which the fleet owns; free the array with
 * g_ptr_array_unref.
 */
GPtrArray *entries_order(const struct fleet *f, const struct entries_query *q);

#endif
