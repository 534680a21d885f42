/*
 * Shares of organisations in one target. An organisation is within its share
 * when its work in progress is under its part of the bound, or when it was
 * served less than others: by start-time fair queueing each organisation has
 * the virtual time up to which it was served, and the target has that of the
 * request it served last. The second counts when there are more organisations
 * than the target holds requests.
 */
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
	u->weight = weight;
	return u;
}

static bool is_active(const struct usage *u)
{
	return u->work > 0 || u->waiting > 0;
}

void usage_changed(struct counted *t)
{
	t->weights = 0;
	for (guint i = 0; i < t->usage->len;) {
		struct usage *u = &g_array_index(t->usage, struct usage, i);

		if (!is_active(u) && u->served < t->served) {
			g_array_remove_index_fast(t->usage, i);
			continue;
		}
		t->weights += is_active(u) ? u->weight : 0;
		i++;
	}
}

double share_start(const struct counted *t, uint32_t organisation)
{
	const struct usage *u = usage_find(t, organisation);

	return u ? MAX(t->served, u->served) : t->served;
}

double share_promised(const struct counted *t, uint32_t organisation)
{
	const struct usage *u = usage_find(t, organisation);
	double start = share_start(t, organisation);

	return u ? start + (double)u->waiting_work / u->weight : start;
}

bool share_allows(const struct admit *a, const struct counted *t,
		  const struct admit_ask *q, int64_t waiting)
{
	const struct usage *u = usage_find(t, q->organisation);
	double part, others;

	if (!u)
		return true;
	others = (double)(u->waiting_work - waiting) / u->weight;
	if (u->served + others < t->served)
		return true;
	part = (double)admit_bound(a) * q->weight /
	       (t->weights + (is_active(u) ? 0 : q->weight));
	return (double)(u->work + counted_work(t, q)) <= part;
}

void share_charge(struct counted *t, struct usage *u, int64_t work)
{
	t->served = MAX(u->served, t->served);
	u->served = t->served + (double)work / u->weight;
	u->work += work;
	usage_changed(t);
}
