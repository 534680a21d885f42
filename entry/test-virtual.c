/* A node in virtual time. See test-virtual.h. */
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "entry/evacuations.h"
#include "entry/origins.h"
#include "entry/test-virtual.h"

int64_t virtual_ms;

/* Replaces the C library's, for this program, libev and the modules. */
int clock_gettime(clockid_t id, struct timespec *t)
{
	if (!virtual_ms)
		return (int)syscall(SYS_clock_gettime, id, t);
	t->tv_sec = virtual_ms / 1000;
	t->tv_nsec = virtual_ms % 1000 * 1000000L;
	return 0;
}

struct ev_loop *virtual_loop_new(void)
{
	virtual_ms = VIRTUAL_START_MS;
	return ev_loop_new(EVFLAG_AUTO);
}

void virtual_step(struct ev_loop *loop, int ms)
{
	while (ms-- > 0) {
		virtual_ms++;
		ev_run(loop, EVRUN_NOWAIT);
	}
}

void virtual_loop_end(struct ev_loop *loop)
{
	ev_loop_destroy(loop);
	virtual_ms = 0;
}

static void ignore_views(struct ev_loop *loop, ev_async *w, int events)
{
	(void)loop;
	(void)w;
	(void)events;
}

struct store_sync *virtual_node_init(struct entry *e, struct entry_options *o,
				     const struct store_api *api, void *store,
				     struct ev_loop *loop, bool reader,
				     guint32 seed)
{
	struct entry_settings *s = &e->control_settings;
	struct store_sync *sync;

	o->store = api;
	e->o = o;
	e->store = store;
	s->store_targets_poll_ms = 700;
	s->store_config_wait_ms = 50;
	s->store_timeout_ms = VIRTUAL_TIMEOUT_MS;
	e->settings = *s;
	e->tr.e = e;
	e->tr.settings = &e->settings;
	e->tr.loop = loop;
	e->origins = origins_new();
	e->notices = notices_new();
	e->evacuations = entry_evacuations_new(e);
	e->target_limits = target_limits_new(&limit_requests, 1, NULL, NULL);
	ev_async_init(&e->tr.views_published, ignore_views);
	ev_async_start(loop, &e->tr.views_published);
	sync = store_sync_new(e, loop);
	g_rand_set_seed(sync->rand, seed);
	store_sync_set_reader(sync, reader, VIRTUAL_FLEET);
	return sync;
}

void virtual_node_clear(struct entry *e, struct store_sync *sync)
{
	store_sync_free(sync);
	ev_async_stop(e->tr.loop, &e->tr.views_published);
	entry_config_unref(e->config);
	target_list_unref(e->list);
	origins_free(e->origins);
	notices_free(e->notices);
	evacuations_free(e->evacuations);
	target_limits_free(e->target_limits);
}

json_t *virtual_value(const struct store_page *p, size_t i)
{
	return json_pack("{s:I}", "version", (json_int_t)p->rows[i].revision);
}

struct entry_config *virtual_config(const json_t *value, GError **err)
{
	struct entry_config *c = entry_config_new();

	(void)err;
	c->version = json_integer_value(json_object_get(value, "version"));
	entry_config_index(c);
	return c;
}

bool virtual_target(void *arena, const char *key, const json_t *value,
		    struct target_info *out)
{
	(void)arena;
	(void)value;
	*out = (struct target_info){.id = 1, .name = str_c(key)};
	return true;
}
