/*
 * Leases with a deadline and a fencing number, one row each in the table. A
 * holder trusts its lease until the deadline less CLAIM_DRIFT_MS; others take
 * it only after the deadline plus CLAIM_DRIFT_MS, so that clocks may differ.
 * The row is never deleted: its fencing number only grows.
 */
#ifndef LEASE_H
#define LEASE_H

#include "state/claim.h"

#define LEASE_MS 20000 /* time for which a lease is taken */

enum lease_result {
	LEASE_TAKEN,
	LEASE_HELD,   /* by another, until *deadline_ms */
	LEASE_FAILED, /* the store can't be asked, or it is too late */
};

struct lease {
	char *name;
	char *holder; /* unique to the process */
	int64_t fence;
	int64_t deadline_ms; /* wall clock */
	int64_t version;     /* of the row */
};

typedef void lease_done_fn(enum lease_result r, void *arg);

/*
 * Take a lease, also one of which this holder is not sure. l->name and
 * l->holder are set by the caller; the rest is set on LEASE_TAKEN. l must live
 * until done is called, which may be before this returns.
 */
void lease_take(struct lease *l, struct platform *p, int64_t (*now)(void *ctx),
		void *ctx, lease_done_fn *done, void *arg);
/* Whether the holder may act on it for some ms more. */
bool lease_is_sure(const struct lease *l, int64_t now_ms, int64_t ms);
/* Let others take it at once; best effort, nothing is called back. */
void lease_release(const struct lease *l, struct platform *p);

#endif
