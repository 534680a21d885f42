/*
 * Saves what crashes targets to a row of the store, so that a fleet of which
 * all nodes have restarted goes on to refuse it. One node writes the row, soon
 * after each change; each node reads it once, when it starts (holders-store.c).
 * Times are saved by the wall clock, as the boot-time clock differs between
 * nodes. Runs on the control thread.
 */
#include "entry/store-clients.h"

/* Causes that are saved; some 500 bytes each. */
#define SAVED_MAX 32
/* Bounds the rate of writes, and the loss when all nodes stop at once. */
#define SAVE_INTERVAL_MS 200
#define RETRY_MS         1500
#define ROW_KEY          "causes"

struct causes_store {
	struct entry *e;
	const struct store_api *api;
	void *store;
	struct ev_loop *loop;
	ev_timer timer;
	bool loaded;
	bool writer;
	int64_t era;            /* of the store, at the last call */
	uint64_t saved_changes; /* crash_causes_changes() at the last save */
};

static json_t *encode_cause(const struct cause_record *r,
			    int64_t wall_offset_ms)
{
	json_t *crashes = json_array();

	for (uint32_t i = 0; i < r->crash_count; i++)
		json_array_append_new(
			crashes,
			json_pack("[I,I,I]", (json_int_t)r->crashes[i].target,
				  (json_int_t)r->crashes[i].attempt,
				  (json_int_t)r->crashes[i].at_ms +
					  wall_offset_ms));
	return json_pack("[I,I,o,b,b]", (json_int_t)r->key,
			 (json_int_t)r->depth, crashes, r->whole, r->blocked);
}

static json_t *encode_row(struct crash_causes *f)
{
	struct cause_record v[SAVED_MAX];
	size_t n = crash_causes_list(f, v, SAVED_MAX);
	int64_t wall_offset_ms = time_now_ms() - time_boot_ms();
	json_t *rows = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(rows,
				      encode_cause(&v[i], wall_offset_ms));
	return json_pack("{s:o}", ROW_KEY, rows);
}

/* Decode a cause; false when it is malformed. */
static bool decode_cause(const json_t *row, int64_t wall_offset_ms,
			 struct cause_record *r)
{
	json_int_t key, depth, target, attempt, at_ms;
	json_t *crashes, *c;
	int whole, blocked;
	size_t i;

	if (json_unpack((json_t *)row, "[I,I,o,b,b]", &key, &depth, &crashes,
			&whole, &blocked) < 0)
		return false;
	r->key = (uint64_t)key;
	r->depth = (uint32_t)depth;
	r->whole = whole;
	r->blocked = blocked;
	json_array_foreach (crashes, i, c) {
		if (r->crash_count == CAUSE_CRASHES_MAX ||
		    json_unpack(c, "[I,I,I]", &target, &attempt, &at_ms) < 0)
			return false;
		/* This machine may have started after the crash. */
		at_ms = CLAMP(at_ms, wall_offset_ms + 1,
			      wall_offset_ms + time_boot_ms());
		r->crashes[r->crash_count++] = (struct cause_crash){
			(uint32_t)target, (uint32_t)attempt,
			at_ms - wall_offset_ms};
	}
	return true;
}

void causes_store_load(struct causes_store *s, const json_t *row)
{
	int64_t now = time_boot_ms();
	int64_t wall_offset_ms = time_now_ms() - now;
	const json_t *cause;
	size_t i;

	json_array_foreach (json_object_get(row, ROW_KEY), i, cause) {
		/* When it last came is not known: it may have just now. */
		struct cause_record r = {.asked_ms = now};

		if (decode_cause(cause, wall_offset_ms, &r))
			crash_causes_receive(s->e->crash_causes, &r, now);
		else
			metric_add(M_CONTROL_MALFORMED_TOTAL, 1);
	}
}

void causes_store_set_loaded(struct causes_store *s, int64_t era)
{
	s->loaded = true;
	s->era = era;
	s->saved_changes = crash_causes_changes(s->e->crash_causes);
}

static void on_saved(void *ctx, const struct store_page *p)
{
	struct causes_store *s = ctx;

	/*
	 * Retry a failed write, and write again what a store that came back
	 * from a copy has lost.
	 */
	if (p->status != STORE_OK || p->era > s->era)
		s->saved_changes = 0;
	s->era = MAX(s->era, p->era);
	timer_start_once(s->loop, &s->timer,
			 p->status == STORE_OK ? SAVE_INTERVAL_MS : RETRY_MS);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct causes_store *s = w->data;
	uint64_t changes = crash_causes_changes(s->e->crash_causes);
	json_t *row;

	(void)events;
	if (!s->loaded || !s->writer || changes == s->saved_changes) {
		timer_start_once(loop, w, SAVE_INTERVAL_MS);
		return;
	}
	s->saved_changes = changes;
	row = encode_row(s->e->crash_causes);
	s->api->write(s->store, STORE_PROMPTS, ROW_KEY, row, on_saved, s);
	json_decref(row);
}

void causes_store_set_writer(struct causes_store *s, bool writer)
{
	s->writer = writer;
}

struct causes_store *causes_store_new(struct entry *e, struct ev_loop *loop)
{
	struct causes_store *s = g_new0(struct causes_store, 1);

	s->e = e;
	s->api = e->o->store;
	s->loop = loop;
	s->store = e->store;
	ev_init(&s->timer, on_timer);
	s->timer.data = s;
	timer_start_once(loop, &s->timer, SAVE_INTERVAL_MS);
	return s;
}

void causes_store_free(struct causes_store *s)
{
	ev_timer_stop(s->loop, &s->timer);
	g_free(s);
}
