/*
 * overload: whether a request of a service is sent now or refused because the
 * service's targets are short of room, and when a refused caller may come back.
 *
 * The wait of a new request is predicted from the load and the slots of the
 * service's targets and from the times that this node's requests have run.
 * Requests that would wait past their deadline are refused at once. When the
 * wait stays above the service's lowest latency target, requests are refused
 * by rank: by priority, work, and the organisation's share of the admissions.
 *
 * Pure state: no I/O, no locks, one thread at a time. Times are absolute ms on
 * one clock of the caller's, durations ms, work tokens. Services, routes and
 * organisations are named by 64-bit hashes. The caller owns what overload_new
 * returns.
 */
#ifndef OVERLOAD_H
#define OVERLOAD_H

#include "route/route.h"

/* Loads older than this predict nothing. */
#define OVERLOAD_LOAD_AGE_MAX_MS 3000
/* Bounds of Retry-After: this at least, at most a part of the time left. */
#define OVERLOAD_RETRY_MIN_MS 100
#define OVERLOAD_RETRY_PART   3

/* What the configuration says of a service. */
struct overload_service {
	uint64_t id;
	int64_t latency_target_ms; /* the lowest of its routes */
	unsigned priorities;       /* bit p: a route of it has priority p */
	bool ordered; /* its targets order their queues by priority */
};

/* The service's targets that take requests, as this node sees them. */
struct overload_view {
	double load;         /* requests running and waiting */
	double slots;        /* that run at the same time */
	bool unbounded;      /* a target names no slots, so there is room */
	int64_t load_age_ms; /* time since other nodes reported their loads */
};

struct overload_request {
	uint64_t route;
	uint64_t organisation; /* 0: none */
	int priority;          /* 0 is the most urgent */
	int64_t deadline_ms;
	int64_t latency_target_ms; /* of its route */
	double tokens; /* to be read and written; negative: not known */
};

enum overload_reason {
	OVERLOAD_ADMITTED,
	OVERLOAD_DEADLINE, /* would not be served before its deadline */
	OVERLOAD_RANK,     /* the wait is over what its rank allows */
};

struct overload_verdict {
	enum overload_reason reason;
	bool by_floor;          /* admitted over its limit by a floor */
	double wait_ms;         /* predicted wait of the service */
	double limit_ms;        /* wait up to which the request is admitted */
	int64_t retry_after_ms; /* 0 when it is admitted */
	double pressure; /* load by slots, for overload_record_run; 0: unknown
			  */
};

struct overload;

/* interval_ms: time for which the wait must exceed the target; see above. */
struct overload *overload_new(int64_t interval_ms, struct route_random random);
void overload_free(struct overload *o);

/*
 * Take note of the service's state between requests, several times in
 * interval_ms. Return whether there is still something to observe: requests
 * are predicted to wait, or were so until recently.
 */
bool overload_observe(struct overload *o, const struct overload_service *s,
		      const struct overload_view *v, int64_t now_ms);
/* Decide on a new request, and count it. */
struct overload_verdict overload_decide(struct overload *o,
					const struct overload_service *s,
					const struct overload_view *v,
					const struct overload_request *r,
					int64_t now_ms);

/* What became of an admitted request that ran to its end. */
struct overload_run {
	double pressure;        /* of its verdict */
	bool waited;            /* load was over the slots when it began, too */
	int64_t began_after_ms; /* from sending to the begin of the response */
	int64_t ended_after_ms; /* from sending to the end of the response */
};

void overload_record_run(struct overload *o, uint64_t service, uint64_t route,
			 const struct overload_run *run, int64_t now_ms);
/*
 * Return the time until responses of the route begin while nothing waits, -1
 * if it is not known.
 */
double overload_begin_ms(const struct overload *o, uint64_t service,
			 uint64_t route);
/* Drop what has not been used for long, as its service or route is gone. */
void overload_sweep(struct overload *o, int64_t now_ms);

#endif
