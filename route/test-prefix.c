/* Prefix index: compared with a plain list, longest match, bounded size. */
#include <string.h>

#include "route/test-random.h"

#define TARGETS  4
#define PREFIXES 500

/* Reference: the holders of each prefix by the events applied, newest first. */
struct model {
	uint64_t holders[PREFIXES][TARGETS + 1]; /* 0 ends the list */
	uint64_t seq[TARGETS + 1];
};

static void model_drop(uint64_t *list, uint64_t target)
{
	uint64_t *to = list;

	for (; *list; list++)
		if (*list != target)
			*to++ = *list;
	*to = 0;
}

static void model_apply(struct model *m, const struct prefix_event *ev)
{
	if (ev->seq <= m->seq[ev->target])
		return;
	m->seq[ev->target] = ev->seq;
	model_drop(m->holders[ev->prefix], ev->target);
	if (!ev->stored)
		return;
	memmove(&m->holders[ev->prefix][1], &m->holders[ev->prefix][0],
		(TARGETS - 1) * sizeof(uint64_t));
	m->holders[ev->prefix][0] = ev->target;
}

static bool model_holds(const struct model *m, uint64_t prefix, uint64_t target)
{
	for (const uint64_t *p = m->holders[prefix]; *p; p++)
		if (*p == target)
			return true;
	return false;
}

/* A tenth of the events is lost; some arrive twice or out of order. */
static void test_against_model(void)
{
	GRand *r = g_rand_new_with_seed(51);
	struct prefix_index *x = prefix_index_new(1 << 19);
	struct model m = {0};
	uint64_t seq[TARGETS + 1] = {0};

	for (int i = 0; i < 50000; i++) {
		uint64_t target = (uint64_t)g_rand_int_range(r, 1, TARGETS + 1);
		uint64_t seq_back =
			g_rand_int_range(r, 0, 20) ? 0 : MIN(seq[target], 3);
		struct prefix_event ev = {
			.target = target,
			.seq = seq[target] + 1 - seq_back,
			.prefix = (uint64_t)g_rand_int_range(r, 0, PREFIXES),
			.stored = g_rand_boolean(r),
		};
		uint64_t prefix = (uint64_t)g_rand_int_range(r, 0, PREFIXES);
		uint64_t held[PREFIX_MAX_HOLDERS];
		size_t depth, count;

		seq[target]++;
		if (g_rand_int_range(r, 0, 10) == 0)
			continue;
		if (g_rand_int_range(r, 0, 5000) == 0) {
			prefix_index_drop_target(x, target);
			for (int k = 0; k < PREFIXES; k++)
				model_drop(m.holders[k], target);
			m.seq[target] = 0;
		}
		prefix_index_apply(x, &ev);
		model_apply(&m, &ev);
		g_assert_cmpuint(
			prefix_index_find_longest(x, &prefix, 1, &depth), ==,
			m.holders[prefix][0]);
		count = prefix_index_holders(x, prefix, held);
		for (size_t k = 0; k < count; k++)
			g_assert_cmpuint(held[k], ==, m.holders[prefix][k]);
		g_assert_cmpuint(m.holders[prefix][count], ==, 0);
		for (uint64_t k = 1; k <= TARGETS; k++)
			g_assert_cmpint(prefix_index_holds(x, prefix, k), ==,
					model_holds(&m, prefix, k));
	}
	prefix_index_free(x);
	g_rand_free(r);
}

/* The longest prefix that any target holds is found. */
static void test_longest(void)
{
	struct prefix_index *x = prefix_index_new(64);
	uint64_t chat[] = {30, 20, 10};
	struct prefix_event c[] = {{1, 1, 10, true}, {2, 1, 20, true}};
	size_t depth = 9;

	g_assert_cmpuint(prefix_index_find_longest(x, chat, 3, &depth), ==, 0);
	prefix_index_apply(x, &c[0]);
	g_assert_cmpuint(prefix_index_find_longest(x, chat, 3, &depth), ==, 1);
	prefix_index_apply(x, &c[1]);
	g_assert_cmpuint(prefix_index_find_longest(x, chat, 3, &depth), ==, 2);
	g_assert_cmpuint(depth, ==, 1);
	prefix_index_free(x);
}

/* A full index keeps the entries in use and drops the others. */
static void test_bounded(void)
{
	struct prefix_index *x = prefix_index_new(1024);
	uint64_t in_use = 7;
	size_t depth, held = 0;

	for (uint64_t i = 1; i <= 100000; i++) {
		struct prefix_event ev = {1, i, i, true};

		prefix_index_apply(x, &ev);
		if (i > in_use)
			g_assert_cmpuint(prefix_index_find_longest(x, &in_use,
								   1, &depth),
					 ==, 1);
	}
	for (uint64_t i = 1; i <= 100000; i++)
		held += prefix_index_find_longest(x, &i, 1, &depth) != 0;
	g_assert_cmpuint(held, <=, 1024);
	g_assert_cmpuint(held, >, 900);
	prefix_index_free(x);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/prefix/naive", test_against_model);
	g_test_add_func("/route/prefix/longest", test_longest);
	g_test_add_func("/route/prefix/bounded", test_bounded);
	return g_test_run();
}
