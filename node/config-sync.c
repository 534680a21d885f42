/*
 * Control module: follows the configuration through the table, snapshots and
 * peers, and puts new revisions in force.
 */
#include <sodium.h>
#include <string.h>

#include "node/peer-api.h"

#define CALL_TIMEOUT_MS 500
/* Polls of the instance list after which a peer is asked for a newer one. */
#define LIST_OLD_POLLS   2
#define READER_RANK_SEED 0x72656164ULL

/* State of the module; control thread only. */
struct config_sync {
	struct control_env *env;
	struct learner *learner;
	bool store_ok;
	struct fleet *fleet;       /* source of the fields below */
	GPtrArray *peer_addresses; /* NULL: not known yet */
	size_t reader_rank;        /* of this node, by rendezvous hashing */
	int64_t next_list_ms;
	int64_t list_sent_ms; /* of the call for a list to a peer */
	bool list_pending;
};

/* A call to a peer in progress. */
struct peer_call {
	struct config_sync *sync;
	learn_peer_fn *done;
	void *arg;
};

static void on_table_read(void *ctx, bool ok)
{
	struct config_sync *cs = ctx;

	if (ok == cs->store_ok)
		return;
	cs->store_ok = ok;
	log_event(ok ? EV_STORE_REACHABLE : EV_STORE_UNREACHABLE,
		  "revision=%" G_GINT64_FORMAT, learn_revision(cs->learner));
}

static void on_invalid_row(void *ctx, const char *error)
{
	(void)ctx;
	log_event(EV_CONFIG_UNREADABLE, "error=\"%s\"", error);
}

static void on_publish(void *ctx, struct config *c, struct learner *learner)
{
	struct config_sync *cs = ctx;

	peer_api_publish(learner, c->revision);
	node_set_config(cs->env->node, c);
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

static void set_peers(struct config_sync *cs, GPtrArray *a)
{
	if (cs->peer_addresses)
		g_ptr_array_unref(cs->peer_addresses);
	cs->peer_addresses = a;
}

static void refresh_peers(struct config_sync *cs)
{
	struct node *n = cs->env->node;
	struct fleet *f = node_fleet(n);

	if (f == cs->fleet) {
		fleet_unref(f);
		return;
	}
	fleet_unref(cs->fleet);
	cs->fleet = f;
	set_peers(cs, listed_peer_addresses(n, f));
	cs->reader_rank = rank_self(n, f);
}

static int peer_count(void *ctx)
{
	struct config_sync *cs = ctx;

	return cs->peer_addresses ? (int)cs->peer_addresses->len : -1;
}

static bool is_table_reader(void *ctx)
{
	return ((struct config_sync *)ctx)->reader_rank < LEARN_TABLE_READERS;
}

static bool is_snapshot_writer(void *ctx)
{
	return ((struct config_sync *)ctx)->reader_rank == 0;
}

static uint32_t next_random(void *ctx)
{
	(void)ctx;
	return randombytes_random();
}

static void on_peer_answer(const struct fetch_result *r, void *arg)
{
	struct peer_call *a = arg;
	size_t dropped;
	json_t *j = r->status == 200 ? json_load_readable(r->body.data,
							  r->body.len, &dropped)
				     : NULL;

	a->done(j, a->arg);
	json_decref(j);
	g_free(a);
}

static void call_peer(struct config_sync *cs, unsigned i, const char *path,
		      int64_t after, learn_peer_fn *done, void *arg)
{
	struct peer_call *a = g_new(struct peer_call, 1);
	char after_text[24];
	char *url;

	*a = (struct peer_call){cs, done, arg};
	g_snprintf(after_text, sizeof(after_text), "%" G_GINT64_FORMAT, after);
	url = peer_api_signed_url(
		g_ptr_array_index(cs->peer_addresses,
				  i % cs->peer_addresses->len),
		path, after_text);
	fetch(cs->env->fetcher, "GET", url, str_c(NULL), CALL_TIMEOUT_MS,
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

/*
 * Return when the platform was asked for the list in a peer's answer; INT64_MIN
 * if it doesn't say, so that such a list is used only while there is none.
 */
static int64_t list_asked_ms(const struct config_sync *cs, const json_t *answer)
{
	const json_t *age = json_object_get(answer, "age_ms");
	int64_t ms = json_integer_value(age);

	return json_is_integer(age) && ms >= 0 && ms <= cs->list_sent_ms
		       ? cs->list_sent_ms - ms
		       : INT64_MIN;
}

static void on_list(const json_t *answer, void *arg)
{
	struct config_sync *cs = arg;
	const json_t *list = json_object_get(answer, "instances");

	cs->list_pending = false;
	if (json_is_array(list))
		node_set_listed_fleet(cs->env->node, fleet_from_instances(list),
				      list_asked_ms(cs, answer));
}

/*
 * Fetch the instance list from a peer while this node has none, or an old one:
 * the peer may still reach the platform, or have read the list later.
 */
static void fetch_list(struct config_sync *cs, int64_t now_ms)
{
	const struct fleet *listed = cs->env->node->listed_fleet;
	int64_t poll_ms = cs->env->node->set.platform_poll_ms;
	int64_t age_ms = listed ? now_ms - listed->asked_ms : 0;

	if ((listed && age_ms < poll_ms * LIST_OLD_POLLS) || cs->list_pending ||
	    !cs->peer_addresses || !cs->peer_addresses->len ||
	    now_ms < cs->next_list_ms)
		return;
	cs->next_list_ms = now_ms + poll_ms;
	cs->list_sent_ms = now_ms;
	cs->list_pending = true;
	call_peer(cs, randombytes_random(), "/internal/instances", age_ms,
		  on_list, cs);
}

static void *start(struct control_env *env)
{
	struct config_sync *cs = g_new0(struct config_sync, 1);
	struct learn_ops ops = {
		.ctx = cs,
		.plat = &env->plat,
		.poll_ms = env->node->set.platform_poll_ms,
		.peers = peer_count,
		.fetch_changes = fetch_changes,
		.fetch_snapshot = fetch_snapshot,
		.is_table_reader = is_table_reader,
		.is_snapshot_writer = is_snapshot_writer,
		.random = next_random,
		.publish = on_publish,
		.report_invalid_row = on_invalid_row,
		.report_table_read = on_table_read,
	};
	GPtrArray *named = configured_peers(&env->node->set);

	cs->env = env;
	cs->store_ok = true;
	if (named->len)
		cs->peer_addresses = named;
	else
		g_ptr_array_unref(named);
	cs->learner = learn_new(&ops);
	return cs;
}

static void tick(void *ctx, int64_t now_ms)
{
	struct config_sync *cs = ctx;

	refresh_peers(cs);
	fetch_list(cs, now_ms);
	learn_note_peer_revision(
		cs->learner, atomic_load(&cs->env->node->reported_revision));
	learn_tick(cs->learner, now_ms);
}

static void stop(void *ctx)
{
	struct config_sync *cs = ctx;

	learn_free(cs->learner);
	fleet_unref(cs->fleet);
	set_peers(cs, NULL);
	g_free(cs);
}

const struct control_module config_module = {
	.start = start,
	.tick = tick,
	.stop = stop,
};
