/*
 * rampentry: the entry as a program. Reads the settings, creates the entry with
 * the platform's dialect and store, and serves until SIGTERM.
 */
#include <argtable2.h>
#include <fcntl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <unistd.h>

#include "platform/platform.h"

#define PROGRAM "rampentry"

struct args {
	struct arg_file *settings;
	struct arg_lit *check;
	struct arg_lit *help;
	struct arg_end *end;
};

static int usage(FILE *f, void **table)
{
	fprintf(f, "usage: " PROGRAM);
	arg_print_syntax(f, table, "\n");
	arg_print_glossary(f, table, "  %-20s %s\n");
	return f == stdout ? 0 : 2;
}

static bool load_settings(const char *path, struct entry_settings *s)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	bool ok = settings_load_table(&entry_settings_table, path, s, errors);
	struct sockaddr_in store_address;

	ok = ok && explain_check_settings(s, path, errors);
	for (guint i = 0; i < errors->len; i++)
		fprintf(stderr, PROGRAM ": %s\n",
			(char *)g_ptr_array_index(errors, i));
	g_ptr_array_unref(errors);
	if (ok && !parse_address(s->store_address, &store_address)) {
		fprintf(stderr,
			PROGRAM
			": %s: store.address is not of the form IP:PORT\n",
			path);
		ok = false;
	}
	return ok;
}

static int serve(const char *path, struct entry_settings *s)
{
	struct entry_options o = {s, path, &platform_dialect, &platform_store,
				  true};
	GError *err = NULL;
	struct entry *e;

	if (sodium_init() < 0) {
		fprintf(stderr, PROGRAM ": cannot initialise libsodium\n");
		return 1;
	}
	signal(SIGPIPE, SIG_IGN);
	/* A stalled reader of the log must not block the traffic thread. */
	(void)fcntl(STDOUT_FILENO, F_SETFL,
		    fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
	log_set_output(STDOUT_FILENO, s->log_lines);
	log_set_level(s->log_level);
	e = entry_new(&o, &err);
	if (!e) {
		log_event(EV_LISTEN_FAILED, "error=\"%s\"", err->message);
		g_error_free(err);
		return 1;
	}
	entry_serve(e);
	entry_free(e);
	return 0;
}

int main(int argc, char **argv)
{
	struct args a = {
		arg_file1("s", "settings", "FILE", "settings, an INI file"),
		arg_lit0("c", "check", "check the settings and exit"),
		arg_lit0("h", "help", "print this help"),
		arg_end(5),
	};
	void *table[] = {a.settings, a.check, a.help, a.end};
	struct entry_settings s = {0};
	int status = 2, bad;

	/*
	 * Until the control thread handles SIGHUP, the signal would end the
	 * process. It can be ignored: the settings to reload are being loaded.
	 */
	signal(SIGHUP, SIG_IGN);
	bad = arg_parse(argc, argv, table);

	if (a.help->count)
		return usage(stdout, table);
	if (bad) {
		arg_print_errors(stderr, a.end, PROGRAM);
		return usage(stderr, table);
	}
	if (load_settings(a.settings->filename[0], &s))
		status =
			a.check->count ? 0 : serve(a.settings->filename[0], &s);
	settings_clear_table(&entry_settings_table, &s);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
