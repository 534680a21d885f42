/*
 * ctl: the operator's command, rampctl. It calls the administration API
 * (docs/API.md) of any of the given nodes through ulfius's HTTP client. The
 * program has one thread and runs one command. Callers own what they pass;
 * struct ctl_options and its strings live until the program ends.
 */
#ifndef CTL_H
#define CTL_H

#include <ulfius.h>

#include "base/base.h"
#include "state/state.h"

/* Exit codes, as man/rampctl.1 lists them. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_FAILED = 1,   /* request refused or failed; nothing was changed */
	CTL_USAGE = 2,    /* invalid command line, resource file or settings */
	CTL_CONFLICT = 3, /* the resource is at another version */
	CTL_ABSENT = 4,   /* no such resource, change or revision */
	CTL_UNKNOWN = 5,  /* outcome unknown: the change may have been made */
	CTL_NO_NODE = 6,  /* no node answered; nothing was changed */
	CTL_NOT_IN_FORCE = 7 /* changed, but --wait timed out */
};

/* The parsed command line. */
struct ctl_options {
	const char **nodes; /* "IP:port", tried in this order */
	int node_count;
	const char **args; /* arguments after the command's name */
	int arg_count;
	char *key;          /* API key, or NULL for none */
	const char *file;   /* resources in JSON; "-" is standard input */
	const char *change; /* Change-Id of a change to resend, or NULL */
	int64_t version;    /* version to change; -1: not given */
	int64_t after;      /* revision to list or watch from; -1: not given */
	int64_t count;      /* changes to print before watch ends; 0: endless */
	int64_t timeout_ms; /* of --wait */
	/* The request that explain asks about; NULL: not given. */
	const char *method, *organisation, *request_id, *prompt, *resumes;
	char *caller_key;
	int64_t deadline_ms; /* of it; -1: not given */
	bool json;           /* print replies as JSON */
	bool wait;           /* wait until a change is in force on every node */
	bool force;          /* send no precondition on the version */
};

/* A request header; a NULL name ends the list. */
struct ctl_header {
	const char *name, *value;
};

#define CTL_HEADERS_MAX 4

/* An HTTP request to a node. */
struct ctl_request {
	const char *method;
	const char *path;
	char *body; /* JSON, or NULL for none */
	struct ctl_header headers[CTL_HEADERS_MAX];
};

/* A node's response; release it with ctl_reply_clear. */
struct ctl_reply {
	int status;   /* HTTP status; 0: no response */
	json_t *body; /* NULL when absent or not JSON */
};

/* Send a request to one node and store its response in reply. */
void ctl_send(const struct ctl_options *opts, const char *node,
	      const struct ctl_request *request, struct ctl_reply *reply);
/*
 * Send a GET to the nodes in order until one responds with a status other than
 * 503. If none does, reply holds the last 503, or status 0 if none responded.
 */
void ctl_get(const struct ctl_options *opts, const char *path,
	     struct ctl_reply *reply);
/* Release the body and set the status to 0. */
void ctl_reply_clear(struct ctl_reply *reply);
/* Return whether a node responds to GET /ready with any status. */
bool ctl_probe(const struct ctl_options *opts, const char *node);
/*
 * Initialise ulfius_request, of ulfius's client, from request, with the API key
 * as bearer token. The caller releases it with ulfius_clean_request.
 */
void ctl_request_init(const struct ctl_options *opts, const char *node,
		      const struct ctl_request *request,
		      unsigned long timeout_s,
		      struct _u_request *ulfius_request);
/* Map a reply to an exit code; print its error, if any, to standard error. */
enum ctl_exit ctl_check_reply(const struct ctl_reply *reply);
/* Print the reply as JSON if --json was given; return whether it was. */
bool ctl_print_json(const struct ctl_options *opts,
		    const struct ctl_reply *reply);
/*
 * Print the named members of an object as one line, separated by tabs: strings
 * bare, other values as compact JSON, absent ones as "-". The list of columns
 * ends in NULL.
 */
void ctl_print_row(const json_t *object, const char *const *columns);
/*
 * Return the plural of a resource kind, as paths have it. For an unknown kind,
 * print the known ones to standard error and return NULL.
 */
const char *ctl_kind_plural(const char *kind);

/* The commands that call nodes; each returns the program's exit code. */
enum ctl_exit ctl_cmd_get(const struct ctl_options *opts);
enum ctl_exit ctl_cmd_put(const struct ctl_options *opts);
enum ctl_exit ctl_cmd_delete(const struct ctl_options *opts);
enum ctl_exit ctl_cmd_watch(const struct ctl_options *opts);
enum ctl_exit ctl_cmd_status(const struct ctl_options *opts);
enum ctl_exit ctl_cmd_changes(const struct ctl_options *opts);
enum ctl_exit ctl_cmd_drain(const struct ctl_options *opts);
enum ctl_exit ctl_cmd_explain(const struct ctl_options *opts);

#endif
