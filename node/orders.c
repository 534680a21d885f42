/*
 * Control module: orders the targets of model services to load models. For each
 * pool the node that owns it checks at intervals whether every target holds
 * what the pool's services need, and sends orders where a target does not.
 */
#include <sodium.h>
#include <string.h>

#include "node/node.h"
#include "state/order.h"

#define CALL_TIMEOUT_MS     2000 /* of a call to a target */
#define BUSY_BACKOFF_MS     2000 /* first one after the weight store refused */
#define BUSY_BACKOFF_MAX_MS 60000
#define RETRY_INTERVAL_MS   5000 /* after a run that failed */
#define CHECK_INTERVAL_MS   500

/* State of the module; control thread only. */
struct orders {
	struct control_env *env;
	char *holder;      /* unique to this process */
	GHashTable *pools; /* name -> struct pool */
	GSList *timers;    /* struct timer */
	int64_t next_check_ms;
};

/* A pool for which this node checks or gives orders. */
struct pool {
	struct orders *orders;
	char *name;
	struct fleet *fleet; /* that the run in progress uses */
	struct order_run *run;
	bool ended;
	bool probe; /* the run only checks */
	enum order_result result;
	int64_t next_ms;         /* start of the next run; monotonic */
	int64_t busy_backoff_ms; /* current backoff; 0: none */
};

/* A wait of a run in progress. */
struct timer {
	int64_t until_ms; /* wall clock */
	void (*fn)(void *arg);
	void *arg;
};

/* A call to a target in progress; one of the callbacks is set. */
struct call {
	order_read_back_fn *on_read_back;
	order_sent_fn *on_sent;
	void *arg;
};

static int64_t wall_now_ms(void *ctx)
{
	(void)ctx;
	return time_now_ms();
}

static void wait_until(void *ctx, int64_t until_ms, void (*fn)(void *arg),
		       void *arg)
{
	struct pool *p = ctx;
	struct timer *t = g_new(struct timer, 1);

	*t = (struct timer){until_ms, fn, arg};
	p->orders->timers = g_slist_prepend(p->orders->timers, t);
}

static void run_timers(struct orders *o)
{
	GSList *all = o->timers;

	o->timers = NULL;
	for (GSList *i = all; i; i = i->next) {
		struct timer *t = i->data;

		if (time_now_ms() < t->until_ms) {
			o->timers = g_slist_prepend(o->timers, t);
			continue;
		}
		t->fn(t->arg);
		g_free(t);
	}
	g_slist_free(all);
}

static void call_target(struct pool *p, const char *method, const char *target,
			struct str body, fetch_done_fn *done, struct call *c)
{
	const struct target *t = fleet_target(p->fleet, target);
	char *url = g_strdup_printf("http://%s/orders", t->address);

	fetch(p->orders->env->fetcher, method, url, body, CALL_TIMEOUT_MS, done,
	      c);
	g_free(url);
}

static void on_read(const struct fetch_result *r, void *arg)
{
	struct call *c = arg;
	json_t *j = r->status == 200
			    ? json_loadb(r->body.data, r->body.len, 0, NULL)
			    : NULL;
	const json_t *list = json_object_get(j, "orders");

	c->on_read_back(json_is_array(list) ? list : NULL, c->arg);
	json_decref(j);
	g_free(c);
}

static void read_back(void *ctx, const char *target, order_read_back_fn *done,
		      void *arg)
{
	struct call *c = g_new0(struct call, 1);

	c->on_read_back = done;
	c->arg = arg;
	call_target(ctx, "GET", target, str_c(NULL), on_read, c);
}

static void on_sent(const struct fetch_result *r, void *arg)
{
	struct call *c = arg;

	if (r->status == 200)
		c->on_sent(ORDER_ACCEPTED, c->arg);
	else
		c->on_sent(r->status == 409 ? ORDER_REFUSED : ORDER_UNANSWERED,
			   c->arg);
	g_free(c);
}

static void send_order(void *ctx, const char *target, const json_t *order,
		       order_sent_fn *done, void *arg)
{
	struct call *c = g_new0(struct call, 1);
	char *body = json_dumps(order, JSON_COMPACT);

	c->on_sent = done;
	c->arg = arg;
	log_event(EV_ORDER_SENT, "target=%s order=%s", target, body);
	call_target(ctx, "POST", target, str_c(body), on_sent, c);
	free(body);
}

/* The next tick frees the run, as its own callback must not. */
static void on_done(enum order_result r, void *arg)
{
	struct pool *p = arg;

	p->ended = true;
	p->result = r;
}

static GPtrArray *target_names(const struct fleet *f, const char *pool)
{
	GPtrArray *a = g_ptr_array_new();

	for (guint i = 0; i < f->targets->len; i++) {
		const struct target *t = g_ptr_array_index(f->targets, i);

		if (!t->leaving && !strcmp(t->pool, pool))
			g_ptr_array_add(a, t->name);
	}
	return a;
}

static bool uses_orders(const struct service *s)
{
	return s->kind == SERVICE_MODEL && s->version;
}

static int compare_loads(const void *a, const void *b)
{
	const struct order_load *x = a, *y = b;
	int c = strcmp(x->model, y->model);

	c = c ? c : strcmp(x->version, y->version);
	return c ? c : strcmp(x->adapter, y->adapter);
}

/*
 * Return what the pool's services need loaded, without duplicates and in the
 * same order on all nodes.
 */
static GArray *desired_loads(const struct config *c, const char *pool)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(struct order_load));
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, c->resources[KIND_SERVICE]);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct service *s = v;
		struct order_load l = {s->model, s->adapter ? s->adapter : "",
				       s->version};

		if (uses_orders(s) && !strcmp(s->pool, pool))
			g_array_append_val(a, l);
	}
	g_array_sort(a, compare_loads);
	for (guint i = 1; i < a->len;) {
		struct order_load *l = &g_array_index(a, struct order_load, i);

		if (compare_loads(l - 1, l))
			i++;
		else
			g_array_remove_index(a, i);
	}
	return a;
}

static void start_run(struct pool *p, const struct config *c)
{
	struct orders *o = p->orders;
	struct order_ops ops = {.ctx = p,
				.plat = &o->env->plat,
				.now = wall_now_ms,
				.wait = wait_until,
				.read_back = read_back,
				.send = send_order};
	GPtrArray *targets;
	GArray *desired = desired_loads(c, p->name);
	struct order_task task = {
		.pool = p->name, .holder = o->holder, .probe = p->probe};

	p->fleet = node_fleet(o->env->node);
	targets = target_names(p->fleet, p->name);
	task.targets = (const char *const *)targets->pdata;
	task.n = targets->len;
	task.desired = (const struct order_load *)desired->data;
	task.desired_count = desired->len;
	p->ended = false;
	p->run = order_start(&ops, &task, on_done, p);
	g_ptr_array_unref(targets);
	g_array_unref(desired);
}

/*
 * Free the run, and set when the next one starts and whether it is only a
 * probe.
 */
static void finish_run(struct pool *p, int64_t now_ms)
{
	int64_t wait = p->orders->env->node->set.orders_recheck_ms;

	if (p->result == ORDER_WEIGHTS_REFUSED) {
		p->busy_backoff_ms =
			CLAMP(p->busy_backoff_ms * 2, BUSY_BACKOFF_MS,
			      BUSY_BACKOFF_MAX_MS);
		wait = p->busy_backoff_ms / 2 +
		       randombytes_uniform((uint32_t)p->busy_backoff_ms);
	} else {
		p->busy_backoff_ms = 0;
		if (p->result != ORDER_DONE)
			wait = MIN(wait, RETRY_INTERVAL_MS);
	}
	if (p->result == ORDER_FENCED)
		log_event(EV_ORDER_STALE, "pool=%s", p->name);
	p->probe = p->result != ORDER_DUE;
	p->next_ms = p->result == ORDER_DUE ? now_ms : now_ms + wait;
	order_free(p->run);
	fleet_unref(p->fleet);
	p->run = NULL;
	p->fleet = NULL;
}

static void free_pool(void *v)
{
	struct pool *p = v;

	order_free(p->run);
	fleet_unref(p->fleet);
	g_free(p->name);
	g_free(p);
}

static struct pool *find_pool(struct orders *o, const char *name)
{
	struct pool *p = g_hash_table_lookup(o->pools, name);

	if (p)
		return p;
	p = g_new0(struct pool, 1);
	p->orders = o;
	p->name = g_strdup(name);
	p->probe = true;
	g_hash_table_insert(o->pools, p->name, p);
	return p;
}

/* Start a run for each pool that this node owns and that is due. */
static void start_due_runs(struct orders *o, int64_t now_ms)
{
	struct node *n = o->env->node;
	struct config *c = node_config(n);
	struct fleet *f = node_fleet(n);
	GHashTableIter it;
	gpointer v;

	if (c && f)
		g_hash_table_iter_init(&it, c->resources[KIND_SERVICE]);
	while (c && f && g_hash_table_iter_next(&it, NULL, &v)) {
		const struct service *s = v;
		struct pool *p;

		if (!uses_orders(s) ||
		    !fleet_owns_key(f, n->set.node_name, s->pool))
			continue;
		p = find_pool(o, s->pool);
		if (!p->run && now_ms >= p->next_ms)
			start_run(p, c);
	}
	config_unref(c);
	fleet_unref(f);
}

static void *start(struct control_env *env)
{
	struct orders *o = g_new0(struct orders, 1);

	o->env = env;
	o->holder = g_strdup_printf("%s-%08x", env->node->set.node_name,
				    randombytes_random());
	o->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	return o;
}

static void tick(void *ctx, int64_t now_ms)
{
	struct orders *o = ctx;
	GHashTableIter it;
	gpointer v;

	run_timers(o);
	g_hash_table_iter_init(&it, o->pools);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct pool *p = v;

		if (p->run && p->ended)
			finish_run(p, now_ms);
	}
	if (now_ms < o->next_check_ms)
		return;
	o->next_check_ms = now_ms + CHECK_INTERVAL_MS;
	start_due_runs(o, now_ms);
}

static void stop(void *ctx)
{
	struct orders *o = ctx;

	g_slist_free_full(o->timers, g_free);
	g_hash_table_unref(o->pools);
	g_free(o->holder);
	g_free(o);
}

const struct control_module orders_module = {
	.start = start,
	.tick = tick,
	.stop = stop,
};
