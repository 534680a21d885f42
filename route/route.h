/*
 * route: where a request goes, what is refused and when to come back. Pure
 * decisions: no I/O, threads, wall clock or process-wide state.
 */
#ifndef ROUTE_H
#define ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A candidate for a key's work. */
struct route_rank {
	uint64_t id;    /* hash of the target's name */
	size_t index;   /* the caller's own number for the target */
	uint64_t score; /* set by route_order */
};

/*
 * Sort candidates by rendezvous hashing: the best place for the key first.
 * When a candidate joins or leaves, only keys that it wins move.
 */
void route_order(uint64_t key, struct route_rank *r, size_t n);

#endif
