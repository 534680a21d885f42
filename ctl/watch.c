/* watch: prints changes as they come and goes on through another node. */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"
#include "http/http.h"

/* A connection that went silent is given up after this. */
#define CONNECTION_S 30
#define RETRY_US     (200 * 1000)

struct watcher {
	const struct ctl *ctl;
	GByteArray *bytes;
	int64_t after; /* -1: from now on */
	int64_t printed;
	bool gone;
	bool done;
};

static void print_change(struct watcher *w, const json_t *j)
{
	static const char *const columns[] = {"revision", "kind", "name",
					      "version",  "spec", NULL};

	if (w->ctl->json) {
		json_dumpf(j, stdout, JSON_COMPACT);
		putchar('\n');
	} else {
		ctl_print_row(j, columns);
	}
	fflush(stdout);
	w->printed++;
	w->done = w->ctl->count && w->printed >= w->ctl->count;
}

static void take_event(struct watcher *w, const struct sse_event *e)
{
	json_t *j = e->data.len ? json_loadb(e->data.data, e->data.len, 0, NULL)
				: NULL;
	char *id = g_strndup(e->id.data ? e->id.data : "", e->id.len);
	int64_t at = g_ascii_strtoll(id, NULL, 10);

	g_free(id);
	if (json_object_get(j, "error"))
		w->gone = true;
	else if (j && at > w->after)
		print_change(w, j);
	if (e->id.len && at > w->after)
		w->after = at;
	json_decref(j);
}

static size_t on_bytes(void *data, size_t size, size_t n, void *arg)
{
	struct watcher *w = arg;
	struct sse_event e;
	size_t used;

	g_byte_array_append(w->bytes, data, (guint)(size * n));
	while (!w->done && !w->gone &&
	       (used = sse_next((char *)w->bytes->data, w->bytes->len, &e))) {
		take_event(w, &e);
		g_byte_array_remove_range(w->bytes, 0, (guint)used);
	}
	return w->done || w->gone ? 0 : size * n;
}

/* One connection. Returns the HTTP status, 0 when none came. */
static int follow(struct watcher *w, const char *node, const char *plural)
{
	char *after = w->after < 0 ? g_strdup("")
				   : g_strdup_printf("&after=%lld",
						     (long long)w->after);
	char *path =
		g_strdup_printf("/v1/resources/%s?watch=true%s", plural, after);
	struct ctl_request q = {.method = "GET", .path = path};
	struct _u_request req;
	struct _u_response resp;
	int status = 0;

	ctl_prepare(w->ctl, node, &q, CONNECTION_S, &req);
	ulfius_init_response(&resp);
	g_byte_array_set_size(w->bytes, 0);
	if (ulfius_send_http_streaming_request(&req, &resp, on_bytes, w) ==
	    U_OK)
		status = (int)resp.status;
	ulfius_clean_response(&resp);
	ulfius_clean_request(&req);
	g_free(path);
	g_free(after);
	return status;
}

static bool is_final(int status)
{
	return status == 400 || status == 401 || status == 403 || status == 404;
}

enum ctl_exit ctl_cmd_watch(const struct ctl *c)
{
	struct watcher w = {.ctl = c, .after = c->after};
	enum ctl_exit code = CTL_OK;
	const char *plural;

	if (c->arg_count != 1) {
		fprintf(stderr, "usage: rampctl watch KIND [--after N]\n");
		return CTL_USAGE;
	}
	plural = ctl_plural(c->args[0]);
	if (!plural)
		return CTL_USAGE;
	w.bytes = g_byte_array_new();
	for (int i = 0; !w.done && code == CTL_OK; i++) {
		int status = follow(&w, c->nodes[i % c->node_count], plural);

		if (w.gone || status == 410) {
			fprintf(stderr,
				"rampctl: gone: changes after %lld are "
				"no longer kept; list and begin "
				"again\n",
				(long long)w.after);
			code = CTL_ABSENT;
		} else if (is_final(status)) {
			fprintf(stderr, "rampctl: the node answered %d\n",
				status);
			code = CTL_FAILED;
		} else if (!w.done) {
			g_usleep(RETRY_US);
		}
	}
	g_byte_array_unref(w.bytes);
	return code;
}
