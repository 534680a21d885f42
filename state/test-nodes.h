/*
 * Nodes that learn the configuration, on the fake platform, with calls
 * between them and a model of how they hear of revisions. Each configuration
 * that comes into force is compared with what its revision really holds.
 */
#ifndef TEST_NODES_H
#define TEST_NODES_H

#include "state/learn.h"
#include "state/test-fake.h"

struct sim_node {
	struct nodes *nodes;
	int proc;
	struct learn *learn; /* NULL: not started */
	struct config *config;
	int64_t in_force;    /* revision; -1: none */
	int64_t in_force_ms; /* since */
	int64_t reverts;     /* came into force after a newer one */
	int64_t wrong;       /* came into force with other rows */
	int64_t unreadable;
	int64_t store_failures;
	int64_t next_gossip_ms;
};

struct nodes {
	struct fake *fake;
	int count; /* of started nodes, procs 0 to count-1 */
	struct sim_node node[FAKE_PROCS_MAX];
	int64_t poll_ms, tick_ms;
	int64_t gossip_ms; /* between rounds; 0: nodes hear nothing */
	bool peers_known;
	bool whole_fails; /* peers never answer with all they hold */
	GPtrArray *truth; /* json_t: rows of each revision, from 0 */
	GPtrArray *calls;
};

struct nodes *nodes_new(struct fake *f);
void nodes_free(struct nodes *ns);
/* Start one more node; returns its number. */
int nodes_start(struct nodes *ns);
/* Commit a change at once; spec NULL deletes. Returns its revision. */
int64_t nodes_change(struct nodes *ns, enum resource_kind k, const char *name,
		     const char *spec);
/* An organisation with the given weight. */
int64_t nodes_change_weight(struct nodes *ns, const char *name, double weight);
int64_t nodes_head(const struct nodes *ns);
/* Nodes alive that have not this revision in force. */
int nodes_behind(const struct nodes *ns, int64_t revision);
/* Run until all alive have it, at most so long. Returns the time it took. */
int64_t nodes_settle(struct nodes *ns, int64_t revision, int64_t most_ms);

/* Remove the rows of changes from the table, as if they were long past. */
void nodes_delete_changes(struct nodes *ns, int64_t from, int64_t to);

/* Sums over schedules. */
struct nodes_verdict {
	int64_t changes;
	int64_t reverts;
	int64_t wrong;  /* configurations in force that no revision holds */
	int64_t behind; /* nodes without the newest change at the end */
};

/* One seeded schedule of changes, faults, pauses, deaths and starts. */
void nodes_schedule(uint32_t seed, struct nodes_verdict *v);

#endif
