/*
 * Stand-in for the platform: table service, object store, weight store and
 * instance list, as docs/CONTRACTS.md states them, with switches for faults.
 */
#include <argtable2.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "standin/standin.h"

/* A row as one transaction left it; older ones are kept for stale reads. */
struct row {
	json_t *value;   /* NULL: deleted */
	int64_t version; /* revision of the transaction that wrote it */
	struct row *older;
};

struct faults {
	bool down;         /* refuse every call */
	int64_t slow_ms;   /* wait before every call */
	int64_t lose;      /* drop this many answers to writes */
	bool cut;          /* drop the next write's answer, then be down */
	int64_t stale;     /* reads answer as of so many revisions ago */
	int64_t lag_ms;    /* the instance list shows the past */
	int64_t weight_ms; /* time that a weight read takes */
};

struct list_version {
	int64_t at_ms;
	json_t *instances;
};

struct platform {
	GMutex lock;
	GTree *rows;        /* key -> struct row */
	GPtrArray *history; /* JSON of each committed change, by revision */
	int64_t revision;
	GHashTable *objects; /* name -> GBytes */
	GPtrArray *lists;    /* struct list_version, oldest first */
	struct faults faults;
	int64_t reads;
	int64_t writes;
};

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

/* The row as of a revision, or NULL when it was absent. */
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

/* Apply the faults that hit every call. Returns false when it must fail. */
static bool admit(struct platform *p)
{
	struct faults f;

	g_mutex_lock(&p->lock);
	f = p->faults;
	g_mutex_unlock(&p->lock);
	if (f.slow_ms)
		g_usleep((gulong)f.slow_ms * 1000);
	return !f.down;
}

static int refuse(struct _u_response *r, int status, const char *why)
{
	return answer_json(r, status, json_pack("{s:s}", "error", why));
}

static const json_t *first_conflict(struct platform *p, const json_t *checks)
{
	size_t i;
	json_t *c;

	json_array_foreach (checks, i, c) {
		const char *key = json_string_value(json_object_get(c, "key"));
		json_t *want = json_object_get(c, "version");
		const struct row *row = row_at(
			key ? g_tree_lookup(p->rows, key) : NULL, p->revision);

		if (json_integer_value(want) != (row ? row->version : 0))
			return c;
	}
	return NULL;
}

/* Takes the reference to value. */
static void write_row(struct platform *p, const char *key, json_t *value)
{
	struct row *row = g_new0(struct row, 1);
	gpointer old_key, old;

	row->value = value;
	row->version = p->revision;
	if (g_tree_lookup_extended(p->rows, key, &old_key, &old)) {
		row->older = old;
		g_tree_steal(p->rows, key);
		g_free(old_key);
	}
	g_tree_insert(p->rows, g_strdup(key), row);
}

static void apply(struct platform *p, const json_t *puts, const json_t *dels)
{
	size_t i;
	json_t *x;

	p->revision++;
	json_array_foreach (puts, i, x)
		write_row(p, json_string_value(json_object_get(x, "key")),
			  json_incref(json_object_get(x, "value")));
	json_array_foreach (dels, i, x)
		write_row(p, json_string_value(x), NULL);
}

static bool well_formed(const json_t *body)
{
	size_t i;
	json_t *x;

	if (!json_is_string(json_object_get(body, "id")))
		return false;
	json_array_foreach (json_object_get(body, "puts"), i, x) {
		if (!json_is_string(json_object_get(x, "key")) ||
		    !json_object_get(x, "value"))
			return false;
	}
	json_array_foreach (json_object_get(body, "deletes"), i, x) {
		if (!json_is_string(x))
			return false;
	}
	return true;
}

/* POST /table/txn: all checks hold and all writes happen, or none. */
static int on_txn(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct platform *p = ctx;
	json_t *body;
	const json_t *bad;
	int64_t rev;
	bool lose;

	if (!admit(p))
		return refuse(r, 503, "down");
	body = ulfius_get_json_body_request(q, NULL);
	if (!well_formed(body)) {
		json_decref(body);
		return refuse(r, 400, "malformed transaction");
	}
	g_mutex_lock(&p->lock);
	p->writes++;
	bad = first_conflict(p, json_object_get(body, "checks"));
	if (!bad) {
		apply(p, json_object_get(body, "puts"),
		      json_object_get(body, "deletes"));
		g_ptr_array_add(p->history, json_incref(body));
	}
	rev = p->revision;
	lose = p->faults.lose > 0 || p->faults.cut;
	if (p->faults.lose > 0)
		p->faults.lose--;
	if (p->faults.cut)
		p->faults = (struct faults){.down = true};
	g_mutex_unlock(&p->lock);
	if (bad)
		answer_json(r, 409,
			    json_pack("{s:s,s:O}", "error", "conflict", "key",
				      json_object_get(bad, "key")));
	else if (lose)
		answer_lost(r);
	else
		answer_json(r, 200, json_pack("{s:I}", "revision", rev));
	json_decref(body);
	return U_CALLBACK_COMPLETE;
}

struct scan {
	const char *prefix;
	const char *after;
	int64_t limit;
	int64_t revision; /* rows as of then */
	json_t *rows;
	bool more;
};

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
			 int64_t otherwise)
{
	const char *s = u_map_get(q->map_url, key);

	return s ? g_ascii_strtoll(s, NULL, 10) : otherwise;
}

/* GET /table/rows?prefix=P&after=K&limit=N: rows in key order. */
static int on_scan(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct platform *p = ctx;
	struct scan s = {.after = u_map_get(q->map_url, "after"),
			 .prefix = u_map_get(q->map_url, "prefix"),
			 .limit = query_int(q, "limit", 1000),
			 .rows = json_array()};

	if (!s.prefix)
		s.prefix = "";
	if (!admit(p)) {
		json_decref(s.rows);
		return refuse(r, 503, "down");
	}
	g_mutex_lock(&p->lock);
	p->reads++;
	s.revision = MAX(p->revision - p->faults.stale, 0);
	g_tree_foreach(p->rows, scan_row, &s);
	g_mutex_unlock(&p->lock);
	return answer_json(r, 200,
			   json_pack("{s:I,s:o,s:b}", "revision", s.revision,
				     "rows", s.rows, "more", s.more));
}

/* GET /table/revision: the newest revision alone, which is cheap to poll. */
static int on_revision(const struct _u_request *q, struct _u_response *r,
		       void *ctx)
{
	struct platform *p = ctx;
	int64_t rev;

	(void)q;
	if (!admit(p))
		return refuse(r, 503, "down");
	g_mutex_lock(&p->lock);
	p->reads++;
	rev = MAX(p->revision - p->faults.stale, 0);
	g_mutex_unlock(&p->lock);
	return answer_json(r, 200, json_pack("{s:I}", "revision", rev));
}

static int on_object_put(const struct _u_request *q, struct _u_response *r,
			 void *ctx)
{
	struct platform *p = ctx;

	if (!admit(p))
		return refuse(r, 503, "down");
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
	GBytes *b;
	gsize n;

	if (!admit(p))
		return refuse(r, 503, "down");
	g_mutex_lock(&p->lock);
	p->reads++;
	b = g_hash_table_lookup(p->objects, u_map_get(q->map_url, "name"));
	if (b) {
		const void *data = g_bytes_get_data(b, &n);

		ulfius_set_binary_body_response(r, 200, data, n);
	}
	g_mutex_unlock(&p->lock);
	return b ? U_CALLBACK_COMPLETE : refuse(r, 404, "no such object");
}

/* GET /weights/:name: one read at a time, each taking weight_ms. */
static int on_weights(const struct _u_request *q, struct _u_response *r,
		      void *ctx)
{
	static GMutex one_reader;
	struct platform *p = ctx;

	if (!admit(p))
		return refuse(r, 503, "down");
	if (!g_mutex_trylock(&one_reader))
		return refuse(r, 429, "rate");
	g_usleep((gulong)p->faults.weight_ms * 1000);
	g_mutex_unlock(&one_reader);
	return answer_json(
		r, 200,
		json_pack("{s:s}", "name", u_map_get(q->map_url, "name")));
}

static json_t *instances_as_seen(struct platform *p)
{
	int64_t at = time_mono_ms() - p->faults.lag_ms;
	json_t *seen = NULL;

	for (guint i = 0; i < p->lists->len; i++) {
		struct list_version *v = g_ptr_array_index(p->lists, i);

		if (v->at_ms <= at)
			seen = v->instances;
	}
	return seen ? json_incref(seen) : json_array();
}

static int on_instances(const struct _u_request *q, struct _u_response *r,
			void *ctx)
{
	struct platform *p = ctx;
	json_t *list;

	(void)q;
	if (!admit(p))
		return refuse(r, 503, "down");
	g_mutex_lock(&p->lock);
	list = instances_as_seen(p);
	g_mutex_unlock(&p->lock);
	return answer_json(r, 200, json_pack("{s:o}", "instances", list));
}

/* PUT /standin/instances: the true list, which readers see later. */
static int on_set_instances(const struct _u_request *q, struct _u_response *r,
			    void *ctx)
{
	struct platform *p = ctx;
	json_t *body = ulfius_get_json_body_request(q, NULL);
	struct list_version *v;

	if (!json_is_array(body)) {
		json_decref(body);
		return refuse(r, 400, "not a list");
	}
	v = g_new0(struct list_version, 1);
	v->at_ms = time_mono_ms();
	v->instances = body;
	g_mutex_lock(&p->lock);
	g_ptr_array_add(p->lists, v);
	g_mutex_unlock(&p->lock);
	return answer_json(r, 200, json_object());
}

static int on_set_faults(const struct _u_request *q, struct _u_response *r,
			 void *ctx)
{
	struct platform *p = ctx;
	json_t *body = ulfius_get_json_body_request(q, NULL);
	struct faults f = {0};
	int down = 0;
	int cut = 0;

	if (json_unpack(body, "{s?b,s?I,s?I,s?b,s?I,s?I,s?I !}", "down", &down,
			"slow_ms", &f.slow_ms, "lose", &f.lose, "cut", &cut,
			"stale", &f.stale, "lag_ms", &f.lag_ms, "weight_ms",
			&f.weight_ms)) {
		json_decref(body);
		return refuse(r, 400, "unknown fault");
	}
	json_decref(body);
	f.down = down;
	f.cut = cut;
	g_mutex_lock(&p->lock);
	p->faults = f;
	g_mutex_unlock(&p->lock);
	return answer_json(r, 200, json_object());
}

/* GET /standin/history: every committed transaction and the call counts. */
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
	struct arg_int *port = arg_int0("p", "port", "N", "port; 0 is free");
	struct arg_file *file = arg_file0(NULL, "port-file", "F", "for N");
	struct arg_end *end = arg_end(4);
	void *table[] = {port, file, end};
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
	p.lists = g_ptr_array_new();
	p.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  (GDestroyNotify)g_bytes_unref);
	if (!server_start(&s, &options, routes, G_N_ELEMENTS(routes), &p) ||
	    !server_write_port(&s, file->count ? file->filename[0] : NULL))
		return 1;
	wait_for_stop();
	server_stop(&s);
	return 0;
}
