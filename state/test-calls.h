/*
 * Callers that repeat a call through several nodes, and the target they mean,
 * on the fake platform; and the check of what came of it.
 */
#ifndef TEST_CALLS_H
#define TEST_CALLS_H

#include "state/claim.h"
#include "state/test-fake.h"

/* What a caller was told of one send. */
enum told {
	TOLD_NOTHING, /* the node died, or has not answered */
	TOLD_COMPLETE,
	TOLD_NOT_RUN,
	TOLD_UNKNOWN,
	TOLD_RUNNING,  /* come back later */
	TOLD_NO_STORE, /* unknown; come back later */
	TOLD_COUNT,
};

enum target_does {
	TARGET_ANSWERS,
	TARGET_LOSES, /* runs it and its answer is lost */
	TARGET_BUSY,  /* refuses; nothing runs */
};

struct run {
	int64_t attempt;
	int64_t at_ms;
};

struct calls {
	struct fake *fake;
	enum target_does target;
	int64_t work_ms;
	bool naive;       /* dispatch without regard to the verdict */
	GArray *runs;     /* struct run, at the target */
	GPtrArray *sends; /* struct send */
	int serial;
};

struct send {
	struct calls *calls;
	int proc;
	int64_t attempt, latest_ms;
	struct claim *claim;
	char *id;
	enum claim_end how;
	enum told told;
	int64_t arrived_ms;
};

/* What the history of one key shows. */
struct verdicts {
	int64_t double_runs;
	int64_t false_not_run;
	int64_t false_complete;
	int64_t told[TOLD_COUNT];
	int64_t sends;
};

struct calls *calls_new(struct fake *f);
void calls_free(struct calls *c);
/* Send the call to node proc, with a deadline on that node's clock. */
struct send *calls_send(struct calls *c, int proc, int64_t attempt,
			int64_t latest_ms);
void calls_check(const struct calls *c, struct verdicts *v);
/*
 * One seeded schedule: two callers with the same key before three nodes, with
 * faults drawn from the seed. Adds what it shows to v.
 */
void calls_schedule(uint32_t seed, bool naive, struct verdicts *v);

#endif
