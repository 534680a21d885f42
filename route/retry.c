/* Retry budget and exponential backoff with jitter. */
#include "route/route.h"

const struct retry_policy retry_policy_default = {
	.base_ms = 25,
	.max_ms = 1000,
	.attempts = 3,
};

void retry_budget_deposit(struct retry_budget *b)
{
	b->balance += RETRY_BUDGET_RATIO;
	if (b->balance > RETRY_BUDGET_MAX)
		b->balance = RETRY_BUDGET_MAX;
}

/* Return half of the exponential backoff plus random jitter of up to that. */
static int64_t backoff_ms(const struct retry_policy *p, int attempt,
			  double random)
{
	int64_t ms = p->base_ms;

	for (int i = 1; i < attempt && ms < p->max_ms; i++)
		ms *= 2;
	if (ms > p->max_ms)
		ms = p->max_ms;
	return (int64_t)((double)ms * (1 + random) / 2);
}

int64_t retry_schedule(struct retry_budget *b, const struct retry_policy *p,
		       int attempt, int64_t run_ms, int64_t now_ms,
		       int64_t deadline_ms, struct route_random random)
{
	int64_t at;

	if (attempt >= p->attempts || b->balance < 1)
		return 0;
	at = now_ms + backoff_ms(p, attempt, random.next(random.ctx));
	if (at + run_ms > deadline_ms)
		return 0;
	b->balance -= 1;
	return at;
}
