/*
 * Dispatch of a chat request: ranks the targets, asks for admission (here or at
 * the node that admits to the target), begins the answer, and tries other
 * targets where that is safe. Runs on the thread of the caller's connection.
 */
#include <string.h>
#include <talloc.h>

#include "node/forward.h"

#define ADMISSION_TARGETS_MAX 4    /* targets asked for admission */
#define ATTEMPTS_MAX          3    /* targets that the work is sent to */
#define CACHE_WAIT_MAX_MS     300  /* longest wait for the prefix's target */
#define FINAL_WAIT_MS         500  /* longest wait once all have refused */
#define PREFILL_TOKENS_PER_S  8000 /* of an engine */

/* State of one request's dispatch. */
struct dispatch_state {
	struct request *rq;
	const struct target *targets[CHOOSE_MAX];
	size_t count;
	int attempts; /* targets that the work was sent to */
	/* Targets that refused admission, least loaded first. */
	struct refused_target {
		const struct target *target;
		int64_t load; /* tokens */
	} refused[ADMISSION_TARGETS_MAX];
	size_t refused_count;
	bool final_round; /* the refused targets are asked again */
	/* The last node asked does not admit to its target, or can't now. */
	bool last_target_unowned;
};

static bool is_allowed(const struct request *rq, const struct target *t)
{
	if (strcmp(t->pool, rq->service->pool) || t->leaving || t->down)
		return false;
	return !rq->intent || !rq->intent->targets ||
	       g_strv_contains((const char *const *)rq->intent->targets,
			       t->name);
}

/* Return the targets that the request may use, without the ejected ones. */
static struct rendezvous_candidate *candidates(struct request *rq, size_t *n)
{
	GPtrArray *all = rq->fleet->targets;
	struct rendezvous_candidate *rank = talloc_array(
		rq->arena, struct rendezvous_candidate, all->len + 1);

	*n = 0;
	for (guint i = 0; i < all->len; i++) {
		const struct target *t = g_ptr_array_index(all, i);

		if (is_allowed(rq, t) && health_allows(rq->node->health, t))
			rank[(*n)++] = (struct rendezvous_candidate){
				.id = t->id, .index = i};
	}
	return rank;
}

const struct target **dispatch_rank_targets(struct request *rq, size_t *n)
{
	struct rendezvous_candidate *rank = candidates(rq, n);
	const struct target **targets =
		talloc_array(rq->arena, const struct target *, *n + 1);
	uint64_t key =
		rq->work.chat_hash ? rq->work.chat_hash : str_hash(rq->id, 0);

	rendezvous_sort(key, rank, *n);
	for (size_t i = 0; i < *n; i++)
		targets[i] =
			g_ptr_array_index(rq->fleet->targets, rank[i].index);
	return targets;
}

static const struct target *find_candidate(const struct rendezvous_candidate *r,
					   size_t n, const struct fleet *f,
					   uint64_t id)
{
	for (size_t i = 0; i < n; i++) {
		if (r[i].id == id)
			return g_ptr_array_index(f->targets, r[i].index);
	}
	return NULL;
}

/* Set the order in which to try the targets. */
static void choose_order(struct dispatch_state *c)
{
	struct request *rq = c->rq;
	struct choose_input in = {.key = rq->work.chat_hash, .hint = &rq->hint};
	uint64_t ids[CHOOSE_MAX];

	in.targets = candidates(rq, &in.count);
	c->count = choose_targets(&in, ids);
	for (size_t i = 0; i < c->count; i++)
		c->targets[i] =
			find_candidate(in.targets, in.count, rq->fleet, ids[i]);
}

/*
 * Return whether the target probably has the chat's history in its prefix
 * cache.
 */
static bool is_prefix_holder(const struct dispatch_state *c,
			     const struct target *t)
{
	const struct request *rq = c->rq;

	if (!rq->work.history_tokens)
		return false;
	return t->id == (rq->hint.target ? rq->hint.target : c->targets[0]->id);
}

/* Without a hint the last turn is assumed to have just ended. */
static int64_t hint_age_ms(const struct request *rq)
{
	return rq->hint.target ? MAX(time_now_ms() - rq->hint.at_ms, 0) : 0;
}

static struct admission_request
make_admission_request(const struct dispatch_state *c, const struct target *t,
		       int64_t wait_ms)
{
	const struct request *rq = c->rq;

	return (struct admission_request){
		.pool = rq->service->pool,
		.organisation = rq->owner->organisation->name,
		.weight = rq->owner->organisation->weight,
		.target = t->id,
		.priority = (int)rq->priority,
		.work = rq->work.prompt_tokens + rq->work.output_tokens,
		.reusable_tokens =
			is_prefix_holder(c, t) ? rq->work.history_tokens : 0,
		.reuse_age_ms = hint_age_ms(rq),
		.final_round = c->final_round,
		.deadline_ms = request_deadline_mono_ms(rq),
		.wait_until_ms = wait_ms ? time_mono_ms() + wait_ms : 0,
	};
}

static void record_refusal(struct dispatch_state *c, const struct target *t,
			   const struct admission_refusal *refusal)
{
	size_t i = c->refused_count;

	c->rq->retry_at_ms =
		time_now_ms() + refusal->retry_at_ms - time_mono_ms();
	c->last_target_unowned = refusal->reason == REFUSAL_NOT_OWNER ||
				 refusal->reason == REFUSAL_TARGET_UNAVAILABLE;
	if (c->last_target_unowned || i >= ADMISSION_TARGETS_MAX)
		return;
	for (; i > 0 && c->refused[i - 1].load > refusal->load; i--)
		c->refused[i] = c->refused[i - 1];
	c->refused[i] = (struct refused_target){t, refusal->load};
	c->refused_count++;
}

/* Admit and send the request on this node, which admits to the target. */
static enum ramp_error try_local(struct dispatch_state *c,
				 const struct target *t,
				 const struct admission_request *admission,
				 struct relay **out)
{
	struct request *rq = c->rq;
	struct admission_refusal refusal;
	enum ramp_error e;

	if (!admission_acquire(rq->node->admission, admission, &rq->grant,
			       &refusal)) {
		record_refusal(c, t, &refusal);
		return RAMP_ERR_OVERLOADED;
	}
	c->attempts++;
	e = relay_open(rq, t, NULL, out);
	if (e != RAMP_OK)
		admission_release(rq->node->admission, &rq->grant, -1);
	return e;
}

static enum ramp_error try_forwarded(struct dispatch_state *c,
				     const struct peer *p,
				     const struct target *t,
				     const struct admission_request *admission,
				     struct relay **out)
{
	struct admission_refusal refusal = {0};
	enum ramp_error e =
		forward_request(c->rq, p, t, admission, out, &refusal);

	if (refusal.reason != REFUSAL_NONE)
		record_refusal(c, t, &refusal);
	else
		c->attempts++;
	return e;
}

static void record_health(struct dispatch_state *c, const struct target *t,
			  enum ramp_error e, int64_t start_ms)
{
	struct health *h = c->rq->node->health;

	if (e == RAMP_OK)
		health_record_success(h, t, time_mono_ms() - start_ms);
	else if (e != RAMP_ERR_BAD_REQUEST)
		health_record_error(h, t);
}

static enum ramp_error try_target(struct dispatch_state *c,
				  const struct target *t, int64_t wait_ms,
				  struct relay **out)
{
	struct request *rq = c->rq;
	struct admission_request admission =
		make_admission_request(c, t, wait_ms);
	const struct peer *p = peer_admitter(rq->fleet, t->id);
	int64_t start_ms = time_mono_ms();
	int attempts_before = c->attempts;
	enum ramp_error e;

	if (!p || !strcmp(p->name, rq->node->set.node_name))
		e = try_local(c, t, &admission, out);
	else
		e = try_forwarded(c, p, t, &admission, out);
	/* A refusal by admission says nothing about the target's health. */
	if (c->attempts > attempts_before)
		record_health(c, t, e, start_ms);
	return e;
}

/*
 * Return whether another target may be tried: nothing ran, or a rerun is safe.
 */
static bool may_run_elsewhere(const struct request *rq, enum ramp_error e)
{
	if (rq->caller_gone || e == RAMP_ERR_BAD_REQUEST ||
	    e == RAMP_ERR_TIMED_OUT)
		return false;
	return error_responses[e].outcome == OUTCOME_NOT_RUN ||
	       rq->service->idempotent;
}

/*
 * Decide after a failed attempt whether to try the next target, and sleep for
 * the backoff. A refusal by admission takes nothing from the retry budget.
 */
static bool may_try_next(struct dispatch_state *c, enum ramp_error e,
			 int attempts_before)
{
	int64_t pause_ms;

	if (!may_run_elsewhere(c->rq, e) || chat_faults_suspect(c->rq))
		return false;
	if (c->attempts == attempts_before)
		return true;
	if (c->attempts >= ATTEMPTS_MAX)
		return false;
	pause_ms = health_retry_delay_ms(c->rq->node->health, c->attempts,
					 request_deadline_mono_ms(c->rq));
	if (pause_ms < 0)
		return false;
	metric_add(M_RETRIES_TOTAL, 1);
	g_usleep((gulong)pause_ms * 1000);
	return true;
}

/*
 * Return how long to queue at the first target for its cached prefix, at most
 * CACHE_WAIT_MAX_MS; 0 at other targets.
 */
static int64_t cache_wait_ms(const struct dispatch_state *c, size_t i)
{
	if (i > 0 || !is_prefix_holder(c, c->targets[0]))
		return 0;
	return MIN(choose_wait_ms(c->rq->work.history_tokens,
				  PREFILL_TOKENS_PER_S),
		   CACHE_WAIT_MAX_MS);
}

/*
 * All targets asked have refused: wait up to FINAL_WAIT_MS for the least loaded
 * of them, then ask each of the others once more.
 */
static enum ramp_error retry_refused(struct dispatch_state *c,
				     struct relay **out)
{
	struct refused_target refused[ADMISSION_TARGETS_MAX];
	size_t n = c->refused_count;
	enum ramp_error e = RAMP_ERR_OVERLOADED;

	memcpy(refused, c->refused, sizeof(refused));
	c->final_round = true;
	for (size_t i = 0; i < n; i++) {
		int attempts_before = c->attempts;

		e = try_target(c, refused[i].target, i ? 0 : FINAL_WAIT_MS,
			       out);
		if (e == RAMP_OK || !may_try_next(c, e, attempts_before))
			return e;
	}
	return e;
}

/*
 * The nodes asked don't admit to their targets, as happens when all nodes have
 * just started: send the request without admission. The targets' load reports
 * include it.
 */
static enum ramp_error try_unadmitted(struct dispatch_state *c,
				      struct relay **out)
{
	enum ramp_error e = RAMP_ERR_NO_TARGET;

	for (size_t i = 0; i < c->count; i++) {
		int attempts_before = c->attempts++;
		int64_t start_ms = time_mono_ms();

		e = relay_open(c->rq, c->targets[i], NULL, out);
		record_health(c, c->targets[i], e, start_ms);
		if (e == RAMP_OK || !may_try_next(c, e, attempts_before))
			return e;
	}
	return e;
}

enum ramp_error dispatch(struct request *rq, struct relay **out)
{
	struct dispatch_state c = {.rq = rq};
	enum ramp_error e = RAMP_ERR_NO_TARGET;

	bool may_have_run = false;

	health_count_request(rq->node->health);
	choose_order(&c);
	for (size_t i = 0; i < MIN(c.count, ADMISSION_TARGETS_MAX); i++) {
		int attempts_before = c.attempts;

		e = try_target(&c, c.targets[i], cache_wait_ms(&c, i), out);
		may_have_run |= error_responses[e].outcome != OUTCOME_NOT_RUN;
		if (e == RAMP_OK || !may_try_next(&c, e, attempts_before))
			return e;
	}
	if (c.refused_count)
		e = retry_refused(&c, out);
	if (e != RAMP_OK && c.last_target_unowned && !c.attempts)
		e = try_unadmitted(&c, out);
	/* That the last one has refused says nothing of those before. */
	return may_have_run && error_responses[e].outcome == OUTCOME_NOT_RUN
		       ? RAMP_ERR_OUTCOME_UNKNOWN
		       : e;
}
