/*
 * Removal of expired claims from the table. One node at a time should do it to
 * save calls; several at once are safe, as each removal checks the row's
 * version. A struct sweep is used by one thread, that of its platform.
 */
#ifndef SWEEP_H
#define SWEEP_H

#include "state/claim.h"

/* Retention after a claim's last change, or its deadline if that is later. */
#define CLAIM_RETENTION_MS 86400000
/* Largest number of claims that one transaction removes. */
#define SWEEP_BATCH_MAX 100

struct sweep;

/* now returns the wall clock in ms. p and ctx must outlive the sweep. */
struct sweep *sweep_new(struct platform *p, int64_t (*now)(void *ctx),
			void *ctx);
/* Free a sweep; no call of its platform may be in progress. */
void sweep_free(struct sweep *s);
/* Start the next step of the pass if it is due; now_ms is monotonic. */
void sweep_tick(struct sweep *s, int64_t now_ms);

#endif
