/* Watches: order, resumption through another node, loss and the drain. */
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>
#include <sys/wait.h>

#include "node/test-admin.h"

#define SERVICE  "{\"spec\":{\"kind\":\"model\",\"pool\":\"p\"}}"
#define SERVICES "/v1/resources/services"
#define S        SERVICES "/s"

static const char *argv0;

/* An open watch. */
struct reader {
	struct pull *pull;
	char *url;
	char *auth;
	const char *headers[3];
	int64_t at; /* newest identity of an event */
};

static void watch_open(struct reader *r, const struct proc *node,
		       const char *key, const char *collection,
		       const char *query, const char *last_event)
{
	struct pull_request q = {
		.method = "GET", .connect_ms = WAIT_MS, .fresh = true};

	memset(r, 0, sizeof(*r));
	r->url = g_strdup_printf("http://127.0.0.1:%d%s?watch=true%s",
				 node->port, collection, query);
	r->auth = g_strconcat("Authorization: Bearer ", key, NULL);
	r->headers[0] = r->auth;
	r->headers[1] = last_event;
	q.url = r->url;
	q.headers = r->headers;
	r->pull = pull_open(&q);
}

static void watch_close(struct reader *r)
{
	pull_close(r->pull);
	g_free(r->url);
	g_free(r->auth);
}

/* Next change, or NULL when the stream ended cleanly. */
static json_t *watch_next(struct reader *r)
{
	int64_t until = time_mono_ms() + WAIT_MS;

	for (;;) {
		GByteArray *b = pull_bytes(r->pull);
		struct sse_event e;
		size_t n = sse_next((char *)b->data, b->len, &e);
		json_t *j = NULL;

		if (n && e.id.len)
			r->at = g_ascii_strtoll(e.id.data, NULL, 10);
		if (n && e.data.len)
			j = json_loadb(e.data.data, e.data.len, 0, NULL);
		if (n)
			g_byte_array_remove_range(b, 0, (guint)n);
		if (j)
			return j;
		if (n)
			continue;
		switch (pull_wait(r->pull, until)) {
		case PULL_DATA:
			break;
		case PULL_END:
			return NULL;
		default:
			g_assert_not_reached();
		}
		/* Half an event is left unread, so the wait ends at once. */
		g_usleep(1000);
	}
}

/* Replace the service; the first time it is created. */
static void change(struct proc *node, int64_t n)
{
	char *match =
		n == 1 ? g_strdup("If-None-Match: *")
		       : g_strdup_printf("If-Match: %" G_GINT64_FORMAT, n - 1);

	json_decref(operator_call(node, match, "PUT", S, SERVICE,
				  n == 1 ? 201 : 200));
	g_free(match);
}

static void expect(struct reader *r, int64_t from, int64_t to)
{
	for (int64_t n = from; n <= to; n++) {
		json_t *j = watch_next(r);

		g_assert_cmpint(get_int(j, "revision"), ==, n);
		g_assert_cmpint(get_int(j, "version"), ==, n);
		g_assert_cmpint(get_int(j, "generation"), ==, n);
		g_assert_cmpstr(get_string(j, "name"), ==, "s");
		g_assert_cmpint(r->at, ==, n);
		json_decref(j);
	}
}

/* Each change once and in order, though the first node is killed half-way. */
static void test_resume(void)
{
	struct reader r;
	struct cluster cluster;
	char *query;

	cluster_start(&cluster, argv0, 2);
	change(cluster.nodes[1], 1);
	watch_open(&r, cluster.nodes[0], OPERATOR_KEY, SERVICES, "&after=0",
		   NULL);
	expect(&r, 1, 1);
	change(cluster.nodes[1], 2);
	change(cluster.nodes[0], 3);
	expect(&r, 2, 3);
	procs_kill(cluster.procs, cluster.nodes[0]);
	for (int64_t n = 4; n <= 8; n++)
		change(cluster.nodes[1], n);
	query = g_strdup_printf("&after=%" G_GINT64_FORMAT, r.at);
	watch_close(&r);
	watch_open(&r, cluster.nodes[1], OPERATOR_KEY, SERVICES, query, NULL);
	expect(&r, 4, 8);
	json_decref(operator_call(cluster.nodes[1], "If-Match: 8", "DELETE", S,
				  NULL, 200));
	{
		json_t *j = watch_next(&r);

		g_assert_true(json_is_null(json_object_get(j, "spec")));
		g_assert_cmpint(get_int(j, "version"), ==, 0);
		json_decref(j);
	}
	watch_close(&r);
	g_free(query);
	cluster_stop(&cluster);
}

/* Without a position: from now on, also through an outage of the store. */
static void test_outage(void)
{
	struct reader r;
	struct cluster cluster;

	cluster_start(&cluster, argv0, 1);
	change(cluster.nodes[0], 1);
	watch_open(&r, cluster.nodes[0], OPERATOR_KEY, SERVICES, "", NULL);
	while (!r.at) { /* the first heartbeat gives the position */
		GByteArray *b = pull_bytes(r.pull);
		struct sse_event e;

		pull_wait(r.pull, time_mono_ms() + WAIT_MS);
		if (sse_next((char *)b->data, b->len, &e))
			r.at = g_ascii_strtoll(e.id.data, NULL, 10);
	}
	g_assert_cmpint(r.at, ==, 1);
	cluster_set_faults(&cluster, "{\"down\":true}");
	g_usleep(300000);
	cluster_set_faults(&cluster, "{}");
	change(cluster.nodes[0], 2);
	expect(&r, 2, 2);
	watch_close(&r);
	cluster_stop(&cluster);
}

/* The audit rows up to 3 are gone: 410, and a watch after them works. */
static void test_gone(void)
{
	struct call_headers headers = {.key = OPERATOR_KEY};
	static const char *const old[] = {"&after=0", "&after=2"};
	struct reader r;
	struct cluster cluster;

	cluster_start(&cluster, argv0, 1);
	for (int64_t n = 1; n <= 5; n++)
		change(cluster.nodes[0], n);
	json_decref(procs_call_json(cluster.platform, "POST", "/table/txn",
				    "{\"id\":\"trim\",\"deletes\":["
				    "\"chg/00000000000000000001\","
				    "\"chg/00000000000000000002\","
				    "\"chg/00000000000000000003\"]}"));
	for (size_t i = 0; i < G_N_ELEMENTS(old); i++) {
		char *path = g_strconcat(SERVICES "?watch=true", old[i], NULL);
		struct reply *reply = admin_call(cluster.nodes[0], headers,
						 "GET", path, NULL);

		g_assert_cmpint(reply->status, ==, 410);
		g_assert_cmpstr(error_type(reply->json), ==, "gone");
		reply_free(reply);
		g_free(path);
	}
	watch_open(&r, cluster.nodes[0], OPERATOR_KEY, SERVICES, "&after=3",
		   NULL);
	expect(&r, 4, 5);
	watch_close(&r);
	watch_open(&r, cluster.nodes[0], OPERATOR_KEY, SERVICES, "",
		   "Last-Event-ID: 4");
	expect(&r, 5, 5);
	watch_close(&r);
	cluster_stop(&cluster);
}

#define INTENTS "/v1/resources/intents"

static void put_intent(struct proc *node, const char *name, const char *org)
{
	char *path = g_strconcat(INTENTS "/", name, NULL);
	char *body = g_strdup_printf("{\"spec\":{\"service\":\"s\","
				     "\"organisation\":\"%s\"}}",
				     org);

	json_decref(operator_call(node, "If-None-Match: *", "PUT", path, body,
				  201));
	g_free(path);
	g_free(body);
}

static void wait_key(const struct proc *node, const char *key)
{
	int64_t until = time_mono_ms() + WAIT_MS;
	int status = 0;

	while (status != 200) {
		struct reply *r =
			admin_call(node, (struct call_headers){.key = key},
				   "GET", INTENTS, NULL);

		status = r->status;
		reply_free(r);
		g_assert_cmpint(time_mono_ms(), <, until);
		g_usleep(10000);
	}
}

/* An admin is shown its own alone; the position passes over the rest. */
static void test_scope(void)
{
	static const char *const names[] = {"o", "p"};
	struct reader r;
	struct cluster cluster;
	json_t *j;

	cluster_start(&cluster, argv0, 1);
	change(cluster.nodes[0], 1);
	for (int i = 0; i < 2; i++) {
		char *body = organisation_body(names[i], "admin");
		char *path = g_strconcat("/v1/resources/organisations/",
					 names[i], NULL);

		json_decref(operator_call(cluster.nodes[0], "If-None-Match: *",
					  "PUT", path, body, 201));
		g_free(path);
		g_free(body);
	}
	wait_key(cluster.nodes[0], "o");
	put_intent(cluster.nodes[0], "a", "p");
	put_intent(cluster.nodes[0], "b", "o");
	put_intent(cluster.nodes[0], "c", "p");
	put_intent(cluster.nodes[0], "d", "o");
	watch_open(&r, cluster.nodes[0], "o", INTENTS, "&after=0", NULL);
	j = watch_next(&r);
	g_assert_cmpstr(get_string(j, "name"), ==, "b");
	json_decref(j);
	j = watch_next(&r);
	g_assert_cmpstr(get_string(j, "name"), ==, "d");
	g_assert_cmpint(r.at, ==, 7);
	json_decref(j);
	watch_close(&r);
	cluster_stop(&cluster);
}

/* A drained node ends its watches cleanly and exits with 0. */
static void test_drain(void)
{
	struct reader r;
	struct cluster cluster;
	int status;

	cluster_start(&cluster, argv0, 1);
	change(cluster.nodes[0], 1);
	watch_open(&r, cluster.nodes[0], OPERATOR_KEY, SERVICES, "&after=0",
		   NULL);
	expect(&r, 1, 1);
	json_decref(operator_call(cluster.nodes[0], NULL, "POST", "/v1/drain",
				  "{}", 202));
	g_assert_null(watch_next(&r));
	watch_close(&r);
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
