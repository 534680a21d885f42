/* The program rampctl: command line, and the commands that call no node. */
#include <argtable2.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

#define NODES_MAX         64
#define ARGS_MAX          4
#define DEFAULT_TIMEOUT_S 30
#define KEY_MAX_BYTES     4096

static enum ctl_exit check_settings(const struct ctl_options *opts)
{
	GPtrArray *errors;
	struct settings s;
	bool ok;

	if (opts->arg_count != 1) {
		fprintf(stderr, "usage: rampctl check-settings FILE\n");
		return CTL_USAGE;
	}
	errors = g_ptr_array_new_with_free_func(g_free);
	ok = settings_load(opts->args[0], &s, errors);
	for (guint i = 0; i < errors->len; i++)
		fprintf(stderr, "%s\n", (char *)g_ptr_array_index(errors, i));
	g_ptr_array_unref(errors);
	settings_clear(&s);
	return ok ? CTL_OK : CTL_USAGE;
}

/*
 * Read a key from the first line of a file, or of standard input for "-". Keys
 * are never arguments, as other users of the machine can see those. The caller
 * frees the result, which is NULL if an error was printed.
 */
static char *read_key(const char *path)
{
	char buf[KEY_MAX_BYTES] = "";
	FILE *f = strcmp(path, "-") ? fopen(path, "r") : stdin;

	if (!f || !fgets(buf, sizeof(buf), f)) {
		fprintf(stderr, "rampctl: cannot read a key from %s\n", path);
		if (f && f != stdin)
			fclose(f);
		return NULL;
	}
	if (f != stdin)
		fclose(f);
	return g_strdup(g_strstrip(buf));
}

static enum ctl_exit hash_key(const struct ctl_options *opts)
{
	char *key = read_key(opts->arg_count ? opts->args[0] : "-");
	char *hash;

	if (!key)
		return CTL_USAGE;
	hash = key_hash(str_c(key));
	puts(hash);
	g_free(hash);
	g_free(key);
	return CTL_OK;
}

static const struct {
	const char *name;
	enum ctl_exit (*run)(const struct ctl_options *opts);
	bool needs_node;
	const char *help;
} commands[] = {
	{"get", ctl_cmd_get, true, "KIND [NAME]: show resources"},
	{"put", ctl_cmd_put, true, "-f FILE: create or replace resources"},
	{"delete", ctl_cmd_delete, true, "KIND NAME: delete a resource"},
	{"watch", ctl_cmd_watch, true, "KIND: show changes as they come"},
	{"status", ctl_cmd_status, true,
	 "[KIND NAME]: show nodes, or where a resource is in force"},
	{"changes", ctl_cmd_changes, true, "[ID]: show the audit trail"},
	{"drain", ctl_cmd_drain, true, "NODE: stop a node gracefully"},
	{"explain", ctl_cmd_explain, true,
	 "HOST PATH | -f FILE: where a request would go, and why"},
	{"check-settings", check_settings, false, "FILE: check only"},
	{"hash-key", hash_key, false, "[FILE]: hash of a key, for resources"},
};

static enum ctl_exit run_command(const char *name,
				 const struct ctl_options *opts)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, name))
			continue;
		if (commands[i].needs_node && !opts->node_count) {
			fprintf(stderr, "rampctl: --node or RAMP_NODES is "
					"required\n");
			return CTL_USAGE;
		}
		return commands[i].run(opts);
	}
	fprintf(stderr, "rampctl: %s: unknown command\n", name);
	return CTL_USAGE;
}

static void print_help(void **table)
{
	printf("usage: rampctl");
	arg_print_syntax(stdout, table, "\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		printf("  %s %s\n", commands[i].name, commands[i].help);
	arg_print_glossary(stdout, table, "  %-24s %s\n");
}

/* Take the nodes from --node, else from RAMP_NODES, separated by commas. */
static void set_nodes(struct ctl_options *opts, const struct arg_str *node)
{
	static const char *from_env[NODES_MAX + 1];
	const char *env = g_getenv("RAMP_NODES");

	opts->nodes = node->sval;
	opts->node_count = node->count;
	if (node->count || !env)
		return;
	opts->nodes = from_env;
	for (char *s = strtok(g_strdup(env), ",");
	     s && opts->node_count < NODES_MAX; s = strtok(NULL, ","))
		from_env[opts->node_count++] = s;
}

static int64_t value_or(const struct arg_int *a, int64_t fallback)
{
	return a->count ? a->ival[0] : fallback;
}

/* The argument table of argtable2. */
struct cli {
	struct arg_lit *help, *json, *wait, *force;
	struct arg_int *timeout, *version, *after, *count;
	struct arg_file *key, *file;
	struct arg_str *node, *change, *command, *args;
	struct arg_str *method, *organisation, *id, *prompt, *resumes;
	struct arg_file *caller_key;
	struct arg_int *deadline;
	struct arg_end *end;
};

/* The options of explain that describe the request. */
static void cli_define_explain(struct cli *o)
{
	o->method = arg_str0(NULL, "method", "METHOD", "explain: POST if not");
	o->organisation = arg_str0(NULL, "organisation", "NAME",
				   "explain: whose request it is");
	o->caller_key = arg_file0(NULL, "caller-key-file", "FILE",
				  "explain: the caller's key instead");
	o->id = arg_str0(NULL, "id", "ID", "explain: the request's id");
	o->prompt = arg_str0(NULL, "prompt", "PARTS",
			     "explain: the prompt's parts, ID:TOKENS,...");
	o->resumes = arg_str0(NULL, "resumes", "ID",
			      "explain: whose stream the request continues");
	o->deadline = arg_int0(NULL, "deadline", "MS",
			       "explain: how long its caller will wait");
}

static void cli_define(struct cli *o)
{
	o->help = arg_lit0("h", "help", "show this help");
	o->node = arg_strn("n", "node", "IP:PORT", 0, NODES_MAX,
			   "nodes, tried in this order");
	o->key = arg_file0("k", "key-file", "FILE", "key; RAMP_KEY otherwise");
	o->json = arg_lit0("j", "json", "print JSON");
	o->wait = arg_lit0("w", "wait", "until in force on every node");
	o->timeout = arg_int0("t", "timeout", "S", "longest wait, in seconds");
	o->file =
		arg_file0("f", "file", "FILE", "resources in JSON; - is input");
	o->version = arg_int0(NULL, "version", "N", "change only this version");
	o->force = arg_lit0(NULL, "force", "change any version");
	o->change = arg_str0(NULL, "change", "ID",
			     "identity of a change sent again");
	o->after = arg_int0("a", "after", "N", "changes after this revision");
	o->count = arg_int0("c", "count", "N", "end after so many changes");
	cli_define_explain(o);
	o->command = arg_str1(NULL, NULL, "COMMAND", NULL);
	o->args = arg_strn(NULL, NULL, "ARG", 0, ARGS_MAX, NULL);
	o->end = arg_end(8);
}

static const char *text_or_null(const struct arg_str *a)
{
	return a->count ? a->sval[0] : NULL;
}

/* The same for the options of explain. */
static bool cli_apply_explain(const struct cli *o, struct ctl_options *opts)
{
	opts->method = text_or_null(o->method);
	opts->organisation = text_or_null(o->organisation);
	opts->request_id = text_or_null(o->id);
	opts->prompt = text_or_null(o->prompt);
	opts->resumes = text_or_null(o->resumes);
	opts->deadline_ms = value_or(o->deadline, -1);
	if (o->caller_key->count)
		opts->caller_key = read_key(o->caller_key->filename[0]);
	return opts->caller_key || !o->caller_key->count;
}

/* Copy the parsed arguments to opts; return false if the key can't be read. */
static bool cli_apply(const struct cli *o, struct ctl_options *opts)
{
	set_nodes(opts, o->node);
	opts->args = o->args->sval;
	opts->arg_count = o->args->count;
	opts->file = o->file->count ? o->file->filename[0] : NULL;
	opts->change = o->change->count ? o->change->sval[0] : NULL;
	opts->version = value_or(o->version, -1);
	opts->after = value_or(o->after, -1);
	opts->count = value_or(o->count, 0);
	opts->timeout_ms = value_or(o->timeout, DEFAULT_TIMEOUT_S) * 1000;
	opts->json = o->json->count;
	opts->wait = o->wait->count;
	opts->force = o->force->count;
	opts->key = o->key->count ? read_key(o->key->filename[0])
				  : g_strdup(g_getenv("RAMP_KEY"));
	return (opts->key || !o->key->count) && cli_apply_explain(o, opts);
}

int main(int argc, char **argv)
{
	struct cli o;
	struct ctl_options opts = {0};

	cli_define(&o);
	void *table[] = {o.help,   o.node,         o.key,        o.json,
			 o.wait,   o.timeout,      o.file,       o.version,
			 o.force,  o.change,       o.after,      o.count,
			 o.method, o.organisation, o.caller_key, o.id,
			 o.prompt, o.resumes,      o.deadline,   o.command,
			 o.args,   o.end};
	int errors = arg_parse(argc, argv, table);

	if (o.help->count) {
		print_help(table);
		return CTL_OK;
	}
	if (errors) {
		arg_print_errors(stderr, o.end, "rampctl");
		fprintf(stderr, "try \"rampctl --help\"\n");
		return CTL_USAGE;
	}
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL))
		return CTL_FAILED;
	if (!cli_apply(&o, &opts))
		return CTL_USAGE;
	return (int)run_command(o.command->sval[0], &opts);
}
