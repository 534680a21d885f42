/*
 * Fleets in virtual time in which software versions join and leave while nodes
 * read the list of targets, are killed, cut off or stand still, and callers
 * take streams up at other nodes. Nodes run the origins module alone; what
 * peer-origins.c and peer-versions.c send is modelled, one message a call.
 */
#include <string.h>

#include "entry/origins.h"

#define NODES    6
#define READERS  3
#define VERSIONS 2
#define STEP_MS  5
#define TICK_MS  50
#define START_MS 1000000
#define PLAY_MS  12000
/* From the reader's or a node's poll to the next. */
#define READ_MS  333
#define QUERY_MS 400
/* Without a confirmation for this long a node reads the store itself. */
#define UNCONFIRMED_MS 2000
/* Until the others take a node that is gone for dead. */
#define DETECT_MS   1000
#define SAVE_MS     10 /* a call that saves the versions */
#define DOWN_MS     1000
#define BEGIN_MS    10 /* between two streams that begin */
#define STREAM_MS   3000
#define TRIES       5
#define TRY_GAP_MS  200
#define STREAMS_MAX 4096
#define LOSS        0.02

static const struct str service = STR_LIT("pool");
static const char *const names[VERSIONS] = {"v1", "v2"};

/* A kind of trouble, at a moment after the second version has joined. */
struct fleet_case {
	const char *name;
	bool kills_readers;
	bool cuts_pair; /* two nodes from the others and the store */
	bool cuts_one;  /* one node from the others, not from the store */
	bool pauses_pair;
	bool kills_all;
	bool stops_store;
	bool leaves; /* the second version, soon after it has joined */
	bool random; /* any of these */
};

struct node {
	struct origins *o;
	uint64_t id;
	bool listed[VERSIONS];
	int64_t confirmed_ms, read_at_ms, query_at_ms;
	int64_t down_until_ms, paused_until_ms;
	/* Group 0 reaches the store; the others' groups are cut off. */
	int group;
	bool cut_from_store, store_fails;
	int64_t seen_ms[NODES];
	int64_t loads_at_ms;  /* of the saved versions; 0: not again */
	int64_t new_since_ms; /* waits with streams at the new version; 0: no */
	uint64_t saved_changes;
};

struct stream {
	struct node *at;
	char id[16];
	uint64_t version;
	int64_t ends_ms, try_at_ms; /* 0: it runs */
	struct node *asked;         /* looks it up */
	int tries;
	bool done;
};

enum message_kind {
	MESSAGE_NOTICES,
	MESSAGE_RECORDS,
	MESSAGE_QUESTION,
	MESSAGE_REPLY,
};

struct sim_message {
	enum message_kind kind;
	struct node *from, *to;
	int64_t at_ms;
	struct version_notices notices;
	struct version_notice versions[VERSION_NOTICES_MAX];
	struct stream_origin records[STREAM_ORIGINS_MAX];
	size_t n;
	struct origin_question question;
	struct origin_reply reply;
};

struct fleet {
	struct fleet_case c;
	GRand *rand;
	struct node nodes[NODES];
	bool serves[VERSIONS], store_down;
	json_t *saved;          /* in the store */
	struct node *writer;    /* that saves them */
	json_t *saving;         /* by a call in progress */
	int64_t saving_ends_ms; /* 0: none */
	GQueue messages;        /* struct sim_message, by time of delivery */
	struct stream *streams;
	size_t stream_count;
	int joined, taken_up, refused, on_new;
	int waits, waited_ms, longest_wait_ms;
};

static int between(struct fleet *f, int min, int max)
{
	return g_rand_int_range(f->rand, min, max);
}

static bool is_up(const struct node *n, int64_t now_ms)
{
	return n->o && now_ms >= n->paused_until_ms;
}

static bool reaches(const struct node *a, const struct node *b)
{
	return a->group == b->group;
}

static gint by_time(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct sim_message *x = a, *y = b;

	(void)ctx;
	return x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms;
}

static struct sim_message *post(struct fleet *f, enum message_kind kind,
				struct node *from, struct node *to,
				int64_t now_ms)
{
	struct sim_message *m = g_new0(struct sim_message, 1);

	m->kind = kind;
	m->from = from;
	m->to = to;
	m->at_ms = now_ms + between(f, 1, 4);
	if (reaches(from, to) && g_rand_double(f->rand) >= LOSS)
		g_queue_insert_sorted(&f->messages, m, by_time, NULL);
	else
		m->at_ms = 0;
	return m;
}

/* Free a message that is lost. */
static void posted(struct sim_message *m)
{
	if (!m->at_ms)
		g_free(m);
}

/* The ids of all other nodes. */
static size_t others_of(const struct fleet *f, const struct node *n,
			uint64_t *ids)
{
	size_t count = 0;

	for (int i = 0; i < NODES; i++)
		if (&f->nodes[i] != n)
			ids[count++] = f->nodes[i].id;
	return count;
}

static bool is_live(const struct fleet *f, const struct node *n,
		    const struct node *other, int64_t now_ms)
{
	return now_ms - n->seen_ms[other - f->nodes] < DETECT_MS;
}

static size_t count_live(const struct fleet *f, const struct node *n,
			 int64_t now_ms)
{
	size_t live = 1;

	for (int i = 0; i < NODES; i++)
		live += &f->nodes[i] != n &&
			is_live(f, n, &f->nodes[i], now_ms);
	return live;
}

static void send_records(struct fleet *f, struct node *n, int64_t now_ms)
{
	struct stream_origin v[STREAM_ORIGINS_MAX];
	size_t count = origins_take_unsent(n->o, now_ms, v, G_N_ELEMENTS(v));

	for (int i = 0; count && i < NODES; i++) {
		struct sim_message *m;

		if (!is_live(f, n, &f->nodes[i], now_ms) || &f->nodes[i] == n)
			continue;
		m = post(f, MESSAGE_RECORDS, n, &f->nodes[i], now_ms);
		memcpy(m->records, v, sizeof(v));
		m->n = count;
		posted(m);
	}
}

static void send_news(struct fleet *f, struct node *n, int64_t now_ms)
{
	struct version_news v[VERSIONS];
	uint64_t ids[NODES];
	size_t others = others_of(f, n, ids), count;

	origins_check_versions(n->o, ids, others, now_ms);
	count = origins_take_news(n->o, ids, others, now_ms, v, VERSIONS);
	for (int i = 0; count && i < NODES; i++) {
		struct node *to = &f->nodes[i];
		struct sim_message *m;

		if (to == n || !is_live(f, n, to, now_ms))
			continue;
		m = post(f, MESSAGE_NOTICES, n, to, now_ms);
		m->notices.confirm = true;
		m->n = origins_news_for(n->o, v, count, to->id, m->versions);
		posted(m);
	}
}

static void ask(struct fleet *f, struct node *n, int64_t now_ms)
{
	struct origin_question q;
	unsigned rounds;

	while (origins_next_question(n->o, now_ms, &q, &rounds))
		for (int i = 0; i < NODES; i++) {
			struct sim_message *m;

			if (&f->nodes[i] == n ||
			    !is_live(f, n, &f->nodes[i], now_ms))
				continue;
			origins_asked(n->o, &q, f->nodes[i].id);
			m = post(f, MESSAGE_QUESTION, n, &f->nodes[i], now_ms);
			m->question = q;
			posted(m);
		}
}

/* What entry/control.c does each tick, and when a version has joined. */
static void tick(struct fleet *f, struct node *n, int64_t now_ms)
{
	for (int i = 0; i < NODES; i++)
		if (is_up(&f->nodes[i], now_ms) && reaches(n, &f->nodes[i]))
			n->seen_ms[i] = now_ms;
	origins_sweep(n->o, now_ms);
	origins_set_list_time(
		n->o, n->confirmed_ms,
		n->store_fails && 2 * count_live(f, n, now_ms) > NODES, now_ms);
	send_records(f, n, now_ms);
	send_news(f, n, now_ms);
	ask(f, n, now_ms);
}

static void receive(struct fleet *f, const struct sim_message *m)
{
	struct node *n = m->to;
	struct sim_message *answer;

	if (!is_up(n, m->at_ms))
		return;
	switch (m->kind) {
	case MESSAGE_NOTICES:
		if (!m->notices.confirm) {
			struct version_notice ignored[VERSION_NOTICES_MAX];

			origins_apply_notices(n->o, m->from->id, m->versions,
					      m->n, m->at_ms, ignored);
			tick(f, n, m->at_ms);
			return;
		}
		answer = post(f, MESSAGE_NOTICES, n, m->from, m->at_ms);
		origins_apply_notices(n->o, m->from->id, m->versions, m->n,
				      m->at_ms, answer->versions);
		answer->n = m->n;
		posted(answer);
		return;
	case MESSAGE_RECORDS:
		origins_receive(n->o, m->records, m->n, m->at_ms);
		return;
	case MESSAGE_QUESTION:
		answer = post(f, MESSAGE_REPLY, n, m->from, m->at_ms);
		origins_answer(n->o, &m->question, m->at_ms, &answer->reply);
		posted(answer);
		return;
	case MESSAGE_REPLY:
		origins_apply_reply(n->o, m->from->id, &m->reply, m->at_ms);
		return;
	}
}

static void deliver(struct fleet *f, int64_t now_ms)
{
	struct sim_message *m;

	while ((m = g_queue_peek_head(&f->messages)) && m->at_ms <= now_ms) {
		g_queue_pop_head(&f->messages);
		receive(f, m);
		g_free(m);
	}
}

static void use_list(struct fleet *f, struct node *n, const bool *listed,
		     int64_t confirmed_ms, int64_t now_ms)
{
	struct target_list *l = target_list_new(VERSIONS);

	memcpy(n->listed, listed, sizeof(n->listed));
	n->confirmed_ms = MAX(n->confirmed_ms, confirmed_ms);
	for (size_t i = 0; i < VERSIONS; i++)
		if (listed[i])
			l->v[l->n++] = (struct target_info){
				.id = i + 1,
				.service = service,
				.version = str_c(names[i])};
	if (origins_set_targets(n->o, l, now_ms))
		tick(f, n, now_ms);
	target_list_unref(l);
}

/* Load the saved versions again when some may have been missed. */
static void load_again(struct fleet *f, struct node *n, int64_t now_ms)
{
	if (!origins_lacks_history(n->o) || f->store_down || n->cut_from_store)
		n->loads_at_ms = 0;
	else if (!n->loads_at_ms)
		n->loads_at_ms = now_ms + SAVE_MS;
	else if (now_ms >= n->loads_at_ms)
		origins_load_versions(n->o, f->saved, now_ms);
}

/* Read the store, or query a reader about it. */
static void read_list(struct fleet *f, struct node *n, int64_t now_ms)
{
	bool reader = n - f->nodes < READERS;
	struct node *from = &f->nodes[between(f, 0, READERS)];

	if (now_ms >= n->read_at_ms &&
	    (reader || now_ms - n->confirmed_ms > UNCONFIRMED_MS)) {
		n->read_at_ms = now_ms + READ_MS;
		n->store_fails = f->store_down || n->cut_from_store;
		if (!n->store_fails)
			use_list(f, n, f->serves, now_ms, now_ms);
	}
	if (reader || now_ms < n->query_at_ms)
		return;
	n->query_at_ms = now_ms + QUERY_MS;
	if (is_up(from, now_ms) && reaches(n, from) &&
	    from->confirmed_ms > n->confirmed_ms)
		use_list(f, n, from->listed, from->confirmed_ms, now_ms);
}

static void start(struct fleet *f, struct node *n, int64_t now_ms)
{
	n->o = origins_new();
	n->confirmed_ms = n->read_at_ms = 0;
	n->store_fails = false;
	n->new_since_ms = n->loads_at_ms = 0;
	n->query_at_ms = now_ms + between(f, 0, QUERY_MS);
	origins_load_versions(n->o, f->saved, now_ms);
	n->saved_changes = origins_versions_changes(n->o);
	for (int i = 0; i < NODES; i++)
		n->seen_ms[i] = now_ms;
	if (!f->store_down && !n->cut_from_store)
		use_list(f, n, f->serves, now_ms, now_ms);
}

static void kill_node(struct fleet *f, struct node *n, int64_t now_ms)
{
	if (!n->o)
		return;
	origins_free(n->o);
	n->o = NULL;
	if (f->writer == n)
		f->writer = NULL;
	n->down_until_ms = now_ms + DOWN_MS;
	for (size_t i = 0; i < f->stream_count; i++) {
		struct stream *s = &f->streams[i];

		if (!s->done && (s->at == n || s->asked == n)) {
			s->at = s->asked = NULL;
			s->try_at_ms = now_ms + between(f, 1, TRY_GAP_MS);
		}
	}
}

/* The first node that is up saves the versions when they have changed. */
static void save(struct fleet *f, int64_t now_ms)
{
	if (f->saving_ends_ms && now_ms >= f->saving_ends_ms) {
		json_decref(f->saved);
		f->saved = f->saving;
		f->saving_ends_ms = 0;
	}
	for (int i = 0; i < NODES && !f->saving_ends_ms && !f->store_down;
	     i++) {
		struct node *n = &f->nodes[i];

		if (!is_up(n, now_ms) || n->cut_from_store)
			continue;
		if (f->writer != n && f->saved)
			origins_load_versions(n->o, f->saved, now_ms);
		f->writer = n;
		if (n->saved_changes != origins_versions_changes(n->o)) {
			n->saved_changes = origins_versions_changes(n->o);
			f->saving = origins_versions(n->o, now_ms);
			f->saving_ends_ms = now_ms + SAVE_MS;
		}
		return;
	}
}

/* Note for how long streams wait at a node that lists the new version. */
static void note_wait(struct fleet *f, struct node *n, int64_t now_ms)
{
	uint64_t id = software_version_id(service, str_c(names[1]));
	bool waits = n->listed[1] && !origins_may_begin(n->o, id);
	int ms = (int)(now_ms - n->new_since_ms);

	if (waits && !n->new_since_ms)
		n->new_since_ms = now_ms;
	if (waits || !n->new_since_ms)
		return;
	n->new_since_ms = 0;
	f->waits++;
	f->waited_ms += ms;
	f->longest_wait_ms = MAX(f->longest_wait_ms, ms);
}

static void begin_stream(struct fleet *f, int64_t now_ms)
{
	struct node *n = &f->nodes[between(f, 0, NODES)];
	struct stream *s = &f->streams[f->stream_count];
	size_t v = (size_t)between(f, 0, VERSIONS);
	uint64_t id = software_version_id(service, str_c(names[v]));

	if (!is_up(n, now_ms) || f->stream_count == STREAMS_MAX)
		return;
	if (!n->listed[v] || !origins_may_begin(n->o, id))
		return;
	*s = (struct stream){.at = n, .version = id};
	s->ends_ms = now_ms + STREAM_MS;
	g_snprintf(s->id, sizeof(s->id), "s%zu", f->stream_count++);
	f->on_new += v == 1;
	if (origins_record(n->o, str_c(s->id), service, id, now_ms))
		send_records(f, n, now_ms);
}

/* Let callers whose streams broke take them up at a node. */
static void take_up(struct fleet *f, struct stream *s, int64_t now_ms)
{
	enum origin_status found;
	uint64_t version;

	if (!s->asked) {
		s->asked = &f->nodes[between(f, 0, NODES)];
		if (!is_up(s->asked, now_ms)) {
			s->asked = NULL;
			return;
		}
	}
	if (!is_up(s->asked, now_ms))
		return;
	found = origins_find(s->asked->o, str_c(s->id), service, now_ms,
			     &version);
	if (found == ORIGIN_ASKED) {
		ask(f, s->asked, now_ms);
		return;
	}
	if (found == ORIGIN_FOUND) {
		f->taken_up++;
		f->joined += version != s->version;
		s->done = true;
		return;
	}
	s->asked = NULL;
	s->try_at_ms = now_ms + TRY_GAP_MS;
	if (++s->tries == TRIES) {
		s->done = true;
		f->refused++;
	}
}

static void run_streams(struct fleet *f, int64_t now_ms)
{
	for (size_t i = 0; i < f->stream_count; i++) {
		struct stream *s = &f->streams[i];

		if (s->done)
			continue;
		if (!s->try_at_ms)
			s->done = now_ms >= s->ends_ms;
		else if (now_ms >= s->try_at_ms)
			take_up(f, s, now_ms);
	}
}

static void cut(struct node *n, int group, bool from_store)
{
	n->group = group;
	n->cut_from_store = from_store;
}

static void make_trouble(struct fleet *f, int64_t now_ms)
{
	const struct fleet_case *c = &f->c;

	for (int i = 0; i < NODES; i++) {
		struct node *n = &f->nodes[i];
		bool last = i >= NODES - 2;

		if (c->kills_all || (c->kills_readers && i < READERS))
			kill_node(f, n, now_ms);
		if (c->stops_store && i == 0)
			kill_node(f, n, now_ms);
		/* The streams of the nodes that are cut off or still break. */
		if ((c->cuts_pair || c->pauses_pair) && !last)
			kill_node(f, n, now_ms);
		if (c->cuts_one && i < NODES - 1)
			kill_node(f, n, now_ms);
	}
}

/* What comes before the trouble, as the second version joins. */
static void prepare_trouble(struct fleet *f, int64_t now_ms, int64_t until_ms)
{
	for (int i = NODES - 2; i < NODES; i++) {
		if (f->c.cuts_pair)
			cut(&f->nodes[i], 1, true);
		if (f->c.cuts_one && i == NODES - 1)
			cut(&f->nodes[i], 1, false);
		if (f->c.pauses_pair && now_ms < until_ms)
			f->nodes[i].paused_until_ms = until_ms;
	}
}

static void draw_case(struct fleet *f)
{
	bool *const flags[] = {&f->c.kills_readers, &f->c.cuts_pair,
			       &f->c.cuts_one,      &f->c.pauses_pair,
			       &f->c.kills_all,     &f->c.stops_store,
			       &f->c.leaves};

	for (size_t i = 0; i < G_N_ELEMENTS(flags); i++)
		*flags[i] = between(f, 0, 3) == 0;
}

static struct fleet *fleet_new(const struct fleet_case *c, guint32 seed)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->c = *c;
	f->rand = g_rand_new_with_seed(seed);
	if (c->random)
		draw_case(f);
	f->streams = g_new0(struct stream, STREAMS_MAX);
	f->serves[0] = true;
	for (int i = 0; i < NODES; i++) {
		f->nodes[i].id = str_hash(STR_LIT("node"), (uint64_t)i);
		start(f, &f->nodes[i], START_MS);
	}
	return f;
}

static void fleet_free(struct fleet *f)
{
	for (int i = 0; i < NODES; i++)
		if (f->nodes[i].o)
			origins_free(f->nodes[i].o);
	g_queue_clear_full(&f->messages, g_free);
	json_decref(f->saved);
	if (f->saving_ends_ms)
		json_decref(f->saving);
	g_rand_free(f->rand);
	g_free(f->streams);
	g_free(f);
}

/* Play until all streams have ended; the counts are in f. */
static void play(struct fleet *f)
{
	int64_t join_ms = START_MS + between(f, 2500, 4000);
	/* Before, as the version joins, or after it. */
	int64_t cut_ms = join_ms + between(f, -1500, 200);
	int64_t trouble_ms =
		join_ms + between(f, 20, f->c.kills_readers ? 800 : 3500);
	int64_t leave_ms = join_ms + between(f, 100, 3000);
	int64_t stop_ms = join_ms + between(f, -2000, 3000);

	for (int64_t now = START_MS; now < START_MS + PLAY_MS; now += STEP_MS) {
		f->serves[1] =
			now >= join_ms && !(f->c.leaves && now >= leave_ms);
		f->store_down = f->c.stops_store && now >= stop_ms;
		if (now >= cut_ms && now < cut_ms + STEP_MS)
			prepare_trouble(f, now, trouble_ms);
		if (now >= trouble_ms && now < trouble_ms + STEP_MS)
			make_trouble(f, now);
		for (int i = 0; i < NODES; i++) {
			struct node *n = &f->nodes[i];

			if (!n->o && now >= n->down_until_ms)
				start(f, n, now);
			if (!is_up(n, now))
				continue;
			read_list(f, n, now);
			if (now % TICK_MS == 0)
				tick(f, n, now);
			load_again(f, n, now);
			note_wait(f, n, now);
		}
		deliver(f, now);
		save(f, now);
		if (now % BEGIN_MS == 0 && now < trouble_ms)
			begin_stream(f, now);
		run_streams(f, now);
	}
}

#ifndef SEEDS
#define SEEDS 100
#endif
/* Of the streams that are taken up beside live nodes that know of them. */
#define GOES_ON_MIN 0.9

/* A stream goes on at another version than the one that began it. */
static void test_fleet(gconstpointer data)
{
	const struct fleet_case *c = data;
	int joined = 0, taken_up = 0, refused = 0, on_new = 0;
	int waits = 0, waited_ms = 0, longest_ms = 0;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct fleet *f = fleet_new(c, seed);

		play(f);
		if (f->joined)
			g_test_message(
				"%s, seed %u: %d at another version (readers "
				"killed %d, pair cut off %d, one cut off %d, "
				"pair still %d, all killed %d, store stops %d, "
				"version leaves %d)",
				c->name, seed, f->joined, f->c.kills_readers,
				f->c.cuts_pair, f->c.cuts_one, f->c.pauses_pair,
				f->c.kills_all, f->c.stops_store, f->c.leaves);
		joined += f->joined;
		taken_up += f->taken_up;
		refused += f->refused;
		on_new += f->on_new;
		waits += f->waits;
		waited_ms += f->waited_ms;
		longest_ms = MAX(longest_ms, f->longest_wait_ms);
		fleet_free(f);
	}
	g_test_message("%s: %d began on the new version; %d of those taken up "
		       "go on, %d at another version, %d are refused",
		       c->name, on_new, taken_up, joined, refused);
	g_test_message("%s: nodes wait %.1f ms on average, %d at most", c->name,
		       (double)waited_ms / MAX(waits, 1), longest_ms);
	g_assert_cmpint(on_new, >, 0);
	g_assert_cmpint(joined, ==, 0);
	if (c->kills_readers)
		g_assert_cmpfloat(taken_up, >=,
				  GOES_ON_MIN * (taken_up + refused));
}

int main(int argc, char **argv)
{
	static const struct fleet_case cases[] = {
		{.name = "readers-killed", .kills_readers = true},
		{.name = "readers-killed-version-gone",
		 .kills_readers = true,
		 .leaves = true},
		{.name = "pair-cut-off", .cuts_pair = true},
		{.name = "cut-off-from-nodes", .cuts_one = true},
		{.name = "pair-still", .pauses_pair = true},
		{.name = "all-killed", .kills_all = true},
		{.name = "all-killed-version-gone",
		 .kills_all = true,
		 .leaves = true},
		{.name = "store-stops", .stops_store = true},
		{.name = "random", .random = true},
	};

	g_test_init(&argc, &argv, NULL);
	log_set_level("error");
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strconcat("/entry/version-gate/", cases[i].name,
					 NULL);

		g_test_add_data_func(path, &cases[i], test_fleet);
		g_free(path);
	}
	return g_test_run();
}
