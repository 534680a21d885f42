/*
 * A process's part of the retry budget of a service. The node's process before
 * this one may have used all of its part, which nobody can tell; so windows
 * that begin before this process knew its fleet have no allowance.
 */
#include <glib.h>

#include "route/route.h"

/* Whether the process may still be learning which nodes there are. */
static bool is_learning(const struct retry_share *s, size_t nodes,
			int64_t window_ms, int64_t now_ms)
{
	return now_ms - s->started_ms < window_ms &&
	       (nodes <= 1 || nodes > s->nodes);
}

void retry_share_update(struct retry_share *s,
			const struct retry_budget_limits *l, size_t nodes,
			int64_t now_ms)
{
	struct retry_window *w = &s->window;

	if (!s->nodes)
		w->allowance_from_ms = s->started_ms;
	if (is_learning(s, nodes, l->window_ms, now_ms))
		w->allowance_from_ms = now_ms;
	if (nodes >= s->nodes || now_ms >= s->nodes_until_ms) {
		s->nodes = MAX(nodes, 1);
		s->nodes_until_ms = now_ms + l->window_ms;
	}
	w->ratio = l->ratio;
	w->window_ms = l->window_ms;
	w->allowance = l->allowance / (double)s->nodes;
}
