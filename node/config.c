/* Control module: learns the configuration from table, snapshots and peers. */
#include <sodium.h>
#include <string.h>

#include "node/spread.h"

#define ASK_MS      500 /* timeout of a call to another node */
#define READER_SEED 0x72656164ULL

struct learner {
	struct control_env *env;
	struct learn *learn;
	bool store_ok;
	struct fleet *fleet; /* of which the peers below are */
	GPtrArray *peers;    /* addresses; NULL while none can be known */
	size_t rank;         /* of this node among all, by rendezvous */
	int64_t next_list_ms;
	bool asking_list;
};

struct peer_ask {
	struct learner *learner;
	learn_peer_fn *done;
	void *arg;
};

static void store(void *ctx, bool ok)
{
	struct learner *l = ctx;

	if (ok == l->store_ok)
		return;
	l->store_ok = ok;
	log_event(ok ? EV_STORE_REACHABLE : EV_STORE_UNREACHABLE,
		  "revision=%" G_GINT64_FORMAT, learn_revision(l->learn));
}

static void unreadable(void *ctx, const char *error)
{
	(void)ctx;
	log_event(EV_CONFIG_UNREADABLE, "error=\"%s\"", error);
}

static void publish(void *ctx, struct config *c, struct learn *learn)
{
	struct learner *l = ctx;

	spread_publish(learn, c->revision);
	node_set_config(l->env->node, c);
}

/* Addresses of nodes that the settings name, for a start without a list. */
static GPtrArray *named_peers(const struct settings *s)
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

static GPtrArray *listed_peers(const struct node *n, const struct fleet *f)
{
	GPtrArray *a = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < f->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(f->peers, i);

		if (!p->leaving && !is_self(n, p))
			g_ptr_array_add(a, g_strdup(p->address));
	}
	return a;
}

/* Place of this node among all, the same on every node with this list. */
static size_t rank_of(const struct node *n, const struct fleet *f)
{
	guint count = f->peers->len;
	struct route_rank *r = g_new0(struct route_rank, count + 1);
	uint64_t self = str_hash(str_c(n->set.node_name), 0);
	size_t rank = 0;

	for (guint i = 0; i < count; i++) {
		const struct peer *p = g_ptr_array_index(f->peers, i);

		r[i].id = str_hash(str_c(p->name), 0);
	}
	route_order(READER_SEED, r, count);
	while (rank < count && r[rank].id != self)
		rank++;
	g_free(r);
	return rank;
}

static void set_peers(struct learner *l, GPtrArray *a)
{
	if (l->peers)
		g_ptr_array_unref(l->peers);
	l->peers = a;
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
	set_peers(l, listed_peers(n, f));
	l->rank = rank_of(n, f);
}

static int peers(void *ctx)
{
	struct learner *l = ctx;

	return l->peers ? (int)l->peers->len : -1;
}

static bool is_reader(void *ctx)
{
	return ((struct learner *)ctx)->rank < LEARN_READERS;
}

static bool is_writer(void *ctx)
{
	return ((struct learner *)ctx)->rank == 0;
}

static uint32_t random_of(void *ctx)
{
	(void)ctx;
	return randombytes_random();
}

static void on_asked(const struct fetch_result *r, void *arg)
{
	struct peer_ask *a = arg;
	json_t *j = r->status == 200
			    ? json_loadb(r->body.data, r->body.len, 0, NULL)
			    : NULL;

	a->done(j, a->arg);
	json_decref(j);
	g_free(a);
}

static void ask(struct learner *l, unsigned i, const char *path, int64_t after,
		learn_peer_fn *done, void *arg)
{
	struct peer_ask *a = g_new(struct peer_ask, 1);
	char number[24];
	char *url;

	*a = (struct peer_ask){l, done, arg};
	g_snprintf(number, sizeof(number), "%" G_GINT64_FORMAT, after);
	url = spread_url(g_ptr_array_index(l->peers, i % l->peers->len), path,
			 number);
	fetch(l->env->fetcher, "GET", url, str_c(NULL), ASK_MS, on_asked, a);
	g_free(url);
}

static void ask_changes(void *ctx, unsigned i, int64_t after,
			learn_peer_fn *done, void *arg)
{
	ask(ctx, i, "/internal/changes", after, done, arg);
}

static void ask_whole(void *ctx, unsigned i, learn_peer_fn *done, void *arg)
{
	ask(ctx, i, "/internal/config", 0, done, arg);
}

static void on_list(const json_t *answer, void *arg)
{
	struct learner *l = arg;
	const json_t *list = json_object_get(answer, "instances");
	struct fleet *f = node_fleet(l->env->node);

	l->asking_list = false;
	if (!f && json_is_array(list))
		node_set_listed(l->env->node, fleet_from_instances(list));
	fleet_unref(f);
}

/* Without a list of its own, a node that starts takes a named peer's. */
static void ask_list(struct learner *l, int64_t now_ms)
{
	if (l->fleet || l->asking_list || !l->peers || !l->peers->len ||
	    now_ms < l->next_list_ms)
		return;
	l->next_list_ms = now_ms + l->env->node->set.platform_poll_ms;
	l->asking_list = true;
	ask(l, randombytes_random(), "/internal/instances", 0, on_list, l);
}

static void *start(struct control_env *env)
{
	struct learner *l = g_new0(struct learner, 1);
	struct learn_ops ops = {
		.ctx = l,
		.plat = &env->plat,
		.poll_ms = env->node->set.platform_poll_ms,
		.peers = peers,
		.ask_changes = ask_changes,
		.ask_whole = ask_whole,
		.is_reader = is_reader,
		.is_writer = is_writer,
		.random = random_of,
		.publish = publish,
		.unreadable = unreadable,
		.store = store,
	};
	GPtrArray *named = named_peers(&env->node->set);

	l->env = env;
	l->store_ok = true;
	if (named->len)
		l->peers = named;
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
	learn_heard(l->learn, atomic_load(&l->env->node->heard_revision));
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
