#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/base.h"

static const char *const level_names[] = {"debug", "info", "warning", "error"};
static enum log_level lowest = LOG_INFO;

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
	/* One write keeps the lines of several threads apart. */
	if (write(STDERR_FILENO, line, (size_t)n) < 0)
		return; /* nowhere left to report it */
}
