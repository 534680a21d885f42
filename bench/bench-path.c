/*
 * Benchmark of the latency, throughput and memory that a node adds to a call.
 * Stand-in targets are called directly and through a node at the same time, so
 * that noise of the machine affects both alike.
 */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/bench.h"
#include "node/test-harness.h"

#define STREAM_COUNT              200
#define ENGINE_STEP_MS            20 /* interval of an engine's tokens */
#define FIRST_TOKEN_STEP_MS       4  /* likewise, when first tokens are timed */
#define FIRST_TOKEN_OUTPUT_TOKENS 10
#define START_INTERVAL_MS         4 /* between starts, likewise */
#define RSS_STREAM_COUNT          500
#define OUTPUT_TOKENS             100
#define ENGINES                   4 /* admission allows 125 streams at each */
#define CALLER_COUNT              64
#define CALLS_MS                  3000
#define CONNECT_MS                5000

#define ADDED_P99_MAX_MS         2.0
#define ADDED_FIRST_TOKEN_MAX_MS 1.0
#define DIRECT_RATIO_MIN         0.5
#define RSS_MAX_MB               64.0
#define STALL_MAX_MS             1000.0

/* What the threads of one path, direct or through the node, measured. */
struct path_samples {
	GMutex lock;
	GArray *gaps_ms;         /* double, between events of a stream */
	GArray *first_tokens_ms; /* double, from request to first event */
	int64_t calls;
	int64_t failed; /* calls and streams */
};

/* A thread that reads one stream or makes calls one after the other. */
struct worker {
	struct path_samples *samples;
	int port;
	bool direct;
	int number; /* makes its requests distinct */
	int64_t tokens;
	int64_t delay_ms; /* before the start */
	int64_t until_ms; /* end of a caller's calls */
};

static double now_ms(void)
{
	return (double)g_get_monotonic_time() / 1000.0;
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Return the quantile q, 0 to 1, of an array of doubles, which it sorts. */
static double quantile(GArray *a, double q)
{
	if (!a->len)
		return 0;
	g_array_sort(a, compare);
	return g_array_index(a, double, (guint)(q * (a->len - 1)));
}

static struct http_call *open_chat(const struct worker *worker)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d/v1/chat/completions",
				    worker->port);
	char *id = g_strdup_printf("Request-Id: direct-%d", worker->number);
	char *body = g_strdup_printf(
		"{\"model\":\"assistant\",\"stream\":true,"
		"\"max_tokens\":%" G_GINT64_FORMAT ",\"messages\":"
		"[{\"role\":\"user\",\"content\":\"%d\"}]}",
		worker->tokens, worker->number);
	const char *headers[] = {"Authorization: Bearer key-recif",
				 "Content-Type: application/json", id, NULL};
	struct http_request q = {.method = "POST",
				 .url = url,
				 .headers = headers,
				 .body = str_c(body),
				 .connect_timeout_ms = CONNECT_MS,
				 .fresh = true};
	struct http_call *p = http_call_open(&q);

	http_call_wait_headers(p, time_mono_ms() + WAIT_MS);
	g_free(url);
	g_free(id);
	g_free(body);
	return p;
}

static void add_stream(struct path_samples *s, GArray *gaps_ms,
		       double first_token_ms, bool complete)
{
	g_mutex_lock(&s->lock);
	g_array_append_vals(s->gaps_ms, gaps_ms->data, gaps_ms->len);
	if (first_token_ms > 0)
		g_array_append_val(s->first_tokens_ms, first_token_ms);
	s->failed += !complete;
	g_mutex_unlock(&s->lock);
}

static void *run_stream(void *arg)
{
	struct worker *worker = arg;
	GArray *gaps_ms = g_array_new(FALSE, FALSE, sizeof(double));
	double start_ms, last_ms = 0, first_token_ms = 0;
	bool done = false;
	struct http_call *p;

	g_usleep((gulong)worker->delay_ms * 1000);
	start_ms = now_ms();
	p = open_chat(worker);

	while (!done) {
		GByteArray *b = http_call_unread(p);
		struct sse_event e;
		size_t n = sse_next((char *)b->data, b->len, &e);
		double t = now_ms(), gap_ms = t - last_ms;

		if (!n) {
			if (http_call_wait_more(p, time_mono_ms() + WAIT_MS) !=
			    HTTP_CALL_DATA)
				break;
			continue;
		}
		done = str_eq(e.data, STR_LIT("[DONE]"));
		if (!first_token_ms)
			first_token_ms = t - start_ms;
		else if (!done)
			g_array_append_val(gaps_ms, gap_ms);
		last_ms = t;
		g_byte_array_remove_range(b, 0, (guint)n);
	}
	http_call_close(p);
	add_stream(worker->samples, gaps_ms, first_token_ms, done);
	g_array_unref(gaps_ms);
	return NULL;
}

static void *run_calls(void *arg)
{
	static const char *const headers[] = {"Authorization: Bearer key-recif",
					      NULL};
	struct worker *worker = arg;
	char *url = g_strdup_printf("http://127.0.0.1:%d%s/app/x", worker->port,
				    worker->direct ? "" : "/v1/services/forum");
	int64_t n = 0, failed = 0;

	while (time_mono_ms() < worker->until_ms) {
		struct http_request q = {.method = "GET",
					 .url = url,
					 .headers = headers,
					 .connect_timeout_ms = CONNECT_MS};
		struct http_call *p = http_call_open(&q);

		while (http_call_wait_more(p, time_mono_ms() + WAIT_MS) ==
		       HTTP_CALL_DATA)
			;
		n++;
		failed += http_call_status(p) != 200;
		http_call_close(p);
	}
	g_mutex_lock(&worker->samples->lock);
	worker->samples->calls += n;
	worker->samples->failed += failed;
	g_mutex_unlock(&worker->samples->lock);
	g_free(url);
	return NULL;
}

static void samples_init(struct path_samples *s)
{
	memset(s, 0, sizeof(*s));
	g_mutex_init(&s->lock);
	s->gaps_ms = g_array_new(FALSE, FALSE, sizeof(double));
	s->first_tokens_ms = g_array_new(FALSE, FALSE, sizeof(double));
}

static void samples_clear(struct path_samples *s)
{
	g_array_unref(s->gaps_ms);
	g_array_unref(s->first_tokens_ms);
}

static void start_workers(GThread **threads, struct worker *workers, int n,
			  GThreadFunc run)
{
	for (int i = 0; i < n; i++)
		threads[i] = g_thread_new("bench", run, &workers[i]);
}

static void join_workers(GThread **threads, int n)
{
	for (int i = 0; i < n; i++)
		g_thread_join(threads[i]);
}

/*
 * Run n workers on each path, started start_interval_ms apart, alternately
 * through the node and directly. Direct workers share the given targets.
 */
static void run_side_by_side(struct rig *g, const struct proc *direct_targets,
			     unsigned targets, int n, GThreadFunc run,
			     int64_t tokens, int64_t start_interval_ms,
			     struct path_samples *via_node,
			     struct path_samples *direct)
{
	struct worker *workers = g_new0(struct worker, 2 * n);
	GThread **threads = g_new0(GThread *, 2 * n);

	for (int i = 0; i < 2 * n; i++)
		workers[i] = (struct worker){
			.samples = i % 2 ? direct : via_node,
			.port = i % 2 ? direct_targets[i / 2 % targets].port
				      : g->nodes[0].port,
			.direct = i % 2,
			.number = i,
			.tokens = tokens,
			.delay_ms = i * start_interval_ms,
			.until_ms = time_mono_ms() + CALLS_MS};
	start_workers(threads, workers, 2 * n, run);
	join_workers(threads, 2 * n);
	g_free(workers);
	g_free(threads);
}

static double rss_mb(const struct proc *p)
{
	return (double)proc_memory_bytes(p) / 1048576;
}

static void print_failed_row(const char *name, const char *unit, double bound)
{
	printf("%s\t-\t%s\t%g\tfailed\n", name, unit, bound);
}

/* Gaps between the tokens of concurrent streams. */
static void bench_streams(struct rig *g)
{
	struct path_samples via_node, direct;

	samples_init(&via_node);
	samples_init(&direct);
	run_side_by_side(g, g->engines, ENGINES, STREAM_COUNT, run_stream,
			 OUTPUT_TOKENS, 0, &via_node, &direct);
	if (via_node.failed || direct.failed) {
		print_failed_row("added_p99_ms", "ms", ADDED_P99_MAX_MS);
		print_failed_row("stream_stall_max_ms", "ms", STALL_MAX_MS);
	} else {
		row_at_most("added_p99_ms",
			    quantile(via_node.gaps_ms, 0.99) -
				    quantile(direct.gaps_ms, 0.99),
			    "ms", ADDED_P99_MAX_MS);
		row_at_most("stream_stall_max_ms",
			    quantile(via_node.gaps_ms, 1), "ms", STALL_MAX_MS);
	}
	samples_clear(&via_node);
	samples_clear(&direct);
}

/* Time to the first token, with starts spread out so that none queue. */
static void bench_first_token(struct rig *g)
{
	struct path_samples via_node, direct;

	samples_init(&via_node);
	samples_init(&direct);
	run_side_by_side(g, g->engines, ENGINES, STREAM_COUNT, run_stream,
			 FIRST_TOKEN_OUTPUT_TOKENS, START_INTERVAL_MS,
			 &via_node, &direct);
	if (via_node.failed || direct.failed)
		print_failed_row("added_first_token_ms", "ms",
				 ADDED_FIRST_TOKEN_MAX_MS);
	else
		row_at_most("added_first_token_ms",
			    quantile(via_node.first_tokens_ms, 0.5) -
				    quantile(direct.first_tokens_ms, 0.5),
			    "ms", ADDED_FIRST_TOKEN_MAX_MS);
	samples_clear(&via_node);
	samples_clear(&direct);
}

/* Throughput of plain calls through the node, as a ratio to direct ones. */
static void bench_calls(struct rig *g)
{
	struct path_samples via_node, direct;

	samples_init(&via_node);
	samples_init(&direct);
	run_side_by_side(g, g->services, 1, CALLER_COUNT, run_calls, 0, 0,
			 &via_node, &direct);
	if (via_node.failed || direct.failed || !direct.calls)
		print_failed_row("direct_ratio", "ratio", DIRECT_RATIO_MIN);
	else
		row_at_least("direct_ratio",
			     (double)via_node.calls / (double)direct.calls,
			     "ratio", DIRECT_RATIO_MIN);
	samples_clear(&via_node);
	samples_clear(&direct);
}

/* The node's largest RSS while RSS_STREAM_COUNT streams are open. */
static void bench_rss(struct rig *g)
{
	struct worker *workers = g_new0(struct worker, RSS_STREAM_COUNT);
	GThread **threads = g_new0(GThread *, RSS_STREAM_COUNT);
	double max_mb = 0;
	struct path_samples via_node;

	samples_init(&via_node);
	for (int i = 0; i < RSS_STREAM_COUNT; i++)
		workers[i] = (struct worker){.samples = &via_node,
					     .port = g->nodes[0].port,
					     .number = 10000 + i,
					     .tokens = OUTPUT_TOKENS};
	start_workers(threads, workers, RSS_STREAM_COUNT, run_stream);
	for (int i = 0; i < 20; i++) {
		g_usleep(100 * 1000);
		max_mb = MAX(max_mb, rss_mb(&g->nodes[0]));
	}
	join_workers(threads, RSS_STREAM_COUNT);
	if (via_node.failed)
		print_failed_row("node_rss_500_streams_mb", "MB", RSS_MAX_MB);
	else
		row_at_most("node_rss_500_streams_mb", max_mb, "MB",
			    RSS_MAX_MB);
	samples_clear(&via_node);
	g_free(workers);
	g_free(threads);
}

/* Start a node and engines that emit a token every step_ms. */
static struct rig *start_rig(int step_ms)
{
	struct rig *g = rig_new(0, 1, "[log]\nlevel = warning\n");
	char step[16];

	g_snprintf(step, sizeof(step), "%d", step_ms);
	for (int i = 0; i < ENGINES; i++) {
		char *name = g_strdup_printf("e%d", i + 1);

		proc_start(g, &g->engines[i], name, "build/standin/engine",
			   "--batch", "2000", "--step-ms", step, NULL);
		g_free(name);
	}
	g->engine_count = ENGINES;
	rig_start(g);
	return g;
}

int main(void)
{
	struct rig *g;

	block_stop_signals();
	curl_global_init(CURL_GLOBAL_ALL);
	g = start_rig(FIRST_TOKEN_STEP_MS);
	row_at_most("node_rss_idle_mb", rss_mb(&g->nodes[0]), "MB", RSS_MAX_MB);
	bench_first_token(g);
	rig_free(g);
	g = start_rig(ENGINE_STEP_MS);
	bench_streams(g);
	bench_calls(g);
	bench_rss(g);
	rig_free(g);
	return 0;
}
