/* The words of an answer and the text of a prompt. */
#include "standin/standin.h"

static void test_words_depend_on_prompt(void)
{
	char first[32], same_prompt[32], other_prompt[32];

	answer_word("x", 0, first, sizeof(first));
	answer_word("x", 0, same_prompt, sizeof(same_prompt));
	answer_word("y", 0, other_prompt, sizeof(other_prompt));
	g_assert_cmpstr(first, ==, same_prompt);
	g_assert_cmpstr(first, !=, other_prompt);
}

static void test_prompt_text(void)
{
	json_t *messages = json_pack("[{s:s,s:s},{s:s}]", "role", "user",
				     "content", "hi", "role", "system");
	char *text = prompt_text(messages);

	g_assert_cmpstr(text, ==, "user:hi\nsystem:\n");
	g_free(text);
	json_decref(messages);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/standin/answer/word", test_words_depend_on_prompt);
	g_test_add_func("/standin/answer/prompt", test_prompt_text);
	return g_test_run();
}
