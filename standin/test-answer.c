#include "standin/standin.h"

static void test_words_depend_on_prompt(void)
{
	char a[32], b[32], c[32];

	answer_word("x", 0, a, sizeof(a));
	answer_word("x", 0, b, sizeof(b));
	answer_word("y", 0, c, sizeof(c));
	g_assert_cmpstr(a, ==, b);
	g_assert_cmpstr(a, !=, c);
}

static void test_prompt_text(void)
{
	json_t *m = json_pack("[{s:s,s:s},{s:s}]", "role", "user", "content",
			      "hi", "role", "system");
	char *s = prompt_text(m);

	g_assert_cmpstr(s, ==, "user:hi\nsystem:\n");
	g_free(s);
	json_decref(m);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/standin/answer/word", test_words_depend_on_prompt);
	g_test_add_func("/standin/answer/prompt", test_prompt_text);
	return g_test_run();
}
