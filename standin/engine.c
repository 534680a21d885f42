/*
 * Stand-in for a model engine: continuous batching in steps, a prefix cache
 * of limited memory, streams that can be resumed and cancelled, load reports
 * that lag, cache events with gaps, orders with fencing numbers. The contract
 * is in docs/CONTRACTS.md; the faults are switched by PUT /standin/faults.
 */
#include <argtable2.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "standin/standin.h"

#define DEFAULT_TOKENS    16
#define PREFILL_PER_STEP  512 /* prompt tokens read in one step */
#define KEEP_FINISHED_MS  60000
#define REPORTS_KEPT      256
#define EVENTS_PER_ANSWER 1024
#define SILENCE_MS        30000

struct faults {
	int64_t lag_ms;    /* reports show the past */
	int64_t gap;       /* leave out every gap-th cache event */
	bool ignore_fence; /* take orders with an old fencing number */
	int64_t cross;     /* next answers carry another's identity */
	int64_t lose;      /* next requests run, answer lost */
	int64_t vanish;    /* as lose, and down from then on */
	int64_t silent;    /* next streams go silent */
	int64_t silent_at; /* ... after this many tokens */
	int64_t slow;      /* factor on the step time */
	int64_t fail;      /* next requests are refused */
	bool differ;       /* other words than the other engines */
	bool down;         /* refuse everything */
	bool leaving;      /* refuse new work and say why */
};

/* One request's work; it outlives its connection so that it can resume. */
struct job {
	char *id;
	char *prompt;
	int64_t prompt_tokens;
	int64_t cached_tokens;
	int64_t prefill_left; /* tokens of the prompt still to read */
	int64_t target_tokens;
	int64_t done_tokens;
	int64_t priority;
	char *reader; /* whose connection is the newest, or NULL */
	bool cancelled;
	int64_t finished_ms; /* 0 while it runs */
	int refs;
};

struct report {
	int64_t at_ms;
	int64_t running, queued, work;
};

struct engine {
	GMutex lock;
	GCond step;
	GHashTable *jobs;  /* id -> struct job */
	GPtrArray *active; /* struct job, in order of priority and arrival */
	GHashTable *runs;  /* id -> number of times it ran */
	struct prefix_cache *cache;
	struct report reports[REPORTS_KEPT];
	uint64_t report_count;
	struct faults faults;
	int64_t cancelled; /* jobs that were cancelled while they ran */
	int64_t step_ms;
	int64_t batch;
	int64_t fence;  /* highest fencing number seen */
	json_t *orders; /* orders that took effect, in order */
	char *model;
	volatile bool stop;
};

/* A connection that reads a job from a position on. */
struct reader {
	struct engine *e;
	struct job *job;
	int64_t pos; /* next event to send */
	int64_t silent_after;
	bool crossed;
	char buf[512];
	size_t len, off;
	bool ended;
};

static void free_job(struct job *j)
{
	g_free(j->id);
	g_free(j->prompt);
	g_free(j->reader);
	g_free(j);
}

static void unref_job(struct job *j)
{
	if (--j->refs == 0)
		free_job(j);
}

static void unref_job_value(void *p)
{
	unref_job(p);
}

static void finish(struct job *j)
{
	j->finished_ms = time_mono_ms();
}

static void step_job(struct job *j)
{
	if (j->prefill_left > 0) {
		j->prefill_left -= PREFILL_PER_STEP;
		return;
	}
	j->done_tokens++;
	if (j->done_tokens >= j->target_tokens)
		finish(j);
}

static int64_t work_left(const struct job *j)
{
	return MAX(j->prefill_left, 0) + j->target_tokens - j->done_tokens;
}

static void keep_report(struct engine *e)
{
	struct report *r = &e->reports[e->report_count++ % REPORTS_KEPT];
	int64_t n = e->active->len;

	*r = (struct report){time_mono_ms(), MIN(n, e->batch),
			     MAX(n - e->batch, 0), 0};
	for (guint i = 0; i < e->active->len; i++)
		r->work += work_left(g_ptr_array_index(e->active, i));
}

static gboolean is_old(void *key, void *value, void *now)
{
	struct job *j = value;

	(void)key;
	return j->finished_ms &&
	       j->finished_ms + KEEP_FINISHED_MS < *(int64_t *)now;
}

/* One step of the batch: the first jobs of the queue each advance. */
static void step_batch(struct engine *e)
{
	guint kept = 0;
	int64_t now = time_mono_ms();

	for (guint i = 0; i < e->active->len; i++) {
		struct job *j = g_ptr_array_index(e->active, i);

		if (i < (guint)e->batch && !j->cancelled)
			step_job(j);
		if (j->cancelled && !j->finished_ms)
			finish(j);
		if (j->finished_ms)
			unref_job(j);
		else
			e->active->pdata[kept++] = j;
	}
	g_ptr_array_set_size(e->active, (gint)kept);
	g_hash_table_foreach_remove(e->jobs, is_old, &now);
	keep_report(e);
	g_cond_broadcast(&e->step);
}

static void *run_steps(void *arg)
{
	struct engine *e = arg;

	while (!e->stop) {
		int64_t factor = MAX(e->faults.slow, 1);

		g_usleep((gulong)(e->step_ms * factor) * 1000);
		g_mutex_lock(&e->lock);
		step_batch(e);
		g_mutex_unlock(&e->lock);
	}
	return NULL;
}

/* Higher priorities first; equal ones in order of arrival. */
static void enqueue(struct engine *e, struct job *j)
{
	guint i = e->active->len;

	while (i > 0) {
		struct job *before = g_ptr_array_index(e->active, i - 1);

		if (before->priority >= j->priority)
			break;
		i--;
	}
	g_ptr_array_insert(e->active, (gint)i, j);
	j->refs++;
}

static int refuse(struct _u_response *r, int status, const char *type)
{
	return answer_json(r, status,
			   json_pack("{s:{s:s,s:s}}", "error", "type", type,
				     "message", type));
}

static const char *header(const struct _u_request *q, const char *name)
{
	return u_map_get_case(q->map_header, name);
}

static int64_t header_int(const struct _u_request *q, const char *name,
			  int64_t otherwise)
{
	const char *s = header(q, name);

	return s ? g_ascii_strtoll(s, NULL, 10) : otherwise;
}

/* Format event number pos of the job, or its end, into the reader. */
static void format_event(struct reader *rd)
{
	struct job *j = rd->job;
	const char *id = rd->crossed ? "other" : j->id;
	char word[32];

	if (rd->pos < j->done_tokens) {
		answer_word(rd->e->faults.differ ? "" : j->prompt, rd->pos,
			    word, sizeof(word));
		rd->len = (size_t)snprintf(
			rd->buf, sizeof(rd->buf),
			"id: %s:%" G_GINT64_FORMAT
			"\ndata: {\"id\":\"%s\",\"object\":"
			"\"chat.completion.chunk\",\"created\":0,"
			"\"model\":\"%s\",\"choices\":[{\"index\":0,"
			"\"delta\":{\"content\":\"%s\"},"
			"\"finish_reason\":null}]}\n\n",
			id, rd->pos, id, rd->e->model, word);
	} else if (rd->pos > j->done_tokens) {
		rd->len = (size_t)snprintf(rd->buf, sizeof(rd->buf),
					   "data: [DONE]\n\n");
		rd->ended = true;
	} else {
		rd->len = (size_t)snprintf(
			rd->buf, sizeof(rd->buf),
			"id: %s:%" G_GINT64_FORMAT
			"\ndata: {\"id\":\"%s\",\"object\":"
			"\"chat.completion.chunk\",\"created\":0,"
			"\"model\":\"%s\",\"choices\":[{\"index\":0,"
			"\"delta\":{},\"finish_reason\":\"stop\"}],"
			"\"usage\":{\"prompt_tokens\":%" G_GINT64_FORMAT
			",\"completion_tokens\":%" G_GINT64_FORMAT
			",\"total_tokens\":%" G_GINT64_FORMAT
			",\"prompt_tokens_details\":{\"cached_tokens\":"
			"%" G_GINT64_FORMAT "}}}\n\ndata: [DONE]\n\n",
			id, rd->pos, id, rd->e->model, j->prompt_tokens,
			j->done_tokens, j->prompt_tokens + j->done_tokens,
			j->cached_tokens);
		rd->ended = true;
	}
	rd->pos++;
	rd->off = 0;
}

static bool is_ready(const struct reader *rd)
{
	const struct job *j = rd->job;

	return rd->pos < j->done_tokens || j->finished_ms;
}

static ssize_t read_events(void *ctx, uint64_t off, char *buf, size_t max)
{
	struct reader *rd = ctx;
	struct engine *e = rd->e;
	size_t n;

	(void)off;
	if (rd->off == rd->len) {
		if (rd->ended)
			return U_STREAM_END;
		if (rd->silent_after >= 0 && rd->pos >= rd->silent_after) {
			g_usleep((gulong)SILENCE_MS * 1000);
			return U_STREAM_ERROR;
		}
		g_mutex_lock(&e->lock);
		while (!is_ready(rd) && !e->stop)
			g_cond_wait(&e->step, &e->lock);
		if (e->stop || rd->job->cancelled) {
			g_mutex_unlock(&e->lock);
			return U_STREAM_ERROR;
		}
		format_event(rd);
		g_mutex_unlock(&e->lock);
	}
	n = MIN(max, rd->len - rd->off);
	memcpy(buf, rd->buf + rd->off, n);
	rd->off += n;
	return (ssize_t)n;
}

static void close_reader(void *ctx)
{
	struct reader *rd = ctx;

	g_mutex_lock(&rd->e->lock);
	unref_job(rd->job);
	g_mutex_unlock(&rd->e->lock);
	g_free(rd);
}

/* Take one use of a fault counter. */
static bool take(int64_t *count)
{
	if (*count <= 0)
		return false;
	(*count)--;
	return true;
}

/* Call with the lock held. */
static int stream_from(struct engine *e, struct job *j, int64_t pos,
		       const char *name, struct _u_response *r)
{
	struct reader *rd = g_new0(struct reader, 1);

	g_free(j->reader);
	j->reader = g_strdup(name);
	rd->e = e;
	rd->job = j;
	rd->pos = pos;
	rd->silent_after = -1;
	rd->crossed = take(&e->faults.cross);
	if (take(&e->faults.silent))
		rd->silent_after = e->faults.silent_at;
	j->refs++;
	u_map_put(r->map_header, "Request-Id", rd->crossed ? "other" : j->id);
	u_map_put(r->map_header, "Content-Type", "text/event-stream");
	ulfius_set_stream_response(r, 200, read_events, close_reader,
				   U_STREAM_SIZE_UNKNOWN, sizeof(rd->buf), rd);
	return U_CALLBACK_COMPLETE;
}

static struct job *new_job(struct engine *e, const char *id, const json_t *body,
			   int64_t priority)
{
	const json_t *messages = json_object_get(body, "messages");
	const json_t *max = json_object_get(body, "max_tokens");
	struct job *j = g_new0(struct job, 1);

	j->id = g_strdup(id);
	j->prompt = prompt_text(messages);
	j->prompt_tokens = prompt_tokens(strlen(j->prompt));
	j->cached_tokens = prefix_cache_use(e->cache, messages);
	j->prefill_left = j->prompt_tokens - j->cached_tokens;
	j->target_tokens = max ? json_integer_value(max) : DEFAULT_TOKENS;
	j->priority = priority;
	j->refs = 1;
	return j;
}

static void count_run(struct engine *e, const char *id)
{
	gpointer n = g_hash_table_lookup(e->runs, id);

	g_hash_table_replace(e->runs, g_strdup(id),
			     GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
}

static int on_chat(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct engine *e = ctx;
	const char *id = header(q, "Request-Id");
	json_t *body = ulfius_get_json_body_request(q, NULL);
	struct job *j;
	bool lose;

	if (!id || !json_is_array(json_object_get(body, "messages"))) {
		json_decref(body);
		return refuse(r, 400, "bad_request");
	}
	g_mutex_lock(&e->lock);
	if (e->faults.leaving) {
		g_mutex_unlock(&e->lock);
		json_decref(body);
		u_map_put(r->map_header, "Leaving", "true");
		return refuse(r, 503, "leaving");
	}
	if (e->faults.down || take(&e->faults.fail)) {
		g_mutex_unlock(&e->lock);
		json_decref(body);
		return refuse(r, 503, "not_run");
	}
	j = new_job(e, id, body, header_int(q, "Priority", 0));
	count_run(e, id);
	g_hash_table_replace(e->jobs, j->id, j);
	enqueue(e, j);
	if (take(&e->faults.vanish))
		e->faults.down = lose = true;
	else
		lose = take(&e->faults.lose);
	if (!lose)
		stream_from(e, j, 0, header(q, "Reader"), r);
	g_mutex_unlock(&e->lock);
	json_decref(body);
	return lose ? answer_lost(r) : U_CALLBACK_COMPLETE;
}

/* GET /v1/streams/:id?from=N: the rest of an answer, from event N on. */
static int on_resume(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	const char *from = u_map_get(q->map_url, "from");
	struct job *j;

	g_mutex_lock(&e->lock);
	j = g_hash_table_lookup(e->jobs, u_map_get(q->map_url, "id"));
	if (e->faults.down || !j || j->cancelled) {
		bool down = e->faults.down;

		g_mutex_unlock(&e->lock);
		return refuse(r, down ? 503 : 404, down ? "down" : "unknown");
	}
	stream_from(e, j, from ? g_ascii_strtoll(from, NULL, 10) : 0,
		    header(q, "Reader"), r);
	g_mutex_unlock(&e->lock);
	return U_CALLBACK_COMPLETE;
}

/* DELETE /v1/streams/:id, unless another reader has taken over. */
static int on_cancel(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	const char *reader = header(q, "Reader");
	bool taken_over;
	struct job *j;

	g_mutex_lock(&e->lock);
	j = g_hash_table_lookup(e->jobs, u_map_get(q->map_url, "id"));
	taken_over = j && reader && j->reader && strcmp(reader, j->reader);
	if (j && !j->finished_ms && !taken_over) {
		j->cancelled = true;
		e->cancelled++;
	}
	g_mutex_unlock(&e->lock);
	if (taken_over)
		return refuse(r, 409, "another_reader");
	return answer_json(r, j ? 200 : 404, json_object());
}

static struct report report_as_seen(struct engine *e)
{
	int64_t at = time_mono_ms() - e->faults.lag_ms;
	struct report seen = {0};
	uint64_t first = e->report_count > REPORTS_KEPT
				 ? e->report_count - REPORTS_KEPT
				 : 0;

	for (uint64_t i = first; i < e->report_count; i++) {
		if (e->reports[i % REPORTS_KEPT].at_ms <= at)
			seen = e->reports[i % REPORTS_KEPT];
	}
	return seen;
}

static int on_load(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct engine *e = ctx;
	struct report p;
	int64_t cached;
	int leaving;

	(void)q;
	g_mutex_lock(&e->lock);
	if (e->faults.down) {
		g_mutex_unlock(&e->lock);
		return refuse(r, 503, "down");
	}
	p = report_as_seen(e);
	cached = prefix_cache_tokens(e->cache);
	leaving = e->faults.leaving;
	g_mutex_unlock(&e->lock);
	return answer_json(r, 200,
			   json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:b}", "running",
				     p.running, "queued", p.queued,
				     "work_tokens", p.work, "cached_tokens",
				     cached, "age_ms", time_mono_ms() - p.at_ms,
				     "batch", e->batch, "leaving", leaving));
}

static int on_events(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	const char *after = u_map_get(q->map_url, "after");
	struct cache_event *ev = g_new(struct cache_event, EVENTS_PER_ANSWER);
	json_t *list = json_array();
	size_t n;

	g_mutex_lock(&e->lock);
	n = prefix_cache_events(e->cache,
				after ? g_ascii_strtoll(after, NULL, 10) : 0,
				ev, EVENTS_PER_ANSWER);
	for (size_t i = 0; i < n; i++) {
		char hash[20];

		if (e->faults.gap && ev[i].seq % e->faults.gap == 0)
			continue;
		snprintf(hash, sizeof(hash), "%016" G_GINT64_MODIFIER "x",
			 ev[i].prefix);
		json_array_append_new(
			list, json_pack("{s:I,s:s,s:s}", "seq", ev[i].seq, "op",
					ev[i].stored ? "store" : "evict",
					"prefix", hash));
	}
	g_mutex_unlock(&e->lock);
	g_free(ev);
	return answer_json(r, 200, json_pack("{s:o}", "events", list));
}

/* POST /orders {"fence":N,"order":"load_model",...}. */
static int on_order(const struct _u_request *q, struct _u_response *r,
		    void *ctx)
{
	struct engine *e = ctx;
	json_t *body = ulfius_get_json_body_request(q, NULL);
	int64_t fence = json_integer_value(json_object_get(body, "fence"));
	bool stale;

	if (!json_is_string(json_object_get(body, "order"))) {
		json_decref(body);
		return refuse(r, 400, "bad_request");
	}
	g_mutex_lock(&e->lock);
	stale = fence < e->fence && !e->faults.ignore_fence;
	if (!stale) {
		e->fence = MAX(e->fence, fence);
		json_array_append(e->orders, body);
	}
	g_mutex_unlock(&e->lock);
	json_decref(body);
	return stale ? refuse(r, 409, "stale_fence")
		     : answer_json(r, 200, json_object());
}

static int on_orders(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	json_t *copy;

	(void)q;
	g_mutex_lock(&e->lock);
	copy = json_deep_copy(e->orders);
	g_mutex_unlock(&e->lock);
	return answer_json(r, 200, json_pack("{s:o}", "orders", copy));
}

/* Export and import of KV cache: the prefixes and their weight in tokens. */
static int on_import(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	json_t *body = ulfius_get_json_body_request(q, NULL);
	size_t i;
	json_t *x;

	g_mutex_lock(&e->lock);
	json_array_foreach (json_object_get(body, "prefixes"), i, x) {
		const char *hex =
			json_string_value(json_object_get(x, "prefix"));

		prefix_cache_put(
			e->cache, g_ascii_strtoull(hex ? hex : "0", NULL, 16),
			json_integer_value(json_object_get(x, "tokens")));
	}
	g_mutex_unlock(&e->lock);
	json_decref(body);
	return answer_json(r, 200, json_object());
}

static int on_faults(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	json_t *body = ulfius_get_json_body_request(q, NULL);
	struct faults f = {0};
	int ignore = 0, down = 0, differ = 0, leaving = 0;
	int bad = json_unpack(
		body, "{s?I,s?I,s?b,s?I,s?I,s?I,s?I,s?I,s?I,s?b,s?b,s?I,s?b !}",
		"lag_ms", &f.lag_ms, "gap", &f.gap, "ignore_fence", &ignore,
		"cross", &f.cross, "lose", &f.lose, "silent", &f.silent,
		"silent_at", &f.silent_at, "slow", &f.slow, "fail", &f.fail,
		"down", &down, "differ", &differ, "vanish", &f.vanish,
		"leaving", &leaving);

	json_decref(body);
	if (bad)
		return refuse(r, 400, "unknown fault");
	f.ignore_fence = ignore;
	f.down = down;
	f.differ = differ;
	f.leaving = leaving;
	g_mutex_lock(&e->lock);
	e->faults = f;
	g_mutex_unlock(&e->lock);
	return answer_json(r, 200, json_object());
}

/* GET /standin/runs: how often each request identity ran. */
static int on_runs(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct engine *e = ctx;
	json_t *runs = json_object();
	GHashTableIter it;
	gpointer key, n;

	(void)q;
	g_mutex_lock(&e->lock);
	g_hash_table_iter_init(&it, e->runs);
	while (g_hash_table_iter_next(&it, &key, &n))
		json_object_set_new(runs, key,
				    json_integer(GPOINTER_TO_INT(n)));
	g_mutex_unlock(&e->lock);
	return answer_json(r, 200, runs);
}

/* GET /standin/counts: runs in all, and how many of them were cancelled. */
static int on_counts(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	int64_t runs = 0, cancelled;
	GHashTableIter it;
	gpointer key, n;

	(void)q;
	g_mutex_lock(&e->lock);
	g_hash_table_iter_init(&it, e->runs);
	while (g_hash_table_iter_next(&it, &key, &n))
		runs += GPOINTER_TO_INT(n);
	cancelled = e->cancelled;
	g_mutex_unlock(&e->lock);
	return answer_json(
		r, 200,
		json_pack("{s:I,s:I}", "runs", runs, "cancelled", cancelled));
}

static const struct server_route routes[] = {
	{"POST", "/v1/chat/completions", on_chat},
	{"GET", "/v1/streams/:id", on_resume},
	{"DELETE", "/v1/streams/:id", on_cancel},
	{"GET", "/load", on_load},
	{"GET", "/cache/events", on_events},
	{"POST", "/cache/import", on_import},
	{"POST", "/orders", on_order},
	{"GET", "/orders", on_orders},
	{"PUT", "/standin/faults", on_faults},
	{"GET", "/standin/runs", on_runs},
	{"GET", "/standin/counts", on_counts},
};

static void init(struct engine *e, int64_t step_ms, int64_t batch,
		 int64_t cache, const char *model)
{
	g_mutex_init(&e->lock);
	g_cond_init(&e->step);
	e->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					unref_job_value);
	e->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->active = g_ptr_array_new();
	e->cache = prefix_cache_new(cache);
	e->orders = json_array();
	e->step_ms = step_ms;
	e->batch = batch;
	e->model = g_strdup(model);
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int0("p", "port", "N", "port; 0 is free");
	struct arg_file *file = arg_file0(NULL, "port-file", "F", "for N");
	struct arg_int *step = arg_int0(NULL, "step-ms", "MS", "batch step");
	struct arg_int *batch = arg_int0(NULL, "batch", "N", "jobs a step");
	struct arg_int *cache = arg_int0(NULL, "cache", "TOKENS", "memory");
	struct arg_str *model = arg_str0(NULL, "model", "NAME", "model");
	struct arg_end *end = arg_end(4);
	void *table[] = {port, file, step, batch, cache, model, end};
	static struct engine e;
	struct server_options options = {0};
	struct server s;
	GThread *steps;

	port->ival[0] = 0;
	step->ival[0] = 4;
	batch->ival[0] = 64;
	cache->ival[0] = 200000;
	model->sval[0] = "reef-1";
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	options.port = port->ival[0];
	block_stop_signals();
	init(&e, step->ival[0], batch->ival[0], cache->ival[0], model->sval[0]);
	if (!server_start(&s, &options, routes, G_N_ELEMENTS(routes), &e) ||
	    !server_write_port(&s, file->count ? file->filename[0] : NULL))
		return 1;
	steps = g_thread_new("steps", run_steps, &e);
	wait_for_stop();
	g_mutex_lock(&e.lock);
	e.stop = true;
	g_cond_broadcast(&e.step);
	g_mutex_unlock(&e.lock);
	g_thread_join(steps);
	/* Handlers may still sleep in a fault; the process just ends. */
	_exit(0);
}
