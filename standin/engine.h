/*
 * Internal to the engine stand-in: the state that its HTTP handlers (one thread
 * for each connection) share with the thread that runs the batch. The engine's
 * lock guards all of it unless noted otherwise.
 */
#ifndef ENGINE_H
#define ENGINE_H

#include "standin/standin.h"

#define LOAD_REPORTS_KEPT 256

/* Faults to simulate, set by PUT /standin/faults; zero is no fault. */
struct faults {
	int64_t report_lag_ms;    /* age of the load reports returned */
	int64_t drop_event_every; /* omit every n-th cache event */
	bool ignore_fence;        /* accept orders with a stale fencing token */
	int64_t crossed_answers;  /* next answers have another request's id */
	int64_t lost_answers;     /* next requests run, their answer is lost */
	int64_t lost_then_down;   /* the same; then the engine is down */
	int64_t silent_streams;   /* next streams stop sending */
	int64_t silent_at_token;  /* ... at this token */
	int64_t step_time_factor; /* of the duration of a step; 0 is 1 */
	int64_t refused_requests; /* next requests are refused, not run */
	int64_t late_requests;    /* next ones wait for a try to resume them */
	bool different_words;     /* generate other words than other engines */
	char crash_word[32];      /* prompts with it end the process, when */
				  /* the answer begins; "": none */
	bool down;                /* refuse chats, streams and load reports */
	bool leaving;             /* refuse new jobs; running ones continue */
	bool no_load;             /* close calls for load reports unanswered */
};

/*
 * The work of one request. A job outlives its connection so that a client can
 * resume the stream on another one. Reference-counted: the job table, the batch
 * queue and each open stream hold a reference.
 */
struct job {
	char *id; /* the request id */
	char *prompt;
	int64_t prompt_tokens;
	int64_t cached_tokens;       /* of the prompt, found in the cache */
	int64_t prefill_tokens_left; /* of the prompt, still to process */
	int64_t max_tokens;          /* to generate */
	int64_t generated_tokens;
	int64_t priority; /* higher ones run first */
	char *reader;     /* identity of the latest reader, or NULL */
	bool cancelled;
	int64_t finished_ms; /* monotonic; 0 until finished */
	int refs;
};

/* The load after one step. */
struct load_report {
	int64_t at_ms; /* monotonic */
	int64_t running_jobs, queued_jobs;
	int64_t work_tokens; /* prompt and output tokens left to process */
};

struct engine {
	GMutex lock;
	GCond step_done;
	GHashTable *jobs;       /* request id -> struct job */
	GPtrArray *queue;       /* unfinished jobs by priority and arrival */
	GHashTable *run_counts; /* request id -> number of times it ran */
	GHashTable *unknown;    /* request ids that were asked for in vain */
	struct prefix_cache *cache;
	struct load_report reports[LOAD_REPORTS_KEPT]; /* ring */
	uint64_t report_count;                         /* since the start */
	struct faults faults;
	int64_t cancelled_jobs; /* jobs that were cancelled before their end */
	int64_t step_ms;        /* duration of a step; constant */
	int64_t batch_size;     /* jobs that advance in a step; constant */
	int64_t highest_fence;  /* highest fencing token received */
	json_t *orders;         /* accepted orders, oldest first */
	char *model;            /* name of the model; constant */
	volatile bool stop;     /* also read without the lock */
};

/* The batch. All of these but run_batch need the lock held. */

/* Thread function: advance the batch by one step every step_ms. */
void *run_batch(void *engine);
/*
 * Create a job for the request body, with one reference for the caller, and
 * enter its prompt in the prefix cache.
 */
struct job *job_new(struct engine *e, const char *id, const json_t *body,
		    int64_t priority);
/*
 * Queue a job after those of the same or a higher priority; adds a reference.
 */
void job_enqueue(struct engine *e, struct job *j);
void job_unref(struct job *j);
/* The same, as a GDestroyNotify. */
void job_unref_value(void *job);

/* Handlers of every route that isn't a stream. */

extern const struct server_route control_routes[];
extern const size_t control_route_count;
/* Respond with an error of the given type. */
int refuse_request(struct _u_response *r, int status, const char *type);

#endif
