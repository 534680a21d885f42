/*
 * tunnel: connections to targets through another node, for a node that has lost
 * its own way to them.
 *
 * The node that has the caller makes all decisions. It opens a connection to
 * the helper, sends a hello that names the target, and gets one byte: whether
 * the helper has connected to that target. From then on the helper copies bytes
 * both ways; when the node closes, which wants no response then, it resets the
 * target's side. What the target sends goes to the node in frames: two bytes of
 * length, the higher one first, and as many bytes. An empty frame says that the
 * target has closed the connection in order, as the end of the connection to
 * the helper may be that of the helper. A helper connects to targets only,
 * never to a further node. Traffic thread only.
 */
#ifndef TUNNEL_H
#define TUNNEL_H

#include "entry/internal.h"

/* Target, helper, a random number, and an authentication code of these. */
#define TUNNEL_HELLO_BYTES (3 * 8 + 32)

#define TUNNEL_FRAME_HEAD_BYTES 2

/* The byte that a helper sends. */
enum tunnel_reply {
	TUNNEL_NO_ANSWER = 0, /* it sent none */
	TUNNEL_OPEN = 'f',
	/* Of an older version, which sends no frames. */
	TUNNEL_OPEN_UNFRAMED = 'o',
	TUNNEL_TARGET_DOWN = 'd', /* the helper can't connect to the target */
	TUNNEL_CUT = 'c',     /* the helper has lost its way to it as well */
	TUNNEL_REFUSED = 'r', /* it has no room, or would not use the target */
};

/* Write a hello; false while the node doesn't have the fleet's secret. */
bool tunnel_hello(struct traffic *tr, uint64_t target, uint64_t helper,
		  uint8_t out[TUNNEL_HELLO_BYTES]);
/* Accept the connections of other nodes that wait on the port. */
void tunnels_accept(struct port *p);
void tunnels_close_all(struct traffic *tr);

/* reach-check.c: whether a target is down or only this node's way to it. */

void reach_checks_init(struct traffic *tr);
/* Cancel the checks in progress. */
void reach_checks_free(struct traffic *tr);
/*
 * Find out about a target that has failed; the result goes to ways_record.
 * suspect: the request that broke off, of which the parts are copied; NULL:
 * none did.
 */
void reach_check_start(struct target *t, const struct cause_keys *suspect);
/* Find out whether the way to a target is back. */
void reach_probe_start(struct target *t);
/*
 * Open a connection to a target through another node; NULL when none can help.
 * *helper is set to the node.
 */
struct link *reach_through_peer(struct target *t, uint64_t *helper);
/* The node did not help: choose others for a while. */
void reach_avoid_helper(struct traffic *tr, uint64_t helper);

#endif
