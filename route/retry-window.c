/* Retry budget of a sliding window that advances in slots. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "route/route.h"

#define SLOTS_PER_WINDOW 40
/*
 * Parts of the requests of the same window and of the one before that pay for
 * retries. Their sum is 1: if each node took whichever has more, callers that
 * move between nodes would be counted twice.
 */
#define SAME_PART   0.5
#define BEFORE_PART 0.5

/*
 * Complete slots over which the rate of requests is taken, whichever is higher:
 * one for a rate that rises, one for a rate that varies by chance.
 */
#define SHORT_RATE_SLOTS 2
#define LONG_RATE_SLOTS  16

/* All windows that can contain a retry, and the ones before them. */
G_STATIC_ASSERT(RETRY_WINDOW_SLOTS == 2 * SLOTS_PER_WINDOW + 2);

/* Advance to a slot and clear the slots that are reused. */
static void advance_to(struct retry_window *s, int64_t number)
{
	if (number - s->newest_slot > RETRY_WINDOW_SLOTS)
		s->newest_slot = number - RETRY_WINDOW_SLOTS;
	while (s->newest_slot < number) {
		size_t i = (size_t)(++s->newest_slot % RETRY_WINDOW_SLOTS);

		s->requests[i] = 0;
		s->retries[i] = 0;
	}
}

/* Sum the slots from first to last, as far as they are kept. */
static unsigned sum(const struct retry_window *s, const unsigned *v,
		    int64_t first, int64_t last)
{
	unsigned n = 0;

	first = MAX(first, MAX(s->newest_slot - RETRY_WINDOW_SLOTS + 1, 0));
	last = MIN(last, s->newest_slot);
	for (int64_t i = first; i <= last; i++)
		n += v[i % RETRY_WINDOW_SLOTS];
	return n;
}

/*
 * Begin slots of another length, which have other numbers, as the setting has
 * changed. All retries that are known count as taken now.
 */
static void change_slots(struct retry_window *s, int64_t slot_ms,
			 int64_t now_ms)
{
	unsigned taken;

	advance_to(s, now_ms / s->slot_ms);
	taken = sum(s, s->retries, 0, s->newest_slot);
	memset(s->requests, 0, sizeof(s->requests));
	memset(s->retries, 0, sizeof(s->retries));
	s->newest_slot = now_ms / slot_ms;
	s->retries[s->newest_slot % RETRY_WINDOW_SLOTS] = taken;
}

/* Advance to the slot of now_ms. */
static void advance(struct retry_window *s, int64_t now_ms)
{
	int64_t slot_ms = MAX(s->window_ms / SLOTS_PER_WINDOW, 1);

	if (s->slot_ms && s->slot_ms != slot_ms)
		change_slots(s, slot_ms, now_ms);
	s->slot_ms = slot_ms;
	advance_to(s, now_ms / slot_ms);
}

/*
 * Return the requests that pay in a window which begins within a slot: only
 * slots count that lie in it wherever in the slot it begins.
 */
static double requests_for(const struct retry_window *s, int64_t begin)
{
	unsigned same = sum(s, s->requests, begin + 1, s->newest_slot);
	unsigned before =
		sum(s, s->requests, begin - SLOTS_PER_WINDOW + 1, begin - 1);

	return SAME_PART * same + BEFORE_PART * before;
}

/* Return the allowance of a window which begins within a slot. */
static double allowance_for(const struct retry_window *s, int64_t begin)
{
	return begin * s->slot_ms >= s->allowance_from_ms ? s->allowance : 0;
}

void retry_window_add_request(struct retry_window *s, int64_t now_ms)
{
	advance(s, now_ms);
	s->requests[s->newest_slot % RETRY_WINDOW_SLOTS]++;
}

bool retry_window_take(struct retry_window *s, int64_t now_ms,
		       struct retry_room *room)
{
	unsigned retries = s->pending + 1;
	double least = INFINITY;

	advance(s, now_ms);
	/*
	 * Check each window that contains this moment by the slot in which it
	 * begins. One sum over the longest would let requests of a burst that
	 * has left the shorter windows pay for retries in them.
	 */
	for (int64_t begin = s->newest_slot;
	     begin >= 0 && begin >= s->newest_slot - SLOTS_PER_WINDOW;
	     begin--) {
		double requests = requests_for(s, begin);
		double allowed = s->ratio * requests + allowance_for(s, begin);

		retries += s->retries[begin % RETRY_WINDOW_SLOTS];
		if (room && allowed - retries < least) {
			*room = (struct retry_room){requests, retries, allowed};
			least = allowed - retries;
		}
		if (retries > allowed)
			return false;
	}
	s->pending++;
	return true;
}

void retry_window_settle(struct retry_window *s, int64_t now_ms)
{
	advance(s, now_ms);
	s->pending--;
	s->retries[s->newest_slot % RETRY_WINDOW_SLOTS]++;
}

/* Return the rate over so many complete slots and the newest one. */
static double rate_over(const struct retry_window *s, int64_t slots,
			int64_t now_ms)
{
	int64_t first = s->newest_slot - slots;

	return sum(s, s->requests, first, s->newest_slot) /
	       (double)(now_ms - first * s->slot_ms + 1);
}

double retry_window_requests_per_ms(struct retry_window *s, int64_t now_ms)
{
	advance(s, now_ms);
	return MAX(rate_over(s, SHORT_RATE_SLOTS, now_ms),
		   rate_over(s, LONG_RATE_SLOTS, now_ms));
}
