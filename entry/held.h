/*
 * What callers make this node hold in memory, and who has to give way when that
 * is too much. Buffers, heads and connections are counted in one account,
 * traffic.held: see buf_set_account and reader_set_account. Decisions
 * only; caller.c carries them out. Any thread.
 */
#ifndef HELD_H
#define HELD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Counted for a connection, and for a request in progress with its link. */
#define HELD_CONNECTION_BYTES 1024
#define HELD_REQUEST_BYTES    3072

/*
 * The request of a new connection may be on its way for so long: a lost segment
 * is sent again after 200 ms.
 */
#define HELD_REQUEST_DUE_MS 500

enum holder_state {
	HOLDER_IDLE,     /* no request is in progress */
	HOLDER_REFUSED,  /* the same; the rest of the last one is dropped */
	HOLDER_UNSERVED, /* nothing of its request runs or may have run */
	HOLDER_SERVED,   /* a target has it, or the caller has got a part */
};

/* What one caller holds. */
struct holder {
	enum holder_state state;
	size_t bytes;
	int64_t since_ms; /* when the connection became idle, or the request
			     began */
};

/*
 * Return how much all callers may hold, in bytes, when the one that asks for
 * more would hold so much itself. One that holds little has room that others
 * have not, so that large requests deny it nothing.
 */
int64_t held_max(int64_t memory_mb, size_t holder_bytes);
/*
 * Return how much output may wait for a caller before no more of its response
 * is read from the target, in bytes; less when callers hold much.
 */
size_t held_unsent_max(int64_t memory_mb, int64_t held_bytes);
/*
 * Whether a gives up its memory before b: idle ones first, the longest idle of
 * them, then the one that holds most.
 */
bool held_ends_before(const struct holder *a, const struct holder *b);
/*
 * Whether h may be ended for that of the one that asks, who counts with what it
 * asks for. Never one that is served, nor one that is refused, which holds
 * nothing, nor one that holds no more than the one that asks; idle ones, which
 * hold little, only for one that asks for little.
 */
bool held_may_end(const struct holder *h, const struct holder *asker);
/*
 * Whether a gives up its descriptor before b: first who is idle, but for those
 * that have just connected and whose request may be on its way, then those that
 * were refused, then the request that began first of those that are not read
 * whole. One that is served gives up none.
 */
bool held_closes_before(const struct holder *a, const struct holder *b,
			int64_t now_ms);

#endif
