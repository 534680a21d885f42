/*
 * origins: at which version of a service's software streams began, so that a
 * stream that a caller takes up goes on at that version only. See origins.c.
 *
 * The traffic thread records streams and looks them up; the control thread
 * exchanges records with the other nodes (peer-origins.c). A lock protects the
 * state, so any thread may call each function.
 */
#ifndef ORIGINS_H
#define ORIGINS_H

#include "entry/entry.h"
#include "entry/loads-gen.h"
#include "entry/version-gate.h"

struct origins;

/* The result of a look-up. */
enum origin_status {
	ORIGIN_FOUND,
	ORIGIN_ASKED,   /* other nodes have been asked */
	ORIGIN_UNKNOWN, /* for good */
};

struct origins *origins_new(void);
void origins_free(struct origins *o);

/* Return the id of a version of a service's software; never 0. */
uint64_t software_version_id(struct str service, struct str version);

/*
 * Record the version at which a caller's attempt has begun a stream. Return
 * whether other nodes need the record now.
 */
bool origins_record(struct origins *o, struct str request_id,
		    struct str service, uint64_t version, int64_t now_ms);
/*
 * Look up the version at which the stream of an attempt began; the id is empty
 * when the caller doesn't name it. Without a record the other nodes have to be
 * asked: call again until the status is another one, which takes at most
 * ORIGIN_LOOKUP_MS.
 */
#define ORIGIN_LOOKUP_MS 300
/*
 * Time for which a stream may be taken up after its first event, and for which
 * a version counts as serving after its last target was removed, as streams may
 * still run there. Longer than the timeouts of routes.
 */
#define ORIGIN_TTL_MS 60000
enum origin_status origins_find(struct origins *o, struct str request_id,
				struct str service, int64_t now_ms,
				uint64_t *version);

/* The same by what this node knows now; nobody is asked. */
enum origin_status origins_find_known(struct origins *o, struct str request_id,
				      struct str service, int64_t now_ms,
				      uint64_t *version);

/*
 * Update the versions that serve from the list of targets. Return whether a
 * version has joined that the other nodes are to be told of.
 */
bool origins_set_targets(struct origins *o, const struct target_list *l,
			 int64_t now_ms);
/* Forget what has expired. */
void origins_sweep(struct origins *o, int64_t now_ms);
/*
 * The versions that served lately, as rows of [service, version, whether
 * streams may begin there]. They are saved in the store, as a fleet of which
 * all nodes have restarted knows only those that serve now. The counter grows
 * with each change.
 */
json_t *origins_versions(struct origins *o, int64_t now_ms);
uint64_t origins_versions_changes(struct origins *o);
/*
 * Add the versions that were saved; NULL: none have been, as no node has served
 * before. Until then, or for the time that they are kept, a version that serves
 * alone is not known to have done so before.
 */
void origins_load_versions(struct origins *o, const json_t *rows,
			   int64_t now_ms);
/*
 * Whether the versions should be loaded again, as this node had no list of
 * targets for a time in which one may have joined and left.
 */
bool origins_lacks_history(struct origins *o);

/*
 * Take records for other nodes, at most max, of services of which several
 * versions have served lately. Return their number.
 */
size_t origins_take_unsent(struct origins *o, int64_t now_ms,
			   struct stream_origin *out, size_t max);
/* Add records of other nodes. */
void origins_receive(struct origins *o, const struct stream_origin *v, size_t n,
		     int64_t now_ms);

/*
 * Nodes that hold the record of a stream, in the order of its rendezvous: all
 * nodes of a small fleet, the first ORIGIN_HOLDERS of a large one. With more
 * rounds as many again follow, which held it while others were missing. Write
 * their ids to out, which has room for ORIGIN_SMALL_FLEET; return their number.
 */
#define ORIGIN_SMALL_FLEET 24
#define ORIGIN_HOLDERS     3
size_t origin_holders(uint64_t request, const uint64_t *nodes, size_t n,
		      unsigned rounds, uint64_t *out);

/* Take a question that is due to be sent, for which time, from 1. */
bool origins_next_question(struct origins *o, int64_t now_ms,
			   struct origin_question *out, unsigned *rounds);
/* Note that a node has been asked. */
void origins_asked(struct origins *o, const struct origin_question *q,
		   uint64_t node);
/*
 * Note when the list of targets was last known to be the newest. outage: the
 * store doesn't answer this node, which is in contact with most of the others:
 * the list then counts for longer, as they would know of a newer one.
 */
void origins_set_list_time(struct origins *o, int64_t confirmed_ms, bool outage,
			   int64_t now_ms);

/*
 * Whether streams that may be resumed may begin at a version. The functions
 * below are version_gate_check and version_gate_take_due of version-gate.h.
 */
bool origins_may_begin(struct origins *o, uint64_t version);
bool origins_check_versions(struct origins *o, const uint64_t *nodes, size_t n,
			    int64_t now_ms);
size_t origins_take_news(struct origins *o, const uint64_t *nodes, size_t n,
			 int64_t now_ms, struct version_news *out, size_t max);
/*
 * Write what a node is to be told of the news to out, which has room for n.
 * Return how many entries there are.
 */
size_t origins_news_for(struct origins *o, const struct version_news *v,
			size_t n, uint64_t node, struct version_notice *out);
/*
 * Apply another node's notices. Write what this node says of these versions to
 * answer, which has room for n. Return whether streams may begin at a version
 * at which they could not before.
 */
bool origins_apply_notices(struct origins *o, uint64_t node,
			   const struct version_notice *v, size_t n,
			   int64_t now_ms, struct version_notice *answer);
/* Settle a look-up by this node's list if it can, as no other node is live. */
void origins_settle_alone(struct origins *o, const struct origin_question *q,
			  int64_t now_ms);
/* Answer another node's question. */
void origins_answer(struct origins *o, const struct origin_question *q,
		    int64_t now_ms, struct origin_reply *out);
/* Return whether a look-up was settled since the last call. */
bool origins_take_settled(struct origins *o);
/* Apply a node's reply. */
void origins_apply_reply(struct origins *o, uint64_t node,
			 const struct origin_reply *reply, int64_t now_ms);

#endif
