/*
 * Watches of the administration API: order, resumption at another node, store
 * outages, trimmed history, scope and drain.
 */
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>
#include <sys/wait.h>

#include "node/test-cluster.h"

#define SERVICE_BODY  "{\"spec\":{\"kind\":\"model\",\"pool\":\"p\"}}"
#define SERVICES_PATH "/v1/resources/services"
#define SERVICE_PATH  SERVICES_PATH "/s"

static const char *argv0;

/* An open watch. */
struct watch {
	struct http_call *http_call;
	char *url;
	char *auth;
	const char *headers[3];
	int64_t last_id; /* id of the newest event */
};

static void watch_open(struct watch *watch, const struct proc *node,
		       const char *key, const char *collection,
		       const char *query, const char *last_event)
{
	struct http_request q = {
		.method = "GET", .connect_timeout_ms = WAIT_MS, .fresh = true};

	memset(watch, 0, sizeof(*watch));
	watch->url = g_strdup_printf("http://127.0.0.1:%d%s?watch=true%s",
				     node->port, collection, query);
	watch->auth = g_strconcat("Authorization: Bearer ", key, NULL);
	watch->headers[0] = watch->auth;
	watch->headers[1] = last_event;
	q.url = watch->url;
	q.headers = watch->headers;
	watch->http_call = http_call_open(&q);
}

static void watch_close(struct watch *watch)
{
	http_call_close(watch->http_call);
	g_free(watch->url);
	g_free(watch->auth);
}

/* Return the next change, or NULL at a clean end of the stream. */
static json_t *watch_next(struct watch *watch)
{
	int64_t until = time_mono_ms() + WAIT_MS;

	for (;;) {
		GByteArray *buf = http_call_unread(watch->http_call);
		struct sse_event event;
		size_t n = sse_next((char *)buf->data, buf->len, &event);
		json_t *change = NULL;

		if (n && event.id.len)
			watch->last_id =
				g_ascii_strtoll(event.id.data, NULL, 10);
		if (n && event.data.len)
			change = json_loadb(event.data.data, event.data.len, 0,
					    NULL);
		if (n)
			g_byte_array_remove_range(buf, 0, (guint)n);
		if (change)
			return change;
		if (n)
			continue;
		switch (http_call_wait(watch->http_call, until)) {
		case HTTP_CALL_DATA:
			break;
		case HTTP_CALL_END:
			return NULL;
		default:
			g_assert_not_reached();
		}
		/*
		 * With part of an event unread http_call_wait returns at once.
		 */
		g_usleep(1000);
	}
}

/* Put this version of the service: the first creates it. */
static void put_version(struct proc *node, int64_t version)
{
	char *precondition =
		version == 1 ? g_strdup("If-None-Match: *")
			     : g_strdup_printf("If-Match: %" G_GINT64_FORMAT,
					       version - 1);

	json_decref(operator_call(node, precondition, "PUT", SERVICE_PATH,
				  SERVICE_BODY, version == 1 ? 201 : 200));
	g_free(precondition);
}

static void expect_versions(struct watch *watch, int64_t first, int64_t last)
{
	for (int64_t version = first; version <= last; version++) {
		json_t *change = watch_next(watch);

		g_assert_cmpint(get_int(change, "revision"), ==, version);
		g_assert_cmpint(get_int(change, "version"), ==, version);
		g_assert_cmpint(get_int(change, "generation"), ==, version);
		g_assert_cmpstr(get_string(change, "name"), ==, "s");
		g_assert_cmpint(watch->last_id, ==, version);
		json_decref(change);
	}
}

/*
 * The watched node is killed and the watch resumed at another node: each change
 * arrives once and in order.
 */
static void test_resume(void)
{
	struct watch watch;
	struct cluster cluster;
	char *query;

	launch(&cluster, argv0, 2);
	put_version(cluster.nodes[1], 1);
	watch_open(&watch, cluster.nodes[0], OPERATOR_KEY, SERVICES_PATH,
		   "&after=0", NULL);
	expect_versions(&watch, 1, 1);
	put_version(cluster.nodes[1], 2);
	put_version(cluster.nodes[0], 3);
	expect_versions(&watch, 2, 3);
	procs_kill(cluster.procs, cluster.nodes[0]);
	for (int64_t version = 4; version <= 8; version++)
		put_version(cluster.nodes[1], version);
	query = g_strdup_printf("&after=%" G_GINT64_FORMAT, watch.last_id);
	watch_close(&watch);
	watch_open(&watch, cluster.nodes[1], OPERATOR_KEY, SERVICES_PATH, query,
		   NULL);
	expect_versions(&watch, 4, 8);
	json_decref(operator_call(cluster.nodes[1], "If-Match: 8", "DELETE",
				  SERVICE_PATH, NULL, 200));
	{
		json_t *change = watch_next(&watch);

		g_assert_true(json_is_null(json_object_get(change, "spec")));
		g_assert_cmpint(get_int(change, "version"), ==, 0);
		json_decref(change);
	}
	watch_close(&watch);
	g_free(query);
	cluster_stop(&cluster);
}

/* A watch without a position starts now and outlasts a store outage. */
static void test_outage(void)
{
	struct watch watch;
	struct cluster cluster;

	launch(&cluster, argv0, 1);
	put_version(cluster.nodes[0], 1);
	watch_open(&watch, cluster.nodes[0], OPERATOR_KEY, SERVICES_PATH, "",
		   NULL);
	while (!watch.last_id) { /* set by the first heartbeat */
		GByteArray *buf = http_call_unread(watch.http_call);
		struct sse_event event;

		http_call_wait(watch.http_call, time_mono_ms() + WAIT_MS);
		if (sse_next((char *)buf->data, buf->len, &event))
			watch.last_id =
				g_ascii_strtoll(event.id.data, NULL, 10);
	}
	g_assert_cmpint(watch.last_id, ==, 1);
	cluster_set_faults(&cluster, "{\"down\":true}");
	/* Several failed polls; platform.poll is 50 ms. */
	g_usleep(300000);
	cluster_set_faults(&cluster, "{}");
	put_version(cluster.nodes[0], 2);
	expect_versions(&watch, 2, 2);
	watch_close(&watch);
	cluster_stop(&cluster);
}

/* Audit rows 1 to 3 are trimmed: a watch from before them gets 410. */
static void test_gone(void)
{
	struct call_headers headers = {.key = OPERATOR_KEY};
	static const char *const trimmed[] = {"&after=0", "&after=2"};
	struct watch watch;
	struct cluster cluster;

	launch(&cluster, argv0, 1);
	for (int64_t version = 1; version <= 5; version++)
		put_version(cluster.nodes[0], version);
	json_decref(procs_call_json(cluster.platform, "POST", "/table/txn",
				    "{\"id\":\"trim\",\"deletes\":["
				    "\"chg/00000000000000000001\","
				    "\"chg/00000000000000000002\","
				    "\"chg/00000000000000000003\"]}"));
	for (size_t i = 0; i < G_N_ELEMENTS(trimmed); i++) {
		char *path = g_strconcat(SERVICES_PATH "?watch=true",
					 trimmed[i], NULL);
		struct reply *reply = admin_call(cluster.nodes[0], headers,
						 "GET", path, NULL);

		g_assert_cmpint(reply->status, ==, 410);
		g_assert_cmpstr(error_type(reply->json), ==, "gone");
		reply_free(reply);
		g_free(path);
	}
	watch_open(&watch, cluster.nodes[0], OPERATOR_KEY, SERVICES_PATH,
		   "&after=3", NULL);
	expect_versions(&watch, 4, 5);
	watch_close(&watch);
	watch_open(&watch, cluster.nodes[0], OPERATOR_KEY, SERVICES_PATH, "",
		   "Last-Event-ID: 4");
	expect_versions(&watch, 5, 5);
	watch_close(&watch);
	cluster_stop(&cluster);
}

#define INTENTS_PATH "/v1/resources/intents"

static void put_intent(struct proc *node, const char *name, const char *org)
{
	char *path = g_strconcat(INTENTS_PATH "/", name, NULL);
	char *body = g_strdup_printf("{\"spec\":{\"service\":\"s\","
				     "\"organisation\":\"%s\"}}",
				     org);

	json_decref(operator_call(node, "If-None-Match: *", "PUT", path, body,
				  201));
	g_free(path);
	g_free(body);
}

static void wait_key_accepted(const struct proc *node, const char *key)
{
	int64_t until = time_mono_ms() + WAIT_MS;
	int status = 0;

	while (status != 200) {
		struct reply *r =
			admin_call(node, (struct call_headers){.key = key},
				   "GET", INTENTS_PATH, NULL);

		status = r->status;
		reply_free(r);
		g_assert_cmpint(time_mono_ms(), <, until);
		g_usleep(10000);
	}
}

/* An admin's watch skips changes of other organisations. */
static void test_scope(void)
{
	static const char *const names[] = {"o", "p"};
	struct watch watch;
	struct cluster cluster;
	json_t *change;

	launch(&cluster, argv0, 1);
	put_version(cluster.nodes[0], 1);
	for (int i = 0; i < 2; i++) {
		char *body = organisation_body(names[i], "admin");
		char *path = g_strconcat("/v1/resources/organisations/",
					 names[i], NULL);

		json_decref(operator_call(cluster.nodes[0], "If-None-Match: *",
					  "PUT", path, body, 201));
		g_free(path);
		g_free(body);
	}
	wait_key_accepted(cluster.nodes[0], "o");
	put_intent(cluster.nodes[0], "a", "p");
	put_intent(cluster.nodes[0], "b", "o");
	put_intent(cluster.nodes[0], "c", "p");
	put_intent(cluster.nodes[0], "d", "o");
	watch_open(&watch, cluster.nodes[0], "o", INTENTS_PATH, "&after=0",
		   NULL);
	change = watch_next(&watch);
	g_assert_cmpstr(get_string(change, "name"), ==, "b");
	json_decref(change);
	change = watch_next(&watch);
	g_assert_cmpstr(get_string(change, "name"), ==, "d");
	g_assert_cmpint(watch.last_id, ==, 7);
	json_decref(change);
	watch_close(&watch);
	cluster_stop(&cluster);
}

/* A drained node ends its watches cleanly and exits with status 0. */
static void test_drain(void)
{
	struct watch watch;
	struct cluster cluster;
	int status;

	launch(&cluster, argv0, 1);
	put_version(cluster.nodes[0], 1);
	watch_open(&watch, cluster.nodes[0], OPERATOR_KEY, SERVICES_PATH,
		   "&after=0", NULL);
	expect_versions(&watch, 1, 1);
	json_decref(operator_call(cluster.nodes[0], NULL, "POST", "/v1/drain",
				  "{}", 202));
	g_assert_null(watch_next(&watch));
	watch_close(&watch);
	g_assert_cmpint(waitpid(cluster.nodes[0]->pid, &status, 0), ==,
			cluster.nodes[0]->pid);
	cluster.nodes[0]->pid = 0;
	g_assert_true(WIFEXITED(status));
	g_assert_cmpint(WEXITSTATUS(status), ==, 0);
	cluster_stop(&cluster);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	argv0 = argv[0];
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL))
		return 1;
	g_test_add_func("/node/watch/resume", test_resume);
	g_test_add_func("/node/watch/outage", test_outage);
	g_test_add_func("/node/watch/gone", test_gone);
	g_test_add_func("/node/watch/scope", test_scope);
	g_test_add_func("/node/watch/drain", test_drain);
	return g_test_run();
}
