/*
 * brittle: targets that fall over when they have to reject too many requests in
 * a second, as they say in their responses. What they say holds for all targets
 * of their service: one that has fallen is back empty and under another name,
 * and has answered nobody. Traffic thread only; see route/brittle.c.
 */
#ifndef BRITTLE_H
#define BRITTLE_H

#include "entry/internal.h"

struct brittle;

struct brittle *brittle_new(void);
void brittle_free(struct brittle *b);

/* A response says how many rejections in 1,000 s it bears, or LIMIT_NONE. */
void pool_record_brittle(struct target *t, int64_t per_1000_s);
/* The target rejected a request for want of room. */
void pool_record_rejection(struct target *t);
/*
 * Whether targets of the service are brittle and have too little room for what
 * nodes send before they see it.
 */
bool brittle_is_short(struct traffic *tr, struct str service, int64_t now_ms);
/* Whether a request to the target now would be one too many. */
bool brittle_is_overfull(struct target *t, double load, int64_t now_ms);
/* Count a request that is sent to the target, which had that load. */
void brittle_take(struct target *t, double load, int64_t now_ms);

#endif
