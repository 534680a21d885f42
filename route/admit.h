/*
 * Internals of admission control, shared by admit.c, admit-queue.c and
 * admit-share.c; not for other folders. struct admit owns everything below it.
 * As with all of route/, one thread at a time uses an object.
 */
#ifndef ADMIT_H
#define ADMIT_H

#include <glib.h>

#include "route/route.h"

/* A target's recent history: 12.8 s in slots of 100 ms. */
#define HISTORY_SLOT_MS 100
#define HISTORY_SLOTS   128

/* What this node had admitted to a target during one slot of time. */
struct history_slot {
	int64_t number;   /* time / HISTORY_SLOT_MS */
	int64_t requests; /* peak in progress */
	int64_t work;     /* peak in progress, tokens */
	int64_t admitted; /* tokens admitted during the slot */
};

/*
 * One organisation's use of a target. Tags are virtual times of start-time fair
 * queueing, in tokens / weight.
 */
struct org_usage {
	uint32_t organisation;
	double weight;
	int64_t work;        /* tokens in progress */
	int64_t queued;      /* requests */
	double finish_tag;   /* of the organisation's last admitted request */
	int64_t queued_work; /* tokens */
};

struct queued_request {
	struct admit_request request;
	uint64_t arrival;   /* number in order of arrival */
	int64_t work;       /* tokens expected on arrival */
	int64_t expires_ms; /* refused then */
};

/* A target that this node owns, or whose admitted work has not ended. */
struct admit_target {
	uint64_t id;
	bool owned;
	int64_t work;         /* tokens admitted here and in progress */
	int64_t requests;     /* admitted here and in progress */
	int64_t foreign_work; /* tokens that other nodes admitted, by report */
	struct load_report report; /* the last one */
	struct eviction_age eviction_age;
	int64_t took_over_ms;
	int64_t unreachable_ms; /* last refused connection; 0: never */
	/* Until then sharers nodes may admit to the target. */
	int64_t handover_until_ms;
	unsigned sharers;
	GArray *usage;        /* struct org_usage */
	double virtual_time;  /* start tag of the last admitted request */
	double active_weight; /* sum over organisations with any request */
	GArray *queue;        /* struct queued_request, in no order */
	struct history_slot history[HISTORY_SLOTS]; /* ring by slot number */
	int64_t newest_slot;                        /* its number */
};

struct admit {
	struct admit_limits limits;
	struct route_random random;
	GHashTable *targets;      /* id -> struct admit_target */
	GArray *pending_refusals; /* struct decision, for admit_poll */
	uint64_t next_arrival;
	double mean_request_work; /* tokens, exponential moving average */
	double refusal_rate;      /* fraction of requests, moving average */
	int64_t owned_work;       /* tokens at the targets owned here */
	size_t owned_targets;
	int64_t fleet_work;       /* as last set by admit_set_fleet_totals */
	int64_t fleet_owned_work; /* owned_work at that time */
	size_t fleet_targets;
};

/* admit.c */

/* Return the target, or NULL when it is unknown. */
struct admit_target *admit_target_find(const struct admit *a, uint64_t target);
/* Return the tokens in progress at the target, from all nodes. */
int64_t admit_target_load(const struct admit_target *t);
/*
 * Check whether the request can start now. queued_work is the request's own
 * part of the organisation's queued work, 0 when it is not in the queue.
 *
 * Return: REFUSAL_NONE, or why it can not.
 */
enum refusal admit_target_check(const struct admit *a,
				const struct admit_target *t,
				const struct admit_request *q,
				int64_t queued_work, int64_t now_ms);
/* Return the request's tokens less the prefix that is probably still cached. */
int64_t admit_expected_work(const struct admit_target *t,
			    const struct admit_request *q);
/* Count the request's work as started. */
void admit_target_begin(struct admit *a, struct admit_target *t,
			const struct admit_request *q, int64_t now_ms);
/* Fill in a refusal with the time to retry at. */
void refuse_request(struct admit *a, const struct admit_request *q,
		    enum refusal why, int64_t now_ms, struct decision *d);

/* admit-share.c */

struct org_usage *org_usage_find(const struct admit_target *t,
				 uint32_t organisation);
/* Return the organisation's entry, adding it when there is none. */
struct org_usage *org_usage_get(struct admit_target *t, uint32_t organisation,
				double weight);
/*
 * Drop the entries of idle organisations whose finish tag is behind the virtual
 * time, as a new entry would get the same start tag; recompute active_weight.
 */
void org_usage_update(struct admit_target *t);
/* Return the start tag of the organisation's next request. */
double share_start_tag(const struct admit_target *t, uint32_t organisation);
/* Return the organisation's finish tag once all its queue has been served. */
double share_queued_finish_tag(const struct admit_target *t,
			       uint32_t organisation);
/*
 * Return whether the organisation stays within its share with the request. For
 * queued_work see admit_target_check.
 */
bool share_allows(const struct admit *a, const struct admit_target *t,
		  const struct admit_request *q, int64_t queued_work);
/* Charge the organisation for work that starts. */
void share_charge(struct admit_target *t, struct org_usage *u, int64_t work);

/* admit-queue.c */

/* Return whether a queued request that could start has precedence over q. */
bool queue_precedes(const struct admit *a, const struct admit_target *t,
		    const struct admit_request *q, int64_t now_ms);
/*
 * Queue a request that can not start for the reason why. When it may not wait
 * it is refused for that reason; when the queue is full, it or another request
 * is refused with REFUSAL_QUEUE_FULL.
 */
void queue_add(struct admit *a, struct admit_target *t,
	       const struct admit_request *q, enum refusal why, int64_t now_ms,
	       struct decision *d);
/* Refuse all queued requests with REFUSAL_TARGET_UNAVAILABLE. */
void queue_refuse_all(struct admit *a, struct admit_target *t, int64_t now_ms);

#endif
