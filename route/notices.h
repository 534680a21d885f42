/*
 * notices: short statements about targets, nodes and zones that nodes tell each
 * other, of which the latest about each counts.
 *
 * Pure state: times are given by the caller, in ms of its own clock. A lock
 * protects it, so any thread may call each function.
 */
#ifndef NOTICES_H
#define NOTICES_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The numbers are part of the protocol between builds. */
enum notice_kind {
	NOTICE_NODE_CUT, /* of a node; 1: it has lost its way to most targets */
	NOTICE_TARGET_LEAVING, /* 1: it said so */
	NOTICE_TARGET_REST,    /* ms for which it wants no requests */
	/* Rejections in 1,000 s that it bears; LIMIT_NONE: any. */
	NOTICE_TARGET_BRITTLE,
	/*
	 * Of a zone; 1: it is evacuated, 0: no longer. The former counts until
	 * the latter comes; urgent, see notices_take_urgent.
	 */
	NOTICE_ZONE_EVACUATED,
	NOTICE_TARGET_COLD, /* ms for which it bears few requests */
	/*
	 * Of a key that is blocked as it crashes targets; ms in which no other
	 * node is to try it.
	 */
	NOTICE_CAUSE_TRIED,
	NOTICE_KINDS,
};

struct notice {
	enum notice_kind kind;
	uint64_t id; /* of the target, node or zone */
	int64_t value;
	int64_t at_ms; /* when that was so */
};

struct notices;

struct notices *notices_new(void);
void notices_free(struct notices *n);
/*
 * State something that this node has learned itself. It is told to others when
 * it differs, or when they may soon forget it.
 */
void notices_set(struct notices *n, enum notice_kind kind, uint64_t id,
		 int64_t value, int64_t now_ms);
/* Return the latest value that is not out of date, else missing. */
int64_t notices_get(struct notices *n, enum notice_kind kind, uint64_t id,
		    int64_t now_ms, int64_t missing);
/* Whether any notice of the kind was ever set. May be stale, takes no lock. */
bool notices_any(struct notices *n, enum notice_kind kind);

/* Set how often a notice is sent, and whether those of others are sent on. */
void notices_set_rounds(struct notices *n, unsigned rounds, bool forward);
/* Take notices that other nodes lack, at most max; return their number. */
size_t notices_take_updates(struct notices *n, struct notice *out, size_t max);
/* List notices that are not out of date, in turn over the calls. */
size_t notices_list(struct notices *n, int64_t now_ms, struct notice *out,
		    size_t max);
/*
 * The same for notices of urgent kinds (NOTICE_ZONE_EVACUATED), to be sent
 * before all others. Of more than max the list always has the same, and
 * notices_list the others in turn.
 */
size_t notices_take_urgent(struct notices *n, struct notice *out, size_t max);
size_t notices_list_urgent(struct notices *n, int64_t now_ms,
			   struct notice *out, size_t max);
void notices_receive(struct notices *n, const struct notice *v);
/* Forget what is out of date. */
void notices_expire(struct notices *n, int64_t now_ms);

#endif
