/* Targets and holders of the lease, as events of the fake platform. */
#include "state/test-orders.h"

#include <string.h>

#define RUN_INTERVAL_MS   3000
#define ANSWER_MS         2
#define ANSWER_TIMEOUT_MS 1000

struct sim_call {
	struct sim_holder *holder;
	struct sim_target *target;
	json_t *order;
	order_read_back_fn *on_orders;
	order_sent_fn *on_answer;
	enum order_answer answer;
	json_t *list;
	void *arg;
	void (*fn)(void *);
};

static struct sim_call *new_call(struct sim_holder *h, const char *target,
				 void *arg)
{
	struct sim_call *c = g_new0(struct sim_call, 1);

	c->holder = h;
	c->arg = arg;
	for (size_t i = 0; target && i < h->orders->n; i++) {
		if (!strcmp(h->orders->target[i].name, target))
			c->target = &h->orders->target[i];
	}
	g_ptr_array_add(h->orders->sim_calls, c);
	return c;
}

static void schedule(struct sim_call *c, int64_t ms, fake_fn *fn)
{
	fake_schedule(c->holder->orders->fake, c->holder->proc, ms, fn, c);
}

static int64_t wall_clock_ms(void *ctx)
{
	struct sim_holder *h = ctx;

	return fake_clock(h->orders->fake, h->proc);
}

static void on_wait(void *arg)
{
	struct sim_call *c = arg;

	c->fn(c->arg);
}

static void wait_until(void *ctx, int64_t until_ms, void (*fn)(void *arg),
		       void *arg)
{
	struct sim_call *c = new_call(ctx, NULL, arg);

	c->fn = fn;
	schedule(c, MAX(until_ms - wall_clock_ms(ctx), 0), on_wait);
}

static void deliver_orders(void *arg)
{
	struct sim_call *c = arg;

	c->on_orders(c->list, c->arg);
}

static void read_orders(void *arg)
{
	struct sim_call *c = arg;

	if (!c->target->down)
		c->list = c->target->order ? json_pack("[O]", c->target->order)
					   : json_array();
	schedule(c, 1, deliver_orders);
}

static void read_back(void *ctx, const char *target, order_read_back_fn *done,
		      void *arg)
{
	struct sim_call *c = new_call(ctx, target, arg);

	c->on_orders = done;
	fake_schedule(c->holder->orders->fake, -1, 1, read_orders, c);
}

static struct order_load held_load(const struct sim_target *t)
{
	json_t *list = t->order ? json_pack("[O]", t->order) : json_array();
	struct order_load l = order_load_from_list(list);

	json_decref(list);
	return l;
}

static size_t count_copies(const struct orders *o, const char *model)
{
	size_t n = 0;

	for (size_t i = 0; i < o->n; i++)
		n += !o->target[i].down &&
		     !strcmp(held_load(&o->target[i]).model, model);
	return n;
}

static void apply_order(struct orders *o, struct sim_target *t, json_t *order)
{
	size_t before[4];

	for (size_t w = 0; w < o->desired_count; w++)
		before[w] = count_copies(o, o->desired[w].model);
	json_decref(t->order);
	t->order = json_incref(order);
	for (size_t w = 0; w < o->desired_count; w++)
		o->lost_copies +=
			before[w] && !count_copies(o, o->desired[w].model);
}

static void on_sent(void *arg)
{
	struct sim_call *c = arg;

	c->on_answer(c->answer, c->arg);
}

static void receive_order(void *arg)
{
	struct sim_call *c = arg;
	struct orders *o = c->holder->orders;
	struct sim_target *t = c->target;
	int64_t fence = json_integer_value(json_object_get(c->order, "fence"));
	bool is_stale = fence < t->fence;

	if (t->down) {
		c->answer = ORDER_UNANSWERED;
	} else if (is_stale && t->checks_fence) {
		c->answer = ORDER_REFUSED;
		o->stale_refused++;
	} else {
		c->answer = ORDER_ACCEPTED;
		o->stale_accepted += is_stale || fence < o->done_fence;
		t->fence = MAX(t->fence, fence);
		apply_order(o, t, c->order);
	}
	if (g_rand_double(o->fake->rand) < o->lose_answer)
		c->answer = ORDER_UNANSWERED;
	schedule(c,
		 c->answer == ORDER_UNANSWERED ? ANSWER_TIMEOUT_MS : ANSWER_MS,
		 on_sent);
}

/* A step of the holder's process, so that it can be paused before it sends. */
static void send_now(void *arg)
{
	struct sim_call *c = arg;

	fake_schedule(c->holder->orders->fake, -1, 1, receive_order, c);
}

static void send_order(void *ctx, const char *target, const json_t *order,
		       order_sent_fn *done, void *arg)
{
	struct sim_call *c = new_call(ctx, target, arg);

	c->on_answer = done;
	c->order = json_deep_copy(order);
	c->holder->orders->sent_late +=
		wall_clock_ms(ctx) >=
		json_integer_value(json_object_get(order, "latest_ms"));
	schedule(c, 0, send_now);
}

static void start_run(void *arg);

static void on_done(enum order_result r, void *arg)
{
	struct sim_holder *h = arg;

	h->results[r]++;
	h->probing = r != ORDER_DUE;
	if (r == ORDER_DUE) {
		fake_schedule(h->orders->fake, h->proc, 0, start_run, h);
		return;
	}
	if (r == ORDER_DONE && order_fence(h->run))
		h->orders->done_fence =
			MAX(h->orders->done_fence, order_fence(h->run));
	fake_schedule(h->orders->fake, h->proc, RUN_INTERVAL_MS, start_run, h);
}

static void start_run(void *arg)
{
	struct sim_holder *h = arg;
	struct orders *o = h->orders;
	const char *names[SIM_TARGETS_MAX];
	struct order_task task = {.pool = "pool",
				  .holder = h->id,
				  .probe = h->probing,
				  .targets = names,
				  .n = o->n,
				  .desired = o->desired,
				  .desired_count = o->desired_count};
	struct order_ops ops = {
		.ctx = h,
		.plat = fake_platform(o->fake, h->proc),
		.now = wall_clock_ms,
		.wait = wait_until,
		.read_back = read_back,
		.send = send_order,
	};

	for (size_t i = 0; i < o->n; i++)
		names[i] = o->target[i].name;
	order_free(h->run);
	h->run = order_start(&ops, &task, on_done, h);
}

struct orders *orders_new(struct fake *f, size_t targets, bool checks_fence)
{
	struct orders *o = g_new0(struct orders, 1);

	o->fake = f;
	o->n = targets;
	o->sim_calls = g_ptr_array_new();
	for (size_t i = 0; i < targets; i++) {
		g_snprintf(o->target[i].name, sizeof(o->target[i].name), "e%zu",
			   i);
		o->target[i].checks_fence = checks_fence;
	}
	for (int p = 0; p < SIM_HOLDERS; p++) {
		o->holder[p].orders = o;
		o->holder[p].proc = p;
		o->holder[p].probing = true;
		g_snprintf(o->holder[p].id, sizeof(o->holder[p].id), "n%d", p);
	}
	return o;
}

void orders_free(struct orders *o)
{
	for (guint i = 0; i < o->sim_calls->len; i++) {
		struct sim_call *c = g_ptr_array_index(o->sim_calls, i);

		json_decref(c->order);
		json_decref(c->list);
		g_free(c);
	}
	for (int p = 0; p < SIM_HOLDERS; p++)
		order_free(o->holder[p].run);
	for (size_t i = 0; i < o->n; i++)
		json_decref(o->target[i].order);
	g_ptr_array_unref(o->sim_calls);
	g_free(o);
}

void orders_start(struct orders *o, int p)
{
	fake_schedule(o->fake, p, 1, start_run, &o->holder[p]);
}

size_t orders_count_wrong(const struct orders *o)
{
	size_t wrong = 0;
	size_t have[4] = {0};

	for (size_t i = 0; i < o->n; i++) {
		struct order_load l = held_load(&o->target[i]);
		size_t w = 0;

		while (w < o->desired_count &&
		       !order_load_equal(&l, &o->desired[w]))
			w++;
		if (w == o->desired_count)
			wrong++;
		else
			have[w]++;
	}
	for (size_t w = 0; w < o->desired_count; w++)
		wrong += have[w] < o->n / o->desired_count;
	return wrong;
}

int64_t orders_converge(struct orders *o, int64_t max_ms)
{
	int64_t start = o->fake->now_ms;

	while (orders_count_wrong(o) && o->fake->now_ms < start + max_ms)
		fake_run(o->fake, o->fake->now_ms + 50);
	return o->fake->now_ms - start;
}

static bool chance(struct fake *f, double p)
{
	return g_rand_double(f->rand) < p;
}

static void draw_faults(struct orders *o)
{
	struct fake *f = o->fake;

	f->faults.lose_answer = chance(f, 0.5) ? 0.1 : 0;
	f->faults.late_effect = chance(f, 0.5) ? 0.1 : 0;
	f->faults.refuse = chance(f, 0.5) ? 0.1 : 0;
	f->faults.stale = chance(f, 0.5) ? 0.5 : 0;
	f->faults.stale_revisions = 6;
	f->weight_ms = chance(f, 0.5) ? 700 : 0;
	o->lose_answer = chance(f, 0.5) ? 0.1 : 0;
	for (int p = 0; p < SIM_HOLDERS; p++) {
		struct fake_proc *pr = &f->procs[p];

		pr->clock_offset_ms = g_rand_int_range(
			f->rand, -CLOCK_SKEW_MAX_MS / 2, CLOCK_SKEW_MAX_MS / 2);
		pr->pause_at_step = g_rand_int_range(f->rand, 1, 120);
		pr->pause_ms = g_rand_int_range(f->rand, 100, 60000);
	}
	if (chance(f, 0.5))
		f->procs[0].kill_at_step = g_rand_int_range(f->rand, 1, 120);
}

size_t orders_schedule(uint32_t seed, bool checks_fence, struct orders *sum)
{
	struct fake *f = fake_new(seed);
	struct orders *o = orders_new(f, 4, checks_fence);
	size_t wrong;

	o->desired[0] = (struct order_load){"m1", "", "v1"};
	o->desired[1] = (struct order_load){"m2", "", "v1"};
	o->desired_count = 2;
	draw_faults(o);
	for (int p = 0; p < SIM_HOLDERS; p++)
		orders_start(o, p);
	fake_run(f, f->now_ms + g_rand_int_range(f->rand, 1000, 60000));
	o->desired[0].version = "v2";
	o->desired[1].adapter = "a1";
	fake_run(f, f->now_ms + 60000);
	f->faults = (struct fake_faults){
		.delay_min_ms = 1, .delay_max_ms = 5, .timeout_ms = 2000};
	o->lose_answer = 0;
	orders_converge(o, 300000);
	/* Let late orders arrive, and the holders correct their effect. */
	fake_run(f, f->now_ms + 120000);
	wrong = orders_count_wrong(o);
	sum->lost_copies += o->lost_copies;
	sum->stale_accepted += o->stale_accepted;
	sum->stale_refused += o->stale_refused;
	sum->sent_late += o->sent_late;
	orders_free(o);
	fake_free(f);
	return wrong;
}
