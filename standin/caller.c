/*
 * A chat client that checks its answers. It fetches the addresses of the
 * entries (the nodes that accept requests), sends the chats of a file turn by
 * turn and compares each answer with the one that the stand-in engines must
 * give. It counts the answers that were lost, doubled, crossed or cut, and
 * succeeds only if there were none.
 */
#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "standin/standin.h"

#define ATTEMPTS_MAX       40
#define RETRY_DELAY_US     (100 * 1000)
#define ANSWER_TIMEOUT_MS  30000
#define STALL_TIMEOUT_MS   5000
#define CONNECT_TIMEOUT_MS 1000
#define ENTRIES_MAX        64
#define WORKERS            32

/* The entries by the latest list; shared by all workers. */
struct entries {
	GMutex lock;
	char *address[ENTRIES_MAX]; /* in the order of preference */
	int n;
	int64_t valid_until_ms;
	char **seeds; /* addresses from the command line */
	int seed_count;
};

/*
 * Requests by result. A request is lost when no word of its answer arrived and
 * cut when only a part did; doubled and crossed answers are counted as well.
 */
struct totals {
	GMutex lock;
	int64_t asked, answered, lost, doubled, crossed, cut;
};

/* A line of the chats file. */
struct chat {
	char *organisation, *name, *service;
	json_t *turns;
	struct entries *entries;
	struct totals *totals;
};

/* One answer, as far as it has arrived. */
struct answer {
	const char *prompt;
	GString *text;
	int64_t words;       /* number of words, all of them as expected */
	char *last_event_id; /* of the latest event, or NULL */
	bool complete;       /* [DONE] has arrived */
	bool not_resumable;  /* no entry can resume it: start over */
	bool failed;         /* the connection or the run failed */
	bool crossed;        /* has a word of another answer */
	bool doubled;        /* an event arrived twice */
	char *resume_id;     /* identity for resuming at any entry, or NULL */
};

static void update_entries(struct entries *e, const json_t *j)
{
	const json_t *list = json_object_get(j, "entries");
	size_t i;
	json_t *item;

	g_mutex_lock(&e->lock);
	for (int k = 0; k < e->n; k++)
		g_free(e->address[k]);
	e->n = 0;
	json_array_foreach (list, i, item) {
		if (e->n < ENTRIES_MAX)
			e->address[e->n++] = g_strdup(json_string_value(
				json_object_get(item, "address")));
	}
	e->valid_until_ms =
		json_integer_value(json_object_get(j, "valid_until_ms"));
	g_mutex_unlock(&e->lock);
}

/* GET JSON; the result belongs to the caller and is NULL on failure. */
static json_t *get_json(const char *url)
{
	struct http_request q = {.method = "GET",
				 .url = url,
				 .connect_timeout_ms = CONNECT_TIMEOUT_MS};
	struct http_call *call = http_call_open(&q);
	int64_t until_ms = time_mono_ms() + STALL_TIMEOUT_MS;
	json_t *j = NULL;

	while (!j && http_call_wait_more(call, until_ms) == HTTP_CALL_DATA)
		j = json_loadb((char *)http_call_unread(call)->data,
			       http_call_unread(call)->len, 0, NULL);
	http_call_close(call);
	return j;
}

/* Get the list from the first known entry or seed that responds. */
static void refresh_entries(struct entries *e)
{
	for (int i = 0; i < e->n + e->seed_count; i++) {
		const char *address =
			i < e->n ? e->address[i] : e->seeds[i - e->n];
		char *url = g_strdup_printf("http://%s/v1/entries", address);
		json_t *j = get_json(url);

		g_free(url);
		if (!j)
			continue;
		update_entries(e, j);
		json_decref(j);
		return;
	}
}

/*
 * Return the address of entry i in the order of preference, modulo their
 * number. Free with g_free.
 */
static char *pick_entry(struct entries *e, int i)
{
	char *address = NULL;

	if (time_now_ms() >= e->valid_until_ms || !e->n)
		refresh_entries(e);
	g_mutex_lock(&e->lock);
	if (e->n)
		address = g_strdup(e->address[i % e->n]);
	g_mutex_unlock(&e->lock);
	return address ? address : g_strdup(e->seeds[i % e->seed_count]);
}

/* Append a word to the answer if it is the expected one. */
static void check_word(struct answer *a, const char *s)
{
	char expected[32];

	answer_word(a->prompt, a->words, expected, sizeof(expected));
	if (strcmp(s, expected)) {
		a->crossed = true;
		return;
	}
	g_string_append(a->text, s);
	a->words++;
}

/*
 * Note the id of an event, "IDENTITY:NUMBER". Each word is one event, numbered
 * from 0, so a number below the count of words has arrived before.
 */
static void record_event_id(struct answer *a, struct str id)
{
	const char *colon = memrchr(id.data, ':', id.len);
	int64_t n = colon ? g_ascii_strtoll(colon + 1, NULL, 10) : -1;

	if (n >= 0 && n < a->words)
		a->doubled = true;
	g_free(a->last_event_id);
	a->last_event_id = g_strndup(id.data, id.len);
}

static void process_event(struct answer *a, const struct sse_event *e)
{
	const json_t *choice, *error;
	const char *s;
	json_t *j;

	if (str_eq(e->data, STR_LIT("[DONE]"))) {
		a->complete = true;
		return;
	}
	if (e->id.len)
		record_event_id(a, e->id);
	j = json_loadb(e->data.data, e->data.len, 0, NULL);
	choice = json_array_get(json_object_get(j, "choices"), 0);
	error = json_object_get(j, "error");
	s = json_string_value(
		json_object_get(json_object_get(choice, "delta"), "content"));
	if (error)
		a->failed = true;
	else if (s)
		check_word(a, s);
	json_decref(j);
}

/*
 * Read the comment ": resume IDENTITY", sent when the request was run again on
 * another engine.
 */
static void read_resume_id(struct answer *a, const struct sse_event *e)
{
	size_t n = strlen("resume ");

	if (e->comment.len <= n || memcmp(e->comment.data, "resume ", n))
		return;
	g_free(a->resume_id);
	a->resume_id = g_strndup(e->comment.data + n, e->comment.len - n);
}

/* Process the complete events among the unread bytes. */
static void read_events(struct answer *a, struct http_call *call)
{
	GByteArray *b = http_call_unread(call);
	struct sse_event e;
	size_t consumed;

	while (!a->complete && !a->failed) {
		consumed = sse_next((char *)b->data, b->len, &e);
		read_resume_id(a, &e);
		if (!consumed)
			return;
		process_event(a, &e);
		g_byte_array_remove_range(b, 0, (guint)consumed);
	}
}

/*
 * Read a status other than 200. After 503 or 504 another entry may still be
 * able to resume the answer; after any other status none can.
 */
static void read_error_status(struct answer *a, const struct http_call *call)
{
	int status = http_call_status(call);

	a->failed = true;
	a->not_resumable = a->resume_id && status != 503 && status != 504;
}

/* Read the response until the answer ends, stalls or proves wrong. */
static void read_answer(struct answer *a, struct http_call *call)
{
	int64_t until_ms = time_mono_ms() + ANSWER_TIMEOUT_MS;

	http_call_wait_headers(call, until_ms);
	if (http_call_status(call) != 200) {
		read_error_status(a, call);
		return;
	}
	if (!a->resume_id && http_call_header(call, "Ramp-Resume"))
		a->resume_id = g_strdup(http_call_header(call, "Ramp-Resume"));
	read_events(a, call);
	while (!a->complete && !a->failed && !a->crossed) {
		int64_t wait_until_ms =
			MIN(until_ms, time_mono_ms() + STALL_TIMEOUT_MS);

		if (http_call_wait_more(call, wait_until_ms) != HTTP_CALL_DATA)
			break;
		read_events(a, call);
	}
	a->failed = !a->complete;
}

static char *chat_body(const struct chat *c, json_t *messages)
{
	json_t *j = json_pack("{s:s,s:b,s:O}", "model", c->service, "stream", 1,
			      "messages", messages);
	char *s = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	return s;
}

/* Send the chat, or resume its answer if that is possible; read the answer. */
static void send_request(const struct chat *c, const char *entry,
			 const char *body, struct answer *a)
{
	char *url = a->resume_id
			    ? g_strdup_printf("http://%s/v1/streams/%s", entry,
					      a->resume_id)
			    : g_strdup_printf("http://%s/v1/chat/completions",
					      entry);
	char *auth_header = g_strdup_printf("Authorization: Bearer key-%s",
					    c->organisation);
	char *chat_header = g_strdup_printf("Ramp-Chat: %s", c->name);
	char *last_event_header = g_strdup_printf(
		"Last-Event-ID: %s", a->last_event_id ? a->last_event_id : "");
	const char *headers[] = {auth_header, chat_header,
				 "Content-Type: application/json",
				 last_event_header, NULL};
	struct http_request q = {.method = a->resume_id ? "GET" : "POST",
				 .url = url,
				 .headers = headers,
				 .body = a->resume_id ? str_c(NULL)
						      : str_c(body),
				 .connect_timeout_ms = CONNECT_TIMEOUT_MS};
	struct http_call *call;

	if (!a->last_event_id || !a->resume_id)
		headers[3] = NULL;
	call = http_call_open(&q);
	read_answer(a, call);
	http_call_close(call);
	g_free(url);
	g_free(auth_header);
	g_free(chat_header);
	g_free(last_event_header);
}

static void count(struct totals *t, const struct answer *a)
{
	g_mutex_lock(&t->lock);
	t->asked++;
	if (a->complete)
		t->answered++;
	else if (a->words)
		t->cut++;
	else
		t->lost++;
	if (a->crossed)
		t->crossed++;
	if (a->doubled)
		t->doubled++;
	g_mutex_unlock(&t->lock);
}

/* Drop the part of an answer that can't be resumed. */
static void reset_answer(struct answer *a)
{
	a->words = 0;
	a->not_resumable = false;
	g_string_truncate(a->text, 0);
	g_clear_pointer(&a->resume_id, g_free);
	g_clear_pointer(&a->last_event_id, g_free);
}

/*
 * Request the answer until it is complete, at most ATTEMPTS_MAX times. If
 * broken, it is resumed through the next entry; the request is sent again only
 * when no entry can resume the answer. Return the text; free with g_free.
 */
static char *request_until_complete(const struct chat *c, json_t *messages)
{
	char *prompt = prompt_text(messages);
	char *body = chat_body(c, messages);
	struct answer a = {.prompt = prompt, .text = g_string_new(NULL)};

	for (int i = 0; i < ATTEMPTS_MAX && !a.complete && !a.crossed; i++) {
		char *entry = pick_entry(c->entries, i);

		if (i)
			g_usleep(RETRY_DELAY_US);
		if (a.not_resumable || !a.resume_id)
			reset_answer(&a);
		a.failed = false;
		send_request(c, entry, body, &a);
		g_free(entry);
	}
	count(c->totals, &a);
	free(body);
	g_free(prompt);
	g_free(a.resume_id);
	g_free(a.last_event_id);
	return g_string_free(a.text, FALSE);
}

/* Send all turns of a chat, each with the answers before it. */
static void run_chat(void *data, void *unused)
{
	struct chat *c = data;
	json_t *messages = json_array();
	size_t i;
	json_t *turn;

	(void)unused;
	json_array_foreach (c->turns, i, turn) {
		char *text;

		json_array_append_new(messages,
				      json_pack("{s:s,s:O}", "role", "user",
						"content", turn));
		text = request_until_complete(c, messages);
		json_array_append_new(messages,
				      json_pack("{s:s,s:s}", "role",
						"assistant", "content", text));
		g_free(text);
	}
	json_decref(messages);
}

/* Return NULL when the line is not a valid chat. */
static struct chat *parse_chat(const char *line)
{
	json_t *j = json_loads(line, 0, NULL);
	const char *org, *name, *service;
	struct chat *c = NULL;
	json_t *turns;

	if (!json_unpack(j, "{s:s,s:s,s:s,s:o}", "organisation", &org, "chat",
			 &name, "service", &service, "turns", &turns)) {
		c = g_new0(struct chat, 1);
		c->organisation = g_strdup(org);
		c->name = g_strdup(name);
		c->service = g_strdup(service);
		c->turns = json_incref(turns);
	}
	json_decref(j);
	return c;
}

/* Run all chats of the file, WORKERS at once, and wait for their end. */
static bool run_file(const char *path, struct entries *e, struct totals *t)
{
	GThreadPool *pool =
		g_thread_pool_new(run_chat, NULL, WORKERS, FALSE, NULL);
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		fprintf(stderr, "%s: cannot read the file\n", path);
		return false;
	}
	lines = g_strsplit(text, "\n", -1);
	g_free(text);
	for (int i = 0; lines[i]; i++) {
		struct chat *c;

		if (!*lines[i])
			continue;
		c = parse_chat(lines[i]);
		if (!c) {
			fprintf(stderr, "%s:%d: not a valid chat\n", path,
				i + 1);
			return false;
		}
		c->entries = e;
		c->totals = t;
		g_thread_pool_push(pool, c, NULL);
	}
	g_strfreev(lines);
	g_thread_pool_free(pool, FALSE, TRUE);
	return true;
}

/*
 * Count as doubled each request that an engine ran more than once or that
 * several engines ran, and as lost each engine that does not respond.
 */
static void count_double_runs(const struct arg_str *engines, struct totals *t)
{
	GHashTable *seen_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (int i = 0; i < engines->count; i++) {
		char *url = g_strdup_printf("http://%s/standin/runs",
					    engines->sval[i]);
		json_t *runs = get_json(url);
		const char *id;
		json_t *n;

		json_object_foreach (runs, id, n) {
			if (json_integer_value(n) > 1 ||
			    !g_hash_table_add(seen_ids, g_strdup(id)))
				t->doubled++;
		}
		if (!runs)
			t->lost++;
		json_decref(runs);
		g_free(url);
	}
	g_hash_table_unref(seen_ids);
}

int main(int argc, char **argv)
{
	struct arg_str *entries = arg_strn("e", "entry", "IP:PORT", 1, 64,
					   "address of an entry to start with");
	struct arg_str *engines =
		arg_strn("g", "engine", "IP:PORT", 0, 64,
			 "engine whose run counts are checked");
	struct arg_file *until = arg_file0(
		NULL, "until", "FILE", "repeat the chats until FILE exists");
	struct arg_file *chats = arg_file1(
		NULL, NULL, "CHATS", "chats to send, a JSON object a line");
	struct arg_end *end = arg_end(4);
	void *table[] = {entries, engines, until, chats, end};
	struct entries e = {0};
	struct totals t = {0};

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	block_stop_signals();
	curl_global_init(CURL_GLOBAL_ALL);
	e.seeds = (char **)entries->sval;
	e.seed_count = entries->count;
	do {
		if (!run_file(chats->filename[0], &e, &t))
			return 2;
	} while (until->count && access(until->filename[0], F_OK));
	count_double_runs(engines, &t);
	printf("asked=%" G_GINT64_FORMAT " answered=%" G_GINT64_FORMAT
	       " lost=%" G_GINT64_FORMAT " doubled=%" G_GINT64_FORMAT
	       " crossed=%" G_GINT64_FORMAT " cut=%" G_GINT64_FORMAT "\n",
	       t.asked, t.answered, t.lost, t.doubled, t.crossed, t.cut);
	return t.asked == t.answered && !t.lost && !t.doubled && !t.crossed &&
			       !t.cut
		       ? 0
		       : 1;
}
