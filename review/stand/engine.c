/* Engines, and the manifest that leads to them. */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "internal.h"

#define SLOTS           64
#define CONNECTIONS_MAX 360

static void note(struct engine *e, GHashTable *ids, const char *id)
{
	g_mutex_lock(&e->lock);
	g_hash_table_add(ids, g_strdup(id));
	g_mutex_unlock(&e->lock);
}

static void serve(struct conn *c, void *ctx)
{
	struct engine_call call = {.engine = ctx, .conn = c};
	bool keep = true;

	while (keep && conn_read_head(c, &call.request, INT64_MAX)) {
		call.id =
			message_header(&call.request, "Auburnramp-Attempt-Id");
		if (!call.id)
			break;
		note(call.engine, call.engine->reached, call.id);
		keep = call.engine->serve(&call);
		g_free(call.id);
	}
	message_clear(&call.request);
}

struct engine *engine_start(struct store *s, const char *service,
			    const char *version, engine_fn *fn)
{
	struct engine *e = g_new0(struct engine, 1);
	char *address;

	e->name = g_strdup_printf("i-%08x", g_random_int());
	e->service = service;
	e->version = version;
	e->serve = fn;
	e->reached =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->listener = listen_free(&e->port);
	serve_connections(e->listener, serve, e);
	address = g_strdup_printf("127.0.0.1:%d", e->port);
	store_put(s, "servers", e->name,
		  json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}",
			    "Service", service, "Address", address, "Zone",
			    "zone-a", "Version", version, "Slots", SLOTS,
			    "State", "ready", "WarmupLeftMs", 0, "Sequence", 1,
			    "born", (json_int_t)time(NULL) * 1000));
	g_free(address);
	return e;
}

bool engine_run(struct engine_call *call)
{
	struct engine *e = call->engine;
	char *expected, *text;
	bool mine;

	if (!conn_read_body(call->conn, &call->request, INT64_MAX))
		return false;
	expected =
		message_header(&call->request, "Auburnramp-Expected-Instance");
	mine = !expected || !strcmp(expected, e->name);
	g_free(expected);
	if (mine) {
		note(e, e->ran, call->id);
		record("engine %s of %s %s: runs %s", e->name, e->service,
		       e->version, call->id);
		return true;
	}
	text = g_strdup_printf("HTTP/1.1 421 Misdirected Request\r\n"
			       "Auburnramp-Attempt-Id: %s\r\n"
			       "Auburnramp-Not-Executed: 1\r\n"
			       "Content-Length: 0\r\n\r\n",
			       call->id);
	conn_send(call->conn, text, strlen(text));
	g_free(text);
	return false;
}

bool engine_answer(struct engine_call *call, size_t n)
{
	GString *s = g_string_new(NULL);
	bool ok;

	g_string_printf(s,
			"HTTP/1.1 200 OK\r\nAuburnramp-Attempt-Id: %s\r\n"
			"Auburnramp-Response-Signature: sig.%s\r\n"
			"Content-Length: %zu\r\n\r\n",
			call->id, call->id, n);
	for (size_t i = 0; i < n; i++)
		g_string_append_c(s, 'a');
	ok = conn_send(call->conn, s->str, s->len);
	g_string_free(s, TRUE);
	return ok;
}

bool engine_stream(struct engine_call *call, int n, int64_t gap_ms)
{
	char *last = message_header(&call->request, "Last-Event-Id");
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n"
				     "Auburnramp-Attempt-Id: %s\r\n"
				     "Auburnramp-Response-Signature: sig.%s\r\n"
				     "Content-Type: text/event-stream\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n",
				     call->id, call->id);
	bool ok = conn_send(call->conn, text, strlen(text));

	for (int i = last ? (int)strtol(last, NULL, 10) + 1 : 1; ok && i <= n;
	     i++) {
		char *event = g_strdup_printf("id: %d\ndata: %s\n\n", i,
					      call->engine->version);

		g_free(text);
		text = g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);
		g_free(event);
		sleep_ms(gap_ms);
		ok = conn_send(call->conn, text, strlen(text));
	}
	g_free(text);
	g_free(last);
	return ok && conn_send(call->conn, "0\r\n\r\n", 5);
}

bool engines_got(struct engine **v, size_t n, const char *id)
{
	bool found = false;

	for (size_t i = 0; i < n && !found; i++) {
		g_mutex_lock(&v[i]->lock);
		found = g_hash_table_contains(v[i]->reached, id);
		g_mutex_unlock(&v[i]->lock);
	}
	return found;
}

bool engines_ran(struct engine **v, size_t n, const char *id)
{
	bool found = false;

	for (size_t i = 0; i < n && !found; i++) {
		g_mutex_lock(&v[i]->lock);
		found = g_hash_table_contains(v[i]->ran, id);
		g_mutex_unlock(&v[i]->lock);
	}
	return found;
}

static json_t *model_service(const char *name)
{
	return json_pack("{s:s, s:s, s:i, s:s, s:b, s:{s:i, s:i, s:i, s:f}}",
			 "Name", name, "HealthPath", "/healthz",
			 "MaxConnections", CONNECTIONS_MAX, "Protocol", "h1",
			 "Tls", 0, "Engine", "Slots", SLOTS, "KvCapacity",
			 659175, "KvTokenBytes", 18432, "BandwidthMbps",
			 550000.0);
}

static json_t *chat_route(const char *path, const char *service)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:s, s:i,"
			 " s:b, s:b, s:b}",
			 "Name", service, "Host", HOST, "PathPrefix", path,
			 "RouteType", "streaming", "TimeoutMs", 15000,
			 "TargetLatencyMs", 800, "TargetItlMs", 400, "Priority",
			 0, "Service", service, "MaxAttempts", 2, "Public", 0,
			 "StreamResume", 1, "SessionAffinity", 1);
}

void manifest_write(struct store *s, const struct manifest *m)
{
	manifest_write_for(s, m,
			   json_pack("[{s:s, s:[s], s:i}]", "Name", "t1",
				     "ApiKeys", KEY, "Priority", 1));
}

void manifest_write_for(struct store *s, const struct manifest *m,
			json_t *tenants)
{
	json_t *route = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b}", "Name",
		"r-app", "Host", HOST, "PathPrefix", "/app/", "RouteType",
		"unsafe", "TimeoutMs", m->timeout_ms, "TargetLatencyMs", 100,
		"Priority", 2, "Service", "app", "MaxAttempts", 1, "Public", 0);
	json_t *app = json_pack("{s:s, s:s, s:i, s:s, s:b}", "Name", "app",
				"HealthPath", "/healthz", "MaxConnections",
				CONNECTIONS_MAX, "Protocol", "h1", "Tls", 0);
	json_t *limits =
		json_pack("{s:i, s:i, s:i, s:i}", "MaxHeaderBytes",
			  m->header_bytes, "MaxBodyBytes", 4194304,
			  "HeaderTimeoutMs", 3000, "IdleTimeoutMs", 15000);
	json_t *routes = json_pack("[o]", route);
	json_t *services = json_pack("[o]", app);

	for (int i = 0; i < m->models; i++) {
		char *path = g_strdup_printf("/chat/%d/", i);
		char *name = g_strdup_printf("model-%d", i);

		json_array_append_new(routes, chat_route(path, name));
		json_array_append_new(services, model_service(name));
		g_free(path);
		g_free(name);
	}
	record("operator: version %d, MaxHeaderBytes %d, MaxBodyBytes 4194304,"
	       " IdleTimeoutMs 15000, TimeoutMs of /app/ %d, %d tenants",
	       m->version, m->header_bytes, m->timeout_ms,
	       (int)json_array_size(tenants));
	store_put(s, "op", "config",
		  json_pack("{s:i, s:o, s:o, s:o, s:o}", "Version", m->version,
			    "Routes", routes, "Services", services, "Limits",
			    limits, "Tenants", tenants));
}
