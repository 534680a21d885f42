#include "node/test-procs.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#define WAIT_MS 30000
#define POLL_US 10000

struct procs *procs_new(const char *argv0)
{
	struct procs *p = g_new0(struct procs, 1);
	char *dir = g_path_get_dirname(argv0);

	p->top = g_build_filename(dir, "..", "..", NULL);
	p->dir = g_dir_make_tmp("ramp-test-XXXXXX", NULL);
	p->list = g_ptr_array_new();
	g_free(dir);
	return p;
}

static void end(struct proc *x)
{
	if (!x->pid)
		return;
	kill(x->pid, SIGKILL);
	waitpid(x->pid, NULL, 0);
	x->pid = 0;
}

void procs_kill(struct procs *p, struct proc *x)
{
	(void)p;
	end(x);
}

static void remove_files(const char *dir)
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
		struct proc *x = g_ptr_array_index(p->list, i);

		end(x);
		g_free(x->name);
		g_free(x);
	}
	remove_files(p->dir);
	g_ptr_array_unref(p->list);
	g_free(p->dir);
	g_free(p->top);
	g_free(p);
}

static int wait_port(const char *path)
{
	int64_t until = time_mono_ms() + WAIT_MS;
	char *text = NULL;
	int port;

	while (!g_file_get_contents(path, &text, NULL, NULL)) {
		g_assert_cmpint(time_mono_ms(), <, until);
		g_usleep(POLL_US);
	}
	port = atoi(text);
	g_free(text);
	return port;
}

/* In the child: a test that aborts takes its processes with it. */
static void die_with_test(gpointer unused)
{
	(void)unused;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static struct proc *start(struct procs *p, const char *name, char **argv,
			  const char *port_file)
{
	struct proc *x = g_new0(struct proc, 1);
	GError *err = NULL;

	g_unlink(port_file);
	g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
		      die_with_test, NULL, &x->pid, &err);
	g_assert_no_error(err);
	x->name = g_strdup(name);
	x->port = wait_port(port_file);
	g_ptr_array_add(p->list, x);
	return x;
}

struct proc *procs_standin(struct procs *p, const char *name,
			   const char *program)
{
	char *exe = g_build_filename(p->top, "build/standin", program, NULL);
	char *file = g_strdup_printf("%s/%s.port", p->dir, name);
	char *argv[] = {exe, "--port-file", file, NULL};
	struct proc *x = start(p, name, argv, file);

	g_free(exe);
	g_free(file);
	return x;
}

struct proc *procs_node(struct procs *p, const char *name,
			const struct proc *platform, const char *more)
{
	char *exe = g_build_filename(p->top, "bin/auburnramp", NULL);
	char *file = g_strdup_printf("%s/%s.port", p->dir, name);
	char *conf = g_strdup_printf("%s/%s.conf", p->dir, name);
	char *text = g_strdup_printf(
		"[node]\nname = %s\nzone = a\nport = 0\n"
		"[platform]\ntable = http://127.0.0.1:%d\npoll = 50\n"
		"timeout = 1000\n%s",
		name, platform->port, more ? more : "");
	char *argv[] = {exe, "--settings", conf, "--port-file", file, NULL};
	struct proc *x;

	g_assert_true(g_file_set_contents(conf, text, -1, NULL));
	x = start(p, name, argv, file);
	g_free(exe);
	g_free(file);
	g_free(conf);
	g_free(text);
	return x;
}

static struct reply *read_reply(struct pull *p)
{
	struct reply *r = g_new0(struct reply, 1);
	GByteArray *all = g_byte_array_new();
	int64_t until = time_mono_ms() + WAIT_MS;
	enum pull_event e;

	while ((e = pull_wait(p, until)) == PULL_DATA) {
		GByteArray *b = pull_bytes(p);

		g_byte_array_append(all, b->data, b->len);
		g_byte_array_set_size(b, 0);
	}
	g_assert_cmpint(e, !=, PULL_TIMEOUT);
	r->status = e == PULL_END ? pull_status(p) : 0;
	r->body = g_strndup((char *)all->data, all->len);
	r->json = json_loadb((char *)all->data, all->len, 0, NULL);
	r->outcome = g_strdup(pull_header(p, "Ramp-Outcome"));
	r->key = g_strdup(pull_header(p, "Idempotency-Key"));
	r->answer = g_strdup(pull_header(p, "Ramp-Answer"));
	g_byte_array_unref(all);
	return r;
}

struct reply *procs_call(const struct proc *x, const char *method,
			 const char *path, const char *const *headers,
			 const char *body)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d%s", x->port, path);
	struct pull_request q = {.method = method,
				 .url = url,
				 .headers = headers,
				 .body = str_c(body),
				 .connect_ms = WAIT_MS,
				 .fresh = true};
	struct pull *p = pull_open(&q);
	struct reply *r = read_reply(p);

	pull_close(p);
	g_free(url);
	return r;
}

void reply_free(struct reply *r)
{
	json_decref(r->json);
	g_free(r->body);
	g_free(r->outcome);
	g_free(r->key);
	g_free(r->answer);
	g_free(r);
}

json_t *procs_json(const struct proc *x, const char *method, const char *path,
		   const char *body)
{
	static const char *const headers[] = {"Content-Type: application/json",
					      NULL};
	struct reply *r = procs_call(x, method, path, headers, body);
	json_t *j = json_incref(r->json);

	g_assert_cmpint(r->status, ==, 200);
	reply_free(r);
	return j;
}

void procs_wait_ready(const struct proc *x)
{
	int64_t until = time_mono_ms() + WAIT_MS;

	for (;;) {
		struct reply *r = procs_call(x, "GET", "/ready", NULL, NULL);
		bool ready = r->status == 200;

		reply_free(r);
		if (ready)
			return;
		g_assert_cmpint(time_mono_ms(), <, until);
		g_usleep(POLL_US);
	}
}
