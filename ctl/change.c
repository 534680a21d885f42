/*
 * The commands put and delete. A change is resent until its outcome is known,
 * always under the same Change-Id, so that it is made at most once.
 */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

#define CHANGE_ID_BYTES   16
#define ATTEMPTS_MIN      3
#define RETRY_INTERVAL_US (200 * 1000)
#define STATUS_POLL_US    (100 * 1000)

static void new_change_id(char *hex, size_t size)
{
	unsigned char raw[CHANGE_ID_BYTES];

	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(hex, size, raw, sizeof(raw));
}

static bool is_outcome_unknown(const struct ctl_reply *r)
{
	const char *outcome = json_string_value(
		json_object_get(json_object_get(r->body, "error"), "outcome"));

	return !r->status || !g_strcmp0(outcome, outcome_name(OUTCOME_UNKNOWN));
}

/*
 * Send a change to the nodes in turn, under the same Change-Id each time, until
 * a response states the outcome. A node gets the change only after it answered
 * a probe: if none did, the change is known not to have been made, unless
 * --change says that an earlier command may have sent it.
 */
static enum ctl_exit send_until_known(const struct ctl_options *opts,
				      const struct ctl_request *request,
				      struct ctl_reply *r)
{
	struct ctl_request copy = *request;
	struct ctl_request *q = &copy;
	int max_attempts = MAX(ATTEMPTS_MIN, 2 * opts->node_count);
	char new_id[CHANGE_ID_BYTES * 2 + 1];
	int sent = opts->change ? 1 : 0;
	char attempt[16];

	new_change_id(new_id, sizeof(new_id));
	q->headers[0] = (struct ctl_header){
		"Change-Id", opts->change ? opts->change : new_id};
	memset(r, 0, sizeof(*r));
	for (int i = 0; i < max_attempts; i++) {
		const char *node = opts->nodes[i % opts->node_count];

		if (i >= opts->node_count)
			g_usleep(RETRY_INTERVAL_US);
		if (!ctl_probe(opts, node))
			continue;
		g_snprintf(attempt, sizeof(attempt), "%d", ++sent);
		q->headers[1] = (struct ctl_header){"Change-Attempt", attempt};
		ctl_reply_clear(r);
		ctl_send(opts, node, q, r);
		if (!is_outcome_unknown(r))
			return ctl_check_reply(r);
	}
	if (!sent)
		return ctl_check_reply(r);
	fprintf(stderr,
		"rampctl: unknown: the change may have been made; check with "
		"\"rampctl changes %s\" or resend it with --change %s\n",
		q->headers[0].value, q->headers[0].value);
	return CTL_UNKNOWN;
}

/* Poll the status until a revision is in force on every node. */
static enum ctl_exit wait_in_force(const struct ctl_options *opts,
				   const char *plural, const char *name,
				   int64_t revision)
{
	static const char *const columns[] = {"revision", "in_force", "live",
					      "since_ms", NULL};
	int64_t deadline_ms = time_mono_ms() + opts->timeout_ms;
	char *path = g_strdup_printf("/v1/resources/%s/%s/status?revision=%lld",
				     plural, name, (long long)revision);
	bool in_force = false;

	while (!in_force && time_mono_ms() < deadline_ms) {
		struct ctl_reply r;

		ctl_get(opts, path, &r);
		in_force = r.status == 200 &&
			   json_is_true(json_object_get(r.body, "everywhere"));
		if (in_force && !opts->json) {
			printf("in-force\t");
			ctl_print_row(r.body, columns);
		}
		ctl_reply_clear(&r);
		if (!in_force)
			g_usleep(STATUS_POLL_US);
	}
	g_free(path);
	if (!in_force)
		fprintf(stderr,
			"rampctl: timed out: revision %lld is not in force on "
			"every node\n",
			(long long)revision);
	return in_force ? CTL_OK : CTL_NOT_IN_FORCE;
}

/*
 * Send one change, print its outcome and, with --wait, wait until it is in
 * force. The body is NULL for DELETE. Without --force, a positive version is
 * the precondition; a PUT without one must create the resource.
 */
static enum ctl_exit send_change(const struct ctl_options *opts,
				 const char *method, const char *plural,
				 const char *name, int64_t version, char *body)
{
	static const char *const columns[] = {
		"change",  "kind",       "name", "revision",
		"version", "generation", NULL};
	char *escaped = g_uri_escape_string(name, NULL, FALSE);
	char *path = g_strdup_printf("/v1/resources/%s/%s%s", plural, escaped,
				     opts->force ? "?force=true" : "");
	char *match = g_strdup_printf("%lld", (long long)version);
	struct ctl_request q = {.method = method, .path = path, .body = body};
	struct ctl_reply r;
	enum ctl_exit code;

	if (!opts->force && version > 0)
		q.headers[2] = (struct ctl_header){"If-Match", match};
	else if (!opts->force && body)
		q.headers[2] = (struct ctl_header){"If-None-Match", "*"};
	code = send_until_known(opts, &q, &r);
	if (code == CTL_OK && !ctl_print_json(opts, &r))
		ctl_print_row(r.body, columns);
	fflush(stdout);
	if (code == CTL_OK && opts->wait)
		code = wait_in_force(opts, plural, escaped,
				     json_integer_value(json_object_get(
					     r.body, "revision")));
	ctl_reply_clear(&r);
	g_free(match);
	g_free(path);
	g_free(escaped);
	return code;
}

/*
 * Put one resource. The precondition is the version given by --version, else
 * the one in the resource, as get prints it.
 */
static enum ctl_exit put_resource(const struct ctl_options *opts,
				  const json_t *json)
{
	const char *kind = json_string_value(json_object_get(json, "kind"));
	const char *name = json_string_value(json_object_get(json, "name"));
	int64_t version = json_integer_value(json_object_get(json, "version"));
	const char *plural;
	enum ctl_exit code;
	char *body;

	if (!kind || !name || !json_object_get(json, "spec")) {
		fprintf(stderr, "rampctl: resource lacks kind, name or "
				"spec\n");
		return CTL_USAGE;
	}
	plural = ctl_kind_plural(kind);
	if (!plural)
		return CTL_USAGE;
	body = json_dumps(json, JSON_COMPACT);
	code = send_change(opts, "PUT", plural, name,
			   opts->version >= 0 ? opts->version : version, body);
	free(body);
	return code;
}

static json_t *read_file(const char *path)
{
	json_error_t error;
	json_t *json = strcmp(path, "-") ? json_load_file(path, 0, &error)
					 : json_loadf(stdin, 0, &error);

	if (!json)
		fprintf(stderr, "rampctl: %s:%d:%d: %s\n", path, error.line,
			error.column, error.text);
	return json;
}

/* The file holds one resource, a list, or the output of "get --json". */
enum ctl_exit ctl_cmd_put(const struct ctl_options *opts)
{
	enum ctl_exit code = CTL_OK;
	json_t *document, *list, *resource;
	size_t i;

	if (!opts->file || opts->arg_count) {
		fprintf(stderr, "usage: rampctl put -f FILE\n");
		return CTL_USAGE;
	}
	document = read_file(opts->file);
	if (!document)
		return CTL_USAGE;
	list = json_is_object(document) ? json_object_get(document, "items")
					: document;
	if (opts->change && json_array_size(list) > 1) {
		fprintf(stderr, "rampctl: --change allows only one resource\n");
		json_decref(document);
		return CTL_USAGE;
	}
	if (!list)
		code = put_resource(opts, document);
	json_array_foreach (list, i, resource) {
		struct ctl_options single = *opts;

		/* Once a revision is in force, so are all earlier ones. */
		single.wait = opts->wait && i + 1 == json_array_size(list);
		code = put_resource(&single, resource);
		if (code == CTL_OK)
			continue;
		if (i + 1 < json_array_size(list))
			fprintf(stderr,
				"rampctl: %zu remaining resources were not "
				"sent\n",
				json_array_size(list) - i - 1);
		break;
	}
	json_decref(document);
	return code;
}

enum ctl_exit ctl_cmd_delete(const struct ctl_options *opts)
{
	const char *plural;

	if (opts->arg_count != 2 || (opts->version < 1 && !opts->force)) {
		fprintf(stderr, "usage: rampctl delete KIND NAME "
				"--version N | --force\n");
		return CTL_USAGE;
	}
	plural = ctl_kind_plural(opts->args[0]);
	if (!plural)
		return CTL_USAGE;
	return send_change(opts, "DELETE", plural, opts->args[1], opts->version,
			   NULL);
}
