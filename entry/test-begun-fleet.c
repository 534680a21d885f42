/*
 * Streams that are taken up, or go on at another target, while targets name
 * limits and nodes are killed or targets crash: fleets of random size, limits
 * and load in virtual time. The nodes are those of pool.c and begun-queue.c;
 * targets, callers and what nodes learn of each other are played here.
 */
#include <string.h>

#include "entry/begun-queue.h"
#include "entry/test-pool-node.h"
#include "entry/test-virtual.h"

#define PLAY_MS     30000
#define STEP_MS     10
#define STEPS       (PLAY_MS / STEP_MS)
#define STREAM_MS   4000
#define DEADLINE_MS 15000
/* LIMIT: requests at a target in a window, beyond 1.5 times its limit. */
#define WINDOW_MS  4000
#define SLACK      5
#define CONTACT_MS 1500
/* From a kill to the time at which a node suspects the killed one. */
#define SUSPECT_MIN_MS 800
#define SUSPECT_MAX_MS 2400
/* A crashed target is listed for so long; it refuses connections. */
#define LISTED_MS    3000
#define ATTEMPTS_MAX 4
#define TARGETS_MAX  24
#define NODES_MAX    70
/* Shares are compared where so many streams were taken up. */
#define TAKEN_UP_MIN 12

/* What is drawn for each play, from the first value to the second. */
struct site {
	const char *name;
	int nodes[2], targets[2];
	double per_s[2];     /* limit of each target */
	double load[2];      /* new streams, as a share of all limits */
	double kills[2];     /* share of the nodes that are killed at once */
	double crashes[2];   /* the same of targets */
	bool false_suspects; /* nodes are suspected that live */
	int plays;
};

struct node {
	struct entry e;
	bool dead;
	int64_t learns_ms; /* when it learns who lives; 0: it knows */
};

struct stream {
	struct begun_wait wait;
	struct play *play;
	struct node *node;
	int target, attempts;
	bool begun, taken_up, runs;
	int64_t left_ms, ends_ms;
};

struct play {
	const struct site *site;
	GRand *rand;
	int node_count, target_count;
	double per_s, load;
	struct node *nodes;
	struct entry_service service;
	struct peer_list *peers;
	uint64_t suspected; /* id of a node that lives; 0: none */
	bool down[TARGETS_MAX];
	int64_t unlisted_ms; /* when crashed targets leave the list */
	GPtrArray *streams;
	int sent[TARGETS_MAX][STEPS];
	int asked, began, taken_up, went_on;
};

static int64_t now_ms(void)
{
	return virtual_ms - VIRTUAL_START_MS;
}

static uint64_t target_id(int i)
{
	return 1 + (uint64_t)i;
}

static void take_list(struct play *p, struct node *v)
{
	struct target_list *l = target_list_new((size_t)p->target_count);

	atomic_store(&l->until_ms, INT64_MAX);
	for (int i = 0; i < p->target_count; i++)
		if (!p->down[i] || now_ms() < p->unlisted_ms)
			l->v[l->n++] = (struct target_info){
				.id = target_id(i),
				.name = STR_LIT("t"),
				.service = p->service.name,
				.slots = 1000,
			};
	pool_node_take_list(&v->e, l);
}

/* The target names its limit in a response to the node, which tells all. */
static void name_limit(struct play *p, int target)
{
	struct target_limit l = {target_id(target), (int64_t)(p->per_s * 1000),
				 virtual_ms};

	for (int i = 0; i < p->node_count; i++)
		target_limits_receive(p->nodes[i].e.target_limits, &l);
}

/* Look for a target until one takes the stream; false: there is none. */
static bool send_stream(struct stream *s)
{
	struct play *p = s->play;
	struct traffic *tr = &s->node->e.tr;
	struct prompt prompt = {0};
	struct target *source, *t;

	while (s->attempts < ATTEMPTS_MAX) {
		t = pool_choose_target(tr, &p->service, &prompt, VERSION_ANY,
				       NULL, 0, rank_of(s->begun, 1), &source);
		if (!t)
			return false;
		s->attempts++;
		s->target = (int)(t->info.id - 1);
		if (p->down[s->target]) {
			pool_record_fault(t);
			continue;
		}
		p->sent[s->target][now_ms() / STEP_MS]++;
		pool_record_response(t, true);
		pool_add_running(t, 1);
		s->runs = true;
		s->ends_ms = now_ms() + s->left_ms;
		if (s->taken_up)
			p->went_on++;
		else
			p->began += !s->begun;
		s->begun = true;
		s->taken_up = false;
		return true;
	}
	return false;
}

static void on_refuse(struct begun_wait *w)
{
	(void)w;
}

static void on_attempt(struct begun_wait *w)
{
	struct stream *s = w->owner;

	if (!send_stream(s) && s->attempts < ATTEMPTS_MAX)
		begun_queue_add(s->node->e.tr.begun, w, virtual_ms);
}

static const struct begun_ops ops = {on_attempt, on_refuse};

/* Ask the node for the stream, or for the rest of it. */
static void ask(struct stream *s, struct node *v)
{
	s->node = v;
	s->attempts = 0;
	begun_queue_serve(v->e.tr.begun);
	if (!send_stream(s) && s->begun)
		begun_queue_add(v->e.tr.begun, &s->wait, virtual_ms);
}

static struct node *random_node(struct play *p)
{
	struct node *v;

	do
		v = &p->nodes[g_rand_int_range(p->rand, 0, p->node_count)];
	while (v->dead);
	return v;
}

static void new_stream(struct play *p)
{
	struct stream *s = g_new0(struct stream, 1);

	s->play = p;
	s->left_ms = STREAM_MS;
	s->wait = (struct begun_wait){
		.service = &p->service,
		.deadline_ms = virtual_ms + DEADLINE_MS,
		.owner = s,
	};
	g_ptr_array_add(p->streams, s);
	p->asked++;
	ask(s, random_node(p));
}

/* The stream breaks; what is left of it is asked for again. */
static void break_off(struct stream *s, bool at_node)
{
	struct traffic *tr = &s->node->e.tr;
	uint64_t id = target_id(s->target);
	struct target *t = g_hash_table_lookup(tr->targets, &id);

	s->runs = false;
	s->taken_up = true;
	s->left_ms = s->ends_ms - now_ms();
	s->wait.since_ms = 0;
	s->play->taken_up++;
	if (t)
		pool_add_running(t, -1);
	if (t && !at_node)
		pool_record_fault(t);
	ask(s, at_node ? random_node(s->play) : s->node);
}

static bool is_lost(const struct stream *s, const struct node *dead, int target)
{
	return s->runs && (dead ? s->node == dead : s->target == target);
}

static void break_streams(struct play *p, const struct node *dead, int target)
{
	for (guint i = 0; i < p->streams->len; i++) {
		struct stream *s = g_ptr_array_index(p->streams, i);

		if (is_lost(s, dead, target))
			break_off(s, dead != NULL);
	}
}

static double draw(struct play *p, const double range[2])
{
	return range[0] == range[1]
		       ? range[0]
		       : g_rand_double_range(p->rand, range[0], range[1]);
}

static int draw_int(struct play *p, const int range[2])
{
	return g_rand_int_range(p->rand, range[0], range[1] + 1);
}

static void learn_later(struct play *p)
{
	for (int i = 0; i < p->node_count; i++)
		p->nodes[i].learns_ms =
			now_ms() + g_rand_int_range(p->rand, SUSPECT_MIN_MS,
						    SUSPECT_MAX_MS);
}

/* The node takes over the shares of those that are dead or suspected. */
static void learn(struct play *p, struct node *v)
{
	uint64_t ids[NODES_MAX];
	size_t n = 0;

	v->learns_ms = 0;
	for (int i = 0; i < p->node_count; i++)
		if (!p->nodes[i].dead &&
		    (p->peers->v[i].id != p->suspected || v == &p->nodes[i]))
			ids[n++] = p->peers->v[i].id;
	target_limits_set_nodes(v->e.target_limits, ids, n, MEMBER_SILENT_MS);
}

static void kill_some(struct play *p)
{
	int nodes = (int)(draw(p, p->site->kills) * p->node_count + 0.5);
	int targets = (int)(draw(p, p->site->crashes) * p->target_count + 0.5);

	for (int i = 0; i < MIN(nodes, p->node_count - 1); i++)
		p->nodes[i].dead = true;
	for (int i = 0; i < nodes; i++)
		break_streams(p, &p->nodes[i], -1);
	p->unlisted_ms = now_ms() + LISTED_MS;
	for (int i = 0; i < MIN(targets, p->target_count - 1); i++)
		p->down[i] = true;
	for (int i = 0; i < targets; i++)
		break_streams(p, NULL, i);
	if (nodes)
		learn_later(p);
}

static void end_streams(struct play *p)
{
	for (guint i = 0; i < p->streams->len; i++) {
		struct stream *s = g_ptr_array_index(p->streams, i);
		uint64_t id = target_id(s->target);
		struct target *t;

		if (!s->runs || now_ms() < s->ends_ms)
			continue;
		s->runs = false;
		t = g_hash_table_lookup(s->node->e.tr.targets, &id);
		if (t)
			pool_add_running(t, -1);
		name_limit(p, s->target);
	}
}

static void step(struct play *p)
{
	double n = p->load * p->per_s * p->target_count * STEP_MS / 1000;
	int whole = (int)n;

	end_streams(p);
	for (int i = 0; i < p->node_count; i++) {
		struct node *v = &p->nodes[i];

		if (v->dead)
			continue;
		if (v->learns_ms && now_ms() >= v->learns_ms)
			learn(p, v);
		if (now_ms() == p->unlisted_ms)
			take_list(p, v);
		begun_queue_check(v->e.tr.begun, virtual_ms);
	}
	for (int i = 0; i < whole; i++)
		new_stream(p);
	if (g_rand_double(p->rand) < n - whole)
		new_stream(p);
}

static void node_init(struct play *p, int i)
{
	struct node *v = &p->nodes[i];

	pool_node_init(&v->e, i, p->peers);
	v->e.tr.begun = begun_queue_new(&v->e.tr, &ops);
	take_list(p, v);
}

static struct play *play_new(const struct site *s, guint32 seed)
{
	struct play *p = g_new0(struct play, 1);

	virtual_ms = VIRTUAL_START_MS;
	p->site = s;
	p->rand = g_rand_new_with_seed(seed);
	p->service.name = (struct str)STR_LIT("pool");
	p->node_count = draw_int(p, s->nodes);
	p->target_count = draw_int(p, s->targets);
	p->per_s = draw(p, s->per_s);
	p->load = draw(p, s->load);
	p->streams = g_ptr_array_new_with_free_func(g_free);
	p->nodes = g_new0(struct node, p->node_count);
	p->peers = pool_node_peers(p->node_count);
	for (int i = 0; i < p->node_count; i++)
		node_init(p, i);
	for (int i = 0; i < p->target_count; i++)
		name_limit(p, i);
	return p;
}

static void play_free(struct play *p)
{
	for (int i = 0; i < p->node_count; i++) {
		begun_queue_free(p->nodes[i].e.tr.begun);
		pool_node_clear(&p->nodes[i].e);
	}
	peer_list_unref(p->peers);
	g_ptr_array_unref(p->streams);
	g_rand_free(p->rand);
	g_free(p->nodes);
	g_free(p);
	virtual_ms = 0;
}

/* One node is suspected by all others for a time, though it lives. */
static void suspect_one(struct play *p, int64_t from_ms, int64_t to_ms)
{
	if (now_ms() == from_ms)
		p->suspected = p->peers->v[0].id;
	if (now_ms() == to_ms)
		p->suspected = 0;
	if (now_ms() == from_ms || now_ms() == to_ms)
		learn_later(p);
}

/* Return how many requests of a window the limits let pass, at most 1. */
static double used_share(const struct play *p, int64_t from_ms)
{
	int n = 0;

	for (int t = 0; t < p->target_count; t++)
		for (int64_t i = from_ms / STEP_MS;
		     i < (from_ms + WINDOW_MS) / STEP_MS; i++)
			n += p->sent[t][i];
	return n / (p->per_s * p->target_count * WINDOW_MS / 1000);
}

static void assert_limit(const struct play *p)
{
	double allowed = 1.5 * p->per_s * WINDOW_MS / 1000 + SLACK;

	for (int t = 0; t < p->target_count; t++) {
		int n = 0;

		for (int i = CONTACT_MS / STEP_MS; i < STEPS; i++) {
			n += p->sent[t][i];
			if (i >= (CONTACT_MS + WINDOW_MS) / STEP_MS)
				n -= p->sent[t][i - WINDOW_MS / STEP_MS];
			g_assert_cmpfloat(n, <=, allowed);
		}
	}
}

/* Sums over the plays of a site. */
struct sums {
	double asked, began, taken_up, went_on, used;
	int plays;
};

static void play(const struct site *s, guint32 seed, struct sums *sums)
{
	struct play *p = play_new(s, seed);
	int64_t kill_ms = g_rand_int_range(p->rand, 600, 1200) * STEP_MS;

	for (; now_ms() < PLAY_MS; virtual_ms += STEP_MS) {
		if (now_ms() == kill_ms)
			kill_some(p);
		if (s->false_suspects)
			suspect_one(p, kill_ms, kill_ms + 2500);
		step(p);
	}
	assert_limit(p);
	/* LOST: under half of the share of new streams that begin. */
	if (p->taken_up >= TAKEN_UP_MIN)
		g_assert_cmpfloat((double)p->went_on / p->taken_up, >=,
				  (double)p->began / p->asked / 2);
	sums->asked += p->asked;
	sums->began += p->began;
	sums->taken_up += p->taken_up;
	sums->went_on += p->went_on;
	sums->used += used_share(p, kill_ms);
	sums->plays++;
	play_free(p);
}

/* Streams that have begun are refused while new ones begin at other callers. */
static void test_site(const void *data)
{
	const struct site *s = data;
	struct sums sums = {0};

	for (int i = 0; i < s->plays; i++)
		play(s, (guint32)i + 1, &sums);
	g_test_message("of %.0f new streams %.3f begin, of %.0f broken ones "
		       "%.3f go on; of the limits %.3f are used in %d s",
		       sums.asked, sums.began / sums.asked, sums.taken_up,
		       sums.went_on / sums.taken_up, sums.used / sums.plays,
		       WINDOW_MS / 1000);
	if (sums.taken_up > 0)
		g_assert_cmpfloat(sums.went_on / sums.taken_up, >=,
				  sums.began / sums.asked);
	if (s->load[0] > 1 && s->crashes[1] <= 0)
		g_assert_cmpfloat(sums.used / sums.plays, >=, 0.8);
}

/* clang-format off */
static const struct site sites[] = {
	{"/begun-fleet/kills/three-nodes", {3, 3}, {9, 9}, {3, 3}, {1.2, 1.2},
	 {0.33, 0.33}, {0, 0}, false, 20},
	{"/begun-fleet/kills/six-nodes", {6, 6}, {4, 24}, {0.5, 10}, {0.7, 1.6},
	 {0.1, 0.7}, {0, 0}, false, 30},
	{"/begun-fleet/kills/six-nodes-full", {6, 6}, {4, 12}, {0.5, 10},
	 {1.1, 1.6}, {0.1, 0.4}, {0, 0}, false, 30},
	{"/begun-fleet/kills/seventy-nodes", {70, 70}, {9, 24}, {0.5, 10},
	 {0.7, 1.6}, {0.1, 0.5}, {0, 0}, false, 6},
	{"/begun-fleet/crashes", {3, 6}, {4, 12}, {1, 10}, {0.5, 1.2},
	 {0, 0}, {0.2, 0.6}, false, 30},
	{"/begun-fleet/kills-and-crashes", {3, 6}, {4, 12}, {1, 10}, {0.5, 1.2},
	 {0.2, 0.6}, {0.2, 0.5}, false, 30},
	{"/begun-fleet/suspected-node-lives", {3, 24}, {4, 12}, {0.5, 10},
	 {0.7, 1.6}, {0, 0}, {0, 0}, true, 30},
};
/* clang-format on */

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_set_level("error");
	for (size_t i = 0; i < G_N_ELEMENTS(sites); i++)
		g_test_add_data_func(sites[i].name, &sites[i], test_site);
	return g_test_run();
}
