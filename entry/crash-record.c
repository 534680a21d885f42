/*
 * Records which attempts began and which broke as their target crashed, by
 * their keys (route/crash-causes.c). Connections break for other reasons as
 * well, and what is asked for is not to blame for them: see reach-check.c.
 * Tells other nodes by a notice of requests that are let through as trials.
 */
#include "entry/exchange.h"
#include "entry/tunnel.h"

static struct cause_keys keys_of(const struct exchange *x)
{
	struct cause_keys k = {
		.whole = x->whole,
		.attempt = str_hash(x->request_id, 0),
	};

	if (!x->parts)
		return k;
	k.parts = x->parts->shared;
	k.n = x->parts->n;
	k.own = x->parts->own;
	return k;
}

enum cause_block exchange_crash_block(const struct exchange *x)
{
	struct cause_keys k = keys_of(x);

	return crash_causes_block(x->tr->e->crash_causes, &k, time_boot_ms());
}

enum cause_block exchange_crash_block_now(const struct exchange *x)
{
	struct cause_keys k = keys_of(x);

	return crash_causes_block_now(x->tr->e->crash_causes, &k,
				      time_boot_ms());
}

bool exchange_is_suspect(const struct exchange *x)
{
	struct cause_keys k = keys_of(x);

	return crash_causes_suspect(x->tr->e->crash_causes, &k);
}

void exchange_record_begin(struct exchange *x, int64_t began_ms)
{
	struct cause_keys k = keys_of(x);

	if (x->begin_recorded)
		return;
	x->begin_recorded = true;
	crash_causes_began(x->tr->e->crash_causes, &k, began_ms);
}

void exchange_record_break(struct exchange *x)
{
	struct cause_keys k = keys_of(x);

	reach_check_start(x->target, x->begin_recorded ? NULL : &k);
}

/* A notice with the value of the one before would not be sent at once. */
#define HOLD_SPREAD_MS 100

static void hold_trials(void *ctx, uint64_t key, int64_t hold_ms,
			int64_t now_ms)
{
	struct entry *e = ctx;

	notices_set(e->notices, NOTICE_CAUSE_TRIED, key,
		    hold_ms + now_ms % HOLD_SPREAD_MS, now_ms);
}

static bool is_trial_held(void *ctx, uint64_t key, int64_t now_ms)
{
	struct entry *e = ctx;

	return notices_get(e->notices, NOTICE_CAUSE_TRIED, key, now_ms, 0) > 0;
}

static const struct trial_claims claims = {hold_trials, is_trial_held};

/* Return the ages of the key's crashes, in ms, for the log. */
static const char *crash_ages(const struct cause_record *r, char *out, size_t n)
{
	int64_t now = time_boot_ms();
	size_t len = 0;

	*out = '\0';
	for (uint32_t i = 0; i < r->crash_count && len < n; i++)
		len += (size_t)snprintf(out + len, n - len, "%s%d",
					i ? "," : "",
					(int)(now - r->crashes[i].at_ms));
	return out;
}

/* A part of prompts or a request is blocked, freed or tried. */
static void on_cause_changed(void *ctx, const struct cause_news *news)
{
	static const int events[][2] = {
		[CAUSE_BLOCKED] = {EV_PROMPT_BLOCKED, EV_REQUEST_BLOCKED},
		[CAUSE_FREED] = {EV_PROMPT_FREED, EV_REQUEST_FREED},
		[CAUSE_TRIED] = {EV_PROMPT_TRIED, EV_REQUEST_TRIED},
	};
	const struct cause_record *r = news->r;
	int64_t now = time_boot_ms();
	char ages[CAUSE_CRASHES_MAX * 12];

	(void)ctx;
	if (news->change != CAUSE_TRIED)
		metric_add(r->whole ? M_REQUESTS_BLOCKED
				    : M_PROMPT_PARTS_BLOCKED,
			   r->blocked ? 1 : -1);
	log_event(events[news->change][r->whole],
		  "%s=%x depth=%d crashes=%d ages_ms=%s began_before=%d "
		  "sound_age_ms=%d sound_runs=%u trials=%u why=%s",
		  r->whole ? "whole" : "part", (unsigned)r->key, (int)r->depth,
		  (int)r->crash_count, crash_ages(r, ages, sizeof(ages)),
		  r->began_ms != 0, r->began_ms ? (int)(now - r->began_ms) : -1,
		  news->sound_count, news->trials, news->why);
}

struct crash_causes *crash_record_new(struct entry *e)
{
	struct crash_causes *f = crash_causes_new(on_cause_changed, NULL);

	crash_causes_set_claims(f, &claims, e);
	return f;
}
