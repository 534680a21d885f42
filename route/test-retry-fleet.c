/*
 * Retries of all nodes together as operators count them: arrivals at targets
 * beyond the first of each request, in any window, against the requests that
 * callers sent, in virtual time.
 */
#include <math.h>
#include <string.h>

#include "route/test-random.h"

#define NODES       8
#define RATIO       0.2
#define ALLOWANCE   56
#define WINDOW_MS   10000
#define DURATION_MS 90000
#define TICK_MS     10
#define TICKS       (DURATION_MS / TICK_MS)
#define WINDOW      (WINDOW_MS / TICK_MS)
#define SEEDS       40
/* Requests a second of all callers, as usual. */
#define RATE 120.0

/* What happens in a run. */
struct trouble {
	bool kills;  /* processes are killed; others start in their place */
	bool pauses; /* processes stand still for a time */
	bool delays; /* retries arrive late, at a cut all at its end */
	bool moves;  /* callers move from node to node */
	bool surges; /* the callers' rate jumps and falls */
	bool leaves; /* processes are stopped as planned and start again */
};

static const struct retry_budget_limits limits = {RATIO, ALLOWANCE, WINDOW_MS};

struct node {
	struct retry_share share;
	int down_until;              /* tick; no process runs before */
	int paused_until;            /* the process stands still */
	int cut_until;               /* what it sends arrives then */
	bool left;                   /* until then others don't count it */
	double weight;               /* of callers */
	unsigned backlog;            /* requests that wait for the process */
	int settled_to;              /* tick up to which answers were read */
	unsigned answers[TICKS + 1]; /* to retries of the process, by tick */
};

/* A fleet, and what operators count of it by tick. */
struct fleet {
	struct node nodes[NODES];
	GRand *rand;
	const struct trouble *trouble;
	double rate; /* requests a second */
	unsigned requests[TICKS + 1], arrivals[TICKS + 1];
};

static bool chance(struct fleet *f, double per_s)
{
	return g_rand_double(f->rand) < per_s * TICK_MS / 1000;
}

/* The number of nodes that a node counts. */
static size_t known(const struct fleet *f, int tick)
{
	size_t n = NODES;

	for (int i = 0; i < NODES; i++)
		n -= f->nodes[i].left && tick < f->nodes[i].down_until;
	return n;
}

static void start(struct node *v, int tick)
{
	memset(&v->share, 0, sizeof(v->share));
	v->share.started_ms = (int64_t)tick * TICK_MS;
	v->left = false;
	v->settled_to = tick;
	memset(v->answers, 0, sizeof(v->answers));
}

static void begin_trouble(struct fleet *f, int tick)
{
	const struct trouble *b = f->trouble;
	bool herd = b->kills && chance(f, 0.05);

	for (int i = 0; i < NODES; i++) {
		struct node *v = &f->nodes[i];
		int s = 1000 / TICK_MS;

		if (b->moves && chance(f, 0.1))
			v->weight = g_rand_double(f->rand) < 0.5 ? 0.1 : 3;
		if (b->delays && chance(f, 0.05))
			v->cut_until =
				tick + g_rand_int_range(f->rand, s / 2, 4 * s);
		if (b->pauses && chance(f, 0.05))
			v->paused_until =
				tick + g_rand_int_range(f->rand, s / 2, 3 * s);
		if (tick < v->down_until)
			continue;
		if ((herd && g_rand_double(f->rand) < 0.7) ||
		    (b->kills && chance(f, 0.02))) {
			v->down_until = tick + s / 2;
			start(v, v->down_until);
		} else if (b->leaves && chance(f, 0.03)) {
			v->down_until = tick + 2 * s;
			start(v, v->down_until);
			v->left = true;
		}
	}
	if (b->surges && chance(f, 0.1))
		f->rate = RATE * (double[]){0.1, 1,
					    5}[g_rand_int_range(f->rand, 0, 3)];
}

/* Send the requests of a tick to nodes by the weight of their callers. */
static void call(struct fleet *f, int tick)
{
	double sum = 0;

	for (int i = 0; i < NODES; i++)
		sum += f->nodes[i].weight;
	for (int k = 0; k < 20; k++) {
		double at = g_rand_double(f->rand) * sum;
		int i = 0;

		if (!chance(f, f->rate / 20))
			continue;
		f->requests[tick]++;
		while (i < NODES - 1 && (at -= f->nodes[i].weight) >= 0)
			i++;
		/* At a node that is down the connection is refused. */
		f->nodes[i].backlog += tick >= f->nodes[i].down_until;
	}
}

/* The tick at which a retry arrives that is sent now. */
static int arrival(struct fleet *f, const struct node *v, int tick)
{
	int at = tick;

	if (f->trouble->delays)
		at += g_rand_int_range(f->rand, 0, 400 / TICK_MS);
	return MIN(MAX(at, v->cut_until), TICKS);
}

/* Take each retry that is allowed; its answer comes some time later. */
static void take_retries(struct fleet *f, struct node *v, int tick)
{
	while (retry_window_take(&v->share.window, (int64_t)tick * TICK_MS,
				 NULL)) {
		int at = arrival(f, v, tick);

		f->arrivals[at]++;
		at += g_rand_int_range(f->rand, 1, 200 / TICK_MS);
		v->answers[MIN(at, TICKS)]++;
	}
}

/* Count the requests that wait, read the answers, and take retries. */
static void run_node(struct fleet *f, struct node *v, int tick, bool eager)
{
	int64_t now = (int64_t)tick * TICK_MS;

	if (tick < v->down_until) {
		v->backlog = 0;
		return;
	}
	if (tick < v->paused_until)
		return;
	retry_share_update(&v->share, &limits, known(f, tick), now);
	for (; v->backlog; v->backlog--)
		retry_window_add_request(&v->share.window, now);
	for (; v->settled_to <= tick; v->settled_to++)
		for (; v->answers[v->settled_to]; v->answers[v->settled_to]--)
			retry_window_settle(&v->share.window, now);
	if (eager)
		take_retries(f, v, tick);
}

/* Events in the WINDOW ticks from a tick on. */
static double in_window(const double *sums, int from)
{
	return sums[CLAMP(from + WINDOW, 0, TICKS)] -
	       sums[CLAMP(from, 0, TICKS)];
}

static void sum_up(const unsigned *v, double *sums)
{
	for (int t = 0; t < TICKS; t++)
		sums[t + 1] = sums[t] + v[t];
}

/* Return by how many retries the worst window exceeds what is allowed. */
static double worst_excess(const struct fleet *f)
{
	static double requests[TICKS + 1], arrivals[TICKS + 1];
	double worst = -INFINITY;

	sum_up(f->requests, requests);
	sum_up(f->arrivals, arrivals);
	for (int t = 0; t + WINDOW <= TICKS; t++) {
		double most = in_window(requests, t);

		most = MAX(most, in_window(requests, t - WINDOW / 2));
		most = MAX(most, in_window(requests, t - WINDOW));
		worst = MAX(worst, in_window(arrivals, t) -
					   (RATIO * most + ALLOWANCE));
	}
	return worst;
}

/*
 * Play a fleet. used: set to the share of RATIO x requests + allowance that was
 * used over the whole time.
 */
static double play(const struct trouble *b, guint32 seed, double *used)
{
	static struct fleet f;
	double requests = 0, arrivals = 0;
	bool eager = false;

	memset(&f, 0, sizeof(f));
	f.rand = g_rand_new_with_seed(seed);
	f.trouble = b;
	f.rate = RATE;
	for (int i = 0; i < NODES; i++) {
		f.nodes[i].weight = 1;
		/* Long before callers come. */
		f.nodes[i].share.started_ms = -2 * WINDOW_MS;
	}
	for (int tick = 0; tick < TICKS; tick++) {
		begin_trouble(&f, tick);
		call(&f, tick);
		/* Targets reject, and then don't. */
		if (chance(&f, 0.3))
			eager = !eager;
		for (int i = 0; i < NODES; i++)
			run_node(&f, &f.nodes[i], tick, eager);
		requests += f.requests[tick];
	}
	for (int tick = 0; tick < TICKS; tick++)
		arrivals += f.arrivals[tick];
	g_rand_free(f.rand);
	*used = arrivals / (RATIO * requests +
			    ALLOWANCE * (double)DURATION_MS / WINDOW_MS);
	return worst_excess(&f);
}

static void check(gconstpointer data)
{
	const struct trouble *b = data;
	double worst = -INFINITY, used = 0;
	int broken = 0;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		double share, excess = play(b, seed, &share);

		worst = MAX(worst, excess);
		broken += excess > 0;
		used += share / SEEDS;
	}
	g_test_message("%d of %d seeds broken, worst by %.1f; %.2f of the "
		       "budget used",
		       broken, SEEDS, worst, used);
	g_assert_cmpint(broken, ==, 0);
	/* The budget is there to be used. */
	g_assert_cmpfloat(used, >, 0.25);
}

static const struct {
	const char *path;
	struct trouble trouble;
} runs[] = {
	{"/route/retry-fleet/calm", {0}},
	{"/route/retry-fleet/kills", {.kills = true}},
	{"/route/retry-fleet/pauses", {.pauses = true}},
	{"/route/retry-fleet/late-arrivals", {.delays = true}},
	{"/route/retry-fleet/callers-move", {.moves = true}},
	{"/route/retry-fleet/load-falls", {.surges = true}},
	{"/route/retry-fleet/planned-stops", {.leaves = true}},
	{"/route/retry-fleet/all", {true, true, true, true, true, true}},
};

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(runs); i++)
		g_test_add_data_func(runs[i].path, &runs[i].trouble, check);
	return g_test_run();
}
