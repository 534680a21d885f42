/*
 * Stand-ins and nodes as processes of a test, and HTTP calls to them. A
 * process that does not start, or a call that is never answered, fails the
 * test.
 */
#ifndef TEST_PROCS_H
#define TEST_PROCS_H

#include <glib.h>
#include <jansson.h>

#include "http/http.h"

struct proc {
	char *name;
	GPid pid;
	int port;
};

struct procs {
	char *dir;       /* of settings and port files */
	char *top;       /* of the build */
	GPtrArray *list; /* struct proc */
};

/* argv0 tells where the build is. */
struct procs *procs_new(const char *argv0);
/* Ends every process and removes the files. */
void procs_free(struct procs *p);
/* Start build/standin/<program> and wait for its port. */
struct proc *procs_standin(struct procs *p, const char *name,
			   const char *program);
/* Start a node of zone a on the platform; more is added to its settings. */
struct proc *procs_node(struct procs *p, const char *name,
			const struct proc *platform, const char *more);
void procs_kill(struct procs *p, struct proc *x);
/* Wait until GET /ready answers 200. */
void procs_wait_ready(const struct proc *x);

struct reply {
	int status;
	char *body;    /* ends in a NUL byte */
	json_t *json;  /* or NULL */
	char *outcome; /* header Ramp-Outcome, or NULL */
	char *key;     /* header Idempotency-Key, or NULL */
	char *answer;  /* header Ramp-Answer, or NULL */
};

/* Headers end in NULL; path begins with a slash. */
struct reply *procs_call(const struct proc *x, const char *method,
			 const char *path, const char *const *headers,
			 const char *body);
void reply_free(struct reply *r);
/* A call that must answer 200; the JSON is the caller's. */
json_t *procs_json(const struct proc *x, const char *method, const char *path,
		   const char *body);

#endif
