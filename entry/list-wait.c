/*
 * Requests for which the list of targets is too old, as after a pause of the
 * process, wait for a moment: the control thread asks for a confirmation at the
 * same time. So do those for which all targets are of a version that the other
 * nodes are being told of. Traffic thread.
 */
#include "entry/exchange.h"

/*
 * Longest wait. A store that does not answer, and was not slow before, shows in
 * less; see HANGING_MS in call-watch.c.
 */
#define LIST_WAIT_MS 400

void exchange_leave_list_wait(struct exchange *x)
{
	if (x->awaiting_list)
		g_queue_remove(x->tr->awaiting_list, x);
	x->awaiting_list = false;
}

/* Wait, unless the request has done so for long enough. */
static bool await(struct exchange *x, int64_t now)
{
	if (!x->list_wait_end_ms)
		x->list_wait_end_ms = now + LIST_WAIT_MS;
	if (now >= x->list_wait_end_ms)
		return false;
	if (!x->awaiting_list)
		g_queue_push_tail(x->tr->awaiting_list, x);
	x->awaiting_list = true;
	metric_add(M_LIST_WAITS_TOTAL, 1);
	exchange_arm_timer(x);
	return true;
}

bool exchange_await_list(struct exchange *x)
{
	int64_t now = time_boot_ms();

	if (!x->tr->list || pool_list_is_usable(x->tr, now))
		return false;
	return await(x, now);
}

bool exchange_await_version(struct exchange *x)
{
	if (exchange_target_version(x) != VERSION_KNOWN ||
	    !pool_serves_version(x->tr, x->service, VERSION_ANY))
		return false;
	return await(x, time_boot_ms());
}

void exchange_end_list_wait(struct exchange *x)
{
	exchange_leave_list_wait(x);
	if (x->begun)
		exchange_attempt(x);
	else
		exchange_begin(x);
}

void exchanges_on_list(struct traffic *tr)
{
	GQueue waiting = *tr->awaiting_list;
	struct exchange *x;

	if (!pool_list_is_usable(tr, time_boot_ms()))
		return;
	/* Those that go on waiting are queued anew. */
	g_queue_init(tr->awaiting_list);
	while ((x = g_queue_pop_head(&waiting))) {
		x->awaiting_list = false;
		exchange_end_list_wait(x);
	}
}
