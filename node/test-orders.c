/*
 * Orders to engines to load models: failover of the node that gives them, and
 * fencing.
 */
#include <curl/curl.h>
#include <sodium.h>
#include <string.h>

#include "node/test-procs.h"
#include "state/order.h"

#define WAIT_MS          60000
#define POLL_INTERVAL_US 20000
#define ENGINES          3

static const char *argv0;

struct fixture {
	struct procs *procs;
	struct proc *platform, *engines[ENGINES], *nodes[2];
	int64_t revision;
};

/* Commit the next change to service reef: its model's version. */
static void put_service(struct fixture *f, const char *version)
{
	int revision = (int)++f->revision;
	char *spec = g_strdup_printf("{\"kind\":\"model\",\"pool\":\"llm\","
				     "\"version\":\"%s\"}",
				     version);
	char *txn = g_strdup_printf(
		"{\"id\":\"t\",\"puts\":["
		"{\"key\":\"res/service/reef\",\"value\":{\"spec\":%s,"
		"\"generation\":%d,\"revision\":%d}},"
		"{\"key\":\"chg/%020d\",\"value\":{\"id\":\"t\","
		"\"revision\":%d,\"generation\":%d,\"kind\":\"service\","
		"\"name\":\"reef\",\"is\":%s}},"
		"{\"key\":\"head/config\",\"value\":{\"revision\":%d}}]}",
		spec, revision, revision, revision, revision, revision, spec,
		revision);

	json_decref(procs_call_json(f->platform, "POST", "/table/txn", txn));
	g_free(spec);
	g_free(txn);
}

static void add_instance(GString *list, const struct proc *proc,
			 const char *role)
{
	g_string_append_printf(
		list,
		"%s{\"name\":\"%s\",\"role\":\"%s\",\"pool\":\"llm\","
		"\"zone\":\"a\",\"region\":\"local\",\"state\":\"live\","
		"\"address\":\"127.0.0.1:%d\"}",
		list->len > 1 ? "," : "", proc->name, role, proc->port);
}

static void publish_instances(struct fixture *f, int nodes)
{
	GString *list = g_string_new("[");

	for (int i = 0; i < ENGINES; i++)
		add_instance(list, f->engines[i], "engine");
	for (int i = 0; i < nodes; i++)
		add_instance(list, f->nodes[i], "node");
	g_string_append_c(list, ']');
	json_decref(procs_call_json(f->platform, "PUT", "/standin/instances",
				    list->str));
	g_string_free(list, TRUE);
}

static void fixture_start(struct fixture *f)
{
	static const char *const names[] = {"e1", "e2", "e3"};

	*f = (struct fixture){.procs = procs_new(argv0)};
	f->platform = procs_start_standin(f->procs, "platform", "platform");
	for (int i = 0; i < ENGINES; i++)
		f->engines[i] =
			procs_start_standin(f->procs, names[i], "engine");
	/* Engine 0 accepts orders with an outdated fencing token. */
	json_decref(procs_call_json(f->engines[0], "PUT", "/standin/faults",
				    "{\"ignore_fence\":true}"));
	put_service(f, "v1");
	for (int i = 0; i < 2; i++)
		f->nodes[i] =
			procs_start_node(f->procs, i ? "n2" : "n1", f->platform,
					 "[orders]\nrecheck = 100\n");
}

/* Return whether the engine has loaded model reef in this version. */
static bool engine_has_version(struct proc *engine, const char *version)
{
	json_t *response = procs_call_json(engine, "GET", "/orders", NULL);
	struct order_load loaded =
		order_load_from_list(json_object_get(response, "orders"));
	bool same = !strcmp(loaded.model, "reef") &&
		    !strcmp(loaded.version, version);

	json_decref(response);
	return same;
}

static void wait_version(struct fixture *f, const char *version)
{
	int64_t until = time_mono_ms() + WAIT_MS;

	for (int i = 0; i < ENGINES; i++) {
		while (!engine_has_version(f->engines[i], version)) {
			g_assert_cmpint(time_mono_ms(), <, until);
			g_usleep(POLL_INTERVAL_US);
		}
	}
}

/*
 * A node is killed during a rollout, and the other one completes it. Either may
 * be the holder of the lease, so each is killed in a test of its own.
 */
static void check_failover(int victim)
{
	struct fixture f;

	fixture_start(&f);
	publish_instances(&f, 2);
	wait_version(&f, "v1");
	/* Slow down loading: the rollout must still run when the node dies. */
	json_decref(procs_call_json(f.platform, "PUT", "/standin/faults",
				    "{\"weight_ms\":100}"));
	put_service(&f, "v2");
	procs_kill(f.procs, f.nodes[victim]);
	f.nodes[0] = f.nodes[!victim];
	publish_instances(&f, 1);
	wait_version(&f, "v2");
	procs_free(f.procs);
}

static void test_first_dies(void)
{
	check_failover(0);
}

static void test_second_dies(void)
{
	check_failover(1);
}

/*
 * An order with an outdated fencing token, as from a node that has lost the
 * lease. An engine that checks the token refuses it. At one that does not, the
 * holder of the lease detects the wrong version and replaces it.
 */
static void test_stale_undone(void)
{
	struct fixture f;
	struct reply *r;
	static const char *const json_headers[] = {
		"Content-Type: application/json", NULL};
	static const char stale_order[] =
		"{\"order\":\"load_model\",\"model\":\"reef\","
		"\"version\":\"v0\",\"adapter\":\"\",\"fence\":0}";

	fixture_start(&f);
	publish_instances(&f, 2);
	wait_version(&f, "v1");
	r = procs_call(f.engines[1], "POST", "/orders", json_headers,
		       stale_order);
	g_assert_cmpint(r->status, ==, 409);
	reply_free(r);
	r = procs_call(f.engines[0], "POST", "/orders", json_headers,
		       stale_order);
	g_assert_cmpint(r->status, ==, 200);
	reply_free(r);
	wait_version(&f, "v1");
	procs_free(f.procs);
}

int main(int argc, char **argv)
{
	argv0 = argv[0];
	g_test_init(&argc, &argv, NULL);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL))
		return 1;
	g_test_add_func("/node/orders/first-dies", test_first_dies);
	g_test_add_func("/node/orders/second-dies", test_second_dies);
	g_test_add_func("/node/orders/stale-undone", test_stale_undone);
	return g_test_run();
}
