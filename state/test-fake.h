/*
 * A small fake of struct platform for tests and benches: the table service
 * and object store on a virtual clock, shared by several processes that can
 * be paused and killed between any two of their steps.
 */
#ifndef TEST_FAKE_H
#define TEST_FAKE_H

#include "state/state.h"

#define FAKE_PROCS_MAX 400

/* Probabilities of 0 to 1 for each call, drawn from the fake's seed. */
struct fake_faults {
	double lose_answer;  /* takes effect, never answered */
	double lose_request; /* no effect, never answered */
	double late_effect;  /* takes effect after the caller gave up */
	double refuse;
	double stale;            /* reads that answer from the past */
	int64_t stale_revisions; /* how far back, at most */
	int64_t delay_min_ms, delay_max_ms; /* of each way */
	int64_t timeout_ms;                 /* then a call is PLAT_UNKNOWN */
	int64_t down_from_ms, down_until_ms;
	bool table_only; /* the other services stay up then */
};

struct fake_proc {
	struct fake *fake;
	struct platform plat;
	bool dead;
	int64_t paused_until_ms;
	int64_t clock_offset_ms;
	int64_t steps;             /* events delivered */
	int64_t kill_at, pause_at; /* step before which it happens; 0: never */
	int64_t pause_ms;
};

typedef void fake_fn(void *arg);

struct fake {
	int64_t now_ms;
	struct fake_faults faults;
	struct fake_proc procs[FAKE_PROCS_MAX];
	GRand *rand;
	GSequence *events;
	uint64_t event_count;
	GTree *rows; /* key -> GArray of versions, oldest first */
	GHashTable *objects;
	int64_t revision;
	int64_t reads, writes;
	int64_t rows_read;
	int64_t weights_from_ms; /* the weight store is free from then on */
	int64_t weight_ms;       /* time of one weight read */
	int64_t weight_refusals;
	json_t *instances;
};

struct fake *fake_new(uint32_t seed);
void fake_free(struct fake *f);
/* The platform as process p sees it. */
struct platform *fake_platform(struct fake *f, int p);
/* Clock of process p, with its offset. */
int64_t fake_clock(const struct fake *f, int p);
/* Run fn as a step of process p after delay_ms. */
void fake_after(struct fake *f, int p, int64_t delay_ms, fake_fn *fn,
		void *arg);
/* Run the next event. Returns false when there is none. */
bool fake_step(struct fake *f);
/* Run events until the clock stands at until_ms or none is left. */
void fake_run(struct fake *f, int64_t until_ms);
/* Write rows at once, without faults: {"key": value, ...}. */
void fake_seed(struct fake *f, const json_t *rows);
void fake_delete(struct fake *f, const char *key);
/* Present value of a row, or NULL; borrowed. */
json_t *fake_row(const struct fake *f, const char *key);

/* test-rows.c: used by the fake itself. */
struct fake_version {
	int64_t revision;
	json_t *value; /* NULL: deleted */
};

GTree *fake_rows_new(void);
/* The version that a revision shows, or NULL. */
const struct fake_version *fake_version_at(const GArray *a, int64_t revision);
const struct fake_version *fake_newest(const struct fake *f, const char *key);
void fake_write(struct fake *f, const char *key, json_t *value);

#endif
