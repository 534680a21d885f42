/* Length-counted strings, with NUL bytes inside. */
#include <talloc.h>

#include "base/base.h"

static void test_eq(void)
{
	static const struct {
		struct str a, b;
		bool eq;
	} cases[] = {
		{{"", 0}, {NULL, 0}, true},
		{{"ab", 2}, {"ab", 2}, true},
		{{"ab", 2}, {"abc", 3}, false},
		{{"a\0b", 3}, {"a\0c", 3}, false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_true(str_eq(cases[i].a, cases[i].b) == cases[i].eq);
}

static void test_dup(void)
{
	void *arena = talloc_new(NULL);
	struct str s = str_dup(arena, (struct str){"a\0b", 3});

	g_assert_cmpmem(s.data, s.len + 1, "a\0b", 4);
	talloc_free(arena);
}

static void test_hash_depends_on_seed(void)
{
	g_assert_cmpuint(str_hash(STR_LIT("x"), 1), !=,
			 str_hash(STR_LIT("x"), 2));
	g_assert_cmpuint(str_hash(STR_LIT("x"), 1), ==,
			 str_hash(str_c("x"), 1));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/str/eq", test_eq);
	g_test_add_func("/base/str/dup", test_dup);
	g_test_add_func("/base/str/hash", test_hash_depends_on_seed);
	return g_test_run();
}
