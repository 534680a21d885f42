/*
 * Outcomes of calls to plain services, with real processes. A POST is never
 * repeated once a service may have run it.
 */
#include <curl/curl.h>
#include <signal.h>
#include <string.h>

#include "node/test-harness.h"

#define PATH "/v1/services/forum/app/posts"

static struct reply call_plain(int port, const char *method, const char *key)
{
	char *key_header = g_strdup_printf("Idempotency-Key: %s", key);
	const char *headers[] = {"Authorization: Bearer key-recif",
				 "Content-Type: application/json", key_header,
				 NULL};
	struct reply r =
		call_local(port, method, PATH, headers,
			   strcmp(method, "POST") ? NULL : "{\"text\":\"hi\"}");

	g_free(key_header);
	return r;
}

/* Return how often a call with this key ran, over all instances. */
static int64_t run_count(const struct rig *g, const char *key)
{
	int64_t sum = 0;

	for (unsigned i = 0; i < g->service_count; i++) {
		json_t *counts =
			get_local_json(g->services[i].port, "/standin/runs");

		sum += json_integer_value(json_object_get(counts, key));
		json_decref(counts);
	}
	return sum;
}

/* Status and outcome of a POST for each fault of the service. */
static void test_post(void)
{
	static const struct {
		const char *faults;
		int status;
		const char *outcome;
		int64_t runs;
	} cases[] = {
		{"{}", 200, "complete", 1},
		{"{\"lose\":1}", 502, "unknown", 1},
		{"{\"silent\":1}", 504, "unknown", 1},
		{"{\"down\":true}", 503, "not-run", 0},
	};
	struct rig *g = rig_new(1, 1, "[limits]\nrequest = 1500\n");

	rig_start(g);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *key = g_strdup_printf("post-%zu", i);
		struct reply r;

		proc_set_faults(&g->services[0], cases[i].faults);
		proc_set_faults(&g->services[1], cases[i].faults);
		r = call_plain(g->nodes[0].port, "POST", key);
		g_assert_cmpint(r.status, ==, cases[i].status);
		g_assert_cmpstr(r.outcome, ==, cases[i].outcome);
		g_assert_true((r.retry_after != NULL) == (r.status == 503));
		g_assert_cmpint(run_count(g, key), ==, cases[i].runs);
		reply_clear(&r);
		g_free(key);
	}
	rig_free(g);
}

/* One instance refuses or is down: the other one runs each call once. */
static void test_post_elsewhere(void)
{
	for (int killed = 0; killed < 2; killed++) {
		struct rig *g = rig_new(1, 1, NULL);

		rig_start(g);
		if (killed) {
			proc_signal(&g->services[0], SIGKILL);
			proc_wait(&g->services[0]);
		} else {
			proc_set_faults(&g->services[0], "{\"down\":true}");
		}
		for (int i = 0; i < 8; i++) {
			char *key = g_strdup_printf("p%d", i);
			struct reply r =
				call_plain(g->nodes[0].port, "POST", key);
			json_t *counts = get_local_json(g->services[1].port,
							"/standin/runs");

			g_assert_cmpint(r.status, ==, 200);
			g_assert_cmpint(json_integer_value(
						json_object_get(counts, key)),
					==, 1);
			json_decref(counts);
			reply_clear(&r);
			g_free(key);
		}
		rig_free(g);
	}
}

static void start_behind_proxies(struct rig *g, struct tcp_proxy **proxies)
{
	for (int i = 0; i < 2; i++) {
		proxies[i] = tcp_proxy_new(g->services[i].port);
		g->services[i].advertised_port = tcp_proxy_port(proxies[i]);
	}
	rig_start(g);
	/* Call until the pool has a connection to each instance. */
	for (int i = 0; !tcp_proxy_connections(proxies[0]) ||
			!tcp_proxy_connections(proxies[1]);
	     i++) {
		struct reply r = call_plain(g->nodes[0].port, "GET", "none");

		g_assert_cmpint(i, <, 1000);
		g_assert_cmpint(r.status, ==, 200);
		reply_clear(&r);
	}
}

/* Pooled connections are blackholed: a GET gets through on a new one. */
static void test_pooled_silent(void)
{
	struct rig *g = rig_new(1, 1, NULL);
	struct tcp_proxy *proxies[2];

	start_behind_proxies(g, proxies);
	tcp_proxy_set_mode(proxies[0], TCP_PROXY_BLACKHOLE);
	tcp_proxy_set_mode(proxies[1], TCP_PROXY_BLACKHOLE);
	for (int i = 0; i < 4; i++) {
		struct reply r = call_plain(g->nodes[0].port, "GET", "none");

		g_assert_cmpint(r.status, ==, 200);
		reply_clear(&r);
	}
	rig_free(g);
	tcp_proxy_free(proxies[0]);
	tcp_proxy_free(proxies[1]);
}

/*
 * The peer closes a pooled connection on the next request. libcurl would retry
 * that request by itself, although the service has run it.
 */
static void test_pooled(void)
{
	struct rig *g = rig_new(1, 1, NULL);
	struct tcp_proxy *proxies[2];
	struct reply r;

	start_behind_proxies(g, proxies);
	tcp_proxy_set_mode(proxies[0], TCP_PROXY_CUT_RESPONSES);
	tcp_proxy_set_mode(proxies[1], TCP_PROXY_CUT_RESPONSES);
	r = call_plain(g->nodes[0].port, "POST", "once");
	g_assert_cmpint(r.status, ==, 502);
	g_assert_cmpstr(r.outcome, ==, "unknown");
	g_assert_cmpint(run_count(g, "once"), ==, 1);
	reply_clear(&r);
	rig_free(g);
	tcp_proxy_free(proxies[0]);
	tcp_proxy_free(proxies[1]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	g_test_add_func("/outcomes/post", test_post);
	g_test_add_func("/outcomes/post-elsewhere", test_post_elsewhere);
	g_test_add_func("/outcomes/pooled", test_pooled);
	g_test_add_func("/outcomes/pooled-silent", test_pooled_silent);
	return g_test_run();
}
