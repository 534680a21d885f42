/*
 * Messages between nodes about the software versions that they know of; see
 * version-gate.h. Runs on the control thread.
 */
#include "entry/control.h"

/* The ids of all other nodes, live or not; NULL: they are not known yet. */
static const uint64_t *other_nodes(struct control *c, const struct peer_list *l,
				   int64_t now_ms, uint64_t *ids, size_t *n)
{
	uint64_t self = member_id(c->e->control_settings.node_name);

	*n = 0;
	/* The list may be older than what the store has shown. */
	if (c->published_view != member_view_version(c->member) ||
	    !control_knows_nodes(c, now_ms))
		return NULL;
	for (size_t i = 0; i < l->known; i++)
		if (l->known_ids[i] != self)
			ids[(*n)++] = l->known_ids[i];
	return ids;
}

/* Let the traffic thread go on with the requests that wait for a version. */
static void notify_opened(struct control *c)
{
	ev_async_send(c->e->tr.loop, &c->e->tr.views_published);
}

static void send_news(struct control *c, const struct entry_peer *peer,
		      const struct version_news *v, size_t n)
{
	struct peer_message m = {.kind = PEER_VERSIONS};
	struct version_notices *notices = &m.peer_message_u.versions;
	struct version_notice entries[VERSION_NOTICES_MAX];
	size_t count = origins_news_for(c->e->origins, v, n, peer->id, entries);

	if (!count)
		return;
	notices->node = member_id(c->e->control_settings.node_name);
	notices->confirm = true;
	notices->entries.entries_len = (u_int)count;
	notices->entries.entries_val = entries;
	peers_send_message(c, &peer->report_address, &m);
}

void peers_send_versions(struct control *c, const struct peer_list *l,
			 int64_t now_ms)
{
	uint64_t self = member_id(c->e->control_settings.node_name);
	uint64_t *ids = g_new(uint64_t, l->known + 1);
	struct version_news v[VERSION_NOTICES_MAX];
	const uint64_t *nodes;
	size_t n;

	nodes = other_nodes(c, l, now_ms, ids, &n);
	if (origins_check_versions(c->e->origins, nodes, n, now_ms))
		notify_opened(c);
	n = origins_take_news(c->e->origins, nodes, n, now_ms, v,
			      VERSION_NOTICES_MAX);
	for (size_t i = 0; n && i < l->n; i++)
		if (l->v[i].id != self)
			send_news(c, &l->v[i], v, n);
	g_free(ids);
}

void peers_apply_versions(struct control *c, const struct sockaddr_in *from,
			  const struct version_notices *notices)
{
	struct peer_message m = {.kind = PEER_VERSIONS};
	struct version_notices *answer = &m.peer_message_u.versions;
	struct version_notice entries[VERSION_NOTICES_MAX];
	u_int n = notices->entries.entries_len;

	if (origins_apply_notices(c->e->origins, notices->node,
				  notices->entries.entries_val, n,
				  time_boot_ms(), entries))
		notify_opened(c);
	if (!notices->confirm) {
		control_ask_origins(c);
		return;
	}
	answer->node = member_id(c->e->control_settings.node_name);
	answer->entries.entries_len = n;
	answer->entries.entries_val = entries;
	peers_send_message(c, from, &m);
}
