/*
 * Faults between nodes: the way to an admitting node is cut, or that node is
 * frozen or killed. Every answer comes whole or its outcome is told, and each
 * request's runs at the engines are counted.
 */
#include <curl/curl.h>
#include <signal.h>
#include <string.h>

#include "node/test-harness.h"

#define NODES  3
#define TOKENS 150
#define CALLS  12
#define LAG_MS 10000 /* of the instance list */
#define BEGUN  3     /* words read before the fault */

/* Answers in progress, all begun before the fault. */
struct load {
	struct ask *asks[CALLS];
	unsigned entry[CALLS]; /* index of the node asked */
};

static void open_load(struct rig *g, struct load *l, const char *service,
		      int64_t begun)
{
	for (unsigned i = 0; i < CALLS; i++) {
		char *question = g_strdup_printf("cut %s %u", service, i);

		l->entry[i] = i % NODES;
		l->asks[i] = ask_open(g->nodes[l->entry[i]].port, service,
				      question, TOKENS);
		if (begun)
			ask_read(l->asks[i], begun);
		g_free(question);
	}
}

/* Which of the nodes admits to the single engine. */
static unsigned admitter(struct rig *g)
{
	unsigned found = NODES;
	struct ask *a =
		ask_open(g->nodes[0].port, "assistant", "who admits", BEGUN);

	ask_read(a, BEGUN + 1);
	g_assert_true(a->done);
	ask_free(a);
	for (unsigned i = 0; i < NODES; i++) {
		if (proc_metric(&g->nodes[i], "ramp_admissions_total") > 0)
			found = i;
	}
	g_assert_cmpuint(found, <, NODES);
	return found;
}

/* Whole, each word once, or a caller whose entry is the lost one. */
static unsigned read_load(struct load *l, unsigned lost)
{
	unsigned whole = 0;

	for (unsigned i = 0; i < CALLS; i++) {
		struct ask *a = l->asks[i];

		if (l->entry[i] == lost)
			continue;
		ask_read(a, TOKENS + 1);
		g_assert_cmpint(a->status, ==, 200);
		g_assert_false(a->mismatch);
		g_assert_true(a->done);
		g_assert_cmpint(a->words, ==, TOKENS);
		whole++;
	}
	return whole;
}

/* Callers of the lost entry get the rest of their answers from another. */
static void resume_load(struct rig *g, struct load *l, unsigned lost)
{
	for (unsigned i = 0; i < CALLS; i++) {
		struct ask *a = l->asks[i];

		if (l->entry[i] != lost)
			continue;
		ask_resume(a, g->nodes[(lost + 1) % NODES].port, "key-recif");
		ask_read(a, TOKENS + 1);
		g_assert_false(a->mismatch);
		g_assert_true(a->done);
		g_assert_cmpint(a->words, ==, TOKENS);
	}
}

static void free_load(struct load *l)
{
	for (unsigned i = 0; i < CALLS; i++)
		ask_free(l->asks[i]);
}

static void kill_node(struct rig *g, unsigned i)
{
	proc_signal(&g->nodes[i], SIGKILL);
	proc_wait(&g->nodes[i]);
}

/* Each service: answers in progress through the admitting node it kills. */
static void check_killed(struct rig *g, const char *service)
{
	struct load l;
	unsigned lost = admitter(g);
	int64_t before = rig_engine_runs(g);

	open_load(g, &l, service, BEGUN);
	kill_node(g, lost);
	g_assert_cmpuint(read_load(&l, lost), ==, CALLS - CALLS / NODES);
	resume_load(g, &l, lost);
	g_assert_cmpint(rig_engine_runs(g) - before, ==, CALLS);
	free_load(&l);
}

static void test_killed(void)
{
	static const char *const services[] = {"assistant", "report"};

	for (size_t i = 0; i < G_N_ELEMENTS(services); i++) {
		struct rig *g = rig_new(1, NODES, NULL);

		rig_start(g);
		check_killed(g, services[i]);
		rig_free(g);
	}
}

/* Answers in progress through a node that freezes go on from the target. */
static void test_frozen_in_progress(void)
{
	struct rig *g = rig_new(1, NODES, NULL);
	struct load l;
	unsigned lost;
	int64_t before;

	rig_start(g);
	lost = admitter(g);
	before = rig_engine_runs(g);
	open_load(g, &l, "report", BEGUN);
	proc_signal(&g->nodes[lost], SIGSTOP);
	g_assert_cmpuint(read_load(&l, lost), ==, CALLS - CALLS / NODES);
	proc_signal(&g->nodes[lost], SIGCONT);
	read_load(&l, NODES);
	g_assert_cmpint(rig_engine_runs(g) - before, ==, CALLS);
	free_load(&l);
	rig_free(g);
}

struct outcomes {
	unsigned whole, not_run, unknown;
};

static struct outcomes count_outcomes(struct load *l, unsigned lost)
{
	struct outcomes o = {0};

	for (unsigned i = 0; i < CALLS; i++) {
		struct ask *a = l->asks[i];
		const char *told;

		if (l->entry[i] == lost)
			continue;
		ask_read(a, TOKENS + 1);
		g_assert_false(a->mismatch);
		told = a->outcome ? a->outcome
				  : pull_header(a->pull, "Ramp-Outcome");
		if (a->done) {
			g_assert_cmpint(a->words, ==, TOKENS);
			o.whole++;
		} else if (!g_strcmp0(told, "not-run")) {
			g_assert_cmpint(a->words, ==, 0);
			o.not_run++;
		} else {
			g_assert_cmpstr(told, ==, "unknown");
			o.unknown++;
		}
	}
	return o;
}

/* Ask anew what was truly not run, until all is whole. */
static void ask_again(struct rig *g, struct load *l)
{
	for (unsigned i = 0; i < CALLS; i++) {
		int64_t until = time_mono_ms() + WAIT_MS;

		while (!l->asks[i]->done) {
			char *question = g_strdup_printf("again %u", i);

			g_assert_cmpint(time_mono_ms(), <, until);
			ask_free(l->asks[i]);
			l->asks[i] = ask_open(g->nodes[l->entry[i]].port,
					      "assistant", question, TOKENS);
			ask_read(l->asks[i], TOKENS + 1);
			g_assert_false(l->asks[i]->mismatch);
			g_free(question);
		}
	}
}

/* Work for the nodes but one. */
static void open_others(struct rig *g, struct load *l, const char *service,
			unsigned lost)
{
	for (unsigned i = 0; i < CALLS; i++) {
		char *question = g_strdup_printf("%s %u", service, i);

		l->entry[i] = (lost + 1 + i % (NODES - 1)) % NODES;
		l->asks[i] = ask_open(g->nodes[l->entry[i]].port, service,
				      question, TOKENS);
		g_free(question);
	}
}

/* The list goes on naming the dead node for ten seconds. */
static void test_killed_list_late(void)
{
	struct rig *g = rig_new(1, NODES, NULL);
	struct outcomes o;
	struct load l;
	unsigned lost;
	int64_t before;

	rig_start(g);
	lost = admitter(g);
	before = rig_engine_runs(g);
	/* So that the list of then names all that runs. */
	g_usleep(LAG_MS * 1000);
	proc_set_faults(&g->platform, "{\"lag_ms\":10000}");
	kill_node(g, lost);
	rig_publish_instances(g);
	open_others(g, &l, "assistant", lost);
	o = count_outcomes(&l, lost);
	g_test_message("%u whole, %u not run, %u unknown", o.whole, o.not_run,
		       o.unknown);
	g_assert_cmpuint(o.whole + o.not_run, ==, CALLS);
	g_assert_cmpint(rig_engine_runs(g) - before, ==, o.whole);
	ask_again(g, &l);
	g_assert_cmpint(rig_engine_runs(g) - before, ==, CALLS);
	free_load(&l);
	rig_free(g);
}

/*
 * New work while the admitting node is frozen. What was sent to it may yet run
 * there: calls that may not run twice are told so, and none runs twice, also
 * after the node goes on.
 */
static void check_frozen(const char *service, bool idempotent)
{
	struct rig *g = rig_new(1, NODES, NULL);
	struct load l;
	struct outcomes o;
	unsigned lost, asked;
	int64_t before, runs;

	rig_start(g);
	lost = admitter(g);
	before = rig_engine_runs(g);
	proc_signal(&g->nodes[lost], SIGSTOP);
	open_others(g, &l, service, lost);
	o = count_outcomes(&l, lost);
	asked = o.whole + o.not_run + o.unknown;
	proc_signal(&g->nodes[lost], SIGCONT);
	WAIT_UNTIL(proc_metric(&g->nodes[lost], "ramp_requests_running") == 0);
	runs = rig_engine_runs(g) - before;
	g_test_message("%s: %u whole, %u not run, %u unknown, %" G_GINT64_FORMAT
		       " runs",
		       service, o.whole, o.not_run, o.unknown, runs);
	g_assert_cmpuint(asked, ==, CALLS);
	if (idempotent)
		g_assert_cmpuint(o.whole + o.not_run, ==, CALLS);
	g_assert_cmpint(runs, <=, o.whole + o.unknown);
	g_assert_cmpint(runs, >=, o.whole);
	free_load(&l);
	rig_free(g);
}

static void test_frozen_new(void)
{
	check_frozen("assistant", true);
	check_frozen("report", false);
}

/* Each node is seen by the others at a relay's address, which can be cut. */
static struct rig *rig_behind(struct tcp_proxy **proxies)
{
	struct rig *g = rig_new(1, NODES, NULL);

	for (unsigned i = 0; i < NODES; i++) {
		proxies[i] = tcp_proxy_new(0);
		g_free(g->extra_settings);
		g->extra_settings =
			g_strdup_printf("[node]\nadvertise = 127.0.0.1:%d\n",
					tcp_proxy_port(proxies[i]));
		rig_start_node(g, i);
		tcp_proxy_set_port(proxies[i], g->nodes[i].port);
	}
	return g;
}

/* The admitting node, once the other nodes reach it through its relay. */
static unsigned admitter_behind(struct rig *g, struct tcp_proxy **proxies)
{
	unsigned to = admitter(g);
	int64_t until = time_mono_ms() + WAIT_MS;

	for (unsigned i = 1; i < NODES; i++) {
		int before = tcp_proxy_connections(proxies[to]);

		while (tcp_proxy_connections(proxies[to]) == before) {
			struct ask *a =
				ask_open(g->nodes[(to + i) % NODES].port,
					 "report", "by the relay", BEGUN);

			g_assert_cmpint(time_mono_ms(), <, until);
			ask_read(a, BEGUN + 1);
			ask_free(a);
		}
	}
	return to;
}

static void free_holes(struct tcp_proxy **proxies)
{
	for (unsigned i = 0; i < NODES; i++)
		tcp_proxy_free(proxies[i]);
}

/* Connections between the nodes go silent in the middle of answers. */
static void test_cut_silent(void)
{
	struct tcp_proxy *proxies[NODES];
	struct rig *g = rig_behind(proxies);
	unsigned to = admitter_behind(g, proxies);
	int64_t before = rig_engine_runs(g);
	int seen = tcp_proxy_connections(proxies[to]);
	struct load l;

	open_load(g, &l, "report", BEGUN);
	g_assert_cmpint(tcp_proxy_connections(proxies[to]), >, seen);
	tcp_proxy_set_mode(proxies[to], TCP_PROXY_BLACKHOLE);
	g_assert_cmpuint(read_load(&l, NODES), ==, CALLS);
	g_assert_cmpint(rig_engine_runs(g) - before, ==, CALLS);
	free_load(&l);
	rig_free(g);
	free_holes(proxies);
}

/*
 * Requests reach the admitting node, but every answer ends the connection: the
 * work runs once and its answer is fetched from the target.
 */
static void check_cut_answers(const char *service)
{
	struct tcp_proxy *proxies[NODES];
	struct rig *g = rig_behind(proxies);
	unsigned to = admitter_behind(g, proxies);
	int64_t before = rig_engine_runs(g);
	int seen = tcp_proxy_connections(proxies[to]);
	struct outcomes o;
	struct load l;

	tcp_proxy_set_mode(proxies[to], TCP_PROXY_CUT_RESPONSES);
	open_load(g, &l, service, 0);
	o = count_outcomes(&l, NODES);
	g_test_message("%s: %u whole, %u not run, %u unknown, %" G_GINT64_FORMAT
		       " runs, %d connections",
		       service, o.whole, o.not_run, o.unknown,
		       rig_engine_runs(g) - before,
		       tcp_proxy_connections(proxies[to]) - seen);
	g_assert_cmpint(tcp_proxy_connections(proxies[to]), >, seen);
	g_assert_cmpuint(o.whole + o.not_run + o.unknown, ==, CALLS);
	g_assert_cmpint(rig_engine_runs(g) - before, <=, o.whole + o.unknown);
	g_assert_cmpint(rig_engine_runs(g) - before, >=, o.whole);
	free_load(&l);
	rig_free(g);
	free_holes(proxies);
}

static void test_cut_answers(void)
{
	check_cut_answers("assistant");
	check_cut_answers("report");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	g_test_add_func("/cut/killed", test_killed);
	g_test_add_func("/cut/killed-list-late", test_killed_list_late);
	g_test_add_func("/cut/frozen-in-progress", test_frozen_in_progress);
	g_test_add_func("/cut/frozen-new", test_frozen_new);
	g_test_add_func("/cut/silent", test_cut_silent);
	g_test_add_func("/cut/answers", test_cut_answers);
	return g_test_run();
}
