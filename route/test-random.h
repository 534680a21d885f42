/* Seeded random numbers for this folder's tests. */
#ifndef TEST_RANDOM_H
#define TEST_RANDOM_H

#include <glib.h>

#include "route/route.h"

static inline double random_next(void *ctx)
{
	return g_rand_double(ctx);
}

static inline struct route_random random_of(GRand *r)
{
	return (struct route_random){random_next, r};
}

#endif
