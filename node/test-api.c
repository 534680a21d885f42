/* The administration API, through nodes and a platform as processes. */
#include <curl/curl.h>
#include <sodium.h>
#include <string.h>

#include "node/test-admin.h"

#define SERVICE  "{\"spec\":{\"kind\":\"model\",\"pool\":\"p\"}}"
#define SERVICES "/v1/resources/services"
#define S        SERVICES "/s"
#define ABSENT   "If-None-Match: *"

static const char *argv0;

static void put(const struct proc *node, const char *path, const char *body)
{
	json_decref(operator_call(node, ABSENT, "PUT", path, body, 201));
}

/* A body over the limit (1 MiB unless set otherwise). */
static void check_long_body(const struct proc *node)
{
	struct call_headers headers = {.key = OPERATOR_KEY,
				       .precondition = ABSENT};
	char *body = g_strnfill(3 * 1024 * 1024 / 2, ' ');
	struct reply *r = admin_call(node, headers, "PUT", S, body);

	g_assert_cmpint(r->status, ==, 413);
	reply_free(r);
	g_free(body);
}

static void test_bad_input(void)
{
	static const struct {
		const char *method, *path, *precondition, *body;
		int status;
		const char *want[3]; /* texts of the answer */
	} cases[] = {
		{"PUT", S, ABSENT, "{", 400, {"bad_request"}},
		{"PUT", S, ABSENT, "", 400, {"bad_request"}},
		{"PUT", S, ABSENT, "[]", 400, {"must be an object"}},
		{"PUT",
		 S,
		 ABSENT,
		 "{\"spec\":{\"kind\":\"\xff\"}}",
		 400,
		 {"bad_request"}},
		{"PUT",
		 S,
		 ABSENT,
		 "{\"spec\":{},\"spec\":{}}",
		 400,
		 {"duplicate"}},
		{"PUT",
		 S,
		 ABSENT,
		 "{\"kind\":\"model\"}",
		 400,
		 {"kind and name must be", "spec: required"}},
		{"PUT",
		 S,
		 ABSENT,
		 "{\"sepc\":1,\"spec\":{\"kind\":\"x\",\"poll\":1}}",
		 400,
		 {"sepc: unknown field", "kind: one of",
		  "poll: unknown field"}},
		{"PUT",
		 S,
		 ABSENT,
		 "{\"spec\":{\"kind\":\"x\",\"poll\":1}}",
		 400,
		 {"kind: one of", "poll: unknown field", "pool: required"}},
		{"PUT", S, NULL, SERVICE, 400, {"If-Match: VERSION or"}},
		{"PUT", S, "If-Match: x", SERVICE, 400, {"If-Match: a ver"}},
		{"PUT", S, "If-Match: \"1", SERVICE, 400, {"If-Match: a ver"}},
		{"PUT", S, "If-None-Match: 1", SERVICE, 400, {"only *"}},
		{"PUT", S, "If-Match: 7", SERVICE, 409, {"\"version\": 0"}},
		{"PUT", SERVICES "/S!", ABSENT, SERVICE, 400, {"name: 1 to"}},
		{"PUT",
		 "/v1/resources/servants/s",
		 ABSENT,
		 SERVICE,
		 404,
		 {"no such collection"}},
		{"PUT",
		 "/v1/resources/service/s",
		 ABSENT,
		 SERVICE,
		 404,
		 {"no such collection"}},
		{"PUT",
		 "/v1/resources/intents/i",
		 ABSENT,
		 "{\"spec\":{\"service\":\"x\",\"organisation\":\"y\"}}",
		 400,
		 {"no service", "no organisation"}},
		{"DELETE", S "?force=true", NULL, NULL, 404, {"not_found"}},
		{"DELETE", S, NULL, NULL, 400, {"If-Match: VERSION or"}},
		{"GET", S, NULL, NULL, 404, {"not_found"}},
		{"GET", S "/status", NULL, NULL, 404, {"not_found"}},
		{"GET", "/v1/changes/none", NULL, NULL, 404, {"not_found"}},
		{"GET", "/v1/changes?after=x", NULL, NULL, 400, {"after: a"}},
		{"GET",
		 SERVICES "?watch=true&after=-1",
		 NULL,
		 NULL,
		 400,
		 {"after: a"}},
	};
	struct cluster cluster;

	cluster_start(&cluster, argv0, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct call_headers headers = {.key = OPERATOR_KEY,
					       .precondition =
						       cases[i].precondition};
		struct reply *r =
			admin_call(cluster.nodes[0], headers, cases[i].method,
				   cases[i].path, cases[i].body);
		char *text = json_dumps(r->json, 0);

		g_test_message("%zu: %d %s", i, r->status, text);
		g_assert_cmpint(r->status, ==, cases[i].status);
		for (int k = 0; k < 3 && cases[i].want[k]; k++)
			g_assert_nonnull(strstr(text, cases[i].want[k]));
		free(text);
		reply_free(r);
	}
	check_long_body(cluster.nodes[0]);
	check_audit_trail(cluster.nodes[0]);
	procs_wait_ready(cluster.nodes[0]);
	cluster_stop(&cluster);
}

/* Wait until a key gives the status at a node. */
static void wait_status(const struct proc *node, const char *key,
			const char *path, int status)
{
	int64_t until = time_mono_ms() + WAIT_MS;
	int got = 0;

	while (got != status) {
		struct reply *r =
			admin_call(node, (struct call_headers){.key = key},
				   "GET", path, NULL);

		got = r->status;
		reply_free(r);
		g_assert_cmpint(time_mono_ms(), <, until);
		g_usleep(10000);
	}
}

#define ORG(n)    "/v1/resources/organisations/" n
#define INTENT(n) "/v1/resources/intents/" n
#define INTENT_OF(org, more)                                                   \
	"{\"spec\":{\"service\":\"s\",\"organisation\":\"" org "\"" more "}}"

/* o has an admin's key "adm" and p a caller's key "call". */
static void seed_organisations(struct cluster *cluster)
{
	char *o = organisation_body("adm", "admin");
	char *p = organisation_body("call", "caller");

	put(cluster->nodes[0], S, SERVICE);
	put(cluster->nodes[0], ORG("o"), o);
	put(cluster->nodes[0], ORG("p"), p);
	put(cluster->nodes[0], INTENT("of-p"), INTENT_OF("p", ""));
	wait_status(cluster->nodes[0], "adm", ORG("o"), 200);
	wait_status(cluster->nodes[0], "call", ORG("o"), 403);
	g_free(o);
	g_free(p);
}

static void test_roles(void)
{
	static const struct {
		const char *key, *method, *path, *body;
		int status;
	} cases[] = {
		{NULL, "GET", ORG("o"), NULL, 401},
		{"wrong", "GET", ORG("o"), NULL, 401},
		{"call", "GET", SERVICES, NULL, 403},
		{"call", "PUT", S "?force=true", SERVICE, 403},
		{"call", "POST", "/v1/drain", NULL, 403},
		{"adm", "GET", ORG("o"), NULL, 200},
		{"adm", "GET", ORG("p"), NULL, 404},
		{"adm", "GET", INTENT("of-p"), NULL, 404},
		{"adm", "GET", S, NULL, 404},
		{"adm", "GET", "/v1/nodes", NULL, 403},
		{"adm", "POST", "/v1/drain", NULL, 403},
		{"adm", "PUT", S "?force=true", SERVICE, 403},
		{"adm", "PUT", ORG("o") "?force=true",
		 "{\"spec\":{\"keys\":[],\"weight\":9}}", 403},
		{"adm", "DELETE", ORG("o") "?force=true", NULL, 403},
		{"adm", "DELETE", INTENT("of-p") "?force=true", NULL, 403},
		{"adm", "PUT", INTENT("a") "?force=true", INTENT_OF("p", ""),
		 403},
		{"adm", "PUT", INTENT("a") "?force=true",
		 INTENT_OF("o", ",\"priority\":9"), 403},
		{"adm", "PUT", INTENT("a") "?force=true",
		 INTENT_OF("o", ",\"concurrent\":2"), 201},
		{"adm", "GET", INTENT("a") "/status", NULL, 200},
		{"adm", "GET", INTENT("of-p") "/status", NULL, 404},
	};
	struct cluster cluster;
	json_t *list;

	cluster_start(&cluster, argv0, 1);
	seed_organisations(&cluster);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct reply *r = admin_call(
			cluster.nodes[0],
			(struct call_headers){.key = cases[i].key},
			cases[i].method, cases[i].path, cases[i].body);

		g_test_message("%zu", i);
		g_assert_cmpint(r->status, ==, cases[i].status);
		reply_free(r);
	}
	/* Lists and the audit trail hold the admin's own alone. */
	for (int k = 0; k < 2; k++) {
		static const char *const paths[] = {"/v1/resources/intents",
						    "/v1/changes"};
		struct reply *r = admin_call(
			cluster.nodes[0], (struct call_headers){.key = "adm"},
			"GET", paths[k], NULL);

		list = json_object_get(r->json, k ? "changes" : "items");
		g_assert_cmpuint(json_array_size(list), ==, k ? 2 : 1);
		reply_free(r);
	}
	check_audit_trail(cluster.nodes[0]);
	cluster_stop(&cluster);
}

/* An admin replaces his own key: the new one works, the old one doesn't. */
static void test_rotated_key(void)
{
	char *body = organisation_body("new", "admin");
	struct call_headers old = {.key = "adm"};
	struct reply *r;
	struct cluster cluster;

	cluster_start(&cluster, argv0, 2);
	seed_organisations(&cluster);
	wait_status(cluster.nodes[1], "adm", ORG("o"), 200);
	r = admin_call(cluster.nodes[0], old, "PUT", ORG("o") "?force=true",
		       body);
	g_assert_cmpint(r->status, ==, 200);
	reply_free(r);
	for (int i = 0; i < 2; i++) {
		wait_status(cluster.nodes[i], "new", ORG("o"), 200);
		wait_status(cluster.nodes[i], "adm", ORG("o"), 401);
	}
	g_free(body);
	cluster_stop(&cluster);
}

/* Wait until a status says so; the answer goes to out unless it is NULL. */
static void wait_everywhere(const struct proc *node, const char *path,
			    json_t **out)
{
	int64_t until = time_mono_ms() + WAIT_MS;
	json_t *j = NULL;

	while (!json_is_true(json_object_get(j, "everywhere"))) {
		json_decref(j);
		g_assert_cmpint(time_mono_ms(), <, until);
		j = operator_call(node, NULL, "GET", path, NULL, 200);
	}
	if (out)
		*out = j;
	else
		json_decref(j);
}

static void test_status(void)
{
	struct cluster cluster;
	json_t *all;

	cluster_start(&cluster, argv0, 3);
	put(cluster.nodes[0], S, SERVICE);
	wait_everywhere(cluster.nodes[2], S "/status", &all);
	g_assert_cmpint(get_int(all, "live"), ==, 3);
	g_assert_cmpint(get_int(all, "in_force"), ==, 3);
	g_assert_cmpint(get_int(all, "revision"), ==, 1);
	g_assert_cmpint(get_int(all, "generation"), ==, 1);
	g_assert_cmpint(get_int(all, "since_ms"), >, 0);
	json_decref(all);
	/* A listed node that doesn't answer may not have it. */
	procs_kill(cluster.procs, cluster.nodes[1]);
	json_decref(operator_call(cluster.nodes[0], "If-Match: 1", "PUT", S,
				  SERVICE, 200));
	for (int i = 0; i < 10; i++) {
		json_t *j = operator_call(cluster.nodes[2], NULL, "GET",
					  S "/status", NULL, 200);

		g_assert_false(json_is_true(json_object_get(j, "everywhere")));
		g_assert_cmpint(get_int(j, "since_ms"), ==, 0);
		json_decref(j);
	}
	cluster_stop(&cluster);
}

/* A node that the list does not name can't speak for all nodes. */
static void test_status_unlisted(void)
{
	int64_t until = time_mono_ms() + WAIT_MS;
	bool everywhere = true;
	struct cluster cluster;

	cluster_start(&cluster, argv0, 1);
	put(cluster.nodes[0], S, SERVICE);
	wait_everywhere(cluster.nodes[0], S "/status", NULL);
	json_decref(procs_call_json(cluster.platform, "PUT",
				    "/standin/instances", "[]"));
	while (everywhere) {
		json_t *j = operator_call(cluster.nodes[0], NULL, "GET",
					  S "/status", NULL, 200);

		everywhere = json_is_true(json_object_get(j, "everywhere"));
		json_decref(j);
		g_assert_cmpint(time_mono_ms(), <, until);
	}
	cluster_stop(&cluster);
}

/* Effect without answer; then effect without answer and an outage. */
static void test_lost_answers(void)
{
	struct call_headers headers = {.key = OPERATOR_KEY,
				       .precondition = ABSENT,
				       .change_id = "change-1",
				       .change_attempt = "1"};
	struct cluster cluster;
	struct reply *r;
	json_t *j;

	cluster_start(&cluster, argv0, 2);
	cluster_set_faults(&cluster, "{\"lose\":1}");
	r = admin_call(cluster.nodes[0], headers, "PUT", S, SERVICE);
	g_assert_cmpint(r->status, ==, 201);
	reply_free(r);

	cluster_set_faults(&cluster, "{\"down\":true}");
	headers.change_id = "change-2";
	headers.precondition = "If-Match: 1";
	r = admin_call(cluster.nodes[0], headers, "PUT", S, SERVICE);
	g_assert_cmpint(r->status, ==, 503);
	g_assert_cmpstr(r->outcome, ==, "not-run");
	reply_free(r);

	cluster_set_faults(&cluster, "{\"cut\":true}");
	r = admin_call(cluster.nodes[0], headers, "PUT", S, SERVICE);
	g_assert_cmpint(r->status, ==, 503);
	g_assert_cmpstr(r->outcome, ==, "unknown");
	g_assert_cmpstr(get_string(r->json, "change"), ==, "change-2");
	reply_free(r);
	/* Through another node while the store is down: still unknown. */
	headers.change_attempt = "2";
	r = admin_call(cluster.nodes[1], headers, "PUT", S, SERVICE);
	g_assert_cmpstr(r->outcome, ==, "unknown");
	reply_free(r);

	cluster_set_faults(&cluster, "{}");
	j = operator_call(cluster.nodes[1], NULL, "GET", "/v1/changes/change-2",
			  NULL, 200);
	g_assert_cmpint(get_int(j, "revision"), ==, 2);
	json_decref(j);
	r = admin_call(cluster.nodes[1], headers, "PUT", S, SERVICE);
	g_assert_cmpint(r->status, ==, 200);
	g_assert_true(json_is_true(json_object_get(r->json, "repeated")));
	g_assert_cmpint(get_int(r->json, "version"), ==, 2);
	reply_free(r);
	check_audit_trail(cluster.nodes[0]);
	cluster_stop(&cluster);
}

/* Reads from before a change don't make it look undone or conflict. */
static void test_stale_reads(void)
{
	struct call_headers headers = {.key = OPERATOR_KEY,
				       .precondition = "If-Match: 2"};
	struct cluster cluster;
	struct reply *r;

	cluster_start(&cluster, argv0, 1);
	put(cluster.nodes[0], S, SERVICE);
	json_decref(operator_call(cluster.nodes[0], "If-Match: 1", "PUT", S,
				  SERVICE, 200));
	wait_everywhere(cluster.nodes[0], S "/status", NULL);
	cluster_set_faults(&cluster, "{\"stale\":1}");
	r = admin_call(cluster.nodes[0],
		       (struct call_headers){.key = OPERATOR_KEY}, "GET", S,
		       NULL);
	g_assert_cmpint(r->status, ==, 503); /* never version 1 again */
	reply_free(r);
	r = admin_call(cluster.nodes[0], headers, "PUT", S, SERVICE);
	/* Every read is from the past: refused for now, but no conflict. */
	g_assert_cmpstr(error_type(r->json), ==, "store_down");
	g_assert_cmpstr(r->outcome, ==, "not-run");
	reply_free(r);
	cluster_set_faults(&cluster, "{}");
	r = admin_call(cluster.nodes[0], headers, "PUT", S, SERVICE);
	g_assert_cmpint(r->status, ==, 200);
	reply_free(r);
	check_audit_trail(cluster.nodes[0]);
	cluster_stop(&cluster);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	argv0 = argv[0];
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL))
		return 1;
	g_test_add_func("/node/api/bad-input", test_bad_input);
	g_test_add_func("/node/api/roles", test_roles);
	g_test_add_func("/node/api/rotated-key", test_rotated_key);
	g_test_add_func("/node/api/status", test_status);
	g_test_add_func("/node/api/status-unlisted", test_status_unlisted);
	g_test_add_func("/node/api/lost-answers", test_lost_answers);
	g_test_add_func("/node/api/stale-reads", test_stale_reads);
	return g_test_run();
}
