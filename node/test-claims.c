/* At most once, end to end: two nodes, a platform and a plain service. */
#include <curl/curl.h>
#include <sodium.h>
#include <string.h>

#include "node/test-procs.h"
#include "state/state.h"

#define AUTH "Authorization: Bearer secret"
#define PATH "/v1/services/forum/app/post"

static const char *argv0;

struct world {
	struct procs *procs;
	struct proc *platform, *service, *nodes[2];
};

static void seed(struct world *w)
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
		w->service->port);

	json_decref(procs_call_json(w->platform, "POST", "/table/txn", rows));
	json_decref(procs_call_json(w->platform, "PUT", "/standin/instances",
				    list));
	g_free(hash);
	g_free(rows);
	g_free(list);
}

static void set_up(struct world *w)
{
	w->procs = procs_new(argv0);
	w->platform = procs_start_standin(w->procs, "platform", "platform");
	w->service = procs_start_standin(w->procs, "service", "service");
	seed(w);
	for (int i = 0; i < 2; i++) {
		w->nodes[i] = procs_start_node(w->procs, i ? "n2" : "n1",
					       w->platform, NULL);
		procs_wait_ready(w->nodes[i]);
	}
}

static void faults(struct proc *x, const char *text)
{
	json_decref(procs_call_json(x, "PUT", "/standin/faults", text));
}

static int64_t runs(struct world *w, const char *key)
{
	json_t *j = procs_call_json(w->service, "GET", "/standin/runs", NULL);
	int64_t n = json_integer_value(json_object_get(j, key));

	json_decref(j);
	return n;
}

static struct reply *post(struct proc *node, const char *key, int attempt,
			  const char *body)
{
	char *k = g_strdup_printf("Idempotency-Key: %s", key);
	char *a = g_strdup_printf("Ramp-Attempt: %d", attempt);
	const char *headers[] = {AUTH, a, key ? k : NULL, NULL};
	struct reply *r = procs_call(node, "POST", PATH, headers, body);

	g_free(k);
	g_free(a);
	return r;
}

/* Send and check status and outcome; the reply's key is returned. */
static char *expect(struct proc *node, const char *key, int attempt,
		    const char *body, int status, const char *outcome)
{
	struct reply *r = post(node, key, attempt, body);
	char *k = g_strdup(r->idempotency_key);

	g_assert_cmpint(r->status, ==, status);
	g_assert_cmpstr(r->outcome, ==, outcome);
	reply_free(r);
	return k;
}

static void sends(struct proc *node, const char *key, int attempt, int status,
		  const char *outcome)
{
	g_free(expect(node, key, attempt, "x", status, outcome));
}

static void test_repeat(struct world *w)
{
	sends(w->nodes[0], "k1", 0, 200, "complete");
	sends(w->nodes[1], "k1", 0, 200, "complete");
	g_free(expect(w->nodes[1], "k1", 0, "y", 422, "not-run"));
	g_assert_cmpint(runs(w, "k1"), ==, 1);
}

static void test_lost_answer(struct world *w)
{
	faults(w->service, "{\"lose\":1}");
	sends(w->nodes[0], "k2", 0, 502, "unknown");
	sends(w->nodes[1], "k2", 0, 502, "unknown");
	sends(w->nodes[1], "k2", 1, 502, "unknown");
	g_assert_cmpint(runs(w, "k2"), ==, 1);
}

static void test_refused(struct world *w)
{
	faults(w->service, "{\"down\":true}");
	sends(w->nodes[0], "k3", 0, 503, "not-run");
	faults(w->service, "{}");
	sends(w->nodes[1], "k3", 0, 409, "not-run");
	g_assert_cmpint(runs(w, "k3"), ==, 0);
	sends(w->nodes[1], "k3", 1, 200, "complete");
	g_assert_cmpint(runs(w, "k3"), ==, 1);
}

static void test_claim_lost(struct world *w)
{
	faults(w->platform, "{\"lose\":1}");
	sends(w->nodes[0], "k4", 0, 200, "complete");
	g_assert_cmpint(runs(w, "k4"), ==, 1);
}

static char *issued_key(struct world *w)
{
	const char *headers[] = {AUTH, NULL};
	struct reply *r =
		procs_call(w->nodes[0], "POST", "/v1/keys", headers, NULL);
	char *k = g_strdup(json_string_value(json_object_get(r->json, "key")));

	g_assert_nonnull(k);
	reply_free(r);
	return k;
}

/* While the store is down, only keys of the node itself can be run. */
static void test_store_down(struct world *w)
{
	char *key;

	faults(w->platform, "{\"down\":true}");
	sends(w->nodes[0], "k5", 0, 503, "unknown");
	g_assert_cmpint(runs(w, "k5"), ==, 0);
	key = issued_key(w);
	sends(w->nodes[1], key, 0, 502, "unknown");
	g_assert_cmpint(runs(w, key), ==, 0);
	sends(w->nodes[0], key, 0, 200, "complete");
	sends(w->nodes[0], key, 0, 200, "complete");
	g_assert_cmpint(runs(w, key), ==, 1);
	g_free(key);
	key = expect(w->nodes[0], NULL, 0, "x", 200, "complete");
	sends(w->nodes[0], key, 0, 200, "complete");
	sends(w->nodes[1], key, 0, 502, "unknown");
	g_assert_cmpint(runs(w, key), ==, 1);
	g_free(key);
	faults(w->platform, "{}");
	sends(w->nodes[0], "k5", 0, 200, "complete");
	g_assert_cmpint(runs(w, "k5"), ==, 1);
}

/* A call without a key is never sent again once it may have been sent. */
static void test_no_key(struct world *w)
{
	char *key;

	faults(w->service, "{\"lose\":1}");
	key = expect(w->nodes[0], NULL, 0, "x", 502, "unknown");
	sends(w->nodes[0], key, 0, 502, "unknown");
	g_assert_cmpint(runs(w, key), ==, 1);
	g_free(key);
}

static void run(const void *fn)
{
	struct world w;

	set_up(&w);
	((void (*)(struct world *))fn)(&w);
	procs_free(w.procs);
}

static void add(const char *path, void (*fn)(struct world *))
{
	g_test_add_data_func(path, (const void *)fn, run);
}

int main(int argc, char **argv)
{
	argv0 = argv[0];
	g_test_init(&argc, &argv, NULL);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL))
		return 1;
	add("/node/claims/repeat", test_repeat);
	add("/node/claims/lost-answer", test_lost_answer);
	add("/node/claims/refused", test_refused);
	add("/node/claims/claim-lost", test_claim_lost);
	add("/node/claims/store-down", test_store_down);
	add("/node/claims/no-key", test_no_key);
	return g_test_run();
}
