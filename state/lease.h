/*
 * Leases with a deadline and a fencing token, one row of the table each. To
 * allow for clock skew, a holder uses its lease only until CLOCK_SKEW_MAX_MS
 * before the deadline, and another node takes it only CLOCK_SKEW_MAX_MS after
 * the deadline. The row is never deleted, so its fencing token only grows.
 *
 * A struct lease belongs to the caller and is used by one thread.
 */
#ifndef LEASE_H
#define LEASE_H

#include "state/claim.h"

#define LEASE_DURATION_MS 20000

enum lease_result {
	LEASE_ACQUIRED,
	LEASE_HELD_BY_OTHER, /* until the lease's deadline_ms */
	LEASE_FAILED,        /* the store failed, or the deadline passed */
};

struct lease {
	char *name;          /* of the pool */
	char *holder;        /* id of the process, unique in the fleet */
	int64_t fence;       /* fencing token; 0: never acquired */
	int64_t deadline_ms; /* wall clock */
	int64_t version;     /* of the row */
};

typedef void lease_done_fn(enum lease_result r, void *arg);

/*
 * Acquire a lease. It may be one that this holder already has or may have, for
 * instance from an earlier call whose answer was lost. The caller sets l->name
 * and l->holder; on LEASE_ACQUIRED the rest is set, on LEASE_HELD_BY_OTHER
 * only deadline_ms, to that of the other holder. now returns the wall clock in
 * ms. l must stay valid until done is called, which happens once, and may
 * happen before this returns.
 */
void lease_acquire(struct lease *l, struct platform *p,
		   int64_t (*now)(void *ctx), void *ctx, lease_done_fn *done,
		   void *arg);
/* Return whether the holder may use the lease for ms more from now_ms on. */
bool lease_is_valid_for(const struct lease *l, int64_t now_ms, int64_t ms);
/* Let others acquire the lease at once. Best effort, without a callback. */
void lease_release(const struct lease *l, struct platform *p);

#endif
