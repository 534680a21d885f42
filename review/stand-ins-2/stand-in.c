/* The store, engines, entries and requesters of the cases. See stand-in.h. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "stand-in.h"

#define PROGRAM  "target/bin/rampentry"
#define TEMPLATE "deploy/entry.conf.in"
/* Offsets of an entry's ports from the first one. */
#define PORT_CALLERS  0
#define PORT_READY    1
#define PORT_ENTRIES  2
#define PORT_PEERS    3 /* and the next one */
#define PORT_METRICS  19464
#define MEMORY_MB     260
#define FILES_MAX     4100
#define RESTART_MS    500
#define READY_MAX_MS  20000
#define HEARTBEAT_MS  1200
#define REQUEST_MAX   65536
#define STORE_FEED_MS 20

struct row {
	char *value; /* base64 */
	json_int_t revision;
};

struct entry {
	pid_t pid; /* 0: does not run */
	int kills; /* for its memory */
	int most_mb;
	char ip[48];
	char *settings;
};

static struct {
	int64_t began_us;
	FILE *record;
	char *folder;     /* temporary */
	GMutex lock;      /* guards what follows */
	GHashTable *rows; /* "table/key" -> struct row */
	json_int_t revision;
	/* What a copy has of them. */
	GHashTable *copied_rows;
	json_int_t copied_revision;
	int era;   /* Store-Era */
	bool away; /* the store is */
	struct engine engines[ENGINES_MAX];
	size_t engine_count;
	struct entry entries[ENTRIES_MAX];
	size_t entry_count;
	int store_port, first_port;
	bool relayed;    /* see start_relay */
	GList *channels; /* struct channel, those open in the relay */
	atomic_int ids;
	atomic_int_least64_t silent_until_us; /* see silence_engines */
	atomic_bool stopping;
} s;

static void write_line(const char *fmt, va_list ap)
{
	char *text = g_strdup_vprintf(fmt, ap);

	g_mutex_lock(&s.lock);
	fprintf(s.record, "%6d %s\n",
		(int)((g_get_monotonic_time() - s.began_us) / 1000), text);
	fflush(s.record);
	g_mutex_unlock(&s.lock);
	g_free(text);
}

void record(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	write_line(fmt, ap);
	va_end(ap);
}

void give_up(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	write_line(fmt, ap);
	va_end(ap);
	stop_entries();
	exit(2);
}

bool has_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

/* Connections. */

static int listen_any(int *port)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof(at)) < 0 ||
	    listen(fd, 256) < 0 ||
	    getsockname(fd, (struct sockaddr *)&at, &len) < 0)
		give_up("cannot listen: %s", g_strerror(errno));
	*port = ntohs(at.sin_port);
	return fd;
}

bool send_bytes(int fd, const char *p, size_t n)
{
	while (n) {
		ssize_t sent = send(fd, p, n, MSG_NOSIGNAL);

		if (sent < 0)
			return false;
		p += sent;
		n -= (size_t)sent;
	}
	return true;
}

bool send_text(int fd, const char *fmt, ...)
{
	va_list ap;
	char *text;
	bool ok;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	ok = send_bytes(fd, text, strlen(text));
	g_free(text);
	return ok;
}

/* Read a head and a body with a length; NULL when the connection ends. */
static char *read_message(int fd)
{
	GString *text = g_string_new(NULL);
	char p[4096];

	while (text->len < REQUEST_MAX) {
		char *end = strstr(text->str, "\r\n\r\n");
		char *length = strcasestr(text->str, "\r\nContent-Length:");
		ssize_t n;

		if (end && (!length || length > end ||
			    (end + 4 - text->str) + atol(length + 17) <=
				    (long)text->len))
			return g_string_free(text, FALSE);
		n = recv(fd, p, sizeof(p), 0);
		if (n <= 0)
			break;
		g_string_append_len(text, p, n);
	}
	g_string_free(text, TRUE);
	return NULL;
}

/*
 * Read a head, and a body with a length, which is dropped; the engine may fall
 * silent. NULL when the connection ends.
 */
static char *read_upload(int fd)
{
	GString *text = g_string_new(NULL);
	char *end = NULL, *length, p[16384];
	int64_t missing = 1;

	while (missing > 0) {
		ssize_t n;

		while (g_get_monotonic_time() < atomic_load(&s.silent_until_us))
			g_usleep(5000);
		n = recv(fd, p, sizeof(p), 0);
		if (n <= 0 || text->len > REQUEST_MAX) {
			g_string_free(text, TRUE);
			return NULL;
		}
		if (end) {
			missing -= n;
			continue;
		}
		g_string_append_len(text, p, n);
		end = strstr(text->str, "\r\n\r\n");
		if (!end)
			continue;
		length = strcasestr(text->str, "\r\nContent-Length:");
		missing = (length && length < end ? atol(length + 17) : 0) -
			  (int64_t)(text->len - (gsize)(end + 4 - text->str));
	}
	return g_string_free(text, FALSE);
}

void silence_engines(int ms)
{
	atomic_store(&s.silent_until_us,
		     g_get_monotonic_time() + (int64_t)ms * 1000);
}

/* Copy the value of a header; NULL: the message has none. */
static char *copy_header(const char *message, const char *name)
{
	char *line = g_strdup_printf("\r\n%s:", name);
	const char *p = strcasestr(message, line);
	char *value = NULL;

	if (p) {
		p += strlen(line);
		value = g_strstrip(g_strndup(p, strcspn(p, "\r")));
	}
	g_free(line);
	return value;
}

/* The store. Keys have no characters that a query escapes. */

static char *copy_query(const char *path, const char *name)
{
	char *field = g_strdup_printf("%s=", name);
	const char *p = strstr(path, field);
	char *value = p ? g_strndup(p + strlen(field),
				    strcspn(p + strlen(field), "& "))
			: g_strdup("");
	char *plain = g_uri_unescape_string(value, NULL);

	g_free(field);
	g_free(value);
	return plain ? plain : g_strdup("");
}

static json_t *row_json(const char *name, const struct row *row)
{
	const char *slash = strchr(name, '/');

	return json_pack("{s:s%, s:s, s:s, s:s, s:I}", "TableName", name,
			 (size_t)(slash - name), "part", "", "Key", slash + 1,
			 "Value", row->value, "RowVersion", row->revision);
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* List the rows of a table from a key on that are newer than a revision. */
static json_t *list_rows(const char *table, const char *from, json_int_t since)
{
	char *first = g_strdup_printf("%s/%s", table, from);
	char *prefix = g_strdup_printf("%s/", table);
	GPtrArray *names = g_ptr_array_new();
	json_t *list = json_array();
	GHashTableIter it;
	gpointer name, v;

	g_hash_table_iter_init(&it, s.rows);
	while (g_hash_table_iter_next(&it, &name, &v)) {
		const struct row *row = v;

		if (g_str_has_prefix(name, prefix) &&
		    strcmp(name, first) >= 0 && row->revision > since)
			g_ptr_array_add(names, name);
	}
	g_ptr_array_sort(names, compare_names);
	for (guint i = 0; i < names->len; i++) {
		name = g_ptr_array_index(names, i);
		json_array_append_new(
			list,
			row_json(name, g_hash_table_lookup(s.rows, name)));
	}
	g_ptr_array_unref(names);
	g_free(prefix);
	g_free(first);
	return list;
}

static void set_row(const char *table, const char *key, const char *value)
{
	char *name = g_strdup_printf("%s/%s", table, key);
	struct row *row = g_hash_table_lookup(s.rows, name);

	if (!row) {
		row = g_new0(struct row, 1);
		g_hash_table_insert(s.rows, g_strdup(name), row);
	}
	g_free(name);
	g_free(row->value);
	row->value = g_strdup(value);
	row->revision = s.revision;
}

static const char *text_of(const json_t *j, const char *name)
{
	const char *text = json_string_value(json_object_get(j, name));

	return text ? text : "";
}

/* Whether all rows have the versions that a transaction expects. */
static bool are_as_expected(const json_t *expected)
{
	const json_t *e;
	size_t i;

	json_array_foreach (expected, i, e) {
		char *name = g_strdup_printf("%s/%s", text_of(e, "TableName"),
					     text_of(e, "Key"));
		const struct row *row = g_hash_table_lookup(s.rows, name);
		json_int_t want =
			json_integer_value(json_object_get(e, "RowVersion"));

		g_free(name);
		if ((row ? row->revision : 0) != want)
			return false;
	}
	return true;
}

/* Perform a transaction; return the status. */
static int write_rows(const json_t *tx, json_t **rows)
{
	const json_t *expected = json_object_get(tx, "ExpectedRevision");
	const json_t *writes = json_object_get(tx, "Write"), *w;
	size_t i;

	if (!are_as_expected(expected)) {
		*rows = list_rows(
			text_of(json_array_get(expected, 0), "TableName"), "",
			0);
		return 412;
	}
	s.revision++;
	json_array_foreach (writes, i, w)
		set_row(text_of(w, "TableName"), text_of(w, "Key"),
			text_of(w, "Value"));
	return 200;
}

/* Wait until a table has rows that are newer than a revision. */
static json_t *await_rows(const char *table, json_int_t since, int wait_ms,
			  int era)
{
	int64_t end_us = g_get_monotonic_time() + (int64_t)wait_ms * 1000;
	json_t *rows;
	bool ended;

	while (true) {
		g_mutex_lock(&s.lock);
		rows = list_rows(table, "", since);
		ended = s.away || s.era != era || since > s.revision ||
			g_get_monotonic_time() >= end_us;
		g_mutex_unlock(&s.lock);
		if (json_array_size(rows) || ended)
			return rows;
		json_decref(rows);
		g_usleep(STORE_FEED_MS * 1000);
	}
}

static void answer_call(int fd, const char *call)
{
	char *table = copy_query(call, "TableName");
	char *from = copy_query(call, "Source");
	char *since = copy_query(call, "SinceRevision");
	char *wait = copy_query(call, "WaitMs");
	json_t *rows = NULL, *tx = NULL, *body;
	int status = 200, era;
	char *text;

	g_mutex_lock(&s.lock);
	era = s.era;
	if (strstr(call, "/rows-feed?")) {
		g_mutex_unlock(&s.lock);
		rows = await_rows(table, atoll(since), atoi(wait), era);
		g_mutex_lock(&s.lock);
		/* A version that the store doesn't have. */
		if (atoll(since) > s.revision)
			status = 410;
	} else if (strstr(call, "/rows-get?")) {
		rows = list_rows(table, from, 0);
	} else if (!s.away) {
		tx = json_loads(strstr(call, "\r\n\r\n") + 4, 0, NULL);
		status = write_rows(tx, &rows);
	}
	if (s.away || s.era != era)
		status = 503;
	era = s.era;
	body = json_pack("{s:o, s:b, s:I, s:I}", "Rows",
			 rows ? rows : json_array(), "HasMore", 0, "RowVersion",
			 s.revision, "NowMs",
			 (json_int_t)(g_get_monotonic_time() / 1000));
	g_mutex_unlock(&s.lock);
	text = json_dumps(body, JSON_COMPACT);
	send_text(fd,
		  "HTTP/1.1 %d X\r\nStore-Era: %d\r\n"
		  "Content-Type: application/json\r\n"
		  "Content-Length: %zu\r\n\r\n%s",
		  status, era, strlen(text), text);
	free(text);
	json_decref(body);
	json_decref(tx);
	g_free(table);
	g_free(from);
	g_free(since);
	g_free(wait);
}

static void *serve_store(void *p)
{
	int fd = GPOINTER_TO_INT(p);
	char *call;

	while ((call = read_message(fd))) {
		answer_call(fd, call);
		g_free(call);
	}
	close(fd);
	return NULL;
}

static void *accept_store(void *p)
{
	int listener = GPOINTER_TO_INT(p), fd;

	while ((fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
		g_thread_unref(g_thread_new("store", serve_store,
					    GINT_TO_POINTER(fd)));
	return NULL;
}

static void write_row(const char *table, const char *key, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	char *encoded = g_base64_encode((guchar *)text, strlen(text));

	g_mutex_lock(&s.lock);
	/* Engines write again; the operator only writes while it is there. */
	if (!s.away) {
		s.revision++;
		set_row(table, key, encoded);
	}
	g_mutex_unlock(&s.lock);
	g_free(encoded);
	free(text);
	json_decref(value);
}

static GHashTable *copy_rows(GHashTable *from)
{
	GHashTable *to = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer name, v;

	g_hash_table_iter_init(&it, from);
	while (g_hash_table_iter_next(&it, &name, &v)) {
		struct row *row = g_memdup2(v, sizeof(*row));

		row->value = g_strdup(row->value);
		g_hash_table_insert(to, g_strdup(name), row);
	}
	return to;
}

void copy_store(void)
{
	g_mutex_lock(&s.lock);
	s.copied_rows = copy_rows(s.rows);
	s.copied_revision = s.revision;
	g_mutex_unlock(&s.lock);
	record("the store is copied");
}

void restore_copy(int away_ms)
{
	record("the store is away for %d ms", away_ms);
	g_mutex_lock(&s.lock);
	s.away = true;
	g_mutex_unlock(&s.lock);
	g_usleep((gulong)away_ms * 1000);
	g_mutex_lock(&s.lock);
	s.rows = copy_rows(s.copied_rows);
	s.revision = s.copied_revision;
	s.era++;
	s.away = false;
	g_mutex_unlock(&s.lock);
	record("the store is back from the copy");
}

static void remove_folder(void)
{
	for (size_t i = 0; i < s.entry_count; i++) {
		char *log = g_strconcat(s.entries[i].settings, ".log", NULL);

		unlink(s.entries[i].settings);
		unlink(log);
		g_free(log);
	}
	rmdir(s.folder);
}

void stand_ins_start(const char *folder)
{
	char *path = g_build_filename(folder, "record.txt", NULL);
	int listener;

	s.began_us = g_get_monotonic_time();
	s.record = fopen(path, "w");
	g_free(path);
	s.folder = g_dir_make_tmp("review-XXXXXX", NULL);
	if (!s.record || !s.folder)
		exit(2);
	s.rows = g_hash_table_new(g_str_hash, g_str_equal);
	listener = listen_any(&s.store_port);
	g_thread_unref(
		g_thread_new("store", accept_store, GINT_TO_POINTER(listener)));
	s.era = 1;
	write_manifest(1, NULL, NULL);
}

/* Return a tenant, with its key unless that is NULL. */
static json_t *tenant_json(const char *name, const char *key)
{
	json_t *keys = json_array();

	if (key)
		json_array_append_new(keys, json_string(key));
	return json_pack("{s:s, s:o}", "Name", name, "ApiKeys", keys);
}

void write_manifest(int version, const char *key, const char *second_key)
{
	json_t *manifest;
	json_t *safe = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, "
		"s:i}",
		"Name", "safe", "Host", "a.example", "PathPrefix", "/safe/",
		"RouteType", "safe", "Service", "pool", "MaxAttempts", 2,
		"TimeoutMs", 1500, "TargetLatencyMs", 100, "Priority", 1);
	json_t *stream = json_pack(
		"{s:s, s:s, s:s, s:s, s:b, s:s, s:i, s:i, s:i, s:i, s:i, s:b}",
		"Name", "stream", "Host", "a.example", "PathPrefix", "/stream/",
		"RouteType", "streaming", "StreamResume", 1, "Service", "pool",
		"MaxAttempts", 2, "TimeoutMs", 15000, "TargetLatencyMs", 800,
		"TargetItlMs", 400, "Priority", 0, "SessionAffinity", 1);
	json_t *service = json_pack(
		"{s:s, s:s, s:i, s:{s:i, s:i}}", "Name", "pool", "HealthPath",
		"/healthz", "MaxConnections", 360, "Engine", "KvTokenBytes",
		18432, "BandwidthMbps", 550000);
	json_t *limits = json_pack(
		"{s:i, s:i, s:i, s:i}", "MaxHeaderBytes", 16384, "MaxBodyBytes",
		4194304, "HeaderTimeoutMs", 3000, "IdleTimeoutMs", 15000);

	manifest = json_pack("{s:i, s:[o, o], s:[o], s:o}", "Version", version,
			     "Routes", safe, stream, "Services", service,
			     "Limits", limits);
	if (key)
		json_object_set_new(
			manifest, "Tenants",
			json_pack("[o, o]", tenant_json("tenant-1", key),
				  tenant_json("tenant-2", second_key)));
	write_row("op", "config", manifest);
	record("the operator writes version %d, %s", version,
	       second_key ? "with both keys"
	       : key      ? "without the second key"
			  : "without tenants");
}

/* Engines. */

struct engine_connection {
	struct engine *engine;
	int fd;
};

static void *serve_engine(void *p)
{
	struct engine_connection *c = p;
	bool keep = true;
	char *message;

	while (keep && (message = read_upload(c->fd))) {
		struct engine_request r = {.engine = c->engine, .fd = c->fd};
		char *after = copy_header(message, "Last-Event-Id");
		char *expected =
			copy_header(message, "Auburnramp-Expected-Instance");
		char *path = strchr(message, ' ');

		r.id = copy_header(message, "Auburnramp-Attempt-Id");
		r.path = path ? g_strndup(path + 1, strcspn(path + 1, " "))
			      : g_strdup("");
		r.last_event = after ? atoi(after) : 0;
		if (r.id && expected && !strcmp(expected, c->engine->name)) {
			record("%s (%s) runs %s after=%d", c->engine->name,
			       c->engine->version, r.id, r.last_event);
			keep = c->engine->answer(&r);
		} else {
			keep = send_text(c->fd,
					 "HTTP/1.1 421 X\r\n"
					 "Auburnramp-Not-Executed: 1\r\n"
					 "Auburnramp-Attempt-Id: %s\r\n"
					 "Content-Length: 0\r\n\r\n",
					 r.id ? r.id : "");
		}
		g_free(after);
		g_free(expected);
		g_free(r.id);
		g_free(r.path);
		g_free(message);
	}
	close(c->fd);
	g_free(c);
	return NULL;
}

static void *accept_engine(void *p)
{
	struct engine *e = p;
	int fd;

	while ((fd = accept4(e->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		struct engine_connection *c =
			g_new0(struct engine_connection, 1);

		c->engine = e;
		c->fd = fd;
		g_thread_unref(g_thread_new("engine", serve_engine, c));
	}
	return NULL;
}

/* Write the engine's row again and again, as a sound engine does. */
static void *report_engine(void *p)
{
	const struct engine *e = p;

	for (int sequence = 1;; sequence++) {
		char *address = g_strdup_printf("127.0.0.1:%d", e->port);

		write_row("servers", e->name,
			  json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i}",
				    "Service", "pool", "Address", address,
				    "Zone", "zone-a", "Version", e->version,
				    "Slots", 64, "State", "ready",
				    "WarmupLeftMs", 0, "Sequence", sequence));
		g_free(address);
		g_usleep(HEARTBEAT_MS * 1000);
	}
	return NULL;
}

struct engine *start_engine(const char *version, engine_fn *answer)
{
	struct engine *e = &s.engines[s.engine_count];

	snprintf(e->name, sizeof(e->name), "i-%02d", (int)s.engine_count++);
	e->version = version;
	e->answer = answer;
	e->listener = listen_any(&e->port);
	g_thread_unref(g_thread_new("engine", accept_engine, e));
	g_thread_unref(g_thread_new("engine", report_engine, e));
	return e;
}

bool send_stream_head(const struct engine_request *r, const char *more)
{
	return send_text(r->fd,
			 "HTTP/1.1 200 OK\r\nAuburnramp-Attempt-Id: %s\r\n"
			 "Auburnramp-Response-Signature: %s.%s\r\n"
			 "Content-Type: text/event-stream\r\n%s"
			 "Transfer-Encoding: chunked\r\n\r\n",
			 r->id, r->engine->name, r->id, more);
}

bool send_event(const struct engine_request *r, int number)
{
	char event[128];
	int n = snprintf(event, sizeof(event), "id: %d\ndata: %-44s\n\n",
			 number, r->engine->version);

	return send_text(r->fd, "%x\r\n%s\r\n", (unsigned)n, event);
}

bool send_stream_end(const struct engine_request *r)
{
	return send_text(r->fd, "0\r\n\r\n");
}

bool send_answer(const struct engine_request *r, const char *body)
{
	return send_text(r->fd,
			 "HTTP/1.1 200 OK\r\nAuburnramp-Attempt-Id: %s\r\n"
			 "Auburnramp-Response-Signature: %s.%s\r\n"
			 "Content-Length: %zu\r\n\r\n%s",
			 r->id, r->engine->name, r->id, strlen(body), body);
}

/* Entries. */

static bool is_free(const char *ip, int type, int port)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, type, 0);
	bool ok;

	inet_pton(AF_INET, ip, &at.sin_addr);
	ok = fd >= 0 && !bind(fd, (struct sockaddr *)&at, sizeof(at));
	close(fd);
	return ok;
}

/* Whether the entries can have the ports from the first one on. */
static bool are_free(int first)
{
	for (size_t i = 0; i < s.entry_count; i++) {
		const char *ip = s.entries[i].ip;

		for (int port = first; port < first + 5; port++)
			if (!is_free(ip, SOCK_STREAM, port) ||
			    !is_free(ip, SOCK_DGRAM, port))
				return false;
		if (!is_free(ip, SOCK_STREAM, PORT_METRICS))
			return false;
	}
	return true;
}

/* Replace the placeholders of the template that have a value. */
static char *fill_template(size_t i)
{
	const struct entry *e = &s.entries[i];
	int first = s.first_port;
	GString *text = g_string_new(NULL);
	GString *seeds = g_string_new(NULL);
	char *template = NULL;

	if (!g_file_get_contents(TEMPLATE, &template, NULL, NULL))
		give_up("cannot read %s", TEMPLATE);
	g_string_append(text, template);
	g_free(template);
	for (size_t k = 0; k < MIN(s.entry_count, 3); k++)
		g_string_append_printf(seeds, "%s%s:%d", k ? "," : "",
				       s.entries[k].ip, first + PORT_PEERS);
	{
		char *values[][2] = {
			{"{{NodeName}}",
			 g_strdup_printf("edge-zone-a-%d", (int)i + 1)},
			{"{{Ip}}", g_strdup(e->ip)},
			{"{{Zone}}", g_strdup("zone-a")},
			{"{{Region}}", g_strdup("region")},
			{"{{Bootstrap}}", g_strdup("true")},
			{"{{Listen.Frontend}}",
			 g_strdup_printf("%s:%d", e->ip, first + PORT_CALLERS)},
			{"{{Listen.Ready}}",
			 g_strdup_printf("%s:%d", e->ip, first + PORT_READY)},
			{"{{Listen.Registry}}",
			 g_strdup_printf("%s:%d", e->ip, first + PORT_ENTRIES)},
			{"{{EphemeralPorts.0}}",
			 g_strdup_printf("%d", first + PORT_PEERS)},
			{"{{SeedNodes}}", g_strdup(seeds->str)},
			{"{{Platform.Address}}",
			 g_strdup_printf("127.0.0.1:%d", s.store_port)},
			/* The bounds of the sheet of ferreyra-campo. */
			{"{{Limits.MemoryMb}}", g_strdup("260")},
			{"{{Limits.MaxFds}}", g_strdup("4100")},
			{"{{Bounds.DrainMs}}", g_strdup("2000")},
			{"{{Bounds.ContactMs}}", g_strdup("3000")},
			{"{{Bounds.GraceS}}", g_strdup("8")},
			{"{{Bounds.ConfigApplyMs}}", g_strdup("2000")},
			{"{{Bounds.RevokeMs}}", g_strdup("5000")},
			{"{{Bounds.RetryBudgetRatio}}", g_strdup("0.2")},
			{"{{Bounds.RetryWindowS}}", g_strdup("10")},
			{"{{Bounds.RetryAllowance}}", g_strdup("52")},
			{"{{Bounds.CapacityFactor}}", g_strdup("2")},
			{"{{Bounds.ttl_max_s}}", g_strdup("5")},
			{"{{Bounds.WarmupOvershoot}}", g_strdup("")},
			{"{{Bounds.WarmupAllowance}}", g_strdup("")},
		};

		for (size_t k = 0; k < G_N_ELEMENTS(values); k++) {
			g_string_replace(text, values[k][0], values[k][1], 0);
			g_free(values[k][1]);
		}
	}
	g_string_free(seeds, TRUE);
	return g_string_free(text, FALSE);
}

/* Run the command of the deploy file with the entry's settings. */
static void start_entry(struct entry *e)
{
	char *log = g_strconcat(e->settings, ".log", NULL);
	pid_t parent = getpid();

	e->pid = fork();
	if (e->pid < 0)
		give_up("cannot fork");
	if (!e->pid) {
		struct rlimit files = {FILES_MAX, FILES_MAX};
		int fd = open(log, O_WRONLY | O_CREAT | O_TRUNC, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		setrlimit(RLIMIT_NOFILE, &files);
		if (fd < 0 || getppid() != parent)
			_exit(2);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execl(PROGRAM, PROGRAM, "--settings", e->settings,
		      (char *)NULL);
		_exit(2);
	}
	g_free(log);
}

void start_entries(size_t n)
{
	s.entry_count = n;
	for (size_t i = 0; i < n; i++)
		snprintf(s.entries[i].ip, sizeof(s.entries[i].ip),
			 "127.%d.%d.%d", 20 + getpid() / 250 % 200,
			 1 + getpid() % 250, (int)i + 1);
	for (int tries = 0; !s.first_port && tries < 1000; tries++) {
		int first = g_random_int_range(10000, 18000);

		if (are_free(first))
			s.first_port = first;
	}
	if (!s.first_port)
		give_up("no free ports");
	for (size_t i = 0; i < n; i++) {
		struct entry *e = &s.entries[i];
		char *text = fill_template(i);

		e->settings = g_strdup_printf("%s/%d.conf", s.folder, (int)i);
		if (!g_file_set_contents(e->settings, text, -1, NULL))
			give_up("cannot write settings");
		g_free(text);
	}
	for (size_t i = 0; i < n; i++)
		start_entry(&s.entries[i]);
}

/* Return the resident memory of a process in bytes; 0: it has ended. */
static int64_t resident_bytes(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/statm", (int)pid), *text = NULL;
	long pages = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		(void)sscanf(text, "%*d %ld", &pages);
	g_free(text);
	g_free(path);
	return (int64_t)pages * sysconf(_SC_PAGESIZE);
}

static void *check_memory(void *p)
{
	(void)p;
	while (!atomic_load(&s.stopping)) {
		for (size_t i = 0; i < s.entry_count; i++) {
			struct entry *e = &s.entries[i];
			int mb = (int)(resident_bytes(e->pid) >> 20);

			e->most_mb = MAX(e->most_mb, mb);
			if (mb <= MEMORY_MB)
				continue;
			record("entry %d has %d MB, over its %d, and is killed",
			       (int)i + 1, mb, MEMORY_MB);
			signal_entry(i, SIGKILL);
			e->kills++;
			g_usleep(RESTART_MS * 1000);
			start_entry(e);
		}
		g_usleep(5000);
	}
	return NULL;
}

static GThread *memory_watch;

void watch_memory(void)
{
	memory_watch = g_thread_new("memory", check_memory, NULL);
}

int memory_kills(size_t i, int *most_mb)
{
	*most_mb = s.entries[i].most_mb;
	return s.entries[i].kills;
}

static int dial(const char *ip, int port, int receive_bytes)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port)};
	struct timeval wait = {.tv_sec = 20};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &at.sin_addr);
	if (receive_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
			   sizeof(receive_bytes));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	if (!connect(fd, (struct sockaddr *)&at, sizeof(at)))
		return fd;
	close(fd);
	return -1;
}

static bool is_ready(const struct entry *e)
{
	char p[64] = "";
	int fd = dial(e->ip, s.first_port + PORT_READY, 0);
	bool ok;

	if (fd < 0)
		return false;
	send_text(fd, "GET /auburnramp/readyz HTTP/1.1\r\nHost: a\r\n\r\n");
	ok = recv(fd, p, sizeof(p) - 1, 0) > 0 && strstr(p, " 200 ");
	close(fd);
	return ok;
}

void wait_until_ready(void)
{
	for (size_t i = 0; i < s.entry_count; i++)
		for (int ms = 0; !is_ready(&s.entries[i]); ms += 50) {
			if (ms >= READY_MAX_MS ||
			    waitpid(s.entries[i].pid, NULL, WNOHANG))
				give_up("entry %d does not start", (int)i + 1);
			g_usleep(50000);
		}
}

void signal_entry(size_t i, int sig)
{
	if (!s.entries[i].pid)
		return;
	record("entry %d gets signal %d", (int)i + 1, sig);
	kill(s.entries[i].pid, sig);
	if (sig != SIGKILL)
		return;
	waitpid(s.entries[i].pid, NULL, 0);
	s.entries[i].pid = 0;
}

bool entry_runs(size_t i)
{
	return s.entries[i].pid != 0;
}

void stop_entries(void)
{
	atomic_store(&s.stopping, true);
	if (memory_watch)
		g_thread_join(memory_watch);
	for (size_t i = 0; i < s.entry_count; i++) {
		struct entry *e = &s.entries[i];

		if (!e->pid)
			continue;
		kill(e->pid, SIGKILL);
		waitpid(e->pid, NULL, 0);
		e->pid = 0;
	}
	remove_folder();
}

/* Requesters. */

/* A requester's channel in the relay; its thread owns it. */
struct channel {
	int fds[2]; /* to the requester, to the entry */
	size_t entry;
	atomic_bool reset;
};

/* Pass on what one side has sent; false: it has ended. */
static bool copy_bytes(int from, int to)
{
	char p[4096];
	ssize_t n = recv(from, p, sizeof(p), MSG_DONTWAIT);

	if (n < 0)
		return errno == EAGAIN;
	return n > 0 && send_bytes(to, p, (size_t)n);
}

static void *serve_channel(void *p)
{
	struct channel *c = p;
	struct linger at_once = {1, 0};
	bool open = true;

	while (open && !atomic_load(&c->reset)) {
		struct pollfd polls[2] = {{c->fds[0], POLLIN, 0},
					  {c->fds[1], POLLIN, 0}};

		if (poll(polls, 2, 2) <= 0)
			continue;
		for (int i = 0; i < 2 && open; i++)
			if (polls[i].revents)
				open = copy_bytes(c->fds[i], c->fds[!i]);
	}
	g_mutex_lock(&s.lock);
	s.channels = g_list_remove(s.channels, c);
	g_mutex_unlock(&s.lock);
	for (int i = 0; i < 2; i++) {
		if (atomic_load(&c->reset))
			setsockopt(c->fds[i], SOL_SOCKET, SO_LINGER, &at_once,
				   sizeof(at_once));
		close(c->fds[i]);
	}
	g_free(c);
	return NULL;
}

void start_relay(void)
{
	s.relayed = true;
}

int reset_channels(size_t entry, double share)
{
	int n = 0;

	g_mutex_lock(&s.lock);
	for (GList *l = s.channels; l; l = l->next) {
		struct channel *c = l->data;

		if (c->entry != entry || g_random_double() >= share)
			continue;
		atomic_store(&c->reset, true);
		n++;
	}
	g_mutex_unlock(&s.lock);
	return n;
}

int connect_to(size_t entry, int receive_bytes)
{
	int fd = dial(s.entries[entry].ip, s.first_port + PORT_CALLERS,
		      receive_bytes);
	struct channel *c;
	int ends[2];

	if (fd < 0 || !s.relayed)
		return fd;
	/* The requester has the other end of a pair of sockets. */
	if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) < 0)
		give_up("no sockets: %s", g_strerror(errno));
	c = g_new0(struct channel, 1);
	c->fds[0] = ends[0];
	c->fds[1] = fd;
	c->entry = entry;
	g_mutex_lock(&s.lock);
	s.channels = g_list_prepend(s.channels, c);
	g_mutex_unlock(&s.lock);
	g_thread_unref(g_thread_new("relay", serve_channel, c));
	return ends[1];
}

char *new_id(void)
{
	return g_strdup_printf("%016x", 0x1000 + atomic_fetch_add(&s.ids, 1));
}

void send_request(int fd, const char *path, const char *id, int deadline_ms,
		  const char *headers)
{
	/* A failure shows when the answer is read. */
	(void)send_text(fd,
			"POST %s HTTP/1.1\r\nHost: a.example\r\n"
			"Auburnramp-Attempt-Id: %s\r\n"
			"Auburnramp-Deadline-Ms: %d\r\n%s"
			"Content-Length: 0\r\n\r\n",
			path, id, deadline_ms, headers);
}

bool send_upload(int fd, const char *path, const char *id, int deadline_ms,
		 size_t n)
{
	static const char zeros[65536];
	bool ok = send_text(fd,
			    "POST %s HTTP/1.1\r\nHost: a.example\r\n"
			    "Auburnramp-Attempt-Id: %s\r\n"
			    "Auburnramp-Deadline-Ms: %d\r\n"
			    "Content-Length: %zu\r\n\r\n",
			    path, id, deadline_ms, n);

	while (ok && n) {
		size_t part = MIN(n, sizeof(zeros));

		ok = send_bytes(fd, zeros, part);
		n -= part;
	}
	return ok;
}

/* Return the number of the last whole event in the text; 0: there is none. */
static int last_event_of(const char *text)
{
	int number = 0;

	for (const char *p = text; (p = strstr(p, "\nid: ")); p++)
		if (strstr(p, "\n\n"))
			number = atoi(p + 5);
	return number;
}

/* Whether the whole answer has come. */
static bool is_complete(const char *text)
{
	const char *end = strstr(text, "\r\n\r\n");
	char *length = end ? copy_header(text, "Content-Length") : NULL;
	bool whole = false;

	if (length)
		whole = strlen(end + 4) >= (size_t)atol(length);
	else if (end)
		whole = g_str_has_suffix(text, "\r\n0\r\n\r\n");
	g_free(length);
	return whole;
}

void read_reply(int fd, int pause_ms, struct reply *out)
{
	GString *text = g_string_new(NULL);
	bool paused = false;
	char *retry, p[1024];

	memset(out, 0, sizeof(*out));
	while (!out->complete) {
		ssize_t n = recv(fd, p, paused ? sizeof(p) : 256, 0);

		if (n < 0)
			out->reset = errno == ECONNRESET;
		if (n <= 0)
			break;
		g_string_append_len(text, p, n);
		if (pause_ms && !paused)
			g_usleep((gulong)pause_ms * 1000);
		paused = true;
		out->complete = is_complete(text->str);
	}
	if (strstr(text->str, "\r\n\r\n"))
		out->status = atoi(text->str + strlen("HTTP/1.1 "));
	retry = copy_header(text->str, "Retry-After");
	out->retry_after_s = retry ? g_ascii_strtod(retry, NULL) : 0;
	out->last_event = last_event_of(text->str);
	g_free(retry);
	g_string_free(text, TRUE);
}
