/*
 * A caller that checks its answers: it asks for the entries, sends the chats
 * of a file turn by turn, compares every answer with the one that the stand-in
 * engines must give, and counts what was lost, doubled, crossed or cut.
 */
#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "standin/standin.h"

#define TRIES_MAX    40
#define TRY_PAUSE_US (100 * 1000)
#define ANSWER_MS    30000
#define SILENCE_MS   5000
#define CONNECT_MS   1000
#define ENTRIES_MAX  64
#define WORKERS      32

/* The entries last heard of; shared by all workers. */
struct entries {
	GMutex lock;
	char *address[ENTRIES_MAX];
	int n;
	int64_t valid_until_ms;
	char **seeds; /* addresses known from the start */
	int seed_count;
};

struct totals {
	GMutex lock;
	int64_t asked, answered, lost, doubled, crossed, cut;
};

struct chat {
	char *organisation, *name, *service;
	json_t *turns;
	struct entries *entries;
	struct totals *totals;
};

/* One answer as it arrives. */
struct answer {
	const char *prompt;
	GString *text;
	int64_t words; /* right words so far */
	char *last_id; /* of the last event */
	bool done;     /* [DONE] came */
	bool gone;     /* it can't be resumed: must be asked anew */
	bool broken;   /* the connection ended early */
	bool crossed;  /* a word of another answer */
	bool doubled;  /* an event came twice */
	char *resume;  /* identity to go on with at another entry */
};

static void read_entries(struct entries *e, const json_t *j)
{
	const json_t *list = json_object_get(j, "entries");
	size_t i;
	json_t *x;

	g_mutex_lock(&e->lock);
	for (int k = 0; k < e->n; k++)
		g_free(e->address[k]);
	e->n = 0;
	json_array_foreach (list, i, x) {
		if (e->n < ENTRIES_MAX)
			e->address[e->n++] = g_strdup(json_string_value(
				json_object_get(x, "address")));
	}
	e->valid_until_ms =
		json_integer_value(json_object_get(j, "valid_until_ms"));
	g_mutex_unlock(&e->lock);
}

/* GET url; the caller owns the JSON, NULL when there is none. */
static json_t *get_json(const char *url)
{
	struct pull_request q = {
		.method = "GET", .url = url, .connect_ms = CONNECT_MS};
	struct pull *p = pull_open(&q);
	int64_t until = time_mono_ms() + SILENCE_MS;
	json_t *j = NULL;

	while (!j && pull_wait_more(p, until) == PULL_DATA)
		j = json_loadb((char *)pull_bytes(p)->data, pull_bytes(p)->len,
			       0, NULL);
	pull_close(p);
	return j;
}

static void ask_entries(struct entries *e)
{
	for (int i = 0; i < e->n + e->seed_count; i++) {
		const char *a = i < e->n ? e->address[i] : e->seeds[i - e->n];
		char *url = g_strdup_printf("http://%s/v1/entries", a);
		json_t *j = get_json(url);

		g_free(url);
		if (!j)
			continue;
		read_entries(e, j);
		json_decref(j);
		return;
	}
}

/* Entry number i in order of preference. Free with g_free. */
static char *pick_entry(struct entries *e, int i)
{
	char *a = NULL;

	if (time_now_ms() >= e->valid_until_ms || !e->n)
		ask_entries(e);
	g_mutex_lock(&e->lock);
	if (e->n)
		a = g_strdup(e->address[i % e->n]);
	g_mutex_unlock(&e->lock);
	return a ? a : g_strdup(e->seeds[i % e->seed_count]);
}

static void check_word(struct answer *a, const char *s)
{
	char want[32];

	answer_word(a->prompt, a->words, want, sizeof(want));
	if (strcmp(s, want)) {
		a->crossed = true;
		return;
	}
	g_string_append(a->text, s);
	a->words++;
}

/* Events are numbered from 0, one a word; the last one has no word. */
static void check_id(struct answer *a, struct str id)
{
	const char *colon = memrchr(id.data, ':', id.len);
	int64_t n = colon ? g_ascii_strtoll(colon + 1, NULL, 10) : -1;

	if (n >= 0 && n < a->words)
		a->doubled = true;
	g_free(a->last_id);
	a->last_id = g_strndup(id.data, id.len);
}

static void read_event(struct answer *a, const struct sse_event *e)
{
	const json_t *choice, *error;
	const char *s;
	json_t *j;

	if (str_eq(e->data, STR_LIT("[DONE]"))) {
		a->done = true;
		return;
	}
	if (e->id.len)
		check_id(a, e->id);
	j = json_loadb(e->data.data, e->data.len, 0, NULL);
	choice = json_array_get(json_object_get(j, "choices"), 0);
	error = json_object_get(j, "error");
	s = json_string_value(
		json_object_get(json_object_get(choice, "delta"), "content"));
	if (error)
		a->broken = true;
	else if (s)
		check_word(a, s);
	json_decref(j);
}

/* ": resume IDENTITY", after a run anew on another engine. */
static void read_identity(struct answer *a, const struct sse_event *e)
{
	size_t n = strlen("resume ");

	if (e->comment.len <= n || memcmp(e->comment.data, "resume ", n))
		return;
	g_free(a->resume);
	a->resume = g_strndup(e->comment.data + n, e->comment.len - n);
}

static void read_events(struct answer *a, struct pull *p)
{
	GByteArray *b = pull_bytes(p);
	struct sse_event e;
	size_t used;

	while (!a->done && !a->broken) {
		used = sse_next((char *)b->data, b->len, &e);
		read_identity(a, &e);
		if (!used)
			return;
		read_event(a, &e);
		g_byte_array_remove_range(b, 0, (guint)used);
	}
}

/* An answer other than 200: another entry may know more, or nobody does. */
static void read_refusal(struct answer *a, const struct pull *p)
{
	int status = pull_status(p);

	a->broken = true;
	a->gone = a->resume && status != 503 && status != 504;
}

static void read_answer(struct answer *a, struct pull *p)
{
	int64_t until = time_mono_ms() + ANSWER_MS;

	pull_wait_headers(p, until);
	if (pull_status(p) != 200) {
		read_refusal(a, p);
		return;
	}
	if (!a->resume && pull_header(p, "Ramp-Resume"))
		a->resume = g_strdup(pull_header(p, "Ramp-Resume"));
	read_events(a, p);
	while (!a->done && !a->broken && !a->crossed) {
		int64_t next = MIN(until, time_mono_ms() + SILENCE_MS);

		if (pull_wait_more(p, next) != PULL_DATA)
			break;
		read_events(a, p);
	}
	a->broken = !a->done;
}

static char *chat_body(const struct chat *c, json_t *messages)
{
	json_t *j = json_pack("{s:s,s:b,s:O}", "model", c->service, "stream", 1,
			      "messages", messages);
	char *s = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	return s;
}

static void send_chat(const struct chat *c, const char *entry, const char *body,
		      struct answer *a)
{
	char *url = a->resume ? g_strdup_printf("http://%s/v1/streams/%s",
						entry, a->resume)
			      : g_strdup_printf("http://%s/v1/chat/completions",
						entry);
	char *auth = g_strdup_printf("Authorization: Bearer key-%s",
				     c->organisation);
	char *chat = g_strdup_printf("Ramp-Chat: %s", c->name);
	char *last = g_strdup_printf("Last-Event-ID: %s",
				     a->last_id ? a->last_id : "");
	const char *headers[] = {auth, chat, "Content-Type: application/json",
				 last, NULL};
	struct pull_request q = {.method = a->resume ? "GET" : "POST",
				 .url = url,
				 .headers = headers,
				 .body = a->resume ? str_c(NULL) : str_c(body),
				 .connect_ms = CONNECT_MS};
	struct pull *p;

	if (!a->last_id || !a->resume)
		headers[3] = NULL;
	p = pull_open(&q);
	read_answer(a, p);
	pull_close(p);
	g_free(url);
	g_free(auth);
	g_free(chat);
	g_free(last);
}

static void count(struct totals *t, const struct answer *a)
{
	g_mutex_lock(&t->lock);
	t->asked++;
	if (a->done)
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

/* Forget a broken answer that can't be resumed. */
static void start_anew(struct answer *a)
{
	a->words = 0;
	a->gone = false;
	g_string_truncate(a->text, 0);
	g_clear_pointer(&a->resume, g_free);
	g_clear_pointer(&a->last_id, g_free);
}

/*
 * Ask until the whole answer is there: a broken answer is resumed through the
 * next entry, and asked for anew only when no entry can go on with it.
 */
static char *ask(const struct chat *c, json_t *messages)
{
	char *prompt = prompt_text(messages);
	char *body = chat_body(c, messages);
	struct answer a = {.prompt = prompt, .text = g_string_new(NULL)};

	for (int i = 0; i < TRIES_MAX && !a.done && !a.crossed; i++) {
		char *entry = pick_entry(c->entries, i);

		if (i)
			g_usleep(TRY_PAUSE_US);
		if (a.gone || !a.resume)
			start_anew(&a);
		a.broken = false;
		send_chat(c, entry, body, &a);
		g_free(entry);
	}
	count(c->totals, &a);
	free(body);
	g_free(prompt);
	g_free(a.resume);
	g_free(a.last_id);
	return g_string_free(a.text, FALSE);
}

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
		text = ask(c, messages);
		json_array_append_new(messages,
				      json_pack("{s:s,s:s}", "role",
						"assistant", "content", text));
		g_free(text);
	}
	json_decref(messages);
}

/* Returns NULL when the line is not a chat. */
static struct chat *read_chat(const char *line)
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

static bool run_file(const char *path, struct entries *e, struct totals *t)
{
	GThreadPool *pool =
		g_thread_pool_new(run_chat, NULL, WORKERS, FALSE, NULL);
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		fprintf(stderr, "%s: can't be read\n", path);
		return false;
	}
	lines = g_strsplit(text, "\n", -1);
	g_free(text);
	for (int i = 0; lines[i]; i++) {
		struct chat *c;

		if (!*lines[i])
			continue;
		c = read_chat(lines[i]);
		if (!c) {
			fprintf(stderr, "%s:%d: not a chat\n", path, i + 1);
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

/* Count what any engine ran more than once, or what two engines ran. */
static void count_runs(const struct arg_str *engines, struct totals *t)
{
	GHashTable *all =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (int i = 0; i < engines->count; i++) {
		char *url = g_strdup_printf("http://%s/standin/runs",
					    engines->sval[i]);
		json_t *runs = get_json(url);
		const char *id;
		json_t *n;

		json_object_foreach (runs, id, n) {
			if (json_integer_value(n) > 1 ||
			    !g_hash_table_add(all, g_strdup(id)))
				t->doubled++;
		}
		if (!runs)
			t->lost++;
		json_decref(runs);
		g_free(url);
	}
	g_hash_table_unref(all);
}

int main(int argc, char **argv)
{
	struct arg_str *seed = arg_strn("e", "entry", "IP:PORT", 1, 64,
					"an entry known from the start");
	struct arg_str *engines =
		arg_strn("g", "engine", "IP:PORT", 0, 64,
			 "an engine to ask how often each request ran");
	struct arg_file *until = arg_file0(NULL, "until", "FILE",
					   "send the chats over and over "
					   "until FILE exists");
	struct arg_file *chats = arg_file1(NULL, NULL, "CHATS", "jsonl file");
	struct arg_end *end = arg_end(4);
	void *table[] = {seed, engines, until, chats, end};
	struct entries e = {0};
	struct totals t = {0};

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	block_stop_signals();
	curl_global_init(CURL_GLOBAL_ALL);
	e.seeds = (char **)seed->sval;
	e.seed_count = seed->count;
	do {
		if (!run_file(chats->filename[0], &e, &t))
			return 2;
	} while (until->count && access(until->filename[0], F_OK));
	count_runs(engines, &t);
	printf("asked=%" G_GINT64_FORMAT " answered=%" G_GINT64_FORMAT
	       " lost=%" G_GINT64_FORMAT " doubled=%" G_GINT64_FORMAT
	       " crossed=%" G_GINT64_FORMAT " cut=%" G_GINT64_FORMAT "\n",
	       t.asked, t.answered, t.lost, t.doubled, t.crossed, t.cut);
	return t.asked == t.answered && !t.lost && !t.doubled && !t.crossed &&
			       !t.cut
		       ? 0
		       : 1;
}
