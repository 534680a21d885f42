/* Until when the list of targets may be used. See list-deadline.h. */
#include "base/base.h"
#include "entry/list-deadline.h"

/*
 * Part of the drain time that is kept for the way from the check to the target:
 * a thread that loses the processor in between, and the network.
 */
#define WAY_PART 0.1

int64_t list_deadline_ms(const struct list_evidence *e,
			 const struct list_bounds *b, int64_t now_ms)
{
	int64_t until = e->confirmed_ms +
			(int64_t)((1 - WAY_PART) * (double)b->drain_ms);
	int64_t disturbed = e->disturbed_ms + b->contact_ms - LIST_WAY_MS;

	if (!e->confirmed_ms)
		return 0;
	if (!e->disturbed_ms)
		return until;
	return MAX(until, MIN(disturbed, now_ms + LIST_EXTENSION_MS));
}
