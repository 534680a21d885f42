/* exchange: one request of a caller, as the files that serve it see it. */
#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "entry/inner.h"

/* Most sends of one request, those that did not run included. */
#define SENDS_MAX 4
/* Time before the deadline in which nothing is sent any more. */
#define DEADLINE_LEAST_MS 20

/* Bytes that a slow caller may leave before the target is held back. */
#define UNSENT_MAX (256 << 10)

struct exchange {
	struct caller *c;
	struct traffic *tr;
	void *arena;
	struct message *rq;
	struct str body;
	struct entry_config *config;
	const struct route_rule *route;
	const struct entry_service *service;
	const struct entry_organisation *owner;
	struct str id;
	struct prompt prompt;
	int64_t arrived_ms;
	int64_t deadline_ms; /* the caller's, or the route's timeout */

	/* The attempt in progress. */
	struct target *target;
	struct str last_target; /* its name, or that of the one before */
	struct str last_source; /* where that was to fetch the prompt, or - */
	struct link *link;
	bool reused;
	int64_t sent_ms;
	/* When to see why no answer has begun; 0: one has. */
	int64_t look_at_ms;
	int64_t patience_ms;
	bool silent;       /* the target was seen to be; counted once */
	bool other_answer; /* the one being read is another request's */
	bool streaming;
	struct message *answer; /* its head, while it is being read */
	struct buf held;        /* its body */

	uint64_t tried[SENDS_MAX];
	int sends;
	int runs; /* sends that may have run */
	struct cutter cut;
	bool given; /* a head has been given to the caller */
	/* When a stream counts as stalled; 0: not, or it can't go on. */
	int64_t stall_at_ms;
	ev_timer timer;
	const char *cause; /* of the last failure, for the log */
};

int64_t exchange_left_ms(const struct exchange *x);
/* Choose a target and send. May end and free the exchange. */
void exchange_attempt(struct exchange *x);
/* Give up the attempt: closing its connection ends the work. */
void exchange_drop_link(struct exchange *x);

/* again.c: whether, when and how it goes on at another target. */

/*
 * Whether it may be sent to another target, when so many of its sends may have
 * run.
 */
bool exchange_may_go_on(const struct exchange *x, int runs);
/* Take one repeat from what the service's window allows. */
bool exchange_pay(const struct exchange *x);
/*
 * The attempt has failed: go on at another target where that is safe and paid
 * for. Returns false when the request must end now.
 */
bool exchange_go_on(struct exchange *x, bool ran, bool arrived);
/* The stream has been silent for too long; returns true when it was left. */
bool exchange_leave_stalled(struct exchange *x);
/* The target has had time to begin its answer; returns true when left. */
bool exchange_look_at_wait(struct exchange *x, int64_t now);

/*
 * bind.c: find the request's route, owner, service, deadline and prompt.
 * Returns RAMP_OK, or why it is refused.
 */
enum ramp_error exchange_bind(struct exchange *x);

/* How urgent the request is, 0 the most, by its owner and route. */
int exchange_priority(const struct exchange *x);
/*
 * send.c: write the request to the attempt's link as the target gets it, which
 * fetches the prompt from source, unless that is NULL.
 */
void exchange_send(struct exchange *x, const struct target *source);

#endif
