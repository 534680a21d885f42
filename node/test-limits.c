/* Limits of an organisation, declared once, at three nodes together. */
#include <curl/curl.h>
#include <signal.h>
#include <string.h>

#include "node/test-harness.h"
#include "state/state.h"

#define NODES      3
#define CONCURRENT 4
#define PER_S      20
#define ENGINES    4
#define LONG       12000 /* tokens: does not end during the test */
#define ROUNDS     8
#define ASKS       12
#define PART_MS    4000
#define QUIET_MS   13000 /* in which grants of before the start may be out */
/* A second's worth in all buckets, and the first request of each node. */
#define BURST    (PER_S + NODES)
#define MIN_PART 0.5 /* of the limit is used while parts move */

static void declare_limit(struct rig *g, const char *field, int limit)
{
	char *hash = key_hash(str_c("key-recif"));
	json_t *txn = json_pack(
		"{s:s,s:[{s:s,s:{s:{s:i,s:[{s:s,s:s}]}}}]}", "id", "limit",
		"puts", "key", "res/organisation/recif", "value", "spec", field,
		limit, "keys", "hash", hash, "role", "caller");
	char *s = json_dumps(txn, 0);
	struct reply r =
		http_call(g->platform.port, "POST", "/table/txn", NULL, s);

	g_assert_cmpint(r.status, ==, 200);
	reply_clear(&r);
	free(s);
	json_decref(txn);
	g_free(hash);
}

static struct rig *rig_limited(const char *field, int limit)
{
	struct rig *g = rig_new(ENGINES, NODES, NULL);

	declare_limit(g, field, limit);
	rig_start(g);
	g_usleep(QUIET_MS * 1000);
	return g;
}

static struct reply call_as(const struct proc *p, const char *key)
{
	char *auth = g_strdup_printf("Authorization: Bearer %s", key);
	const char *headers[] = {auth, NULL};
	struct reply r = http_call(p->port, "GET", "/v1/services/forum/app/x",
				   headers, NULL);

	g_free(auth);
	return r;
}

/* Refused at once, said to be so, and told when to come back. */
static void check_refusal(const struct reply *r)
{
	const json_t *e = json_object_get(r->json, "error");

	g_assert_cmpint(r->status, ==, 429);
	g_assert_cmpstr(r->outcome, ==, "not-run");
	g_assert_nonnull(r->retry_after);
	g_assert_nonnull(e);
}

struct tally {
	int64_t offered, served, refused;
};

/* Call the nodes that run, in turn, as fast as they answer. */
static struct tally burst(struct rig *g, int64_t for_ms)
{
	int64_t end = time_mono_ms() + for_ms;
	struct tally t = {0};

	while (time_mono_ms() < end) {
		for (unsigned i = 0; i < NODES; i++) {
			struct reply r;

			if (!g->nodes[i].pid)
				continue;
			r = call_as(&g->nodes[i], "key-recif");
			t.offered++;
			t.served += r.status == 200;
			t.refused += r.status != 200;
			if (r.status != 200)
				check_refusal(&r);
			reply_clear(&r);
		}
	}
	return t;
}

static void check_rate(struct rig *g, int64_t for_ms)
{
	int64_t from = time_mono_ms();
	struct tally t = burst(g, for_ms);
	double most = (double)(time_mono_ms() - from) / 1000 * PER_S;

	g_test_message("offered %" G_GINT64_FORMAT ", served %" G_GINT64_FORMAT
		       ", limit x time %.0f",
		       t.offered, t.served, most);
	g_assert_cmpfloat((double)t.served, <=, most + BURST);
	g_assert_cmpfloat((double)t.served, >=,
			  MIN((double)t.offered, most * MIN_PART));
	g_assert_cmpint(t.refused, >, 0);
}

static void check_others(struct rig *g)
{
	for (int i = 0; i < 4 * PER_S; i++) {
		const struct proc *p = &g->nodes[i % NODES];
		struct reply r;

		if (!p->pid)
			continue;
		r = call_as(p, "key-ferreyra");
		g_assert_cmpint(r.status, ==, 200);
		reply_clear(&r);
	}
}

/* The one node that holds the organisation's limits. */
static struct proc *holder(struct rig *g)
{
	struct proc *found = NULL;

	for (unsigned i = 0; i < NODES; i++) {
		struct reply r = call_as(&g->nodes[i], "key-recif");

		reply_clear(&r);
	}
	for (unsigned i = 0; i < NODES; i++) {
		if (!proc_metric(&g->nodes[i], "ramp_limit_pools"))
			continue;
		g_assert_null(found);
		found = &g->nodes[i];
	}
	g_assert_nonnull(found);
	return found;
}

static void kill_proc(struct proc *p)
{
	proc_signal(p, SIGKILL);
	proc_wait(p);
}

static void test_rate(void)
{
	struct rig *g = rig_limited("requests_per_s", PER_S);

	check_rate(g, PART_MS);
	check_others(g);
	check_rate(g, PART_MS);
	kill_proc(holder(g));
	/* Past the end of every grant that the dead holder gave. */
	check_rate(g, 4 * PART_MS);
	check_others(g);
	rig_free(g);
}

/* By the limit, or because the engines have no room for so long a work. */
static void check_ask_refused(const struct ask *a)
{
	if (a->status != 503)
		g_assert_cmpint(a->status, ==, 429);
	g_assert_cmpstr(pull_header(a->pull, "Ramp-Outcome"), ==, "not-run");
	g_assert_nonnull(pull_header(a->pull, "Retry-After"));
}

/* Open what the nodes let in; all of it stays open. */
static unsigned open_more(struct rig *g, struct ask **open, unsigned n)
{
	for (unsigned i = 0; i < ASKS; i++) {
		struct proc *p = &g->nodes[i % NODES];
		struct ask *a;

		if (!p->pid)
			continue;
		a = ask_open(p->port, "assistant", "long", LONG);
		if (a->status == 200) {
			g_assert_cmpuint(n, <, CONCURRENT);
			open[n++] = a;
			continue;
		}
		check_ask_refused(a);
		ask_free(a);
	}
	return n;
}

static void close_all(struct ask **open, unsigned n)
{
	for (unsigned i = 0; i < n; i++)
		ask_free(open[i]);
}

static unsigned open_rounds(struct rig *g, struct ask **open, unsigned n)
{
	for (int i = 0; i < ROUNDS; i++) {
		n = open_more(g, open, n);
		g_usleep(1000000);
	}
	return n;
}

/* All slots come to use, never more; what ends is given back. */
static void test_concurrent(void)
{
	struct rig *g = rig_limited("concurrent", CONCURRENT);
	struct ask *open[CONCURRENT];
	unsigned n;

	for (int turn = 0; turn < 2; turn++) {
		n = open_rounds(g, open, 0);
		g_test_message("open %u of %d", n, CONCURRENT);
		/* A slot of each node but one may lie unused. */
		g_assert_cmpuint(n, >=, CONCURRENT - (NODES - 1));
		check_others(g);
		close_all(open, n);
	}
	rig_free(g);
}

static void test_concurrent_killed(void)
{
	struct rig *g = rig_limited("concurrent", CONCURRENT);
	struct ask *open[CONCURRENT];
	struct proc *p = holder(g);
	GPid pid = p->pid;
	unsigned n;

	p->pid = 0; /* nothing is opened there: its answers would end */
	n = open_rounds(g, open, 0);
	g_assert_cmpuint(n, >, 0);
	p->pid = pid;
	kill_proc(p);
	n = open_rounds(g, open, n);
	n = open_rounds(g, open, n);
	g_test_message("open %u of %d", n, CONCURRENT);
	close_all(open, n);
	rig_free(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	g_test_add_func("/limits/rate", test_rate);
	g_test_add_func("/limits/concurrent", test_concurrent);
	g_test_add_func("/limits/concurrent-killed", test_concurrent_killed);
	return g_test_run();
}
