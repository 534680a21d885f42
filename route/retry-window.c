/* Retry budget of a sliding window that advances in slots. */
#include "route/route.h"

#define SLOTS_PER_WINDOW (RETRY_WINDOW_SLOTS - 1)

/* Advance to the slot of now_ms and clear the slots that are reused. */
static void advance(struct retry_window *s, int64_t now_ms)
{
	int64_t slot_ms = s->window_ms / SLOTS_PER_WINDOW;
	int64_t number = now_ms / (slot_ms > 0 ? slot_ms : 1);

	if (number - s->newest_slot > RETRY_WINDOW_SLOTS)
		s->newest_slot = number - RETRY_WINDOW_SLOTS;
	while (s->newest_slot < number) {
		size_t i = (size_t)(++s->newest_slot % RETRY_WINDOW_SLOTS);

		s->requests[i] = 0;
		s->retries[i] = 0;
	}
}

static unsigned sum(const unsigned *v)
{
	unsigned n = 0;

	for (size_t i = 0; i < RETRY_WINDOW_SLOTS; i++)
		n += v[i];
	return n;
}

void retry_window_add_request(struct retry_window *s, int64_t now_ms)
{
	advance(s, now_ms);
	s->requests[s->newest_slot % RETRY_WINDOW_SLOTS]++;
}

bool retry_window_take(struct retry_window *s, int64_t now_ms)
{
	double requests;

	advance(s, now_ms);
	/*
	 * The slots span up to one slot more than the window: scale the
	 * requests down, so that no window allows too many retries.
	 */
	requests = sum(s->requests) * (double)SLOTS_PER_WINDOW /
		   RETRY_WINDOW_SLOTS;
	if (sum(s->retries) + 1 > s->ratio * requests + s->allowance)
		return false;
	s->retries[s->newest_slot % RETRY_WINDOW_SLOTS]++;
	return true;
}
