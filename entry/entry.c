/*
 * Start, shutdown and main loop of the traffic thread, and the hand-over of
 * views from the control thread: it stores a view under the lock and wakes the
 * traffic thread, which takes its own reference.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "entry/evacuations.h"
#include "entry/exchange.h"
#include "entry/internal.h"
#include "entry/origins.h"
#include "entry/shed.h"
#include "entry/tunnel.h"

#define HOUSEKEEPING_MS 100
/*
 * Limits of the configuration's age, as parts of the time limit for revoking a
 * key. Above the first the node stops serving, so that callers change to other
 * nodes; above the second it accepts no keys.
 */
#define CONFIG_SERVE_PART 0.55
#define CONFIG_VALID_PART 0.9
/*
 * Graceful shutdown after SIGTERM. First callers get time to detect it. Then
 * idle connections are closed, and a little later new requests are refused, as
 * they could not end before SIGKILL. From then on no connection is begun; those
 * that are being established have LEAVE_HANDSHAKE_MS until the port is closed.
 * The process exits some time before the grace period ends.
 */
#define LEAVE_CLOSE_IDLE_MS   1000
#define LEAVE_ACCEPT_MS       2500
#define LEAVE_ACCEPT_MAX_PART 0.33 /* of the grace period */
#define LEAVE_HANDSHAKE_MS    50
#define LEAVE_MARGIN_MS       300

/*
 * Whether the configuration that the traffic thread has was confirmed within
 * part x the revoke limit.
 */
static bool is_config_younger(const struct entry *e, int64_t now_ms,
			      double part)
{
	int64_t fresh_ms = entry_config_fresh_ms(e->tr.config);

	return fresh_ms && (double)(now_ms - fresh_ms) <
				   part * (double)e->settings.bounds_revoke_ms;
}

bool entry_config_is_valid(const struct entry *e, int64_t now_ms)
{
	return is_config_younger(e, now_ms, CONFIG_VALID_PART);
}

bool entry_is_serving(const struct entry *e, int64_t now_ms)
{
	return !e->tr.leaving_ms && pool_list_is_usable(&e->tr, now_ms) &&
	       is_config_younger(e, now_ms, CONFIG_SERVE_PART);
}

void entry_confirm_config(struct entry *e, int64_t at_ms)
{
	if (at_ms <= atomic_load(&e->config_fresh_ms))
		return;
	atomic_store(&e->config_fresh_ms, at_ms);
	/* The traffic thread may still have the one before, which ages. */
	if (e->config)
		atomic_store(&e->config->fresh_ms, at_ms);
}

void entry_confirm_targets(struct entry *e, int64_t at_ms, uint64_t from)
{
	if (!e->list)
		return;
	atomic_store(&e->list->fresh_from, from);
	atomic_store(&e->list->fresh_ms, at_ms);
}

void entry_publish_config(struct entry *e, struct entry_config *c)
{
	struct entry_config *old;

	/* What the one before lacked then, a newer one lacks no more of. */
	atomic_store(&c->fresh_ms, atomic_load(&e->config_fresh_ms));
	g_mutex_lock(&e->lock);
	old = e->config;
	e->config = c;
	g_mutex_unlock(&e->lock);
	entry_config_unref(old);
	metric_set(M_CONFIG_REVISION, c->version);
	ev_async_send(e->tr.loop, &e->tr.views_published);
}

void entry_publish_targets(struct entry *e, struct target_list *l)
{
	struct target_list *old;

	/* First, so that no stream begins at a version that is not known. */
	if (origins_set_targets(e->origins, l, time_boot_ms()) && e->control)
		control_ask_origins(e->control);
	/* It has all that the one before had then. */
	if (e->list) {
		atomic_store(&l->fresh_from, atomic_load(&e->list->fresh_from));
		atomic_store(&l->fresh_ms, atomic_load(&e->list->fresh_ms));
	}
	g_mutex_lock(&e->lock);
	old = e->list;
	e->list = l;
	if (!atomic_load(&e->list_waits_since_ms))
		atomic_store(&e->list_waits_since_ms, time_boot_ms());
	g_mutex_unlock(&e->lock);
	target_list_unref(old);
	metric_set(M_TARGETS_LISTED, (int64_t)l->n);
	ev_async_send(e->tr.loop, &e->tr.views_published);
}

void entry_extend_list(struct entry *e, int64_t until_ms)
{
	int64_t before, now;

	if (!e->list)
		return;
	before = atomic_exchange(&e->list->until_ms, until_ms);
	now = time_boot_ms();
	/* Requests may wait for it; see list-wait.c. */
	if (before <= now && now < until_ms)
		ev_async_send(e->tr.loop, &e->tr.views_published);
}

/* Begin the graceful shutdown of the traffic thread. */
static void begin_leave(struct traffic *tr)
{
	int64_t now = time_boot_ms();
	double grace_ms = tr->settings->bounds_grace_s * 1000;

	tr->leaving_ms = now;
	tr->refuse_at_ms = now + (int64_t)MIN(LEAVE_ACCEPT_MS,
					      LEAVE_ACCEPT_MAX_PART * grace_ms);
	tr->stop_at_ms = now + (int64_t)grace_ms - LEAVE_MARGIN_MS;
	log_event(EV_NODE_STOPPING, "requests=%d", tr->exchanges);
	/* Their callers go on elsewhere. */
	begun_queue_close(tr->begun);
}

/* Use a new list, of those published since published_ms. */
static void take_targets(struct traffic *tr, struct target_list *l,
			 int64_t published_ms)
{
	pool_update_targets(tr, l);
	log_event(EV_TARGETS_TAKEN, "targets=%d wait_ms=%d", (int)l->n,
		  (int)(time_boot_ms() - published_ms));
}

/* Take the views and settings that the control thread has published. */
static void on_views_published(struct ev_loop *loop, ev_async *w, int events)
{
	struct traffic *tr = w->data;
	struct entry *e = tr->e;
	struct entry_config *config;
	struct target_list *list;
	struct peer_list *peers;
	int64_t published_ms;
	bool leaving;

	(void)loop;
	(void)events;
	g_mutex_lock(&e->lock);
	config = e->config ? entry_config_ref(e->config) : NULL;
	list = e->list ? target_list_ref(e->list) : NULL;
	published_ms = atomic_exchange(&e->list_waits_since_ms, 0);
	peers = e->peers ? peer_list_ref(e->peers) : NULL;
	leaving = e->leaving;
	if (e->has_reloaded)
		settings_copy_numbers(&entry_settings_table, "bounds",
				      &e->settings, &e->reloaded);
	e->has_reloaded = false;
	g_mutex_unlock(&e->lock);
	entry_config_unref(tr->config);
	tr->config = config;
	if (list && list != tr->list)
		take_targets(tr, list, published_ms);
	target_list_unref(tr->list);
	tr->list = list;
	peer_list_unref(tr->peers);
	tr->peers = peers;
	warmups_update(tr);
	exchanges_on_list(tr);
	begun_queue_check(tr->begun, time_boot_ms());
	if (leaving && !tr->leaving_ms)
		begin_leave(tr);
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

/*
 * Refuse new connections in two steps. The close of a listener resets every
 * connection that is established and not accepted yet, so none may become so
 * between the last accept and the close.
 */
static void close_callers_port(struct traffic *tr, int64_t now_ms)
{
	struct port *p = &tr->ports[PORT_CALLERS];

	if (p->fd <= 0)
		return;
	if (!tr->close_at_ms) {
		sock_ignore_new(p->fd);
		tr->close_at_ms = now_ms + LEAVE_HANDSHAKE_MS;
	}
	if (now_ms < tr->close_at_ms)
		return;
	caller_accept(p);
	close_port(tr, PORT_CALLERS);
}

/* Continue a graceful shutdown; leave the event loop at its end. */
static void stop_if_done(struct traffic *tr, int64_t now_ms)
{
	if (!tr->leaving_ms)
		return;
	if (now_ms - tr->leaving_ms >= LEAVE_CLOSE_IDLE_MS)
		callers_close_idle(tr);
	if (now_ms >= tr->refuse_at_ms)
		close_callers_port(tr, now_ms);
	if (now_ms >= tr->stop_at_ms ||
	    (tr->ports[PORT_CALLERS].fd < 0 && !tr->exchanges &&
	     !callers_busy(tr) && !tr->tunnels->head))
		ev_break(tr->loop, EVBREAK_ALL);
}

/* Update whether this node serves callers, which load reports announce. */
static void update_serving(struct traffic *tr, int64_t now_ms)
{
	bool serving = entry_is_serving(tr->e, now_ms);

	loads_set_serving(tr->e->loads, serving);
	if (serving == tr->serving)
		return;
	tr->serving = serving;
	log_event(EV_SERVING_CHANGED,
		  "serving=%d config=%d config_age_ms=%d leaving=%d", serving,
		  tr->config ? (int)tr->config->version : 0,
		  (int)(now_ms - entry_config_fresh_ms(tr->config)),
		  tr->leaving_ms != 0);
}

static void on_housekeeping(struct ev_loop *loop, ev_timer *w, int events)
{
	struct traffic *tr = w->data;
	int64_t now = time_boot_ms();

	(void)loop;
	(void)events;
	pool_sweep(tr);
	warmups_tick(tr, now);
	ways_probe(tr, now);
	callers_trim_memory(tr);
	callers_accept_again(tr);
	update_serving(tr, now);
	if (tr->list && atomic_load(&tr->list->fresh_ms))
		metric_set(M_LIST_AGE_MS,
			   now - atomic_load(&tr->list->fresh_ms));
	stop_if_done(tr, now);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	(void)loop;
	(void)events;
	caller_accept(w->data);
}

static void on_tunnels(struct ev_loop *loop, ev_io *w, int events)
{
	(void)loop;
	(void)events;
	tunnels_accept(w->data);
}

/* Listen on a port; an empty address leaves it closed. */
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
	ev_io_init(&p->io, kind == PORT_TUNNELS ? on_tunnels : on_accept, p->fd,
		   EV_READ);
	p->io.data = p;
	ev_io_start(tr->loop, &p->io);
	return true;
}

/* Open the metrics port; the node also runs without it if it is in use. */
static void open_metrics(struct traffic *tr)
{
	GError *err = NULL;

	if (open_port(tr, PORT_METRICS, tr->settings->listen_metrics, &err))
		return;
	log_event(EV_METRICS_UNAVAILABLE, "error=\"%s\"", err->message);
	g_error_free(err);
}

static bool open_ports(struct traffic *tr, GError **err)
{
	const struct entry_settings *s = tr->settings;
	char tunnels[64], explain[64] = "";

	/* The port of the messages between nodes, here of TCP. */
	snprintf(tunnels, sizeof(tunnels), "%s:%d", s->node_ip,
		 (int)s->peers_port + 1);

	if (s->explain_port)
		snprintf(explain, sizeof(explain), "%s:%d", s->explain_ip,
			 (int)s->explain_port);

	return open_port(tr, PORT_CALLERS, s->listen_callers, err) &&
	       open_port(tr, PORT_READY, s->listen_ready, err) &&
	       open_port(tr, PORT_ENTRIES, s->listen_entries, err) &&
	       open_port(tr, PORT_EXPLAIN, explain, err) &&
	       open_port(tr, PORT_TUNNELS, tunnels, err);
}

static void traffic_init(struct entry *e)
{
	struct traffic *tr = &e->tr;

	tr->e = e;
	tr->settings = &e->settings;
	tr->dialect = e->o->dialect;
	callers_init_memory();
	tr->loop = ev_loop_new(EVFLAG_AUTO);
	defer_init(tr->loop);
	pool_init(tr);
	reach_checks_init(tr);
	tr->held_responses.sum = &tr->held;
	tr->tunnels = g_queue_new();
	tr->callers = g_queue_new();
	tr->taking_up = g_queue_new();
	tr->awaiting_list = g_queue_new();
	tr->begun = begun_queue_new(tr, &exchange_begun_ops);
	tr->rand = g_rand_new();
	tr->shed = shed_new(tr);
	tr->started_ms = time_boot_ms();
	ev_async_init(&tr->views_published, on_views_published);
	tr->views_published.data = tr;
	/* A thread that was paused takes the views before it reads requests. */
	ev_set_priority(&tr->views_published, EV_MAXPRI);
	ev_async_start(tr->loop, &tr->views_published);
	ev_async_init(&tr->origins_settled, exchanges_on_origins);
	tr->origins_settled.data = tr;
	ev_async_start(tr->loop, &tr->origins_settled);
	ev_timer_init(&tr->housekeeping, on_housekeeping, 0,
		      HOUSEKEEPING_MS / 1000.0);
	tr->housekeeping.data = tr;
	ev_timer_start(tr->loop, &tr->housekeeping);
}

/* A target's limit changes, by a response here or at another node. */
static void on_limit_changed(void *ctx, const struct target_limit *l)
{
	(void)ctx;
	log_event(EV_TARGET_LIMITED,
		  "target_id=%" G_GINT64_MODIFIER "x per_s=%.3f source=fleet",
		  l->target, (double)l->per_1000_s / 1000);
}

struct entry *entry_new(const struct entry_options *o, GError **err)
{
	struct entry *e = g_new0(struct entry, 1);
	GError *error = NULL;

	e->o = o;
	e->settings = *o->settings;
	e->control_settings = *o->settings;
	e->control_address = g_strdup_printf("%s:%d", e->settings.node_ip,
					     (int)e->settings.peers_port);
	e->loads = loads_new(member_id(e->settings.node_name));
	e->holders = holders_new();
	e->origins = origins_new();
	e->crash_causes = crash_record_new(e);
	e->notices = notices_new();
	e->evacuations = entry_evacuations_new(e);
	e->warmup =
		warmup_new(member_id(e->settings.node_name), warmups_log, NULL);
	e->overflow_limits = target_limits_new(
		&limit_overflow, member_id(e->settings.node_name), NULL, NULL);
	e->target_limits = target_limits_new(&limit_requests,
					     member_id(e->settings.node_name),
					     on_limit_changed, NULL);
	traffic_init(e);
	open_metrics(&e->tr);
	if (open_ports(&e->tr, &error))
		e->control = control_new(e, &error);
	if (!error)
		return e;
	g_propagate_error(err, error);
	entry_free(e);
	return NULL;
}

void entry_serve(struct entry *e)
{
	GThread *control = g_thread_new("control", control_run, e->control);

	log_event(EV_NODE_STARTED, "name=%s zone=%s address=%s id=%s",
		  e->settings.node_name, e->settings.node_zone,
		  e->settings.listen_callers,
		  source_name(member_id(e->settings.node_name)).s);
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
	ev_async_send(e->tr.loop, &e->tr.views_published);
}

void entry_free(struct entry *e)
{
	struct traffic *tr = &e->tr;

	callers_close_all(tr);
	for (int i = 0; i < PORT_COUNT; i++)
		close_port(tr, (enum port_kind)i);
	tunnels_close_all(tr);
	reach_checks_free(tr);
	shed_free(tr->shed);
	pool_free(tr);
	if (e->control)
		control_free(e->control);
	g_queue_free(tr->callers);
	g_queue_free(tr->taking_up);
	g_queue_free(tr->awaiting_list);
	begun_queue_free(tr->begun);
	g_queue_free(tr->tunnels);
	g_rand_free(tr->rand);
	entry_config_unref(tr->config);
	target_list_unref(tr->list);
	peer_list_unref(tr->peers);
	entry_config_unref(e->config);
	target_list_unref(e->list);
	peer_list_unref(e->peers);
	defer_fini(tr->loop);
	ev_loop_destroy(tr->loop);
	loads_free(e->loads);
	holders_free(e->holders);
	origins_free(e->origins);
	crash_causes_free(e->crash_causes);
	target_limits_free(e->target_limits);
	target_limits_free(e->overflow_limits);
	notices_free(e->notices);
	evacuations_free(e->evacuations);
	warmup_free(e->warmup);
	g_free(e->control_address);
	g_free(e);
}
