/*
 * Rows of the table and of the instance list that can't be decoded, or that no
 * node wrote so: one of them hides the others, stops the following of later
 * changes or ends the process. A filter before the platform stand-in puts into
 * its responses what JSON libraries can't store. The nodes are real processes.
 */
#include <curl/curl.h>
#include <string.h>
#include <sys/socket.h>

#include "node/test-raw-targets.h"

/* In a stored row this text stands for the odd one. */
#define ODD       "\"@odd@\""
#define FUZZ_SEED 20261205
#define FUZZ_ROWS 60
#define LONG_TEXT 300000

static struct rig *rig;
static int platform_port; /* of the stand-in */
static GMutex lock;
static char *odd; /* protected by the lock */
static int64_t revision;

static char *repeat(const char *text, int n)
{
	GString *s = g_string_new(NULL);

	for (int i = 0; i < n; i++)
		g_string_append(s, text);
	return g_string_free(s, FALSE);
}

/* Odd JSON texts; some are put together in odd_text. */
static const char *const odd_texts[] = {
	"1e400",
	"-1e400",
	"9007199254740993",
	"9223372036854775807",
	"9223372036854775808",
	"-9223372036854775809",
	"99999999999999999999999",
	"-1",
	"0.5",
	"1e308",
	"\"\xff\xfe\"",
	"\"\xc3\x28\"",
	"\"\\u0000\"",
	"\"\\ud800\"",
	"{\"a\":1,\"a\":2}",
	"{\"spec\":{\"kind\":\"model\",\"pool\":\"llm\"},\"spec\":7}",
	"{\"\xff\":1}",
	"null",
	"true",
	"[]",
	"{}",
	"\"\"",
	"[1e400]",
	"{\"spec\":1e400}",
	"{\"revision\":9223372036854775807}",
	"{\"revision\":-1}",
	"{\"revision\":1e400}",
	"deep-list",
	"deep-object",
	"long-text",
};

static char *odd_text(const char *text)
{
	char *open, *close, *all;

	if (!strcmp(text, "deep-list")) {
		open = repeat("[", 100000);
		close = repeat("]", 100000);
	} else if (!strcmp(text, "deep-object")) {
		open = repeat("{\"a\":", 3000);
		close = repeat("}", 3000);
		all = g_strconcat(open, "7", close, NULL);
		g_free(open);
		g_free(close);
		return all;
	} else if (!strcmp(text, "long-text")) {
		open = g_strnfill(LONG_TEXT, 'x');
		close = g_strdup("\"");
		all = g_strconcat(close, open, close, NULL);
		g_free(open);
		g_free(close);
		return all;
	} else {
		return g_strdup(text);
	}
	all = g_strconcat(open, close, NULL);
	g_free(open);
	g_free(close);
	return all;
}

static void set_odd(const char *text)
{
	g_mutex_lock(&lock);
	g_free(odd);
	odd = odd_text(text);
	g_mutex_unlock(&lock);
}

static char *with_odd(const char *body)
{
	char **parts = g_strsplit(body, ODD, -1);
	char *out;

	g_mutex_lock(&lock);
	out = g_strjoinv(odd, parts);
	g_mutex_unlock(&lock);
	g_strfreev(parts);
	return out;
}

/* Pass a call on to the stand-in, and put the odd text into its response. */
static bool filter(int fd, const char *request, int on_connection)
{
	char **line = g_strsplit(request, " ", 3);
	const char *body = strstr(request, "\r\n\r\n") + 4;
	struct reply r = call_local(platform_port, line[0], line[1], NULL,
				    *body ? body : NULL);
	char *changed = with_odd(r.body ? r.body : "");
	char *text = g_strdup_printf("HTTP/1.1 %d X\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
				     r.status ? r.status : 503, strlen(changed),
				     changed);

	(void)on_connection;
	raw_send(fd, text);
	g_free(text);
	g_free(changed);
	reply_clear(&r);
	g_strfreev(line);
	return true;
}

static void call_platform(const char *method, const char *path,
			  const char *body)
{
	struct reply r = call_local(platform_port, method, path, NULL, body);

	g_assert_cmpint(r.status, ==, 200);
	reply_clear(&r);
}

/* Where the odd text stands in a change. */
enum place {
	IN_FIELD, /* of the spec */
	IN_SPEC,  /* all of it */
	IN_AUDIT, /* the whole audit row */
	IN_AUDIT_REVISION,
	IN_RESOURCE, /* the whole row of the resource */
	IN_BOTH,     /* and the audit row */
	IN_HEAD,
	IN_STRAY_ROWS, /* that are of no resource and no change */
	PLACES
};

static const char *const place_names[PLACES] = {
	"field",    "spec", "audit", "audit-revision",
	"resource", "both", "head",  "stray-rows",
};

/* Commit a change; a NULL stands for what is written as it should be. */
static void commit_rows(const char *name, const char *spec, const char *row,
			const char *audit, const char *audit_revision,
			const char *more)
{
	int64_t n = ++revision;
	char *number = g_strdup_printf("%" G_GINT64_FORMAT, n);
	char *sound_row = g_strdup_printf(
		"{\"spec\":%s,\"generation\":1,\"revision\":%s}", spec, number);
	char *sound_audit = g_strdup_printf(
		"{\"id\":\"t\",\"revision\":%s,\"generation\":1,"
		"\"kind\":\"service\",\"name\":\"%s\",\"is\":%s}",
		audit_revision ? audit_revision : number, name, spec);
	char *txn = g_strdup_printf(
		"{\"id\":\"c%s\",\"puts\":["
		"{\"key\":\"res/service/%s\",\"value\":%s},"
		"{\"key\":\"chg/%020" G_GINT64_FORMAT "\",\"value\":%s},"
		"{\"key\":\"head/config\",\"value\":{\"revision\":%s}}%s]}",
		number, name, row ? row : sound_row, n,
		audit ? audit : sound_audit, number, more ? more : "");

	call_platform("POST", "/table/txn", txn);
	g_free(txn);
	g_free(sound_audit);
	g_free(sound_row);
	g_free(number);
}

static void commit_sound(const char *name, const char *pool)
{
	char *spec =
		g_strdup_printf("{\"kind\":\"model\",\"pool\":\"%s\"}", pool);

	commit_rows(name, spec, NULL, NULL, NULL, NULL);
	g_free(spec);
}

static void commit_odd(const char *name, enum place p)
{
	static const char sound[] = "{\"kind\":\"model\",\"pool\":\"llm\"}";
	/* Of two puts of a key the later one holds. */
	static const char odd_head[] =
		",{\"key\":\"head/config\",\"value\":" ODD "}";
	static const char stray[] =
		",{\"key\":\"chg/00000000000000000001x\",\"value\":" ODD "}"
		",{\"key\":\"chg/99999999999999999999\",\"value\":" ODD "}"
		",{\"key\":\"chg/00000000000999999999\",\"value\":" ODD "}"
		",{\"key\":\"chg/00000000000999999998\",\"value\":"
		"{\"revision\":999999998}}"
		",{\"key\":\"chg/z\",\"value\":{\"revision\":" ODD "}}"
		",{\"key\":\"res/\",\"value\":" ODD "}"
		",{\"key\":\"res/organisation/\",\"value\":" ODD "}"
		",{\"key\":\"res/zone/x\",\"value\":" ODD "}";

	switch (p) {
	case IN_FIELD:
		commit_rows(name,
			    "{\"kind\":\"model\",\"pool\":\"llm\","
			    "\"max_load_factor\":" ODD "}",
			    NULL, NULL, NULL, NULL);
		break;
	case IN_SPEC:
		commit_rows(name, ODD, NULL, NULL, NULL, NULL);
		break;
	case IN_AUDIT:
		commit_rows(name, sound, NULL, ODD, NULL, NULL);
		break;
	case IN_AUDIT_REVISION:
		commit_rows(name, sound, NULL, NULL, ODD, NULL);
		break;
	case IN_RESOURCE:
		commit_rows(name, sound, ODD, NULL, NULL, NULL);
		break;
	case IN_BOTH:
		commit_rows(name, sound, ODD, ODD, NULL, NULL);
		break;
	case IN_HEAD:
		commit_rows(name, sound, NULL, NULL, NULL, odd_head);
		break;
	case IN_STRAY_ROWS:
	case PLACES:
		commit_rows(name, sound, NULL, NULL, NULL, stray);
		break;
	}
}

static bool is_served(const struct proc *node, const char *service)
{
	static const char *const headers[] = {"Authorization: Bearer key-recif",
					      "Content-Type: application/json",
					      NULL};
	char *body = g_strdup_printf("{\"model\":\"%s\",\"max_tokens\":2,"
				     "\"messages\":[{\"role\":\"user\","
				     "\"content\":\"hi\"}]}",
				     service);
	struct reply r = call_local(node->port, "POST", "/v1/chat/completions",
				    headers, body);
	bool ok = r.status == 200;

	reply_clear(&r);
	g_free(body);
	return ok;
}

/* Both services come into force at all nodes. */
static void wait_served(const char *before, const char *after)
{
	for (unsigned i = 0; i < rig->node_count; i++) {
		if (!rig->nodes[i].pid)
			continue;
		WAIT_UNTIL(is_served(&rig->nodes[i], before));
		WAIT_UNTIL(is_served(&rig->nodes[i], after));
	}
}

/* Start a rig of two nodes; a third one starts later. */
static void start_rig(void)
{
	revision = 0;
	set_odd("null");
	rig = rig_new(2, 3, "");
	platform_port = rig->platform.port;
	rig->platform.port = raw_server_start(filter);
	rig_publish(rig);
	rig_start_node(rig, 0);
	rig_start_node(rig, 1);
}

static void stop_rig(void)
{
	rig->platform.port = platform_port;
	rig_free(rig);
	raw_targets_stop();
}

static void test_table(gconstpointer data)
{
	enum place p = (enum place)GPOINTER_TO_INT(data);

	start_rig();
	for (size_t i = 0; i < G_N_ELEMENTS(odd_texts); i++) {
		char *before = g_strdup_printf("a-before-%zu", i);
		char *name = g_strdup_printf("m-odd-%zu", i);
		char *after = g_strdup_printf("z-after-%zu", i);

		g_test_message("%s", odd_texts[i]);
		set_odd(odd_texts[i]);
		commit_sound(before, "llm");
		commit_odd(name, p);
		/* The odd change is the newest of all for some polls. */
		if (i % 2)
			g_usleep(200 * 1000);
		commit_sound(after, "llm");
		wait_served(before, after);
		/* A field that is sound is in force. */
		if (p == IN_AUDIT || p == IN_STRAY_ROWS)
			wait_served(name, name);
		g_free(after);
		g_free(name);
		g_free(before);
	}
	/* A node that reads all rows has the same. */
	set_odd("1e400");
	rig_start_node(rig, 2);
	wait_served("a-before-0", "z-after-0");
	stop_rig();
}

/* The list: an engine, the odd instance, the nodes and another engine. */
static void publish_around(const char *instance, const char *pool)
{
	char *list = g_strdup_printf(
		"[{\"name\":\"e1\",\"role\":\"engine\",\"pool\":\"llm\","
		"\"address\":\"127.0.0.1:%d\"},%s,"
		"{\"name\":\"n1\",\"role\":\"node\",\"zone\":\"a\","
		"\"address\":\"127.0.0.1:%d\"},"
		"{\"name\":\"n2\",\"role\":\"node\",\"zone\":\"a\","
		"\"address\":\"127.0.0.1:%d\"},"
		"{\"name\":\"e2\",\"role\":\"engine\",\"pool\":\"%s\","
		"\"address\":\"127.0.0.1:%d\"}]",
		rig->engines[0].port, instance, rig->nodes[0].port,
		rig->nodes[1].port, pool, rig->engines[1].port);

	call_platform("PUT", "/standin/instances", list);
	g_free(list);
}

/* Instances of which the odd text is a part. */
static const char *const odd_instances[] = {
	ODD,
	"{\"name\":" ODD ",\"role\":\"engine\",\"pool\":\"llm\","
	"\"address\":\"127.0.0.1:1\"}",
	"{\"name\":\"x\",\"role\":" ODD ",\"pool\":\"other\","
	"\"address\":\"127.0.0.1:1\"}",
	"{\"name\":\"x\",\"role\":\"engine\",\"pool\":" ODD ","
	"\"address\":\"127.0.0.1:1\"}",
	"{\"name\":\"x\",\"role\":\"engine\",\"pool\":\"llm\","
	"\"address\":" ODD "}",
	"{\"name\":\"x\",\"role\":\"node\",\"address\":" ODD "}",
	"{\"name\":" ODD ",\"role\":\"node\",\"zone\":" ODD ","
	"\"region\":" ODD ",\"address\":\"127.0.0.1:1\"}",
	"{\"name\":\"x\",\"role\":\"node\",\"address\":\"127.0.0.1:1\","
	"\"control\":" ODD "}",
};

/* What is listed before and behind an odd instance comes into force. */
static void test_instances(void)
{
	start_rig();
	for (size_t i = 0; i < G_N_ELEMENTS(odd_instances); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(odd_texts); k++) {
			char *name = g_strdup_printf("late-%zu-%zu", i, k);

			g_test_message("%s: %s", odd_instances[i],
				       odd_texts[k]);
			set_odd(odd_texts[k]);
			commit_sound(name, name);
			publish_around(odd_instances[i], name);
			wait_served("assistant", name);
			g_free(name);
		}
	}
	stop_rig();
}

/* Append a random value whose fields are those that readers look for. */
static void append_random(GString *s, GRand *rand, int levels)
{
	static const char *const fields[] = {
		"spec",    "revision", "generation", "kind",   "name",
		"is",      "pool",     "keys",       "weight", "targets",
		"service", "address",  "control",    "role",   "state",
		"zone",    "region",   "version",    "id",     "idempotent"};
	static const char *const leaves[] = {
		"\"llm\"", "\"model\"", "\"node\"", "\"service\"", "1", "7"};
	int n = g_rand_int_range(rand, 0, 6);
	bool list = g_rand_int_range(rand, 0, 4) == 0;
	char *text;

	if (!levels || !n) {
		if (g_rand_boolean(rand)) {
			g_string_append(
				s, leaves[g_rand_int_range(
					   rand, 0, G_N_ELEMENTS(leaves))]);
			return;
		}
		text = odd_text(odd_texts[g_rand_int_range(
			rand, 0, G_N_ELEMENTS(odd_texts))]);
		g_string_append(s, text);
		g_free(text);
		return;
	}
	g_string_append_c(s, list ? '[' : '{');
	for (int i = 0; i < n; i++) {
		if (i)
			g_string_append_c(s, ',');
		if (!list)
			g_string_append_printf(
				s, "\"%s\":",
				fields[g_rand_int_range(rand, 0,
							G_N_ELEMENTS(fields))]);
		append_random(s, rand, levels - 1);
	}
	g_string_append_c(s, list ? ']' : '}');
}

/* Random values in every place: sound rows around them come into force. */
static void test_fuzz(void)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);

	start_rig();
	for (int i = 0; i < FUZZ_ROWS; i++) {
		GString *value = g_string_new(NULL);
		char *before = g_strdup_printf("a-before-%d", i);
		char *name = g_strdup_printf("m-odd-%d", i);
		char *after = g_strdup_printf("z-after-%d", i);

		append_random(value, rand, 3);
		g_test_message("row %d: %.200s", i, value->str);
		set_odd(value->str);
		commit_sound(before, "llm");
		commit_odd(name, (enum place)g_rand_int_range(rand, 0, PLACES));
		commit_sound(after, after);
		publish_around(odd_instances[g_rand_int_range(
				       rand, 0, G_N_ELEMENTS(odd_instances))],
			       after);
		wait_served(before, after);
		g_string_free(value, TRUE);
		g_free(after);
		g_free(name);
		g_free(before);
	}
	stop_rig();
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	for (int p = 0; p < PLACES; p++) {
		char *path =
			g_strconcat("/odd-rows/table/", place_names[p], NULL);

		g_test_add_data_func(path, GINT_TO_POINTER(p), test_table);
		g_free(path);
	}
	g_test_add_func("/odd-rows/instances", test_instances);
	g_test_add_func("/odd-rows/fuzz", test_fuzz);
	return g_test_run();
}
