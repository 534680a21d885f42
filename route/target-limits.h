/*
 * target-limits: limits on the requests a second that targets name for all
 * nodes together, and the share of each that this node may send.
 *
 * Nodes tell each other the limits that they read in responses. Some nodes, the
 * same in the view of each, share a limit; all others send the target nothing.
 * Pure state: times are given by the caller, in ms of its own clock. A lock
 * protects it, so any thread may call each function. See target-limits.c.
 */
#ifndef TARGET_LIMITS_H
#define TARGET_LIMITS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct target_limits;

/* What a target named last. */
struct target_limit {
	uint64_t target;
	int64_t per_1000_s; /* requests in 1,000 seconds; LIMIT_NONE */
	int64_t named_ms;   /* time of the response that says so */
};

#define LIMIT_NONE (-1)

/*
 * How a limit is kept: all nodes together may send burst_min requests and those
 * of burst_s seconds at once, beyond the limit's rate.
 */
struct limit_policy {
	double burst_min;
	double burst_s;
	int64_t min_per_1000_s; /* the least limit that is applied */
};

/*
 * Requests of all kinds. A target that gets none can't tell when its limit
 * ends.
 */
extern const struct limit_policy limit_requests;
/*
 * Requests beyond the room of a target that bears few rejections: in any second
 * no more than the limit.
 */
extern const struct limit_policy limit_overflow;

/* Called when a target's limit changes; must not call back. */
typedef void limit_changed_fn(void *ctx, const struct target_limit *l);

/* self: id of this node. changed may be NULL. */
struct target_limits *target_limits_new(const struct limit_policy *policy,
					uint64_t self,
					limit_changed_fn *changed, void *ctx);
void target_limits_free(struct target_limits *t);
/*
 * Set the nodes that share limits, this one included. Until the first call
 * nothing is sent to targets with limits. unsent_ms: time for which the nodes
 * that no longer do have sent nothing; what they might have sent since then
 * falls to those that take over their shares.
 */
void target_limits_set_nodes(struct target_limits *t, const uint64_t *nodes,
			     size_t n, int64_t unsent_ms);

/* A response names a limit, or LIMIT_NONE. */
void target_limits_name(struct target_limits *t, uint64_t target,
			int64_t per_1000_s, int64_t now_ms);
/*
 * Return when this node may next send the target a request: now_ms or earlier
 * if it may at once, INT64_MAX if it has no share of the limit.
 */
int64_t target_limits_next_ms(struct target_limits *t, uint64_t target,
			      int64_t now_ms);
/*
 * Return the requests a ms that this node may send the target: 0 without a
 * share of its limit, INFINITY if it has none.
 */
double target_limits_per_ms(struct target_limits *t, uint64_t target,
			    int64_t now_ms);
/* Count a request that is sent to the target. */
void target_limits_take(struct target_limits *t, uint64_t target,
			int64_t now_ms);

/*
 * Take limits that other nodes lack, at most max; each is taken as often as
 * target_limits_set_rounds says. Return their number.
 */
size_t target_limits_take_updates(struct target_limits *t,
				  struct target_limit *out, size_t max);
/* List limits, at most max, in turn over the calls; return their number. */
size_t target_limits_list(struct target_limits *t, struct target_limit *out,
			  size_t max);
/*
 * Set how often a limit is sent, and whether those that came from another node
 * are sent on.
 */
void target_limits_set_rounds(struct target_limits *t, unsigned rounds,
			      bool forward);
/* Take over another node's knowledge; its time is converted to this clock. */
void target_limits_receive(struct target_limits *t,
			   const struct target_limit *l);
/* Forget what targets have named before a time, as they are gone. */
void target_limits_expire(struct target_limits *t, int64_t before_ms);

#endif
