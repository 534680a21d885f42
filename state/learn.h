/*
 * Learning the configuration: a state machine that follows the changes in the
 * table, starts from a snapshot, and takes from peers what it misses. It is
 * driven by learn_tick and by the answers to its calls; one thread uses it.
 */
#ifndef LEARN_H
#define LEARN_H

#include "state/state.h"

#define LEARN_READERS       3      /* nodes that read the table at every poll */
#define LEARN_OTHERS_FACTOR 4      /* all others poll so many times slower */
#define LEARN_CHANGES_MAX   256    /* changes kept for peers */
#define LEARN_ASKED_MAX     3      /* peers asked at the start */
#define LEARN_ASK_MS        200    /* between calls to peers */
#define LEARN_RETRY_MS      1000   /* between tries while nothing is held */
#define SNAPSHOT_CHANGES    100    /* a snapshot is written after so many */
#define SNAPSHOT_MS         600000 /* or after this time */

/* Everything that one revision holds. */
struct snapshot {
	int64_t revision;
	json_t *rows; /* resource key -> {"spec", "generation", "revision"} */
	/* Newest readable value of each row that can't be read. */
	json_t *before;
};

/* Free with g_free. The checksum covers the revision and all rows. */
char *snapshot_encode(const struct snapshot *s, size_t *len);
/*
 * Return: false, and *out is empty, when the bytes are not a whole snapshot.
 */
bool snapshot_decode(struct str bytes, struct snapshot *out);
void snapshot_clear(struct snapshot *s);

/* Answer of a peer, or NULL when there was none; lives for the callback. */
typedef void learn_peer_fn(const json_t *answer, void *arg);

struct learn;

struct learn_ops {
	void *ctx;
	struct platform *plat;
	int64_t poll_ms;
	/* Number of peers, without this node; -1 while it is not known. */
	int (*peers)(void *ctx);
	/* Ask peer i for its changes after a revision, or for all it holds. */
	void (*ask_changes)(void *ctx, unsigned i, int64_t after,
			    learn_peer_fn *done, void *arg);
	void (*ask_whole)(void *ctx, unsigned i, learn_peer_fn *done,
			  void *arg);
	/* Whether this node is one of the readers, or writes snapshots. */
	bool (*is_reader)(void *ctx);
	bool (*is_writer)(void *ctx);
	uint32_t (*random)(void *ctx);
	/* A newer configuration is in force; takes the reference. */
	void (*publish)(void *ctx, struct config *c, struct learn *l);
	/* A row can't be read, or a store call ended. For the log. */
	void (*unreadable)(void *ctx, const char *error);
	void (*store)(void *ctx, bool ok);
};

struct learn *learn_new(const struct learn_ops *ops);
void learn_free(struct learn *l);
void learn_tick(struct learn *l, int64_t now_ms);
/* Another node holds this revision. */
void learn_heard(struct learn *l, int64_t revision);
/* Revision held; -1 when there is none. */
int64_t learn_revision(const struct learn *l);

/*
 * What peers are answered: {"revision", "changes": [...]}, or with "gap" true
 * when the changes go back too far. NULL before anything is in force.
 */
json_t *learn_changes(const struct learn *l, int64_t after);
/* {"revision", "rows", "before"}, or NULL before anything is in force. */
json_t *learn_whole(const struct learn *l);

#endif
