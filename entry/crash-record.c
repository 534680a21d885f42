/*
 * Records which attempts began and which broke as their target crashed, by
 * their keys (route/crash-causes.c). Connections break for other reasons as
 * well, and what is asked for is not to blame for them: see reach-check.c.
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
