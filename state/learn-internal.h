/* Private to state: the parts of struct learner, shared by the learn files. */
#ifndef LEARN_INTERNAL_H
#define LEARN_INTERNAL_H

#include "state/learn.h"

#define SNAPSHOT_OBJECTS 2 /* written in turn */

struct learner {
	struct learn_ops ops;
	int64_t now_ms;
	struct snapshot current; /* as known now; revision is -1 at first */
	GQueue *changes;         /* json_t: the newest ones, oldest first */
	bool consistent;         /* current.rows are those of its revision */
	bool confirmed;          /* the table or a peer answered since */
	/* Table revision that a list of changes must have reached to make the
	 * rows of a full read consistent. */
	int64_t consistent_from;
	int64_t published;          /* revision in force; -1: none */
	int64_t peer_revision;      /* newest in the answer of a peer */
	int64_t announced_revision; /* newest by learn_note_peer_revision */

	/* Reads of the platform. */
	bool store_busy;        /* a read is in progress */
	unsigned objects_tried; /* snapshot objects read at the start */
	int64_t next_poll_ms;
	struct snapshot full_read; /* rows read so far by a full read */
	int64_t full_read_head;    /* version of the head row it began with */
	int64_t full_read_newest;  /* newest table revision of its pages */

	/* Calls to peers. */
	unsigned peer_calls_open;
	unsigned peers_asked;    /* at the start, from first_peer on */
	unsigned first_peer;     /* chosen at random */
	unsigned current_peer;   /* of the latest call */
	unsigned catch_up_count; /* even: ask a peer next; odd: the table */
	int64_t next_peer_call_ms;
	int64_t next_restart_ms;

	/* Writing snapshots. */
	bool snapshot_busy;
	int64_t stored_revision; /* newest known to be in the object store */
	int64_t stored_at_ms;
	int64_t object_revisions[SNAPSHOT_OBJECTS]; /* -1: no valid snapshot */
	unsigned object_index; /* of the object to be read next */
	int64_t next_snapshot_ms;
};

/* Names of the snapshots in the object store. */
extern const char *const learn_object_names[SNAPSHOT_OBJECTS];

/* Write a snapshot if one is due and this node is the writer. */
void learn_write_snapshot(struct learner *l);

/* Return an integer field of an object, 0 if it is missing. */
int64_t learn_get_int(const json_t *j, const char *field);

/* Build the configuration of the current rows, and log the invalid ones. */
struct config *learn_build_config(struct learner *l);
/*
 * Apply a change to the current rows if it is the next one. An older change
 * has no effect.
 *
 * Return: false if changes before it are missing.
 */
bool learn_apply_change(struct learner *l, json_t *change);
/*
 * Replace the current rows by those of a snapshot, if it is newer. Takes the
 * references of s in any case.
 *
 * Return: false if it is not newer.
 */
bool learn_adopt_snapshot(struct learner *l, struct snapshot *s);
/* Discard the current rows and changes: the revision is -1 again. */
void learn_discard_all(struct learner *l);
/* Discard the changes held for peers. */
void learn_discard_changes(struct learner *l);

#endif
