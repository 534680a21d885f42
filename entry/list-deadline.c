/* Until when the list of targets may be used. See list-deadline.h. */
#include "base/base.h"
#include "entry/list-deadline.h"

/*
 * Part of a bound that is kept for the way from the check to the target: a
 * thread that loses the processor in between, and the network.
 */
#define WAY_PART 0.1

/* Return the time up to which a request may be sent under a bound. */
static int64_t send_until_ms(int64_t from_ms, int64_t bound_ms)
{
	return from_ms ? from_ms + (int64_t)((1 - WAY_PART) * (double)bound_ms)
		       : 0;
}

int64_t list_deadline_ms(const struct list_evidence *e,
			 const struct list_bounds *b, int64_t now_ms)
{
	int64_t disturbed = send_until_ms(e->disturbed_ms, b->contact_ms);

	if (!e->confirmed_ms)
		return 0;
	return MAX(send_until_ms(e->confirmed_ms, b->drain_ms),
		   MIN(disturbed, now_ms + LIST_EXTENSION_MS));
}
