/*
 * Synchronisation of the configuration on simulated nodes: polls, gossip,
 * stale reads, missing changes, outages, snapshots and invalid rows.
 */
#include <string.h>

#include "state/test-nodes.h"

#define OUTAGE_MS 600000
#define SCHEDULES 200
#define SETTLE_MS 60000

static void start_nodes(struct nodes *ns, int n)
{
	for (int i = 0; i < n; i++)
		nodes_start(ns);
}

static void check_configs(const struct nodes *ns)
{
	for (int i = 0; i < ns->count; i++) {
		g_assert_cmpint(ns->node[i].reverts, ==, 0);
		g_assert_cmpint(ns->node[i].wrong, ==, 0);
	}
}

static void finish(struct nodes *ns)
{
	struct fake *f = ns->fake;

	check_configs(ns);
	nodes_free(ns);
	fake_free(f);
}

static void start_outage(struct nodes *ns, int64_t ms)
{
	ns->fake->faults.down_from_ms = ns->fake->now_ms;
	ns->fake->faults.down_until_ms = ns->fake->now_ms + ms;
}

/*
 * Without gossip, by polls of the table, changes come into force on all nodes.
 */
static void test_polls(void)
{
	struct nodes *ns = nodes_new(fake_new(1));
	int64_t n = nodes_change_weight(ns, "a", 1);

	start_nodes(ns, 9);
	g_assert_cmpint(nodes_converge(ns, n, SETTLE_MS), <, SETTLE_MS);
	nodes_change_weight(ns, "b", 2);
	n = nodes_change(ns, KIND_ORGANISATION, "a", NULL);
	/* Changes have to be in force within 5 s; nodes poll every 4 s. */
	g_assert_cmpint(nodes_converge(ns, n, SETTLE_MS), <, 5000);
	g_assert_null(config_organisation(ns->node[8].config, "a"));
	g_assert_nonnull(config_organisation(ns->node[8].config, "b"));
	finish(ns);
}

/* Nodes fetch a revision announced by gossip before their poll is due. */
static void test_announced(void)
{
	struct nodes *ns = nodes_new(fake_new(1));
	int64_t n = nodes_change_weight(ns, "a", 1);

	ns->poll_ms = 20000;
	ns->gossip_ms = 200;
	start_nodes(ns, 9);
	nodes_converge(ns, n, SETTLE_MS);
	n = nodes_change_weight(ns, "b", 2);
	while (nodes_count_behind(ns, n) == 9)
		fake_run(ns->fake, ns->fake->now_ms + 10);
	g_assert_cmpint(nodes_converge(ns, n, SETTLE_MS), <, 5000);
	finish(ns);
}

/* Stale reads of the table never put an older revision into force. */
static void test_stale(void)
{
	struct nodes *ns = nodes_new(fake_new(3));
	int64_t n = 0;

	ns->fake->faults.stale = 0.7;
	ns->fake->faults.stale_revisions = 40;
	start_nodes(ns, 5);
	for (int i = 0; i < 60; i++) {
		n = nodes_change_weight(ns, i % 2 ? "a" : "b", 1 + i);
		fake_run(ns->fake, ns->fake->now_ms + 300);
	}
	g_assert_cmpint(nodes_converge(ns, n, SETTLE_MS), <, SETTLE_MS);
	finish(ns);
}

/* If changes are missing from the table, a node reads all rows again. */
static void test_gap(void)
{
	struct nodes *ns = nodes_new(fake_new(1));
	int64_t n = nodes_change_weight(ns, "a", 1);

	start_nodes(ns, 4);
	nodes_converge(ns, n, SETTLE_MS);
	for (int i = 0; i < 5; i++)
		n = nodes_change_weight(ns, i % 2 ? "a" : "b", 2 + i);
	nodes_delete_changes(ns, 2, n - 1);
	g_assert_cmpint(nodes_converge(ns, n, SETTLE_MS), <, SETTLE_MS);
	g_assert_cmpfloat(config_organisation(ns->node[3].config, "b")->weight,
			  ==, 6);
	finish(ns);
}

/*
 * Ten minutes without the platform: the nodes keep their configuration, the
 * newest change spreads from the one node that read it, and a new node gets
 * all rows from its peers.
 */
static void test_outage(void)
{
	struct nodes *ns = nodes_new(fake_new(1));
	int64_t n = nodes_change_weight(ns, "a", 1);
	int64_t until;
	int late_node;

	ns->gossip_ms = 200;
	start_nodes(ns, 9);
	nodes_converge(ns, n, SETTLE_MS);
	n = nodes_change_weight(ns, "a", 2);
	while (nodes_count_behind(ns, n) == 9)
		fake_run(ns->fake, ns->fake->now_ms + 1);
	start_outage(ns, OUTAGE_MS);
	until = ns->fake->now_ms + OUTAGE_MS;
	g_assert_cmpint(nodes_converge(ns, n, SETTLE_MS), <, 5000);
	late_node = nodes_start(ns);
	g_assert_cmpint(nodes_converge(ns, n, SETTLE_MS), <, 10000);
	g_assert_cmpint(ns->node[late_node].in_force, ==, n);
	fake_run(ns->fake, until - 1);
	g_assert_cmpint(nodes_count_behind(ns, n), ==, 0);
	n = nodes_change_weight(ns, "a", 3);
	g_assert_cmpint(nodes_converge(ns, n, SETTLE_MS), <, 10000);
	finish(ns);
}

/*
 * A node without peers and without the table puts nothing into force, not even
 * a snapshot, as it can't know whether that is the newest revision.
 */
static void check_start_isolated(bool snapshot)
{
	struct nodes *ns = nodes_new(fake_new(1));
	struct snapshot s = {0, json_object(), json_object()};
	int64_t n = nodes_change_weight(ns, "a", 1);
	size_t len;
	char *text = snapshot_encode(&s, &len);

	g_hash_table_insert(ns->fake->objects, g_strdup("config-0"),
			    g_bytes_new(text, len));
	start_outage(ns, OUTAGE_MS);
	ns->fake->faults.table_only = snapshot;
	nodes_start(ns);
	fake_run(ns->fake, ns->fake->now_ms + OUTAGE_MS - 1);
	g_assert_cmpint(ns->node[0].in_force, ==, -1);
	g_assert_null(learn_snapshot_json(ns->node[0].learner));
	g_hash_table_remove_all(ns->fake->objects);
	g_assert_cmpint(nodes_converge(ns, n, SETTLE_MS), <, 10000);
	snapshot_clear(&s);
	g_free(text);
	finish(ns);
}

static void test_start_isolated(void)
{
	check_start_isolated(false);
	check_start_isolated(true);
}

/* A node that starts with a stale table waits for its peers' revision. */
static void check_start_stale(bool snapshot_calls_fail)
{
	struct nodes *ns = nodes_new(fake_new(1));
	int64_t n = 0;
	int late_node;

	for (int i = 0; i < 20; i++)
		n = nodes_change_weight(ns, "a", 1 + i);
	start_nodes(ns, 3);
	nodes_converge(ns, n, SETTLE_MS);
	ns->fake->faults.stale = 0.9;
	ns->fake->faults.stale_revisions = 15;
	ns->snapshot_calls_fail = snapshot_calls_fail;
	late_node = nodes_start(ns);
	while (ns->node[late_node].in_force < 0)
		fake_run(ns->fake, ns->fake->now_ms + 10);
	g_assert_cmpint(ns->node[late_node].in_force, ==, n);
	finish(ns);
}

static void test_start_stale(void)
{
	check_start_stale(false);
	check_start_stale(true);
}

/* Without the instance list a starting node puts nothing into force. */
static void test_peers_unknown(void)
{
	struct nodes *ns = nodes_new(fake_new(1));
	int64_t n = nodes_change_weight(ns, "a", 1);

	ns->peers_known = false;
	nodes_start(ns);
	fake_run(ns->fake, ns->fake->now_ms + 20000);
	g_assert_cmpint(ns->node[0].in_force, ==, -1);
	ns->peers_known = true;
	g_assert_cmpint(nodes_converge(ns, n, SETTLE_MS), <, 10000);
	finish(ns);
}

static GBytes *find_object(struct nodes *ns, const char *name)
{
	return g_hash_table_lookup(ns->fake->objects, name);
}

static void truncate_object(struct nodes *ns, const char *name)
{
	GBytes *b = find_object(ns, name);
	gsize n;
	const void *data = g_bytes_get_data(b, &n);

	g_hash_table_replace(ns->fake->objects, g_strdup(name),
			     g_bytes_new(data, n / 2));
}

static int64_t snapshot_revision(struct nodes *ns, const char *name)
{
	struct snapshot s;
	gsize n;
	const char *data = g_bytes_get_data(find_object(ns, name), &n);
	int64_t r;

	g_assert_true(snapshot_decode((struct str){data, n}, &s));
	r = s.revision;
	snapshot_clear(&s);
	return r;
}

static int64_t change_many(struct nodes *ns, int count)
{
	int64_t n = 0;

	for (int i = 0; i < count; i++) {
		n = nodes_change_weight(ns, i % 3 ? "a" : "b", 1 + i % 500);
		fake_run(ns->fake, ns->fake->now_ms + 50);
	}
	nodes_converge(ns, n, SETTLE_MS);
	fake_run(ns->fake, ns->fake->now_ms + 5000);
	return n;
}

/*
 * Snapshots are written in turn. If the newest is truncated, a node starts
 * from the other one and applies the changes since.
 */
static void test_snapshots(void)
{
	struct nodes *ns = nodes_new(fake_new(1));
	int64_t n;
	int late_node;

	start_nodes(ns, 4);
	n = change_many(ns, 3 * SNAPSHOT_INTERVAL_CHANGES + 10);
	g_assert_nonnull(find_object(ns, "config-0"));
	g_assert_nonnull(find_object(ns, "config-1"));
	g_assert_cmpint(snapshot_revision(ns, "config-0"), !=,
			snapshot_revision(ns, "config-1"));
	truncate_object(ns, snapshot_revision(ns, "config-0") >
					    snapshot_revision(ns, "config-1")
				    ? "config-0"
				    : "config-1");
	/* The table loses the changes before the older snapshot. */
	nodes_delete_changes(ns, 1, SNAPSHOT_INTERVAL_CHANGES);
	late_node = nodes_start(ns);
	g_assert_cmpint(nodes_converge(ns, n, SETTLE_MS), <, 5000);
	g_assert_cmpint(ns->node[late_node].in_force, ==, n);
	finish(ns);
}

/* An invalid row keeps its last valid value; other rows change normally. */
static void test_unreadable(void)
{
	struct nodes *ns = nodes_new(fake_new(1));
	int64_t n = nodes_change_weight(ns, "a", 3);
	int late_node;

	start_nodes(ns, 2);
	nodes_converge(ns, n, SETTLE_MS);
	nodes_change(ns, KIND_ORGANISATION, "a", "{\"from_the_future\":1}");
	n = nodes_change_weight(ns, "b", 5);
	nodes_converge(ns, n, SETTLE_MS);
	for (int i = 0; i < 2; i++) {
		struct config *c = ns->node[i].config;

		g_assert_cmpfloat(config_organisation(c, "a")->weight, ==, 3);
		g_assert_cmpfloat(config_organisation(c, "b")->weight, ==, 5);
		g_assert_cmpint(ns->node[i].invalid_rows, >, 0);
	}
	/* A node that starts without peers has no valid value of the row. */
	ns->fake->procs[0].dead = true;
	ns->fake->procs[1].dead = true;
	late_node = nodes_start(ns);
	g_assert_cmpint(nodes_converge(ns, n, SETTLE_MS), <, 10000);
	g_assert_null(config_organisation(ns->node[late_node].config, "a"));
	g_assert_cmpint(ns->node[late_node].invalid_rows, >, 0);
	n = nodes_change_weight(ns, "a", 4);
	nodes_converge(ns, n, SETTLE_MS);
	g_assert_cmpfloat(
		config_organisation(ns->node[late_node].config, "a")->weight,
		==, 4);
	finish(ns);
}

/* A starting node gets last valid values from its peers. */
static void test_unreadable_from_peer(void)
{
	struct nodes *ns = nodes_new(fake_new(1));
	int64_t n = nodes_change_weight(ns, "a", 3);
	int late_node;

	start_nodes(ns, 2);
	nodes_converge(ns, n, SETTLE_MS);
	n = nodes_change(ns, KIND_ORGANISATION, "a", "{\"unknown\":1}");
	nodes_converge(ns, n, SETTLE_MS);
	start_outage(ns, OUTAGE_MS);
	late_node = nodes_start(ns);
	g_assert_cmpint(nodes_converge(ns, n, SETTLE_MS), <, 10000);
	g_assert_cmpfloat(
		config_organisation(ns->node[late_node].config, "a")->weight,
		==, 3);
	finish(ns);
}

static void test_schedules(void)
{
	struct nodes_totals v = {0};

	for (uint32_t seed = 1; seed <= SCHEDULES; seed++) {
		nodes_schedule(seed, &v);
		if (v.reverts || v.wrong || v.behind)
			g_test_message("seed %u", seed);
		g_assert_cmpint(v.reverts, ==, 0);
		g_assert_cmpint(v.wrong, ==, 0);
		g_assert_cmpint(v.behind, ==, 0);
	}
	g_assert_cmpint(v.changes, >, SCHEDULES);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/state/learn/follow", test_polls);
	g_test_add_func("/state/learn/heard", test_announced);
	g_test_add_func("/state/learn/stale", test_stale);
	g_test_add_func("/state/learn/gap", test_gap);
	g_test_add_func("/state/learn/outage", test_outage);
	g_test_add_func("/state/learn/alone", test_start_isolated);
	g_test_add_func("/state/learn/start-stale", test_start_stale);
	g_test_add_func("/state/learn/peers-unknown", test_peers_unknown);
	g_test_add_func("/state/learn/snapshots", test_snapshots);
	g_test_add_func("/state/learn/unreadable", test_unreadable);
	g_test_add_func("/state/learn/unreadable-from-peer",
			test_unreadable_from_peer);
	g_test_add_func("/state/learn/schedules", test_schedules);
	return g_test_run();
}
