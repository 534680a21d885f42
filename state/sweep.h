/*
 * Removal of claims that no repeat needs any more. One node at a time should
 * do it; two do no harm.
 */
#ifndef SWEEP_H
#define SWEEP_H

#include "state/claim.h"

/* A claim is kept for so long after its last change. */
#define CLAIM_KEPT_MS 86400000
/* Most claims removed by one transaction. */
#define SWEEP_BATCH 100

struct sweep;

struct sweep *sweep_new(struct platform *p, int64_t (*now)(void *ctx),
			void *ctx);
void sweep_free(struct sweep *s);
/* Goes on with the pass; now_ms is monotonic. */
void sweep_tick(struct sweep *s, int64_t now_ms);

#endif
