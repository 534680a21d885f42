/* HTTP requests to nodes, exit codes for their responses, and output. */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

#define CALL_TIMEOUT_S  30
#define PROBE_TIMEOUT_S 2

void ctl_request_init(const struct ctl_options *opts, const char *node,
		      const struct ctl_request *request,
		      unsigned long timeout_s,
		      struct _u_request *ulfius_request)
{
	char *url = g_strdup_printf("http://%s%s", node, request->path);

	ulfius_init_request(ulfius_request);
	ulfius_set_request_properties(ulfius_request, U_OPT_HTTP_VERB,
				      request->method, U_OPT_HTTP_URL, url,
				      U_OPT_TIMEOUT, timeout_s, U_OPT_NONE);
	if (opts->key) {
		char *bearer = g_strconcat("Bearer ", opts->key, NULL);

		u_map_put(ulfius_request->map_header, "Authorization", bearer);
		g_free(bearer);
	}
	for (int i = 0; i < CTL_HEADERS_MAX && request->headers[i].name; i++)
		u_map_put(ulfius_request->map_header, request->headers[i].name,
			  request->headers[i].value);
	if (request->body) {
		u_map_put(ulfius_request->map_header, "Content-Type",
			  "application/json");
		ulfius_set_request_properties(
			ulfius_request, U_OPT_BINARY_BODY, request->body,
			strlen(request->body), U_OPT_NONE);
	}
	g_free(url);
}

static void send_with_timeout(const struct ctl_options *opts, const char *node,
			      const struct ctl_request *request,
			      unsigned long timeout_s, struct ctl_reply *reply)
{
	struct _u_request ulfius_request;
	struct _u_response ulfius_response;

	memset(reply, 0, sizeof(*reply));
	ctl_request_init(opts, node, request, timeout_s, &ulfius_request);
	ulfius_init_response(&ulfius_response);
	if (ulfius_send_http_request(&ulfius_request, &ulfius_response) ==
	    U_OK) {
		reply->status = (int)ulfius_response.status;
		reply->body =
			json_loadb(ulfius_response.binary_body
					   ? ulfius_response.binary_body
					   : "",
				   ulfius_response.binary_body_length, 0, NULL);
	}
	ulfius_clean_response(&ulfius_response);
	ulfius_clean_request(&ulfius_request);
}

void ctl_send(const struct ctl_options *opts, const char *node,
	      const struct ctl_request *request, struct ctl_reply *reply)
{
	send_with_timeout(opts, node, request, CALL_TIMEOUT_S, reply);
}

bool ctl_probe(const struct ctl_options *opts, const char *node)
{
	struct ctl_request request = {.method = "GET", .path = "/ready"};
	struct ctl_reply reply;
	bool ok;

	send_with_timeout(opts, node, &request, PROBE_TIMEOUT_S, &reply);
	ok = reply.status != 0;
	ctl_reply_clear(&reply);
	return ok;
}

void ctl_get(const struct ctl_options *opts, const char *path,
	     struct ctl_reply *reply)
{
	struct ctl_request request = {.method = "GET", .path = path};

	memset(reply, 0, sizeof(*reply));
	for (int i = 0; i < opts->node_count; i++) {
		struct ctl_reply candidate;

		ctl_send(opts, opts->nodes[i], &request, &candidate);
		if (!candidate.status)
			continue;
		ctl_reply_clear(reply);
		*reply = candidate;
		if (candidate.status != 503)
			return;
	}
}

void ctl_reply_clear(struct ctl_reply *reply)
{
	json_decref(reply->body);
	reply->body = NULL;
	reply->status = 0;
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

enum ctl_exit ctl_check_reply(const struct ctl_reply *reply)
{
	const json_t *error = json_object_get(reply->body, "error");
	const json_t *details = json_object_get(reply->body, "errors");
	const json_t *version = json_object_get(reply->body, "version");
	const char *type = json_string_value(json_object_get(error, "type"));
	const char *message =
		json_string_value(json_object_get(error, "message"));
	const char *outcome =
		json_string_value(json_object_get(error, "outcome"));
	enum ctl_exit code = exit_code_for(reply->status, outcome);
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

bool ctl_print_json(const struct ctl_options *opts,
		    const struct ctl_reply *reply)
{
	if (!opts->json)
		return false;
	json_dumpf(reply->body, stdout, JSON_INDENT(2));
	putchar('\n');
	return true;
}

void ctl_print_row(const json_t *object, const char *const *columns)
{
	for (size_t i = 0; columns[i]; i++) {
		const json_t *value = json_object_get(object, columns[i]);
		char *text;

		if (i)
			putchar('\t');
		if (json_is_string(value)) {
			fputs(json_string_value(value), stdout);
			continue;
		}
		text = value ? json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY)
			     : NULL;
		fputs(text ? text : "-", stdout);
		free(text);
	}
	putchar('\n');
}

const char *ctl_kind_plural(const char *kind)
{
	enum resource_kind parsed = kind_from_name(kind);

	if (parsed != KIND_COUNT)
		return kind_plural(parsed);
	fprintf(stderr,
		"rampctl: %s: unknown kind; expected organisation, service "
		"or intent\n",
		kind);
	return NULL;
}
