/* The entry processes of a soak. See soak.h. */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak/soak.h"
#include "soak/test-harm.h"

/* Part of an entry's log that is printed when it exits unexpectedly. */
#define LOG_TAIL_BYTES 2000

/* Runs in the child: the kernel kills the entry when the soak process dies. */
static void kill_with_parent(void *ctx)
{
	(void)ctx;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void process_start(struct entry_process *p, char *program_path)
{
	char **env = harm_environment(p);
	char *argv[] = {program_path, "--settings", p->settings_path, NULL};
	char *log_path = g_strconcat(p->settings_path, ".log", NULL);
	int fd =
		open(log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	GError *err = NULL;

	g_assert_cmpint(fd, >=, 0);
	g_spawn_async_with_fds(NULL, argv, env, G_SPAWN_DO_NOT_REAP_CHILD,
			       kill_with_parent, NULL, &p->pid, -1, fd, fd,
			       &err);
	g_assert_no_error(err);
	close(fd);
	g_strfreev(env);
	g_free(log_path);
	p->seen_ready = false;
}

void process_stop(struct entry_process *p, int sig)
{
	if (!p->pid)
		return;
	if (p->suspended)
		kill(p->pid, SIGCONT);
	p->suspended = false;
	kill(p->pid, sig);
	if (sig != SIGKILL)
		return;
	waitpid(p->pid, NULL, 0);
	p->pid = 0;
}

void process_print_log_tail(const struct entry_process *p)
{
	char *log_path = g_strconcat(p->settings_path, ".log", NULL),
	     *text = NULL;
	gsize n = 0;

	if (g_file_get_contents(log_path, &text, &n, NULL))
		printf("# %s ends with:\n%s\n", log_path,
		       text + (n > LOG_TAIL_BYTES ? n - LOG_TAIL_BYTES : 0));
	g_free(text);
	g_free(log_path);
}

void process_print_log_lines(const struct entry_process *p, const char *text)
{
	char *log_path = g_strconcat(p->settings_path, ".log", NULL),
	     *log = NULL, **lines;

	if (g_file_get_contents(log_path, &log, NULL, NULL)) {
		lines = g_strsplit(log, "\n", -1);
		for (size_t i = 0; lines[i]; i++)
			if (strstr(lines[i], text))
				printf("# %s\n", lines[i]);
		g_strfreev(lines);
	}
	g_free(log);
	g_free(log_path);
}

void process_set_settings(struct entry_process *p, const char *text)
{
	int fd = g_file_open_tmp("soak-XXXXXX", &p->settings_path, NULL);

	close(fd);
	g_assert_true(g_file_set_contents(p->settings_path, text, -1, NULL));
}
