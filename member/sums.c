/*
 * The fleet's mean load: each node keeps running averages of work and targets
 * and moves them half-way to those of every message that it gets. A change of
 * its own part is added to its average at once; a slow pull towards its own
 * part makes up for lost messages and lost nodes.
 */
#include "member/internal.h"

/* Time in which the pull towards the own part would halve a difference. */
#define LEAK_MS 30000.0

static uint32_t pool_id(const char *pool)
{
	return (uint32_t)member_id(pool);
}

static struct pool_average *find(const struct member *m, uint32_t pool)
{
	for (size_t i = 0; i < m->n_pools; i++) {
		if (m->pools[i].pool == pool)
			return (struct pool_average *)&m->pools[i];
	}
	return NULL;
}

static struct pool_average *find_or_add(struct member *m, uint32_t pool)
{
	struct pool_average *p = find(m, pool);

	if (p || m->n_pools == MEMBER_POOLS_MAX)
		return p;
	p = &m->pools[m->n_pools++];
	*p = (struct pool_average){.pool = pool};
	return p;
}

void member_set_load(struct member *m, const char *pool, double work,
		     unsigned targets)
{
	struct pool_average *p = find_or_add(m, pool_id(pool));

	if (!p)
		return;
	p->work = MAX(p->work + work - p->own_work, 0);
	p->targets = MAX(p->targets + targets - p->own_targets, 0);
	p->own_work = work;
	p->own_targets = targets;
}

bool member_mean_load(const struct member *m, const char *pool, double *mean)
{
	const struct pool_average *p = find(m, pool_id(pool));

	if (!p || p->targets <= 0)
		return false;
	*mean = p->work / p->targets;
	return true;
}

void sums_leak(struct member *m, int64_t elapsed_ms)
{
	double part = MIN((double)elapsed_ms / (2 * LEAK_MS), 1);

	for (size_t i = 0; i < m->n_pools; i++) {
		struct pool_average *p = &m->pools[i];

		p->work += part * (p->own_work - p->work);
		p->targets += part * (p->own_targets - p->targets);
	}
}

void sums_merge(struct member *m, const struct member_message *msg)
{
	for (u_int i = 0; i < msg->sums.sums_len; i++) {
		const struct pool_sum *s = &msg->sums.sums_val[i];
		struct pool_average *p = find_or_add(m, s->pool);

		if (!p)
			continue;
		p->work = (p->work + (double)s->work) / 2;
		p->targets = (p->targets + (double)s->targets) / 2;
	}
}

u_int sums_fill(const struct member *m, struct pool_sum *out)
{
	for (size_t i = 0; i < m->n_pools; i++) {
		const struct pool_average *p = &m->pools[i];

		out[i] = (struct pool_sum){p->pool, (float)p->work,
					   (float)p->targets};
	}
	return (u_int)m->n_pools;
}
