/*
 * The platform's store: rows-get, rows-feed and rows-tx over rows in memory,
 * as PROTOCOL.md has them. All rows have the empty part.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

#define ROWS_MAX  500
#define ANSWER_MS 4 /* SYSTEM.md: "4 ms an answer" */

struct row {
	char *table, *key;
	char *value; /* base64; NULL: removed */
	json_int_t version;
};

/* A listener for one machine, and when it read the list of engines. */
struct listener {
	struct store *store;
	char *machine;
	GArray *reads_ms; /* int64_t; under the store's lock */
};

struct store {
	GMutex lock;
	GCond changed;
	GPtrArray *rows; /* struct row, by table and key */
	GPtrArray *listeners;
	json_int_t version;
};

static int compare_rows(gconstpointer a, gconstpointer b)
{
	const struct row *x = *(struct row *const *)a;
	const struct row *y = *(struct row *const *)b;
	int order = strcmp(x->table, y->table);

	return order ? order : strcmp(x->key, y->key);
}

/* The functions below are called with the lock held. */

static struct row *find_row(struct store *s, const char *table, const char *key)
{
	for (guint i = 0; i < s->rows->len; i++) {
		struct row *r = s->rows->pdata[i];

		if (!strcmp(r->table, table) && !strcmp(r->key, key))
			return r;
	}
	return NULL;
}

static void set_row(struct store *s, const char *table, const char *key,
		    const char *value)
{
	struct row *r = find_row(s, table, key);

	if (!r) {
		r = g_new0(struct row, 1);
		r->table = g_strdup(table);
		r->key = g_strdup(key);
		g_ptr_array_add(s->rows, r);
		g_ptr_array_sort(s->rows, compare_rows);
	}
	g_free(r->value);
	r->value = g_strdup(value);
	r->version = s->version;
}

static json_t *row_json(const struct row *r)
{
	json_t *j =
		json_pack("{s:s, s:s, s:s, s:I}", "TableName", r->table, "part",
			  "", "Key", r->key, "RowVersion", r->version);

	if (r->value)
		json_object_set_new(j, "Value", json_string(r->value));
	else
		json_object_set_new(j, "Deleted", json_true());
	return j;
}

/* Rows of a table that changed after a version, removed ones too. */
static json_t *changed_rows(struct store *s, const char *table,
			    json_int_t since)
{
	json_t *rows = json_array();

	for (guint i = 0; i < s->rows->len; i++) {
		const struct row *r = s->rows->pdata[i];

		if (!strcmp(r->table, table) && r->version > since)
			json_array_append_new(rows, row_json(r));
	}
	return rows;
}

static json_t *page(struct store *s, json_t *rows, bool more)
{
	return json_pack("{s:o, s:b, s:I, s:I}", "Rows", rows, "HasMore", more,
			 "RowVersion", s->version, "NowMs",
			 (json_int_t)now_ms());
}

static json_t *get_rows(struct store *s, GHashTable *query)
{
	const char *table = g_hash_table_lookup(query, "TableName");
	const char *source = g_hash_table_lookup(query, "Source");
	const char *limit = g_hash_table_lookup(query, "Limit");
	size_t max = limit ? strtoul(limit, NULL, 10) : ROWS_MAX;
	json_t *rows = json_array();
	bool more = false;

	for (guint i = 0; i < s->rows->len; i++) {
		const struct row *r = s->rows->pdata[i];

		if (!r->value || strcmp(r->table, table) != 0 ||
		    (source && strcmp(r->key, source) < 0))
			continue;
		more = json_array_size(rows) >= MIN(max, ROWS_MAX);
		if (more)
			break;
		json_array_append_new(rows, row_json(r));
	}
	return page(s, rows, more);
}

static json_t *feed_rows(struct store *s, GHashTable *query)
{
	const char *table = g_hash_table_lookup(query, "TableName");
	const char *since = g_hash_table_lookup(query, "SinceRevision");
	const char *wait = g_hash_table_lookup(query, "WaitMs");
	json_int_t from = since ? strtoll(since, NULL, 10) : 0;
	gint64 until = g_get_monotonic_time() +
		       (wait ? strtoll(wait, NULL, 10) : 0) * 1000;
	json_t *rows = changed_rows(s, table, from);

	while (!json_array_size(rows) &&
	       g_cond_wait_until(&s->changed, &s->lock, until)) {
		json_decref(rows);
		rows = changed_rows(s, table, from);
	}
	return page(s, rows, false);
}

static const char *text_of(const json_t *j, const char *name)
{
	const char *v = json_string_value(json_object_get(j, name));

	return v ? v : "";
}

static json_t *apply(struct store *s, const json_t *tx, int *status)
{
	json_t *bad = json_array();
	const json_t *e;
	size_t i;

	json_array_foreach (json_object_get(tx, "ExpectedRevision"), i, e) {
		const struct row *r =
			find_row(s, text_of(e, "TableName"), text_of(e, "Key"));
		json_int_t expected =
			json_integer_value(json_object_get(e, "RowVersion"));

		if ((r && r->value ? r->version : 0) == expected)
			continue;
		*status = 412;
		if (r && r->value)
			json_array_append_new(bad, row_json(r));
	}
	if (*status == 412)
		return page(s, bad, false);
	s->version++;
	json_array_foreach (json_object_get(tx, "Write"), i, e)
		set_row(s, text_of(e, "TableName"), text_of(e, "Key"),
			text_of(e, "Value"));
	json_array_foreach (json_object_get(tx, "Remove"), i, e)
		set_row(s, text_of(e, "TableName"), text_of(e, "Key"), NULL);
	g_cond_broadcast(&s->changed);
	return page(s, bad, false);
}

/* Parse the query of a URL into names and values. */
static GHashTable *parse_query(const char *url)
{
	GHashTable *v =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	const char *mark = strchr(url, '?');
	char **pairs = g_strsplit(mark ? mark + 1 : "", "&", -1);

	for (char **p = pairs; *p; p++) {
		char **pair = g_strsplit(*p, "=", 2);

		if (pair[0] && pair[1])
			g_hash_table_replace(
				v, g_strdup(pair[0]),
				g_uri_unescape_string(pair[1], NULL));
		g_strfreev(pair);
	}
	g_strfreev(pairs);
	return v;
}

static json_t *answer_of(struct listener *l, const struct message *m,
			 int *status)
{
	struct store *s = l->store;
	int64_t now = now_ms();
	char **words = g_strsplit(m->head, " ", 3);
	GHashTable *query = parse_query(words[1]);
	json_t *tx, *answer = NULL;

	g_mutex_lock(&s->lock);
	if (strstr(words[1], "/rows-get")) {
		answer = get_rows(s, query);
		if (strstr(words[1], "TableName=servers"))
			g_array_append_val(l->reads_ms, now);
	} else if (strstr(words[1], "/rows-feed")) {
		answer = feed_rows(s, query);
	} else if (strstr(words[1], "/rows-tx")) {
		tx = json_loadb(m->body->str, m->body->len, 0, NULL);
		answer = apply(s, tx, status);
		json_decref(tx);
	} else {
		*status = 404;
		answer = json_object();
	}
	g_mutex_unlock(&s->lock);
	g_hash_table_unref(query);
	g_strfreev(words);
	return answer;
}

static void serve(struct conn *c, void *ctx)
{
	struct message m = {0};

	while (conn_read_head(c, &m, INT64_MAX) &&
	       conn_read_body(c, &m, INT64_MAX)) {
		int status = 200;
		json_t *j = answer_of(ctx, &m, &status);
		char *text = json_dumps(j, JSON_COMPACT);
		char *answer = g_strdup_printf(
			"HTTP/1.1 %d OK\r\nContent-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			status, strlen(text), text);
		bool ok;

		sleep_ms(ANSWER_MS);
		ok = conn_send(c, answer, strlen(answer));

		g_free(answer);
		free(text);
		json_decref(j);
		if (!ok)
			break;
	}
	message_clear(&m);
}

struct store *store_start(void)
{
	struct store *s = g_new0(struct store, 1);

	s->rows = g_ptr_array_new();
	s->listeners = g_ptr_array_new();
	return s;
}

int store_listen(struct store *s, const char *machine)
{
	struct listener *l = g_new0(struct listener, 1);
	int port;

	l->store = s;
	l->machine = g_strdup(machine);
	l->reads_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	g_mutex_lock(&s->lock);
	g_ptr_array_add(s->listeners, l);
	g_mutex_unlock(&s->lock);
	serve_connections(listen_free(&port), serve, l);
	return port;
}

int store_reads(struct store *s, const char *machine, int64_t since_ms)
{
	int n = 0;

	g_mutex_lock(&s->lock);
	for (guint i = 0; i < s->listeners->len; i++) {
		const struct listener *l = s->listeners->pdata[i];

		for (guint k = 0; k < l->reads_ms->len; k++)
			n += !strcmp(l->machine, machine) &&
			     g_array_index(l->reads_ms, int64_t, k) >= since_ms;
	}
	g_mutex_unlock(&s->lock);
	return n;
}

void store_put(struct store *s, const char *table, const char *key,
	       json_t *value)
{
	char *text = value ? json_dumps(value, JSON_COMPACT) : NULL;
	char *encoded =
		text ? g_base64_encode((const guchar *)text, strlen(text))
		     : NULL;

	g_mutex_lock(&s->lock);
	s->version++;
	set_row(s, table, key, encoded);
	g_cond_broadcast(&s->changed);
	g_mutex_unlock(&s->lock);
	record("store: %s/%s %s", table, key,
	       value ? "was written" : "was removed");
	json_decref(value);
	g_free(encoded);
	free(text);
}
