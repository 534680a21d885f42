/*
 * Routing decisions: which target serves a request, when admission refuses it,
 * and when the caller may retry.
 *
 * The code here only decides: no I/O, no threads, no wall clock, no
 * process-wide state. Times are absolute milliseconds on one clock that the
 * caller chooses. Work is measured in tokens: prompt tokens that are not cached
 * plus expected output tokens.
 *
 * Objects are not locked: one thread may use an object at a time. The caller
 * owns what a *_new() function returns and releases it with the matching
 * *_free(). Target and node ids are 64-bit hashes of their names; 0
 * stands for no target.
 */
#ifndef ROUTE_H
#define ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The rank with which a request asks for admission, lowest first: the rest of
 * an answer of which its caller has a part, then new requests by priority.
 */
#define RANK_BEGUN 0

static inline int rank_of(bool begun, int priority)
{
	return begun ? RANK_BEGUN : priority + 1;
}

/* Return the priority that the rank has where only priorities are known. */
static inline int rank_priority(int rank)
{
	return rank == RANK_BEGUN ? 0 : rank - 1;
}

/* A candidate that can serve a key. */
struct rendezvous_candidate {
	uint64_t id;
	size_t index;   /* the caller's own index; not used here */
	uint64_t score; /* set by rendezvous_sort and rendezvous_top */
};

/* Source of random numbers in [0, 1); seeded, so that tests can repeat. */
struct route_random {
	double (*next)(void *ctx);
	void *ctx;
};

/* rendezvous.c: rendezvous (highest random weight) hashing. */

/* Return the score of an id for a key, by which ids are ordered. */
uint64_t rendezvous_score(uint64_t key, uint64_t id);

/*
 * Sort n candidates by their score for the key, highest first. When a candidate
 * joins or leaves, only the keys for which it scores highest move.
 */
void rendezvous_sort(uint64_t key, struct rendezvous_candidate *r, size_t n);
/*
 * Write the first k candidates of that order to out without sorting the rest.
 * Of r only the scores change.
 *
 * Return: number written, the lesser of k and n.
 */
size_t rendezvous_top(uint64_t key, struct rendezvous_candidate *r, size_t n,
		      struct rendezvous_candidate *out, size_t k);
/*
 * Return the index of the node that owns admission to the target: the highest
 * of the live nodes in the target's rendezvous order. n must not be 0.
 */
size_t rendezvous_owner(uint64_t target, const uint64_t *nodes, size_t n);

/*
 * Return how many of the ids, self not counted, come before self in the key's
 * rendezvous order; of equal scores the lower id comes first.
 */
size_t rendezvous_count_before(uint64_t key, uint64_t self, const uint64_t *ids,
			       size_t n);

/* fair.c: weighted max-min fairness. */

/* One claimant to a divided amount; all in the unit of that amount. */
struct fair_claimant {
	double demand;
	double weight; /* above 0 */
	double share;  /* set by fair_shares */
};

/*
 * Divide the amount by weighted max-min fairness: no claimant gets more than
 * its demand, and capacity that some do not use goes to the others in
 * proportion to their weights.
 */
void fair_shares(double amount, struct fair_claimant *c, size_t n);

/*
 * admit.c, admit-queue.c, admit-share.c: admission control. Each target has one
 * owner, the node that counts the work at the target, admits or refuses each
 * request for it, and holds a queue of the requests that wait.
 */

struct admit_limits {
	/* A target's load may be at most this multiple of the fleet's mean. */
	double load_factor;
	/*
	 * The same for requests that are not expected to reuse a cached prefix
	 * at the target. It is lower, so that these go to other targets before
	 * room runs short for the requests that do reuse one.
	 */
	double cold_load_factor;
	/*
	 * Fraction of the fleet, and at least one target, that may join empty
	 * at once without putting the other targets over the bound.
	 */
	double join_headroom;
	int64_t min_bound; /* lower limit of the bound, in tokens */
	/* Upper limit of a target's load in tokens; 0: none. */
	int64_t max_target_work;
	/*
	 * Fraction of max_target_work that is kept for organisations within
	 * their share.
	 */
	double share_reserve;
	size_t queue_max; /* queued requests for each target */
	/*
	 * A refused request may retry after a random time from
	 * [min, min + spread); the spread widens with the refusal rate.
	 */
	int64_t retry_min_ms;
	int64_t retry_spread_ms;
};

extern const struct admit_limits admit_limits_default;

/* A target's report of its own load. */
struct load_report {
	uint64_t target;
	int64_t running;  /* requests */
	int64_t queued;   /* requests */
	int64_t work;     /* tokens still to be processed */
	int64_t taken_ms; /* when it was measured: now less the report's age */
};

enum verdict {
	VERDICT_ADMIT,
	VERDICT_QUEUE, /* admit_poll returns the final decision later */
	VERDICT_REFUSE,
};

/* Why a request is refused. */
enum refusal {
	REFUSAL_NONE,
	/* Over the bound relative to the mean; others may have room. */
	REFUSAL_OVER_BOUND,
	/* Over max_target_work: the whole fleet may be full. */
	REFUSAL_TARGET_FULL,
	/* The remaining room is reserved for other organisations. */
	REFUSAL_OVER_SHARE,
	/* The request can not finish before its deadline. */
	REFUSAL_DEADLINE,
	/* This node does not own the target. */
	REFUSAL_NOT_OWNER,
	/* The queue is full of requests that have precedence. */
	REFUSAL_QUEUE_FULL,
	/* The target left or accepts no connections. */
	REFUSAL_TARGET_UNAVAILABLE,
};

/* A request for admission to a target. */
struct admit_request {
	uint64_t target;
	uint64_t ticket;       /* id that the caller gives the request */
	uint32_t organisation; /* small index, as in the configuration */
	double weight;         /* of the organisation; above 0 */
	int priority;          /* 0 to 9, highest first */
	int64_t work;          /* tokens if no cached prefix is reused */
	/* Prompt tokens that the target had cached reuse_age_ms before now. */
	int64_t reusable_tokens;
	int64_t reuse_age_ms;
	int64_t run_ms; /* expected time from admission to completion */
	int64_t deadline_ms;
	int64_t wait_until_ms; /* queue until then at most; 0: do not queue */
	/*
	 * Apply load_factor also when no reuse is expected; for requests that
	 * the stricter cold_load_factor kept out everywhere.
	 */
	bool use_full_bound;
	/* Last resort: a target below the mean takes work of any size. */
	bool allow_oversize;
	/*
	 * Mean load in the recent decisions that the requesting entry node
	 * received; 0: unknown. While the fleet's load grows it is ahead of the
	 * fleet totals.
	 */
	int64_t observed_mean_load;
};

struct decision {
	enum verdict verdict;
	enum refusal refusal;
	uint64_t ticket;
	uint64_t target;
	int64_t work;        /* tokens counted; to be passed to admit_done */
	int64_t retry_at_ms; /* of a refusal */
	int64_t load;        /* tokens at the target, as counted here */
};

struct admit;

struct admit *admit_new(const struct admit_limits *limits,
			struct route_random random);
void admit_free(struct admit *a);
/* Change load_factor, which is a setting of the pool's services. */
void admit_set_load_factor(struct admit *a, double factor);
/*
 * Become the owner of a target. Until until_ms other nodes may still admit to
 * the target as its owner; this node then admits only 1 / sharers of the room
 * in the target's own reports. With until_ms in the past the node is the only
 * owner at once.
 */
void admit_take_over(struct admit *a, uint64_t target, int64_t now_ms,
		     int64_t until_ms, unsigned sharers);
/*
 * Stop owning a target. Queued requests are refused through admit_poll; work
 * that was admitted continues and stays counted until admit_done.
 */
void admit_hand_over(struct admit *a, uint64_t target);
/*
 * Apply a load report, unless the target is unknown or the report is older than
 * the last one.
 */
void admit_report(struct admit *a, const struct load_report *r, int64_t now_ms);
/*
 * Record that the target accepted no connection: its queue is refused, and
 * nothing is admitted to it until it sends a report that was taken after
 * now_ms.
 */
void admit_unreachable(struct admit *a, uint64_t target, int64_t now_ms);
/*
 * Set the fleet's total work in tokens and number of targets, summed over all
 * nodes. Until the first call no target is refused for its load relative to the
 * mean, only for max_target_work.
 */
void admit_set_fleet_totals(struct admit *a, int64_t work, size_t targets);
/* Return this node's part of those totals. */
void admit_owned_totals(const struct admit *a, int64_t *work, size_t *targets);
/*
 * Return the most work in tokens that a target may hold, INT64_MAX when there
 * is neither a max_target_work nor a fleet total.
 */
int64_t admit_bound(const struct admit *a);
/* Return the work counted at the target, or -1 when this node is not owner. */
int64_t admit_load(const struct admit *a, uint64_t target);
/* Decide on a request: admit, queue or refuse. */
void admit_request(struct admit *a, const struct admit_request *q,
		   int64_t now_ms, struct decision *d);
/*
 * Release admitted work that has ended or was never started. work is that of
 * the decision, or what admit_correct_work returned.
 */
void admit_done(struct admit *a, uint64_t target, uint32_t organisation,
		int64_t work, int64_t now_ms);
/*
 * Correct the count of an admitted request by the number of prompt tokens that
 * the engine reports as reused. counted is the decision's work.
 *
 * Return: the work to pass to admit_done instead of counted.
 */
int64_t admit_correct_work(struct admit *a, const struct admit_request *q,
			   int64_t counted, int64_t reused);
/* Withdraw a queued request. Return false when none has this ticket. */
bool admit_cancel(struct admit *a, uint64_t ticket);
/*
 * Decide on one queued request that can be admitted now or has expired. Call it
 * until it returns false: after admit_done, after admit_report and at
 * admit_next_poll_ms.
 */
bool admit_poll(struct admit *a, int64_t now_ms, struct decision *d);
/*
 * Return when admit_poll is due next: when the first queued request expires, 0
 * when a refusal is pending already, INT64_MAX when nothing is queued.
 */
int64_t admit_next_poll_ms(const struct admit *a);

/*
 * limit.c: rate and concurrency limits of an organisation across the fleet. One
 * node, the rendezvous owner of the organisation's hash, holds the pool and
 * leases parts of the limit to the nodes until a deadline. Each node enforces
 * its grant with a token bucket.
 */

/* 0 means no limit. */
struct limit_rates {
	double requests_per_s;
	double tokens_per_s;
	double concurrent; /* requests */
};

/* A node's lease of a part of the limit. */
struct limit_grant {
	struct limit_rates rates;
	int64_t until_ms;
};

struct limit_pool;

/*
 * Grants of a previous holder of the pool may be valid until grace_until_ms;
 * until then the pool makes no new grants.
 */
struct limit_pool *limit_pool_new(struct limit_rates declared,
				  int64_t grace_until_ms);
void limit_pool_free(struct limit_pool *p);
/* Change the limit. A lower one holds once the current grants have expired. */
void limit_pool_set_declared(struct limit_pool *p, struct limit_rates declared);
/*
 * Grant a node its max-min share by demand (requests per second). held is the
 * node's current grant or NULL. It stays reserved until it expires, as this
 * answer may be lost, and is renewed unchanged during the grace period. A node
 * must drop an answer whose until_ms is earlier than that of its current grant.
 * The sum of all unexpired grants never exceeds the declared limit.
 */
struct limit_grant limit_pool_grant(struct limit_pool *p, uint64_t node,
				    double demand,
				    const struct limit_grant *held,
				    int64_t now_ms, int64_t until_ms);

/* A node's token bucket for its grant. Zeroed memory is one without a grant. */
struct limit_bucket {
	struct limit_grant grant;
	double requests;   /* requests that may start now */
	double tokens;     /* below 0 after a request larger than the bucket */
	int64_t running;   /* requests in progress */
	int64_t filled_ms; /* last refill */
	double demand;     /* requests per second, for the next grant */
};

void limit_bucket_set_grant(struct limit_bucket *b, struct limit_grant g,
			    int64_t now_ms);
/*
 * Start one request of the given number of tokens. End it with
 * limit_bucket_release.
 *
 * Return: 0, or when the caller may retry, with random jitter.
 */
int64_t limit_bucket_take(struct limit_bucket *b,
			  const struct limit_rates *declared, int64_t tokens,
			  int64_t now_ms, struct route_random random);
void limit_bucket_release(struct limit_bucket *b);

/* retry.c: retry budget and backoff of one request. */

/*
 * Each first attempt adds RETRY_BUDGET_RATIO to the budget and each retry takes
 * 1, so that retries do not multiply an overload. Zeroed memory is an empty
 * budget.
 */
struct retry_budget {
	double balance; /* retries */
};

#define RETRY_BUDGET_RATIO 0.1  /* retries per first attempt */
#define RETRY_BUDGET_MAX   10.0 /* most retries that can accumulate */

struct retry_policy {
	int64_t base_ms; /* backoff before the first retry */
	int64_t max_ms;  /* of the exponential backoff */
	int attempts;    /* including the first */
};

extern const struct retry_policy retry_policy_default;

/* Count a first attempt. */
void retry_budget_deposit(struct retry_budget *b);
/*
 * Decide whether a failed attempt (the first is 1) is retried, and take the
 * retry from the budget. run_ms is how long an attempt takes.
 *
 * Return: the time of the retry, or 0 for none: no attempts or no budget left,
 * or the retry would end after the deadline.
 */
int64_t retry_schedule(struct retry_budget *b, const struct retry_policy *p,
		       int attempt, int64_t run_ms, int64_t now_ms,
		       int64_t deadline_ms, struct route_random random);

/*
 * outlier.c: outlier detection. Targets that fail or are slow are ejected from
 * the pool for a while and then get their traffic back step by step.
 */

struct outlier_policy {
	int consecutive_errors; /* that eject a target */
	/* Eject above this multiple of the pool's mean time to first token. */
	double slow_factor;
	int min_samples; /* before a target's time to first token is judged */
	int64_t base_ejection_ms; /* doubled with each ejection in a row */
	int64_t max_ejection_ms;
	int64_t ramp_ms; /* from the end of the ejection to full traffic */
	/* Fraction of the pool that may be ejected at the same time. */
	double max_ejected_fraction;
};

extern const struct outlier_policy outlier_policy_default;

struct outliers;

struct outliers *outliers_new(const struct outlier_policy *p);
void outliers_free(struct outliers *o);
/* Set the pool's targets; the state of all others is dropped. */
void outliers_set_pool(struct outliers *o, const uint64_t *targets, size_t n);
/*
 * Set how many targets the other nodes have ejected, and how many they watch:
 * max_ejected_fraction applies to the whole pool. For pools in which each node
 * watches only its own targets.
 */
void outliers_set_remote(struct outliers *o, size_t ejected, size_t targets);
/* Record an answer and its time to first token. */
void outliers_record_success(struct outliers *o, uint64_t target,
			     int64_t first_token_ms, int64_t now_ms);
void outliers_record_error(struct outliers *o, uint64_t target, int64_t now_ms);
/*
 * Return whether the target may get a request now. After an ejection a random
 * part of its requests is allowed, which grows to all of them over ramp_ms.
 */
bool outliers_allow(struct outliers *o, uint64_t target, int64_t now_ms,
		    struct route_random random);
/* Return the number of targets that are ejected now. */
size_t outliers_ejected(const struct outliers *o, int64_t now_ms);

/*
 * hint.c: the cache hint. An answer carries it, and the caller sends it with
 * the next request of the chat. It is advisory only.
 */

#define HINT_SIZE 36 /* bytes for the text form with its final NUL */

struct hint {
	uint64_t target; /* has the chat's prefix cached */
	int64_t at_ms;   /* of the answer; wall clock */
};

/* Write the text form, for a header. */
void hint_encode(const struct hint *h, char out[HINT_SIZE]);
/* Parse the text form. Return false for anything else. */
bool hint_decode(const char *s, size_t len, struct hint *out);

/*
 * prefix.c: index of the targets that have a prompt prefix cached, from the
 * targets' cache events or from the requests sent to them.
 */

/* Most targets that the index keeps for one prefix. */
#define PREFIX_MAX_HOLDERS 8

/* A target's event: it stored or evicted a prefix. */
struct prefix_event {
	uint64_t target;
	uint64_t seq;    /* per target, from 1; a gap means lost events */
	uint64_t prefix; /* hash */
	bool stored;     /* false: evicted */
};

struct prefix_index;

/* Allocate an index with a fixed number of entries, 24 bytes each. */
struct prefix_index *prefix_index_new(size_t entries);
void prefix_index_free(struct prefix_index *x);
/* Apply an event. Ignored when seq is not above the target's last one. */
void prefix_index_apply(struct prefix_index *x, const struct prefix_event *ev);
/* Remove a target that has left or lost its cache. */
void prefix_index_drop_target(struct prefix_index *x, uint64_t target);
/*
 * Record that the target has the prefix cached, as the most recently used
 * entry. Return whether the entry is new.
 */
bool prefix_index_add(struct prefix_index *x, uint64_t prefix, uint64_t target);
bool prefix_index_holds(const struct prefix_index *x, uint64_t prefix,
			uint64_t target);
/* A prefix and a target that has it cached. */
struct prefix_location {
	uint64_t prefix;
	uint64_t target;
};

/* List at most max entries, most recently used first. Return their number. */
size_t prefix_index_list(const struct prefix_index *x,
			 struct prefix_location *out, size_t max);
/* List the holders of the prefix, most recently used first; return how many. */
size_t prefix_index_holders(const struct prefix_index *x, uint64_t prefix,
			    uint64_t out[PREFIX_MAX_HOLDERS]);
/*
 * Find the target that holds the longest of a chat's prefixes (hashes, longest
 * first); of several the most recently used one. *depth is set to the prefix's
 * index.
 *
 * Return: the target, or 0 when none holds any.
 */
uint64_t prefix_index_find_longest(struct prefix_index *x,
				   const uint64_t *prefixes, size_t n,
				   size_t *depth);

/*
 * eviction-age.c: estimate of the age at which a target evicts an unused
 * prefix, from whether its answers report reuse. Zeroed memory is a target
 * without observations.
 */
struct eviction_age {
	bool known;
	int64_t estimate_ms;
};

/* Return whether a prefix last used age_ms ago is probably still cached. */
bool eviction_age_predicts_hit(const struct eviction_age *e, int64_t age_ms);
/* Update the estimate by a request whose prefix was last used age_ms ago. */
void eviction_age_update(struct eviction_age *e, int64_t age_ms, bool reused);

/* choose.c: the order in which a request tries targets. */

#define CHOOSE_MAX 8

struct choose_input {
	uint64_t key;            /* hash of the chat */
	const struct hint *hint; /* or NULL */
	uint64_t indexed;        /* target from the prefix index, or 0 */
	struct rendezvous_candidate *targets; /* that may be tried */
	size_t count;
};

/*
 * Write target ids to out, in the order to try them: the hint's target, the
 * prefix index's, then the rendezvous order. Each target occurs once, and only
 * those in in->targets do.
 *
 * Return: number written, at most CHOOSE_MAX.
 */
size_t choose_targets(const struct choose_input *in, uint64_t *out);
/*
 * Return how long it is worth waiting for a target that has these tokens
 * cached: the time in which another target computes them again.
 */
int64_t choose_wait_ms(int64_t cached_tokens, double prefill_tokens_per_s);

/* p2c.c: power of two choices, for when the target's owner does not answer. */

struct p2c_load {
	uint64_t target;
	int64_t work;      /* tokens, as last reported */
	int64_t sent_work; /* tokens that this node has sent since then */
};

/*
 * Return the index of the less loaded of two candidates: preferred (SIZE_MAX:
 * a random one) and a random one. preferred wins while its load is under
 * bound tokens. n must not be 0.
 */
size_t p2c_choose(const struct p2c_load *l, size_t n, size_t preferred,
		  int64_t bound, struct route_random random);

/*
 * place.c: choice of the target by prefix affinity (rendezvous hashing with
 * bounded loads) and of the target to fetch a cached prefix from.
 */

struct place_target {
	uint64_t id;
	double load;  /* requests in progress, as far as this node knows */
	double slots; /* requests that it runs at the same time */
	/*
	 * Fraction of its full share of the keys: 0 when the target has just
	 * joined with an empty cache, 1 when it takes its full share.
	 */
	double weight;
	/*
	 * Ejected as failing, or already tried for the request: chosen only
	 * when there is no other.
	 */
	bool avoid;
	bool draining; /* gets no new requests */
	/*
	 * Gets none from this node for now, but does from others: it counts for
	 * the mean load.
	 */
	bool limited;
	/*
	 * Cold, and this node may not send it a request now. It counts for the
	 * mean load, as others send it some, but unlike a limited target it
	 * gives the others no more load than the mean allows.
	 */
	bool warming;
	bool can_export; /* other targets can fetch cached prefixes from it */
};

/* Fewer unseen requests than this fit into the slack of the bound. */
#define UNSEEN_MIN 2

/* A target may have factor x mean load + slack requests. */
struct place_limits {
	double factor;
	double slack; /* requests */
	/*
	 * Requests for the key that the other nodes are expected to send before
	 * this node hears of them. They share the room of each target.
	 */
	double unseen;
	/*
	 * While some targets are limited, the others may have this load
	 * whatever the mean, as what those can't take has to go somewhere.
	 */
	double room;
	/*
	 * Share of the slots of a target up to which requests are spread over
	 * the targets by chance, in proportion to their room, as each of many
	 * nodes would choose the one that seems to be empty; 0: they aren't.
	 */
	double spread;
};

/*
 * Return the limits for a request that shares shared_tokens of its prompt with
 * other requests. factor is the operators' limit for the service; the result is
 * stricter.
 */
struct place_limits place_limits_for(int64_t shared_tokens, double factor);
/*
 * While some targets are limited, mark those as limited as well that are too
 * full for a request of the priority (0 is the most urgent): in their queues it
 * would wait to its deadline, as what the limited ones don't take goes on
 * coming.
 */
void place_limit_overflow(struct place_target *t, size_t n, int priority);
/*
 * Choose a target: the first in the key's weighted rendezvous order when its
 * load is within the limits, else the first within the limits in the unweighted
 * order, else the least loaded one. Without a key (0) it is the least loaded
 * one. Targets marked avoid are chosen only when there is no other.
 *
 * Return: an index, or SIZE_MAX when no target takes requests.
 */
size_t place_choose(const struct place_limits *l, uint64_t key,
		    const struct place_target *t, size_t n,
		    struct route_random random);
/*
 * Return whether the request would have gone to a warming target instead of the
 * chosen one (SIZE_MAX: none) if that had taken it.
 */
bool place_avoided_warming(const struct place_limits *l, uint64_t key,
			   const struct place_target *t, size_t n,
			   size_t chosen);
/*
 * Choose the target from which the chosen one fetches the part of the prompt
 * that it has not cached. parts are the hashes of the prompt's shared prefixes,
 * longest first. The order is: a target that the index lists for the longest
 * prefix, the target where that prefix's requests usually go, a target that the
 * index lists for a shorter prefix.
 *
 * Return: an index, or SIZE_MAX when a fetch is not known to gain anything.
 */
size_t place_source(const uint64_t *parts, size_t part_count,
		    const struct prefix_index *index,
		    const struct place_target *t, size_t n, size_t chosen);
/*
 * key-rate.c: how often requests for a key arrive at this node. Not
 * thread-safe.
 */
struct key_rates;

struct key_rates *key_rates_new(void);
void key_rates_free(struct key_rates *r);
/* Record a request for a key. */
void key_rates_record(struct key_rates *r, uint64_t key, int64_t now_ms);
/* Return the rate of recent requests for a key, per ms. */
double key_rates_per_ms(const struct key_rates *r, uint64_t key,
			int64_t now_ms);

/* Return the weight, in (0, 1], of a target that joined joined_for_ms ago. */
double place_weight(int64_t joined_for_ms);

/*
 * retry-window.c: a node's retries over a sliding window, such that the sum
 * over nodes which each keep to their own window stays below ratio x requests +
 * allowance, where the requests are those of the same window or of the one
 * before, whichever are more over all nodes. A node can't know which are, so
 * each counts a fixed part of both.
 *
 * A retry counts from when it is taken until a window after it was settled, as
 * it may arrive at any moment in between.
 *
 * To begin, zero it and set the first four fields.
 */
#define RETRY_WINDOW_SLOTS 82

struct retry_window {
	double ratio;     /* retries per request */
	double allowance; /* retries; this node's part of the fleet's number */
	/* Windows that begin earlier have no allowance. */
	int64_t allowance_from_ms;
	int64_t window_ms;
	int64_t slot_ms;     /* length of a slot */
	int64_t newest_slot; /* time / slot_ms */
	unsigned pending;    /* retries that were taken and not settled */
	unsigned requests[RETRY_WINDOW_SLOTS];
	unsigned retries[RETRY_WINDOW_SLOTS]; /* by when they were settled */
};

/*
 * What the window with the least room held when a retry was decided on; the
 * retry itself counts.
 */
struct retry_room {
	double requests; /* that paid for it */
	unsigned retries;
	double allowed;
};

/* Count a request. */
void retry_window_add_request(struct retry_window *s, int64_t now_ms);
/*
 * Take one retry. Return false when a window allows none. room may be NULL.
 */
bool retry_window_take(struct retry_window *s, int64_t now_ms,
		       struct retry_room *room);
/* Return the rate of the requests of late. */
double retry_window_requests_per_ms(struct retry_window *s, int64_t now_ms);
/* A retry that was taken has arrived, or never will. */
void retry_window_settle(struct retry_window *s, int64_t now_ms);

/*
 * retry-share.c: the part of a service's retry budget that a process may use.
 */
struct retry_budget_limits {
	double ratio;
	double allowance; /* of the fleet */
	int64_t window_ms;
};

/* To begin, zero it and set started_ms. */
struct retry_share {
	struct retry_window window;
	int64_t started_ms; /* of the process */
	size_t nodes;       /* that share the allowance */
	/* No fewer nodes share it before, as those that left have used it. */
	int64_t nodes_until_ms;
};

/* Update the window for the limits and the nodes of the fleet, live or not. */
void retry_share_update(struct retry_share *s,
			const struct retry_budget_limits *l, size_t nodes,
			int64_t now_ms);

/*
 * brittle.c: whether a target that bears few rejections may get a request.
 */

/*
 * Share of the slots of such a target up to which any node sends it requests.
 */
#define BRITTLE_CALM_SHARE 0.5

struct brittle_load {
	uint64_t target, node;
	double slots;
	double load;   /* requests at the target, as far as this node knows */
	bool rejected; /* it rejected one of this node lately */
	/* Of the service. */
	double room;   /* brittle_room of all targets */
	double unseen; /* requests that others may have sent since then */
	int64_t turn;  /* number of the time in which they are not seen */
};

/*
 * The requests that a node may send to a service whose requests end before
 * their load is seen: by their time at the targets, so that all nodes together
 * take a fixed share of the slots. To begin, zero it.
 */
struct brittle_rate {
	double work_ms;     /* of a request, on average; INFINITY: not known */
	double tokens;      /* requests that may be sent now */
	double per_ms;      /* of this node, on average */
	double load;        /* of the service, on average */
	double sent;        /* since updated_ms */
	int64_t updated_ms; /* 0: not yet */
};

/* load, slots: of all targets of the service. */
void brittle_rate_update(struct brittle_rate *r, double load, double slots,
			 int nodes, int64_t now_ms);
/* Count a request that is sent to the service. */
void brittle_rate_take(struct brittle_rate *r);

/*
 * Whether the room of all targets lasts for the requests that were sent unseen,
 * and for as many that are sent before those are seen.
 */
bool brittle_lasts(double room, double unseen);
/* Return how many requests any nodes may still send to a target. */
double brittle_room(double slots, double load);
/* Whether this node may send the target a request as any other may. */
bool brittle_is_calm(const struct brittle_load *b);
/*
 * Return a node's part of the target's slots. nodes: that are live;
 * nodes_before: of these, in the target's rendezvous order.
 */
int brittle_share(int64_t slots, int nodes, int nodes_before);

/*
 * stall.c: decides whether a request whose answer has not begun is stalled and
 * should be retried elsewhere. Detects targets that stop answering and targets
 * that lose single requests. No stall is reported of a target that is only
 * busy: it keeps beginning the requests that were sent before this one.
 */
struct stall_state {
	int64_t sent_ms;          /* when the request was sent */
	int64_t last_received_ms; /* last data from the target; 0: never */
	/*
	 * Send time of the newest request, among those of the same or a lower
	 * priority, that the target has begun to answer.
	 */
	int64_t newest_begun_sent_ms;
	int64_t stall_after_ms; /* from stall_timeout_for */
};

enum stall_status {
	/* Not stalled: keep waiting. */
	STALL_NONE,
	/* The target sends nothing on any connection. */
	STALL_TARGET_SILENT,
	/* The target began requests sent much later: it lost this one. */
	STALL_REQUEST_OVERTAKEN,
};

/*
 * Return the time without data that counts as a stall, for a request whose
 * answer should begin within latency_target_ms and whose deadline is left_ms
 * away. The timeout leaves time for a whole second attempt; when left_ms is too
 * short for one, the timeout is all of left_ms.
 */
int64_t stall_timeout_for(int64_t latency_target_ms, int64_t left_ms);
enum stall_status stall_status(const struct stall_state *s, int64_t now_ms);

/* kv-move.c: whether to move a KV cache between engines or recompute it. */

struct kv_costs {
	double prefill_tokens_per_s; /* of the receiving engine */
	double bytes_per_token;      /* of KV cache */
	double bytes_per_s;          /* between the two engines */
	double setup_ms;             /* of an export and import */
	/* Engine time that the donor loses / duration of the move. */
	double donor_time_ratio;
};

/* Return whether moving a prefix's KV cache is cheaper than recomputing it. */
bool kv_move_is_cheaper(const struct kv_costs *c, int64_t tokens);
/* Return the shortest prefix worth moving, in tokens; INT64_MAX: none. */
int64_t kv_move_min_tokens(const struct kv_costs *c);

#endif
