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

struct fleet {
	struct crash_causes **nodes;
	bool *cut; /* the node's messages are lost */
	size_t n;
	double loss;
	int64_t now_ms;
	int ticks;
	uint64_t next_target, next_request;
	int64_t crash_ms[64]; /* of the first ones */
	size_t crashes;
	int late;    /* bad requests that reached targets too late */
	int refused; /* sound requests that were refused */
};

static struct fleet *fleet_new(size_t n)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->n = n;
	f->now_ms = 1000000;
	f->nodes = g_new0(struct crash_causes *, n);
	f->cut = g_new0(bool, n);
	for (size_t i = 0; i < n; i++) {
		f->nodes[i] = crash_causes_new(NULL, NULL);
		crash_causes_set_rounds(f->nodes[i], n > DIRECT_MAX ? 3 : 2,
					n > DIRECT_MAX);
	}
	return f;
}

static void fleet_free(struct fleet *f)
{
	for (size_t i = 0; i < f->n; i++)
		crash_causes_free(f->nodes[i]);
	g_free(f->nodes);
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
	return g_test_run();
}
