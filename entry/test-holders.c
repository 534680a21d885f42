/* What nodes know of the targets that hold parts of prompts. */
#include "entry/follow.h"

#define TARGETS 3

static void fill(struct place_target *t)
{
	for (size_t i = 0; i < TARGETS; i++)
		t[i] = (struct place_target){
			.id = i + 1,
			.weight = 1,
			.gives = true,
		};
}

/* Give all that one has to tell to another. */
static size_t tell(struct holders *from, struct holders *to)
{
	struct held_entry v[HELD_MAX];
	size_t n, all = 0;

	while ((n = holds_next(from, v))) {
		holds_heard(to, v, n);
		all += n;
	}
	return all;
}

static void test_told(void)
{
	struct holders *a = holds_new(), *b = holds_new();
	struct prompt p = {.parts = {30, 20}, .part_count = 2};
	struct place_target t[TARGETS];
	size_t before, other;

	fill(t);
	/* What b knows by itself is only where the prompt usually goes. */
	before = holds_source(b, &p, t, TARGETS, 0);
	other = before == 1 ? 2 : 1;
	holds_note(a, &p, t[other].id);
	g_assert_cmpuint(tell(a, b), ==, 2);
	g_assert_cmpuint(holds_source(b, &p, t, TARGETS, 0), ==, other);
	g_assert_cmpuint(holds_source(b, &p, t, TARGETS, other), ==, SIZE_MAX);
	/* What was told is not told on, nor told again. */
	g_assert_cmpuint(tell(b, a), ==, 0);
	holds_note(a, &p, t[other].id);
	g_assert_cmpuint(tell(a, b), ==, 0);
	holds_free(a);
	holds_free(b);
}

/* Nobody to tell: what waits is bounded, and the newest is kept. */
static void test_bounded(void)
{
	struct holders *a = holds_new(), *b = holds_new();
	struct place_target t[TARGETS];
	struct prompt p = {.part_count = 1};

	fill(t);
	for (uint64_t i = 1; i <= 5000; i++) {
		p.parts[0] = i;
		holds_note(a, &p, t[i % 2].id);
	}
	g_assert_cmpuint(tell(a, b), <=, 256);
	g_assert_cmpuint(holds_source(b, &p, t, TARGETS, 2), ==, 5000 % 2);
	holds_free(a);
	holds_free(b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/holds/told", test_told);
	g_test_add_func("/entry/holds/bounded", test_bounded);
	return g_test_run();
}
