/*
 * The stand-in platform as a process against the table of docs/CONTRACTS.md,
 * "Platform": each step is a call and what its answer must hold.
 */
#include <curl/curl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "standin/standin.h"

#define WAIT_MS 10000

struct stand {
	char *dir;
	char *base;
	GPid pid;
};

static char *top_path(const char *rest)
{
	char *exe = g_file_read_link("/proc/self/exe", NULL);
	char *dir = g_path_get_dirname(exe);
	char *path = g_build_filename(dir, "..", "..", rest, NULL);

	g_free(exe);
	g_free(dir);
	return path;
}

static void stand_start(struct stand *s)
{
	char *program = top_path("build/standin/platform");
	char *port_file, *port = NULL;
	char *argv[] = {program, "--port-file", NULL, NULL};
	int64_t until = time_mono_ms() + WAIT_MS;

	s->dir = g_dir_make_tmp("platform-XXXXXX", NULL);
	port_file = g_build_filename(s->dir, "port", NULL);
	argv[2] = port_file;
	g_assert_true(g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
				    NULL, NULL, &s->pid, NULL));
	while (!g_file_get_contents(port_file, &port, NULL, NULL)) {
		g_assert_cmpint(time_mono_ms(), <, until);
		g_usleep(10000);
	}
	s->base = g_strdup_printf("http://127.0.0.1:%d", atoi(port));
	g_unlink(port_file);
	g_rmdir(s->dir);
	g_free(port);
	g_free(port_file);
	g_free(program);
}

static void stand_stop(struct stand *s)
{
	kill(s->pid, SIGKILL);
	waitpid(s->pid, NULL, 0);
	g_free(s->dir);
	g_free(s->base);
}

struct answer {
	int status;
	char *body;
	bool ended;
};

static void on_done(const struct fetch_result *r, void *arg)
{
	struct answer *a = arg;

	a->status = r->status;
	a->body = g_strndup(r->body.data ? r->body.data : "", r->body.len);
	a->ended = true;
}

static struct answer ask(struct stand *s, const char *method, const char *path,
			 const char *body)
{
	struct fetcher *f = fetcher_new();
	struct answer a = {0};
	char *url = g_strconcat(s->base, path, NULL);

	fetch(f, method, url, str_c(body), WAIT_MS, on_done, &a);
	while (!a.ended)
		fetcher_poll(f, NULL, 0, 100);
	fetcher_free(f);
	g_free(url);
	return a;
}

/* A call, its status (0: the answer is lost) and texts the body must have. */
struct step {
	const char *method, *path, *body;
	int status;
	const char *want[2];
	const char *never; /* a text that the body must not have */
};

static void run(const struct step *steps, size_t n)
{
	struct stand s;

	stand_start(&s);
	for (size_t i = 0; i < n; i++) {
		struct answer a =
			ask(&s, steps[i].method, steps[i].path, steps[i].body);

		g_test_message("%s %s: %d %s", steps[i].method, steps[i].path,
			       a.status, a.body);
		g_assert_cmpint(a.status, ==, steps[i].status);
		for (int k = 0; k < 2 && steps[i].want[k]; k++)
			g_assert_nonnull(strstr(a.body, steps[i].want[k]));
		if (steps[i].never)
			g_assert_null(strstr(a.body, steps[i].never));
		g_free(a.body);
	}
	stand_stop(&s);
}

#define TXN(text) "POST", "/table/txn", text
#define FAULT(text)                                                            \
	{                                                                      \
		"PUT", "/standin/faults", text, 200, {0}, NULL                 \
	}
#define ROWS "GET", "/table/rows?prefix=k", NULL
#define PUT_ROW(n)                                                             \
	"{\"id\":\"" n "\",\"puts\":[{\"key\":\"k\",\"value\":" n "}]}"

static void test_table(void)
{
	static const struct step steps[] = {
		{TXN("{\"puts\":[]}"), 400, {0}, NULL},
		{TXN("{\"id\":\"a\",\"checks\":[{\"key\":\"k\",\"version\":0}],"
		     "\"puts\":[{\"key\":\"k\",\"value\":1}]}"),
		 200,
		 {"\"revision\":1"},
		 NULL},
		{TXN("{\"id\":\"b\",\"checks\":[{\"key\":\"k\",\"version\":0}],"
		     "\"puts\":[{\"key\":\"l\",\"value\":1}]}"),
		 409,
		 {"\"key\":\"k\""},
		 NULL},
		{ROWS, 200, {"\"value\":1", "\"version\":1"}, "\"l\""},
		{TXN("{\"id\":\"c\",\"checks\":[{\"key\":\"k\",\"version\":1}],"
		     "\"deletes\":[\"k\"]}"),
		 200,
		 {"\"revision\":2"},
		 NULL},
		{ROWS, 200, {"\"rows\":[]"}, NULL},
		{TXN("{\"id\":\"d\",\"checks\":[{\"key\":\"k\",\"version\":0}],"
		     "\"puts\":[{\"key\":\"k\",\"value\":3},"
		     "{\"key\":\"ka\",\"value\":4}]}"),
		 200,
		 {"\"revision\":3"},
		 NULL},
		{"GET",
		 "/table/rows?prefix=k&limit=1",
		 NULL,
		 200,
		 {"\"more\":true"},
		 "\"ka\""},
		{"GET",
		 "/table/rows?prefix=k&after=k",
		 NULL,
		 200,
		 {"\"ka\"", "\"more\":false"},
		 "\"k\""},
		{"GET", "/table/revision", NULL, 200, {"\"revision\":3"}, NULL},
		{"GET", "/objects/x", NULL, 404, {0}, NULL},
		{"PUT", "/objects/x", "bytes", 200, {0}, NULL},
		{"GET", "/objects/x", NULL, 200, {"bytes"}, NULL},
	};

	run(steps, G_N_ELEMENTS(steps));
}

/* Rows and revision are those of one moment in the past. */
static void test_stale(void)
{
	static const struct step steps[] = {
		{TXN(PUT_ROW("1")), 200, {0}, NULL},
		{TXN(PUT_ROW("2")), 200, {0}, NULL},
		{TXN("{\"id\":\"3\",\"deletes\":[\"k\"]}"), 200, {0}, NULL},
		{TXN(PUT_ROW("4")), 200, {0}, NULL},
		FAULT("{\"stale\":1}"),
		{ROWS, 200, {"\"rows\":[]", "\"revision\":3"}, NULL},
		FAULT("{\"stale\":2}"),
		{ROWS, 200, {"\"value\":2", "\"version\":2"}, "\"revision\":4"},
		FAULT("{\"stale\":3}"),
		{ROWS, 200, {"\"value\":1", "\"version\":1"}, NULL},
		FAULT("{\"stale\":9}"),
		{ROWS, 200, {"\"rows\":[]", "\"revision\":0"}, NULL},
		/* Checks see the present all the same. */
		{TXN("{\"id\":\"5\",\"checks\":[{\"key\":\"k\","
		     "\"version\":1}]}"),
		 409,
		 {0},
		 NULL},
		FAULT("{}"),
		{ROWS, 200, {"\"value\":4", "\"version\":4"}, NULL},
	};

	run(steps, G_N_ELEMENTS(steps));
}

static void test_faults(void)
{
	static const struct step steps[] = {
		FAULT("{\"lose\":1}"),
		{TXN(PUT_ROW("1")), 0, {0}, NULL},
		{ROWS, 200, {"\"value\":1"}, NULL},
		FAULT("{\"cut\":true}"),
		{TXN(PUT_ROW("2")), 0, {0}, NULL},
		{ROWS, 503, {0}, NULL},
		{TXN(PUT_ROW("3")), 503, {0}, NULL},
		FAULT("{}"),
		{ROWS, 200, {"\"value\":2"}, NULL},
		{"PUT", "/standin/faults", "{\"typo\":1}", 400, {0}, NULL},
	};

	run(steps, G_N_ELEMENTS(steps));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	g_test_add_func("/standin/platform/table", test_table);
	g_test_add_func("/standin/platform/stale", test_stale);
	g_test_add_func("/standin/platform/faults", test_faults);
	return g_test_run();
}
