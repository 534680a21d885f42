/*
 * Organisations' shares of one target, by start-time fair queueing.
 *
 * Each organisation has the finish tag of its last request, and the target's
 * virtual time is the start tag of the last request admitted. An organisation
 * is within its share when its work in progress is under its weighted part of
 * the bound, or when its finish tag, its queue included, is behind the virtual
 * time: it was served less than others. The second rule is needed when there
 * are more organisations than the target can hold requests.
 */
#include "route/admit.h"

struct org_usage *org_usage_find(const struct admit_target *t,
				 uint32_t organisation)
{
	for (guint i = 0; i < t->usage->len; i++) {
		struct org_usage *u =
			&g_array_index(t->usage, struct org_usage, i);

		if (u->organisation == organisation)
			return u;
	}
	return NULL;
}

struct org_usage *org_usage_get(struct admit_target *t, uint32_t organisation,
				double weight)
{
	struct org_usage *u = org_usage_find(t, organisation);
	struct org_usage new = {.organisation = organisation};

	if (!u) {
		g_array_append_val(t->usage, new);
		u = &g_array_index(t->usage, struct org_usage,
				   t->usage->len - 1);
	}
	u->weight = weight;
	return u;
}

static bool is_active(const struct org_usage *u)
{
	return u->work > 0 || u->queued > 0;
}

void org_usage_update(struct admit_target *t)
{
	t->active_weight = 0;
	for (guint i = 0; i < t->usage->len;) {
		struct org_usage *u =
			&g_array_index(t->usage, struct org_usage, i);

		if (!is_active(u) && u->finish_tag < t->virtual_time) {
			g_array_remove_index_fast(t->usage, i);
			continue;
		}
		t->active_weight += is_active(u) ? u->weight : 0;
		i++;
	}
}

double share_start_tag(const struct admit_target *t, uint32_t organisation)
{
	const struct org_usage *u = org_usage_find(t, organisation);

	return u ? MAX(t->virtual_time, u->finish_tag) : t->virtual_time;
}

double share_queued_finish_tag(const struct admit_target *t,
			       uint32_t organisation)
{
	const struct org_usage *u = org_usage_find(t, organisation);
	double start = share_start_tag(t, organisation);

	return u ? start + (double)u->queued_work / u->weight : start;
}

bool share_allows(const struct admit *a, const struct admit_target *t,
		  const struct admit_request *q, int64_t queued_work)
{
	const struct org_usage *u = org_usage_find(t, q->organisation);
	double max_work, others_queued;

	if (!u)
		return true;
	others_queued = (double)(u->queued_work - queued_work) / u->weight;
	if (u->finish_tag + others_queued < t->virtual_time)
		return true;
	max_work = (double)admit_bound(a) * q->weight /
		   (t->active_weight + (is_active(u) ? 0 : q->weight));
	return (double)(u->work + admit_expected_work(t, q)) <= max_work;
}

void share_charge(struct admit_target *t, struct org_usage *u, int64_t work)
{
	t->virtual_time = MAX(u->finish_tag, t->virtual_time);
	u->finish_tag = t->virtual_time + (double)work / u->weight;
	u->work += work;
	org_usage_update(t);
}
