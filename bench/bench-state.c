/*
 * What is agreed and kept: how fast a change is in force, what is lost or
 * doubled over seeded schedules, and the calls to the platform. On a virtual
 * clock, by function calls alone.
 */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "bench/bench.h"
#include "state/test-calls.h"
#include "state/test-nodes.h"
#include "state/test-orders.h"

#define NODES_NOW       9
#define NODES_TARGET    370
#define IN_FORCE_S      5.0    /* target */
#define READS_S         2000.0 /* of the platform together */
#define WRITES_S        300.0
#define CHANGES_A_DAY   3500
#define CHANGES         20
#define GAP_MS          24686 /* between changes, at 3,500 a day */
#define ORGANISATIONS   460
#define STATE_SCHEDULES 200
#define CALL_SCHEDULES  5000
#define ORDER_SCHEDULES 300
#define SETTLE_MS       60000

static const int sizes[] = {9, 50, 100, 200};

struct measured {
	double in_force_s; /* the slowest change on the slowest node */
	double reads_s, writes_s;
};

/* Changes at the rate of the target, on n nodes. */
static struct measured run_nodes(int n, int64_t gossip_ms)
{
	struct fake *f = fake_new((uint32_t)n);
	struct nodes *ns = nodes_new(f);
	struct measured m = {0};
	int64_t start, reads, writes;

	ns->gossip_ms = gossip_ms;
	ns->tick_ms = 50;
	nodes_change_weight(ns, "a", 1);
	for (int i = 0; i < n; i++)
		nodes_start(ns);
	nodes_settle(ns, 1, SETTLE_MS);
	start = f->now_ms;
	reads = f->reads;
	writes = f->writes;
	for (int i = 0; i < CHANGES; i++) {
		int64_t at = f->now_ms;
		int64_t r = nodes_change_weight(ns, "a", 2 + i);
		double s = (double)nodes_settle(ns, r, SETTLE_MS) / 1000;

		m.in_force_s = MAX(m.in_force_s, s);
		fake_run(f, at + GAP_MS);
	}
	m.reads_s =
		(double)(f->reads - reads) * 1000 / (double)(f->now_ms - start);
	/* A change itself is one transaction. */
	m.writes_s = (double)(f->writes - writes + CHANGES) * 1000 /
		     (double)(f->now_ms - start);
	nodes_free(ns);
	fake_free(f);
	return m;
}

static void bench_in_force(const char *how, int64_t gossip_ms)
{
	double x[G_N_ELEMENTS(sizes)], force[G_N_ELEMENTS(sizes)],
		reads[G_N_ELEMENTS(sizes)], writes[G_N_ELEMENTS(sizes)];
	struct fit f, r, w;
	char name[64];

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct measured m = run_nodes(sizes[i], gossip_ms);

		x[i] = sizes[i];
		force[i] = m.in_force_s;
		reads[i] = m.reads_s;
		writes[i] = m.writes_s;
	}
	f = fit_line(x, force, G_N_ELEMENTS(sizes));
	r = fit_line(x, reads, G_N_ELEMENTS(sizes));
	w = fit_line(x, writes, G_N_ELEMENTS(sizes));
	g_snprintf(name, sizeof(name), "config_in_force_s_%s", how);
	row_at_most(name, force[0], "s", IN_FORCE_S);
	g_snprintf(name, sizeof(name), "config_in_force_s_%s_370", how);
	row_at_most(name, fit_at(&f, NODES_TARGET), "s", IN_FORCE_S);
	g_snprintf(name, sizeof(name), "platform_reads_s_%s_node", how);
	row_figure(name, reads[0] / NODES_NOW, "1/s");
	g_snprintf(name, sizeof(name), "platform_reads_s_%s_370", how);
	row_at_most(name, fit_at(&r, NODES_TARGET), "1/s", READS_S);
	g_snprintf(name, sizeof(name), "platform_writes_s_%s_node", how);
	row_figure(name, writes[0] / NODES_NOW, "1/s");
	g_snprintf(name, sizeof(name), "platform_writes_s_%s_370", how);
	row_at_most(name, fit_at(&w, NODES_TARGET), "1/s", WRITES_S);
}

static void bench_config(void)
{
	struct nodes_verdict v = {0};

	for (uint32_t seed = 1; seed <= STATE_SCHEDULES; seed++)
		nodes_schedule(seed, &v);
	row_figure("config_schedules", STATE_SCHEDULES, "count");
	row_figure("config_changes", (double)v.changes, "count");
	row_at_most("config_reverts", (double)(v.reverts + v.wrong), "count",
		    0);
	row_at_most("changes_lost", (double)v.behind, "count", 0);
}

static void bench_calls(void)
{
	struct verdicts v = {0};
	int64_t unknown;

	for (uint32_t seed = 1; seed <= CALL_SCHEDULES; seed++)
		calls_schedule(seed, false, &v);
	unknown = v.told[TOLD_UNKNOWN] + v.told[TOLD_RUNNING] +
		  v.told[TOLD_NO_STORE];
	row_figure("claim_schedules", CALL_SCHEDULES, "count");
	row_figure("claim_sends", (double)v.sends, "count");
	row_figure("claim_told_unknown", (double)unknown, "count");
	row_at_most("double_runs", (double)v.double_runs, "count", 0);
	row_at_most("false_not_run", (double)v.false_not_run, "count", 0);
	row_at_most("false_complete", (double)v.false_complete, "count", 0);
}

/* Writes of one call that is not repeated. */
static void bench_claim_writes(void)
{
	struct fake *f = fake_new(1);
	struct calls *c = calls_new(f);

	calls_send(c, 0, 0, f->now_ms + 5000);
	fake_run(f, f->now_ms + 1000);
	row_figure("claim_writes_a_call", (double)f->writes, "count");
	row_figure("claim_reads_a_call", (double)f->reads, "count");
	calls_free(c);
	fake_free(f);
}

static void bench_orders(void)
{
	struct orders checked = {0}, unchecked = {0};
	size_t wrong = 0, unchecked_wrong = 0;

	for (uint32_t seed = 1; seed <= ORDER_SCHEDULES; seed++) {
		wrong += orders_schedule(seed, true, &checked);
		unchecked_wrong += orders_schedule(seed, false, &unchecked);
	}
	row_figure("order_schedules", 2 * ORDER_SCHEDULES, "count");
	row_figure("stale_orders_refused", (double)checked.stale_refused,
		   "count");
	row_at_most("stale_orders", (double)checked.stale_taken + (double)wrong,
		    "count", 0);
	row_at_most("stale_orders_unchecked_left", (double)unchecked_wrong,
		    "count", 0);
	row_figure("stale_orders_unchecked_undone",
		   (double)unchecked.stale_taken, "count");
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

/* Virtual time of the calls and processor time of the rest. */
static double start_one(struct nodes *ns)
{
	double cpu = cpu_seconds();
	int i = nodes_start(ns);
	int64_t start = ns->fake->now_ms;

	while (ns->node[i].in_force < nodes_head(ns) &&
	       ns->fake->now_ms < start + SETTLE_MS)
		fake_step(ns->fake);
	return (double)(ns->node[i].in_force_ms - start) / 1000 +
	       cpu_seconds() - cpu;
}

static void bench_start(void)
{
	struct nodes *ns = nodes_new(fake_new(1));
	int64_t rows;
	double s;

	add_organisations(ns);
	ns->poll_ms = 1;
	nodes_start(ns);
	nodes_settle(ns, nodes_head(ns), SETTLE_MS);
	fake_run(ns->fake, ns->fake->now_ms + 5000);
	/* From the snapshot alone: its changes are gone, the peer is dead. */
	nodes_delete_changes(ns, 1, nodes_head(ns));
	ns->fake->procs[0].dead = true;
	nodes_change_weight(ns, "org-0", 2);
	rows = ns->fake->rows_read;
	s = start_one(ns);
	row_figure("start_s", s, "s");
	/* One is the change since; more would mean no snapshot was used. */
	row_at_most("start_rows_read", (double)(ns->fake->rows_read - rows),
		    "count", 1);
	row_figure("start_organisations", ORGANISATIONS, "count");
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
