/*
 * Engines of a new software version join a service. The entries that read the
 * list of engines begin streams on them, and are killed. Requesters take the
 * streams up again at the other entries, at once. Each round has a service of
 * its own. Without the disruption the requesters leave their streams
 * themselves at that moment.
 */
#include <string.h>

#include "review/stand/stand.h"

#define ENTRIES 6
#define ROUNDS  12
#define ENGINES 2 /* of each version, in each service */

#define EVENTS       76
#define EVENT_GAP_MS 40
#define STREAMS_MAX  400 /* of a round */
#define BEGIN_GAP_MS 20  /* between the streams that begin at an entry */
#define BEFORE_MS    500 /* of load before the new version joins */
/* Streams that begin on the new version before the entries are killed. */
#define NEW_STREAMS 6
#define JOIN_MAX_MS 3000
#define DEADLINE_MS 15000
#define TRIES       5
#define TRY_GAP_MS  200
#define DOWN_MS     1000
#define RECOVER_MS  4000
/* Reads of the list in READS_MS that show who reads it all the time. */
#define READS_MS     3000
#define READS_NEEDED 3
/* The rule allows so many streams that hold events of two versions. */
#define JOINED_ALLOWED 2

struct round {
	struct entry_process *readers[ENTRIES], *others[ENTRIES];
	int index, reader_count, other_count;
	gint on_new; /* streams that began on the new version */
	gint broken; /* the readers were killed, or requesters are to leave */
	gint running, joined, taken_up;
};

struct stream {
	struct round *round;
	struct entry_process *entry; /* of the next attempt */
	char id[24], attempt[32];
	char path[16];
	int last;        /* event that the requester has */
	char version[8]; /* of its first event */
	bool complete, joined;
};

static bool serve(struct engine_call *call)
{
	return engine_run(call) && engine_stream(call, EVENTS, EVENT_GAP_MS);
}

/* Use an event; false: it is not all there. */
static bool take_event(struct stream *s, struct conn *c)
{
	char *version;

	if (!conn_take_event(c, &s->last, &version))
		return false;
	if (!*s->version) {
		g_strlcpy(s->version, version, sizeof(s->version));
		if (!strcmp(version, "v2"))
			g_atomic_int_inc(&s->round->on_new);
	} else if (strcmp(s->version, version) != 0 && !s->joined) {
		s->joined = true;
		g_atomic_int_inc(&s->round->joined);
		record("requester: %s got events 1 and up from %s, and event %d"
		       " from %s at %s",
		       s->id, s->version, s->last, version,
		       s->entry->options.name);
	}
	g_free(version);
	return true;
}

/* Whether a requester leaves its channel, as nobody is killed. */
static bool is_leaving(const struct stream *s)
{
	return !case_has_trouble() && !strcmp(s->attempt, s->id) &&
	       g_atomic_int_get(&s->round->broken);
}

static void attempt(struct stream *s)
{
	struct conn *c = conn_connect(s->entry->callers_port, 0);
	char *headers = s->last ? g_strdup_printf("Last-Event-Id: %d\r\n"
						  "Resumes: %s\r\n",
						  s->last, s->id)
				: NULL;
	struct request q = {"POST",  s->path, s->attempt,
			    headers, 100,     DEADLINE_MS};
	struct message m = {0};

	if (c && conn_send_request(c, &q) &&
	    conn_read_head(c, &m, now_ms() + 2000) && m.status == 200) {
		if (s->last)
			g_atomic_int_inc(&s->round->taken_up);
		do {
			while (!s->joined && take_event(s, c))
				;
			s->complete = s->last == EVENTS;
		} while (!s->complete && !s->joined && !is_leaving(s) &&
			 conn_receive(c, now_ms() + 2000));
	}
	record("requester: %s at %s, %s%s: status %d, has events to %d",
	       s->attempt, s->entry->options.name, headers ? "resumes " : "new",
	       headers ? s->id : "", m.status, s->last);
	message_clear(&m);
	conn_free(c);
	g_free(headers);
}

static void *run_stream(void *p)
{
	struct stream *s = p;
	struct round *r = s->round;

	for (int i = 1; i <= TRIES && !s->complete && !s->joined; i++) {
		if (i > 2)
			sleep_ms(TRY_GAP_MS);
		if (i == 1)
			g_strlcpy(s->attempt, s->id, sizeof(s->attempt));
		else
			g_snprintf(s->attempt, sizeof(s->attempt), "%s-%d",
				   s->id, i);
		attempt(s);
		s->entry = r->others[g_random_int_range(0, r->other_count)];
	}
	g_free(s);
	g_atomic_int_add(&r->running, -1);
	return NULL;
}

static void begin_stream(struct round *r, int i)
{
	struct stream *s = g_new0(struct stream, 1);

	s->round = r;
	s->entry = r->readers[i % r->reader_count];
	g_snprintf(s->id, sizeof(s->id), "stream-%d-%d", r->index, i);
	g_snprintf(s->path, sizeof(s->path), "/chat/%d/1", r->index);
	g_atomic_int_inc(&r->running);
	g_thread_unref(g_thread_new("requester", run_stream, s));
}

/* Tell the entries that read the list of engines all the time from others. */
static void find_readers(struct round *r, struct store *store,
			 struct entry_process **v)
{
	for (int i = 0; i < ENTRIES; i++) {
		int n = store_reads(store, v[i]->options.name,
				    now_ms() - READS_MS);

		if (n >= READS_NEEDED)
			r->readers[r->reader_count++] = v[i];
		else
			r->others[r->other_count++] = v[i];
		record("store: %s has read the list of engines %d times in"
		       " %d ms",
		       v[i]->options.name, n, READS_MS);
	}
}

/* Play a round; return how many streams hold events of two versions. */
static int play_round(struct round *r, struct store *store)
{
	char service[16];
	int64_t join_ms = now_ms() + BEFORE_MS, until_ms;
	bool joins = false;

	g_snprintf(service, sizeof(service), "model-%d", r->index);
	until_ms = join_ms + JOIN_MAX_MS;
	for (int i = 0; i < STREAMS_MAX && now_ms() < until_ms &&
			g_atomic_int_get(&r->on_new) < NEW_STREAMS;
	     i++) {
		if (!joins && now_ms() >= join_ms) {
			joins = true;
			record("engines: v2 joins %s, in which only v1 has"
			       " served",
			       service);
			for (int k = 0; k < ENGINES; k++)
				engine_start(store, service, "v2", serve);
		}
		begin_stream(r, i);
		if (i % r->reader_count == r->reader_count - 1)
			sleep_ms(BEGIN_GAP_MS);
	}
	record("requesters: %d streams have begun on v2, at the entries that"
	       " read the list",
	       g_atomic_int_get(&r->on_new));
	g_atomic_int_set(&r->broken, 1);
	for (int i = 0; case_has_trouble() && i < r->reader_count; i++)
		entry_kill(r->readers[i]);
	sleep_ms(DOWN_MS);
	for (int i = 0; case_has_trouble() && i < r->reader_count; i++)
		entry_start_again(r->readers[i]);
	sleep_ms(RECOVER_MS);
	while (g_atomic_int_get(&r->running))
		sleep_ms(10);
	record("round %d: %d streams were taken up, %d of them at another"
	       " version",
	       r->index, g_atomic_int_get(&r->taken_up),
	       g_atomic_int_get(&r->joined));
	return g_atomic_int_get(&r->joined);
}

int main(int argc, char **argv)
{
	struct manifest manifest = {1, 16384, 1500, ROUNDS};
	struct round rounds[ROUNDS] = {0};
	struct entry_process *entries[ENTRIES];
	int joined = 0, played = 0, taken_up = 0;
	struct store *store;

	case_begin(argc, argv);
	store = store_start();
	for (int i = 0; i < ROUNDS * ENGINES; i++) {
		char *service = g_strdup_printf("model-%d", i / ENGINES);

		engine_start(store, service, "v1", serve);
	}
	manifest_write(store, &manifest);
	for (int i = 0; i < ENTRIES; i++) {
		struct entry_options options = {.memory_mb = 260,
						.files = 4100};

		options.name = g_strdup_printf("edge-a-%d", i + 1);
		entries[i] = entry_start(store, &options);
	}
	sleep_ms(8000);
	for (int i = 0; i < ROUNDS; i++) {
		rounds[i].index = i;
		find_readers(&rounds[i], store, entries);
		if (!rounds[i].reader_count || !rounds[i].other_count) {
			sleep_ms(1000);
			continue;
		}
		played++;
		joined += play_round(&rounds[i], store);
		taken_up += rounds[i].taken_up;
	}
	if (!taken_up)
		case_end(CASE_NOT_RUN, "no stream was taken up");
	case_end(joined > JOINED_ALLOWED ? CASE_BROKEN : CASE_HELD,
		 "ORDER: in %d rounds %d streams were taken up, and %d of them"
		 " hold events of two versions; %d are allowed",
		 played, taken_up, joined, JOINED_ALLOWED);
}
