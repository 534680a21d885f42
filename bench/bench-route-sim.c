/*
 * The simulation itself: event queue, chats and their requests, load reports,
 * and the figures taken.
 */
#include <math.h>
#include <string.h>

#include "bench/bench-route.h"

#define MESSAGE_MEAN_TOKENS      100 /* of a message after the first */
#define FIRST_PROMPT_MEAN_TOKENS 500 /* of a chat's first message */
#define MEAN_TURNS               8
#define PAUSE_MEAN_MS            10000 /* between answer and message */
#define LONG_PAUSE_MEAN_MS       60000 /* of one pause in ten */
#define CACHE_TO_LIVE_CHATS      0.9   /* capacity / tokens of all live chats */
#define HISTORY_AGE_MAX_MS       60000 /* of the last answers, at the start */
#define RETRY_BACKOFF_MS         50    /* after an engine is lost */
#define LOAD_BOUND_MIN           32768 /* min_bound of admit_limits_default */
#define LOAD_FACTOR              1.25

enum event_kind { EVENT_REQUEST, EVENT_END };

struct event {
	int64_t at_ms;
	struct chat *chat;
	uint32_t attempt;
	enum event_kind kind;
};

struct delayed_report {
	size_t engine;
	struct report report;
};

/*
 * Draw from [0, 1) by splitmix64. Each chat has its own state, so that chats
 * are the same for every strategy.
 */
static double draw_uniform(struct chat *c)
{
	uint64_t z = c->random += 0x9e3779b97f4a7c15;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
	z = (z ^ z >> 27) * 0x94d049bb133111eb;
	return (double)((z ^ z >> 31) >> 11) * 0x1p-53;
}

static double draw_exponential(struct chat *c, double mean)
{
	return -log(1 - draw_uniform(c)) * mean;
}

static void swap_events(struct event *a, struct event *b)
{
	struct event t = *a;

	*a = *b;
	*b = t;
}

/* Insert into the binary heap of events, the earliest of which is the root. */
static void push_event(struct route_sim *sim, struct event e)
{
	struct event *h;
	guint i = sim->events->len;

	g_array_append_val(sim->events, e);
	h = (struct event *)(void *)sim->events->data;
	for (; i && h[i].at_ms < h[(i - 1) / 2].at_ms; i = (i - 1) / 2)
		swap_events(&h[i], &h[(i - 1) / 2]);
}

static struct event pop_event(struct route_sim *sim)
{
	struct event *h = (struct event *)(void *)sim->events->data;
	struct event first = h[0];
	guint n = sim->events->len - 1;
	guint i = 0;

	h[0] = h[n];
	g_array_set_size(sim->events, n);
	for (;;) {
		guint k = 2 * i + 1;

		if (k + 1 < n && h[k + 1].at_ms < h[k].at_ms)
			k++;
		if (k >= n || h[i].at_ms <= h[k].at_ms)
			return first;
		swap_events(&h[i], &h[k]);
		i = k;
	}
}

/* Schedule a new attempt; events of earlier attempts become stale. */
static void schedule_request(struct route_sim *sim, struct chat *c,
			     int64_t at_ms)
{
	c->attempt++;
	push_event(sim, (struct event){at_ms, c, c->attempt, EVENT_REQUEST});
}

int64_t chat_work(const struct chat *c, int64_t cached)
{
	return c->prompt - cached + OUTPUT_MEAN_TOKENS;
}

static double next_random(void *ctx)
{
	return g_rand_double(((struct route_sim *)ctx)->rand);
}

struct route_random route_sim_random(struct route_sim *sim)
{
	return (struct route_random){next_random, sim};
}

int64_t route_sim_reported_work(const struct route_sim *sim)
{
	int64_t sum = 0;

	for (size_t e = 0; e < sim->engine_count; e++)
		sum += sim->reports[e].work;
	return sum;
}

static bool is_after_warm_up(const struct route_sim *sim)
{
	return sim->now_ms >= sim->scenario.warm_ms;
}

/* Count a request in the totals as it starts. */
static void count_start(struct route_sim *sim, const struct chat *c,
			int64_t cached)
{
	if (!is_after_warm_up(sim))
		return;
	sim->totals.requests++;
	sim->totals.reused += (double)cached;
	sim->totals.reusable += (double)c->history;
	sim->totals.moved += c->hint != ENGINE_NONE && c->hint != c->engine;
	sim->totals.waited_ms += (double)(sim->now_ms - c->arrived_ms);
}

bool launch(struct route_sim *sim, struct chat *c, size_t engine)
{
	struct engine *e = &sim->engines[engine];
	int64_t cached, run_ms;

	if (!e->alive) {
		sim->totals.failed += is_after_warm_up(sim);
		return false;
	}
	cached = route_sim_cached_tokens(sim, c, engine);
	c->engine = engine;
	c->reused = cached;
	c->work = chat_work(c, cached);
	e->work += c->work;
	e->requests++;
	g_ptr_array_add(e->running, c);
	count_start(sim, c, cached);
	engine_cache_store(sim, c, engine, c->prompt);
	run_ms = (c->prompt - cached) * 1000 / PREFILL_PER_S +
		 c->output * TOKEN_MS;
	push_event(sim, (struct event){sim->now_ms + run_ms, c, c->attempt,
				       EVENT_END});
	if (sim->strategy->started)
		sim->strategy->started(sim->ctx, c);
	return true;
}

void route_sim_refuse_request(struct route_sim *sim, struct chat *c,
			      int64_t retry_at_ms)
{
	sim->totals.refused += is_after_warm_up(sim);
	schedule_request(sim, c, MAX(retry_at_ms, sim->now_ms + 1));
}

/* Take a request off its engine, because it ended or the engine was lost. */
static void stop_running(struct route_sim *sim, struct chat *c)
{
	struct engine *e = &sim->engines[c->engine];

	e->work -= c->work;
	e->requests--;
	g_ptr_array_remove_fast(e->running, c);
	if (sim->strategy->ended)
		sim->strategy->ended(sim->ctx, c);
}

static void init_chat(struct route_sim *sim, struct chat *c)
{
	engine_cache_remove_chat(sim, c);
	c->id = (uint64_t)(draw_uniform(c) * 0x1p62);
	c->turns_left = 1 + (int)draw_exponential(c, MEAN_TURNS);
	c->history = 0;
	c->hint = ENGINE_NONE;
}

static void schedule_next_request(struct route_sim *sim, struct chat *c,
				  int64_t at_ms)
{
	double mean =
		c->history ? MESSAGE_MEAN_TOKENS : FIRST_PROMPT_MEAN_TOKENS;

	c->prompt = c->history + 20 + (int64_t)draw_exponential(c, mean);
	c->output = 1 + (int64_t)draw_exponential(c, OUTPUT_MEAN_TOKENS);
	c->arrived_ms = at_ms;
	schedule_request(sim, c, at_ms);
}

static int64_t draw_pause_ms(struct chat *c)
{
	bool is_long = draw_uniform(c) < 0.1;

	return (int64_t)draw_exponential(c, is_long ? LONG_PAUSE_MEAN_MS
						    : PAUSE_MEAN_MS);
}

static void end_request(struct route_sim *sim, struct chat *c)
{
	stop_running(sim, c);
	c->history = c->prompt + c->output;
	c->hint = c->engine;
	c->hint_ms = sim->now_ms;
	if (sim->engines[c->engine].alive)
		engine_cache_store(sim, c, c->engine, c->history);
	if (--c->turns_left <= 0)
		init_chat(sim, c);
	schedule_next_request(sim, c, sim->now_ms + draw_pause_ms(c));
}

/* Return a random live node to be a request's entry. */
static size_t random_node(struct route_sim *sim, struct chat *c)
{
	size_t n = sim->scenario.nodes;
	size_t i = (size_t)(draw_uniform(c) * (double)n);

	while (!sim->node_alive[i])
		i = (i + 1) % n;
	return i;
}

static void handle_event(struct route_sim *sim, const struct event *e)
{
	if (e->attempt != e->chat->attempt) /* stale */
		return;
	if (e->kind == EVENT_END) {
		end_request(sim, e->chat);
		return;
	}
	e->chat->node = random_node(sim, e->chat);
	sim->strategy->route(sim->ctx, e->chat);
}

void route_sim_lose_engine(struct route_sim *sim, size_t index)
{
	struct engine *e = &sim->engines[index];

	e->alive = false;
	while (e->running->len) {
		struct chat *c = g_ptr_array_index(e->running, 0);

		stop_running(sim, c);
		sim->totals.failed += is_after_warm_up(sim);
		schedule_request(sim, c, sim->now_ms + RETRY_BACKOFF_MS);
	}
	engine_cache_clear(sim, index);
}

/*
 * Admission allows any imbalance below the minimum load bound, so a mean below
 * it does not count as skew.
 */
static void sample_skew(struct route_sim *sim)
{
	double sum = 0, max = 0, mean;
	size_t n = 0;

	for (size_t e = 0; e < sim->engine_count; e++) {
		if (!sim->engines[e].alive)
			continue;
		n++;
		sum += (double)sim->engines[e].work;
		max = MAX(max, (double)sim->engines[e].work);
	}
	mean = MAX(sum / (double)n, LOAD_BOUND_MIN / LOAD_FACTOR);
	if (is_after_warm_up(sim))
		sim->totals.skew_max = MAX(sim->totals.skew_max, max / mean);
}

static void send_reports(struct route_sim *sim)
{
	for (size_t e = 0; e < sim->engine_count; e++) {
		const struct engine *engine = &sim->engines[e];
		struct delayed_report r = {
			e, {engine->work, engine->requests, sim->now_ms}};

		if (!engine->alive)
			continue;
		g_array_append_val(sim->delayed_reports, r);
	}
}

/* Deliver the reports that are old enough; they are queued oldest first. */
static void receive_reports(struct route_sim *sim)
{
	guint n = 0;

	while (n < sim->delayed_reports->len) {
		const struct delayed_report *r = &g_array_index(
			sim->delayed_reports, struct delayed_report, n);

		if (r->report.taken_ms + REPORT_LAG_MS > sim->now_ms)
			break;
		sim->reports[r->engine] = r->report;
		if (sim->strategy->reported)
			sim->strategy->reported(sim->ctx, r->engine);
		n++;
	}
	g_array_remove_range(sim->delayed_reports, 0, n);
}

static void tick(struct route_sim *sim)
{
	churn_tick(sim);
	if (sim->now_ms % REPORT_MS == 0)
		send_reports(sim);
	receive_reports(sim);
	if (sim->strategy->tick)
		sim->strategy->tick(sim->ctx);
	sample_skew(sim);
}

static void init_engines(struct route_sim *sim)
{
	sim->engine_count =
		sim->scenario.engines + MAX(sim->scenario.engines / 9, 1);
	sim->engines = g_new0(struct engine, sim->engine_count);
	sim->reports = g_new0(struct report, sim->engine_count);
	for (size_t e = 0; e < sim->engine_count; e++) {
		sim->engines[e] = (struct engine){
			.id = (uint64_t)g_rand_int(sim->rand) << 20 | (e + 1),
			.alive = e < sim->scenario.engines,
			.oldest = -1,
			.newest = -1,
			.running = g_ptr_array_new(),
		};
	}
}

static void init_nodes(struct route_sim *sim)
{
	size_t n = sim->scenario.nodes;

	sim->node_alive = g_new(bool, n);
	sim->node_ids = g_new(uint64_t, n);
	sim->views = g_new0(struct view, n);
	for (size_t i = 0; i < n; i++) {
		struct view *v = &sim->views[i];

		sim->node_alive[i] = true;
		sim->node_ids[i] =
			(uint64_t)g_rand_int(sim->rand) << 20 | (i + 1);
		v->engines = g_new(bool, sim->engine_count);
		v->nodes = g_new(bool, n);
		v->targets =
			g_new0(struct rendezvous_candidate, sim->engine_count);
		for (size_t e = 0; e < sim->engine_count; e++)
			v->engines[e] = sim->engines[e].alive;
		memset(v->nodes, true, n);
		view_rebuild(sim, v);
	}
}

/* Start in a steady state: let a random engine hold the chat's past turns. */
static void init_history(struct route_sim *sim, struct chat *c)
{
	int turns = (int)draw_exponential(c, MEAN_TURNS);
	size_t e = (size_t)(draw_uniform(c) * (double)sim->scenario.engines);

	c->history = turns * (MESSAGE_MEAN_TOKENS + OUTPUT_MEAN_TOKENS);
	if (!turns)
		return;
	c->hint = e;
	c->hint_ms = -HISTORY_AGE_MAX_MS + (c - sim->chats) *
						   HISTORY_AGE_MAX_MS /
						   (int64_t)sim->chat_count;
	engine_cache_store(sim, c, e, c->history);
}

/* Start in a steady state: some chats are in a request, others in a pause. */
static int64_t first_request_ms(struct chat *c, double run_to_pause)
{
	int64_t remaining_ms = 0;

	if (draw_uniform(c) < run_to_pause / (1 + run_to_pause))
		remaining_ms = (int64_t)draw_exponential(c, OUTPUT_MEAN_TOKENS *
								    TOKEN_MS);
	return remaining_ms + draw_pause_ms(c);
}

/*
 * Create as many chats as give the request rate. The cube of a uniform draw
 * gives a few organisations most of them.
 */
static void init_chats(struct route_sim *sim, uint64_t seed)
{
	double run_ms = OUTPUT_MEAN_TOKENS * TOKEN_MS;
	double pause_ms = 0.9 * PAUSE_MEAN_MS + 0.1 * LONG_PAUSE_MEAN_MS;
	double rate = sim->scenario.rate * (double)sim->scenario.engines;
	double live_chats = rate * (run_ms + pause_ms) / 1000;
	int64_t chat_tokens =
		FIRST_PROMPT_MEAN_TOKENS +
		MEAN_TURNS * (MESSAGE_MEAN_TOKENS + OUTPUT_MEAN_TOKENS);

	sim->chat_count = (size_t)live_chats;
	sim->chats = g_new0(struct chat, sim->chat_count);
	sim->cache_entries = g_new0(struct cached_prefix,
				    sim->chat_count * CACHE_ENTRIES_PER_CHAT);
	sim->cache_capacity =
		(int64_t)(CACHE_TO_LIVE_CHATS * live_chats *
			  (double)chat_tokens / (double)sim->scenario.engines);
	for (size_t i = 0; i < sim->chat_count * CACHE_ENTRIES_PER_CHAT; i++)
		sim->cache_entries[i].engine = ENGINE_NONE;
	for (size_t i = 0; i < sim->chat_count; i++) {
		struct chat *c = &sim->chats[i];
		double u;

		c->random = seed * 1000003 + i;
		u = draw_uniform(c);
		c->organisation =
			(uint32_t)(u * u * u * sim->scenario.organisations);
		init_chat(sim, c);
		init_history(sim, c);
		schedule_next_request(sim, c,
				      first_request_ms(c, run_ms / pause_ms));
	}
}

static void release(struct route_sim *sim)
{
	for (size_t e = 0; e < sim->engine_count; e++)
		g_ptr_array_unref(sim->engines[e].running);
	for (size_t i = 0; i < sim->scenario.nodes; i++) {
		g_free(sim->views[i].engines);
		g_free(sim->views[i].nodes);
		g_free(sim->views[i].targets);
	}
	for (guint i = 0; i < sim->churn_events->len; i++)
		g_free(g_array_index(sim->churn_events, struct churn_event, i)
			       .learn_ms);
	g_free(sim->engines);
	g_free(sim->reports);
	g_free(sim->node_alive);
	g_free(sim->node_ids);
	g_free(sim->views);
	g_free(sim->chats);
	g_free(sim->cache_entries);
	g_array_unref(sim->events);
	g_array_unref(sim->churn_events);
	g_array_unref(sim->delayed_reports);
	g_rand_free(sim->rand);
}

struct sim_totals route_sim_run(const struct scenario *s,
				const struct strategy *strategy, uint64_t seed)
{
	struct route_sim sim = {.scenario = *s, .strategy = strategy};
	int64_t end_ms = s->warm_ms + s->run_ms;
	int64_t next_tick_ms = TICK_MS;

	sim.rand = g_rand_new_with_seed((guint32)seed);
	sim.events = g_array_new(FALSE, FALSE, sizeof(struct event));
	sim.churn_events =
		g_array_new(FALSE, FALSE, sizeof(struct churn_event));
	sim.delayed_reports =
		g_array_new(FALSE, FALSE, sizeof(struct delayed_report));
	init_engines(&sim);
	init_nodes(&sim);
	init_chats(&sim, seed);
	if (s->churn_ms)
		churn_plan(&sim);
	sim.ctx = strategy->create(&sim);
	while (next_tick_ms <= end_ms) {
		struct event e;

		while (sim.events->len &&
		       g_array_index(sim.events, struct event, 0).at_ms <=
			       next_tick_ms) {
			e = pop_event(&sim);
			sim.now_ms = MAX(e.at_ms, sim.now_ms);
			handle_event(&sim, &e);
		}
		sim.now_ms = next_tick_ms;
		tick(&sim);
		next_tick_ms += TICK_MS;
	}
	strategy->destroy(sim.ctx);
	release(&sim);
	return sim.totals;
}
