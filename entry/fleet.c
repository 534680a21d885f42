/*
 * The rows by which nodes of a fleet find each other: one for each node, with
 * its control address, and one with the secret that their messages to each
 * other are sealed with.
 */
#include <sodium.h>
#include <string.h>

#include "entry/follow.h"

/* Pause after a call that failed, with a random part on top. */
#define PAUSE_MS        250
#define PAUSE_SPREAD_MS 150
/* The rows are read rarely by those that have peers. */
#define READ_RARE 6
/* Many nodes start at once: their rows come within a second. */
#define GROWS_MS 1000
/* No name of a node begins like that. */
#define SECRET_KEY ".secret"

struct fleet {
	struct entry *e;
	const struct store_api *api;
	void *store;
	struct ev_loop *loop;
	ev_timer timer;
	bool told; /* own row is written */
	bool keyed;
	bool reader;
	size_t rows; /* as last read */
	bool grows;
	uint8_t offer[MEMBER_KEY_BYTES]; /* the secret, if there is none yet */
};

static void again(struct fleet *f, bool ok)
{
	int64_t poll = f->e->control_set.store_nodes_poll_ms;
	int64_t pause = f->reader ? poll : poll * READ_RARE;

	if (f->grows)
		pause = GROWS_MS;
	if (!ok || !f->keyed)
		pause = PAUSE_MS + randombytes_uniform(PAUSE_SPREAD_MS);
	timer_in(f->loop, &f->timer, pause);
}

/* Returns whether the row is that of the secret. */
static bool take_secret(struct fleet *f, const char *key, const json_t *row)
{
	const char *text = json_string_value(json_object_get(row, "secret"));
	uint8_t secret[MEMBER_KEY_BYTES];
	size_t n = 0;

	if (strcmp(key, SECRET_KEY) != 0)
		return false;
	if (!text ||
	    sodium_hex2bin(secret, sizeof(secret), text, strlen(text), NULL, &n,
			   NULL) < 0 ||
	    n != sizeof(secret)) {
		log_event(EV_FLEET_SECRET_UNREADABLE, "key=%s", key);
		return true;
	}
	control_set_secret(f->e->control, secret);
	f->keyed = true;
	return true;
}

static const char *text_of(const json_t *row, const char *name)
{
	const char *s = json_string_value(json_object_get(row, name));

	return s ? s : "";
}

/* Returns the secret's or a node's row; to be released by the caller. */
static json_t *take_row(struct fleet *f, const struct store_page *p, size_t i,
			struct member_info *out)
{
	json_t *row = f->api->value(p, i);

	*out = (struct member_info){0};
	if (!take_secret(f, p->rows[i].key, row) && *text_of(row, "control"))
		*out = (struct member_info){
			.name = (char *)p->rows[i].key,
			.address = (char *)text_of(row, "address"),
			.control = (char *)text_of(row, "control"),
			.zone = (char *)text_of(row, "zone"),
			.region = (char *)text_of(row, "region"),
		};
	return row;
}

static void take_rows(struct fleet *f, const struct store_page *p)
{
	struct member_info *infos = g_new(struct member_info, p->n + 1);
	json_t **rows = g_new(json_t *, p->n + 1);
	size_t n = 0;

	for (size_t i = 0; i < p->n; i++) {
		rows[i] = take_row(f, p, i, &infos[n]);
		n += infos[n].name != NULL;
	}
	if (n)
		control_seed(f->e->control, infos, n);
	for (size_t i = 0; i < p->n; i++)
		json_decref(rows[i]);
	g_free(rows);
	g_free(infos);
}

static bool has_secret(const struct store_page *p)
{
	for (size_t i = 0; i < p->n; i++)
		if (!strcmp(p->rows[i].key, SECRET_KEY))
			return true;
	return false;
}

static void on_created(void *ctx, const struct store_page *p)
{
	struct fleet *f = ctx;

	/* Of several nodes that offer one the first wins. */
	if (p->status == STORE_EXISTS)
		take_rows(f, p);
	if (p->status == STORE_OK) {
		control_set_secret(f->e->control, f->offer);
		f->keyed = true;
	}
	again(f, f->keyed);
}

static void offer_secret(struct fleet *f)
{
	char text[2 * MEMBER_KEY_BYTES + 1];
	json_t *row;

	sodium_bin2hex(text, sizeof(text), f->offer, sizeof(f->offer));
	row = json_pack("{s:s}", "secret", text);
	f->api->create(f->store, STORE_NODES, SECRET_KEY, row, on_created, f);
	json_decref(row);
}

static void on_rows(void *ctx, const struct store_page *p)
{
	struct fleet *f = ctx;

	take_rows(f, p);
	f->grows = p->n > f->rows;
	f->rows = MAX(f->rows, p->n);
	if (p->status == STORE_OK && !has_secret(p))
		offer_secret(f);
	else
		again(f, p->status == STORE_OK);
}

static void on_told(void *ctx, const struct store_page *p)
{
	struct fleet *f = ctx;

	f->told = p->status == STORE_OK;
	if (f->told)
		timer_in(f->loop, &f->timer, 0);
	else
		again(f, false);
}

/* Write this node's row, then read those of the others. */
static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct fleet *f = w->data;
	json_t *row;

	(void)loop;
	(void)events;
	if (f->told) {
		f->api->read(f->store, STORE_NODES, "", on_rows, f);
		return;
	}
	row = json_pack("{s:s, s:s, s:s, s:s}", "control",
			f->e->control_address, "address",
			f->e->control_set.listen_callers, "zone",
			f->e->control_set.node_zone, "region",
			f->e->control_set.node_region);
	f->api->write(f->store, STORE_NODES, f->e->control_set.node_name, row,
		      on_told, f);
	json_decref(row);
}

void fleet_set_reader(struct fleet *f, bool reader)
{
	f->reader = reader;
}

struct fleet *fleet_new(struct entry *e, struct ev_loop *loop)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->e = e;
	f->api = e->o->store;
	f->loop = loop;
	f->store = e->store;
	f->reader = true;
	randombytes_buf(f->offer, sizeof(f->offer));
	ev_timer_init(&f->timer, on_timer, 0, 0);
	f->timer.data = f;
	ev_timer_start(loop, &f->timer);
	return f;
}

void fleet_free(struct fleet *f)
{
	ev_timer_stop(f->loop, &f->timer);
	sodium_memzero(f->offer, sizeof(f->offer));
	g_free(f);
}
