/* Shares of organisations in one target. */
#include "route/admit.h"

struct usage *usage_find(const struct counted *t, uint32_t organisation)
{
	for (guint i = 0; i < t->usage->len; i++) {
		struct usage *u = &g_array_index(t->usage, struct usage, i);

		if (u->organisation == organisation)
			return u;
	}
	return NULL;
}

struct usage *usage_get(struct counted *t, uint32_t organisation, double weight)
{
	struct usage *u = usage_find(t, organisation);
	struct usage new = {.organisation = organisation};

	if (!u) {
		g_array_append_val(t->usage, new);
		u = &g_array_index(t->usage, struct usage, t->usage->len - 1);
	}
	t->weights += weight - u->weight;
	u->weight = weight;
	return u;
}

void usage_trim(struct counted *t)
{
	for (guint i = 0; i < t->usage->len;) {
		struct usage *u = &g_array_index(t->usage, struct usage, i);

		if (u->work > 0 || u->waiting > 0) {
			i++;
			continue;
		}
		t->weights -= u->weight;
		g_array_remove_index_fast(t->usage, i);
	}
}

bool share_allows(const struct admit *a, const struct counted *t,
		  const struct ask *q)
{
	const struct usage *u = usage_find(t, q->organisation);
	double weights = t->weights + q->weight - (u ? u->weight : 0);
	int64_t used = u ? u->work : 0;

	/* As with targets, one request may always be larger than the share. */
	return used == 0 || (double)(used + q->work) <= (double)admit_bound(a) *
								q->weight /
								weights;
}
