/*
 * list-deadline: until when the list of targets may be used to send requests. A
 * target that reports that it leaves, or is removed, must get no request later
 * than the drain time after the store has acknowledged that. A list that was
 * the store's newest at some time lacks only what came later, so it may be used
 * for the drain time from then on, however the node came by it. Pure functions.
 */
#ifndef LIST_DEADLINE_H
#define LIST_DEADLINE_H

#include <stdint.h>

/* See disturbed_ms. */
#define LIST_EXTENSION_MS 600
/* Kept of the contact time for the way from the check to the target. */
#define LIST_WAY_MS 100

struct list_evidence {
	int64_t confirmed_ms; /* the list was the newest then; 0: never */
	/*
	 * The store did not answer then; 0: never. Targets can't report to it
	 * while it is down, and callers are better served by the last known
	 * list than not at all. This extends the use of the list by
	 * LIST_EXTENSION_MS at a time only, so that it ends soon when the
	 * control thread stands still.
	 */
	int64_t disturbed_ms;
};

/* Bounds that the operator sets, in milliseconds. */
struct list_bounds {
	int64_t drain_ms;   /* after which a leaving target gets no requests */
	int64_t contact_ms; /* after a disturbance, for a node to catch up */
};

/* Return when the list must no longer be used; 0: it must not be used at all.
 */
int64_t list_deadline_ms(const struct list_evidence *e,
			 const struct list_bounds *b, int64_t now_ms);

#endif
