/*
 * Warm-up of cold targets in a fleet whose nodes have differing and late views:
 * the requests of all nodes together in any second. Time is simulated.
 */
#include <string.h>

#include "route/test-random.h"
#include "route/warmup.h"

#define TICK_MS  10
#define TARGET   7
#define START_MS 1000000
/* Most nodes, and ticks of a run. */
#define NODES_MAX 512
#define TICKS_MAX 12000
/* Time after which a node has its first share. */
#define FIRST_SHARE_MS 3000
/* Longest time after which a node learns of a change, if it is not cut off. */
#define VIEW_DELAY_MS 2000

struct node {
	struct warmup *w; /* NULL: not running */
	bool known[NODES_MAX];
	int64_t known_at_ms; /* when it has read the list of nodes */
	bool is_set;         /* warmup_set_nodes has been called */
	bool changed;        /* known has, since then */
	int side;            /* of a partition */
};

/* A node learns whether another one is known. */
struct change {
	int64_t at_ms;
	size_t node, about;
	bool known;
};

struct fleet {
	struct node *nodes;
	size_t n; /* started so far */
	double bound;
	int64_t now_ms;
	int ticks;
	int *sent; /* requests at the target, by tick */
	GArray *changes;
	GRand *rand;
};

static uint64_t node_id(size_t i)
{
	return 1000 + i * 2654435761u;
}

static void apply_view(struct fleet *f, size_t i)
{
	struct node *x = &f->nodes[i];
	uint64_t ids[NODES_MAX];
	size_t n = 0;

	for (size_t k = 0; k < f->n; k++)
		if (x->known[k] || k == i)
			ids[n++] = node_id(k);
	warmup_set_nodes(x->w, ids, n, f->now_ms);
	x->is_set = true;
	x->changed = false;
}

/* Start a process of a node; it reads the list of nodes at a time. */
static void start_node(struct fleet *f, size_t i, int64_t known_at_ms)
{
	struct node *x = &f->nodes[i];

	x->w = warmup_new(node_id(i), NULL, NULL);
	x->known_at_ms = known_at_ms;
	x->is_set = false;
	warmup_set_cold(x->w, TARGET, f->now_ms + 3600000, WARMUP_STARTED,
			f->now_ms);
}

static void stop_node(struct fleet *f, size_t i)
{
	warmup_free(f->nodes[i].w);
	f->nodes[i].w = NULL;
}

/* n nodes that all know each other. */
static struct fleet *fleet_new(size_t n, double bound, guint32 seed)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->nodes = g_new0(struct node, NODES_MAX);
	f->sent = g_new0(int, TICKS_MAX + 1);
	f->changes = g_array_new(false, false, sizeof(struct change));
	f->rand = g_rand_new_with_seed(seed);
	f->n = n;
	f->bound = bound;
	f->now_ms = START_MS;
	for (size_t i = 0; i < n; i++) {
		start_node(f, i, f->now_ms);
		for (size_t k = 0; k < n; k++)
			f->nodes[i].known[k] = true;
	}
	return f;
}

static void fleet_free(struct fleet *f)
{
	for (size_t i = 0; i < f->n; i++)
		if (f->nodes[i].w)
			stop_node(f, i);
	g_rand_free(f->rand);
	g_array_unref(f->changes);
	g_free(f->sent);
	g_free(f->nodes);
	g_free(f);
}

/* Send requests as long as the node may. */
static void send_all(struct fleet *f, size_t i, int demand)
{
	struct warmup *w = f->nodes[i].w;

	while (demand-- &&
	       warmup_next_ms(w, TARGET, f->bound, f->now_ms) <= f->now_ms) {
		warmup_take(w, TARGET, f->bound, f->now_ms);
		f->sent[f->ticks]++;
	}
}

static void apply_changes(struct fleet *f)
{
	for (guint i = 0; i < f->changes->len;) {
		const struct change *c =
			&g_array_index(f->changes, struct change, i);

		if (c->at_ms > f->now_ms) {
			i++;
			continue;
		}
		f->nodes[c->node].known[c->about] = c->known;
		f->nodes[c->node].changed = true;
		g_array_remove_index_fast(f->changes, i);
	}
}

/* One step, with more demand than may be sent at every node. */
static void tick(struct fleet *f)
{
	f->now_ms += TICK_MS;
	f->ticks++;
	g_assert_cmpint(f->ticks, <=, TICKS_MAX);
	apply_changes(f);
	for (size_t i = 0; i < f->n; i++) {
		struct node *x = &f->nodes[i];

		if (!x->w)
			continue;
		if (f->now_ms >= x->known_at_ms && (!x->is_set || x->changed))
			apply_view(f, i);
		send_all(f, i, 40);
	}
}

static void play(struct fleet *f, int64_t ms)
{
	for (int64_t end_ms = f->now_ms + ms; f->now_ms < end_ms;)
		tick(f);
}

/* Assert the bound in every second from a tick on; return all requests. */
static int assert_seconds(const struct fleet *f, int from)
{
	int total = 0, n = 0;

	for (int i = from; i <= f->ticks; i++) {
		total += f->sent[i];
		n += f->sent[i];
		if (i - from >= 1000 / TICK_MS)
			n -= f->sent[i - 1000 / TICK_MS];
		g_assert_cmpfloat(n, <=, f->bound);
	}
	return total;
}

/*
 * The nodes' shares add up to more than the bound, or less than half of it can
 * be used though the views agree.
 */
static void test_sum_over_nodes(void)
{
	static const size_t sizes[] = {1, 2, 3, 6, 11, 12, 24, 78, 370};
	static const double bounds[] = {1, 2, 3, 4.5, 5, 10, 18.2, 40, 155};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(bounds); k++) {
			struct fleet *f = fleet_new(sizes[i], bounds[k], 1);
			int from;

			play(f, FIRST_SHARE_MS);
			from = f->ticks;
			play(f, 20000);
			g_assert_cmpfloat(assert_seconds(f, from), >=,
					  bounds[k] * 20 / 2);
			assert_seconds(f, 0);
			fleet_free(f);
		}
}

/* All nodes that should hear of a node learn of it within VIEW_DELAY_MS. */
static void announce(struct fleet *f, size_t about, bool known)
{
	for (size_t i = 0; i < f->n; i++) {
		struct change c = {
			f->now_ms + g_rand_int_range(f->rand, 0, VIEW_DELAY_MS),
			i, about, known};

		if (i != about && f->nodes[i].side == f->nodes[about].side)
			g_array_append_val(f->changes, c);
	}
}

/* A node joins; it reads the list of all nodes of the store. */
static void join(struct fleet *f, int side)
{
	size_t i = f->n++;

	g_assert_cmpuint(f->n, <=, NODES_MAX);
	f->nodes[i].side = side;
	for (size_t k = 0; k < f->n; k++)
		f->nodes[i].known[k] = f->nodes[k].w != NULL;
	start_node(f, i, f->now_ms + g_rand_int_range(f->rand, 0, 1000));
	announce(f, i, true);
}

static size_t random_running(struct fleet *f)
{
	size_t i;

	do
		i = (size_t)g_rand_int_range(f->rand, 0, (gint32)f->n);
	while (!f->nodes[i].w);
	return i;
}

static size_t count_running(const struct fleet *f)
{
	size_t n = 0;

	for (size_t i = 0; i < f->n; i++)
		n += f->nodes[i].w != NULL;
	return n;
}

static void leave(struct fleet *f)
{
	size_t i = random_running(f);

	stop_node(f, i);
	announce(f, i, false);
}

/* A crash: the other nodes go on to know it. Its next process starts later. */
static void restart(struct fleet *f)
{
	size_t i = random_running(f);

	stop_node(f, i);
	start_node(f, i, f->now_ms + g_rand_int_range(f->rand, 0, 1000));
}

/* Nodes that come, go and restart use the shares of others with their own. */
static void test_nodes_come_and_go(void)
{
	static const size_t sizes[] = {1, 3, 12, 30, 78};

	for (guint32 seed = 1; seed <= 20; seed++) {
		struct fleet *f = fleet_new(sizes[seed % G_N_ELEMENTS(sizes)],
					    18.2, seed);

		play(f, FIRST_SHARE_MS);
		for (int i = 0; i < 60; i++) {
			int what = g_rand_int_range(f->rand, 0, 3);

			if (what == 0)
				join(f, 0);
			else if (what == 1 && count_running(f) > 3)
				leave(f);
			else
				restart(f);
			play(f, g_rand_int_range(f->rand, 50, 1500));
		}
		assert_seconds(f, 0);
		fleet_free(f);
	}
}

/*
 * New nodes begin before the others have learned of them and taken their own
 * shares back.
 */
static void test_joins_at_once(void)
{
	static const size_t sizes[] = {1, 2, 3, 6};

	for (guint32 seed = 1; seed <= 20; seed++) {
		struct fleet *f = fleet_new(sizes[seed % G_N_ELEMENTS(sizes)],
					    18.2, seed);

		play(f, 8000);
		for (int i = 0; i < 8; i++)
			join(f, 0);
		play(f, 10000);
		assert_seconds(f, 0);
		fleet_free(f);
	}
}

/* Many nodes leave at once, and their successors take over early. */
static void test_successors_wait(void)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		struct fleet *f = fleet_new(24, 18.2, seed);
		int from;

		play(f, 8000);
		for (int i = 0; i < 12; i++)
			leave(f);
		play(f, VIEW_DELAY_MS + FIRST_SHARE_MS + 1100);
		from = f->ticks;
		play(f, 10000);
		g_assert_cmpfloat(assert_seconds(f, from), >=, 18.2 * 10 / 2);
		assert_seconds(f, 0);
		fleet_free(f);
	}
}

/*
 * Nodes that don't see each other each take the whole rate: the parts of a
 * partition, of which each takes the others for dead, and new nodes on one side
 * of which the others never hear.
 */
static void test_partition(void)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		struct fleet *f = fleet_new(30, 18.2, seed);

		for (size_t i = 0; i < f->n; i++)
			f->nodes[i].side = (int)i % 3;
		play(f, 5000);
		for (int i = 0; i < 10; i++) {
			join(f, i % 3);
			play(f, 700);
		}
		play(f, 10000);
		assert_seconds(f, 0);
		fleet_free(f);
	}
}

/* Nodes that hear late that a target is cold, or not at the same time. */
static void test_late_knowledge(void)
{
	struct fleet *f = fleet_new(78, 18.2, 3);
	int last = 0;

	for (size_t i = 0; i < f->n; i++)
		warmup_expire(f->nodes[i].w, INT64_MAX);
	for (size_t i = 0; i < f->n; i++)
		apply_view(f, i);
	/* They take it for warm at first, and each sends at once. */
	for (int k = 0; k < 800; k++) {
		f->now_ms += TICK_MS;
		f->ticks++;
		for (size_t i = 0; i < f->n; i++) {
			bool knows = k >= 400 + (int)i * 3;

			if (knows)
				warmup_set_cold(f->nodes[i].w, TARGET,
						START_MS + 60000, WARMUP_NOTICE,
						f->now_ms);
			send_all(f, i, knows ? 40 : 1);
		}
	}
	last = 400 + 78 * 3;
	play(f, 5000);
	assert_seconds(f, last);
	fleet_free(f);
}

/* A process that has just started sends before it can know the others. */
static void test_new_process(void)
{
	struct warmup *w = warmup_new(1, NULL, NULL);
	static const uint64_t nodes[] = {1};
	int64_t t = 1000;

	warmup_set_cold(w, TARGET, t + 60000, WARMUP_STARTED, t);
	g_assert_cmpint(warmup_next_ms(w, TARGET, 18.2, t), ==, t + 60000);
	t += 10000;
	g_assert_cmpint(warmup_next_ms(w, TARGET, 18.2, t), >, t);
	warmup_set_nodes(w, nodes, 1, t);
	g_assert_cmpint(warmup_next_ms(w, TARGET, 18.2, t), ==,
			t + FIRST_SHARE_MS);
	t += FIRST_SHARE_MS;
	g_assert_cmpint(warmup_next_ms(w, TARGET, 18.2, t), ==, t);
	/* A target that becomes cold later isn't sent to at once, either. */
	warmup_set_cold(w, TARGET + 1, t + 60000, WARMUP_ROW, t);
	g_assert_cmpint(warmup_next_ms(w, TARGET + 1, 18.2, t), ==, t + 1100);
	/* Its warm-up ends first. */
	warmup_set_cold(w, TARGET + 2, t + 500, WARMUP_ROW, t);
	g_assert_cmpint(warmup_next_ms(w, TARGET + 2, 18.2, t), ==, t + 500);
	/* An unknown target is warm. */
	g_assert_cmpint(warmup_next_ms(w, TARGET + 3, 18.2, t), ==, t);
	warmup_free(w);
}

/* After a pause a node makes up for what it has not sent. */
static void test_pause(void)
{
	struct fleet *f = fleet_new(1, 18.2, 1);

	play(f, 10000);
	f->now_ms += 30000;
	f->ticks += 30000 / TICK_MS;
	play(f, 5000);
	assert_seconds(f, 0);
	fleet_free(f);
}

/* A bound below one request a second is taken for one. */
static void test_low_bound(void)
{
	struct fleet *f = fleet_new(3, 0.75, 1);

	play(f, 20000);
	g_assert_cmpint(assert_seconds(f, 0), ==, 0);
	fleet_free(f);
}

struct seen {
	int cold, warm;
	enum warmup_source source;
};

static void on_changed(void *ctx, uint64_t target, int64_t until_ms,
		       enum warmup_source s)
{
	struct seen *seen = ctx;

	g_assert_cmpuint(target, ==, TARGET);
	seen->cold += until_ms != 0;
	seen->warm += until_ms == 0;
	seen->source = s;
}

/* An earlier end replaces a later one, or a target stays cold forever. */
static void test_sources(void)
{
	struct seen seen = {0};
	struct warmup *w = warmup_new(1, on_changed, &seen);

	g_assert_false(warmup_any(w));
	warmup_set_cold(w, TARGET, 900, WARMUP_STARTED, 1000);
	g_assert_cmpint(seen.cold, ==, 0);
	warmup_set_cold(w, TARGET, 5000, WARMUP_STARTED, 1000);
	warmup_set_cold(w, TARGET, 4000, WARMUP_NOTICE, 1000);
	g_assert_cmpint(warmup_until_ms(w, TARGET, 2000), ==, 5000);
	g_assert_cmpint(seen.source, ==, WARMUP_STARTED);
	warmup_set_cold(w, TARGET, 6000, WARMUP_EVACUATION, 1000);
	g_assert_cmpint(warmup_until_ms(w, TARGET, 2000), ==, 6000);
	g_assert_cmpint(seen.cold, ==, 1);
	g_assert_cmpuint(warmup_expire(w, 5999), ==, 1);
	g_assert_cmpuint(warmup_expire(w, 6000), ==, 0);
	g_assert_cmpint(seen.warm, ==, 1);
	g_assert_cmpint(seen.source, ==, WARMUP_EVACUATION);
	g_assert_false(warmup_any(w));
	/* What follows the guess after a pause is news. */
	warmup_set_cold(w, TARGET, 8000, WARMUP_PAUSE, 7000);
	warmup_set_cold(w, TARGET, 9000, WARMUP_ROW, 7100);
	g_assert_cmpint(seen.cold, ==, 3);
	/* A start far in the future doesn't keep it cold for days. */
	warmup_set_cold(w, TARGET, INT64_MAX, WARMUP_STARTED, 7000);
	g_assert_cmpint(warmup_until_ms(w, TARGET, 7000), <=, 7000 + 3600000);
	warmup_free(w);
}

/* Each heartbeat of a cold target is told to all nodes. */
static void test_told(void)
{
	struct warmup *w = warmup_new(1, NULL, NULL);
	int told = 0;

	for (int64_t t = 0; t < 60000; t += 1200)
		told += warmup_read_row(w, TARGET, 60000 - t, 1000 + t);
	g_assert_cmpint(told, >=, 2);
	g_assert_cmpint(told, <=, 3);
	g_assert_false(warmup_read_row(w, TARGET, 0, 100000));
	/* It became cold again. */
	g_assert_true(warmup_read_row(w, TARGET, 9000, 100000));
	warmup_free(w);
}

/* A service of which a zone comes back cold while demand is high. */
#define ZONE_NODES     24
#define ZONE_TARGETS   30
#define ZONE_COLD      10
#define ZONE_RUN_TICKS 50 /* for which a request runs: 500 ms */
#define ZONE_SLOTS     32
#define ZONE_SECONDS   15

struct zone_run {
	struct warmup *nodes[ZONE_NODES];
	struct place_target targets[ZONE_TARGETS];
	/* Requests sent, and ended, by target and tick. */
	int sent[ZONE_TARGETS][TICKS_MAX];
	int sends, over_limit, refused; /* in all */
	int64_t now_ms;
	int tick;
	GRand *rand;
};

static void zone_request(struct zone_run *z, double bound)
{
	size_t node = (size_t)g_rand_int_range(z->rand, 0, ZONE_NODES), chosen;
	uint64_t key = (uint64_t)g_rand_int_range(z->rand, 0, 400) * 7919;
	struct place_limits l = place_limits_for(2000, 2);
	double mean = 0;

	for (size_t i = 0; i < ZONE_TARGETS; i++) {
		z->targets[i].warming =
			warmup_next_ms(z->nodes[node], i + 1, bound,
				       z->now_ms) > z->now_ms;
		mean += z->targets[i].load / ZONE_TARGETS;
	}
	place_limit_overflow(z->targets, ZONE_TARGETS, 1);
	chosen = place_choose(&l, key, z->targets, ZONE_TARGETS,
			      random_of(z->rand));
	if (chosen == SIZE_MAX) {
		z->refused++;
		return;
	}
	warmup_take(z->nodes[node], chosen + 1, bound, z->now_ms);
	z->sends++;
	z->over_limit += z->targets[chosen].load + 1 > 2 * mean + 3;
	z->targets[chosen].load++;
	z->sent[chosen][z->tick]++;
}

/*
 * The requests that the cold targets of a zone don't get pile up at others,
 * beyond the limit of load, or are refused while others have room.
 */
static void test_zone_returns(void)
{
	struct zone_run *z = g_new0(struct zone_run, 1);
	uint64_t ids[ZONE_NODES];
	const double bound = 18.2;
	const int second = 1000 / TICK_MS;

	z->rand = g_rand_new_with_seed(5);
	z->now_ms = START_MS;
	for (size_t i = 0; i < ZONE_NODES; i++)
		ids[i] = node_id(i);
	for (size_t i = 0; i < ZONE_NODES; i++) {
		z->nodes[i] = warmup_new(ids[i], NULL, NULL);
		warmup_set_nodes(z->nodes[i], ids, ZONE_NODES,
				 START_MS - FIRST_SHARE_MS);
		for (uint64_t t = 1; t <= ZONE_COLD; t++)
			warmup_set_cold(z->nodes[i], t, START_MS + 60000,
					WARMUP_EVACUATION, START_MS);
	}
	for (size_t i = 0; i < ZONE_TARGETS; i++)
		z->targets[i] = (struct place_target){
			.id = i + 1,
			.slots = ZONE_SLOTS,
			.weight = 1,
			.can_export = true,
		};
	for (z->tick = 0; z->tick < ZONE_SECONDS * second; z->tick++) {
		z->now_ms += TICK_MS;
		for (size_t i = 0; i < ZONE_TARGETS; i++)
			if (z->tick >= ZONE_RUN_TICKS)
				z->targets[i].load -=
					z->sent[i][z->tick - ZONE_RUN_TICKS];
		/* 800 a second: 20 in progress at each warm target. */
		for (int k = 0; k < 8; k++)
			zone_request(z, bound);
	}
	for (size_t i = 0; i < ZONE_COLD; i++) {
		int total = 0, n = 0;

		for (int t = 0; t < z->tick; t++) {
			total += z->sent[i][t];
			n += z->sent[i][t];
			if (t >= second)
				n -= z->sent[i][t - second];
			g_assert_cmpfloat(n, <=, bound);
		}
		/* Requests are spread over the nodes, so less is used. */
		g_assert_cmpint(total, >, ZONE_SECONDS * 3);
	}
	g_test_message("sends=%d over=%d refused=%d", z->sends, z->over_limit,
		       z->refused);
	g_assert_cmpint(z->refused, ==, 0);
	g_assert_cmpint(z->over_limit, <=, z->sends * 3 / 100);
	for (size_t i = 0; i < ZONE_NODES; i++)
		warmup_free(z->nodes[i]);
	g_rand_free(z->rand);
	g_free(z);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/warmup/sum-over-nodes", test_sum_over_nodes);
	g_test_add_func("/warmup/nodes-come-and-go", test_nodes_come_and_go);
	g_test_add_func("/warmup/joins-at-once", test_joins_at_once);
	g_test_add_func("/warmup/successors-wait", test_successors_wait);
	g_test_add_func("/warmup/partition", test_partition);
	g_test_add_func("/warmup/late-knowledge", test_late_knowledge);
	g_test_add_func("/warmup/new-process", test_new_process);
	g_test_add_func("/warmup/pause", test_pause);
	g_test_add_func("/warmup/low-bound", test_low_bound);
	g_test_add_func("/warmup/sources", test_sources);
	g_test_add_func("/warmup/told", test_told);
	g_test_add_func("/warmup/zone-returns", test_zone_returns);
	return g_test_run();
}
