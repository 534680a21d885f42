/*
 * Keeps what nodes know of the holders of prompts in a row of the store, so
 * that it outlasts the loss of all of them. One node writes it; a node that
 * starts reads it once. What is out of date costs a needless look at a target.
 */
#include "entry/follow.h"

/* Between writes: few calls, and little is lost when all nodes stop. */
#define WRITE_MS 3000
/* Pause after a call that failed. */
#define PAUSE_MS 500
#define ROW_KEY  "held"

struct keep {
	struct entry *e;
	const struct store_api *api;
	void *store;
	struct ev_loop *loop;
	ev_timer timer;
	bool loaded;
	bool writer;
	uint64_t written; /* state of the holders when they were last written */
};

static json_t *encode(const struct held_entry *v, size_t n)
{
	size_t size = 16 + n * sizeof(*v);
	char *p = g_malloc(size), *text;
	struct held_list l = {{(u_int)n, (struct held_entry *)v}};
	json_t *row;
	XDR x;

	xdrmem_create(&x, p, (u_int)size, XDR_ENCODE);
	if (!xdr_held_list(&x, &l))
		g_assert_not_reached(); /* it was given enough room */
	text = g_base64_encode((guchar *)p, xdr_getpos(&x));
	xdr_destroy(&x);
	row = json_pack("{s:s}", ROW_KEY, text);
	g_free(text);
	g_free(p);
	return row;
}

static void decode(struct keep *k, const json_t *row)
{
	const char *text = json_string_value(json_object_get(row, ROW_KEY));
	struct held_list l = {{0, NULL}};
	guchar *p;
	gsize n;
	XDR x;

	if (!text || !*text)
		return;
	p = g_base64_decode(text, &n);
	xdrmem_create(&x, (char *)p, (u_int)n, XDR_DECODE);
	if (xdr_held_list(&x, &l)) {
		log_event(EV_HOLDERS_LOADED, "parts=%d",
			  (int)l.entries.entries_len);
		/* The last used is noted last. */
		for (u_int i = l.entries.entries_len; i-- > 0;)
			holds_heard(k->e->holds, &l.entries.entries_val[i], 1);
	} else {
		metric_add(M_CONTROL_MALFORMED_TOTAL, 1);
	}
	xdr_destroy(&x);
	xdr_free((xdrproc_t)xdr_held_list, (char *)&l);
	g_free(p);
}

static void on_read(void *ctx, const struct store_page *p)
{
	struct keep *k = ctx;

	if (p->status != STORE_OK) {
		timer_in(k->loop, &k->timer, PAUSE_MS);
		return;
	}
	for (size_t i = 0; i < p->n; i++) {
		json_t *row = k->api->value(p, i);

		decode(k, row);
		json_decref(row);
	}
	k->loaded = true;
	k->written = holds_changes(k->e->holds);
	timer_in(k->loop, &k->timer, WRITE_MS);
}

static void on_written(void *ctx, const struct store_page *p)
{
	struct keep *k = ctx;

	/* A write that failed is made up for by the next one. */
	if (p->status != STORE_OK)
		k->written = 0;
	timer_in(k->loop, &k->timer, WRITE_MS);
}

static void write_row(struct keep *k)
{
	struct held_entry *v = g_new(struct held_entry, HELD_KEPT_MAX);
	size_t n;
	json_t *row;

	k->written = holds_changes(k->e->holds);
	n = holds_list(k->e->holds, v, HELD_KEPT_MAX);
	row = encode(v, n);
	k->api->write(k->store, STORE_PROMPTS, ROW_KEY, row, on_written, k);
	json_decref(row);
	g_free(v);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct keep *k = w->data;

	(void)loop;
	(void)events;
	if (!k->loaded)
		k->api->read(k->store, STORE_PROMPTS, "", on_read, k);
	else if (k->writer && k->written != holds_changes(k->e->holds))
		write_row(k);
	else
		timer_in(k->loop, w, WRITE_MS);
}

void keep_set_writer(struct keep *k, bool writer)
{
	k->writer = writer;
}

struct keep *keep_new(struct entry *e, struct ev_loop *loop)
{
	struct keep *k = g_new0(struct keep, 1);

	k->e = e;
	k->api = e->o->store;
	k->loop = loop;
	k->store = e->store;
	ev_timer_init(&k->timer, on_timer, 0, 0);
	k->timer.data = k;
	ev_timer_start(loop, &k->timer);
	return k;
}

void keep_free(struct keep *k)
{
	ev_timer_stop(k->loop, &k->timer);
	g_free(k);
}
