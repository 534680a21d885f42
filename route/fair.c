/* Weighted max-min fair shares by progressive filling. */
#include "route/route.h"

/*
 * Satisfy each open claimant (share below 0) whose demand is at most its
 * weighted part of what is left. open_weight is that of those still open.
 *
 * Return: whether any was satisfied.
 */
static bool satisfy(struct fair_claimant *t, size_t n, double *left,
		    double *open_weight)
{
	double level = *left / *open_weight;
	bool any = false;

	for (size_t i = 0; i < n; i++) {
		if (t[i].share >= 0 || t[i].demand > level * t[i].weight)
			continue;
		t[i].share = t[i].demand;
		*left -= t[i].demand;
		*open_weight -= t[i].weight;
		any = true;
	}
	return any;
}

void fair_shares(double amount, struct fair_claimant *t, size_t n)
{
	double left = amount;
	double open_weight = 0;
	size_t open = 0;

	for (size_t i = 0; i < n; i++) {
		t[i].share = -1;
		open_weight += t[i].weight;
	}
	while (open_weight > 0 && satisfy(t, n, &left, &open_weight)) {
		open = 0;
		for (size_t i = 0; i < n; i++)
			open += t[i].share < 0;
		if (!open)
			return;
	}
	for (size_t i = 0; i < n; i++)
		if (t[i].share < 0)
			t[i].share = left * t[i].weight / open_weight;
}
