/*
 * Orders to the targets of one pool: which model, adapter and version each has
 * to load. One node at a time sends them, the holder of the pool's lease.
 * docs/STATE.md lists what makes a late order of an earlier holder harmless.
 *
 * A run belongs to the caller and is used by one thread, the one on which
 * struct order_ops calls back.
 */
#ifndef ORDER_H
#define ORDER_H

#include "state/lease.h"

/* An order is not sent later than this after it was chosen. */
#define ORDER_VALID_MS 4000

/* What a target has loaded, or has to load. Strings may be "". */
struct order_load {
	const char *model;
	const char *adapter;
	const char *version;
};

struct order_target {
	const char *name;
	bool alive;             /* its orders could be read back */
	struct order_load held; /* as ordered; model "" without an order */
};

/* An order to send. */
struct order {
	size_t target; /* index into the targets */
	struct order_load load;
};

/*
 * Choose the next order, for one of n targets. The desired loads are divided
 * evenly over the targets, and the last copy of a desired model is never
 * replaced by another model. It is upgraded in place only if no other target
 * can take the new version first.
 *
 * Return: false if all alive targets hold what they should, or if no order is
 * safe now.
 */
bool order_next(const struct order_target *t, size_t n,
		const struct order_load *desired, size_t desired_count,
		struct order *out);

/* Result of a run. */
enum order_result {
	ORDER_DONE,       /* all targets hold what they should */
	ORDER_DUE,        /* a probe found an order to send */
	ORDER_LEASE_HELD, /* another node holds the lease */
	ORDER_FAILED,     /* lease, store or target failed; try again later */
	ORDER_WEIGHTS_REFUSED, /* the weight store refused; try again later */
	ORDER_FENCED,          /* a target has seen a newer fencing token */
};

/* Answer of a target to an order. */
enum order_answer {
	ORDER_ACCEPTED,
	ORDER_REFUSED,    /* its fencing token is too old */
	ORDER_UNANSWERED, /* no answer; the order may have arrived */
};

/* Receives the orders in effect at a target; NULL if it did not answer. */
typedef void order_read_back_fn(const json_t *orders, void *arg);
typedef void order_sent_fn(enum order_answer a, void *arg);
typedef void order_done_fn(enum order_result r, void *arg);

/* Services that a run needs. Each must call back exactly once, also on
 * time-out. */
struct order_ops {
	void *ctx;
	struct platform *plat;
	int64_t (*now)(void *ctx); /* wall clock, ms */
	/* Call fn when now has reached until_ms. */
	void (*wait)(void *ctx, int64_t until_ms, void (*fn)(void *arg),
		     void *arg);
	/* Read the list of the orders in effect at a target. */
	void (*read_back)(void *ctx, const char *target,
			  order_read_back_fn *done, void *arg);
	void (*send)(void *ctx, const char *target, const json_t *order,
		     order_sent_fn *done, void *arg);
};

struct order_run;

/* Input of a run; copied by order_start. */
struct order_task {
	const char *pool;
	const char *holder; /* id of the process, unique in the fleet */
	bool probe;         /* only read, without the lease or any write */
	const char *const *targets;       /* names */
	size_t n;                         /* of targets */
	const struct order_load *desired; /* what the services need loaded */
	size_t desired_count;
};

/*
 * Start a run that makes the targets of a pool hold the desired loads. It
 * acquires the lease, waits until the orders of an earlier holder have expired
 * and reads back what the targets hold. Then, for one target after the other,
 * it writes the intended state, sends the order and reads it back.
 *
 * done is called once; free the run with order_free after it.
 */
struct order_run *order_start(const struct order_ops *ops,
			      const struct order_task *task,
			      order_done_fn *done, void *arg);
void order_free(struct order_run *r);
/* Return the fencing token of the run's lease; 0 before it is acquired. */
int64_t order_fence(const struct order_run *r);

/*
 * Return what a target holds by the list of its orders. The strings belong to
 * the list.
 */
struct order_load order_load_from_list(const json_t *orders);
bool order_load_equal(const struct order_load *a, const struct order_load *b);

#endif
