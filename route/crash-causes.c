/*
 * A cause is a key of requests: a part of their prompts, or the hash of one
 * request that comes again as it is. What crashes targets is among the keys of
 * each attempt that such a crash breaks before its response begins, and no
 * response with it begins. With the other keys of these attempts responses
 * begin before long, at the same node or at another.
 *
 * So a key is blocked once several targets, in attempts that differ, have
 * crashed since a response with it last began. Where several keys qualify, one
 * is blocked, and the crashes that it explains are taken off the others. Many
 * targets that crash at the same moment count as one crash, as no single
 * request reaches them all.
 *
 * A request that comes again explains the crashes of the parts of its prompt as
 * long as no other request has crashed a target with them.
 *
 * A key that was sound shortly before needs more (crash-evidence.c). A request
 * with a blocked key is let through at times, to see whether it is sound
 * (crash-trials.c).
 */
#include <stdatomic.h>

#include "route/crash-causes.h"
#include "route/crash-evidence.h"
#include "route/crash-trials.h"
#include "route/recent-crashes.h"
#include "route/route.h"

/* What blocks a key. */
struct block_rule {
	size_t crashes;
	size_t attempts; /* that differ: see cause_crash */
	size_t moments;  /* see crash_evidence_moments */
	/*
	 * Crashes that suffice while other targets crash that the key doesn't
	 * account for, and its own are less than one in CRASH_SHARE.
	 */
	size_t crashes_among_many;
	/* Crashes after which the rules bound the requests that follow. */
	size_t allowed;
};

static const struct block_rule part_rule = {
	.crashes = 4,
	.attempts = 2,
	.moments = 3,
	.crashes_among_many = 7,
	.allowed = 5,
};
/* All attempts of a request come one after the other, so few say much. */
static const struct block_rule whole_rule = {
	.crashes = 3,
	.attempts = 2,
	.moments = 2,
	.crashes_among_many = 3,
	.allowed = 3,
};

/* Crashes of one request after which it gets no second target by itself. */
#define SUSPECT_CRASHES 2
/* See block_rule. */
#define CRASH_SHARE 2
/* Targets that crash at one moment for a cause other than a trial. */
#define COMMON_CRASHES 3
/* Time for records of other nodes to arrive before a key is blocked. */
#define SETTLE_MS 150
/* Crashes are forgotten after this time. */
#define CRASH_TTL_MS 600000
/* Keys that are remembered; the longest unused ones are forgotten. */
#define CAUSES_MAX 2048
/* Keys that are blocked at the same time; more free the longest idle one. */
#define BLOCKED_MAX 64

struct cause {
	struct cause_record r;
	int64_t qualified_ms; /* since when it is to be blocked; 0: it isn't */
	int64_t freed_ms;     /* blocked again only after a later crash */
	struct crash_trials trials;
	uint32_t sound_count;   /* sound runs that this node has seen */
	uint64_t runs_at_crash; /* crash_causes.sound_runs at the last crash */
	unsigned rounds_left;   /* how often it is still to be sent */
	GList link;             /* in the order of use */
};

struct crash_causes {
	GMutex lock;
	GHashTable *causes; /* key -> struct cause */
	GQueue used;        /* struct cause, most recently used first */
	size_t suspected;   /* causes with crashes */
	struct cause *blocked[BLOCKED_MAX];
	size_t blocked_count;
	struct recent_crashes recent; /* of all keys */
	struct sound_runs *sound;     /* of requests, by their whole key */
	uint64_t sound_runs;          /* seen by this node, of all keys */
	int64_t now_ms;               /* the latest time that was given */
	atomic_size_t blocks; /* blocked_count, to be read without the lock */
	unsigned rounds;
	bool forward;
	bool has_updates;
	uint64_t changes; /* of what is to be saved, so far */
	uint64_t self;
	uint64_t *nodes; /* live ones */
	size_t node_count;
	cause_changed_fn *changed;
	void *ctx;
	const struct trial_claims *claims; /* NULL: no other nodes */
	void *claims_ctx;
};

struct crash_causes *crash_causes_new(cause_changed_fn *changed, void *ctx)
{
	struct crash_causes *f = g_new0(struct crash_causes, 1);

	f->causes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  g_free);
	g_queue_init(&f->used);
	f->sound = sound_runs_new();
	f->rounds = 1;
	f->changed = changed;
	f->ctx = ctx;
	return f;
}

void crash_causes_free(struct crash_causes *f)
{
	g_hash_table_unref(f->causes);
	sound_runs_free(f->sound);
	g_free(f->nodes);
	g_free(f);
}

void crash_causes_set_nodes(struct crash_causes *f, uint64_t self,
			    const uint64_t *nodes, size_t n)
{
	g_mutex_lock(&f->lock);
	f->self = self;
	g_free(f->nodes);
	f->nodes = g_memdup2(nodes, n * sizeof(*nodes));
	f->node_count = n;
	g_mutex_unlock(&f->lock);
}

void crash_causes_set_claims(struct crash_causes *f,
			     const struct trial_claims *claims, void *ctx)
{
	g_mutex_lock(&f->lock);
	f->claims = claims;
	f->claims_ctx = ctx;
	g_mutex_unlock(&f->lock);
}

static const struct block_rule *rule_of(const struct cause_record *r)
{
	return r->whole ? &whole_rule : &part_rule;
}

void crash_causes_set_rounds(struct crash_causes *f, unsigned rounds,
			     bool forward)
{
	g_mutex_lock(&f->lock);
	f->rounds = rounds;
	f->forward = forward;
	g_mutex_unlock(&f->lock);
}

static void queue_update(struct crash_causes *f, struct cause *p)
{
	p->rounds_left = f->rounds;
	f->has_updates = true;
}

uint64_t crash_causes_changes(struct crash_causes *f)
{
	uint64_t n;

	g_mutex_lock(&f->lock);
	n = f->changes;
	g_mutex_unlock(&f->lock);
	return n;
}

static void report(struct crash_causes *f, const struct cause *p,
		   enum cause_change change, const char *why)
{
	struct cause_news news = {
		.r = &p->r,
		.change = change,
		.why = why,
		.sound_count = p->sound_count,
		.trials = p->trials.count,
	};

	f->changes += change != CAUSE_TRIED;
	if (f->changed)
		f->changed(f->ctx, &news);
}

/* Stop refusing requests with the key. */
static void free_cause(struct crash_causes *f, struct cause *p, const char *why)
{
	size_t i = 0;

	if (!p->r.blocked)
		return;
	while (f->blocked[i] != p)
		i++;
	f->blocked[i] = f->blocked[--f->blocked_count];
	atomic_store(&f->blocks, f->blocked_count);
	p->r.blocked = false;
	report(f, p, CAUSE_FREED, why);
	p->trials = (struct crash_trials){0};
}

static void free_longest_idle(struct crash_causes *f)
{
	struct cause *p = f->blocked[0];

	for (size_t i = 1; i < f->blocked_count; i++)
		if (f->blocked[i]->r.asked_ms < p->r.asked_ms)
			p = f->blocked[i];
	free_cause(f, p, "too_many");
}

static void block_cause(struct crash_causes *f, struct cause *p,
			const char *why)
{
	if (p->r.blocked)
		return;
	if (f->blocked_count == BLOCKED_MAX)
		free_longest_idle(f);
	f->blocked[f->blocked_count++] = p;
	atomic_store(&f->blocks, f->blocked_count);
	p->r.blocked = true;
	p->qualified_ms = 0;
	report(f, p, CAUSE_BLOCKED, why);
}

/* Forget the key that was not used for the longest time. */
static void evict(struct crash_causes *f)
{
	GList *l = f->used.tail;
	struct cause *p;

	while (l && ((struct cause *)l->data)->r.blocked)
		l = l->prev;
	if (!l)
		return;
	p = l->data;
	f->suspected -= p->r.crash_count > 0;
	g_queue_unlink(&f->used, l);
	g_hash_table_remove(f->causes, &p->r.key);
}

static struct cause *find_cause(struct crash_causes *f, uint64_t id)
{
	return g_hash_table_lookup(f->causes, &id);
}

/* Return the key's record, which is new if none is known; mark it as used. */
static struct cause *use_cause(struct crash_causes *f, uint64_t id, bool whole)
{
	struct cause *p = find_cause(f, id);
	struct sound_run sound;

	if (p) {
		g_queue_unlink(&f->used, &p->link);
	} else {
		if (g_hash_table_size(f->causes) >= CAUSES_MAX)
			evict(f);
		sound = sound_runs_get(f->sound, id);
		p = g_new0(struct cause, 1);
		p->r.key = id;
		p->r.whole = whole;
		p->r.began_ms = sound.last_ms;
		p->sound_count = sound.count;
		p->link.data = p;
		g_hash_table_insert(f->causes, &p->r.key, p);
	}
	g_queue_push_head_link(&f->used, &p->link);
	return p;
}

/* Remove the crashes for which drop returns true; return whether any was. */
static bool drop_crashes(struct crash_causes *f, struct cause *p,
			 bool (*drop)(const struct cause_crash *c,
				      const void *ctx),
			 const void *ctx)
{
	struct cause_record *r = &p->r;
	uint32_t kept = 0, before = r->crash_count;

	for (uint32_t i = 0; i < before; i++)
		if (!drop(&r->crashes[i], ctx))
			r->crashes[kept++] = r->crashes[i];
	r->crash_count = kept;
	f->suspected -= before && !kept;
	return kept < before;
}

static bool is_not_later(const struct cause_crash *c, const void *at_ms)
{
	return c->at_ms <= *(const int64_t *)at_ms;
}

static bool is_of_cause(const struct cause_crash *c, const void *cause)
{
	return crash_evidence_has(&((const struct cause *)cause)->r, c->target);
}

/*
 * Whether a blocked part other than p's key accounts for the target's crash. A
 * blocked request doesn't: it may itself be one that was there by chance, and
 * others may have the parts of its prompt as well; see count_attempts.
 */
static bool is_explained(const struct crash_causes *f, const struct cause *p,
			 uint32_t target)
{
	for (size_t i = 0; i < f->blocked_count; i++)
		if (f->blocked[i] != p && !f->blocked[i]->r.whole &&
		    crash_evidence_has(&f->blocked[i]->r, target))
			return true;
	return false;
}

/* Return the blocked request under which the target crashed; 0: none. */
static uint64_t blocked_request(const struct crash_causes *f, uint32_t target)
{
	for (size_t i = 0; i < f->blocked_count; i++)
		if (f->blocked[i]->r.whole &&
		    crash_evidence_has(&f->blocked[i]->r, target))
			return f->blocked[i]->r.key;
	return 0;
}

/* Keys with a single crash are not sent again, nor saved. */
static bool is_suspect(const struct cause *p)
{
	return p->r.blocked || p->r.crash_count > 1;
}

/* Add a crash in its order of time; return whether it was new. */
static bool add_crash(struct crash_causes *f, struct cause *p,
		      struct cause_crash c)
{
	struct cause_record *r = &p->r;
	bool first = !r->crash_count;

	if (!recent_crashes_add(&f->recent, &c) || c.at_ms <= r->began_ms ||
	    crash_evidence_has(r, c.target) || is_explained(f, p, c.target))
		return false;
	if (!crash_evidence_add(r, &c))
		return false;
	f->suspected += first;
	p->runs_at_crash = f->sound_runs;
	f->changes += is_suspect(p);
	return true;
}

/*
 * Count the attempts that differ in the key's crashes. All crashes of a blocked
 * request are of one, whichever request was recorded there.
 */
static size_t count_attempts(const struct crash_causes *f,
			     const struct cause_record *r)
{
	uint64_t v[CAUSE_CRASHES_MAX];
	size_t n = 0;

	for (uint32_t i = 0; i < r->crash_count; i++) {
		size_t k = 0;

		v[n] = r->whole ? 0 : blocked_request(f, r->crashes[i].target);
		if (!v[n])
			v[n] = r->crashes[i].attempt;
		while (k < n && v[k] != v[n])
			k++;
		n += k == n;
	}
	return n;
}

/* Whether enough targets have crashed for the key to be blocked by a node. */
static bool has_crashes(const struct crash_causes *f, const struct cause *p)
{
	const struct cause_record *r = &p->r;

	return crash_evidence_suffices(r, rule_of(r)->crashes,
				       f->sound_runs - p->runs_at_crash,
				       f->now_ms) &&
	       r->crashes[r->crash_count - 1].at_ms > p->freed_ms;
}

static bool qualifies(const struct crash_causes *f, const struct cause *p)
{
	const struct block_rule *rule = rule_of(&p->r);

	return has_crashes(f, p) &&
	       count_attempts(f, &p->r) >= rule->attempts &&
	       crash_evidence_moments(&p->r) >= rule->moments;
}

/*
 * Count the targets that crashed from the key's first crash to its last, less
 * those that blocked keys account for.
 */
static size_t count_targets(const struct crash_causes *f, const struct cause *p)
{
	int64_t first_ms = p->r.crashes[0].at_ms;
	int64_t last_ms = p->r.crashes[p->r.crash_count - 1].at_ms;
	size_t n = 0;

	for (size_t i = 0; i < RECENT_CRASHES_MAX; i++) {
		const struct recent_crash *c = &f->recent.v[i];

		n += recent_crash_counts(c) && c->at_ms >= first_ms &&
		     c->at_ms <= last_ms && !is_explained(f, p, c->target) &&
		     (crash_evidence_has(&p->r, c->target) ||
		      !blocked_request(f, c->target));
	}
	return n;
}

/* Whether the key's crashes are more than chance puts on a sound one. */
static bool stands_out(const struct crash_causes *f, const struct cause *p)
{
	return p->r.crash_count >= rule_of(&p->r)->crashes_among_many ||
	       (size_t)p->r.crash_count * CRASH_SHARE >= count_targets(f, p);
}

/* Take the crashes that the blocked key explains off all less likely ones. */
static void explain(struct crash_causes *f, struct cause *p)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, f->causes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct cause *other = v;

		if (other == p || !other->r.crash_count ||
		    (p->r.whole && !other->r.whole) ||
		    !crash_evidence_is_likelier(&p->r, &other->r) ||
		    !drop_crashes(f, other, is_of_cause, p))
			continue;
		if (!qualifies(f, other))
			free_cause(f, other, "explained");
	}
}

/* Whether a part of the prompt is blocked. */
static bool has_blocked_part(struct crash_causes *f, const struct cause_keys *k)
{
	for (size_t i = 0; i < k->n; i++) {
		struct cause *part = find_cause(f, k->parts[i]);

		if (part && part->r.blocked)
			return true;
	}
	return false;
}

static void record_crash(struct crash_causes *f, struct cause *p,
			 struct cause_crash c)
{
	if (!add_crash(f, p, c))
		return;
	queue_update(f, p);
	if (p->r.blocked && p->trials.count && c.at_ms > p->trials.at_ms)
		report(f, p, CAUSE_TRIED, "crashed");
}

void crash_causes_crashed(struct crash_causes *f, const struct cause_keys *k,
			  uint64_t target, int64_t now_ms)
{
	struct cause_crash c = {(uint32_t)target, (uint32_t)k->own, now_ms};
	struct cause *p;
	bool blocked;

	g_mutex_lock(&f->lock);
	/* A part that is blocked already accounts for the crash. */
	blocked = has_blocked_part(f, k);
	for (size_t i = 0; i < k->n; i++) {
		p = use_cause(f, k->parts[i], false);
		if (blocked && !p->r.blocked)
			continue;
		p->r.depth = (uint32_t)i;
		record_crash(f, p, c);
	}
	c.attempt = (uint32_t)k->attempt;
	if (k->whole && !blocked)
		record_crash(f, use_cause(f, k->whole, true), c);
	g_mutex_unlock(&f->lock);
}

/*
 * A response with the key began then, which clears it of earlier crashes. One
 * before its crashes may say that they don't suffice.
 */
static bool clear_cause(struct crash_causes *f, struct cause *p,
			int64_t began_ms)
{
	bool dropped;

	if (began_ms <= p->r.began_ms)
		return false;
	p->r.began_ms = began_ms;
	dropped = drop_crashes(f, p, is_not_later, &began_ms);
	f->changes += dropped;
	if (dropped ? !qualifies(f, p) : !has_crashes(f, p))
		free_cause(f, p, dropped ? "began" : "was_sound");
	return dropped;
}

void crash_causes_began(struct crash_causes *f, const struct cause_keys *k,
			int64_t began_ms)
{
	struct cause *p;

	g_mutex_lock(&f->lock);
	f->sound_runs++;
	for (size_t i = 0; i < k->n; i++) {
		p = use_cause(f, k->parts[i], false);
		p->sound_count++;
		if (clear_cause(f, p, began_ms))
			queue_update(f, p);
	}
	/* Most requests never come again: they are recorded once they crash. */
	p = find_cause(f, k->whole);
	if (p) {
		p->sound_count++;
		if (clear_cause(f, p, began_ms))
			queue_update(f, p);
	}
	if (k->whole)
		sound_runs_add(f->sound, k->whole, began_ms);
	g_mutex_unlock(&f->lock);
}

static bool is_of_target(const struct cause_crash *c, const void *r)
{
	const struct recent_crash *alive = r;

	return c->target == alive->target && c->at_ms <= alive->alive_ms;
}

/* Take the crashes that a target has not had off all keys. */
static void retract(struct crash_causes *f, const struct recent_crash *r)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, f->causes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct cause *p = v;

		if (!p->r.crash_count || !drop_crashes(f, p, is_of_target, r))
			continue;
		f->changes++;
		if (!qualifies(f, p))
			free_cause(f, p, "target_lives");
	}
}

void crash_causes_alive(struct crash_causes *f, uint64_t target,
			int64_t alive_ms)
{
	const struct recent_crash *r;

	g_mutex_lock(&f->lock);
	r = recent_crashes_alive(&f->recent, (uint32_t)target, alive_ms);
	if (r)
		retract(f, r);
	g_mutex_unlock(&f->lock);
}

/* Whether this node is to let a request with the blocked key through. */
static bool is_trial_due(const struct crash_causes *f, const struct cause *p,
			 int64_t now_ms)
{
	struct crash_trial_view v = {.allow = rule_of(&p->r)->allowed};

	if (!f->node_count)
		return false;
	v.rank = rendezvous_count_before(p->r.key, f->self, f->nodes,
					 f->node_count);
	v.last_crash_ms = recent_crashes_last_ms(&f->recent);
	for (uint32_t i = 0; i < p->r.crash_count; i++)
		v.common[i] =
			recent_crashes_at(&f->recent, p->r.crashes[i].at_ms) >=
			COMMON_CRASHES;
	return crash_trials_due(&p->trials, &p->r, &v, now_ms) &&
	       !(f->claims &&
		 f->claims->is_held(f->claims_ctx, p->r.key, now_ms));
}

static void begin_trial(struct crash_causes *f, struct cause *p, int64_t now_ms)
{
	int64_t hold_ms = crash_trials_begin(&p->trials, &p->r, now_ms);

	if (f->claims)
		f->claims->hold(f->claims_ctx, p->r.key, hold_ms, now_ms);
	report(f, p, CAUSE_TRIED, "sent");
}

static struct cause *find_blocked(struct crash_causes *f, uint64_t key)
{
	struct cause *p = find_cause(f, key);

	return p && p->r.blocked ? p : NULL;
}

/* Count a request that came with a blocked key, and may be a trial of it. */
static void count_blocked(struct crash_causes *f, uint64_t key, bool trial,
			  int64_t now_ms)
{
	struct cause *p = find_blocked(f, key);

	if (!p)
		return;
	p->r.asked_ms = now_ms;
	if (trial)
		begin_trial(f, p, now_ms);
}

/* count: the request counts as one that came; else it is a question. */
static enum cause_block find_block(struct crash_causes *f,
				   const struct cause_keys *k, bool count,
				   int64_t now_ms)
{
	enum cause_block block = CAUSE_NONE;
	bool trial = true;
	struct cause *p;

	if (!atomic_load(&f->blocks))
		return CAUSE_NONE;
	g_mutex_lock(&f->lock);
	p = find_blocked(f, k->whole);
	if (p) {
		block = CAUSE_REQUEST;
		trial = is_trial_due(f, p, now_ms);
	}
	for (size_t i = 0; i < k->n; i++) {
		p = find_blocked(f, k->parts[i]);
		if (!p)
			continue;
		block = CAUSE_PART;
		trial = trial && is_trial_due(f, p, now_ms);
	}
	trial = trial && block != CAUSE_NONE;
	if (count && block != CAUSE_NONE) {
		count_blocked(f, k->whole, trial, now_ms);
		for (size_t i = 0; i < k->n; i++)
			count_blocked(f, k->parts[i], trial, now_ms);
	}
	g_mutex_unlock(&f->lock);
	return trial ? CAUSE_NONE : block;
}

enum cause_block crash_causes_block(struct crash_causes *f,
				    const struct cause_keys *k, int64_t now_ms)
{
	return find_block(f, k, true, now_ms);
}

enum cause_block crash_causes_block_now(struct crash_causes *f,
					const struct cause_keys *k,
					int64_t now_ms)
{
	return find_block(f, k, false, now_ms);
}

bool crash_causes_suspect(struct crash_causes *f, const struct cause_keys *k)
{
	const struct cause *p;
	bool suspect;

	g_mutex_lock(&f->lock);
	p = find_cause(f, k->whole);
	suspect = p && p->r.crash_count >= SUSPECT_CRASHES;
	g_mutex_unlock(&f->lock);
	return suspect;
}

/* Return the likeliest of the keys that have qualified for SETTLE_MS. */
static struct cause *next_to_block(struct crash_causes *f, int64_t now_ms)
{
	struct cause *best = NULL;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, f->causes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct cause *p = v;

		if (!p->r.crash_count || p->r.blocked)
			continue;
		if (!qualifies(f, p) || !stands_out(f, p)) {
			p->qualified_ms = 0;
			continue;
		}
		if (!p->qualified_ms)
			p->qualified_ms = now_ms;
		if (now_ms - p->qualified_ms >= SETTLE_MS &&
		    (!best || crash_evidence_is_likelier(&p->r, &best->r)))
			best = p;
	}
	return best;
}

static void expire(struct crash_causes *f, int64_t now_ms)
{
	int64_t oldest_ms = now_ms - CRASH_TTL_MS;
	GHashTableIter it;
	gpointer v;

	for (size_t i = f->blocked_count; i-- > 0;) {
		struct cause *p = f->blocked[i];

		if (now_ms - p->r.asked_ms < CAUSE_BLOCK_IDLE_MS)
			continue;
		p->freed_ms = now_ms;
		free_cause(f, p, "idle");
	}
	g_hash_table_iter_init(&it, f->causes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct cause *p = v;

		/* Those of a key that was blocked lately are kept. */
		if (p->r.crash_count && p->r.asked_ms <= oldest_ms)
			drop_crashes(f, p, is_not_later, &oldest_ms);
	}
}

void crash_causes_decide(struct crash_causes *f, int64_t now_ms)
{
	struct cause *p;

	g_mutex_lock(&f->lock);
	f->now_ms = MAX(f->now_ms, now_ms);
	if (f->suspected) {
		expire(f, now_ms);
		while ((p = next_to_block(f, now_ms))) {
			p->r.asked_ms = now_ms;
			block_cause(f, p, "crashes");
			queue_update(f, p);
			explain(f, p);
		}
	}
	g_mutex_unlock(&f->lock);
}

/* Blocked keys first, then by their crashes. */
static int compare(const void *a, const void *b)
{
	const struct cause_record *x = &(*(struct cause *const *)a)->r;
	const struct cause_record *y = &(*(struct cause *const *)b)->r;

	if (x->blocked != y->blocked)
		return x->blocked ? -1 : 1;
	return (int)y->crash_count - (int)x->crash_count;
}

/*
 * Copy the first causes of an array, which is freed, and sort it before.
 * update: they are sent to the nodes that lack them, which counts.
 */
static size_t copy_first(GPtrArray *causes, bool update,
			 struct cause_record *out, size_t max)
{
	size_t n = MIN(causes->len, max);

	g_ptr_array_sort(causes, compare);
	for (size_t i = 0; i < n; i++) {
		struct cause *p = g_ptr_array_index(causes, i);

		out[i] = p->r;
		if (update)
			p->rounds_left--;
	}
	g_ptr_array_unref(causes);
	return n;
}

static bool is_update(const struct cause *p)
{
	return p->rounds_left > 0;
}

static size_t select_causes(struct crash_causes *f,
			    bool (*wanted)(const struct cause *p),
			    struct cause_record *out, size_t max)
{
	GPtrArray *causes = g_ptr_array_new();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, f->causes);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (wanted(v))
			g_ptr_array_add(causes, v);
	return copy_first(causes, wanted == is_update, out, max);
}

size_t crash_causes_take_updates(struct crash_causes *f,
				 struct cause_record *out, size_t max)
{
	size_t n = 0;

	g_mutex_lock(&f->lock);
	if (f->has_updates)
		n = select_causes(f, is_update, out, max);
	f->has_updates = n > 0;
	g_mutex_unlock(&f->lock);
	return n;
}

size_t crash_causes_list(struct crash_causes *f, struct cause_record *out,
			 size_t max)
{
	size_t n = 0;

	g_mutex_lock(&f->lock);
	if (f->suspected)
		n = select_causes(f, is_suspect, out, max);
	g_mutex_unlock(&f->lock);
	return n;
}

/* Merge the record into the cause; return whether that changed it. */
static bool merge(struct crash_causes *f, struct cause *p,
		  const struct cause_record *r, int64_t now_ms)
{
	bool changed = clear_cause(f, p, r->began_ms);
	bool blocks = r->blocked && now_ms - r->asked_ms < CAUSE_BLOCK_IDLE_MS;

	p->r.asked_ms = MAX(p->r.asked_ms, r->asked_ms);
	if (!p->r.crash_count)
		p->r.depth = r->depth;
	for (uint32_t i = 0; i < r->crash_count; i++)
		changed |= add_crash(f, p, r->crashes[i]);
	/* Which of a target's requests it recorded differs between nodes. */
	if (!blocks || p->r.blocked || !has_crashes(f, p))
		return changed;
	block_cause(f, p, "other_node");
	explain(f, p);
	return true;
}

/* Whether this node knows of a later response with the key. */
static bool knows_more(const struct cause *p, const struct cause_record *r)
{
	return p->r.began_ms > r->began_ms &&
	       (!r->began_ms || r->crashes[0].at_ms <= p->r.began_ms);
}

void crash_causes_receive(struct crash_causes *f, const struct cause_record *r,
			  int64_t now_ms)
{
	struct cause *p;

	g_mutex_lock(&f->lock);
	p = use_cause(f, r->key, r->whole);
	if (r->crash_count && knows_more(p, r))
		queue_update(f, p);
	if (merge(f, p, r, now_ms) && f->forward)
		queue_update(f, p);
	g_mutex_unlock(&f->lock);
}
