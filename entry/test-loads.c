#include <string.h>

#include "entry/follow.h"

/* Give what one node has to tell to another. */
static void tell(struct loads *from, struct loads *to, int64_t now_ms)
{
	struct load_entry entries[LOADS_ENTRIES_MAX];
	struct load_news m;

	if (loads_next_report(from, now_ms, &m, entries))
		loads_receive(to, now_ms, &m);
}

static void test_sums(void)
{
	struct loads *a = loads_new(1), *b = loads_new(2), *c = loads_new(3);

	loads_add(a, 7, 1);
	loads_add(a, 7, 1);
	loads_add(b, 7, 1);
	loads_add(b, 8, 1);
	tell(a, c, 1000);
	tell(b, c, 1000);
	g_assert_cmpfloat(loads_others(c, 7, 1000), ==, 3);
	g_assert_cmpfloat(loads_others(c, 8, 1000), ==, 1);
	/* What ended at b is told by its next message. */
	loads_add(b, 8, -1);
	tell(b, c, 1100);
	g_assert_cmpfloat(loads_others(c, 8, 1100), ==, 0);
	/* A node that is silent for long counts for nothing. */
	g_assert_cmpfloat(loads_others(c, 7, 9000), ==, 0);
	loads_free(a);
	loads_free(b);
	loads_free(c);
}

/* A message that was overtaken changes nothing; a new start does. */
static void test_order(void)
{
	struct load_entry e = {7, 5};
	struct load_news m = {
		.node = 2, .seq = 2, .start = 10, .entries = {1, &e}};
	struct loads *l = loads_new(1);

	loads_receive(l, 100, &m);
	m.seq = 1;
	e.running = 9;
	loads_receive(l, 110, &m);
	g_assert_cmpfloat(loads_others(l, 7, 110), ==, 5);
	m.start = 11;
	e.running = 1;
	loads_receive(l, 120, &m);
	g_assert_cmpfloat(loads_others(l, 7, 120), ==, 1);
	loads_free(l);
}

static void test_serving(void)
{
	struct loads *a = loads_new(1), *b = loads_new(2);

	g_assert_false(loads_node_serves(b, 1, 1000));
	tell(a, b, 900);
	g_assert_false(loads_serving_unsent(a));
	loads_set_serving(a, true);
	/* In a large fleet its turn may be seconds away. */
	g_assert_true(loads_serving_unsent(a));
	tell(a, b, 1000);
	g_assert_false(loads_serving_unsent(a));
	g_assert_true(loads_node_serves(b, 1, 1000));
	/* In a large fleet the pauses are long, and nobody is gone for it. */
	g_assert_false(loads_node_serves(b, 1, 5000));
	loads_set_send_interval(b, 3700);
	g_assert_true(loads_node_serves(b, 1, 5000));
	loads_set_serving(a, false);
	tell(a, b, 1100);
	g_assert_false(loads_node_serves(b, 1, 1100));
	loads_free(a);
	loads_free(b);
}

/* All nodes that see the same ones agree, in whatever order they see them. */
static void test_readers(void)
{
	uint64_t nodes[] = {11, 22, 33, 44, 55, 66, 77};
	uint64_t other[] = {77, 33, 11, 66, 22, 55, 44};
	uint64_t a[READERS], b[READERS];

	g_assert_cmpuint(readers_choose(nodes, 7, a), ==, READERS);
	g_assert_cmpuint(readers_choose(other, 7, b), ==, READERS);
	g_assert_cmpmem(a, sizeof(a), b, sizeof(b));
	g_assert_cmpuint(readers_choose(nodes, 2, a), ==, 2);
	g_assert_cmpuint(readers_choose(nodes, 0, a), ==, 0);
}

/*
 * A reader that keeps up with the store is believed at any moment, and one that
 * has lost it is not for long, whatever the bounds are.
 */
static void test_keeps_up(void)
{
	static const int64_t revokes[] = {1000, 2000, 5000, 60000};

	for (size_t i = 0; i < G_N_ELEMENTS(revokes); i++) {
		int64_t wait = reader_poll_wait_ms(700, revokes[i]);
		int64_t sent = 0, fresh = 0, believed = 0;

		for (int64_t now = 0; now < 60000; now++) {
			/* Each call ends without a change, 20 ms late. */
			if (now - sent >= wait + 20) {
				fresh = sent;
				sent = now;
			}
			g_assert_true(reader_is_current(now - fresh, wait));
			g_assert_cmpint(now - fresh, <, revokes[i] / 2);
		}
		for (int64_t now = sent; now < sent + revokes[i]; now++)
			if (reader_is_current(now - fresh, wait))
				believed = now - fresh;
		g_assert_cmpint(believed, <=, MAX(revokes[i] / 2, 1700));
	}
}

/*
 * A node whose readers are gone, or can't keep up, reads by itself, each time
 * after a while: all nodes of a fleet that started at once would otherwise ask
 * a store that refuses some of them without a pause.
 */
static void test_alone(void)
{
	struct peer_reliance r = {.unconfirmed_max_ms = 1300,
				  .reliance_max_ms = 2000};
	int reads = 0;

	for (int64_t now = 1000; now < 61000; now += 4) {
		if (peer_reliance_is_valid(&r, now))
			continue;
		reads++;
		r.known_ms = now;
	}
	g_assert_cmpint(reads, >=, 60000 / 2000);
	g_assert_cmpint(reads, <=, 60000 / 1000);
	/* Told that all is well it reads nothing, unless that is too old. */
	r.confirmed_ms = 61000;
	r.known_ms = 59500;
	g_assert_true(peer_reliance_is_valid(&r, 61000));
	g_assert_true(peer_reliance_is_valid(&r, 61400));
	g_assert_false(peer_reliance_is_valid(&r, 61500));
	r.known_ms = 61000;
	g_assert_false(peer_reliance_is_valid(&r, 62400));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/loads/sums", test_sums);
	g_test_add_func("/entry/loads/order", test_order);
	g_test_add_func("/entry/loads/serving", test_serving);
	g_test_add_func("/entry/readers/agree", test_readers);
	g_test_add_func("/entry/readers/keeps-up", test_keeps_up);
	g_test_add_func("/entry/readers/alone", test_alone);
	return g_test_run();
}
