/*
 * Finds out whether a target that has failed is down, or only this node's way
 * to it: a target to which neither this node nor others can connect is down.
 * One that others can connect to is reached through them until this node can
 * again.
 */
#include "entry/tunnel.h"

/* Interval of the looks at whether a connection is established. */
#define CHECK_INTERVAL_MS 10
/* Requests that are kept for the result of one check. */
#define SUSPECTS_MAX 64
/* Nodes that are asked at the same time. */
#define HELPERS 2
/* Time for which a node that did not help is not asked again. */
#define AVOID_HELPER_MS 2000

struct attempt {
	struct reach_check *check;
	struct link *link; /* NULL: none, or it has failed */
};

struct reach_check {
	struct traffic *tr;
	uint64_t target; /* id */
	int64_t broke_ms;
	bool probe; /* only whether this node's way is back */
	bool down;  /* a node that was asked can't connect either */
	bool cut;   /* a node that was asked has lost its way too */
	struct attempt direct, through[HELPERS];
	ev_timer timer;
	struct cause_keys suspects[SUSPECTS_MAX]; /* with their parts */
	size_t n;
};

static void close_attempt(struct attempt *a)
{
	if (a->link)
		link_close(a->link);
	a->link = NULL;
}

static void check_free(void *p)
{
	struct reach_check *c = p;

	ev_timer_stop(c->tr->loop, &c->timer);
	close_attempt(&c->direct);
	for (size_t i = 0; i < HELPERS; i++)
		close_attempt(&c->through[i]);
	for (size_t i = 0; i < c->n; i++)
		g_free((uint64_t *)c->suspects[i].parts);
	g_free(c);
}

/* End the check. */
static void finish(struct reach_check *c, enum target_way way)
{
	struct target *t = g_hash_table_lookup(c->tr->targets, &c->target);

	for (size_t i = 0; i < c->n && way == WAY_TARGET_DOWN; i++)
		crash_causes_crashed(c->tr->e->crash_causes, &c->suspects[i],
				     c->target, c->broke_ms);
	if (t)
		ways_record(t, way);
	g_hash_table_remove(c->tr->reach_checks, &c->target);
}

/* Choose a node other than this one that may help, or NULL. */
static const struct entry_peer *choose_helper(struct traffic *tr)
{
	uint64_t self = member_id(tr->settings->node_name);
	const struct peer_list *l = tr->peers;
	const struct entry_peer *chosen = NULL;
	int64_t now = time_boot_ms();
	int seen = 0;

	for (size_t i = 0; l && i < l->n; i++) {
		const struct entry_peer *p = &l->v[i];
		int64_t *until_ms =
			g_hash_table_lookup(tr->avoided_helpers, &p->id);

		if (p->id == self || (until_ms && *until_ms > now) ||
		    notices_get(tr->e->notices, NOTICE_NODE_CUT, p->id, now, 0))
			continue;
		/* Reservoir sampling: each has the same chance. */
		if (!g_rand_int_range(tr->rand, 0, ++seen))
			chosen = p;
	}
	return chosen;
}

void reach_avoid_helper(struct traffic *tr, uint64_t helper)
{
	int64_t until_ms = time_boot_ms() + AVOID_HELPER_MS;

	g_hash_table_insert(tr->avoided_helpers,
			    g_memdup2(&helper, sizeof(helper)),
			    g_memdup2(&until_ms, sizeof(until_ms)));
}

struct link *reach_through_peer(struct target *t, uint64_t *helper)
{
	const struct entry_peer *p = choose_helper(t->tr);
	uint8_t hello[TUNNEL_HELLO_BYTES];

	if (!p || !tunnel_hello(t->tr, t->info.id, p->id, hello))
		return NULL;
	*helper = p->id;
	return link_open_through(t->tr->loop, &p->report_address, hello,
				 sizeof(hello));
}

/* All nodes that were asked have answered or failed. */
static void finish_asked(struct reach_check *c)
{
	for (size_t i = 0; i < HELPERS; i++)
		if (c->through[i].link)
			return;
	finish(c, c->cut && !c->down ? WAY_UNKNOWN : WAY_TARGET_DOWN);
}

static void on_asked_failed(void *ctx)
{
	struct attempt *a = ctx;
	struct reach_check *c = a->check;
	enum tunnel_reply reply = (enum tunnel_reply)link_tunnel_reply(a->link);

	c->down |= reply == TUNNEL_TARGET_DOWN;
	c->cut |= reply == TUNNEL_CUT;
	close_attempt(a);
	finish_asked(c);
}

static void ask_others(struct reach_check *c)
{
	struct target *t = g_hash_table_lookup(c->tr->targets, &c->target);
	uint64_t helper;

	for (size_t i = 0; t && i < HELPERS; i++) {
		c->through[i].check = c;
		c->through[i].link = reach_through_peer(t, &helper);
		if (c->through[i].link)
			link_set_idle(c->through[i].link, on_asked_failed,
				      &c->through[i]);
	}
	finish_asked(c);
}

static void on_direct_failed(void *ctx)
{
	struct attempt *a = ctx;
	struct reach_check *c = a->check;

	close_attempt(a);
	if (c->probe)
		finish(c, WAY_UNKNOWN);
	else
		ask_others(c);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct reach_check *c = w->data;

	(void)events;
	if (c->direct.link && link_connected(c->direct.link)) {
		finish(c, WAY_OPEN);
		return;
	}
	for (size_t i = 0; i < HELPERS; i++) {
		if (!c->through[i].link || !link_connected(c->through[i].link))
			continue;
		finish(c, WAY_CUT);
		return;
	}
	timer_start_once(loop, w, CHECK_INTERVAL_MS);
}

static struct reach_check *check_new(struct target *t, bool probe)
{
	struct link *l = link_open(t->tr->loop, &t->info.address);
	struct reach_check *c;

	if (!l)
		return NULL;
	c = g_new0(struct reach_check, 1);
	c->tr = t->tr;
	c->target = t->info.id;
	c->broke_ms = time_boot_ms();
	c->probe = probe;
	c->direct.check = c;
	c->direct.link = l;
	link_set_idle(l, on_direct_failed, &c->direct);
	ev_init(&c->timer, on_timer);
	c->timer.data = c;
	timer_start_once(t->tr->loop, &c->timer, CHECK_INTERVAL_MS);
	g_hash_table_insert(t->tr->reach_checks, &c->target, c);
	return c;
}

void reach_check_start(struct target *t, const struct cause_keys *suspect)
{
	struct reach_check *c =
		g_hash_table_lookup(t->tr->reach_checks, &t->info.id);
	struct cause_keys *k;

	if (!c)
		c = check_new(t, false);
	if (!c)
		return;
	c->probe = false;
	if (!suspect || c->n == SUSPECTS_MAX)
		return;
	k = &c->suspects[c->n++];
	*k = *suspect;
	k->parts = g_memdup2(k->parts, k->n * sizeof(*k->parts));
}

void reach_probe_start(struct target *t)
{
	if (!g_hash_table_contains(t->tr->reach_checks, &t->info.id))
		check_new(t, true);
}

void reach_checks_init(struct traffic *tr)
{
	tr->reach_checks = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, check_free);
	tr->avoided_helpers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    g_free, g_free);
}

void reach_checks_free(struct traffic *tr)
{
	g_hash_table_unref(tr->reach_checks);
	g_hash_table_unref(tr->avoided_helpers);
}
