/*
 * The source of a target's state: whether this node read it from the store or
 * another node told of it, at which revision of its row and when, in the list
 * of targets and in the log. Without it the log can't say why a request went to
 * a target that was leaving.
 */
#include <arpa/inet.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "entry/store-clients.h"
#include "entry/target-changes.h"

#define RELAY 0xabcU
#define KEY   "i-1"

/* The only row of the store. */
static struct {
	bool present, draining;
	int64_t revision;
} row;

static int64_t store_revision;

static json_t *fake_value(const struct store_page *p, size_t i)
{
	(void)p;
	(void)i;
	return json_null();
}

static bool fake_target(void *arena, const char *key, const json_t *value,
			struct target_info *out)
{
	(void)value;
	*out = (struct target_info){
		.id = 7,
		.name = str_dup(arena, str_c(key)),
		.service = str_dup(arena, STR_LIT("pool")),
		.zone = str_dup(arena, STR_LIT("a")),
		.version = str_dup(arena, STR_LIT("v1")),
		.address = {.sin_port = htons(80)},
		.draining = row.draining,
	};
	return true;
}

static const struct store_api fake_api = {.value = fake_value,
					  .target = fake_target};

static void write_row(bool present, bool draining)
{
	row.present = present;
	row.draining = draining;
	row.revision = ++store_revision;
}

static void read_store(struct target_table *t, int64_t now_ms)
{
	struct store_row r = {KEY, row.revision, false, NULL};
	struct store_page p = {
		.rows = &r, .n = row.present, .revision = store_revision};

	target_table_begin_read(t);
	if (row.present)
		target_table_apply_row(t, &fake_api, &p, 0, now_ms);
	target_table_end_page(t, &p);
	target_table_finish_read(t, true, now_ms);
}

/* Let a table learn all that another one, of the node RELAY, knows. */
static void tell(struct target_table *to, const struct target_table *from,
		 int64_t now_ms)
{
	struct target_update updates[TARGET_UPDATES_MAX];
	struct store_query q = {
		.targets_hash = target_table_hash(to),
		.targets_revision = target_table_revision(to),
		.after_key = (char *)"",
	};
	struct store_query_answer a = {
		.targets_hash = target_table_hash(from),
		.targets_revision = target_table_revision(from),
		.updates = {0, updates},
	};

	target_table_updates(from, &q, &a);
	target_table_set_sender(to, RELAY);
	target_table_apply_updates(to, &a, now_ms);
}

static void check_source(struct target_table *t, int64_t revision,
			 int64_t noticed_ms, uint64_t node)
{
	struct target_list *l = target_table_list(t);

	g_assert_cmpuint(l->n, ==, 1);
	g_assert_cmpint(l->v[0].source.revision, ==, revision);
	g_assert_cmpint(l->v[0].source.noticed_ms, ==, noticed_ms);
	g_assert_cmpuint(l->v[0].source.node, ==, node);
	target_list_unref(l);
}

/* Write the log to a file; return its descriptor. */
static int capture_log(void)
{
	char *path;
	int fd = g_file_open_tmp("provenance-XXXXXX", &path, NULL);

	g_assert_cmpint(fd, >=, 0);
	unlink(path);
	g_free(path);
	log_set_level("info");
	log_set_output(fd, 0);
	return fd;
}

/* Return the text that was logged, and log to standard error again. */
static char *end_capture(int fd)
{
	off_t n = lseek(fd, 0, SEEK_END);
	char *text = g_malloc0((gsize)n + 1);

	log_set_level("error");
	log_set_output(STDERR_FILENO, 0);
	g_assert_cmpint(pread(fd, text, (size_t)n, 0), ==, n);
	close(fd);
	return text;
}

/* Check that the changes are logged as one line that contains the text. */
static void check_logged(struct target_table *t, const char *want)
{
	int fd = capture_log();
	char *text;

	target_table_log_changes(t, 250);
	text = end_capture(fd);
	g_assert_nonnull(strstr(text, " target_states "));
	if (!strstr(text, want))
		g_error("no \"%s\" in: %s", want, text);
	g_assert_true(strchr(text, '\n') == strrchr(text, '\n'));
	g_free(text);
}

static void check_nothing_logged(struct target_table *t)
{
	int fd = capture_log();
	char *text;

	target_table_log_changes(t, 250);
	text = end_capture(fd);
	g_assert_cmpstr(text, ==, "");
	g_free(text);
}

static void reset_store(void)
{
	store_revision = 100;
	write_row(true, false);
}

/* A heartbeat looks like a change of the target's state. */
static void test_own_read(void)
{
	struct target_table *t = target_table_new();

	reset_store();
	read_store(t, 1000);
	check_source(t, 101, 1000, 0);
	check_logged(t, "state=added source=store store_revision=101 "
			"list_age_ms=250 left_out=0 targets=i-1:101\n");
	write_row(true, false);
	read_store(t, 2000);
	check_source(t, 101, 1000, 0);
	check_nothing_logged(t);
	write_row(true, true);
	store_revision = 110;
	read_store(t, 3000);
	check_source(t, 103, 3000, 0);
	check_logged(t, "state=draining source=store store_revision=110 "
			"list_age_ms=250 left_out=0 targets=i-1:103\n");
	target_table_free(t);
}

/* A state that another node told of counts as read from the store here. */
static void test_told(void)
{
	struct target_table *relay = target_table_new();
	struct target_table *t = target_table_new();

	reset_store();
	read_store(relay, 1000);
	read_store(t, 1100);
	target_table_log_changes(t, 0);
	write_row(true, true);
	read_store(relay, 2000);
	tell(t, relay, 2500);
	check_source(relay, 102, 2000, 0);
	check_source(t, 102, 2500, RELAY);
	check_logged(t, "state=draining source=abc store_revision=102 "
			"list_age_ms=250 left_out=0 targets=i-1:102\n");
	/* The own read that follows shows nothing new. */
	read_store(t, 3000);
	check_source(t, 102, 2500, RELAY);
	check_nothing_logged(t);
	write_row(true, false);
	read_store(t, 4000);
	check_source(t, 103, 4000, 0);
	check_logged(t, "state=ready source=store store_revision=103 "
			"list_age_ms=250 left_out=0 targets=i-1:103\n");
	target_table_free(relay);
	target_table_free(t);
}

/* A node that repeats what was read here before takes the place of the store.
 */
static void test_read_then_told(void)
{
	struct target_table *relay = target_table_new();
	struct target_table *t = target_table_new();

	reset_store();
	read_store(t, 1000);
	write_row(true, true);
	read_store(t, 2000);
	target_table_log_changes(t, 0);
	store_revision++; /* the relay notices it later than this node */
	read_store(relay, 2100);
	tell(t, relay, 2500);
	check_source(t, 102, 2000, 0);
	check_nothing_logged(t);
	target_table_free(relay);
	target_table_free(t);
}

/* A removal leaves no line, or one without its way to this node. */
static void test_removed(void)
{
	struct target_table *relay = target_table_new();
	struct target_table *t = target_table_new();

	reset_store();
	read_store(relay, 1000);
	read_store(t, 1000);
	target_table_log_changes(relay, 0);
	target_table_log_changes(t, 0);
	row.present = false;
	store_revision = 120;
	read_store(relay, 2000);
	tell(t, relay, 2500);
	check_logged(relay, "state=removed source=store store_revision=120 "
			    "list_age_ms=250 left_out=0 targets=i-1:120\n");
	check_logged(t, "state=removed source=abc store_revision=120 "
			"list_age_ms=250 left_out=0 targets=i-1:120\n");
	write_row(true, false);
	read_store(t, 3000);
	check_source(t, 121, 3000, 0);
	check_logged(t, "state=added source=store store_revision=121 "
			"list_age_ms=250 left_out=0 targets=i-1:121\n");
	target_table_free(relay);
	target_table_free(t);
}

/*
 * Another node tells of an older row, which is not used: the log does not show
 * that the two nodes disagree.
 */
static void test_ignored(void)
{
	struct target_update update = {
		.key = (char *)KEY,
		.revision = 101,
		.noticed = 104,
		.id = 7,
		.service = (char *)"pool",
		.zone = (char *)"a",
		.software_version = (char *)"v1",
		.port = 80,
	};
	struct store_query_answer a = {.updates = {1, &update}};
	struct target_table *t = target_table_new();

	reset_store();
	write_row(true, true);
	read_store(t, 1000);
	target_table_log_changes(t, 0);
	target_table_set_sender(t, RELAY);
	target_table_apply_updates(t, &a, 2000);
	check_source(t, 102, 1000, 0);
	check_logged(t, "state=ignored_ready source=abc store_revision=104 "
			"list_age_ms=250 left_out=0 targets=i-1:101:102\n");
	/* An older row of the same state is no disagreement. */
	update.draining = true;
	target_table_apply_updates(t, &a, 3000);
	check_nothing_logged(t);
	target_table_free(t);
}

/* Add changes of targets with names of a length; log them. */
static char *log_many(int n, int name_bytes)
{
	struct target_changes *c = target_changes_new();
	int fd = capture_log();

	for (int i = 0; i < n; i++) {
		char *key = g_strdup_printf("i-%0*d", name_bytes - 2, i);

		target_changes_add(c, &(struct target_change){
					      .key = key,
					      .state = TARGET_DRAINING,
					      .source = {1000000 + i, 0, 0},
					      .noticed = 1000000,
				      });
		g_free(key);
	}
	target_changes_log(c, 250);
	target_changes_free(c);
	return end_capture(fd);
}

static int count(const char *text, const char *what)
{
	int n = 0;

	for (; (text = strstr(text, what)); text++)
		n++;
	return n;
}

static int64_t sum_left_out(const char *text)
{
	static const char field[] = "left_out=";
	int64_t sum = 0;

	while ((text = strstr(text, field))) {
		text += sizeof(field) - 1;
		sum += g_ascii_strtoll(text, NULL, 10);
	}
	return sum;
}

/*
 * Many targets change at once, and a line for each displaces those of requests;
 * or some are left out and no line says so.
 */
static void test_many(void)
{
	char *text = log_many(600, 10);

	g_assert_cmpint(count(text, "i-"), ==, 600);
	g_assert_cmpint(count(text, "\n"), <=, 16);
	g_assert_cmpint(count(text, " left_out=0 "), ==, count(text, "\n"));
	g_free(text);
	text = log_many(5000, 40);
	g_assert_cmpint(count(text, "\n"), ==, 20);
	g_assert_cmpint(count(text, "i-") + sum_left_out(text), ==, 5000);
	g_free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_set_level("error");
	g_test_add_func("/entry/provenance/own-read", test_own_read);
	g_test_add_func("/entry/provenance/told", test_told);
	g_test_add_func("/entry/provenance/read-then-told",
			test_read_then_told);
	g_test_add_func("/entry/provenance/removed", test_removed);
	g_test_add_func("/entry/provenance/ignored", test_ignored);
	g_test_add_func("/entry/provenance/many", test_many);
	return g_test_run();
}
