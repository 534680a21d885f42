#include <sodium.h>
#include <glib/gstdio.h>
#include <string.h>
#include <talloc.h>

#include "node/node.h"

static const struct resume sample = {
	.organisation = "recif",
	.service = "assistant",
	.target = "e1",
	.address = "10.0.0.1:80",
	.request = "00112233",
	.deadline_ms = 1234567890123,
};

static struct resume_key *key_of(const char *secret)
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

static void test_round_trip(void)
{
	void *arena = talloc_new(NULL);
	struct resume_key *k = key_of("secret\n");
	struct resume r;

	g_assert_true(
		resume_open(arena, k, resume_seal(arena, k, &sample), &r));
	g_assert_cmpstr(r.organisation, ==, sample.organisation);
	g_assert_cmpstr(r.service, ==, sample.service);
	g_assert_cmpstr(r.target, ==, sample.target);
	g_assert_cmpstr(r.address, ==, sample.address);
	g_assert_cmpstr(r.request, ==, sample.request);
	g_assert_cmpint(r.deadline_ms, ==, sample.deadline_ms);
	g_free(k);
	talloc_free(arena);
}

/* One changed character anywhere, or another key, and it doesn't open. */
static void test_tampered(void)
{
	void *arena = talloc_new(NULL);
	struct resume_key *k = key_of("secret");
	struct resume_key *other = key_of("other");
	char *text = resume_seal(arena, k, &sample);
	struct resume r;

	g_assert_false(resume_open(arena, other, text, &r));
	for (size_t i = 0; text[i]; i++) {
		char was = text[i];

		text[i] = was == 'A' ? 'B' : 'A';
		g_assert_false(resume_open(arena, k, text, &r));
		text[i] = was;
	}
	text[strlen(text) - 1] = '\0';
	g_assert_false(resume_open(arena, k, text, &r));
	g_assert_false(resume_open(arena, k, "", &r));
	g_assert_false(resume_open(arena, k, "*", &r));
	g_free(k);
	g_free(other);
	talloc_free(arena);
}

static void test_no_secret(void)
{
	struct resume_key *k = resume_key_load("");

	g_assert_nonnull(k);
	g_assert_null(resume_key_load("/nonexistent/secret"));
	g_free(k);
}

static void test_position(void)
{
	static const struct {
		const char *last;
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
		g_assert_cmpint(resume_position(cases[i].last, "id1"), ==,
				cases[i].want);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (sodium_init() < 0)
		return 1;
	g_test_add_func("/node/resume/round-trip", test_round_trip);
	g_test_add_func("/node/resume/tampered", test_tampered);
	g_test_add_func("/node/resume/no-secret", test_no_secret);
	g_test_add_func("/node/resume/position", test_position);
	return g_test_run();
}
