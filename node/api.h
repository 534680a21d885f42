/*
 * Private to node: what the handlers of the administration API share. Each
 * call is handled by the connection's thread, which may block on the table
 * service.
 */
#ifndef NODE_API_H
#define NODE_API_H

#include "node/node.h"

/* One call of an operator or an admin. */
struct api_call {
	void *arena;
	struct node *node;
	const struct _u_request *q;
	struct _u_response *r;
	struct platform plat; /* answers before it returns */
	struct plat_http *http;
	const char *organisation; /* an admin's own; NULL: an operator */
	const char *who;          /* organisation, role and start of the hash */
	const char *from;         /* IP number */
};

/*
 * Read who calls and check that the role is at least the given one. When it
 * fails the call has been answered and ended: return U_CALLBACK_COMPLETE.
 */
bool api_begin(struct api_call *c, struct node *n, const struct _u_request *q,
	       struct _u_response *r, enum role least);
void api_end(struct api_call *c);
/* Answer with JSON, or with an error kind, and end the call. */
int api_answer(struct api_call *c, int status, json_t *j);
int api_refuse(struct api_call *c, enum ramp_error e, const char *detail);
/* Collection that the path names; KIND_COUNT when there is none. */
enum resource_kind api_kind(const struct api_call *c);
/* Query parameter as a number that is not negative; false when it is not. */
bool api_query_int(const struct api_call *c, const char *name, int64_t *out);
/* Whether the caller may see a resource with this spec. */
bool api_can_see(const char *organisation, enum resource_kind k,
		 const char *name, const json_t *spec);

/* Rows of the table, as one read that is not older than the head before it. */
struct rows {
	int64_t head;  /* newest change before the rows were read */
	json_t *items; /* rows: key, value, version */
};

/* Which rows are read. */
struct rows_query {
	const char *prefix;
	const char *after; /* a key, or NULL */
	bool first_page;   /* at most one page */
	int64_t min_head;  /* a head from before this change doesn't count */
};

/*
 * Read head/config and then rows.
 *
 * Return: RAMP_OK, or RAMP_ERR_STORE_DOWN: nothing was read.
 */
enum ramp_error read_rows(const struct platform *p, const struct rows_query *q,
			  struct rows *out);
/* Newest configuration revision that this node holds. */
int64_t node_config_revision(struct node *n);
/* As read_rows, with the revision that the node holds as the oldest. */
enum ramp_error api_read(struct api_call *c, const char *prefix,
			 const char *after, bool first_page, struct rows *out);
void rows_clear(struct rows *r);
/* The row with exactly this key, or NULL. */
const json_t *rows_find(const struct rows *r, const char *key);

/* audit.c: key of a change's row. Free with g_free. */
char *audit_key(int64_t revision);
/*
 * A change as the organisation's admin (NULL: an operator) may see it: a spec
 * that isn't his is null. NULL when he may see neither. The caller owns it.
 */
json_t *audit_view(const json_t *value, const char *organisation);

/* watch.c: answer a list call that asked to watch. */
int watch_begin(struct api_call *c, enum resource_kind k);

#endif
