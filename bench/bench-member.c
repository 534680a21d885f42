/*
 * Benchmark of membership at several fleet sizes on a simulated network. The
 * name of each row ends in the number of members. Times are those of the
 * virtual clock; CPU time and memory are those of this process.
 */
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "member/test-net.h"

#define WARM_MS          40000 /* before figures are taken */
#define SETTLE_MS        15000 /* between measurements */
#define TIMEOUT_MS       60000 /* of one propagation */
#define IDLE_MS          10000
#define TRIALS           3
#define REGIONS          2
#define SEED             61
#define PARTITION_MS     60000
#define MERGE_TIMEOUT_MS 120000
/* With more members, the merge would exceed the benchmark's time limit. */
#define MERGE_MEMBERS_MAX 50
#define BYTES_PER_MB      (1024.0 * 1024.0)

/* Bounds that the product has to keep. */
#define DETECT_MAX_S           10.0 /* lifetime of a caller's entry list */
#define SPREAD_MAX_S           5.0
#define DRAIN_MAX_S            3.0
#define BYTES_MAX_PER_S        4096.0
#define CPU_MAX_PERCENT        2.5
#define MEMORY_MAX_MB          64.0
#define MERGE_MAX_S            60.0
#define MEAN_ERROR_MAX_PERCENT 10.0

static const size_t sizes[] = {9, 50, 150, 370};

static void print_row(const char *name, size_t n, double value,
		      const char *unit, double bound)
{
	printf("%s_%zu\t%.3f\t%s\t%g\t%s\n", name, n, value, unit, bound,
	       value <= bound ? "ok" : "short");
}

static double process_cpu_s(void)
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

/* Propagation times to single members. */
struct samples {
	GArray *times_ms;  /* int64_t */
	int64_t timed_out; /* members not reached within TIMEOUT_MS */
};

/* Return the longest time in seconds, TIMEOUT_MS if any member timed out. */
static double max_s(struct samples *s)
{
	g_array_sort(s->times_ms, compare);
	if (s->timed_out || !s->times_ms->len)
		return TIMEOUT_MS / 1000.0;
	return (double)g_array_index(s->times_ms, int64_t,
				     s->times_ms->len - 1) /
	       1000;
}

/* Return the 99th percentile in seconds, TIMEOUT_MS if over 1% timed out. */
static double p99_s(struct samples *s)
{
	guint n = s->times_ms->len;
	guint index = n * 99 / 100;

	g_array_sort(s->times_ms, compare);
	if (s->timed_out * 100 > n || !n)
		return TIMEOUT_MS / 1000.0;
	return (double)g_array_index(s->times_ms, int64_t, index) / 1000;
}

/* Return whether a member has learned the fact that subject identifies. */
typedef bool sees_fn(const struct net *t, size_t observer, int64_t subject);

static bool sees_dead(const struct net *t, size_t observer, int64_t subject)
{
	const struct member_peer *p = net_view_of(t, observer, (size_t)subject);

	return !p || p->state == MEMBER_DEAD;
}

static bool sees_leaving(const struct net *t, size_t observer, int64_t subject)
{
	const struct member_peer *p = net_view_of(t, observer, (size_t)subject);

	return p && p->leaving;
}

static bool sees_revision(const struct net *t, size_t observer, int64_t subject)
{
	return member_revision(t->nodes[observer].member) >= subject;
}

static bool sees_target_leaving(const struct net *t, size_t observer,
				int64_t subject)
{
	char name[32];

	g_snprintf(name, sizeof(name), "engine-%" G_GINT64_FORMAT, subject);
	return member_target_health(t->nodes[observer].member, t->now_ms,
				    name) == TARGET_HEALTH_LEAVING;
}

/*
 * Run until every live member sees the fact, and append each one's time to out.
 * Members that don't see it within TIMEOUT_MS are counted in out->timed_out.
 */
static void time_propagation(struct net *t, sees_fn *sees, int64_t subject,
			     struct samples *out)
{
	bool *informed = g_new0(bool, t->o.n);
	int64_t start_ms = t->now_ms;
	size_t uninformed = 0;

	for (size_t i = 0; i < t->o.n; i++) {
		informed[i] = !t->nodes[i].member;
		uninformed += !informed[i];
	}
	while (uninformed && t->now_ms - start_ms < TIMEOUT_MS) {
		net_run(t, NET_STEP_MS);
		for (size_t i = 0; i < t->o.n; i++) {
			int64_t ms = t->now_ms - start_ms;

			if (informed[i] || !sees(t, i, subject))
				continue;
			informed[i] = true;
			uninformed--;
			g_array_append_val(out->times_ms, ms);
		}
	}
	out->timed_out += (int64_t)uninformed;
	g_free(informed);
}

static struct samples samples_new(void)
{
	return (struct samples){g_array_new(false, false, sizeof(int64_t)), 0};
}

/*
 * Propagation of a new revision, of a node that leaves and of a target that
 * leaves. The last has a stricter bound too: a target that drains must not get
 * new work.
 */
static void measure_propagation(struct net *t)
{
	struct samples propagation = samples_new(), drain = samples_new();
	char name[32];

	for (int64_t i = 1; i <= TRIALS; i++) {
		struct member *m = t->nodes[i].member;

		member_set_revision(m, i);
		time_propagation(t, sees_revision, i, &propagation);
		member_leave(m);
		time_propagation(t, sees_leaving, i, &propagation);
		g_snprintf(name, sizeof(name), "engine-%" G_GINT64_FORMAT, i);
		member_observe_target(m, t->now_ms, name,
				      TARGET_REPORTED_LEAVING);
		time_propagation(t, sees_target_leaving, i, &drain);
	}
	g_array_append_vals(propagation.times_ms, drain.times_ms->data,
			    drain.times_ms->len);
	propagation.timed_out += drain.timed_out;
	print_row("spread_s", t->o.n, p99_s(&propagation), "s", SPREAD_MAX_S);
	print_row("drain_new_work_s", t->o.n, max_s(&drain), "s", DRAIN_MAX_S);
	g_array_unref(propagation.times_ms);
	g_array_unref(drain.times_ms);
}

/* Time until all members consider a killed member dead. */
static void measure_detection(struct net *t)
{
	struct samples detection = samples_new();

	for (size_t i = 4; i < 4 + TRIALS; i++) {
		net_kill(t, i);
		time_propagation(t, sees_dead, (int64_t)i, &detection);
		net_run(t, SETTLE_MS);
	}
	print_row("detect_s", t->o.n, max_s(&detection), "s", DETECT_MAX_S);
	g_array_unref(detection.times_ms);
}

/*
 * Evictions of live members, with one link cut and 5% of all messages lost. The
 * eviction of a member that was frozen is correct and doesn't count.
 */
static void measure_false_evictions(struct net *t)
{
	t->o.loss_percent = 5;
	net_cut_link(t, 0, 7);
	t->nodes[8].frozen = true;
	net_run(t, SETTLE_MS);
	t->nodes[8].frozen = false;
	t->nodes[8].evictions_expected = true;
	net_run(t, SETTLE_MS);
	t->o.loss_percent = 0;
	t->link_cut = false;
	print_row("false_evictions", t->o.n, (double)t->false_evictions,
		  "count", 0);
}

/*
 * Largest relative error of any member's estimate of the mean load. Each
 * second, a tenth of the members get a new load between 0.5 and 1.5 of the
 * mean, and the load of the fleet grows by 1%.
 */
static void measure_mean_load(struct net *t)
{
	double *base_load = g_new0(double, t->o.n);
	double max_error = 0, growth = 1;

	for (int s = 0; s < 60; s++, growth *= 1.01) {
		double work = 0, targets = 0, mean = 0;

		for (size_t i = 0; i < t->o.n; i++) {
			if (!t->nodes[i].member)
				continue;
			if (!s || g_rand_int_range(t->rand, 0, 10) == 0)
				base_load[i] =
					g_rand_double_range(t->rand, 50, 150);
			member_set_load(t->nodes[i].member, "llm",
					base_load[i] * growth, 2);
			work += base_load[i] * growth;
			targets += 2;
		}
		net_run(t, 1000);
		for (size_t i = 0; s >= 20 && i < t->o.n; i++) {
			double error;

			if (!t->nodes[i].member)
				continue;
			if (!member_mean_load(t->nodes[i].member, "llm", &mean))
				mean = 0;
			error = mean * targets / work - 1;
			max_error = MAX(max_error, error < 0 ? -error : error);
		}
	}
	print_row("mean_load_err_pct", t->o.n, 100 * max_error, "%",
		  MEAN_ERROR_MAX_PERCENT);
	g_free(base_load);
}

/*
 * Time until all members see each other again after a network partition that
 * lasted until each region had evicted the other.
 */
static void measure_merge(struct net *t)
{
	int64_t ms = 0;

	for (size_t i = 4; i < 4 + TRIALS; i++)
		net_start(t, i);
	net_run(t, SETTLE_MS);
	t->partitioned = true;
	net_run(t, PARTITION_MS);
	t->partitioned = false;
	for (; ms < MERGE_TIMEOUT_MS && !net_all_see_live(t); ms += 1000)
		net_run(t, 1000);
	print_row("merge_s", t->o.n, (double)ms / 1000, "s", MERGE_MAX_S);
}

/* Bytes and CPU time per member when nothing changes. */
static void measure_idle(struct net *t)
{
	double cpu = process_cpu_s();
	double seconds = IDLE_MS / 1000.0;
	int64_t bytes = 0;

	t->o.loads = true;
	for (size_t i = 0; i < t->o.n; i++)
		bytes -= t->nodes[i].member
				 ? member_bytes_sent(t->nodes[i].member)
				 : 0;
	net_run(t, IDLE_MS);
	t->o.loads = false;
	for (size_t i = 0; i < t->o.n; i++)
		bytes += t->nodes[i].member
				 ? member_bytes_sent(t->nodes[i].member)
				 : 0;
	print_row("control_quiet_bytes_s", t->o.n,
		  (double)bytes / seconds / (double)t->o.n, "B/s",
		  BYTES_MAX_PER_S);
	print_row("control_cpu_pct", t->o.n,
		  100 * (process_cpu_s() - cpu) / seconds / (double)t->o.n, "%",
		  CPU_MAX_PERCENT);
}

static void measure_fleet(size_t n)
{
	struct net_options o = {.n = n, .regions = REGIONS, .seed = SEED};
	size_t heap_before = mallinfo2().uordblks;
	struct net *t = net_new(&o);
	int64_t max_bytes_per_s = 0;

	net_run(t, WARM_MS);
	measure_idle(t);
	measure_propagation(t);
	measure_detection(t);
	measure_false_evictions(t);
	measure_mean_load(t);
	if (n <= MERGE_MEMBERS_MAX)
		measure_merge(t);
	for (size_t i = 0; i < n; i++)
		max_bytes_per_s =
			MAX(max_bytes_per_s, t->nodes[i].max_second_bytes);
	print_row("control_bytes_s", n, (double)max_bytes_per_s, "B/s",
		  BYTES_MAX_PER_S);
	print_row("control_mb", n,
		  (double)(mallinfo2().uordblks - heap_before) / BYTES_PER_MB /
			  (double)n,
		  "MB", MEMORY_MAX_MB);
	net_free(t);
}

int main(void)
{
	if (sodium_init() < 0)
		return 1;
	setlinebuf(stdout);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure_fleet(sizes[i]);
	return 0;
}
