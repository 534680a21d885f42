/*
 * Faults between nodes: the admitting node is killed or suspended, or the
 * connections to it fail. Every answer must be complete or have a truthful
 * outcome, and no request may run more often than its outcome allows.
 */
#include <curl/curl.h>
#include <signal.h>
#include <string.h>

#include "node/test-harness.h"

#define NODES        3
#define TOKENS       150
#define CALLS        12
#define LIST_LAG_MS  10000 /* of the instance list, as "lag_ms" below */
#define FIRST_TOKENS 3     /* words read of each answer before the fault */

/* Concurrent requests of a test. */
struct load {
	struct chat_stream *streams[CALLS];
	unsigned
		entry_node[CALLS]; /* index of the node that each was sent to */
};

/* Send requests to all nodes in turn and read this many words of each. */
static void open_load(struct rig *g, struct load *l, const char *service,
		      int64_t first_tokens)
{
	for (unsigned i = 0; i < CALLS; i++) {
		char *question = g_strdup_printf("cut %s %u", service, i);

		l->entry_node[i] = i % NODES;
		l->streams[i] =
			chat_stream_open(g->nodes[l->entry_node[i]].port,
					 service, question, TOKENS);
		if (first_tokens)
			chat_stream_read(l->streams[i], first_tokens);
		g_free(question);
	}
}

/* Return the index of the node that admits a new chat; NODES when none does. */
static unsigned admit_chat(struct rig *g)
{
	int64_t before[NODES];
	unsigned admitting = NODES;
	struct chat_stream *a;

	for (unsigned i = 0; i < NODES; i++)
		before[i] = proc_metric(&g->nodes[i], "ramp_admissions_total");
	a = chat_stream_open(g->nodes[0].port, "assistant", "who admits",
			     FIRST_TOKENS);
	chat_stream_read(a, FIRST_TOKENS + 1);
	g_assert_true(a->done);
	chat_stream_free(a);
	for (unsigned i = 0; i < NODES; i++)
		if (proc_metric(&g->nodes[i], "ramp_admissions_total") >
		    before[i])
			admitting = i;
	return admitting;
}

/*
 * Return the index of the node that admits to the single engine, once the nodes
 * that started one after the other have seen each other: before that each
 * admits by itself.
 */
static unsigned find_admitting_node(struct rig *g)
{
	unsigned admitting;

	for (unsigned i = 0; i < NODES; i++)
		WAIT_UNTIL(rig_count_logged(g, &g->nodes[i], "node_seen") >=
			   NODES);
	WAIT_UNTIL((admitting = admit_chat(g)) < NODES);
	return admitting;
}

/*
 * Read all answers but those whose entry is the faulty node. Each must be
 * complete, with every word once. Return how many were read.
 */
static unsigned read_complete(struct load *l, unsigned faulty)
{
	unsigned complete = 0;

	for (unsigned i = 0; i < CALLS; i++) {
		struct chat_stream *a = l->streams[i];

		if (l->entry_node[i] == faulty)
			continue;
		chat_stream_read(a, TOKENS + 1);
		g_assert_cmpint(a->status, ==, 200);
		g_assert_false(a->mismatch);
		g_assert_true(a->done);
		g_assert_cmpint(a->words, ==, TOKENS);
		complete++;
	}
	return complete;
}

/* Resume the answers of the faulty entry at another one. */
static void resume_complete(struct rig *g, struct load *l, unsigned faulty)
{
	for (unsigned i = 0; i < CALLS; i++) {
		struct chat_stream *a = l->streams[i];

		if (l->entry_node[i] != faulty)
			continue;
		chat_stream_resume(a, g->nodes[(faulty + 1) % NODES].port,
				   "key-recif");
		chat_stream_read(a, TOKENS + 1);
		g_assert_false(a->mismatch);
		g_assert_true(a->done);
		g_assert_cmpint(a->words, ==, TOKENS);
	}
}

static void free_load(struct load *l)
{
	for (unsigned i = 0; i < CALLS; i++)
		chat_stream_free(l->streams[i]);
}

static void kill_node(struct rig *g, unsigned i)
{
	proc_signal(&g->nodes[i], SIGKILL);
	proc_wait(&g->nodes[i]);
}

/* The admitting node is killed while answers pass through it. */
static void check_admitter_killed(struct rig *g, const char *service)
{
	struct load l;
	unsigned faulty = find_admitting_node(g);
	int64_t runs_before = rig_engine_runs(g);

	open_load(g, &l, service, FIRST_TOKENS);
	kill_node(g, faulty);
	g_assert_cmpuint(read_complete(&l, faulty), ==, CALLS - CALLS / NODES);
	resume_complete(g, &l, faulty);
	g_assert_cmpint(rig_engine_runs(g) - runs_before, ==, CALLS);
	free_load(&l);
}

static void test_killed(void)
{
	static const char *const services[] = {"assistant", "report"};

	for (size_t i = 0; i < G_N_ELEMENTS(services); i++) {
		struct rig *g = rig_new(1, NODES, NULL);

		rig_start(g);
		check_admitter_killed(g, services[i]);
		rig_free(g);
	}
}

/*
 * The admitting node is suspended while answers pass through it: the entries
 * read the rest from the target itself.
 */
static void test_frozen_in_progress(void)
{
	struct rig *g = rig_new(1, NODES, NULL);
	struct load l;
	unsigned faulty;
	int64_t runs_before;

	rig_start(g);
	faulty = find_admitting_node(g);
	runs_before = rig_engine_runs(g);
	open_load(g, &l, "report", FIRST_TOKENS);
	proc_signal(&g->nodes[faulty], SIGSTOP);
	g_assert_cmpuint(read_complete(&l, faulty), ==, CALLS - CALLS / NODES);
	proc_signal(&g->nodes[faulty], SIGCONT);
	read_complete(&l, NODES);
	g_assert_cmpint(rig_engine_runs(g) - runs_before, ==, CALLS);
	free_load(&l);
	rig_free(g);
}

struct outcomes {
	unsigned complete, not_run, unknown;
};

/*
 * Read all answers but those whose entry is the faulty node, and count their
 * outcomes. One that did not run must not have delivered a word.
 */
static struct outcomes count_outcomes(struct load *l, unsigned faulty)
{
	struct outcomes o = {0};

	for (unsigned i = 0; i < CALLS; i++) {
		struct chat_stream *a = l->streams[i];
		const char *outcome;

		if (l->entry_node[i] == faulty)
			continue;
		chat_stream_read(a, TOKENS + 1);
		g_assert_false(a->mismatch);
		outcome = a->outcome ? a->outcome
				     : http_call_header(a->http_call,
							"Ramp-Outcome");
		if (a->done) {
			g_assert_cmpint(a->words, ==, TOKENS);
			o.complete++;
		} else if (!g_strcmp0(outcome, "not-run")) {
			g_assert_cmpint(a->words, ==, 0);
			o.not_run++;
		} else {
			g_assert_cmpstr(outcome, ==, "unknown");
			o.unknown++;
		}
	}
	return o;
}

/* Repeat the requests that did not run until all answers are complete. */
static void retry_not_run(struct rig *g, struct load *l)
{
	for (unsigned i = 0; i < CALLS; i++) {
		int64_t until = time_mono_ms() + WAIT_MS;

		while (!l->streams[i]->done) {
			char *question = g_strdup_printf("again %u", i);

			g_assert_cmpint(time_mono_ms(), <, until);
			chat_stream_free(l->streams[i]);
			l->streams[i] = chat_stream_open(
				g->nodes[l->entry_node[i]].port, "assistant",
				question, TOKENS);
			chat_stream_read(l->streams[i], TOKENS + 1);
			g_assert_false(l->streams[i]->mismatch);
			g_free(question);
		}
	}
}

/* Spread requests over all nodes but the faulty one. */
static void open_load_at_others(struct rig *g, struct load *l,
				const char *service, unsigned faulty)
{
	for (unsigned i = 0; i < CALLS; i++) {
		char *question = g_strdup_printf("%s %u", service, i);

		l->entry_node[i] = (faulty + 1 + i % (NODES - 1)) % NODES;
		l->streams[i] =
			chat_stream_open(g->nodes[l->entry_node[i]].port,
					 service, question, TOKENS);
		g_free(question);
	}
}

/*
 * New requests while the instance list still has the killed admitting node.
 * Each one runs once or is reported as not-run.
 */
static void test_killed_list_late(void)
{
	struct rig *g = rig_new(1, NODES, NULL);
	struct outcomes o;
	struct load l;
	unsigned faulty;
	int64_t runs_before;

	rig_start(g);
	faulty = find_admitting_node(g);
	runs_before = rig_engine_runs(g);
	/* The lagging list must contain all nodes that run now. */
	g_usleep(LIST_LAG_MS * 1000);
	proc_set_faults(&g->platform, "{\"lag_ms\":10000}");
	kill_node(g, faulty);
	rig_publish(g);
	open_load_at_others(g, &l, "assistant", faulty);
	o = count_outcomes(&l, faulty);
	g_test_message("%u complete, %u not run, %u unknown", o.complete,
		       o.not_run, o.unknown);
	g_assert_cmpuint(o.complete + o.not_run, ==, CALLS);
	g_assert_cmpint(rig_engine_runs(g) - runs_before, ==, o.complete);
	retry_not_run(g, &l);
	g_assert_cmpint(rig_engine_runs(g) - runs_before, ==, CALLS);
	free_load(&l);
	rig_free(g);
}

/*
 * New requests while the admitting node is suspended. What was forwarded to it
 * may still run there later: a request that is not idempotent then has the
 * outcome unknown. None runs twice, not even after the node continues.
 */
static void check_new_work_while_suspended(const char *service, bool idempotent)
{
	struct rig *g = rig_new(1, NODES, NULL);
	struct load l;
	struct outcomes o;
	unsigned faulty, total;
	int64_t runs_before, runs;

	rig_start(g);
	faulty = find_admitting_node(g);
	runs_before = rig_engine_runs(g);
	proc_signal(&g->nodes[faulty], SIGSTOP);
	open_load_at_others(g, &l, service, faulty);
	o = count_outcomes(&l, faulty);
	total = o.complete + o.not_run + o.unknown;
	proc_signal(&g->nodes[faulty], SIGCONT);
	WAIT_UNTIL(proc_metric(&g->nodes[faulty], "ramp_requests_running") ==
		   0);
	runs = rig_engine_runs(g) - runs_before;
	g_test_message(
		"%s: %u complete, %u not run, %u unknown, %" G_GINT64_FORMAT
		" runs",
		service, o.complete, o.not_run, o.unknown, runs);
	g_assert_cmpuint(total, ==, CALLS);
	if (idempotent)
		g_assert_cmpuint(o.complete + o.not_run, ==, CALLS);
	g_assert_cmpint(runs, <=, o.complete + o.unknown);
	g_assert_cmpint(runs, >=, o.complete);
	free_load(&l);
	rig_free(g);
}

static void test_frozen_new(void)
{
	check_new_work_while_suspended("assistant", true);
	check_new_work_while_suspended("report", false);
}

/* Each node advertises the address of a TCP proxy in front of it. */
static struct rig *start_rig_with_proxies(struct tcp_proxy **proxies)
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

/*
 * Return the index of the admitting node, once every other node has connected
 * to it through its proxy.
 */
static unsigned find_admitting_node_by_proxy(struct rig *g,
					     struct tcp_proxy **proxies)
{
	unsigned admitting = find_admitting_node(g);
	int64_t until = time_mono_ms() + WAIT_MS;

	for (unsigned i = 1; i < NODES; i++) {
		int connections_before =
			tcp_proxy_connections(proxies[admitting]);

		while (tcp_proxy_connections(proxies[admitting]) ==
		       connections_before) {
			struct chat_stream *a = chat_stream_open(
				g->nodes[(admitting + i) % NODES].port,
				"report", "by the relay", FIRST_TOKENS);

			g_assert_cmpint(time_mono_ms(), <, until);
			chat_stream_read(a, FIRST_TOKENS + 1);
			chat_stream_free(a);
		}
	}
	return admitting;
}

static void free_proxies(struct tcp_proxy **proxies)
{
	for (unsigned i = 0; i < NODES; i++)
		tcp_proxy_free(proxies[i]);
}

/* Connections between the nodes are blackholed in mid-answer. */
static void test_cut_silent(void)
{
	struct tcp_proxy *proxies[NODES];
	struct rig *g = start_rig_with_proxies(proxies);
	unsigned admitting = find_admitting_node_by_proxy(g, proxies);
	int64_t runs_before = rig_engine_runs(g);
	int connections_before = tcp_proxy_connections(proxies[admitting]);
	struct load l;

	open_load(g, &l, "report", FIRST_TOKENS);
	g_assert_cmpint(tcp_proxy_connections(proxies[admitting]), >,
			connections_before);
	tcp_proxy_set_mode(proxies[admitting], TCP_PROXY_BLACKHOLE);
	g_assert_cmpuint(read_complete(&l, NODES), ==, CALLS);
	g_assert_cmpint(rig_engine_runs(g) - runs_before, ==, CALLS);
	free_load(&l);
	rig_free(g);
	free_proxies(proxies);
}

/*
 * Requests reach the admitting node, but its responses never arrive. No request
 * may run twice: its answer is fetched from the target.
 */
static void check_cut_answers(const char *service)
{
	struct tcp_proxy *proxies[NODES];
	struct rig *g = start_rig_with_proxies(proxies);
	unsigned admitting = find_admitting_node_by_proxy(g, proxies);
	int64_t runs_before = rig_engine_runs(g);
	int connections_before = tcp_proxy_connections(proxies[admitting]);
	struct outcomes o;
	struct load l;

	tcp_proxy_set_mode(proxies[admitting], TCP_PROXY_CUT_RESPONSES);
	open_load(g, &l, service, 0);
	o = count_outcomes(&l, NODES);
	g_test_message(
		"%s: %u complete, %u not run, %u unknown, %" G_GINT64_FORMAT
		" runs, %d connections",
		service, o.complete, o.not_run, o.unknown,
		rig_engine_runs(g) - runs_before,
		tcp_proxy_connections(proxies[admitting]) - connections_before);
	g_assert_cmpint(tcp_proxy_connections(proxies[admitting]), >,
			connections_before);
	g_assert_cmpuint(o.complete + o.not_run + o.unknown, ==, CALLS);
	g_assert_cmpint(rig_engine_runs(g) - runs_before, <=,
			o.complete + o.unknown);
	g_assert_cmpint(rig_engine_runs(g) - runs_before, >=, o.complete);
	free_load(&l);
	rig_free(g);
	free_proxies(proxies);
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
