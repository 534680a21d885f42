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
struct target_table;

/* target-table.c: the rows of the table of targets; see there. */
struct target_table *target_table_new(void);
void target_table_free(struct target_table *t);
/* Called for each row that says that its target is cold, when it is read. */
typedef void cold_row_fn(void *ctx, const struct target_info *t,
			 int64_t now_ms);
void target_table_on_cold(struct target_table *t, cold_row_fn *fn, void *ctx);
/* Hash of the usable targets; see target_info_hash. */
uint64_t target_table_hash(const struct target_table *t);
/* Revision of the store up to which the list is complete; 0: no list. */
int64_t target_table_revision(const struct target_table *t);
/* Whether the targets have changed since target_table_list. */
bool target_table_changed(const struct target_table *t);
/* Begin a read of the whole table, in pages. */
void target_table_begin_read(struct target_table *t);
/* Apply row i of a page, unless a newer revision is known. */
void target_table_apply_row(struct target_table *t, const struct store_api *api,
			    const struct store_page *p, size_t i,
			    int64_t now_ms);
/* All rows of the page are applied. */
void target_table_end_page(struct target_table *t, const struct store_page *p);
/*
 * Finish the read after its last page, and remove rows that it lacked. Return
 * whether the list is that of the store: false when such rows are kept, and
 * when the read shows an older state than one that is known.
 */
bool target_table_finish_read(struct target_table *t, bool remove_missing,
			      int64_t now_ms);
/* Return the usable targets as a new list. */
struct target_list *target_table_list(struct target_table *t);
/*
 * The store came back from an older copy. The targets stay until the copy or
 * their own writes say otherwise; one that was leaving or removed does not come
 * back because of an old row.
 */
void target_table_new_era(struct target_table *t, int64_t now_ms);
/*
 * Fill in the updates that a querying node lacks, more and history_lost.
 * answer has room for TARGET_UPDATES_MAX updates, whose strings are borrowed.
 */
void target_table_updates(const struct target_table *t,
			  const struct store_query *q,
			  struct store_query_answer *answer);
/* Set the node whose answers are applied next, for target_source. */
void target_table_set_sender(struct target_table *t, uint64_t node);
/* Log the changes since the last call; see target_changes_log. */
void target_table_log_changes(struct target_table *t, int64_t list_age_ms);
/* Apply the updates of an answer. */
void target_table_apply_updates(struct target_table *t,
				const struct store_query_answer *answer,
				int64_t now_ms);

/* versions-store.c: see there. */

/* Key of the row, and its field with the rows of origins_versions. */
#define VERSIONS_FIELD "versions"
struct versions_store;
struct versions_store *versions_store_new(struct entry *e);
void versions_store_free(struct versions_store *s);
/* Make the call that is due. */
void versions_store_tick(struct versions_store *s, int64_t now_ms);
/* Set whether this node writes the row. */
void versions_store_set_writer(struct versions_store *s, bool writer);
/* Load the versions of a row; false if it has none. */
bool versions_load_row(struct entry *e, const json_t *row);

struct store_sync *store_sync_new(struct entry *e, struct ev_loop *loop);
void store_sync_free(struct store_sync *s);
/*
 * Set whether this node is a reader, which it is not before, and the number of
 * nodes that share the store.
 */
void store_sync_set_reader(struct store_sync *s, bool reader,
			   size_t fleet_size);
/* Return when the list of targets was last known to be the newest; 0: never. */
int64_t store_sync_targets_confirmed_ms(const struct store_sync *s);
/* Whether the store did not answer the last call, or is late with one. */
bool store_sync_is_failing(const struct store_sync *s);
/*
 * Set the node that the next queries go to. Only the answer to the last query
 * changes the list of targets, so that is also the node that answers.
 */
void store_sync_set_queried(struct store_sync *s, uint64_t node);
/*
 * Fill in a query to another node. continued: it asks for the updates that
 * follow those of the last answer. The strings are borrowed.
 */
void store_sync_query(struct store_sync *s, int64_t now_ms, bool continued,
		      struct store_query *query);
/*
 * Answer another node's query. updates has room for TARGET_UPDATES_MAX; answer
 * points to it. Its strings belong to s and are valid until s next changes.
 */
void store_sync_answer(struct store_sync *s, const struct store_query *query,
		       struct store_query_answer *answer,
		       struct target_update *updates);
/*
 * Apply another node's answer. Return whether more updates follow, to be asked
 * for at once.
 */
bool store_sync_apply_answer(struct store_sync *s,
			     const struct store_query_answer *answer);
/*
 * Fill in the query for the next piece of a newer configuration; false when
 * none is being fetched.
 */
bool store_sync_config_query(const struct store_sync *s,
			     struct config_query *query);
/* Fill in a piece of the configuration in force; false for any other. */
bool store_sync_config_chunk(struct store_sync *s,
			     const struct config_query *query,
			     struct config_chunk *chunk);
/* Apply a piece; return whether to ask for the next one at once. */
bool store_sync_apply_chunk(struct store_sync *s,
			    const struct config_chunk *chunk);

/*
 * discovery.c: registers this node in the store, feeds the registered nodes to
 * the membership protocol and agrees on the fleet's shared secret.
 */
struct discovery;

struct discovery *discovery_new(struct entry *e, struct ev_loop *loop);
void discovery_free(struct discovery *d);
/* Whether the nodes registered in the store have been read. */
bool discovery_has_read(const struct discovery *d);
/* Set whether this node is a reader, which reads the rows more often. */
void discovery_set_reader(struct discovery *d, bool reader);

/* stored-causes.c: saves what crashes targets to the store. */
struct causes_store;

struct causes_store *causes_store_new(struct entry *e, struct ev_loop *loop);
void causes_store_free(struct causes_store *s);
/* Set whether this node is the one that saves. */
void causes_store_set_writer(struct causes_store *s, bool writer);
/* Take over what a row of the table of prompts holds, if it is that row. */
void causes_store_load(struct causes_store *s, const json_t *row);
/* All rows were read; before, nothing is saved. */
void causes_store_set_loaded(struct causes_store *s, int64_t era);

/* holders-store.c: saves the prompt holders to the store and loads them. */
struct holders_store;

/* causes: gets what is read beside the holders; the caller keeps it. */
struct holders_store *holders_store_new(struct entry *e, struct ev_loop *loop,
					struct causes_store *causes);
void holders_store_free(struct holders_store *s);
/* Set whether this node is the one that saves. */
void holders_store_set_writer(struct holders_store *s, bool writer);

/*
 * store-readers.c: the choice of the readers, and rules on how long others may
 * rely on them. Pure functions. The readers are the first nodes in the
 * rendezvous order of a fixed key, so that nodes with the same view of the
 * fleet choose the same ones.
 */
#define STORE_READERS    3
#define STORE_RELAYS_MAX 32

/*
 * Whether relays are chosen among the nodes that serve callers only. While few
 * do, as after a start or in an outage of the store, each node would see hardly
 * any other than itself serve, and all of them would become readers.
 */
bool relays_are_serving(size_t serving, size_t live);
/*
 * Write the ids of the relays to out, which has room for STORE_RELAYS_MAX;
 * return their number. The first STORE_READERS of them are the readers. The
 * others query a reader and answer queries as well, so that the number of
 * queries to a node doesn't grow with the fleet.
 */
size_t store_relays_choose(const uint64_t *nodes, size_t n, uint64_t *out);
/* Write the ids of the relays that a node queries, at most STORE_READERS. */
size_t store_relays_of(uint64_t node, const uint64_t *relays, size_t n,
		       uint64_t *out);

/*
 * Return how long a reader's long poll of the configuration may wait. It is so
 * short that the age which the reader reports still allows accepting keys, and
 * that a new configuration is in force within apply_ms.
 */
int64_t reader_poll_wait_ms(int64_t setting_ms, int64_t revoke_ms,
			    int64_t apply_ms);
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
