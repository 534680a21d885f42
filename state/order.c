/*
 * A run that sends the orders of a pool. An order is written to the table
 * before it is sent, in a transaction that checks the lease, so that the next
 * holder knows of each order that may still arrive.
 */
#include "state/order.h"

#include <string.h>

struct order_run {
	struct order_ops ops;
	struct lease lease;
	char **target_names;
	size_t n;
	struct order_load *desired; /* the run's own copies */
	size_t desired_count;
	order_done_fn *done;
	void *arg;

	struct order_target *targets;
	json_t **orders; /* of each target, as read back; NULL: no answer */
	size_t reads_pending;
	int64_t *versions; /* of the order rows; 0: absent */
	/* The target may not know this lease's fencing token yet, so that it
	 * would accept a late order of an earlier holder. */
	bool *unfenced;
	json_t **stored_orders; /* of the order rows: lists with one order */
	struct order next_order;
	int64_t latest_ms; /* to send the order in progress */
	bool owns_lease;
	bool probe;
};

/* A call of read_back in progress. */
struct read_back_call {
	struct order_run *run;
	size_t target;
};

static void read_back_one(struct order_run *r, size_t i);
static void read_back_all(struct order_run *r);
static void read_rows(struct order_run *r);

static void finish(struct order_run *r, enum order_result result)
{
	if (r->owns_lease)
		lease_release(&r->lease, r->ops.plat);
	r->done(result, r->arg);
}

static bool has_lease_for(struct order_run *r, int64_t ms)
{
	return lease_is_valid_for(&r->lease, r->ops.now(r->ops.ctx), ms);
}

static char *row_key(const struct order_run *r, size_t i)
{
	return g_strdup_printf("order/%s/%s", r->lease.name,
			       r->target_names[i]);
}

/* Sending. */

static void on_sent(enum order_answer a, void *arg)
{
	struct order_run *r = arg;

	switch (a) {
	case ORDER_REFUSED:
		finish(r, ORDER_FENCED);
		break;
	case ORDER_UNANSWERED:
		/* The next run has a higher token than what may arrive. */
		finish(r, ORDER_FAILED);
		break;
	case ORDER_ACCEPTED:
		r->unfenced[r->next_order.target] = false;
		read_back_one(r, r->next_order.target);
		break;
	}
}

static json_t *order_json(const struct order_run *r)
{
	const struct order_load *l = &r->next_order.load;

	return json_pack("{s:s,s:s,s:s,s:s,s:I,s:I}", "order", "load_model",
			 "model", l->model, "adapter", l->adapter, "version",
			 l->version, "fence", r->lease.fence, "latest_ms",
			 r->latest_ms);
}

static void on_order_stored(const struct plat_result *res, void *arg)
{
	struct order_run *r = arg;
	json_t *j;

	/* If the answer was lost, the next run waits until latest_ms. */
	if (res->status != PLAT_OK || r->ops.now(r->ops.ctx) >= r->latest_ms) {
		finish(r, ORDER_FAILED);
		return;
	}
	r->versions[r->next_order.target] =
		json_integer_value(json_object_get(res->json, "revision"));
	j = order_json(r);
	r->ops.send(r->ops.ctx, r->target_names[r->next_order.target], j,
		    on_sent, r);
	json_decref(j);
}

/* Write the order's row, provided that the lease has not changed hands. */
static void store_order(struct order_run *r)
{
	char *lease = g_strconcat("lease/", r->lease.name, "/", NULL);
	char *key = row_key(r, r->next_order.target);
	json_t *value, *txn;

	r->latest_ms = r->ops.now(r->ops.ctx) + ORDER_VALID_MS;
	value = order_json(r);
	json_object_set_new(value, "holder", json_string(r->lease.holder));
	txn = json_pack("{s:s,s:[{s:s,s:I},{s:s,s:I}],s:[{s:s,s:o}]}", "id",
			r->lease.holder, "checks", "key", lease, "version",
			r->lease.version, "key", key, "version",
			r->versions[r->next_order.target], "puts", "key", key,
			"value", value);
	r->ops.plat->txn(r->ops.plat->ctx, txn, on_order_stored, r);
	json_decref(txn);
	g_free(lease);
	g_free(key);
}

static void on_weights(const struct plat_result *res, void *arg)
{
	struct order_run *r = arg;

	if (res->status != PLAT_OK)
		finish(r, ORDER_WEIGHTS_REFUSED);
	else if (has_lease_for(r, ORDER_VALID_MS))
		store_order(r);
	else
		finish(r, ORDER_FAILED);
}

/* Reading back. */

/*
 * Find a target to which an earlier holder sent orders. It first gets an order
 * for what it already holds, with this lease's fencing token, and from then on
 * refuses orders with older tokens.
 */
static bool find_unfenced(struct order_run *r)
{
	for (size_t i = 0; i < r->n; i++) {
		if (!r->unfenced[i] || !r->targets[i].alive)
			continue;
		r->next_order.target = i;
		r->next_order.load =
			*r->targets[i].held.model
				? r->targets[i].held
				: order_load_from_list(r->stored_orders[i]);
		return true;
	}
	return false;
}

static void send_next_or_finish(struct order_run *r)
{
	bool refence = find_unfenced(r);

	if (r->probe)
		finish(r,
		       refence || order_next(r->targets, r->n, r->desired,
					     r->desired_count, &r->next_order)
			       ? ORDER_DUE
			       : ORDER_DONE);
	else if (!has_lease_for(r, ORDER_VALID_MS))
		finish(r, ORDER_FAILED);
	else if (refence && *r->targets[r->next_order.target].held.model)
		store_order(r);
	else if (refence || order_next(r->targets, r->n, r->desired,
				       r->desired_count, &r->next_order))
		r->ops.plat->weights(r->ops.plat->ctx, r->next_order.load.model,
				     on_weights, r);
	else
		finish(r, ORDER_DONE);
}

static void on_read_back(const json_t *orders, void *arg)
{
	struct read_back_call *call = arg;
	struct order_run *r = call->run;
	size_t i = call->target;

	g_free(call);
	json_decref(r->orders[i]);
	r->orders[i] = orders ? json_deep_copy(orders) : NULL;
	r->targets[i] =
		(struct order_target){r->target_names[i], orders != NULL,
				      order_load_from_list(r->orders[i])};
	if (!--r->reads_pending)
		send_next_or_finish(r);
}

static void start_read_back(struct order_run *r, size_t i)
{
	struct read_back_call *call = g_new(struct read_back_call, 1);

	*call = (struct read_back_call){r, i};
	r->ops.read_back(r->ops.ctx, r->target_names[i], on_read_back, call);
}

static void read_back_one(struct order_run *r, size_t i)
{
	r->reads_pending = 1;
	start_read_back(r, i);
}

static void read_back_all(struct order_run *r)
{
	r->reads_pending = r->n + 1;
	for (size_t i = 0; i < r->n; i++)
		start_read_back(r, i);
	if (!--r->reads_pending)
		send_next_or_finish(r);
}

/* Waiting for the orders of an earlier holder to expire. */

static void on_old_orders_expired(void *arg)
{
	struct order_run *r = arg;

	if (has_lease_for(r, ORDER_VALID_MS))
		read_back_all(r);
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

static void record_target_row(struct order_run *r, size_t i, const json_t *row)
{
	json_t *v = json_object_get(row, "value");
	const char *holder = json_string_value(json_object_get(v, "holder"));

	r->versions[i] = json_integer_value(json_object_get(row, "version"));
	r->unfenced[i] = !holder || strcmp(holder, r->lease.holder);
	json_decref(r->stored_orders[i]);
	r->stored_orders[i] = json_pack("[O]", v);
}

static void record_row(struct order_run *r, const json_t *row, int64_t *latest)
{
	const char *key = json_string_value(json_object_get(row, "key"));
	const json_t *v = json_object_get(row, "value");
	int64_t ms = json_integer_value(json_object_get(v, "latest_ms"));

	*latest = MAX(*latest, ms);
	for (size_t i = 0; key && i < r->n; i++) {
		char *target_key = row_key(r, i);

		if (!strcmp(key, target_key))
			record_target_row(r, i, row);
		g_free(target_key);
	}
}

static void on_rows(const struct plat_result *res, void *arg)
{
	struct order_run *r = arg;
	int64_t latest = 0;
	size_t i;
	json_t *row;

	if (res->status != PLAT_OK ||
	    (!r->probe && !has_lease_for(r, ORDER_VALID_MS))) {
		finish(r, ORDER_FAILED);
		return;
	}
	/* A read from before the lease was acquired may lack an order. */
	if (json_integer_value(json_object_get(res->json, "revision")) <
	    r->lease.version) {
		read_rows(r);
		return;
	}
	json_array_foreach (json_object_get(res->json, "rows"), i, row)
		record_row(r, row, &latest);
	if (!r->probe && latest + CLOCK_SKEW_MAX_MS > r->ops.now(r->ops.ctx))
		r->ops.wait(r->ops.ctx, latest + CLOCK_SKEW_MAX_MS,
			    on_old_orders_expired, r);
	else
		read_back_all(r);
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

	r->owns_lease = res == LEASE_ACQUIRED;
	if (res == LEASE_ACQUIRED)
		read_rows(r);
	else
		finish(r, res == LEASE_HELD_BY_OTHER ? ORDER_LEASE_HELD
						     : ORDER_FAILED);
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
	r->target_names = g_new0(char *, task->n + 1);
	for (size_t i = 0; i < task->n; i++)
		r->target_names[i] = g_strdup(task->targets[i]);
	r->desired_count = task->desired_count;
	r->desired = g_new0(struct order_load, task->desired_count + 1);
	for (size_t i = 0; i < task->desired_count; i++)
		r->desired[i] = copy_load(&task->desired[i]);
	r->targets = g_new0(struct order_target, task->n + 1);
	r->orders = g_new0(json_t *, task->n + 1);
	r->versions = g_new0(int64_t, task->n + 1);
	r->unfenced = g_new0(bool, task->n + 1);
	r->stored_orders = g_new0(json_t *, task->n + 1);
	r->done = done;
	r->arg = arg;
	r->probe = task->probe;
	if (r->probe)
		read_rows(r);
	else
		lease_acquire(&r->lease, r->ops.plat, r->ops.now, r->ops.ctx,
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
	for (size_t i = 0; i < r->desired_count; i++)
		clear_load(&r->desired[i]);
	for (size_t i = 0; i < r->n; i++) {
		json_decref(r->orders[i]);
		json_decref(r->stored_orders[i]);
	}
	g_free(r->unfenced);
	g_free(r->stored_orders);
	g_strfreev(r->target_names);
	g_free(r->desired);
	g_free(r->targets);
	g_free(r->orders);
	g_free(r->versions);
	g_free(r->lease.name);
	g_free(r->lease.holder);
	g_free(r);
}
