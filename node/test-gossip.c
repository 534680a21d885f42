/*
 * Membership with real processes. The platform's instance list never changes
 * during a test, so nodes must learn from gossip who has failed or leaves.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node/test-harness.h"

#define GARBAGE_DATAGRAMS 200
/* Half of them go to the target that leaves: more than a full retry budget. */
#define REFUSED_CHATS 60

/* Return whether the observer lists p as an entry. */
static bool lists_entry(const struct proc *observer, const struct proc *p)
{
	json_t *response = get_local_json(observer->port, "/v1/entries");
	const json_t *entries = json_object_get(response, "entries");
	bool found = false;
	size_t i;
	json_t *entry;

	json_array_foreach (entries, i, entry) {
		const char *name =
			json_string_value(json_object_get(entry, "name"));

		found = found || (name && !strcmp(name, p->name));
	}
	json_decref(response);
	return found;
}

/* Return how many other running nodes list node i as an entry. */
static unsigned count_listing_nodes(const struct rig *g, unsigned i)
{
	unsigned n = 0;

	for (unsigned k = 0; k < g->node_count; k++) {
		if (k != i && g->nodes[k].pid &&
		    lists_entry(&g->nodes[k], &g->nodes[i]))
			n++;
	}
	return n;
}

/* Start a rig and wait until every node has seen all nodes. */
static struct rig *start_converged_rig(unsigned engines, unsigned nodes)
{
	struct rig *g = rig_new(engines, nodes, NULL);

	rig_start(g);
	for (unsigned i = 0; i < nodes; i++)
		WAIT_UNTIL(rig_count_logged(g, &g->nodes[i], "node_seen") >=
			   (int)nodes);
	return g;
}

/*
 * A suspended node is dropped from the entries. When it continues it must not
 * take the others for dead, and is listed again.
 */
static void test_frozen(void)
{
	struct rig *g = start_converged_rig(1, 4);

	WAIT_UNTIL(count_listing_nodes(g, 1) == 3);
	proc_signal(&g->nodes[1], SIGSTOP);
	WAIT_UNTIL(count_listing_nodes(g, 1) == 0);
	proc_signal(&g->nodes[1], SIGCONT);
	WAIT_UNTIL(count_listing_nodes(g, 1) == 3);
	WAIT_UNTIL(count_listing_nodes(g, 0) == 3);
	g_assert_cmpint(rig_count_logged(g, &g->nodes[1], "node_lost"), ==, 0);
	rig_free(g);
}

/* A killed node is dropped, although the instance list still has it. */
static void test_killed(void)
{
	struct rig *g = start_converged_rig(1, 3);

	proc_signal(&g->nodes[2], SIGKILL);
	g_assert_cmpint(proc_wait(&g->nodes[2]), ==, -1);
	WAIT_UNTIL(count_listing_nodes(g, 2) == 0);
	g_assert_true(lists_entry(&g->nodes[0], &g->nodes[1]));
	g_assert_true(lists_entry(&g->nodes[1], &g->nodes[0]));
	g_assert_cmpint(rig_count_logged(g, &g->nodes[0], "node_lost"), ==, 1);
	rig_free(g);
}

/* A node that gets SIGTERM is dropped before it exits, and not as lost. */
static void test_leaving(void)
{
	struct rig *g = start_converged_rig(1, 3);

	proc_signal(&g->nodes[2], SIGTERM);
	WAIT_UNTIL(count_listing_nodes(g, 2) == 0);
	g_assert_cmpint(proc_wait(&g->nodes[2]), ==, 0);
	WAIT_UNTIL(rig_count_logged(g, &g->nodes[0], "node_left") == 1);
	WAIT_UNTIL(rig_count_logged(g, &g->nodes[1], "node_left") == 1);
	g_assert_cmpint(rig_count_logged(g, &g->nodes[0], "node_lost"), ==, 0);
	g_assert_cmpuint(count_listing_nodes(g, 2), ==, 0);
	rig_free(g);
}

/* Get an answer to a new question at a node. */
static void get_answer(const struct rig *g, unsigned node)
{
	char *question = g_strdup_printf("%" G_GINT64_FORMAT, time_mono_ms());
	struct chat_stream *a =
		chat_stream_open(g->nodes[node].port, "assistant", question, 5);

	g_assert_cmpint(a->status, ==, 200);
	chat_stream_read(a, 6);
	g_assert_true(a->done);
	chat_stream_free(a);
	g_free(question);
}

/* Get an answer. Return whether node 0 knows by now that the target leaves. */
static bool sees_target_leaving(const struct rig *g)
{
	get_answer(g, 0);
	return rig_count_logged(g, &g->nodes[0], "target_leaving") == 1;
}

/* A target tells one node that it leaves; the others learn it by gossip. */
static void test_target_leaving(void)
{
	struct rig *g = start_converged_rig(2, 3);

	proc_set_faults(&g->engines[0], "{\"leaving\":true}");
	WAIT_UNTIL(sees_target_leaving(g));
	WAIT_UNTIL(rig_count_logged(g, &g->nodes[1], "target_leaving") == 1);
	WAIT_UNTIL(rig_count_logged(g, &g->nodes[2], "target_leaving") == 1);
	rig_free(g);
}

/*
 * The only target left reads a request after the entry has asked it for the
 * rest of the answer, which it doesn't know then: the answer is taken for lost.
 */
static void test_last_target_late(void)
{
	struct rig *g = start_converged_rig(2, 3);

	proc_set_faults(&g->engines[0], "{\"leaving\":true}");
	for (unsigned i = 0; i < 3; i++)
		WAIT_UNTIL(rig_count_logged(g, &g->nodes[i],
					    "target_leaving") == 1);
	for (unsigned i = 0; i < 3; i++) {
		proc_set_faults(&g->engines[1], "{\"late\":1}");
		get_answer(g, i);
	}
	rig_free(g);
}

/*
 * A target tells only those whose requests it refuses that it leaves. A node
 * that reaches it through its admitting node learns it as well, or its retry
 * budget would be spent on the target's refusals.
 */
static void test_target_leaving_unreported(void)
{
	for (unsigned entry = 0; entry < 3; entry++) {
		struct rig *g = start_converged_rig(2, 3);

		proc_set_faults(&g->engines[0],
				"{\"leaving\":true,\"no_load\":true}");
		for (unsigned i = 0; i < REFUSED_CHATS; i++)
			get_answer(g, entry);
		rig_free(g);
	}
}

static void send_garbage(int port)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	GRand *r = g_rand_new_with_seed(7);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(fd, >=, 0);
	for (int i = 0; i < GARBAGE_DATAGRAMS; i++) {
		uint8_t buf[200];
		size_t n = (size_t)g_rand_int_range(r, 1, sizeof(buf));

		for (size_t k = 0; k < n; k++)
			buf[k] = (uint8_t)g_rand_int(r);
		sendto(fd, buf, n, 0, (struct sockaddr *)&to, sizeof(to));
	}
	close(fd);
	g_rand_free(r);
}

/* Malformed datagrams are counted and dropped; membership is unaffected. */
static void test_garbage(void)
{
	struct rig *g = start_converged_rig(1, 2);
	const struct proc *p = &g->nodes[0];

	send_garbage(p->port);
	WAIT_UNTIL(proc_metric(p, "ramp_control_malformed_total") > 0);
	g_assert_cmpint(proc_metric(p, "ramp_control_bytes_sent_total"), >, 0);
	WAIT_UNTIL(count_listing_nodes(g, 0) == 1);
	rig_free(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	g_test_add_func("/gossip/frozen", test_frozen);
	g_test_add_func("/gossip/killed", test_killed);
	g_test_add_func("/gossip/leaving", test_leaving);
	g_test_add_func("/gossip/target-leaving", test_target_leaving);
	g_test_add_func("/gossip/last-target-late", test_last_target_late);
	g_test_add_func("/gossip/target-leaving-unreported",
			test_target_leaving_unreported);
	g_test_add_func("/gossip/garbage", test_garbage);
	return g_test_run();
}
