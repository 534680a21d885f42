/*
 * Idempotency keys with two nodes, a platform and a plain service: a request
 * runs at most once, whichever node it is repeated at.
 */
#include <curl/curl.h>
#include <sodium.h>
#include <string.h>

#include "node/test-procs.h"
#include "state/state.h"

#define AUTH "Authorization: Bearer secret"
#define PATH "/v1/services/forum/app/post"

static const char *argv0;

struct fixture {
	struct procs *procs;
	struct proc *platform, *service, *nodes[2];
};

static void declare_resources(struct fixture *f)
{
	char *hash = key_hash(STR_LIT("secret"));
	char *rows = g_strdup_printf(
		"{\"id\":\"seed\",\"puts\":["
		"{\"key\":\"res/organisation/o\",\"value\":{\"spec\":{"
		"\"keys\":[{\"hash\":\"%s\",\"role\":\"caller\"}]}}},"
		"{\"key\":\"res/service/forum\",\"value\":{\"spec\":{"
		"\"kind\":\"plain\",\"pool\":\"forum\"}}},"
		"{\"key\":\"head/config\",\"value\":{\"revision\":2}}]}",
		hash);
	char *list = g_strdup_printf(
		"[{\"name\":\"s1\",\"role\":\"service\",\"pool\":\"forum\","
		"\"zone\":\"a\",\"region\":\"local\",\"state\":\"live\","
		"\"address\":\"127.0.0.1:%d\"}]",
		f->service->port);

	json_decref(procs_call_json(f->platform, "POST", "/table/txn", rows));
	json_decref(procs_call_json(f->platform, "PUT", "/standin/instances",
				    list));
	g_free(hash);
	g_free(rows);
	g_free(list);
}

static void fixture_start(struct fixture *f)
{
	f->procs = procs_new(argv0);
	f->platform = procs_start_standin(f->procs, "platform", "platform");
	f->service = procs_start_standin(f->procs, "service", "service");
	declare_resources(f);
	for (int i = 0; i < 2; i++) {
		f->nodes[i] = procs_start_node(f->procs, i ? "n2" : "n1",
					       f->platform, NULL);
		procs_wait_ready(f->nodes[i]);
	}
}

static void set_faults(struct proc *proc, const char *json)
{
	json_decref(procs_call_json(proc, "PUT", "/standin/faults", json));
}

/* Return how often the service ran a request with this key. */
static int64_t run_count(struct fixture *f, const char *key)
{
	json_t *counts =
		procs_call_json(f->service, "GET", "/standin/runs", NULL);
	int64_t n = json_integer_value(json_object_get(counts, key));

	json_decref(counts);
	return n;
}

static struct reply *post(struct proc *node, const char *key, int attempt,
			  const char *body)
{
	char *key_header = g_strdup_printf("Idempotency-Key: %s", key);
	char *attempt_header = g_strdup_printf("Ramp-Attempt: %d", attempt);
	const char *headers[] = {AUTH, attempt_header, key ? key_header : NULL,
				 NULL};
	struct reply *r = procs_call(node, "POST", PATH, headers, body);

	g_free(key_header);
	g_free(attempt_header);
	return r;
}

/*
 * Send a request and check status and outcome. Return the idempotency key of
 * the response; free with g_free.
 */
static char *expect_response(struct proc *node, const char *key, int attempt,
			     const char *body, int status, const char *outcome)
{
	struct reply *r = post(node, key, attempt, body);
	char *response_key = g_strdup(r->idempotency_key);

	g_assert_cmpint(r->status, ==, status);
	g_assert_cmpstr(r->outcome, ==, outcome);
	reply_free(r);
	return response_key;
}

static void expect_outcome(struct proc *node, const char *key, int attempt,
			   int status, const char *outcome)
{
	g_free(expect_response(node, key, attempt, "x", status, outcome));
}

/* A repeat gets the stored response; another body under the key is refused. */
static void test_repeat(struct fixture *f)
{
	expect_outcome(f->nodes[0], "k1", 0, 200, "complete");
	expect_outcome(f->nodes[1], "k1", 0, 200, "complete");
	g_free(expect_response(f->nodes[1], "k1", 0, "y", 422, "not-run"));
	g_assert_cmpint(run_count(f, "k1"), ==, 1);
}

/* The service runs the request and its response is lost: never run it again. */
static void test_lost_answer(struct fixture *f)
{
	set_faults(f->service, "{\"lose\":1}");
	expect_outcome(f->nodes[0], "k2", 0, 502, "unknown");
	expect_outcome(f->nodes[1], "k2", 0, 502, "unknown");
	expect_outcome(f->nodes[1], "k2", 1, 502, "unknown");
	g_assert_cmpint(run_count(f, "k2"), ==, 1);
}

/* A request that did not run may run under the next attempt number. */
static void test_refused(struct fixture *f)
{
	set_faults(f->service, "{\"down\":true}");
	expect_outcome(f->nodes[0], "k3", 0, 503, "not-run");
	set_faults(f->service, "{}");
	expect_outcome(f->nodes[1], "k3", 0, 409, "not-run");
	g_assert_cmpint(run_count(f, "k3"), ==, 0);
	expect_outcome(f->nodes[1], "k3", 1, 200, "complete");
	g_assert_cmpint(run_count(f, "k3"), ==, 1);
}

/* The store takes the claim, but its response to the node is lost. */
static void test_claim_lost(struct fixture *f)
{
	set_faults(f->platform, "{\"lose\":1}");
	expect_outcome(f->nodes[0], "k4", 0, 200, "complete");
	g_assert_cmpint(run_count(f, "k4"), ==, 1);
}

/* Have node 0 issue a key. Free with g_free. */
static char *request_issued_key(struct fixture *f)
{
	const char *headers[] = {AUTH, NULL};
	struct reply *r =
		procs_call(f->nodes[0], "POST", "/v1/keys", headers, NULL);
	char *key =
		g_strdup(json_string_value(json_object_get(r->json, "key")));

	g_assert_nonnull(key);
	reply_free(r);
	return key;
}

/*
 * Only the process that issued a key runs requests with it, so those need no
 * store. While the store is down, a node runs no others.
 */
static void test_store_down(struct fixture *f)
{
	char *key;

	set_faults(f->platform, "{\"down\":true}");
	expect_outcome(f->nodes[0], "k5", 0, 503, "unknown");
	g_assert_cmpint(run_count(f, "k5"), ==, 0);
	key = request_issued_key(f);
	expect_outcome(f->nodes[1], key, 0, 502, "unknown");
	g_assert_cmpint(run_count(f, key), ==, 0);
	expect_outcome(f->nodes[0], key, 0, 200, "complete");
	expect_outcome(f->nodes[0], key, 0, 200, "complete");
	g_assert_cmpint(run_count(f, key), ==, 1);
	g_free(key);
	key = expect_response(f->nodes[0], NULL, 0, "x", 200, "complete");
	expect_outcome(f->nodes[0], key, 0, 200, "complete");
	expect_outcome(f->nodes[1], key, 0, 502, "unknown");
	g_assert_cmpint(run_count(f, key), ==, 1);
	g_free(key);
	set_faults(f->platform, "{}");
	expect_outcome(f->nodes[0], "k5", 0, 200, "complete");
	g_assert_cmpint(run_count(f, "k5"), ==, 1);
}

/* A call without a key is not retried once the service may have it. */
static void test_no_key(struct fixture *f)
{
	char *key;

	set_faults(f->service, "{\"lose\":1}");
	key = expect_response(f->nodes[0], NULL, 0, "x", 502, "unknown");
	expect_outcome(f->nodes[0], key, 0, 502, "unknown");
	g_assert_cmpint(run_count(f, key), ==, 1);
	g_free(key);
}

static void run_test(const void *test)
{
	struct fixture f;

	fixture_start(&f);
	((void (*)(struct fixture *))test)(&f);
	procs_free(f.procs);
}

static void add_test(const char *path, void (*test)(struct fixture *))
{
	g_test_add_data_func(path, (const void *)test, run_test);
}

int main(int argc, char **argv)
{
	argv0 = argv[0];
	g_test_init(&argc, &argv, NULL);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL))
		return 1;
	add_test("/node/claims/repeat", test_repeat);
	add_test("/node/claims/lost-answer", test_lost_answer);
	add_test("/node/claims/refused", test_refused);
	add_test("/node/claims/claim-lost", test_claim_lost);
	add_test("/node/claims/store-down", test_store_down);
	add_test("/node/claims/no-key", test_no_key);
	return g_test_run();
}
