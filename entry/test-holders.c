/* Tests of the index of prompt holders and of its reports between nodes. */
#include "entry/store-clients.h"

#define TARGETS 3

static void init_targets(struct place_target *t)
{
	for (size_t i = 0; i < TARGETS; i++)
		t[i] = (struct place_target){
			.id = i + 1,
			.weight = 1,
			.can_export = true,
		};
}

/* Deliver all unsent entries; return their number. */
static size_t deliver(struct holders *from, struct holders *to)
{
	struct prompt_holder v[HOLDERS_PER_REPORT_MAX];
	size_t n, sent = 0;

	while ((n = holders_next_unsent(from, v))) {
		holders_receive(to, v, n);
		sent += n;
	}
	return sent;
}

static void test_report(void)
{
	struct holders *a = holders_new(), *b = holders_new();
	struct prompt p = {.parts = {30, 20}, .part_count = 2};
	struct place_target t[TARGETS];
	size_t usual, holder;

	init_targets(t);
	/* Without reports b only knows the rendezvous choice of the prompt. */
	usual = holders_fetch_source(b, &p, t, TARGETS, 0);
	holder = usual == 1 ? 2 : 1;
	holders_record(a, &p, t[holder].id);
	g_assert_cmpuint(deliver(a, b), ==, 2);
	g_assert_cmpuint(holders_fetch_source(b, &p, t, TARGETS, 0), ==,
			 holder);
	g_assert_cmpuint(holders_fetch_source(b, &p, t, TARGETS, holder), ==,
			 SIZE_MAX);
	/* Received entries are not forwarded, and known ones not resent. */
	g_assert_cmpuint(deliver(b, a), ==, 0);
	holders_record(a, &p, t[holder].id);
	g_assert_cmpuint(deliver(a, b), ==, 0);
	holders_free(a);
	holders_free(b);
}

/* The queue of unsent entries is bounded, and keeps the newest ones. */
static void test_bounded(void)
{
	struct holders *a = holders_new(), *b = holders_new();
	struct place_target t[TARGETS];
	struct prompt p = {.part_count = 1};

	init_targets(t);
	for (uint64_t i = 1; i <= 5000; i++) {
		p.parts[0] = i;
		holders_record(a, &p, t[i % 2].id);
	}
	g_assert_cmpuint(deliver(a, b), <=, 256);
	g_assert_cmpuint(holders_fetch_source(b, &p, t, TARGETS, 2), ==,
			 5000 % 2);
	holders_free(a);
	holders_free(b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/holds/told", test_report);
	g_test_add_func("/entry/holds/bounded", test_bounded);
	return g_test_run();
}
