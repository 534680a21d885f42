/* How long an answer of the directory is kept. See directory.h. */
#include <glib.h>

#include "route/directory.h"

/*
 * Shortest time: callers ask again on their next new connection after it, and a
 * restarted fleet is back within some seconds.
 */
#define TTL_MIN_S 0.3
/* A node that started less than this ago may know only some of the others. */
#define SETTLED_MS 2000

double directory_ttl_s(const struct directory_view *v, double max_s)
{
	double share = v->known ? (double)v->listed / (double)v->known : 1;
	/* The fewer nodes take the callers of all, the sooner they return. */
	double ttl_s = v->age_ms < SETTLED_MS ? 0 : share * max_s;

	return MIN(MAX(ttl_s, TTL_MIN_S), max_s);
}
