/*
 * Stand-in for a model engine, as docs/CONTRACTS.md states it: continuous
 * batching in steps, a prefix cache of limited size, streams that can be
 * resumed and cancelled, load reports, cache events, and orders with fencing
 * tokens. PUT /standin/faults makes it fail in the ways that a real engine
 * can. This file has the program and its streams.
 */
#include <argtable2.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "standin/engine.h"

#define SILENCE_MS 30000 /* then a silent stream is broken off */
#define ROUTES_MAX 32

#define DEFAULT_STEP_MS      4
#define DEFAULT_BATCH_SIZE   64
#define DEFAULT_CACHE_TOKENS 200000
#define DEFAULT_MODEL        "reef-1"

/* A connection that streams the answer of a job from some event on. */
struct reader {
	struct engine *engine;
	struct job *job;
	int64_t next_event; /* number of the next event to send */
	int64_t silent_at;  /* event at which to stop sending, or -1 */
	bool crossed;       /* send a wrong request id */
	char buf[512];
	size_t len, off; /* of the bytes in buf; those before off are sent */
	bool ended;      /* buf holds the end of the answer */
};

static const char *request_header(const struct _u_request *q, const char *name)
{
	return u_map_get_case(q->map_header, name);
}

static int64_t request_header_int(const struct _u_request *q, const char *name,
				  int64_t fallback)
{
	const char *s = request_header(q, name);

	return s ? g_ascii_strtoll(s, NULL, 10) : fallback;
}

/*
 * Put the next event of the job into the buffer: a token, the final chunk with
 * the usage, or, when a reader starts after that, only the end marker.
 */
static void format_event(struct reader *rd)
{
	struct job *j = rd->job;
	const char *id = rd->crossed ? "other" : j->id;
	char word[32];

	if (rd->next_event < j->generated_tokens) {
		answer_word(rd->engine->faults.different_words ? "" : j->prompt,
			    rd->next_event, word, sizeof(word));
		rd->len = (size_t)snprintf(
			rd->buf, sizeof(rd->buf),
			"id: %s:%" G_GINT64_FORMAT
			"\ndata: {\"id\":\"%s\",\"object\":"
			"\"chat.completion.chunk\",\"created\":0,"
			"\"model\":\"%s\",\"choices\":[{\"index\":0,"
			"\"delta\":{\"content\":\"%s\"},"
			"\"finish_reason\":null}]}\n\n",
			id, rd->next_event, id, rd->engine->model, word);
	} else if (rd->next_event > j->generated_tokens) {
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
			id, rd->next_event, id, rd->engine->model,
			j->prompt_tokens, j->generated_tokens,
			j->prompt_tokens + j->generated_tokens,
			j->cached_tokens);
		rd->ended = true;
	}
	rd->next_event++;
	rd->off = 0;
}

/* Return whether the next event can be formatted. */
static bool has_event(const struct reader *rd)
{
	const struct job *j = rd->job;

	return rd->next_event < j->generated_tokens || j->finished_ms;
}

/* Copy the next bytes of the stream to buf; wait for them if necessary. */
static ssize_t read_events(void *ctx, uint64_t off, char *buf, size_t max)
{
	struct reader *rd = ctx;
	struct engine *e = rd->engine;
	size_t n;

	(void)off;
	if (rd->off == rd->len) {
		if (rd->ended)
			return U_STREAM_END;
		if (rd->silent_at >= 0 && rd->next_event >= rd->silent_at) {
			g_usleep((gulong)SILENCE_MS * 1000);
			return U_STREAM_ERROR;
		}
		g_mutex_lock(&e->lock);
		while (!has_event(rd) && !e->stop)
			g_cond_wait(&e->step_done, &e->lock);
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

	g_mutex_lock(&rd->engine->lock);
	job_unref(rd->job);
	g_mutex_unlock(&rd->engine->lock);
	g_free(rd);
}

/* Use up one occurrence of a fault. Return false when none is left. */
static bool take_fault(int64_t *count)
{
	if (*count <= 0)
		return false;
	(*count)--;
	return true;
}

/*
 * Respond with the stream of a job from an event on, for the reader of the
 * given name. Call with the lock held.
 */
static int start_stream(struct engine *e, struct job *j, int64_t next_event,
			const char *name, struct _u_response *r)
{
	struct reader *rd = g_new0(struct reader, 1);

	g_free(j->reader);
	j->reader = g_strdup(name);
	rd->engine = e;
	rd->job = j;
	rd->next_event = next_event;
	rd->silent_at = -1;
	rd->crossed = take_fault(&e->faults.crossed_answers);
	if (take_fault(&e->faults.silent_streams))
		rd->silent_at = e->faults.silent_at_token;
	j->refs++;
	u_map_put(r->map_header, "Request-Id", rd->crossed ? "other" : j->id);
	u_map_put(r->map_header, "Content-Type", "text/event-stream");
	ulfius_set_stream_response(r, 200, read_events, close_reader,
				   U_STREAM_SIZE_UNKNOWN, sizeof(rd->buf), rd);
	return U_CALLBACK_COMPLETE;
}

/* Count a run of the request with this id. */
static void count_run(struct engine *e, const char *id)
{
	gpointer n = g_hash_table_lookup(e->run_counts, id);

	g_hash_table_replace(e->run_counts, g_strdup(id),
			     GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
}

/* POST /v1/chat/completions: run the chat as a job and stream its answer. */
static int on_chat(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct engine *e = ctx;
	const char *id = request_header(q, "Request-Id");
	json_t *body = ulfius_get_json_body_request(q, NULL);
	struct job *j;
	bool lose;

	if (!id || !json_is_array(json_object_get(body, "messages"))) {
		json_decref(body);
		return refuse_request(r, 400, "bad_request");
	}
	g_mutex_lock(&e->lock);
	if (take_fault(&e->faults.late_requests))
		while (!g_hash_table_contains(e->unknown, id) && !e->stop)
			g_cond_wait(&e->step_done, &e->lock);
	if (e->faults.leaving) {
		g_mutex_unlock(&e->lock);
		json_decref(body);
		u_map_put(r->map_header, "Leaving", "true");
		return refuse_request(r, 503, "leaving");
	}
	if (e->faults.down || take_fault(&e->faults.refused_requests)) {
		g_mutex_unlock(&e->lock);
		json_decref(body);
		return refuse_request(r, 503, "not_run");
	}
	j = job_new(e, id, body, request_header_int(q, "Priority", 0));
	count_run(e, id);
	g_hash_table_replace(e->jobs, j->id, j);
	job_enqueue(e, j);
	if (take_fault(&e->faults.lost_then_down))
		e->faults.down = lose = true;
	else
		lose = take_fault(&e->faults.lost_answers);
	if (!lose)
		start_stream(e, j, 0, request_header(q, "Reader"), r);
	g_mutex_unlock(&e->lock);
	json_decref(body);
	return lose ? abort_response(r) : U_CALLBACK_COMPLETE;
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

		if (!j) {
			g_hash_table_add(e->unknown,
					 g_strdup(u_map_get(q->map_url, "id")));
			g_cond_broadcast(&e->step_done);
		}
		g_mutex_unlock(&e->lock);
		return refuse_request(r, down ? 503 : 404,
				      down ? "down" : "unknown");
	}
	start_stream(e, j, from ? g_ascii_strtoll(from, NULL, 10) : 0,
		     request_header(q, "Reader"), r);
	g_mutex_unlock(&e->lock);
	return U_CALLBACK_COMPLETE;
}

/*
 * DELETE /v1/streams/:id: cancel the job, unless another reader has resumed the
 * stream since.
 */
static int on_cancel(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	const char *reader = request_header(q, "Reader");
	bool taken_over;
	struct job *j;

	g_mutex_lock(&e->lock);
	j = g_hash_table_lookup(e->jobs, u_map_get(q->map_url, "id"));
	taken_over = j && reader && j->reader && strcmp(reader, j->reader);
	if (j && !j->finished_ms && !taken_over) {
		j->cancelled = true;
		e->cancelled_jobs++;
	}
	g_mutex_unlock(&e->lock);
	if (taken_over)
		return refuse_request(r, 409, "another_reader");
	return answer_json(r, j ? 200 : 404, json_object());
}

static const struct server_route stream_routes[] = {
	{"POST", "/v1/chat/completions", on_chat},
	{"GET", "/v1/streams/:id", on_resume},
	{"DELETE", "/v1/streams/:id", on_cancel},
};

/* Collect the routes of all source files; return their number. */
static size_t collect_routes(struct server_route *routes)
{
	size_t n = G_N_ELEMENTS(stream_routes);

	memcpy(routes, stream_routes, sizeof(stream_routes));
	memcpy(routes + n, control_routes,
	       control_route_count * sizeof(control_routes[0]));
	return n + control_route_count;
}

static void engine_init(struct engine *e, int64_t step_ms, int64_t batch_size,
			int64_t cache_tokens, const char *model)
{
	g_mutex_init(&e->lock);
	g_cond_init(&e->step_done);
	e->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					job_unref_value);
	e->run_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->unknown =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->queue = g_ptr_array_new();
	e->cache = prefix_cache_new(cache_tokens);
	e->orders = json_array();
	e->step_ms = step_ms;
	e->batch_size = batch_size;
	e->model = g_strdup(model);
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int0(
		"p", "port", "N", "port to listen on; 0 picks a free one");
	struct arg_file *port_file = arg_file0(NULL, "port-file", "FILE",
					       "file to write the port to");
	struct arg_int *step_ms =
		arg_int0(NULL, "step-ms", "MS", "duration of a batch step");
	struct arg_int *batch_size =
		arg_int0(NULL, "batch", "N", "jobs that advance in a step");
	struct arg_int *cache =
		arg_int0(NULL, "cache", "TOKENS", "prefix cache size");
	struct arg_str *model = arg_str0(NULL, "model", "NAME", "model name");
	struct arg_end *end = arg_end(4);
	void *table[] = {port,  port_file, step_ms, batch_size,
			 cache, model,     end};
	static struct engine e;
	static struct server_route routes[ROUTES_MAX];
	struct server_options options = {0};
	struct server s;
	GThread *batch_thread;

	port->ival[0] = 0;
	step_ms->ival[0] = DEFAULT_STEP_MS;
	batch_size->ival[0] = DEFAULT_BATCH_SIZE;
	cache->ival[0] = DEFAULT_CACHE_TOKENS;
	model->sval[0] = DEFAULT_MODEL;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	options.port = port->ival[0];
	block_stop_signals();
	engine_init(&e, step_ms->ival[0], batch_size->ival[0], cache->ival[0],
		    model->sval[0]);
	if (!server_start(&s, &options, routes, collect_routes(routes), &e) ||
	    !server_write_port(&s, port_file->count ? port_file->filename[0]
						    : NULL))
		return 1;
	batch_thread = g_thread_new("steps", run_batch, &e);
	wait_for_stop_signal();
	g_mutex_lock(&e.lock);
	e.stop = true;
	g_cond_broadcast(&e.step_done);
	g_mutex_unlock(&e.lock);
	g_thread_join(batch_thread);
	/* Don't wait for handlers: some may sleep to simulate a fault. */
	_exit(0);
}
