/* Tests of load reports, and of the choice of store readers. */
#include <string.h>

#include "entry/store-clients.h"

/* Deliver the next load report, if one is due. */
static void deliver(struct loads *from, struct loads *to, int64_t now_ms)
{
	struct load_entry entries[LOADS_ENTRIES_MAX];
	struct loads_report m;

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
	deliver(a, c, 1000);
	deliver(b, c, 1000);
	g_assert_cmpfloat(loads_remote(c, 7, 1000), ==, 3);
	g_assert_cmpfloat(loads_remote(c, 8, 1000), ==, 1);
	/* b's next report omits the request that has ended. */
	loads_add(b, 8, -1);
	deliver(b, c, 1100);
	g_assert_cmpfloat(loads_remote(c, 8, 1100), ==, 0);
	/* Reports expire. */
	g_assert_cmpfloat(loads_remote(c, 7, 9000), ==, 0);
	loads_free(a);
	loads_free(b);
	loads_free(c);
}

/*
 * Numbers in the reports of faulty nodes add up to a negative one, so that the
 * target seems idle.
 */
static void test_odd_counts(void)
{
	struct load_entry e = {7, 0x7fffffff};
	struct loads_report m = {.seq = 1, .start = 10, .entries = {1, &e}};
	struct loads *l = loads_new(1);

	for (m.node = 2; m.node < 5; m.node++)
		loads_receive(l, 100, &m);
	e.running = UINT32_MAX;
	loads_receive(l, 100, &m);
	g_assert_cmpfloat(loads_remote(l, 7, 100), ==, 400000);
	loads_free(l);
}

/*
 * A report with an older sequence number arrived out of order and is ignored,
 * unless its node has restarted.
 */
static void test_order(void)
{
	struct load_entry e = {7, 5};
	struct loads_report m = {
		.node = 2, .seq = 2, .start = 10, .entries = {1, &e}};
	struct loads *l = loads_new(1);

	loads_receive(l, 100, &m);
	m.seq = 1;
	e.running = 9;
	loads_receive(l, 110, &m);
	g_assert_cmpfloat(loads_remote(l, 7, 110), ==, 5);
	m.start = 11;
	e.running = 1;
	loads_receive(l, 120, &m);
	g_assert_cmpfloat(loads_remote(l, 7, 120), ==, 1);
	loads_free(l);
}

static void test_serving(void)
{
	struct loads *a = loads_new(1), *b = loads_new(2);

	g_assert_false(loads_peer_is_serving(b, 1, 1000));
	deliver(a, b, 900);
	g_assert_false(loads_serving_unsent(a));
	loads_set_serving(a, true);
	/* In a large fleet the next report may not be due for seconds. */
	g_assert_true(loads_serving_unsent(a));
	deliver(a, b, 1000);
	g_assert_false(loads_serving_unsent(a));
	g_assert_true(loads_peer_is_serving(b, 1, 1000));
	/* Reports live longer where the send interval is long. */
	g_assert_false(loads_peer_is_serving(b, 1, 5000));
	loads_set_send_interval(b, 3700);
	g_assert_true(loads_peer_is_serving(b, 1, 5000));
	loads_set_serving(a, false);
	deliver(a, b, 1100);
	g_assert_false(loads_peer_is_serving(b, 1, 1100));
	loads_free(a);
	loads_free(b);
}

/* Nodes with the same view choose the same readers, in any order of nodes. */
static void test_readers(void)
{
	uint64_t nodes[] = {11, 22, 33, 44, 55, 66, 77};
	uint64_t shuffled[] = {77, 33, 11, 66, 22, 55, 44};
	uint64_t a[STORE_RELAYS_MAX], b[STORE_RELAYS_MAX];

	g_assert_cmpuint(store_relays_choose(nodes, 7, a), ==, STORE_READERS);
	g_assert_cmpuint(store_relays_choose(shuffled, 7, b), ==,
			 STORE_READERS);
	g_assert_cmpmem(a, STORE_READERS * sizeof(*a), b,
			STORE_READERS * sizeof(*b));
	g_assert_cmpuint(store_relays_choose(nodes, 2, a), ==, 2);
	g_assert_cmpuint(store_relays_choose(nodes, 0, a), ==, 0);
}

/*
 * 300 nodes know each other to be alive. However few of them serve, the number
 * of readers stays the same and that of relays grows with the fleet; each node
 * has three relays, and the load on them is even.
 */
static void test_relays(void)
{
	uint64_t nodes[300], relays[STORE_RELAYS_MAX], own[STORE_READERS];
	unsigned asked[STORE_RELAYS_MAX] = {0};
	size_t n;

	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++)
		nodes[i] = i * 7919 + 1;
	n = store_relays_choose(nodes, G_N_ELEMENTS(nodes), relays);
	g_assert_cmpuint(n, ==, 13);
	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++) {
		g_assert_cmpuint(store_relays_of(nodes[i], relays, n, own), ==,
				 STORE_READERS);
		for (size_t k = 0; k < STORE_READERS; k++)
			for (size_t r = 0; r < n; r++)
				asked[r] += relays[r] == own[k];
	}
	for (size_t r = 0; r < n; r++)
		g_assert_cmpuint(asked[r], <, 2 * 300 * STORE_READERS / n);
	g_assert_cmpuint(store_relays_choose(nodes, 9, relays), ==,
			 STORE_READERS);
	g_assert_cmpuint(store_relays_choose(nodes, 2, relays), ==, 2);
	/* In an outage of the store a node sees only itself serve. */
	g_assert_false(relays_are_serving(1, 300));
	g_assert_true(relays_are_serving(200, 300));
	g_assert_true(relays_are_serving(1, 1));
}

/*
 * For any bound on revocation, a reader in contact with the store always counts
 * as current, and one that has lost the contact does so only for a short time.
 */
static void test_reader_is_current(void)
{
	static const int64_t revoke_bounds_ms[] = {1000, 2000, 5000, 60000};

	for (size_t i = 0; i < G_N_ELEMENTS(revoke_bounds_ms); i++) {
		int64_t wait =
			reader_poll_wait_ms(700, revoke_bounds_ms[i], 60000);
		int64_t sent = 0, fresh = 0, current_age = 0;

		for (int64_t now = 0; now < 60000; now++) {
			/* Each long poll ends unchanged, 20 ms late. */
			if (now - sent >= wait + 20) {
				fresh = sent;
				sent = now;
			}
			g_assert_true(reader_is_current(now - fresh, wait));
			g_assert_cmpint(now - fresh, <,
					revoke_bounds_ms[i] / 2);
		}
		for (int64_t now = sent; now < sent + revoke_bounds_ms[i];
		     now++)
			if (reader_is_current(now - fresh, wait))
				current_age = now - fresh;
		g_assert_cmpint(current_age, <=,
				MAX(revoke_bounds_ms[i] / 2, 1700));
	}
}

/*
 * A node without current readers reads the store itself, at a limited rate.
 * Without the limit all nodes of a fleet that started at once would call a
 * store that refuses some of them without a pause.
 */
static void test_peer_reliance(void)
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
	/* A reader's confirmation replaces a read until it is too old. */
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
	g_test_add_func("/entry/loads/odd-counts", test_odd_counts);
	g_test_add_func("/entry/loads/order", test_order);
	g_test_add_func("/entry/loads/serving", test_serving);
	g_test_add_func("/entry/readers/agree", test_readers);
	g_test_add_func("/entry/loads/relays", test_relays);
	g_test_add_func("/entry/readers/keeps-up", test_reader_is_current);
	g_test_add_func("/entry/readers/alone", test_peer_reliance);
	return g_test_run();
}
