/*
 * Responses that the entry generates itself: errors, readiness, the list of
 * entries, and metrics.
 */
#include <http_parser.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "entry/explain.h"
#include "route/directory.h"

/*
 * Time for which callers cache the list of entries, and so the time until they
 * see a change of it.
 */
#define ENTRIES_TTL_S 2.0
/* Most entries in one response; callers accept no more. */
#define ENTRIES_MAX 64

void local_reply_write(struct buf *out, const struct local_reply *reply,
		       bool keep)
{
	size_t n = reply->body ? strlen(reply->body) : 0;

	buf_fmt(out, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n", reply->status,
		http_status_str((enum http_status)reply->status), n);
	if (n)
		buf_fmt(out, "Content-Type: %s\r\n",
			reply->type ? reply->type : "application/json");
	if (reply->retry_after_ms > 0)
		buf_fmt(out, "Retry-After: %.3f\r\n",
			(double)reply->retry_after_ms / 1000);
	if (!keep)
		buf_fmt(out, "Connection: close\r\n");
	buf_fmt(out, "\r\n");
	if (n)
		buf_add(out, reply->body, n);
}

void local_reply_error(struct buf *out, const struct traffic *tr, void *arena,
		       enum ramp_error kind, int64_t retry_after_ms, bool keep)
{
	struct local_reply reply = {
		.status = error_responses[kind].http_status,
		.body = tr->dialect->error_body(arena, kind),
		.retry_after_ms = retry_after_ms,
	};

	local_reply_write(out, &reply, keep);
}

/* Whether the node has a configuration and targets, and is not leaving. */
static bool is_ready(const struct traffic *tr)
{
	return tr->config && tr->list && !tr->leaving_ms;
}

/* Return the value of a query parameter, or {NULL, 0}. */
static struct str query_value(struct str url, struct str name)
{
	const char *end = url.data + url.len;
	const char *p = memchr(url.data, '?', url.len);

	while (p && ++p < end) {
		const char *amp = memchr(p, '&', (size_t)(end - p));
		size_t n = (size_t)((amp ? amp : end) - p);

		if (n > name.len && p[name.len] == '=' &&
		    !memcmp(p, name.data, name.len))
			return (struct str){p + name.len + 1, n - name.len - 1};
		p = amp;
	}
	return (struct str){NULL, 0};
}

static void shuffle(struct traffic *tr, struct str *v, size_t n)
{
	for (size_t i = n; i > 1; i--) {
		size_t k = (size_t)g_rand_int_range(tr->rand, 0, (gint32)i);
		struct str swap = v[i - 1];

		v[i - 1] = v[k];
		v[k] = swap;
	}
}

/*
 * Write the addresses of the entries that accept requests now to v, which has
 * room for all, and return their number. Those of the caller's zone are first;
 * *in_zone is set to their number. with_cut: also those that have lost their
 * way to targets.
 */
static size_t list_entries(struct traffic *tr, struct str zone, bool with_cut,
			   struct str *v, size_t *in_zone)
{
	const struct peer_list *l = tr->peers;
	uint64_t self = member_id(tr->settings->node_name);
	int64_t now = time_boot_ms();
	size_t n = 0;

	*in_zone = 0;
	for (size_t i = 0; l && i < l->n; i++) {
		const struct entry_peer *p = &l->v[i];
		bool serves = p->id == self ? entry_is_serving(tr->e, now)
					    : loads_peer_is_serving(
						      tr->e->loads, p->id, now);

		if (!serves ||
		    (!with_cut && notices_get(tr->e->notices, NOTICE_NODE_CUT,
					      p->id, now, 0)))
			continue;
		v[n++] = p->address;
		/* Entries of the caller's zone are kept at the front. */
		if (str_eq(p->zone, zone)) {
			struct str swap = v[*in_zone];

			v[(*in_zone)++] = v[n - 1];
			v[n - 1] = swap;
		}
	}
	return n;
}

/*
 * The same, of more than ENTRIES_MAX those of the caller's zone first, at
 * random within and outside the zone. Return how many to use.
 */
static size_t pick_entries(struct traffic *tr, struct str zone, struct str *v)
{
	size_t in_zone, n = list_entries(tr, zone, false, v, &in_zone);

	if (!n)
		n = list_entries(tr, zone, true, v, &in_zone);
	if (n <= ENTRIES_MAX)
		return n;
	shuffle(tr, v, in_zone);
	shuffle(tr, v + in_zone, n - in_zone);
	return ENTRIES_MAX;
}

/* Return how long callers may keep an answer that names so many nodes. */
static double entries_ttl_s(const struct traffic *tr, size_t listed,
			    size_t known)
{
	struct directory_view view = {
		.listed = listed,
		.known = MIN(known, ENTRIES_MAX),
		.age_ms = time_boot_ms() - tr->started_ms,
	};

	return directory_ttl_s(
		&view, MIN(ENTRIES_TTL_S, tr->settings->bounds_entries_ttl_s));
}

static void serve_entries(struct buf *out, struct traffic *tr,
			  const struct message *m, bool keep)
{
	size_t max = tr->peers ? tr->peers->n : 0, n;
	struct str *v = talloc_array(m->arena, struct str, max + 1);
	struct local_reply reply = {.status = 200};

	n = pick_entries(tr, query_value(m->url, tr->dialect->query_zone), v);
	if (!n) {
		local_reply_error(out, tr, m->arena, RAMP_ERR_NOT_READY, 0,
				  keep);
		return;
	}
	reply.body = tr->dialect->entries_body(m->arena, v, n,
					       entries_ttl_s(tr, n, max));
	local_reply_write(out, &reply, keep);
}

static void serve_metrics(struct buf *out, const struct message *m, bool keep)
{
	char *text = metrics_text();
	struct local_reply reply = {.status = 200, .type = "text/plain"};

	reply.body = talloc_strdup(m->arena, text);
	g_free(text);
	local_reply_write(out, &reply, keep);
}

void local_reply_serve(struct buf *out, struct traffic *tr, enum port_kind kind,
		       const struct message *m, struct str body, bool keep)
{
	struct str path = url_path(m->url);
	struct local_reply ok = {.status = 200};

	if (kind == PORT_METRICS) {
		serve_metrics(out, m, keep);
	} else if (kind == PORT_EXPLAIN) {
		explain_serve(out, tr, m, body, keep);
	} else if (kind == PORT_READY &&
		   str_eq(path, tr->dialect->ready_path)) {
		if (is_ready(tr))
			local_reply_write(out, &ok, keep);
		else
			local_reply_error(out, tr, m->arena, RAMP_ERR_NOT_READY,
					  0, keep);
	} else if (kind == PORT_ENTRIES &&
		   str_eq(path, tr->dialect->entries_path)) {
		serve_entries(out, tr, m, keep);
	} else {
		local_reply_error(out, tr, m->arena, RAMP_ERR_NOT_FOUND, 0,
				  keep);
	}
}
