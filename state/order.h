/*
 * Orders to the targets of one pool: which model, adapter and version each is
 * to hold. One node at a time gives them, under the pool's lease. docs/STATE.md
 * says which measures keep an order of an old holder harmless.
 */
#ifndef ORDER_H
#define ORDER_H

#include "state/lease.h"

/* An order may reach its target until so long after it was intended. */
#define ORDER_MS 4000

/* What a target holds or should hold. Strings may be "". */
struct order_load {
	const char *model;
	const char *adapter;
	const char *version;
};

struct order_target {
	const char *name;
	bool alive;             /* it could be read back */
	struct order_load held; /* model "" when nothing was ordered */
};

/* An order that is due. */
struct order {
	size_t target; /* index */
	struct order_load load;
};

/*
 * Choose the next order, of at most one target: wants are shared out evenly,
 * and the last copy of a wanted model is never taken away. It is upgraded in
 * place only when no other target could take the new version first.
 *
 * Return: false when every living target holds what it should, or nothing
 * may be done now.
 */
bool order_next(const struct order_target *t, size_t n,
		const struct order_load *wants, size_t wanted,
		struct order *out);

enum order_result {
	ORDER_DONE,   /* nothing is left to order */
	ORDER_DUE,    /* a probe found something to do */
	ORDER_HELD,   /* another node holds the lease */
	ORDER_FAILED, /* try again later */
	ORDER_BUSY,   /* the weight store refused; try again later */
	ORDER_STALE,  /* a target knows a newer holder */
};

enum order_answer {
	ORDER_TAKEN,
	ORDER_REFUSED, /* with an old fencing number */
	ORDER_LOST,    /* not answered; it may have arrived */
};

typedef void order_held_fn(const json_t *orders, void *arg);
typedef void order_sent_fn(enum order_answer a, void *arg);
typedef void order_done_fn(enum order_result r, void *arg);

/* All of it must be called back, or time out, exactly once. */
struct order_ops {
	void *ctx;
	struct platform *plat;
	int64_t (*now)(void *ctx); /* wall clock, ms */
	void (*wait)(void *ctx, int64_t until_ms, void (*fn)(void *arg),
		     void *arg);
	/* Orders in effect at a target; NULL when it does not answer. */
	void (*read_back)(void *ctx, const char *target, order_held_fn *done,
			  void *arg);
	void (*send)(void *ctx, const char *target, const json_t *order,
		     order_sent_fn *done, void *arg);
};

struct order_run;

/* What one run needs to know; copied. */
struct order_task {
	const char *pool;
	const char *holder; /* unique to the process */
	bool probe;         /* only look, without the lease or any write */
	const char *const *targets;
	size_t n;
	const struct order_load *wants;
	size_t wanted;
};

/*
 * Bring the targets of a pool to what is wanted: take the lease, wait out the
 * orders of a predecessor, then read back, write the intended state and send,
 * one target after the other. Ends by done; then order_free.
 */
struct order_run *order_start(const struct order_ops *ops,
			      const struct order_task *task,
			      order_done_fn *done, void *arg);
void order_free(struct order_run *r);
/* Fencing number of the run's lease; 0 before it is taken. */
int64_t order_fence(const struct order_run *r);

/*
 * What the list of orders says that a target holds. The strings belong to the
 * list.
 */
struct order_load order_held(const json_t *orders);
bool order_load_equal(const struct order_load *a, const struct order_load *b);

#endif
