/* Placement: key affinity, bounded load, joining targets, fetch sources. */
#include "route/test-random.h"

#define TARGETS 9

static size_t choose(uint64_t key, const struct place_target *t, size_t n,
		     GRand *r)
{
	struct place_limits l = place_limits_for(10000, 2);

	return place_choose(&l, key, t, n, random_of(r));
}

static void fill(struct place_target *t, double load)
{
	for (size_t i = 0; i < TARGETS; i++)
		t[i] = (struct place_target){
			.id = i * 11 + 3,
			.load = load,
			.weight = 1,
			.can_export = true,
		};
}

/* A key always gets the same target while that target has room. */
static void test_key_stays(void)
{
	GRand *r = g_rand_new_with_seed(1);
	struct place_target t[TARGETS];

	fill(t, 5);
	for (uint64_t key = 1; key < 200; key++) {
		size_t first = choose(key, t, TARGETS, r);

		t[first].load += 2;
		g_assert_cmpuint(choose(key, t, TARGETS, r), ==, first);
		t[first].load -= 2;
	}
	g_rand_free(r);
}

/* The loss of a target moves only its own keys. */
static void test_loss_moves_little(void)
{
	GRand *r = g_rand_new_with_seed(1);
	struct place_target t[TARGETS];

	fill(t, 5);
	for (uint64_t key = 1; key < 200; key++) {
		size_t before = choose(key, t, TARGETS, r), after;

		t[4].avoid = true;
		after = choose(key, t, TARGETS, r);
		t[4].avoid = false;
		if (before != 4)
			g_assert_cmpuint(after, ==, before);
		else
			g_assert_cmpuint(after, !=, 4);
	}
	g_rand_free(r);
}

/*
 * All requests share one key: no target exceeds what operators allow,
 * 2 x mean + 3.
 */
static void test_hot_key_within_bound(void)
{
	GRand *r = g_rand_new_with_seed(2);
	struct place_target t[TARGETS];
	double sum = 0;

	fill(t, 0);
	for (int i = 0; i < 2000; i++) {
		size_t at = choose(77, t, TARGETS, r);

		t[at].load++;
		sum++;
		g_assert_cmpfloat(t[at].load, <=, 2 * sum / TARGETS + 3);
		/* Requests end evenly over the targets. */
		if (sum > 80) {
			size_t k = (size_t)i % TARGETS;

			if (t[k].load > 0) {
				t[k].load--;
				sum--;
			}
		}
	}
	g_rand_free(r);
}

/* Without a key the least loaded target is chosen; ties are spread. */
static void test_least(void)
{
	GRand *r = g_rand_new_with_seed(3);
	struct place_target t[TARGETS];
	unsigned count[TARGETS] = {0};

	fill(t, 4);
	t[6].load = 1;
	g_assert_cmpuint(choose(0, t, TARGETS, r), ==, 6);
	t[6].load = 4;
	for (int i = 0; i < 900; i++)
		count[choose(0, t, TARGETS, r)]++;
	for (int i = 0; i < TARGETS; i++)
		g_assert_cmpuint(count[i], >, 50);
	g_rand_free(r);
}

/* When all targets are marked avoid, one is chosen; without any, none. */
static void test_all_avoided(void)
{
	GRand *r = g_rand_new_with_seed(4);
	struct place_target t[TARGETS];

	fill(t, 4);
	for (int i = 0; i < TARGETS; i++)
		t[i].avoid = true;
	g_assert_cmpuint(choose(9, t, TARGETS, r), <, TARGETS);
	g_assert_cmpuint(choose(9, t, 0, r), ==, SIZE_MAX);
	g_rand_free(r);
}

/* A joining target gets keys step by step; no key moves between the others. */
static void test_joins(void)
{
	GRand *r = g_rand_new_with_seed(6);
	struct place_target t[TARGETS];
	unsigned took_before = 0;

	fill(t, 5);
	for (int64_t ms = 0; ms <= 30000; ms += 10000) {
		unsigned took = 0;

		for (uint64_t key = 1; key <= 2000; key++) {
			size_t old, new;

			t[3].weight = 0;
			t[3].avoid = true;
			old = choose(key, t, TARGETS, r);
			t[3].avoid = false;
			t[3].weight = place_weight(ms);
			new = choose(key, t, TARGETS, r);
			took += new == 3;
			if (new != 3)
				g_assert_cmpuint(new, ==, old);
		}
		g_assert_cmpuint(took, >=, took_before);
		took_before = took;
		if (!ms)
			g_assert_cmpuint(took, <, 20);
	}
	/* In the end about a ninth of the 2,000 keys. */
	g_assert_cmpuint(took_before, >, 180);
	g_assert_cmpuint(took_before, <, 265);
	g_rand_free(r);
}

/* Requests of a full target also move to one that has just joined. */
static void test_full_uses_new(void)
{
	GRand *r = g_rand_new_with_seed(7);
	struct place_target t[TARGETS];
	unsigned took = 0;

	fill(t, 20);
	t[3].load = 0;
	t[3].weight = place_weight(0);
	for (uint64_t key = 1; key <= 200; key++) {
		size_t home = choose(key, t, TARGETS, r);

		t[home].load += 60;
		took += choose(key, t, TARGETS, r) == 3;
		t[home].load -= 60;
	}
	g_assert_cmpuint(took, >, 10);
	g_rand_free(r);
}

/* Short prompts move at a lower load than long ones, both within factor. */
static void test_short_moves_first(void)
{
	for (int quarters = 4; quarters <= 16; quarters++) {
		double factor = quarters / 4.0;
		struct place_limits s = place_limits_for(100, factor);
		struct place_limits l = place_limits_for(5000, factor);

		for (int mean = 0; mean < 64; mean++) {
			g_assert_cmpfloat(mean * s.factor + s.slack, <,
					  mean * l.factor + l.slack);
			g_assert_cmpfloat(mean * l.factor + l.slack, <,
					  factor * mean + 3);
		}
	}
}

/* Return the source for a prompt with one shared prefix; the index is empty. */
static size_t source_without_index(uint64_t key, const struct place_target *t,
				   size_t chosen)
{
	struct prefix_index *none = prefix_index_new(8);
	size_t at = place_source(&key, key != 0, none, t, TARGETS, chosen);

	prefix_index_free(none);
	return at;
}

/* A prompt is fetched from its key's usual target, for any cause of a move. */
static void test_source(void)
{
	GRand *r = g_rand_new_with_seed(1);
	struct place_target t[TARGETS];

	for (uint64_t key = 1; key < 200; key++) {
		size_t home, other;

		fill(t, 5);
		home = choose(key, t, TARGETS, r);
		g_assert_cmpuint(source_without_index(key, t, home), ==,
				 SIZE_MAX);
		/* Full: requests move and fetch the prompt from it. */
		t[home].load = 50;
		other = choose(key, t, TARGETS, r);
		g_assert_cmpuint(other, !=, home);
		g_assert_cmpuint(source_without_index(key, t, other), ==, home);
		/* Draining: no new requests, but fetches from it. */
		fill(t, 5);
		t[home].draining = true;
		g_assert_cmpuint(choose(key, t, TARGETS, r), !=, home);
		g_assert_cmpuint(source_without_index(key, t, other), ==, home);
		/* Failing: no fetches from it. */
		t[home].can_export = false;
		g_assert_cmpuint(source_without_index(key, t, other), !=, home);
		/* Without a key there is no shared prefix. */
		g_assert_cmpuint(source_without_index(0, t, other), ==,
				 SIZE_MAX);
	}
	g_rand_free(r);
}

/* A joining target fetches prompts from the target that had the key. */
static void test_source_of_newcomer(void)
{
	GRand *r = g_rand_new_with_seed(1);
	struct place_target t[TARGETS];
	int won = 0;

	for (uint64_t key = 1; key < 400; key++) {
		size_t before, now;

		fill(t, 5);
		t[4].weight = 0.5;
		now = choose(key, t, TARGETS, r);
		t[4].draining = true;
		t[4].can_export = false;
		before = choose(key, t, TARGETS, r);
		t[4].draining = false;
		t[4].can_export = true;
		if (now != 4)
			continue;
		won++;
		g_assert_cmpuint(source_without_index(key, t, now), ==, before);
	}
	g_assert_cmpint(won, >, 0);
	g_rand_free(r);
}

/* Targets listed in the index come before the key's usual target. */
static void test_source_known(void)
{
	struct prefix_index *x = prefix_index_new(1024);
	GRand *r = g_rand_new_with_seed(1);
	struct place_target t[TARGETS];
	uint64_t parts[] = {300, 200, 100}; /* the longest first */
	size_t home, short_holder, long_holder;

	fill(t, 5);
	home = choose(parts[0], t, TARGETS, r);
	short_holder = (home + 1) % TARGETS;
	long_holder = (home + 2) % TARGETS;
	/* Empty index: there is no source for the usual target. */
	g_assert_cmpuint(place_source(parts, 3, x, t, TARGETS, home), ==,
			 SIZE_MAX);
	/* A target that holds a shorter prefix is better than none. */
	prefix_index_add(x, parts[2], t[short_holder].id);
	g_assert_cmpuint(place_source(parts, 3, x, t, TARGETS, home), ==,
			 short_holder);
	/* Another target holds the longest prefix. */
	prefix_index_add(x, parts[0], t[long_holder].id);
	g_assert_cmpuint(place_source(parts, 3, x, t, TARGETS, home), ==,
			 long_holder);
	/* A target that can not be fetched from is not chosen. */
	t[long_holder].can_export = false;
	g_assert_cmpuint(place_source(parts, 3, x, t, TARGETS, home), ==,
			 short_holder);
	g_assert_cmpuint(place_source(parts, 3, x, t, TARGETS, long_holder), ==,
			 SIZE_MAX);
	t[long_holder].can_export = true;
	/* A prefix that the chosen target holds is not fetched. */
	prefix_index_add(x, parts[0], t[home].id);
	g_assert_cmpuint(place_source(parts, 3, x, t, TARGETS, home), ==,
			 SIZE_MAX);
	g_assert_cmpuint(place_source(parts, 3, x, t, TARGETS, short_holder),
			 ==, home);
	g_rand_free(r);
	prefix_index_free(x);
}

/*
 * A target that may get no request for now gets one, or the others are filled
 * up as if it didn't exist, which leaves limited targets with room unused.
 */
static void test_limited(void)
{
	GRand *r = g_rand_new_with_seed(1);
	struct place_target t[TARGETS];

	fill(t, 20);
	for (size_t i = 2; i < TARGETS; i++) {
		t[i].load = 1;
		t[i].limited = i > 2;
	}
	for (uint64_t key = 1; key < 200; key++)
		g_assert_cmpuint(choose(key, t, TARGETS, r), ==, 2);
	for (size_t i = 0; i < TARGETS; i++)
		t[i].limited = true;
	g_assert_cmpuint(choose(1, t, TARGETS, r), ==, SIZE_MAX);
	g_rand_free(r);
}

/*
 * What limited targets don't take fills the queues of the others until nothing
 * is answered in time, or the urgent requests are refused with the rest.
 */
static void test_overflow(void)
{
	GRand *r = g_rand_new_with_seed(1);
	struct place_target t[TARGETS];

	for (int priority = 0; priority < 10; priority++) {
		fill(t, 14);
		for (size_t i = 0; i < TARGETS; i++)
			t[i].slots = 12;
		place_limit_overflow(t, TARGETS, priority);
		g_assert_cmpuint(choose(1, t, TARGETS, r), !=, SIZE_MAX);
		t[0].limited = true;
		place_limit_overflow(t, TARGETS, priority);
		if (priority < 2)
			g_assert_cmpuint(choose(1, t, TARGETS, r), !=,
					 SIZE_MAX);
		else
			g_assert_cmpuint(choose(1, t, TARGETS, r), ==,
					 SIZE_MAX);
		fill(t, 30);
		for (size_t i = 0; i < TARGETS; i++)
			t[i].slots = 12;
		t[0].limited = true;
		place_limit_overflow(t, TARGETS, priority);
		g_assert_cmpuint(choose(1, t, TARGETS, r), ==, SIZE_MAX);
	}
	g_rand_free(r);
}

/* Keys leave targets that have room, as others with limits are idle. */
static void test_room_beside_limited(void)
{
	GRand *r = g_rand_new_with_seed(1);
	struct place_limits l = place_limits_for(10000, 2);
	struct place_target t[TARGETS];

	fill(t, 0);
	t[3].load = t[4].load = 20;
	l.room = 32;
	for (size_t i = 5; i < TARGETS; i++)
		t[i].limited = true;
	for (uint64_t key = 1; key < 200; key++) {
		size_t i = place_choose(&l, key, t, TARGETS, random_of(r));

		t[3].load = t[4].load = 0;
		g_assert_cmpuint(
			place_choose(&l, key, t, TARGETS, random_of(r)), ==, i);
		t[3].load = t[4].load = 20;
	}
	g_rand_free(r);
}

/*
 * A cold target gets a request that its share doesn't allow, or those that it
 * doesn't get go to targets beyond their limit, as beside limited ones.
 */
static void test_warming(void)
{
	GRand *r = g_rand_new_with_seed(1);
	struct place_limits l = place_limits_for(10000, 2);
	struct place_target t[TARGETS];

	fill(t, 4);
	l.room = 1000;
	for (size_t i = 0; i < TARGETS; i++) {
		t[i].slots = 2;
		t[i].warming = i < 3;
	}
	t[3].load = 20;
	for (uint64_t key = 1; key < 200; key++) {
		size_t i = place_choose(&l, key, t, TARGETS, random_of(r));

		/* Beside limited targets the room would be 1000. */
		g_assert_cmpuint(i, >, 3);
		g_assert_cmpuint(i, <, TARGETS);
	}
	place_limit_overflow(t, TARGETS, 5);
	for (size_t i = 0; i < TARGETS; i++)
		g_assert_false(t[i].limited);
	/* Their loads count for the mean: 4 x 1.75 + 2.2 is above 8. */
	for (size_t i = 3; i < TARGETS; i++)
		t[i].load = i == 8 ? 0 : 8;
	l.room = 0;
	t[0].load = t[1].load = t[2].load = 0;
	for (uint64_t key = 1; key < 50; key++)
		g_assert_cmpuint(
			place_choose(&l, key, t, TARGETS, random_of(r)), >, 2);
	for (size_t i = 0; i < TARGETS; i++)
		t[i].warming = true;
	g_assert_cmpuint(place_choose(&l, 1, t, TARGETS, random_of(r)), ==,
			 SIZE_MAX);
	g_assert_cmpuint(place_choose(&l, 0, t, TARGETS, random_of(r)), ==,
			 SIZE_MAX);
	g_rand_free(r);
}

/* The counter counts requests that would not have gone to a cold target. */
static void test_avoided_warming(void)
{
	GRand *r = g_rand_new_with_seed(1);
	struct place_limits l = place_limits_for(10000, 2);
	struct place_target t[TARGETS];

	for (uint64_t key = 0; key < 200; key++) {
		size_t preferred, chosen;

		fill(t, 4);
		t[5].load = 3; /* least loaded, for requests without a key */
		preferred = place_choose(&l, key, t, TARGETS, random_of(r));
		t[5].warming = true;
		chosen = place_choose(&l, key, t, TARGETS, random_of(r));
		g_assert_cmpint(
			place_avoided_warming(&l, key, t, TARGETS, chosen), ==,
			preferred == 5);
	}
	for (size_t i = 0; i < TARGETS; i++)
		t[i].draining = i != 5;
	g_assert_true(place_avoided_warming(&l, 1, t, TARGETS, SIZE_MAX));
	t[5].warming = false;
	g_assert_false(place_avoided_warming(&l, 1, t, TARGETS, SIZE_MAX));
	g_rand_free(r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/place/key-stays", test_key_stays);
	g_test_add_func("/route/place/loss", test_loss_moves_little);
	g_test_add_func("/route/place/hot-key", test_hot_key_within_bound);
	g_test_add_func("/route/place/least", test_least);
	g_test_add_func("/route/place/all-aside", test_all_avoided);
	g_test_add_func("/route/place/joins", test_joins);
	g_test_add_func("/route/place/full-uses-new", test_full_uses_new);
	g_test_add_func("/route/place/short-first", test_short_moves_first);
	g_test_add_func("/route/place/source", test_source);
	g_test_add_func("/route/place/source-of-newcomer",
			test_source_of_newcomer);
	g_test_add_func("/route/place/source-known", test_source_known);
	g_test_add_func("/route/place/limited", test_limited);
	g_test_add_func("/route/place/overflow", test_overflow);
	g_test_add_func("/route/place/room-beside-limited",
			test_room_beside_limited);
	g_test_add_func("/route/place/warming", test_warming);
	g_test_add_func("/route/place/avoided-warming", test_avoided_warming);
	return g_test_run();
}
