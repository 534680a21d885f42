/* HTTP requests to nodes, exit codes for their responses, and output. */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

#define CALL_TIMEOUT_S  30
#define PROBE_TIMEOUT_S 2

void ctl_prepare(const struct ctl *c, const char *node,
		 const struct ctl_request *q, unsigned long timeout_s,
		 struct _u_request *out)
{
	char *url = g_strdup_printf("http://%s%s", node, q->path);

	ulfius_init_request(out);
	ulfius_set_request_properties(out, U_OPT_HTTP_VERB, q->method,
				      U_OPT_HTTP_URL, url, U_OPT_TIMEOUT,
				      timeout_s, U_OPT_NONE);
	if (c->key) {
		char *bearer = g_strconcat("Bearer ", c->key, NULL);

		u_map_put(out->map_header, "Authorization", bearer);
		g_free(bearer);
	}
	for (int i = 0; i < CTL_HEADERS_MAX && q->headers[i].name; i++)
		u_map_put(out->map_header, q->headers[i].name,
			  q->headers[i].value);
	if (q->body) {
		u_map_put(out->map_header, "Content-Type", "application/json");
		ulfius_set_request_properties(out, U_OPT_BINARY_BODY, q->body,
					      strlen(q->body), U_OPT_NONE);
	}
	g_free(url);
}

static void send_with_timeout(const struct ctl *c, const char *node,
			      const struct ctl_request *q,
			      unsigned long timeout_s, struct ctl_reply *r)
{
	struct _u_request req;
	struct _u_response resp;

	memset(r, 0, sizeof(*r));
	ctl_prepare(c, node, q, timeout_s, &req);
	ulfius_init_response(&resp);
	if (ulfius_send_http_request(&req, &resp) == U_OK) {
		r->status = (int)resp.status;
		r->body = json_loadb(resp.binary_body ? resp.binary_body : "",
				     resp.binary_body_length, 0, NULL);
	}
	ulfius_clean_response(&resp);
	ulfius_clean_request(&req);
}

void ctl_send(const struct ctl *c, const char *node,
	      const struct ctl_request *q, struct ctl_reply *r)
{
	send_with_timeout(c, node, q, CALL_TIMEOUT_S, r);
}

bool ctl_probe(const struct ctl *c, const char *node)
{
	struct ctl_request q = {.method = "GET", .path = "/ready"};
	struct ctl_reply r;
	bool ok;

	send_with_timeout(c, node, &q, PROBE_TIMEOUT_S, &r);
	ok = r.status != 0;
	ctl_reply_clear(&r);
	return ok;
}

void ctl_get(const struct ctl *c, const char *path, struct ctl_reply *r)
{
	struct ctl_request q = {.method = "GET", .path = path};

	memset(r, 0, sizeof(*r));
	for (int i = 0; i < c->node_count; i++) {
		struct ctl_reply reply;

		ctl_send(c, c->nodes[i], &q, &reply);
		if (!reply.status)
			continue;
		ctl_reply_clear(r);
		*r = reply;
		if (reply.status != 503)
			return;
	}
}

void ctl_reply_clear(struct ctl_reply *r)
{
	json_decref(r->body);
	r->body = NULL;
	r->status = 0;
}

static enum ctl_exit exit_code_for(int status, const char *outcome)
{
	if (!status)
		return CTL_NO_NODE;
	if (status < 300)
		return CTL_OK;
	if (!g_strcmp0(outcome, outcome_name(OUTCOME_UNKNOWN)))
		return CTL_UNKNOWN;
	if (status == 409)
		return CTL_CONFLICT;
	return status == 404 || status == 410 ? CTL_ABSENT : CTL_FAILED;
}

enum ctl_exit ctl_report(const struct ctl_reply *r)
{
	const json_t *error = json_object_get(r->body, "error");
	const json_t *details = json_object_get(r->body, "errors");
	const json_t *version = json_object_get(r->body, "version");
	const char *type = json_string_value(json_object_get(error, "type"));
	const char *message =
		json_string_value(json_object_get(error, "message"));
	const char *outcome =
		json_string_value(json_object_get(error, "outcome"));
	enum ctl_exit code = exit_code_for(r->status, outcome);
	size_t i;
	json_t *detail;

	if (code == CTL_OK)
		return code;
	if (code == CTL_NO_NODE) {
		fprintf(stderr, "rampctl: no node answered\n");
		return code;
	}
	fprintf(stderr, "rampctl: %s: %s\n", type ? type : "error",
		message ? message : "no reason given");
	json_array_foreach (details, i, detail)
		fprintf(stderr, "rampctl: %s\n", json_string_value(detail));
	if (code == CTL_CONFLICT && version)
		fprintf(stderr, "rampctl: present version: %lld\n",
			(long long)json_integer_value(version));
	return code;
}

bool ctl_print_json(const struct ctl *c, const struct ctl_reply *r)
{
	if (!c->json)
		return false;
	json_dumpf(r->body, stdout, JSON_INDENT(2));
	putchar('\n');
	return true;
}

void ctl_print_row(const json_t *j, const char *const *columns)
{
	for (size_t i = 0; columns[i]; i++) {
		const json_t *v = json_object_get(j, columns[i]);
		char *s;

		if (i)
			putchar('\t');
		if (json_is_string(v)) {
			fputs(json_string_value(v), stdout);
			continue;
		}
		s = v ? json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
		fputs(s ? s : "-", stdout);
		free(s);
	}
	putchar('\n');
}

const char *ctl_plural(const char *kind)
{
	enum resource_kind k = kind_from_name(kind);

	if (k != KIND_COUNT)
		return kind_plural(k);
	fprintf(stderr,
		"rampctl: %s: unknown kind; expected organisation, service "
		"or intent\n",
		kind);
	return NULL;
}
