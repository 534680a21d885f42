/*
 * ctl: the operator's command. It speaks the administration API (docs/API.md)
 * to any of the given nodes, through ulfius's HTTP client.
 */
#ifndef CTL_H
#define CTL_H

#include <ulfius.h>

#include "base/base.h"
#include "state/state.h"

/* Exit codes, as man/rampctl.1 lists them. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_FAILED = 1,      /* refused or failed; nothing was changed */
	CTL_USAGE = 2,       /* command line, file or settings are wrong */
	CTL_CONFLICT = 3,    /* the resource has another version */
	CTL_ABSENT = 4,      /* no such resource, change or revision */
	CTL_UNKNOWN = 5,     /* the change may have been made */
	CTL_NO_NODE = 6,     /* no node answered; nothing was changed */
	CTL_NOT_IN_FORCE = 7 /* made, but not everywhere in time */
};

/* What the command line says. */
struct ctl {
	const char **nodes; /* "IP:port" */
	int node_count;
	const char **args; /* what follows the command's name */
	int arg_count;
	char *key;
	const char *file;
	const char *change; /* identity of a change that is sent again */
	int64_t version;    /* -1: not given */
	int64_t after;      /* -1: not given */
	int64_t count;      /* changes to watch; 0: no end */
	int64_t timeout_ms;
	bool json;
	bool wait;
	bool force;
};

/* A header of a request. */
struct ctl_header {
	const char *name, *value;
};

#define CTL_HEADERS_MAX 4

/* A call to one node. */
struct ctl_request {
	const char *method;
	const char *path;
	char *body; /* or NULL */
	struct ctl_header headers[CTL_HEADERS_MAX];
};

struct ctl_reply {
	int status; /* HTTP status; 0: no answer */
	json_t *body;
};

/* Send to one node. The reply is cleared by ctl_reply_clear. */
void ctl_send(const struct ctl *c, const char *node,
	      const struct ctl_request *q, struct ctl_reply *r);
/* GET from the first node that answers with other than 503. */
void ctl_get(const struct ctl *c, const char *path, struct ctl_reply *r);
void ctl_reply_clear(struct ctl_reply *r);
/* Whether a node answers at all. */
bool ctl_probe(const struct ctl *c, const char *node);
/* Add the key and set up a request of ulfius's client. */
void ctl_prepare(const struct ctl *c, const char *node,
		 const struct ctl_request *q, unsigned long timeout_s,
		 struct _u_request *out);
/* Print what went wrong to standard error and return the exit code. */
enum ctl_exit ctl_report(const struct ctl_reply *r);
/* Print the reply as JSON if that was asked for. */
bool ctl_print_json(const struct ctl *c, const struct ctl_reply *r);
/* Print columns separated by tabs; json values compactly; ends in NULL. */
void ctl_print_row(const json_t *j, const char *const *columns);
/* Collection's name in paths, or NULL after printing what is allowed. */
const char *ctl_plural(const char *kind);

/* The commands; each returns an exit code. */
enum ctl_exit ctl_cmd_get(const struct ctl *c);
enum ctl_exit ctl_cmd_put(const struct ctl *c);
enum ctl_exit ctl_cmd_delete(const struct ctl *c);
enum ctl_exit ctl_cmd_watch(const struct ctl *c);
enum ctl_exit ctl_cmd_status(const struct ctl *c);
enum ctl_exit ctl_cmd_changes(const struct ctl *c);
enum ctl_exit ctl_cmd_drain(const struct ctl *c);

#endif
