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
			.gives = true,
		};
}

/* One key always gets the same target while that has room. */
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

/* A target that is lost moves only the keys that it had. */
static void test_loss_moves_little(void)
{
	GRand *r = g_rand_new_with_seed(1);
	struct place_target t[TARGETS];

	fill(t, 5);
	for (uint64_t key = 1; key < 200; key++) {
		size_t was = choose(key, t, TARGETS, r), is;

		t[4].aside = true;
		is = choose(key, t, TARGETS, r);
		t[4].aside = false;
		if (was != 4)
			g_assert_cmpuint(is, ==, was);
		else
			g_assert_cmpuint(is, !=, 4);
	}
	g_rand_free(r);
}

/*
 * One key gets all of the traffic: no target may go over what the users allow,
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
		/* The oldest work ends, evenly over the targets. */
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

/* Without a key the least loaded one is taken, and ties are spread. */
static void test_least(void)
{
	GRand *r = g_rand_new_with_seed(3);
	struct place_target t[TARGETS];
	unsigned got[TARGETS] = {0};

	fill(t, 4);
	t[6].load = 1;
	g_assert_cmpuint(choose(0, t, TARGETS, r), ==, 6);
	t[6].load = 4;
	for (int i = 0; i < 900; i++)
		got[choose(0, t, TARGETS, r)]++;
	for (int i = 0; i < TARGETS; i++)
		g_assert_cmpuint(got[i], >, 50);
	g_rand_free(r);
}

static void test_all_aside(void)
{
	GRand *r = g_rand_new_with_seed(4);
	struct place_target t[TARGETS];

	fill(t, 4);
	for (int i = 0; i < TARGETS; i++)
		t[i].aside = true;
	g_assert_cmpuint(choose(9, t, TARGETS, r), <, TARGETS);
	g_assert_cmpuint(choose(9, t, 0, r), ==, SIZE_MAX);
	g_rand_free(r);
}

/* A target that joins takes keys step by step, and only it takes any. */
static void test_joins(void)
{
	GRand *r = g_rand_new_with_seed(6);
	struct place_target t[TARGETS];
	unsigned before = 0;

	fill(t, 5);
	for (int64_t ms = 0; ms <= 30000; ms += 10000) {
		unsigned took = 0;

		for (uint64_t key = 1; key <= 2000; key++) {
			size_t was, is;

			t[3].weight = 0;
			t[3].aside = true;
			was = choose(key, t, TARGETS, r);
			t[3].aside = false;
			t[3].weight = place_weight(ms);
			is = choose(key, t, TARGETS, r);
			took += is == 3;
			if (is != 3)
				g_assert_cmpuint(is, ==, was);
		}
		g_assert_cmpuint(took, >=, before);
		before = took;
		if (!ms)
			g_assert_cmpuint(took, <, 20);
	}
	/* In the end a ninth of 2,000. */
	g_assert_cmpuint(before, >, 180);
	g_assert_cmpuint(before, <, 265);
	g_rand_free(r);
}

/* Work whose target is full goes to one that has just joined as to any. */
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

/* A short prompt gives way before a long one, both within what is allowed. */
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

/* Where a prompt of one shared part is fetched from. */
static size_t source_of(uint64_t key, const struct place_target *t,
			size_t chosen)
{
	struct prefix_index *none = prefix_index_new(8);
	size_t at = place_source(&key, key != 0, none, t, TARGETS, chosen);

	prefix_index_free(none);
	return at;
}

/* Where a prompt is fetched from, whatever makes its key move. */
static void test_source(void)
{
	GRand *r = g_rand_new_with_seed(1);
	struct place_target t[TARGETS];

	for (uint64_t key = 1; key < 200; key++) {
		size_t home, other;

		fill(t, 5);
		home = choose(key, t, TARGETS, r);
		g_assert_cmpuint(source_of(key, t, home), ==, SIZE_MAX);
		/* Full: its work goes elsewhere and takes the prompt along. */
		t[home].load = 50;
		other = choose(key, t, TARGETS, r);
		g_assert_cmpuint(other, !=, home);
		g_assert_cmpuint(source_of(key, t, other), ==, home);
		/* Leaving: it takes nothing and still gives. */
		fill(t, 5);
		t[home].leaving = true;
		g_assert_cmpuint(choose(key, t, TARGETS, r), !=, home);
		g_assert_cmpuint(source_of(key, t, other), ==, home);
		/* Broken: nobody asks it. */
		t[home].gives = false;
		g_assert_cmpuint(source_of(key, t, other), !=, home);
		/* Without a key nothing is shared. */
		g_assert_cmpuint(source_of(0, t, other), ==, SIZE_MAX);
	}
	g_rand_free(r);
}

/* What a newcomer wins it fetches from the target that had it before. */
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
		t[4].leaving = true;
		t[4].gives = false;
		before = choose(key, t, TARGETS, r);
		t[4].leaving = false;
		t[4].gives = true;
		if (now != 4)
			continue;
		won++;
		g_assert_cmpuint(source_of(key, t, now), ==, before);
	}
	g_assert_cmpint(won, >, 0);
	g_rand_free(r);
}

/* What is known of the holders goes before what is likely. */
static void test_source_known(void)
{
	struct prefix_index *x = prefix_index_new(1024);
	GRand *r = g_rand_new_with_seed(1);
	struct place_target t[TARGETS];
	uint64_t parts[] = {300, 200, 100}; /* the longest first */
	size_t home, a, b;

	fill(t, 5);
	home = choose(parts[0], t, TARGETS, r);
	a = (home + 1) % TARGETS;
	b = (home + 2) % TARGETS;
	/* Nobody holds anything: its home has nowhere to fetch from. */
	g_assert_cmpuint(place_source(parts, 3, x, t, TARGETS, home), ==,
			 SIZE_MAX);
	/* A shorter part is better than nothing. */
	prefix_index_note(x, parts[2], t[a].id);
	g_assert_cmpuint(place_source(parts, 3, x, t, TARGETS, home), ==, a);
	/* Its home missed the longest one, which another target has read. */
	prefix_index_note(x, parts[0], t[b].id);
	g_assert_cmpuint(place_source(parts, 3, x, t, TARGETS, home), ==, b);
	/* One that is gone, or broke, is not asked. */
	t[b].gives = false;
	g_assert_cmpuint(place_source(parts, 3, x, t, TARGETS, home), ==, a);
	g_assert_cmpuint(place_source(parts, 3, x, t, TARGETS, b), ==,
			 SIZE_MAX);
	t[b].gives = true;
	/* What it holds itself it does not fetch. */
	prefix_index_note(x, parts[0], t[home].id);
	g_assert_cmpuint(place_source(parts, 3, x, t, TARGETS, home), ==,
			 SIZE_MAX);
	g_assert_cmpuint(place_source(parts, 3, x, t, TARGETS, a), ==, home);
	g_rand_free(r);
	prefix_index_free(x);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/place/key-stays", test_key_stays);
	g_test_add_func("/route/place/loss", test_loss_moves_little);
	g_test_add_func("/route/place/hot-key", test_hot_key_within_bound);
	g_test_add_func("/route/place/least", test_least);
	g_test_add_func("/route/place/all-aside", test_all_aside);
	g_test_add_func("/route/place/joins", test_joins);
	g_test_add_func("/route/place/full-uses-new", test_full_uses_new);
	g_test_add_func("/route/place/short-first", test_short_moves_first);
	g_test_add_func("/route/place/source", test_source);
	g_test_add_func("/route/place/source-of-newcomer",
			test_source_of_newcomer);
	g_test_add_func("/route/place/source-known", test_source_known);
	return g_test_run();
}
