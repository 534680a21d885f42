/*
 * Chats that crash the targets which begin to answer them. Each message but the
 * last is a part of the prompt as route/crash-causes.h has it. A node knows
 * what it has seen itself.
 */
#include <talloc.h>

#include "node/node.h"

/* Interval of the decisions what is blocked. */
#define DECIDE_INTERVAL_MS 50
/*
 * A target has the same id after a restart. It can't crash twice within this
 * time.
 */
#define CRASH_ID_MS 250

struct decider {
	struct node *node;
	int64_t next_ms;
};

static uint64_t hash_message(const json_t *m)
{
	const char *role = json_string_value(json_object_get(m, "role"));
	char *text = json_dumps(json_object_get(m, "content"),
				JSON_COMPACT | JSON_ENCODE_ANY);
	uint64_t hash = str_hash(str_c(text), str_hash(str_c(role), 0));

	free(text);
	return hash;
}

void chat_faults_set_parts(struct request *rq, const json_t *body)
{
	const json_t *messages = json_object_get(body, "messages");
	size_t n = json_array_size(messages);
	char *text;

	if (!n)
		return;
	rq->own_part = hash_message(json_array_get(messages, n - 1));
	text = json_dumps(messages, JSON_COMPACT);
	rq->whole = str_hash(str_c(text),
			     str_hash(str_c(rq->owner->organisation->name), 0));
	free(text);
	n = MIN(n - 1, CHAT_PARTS_MAX);
	rq->parts = talloc_array(rq->arena, uint64_t, n + 1);
	for (size_t i = 0; i < n; i++)
		rq->parts[i] = hash_message(json_array_get(messages, i));
	rq->part_count = n;
}

static struct cause_keys keys_of(const struct request *rq)
{
	return (struct cause_keys){
		.parts = rq->parts,
		.n = rq->part_count,
		.own = rq->own_part,
		.whole = rq->whole,
		.attempt = str_hash(rq->id, 0),
	};
}

enum ramp_error chat_faults_check(const struct request *rq)
{
	struct cause_keys k = keys_of(rq);

	switch (crash_causes_block(rq->node->crash_causes, &k,
				   time_mono_ms())) {
	case CAUSE_PART:
		metric_add(M_PROMPT_REFUSALS_TOTAL, 1);
		return RAMP_ERR_PROMPT_BLOCKED;
	case CAUSE_REQUEST:
		metric_add(M_REQUEST_REFUSALS_TOTAL, 1);
		return RAMP_ERR_REQUEST_BLOCKED;
	case CAUSE_NONE:
		break;
	}
	return RAMP_OK;
}

bool chat_faults_suspect(const struct request *rq)
{
	struct cause_keys k = keys_of(rq);

	return chat_faults_check(rq) != RAMP_OK ||
	       crash_causes_suspect(rq->node->crash_causes, &k);
}

void chat_faults_began(const struct request *rq, int64_t began_ms)
{
	struct cause_keys k = keys_of(rq);

	crash_causes_began(rq->node->crash_causes, &k, began_ms);
}

void chat_faults_crashed(const struct request *rq, const struct target *t)
{
	struct cause_keys k = keys_of(rq);
	int64_t now = time_mono_ms();

	crash_causes_crashed(rq->node->crash_causes, &k,
			     t->id + (uint64_t)(now / CRASH_ID_MS), now);
}

/* No trial is due, as the node is told of no others. */
static void on_cause_changed(void *ctx, const struct cause_news *news)
{
	const struct cause_record *r = news->r;

	(void)ctx;
	if (r->whole) {
		metric_add(M_REQUESTS_BLOCKED, r->blocked ? 1 : -1);
		log_event(r->blocked ? EV_REQUEST_BLOCKED : EV_REQUEST_FREED,
			  "whole=%x crashes=%d sound_runs=%u why=%s",
			  (unsigned)r->key, (int)r->crash_count,
			  news->sound_count, news->why);
		return;
	}
	metric_add(M_PROMPT_PARTS_BLOCKED, r->blocked ? 1 : -1);
	log_event(r->blocked ? EV_PROMPT_BLOCKED : EV_PROMPT_FREED,
		  "part=%x depth=%d crashes=%d sound_runs=%u why=%s",
		  (unsigned)r->key, (int)r->depth, (int)r->crash_count,
		  news->sound_count, news->why);
}

struct crash_causes *chat_faults_new(void)
{
	return crash_causes_new(on_cause_changed, NULL);
}

static void *start(struct control_env *env)
{
	struct decider *d = g_new0(struct decider, 1);

	d->node = env->node;
	return d;
}

static void tick(void *ctx, int64_t now_ms)
{
	struct decider *d = ctx;

	if (now_ms < d->next_ms)
		return;
	d->next_ms = now_ms + DECIDE_INTERVAL_MS;
	crash_causes_decide(d->node->crash_causes, now_ms);
}

static void stop(void *ctx)
{
	g_free(ctx);
}

const struct control_module chat_faults_module = {
	.start = start,
	.tick = tick,
	.stop = stop,
};
