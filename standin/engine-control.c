/*
 * The routes of the engine stand-in that are not streams: load reports, prefix
 * cache, orders, faults and counters for tests.
 */
#include <stdio.h>

#include "standin/engine.h"

#define EVENTS_PER_RESPONSE_MAX 1024

int refuse_request(struct _u_response *r, int status, const char *type)
{
	return answer_json(r, status,
			   json_pack("{s:{s:s,s:s}}", "error", "type", type,
				     "message", type));
}

/* Return the latest report that is at least report_lag_ms old. */
static struct load_report visible_report(struct engine *e)
{
	int64_t cutoff_ms = time_mono_ms() - e->faults.report_lag_ms;
	struct load_report visible = {0};
	uint64_t first = e->report_count > LOAD_REPORTS_KEPT
				 ? e->report_count - LOAD_REPORTS_KEPT
				 : 0;

	for (uint64_t i = first; i < e->report_count; i++) {
		if (e->reports[i % LOAD_REPORTS_KEPT].at_ms <= cutoff_ms)
			visible = e->reports[i % LOAD_REPORTS_KEPT];
	}
	return visible;
}

/* GET /load: the visible load report and the state of the engine. */
static int on_load(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct engine *e = ctx;
	struct load_report report;
	int64_t cached_tokens;
	int leaving;

	(void)q;
	g_mutex_lock(&e->lock);
	if (e->faults.no_load) {
		g_mutex_unlock(&e->lock);
		return abort_response(r);
	}
	if (e->faults.down) {
		g_mutex_unlock(&e->lock);
		return refuse_request(r, 503, "down");
	}
	report = visible_report(e);
	cached_tokens = prefix_cache_used_tokens(e->cache);
	leaving = e->faults.leaving;
	g_mutex_unlock(&e->lock);
	return answer_json(r, 200,
			   json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:b}", "running",
				     report.running_jobs, "queued",
				     report.queued_jobs, "work_tokens",
				     report.work_tokens, "cached_tokens",
				     cached_tokens, "age_ms",
				     time_mono_ms() - report.at_ms, "batch",
				     e->batch_size, "leaving", leaving));
}

/* GET /cache/events?after=N: the changes of the prefix cache after N. */
static int on_events(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	const char *after = u_map_get(q->map_url, "after");
	struct cache_event *events =
		g_new(struct cache_event, EVENTS_PER_RESPONSE_MAX);
	json_t *list = json_array();
	size_t n;

	g_mutex_lock(&e->lock);
	n = prefix_cache_events(e->cache,
				after ? g_ascii_strtoll(after, NULL, 10) : 0,
				events, EVENTS_PER_RESPONSE_MAX);
	for (size_t i = 0; i < n; i++) {
		char hash[20];

		if (e->faults.drop_event_every &&
		    events[i].seq % e->faults.drop_event_every == 0)
			continue;
		snprintf(hash, sizeof(hash), "%016" G_GINT64_MODIFIER "x",
			 events[i].prefix);
		json_array_append_new(
			list,
			json_pack("{s:I,s:s,s:s}", "seq", events[i].seq, "op",
				  events[i].stored ? "store" : "evict",
				  "prefix", hash));
	}
	g_mutex_unlock(&e->lock);
	g_free(events);
	return answer_json(r, 200, json_pack("{s:o}", "events", list));
}

/*
 * POST /orders {"fence":N,"order":"load_model",...}: accept an order unless its
 * fencing token is lower than one received before.
 */
static int on_order(const struct _u_request *q, struct _u_response *r,
		    void *ctx)
{
	struct engine *e = ctx;
	json_t *body = ulfius_get_json_body_request(q, NULL);
	int64_t fence = json_integer_value(json_object_get(body, "fence"));
	bool stale;

	if (!json_is_string(json_object_get(body, "order"))) {
		json_decref(body);
		return refuse_request(r, 400, "bad_request");
	}
	g_mutex_lock(&e->lock);
	stale = fence < e->highest_fence && !e->faults.ignore_fence;
	if (!stale) {
		e->highest_fence = MAX(e->highest_fence, fence);
		json_array_append(e->orders, body);
	}
	g_mutex_unlock(&e->lock);
	json_decref(body);
	return stale ? refuse_request(r, 409, "stale_fence")
		     : answer_json(r, 200, json_object());
}

/* GET /orders: the accepted orders. */
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

/* POST /cache/import: prefixes of the KV cache and their size in tokens. */
static int on_import(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	json_t *body = ulfius_get_json_body_request(q, NULL);
	size_t i;
	json_t *item;

	g_mutex_lock(&e->lock);
	json_array_foreach (json_object_get(body, "prefixes"), i, item) {
		const char *hex =
			json_string_value(json_object_get(item, "prefix"));

		prefix_cache_put(
			e->cache, g_ascii_strtoull(hex ? hex : "0", NULL, 16),
			json_integer_value(json_object_get(item, "tokens")));
	}
	g_mutex_unlock(&e->lock);
	json_decref(body);
	return answer_json(r, 200, json_object());
}

/* PUT /standin/faults: replace all faults. */
static int on_faults(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	json_t *body = ulfius_get_json_body_request(q, NULL);
	struct faults f = {0};
	int ignore_fence = 0, down = 0, different_words = 0, leaving = 0;
	int no_load = 0;
	const char *crash_word = "";
	int invalid = json_unpack(
		body,
		"{s?I,s?I,s?b,s?I,s?I,s?I,s?I,s?I,s?I,s?b,s?b,s?I,s?b,s?b,"
		"s?s,s?I !}",
		"lag_ms", &f.report_lag_ms, "gap", &f.drop_event_every,
		"ignore_fence", &ignore_fence, "cross", &f.crossed_answers,
		"lose", &f.lost_answers, "silent", &f.silent_streams,
		"silent_at", &f.silent_at_token, "slow", &f.step_time_factor,
		"fail", &f.refused_requests, "down", &down, "differ",
		&different_words, "vanish", &f.lost_then_down, "leaving",
		&leaving, "no_load", &no_load, "crash_word", &crash_word,
		"late", &f.late_requests);

	if (!invalid)
		g_strlcpy(f.crash_word, crash_word, sizeof(f.crash_word));
	json_decref(body);
	if (invalid)
		return refuse_request(r, 400, "unknown fault");
	f.ignore_fence = ignore_fence;
	f.down = down;
	f.different_words = different_words;
	f.leaving = leaving;
	f.no_load = no_load;
	g_mutex_lock(&e->lock);
	e->faults = f;
	g_mutex_unlock(&e->lock);
	return answer_json(r, 200, json_object());
}

/* GET /standin/runs: how often each request id ran. */
static int on_runs(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	struct engine *e = ctx;
	json_t *runs = json_object();
	GHashTableIter it;
	gpointer key, n;

	(void)q;
	g_mutex_lock(&e->lock);
	g_hash_table_iter_init(&it, e->run_counts);
	while (g_hash_table_iter_next(&it, &key, &n))
		json_object_set_new(runs, key,
				    json_integer(GPOINTER_TO_INT(n)));
	g_mutex_unlock(&e->lock);
	return answer_json(r, 200, runs);
}

/* GET /standin/counts: number of runs and of those that were cancelled. */
static int on_counts(const struct _u_request *q, struct _u_response *r,
		     void *ctx)
{
	struct engine *e = ctx;
	int64_t runs = 0, cancelled;
	GHashTableIter it;
	gpointer key, n;

	(void)q;
	g_mutex_lock(&e->lock);
	g_hash_table_iter_init(&it, e->run_counts);
	while (g_hash_table_iter_next(&it, &key, &n))
		runs += GPOINTER_TO_INT(n);
	cancelled = e->cancelled_jobs;
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
