/*
 * A sweep reads the claims page by page and removes the expired ones of each
 * page by one transaction.
 */
#include "state/sweep.h"

#define STEP_INTERVAL_MS 1000   /* between two pages or batches */
#define PASS_INTERVAL_MS 600000 /* between two passes */

struct sweep {
	struct platform *plat;
	int64_t (*now)(void *ctx); /* wall clock */
	void *ctx;
	char *last_key; /* last key checked; NULL at the start of a pass */
	bool busy;
	bool pass_done;          /* the page was the last one */
	int64_t now_ms, next_ms; /* monotonic */
};

static void end_step(struct sweep *s)
{
	s->busy = false;
	s->next_ms = s->now_ms +
		     (s->pass_done ? PASS_INTERVAL_MS : STEP_INTERVAL_MS);
	if (s->pass_done)
		g_clear_pointer(&s->last_key, g_free);
}

/*
 * If one of the claims has changed since it was read, the transaction removes
 * none, and the next pass checks them again.
 */
static void on_removed(const struct plat_result *r, void *arg)
{
	(void)r;
	end_step(arg);
}

static bool is_expired(const struct sweep *s, const json_t *row)
{
	const json_t *v = json_object_get(row, "value");
	int64_t at_ms = json_integer_value(json_object_get(v, "at_ms"));
	int64_t latest_ms = json_integer_value(json_object_get(v, "latest_ms"));

	return MAX(at_ms, latest_ms) + CLAIM_RETENTION_MS < s->now(s->ctx);
}

static void remove_expired(struct sweep *s, json_t *checks, json_t *keys)
{
	json_t *txn = json_pack("{s:s,s:O,s:[],s:O}", "id", "sweep", "checks",
				checks, "puts", "deletes", keys);

	s->plat->txn(s->plat->ctx, txn, on_removed, s);
	json_decref(txn);
}

static void on_page(const struct plat_result *r, void *arg)
{
	struct sweep *s = arg;
	json_t *rows = json_object_get(r->json, "rows");
	json_t *checks = json_array();
	json_t *keys = json_array();
	size_t i;
	json_t *row;

	s->pass_done = r->status == PLAT_OK &&
		       !json_is_true(json_object_get(r->json, "more"));
	json_array_foreach (rows, i, row) {
		json_t *key = json_object_get(row, "key");

		if (json_array_size(keys) == SWEEP_BATCH_MAX) {
			s->pass_done = false;
			break;
		}
		g_free(s->last_key);
		s->last_key = g_strdup(json_string_value(key));
		if (!is_expired(s, row))
			continue;
		json_array_append(keys, key);
		json_array_append_new(
			checks, json_pack("{s:O,s:O}", "key", key, "version",
					  json_object_get(row, "version")));
	}
	if (json_array_size(keys))
		remove_expired(s, checks, keys);
	else
		end_step(s);
	json_decref(checks);
	json_decref(keys);
}

void sweep_tick(struct sweep *s, int64_t now_ms)
{
	s->now_ms = now_ms;
	if (s->busy || now_ms < s->next_ms)
		return;
	s->busy = true;
	s->plat->scan(s->plat->ctx, "claim/", s->last_key, on_page, s);
}

struct sweep *sweep_new(struct platform *p, int64_t (*now)(void *ctx),
			void *ctx)
{
	struct sweep *s = g_new0(struct sweep, 1);

	s->plat = p;
	s->now = now;
	s->ctx = ctx;
	return s;
}

void sweep_free(struct sweep *s)
{
	g_free(s->last_key);
	g_free(s);
}
