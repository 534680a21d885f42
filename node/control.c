/*
 * The control thread: an event loop over the control modules. It never blocks;
 * every call to another process completes in a callback.
 */
#include "node/node.h"

#define TICK_MS     20
#define MODULES_MAX 16

/* Started in this order and stopped in reverse. */
static const struct control_module *const modules[] = {
	&config_module, &list_module,  &orders_module, &sweep_module,
	&gossip_module, &loads_module, &limits_module, &chat_faults_module,
};

/*
 * Collect the modules' descriptors; owner[i] is the index of fds[i]'s module.
 */
static unsigned collect_fds(void *const *ctx, struct pollfd *fds, size_t *owner)
{
	unsigned n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(modules); i++) {
		if (!modules[i]->fd)
			continue;
		owner[n] = i;
		fds[n++] = (struct pollfd){modules[i]->fd(ctx[i]), POLLIN, 0};
	}
	return n;
}

static void run_once(struct control_env *env, void *const *ctx)
{
	struct pollfd fds[MODULES_MAX];
	size_t owner[MODULES_MAX];
	unsigned n = collect_fds(ctx, fds, owner);
	int64_t now;

	fetcher_poll(env->fetcher, fds, n, TICK_MS);
	for (unsigned i = 0; i < n; i++) {
		if (fds[i].revents)
			modules[owner[i]]->readable(ctx[owner[i]]);
	}
	now = time_mono_ms();
	for (size_t i = 0; i < G_N_ELEMENTS(modules); i++)
		modules[i]->tick(ctx[i], now);
}

void *control_run(void *node)
{
	struct control_env env = {.node = node, .fetcher = fetcher_new()};
	struct platform_http *p =
		platform_http_new(&env.node->set, env.fetcher, &env.plat);
	void *ctx[MODULES_MAX];

	for (size_t i = 0; i < G_N_ELEMENTS(modules); i++)
		ctx[i] = modules[i]->start(&env);
	while (!atomic_load(&env.node->stop_control))
		run_once(&env, ctx);
	fetcher_free(env.fetcher);
	for (size_t i = G_N_ELEMENTS(modules); i-- > 0;)
		modules[i]->stop(ctx[i]);
	platform_http_free(p);
	return NULL;
}
