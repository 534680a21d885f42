/* Administration API: validation, roles, rollout status and lost responses. */
#include <curl/curl.h>
#include <sodium.h>
#include <string.h>

#include "node/test-cluster.h"

#define SERVICE_BODY  "{\"spec\":{\"kind\":\"model\",\"pool\":\"p\"}}"
#define SERVICES_PATH "/v1/resources/services"
#define SERVICE_PATH  SERVICES_PATH "/s"
#define IF_ABSENT     "If-None-Match: *"

static const char *argv0;

static void create(const struct proc *node, const char *path, const char *body)
{
	json_decref(operator_call(node, IF_ABSENT, "PUT", path, body, 201));
}

/* The body exceeds limits.body, which is 1 MiB by default. */
static void check_oversized_body(const struct proc *node)
{
	struct call_headers headers = {.key = OPERATOR_KEY,
				       .precondition = IF_ABSENT};
	char *body = g_strnfill(3 * 1024 * 1024 / 2, ' ');
	struct reply *r = admin_call(node, headers, "PUT", SERVICE_PATH, body);

	g_assert_cmpint(r->status, ==, 413);
	reply_free(r);
	g_free(body);
}

/* Bad requests get a clear error, and the node stays ready. */
static void test_bad_input(void)
{
	static const struct {
		const char *method, *path, *precondition, *body;
		int status;
		const char *want[3]; /* each must occur in the response */
	} cases[] = {
		{"PUT", SERVICE_PATH, IF_ABSENT, "{", 400, {"bad_request"}},
		{"PUT", SERVICE_PATH, IF_ABSENT, "", 400, {"bad_request"}},
		{"PUT",
		 SERVICE_PATH,
		 IF_ABSENT,
		 "[]",
		 400,
		 {"must be an object"}},
		{"PUT",
		 SERVICE_PATH,
		 IF_ABSENT,
		 "{\"spec\":{\"kind\":\"\xff\"}}",
		 400,
		 {"bad_request"}},
		{"PUT",
		 SERVICE_PATH,
		 IF_ABSENT,
		 "{\"spec\":{},\"spec\":{}}",
		 400,
		 {"duplicate"}},
		{"PUT",
		 SERVICE_PATH,
		 IF_ABSENT,
		 "{\"kind\":\"model\"}",
		 400,
		 {"kind and name must be", "spec: required"}},
		{"PUT",
		 SERVICE_PATH,
		 IF_ABSENT,
		 "{\"sepc\":1,\"spec\":{\"kind\":\"x\",\"poll\":1}}",
		 400,
		 {"sepc: unknown field", "kind: one of",
		  "poll: unknown field"}},
		{"PUT",
		 SERVICE_PATH,
		 IF_ABSENT,
		 "{\"spec\":{\"kind\":\"x\",\"poll\":1}}",
		 400,
		 {"kind: one of", "poll: unknown field", "pool: required"}},
		{"PUT",
		 SERVICE_PATH,
		 NULL,
		 SERVICE_BODY,
		 400,
		 {"If-Match: VERSION or"}},
		{"PUT",
		 SERVICE_PATH,
		 "If-Match: x",
		 SERVICE_BODY,
		 400,
		 {"If-Match: a ver"}},
		{"PUT",
		 SERVICE_PATH,
		 "If-Match: \"1",
		 SERVICE_BODY,
		 400,
		 {"If-Match: a ver"}},
		{"PUT",
		 SERVICE_PATH,
		 "If-None-Match: 1",
		 SERVICE_BODY,
		 400,
		 {"only *"}},
		{"PUT",
		 SERVICE_PATH,
		 "If-Match: 7",
		 SERVICE_BODY,
		 409,
		 {"\"version\": 0"}},
		{"PUT",
		 SERVICES_PATH "/S!",
		 IF_ABSENT,
		 SERVICE_BODY,
		 400,
		 {"name: 1 to"}},
		{"PUT",
		 "/v1/resources/servants/s",
		 IF_ABSENT,
		 SERVICE_BODY,
		 404,
		 {"no such collection"}},
		{"PUT",
		 "/v1/resources/service/s",
		 IF_ABSENT,
		 SERVICE_BODY,
		 404,
		 {"no such collection"}},
		{"PUT",
		 "/v1/resources/intents/i",
		 IF_ABSENT,
		 "{\"spec\":{\"service\":\"x\",\"organisation\":\"y\"}}",
		 400,
		 {"no service", "no organisation"}},
		{"DELETE",
		 SERVICE_PATH "?force=true",
		 NULL,
		 NULL,
		 404,
		 {"not_found"}},
		{"DELETE",
		 SERVICE_PATH,
		 NULL,
		 NULL,
		 400,
		 {"If-Match: VERSION or"}},
		{"GET", SERVICE_PATH, NULL, NULL, 404, {"not_found"}},
		{"GET", SERVICE_PATH "/status", NULL, NULL, 404, {"not_found"}},
		{"GET", "/v1/changes/none", NULL, NULL, 404, {"not_found"}},
		{"GET", "/v1/changes?after=x", NULL, NULL, 400, {"after: a"}},
		{"GET",
		 SERVICES_PATH "?watch=true&after=-1",
		 NULL,
		 NULL,
		 400,
		 {"after: a"}},
	};
	struct cluster cluster;

	launch(&cluster, argv0, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct call_headers headers = {.key = OPERATOR_KEY,
					       .precondition =
						       cases[i].precondition};
		struct reply *r =
			admin_call(cluster.nodes[0], headers, cases[i].method,
				   cases[i].path, cases[i].body);
		char *json = json_dumps(r->json, 0);

		g_test_message("%zu: %d %s", i, r->status, json);
		g_assert_cmpint(r->status, ==, cases[i].status);
		for (int k = 0; k < 3 && cases[i].want[k]; k++)
			g_assert_nonnull(strstr(json, cases[i].want[k]));
		free(json);
		reply_free(r);
	}
	check_oversized_body(cluster.nodes[0]);
	check_audit_trail(cluster.nodes[0]);
	procs_wait_ready(cluster.nodes[0]);
	cluster_stop(&cluster);
}

/* Poll until the node answers a GET with this key and status. */
static void wait_key_status(const struct proc *node, const char *key,
			    const char *path, int status)
{
	int64_t until = time_mono_ms() + WAIT_MS;
	int got_status = 0;

	while (got_status != status) {
		struct reply *r =
			admin_call(node, (struct call_headers){.key = key},
				   "GET", path, NULL);

		got_status = r->status;
		reply_free(r);
		g_assert_cmpint(time_mono_ms(), <, until);
		g_usleep(10000);
	}
}

#define ORGANISATION_PATH(n) "/v1/resources/organisations/" n
#define INTENT_PATH(n)       "/v1/resources/intents/" n
#define INTENT_BODY(org, more)                                                 \
	"{\"spec\":{\"service\":\"s\",\"organisation\":\"" org "\"" more "}}"

/* Organisation o has the admin key "adm", p the caller key "call". */
static void seed_organisations(struct cluster *cluster)
{
	char *admin_org = organisation_body("adm", "admin");
	char *caller_org = organisation_body("call", "caller");

	create(cluster->nodes[0], SERVICE_PATH, SERVICE_BODY);
	create(cluster->nodes[0], ORGANISATION_PATH("o"), admin_org);
	create(cluster->nodes[0], ORGANISATION_PATH("p"), caller_org);
	create(cluster->nodes[0], INTENT_PATH("of-p"), INTENT_BODY("p", ""));
	wait_key_status(cluster->nodes[0], "adm", ORGANISATION_PATH("o"), 200);
	wait_key_status(cluster->nodes[0], "call", ORGANISATION_PATH("o"), 403);
	g_free(admin_org);
	g_free(caller_org);
}

/* What is allowed without a key, with a caller's key and with an admin's. */
static void test_roles(void)
{
	static const struct {
		const char *key, *method, *path, *body;
		int status;
	} cases[] = {
		{NULL, "GET", ORGANISATION_PATH("o"), NULL, 401},
		{"wrong", "GET", ORGANISATION_PATH("o"), NULL, 401},
		{"call", "GET", SERVICES_PATH, NULL, 403},
		{"call", "PUT", SERVICE_PATH "?force=true", SERVICE_BODY, 403},
		{"call", "POST", "/v1/drain", NULL, 403},
		{"adm", "GET", ORGANISATION_PATH("o"), NULL, 200},
		{"adm", "GET", ORGANISATION_PATH("p"), NULL, 404},
		{"adm", "GET", INTENT_PATH("of-p"), NULL, 404},
		{"adm", "GET", SERVICE_PATH, NULL, 404},
		{"adm", "GET", "/v1/nodes", NULL, 403},
		{"adm", "POST", "/v1/drain", NULL, 403},
		{"adm", "PUT", SERVICE_PATH "?force=true", SERVICE_BODY, 403},
		{"adm", "PUT", ORGANISATION_PATH("o") "?force=true",
		 "{\"spec\":{\"keys\":[],\"weight\":9}}", 403},
		{"adm", "DELETE", ORGANISATION_PATH("o") "?force=true", NULL,
		 403},
		{"adm", "DELETE", INTENT_PATH("of-p") "?force=true", NULL, 403},
		{"adm", "PUT", INTENT_PATH("a") "?force=true",
		 INTENT_BODY("p", ""), 403},
		{"adm", "PUT", INTENT_PATH("a") "?force=true",
		 INTENT_BODY("o", ",\"priority\":9"), 403},
		{"adm", "PUT", INTENT_PATH("a") "?force=true",
		 INTENT_BODY("o", ",\"concurrent\":2"), 201},
		{"adm", "GET", INTENT_PATH("a") "/status", NULL, 200},
		{"adm", "GET", INTENT_PATH("of-p") "/status", NULL, 404},
	};
	struct cluster cluster;
	json_t *items;

	launch(&cluster, argv0, 1);
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
	/* An admin's lists hold only resources of his organisation. */
	for (int k = 0; k < 2; k++) {
		static const char *const paths[] = {"/v1/resources/intents",
						    "/v1/changes"};
		struct reply *r = admin_call(
			cluster.nodes[0], (struct call_headers){.key = "adm"},
			"GET", paths[k], NULL);

		items = json_object_get(r->json, k ? "changes" : "items");
		g_assert_cmpuint(json_array_size(items), ==, k ? 2 : 1);
		reply_free(r);
	}
	check_audit_trail(cluster.nodes[0]);
	cluster_stop(&cluster);
}

/* After an admin replaced his key, every node takes the new one only. */
static void test_rotated_key(void)
{
	char *body = organisation_body("new", "admin");
	struct call_headers old_admin = {.key = "adm"};
	struct reply *r;
	struct cluster cluster;

	launch(&cluster, argv0, 2);
	seed_organisations(&cluster);
	wait_key_status(cluster.nodes[1], "adm", ORGANISATION_PATH("o"), 200);
	r = admin_call(cluster.nodes[0], old_admin, "PUT",
		       ORGANISATION_PATH("o") "?force=true", body);
	g_assert_cmpint(r->status, ==, 200);
	reply_free(r);
	for (int i = 0; i < 2; i++) {
		wait_key_status(cluster.nodes[i], "new", ORGANISATION_PATH("o"),
				200);
		wait_key_status(cluster.nodes[i], "adm", ORGANISATION_PATH("o"),
				401);
	}
	g_free(body);
	cluster_stop(&cluster);
}

/* Poll a status until "everywhere" is true; *out gets it unless NULL. */
static void wait_in_force_everywhere(const struct proc *node, const char *path,
				     json_t **out)
{
	int64_t until = time_mono_ms() + WAIT_MS;
	json_t *rollout = NULL;

	while (!json_is_true(json_object_get(rollout, "everywhere"))) {
		json_decref(rollout);
		g_assert_cmpint(time_mono_ms(), <, until);
		rollout = operator_call(node, NULL, "GET", path, NULL, 200);
	}
	if (out)
		*out = rollout;
	else
		json_decref(rollout);
}

/* Rollout status of a revision, with all nodes up and with one down. */
static void test_status(void)
{
	struct cluster cluster;
	json_t *rollout;

	launch(&cluster, argv0, 3);
	create(cluster.nodes[0], SERVICE_PATH, SERVICE_BODY);
	wait_in_force_everywhere(cluster.nodes[2], SERVICE_PATH "/status",
				 &rollout);
	g_assert_cmpint(get_int(rollout, "live"), ==, 3);
	g_assert_cmpint(get_int(rollout, "in_force"), ==, 3);
	g_assert_cmpint(get_int(rollout, "revision"), ==, 1);
	g_assert_cmpint(get_int(rollout, "generation"), ==, 1);
	g_assert_cmpint(get_int(rollout, "since_ms"), >, 0);
	json_decref(rollout);
	/* A listed node that does not answer may lack the revision. */
	procs_kill(cluster.procs, cluster.nodes[1]);
	json_decref(operator_call(cluster.nodes[0], "If-Match: 1", "PUT",
				  SERVICE_PATH, SERVICE_BODY, 200));
	for (int i = 0; i < 10; i++) {
		json_t *partial =
			operator_call(cluster.nodes[2], NULL, "GET",
				      SERVICE_PATH "/status", NULL, 200);

		g_assert_false(
			json_is_true(json_object_get(partial, "everywhere")));
		g_assert_cmpint(get_int(partial, "since_ms"), ==, 0);
		json_decref(partial);
	}
	cluster_stop(&cluster);
}

/*
 * A node outside the instance list can't know all nodes, so it must not report
 * that a revision is in force everywhere.
 */
static void test_status_unlisted(void)
{
	int64_t until = time_mono_ms() + WAIT_MS;
	bool everywhere = true;
	struct cluster cluster;

	launch(&cluster, argv0, 1);
	create(cluster.nodes[0], SERVICE_PATH, SERVICE_BODY);
	wait_in_force_everywhere(cluster.nodes[0], SERVICE_PATH "/status",
				 NULL);
	json_decref(procs_call_json(cluster.platform, "PUT",
				    "/standin/instances", "[]"));
	while (everywhere) {
		json_t *rollout =
			operator_call(cluster.nodes[0], NULL, "GET",
				      SERVICE_PATH "/status", NULL, 200);

		everywhere =
			json_is_true(json_object_get(rollout, "everywhere"));
		json_decref(rollout);
		g_assert_cmpint(time_mono_ms(), <, until);
	}
	cluster_stop(&cluster);
}

/*
 * The store commits a change but its response is lost, first with the store
 * up, then in an outage. A repeat under the same Change-Id must find out what
 * became of the change and never apply it twice.
 */
static void test_lost_answers(void)
{
	struct call_headers headers = {.key = OPERATOR_KEY,
				       .precondition = IF_ABSENT,
				       .change_id = "change-1",
				       .change_attempt = "1"};
	struct cluster cluster;
	struct reply *r;
	json_t *change;

	launch(&cluster, argv0, 2);
	cluster_set_faults(&cluster, "{\"lose\":1}");
	r = admin_call(cluster.nodes[0], headers, "PUT", SERVICE_PATH,
		       SERVICE_BODY);
	g_assert_cmpint(r->status, ==, 201);
	reply_free(r);

	cluster_set_faults(&cluster, "{\"down\":true}");
	headers.change_id = "change-2";
	headers.precondition = "If-Match: 1";
	r = admin_call(cluster.nodes[0], headers, "PUT", SERVICE_PATH,
		       SERVICE_BODY);
	g_assert_cmpint(r->status, ==, 503);
	g_assert_cmpstr(r->outcome, ==, "not-run");
	reply_free(r);

	cluster_set_faults(&cluster, "{\"cut\":true}");
	r = admin_call(cluster.nodes[0], headers, "PUT", SERVICE_PATH,
		       SERVICE_BODY);
	g_assert_cmpint(r->status, ==, 503);
	g_assert_cmpstr(r->outcome, ==, "unknown");
	g_assert_cmpstr(get_string(r->json, "change"), ==, "change-2");
	reply_free(r);
	/* During the outage, another node can't tell either. */
	headers.change_attempt = "2";
	r = admin_call(cluster.nodes[1], headers, "PUT", SERVICE_PATH,
		       SERVICE_BODY);
	g_assert_cmpstr(r->outcome, ==, "unknown");
	reply_free(r);

	cluster_set_faults(&cluster, "{}");
	change = operator_call(cluster.nodes[1], NULL, "GET",
			       "/v1/changes/change-2", NULL, 200);
	g_assert_cmpint(get_int(change, "revision"), ==, 2);
	json_decref(change);
	r = admin_call(cluster.nodes[1], headers, "PUT", SERVICE_PATH,
		       SERVICE_BODY);
	g_assert_cmpint(r->status, ==, 200);
	g_assert_true(json_is_true(json_object_get(r->json, "repeated")));
	g_assert_cmpint(get_int(r->json, "version"), ==, 2);
	reply_free(r);
	check_audit_trail(cluster.nodes[0]);
	cluster_stop(&cluster);
}

/*
 * The store serves reads from before a change. The node must neither return
 * the old version nor report a conflict.
 */
static void test_stale_reads(void)
{
	struct call_headers headers = {.key = OPERATOR_KEY,
				       .precondition = "If-Match: 2"};
	struct cluster cluster;
	struct reply *r;

	launch(&cluster, argv0, 1);
	create(cluster.nodes[0], SERVICE_PATH, SERVICE_BODY);
	json_decref(operator_call(cluster.nodes[0], "If-Match: 1", "PUT",
				  SERVICE_PATH, SERVICE_BODY, 200));
	wait_in_force_everywhere(cluster.nodes[0], SERVICE_PATH "/status",
				 NULL);
	cluster_set_faults(&cluster, "{\"stale\":1}");
	r = admin_call(cluster.nodes[0],
		       (struct call_headers){.key = OPERATOR_KEY}, "GET",
		       SERVICE_PATH, NULL);
	g_assert_cmpint(r->status, ==, 503); /* version 2 is known, so not 1 */
	reply_free(r);
	r = admin_call(cluster.nodes[0], headers, "PUT", SERVICE_PATH,
		       SERVICE_BODY);
	/* All reads are stale: refuse for now, but not as a conflict. */
	g_assert_cmpstr(error_type(r->json), ==, "store_down");
	g_assert_cmpstr(r->outcome, ==, "not-run");
	reply_free(r);
	cluster_set_faults(&cluster, "{}");
	r = admin_call(cluster.nodes[0], headers, "PUT", SERVICE_PATH,
		       SERVICE_BODY);
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
