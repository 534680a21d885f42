#include <string.h>
#include <talloc.h>

#include "entry/follow.h"

/* Changes told in one message: it stays below what a link takes whole. */
#define NEWS_BYTES 1200
/* Pause after a call that failed, with a random part on top. */
#define PAUSE_MS        250
#define PAUSE_SPREAD_MS 150
/* Between two readings of the configuration by a node that is no reader. */
#define CONFIG_LEAST_MS 200
/* Changes are followed; the whole row is read this often all the same. */
#define CONFIG_READ_MS 2100
/* Entries that lapsed during an outage are back within 2 s of its end. */
#define RETURN_MS 2500
/* Time without an answer that counts as an outage. */
#define OUTAGE_MS 2500
/*
 * A node that doesn't read all the time begins to when what it holds was not
 * confirmed for this long, and at most this part of the time in which a leaving
 * target may still be used: a reading must fit into the rest.
 */
#define ALONE_MS   1300
#define ALONE_PART 0.65
/* Part of the time to revoke a key after which nobody else is relied on. */
#define TRUST_PART 0.4
/* It looks this often whether it must read. */
#define LOOK_MS 100
/* The list of targets is not read oftener than this. */
#define TARGETS_LEAST_MS 300
/* A reading of the list that has taken longer starts anew after a failure. */
#define READING_MS 2000
/* Readings of the targets within the time in which a leaving one may be used */
#define READS_IN_DRAIN 3

/* A target's entry as last read. */
struct listed {
	int64_t revision;
	bool usable;
	uint64_t read; /* number of the reading that had it */
	struct target_info info;
	void *arena;
};

/* A change of the list, to be told to those that ask. */
struct change {
	char *key;
	int64_t revision;
	bool gone;
};

struct follow {
	struct entry *e;
	const struct store_api *api;
	void *store;
	struct ev_loop *loop;
	ev_timer config_timer, targets_timer;
	GRand *rand;
	bool reader;
	bool up;

	int64_t config_version;
	int64_t config_revision; /* of the store; 0: read the row */
	int64_t config_read_ms;
	int64_t config_told_ms; /* a reader that keeps up held the same */
	bool config_stale;      /* a peer holds a newer one */
	bool config_busy;

	GHashTable *listed; /* key -> struct listed */
	uint64_t reading;
	char *from;           /* key from which the next page starts */
	int64_t begun_ms;     /* when the reading in progress was begun */
	int64_t answered_ms;  /* end of the last reading */
	int64_t confirmed_ms; /* the list held was the newest then; 0: never */
	int64_t returned_ms;  /* end of the last outage */
	uint64_t hash;        /* of the list held */
	GQueue *changes;      /* struct change, the newest first */
	bool targets_stale;
	bool targets_busy;
	bool changed;
};

static void again(struct follow *f, ev_timer *w, int64_t ms)
{
	timer_in(f->loop, w, ms);
}

static int64_t pause_ms(struct follow *f)
{
	return PAUSE_MS + g_rand_int_range(f->rand, 0, PAUSE_SPREAD_MS);
}

static void note_store(struct follow *f, const struct store_page *p)
{
	bool up = p->status != STORE_FAILED;

	if (up == f->up)
		return;
	f->up = up;
	log_event(up ? EV_STORE_REACHABLE : EV_STORE_UNREACHABLE,
		  "config=%d config_age_ms=%d", (int)f->config_version,
		  (int)(time_boot_ms() - atomic_load(&f->e->fresh_ms)));
}

/* Configuration. */

static bool apply_config(struct follow *f, const json_t *value)
{
	GError *err = NULL;
	struct entry_config *c = f->api->config(value, &err);

	if (!c) {
		log_event(EV_CONFIG_UNREADABLE, "error=\"%s\"", err->message);
		g_error_free(err);
		return false;
	}
	/* A read may come from the past. */
	if (c->version <= f->config_version) {
		bool same = c->version == f->config_version;

		entry_config_unref(c);
		return same;
	}
	f->config_version = c->version;
	f->config_stale = false;
	log_event(EV_CONFIG_APPLIED, "revision=%d routes=%d", (int)c->version,
		  (int)c->route_count);
	entry_publish_config(f->e, c);
	return true;
}

/* Returns false when what the page holds is not in force here. */
static bool take_config(struct follow *f, const struct store_page *p)
{
	bool ok = true;

	for (size_t i = 0; i < p->n; i++) {
		json_t *value;

		if (p->rows[i].deleted)
			continue;
		value = f->api->value(p, i);
		ok = apply_config(f, value);
		json_decref(value);
	}
	return ok && f->config_version >= 0;
}

/* A reader waits for a change at once; the others do not read in a row. */
static int64_t config_pause_ms(struct follow *f)
{
	if (f->config_version < 0)
		return pause_ms(f);
	return f->reader ? 0 : CONFIG_LEAST_MS;
}

static void on_config(void *ctx, const struct store_page *p)
{
	struct follow *f = ctx;

	f->config_busy = false;
	note_store(f, p);
	if (p->status != STORE_OK) {
		f->config_revision = 0;
		again(f, &f->config_timer,
		      p->status == STORE_GAP ? 0 : pause_ms(f));
		return;
	}
	if (take_config(f, p))
		entry_config_fresh(f->e, p->sent_ms);
	f->config_revision = p->revision;
	again(f, &f->config_timer, config_pause_ms(f));
}

/* Time without word after which a node reads although others do. */
static int64_t alone_ms(const struct follow *f)
{
	return MIN(ALONE_MS,
		   (int64_t)(ALONE_PART *
			     (double)f->e->control_set.bounds_drain_ms));
}

static bool is_alone(const struct follow *f, int64_t confirmed_ms,
		     int64_t now_ms)
{
	return !confirmed_ms || now_ms - confirmed_ms > alone_ms(f);
}

/* Whether the configuration held is the newest, as readers tell. */
static bool is_config_told(const struct follow *f, int64_t now_ms)
{
	struct reliance r = {
		.told_ms = f->config_told_ms,
		.fresh_ms = atomic_load(&f->e->fresh_ms),
		.alone_ms = alone_ms(f),
		.trust_ms =
			(int64_t)(TRUST_PART *
				  (double)f->e->control_set.bounds_revoke_ms),
	};

	return !f->config_stale && reliance_holds(&r, now_ms);
}

static int64_t config_wait_ms(const struct follow *f)
{
	return reader_wait_ms(f->e->control_set.store_config_wait_ms,
			      f->e->control_set.bounds_revoke_ms);
}

static void read_config(struct ev_loop *loop, ev_timer *w, int events)
{
	struct follow *f = w->data;
	int64_t now = time_boot_ms();
	bool due = now - f->config_read_ms >= CONFIG_READ_MS;

	(void)loop;
	(void)events;
	if (!f->reader && is_config_told(f, now)) {
		/* What was seen up to now can't be followed from there. */
		f->config_revision = 0;
		again(f, w, LOOK_MS);
		return;
	}
	f->config_busy = true;
	if (f->config_revision && f->reader && !due) {
		f->api->await(f->store, STORE_CONFIG, f->config_revision,
			      config_wait_ms(f), on_config, f);
		return;
	}
	f->config_read_ms = now;
	f->api->read(f->store, STORE_CONFIG, "", on_config, f);
}

/* Targets. */

static void listed_free(void *p)
{
	struct listed *l = p;

	talloc_free(l->arena);
	g_free(l);
}

static void change_free(void *p)
{
	g_free(((struct change *)p)->key);
	g_free(p);
}

static void note_change(struct follow *f, const char *key, int64_t revision,
			bool gone)
{
	struct change *c = g_new(struct change, 1);

	*c = (struct change){g_strdup(key), revision, gone};
	g_queue_push_head(f->changes, c);
	if (g_queue_get_length(f->changes) > TARGETS_TOLD_MAX)
		change_free(g_queue_pop_tail(f->changes));
	f->changed = true;
}

static void take_target(struct follow *f, const struct store_page *p, size_t i)
{
	const struct store_row *r = &p->rows[i];
	struct listed *l = g_hash_table_lookup(f->listed, r->key);
	struct target_info info;
	void *arena;
	json_t *value;
	bool usable;

	/* A read may come from the past. */
	if (l && l->revision >= r->revision) {
		l->read = f->reading;
		return;
	}
	if (!l) {
		l = g_new0(struct listed, 1);
		g_hash_table_insert(f->listed, g_strdup(r->key), l);
	}
	arena = talloc_new(NULL);
	value = f->api->value(p, i);
	usable = f->api->target(arena, r->key, value, &info);
	json_decref(value);
	if (!usable && (l->usable || !l->revision))
		log_event(EV_TARGET_UNREADABLE, "key=%s revision=%d", r->key,
			  (int)r->revision);
	/* Heartbeats change the row and nothing that matters here. */
	if (usable != l->usable ||
	    (usable && target_info_hash(&info) != target_info_hash(&l->info)))
		note_change(f, r->key, r->revision, !usable);
	talloc_free(l->arena);
	l->arena = arena;
	l->info = info;
	l->usable = usable;
	l->revision = r->revision;
	l->read = f->reading;
}

static gboolean has_gone(gpointer key, gpointer v, gpointer ctx)
{
	struct follow *f = ctx;
	struct listed *l = v;

	if (l->read == f->reading)
		return false;
	if (l->usable)
		note_change(f, key, l->revision, true);
	return true;
}

static void publish_targets(struct follow *f)
{
	struct target_list *l = target_list_new(g_hash_table_size(f->listed));
	GHashTableIter it;
	int leaving = 0;
	gpointer v;

	f->hash = 0;
	g_hash_table_iter_init(&it, f->listed);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct listed *x = v;
		struct target_info *t = &l->v[l->n];

		if (!x->usable)
			continue;
		*t = x->info;
		t->name = str_dup(l->arena, x->info.name);
		t->service = str_dup(l->arena, x->info.service);
		t->zone = str_dup(l->arena, x->info.zone);
		f->hash ^= target_info_hash(t);
		leaving += t->leaving;
		l->n++;
	}
	log_event(EV_TARGETS_CHANGED, "targets=%d leaving=%d", (int)l->n,
		  leaving);
	entry_publish_targets(f->e, l);
}

/* All pages have been read. */
static void end_reading(struct follow *f)
{
	int64_t now = time_boot_ms();
	int64_t known = MAX(f->answered_ms, f->confirmed_ms);
	bool first = !f->answered_ms;

	if (known && now - known > OUTAGE_MS)
		f->returned_ms = now;
	f->answered_ms = now;
	f->confirmed_ms = f->begun_ms;
	f->targets_stale = false;
	if (now - f->returned_ms > RETURN_MS)
		g_hash_table_foreach_remove(f->listed, has_gone, f);
	if (f->changed || first)
		publish_targets(f);
	f->changed = false;
}

static int64_t targets_pause_ms(const struct follow *f)
{
	return MIN(f->e->control_set.store_targets_poll_ms,
		   f->e->control_set.bounds_drain_ms / READS_IN_DRAIN);
}

static void on_targets(void *ctx, const struct store_page *p)
{
	struct follow *f = ctx;

	f->targets_busy = false;
	note_store(f, p);
	if (p->status != STORE_OK) {
		/* The pages read stay good for a while. */
		if (time_boot_ms() - f->begun_ms > READING_MS)
			g_clear_pointer(&f->from, g_free);
		again(f, &f->targets_timer, pause_ms(f));
		return;
	}
	g_clear_pointer(&f->from, g_free);
	for (size_t i = 0; i < p->n; i++)
		take_target(f, p, i);
	if (p->n && p->more) {
		/* The least key above the last one read. */
		f->from = g_strconcat(p->rows[p->n - 1].key, "\001", NULL);
		again(f, &f->targets_timer, 0);
		return;
	}
	end_reading(f);
	/* Others are called sooner by a word that names another list. */
	again(f, &f->targets_timer, targets_pause_ms(f));
}

static void read_targets(struct ev_loop *loop, ev_timer *w, int events)
{
	struct follow *f = w->data;
	int64_t now = time_boot_ms();
	/* While entries may be missing, what peers hold settles nothing. */
	bool settled = now - f->returned_ms > 2 * RETURN_MS;

	(void)loop;
	(void)events;
	if (!f->from && !f->reader && settled && !f->targets_stale &&
	    !is_alone(f, f->confirmed_ms, now)) {
		again(f, w, LOOK_MS);
		return;
	}
	if (!f->from) {
		f->reading++;
		f->begun_ms = now;
	}
	f->targets_busy = true;
	f->api->read(f->store, STORE_TARGETS, f->from ? f->from : "",
		     on_targets, f);
}

/* What peers know. */

void follow_set_reader(struct follow *f, bool reader)
{
	f->reader = reader;
}

static unsigned age_of(int64_t at_ms, int64_t now_ms)
{
	return at_ms ? (unsigned)MIN(now_ms - at_ms, UINT32_MAX) : UINT32_MAX;
}

static const char *text_of(struct str s)
{
	return s.data ? s.data : "";
}

static void tell_change(struct follow *f, const struct change *c,
			struct target_news *n)
{
	const struct listed *l = g_hash_table_lookup(f->listed, c->key);

	*n = (struct target_news){.key = c->key,
				  .revision = c->revision,
				  .gone = c->gone,
				  .service = (char *)"",
				  .zone = (char *)""};
	if (c->gone || !l || !l->usable)
		return;
	/* As it is now: a later change of the same entry stands before. */
	n->revision = l->revision;
	n->leaving = l->info.leaving;
	n->id = l->info.id;
	n->service = (char *)text_of(l->info.service);
	n->zone = (char *)text_of(l->info.zone);
	n->ip = l->info.address.sin_addr.s_addr;
	n->port = l->info.address.sin_port;
	n->slots = (u_int)l->info.slots;
}

/* Take one change that another node has read; false when it is not newer. */
static bool apply_news(struct follow *f, const struct target_news *n)
{
	struct listed *l = g_hash_table_lookup(f->listed, n->key);

	if (n->gone) {
		if (!l || l->revision > n->revision)
			return false;
		note_change(f, n->key, n->revision, true);
		g_hash_table_remove(f->listed, n->key);
		return true;
	}
	if (l && l->revision >= n->revision)
		return false;
	if (!l) {
		l = g_new0(struct listed, 1);
		g_hash_table_insert(f->listed, g_strdup(n->key), l);
	}
	talloc_free(l->arena);
	l->arena = talloc_new(NULL);
	l->usable = true;
	l->revision = n->revision;
	l->read = f->reading;
	l->info = (struct target_info){
		.id = n->id,
		.name = str_dup(l->arena, str_c(n->key)),
		.service = str_dup(l->arena, str_c(n->service)),
		.zone = str_dup(l->arena, str_c(n->zone)),
		.address = {.sin_family = AF_INET,
			    .sin_port = (in_port_t)n->port,
			    .sin_addr = {n->ip}},
		.slots = n->slots,
		.leaving = n->leaving,
	};
	note_change(f, n->key, n->revision, false);
	return true;
}

/* Take the changes told, oldest first. */
static void apply_told(struct follow *f, const struct store_word *word)
{
	bool any = false;

	for (u_int i = word->targets.targets_len; i-- > 0;)
		any |= apply_news(f, &word->targets.targets_val[i]);
	if (any)
		publish_targets(f);
	f->changed = false;
}

/* What one change takes of a message, lengths and padding included. */
static int news_bytes(const struct target_news *n)
{
	return (int)xdr_sizeof((xdrproc_t)xdr_target_news, (void *)n);
}

void follow_tell(struct follow *f, const struct store_ask *ask,
		 struct store_word *word, struct target_news *news)
{
	GList *at = f->changes->head;
	int64_t now = time_boot_ms();
	int room = NEWS_BYTES;
	bool settled = now - f->returned_ms > RETURN_MS;

	*word = (struct store_word){
		.asked_ms = ask->asked_ms,
		.config_version = f->config_version,
		.config_age_ms = age_of(atomic_load(&f->e->fresh_ms), now),
		.targets_hash = f->hash,
		.targets_age_ms =
			settled ? age_of(f->confirmed_ms, now) : UINT32_MAX,
		.targets = {0, news},
	};
	/* Who holds the same list needs no news. */
	if (ask->targets_hash == f->hash)
		return;
	for (; at && word->targets.targets_len < TARGETS_TOLD_MAX;
	     at = at->next) {
		struct target_news *n = &news[word->targets.targets_len];

		tell_change(f, at->data, n);
		room -= news_bytes(n);
		if (room < 0)
			break;
		word->targets.targets_len++;
	}
}

uint64_t follow_hash(const struct follow *f)
{
	return f->hash;
}

void follow_heard(struct follow *f, const struct store_word *word)
{
	/* The answer was given after the question, so this is not too new. */
	int64_t config_ms = word->asked_ms - word->config_age_ms;
	int64_t targets_ms = word->asked_ms - word->targets_age_ms;

	if (word->asked_ms > time_boot_ms())
		return;
	if (word->config_age_ms != UINT32_MAX &&
	    word->config_version == f->config_version) {
		entry_config_fresh(f->e, config_ms);
		if (reader_keeps_up(word->config_age_ms, config_wait_ms(f)))
			f->config_told_ms = word->asked_ms;
	}
	if (word->config_version > f->config_version) {
		f->config_stale = true;
		if (!f->config_busy)
			again(f, &f->config_timer, 0);
	}
	if (word->targets_age_ms == UINT32_MAX || !f->answered_ms ||
	    targets_ms <= f->confirmed_ms)
		return;
	if (word->targets_hash != f->hash && !f->targets_busy)
		apply_told(f, word);
	if (word->targets_hash == f->hash) {
		f->targets_stale = false;
		f->confirmed_ms = targets_ms;
		return;
	}
	f->targets_stale = true;
	if (!f->targets_busy &&
	    time_boot_ms() - f->answered_ms >= TARGETS_LEAST_MS)
		again(f, &f->targets_timer, 0);
}

static void start_timer(struct follow *f, ev_timer *w,
			void (*fn)(struct ev_loop *, ev_timer *, int))
{
	ev_timer_init(w, fn, 0, 0);
	w->data = f;
	ev_timer_start(f->loop, w);
}

struct follow *follow_new(struct entry *e, struct ev_loop *loop)
{
	struct follow *f = g_new0(struct follow, 1);

	f->e = e;
	f->api = e->o->store;
	f->loop = loop;
	f->store = e->store;
	f->rand = g_rand_new();
	f->config_version = -1;
	f->reader = true;
	f->up = true;
	f->returned_ms = INT64_MIN / 2;
	f->changes = g_queue_new();
	f->listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  listed_free);
	start_timer(f, &f->config_timer, read_config);
	start_timer(f, &f->targets_timer, read_targets);
	return f;
}

void follow_free(struct follow *f)
{
	ev_timer_stop(f->loop, &f->config_timer);
	ev_timer_stop(f->loop, &f->targets_timer);
	g_queue_free_full(f->changes, change_free);
	g_hash_table_unref(f->listed);
	g_rand_free(f->rand);
	g_free(f->from);
	g_free(f);
}
