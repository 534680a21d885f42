/*
 * supply: when targets that take no request now will take some, as far as is
 * known, and so which of the requests that wait for them can be served in time.
 *
 * Pure functions. Times are absolute milliseconds on the caller's clock.
 */
#ifndef SUPPLY_H
#define SUPPLY_H

#include <stddef.h>
#include <stdint.h>

/* What one target will take. */
struct supply {
	int64_t next_ms; /* when it takes the next request */
	double per_ms;   /* requests a ms from then on */
};

/* Return how many requests n targets take up to a time, that included. */
double supply_count(const struct supply *v, size_t n, int64_t until_ms);
/*
 * Return the time from now_ms to max_ms at which they will have taken count
 * requests; INT64_MAX if it is later.
 */
int64_t supply_time_ms(const struct supply *v, size_t n, size_t count,
		       int64_t now_ms, int64_t max_ms);

#endif
