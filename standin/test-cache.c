#include "standin/standin.h"

static json_t *chat(int turns)
{
	json_t *m = json_array();

	for (int i = 0; i < turns; i++)
		json_array_append_new(m, json_pack("{s:s,s:s}", "role", "user",
						   "content",
						   "0123456789abcdefghijklm"));
	return m;
}

static void test_prefix_is_reused(void)
{
	struct prefix_cache *c = prefix_cache_new(1000);
	json_t *one = chat(1);
	json_t *two = chat(2);

	g_assert_cmpint(prefix_cache_use(c, one), ==, 0);
	g_assert_cmpint(prefix_cache_use(c, two), ==, prompt_tokens(29));
	g_assert_cmpint(prefix_cache_use(c, two), ==, prompt_tokens(58));
	json_decref(one);
	json_decref(two);
	prefix_cache_free(c);
}

static void test_oldest_goes_first(void)
{
	struct prefix_cache *c = prefix_cache_new(20);
	struct cache_event e[8];

	prefix_cache_put(c, 1, 10);
	prefix_cache_put(c, 2, 10);
	prefix_cache_put(c, 1, 10);
	prefix_cache_put(c, 3, 10);
	g_assert_cmpuint(prefix_cache_events(c, 2, e, 8), ==, 2);
	g_assert_false(e[0].stored);
	g_assert_cmpuint(e[0].prefix, ==, 2);
	g_assert_true(e[1].stored);
	g_assert_cmpint(prefix_cache_tokens(c), ==, 20);
	prefix_cache_free(c);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/standin/cache/reuse", test_prefix_is_reused);
	g_test_add_func("/standin/cache/lru", test_oldest_goes_first);
	return g_test_run();
}
