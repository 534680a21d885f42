/*
 * Stand-in for the platform: table service, object store, weight store and
 * instance list, as docs/CONTRACTS.md states them. PUT /standin/faults
 * simulates faults. The handlers run on a thread for each connection and share
 * one lock.
 */
#include <argtable2.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "standin/standin.h"

#define DEFAULT_SCAN_ROWS 1000

/* One version of a row; older ones are kept for stale reads. */
struct row {
	json_t *value;   /* NULL: deleted */
	int64_t version; /* revision of the transaction that wrote it */
	struct row *older;
};

/* Faults to simulate, set by PUT /standin/faults; zero is no fault. */
struct faults {
	bool down;                /* refuse all calls */
	int64_t slow_ms;          /* delay of every call */
	int64_t lost_answers;     /* next transactions get no response */
	bool lost_then_down;      /* the next one gets none; then down */
	int64_t stale_revisions;  /* age of the rows that reads return */
	int64_t instances_lag_ms; /* age of the instance list */
	int64_t weight_read_ms;   /* duration of a read of weights */
};

/* The instance list as set at some time; older ones are kept to show a lag. */
struct instance_list {
	int64_t set_at_ms; /* monotonic */
	json_t *instances;
};

struct platform {
	GMutex lock;
	GTree *rows;        /* key -> struct row */
	GPtrArray *history; /* JSON of the committed transactions, in order */
	int64_t revision;
	GHashTable *objects;       /* name -> GBytes */
	GPtrArray *instance_lists; /* struct instance_list, oldest first */
	struct faults faults;
	int64_t reads; /* number of calls, for GET /standin/history */
	int64_t writes;
};

/* Free a row with all its older versions. */
static void free_row(void *p)
{
	struct row *r = p;

	while (r) {
		struct row *older = r->older;

		json_decref(r->value);
		g_free(r);
		r = older;
	}
}

/* Return the version of the row at a revision; NULL if there was no row. */
static const struct row *row_at(const struct row *r, int64_t revision)
{
	while (r && r->version > revision)
		r = r->older;
	return r && r->value ? r : NULL;
}

static int compare_keys(const void *a, const void *b, void *unused)
{
	(void)unused;
	return strcmp(a, b);
}

/*
 * Delay a call as the faults demand. Return false if it must be refused because
 * the platform is down.
 */
static bool apply_call_faults(struct platform *p)
{
	struct faults faults;

	g_mutex_lock(&p->lock);
	faults = p->faults;
	g_mutex_unlock(&p->lock);
	if (faults.slow_ms)
		g_usleep((gulong)faults.slow_ms * 1000);
	return !faults.down;
}

static int refuse_request(struct _u_response *r, int status, const char *why)
{
	return answer_json(r, status, json_pack("{s:s}", "error", why));
}

/*
 * Return the first check that doesn't hold, or NULL. A row that doesn't exist
 * has version 0.
 */
static const json_t *first_conflict(struct platform *p, const json_t *checks)
{
	size_t i;
	json_t *check;

	json_array_foreach (checks, i, check) {
		const char *key =
			json_string_value(json_object_get(check, "key"));
		json_t *expected = json_object_get(check, "version");
		const struct row *row = row_at(
			key ? g_tree_lookup(p->rows, key) : NULL, p->revision);

		if (json_integer_value(expected) != (row ? row->version : 0))
			return check;
	}
	return NULL;
}

/* Add a version to a row; value NULL deletes it. Takes the reference. */
static void write_row(struct platform *p, const char *key, json_t *value)
{
	struct row *row = g_new0(struct row, 1);
	gpointer old_key, old_row;

	row->value = value;
	row->version = p->revision;
	if (g_tree_lookup_extended(p->rows, key, &old_key, &old_row)) {
		row->older = old_row;
		g_tree_steal(p->rows, key);
		g_free(old_key);
	}
	g_tree_insert(p->rows, g_strdup(key), row);
}

/* Do the writes of a transaction under a new revision. */
static void apply_writes(struct platform *p, const json_t *puts,
			 const json_t *deletes)
{
	size_t i;
	json_t *item;

	p->revision++;
	json_array_foreach (puts, i, item)
		write_row(p, json_string_value(json_object_get(item, "key")),
			  json_incref(json_object_get(item, "value")));
	json_array_foreach (deletes, i, item)
		write_row(p, json_string_value(item), NULL);
}

/* Check the form of a transaction. */
static bool is_valid_txn(const json_t *body)
{
	size_t i;
	json_t *item;

	if (!json_is_string(json_object_get(body, "id")))
		return false;
	json_array_foreach (json_object_get(body, "puts"), i, item) {
		if (!json_is_string(json_object_get(item, "key")) ||
		    !json_object_get(item, "value"))
			return false;
	}
	json_array_foreach (json_object_get(body, "deletes"), i, item) {
		if (!json_is_string(item))
			return false;
	}
	return true;
}

/* POST /table/txn: if all checks hold, do all writes, else none. */
static int on_txn(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct platform *p = ctx;
	json_t *body;
	const json_t *conflict;
	int64_t revision;
	bool lose_answer;

	if (!apply_call_faults(p))
		return refuse_request(r, 503, "down");
	body = ulfius_get_json_body_request(q, NULL);
	if (!is_valid_txn(body)) {
		json_decref(body);
		return refuse_request(r, 400, "malformed transaction");
	}
	g_mutex_lock(&p->lock);
	p->writes++;
	conflict = first_conflict(p, json_object_get(body, "checks"));
	if (!conflict) {
		apply_writes(p, json_object_get(body, "puts"),
			     json_object_get(body, "deletes"));
		g_ptr_array_add(p->history, json_incref(body));
	}
	revision = p->revision;
	lose_answer = p->faults.lost_answers > 0 || p->faults.lost_then_down;
	if (p->faults.lost_answers > 0)
		p->faults.lost_answers--;
	if (p->faults.lost_then_down)
		p->faults = (struct faults){.down = true};
	g_mutex_unlock(&p->lock);
	if (conflict)
		answer_json(r, 409,
			    json_pack("{s:s,s:O}", "error", "conflict", "key",
				      json_object_get(conflict, "key")));
	else if (lose_answer)
		abort_response(r);
	else
		answer_json(r, 200, json_pack("{s:I}", "revision", revision));
	json_decref(body);
	return U_CALLBACK_COMPLETE;
}

/* The state of one scan of the table. */
struct scan {
	const char *prefix;
	const char *after;
	int64_t limit;
	int64_t revision; /* at which the rows are read */
	json_t *rows;
	bool more; /* rows are left beyond the limit */
};

/* Add one row to a scan. Return true to end the scan. */
static gboolean scan_row(void *key, void *value, void *ctx)
{
	struct scan *s = ctx;
	const struct row *row = row_at(value, s->revision);

	if (!g_str_has_prefix(key, s->prefix))
		return strcmp(key, s->prefix) > 0;
	if (!row || (s->after && strcmp(key, s->after) <= 0))
		return FALSE;
	if ((int64_t)json_array_size(s->rows) == s->limit) {
		s->more = true;
		return TRUE;
	}
	json_array_append_new(
		s->rows, json_pack("{s:s,s:O,s:I}", "key", (char *)key, "value",
				   row->value, "version", row->version));
	return FALSE;
}

static int64_t query_int(const struct _u_request *q, const char *key,
			 int64_t fallback)
{
	const char *s = u_map_get(q->map_url, key);

	return s ? g_ascii_strtoll(s, NULL, 10) : fallback;
}

/* GET /table/rows?prefix=P&after=K&limit=N: rows in key order. */
static int on_scan(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct platform *p = ctx;
	struct scan s = {.after = u_map_get(q->map_url, "after"),
			 .prefix = u_map_get(q->map_url, "prefix"),
			 .limit = query_int(q, "limit", DEFAULT_SCAN_ROWS),
			 .rows = json_array()};

	if (!s.prefix)
		s.prefix = "";
	if (!apply_call_faults(p)) {
		json_decref(s.rows);
		return refuse_request(r, 503, "down");
	}
	g_mutex_lock(&p->lock);
	p->reads++;
	s.revision = MAX(p->revision - p->faults.stale_revisions, 0);
	g_tree_foreach(p->rows, scan_row, &s);
	g_mutex_unlock(&p->lock);
	return answer_json(r, 200,
			   json_pack("{s:I,s:o,s:b}", "revision", s.revision,
				     "rows", s.rows, "more", s.more));
}

/* GET /table/revision: only the latest revision, which is cheap to poll. */
static int on_revision(const struct _u_request *q, struct _u_response *r,
		       void *ctx)
{
	struct platform *p = ctx;
	int64_t revision;

	(void)q;
	if (!apply_call_faults(p))
		return refuse_request(r, 503, "down");
	g_mutex_lock(&p->lock);
	p->reads++;
	revision = MAX(p->revision - p->faults.stale_revisions, 0);
	g_mutex_unlock(&p->lock);
	return answer_json(r, 200, json_pack("{s:I}", "revision", revision));
}

static int on_object_put(const struct _u_request *q, struct _u_response *r,
			 void *ctx)
{
	struct platform *p = ctx;

	if (!apply_call_faults(p))
		return refuse_request(r, 503, "down");
	g_mutex_lock(&p->lock);
	p->writes++;
	g_hash_table_replace(
		p->objects, g_strdup(u_map_get(q->map_url, "name")),
		g_bytes_new(q->binary_body, q->binary_body_length));
	g_mutex_unlock(&p->lock);
	return answer_json(r, 200, json_object());
}

static int on_object_get(const struct _u_request *q, struct _u_response *r,
			 void *ctx)
{
	struct platform *p = ctx;
	GBytes *object;
	gsize n;

	if (!apply_call_faults(p))
		return refuse_request(r, 503, "down");
	g_mutex_lock(&p->lock);
	p->reads++;
	object = g_hash_table_lookup(p->objects, u_map_get(q->map_url, "name"));
	if (object) {
		const void *data = g_bytes_get_data(object, &n);

		ulfius_set_binary_body_response(r, 200, data, n);
	}
	g_mutex_unlock(&p->lock);
	return object ? U_CALLBACK_COMPLETE
		      : refuse_request(r, 404, "no such object");
}

/*
 * GET /weights/:name: takes weight_read_ms; a second read during that time is
 * refused, as the weight store limits its rate.
 */
static int on_weights(const struct _u_request *q, struct _u_response *r,
		      void *ctx)
{
	static GMutex read_lock;
	struct platform *p = ctx;

	if (!apply_call_faults(p))
		return refuse_request(r, 503, "down");
	if (!g_mutex_trylock(&read_lock))
		return refuse_request(r, 429, "rate");
	g_usleep((gulong)p->faults.weight_read_ms * 1000);
	g_mutex_unlock(&read_lock);
	return answer_json(
		r, 200,
		json_pack("{s:s}", "name", u_map_get(q->map_url, "name")));
}

/* Return the latest list that is at least instances_lag_ms old. */
static json_t *visible_instances(struct platform *p)
{
	int64_t cutoff_ms = time_mono_ms() - p->faults.instances_lag_ms;
	json_t *visible = NULL;

	for (guint i = 0; i < p->instance_lists->len; i++) {
		struct instance_list *list =
			g_ptr_array_index(p->instance_lists, i);

		if (list->set_at_ms <= cutoff_ms)
			visible = list->instances;
	}
	return visible ? json_incref(visible) : json_array();
}

static int on_instances(const struct _u_request *q, struct _u_response *r,
			void *ctx)
{
	struct platform *p = ctx;
	json_t *list;

	(void)q;
	if (!apply_call_faults(p))
		return refuse_request(r, 503, "down");
	g_mutex_lock(&p->lock);
	list = visible_instances(p);
	g_mutex_unlock(&p->lock);
	return answer_json(r, 200, json_pack("{s:o}", "instances", list));
}

/* PUT /standin/instances: set the list, which readers get after the lag. */
static int on_set_instances(const struct _u_request *q, struct _u_response *r,
			    void *ctx)
{
	struct platform *p = ctx;
	json_t *body = ulfius_get_json_body_request(q, NULL);
	struct instance_list *list;

	if (!json_is_array(body)) {
		json_decref(body);
		return refuse_request(r, 400, "not a list");
	}
	list = g_new0(struct instance_list, 1);
	list->set_at_ms = time_mono_ms();
	list->instances = body;
	g_mutex_lock(&p->lock);
	g_ptr_array_add(p->instance_lists, list);
	g_mutex_unlock(&p->lock);
	return answer_json(r, 200, json_object());
}

/* PUT /standin/faults: replace all faults. */
static int on_set_faults(const struct _u_request *q, struct _u_response *r,
			 void *ctx)
{
	struct platform *p = ctx;
	json_t *body = ulfius_get_json_body_request(q, NULL);
	struct faults faults = {0};
	int down = 0;
	int lost_then_down = 0;

	if (json_unpack(body, "{s?b,s?I,s?I,s?b,s?I,s?I,s?I !}", "down", &down,
			"slow_ms", &faults.slow_ms, "lose",
			&faults.lost_answers, "cut", &lost_then_down, "stale",
			&faults.stale_revisions, "lag_ms",
			&faults.instances_lag_ms, "weight_ms",
			&faults.weight_read_ms)) {
		json_decref(body);
		return refuse_request(r, 400, "unknown fault");
	}
	json_decref(body);
	faults.down = down;
	faults.lost_then_down = lost_then_down;
	g_mutex_lock(&p->lock);
	p->faults = faults;
	g_mutex_unlock(&p->lock);
	return answer_json(r, 200, json_object());
}

/* GET /standin/history: all committed transactions and the call counts. */
static int on_history(const struct _u_request *q, struct _u_response *r,
		      void *ctx)
{
	struct platform *p = ctx;
	json_t *list = json_array();
	int64_t reads, writes;

	(void)q;
	g_mutex_lock(&p->lock);
	for (guint i = 0; i < p->history->len; i++)
		json_array_append(list, g_ptr_array_index(p->history, i));
	reads = p->reads;
	writes = p->writes;
	g_mutex_unlock(&p->lock);
	return answer_json(r, 200,
			   json_pack("{s:o,s:I,s:I}", "history", list, "reads",
				     reads, "writes", writes));
}

static const struct server_route routes[] = {
	{"POST", "/table/txn", on_txn},
	{"GET", "/table/rows", on_scan},
	{"GET", "/table/revision", on_revision},
	{"PUT", "/objects/:name", on_object_put},
	{"GET", "/objects/:name", on_object_get},
	{"GET", "/weights/:name", on_weights},
	{"GET", "/instances", on_instances},
	{"PUT", "/standin/instances", on_set_instances},
	{"PUT", "/standin/faults", on_set_faults},
	{"GET", "/standin/history", on_history},
};

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int0(
		"p", "port", "N", "port to listen on; 0 picks a free one");
	struct arg_file *port_file = arg_file0(NULL, "port-file", "FILE",
					       "file to write the port to");
	struct arg_end *end = arg_end(4);
	void *table[] = {port, port_file, end};
	struct platform p = {0};
	struct server_options options = {0};
	struct server s;

	port->ival[0] = 0;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	options.port = port->ival[0];
	block_stop_signals();
	g_mutex_init(&p.lock);
	p.rows = g_tree_new_full(compare_keys, NULL, g_free, free_row);
	p.history = g_ptr_array_new();
	p.instance_lists = g_ptr_array_new();
	p.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  (GDestroyNotify)g_bytes_unref);
	if (!server_start(&s, &options, routes, G_N_ELEMENTS(routes), &p) ||
	    !server_write_port(&s, port_file->count ? port_file->filename[0]
						    : NULL))
		return 1;
	wait_for_stop_signal();
	server_stop(&s);
	return 0;
}
