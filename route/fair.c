/* Weighted max-min fair shares by progressive filling. */
#include "route/route.h"

/*
 * Satisfy each open claimant (share below 0) whose demand is at most its
 * weighted part of the amount left. open_weight is the sum of the weights of
 * the open claimants.
 *
 * Return: whether any was satisfied.
 */
static bool satisfy(struct fair_claimant *c, size_t n, double *left,
		    double *open_weight)
{
	double level = *left / *open_weight;
	bool any = false;

	for (size_t i = 0; i < n; i++) {
		if (c[i].share >= 0 || c[i].demand > level * c[i].weight)
			continue;
		c[i].share = c[i].demand;
		*left -= c[i].demand;
		*open_weight -= c[i].weight;
		any = true;
	}
	return any;
}

void fair_shares(double amount, struct fair_claimant *c, size_t n)
{
	double left = amount;
	double open_weight = 0;
	size_t open = 0;

	for (size_t i = 0; i < n; i++) {
		c[i].share = -1;
		open_weight += c[i].weight;
	}
	while (open_weight > 0 && satisfy(c, n, &left, &open_weight)) {
		open = 0;
		for (size_t i = 0; i < n; i++)
			open += c[i].share < 0;
		if (!open)
			return;
	}
	for (size_t i = 0; i < n; i++)
		if (c[i].share < 0)
			c[i].share = left * c[i].weight / open_weight;
}
