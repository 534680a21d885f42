/*
 * Locks, waiting and per-pool state around the admission decisions of route/.
 */
#include <string.h>

#include "node/admission.h"

struct pool {
	const char *name; /* interned */
	struct admit *admit;
	GHashTable *reported; /* targets with a load report since take-over */
};

struct admission {
	GMutex lock;
	GCond changed;             /* signalled after each run of the queue */
	GHashTable *pools;         /* name -> struct pool */
	GHashTable *organisations; /* name -> index + 1, as 0 means absent */
	GHashTable *decisions; /* ticket -> struct decision, of the queued */
	GRand *random;
	struct admit_limits limits; /* for new pools */
	uint64_t last_ticket;
};

static double next_random(void *ctx)
{
	return g_rand_double(ctx);
}

static void free_pool(void *p)
{
	struct pool *pool = p;

	admit_free(pool->admit);
	g_hash_table_unref(pool->reported);
	g_free(pool);
}

struct admission *admission_new(uint64_t seed, int64_t max_target_work)
{
	struct admission *a = g_new0(struct admission, 1);

	g_mutex_init(&a->lock);
	g_cond_init(&a->changed);
	a->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	a->organisations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	a->decisions = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	a->random = g_rand_new_with_seed((guint32)seed);
	a->limits = admit_limits_default;
	a->limits.max_target_work = max_target_work;
	return a;
}

void admission_free(struct admission *a)
{
	g_hash_table_unref(a->pools);
	g_hash_table_unref(a->organisations);
	g_hash_table_unref(a->decisions);
	g_rand_free(a->random);
	g_mutex_clear(&a->lock);
	g_cond_clear(&a->changed);
	g_free(a);
}

/* All static functions below are called with the lock held. */

static struct pool *find_pool(struct admission *a, const char *name)
{
	struct pool *p = g_hash_table_lookup(a->pools, name);

	if (p)
		return p;
	p = g_new0(struct pool, 1);
	p->name = g_intern_string(name);
	p->admit = admit_new(&a->limits,
			     (struct route_random){next_random, a->random});
	p->reported = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    NULL);
	g_hash_table_insert(a->pools, (char *)p->name, p);
	return p;
}

static uint32_t organisation_index(struct admission *a, const char *name)
{
	gpointer i = g_hash_table_lookup(a->organisations, name);

	if (!i) {
		i = GUINT_TO_POINTER(g_hash_table_size(a->organisations) + 1);
		g_hash_table_insert(a->organisations, g_strdup(name), i);
	}
	return GPOINTER_TO_UINT(i) - 1;
}

/*
 * Decide the queued requests that can be decided now, and wake their threads.
 */
static void process_queue(struct admission *a, struct pool *p)
{
	struct decision d;

	while (admit_poll(p->admit, time_mono_ms(), &d)) {
		struct decision *copy = g_memdup2(&d, sizeof(d));

		g_hash_table_insert(a->decisions, &copy->ticket, copy);
	}
	g_cond_broadcast(&a->changed);
}

/*
 * Wait until the queued request of *d is decided. Releases the lock while
 * waiting.
 */
static void wait_decision(struct admission *a, struct pool *p,
			  struct decision *d)
{
	uint64_t ticket = d->ticket;
	struct decision *found;

	while (!(found = g_hash_table_lookup(a->decisions, &ticket))) {
		int64_t left_ms = admit_next_poll_ms(p->admit) - time_mono_ms();

		if (left_ms > 0)
			g_cond_wait_until(&a->changed, &a->lock,
					  g_get_monotonic_time() +
						  left_ms * 1000);
		else
			process_queue(a, p);
	}
	*d = *found;
	g_hash_table_remove(a->decisions, &ticket);
}

static struct admit_request
make_admit_request(struct admission *a, const struct admission_request *q)
{
	return (struct admit_request){
		.target = q->target,
		.ticket = ++a->last_ticket,
		.organisation = organisation_index(a, q->organisation),
		.weight = q->weight,
		.priority = q->priority,
		.work = q->work,
		.reusable_tokens = q->reusable_tokens,
		.reuse_age_ms = q->reuse_age_ms,
		.use_full_bound = q->final_round,
		.allow_oversize = q->final_round,
		.deadline_ms = q->deadline_ms,
		.wait_until_ms = q->wait_until_ms,
	};
}

bool admission_acquire(struct admission *a, const struct admission_request *q,
		       struct admission_grant *grant,
		       struct admission_refusal *refusal)
{
	struct decision d;
	struct pool *p;
	struct admit_request request;
	int64_t load;

	g_mutex_lock(&a->lock);
	p = find_pool(a, q->pool);
	request = make_admit_request(a, q);
	admit_request(p->admit, &request, time_mono_ms(), &d);
	if (d.verdict == VERDICT_QUEUE)
		wait_decision(a, p, &d);
	/* The load of a target is not known before its first report. */
	load = g_hash_table_contains(p->reported, &q->target) ? d.load
							      : INT64_MAX;
	g_mutex_unlock(&a->lock);
	metric_add(d.verdict == VERDICT_ADMIT ? M_ADMISSIONS_TOTAL
					      : M_ADMISSION_REFUSALS_TOTAL,
		   1);
	if (d.verdict == VERDICT_ADMIT) {
		*grant = (struct admission_grant){p->name, request, d.work};
		return true;
	}
	*refusal = (struct admission_refusal){d.refusal, load, d.retry_at_ms};
	return false;
}

void admission_release(struct admission *a, struct admission_grant *g,
		       int64_t reused)
{
	struct pool *p;

	if (!g->work)
		return;
	g_mutex_lock(&a->lock);
	p = find_pool(a, g->pool);
	if (reused >= 0)
		g->work = admit_correct_work(p->admit, &g->request, g->work,
					     reused);
	admit_done(p->admit, g->request.target, g->request.organisation,
		   g->work, time_mono_ms());
	process_queue(a, p);
	g_mutex_unlock(&a->lock);
	g->work = 0;
}

int64_t admission_parse_reused_tokens(struct str event)
{
	static const char name[] = "\"cached_tokens\":";
	const char *at;

	if (!event.len)
		return -1;
	at = memmem(event.data, event.len, name, sizeof(name) - 1);
	return at ? g_ascii_strtoll(at + sizeof(name) - 1, NULL, 10) : -1;
}

void admission_take_over(struct admission *a, const char *pool, uint64_t target,
			 int64_t until_ms, unsigned sharers)
{
	struct pool *p;

	g_mutex_lock(&a->lock);
	p = find_pool(a, pool);
	g_hash_table_remove(p->reported, &target);
	admit_take_over(p->admit, target, time_mono_ms(), until_ms, sharers);
	g_mutex_unlock(&a->lock);
}

void admission_hand_over(struct admission *a, const char *pool, uint64_t target)
{
	struct pool *p;

	g_mutex_lock(&a->lock);
	p = find_pool(a, pool);
	g_hash_table_remove(p->reported, &target);
	admit_hand_over(p->admit, target);
	process_queue(a, p);
	g_mutex_unlock(&a->lock);
}

void admission_record_load(struct admission *a, const char *pool,
			   const struct load_report *r)
{
	struct pool *p;

	g_mutex_lock(&a->lock);
	p = find_pool(a, pool);
	g_hash_table_add(p->reported, g_memdup2(&r->target, sizeof(r->target)));
	admit_report(p->admit, r, time_mono_ms());
	process_queue(a, p);
	g_mutex_unlock(&a->lock);
}

void admission_set_fleet_totals(struct admission *a, const char *pool,
				int64_t work, size_t targets)
{
	g_mutex_lock(&a->lock);
	admit_set_fleet_totals(find_pool(a, pool)->admit, work, targets);
	g_mutex_unlock(&a->lock);
}

void admission_set_load_factor(struct admission *a, const char *pool,
			       double factor)
{
	g_mutex_lock(&a->lock);
	admit_set_load_factor(find_pool(a, pool)->admit, factor);
	g_mutex_unlock(&a->lock);
}

void admission_owned_totals(struct admission *a, const char *pool,
			    int64_t *work, size_t *targets)
{
	g_mutex_lock(&a->lock);
	admit_owned_totals(find_pool(a, pool)->admit, work, targets);
	g_mutex_unlock(&a->lock);
}
