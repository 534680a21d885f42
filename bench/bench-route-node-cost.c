/*
 * Benchmark of one node: CPU time and memory of its decisions, measured, and
 * bytes sent and received for control, computed. The node owns OWNED_FACTOR
 * times its even part of the targets, as rendezvous hashing is uneven.
 */
#include <malloc.h>
#include <string.h>
#include <time.h>

#include "bench/bench-route.h"

#define OWNED_FACTOR            4
#define REQUESTS_PER_TARGET     136 /* running at each owned target */
#define DECISIONS               20000
#define PREFIX_ENTRIES          65536
#define LOAD_POLL_MS            500  /* between polls of a target's load */
#define TOTALS_INTERVAL_MS      1000 /* between totals sent, in a small fleet */
#define TOTALS_NODES_MAX        20   /* larger fleets send no totals */
#define GRANT_INTERVAL_MS       2000 /* between grants of a limit */
#define LIMITED_ORGANISATIONS   10   /* with a limit, in use on a node */
#define IP_UDP_HEADER_BYTES     28   /* per packet */
#define RPC_CALL_HEADER_BYTES   40   /* ONC RPC without credentials */
#define TOTALS_BYTES            16   /* work, targets, ejected targets */
#define GRANT_BYTES             120  /* call and reply: names, demand, rates */
#define DECIDE_MAX_US           20.0
#define STATE_MAX_MB            16.0
#define CONTROL_MAX_BYTES_PER_S 4096.0

static const char load_request[] = "GET /load HTTP/1.1\r\n"
				   "Host: 10.10.100.100:8000\r\n"
				   "Accept: */*\r\n\r\n";
static const char load_response[] =
	"HTTP/1.1 200 OK\r\nConnection: Keep-Alive\r\n"
	"Content-Length: 99\r\nContent-Type: application/json\r\n"
	"Date: Thu, 03 Dec 2026 20:44:09 GMT\r\n\r\n"
	"{\"running\":136,\"queued\":12,\"work_tokens\":123456,"
	"\"cached_tokens\":1234567,\"batch\":256,\"age_ms\":1000}";

struct node_state {
	struct rendezvous_candidate *targets;
	struct admit *admit;
	struct prefix_index *index;
	struct outliers *outliers;
	struct limit_bucket *buckets;
	size_t owned; /* admits to the first so many targets */
};

static double next_random(void *ctx)
{
	return g_rand_double(ctx);
}

static struct admit_request random_request(GRand *rand, uint64_t target,
					   uint32_t organisations)
{
	return (struct admit_request){
		.target = target,
		.organisation = (uint32_t)g_rand_int_range(
			rand, 0, (gint32)organisations),
		.weight = 1,
		.work = g_rand_int_range(rand, 300, 3000),
		.reusable_tokens = 200,
		.run_ms = 10000,
		.deadline_ms = 60000,
	};
}

static void node_state_init(struct node_state *node,
			    const struct scenario *scenario, GRand *rand)
{
	uint64_t *ids = g_new(uint64_t, scenario->engines);

	node->owned = CLAMP(OWNED_FACTOR * scenario->engines / scenario->nodes,
			    1, scenario->engines);
	node->targets = g_new0(struct rendezvous_candidate, scenario->engines);
	for (size_t e = 0; e < scenario->engines; e++) {
		ids[e] = (uint64_t)g_rand_int(rand) << 20 | (e + 1);
		node->targets[e] =
			(struct rendezvous_candidate){.id = ids[e], .index = e};
	}
	node->admit = admit_new(&admit_limits_default,
				(struct route_random){next_random, rand});
	node->index = prefix_index_new(PREFIX_ENTRIES);
	node->outliers = outliers_new(&outlier_policy_default);
	outliers_set_pool(node->outliers, ids, scenario->engines);
	node->buckets = g_new0(struct limit_bucket, scenario->organisations);
	for (size_t e = 0; e < node->owned; e++) {
		admit_take_over(node->admit, ids[e], 0, 0, 1);
		for (int i = 0; i < REQUESTS_PER_TARGET; i++) {
			struct admit_request request = random_request(
				rand, ids[e], scenario->organisations);
			struct decision d;

			admit_request(node->admit, &request, 0, &d);
		}
	}
	admit_set_fleet_totals(node->admit, 0, scenario->engines);
	g_free(ids);
}

static void node_state_clear(struct node_state *node)
{
	g_free(node->targets);
	admit_free(node->admit);
	prefix_index_free(node->index);
	outliers_free(node->outliers);
	g_free(node->buckets);
}

/* One request: the entry's choice of targets, admission, and its end. */
static void admit_one(struct node_state *node, const struct scenario *scenario,
		      GRand *rand, int64_t now_ms)
{
	struct hint h = {
		.target = node->targets[now_ms % (int64_t)node->owned].id};
	struct choose_input in = {.key = g_rand_int(rand),
				  .hint = &h,
				  .targets = node->targets,
				  .count = scenario->engines};
	uint64_t order[CHOOSE_MAX];
	struct decision d;
	struct admit_request request;

	choose_targets(&in, order);
	request = random_request(rand, order[0], scenario->organisations);
	request.observed_mean_load = 1000000;
	request.deadline_ms = now_ms + 60000;
	admit_request(node->admit, &request, now_ms, &d);
	if (d.verdict == VERDICT_ADMIT)
		admit_done(node->admit, request.target, request.organisation,
			   d.work, now_ms);
}

static double thread_cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/* Bytes per second of load polls, totals and grants, both directions. */
static double control_bytes(const struct scenario *scenario)
{
	double owned = (double)scenario->engines / (double)scenario->nodes;
	double poll = sizeof(load_request) + sizeof(load_response);
	double totals = scenario->nodes <= TOTALS_NODES_MAX
				? 2.0 * (double)(scenario->nodes - 1) *
					  (IP_UDP_HEADER_BYTES +
					   RPC_CALL_HEADER_BYTES + TOTALS_BYTES)
				: 0;

	return owned * poll * 1000 / LOAD_POLL_MS +
	       totals * 1000 / TOTALS_INTERVAL_MS +
	       LIMITED_ORGANISATIONS *
		       (2.0 * (IP_UDP_HEADER_BYTES + RPC_CALL_HEADER_BYTES) +
			GRANT_BYTES) *
		       1000 / GRANT_INTERVAL_MS;
}

void bench_node_cost(const struct scenario *scenario)
{
	GRand *rand = g_rand_new_with_seed(5);
	size_t heap_before = mallinfo2().uordblks + mallinfo2().hblkhd;
	struct node_state node;
	double bytes, us;

	node_state_init(&node, scenario, rand);
	bytes = (double)(mallinfo2().uordblks + mallinfo2().hblkhd -
			 heap_before);
	us = thread_cpu_us();
	for (int64_t i = 0; i < DECISIONS; i++)
		admit_one(&node, scenario, rand, i);
	us = (thread_cpu_us() - us) / DECISIONS;
	print_row("decide_us", scenario->suffix, "", us, "us", DECIDE_MAX_US,
		  false);
	print_row("decide_state_mb", scenario->suffix, "", bytes / 1e6, "MB",
		  STATE_MAX_MB, false);
	print_row("control_bytes_s", scenario->suffix, "",
		  control_bytes(scenario), "B/s", CONTROL_MAX_BYTES_PER_S,
		  false);
	node_state_clear(&node);
	g_rand_free(rand);
}
