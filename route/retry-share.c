/* A process's part of the retry budget of a service. */
#include <glib.h>

#include "route/route.h"

void retry_share_update(struct retry_share *s,
			const struct retry_budget_limits *l, size_t nodes,
			int64_t now_ms)
{
	struct retry_window *w = &s->window;
	double age =
		(double)(now_ms - s->started_ms) / (double)MAX(l->window_ms, 1);

	w->ratio = l->ratio;
	w->window_ms = l->window_ms;
	/*
	 * The retries that an earlier process took are unknown, so the
	 * allowance grows from 0 during the first window.
	 */
	w->allowance = l->allowance / (double)MAX(nodes, 1) * MIN(age, 1);
}
