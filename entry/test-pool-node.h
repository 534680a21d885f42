/*
 * test-pool-node: the pool of a node without its threads, its store and its
 * callers. For plays of many nodes and targets in virtual time.
 */
#ifndef TEST_POOL_NODE_H
#define TEST_POOL_NODE_H

#include "entry/internal.h"

/* Set up node i of the list, named "node-I", with a seed of its own. */
void pool_node_init(struct entry *e, int i, struct peer_list *peers);
void pool_node_clear(struct entry *e);
/* Return a list of so many nodes, named as pool_node_init does. */
struct peer_list *pool_node_peers(int n);
/* Have the node use a list; takes the reference. */
void pool_node_take_list(struct entry *e, struct target_list *l);

#endif
