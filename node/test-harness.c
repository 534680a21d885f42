/* The processes of a rig: start, instance list, logs, metrics and end. */
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "node/test-harness.h"
#include "state/state.h"

/* The running test is <root>/build/<folder>/<program>. */
static char *build_root(void)
{
	char *exe = g_file_read_link("/proc/self/exe", NULL);
	char *dir = g_path_get_dirname(exe);
	char *top = g_build_filename(dir, "..", "..", NULL);

	g_free(exe);
	g_free(dir);
	return top;
}

/* Runs in the child: a test that aborts must not leave processes behind. */
static void kill_with_parent(void *unused)
{
	(void)unused;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static void wait_for_port_file(struct proc *p, const char *file)
{
	char *text = NULL;

	WAIT_UNTIL(g_file_get_contents(file, &text, NULL, NULL));
	p->port = atoi(text);
	p->advertised_port = p->port;
	g_free(text);
}

static GPtrArray *build_argv(const char *program, const char *port_file,
			     va_list ap)
{
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	char *top = build_root();
	const char *arg;

	g_ptr_array_add(argv, g_build_filename(top, program, NULL));
	while ((arg = va_arg(ap, const char *)))
		g_ptr_array_add(argv, g_strdup(arg));
	g_ptr_array_add(argv, g_strdup("--port-file"));
	g_ptr_array_add(argv, g_strdup(port_file));
	g_ptr_array_add(argv, NULL);
	g_free(top);
	return argv;
}

static char *rig_file(const struct rig *g, const char *name, const char *suffix)
{
	char *base = g_strconcat(name, suffix, NULL);
	char *path = g_build_filename(g->dir, base, NULL);

	g_free(base);
	return path;
}

void proc_start(struct rig *g, struct proc *p, const char *name,
		const char *program, ...)
{
	char *port_file = rig_file(g, name, ".port");
	char *log = rig_file(g, name, ".log");
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	GError *err = NULL;
	GPtrArray *argv;
	va_list ap;

	va_start(ap, program);
	argv = build_argv(program, port_file, ap);
	va_end(ap);
	g_unlink(port_file);
	if (p->name != name) {
		g_free(p->name);
		p->name = g_strdup(name);
	}
	g_spawn_async_with_fds(NULL, (char **)argv->pdata, NULL,
			       G_SPAWN_DO_NOT_REAP_CHILD, kill_with_parent,
			       NULL, &p->pid, -1, -1, fd, &err);
	g_assert_no_error(err);
	wait_for_port_file(p, port_file);
	p->leaving = false;
	close(fd);
	g_ptr_array_unref(argv);
	g_free(port_file);
	g_free(log);
}

void proc_signal(struct proc *p, int sig)
{
	g_assert_cmpint(p->pid, >, 0);
	kill(p->pid, sig);
}

int proc_wait(struct proc *p)
{
	int status = 0;

	WAIT_UNTIL(waitpid(p->pid, &status, WNOHANG) == p->pid);
	p->pid = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static void end_process(struct proc *p)
{
	if (p->pid) {
		kill(p->pid, SIGKILL);
		proc_wait(p);
	}
	g_free(p->name);
}

void proc_set_faults(const struct proc *p, const char *json)
{
	struct reply r =
		call_local(p->port, "PUT", "/standin/faults", NULL, json);

	g_assert_cmpint(r.status, ==, 200);
	reply_clear(&r);
}

static void append_instances(json_t *list, const struct proc *p, unsigned n,
			     const char *role, const char *pool)
{
	for (unsigned i = 0; i < n; i++) {
		char *address =
			g_strdup_printf("127.0.0.1:%d", p[i].advertised_port);

		if (p[i].pid)
			json_array_append_new(
				list,
				json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s*}",
					  "name", p[i].name, "role", role,
					  "pool", pool, "zone", "a", "region",
					  "local", "address", address, "state",
					  p[i].leaving ? "leaving" : "live",
					  "version", p[i].version));
		g_free(address);
	}
}

void rig_publish(struct rig *g)
{
	json_t *list = json_array();
	struct reply r;
	char *json;

	append_instances(list, g->engines, g->engine_count, "engine", "llm");
	append_instances(list, g->services, g->service_count, "service",
			 "forum");
	append_instances(list, g->nodes, g->node_count, "node", "");
	json = json_dumps(list, 0);
	r = call_local(g->platform.port, "PUT", "/standin/instances", NULL,
		       json);
	g_assert_cmpint(r.status, ==, 200);
	reply_clear(&r);
	free(json);
	json_decref(list);
}

/* A put of a resource, for a transaction of the platform's store. */
static json_t *put_row(const char *key, json_t *spec)
{
	return json_pack("{s:s,s:{s:o}}", "key", key, "value", "spec", spec);
}

static json_t *organisation_spec(const char *key)
{
	char *hash = key_hash(str_c(key));
	json_t *j = json_pack("{s:[{s:s,s:s}]}", "keys", "hash", hash, "role",
			      "caller");

	g_free(hash);
	return j;
}

static void declare_resources(struct rig *g)
{
	json_t *txn = json_pack(
		"{s:s,s:[o,o,o,o,o]}", "id", "rig", "puts",
		put_row("res/organisation/recif",
			organisation_spec("key-recif")),
		put_row("res/organisation/ferreyra",
			organisation_spec("key-ferreyra")),
		put_row("res/service/assistant",
			json_pack("{s:s,s:s}", "kind", "model", "pool", "llm")),
		put_row("res/service/report",
			json_pack("{s:s,s:s,s:b}", "kind", "model", "pool",
				  "llm", "idempotent", 0)),
		put_row("res/service/forum",
			json_pack("{s:s,s:s}", "kind", "plain", "pool",
				  "forum")));
	char *json = json_dumps(txn, 0);
	struct reply r =
		call_local(g->platform.port, "POST", "/table/txn", NULL, json);

	g_assert_cmpint(r.status, ==, 200);
	reply_clear(&r);
	free(json);
	json_decref(txn);
}

static bool is_ready(const struct proc *p)
{
	struct reply r = call_local(p->port, "GET", "/ready", NULL, NULL);
	bool ok = r.status == 200;

	reply_clear(&r);
	return ok;
}

void rig_start_node(struct rig *g, unsigned i)
{
	char *name = g_strdup_printf("n%u", i + 1);
	char *file = rig_file(g, name, ".conf");
	char *text =
		g_strdup_printf("[node]\nname = %s\nzone = a\nport = 0\n"
				"[platform]\n"
				"table = http://127.0.0.1:%d\npoll = 50\n"
				"[entries]\nvalid = %d\nspread = %d\n"
				"%s",
				name, g->platform.port, RIG_ENTRIES_VALID_MS,
				RIG_ENTRIES_SPREAD_MS, g->extra_settings);

	g_assert_true(g_file_set_contents(file, text, -1, NULL));
	proc_start(g, &g->nodes[i], name, "bin/auburnramp", "--settings", file,
		   NULL);
	rig_publish(g);
	WAIT_UNTIL(is_ready(&g->nodes[i]));
	g_free(name);
	g_free(file);
	g_free(text);
}

static void start_standins(struct rig *g, struct proc *p, unsigned n,
			   const char *prefix, const char *program)
{
	for (unsigned i = 0; i < n; i++) {
		char *name = g_strdup_printf("%s%u", prefix, i + 1);

		proc_start(g, &p[i], name, program, NULL);
		g_free(name);
	}
}

int rig_restart_engines(struct rig *g)
{
	int n = 0;

	for (unsigned i = 0; i < g->engine_count; i++) {
		char *name = g_strdup_printf("e%u", i + 1);

		if (waitpid(g->engines[i].pid, NULL, WNOHANG) > 0) {
			g->engines[i].pid = 0;
			proc_start(g, &g->engines[i], name,
				   "build/standin/engine", NULL);
			n++;
		}
		g_free(name);
	}
	if (n)
		rig_publish(g);
	return n;
}

struct rig *rig_new(unsigned engines, unsigned nodes,
		    const char *extra_settings)
{
	struct rig *g = g_new0(struct rig, 1);

	g->dir = g_dir_make_tmp("ramp-test-XXXXXX", NULL);
	g->extra_settings = g_strdup(extra_settings ? extra_settings : "");
	g->engine_count = engines;
	g->service_count = 2;
	g->node_count = nodes;
	proc_start(g, &g->platform, "platform", "build/standin/platform", NULL);
	start_standins(g, g->engines, engines, "e", "build/standin/engine");
	start_standins(g, g->services, g->service_count, "s",
		       "build/standin/service");
	declare_resources(g);
	return g;
}

void rig_start(struct rig *g)
{
	rig_publish(g);
	for (unsigned i = 0; i < g->node_count; i++)
		rig_start_node(g, i);
}

static void remove_dir(const char *path)
{
	GDir *d = g_dir_open(path, 0, NULL);
	const char *name;

	while (d && (name = g_dir_read_name(d))) {
		char *f = g_build_filename(path, name, NULL);

		g_unlink(f);
		g_free(f);
	}
	if (d)
		g_dir_close(d);
	g_rmdir(path);
}

void rig_free(struct rig *g)
{
	for (unsigned i = 0; i < RIG_PROCS_MAX; i++) {
		end_process(&g->nodes[i]);
		end_process(&g->engines[i]);
		end_process(&g->services[i]);
	}
	end_process(&g->platform);
	remove_dir(g->dir);
	g_free(g->dir);
	g_free(g->extra_settings);
	g_free(g);
}

int rig_count_logged(const struct rig *g, const struct proc *p,
		     const char *event)
{
	char *log = rig_file(g, p->name, ".log");
	char *pattern = g_strdup_printf(" %s ", event);
	char *text = NULL;
	int n = 0;

	g_file_get_contents(log, &text, NULL, NULL);
	for (const char *at = text; at && (at = strstr(at, pattern)); at++)
		n++;
	g_free(text);
	g_free(pattern);
	g_free(log);
	return n;
}

static int64_t sum_engine_counts(const struct rig *g, const char *field)
{
	int64_t sum = 0;

	for (unsigned i = 0; i < g->engine_count; i++) {
		json_t *counts;

		if (!g->engines[i].pid)
			continue;
		counts = get_local_json(g->engines[i].port, "/standin/counts");
		sum += json_integer_value(json_object_get(counts, field));
		json_decref(counts);
	}
	return sum;
}

int64_t rig_engine_runs(const struct rig *g)
{
	return sum_engine_counts(g, "runs");
}

int64_t proc_memory_bytes(const struct proc *p)
{
	char *path = g_strdup_printf("/proc/%d/statm", (int)p->pid);
	char *text = NULL, **fields;
	int64_t pages = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		fields = g_strsplit(text, " ", 3);
		pages = g_ascii_strtoll(fields[1], NULL, 10);
		g_strfreev(fields);
	}
	g_free(text);
	g_free(path);
	return pages * sysconf(_SC_PAGESIZE);
}

int64_t proc_metric(const struct proc *p, const char *name)
{
	struct reply r = call_local(p->port, "GET", "/metrics", NULL, NULL);
	char *prefix = g_strdup_printf("\n%s ", name);
	const char *value = r.body ? strstr(r.body, prefix) : NULL;
	int64_t count =
		value ? g_ascii_strtoll(value + strlen(prefix), NULL, 10) : -1;

	g_free(prefix);
	reply_clear(&r);
	return count;
}

int64_t rig_engine_cancellations(const struct rig *g)
{
	return sum_engine_counts(g, "cancelled");
}
