/* See supply.h. */
#include <glib.h>
#include <math.h>

#include "route/supply.h"

/* Return how many requests a target takes up to a time. */
static double count_at(const struct supply *s, int64_t until_ms)
{
	if (s->next_ms > until_ms)
		return 0;
	return 1 + floor((double)(until_ms - s->next_ms) * s->per_ms);
}

double supply_count(const struct supply *v, size_t n, int64_t until_ms)
{
	double sum = 0;

	for (size_t i = 0; i < n; i++)
		sum += count_at(&v[i], until_ms);
	return sum;
}

int64_t supply_time_ms(const struct supply *v, size_t n, size_t count,
		       int64_t now_ms, int64_t max_ms)
{
	int64_t low = now_ms, high = max_ms;

	if (supply_count(v, n, max_ms) < (double)count)
		return INT64_MAX;
	while (low < high) {
		int64_t mid = low + (high - low) / 2;

		if (supply_count(v, n, mid) >= (double)count)
			high = mid;
		else
			low = mid + 1;
	}
	return low;
}
