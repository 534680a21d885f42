#include <string.h>
#include <talloc.h>

#include "node/forward.h"

#define TRIES_MAX            4    /* targets asked for room */
#define ATTEMPTS_MAX         3    /* targets that are sent the work */
#define WAIT_HOME_MS         300  /* most that a request waits for its prefix */
#define WAIT_LAST_MS         500  /* and for room anywhere */
#define PREFILL_TOKENS_PER_S 8000 /* read by an engine */

/* A choice in progress. */
struct choice {
	struct request *rq;
	const struct target *order[CHOOSE_MAX];
	size_t count;
	int attempts; /* targets that were sent the work */
	struct refused {
		const struct target *target;
		int64_t load;
	} refused[TRIES_MAX]; /* by admission, least loaded first */
	size_t refused_count;
	bool last;   /* the targets are asked once more */
	bool astray; /* the last one asked did not admit to the target */
};

static bool is_allowed(const struct request *rq, const struct target *t)
{
	if (strcmp(t->pool, rq->service->pool) || t->leaving || t->down)
		return false;
	return !rq->intent || !rq->intent->targets ||
	       g_strv_contains((const char *const *)rq->intent->targets,
			       t->name);
}

/* Those that the request may use, without what health sets aside. */
static struct route_rank *candidates(struct request *rq, size_t *n)
{
	GPtrArray *all = rq->fleet->targets;
	struct route_rank *rank =
		talloc_array(rq->arena, struct route_rank, all->len + 1);

	*n = 0;
	for (guint i = 0; i < all->len; i++) {
		const struct target *t = g_ptr_array_index(all, i);

		if (is_allowed(rq, t) && health_allows(rq->node->health, t))
			rank[(*n)++] =
				(struct route_rank){.id = t->id, .index = i};
	}
	return rank;
}

const struct target **dispatch_order(struct request *rq, size_t *n)
{
	struct route_rank *rank = candidates(rq, n);
	const struct target **order =
		talloc_array(rq->arena, const struct target *, *n + 1);
	uint64_t key = rq->work.chat ? rq->work.chat : str_hash(rq->id, 0);

	route_order(key, rank, *n);
	for (size_t i = 0; i < *n; i++)
		order[i] = g_ptr_array_index(rq->fleet->targets, rank[i].index);
	return order;
}

static const struct target *target_of(const struct route_rank *r, size_t n,
				      const struct fleet *f, uint64_t id)
{
	for (size_t i = 0; i < n; i++) {
		if (r[i].id == id)
			return g_ptr_array_index(f->targets, r[i].index);
	}
	return NULL;
}

static void choose(struct choice *c)
{
	struct request *rq = c->rq;
	struct choose_input in = {.key = rq->work.chat, .hint = &rq->hint};
	uint64_t ids[CHOOSE_MAX];

	in.targets = candidates(rq, &in.count);
	c->count = choose_targets(&in, ids);
	for (size_t i = 0; i < c->count; i++)
		c->order[i] =
			target_of(in.targets, in.count, rq->fleet, ids[i]);
}

/* Where the chat's history is likely to be held. */
static bool is_home(const struct choice *c, const struct target *t)
{
	const struct request *rq = c->rq;

	if (!rq->work.history_tokens)
		return false;
	return t->id == (rq->hint.target ? rq->hint.target : c->order[0]->id);
}

/* Without a hint the last turn is taken to have just been. */
static int64_t hint_age_ms(const struct request *rq)
{
	return rq->hint.target ? MAX(time_now_ms() - rq->hint.at_ms, 0) : 0;
}

static struct admission_ask ask_for(const struct choice *c,
				    const struct target *t, int64_t wait_ms)
{
	const struct request *rq = c->rq;

	return (struct admission_ask){
		.pool = rq->service->pool,
		.organisation = rq->owner->organisation->name,
		.weight = rq->owner->organisation->weight,
		.target = t->id,
		.priority = (int)rq->priority,
		.work = rq->work.prompt_tokens + rq->work.output_tokens,
		.reuse = is_home(c, t) ? rq->work.history_tokens : 0,
		.reuse_age_ms = hint_age_ms(rq),
		.last = c->last,
		.deadline_ms = request_until(rq),
		.wait_until_ms = wait_ms ? time_mono_ms() + wait_ms : 0,
	};
}

static void note_refusal(struct choice *c, const struct target *t,
			 const struct admission_refusal *no)
{
	size_t i = c->refused_count;

	c->rq->retry_at_ms = time_now_ms() + no->retry_at_ms - time_mono_ms();
	c->astray =
		no->why == REFUSAL_NOT_HERE || no->why == REFUSAL_TARGET_GONE;
	if (c->astray || i >= TRIES_MAX)
		return;
	for (; i > 0 && c->refused[i - 1].load > no->load; i--)
		c->refused[i] = c->refused[i - 1];
	c->refused[i] = (struct refused){t, no->load};
	c->refused_count++;
}

/* This node admits to the target. */
static enum ramp_error try_here(struct choice *c, const struct target *t,
				const struct admission_ask *ask,
				struct relay **out)
{
	struct request *rq = c->rq;
	struct admission_refusal no;
	enum ramp_error e;

	if (!admission_enter(rq->node->admission, ask, &rq->grant, &no)) {
		note_refusal(c, t, &no);
		return RAMP_ERR_OVERLOADED;
	}
	c->attempts++;
	e = relay_open(rq, t, NULL, out);
	if (e != RAMP_OK)
		admission_leave(rq->node->admission, &rq->grant, -1);
	return e;
}

static enum ramp_error try_through(struct choice *c, const struct peer *p,
				   const struct target *t,
				   const struct admission_ask *ask,
				   struct relay **out)
{
	struct admission_refusal no = {0};
	enum ramp_error e = forward(c->rq, p, t, ask, out, &no);

	if (no.why != REFUSAL_NONE)
		note_refusal(c, t, &no);
	else
		c->attempts++;
	return e;
}

static void note_health(struct choice *c, const struct target *t,
			enum ramp_error e, int64_t from_ms)
{
	struct health *h = c->rq->node->health;

	if (e == RAMP_OK)
		health_ok(h, t, time_mono_ms() - from_ms);
	else if (e != RAMP_ERR_BAD_REQUEST)
		health_error(h, t);
}

static enum ramp_error try_target(struct choice *c, const struct target *t,
				  int64_t wait_ms, struct relay **out)
{
	struct request *rq = c->rq;
	struct admission_ask ask = ask_for(c, t, wait_ms);
	const struct peer *p = peer_admitter(rq->fleet, t->id);
	int64_t from = time_mono_ms();
	int before = c->attempts;
	enum ramp_error e;

	if (!p || !strcmp(p->name, rq->node->set.node_name))
		e = try_here(c, t, &ask, out);
	else
		e = try_through(c, p, t, &ask, out);
	/* A refusal of admission says nothing about the target. */
	if (c->attempts > before)
		note_health(c, t, e, from);
	return e;
}

/* Another target may be tried only if nothing ran or running again is safe. */
static bool may_run_elsewhere(const struct request *rq, enum ramp_error e)
{
	if (rq->gone || e == RAMP_ERR_BAD_REQUEST || e == RAMP_ERR_TIMED_OUT)
		return false;
	return error_answers[e].outcome == OUTCOME_NOT_RUN ||
	       rq->service->idempotent;
}

/* After an attempt that failed; an admission's refusal costs nothing. */
static bool may_go_on(struct choice *c, enum ramp_error e, int attempts_before)
{
	int64_t pause;

	if (!may_run_elsewhere(c->rq, e))
		return false;
	if (c->attempts == attempts_before)
		return true;
	if (c->attempts >= ATTEMPTS_MAX)
		return false;
	pause = health_retry(c->rq->node->health, c->attempts,
			     request_until(c->rq));
	if (pause < 0)
		return false;
	metric_add(M_RETRIES_TOTAL, 1);
	g_usleep((gulong)pause * 1000);
	return true;
}

static int64_t home_wait_ms(const struct choice *c, size_t i)
{
	if (i > 0 || !is_home(c, c->order[0]))
		return 0;
	return MIN(choose_wait_ms(c->rq->work.history_tokens,
				  PREFILL_TOKENS_PER_S),
		   WAIT_HOME_MS);
}

/*
 * Every target asked was short of room: wait for the least loaded of them for
 * a while, then ask the others once more.
 */
static enum ramp_error try_refused(struct choice *c, struct relay **out)
{
	struct refused again[TRIES_MAX];
	size_t n = c->refused_count;
	enum ramp_error e = RAMP_ERR_OVERLOADED;

	memcpy(again, c->refused, sizeof(again));
	c->last = true;
	for (size_t i = 0; i < n; i++) {
		int before = c->attempts;

		e = try_target(c, again[i].target, i ? 0 : WAIT_LAST_MS, out);
		if (e == RAMP_OK || !may_go_on(c, e, before))
			return e;
	}
	return e;
}

/*
 * No admitting node knows of any target, as when all of them have just
 * started: send the request without a count. The targets' reports show it.
 */
static enum ramp_error try_alone(struct choice *c, struct relay **out)
{
	enum ramp_error e = RAMP_ERR_NO_TARGET;

	for (size_t i = 0; i < c->count; i++) {
		int before = c->attempts++;
		int64_t from = time_mono_ms();

		e = relay_open(c->rq, c->order[i], NULL, out);
		note_health(c, c->order[i], e, from);
		if (e == RAMP_OK || !may_go_on(c, e, before))
			return e;
	}
	return e;
}

enum ramp_error dispatch(struct request *rq, struct relay **out)
{
	struct choice c = {.rq = rq};
	enum ramp_error e = RAMP_ERR_NO_TARGET;

	health_first(rq->node->health);
	choose(&c);
	for (size_t i = 0; i < MIN(c.count, TRIES_MAX); i++) {
		int before = c.attempts;

		e = try_target(&c, c.order[i], home_wait_ms(&c, i), out);
		if (e == RAMP_OK || !may_go_on(&c, e, before))
			return e;
	}
	if (c.refused_count)
		e = try_refused(&c, out);
	return e != RAMP_OK && c.astray && !c.attempts ? try_alone(&c, out) : e;
}
