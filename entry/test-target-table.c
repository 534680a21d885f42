/*
 * The table of targets: what a node learns from the store and from another node
 * must be the same list, whatever was lost in between, also across a store that
 * came back from an older copy.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "entry/store-clients.h"

#define TARGETS_MAX 64
#define KEY_BYTES   16

/* A store whose rows are plain structs; the value of a row is its index. */
struct fake_row {
	bool present, draining;
	in_port_t port;
	int64_t revision;
	int64_t born_ms;
	int64_t warmup_left_ms;
};

static struct fake_row store_rows[TARGETS_MAX];
static int64_t store_revision;
/* The rows of the page being applied, in the order of its rows. */
static size_t page_rows[TARGETS_MAX];

static json_t *fake_value(const struct store_page *p, size_t i)
{
	(void)p;
	return json_integer((json_int_t)page_rows[i]);
}

static bool fake_target(void *arena, const char *key, const json_t *value,
			struct target_info *out)
{
	const struct fake_row *r = &store_rows[json_integer_value(value)];

	memset(out, 0, sizeof(*out));
	out->name = str_dup(arena, str_c(key));
	out->service = str_dup(arena, STR_LIT("pool"));
	out->zone = str_dup(arena, STR_LIT("a"));
	out->draining = r->draining;
	out->warmup_left_ms = r->warmup_left_ms;
	out->address.sin_port = r->port ? r->port : htons(80);
	out->id = str_hash(out->name, (uint64_t)r->born_ms);
	return true;
}

static const struct store_api fake_api = {.value = fake_value,
					  .target = fake_target};

static void write_row(size_t i, bool present, bool draining)
{
	store_rows[i].present = present;
	store_rows[i].draining = draining;
	store_rows[i].revision = ++store_revision;
}

static void reset_store(size_t n)
{
	memset(store_rows, 0, sizeof(store_rows));
	store_revision = 100;
	for (size_t i = 0; i < n; i++)
		write_row(i, true, false);
}

/*
 * Read the next page of the store into a table, from the row at which *at
 * stands. Return whether more pages follow.
 */
static bool read_page(struct target_table *t, size_t *at, size_t page_size,
		      int64_t now_ms)
{
	char keys[TARGETS_MAX][KEY_BYTES];
	struct store_row rows[TARGETS_MAX];
	struct store_page p = {.rows = rows, .revision = store_revision};

	for (; *at < TARGETS_MAX && p.n < page_size; ++*at) {
		if (!store_rows[*at].present)
			continue;
		g_snprintf(keys[p.n], KEY_BYTES, "t%03d", (int)*at);
		rows[p.n] = (struct store_row){
			keys[p.n], store_rows[*at].revision, false, NULL};
		page_rows[p.n++] = *at;
	}
	p.more = *at < TARGETS_MAX;
	for (size_t i = 0; i < p.n; i++)
		target_table_apply_row(t, &fake_api, &p, i, now_ms);
	target_table_end_page(t, &p);
	return p.more;
}

/* Read the store into a table, in pages of the given size. */
static void read_store(struct target_table *t, size_t page_size,
		       bool remove_missing, int64_t now_ms)
{
	size_t at = 0;

	target_table_begin_read(t);
	while (read_page(t, &at, page_size, now_ms))
		continue;
	target_table_finish_read(t, remove_missing, now_ms);
}

/*
 * Let a table learn from another one; return the messages that it took. After
 * max messages the next answer is lost, which ends the series.
 */
static int sync_up_to(struct target_table *to, const struct target_table *from,
		      int max, bool *history_lost)
{
	char after_key[KEY_BYTES] = "";
	struct store_query q = {
		.targets_hash = target_table_hash(to),
		.targets_revision = target_table_revision(to),
		.after_key = after_key,
	};
	int messages = 0;
	bool more = true;

	*history_lost = false;
	while (more && messages < max) {
		struct target_update updates[TARGET_UPDATES_MAX];
		struct store_query_answer a = {
			.targets_hash = target_table_hash(from),
			.targets_revision = target_table_revision(from),
			.updates = {0, updates},
		};

		if (q.targets_hash != a.targets_hash)
			target_table_updates(from, &q, &a);
		target_table_apply_updates(to, &a, 1000);
		*history_lost |= a.history_lost;
		more = a.more;
		messages++;
		if (a.updates.updates_len) {
			const struct target_update *last =
				&updates[a.updates.updates_len - 1];

			q.after_noticed = last->noticed;
			g_strlcpy(after_key, last->key, KEY_BYTES);
		}
	}
	return messages;
}

/* The same with no answer lost. */
static int sync_tables(struct target_table *to, const struct target_table *from,
		       bool *history_lost)
{
	return sync_up_to(to, from, G_MAXINT, history_lost);
}

static size_t list_size(struct target_table *t)
{
	struct target_list *l = target_table_list(t);
	size_t n = l->n;

	target_list_unref(l);
	return n;
}

/*
 * Half of the targets are replaced at once, more changes than a message has
 * room for: a node gets them all from another one, in several messages.
 */
static void test_many_changes(void)
{
	struct target_table *relay = target_table_new();
	struct target_table *node = target_table_new();
	bool lost;

	reset_store(40);
	read_store(relay, 100, true, 1000);
	read_store(node, 100, true, 1000);
	for (size_t i = 0; i < 20; i++) {
		write_row(i, false, false);
		write_row(40 + i, true, false);
	}
	read_store(relay, 100, true, 1000);
	g_assert_cmpint(sync_tables(node, relay, &lost), >, 2);
	g_assert_false(lost);
	g_assert_cmpuint(target_table_hash(node), ==, target_table_hash(relay));
	g_assert_cmpint(target_table_revision(node), ==,
			target_table_revision(relay));
	g_assert_cmpuint(list_size(node), ==, 40);
	target_table_free(relay);
	target_table_free(node);
}

/*
 * Random changes, read by two readers at different moments and in pages of
 * different sizes, while a node asks one or the other and misses some rounds.
 * After each series its list is that of the one it asked. The exception is a
 * target that was removed and came back between two reads of that one, which
 * noticed nothing: the hashes then differ, and the node reads the store itself.
 */
static void test_readers_differ(void)
{
	GRand *rand = g_rand_new_with_seed(11);
	struct target_table *readers[2] = {target_table_new(),
					   target_table_new()};
	struct target_table *node = target_table_new();
	int own_reads = 0, series = 0;

	reset_store(30);
	read_store(readers[0], 7, true, 1000);
	read_store(readers[1], 500, true, 1000);
	read_store(node, 500, true, 1000);
	for (int round = 0; round < 2000; round++) {
		struct target_table *r = readers[g_rand_int_range(rand, 0, 2)];
		bool lost;

		for (int i = g_rand_int_range(rand, 0, 6); i > 0; i--)
			write_row(
				(size_t)g_rand_int_range(rand, 0, TARGETS_MAX),
				g_rand_boolean(rand), false);
		read_store(r, g_rand_boolean(rand) ? 7 : 500, true, 1000);
		if (target_table_revision(r) < target_table_revision(node) ||
		    g_rand_boolean(rand))
			continue;
		sync_tables(node, r, &lost);
		g_assert_false(lost);
		series++;
		if (target_table_hash(node) != target_table_hash(r)) {
			read_store(node, 500, true, 1000);
			own_reads++;
		}
		g_assert_cmpuint(target_table_hash(node), ==,
				 target_table_hash(r));
		g_assert_cmpuint(list_size(node), ==, list_size(r));
	}
	g_test_message("%d own reads in %d series", own_reads, series);
	g_assert_cmpint(own_reads * 10, <, series);
	target_table_free(readers[0]);
	target_table_free(readers[1]);
	target_table_free(node);
	g_rand_free(rand);
}

/* A node that asks for changes from before a reader's start must read itself.
 */
static void test_history_lost(void)
{
	struct target_table *relay = target_table_new();
	struct target_table *node = target_table_new();
	bool lost;

	reset_store(10);
	read_store(node, 500, true, 1000);
	write_row(3, false, false);
	read_store(relay, 500, true, 1000);
	sync_tables(node, relay, &lost);
	g_assert_true(lost);
	g_assert_cmpuint(target_table_hash(node), !=, target_table_hash(relay));
	target_table_free(relay);
	target_table_free(node);
}

/* A target that was leaving and says that it is ready gets requests again. */
static void test_ready_again(void)
{
	struct target_table *t = target_table_new();
	struct target_table *node = target_table_new();
	struct target_list *l;
	bool lost;

	reset_store(1);
	read_store(t, 500, true, 1000);
	read_store(node, 500, true, 1000);
	write_row(0, true, true);
	read_store(t, 500, true, 1000);
	sync_tables(node, t, &lost);
	write_row(0, true, false);
	read_store(t, 500, true, 1000);
	sync_tables(node, t, &lost);
	l = target_table_list(t);
	g_assert_false(l->v[0].draining);
	target_list_unref(l);
	l = target_table_list(node);
	g_assert_false(l->v[0].draining);
	target_list_unref(l);
	target_table_free(t);
	target_table_free(node);
}

/*
 * The store comes back from a copy in which a target that was removed and one
 * that was leaving are ready. Neither gets requests again. Its revisions are
 * given out again, with other content.
 */
static void test_restored_store(void)
{
	struct target_table *t = target_table_new();
	struct target_list *l;
	struct fake_row copy[TARGETS_MAX];
	int64_t copy_revision;

	reset_store(5);
	memcpy(copy, store_rows, sizeof(copy));
	copy_revision = store_revision;
	read_store(t, 500, true, 900);
	write_row(1, true, true);   /* t001 is leaving */
	write_row(2, false, false); /* t002 is gone */
	write_row(6, true, false);  /* t006 has joined */
	read_store(t, 500, true, 1000);
	memcpy(store_rows, copy, sizeof(copy));
	store_revision = copy_revision;
	target_table_new_era(t, 2000);
	write_row(7, true, false); /* at the revision that t001 had */
	read_store(t, 500, false, 2100);
	l = target_table_list(t);
	g_assert_cmpuint(l->n, ==, 6); /* t000 1 3 4 6 7 */
	for (size_t i = 0; i < l->n; i++) {
		g_assert_false(str_eq(l->v[i].name, STR_LIT("t002")));
		if (str_eq(l->v[i].name, STR_LIT("t001")))
			g_assert_true(l->v[i].draining);
	}
	target_list_unref(l);
	/* The row of a target that lives is still there later: it is used. */
	store_rows[2].revision = ++store_revision;
	read_store(t, 500, true, 9000);
	g_assert_cmpuint(list_size(t), ==, 6); /* t006 is gone, t002 is back */
	target_table_free(t);
}

/* Sums the times that cold rows give. */
static void add_left(void *ctx, const struct target_info *t, int64_t now_ms)
{
	(void)now_ms;
	*(int64_t *)ctx += t->warmup_left_ms;
}

/*
 * A row that says that its target has become cold is not noticed, as it is the
 * same target; or it counts again with each read.
 */
static void test_cold_rows(void)
{
	struct target_table *t = target_table_new();
	int64_t sum_ms = 0;
	struct target_list *l;

	reset_store(6);
	target_table_on_cold(t, add_left, &sum_ms);
	read_store(t, 500, true, 1000);
	g_assert_cmpint(sum_ms, ==, 0);
	l = target_table_list(t);
	target_list_unref(l);
	store_rows[2].warmup_left_ms = 300;
	write_row(2, true, false);
	read_store(t, 500, true, 2000);
	g_assert_cmpint(sum_ms, ==, 300);
	g_assert_false(target_table_changed(t));
	read_store(t, 500, true, 3000);
	g_assert_cmpint(sum_ms, ==, 300);
	store_rows[2].warmup_left_ms = 200;
	write_row(2, true, false);
	read_store(t, 500, true, 4000);
	g_assert_cmpint(sum_ms, ==, 500);
	target_table_free(t);
}

/* A target's place in a table's list. */
struct listed {
	bool present, draining;
	in_port_t port;
};

/* Look a target up in a table's list. */
static struct listed lookup(struct target_table *t, size_t i)
{
	struct target_list *l = target_table_list(t);
	char key[KEY_BYTES];
	struct listed out = {0};

	g_snprintf(key, KEY_BYTES, "t%03d", (int)i);
	for (size_t k = 0; k < l->n; k++)
		if (str_eq(l->v[k].name, str_c(key)))
			out = (struct listed){true, l->v[k].draining,
					      l->v[k].address.sin_port};
	target_list_unref(l);
	return out;
}

/*
 * A node keeps a removed target in use because it has read a later heartbeat of
 * its row than the node that tells of the removal.
 */
static void test_removal_after_heartbeat(void)
{
	struct target_table *relay = target_table_new();
	struct target_table *node = target_table_new();
	bool lost;

	reset_store(10);
	read_store(relay, 500, true, 1000);
	write_row(3, true, false); /* a heartbeat */
	read_store(node, 500, true, 1000);
	write_row(3, false, false);
	read_store(relay, 500, true, 1000);
	g_assert_false(lookup(relay, 3).present);
	sync_tables(node, relay, &lost);
	g_assert_false(lost);
	g_assert_false(lookup(node, 3).present);
	target_table_free(relay);
	target_table_free(node);
}

/* The same with reads of several pages: the heartbeat comes between two. */
static void test_removal_between_pages(void)
{
	struct target_table *relay = target_table_new();
	struct target_table *node = target_table_new();
	size_t at = 0;
	bool lost;

	reset_store(20);
	read_store(relay, 500, true, 1000);
	target_table_begin_read(relay);
	g_assert_true(read_page(relay, &at, 7, 1000));
	write_row(15, true, false);
	read_store(node, 500, true, 1000);
	write_row(15, false, false);
	while (read_page(relay, &at, 7, 1000))
		continue;
	target_table_finish_read(relay, true, 1000);
	g_assert_false(lookup(relay, 15).present);
	sync_tables(node, relay, &lost);
	g_assert_false(lookup(node, 15).present);
	target_table_free(relay);
	target_table_free(node);
}

/*
 * Lets a node learn from a relay, in a series that is cut after its first
 * message, that t000 was removed or is draining, and then ask a relay that is
 * behind, for which t000 is ready.
 */
static void check_told_by_one_behind(bool present)
{
	struct target_table *ahead = target_table_new();
	struct target_table *behind = target_table_new();
	struct target_table *node = target_table_new();
	struct listed l;
	bool lost;

	reset_store(60);
	store_rows[0].present = false;
	read_store(ahead, 500, true, 1000);
	read_store(behind, 500, true, 1000);
	read_store(node, 500, true, 1000);
	write_row(0, true, false);
	read_store(ahead, 500, true, 1000);
	read_store(behind, 500, true, 1000);
	write_row(0, present, present);
	read_store(ahead, 500, true, 1000);
	/* Noticed later, so that they follow in the next messages. */
	for (size_t i = 20; i < 60; i++)
		write_row(i, false, false);
	read_store(ahead, 500, true, 1000);
	g_assert_cmpint(sync_up_to(node, ahead, 1, &lost), ==, 1);
	g_assert_cmpint(target_table_revision(node), <,
			target_table_revision(behind));
	l = lookup(node, 0);
	g_assert_true(l.present == present && l.draining == present);
	sync_tables(node, behind, &lost);
	l = lookup(node, 0);
	g_assert_true(l.present == present && l.draining == present);
	target_table_free(ahead);
	target_table_free(behind);
	target_table_free(node);
}

/*
 * A node uses a target again of whose removal it was told, as a relay that is
 * behind tells of the row at the same revision.
 */
static void test_removal_undone(void)
{
	check_told_by_one_behind(false);
}

/* The same of a target that is draining, whose row has a newer revision. */
static void test_draining_undone(void)
{
	check_told_by_one_behind(true);
}

/*
 * A target that comes back under its id while a relay reads the page after the
 * one that lacked its row stays out of use, because the relay takes the row for
 * older than its removal; also on a node that is told of both.
 */
static void test_back_between_pages(void)
{
	struct target_table *relay = target_table_new();
	struct target_table *node = target_table_new();
	size_t at = 0;
	bool lost;

	reset_store(20);
	read_store(relay, 500, true, 1000);
	write_row(3, true, false); /* a heartbeat */
	read_store(node, 500, true, 1000);
	write_row(3, false, false);
	target_table_begin_read(relay);
	g_assert_true(read_page(relay, &at, 7, 1000));
	store_rows[3].port = 1;
	write_row(3, true, false);
	write_row(4, true, false);
	while (read_page(relay, &at, 7, 1000))
		continue;
	target_table_finish_read(relay, true, 1000);
	g_assert_false(lookup(relay, 3).present);
	sync_tables(node, relay, &lost);
	read_store(relay, 7, true, 1000);
	g_assert_true(lookup(relay, 3).present);
	g_assert_cmpint(lookup(relay, 3).port, ==, 1);
	sync_tables(node, relay, &lost);
	g_assert_true(lookup(node, 3).present);
	g_assert_cmpint(lookup(node, 3).port, ==, 1);
	/* It goes again, and comes back between two reads of the relay. */
	write_row(3, false, false);
	read_store(node, 7, true, 1000);
	g_assert_false(lookup(node, 3).present);
	store_rows[3].port = 2;
	write_row(3, true, false);
	read_store(relay, 7, true, 1000);
	sync_tables(node, relay, &lost);
	g_assert_true(lookup(node, 3).present);
	g_assert_cmpint(lookup(node, 3).port, ==, 2);
	target_table_free(relay);
	target_table_free(node);
}

/*
 * A relay that is behind tells of a row between two pages of a node's own read,
 * of which the first has shown that the row is gone: the read takes it for one
 * that it has seen, and the list for complete.
 */
static void test_told_between_pages(void)
{
	struct target_table *relay = target_table_new();
	struct target_table *node = target_table_new();
	size_t at = 0;
	bool lost;

	reset_store(20);
	store_rows[3].present = false;
	read_store(relay, 500, true, 1000);
	read_store(node, 500, true, 1000);
	write_row(3, true, false);
	read_store(relay, 500, true, 1000);
	write_row(3, false, false);
	target_table_begin_read(node);
	g_assert_true(read_page(node, &at, 7, 1000));
	sync_tables(node, relay, &lost);
	while (read_page(node, &at, 7, 1000))
		continue;
	target_table_finish_read(node, true, 1000);
	g_assert_cmpint(target_table_revision(node), ==, store_revision);
	g_assert_false(lookup(node, 3).present);
	target_table_free(relay);
	target_table_free(node);
}

/*
 * Random: some tables read a store at random times, in pages between which
 * others act, and learn from each other, with answers that are lost. Each time
 * a target becomes ready its row gets another port, which names this life.
 */
#define RANDOM_TABLES  5
#define RANDOM_TARGETS 48
#define RANDOM_SEEDS   40
#define RANDOM_STEPS   600

struct random_table {
	struct target_table *t;
	int64_t confirmed; /* revision at the start of its last read, or of the
			      one that it learned from */
	size_t at;         /* of the read in progress */
	bool reading;
	int64_t read_revision; /* at its start */
	/* Last life of each target that the table has known to leave. */
	in_port_t left[RANDOM_TARGETS];
	struct listed listed[RANDOM_TARGETS];
};

/* Note what a table lists now, and check that nothing came back. */
static void check_random(struct random_table *r, uint32_t seed, int step,
			 bool fails)
{
	struct target_list *l = target_table_list(r->t);
	struct listed now[RANDOM_TARGETS] = {{0}};

	for (size_t k = 0; k < l->n; k++) {
		long i = strtol(l->v[k].name.data + 1, NULL, 10);

		now[i] = (struct listed){true, l->v[k].draining,
					 l->v[k].address.sin_port};
	}
	target_list_unref(l);
	for (size_t i = 0; i < RANDOM_TARGETS; i++) {
		const struct listed *was = &r->listed[i];
		bool ready = now[i].present && !now[i].draining;

		if (was->present && (!ready || now[i].port != was->port))
			r->left[i] = MAX(r->left[i], was->port);
		if (now[i].present && now[i].draining)
			r->left[i] = MAX(r->left[i], now[i].port);
		if (fails && ready && now[i].port <= r->left[i]) {
			g_test_message("seed %u step %d: t%03d is used again",
				       seed, step, (int)i);
			g_assert_not_reached();
		}
		r->listed[i] = now[i];
	}
}

/* Check that a table lists nothing that the one it asked knows to have left. */
static void check_complete(const struct random_table *to,
			   const struct random_table *from, uint32_t seed,
			   int step)
{
	for (size_t i = 0; i < RANDOM_TARGETS; i++) {
		const struct listed *l = &to->listed[i];

		if (!l->present || l->draining || l->port > from->left[i])
			continue;
		g_test_message("seed %u step %d: t%03d is used after an "
			       "exchange in which it had left",
			       seed, step, (int)i);
		g_assert_not_reached();
	}
}

/* Change a random row of the store. */
static void write_random(GRand *rand)
{
	size_t i = (size_t)g_rand_int_range(rand, 0, RANDOM_TARGETS);
	struct fake_row *r = &store_rows[i];
	bool ready = r->present && !r->draining;

	switch (g_rand_int_range(rand, 0, 10)) {
	case 0: /* removed, draining or not */
		if (r->present)
			write_row(i, false, false);
		break;
	case 1:
		if (ready)
			write_row(i, true, true);
		break;
	case 2: /* another life, under the same id */
		if (!ready) {
			r->port++;
			write_row(i, true, false);
		}
		break;
	default: /* a heartbeat */
		if (r->present)
			write_row(i, true, r->draining);
	}
}

/* Read the next page, or the first one. */
static void read_random(struct random_table *r, GRand *rand)
{
	size_t page_size = g_rand_boolean(rand) ? 7 : 500;

	if (!r->reading) {
		target_table_begin_read(r->t);
		r->at = 0;
		r->read_revision = store_revision;
	}
	r->reading = read_page(r->t, &r->at, page_size, 1000);
	if (r->reading)
		return;
	target_table_finish_read(r->t, true, 1000);
	r->confirmed = MAX(r->confirmed, r->read_revision);
}

/* Run a seed; complete: check exchanges, else that nothing comes back. */
static void run_random(uint32_t seed, bool complete)
{
	GRand *rand = g_rand_new_with_seed(seed);
	struct random_table tables[RANDOM_TABLES] = {{0}};

	reset_store(RANDOM_TARGETS);
	for (size_t i = 0; i < RANDOM_TARGETS; i++)
		store_rows[i].port = 1;
	for (size_t i = 0; i < RANDOM_TABLES; i++) {
		tables[i].t = target_table_new();
		read_store(tables[i].t, 500, true, 1000);
		check_random(&tables[i], seed, 0, !complete);
	}
	for (int step = 1; step <= RANDOM_STEPS; step++) {
		int to = g_rand_int_range(rand, 0, RANDOM_TABLES);
		int from = g_rand_int_range(rand, 0, RANDOM_TABLES);
		int max = g_rand_boolean(rand) ? 1 : 100;
		struct random_table *r = &tables[to], *f = &tables[from];
		bool lost;

		for (int k = g_rand_int_range(rand, 0, 30); k > 0; k--)
			write_random(rand);
		if (g_rand_int_range(rand, 0, 3) == 0) {
			read_random(r, rand);
		} else if (f->confirmed > r->confirmed) {
			int n = sync_up_to(r->t, f->t, max, &lost);

			if (target_table_hash(r->t) == target_table_hash(f->t))
				r->confirmed = f->confirmed;
			check_random(r, seed, step, !complete);
			/* Whether the last message may have been cut off. */
			if (complete && !lost && n < max)
				check_complete(r, f, seed, step);
		}
		check_random(r, seed, step, !complete);
	}
	for (size_t i = 0; i < RANDOM_TABLES; i++)
		target_table_free(tables[i].t);
	g_rand_free(rand);
}

/*
 * A table lists a target as ready again after it has known that it leaves, as
 * another one is behind.
 */
static void test_random_stays_left(void)
{
	for (uint32_t seed = 1; seed <= RANDOM_SEEDS; seed++)
		run_random(seed, false);
}

/* A target that another table knows to have left is used after an exchange. */
static void test_random_exchange(void)
{
	for (uint32_t seed = 1; seed <= RANDOM_SEEDS; seed++)
		run_random(seed, true);
}

/*
 * A faulty node tells of a row or of its list at a revision that the store
 * never gets to: the target goes on to be used after it has drained, and no
 * other node's updates are asked for.
 */
static void test_odd_updates(void)
{
	static const struct {
		int64_t revision, noticed;
		u_int port;
	} cases[] = {
		{INT64_MAX, 101, 80}, {101, INT64_MAX, 80},
		{-1, 101, 80},        {101, -1, 80},
		{101, 101, 0},        {101, 101, 65536 + 80},
	};
	struct target_table *t = target_table_new();
	struct target_list *l;

	reset_store(1);
	read_store(t, 500, true, 1000);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct target_update u = {
			.key = (char *)"t000",
			.revision = cases[i].revision,
			.noticed = cases[i].noticed,
			.id = 7,
			.service = (char *)"odd",
			.zone = (char *)"a",
			.software_version = (char *)"v",
			.ip = 1,
			.port = cases[i].port,
		};
		struct store_query_answer answer = {
			.targets_revision = INT64_MAX,
			.targets_hash = target_table_hash(t),
			.updates = {1, &u},
		};

		target_table_apply_updates(t, &answer, 1000);
		g_assert_cmpint(target_table_revision(t), ==, store_revision);
		write_row(0, true, i % 2 == 0);
		read_store(t, 500, true, 1000);
		l = target_table_list(t);
		g_assert_cmpuint(l->n, ==, 1);
		g_assert_true(str_eq(l->v[0].service, STR_LIT("pool")));
		g_assert_cmpint(l->v[0].draining, ==, i % 2 == 0);
		target_list_unref(l);
	}
	target_table_free(t);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_set_level("error");
	g_test_add_func("/entry/target-table/many-changes", test_many_changes);
	g_test_add_func("/entry/target-table/readers-differ",
			test_readers_differ);
	g_test_add_func("/entry/target-table/history-lost", test_history_lost);
	g_test_add_func("/entry/target-table/ready-again", test_ready_again);
	g_test_add_func("/entry/target-table/restored-store",
			test_restored_store);
	g_test_add_func("/entry/target-table/odd-updates", test_odd_updates);
	g_test_add_func("/entry/target-table/cold-rows", test_cold_rows);
	g_test_add_func("/entry/target-table/removal-after-heartbeat",
			test_removal_after_heartbeat);
	g_test_add_func("/entry/target-table/removal-between-pages",
			test_removal_between_pages);
	g_test_add_func("/entry/target-table/removal-undone",
			test_removal_undone);
	g_test_add_func("/entry/target-table/draining-undone",
			test_draining_undone);
	g_test_add_func("/entry/target-table/back-between-pages",
			test_back_between_pages);
	g_test_add_func("/entry/target-table/told-between-pages",
			test_told_between_pages);
	g_test_add_func("/entry/target-table/random-stays-left",
			test_random_stays_left);
	g_test_add_func("/entry/target-table/random-exchange",
			test_random_exchange);
	return g_test_run();
}
