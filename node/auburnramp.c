/*
 * The auburnramp program: command line, settings, start and graceful shutdown.
 */
#include <argtable2.h>
#include <curl/curl.h>
#include <errno.h>
#include <sodium.h>
#include <stdio.h>

#include "node/limits.h"
#include "node/peer-api.h"

#define DRAIN_POLL_MS 20
#define DRAIN_IDLE_MS 500 /* without requests before the port closes */

static const struct server_route routes[] = {
	{"POST", "/v1/chat/completions", on_chat},
	{"GET", "/v1/streams/:resume", on_resume},
	{"GET", "/v1/entries", on_entries},
	{"POST", "/v1/keys", on_keys},
	{"*", "/v1/services/:service/*", on_plain},
	{"POST", "/internal/targets/:target/v1/chat/completions", on_forward},
	{"GET", "/internal/changes", on_peer_changes},
	{"GET", "/internal/config", on_peer_config},
	{"GET", "/internal/instances", on_peer_instances},
	{"POST", "/internal/limits", on_peer_limits},
	{"GET", "/metrics", on_metrics},
	{"GET", "/ready", on_ready},
	{"GET", "/v1/resources/:kind", on_resource_list},
	{"GET", "/v1/resources/:kind/:name", on_resource_get},
	{"PUT", "/v1/resources/:kind/:name", on_resource_put},
	{"DELETE", "/v1/resources/:kind/:name", on_resource_delete},
	{"GET", "/v1/resources/:kind/:name/status", on_resource_status},
	{"GET", "/v1/changes", on_change_list},
	{"GET", "/v1/changes/:id", on_change_get},
	{"GET", "/v1/nodes", on_nodes},
	{"POST", "/v1/drain", on_drain},
};

static bool load_settings(const char *path, struct settings *s)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	bool ok = settings_load(path, s, errors);

	for (guint i = 0; i < errors->len; i++)
		fprintf(stderr, "%s\n", (char *)g_ptr_array_index(errors, i));
	g_ptr_array_unref(errors);
	return ok && log_set_level(s->log_level);
}

static bool listen_for_callers(struct node *n)
{
	struct server_options o = {
		.address = n->set.node_address,
		.port = (int)n->set.node_port,
		.connections = (unsigned)n->set.limits_connections,
		.idle_ms = n->set.limits_idle_ms,
		.header_bytes = (size_t)n->set.limits_headers,
		/*
		 * One byte more than allowed, so that request_begin sees a
		 * longer body.
		 */
		.body_bytes = (size_t)n->set.limits_body + 1,
	};

	if (!server_start(&n->server, &o, routes, G_N_ELEMENTS(routes), n)) {
		log_event(EV_LISTEN_FAILED, "address=%s port=%d error=\"%s\"",
			  o.address, o.port, g_strerror(errno));
		return false;
	}
	n->address = *n->set.node_advertise
			     ? g_strdup(n->set.node_advertise)
			     : g_strdup_printf("%s:%d", n->set.node_address,
					       n->server.port);
	return true;
}

/* Wait until no request has been in progress for idle_ms. */
static void wait_idle(struct node *n, int64_t idle_ms)
{
	int64_t since = time_mono_ms();

	while (time_mono_ms() - since < idle_ms) {
		g_usleep(DRAIN_POLL_MS * 1000);
		if (server_busy(&n->server) || atomic_load(&n->running))
			since = time_mono_ms();
	}
}

/*
 * Keep serving until no caller can hold a valid list of entries that names this
 * node; then close the port and finish the requests in progress.
 */
static void drain(struct node *n)
{
	int64_t announced_ms =
		n->set.entries_spread_ms + n->set.entries_valid_ms;

	atomic_store(&n->leaving, true);
	log_event(EV_NODE_STOPPING, "running=%d", atomic_load(&n->running));
	g_usleep((gulong)announced_ms * 1000);
	wait_idle(n, DRAIN_IDLE_MS);
	server_quiesce(&n->server);
	wait_idle(n, DRAIN_POLL_MS);
}

static int run(struct node *n, const char *port_file)
{
	GThread *control;

	if (!listen_for_callers(n) || !server_write_port(&n->server, port_file))
		return 1;
	control = g_thread_new("control", control_run, n);
	log_event(EV_NODE_STARTED, "name=%s zone=%s address=%s",
		  n->set.node_name, n->set.node_zone, n->address);
	wait_for_stop_signal();
	drain(n);
	atomic_store(&n->stop_control, true);
	g_thread_join(control);
	server_stop(&n->server);
	cancel_pool_drain(n->cancel_pool);
	log_event(EV_NODE_STOPPED, "name=%s", n->set.node_name);
	return 0;
}

int main(int argc, char **argv)
{
	struct arg_file *file =
		arg_file1("s", "settings", "FILE", "settings, in INI form");
	struct arg_lit *check = arg_lit0(NULL, "check", "check settings only");
	struct arg_file *port_file = arg_file0(NULL, "port-file", "FILE",
					       "write the port taken to FILE");
	struct arg_end *end = arg_end(8);
	void *table[] = {file, check, port_file, end};
	static struct node n;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		fprintf(stderr, "usage: %s", argv[0]);
		arg_print_syntax(stderr, table, "\n");
		return 2;
	}
	if (!load_settings(file->filename[0], &n.set)) {
		if (!check->count)
			log_event(EV_SETTINGS_INVALID, "file=%s",
				  file->filename[0]);
		return 2;
	}
	if (check->count)
		return 0;
	block_stop_signals();
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL)) {
		fprintf(stderr, "%s: can't initialise libsodium or libcurl\n",
			argv[0]);
		return 1;
	}
	n.resume_key = resume_key_load(n.set.node_secret_file);
	if (!n.resume_key || !peer_api_load_secret(&n.set)) {
		log_event(EV_SECRET_UNREADABLE, "file=%s",
			  n.set.node_secret_file);
		return 2;
	}
	n.cancel_pool = cancel_pool_new();
	g_mutex_init(&n.lock);
	n.target_events = g_async_queue_new();
	n.admission =
		admission_new(randombytes_random(), n.set.loads_target_work);
	n.health = health_new(randombytes_random());
	n.crash_causes = chat_faults_new();
	n.limits = limits_new(randombytes_random());
	n.limit_pools = limit_pools_new();
	return run(&n, port_file->count ? port_file->filename[0] : NULL);
}
