/*
 * Test fake: many members on a virtual clock, joined by a network that loses,
 * delays and cuts. Every message goes through the codec. Seeded.
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
	bool unlisted; /* members know only of member 0 */
	bool loads;    /* each has a part of two pools' load */
};

struct net_node {
	struct net *net;
	size_t index;
	struct member *member; /* NULL while it is killed */
	struct member_info info;
	bool frozen;
	bool exempt; /* cut off on purpose: no eviction of it is false */
	uint64_t view;
	GPtrArray *inbox;      /* GBytes that wait while it is frozen */
	int64_t *window;       /* bytes sent in each step of a second */
	int64_t second, worst; /* bytes in the last second, and the most */
	uint32_t starts;
};

struct net {
	struct net_options o;
	GRand *rand;
	struct net_node *nodes;
	int64_t now_ms;
	GPtrArray **wheel; /* datagrams by the step of their arrival */
	bool parted;       /* regions don't hear each other */
	size_t cut_a, cut_b;
	bool has_cut;
	GHashTable *evicted;    /* pairs (who, whom) that are held dead */
	size_t false_evictions; /* of a healthy one, by a healthy one */
	int64_t messages;
	int64_t rejected;
};

struct net *net_new(const struct net_options *o);
void net_free(struct net *t);
void net_run(struct net *t, int64_t ms);
void net_kill(struct net *t, size_t i);
void net_start(struct net *t, size_t i);
void net_cut(struct net *t, size_t a, size_t b);
const struct member_peer *net_sees(const struct net *t, size_t who,
				   size_t whom);
/* Whether all that run hold it dead, gone or unknown; or alive. */
bool net_all_see_dead(const struct net *t, size_t whom);
bool net_all_see_live(const struct net *t);
/* Run until it holds, at most so long; returns the time taken, or -1. */
int64_t net_until(struct net *t, bool (*holds)(struct net *, void *), void *arg,
		  int64_t most_ms);

#endif
