/*
 * Discrete-event simulation of a fleet, to compare routing strategies: seeded
 * chats of several turns, engines with bounded prefix caches, delayed load
 * reports, and nodes that learn of joins and losses at different times. A
 * struct strategy decides where requests go; all else is the same for each.
 *
 * One thread runs one simulation; several may run at once in other threads. The
 * simulation owns its chats, engines and views, a strategy its context.
 */
#ifndef BENCH_ROUTE_H
#define BENCH_ROUTE_H

#include <glib.h>

#include "route/route.h"

#define CACHE_ENTRIES_PER_CHAT 4   /* engines that can cache a chat's prefix */
#define OUTPUT_MEAN_TOKENS     227 /* of an answer; also a request's estimate */
#define TOKEN_MS               48  /* decoding time of a token */
#define PREFILL_PER_S          8000 /* prompt tokens, for each request */
#define REPORT_MS              500  /* interval of load reports */
#define REPORT_LAG_MS          1000 /* age of a report as it arrives */
#define VIEW_LAG_MAX_MS        5000 /* until all nodes know of a join or loss */
#define TICK_MS                100  /* interval of samples and control */
#define ENGINE_NONE            SIZE_MAX

/* Size and load of a simulated fleet. */
struct scenario {
	const char *suffix; /* of row names, such as "_9" */
	size_t engines;     /* at the start; a ninth as many may join */
	size_t nodes;
	double rate;      /* requests per second per engine */
	int64_t warm_ms;  /* before figures are taken */
	int64_t run_ms;   /* in which figures are taken */
	int64_t churn_ms; /* interval of losses and joins; 0: none */
	uint32_t organisations;
	bool hints; /* callers send back the hint of the last answer */
};

/* A chat's prefix in an engine's cache, an entry of that engine's LRU list. */
struct cached_prefix {
	size_t engine; /* ENGINE_NONE: unused entry */
	int64_t tokens;
	int32_t older, newer; /* indices of cache entries; -1: none */
};

/* A chat; it has at most one request at a time. */
struct chat {
	uint64_t id;
	uint64_t random;
	uint32_t organisation;
	int turns_left;
	int64_t history; /* prompt tokens from earlier turns */
	int64_t prompt;  /* prompt tokens with the new message */
	int64_t output;  /* tokens of the answer */
	size_t hint;     /* engine of the last answer, or ENGINE_NONE */
	int64_t hint_ms; /* time of the last answer */
	size_t node;     /* entry of the current request */
	size_t engine;
	int64_t work;       /* actual work at the engine, in tokens */
	int64_t arrived_ms; /* first arrival of the current request */
	uint32_t attempt;   /* events of earlier attempts are ignored */
	int64_t reused;     /* prompt tokens in the engine's cache */
	/* For the strategy's own use: */
	size_t charge_slot;   /* account that the request is charged to */
	int64_t charged_work; /* tokens charged to it */
	int stage;
	struct admit_request admission;
};

struct engine {
	uint64_t id;
	bool alive;
	int64_t work;     /* of its running requests, in tokens */
	int64_t requests; /* running */
	int64_t cached_tokens;
	int32_t oldest, newest; /* ends of its LRU list; -1: empty */
	GPtrArray *running;     /* struct chat */
};

/* An engine's load report. */
struct report {
	int64_t work, requests, taken_ms;
};

/* The members of the fleet as one node knows them. */
struct view {
	bool *engines;                        /* believed alive, by index */
	bool *nodes;                          /* likewise */
	struct rendezvous_candidate *targets; /* the engines believed alive */
	size_t count;                         /* of targets */
};

/* An engine or a node joins or is lost. */
struct churn_event {
	int64_t at_ms;
	size_t index;
	bool node;         /* index is a node's, else an engine's */
	bool up;           /* joins, else is lost */
	bool done;         /* has happened */
	int64_t *learn_ms; /* when each node learns of it; 0: it has */
};

struct route_sim;

/*
 * A routing strategy. Hooks marked optional may be NULL. Letters (a) to (d)
 * mark the designs that were considered; the product uses (c).
 */
struct strategy {
	const char *name; /* suffix of row names; "" for the product's */
	void *(*create)(struct route_sim *sim);
	void (*destroy)(void *ctx);
	/* Start the request, queue it, or refuse it. */
	void (*route)(void *ctx, struct chat *c);
	/* Optional; a request ended, or was stopped by the engine's loss. */
	void (*ended)(void *ctx, struct chat *c);
	/* Optional; a request started and c->reused is known. */
	void (*started)(void *ctx, struct chat *c);
	void (*tick)(void *ctx); /* optional; every TICK_MS */
	/* Optional; a node has learned of a join or loss. */
	void (*view_changed)(void *ctx, size_t node,
			     const struct churn_event *event);
	/* Optional; a load report has arrived. */
	void (*reported)(void *ctx, size_t engine);
	void (*node_lost)(void *ctx, size_t node); /* optional */
};

/* Figures of a run after its warm-up. */
struct sim_totals {
	double skew_max;         /* largest load of an engine / mean load */
	double reused, reusable; /* prompt tokens cached; those of history */
	uint64_t requests;       /* started */
	uint64_t refused;        /* attempts refused */
	uint64_t failed;         /* attempts at, or requests on, lost engines */
	uint64_t moved;          /* requests started elsewhere than the hint */
	double waited_ms;        /* from arrival to start, of all requests */
};

struct route_sim {
	struct scenario scenario;
	const struct strategy *strategy;
	void *ctx;
	GRand *rand;
	int64_t now_ms;
	size_t engine_count; /* including those that join later */
	struct engine *engines;
	bool *node_alive;
	uint64_t *node_ids;
	struct view *views;
	struct report *reports;  /* latest to arrive, by engine */
	GArray *delayed_reports; /* not yet arrived, oldest first */
	struct chat *chats;
	size_t chat_count;
	struct cached_prefix *cache_entries;
	int64_t cache_capacity; /* of each engine, in tokens */
	GArray *events;         /* binary heap by time */
	GArray *churn_events;   /* struct churn_event */
	struct sim_totals totals;
};

/* Simulate one strategy in one scenario and return its figures. */
struct sim_totals route_sim_run(const struct scenario *s,
				const struct strategy *strategy, uint64_t seed);
/* Start the chat's request at an engine; return false if it is down. */
bool launch(struct route_sim *sim, struct chat *c, size_t engine);
/* Refuse the request; its caller retries at retry_at_ms. */
void route_sim_refuse_request(struct route_sim *sim, struct chat *c,
			      int64_t retry_at_ms);
/* Return the number of the chat's history tokens in the engine's cache. */
int64_t route_sim_cached_tokens(const struct route_sim *sim,
				const struct chat *c, size_t engine);
/* Return the simulation's random numbers, for the functions of route. */
struct route_random route_sim_random(struct route_sim *sim);
/* Return the work of all engines by their latest reports, in tokens. */
int64_t route_sim_reported_work(const struct route_sim *sim);
/* Stop an engine and empty its cache; callers retry what it ran. */
void route_sim_lose_engine(struct route_sim *sim, size_t engine);

/* Cache the first tokens of the chat at an engine, evicting by last use. */
void engine_cache_store(struct route_sim *sim, struct chat *c, size_t engine,
			int64_t tokens);
/* Remove the chat from the caches of all engines. */
void engine_cache_remove_chat(struct route_sim *sim, struct chat *c);
/* Empty an engine's cache. */
void engine_cache_clear(struct route_sim *sim, size_t engine);

/* Draw the losses and joins of the run. */
void churn_plan(struct route_sim *sim);
/* Apply the losses and joins that are due, and let nodes learn of them. */
void churn_tick(struct route_sim *sim);
/* Update a view's targets from its engines. */
void view_rebuild(struct route_sim *sim, struct view *v);

/* Return the work of a chat's request, in tokens, with so many cached. */
int64_t chat_work(const struct chat *c, int64_t cached);

/* The oracle gives the reuse that the others are compared with. */
extern const struct strategy strategy_oracle, strategy_random, strategy_hash,
	strategy_round_robin, strategy_least_reported;
extern const struct strategy strategy_p2c;     /* (a) */
extern const struct strategy strategy_shares;  /* (b) */
extern const struct strategy strategy_admit;   /* (c) */
extern const struct strategy strategy_credits; /* (d) */

/*
 * Print a row "name value unit bound ok|short", its name made of name, suffix
 * and strategy. The value is ok if it is at least the bound with at_least, else
 * if it is at most the bound.
 */
void print_row(const char *name, const char *suffix, const char *strategy,
	       double value, const char *unit, double bound, bool at_least);

/* Benchmarks outside the simulation; each prints its own rows. */
void bench_fairness(const struct scenario *s);
void bench_retry(const struct scenario *s);
void bench_node_cost(const struct scenario *s);

#endif
