/*
 * route: where a request goes, what is refused and when to come back. Pure
 * decisions: no I/O, threads, wall clock or process-wide state. Times are
 * absolute milliseconds of one clock that the caller chooses; work is counted
 * in tokens: those of the prompt that are not cached, plus the expected
 * output. An object is used by one thread at a time.
 */
#ifndef ROUTE_H
#define ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A candidate for a key's work. */
struct route_rank {
	uint64_t id;    /* hash of the target's name */
	size_t index;   /* the caller's own number for the target */
	uint64_t score; /* set by route_order */
};

/* Seeded source of random numbers in [0, 1). */
struct route_random {
	double (*next)(void *ctx);
	void *ctx;
};

/* rendezvous.c */

/*
 * Sort candidates by rendezvous hashing: the best place for the key first.
 * When a candidate joins or leaves, only keys that it wins move.
 */
void route_order(uint64_t key, struct route_rank *r, size_t n);
/*
 * The first k of that order, in out, without sorting the rest; r is not
 * changed but for the scores.
 *
 * Return: how many were written: k, or n when that is less.
 */
size_t route_top(uint64_t key, struct route_rank *r, size_t n,
		 struct route_rank *out, size_t k);
/*
 * The admitting node of a target: the first of the live nodes in the target's
 * rendezvous order. Returns an index into nodes; n must not be 0.
 */
size_t route_admitter(uint64_t target, const uint64_t *nodes, size_t n);

/* fair.c */

/* One taker of a divided amount. */
struct fair_taker {
	double demand;
	double weight; /* above 0 */
	double share;  /* set by fair_shares */
};

/*
 * Weighted max-min shares: nobody gets more than its demand, and what some do
 * not want is lent to the others in proportion to their weights.
 */
void fair_shares(double amount, struct fair_taker *t, size_t n);

/* admit.c: the admitting node's count of its targets, and its queue. */

struct admit_limits {
	double load_factor; /* most load of a target / mean of the fleet */
	/*
	 * The same for requests that are not expected to reuse anything at the
	 * target: they go on to another before room is short for those that
	 * are.
	 */
	double fresh_factor;
	/*
	 * Part of the fleet that may join at once, empty, without the bound
	 * being passed; at least one target is reckoned with.
	 */
	double join_reserve;
	int64_t floor_work;  /* the bound is never below this many tokens */
	int64_t target_work; /* most tokens a target ever holds; 0: no limit */
	/* Part of the bound that only those within their share may use. */
	double share_reserve;
	size_t queue_max; /* waiting requests for each target */
	/* A refused request may come back within [min, min + spread). */
	int64_t retry_min_ms;
	int64_t retry_spread_ms;
};

extern const struct admit_limits admit_limits_default;

/* What a target reported of itself. */
struct load_report {
	uint64_t target;
	int64_t running; /* requests */
	int64_t queued;
	int64_t work;     /* tokens still to do */
	int64_t taken_ms; /* when it was true; now less its age */
};

enum verdict {
	VERDICT_ADMIT,
	VERDICT_QUEUE, /* a later decision of admit_poll settles it */
	VERDICT_REFUSE,
};

enum refusal {
	REFUSAL_NONE,
	REFUSAL_NO_ROOM,     /* over the bound; another target may have room */
	REFUSAL_FULL,        /* over target_work; the fleet may be full too */
	REFUSAL_OVER_SHARE,  /* the rest is kept for other organisations */
	REFUSAL_LATE,        /* can not end before its deadline */
	REFUSAL_NOT_HERE,    /* this node does not admit to the target */
	REFUSAL_QUEUE_FULL,  /* and those waiting come first */
	REFUSAL_TARGET_GONE, /* it left or can not be reached */
};

struct admit_ask {
	uint64_t target;
	uint64_t ticket;       /* the caller's name for a waiting request */
	uint32_t organisation; /* small index, as in the configuration */
	double weight;         /* the organisation's */
	int priority;          /* 0 to 9; higher ones first */
	int64_t work;          /* if nothing is reused */
	/* Prompt tokens that the target held at reuse_age_ms before now. */
	int64_t reuse;
	int64_t reuse_age_ms;
	int64_t run_ms; /* expected time from admission to the end */
	int64_t deadline_ms;
	int64_t wait_until_ms; /* queue no longer than this; 0: do not queue */
	/* For requests that found no room: load_factor also binds if fresh. */
	bool whole_bound;
	/* Last resort: a target under the mean takes work of any size. */
	bool any_size;
	/*
	 * Mean load in the decisions that the asking entry got lately; 0: not
	 * known. It shows a growing fleet before the sums do.
	 */
	int64_t seen_load;
};

struct decision {
	enum verdict verdict;
	enum refusal refusal;
	uint64_t ticket;
	uint64_t target;
	int64_t work;        /* as counted, to be given back by admit_done */
	int64_t retry_at_ms; /* when refused */
	int64_t load;        /* the target's, as counted here */
};

struct admit;

struct admit *admit_new(const struct admit_limits *limits,
			struct route_random random);
void admit_free(struct admit *a);
/* Change the multiple of the mean, as a setting of the pool's services. */
void admit_set_load_factor(struct admit *a, double factor);
/*
 * Begin to admit to a target. Until until_ms other nodes may still believe
 * that it is theirs; this one then admits only its part (1 / sharers) of what
 * the target's own report leaves free. With until_ms in the past the target
 * is taken for this node's alone.
 */
void admit_take_over(struct admit *a, uint64_t target, int64_t now_ms,
		     int64_t until_ms, unsigned sharers);
/*
 * Stop admitting to a target: those waiting are refused by admit_poll. Work
 * admitted before is not called back.
 */
void admit_give_up(struct admit *a, uint64_t target);
/* Reports older than the one held and of unknown targets are dropped. */
void admit_report(struct admit *a, const struct load_report *r, int64_t now_ms);
/*
 * The target took no connection: nothing is admitted to it until it sends a
 * report that was taken later.
 */
void admit_unreachable(struct admit *a, uint64_t target, int64_t now_ms);
/*
 * Work and number of all targets of the fleet (sums from all nodes). Until
 * they are known no target is refused for its load, only for target_work.
 */
void admit_set_fleet(struct admit *a, int64_t work, size_t targets);
/* This node's part of those sums. */
void admit_sums(const struct admit *a, int64_t *work, size_t *targets);
/* Most work that a target may hold by the fleet's sums. */
int64_t admit_bound(const struct admit *a);
/* Work at the target as counted here; -1 when it is not this node's. */
int64_t admit_load(const struct admit *a, uint64_t target);
void admit_ask(struct admit *a, const struct admit_ask *q, int64_t now_ms,
	       struct decision *d);
/* The work has ended, or did not begin. */
void admit_done(struct admit *a, uint64_t target, uint32_t organisation,
		int64_t work, int64_t now_ms);
/*
 * The engine told that it reused so many tokens for the request of an admitted
 * ask: correct the count. Returns the work for admit_done in place of counted,
 * which the decision gave.
 */
int64_t admit_reused(struct admit *a, const struct admit_ask *q,
		     int64_t counted, int64_t reused);
/* A waiting request was withdrawn. Returns false when it does not wait. */
bool admit_cancel(struct admit *a, uint64_t ticket);
/*
 * Settle one waiting request that can be admitted now or must be given up.
 * Call until false after admit_done, admit_report and when admit_next_ms says.
 */
bool admit_poll(struct admit *a, int64_t now_ms, struct decision *d);
/* When the first waiting request must be given up; INT64_MAX: none waits. */
int64_t admit_next_ms(const struct admit *a);

/*
 * limit.c: limits of an organisation that hold across the fleet. One node (the
 * admitting node of the organisation's hash) keeps the pool and grants parts
 * of it that end at a deadline; each node spends its grant by a bucket.
 */

struct limit_rates {
	double requests_per_s; /* 0: no limit; likewise below */
	double tokens_per_s;
	double concurrent;
};

struct limit_grant {
	struct limit_rates rates;
	int64_t until_ms;
};

struct limit_pool;

/*
 * Grants of an earlier holder of the pool may be out until quiet_until_ms;
 * nothing new is granted before.
 */
struct limit_pool *limit_pool_new(struct limit_rates declared,
				  int64_t quiet_until_ms);
void limit_pool_free(struct limit_pool *p);
/* A lower limit binds once the grants that are out have ended. */
void limit_pool_declare(struct limit_pool *p, struct limit_rates declared);
/*
 * Grant a node its max-min part by demand (requests a second). held is the
 * grant that the node has, or NULL: it stays booked until its end, as this
 * answer may be lost, and in the quiet time it is extended unchanged. A node
 * drops an answer whose until_ms is earlier than that of the grant it has. All
 * grants that have not ended never exceed the declared limit in sum.
 */
struct limit_grant limit_pool_grant(struct limit_pool *p, uint64_t node,
				    double demand,
				    const struct limit_grant *held,
				    int64_t now_ms, int64_t until_ms);

/* A node's spending of its grant. Zeroed memory is a bucket with no grant. */
struct limit_bucket {
	struct limit_grant grant;
	double requests;
	double tokens;
	int64_t running;
	int64_t filled_ms;
	double demand; /* requests a second, for the next grant */
};

void limit_bucket_grant(struct limit_bucket *b, struct limit_grant g,
			int64_t now_ms);
/*
 * Take one request of so many tokens. Returns 0, or when to come back, spread
 * at random.
 */
int64_t limit_take(struct limit_bucket *b, const struct limit_rates *declared,
		   int64_t tokens, int64_t now_ms, struct route_random random);
void limit_done(struct limit_bucket *b);

/* retry.c */

/* Retries are paid for by first attempts. Zeroed memory is a valid budget. */
struct retry_budget {
	double saved;
};

#define RETRY_RATIO    0.1  /* retries for each first attempt */
#define RETRY_SAVE_MAX 10.0 /* retries saved up in quiet times */

struct retry_policy {
	int64_t base_ms; /* backoff before the first retry */
	int64_t max_ms;
	int attempts; /* with the first one */
};

extern const struct retry_policy retry_policy_default;

/* Count a first attempt. */
void retry_first(struct retry_budget *b);
/*
 * May attempt number `attempt` (the first is 1) be followed by another, and
 * when? Takes from the budget. Returns the time of the retry, or 0 for none:
 * the attempts or the budget are used up, or it would not end in time.
 */
int64_t retry_at(struct retry_budget *b, const struct retry_policy *p,
		 int attempt, int64_t run_ms, int64_t now_ms,
		 int64_t deadline_ms, struct route_random random);

/* outlier.c: targets that err or are slow are set aside for a while. */

struct outlier_policy {
	int errors;         /* in a row */
	double slow_factor; /* of the pool's mean time to the first token */
	int slow_samples;   /* before a target is judged by its time */
	int64_t aside_ms;   /* the first time; doubled each time in a row */
	int64_t aside_max_ms;
	int64_t ramp_ms;   /* from the first trial to all of its traffic */
	double aside_part; /* most of the pool that is aside at once */
};

extern const struct outlier_policy outlier_policy_default;

struct outliers;

struct outliers *outliers_new(const struct outlier_policy *p);
void outliers_free(struct outliers *o);
/* The pool now has these targets; others are forgotten. */
void outliers_set_pool(struct outliers *o, const uint64_t *targets, size_t n);
/*
 * When each node watches its own targets: what the others have told, of which
 * aside_part counts the whole pool.
 */
void outliers_set_others(struct outliers *o, size_t aside, size_t targets);
void outliers_ok(struct outliers *o, uint64_t target, int64_t first_token_ms,
		 int64_t now_ms);
void outliers_error(struct outliers *o, uint64_t target, int64_t now_ms);
/*
 * May the target get a request now? After its time aside it gets a part of
 * its traffic that grows to all of it.
 */
bool outliers_allow(struct outliers *o, uint64_t target, int64_t now_ms,
		    struct route_random random);
size_t outliers_aside(const struct outliers *o, int64_t now_ms);

/* hint.c: what an answer gives the caller to bring back; advisory only. */

#define HINT_SIZE 36 /* characters with the final NUL */

struct hint {
	uint64_t target; /* that holds the chat's prefix */
	int64_t at_ms;   /* wall clock */
};

/* Text form for a header. */
void hint_encode(const struct hint *h, char out[HINT_SIZE]);
/* Returns false for anything that hint_encode does not give. */
bool hint_decode(const char *s, size_t len, struct hint *out);

/*
 * prefix.c: which targets hold which prefix, as far as events told, or as
 * requests were sent.
 */

/* Most targets that are kept for one prefix. */
#define PREFIX_HOLDERS 8

struct cache_change {
	uint64_t target;
	uint64_t seq; /* per target, from 1; holes are lost events */
	uint64_t prefix;
	bool stored; /* or evicted */
};

struct prefix_index;

/* Memory is bounded by the number of entries, 24 bytes each. */
struct prefix_index *prefix_index_new(size_t entries);
void prefix_index_free(struct prefix_index *x);
/* Events with an old number are dropped. */
void prefix_index_feed(struct prefix_index *x, const struct cache_change *c);
/* The target has left or lost its memory. */
void prefix_index_forget(struct prefix_index *x, uint64_t target);
/* The target has read the prefix; returns whether that is news. */
bool prefix_index_note(struct prefix_index *x, uint64_t prefix,
		       uint64_t target);
bool prefix_index_holds(const struct prefix_index *x, uint64_t prefix,
			uint64_t target);
/* A prefix and a target that holds it. */
struct prefix_held {
	uint64_t prefix;
	uint64_t target;
};

/* All that is known, the last used first; returns the number, at most max. */
size_t prefix_index_list(const struct prefix_index *x, struct prefix_held *out,
			 size_t max);
/* Targets that hold the prefix, the last used first; returns their number. */
size_t prefix_index_holders(const struct prefix_index *x, uint64_t prefix,
			    uint64_t out[PREFIX_HOLDERS]);
/*
 * Target that holds the longest of a chat's prefixes (hashes, longest first),
 * or 0; of several the last used. *depth is the index of that prefix.
 */
uint64_t prefix_index_find(struct prefix_index *x, const uint64_t *prefixes,
			   size_t n, size_t *depth);

/*
 * age.c: how long a target keeps a prefix that is not used, learned from what
 * its answers say was reused. Zeroed memory is a target not known yet.
 */
struct reuse_age {
	bool known;
	int64_t limit_ms;
};

/* Does the target probably still hold a prefix that it used so long ago? */
bool reuse_age_expects(const struct reuse_age *r, int64_t age_ms);
void reuse_age_learn(struct reuse_age *r, int64_t age_ms, bool reused);

/* choose.c: the order in which targets are asked. */

#define CHOOSE_MAX 8

struct choose_input {
	uint64_t key;               /* hash of the chat */
	const struct hint *hint;    /* or NULL */
	uint64_t indexed;           /* from the prefix index, or 0 */
	struct route_rank *targets; /* ids of those that may be asked */
	size_t count;
};

/*
 * Ids in the order to ask: the hint's target, the index's, then the rendezvous
 * order; each once, and only those among targets.
 *
 * Return: number written, at most CHOOSE_MAX.
 */
size_t choose_targets(const struct choose_input *in, uint64_t *out);
/*
 * How long waiting for a target that holds the prefix is cheaper than reading
 * the prefix again elsewhere.
 */
int64_t choose_wait_ms(int64_t cached_tokens, double prefill_tokens_per_s);

/* p2c.c: the fallback when an admitting node does not answer. */

struct p2c_load {
	uint64_t target;
	int64_t work; /* as last reported */
	int64_t sent; /* work that this node sent since that report */
};

/*
 * Power of two choices: of preferred (or SIZE_MAX) and a random one, or two
 * random ones, that with less load; preferred wins while it is under bound.
 * Returns an index; n must not be 0.
 */
size_t p2c_choose(const struct p2c_load *l, size_t n, size_t preferred,
		  int64_t bound, struct route_random random);

/* place.c: which target takes a request, by the load of all of them. */

struct place_target {
	uint64_t id;
	double load; /* requests in progress there, as far as known */
	/*
	 * Part of the keys that it would have by itself: 0 when it has just
	 * joined and holds no prompt, 1 when it takes its full part.
	 */
	double weight;
	bool aside;   /* errs, or was tried for this request */
	bool leaving; /* takes nothing new */
	bool gives;   /* others can fetch from it what it has read */
};

struct place_limits {
	double factor; /* most load / mean of the service's targets */
	double slack;  /* requests that a target may have above that */
};

/*
 * For a request that shares so many prompt tokens with others, where operators
 * allow a target factor x the mean of its service.
 */
struct place_limits place_limits_for(int64_t shared_tokens, double factor);

/*
 * The first target of the key's rendezvous order, by weights, while its load
 * is within the limits; else the first of the order without weights that is.
 * Without a key (0), or when none is, the one with the least load. Those aside
 * are taken only when there is no other.
 *
 * Return: an index, or SIZE_MAX when n is 0.
 */
size_t place_choose(const struct place_limits *l, uint64_t key,
		    const struct place_target *t, size_t n,
		    struct route_random random);
/*
 * From which target the chosen one had better fetch what it lacks of a prompt,
 * whose shared parts are told longest first: one that the index knows to hold
 * the longest, else the one where work of that part usually goes, else one that
 * holds a shorter part. SIZE_MAX when nothing is known to be gained.
 */
size_t place_source(const uint64_t *parts, size_t part_count,
		    const struct prefix_index *index,
		    const struct place_target *t, size_t n, size_t chosen);
/* Weight of a target that joined so long ago. */
double place_weight(int64_t joined_for_ms);

/*
 * window.c: repeats of requests that a window of time allows: a part of the
 * requests, and a fixed number for all nodes together. Zeroed memory but for
 * the first three fields is a valid start.
 */
#define RETRY_SLOTS 11 /* ten of a window and the one being filled */

struct retry_window {
	double ratio;
	double allowance; /* this node's part */
	int64_t window_ms;
	int64_t slot_number; /* of the newest slot */
	unsigned firsts[RETRY_SLOTS];
	unsigned repeats[RETRY_SLOTS];
};

/* Count a request. */
void retry_window_first(struct retry_window *s, int64_t now_ms);
/* Take one repeat; false when the window allows none. */
bool retry_window_take(struct retry_window *s, int64_t now_ms);

/*
 * wait.c: whether a target that has not begun to answer is still waited for.
 * For targets that went dark and for those that lose single requests; one that
 * is only busy goes on with what it got before, and keeps its requests.
 */
struct wait_state {
	int64_t sent_ms;
	int64_t heard_ms; /* the target last said anything; 0: never */
	/* The newest sending, no more urgent, that it has begun to answer. */
	int64_t begun_ms;
	int64_t patience_ms;
};

enum wait_sign {
	WAIT_BUSY,      /* none: wait on */
	WAIT_SILENT,    /* it says nothing to anybody */
	WAIT_OVERTAKEN, /* what was sent much later was begun before */
};

/*
 * How long silence is no sign, for work that is wanted within aim_ms and that
 * ends in left_ms; all of that when it is too short for a second try.
 */
int64_t wait_patience_ms(int64_t aim_ms, int64_t left_ms);
enum wait_sign wait_sign(const struct wait_state *w, int64_t now_ms);

/* kv.c */

struct kv_costs {
	double prefill_tokens_per_s; /* at the receiving engine */
	double bytes_per_token;      /* of KV cache */
	double bytes_per_s;          /* between the two engines */
	double setup_ms;             /* of an export and import */
	double donor_cost; /* time taken of the donor / time of the move */
};

/* Is moving a prefix's KV cache cheaper than recomputing it? */
bool kv_move_pays(const struct kv_costs *c, int64_t tokens);
/* Shortest prefix that is worth moving; INT64_MAX: none. */
int64_t kv_move_min(const struct kv_costs *c);

#endif
