/*
 * Messages between nodes about the versions at which streams began: records of
 * streams, questions and answers. Runs on the control thread.
 */
#include "entry/control.h"

/* Records that a node sends in a tick, at most. */
#define RECORDS_PER_TICK 256

/* Records or questions for one node. */
struct outbox {
	const struct entry_peer *peer;
	u_int n; /* entries */
	union {
		struct stream_origin origins[STREAM_ORIGINS_MAX];
		struct origin_question questions[ORIGIN_QUESTIONS_MAX];
	} v;
};

static void flush(struct control *c, enum peer_kind kind, struct outbox *b)
{
	struct peer_message m = {.kind = kind};

	if (kind == PEER_ORIGINS) {
		m.peer_message_u.origins.entries.entries_len = b->n;
		m.peer_message_u.origins.entries.entries_val = b->v.origins;
	} else {
		m.peer_message_u.origin_query.entries.entries_len = b->n;
		m.peer_message_u.origin_query.entries.entries_val =
			b->v.questions;
	}
	peers_send_message(c, &b->peer->report_address, &m);
	b->n = 0;
}

/* The messages of one kind that are being filled, by node. */
struct outboxes {
	struct control *c;
	const struct peer_list *peers;
	uint64_t *ids; /* of peers, in the same order */
	enum peer_kind kind;
	GHashTable *v; /* id -> struct outbox */
};

static void outboxes_init(struct outboxes *b, struct control *c,
			  const struct peer_list *l, enum peer_kind kind)
{
	*b = (struct outboxes){.c = c, .peers = l, .kind = kind};
	b->ids = g_new(uint64_t, l->n + 1);
	for (size_t i = 0; i < l->n; i++)
		b->ids[i] = l->v[i].id;
	b->v = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

/* Send what has been filled in. */
static void outboxes_finish(struct outboxes *b)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, b->v);
	while (g_hash_table_iter_next(&it, NULL, &p))
		if (((struct outbox *)p)->n)
			flush(b->c, b->kind, p);
	g_hash_table_unref(b->v);
	g_free(b->ids);
}

/* Return a node's messages; NULL when it is this one or not live. */
static struct outbox *outbox_of(struct outboxes *b, uint64_t id)
{
	struct outbox *out = g_hash_table_lookup(b->v, &id);

	if (out || id == member_id(b->c->e->control_settings.node_name))
		return out;
	for (size_t i = 0; i < b->peers->n; i++) {
		if (b->ids[i] != id)
			continue;
		out = g_new0(struct outbox, 1);
		out->peer = &b->peers->v[i];
		g_hash_table_insert(b->v, (gpointer)&out->peer->id, out);
		return out;
	}
	return NULL;
}

static void add_origin(struct outboxes *b, uint64_t node,
		       const struct stream_origin *origin)
{
	struct outbox *out = outbox_of(b, node);

	if (!out)
		return;
	out->v.origins[out->n++] = *origin;
	if (out->n == STREAM_ORIGINS_MAX)
		flush(b->c, b->kind, out);
}

static bool add_question(struct outboxes *b, uint64_t node,
			 const struct origin_question *q)
{
	struct outbox *out = outbox_of(b, node);

	if (!out)
		return false;
	out->v.questions[out->n++] = *q;
	if (out->n == ORIGIN_QUESTIONS_MAX)
		flush(b->c, b->kind, out);
	return true;
}

void peers_sweep_origins(struct control *c, const struct peer_list *l,
			 int64_t now_ms)
{
	origins_sweep(c->e->origins, now_ms);
	/* Most nodes of the fleet, as others may reach the store. */
	origins_set_list_time(
		c->e->origins, store_sync_targets_confirmed_ms(c->sync),
		store_sync_is_failing(c->sync) && 2 * l->n > l->known, now_ms);
}

void peers_send_origins(struct control *c, const struct peer_list *l,
			int64_t now_ms)
{
	struct stream_origin v[RECORDS_PER_TICK];
	uint64_t holders[ORIGIN_SMALL_FLEET];
	struct outboxes b;
	size_t n;

	/* Records stay unsent until other nodes are known. */
	if (l->n <= 1)
		return;
	n = origins_take_unsent(c->e->origins, now_ms, v, RECORDS_PER_TICK);
	if (!n)
		return;
	outboxes_init(&b, c, l, PEER_ORIGINS);
	for (size_t i = 0; i < n; i++) {
		size_t k =
			origin_holders(v[i].request, b.ids, l->n, 1, holders);

		for (size_t h = 0; h < k; h++)
			add_origin(&b, holders[h], &v[i]);
	}
	outboxes_finish(&b);
}

/* Send a question to the nodes that may hold the record. */
static void ask_holders(struct outboxes *b, const struct origin_question *q,
			unsigned rounds, int64_t now_ms)
{
	struct control *c = b->c;
	uint64_t holders[ORIGIN_SMALL_FLEET];
	size_t k = origin_holders(q->request, b->ids, b->peers->n, rounds,
				  holders);

	if (b->peers->n <= 1 && discovery_has_read(c->discovery)) {
		origins_settle_alone(c->e->origins, q, now_ms);
		return;
	}
	for (size_t h = 0; h < k; h++) {
		if (!add_question(b, holders[h], q))
			continue;
		origins_asked(c->e->origins, q, holders[h]);
		metric_add(M_ORIGIN_QUERIES_TOTAL, 1);
	}
}

/* Let the traffic thread go on with the requests that wait. */
static void notify_settled(struct control *c)
{
	if (origins_take_settled(c->e->origins))
		ev_async_send(c->e->tr.loop, &c->e->tr.origins_settled);
}

void peers_ask_origins(struct control *c, const struct peer_list *l,
		       int64_t now_ms)
{
	struct origin_question q;
	struct outboxes b;
	unsigned rounds;

	if (origins_next_question(c->e->origins, now_ms, &q, &rounds)) {
		outboxes_init(&b, c, l, PEER_ORIGIN_QUERY);
		do {
			ask_holders(&b, &q, rounds, now_ms);
		} while (origins_next_question(c->e->origins, now_ms, &q,
					       &rounds));
		outboxes_finish(&b);
	}
	notify_settled(c);
}

void peers_answer_origins(struct control *c, const struct sockaddr_in *from,
			  const struct origin_query *query)
{
	struct peer_message m = {.kind = PEER_ORIGIN_ANSWER};
	struct origin_answer *answer = &m.peer_message_u.origin_answer;
	struct origin_reply replies[ORIGIN_QUESTIONS_MAX];

	answer->node = member_id(c->e->control_settings.node_name);
	answer->entries.entries_val = replies;
	answer->entries.entries_len = query->entries.entries_len;
	for (u_int i = 0; i < query->entries.entries_len; i++)
		origins_answer(c->e->origins, &query->entries.entries_val[i],
			       time_boot_ms(), &replies[i]);
	peers_send_message(c, from, &m);
}

void peers_apply_origins(struct control *c, const struct origin_answer *answer)
{
	for (u_int i = 0; i < answer->entries.entries_len; i++)
		origins_apply_reply(c->e->origins, answer->node,
				    &answer->entries.entries_val[i],
				    time_boot_ms());
	notify_settled(c);
}
