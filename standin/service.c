/*
 * Stand-in for a plain service, some of whose calls must not run twice. Each
 * call below /app/ is answered with what it sent and counted by its
 * idempotency key. PUT /standin/faults simulates faults.
 */
#include <argtable2.h>
#include <stdio.h>
#include <unistd.h>

#include "standin/standin.h"

#define SILENCE_MS 30000

struct service {
	GMutex lock;
	GHashTable *run_counts; /* Idempotency-Key -> number of runs */
	int64_t call_count;
	int64_t lost_answers; /* next calls run, but their response is lost */
	/* Next calls run, but are answered only after SILENCE_MS. */
	int64_t unanswered_calls;
	int64_t delay_ms; /* before each response */
	bool down;        /* refuse all calls */
};

/* Use up one occurrence of a fault. Return false when none is left. */
static bool take_fault(int64_t *count)
{
	if (*count <= 0)
		return false;
	(*count)--;
	return true;
}

/* Run a call, with the faults that apply to it. */
static int on_call(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct service *s = ctx;
	const char *key = u_map_get_case(q->map_header, "Idempotency-Key");
	const char *id = u_map_get_case(q->map_header, "Request-Id");
	bool lose, silent;
	int64_t number;

	g_mutex_lock(&s->lock);
	if (s->down) {
		g_mutex_unlock(&s->lock);
		return answer_json(r, 503, json_pack("{s:s}", "error", "down"));
	}
	number = ++s->call_count;
	if (key) {
		gpointer previous = g_hash_table_lookup(s->run_counts, key);

		g_hash_table_replace(
			s->run_counts, g_strdup(key),
			GINT_TO_POINTER(GPOINTER_TO_INT(previous) + 1));
	}
	lose = take_fault(&s->lost_answers);
	silent = take_fault(&s->unanswered_calls);
	g_mutex_unlock(&s->lock);
	if (s->delay_ms)
		g_usleep((gulong)s->delay_ms * 1000);
	if (silent)
		g_usleep((gulong)SILENCE_MS * 1000);
	if (lose)
		return abort_response(r);
	if (id)
		u_map_put(r->map_header, "Request-Id", id);
	return answer_json(
		r, 200,
		json_pack("{s:I,s:s,s:s,s:s%}", "number", number, "method",
			  q->http_verb, "path", q->url_path, "body",
			  q->binary_body_length ? q->binary_body : "",
			  q->binary_body_length));
}

/* GET /load: always the load of an idle service, or 503 while it is down. */
static int on_load(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct service *s = ctx;

	(void)q;
	return s->down ? answer_json(r, 503, json_object())
		       : answer_json(r, 200,
				     json_pack("{s:i,s:i,s:i}", "running", 0,
					       "queued", 0, "work_tokens", 0));
}

/* PUT /standin/faults: replace all faults. */
static int on_faults(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct service *s = ctx;
	json_t *body = ulfius_get_json_body_request(q, NULL);
	int64_t lost_answers = 0, unanswered_calls = 0, delay_ms = 0;
	int down = 0;
	int invalid = json_unpack(body, "{s?I,s?I,s?I,s?b !}", "lose",
				  &lost_answers, "silent", &unanswered_calls,
				  "slow_ms", &delay_ms, "down", &down);

	json_decref(body);
	if (invalid)
		return answer_json(r, 400,
				   json_pack("{s:s}", "error", "unknown"));
	g_mutex_lock(&s->lock);
	s->lost_answers = lost_answers;
	s->unanswered_calls = unanswered_calls;
	s->delay_ms = delay_ms;
	s->down = down;
	g_mutex_unlock(&s->lock);
	return answer_json(r, 200, json_object());
}

/* GET /standin/runs: how often each idempotency key ran. */
static int on_runs(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct service *s = ctx;
	json_t *runs = json_object();
	GHashTableIter it;
	gpointer key, number;

	(void)q;
	g_mutex_lock(&s->lock);
	g_hash_table_iter_init(&it, s->run_counts);
	while (g_hash_table_iter_next(&it, &key, &number))
		json_object_set_new(runs, key,
				    json_integer(GPOINTER_TO_INT(number)));
	g_mutex_unlock(&s->lock);
	return answer_json(r, 200, runs);
}

static const struct server_route routes[] = {
	{"GET", "/load", on_load},
	{"PUT", "/standin/faults", on_faults},
	{"GET", "/standin/runs", on_runs},
	{"*", "/app/*", on_call},
};

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int0(
		"p", "port", "N", "port to listen on; 0 picks a free one");
	struct arg_file *port_file = arg_file0(NULL, "port-file", "FILE",
					       "file to write the port to");
	struct arg_end *end = arg_end(4);
	void *table[] = {port, port_file, end};
	static struct service service;
	struct server_options options = {0};
	struct server s;

	port->ival[0] = 0;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	options.port = port->ival[0];
	block_stop_signals();
	g_mutex_init(&service.lock);
	service.run_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (!server_start(&s, &options, routes, G_N_ELEMENTS(routes),
			  &service) ||
	    !server_write_port(&s, port_file->count ? port_file->filename[0]
						    : NULL))
		return 1;
	wait_for_stop_signal();
	_exit(0);
}
