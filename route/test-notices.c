/* Statements that nodes tell each other, in a fleet that loses messages. */
#include "route/notices.h"

#define NODES   370
#define FANOUT  4
#define TICK_MS 50

/* An older statement that arrives late replaces a newer one. */
static void test_latest_counts(void)
{
	struct notices *n = notices_new();
	struct notice late = {NOTICE_NODE_CUT, 7, 0, 900};

	notices_set(n, NOTICE_NODE_CUT, 7, 1, 1000);
	notices_receive(n, &late);
	g_assert_cmpint(notices_get(n, NOTICE_NODE_CUT, 7, 1100, 0), ==, 1);
	notices_set(n, NOTICE_NODE_CUT, 7, 0, 1200);
	g_assert_cmpint(notices_get(n, NOTICE_NODE_CUT, 7, 1300, 1), ==, 0);
	g_assert_cmpint(notices_get(n, NOTICE_NODE_CUT, 8, 1300, -5), ==, -5);
	notices_free(n);
}

/*
 * A faulty node names a time that no sum can hold: the target rests for ever,
 * or the sum wraps around.
 */
static void test_odd_values(void)
{
	struct notices *n = notices_new();
	struct notice rest = {NOTICE_TARGET_REST, 7, INT64_MIN, 1000};
	struct notice other = {(enum notice_kind)0xffffffff, 7, 1, 1000};

	notices_receive(n, &other);
	notices_receive(n, &rest);
	g_assert_cmpint(notices_get(n, NOTICE_TARGET_REST, 7, 2000, -1), ==, 0);
	rest.value = INT64_MAX;
	rest.at_ms = 1500;
	notices_receive(n, &rest);
	g_assert_cmpint(notices_get(n, NOTICE_TARGET_REST, 7, 2500, -1), ==,
			1000000000000 - 1000);
	notices_free(n);
}

/* What nobody confirms counts for ever, and fills the memory. */
static void test_expires(void)
{
	struct notices *n = notices_new();
	struct notice v[8];

	for (uint64_t id = 0; id < 100000; id++)
		notices_set(n, NOTICE_NODE_CUT, id, 1, 1000);
	g_assert_cmpint(notices_get(n, NOTICE_NODE_CUT, 1, 2000, 0), ==, 1);
	g_assert_cmpint(notices_get(n, NOTICE_NODE_CUT, 1, 20000, 0), ==, 0);
	g_assert_cmpuint(notices_list(n, 20000, v, 8), ==, 0);
	notices_expire(n, 20000);
	notices_set(n, NOTICE_NODE_CUT, 200000, 1, 20000);
	g_assert_cmpint(notices_get(n, NOTICE_NODE_CUT, 200000, 20001, 0), ==,
			1);
	notices_free(n);
}

/* A rest is over before or after its time at another node. */
static void test_rest_ends(void)
{
	struct notices *n = notices_new();
	struct notice v = {NOTICE_TARGET_REST, 3, 500, 1000};

	notices_receive(n, &v);
	g_assert_cmpint(notices_get(n, NOTICE_TARGET_REST, 3, 1100, 0), ==,
			400);
	g_assert_cmpint(notices_get(n, NOTICE_TARGET_REST, 3, 1600, 0), ==, 0);
	notices_free(n);
}

/* Nodes of a large fleet do not hear of a statement within ContactMs. */
static void test_spreads(void)
{
	struct notices *nodes[NODES];
	size_t know = 0;

	for (size_t i = 0; i < NODES; i++) {
		nodes[i] = notices_new();
		notices_set_rounds(nodes[i], 3, true);
	}
	notices_set(nodes[0], NOTICE_TARGET_LEAVING, 9, 1, 1000);
	for (int64_t now = 1000; now < 3000; now += TICK_MS)
		for (size_t i = 0; i < NODES; i++) {
			struct notice v[4];
			size_t n = notices_take_updates(nodes[i], v, 4);

			for (size_t k = 0; n && k < FANOUT; k++)
				if (g_random_double() > 0.05)
					notices_receive(
						nodes[g_random_int_range(
							0, NODES)],
						&v[0]);
		}
	for (size_t i = 0; i < NODES; i++) {
		know += notices_get(nodes[i], NOTICE_TARGET_LEAVING, 9, 3000,
				    0) == 1;
		notices_free(nodes[i]);
	}
	/* The few others are told when what is known is sent again. */
	g_assert_cmpuint(know, >=, NODES * 98 / 100);
}

/* The same statement is sent all the time, or not again in time. */
static void test_refresh(void)
{
	struct notices *n = notices_new();
	struct notice v[4];
	size_t sent = 0;

	for (int64_t now = 1000; now < 13000; now += TICK_MS) {
		notices_set(n, NOTICE_NODE_CUT, 1, 1, now);
		sent += notices_take_updates(n, v, 4);
	}
	g_assert_cmpuint(sent, >=, 4);
	g_assert_cmpuint(sent, <=, 8);
	notices_free(n);
}

/* Each node that learns the same from a target tells all others of it again. */
static void test_known_is_not_told(void)
{
	struct notices *n = notices_new();
	struct notice v = {NOTICE_TARGET_BRITTLE, 3, 5, 1000};

	notices_receive(n, &v);
	notices_set(n, NOTICE_TARGET_BRITTLE, 3, 5, 1100);
	g_assert_cmpuint(notices_take_updates(n, &v, 1), ==, 0);
	notices_set(n, NOTICE_TARGET_BRITTLE, 3, 6, 1200);
	g_assert_cmpuint(notices_take_updates(n, &v, 1), ==, 1);
	notices_free(n);
}

/* An evacuation lapses while nobody confirms it; its end is kept for ever. */
static void test_evacuation_lasts(void)
{
	struct notices *n = notices_new();
	struct notice v[2];

	notices_set(n, NOTICE_ZONE_EVACUATED, 5, 1, 1000);
	notices_expire(n, 90000000);
	g_assert_cmpint(notices_get(n, NOTICE_ZONE_EVACUATED, 5, 90000000, 0),
			==, 1);
	g_assert_cmpuint(notices_list(n, 90000000, v, 2), ==, 1);
	g_assert_cmpint(v[0].at_ms, ==, 1000);
	notices_set(n, NOTICE_ZONE_EVACUATED, 5, 0, 90000000);
	notices_expire(n, 90040000);
	g_assert_cmpuint(notices_list(n, 90040000, v, 2), ==, 0);
	notices_free(n);
}

/* Many statements about targets keep an evacuation from other nodes. */
static void test_evacuation_first(void)
{
	struct notices *n = notices_new();
	struct notice v[8];
	bool zones[20] = {false};

	for (uint64_t id = 0; id < 5000; id++)
		notices_set(n, NOTICE_TARGET_LEAVING, id, 1, 1000);
	g_assert_cmpuint(notices_take_urgent(n, v, 8), ==, 0);
	g_assert_cmpuint(notices_list_urgent(n, 1001, v, 8), ==, 0);
	notices_set_rounds(n, 2, false);
	notices_set(n, NOTICE_ZONE_EVACUATED, 0, 1, 1000);
	for (int round = 0; round < 2; round++) {
		g_assert_cmpuint(notices_take_urgent(n, v, 8), ==, 1);
		g_assert_cmpint(v[0].kind, ==, NOTICE_ZONE_EVACUATED);
	}
	g_assert_cmpuint(notices_take_urgent(n, v, 8), ==, 0);
	g_assert_cmpuint(notices_take_updates(n, v, 8), ==, 8);
	g_assert_cmpuint(notices_list_urgent(n, 1001, v, 8), ==, 1);
	g_assert_cmpint(v[0].kind, ==, NOTICE_ZONE_EVACUATED);
	/* Each of more zones than fit has its turn. */
	for (uint64_t id = 1; id < G_N_ELEMENTS(zones); id++)
		notices_set(n, NOTICE_ZONE_EVACUATED, id, 1, 1000);
	for (int i = 0; i < 5000 / 8; i++) {
		size_t k = notices_list(n, 1001, v, 8);

		for (size_t j = 0; j < k; j++)
			if (v[j].kind == NOTICE_ZONE_EVACUATED)
				zones[v[j].id] = true;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(zones); i++)
		g_assert_true(zones[i]);
	notices_free(n);
}

/*
 * A warm-up that is told of goes on after its end, or a kind that this build
 * does not know fills the memory and is sent on.
 */
static void test_cold(void)
{
	struct notices *n = notices_new();
	struct notice unknown = {NOTICE_KINDS, 7, 1, 1000}, v;

	notices_set_rounds(n, 1, true);
	notices_receive(n, &unknown);
	g_assert_cmpuint(notices_list(n, 1000, &v, 1), ==, 0);
	g_assert_cmpuint(notices_take_updates(n, &v, 1), ==, 0);
	/* The number is part of the protocol between builds. */
	g_assert_cmpint(NOTICE_ZONE_EVACUATED, ==, 4);
	g_assert_cmpint(NOTICE_TARGET_COLD, ==, 5);
	g_assert_cmpint(NOTICE_CAUSE_TRIED, ==, 6);
	notices_set(n, NOTICE_TARGET_COLD, 7, 5000, 1000);
	g_assert_cmpint(notices_get(n, NOTICE_TARGET_COLD, 7, 3000, 0), ==,
			3000);
	g_assert_cmpint(notices_get(n, NOTICE_TARGET_COLD, 7, 7000, 0), ==, 0);
	notices_free(n);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_random_set_seed(1);
	g_test_add_func("/notices/latest-counts", test_latest_counts);
	g_test_add_func("/notices/odd-values", test_odd_values);
	g_test_add_func("/notices/expires", test_expires);
	g_test_add_func("/notices/rest-ends", test_rest_ends);
	g_test_add_func("/notices/spreads", test_spreads);
	g_test_add_func("/notices/refresh", test_refresh);
	g_test_add_func("/notices/cold", test_cold);
	g_test_add_func("/notices/known-is-not-told", test_known_is_not_told);
	g_test_add_func("/notices/evacuation-lasts", test_evacuation_lasts);
	g_test_add_func("/notices/evacuation-first", test_evacuation_first);
	return g_test_run();
}
