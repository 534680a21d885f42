/*
 * Discovery of the other nodes by a table of the store. It has a row for each
 * node, with its control address, and a row with the secret that authenticates
 * messages between nodes. Runs on the control thread.
 */
#include <sodium.h>
#include <string.h>

#include "entry/store-clients.h"

/* Pause after a failed call, plus a random jitter; it doubles each time. */
#define RETRY_MS        250
#define RETRY_JITTER_MS 150
#define RETRY_MAX_MS    2000
/* Nodes that are no readers poll at this multiple of the interval. */
#define NON_READER_POLL_FACTOR 12
/*
 * Pause between writing this node's row and reading the others when the whole
 * fleet starts for the first time, so that one read finds all of them.
 */
#define BOOTSTRAP_MS        1000
#define BOOTSTRAP_JITTER_MS 500
/* Interval while rows are added, as when many nodes start at once. */
#define GROWING_POLL_MS 1000
/* Can't collide with a node's row: no name of a node begins with a dot. */
#define SECRET_KEY ".secret"

struct discovery {
	struct entry *e;
	const struct store_api *api;
	void *store;
	struct ev_loop *loop;
	ev_timer timer;
	bool registered; /* this node's row is written */
	bool has_secret;
	bool reader;
	bool has_read;    /* rows have been read */
	int failures;     /* calls in a row */
	size_t row_count; /* largest number read so far */
	bool growing;     /* the last read had more rows than before */
	/* The fleet's secret, or the one to propose when the store has none. */
	uint8_t new_secret[MEMBER_KEY_BYTES];
};

static void schedule(struct discovery *d, bool ok)
{
	int64_t poll = d->e->control_settings.store_nodes_poll_ms;
	int64_t pause = d->reader ? poll : poll * NON_READER_POLL_FACTOR;

	if (d->growing && d->reader)
		pause = GROWING_POLL_MS;
	d->failures = ok ? 0 : d->failures + 1;
	if (!ok || !d->has_secret)
		pause = MIN(RETRY_MS << MIN(MAX(d->failures - 1, 0), 8),
			    RETRY_MAX_MS) +
			randombytes_uniform(RETRY_JITTER_MS);
	timer_start_once(d->loop, &d->timer, pause);
}

/* Apply the secret's row; return false when it is another row. */
static bool apply_secret(struct discovery *d, const char *key,
			 const json_t *row)
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
	control_set_secret(d->e->control, secret);
	memcpy(d->new_secret, secret, sizeof(secret));
	d->has_secret = true;
	return true;
}

static const char *str_or_empty(const json_t *row, const char *name)
{
	const char *s = json_string_value(json_object_get(row, name));

	return s ? s : "";
}

/*
 * Whether other nodes can be told of a node: its texts fit into messages, and
 * its addresses are ones. A message with a text that does not fit isn't sent,
 * nor is what else it has.
 */
static bool is_sound_node(const struct member_info *n)
{
	const char *const texts[] = {n->name, n->address, n->control, n->zone,
				     n->region};
	struct sockaddr_in callers, control;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		if (strlen(texts[i]) > MEMBER_TEXT_MAX_BYTES)
			return false;
	return *n->name && parse_address(n->address, &callers) &&
	       parse_address(n->control, &control) && callers.sin_port &&
	       control.sin_port;
}

/*
 * Decode a row: apply it if it is the secret's, else set out, which borrows
 * from the result. out->name is NULL when the row describes no node. The caller
 * releases the result.
 */
static json_t *decode_row(struct discovery *d, const struct store_page *p,
			  size_t i, struct member_info *out)
{
	json_t *row = d->api->value(p, i);

	*out = (struct member_info){0};
	if (apply_secret(d, p->rows[i].key, row))
		return row;
	*out = (struct member_info){
		.name = (char *)p->rows[i].key,
		.address = (char *)str_or_empty(row, "address"),
		.control = (char *)str_or_empty(row, "control"),
		.zone = (char *)str_or_empty(row, "zone"),
		.region = (char *)str_or_empty(row, "region"),
	};
	if (!is_sound_node(out))
		out->name = NULL;
	return row;
}

/* Pass the nodes in a page to the membership protocol, which copies them. */
static void apply_rows(struct discovery *d, const struct store_page *p)
{
	struct member_info *infos = g_new(struct member_info, p->n + 1);
	json_t **rows = g_new(json_t *, p->n + 1);
	size_t n = 0;

	for (size_t i = 0; i < p->n; i++) {
		rows[i] = decode_row(d, p, i, &infos[n]);
		n += infos[n].name != NULL;
	}
	if (n)
		control_seed(d->e->control, infos, n);
	for (size_t i = 0; i < p->n; i++)
		json_decref(rows[i]);
	g_free(rows);
	g_free(infos);
}

static bool page_has_secret(const struct store_page *p)
{
	for (size_t i = 0; i < p->n; i++)
		if (!strcmp(p->rows[i].key, SECRET_KEY))
			return true;
	return false;
}

static void on_secret_created(void *ctx, const struct store_page *p)
{
	struct discovery *d = ctx;

	/* When several nodes create a secret, the first one is used. */
	if (p->status == STORE_EXISTS)
		apply_rows(d, p);
	if (p->status == STORE_OK) {
		control_set_secret(d->e->control, d->new_secret);
		d->has_secret = true;
	}
	if (d->has_secret && !d->registered)
		timer_start_once(d->loop, &d->timer, 0);
	else
		schedule(d, d->has_secret);
}

static void create_secret(struct discovery *d)
{
	char text[2 * MEMBER_KEY_BYTES + 1];
	json_t *row;

	sodium_bin2hex(text, sizeof(text), d->new_secret,
		       sizeof(d->new_secret));
	row = json_pack("{s:s}", "secret", text);
	d->api->create(d->store, STORE_NODES, SECRET_KEY, row,
		       on_secret_created, d);
	json_decref(row);
}

/* This node's row as it should be. */
static json_t *own_row(const struct discovery *d)
{
	const struct entry_settings *s = &d->e->control_settings;

	return json_pack("{s:s, s:s, s:s, s:s}", "control",
			 d->e->control_address, "address", s->listen_callers,
			 "zone", s->node_zone, "region", s->node_region);
}

/* Whether a page has this node's row, as an earlier process has written it. */
static bool page_has_own_row(const struct discovery *d,
			     const struct store_page *p)
{
	bool found = false;

	for (size_t i = 0; i < p->n && !found; i++) {
		json_t *row, *own;

		if (strcmp(p->rows[i].key, d->e->control_settings.node_name) !=
		    0)
			continue;
		row = d->api->value(p, i);
		own = own_row(d);
		found = json_equal(row, own);
		json_decref(row);
		json_decref(own);
	}
	return found;
}

static void on_rows(void *ctx, const struct store_page *p)
{
	struct discovery *d = ctx;

	d->has_read |= p->status == STORE_OK;
	/* A store that came back from a copy may lack this node's row. */
	if (p->status == STORE_OK && !p->more)
		d->registered = page_has_own_row(d, p);
	apply_rows(d, p);
	d->growing = p->n > d->row_count;
	d->row_count = MAX(d->row_count, p->n);
	if (p->status == STORE_OK && !page_has_secret(p))
		create_secret(d);
	else if (p->status == STORE_OK && !d->registered)
		timer_start_once(d->loop, &d->timer, 0);
	else
		schedule(d, p->status == STORE_OK);
}

static void on_registered(void *ctx, const struct store_page *p)
{
	struct discovery *d = ctx;

	d->registered = p->status == STORE_OK;
	if (!d->registered)
		schedule(d, false);
	else if (d->has_read)
		schedule(d, true);
	else
		timer_start_once(d->loop, &d->timer,
				 BOOTSTRAP_MS + randombytes_uniform(
							BOOTSTRAP_JITTER_MS));
}

/*
 * Read the rows, and write this node's row unless an earlier process has.
 * Before the fleet's first start no row exists, so it is written first.
 */
static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct discovery *d = w->data;
	bool write_first = d->e->control_settings.node_bootstrap;
	json_t *row;

	(void)loop;
	(void)events;
	if (d->registered || (!d->has_read && !write_first)) {
		d->api->read(d->store, STORE_NODES, "", on_rows, d);
		return;
	}
	row = own_row(d);
	d->api->write(d->store, STORE_NODES, d->e->control_settings.node_name,
		      row, on_registered, d);
	json_decref(row);
}

bool discovery_has_read(const struct discovery *d)
{
	return d->has_read;
}

void discovery_set_reader(struct discovery *d, bool reader)
{
	d->reader = reader;
}

struct discovery *discovery_new(struct entry *e, struct ev_loop *loop)
{
	struct discovery *d = g_new0(struct discovery, 1);

	d->e = e;
	d->api = e->o->store;
	d->loop = loop;
	d->store = e->store;
	randombytes_buf(d->new_secret, sizeof(d->new_secret));
	ev_timer_init(&d->timer, on_timer, 0, 0);
	d->timer.data = d;
	ev_timer_start(loop, &d->timer);
	return d;
}

void discovery_free(struct discovery *d)
{
	ev_timer_stop(d->loop, &d->timer);
	sodium_memzero(d->new_secret, sizeof(d->new_secret));
	g_free(d);
}
