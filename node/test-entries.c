/* Which nodes a caller is told of, and what is made of list and view. */
#include <string.h>

#include "node/gossip.h"

#define CALLERS 3000

static void add(json_t *list, const char *name, const char *role,
		const char *zone, const char *region)
{
	json_array_append_new(
		list, json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "name", name,
				"role", role, "pool", "p", "zone", zone,
				"region", region, "address", "127.0.0.1:1"));
}

/* Two regions, zones a and b in the first one, c in the other. */
static struct fleet *sample(void)
{
	json_t *list = json_array();
	struct fleet *f;

	add(list, "a1", "node", "a", "r1");
	add(list, "a2", "node", "a", "r1");
	add(list, "a3", "node", "a", "r1");
	add(list, "b1", "node", "b", "r1");
	add(list, "c1", "node", "c", "r2");
	add(list, "e1", "engine", "a", "r1");
	add(list, "e2", "engine", "b", "r1");
	f = fleet_from_instances(list);
	json_decref(list);
	return f;
}

static struct peer *peer(const struct fleet *f, guint i)
{
	return g_ptr_array_index(f->peers, i);
}

static double random_of(void *ctx)
{
	return 1 - g_rand_double(ctx);
}

static GPtrArray *ask(const struct fleet *f, GRand *r)
{
	return entries_order(f,
			     &(struct entries_query){"a", "r1", random_of, r});
}

static const char *name_at(const GPtrArray *order, guint i)
{
	return ((const struct peer *)g_ptr_array_index(order, i))->name;
}

/* Own availability zone, then own region, then others; suspects last. */
static void test_zones(void)
{
	GRand *r = g_rand_new_with_seed(1);
	struct fleet *f = sample();
	GPtrArray *o;

	peer(f, 0)->state = MEMBER_SUSPECT;
	for (int i = 0; i < CALLERS; i++) {
		o = ask(f, r);
		g_assert_cmpuint(o->len, ==, 5);
		g_assert_cmpint(name_at(o, 0)[0], ==, 'a');
		g_assert_cmpint(name_at(o, 1)[0], ==, 'a');
		g_assert_cmpstr(name_at(o, 2), ==, "b1");
		g_assert_cmpstr(name_at(o, 3), ==, "c1");
		g_assert_cmpstr(name_at(o, 4), ==, "a1");
		g_ptr_array_unref(o);
	}
	fleet_unref(f);
	g_rand_free(r);
}

/* Leaving, gone and dead nodes are not named at all. */
static void test_unnamed(void)
{
	GRand *r = g_rand_new_with_seed(2);
	struct fleet *f = sample();
	GPtrArray *o;

	peer(f, 0)->leaving = true;
	peer(f, 1)->state = MEMBER_DEAD;
	peer(f, 2)->state = MEMBER_LEFT;
	o = ask(f, r);
	g_assert_cmpuint(o->len, ==, 2);
	g_assert_cmpstr(name_at(o, 0), ==, "b1");
	g_ptr_array_unref(o);
	fleet_unref(f);
	g_rand_free(r);
}

static void count_first(const struct fleet *f, unsigned first[3])
{
	GRand *r = g_rand_new_with_seed(3);

	memset(first, 0, 3 * sizeof(*first));
	for (int i = 0; i < CALLERS; i++) {
		GPtrArray *o = ask(f, r);

		first[name_at(o, 0)[1] - '1']++;
		g_ptr_array_unref(o);
	}
	g_rand_free(r);
}

/* Equals share the callers; who has three times the work gets a third. */
static void test_spread(void)
{
	struct fleet *f = sample();
	unsigned first[3];

	count_first(f, first);
	for (int i = 0; i < 3; i++) {
		g_assert_cmpuint(first[i], >, CALLERS / 3 - CALLERS / 20);
		g_assert_cmpuint(first[i], <, CALLERS / 3 + CALLERS / 20);
	}
	peer(f, 0)->running = 29;
	peer(f, 1)->running = 9;
	peer(f, 2)->running = 9;
	count_first(f, first);
	g_assert_cmpuint(first[0], >, CALLERS / 7 - CALLERS / 20);
	g_assert_cmpuint(first[0], <, CALLERS / 7 + CALLERS / 20);
	fleet_unref(f);
}

static void on_send(void *ctx, const char *control,
		    const struct member_message *m)
{
	(void)ctx;
	(void)control;
	(void)m;
}

static uint64_t on_random(void *ctx)
{
	return g_rand_int(ctx);
}

static struct member *alone(GRand *r)
{
	return member_new(
		&(struct member_options){
			.self = {"a1", "127.0.0.1:1", "127.0.0.1:1", "a", "r1"},
			.incarnation = 5,
			.budget_bytes_s = 4096,
			.callbacks = {r, on_send, on_random},
		},
		0);
}

static void refuse(struct member *m, const char *target, int64_t at_ms)
{
	member_note_target(m, at_ms, target, TARGET_REFUSED);
	member_note_target(m, at_ms + 600, target, TARGET_REFUSED);
}

/* A target that is down gets no work, unless all of its pool seem down. */
static void test_targets(void)
{
	GRand *r = g_rand_new_with_seed(4);
	struct fleet *listed = sample();
	struct member *m = alone(r);
	struct fleet *f;

	member_note_target(m, 1, "e2", TARGET_LEAVES);
	f = fleet_merge(listed, m, 2);
	g_assert_false(fleet_target(f, "e1")->leaving);
	g_assert_true(fleet_target(f, "e2")->leaving);
	fleet_unref(f);
	member_note_target(m, 5000, "e2", TARGET_TAKES);
	refuse(m, "e1", 5000);
	f = fleet_merge(listed, m, 5700);
	g_assert_true(fleet_target(f, "e1")->down);
	g_assert_false(fleet_target(f, "e2")->down);
	fleet_unref(f);
	refuse(m, "e2", 6000);
	f = fleet_merge(listed, m, 6700);
	g_assert_false(fleet_target(f, "e1")->down);
	g_assert_false(fleet_target(f, "e2")->down);
	fleet_unref(f);
	member_free(m);
	fleet_unref(listed);
	g_rand_free(r);
}

/* A node that is not listed yet is there once it has spoken for itself. */
static void test_unlisted(void)
{
	GRand *r = g_rand_new_with_seed(5);
	struct fleet *listed = sample();
	struct member *m = alone(r);
	struct member_info info = {"d1", "127.0.0.1:9", "127.0.0.1:9", "b",
				   "r1"};
	struct member_record rec = {
		.id = member_id("d1"), .incarnation = 1, .info = &info};
	struct member_message msg = {.from = rec.id, .records = {1, &rec}};
	struct fleet *f = fleet_merge(listed, m, 1);

	g_assert_cmpuint(f->peers->len, ==, 5);
	fleet_unref(f);
	member_receive(m, 1, &msg);
	f = fleet_merge(listed, m, 1);
	g_assert_cmpuint(f->peers->len, ==, 6);
	g_assert_cmpstr(peer(f, 5)->name, ==, "d1");
	g_assert_cmpuint(f->nodes_live, ==, 2);
	fleet_unref(f);
	member_free(m);
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
