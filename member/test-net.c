/* The simulated fleet and network of test-net.h. */
#include <string.h>

#include "member/test-net.h"

#define WHEEL_STEPS           64
#define STEPS_PER_S           (1000 / NET_STEP_MS)
#define SAME_REGION_DELAY_MS  1
#define CROSS_REGION_DELAY_MS 20
#define BUDGET_BYTES_S        4096
#define INBOX_MAX             150
#define BUFFER_BYTES          2048
#define ZONES                 4

struct datagram {
	size_t from, to;
	GBytes *bytes;
};

static const uint8_t key[MEMBER_KEY_BYTES] = "a key of the test network";

static void free_datagram(void *p)
{
	struct datagram *d = p;

	g_bytes_unref(d->bytes);
	g_free(d);
}

static size_t region(const struct net *t, size_t i)
{
	return i % t->o.regions;
}

static bool is_cut(const struct net *t, size_t a, size_t b)
{
	if (t->partitioned && region(t, a) != region(t, b))
		return true;
	return t->link_cut && ((a == t->cut_a && b == t->cut_b) ||
			       (a == t->cut_b && b == t->cut_a));
}

static void on_send(void *ctx, const char *control,
		    const struct member_message *m)
{
	struct net_node *from = ctx;
	struct net *t = from->net;
	size_t to = (size_t)g_ascii_strtoull(control, NULL, 10);
	uint8_t buf[BUFFER_BYTES];
	size_t n = member_encode(m, key, buf, sizeof(buf));
	struct datagram *d;
	int64_t delay;

	g_assert_cmpuint(n, >, 0);
	n += MEMBER_IP_UDP_HEADER_BYTES;
	g_assert_cmpuint(n, ==, member_message_bytes(m));
	g_assert_cmpuint(n, <=, MEMBER_PACKET_MAX_BYTES);
	from->step_bytes[t->now_ms / NET_STEP_MS % STEPS_PER_S] += (int64_t)n;
	from->second_bytes += (int64_t)n;
	from->max_second_bytes =
		MAX(from->max_second_bytes, from->second_bytes);
	t->messages++;
	if (is_cut(t, from->index, to) ||
	    g_rand_int_range(t->rand, 0, 100) < (int)t->o.loss_percent)
		return;
	d = g_new0(struct datagram, 1);
	d->from = from->index;
	d->to = to;
	d->bytes = g_bytes_new(buf, n - MEMBER_IP_UDP_HEADER_BYTES);
	delay = region(t, from->index) == region(t, to) ? SAME_REGION_DELAY_MS
							: CROSS_REGION_DELAY_MS;
	delay += g_rand_int_range(t->rand, 0, NET_STEP_MS);
	g_ptr_array_add(
		t->wheel[((t->now_ms + delay) / NET_STEP_MS + 1) % WHEEL_STEPS],
		d);
}

static uint64_t on_random(void *ctx)
{
	struct net_node *nd = ctx;

	return (uint64_t)g_rand_int(nd->net->rand) << 32 |
	       g_rand_int(nd->net->rand);
}

static void seed(struct net *t, struct net_node *nd)
{
	struct member_info *infos = g_new0(struct member_info, t->o.n);

	for (size_t i = 0; i < t->o.n; i++)
		infos[i] = t->nodes[i].info;
	if (t->o.seed_only)
		member_join(nd->member, infos[0].control);
	else
		member_merge_instances(nd->member, t->now_ms, infos, t->o.n);
	g_free(infos);
}

void net_start(struct net *t, size_t i)
{
	struct net_node *nd = &t->nodes[i];
	struct member_options o = {
		.self = nd->info,
		.incarnation = ++nd->starts,
		.budget_bytes_s = BUDGET_BYTES_S,
		.callbacks = {nd, on_send, on_random},
	};

	nd->member = member_new(&o, t->now_ms);
	nd->view_version = 0;
	member_tick(nd->member, t->now_ms + 1);
	seed(t, nd);
}

void net_kill(struct net *t, size_t i)
{
	member_free(t->nodes[i].member);
	t->nodes[i].member = NULL;
}

void net_cut_link(struct net *t, size_t a, size_t b)
{
	t->cut_a = a;
	t->cut_b = b;
	t->link_cut = true;
}

static void make_info(struct net_node *nd, size_t i, size_t regions)
{
	nd->info = (struct member_info){
		.name = g_strdup_printf("node-%03zu-abcdef", i),
		.address =
			g_strdup_printf("10.0.%zu.%zu:8080", i / 256, i % 256),
		.control = g_strdup_printf("%zu", i),
		.zone = g_strdup_printf("zone-%zu-%zu", i % regions,
					i / regions % ZONES),
		.region = g_strdup_printf("region-%zu", i % regions),
	};
}

struct net *net_new(const struct net_options *o)
{
	struct net *t = g_new0(struct net, 1);

	t->o = *o;
	t->rand = g_rand_new_with_seed((guint32)o->seed);
	t->nodes = g_new0(struct net_node, o->n);
	t->wheel = g_new0(GPtrArray *, WHEEL_STEPS);
	t->evicted = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	for (size_t i = 0; i < WHEEL_STEPS; i++)
		t->wheel[i] = g_ptr_array_new_with_free_func(free_datagram);
	for (size_t i = 0; i < o->n; i++) {
		struct net_node *nd = &t->nodes[i];

		nd->net = t;
		nd->index = i;
		nd->inbox = g_ptr_array_new_with_free_func(
			(GDestroyNotify)g_bytes_unref);
		nd->step_bytes = g_new0(int64_t, STEPS_PER_S);
		make_info(nd, i, o->regions);
	}
	for (size_t i = 0; i < o->n; i++)
		net_start(t, i);
	return t;
}

void net_free(struct net *t)
{
	for (size_t i = 0; i < t->o.n; i++) {
		struct net_node *nd = &t->nodes[i];

		if (nd->member)
			member_free(nd->member);
		g_ptr_array_unref(nd->inbox);
		g_free(nd->step_bytes);
		g_free(nd->info.name);
		g_free(nd->info.address);
		g_free(nd->info.control);
		g_free(nd->info.zone);
		g_free(nd->info.region);
	}
	for (size_t i = 0; i < WHEEL_STEPS; i++)
		g_ptr_array_unref(t->wheel[i]);
	g_hash_table_unref(t->evicted);
	g_free(t->wheel);
	g_free(t->nodes);
	g_rand_free(t->rand);
	g_free(t);
}

static void receive(struct net *t, struct net_node *nd, GBytes *bytes)
{
	struct member_message msg;
	gsize n;
	const uint8_t *buf = g_bytes_get_data(bytes, &n);

	if (member_decode(buf, n, key, &msg) != MEMBER_DECODED) {
		t->rejected++;
		return;
	}
	member_receive(nd->member, t->now_ms, &msg);
	member_message_clear(&msg);
}

static void deliver(struct net *t, const struct datagram *d)
{
	struct net_node *nd = &t->nodes[d->to];

	if (!nd->member || is_cut(t, d->from, d->to))
		return;
	if (!nd->frozen)
		receive(t, nd, d->bytes);
	else if (nd->inbox->len < INBOX_MAX)
		g_ptr_array_add(nd->inbox, g_bytes_ref(d->bytes));
}

static void step_node(struct net *t, struct net_node *nd)
{
	int64_t *slot = &nd->step_bytes[t->now_ms / NET_STEP_MS % STEPS_PER_S];

	nd->second_bytes -= *slot;
	*slot = 0;
	if (!nd->member || nd->frozen)
		return;
	for (guint i = 0; i < nd->inbox->len; i++)
		receive(t, nd, g_ptr_array_index(nd->inbox, i));
	g_ptr_array_set_size(nd->inbox, 0);
	if (t->o.loads) {
		member_set_load(nd->member, "@entry", (double)nd->index, 1);
		member_set_load(nd->member, "forum", 1, nd->index % 2);
	}
	member_tick(nd->member, t->now_ms);
}

/* Return whether both are healthy and can reach each other. */
static bool is_false_eviction(const struct net *t, size_t observer,
			      size_t subject)
{
	const struct net_node *b = &t->nodes[subject];

	return b->member && !b->frozen && !b->evictions_expected &&
	       !t->nodes[observer].evictions_expected &&
	       !is_cut(t, observer, subject);
}

/* After a change of its view, count the members that a node newly sees dead. */
static void count_evictions(struct net *t, struct net_node *nd)
{
	if (!nd->member || member_view_version(nd->member) == nd->view_version)
		return;
	nd->view_version = member_view_version(nd->member);
	for (size_t i = 0; i < t->o.n; i++) {
		uint64_t pair = (uint64_t)nd->index << 32 | i;
		const struct member_peer *p = net_view_of(t, nd->index, i);

		if (!p || p->state != MEMBER_DEAD) {
			g_hash_table_remove(t->evicted, &pair);
			continue;
		}
		if (g_hash_table_add(t->evicted,
				     g_memdup2(&pair, sizeof(pair))) &&
		    is_false_eviction(t, nd->index, i))
			t->false_evictions++;
	}
}

static void step(struct net *t)
{
	GPtrArray *due;

	t->now_ms += NET_STEP_MS;
	due = t->wheel[t->now_ms / NET_STEP_MS % WHEEL_STEPS];
	for (size_t i = 0; i < t->o.n; i++)
		step_node(t, &t->nodes[i]);
	for (guint i = 0; i < due->len; i++)
		deliver(t, g_ptr_array_index(due, i));
	g_ptr_array_set_size(due, 0);
	for (size_t i = 0; i < t->o.n; i++)
		count_evictions(t, &t->nodes[i]);
}

void net_run(struct net *t, int64_t ms)
{
	for (int64_t end = t->now_ms + ms; t->now_ms < end;)
		step(t);
}

int64_t net_run_until(struct net *t, bool (*condition)(struct net *, void *),
		      void *arg, int64_t timeout_ms)
{
	int64_t from = t->now_ms;

	while (!condition(t, arg)) {
		if (t->now_ms - from >= timeout_ms)
			return -1;
		step(t);
	}
	return t->now_ms - from;
}

const struct member_peer *net_view_of(const struct net *t, size_t observer,
				      size_t subject)
{
	return member_find(t->nodes[observer].member,
			   member_id(t->nodes[subject].info.name));
}

bool net_all_see_dead(const struct net *t, size_t subject)
{
	for (size_t i = 0; i < t->o.n; i++) {
		const struct member_peer *p;

		if (!t->nodes[i].member || i == subject)
			continue;
		p = net_view_of(t, i, subject);
		if (p && p->state != MEMBER_DEAD && p->state != MEMBER_LEFT)
			return false;
	}
	return true;
}

bool net_all_see_live(const struct net *t)
{
	for (size_t i = 0; i < t->o.n; i++) {
		for (size_t j = 0; t->nodes[i].member && j < t->o.n; j++) {
			const struct member_peer *p = net_view_of(t, i, j);

			if (t->nodes[j].member &&
			    (!p || p->state != MEMBER_LIVE))
				return false;
		}
	}
	return true;
}
