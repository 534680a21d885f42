/*
 * Control module: follows the configuration through the table, snapshots and
 * peers, and puts new revisions in force.
 */
#include <sodium.h>
#include <string.h>

#include "node/peer-api.h"

#define CALL_TIMEOUT_MS  500
#define READER_RANK_SEED 0x72656164ULL

/* State of the module; control thread only. */
struct learner {
	struct control_env *env;
	struct learn *learn;
	bool store_ok;
	struct fleet *fleet;       /* source of the fields below */
	GPtrArray *peer_addresses; /* NULL: not known yet */
	size_t reader_rank;        /* of this node, by rendezvous hashing */
	int64_t next_list_ms;
	bool list_pending;
};

/* A call to a peer in progress. */
struct peer_call {
	struct learner *learner;
	learn_peer_fn *done;
	void *arg;
};

static void on_store_state(void *ctx, bool ok)
{
	struct learner *l = ctx;

	if (ok == l->store_ok)
		return;
	l->store_ok = ok;
	log_event(ok ? EV_STORE_REACHABLE : EV_STORE_UNREACHABLE,
		  "revision=%" G_GINT64_FORMAT, learn_revision(l->learn));
}

static void on_unreadable(void *ctx, const char *error)
{
	(void)ctx;
	log_event(EV_CONFIG_UNREADABLE, "error=\"%s\"", error);
}

static void on_publish(void *ctx, struct config *c, struct learn *learn)
{
	struct learner *l = ctx;

	peer_api_publish(learn, c->revision);
	node_set_config(l->env->node, c);
}

/*
 * Return the node addresses in node.peers, used until an instance list arrives.
 */
static GPtrArray *configured_peers(const struct settings *s)
{
	GPtrArray *a = g_ptr_array_new_with_free_func(g_free);
	char **names = g_strsplit(s->node_peers, ",", -1);

	for (char **n = names; *n; n++) {
		if (*g_strstrip(*n))
			g_ptr_array_add(a, g_strdup(*n));
	}
	g_strfreev(names);
	return a;
}

static bool is_self(const struct node *n, const struct peer *p)
{
	return !strcmp(p->name, n->set.node_name);
}

static GPtrArray *listed_peer_addresses(const struct node *n,
					const struct fleet *f)
{
	GPtrArray *a = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < f->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(f->peers, i);

		if (!p->leaving && !is_self(n, p))
			g_ptr_array_add(a, g_strdup(p->address));
	}
	return a;
}

/*
 * Return this node's rank among all nodes. Every node with the same list
 * derives the same ranks, so they agree on who reads the table and writes
 * snapshots.
 */
static size_t rank_self(const struct node *n, const struct fleet *f)
{
	guint count = f->peers->len;
	struct rendezvous_candidate *r =
		g_new0(struct rendezvous_candidate, count + 1);
	uint64_t self = str_hash(str_c(n->set.node_name), 0);
	size_t rank = 0;

	for (guint i = 0; i < count; i++) {
		const struct peer *p = g_ptr_array_index(f->peers, i);

		r[i].id = str_hash(str_c(p->name), 0);
	}
	rendezvous_sort(READER_RANK_SEED, r, count);
	while (rank < count && r[rank].id != self)
		rank++;
	g_free(r);
	return rank;
}

static void set_peers(struct learner *l, GPtrArray *a)
{
	if (l->peer_addresses)
		g_ptr_array_unref(l->peer_addresses);
	l->peer_addresses = a;
}

static void refresh_peers(struct learner *l)
{
	struct node *n = l->env->node;
	struct fleet *f = node_fleet(n);

	if (f == l->fleet) {
		fleet_unref(f);
		return;
	}
	fleet_unref(l->fleet);
	l->fleet = f;
	set_peers(l, listed_peer_addresses(n, f));
	l->reader_rank = rank_self(n, f);
}

static int peer_count(void *ctx)
{
	struct learner *l = ctx;

	return l->peer_addresses ? (int)l->peer_addresses->len : -1;
}

static bool is_table_reader(void *ctx)
{
	return ((struct learner *)ctx)->reader_rank < LEARN_TABLE_READERS;
}

static bool is_snapshot_writer(void *ctx)
{
	return ((struct learner *)ctx)->reader_rank == 0;
}

static uint32_t next_random(void *ctx)
{
	(void)ctx;
	return randombytes_random();
}

static void on_peer_answer(const struct fetch_result *r, void *arg)
{
	struct peer_call *a = arg;
	json_t *j = r->status == 200
			    ? json_loadb(r->body.data, r->body.len, 0, NULL)
			    : NULL;

	a->done(j, a->arg);
	json_decref(j);
	g_free(a);
}

static void call_peer(struct learner *l, unsigned i, const char *path,
		      int64_t after, learn_peer_fn *done, void *arg)
{
	struct peer_call *a = g_new(struct peer_call, 1);
	char after_text[24];
	char *url;

	*a = (struct peer_call){l, done, arg};
	g_snprintf(after_text, sizeof(after_text), "%" G_GINT64_FORMAT, after);
	url = peer_api_signed_url(g_ptr_array_index(l->peer_addresses,
						    i % l->peer_addresses->len),
				  path, after_text);
	fetch(l->env->fetcher, "GET", url, str_c(NULL), CALL_TIMEOUT_MS,
	      on_peer_answer, a);
	g_free(url);
}

static void fetch_changes(void *ctx, unsigned i, int64_t after,
			  learn_peer_fn *done, void *arg)
{
	call_peer(ctx, i, "/internal/changes", after, done, arg);
}

static void fetch_snapshot(void *ctx, unsigned i, learn_peer_fn *done,
			   void *arg)
{
	call_peer(ctx, i, "/internal/config", 0, done, arg);
}

static void on_list(const json_t *answer, void *arg)
{
	struct learner *l = arg;
	const json_t *list = json_object_get(answer, "instances");
	struct fleet *f = node_fleet(l->env->node);

	l->list_pending = false;
	if (!f && json_is_array(list))
		node_set_listed_fleet(l->env->node, fleet_from_instances(list));
	fleet_unref(f);
}

/* Fetch the instance list from a configured peer while this node has none. */
static void ask_list(struct learner *l, int64_t now_ms)
{
	if (l->fleet || l->list_pending || !l->peer_addresses ||
	    !l->peer_addresses->len || now_ms < l->next_list_ms)
		return;
	l->next_list_ms = now_ms + l->env->node->set.platform_poll_ms;
	l->list_pending = true;
	call_peer(l, randombytes_random(), "/internal/instances", 0, on_list,
		  l);
}

static void *start(struct control_env *env)
{
	struct learner *l = g_new0(struct learner, 1);
	struct learn_ops ops = {
		.ctx = l,
		.plat = &env->plat,
		.poll_ms = env->node->set.platform_poll_ms,
		.peers = peer_count,
		.fetch_changes = fetch_changes,
		.fetch_snapshot = fetch_snapshot,
		.is_table_reader = is_table_reader,
		.is_snapshot_writer = is_snapshot_writer,
		.random = next_random,
		.publish = on_publish,
		.unreadable = on_unreadable,
		.store = on_store_state,
	};
	GPtrArray *named = configured_peers(&env->node->set);

	l->env = env;
	l->store_ok = true;
	if (named->len)
		l->peer_addresses = named;
	else
		g_ptr_array_unref(named);
	l->learn = learn_new(&ops);
	return l;
}

static void tick(void *ctx, int64_t now_ms)
{
	struct learner *l = ctx;

	refresh_peers(l);
	ask_list(l, now_ms);
	learn_note_peer_revision(l->learn,
				 atomic_load(&l->env->node->reported_revision));
	learn_tick(l->learn, now_ms);
}

static void stop(void *ctx)
{
	struct learner *l = ctx;

	learn_free(l->learn);
	fleet_unref(l->fleet);
	set_peers(l, NULL);
	g_free(l);
}

const struct control_module config_module = {
	.start = start,
	.tick = tick,
	.stop = stop,
};
