/*
 * capacity-path: processor time and memory of the entry and of the admitting
 * node, by request, by token and by open stream, from real processes; and what
 * that gives for each of the nodes at the size of docs/CAPACITY.md.
 */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench/bench.h"
#include "node/test-harness.h"

#define SIZES   4
#define STREAMS 80
#define STEP_MS 10
#define MEMORY_STEP                                                            \
	400 /* ms; slow enough that all streams are open at once               \
	     */

/* The size asked for. */
#define NODES       370.0
#define REQUESTS_S  7500.0
#define TOKENS_S    1700000.0
#define TOKEN_GAP_S 0.048
#define CONTROL_MB  64.0
#define CONTROL_PCT 2.5
#define IDLE_S      5

struct cost {
	double entry; /* processor seconds or bytes */
	double admitter;
};

static double cpu_of(const struct proc *p)
{
	char *path = g_strdup_printf("/proc/%d/stat", p->pid);
	char *text = NULL;
	char **f;
	double ticks = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		/* Fields after the name, which ends in ")". */
		f = g_strsplit(strrchr(text, ')') + 2, " ", 15);
		ticks = g_ascii_strtod(f[11], NULL) +
			g_ascii_strtod(f[12], NULL);
		g_strfreev(f);
	}
	g_free(text);
	g_free(path);
	return ticks / (double)sysconf(_SC_CLK_TCK);
}

static double rss_of(const struct proc *p)
{
	char *path = g_strdup_printf("/proc/%d/statm", p->pid);
	char *text = NULL;
	double pages = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		char **f = g_strsplit(text, " ", 3);

		pages = g_ascii_strtod(f[1], NULL);
		g_strfreev(f);
	}
	g_free(text);
	g_free(path);
	return pages * (double)sysconf(_SC_PAGESIZE);
}

struct reader {
	int port;
	int number;
	int64_t tokens;
	bool whole;
};

static void *read_answer(void *arg)
{
	struct reader *r = arg;
	char *question = g_strdup_printf("capacity %d", r->number);
	struct ask *a = ask_open(r->port, "assistant", question, r->tokens);

	ask_read(a, r->tokens + 1);
	r->whole = a->done;
	ask_free(a);
	g_free(question);
	return NULL;
}

/* Returns false when an answer was not whole: the figure is then void. */
static bool read_all(int port, int streams, int64_t tokens, int hold_ms,
		     void (*held)(void *), void *ctx)
{
	static int number;
	struct reader *r = g_new0(struct reader, streams);
	GThread **t = g_new0(GThread *, streams);
	bool whole = true;

	for (int i = 0; i < streams; i++) {
		r[i] = (struct reader){port, number++, tokens, false};
		t[i] = g_thread_new("read", read_answer, &r[i]);
	}
	if (held) {
		g_usleep((gulong)hold_ms * 1000);
		held(ctx);
	}
	for (int i = 0; i < streams; i++) {
		g_thread_join(t[i]);
		whole = whole && r[i].whole;
	}
	g_free(r);
	g_free(t);
	return whole;
}

/* A rig whose node number 0 is the entry and number 1 admits. */
static struct rig *rig_with(int step_ms)
{
	struct rig *g = rig_new(0, 2, "[log]\nlevel = warning\n");
	char step[16];
	struct proc first;

	g_snprintf(step, sizeof(step), "%d", step_ms);
	proc_start(g, &g->engines[0], "e1", "build/standin/engine", "--batch",
		   "2000", "--step-ms", step, NULL);
	g->engine_count = 1;
	rig_start(g);
	/* The hand-over of the start must be over. */
	g_usleep(6 * G_USEC_PER_SEC);
	read_all(g->nodes[0].port, 1, 2, 0, NULL, NULL);
	if (proc_metric(&g->nodes[0], "ramp_admissions_total") > 0) {
		first = g->nodes[0];
		g->nodes[0] = g->nodes[1];
		g->nodes[1] = first;
	}
	return g;
}

static bool cost_of(struct rig *g, int streams, int64_t tokens, struct cost *c)
{
	struct cost before = {cpu_of(&g->nodes[0]), cpu_of(&g->nodes[1])};

	if (!read_all(g->nodes[0].port, streams, tokens, 0, NULL, NULL))
		return false;
	c->entry = cpu_of(&g->nodes[0]) - before.entry;
	c->admitter = cpu_of(&g->nodes[1]) - before.admitter;
	return true;
}

static void print_role(const char *role, const struct fit *f)
{
	char name[64];
	double request_s = REQUESTS_S / NODES;
	double token_s = TOKENS_S / NODES;
	double pct = 100 * (request_s * f->base + token_s * f->slope);

	g_snprintf(name, sizeof(name), "%s_us_a_request", role);
	row_figure(name, f->base * 1e6, "us");
	g_snprintf(name, sizeof(name), "%s_us_a_token", role);
	row_figure(name, f->slope * 1e6, "us");
	g_snprintf(name, sizeof(name), "%s_fit_error", role);
	row_at_most(name, f->worst, "ratio", 0.25);
	g_snprintf(name, sizeof(name), "%s_cpu_pct_370", role);
	row_figure(name, pct, "% of a core");
}

/* A node without requests: the control thread alone. */
static void capacity_idle(const struct proc *node)
{
	double before = cpu_of(node);
	int64_t from = time_mono_ms();
	double seconds;

	g_usleep(IDLE_S * G_USEC_PER_SEC);
	seconds = (double)(time_mono_ms() - from) / 1000;
	row_at_most("node_idle_cpu_pct",
		    100 * (cpu_of(node) - before) / seconds, "% of a core",
		    CONTROL_PCT);
}

/* Time of one request over its length in tokens. */
static bool capacity_cpu(void)
{
	static const double lengths[SIZES] = {20, 50, 100, 200};
	double entry[SIZES], admitter[SIZES];
	struct rig *g = rig_with(STEP_MS);
	bool ok = true;
	struct fit f;

	capacity_idle(&g->nodes[0]);
	for (int i = 0; i < SIZES && ok; i++) {
		struct cost c = {0};

		ok = cost_of(g, STREAMS, (int64_t)lengths[i], &c);
		entry[i] = c.entry / STREAMS;
		admitter[i] = c.admitter / STREAMS;
	}
	rig_free(g);
	if (!ok)
		return false;
	f = fit_line(lengths, entry, SIZES);
	print_role("entry", &f);
	f = fit_line(lengths, admitter, SIZES);
	print_role("admitter", &f);
	return true;
}

struct memory {
	struct rig *g;
	struct cost bytes;
};

static void take_rss(void *ctx)
{
	struct memory *m = ctx;

	m->bytes.entry = rss_of(&m->g->nodes[0]);
	m->bytes.admitter = rss_of(&m->g->nodes[1]);
}

/* Memory over the number of open streams. */
static bool capacity_memory(void)
{
	static const double sizes[SIZES] = {50, 100, 200, 400};
	double streams = TOKENS_S * TOKEN_GAP_S / NODES;
	struct memory m = {.g = rig_with(MEMORY_STEP)};
	double entry[SIZES], admitter[SIZES];
	struct fit e, a;
	bool ok = true;

	for (int i = 0; i < SIZES && ok; i++) {
		ok = read_all(m.g->nodes[0].port, (int)sizes[i], 6, 1500,
			      take_rss, &m);
		entry[i] = m.bytes.entry;
		admitter[i] = m.bytes.admitter;
	}
	rig_free(m.g);
	if (!ok)
		return false;
	e = fit_line(sizes, entry, SIZES);
	a = fit_line(sizes, admitter, SIZES);
	row_figure("entry_kb_a_stream", e.slope / 1024, "KB");
	row_figure("admitter_kb_a_stream", a.slope / 1024, "KB");
	row_figure("streams_a_node_370", streams, "count");
	/* Each node is both; the base of the process counts once. */
	row_figure("node_mb_370",
		   (e.base + streams * (e.slope + a.slope)) / 1048576, "MB");
	row_at_most("node_base_mb", e.base / 1048576, "MB", CONTROL_MB);
	return true;
}

int main(void)
{
	block_stop_signals();
	curl_global_init(CURL_GLOBAL_ALL);
	if (!capacity_cpu())
		puts("entry_cpu_pct_370\t-\t%\t-\tfailed");
	if (!capacity_memory())
		puts("node_mb_370\t-\tMB\t-\tfailed");
	return 0;
}
