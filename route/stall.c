/* Detection of stalled requests: the timeout, and the signs of a stall. */
#include "route/route.h"

/*
 * Lower bound of the timeout. A short answer takes some 30 ms, and TCP sends a
 * lost packet again after 200 ms: that must not count as a stall.
 */
#define TIMEOUT_MIN_MS 300
/* At most a third of the time left, which leaves a whole second attempt. */
#define TIMEOUT_DIVISOR 3
/* A shorter silence is no sign of a stall: an answer takes as long. */
#define SILENCE_MIN_MS 100

int64_t stall_timeout_for(int64_t latency_target_ms, int64_t left_ms)
{
	int64_t max_ms = left_ms / TIMEOUT_DIVISOR;
	int64_t min_ms = latency_target_ms > TIMEOUT_MIN_MS ? latency_target_ms
							    : TIMEOUT_MIN_MS;

	/* Too little time is left for a second attempt. */
	if (max_ms < SILENCE_MIN_MS)
		return left_ms;
	return min_ms < max_ms ? min_ms : max_ms;
}

enum stall_status stall_status(const struct stall_state *s, int64_t now_ms)
{
	int64_t last_activity_ms = s->last_received_ms > s->sent_ms
					   ? s->last_received_ms
					   : s->sent_ms;

	if (now_ms - last_activity_ms >= s->stall_after_ms)
		return STALL_TARGET_SILENT;
	if (s->newest_begun_sent_ms - s->sent_ms >= s->stall_after_ms)
		return STALL_REQUEST_OVERTAKEN;
	return STALL_NONE;
}
