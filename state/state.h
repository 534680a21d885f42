/*
 * state: what is agreed and kept. Declared resources, changes to them, claims
 * for calls that run at most once, leases and orders. All of it stands on the
 * platform's table service and object store behind struct platform. No I/O,
 * threads or wall clock in here: they come in by callbacks.
 *
 * Rows of the table (all values are JSON objects):
 *
 *   head/config        revision: N, the number of changes so far
 *   res/<kind>/<name>  spec, generation, revision of its last change
 *   chg/<N, 20 digits> id, revision, who, from, at_ms, kind, name, was, is:
 *                      the audit trail, and what nodes and watches follow
 *   cid/<change id>    revision: settles a change whose answer was lost
 *   claim/<hash>       a call that runs at most once
 *   lease/<pool>/      holder, fence, deadline_ms: who gives a pool its orders
 *   order/<pool>/<target>
 *                      the intended state of a target, with fence, holder and
 *                      latest_ms
 *
 * A change is one transaction that checks head/config and the resource's row
 * and writes the first four. The table's own revision also counts claims and
 * leases, so it is never used as the configuration's.
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

/* "organisation", "service", "intent"; the plural names API collections. */
const char *kind_name(enum resource_kind k);
const char *kind_plural(enum resource_kind k);
/* From either form. Returns KIND_COUNT for an unknown name. */
enum resource_kind kind_from_name(const char *name);

/* What a key may do, from least to most. */
enum role {
	ROLE_CALLER,   /* send requests */
	ROLE_ADMIN,    /* see and change its own organisation */
	ROLE_OPERATOR, /* see and change everything */
};

struct organisation {
	char *name;
	double weight;
	int64_t requests_per_s; /* 0: no limit; likewise below */
	int64_t tokens_per_s;
	int64_t concurrent;
};

enum service_kind {
	SERVICE_MODEL,
	SERVICE_PLAIN,
};

struct service {
	char *name;
	enum service_kind kind;
	char *pool;
	char *model;
	char *adapter; /* NULL: none */
	char *version; /* NULL: targets are given no orders */
	bool idempotent;
	bool checks_fence;
	double max_load_factor;
};

struct intent {
	char *name;
	char *service;
	char *organisation; /* NULL: all */
	double weight;
	int64_t concurrent; /* 0: no limit */
	int64_t priority;
	char **targets; /* NULL: any target of the pool */
};

/* Who a bearer key belongs to. */
struct key_owner {
	const struct organisation *organisation;
	enum role role;
};

/*
 * One revision of all resources. Immutable once it is published; shared by
 * reference count.
 */
struct config {
	int64_t revision;
	GHashTable *resources[KIND_COUNT]; /* name -> parsed struct */
	GHashTable *keys;                  /* hex hash -> struct key_owner */
};

struct config *config_new(int64_t revision);
struct config *config_ref(struct config *c);
void config_unref(struct config *c);
/*
 * Check one resource against schema/resources.tbl and add it. Every fault
 * becomes one string in errors. References are checked by config_check_refs,
 * once all resources are in.
 */
bool config_add(struct config *c, enum resource_kind k, const char *name,
		const json_t *spec, GPtrArray *errors);
bool config_check_refs(const struct config *c, GPtrArray *errors);
/* Only the check of a resource by itself. */
bool resource_check(enum resource_kind k, const char *name, const json_t *spec,
		    GPtrArray *errors);
const struct organisation *config_organisation(const struct config *c,
					       const char *name);
const struct service *config_service(const struct config *c, const char *name);
/* The most specific intent for the pair, or NULL. */
const struct intent *config_intent(const struct config *c, const char *service,
				   const char *organisation);
/* Owner of a bearer key, or NULL. */
const struct key_owner *config_key_owner(const struct config *c,
					 struct str key);

/* Hex form of a key's hash, as kept in resources. Free with g_free. */
char *key_hash(struct str key);

/* What is known after a call to the platform. */
enum plat_status {
	PLAT_OK,
	PLAT_CONFLICT, /* a check of the transaction did not hold */
	PLAT_NOT_FOUND,
	PLAT_REFUSED,     /* answered, not done: rate, bad request, down */
	PLAT_UNREACHABLE, /* never sent, so nothing was done */
	PLAT_UNKNOWN,     /* sent; whether it was done is not known */
};

struct plat_result {
	enum plat_status status;
	const json_t *json; /* answer of the table service, or NULL */
	struct str bytes;   /* answer of the object store */
};

/* Called exactly once for each call; the result lives for the callback. */
typedef void plat_done_fn(const struct plat_result *r, void *arg);

/*
 * The platform's services. An implementation may call back before it returns
 * (the traffic threads' one does) or later (the control thread's one).
 */
struct platform {
	void *ctx;
	/* txn: {"id", "checks":[{"key","version"}], "puts":[{"key","value"}],
	 * "deletes":["key"]}; answers {"revision"}. */
	void (*txn)(void *ctx, const json_t *txn, plat_done_fn *done,
		    void *arg);
	/* Answers {"revision", "rows":[{"key","value","version"}], "more"}. */
	void (*scan)(void *ctx, const char *prefix, const char *after,
		     plat_done_fn *done, void *arg);
	/* Answers {"revision"}. */
	void (*revision)(void *ctx, plat_done_fn *done, void *arg);
	void (*object_put)(void *ctx, const char *name, struct str bytes,
			   plat_done_fn *done, void *arg);
	void (*object_get)(void *ctx, const char *name, plat_done_fn *done,
			   void *arg);
	/* Read a model's weights; refused while over its rate. */
	void (*weights)(void *ctx, const char *name, plat_done_fn *done,
			void *arg);
	/* Answers {"instances":[{"name","role","pool","address","zone",
	 * "region","state"}]}. */
	void (*instances)(void *ctx, plat_done_fn *done, void *arg);
};

/* What must hold of the resource when a change is made. */
enum change_condition {
	CHANGE_IF_ABSENT,
	CHANGE_IF_VERSION,
	CHANGE_ALWAYS,
};

/* A change of one resource, as an operator or an admin asks for it. */
struct change {
	const char *id; /* identity; the same one never makes two changes */
	bool first;     /* the identity was never sent before */
	enum resource_kind kind;
	const char *name;
	const json_t *spec; /* NULL: delete */
	enum change_condition condition;
	int64_t version;          /* of CHANGE_IF_VERSION */
	const char *organisation; /* an admin's own; NULL: an operator */
	const char *who;          /* both for the audit trail */
	const char *from;
	int64_t at_ms; /* wall clock */
};

/*
 * What became of a change. Errors beside RAMP_OK: conflict (version is the
 * present one), not_found, forbidden, bad_request (errors says why),
 * overloaded (lost every race; nothing was done), store_down (nothing was
 * done; also when every read is from the past) and
 * store_unavailable (it may have been done, or be done soon; ask again with
 * the same identity).
 */
struct change_result {
	enum ramp_error error;
	const GPtrArray *errors; /* all faults, one string each */
	int64_t revision;        /* of the accepted change */
	int64_t version;         /* of the resource; 0: absent */
	int64_t generation;      /* how often its spec was accepted */
	bool repeated;           /* an earlier send made the change */
};

typedef void change_done_fn(const struct change_result *r, void *arg);

/*
 * Make a change. Everything that c and p point to must live until done is
 * called, which happens once: before the return when p answers at once.
 */
void change_commit(const struct platform *p, const struct change *c,
		   change_done_fn *done, void *arg);
/* Whether s may be the identity of a change: 1 to 64 of A-Za-z0-9-_. */
bool change_id_valid(const char *s);
/*
 * Whether an organisation's admin may see a resource with this spec: its own
 * organisation and intents that name it.
 */
bool scope_sees(const char *organisation, enum resource_kind k,
		const char *name, const json_t *spec);
/*
 * Whether the admin may change the resource from was to is (either may be
 * NULL). Why not goes into errors.
 */
bool scope_allows(const char *organisation, enum resource_kind k,
		  const char *name, const json_t *was, const json_t *is,
		  GPtrArray *errors);

/* Key of a resource's row in the table: "res/<kind>/<name>". */
char *resource_key(enum resource_kind k, const char *name);
/* The reverse. Returns false when the key is not one of a resource. */
bool resource_from_key(const char *key, enum resource_kind *k,
		       const char **name);
/*
 * Build a configuration from the rows of a scan with prefix "res/". Rows that
 * can't be read are left out and named in errors.
 */
struct config *config_from_rows(int64_t revision, const json_t *rows,
				GPtrArray *errors);

#endif
