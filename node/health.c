/* Outlier ejection per pool and the node's retry budget, under one lock. */
#include "node/node.h"

struct health {
	GMutex lock;
	GHashTable *pools; /* name -> struct outliers */
	struct retry_budget budget;
	GRand *random;
};

static double next_random(void *ctx)
{
	return g_rand_double(ctx);
}

static struct route_random random_of(struct health *h)
{
	return (struct route_random){next_random, h->random};
}

static void free_outliers(void *p)
{
	outliers_free(p);
}

struct health *health_new(uint64_t seed)
{
	struct health *h = g_new0(struct health, 1);

	g_mutex_init(&h->lock);
	h->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_outliers);
	h->random = g_rand_new_with_seed((guint32)seed);
	/* Start with a full budget, as no retries have been spent yet. */
	h->budget.balance = RETRY_BUDGET_MAX;
	return h;
}

void health_free(struct health *h)
{
	g_hash_table_unref(h->pools);
	g_rand_free(h->random);
	g_mutex_clear(&h->lock);
	g_free(h);
}

/* The lock is held. */
static struct outliers *find_pool(struct health *h, const char *pool)
{
	struct outliers *o = g_hash_table_lookup(h->pools, pool);

	if (!o) {
		o = outliers_new(&outlier_policy_default);
		g_hash_table_insert(h->pools, g_strdup(pool), o);
	}
	return o;
}

static void set_pool(struct health *h, const struct fleet *f, const char *pool)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (guint i = 0; i < f->targets->len; i++) {
		const struct target *t = g_ptr_array_index(f->targets, i);

		if (g_str_equal(t->pool, pool))
			g_array_append_val(ids, t->id);
	}
	outliers_set_pool(find_pool(h, pool), (uint64_t *)ids->data, ids->len);
	g_array_unref(ids);
}

void health_set_fleet(struct health *h, const struct fleet *f)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	g_mutex_lock(&h->lock);
	for (guint i = 0; i < f->targets->len; i++) {
		const struct target *t = g_ptr_array_index(f->targets, i);

		if (g_hash_table_add(seen, t->pool))
			set_pool(h, f, t->pool);
	}
	g_mutex_unlock(&h->lock);
	g_hash_table_unref(seen);
}

void health_record_success(struct health *h, const struct target *t,
			   int64_t latency_ms)
{
	g_mutex_lock(&h->lock);
	outliers_record_success(find_pool(h, t->pool), t->id, latency_ms,
				time_mono_ms());
	g_mutex_unlock(&h->lock);
}

void health_record_error(struct health *h, const struct target *t)
{
	g_mutex_lock(&h->lock);
	outliers_record_error(find_pool(h, t->pool), t->id, time_mono_ms());
	g_mutex_unlock(&h->lock);
}

bool health_allows(struct health *h, const struct target *t)
{
	bool ok;

	g_mutex_lock(&h->lock);
	ok = outliers_allow(find_pool(h, t->pool), t->id, time_mono_ms(),
			    random_of(h));
	g_mutex_unlock(&h->lock);
	return ok;
}

void health_count_request(struct health *h)
{
	g_mutex_lock(&h->lock);
	retry_budget_deposit(&h->budget);
	g_mutex_unlock(&h->lock);
}

int64_t health_retry_delay_ms(struct health *h, int attempt,
			      int64_t deadline_ms)
{
	int64_t now = time_mono_ms();
	int64_t retry_at_ms;

	g_mutex_lock(&h->lock);
	retry_at_ms = retry_schedule(&h->budget, &retry_policy_default, attempt,
				     0, now, deadline_ms, random_of(h));
	g_mutex_unlock(&h->lock);
	return retry_at_ms ? MAX(retry_at_ms - now, 0) : -1;
}
