/* The parser of server-sent events. */
#include <string.h>

#include "http/http.h"

static void test_events(void)
{
	static const struct {
		const char *in;
		size_t used;
		const char *id, *data, *comment;
	} cases[] = {
		{"", 0, NULL, NULL, NULL},
		{"data: x\n", 0, NULL, NULL, NULL},
		{"data: x\n\n", 9, "", "x", NULL},
		{"id: a:1\ndata:y\n\nrest", 16, "a:1", "y", NULL},
		{"id: a\r\ndata: z\r\n\r\n", 18, "a", "z", NULL},
		{": comment\n\ndata: q\n\n", 20, "", "q", "comment"},
		{": a b\n\ndata: q", 0, NULL, NULL, "a b"},
		{": cut", 0, NULL, NULL, NULL},
		{"event: e\ndata: r\n\n", 18, "", "r", NULL},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct sse_event e;

		g_assert_cmpuint(sse_next(cases[i].in, strlen(cases[i].in), &e),
				 ==, cases[i].used);
		g_assert_true(str_eq(e.comment, str_c(cases[i].comment)));
		if (!cases[i].used)
			continue;
		g_assert_true(str_eq(e.id, str_c(cases[i].id)));
		g_assert_true(str_eq(e.data, str_c(cases[i].data)));
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http/sse/events", test_events);
	return g_test_run();
}
