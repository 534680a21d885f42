/*
 * bench-path: what a node adds to the whole path. Stand-in called directly and
 * through a node side by side in one run, so that noise hits both alike.
 */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/bench.h"
#include "node/test-harness.h"

#define STREAMS       200
#define STEP_MS       20 /* of the engine, as its answers are read */
#define FIRST_STEP_MS 4  /* as first tokens are timed */
#define FIRST_TOKENS  10
#define APART_MS      4 /* between starts, as first tokens are timed */
#define MORE_STREAMS  500
#define TOKENS        100
#define ENGINES       4 /* admission leaves each room for 125 streams */
#define CALLERS       64
#define CALLS_MS      3000
#define CONNECT_MS    5000

#define ADDED_P99_MS   2.0
#define ADDED_FIRST_MS 1.0
#define DIRECT_RATIO   0.5
#define RSS_MB         64.0
#define STALL_MS       1000.0

/* One side of a comparison: its times in ms and what failed. */
struct side {
	GMutex lock;
	GArray *gaps;   /* double; between events of a stream */
	GArray *firsts; /* double; from the request to the first event */
	int64_t calls;
	int64_t failed;
};

struct work {
	struct side *side;
	int port;
	bool direct;
	int number;
	int64_t tokens;
	int64_t delay_ms; /* before the start */
	int64_t until_ms;
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

static double quantile(GArray *a, double q)
{
	if (!a->len)
		return 0;
	g_array_sort(a, compare);
	return g_array_index(a, double, (guint)(q * (a->len - 1)));
}

static struct pull *open_chat(const struct work *w)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d/v1/chat/completions",
				    w->port);
	char *id = g_strdup_printf("Request-Id: direct-%d", w->number);
	char *body = g_strdup_printf(
		"{\"model\":\"assistant\",\"stream\":true,"
		"\"max_tokens\":%" G_GINT64_FORMAT ",\"messages\":"
		"[{\"role\":\"user\",\"content\":\"%d\"}]}",
		w->tokens, w->number);
	const char *headers[] = {"Authorization: Bearer key-recif",
				 "Content-Type: application/json", id, NULL};
	struct pull_request q = {.method = "POST",
				 .url = url,
				 .headers = headers,
				 .body = str_c(body),
				 .connect_ms = CONNECT_MS,
				 .fresh = true};
	struct pull *p = pull_open(&q);

	pull_wait_headers(p, time_mono_ms() + WAIT_MS);
	g_free(url);
	g_free(id);
	g_free(body);
	return p;
}

static void add(struct side *s, GArray *gaps, double first, bool whole)
{
	g_mutex_lock(&s->lock);
	g_array_append_vals(s->gaps, gaps->data, gaps->len);
	if (first > 0)
		g_array_append_val(s->firsts, first);
	s->failed += !whole;
	g_mutex_unlock(&s->lock);
}

static void *run_stream(void *arg)
{
	struct work *w = arg;
	GArray *gaps = g_array_new(FALSE, FALSE, sizeof(double));
	double begun, last = 0, first = 0;
	bool done = false;
	struct pull *p;

	g_usleep((gulong)w->delay_ms * 1000);
	begun = now_ms();
	p = open_chat(w);

	while (!done) {
		GByteArray *b = pull_bytes(p);
		struct sse_event e;
		size_t n = sse_next((char *)b->data, b->len, &e);
		double t = now_ms(), gap = t - last;

		if (!n) {
			if (pull_wait_more(p, time_mono_ms() + WAIT_MS) !=
			    PULL_DATA)
				break;
			continue;
		}
		done = str_eq(e.data, STR_LIT("[DONE]"));
		if (!first)
			first = t - begun;
		else if (!done)
			g_array_append_val(gaps, gap);
		last = t;
		g_byte_array_remove_range(b, 0, (guint)n);
	}
	pull_close(p);
	add(w->side, gaps, first, done);
	g_array_unref(gaps);
	return NULL;
}

static void *run_calls(void *arg)
{
	static const char *const headers[] = {"Authorization: Bearer key-recif",
					      NULL};
	struct work *w = arg;
	char *url = g_strdup_printf("http://127.0.0.1:%d%s/app/x", w->port,
				    w->direct ? "" : "/v1/services/forum");
	int64_t n = 0, failed = 0;

	while (time_mono_ms() < w->until_ms) {
		struct pull_request q = {.method = "GET",
					 .url = url,
					 .headers = headers,
					 .connect_ms = CONNECT_MS};
		struct pull *p = pull_open(&q);

		while (pull_wait_more(p, time_mono_ms() + WAIT_MS) == PULL_DATA)
			;
		n++;
		failed += pull_status(p) != 200;
		pull_close(p);
	}
	g_mutex_lock(&w->side->lock);
	w->side->calls += n;
	w->side->failed += failed;
	g_mutex_unlock(&w->side->lock);
	g_free(url);
	return NULL;
}

static void side_init(struct side *s)
{
	memset(s, 0, sizeof(*s));
	g_mutex_init(&s->lock);
	s->gaps = g_array_new(FALSE, FALSE, sizeof(double));
	s->firsts = g_array_new(FALSE, FALSE, sizeof(double));
}

static void side_clear(struct side *s)
{
	g_array_unref(s->gaps);
	g_array_unref(s->firsts);
}

static void start(GThread **t, struct work *w, int n, GThreadFunc run)
{
	for (int i = 0; i < n; i++)
		t[i] = g_thread_new("bench", run, &w[i]);
}

static void join(GThread **t, int n)
{
	for (int i = 0; i < n; i++)
		g_thread_join(t[i]);
}

/* Both sides at once, n streams or callers each, started apart_ms apart. */
static void run_both(struct rig *g, const struct proc *direct_to,
		     unsigned targets, int n, GThreadFunc run, int64_t tokens,
		     int64_t apart_ms, struct side *via, struct side *direct)
{
	struct work *w = g_new0(struct work, 2 * n);
	GThread **t = g_new0(GThread *, 2 * n);

	for (int i = 0; i < 2 * n; i++)
		w[i] = (struct work){
			.side = i % 2 ? direct : via,
			.port = i % 2 ? direct_to[i / 2 % targets].port
				      : g->nodes[0].port,
			.direct = i % 2,
			.number = i,
			.tokens = tokens,
			.delay_ms = i * apart_ms,
			.until_ms = time_mono_ms() + CALLS_MS};
	start(t, w, 2 * n, run);
	join(t, 2 * n);
	g_free(w);
	g_free(t);
}

static double rss_mb(const struct proc *p)
{
	char *path = g_strdup_printf("/proc/%d/status", p->pid);
	char *text = NULL;
	const char *s;
	double kb = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		s = strstr(text, "VmRSS:");
		kb = s ? g_ascii_strtod(s + strlen("VmRSS:"), NULL) : 0;
	}
	g_free(text);
	g_free(path);
	return kb / 1024;
}

static void failed_row(const char *name, const char *unit, double bound)
{
	printf("%s\t-\t%s\t%g\tfailed\n", name, unit, bound);
}

static void bench_streams(struct rig *g)
{
	struct side via, direct;

	side_init(&via);
	side_init(&direct);
	run_both(g, g->engines, ENGINES, STREAMS, run_stream, TOKENS, 0, &via,
		 &direct);
	if (via.failed || direct.failed) {
		failed_row("added_p99_ms", "ms", ADDED_P99_MS);
		failed_row("stream_stall_max_ms", "ms", STALL_MS);
	} else {
		row_at_most("added_p99_ms",
			    quantile(via.gaps, 0.99) -
				    quantile(direct.gaps, 0.99),
			    "ms", ADDED_P99_MS);
		row_at_most("stream_stall_max_ms", quantile(via.gaps, 1), "ms",
			    STALL_MS);
	}
	side_clear(&via);
	side_clear(&direct);
}

static void bench_first(struct rig *g)
{
	struct side via, direct;

	side_init(&via);
	side_init(&direct);
	run_both(g, g->engines, ENGINES, STREAMS, run_stream, FIRST_TOKENS,
		 APART_MS, &via, &direct);
	if (via.failed || direct.failed)
		failed_row("added_first_token_ms", "ms", ADDED_FIRST_MS);
	else
		row_at_most("added_first_token_ms",
			    quantile(via.firsts, 0.5) -
				    quantile(direct.firsts, 0.5),
			    "ms", ADDED_FIRST_MS);
	side_clear(&via);
	side_clear(&direct);
}

static void bench_calls(struct rig *g)
{
	struct side via, direct;

	side_init(&via);
	side_init(&direct);
	run_both(g, g->services, 1, CALLERS, run_calls, 0, 0, &via, &direct);
	if (via.failed || direct.failed || !direct.calls)
		failed_row("direct_ratio", "ratio", DIRECT_RATIO);
	else
		row_at_least("direct_ratio",
			     (double)via.calls / (double)direct.calls, "ratio",
			     DIRECT_RATIO);
	side_clear(&via);
	side_clear(&direct);
}

/* Memory while so many streams are open at once. */
static void bench_rss(struct rig *g)
{
	struct work *w = g_new0(struct work, MORE_STREAMS);
	GThread **t = g_new0(GThread *, MORE_STREAMS);
	double most = 0;
	struct side via;

	side_init(&via);
	for (int i = 0; i < MORE_STREAMS; i++)
		w[i] = (struct work){.side = &via,
				     .port = g->nodes[0].port,
				     .number = 10000 + i,
				     .tokens = TOKENS};
	start(t, w, MORE_STREAMS, run_stream);
	for (int i = 0; i < 20; i++) {
		g_usleep(100 * 1000);
		most = MAX(most, rss_mb(&g->nodes[0]));
	}
	join(t, MORE_STREAMS);
	if (via.failed)
		failed_row("node_rss_500_streams_mb", "MB", RSS_MB);
	else
		row_at_most("node_rss_500_streams_mb", most, "MB", RSS_MB);
	side_clear(&via);
	g_free(w);
	g_free(t);
}

static struct rig *rig_with(int step_ms)
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
	g = rig_with(FIRST_STEP_MS);
	row_at_most("node_rss_idle_mb", rss_mb(&g->nodes[0]), "MB", RSS_MB);
	bench_first(g);
	rig_free(g);
	g = rig_with(STEP_MS);
	bench_streams(g);
	bench_calls(g);
	bench_rss(g);
	rig_free(g);
	return 0;
}
