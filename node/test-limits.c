/* An organisation's rate and concurrency limits, shared by three nodes. */
#include <curl/curl.h>
#include <signal.h>
#include <string.h>

#include "node/test-harness.h"
#include "state/state.h"

#define NODES              3
#define CONCURRENT         4
#define PER_S              20
#define ENGINES            4
#define LONG_TOKENS        12000 /* does not end during a test */
#define ROUNDS             8
#define REQUESTS_PER_ROUND 12
#define PHASE_MS           4000
/* A new holder assumes that earlier grants are valid up to this long. */
#define GRANT_EXPIRY_MS 13000
/* One second's tokens in all buckets, and each node's first request. */
#define BURST_REQUESTS (PER_S + NODES)
/* Fraction of the limit that must be used, even while shares move. */
#define MIN_USED_SHARE 0.5

static void put_limit(struct rig *g, const char *field, int limit)
{
	char *hash = key_hash(str_c("key-recif"));
	json_t *txn = json_pack(
		"{s:s,s:[{s:s,s:{s:{s:i,s:[{s:s,s:s}]}}}]}", "id", "limit",
		"puts", "key", "res/organisation/recif", "value", "spec", field,
		limit, "keys", "hash", hash, "role", "caller");
	char *json = json_dumps(txn, 0);
	struct reply r =
		call_local(g->platform.port, "POST", "/table/txn", NULL, json);

	g_assert_cmpint(r.status, ==, 200);
	reply_clear(&r);
	free(json);
	json_decref(txn);
	g_free(hash);
}

static struct rig *start_rig_with_limit(const char *field, int limit)
{
	struct rig *g = rig_new(ENGINES, NODES, NULL);

	put_limit(g, field, limit);
	rig_start(g);
	g_usleep(GRANT_EXPIRY_MS * 1000);
	return g;
}

static struct reply call_as(const struct proc *p, const char *key)
{
	char *auth = g_strdup_printf("Authorization: Bearer %s", key);
	const char *headers[] = {auth, NULL};
	struct reply r = call_local(p->port, "GET", "/v1/services/forum/app/x",
				    headers, NULL);

	g_free(auth);
	return r;
}

/* The response says that the request did not run and when to retry. */
static void check_refusal(const struct reply *r)
{
	const json_t *error = json_object_get(r->json, "error");

	g_assert_cmpint(r->status, ==, 429);
	g_assert_cmpstr(r->outcome, ==, "not-run");
	g_assert_nonnull(r->retry_after);
	g_assert_nonnull(error);
}

struct tally {
	int64_t offered, served, refused;
};

/* Call the running nodes in turn, as fast as they answer. */
static struct tally call_in_turn(struct rig *g, int64_t duration_ms)
{
	int64_t end = time_mono_ms() + duration_ms;
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

/*
 * Offer more than the limit for this long. At most the limit is served, and at
 * least the fraction MIN_USED_SHARE of it.
 */
static void check_rate(struct rig *g, int64_t duration_ms)
{
	int64_t from = time_mono_ms();
	struct tally t = call_in_turn(g, duration_ms);
	double allowed = (double)(time_mono_ms() - from) / 1000 * PER_S;

	g_test_message("offered %" G_GINT64_FORMAT ", served %" G_GINT64_FORMAT
		       ", limit x time %.0f",
		       t.offered, t.served, allowed);
	g_assert_cmpfloat((double)t.served, <=, allowed + BURST_REQUESTS);
	g_assert_cmpfloat((double)t.served, >=,
			  MIN((double)t.offered, allowed * MIN_USED_SHARE));
	g_assert_cmpint(t.refused, >, 0);
}

/* An organisation without limits is not refused. */
static void check_other_organisation(struct rig *g)
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

/* Return the one node that holds the organisation's limits. */
static struct proc *find_limit_holder(struct rig *g)
{
	struct proc *holder = NULL;

	for (unsigned i = 0; i < NODES; i++) {
		struct reply r = call_as(&g->nodes[i], "key-recif");

		reply_clear(&r);
	}
	for (unsigned i = 0; i < NODES; i++) {
		if (!proc_metric(&g->nodes[i], "ramp_limit_pools"))
			continue;
		g_assert_null(holder);
		holder = &g->nodes[i];
	}
	g_assert_nonnull(holder);
	return holder;
}

static void kill_proc(struct proc *p)
{
	proc_signal(p, SIGKILL);
	proc_wait(p);
}

/* The rate limit holds before and after its holder is killed. */
static void test_rate(void)
{
	struct rig *g = start_rig_with_limit("requests_per_s", PER_S);

	check_rate(g, PHASE_MS);
	check_other_organisation(g);
	check_rate(g, PHASE_MS);
	kill_proc(find_limit_holder(g));
	/* Outlasts all grants that the dead holder gave. */
	check_rate(g, 4 * PHASE_MS);
	check_other_organisation(g);
	rig_free(g);
}

/* By the limit (429), or as no engine has room for so long an answer (503). */
static void check_stream_refused(const struct chat_stream *a)
{
	if (a->status != 503)
		g_assert_cmpint(a->status, ==, 429);
	g_assert_cmpstr(http_call_header(a->http_call, "Ramp-Outcome"), ==,
			"not-run");
	g_assert_nonnull(http_call_header(a->http_call, "Retry-After"));
}

/*
 * Send a round of requests and keep the admitted streams open. n streams are
 * open already; return how many are open then.
 */
static unsigned open_admitted(struct rig *g, struct chat_stream **open,
			      unsigned n)
{
	for (unsigned i = 0; i < REQUESTS_PER_ROUND; i++) {
		struct proc *p = &g->nodes[i % NODES];
		struct chat_stream *a;

		if (!p->pid)
			continue;
		a = chat_stream_open(p->port, "assistant", "long", LONG_TOKENS);
		if (a->status == 200) {
			g_assert_cmpuint(n, <, CONCURRENT);
			open[n++] = a;
			continue;
		}
		check_stream_refused(a);
		chat_stream_free(a);
	}
	return n;
}

static void close_all(struct chat_stream **open, unsigned n)
{
	for (unsigned i = 0; i < n; i++)
		chat_stream_free(open[i]);
}

static unsigned open_rounds(struct rig *g, struct chat_stream **open,
			    unsigned n)
{
	for (int i = 0; i < ROUNDS; i++) {
		n = open_admitted(g, open, n);
		g_usleep(1000000);
	}
	return n;
}

/*
 * All slots get used and never more than the limit. In the second pass, the
 * slots of the streams that ended are free again.
 */
static void test_concurrent(void)
{
	struct rig *g = start_rig_with_limit("concurrent", CONCURRENT);
	struct chat_stream *open[CONCURRENT];
	unsigned n;

	for (int pass = 0; pass < 2; pass++) {
		n = open_rounds(g, open, 0);
		g_test_message("open %u of %d", n, CONCURRENT);
		/* Each node but one may hold one slot that it does not use. */
		g_assert_cmpuint(n, >=, CONCURRENT - (NODES - 1));
		check_other_organisation(g);
		close_all(open, n);
	}
	rig_free(g);
}

/* Slots in use still count after the limit holder was killed. */
static void test_concurrent_killed(void)
{
	struct rig *g = start_rig_with_limit("concurrent", CONCURRENT);
	struct chat_stream *open[CONCURRENT];
	struct proc *p = find_limit_holder(g);
	GPid pid = p->pid;
	unsigned n;

	p->pid = 0; /* open no stream there: it would end with the holder */
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

/* Call a node until it refuses, as the organisation's limit is used up. */
static void use_up(const struct proc *p)
{
	int status = 200;

	while (status == 200) {
		struct reply r = call_as(p, "key-recif");

		status = r.status;
		reply_clear(&r);
	}
	g_assert_cmpint(status, ==, 429);
}

/* An answer in progress can't go on elsewhere while new requests use a limit.
 */
static void test_resume_at_limit(void)
{
	struct rig *g = start_rig_with_limit("requests_per_s", PER_S);
	struct chat_stream *a = chat_stream_open(g->nodes[0].port, "assistant",
						 "one", LONG_TOKENS);

	chat_stream_read(a, 10);
	proc_signal(&g->nodes[0], SIGKILL);
	proc_wait(&g->nodes[0]);
	chat_stream_read(a, LONG_TOKENS); /* bytes already in transit */
	use_up(&g->nodes[1]);
	chat_stream_resume(a, g->nodes[1].port, "key-recif");
	g_assert_cmpint(a->status, ==, 200);
	chat_stream_read(a, a->words + 10);
	g_assert_cmpint(rig_engine_runs(g), >, 0);
	chat_stream_free(a);
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
	g_test_add_func("/limits/resume", test_resume_at_limit);
	return g_test_run();
}
