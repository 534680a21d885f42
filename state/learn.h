/*
 * Synchronisation of a node's configuration. A state machine starts from a
 * snapshot in the object store, polls the table for later changes, and fetches
 * from peers what it missed. learn_tick and the answers to its calls drive it.
 *
 * A struct learner is used by one thread, on which struct learn_ops and the
 * platform must call back. Configurations that it publishes are immutable and
 * may be used by any thread.
 */
#ifndef LEARN_H
#define LEARN_H

#include "state/state.h"

#define LEARN_TABLE_READERS     3   /* nodes that poll at the full rate */
#define LEARN_NON_READER_FACTOR 4   /* longer poll interval of the others */
#define LEARN_CHANGES_MAX       256 /* changes held for peers */
#define LEARN_START_PEERS_MAX   3   /* peers asked by a starting node */
#define LEARN_PEER_CALL_GAP_MS  200 /* between two calls to peers */
/* Between attempts to start, and between attempts to write a snapshot. */
#define LEARN_RETRY_MS 1000
/*
 * A snapshot is written after so many changes, or for fewer at this interval.
 */
#define SNAPSHOT_INTERVAL_CHANGES 100
#define SNAPSHOT_INTERVAL_MS      600000

/* All resources at one revision. */
struct snapshot {
	int64_t revision;
	json_t *rows; /* resource key -> {"spec", "generation", "revision"} */
	/* Last valid value of each row whose present one is invalid, for
	 * instance because a newer version of the program wrote it. */
	json_t *last_valid;
};

/*
 * Encode a snapshot, with a checksum over the revision and all rows. Free the
 * bytes with g_free.
 */
char *snapshot_encode(const struct snapshot *s, size_t *len);
/*
 * Decode a snapshot. Free its rows with snapshot_clear.
 *
 * Return: false, and *out is empty, if the bytes are truncated or damaged.
 */
bool snapshot_decode(struct str bytes, struct snapshot *out);
void snapshot_clear(struct snapshot *s);

/*
 * Receives the answer of a peer, or NULL if the call failed. It is valid
 * during the callback only.
 */
typedef void learn_peer_fn(const json_t *answer, void *arg);

struct learner;

/* Services that a struct learner needs from its node. */
struct learn_ops {
	void *ctx;
	struct platform *plat;
	int64_t poll_ms; /* between two reads of the changes in the table */
	/* Number of peers, without this node; -1 while it is unknown. */
	int (*peers)(void *ctx);
	/* Call learn_changes_json, or learn_snapshot_json, on peer i, 0 to
	 * peers - 1. */
	void (*fetch_changes)(void *ctx, unsigned i, int64_t after,
			      learn_peer_fn *done, void *arg);
	void (*fetch_snapshot)(void *ctx, unsigned i, learn_peer_fn *done,
			       void *arg);
	/* Whether this node polls at the full rate, or writes snapshots. */
	bool (*is_table_reader)(void *ctx);
	bool (*is_snapshot_writer)(void *ctx);
	uint32_t (*random)(void *ctx);
	/* Put a newer configuration into force; takes the reference to c. */
	void (*publish)(void *ctx, struct config *c, struct learner *l);
	/* Report a fault of an invalid row, for the log. */
	void (*report_invalid_row)(void *ctx, const char *error);
	/* Report whether a read of the table succeeded. */
	void (*report_table_read)(void *ctx, bool ok);
};

/* Create a state machine without a configuration; ops is copied. */
struct learner *learn_new(const struct learn_ops *ops);
void learn_free(struct learner *l);
/* Start the calls that are due; to be called often. now_ms is monotonic. */
void learn_tick(struct learner *l, int64_t now_ms);
/* Note that another node has this revision; an older one has no effect. */
void learn_note_peer_revision(struct learner *l, int64_t revision);
/* Return the revision known, which may not be in force yet; -1: none. */
int64_t learn_revision(const struct learner *l);

/*
 * Return the answer to a peer that has the revision after: {"revision",
 * "changes": [...]}, or {"revision", "gap": true} if changes that the peer
 * needs are no longer held. NULL if no configuration is in force. Free with
 * json_decref.
 */
json_t *learn_changes_json(const struct learner *l, int64_t after);
/*
 * Return all rows for a peer, {"revision", "rows", "before"}, where "before"
 * has the last valid values. NULL if no consistent configuration is in force.
 * Free with json_decref.
 */
json_t *learn_snapshot_json(const struct learner *l);

#endif
