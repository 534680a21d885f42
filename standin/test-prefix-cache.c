/* The prefix cache of the engine stand-in. */
#include "standin/standin.h"

static json_t *chat_of(int turns)
{
	json_t *messages = json_array();

	for (int i = 0; i < turns; i++)
		json_array_append_new(messages,
				      json_pack("{s:s,s:s}", "role", "user",
						"content",
						"0123456789abcdefghijklm"));
	return messages;
}

static void test_finds_cached_prefix(void)
{
	struct prefix_cache *c = prefix_cache_new(1000);
	json_t *one_turn = chat_of(1);
	json_t *two_turns = chat_of(2);

	g_assert_cmpint(prefix_cache_add_prompt(c, one_turn), ==, 0);
	g_assert_cmpint(prefix_cache_add_prompt(c, two_turns), ==,
			prompt_tokens(29));
	g_assert_cmpint(prefix_cache_add_prompt(c, two_turns), ==,
			prompt_tokens(58));
	json_decref(one_turn);
	json_decref(two_turns);
	prefix_cache_free(c);
}

static void test_evicts_least_recent(void)
{
	struct prefix_cache *c = prefix_cache_new(20);
	struct cache_event events[8];

	prefix_cache_put(c, 1, 10);
	prefix_cache_put(c, 2, 10);
	prefix_cache_put(c, 1, 10);
	prefix_cache_put(c, 3, 10);
	g_assert_cmpuint(prefix_cache_events(c, 2, events, 8), ==, 2);
	g_assert_false(events[0].stored);
	g_assert_cmpuint(events[0].prefix, ==, 2);
	g_assert_true(events[1].stored);
	g_assert_cmpint(prefix_cache_used_tokens(c), ==, 20);
	prefix_cache_free(c);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/standin/cache/reuse", test_finds_cached_prefix);
	g_test_add_func("/standin/cache/lru", test_evicts_least_recent);
	return g_test_run();
}
