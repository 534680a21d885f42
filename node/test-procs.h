/*
 * Runs stand-ins and nodes as child processes of a test and calls them over
 * HTTP. A process that does not start, or a call that gets no response within
 * 30 s, fails the test. One thread starts and ends processes; any thread may
 * call them.
 */
#ifndef TEST_PROCS_H
#define TEST_PROCS_H

#include <glib.h>
#include <jansson.h>

#include "http/http.h"

struct proc {
	char *name;
	GPid pid; /* 0 when not running */
	int port;
};

/* All processes of a test. It owns each struct proc that it returns. */
struct procs {
	char *dir;        /* temporary: settings and port files */
	char *build_root; /* has bin/ and build/ */
	GPtrArray *list;  /* struct proc */
};

/* argv0 is the test's own path, from which the build's root follows. */
struct procs *procs_new(const char *argv0);
/* Kill all processes and remove their files. */
void procs_free(struct procs *p);
/* Start build/standin/<program> and wait until it has written its port. */
struct proc *procs_start_standin(struct procs *p, const char *name,
				 const char *program);
/*
 * Start a node in zone a that uses the platform, and wait until it has written
 * its port. extra_settings is appended to its settings; it may be NULL.
 */
struct proc *procs_start_node(struct procs *p, const char *name,
			      const struct proc *platform,
			      const char *extra_settings);
void procs_kill(struct procs *p, struct proc *proc);
/* Poll GET /ready until it answers 200. */
void procs_wait_ready(const struct proc *proc);

/* Response to an HTTP call; a missing header is NULL. */
struct reply {
	int status;            /* 0 if no complete response arrived */
	char *body;            /* NUL-terminated */
	json_t *json;          /* NULL if the body is not JSON */
	char *outcome;         /* header Ramp-Outcome */
	char *idempotency_key; /* header Idempotency-Key */
	char *answer;          /* header Ramp-Answer */
};

/*
 * Make a call on a new connection. headers ends in NULL and may be NULL, as
 * may body; path begins with a slash. Free the result with reply_free.
 */
struct reply *procs_call(const struct proc *proc, const char *method,
			 const char *path, const char *const *headers,
			 const char *body);
void reply_free(struct reply *r);
/* Make a call that must answer 200. The caller owns the result. */
json_t *procs_call_json(const struct proc *proc, const char *method,
			const char *path, const char *body);

#endif
