/* Encoding of snapshots, and rejection of damaged ones. */
#include <string.h>

#include "state/learn.h"

static struct snapshot sample(void)
{
	struct snapshot s = {.revision = 7, .last_valid = json_object()};

	s.rows = json_pack("{s:{s:{s:s},s:i}}", "res/service/s", "spec", "pool",
			   "p", "revision", 7);
	return s;
}

static void test_round_trip(void)
{
	struct snapshot a = sample(), b;
	size_t n;
	char *text = snapshot_encode(&a, &n);

	g_assert_true(snapshot_decode((struct str){text, n}, &b));
	g_assert_cmpint(b.revision, ==, 7);
	g_assert_true(json_equal(a.rows, b.rows));
	g_assert_true(json_equal(a.last_valid, b.last_valid));
	snapshot_clear(&a);
	snapshot_clear(&b);
	g_free(text);
}

static void expect_rejected(const char *text, size_t n)
{
	struct snapshot s;

	g_assert_false(snapshot_decode((struct str){text, n}, &s));
	g_assert_null(s.rows);
}

/* Truncated at every byte, and with one bit of every byte flipped. */
static void test_damage(void)
{
	struct snapshot a = sample();
	size_t n;
	char *text = snapshot_encode(&a, &n);

	for (size_t i = 0; i < n; i++) {
		expect_rejected(text, i);
		text[i] ^= 1;
		expect_rejected(text, n);
		text[i] ^= 1;
	}
	expect_rejected("", 0);
	expect_rejected(NULL, 0);
	snapshot_clear(&a);
	g_free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/state/snapshot/round-trip", test_round_trip);
	g_test_add_func("/state/snapshot/damage", test_damage);
	return g_test_run();
}
