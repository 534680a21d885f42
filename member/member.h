/*
 * member: which nodes and targets are alive, agreed loosely between all nodes
 * by small messages under a byte budget. The decision part is pure: the time
 * is an argument, sends and random numbers are callbacks. The codec turns its
 * messages into authenticated ONC RPC calls.
 *
 * Failure detection follows SWIM: each node pings one member a period, asks
 * others to ping it when no answer came, and suspects it only if one of those
 * can't reach it either. A suspected member that hears of it says so under a
 * higher incarnation number. Nobody takes another node's word that a member
 * is dead: each lets its own suspicion run out.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "member/member-gen.h"

/* Bytes of a datagram around its RPC call: IPv4 and UDP headers. */
#define MEMBER_DATAGRAM_BYTES 28
/* Largest message as sent, with its datagram's headers. */
#define MEMBER_SENT_MAX  1000
#define MEMBER_KEY_BYTES 32

struct member;

struct member_callbacks {
	void *ctx;
	/* Send to a control address; m and what it points to are borrowed. */
	void (*send)(void *ctx, const char *control,
		     const struct member_message *m);
	/* Uniform random number; seeded in tests. */
	uint64_t (*random)(void *ctx);
};

struct member_options {
	struct member_info self; /* copied */
	uint32_t incarnation;    /* above those of earlier processes */
	int64_t budget_bytes_s;  /* most bytes sent in any second */
	struct member_callbacks callbacks;
};

/* A node as seen by this one. */
struct member_peer {
	uint64_t id; /* hash of the name */
	struct member_info info;
	uint32_t incarnation;
	enum member_state state;
	bool leaving;
};

struct member *member_new(const struct member_options *o, int64_t now_ms);
void member_free(struct member *m);
/* Identity of a node or target by its name. */
uint64_t member_id(const char *name);
/* Do what is due; call at least every 50 ms. */
void member_tick(struct member *m, int64_t now_ms);
/* Take in an authenticated message. */
void member_receive(struct member *m, int64_t now_ms,
		    const struct member_message *msg);
/*
 * Take in the platform's list: unknown nodes are added, and dead ones that it
 * no longer names are forgotten. A node is never given up because of it.
 */
void member_seed(struct member *m, int64_t now_ms,
		 const struct member_info *infos, size_t n);
/* Introduce this node at a control address, when no list can be had. */
void member_introduce(struct member *m, const char *control);
/* Say that this node is leaving: others stop naming it to callers. */
void member_leave(struct member *m);
/* Say that this node is gone; nothing is to be called afterwards. */
void member_stop(struct member *m);

/* Tell of a configuration revision in force here. */
void member_set_revision(struct member *m, int64_t revision);
/* Newest revision that any node has told of. */
int64_t member_revision(const struct member *m);

/* Number that grows with each change to what is seen. */
uint64_t member_view_number(const struct member *m);
size_t member_count(const struct member *m);
const struct member_peer *member_at(const struct member *m, size_t i);
const struct member_peer *member_find(const struct member *m, uint64_t id);
/*
 * Nodes, this one included, that are believed alive, and those that should
 * be: dead ones count for two hours unless they left or the list dropped them.
 */
void member_seen(const struct member *m, size_t *live, size_t *known);
/* Whether this node sees less than half of the nodes it knows. */
bool member_is_minority(const struct member *m);
/* Bytes sent so far, headers included. */
int64_t member_bytes_sent(const struct member *m);

/*
 * Set this node's part of a pool's load: the work of the targets that it
 * admits for, in any unit, and the number of those targets.
 */
void member_set_load(struct member *m, const char *pool, double work,
		     unsigned targets);
/*
 * Mean work of a pool's targets in the whole fleet, newer parts counting more;
 * false when nothing is known.
 */
bool member_mean_load(const struct member *m, const char *pool, double *mean);

/* One node's part as last heard; false and 0 when unknown. */
bool member_node_load(const struct member *m, uint64_t node, const char *pool,
		      double *work);

/* What happened between this node and a target. */
enum target_note {
	TARGET_ANSWERED, /* on any connection */
	TARGET_SILENT,   /* an open connection went silent */
	TARGET_REFUSED,  /* a new connection could not be opened */
	TARGET_LEAVES,   /* it said that it takes no new work */
	TARGET_TAKES,    /* it said that it takes new work */
};

enum target_view {
	TARGET_VIEW_LIVE,
	TARGET_VIEW_SILENT,   /* a connection is silent; still takes work */
	TARGET_VIEW_FLAPPING, /* up again, but held back for a while */
	TARGET_VIEW_DOWN,     /* this node or two others can't connect */
	TARGET_VIEW_LEAVING,
};

void member_note_target(struct member *m, int64_t now_ms, const char *target,
			enum target_note note);
enum target_view member_target(const struct member *m, int64_t now_ms,
			       const char *target);

/* Bytes that the message takes on the wire, headers included. */
size_t member_message_bytes(const struct member_message *m);
size_t member_record_bytes(const struct member_record *r);

/*
 * Encode as one datagram's content: an RPC call with the authenticator.
 *
 * Return: its length, or 0 when it does not fit.
 */
size_t member_encode(const struct member_message *m,
		     const uint8_t key[MEMBER_KEY_BYTES], uint8_t *buf,
		     size_t size);

enum member_decode_result {
	MEMBER_DECODED,
	MEMBER_MALFORMED,
	MEMBER_NOT_AUTHENTIC,
};

/* Decode a datagram. On success *out is freed by member_message_clear. */
enum member_decode_result member_decode(const uint8_t *buf, size_t n,
					const uint8_t key[MEMBER_KEY_BYTES],
					struct member_message *out);
void member_message_clear(struct member_message *m);

#endif
