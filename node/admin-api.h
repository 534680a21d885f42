/*
 * Shared by the handlers of the administration API; private to node. Each call
 * runs on the thread of its connection, which may block on the table service.
 */
#ifndef NODE_API_H
#define NODE_API_H

#include "node/node.h"

/* One call of an operator or of an organisation's admin. */
struct api_call {
	void *arena;
	struct node *node;
	const struct _u_request *q;
	struct _u_response *r;
	struct platform plat; /* blocking calls */
	struct platform_http *http;
	const char *organisation; /* the admin's; NULL: an operator */
	const char *who;  /* organisation, role and prefix of the key's hash */
	const char *from; /* IP address of the caller */
};

/*
 * Begin a call: authenticate the caller and require at least the role min_role.
 * On failure the call has been answered and ended, and the handler must return
 * U_CALLBACK_COMPLETE.
 */
bool api_begin(struct api_call *c, struct node *n, const struct _u_request *q,
	       struct _u_response *r, enum role min_role);
void api_end(struct api_call *c);
/*
 * Answer with JSON or with an error, and end the call. Return
 * U_CALLBACK_COMPLETE.
 */
int api_answer(struct api_call *c, int status, json_t *j);
int api_refuse(struct api_call *c, enum ramp_error e, const char *detail);
/*
 * Return the kind of the collection in the path, or KIND_COUNT if there is
 * none.
 */
enum resource_kind api_kind(const struct api_call *c);
/*
 * Read a query parameter as a non-negative integer. Leave *out unchanged if it
 * is missing; return false if it is malformed.
 */
bool api_query_int(const struct api_call *c, const char *name, int64_t *out);
/*
 * Return whether an organisation's admin may see a resource with this spec; an
 * operator (NULL) sees all.
 */
bool api_can_see(const char *organisation, enum resource_kind k,
		 const char *name, const json_t *spec);

/*
 * Rows of the table, from a read that is at least as new as the head read
 * before it.
 */
struct rows {
	int64_t head;  /* newest change at the time */
	json_t *items; /* array of rows: key, value, version */
};

/* Selects the rows to read. */
struct rows_query {
	const char *prefix;
	const char *after; /* begin after this key; NULL: at the first */
	bool first_page;   /* read one page only */
	int64_t min_head;  /* read again while the head is older than this */
};

/*
 * Read head/config and then the rows.
 *
 * Return: RAMP_OK, or RAMP_ERR_STORE_DOWN when the table could not be read at a
 * recent enough revision. In both cases release *out with rows_clear.
 */
enum ramp_error read_rows(const struct platform *p, const struct rows_query *q,
			  struct rows *out);
/* Return the configuration revision in force on this node; 0: none. */
int64_t node_config_revision(struct node *n);
/* Read rows that are at least as new as the revision in force on this node. */
enum ramp_error api_read(struct api_call *c, const char *prefix,
			 const char *after, bool first_page, struct rows *out);
void rows_clear(struct rows *r);
/* Return the row with exactly this key, or NULL; *r owns it. */
const json_t *rows_find(const struct rows *r, const char *key);

/* Return the key of a change's row in the audit trail. Free with g_free. */
char *audit_key(int64_t revision);
/*
 * Return a change as the organisation's admin may see it: a spec that belongs
 * to others becomes null. NULL for the organisation means an operator, who sees
 * all. Return NULL when both specs are hidden. The caller owns the result.
 */
json_t *audit_view(const json_t *value, const char *organisation);

/* Answer a list call with ?watch=true by a stream of changes. */
int watch_begin(struct api_call *c, enum resource_kind k);

#endif
