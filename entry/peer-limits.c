/*
 * Messages between nodes about the limits that targets name. Runs on the
 * control thread.
 */
#include "entry/control.h"

/* What no response has confirmed for this long is forgotten. */
#define LIMIT_TTL_MS 3600000

static void send_limits(struct control *c, const struct peer_list *l,
			const struct target_limit *v, size_t n, bool update,
			int64_t now_ms)
{
	struct peer_message m = {.kind = PEER_LIMITS};
	struct limit_report reports[LIMIT_REPORTS_MAX];

	m.peer_message_u.limits.entries.entries_len = (u_int)n;
	m.peer_message_u.limits.entries.entries_val = reports;
	for (size_t i = 0; i < n; i++)
		reports[i] = (struct limit_report){
			v[i].target, (int)v[i].per_1000_s,
			(u_int)CLAMP(now_ms - v[i].named_ms, 0, UINT32_MAX)};
	if (update)
		peers_send_update(c, l, &m);
	else
		peers_send_to_some(c, l, RESEND_NODES, &m);
}

/*
 * Until the other nodes are known a node would take all of a limit for itself.
 */
static bool knows_peers(const struct control *c, const struct peer_list *l,
			int64_t now_ms)
{
	return l->n > 1 || now_ms >= c->peers_known_at_ms ||
	       discovery_has_read(c->discovery);
}

static void set_nodes(struct control *c, const struct peer_list *l,
		      int64_t now_ms)
{
	uint64_t *ids;

	if (c->limits_view == c->published_view || !knows_peers(c, l, now_ms))
		return;
	c->limits_view = c->published_view;
	ids = g_new(uint64_t, l->n + 1);
	for (size_t i = 0; i < l->n; i++)
		ids[i] = l->v[i].id;
	target_limits_set_nodes(c->e->target_limits, ids, l->n);
	crash_causes_set_nodes(c->e->crash_causes,
			       member_id(c->e->control_settings.node_name), ids,
			       l->n);
	g_free(ids);
}

void peers_send_limits(struct control *c, const struct peer_list *l,
		       int64_t now_ms)
{
	struct target_limits *t = c->e->target_limits;
	bool direct = l->n <= DIRECT_UPDATE_NODES_MAX;
	struct target_limit v[LIMIT_REPORTS_MAX];
	size_t n;

	set_nodes(c, l, now_ms);
	target_limits_set_rounds(
		t, direct ? DIRECT_UPDATE_ROUNDS : FANOUT_UPDATE_ROUNDS,
		!direct);
	if (l->n <= 1)
		return;
	while ((n = target_limits_take_updates(t, v, LIMIT_REPORTS_MAX)))
		send_limits(c, l, v, n, true, now_ms);
	if (now_ms < c->limits_list_at_ms)
		return;
	c->limits_list_at_ms = now_ms + RESEND_INTERVAL_MS;
	target_limits_expire(t, now_ms - LIMIT_TTL_MS);
	n = target_limits_list(t, v, LIMIT_REPORTS_MAX);
	if (n)
		send_limits(c, l, v, n, false, now_ms);
}

void peers_receive_limits(struct control *c, const struct limit_reports *m)
{
	int64_t now = time_boot_ms();

	for (u_int i = 0; i < m->entries.entries_len; i++) {
		const struct limit_report *e = &m->entries.entries_val[i];
		struct target_limit l = {e->target, e->per_1000_s,
					 now - (int64_t)e->age_ms};

		target_limits_receive(c->e->target_limits, &l);
	}
}
