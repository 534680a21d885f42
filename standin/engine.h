/* Internal to the engine stand-in. */
#ifndef ENGINE_H
#define ENGINE_H

#include "standin/standin.h"

#define REPORTS_KEPT 256

struct faults {
	int64_t lag_ms;    /* reports show the past */
	int64_t gap;       /* leave out every gap-th cache event */
	bool ignore_fence; /* take orders with an old fencing number */
	int64_t cross;     /* next answers carry another's identity */
	int64_t lose;      /* next requests run, answer lost */
	int64_t vanish;    /* as lose, and down from then on */
	int64_t silent;    /* next streams go silent */
	int64_t silent_at; /* ... after this many tokens */
	int64_t slow;      /* factor on the step time */
	int64_t fail;      /* next requests are refused */
	bool differ;       /* other words than the other engines */
	bool down;         /* refuse everything */
	bool leaving;      /* refuse new work and say why */
};

/* One request's work; it outlives its connection so that it can resume. */
struct job {
	char *id;
	char *prompt;
	int64_t prompt_tokens;
	int64_t cached_tokens;
	int64_t prefill_left; /* tokens of the prompt still to read */
	int64_t target_tokens;
	int64_t done_tokens;
	int64_t priority;
	char *reader; /* whose connection is the newest, or NULL */
	bool cancelled;
	int64_t finished_ms; /* 0 while it runs */
	int refs;
};

struct report {
	int64_t at_ms;
	int64_t running, queued, work;
};

struct engine {
	GMutex lock;
	GCond step;
	GHashTable *jobs;  /* id -> struct job */
	GPtrArray *active; /* struct job, in order of priority and arrival */
	GHashTable *runs;  /* id -> number of times it ran */
	struct prefix_cache *cache;
	struct report reports[REPORTS_KEPT];
	uint64_t report_count;
	struct faults faults;
	int64_t cancelled; /* jobs that were cancelled while they ran */
	int64_t step_ms;
	int64_t batch;
	int64_t fence;  /* highest fencing number seen */
	json_t *orders; /* orders that took effect, in order */
	char *model;
	volatile bool stop;
};

/* engine-steps.c: the batch. All but run_steps are called with the lock. */
void *run_steps(void *engine);
struct job *new_job(struct engine *e, const char *id, const json_t *body,
		    int64_t priority);
/* Queue a job; higher priorities first, equal ones in order of arrival. */
void enqueue(struct engine *e, struct job *j);
void unref_job(struct job *j);
void unref_job_value(void *job);

/* engine-control.c: all but streams. */
extern const struct server_route control_routes[];
extern const size_t control_route_count;
int refuse(struct _u_response *r, int status, const char *type);

#endif
