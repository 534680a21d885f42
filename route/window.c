#include "route/route.h"

#define WINDOW_SLOTS (RETRY_SLOTS - 1)

/* Empty the slots that time has passed over. */
static void turn(struct retry_window *s, int64_t now_ms)
{
	int64_t slot_ms = s->window_ms / WINDOW_SLOTS;
	int64_t number = now_ms / (slot_ms > 0 ? slot_ms : 1);

	if (number - s->slot_number > RETRY_SLOTS)
		s->slot_number = number - RETRY_SLOTS;
	while (s->slot_number < number) {
		size_t i = (size_t)(++s->slot_number % RETRY_SLOTS);

		s->firsts[i] = 0;
		s->repeats[i] = 0;
	}
}

static unsigned sum(const unsigned *v)
{
	unsigned n = 0;

	for (size_t i = 0; i < RETRY_SLOTS; i++)
		n += v[i];
	return n;
}

void retry_window_first(struct retry_window *s, int64_t now_ms)
{
	turn(s, now_ms);
	s->firsts[s->slot_number % RETRY_SLOTS]++;
}

bool retry_window_take(struct retry_window *s, int64_t now_ms)
{
	double firsts;

	turn(s, now_ms);
	/* A whole window is never shorter than what the sum spans. */
	firsts = sum(s->firsts) * (double)WINDOW_SLOTS / RETRY_SLOTS;
	if (sum(s->repeats) + 1 > s->ratio * firsts + s->allowance)
		return false;
	s->repeats[s->slot_number % RETRY_SLOTS]++;
	return true;
}
