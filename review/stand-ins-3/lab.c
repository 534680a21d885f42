/* See lab.h. */
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "review/stand-ins-3/lab.h"

#define PROGRAM     "target/bin/rampentry"
#define GRACE_MS    8000
#define START_MS    15000
#define CONFIG_MS   500
#define MAX_FDS     4100
#define POLL_MS     20
#define SETTLE_MS   1000
#define RECORD_NAME "record.txt"

static void vrecord(struct lab *l, const char *prefix, const char *fmt,
		    va_list args)
{
	char *text = g_strdup_vprintf(fmt, args);
	char *line = g_strdup_printf(
		"%7.3f s  %s%s\n", (double)lab_now_ms(l) / 1000, prefix, text);

	g_mutex_lock(&l->record_lock);
	fputs(line, l->record);
	fflush(l->record);
	fputs(line, stdout);
	fflush(stdout);
	g_mutex_unlock(&l->record_lock);
	g_free(line);
	g_free(text);
}

void lab_record(struct lab *l, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vrecord(l, "", fmt, args);
	va_end(args);
}

void lab_record_break(struct lab *l, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vrecord(l, "BROKEN: ", fmt, args);
	va_end(args);
	l->breaks++;
}

int64_t lab_now_ms(const struct lab *l)
{
	return time_mono_ms() - l->began_ms;
}

int lab_port(const struct lab *l, size_t entry)
{
	return l->rig->entries[entry].callers_port;
}

/* The settings of deploy/entry.conf.in, filled in for one machine. */
static char *settings_text(struct lab *l, size_t i)
{
	struct rig_entry *r = &l->rig->entries[i];

	r->callers_port = rig_reserve_port(l->rig, SOCK_STREAM);
	r->ready_port = rig_reserve_port(l->rig, SOCK_STREAM);
	r->entries_port = rig_reserve_port(l->rig, SOCK_STREAM);
	r->metrics_port = rig_reserve_port(l->rig, SOCK_STREAM);
	r->peers_port = rig_reserve_port(l->rig, SOCK_DGRAM);
	return g_strdup_printf(
		"[node]\nname = edge-a-%d\nip = 127.0.0.1\nzone = a\n"
		"region = r\nbootstrap = true\n"
		"[listen]\ncallers = 127.0.0.1:%d\nready = 127.0.0.1:%d\n"
		"entries = 127.0.0.1:%d\nmetrics = 127.0.0.1:%d\n"
		"[peers]\nport = %d\nseeds =\n"
		"[store]\naddress = 127.0.0.1:%d\n"
		"[limits]\nmemory_mb = 260\nfiles = %d\n"
		"[bounds]\ndrain = 2000\ncontact = 3000\ngrace_s = 8\n"
		"config_apply = 2000\nrevoke = 5000\nretry_ratio = 0.2\n"
		"retry_window_s = 10\nretry_allowance = 52\n"
		"load_factor = 2\nentries_ttl_s = 5\n",
		(int)i + 1, r->callers_port, r->ready_port, r->entries_port,
		r->metrics_port, r->peers_port, l->rig->stores[i].port,
		MAX_FDS);
}

/* Runs in the child: it ends when this process does. */
static void prepare_child(void *ctx)
{
	(void)ctx;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static bool start_entry(struct lab *l, size_t i)
{
	char *text = settings_text(l, i);
	int fd = g_file_open_tmp("review-XXXXXX", &l->settings_paths[i], NULL);
	char program[] = PROGRAM, option[] = "--settings";
	char *argv[] = {program, option, l->settings_paths[i], NULL};
	int64_t deadline_ms = time_mono_ms() + START_MS;

	close(fd);
	g_file_set_contents(l->settings_paths[i], text, -1, NULL);
	g_free(text);
	if (!g_spawn_async(NULL, argv, NULL,
			   G_SPAWN_DO_NOT_REAP_CHILD |
				   G_SPAWN_STDOUT_TO_DEV_NULL,
			   prepare_child, NULL, &l->pids[i], NULL))
		return false;
	while (!is_ready(l->rig->entries[i].ready_port)) {
		if (time_mono_ms() > deadline_ms)
			return false;
		g_usleep(POLL_MS * 1000);
	}
	return true;
}

struct lab *lab_new(const char *directory, size_t engines, script_fn *script)
{
	struct lab *l = g_new0(struct lab, 1);
	char *path = g_build_filename(directory, RECORD_NAME, NULL);

	l->began_ms = time_mono_ms();
	l->trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	l->record = fopen(path, "w");
	if (!l->record) {
		perror(path);
		exit(2);
	}
	g_free(path);
	l->rig = rig_new(engines, 0, script);
	for (size_t i = 0; i < LAB_ENTRIES; i++) {
		if (start_entry(l, i))
			continue;
		lab_record(l, "entry %d did not start", (int)i);
		(void)lab_finish(l);
		exit(2);
	}
	/* They learn of each other. */
	g_usleep(SETTLE_MS * 1000);
	lab_record(l, "%d entries are ready, trouble=%d", LAB_ENTRIES,
		   l->trouble);
	return l;
}

void lab_terminate(struct lab *l, size_t entry)
{
	kill(l->pids[entry], SIGTERM);
	lab_record(l, "SIGTERM to entry %d", (int)entry);
}

void lab_await_end(struct lab *l, size_t entry, int64_t signal_ms)
{
	int status = 0;

	while (!waitpid(l->pids[entry], &status, WNOHANG)) {
		if (lab_now_ms(l) - signal_ms > GRACE_MS)
			kill(l->pids[entry], SIGKILL);
		g_usleep(POLL_MS * 1000);
	}
	l->pids[entry] = 0;
	lab_record(l, "entry %d has ended, %d ms after the signal, status %d",
		   (int)entry, (int)(lab_now_ms(l) - signal_ms), status);
}

int lab_finish(struct lab *l)
{
	int breaks = l->breaks;

	for (size_t i = 0; i < LAB_ENTRIES; i++) {
		if (l->pids[i]) {
			kill(l->pids[i], SIGKILL);
			waitpid(l->pids[i], NULL, 0);
		}
		if (l->settings_paths[i])
			unlink(l->settings_paths[i]);
		g_free(l->settings_paths[i]);
	}
	lab_record(l, "%s",
		   breaks ? "the rule was broken" : "the rule was kept");
	rig_free(l->rig);
	fclose(l->record);
	g_free(l);
	return breaks ? 1 : 0;
}

struct channel *channel_open(const struct lab *l, size_t entry, int window)
{
	struct channel *c = g_new0(struct channel, 1);

	c->fd = dial_window(lab_port(l, entry), window);
	c->received = g_string_new(NULL);
	return c;
}

void channel_close(struct channel *c)
{
	close(c->fd);
	g_string_free(c->received, TRUE);
	g_free(c);
}

char *channel_send(struct lab *l, struct channel *c, const char *method,
		   const char *path, int deadline_ms, const char *body)
{
	static atomic_int next;
	char *id = g_strdup_printf("a%04d", atomic_fetch_add(&next, 1));
	char *length = *body ? g_strdup_printf("Content-Length: %d\r\n",
					       (int)strlen(body))
			     : g_strdup("");
	char *text = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: chat.example\r\n"
		"Auburnramp-Attempt-Id: %s\r\nAuburnramp-Deadline-Ms: %d\r\n"
		"%s\r\n%s",
		method, path, id, deadline_ms, length, body);

	if (send(c->fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		lab_record(l, "%s could not be sent: %s", id,
			   g_strerror(errno));
	g_free(text);
	g_free(length);
	return id;
}

bool channel_read_until(struct channel *c, size_t offset, const char *text,
			int64_t timeout_ms)
{
	int64_t deadline_ms = time_mono_ms() + timeout_ms;
	char p[4096];

	while (c->received->len < offset ||
	       !strstr(c->received->str + offset, text)) {
		struct pollfd f = {c->fd, POLLIN, 0};
		int64_t left_ms = deadline_ms - time_mono_ms();
		ssize_t n;

		if (left_ms <= 0 || poll(&f, 1, (int)left_ms) != 1)
			return false;
		n = recv(c->fd, p, sizeof(p), 0);
		if (n <= 0)
			return false;
		g_string_append_len(c->received, p, n);
	}
	return true;
}
