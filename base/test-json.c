/* Decoding of objects of which parts are unreadable. */
#include <string.h>

#include "base/base.h"

#define DEEP 100000

static json_t *load(const char *text, size_t *dropped)
{
	return json_load_readable(text, strlen(text), dropped);
}

/* An unreadable part takes other parts with it, or passes as readable. */
static void test_parts(void)
{
	static const struct {
		const char *text, *want; /* NULL: rejected as a whole */
		size_t dropped;
	} cases[] = {
		{"{}", "{}", 0},
		{" {\"a\":[1,2]} ", "{\"a\":[1,2]}", 0},
		{"{\"a\":[1,1e400,2],\"b\":3}", "{\"a\":[1,2],\"b\":3}", 1},
		{"{\"a\":[1e400],\"b\":[]}", "{\"a\":[],\"b\":[]}", 1},
		{"{\"a\":[{\"k\":\"x\",\"v\":99999999999999999999}]}",
		 "{\"a\":[{\"k\":\"x\"}]}", 1},
		{"{\"a\":[{\"k\":\"\\u0000\",\"v\":1},{\"v\":2}]}",
		 "{\"a\":[{\"v\":1},{\"v\":2}]}", 1},
		{"{\"a\":[{\"k\\u0000\":1,\"v\":1}]}", "{\"a\":[{\"v\":1}]}",
		 1},
		{"{\"a\":[{7:1,\"v\":1}]}", "{\"a\":[{\"v\":1}]}", 1},
		{"{\"a\":[\"\xff\", \"]},\\\"\", nan, 5]}",
		 "{\"a\":[\"]},\\\"\",5]}", 2},
		{"{\"a\":[{\"v\":{\"w\":1e400},\"x\":1}]}",
		 "{\"a\":[{\"x\":1}]}", 1},
		{"{\"a\":[1,,2]}", "{\"a\":[1,2]}", 1},
		{"{\"a\":[1e400,{\"v\" 1}]}", "{\"a\":[]}", 2},
		/* A field of the object itself. */
		{"{\"a\":[1],\"b\":1e400}", NULL, 0},
		{"{\"a\":[1],\"\\u0000\":1}", NULL, 0},
		/* No whole object. */
		{"", NULL, 0},
		{"[]", NULL, 0},
		{"7", NULL, 0},
		{"{", NULL, 0},
		{"{\"a\":[1e400", NULL, 0},
		{"{\"a\":[1e400]", NULL, 0},
		{"{\"a\":[1e400]}}", NULL, 0},
		{"{\"a\":[1e400]} x", NULL, 0},
		{"{\"a\":[1e400,\"]}", NULL, 0},
		{"{\"a\":[1e400,\"\\", NULL, 0},
		{"{\"a\":[1e400]\"b\":1}", NULL, 0},
		{"{\"a\" [1e400]}", NULL, 0},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		size_t dropped;
		json_t *j = load(cases[i].text, &dropped);
		char *text = j ? json_dumps(j, JSON_COMPACT) : NULL;

		g_test_message("%s", cases[i].text);
		g_assert_cmpstr(text, ==, cases[i].want);
		if (j)
			g_assert_cmpuint(dropped, ==, cases[i].dropped);
		json_decref(j);
		free(text);
	}
}

/* The nesting of one element exhausts the stack. */
static void test_deep(void)
{
	static const char *const brackets[] = {"[", "{\"a\":", "]", "{"};

	for (size_t i = 0; i < G_N_ELEMENTS(brackets); i++) {
		GString *s = g_string_new("{\"a\":[1,");
		size_t dropped;
		json_t *j;

		for (int k = 0; k < DEEP; k++)
			g_string_append(s, brackets[i]);
		j = json_load_readable(s->str, s->len, &dropped);
		g_assert_null(j);
		for (int k = 0; k < DEEP; k++)
			g_string_append(s, i ? "}" : "]");
		g_string_append(s, ",2]}");
		j = json_load_readable(s->str, s->len, &dropped);
		if (i < 2) {
			const json_t *list = json_object_get(j, "a");
			size_t n = json_array_size(list);

			g_assert_cmpuint(dropped, >, 0);
			g_assert_cmpuint(n, >=, 2);
			g_assert_cmpint(
				json_integer_value(json_array_get(list, n - 1)),
				==, 2);
		}
		json_decref(j);
		g_string_free(s, TRUE);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/json/parts", test_parts);
	g_test_add_func("/json/deep", test_deep);
	return g_test_run();
}
