/*
 * Keeps the software versions that have served lately in a row of the store.
 * One node writes it as soon as they change. A node reads it before it writes
 * it for the first time, and when its list of targets was not confirmed for a
 * time in which a version may have joined and left; at the start of a node
 * holders-store.c reads it. Runs on the control thread.
 */
#include "entry/origins.h"
#include "entry/store-clients.h"

/* Pause after a failed call. */
#define RETRY_MS 500

struct versions_store {
	struct entry *e;
	bool writer;
	bool merged;        /* what others wrote, since this node writes */
	bool busy;          /* a call is in progress */
	int64_t call_at_ms; /* not before */
	int64_t read_at_ms; /* the same of a read */
	uint64_t saved;     /* origins_versions_changes() of the row */
	uint64_t saving;    /* the same of the write in progress */
};

static void on_read(void *ctx, const struct store_page *p)
{
	struct versions_store *s = ctx;
	const struct store_api *api = s->e->o->store;
	bool found = false;

	s->busy = false;
	if (p->status != STORE_OK) {
		s->call_at_ms = time_boot_ms() + RETRY_MS;
		return;
	}
	for (size_t i = 0; i < p->n; i++) {
		json_t *row = api->value(p, i);

		found |= versions_load_row(s->e, row);
		json_decref(row);
	}
	s->merged = s->writer;
	/* No node has written it, or one of an earlier release does. */
	if (!found)
		s->read_at_ms = time_boot_ms() + ORIGIN_TTL_MS;
}

static void on_written(void *ctx, const struct store_page *p)
{
	struct versions_store *s = ctx;

	s->busy = false;
	if (p->status == STORE_OK)
		s->saved = s->saving;
	else
		s->call_at_ms = time_boot_ms() + RETRY_MS;
}

bool versions_load_row(struct entry *e, const json_t *row)
{
	const json_t *versions = json_object_get(row, VERSIONS_FIELD);

	if (!json_is_array(versions))
		return false;
	origins_load_versions(e->origins, versions, time_boot_ms());
	return true;
}

static void write_row(struct versions_store *s, int64_t now_ms)
{
	json_t *row = json_pack("{s:o}", VERSIONS_FIELD,
				origins_versions(s->e->origins, now_ms));

	s->busy = true;
	s->e->o->store->write(s->e->store, STORE_PROMPTS, VERSIONS_FIELD, row,
			      on_written, s);
	json_decref(row);
}

void versions_store_tick(struct versions_store *s, int64_t now_ms)
{
	if (s->busy || now_ms < s->call_at_ms)
		return;
	if ((s->writer && !s->merged) ||
	    (origins_lacks_history(s->e->origins) && now_ms >= s->read_at_ms)) {
		s->busy = true;
		s->e->o->store->read(s->e->store, STORE_PROMPTS, VERSIONS_FIELD,
				     on_read, s);
		return;
	}
	s->saving = origins_versions_changes(s->e->origins);
	if (s->writer && s->saving != s->saved)
		write_row(s, now_ms);
}

void versions_store_set_writer(struct versions_store *s, bool writer)
{
	s->merged &= writer;
	s->writer = writer;
}

struct versions_store *versions_store_new(struct entry *e)
{
	struct versions_store *s = g_new0(struct versions_store, 1);

	s->e = e;
	return s;
}

void versions_store_free(struct versions_store *s)
{
	g_free(s);
}
