/*
 * Test double: a fleet of members on a virtual clock, and a simulated network
 * that delays and drops messages, cuts links and partitions regions. Every
 * message passes through the codec. Runs are reproducible by seed.
 */
#ifndef TEST_NET_H
#define TEST_NET_H

#include "member/member.h"

#define NET_STEP_MS 20

struct net_options {
	size_t n;
	size_t regions;
	uint64_t seed;
	unsigned loss_percent;
	bool seed_only; /* no instance list: members join through member 0 */
	bool loads;     /* each member sets its load in two pools */
};

struct net_node {
	struct net *net;
	size_t index;
	struct member *member; /* NULL while killed */
	struct member_info info;
	bool frozen; /* the process is stopped: no ticks, no reads */
	bool evictions_expected; /* evicting it is expected, and it may evict
				    others */
	uint64_t view_version;   /* at the last count of evictions */
	GPtrArray *inbox;        /* GBytes received while frozen */
	int64_t *step_bytes; /* bytes sent in each step of the last second */
	/* Bytes sent in the last second, and the most in any second. */
	int64_t second_bytes, max_second_bytes;
	uint32_t starts; /* also the incarnation */
};

struct net {
	struct net_options o;
	GRand *rand;
	struct net_node *nodes;
	int64_t now_ms;
	GPtrArray **wheel;   /* timing wheel: datagrams by step of arrival */
	bool partitioned;    /* messages between regions are dropped */
	size_t cut_a, cut_b; /* ends of the cut link */
	bool link_cut;
	GHashTable *evicted;    /* pairs (observer, subject) considered dead */
	size_t false_evictions; /* of a healthy member by a healthy one */
	int64_t messages;
	int64_t rejected; /* messages that did not decode */
};

/* Create and start all members; free with net_free. */
struct net *net_new(const struct net_options *o);
void net_free(struct net *t);
/* Advance the virtual clock. */
void net_run(struct net *t, int64_t ms);
void net_kill(struct net *t, size_t i);
/* Start a killed member again, under its old name. */
void net_start(struct net *t, size_t i);
/* Cut the link between two members. */
void net_cut_link(struct net *t, size_t a, size_t b);
/* Return the subject's entry in the observer's table, or NULL. */
const struct member_peer *net_view_of(const struct net *t, size_t observer,
				      size_t subject);
/* Return whether all running members see subject as dead, left or unknown. */
bool net_all_see_dead(const struct net *t, size_t subject);
/* Return whether all running members see all running members as live. */
bool net_all_see_live(const struct net *t);
/* Run until the condition holds; return the ms taken, or -1 at the timeout. */
int64_t net_run_until(struct net *t, bool (*condition)(struct net *, void *),
		      void *arg, int64_t timeout_ms);

#endif
