/* Keys issued by a node: repeats, expiry and the limit on held keys. */
#include <string.h>

#include "state/issued-keys.h"

static struct claim_request request(const char *body, int64_t attempt)
{
	return (struct claim_request){.name = "name",
				      .request = body,
				      .attempt = attempt,
				      .latest_ms = 5000};
}

static enum claim_verdict ask(struct issued_keys *keys, const char *key,
			      const char *body, int64_t attempt, int64_t now,
			      struct claim_result *out)
{
	struct claim_request q = request(body, attempt);

	return issued_keys_begin(keys, str_c(key), &q, now, out);
}

/* The verdict on a repeat, by the outcome of the first request. */
static void test_repeats(void)
{
	static const struct {
		int64_t attempt;
		const char *body;
		int outcome; /* enum claim_outcome; -1: still running */
		enum claim_verdict want;
	} rows[] = {
		{0, "b", -1, CLAIM_IN_PROGRESS},
		{1, "b", -1, CLAIM_IN_PROGRESS},
		{0, "b", CLAIM_ENDED_COMPLETE, CLAIM_COMPLETED},
		{1, "b", CLAIM_ENDED_COMPLETE, CLAIM_COMPLETED},
		{0, "other", CLAIM_ENDED_COMPLETE, CLAIM_KEY_REUSED},
		{0, "b", CLAIM_ENDED_UNKNOWN, CLAIM_OUTCOME_UNKNOWN},
		{1, "b", CLAIM_ENDED_UNKNOWN, CLAIM_OUTCOME_UNKNOWN},
		{0, "b", CLAIM_ENDED_NOT_RUN, CLAIM_RELEASED},
		{1, "b", CLAIM_ENDED_NOT_RUN, CLAIM_GRANTED},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct issued_keys *keys = issued_keys_new(7);
		char *key = issued_keys_generate(keys, 1, 1000);
		struct claim_answer a = {201, "t", STR_LIT("answer"), true};
		struct claim_result r;

		g_assert_true(is_issued_key(str_c(key)));
		g_assert_cmpint(ask(keys, key, "b", 0, 2000, &r), ==,
				CLAIM_GRANTED);
		if (rows[i].outcome >= 0)
			issued_keys_end(keys, "name",
					(enum claim_outcome)rows[i].outcome,
					&a);
		g_assert_cmpint(
			ask(keys, key, rows[i].body, rows[i].attempt, 3000, &r),
			==, rows[i].want);
		if (rows[i].want == CLAIM_COMPLETED) {
			g_assert_cmpint(r.answer.status, ==, 201);
			g_assert_true(str_eq(r.answer.body, a.body));
		}
		g_free(key);
		issued_keys_free(keys);
	}
}

/* A key runs neither in another incarnation nor after its expiry. */
static void test_bound(void)
{
	struct issued_keys *a = issued_keys_new(7), *b = issued_keys_new(8);
	char *key = issued_keys_generate(a, 1, 1000);
	struct claim_result r;

	g_assert_cmpint(ask(b, key, "b", 0, 2000, &r), ==,
			CLAIM_OUTCOME_UNKNOWN);
	g_assert_cmpint(ask(a, key, "b", 0, 1000 + ISSUED_KEY_VALID_MS, &r), ==,
			CLAIM_OUTCOME_UNKNOWN);
	g_assert_cmpint(ask(a, key, "b", 0, 2000, &r), ==, CLAIM_GRANTED);
	issued_keys_end(a, "name", CLAIM_ENDED_NOT_RUN, NULL);
	g_assert_cmpint(ask(a, key, "b", 1, 1000 + ISSUED_KEY_VALID_MS, &r), ==,
			CLAIM_OUTCOME_UNKNOWN);
	g_assert_false(is_issued_key(STR_LIT("ramp-")));
	g_assert_false(is_issued_key(STR_LIT("my-own-key")));
	g_free(key);
	issued_keys_free(a);
	issued_keys_free(b);
}

/* A full table refuses new keys until held ones have expired. */
static void test_full(void)
{
	struct issued_keys *keys = issued_keys_new(7);
	char *key = issued_keys_generate(keys, 1, 0);
	char *later = issued_keys_generate(keys, 1, ISSUED_KEY_VALID_MS);
	struct claim_result r;

	for (int i = 0; i <= ISSUED_KEYS_MAX; i++) {
		char *name = g_strdup_printf("%d", i);
		struct claim_request q = request("b", 0);

		q.name = name;
		g_assert_cmpint(issued_keys_begin(keys, str_c(key), &q, 1, &r),
				==,
				i < ISSUED_KEYS_MAX ? CLAIM_GRANTED
						    : CLAIM_STORE_UNAVAILABLE);
		if (i < ISSUED_KEYS_MAX)
			issued_keys_end(keys, name, CLAIM_ENDED_UNKNOWN, NULL);
		g_free(name);
	}
	g_assert_cmpint(ask(keys, later, "b", 0, ISSUED_KEY_VALID_MS + 1, &r),
			==, CLAIM_GRANTED);
	g_free(key);
	g_free(later);
	issued_keys_free(keys);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/state/issue/repeats", test_repeats);
	g_test_add_func("/state/issue/bound", test_bound);
	g_test_add_func("/state/issue/full", test_full);
	return g_test_run();
}
