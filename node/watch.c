/*
 * Watches: stream the changes of a collection as server-sent events, read from
 * the audit trail. A watch reads the table only when a newer revision is in
 * force on this node and at each heartbeat, so idle watches cost the table
 * little.
 */
#include <inttypes.h>
#include <string.h>

#include "node/admin-api.h"

#define HEARTBEAT_INTERVAL_MS 5000
#define POLL_INTERVAL_US      (20 * 1000)
#define STREAM_BLOCK_BYTES    4096

/* A watch in progress; used by the connection's thread only. */
struct watch {
	struct node *node;
	struct platform plat;
	struct platform_http *http;
	enum resource_kind kind;
	char *organisation;    /* the admin's; NULL: an operator */
	int64_t after;         /* newest change examined */
	int64_t seen_revision; /* in force at the last read; -1: read again */
	int64_t next_heartbeat_ms; /* monotonic */
	GString *out;
	size_t off;
	bool ended;
};

static int64_t get_int(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

/* Append a change: the resource's new spec, or null if it was deleted. */
static void append_change(struct watch *w, const json_t *view)
{
	bool deleted = json_is_null(json_object_get(view, "is"));
	json_t *j =
		json_pack("{s:O,s:O,s:O,s:O,s:O,s:I,s:O,s:O}", "revision",
			  json_object_get(view, "revision"), "change",
			  json_object_get(view, "id"), "kind",
			  json_object_get(view, "kind"), "name",
			  json_object_get(view, "name"), "spec",
			  json_object_get(view, "is"), "version",
			  deleted ? (json_int_t)0 : get_int(view, "revision"),
			  "generation", json_object_get(view, "generation"),
			  "at_ms", json_object_get(view, "at_ms"));
	char *s = json_dumps(j, JSON_COMPACT);

	g_string_append_printf(w->out, "id: %" PRId64 "\ndata: %s\n\n",
			       w->after, s);
	free(s);
	json_decref(j);
}

/* An event without data only moves the reader's position (Last-Event-ID). */
static void append_heartbeat(struct watch *w)
{
	g_string_append_printf(w->out, ": heartbeat\nid: %" PRId64 "\n\n",
			       w->after);
	w->next_heartbeat_ms = time_mono_ms() + HEARTBEAT_INTERVAL_MS;
}

static void append_error(struct watch *w, enum ramp_error e)
{
	json_t *j = ramp_error_json(e, NULL, 0);
	char *s = json_dumps(j, JSON_COMPACT);

	g_string_append_printf(w->out, "data: %s\n\n", s);
	free(s);
	json_decref(j);
	w->ended = true;
}

/*
 * Move the position to a change, and append it if it is visible and of this
 * kind.
 */
static void append_row(struct watch *w, const json_t *value)
{
	json_t *view = audit_view(value, w->organisation);
	const char *kind = json_string_value(json_object_get(view, "kind"));

	w->after = get_int(value, "revision");
	if (view && kind_from_name(kind) == w->kind)
		append_change(w, view);
	json_decref(view);
}

/*
 * Append the changes after the position.
 *
 * Return: RAMP_OK, RAMP_ERR_GONE when the next change is no longer kept, or
 * RAMP_ERR_STORE_DOWN.
 */
static enum ramp_error read_changes(struct watch *w)
{
	char *key = audit_key(w->after);
	struct rows_query q = {
		.prefix = "chg/", .after = key, .first_page = true};
	struct rows rows;
	enum ramp_error e;
	size_t i;
	json_t *row;

	e = read_rows(&w->plat, &q, &rows);
	g_free(key);
	if (e == RAMP_OK && rows.head > w->after &&
	    !json_array_size(rows.items))
		e = RAMP_ERR_GONE;
	json_array_foreach (rows.items, i, row) {
		const json_t *value = json_object_get(row, "value");

		if (e == RAMP_OK && get_int(value, "revision") != w->after + 1)
			e = RAMP_ERR_GONE;
		if (e == RAMP_OK)
			append_row(w, value);
	}
	/*
	 * There may be more pages: read again without waiting for a new
	 * revision.
	 */
	if (e == RAMP_OK && rows.head > w->after)
		w->seen_revision = -1;
	rows_clear(&rows);
	return e;
}

/* Wait until there is a change, a heartbeat or the end to send. */
static void fill_buffer(struct watch *w)
{
	g_string_truncate(w->out, 0);
	w->off = 0;
	while (!w->out->len && !w->ended) {
		int64_t revision = node_config_revision(w->node);
		bool heartbeat_due = time_mono_ms() >= w->next_heartbeat_ms;
		enum ramp_error e = RAMP_OK;

		if (atomic_load(&w->node->leaving)) {
			w->ended = true;
			return;
		}
		if (revision != w->seen_revision || heartbeat_due) {
			w->seen_revision = revision;
			e = read_changes(w);
		}
		if (e == RAMP_ERR_GONE)
			append_error(w, e);
		else if (heartbeat_due)
			append_heartbeat(w);
		if (!w->out->len)
			g_usleep(POLL_INTERVAL_US);
	}
}

static ssize_t read_watch(void *ctx, uint64_t off, char *buf, size_t max)
{
	struct watch *w = ctx;
	size_t n;

	(void)off;
	if (w->off == w->out->len && !w->ended)
		fill_buffer(w);
	if (w->off == w->out->len)
		return U_STREAM_END;
	n = MIN(max, w->out->len - w->off);
	memcpy(buf, w->out->str + w->off, n);
	w->off += n;
	return (ssize_t)n;
}

static void close_watch(void *ctx)
{
	struct watch *w = ctx;

	metric_add(M_WATCHES_OPEN, -1);
	platform_http_free(w->http);
	g_string_free(w->out, TRUE);
	g_free(w->organisation);
	g_free(w);
}

/*
 * Read the position to begin after: ?after=N, else Last-Event-ID, which a
 * reconnecting reader sends; -1 without both.
 */
static bool read_position(const struct api_call *c, int64_t *after)
{
	const char *last = u_map_get_case(c->q->map_header, "Last-Event-ID");
	char *end;

	*after = -1;
	if (u_map_get(c->q->map_url, "after"))
		return api_query_int(c, "after", after);
	if (!last)
		return true;
	*after = g_ascii_strtoll(last, &end, 10);
	return end != last && !*end && *after >= 0;
}

/* Begin after the position, or without one (-1) after the newest change. */
static enum ramp_error begin_at(struct watch *w, int64_t after)
{
	struct rows_query q = {.prefix = "head/config",
			       .first_page = true,
			       .min_head = node_config_revision(w->node)};
	struct rows rows;
	enum ramp_error e;

	w->after = after;
	if (after >= 0)
		return read_changes(w);
	e = read_rows(&w->plat, &q, &rows);
	w->after = rows.head;
	rows_clear(&rows);
	return e;
}

int watch_begin(struct api_call *c, enum resource_kind k)
{
	struct watch *w;
	int64_t after;
	enum ramp_error e;

	if (!read_position(c, &after))
		return api_refuse(c, RAMP_ERR_BAD_REQUEST,
				  "after: a revision is required");
	w = g_new0(struct watch, 1);
	w->node = c->node;
	w->kind = k;
	w->organisation = g_strdup(c->organisation);
	w->out = g_string_new(NULL);
	w->http = platform_http_new(&c->node->set, NULL, &w->plat);
	w->seen_revision = node_config_revision(c->node);
	metric_add(M_WATCHES_OPEN, 1);
	e = begin_at(w, after);
	if (e != RAMP_OK) {
		close_watch(w);
		return api_refuse(c, e, NULL);
	}
	append_heartbeat(w);
	u_map_put(c->r->map_header, "Content-Type", "text/event-stream");
	ulfius_set_stream_response(c->r, 200, read_watch, close_watch,
				   U_STREAM_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
				   w);
	/* End the call now, so that a drain doesn't wait for watches. */
	api_end(c);
	return U_CALLBACK_COMPLETE;
}
