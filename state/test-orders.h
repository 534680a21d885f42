/*
 * Simulation of one pool: its targets, and the nodes that send them orders, on
 * the fake platform.
 */
#ifndef TEST_ORDERS_H
#define TEST_ORDERS_H

#include "state/order.h"
#include "state/test-fake.h"

#define SIM_TARGETS_MAX 16
#define SIM_HOLDERS     3

struct sim_target {
	char name[8];
	bool checks_fence; /* refuses orders with an old fencing token */
	bool down;
	int64_t fence; /* highest token seen */
	json_t *order; /* in effect, or NULL */
};

/* A node that tries to be the holder of the pool's lease. */
struct sim_holder {
	struct orders *orders;
	int proc; /* index of its process */
	char id[8];
	struct order_run *run;
	bool probing; /* the next run is a probe */
	int64_t next_ms, results[ORDER_FENCED + 1];
};

struct orders {
	struct fake *fake;
	size_t n;
	struct sim_target target[SIM_TARGETS_MAX];
	struct sim_holder holder[SIM_HOLDERS];
	struct order_load desired[4];
	size_t desired_count;
	int64_t lost_copies; /* times that a desired model lost its last copy */
	int64_t done_fence;  /* highest token of a run with ORDER_DONE */
	/* Orders with a token below the target's, or below done_fence. */
	int64_t stale_accepted;
	int64_t stale_refused;
	int64_t sent_late;  /* orders sent after their latest_ms */
	double lose_answer; /* probability that an answer to an order is lost */
	GPtrArray *sim_calls;
};

struct orders *orders_new(struct fake *f, size_t targets, bool checks_fence);
void orders_free(struct orders *o);
/* Let holder p start runs from now on. */
void orders_start(struct orders *o, int p);
/*
 * Count the targets without a desired load, and the desired loads with fewer
 * copies than their share.
 */
size_t orders_count_wrong(const struct orders *o);
/* Run until none is wrong, at most max_ms. Return the time it took, in ms. */
int64_t orders_converge(struct orders *o, int64_t max_ms);
/*
 * Run one seeded schedule: three holders, faults, a change of the desired
 * loads, and pauses or kills. Add the counts to sum.
 *
 * Return: orders_count_wrong at the end.
 */
size_t orders_schedule(uint32_t seed, bool checks_fence, struct orders *sum);

#endif
