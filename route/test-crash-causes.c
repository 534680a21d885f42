/*
 * Parts of prompts that crash targets, in a fleet whose nodes exchange their
 * records by messages that may be lost. Time is simulated.
 */
#include <string.h>

#include "route/crash-causes.h"

#define TICK_MS      50
#define REMIND_TICKS 6
#define FANOUT       4
#define DIRECT_MAX   24
#define PER_MESSAGE  7
#define CONTACT_MS   3000
/* Time from a request's arrival to the crash or to the first event. */
#define TARGET_MS 120
/* Requests that may reach targets once the fleet has to know the part. */
#define REQUESTS_AFTER 3

#define FIRST   0xf1ull /* part of all prompts */
#define SECOND  0xf2ull /* always comes with BAD, at times without */
#define BAD     0xbadull
#define BAD2    0xbad2ull
#define REQUEST 0x100000000ull /* keys of requests are above */

struct fleet;

/* Of which keys a node knows that another tries them, and until when. */
struct node_claims {
	struct fleet *f;
	size_t node;
	GHashTable *until_ms; /* key -> int64_t */
};

struct fleet {
	struct crash_causes **nodes;
	struct node_claims *claims;
	bool *cut; /* the node's messages are lost */
	size_t n;
	double loss;
	int64_t now_ms;
	int ticks;
	uint64_t next_target, next_request;
	int64_t crash_ms[64]; /* of the first ones */
	size_t crashes;
	int late;    /* bad requests that reached targets too late */
	int trials;  /* requests with a blocked key that were let through */
	int refused; /* sound requests that were refused */
};

/* Nodes learn of a claim at once, unless the message is lost. */
static void hold(void *ctx, uint64_t key, int64_t hold_ms, int64_t now_ms)
{
	struct node_claims *c = ctx;
	struct fleet *f = c->f;
	int64_t until_ms = now_ms + hold_ms;

	f->trials++;
	for (size_t i = 0; i < f->n; i++) {
		if (i != c->node && (f->cut[i] || f->cut[c->node] ||
				     g_random_double() < f->loss))
			continue;
		g_hash_table_insert(f->claims[i].until_ms,
				    g_memdup2(&key, sizeof(key)),
				    g_memdup2(&until_ms, sizeof(until_ms)));
	}
}

static bool is_held(void *ctx, uint64_t key, int64_t now_ms)
{
	struct node_claims *c = ctx;
	int64_t *until_ms = g_hash_table_lookup(c->until_ms, &key);

	return until_ms && *until_ms > now_ms;
}

static const struct trial_claims claims = {hold, is_held};

static struct fleet *fleet_new(size_t n)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->n = n;
	f->now_ms = 1000000;
	f->nodes = g_new0(struct crash_causes *, n);
	f->cut = g_new0(bool, n);
	f->claims = g_new0(struct node_claims, n);
	for (size_t i = 0; i < n; i++) {
		f->nodes[i] = crash_causes_new(NULL, NULL);
		crash_causes_set_rounds(f->nodes[i], n > DIRECT_MAX ? 3 : 2,
					n > DIRECT_MAX);
		f->claims[i] = (struct node_claims){
			f, i,
			g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free)};
		crash_causes_set_claims(f->nodes[i], &claims, &f->claims[i]);
	}
	return f;
}

static void fleet_free(struct fleet *f)
{
	for (size_t i = 0; i < f->n; i++) {
		crash_causes_free(f->nodes[i]);
		g_hash_table_unref(f->claims[i].until_ms);
	}
	g_free(f->nodes);
	g_free(f->claims);
	g_free(f->cut);
	g_free(f);
}

static void deliver(struct fleet *f, size_t from, size_t to,
		    const struct cause_record *v, size_t n)
{
	if (from == to || f->cut[from] || f->cut[to] ||
	    g_random_double() < f->loss)
		return;
	for (size_t i = 0; i < n; i++)
		crash_causes_receive(f->nodes[to], &v[i], f->now_ms);
}

static void send_records(struct fleet *f, size_t from, bool all,
			 const struct cause_record *v, size_t n)
{
	for (size_t k = 0; n && k < (all ? f->n : FANOUT); k++)
		deliver(f, from,
			all ? k : (size_t)g_random_int_range(0, (gint32)f->n),
			v, n);
}

static void tick(struct fleet *f)
{
	struct cause_record v[PER_MESSAGE];

	f->now_ms += TICK_MS;
	f->ticks++;
	for (size_t i = 0; i < f->n; i++) {
		crash_causes_decide(f->nodes[i], f->now_ms);
		send_records(
			f, i, f->n <= DIRECT_MAX, v,
			crash_causes_take_updates(f->nodes[i], v, PER_MESSAGE));
		if ((f->ticks + (int)i) % REMIND_TICKS == 0)
			send_records(
				f, i, false, v,
				crash_causes_list(f->nodes[i], v, PER_MESSAGE));
	}
}

static void run_for(struct fleet *f, int64_t ms)
{
	for (int64_t t = 0; t < ms; t += TICK_MS)
		tick(f);
}

static bool blocks(struct fleet *f, size_t node, uint64_t part)
{
	struct cause_keys k = {.parts = &part, .n = 1};

	return crash_causes_block(f->nodes[node], &k, f->now_ms) != CAUSE_NONE;
}

static size_t count_blocking(struct fleet *f, uint64_t part)
{
	size_t n = 0;

	for (size_t i = 0; i < f->n; i++)
		n += blocks(f, i, part);
	return n;
}

static void note_crash(struct fleet *f)
{
	if (f->crashes < G_N_ELEMENTS(f->crash_ms))
		f->crash_ms[f->crashes] = f->now_ms;
	f->crashes++;
}

/* The keys of a request that never comes again. */
static struct cause_keys keys_of(struct fleet *f, const uint64_t *parts,
				 size_t n)
{
	uint64_t request = ++f->next_request;

	return (struct cause_keys){parts, n, request, REQUEST + request,
				   request};
}

/* A request that crashes its target, and is repeated once at another. */
static void call_bad(struct fleet *f, size_t node, const uint64_t *parts,
		     size_t n)
{
	struct cause_keys k = keys_of(f, parts, n);

	for (int i = 0; i < 2; i++) {
		if (crash_causes_block(f->nodes[node], &k, f->now_ms))
			return;
		f->late += f->crashes >= 5 &&
			   f->now_ms > f->crash_ms[4] + CONTACT_MS;
		run_for(f, TARGET_MS);
		crash_causes_crashed(f->nodes[node], &k, ++f->next_target,
				     f->now_ms);
		note_crash(f);
	}
}

static void call_sound(struct fleet *f, size_t node, const uint64_t *parts,
		       size_t n)
{
	struct cause_keys k = keys_of(f, parts, n);

	if (crash_causes_block(f->nodes[node], &k, f->now_ms)) {
		f->refused++;
		return;
	}
	crash_causes_began(f->nodes[node], &k, f->now_ms);
}

static size_t any_node(struct fleet *f)
{
	return (size_t)g_random_int_range(0, (gint32)f->n);
}

/*
 * Seconds of a day: bad requests per second, beside sound ones of which all
 * have FIRST and one in ten SECOND.
 */
static void play(struct fleet *f, int seconds, int bad_per_s)
{
	static const uint64_t bad[] = {FIRST, SECOND, BAD};

	for (int s = 0; s < seconds; s++) {
		int64_t end_ms = f->now_ms + 1000;

		for (int i = 0; i < 20; i++) {
			uint64_t sound[] = {FIRST, SECOND};

			call_sound(f, any_node(f), sound, i % 10 ? 1 : 2);
		}
		for (int i = 0; i < bad_per_s; i++)
			call_bad(f, any_node(f), bad, 3);
		while (f->now_ms < end_ms)
			tick(f);
	}
}

/* Crashes of which no node has seen two are not related to each other. */
static void test_pieces_at_many_nodes(void)
{
	static const size_t sizes[] = {1, 6, 24, 73, 370};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet *f = fleet_new(sizes[i]);

		f->loss = 0.05;
		play(f, 20, 1);
		g_assert_cmpuint(f->crashes, >=, 4);
		g_assert_cmpint(f->late, <=, REQUESTS_AFTER);
		g_assert_cmpuint(count_blocking(f, BAD), ==, f->n);
		g_assert_cmpuint(count_blocking(f, SECOND), ==, 0);
		g_assert_cmpuint(count_blocking(f, FIRST), ==, 0);
		g_assert_cmpint(f->refused, ==, 0);
		fleet_free(f);
	}
}

/* Of two parts that crash targets at the same time only one is found. */
static void test_two_parts(void)
{
	struct fleet *f = fleet_new(6);

	for (int i = 0; i < 12; i++) {
		uint64_t bad[] = {FIRST, i % 2 ? BAD : BAD2};
		uint64_t sound[] = {FIRST, SECOND};

		call_sound(f, any_node(f), sound, 2);
		call_bad(f, any_node(f), bad, 2);
		run_for(f, 200);
	}
	g_assert_cmpuint(count_blocking(f, BAD), ==, f->n);
	g_assert_cmpuint(count_blocking(f, BAD2), ==, f->n);
	g_assert_cmpuint(count_blocking(f, FIRST), ==, 0);
	fleet_free(f);
}

/* A part that was sound for long and then crashes targets is never blocked. */
static void test_part_turns_bad(void)
{
	struct fleet *f = fleet_new(6);
	static const uint64_t parts[] = {FIRST, SECOND, BAD};

	for (int i = 0; i < 50; i++) {
		call_sound(f, any_node(f), parts, 3);
		run_for(f, 100);
	}
	play(f, 10, 1);
	g_assert_cmpuint(count_blocking(f, BAD), ==, f->n);
	g_assert_cmpuint(count_blocking(f, SECOND), ==, 0);
	g_assert_cmpint(f->refused, ==, 0);
	fleet_free(f);
}

/* Parts that always come together are both blocked, or the general one is. */
static void test_always_together(void)
{
	struct fleet *f = fleet_new(6);
	static const uint64_t bad[] = {SECOND, BAD};

	for (int i = 0; i < 8; i++)
		call_bad(f, any_node(f), bad, 2);
	run_for(f, 1000);
	g_assert_cmpuint(count_blocking(f, BAD), ==, f->n);
	g_assert_cmpuint(count_blocking(f, SECOND), ==, 0);
	fleet_free(f);
}

/* Many targets that crash at once make a frequent part look bad. */
static void test_many_targets_crash_at_once(void)
{
	struct fleet *f = fleet_new(6);

	for (int round = 0; round < 2; round++) {
		for (int i = 0; i < 30; i++) {
			uint64_t parts[] = {FIRST, 1000 + (uint64_t)(i % 4)};
			struct cause_keys k = keys_of(f, parts, 2);

			crash_causes_crashed(f->nodes[any_node(f)], &k,
					     ++f->next_target, f->now_ms);
		}
		run_for(f, 4000);
	}
	g_assert_cmpuint(count_blocking(f, FIRST), ==, 0);
	for (uint64_t part = 1000; part < 1004; part++)
		g_assert_cmpuint(count_blocking(f, part), ==, 0);
	fleet_free(f);
}

/* A sound part that breaks off at times, as all do, is blocked. */
static void test_other_causes(void)
{
	struct fleet *f = fleet_new(6);

	for (int i = 0; i < 20000; i++) {
		uint64_t parts[] = {FIRST, 1000 + (uint64_t)(i % 50)};
		struct cause_keys k = keys_of(f, parts, 2);
		size_t node = any_node(f);

		if (g_random_double() < 0.05)
			crash_causes_crashed(f->nodes[node], &k,
					     ++f->next_target, f->now_ms);
		else
			call_sound(f, node, parts, 2);
		if (i % 5 == 0)
			tick(f);
	}
	g_assert_cmpint(f->refused, ==, 0);
	fleet_free(f);
}

/* A part is let through while requests with it still come. */
static void test_blocked_while_it_comes(void)
{
	struct fleet *f = fleet_new(6);
	static const uint64_t bad[] = {FIRST, BAD};

	play(f, 8, 1);
	for (int i = 0; i < 20; i++) {
		run_for(f, CAUSE_BLOCK_IDLE_MS / 2);
		g_assert_true(blocks(f, (size_t)i % f->n, BAD));
	}
	/* One node's requests count for all. */
	run_for(f, CAUSE_BLOCK_IDLE_MS - 5000);
	g_assert_true(blocks(f, 0, BAD));
	run_for(f, CAUSE_BLOCK_IDLE_MS - 5000);
	g_assert_cmpuint(count_blocking(f, BAD), ==, f->n);
	run_for(f, CAUSE_BLOCK_IDLE_MS + 5000);
	g_assert_cmpuint(count_blocking(f, BAD), ==, 0);
	/* It has crashed targets before, so once more is enough. */
	f->crashes = 0;
	call_bad(f, 1, bad, 2);
	run_for(f, 1000);
	g_assert_cmpuint(f->crashes, <=, 2);
	g_assert_cmpuint(count_blocking(f, BAD), ==, f->n);
	fleet_free(f);
}

/* A response that begins with a blocked part leaves it blocked. */
static void test_begin_frees(void)
{
	struct fleet *f = fleet_new(6);
	static const uint64_t parts[] = {FIRST, SECOND, BAD};
	struct cause_keys k;

	play(f, 8, 1);
	g_assert_cmpuint(count_blocking(f, BAD), ==, f->n);
	k = keys_of(f, parts, 3);
	crash_causes_began(f->nodes[3], &k, f->now_ms);
	run_for(f, 2000);
	g_assert_cmpuint(count_blocking(f, BAD), ==, 0);
	fleet_free(f);
}

/* A node that was cut off, or has just started, lets the part through. */
static void test_cut_and_new_nodes(void)
{
	static const size_t sizes[] = {6, 370};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet *f = fleet_new(sizes[i]);

		f->cut[1] = true;
		play(f, 10, 1);
		crash_causes_free(f->nodes[2]);
		f->nodes[2] = crash_causes_new(NULL, NULL);
		f->cut[1] = false;
		run_for(f, CONTACT_MS);
		g_assert_true(blocks(f, 1, BAD));
		g_assert_true(blocks(f, 2, BAD));
		fleet_free(f);
	}
}

/* Parts without number push a blocked one out of memory. */
static void test_memory_bounded(void)
{
	struct fleet *f = fleet_new(1);

	play(f, 8, 1);
	for (uint64_t i = 0; i < 100000; i++) {
		uint64_t parts[] = {FIRST, i * 2654435761u};
		struct cause_keys k = {parts, 2, i, REQUEST + i, i};

		if (i % 2)
			crash_causes_crashed(f->nodes[0], &k, i, f->now_ms);
		else
			crash_causes_began(f->nodes[0], &k, f->now_ms);
	}
	g_assert_true(blocks(f, 0, BAD));
	fleet_free(f);
}

/* Whether a node refuses a request that comes again. */
static bool refuses_again(struct fleet *f, size_t node, uint64_t whole)
{
	struct cause_keys k = {.whole = whole, .attempt = ++f->next_request};

	return crash_causes_block(f->nodes[node], &k, f->now_ms) ==
	       CAUSE_REQUEST;
}

/*
 * A request comes again and crashes its target; others, which never come again,
 * are at that target too. Return whether it was sent.
 */
static bool call_again(struct fleet *f, uint64_t whole, size_t bystanders)
{
	static const uint64_t parts[] = {FIRST, SECOND};
	size_t node = any_node(f);
	struct cause_keys k = {parts, 2, 7, whole, ++f->next_request};
	bool sent = false;

	for (int i = 0; i < 2; i++) {
		if (crash_causes_block(f->nodes[node], &k, f->now_ms) ||
		    (i && crash_causes_suspect(f->nodes[node], &k)))
			return sent;
		sent = true;
		run_for(f, TARGET_MS);
		f->next_target++;
		for (size_t b = 0; b < bystanders; b++) {
			struct cause_keys other = keys_of(f, parts, 2);

			crash_causes_crashed(f->nodes[any_node(f)], &other,
					     f->next_target, f->now_ms);
		}
		crash_causes_crashed(f->nodes[node], &k, f->next_target,
				     f->now_ms);
		f->crashes++;
	}
	return sent;
}

#define AGAIN (REQUEST + 0xa9a1)

/* A request that comes again, at any node, goes on to crash targets. */
static void test_request_again(void)
{
	static const size_t sizes[] = {1, 6, 24, 73, 370};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet *f = fleet_new(sizes[i]);

		f->loss = 0.05;
		for (int k = 0; k < 20; k++) {
			static const uint64_t sound[] = {FIRST, SECOND};

			call_again(f, AGAIN, 2);
			run_for(f, 500);
			call_sound(f, any_node(f), sound, 2);
		}
		/* Those that three allow, and some on the way to all nodes. */
		g_assert_cmpuint(f->crashes, <=, 5);
		for (size_t n = 0; n < f->n; n++)
			g_assert_true(refuses_again(f, n, AGAIN));
		g_assert_cmpuint(count_blocking(f, SECOND), ==, 0);
		g_assert_cmpuint(count_blocking(f, FIRST), ==, 0);
		g_assert_cmpint(f->refused, ==, 0);
		fleet_free(f);
	}
}

/* Requests that were at the targets which it crashed are refused as well. */
static void test_bystanders(void)
{
	struct fleet *f = fleet_new(6);
	uint64_t last;

	for (int k = 0; k < 10; k++) {
		call_again(f, AGAIN, 4);
		run_for(f, 1000);
	}
	g_assert_true(refuses_again(f, 0, AGAIN));
	last = f->next_request;
	for (uint64_t r = 1; r <= last; r++)
		g_assert_false(refuses_again(f, r % f->n, REQUEST + r));
	fleet_free(f);
}

/*
 * A sound request that was at the same targets, and is known first, hides the
 * one that crashes them.
 */
static void test_bystander_first(void)
{
	struct fleet *f = fleet_new(6);
	struct cause_keys bad = {.whole = AGAIN};
	struct cause_keys other = {.whole = AGAIN + 1};

	f->cut[1] = true;
	for (uint64_t t = 1; t <= 3; t++) {
		bad.attempt = other.attempt = t;
		crash_causes_crashed(f->nodes[0], &other, t, f->now_ms);
		crash_causes_crashed(f->nodes[1], &bad, t, f->now_ms);
		run_for(f, 1000);
	}
	f->cut[1] = false;
	run_for(f, CONTACT_MS);
	for (size_t i = 0; i < f->n; i++)
		g_assert_true(refuses_again(f, i, AGAIN));
	fleet_free(f);
}

/* The parts of a request that crashes targets by itself are refused. */
static void test_parts_of_request(void)
{
	static const uint64_t parts[] = {FIRST, SECOND};
	struct fleet *f = fleet_new(6);

	for (int k = 0; k < 10; k++) {
		call_again(f, AGAIN, 1);
		run_for(f, 1000);
	}
	g_assert_cmpuint(count_blocking(f, FIRST), ==, 0);
	g_assert_cmpuint(count_blocking(f, SECOND), ==, 0);
	call_sound(f, 1, parts, 2);
	g_assert_cmpint(f->refused, ==, 0);
	fleet_free(f);
}

/* A target that goes on after its connections broke counts as crashed. */
static void test_target_lives(void)
{
	struct fleet *f = fleet_new(6);
	struct cause_keys k = {.whole = AGAIN};
	uint64_t first = f->next_target + 1;

	for (int i = 0; i < 4; i++) {
		call_again(f, AGAIN, 0);
		run_for(f, 1000);
	}
	g_assert_true(refuses_again(f, 0, AGAIN));
	/* What was sent before is no sign of it, and one target not enough. */
	for (size_t n = 0; n < f->n; n++) {
		crash_causes_alive(f->nodes[n], first + 1, f->now_ms - 10000);
		g_assert_true(refuses_again(f, n, AGAIN));
		for (uint64_t t = first; t <= f->next_target; t++)
			crash_causes_alive(f->nodes[n], t, f->now_ms);
	}
	run_for(f, 2000);
	for (size_t n = 0; n < f->n; n++)
		g_assert_false(refuses_again(f, n, AGAIN));
	/* It counts again when it crashes later. */
	for (uint64_t t = first; t < first + 3; t++) {
		k.attempt++;
		crash_causes_crashed(f->nodes[0], &k, t, f->now_ms);
		run_for(f, 1000);
	}
	g_assert_true(refuses_again(f, 0, AGAIN));
	fleet_free(f);
}

/* A sound request that was blocked by chance is never served again. */
static void test_trial(void)
{
	struct fleet *f = fleet_new(6);
	struct cause_keys k = {.whole = AGAIN};
	int sent = 0;

	for (size_t i = 0; i < f->n; i++) {
		uint64_t ids[] = {11, 22, 33, 44, 55, 66};

		crash_causes_set_nodes(f->nodes[i], ids[i], ids, f->n);
	}
	for (int i = 0; i < 4; i++) {
		call_again(f, AGAIN, 0);
		run_for(f, 1000);
	}
	g_assert_true(refuses_again(f, 0, AGAIN));
	/* It comes all the time, and goes on to crash targets. */
	for (int s = 0; s < 400; s++) {
		k.attempt++;
		if (!crash_causes_block(f->nodes[s % 6], &k, f->now_ms)) {
			sent++;
			crash_causes_crashed(f->nodes[s % 6], &k,
					     ++f->next_target, f->now_ms);
		}
		run_for(f, 1000);
	}
	g_assert_cmpint(sent, >=, 1);
	g_assert_cmpint(sent, <=, REQUESTS_AFTER);
	/* By now it is sound. */
	for (int s = 0;
	     s < 2000 && crash_causes_block(f->nodes[s % 6], &k, f->now_ms);
	     s++)
		run_for(f, 1000);
	crash_causes_began(f->nodes[0], &k, f->now_ms);
	run_for(f, 2000);
	for (size_t i = 0; i < f->n; i++)
		g_assert_false(refuses_again(f, i, AGAIN));
	fleet_free(f);
}

/*
 * A question about a blocked request counts as the request: it prolongs the
 * block, or takes the trial that finds out whether the request is sound by now.
 */
static void test_block_now(void)
{
	struct fleet *f = fleet_new(1);
	struct cause_keys k = {.whole = AGAIN, .attempt = 1};
	uint64_t id = 11;
	int s;

	crash_causes_set_nodes(f->nodes[0], id, &id, 1);
	for (int i = 0; i < 4; i++) {
		call_again(f, AGAIN, 0);
		run_for(f, 1000);
	}
	g_assert_cmpint(crash_causes_block_now(f->nodes[0], &k, f->now_ms), ==,
			CAUSE_REQUEST);
	/* Requests that keep the block up, until a trial is due. */
	for (s = 0;
	     s < 400 && crash_causes_block_now(f->nodes[0], &k, f->now_ms);
	     s++) {
		g_assert_true(refuses_again(f, 0, AGAIN));
		run_for(f, 1000);
	}
	g_assert_cmpint(s, <, 400);
	for (int i = 0; i < 100; i++)
		g_assert_cmpint(
			crash_causes_block_now(f->nodes[0], &k, f->now_ms), ==,
			CAUSE_NONE);
	g_assert_false(refuses_again(f, 0, AGAIN));
	g_assert_cmpint(crash_causes_block_now(f->nodes[0], &k, f->now_ms), ==,
			CAUSE_REQUEST);
	/* From now on there are questions only. */
	for (s = 0; s < CAUSE_BLOCK_IDLE_MS / 1000 + 5; s++) {
		crash_causes_block_now(f->nodes[0], &k, f->now_ms);
		run_for(f, 1000);
	}
	g_assert_false(refuses_again(f, 0, AGAIN));
	fleet_free(f);
}

/* Listing what is suspected takes from what is sent to the other nodes. */
static void test_list_takes_no_updates(void)
{
	struct crash_causes *f = crash_causes_new(NULL, NULL);
	struct cause_keys k = {.whole = AGAIN, .attempt = 1};
	struct cause_record v[PER_MESSAGE];

	crash_causes_set_rounds(f, 2, false);
	crash_causes_crashed(f, &k, 1, 1000);
	crash_causes_crashed(f, &k, 2, 2000);
	for (int i = 0; i < 3; i++)
		g_assert_cmpuint(crash_causes_list(f, v, PER_MESSAGE), ==, 1);
	for (int i = 0; i < 2; i++)
		g_assert_cmpuint(crash_causes_take_updates(f, v, PER_MESSAGE),
				 ==, 1);
	g_assert_cmpuint(crash_causes_take_updates(f, v, PER_MESSAGE), ==, 0);
	crash_causes_free(f);
}

/*
 * A load on targets that crash, of which most requests are sound. Each request
 * runs for some time at one target before its response begins. A target that
 * crashes breaks all that are in progress there, and starts again under a new
 * id.
 */
struct storm {
	const char *name;
	size_t targets;
	size_t deadly;       /* number of different ones; see deadly_per_s */
	size_t killed;       /* at once; see kill_every_ms */
	double common_per_s; /* requests that are the same each time */
	double other_per_s;  /* that never come again */
	double deadly_per_s; /* the same each time; crash their target */
	int down_ms;
	int run_min_ms, run_max_ms; /* until a response begins */
	int kill_every_ms;          /* targets are killed from outside; 0: no */
	int kill_again_ms;          /* and as many once more so much later */
	int cut_every_ms; /* all connections of a node break at once; 0: no */
	int cut_again_ms; /* and those of a node once more so much later */
	int storm_ms;     /* crashes end then */
	int turns_deadly_ms; /* the common ones crash targets; 0: never */
	bool part; /* the common ones share a part, and are not alike */
};

#define STORM_RUNS_MAX 4096
#define STORM_TARGETS  64
#define COMMON         (REQUEST + 0xc0)
#define DEADLY         (REQUEST + 0xdead0)
/* Time after the end of a storm in which all sound requests are served. */
#define STORM_CALM_MS 12000

struct storm_run {
	size_t node, target;
	int64_t end_ms;
	struct cause_keys k;
	bool common, deadly, repeated;
};

struct storm_state {
	struct fleet *f;
	const struct storm *s;
	uint64_t ids[STORM_TARGETS];
	int64_t up_at_ms[STORM_TARGETS];
	struct storm_run runs[STORM_RUNS_MAX];
	size_t run_count;
	int64_t start_ms;
	/* Of the common requests. */
	int asked, refused, unserved_crashes;
	int64_t refused_since_ms, refused_longest_ms;
	/* Of the first deadly request, or the common one that turned so. */
	int64_t third_ms;
	int crashes, late;
};

static const uint64_t storm_parts[] = {FIRST, SECOND};

static bool storm_in_progress(const struct storm_state *z)
{
	return z->f->now_ms >= z->start_ms &&
	       z->f->now_ms < z->start_ms + z->s->storm_ms;
}

static bool has_turned(const struct storm_state *z)
{
	return z->s->turns_deadly_ms &&
	       z->f->now_ms >= z->start_ms + z->s->turns_deadly_ms;
}

/* Send a request to a target that is up; false if none is. */
static bool storm_send(struct storm_state *z, struct storm_run r)
{
	size_t up[STORM_TARGETS], n = 0;
	struct fleet *f = z->f;

	for (size_t i = 0; i < z->s->targets; i++)
		if (z->up_at_ms[i] <= f->now_ms)
			up[n++] = i;
	if (!n || z->run_count == STORM_RUNS_MAX)
		return false;
	r.target = up[g_random_int_range(0, (gint32)n)];
	r.end_ms = f->now_ms +
		   (r.deadly ? TARGET_MS
			     : g_random_int_range(z->s->run_min_ms,
						  z->s->run_max_ms + 1));
	z->runs[z->run_count++] = r;
	if (r.deadly && z->third_ms && f->now_ms > z->third_ms + CONTACT_MS &&
	    (r.k.whole == DEADLY || r.common))
		z->late++;
	return true;
}

static void note_refusal(struct storm_state *z, bool refused)
{
	z->asked++;
	z->refused += refused;
	if (!refused)
		z->refused_since_ms = 0;
	else if (!z->refused_since_ms)
		z->refused_since_ms = z->f->now_ms;
	else
		z->refused_longest_ms = MAX(z->refused_longest_ms,
					    z->f->now_ms - z->refused_since_ms);
}

static void storm_call(struct storm_state *z, bool common, uint64_t whole)
{
	struct fleet *f = z->f;
	struct storm_run r = {.node = any_node(f), .common = common};
	bool refused;

	r.k = (struct cause_keys){
		.own = ++f->next_request,
		.whole = whole ? whole : REQUEST * 16 + f->next_request,
		.attempt = f->next_request};
	if (common && z->s->part) {
		r.k.parts = storm_parts;
		r.k.n = 2;
		r.k.whole = REQUEST * 16 + f->next_request;
	}
	r.deadly = whole >= DEADLY || (common && has_turned(z));
	refused = crash_causes_block(f->nodes[r.node], &r.k, f->now_ms) !=
		  CAUSE_NONE;
	if (common)
		note_refusal(z, refused);
	if (!refused)
		storm_send(z, r);
}

/* The attempt broke as its target crashed; it is repeated once. */
static void storm_break(struct storm_state *z, struct storm_run r, uint64_t id)
{
	struct fleet *f = z->f;
	struct crash_causes *n = f->nodes[r.node];

	crash_causes_crashed(n, &r.k, id, f->now_ms);
	z->unserved_crashes += r.common;
	if (r.repeated || crash_causes_block(n, &r.k, f->now_ms) ||
	    crash_causes_suspect(n, &r.k))
		return;
	r.repeated = true;
	storm_send(z, r);
}

/* Break the requests at a target, or those of a node if it is not SIZE_MAX. */
static void storm_break_all(struct storm_state *z, size_t target, size_t node)
{
	struct storm_run broken[STORM_RUNS_MAX];
	uint64_t ids[STORM_TARGETS];
	size_t n = 0, kept = 0;

	memcpy(ids, z->ids, sizeof(ids));
	for (size_t i = 0; i < z->run_count; i++) {
		struct storm_run *r = &z->runs[i];

		if (node == SIZE_MAX ? r->target == target : r->node == node)
			broken[n++] = *r;
		else
			z->runs[kept++] = *r;
	}
	z->run_count = kept;
	if (node == SIZE_MAX) {
		z->up_at_ms[target] = z->f->now_ms + z->s->down_ms;
		z->ids[target] = ++z->f->next_target;
	}
	for (size_t i = 0; i < n; i++)
		storm_break(z, broken[i], ids[broken[i].target]);
}

static void storm_end_run(struct storm_state *z, size_t i)
{
	struct storm_run r = z->runs[i];
	bool counted = r.k.whole == DEADLY || r.common;

	if (r.deadly) {
		z->crashes += counted;
		if (counted && z->crashes == (z->s->part ? 5 : 3))
			z->third_ms = z->f->now_ms;
		storm_break_all(z, r.target, SIZE_MAX);
		return;
	}
	z->runs[i] = z->runs[--z->run_count];
	crash_causes_began(z->f->nodes[r.node], &r.k, z->f->now_ms);
}

/* Whether an event of a rate happens in this tick. */
static bool happens(double per_s)
{
	return g_random_double() < per_s * TICK_MS / 1000;
}

static bool is_every(const struct storm_state *z, int ms, int after_ms)
{
	return ms && storm_in_progress(z) &&
	       (z->f->now_ms - z->start_ms - after_ms) % ms < TICK_MS;
}

static void storm_tick(struct storm_state *z)
{
	const struct storm *s = z->s;
	bool kill;

	tick(z->f);
	for (size_t i = 0; i < z->run_count;)
		if (z->runs[i].end_ms <= z->f->now_ms) {
			storm_end_run(z, i);
			i = 0;
		} else {
			i++;
		}
	kill = is_every(z, s->kill_every_ms, 0) ||
	       (s->kill_again_ms &&
		is_every(z, s->kill_every_ms, s->kill_again_ms));
	for (size_t i = 0; kill && i < s->killed; i++)
		storm_break_all(
			z, (size_t)g_random_int_range(0, (gint32)s->targets),
			SIZE_MAX);
	if (is_every(z, s->cut_every_ms, 0) ||
	    is_every(z, s->cut_every_ms, s->cut_again_ms))
		storm_break_all(z, SIZE_MAX, any_node(z->f));
	if (happens(s->common_per_s))
		storm_call(z, true, COMMON);
	if (happens(s->other_per_s))
		storm_call(z, false, 0);
	for (size_t i = 0; storm_in_progress(z) && i < s->deadly; i++)
		if (happens(s->deadly_per_s))
			storm_call(z, false, DEADLY + i);
}

static struct storm_state *play_storm(const struct storm *s, size_t nodes)
{
	struct storm_state *z = g_new0(struct storm_state, 1);
	uint64_t *ids = g_new(uint64_t, nodes);

	z->f = fleet_new(nodes);
	z->f->loss = 0.05;
	z->s = s;
	for (size_t i = 0; i < nodes; i++)
		ids[i] = 11 * (i + 1);
	for (size_t i = 0; i < nodes; i++)
		crash_causes_set_nodes(z->f->nodes[i], ids[i], ids, nodes);
	g_free(ids);
	z->f->next_target = 100;
	for (size_t i = 0; i < s->targets; i++)
		z->ids[i] = i + 1;
	z->start_ms = z->f->now_ms + 5000;
	while (z->f->now_ms < z->start_ms + s->storm_ms + STORM_CALM_MS)
		storm_tick(z);
	return z;
}

static void storm_free(struct storm_state *z)
{
	fleet_free(z->f);
	g_free(z);
}

/* Longest time for which a sound request may be refused. */
#define REFUSED_MAX_MS 5000

static const struct storm storms[] = {
	{.name = "large-share",
	 .targets = 4,
	 .down_ms = 700,
	 .run_min_ms = 600,
	 .run_max_ms = 2500,
	 .common_per_s = 16,
	 .other_per_s = 3,
	 .deadly_per_s = 2,
	 .deadly = 3,
	 .storm_ms = 20000},
	{.name = "one-deadly",
	 .targets = 3,
	 .down_ms = 700,
	 .run_min_ms = 300,
	 .run_max_ms = 1500,
	 .common_per_s = 8,
	 .other_per_s = 15,
	 .deadly_per_s = 4,
	 .deadly = 1,
	 .storm_ms = 20000},
	{.name = "killed",
	 .targets = 3,
	 .down_ms = 700,
	 .run_min_ms = 200,
	 .run_max_ms = 1000,
	 .common_per_s = 12,
	 .other_per_s = 6,
	 .kill_every_ms = 350,
	 .killed = 1,
	 .storm_ms = 20000},
	{.name = "zone-lost",
	 .targets = 8,
	 .down_ms = 1500,
	 .run_min_ms = 700,
	 .run_max_ms = 1500,
	 .common_per_s = 4,
	 .other_per_s = 5,
	 .kill_every_ms = 3500,
	 .kill_again_ms = 300,
	 .killed = 16,
	 .storm_ms = 20000},
	{.name = "cut",
	 .targets = 6,
	 .down_ms = 700,
	 .run_min_ms = 600,
	 .run_max_ms = 2000,
	 .common_per_s = 8,
	 .other_per_s = 5,
	 .cut_every_ms = 4000,
	 .cut_again_ms = 500,
	 .storm_ms = 20000},
	{.name = "one-caller",
	 .targets = 4,
	 .down_ms = 1000,
	 .run_min_ms = 300,
	 .run_max_ms = 1200,
	 .common_per_s = 4,
	 .other_per_s = 15,
	 .deadly_per_s = 1,
	 .deadly = 3,
	 .kill_every_ms = 700,
	 .killed = 1,
	 .storm_ms = 20000},
	{.name = "part",
	 .targets = 3,
	 .down_ms = 700,
	 .run_min_ms = 300,
	 .run_max_ms = 1200,
	 .common_per_s = 8,
	 .other_per_s = 5,
	 .kill_every_ms = 350,
	 .killed = 1,
	 .storm_ms = 20000,
	 .part = true},
};

#define STORM_SEEDS 8

/*
 * A sound request that comes often is blocked for crashes that others cause,
 * and as it goes on coming it stays so.
 */
static void test_common_request(gconstpointer p)
{
	const struct storm *s = p;
	static const size_t sizes[] = {1, 6, 30};
	int late = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		int asked = 0, refused = 0;
		int64_t longest_ms = 0;

		for (guint32 seed = 1; seed <= STORM_SEEDS; seed++) {
			struct storm_state *z;

			g_random_set_seed(seed);
			z = play_storm(s, sizes[i]);
			asked += z->asked;
			refused += z->refused;
			longest_ms = MAX(longest_ms, z->refused_longest_ms);
			late = MAX(late, z->late);
			storm_free(z);
		}
		g_test_message("%s, %d nodes: %d of %d refused, longest %d ms, "
			       "%d late",
			       s->name, (int)sizes[i], refused, asked,
			       (int)longest_ms, late);
		g_assert_cmpint(longest_ms, <=, REFUSED_MAX_MS);
		g_assert_cmpint(refused, <=, asked / 20);
		g_assert_cmpint(late, <=, REQUESTS_AFTER);
	}
}

static const struct storm turns[] = {
	{.name = "often",
	 .targets = 9,
	 .down_ms = 2000,
	 .run_min_ms = 50,
	 .run_max_ms = 300,
	 .common_per_s = 15,
	 .other_per_s = 10,
	 .storm_ms = 1000000,
	 .turns_deadly_ms = 1000},
	{.name = "seldom",
	 .targets = 9,
	 .down_ms = 2000,
	 .run_min_ms = 50,
	 .run_max_ms = 300,
	 .common_per_s = 0.5,
	 .other_per_s = 10,
	 .storm_ms = 1000000,
	 .turns_deadly_ms = 1000},
	{.name = "part-often",
	 .targets = 9,
	 .down_ms = 2000,
	 .run_min_ms = 50,
	 .run_max_ms = 300,
	 .common_per_s = 15,
	 .other_per_s = 10,
	 .storm_ms = 1000000,
	 .turns_deadly_ms = 1000,
	 .part = true},
	{.name = "part-seldom",
	 .targets = 9,
	 .down_ms = 2000,
	 .run_min_ms = 50,
	 .run_max_ms = 300,
	 .common_per_s = 0.5,
	 .other_per_s = 10,
	 .storm_ms = 1000000,
	 .turns_deadly_ms = 1000,
	 .part = true},
};

/*
 * What was sound and then crashes targets costs more of them than the budget
 * allows, as it was sound before.
 */
static void test_turns_deadly(gconstpointer p)
{
	static const size_t sizes[] = {1, 6, 30, 100};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		int late = 0, crashes = 0;

		for (guint32 seed = 1; seed <= STORM_SEEDS; seed++) {
			struct storm s = *(const struct storm *)p;
			struct storm_state *z;

			g_random_set_seed(seed);
			s.storm_ms = 120000;
			z = play_storm(&s, sizes[i]);
			late = MAX(late, z->late);
			crashes = MAX(crashes, z->crashes);
			g_assert_cmpint(z->crashes, >=, s.part ? 4 : 3);
			storm_free(z);
		}
		g_test_message("%s, %d nodes: %d crashes, %d late",
			       ((const struct storm *)p)->name, (int)sizes[i],
			       crashes, late);
		g_assert_cmpint(late, <=, REQUESTS_AFTER);
	}
}

/* Set that all nodes know the first n of some ids, of which each has its own.
 */
static void set_views(struct fleet *f, size_t n)
{
	uint64_t *ids = g_new(uint64_t, n);

	for (size_t i = 0; i < n; i++)
		ids[i] = 11 * (i + 1);
	for (size_t i = 0; i < f->n; i++)
		crash_causes_set_nodes(f->nodes[i], ids[i], ids, n);
	g_free(ids);
}

/* Block a request that was sound shortly before, at all nodes. */
static struct cause_keys block_sound(struct fleet *f)
{
	struct cause_keys k = {.whole = COMMON};

	for (size_t i = 0; i < f->n; i++)
		crash_causes_began(f->nodes[i], &k, f->now_ms);
	for (int i = 0; i < 5; i++) {
		run_for(f, 500);
		k.attempt++;
		crash_causes_crashed(f->nodes[(size_t)i % f->n], &k,
				     ++f->next_target, f->now_ms);
	}
	run_for(f, 400);
	for (size_t i = 0; i < f->n; i++)
		g_assert_cmpint(
			crash_causes_block_now(f->nodes[i], &k, f->now_ms), ==,
			CAUSE_REQUEST);
	return k;
}

/*
 * A blocked request that comes at one node only stays blocked, as another node
 * is the one to try it, or that one is gone.
 */
static void test_trial_at_any_node(void)
{
	for (size_t node = 0; node < 6; node++) {
		/* Of the nodes that all know two are gone. */
		struct fleet *f = fleet_new(6);
		int64_t end_ms;
		struct cause_keys k;

		set_views(f, 8);
		k = block_sound(f);
		end_ms = f->now_ms + REFUSED_MAX_MS;
		while (crash_causes_block(f->nodes[node], &k, f->now_ms)) {
			run_for(f, 200);
			g_assert_cmpint(f->now_ms, <=, end_ms);
		}
		crash_causes_began(f->nodes[node], &k, f->now_ms);
		run_for(f, 1000);
		for (size_t i = 0; i < f->n; i++)
			g_assert_false(refuses_again(f, i, COMMON));
		fleet_free(f);
	}
}

/*
 * Nodes that don't see each other in the membership try a blocked request at
 * the same time, each of them.
 */
static void test_trial_views_differ(void)
{
	struct fleet *f = fleet_new(6);
	struct cause_keys k;
	uint64_t id;
	int sent = 0;

	set_views(f, 6);
	k = block_sound(f);
	/* Each takes itself for the only node, and so for the first one. */
	for (size_t i = 0; i < f->n; i++) {
		id = 11 * (i + 1);
		crash_causes_set_nodes(f->nodes[i], id, &id, 1);
	}
	for (size_t t = 0, i = 0; t < 600; t++, i = i + 1 < f->n ? i + 1 : 0) {
		k.attempt++;
		if (!crash_causes_block(f->nodes[i], &k, f->now_ms)) {
			sent++;
			crash_causes_crashed(f->nodes[i], &k, ++f->next_target,
					     f->now_ms);
		}
		run_for(f, 200);
	}
	g_assert_cmpint(sent, >=, 1);
	g_assert_cmpint(sent, <=, REQUESTS_AFTER);
	fleet_free(f);
}

/* A trial without a result lets no request through any more, or all. */
static void test_trial_without_result(void)
{
	struct fleet *f = fleet_new(6);
	struct cause_keys k;
	int sent = 0;

	set_views(f, 6);
	k = block_sound(f);
	for (int t = 0; t < 120 * 5; t++) {
		sent += !crash_causes_block(f->nodes[(size_t)t % f->n], &k,
					    f->now_ms);
		run_for(f, 200);
	}
	g_assert_cmpint(sent, >=, 3);
	g_assert_cmpint(sent, <=, 120 / 8);
	fleet_free(f);
}

/*
 * A node that never saw a request run soundly blocks it, and all others follow,
 * which know better.
 */
static void test_others_know_better(void)
{
	struct fleet *f = fleet_new(6);
	struct cause_keys k = {.whole = COMMON};

	f->cut[0] = true;
	for (size_t i = 1; i < f->n; i++)
		crash_causes_began(f->nodes[i], &k, f->now_ms);
	for (int i = 0; i < 3; i++) {
		run_for(f, 200);
		k.attempt++;
		crash_causes_crashed(f->nodes[0], &k, ++f->next_target,
				     f->now_ms);
	}
	run_for(f, 400);
	g_assert_true(refuses_again(f, 0, COMMON));
	f->cut[0] = false;
	run_for(f, 1000);
	for (size_t i = 0; i < f->n; i++)
		g_assert_false(refuses_again(f, i, COMMON));
	fleet_free(f);
}

/* A record that is full tells the crashes of trials no longer apart. */
static void test_full_record(void)
{
	struct fleet *f = fleet_new(2);
	struct cause_record v[1];
	struct cause_keys k = {.whole = COMMON};

	for (int i = 0; i < 30; i++) {
		k.attempt++;
		crash_causes_crashed(f->nodes[i % 2], &k, ++f->next_target,
				     f->now_ms + i);
	}
	for (int i = 1; i <= 4; i++) {
		k.attempt++;
		crash_causes_crashed(f->nodes[i % 2], &k, ++f->next_target,
				     f->now_ms + 2000 * i);
	}
	run_for(f, 2000);
	for (size_t n = 0; n < f->n; n++) {
		g_assert_cmpuint(crash_causes_list(f->nodes[n], v, 1), ==, 1);
		g_assert_cmpuint(v[0].crash_count, ==, CAUSE_CRASHES_MAX);
		for (uint32_t i = 1; i <= 4; i++)
			g_assert_cmpint(
				v[0].crashes[CAUSE_CRASHES_MAX - 5 + i].at_ms -
					v[0].crashes[0].at_ms,
				==, 2000 * i);
		/* Nodes don't send each other what they drop for ever. */
		g_assert_cmpuint(crash_causes_take_updates(f->nodes[n], v, 1),
				 ==, 0);
	}
	fleet_free(f);
}

static void add_storms(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(storms); i++) {
		char *path = g_strconcat("/crash-causes/common/",
					 storms[i].name, NULL);

		g_test_add_data_func(path, &storms[i], test_common_request);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(turns); i++) {
		char *path = g_strconcat("/crash-causes/turns-deadly/",
					 turns[i].name, NULL);

		g_test_add_data_func(path, &turns[i], test_turns_deadly);
		g_free(path);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_random_set_seed(1);
	g_test_add_func("/prompt-faults/pieces-at-many-nodes",
			test_pieces_at_many_nodes);
	g_test_add_func("/prompt-faults/two-parts", test_two_parts);
	g_test_add_func("/prompt-faults/turns-bad", test_part_turns_bad);
	g_test_add_func("/prompt-faults/always-together", test_always_together);
	g_test_add_func("/prompt-faults/many-targets-at-once",
			test_many_targets_crash_at_once);
	g_test_add_func("/prompt-faults/other-causes", test_other_causes);
	g_test_add_func("/prompt-faults/blocked-while-it-comes",
			test_blocked_while_it_comes);
	g_test_add_func("/prompt-faults/begin-frees", test_begin_frees);
	g_test_add_func("/prompt-faults/cut-and-new-nodes",
			test_cut_and_new_nodes);
	g_test_add_func("/prompt-faults/memory-bounded", test_memory_bounded);
	g_test_add_func("/crash-causes/request-again", test_request_again);
	g_test_add_func("/crash-causes/bystanders", test_bystanders);
	g_test_add_func("/crash-causes/bystander-first", test_bystander_first);
	g_test_add_func("/crash-causes/parts-of-request",
			test_parts_of_request);
	g_test_add_func("/crash-causes/trial", test_trial);
	g_test_add_func("/crash-causes/block-now", test_block_now);
	g_test_add_func("/crash-causes/target-lives", test_target_lives);
	g_test_add_func("/crash-causes/list-takes-no-updates",
			test_list_takes_no_updates);
	g_test_add_func("/crash-causes/trial-at-any-node",
			test_trial_at_any_node);
	g_test_add_func("/crash-causes/trial-views-differ",
			test_trial_views_differ);
	g_test_add_func("/crash-causes/trial-without-result",
			test_trial_without_result);
	g_test_add_func("/crash-causes/others-know-better",
			test_others_know_better);
	g_test_add_func("/crash-causes/full-record", test_full_record);
	add_storms();
	return g_test_run();
}
