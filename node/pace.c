/*
 * Stall timeout of a stream from the gaps between its arrivals, and the backoff
 * between attempts.
 */
#include <math.h>

#include "node/node.h"

#define MEAN_GAIN             0.125 /* this and the next two: RFC 6298 */
#define DEVIATION_GAIN        0.25
#define DEVIATIONS            4
#define TIMEOUT_MIN_MS        250
#define SAMPLES_MIN           4 /* fewer gaps give no estimate */
#define TIMEOUT_DOUBLINGS_MAX 8
#define BACKOFF_BASE_MS       25
#define BACKOFF_DOUBLINGS_MAX 5

void pace_record_gap(struct pace *p, int64_t gap_ms)
{
	double gap = (double)gap_ms;

	p->consecutive_timeouts = 0;
	if (!p->gap_count++) {
		p->mean_ms = gap;
		p->deviation_ms = gap / 2;
		return;
	}
	p->deviation_ms +=
		DEVIATION_GAIN * (fabs(gap - p->mean_ms) - p->deviation_ms);
	p->mean_ms += MEAN_GAIN * (gap - p->mean_ms);
}

void pace_record_timeout(struct pace *p)
{
	if (p->consecutive_timeouts < TIMEOUT_DOUBLINGS_MAX)
		p->consecutive_timeouts++;
}

int64_t pace_timeout_ms(const struct pace *p, int64_t max_ms)
{
	double timeout_ms = p->mean_ms + DEVIATIONS * p->deviation_ms;

	if (p->gap_count < SAMPLES_MIN)
		return max_ms;
	timeout_ms = MAX(timeout_ms, TIMEOUT_MIN_MS) *
		     (1 << p->consecutive_timeouts);
	return timeout_ms < (double)max_ms ? (int64_t)timeout_ms : max_ms;
}

int64_t pace_backoff_ms(unsigned n, uint32_t random)
{
	int64_t base_ms = (int64_t)BACKOFF_BASE_MS
			  << MIN(n, BACKOFF_DOUBLINGS_MAX);

	return base_ms / 2 + (int64_t)(random % (uint64_t)base_ms);
}
