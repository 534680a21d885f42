/*
 * What tests with real processes share: stand-ins and nodes on free ports, a
 * caller that reads an answer event by event, and a relay between two ends
 * that can lose track of its connections.
 */
#ifndef TEST_HARNESS_H
#define TEST_HARNESS_H

#include "base/base.h"
#include "http/http.h"
#include "standin/standin.h"

#define RIG_MAX       4
#define RIG_VALID_MS  500   /* entries.valid */
#define RIG_SPREAD_MS 500   /* entries.spread */
#define WAIT_MS       30000 /* then anything waited for has failed */

/* Wait until the condition holds; the test fails after WAIT_MS. */
#define WAIT_UNTIL(cond)                                                       \
	do {                                                                   \
		int64_t wait_until_ = time_mono_ms() + WAIT_MS;                \
		while (!(cond)) {                                              \
			g_assert_cmpint(time_mono_ms(), <, wait_until_);       \
			g_usleep(5000);                                        \
		}                                                              \
	} while (0)

/* A process of the test; it ends with the test, however that ends. */
struct proc {
	char *name;
	GPid pid; /* 0 when it doesn't run */
	int port;
	int shown_port; /* as the instance list names it */
	bool leaving;
};

/* Platform, engines, plain services and nodes n1, n2, ... */
struct rig {
	char *dir;
	char *extra; /* lines added to each node's settings */
	struct proc platform;
	struct proc engines[RIG_MAX], services[RIG_MAX], nodes[RIG_MAX];
	unsigned engine_count, service_count, node_count;
};

/*
 * Start the stand-ins and declare the resources. Organisations recif and
 * ferreyra (keys "key-recif", "key-ferreyra"); services assistant (model),
 * report (model, not idempotent) and forum (plain, two instances).
 */
struct rig *rig_new(unsigned engines, unsigned nodes, const char *extra);
/* Start the nodes and wait until they are ready. */
void rig_start(struct rig *g);
void rig_free(struct rig *g);
/* Tell the platform's list of all that runs. */
void rig_list(struct rig *g);
/* Start node i anew, on a new port, and wait until it is ready. */
void rig_start_node(struct rig *g, unsigned i);
/* How often event (as in "caller_left") stands in the process's log. */
int rig_logged(const struct rig *g, const struct proc *p, const char *event);
/* Runs of all requests at all engines that run, and those cancelled. */
int64_t rig_runs(const struct rig *g);
int64_t rig_cancelled(const struct rig *g);

/* Start a program of the build with arguments that end in NULL. */
void proc_start(struct rig *g, struct proc *p, const char *name,
		const char *program, ...) G_GNUC_NULL_TERMINATED;
void proc_signal(struct proc *p, int sig);
/* Wait for its end; returns its exit code, or -1 when a signal ended it. */
int proc_wait(struct proc *p);
/* A counter that a node serves. */
int64_t proc_metric(const struct proc *p, const char *name);
/* PUT /standin/faults. */
void proc_faults(const struct proc *p, const char *json);

/* One whole HTTP call. */
struct reply {
	int status; /* 0 when no whole answer came */
	char *outcome;
	char *retry_after;
	char *body;
	json_t *json;
};

/* headers ends in NULL; body may be NULL. */
struct reply call_port(int port, const char *method, const char *path,
		       const char *const *headers, const char *body);
void reply_clear(struct reply *r);
json_t *get_json(int port, const char *path);

/* A streamed answer as the caller reads it. */
struct ask {
	struct pull *pull;
	char *prompt; /* as the stand-in engines see it */
	char *last_id, *resume, *request;
	int64_t words; /* right ones, in order */
	int status;
	bool done;
	bool wrong;    /* a word out of order or of another answer */
	char *outcome; /* of an error event */
};

/* Ask a node for an answer of so many tokens; waits for the headers. */
struct ask *ask_open(int port, const char *service, const char *question,
		     int64_t tokens);
/* Drop the connection and go on at another node. */
void ask_resume(struct ask *a, int port, const char *key);
/* Read until so many words have come, or the end or an error. */
void ask_read(struct ask *a, int64_t words);
void ask_close(struct ask *a);
void ask_free(struct ask *a);

/* test-blackhole.c: relays TCP connections to a port. */
struct hole;

enum hole_mode {
	HOLE_OPEN,
	HOLE_BLIND, /* connections of before go silent, new ones work */
	HOLE_CUT,   /* requests pass, but each answer ends the connection */
};

struct hole *hole_new(int to_port);
void hole_to(struct hole *h, int to_port);
int hole_port(const struct hole *h);
void hole_set(struct hole *h, enum hole_mode m);
/* Connections made so far. */
int hole_connections(struct hole *h);
void hole_free(struct hole *h);

#endif
