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

#include "standin/engine.h"

#define SILENCE_MS 30000
#define ROUTES_MAX 32

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

static const struct server_route stream_routes[] = {
	{"POST", "/v1/chat/completions", on_chat},
	{"GET", "/v1/streams/:id", on_resume},
	{"DELETE", "/v1/streams/:id", on_cancel},
};

/* Returns the number of routes put into all. */
static size_t all_routes(struct server_route *all)
{
	size_t n = G_N_ELEMENTS(stream_routes);

	memcpy(all, stream_routes, sizeof(stream_routes));
	memcpy(all + n, control_routes,
	       control_route_count * sizeof(control_routes[0]));
	return n + control_route_count;
}

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
	static struct server_route routes[ROUTES_MAX];
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
	if (!server_start(&s, &options, routes, all_routes(routes), &e) ||
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
