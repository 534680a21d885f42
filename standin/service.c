/*
 * Stand-in for a plain service, some of whose calls may not be repeated.
 * Every path answers with what it was sent; POSTs are counted by key.
 */
#include <argtable2.h>
#include <stdio.h>
#include <unistd.h>

#include "standin/standin.h"

#define SILENCE_MS 30000

struct service {
	GMutex lock;
	GHashTable *runs; /* Idempotency-Key -> number of times it ran */
	int64_t count;
	int64_t lose;   /* next calls run, but their answer is lost */
	int64_t silent; /* next calls run and are never answered */
	int64_t slow_ms;
	bool down;
};

static bool take(int64_t *count)
{
	if (*count <= 0)
		return false;
	(*count)--;
	return true;
}

static int on_call(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct service *s = ctx;
	const char *key = u_map_get_case(q->map_header, "Idempotency-Key");
	const char *id = u_map_get_case(q->map_header, "Request-Id");
	bool lose, silent;
	int64_t n;

	g_mutex_lock(&s->lock);
	if (s->down) {
		g_mutex_unlock(&s->lock);
		return answer_json(r, 503, json_pack("{s:s}", "error", "down"));
	}
	n = ++s->count;
	if (key) {
		gpointer old = g_hash_table_lookup(s->runs, key);

		g_hash_table_replace(s->runs, g_strdup(key),
				     GINT_TO_POINTER(GPOINTER_TO_INT(old) + 1));
	}
	lose = take(&s->lose);
	silent = take(&s->silent);
	g_mutex_unlock(&s->lock);
	if (s->slow_ms)
		g_usleep((gulong)s->slow_ms * 1000);
	if (silent)
		g_usleep((gulong)SILENCE_MS * 1000);
	if (lose)
		return answer_lost(r);
	if (id)
		u_map_put(r->map_header, "Request-Id", id);
	return answer_json(
		r, 200,
		json_pack("{s:I,s:s,s:s,s:s%}", "number", n, "method",
			  q->http_verb, "path", q->url_path, "body",
			  q->binary_body_length ? q->binary_body : "",
			  q->binary_body_length));
}

static int on_load(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct service *s = ctx;

	(void)q;
	return s->down ? answer_json(r, 503, json_object())
		       : answer_json(r, 200,
				     json_pack("{s:i,s:i,s:i}", "running", 0,
					       "queued", 0, "work_tokens", 0));
}

static int on_faults(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct service *s = ctx;
	json_t *body = ulfius_get_json_body_request(q, NULL);
	int64_t lose = 0, silent = 0, slow_ms = 0;
	int down = 0;
	int bad = json_unpack(body, "{s?I,s?I,s?I,s?b !}", "lose", &lose,
			      "silent", &silent, "slow_ms", &slow_ms, "down",
			      &down);

	json_decref(body);
	if (bad)
		return answer_json(r, 400,
				   json_pack("{s:s}", "error", "unknown"));
	g_mutex_lock(&s->lock);
	s->lose = lose;
	s->silent = silent;
	s->slow_ms = slow_ms;
	s->down = down;
	g_mutex_unlock(&s->lock);
	return answer_json(r, 200, json_object());
}

static int on_runs(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct service *s = ctx;
	json_t *runs = json_object();
	GHashTableIter it;
	gpointer key, n;

	(void)q;
	g_mutex_lock(&s->lock);
	g_hash_table_iter_init(&it, s->runs);
	while (g_hash_table_iter_next(&it, &key, &n))
		json_object_set_new(runs, key,
				    json_integer(GPOINTER_TO_INT(n)));
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
	struct arg_int *port = arg_int0("p", "port", "N", "port; 0 is free");
	struct arg_file *file = arg_file0(NULL, "port-file", "F", "for N");
	struct arg_end *end = arg_end(4);
	void *table[] = {port, file, end};
	static struct service sv;
	struct server_options options = {0};
	struct server s;

	port->ival[0] = 0;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	options.port = port->ival[0];
	block_stop_signals();
	g_mutex_init(&sv.lock);
	sv.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (!server_start(&s, &options, routes, G_N_ELEMENTS(routes), &sv) ||
	    !server_write_port(&s, file->count ? file->filename[0] : NULL))
		return 1;
	wait_for_stop();
	_exit(0);
}
