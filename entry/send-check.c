/*
 * The last check before bytes of a request go to a target. A node that was busy
 * or paused reads a request, the close of its caller and the connection to the
 * target in the same turn of its loop; requests of callers that have left, and
 * those to targets that are leaving, must not be sent on.
 */
#include "entry/evacuations.h"
#include "entry/exchange.h"

bool exchange_is_wanted(struct exchange *x)
{
	if (caller_close_if_left(x->caller)) {
		metric_add(M_SENDS_STOPPED_CALLER_LEFT_TOTAL, 1);
		return false;
	}
	if (exchange_time_left_ms(x) > 0)
		return true;
	metric_add(M_SENDS_STOPPED_DEADLINE_TOTAL, 1);
	x->failure_cause = "deadline";
	exchange_fail(x);
	return false;
}

bool exchange_may_send(void *exchange)
{
	struct exchange *x = exchange;

	if (!exchange_is_wanted(x))
		return false;
	if (pool_takes_requests(x->target, time_boot_ms())) {
		exchange_note_send(x);
		return true;
	}
	x->failure_cause = "targets_unconfirmed";
	if (pool_list_is_usable(x->tr, time_boot_ms())) {
		metric_add(M_SENDS_STOPPED_TARGET_LEAVING_TOTAL, 1);
		x->failure_cause = "target_leaving";
	}
	if (!exchange_retry(x, false, false))
		exchange_fail(x);
	return false;
}
