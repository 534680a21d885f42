/* Resume tokens: sealing, tampering, the shared secret, and the position. */
#include <sodium.h>
#include <glib/gstdio.h>
#include <string.h>
#include <talloc.h>

#include "node/node.h"

static const struct resume sample_resume = {
	.organisation = "recif",
	.service = "assistant",
	.target = "e1",
	.address = "10.0.0.1:80",
	.request = "00112233",
	.deadline_ms = 1234567890123,
};

static struct resume_key *key_from_secret(const char *secret)
{
	char *path = NULL;
	int fd = g_file_open_tmp(NULL, &path, NULL);
	struct resume_key *k;

	g_assert_cmpint(fd, >=, 0);
	g_assert_true(g_file_set_contents(path, secret, -1, NULL));
	k = resume_key_load(path);
	g_unlink(path);
	g_close(fd, NULL);
	g_free(path);
	return k;
}

/* An empty file gives the key that everybody can compute. */
static void test_empty_secret(void)
{
	static const char *const texts[] = {"", "\n", " \t\r\n"};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		g_assert_null(key_from_secret(texts[i]));
}

static void test_round_trip(void)
{
	void *arena = talloc_new(NULL);
	struct resume_key *k = key_from_secret("secret\n");
	struct resume r;

	g_assert_true(resume_open(arena, k,
				  resume_seal(arena, k, &sample_resume), &r));
	g_assert_cmpstr(r.organisation, ==, sample_resume.organisation);
	g_assert_cmpstr(r.service, ==, sample_resume.service);
	g_assert_cmpstr(r.target, ==, sample_resume.target);
	g_assert_cmpstr(r.address, ==, sample_resume.address);
	g_assert_cmpstr(r.request, ==, sample_resume.request);
	g_assert_cmpint(r.deadline_ms, ==, sample_resume.deadline_ms);
	g_free(k);
	talloc_free(arena);
}

/* A token opens only unchanged, and only with the key that sealed it. */
static void test_tampered(void)
{
	void *arena = talloc_new(NULL);
	struct resume_key *k = key_from_secret("secret");
	struct resume_key *other = key_from_secret("other");
	char *token = resume_seal(arena, k, &sample_resume);
	struct resume r;

	g_assert_false(resume_open(arena, other, token, &r));
	for (size_t i = 0; token[i]; i++) {
		char original = token[i];

		token[i] = original == 'A' ? 'B' : 'A';
		g_assert_false(resume_open(arena, k, token, &r));
		token[i] = original;
	}
	token[strlen(token) - 1] = '\0';
	g_assert_false(resume_open(arena, k, token, &r));
	g_assert_false(resume_open(arena, k, "", &r));
	g_assert_false(resume_open(arena, k, "*", &r));
	g_free(k);
	g_free(other);
	talloc_free(arena);
}

/* No secret file: a fixed key. An unreadable secret file: an error. */
static void test_no_secret(void)
{
	struct resume_key *k = resume_key_load("");

	g_assert_nonnull(k);
	g_assert_null(resume_key_load("/nonexistent/secret"));
	g_free(k);
}

/* Only N and <request>:N are valid, and N + 1 must not overflow. */
static void test_position(void)
{
	static const struct {
		const char *last_event_id;
		int64_t want;
	} cases[] = {
		{NULL, 0},
		{"0", 1},
		{"7", 8},
		{"id1:7", 8},
		{"id2:7", -1},
		{"", -1},
		{"-1", -1},
		{"7x", -1},
		{"id1:", -1},
		{"id1:-4", -1},
		{"id1:7:8", -1},
		{" 7", -1},
		{"9223372036854775807", -1},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(resume_position(cases[i].last_event_id, "id1"),
				==, cases[i].want);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (sodium_init() < 0)
		return 1;
	g_test_add_func("/node/resume/empty-secret", test_empty_secret);
	g_test_add_func("/node/resume/round-trip", test_round_trip);
	g_test_add_func("/node/resume/tampered", test_tampered);
	g_test_add_func("/node/resume/no-secret", test_no_secret);
	g_test_add_func("/node/resume/position", test_position);
	return g_test_run();
}
