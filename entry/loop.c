#include "entry/inner.h"

/* What a loop frees once no callback is in progress. */
struct later {
	struct ev_loop *loop;
	ev_prepare turn;
	GQueue *items; /* struct item */
};

struct item {
	void *p;
	GDestroyNotify free;
};

static void free_all(struct later *l)
{
	struct item *i;

	while ((i = g_queue_pop_head(l->items))) {
		i->free(i->p);
		g_free(i);
	}
}

static void on_turn(struct ev_loop *loop, ev_prepare *w, int events)
{
	(void)loop;
	(void)events;
	free_all(w->data);
}

void later_begin(struct ev_loop *loop)
{
	struct later *l = g_new0(struct later, 1);

	l->loop = loop;
	l->items = g_queue_new();
	ev_prepare_init(&l->turn, on_turn);
	l->turn.data = l;
	ev_prepare_start(loop, &l->turn);
	/* The loop may block and end although this watcher is there. */
	ev_unref(loop);
	ev_set_userdata(loop, l);
}

void later_end(struct ev_loop *loop)
{
	struct later *l = ev_userdata(loop);

	free_all(l);
	ev_ref(loop);
	ev_prepare_stop(loop, &l->turn);
	g_queue_free(l->items);
	g_free(l);
}

void later_free(struct ev_loop *loop, void *p, GDestroyNotify fn)
{
	struct later *l = ev_userdata(loop);
	struct item *i = g_new(struct item, 1);

	i->p = p;
	i->free = fn;
	g_queue_push_tail(l->items, i);
}

void timer_in(struct ev_loop *loop, ev_timer *w, int64_t ms)
{
	ev_timer_stop(loop, w);
	ev_timer_set(w, (double)MAX(ms, 0) / 1000, 0);
	ev_timer_start(loop, w);
}
