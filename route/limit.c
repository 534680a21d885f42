#include <glib.h>
#include <math.h>

#include "route/route.h"

#define NEWCOMER_PART  0.05 /* of the limit, kept for nodes without a grant */
#define DEMAND_FLOOR   0.1  /* requests a second that every node may expect */
#define MS_PER_S       1000.0
#define DEMAND_TIME_MS 2000.0 /* over which a node's demand is smoothed */
#define RETRY_SPREAD   0.5    /* of the wait, added at random */
#define CROWD_MAX      20.0

/* A part of the limit that is out. */
struct part {
	double rate;  /* of requests and tokens: 0 to 1 */
	double slots; /* concurrent requests, whole */
	int64_t until_ms;
};

struct holder {
	uint64_t node;
	double demand;
	struct part now;
	struct part before; /* what it held when now was granted */
};

struct limit_pool {
	struct limit_rates declared;
	int64_t quiet_until_ms;
	GArray *holders; /* struct holder */
};

struct limit_pool *limit_pool_new(struct limit_rates declared,
				  int64_t quiet_until_ms)
{
	struct limit_pool *p = g_new0(struct limit_pool, 1);

	p->declared = declared;
	p->quiet_until_ms = quiet_until_ms;
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

/* A part that ends now counts no more. */
static struct part live(struct part x, int64_t now_ms)
{
	return x.until_ms > now_ms ? x : (struct part){0};
}

/* The node may still spend what it held if the newer answer was lost. */
static struct part booked(const struct holder *h, int64_t now_ms)
{
	struct part a = live(h->now, now_ms);
	struct part b = live(h->before, now_ms);

	return (struct part){MAX(a.rate, b.rate), MAX(a.slots, b.slots),
			     MAX(a.until_ms, b.until_ms)};
}

static double scale(double was, double is)
{
	return was > 0 && is > 0 ? was / is : 1;
}

/* Parts that are out keep their absolute size. */
void limit_pool_declare(struct limit_pool *p, struct limit_rates declared)
{
	double by =
		MAX(scale(p->declared.requests_per_s, declared.requests_per_s),
		    scale(p->declared.tokens_per_s, declared.tokens_per_s));

	for (guint i = 0; i < p->holders->len; i++) {
		holder_at(p, i)->now.rate *= by;
		holder_at(p, i)->before.rate *= by;
	}
	p->declared = declared;
}

static void drop_ended(struct limit_pool *p, int64_t now_ms)
{
	for (guint i = 0; i < p->holders->len;) {
		if (booked(holder_at(p, i), now_ms).until_ms > now_ms)
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

/* Part of the limit that max-min shares by demand give to holder k. */
static double fair_part(const struct limit_pool *p, guint k)
{
	guint n = p->holders->len;
	struct fair_taker *t = g_new0(struct fair_taker, n);
	double amount = 1 - NEWCOMER_PART;
	double demand = 0;
	double left = amount;
	double part;

	for (guint i = 0; i < n; i++)
		demand += holder_at(p, i)->demand;
	for (guint i = 0; i < n; i++) {
		double d = holder_at(p, i)->demand;

		/* Demand is measured in parts of the limit where known. */
		t[i].demand = p->declared.requests_per_s > 0
				      ? d / p->declared.requests_per_s
				      : d / demand;
		t[i].weight = 1;
	}
	fair_shares(amount, t, n);
	for (guint i = 0; i < n; i++)
		left -= t[i].share;
	/* What nobody wants yet is divided in proportion to demand. */
	part = t[k].share + MAX(left, 0) * holder_at(p, k)->demand / demand;
	g_free(t);
	return part;
}

static struct part free_part(const struct limit_pool *p, guint but,
			     int64_t now_ms)
{
	struct part left = {1, p->declared.concurrent, 0};

	for (guint i = 0; i < p->holders->len; i++) {
		struct part b = booked(holder_at(p, i), now_ms);

		if (i == but)
			continue;
		left.rate -= b.rate;
		left.slots -= b.slots;
	}
	left.rate = MAX(left.rate, 0);
	left.slots = MAX(left.slots, 0);
	return left;
}

/* The grant that a node says it has, in parts of the limit. */
static struct part held_part(const struct limit_pool *p,
			     const struct limit_grant *held, int64_t now_ms)
{
	struct part x = {0};

	if (!held || held->until_ms <= now_ms)
		return x;
	if (p->declared.requests_per_s > 0)
		x.rate =
			held->rates.requests_per_s / p->declared.requests_per_s;
	else if (p->declared.tokens_per_s > 0)
		x.rate = held->rates.tokens_per_s / p->declared.tokens_per_s;
	x.slots = held->rates.concurrent;
	x.until_ms = held->until_ms;
	return x;
}

static struct part new_part(const struct limit_pool *p, guint k,
			    int64_t until_ms)
{
	double rate = fair_part(p, k);
	double slots = floor(rate * p->declared.concurrent);

	/* Less than one slot is no use; whole ones go to who comes first. */
	return (struct part){rate, MAX(slots, 1), until_ms};
}

struct limit_grant limit_pool_grant(struct limit_pool *p, uint64_t node,
				    double demand,
				    const struct limit_grant *held,
				    int64_t now_ms, int64_t until_ms)
{
	struct part x = held_part(p, held, now_ms);
	struct part left;
	guint k;

	drop_ended(p, now_ms);
	k = find_or_add(p, node);
	holder_at(p, k)->demand = MAX(demand, DEMAND_FLOOR);
	holder_at(p, k)->before = x;
	x.until_ms = until_ms;
	if (now_ms >= p->quiet_until_ms)
		x = new_part(p, k, until_ms);
	left = free_part(p, k, now_ms);
	x.rate = MIN(x.rate, left.rate);
	x.slots = MIN(x.slots, left.slots);
	holder_at(p, k)->now = x;
	return (struct limit_grant){
		.rates = {x.rate * p->declared.requests_per_s,
			  x.rate * p->declared.tokens_per_s, x.slots},
		.until_ms = until_ms,
	};
}

/* Neither bucket holds more than a second's worth, or one request. */
static void fill(struct limit_bucket *b, int64_t now_ms)
{
	const struct limit_rates *g = &b->grant.rates;
	int64_t end = MIN(now_ms, b->grant.until_ms);
	double s = (double)MAX(end - b->filled_ms, 0) / MS_PER_S;

	b->requests = MIN(b->requests + g->requests_per_s * s,
			  MAX(g->requests_per_s, 1));
	b->tokens =
		MIN(b->tokens + g->tokens_per_s * s, MAX(g->tokens_per_s, 1));
	b->filled_ms = now_ms;
}

static void count_demand(struct limit_bucket *b, int64_t now_ms)
{
	double dt = (double)MAX(now_ms - b->filled_ms, 0);

	b->demand = b->demand * exp(-dt / DEMAND_TIME_MS) +
		    MS_PER_S / DEMAND_TIME_MS;
}

void limit_bucket_grant(struct limit_bucket *b, struct limit_grant g,
			int64_t now_ms)
{
	double dt = (double)MAX(now_ms - b->filled_ms, 0);

	b->demand *= exp(-dt / DEMAND_TIME_MS);
	fill(b, now_ms);
	b->grant = g;
}

static double wait_ms(double have, double need, double per_s)
{
	return per_s > 0 ? MAX(need - have, 0) / per_s * MS_PER_S : MS_PER_S;
}

/* Those refused come back over a time in which their number can be served. */
static double crowd(const struct limit_bucket *b)
{
	double rate = b->grant.rates.requests_per_s;

	return rate > 0 ? CLAMP(b->demand / rate, 1, CROWD_MAX) : 1;
}

int64_t limit_take(struct limit_bucket *b, const struct limit_rates *declared,
		   int64_t tokens, int64_t now_ms, struct route_random random)
{
	const struct limit_rates *g = &b->grant.rates;
	double wait = 0;

	count_demand(b, now_ms);
	fill(b, now_ms);
	if (declared->requests_per_s > 0 && b->requests < 1)
		wait = wait_ms(b->requests, 1, g->requests_per_s);
	/* A request larger than the bucket leaves a debt. */
	if (declared->tokens_per_s > 0 && b->tokens <= 0)
		wait = MAX(wait, wait_ms(b->tokens, 1, g->tokens_per_s));
	if (declared->concurrent > 0 && ((double)b->running >= g->concurrent ||
					 now_ms >= b->grant.until_ms))
		wait = MAX(wait, MS_PER_S);
	if (wait > 0)
		return now_ms + 1 +
		       (int64_t)(wait * crowd(b) *
				 (1 + RETRY_SPREAD * random.next(random.ctx)));
	b->requests -= declared->requests_per_s > 0;
	b->tokens -= declared->tokens_per_s > 0 ? (double)tokens : 0;
	b->running++;
	return 0;
}

void limit_done(struct limit_bucket *b)
{
	if (b->running > 0)
		b->running--;
}
