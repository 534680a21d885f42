/*
 * The parts of the control thread that work with the platform's store. All of
 * them run on the control thread.
 *
 * store-sync.c: keeps the configuration and the list of targets current. A few
 * nodes of the fleet, the readers, poll the store all the time. The others
 * query a reader about the state of the store, and read the store themselves
 * only when their view is stale or when no reader answers.
 */
#ifndef STORE_CLIENTS_H
#define STORE_CLIENTS_H

#include "entry/internal.h"
#include "entry/loads-gen.h"

struct store_sync;

struct store_sync *store_sync_new(struct entry *e, struct ev_loop *loop);
void store_sync_free(struct store_sync *s);
/* Set whether this node is a reader. It is one until this is called. */
void store_sync_set_reader(struct store_sync *s, bool reader);
/*
 * Answer another node's query. updates has room for TARGET_UPDATES_MAX; answer
 * points to it. Its strings belong to s and are valid until s next changes.
 */
void store_sync_answer(struct store_sync *s, const struct store_query *query,
		       struct store_query_answer *answer,
		       struct target_update *updates);
/* Return the hash of the list of targets in force, for a query. */
uint64_t store_sync_targets_hash(const struct store_sync *s);
/* Apply a reader's answer to this node's query. */
void store_sync_apply_answer(struct store_sync *s,
			     const struct store_query_answer *answer);

/*
 * discovery.c: registers this node in the store, feeds the registered nodes to
 * the membership protocol and agrees on the fleet's shared secret.
 */
struct discovery;

struct discovery *discovery_new(struct entry *e, struct ev_loop *loop);
void discovery_free(struct discovery *d);
/* Set whether this node is a reader, which reads the rows more often. */
void discovery_set_reader(struct discovery *d, bool reader);

/* holders-store.c: saves the prompt holders to the store and loads them. */
struct holders_store;

struct holders_store *holders_store_new(struct entry *e, struct ev_loop *loop);
void holders_store_free(struct holders_store *s);
/* Set whether this node is the one that saves. */
void holders_store_set_writer(struct holders_store *s, bool writer);

/*
 * store-readers.c: the choice of the readers, and rules on how long others may
 * rely on them. Pure functions. The readers are the first nodes in the
 * rendezvous order of a fixed key, so that nodes with the same view of the
 * fleet choose the same ones.
 */
#define STORE_READERS 3

/* Write the ids of the readers to out; return their number, at most
 * STORE_READERS. */
size_t store_readers_choose(const uint64_t *nodes, size_t n, uint64_t *out);

/*
 * Return how long a reader's long poll of the configuration may wait. It is so
 * short that the age which the reader reports still allows accepting keys.
 */
int64_t reader_poll_wait_ms(int64_t setting_ms, int64_t revoke_ms);
/*
 * Whether a reader is in contact with the store, by the age of the
 * configuration that it reports. Normally the age is up to twice the wait: a
 * long poll confirms nothing until it ends.
 */
bool reader_is_current(int64_t age_ms, int64_t wait_ms);

/* Whether a node that is no reader may rely on the readers. */
struct peer_reliance {
	int64_t confirmed_ms; /* last confirmed by a current reader; 0: never */
	int64_t known_ms;     /* when the view was the newest; 0: not known */
	int64_t unconfirmed_max_ms; /* limit of the time since either */
	int64_t reliance_max_ms;    /* limit of the time since known_ms */
};

/* Whether the node need not read the store itself. */
bool peer_reliance_is_valid(const struct peer_reliance *r, int64_t now_ms);

#endif
