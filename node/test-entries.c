/*
 * The order of entries for a caller, and the merge of the instance list with
 * the membership view.
 */
#include <string.h>

#include "node/gossip.h"

#define CALLERS 3000

static void add_instance(json_t *list, const char *name, const char *role,
			 const char *zone, const char *region)
{
	json_array_append_new(
		list, json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "name", name,
				"role", role, "pool", "p", "zone", zone,
				"region", region, "address", "127.0.0.1:1"));
}

/* Region r1 has availability zones a and b, region r2 has zone c. */
static struct fleet *sample_fleet(void)
{
	json_t *list = json_array();
	struct fleet *fleet;

	add_instance(list, "a1", "node", "a", "r1");
	add_instance(list, "a2", "node", "a", "r1");
	add_instance(list, "a3", "node", "a", "r1");
	add_instance(list, "b1", "node", "b", "r1");
	add_instance(list, "c1", "node", "c", "r2");
	add_instance(list, "e1", "engine", "a", "r1");
	add_instance(list, "e2", "engine", "b", "r1");
	fleet = fleet_from_instances(list);
	json_decref(list);
	return fleet;
}

/* Nodes in the order of sample_fleet: 0 to 2 are a1 to a3. */
static struct peer *peer(const struct fleet *fleet, guint i)
{
	return g_ptr_array_index(fleet->peers, i);
}

static double uniform_random(void *ctx)
{
	return 1 - g_rand_double(ctx);
}

static GPtrArray *order_for_caller(const struct fleet *fleet, GRand *r)
{
	return entries_order(
		fleet, &(struct entries_query){"a", "r1", uniform_random, r});
}

static const char *node_name_at(const GPtrArray *order, guint i)
{
	return ((const struct peer *)g_ptr_array_index(order, i))->name;
}

/* Own availability zone, own region, other regions; suspected nodes last. */
static void test_zones(void)
{
	GRand *r = g_rand_new_with_seed(1);
	struct fleet *fleet = sample_fleet();
	GPtrArray *order;

	peer(fleet, 0)->state = MEMBER_SUSPECT;
	for (int i = 0; i < CALLERS; i++) {
		order = order_for_caller(fleet, r);
		g_assert_cmpuint(order->len, ==, 5);
		g_assert_cmpint(node_name_at(order, 0)[0], ==, 'a');
		g_assert_cmpint(node_name_at(order, 1)[0], ==, 'a');
		g_assert_cmpstr(node_name_at(order, 2), ==, "b1");
		g_assert_cmpstr(node_name_at(order, 3), ==, "c1");
		g_assert_cmpstr(node_name_at(order, 4), ==, "a1");
		g_ptr_array_unref(order);
	}
	fleet_unref(fleet);
	g_rand_free(r);
}

/* Leaving, dead and departed nodes are left out. */
static void test_unnamed(void)
{
	GRand *r = g_rand_new_with_seed(2);
	struct fleet *fleet = sample_fleet();
	GPtrArray *order;

	peer(fleet, 0)->leaving = true;
	peer(fleet, 1)->state = MEMBER_DEAD;
	peer(fleet, 2)->state = MEMBER_LEFT;
	order = order_for_caller(fleet, r);
	g_assert_cmpuint(order->len, ==, 2);
	g_assert_cmpstr(node_name_at(order, 0), ==, "b1");
	g_ptr_array_unref(order);
	fleet_unref(fleet);
	g_rand_free(r);
}

static void count_first_choices(const struct fleet *fleet,
				unsigned first_choices[3])
{
	GRand *r = g_rand_new_with_seed(3);

	memset(first_choices, 0, 3 * sizeof(*first_choices));
	for (int i = 0; i < CALLERS; i++) {
		GPtrArray *order = order_for_caller(fleet, r);

		first_choices[node_name_at(order, 0)[1] - '1']++;
		g_ptr_array_unref(order);
	}
	g_rand_free(r);
}

/*
 * Equally loaded nodes are first equally often. A node with three times the
 * load (1 plus its requests in progress) of the two others is first a third as
 * often as each of them: once in seven times.
 */
static void test_spread(void)
{
	struct fleet *fleet = sample_fleet();
	unsigned first_choices[3];

	count_first_choices(fleet, first_choices);
	for (int i = 0; i < 3; i++) {
		g_assert_cmpuint(first_choices[i], >,
				 CALLERS / 3 - CALLERS / 20);
		g_assert_cmpuint(first_choices[i], <,
				 CALLERS / 3 + CALLERS / 20);
	}
	peer(fleet, 0)->running = 29;
	peer(fleet, 1)->running = 9;
	peer(fleet, 2)->running = 9;
	count_first_choices(fleet, first_choices);
	g_assert_cmpuint(first_choices[0], >, CALLERS / 7 - CALLERS / 20);
	g_assert_cmpuint(first_choices[0], <, CALLERS / 7 + CALLERS / 20);
	fleet_unref(fleet);
}

static void ignore_send(void *ctx, const char *control,
			const struct member_message *message)
{
	(void)ctx;
	(void)control;
	(void)message;
}

static uint64_t random_number(void *ctx)
{
	return g_rand_int(ctx);
}

static struct member *new_member(GRand *r)
{
	return member_new(
		&(struct member_options){
			.self = {"a1", "127.0.0.1:1", "127.0.0.1:1", "a", "r1"},
			.incarnation = 5,
			.budget_bytes_s = 4096,
			.callbacks = {r, ignore_send, random_number},
		},
		0);
}

/* A target counts as down after two refusals at least 500 ms apart. */
static void note_refusals(struct member *member, const char *target,
			  int64_t at_ms)
{
	member_observe_target(member, at_ms, target, TARGET_CONNECT_FAILED);
	member_observe_target(member, at_ms + 600, target,
			      TARGET_CONNECT_FAILED);
}

/*
 * A leaving or failed target is marked so. If all targets of a pool seem down,
 * none is marked: the fault may be this node's own.
 */
static void test_targets(void)
{
	GRand *r = g_rand_new_with_seed(4);
	struct fleet *listed = sample_fleet();
	struct member *member = new_member(r);
	struct fleet *fleet;

	member_observe_target(member, 1, "e2", TARGET_REPORTED_LEAVING);
	fleet = fleet_merge(listed, member, 2);
	g_assert_false(fleet_target(fleet, "e1")->leaving);
	g_assert_true(fleet_target(fleet, "e2")->leaving);
	fleet_unref(fleet);
	member_observe_target(member, 5000, "e2", TARGET_REPORTED_ACCEPTING);
	note_refusals(member, "e1", 5000);
	fleet = fleet_merge(listed, member, 5700);
	g_assert_true(fleet_target(fleet, "e1")->down);
	g_assert_false(fleet_target(fleet, "e2")->down);
	fleet_unref(fleet);
	note_refusals(member, "e2", 6000);
	fleet = fleet_merge(listed, member, 6700);
	g_assert_false(fleet_target(fleet, "e1")->down);
	g_assert_false(fleet_target(fleet, "e2")->down);
	fleet_unref(fleet);
	member_free(member);
	fleet_unref(listed);
	g_rand_free(r);
}

/* A node outside the instance list is added once it sent a message itself. */
static void test_unlisted(void)
{
	GRand *r = g_rand_new_with_seed(5);
	struct fleet *listed = sample_fleet();
	struct member *member = new_member(r);
	struct member_info info = {"d1", "127.0.0.1:9", "127.0.0.1:9", "b",
				   "r1"};
	struct member_record record = {
		.id = member_id("d1"), .incarnation = 1, .info = &info};
	struct member_message message = {.from = record.id,
					 .records = {1, &record}};
	struct fleet *fleet = fleet_merge(listed, member, 1);

	g_assert_cmpuint(fleet->peers->len, ==, 5);
	fleet_unref(fleet);
	member_receive(member, 1, &message);
	fleet = fleet_merge(listed, member, 1);
	g_assert_cmpuint(fleet->peers->len, ==, 6);
	g_assert_cmpstr(peer(fleet, 5)->name, ==, "d1");
	g_assert_cmpuint(fleet->nodes_live, ==, 2);
	fleet_unref(fleet);
	member_free(member);
	fleet_unref(listed);
	g_rand_free(r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node/entries/zones", test_zones);
	g_test_add_func("/node/entries/unnamed", test_unnamed);
	g_test_add_func("/node/entries/spread", test_spread);
	g_test_add_func("/node/entries/targets", test_targets);
	g_test_add_func("/node/entries/unlisted", test_unlisted);
	return g_test_run();
}
