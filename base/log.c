/* The event log: one line per event, rate-limited by a token bucket. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/base.h"

static const char *const level_names[] = {"debug", "info", "warning", "error"};
static enum log_level lowest_level = LOG_INFO;
static int out_fd = STDERR_FILENO;
/* The token bucket and the count of dropped lines; the lock protects them. */
static int64_t rate_per_s; /* 0: no limit */
static int64_t lines_left;
static int64_t last_fill_ms;
static int64_t dropped_lines;
static GMutex lock;

bool log_set_level(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (!strcmp(name, level_names[i])) {
			lowest_level = (enum log_level)i;
			return true;
		}
	}
	return false;
}

/* Replace control characters by blanks: a line break could forge an event. */
static void blank_control_bytes(char *s)
{
	for (; *s; s++) {
		if ((unsigned char)*s < ' ')
			*s = ' ';
	}
}

void log_set_output(int fd, int64_t lines_per_s)
{
	g_mutex_lock(&lock);
	out_fd = fd;
	rate_per_s = lines_per_s;
	lines_left = lines_per_s;
	last_fill_ms = time_mono_ms();
	g_mutex_unlock(&lock);
}

/*
 * Take a token for one line; return false when there is none. A fifth of the
 * bucket is reserved for warnings and errors.
 */
static bool allow_line(enum log_level level)
{
	int64_t now = time_mono_ms();
	int64_t reserved = level < LOG_WARNING ? rate_per_s / 5 : 0;
	int64_t refill;

	if (!rate_per_s)
		return true;
	refill = (now - last_fill_ms) * rate_per_s / 1000;
	if (refill > 0) {
		lines_left = MIN(rate_per_s, lines_left + refill);
		last_fill_ms = now;
	}
	if (lines_left <= reserved)
		return false;
	lines_left--;
	return true;
}

/* Write a line with one call, so that lines of several threads do not mix. */
static void write_line(const char *line, size_t n, enum log_level level)
{
	char notice[64];

	g_mutex_lock(&lock);
	if (!allow_line(level) || write(out_fd, line, n) < 0) {
		dropped_lines++; /* reported after the next line written */
	} else if (dropped_lines) {
		int len = snprintf(notice, sizeof(notice),
				   "log lines dropped=%" G_GINT64_FORMAT "\n",
				   dropped_lines);

		if (write(out_fd, notice, (size_t)len) == len)
			dropped_lines = 0;
	}
	g_mutex_unlock(&lock);
}

void log_event(enum log_event_id id, const char *fmt, ...)
{
	const struct log_event_info *e = &log_events[id];
	char text[1024];
	char line[1200];
	char stamp[32];
	struct timespec ts;
	struct tm tm;
	va_list ap;
	int n;

	if (e->level < lowest_level)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	blank_control_bytes(text);
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	n = snprintf(line, sizeof(line), "%s.%03ldZ %s %d %s %s\n", stamp,
		     ts.tv_nsec / 1000000, level_names[e->level], e->number,
		     e->name, text);
	write_line(line, MIN((size_t)n, sizeof(line) - 1), e->level);
}
