/* Orders, end to end: nodes, a platform and engines. */
#include <curl/curl.h>
#include <sodium.h>
#include <string.h>

#include "node/test-procs.h"
#include "state/order.h"

#define SETTLE_MS 60000
#define POLL_US   20000
#define ENGINES   3

static const char *argv0;

struct world {
	struct procs *procs;
	struct proc *platform, *engines[ENGINES], *nodes[2];
	int64_t revision;
};

static void change(struct world *w, const char *version)
{
	int n = (int)++w->revision;
	char *spec = g_strdup_printf("{\"kind\":\"model\",\"pool\":\"llm\","
				     "\"version\":\"%s\"}",
				     version);
	char *text = g_strdup_printf(
		"{\"id\":\"t\",\"puts\":["
		"{\"key\":\"res/service/reef\",\"value\":{\"spec\":%s,"
		"\"generation\":%d,\"revision\":%d}},"
		"{\"key\":\"chg/%020d\",\"value\":{\"id\":\"t\","
		"\"revision\":%d,\"generation\":%d,\"kind\":\"service\","
		"\"name\":\"reef\",\"is\":%s}},"
		"{\"key\":\"head/config\",\"value\":{\"revision\":%d}}]}",
		spec, n, n, n, n, n, spec, n);

	json_decref(procs_call_json(w->platform, "POST", "/table/txn", text));
	g_free(spec);
	g_free(text);
}

static void add_instance(GString *s, const struct proc *x, const char *role)
{
	g_string_append_printf(
		s,
		"%s{\"name\":\"%s\",\"role\":\"%s\",\"pool\":\"llm\","
		"\"zone\":\"a\",\"region\":\"local\",\"state\":\"live\","
		"\"address\":\"127.0.0.1:%d\"}",
		s->len > 1 ? "," : "", x->name, role, x->port);
}

static void list_instances(struct world *w, int nodes)
{
	GString *s = g_string_new("[");

	for (int i = 0; i < ENGINES; i++)
		add_instance(s, w->engines[i], "engine");
	for (int i = 0; i < nodes; i++)
		add_instance(s, w->nodes[i], "node");
	g_string_append_c(s, ']');
	json_decref(procs_call_json(w->platform, "PUT", "/standin/instances",
				    s->str));
	g_string_free(s, TRUE);
}

static void set_up(struct world *w)
{
	static const char *const names[] = {"e1", "e2", "e3"};

	*w = (struct world){.procs = procs_new(argv0)};
	w->platform = procs_start_standin(w->procs, "platform", "platform");
	for (int i = 0; i < ENGINES; i++)
		w->engines[i] =
			procs_start_standin(w->procs, names[i], "engine");
	/* One that does not check who gives it an order. */
	json_decref(procs_call_json(w->engines[0], "PUT", "/standin/faults",
				    "{\"ignore_fence\":true}"));
	change(w, "v1");
	for (int i = 0; i < 2; i++)
		w->nodes[i] =
			procs_start_node(w->procs, i ? "n2" : "n1", w->platform,
					 "[orders]\nrecheck = 100\n");
}

static bool holds(struct proc *engine, const char *version)
{
	json_t *j = procs_call_json(engine, "GET", "/orders", NULL);
	struct order_load l = order_held(json_object_get(j, "orders"));
	bool same = !strcmp(l.model, "reef") && !strcmp(l.version, version);

	json_decref(j);
	return same;
}

static void wait_held(struct world *w, const char *version)
{
	int64_t until = time_mono_ms() + SETTLE_MS;

	for (int i = 0; i < ENGINES; i++) {
		while (!holds(w->engines[i], version)) {
			g_assert_cmpint(time_mono_ms(), <, until);
			g_usleep(POLL_US);
		}
	}
}

/* Either node may be the holder; each dies once and the other takes over. */
static void take_over(int dies)
{
	struct world w;

	set_up(&w);
	list_instances(&w, 2);
	wait_held(&w, "v1");
	json_decref(procs_call_json(w.platform, "PUT", "/standin/faults",
				    "{\"weight_ms\":100}"));
	change(&w, "v2");
	procs_kill(w.procs, w.nodes[dies]);
	w.nodes[0] = w.nodes[!dies];
	list_instances(&w, 1);
	wait_held(&w, "v2");
	procs_free(w.procs);
}

static void test_first_dies(void)
{
	take_over(0);
}

static void test_second_dies(void)
{
	take_over(1);
}

/* An order that came from elsewhere is found and undone. */
static void test_stale_undone(void)
{
	struct world w;
	struct reply *r;
	static const char *const json[] = {"Content-Type: application/json",
					   NULL};
	static const char old[] =
		"{\"order\":\"load_model\",\"model\":\"reef\","
		"\"version\":\"v0\",\"adapter\":\"\",\"fence\":0}";

	set_up(&w);
	list_instances(&w, 2);
	wait_held(&w, "v1");
	r = procs_call(w.engines[1], "POST", "/orders", json, old);
	g_assert_cmpint(r->status, ==, 409);
	reply_free(r);
	r = procs_call(w.engines[0], "POST", "/orders", json, old);
	g_assert_cmpint(r->status, ==, 200);
	reply_free(r);
	wait_held(&w, "v1");
	procs_free(w.procs);
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
