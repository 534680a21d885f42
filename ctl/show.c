/* The commands get, status, changes and drain. */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

static void print_rows(const json_t *list, const char *const *columns)
{
	size_t i;
	json_t *j;

	json_array_foreach (list, i, j)
		ctl_print_row(j, columns);
}

enum ctl_exit ctl_cmd_get(const struct ctl_options *opts)
{
	static const char *const columns[] = {"kind",       "name", "version",
					      "generation", "spec", NULL};
	struct ctl_reply r;
	const char *plural;
	enum ctl_exit code;
	char *name, *path;

	if (opts->arg_count < 1 || opts->arg_count > 2) {
		fprintf(stderr, "usage: rampctl get KIND [NAME]\n");
		return CTL_USAGE;
	}
	plural = ctl_kind_plural(opts->args[0]);
	if (!plural)
		return CTL_USAGE;
	name = g_uri_escape_string(opts->arg_count > 1 ? opts->args[1] : "",
				   NULL, FALSE);
	path = g_strconcat("/v1/resources/", plural, *name ? "/" : "", name,
			   NULL);
	ctl_get(opts, path, &r);
	code = ctl_check_reply(&r);
	if (code == CTL_OK && !ctl_print_json(opts, &r)) {
		if (*name)
			ctl_print_row(r.body, columns);
		else
			print_rows(json_object_get(r.body, "items"), columns);
	}
	ctl_reply_clear(&r);
	g_free(name);
	g_free(path);
	return code;
}

static enum ctl_exit show_nodes(const struct ctl_options *opts)
{
	static const char *const columns[] = {
		"name",    "address", "zone",      "revision", "ready",
		"leaving", "running", "reachable", NULL};
	struct ctl_reply r;
	enum ctl_exit code;

	ctl_get(opts, "/v1/nodes", &r);
	code = ctl_check_reply(&r);
	if (code == CTL_OK && !ctl_print_json(opts, &r))
		print_rows(json_object_get(r.body, "nodes"), columns);
	ctl_reply_clear(&r);
	return code;
}

/* Show the nodes, or, with KIND NAME, on which nodes a resource is in force. */
enum ctl_exit ctl_cmd_status(const struct ctl_options *opts)
{
	static const char *const columns[] = {
		"kind",     "name", "revision", "generation",
		"in_force", "live", "since_ms", NULL};
	static const char *const node_columns[] = {
		"name", "address", "revision", "in_force", "since_ms", NULL};
	struct ctl_reply r;
	const char *plural;
	enum ctl_exit code;
	char *name, *path;

	if (!opts->arg_count)
		return show_nodes(opts);
	plural = ctl_kind_plural(opts->args[0]);
	if (!plural || opts->arg_count != 2) {
		fprintf(stderr, "usage: rampctl status [KIND NAME]\n");
		return CTL_USAGE;
	}
	name = g_uri_escape_string(opts->args[1], NULL, FALSE);
	path = g_strdup_printf("/v1/resources/%s/%s/status", plural, name);
	ctl_get(opts, path, &r);
	code = ctl_check_reply(&r);
	if (code == CTL_OK && !ctl_print_json(opts, &r)) {
		ctl_print_row(r.body, columns);
		print_rows(json_object_get(r.body, "nodes"), node_columns);
	}
	ctl_reply_clear(&r);
	g_free(name);
	g_free(path);
	return code;
}

static const char *const change_columns[] = {"revision", "at_ms", "id",   "who",
					     "from",     "kind",  "name", "was",
					     "is",       NULL};

static enum ctl_exit show_change(const struct ctl_options *opts)
{
	char *id = g_uri_escape_string(opts->args[0], NULL, FALSE);
	char *path = g_strconcat("/v1/changes/", id, NULL);
	struct ctl_reply r;
	enum ctl_exit code;

	ctl_get(opts, path, &r);
	code = ctl_check_reply(&r);
	if (code == CTL_OK && !ctl_print_json(opts, &r))
		ctl_print_row(r.body, change_columns);
	ctl_reply_clear(&r);
	g_free(id);
	g_free(path);
	return code;
}

/* Show all changes after a revision, or the one with the given Change-Id. */
enum ctl_exit ctl_cmd_changes(const struct ctl_options *opts)
{
	int64_t after = MAX(opts->after, 0);
	enum ctl_exit code = CTL_OK;
	bool more = true;

	if (opts->arg_count)
		return show_change(opts);
	while (more && code == CTL_OK) {
		char *path = g_strdup_printf("/v1/changes?after=%lld",
					     (long long)after);
		struct ctl_reply r;
		int64_t next;

		ctl_get(opts, path, &r);
		code = ctl_check_reply(&r);
		if (code == CTL_OK && !ctl_print_json(opts, &r))
			print_rows(json_object_get(r.body, "changes"),
				   change_columns);
		next = json_integer_value(json_object_get(r.body, "after"));
		more = next > after &&
		       json_is_true(json_object_get(r.body, "more"));
		after = next;
		ctl_reply_clear(&r);
		g_free(path);
	}
	return code;
}

/*
 * Return the address of a node by name; "IP:port" is returned as it is. The
 * caller frees the result, which is NULL if an error was printed.
 */
static char *resolve_address(const struct ctl_options *opts, const char *node)
{
	struct ctl_reply r;
	char *found = NULL;
	size_t i;
	json_t *entry;

	if (strchr(node, ':'))
		return g_strdup(node);
	ctl_get(opts, "/v1/nodes", &r);
	if (ctl_check_reply(&r) == CTL_OK) {
		json_array_foreach (json_object_get(r.body, "nodes"), i,
				    entry) {
			if (!g_strcmp0(json_string_value(
					       json_object_get(entry, "name")),
				       node))
				found = g_strdup(json_string_value(
					json_object_get(entry, "address")));
		}
		if (!found)
			fprintf(stderr, "rampctl: no node \"%s\"\n", node);
	}
	ctl_reply_clear(&r);
	return found;
}

enum ctl_exit ctl_cmd_drain(const struct ctl_options *opts)
{
	static const char *const columns[] = {"name", "leaving", NULL};
	struct ctl_request q = {.method = "POST", .path = "/v1/drain"};
	struct ctl_reply r;
	enum ctl_exit code;
	char *address;

	if (opts->arg_count != 1) {
		fprintf(stderr, "usage: rampctl drain NODE\n");
		return CTL_USAGE;
	}
	address = resolve_address(opts, opts->args[0]);
	if (!address)
		return CTL_ABSENT;
	ctl_send(opts, address, &q, &r);
	code = ctl_check_reply(&r);
	if (code == CTL_OK && !ctl_print_json(opts, &r))
		ctl_print_row(r.body, columns);
	ctl_reply_clear(&r);
	g_free(address);
	return code;
}
