/*
 * Saves the index of prompt holders to a row of the store, so that it survives
 * a restart of the whole fleet, and beside it the software versions that have
 * served lately, for nodes of earlier releases. One node writes the row; each
 * node reads it once, when it starts, and with it the rows of stored-causes.c
 * and versions-store.c. A holder that is out of date costs one needless cache
 * lookup at a target. Runs on the control thread.
 */
#include "entry/origins.h"
#include "entry/store-clients.h"

/* Bounds the rate of writes, and the loss when all nodes stop at once. */
#define SAVE_INTERVAL_MS 3000
/* Pause after a failed read. */
#define RETRY_MS 1500
#define ROW_KEY  "held"

struct holders_store {
	struct entry *e;
	const struct store_api *api;
	void *store;
	struct ev_loop *loop;
	struct causes_store *causes;
	ev_timer timer;
	bool loaded;
	bool writer;
	int64_t era;             /* of the store, at the last call */
	uint64_t saved_changes;  /* holders_change_count() at the last save */
	uint64_t saved_versions; /* origins_versions_changes() at that time */
};

static json_t *encode_row(const struct prompt_holder *v, size_t n)
{
	size_t size = 16 + n * sizeof(*v);
	char *p = g_malloc(size), *text;
	struct prompt_holder_list l = {{(u_int)n, (struct prompt_holder *)v}};
	json_t *row;
	XDR x;

	xdrmem_create(&x, p, (u_int)size, XDR_ENCODE);
	if (!xdr_prompt_holder_list(&x, &l))
		g_assert_not_reached(); /* size is sufficient */
	text = g_base64_encode((guchar *)p, xdr_getpos(&x));
	xdr_destroy(&x);
	row = json_pack("{s:s}", ROW_KEY, text);
	g_free(text);
	g_free(p);
	return row;
}

static void decode_row(struct holders_store *s, const json_t *row)
{
	const char *text = json_string_value(json_object_get(row, ROW_KEY));
	struct prompt_holder_list l = {{0, NULL}};
	guchar *p;
	gsize n;
	XDR x;

	if (!text || !*text)
		return;
	p = g_base64_decode(text, &n);
	xdrmem_create(&x, (char *)p, (u_int)n, XDR_DECODE);
	if (xdr_prompt_holder_list(&x, &l)) {
		log_event(EV_HOLDERS_LOADED, "parts=%d",
			  (int)l.entries.entries_len);
		/* Backwards, as the most recently used entry is the first. */
		for (u_int i = l.entries.entries_len; i-- > 0;)
			holders_receive(s->e->holders,
					&l.entries.entries_val[i], 1);
	} else {
		metric_add(M_CONTROL_MALFORMED_TOTAL, 1);
	}
	xdr_destroy(&x);
	xdr_free((xdrproc_t)xdr_prompt_holder_list, (char *)&l);
	g_free(p);
}

static void on_read(void *ctx, const struct store_page *p)
{
	struct holders_store *s = ctx;

	if (p->status != STORE_OK) {
		timer_start_once(s->loop, &s->timer, RETRY_MS);
		return;
	}
	for (size_t i = 0; i < p->n; i++) {
		json_t *row = s->api->value(p, i);

		decode_row(s, row);
		/* Not in a row of an earlier release. */
		versions_load_row(s->e, row);
		causes_store_load(s->causes, row);
		json_decref(row);
	}
	/* No node has saved anything, so none has served before. */
	if (!p->n)
		origins_load_versions(s->e->origins, NULL, time_boot_ms());
	s->loaded = true;
	s->era = p->era;
	causes_store_set_loaded(s->causes, p->era);
	s->saved_changes = holders_change_count(s->e->holders);
	timer_start_once(s->loop, &s->timer, SAVE_INTERVAL_MS);
}

static void on_saved(void *ctx, const struct store_page *p)
{
	struct holders_store *s = ctx;

	/*
	 * Retry a failed write at the next interval, and write again what a
	 * store that came back from a copy has lost.
	 */
	if (p->status != STORE_OK || p->era > s->era)
		s->saved_changes = 0;
	s->era = MAX(s->era, p->era);
	timer_start_once(s->loop, &s->timer, SAVE_INTERVAL_MS);
}

static void save(struct holders_store *s)
{
	struct prompt_holder *v =
		g_new(struct prompt_holder, HOLDERS_STORED_MAX);
	size_t n;
	json_t *row;

	s->saved_changes = holders_change_count(s->e->holders);
	s->saved_versions = origins_versions_changes(s->e->origins);
	n = holders_list(s->e->holders, v, HOLDERS_STORED_MAX);
	row = encode_row(v, n);
	json_object_set_new(row, VERSIONS_FIELD,
			    origins_versions(s->e->origins, time_boot_ms()));
	s->api->write(s->store, STORE_PROMPTS, ROW_KEY, row, on_saved, s);
	json_decref(row);
	g_free(v);
}

static bool has_changed(struct holders_store *s)
{
	return s->saved_changes != holders_change_count(s->e->holders) ||
	       s->saved_versions != origins_versions_changes(s->e->origins);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct holders_store *s = w->data;

	(void)loop;
	(void)events;
	if (!s->loaded)
		s->api->read(s->store, STORE_PROMPTS, "", on_read, s);
	else if (s->writer && has_changed(s))
		save(s);
	else
		timer_start_once(s->loop, w, SAVE_INTERVAL_MS);
}

void holders_store_set_writer(struct holders_store *s, bool writer)
{
	s->writer = writer;
}

struct holders_store *holders_store_new(struct entry *e, struct ev_loop *loop,
					struct causes_store *causes)
{
	struct holders_store *s = g_new0(struct holders_store, 1);

	s->e = e;
	s->api = e->o->store;
	s->loop = loop;
	s->store = e->store;
	s->causes = causes;
	/* When the whole fleet starts for the first time there is no row. */
	s->loaded = e->control_settings.node_bootstrap;
	if (s->loaded) {
		origins_load_versions(e->origins, NULL, time_boot_ms());
		causes_store_set_loaded(causes, 0);
	}
	ev_timer_init(&s->timer, on_timer, 0, 0);
	s->timer.data = s;
	ev_timer_start(loop, &s->timer);
	return s;
}

void holders_store_free(struct holders_store *s)
{
	ev_timer_stop(s->loop, &s->timer);
	g_free(s);
}
