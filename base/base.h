/*
 * base: what every package of the workspace uses: length-counted strings,
 * error kinds, the log, counters, settings, time and HTTP error answers.
 */
#ifndef BASE_H
#define BASE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/errors-gen.h"
#include "base/events-gen.h"
#include "base/metrics-gen.h"
#include "base/settings-gen.h"

/* A length-counted string. The bytes belong to an arena or a constant. */
struct str {
	const char *data;
	size_t len;
};

#define STR_LIT(s) ((struct str){(s), sizeof(s) - 1})
#define STR_FMT    "%.*s"
#define STR_ARG(s) (int)(s).len, (s).data

/* Wrap a C string without copying it; NULL gives the empty string. */
struct str str_c(const char *s);
bool str_eq(struct str a, struct str b);
/* Copy into an arena (a talloc context); the copy ends in a NUL byte. */
struct str str_dup(void *arena, struct str s);
/* Seeded 64-bit hash of the bytes (xxHash3). */
uint64_t str_hash(struct str s, uint64_t seed);
/* For GLib's hash tables whose keys point to a struct str. */
unsigned str_key_hash(const void *key);
int str_key_equal(const void *a, const void *b);

/* Wall-clock time in milliseconds since 1970; deadlines use this scale. */
int64_t time_now_ms(void);
/* Monotonic time in milliseconds, for intervals inside one process. */
int64_t time_mono_ms(void);
/* The same, and it also counts time for which the machine was suspended. */
int64_t time_boot_ms(void);

/* What is known of a request's work when its answer is given. */
enum outcome {
	OUTCOME_COMPLETE,
	OUTCOME_NOT_RUN,
	OUTCOME_FAILED,
	OUTCOME_UNKNOWN,
};

/* Header value of an outcome: "complete", "not-run", "failed", "unknown". */
const char *outcome_name(enum outcome o);

/* The answer that belongs to an error kind; schema/errors.tbl. */
struct error_answer {
	const char *name;
	int http_status;
	enum outcome outcome;
	bool retry;
	const char *text;
};

extern const struct error_answer error_answers[RAMP_ERR_COUNT];

/* GError domain whose codes are enum ramp_error. */
#define RAMP_ERROR (ramp_error_quark())
GQuark ramp_error_quark(void);
/* Kind of a GError; errors of other domains are RAMP_ERR_INTERNAL. */
enum ramp_error ramp_error_kind(const GError *err);
/*
 * JSON body of an error answer. retry_at_ms is the time at which the caller
 * may come back, or 0. The caller owns the result.
 */
json_t *ramp_error_json(enum ramp_error kind, const char *detail,
			int64_t retry_at_ms);

enum log_level {
	LOG_DEBUG,
	LOG_INFO,
	LOG_WARNING,
	LOG_ERROR,
};

struct log_event_info {
	int number;
	enum log_level level;
	const char *name;
};

extern const struct log_event_info log_events[EV_COUNT];

/* Lowest level written; name is one of debug, info, warning, error. */
bool log_set_level(const char *name);
/*
 * Write events to a descriptor in place of standard error, at most so many a
 * second. What would block or is over the rate is dropped and counted.
 */
void log_use(int fd, int64_t lines_per_s);
/* Write one event line; fmt gives key=value pairs. */
void log_event(enum log_event_id id, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

struct metric_info {
	const char *name;
	const char *type;
	const char *help;
};

extern const struct metric_info metric_infos[M_COUNT];

/* Counters of this process; safe from any thread. */
void metric_add(enum metric_id id, int64_t n);
void metric_set(enum metric_id id, int64_t n);
int64_t metric_get(enum metric_id id);
/* Add a time in ms to a histogram. */
void metric_observe(enum metric_id id, int64_t ms);
/* All counters in the Prometheus text format. Free with g_free. */
char *metrics_text(void);

enum setting_type {
	SETTING_STRING,
	SETTING_INT,
	SETTING_MS,
	SETTING_REAL,
	SETTING_BOOL,
	SETTING_ENUM,
	SETTING_HASH, /* of a key, in hexadecimal digits; may be empty */
};

struct setting_info {
	const char *section;
	const char *key;
	enum setting_type type;
	const char *allowed; /* values of an enum, separated by commas */
	const char *value;   /* default; NULL when required */
	int64_t min;         /* of the value, or of a string's length */
	int64_t max;
	size_t offset; /* in struct settings */
	const char *doc;
};

/* The settings of one program. */
struct setting_table {
	const struct setting_info *infos;
	size_t count;
	size_t size; /* of the struct that they fill */
};

extern const struct setting_table settings_table;

/*
 * Read settings from an INI file. All errors are collected, one string each
 * ("file:line: section.key: what is allowed"), in errors.
 *
 * Return: false when there is any error.
 */
bool settings_load(const char *path, struct settings *out, GPtrArray *errors);
void settings_clear(struct settings *s);
/*
 * The same for any program's settings. A number that is given as nothing
 * takes its default.
 */
bool settings_load_table(const struct setting_table *t, const char *path,
			 void *out, GPtrArray *errors);
void settings_clear_table(const struct setting_table *t, void *s);
/* Copy the numbers of one section, as a reload takes them. */
void settings_take_numbers(const struct setting_table *t, const char *section,
			   void *to, const void *from);

#endif
