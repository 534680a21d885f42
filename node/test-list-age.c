/*
 * Answers of the platform's instance list that come in another order than they
 * were asked for, and a list that one node can't read any more: a node goes
 * back to an older list, or sends work to targets that others know are gone.
 * The nodes are real processes; a filter before the platform stand-in delays
 * or refuses the calls for the list.
 */
#include <curl/curl.h>
#include <stdatomic.h>
#include <string.h>

#include "node/test-raw-targets.h"

#define LIST_REQUEST "GET /instances "

static struct rig *rig;
static int platform_port;     /* of the stand-in */
static atomic_bool hold_next; /* one call for the list, until release */
static atomic_bool release;
static atomic_int held;    /* calls that were held */
static atomic_bool refuse; /* the calls for the list */
static atomic_int refused;

static void answer(int fd, int status, const char *body)
{
	char *text = g_strdup_printf("HTTP/1.1 %d X\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
				     status, strlen(body), body);

	raw_send(fd, text);
	g_free(text);
}

/* Pass a call on to the stand-in. */
static bool filter(int fd, const char *request, int on_connection)
{
	char **line = g_strsplit(request, " ", 3);
	const char *body = strstr(request, "\r\n\r\n") + 4;
	bool is_list = g_str_has_prefix(request, LIST_REQUEST);
	struct reply r;

	(void)on_connection;
	if (is_list && atomic_load(&refuse)) {
		atomic_fetch_add(&refused, 1);
		answer(fd, 503, "");
		g_strfreev(line);
		return true;
	}
	r = call_local(platform_port, line[0], line[1], NULL,
		       *body ? body : NULL);
	if (is_list && atomic_exchange(&hold_next, false)) {
		atomic_fetch_add(&held, 1);
		WAIT_UNTIL(atomic_load(&release));
	}
	answer(fd, r.status ? r.status : 503, r.body ? r.body : "");
	reply_clear(&r);
	g_strfreev(line);
	return true;
}

static void call_platform(const char *method, const char *path,
			  const char *body)
{
	struct reply r = call_local(platform_port, method, path, NULL, body);

	g_assert_cmpint(r.status, ==, 200);
	reply_clear(&r);
}

static void declare_late_service(void)
{
	static const char spec[] = "{\"kind\":\"model\",\"pool\":\"late\"}";
	char *txn = g_strdup_printf(
		"{\"id\":\"c\",\"puts\":["
		"{\"key\":\"res/service/late\",\"value\":{\"spec\":%s,"
		"\"generation\":1,\"revision\":1}},"
		"{\"key\":\"chg/%020d\",\"value\":{\"id\":\"t\",\"revision\":1,"
		"\"generation\":1,\"kind\":\"service\",\"name\":\"late\","
		"\"is\":%s}},"
		"{\"key\":\"head/config\",\"value\":{\"revision\":1}}]}",
		spec, 1, spec);

	call_platform("POST", "/table/txn", txn);
	g_free(txn);
}

/* List the nodes, and the only engine in the pool. */
static void publish(const char *pool)
{
	GString *list = g_string_new(NULL);

	g_string_printf(list,
			"[{\"name\":\"e1\",\"role\":\"engine\",\"pool\":\"%s\","
			"\"address\":\"127.0.0.1:%d\"}",
			pool, rig->engines[0].port);
	for (unsigned i = 0; i < rig->node_count; i++)
		g_string_append_printf(
			list,
			",{\"name\":\"%s\",\"role\":\"node\",\"zone\":\"a\","
			"\"region\":\"local\",\"address\":\"127.0.0.1:%d\"}",
			rig->nodes[i].name, rig->nodes[i].port);
	g_string_append_c(list, ']');
	call_platform("PUT", "/standin/instances", list->str);
	g_string_free(list, TRUE);
}

static bool is_served(const struct proc *node, const char *service)
{
	static const char *const headers[] = {"Authorization: Bearer key-recif",
					      "Content-Type: application/json",
					      NULL};
	char *body = g_strdup_printf("{\"model\":\"%s\",\"max_tokens\":2,"
				     "\"messages\":[{\"role\":\"user\","
				     "\"content\":\"hi\"}]}",
				     service);
	struct reply r = call_local(node->port, "POST", "/v1/chat/completions",
				    headers, body);
	bool ok = r.status == 200;

	reply_clear(&r);
	g_free(body);
	return ok;
}

/* An answer that was asked for earlier and comes later is not used. */
static void test_overtaken(void)
{
	int before;

	rig = rig_new(1, 1, "");
	platform_port = rig->platform.port;
	rig->platform.port = raw_server_start(filter);
	rig_start(rig);
	declare_late_service();
	WAIT_UNTIL(is_served(&rig->nodes[0], "assistant"));
	atomic_store(&hold_next, true);
	WAIT_UNTIL(atomic_load(&held) == 1);
	publish("late");
	WAIT_UNTIL(is_served(&rig->nodes[0], "late"));
	/* No later answer mends it. */
	atomic_store(&refuse, true);
	before = atomic_load(&refused);
	WAIT_UNTIL(atomic_load(&refused) >= before + 2);
	atomic_store(&release, true);
	before = atomic_load(&refused);
	WAIT_UNTIL(atomic_load(&refused) >= before + 10);
	g_assert_true(is_served(&rig->nodes[0], "late"));
	g_assert_false(is_served(&rig->nodes[0], "assistant"));
	rig->platform.port = platform_port;
	rig_free(rig);
	raw_targets_stop();
}

/* One node can't read the list: it uses what the other has read. */
static void test_from_peer(void)
{
	int filter_port;

	rig = rig_new(1, 2, "");
	platform_port = rig->platform.port;
	filter_port = raw_server_start(filter);
	atomic_store(&refuse, false);
	rig_publish(rig);
	rig_start_node(rig, 0);
	rig->platform.port = filter_port;
	rig_start_node(rig, 1);
	rig->platform.port = platform_port;
	declare_late_service();
	for (int i = 0; i < 2; i++)
		WAIT_UNTIL(is_served(&rig->nodes[i], "assistant"));
	atomic_store(&refuse, true);
	publish("late");
	for (int i = 0; i < 2; i++) {
		WAIT_UNTIL(is_served(&rig->nodes[i], "late"));
		g_assert_false(is_served(&rig->nodes[i], "assistant"));
	}
	rig_free(rig);
	raw_targets_stop();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	g_test_add_func("/list-age/overtaken", test_overtaken);
	g_test_add_func("/list-age/from-peer", test_from_peer);
	return g_test_run();
}
