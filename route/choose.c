/* Order in which a request tries targets: hint, prefix index, rendezvous. */
#include "route/route.h"

#define MS_PER_S 1000.0

static bool may_try(const struct choose_input *in, uint64_t id)
{
	for (size_t i = 0; i < in->count; i++)
		if (in->targets[i].id == id)
			return true;
	return false;
}

/* Append an id unless it is there or out is full. Return the new length. */
static size_t append_unique(uint64_t *out, size_t n, uint64_t id)
{
	for (size_t i = 0; i < n; i++)
		if (out[i] == id)
			return n;
	if (n < CHOOSE_MAX)
		out[n++] = id;
	return n;
}

size_t choose_targets(const struct choose_input *in, uint64_t *out)
{
	struct rendezvous_candidate top[CHOOSE_MAX];
	size_t k = rendezvous_top(in->key, in->targets, in->count, top,
				  CHOOSE_MAX);
	size_t n = 0;

	if (in->hint && may_try(in, in->hint->target))
		n = append_unique(out, n, in->hint->target);
	if (in->indexed && may_try(in, in->indexed))
		n = append_unique(out, n, in->indexed);
	for (size_t i = 0; i < k; i++)
		n = append_unique(out, n, top[i].id);
	return n;
}

int64_t choose_wait_ms(int64_t cached_tokens, double prefill_tokens_per_s)
{
	return (int64_t)((double)cached_tokens * MS_PER_S /
			 prefill_tokens_per_s);
}
