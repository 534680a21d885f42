/*
 * base: what all other packages use: length-counted strings, time, error kinds
 * and their HTTP responses, the event log, metrics, and settings files.
 *
 * The log and the metrics are global to the process and safe from any thread.
 * Settings are loaded by one thread and owned by the caller. All other
 * functions keep no state.
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

/*
 * A length-counted string, not NUL-terminated unless str_dup made it. The bytes
 * belong to an arena or a constant.
 */
struct str {
	const char *data;
	size_t len;
};

#define STR_LIT(s) ((struct str){(s), sizeof(s) - 1})
#define STR_FMT    "%.*s"
#define STR_ARG(s) (int)(s).len, (s).data

/* Return a C string as a struct str, without a copy; NULL gives "". */
struct str str_c(const char *s);
bool str_eq(struct str a, struct str b);
/* Copy into an arena (a talloc context); a NUL byte follows the copy. */
struct str str_dup(void *arena, struct str s);
/* Return the seeded 64-bit hash of the bytes (XXH3). */
uint64_t str_hash(struct str s, uint64_t seed);
/* Hash and compare keys that point to a struct str, for GHashTable. */
unsigned str_key_hash(const void *key);
int str_key_equal(const void *a, const void *b);

/*
 * key.c: return the hash of a key in hex, as resources and settings store it;
 * free by g_free.
 */
char *key_hash(struct str key);

/*
 * json.c: decode a JSON object of which elements or fields may be unreadable: a
 * number too large, text that is not UTF-8 or has a NUL, or deep nesting. The
 * object's lists keep their readable elements, and objects in these lists their
 * readable fields; *dropped gets the number of the others. A field of the
 * object itself has to be readable.
 *
 * Return: NULL when the bytes are no such object.
 */
json_t *json_load_readable(const char *p, size_t n, size_t *dropped);

/* Return the wall-clock time in ms since 1970, the clock of deadlines. */
int64_t time_now_ms(void);
/* Return the monotonic time in ms, for intervals inside one process. */
int64_t time_mono_ms(void);
/* Like time_mono_ms, but including time in which the machine was suspended. */
int64_t time_boot_ms(void);

/* Whether a request's work has run, as far as known when it is answered. */
enum outcome {
	OUTCOME_COMPLETE,
	OUTCOME_NOT_RUN,
	OUTCOME_FAILED,
	OUTCOME_UNKNOWN, /* it may have run */
};

/* Return the header value: "complete", "not-run", "failed" or "unknown". */
const char *outcome_name(enum outcome o);

/* The HTTP response to an error kind; a row of schema/errors.tbl. */
struct error_response {
	const char *name;
	int http_status;
	enum outcome outcome;
	bool retry; /* the caller may retry */
	const char *text;
};

extern const struct error_response error_responses[RAMP_ERR_COUNT];

/* GError domain whose codes are enum ramp_error. */
#define RAMP_ERROR (ramp_error_quark())
GQuark ramp_error_quark(void);
/* Return the kind of a GError; RAMP_ERR_INTERNAL for any other domain. */
enum ramp_error ramp_error_kind(const GError *err);
/*
 * Build the JSON body of an error response. detail replaces the kind's text
 * unless it is NULL or not UTF-8. retry_at_ms is the wall-clock time from which
 * the caller may retry, or 0. The caller owns the result.
 */
json_t *ramp_error_json(enum ramp_error kind, const char *detail,
			int64_t retry_at_ms);

enum log_level {
	LOG_DEBUG,
	LOG_INFO,
	LOG_WARNING,
	LOG_ERROR,
};

/* A kind of log event; a row of schema/events.tbl. */
struct log_event_info {
	int number;
	enum log_level level;
	const char *name;
};

extern const struct log_event_info log_events[EV_COUNT];

/*
 * Set the lowest level that is written: debug, info, warning or error. Return
 * false for any other name. Call before other threads start.
 */
bool log_set_level(const char *name);
/* Token bucket that limits log lines; a rate of 0 sets no limit. */
struct line_budget {
	int64_t rate_per_s;
	int64_t thousandths; /* of a line, that are left */
	int64_t filled_ms;   /* they include the refill up to then */
};

/*
 * Take one line from the budget; false when it is used up. A fifth of it is
 * reserved for urgent lines.
 */
bool line_budget_take(struct line_budget *b, int64_t now_ms, bool urgent);
/*
 * Write events to a descriptor instead of standard error, at most lines_per_s
 * of them a second (0: no limit). Lines over the rate, and lines that a
 * non-blocking descriptor does not take, are dropped and counted.
 */
void log_set_output(int fd, int64_t lines_per_s);
/*
 * Write one event as a line. fmt gives its key=value pairs; control characters
 * become spaces, and more than 1,023 bytes are cut.
 */
void log_event(enum log_event_id id, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/* A metric; a row of schema/metrics.tbl. */
struct metric_info {
	const char *name;
	const char *type;
	const char *help;
};

extern const struct metric_info metric_infos[M_COUNT];

/* Add to, set or read a counter or gauge of this process. */
void metric_add(enum metric_id id, int64_t n);
void metric_set(enum metric_id id, int64_t n);
int64_t metric_get(enum metric_id id);
/* Add an observation in ms to a histogram. */
void metric_observe(enum metric_id id, int64_t ms);
/* Return all metrics in the Prometheus text format. Free with g_free. */
char *metrics_text(void);

enum setting_type {
	SETTING_STRING,
	SETTING_INT,
	SETTING_MS,
	SETTING_REAL,
	SETTING_BOOL,
	SETTING_ENUM,
	SETTING_HASH, /* hash of a key, 64 hexadecimal digits or empty */
};

/* One key of a settings file; a row of a table in schema/. */
struct setting_info {
	const char *section;
	const char *key;
	enum setting_type type;
	const char *allowed;       /* values of an enum, separated by commas */
	const char *default_value; /* NULL when the key is required */
	int64_t min; /* of the value, or of a string's length in bytes */
	int64_t max;
	size_t offset; /* in the struct that the table fills */
	const char *doc;
};

/* The settings of one program. */
struct setting_table {
	const struct setting_info *infos;
	size_t count;
	size_t size; /* of the struct that the table fills, in bytes */
};

extern const struct setting_table settings_table;

/*
 * Read the settings of auburnramp from an INI file. Each error is added to
 * errors as a string of its own: "file:line: section.key: what is allowed".
 * Free *out with settings_clear, also after an error.
 *
 * Return: false when there is any error.
 */
bool settings_load(const char *path, struct settings *out, GPtrArray *errors);
void settings_clear(struct settings *s);
/*
 * Like settings_load, for any table. A number with an empty value takes its
 * default.
 */
bool settings_load_table(const struct setting_table *t, const char *path,
			 void *out, GPtrArray *errors);
void settings_clear_table(const struct setting_table *t, void *s);
/* Copy the numbers of one section to another struct, for a reload. */
void settings_copy_numbers(const struct setting_table *t, const char *section,
			   void *to, const void *from);

#endif
