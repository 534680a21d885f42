/*
 * Placement: sends requests that share a prompt prefix to the same target while
 * its load is within bounds, and finds the target to fetch a cached prefix
 * from.
 */
#include <glib.h>
#include <math.h>
#include <stdint.h>

#include "route/route.h"

/*
 * Operators allow a load of factor x mean + 3. Both limits stay below that, as
 * a node's view of the others' load is some 100 ms old. The limit for short
 * prefixes is lower: their requests move first, since a short prefix costs
 * least to recompute.
 */
#define LONG_TOKENS 1000 /* about 12 ms at 80 tokens per ms of prefill */
/* Fraction of the factor's excess over 1, and slack in requests. */
#define LONG_FRACTION  0.75
#define LONG_SLACK     2.2
#define SHORT_FRACTION 0.3
#define SHORT_SLACK    1.5

struct place_limits place_limits_for(int64_t shared_tokens, double factor)
{
	double excess = factor > 1 ? factor - 1 : 0;

	if (shared_tokens >= LONG_TOKENS)
		return (struct place_limits){.factor =
						     1 + LONG_FRACTION * excess,
					     .slack = LONG_SLACK};
	return (struct place_limits){.factor = 1 + SHORT_FRACTION * excess,
				     .slack = SHORT_SLACK};
}

/*
 * Load, as a multiple of its slots, up to which a target takes requests of a
 * priority while others are limited; the last is that of all less urgent ones.
 */
static const double overflow_loads[] = {2, 1.5, 1};

/* A target takes its full share of the keys this long after it joined. */
#define JOIN_RAMP_MS 30000
/* Weight on joining: above 0, so that the target gets some keys at once. */
#define WEIGHT_MIN 0.02

double place_weight(int64_t joined_for_ms)
{
	double w = (double)joined_for_ms / JOIN_RAMP_MS;

	return w < WEIGHT_MIN ? WEIGHT_MIN : w > 1 ? 1 : w;
}

/*
 * Return the weighted rendezvous score of a candidate. It wins the key with a
 * chance of w / sum of all w, and when its weight grows, keys move only to it.
 */
static double weighted_score(uint64_t key, uint64_t id, double w)
{
	struct rendezvous_candidate r = {id, 0, 0};

	rendezvous_sort(key, &r, 1);
	return -w / log(((double)(r.score >> 11) + 0.5) / (double)(1LL << 53));
}

/*
 * Return whether a target may get requests. Targets marked avoid may only with
 * allow_avoided, which is set when there are no others.
 */
static bool may_take(const struct place_target *t, bool allow_avoided)
{
	return !t->draining && !t->limited && !t->warming &&
	       (!t->avoid || allow_avoided);
}

/*
 * Return the mean load of the targets that the service's requests are spread
 * over, -1 if none may get one from this node.
 */
static double mean_load(const struct place_target *t, size_t n,
			bool allow_avoided)
{
	double sum = 0;
	size_t k = 0;
	bool any = false;

	for (size_t i = 0; i < n; i++) {
		if (t[i].draining || (t[i].avoid && !allow_avoided))
			continue;
		any |= !t[i].limited && !t[i].warming;
		sum += t[i].load;
		k++;
	}
	return any ? sum / (double)k : -1;
}

/*
 * Return the target with the highest score for the key among those whose load
 * stays within bound with one more request, or SIZE_MAX.
 */
static size_t highest_score(const struct place_target *t, size_t n,
			    bool allow_avoided, uint64_t key, bool weighted,
			    double bound)
{
	size_t best = SIZE_MAX;
	double max_score = 0;

	for (size_t i = 0; i < n; i++) {
		double score;

		if (!may_take(&t[i], allow_avoided) || t[i].load + 1 > bound)
			continue;
		score = weighted_score(key, t[i].id,
				       weighted ? t[i].weight : 1);
		if (best == SIZE_MAX || score > max_score) {
			best = i;
			max_score = score;
		}
	}
	return best;
}

/*
 * Choose for a key of which other nodes send requests that this node does not
 * see yet: all of them would take the same target while it seems to have room.
 * Go through the targets with room in the key's order, and take each with the
 * chance that its room lasts for the unseen requests.
 */
static size_t share_room(const struct place_limits *l, uint64_t key,
			 const struct place_target *t, size_t n,
			 bool allow_avoided, double bound,
			 struct route_random random)
{
	struct rendezvous_candidate *r =
		g_new(struct rendezvous_candidate, n + 1);
	size_t candidates = 0, chosen = SIZE_MAX;

	for (size_t i = 0; i < n; i++)
		if (may_take(&t[i], allow_avoided) && t[i].load + 1 <= bound)
			r[candidates++] = (struct rendezvous_candidate){
				.id = t[i].id, .index = i};
	rendezvous_sort(key, r, candidates);
	for (size_t i = 0; i < candidates && chosen == SIZE_MAX; i++) {
		double room = bound - t[r[i].index].load;

		if (room >= l->unseen * random.next(random.ctx))
			chosen = r[i].index;
	}
	g_free(r);
	return chosen;
}

static size_t least_loaded(const struct place_target *t, size_t n,
			   bool allow_avoided, struct route_random random)
{
	size_t best = SIZE_MAX;
	unsigned ties = 0;

	for (size_t i = 0; i < n; i++) {
		if (!may_take(&t[i], allow_avoided))
			continue;
		if (best != SIZE_MAX && t[i].load > t[best].load)
			continue;
		if (best == SIZE_MAX || t[i].load < t[best].load)
			ties = 0;
		ties++;
		/* Reservoir sampling: each of the ties has the same chance. */
		if (ties == 1 || random.next(random.ctx) * ties < 1)
			best = i;
	}
	return best;
}

/*
 * Return a target with a chance in proportion to its room below spread x slots,
 * or SIZE_MAX when none has any.
 */
static size_t by_room(const struct place_target *t, size_t n,
		      bool allow_avoided, double spread,
		      struct route_random random)
{
	size_t chosen = SIZE_MAX;
	double sum = 0;

	for (size_t i = 0; i < n; i++) {
		double room = spread * t[i].slots - t[i].load;

		if (!may_take(&t[i], allow_avoided) || room <= 0)
			continue;
		sum += room;
		if (random.next(random.ctx) * sum < room)
			chosen = i;
	}
	return chosen;
}

static bool has_limited(const struct place_target *t, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (t[i].limited && !t[i].draining)
			return true;
	return false;
}

void place_limit_overflow(struct place_target *t, size_t n, int priority)
{
	int last = (int)G_N_ELEMENTS(overflow_loads) - 1;
	double factor = overflow_loads[CLAMP(priority, 0, last)];

	if (!has_limited(t, n))
		return;
	for (size_t i = 0; i < n; i++)
		t[i].limited |=
			t[i].slots > 0 && t[i].load >= factor * t[i].slots;
}

size_t place_choose(const struct place_limits *l, uint64_t key,
		    const struct place_target *t, size_t n,
		    struct route_random random)
{
	double mean = mean_load(t, n, false), bound;
	bool allow_avoided = mean < 0;
	size_t i = SIZE_MAX;

	if (allow_avoided)
		mean = mean_load(t, n, true);
	if (mean < 0)
		return SIZE_MAX;
	if (l->spread > 0)
		i = by_room(t, n, allow_avoided, l->spread, random);
	if (!key || l->spread > 0)
		return i != SIZE_MAX
			       ? i
			       : least_loaded(t, n, allow_avoided, random);
	bound = mean * l->factor + l->slack;
	if (has_limited(t, n))
		bound = MAX(bound, l->room);
	if (l->unseen > UNSEEN_MIN) {
		i = share_room(l, key, t, n, allow_avoided, bound, random);
		return i != SIZE_MAX
			       ? i
			       : least_loaded(t, n, allow_avoided, random);
	}
	i = highest_score(t, n, allow_avoided, key, true, INFINITY);
	if (t[i].load + 1 > bound)
		i = highest_score(t, n, allow_avoided, key, false, bound);
	return i != SIZE_MAX ? i : least_loaded(t, n, allow_avoided, random);
}

/* Whether the request prefers a warming target to the chosen one. */
static bool is_preferred(uint64_t key, const struct place_target *warming,
			 const struct place_target *chosen, double bound)
{
	if (!key)
		return warming->load < chosen->load;
	return warming->load + 1 <= bound &&
	       weighted_score(key, warming->id, warming->weight) >
		       weighted_score(key, chosen->id, chosen->weight);
}

bool place_avoided_warming(const struct place_limits *l, uint64_t key,
			   const struct place_target *t, size_t n,
			   size_t chosen)
{
	double bound = mean_load(t, n, false) * l->factor + l->slack;

	for (size_t i = 0; i < n; i++) {
		if (!t[i].warming || t[i].draining || t[i].limited ||
		    t[i].avoid)
			continue;
		if (chosen == SIZE_MAX ||
		    is_preferred(key, &t[i], &t[chosen], bound))
			return true;
	}
	return false;
}

/*
 * Return the target where the key's requests usually go, if others can fetch
 * from it, or SIZE_MAX when it is the chosen one.
 */
static size_t home_target(uint64_t key, const struct place_target *t, size_t n,
			  size_t chosen)
{
	size_t best = SIZE_MAX;
	double max_score = 0, score;

	for (size_t i = 0; i < n; i++) {
		/* A target that has just joined wins keys it has not cached. */
		if (!t[i].can_export || (i == chosen && t[i].weight < 1))
			continue;
		score = weighted_score(key, t[i].id, t[i].weight);
		if (best == SIZE_MAX || score > max_score) {
			best = i;
			max_score = score;
		}
	}
	return best == chosen ? SIZE_MAX : best;
}

/* Return a target listed for the prefix that others can fetch from. */
static size_t known_holder(uint64_t prefix, const struct prefix_index *index,
			   const struct place_target *t, size_t n)
{
	uint64_t holders[PREFIX_MAX_HOLDERS];
	size_t k = prefix_index_holders(index, prefix, holders);

	for (size_t h = 0; h < k; h++)
		for (size_t i = 0; i < n; i++)
			if (t[i].id == holders[h] && t[i].can_export)
				return i;
	return SIZE_MAX;
}

size_t place_source(const uint64_t *parts, size_t part_count,
		    const struct prefix_index *index,
		    const struct place_target *t, size_t n, size_t chosen)
{
	for (size_t i = 0; i < part_count; i++) {
		size_t from;

		/*
		 * The chosen target has this one; no source has a longer one.
		 */
		if (prefix_index_holds(index, parts[i], t[chosen].id))
			return SIZE_MAX;
		from = known_holder(parts[i], index, t, n);
		if (from == SIZE_MAX && !i)
			from = home_target(parts[i], t, n, chosen);
		if (from != SIZE_MAX)
			return from;
	}
	return SIZE_MAX;
}
