/* Order of targets, cache hint, power of two choices, cost of KV moves. */
#include <string.h>

#include "route/test-random.h"

/* First the hint, then the index, then rendezvous order; none twice. */
static void test_order(void)
{
	struct rendezvous_candidate t[12], sorted[12];
	struct hint h = {.target = 5};
	struct choose_input in = {.key = 77, .targets = t, .count = 12};
	uint64_t out[CHOOSE_MAX];

	for (size_t i = 0; i < 12; i++)
		t[i] = (struct rendezvous_candidate){.id = i + 1, .index = i};
	memcpy(sorted, t, sizeof(t));
	rendezvous_sort(77, sorted, 12);
	g_assert_cmpuint(choose_targets(&in, out), ==, CHOOSE_MAX);
	for (int i = 0; i < CHOOSE_MAX; i++)
		g_assert_cmpuint(out[i], ==, sorted[i].id);
	in.hint = &h;
	in.indexed = 9;
	g_assert_cmpuint(choose_targets(&in, out), ==, CHOOSE_MAX);
	g_assert_cmpuint(out[0], ==, 5);
	g_assert_cmpuint(out[1], ==, 9);
	for (int i = 0; i < CHOOSE_MAX; i++)
		for (int k = 0; k < i; k++)
			g_assert_cmpuint(out[i], !=, out[k]);
	/* Hints and index entries for a target that left are ignored. */
	h.target = 99;
	in.indexed = 98;
	choose_targets(&in, out);
	g_assert_cmpuint(out[0], ==, sorted[0].id);
}

/* Every hint survives the text form; damaged text is rejected. */
static void test_hint(void)
{
	GRand *r = g_rand_new_with_seed(61);
	struct hint out;
	char s[HINT_SIZE];

	for (int i = 0; i < 1000; i++) {
		struct hint h = {(uint64_t)g_rand_int(r) << 32 | g_rand_int(r),
				 (int64_t)g_rand_int(r) << 20};
		int k = g_rand_int_range(r, 0, HINT_SIZE - 3);

		hint_encode(&h, s);
		g_assert_true(hint_decode(s, strlen(s), &out));
		g_assert_cmpuint(out.target, ==, h.target);
		g_assert_cmpint(out.at_ms, ==, h.at_ms);
		g_assert_false(hint_decode(s, (size_t)k, &out));
		s[k] = "gG -z\n\x80Z"[i % 8];
		g_assert_true(k == 16 && s[k] == '-'
				      ? hint_decode(s, strlen(s), &out)
				      : !hint_decode(s, strlen(s), &out));
	}
	g_assert_false(hint_decode("", 0, &out));
	g_rand_free(r);
}

static void test_wait(void)
{
	g_assert_cmpint(choose_wait_ms(0, 8000), ==, 0);
	g_assert_cmpint(choose_wait_ms(4000, 8000), ==, 500);
}

/*
 * Balls into bins: with two choices the fullest bin stays far below that of a
 * single random choice.
 */
static void test_p2c(void)
{
	GRand *r = g_rand_new_with_seed(62);
	struct p2c_load l[100], single[100];
	int64_t max_two = 0, max_single = 0;

	for (uint64_t i = 0; i < 100; i++)
		l[i] = single[i] = (struct p2c_load){.target = i};
	for (int i = 0; i < 10000; i++) {
		l[p2c_choose(l, 100, SIZE_MAX, 0, random_of(r))].sent_work++;
		single[g_rand_int_range(r, 0, 100)].sent_work++;
	}
	for (int i = 0; i < 100; i++) {
		max_two = MAX(max_two, l[i].sent_work);
		max_single = MAX(max_single, single[i].sent_work);
	}
	g_assert_cmpint(max_two, <=, 105);
	g_assert_cmpint(max_single, >, 120);
	l[3].work = 50;
	l[3].sent_work = 0;
	g_assert_cmpuint(p2c_choose(l, 100, 3, 51, random_of(r)), ==, 3);
	for (int i = 0; i < 50; i++)
		g_assert_cmpuint(p2c_choose(l, 2, 1, 0, random_of(r)), <, 2);
	g_rand_free(r);
}

/* A move is cheaper from the length at which it makes up for its set-up. */
static void test_kv(void)
{
	struct kv_costs fast = {8000, 160000, 3e9, 31, 0.5};
	struct kv_costs slow = {8000, 160000, 1e9, 30, 0.5};
	int64_t min_tokens = kv_move_min_tokens(&fast);
	double recompute_ms = 1000.0 * (double)min_tokens / 8000;
	double move_ms =
		1.5 * (31 + 1000.0 * (double)min_tokens * 160000 / 3e9);

	g_assert_true(kv_move_is_cheaper(&fast, min_tokens));
	g_assert_false(kv_move_is_cheaper(&fast, min_tokens - 1));
	g_assert_cmpfloat(move_ms, <, recompute_ms);
	g_assert_cmpfloat(move_ms + 1, >, recompute_ms);
	g_assert_cmpint(kv_move_min_tokens(&slow), ==, INT64_MAX);
	g_assert_false(kv_move_is_cheaper(&slow, 1000000));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/choose/order", test_order);
	g_test_add_func("/route/choose/wait", test_wait);
	g_test_add_func("/route/hint", test_hint);
	g_test_add_func("/route/p2c", test_p2c);
	g_test_add_func("/route/kv", test_kv);
	return g_test_run();
}
