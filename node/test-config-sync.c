/*
 * How nodes learn of configuration changes: from the store, and in an outage
 * of the store from peers. Also the snapshots that they write.
 */
#include <curl/curl.h>
#include <glib/gstdio.h>
#include <sodium.h>
#include <string.h>

#include "node/test-procs.h"
#include "state/learn.h"

#define WAIT_MS          30000
#define POLL_INTERVAL_US 10000

static const char *argv0;

struct fixture {
	struct procs *procs;
	struct proc *platform;
	int64_t revision;
};

static void fixture_start(struct fixture *f)
{
	*f = (struct fixture){.procs = procs_new(argv0)};
	f->platform = procs_start_standin(f->procs, "platform", "platform");
	json_decref(procs_call_json(f->platform, "PUT", "/standin/instances",
				    "[]"));
}

/* Commit the next change to organisation o. */
static void commit_change(struct fixture *f)
{
	int64_t revision = ++f->revision;
	char *spec =
		g_strdup_printf("{\"weight\":%d,\"keys\":[]}", (int)revision);
	char *txn = g_strdup_printf(
		"{\"id\":\"t\",\"puts\":["
		"{\"key\":\"res/organisation/o\",\"value\":{\"spec\":%s,"
		"\"generation\":%d,\"revision\":%d}},"
		"{\"key\":\"chg/%020d\",\"value\":{\"id\":\"t\","
		"\"revision\":%d,\"generation\":%d,\"kind\":\"organisation\","
		"\"name\":\"o\",\"is\":%s}},"
		"{\"key\":\"head/config\",\"value\":{\"revision\":%d}}]}",
		spec, (int)revision, (int)revision, (int)revision,
		(int)revision, (int)revision, spec, (int)revision);

	json_decref(procs_call_json(f->platform, "POST", "/table/txn", txn));
	g_free(spec);
	g_free(txn);
}

static void publish_nodes(struct fixture *f, struct proc **nodes, int n)
{
	GString *list = g_string_new("[");

	for (int i = 0; i < n; i++)
		g_string_append_printf(
			list,
			"%s{\"name\":\"%s\",\"role\":\"node\",\"zone\":\"a\","
			"\"region\":\"local\",\"state\":\"live\","
			"\"address\":\"127.0.0.1:%d\"}",
			i ? "," : "", nodes[i]->name, nodes[i]->port);
	g_string_append_c(list, ']');
	json_decref(procs_call_json(f->platform, "PUT", "/standin/instances",
				    list->str));
	g_string_free(list, TRUE);
}

/* Return the revision in force that GET /ready shows, and its status. */
static int64_t ready_revision(struct proc *node, int *status)
{
	struct reply *r = procs_call(node, "GET", "/ready", NULL, NULL);
	int64_t revision =
		json_integer_value(json_object_get(r->json, "revision"));

	*status = r->status;
	reply_free(r);
	return revision;
}

static void wait_revision(struct proc *node, int64_t want)
{
	int64_t until = time_mono_ms() + WAIT_MS;
	int status;

	while (ready_revision(node, &status) != want || status != 200) {
		g_assert_cmpint(time_mono_ms(), <, until);
		g_usleep(POLL_INTERVAL_US);
	}
}

static void set_platform_down(struct fixture *f, bool down)
{
	json_decref(procs_call_json(f->platform, "PUT", "/standin/faults",
				    down ? "{\"down\":true}" : "{}"));
}

/* A node follows the store, keeps serving in an outage and catches up. */
static void test_follow(void)
{
	struct fixture f;
	struct proc *node;

	fixture_start(&f);
	commit_change(&f);
	node = procs_start_node(f.procs, "n1", f.platform, NULL);
	wait_revision(node, 1);
	commit_change(&f);
	commit_change(&f);
	wait_revision(node, 3);
	set_platform_down(&f, true);
	/* Several failed polls; platform.poll is 50 ms. */
	g_usleep(200 * 1000);
	wait_revision(node, 3);
	set_platform_down(&f, false);
	commit_change(&f);
	wait_revision(node, 4);
	procs_free(f.procs);
}

/*
 * A node that starts in a store outage gets the instance list and the
 * configuration from a peer. Without a peer it is not ready until the store
 * is back.
 */
static void test_start_in_outage(void)
{
	struct fixture f;
	struct proc *peer, *with_peer, *without_peer;
	char *peer_setting;
	int status;

	fixture_start(&f);
	commit_change(&f);
	peer = procs_start_node(f.procs, "n1", f.platform, NULL);
	publish_nodes(&f, &peer, 1);
	wait_revision(peer, 1);
	set_platform_down(&f, true);
	peer_setting =
		g_strdup_printf("[node]\npeers = 127.0.0.1:%d\n", peer->port);
	with_peer = procs_start_node(f.procs, "n2", f.platform, peer_setting);
	without_peer = procs_start_node(f.procs, "n3", f.platform, NULL);
	wait_revision(with_peer, 1);
	ready_revision(without_peer, &status);
	g_assert_cmpint(status, ==, 503);
	set_platform_down(&f, false);
	wait_revision(without_peer, 1);
	g_free(peer_setting);
	procs_free(f.procs);
}

/* Return a setting that names a file with this secret. Free with g_free. */
static char *secret_setting(struct fixture *f, const char *name,
			    const char *secret)
{
	char *path = g_build_filename(f->procs->dir, name, NULL);
	char *setting = g_strdup_printf("[node]\nsecret_file = %s\n", path);

	g_assert_true(g_file_set_contents(path, secret, -1, NULL));
	g_free(path);
	return setting;
}

/* A node refuses calls of other nodes not signed with the fleet's secret. */
static void test_secret(void)
{
	struct fixture f;
	struct proc *peer, *other_secret, *same_secret;
	char *secret, *other_settings, *settings;
	struct reply *r;
	int status;

	fixture_start(&f);
	commit_change(&f);
	secret = secret_setting(&f, "right", "one\n");
	peer = procs_start_node(f.procs, "n1", f.platform, secret);
	publish_nodes(&f, &peer, 1);
	wait_revision(peer, 1);
	r = procs_call(peer, "GET", "/internal/config?after=0", NULL, NULL);
	g_assert_cmpint(r->status, ==, 401);
	reply_free(r);
	r = procs_call(peer, "GET", "/internal/changes?after=0", NULL, NULL);
	g_assert_cmpint(r->status, ==, 401);
	reply_free(r);
	set_platform_down(&f, true);
	settings = secret_setting(&f, "wrong", "two\n");
	other_settings = g_strdup_printf("%speers = 127.0.0.1:%d\n", settings,
					 peer->port);
	other_secret =
		procs_start_node(f.procs, "n2", f.platform, other_settings);
	g_free(settings);
	settings =
		g_strdup_printf("%speers = 127.0.0.1:%d\n", secret, peer->port);
	same_secret = procs_start_node(f.procs, "n3", f.platform, settings);
	wait_revision(same_secret, 1);
	ready_revision(other_secret, &status);
	g_assert_cmpint(status, ==, 503);
	g_free(secret);
	g_free(other_settings);
	g_free(settings);
	procs_free(f.procs);
}

/* Return the revision of the snapshot in the object store, or -1. */
static int64_t stored_revision(struct fixture *f)
{
	struct reply *r =
		procs_call(f->platform, "GET", "/objects/config-0", NULL, NULL);
	char *body = r->status == 200 ? g_strdup(r->body) : NULL;
	struct snapshot s = {.revision = -1};

	if (!body || !snapshot_decode(str_c(body), &s))
		s.revision = -1;
	g_free(body);
	reply_free(r);
	return s.revision;
}

/*
 * After SNAPSHOT_INTERVAL_CHANGES changes the object store has a full snapshot.
 */
static void test_snapshot(void)
{
	int64_t until = time_mono_ms() + WAIT_MS;
	struct fixture f;
	struct proc *node;

	fixture_start(&f);
	commit_change(&f);
	node = procs_start_node(f.procs, "n1", f.platform, NULL);
	wait_revision(node, 1);
	while (f.revision < SNAPSHOT_INTERVAL_CHANGES + 10)
		commit_change(&f);
	wait_revision(node, f.revision);
	while (stored_revision(&f) < SNAPSHOT_INTERVAL_CHANGES) {
		g_assert_cmpint(time_mono_ms(), <, until);
		g_usleep(POLL_INTERVAL_US);
	}
	procs_free(f.procs);
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
