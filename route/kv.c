#include <math.h>

#include "route/route.h"

#define MS_PER_S 1000.0

/* What one token costs less to move than to recompute, in ms. */
static double saved_per_token(const struct kv_costs *c)
{
	double move = c->bytes_per_token / c->bytes_per_s * MS_PER_S;

	return MS_PER_S / c->prefill_tokens_per_s - move * (1 + c->donor_cost);
}

bool kv_move_pays(const struct kv_costs *c, int64_t tokens)
{
	return saved_per_token(c) * (double)tokens >
	       c->setup_ms * (1 + c->donor_cost);
}

int64_t kv_move_min(const struct kv_costs *c)
{
	double saved = saved_per_token(c);

	if (saved <= 0)
		return INT64_MAX;
	return (int64_t)floor(c->setup_ms * (1 + c->donor_cost) / saved) + 1;
}
