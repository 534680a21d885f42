#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/base.h"

static const char *const level_names[] = {"debug", "info", "warning", "error"};
static enum log_level lowest = LOG_INFO;
static int out_fd = STDERR_FILENO;
/* Lines that may still be written now; all under the lock. */
static int64_t rate_per_s; /* 0: no limit */
static int64_t lines_left;
static int64_t filled_ms;
static int64_t dropped;
static GMutex lock;

bool log_set_level(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (!strcmp(name, level_names[i])) {
			lowest = (enum log_level)i;
			return true;
		}
	}
	return false;
}

/* A line break inside a value would forge a second event. */
static void blank_control_bytes(char *s)
{
	for (; *s; s++) {
		if ((unsigned char)*s < ' ')
			*s = ' ';
	}
}

void log_use(int fd, int64_t lines_per_s)
{
	g_mutex_lock(&lock);
	out_fd = fd;
	rate_per_s = lines_per_s;
	lines_left = lines_per_s;
	filled_ms = time_mono_ms();
	g_mutex_unlock(&lock);
}

/* Warnings and errors may also use what the rate keeps back: a fifth. */
static bool take_line(enum log_level level)
{
	int64_t now = time_mono_ms();
	int64_t kept = level < LOG_WARNING ? rate_per_s / 5 : 0;
	int64_t fill;

	if (!rate_per_s)
		return true;
	fill = (now - filled_ms) * rate_per_s / 1000;
	if (fill > 0) {
		lines_left = MIN(rate_per_s, lines_left + fill);
		filled_ms = now;
	}
	if (lines_left <= kept)
		return false;
	lines_left--;
	return true;
}

/* One write keeps the lines of several threads apart. */
static void write_line(const char *line, size_t n, enum log_level level)
{
	char note[64];

	g_mutex_lock(&lock);
	if (!take_line(level) || write(out_fd, line, n) < 0) {
		dropped++; /* told with the next line that can be written */
	} else if (dropped) {
		int k = snprintf(note, sizeof(note),
				 "log lines dropped=%" G_GINT64_FORMAT "\n",
				 dropped);

		if (write(out_fd, note, (size_t)k) == k)
			dropped = 0;
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

	if (e->level < lowest)
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
