/*
 * The platform's table, object and instance services over HTTP, either through
 * a fetcher (control thread) or blocking (connections' threads).
 */
#include <string.h>

#include "node/node.h"

/* HTTP client behind struct platform; see docs/CONTRACTS.md, "Platform". */
struct platform_http {
	struct fetcher *fetcher; /* NULL: block in the calling thread */
	char *table, *objects, *instances;
	int64_t timeout_ms;
};

struct call {
	plat_done_fn *done;
	void *arg;
};

static enum plat_status status_from_result(const struct fetch_result *r)
{
	if (!r->status)
		return r->maybe_sent ? PLAT_UNKNOWN : PLAT_UNREACHABLE;
	if (r->status == 409)
		return PLAT_CONFLICT;
	if (r->status == 404)
		return PLAT_NOT_FOUND;
	return r->status < 300 ? PLAT_OK : PLAT_REFUSED;
}

static void finish(const struct fetch_result *r, void *arg)
{
	struct call *c = arg;
	struct plat_result p = {.status = status_from_result(r),
				.bytes = r->body};
	size_t dropped;
	/* A row that can't be decoded must not hide the others. */
	json_t *j = json_load_readable(r->body.data ? r->body.data : "",
				       r->body.len, &dropped);

	p.json = j;
	if (p.status != PLAT_OK && p.status != PLAT_CONFLICT &&
	    p.status != PLAT_NOT_FOUND)
		metric_add(M_STORE_ERRORS_TOTAL, 1);
	c->done(&p, c->arg);
	json_decref(j);
	g_free(c);
}

/* Make the call on this thread; its callback runs before this returns. */
static void call_blocking(const char *method, const char *url, struct str body,
			  int64_t timeout_ms, struct call *c)
{
	static const char *const headers[] = {"Content-Type: application/json",
					      NULL};
	struct http_request q = {.method = method,
				 .url = url,
				 .headers = headers,
				 .body = body,
				 .connect_timeout_ms = timeout_ms,
				 .fresh = true};
	struct fetch_result r = {0};
	GByteArray *all = g_byte_array_new();
	struct http_call *p = http_call_open(&q);
	int64_t deadline_ms = time_mono_ms() + timeout_ms;
	enum http_call_event e;

	while ((e = http_call_wait(p, deadline_ms)) == HTTP_CALL_DATA) {
		GByteArray *b = http_call_unread(p);

		g_byte_array_append(all, b->data, b->len);
		g_byte_array_set_size(b, 0);
	}
	r.maybe_sent = http_call_maybe_sent(p);
	if (e == HTTP_CALL_END) {
		r.status = http_call_status(p);
		r.body = (struct str){(char *)all->data, all->len};
	}
	finish(&r, c);
	g_byte_array_unref(all);
	http_call_close(p);
}

static void call(struct platform_http *p, const char *method, char *url,
		 struct str body, plat_done_fn *done, void *arg)
{
	struct call *c = g_new(struct call, 1);

	*c = (struct call){done, arg};
	if (p->fetcher)
		fetch(p->fetcher, method, url, body, p->timeout_ms, finish, c);
	else
		call_blocking(method, url, body, p->timeout_ms, c);
	g_free(url);
}

static void txn(void *ctx, const json_t *t, plat_done_fn *done, void *arg)
{
	struct platform_http *p = ctx;
	char *body = json_dumps(t, JSON_COMPACT);

	call(p, "POST", g_strconcat(p->table, "/table/txn", NULL), str_c(body),
	     done, arg);
	free(body);
}

static void scan(void *ctx, const char *prefix, const char *after,
		 plat_done_fn *done, void *arg)
{
	struct platform_http *p = ctx;
	char *escaped_prefix = g_uri_escape_string(prefix, NULL, FALSE);
	char *escaped_after =
		after ? g_uri_escape_string(after, NULL, FALSE) : NULL;

	call(p, "GET",
	     g_strconcat(p->table, "/table/rows?prefix=", escaped_prefix,
			 escaped_after ? "&after=" : NULL, escaped_after, NULL),
	     str_c(NULL), done, arg);
	g_free(escaped_prefix);
	g_free(escaped_after);
}

static void revision(void *ctx, plat_done_fn *done, void *arg)
{
	struct platform_http *p = ctx;

	call(p, "GET", g_strconcat(p->table, "/table/revision", NULL),
	     str_c(NULL), done, arg);
}

static void object_put(void *ctx, const char *name, struct str bytes,
		       plat_done_fn *done, void *arg)
{
	struct platform_http *p = ctx;

	call(p, "PUT", g_strconcat(p->objects, "/objects/", name, NULL), bytes,
	     done, arg);
}

static void object_get(void *ctx, const char *name, plat_done_fn *done,
		       void *arg)
{
	struct platform_http *p = ctx;

	call(p, "GET", g_strconcat(p->objects, "/objects/", name, NULL),
	     str_c(NULL), done, arg);
}

static void weights(void *ctx, const char *name, plat_done_fn *done, void *arg)
{
	struct platform_http *p = ctx;

	call(p, "GET", g_strconcat(p->objects, "/weights/", name, NULL),
	     str_c(NULL), done, arg);
}

static void instances(void *ctx, plat_done_fn *done, void *arg)
{
	struct platform_http *p = ctx;

	call(p, "GET", g_strconcat(p->instances, "/instances", NULL),
	     str_c(NULL), done, arg);
}

/* Return a copy of url, or of the table service's URL if it is empty. */
static char *url_or_default(const char *url, const char *table)
{
	return g_strdup(*url ? url : table);
}

struct platform_http *platform_http_new(const struct settings *s,
					struct fetcher *f, struct platform *out)
{
	struct platform_http *p = g_new0(struct platform_http, 1);

	p->fetcher = f;
	p->timeout_ms = s->platform_timeout_ms;
	p->table = g_strdup(s->platform_table);
	p->objects = url_or_default(s->platform_objects, s->platform_table);
	p->instances = url_or_default(s->platform_instances, s->platform_table);
	*out = (struct platform){
		.ctx = p,
		.txn = txn,
		.scan = scan,
		.revision = revision,
		.object_put = object_put,
		.object_get = object_get,
		.weights = weights,
		.instances = instances,
	};
	return p;
}

void platform_http_free(struct platform_http *p)
{
	g_free(p->table);
	g_free(p->objects);
	g_free(p->instances);
	g_free(p);
}
