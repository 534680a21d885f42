/*
 * The command watch: print changes as they are made. When a connection ends,
 * resume through the next node after the last revision seen.
 */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"
#include "http/http.h"

/* Longest life of a connection, so that a stalled one is replaced. */
#define CONNECTION_TIMEOUT_S 30
#define RECONNECT_DELAY_US   (200 * 1000)

struct watcher {
	const struct ctl_options *opts;
	GByteArray *buffer;
	int64_t after;   /* last revision seen; -1: start at the newest */
	int64_t printed; /* number of changes printed */
	bool compacted;  /* changes after that revision are no longer kept */
	bool done;       /* --count changes have been printed */
};

static void print_change(struct watcher *w, const json_t *change)
{
	static const char *const columns[] = {"revision", "kind", "name",
					      "version",  "spec", NULL};

	if (w->opts->json) {
		json_dumpf(change, stdout, JSON_COMPACT);
		putchar('\n');
	} else {
		ctl_print_row(change, columns);
	}
	fflush(stdout);
	w->printed++;
	w->done = w->opts->count && w->printed >= w->opts->count;
}

static void handle_event(struct watcher *w, const struct sse_event *e)
{
	json_t *change =
		e->data.len ? json_loadb(e->data.data, e->data.len, 0, NULL)
			    : NULL;
	char *id = g_strndup(e->id.data ? e->id.data : "", e->id.len);
	int64_t revision = g_ascii_strtoll(id, NULL, 10);

	g_free(id);
	/* A node ends the stream with an error if the revision is too old. */
	if (json_object_get(change, "error"))
		w->compacted = true;
	else if (change && revision > w->after)
		print_change(w, change);
	if (e->id.len && revision > w->after)
		w->after = revision;
	json_decref(change);
}

/* Callback of libcurl; a result other than size * count ends the transfer. */
static size_t on_data(void *data, size_t size, size_t count, void *arg)
{
	struct watcher *w = arg;
	struct sse_event e;
	size_t used;

	g_byte_array_append(w->buffer, data, (guint)(size * count));
	while (!w->done && !w->compacted &&
	       (used = sse_next((char *)w->buffer->data, w->buffer->len, &e))) {
		handle_event(w, &e);
		g_byte_array_remove_range(w->buffer, 0, (guint)used);
	}
	return w->done || w->compacted ? 0 : size * count;
}

/* Watch over one connection; return its HTTP status, 0 for no response. */
static int watch_node(struct watcher *w, const char *node, const char *plural)
{
	char *after = w->after < 0 ? g_strdup("")
				   : g_strdup_printf("&after=%lld",
						     (long long)w->after);
	char *path =
		g_strdup_printf("/v1/resources/%s?watch=true%s", plural, after);
	struct ctl_request q = {.method = "GET", .path = path};
	struct _u_request ulfius_request;
	struct _u_response ulfius_response;
	int status = 0;

	ctl_request_init(w->opts, node, &q, CONNECTION_TIMEOUT_S,
			 &ulfius_request);
	ulfius_init_response(&ulfius_response);
	g_byte_array_set_size(w->buffer, 0);
	if (ulfius_send_http_streaming_request(
		    &ulfius_request, &ulfius_response, on_data, w) == U_OK)
		status = (int)ulfius_response.status;
	ulfius_clean_response(&ulfius_response);
	ulfius_clean_request(&ulfius_request);
	g_free(path);
	g_free(after);
	return status;
}

/* Return whether another attempt would get the same status. */
static bool is_permanent(int status)
{
	return status == 400 || status == 401 || status == 403 || status == 404;
}

enum ctl_exit ctl_cmd_watch(const struct ctl_options *opts)
{
	struct watcher w = {.opts = opts, .after = opts->after};
	enum ctl_exit code = CTL_OK;
	const char *plural;

	if (opts->arg_count != 1) {
		fprintf(stderr, "usage: rampctl watch KIND [--after N]\n");
		return CTL_USAGE;
	}
	plural = ctl_kind_plural(opts->args[0]);
	if (!plural)
		return CTL_USAGE;
	w.buffer = g_byte_array_new();
	for (int i = 0; !w.done && code == CTL_OK; i++) {
		int status = watch_node(&w, opts->nodes[i % opts->node_count],
					plural);

		if (w.compacted || status == 410) {
			fprintf(stderr,
				"rampctl: gone: changes after %lld are "
				"no longer kept; get the resources "
				"and watch again\n",
				(long long)w.after);
			code = CTL_ABSENT;
		} else if (is_permanent(status)) {
			fprintf(stderr, "rampctl: node returned status %d\n",
				status);
			code = CTL_FAILED;
		} else if (!w.done) {
			g_usleep(RECONNECT_DELAY_US);
		}
	}
	g_byte_array_unref(w.buffer);
	return code;
}
