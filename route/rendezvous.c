/* Rendezvous hashing: the score is a hash of the id, seeded by the key. */
#include <stdlib.h>
#include <xxhash.h>

#include "route/route.h"

/* Highest score first; equal scores by id, so that all nodes agree. */
static int compare(const void *a, const void *b)
{
	const struct rendezvous_candidate *x = a, *y = b;

	if (x->score != y->score)
		return x->score < y->score ? 1 : -1;
	return x->id < y->id ? -1 : x->id > y->id;
}

uint64_t rendezvous_score(uint64_t key, uint64_t id)
{
	return XXH3_64bits_withSeed(&id, sizeof(id), key);
}

void rendezvous_sort(uint64_t key, struct rendezvous_candidate *r, size_t n)
{
	for (size_t i = 0; i < n; i++)
		r[i].score = rendezvous_score(key, r[i].id);
	qsort(r, n, sizeof(*r), compare);
}

size_t rendezvous_top(uint64_t key, struct rendezvous_candidate *r, size_t n,
		      struct rendezvous_candidate *out, size_t k)
{
	size_t m = 0;

	if (!k)
		return 0;
	for (size_t i = 0; i < n; i++) {
		size_t j;

		r[i].score = rendezvous_score(key, r[i].id);
		if (m == k && compare(&r[i], &out[m - 1]) > 0)
			continue;
		j = m < k ? m++ : m - 1;
		for (; j > 0 && compare(&r[i], &out[j - 1]) < 0; j--)
			out[j] = out[j - 1];
		out[j] = r[i];
	}
	return m;
}

size_t rendezvous_owner(uint64_t target, const uint64_t *nodes, size_t n)
{
	struct rendezvous_candidate best = {0};

	for (size_t i = 0; i < n; i++) {
		struct rendezvous_candidate r = {
			nodes[i], i, rendezvous_score(target, nodes[i])};

		if (i == 0 || compare(&r, &best) < 0)
			best = r;
	}
	return best.index;
}

size_t rendezvous_count_before(uint64_t key, uint64_t self, const uint64_t *ids,
			       size_t n)
{
	uint64_t own = rendezvous_score(key, self);
	size_t before = 0;

	for (size_t i = 0; i < n; i++) {
		uint64_t score = rendezvous_score(key, ids[i]);

		before += ids[i] != self &&
			  (score > own || (score == own && ids[i] < self));
	}
	return before;
}
