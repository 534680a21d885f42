/*
 * Membership at several sizes on a virtual clock: each row's name ends in the
 * number of members. Times are virtual; processor time and memory are real.
 */
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "member/test-net.h"

#define WARM_MS       40000
#define SETTLE_MS     15000
#define MOST_MS       60000
#define QUIET_MS      10000
#define TRIALS        3
#define REGIONS       2
#define SEED          61
#define PARTED_MS     60000
#define MERGE_MOST_MS 120000
/* A larger fleet would take longer than the bench may run. */
#define MERGE_MEMBERS_MAX 50
#define MB                (1024.0 * 1024.0)

/* Targets, from the issue and the letter. */
#define DETECT_MAX_S     10.0 /* for which a caller keeps its entries */
#define SPREAD_MAX_S     5.0
#define DRAIN_MAX_S      3.0
#define BYTES_MAX        4096.0
#define CPU_MAX_PCT      2.5
#define MEMORY_MAX_MB    64.0
#define MERGE_MAX_S      60.0
#define MEAN_ERR_MAX_PCT 10.0

static const size_t sizes[] = {9, 50, 150, 370};

static void row(const char *name, size_t n, double value, const char *unit,
		double bound)
{
	printf("%s_%zu\t%.3f\t%s\t%g\t%s\n", name, n, value, unit, bound,
	       value <= bound ? "ok" : "short");
}

static double cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static int compare(const void *a, const void *b)
{
	const int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* Times that single members took, in milliseconds. */
struct samples {
	GArray *ms;
	int64_t missing; /* members that never came to it */
};

static double worst_s(struct samples *s)
{
	g_array_sort(s->ms, compare);
	if (s->missing || !s->ms->len)
		return MOST_MS / 1000.0;
	return (double)g_array_index(s->ms, int64_t, s->ms->len - 1) / 1000;
}

static double p99_s(struct samples *s)
{
	guint n = s->ms->len;
	guint at = n * 99 / 100;

	g_array_sort(s->ms, compare);
	if (s->missing * 100 > n || !n)
		return MOST_MS / 1000.0;
	return (double)g_array_index(s->ms, int64_t, at) / 1000;
}

/* What a member may come to know. */
typedef bool knows_fn(const struct net *t, size_t who, int64_t what);

static bool knows_dead(const struct net *t, size_t who, int64_t what)
{
	const struct member_peer *p = net_sees(t, who, (size_t)what);

	return !p || p->state == MEMBER_DEAD;
}

static bool knows_leaving(const struct net *t, size_t who, int64_t what)
{
	const struct member_peer *p = net_sees(t, who, (size_t)what);

	return p && p->leaving;
}

static bool knows_revision(const struct net *t, size_t who, int64_t what)
{
	return member_revision(t->nodes[who].member) >= what;
}

static bool knows_target(const struct net *t, size_t who, int64_t what)
{
	char name[32];

	g_snprintf(name, sizeof(name), "engine-%" G_GINT64_FORMAT, what);
	return member_target(t->nodes[who].member, t->now_ms, name) ==
	       TARGET_VIEW_LEAVING;
}

/* Run until every member knows, and keep the time of each. */
static void collect(struct net *t, knows_fn *knows, int64_t what,
		    struct samples *out)
{
	bool *known = g_new0(bool, t->o.n);
	int64_t from = t->now_ms;
	size_t left = 0;

	for (size_t i = 0; i < t->o.n; i++) {
		known[i] = !t->nodes[i].member;
		left += !known[i];
	}
	while (left && t->now_ms - from < MOST_MS) {
		net_run(t, NET_STEP_MS);
		for (size_t i = 0; i < t->o.n; i++) {
			int64_t ms = t->now_ms - from;

			if (known[i] || !knows(t, i, what))
				continue;
			known[i] = true;
			left--;
			g_array_append_val(out->ms, ms);
		}
	}
	out->missing += (int64_t)left;
	g_free(known);
}

static struct samples samples_new(void)
{
	return (struct samples){g_array_new(false, false, sizeof(int64_t)), 0};
}

/* A revision, a node that leaves and a target that leaves, several times. */
static void measure_spread(struct net *t)
{
	struct samples spread = samples_new(), drain = samples_new();
	char name[32];

	for (int64_t i = 1; i <= TRIALS; i++) {
		struct member *m = t->nodes[i].member;

		member_set_revision(m, i);
		collect(t, knows_revision, i, &spread);
		member_leave(m);
		collect(t, knows_leaving, i, &spread);
		g_snprintf(name, sizeof(name), "engine-%" G_GINT64_FORMAT, i);
		member_note_target(m, t->now_ms, name, TARGET_LEAVES);
		collect(t, knows_target, i, &drain);
	}
	g_array_append_vals(spread.ms, drain.ms->data, drain.ms->len);
	spread.missing += drain.missing;
	row("spread_s", t->o.n, p99_s(&spread), "s", SPREAD_MAX_S);
	row("drain_new_work_s", t->o.n, worst_s(&drain), "s", DRAIN_MAX_S);
	g_array_unref(spread.ms);
	g_array_unref(drain.ms);
}

static void measure_detection(struct net *t)
{
	struct samples detect = samples_new();

	for (size_t i = 4; i < 4 + TRIALS; i++) {
		net_kill(t, i);
		collect(t, knows_dead, (int64_t)i, &detect);
		net_run(t, SETTLE_MS);
	}
	row("detect_s", t->o.n, worst_s(&detect), "s", DETECT_MAX_S);
	g_array_unref(detect.ms);
}

/* One member is frozen, one link is cut and 5% of all messages are lost. */
static void measure_evictions(struct net *t)
{
	t->o.loss_percent = 5;
	net_cut(t, 0, 7);
	t->nodes[8].frozen = true;
	net_run(t, SETTLE_MS);
	t->nodes[8].frozen = false;
	t->nodes[8].exempt = true;
	net_run(t, SETTLE_MS);
	t->o.loss_percent = 0;
	t->has_cut = false;
	row("false_evictions", t->o.n, (double)t->false_evictions, "count", 0);
}

/*
 * Worst error of any member's mean. Each second a tenth of the members get a
 * new load between 0.5 and 1.5 of the mean, and the whole fleet's load
 * grows by a hundredth.
 */
static void measure_mean(struct net *t)
{
	double *own = g_new0(double, t->o.n);
	double worst = 0, grown = 1;

	for (int s = 0; s < 60; s++, grown *= 1.01) {
		double work = 0, targets = 0, mean = 0;

		for (size_t i = 0; i < t->o.n; i++) {
			if (!t->nodes[i].member)
				continue;
			if (!s || g_rand_int_range(t->rand, 0, 10) == 0)
				own[i] = g_rand_double_range(t->rand, 50, 150);
			member_set_load(t->nodes[i].member, "llm",
					own[i] * grown, 2);
			work += own[i] * grown;
			targets += 2;
		}
		net_run(t, 1000);
		for (size_t i = 0; s >= 20 && i < t->o.n; i++) {
			double err;

			if (!t->nodes[i].member)
				continue;
			if (!member_mean_load(t->nodes[i].member, "llm", &mean))
				mean = 0;
			err = mean * targets / work - 1;
			worst = MAX(worst, err < 0 ? -err : err);
		}
	}
	row("mean_load_err_pct", t->o.n, 100 * worst, "%", MEAN_ERR_MAX_PCT);
	g_free(own);
}

/* Regions part until each has given up the other, and merge again. */
static void measure_merge(struct net *t)
{
	int64_t ms = 0;

	for (size_t i = 4; i < 4 + TRIALS; i++)
		net_start(t, i);
	net_run(t, SETTLE_MS);
	t->parted = true;
	net_run(t, PARTED_MS);
	t->parted = false;
	for (; ms < MERGE_MOST_MS && !net_all_see_live(t); ms += 1000)
		net_run(t, 1000);
	row("merge_s", t->o.n, (double)ms / 1000, "s", MERGE_MAX_S);
}

/* What the fleet costs when nothing happens. */
static void measure_quiet(struct net *t)
{
	double cpu = cpu_s();
	double seconds = QUIET_MS / 1000.0;
	int64_t bytes = 0;

	t->o.loads = true;
	for (size_t i = 0; i < t->o.n; i++)
		bytes -= t->nodes[i].member
				 ? member_bytes_sent(t->nodes[i].member)
				 : 0;
	net_run(t, QUIET_MS);
	t->o.loads = false;
	for (size_t i = 0; i < t->o.n; i++)
		bytes += t->nodes[i].member
				 ? member_bytes_sent(t->nodes[i].member)
				 : 0;
	row("control_quiet_bytes_s", t->o.n,
	    (double)bytes / seconds / (double)t->o.n, "B/s", BYTES_MAX);
	row("control_cpu_pct", t->o.n,
	    100 * (cpu_s() - cpu) / seconds / (double)t->o.n, "%", CPU_MAX_PCT);
}

static void measure(size_t n)
{
	struct net_options o = {.n = n, .regions = REGIONS, .seed = SEED};
	size_t before = mallinfo2().uordblks;
	struct net *t = net_new(&o);
	int64_t worst = 0;

	net_run(t, WARM_MS);
	measure_quiet(t);
	measure_spread(t);
	measure_detection(t);
	measure_evictions(t);
	measure_mean(t);
	if (n <= MERGE_MEMBERS_MAX)
		measure_merge(t);
	for (size_t i = 0; i < n; i++)
		worst = MAX(worst, t->nodes[i].worst);
	row("control_bytes_s", n, (double)worst, "B/s", BYTES_MAX);
	row("control_mb", n,
	    (double)(mallinfo2().uordblks - before) / MB / (double)n, "MB",
	    MEMORY_MAX_MB);
	net_free(t);
}

int main(void)
{
	if (sodium_init() < 0)
		return 1;
	setlinebuf(stdout);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i]);
	return 0;
}
