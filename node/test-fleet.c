/* Parsing of the platform's instance list. */
#include "node/node.h"

/* Targets and nodes are told apart by role; malformed entries are skipped. */
static void test_roles(void)
{
	json_t *instances = json_loads(
		"[{\"name\":\"e1\",\"role\":\"engine\",\"pool\":\"p\","
		"\"address\":\"127.0.0.1:1\",\"state\":\"leaving\"},"
		"{\"name\":\"n1\",\"role\":\"node\","
		"\"address\":\"127.0.0.1:2\"},"
		"{\"name\":\"broken\"},17]",
		0, NULL);
	struct fleet *fleet = fleet_from_instances(instances);

	g_assert_cmpuint(fleet->targets->len, ==, 1);
	g_assert_cmpuint(fleet->peers->len, ==, 1);
	g_assert_true(fleet_target(fleet, "e1")->leaving);
	g_assert_null(fleet_target(fleet, "n1"));
	fleet_unref(fleet);
	json_decref(instances);
}

/* Instances that can't be used, and what they would be taken for. */
static const char *const unusable[] = {
	"17",
	"null",
	"[]",
	"{}",
	"{\"name\":7,\"address\":\"127.0.0.1:1\"}",
	"{\"name\":\"\",\"address\":\"127.0.0.1:1\"}",
	"{\"name\":\"x\"}",
	"{\"name\":\"x\",\"address\":7}",
	"{\"name\":\"x\",\"address\":\"\"}",
	"{\"name\":\"x\",\"address\":\"127.0.0.1\"}",
	"{\"name\":\"x\",\"address\":\":1\"}",
	"{\"name\":\"x\",\"address\":\"127.0.0.1:\"}",
	"{\"name\":\"x\",\"address\":\"127.0.0.1:0\"}",
	"{\"name\":\"x\",\"address\":\"127.0.0.1:-1\"}",
	"{\"name\":\"x\",\"address\":\"127.0.0.1:+1\"}",
	"{\"name\":\"x\",\"address\":\"127.0.0.1: 1\"}",
	"{\"name\":\"x\",\"address\":\"127.0.0.1:1x\"}",
	"{\"name\":\"x\",\"address\":\"127.0.0.1:1.5\"}",
	"{\"name\":\"x\",\"address\":\"127.0.0.1:65536\"}",
	"{\"name\":\"x\",\"address\":\"127.0.0.1:99999999999\"}",
	"{\"name\":\"x\",\"address\":\"127.0.0.1:99999999999999999999999\"}",
	"{\"name\":\"x\",\"address\":\"host/path:1\"}",
	"{\"name\":\"x\",\"address\":\"user@127.0.0.1:1\"}",
	"{\"name\":\"x\",\"address\":\"127.0.0.1\\r\\n:1\"}",
	"{\"name\":\"x\",\"role\":\"node\",\"address\":\"127.0.0.1:0\"}",
	"{\"name\":\"x\",\"address\":\"h:1\",\"control\":\"h:70000\"}",
};

/* An instance that can't be used hides neither the one before nor behind it. */
static void test_unusable(void)
{
	static const char before[] =
		"{\"name\":\"a\",\"pool\":\"p\",\"address\":\"127.0.0.1:1\"}";
	static const char behind[] = "{\"name\":\"z\",\"pool\":\"p\","
				     "\"address\":\"127.0.0.1:65535\"}";

	for (size_t i = 0; i < G_N_ELEMENTS(unusable); i++) {
		char *text = g_strdup_printf("[%s,%s,%s]", before, unusable[i],
					     behind);
		json_t *instances = json_loads(text, 0, NULL);
		struct fleet *fleet = fleet_from_instances(instances);

		g_test_message("%s", unusable[i]);
		g_assert_nonnull(instances);
		g_assert_cmpuint(fleet->targets->len, ==, 2);
		g_assert_cmpuint(fleet->peers->len, ==, 0);
		g_assert_nonnull(fleet_target(fleet, "a"));
		g_assert_nonnull(fleet_target(fleet, "z"));
		fleet_unref(fleet);
		json_decref(instances);
		g_free(text);
	}
}

/* A text that no message between nodes can carry would end their exchange. */
static void test_too_long(void)
{
	static const char *const names[] = {"name", "zone", "region",
					    "address"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *text = g_strnfill(100000, 'x');
		json_t *instances =
			json_pack("[{s:s,s:s,s:s},{s:s,s:s}]", "name", "n1",
				  "role", "node", "address", "127.0.0.1:1",
				  "name", "z", "address", "127.0.0.1:2");
		struct fleet *fleet;

		json_object_set_new(json_array_get(instances, 0), names[i],
				    json_string(text));
		fleet = fleet_from_instances(instances);
		g_assert_cmpuint(fleet->peers->len, ==, 0);
		g_assert_nonnull(fleet_target(fleet, "z"));
		fleet_unref(fleet);
		json_decref(instances);
		g_free(text);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node/fleet/roles", test_roles);
	g_test_add_func("/node/fleet/unusable", test_unusable);
	g_test_add_func("/node/fleet/too-long", test_too_long);
	return g_test_run();
}
