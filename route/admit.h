/* Inside the admitting node's object; not for other packages. */
#ifndef ADMIT_H
#define ADMIT_H

#include <glib.h>

#include "route/route.h"

#define SLOT_MS    100 /* resolution of a target's recent history */
#define SLOTS_KEPT 128

/* What was true of a target during one slot of time. */
struct slot {
	int64_t number;   /* time / SLOT_MS */
	int64_t requests; /* most at once; likewise work */
	int64_t work;
	int64_t admitted; /* work admitted in the slot */
};

/* One organisation's use of a target. */
struct usage {
	uint32_t organisation;
	double weight;
	int64_t work;    /* in progress */
	int64_t waiting; /* requests */
	double served;   /* virtual time: work / weight */
	int64_t waiting_work;
};

struct waiting {
	struct admit_ask ask;
	uint64_t order; /* of arrival */
	int64_t work;   /* as counted when it came */
	int64_t give_up_ms;
};

struct counted {
	uint64_t id;
	bool mine;        /* this node admits to it */
	int64_t work;     /* admitted here and not ended */
	int64_t requests; /* likewise */
	int64_t foreign;  /* work that others admitted, as far as reported */
	struct load_report report;
	struct reuse_age reuse_age;
	int64_t took_over_ms;
	int64_t unreachable_ms; /* when it last took no connection; or 0 */
	int64_t until_ms;       /* end of the change of hands */
	unsigned sharers;
	GArray *usage;   /* struct usage */
	double served;   /* virtual time of the request served last */
	double weights;  /* of organisations with work or requests here */
	GArray *waiting; /* struct waiting */
	struct slot slots[SLOTS_KEPT];
	int64_t last_slot; /* number of the newest */
};

struct admit {
	struct admit_limits limits;
	struct route_random random;
	GHashTable *targets; /* id -> struct counted */
	GArray *refused;     /* struct decision, to be given out by poll */
	uint64_t arrivals;
	double request_work; /* smoothed work of a request */
	double refused_part; /* smoothed part of asks that are refused */
	int64_t own_work;    /* of the targets that are this node's */
	size_t own_targets;
	int64_t fleet_work; /* as last told, and this node's part of it */
	int64_t fleet_own;
	size_t fleet_targets;
};

struct counted *counted_find(const struct admit *a, uint64_t target);
/* Work at the target, with what others admitted. */
int64_t counted_load(const struct counted *t);
/* Why the work can not begin now, or REFUSAL_NONE; waiting: share_allows. */
enum refusal counted_room(const struct admit *a, const struct counted *t,
			  const struct admit_ask *q, int64_t waiting,
			  int64_t now_ms);
/* Work of the ask less what the target probably still holds of its prefix. */
int64_t counted_work(const struct counted *t, const struct admit_ask *q);
/* Count the work as begun. */
void counted_add(struct admit *a, struct counted *t, const struct admit_ask *q,
		 int64_t now_ms);
/* Fill in a refusal with its time to come back. */
void refuse(struct admit *a, const struct admit_ask *q, enum refusal why,
	    int64_t now_ms, struct decision *d);

/* share.c */

struct usage *usage_find(const struct counted *t, uint32_t organisation);
/* The organisation's entry, made when it has none. */
struct usage *usage_get(struct counted *t, uint32_t organisation,
			double weight);
/* Forget entries that no longer count and sum up the rest. */
void usage_changed(struct counted *t);
/* Virtual time at which the organisation's next request would start. */
double share_start(const struct counted *t, uint32_t organisation);
/* Virtual time up to which it is served when all that waits has been. */
double share_promised(const struct counted *t, uint32_t organisation);
/*
 * Does the ask leave its organisation within its share? waiting is the ask's
 * work when it is among those that wait, or 0.
 */
bool share_allows(const struct admit *a, const struct counted *t,
		  const struct admit_ask *q, int64_t waiting);
/* Count work that begins. */
void share_charge(struct counted *t, struct usage *u, int64_t work);

/* queue.c */

/* Is there one who waits that comes before this ask? */
bool queue_goes_first(const struct admit *a, const struct counted *t,
		      const struct admit_ask *q, int64_t now_ms);
/* Queue the ask or refuse it, or another in its place, for the reason why. */
void queue_add(struct admit *a, struct counted *t, const struct admit_ask *q,
	       enum refusal why, int64_t now_ms, struct decision *d);
/* Refuse all who wait. */
void queue_drop(struct admit *a, struct counted *t, int64_t now_ms);

#endif
