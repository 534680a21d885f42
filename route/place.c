#include <math.h>
#include <stdint.h>

#include "route/route.h"

/*
 * Work is moved for the sake of even load in the order of what reading its
 * prompt again costs. Views of the load are some 100 ms late, so both stay
 * under what the operators allow, factor x mean + 3.
 */
#define LONG_TOKENS 1000 /* some 12 ms of an engine that reads 80 a ms */
#define LONG_PART   0.75 /* of what the factor leaves above the mean */
#define LONG_SLACK  2.2
#define SHORT_PART  0.3
#define SHORT_SLACK 1.5

struct place_limits place_limits_for(int64_t shared_tokens, double factor)
{
	double above = factor > 1 ? factor - 1 : 0;

	if (shared_tokens >= LONG_TOKENS)
		return (struct place_limits){1 + LONG_PART * above, LONG_SLACK};
	return (struct place_limits){1 + SHORT_PART * above, SHORT_SLACK};
}

/* A target that joins takes its full part of the keys after this time. */
#define JOIN_MS 30000
/* It is never without any. */
#define WEIGHT_MIN 0.02

double place_weight(int64_t joined_for_ms)
{
	double w = (double)joined_for_ms / JOIN_MS;

	return w < WEIGHT_MIN ? WEIGHT_MIN : w > 1 ? 1 : w;
}

/*
 * Score of a candidate for the key. With weights w the chance to be the best is
 * w / their sum, and a weight that grows moves keys to that candidate only.
 */
static double score(uint64_t key, uint64_t id, double w)
{
	struct route_rank r = {id, 0, 0};

	route_order(key, &r, 1);
	return -w / log(((double)(r.score >> 11) + 0.5) / (double)(1LL << 53));
}

/* Whether a target may get work; those aside only when there are no others. */
static bool may_take(const struct place_target *t, bool aside)
{
	return !t->leaving && (!t->aside || aside);
}

static double mean_load(const struct place_target *t, size_t n, bool aside)
{
	double sum = 0;
	size_t k = 0;

	for (size_t i = 0; i < n; i++) {
		if (!may_take(&t[i], aside))
			continue;
		sum += t[i].load;
		k++;
	}
	return k ? sum / (double)k : -1;
}

/* The best by the key among those that count, by weights or without. */
static size_t best_of_key(const struct place_target *t, size_t n, bool aside,
			  uint64_t key, bool weighted, double bound)
{
	size_t best = SIZE_MAX;
	double top = 0;

	for (size_t i = 0; i < n; i++) {
		double x;

		if (!may_take(&t[i], aside) || t[i].load + 1 > bound)
			continue;
		x = score(key, t[i].id, weighted ? t[i].weight : 1);
		if (best == SIZE_MAX || x > top) {
			best = i;
			top = x;
		}
	}
	return best;
}

static size_t least(const struct place_target *t, size_t n, bool aside,
		    struct route_random random)
{
	size_t best = SIZE_MAX;
	unsigned ties = 0;

	for (size_t i = 0; i < n; i++) {
		if (!may_take(&t[i], aside))
			continue;
		if (best != SIZE_MAX && t[i].load > t[best].load)
			continue;
		if (best == SIZE_MAX || t[i].load < t[best].load)
			ties = 0;
		ties++;
		/* Each of those that tie wins with the same chance. */
		if (ties == 1 || random.next(random.ctx) * ties < 1)
			best = i;
	}
	return best;
}

size_t place_choose(const struct place_limits *l, uint64_t key,
		    const struct place_target *t, size_t n,
		    struct route_random random)
{
	double mean = mean_load(t, n, false), bound;
	bool aside = mean < 0;
	size_t i = SIZE_MAX;

	if (aside)
		mean = mean_load(t, n, true);
	if (mean < 0)
		return SIZE_MAX;
	if (!key)
		return least(t, n, aside, random);
	bound = mean * l->factor + l->slack;
	i = best_of_key(t, n, aside, key, true, INFINITY);
	if (t[i].load + 1 > bound)
		i = best_of_key(t, n, aside, key, false, bound);
	return i != SIZE_MAX ? i : least(t, n, aside, random);
}

/* The target where work of the key usually goes, if others can fetch there. */
static size_t home_of(uint64_t key, const struct place_target *t, size_t n,
		      size_t chosen)
{
	size_t best = SIZE_MAX;
	double top = 0, x;

	for (size_t i = 0; i < n; i++) {
		/* A target that has just joined wins keys that it lacks. */
		if (!t[i].gives || (i == chosen && t[i].weight < 1))
			continue;
		x = score(key, t[i].id, t[i].weight);
		if (best == SIZE_MAX || x > top) {
			best = i;
			top = x;
		}
	}
	return best == chosen ? SIZE_MAX : best;
}

static size_t known_holder(uint64_t part, const struct prefix_index *index,
			   const struct place_target *t, size_t n)
{
	uint64_t held[PREFIX_HOLDERS];
	size_t k = prefix_index_holders(index, part, held);

	for (size_t h = 0; h < k; h++)
		for (size_t i = 0; i < n; i++)
			if (t[i].id == held[h] && t[i].gives)
				return i;
	return SIZE_MAX;
}

size_t place_source(const uint64_t *parts, size_t part_count,
		    const struct prefix_index *index,
		    const struct place_target *t, size_t n, size_t chosen)
{
	for (size_t i = 0; i < part_count; i++) {
		size_t from;

		if (prefix_index_holds(index, parts[i], t[chosen].id))
			return SIZE_MAX;
		from = known_holder(parts[i], index, t, n);
		if (from == SIZE_MAX && !i)
			from = home_of(parts[i], t, n, chosen);
		if (from != SIZE_MAX)
			return from;
	}
	return SIZE_MAX;
}
