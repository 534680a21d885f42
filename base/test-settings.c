/* Settings files: defaults, error messages with their lines, and reloads. */
#include <glib/gstdio.h>
#include <string.h>

#include "base/base.h"

#define VALID_SETTINGS                                                         \
	"[node]\nname = a\nzone = z1\nport = 8000\n"                           \
	"[platform]\ntable = http://127.0.0.1:1\n"

static bool load(const char *text, struct settings *s, GPtrArray *errors)
{
	char *path = NULL;
	int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);
	bool ok;

	g_close(fd, NULL);
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	ok = settings_load(path, s, errors);
	g_unlink(path);
	g_free(path);
	return ok;
}

static void test_defaults(void)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct settings s;

	g_assert_true(load(VALID_SETTINGS, &s, errors));
	g_assert_cmpstr(s.node_address, ==, "127.0.0.1");
	g_assert_cmpint(s.platform_poll_ms, ==, 1000);
	settings_clear(&s);
	g_ptr_array_unref(errors);
}

static void test_errors(void)
{
	static const struct {
		const char *text;
		const char *want[3]; /* parts that the errors contain */
	} cases[] = {
		{VALID_SETTINGS "[limits]\nbody = 12\n",
		 {":8: limits.body: ", "from 1024 to"}},
		{VALID_SETTINGS "[limits]\nbody = 9x\nbogus = 1\n",
		 {":8: limits.body: ", ":9: limits.bogus: unknown key"}},
		{"[node]\nname = a\n",
		 {"node.zone: required", "node.port: required",
		  "platform.table: required"}},
		{VALID_SETTINGS "[limits]\nbody = 2000\nbody = 2001\n",
		 {":9: limits.body: given twice"}},
		{VALID_SETTINGS "rubbish\n", {":7: not \"key = value\""}},
		{VALID_SETTINGS "[log]\nlevel = loud\n",
		 {":8: log.level: one of debug,info,warning,error"}},
		{VALID_SETTINGS "[admin]\nbootstrap_hash = abc\n",
		 {":8: admin.bootstrap_hash: 64 hexadecimal digits"}},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
		struct settings s;
		char *all;

		g_assert_false(load(cases[i].text, &s, errors));
		g_ptr_array_add(errors, NULL);
		all = g_strjoinv("\n", (char **)errors->pdata);
		for (int k = 0; k < 3 && cases[i].want[k]; k++)
			g_assert_nonnull(strstr(all, cases[i].want[k]));
		g_free(all);
		settings_clear(&s);
		g_ptr_array_unref(errors);
	}
}

/* Load bytes that are no settings file; return the errors, a line each. */
static char *errors_of(const char *p, size_t n)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	char *path = NULL, *all;
	int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);
	struct settings s;

	g_close(fd, NULL);
	g_assert_true(g_file_set_contents(path, p, (gssize)n, NULL));
	settings_load(path, &s, errors);
	settings_clear(&s);
	g_unlink(path);
	g_free(path);
	g_ptr_array_add(errors, NULL);
	all = g_strjoinv("\n", (char **)errors->pdata);
	g_ptr_array_unref(errors);
	return all;
}

/* The same with a filler between two texts. */
static char *errors_of_filled(const char *before, char filler, size_t n,
			      const char *after)
{
	GString *s = g_string_new(before);
	char *all;

	g_string_set_size(s, s->len + n);
	memset(s->str + s->len - n, filler, n);
	g_string_append(s, after);
	all = errors_of(s->str, s->len);
	g_string_free(s, TRUE);
	return all;
}

/*
 * The file of another program, or a damaged one, is taken for settings, or its
 * errors name a line that isn't there.
 */
static void test_odd_files(void)
{
	static const char with_nul[] = VALID_SETTINGS "[limits]\n"
						      "body = 2000\0x\n";
	char *all = errors_of(with_nul, sizeof(with_nul) - 1);

	g_assert_nonnull(strstr(all, ":8: a NUL byte is not allowed"));
	g_free(all);
	all = errors_of_filled(VALID_SETTINGS "[node]\nregion = ", 'x', 5000,
			       "\nbogus = 1\n");
	g_assert_nonnull(strstr(all, ":8: the line is too long"));
	g_assert_nonnull(strstr(all, ":9: node.bogus: unknown key"));
	g_free(all);
	/* inih would take the end of a long comment for a line of its own. */
	all = errors_of_filled(VALID_SETTINGS "# ", 'x', 5000, " y = 1\n");
	g_assert_cmpstr(all, ==, "");
	g_free(all);
	all = errors_of_filled(VALID_SETTINGS, '\n', 3 << 20, "");
	g_assert_nonnull(strstr(all, "the file is larger than 1 MB"));
	g_free(all);
	all = errors_of_filled(VALID_SETTINGS, '\0', 3 << 20, "");
	g_assert_nonnull(strstr(all, "the file is larger than 1 MB"));
	g_free(all);
	/* JSON can't have such a text. */
	all = errors_of_filled(VALID_SETTINGS "[node]\nregion = ", '\xff', 1,
			       "\n");
	g_assert_nonnull(strstr(all, ": a string in UTF-8 with a length"));
	g_free(all);
}

/* A large file of other contents gives an error for each of its lines. */
static void test_many_errors(void)
{
	GString *s = g_string_new(VALID_SETTINGS);
	char *all;

	for (int i = 0; i < 10000; i++)
		g_string_append(s, "x = 1\n");
	all = errors_of(s->str, s->len);
	g_assert_nonnull(strstr(all, "too many errors"));
	g_assert_cmpuint(strlen(all), <, 20000);
	g_free(all);
	g_string_free(s, TRUE);
}

/* Numbers that are none, or out of range, are taken for valid ones. */
static void test_odd_numbers(void)
{
	static const struct setting_info info = {
		"a", "x", SETTING_REAL, NULL, NULL, 1, 100, 0, ""};
	static const struct setting_table table = {&info, 1, sizeof(double)};
	static const char *const values[] = {
		"nan", "-nan", "inf", "-inf", "1e400",
		"0.5", "101",  "1x",  "1,5",  "99999999999999999999999",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
		char *text = g_strdup_printf("[a]\nx = %s\n", values[i]);
		char *path = NULL;
		int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);
		double x;

		g_close(fd, NULL);
		g_assert_true(g_file_set_contents(path, text, -1, NULL));
		g_test_message("%s", values[i]);
		g_assert_false(settings_load_table(&table, path, &x, errors));
		g_assert_cmpuint(errors->len, ==, 1);
		g_unlink(path);
		g_free(path);
		g_free(text);
		g_ptr_array_unref(errors);
	}
}

/* Only the numbers of the given section are copied. */
static void test_take_numbers(void)
{
	struct settings a = {0}, b = {0};

	for (size_t i = 0; i < settings_table.count; i++) {
		const struct setting_info *d = &settings_table.infos[i];
		char *at = (char *)&b + d->offset;

		if (d->type == SETTING_INT || d->type == SETTING_MS)
			*(int64_t *)at = (int64_t)i + 1;
	}
	settings_copy_numbers(&settings_table, "log", &a, &b);
	for (size_t i = 0; i < settings_table.count; i++) {
		const struct setting_info *d = &settings_table.infos[i];
		const char *at = (const char *)&a + d->offset;

		if (d->type != SETTING_INT && d->type != SETTING_MS)
			continue;
		g_assert_cmpint(*(const int64_t *)at, ==,
				strcmp(d->section, "log") ? 0 : (int64_t)i + 1);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/settings/defaults", test_defaults);
	g_test_add_func("/base/settings/errors", test_errors);
	g_test_add_func("/base/settings/odd-files", test_odd_files);
	g_test_add_func("/base/settings/many-errors", test_many_errors);
	g_test_add_func("/base/settings/odd-numbers", test_odd_numbers);
	g_test_add_func("/base/settings/take-numbers", test_take_numbers);
	return g_test_run();
}
