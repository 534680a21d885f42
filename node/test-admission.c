/* Admission between real processes: one node counts for each target. */
#include <curl/curl.h>
#include <signal.h>

#include "node/admission.h"
#include "node/test-harness.h"

#define TOKENS 60
#define CALLS  12

static struct rig *rig_started(unsigned engines, unsigned nodes)
{
	struct rig *g = rig_new(engines, nodes, NULL);

	rig_start(g);
	return g;
}

static int64_t metric_sum(const struct rig *g, unsigned nodes, const char *name)
{
	int64_t sum = 0;

	for (unsigned i = 0; i < nodes; i++)
		sum += proc_metric(&g->nodes[i], name);
	return sum;
}

/* Requests of all entries are counted by the targets' admitting nodes. */
static void test_counted_once(void)
{
	struct rig *g = rig_started(2, 3);

	for (int i = 0; i < CALLS; i++) {
		char *question = g_strdup_printf("chat %d", i);
		struct ask *a = ask_open(g->nodes[i % 3].port, "assistant",
					 question, TOKENS);

		ask_read(a, TOKENS + 1);
		g_assert_true(a->done);
		ask_free(a);
		g_free(question);
	}
	g_assert_cmpint(rig_engine_runs(g), ==, CALLS);
	/* Two of three nodes admit, so some request must have passed one. */
	g_assert_cmpint(metric_sum(g, 3, "ramp_requests_forwarded_total"), >,
			0);
	g_assert_cmpint(metric_sum(g, 3, "ramp_admissions_total"), >, 0);
	rig_free(g);
}

/* The node in between is killed; the answer goes on from the target. */
static void test_admitter_killed(void)
{
	struct rig *g = rig_started(1, 3);
	struct ask *asks[3];
	int64_t admitted[3];

	for (int i = 0; i < 3; i++) {
		char *question = g_strdup_printf("killed %d", i);

		asks[i] = ask_open(g->nodes[i].port, "assistant", question,
				   10 * TOKENS);
		ask_read(asks[i], 3);
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
		ask_read(asks[i], 10 * TOKENS + 1);
		g_assert_true(asks[i]->done);
		g_assert_false(asks[i]->mismatch);
		g_assert_cmpint(asks[i]->words, ==, 10 * TOKENS);
	}
	g_assert_cmpint(rig_engine_runs(g), ==, 3);
	for (int i = 0; i < 3; i++)
		ask_free(asks[i]);
	rig_free(g);
}

#define TARGET_WORK 100000
#define ASK_WORK    1000

static bool enter(struct admission *a, const char *organisation,
		  struct admission_grant *g)
{
	struct admission_refusal no = {0};
	struct admission_ask q = {.pool = "llm",
				  .organisation = organisation,
				  .weight = 1,
				  .target = 7,
				  .work = ASK_WORK,
				  .deadline_ms = time_mono_ms() + WAIT_MS};
	bool in = admission_enter(a, &q, g, &no);

	if (!in)
		g_assert_cmpint(no.retry_at_ms, >, time_mono_ms());
	return in;
}

static struct admission *admission_of_one(void)
{
	struct admission *a = admission_new(1, TARGET_WORK);

	admission_take(a, "llm", 7, 0, 1);
	return a;
}

/*
 * One organisation takes all that it can get of a target; another one that
 * comes then still finds room, and at once.
 */
static void test_surge(void)
{
	struct admission *a = admission_of_one();
	struct admission_grant first = {0}, g = {0};
	int surging = 0;

	g_assert_true(enter(a, "small", &first));
	while (surging < 1000 && enter(a, "surging", &g))
		surging++;
	g_assert_cmpint((surging + 1) * ASK_WORK, <=, TARGET_WORK);
	g_assert_true(enter(a, "small", &g));
	admission_free(a);
}

/* The factor that a service declares changes what is admitted. */
static int64_t admitted_with(double factor)
{
	struct admission *a = admission_of_one();
	struct admission_grant g = {0};
	int64_t n = 0;

	admission_set_load_factor(a, "llm", factor);
	/* The fleet's mean is far over the floor. */
	admission_set_fleet(a, "llm", 10 * 50000, 10);
	while (n < 1000 && enter(a, "o", &g))
		n++;
	admission_free(a);
	return n;
}

static void test_load_factor(void)
{
	g_assert_cmpint(admitted_with(1.05), <, admitted_with(1.8));
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
