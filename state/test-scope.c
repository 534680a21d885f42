/* Which changes an organisation's admin may make. */
#include <string.h>

#include "state/state.h"

#define KEY(role)                                                              \
	"{\"hash\":"                                                           \
	"\"00000000000000000000000000000000"                                   \
	"00000000000000000000000000000000\",\"role\":\"" role "\"}"

static void test_admin(void)
{
	static const struct {
		enum resource_kind kind;
		const char *name, *was, *is;
		const char *want; /* part of the errors; NULL: allowed */
	} cases[] = {
		{KIND_ORGANISATION, "o", "{\"weight\":2,\"keys\":[]}",
		 "{\"weight\":2,\"keys\":[" KEY("admin") "]}", NULL},
		{KIND_ORGANISATION, "o", "{\"weight\":2,\"keys\":[]}",
		 "{\"weight\":3,\"keys\":[]}", "weight: only an operator"},
		{KIND_ORGANISATION, "o", "{\"concurrent\":2,\"keys\":[]}",
		 "{\"keys\":[]}", "concurrent: only an operator"},
		{KIND_ORGANISATION, "o", "{\"keys\":[]}",
		 "{\"keys\":[" KEY("operator") "]}", "operator's key"},
		{KIND_ORGANISATION, "o", "{\"keys\":[]}", NULL,
		 "only an operator may create or delete"},
		{KIND_ORGANISATION, "o", NULL, "{\"keys\":[]}",
		 "only an operator may create or delete"},
		{KIND_ORGANISATION, "p", "{\"keys\":[]}", "{\"keys\":[]}",
		 "not the admin's"},
		{KIND_SERVICE, "s", NULL, "{}", "not the admin's"},
		{KIND_INTENT, "i", NULL,
		 "{\"service\":\"s\",\"organisation\":\"o\","
		 "\"targets\":[\"e\"]}",
		 NULL},
		{KIND_INTENT, "i", NULL, "{\"service\":\"s\"}",
		 "not the admin's"},
		{KIND_INTENT, "i", "{\"service\":\"s\",\"organisation\":\"p\"}",
		 "{\"service\":\"s\",\"organisation\":\"o\"}",
		 "not the admin's"},
		{KIND_INTENT, "i", "{\"service\":\"s\",\"organisation\":\"o\"}",
		 "{\"service\":\"s\",\"organisation\":\"p\"}",
		 "not the admin's"},
		{KIND_INTENT, "i", "{\"service\":\"s\",\"organisation\":\"o\"}",
		 "{\"service\":\"s\",\"organisation\":\"o\","
		 "\"priority\":9}",
		 "priority: only an operator"},
		{KIND_INTENT, "i", "{\"service\":\"s\",\"organisation\":\"o\"}",
		 NULL, NULL},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
		const char *was = cases[i].was, *is = cases[i].is;
		json_t *a = was ? json_loads(was, 0, NULL) : NULL;
		json_t *b = is ? json_loads(is, 0, NULL) : NULL;
		char *text;

		g_assert_true(scope_can_change("o", cases[i].kind,
					       cases[i].name, a, b,
					       errors) == !cases[i].want);
		g_ptr_array_add(errors, NULL);
		text = g_strjoinv("\n", (char **)errors->pdata);
		if (cases[i].want)
			g_assert_nonnull(strstr(text, cases[i].want));
		else
			g_assert_cmpstr(text, ==, "");
		g_free(text);
		json_decref(a);
		json_decref(b);
		g_ptr_array_unref(errors);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/state/scope/admin", test_admin);
	return g_test_run();
}
