/* Learning, end to end: nodes, a platform that fails, and peers. */
#include <curl/curl.h>
#include <glib/gstdio.h>
#include <sodium.h>
#include <string.h>

#include "node/test-procs.h"
#include "state/learn.h"

#define SETTLE_MS 30000
#define POLL_US   10000

static const char *argv0;

struct world {
	struct procs *procs;
	struct proc *platform;
	int64_t revision;
};

static void set_up(struct world *w)
{
	*w = (struct world){.procs = procs_new(argv0)};
	w->platform = procs_start_standin(w->procs, "platform", "platform");
	json_decref(procs_call_json(w->platform, "PUT", "/standin/instances",
				    "[]"));
}

/* Commit one more change of organisation o. */
static void change(struct world *w)
{
	int64_t n = ++w->revision;
	char *spec = g_strdup_printf("{\"weight\":%d,\"keys\":[]}", (int)n);
	char *text = g_strdup_printf(
		"{\"id\":\"t\",\"puts\":["
		"{\"key\":\"res/organisation/o\",\"value\":{\"spec\":%s,"
		"\"generation\":%d,\"revision\":%d}},"
		"{\"key\":\"chg/%020d\",\"value\":{\"id\":\"t\","
		"\"revision\":%d,\"generation\":%d,\"kind\":\"organisation\","
		"\"name\":\"o\",\"is\":%s}},"
		"{\"key\":\"head/config\",\"value\":{\"revision\":%d}}]}",
		spec, (int)n, (int)n, (int)n, (int)n, (int)n, spec, (int)n);

	json_decref(procs_call_json(w->platform, "POST", "/table/txn", text));
	g_free(spec);
	g_free(text);
}

static void list_nodes(struct world *w, struct proc **nodes, int n)
{
	GString *s = g_string_new("[");

	for (int i = 0; i < n; i++)
		g_string_append_printf(
			s,
			"%s{\"name\":\"%s\",\"role\":\"node\",\"zone\":\"a\","
			"\"region\":\"local\",\"state\":\"live\","
			"\"address\":\"127.0.0.1:%d\"}",
			i ? "," : "", nodes[i]->name, nodes[i]->port);
	g_string_append_c(s, ']');
	json_decref(procs_call_json(w->platform, "PUT", "/standin/instances",
				    s->str));
	g_string_free(s, TRUE);
}

static int64_t revision_of(struct proc *x, int *status)
{
	struct reply *r = procs_call(x, "GET", "/ready", NULL, NULL);
	int64_t n = json_integer_value(json_object_get(r->json, "revision"));

	*status = r->status;
	reply_free(r);
	return n;
}

static void wait_revision(struct proc *x, int64_t want)
{
	int64_t until = time_mono_ms() + SETTLE_MS;
	int status;

	while (revision_of(x, &status) != want || status != 200) {
		g_assert_cmpint(time_mono_ms(), <, until);
		g_usleep(POLL_US);
	}
}

static void down(struct world *w, bool is_down)
{
	json_decref(procs_call_json(w->platform, "PUT", "/standin/faults",
				    is_down ? "{\"down\":true}" : "{}"));
}

static void test_follow(void)
{
	struct world w;
	struct proc *n;

	set_up(&w);
	change(&w);
	n = procs_start_node(w.procs, "n1", w.platform, NULL);
	wait_revision(n, 1);
	change(&w);
	change(&w);
	wait_revision(n, 3);
	down(&w, true);
	g_usleep(200 * 1000);
	wait_revision(n, 3);
	down(&w, false);
	change(&w);
	wait_revision(n, 4);
	procs_free(w.procs);
}

/* During an outage a new node takes list and configuration from a peer. */
static void test_start_in_outage(void)
{
	struct world w;
	struct proc *a, *b, *alone;
	char *seed;
	int status;

	set_up(&w);
	change(&w);
	a = procs_start_node(w.procs, "n1", w.platform, NULL);
	list_nodes(&w, &a, 1);
	wait_revision(a, 1);
	down(&w, true);
	seed = g_strdup_printf("[node]\npeers = 127.0.0.1:%d\n", a->port);
	b = procs_start_node(w.procs, "n2", w.platform, seed);
	alone = procs_start_node(w.procs, "n3", w.platform, NULL);
	wait_revision(b, 1);
	revision_of(alone, &status);
	g_assert_cmpint(status, ==, 503);
	down(&w, false);
	wait_revision(alone, 1);
	g_free(seed);
	procs_free(w.procs);
}

static char *secret_setting(struct world *w, const char *name,
			    const char *secret)
{
	char *path = g_build_filename(w->procs->dir, name, NULL);
	char *text = g_strdup_printf("[node]\nsecret_file = %s\n", path);

	g_assert_true(g_file_set_contents(path, secret, -1, NULL));
	g_free(path);
	return text;
}

/* Calls between nodes that are not signed with the secret are refused. */
static void test_secret(void)
{
	struct world w;
	struct proc *a, *b, *c;
	char *right, *wrong, *other;
	struct reply *r;
	int status;

	set_up(&w);
	change(&w);
	right = secret_setting(&w, "right", "one\n");
	a = procs_start_node(w.procs, "n1", w.platform, right);
	list_nodes(&w, &a, 1);
	wait_revision(a, 1);
	r = procs_call(a, "GET", "/internal/config?after=0", NULL, NULL);
	g_assert_cmpint(r->status, ==, 401);
	reply_free(r);
	r = procs_call(a, "GET", "/internal/changes?after=0", NULL, NULL);
	g_assert_cmpint(r->status, ==, 401);
	reply_free(r);
	down(&w, true);
	other = secret_setting(&w, "wrong", "two\n");
	wrong = g_strdup_printf("%speers = 127.0.0.1:%d\n", other, a->port);
	b = procs_start_node(w.procs, "n2", w.platform, wrong);
	g_free(other);
	other = g_strdup_printf("%speers = 127.0.0.1:%d\n", right, a->port);
	c = procs_start_node(w.procs, "n3", w.platform, other);
	wait_revision(c, 1);
	revision_of(b, &status);
	g_assert_cmpint(status, ==, 503);
	g_free(right);
	g_free(wrong);
	g_free(other);
	procs_free(w.procs);
}

static int64_t stored_revision(struct world *w)
{
	struct reply *r =
		procs_call(w->platform, "GET", "/objects/config-0", NULL, NULL);
	char *body = r->status == 200 ? g_strdup(r->body) : NULL;
	struct snapshot s = {.revision = -1};

	if (!body || !snapshot_decode(str_c(body), &s))
		s.revision = -1;
	g_free(body);
	reply_free(r);
	return s.revision;
}

/* After enough changes a whole snapshot stands in the object store. */
static void test_snapshot(void)
{
	int64_t until = time_mono_ms() + SETTLE_MS;
	struct world w;
	struct proc *n;

	set_up(&w);
	change(&w);
	n = procs_start_node(w.procs, "n1", w.platform, NULL);
	wait_revision(n, 1);
	while (w.revision < SNAPSHOT_CHANGES + 10)
		change(&w);
	wait_revision(n, w.revision);
	while (stored_revision(&w) < SNAPSHOT_CHANGES) {
		g_assert_cmpint(time_mono_ms(), <, until);
		g_usleep(POLL_US);
	}
	procs_free(w.procs);
}

int main(int argc, char **argv)
{
	argv0 = argv[0];
	g_test_init(&argc, &argv, NULL);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL))
		return 1;
	g_test_add_func("/node/learning/follow", test_follow);
	g_test_add_func("/node/learning/start-in-outage", test_start_in_outage);
	g_test_add_func("/node/learning/secret", test_secret);
	g_test_add_func("/node/learning/snapshot", test_snapshot);
	return g_test_run();
}
