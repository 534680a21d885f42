/*
 * state: the persistent state that all nodes share. It comprises the declared
 * resources, changes to them, claims for calls that run at most once, leases
 * and orders, and is stored in the platform's table service and object store.
 *
 * The code here does no I/O, starts no threads and reads no clock: struct
 * platform and the callers' callbacks provide these. Nothing is locked. An
 * object belongs to one thread at a time; only struct config is shared.
 *
 * Rows of the table (all values are JSON objects):
 *
 *   head/config        revision: N, the number of changes so far
 *   res/<kind>/<name>  spec, generation, revision of its last change
 *   chg/<N, 20 digits> id, revision, generation, who, from, at_ms, kind, name,
 *                      was, is: the audit trail, from which nodes and
 *                      watches learn of changes
 *   cid/<change id>    revision: shows whether a change was committed when the
 *                      answer to its transaction was lost
 *   claim/<hash>       a call that runs at most once
 *   lease/<pool>/      holder, fence, deadline_ms: the node that sends the
 *                      orders of a pool
 *   order/<pool>/<target>
 *                      the intended state of a target, with fence, holder and
 *                      latest_ms
 *
 * A change is one transaction that checks head/config, the resource's row and
 * the cid/ row, and writes these and the chg/ row. The table's own revision
 * also counts claims, leases and orders, so it is never used as the revision
 * of the configuration.
 */
#ifndef STATE_H
#define STATE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

enum resource_kind {
	KIND_ORGANISATION,
	KIND_SERVICE,
	KIND_INTENT,
	KIND_COUNT,
};

/*
 * Return the name of a kind, "organisation", "service" or "intent". The plural
 * is the name of the API's collection.
 */
const char *kind_name(enum resource_kind k);
const char *kind_plural(enum resource_kind k);
/* Return the kind with this singular or plural name, KIND_COUNT if none. */
enum resource_kind kind_from_name(const char *name);

/* Rights of a bearer key; each role includes those before it. */
enum role {
	ROLE_CALLER,   /* send requests */
	ROLE_ADMIN,    /* read and change the own organisation */
	ROLE_OPERATOR, /* read and change all resources */
};

/* A customer and its fleet-wide limits. */
struct organisation {
	char *name;
	double weight;          /* share of the fleet when it is crowded */
	int64_t requests_per_s; /* 0: no limit, as in the next two */
	int64_t tokens_per_s;   /* in prompts and answers */
	int64_t concurrent;     /* most requests in progress */
};

enum service_kind {
	SERVICE_MODEL, /* chat completions by a model */
	SERVICE_PLAIN, /* plain HTTP requests */
};

/* A service and the pool of targets that serves it. */
struct service {
	char *name;
	enum service_kind kind;
	char *pool;
	char *model;     /* name that targets are sent */
	char *adapter;   /* NULL: none */
	char *version;   /* of the weights; NULL: targets are sent no orders */
	bool idempotent; /* a call may run more than once */
	bool checks_fence; /* targets refuse orders with an old fencing token */
	double max_load_factor; /* most load of a target, over the mean */
};

/* How requests of one organisation, or of all, are routed at a service. */
struct intent {
	char *name;
	char *service;
	char *organisation; /* NULL: all */
	double weight;      /* share of the organisation at this service */
	int64_t concurrent; /* most requests in progress; 0: no limit */
	int64_t priority;   /* 0 to 9; higher runs first */
	char **targets;     /* NULL: any target of the pool */
};

/* Owner and role of a bearer key. */
struct key_owner {
	const struct organisation *organisation;
	enum role role;
};

/*
 * One revision of all resources. It is immutable once published and shared
 * between threads by an atomic reference count. It owns the structs above.
 */
struct config {
	int64_t revision;
	GHashTable *resources[KIND_COUNT]; /* name -> parsed struct */
	GHashTable *keys;                  /* hex hash -> struct key_owner */
};

/* Create an empty configuration; release it with config_unref. */
struct config *config_new(int64_t revision);
struct config *config_ref(struct config *c);
/* Release a reference; NULL is allowed. */
void config_unref(struct config *c);
/*
 * Check a resource against schema/resources.tbl and add it if it is valid.
 * Each fault is added to errors as a string, to be freed with g_free. Call
 * config_check_refs for the references, after all resources were added.
 *
 * Return: whether the resource was added.
 */
bool config_add(struct config *c, enum resource_kind k, const char *name,
		const json_t *spec, GPtrArray *errors);
/* Check that all services and organisations that intents name exist. */
bool config_check_refs(const struct config *c, GPtrArray *errors);
/* Check one resource against schema/resources.tbl, without its references. */
bool resource_check(enum resource_kind k, const char *name, const json_t *spec,
		    GPtrArray *errors);
/* Return the resource with this name, or NULL. It belongs to c. */
const struct organisation *config_organisation(const struct config *c,
					       const char *name);
const struct service *config_service(const struct config *c, const char *name);
/*
 * Return the intent for requests of an organisation at a service, or NULL. An
 * intent that names the organisation precedes one for all organisations; of
 * two alike, the alphabetically first name is taken.
 */
const struct intent *config_intent(const struct config *c, const char *service,
				   const char *organisation);
/* Return the owner of a bearer key, or NULL. It belongs to c. */
const struct key_owner *config_key_owner(const struct config *c,
					 struct str key);

/* Outcome of a call to the platform. */
enum plat_status {
	PLAT_OK,
	PLAT_CONFLICT,    /* a check failed; the transaction wrote nothing */
	PLAT_NOT_FOUND,   /* no such object */
	PLAT_REFUSED,     /* refused without effect: rate, bad request, down */
	PLAT_UNREACHABLE, /* not sent, so it had no effect */
	PLAT_UNKNOWN,     /* sent, but the answer was lost: may have effect */
};

struct plat_result {
	enum plat_status status;
	const json_t *json; /* answer of the table service, or NULL */
	struct str bytes;   /* answer of the object store */
};

/* Called exactly once for each call. r is valid during the callback only. */
typedef void plat_done_fn(const struct plat_result *r, void *arg);

/*
 * Calls to the platform's services. An implementation may call done before it
 * returns, as that of the traffic threads does, or later, as that of the
 * control thread does. Arguments are only used until the call returns.
 */
struct platform {
	void *ctx;
	/* Commit {"id", "checks":[{"key","version"}],
	 * "puts":[{"key","value"}], "deletes":["key"]} if each checked row has
	 * the given version, 0 for an absent row. Answers {"revision"}. */
	void (*txn)(void *ctx, const json_t *txn, plat_done_fn *done,
		    void *arg);
	/* Read one page of the rows with a prefix, in the order of their keys,
	 * that follow the key after (NULL: from the first). Answers
	 * {"revision", "rows":[{"key","value","version"}], "more"}. */
	void (*scan)(void *ctx, const char *prefix, const char *after,
		     plat_done_fn *done, void *arg);
	/* Read the table's revision. Answers {"revision"}. */
	void (*revision)(void *ctx, plat_done_fn *done, void *arg);
	/* Write and read an object. An absent one gives PLAT_NOT_FOUND. */
	void (*object_put)(void *ctx, const char *name, struct str bytes,
			   plat_done_fn *done, void *arg);
	void (*object_get)(void *ctx, const char *name, plat_done_fn *done,
			   void *arg);
	/* Ask the weight store to read a model's weights. The call is refused
	 * while the store is over its rate limit. */
	void (*weights)(void *ctx, const char *name, plat_done_fn *done,
			void *arg);
	/* List the instances. Answers
	 * {"instances":[{"name","role","pool","address","zone",
	 * "region","state"}]}. */
	void (*instances)(void *ctx, plat_done_fn *done, void *arg);
};

/* Precondition of a change on the present state of its resource. */
enum change_condition {
	CHANGE_IF_ABSENT,
	CHANGE_IF_VERSION, /* the resource has the version in the change */
	CHANGE_ALWAYS,
};

/* A change of one resource, as requested by an operator or an admin. */
struct change {
	const char *id;     /* idempotency key: commits at most one change */
	bool first_attempt; /* no request with this id was sent before */
	enum resource_kind kind;
	const char *name;
	const json_t *spec; /* NULL: delete */
	enum change_condition condition;
	int64_t version;          /* for CHANGE_IF_VERSION */
	const char *organisation; /* of the requesting admin; NULL: operator */
	const char *who;          /* requester, for the audit trail */
	const char *from;         /* requester's address, likewise */
	int64_t at_ms;            /* wall clock */
};

/*
 * Outcome of a change. The errors are:
 *
 *   conflict           the precondition failed; version is the present one
 *   not_found          the resource to delete is absent
 *   forbidden          the admin may not make the change
 *   bad_request        the spec is invalid; errors has the reasons
 *   overloaded         a concurrent change came first at every attempt;
 *                      nothing was committed
 *   store_down         the store can't be asked, or answers each read from an
 *                      old revision; nothing was committed
 *   store_unavailable  the change may have been committed, or may be soon;
 *                      send it again with the same id
 */
struct change_result {
	enum ramp_error error;
	const GPtrArray *errors; /* all faults, one string each */
	int64_t revision;        /* of the committed change; 0 on error */
	int64_t version;         /* of the resource; 0: absent */
	int64_t generation;      /* number of changes to its spec */
	bool repeated;           /* an earlier request committed the change */
};

typedef void change_done_fn(const struct change_result *r, void *arg);

/*
 * Commit a change. All that c and p point to must stay valid until done is
 * called. That happens exactly once, and before this returns if p calls back
 * at once.
 */
void change_commit(const struct platform *p, const struct change *c,
		   change_done_fn *done, void *arg);
/* Return whether s is a valid change id: 1 to 64 of A-Z, a-z, 0-9, "-_.". */
bool change_id_valid(const char *s);
/*
 * Return whether an organisation's admin may read a resource with this spec:
 * its own organisation and the intents that name it.
 */
bool scope_can_read(const char *organisation, enum resource_kind k,
		    const char *name, const json_t *spec);
/*
 * Return whether the admin may change the resource's spec from was to is; NULL
 * stands for an absent resource. Each reason against it is added to errors.
 */
bool scope_can_change(const char *organisation, enum resource_kind k,
		      const char *name, const json_t *was, const json_t *is,
		      GPtrArray *errors);

/* Return the key of a resource's row, "res/<kind>/<name>"; free by g_free. */
char *resource_key(enum resource_kind k, const char *name);
/*
 * Split a row's key into kind and name; name points into key. Return false if
 * it is not the key of a resource.
 */
bool resource_from_key(const char *key, enum resource_kind *k,
		       const char **name);
/*
 * Build a configuration from the rows of a scan with prefix "res/". Rows with
 * an invalid spec are left out, and their faults are added to errors.
 */
struct config *config_from_rows(int64_t revision, const json_t *rows,
				GPtrArray *errors);

#endif
