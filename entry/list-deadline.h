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

/* Kept of the contact time for the way from the check to the target. */
#define LIST_WAY_MS 100

struct list_evidence {
	int64_t confirmed_ms; /* the list was the newest then; 0: never */
	/*
	 * The store did not answer then; 0: never. Targets can't report to it
	 * while it is down, and callers are better served by the last known
	 * list than not at all. So the list is used on, for a short time at
	 * once, so that its use ends soon when the control thread stands still.
	 * What the store has confirmed later counts instead.
	 */
	int64_t disturbed_ms;
	/* Another node had a newer list, confirmed then; 0: none known. */
	int64_t newer_ms;
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
/* Return when the deadline moves on by itself; 0: it does not. */
int64_t list_next_deadline_ms(const struct list_evidence *e,
			      const struct list_bounds *b, int64_t now_ms);

/*
 * Return when a read must begin to confirm the list before it must no longer be
 * used; answer_ms: the time that the store takes.
 */
int64_t list_read_by_ms(const struct list_evidence *e,
			const struct list_bounds *b, int64_t answer_ms);

#endif
