/* The record of a case, its clock and its end. */
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "internal.h"

#define PROCESSES_MAX 16

static FILE *out;
static GMutex lock;
static int64_t started_ms;
static const struct entry_process *processes[PROCESSES_MAX];
static size_t process_count;

int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void sleep_ms(int64_t ms)
{
	if (ms > 0)
		g_usleep((gulong)ms * 1000);
}

static void write_line(const char *fmt, va_list ap)
{
	g_mutex_lock(&lock);
	fprintf(out, "%8.3f ", (double)(now_ms() - started_ms) / 1000);
	vfprintf(out, fmt, ap);
	fputc('\n', out);
	fflush(out);
	g_mutex_unlock(&lock);
}

void record(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	write_line(fmt, ap);
	va_end(ap);
}

void case_begin(int argc, char **argv)
{
	char *path;

	if (argc != 2) {
		fprintf(stderr, "usage: %s DIRECTORY\n", argv[0]);
		exit(CASE_NOT_RUN);
	}
	signal(SIGPIPE, SIG_IGN);
	started_ms = now_ms();
	path = g_build_filename(argv[1], "record.txt", NULL);
	out = fopen(path, "w");
	if (!out) {
		perror(path);
		exit(CASE_NOT_RUN);
	}
	g_free(path);
	record("trouble=%d", case_has_trouble());
}

bool case_has_trouble(void)
{
	const char *v = getenv("TROUBLE");

	return !v || strcmp(v, "0") != 0;
}

void case_add_process(const struct entry_process *p)
{
	for (size_t i = 0; i < process_count; i++)
		if (processes[i] == p)
			return;
	g_assert(process_count < PROCESSES_MAX);
	processes[process_count++] = p;
}

static void end_processes(void)
{
	for (size_t i = 0; i < process_count; i++) {
		if (!processes[i]->pid)
			continue;
		kill(processes[i]->pid, SIGKILL);
		waitpid(processes[i]->pid, NULL, 0);
	}
}

void case_end(int status, const char *fmt, ...)
{
	static const char *const verdicts[] = {"held", "BROKEN", "not run"};
	char *text;
	va_list ap;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	end_processes();
	record("verdict: %s: %s", verdicts[status], text);
	printf("%s: %s\n", verdicts[status], text);
	fflush(stdout);
	/* Threads of stand-ins may still be running. */
	_exit(status);
}
