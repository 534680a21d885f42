/*
 * Limits that targets name, in a fleet whose nodes tell each other of them by
 * messages that may be lost. Time is simulated.
 */
#include <string.h>

#include "route/target-limits.h"

#define TICK_MS      50
#define REMIND_TICKS 6
#define FANOUT       4
#define REMINDED     3
#define DIRECT_MAX   24
#define PER_MESSAGE  48
#define CONTACT_MS   3000
#define WINDOW_MS    4000
#define TARGET       7

struct fleet {
	struct target_limits **nodes;
	uint64_t *ids;
	size_t n;
	double limit_per_s; /* 0: the target names none */
	int64_t now_ms;
	int ticks;
	int sent[4096]; /* requests at the target, by tick */
};

static struct fleet *fleet_new(size_t n)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->n = n;
	f->now_ms = 1000000;
	f->nodes = g_new0(struct target_limits *, n);
	f->ids = g_new0(uint64_t, n);
	for (size_t i = 0; i < n; i++)
		f->ids[i] = 1000 + i * 2654435761u;
	for (size_t i = 0; i < n; i++) {
		f->nodes[i] = target_limits_new(&limit_requests, f->ids[i],
						NULL, NULL);
		target_limits_set_rounds(f->nodes[i], n > DIRECT_MAX ? 3 : 2,
					 n > DIRECT_MAX);
		target_limits_set_nodes(f->nodes[i], f->ids, n, 0);
	}
	return f;
}

static void fleet_free(struct fleet *f)
{
	for (size_t i = 0; i < f->n; i++)
		target_limits_free(f->nodes[i]);
	g_free(f->nodes);
	g_free(f->ids);
	g_free(f);
}

static void send_to(struct fleet *f, size_t to, const struct target_limit *v,
		    size_t n)
{
	if (g_random_double() < 0.05)
		return;
	for (size_t i = 0; i < n; i++)
		target_limits_receive(f->nodes[to], &v[i]);
}

static void exchange(struct fleet *f, size_t from)
{
	struct target_limit v[PER_MESSAGE];
	size_t n = target_limits_take_updates(f->nodes[from], v, PER_MESSAGE);

	for (size_t k = 0; n && f->n <= DIRECT_MAX && k < f->n; k++)
		send_to(f, k, v, n);
	for (size_t k = 0; n && f->n > DIRECT_MAX && k < FANOUT; k++)
		send_to(f, (size_t)g_random_int_range(0, (gint32)f->n), v, n);
	if ((f->ticks + (int)from) % REMIND_TICKS)
		return;
	n = target_limits_list(f->nodes[from], v, PER_MESSAGE);
	for (size_t k = 0; k < REMINDED; k++)
		send_to(f, (size_t)g_random_int_range(0, (gint32)f->n), v, n);
}

/* Send a request if the node may; its response names the limit. */
static bool call(struct fleet *f, size_t node)
{
	struct target_limits *t = f->nodes[node];

	if (target_limits_next_ms(t, TARGET, f->now_ms) > f->now_ms)
		return false;
	target_limits_take(t, TARGET, f->now_ms);
	f->sent[f->ticks]++;
	target_limits_name(t, TARGET,
			   f->limit_per_s ? (int64_t)(f->limit_per_s * 1000)
					  : LIMIT_NONE,
			   f->now_ms);
	return true;
}

/* Calls of callers in one tick, at nodes chosen at random. */
static void tick(struct fleet *f, int calls)
{
	f->now_ms += TICK_MS;
	f->ticks++;
	for (int i = 0; i < calls; i++)
		call(f, (size_t)g_random_int_range(0, (gint32)f->n));
	for (size_t i = 0; i < f->n; i++)
		exchange(f, i);
}

/*
 * Play seconds in which callers send more than the limit, every two seconds so
 * many at once that each node gets some.
 */
static void play_ms(struct fleet *f, int ms)
{
	int end = f->ticks + ms / TICK_MS;

	while (f->ticks < end)
		tick(f, f->ticks % (2000 / TICK_MS) ? 5 : 3 * (int)f->n);
}

static void play(struct fleet *f, int seconds)
{
	play_ms(f, seconds * 1000);
}

/* Assert that no window from a tick on has more than the limit allows. */
static int assert_windows(const struct fleet *f, int from)
{
	int total = 0;

	for (int i = from; i <= f->ticks; i++) {
		int n = 0;

		total += f->sent[i];
		for (int k = i; k <= f->ticks && k < i + WINDOW_MS / TICK_MS;
		     k++)
			n += f->sent[k];
		g_assert_cmpfloat(n, <=,
				  1.5 * f->limit_per_s * WINDOW_MS / 1000 + 5);
	}
	return total;
}

static int tick_after_contact(const struct fleet *f)
{
	return f->ticks + CONTACT_MS / TICK_MS;
}

/* The nodes' shares add up to more than the limit, or are seldom used. */
static void test_sum_over_nodes(void)
{
	static const size_t sizes[] = {1, 2, 6, 24, 73, 370};
	static const double limits[] = {0.1, 1, 2.7, 4.9, 40};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(limits); k++) {
			struct fleet *f = fleet_new(sizes[i]);
			int from, total;

			play(f, 2);
			from = tick_after_contact(f);
			f->limit_per_s = limits[k];
			play(f, 30);
			total = assert_windows(f, from);
			g_assert_cmpfloat(total, >=, limits[k] * 27 / 2);
			fleet_free(f);
		}
}

/* Nodes that come and go use the shares of others as well as their own. */
static void test_nodes_come_and_go(void)
{
	struct fleet *f = fleet_new(24);
	int from;

	play(f, 1);
	from = tick_after_contact(f);
	f->limit_per_s = 2;
	for (int i = 0; i < 20; i++) {
		/* Some nodes see a fleet without its last ones, some don't. */
		for (size_t k = 0; k < f->n; k++)
			target_limits_set_nodes(
				f->nodes[k], f->ids,
				f->n - (size_t)((i + (int)k % 2) % 4), 0);
		play(f, 2);
	}
	assert_windows(f, from);
	fleet_free(f);
}

/* Count the requests of a window that begins after a tick. */
static int sent_after(const struct fleet *f, int tick)
{
	int n = 0;

	for (int i = tick + 1; i <= tick + WINDOW_MS / TICK_MS; i++)
		n += f->sent[i];
	return n;
}

/*
 * Play seconds after a third of the nodes are killed; the others learn of it
 * after a time.
 */
static void play_kill(struct fleet *f, int learn_ms, int64_t unsent_ms)
{
	size_t all = f->n;

	f->n = all - all / 3;
	play_ms(f, learn_ms);
	for (size_t i = 0; i < f->n; i++)
		target_limits_set_nodes(f->nodes[i], f->ids, f->n, unsent_ms);
	play_ms(f, 2 * WINDOW_MS - learn_ms);
	f->n = all;
}

/* The shares of killed nodes go unused until long after the kill. */
static void test_killed_nodes(void)
{
	static const size_t sizes[] = {3, 6, 70};
	static const double limits[] = {0.5, 1, 3, 10};
	double before = 0, after = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(limits); k++) {
			struct fleet *f = fleet_new(sizes[i]);
			int from, killed;

			play(f, 2);
			from = tick_after_contact(f);
			f->limit_per_s = limits[k];
			play(f, 12);
			killed = f->ticks;
			play_kill(f, 1600, 800);
			before += sent_after(f, killed - WINDOW_MS / TICK_MS);
			after += sent_after(f, killed);
			assert_windows(f, from);
			fleet_free(f);
		}
	g_test_message("%.0f requests before the kills, %.0f after", before,
		       after);
	g_assert_cmpfloat(after, >=, 0.85 * before);
}

/* A node that has just started begins with a share that it may not have. */
static void test_unknown_nodes(void)
{
	struct target_limits *t =
		target_limits_new(&limit_requests, 1, NULL, NULL);
	static const uint64_t nodes[] = {1, 2};

	target_limits_name(t, TARGET, 4000, 1000);
	g_assert_cmpint(target_limits_next_ms(t, TARGET, 60000), ==, INT64_MAX);
	target_limits_set_nodes(t, nodes, 2, 0);
	g_assert_cmpint(target_limits_next_ms(t, TARGET, 60000), >, 60000);
	g_assert_cmpint(target_limits_next_ms(t, TARGET, 61000), ==, 61000);
	target_limits_free(t);
}

/* A limit that has ended holds on at nodes that don't hear of it. */
static void test_limit_ends(void)
{
	static const size_t sizes[] = {6, 370};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet *f = fleet_new(sizes[i]);

		play(f, 1);
		f->limit_per_s = 1;
		play(f, 10);
		f->limit_per_s = 0;
		play(f, 10);
		for (size_t k = 0; k < f->n; k++)
			g_assert_true(call(f, k) && call(f, k));
		fleet_free(f);
	}
}

/* A response that arrives late brings an older limit back. */
static void test_older_update(void)
{
	struct target_limits *t =
		target_limits_new(&limit_requests, 1, NULL, NULL);
	static const uint64_t nodes[] = {1};
	struct target_limit old = {TARGET, 1000, 5000};

	target_limits_set_nodes(t, nodes, 1, 0);
	target_limits_receive(t, &old);
	target_limits_name(t, TARGET, LIMIT_NONE, 6000);
	target_limits_receive(t, &old);
	for (int i = 0; i < 10; i++) {
		g_assert_cmpint(target_limits_next_ms(t, TARGET, 7000), ==,
				7000);
		target_limits_take(t, TARGET, 7000);
	}
	target_limits_free(t);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_random_set_seed(1);
	g_test_add_func("/target-limits/sum-over-nodes", test_sum_over_nodes);
	g_test_add_func("/target-limits/nodes-come-and-go",
			test_nodes_come_and_go);
	g_test_add_func("/target-limits/killed-nodes", test_killed_nodes);
	g_test_add_func("/target-limits/unknown-nodes", test_unknown_nodes);
	g_test_add_func("/target-limits/limit-ends-everywhere",
			test_limit_ends);
	g_test_add_func("/target-limits/older-news", test_older_update);
	return g_test_run();
}
