/*
 * Rates of the keys that requests are placed by. A node sees its own share of
 * the requests for a key. Where callers choose nodes at random, that share
 * tells the rate in the fleet, with a large error for rare keys: a key that
 * this node has not seen lately counts as rare.
 */
#include <glib.h>

#include "route/route.h"

/* Requests remembered, and for how long. */
#define ENTRIES   512
#define WINDOW_MS 8000

struct key_rates {
	struct key_seen {
		uint64_t key;
		int64_t at_ms;
	} seen[ENTRIES]; /* ring */
	uint64_t count;  /* requests recorded so far */
};

struct key_rates *key_rates_new(void)
{
	return g_new0(struct key_rates, 1);
}

void key_rates_free(struct key_rates *r)
{
	g_free(r);
}

double key_rates_per_ms(const struct key_rates *r, uint64_t key, int64_t now_ms)
{
	uint64_t n = MIN(r->count, ENTRIES);
	int64_t from_ms = now_ms - WINDOW_MS;
	unsigned found = 0;

	for (uint64_t i = 1; i <= n; i++) {
		const struct key_seen *s = &r->seen[(r->count - i) % ENTRIES];

		if (s->at_ms < from_ms)
			break;
		found += s->key == key;
		/* The ring may hold less than the whole window. */
		if (i == ENTRIES)
			from_ms = s->at_ms;
	}
	return found ? found / (double)MAX(now_ms - from_ms, 1) : 0;
}

void key_rates_record(struct key_rates *r, uint64_t key, int64_t now_ms)
{
	r->seen[r->count++ % ENTRIES] = (struct key_seen){key, now_ms};
}
