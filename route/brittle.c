/*
 * How many requests at a time a node may have at a target that falls over when
 * it has to reject too many.
 */
#include <glib.h>
#include <math.h>

#include "route/route.h"

/*
 * Share of the slots that the nodes divide among them when a target is no
 * longer calm; the rest is for what they can't see.
 */
#define ROOM_SHARE 0.75

/* Time over which the rate and the load are averaged. */
#define AVERAGE_MS 4000
/* Share of the slots that requests sent by the rate take on average. */
#define RATE_SHARE 0.35
/* Most requests that a node may send at once by the rate. */
#define BURST 1.5

void brittle_rate_update(struct brittle_rate *r, double load, double slots,
			 int nodes, int64_t now_ms)
{
	double ms = (double)(now_ms - r->updated_ms);
	double part = MIN(ms / AVERAGE_MS, 1);
	double per_ms;

	if (!r->updated_ms) {
		r->updated_ms = now_ms;
		r->work_ms = INFINITY;
		return;
	}
	r->updated_ms = now_ms;
	r->per_ms += part * (r->sent / ms - r->per_ms);
	r->load += part * (load - r->load);
	r->sent = 0;
	/* Little's law, where all nodes send as much as this one. */
	r->work_ms = r->per_ms > 0 ? r->load / (r->per_ms * nodes) : INFINITY;
	per_ms = RATE_SHARE * slots / MAX(r->work_ms, 1) / nodes;
	r->tokens = MIN(r->tokens + per_ms * ms, BURST);
}

void brittle_rate_take(struct brittle_rate *r)
{
	r->sent++;
	r->tokens = MAX(r->tokens - 1, 0);
}

/*
 * Requests that were sent unseen, as a multiple of what nodes expect: in a
 * burst the rate of the last second is too low.
 */
#define UNSEEN_PART 2.5

double brittle_room(double slots, double load)
{
	return MAX(BRITTLE_CALM_SHARE * slots - load, 0);
}

bool brittle_lasts(double room, double unseen)
{
	return room >= (1 + UNSEEN_PART) * unseen;
}

/*
 * All nodes see the same room, and what the others send there only later. Each
 * takes a target in a turn with the chance that the room of all targets lasts
 * for what all nodes send, by a hash, so that a question changes nothing.
 */
static bool is_turn(const struct brittle_load *b)
{
	uint64_t hash =
		rendezvous_score(b->target + (uint64_t)b->turn, b->node);

	return (double)hash / (double)UINT64_MAX * b->unseen <=
	       b->room - UNSEEN_PART * b->unseen;
}

bool brittle_is_calm(const struct brittle_load *b)
{
	return !b->rejected && b->load + 1 <= BRITTLE_CALM_SHARE * b->slots &&
	       is_turn(b);
}

int brittle_share(int64_t slots, int nodes, int nodes_before)
{
	int room = (int)MAX(ROOM_SHARE * (double)slots, 1);

	return room / nodes + (nodes_before < room % nodes);
}
