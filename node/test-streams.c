/*
 * Streamed answers while entries, engines and connections fail, with real
 * processes. The caller must get each token exactly once, or an outcome that
 * says truthfully whether the request ran.
 */
#include <curl/curl.h>
#include <signal.h>
#include <string.h>

#include "node/test-harness.h"

#define TOKENS     150
#define FEW_TOKENS 20
/* Silence timeout in ms: far below WAIT_MS, but no false ones under load. */
#define SETTINGS "[streams]\nsilence = 1000\n"

static struct rig *start_rig(unsigned engines, unsigned nodes)
{
	struct rig *g = rig_new(engines, nodes, SETTINGS);

	rig_start(g);
	return g;
}

static void assert_complete(const struct chat_stream *a, int64_t tokens)
{
	g_assert_false(a->mismatch);
	g_assert_cmpstr(a->outcome, ==, NULL);
	g_assert_true(a->done);
	g_assert_cmpint(a->words, ==, tokens);
}

/* The entry is killed in mid-answer; another one delivers the rest. */
static void test_entry_killed(void)
{
	struct rig *g = start_rig(2, 2);
	struct chat_stream *a =
		chat_stream_open(g->nodes[0].port, "assistant", "one", TOKENS);

	chat_stream_read(a, FEW_TOKENS);
	g_assert_cmpint(a->words, ==, FEW_TOKENS);
	proc_signal(&g->nodes[0], SIGKILL);
	proc_wait(&g->nodes[0]);
	chat_stream_read(a, TOKENS); /* bytes already in transit */
	chat_stream_resume(a, g->nodes[1].port, "key-recif");
	g_assert_cmpint(a->status, ==, 200);
	chat_stream_read(a, TOKENS + 1);
	assert_complete(a, TOKENS);
	g_assert_cmpint(rig_engine_runs(g), ==, 1);
	chat_stream_free(a);
	rig_free(g);
}

/*
 * The entry is suspended, the caller resumes at another entry, and the first
 * one continues. It finds its caller gone, but must not cancel the answer,
 * which the other entry now reads.
 */
static void test_entry_frozen(void)
{
	struct rig *g = start_rig(1, 2);
	struct chat_stream *a = chat_stream_open(g->nodes[0].port, "assistant",
						 "two", 5 * TOKENS);

	chat_stream_read(a, FEW_TOKENS);
	proc_signal(&g->nodes[0], SIGSTOP);
	chat_stream_resume(a, g->nodes[1].port, "key-recif");
	chat_stream_read(a, a->words + FEW_TOKENS);
	proc_signal(&g->nodes[0], SIGCONT);
	WAIT_UNTIL(rig_count_logged(g, &g->nodes[0], "caller_left") == 1);
	chat_stream_read(a, 5 * TOKENS + 1);
	assert_complete(a, 5 * TOKENS);
	g_assert_cmpint(rig_engine_runs(g), ==, 1);
	g_assert_cmpint(rig_engine_cancellations(g), ==, 0);
	chat_stream_free(a);
	rig_free(g);
}

/* Faults that the entry hides: the answer is complete and ran once. */
static void test_engine_faults(void)
{
	static const struct {
		const char *faults;
		const char *logged; /* event, at least once */
	} cases[] = {
		{"{\"silent\":1,\"silent_at\":10}", "stream_resumed"},
		{"{\"silent\":2,\"silent_at\":0}", "stream_resumed"},
		{"{\"lose\":1}", "stream_resumed"},
		{"{\"cross\":1}", "answer_crossed"},
		{"{\"slow\":20}", NULL},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct rig *g = start_rig(1, 1);
		struct chat_stream *a;

		proc_set_faults(&g->engines[0], cases[i].faults);
		a = chat_stream_open(g->nodes[0].port, "report", "three",
				     FEW_TOKENS);
		g_assert_cmpint(a->status, ==, 200);
		chat_stream_read(a, FEW_TOKENS + 1);
		assert_complete(a, FEW_TOKENS);
		g_assert_cmpint(rig_engine_runs(g), ==, 1);
		if (cases[i].logged)
			g_assert_cmpint(rig_count_logged(g, &g->nodes[0],
							 cases[i].logged),
					>=, 1);
		chat_stream_free(a);
		rig_free(g);
	}
}

/* One engine refuses or is down: the other one runs each request once. */
static void test_engine_refuses(void)
{
	static const char *const faults[] = {"{\"fail\":1000}",
					     "{\"down\":true}"};

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct rig *g = start_rig(2, 1);

		proc_set_faults(&g->engines[0], faults[i]);
		for (int k = 0; k < 8; k++) {
			char *question = g_strdup_printf("four %d", k);
			struct chat_stream *a =
				chat_stream_open(g->nodes[0].port, "report",
						 question, FEW_TOKENS);

			chat_stream_read(a, FEW_TOKENS + 1);
			assert_complete(a, FEW_TOKENS);
			chat_stream_free(a);
			g_free(question);
		}
		g_assert_cmpint(rig_engine_runs(g), ==, 8);
		rig_free(g);
	}
}

/*
 * The engine accepts the request, its response is lost, and it refuses all
 * requests from then on. The refusal does not prove that the request did not
 * run: the outcome is unknown, and the other engine must not run it.
 */
static void test_engine_vanishes(void)
{
	static const char *const headers[] = {"Authorization: Bearer key-recif",
					      NULL};
	struct rig *g = start_rig(2, 1);
	struct reply r;

	proc_set_faults(&g->engines[0], "{\"vanish\":1}");
	proc_set_faults(&g->engines[1], "{\"vanish\":1}");
	r = call_local(g->nodes[0].port, "POST", "/v1/chat/completions",
		       headers,
		       "{\"model\":\"report\",\"messages\":"
		       "[{\"role\":\"user\",\"content\":\"lost\"}]}");
	g_assert_cmpint(r.status, ==, 502);
	g_assert_cmpstr(r.outcome, ==, "unknown");
	g_assert_cmpint(rig_engine_runs(g), ==, 1);
	reply_clear(&r);
	rig_free(g);
}

/* All engines refuse: the outcome is not-run, with a Retry-After. */
static void test_all_down(void)
{
	static const char *const headers[] = {"Authorization: Bearer key-recif",
					      NULL};
	struct rig *g = start_rig(2, 1);
	struct reply r;

	proc_set_faults(&g->engines[0], "{\"down\":true}");
	proc_set_faults(&g->engines[1], "{\"fail\":1000}");
	r = call_local(g->nodes[0].port, "POST", "/v1/chat/completions",
		       headers,
		       "{\"model\":\"assistant\",\"messages\":"
		       "[{\"role\":\"user\",\"content\":\"five\"}]}");
	g_assert_cmpint(r.status, ==, 503);
	g_assert_cmpstr(r.outcome, ==, "not-run");
	g_assert_nonnull(r.retry_after);
	g_assert_cmpint(rig_engine_runs(g), ==, 0);
	g_assert_cmpint(rig_engine_cancellations(g), ==, 0);
	reply_clear(&r);
	rig_free(g);
}

/* The connection to the engine gets into the mode; a new one works. */
static void check_stalled(enum tcp_proxy_mode mode)
{
	struct rig *g = rig_new(1, 1, SETTINGS);
	struct tcp_proxy *proxy = tcp_proxy_new(g->engines[0].port);
	struct chat_stream *a;

	g->engines[0].advertised_port = tcp_proxy_port(proxy);
	rig_start(g);
	a = chat_stream_open(g->nodes[0].port, "report", "six", TOKENS);
	chat_stream_read(a, FEW_TOKENS);
	tcp_proxy_set_mode(proxy, mode);
	chat_stream_read(a, TOKENS + 1);
	assert_complete(a, TOKENS);
	g_assert_cmpint(rig_engine_runs(g), ==, 1);
	g_assert_cmpint(rig_count_logged(g, &g->nodes[0], "stream_resumed"), >=,
			1);
	chat_stream_free(a);
	rig_free(g);
	tcp_proxy_free(proxy);
}

static void test_blackhole(void)
{
	check_stalled(TCP_PROXY_BLACKHOLE);
}

/* Bytes that complete no event keep a stalled stream waiting. */
static void test_trickle(void)
{
	check_stalled(TCP_PROXY_TRICKLE);
}

/* Return the engine that has begun to run a request. */
static struct proc *find_busy_engine(struct rig *g)
{
	for (unsigned i = 0; i < g->engine_count; i++) {
		json_t *counts =
			get_local_json(g->engines[i].port, "/standin/counts");
		int64_t runs =
			json_integer_value(json_object_get(counts, "runs"));

		json_decref(counts);
		if (runs)
			return &g->engines[i];
	}
	g_assert_not_reached();
}

/*
 * The engine is killed in mid-answer. Only an idempotent request runs again on
 * the other engine, if that has the same version, and the caller gets the rest
 * only if the new answer repeats the words already delivered.
 */
static void test_engine_killed(void)
{
	static const struct {
		const char *service;
		const char *other_version; /* of the other engine's software */
		int runs;                  /* at the other engine */
		bool other_differs; /* the other engine gives another answer */
		bool complete;
	} cases[] = {
		{"assistant", "v1", 1, false, true},
		{"assistant", "v1", 1, true, false},
		{"assistant", "v2", 0, false, false},
		{"report", "v1", 0, false, false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct rig *g = rig_new(2, 1, SETTINGS);
		struct chat_stream *a;
		struct proc *busy;

		g->engines[0].version = "v1";
		g->engines[1].version = cases[i].other_version;
		rig_start(g);
		a = chat_stream_open(g->nodes[0].port, cases[i].service,
				     "seven", TOKENS);
		chat_stream_read(a, FEW_TOKENS);
		busy = find_busy_engine(g);
		for (unsigned k = 0; k < 2 && cases[i].other_differs; k++) {
			if (&g->engines[k] != busy)
				proc_set_faults(&g->engines[k],
						"{\"differ\":true}");
		}
		proc_signal(busy, SIGKILL);
		proc_wait(busy);
		chat_stream_read(a, TOKENS + 1);
		if (cases[i].complete) {
			assert_complete(a, TOKENS);
		} else {
			g_assert_false(a->mismatch);
			g_assert_false(a->done);
			g_assert_cmpstr(a->outcome, ==, "unknown");
		}
		/* Runs at the killed engine no longer count. */
		g_assert_cmpint(rig_engine_runs(g), ==, cases[i].runs);
		chat_stream_free(a);
		rig_free(g);
	}
}

/*
 * The engine is killed in mid-answer, then the entry. The resume token that
 * arrived within the stream must lead another entry to the second engine.
 */
static void test_engine_and_entry_killed(void)
{
	struct rig *g = start_rig(2, 2);
	struct chat_stream *a = chat_stream_open(g->nodes[0].port, "assistant",
						 "both", 5 * TOKENS);
	char *original_token = g_strdup(a->resume_token);
	struct proc *busy, *other;

	chat_stream_read(a, FEW_TOKENS);
	busy = find_busy_engine(g);
	other = busy == &g->engines[0] ? &g->engines[1] : &g->engines[0];
	/* Still generating when the entry is killed. */
	proc_set_faults(other, "{\"slow\":20}");
	proc_signal(busy, SIGKILL);
	proc_wait(busy);
	while (!strcmp(a->resume_token, original_token)) {
		int64_t words_before = a->words;

		chat_stream_read(a, words_before + 1);
		g_assert_cmpint(a->words, ==, words_before + 1);
	}
	proc_signal(&g->nodes[0], SIGKILL);
	proc_wait(&g->nodes[0]);
	chat_stream_read(a, 5 * TOKENS); /* bytes already in transit */
	g_assert_cmpint(a->words, <, 5 * TOKENS);
	proc_set_faults(other, "{\"slow\":1}");
	chat_stream_resume(a, g->nodes[1].port, "key-recif");
	g_assert_cmpint(a->status, ==, 200);
	chat_stream_read(a, 5 * TOKENS + 1);
	assert_complete(a, 5 * TOKENS);
	g_assert_cmpint(rig_engine_runs(g), ==, 1);
	g_free(original_token);
	chat_stream_free(a);
	rig_free(g);
}

/* The engine's work is cancelled when the caller disconnects. */
static void test_caller_leaves(void)
{
	struct rig *g = start_rig(1, 1);
	struct chat_stream *a = chat_stream_open(g->nodes[0].port, "assistant",
						 "eight", 100 * TOKENS);

	chat_stream_read(a, FEW_TOKENS);
	chat_stream_close(a);
	WAIT_UNTIL(rig_engine_cancellations(g) == 1);
	chat_stream_free(a);
	rig_free(g);
}

/* The caller disconnects before the engine's first token. */
static void test_caller_leaves_early(void)
{
	struct rig *g = start_rig(1, 1);
	struct chat_stream *a;

	proc_set_faults(&g->engines[0], "{\"slow\":1000000}");
	a = chat_stream_open(g->nodes[0].port, "assistant", "early", TOKENS);
	g_assert_cmpint(a->status, ==, 200);
	chat_stream_close(a);
	WAIT_UNTIL(rig_engine_cancellations(g) == 1);
	chat_stream_free(a);
	rig_free(g);
}

static int resume_status(struct chat_stream *a, int port, const char *key,
			 char **outcome)
{
	char *auth = g_strdup_printf("Authorization: Bearer %s", key);
	const char *headers[] = {auth, NULL};
	char *path = g_strdup_printf("/v1/streams/%s", a->resume_token);
	struct reply r = call_local(port, "GET", path, headers, NULL);
	int status = r.status;

	*outcome = g_strdup(r.outcome);
	reply_clear(&r);
	g_free(path);
	g_free(auth);
	return status;
}

/*
 * Only the organisation that made the request may resume it, and only with an
 * untampered token. A refusal must not claim that the work did not run.
 */
static void test_resume_refused(void)
{
	struct rig *g = start_rig(1, 1);
	int port = g->nodes[0].port;
	struct chat_stream *a =
		chat_stream_open(port, "assistant", "nine", FEW_TOKENS);
	char *outcome;

	chat_stream_read(a, FEW_TOKENS + 1);
	g_assert_cmpint(resume_status(a, port, "key-ferreyra", &outcome), ==,
			403);
	g_assert_cmpstr(outcome, ==, "unknown");
	g_free(outcome);
	g_assert_cmpint(resume_status(a, port, "key-none", &outcome), ==, 401);
	g_free(outcome);
	g_assert_cmpint(resume_status(a, port, "key-recif", &outcome), ==, 200);
	g_free(outcome);
	a->resume_token[5] = a->resume_token[5] == 'A' ? 'B' : 'A';
	g_assert_cmpint(resume_status(a, port, "key-recif", &outcome), ==, 403);
	g_free(outcome);
	chat_stream_free(a);
	rig_free(g);
}

/* The engine no longer has the answer: its outcome is unknown. */
static void test_resume_unknown(void)
{
	struct rig *g = start_rig(1, 1);
	int port = g->nodes[0].port;
	struct chat_stream *a =
		chat_stream_open(port, "assistant", "ten", 100 * TOKENS);
	char *outcome;

	chat_stream_read(a, FEW_TOKENS);
	chat_stream_close(a);
	WAIT_UNTIL(rig_engine_cancellations(g) == 1);
	g_assert_cmpint(resume_status(a, port, "key-recif", &outcome), ==, 502);
	g_assert_cmpstr(outcome, ==, "unknown");
	g_free(outcome);
	chat_stream_free(a);
	rig_free(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	g_test_add_func("/streams/entry-killed", test_entry_killed);
	g_test_add_func("/streams/entry-frozen", test_entry_frozen);
	g_test_add_func("/streams/engine-faults", test_engine_faults);
	g_test_add_func("/streams/engine-refuses", test_engine_refuses);
	g_test_add_func("/streams/engine-vanishes", test_engine_vanishes);
	g_test_add_func("/streams/all-down", test_all_down);
	g_test_add_func("/streams/blackhole", test_blackhole);
	g_test_add_func("/streams/trickle", test_trickle);
	g_test_add_func("/streams/engine-killed", test_engine_killed);
	g_test_add_func("/streams/engine-and-entry-killed",
			test_engine_and_entry_killed);
	g_test_add_func("/streams/caller-leaves", test_caller_leaves);
	g_test_add_func("/streams/caller-leaves-early",
			test_caller_leaves_early);
	g_test_add_func("/streams/resume-refused", test_resume_refused);
	g_test_add_func("/streams/resume-unknown", test_resume_unknown);
	return g_test_run();
}
