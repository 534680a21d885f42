/*
 * Organisation limits across the fleet: the pool leases shares of a limit to
 * nodes, and each node enforces its grant with a token bucket.
 */
#include <glib.h>
#include <math.h>

#include "route/route.h"

#define MS_PER_S 1000.0
/* Fraction of the limit that is kept for nodes without a grant. */
#define NEWCOMER_RESERVE 0.05
/* Requests per second that every node is assumed to need. */
#define DEMAND_MIN_PER_S 0.1
/* Time constant of the moving average of a node's demand. */
#define DEMAND_SMOOTHING_MS 2000.0
/* Jitter of a retry, as a fraction of the wait. */
#define RETRY_JITTER 0.5
/* Largest factor by which a wait is stretched when demand exceeds the grant. */
#define RETRY_STRETCH_MAX 20.0

/* A share of the limit that is granted to a node. */
struct lease {
	double rate;  /* fraction of the request and token rates, 0 to 1 */
	double slots; /* concurrent requests, a whole number */
	int64_t until_ms;
};

struct holder {
	uint64_t node;
	double demand; /* requests per second */
	struct lease current;
	struct lease previous; /* held by the node when current was granted */
};

struct limit_pool {
	struct limit_rates declared;
	int64_t grace_until_ms;
	GArray *holders; /* struct holder */
};

struct limit_pool *limit_pool_new(struct limit_rates declared,
				  int64_t grace_until_ms)
{
	struct limit_pool *p = g_new0(struct limit_pool, 1);

	p->declared = declared;
	p->grace_until_ms = grace_until_ms;
	p->holders = g_array_new(FALSE, TRUE, sizeof(struct holder));
	return p;
}

void limit_pool_free(struct limit_pool *p)
{
	g_array_unref(p->holders);
	g_free(p);
}

static struct holder *holder_at(const struct limit_pool *p, guint i)
{
	return &g_array_index(p->holders, struct holder, i);
}

/* Return the lease, or an empty one when it has expired. */
static struct lease unexpired(struct lease lease, int64_t now_ms)
{
	return lease.until_ms > now_ms ? lease : (struct lease){0};
}

/*
 * Return the most that a node may use: the previous lease counts too until it
 * expires, as the answer with the current one may be lost.
 */
static struct lease reserved(const struct holder *h, int64_t now_ms)
{
	struct lease a = unexpired(h->current, now_ms);
	struct lease b = unexpired(h->previous, now_ms);

	return (struct lease){MAX(a.rate, b.rate), MAX(a.slots, b.slots),
			      MAX(a.until_ms, b.until_ms)};
}

/* Return the factor that keeps a fraction of the old limit the same amount. */
static double scale(double old, double new_rate)
{
	return old > 0 && new_rate > 0 ? old / new_rate : 1;
}

/* Scale the leases, so that current grants keep their absolute size. */
void limit_pool_set_declared(struct limit_pool *p, struct limit_rates declared)
{
	double factor =
		MAX(scale(p->declared.requests_per_s, declared.requests_per_s),
		    scale(p->declared.tokens_per_s, declared.tokens_per_s));

	for (guint i = 0; i < p->holders->len; i++) {
		holder_at(p, i)->current.rate *= factor;
		holder_at(p, i)->previous.rate *= factor;
	}
	p->declared = declared;
}

static void drop_expired(struct limit_pool *p, int64_t now_ms)
{
	for (guint i = 0; i < p->holders->len;) {
		if (reserved(holder_at(p, i), now_ms).until_ms > now_ms)
			i++;
		else
			g_array_remove_index_fast(p->holders, i);
	}
}

static guint find_or_add(struct limit_pool *p, uint64_t node)
{
	struct holder h = {.node = node};
	guint i;

	for (i = 0; i < p->holders->len; i++)
		if (holder_at(p, i)->node == node)
			return i;
	g_array_append_val(p->holders, h);
	return i;
}

/* Return holder k's max-min fair share, as a fraction of the limit. */
static double fair_rate(const struct limit_pool *p, guint k)
{
	guint n = p->holders->len;
	struct fair_claimant *c = g_new0(struct fair_claimant, n);
	double amount = 1 - NEWCOMER_RESERVE;
	double total_demand = 0;
	double left = amount;
	double rate;

	for (guint i = 0; i < n; i++)
		total_demand += holder_at(p, i)->demand;
	for (guint i = 0; i < n; i++) {
		double d = holder_at(p, i)->demand;

		/* Without a request rate only the proportion is known. */
		c[i].demand = p->declared.requests_per_s > 0
				      ? d / p->declared.requests_per_s
				      : d / total_demand;
		c[i].weight = 1;
	}
	fair_shares(amount, c, n);
	for (guint i = 0; i < n; i++)
		left -= c[i].share;
	/* Unclaimed capacity is divided in proportion to demand. */
	rate = c[k].share +
	       MAX(left, 0) * holder_at(p, k)->demand / total_demand;
	g_free(c);
	return rate;
}

/* Return the part of the limit that holders other than `except` leave. */
static struct lease available(const struct limit_pool *p, guint except,
			      int64_t now_ms)
{
	struct lease left = {1, p->declared.concurrent, 0};

	for (guint i = 0; i < p->holders->len; i++) {
		struct lease b = reserved(holder_at(p, i), now_ms);

		if (i == except)
			continue;
		left.rate -= b.rate;
		left.slots -= b.slots;
	}
	left.rate = MAX(left.rate, 0);
	left.slots = MAX(left.slots, 0);
	return left;
}

/* Convert the grant that a node reports to a lease. */
static struct lease held_lease(const struct limit_pool *p,
			       const struct limit_grant *held, int64_t now_ms)
{
	struct lease lease = {0};

	if (!held || held->until_ms <= now_ms)
		return lease;
	if (p->declared.requests_per_s > 0)
		lease.rate =
			held->rates.requests_per_s / p->declared.requests_per_s;
	else if (p->declared.tokens_per_s > 0)
		lease.rate =
			held->rates.tokens_per_s / p->declared.tokens_per_s;
	lease.slots = held->rates.concurrent;
	lease.until_ms = held->until_ms;
	return lease;
}

static struct lease new_lease(const struct limit_pool *p, guint k,
			      int64_t until_ms)
{
	double rate = fair_rate(p, k);
	double slots = floor(rate * p->declared.concurrent);

	/*
	 * At least one slot. When there are fewer slots than nodes, they go to
	 * the nodes that ask first.
	 */
	return (struct lease){rate, MAX(slots, 1), until_ms};
}

struct limit_grant limit_pool_grant(struct limit_pool *p, uint64_t node,
				    double demand,
				    const struct limit_grant *held,
				    int64_t now_ms, int64_t until_ms)
{
	struct lease lease = held_lease(p, held, now_ms);
	struct lease left;
	guint k;

	drop_expired(p, now_ms);
	k = find_or_add(p, node);
	holder_at(p, k)->demand = MAX(demand, DEMAND_MIN_PER_S);
	holder_at(p, k)->previous = lease;
	/* In the grace period the reported lease is only renewed. */
	lease.until_ms = until_ms;
	if (now_ms >= p->grace_until_ms)
		lease = new_lease(p, k, until_ms);
	left = available(p, k, now_ms);
	lease.rate = MIN(lease.rate, left.rate);
	lease.slots = MIN(lease.slots, left.slots);
	holder_at(p, k)->current = lease;
	return (struct limit_grant){
		.rates = {lease.rate * p->declared.requests_per_s,
			  lease.rate * p->declared.tokens_per_s, lease.slots},
		.until_ms = until_ms,
	};
}

/*
 * Refill both buckets. The capacity of each is one second at its rate, and no
 * less than 1. A grant refills them only until it expires.
 */
static void refill(struct limit_bucket *b, int64_t now_ms)
{
	const struct limit_rates *g = &b->grant.rates;
	int64_t end = MIN(now_ms, b->grant.until_ms);
	double elapsed_s = (double)MAX(end - b->filled_ms, 0) / MS_PER_S;

	b->requests = MIN(b->requests + g->requests_per_s * elapsed_s,
			  MAX(g->requests_per_s, 1));
	b->tokens = MIN(b->tokens + g->tokens_per_s * elapsed_s,
			MAX(g->tokens_per_s, 1));
	b->filled_ms = now_ms;
}

/* Count one request in the exponential moving average of the demand. */
static void count_demand(struct limit_bucket *b, int64_t now_ms)
{
	double dt_ms = (double)MAX(now_ms - b->filled_ms, 0);

	b->demand = b->demand * exp(-dt_ms / DEMAND_SMOOTHING_MS) +
		    MS_PER_S / DEMAND_SMOOTHING_MS;
}

void limit_bucket_set_grant(struct limit_bucket *b, struct limit_grant g,
			    int64_t now_ms)
{
	double dt_ms = (double)MAX(now_ms - b->filled_ms, 0);

	b->demand *= exp(-dt_ms / DEMAND_SMOOTHING_MS);
	refill(b, now_ms);
	b->grant = g;
}

/* Return the time until the bucket has filled to need; 1 s without a rate. */
static double wait_ms(double have, double need, double per_s)
{
	return per_s > 0 ? MAX(need - have, 0) / per_s * MS_PER_S : MS_PER_S;
}

/*
 * Return the factor by which a wait is stretched, so that refused requests
 * return at the rate at which they can be served.
 */
static double retry_stretch(const struct limit_bucket *b)
{
	double rate = b->grant.rates.requests_per_s;

	return rate > 0 ? CLAMP(b->demand / rate, 1, RETRY_STRETCH_MAX) : 1;
}

int64_t limit_bucket_take(struct limit_bucket *b,
			  const struct limit_rates *declared, int64_t tokens,
			  int64_t now_ms, struct route_random random)
{
	const struct limit_rates *g = &b->grant.rates;
	double wait = 0;

	count_demand(b, now_ms);
	refill(b, now_ms);
	if (declared->requests_per_s > 0 && b->requests < 1)
		wait = wait_ms(b->requests, 1, g->requests_per_s);
	/* A request may take more tokens than there are and leave a debt. */
	if (declared->tokens_per_s > 0 && b->tokens <= 0)
		wait = MAX(wait, wait_ms(b->tokens, 1, g->tokens_per_s));
	if (declared->concurrent > 0 && ((double)b->running >= g->concurrent ||
					 now_ms >= b->grant.until_ms))
		wait = MAX(wait, MS_PER_S);
	if (wait > 0)
		return now_ms + 1 +
		       (int64_t)(wait * retry_stretch(b) *
				 (1 + RETRY_JITTER * random.next(random.ctx)));
	b->requests -= declared->requests_per_s > 0;
	b->tokens -= declared->tokens_per_s > 0 ? (double)tokens : 0;
	b->running++;
	return 0;
}

void limit_bucket_release(struct limit_bucket *b)
{
	if (b->running > 0)
		b->running--;
}
