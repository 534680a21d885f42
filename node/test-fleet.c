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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node/fleet/roles", test_roles);
	return g_test_run();
}
