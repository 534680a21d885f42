/* Planned stops and rolling replacement of nodes, with real processes. */
#include <curl/curl.h>
#include <signal.h>
#include <string.h>

#include "node/test-harness.h"

#define NODES  3
#define CHATS  16
#define TURNS  4
#define TOKENS 150

/* SIGTERM lets an answer in progress finish; the node exits with status 0. */
static void test_answer_in_progress(void)
{
	struct rig *g = rig_new(1, 1, NULL);
	struct chat_stream *a;

	rig_start(g);
	/* Takes longer than a leaving node keeps serving anyway. */
	a = chat_stream_open(g->nodes[0].port, "assistant", "long", 5 * TOKENS);
	chat_stream_read(a, 1);
	proc_signal(&g->nodes[0], SIGTERM);
	chat_stream_read(a, 5 * TOKENS + 1);
	g_assert_true(a->done);
	g_assert_false(a->mismatch);
	g_assert_cmpint(a->words, ==, 5 * TOKENS);
	g_assert_cmpint(proc_wait(&g->nodes[0]), ==, 0);
	chat_stream_free(a);
	rig_free(g);
}

/*
 * A leaving node keeps serving while callers may still use its address: other
 * nodes learn of it within entries.spread, and callers may use a list of
 * entries for entries.valid after that.
 */
static void test_serves_on(void)
{
	struct rig *g = rig_new(1, 1, NULL);
	int64_t stopped_at_ms;
	struct chat_stream *a;

	rig_start(g);
	stopped_at_ms = time_mono_ms();
	proc_signal(&g->nodes[0], SIGTERM);
	WAIT_UNTIL(rig_count_logged(g, &g->nodes[0], "node_stopping") == 1);
	a = chat_stream_open(g->nodes[0].port, "assistant", "late", 10);
	g_assert_cmpint(a->status, ==, 200);
	chat_stream_read(a, 11);
	g_assert_true(a->done);
	g_assert_cmpint(proc_wait(&g->nodes[0]), ==, 0);
	g_assert_cmpint(time_mono_ms() - stopped_at_ms, >=,
			RIG_ENTRIES_SPREAD_MS + RIG_ENTRIES_VALID_MS);
	chat_stream_free(a);
	rig_free(g);
}

static char *write_chat_file(const struct rig *g)
{
	char *path = g_build_filename(g->dir, "chats.jsonl", NULL);
	GString *lines = g_string_new(NULL);

	for (int chat = 0; chat < CHATS; chat++) {
		g_string_append_printf(lines,
				       "{\"organisation\":\"recif\","
				       "\"chat\":\"c%d\",\"service\":"
				       "\"assistant\",\"turns\":[",
				       chat);
		for (int turn = 0; turn < TURNS; turn++)
			g_string_append_printf(lines, "%s\"question %d of %d\"",
					       turn ? "," : "", turn, chat);
		g_string_append(lines, "]}\n");
	}
	g_assert_true(g_file_set_contents(path, lines->str, -1, NULL));
	g_string_free(lines, TRUE);
	return path;
}

/* A run of the caller stand-in. */
struct caller_run {
	GPtrArray *argv;
	char *totals; /* the line it prints at its end */
	int wait_status;
};

static void *run_caller(void *arg)
{
	struct caller_run *run = arg;
	GError *err = NULL;

	g_spawn_sync(NULL, (char **)run->argv->pdata, NULL, G_SPAWN_DEFAULT,
		     NULL, NULL, &run->totals, NULL, &run->wait_status, &err);
	g_assert_no_error(err);
	return NULL;
}

static GThread *start_caller(struct rig *g, struct caller_run *run)
{
	char *exe = g_file_read_link("/proc/self/exe", NULL);
	char *dir = g_path_get_dirname(exe);

	run->argv = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(run->argv,
			g_build_filename(dir, "../standin/caller", NULL));
	for (int i = 0; i < NODES; i++) {
		g_ptr_array_add(run->argv, g_strdup("-e"));
		g_ptr_array_add(run->argv, g_strdup_printf("127.0.0.1:%d",
							   g->nodes[i].port));
	}
	g_ptr_array_add(run->argv, g_strdup("--until"));
	g_ptr_array_add(run->argv, g_build_filename(g->dir, "enough", NULL));
	g_ptr_array_add(run->argv, write_chat_file(g));
	g_ptr_array_add(run->argv, NULL);
	g_free(exe);
	g_free(dir);
	return g_thread_new("caller", run_caller, run);
}

static void stop_caller(const struct rig *g)
{
	char *path = g_build_filename(g->dir, "enough", NULL);

	g_assert_true(g_file_set_contents(path, "", -1, NULL));
	g_free(path);
}

static int count_logged_by_all(const struct rig *g, const char *event)
{
	int n = 0;

	for (unsigned i = 0; i < g->node_count; i++)
		n += rig_count_logged(g, &g->nodes[i], event);
	return n;
}

/* Stop a node as a deployment does, and start it on a new port. */
static void replace_node(struct rig *g, unsigned i)
{
	g->nodes[i].leaving = true;
	rig_publish(g);
	proc_signal(&g->nodes[i], SIGTERM);
	g_assert_cmpint(proc_wait(&g->nodes[i]), ==, 0);
	rig_start_node(g, i);
}

/*
 * All nodes are replaced one after the other under load. Every answer must be
 * completed by the entry that began it, and no request may run twice.
 */
static void test_rolling(void)
{
	struct rig *g = rig_new(3, NODES, NULL);
	struct caller_run run = {0};
	int asked = 0;
	GThread *thread;

	rig_start(g);
	thread = start_caller(g, &run);
	for (unsigned i = 0; i < NODES; i++)
		replace_node(g, i);
	stop_caller(g);
	g_thread_join(thread);
	g_test_message("%s", run.totals);
	g_assert_cmpint(sscanf(run.totals, "asked=%d", &asked), ==, 1);
	g_assert_cmpint(asked, >=, CHATS * TURNS);
	g_assert_true(g_spawn_check_wait_status(run.wait_status, NULL));
	g_assert_nonnull(
		strstr(run.totals, "lost=0 doubled=0 crossed=0 cut=0"));
	g_assert_cmpint(count_logged_by_all(g, "answer_adopted"), ==, 0);
	g_assert_cmpint(count_logged_by_all(g, "caller_left"), ==, 0);
	g_assert_cmpint(rig_engine_runs(g), ==, asked);
	g_ptr_array_unref(run.argv);
	g_free(run.totals);
	rig_free(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	g_test_add_func("/drain/answer-in-progress", test_answer_in_progress);
	g_test_add_func("/drain/serves-on", test_serves_on);
	g_test_add_func("/drain/rolling", test_rolling);
	return g_test_run();
}
