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
/* The lock protects these. */
static struct line_budget budget;
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
	budget = (struct line_budget){lines_per_s, lines_per_s * 1000,
				      time_mono_ms()};
	g_mutex_unlock(&lock);
}

bool line_budget_take(struct line_budget *b, int64_t now_ms, bool urgent)
{
	int64_t reserved = urgent ? 0 : b->rate_per_s / 5;
	int64_t refill;

	if (!b->rate_per_s)
		return true;
	refill = (now_ms - b->filled_ms) * b->rate_per_s;
	b->thousandths = MIN(b->thousandths + refill, b->rate_per_s * 1000);
	b->filled_ms = now_ms;
	if (b->thousandths < (reserved + 1) * 1000)
		return false;
	b->thousandths -= 1000;
	return true;
}

/* Write a line with one call, so that lines of several threads do not mix. */
static void write_line(const char *line, size_t n, enum log_level level)
{
	char notice[64];

	g_mutex_lock(&lock);
	if (!line_budget_take(&budget, time_mono_ms(), level >= LOG_WARNING) ||
	    write(out_fd, line, n) < 0) {
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
