/*
 * Fixture for tests of the administration API: a platform stand-in and nodes
 * as processes, called as an operator or as an organisation's admin. One
 * thread starts and stops the cluster; any thread may call its nodes.
 */
#ifndef TEST_CLUSTER_H
#define TEST_CLUSTER_H

#include "node/test-procs.h"
#include "state/state.h"

#define NODES_MAX    3
#define OPERATOR_KEY "operator-key"
#define WAIT_MS      60000 /* timeout of each wait */

struct cluster {
	struct procs *procs; /* owns the processes below */
	struct proc *platform, *nodes[NODES_MAX];
	int node_count;
};

/*
 * Start n nodes (at most NODES_MAX) that accept OPERATOR_KEY and are in the
 * platform's instance list, and wait until they are ready.
 */
void launch(struct cluster *cluster, const char *argv0, int n);
/* Kill all processes and remove their files. */
void cluster_stop(struct cluster *cluster);
/* Set the faults of the platform; "{}" clears them. */
void cluster_set_faults(struct cluster *cluster, const char *faults);

/* Request headers of an administration call; NULL leaves one out. */
struct call_headers {
	const char *key;            /* bearer token of Authorization */
	const char *precondition;   /* whole header, such as "If-Match: 3" */
	const char *change_id;      /* value of Change-Id */
	const char *change_attempt; /* value of Change-Attempt */
};

/* Make a call. Free the result with reply_free. */
struct reply *admin_call(const struct proc *node, struct call_headers headers,
			 const char *method, const char *path,
			 const char *body);
/*
 * Make a call as the operator that must answer this status. precondition is a
 * whole header, or NULL. The caller owns the result.
 */
json_t *operator_call(const struct proc *node, const char *precondition,
		      const char *method, const char *path, const char *body,
		      int status);
/* Return a member of an object; 0 or "" if absent. */
int64_t get_int(const json_t *j, const char *name);
const char *get_string(const json_t *j, const char *name);
/* Return the error type of a response, or "". */
const char *error_type(const json_t *j);
/* Return the body of an organisation with one key. Free with g_free. */
char *organisation_body(const char *key, const char *role);
/*
 * Check the audit trail: its revisions are consecutive from 1, and each change
 * starts from the value that the change before it left.
 */
void check_audit_trail(const struct proc *node);

#endif
