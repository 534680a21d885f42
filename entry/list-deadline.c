/* Until when the list of targets may be used. See list-deadline.h. */
#include "base/base.h"
#include "entry/list-deadline.h"

/*
 * Part of the drain time that is kept for the way from the check to the target:
 * a thread that loses the processor in between, and the network.
 */
#define WAY_PART 0.1
/* By which the use of a list is extended at a time. */
#define EXTENSION_MS 600

/* Whether the store, as far as is known, has not answered since a trouble. */
static bool is_disturbed(const struct list_evidence *e)
{
	return e->disturbed_ms > e->confirmed_ms &&
	       e->disturbed_ms > e->newer_ms;
}

static int64_t confirmed_until_ms(const struct list_evidence *e,
				  const struct list_bounds *b)
{
	return e->confirmed_ms +
	       (int64_t)((1 - WAY_PART) * (double)b->drain_ms);
}

int64_t list_deadline_ms(const struct list_evidence *e,
			 const struct list_bounds *b, int64_t now_ms)
{
	int64_t until = confirmed_until_ms(e, b);
	int64_t disturbed = e->disturbed_ms + b->contact_ms - LIST_WAY_MS;

	if (!e->confirmed_ms)
		return 0;
	if (!is_disturbed(e))
		return until;
	return MAX(until, MIN(disturbed, now_ms + EXTENSION_MS));
}

int64_t list_next_deadline_ms(const struct list_evidence *e,
			      const struct list_bounds *b, int64_t now_ms)
{
	if (!is_disturbed(e) || now_ms - e->disturbed_ms >= b->contact_ms)
		return 0;
	return now_ms + EXTENSION_MS / 2;
}

int64_t list_read_by_ms(const struct list_evidence *e,
			const struct list_bounds *b, int64_t answer_ms)
{
	return confirmed_until_ms(e, b) - answer_ms;
}
