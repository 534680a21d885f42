#include "state/order.h"

#include <string.h>

struct order_run {
	struct order_ops ops;
	struct lease lease;
	char **names; /* of the targets */
	size_t n;
	struct order_load *wants; /* own copies */
	size_t wanted;
	order_done_fn *done;
	void *arg;

	struct order_target *targets;
	json_t **orders; /* what each target was read back as */
	size_t unread;
	int64_t *versions; /* of the order rows; 0: absent */
	bool *unsure; /* an earlier holder may still have an order on its way */
	json_t **intended; /* of those: a list with the one order */
	struct order next;
	int64_t latest_ms; /* of the order in progress */
	bool owns_lease;
	bool probe;
};

/* One read-back. */
struct reading {
	struct order_run *run;
	size_t target;
};

static void read_target(struct order_run *r, size_t i);
static void read_all(struct order_run *r);
static void read_rows(struct order_run *r);

static void finish(struct order_run *r, enum order_result result)
{
	if (r->owns_lease)
		lease_release(&r->lease, r->ops.plat);
	r->done(result, r->arg);
}

static bool is_sure(struct order_run *r, int64_t ms)
{
	return lease_is_sure(&r->lease, r->ops.now(r->ops.ctx), ms);
}

static char *row_key(const struct order_run *r, size_t i)
{
	return g_strdup_printf("order/%s/%s", r->lease.name, r->names[i]);
}

/* Sending. */

static void on_sent(enum order_answer a, void *arg)
{
	struct order_run *r = arg;

	switch (a) {
	case ORDER_REFUSED:
		finish(r, ORDER_STALE);
		break;
	case ORDER_LOST:
		/* The next run has a higher number than what may arrive. */
		finish(r, ORDER_FAILED);
		break;
	case ORDER_TAKEN:
		r->unsure[r->next.target] = false;
		read_target(r, r->next.target);
		break;
	}
}

static json_t *order_json(const struct order_run *r)
{
	const struct order_load *l = &r->next.load;

	return json_pack("{s:s,s:s,s:s,s:s,s:I,s:I}", "order", "load_model",
			 "model", l->model, "adapter", l->adapter, "version",
			 l->version, "fence", r->lease.fence, "latest_ms",
			 r->latest_ms);
}

static void on_intended(const struct plat_result *res, void *arg)
{
	struct order_run *r = arg;
	json_t *j;

	/* After a lost answer the next run waits this order's time out. */
	if (res->status != PLAT_OK || r->ops.now(r->ops.ctx) >= r->latest_ms) {
		finish(r, ORDER_FAILED);
		return;
	}
	r->versions[r->next.target] =
		json_integer_value(json_object_get(res->json, "revision"));
	j = order_json(r);
	r->ops.send(r->ops.ctx, r->names[r->next.target], j, on_sent, r);
	json_decref(j);
}

/* The intended state first, and only while the lease is still this one. */
static void intend(struct order_run *r)
{
	char *lease = g_strconcat("lease/", r->lease.name, "/", NULL);
	char *key = row_key(r, r->next.target);
	json_t *value, *txn;

	r->latest_ms = r->ops.now(r->ops.ctx) + ORDER_MS;
	value = order_json(r);
	json_object_set_new(value, "holder", json_string(r->lease.holder));
	txn = json_pack("{s:s,s:[{s:s,s:I},{s:s,s:I}],s:[{s:s,s:o}]}", "id",
			r->lease.holder, "checks", "key", lease, "version",
			r->lease.version, "key", key, "version",
			r->versions[r->next.target], "puts", "key", key,
			"value", value);
	r->ops.plat->txn(r->ops.plat->ctx, txn, on_intended, r);
	json_decref(txn);
	g_free(lease);
	g_free(key);
}

static void on_weights(const struct plat_result *res, void *arg)
{
	struct order_run *r = arg;

	if (res->status != PLAT_OK)
		finish(r, ORDER_BUSY);
	else if (is_sure(r, ORDER_MS))
		intend(r);
	else
		finish(r, ORDER_FAILED);
}

/* Reading back. */

/*
 * A target that an earlier holder gave orders to is first told again what it
 * holds, with this lease's number: from then on it refuses older ones.
 */
static bool assert_again(struct order_run *r)
{
	for (size_t i = 0; i < r->n; i++) {
		if (!r->unsure[i] || !r->targets[i].alive)
			continue;
		r->next.target = i;
		r->next.load = *r->targets[i].held.model
				       ? r->targets[i].held
				       : order_held(r->intended[i]);
		return true;
	}
	return false;
}

static void decide(struct order_run *r)
{
	bool again = assert_again(r);

	if (r->probe)
		finish(r, again || order_next(r->targets, r->n, r->wants,
					      r->wanted, &r->next)
				  ? ORDER_DUE
				  : ORDER_DONE);
	else if (!is_sure(r, ORDER_MS))
		finish(r, ORDER_FAILED);
	else if (again && *r->targets[r->next.target].held.model)
		intend(r);
	else if (again ||
		 order_next(r->targets, r->n, r->wants, r->wanted, &r->next))
		r->ops.plat->weights(r->ops.plat->ctx, r->next.load.model,
				     on_weights, r);
	else
		finish(r, ORDER_DONE);
}

static void on_held(const json_t *orders, void *arg)
{
	struct reading *g = arg;
	struct order_run *r = g->run;
	size_t i = g->target;

	g_free(g);
	json_decref(r->orders[i]);
	r->orders[i] = orders ? json_deep_copy(orders) : NULL;
	r->targets[i] = (struct order_target){r->names[i], orders != NULL,
					      order_held(r->orders[i])};
	if (!--r->unread)
		decide(r);
}

static void read_one(struct order_run *r, size_t i)
{
	struct reading *g = g_new(struct reading, 1);

	*g = (struct reading){r, i};
	r->ops.read_back(r->ops.ctx, r->names[i], on_held, g);
}

static void read_target(struct order_run *r, size_t i)
{
	r->unread = 1;
	read_one(r, i);
}

static void read_all(struct order_run *r)
{
	r->unread = r->n + 1;
	for (size_t i = 0; i < r->n; i++)
		read_one(r, i);
	if (!--r->unread)
		decide(r);
}

/* Waiting out a predecessor. */

static void on_waited(void *arg)
{
	struct order_run *r = arg;

	if (is_sure(r, ORDER_MS))
		read_all(r);
	else
		finish(r, ORDER_FAILED);
}

static struct order_load copy_load(const struct order_load *l)
{
	return (struct order_load){g_strdup(l->model), g_strdup(l->adapter),
				   g_strdup(l->version)};
}

static void clear_load(struct order_load *l)
{
	g_free((char *)l->model);
	g_free((char *)l->adapter);
	g_free((char *)l->version);
	*l = (struct order_load){0};
}

static void note_target(struct order_run *r, size_t i, const json_t *row)
{
	json_t *v = json_object_get(row, "value");
	const char *holder = json_string_value(json_object_get(v, "holder"));

	r->versions[i] = json_integer_value(json_object_get(row, "version"));
	r->unsure[i] = !holder || strcmp(holder, r->lease.holder);
	json_decref(r->intended[i]);
	r->intended[i] = json_pack("[O]", v);
}

static void note_row(struct order_run *r, const json_t *row, int64_t *latest)
{
	const char *key = json_string_value(json_object_get(row, "key"));
	const json_t *v = json_object_get(row, "value");
	int64_t ms = json_integer_value(json_object_get(v, "latest_ms"));

	*latest = MAX(*latest, ms);
	for (size_t i = 0; key && i < r->n; i++) {
		char *want = row_key(r, i);

		if (!strcmp(key, want))
			note_target(r, i, row);
		g_free(want);
	}
}

static void on_rows(const struct plat_result *res, void *arg)
{
	struct order_run *r = arg;
	int64_t latest = 0;
	size_t i;
	json_t *row;

	if (res->status != PLAT_OK || (!r->probe && !is_sure(r, ORDER_MS))) {
		finish(r, ORDER_FAILED);
		return;
	}
	/* An answer from before the lease may lack an order. */
	if (json_integer_value(json_object_get(res->json, "revision")) <
	    r->lease.version) {
		read_rows(r);
		return;
	}
	json_array_foreach (json_object_get(res->json, "rows"), i, row)
		note_row(r, row, &latest);
	if (!r->probe && latest + CLAIM_DRIFT_MS > r->ops.now(r->ops.ctx))
		r->ops.wait(r->ops.ctx, latest + CLAIM_DRIFT_MS, on_waited, r);
	else
		read_all(r);
}

static void read_rows(struct order_run *r)
{
	char *prefix = g_strdup_printf("order/%s/", r->lease.name);

	r->ops.plat->scan(r->ops.plat->ctx, prefix, NULL, on_rows, r);
	g_free(prefix);
}

static void on_lease(enum lease_result res, void *arg)
{
	struct order_run *r = arg;

	r->owns_lease = res == LEASE_TAKEN;
	if (res == LEASE_TAKEN)
		read_rows(r);
	else
		finish(r, res == LEASE_HELD ? ORDER_HELD : ORDER_FAILED);
}

struct order_run *order_start(const struct order_ops *ops,
			      const struct order_task *task,
			      order_done_fn *done, void *arg)
{
	struct order_run *r = g_new0(struct order_run, 1);

	r->ops = *ops;
	r->lease.name = g_strdup(task->pool);
	r->lease.holder = g_strdup(task->holder);
	r->n = task->n;
	r->names = g_new0(char *, task->n + 1);
	for (size_t i = 0; i < task->n; i++)
		r->names[i] = g_strdup(task->targets[i]);
	r->wanted = task->wanted;
	r->wants = g_new0(struct order_load, task->wanted + 1);
	for (size_t i = 0; i < task->wanted; i++)
		r->wants[i] = copy_load(&task->wants[i]);
	r->targets = g_new0(struct order_target, task->n + 1);
	r->orders = g_new0(json_t *, task->n + 1);
	r->versions = g_new0(int64_t, task->n + 1);
	r->unsure = g_new0(bool, task->n + 1);
	r->intended = g_new0(json_t *, task->n + 1);
	r->done = done;
	r->arg = arg;
	r->probe = task->probe;
	if (r->probe)
		read_rows(r);
	else
		lease_take(&r->lease, r->ops.plat, r->ops.now, r->ops.ctx,
			   on_lease, r);
	return r;
}

int64_t order_fence(const struct order_run *r)
{
	return r->lease.fence;
}

void order_free(struct order_run *r)
{
	if (!r)
		return;
	for (size_t i = 0; i < r->wanted; i++)
		clear_load(&r->wants[i]);
	for (size_t i = 0; i < r->n; i++) {
		json_decref(r->orders[i]);
		json_decref(r->intended[i]);
	}
	g_free(r->unsure);
	g_free(r->intended);
	g_strfreev(r->names);
	g_free(r->wants);
	g_free(r->targets);
	g_free(r->orders);
	g_free(r->versions);
	g_free(r->lease.name);
	g_free(r->lease.holder);
	g_free(r);
}
