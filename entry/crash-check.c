/*
 * Records which attempts began and which broke as their target crashed, by
 * their keys (route/crash-causes.c). A target that lives accepts a
 * new connection, which is closed at once: connections break for other reasons
 * as well, and what is asked for is not to blame for them.
 */
#include "entry/exchange.h"

/* Interval of the looks at whether the connection is established. */
#define CHECK_INTERVAL_MS 10
/* Attempts that are kept for the result of one check. */
#define SUSPECTS_MAX 64

/* Finds out whether a target has crashed. */
struct crash_check {
	struct traffic *tr;
	uint64_t target; /* id */
	int64_t broke_ms;
	struct link *link;
	ev_timer timer;
	struct cause_keys suspects[SUSPECTS_MAX]; /* with their parts */
	size_t n;
};

static void check_free(void *p)
{
	struct crash_check *c = p;

	ev_timer_stop(c->tr->loop, &c->timer);
	link_close(c->link);
	for (size_t i = 0; i < c->n; i++)
		g_free((uint64_t *)c->suspects[i].parts);
	g_free(c);
}

static void on_not_connected(void *ctx)
{
	struct crash_check *c = ctx;

	for (size_t i = 0; i < c->n && !link_connected(c->link); i++)
		crash_causes_crashed(c->tr->e->crash_causes, &c->suspects[i],
				     c->target, c->broke_ms);
	g_hash_table_remove(c->tr->crash_checks, &c->target);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct crash_check *c = w->data;

	(void)events;
	if (link_connected(c->link))
		g_hash_table_remove(c->tr->crash_checks, &c->target);
	else
		timer_start_once(loop, w, CHECK_INTERVAL_MS);
}

static struct crash_check *check_new(struct traffic *tr, const struct target *t)
{
	struct link *l = link_open(tr->loop, &t->info.address);
	struct crash_check *c;

	if (!l)
		return NULL;
	c = g_new0(struct crash_check, 1);
	c->tr = tr;
	c->target = t->info.id;
	c->broke_ms = time_boot_ms();
	c->link = l;
	link_set_idle(l, on_not_connected, c);
	ev_init(&c->timer, on_timer);
	c->timer.data = c;
	timer_start_once(tr->loop, &c->timer, CHECK_INTERVAL_MS);
	g_hash_table_insert(tr->crash_checks, &c->target, c);
	return c;
}

static struct cause_keys keys_of(const struct exchange *x)
{
	struct cause_keys k = {
		.whole = x->whole,
		.attempt = str_hash(x->request_id, 0),
	};

	if (!x->parts)
		return k;
	k.parts = x->parts->shared;
	k.n = x->parts->n;
	k.own = x->parts->own;
	return k;
}

enum cause_block exchange_crash_block(const struct exchange *x)
{
	struct cause_keys k = keys_of(x);

	return crash_causes_block(x->tr->e->crash_causes, &k, time_boot_ms());
}

bool exchange_is_suspect(const struct exchange *x)
{
	struct cause_keys k = keys_of(x);

	return crash_causes_suspect(x->tr->e->crash_causes, &k);
}

void exchange_record_begin(struct exchange *x, int64_t began_ms)
{
	struct cause_keys k = keys_of(x);

	if (x->begin_recorded)
		return;
	x->begin_recorded = true;
	crash_causes_began(x->tr->e->crash_causes, &k, began_ms);
}

void exchange_record_break(struct exchange *x)
{
	struct cause_keys k = keys_of(x);
	struct crash_check *c;

	if (x->begin_recorded)
		return;
	c = g_hash_table_lookup(x->tr->crash_checks, &x->target->info.id);
	if (!c)
		c = check_new(x->tr, x->target);
	if (!c || c->n == SUSPECTS_MAX)
		return;
	k.parts = g_memdup2(k.parts, k.n * sizeof(*k.parts));
	c->suspects[c->n++] = k;
}

void crash_checks_init(struct traffic *tr)
{
	tr->crash_checks = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, check_free);
}

void crash_checks_free(struct traffic *tr)
{
	g_hash_table_unref(tr->crash_checks);
}
