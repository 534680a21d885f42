/*
 * Admission: one node counts the work of each target. Checked with real
 * processes, and within one process.
 */
#include <curl/curl.h>
#include <signal.h>

#include "node/admission.h"
#include "node/test-harness.h"

#define TOKENS 60
#define CALLS  12

static struct rig *start_rig(unsigned engines, unsigned nodes)
{
	struct rig *g = rig_new(engines, nodes, NULL);

	rig_start(g);
	return g;
}

static int64_t sum_metric(const struct rig *g, unsigned nodes, const char *name)
{
	int64_t sum = 0;

	for (unsigned i = 0; i < nodes; i++)
		sum += proc_metric(&g->nodes[i], name);
	return sum;
}

/* Whatever its entry, a request is counted by its target's admitting node. */
static void test_counted_once(void)
{
	struct rig *g = start_rig(2, 3);

	for (int i = 0; i < CALLS; i++) {
		char *question = g_strdup_printf("chat %d", i);
		struct chat_stream *a = chat_stream_open(
			g->nodes[i % 3].port, "assistant", question, TOKENS);

		chat_stream_read(a, TOKENS + 1);
		g_assert_true(a->done);
		chat_stream_free(a);
		g_free(question);
	}
	g_assert_cmpint(rig_engine_runs(g), ==, CALLS);
	/* At most two of three nodes admit, so some requests were forwarded. */
	g_assert_cmpint(sum_metric(g, 3, "ramp_requests_forwarded_total"), >,
			0);
	g_assert_cmpint(sum_metric(g, 3, "ramp_admissions_total"), >, 0);
	rig_free(g);
}

/* The admitting node is killed; entries read on from the target itself. */
static void test_admitter_killed(void)
{
	struct rig *g = start_rig(1, 3);
	struct chat_stream *streams[3];
	int64_t admitted[3];

	for (int i = 0; i < 3; i++) {
		char *question = g_strdup_printf("killed %d", i);

		streams[i] = chat_stream_open(g->nodes[i].port, "assistant",
					      question, 10 * TOKENS);
		chat_stream_read(streams[i], 3);
		g_free(question);
	}
	for (int i = 0; i < 3; i++)
		admitted[i] =
			proc_metric(&g->nodes[i], "ramp_admissions_total");
	for (int i = 0; i < 3; i++) {
		if (admitted[i])
			proc_signal(&g->nodes[i], SIGKILL);
	}
	for (int i = 0; i < 3; i++) {
		if (admitted[i])
			continue;
		chat_stream_read(streams[i], 10 * TOKENS + 1);
		g_assert_true(streams[i]->done);
		g_assert_false(streams[i]->mismatch);
		g_assert_cmpint(streams[i]->words, ==, 10 * TOKENS);
	}
	g_assert_cmpint(rig_engine_runs(g), ==, 3);
	for (int i = 0; i < 3; i++)
		chat_stream_free(streams[i]);
	rig_free(g);
}

#define TARGET_TOKENS  100000
#define REQUEST_TOKENS 1000

static bool try_enter(struct admission *a, const char *organisation,
		      struct admission_grant *g)
{
	struct admission_refusal refusal = {0};
	struct admission_request q = {.pool = "llm",
				      .organisation = organisation,
				      .weight = 1,
				      .target = 7,
				      .work = REQUEST_TOKENS,
				      .deadline_ms = time_mono_ms() + WAIT_MS};
	bool admitted = admission_acquire(a, &q, g, &refusal);

	if (!admitted)
		g_assert_cmpint(refusal.retry_at_ms, >, time_mono_ms());
	return admitted;
}

static struct admission *new_admission(void)
{
	struct admission *a = admission_new(1, TARGET_TOKENS);

	admission_take_over(a, "llm", 7, 0, 1);
	return a;
}

/*
 * One organisation takes as much of a target as it is admitted to.
 * Another one must still be admitted, without waiting.
 */
static void test_surge(void)
{
	struct admission *a = new_admission();
	struct admission_grant first = {0}, g = {0};
	int surge_count = 0;

	g_assert_true(try_enter(a, "small", &first));
	while (surge_count < 1000 && try_enter(a, "surging", &g))
		surge_count++;
	g_assert_cmpint((surge_count + 1) * REQUEST_TOKENS, <=, TARGET_TOKENS);
	g_assert_true(try_enter(a, "small", &g));
	admission_free(a);
}

/* Return how many requests are admitted with this load factor. */
static int64_t count_admitted(double factor)
{
	struct admission *a = new_admission();
	struct admission_grant g = {0};
	int64_t n = 0;

	admission_set_load_factor(a, "llm", factor);
	/* The mean, 50000 tokens a target, is well above the bound's floor. */
	admission_set_fleet_totals(a, "llm", 10 * 50000, 10);
	while (n < 1000 && try_enter(a, "o", &g))
		n++;
	admission_free(a);
	return n;
}

/* The load factor that a service declares decides how much is admitted. */
static void test_load_factor(void)
{
	g_assert_cmpint(count_admitted(1.05), <, count_admitted(1.8));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	g_test_add_func("/admission/surge", test_surge);
	g_test_add_func("/admission/load-factor", test_load_factor);
	g_test_add_func("/admission/counted-once", test_counted_once);
	g_test_add_func("/admission/admitter-killed", test_admitter_killed);
	return g_test_run();
}
