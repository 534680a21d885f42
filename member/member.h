/*
 * member: membership, failure detection and load gossip between the nodes of a
 * fleet, eventually consistent, within a byte budget.
 *
 * Failure detection follows SWIM: in each period a node pings one member, asks
 * relays to ping it when no ack arrives, and suspects it if a relay reports
 * that its ping failed too; if no relay answers either, only after several such
 * periods. A suspected member refutes the suspicion with a higher incarnation
 * number. No node accepts another node's claim that a member is dead: each
 * waits for its own suspicion timeout.
 *
 * The state machine does no I/O: the caller passes the time, and callbacks
 * send messages and give random numbers. It has no thread and no lock; one
 * thread makes all calls on a struct member. The codec turns messages into
 * authenticated ONC RPC calls and keeps no state.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "member/member-gen.h"

/* Size of the IPv4 and UDP headers, which count against the budget. */
#define MEMBER_IP_UDP_HEADER_BYTES 28
/* Largest message in bytes, IPv4 and UDP headers included. */
#define MEMBER_PACKET_MAX_BYTES 1000
#define MEMBER_KEY_BYTES        32
/* A member that is suspected has not answered for this long or longer. */
#define MEMBER_SILENT_MS 800

struct member;

/* How the state machine reaches the network. ctx is passed to each callback. */
struct member_callbacks {
	void *ctx;
	/*
	 * Send a message to a control address ("IP:port"). m and all that it
	 * points to are valid only during the call. A failed send counts as a
	 * lost message.
	 */
	void (*send)(void *ctx, const char *control,
		     const struct member_message *m);
	/* Return a uniform random number; tests pass a seeded generator. */
	uint64_t (*random)(void *ctx);
};

struct member_options {
	struct member_info self; /* copied */
	uint32_t incarnation;    /* above that of any earlier process */
	int64_t budget_bytes_s;  /* limit on bytes sent in any second */
	struct member_callbacks callbacks;
};

/* A node's identity and state as this node sees them; itself included. */
struct member_peer {
	uint64_t id; /* member_id() of the name */
	struct member_info info;
	uint32_t incarnation;
	enum member_state state;
	bool leaving; /* announced that it shuts down */
};

/* Create the state machine; the caller frees it with member_free. */
struct member *member_new(const struct member_options *o, int64_t now_ms);
void member_free(struct member *m);
/* Return the id of a node or target, a hash of its name that is never 0. */
uint64_t member_id(const char *name);
/* Run timers and send what is due. Call at least every 50 ms. */
void member_tick(struct member *m, int64_t now_ms);
/* Process a message that member_decode has authenticated. */
void member_receive(struct member *m, int64_t now_ms,
		    const struct member_message *msg);
/*
 * Merge the platform's instance list: add unknown nodes, and forget dead nodes
 * that the list named before and no longer does. A node that is alive is never
 * removed because of the list.
 */
void member_merge_instances(struct member *m, int64_t now_ms,
			    const struct member_info *infos, size_t n);
/*
 * Join by way of the node at a control address, for a start while the instance
 * list can't be read.
 */
void member_join(struct member *m, const char *control);
/* Announce that this node is leaving: others stop naming it to callers. */
void member_leave(struct member *m);
/*
 * Announce that this node has left. Afterwards member_tick and member_receive
 * do nothing.
 */
void member_stop(struct member *m);

/* Announce the configuration revision in force on this node. */
void member_set_revision(struct member *m, int64_t revision);
/* Return the newest configuration revision that any node has announced. */
int64_t member_revision(const struct member *m);

/* Return a number that grows whenever the state of a node or target changes. */
uint64_t member_view_version(const struct member *m);
/* Return the number of known nodes in any state, this one included. */
size_t member_count(const struct member *m);
/* Return node i of member_count; valid until the next tick or message. */
const struct member_peer *member_at(const struct member *m, size_t i);
/* Return the node with this id, or NULL; valid as for member_at. */
const struct member_peer *member_find(const struct member *m, uint64_t id);
/*
 * Count the nodes, this one included, that are believed alive (live), and those
 * that should be (known). Dead nodes count as known for two hours unless they
 * left or the instance list dropped them.
 */
void member_count_live(const struct member *m, size_t *live, size_t *known);
/* Return whether this node sees less than half of the known nodes alive. */
bool member_is_minority(const struct member *m);
/* Return the bytes sent so far, IPv4 and UDP headers included. */
int64_t member_bytes_sent(const struct member *m);

/*
 * Set this node's contribution to a pool's load: the work at the targets that
 * it admits to, in any unit, and the number of those targets.
 */
void member_set_load(struct member *m, const char *pool, double work,
		     unsigned targets);
/*
 * Compute the mean work per target of a pool in the whole fleet, weighting
 * newer contributions more. Return false when there is none.
 */
bool member_mean_load(const struct member *m, const char *pool, double *mean);

/*
 * Get the work that a node last reported for a pool. Return false and set 0
 * when it has reported none.
 */
bool member_node_load(const struct member *m, uint64_t node, const char *pool,
		      double *work);

/* What this node observed on its own connections to a target. */
enum target_observation {
	TARGET_ANSWERED,       /* an answer came on any connection */
	TARGET_STALLED,        /* sent nothing in time on an open connection */
	TARGET_CONNECT_FAILED, /* a new connection could not be opened */
	TARGET_REPORTED_LEAVING,   /* announced that it accepts no new work */
	TARGET_REPORTED_ACCEPTING, /* announced that it accepts new work */
};

/* Health of a target, from own observations and reports of other nodes. */
enum target_health_state {
	TARGET_HEALTH_LIVE,
	TARGET_HEALTH_STALLED,  /* a connection stalled; still accepts work */
	TARGET_HEALTH_FLAPPING, /* reachable again, in hold-down */
	TARGET_HEALTH_DOWN,     /* this node or two others can't connect */
	TARGET_HEALTH_LEAVING,  /* announced that it accepts no new work */
};

/*
 * Record an observation of a target. That it leaves, accepts work again or can
 * not be reached is gossiped to the other nodes.
 */
void member_observe_target(struct member *m, int64_t now_ms, const char *target,
			   enum target_observation observation);
/* Return the health of a target; an unknown one counts as live. */
enum target_health_state member_target_health(const struct member *m,
					      int64_t now_ms,
					      const char *target);

/* Return the size on the wire in bytes, IPv4 and UDP headers included. */
size_t member_message_bytes(const struct member_message *m);
/* Return the encoded size of one record in bytes. */
size_t member_record_bytes(const struct member_record *r);

/*
 * Encode a message as an RPC call with its authenticator, the payload of one
 * datagram.
 *
 * Return: the length in bytes, or 0 when the message is too large for buf or
 * for MEMBER_BODY_MAX_BYTES.
 */
size_t member_encode(const struct member_message *m,
		     const uint8_t key[MEMBER_KEY_BYTES], uint8_t *buf,
		     size_t size);

enum member_decode_result {
	MEMBER_DECODED,
	MEMBER_MALFORMED,     /* not an encoded message, or invalid values */
	MEMBER_NOT_AUTHENTIC, /* made with another key, or altered */
};

/*
 * Decode the payload of a datagram. On MEMBER_DECODED the caller frees *out
 * with member_message_clear; otherwise *out is empty.
 */
enum member_decode_result member_decode(const uint8_t *buf, size_t n,
					const uint8_t key[MEMBER_KEY_BYTES],
					struct member_message *out);
/* Free what member_decode allocated, but not m itself. */
void member_message_clear(struct member_message *m);

#endif
