/* Child processes of a test, and HTTP calls to them. */
#include "node/test-procs.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#define WAIT_MS          30000
#define POLL_INTERVAL_US 10000

struct procs *procs_new(const char *argv0)
{
	struct procs *p = g_new0(struct procs, 1);
	char *dir = g_path_get_dirname(argv0);

	p->build_root = g_build_filename(dir, "..", "..", NULL);
	p->dir = g_dir_make_tmp("ramp-test-XXXXXX", NULL);
	p->list = g_ptr_array_new();
	g_free(dir);
	return p;
}

static void kill_and_reap(struct proc *proc)
{
	if (!proc->pid)
		return;
	kill(proc->pid, SIGKILL);
	waitpid(proc->pid, NULL, 0);
	proc->pid = 0;
}

void procs_kill(struct procs *p, struct proc *proc)
{
	(void)p;
	kill_and_reap(proc);
}

static void remove_dir(const char *dir)
{
	GDir *d = g_dir_open(dir, 0, NULL);
	const char *name;

	while (d && (name = g_dir_read_name(d))) {
		char *path = g_build_filename(dir, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (d)
		g_dir_close(d);
	g_rmdir(dir);
}

void procs_free(struct procs *p)
{
	for (guint i = 0; i < p->list->len; i++) {
		struct proc *proc = g_ptr_array_index(p->list, i);

		kill_and_reap(proc);
		g_free(proc->name);
		g_free(proc);
	}
	remove_dir(p->dir);
	g_ptr_array_unref(p->list);
	g_free(p->dir);
	g_free(p->build_root);
	g_free(p);
}

static int wait_for_port_file(const char *path)
{
	int64_t until = time_mono_ms() + WAIT_MS;
	char *text = NULL;
	int port;

	while (!g_file_get_contents(path, &text, NULL, NULL)) {
		g_assert_cmpint(time_mono_ms(), <, until);
		g_usleep(POLL_INTERVAL_US);
	}
	port = atoi(text);
	g_free(text);
	return port;
}

/* Runs in the child: a test that aborts must not leave processes behind. */
static void kill_with_parent(gpointer unused)
{
	(void)unused;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static struct proc *start_process(struct procs *p, const char *name,
				  char **argv, const char *port_file)
{
	struct proc *proc = g_new0(struct proc, 1);
	GError *err = NULL;

	g_unlink(port_file);
	g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
		      kill_with_parent, NULL, &proc->pid, &err);
	g_assert_no_error(err);
	proc->name = g_strdup(name);
	proc->port = wait_for_port_file(port_file);
	g_ptr_array_add(p->list, proc);
	return proc;
}

struct proc *procs_start_standin(struct procs *p, const char *name,
				 const char *program)
{
	char *exe =
		g_build_filename(p->build_root, "build/standin", program, NULL);
	char *file = g_strdup_printf("%s/%s.port", p->dir, name);
	char *argv[] = {exe, "--port-file", file, NULL};
	struct proc *proc = start_process(p, name, argv, file);

	g_free(exe);
	g_free(file);
	return proc;
}

struct proc *procs_start_node(struct procs *p, const char *name,
			      const struct proc *platform,
			      const char *extra_settings)
{
	char *exe = g_build_filename(p->build_root, "bin/auburnramp", NULL);
	char *file = g_strdup_printf("%s/%s.port", p->dir, name);
	char *conf = g_strdup_printf("%s/%s.conf", p->dir, name);
	char *text = g_strdup_printf(
		"[node]\nname = %s\nzone = a\nport = 0\n"
		"[platform]\ntable = http://127.0.0.1:%d\npoll = 50\n"
		"timeout = 1000\n%s",
		name, platform->port, extra_settings ? extra_settings : "");
	char *argv[] = {exe, "--settings", conf, "--port-file", file, NULL};
	struct proc *proc;

	g_assert_true(g_file_set_contents(conf, text, -1, NULL));
	proc = start_process(p, name, argv, file);
	g_free(exe);
	g_free(file);
	g_free(conf);
	g_free(text);
	return proc;
}

static struct reply *read_reply(struct http_call *p)
{
	struct reply *r = g_new0(struct reply, 1);
	GByteArray *all = g_byte_array_new();
	int64_t until = time_mono_ms() + WAIT_MS;
	enum http_call_event e;

	while ((e = http_call_wait(p, until)) == HTTP_CALL_DATA) {
		GByteArray *b = http_call_unread(p);

		g_byte_array_append(all, b->data, b->len);
		g_byte_array_set_size(b, 0);
	}
	g_assert_cmpint(e, !=, HTTP_CALL_TIMEOUT);
	r->status = e == HTTP_CALL_END ? http_call_status(p) : 0;
	r->body = g_strndup((char *)all->data, all->len);
	r->json = json_loadb((char *)all->data, all->len, 0, NULL);
	r->outcome = g_strdup(http_call_header(p, "Ramp-Outcome"));
	r->idempotency_key = g_strdup(http_call_header(p, "Idempotency-Key"));
	r->answer = g_strdup(http_call_header(p, "Ramp-Answer"));
	g_byte_array_unref(all);
	return r;
}

struct reply *procs_call(const struct proc *proc, const char *method,
			 const char *path, const char *const *headers,
			 const char *body)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d%s", proc->port, path);
	struct http_request q = {.method = method,
				 .url = url,
				 .headers = headers,
				 .body = str_c(body),
				 .connect_timeout_ms = WAIT_MS,
				 .fresh = true};
	struct http_call *p = http_call_open(&q);
	struct reply *r = read_reply(p);

	http_call_close(p);
	g_free(url);
	return r;
}

void reply_free(struct reply *r)
{
	json_decref(r->json);
	g_free(r->body);
	g_free(r->outcome);
	g_free(r->idempotency_key);
	g_free(r->answer);
	g_free(r);
}

json_t *procs_call_json(const struct proc *proc, const char *method,
			const char *path, const char *body)
{
	static const char *const headers[] = {"Content-Type: application/json",
					      NULL};
	struct reply *r = procs_call(proc, method, path, headers, body);
	json_t *j = json_incref(r->json);

	g_assert_cmpint(r->status, ==, 200);
	reply_free(r);
	return j;
}

void procs_wait_ready(const struct proc *proc)
{
	int64_t until = time_mono_ms() + WAIT_MS;

	for (;;) {
		struct reply *r = procs_call(proc, "GET", "/ready", NULL, NULL);
		bool ready = r->status == 200;

		reply_free(r);
		if (ready)
			return;
		g_assert_cmpint(time_mono_ms(), <, until);
		g_usleep(POLL_INTERVAL_US);
	}
}
