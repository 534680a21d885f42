/*
 * A fleet on a virtual clock for the functions of route: seeded chats that
 * return, engines with limited memory, load reports that come late, and nodes
 * that learn of joins and leaves at different times. One struct way decides
 * where requests go; everything else is the same for all ways.
 */
#ifndef BENCH_ROUTE_H
#define BENCH_ROUTE_H

#include <glib.h>

#include "route/route.h"

#define COPIES        4    /* engines that may hold a chat's prefix */
#define OUTPUT_MEAN   227  /* tokens; also what is expected of a request */
#define TOKEN_MS      48   /* between two tokens of an answer */
#define PREFILL_PER_S 8000 /* prompt tokens read by an engine */
#define REPORT_MS     500  /* between load reports */
#define REPORT_LAG_MS 1000
#define DISAGREE_MS   5000 /* in which all nodes learn of a change */
#define TICK_MS       100  /* between samples and rounds of control */
#define NO_ENGINE     SIZE_MAX

struct shape {
	const char *suffix; /* "_9" */
	size_t engines;     /* at the start; as many again may join */
	size_t nodes;
	double rate; /* requests a second for each engine */
	int64_t warm_ms;
	int64_t run_ms;
	int64_t churn_ms; /* between losses and joins; 0: none */
	uint32_t organisations;
	bool hints; /* callers bring back what answers gave them */
};

/* A prefix held by an engine, in the engine's list by last use. */
struct copy {
	size_t engine; /* NO_ENGINE: unused */
	int64_t tokens;
	int32_t older, newer; /* numbers of copies; -1: none */
};

/* A chat; it has at most one request at a time. */
struct chat {
	uint64_t id;
	uint64_t random;
	uint32_t organisation;
	int turns_left;
	int64_t history; /* tokens of the prompt that were there before */
	int64_t prompt;  /* with the new message */
	int64_t output;
	size_t hint; /* engine that answered last, or NO_ENGINE */
	int64_t hint_ms;
	size_t node; /* entry of the request in progress */
	size_t engine;
	int64_t work;     /* true work at the engine */
	int64_t asked_ms; /* when the request first came */
	uint32_t attempt; /* of the request; outdated events differ */
	int64_t reused;   /* prompt tokens that the engine held */
	size_t mark;      /* the way's own; likewise below */
	int64_t mark_work;
	int stage;
	struct admit_ask ask;
};

struct engine {
	uint64_t id;
	bool alive;
	int64_t work;
	int64_t requests;
	int64_t memory; /* tokens held */
	int32_t oldest, newest;
	GPtrArray *running; /* struct chat */
};

struct report {
	int64_t work, requests, taken_ms;
};

/* What one node knows. */
struct view {
	bool *engines; /* alive, by number */
	bool *nodes;
	struct route_rank *targets; /* of the engines believed alive */
	size_t count;
};

/* An engine or a node that joins or leaves. */
struct change {
	int64_t at_ms;
	size_t number;
	bool node, up, done;
	int64_t *known_ms; /* by node; 0 once it knows */
};

struct world;

struct way {
	const char *name; /* "" for the chosen one */
	void *(*create)(struct world *w);
	void (*destroy)(void *ctx);
	/* Start the request, let it wait, or refuse it. */
	void (*route)(void *ctx, struct chat *c);
	void (*ended)(void *ctx, struct chat *c);   /* optional */
	void (*started)(void *ctx, struct chat *c); /* optional */
	void (*tick)(void *ctx);                    /* every 100 ms */
	void (*view_changed)(void *ctx, size_t node,
			     const struct change *); /* optional */
	void (*reported)(void *ctx, size_t engine);  /* optional */
	void (*node_lost)(void *ctx, size_t node);   /* optional */
};

struct sums {
	double skew_max;
	double reused, reusable;
	uint64_t requests, refused, failed, moved;
	double waited_ms;
};

struct world {
	struct shape shape;
	const struct way *way;
	void *ctx;
	GRand *rand;
	int64_t now_ms;
	size_t engine_count; /* with those that join later */
	struct engine *engines;
	bool *node_alive;
	uint64_t *node_ids;
	struct view *views;
	struct report *reports; /* as the nodes know them now */
	GArray *late_reports;   /* on their way */
	struct chat *chats;
	size_t chat_count;
	struct copy *copies;
	int64_t memory; /* tokens that an engine holds */
	GArray *events; /* heap */
	GArray *changes;
	struct sums sums;
};

/* Run one way in one shape. */
struct sums world_run(const struct shape *s, const struct way *way,
		      uint64_t seed);
/* Begin the request at an engine; false when the engine is not there. */
bool world_start(struct world *w, struct chat *c, size_t engine);
/* The request is refused; its caller comes back at that time. */
void world_refuse(struct world *w, struct chat *c, int64_t retry_at_ms);
/* Prefix tokens of the chat that the engine holds. */
int64_t world_cached(const struct world *w, const struct chat *c,
		     size_t engine);
/* Random numbers of the world for the functions of route. */
struct route_random world_random(struct world *w);
/* Work and engines of the fleet, REPORT_LAG_MS ago. */
int64_t world_reported_work(const struct world *w);
/* The engine and what it ran is lost; callers ask again. */
void world_lose_engine(struct world *w, size_t engine);

/* bench-route-memory.c: the engine now holds so much of the chat */
void memory_store(struct world *w, struct chat *c, size_t engine,
		  int64_t tokens);
void memory_forget(struct world *w, struct chat *c);
void memory_clear(struct world *w, size_t engine);

/* bench-route-churn.c */
void churn_plan(struct world *w);
void churn_tick(struct world *w);
void view_rebuild(struct world *w, struct view *v);

/* What a chat's request is expected to cost, reusing so much. */
int64_t chat_work(const struct chat *c, int64_t cached);

/* The ways; NULL-ended. The first of ways is the yardstick of reuse. */
extern const struct way way_oracle, way_random, way_hash, way_round_robin,
	way_least_reported;                      /* bench-route-naive.c */
extern const struct way way_p2c;                 /* bench-route-local.c: (a) */
extern const struct way way_shares, way_credits; /* (b), (d) */
extern const struct way way_admit;               /* bench-route-admit.c: (c) */

/* Print "name value unit bound ok|short". */
void print_row(const char *name, const char *suffix, const char *way,
	       double value, const char *unit, double bound, bool at_least);

/* Rows of their own: bench-route-share.c, -retry.c, -cost.c */
void bench_share(const struct shape *s);
void bench_retry(const struct shape *s);
void bench_cost(const struct shape *s);

#endif
