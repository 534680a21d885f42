/*
 * begun-queue: requests for the rest of an answer of which the caller has a
 * part, while no target takes them. Whatever holds the targets back, they get
 * the next place before any new request does, the earliest deadline first.
 *
 * A request waits only if the targets will take it in time, as far as is known,
 * with those that go before it; else it is refused at once. The wait ends when
 * a target takes it, or when it is found that none will, as the list, the
 * configuration or a limit has changed. Traffic thread only; it knows nothing
 * of exchanges, which give it callbacks.
 */
#ifndef BEGUN_QUEUE_H
#define BEGUN_QUEUE_H

#include "entry/internal.h"

/* Most requests that wait, and their share of the process's memory. */
#define BEGUN_QUEUE_MAX          512
#define BEGUN_QUEUE_MEMORY_SHARE 0.05

/* Latest time that a refusal names for the return of its caller, from now. */
#define BEGUN_RETRY_AFTER_MAX_MS 60000

struct begun_queue;

/* A request; the owner sets the fields before it adds it. */
struct begun_wait {
	const struct entry_service *service;
	uint64_t version; /* see pool_choose_target */
	int64_t deadline_ms;
	size_t bytes;        /* that it holds in memory */
	bool awaits_retry;   /* of the service's retry budget, not a target */
	bool queued;         /* set by the queue, like those that follow */
	int64_t since_ms;    /* when it was first added; 0: never */
	int64_t retry_at_ms; /* of a refusal: when there is room; 0: unknown */
	unsigned causes;     /* enum supply_cause, over the whole wait */
	void *owner;
};

struct begun_ops {
	/*
	 * Look for a target again; the request has left the queue, and may be
	 * added anew.
	 */
	void (*attempt)(struct begun_wait *w);
	/* None will take it in time; it has left the queue. */
	void (*refuse)(struct begun_wait *w);
};

struct begun_queue *begun_queue_new(struct traffic *tr,
				    const struct begun_ops *ops);
void begun_queue_free(struct begun_queue *q);
/* Wait, after a look for a target; false: none will take it in time. */
bool begun_queue_add(struct begun_queue *q, struct begun_wait *w,
		     int64_t now_ms);
/* Leave the queue, if it is there. */
void begun_queue_leave(struct begun_queue *q, struct begun_wait *w);
/* Let those that wait look for targets; before each new request. */
void begun_queue_serve(struct begun_queue *q);
/* The same, and refuse those that can't be served in time any more. */
void begun_queue_check(struct begun_queue *q, int64_t now_ms);
/* Refuse all, as the node leaves; none is added from then on. */
void begun_queue_close(struct begun_queue *q);
/* Return the number of requests that wait. */
size_t begun_queue_length(const struct begun_queue *q);
/* Return the causes of a wait for the log, such as "limit,rest". */
const char *begun_causes_text(void *arena, unsigned causes);

#endif
