#include <string.h>
#include <talloc.h>

#include "node/node.h"

#define ATTEMPTS_MAX 3

static bool is_allowed(const struct request *rq, const struct target *t)
{
	if (strcmp(t->pool, rq->service->pool) || t->leaving || t->down)
		return false;
	return !rq->intent || !rq->intent->targets ||
	       g_strv_contains((const char *const *)rq->intent->targets,
			       t->name);
}

/* What keeps a chat together: its identity, or else the request's own. */
static uint64_t chat_key(const struct request *rq)
{
	struct str s = rq->chat ? str_c(rq->chat) : rq->id;

	return str_hash(s, str_hash(str_c(rq->owner->organisation->name), 0));
}

const struct target **dispatch_order(struct request *rq, size_t *n)
{
	GPtrArray *all = rq->fleet->targets;
	struct route_rank *rank =
		talloc_array(rq->arena, struct route_rank, all->len + 1);
	const struct target **order =
		talloc_array(rq->arena, const struct target *, all->len + 1);

	*n = 0;
	for (guint i = 0; i < all->len; i++) {
		const struct target *t = g_ptr_array_index(all, i);

		if (is_allowed(rq, t))
			rank[(*n)++] =
				(struct route_rank){.id = t->id, .index = i};
	}
	route_order(chat_key(rq), rank, *n);
	for (size_t i = 0; i < *n; i++)
		order[i] = g_ptr_array_index(all, rank[i].index);
	return order;
}

/* Another target may be tried only if nothing ran or running again is safe. */
static bool may_retry(const struct request *rq, enum ramp_error e)
{
	enum outcome o = error_answers[e].outcome;

	return !rq->gone && (o == OUTCOME_NOT_RUN || rq->service->idempotent);
}

enum ramp_error dispatch(struct request *rq, struct relay **out)
{
	size_t n;
	const struct target **order = dispatch_order(rq, &n);
	enum ramp_error e = RAMP_ERR_NO_TARGET;

	for (size_t i = 0; i < n && i < ATTEMPTS_MAX; i++) {
		if (i)
			metric_add(M_RETRIES_TOTAL, 1);
		e = relay_open(rq, order[i], NULL, out);
		if (e == RAMP_OK || !may_retry(rq, e))
			return e;
	}
	return e;
}
