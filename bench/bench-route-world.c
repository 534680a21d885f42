#include <math.h>
#include <string.h>

#include "bench/bench-route.h"

#define MESSAGE_TOKENS 100 /* of a returning chat's new message, mean */
#define FIRST_TOKENS   500 /* of a chat's first prompt, mean */
#define TURNS_MEAN     8
#define THINK_MS       10000 /* mean pause of a chat */
#define LONG_THINK_MS  60000 /* of one in ten */
#define MEMORY_CHATS   0.9   /* engines' memory / what all live chats need */
#define PAST_MS        60000 /* in which all chats were last answered */
#define RETRY_BACKOFF  50    /* ms, after an engine was lost */
#define FLOOR_WORK     32768 /* as in admit_limits_default */
#define LOAD_FACTOR    1.25

enum event_kind { EVENT_ASK, EVENT_END };

struct event {
	int64_t at_ms;
	struct chat *chat;
	uint32_t attempt;
	enum event_kind kind;
};

struct late_report {
	size_t engine;
	struct report report;
};

/* splitmix64, one state a chat, so that chats are the same for every way. */
static double chat_random(struct chat *c)
{
	uint64_t z = c->random += 0x9e3779b97f4a7c15;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
	z = (z ^ z >> 27) * 0x94d049bb133111eb;
	return (double)((z ^ z >> 31) >> 11) * 0x1p-53;
}

static double exponential(struct chat *c, double mean)
{
	return -log(1 - chat_random(c)) * mean;
}

static void swap(struct event *a, struct event *b)
{
	struct event t = *a;

	*a = *b;
	*b = t;
}

static void event_push(struct world *w, struct event e)
{
	struct event *h;
	guint i = w->events->len;

	g_array_append_val(w->events, e);
	h = (struct event *)(void *)w->events->data;
	for (; i && h[i].at_ms < h[(i - 1) / 2].at_ms; i = (i - 1) / 2)
		swap(&h[i], &h[(i - 1) / 2]);
}

static struct event event_pop(struct world *w)
{
	struct event *h = (struct event *)(void *)w->events->data;
	struct event first = h[0];
	guint n = w->events->len - 1;
	guint i = 0;

	h[0] = h[n];
	g_array_set_size(w->events, n);
	for (;;) {
		guint k = 2 * i + 1;

		if (k + 1 < n && h[k + 1].at_ms < h[k].at_ms)
			k++;
		if (k >= n || h[i].at_ms <= h[k].at_ms)
			return first;
		swap(&h[i], &h[k]);
		i = k;
	}
}

static void ask_at(struct world *w, struct chat *c, int64_t at_ms)
{
	c->attempt++;
	event_push(w, (struct event){at_ms, c, c->attempt, EVENT_ASK});
}

int64_t chat_work(const struct chat *c, int64_t cached)
{
	return c->prompt - cached + OUTPUT_MEAN;
}

static double next_random(void *ctx)
{
	return g_rand_double(((struct world *)ctx)->rand);
}

struct route_random world_random(struct world *w)
{
	return (struct route_random){next_random, w};
}

int64_t world_reported_work(const struct world *w)
{
	int64_t sum = 0;

	for (size_t e = 0; e < w->engine_count; e++)
		sum += w->reports[e].work;
	return sum;
}

static bool is_measured(const struct world *w)
{
	return w->now_ms >= w->shape.warm_ms;
}

static void count_start(struct world *w, const struct chat *c, int64_t cached)
{
	if (!is_measured(w))
		return;
	w->sums.requests++;
	w->sums.reused += (double)cached;
	w->sums.reusable += (double)c->history;
	w->sums.moved += c->hint != NO_ENGINE && c->hint != c->engine;
	w->sums.waited_ms += (double)(w->now_ms - c->asked_ms);
}

bool world_start(struct world *w, struct chat *c, size_t engine)
{
	struct engine *e = &w->engines[engine];
	int64_t cached, run_ms;

	if (!e->alive) {
		w->sums.failed += is_measured(w);
		return false;
	}
	cached = world_cached(w, c, engine);
	c->engine = engine;
	c->reused = cached;
	c->work = chat_work(c, cached);
	e->work += c->work;
	e->requests++;
	g_ptr_array_add(e->running, c);
	count_start(w, c, cached);
	memory_store(w, c, engine, c->prompt);
	run_ms = (c->prompt - cached) * 1000 / PREFILL_PER_S +
		 c->output * TOKEN_MS;
	event_push(w, (struct event){w->now_ms + run_ms, c, c->attempt,
				     EVENT_END});
	if (w->way->started)
		w->way->started(w->ctx, c);
	return true;
}

void world_refuse(struct world *w, struct chat *c, int64_t retry_at_ms)
{
	w->sums.refused += is_measured(w);
	ask_at(w, c, MAX(retry_at_ms, w->now_ms + 1));
}

static void stop_running(struct world *w, struct chat *c)
{
	struct engine *e = &w->engines[c->engine];

	e->work -= c->work;
	e->requests--;
	g_ptr_array_remove_fast(e->running, c);
	if (w->way->ended)
		w->way->ended(w->ctx, c);
}

static void start_chat(struct world *w, struct chat *c)
{
	memory_forget(w, c);
	c->id = (uint64_t)(chat_random(c) * 0x1p62);
	c->turns_left = 1 + (int)exponential(c, TURNS_MEAN);
	c->history = 0;
	c->hint = NO_ENGINE;
}

static void next_request(struct world *w, struct chat *c, int64_t at_ms)
{
	double mean = c->history ? MESSAGE_TOKENS : FIRST_TOKENS;

	c->prompt = c->history + 20 + (int64_t)exponential(c, mean);
	c->output = 1 + (int64_t)exponential(c, OUTPUT_MEAN);
	c->asked_ms = at_ms;
	ask_at(w, c, at_ms);
}

static int64_t think(struct chat *c)
{
	bool pause = chat_random(c) < 0.1;

	return (int64_t)exponential(c, pause ? LONG_THINK_MS : THINK_MS);
}

static void end_request(struct world *w, struct chat *c)
{
	stop_running(w, c);
	c->history = c->prompt + c->output;
	c->hint = c->engine;
	c->hint_ms = w->now_ms;
	if (w->engines[c->engine].alive)
		memory_store(w, c, c->engine, c->history);
	if (--c->turns_left <= 0)
		start_chat(w, c);
	next_request(w, c, w->now_ms + think(c));
}

static size_t random_node(struct world *w, struct chat *c)
{
	size_t n = w->shape.nodes;
	size_t i = (size_t)(chat_random(c) * (double)n);

	while (!w->node_alive[i])
		i = (i + 1) % n;
	return i;
}

static void handle(struct world *w, const struct event *e)
{
	if (e->attempt != e->chat->attempt)
		return;
	if (e->kind == EVENT_END) {
		end_request(w, e->chat);
		return;
	}
	e->chat->node = random_node(w, e->chat);
	w->way->route(w->ctx, e->chat);
}

/* Callers of a lost engine's requests ask again. */
void world_lose_engine(struct world *w, size_t number)
{
	struct engine *e = &w->engines[number];

	e->alive = false;
	while (e->running->len) {
		struct chat *c = g_ptr_array_index(e->running, 0);

		stop_running(w, c);
		w->sums.failed += is_measured(w);
		ask_at(w, c, w->now_ms + RETRY_BACKOFF);
	}
	memory_clear(w, number);
}

static void sample_skew(struct world *w)
{
	double sum = 0, most = 0, mean;
	size_t n = 0;

	for (size_t e = 0; e < w->engine_count; e++) {
		if (!w->engines[e].alive)
			continue;
		n++;
		sum += (double)w->engines[e].work;
		most = MAX(most, (double)w->engines[e].work);
	}
	mean = MAX(sum / (double)n, FLOOR_WORK / LOAD_FACTOR);
	if (is_measured(w))
		w->sums.skew_max = MAX(w->sums.skew_max, most / mean);
}

static void send_reports(struct world *w)
{
	for (size_t e = 0; e < w->engine_count; e++) {
		const struct engine *x = &w->engines[e];
		struct late_report r = {e, {x->work, x->requests, w->now_ms}};

		if (!x->alive)
			continue;
		g_array_append_val(w->late_reports, r);
	}
}

static void receive_reports(struct world *w)
{
	guint n = 0;

	while (n < w->late_reports->len) {
		const struct late_report *r =
			&g_array_index(w->late_reports, struct late_report, n);

		if (r->report.taken_ms + REPORT_LAG_MS > w->now_ms)
			break;
		w->reports[r->engine] = r->report;
		if (w->way->reported)
			w->way->reported(w->ctx, r->engine);
		n++;
	}
	g_array_remove_range(w->late_reports, 0, n);
}

static void tick(struct world *w)
{
	churn_tick(w);
	if (w->now_ms % REPORT_MS == 0)
		send_reports(w);
	receive_reports(w);
	if (w->way->tick)
		w->way->tick(w->ctx);
	sample_skew(w);
}

static void setup_engines(struct world *w)
{
	w->engine_count = w->shape.engines + MAX(w->shape.engines / 9, 1);
	w->engines = g_new0(struct engine, w->engine_count);
	w->reports = g_new0(struct report, w->engine_count);
	for (size_t e = 0; e < w->engine_count; e++) {
		w->engines[e] = (struct engine){
			.id = (uint64_t)g_rand_int(w->rand) << 20 | (e + 1),
			.alive = e < w->shape.engines,
			.oldest = -1,
			.newest = -1,
			.running = g_ptr_array_new(),
		};
	}
}

static void setup_nodes(struct world *w)
{
	size_t n = w->shape.nodes;

	w->node_alive = g_new(bool, n);
	w->node_ids = g_new(uint64_t, n);
	w->views = g_new0(struct view, n);
	for (size_t i = 0; i < n; i++) {
		struct view *v = &w->views[i];

		w->node_alive[i] = true;
		w->node_ids[i] = (uint64_t)g_rand_int(w->rand) << 20 | (i + 1);
		v->engines = g_new(bool, w->engine_count);
		v->nodes = g_new(bool, n);
		v->targets = g_new0(struct route_rank, w->engine_count);
		for (size_t e = 0; e < w->engine_count; e++)
			v->engines[e] = w->engines[e].alive;
		memset(v->nodes, true, n);
		view_rebuild(w, v);
	}
}

/* As if the world had run for long: some engine holds what was said so far. */
static void give_past(struct world *w, struct chat *c)
{
	int turns = (int)exponential(c, TURNS_MEAN);
	size_t e = (size_t)(chat_random(c) * (double)w->shape.engines);

	c->history = turns * (MESSAGE_TOKENS + OUTPUT_MEAN);
	if (!turns)
		return;
	c->hint = e;
	c->hint_ms =
		-PAST_MS + (c - w->chats) * PAST_MS / (int64_t)w->chat_count;
	memory_store(w, c, e, c->history);
}

/* Some chats are as if in a request now, the others pause. */
static int64_t first_ask(struct chat *c, double run_to_think)
{
	int64_t left = 0;

	if (chat_random(c) < run_to_think / (1 + run_to_think))
		left = (int64_t)exponential(c, OUTPUT_MEAN * TOKEN_MS);
	return left + think(c);
}

/* As many chats as give the rate; a few organisations have most of them. */
static void setup_chats(struct world *w, uint64_t seed)
{
	double run_ms = OUTPUT_MEAN * TOKEN_MS;
	double think_ms = 0.9 * THINK_MS + 0.1 * LONG_THINK_MS;
	double rate = w->shape.rate * (double)w->shape.engines;
	double live = rate * (run_ms + think_ms) / 1000;
	int64_t of_chat =
		FIRST_TOKENS + TURNS_MEAN * (MESSAGE_TOKENS + OUTPUT_MEAN);

	w->chat_count = (size_t)live;
	w->chats = g_new0(struct chat, w->chat_count);
	w->copies = g_new0(struct copy, w->chat_count * COPIES);
	w->memory = (int64_t)(MEMORY_CHATS * live * (double)of_chat /
			      (double)w->shape.engines);
	for (size_t i = 0; i < w->chat_count * COPIES; i++)
		w->copies[i].engine = NO_ENGINE;
	for (size_t i = 0; i < w->chat_count; i++) {
		struct chat *c = &w->chats[i];
		double o;

		c->random = seed * 1000003 + i;
		o = chat_random(c);
		c->organisation =
			(uint32_t)(o * o * o * w->shape.organisations);
		start_chat(w, c);
		give_past(w, c);
		next_request(w, c, first_ask(c, run_ms / think_ms));
	}
}

static void teardown(struct world *w)
{
	for (size_t e = 0; e < w->engine_count; e++)
		g_ptr_array_unref(w->engines[e].running);
	for (size_t i = 0; i < w->shape.nodes; i++) {
		g_free(w->views[i].engines);
		g_free(w->views[i].nodes);
		g_free(w->views[i].targets);
	}
	for (guint i = 0; i < w->changes->len; i++)
		g_free(g_array_index(w->changes, struct change, i).known_ms);
	g_free(w->engines);
	g_free(w->reports);
	g_free(w->node_alive);
	g_free(w->node_ids);
	g_free(w->views);
	g_free(w->chats);
	g_free(w->copies);
	g_array_unref(w->events);
	g_array_unref(w->changes);
	g_array_unref(w->late_reports);
	g_rand_free(w->rand);
}

struct sums world_run(const struct shape *s, const struct way *way,
		      uint64_t seed)
{
	struct world w = {.shape = *s, .way = way};
	int64_t end = s->warm_ms + s->run_ms;
	int64_t next_tick = TICK_MS;

	w.rand = g_rand_new_with_seed((guint32)seed);
	w.events = g_array_new(FALSE, FALSE, sizeof(struct event));
	w.changes = g_array_new(FALSE, FALSE, sizeof(struct change));
	w.late_reports = g_array_new(FALSE, FALSE, sizeof(struct late_report));
	setup_engines(&w);
	setup_nodes(&w);
	setup_chats(&w, seed);
	if (s->churn_ms)
		churn_plan(&w);
	w.ctx = way->create(&w);
	while (next_tick <= end) {
		struct event e;

		while (w.events->len &&
		       g_array_index(w.events, struct event, 0).at_ms <=
			       next_tick) {
			e = event_pop(&w);
			w.now_ms = MAX(e.at_ms, w.now_ms);
			handle(&w, &e);
		}
		w.now_ms = next_tick;
		tick(&w);
		next_tick += TICK_MS;
	}
	way->destroy(w.ctx);
	teardown(&w);
	return w.sums;
}
