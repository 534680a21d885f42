/*
 * Calls are events on the virtual clock: a call takes effect after one delay,
 * and its answer is a step of the calling process after another.
 */
#include "state/test-fake.h"

#include <string.h>

#define PAGE_ROWS 1000

struct event {
	int64_t at_ms;
	uint64_t sequence;
	int proc; /* index, or -1: not a step of a process */
	fake_fn *fn;
	void *arg;
};

enum op {
	OP_TXN,
	OP_SCAN,
	OP_REVISION,
	OP_PUT,
	OP_GET,
	OP_WEIGHTS,
	OP_INSTANCES,
};

/* One call, from its start to its answer. */
struct call {
	struct fake_proc *proc;
	enum op op;
	json_t *txn;
	char *name, *after;
	GBytes *bytes;
	plat_done_fn *done;
	void *arg;
	bool answered; /* done was called */
	bool lost;     /* the answer must not be delivered */
	enum plat_status status;
	json_t *json;
};

static int compare_events(const void *a, const void *b, void *unused)
{
	const struct event *x = a, *y = b;

	(void)unused;
	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static void add_event(struct fake *f, int p, int64_t at_ms, fake_fn *fn,
		      void *arg)
{
	struct event *e = g_new(struct event, 1);

	*e = (struct event){at_ms, f->events_scheduled++, p, fn, arg};
	g_sequence_insert_sorted(f->events, e, compare_events, NULL);
}

void fake_schedule(struct fake *f, int p, int64_t delay_ms, fake_fn *fn,
		   void *arg)
{
	add_event(f, p, f->now_ms + delay_ms, fn, arg);
}

int64_t fake_clock(const struct fake *f, int p)
{
	return f->now_ms + f->procs[p].clock_offset_ms;
}

/*
 * Count a step of the event's process and return whether it may run now. For a
 * paused process the event is scheduled again, for a dead one it is dropped.
 */
static bool may_run_now(struct fake *f, const struct event *e)
{
	struct fake_proc *p;

	if (e->proc < 0)
		return true;
	p = &f->procs[e->proc];
	if (p->dead)
		return false;
	if (p->paused_until_ms <= f->now_ms) {
		p->steps++;
		if (p->kill_at_step && p->steps == p->kill_at_step) {
			p->dead = true;
			return false;
		}
		if (p->pause_at_step && p->steps == p->pause_at_step)
			p->paused_until_ms = f->now_ms + p->pause_ms;
	}
	if (p->paused_until_ms <= f->now_ms)
		return true;
	add_event(f, e->proc, p->paused_until_ms, e->fn, e->arg);
	return false;
}

bool fake_step(struct fake *f)
{
	GSequenceIter *it = g_sequence_get_begin_iter(f->events);
	struct event e;

	if (g_sequence_iter_is_end(it))
		return false;
	e = *(struct event *)g_sequence_get(it);
	g_sequence_remove(it);
	f->now_ms = MAX(f->now_ms, e.at_ms);
	if (may_run_now(f, &e))
		e.fn(e.arg);
	return true;
}

void fake_run(struct fake *f, int64_t until_ms)
{
	for (;;) {
		GSequenceIter *it = g_sequence_get_begin_iter(f->events);

		if (g_sequence_iter_is_end(it) ||
		    ((struct event *)g_sequence_get(it))->at_ms > until_ms)
			break;
		fake_step(f);
	}
	f->now_ms = MAX(f->now_ms, until_ms);
}

static void do_txn(struct call *c)
{
	struct fake *f = c->proc->fake;
	size_t i;
	json_t *x;

	f->writes++;
	json_array_foreach (json_object_get(c->txn, "checks"), i, x) {
		const struct fake_version *v = fake_newest(
			f, json_string_value(json_object_get(x, "key")));

		if (json_integer_value(json_object_get(x, "version")) ==
		    (v ? v->revision : 0))
			continue;
		c->status = PLAT_CONFLICT;
		c->json = json_pack("{s:O}", "key", json_object_get(x, "key"));
		return;
	}
	f->revision++;
	json_array_foreach (json_object_get(c->txn, "puts"), i, x)
		fake_write(f, json_string_value(json_object_get(x, "key")),
			   json_object_get(x, "value"));
	json_array_foreach (json_object_get(c->txn, "deletes"), i, x)
		fake_write(f, json_string_value(x), NULL);
	c->json = json_pack("{s:I}", "revision", f->revision);
}

struct scan {
	struct call *call;
	int64_t revision;
	json_t *rows;
	bool more;
};

static gboolean scan_row(void *key, void *value, void *ctx)
{
	struct scan *s = ctx;
	const struct fake_version *v = fake_version_at(value, s->revision);

	if (!g_str_has_prefix(key, s->call->name))
		return strcmp(key, s->call->name) > 0;
	if (!v || (s->call->after && strcmp(key, s->call->after) <= 0))
		return FALSE;
	if (json_array_size(s->rows) == PAGE_ROWS) {
		s->more = true;
		return TRUE;
	}
	json_array_append_new(s->rows,
			      json_pack("{s:s,s:O,s:I}", "key", key, "value",
					v->value, "version", v->revision));
	return FALSE;
}

static int64_t draw_read_revision(struct fake *f)
{
	int64_t back;

	if (g_rand_double(f->rand) >= f->faults.stale)
		return f->revision;
	back = 1 + (int64_t)(g_rand_double(f->rand) *
			     (double)f->faults.stale_revisions);
	return MAX(f->revision - back, 0);
}

static void do_scan(struct call *c)
{
	struct fake *f = c->proc->fake;
	struct scan s = {c, draw_read_revision(f), json_array(), false};

	f->reads++;
	g_tree_foreach(f->rows, scan_row, &s);
	f->rows_read += (int64_t)json_array_size(s.rows);
	c->json = json_pack("{s:I,s:o,s:b}", "revision", s.revision, "rows",
			    s.rows, "more", s.more);
}

static void do_revision(struct call *c)
{
	c->proc->fake->reads++;
	c->json = json_pack("{s:I}", "revision",
			    draw_read_revision(c->proc->fake));
}

static void do_put(struct call *c)
{
	c->proc->fake->writes++;
	g_hash_table_replace(c->proc->fake->objects, g_strdup(c->name),
			     g_bytes_ref(c->bytes));
}

static void do_get(struct call *c)
{
	GBytes *b = g_hash_table_lookup(c->proc->fake->objects, c->name);

	c->proc->fake->reads++;
	if (b)
		c->bytes = g_bytes_ref(b);
	else
		c->status = PLAT_NOT_FOUND;
}

static void do_weights(struct call *c)
{
	struct fake *f = c->proc->fake;

	if (f->now_ms < f->weights_from_ms) {
		f->weight_refusals++;
		c->status = PLAT_REFUSED;
		return;
	}
	f->weights_from_ms = f->now_ms + f->weight_ms;
}

static void do_instances(struct call *c)
{
	c->json = json_pack("{s:O}", "instances", c->proc->fake->instances);
}

static void free_call(struct call *c)
{
	json_decref(c->txn);
	json_decref(c->json);
	g_free(c->name);
	g_free(c->after);
	if (c->bytes)
		g_bytes_unref(c->bytes);
	g_free(c);
}

static void answer(void *arg)
{
	struct call *c = arg;
	struct plat_result r = {.status = c->status, .json = c->json};
	gsize n = 0;

	if (c->op == OP_GET && c->bytes) {
		r.bytes.data = g_bytes_get_data(c->bytes, &n);
		r.bytes.len = n;
	}
	c->answered = true;
	c->done(&r, c->arg);
	free_call(c);
}

static int64_t delay(struct fake *f)
{
	int64_t span = f->faults.delay_max_ms - f->faults.delay_min_ms;

	return f->faults.delay_min_ms +
	       (int64_t)(g_rand_double(f->rand) * (double)(span + 1));
}

static int proc_index(const struct call *c)
{
	return (int)(c->proc - c->proc->fake->procs);
}

static void take_effect(void *arg)
{
	static void (*const run[])(struct call *) = {
		[OP_TXN] = do_txn,
		[OP_SCAN] = do_scan,
		[OP_REVISION] = do_revision,
		[OP_PUT] = do_put,
		[OP_GET] = do_get,
		[OP_WEIGHTS] = do_weights,
		[OP_INSTANCES] = do_instances,
	};
	struct call *c = arg;
	struct fake *f = c->proc->fake;

	run[c->op](c);
	if (c->lost)
		free_call(c);
	else
		fake_schedule(f, proc_index(c), delay(f), answer, c);
}

struct timeout {
	plat_done_fn *done;
	void *arg;
};

static void on_timeout(void *arg)
{
	struct timeout *t = arg;
	struct plat_result r = {.status = PLAT_UNKNOWN};

	t->done(&r, t->arg);
	g_free(t);
}

static bool chance(struct fake *f, double p)
{
	return p > 0 && g_rand_double(f->rand) < p;
}

static bool is_down(const struct fake *f, enum op op)
{
	if (f->faults.table_only && op > OP_REVISION)
		return false;
	return f->now_ms >= f->faults.down_from_ms &&
	       f->now_ms < f->faults.down_until_ms;
}

/* Answer the caller at the timeout; the call's own answer is lost. */
static void start_timeout(struct call *c)
{
	struct timeout *t = g_new(struct timeout, 1);

	*t = (struct timeout){c->done, c->arg};
	fake_schedule(c->proc->fake, proc_index(c),
		      c->proc->fake->faults.timeout_ms, on_timeout, t);
	c->lost = true;
}

static void start_call(struct call *c)
{
	struct fake *f = c->proc->fake;
	int64_t d = delay(f);

	if (is_down(f, c->op) || chance(f, f->faults.refuse)) {
		c->status = is_down(f, c->op) ? PLAT_UNREACHABLE : PLAT_REFUSED;
		fake_schedule(f, proc_index(c), d, answer, c);
		return;
	}
	if (chance(f, f->faults.lose_request)) {
		start_timeout(c);
		free_call(c);
		return;
	}
	if (chance(f, f->faults.lose_answer) || d > f->faults.timeout_ms)
		start_timeout(c);
	else if (chance(f, f->faults.late_effect)) {
		start_timeout(c);
		d += 2 * f->faults.timeout_ms;
	}
	add_event(f, -1, f->now_ms + d, take_effect, c);
}

static struct call *new_call(void *ctx, enum op op, plat_done_fn *done,
			     void *arg)
{
	struct call *c = g_new0(struct call, 1);

	c->proc = ctx;
	c->op = op;
	c->done = done;
	c->arg = arg;
	return c;
}

static void fake_txn(void *ctx, const json_t *t, plat_done_fn *done, void *arg)
{
	struct call *c = new_call(ctx, OP_TXN, done, arg);

	c->txn = json_deep_copy(t);
	start_call(c);
}

static void fake_scan(void *ctx, const char *prefix, const char *after,
		      plat_done_fn *done, void *arg)
{
	struct call *c = new_call(ctx, OP_SCAN, done, arg);

	c->name = g_strdup(prefix);
	c->after = g_strdup(after);
	start_call(c);
}

static void fake_revision(void *ctx, plat_done_fn *done, void *arg)
{
	start_call(new_call(ctx, OP_REVISION, done, arg));
}

static void fake_put(void *ctx, const char *name, struct str bytes,
		     plat_done_fn *done, void *arg)
{
	struct call *c = new_call(ctx, OP_PUT, done, arg);

	c->name = g_strdup(name);
	c->bytes = g_bytes_new(bytes.data, bytes.len);
	start_call(c);
}

static void fake_get(void *ctx, const char *name, plat_done_fn *done, void *arg)
{
	struct call *c = new_call(ctx, OP_GET, done, arg);

	c->name = g_strdup(name);
	start_call(c);
}

static void fake_weights(void *ctx, const char *name, plat_done_fn *done,
			 void *arg)
{
	struct call *c = new_call(ctx, OP_WEIGHTS, done, arg);

	c->name = g_strdup(name);
	start_call(c);
}

static void fake_instances(void *ctx, plat_done_fn *done, void *arg)
{
	start_call(new_call(ctx, OP_INSTANCES, done, arg));
}

struct platform *fake_platform(struct fake *f, int p)
{
	f->procs[p].fake = f;
	f->procs[p].plat = (struct platform){
		.ctx = &f->procs[p],
		.txn = fake_txn,
		.scan = fake_scan,
		.revision = fake_revision,
		.object_put = fake_put,
		.object_get = fake_get,
		.weights = fake_weights,
		.instances = fake_instances,
	};
	return &f->procs[p].plat;
}

struct fake *fake_new(uint32_t seed)
{
	struct fake *f = g_new0(struct fake, 1);

	f->rand = g_rand_new_with_seed(seed);
	f->now_ms = 1000000;
	f->faults.delay_min_ms = 1;
	f->faults.delay_max_ms = 5;
	f->faults.timeout_ms = 2000;
	f->events = g_sequence_new(g_free);
	f->rows = fake_rows_new();
	f->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   (GDestroyNotify)g_bytes_unref);
	f->instances = json_array();
	return f;
}

void fake_free(struct fake *f)
{
	g_rand_free(f->rand);
	g_sequence_free(f->events);
	g_tree_unref(f->rows);
	g_hash_table_unref(f->objects);
	json_decref(f->instances);
	g_free(f);
}
