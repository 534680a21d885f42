/*
 * version-gate: from when on streams that may be resumed begin at a version of
 * a service's software. They wait until all other nodes know of the version, so
 * that a node which has no record of a stream never takes another version for
 * the only one. Nodes that don't confirm delay this by VERSION_GATE_MS at most:
 * from then on a list of targets that lacks the version is too old to conclude
 * anything from. Pure state, under the lock of struct origins.
 */
#ifndef VERSION_GATE_H
#define VERSION_GATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A list of targets that is older says nothing of other versions. */
#define LIST_FRESH_MS 1500
/* Longer than a conclusion from such a list is used. */
#define VERSION_GATE_MS 1900

struct version_gate;

/* What other nodes are told of a version. */
struct version_news {
	uint64_t service, version;
	bool open;   /* streams begin at it here */
	bool to_all; /* else only to the nodes that have not confirmed it */
};

struct version_gate *version_gate_new(void);
void version_gate_free(struct version_gate *g);

/* This node knows of the version from now on. */
void version_gate_add(struct version_gate *g, uint64_t service,
		      uint64_t version, int64_t now_ms);
/* Whether a list of targets has the version. */
void version_gate_set_listed(struct version_gate *g, uint64_t version,
			     bool listed, int64_t now_ms);
/* The version is forgotten. */
void version_gate_drop(struct version_gate *g, uint64_t version);
/*
 * Streams may begin at the version, of which no node has to be told: it is the
 * only one that has served, or the store says so. Return whether they could not
 * before.
 */
bool version_gate_open(struct version_gate *g, uint64_t version);
/* Whether they may; false for a version that is not known. */
bool version_gate_is_open(const struct version_gate *g, uint64_t version);
/*
 * A node has said that it knows of the version; open: streams begin there.
 * Return whether they may begin here now and could not before.
 */
bool version_gate_confirm(struct version_gate *g, uint64_t version,
			  uint64_t node, bool open, int64_t now_ms);
/*
 * Open the versions that all of the given nodes have confirmed, and those whose
 * time has come if the list has them still, so that no node that reads the list
 * as often as it should has missed them. nodes: all others that are known, live
 * or not; NULL: they are not known yet. Return whether there were any.
 */
bool version_gate_check(struct version_gate *g, const uint64_t *nodes, size_t n,
			int64_t list_confirmed_ms, int64_t now_ms);
/*
 * Take the news that is due, at most max; nodes as above. Return its number.
 */
size_t version_gate_take_due(struct version_gate *g, const uint64_t *nodes,
			     size_t n, int64_t now_ms, struct version_news *out,
			     size_t max);
/* Whether there is any. */
bool version_gate_has_due(const struct version_gate *g, int64_t now_ms);
/* Whether the node has confirmed the version. */
bool version_gate_has_confirmed(const struct version_gate *g, uint64_t version,
				uint64_t node);

#endif
