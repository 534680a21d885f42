/* The engine stand-in but for its streams: load, cache, orders, faults. */
#include <stdio.h>

#include "standin/engine.h"

#define EVENTS_PER_ANSWER 1024

int refuse(struct _u_response *r, int status, const char *type)
{
	return answer_json(r, status,
			   json_pack("{s:{s:s,s:s}}", "error", "type", type,
				     "message", type));
}

static struct report report_as_seen(struct engine *e)
{
	int64_t at = time_mono_ms() - e->faults.lag_ms;
	struct report seen = {0};
	uint64_t first = e->report_count > REPORTS_KEPT
				 ? e->report_count - REPORTS_KEPT
				 : 0;

	for (uint64_t i = first; i < e->report_count; i++) {
		if (e->reports[i % REPORTS_KEPT].at_ms <= at)
			seen = e->reports[i % REPORTS_KEPT];
	}
	return seen;
}

static int on_load(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct engine *e = ctx;
	struct report p;
	int64_t cached;
	int leaving;

	(void)q;
	g_mutex_lock(&e->lock);
	if (e->faults.down) {
		g_mutex_unlock(&e->lock);
		return refuse(r, 503, "down");
	}
	p = report_as_seen(e);
	cached = prefix_cache_tokens(e->cache);
	leaving = e->faults.leaving;
	g_mutex_unlock(&e->lock);
	return answer_json(r, 200,
			   json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:b}", "running",
				     p.running, "queued", p.queued,
				     "work_tokens", p.work, "cached_tokens",
				     cached, "age_ms", time_mono_ms() - p.at_ms,
				     "batch", e->batch, "leaving", leaving));
}

static int on_events(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	const char *after = u_map_get(q->map_url, "after");
	struct cache_event *ev = g_new(struct cache_event, EVENTS_PER_ANSWER);
	json_t *list = json_array();
	size_t n;

	g_mutex_lock(&e->lock);
	n = prefix_cache_events(e->cache,
				after ? g_ascii_strtoll(after, NULL, 10) : 0,
				ev, EVENTS_PER_ANSWER);
	for (size_t i = 0; i < n; i++) {
		char hash[20];

		if (e->faults.gap && ev[i].seq % e->faults.gap == 0)
			continue;
		snprintf(hash, sizeof(hash), "%016" G_GINT64_MODIFIER "x",
			 ev[i].prefix);
		json_array_append_new(
			list, json_pack("{s:I,s:s,s:s}", "seq", ev[i].seq, "op",
					ev[i].stored ? "store" : "evict",
					"prefix", hash));
	}
	g_mutex_unlock(&e->lock);
	g_free(ev);
	return answer_json(r, 200, json_pack("{s:o}", "events", list));
}

/* POST /orders {"fence":N,"order":"load_model",...}. */
static int on_order(const struct _u_request *q, struct _u_response *r,
		    void *ctx)
{
	struct engine *e = ctx;
	json_t *body = ulfius_get_json_body_request(q, NULL);
	int64_t fence = json_integer_value(json_object_get(body, "fence"));
	bool stale;

	if (!json_is_string(json_object_get(body, "order"))) {
		json_decref(body);
		return refuse(r, 400, "bad_request");
	}
	g_mutex_lock(&e->lock);
	stale = fence < e->fence && !e->faults.ignore_fence;
	if (!stale) {
		e->fence = MAX(e->fence, fence);
		json_array_append(e->orders, body);
	}
	g_mutex_unlock(&e->lock);
	json_decref(body);
	return stale ? refuse(r, 409, "stale_fence")
		     : answer_json(r, 200, json_object());
}

static int on_orders(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	json_t *copy;

	(void)q;
	g_mutex_lock(&e->lock);
	copy = json_deep_copy(e->orders);
	g_mutex_unlock(&e->lock);
	return answer_json(r, 200, json_pack("{s:o}", "orders", copy));
}

/* Export and import of KV cache: the prefixes and their weight in tokens. */
static int on_import(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	json_t *body = ulfius_get_json_body_request(q, NULL);
	size_t i;
	json_t *x;

	g_mutex_lock(&e->lock);
	json_array_foreach (json_object_get(body, "prefixes"), i, x) {
		const char *hex =
			json_string_value(json_object_get(x, "prefix"));

		prefix_cache_put(
			e->cache, g_ascii_strtoull(hex ? hex : "0", NULL, 16),
			json_integer_value(json_object_get(x, "tokens")));
	}
	g_mutex_unlock(&e->lock);
	json_decref(body);
	return answer_json(r, 200, json_object());
}

static int on_faults(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	json_t *body = ulfius_get_json_body_request(q, NULL);
	struct faults f = {0};
	int ignore = 0, down = 0, differ = 0, leaving = 0;
	int bad = json_unpack(
		body, "{s?I,s?I,s?b,s?I,s?I,s?I,s?I,s?I,s?I,s?b,s?b,s?I,s?b !}",
		"lag_ms", &f.lag_ms, "gap", &f.gap, "ignore_fence", &ignore,
		"cross", &f.cross, "lose", &f.lose, "silent", &f.silent,
		"silent_at", &f.silent_at, "slow", &f.slow, "fail", &f.fail,
		"down", &down, "differ", &differ, "vanish", &f.vanish,
		"leaving", &leaving);

	json_decref(body);
	if (bad)
		return refuse(r, 400, "unknown fault");
	f.ignore_fence = ignore;
	f.down = down;
	f.differ = differ;
	f.leaving = leaving;
	g_mutex_lock(&e->lock);
	e->faults = f;
	g_mutex_unlock(&e->lock);
	return answer_json(r, 200, json_object());
}

/* GET /standin/runs: how often each request identity ran. */
static int on_runs(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct engine *e = ctx;
	json_t *runs = json_object();
	GHashTableIter it;
	gpointer key, n;

	(void)q;
	g_mutex_lock(&e->lock);
	g_hash_table_iter_init(&it, e->runs);
	while (g_hash_table_iter_next(&it, &key, &n))
		json_object_set_new(runs, key,
				    json_integer(GPOINTER_TO_INT(n)));
	g_mutex_unlock(&e->lock);
	return answer_json(r, 200, runs);
}

/* GET /standin/counts: runs in all, and how many of them were cancelled. */
static int on_counts(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	int64_t runs = 0, cancelled;
	GHashTableIter it;
	gpointer key, n;

	(void)q;
	g_mutex_lock(&e->lock);
	g_hash_table_iter_init(&it, e->runs);
	while (g_hash_table_iter_next(&it, &key, &n))
		runs += GPOINTER_TO_INT(n);
	cancelled = e->cancelled;
	g_mutex_unlock(&e->lock);
	return answer_json(
		r, 200,
		json_pack("{s:I,s:I}", "runs", runs, "cancelled", cancelled));
}

const struct server_route control_routes[] = {
	{"GET", "/load", on_load},
	{"GET", "/cache/events", on_events},
	{"POST", "/cache/import", on_import},
	{"POST", "/orders", on_order},
	{"GET", "/orders", on_orders},
	{"PUT", "/standin/faults", on_faults},
	{"GET", "/standin/runs", on_runs},
	{"GET", "/standin/counts", on_counts},
};

const size_t control_route_count = G_N_ELEMENTS(control_routes);
