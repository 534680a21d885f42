/* put and delete: changes, sent until their outcome is known. */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

#define ID_BYTES         16
#define ATTEMPTS_MIN     3
#define ATTEMPT_PAUSE_US (200 * 1000)
#define WAIT_POLL_US     (100 * 1000)

static void new_identity(char *hex, size_t n)
{
	unsigned char raw[ID_BYTES];

	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(hex, n, raw, sizeof(raw));
}

static bool is_unknown(const struct ctl_reply *r)
{
	const char *outcome = json_string_value(
		json_object_get(json_object_get(r->body, "error"), "outcome"));

	return !r->status || !g_strcmp0(outcome, outcome_name(OUTCOME_UNKNOWN));
}

/*
 * Send a change to the nodes in turn, always under one identity, until one of
 * them knows the outcome. Only a node that answers a probe is sent it, so a
 * change that was sent to none is known not to have been made.
 */
static enum ctl_exit settle(const struct ctl *c,
			    const struct ctl_request *asked,
			    struct ctl_reply *r)
{
	struct ctl_request own = *asked;
	struct ctl_request *q = &own;
	int tries = MAX(ATTEMPTS_MIN, 2 * c->node_count);
	char id[ID_BYTES * 2 + 1];
	int sent = c->change ? 1 : 0;
	char attempt[16];

	new_identity(id, sizeof(id));
	q->headers[0] =
		(struct ctl_header){"Change-Id", c->change ? c->change : id};
	memset(r, 0, sizeof(*r));
	for (int i = 0; i < tries; i++) {
		const char *node = c->nodes[i % c->node_count];

		if (i >= c->node_count)
			g_usleep(ATTEMPT_PAUSE_US);
		if (!ctl_probe(c, node))
			continue;
		g_snprintf(attempt, sizeof(attempt), "%d", ++sent);
		q->headers[1] = (struct ctl_header){"Change-Attempt", attempt};
		ctl_reply_clear(r);
		ctl_send(c, node, q, r);
		if (!is_unknown(r))
			return ctl_report(r);
	}
	if (!sent)
		return ctl_report(r);
	fprintf(stderr,
		"rampctl: unknown: the change may have been made; ask with "
		"\"rampctl changes %s\" or send it again with --change %s\n",
		q->headers[0].value, q->headers[0].value);
	return CTL_UNKNOWN;
}

/* Wait until a revision is in force on every node. */
static enum ctl_exit wait_in_force(const struct ctl *c, const char *plural,
				   const char *name, int64_t revision)
{
	static const char *const columns[] = {"revision", "in_force", "live",
					      "since_ms", NULL};
	int64_t until = time_mono_ms() + c->timeout_ms;
	char *path = g_strdup_printf("/v1/resources/%s/%s/status?revision=%lld",
				     plural, name, (long long)revision);
	bool done = false;

	while (!done && time_mono_ms() < until) {
		struct ctl_reply r;

		ctl_get(c, path, &r);
		done = r.status == 200 &&
		       json_is_true(json_object_get(r.body, "everywhere"));
		if (done && !c->json) {
			printf("in-force\t");
			ctl_print_row(r.body, columns);
		}
		ctl_reply_clear(&r);
		if (!done)
			g_usleep(WAIT_POLL_US);
	}
	g_free(path);
	if (!done)
		fprintf(stderr,
			"rampctl: revision %lld is not in force on "
			"every node yet\n",
			(long long)revision);
	return done ? CTL_OK : CTL_NOT_IN_FORCE;
}

/* Send one change, print its outcome and wait if that was asked for. */
static enum ctl_exit make_change(const struct ctl *c, const char *method,
				 const char *plural, const char *name,
				 int64_t version, char *body)
{
	static const char *const columns[] = {
		"change",  "kind",       "name", "revision",
		"version", "generation", NULL};
	char *escaped = g_uri_escape_string(name, NULL, FALSE);
	char *path = g_strdup_printf("/v1/resources/%s/%s%s", plural, escaped,
				     c->force ? "?force=true" : "");
	char *match = g_strdup_printf("%lld", (long long)version);
	struct ctl_request q = {.method = method, .path = path, .body = body};
	struct ctl_reply r;
	enum ctl_exit code;

	if (!c->force && version > 0)
		q.headers[2] = (struct ctl_header){"If-Match", match};
	else if (!c->force && body)
		q.headers[2] = (struct ctl_header){"If-None-Match", "*"};
	code = settle(c, &q, &r);
	if (code == CTL_OK && !ctl_print_json(c, &r))
		ctl_print_row(r.body, columns);
	fflush(stdout);
	if (code == CTL_OK && c->wait)
		code = wait_in_force(c, plural, escaped,
				     json_integer_value(json_object_get(
					     r.body, "revision")));
	ctl_reply_clear(&r);
	g_free(match);
	g_free(path);
	g_free(escaped);
	return code;
}

/* A version in the resource (as get prints it) is the condition. */
static enum ctl_exit put_one(const struct ctl *c, const json_t *j)
{
	const char *kind = json_string_value(json_object_get(j, "kind"));
	const char *name = json_string_value(json_object_get(j, "name"));
	int64_t version = json_integer_value(json_object_get(j, "version"));
	const char *plural;
	enum ctl_exit code;
	char *body;

	if (!kind || !name || !json_object_get(j, "spec")) {
		fprintf(stderr, "rampctl: a resource needs kind, name and "
				"spec\n");
		return CTL_USAGE;
	}
	plural = ctl_plural(kind);
	if (!plural)
		return CTL_USAGE;
	body = json_dumps(j, JSON_COMPACT);
	code = make_change(c, "PUT", plural, name,
			   c->version >= 0 ? c->version : version, body);
	free(body);
	return code;
}

static json_t *read_file(const char *path)
{
	json_error_t at;
	json_t *j = strcmp(path, "-") ? json_load_file(path, 0, &at)
				      : json_loadf(stdin, 0, &at);

	if (!j)
		fprintf(stderr, "rampctl: %s:%d:%d: %s\n", path, at.line,
			at.column, at.text);
	return j;
}

/* One resource, a list of them, or what "get --json" prints. */
enum ctl_exit ctl_cmd_put(const struct ctl *c)
{
	enum ctl_exit code = CTL_OK;
	json_t *all, *list, *one;
	size_t i;

	if (!c->file || c->arg_count) {
		fprintf(stderr, "usage: rampctl put -f FILE\n");
		return CTL_USAGE;
	}
	all = read_file(c->file);
	if (!all)
		return CTL_USAGE;
	list = json_is_object(all) ? json_object_get(all, "items") : all;
	if (c->change && json_array_size(list) > 1) {
		fprintf(stderr, "rampctl: --change is for one resource\n");
		json_decref(all);
		return CTL_USAGE;
	}
	if (!list)
		code = put_one(c, all);
	json_array_foreach (list, i, one) {
		struct ctl each = *c;

		/* The last revision in force brings those before it. */
		each.wait = c->wait && i + 1 == json_array_size(list);
		code = put_one(&each, one);
		if (code == CTL_OK)
			continue;
		if (i + 1 < json_array_size(list))
			fprintf(stderr,
				"rampctl: the %zu after it were not "
				"sent\n",
				json_array_size(list) - i - 1);
		break;
	}
	json_decref(all);
	return code;
}

enum ctl_exit ctl_cmd_delete(const struct ctl *c)
{
	const char *plural;

	if (c->arg_count != 2 || (c->version < 1 && !c->force)) {
		fprintf(stderr, "usage: rampctl delete KIND NAME "
				"--version N | --force\n");
		return CTL_USAGE;
	}
	plural = ctl_plural(c->args[0]);
	if (!plural)
		return CTL_USAGE;
	return make_change(c, "DELETE", plural, c->args[1], c->version, NULL);
}
