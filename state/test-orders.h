/*
 * A pool of targets and nodes that give them orders, on the fake platform.
 */
#ifndef TEST_ORDERS_H
#define TEST_ORDERS_H

#include "state/order.h"
#include "state/test-fake.h"

#define SIM_TARGETS_MAX 16
#define SIM_HOLDERS     3

struct sim_target {
	char name[8];
	bool checks; /* refuses orders with an old fencing number */
	bool down;
	int64_t fence;
	json_t *order; /* in effect, or NULL */
};

struct sim_holder {
	struct orders *orders;
	int proc;
	char id[8];
	struct order_run *run;
	bool probing;
	int64_t next_ms, results[ORDER_STALE + 1];
};

struct orders {
	struct fake *fake;
	size_t n;
	struct sim_target target[SIM_TARGETS_MAX];
	struct sim_holder holder[SIM_HOLDERS];
	struct order_load wants[4];
	size_t wanted;
	int64_t lost_copies;   /* a wanted model lost its last copy */
	int64_t settled_fence; /* highest of a run that found all done */
	/* Took effect after a higher number was known, or had settled. */
	int64_t stale_taken;
	int64_t stale_refused;
	int64_t late_sent; /* by a holder, after the order's latest time */
	double lose;       /* probability that an order's answer is lost */
	GPtrArray *garbage;
};

struct orders *orders_new(struct fake *f, size_t targets, bool checks);
void orders_free(struct orders *o);
/* Start holder p's attempts, one every few seconds. */
void orders_start(struct orders *o, int p);
/* Number of targets that do not hold one of the wants, or not its share. */
size_t orders_wrong(const struct orders *o);
/* Run until none is wrong, at most so long. Returns the time it took. */
int64_t orders_settle(struct orders *o, int64_t most_ms);
/*
 * One seeded schedule: three holders, faults, a change of what is wanted, and
 * pauses or deaths. Returns the number of targets left wrong.
 */
size_t orders_schedule(uint32_t seed, bool checks, struct orders *sum);

#endif
