#include "state/lease.h"

#include <string.h>

#define TRIES_MAX 4

struct take {
	struct lease *lease;
	struct platform *plat;
	int64_t (*now)(void *ctx);
	void *ctx;
	lease_done_fn *done;
	void *arg;
	char *key;
	int tries;
	struct lease next; /* as the transaction in progress would write it */
};

static void read_row(struct take *t);

static void finish(struct take *t, enum lease_result r)
{
	lease_done_fn *done = t->done;
	void *arg = t->arg;

	g_free(t->key);
	g_free(t);
	done(r, arg);
}

static json_t *row_of(const struct lease *l)
{
	return json_pack("{s:s,s:I,s:I}", "holder", l->holder, "fence",
			 l->fence, "deadline_ms", l->deadline_ms);
}

static json_t *txn_of(const char *key, int64_t version, const struct lease *l)
{
	return json_pack("{s:s,s:[{s:s,s:I}],s:[{s:s,s:o}]}", "id", l->holder,
			 "checks", "key", key, "version", version, "puts",
			 "key", key, "value", row_of(l));
}

static void on_written(const struct plat_result *r, void *arg)
{
	struct take *t = arg;

	if (r->status == PLAT_CONFLICT || r->status == PLAT_UNKNOWN) {
		read_row(t);
		return;
	}
	if (r->status != PLAT_OK) {
		finish(t, LEASE_FAILED);
		return;
	}
	t->lease->fence = t->next.fence;
	t->lease->deadline_ms = t->next.deadline_ms;
	t->lease->version =
		json_integer_value(json_object_get(r->json, "revision"));
	finish(t, lease_is_sure(t->lease, t->now(t->ctx), 0) ? LEASE_TAKEN
							     : LEASE_FAILED);
}

static int64_t number(const json_t *j, const char *field)
{
	return json_integer_value(json_object_get(j, field));
}

/*
 * A row that is this holder's own, from a lost answer or an earlier run, is
 * taken again with a new number: every number stands for one time of holding.
 */
static void on_row(const struct plat_result *r, void *arg)
{
	struct take *t = arg;
	const json_t *row = json_array_get(json_object_get(r->json, "rows"), 0);
	const json_t *v = json_object_get(row, "value");
	const char *holder = json_string_value(json_object_get(v, "holder"));
	int64_t now_ms = t->now(t->ctx);
	json_t *txn;

	if (r->status != PLAT_OK) {
		finish(t, LEASE_FAILED);
		return;
	}
	if (holder && strcmp(holder, t->lease->holder) &&
	    now_ms < number(v, "deadline_ms") + CLAIM_DRIFT_MS) {
		t->lease->deadline_ms = number(v, "deadline_ms");
		finish(t, LEASE_HELD);
		return;
	}
	t->next = (struct lease){.holder = t->lease->holder,
				 .fence = number(v, "fence") + 1,
				 .deadline_ms = now_ms + LEASE_MS};
	txn = txn_of(t->key, number(row, "version"), &t->next);
	t->plat->txn(t->plat->ctx, txn, on_written, t);
	json_decref(txn);
}

static void read_row(struct take *t)
{
	if (t->tries++ < TRIES_MAX)
		t->plat->scan(t->plat->ctx, t->key, NULL, on_row, t);
	else
		finish(t, LEASE_FAILED);
}

void lease_take(struct lease *l, struct platform *p, int64_t (*now)(void *ctx),
		void *ctx, lease_done_fn *done, void *arg)
{
	struct take *t = g_new0(struct take, 1);

	t->lease = l;
	t->plat = p;
	t->now = now;
	t->ctx = ctx;
	t->done = done;
	t->arg = arg;
	t->key = g_strconcat("lease/", l->name, "/", NULL);
	read_row(t);
}

bool lease_is_sure(const struct lease *l, int64_t now_ms, int64_t ms)
{
	return now_ms + ms < l->deadline_ms - CLAIM_DRIFT_MS;
}

static void on_released(const struct plat_result *r, void *arg)
{
	(void)r;
	(void)arg;
}

void lease_release(const struct lease *l, struct platform *p)
{
	struct lease free_one = {.holder = l->holder, .fence = l->fence};
	char *key = g_strconcat("lease/", l->name, "/", NULL);
	json_t *txn = txn_of(key, l->version, &free_one);

	p->txn(p->ctx, txn, on_released, NULL);
	json_decref(txn);
	g_free(key);
}
