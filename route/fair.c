#include "route/route.h"

/*
 * Satisfy everyone whose demand is under the level that an equal division of
 * the rest would give. Return: whether there was any.
 */
static bool satisfy(struct fair_taker *t, size_t n, double *left, double *sum)
{
	double level = *left / *sum;
	bool any = false;

	for (size_t i = 0; i < n; i++) {
		if (t[i].share >= 0 || t[i].demand > level * t[i].weight)
			continue;
		t[i].share = t[i].demand;
		*left -= t[i].demand;
		*sum -= t[i].weight;
		any = true;
	}
	return any;
}

void fair_shares(double amount, struct fair_taker *t, size_t n)
{
	double left = amount;
	double sum = 0;
	size_t open = 0;

	for (size_t i = 0; i < n; i++) {
		t[i].share = -1;
		sum += t[i].weight;
	}
	while (sum > 0 && satisfy(t, n, &left, &sum)) {
		open = 0;
		for (size_t i = 0; i < n; i++)
			open += t[i].share < 0;
		if (!open)
			return;
	}
	for (size_t i = 0; i < n; i++)
		if (t[i].share < 0)
			t[i].share = left * t[i].weight / sum;
}
