/* A platform and nodes as processes, called as an operator or an admin. */
#ifndef TEST_ADMIN_H
#define TEST_ADMIN_H

#include "node/test-procs.h"
#include "state/state.h"

#define NODES_MAX    3
#define OPERATOR_KEY "operator-key"
#define WAIT_MS      60000

struct world {
	struct procs *procs;
	struct proc *platform, *nodes[NODES_MAX];
	int node_count;
};

/* n nodes that know OPERATOR_KEY and are on the platform's list. */
void world_start(struct world *w, const char *argv0, int n);
void world_stop(struct world *w);
/* Set the faults of the platform; "{}" for none. */
void world_faults(struct world *w, const char *text);

/* What a call says beside method, path and body; NULL leaves a header out. */
struct caller {
	const char *key;
	const char *condition; /* a whole header: "If-Match: 3" */
	const char *change;    /* value of Change-Id */
	const char *attempt;   /* value of Change-Attempt */
};

struct reply *admin_call(const struct proc *node, struct caller who,
			 const char *method, const char *path,
			 const char *body);
/* The operator's call, which must give this status. */
json_t *admin_ok(const struct proc *node, const char *condition,
		 const char *method, const char *path, const char *body,
		 int status);
int64_t get_int(const json_t *j, const char *name);
const char *get_string(const json_t *j, const char *name);
/* Type of the error in an answer, or "". */
const char *error_type(const json_t *j);
/* Body of an organisation with one admin's key. */
char *organisation_body(const char *key, const char *role);
/* Check the audit trail: consecutive, each from what the one before left. */
void check_audit(const struct proc *node);

#endif
