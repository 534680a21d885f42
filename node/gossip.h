/*
 * gossip: membership between nodes over UDP, and the view of the fleet that
 * comes of it and of the platform's list.
 */
#ifndef GOSSIP_H
#define GOSSIP_H

#include "member/member.h"
#include "node/node.h"

/* Name under which nodes tell how many requests they have in progress. */
#define ENTRY_POOL "@entry"

/*
 * The list and what is seen, as one. A listed target is marked leaving or
 * down as the view has it; but when all of a pool seem down, none is marked,
 * as the fault may lie with this node. Nodes that are not listed yet are
 * added while they are up.
 */
struct fleet *fleet_merge(const struct fleet *listed, const struct member *m,
			  int64_t now_ms);

/* The order in which a caller is told of entries. */
struct entries_query {
	const char *zone;
	const char *region;
	double (*random)(void *ctx); /* uniform in (0, 1] */
	void *ctx;
};

/*
 * Nodes for a caller: those of its availability zone, then of its region,
 * then others; suspected ones last. Among equals the order is random, and a
 * node with less in progress is more often ahead. Leaving and dead nodes are
 * left out.
 *
 * Return: array of const struct peer that the fleet owns.
 */
GPtrArray *entries_order(const struct fleet *f, const struct entries_query *q);

#endif
