/*
 * Simulation of at-most-once calls on the fake platform: callers that send a
 * call to several nodes with the same key, the nodes with their claims, and
 * the target. The history shows whether an answer was false.
 */
#ifndef TEST_CALLS_H
#define TEST_CALLS_H

#include "state/claim.h"
#include "state/test-fake.h"

/* Answer that a caller got to one request. */
enum reply {
	REPLY_NONE, /* the node died or did not answer */
	REPLY_COMPLETE,
	REPLY_NOT_RUN,
	REPLY_UNKNOWN,
	REPLY_IN_PROGRESS, /* in progress, retry later */
	REPLY_NO_STORE,    /* unknown, retry later */
	REPLY_COUNT,
};

enum target_behaviour {
	TARGET_ANSWERS,
	TARGET_LOSES_ANSWER, /* the call runs, its answer is lost */
	TARGET_REFUSES,      /* the call does not run */
};

/* One run of the call at the target. */
struct target_run {
	int64_t attempt;
	int64_t at_ms;
};

struct calls {
	struct fake *fake;
	enum target_behaviour target;
	int64_t work_ms;
	bool naive;       /* nodes dispatch whatever the verdict is */
	GArray *runs;     /* of struct target_run */
	GPtrArray *sends; /* of struct send */
	int next_id;
};

/* One request of the call to one node. */
struct send {
	struct calls *calls;
	int proc;
	int64_t attempt, latest_ms;
	struct claim *claim;
	char *id; /* of the call, unique */
	enum claim_outcome outcome;
	enum reply reply;
	int64_t arrived_ms;
};

/* Counts of false answers in the history of one key, or of several. */
struct call_totals {
	int64_t double_runs;    /* keys whose call ran more than once */
	int64_t false_not_run;  /* "not run", but it had run or ran later */
	int64_t false_complete; /* "complete", but it never ran */
	int64_t replies[REPLY_COUNT]; /* all answers */
	int64_t sends;
};

struct calls *calls_new(struct fake *f);
void calls_free(struct calls *c);
/* Send the call to node proc. latest_ms is the deadline by its clock. */
struct send *calls_send(struct calls *c, int proc, int64_t attempt,
			int64_t latest_ms);
/* Add the counts of this history to v. */
void calls_check(const struct calls *c, struct call_totals *v);
/*
 * Run one seeded schedule: one or two callers with the same key, three nodes,
 * and faults drawn from the seed. Add the counts to v.
 */
void calls_schedule(uint32_t seed, bool naive, struct call_totals *v);

#endif
