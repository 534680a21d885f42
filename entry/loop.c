/* Helpers for a libev loop: deferred frees and one-shot timers. */
#include "entry/internal.h"

/* A loop that has not turned for so long was paused, or had nothing to do. */
#define PAUSED_MS 200

/*
 * The objects to free before the loop next blocks, and what it takes to notice
 * a pause; the loop's user data.
 */
struct deferred_frees {
	struct ev_loop *loop;
	ev_prepare prepare;
	GQueue *items;     /* struct deferred_free */
	int64_t turned_ms; /* when it last invoked its callbacks */
	bool polling;      /* once more; see invoke_pending */
};

struct deferred_free {
	void *p;
	GDestroyNotify free;
};

static void free_all(struct deferred_frees *d)
{
	struct deferred_free *i;

	while ((i = g_queue_pop_head(d->items))) {
		i->free(i->p);
		g_free(i);
	}
}

static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	(void)loop;
	(void)events;
	free_all(w->data);
}

/*
 * Linux interrupts the loop's wait when a stopped process goes on: it sees that
 * time has passed, but no input. Such a loop polls once more, so that timers
 * act after what came in meanwhile, by their priorities.
 */
static void invoke_pending(struct ev_loop *loop)
{
	struct deferred_frees *d = ev_userdata(loop);

	if (d->polling)
		return;
	if (time_boot_ms() - d->turned_ms > PAUSED_MS) {
		d->polling = true;
		ev_run(loop, EVRUN_NOWAIT);
		d->polling = false;
	}
	d->turned_ms = time_boot_ms();
	ev_invoke_pending(loop);
}

void defer_init(struct ev_loop *loop)
{
	struct deferred_frees *d = g_new0(struct deferred_frees, 1);

	d->loop = loop;
	d->items = g_queue_new();
	ev_prepare_init(&d->prepare, on_prepare);
	d->prepare.data = d;
	ev_prepare_start(loop, &d->prepare);
	/* This watcher must not keep the loop running. */
	ev_unref(loop);
	ev_set_userdata(loop, d);
	d->turned_ms = time_boot_ms();
	ev_set_invoke_pending_cb(loop, invoke_pending);
}

void defer_fini(struct ev_loop *loop)
{
	struct deferred_frees *d = ev_userdata(loop);

	ev_set_invoke_pending_cb(loop, ev_invoke_pending);
	free_all(d);
	ev_ref(loop);
	ev_prepare_stop(loop, &d->prepare);
	g_queue_free(d->items);
	g_free(d);
}

void defer_free(struct ev_loop *loop, void *p, GDestroyNotify fn)
{
	struct deferred_frees *d = ev_userdata(loop);
	struct deferred_free *i = g_new(struct deferred_free, 1);

	i->p = p;
	i->free = fn;
	g_queue_push_tail(d->items, i);
}

void timer_start_once(struct ev_loop *loop, ev_timer *w, int64_t ms)
{
	ev_timer_stop(loop, w);
	ev_timer_set(w, (double)MAX(ms, 0) / 1000, 0);
	ev_timer_start(loop, w);
}
