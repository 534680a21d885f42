/*
 * Benchmark of state/ on a virtual clock, with a fake platform: time until a
 * change of configuration is in force, changes and calls lost or run twice over
 * seeded schedules, and the load on the platform's table service.
 */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "bench/bench.h"
#include "state/test-calls.h"
#include "state/test-nodes.h"
#include "state/test-orders.h"

#define SMALL_FLEET_NODES   9
#define LARGE_FLEET_NODES   370
#define IN_FORCE_MAX_S      5.0
#define READS_MAX_PER_S     2000.0 /* of all nodes, at the platform */
#define WRITES_MAX_PER_S    300.0  /* likewise */
#define CHANGES_PER_DAY     3500
#define CHANGES             20
#define CHANGE_INTERVAL_MS  24686 /* 86,400 s / CHANGES_PER_DAY */
#define ORGANISATIONS       460
#define STATE_SCHEDULES     200
#define CALL_SCHEDULES      5000
#define ORDER_SCHEDULES     300
#define CONVERGE_TIMEOUT_MS 60000

static const int sizes[] = {9, 50, 100, 200};

struct run_figures {
	double in_force_s; /* of the slowest change, on the slowest node */
	double reads_per_s, writes_per_s; /* at the platform */
};

/* Make CHANGES changes at the rate of CHANGES_PER_DAY on n nodes. */
static struct run_figures run_changes(int n, int64_t gossip_ms)
{
	struct fake *f = fake_new((uint32_t)n);
	struct nodes *ns = nodes_new(f);
	struct run_figures figures = {0};
	int64_t start_ms, reads, writes;

	ns->gossip_ms = gossip_ms;
	ns->tick_ms = 50;
	nodes_change_weight(ns, "a", 1);
	for (int i = 0; i < n; i++)
		nodes_start(ns);
	nodes_converge(ns, 1, CONVERGE_TIMEOUT_MS);
	start_ms = f->now_ms;
	reads = f->reads;
	writes = f->writes;
	for (int i = 0; i < CHANGES; i++) {
		int64_t change_ms = f->now_ms;
		int64_t r = nodes_change_weight(ns, "a", 2 + i);
		double seconds =
			(double)nodes_converge(ns, r, CONVERGE_TIMEOUT_MS) /
			1000;

		figures.in_force_s = MAX(figures.in_force_s, seconds);
		fake_run(f, change_ms + CHANGE_INTERVAL_MS);
	}
	figures.reads_per_s = (double)(f->reads - reads) * 1000 /
			      (double)(f->now_ms - start_ms);
	/* Each change is one more transaction, which f->writes leaves out. */
	figures.writes_per_s = (double)(f->writes - writes + CHANGES) * 1000 /
			       (double)(f->now_ms - start_ms);
	nodes_free(ns);
	fake_free(f);
	return figures;
}

/*
 * Time until changes are in force and the load on the platform, with and
 * without gossip of revisions, and extrapolated to the large fleet.
 */
static void bench_in_force(const char *variant, int64_t gossip_ms)
{
	double x[G_N_ELEMENTS(sizes)], in_force[G_N_ELEMENTS(sizes)],
		reads[G_N_ELEMENTS(sizes)], writes[G_N_ELEMENTS(sizes)];
	struct fit f, r, w;
	char name[64];

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct run_figures figures = run_changes(sizes[i], gossip_ms);

		x[i] = sizes[i];
		in_force[i] = figures.in_force_s;
		reads[i] = figures.reads_per_s;
		writes[i] = figures.writes_per_s;
	}
	f = fit_line(x, in_force, G_N_ELEMENTS(sizes));
	r = fit_line(x, reads, G_N_ELEMENTS(sizes));
	w = fit_line(x, writes, G_N_ELEMENTS(sizes));
	g_snprintf(name, sizeof(name), "config_in_force_s_%s", variant);
	row_at_most(name, in_force[0], "s", IN_FORCE_MAX_S);
	g_snprintf(name, sizeof(name), "config_in_force_s_%s_370", variant);
	row_at_most(name, fit_at(&f, LARGE_FLEET_NODES), "s", IN_FORCE_MAX_S);
	g_snprintf(name, sizeof(name), "platform_reads_s_%s_node", variant);
	row_unbounded(name, reads[0] / SMALL_FLEET_NODES, "1/s");
	g_snprintf(name, sizeof(name), "platform_reads_s_%s_370", variant);
	row_at_most(name, fit_at(&r, LARGE_FLEET_NODES), "1/s",
		    READS_MAX_PER_S);
	g_snprintf(name, sizeof(name), "platform_writes_s_%s_node", variant);
	row_unbounded(name, writes[0] / SMALL_FLEET_NODES, "1/s");
	g_snprintf(name, sizeof(name), "platform_writes_s_%s_370", variant);
	row_at_most(name, fit_at(&w, LARGE_FLEET_NODES), "1/s",
		    WRITES_MAX_PER_S);
}

/* Changes reverted, applied wrongly or lost on a node, under random faults. */
static void bench_config(void)
{
	struct nodes_totals v = {0};

	for (uint32_t seed = 1; seed <= STATE_SCHEDULES; seed++)
		nodes_schedule(seed, &v);
	row_unbounded("config_schedules", STATE_SCHEDULES, "count");
	row_unbounded("config_changes", (double)v.changes, "count");
	row_at_most("config_reverts", (double)(v.reverts + v.wrong), "count",
		    0);
	row_at_most("changes_lost", (double)v.behind, "count", 0);
}

/* Idempotent calls run twice, or reported wrongly, under random faults. */
static void bench_calls(void)
{
	struct call_totals v = {0};
	int64_t unknown;

	for (uint32_t seed = 1; seed <= CALL_SCHEDULES; seed++)
		calls_schedule(seed, false, &v);
	unknown = v.replies[REPLY_UNKNOWN] + v.replies[REPLY_IN_PROGRESS] +
		  v.replies[REPLY_NO_STORE];
	row_unbounded("claim_schedules", CALL_SCHEDULES, "count");
	row_unbounded("claim_sends", (double)v.sends, "count");
	row_unbounded("claim_told_unknown", (double)unknown, "count");
	row_at_most("double_runs", (double)v.double_runs, "count", 0);
	row_at_most("false_not_run", (double)v.false_not_run, "count", 0);
	row_at_most("false_complete", (double)v.false_complete, "count", 0);
}

/* Reads and writes of one idempotent call that is sent once. */
static void bench_claim_writes(void)
{
	struct fake *f = fake_new(1);
	struct calls *c = calls_new(f);

	calls_send(c, 0, 0, f->now_ms + 5000);
	fake_run(f, f->now_ms + 1000);
	row_unbounded("claim_writes_a_call", (double)f->writes, "count");
	row_unbounded("claim_reads_a_call", (double)f->reads, "count");
	calls_free(c);
	fake_free(f);
}

/*
 * Stale orders of several nodes to their targets under random faults. Targets
 * that don't check fencing tokens may accept one, which must be undone later.
 */
static void bench_orders(void)
{
	struct orders checked = {0}, unchecked = {0};
	size_t wrong = 0, unchecked_wrong = 0;

	for (uint32_t seed = 1; seed <= ORDER_SCHEDULES; seed++) {
		wrong += orders_schedule(seed, true, &checked);
		unchecked_wrong += orders_schedule(seed, false, &unchecked);
	}
	row_unbounded("order_schedules", 2 * ORDER_SCHEDULES, "count");
	row_unbounded("stale_orders_refused", (double)checked.stale_refused,
		      "count");
	row_at_most("stale_orders",
		    (double)checked.stale_accepted + (double)wrong, "count", 0);
	row_at_most("stale_orders_unchecked_left", (double)unchecked_wrong,
		    "count", 0);
	row_unbounded("stale_orders_unchecked_undone",
		      (double)unchecked.stale_accepted, "count");
	row_at_most("last_copies_lost",
		    (double)(checked.lost_copies + unchecked.lost_copies),
		    "count", 0);
}

static void add_organisations(struct nodes *ns)
{
	for (int i = 0; i < ORGANISATIONS; i++) {
		char name[16];
		char *hash, *spec;

		g_snprintf(name, sizeof(name), "org-%d", i);
		hash = key_hash(str_c(name));
		spec = g_strdup_printf(
			"{\"weight\":1,\"tokens_per_s\":10000,\"keys\":"
			"[{\"hash\":\"%s\",\"role\":\"admin\"}]}",
			hash);
		nodes_change(ns, KIND_ORGANISATION, name, spec);
		g_free(spec);
		g_free(hash);
	}
}

/* Return a node's start-up time: virtual time of its calls plus CPU time. */
static double measure_node_start(struct nodes *ns)
{
	double cpu = cpu_seconds();
	int i = nodes_start(ns);
	int64_t start_ms = ns->fake->now_ms;

	while (ns->node[i].in_force < nodes_head(ns) &&
	       ns->fake->now_ms < start_ms + CONVERGE_TIMEOUT_MS)
		fake_step(ns->fake);
	return (double)(ns->node[i].in_force_ms - start_ms) / 1000 +
	       cpu_seconds() - cpu;
}

/* Start a node that finds a snapshot of the configuration and no peer. */
static void bench_start(void)
{
	struct nodes *ns = nodes_new(fake_new(1));
	int64_t rows;
	double seconds;

	add_organisations(ns);
	ns->poll_ms = 1;
	nodes_start(ns);
	nodes_converge(ns, nodes_head(ns), CONVERGE_TIMEOUT_MS);
	fake_run(ns->fake, ns->fake->now_ms + 5000);
	/*
	 * Leave only the snapshot to start from: its changes are deleted and
	 * the only peer is dead.
	 */
	nodes_delete_changes(ns, 1, nodes_head(ns));
	ns->fake->procs[0].dead = true;
	nodes_change_weight(ns, "org-0", 2);
	rows = ns->fake->rows_read;
	seconds = measure_node_start(ns);
	row_unbounded("start_s", seconds, "s");
	/* The row of the change since; more if the snapshot was not used. */
	row_at_most("start_rows_read", (double)(ns->fake->rows_read - rows),
		    "count", 1);
	row_unbounded("start_organisations", ORGANISATIONS, "count");
	nodes_free(ns);
}

int main(void)
{
	if (sodium_init() < 0)
		return 1;
	bench_in_force("polls", 0);
	bench_in_force("heard", 1000);
	bench_config();
	bench_calls();
	bench_claim_writes();
	bench_orders();
	bench_start();
	return 0;
}
