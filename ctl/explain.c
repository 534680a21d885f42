/* The command explain: asks a node where a request would go, and why. */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

#define EXPLAIN_PATH "/v1/explain"

static void set_text(json_t *question, const char *member, const char *text)
{
	if (text)
		json_object_set_new(question, member, json_string(text));
}

/* Read a question from a file; NULL if an error was printed. */
static json_t *read_question(const char *path)
{
	json_error_t error;
	json_t *j = strcmp(path, "-") ? json_load_file(path, 0, &error)
				      : json_loadf(stdin, 0, &error);

	if (json_is_object(j))
		return j;
	fprintf(stderr, "rampctl: %s: %s\n", path,
		j ? "not a JSON object" : error.text);
	json_decref(j);
	return NULL;
}

/* Build the question; options go before what the file says. */
static json_t *question_of(const struct ctl_options *opts)
{
	const struct {
		const char *member, *text;
	} given[] = {
		{"host", opts->arg_count ? opts->args[0] : NULL},
		{"path", opts->arg_count ? opts->args[1] : NULL},
		{"method", opts->method},
		{"organisation", opts->organisation},
		{"key", opts->caller_key},
		{"request_id", opts->request_id},
		{"prompt", opts->prompt},
		{"resumes", opts->resumes},
	};
	json_t *question =
		opts->file ? read_question(opts->file) : json_object();

	if (!question)
		return NULL;
	for (size_t i = 0; i < G_N_ELEMENTS(given); i++)
		set_text(question, given[i].member, given[i].text);
	if (opts->deadline_ms >= 0)
		json_object_set_new(question, "deadline_ms",
				    json_integer(opts->deadline_ms));
	return question;
}

/*
 * Print a line: a word, then columns of an object. Members that are null are
 * printed as missing ones; nothing is printed for null.
 */
static void print_line(const char *word, const json_t *object,
		       const char *const *columns)
{
	json_t *present, *value;
	const char *name;

	if (!json_is_object(object))
		return;
	present = json_object();
	json_object_foreach ((json_t *)object, name, value)
		if (!json_is_null(value))
			json_object_set(present, name, value);
	printf("%s\t", word);
	ctl_print_row(present, columns);
	json_decref(present);
}

/* Join a list's strings by commas; null when there are none. */
static json_t *join(const json_t *list)
{
	GString *s = g_string_new(NULL);
	json_t *joined, *v;
	size_t i;

	json_array_foreach (list, i, v)
		g_string_append_printf(s, "%s%s", i ? "," : "",
				       json_string_value(v));
	joined = s->len ? json_string(s->str) : json_null();
	g_string_free(s, TRUE);
	return joined;
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	const json_t *const *x = a, *const *y = b;

	return g_strcmp0(json_string_value(json_object_get(*x, "name")),
			 json_string_value(json_object_get(*y, "name")));
}

/* Print the targets by their names; nodes list them in no order. */
static void print_targets(const json_t *targets)
{
	static const char *const columns[] = {"name",    "zone",  "version",
					      "load",    "slots", "weight",
					      "held_by", NULL};
	GPtrArray *sorted = g_ptr_array_new();
	size_t i;
	json_t *target;

	json_array_foreach (targets, i, target) {
		json_object_set_new(target, "held_by",
				    join(json_object_get(target, "held_by")));
		g_ptr_array_add(sorted, target);
	}
	g_ptr_array_sort(sorted, by_name);
	for (guint k = 0; k < sorted->len; k++)
		print_line("target", g_ptr_array_index(sorted, k), columns);
	g_ptr_array_unref(sorted);
}

static void print_answer(const json_t *answer)
{
	static const char *const node[] = {"node", "zone", NULL};
	static const char *const config[] = {"version", "age_ms", "proves_keys",
					     NULL};
	static const char *const route[] = {"name", "path", "services", NULL};
	static const char *const request[] = {"organisation", "key",
					      "service",      "priority",
					      "deadline_ms",  NULL};
	static const char *const prompt[] = {"key", "shared_tokens", "unseen",
					     NULL};
	static const char *const choice[] = {"target", "why",  "prompt_target",
					     "source", "ties", NULL};
	static const char *const refusal[] = {
		"rule", "status", "kind", "retry_after_ms", "text", NULL};

	print_line("node", answer, node);
	print_line("config", json_object_get(answer, "config"), config);
	print_line("route", json_object_get(answer, "route"), route);
	print_line("request", answer, request);
	print_line("prompt", json_object_get(answer, "prompt"), prompt);
	printf("result\t%s\n",
	       json_string_value(json_object_get(answer, "result")));
	print_line("refusal", json_object_get(answer, "refusal"), refusal);
	print_line("choice", json_object_get(answer, "choice"), choice);
	print_targets(json_object_get(answer, "targets"));
}

/* Ask the nodes in order until one answers. */
static void ask(const struct ctl_options *opts, json_t *question,
		struct ctl_reply *reply)
{
	char *body = json_dumps(question, JSON_COMPACT);
	struct ctl_request request = {
		.method = "POST", .path = EXPLAIN_PATH, .body = body};

	memset(reply, 0, sizeof(*reply));
	for (int i = 0; i < opts->node_count && !reply->status; i++)
		ctl_send(opts, opts->nodes[i], &request, reply);
	free(body);
}

enum ctl_exit ctl_cmd_explain(const struct ctl_options *opts)
{
	struct ctl_reply reply;
	json_t *question;
	enum ctl_exit code;

	if (opts->arg_count != 2 && !(opts->file && !opts->arg_count)) {
		fprintf(stderr, "usage: rampctl explain HOST PATH, or "
				"rampctl explain -f FILE\n");
		return CTL_USAGE;
	}
	question = question_of(opts);
	if (!question)
		return CTL_USAGE;
	ask(opts, question, &reply);
	json_decref(question);
	code = ctl_check_reply(&reply);
	if (code == CTL_OK && !json_is_object(reply.body)) {
		fprintf(stderr, "rampctl: the answer is not an object\n");
		code = CTL_FAILED;
	}
	if (code == CTL_OK && !ctl_print_json(opts, &reply))
		print_answer(reply.body);
	ctl_reply_clear(&reply);
	return code;
}
