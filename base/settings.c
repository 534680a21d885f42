/* Settings files: INI syntax, checked against a table of keys. */
#include <errno.h>
#include <ini.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/base.h"

#define HASH_DIGITS 64
/* More than any settings file needs; a larger file is another one. */
#define FILE_BYTES_MAX (1 << 20)
/* Reading ends after this many errors. */
#define ERRORS_MAX 100

/* State of one load; inih calls back once for each "key = value" line. */
struct load {
	const struct setting_table *table;
	const char *path;
	FILE *file;
	int line; /* number of the line being read */
	size_t bytes_read;
	char *text; /* of that line, in a buffer of getline */
	size_t text_size;
	void *out;
	GPtrArray *errors;
	guint errors_before;
	bool *given; /* for each key of the table */
};

static void *field_at(void *s, const struct setting_info *d)
{
	return (char *)s + d->offset;
}

/* Write what a setting allows, as the end of an error message. */
static void describe_allowed(const struct setting_info *d, char *buf, size_t n)
{
	static const char *const type_names[] = {
		[SETTING_STRING] = "a string in UTF-8 with a length",
		[SETTING_INT] = "a whole number",
		[SETTING_MS] = "a whole number of milliseconds",
		[SETTING_REAL] = "a number",
	};

	switch (d->type) {
	case SETTING_STRING:
	case SETTING_INT:
	case SETTING_MS:
	case SETTING_REAL:
		snprintf(buf, n,
			 "%s from %" PRId64 " to %" PRId64 " is allowed",
			 type_names[d->type], d->min, d->max);
		return;
	case SETTING_BOOL:
		snprintf(buf, n, "true or false is allowed");
		return;
	case SETTING_ENUM:
		snprintf(buf, n, "one of %s is allowed", d->allowed);
		return;
	case SETTING_HASH:
		snprintf(buf, n, "%d hexadecimal digits or nothing is allowed",
			 HASH_DIGITS);
		return;
	}
}

static bool is_hash(const char *s)
{
	size_t n = strlen(s);

	return !n || (n == HASH_DIGITS &&
		      strspn(s, "0123456789abcdef") == HASH_DIGITS);
}

static bool is_one_of(const char *list, const char *s)
{
	char **names = g_strsplit(list, ",", -1);
	bool found = g_strv_contains((const char *const *)names, s);

	g_strfreev(names);
	return found;
}

static bool parse_int(const char *value, int64_t *out)
{
	char *end;

	errno = 0;
	*out = g_ascii_strtoll(value, &end, 10);
	return !errno && end != value && !*end;
}

static bool parse_real(const char *value, double *out)
{
	char *end;

	errno = 0;
	*out = g_ascii_strtod(value, &end);
	return !errno && end != value && !*end;
}

static bool is_number(enum setting_type t)
{
	return t == SETTING_INT || t == SETTING_MS || t == SETTING_REAL;
}

/* settings_copy_numbers copies both with the same size. */
G_STATIC_ASSERT(sizeof(int64_t) == sizeof(double));

static void store_string(void *s, const struct setting_info *d,
			 const char *value)
{
	g_free(*(char **)field_at(s, d));
	*(char **)field_at(s, d) = g_strdup(value);
}

/* Parse a value into its field; return false when it is not allowed. */
static bool store_value(void *s, const struct setting_info *d,
			const char *value)
{
	int64_t len = (int64_t)strlen(value);
	int64_t n;
	double x;

	switch (d->type) {
	case SETTING_STRING:
	case SETTING_ENUM:
	case SETTING_HASH:
		if (len < d->min || len > d->max ||
		    !g_utf8_validate(value, (gssize)len, NULL) ||
		    (d->type == SETTING_ENUM &&
		     !is_one_of(d->allowed, value)) ||
		    (d->type == SETTING_HASH && !is_hash(value)))
			return false;
		store_string(s, d, value);
		return true;
	case SETTING_BOOL:
		if (strcmp(value, "true") && strcmp(value, "false"))
			return false;
		*(bool *)field_at(s, d) = !strcmp(value, "true");
		return true;
	case SETTING_INT:
	case SETTING_MS:
		if (!parse_int(value, &n) || n < d->min || n > d->max)
			return false;
		*(int64_t *)field_at(s, d) = n;
		return true;
	case SETTING_REAL:
		/* Not a number is in no range. */
		if (!parse_real(value, &x) ||
		    !(x >= (double)d->min && x <= (double)d->max))
			return false;
		*(double *)field_at(s, d) = x;
		return true;
	}
	return false;
}

static const struct setting_info *find_setting(const struct setting_table *t,
					       const char *section,
					       const char *key)
{
	for (size_t i = 0; i < t->count; i++) {
		if (!strcmp(t->infos[i].section, section) &&
		    !strcmp(t->infos[i].key, key))
			return &t->infos[i];
	}
	return NULL;
}

static void add_error(struct load *l, int line, const char *section,
		      const char *key, const char *what)
{
	g_ptr_array_add(l->errors, g_strdup_printf("%s:%d: %s.%s: %s", l->path,
						   line, section, key, what));
}

static int on_value(void *user, const char *section, const char *key,
		    const char *value)
{
	struct load *l = user;
	const struct setting_info *d = find_setting(l->table, section, key);
	char allowed[128];

	if (!d) {
		add_error(l, l->line, section, key, "unknown key");
		return 1;
	}
	if (l->given[d - l->table->infos]) {
		add_error(l, l->line, section, key, "given twice");
		return 1;
	}
	if (!*value && d->default_value && is_number(d->type))
		return 1;
	l->given[d - l->table->infos] = true;
	if (store_value(l->out, d, value))
		return 1;
	describe_allowed(d, allowed, sizeof(allowed));
	add_error(l, l->line, section, key, allowed);
	return 1;
}

static void add_line_error(struct load *l, const char *what)
{
	g_ptr_array_add(l->errors,
			g_strdup_printf("%s:%d: %s", l->path, l->line, what));
}

/*
 * Reader for inih that counts the lines, for error messages. inih would take
 * the rest of a long line for another line, and ignore what follows a NUL.
 */
static char *read_line(char *buf, int n, void *user)
{
	struct load *l = user;
	ssize_t len = getline(&l->text, &l->text_size, l->file);
	const char *first, *line = "\n";

	if (len < 0)
		return NULL;
	l->line++;
	l->bytes_read += (size_t)len;
	if (l->bytes_read > FILE_BYTES_MAX) {
		add_line_error(l, "the file is larger than 1 MB");
		return NULL;
	}
	if (l->errors->len - l->errors_before > ERRORS_MAX) {
		add_line_error(l, "too many errors; the rest is not read");
		return NULL;
	}
	first = l->text + strspn(l->text, " \t");
	if (memchr(l->text, '\0', (size_t)len))
		add_line_error(l, "a NUL byte is not allowed");
	else if (len < n)
		line = l->text;
	else if (*first != '#' && *first != ';')
		add_line_error(l, "the line is too long");
	g_strlcpy(buf, line, (gsize)n);
	return buf;
}

bool settings_load_table(const struct setting_table *t, const char *path,
			 void *out, GPtrArray *errors)
{
	struct load l = {.table = t,
			 .path = path,
			 .out = out,
			 .errors = errors,
			 .errors_before = errors->len};
	int bad_line;

	memset(out, 0, t->size);
	l.file = fopen(path, "r");
	if (!l.file) {
		g_ptr_array_add(errors, g_strdup_printf("%s: %s", path,
							g_strerror(errno)));
		return false;
	}
	l.given = g_new0(bool, t->count);
	bad_line = ini_parse_stream(read_line, &l, on_value, &l);
	fclose(l.file);
	free(l.text);
	if (bad_line > 0)
		g_ptr_array_add(errors,
				g_strdup_printf("%s:%d: not \"key = value\", "
						"a section or a comment",
						path, bad_line));
	for (size_t i = 0; i < t->count; i++) {
		const struct setting_info *d = &t->infos[i];

		if (l.given[i])
			continue;
		if (d->default_value)
			store_value(out, d, d->default_value);
		else
			add_error(&l, l.line, d->section, d->key,
				  "required but missing");
	}
	g_free(l.given);
	return errors->len == l.errors_before;
}

static bool is_string(enum setting_type t)
{
	return t == SETTING_STRING || t == SETTING_ENUM || t == SETTING_HASH;
}

void settings_clear_table(const struct setting_table *t, void *s)
{
	for (size_t i = 0; i < t->count; i++) {
		if (is_string(t->infos[i].type))
			g_clear_pointer((char **)field_at(s, &t->infos[i]),
					g_free);
	}
}

void settings_copy_numbers(const struct setting_table *t, const char *section,
			   void *to, const void *from)
{
	for (size_t i = 0; i < t->count; i++) {
		const struct setting_info *d = &t->infos[i];

		if (strcmp(d->section, section) != 0 || !is_number(d->type))
			continue;
		memcpy(field_at(to, d), (const char *)from + d->offset,
		       sizeof(int64_t));
	}
}

bool settings_load(const char *path, struct settings *out, GPtrArray *errors)
{
	return settings_load_table(&settings_table, path, out, errors);
}

void settings_clear(struct settings *s)
{
	settings_clear_table(&settings_table, s);
}
