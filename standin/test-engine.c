/*
 * The engine stand-in, run as a process, against section "Engine" of
 * docs/CONTRACTS.md.
 */
#include <curl/curl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "standin/standin.h"

#define TIMEOUT_MS 20000

struct engine_process {
	GPid pid;
	int port;
};

/* Have the kernel kill the engine however the test ends. */
static void set_parent_death_signal(void *unused)
{
	(void)unused;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static void engine_start(struct engine_process *engine)
{
	char *exe = g_file_read_link("/proc/self/exe", NULL);
	char *dir = g_path_get_dirname(exe);
	char *program = g_build_filename(dir, "engine", NULL);
	char *tmp_dir = g_dir_make_tmp("engine-XXXXXX", NULL);
	char *port_file = g_build_filename(tmp_dir, "port", NULL);
	char *argv[] = {program, "--port-file", port_file, NULL};
	int64_t until_ms = time_mono_ms() + TIMEOUT_MS;
	char *port = NULL;

	g_assert_true(g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
				    set_parent_death_signal, NULL, &engine->pid,
				    NULL));
	while (!g_file_get_contents(port_file, &port, NULL, NULL)) {
		g_assert_cmpint(time_mono_ms(), <, until_ms);
		g_usleep(10000);
	}
	engine->port = atoi(port);
	g_unlink(port_file);
	g_rmdir(tmp_dir);
	g_free(port);
	g_free(port_file);
	g_free(tmp_dir);
	g_free(program);
	g_free(dir);
	g_free(exe);
}

static void engine_stop(struct engine_process *engine)
{
	kill(engine->pid, SIGKILL);
	waitpid(engine->pid, NULL, 0);
}

/* A call and what its response must be. */
struct step {
	const char *method, *path, *header, *body;
	int status;           /* 0: the response breaks off */
	const char *contains; /* text in the body, or NULL */
	const char *lacks;    /* text not in the body, or NULL */
};

static void run_step(const struct engine_process *engine,
		     const struct step *step)
{
	const char *headers[] = {"Content-Type: application/json", step->header,
				 NULL};
	char *url = g_strdup_printf("http://127.0.0.1:%d%s", engine->port,
				    step->path);
	struct http_request q = {.method = step->method,
				 .url = url,
				 .headers = headers,
				 .body = str_c(step->body),
				 .connect_timeout_ms = TIMEOUT_MS,
				 .fresh = true};
	struct http_call *call = http_call_open(&q);
	int64_t until_ms = time_mono_ms() + TIMEOUT_MS;
	enum http_call_event event;
	char *body;

	while ((event = http_call_wait_more(call, until_ms)) == HTTP_CALL_DATA)
		;
	body = g_strndup((char *)http_call_unread(call)->data,
			 http_call_unread(call)->len);
	g_test_message("%s %s: %d %s", step->method, step->path,
		       http_call_status(call), body);
	g_assert_cmpint(event == HTTP_CALL_END ? http_call_status(call) : 0, ==,
			step->status);
	if (step->contains)
		g_assert_nonnull(strstr(body, step->contains));
	if (step->lacks)
		g_assert_null(strstr(body, step->lacks));
	g_free(body);
	http_call_close(call);
	g_free(url);
}

static void run(const struct step *steps, size_t n)
{
	struct engine_process engine;

	engine_start(&engine);
	for (size_t i = 0; i < n; i++)
		run_step(&engine, &steps[i]);
	engine_stop(&engine);
}

#define CHAT "/v1/chat/completions"
#define BODY(n)                                                                \
	"{\"max_tokens\":" n ",\"messages\":"                                  \
	"[{\"role\":\"user\",\"content\":\"a\"}]}"
#define ID(id) "Request-Id: " id
#define FAULT(text)                                                            \
	{                                                                      \
		"PUT", "/standin/faults", NULL, text, 200, NULL, NULL          \
	}

static void test_streams(void)
{
	static const struct step steps[] = {
		{"POST", CHAT, NULL, BODY("3"), 400, "bad_request", NULL},
		{"POST", CHAT, ID("r"), "{}", 400, "bad_request", NULL},
		{"POST", CHAT, ID("r"), BODY("3"), 200, "id: r:0\n", "r:4"},
		/* Resume before a token, the final chunk and the end mark. */
		{"GET", "/v1/streams/r?from=1", NULL, NULL, 200, "id: r:1\n",
		 "r:0"},
		{"GET", "/v1/streams/r?from=3", NULL, NULL, 200,
		 "\"finish_reason\":\"stop\"", "r:2"},
		{"GET", "/v1/streams/r?from=4", NULL, NULL, 200, "[DONE]",
		 "id:"},
		{"GET", "/v1/streams/none", NULL, NULL, 404, NULL, NULL},
		{"GET", "/standin/counts", NULL, NULL, 200, "\"runs\":1", NULL},
	};

	run(steps, G_N_ELEMENTS(steps));
}

static void test_faults(void)
{
	static const struct step steps[] = {
		FAULT("{\"fail\":1}"),
		{"POST", CHAT, ID("a"), BODY("2"), 503, NULL, NULL},
		{"GET", "/v1/streams/a", NULL, NULL, 404, NULL, NULL},
		{"POST", CHAT, ID("a"), BODY("2"), 200, "id: a:1\n", NULL},
		FAULT("{\"lose\":1}"),
		{"POST", CHAT, ID("b"), BODY("2"), 0, NULL, NULL},
		{"GET", "/v1/streams/b", NULL, NULL, 200, "id: b:0\n", NULL},
		FAULT("{\"cross\":1}"),
		{"POST", CHAT, ID("c"), BODY("2"), 200, "id: other:0\n",
		 "id: c:"},
		FAULT("{\"vanish\":1}"),
		{"POST", CHAT, ID("d"), BODY("2"), 0, NULL, NULL},
		{"GET", "/v1/streams/d", NULL, NULL, 503, NULL, NULL},
		{"GET", "/load", NULL, NULL, 503, NULL, NULL},
		FAULT("{}"),
		{"GET", "/v1/streams/d", NULL, NULL, 200, "id: d:0\n", NULL},
		{"GET", "/standin/counts", NULL, NULL, 200, "\"runs\":4", NULL},
		FAULT("{\"leaving\":true}"),
		{"POST", CHAT, ID("e"), BODY("2"), 503, "leaving", NULL},
		{"GET", "/v1/streams/d", NULL, NULL, 200, "id: d:0\n", NULL},
		{"GET", "/load", NULL, NULL, 200, "\"leaving\":true", NULL},
		{"PUT", "/standin/faults", NULL, "{\"typo\":1}", 400, NULL,
		 NULL},
	};

	run(steps, G_N_ELEMENTS(steps));
}

/* The latest reader can cancel, and so can a request without a reader. */
static void test_cancel(void)
{
	static const struct step steps[] = {
		{"DELETE", "/v1/streams/none", NULL, NULL, 404, NULL, NULL},
		FAULT("{\"lose\":1}"),
		{"POST", CHAT, ID("a"), BODY("1000000"), 0, NULL, NULL},
		{"DELETE", "/v1/streams/a", "Reader: one", NULL, 200, NULL,
		 NULL},
		{"GET", "/v1/streams/a", NULL, NULL, 404, NULL, NULL},
		{"GET", "/standin/counts", NULL, NULL, 200, "\"cancelled\":1",
		 NULL},
		/* A finished answer can still be read after a cancel. */
		{"POST", CHAT, ID("b"), BODY("1"), 200, NULL, NULL},
		{"GET", "/v1/streams/b", "Reader: two", NULL, 200, "[DONE]",
		 NULL},
		{"DELETE", "/v1/streams/b", "Reader: one", NULL, 409,
		 "another_reader", NULL},
		{"DELETE", "/v1/streams/b", "Reader: two", NULL, 200, NULL,
		 NULL},
		{"GET", "/v1/streams/b", NULL, NULL, 200, "[DONE]", NULL},
	};

	run(steps, G_N_ELEMENTS(steps));
}

static void test_orders(void)
{
	static const struct step steps[] = {
		{"POST", "/orders", NULL, "{\"fence\":5}", 400, NULL, NULL},
		{"POST", "/orders", NULL, "{\"fence\":5,\"order\":\"five\"}",
		 200, NULL, NULL},
		{"POST", "/orders", NULL, "{\"fence\":4,\"order\":\"four\"}",
		 409, "stale_fence", NULL},
		{"GET", "/orders", NULL, NULL, 200, "five", "four"},
		FAULT("{\"ignore_fence\":true}"),
		{"POST", "/orders", NULL, "{\"fence\":4,\"order\":\"four\"}",
		 200, NULL, NULL},
		{"GET", "/orders", NULL, NULL, 200, "four", NULL},
	};

	run(steps, G_N_ELEMENTS(steps));
}

static void test_cache(void)
{
	static const struct step steps[] = {
		{"POST", CHAT, ID("a"), BODY("1"), 200, "\"cached_tokens\":0",
		 NULL},
		{"POST", CHAT, ID("b"), BODY("1"), 200, "\"cached_tokens\":2",
		 NULL},
		{"GET", "/cache/events?after=0", NULL, NULL, 200,
		 "\"op\":\"store\"", NULL},
		FAULT("{\"gap\":1}"),
		{"GET", "/cache/events?after=0", NULL, NULL, 200,
		 "\"events\":[]", NULL},
		{"POST", "/cache/import", NULL,
		 "{\"prefixes\":[{\"prefix\":\"00000000000000aa\","
		 "\"tokens\":7}]}",
		 200, NULL, NULL},
		{"GET", "/load", NULL, NULL, 200, "\"running\":0", NULL},
	};

	run(steps, G_N_ELEMENTS(steps));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	g_test_add_func("/standin/engine/streams", test_streams);
	g_test_add_func("/standin/engine/faults", test_faults);
	g_test_add_func("/standin/engine/cancel", test_cancel);
	g_test_add_func("/standin/engine/orders", test_orders);
	g_test_add_func("/standin/engine/cache", test_cache);
	return g_test_run();
}
