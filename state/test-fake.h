/*
 * A fake of struct platform for tests and benches: table service, object store
 * and weight store on a virtual clock. Several simulated processes share it,
 * and each can be paused or killed between any two of its steps. Everything
 * runs on the caller's thread, in an order that follows from the seed.
 */
#ifndef TEST_FAKE_H
#define TEST_FAKE_H

#include "state/state.h"

#define FAKE_PROCS_MAX 400

/* Faults of the platform. Those of type double are probabilities per call. */
struct fake_faults {
	double lose_answer;  /* the call takes effect, its answer is lost */
	double lose_request; /* the call is lost before it takes effect */
	double late_effect;  /* the call takes effect after its timeout */
	double refuse;
	double stale;            /* a read answers from an earlier revision */
	int64_t stale_revisions; /* by at most so many revisions */
	int64_t delay_min_ms, delay_max_ms; /* of a call, and of its answer */
	int64_t timeout_ms; /* after which a lost call gives PLAT_UNKNOWN */
	int64_t down_from_ms, down_until_ms; /* outage: PLAT_UNREACHABLE */
	bool table_only; /* only the table service has the outage */
};

/* A simulated process. */
struct fake_proc {
	struct fake *fake;
	struct platform plat;
	bool dead;
	int64_t paused_until_ms;
	int64_t clock_offset_ms; /* of its wall clock */
	int64_t steps;           /* events run so far */
	/*
	 * Step, counted from 1, before which it is killed or paused; 0: none.
	 */
	int64_t kill_at_step, pause_at_step;
	int64_t pause_ms;
};

typedef void fake_fn(void *arg);

struct fake {
	int64_t now_ms;
	struct fake_faults faults;
	struct fake_proc procs[FAKE_PROCS_MAX];
	GRand *rand;
	GSequence *events;
	uint64_t events_scheduled;
	GTree *rows; /* key -> GArray of struct fake_version, oldest first */
	GHashTable *objects; /* name -> GBytes */
	int64_t revision;    /* of the table */
	/* Calls that took effect, and rows that they returned. */
	int64_t reads, writes;
	int64_t rows_read;
	int64_t weights_from_ms; /* until then weight reads are refused */
	int64_t weight_ms;       /* duration of a weight read */
	int64_t weight_refusals;
	json_t *instances;
};

struct fake *fake_new(uint32_t seed);
void fake_free(struct fake *f);
/* Return the platform for calls of process p. */
struct platform *fake_platform(struct fake *f, int p);
/* Return the wall clock of process p. */
int64_t fake_clock(const struct fake *f, int p);
/* Run fn after delay_ms, as a step of process p, or of no process if -1. */
void fake_schedule(struct fake *f, int p, int64_t delay_ms, fake_fn *fn,
		   void *arg);
/* Run the next event. Return false if there is none. */
bool fake_step(struct fake *f);
/* Run all events up to until_ms, and set the clock to it. */
void fake_run(struct fake *f, int64_t until_ms);
/* Write the rows {"key": value, ...} at a new revision, without faults. */
void fake_commit_rows(struct fake *f, const json_t *rows);
/* Delete a row at the table's present revision. */
void fake_delete(struct fake *f, const char *key);
/* Return the present value of a row, or NULL; it belongs to the fake. */
json_t *fake_row(const struct fake *f, const char *key);

/* Private to the fake: the versions of a row. */
struct fake_version {
	int64_t revision;
	json_t *value; /* NULL: deleted */
};

GTree *fake_rows_new(void);
/* Return the version of a row at a revision, NULL if it is absent then. */
const struct fake_version *fake_version_at(const GArray *a, int64_t revision);
const struct fake_version *fake_newest(const struct fake *f, const char *key);
/* Add a version at the present revision; value NULL deletes the row. */
void fake_write(struct fake *f, const char *key, json_t *value);

#endif
