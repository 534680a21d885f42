/*
 * The platform stand-in, run as a process, against section "Platform" of
 * docs/CONTRACTS.md.
 */
#include <curl/curl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "standin/standin.h"

#define TIMEOUT_MS 10000

struct platform_process {
	char *dir;
	char *base_url;
	GPid pid;
};

static char *path_from_root(const char *relative)
{
	char *exe = g_file_read_link("/proc/self/exe", NULL);
	char *dir = g_path_get_dirname(exe);
	char *path = g_build_filename(dir, "..", "..", relative, NULL);

	g_free(exe);
	g_free(dir);
	return path;
}

static void platform_start(struct platform_process *platform)
{
	char *program = path_from_root("build/standin/platform");
	char *port_file, *port = NULL;
	char *argv[] = {program, "--port-file", NULL, NULL};
	int64_t until_ms = time_mono_ms() + TIMEOUT_MS;

	platform->dir = g_dir_make_tmp("platform-XXXXXX", NULL);
	port_file = g_build_filename(platform->dir, "port", NULL);
	argv[2] = port_file;
	g_assert_true(g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
				    NULL, NULL, &platform->pid, NULL));
	while (!g_file_get_contents(port_file, &port, NULL, NULL)) {
		g_assert_cmpint(time_mono_ms(), <, until_ms);
		g_usleep(10000);
	}
	platform->base_url = g_strdup_printf("http://127.0.0.1:%d", atoi(port));
	g_unlink(port_file);
	g_rmdir(platform->dir);
	g_free(port);
	g_free(port_file);
	g_free(program);
}

static void platform_stop(struct platform_process *platform)
{
	kill(platform->pid, SIGKILL);
	waitpid(platform->pid, NULL, 0);
	g_free(platform->dir);
	g_free(platform->base_url);
}

struct response {
	int status;
	char *body;
	bool done;
};

static void on_done(const struct fetch_result *r, void *arg)
{
	struct response *response = arg;

	response->status = r->status;
	response->body =
		g_strndup(r->body.data ? r->body.data : "", r->body.len);
	response->done = true;
}

static struct response call(struct platform_process *platform,
			    const char *method, const char *path,
			    const char *body)
{
	struct fetcher *f = fetcher_new();
	struct response response = {0};
	char *url = g_strconcat(platform->base_url, path, NULL);

	fetch(f, method, url, str_c(body), TIMEOUT_MS, on_done, &response);
	while (!response.done)
		fetcher_poll(f, NULL, 0, 100);
	fetcher_free(f);
	g_free(url);
	return response;
}

/* A call and what its response must be. */
struct step {
	const char *method, *path, *body;
	int status;              /* 0: the response breaks off */
	const char *contains[2]; /* texts in the body */
	const char *lacks;       /* text not in the body, or NULL */
};

static void run(const struct step *steps, size_t n)
{
	struct platform_process platform;

	platform_start(&platform);
	for (size_t i = 0; i < n; i++) {
		struct response response = call(&platform, steps[i].method,
						steps[i].path, steps[i].body);

		g_test_message("%s %s: %d %s", steps[i].method, steps[i].path,
			       response.status, response.body);
		g_assert_cmpint(response.status, ==, steps[i].status);
		for (int k = 0; k < 2 && steps[i].contains[k]; k++)
			g_assert_nonnull(
				strstr(response.body, steps[i].contains[k]));
		if (steps[i].lacks)
			g_assert_null(strstr(response.body, steps[i].lacks));
		g_free(response.body);
	}
	platform_stop(&platform);
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

/* A stale read shows the rows and the revision of the same past moment. */
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
		/* Stale reads don't affect the checks of a transaction. */
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
