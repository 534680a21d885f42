#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "entry/inner.h"

#define BEAT_MS 100
/* Part of the time to revoke a key for which a configuration proves it. */
#define FRESH_PART 0.9
/* Callers are sent elsewhere once it is older than this part of that time. */
#define SERVE_PART 0.55
/*
 * After SIGTERM callers have a while to learn of it. Then connections that
 * carry nothing are closed, and what comes later still is refused: it could not
 * end before the kill. Something is left of the time to end in.
 */
#define LEAVE_IDLE_MS     1000
#define LEAVE_ACCEPT_MS   2500
#define LEAVE_ACCEPT_PART 0.33 /* at most this part of the time */
#define LEAVE_LEFT_MS     300

static bool is_within(const struct entry *e, int64_t now_ms, double part)
{
	int64_t at = atomic_load(&e->fresh_ms);

	return at &&
	       (double)(now_ms - at) < part * (double)e->set.bounds_revoke_ms;
}

bool entry_is_fresh(const struct entry *e, int64_t now_ms)
{
	return is_within(e, now_ms, FRESH_PART);
}

bool entry_is_serving(const struct entry *e, int64_t now_ms)
{
	return e->tr.config && e->tr.list && !e->tr.leaving_ms &&
	       is_within(e, now_ms, SERVE_PART);
}

void entry_config_fresh(struct entry *e, int64_t at_ms)
{
	if (at_ms > atomic_load(&e->fresh_ms))
		atomic_store(&e->fresh_ms, at_ms);
}

void entry_publish_config(struct entry *e, struct entry_config *c)
{
	struct entry_config *old;

	g_mutex_lock(&e->lock);
	old = e->config;
	e->config = c;
	g_mutex_unlock(&e->lock);
	entry_config_unref(old);
	metric_set(M_CONFIG_REVISION, c->version);
	ev_async_send(e->tr.loop, &e->tr.news);
}

void entry_publish_targets(struct entry *e, struct target_list *l)
{
	struct target_list *old;

	g_mutex_lock(&e->lock);
	old = e->list;
	e->list = l;
	g_mutex_unlock(&e->lock);
	target_list_unref(old);
	metric_set(M_TARGETS_LISTED, (int64_t)l->n);
	ev_async_send(e->tr.loop, &e->tr.news);
}

static void begin_to_leave(struct traffic *tr)
{
	int64_t now = time_boot_ms();
	double grace_ms = tr->set->bounds_grace_s * 1000;

	tr->leaving_ms = now;
	tr->refuse_at_ms = now + (int64_t)MIN(LEAVE_ACCEPT_MS,
					      LEAVE_ACCEPT_PART * grace_ms);
	tr->stop_at_ms = now + (int64_t)grace_ms - LEAVE_LEFT_MS;
	log_event(EV_NODE_STOPPING, "requests=%d", tr->exchanges);
}

/* Take what the control thread has published. */
static void on_news(struct ev_loop *loop, ev_async *w, int events)
{
	struct traffic *tr = w->data;
	struct entry *e = tr->e;
	struct entry_config *config;
	struct target_list *list;
	struct peer_list *peers;
	bool leaving;

	(void)loop;
	(void)events;
	g_mutex_lock(&e->lock);
	config = e->config ? entry_config_ref(e->config) : NULL;
	list = e->list ? target_list_ref(e->list) : NULL;
	peers = e->peers ? peer_list_ref(e->peers) : NULL;
	leaving = e->leaving;
	if (e->has_reloaded)
		settings_take_numbers(&entry_settings_table, "bounds", &e->set,
				      &e->reloaded);
	e->has_reloaded = false;
	g_mutex_unlock(&e->lock);
	entry_config_unref(tr->config);
	tr->config = config;
	if (list && list != tr->list)
		pool_take(tr, list);
	target_list_unref(tr->list);
	tr->list = list;
	peer_list_unref(tr->peers);
	tr->peers = peers;
	if (leaving && !tr->leaving_ms)
		begin_to_leave(tr);
	if (atomic_load(&e->stop_now))
		ev_break(tr->loop, EVBREAK_ALL);
}

static void close_port(struct traffic *tr, enum port_kind kind)
{
	struct port *p = &tr->ports[kind];

	if (p->fd <= 0)
		return;
	ev_io_stop(tr->loop, &p->io);
	close(p->fd);
	p->fd = -1;
}

static void stop_if_done(struct traffic *tr, int64_t now_ms)
{
	if (!tr->leaving_ms)
		return;
	if (now_ms - tr->leaving_ms >= LEAVE_IDLE_MS)
		callers_close_idle(tr);
	if (now_ms >= tr->refuse_at_ms)
		close_port(tr, PORT_CALLERS);
	if (now_ms >= tr->stop_at_ms ||
	    (now_ms >= tr->refuse_at_ms && !tr->exchanges))
		ev_break(tr->loop, EVBREAK_ALL);
}

/* Let the other nodes know whether callers may be sent here. */
static void tell_serving(struct traffic *tr, int64_t now_ms)
{
	bool serving = entry_is_serving(tr->e, now_ms);

	loads_set_serving(tr->e->loads, serving);
	if (serving == tr->serving)
		return;
	tr->serving = serving;
	log_event(EV_SERVING_CHANGED,
		  "serving=%d config=%d config_age_ms=%d leaving=%d", serving,
		  tr->config ? (int)tr->config->version : 0,
		  (int)(now_ms - atomic_load(&tr->e->fresh_ms)),
		  tr->leaving_ms != 0);
}

static void on_beat(struct ev_loop *loop, ev_timer *w, int events)
{
	struct traffic *tr = w->data;
	int64_t now = time_boot_ms();

	(void)loop;
	(void)events;
	pool_sweep(tr);
	tell_serving(tr, now);
	stop_if_done(tr, now);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	(void)loop;
	(void)events;
	caller_accept(w->data);
}

static bool open_port(struct traffic *tr, enum port_kind kind,
		      const char *address, GError **err)
{
	struct port *p = &tr->ports[kind];

	p->e = tr->e;
	p->kind = kind;
	p->fd = -1;
	if (!*address)
		return true;
	p->fd = sock_listen(address, err);
	if (p->fd < 0)
		return false;
	ev_io_init(&p->io, on_accept, p->fd, EV_READ);
	p->io.data = p;
	ev_io_start(tr->loop, &p->io);
	return true;
}

/* No counter is worth not serving, so a port that is taken is left alone. */
static void open_metrics(struct traffic *tr)
{
	GError *err = NULL;

	if (open_port(tr, PORT_METRICS, tr->set->listen_metrics, &err))
		return;
	log_event(EV_METRICS_UNAVAILABLE, "error=\"%s\"", err->message);
	g_error_free(err);
}

static bool open_ports(struct traffic *tr, GError **err)
{
	const struct entry_settings *s = tr->set;

	return open_port(tr, PORT_CALLERS, s->listen_callers, err) &&
	       open_port(tr, PORT_READY, s->listen_ready, err) &&
	       open_port(tr, PORT_ENTRIES, s->listen_entries, err);
}

static void traffic_init(struct entry *e)
{
	struct traffic *tr = &e->tr;

	tr->e = e;
	tr->set = &e->set;
	tr->d = e->o->dialect;
	tr->loop = ev_loop_new(EVFLAG_AUTO);
	later_begin(tr->loop);
	pool_init(tr);
	tr->callers = g_queue_new();
	tr->rand = g_rand_new();
	tr->started_ms = time_boot_ms();
	ev_async_init(&tr->news, on_news);
	tr->news.data = tr;
	ev_async_start(tr->loop, &tr->news);
	ev_timer_init(&tr->beat, on_beat, 0, BEAT_MS / 1000.0);
	tr->beat.data = tr;
	ev_timer_start(tr->loop, &tr->beat);
}

struct entry *entry_new(const struct entry_options *o, GError **err)
{
	struct entry *e = g_new0(struct entry, 1);
	GError *why = NULL;

	e->o = o;
	e->set = *o->set;
	e->control_set = *o->set;
	e->control_address = g_strdup_printf("%s:%d", e->set.node_ip,
					     (int)e->set.peers_port);
	e->loads = loads_new(member_id(e->set.node_name));
	e->holds = holds_new();
	traffic_init(e);
	open_metrics(&e->tr);
	if (open_ports(&e->tr, &why))
		e->control = control_new(e, &why);
	if (!why)
		return e;
	g_propagate_error(err, why);
	entry_free(e);
	return NULL;
}

void entry_serve(struct entry *e)
{
	GThread *control = g_thread_new("control", control_run, e->control);

	log_event(EV_NODE_STARTED, "name=%s zone=%s address=%s",
		  e->set.node_name, e->set.node_zone, e->set.listen_callers);
	ev_run(e->tr.loop, 0);
	control_stop(e->control);
	g_thread_join(control);
	log_event(EV_NODE_STOPPED, "requests=%d", e->tr.exchanges);
}

void entry_leave(struct entry *e)
{
	control_leave(e->control);
}

void entry_stop(struct entry *e)
{
	atomic_store(&e->stop_now, true);
	ev_async_send(e->tr.loop, &e->tr.news);
}

void entry_free(struct entry *e)
{
	struct traffic *tr = &e->tr;

	callers_close_all(tr);
	for (int i = 0; i < PORT_COUNT; i++)
		close_port(tr, (enum port_kind)i);
	pool_free(tr);
	if (e->control)
		control_free(e->control);
	g_queue_free(tr->callers);
	g_rand_free(tr->rand);
	entry_config_unref(tr->config);
	target_list_unref(tr->list);
	peer_list_unref(tr->peers);
	entry_config_unref(e->config);
	target_list_unref(e->list);
	peer_list_unref(e->peers);
	later_end(tr->loop);
	ev_loop_destroy(tr->loop);
	loads_free(e->loads);
	holds_free(e->holds);
	g_free(e->control_address);
	g_free(e);
}
