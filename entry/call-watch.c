/* Whether a call without an answer shows trouble. See call-watch.h. */
#include "base/base.h"
#include "entry/call-watch.h"
#include "entry/list-deadline.h"

/* The shortest time without an answer that shows trouble. */
#define HANGING_MS 300
/*
 * The store is in trouble when it takes longer than this many times its slowest
 * recent answer.
 */
#define SLOWEST_FACTOR 2
/* Answers count as recent for this long. */
#define RECENT_MS 20000
/* A timer that is late by more: the answer is looked for once more. */
#define LATE_MS 100
#define LOOK_MS 20

int64_t call_watch_slowest_ms(const struct call_watch *w, int64_t now_ms)
{
	int64_t ms = 0;

	for (size_t i = 0; i < CALL_WATCH_ANSWERS; i++)
		if (now_ms - w->answers[i].at_ms < RECENT_MS)
			ms = MAX(ms, w->answers[i].took_ms);
	return ms;
}

int64_t call_watch_begin(struct call_watch *w, int64_t now_ms, bool failing)
{
	int64_t ms = HANGING_MS;

	if (!failing)
		ms = MAX(ms, SLOWEST_FACTOR * call_watch_slowest_ms(w, now_ms));
	w->started_ms = now_ms;
	w->due_ms = now_ms + ms;
	return w->due_ms;
}

bool call_watch_is_hanging(struct call_watch *w, int64_t now_ms)
{
	if (!w->started_ms)
		return false;
	if (now_ms - w->due_ms <= LATE_MS)
		return now_ms >= w->due_ms;
	w->due_ms = now_ms + LOOK_MS;
	return false;
}

void call_watch_end(struct call_watch *w, int64_t now_ms, bool answered)
{
	if (w->started_ms && answered) {
		w->answers[w->next] =
			(struct call_answer){now_ms, now_ms - w->started_ms};
		w->next = (w->next + 1) % CALL_WATCH_ANSWERS;
	}
	w->started_ms = 0;
}

int64_t call_watch_pause_max_ms(int64_t contact_ms, int64_t timeout_ms,
				int64_t delay_ms)
{
	return contact_ms - LIST_WAY_MS - timeout_ms - HANGING_MS - delay_ms;
}
