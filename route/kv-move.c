/* Cost of moving a prefix's KV cache against that of recomputing it. */
#include <math.h>

#include "route/route.h"

#define MS_PER_S 1000.0

/* Return the ms that moving one token saves over recomputing it. */
static double saved_ms_per_token(const struct kv_costs *c)
{
	double move_ms = c->bytes_per_token / c->bytes_per_s * MS_PER_S;

	return MS_PER_S / c->prefill_tokens_per_s -
	       move_ms * (1 + c->donor_time_ratio);
}

bool kv_move_is_cheaper(const struct kv_costs *c, int64_t tokens)
{
	return saved_ms_per_token(c) * (double)tokens >
	       c->setup_ms * (1 + c->donor_time_ratio);
}

int64_t kv_move_min_tokens(const struct kv_costs *c)
{
	double saved_ms = saved_ms_per_token(c);

	if (saved_ms <= 0)
		return INT64_MAX;
	return (int64_t)floor(c->setup_ms * (1 + c->donor_time_ratio) /
			      saved_ms) +
	       1;
}
