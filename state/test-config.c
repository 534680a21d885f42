/* Check and parsing of resources, and the lookups in a configuration. */
#include <string.h>

#include "state/state.h"

static json_t *parse(const char *text)
{
	json_t *j = json_loads(text, 0, NULL);

	g_assert_nonnull(j);
	return j;
}

static void test_faults(void)
{
	static const struct {
		enum resource_kind kind;
		const char *name, *spec;
		const char *want[3]; /* parts of errors; none: accepted */
	} cases[] = {
		{KIND_SERVICE, "s", "{\"kind\":\"model\",\"pool\":\"p\"}", {0}},
		{KIND_SERVICE,
		 "s",
		 "{\"kind\":\"modl\"}",
		 {"kind: one of model,plain", "pool: required"}},
		{KIND_SERVICE,
		 "S!",
		 "{\"kind\":\"plain\",\"pool\":\"\"}",
		 {"name: ", "pool: a string of 1"}},
		{KIND_ORGANISATION,
		 "o",
		 "{\"keys\":[],\"wieght\":2}",
		 {"wieght: unknown field"}},
		{KIND_ORGANISATION,
		 "o",
		 "{\"keys\":[{\"hash\":\"x\"}]}",
		 {"keys: a list of 0 to 16 keys"}},
		{KIND_ORGANISATION, "o", "[]", {"spec: an object"}},
		{KIND_INTENT,
		 "i",
		 "{\"service\":\"s\",\"priority\":10}",
		 {"priority: a whole number from 0 to 9"}},
		{KIND_INTENT,
		 "i",
		 "{\"service\":\"s\",\"targets\":[1]}",
		 {"targets: a list"}},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
		struct config *c = config_new(1);
		json_t *spec = parse(cases[i].spec);
		char *text;

		g_assert_true(config_add(c, cases[i].kind, cases[i].name, spec,
					 errors) == !cases[i].want[0]);
		g_ptr_array_add(errors, NULL);
		text = g_strjoinv("\n", (char **)errors->pdata);
		for (int k = 0; k < 3 && cases[i].want[k]; k++)
			g_assert_nonnull(strstr(text, cases[i].want[k]));
		g_free(text);
		json_decref(spec);
		config_unref(c);
		g_ptr_array_unref(errors);
	}
}

static void add(struct config *c, enum resource_kind k, const char *name,
		const char *text)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	json_t *spec = parse(text);

	g_assert_true(config_add(c, k, name, spec, errors));
	json_decref(spec);
	g_ptr_array_unref(errors);
}

static void test_intent_choice(void)
{
	struct config *c = config_new(1);

	add(c, KIND_INTENT, "all", "{\"service\":\"s\",\"priority\":1}");
	add(c, KIND_INTENT, "b",
	    "{\"service\":\"s\",\"organisation\":\"o\",\"priority\":2}");
	add(c, KIND_INTENT, "a",
	    "{\"service\":\"s\",\"organisation\":\"o\",\"priority\":3}");
	g_assert_cmpint(config_intent(c, "s", "o")->priority, ==, 3);
	g_assert_cmpint(config_intent(c, "s", "p")->priority, ==, 1);
	g_assert_null(config_intent(c, "t", "o"));
	config_unref(c);
}

static void test_refs(void)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct config *c = config_new(1);

	add(c, KIND_INTENT, "i", "{\"service\":\"s\",\"organisation\":\"o\"}");
	g_assert_false(config_check_refs(c, errors));
	g_assert_cmpuint(errors->len, ==, 2);
	add(c, KIND_SERVICE, "s", "{\"kind\":\"model\",\"pool\":\"p\"}");
	add(c, KIND_ORGANISATION, "o", "{\"keys\":[]}");
	g_assert_true(config_check_refs(c, errors));
	config_unref(c);
	g_ptr_array_unref(errors);
}

static void test_key(void)
{
	struct config *c = config_new(1);
	char *hash = key_hash(STR_LIT("secret"));
	char *spec = g_strdup_printf(
		"{\"keys\":[{\"hash\":\"%s\",\"role\":\"admin\"}]}", hash);

	add(c, KIND_ORGANISATION, "o", spec);
	g_assert_cmpint(config_key_owner(c, STR_LIT("secret"))->role, ==,
			ROLE_ADMIN);
	g_assert_null(config_key_owner(c, STR_LIT("Secret")));
	g_free(hash);
	g_free(spec);
	config_unref(c);
}

static void test_row_key(void)
{
	enum resource_kind k;
	const char *name;

	g_assert_true(resource_from_key("res/service/a/b", &k, &name));
	g_assert_cmpint(k, ==, KIND_SERVICE);
	g_assert_cmpstr(name, ==, "a/b");
	g_assert_false(resource_from_key("res/service/", &k, &name));
	g_assert_false(resource_from_key("res/servant/x", &k, &name));
	g_assert_false(resource_from_key("claim/x", &k, &name));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/state/config/faults", test_faults);
	g_test_add_func("/state/config/intent", test_intent_choice);
	g_test_add_func("/state/config/refs", test_refs);
	g_test_add_func("/state/config/key", test_key);
	g_test_add_func("/state/config/row-key", test_row_key);
	return g_test_run();
}
