/* What is known of targets: their own words, and who can reach them. */
#include "member/internal.h"

#define REFUSALS_DOWN 2
/* A target that nobody tries any more is let be tried again. */
#define DOWN_FOR_MS    10000
#define REFUSED_FOR_MS 500
/* A refusal later than this after the one before begins a new series. */
#define REFUSED_GAP_MS 5000
/* An observer's word counts for so long unless it is said again. */
#define WORD_FOR_MS    6000
#define WORD_AGAIN_MS  2000
#define OBSERVERS_DOWN 2
/* More observers of a dead target stay silent. */
#define OBSERVERS_MAX 4
/* An answer within this time stands against what observers say. */
#define ANSWERED_FOR_MS 2000
#define HOLD_FIRST_MS   1000
#define HOLD_MAX_MS     60000
/* A target up for so long is no longer held to have flapped. */
#define STEADY_MS 60000
/* A target's word that it takes work again counts only after this time. */
#define LEAVING_MIN_MS 3000
#define LEAVING_FOR_MS 60000
#define KEEP_MS        (600 * 1000)

void targets_free(void *entry)
{
	struct target_entry *t = entry;

	g_ptr_array_unref(t->facts);
	g_free(t);
}

static struct target_entry *find(const struct member *m, uint64_t id)
{
	return g_hash_table_lookup(m->targets, &id);
}

static struct target_entry *find_or_add(struct member *m, uint64_t id)
{
	struct target_entry *t = find(m, id);

	if (!t) {
		t = g_new0(struct target_entry, 1);
		t->id = id;
		t->facts = g_ptr_array_new_with_free_func(g_free);
		t->hold_ms = HOLD_FIRST_MS;
		t->answered_ms = INT64_MIN / 2;
		g_hash_table_insert(m->targets, &t->id, t);
	}
	t->touched_ms = m->now_ms;
	return t;
}

static struct target_fact *fact(const struct target_entry *t, uint64_t observer)
{
	for (guint i = 0; i < t->facts->len; i++) {
		struct target_fact *f = g_ptr_array_index(t->facts, i);

		if (f->observer == observer)
			return f;
	}
	return NULL;
}

static unsigned observers_down(const struct target_entry *t, int64_t now_ms)
{
	unsigned n = 0;

	for (guint i = 0; i < t->facts->len; i++) {
		const struct target_fact *f = g_ptr_array_index(t->facts, i);

		if (f->observer && f->word == TARGET_WORD_DOWN &&
		    now_ms - f->heard_ms < WORD_FOR_MS)
			n++;
	}
	return n;
}

static void set_fact(struct member *m, struct target_entry *t,
		     const struct target_record *r)
{
	struct target_fact *f = fact(t, r->observer);
	bool changed = !f || f->word != r->word;

	if (!f) {
		f = g_new0(struct target_fact, 1);
		f->news = (struct news){.kind = NEWS_TARGET, .owner = f};
		f->target = t->id;
		f->observer = r->observer;
		g_ptr_array_add(t->facts, f);
	}
	f->serial = r->serial;
	f->word = r->word;
	f->heard_ms = m->now_ms;
	if (changed)
		m->view++;
	news_queue(m, &f->news, r->observer ? NEWS_JOIN : NEWS_URGENT, false);
}

/* Say something of our own: the serial goes past the last one heard. */
static void say(struct member *m, struct target_entry *t, uint64_t observer,
		enum target_word word)
{
	const struct target_fact *f = fact(t, observer);

	set_fact(m, t,
		 &(struct target_record){t->id, observer, f ? f->serial + 1 : 1,
					 word});
}

void targets_merge(struct member *m, const struct target_record *r)
{
	struct target_entry *t = find_or_add(m, r->id);
	const struct target_fact *f = fact(t, r->observer);

	if (f && (r->serial < f->serial ||
		  (r->serial == f->serial && r->word <= f->word)))
		return;
	if (!f && r->observer && t->facts->len > OBSERVERS_MAX)
		return;
	set_fact(m, t, r);
}

static void note_refused(struct member *m, struct target_entry *t)
{
	int64_t now = m->now_ms;

	if (!t->refusals || now - t->refused_ms > REFUSED_GAP_MS) {
		t->refusals = 0;
		t->refused_ms = now;
	}
	t->refusals++;
	t->refused_last_ms = now;
	if (t->down || t->refusals < REFUSALS_DOWN ||
	    now - t->refused_ms < REFUSED_FOR_MS)
		return;
	t->down = true;
	m->view++;
	if (observers_down(t, now) < OBSERVERS_MAX)
		say(m, t, m->self->seen.id, TARGET_WORD_DOWN);
}

/* Up again: held back for a time that doubles with each such return. */
static void come_up(struct member *m, struct target_entry *t)
{
	t->down = false;
	m->view++;
	if (m->now_ms - t->hold_until_ms > STEADY_MS)
		t->hold_ms = HOLD_FIRST_MS;
	t->hold_until_ms = m->now_ms + t->hold_ms;
	t->hold_ms = MIN(2 * t->hold_ms, HOLD_MAX_MS);
	if (fact(t, m->self->seen.id))
		say(m, t, m->self->seen.id, TARGET_WORD_UP);
}

static void note_answered(struct member *m, struct target_entry *t)
{
	t->answered_ms = m->now_ms;
	t->refusals = 0;
	if (t->silent_ms)
		m->view++;
	t->silent_ms = 0;
	if (t->down)
		come_up(m, t);
}

static void note_leaves(struct member *m, struct target_entry *t)
{
	const struct target_fact *f = fact(t, 0);

	note_answered(m, t);
	if (!f || f->word != TARGET_WORD_LEAVING)
		say(m, t, 0, TARGET_WORD_LEAVING);
}

static void note_takes(struct member *m, struct target_entry *t)
{
	const struct target_fact *f = fact(t, 0);

	note_answered(m, t);
	if (f && f->word == TARGET_WORD_LEAVING &&
	    m->now_ms - f->heard_ms >= LEAVING_MIN_MS)
		say(m, t, 0, TARGET_WORD_LIVE);
}

static void note_silent(struct member *m, struct target_entry *t)
{
	if (!t->silent_ms)
		m->view++;
	t->silent_ms = m->now_ms;
}

static void (*const noted[])(struct member *, struct target_entry *) = {
	[TARGET_ANSWERED] = note_answered, [TARGET_SILENT] = note_silent,
	[TARGET_REFUSED] = note_refused,   [TARGET_LEAVES] = note_leaves,
	[TARGET_TAKES] = note_takes,
};

void member_note_target(struct member *m, int64_t now_ms, const char *target,
			enum target_note note)
{
	m->now_ms = MAX(m->now_ms, now_ms);
	noted[note](m, find_or_add(m, member_id(target)));
}

enum target_view member_target(const struct member *m, int64_t now_ms,
			       const char *target)
{
	const struct target_entry *t = find(m, member_id(target));
	const struct target_fact *f = t ? fact(t, 0) : NULL;

	if (!t)
		return TARGET_VIEW_LIVE;
	if (f && f->word == TARGET_WORD_LEAVING)
		return TARGET_VIEW_LEAVING;
	if (t->down || (observers_down(t, now_ms) >= OBSERVERS_DOWN &&
			now_ms - t->answered_ms > ANSWERED_FOR_MS))
		return TARGET_VIEW_DOWN;
	if (now_ms < t->hold_until_ms)
		return TARGET_VIEW_FLAPPING;
	return t->silent_ms ? TARGET_VIEW_SILENT : TARGET_VIEW_LIVE;
}

static void drop_fact(struct member *m, struct target_entry *t, guint i)
{
	struct target_fact *f = g_ptr_array_index(t->facts, i);

	news_drop(m, &f->news);
	g_ptr_array_remove_index_fast(t->facts, i);
}

/*
 * A leaving target that is still there after this time is asked again: by then
 * the list tells whether it is to be used.
 */
static int64_t keep_ms(const struct target_fact *f)
{
	if (f->observer)
		return WORD_FOR_MS;
	return f->word == TARGET_WORD_LEAVING ? LEAVING_FOR_MS : KEEP_MS;
}

/* Words of observers run out; this node's own is said again while it holds. */
static void sweep_facts(struct member *m, struct target_entry *t)
{
	uint64_t self = m->self->seen.id;

	for (guint i = t->facts->len; i-- > 0;) {
		const struct target_fact *f = g_ptr_array_index(t->facts, i);
		int64_t age_ms = m->now_ms - f->heard_ms;

		if (f->observer == self && t->down && age_ms >= WORD_AGAIN_MS &&
		    observers_down(t, m->now_ms) <= OBSERVERS_MAX)
			say(m, t, self, TARGET_WORD_DOWN);
		else if (age_ms >= keep_ms(f)) {
			drop_fact(m, t, i);
			m->view++;
		}
	}
}

void targets_sweep(struct member *m)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, m->targets);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct target_entry *t = p;

		sweep_facts(m, t);
		if (t->down && m->now_ms - t->refused_last_ms >= DOWN_FOR_MS)
			come_up(m, t);
		if (m->now_ms - t->touched_ms < KEEP_MS)
			continue;
		while (t->facts->len)
			drop_fact(m, t, 0);
		g_hash_table_iter_remove(&it);
		m->view++;
	}
}
