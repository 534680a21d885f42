/* Shared by learn.c and keep.c alone. */
#ifndef LEARN_PRIV_H
#define LEARN_PRIV_H

#include "state/learn.h"

#define OBJECTS 2 /* snapshots are written to them in turn */

struct learn {
	struct learn_ops ops;
	int64_t now_ms;
	struct snapshot held; /* revision is -1 at first */
	GQueue *changes;      /* json_t: newest ones, oldest first */
	bool whole;           /* held is exactly what its revision says */
	bool confirmed;       /* the table or a peer has told that it is new */
	int64_t must_see;     /* table revision that the changes must reach */
	int64_t published;    /* -1: nothing yet */
	int64_t wanted;       /* newest revision that an asked peer held */
	int64_t heard;

	bool reading; /* a call to the platform is open */
	unsigned objects_read;
	int64_t next_read_ms;
	struct snapshot full; /* being read */
	int64_t full_head;    /* table revision of the head that began it */
	int64_t full_seen;    /* newest table revision of its pages */

	unsigned asks_open;
	unsigned asked, first_peer, asked_peer;
	unsigned misses;
	int64_t next_ask_ms;
	int64_t next_start_ms;

	/* Snapshots; keep.c. */
	bool keeping;
	int64_t kept; /* newest revision in the object store, if known */
	int64_t kept_at_ms;
	int64_t seen[OBJECTS];
	unsigned keep_step;
	int64_t next_keep_ms;
};

/* Names of the snapshots in the object store. */
extern const char *const learn_objects[OBJECTS];

/* Write a snapshot when one is due and it is this node's turn. */
void learn_keep(struct learn *l);

/* A whole number of an object, 0 when missing. */
int64_t learn_number(const json_t *j, const char *field);

/* held.c: the configuration of all rows held. */
struct config *held_build(struct learn *l);
/*
 * Apply a change that follows the last one; an older one does nothing.
 *
 * Return: false when there is a gap before it.
 */
bool held_apply(struct learn *l, json_t *change);
/*
 * Take over everything of a newer revision; takes the references.
 *
 * Return: false when it is not newer.
 */
bool held_adopt(struct learn *l, struct snapshot *s);
void held_drop(struct learn *l);
void held_drop_changes(struct learn *l);

#endif
