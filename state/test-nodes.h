/*
 * Simulation of nodes that synchronise their configuration, on the fake
 * platform, with calls to each other and gossip of their revisions. Each
 * configuration that comes into force is compared with the rows that were
 * committed at its revision.
 */
#ifndef TEST_NODES_H
#define TEST_NODES_H

#include "state/learn.h"
#include "state/test-fake.h"

struct sim_node {
	struct nodes *nodes;
	int proc;                /* index of its process */
	struct learner *learner; /* NULL: not started */
	struct config *config;
	int64_t in_force;    /* revision in force; -1: none */
	int64_t in_force_ms; /* time at which it came into force */
	int64_t reverts;     /* configurations not newer than the last one */
	int64_t wrong;       /* configurations with other rows than committed */
	int64_t invalid_rows; /* reports of invalid rows */
	int64_t store_failures;
	int64_t next_gossip_ms;
};

struct nodes {
	struct fake *fake;
	int count; /* of started nodes, processes 0 to count - 1 */
	struct sim_node node[FAKE_PROCS_MAX];
	int64_t poll_ms, tick_ms;
	int64_t gossip_ms; /* between rounds; 0: no gossip */
	bool peers_known;
	bool snapshot_calls_fail; /* of peers: no answers to fetch_snapshot */
	GPtrArray *expected_rows; /* json_t: rows by revision */
	GPtrArray *calls;
};

struct nodes *nodes_new(struct fake *f);
void nodes_free(struct nodes *ns);
/* Start one more node. Return its index. */
int nodes_start(struct nodes *ns);
/* Commit a change at once; spec NULL deletes. Return its revision. */
int64_t nodes_change(struct nodes *ns, enum resource_kind k, const char *name,
		     const char *spec);
/* Commit an organisation with this weight. Return the revision. */
int64_t nodes_change_weight(struct nodes *ns, const char *name, double weight);
/* Return the newest revision committed. */
int64_t nodes_head(const struct nodes *ns);
/* Count the alive nodes with an older revision in force, or none. */
int nodes_count_behind(const struct nodes *ns, int64_t revision);
/*
 * Run until all alive nodes have the revision in force, but not longer than
 * max_ms. Return the time that it took, in ms.
 */
int64_t nodes_converge(struct nodes *ns, int64_t revision, int64_t max_ms);

/* Delete the audit rows of some changes, as if they had expired. */
void nodes_delete_changes(struct nodes *ns, int64_t from, int64_t to);

/* Sums over schedules; all but the first should be 0. */
struct nodes_totals {
	int64_t changes;
	int64_t reverts;
	int64_t wrong;  /* configurations with other rows than committed */
	int64_t behind; /* nodes without the newest change at the end */
};

/* Run one seeded schedule of changes, faults, pauses, kills and starts. */
void nodes_schedule(uint32_t seed, struct nodes_totals *v);

#endif
