/*
 * Time and memory of one node's decisions, and the bytes that it sends and
 * reads for control. The node admits to ADMITS times its even part of the
 * targets, as rendezvous hashing is not even.
 */
#include <malloc.h>
#include <string.h>
#include <time.h>

#include "bench/bench-route.h"

#define ADMITS         4
#define RUNNING        136 /* requests at each target */
#define ROUNDS         20000
#define PREFIX_ENTRIES 65536
#define POLL_MS        500  /* between load reports read */
#define TELL_MS        1000 /* between sums told, in a small fleet */
#define TELL_MAX       20   /* nodes of a small fleet */
#define RENEW_MS       2000 /* between grants of a limit */
#define LIMITED        10   /* organisations with a limit in use on a node */
#define UDP_BYTES      28   /* IP and UDP headers */
#define RPC_BYTES      40   /* of an ONC RPC call without credentials */
#define SUMS_BYTES     16   /* work, targets, number aside */
#define GRANT_BYTES    120  /* call and answer: names, demand, three rates */
#define DECIDE_US      20.0
#define STATE_MB       16.0
#define CONTROL_BYTES  4096.0

static const char load_request[] = "GET /load HTTP/1.1\r\n"
				   "Host: 10.10.100.100:8000\r\n"
				   "Accept: */*\r\n\r\n";
static const char load_answer[] =
	"HTTP/1.1 200 OK\r\nConnection: Keep-Alive\r\n"
	"Content-Length: 99\r\nContent-Type: application/json\r\n"
	"Date: Thu, 03 Dec 2026 20:44:09 GMT\r\n\r\n"
	"{\"running\":136,\"queued\":12,\"work_tokens\":123456,"
	"\"cached_tokens\":1234567,\"batch\":256,\"age_ms\":1000}";

struct node_state {
	struct route_rank *targets;
	struct admit *admit;
	struct prefix_index *index;
	struct outliers *outliers;
	struct limit_bucket *buckets;
	size_t own;
};

static double next_random(void *ctx)
{
	return g_rand_double(ctx);
}

static struct admit_ask ask_of(GRand *r, uint64_t target,
			       uint32_t organisations)
{
	return (struct admit_ask){
		.target = target,
		.organisation =
			(uint32_t)g_rand_int_range(r, 0, (gint32)organisations),
		.weight = 1,
		.work = g_rand_int_range(r, 300, 3000),
		.reuse = 200,
		.run_ms = 10000,
		.deadline_ms = 60000,
	};
}

static void fill(struct node_state *n, const struct shape *s, GRand *r)
{
	uint64_t *ids = g_new(uint64_t, s->engines);

	n->own = CLAMP(ADMITS * s->engines / s->nodes, 1, s->engines);
	n->targets = g_new0(struct route_rank, s->engines);
	for (size_t e = 0; e < s->engines; e++) {
		ids[e] = (uint64_t)g_rand_int(r) << 20 | (e + 1);
		n->targets[e] = (struct route_rank){.id = ids[e], .index = e};
	}
	n->admit = admit_new(&admit_limits_default,
			     (struct route_random){next_random, r});
	n->index = prefix_index_new(PREFIX_ENTRIES);
	n->outliers = outliers_new(&outlier_policy_default);
	outliers_set_pool(n->outliers, ids, s->engines);
	n->buckets = g_new0(struct limit_bucket, s->organisations);
	for (size_t e = 0; e < n->own; e++) {
		admit_take_over(n->admit, ids[e], 0, 0, 1);
		for (int i = 0; i < RUNNING; i++) {
			struct admit_ask q =
				ask_of(r, ids[e], s->organisations);
			struct decision d;

			admit_ask(n->admit, &q, 0, &d);
		}
	}
	admit_set_fleet(n->admit, 0, s->engines);
	g_free(ids);
}

static void drop(struct node_state *n)
{
	g_free(n->targets);
	admit_free(n->admit);
	prefix_index_free(n->index);
	outliers_free(n->outliers);
	g_free(n->buckets);
}

/* One request: the entry's order, an ask of its target, and its end. */
static void decide(struct node_state *n, const struct shape *s, GRand *r,
		   int64_t now_ms)
{
	struct hint h = {.target = n->targets[now_ms % (int64_t)n->own].id};
	struct choose_input in = {.key = g_rand_int(r),
				  .hint = &h,
				  .targets = n->targets,
				  .count = s->engines};
	uint64_t order[CHOOSE_MAX];
	struct decision d;
	struct admit_ask q;

	choose_targets(&in, order);
	q = ask_of(r, order[0], s->organisations);
	q.seen_load = 1000000;
	q.deadline_ms = now_ms + 60000;
	admit_ask(n->admit, &q, now_ms, &d);
	if (d.verdict == VERDICT_ADMIT)
		admit_done(n->admit, q.target, q.organisation, d.work, now_ms);
}

static double cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/* Load reports of its targets, sums, grants; each sent and received. */
static double control_bytes(const struct shape *s)
{
	double own = (double)s->engines / (double)s->nodes;
	double poll = sizeof(load_request) + sizeof(load_answer);
	double sums = s->nodes <= TELL_MAX
			      ? 2.0 * (double)(s->nodes - 1) *
					(UDP_BYTES + RPC_BYTES + SUMS_BYTES)
			      : 0;

	return own * poll * 1000 / POLL_MS + sums * 1000 / TELL_MS +
	       LIMITED * (2.0 * (UDP_BYTES + RPC_BYTES) + GRANT_BYTES) * 1000 /
		       RENEW_MS;
}

void bench_cost(const struct shape *s)
{
	GRand *r = g_rand_new_with_seed(5);
	size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
	struct node_state n;
	double bytes, us;

	fill(&n, s, r);
	bytes = (double)(mallinfo2().uordblks + mallinfo2().hblkhd - before);
	us = cpu_us();
	for (int64_t i = 0; i < ROUNDS; i++)
		decide(&n, s, r, i);
	us = (cpu_us() - us) / ROUNDS;
	print_row("decide_us", s->suffix, "", us, "us", DECIDE_US, false);
	print_row("decide_state_mb", s->suffix, "", bytes / 1e6, "MB", STATE_MB,
		  false);
	print_row("control_bytes_s", s->suffix, "", control_bytes(s), "B/s",
		  CONTROL_BYTES, false);
	drop(&n);
	g_rand_free(r);
}
