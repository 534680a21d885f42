/* Deltas give the new text again, are small, and malformed ones are refused. */
#include <string.h>

#include "entry/text-delta.h"

#define TEXT_MAX (1 << 20)

/* A configuration with n routes, one of them with another timeout. */
static GString *make_text(int n, int changed, int version)
{
	GString *s = g_string_new("{\"Routes\":[");

	for (int i = 0; i < n; i++)
		g_string_append_printf(
			s, "%s{\"Name\":\"r-%d\",\"TimeoutMs\":%d}",
			i ? "," : "", i * 7919, i == changed ? 1 : 3000);
	g_string_append_printf(s, "],\"Version\":%d}", version);
	return s;
}

static struct str str_of(const GString *s)
{
	return (struct str){s->str, s->len};
}

static void check(GString *old, GString *new, size_t max_bytes)
{
	GString *delta = text_delta_make(str_of(old), str_of(new));
	GString *out = text_delta_apply(str_of(old), str_of(delta), TEXT_MAX);

	g_assert_nonnull(out);
	g_assert_cmpstr(out->str, ==, new->str);
	g_assert_cmpuint(delta->len, <=, max_bytes);
	g_string_free(delta, TRUE);
	g_string_free(out, TRUE);
	g_string_free(old, TRUE);
	g_string_free(new, TRUE);
}

/* One route of 1,500 changes, is added, or goes: a message carries it. */
static void test_small(void)
{
	check(make_text(1500, -1, 1), make_text(1500, 700, 2), 500);
	check(make_text(1500, 700, 1), make_text(1500, 3, 2), 500);
	check(make_text(1500, -1, 1), make_text(1501, -1, 2), 500);
	check(make_text(1501, -1, 1), make_text(1500, -1, 2), 500);
	check(make_text(3, -1, 1), make_text(0, -1, 2), 500);
	check(g_string_new(""), make_text(2, -1, 2), 500);
}

/* Random texts of few different parts, so that copies start anywhere. */
static void test_random(void)
{
	GRand *r = g_rand_new_with_seed(1);

	for (int i = 0; i < 3000; i++) {
		GString *t[2];

		for (int k = 0; k < 2; k++) {
			t[k] = g_string_new(NULL);
			for (int n = g_rand_int_range(r, 0, 30); n > 0; n--)
				g_string_append_c(
					t[k], "ab{"[g_rand_int_range(r, 0, 3)]);
		}
		check(t[0], t[1], TEXT_MAX);
	}
	g_rand_free(r);
}

/* Any bytes are refused or give a text within the limit. */
static void test_malformed(void)
{
	GRand *r = g_rand_new_with_seed(2);
	struct str old = STR_LIT("{abc}{def}");

	for (int i = 0; i < 20000; i++) {
		char p[24];
		size_t n = (size_t)g_rand_int_range(r, 1, sizeof(p));
		GString *out;

		for (size_t k = 0; k < n; k++)
			p[k] = (char)(g_rand_boolean(r)
					      ? 0
					      : g_rand_int_range(r, 0, 90));
		p[0] = g_rand_boolean(r) ? 'C' : 'I';
		out = text_delta_apply(old, (struct str){p, n}, 20);
		if (!out)
			continue;
		g_assert_cmpuint(out->len, <=, 20);
		g_string_free(out, TRUE);
	}
	g_assert_null(text_delta_apply(old, STR_LIT("I"), 20));
	g_assert_null(text_delta_apply(old, STR_LIT("X"), 20));
	g_rand_free(r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/text-delta/small", test_small);
	g_test_add_func("/entry/text-delta/random", test_random);
	g_test_add_func("/entry/text-delta/malformed", test_malformed);
	return g_test_run();
}
