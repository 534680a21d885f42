/* Leases in the table. Each write of a row checks the version that was read. */
#include "state/lease.h"

#include <string.h>

#define READS_MAX 4 /* of the row, in one lease_acquire */

/* A call of lease_acquire in progress. */
struct acquisition {
	struct lease *lease;
	struct platform *plat;
	int64_t (*now)(void *ctx);
	void *ctx;
	lease_done_fn *done;
	void *arg;
	char *key;
	int reads;
	struct lease next; /* written by the transaction in progress */
};

static void read_row(struct acquisition *a);

static void finish(struct acquisition *a, enum lease_result r)
{
	lease_done_fn *done = a->done;
	void *arg = a->arg;

	g_free(a->key);
	g_free(a);
	done(r, arg);
}

static json_t *row_json(const struct lease *l)
{
	return json_pack("{s:s,s:I,s:I}", "holder", l->holder, "fence",
			 l->fence, "deadline_ms", l->deadline_ms);
}

static json_t *row_txn(const char *key, int64_t version, const struct lease *l)
{
	return json_pack("{s:s,s:[{s:s,s:I}],s:[{s:s,s:o}]}", "id", l->holder,
			 "checks", "key", key, "version", version, "puts",
			 "key", key, "value", row_json(l));
}

static void on_written(const struct plat_result *r, void *arg)
{
	struct acquisition *a = arg;

	if (r->status == PLAT_CONFLICT || r->status == PLAT_UNKNOWN) {
		read_row(a);
		return;
	}
	if (r->status != PLAT_OK) {
		finish(a, LEASE_FAILED);
		return;
	}
	a->lease->fence = a->next.fence;
	a->lease->deadline_ms = a->next.deadline_ms;
	a->lease->version =
		json_integer_value(json_object_get(r->json, "revision"));
	finish(a, lease_is_valid_for(a->lease, a->now(a->ctx), 0)
			  ? LEASE_ACQUIRED
			  : LEASE_FAILED);
}

static int64_t get_int(const json_t *j, const char *field)
{
	return json_integer_value(json_object_get(j, field));
}

/*
 * Return the fencing token after the row's. It is at least the time in ms, as a
 * table that was restored from an older copy has forgotten tokens that targets
 * have seen.
 */
static int64_t next_fence(const json_t *v, int64_t now_ms)
{
	return MAX(get_int(v, "fence") + 1, now_ms);
}

/*
 * A row that names this holder, from a transaction with a lost answer or from
 * an earlier acquisition, is acquired again with a new fencing token: a token
 * stands for one acquisition only.
 */
static void on_row(const struct plat_result *r, void *arg)
{
	struct acquisition *a = arg;
	const json_t *row = json_array_get(json_object_get(r->json, "rows"), 0);
	const json_t *v = json_object_get(row, "value");
	const char *holder = json_string_value(json_object_get(v, "holder"));
	int64_t now_ms = a->now(a->ctx);
	json_t *txn;

	if (r->status != PLAT_OK) {
		finish(a, LEASE_FAILED);
		return;
	}
	if (holder && strcmp(holder, a->lease->holder) &&
	    now_ms < get_int(v, "deadline_ms") + CLOCK_SKEW_MAX_MS) {
		a->lease->deadline_ms = get_int(v, "deadline_ms");
		finish(a, LEASE_HELD_BY_OTHER);
		return;
	}
	a->next = (struct lease){.holder = a->lease->holder,
				 .fence = next_fence(v, now_ms),
				 .deadline_ms = now_ms + LEASE_DURATION_MS};
	txn = row_txn(a->key, get_int(row, "version"), &a->next);
	a->plat->txn(a->plat->ctx, txn, on_written, a);
	json_decref(txn);
}

static void read_row(struct acquisition *a)
{
	if (a->reads++ < READS_MAX)
		a->plat->scan(a->plat->ctx, a->key, NULL, on_row, a);
	else
		finish(a, LEASE_FAILED);
}

void lease_acquire(struct lease *l, struct platform *p,
		   int64_t (*now)(void *ctx), void *ctx, lease_done_fn *done,
		   void *arg)
{
	struct acquisition *a = g_new0(struct acquisition, 1);

	a->lease = l;
	a->plat = p;
	a->now = now;
	a->ctx = ctx;
	a->done = done;
	a->arg = arg;
	a->key = g_strconcat("lease/", l->name, "/", NULL);
	read_row(a);
}

bool lease_is_valid_for(const struct lease *l, int64_t now_ms, int64_t ms)
{
	return now_ms + ms < l->deadline_ms - CLOCK_SKEW_MAX_MS;
}

static void on_released(const struct plat_result *r, void *arg)
{
	(void)r;
	(void)arg;
}

void lease_release(const struct lease *l, struct platform *p)
{
	struct lease released = {.holder = l->holder, .fence = l->fence};
	char *key = g_strconcat("lease/", l->name, "/", NULL);
	json_t *txn = row_txn(key, l->version, &released);

	p->txn(p->ctx, txn, on_released, NULL);
	json_decref(txn);
	g_free(key);
}
