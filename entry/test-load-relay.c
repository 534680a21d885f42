/*
 * Loads over relays: every node gets the sum of the others' requests, and
 * tables that are malformed, late or forged by size are refused.
 */
#include <string.h>

#include "entry/load-relay.h"

#define NODES   300
#define RELAYS  13
#define TARGETS 600

/* A table with its bytes. */
struct table {
	struct load_table t;
	char bytes[LOAD_TABLE_BYTES_MAX];
};

static void table_init(struct table *t, uint64_t node, uint64_t seq)
{
	*t = (struct table){
		.t = {.node = node, .start = 1, .seq = seq, .parts = 1}};
	t->t.entries.entries_val = t->bytes;
}

/* Send counts in parts to a callback. */
static void send_parts(GHashTable *counts, GHashTable *except, uint64_t node,
		       struct load_relay *relay, GHashTable *out)
{
	uint32_t parts = load_table_parts(g_hash_table_size(counts));

	for (uint32_t i = 0; i < parts; i++) {
		struct table t;

		table_init(&t, node, 2);
		t.t.part = i;
		t.t.parts = parts;
		load_table_encode(counts, except, &t.t);
		g_assert_true(relay ? load_relay_receive(relay, true, &t.t, 50)
				    : load_table_decode(&t.t, out));
	}
}

/*
 * 300 nodes with requests at 600 targets, 13 relays: after one exchange each
 * node has the exact sum of all others, so that no target's load is known only
 * to some.
 */
static void test_totals(void)
{
	GRand *rand = g_rand_new_with_seed(5);
	static uint16_t own[NODES][TARGETS];
	struct loads *loads[NODES];
	struct load_relay *relays[RELAYS];

	for (int i = 0; i < RELAYS; i++)
		relays[i] = load_relay_new();
	for (int i = 0; i < NODES; i++) {
		struct table t;

		loads[i] = loads_new((uint64_t)i + 1);
		for (int k = 0; k < 12; k++) {
			int target = g_rand_int_range(rand, 0, TARGETS);

			own[i][target]++;
			loads_add(loads[i], (uint64_t)target + 1, 1);
		}
		table_init(&t, 0, 0);
		loads_own_table(loads[i], &t.t);
		g_assert_true(load_relay_receive(relays[i % RELAYS], false,
						 &t.t, 40));
	}
	for (int a = 0; a < RELAYS; a++) {
		GHashTable *sums = load_relay_group(relays[a], 50);

		for (int b = 0; b < RELAYS; b++)
			if (a != b)
				send_parts(sums, NULL, 1000 + (uint64_t)a,
					   relays[b], NULL);
		g_hash_table_unref(sums);
	}
	for (int i = 0; i < NODES; i++) {
		struct load_relay *r = relays[i % RELAYS];
		GHashTable *total = load_relay_total(r, 60);
		uint32_t parts = load_table_parts(g_hash_table_size(total));

		g_assert_cmpuint(parts, >, 1);
		for (uint32_t p = 0; p < parts; p++) {
			struct table t;

			table_init(&t, 9, 1);
			t.t.part = p;
			t.t.parts = parts;
			load_table_encode(
				total, load_relay_counts_of(r, (uint64_t)i + 1),
				&t.t);
			g_assert_true(loads_receive_total(loads[i], &t.t, 70));
		}
		for (int k = 0; k < TARGETS; k++) {
			int others = 0;

			for (int n = 0; n < NODES; n++)
				others += n == i ? 0 : own[n][k];
			g_assert_cmpfloat(
				loads_remote(loads[i], (uint64_t)k + 1, 80), ==,
				others);
		}
	}
	for (int i = 0; i < NODES; i++)
		loads_free(loads[i]);
	for (int i = 0; i < RELAYS; i++)
		load_relay_free(relays[i]);
	g_rand_free(rand);
}

/* A node that has gone, or changed to another relay, is no longer counted. */
static void test_gone(void)
{
	struct load_relay *r = load_relay_new();
	GHashTable *counts = g_hash_table_new(NULL, NULL);
	struct table t;

	g_hash_table_insert(counts, GUINT_TO_POINTER(7), GINT_TO_POINTER(3));
	table_init(&t, 5, 1);
	load_table_encode(counts, NULL, &t.t);
	g_assert_true(load_relay_receive(r, false, &t.t, 1000));
	g_assert_cmpuint(g_hash_table_size(load_relay_total(r, 1100)), ==, 1);
	g_assert_cmpuint(g_hash_table_size(load_relay_total(r, 9000)), ==, 0);
	load_relay_free(r);
	g_hash_table_unref(counts);
}

/* An older table changes nothing; after a restart numbers begin again. */
static void test_order(void)
{
	struct load_relay *r = load_relay_new();
	GHashTable *counts = g_hash_table_new(NULL, NULL);
	struct table t;

	for (uint64_t seq = 2; seq >= 1; seq--) {
		g_hash_table_insert(counts, GUINT_TO_POINTER(7),
				    GINT_TO_POINTER(seq * 10));
		table_init(&t, 5, seq);
		load_table_encode(counts, NULL, &t.t);
		g_assert_true(load_relay_receive(r, false, &t.t, 100));
	}
	g_assert_cmpint(GPOINTER_TO_INT(g_hash_table_lookup(
				load_relay_total(r, 100), GUINT_TO_POINTER(7))),
			==, 20);
	t.t.start = 2;
	g_assert_true(load_relay_receive(r, false, &t.t, 200));
	g_assert_cmpint(GPOINTER_TO_INT(g_hash_table_lookup(
				load_relay_total(r, 200), GUINT_TO_POINTER(7))),
			==, 10);
	load_relay_free(r);
	g_hash_table_unref(counts);
}

static void test_malformed(void)
{
	struct load_relay *r = load_relay_new();
	struct table t;

	table_init(&t, 5, 1);
	t.t.entries.entries_len = 7; /* no whole number of entries */
	g_assert_false(load_relay_receive(r, false, &t.t, 100));
	table_init(&t, 5, 1);
	t.t.parts = 0;
	g_assert_false(load_relay_receive(r, false, &t.t, 100));
	table_init(&t, 5, 1);
	t.t.part = 1;
	g_assert_false(load_relay_receive(r, true, &t.t, 100));
	load_relay_free(r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/load-relay/totals", test_totals);
	g_test_add_func("/entry/load-relay/gone", test_gone);
	g_test_add_func("/entry/load-relay/order", test_order);
	g_test_add_func("/entry/load-relay/malformed", test_malformed);
	return g_test_run();
}
