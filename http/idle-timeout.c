/*
 * The idle timeout of a server's connections. A thread closes connections that
 * make no progress: keep-alive connections without a request, requests that
 * stop half-way, and responses that the peer has ceased to read. The timeout of
 * libmicrohttpd isn't used because the thread of a connection busy-polls during
 * the last second before it expires.
 */
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "http/idle-timeout.h"

#define CHECKS_PER_TIMEOUT    8
#define CHECK_INTERVAL_MAX_MS 1000

struct idle_monitor {
	GMutex lock;
	GCond stop_requested;
	GHashTable *conns; /* set of struct conn */
	int64_t idle_ms;
	bool stop;
	GThread *thread;
};

struct conn {
	struct idle_monitor *monitor;
	int fd;
	_Atomic int64_t last_progress_ms; /* monotonic */
	int unsent_bytes;            /* in the send queue, at the last check */
	atomic_bool handler_running; /* the server works on a request */
};

/* The connection of this thread; the server gives each one a thread. */
static __thread struct conn *current;

/*
 * Check whether the connection has waited for its peer for the whole timeout.
 * A handler at work counts as progress as long as no bytes wait to be sent,
 * and so does any change of the length of the send queue.
 */
static bool is_idle(struct conn *c, int64_t now_ms)
{
	int unsent_bytes = 0;

	ioctl(c->fd, SIOCOUTQ, &unsent_bytes);
	if ((c->handler_running && !unsent_bytes) ||
	    unsent_bytes != c->unsent_bytes)
		c->last_progress_ms = now_ms;
	c->unsent_bytes = unsent_bytes;
	return now_ms - c->last_progress_ms >= c->monitor->idle_ms;
}

static void close_idle(struct idle_monitor *m)
{
	int64_t now_ms = time_mono_ms();
	GHashTableIter it;
	gpointer c;

	g_hash_table_iter_init(&it, m->conns);
	while (g_hash_table_iter_next(&it, &c, NULL)) {
		if (is_idle(c, now_ms))
			shutdown(((struct conn *)c)->fd, SHUT_RDWR);
	}
}

static void *monitor_connections(void *arg)
{
	struct idle_monitor *m = arg;
	int64_t interval_ms = CLAMP(m->idle_ms / CHECKS_PER_TIMEOUT, 1,
				    CHECK_INTERVAL_MAX_MS);

	g_mutex_lock(&m->lock);
	while (!m->stop) {
		gint64 next_check_us =
			g_get_monotonic_time() + interval_ms * 1000;

		if (!g_cond_wait_until(&m->stop_requested, &m->lock,
				       next_check_us))
			close_idle(m);
	}
	g_mutex_unlock(&m->lock);
	return NULL;
}

struct idle_monitor *idle_monitor_new(int64_t idle_ms)
{
	struct idle_monitor *m = g_new0(struct idle_monitor, 1);

	g_mutex_init(&m->lock);
	g_cond_init(&m->stop_requested);
	m->conns = g_hash_table_new(NULL, NULL);
	m->idle_ms = idle_ms;
	m->thread = g_thread_new("idle", monitor_connections, m);
	return m;
}

void idle_monitor_free(struct idle_monitor *m)
{
	g_mutex_lock(&m->lock);
	m->stop = true;
	g_cond_signal(&m->stop_requested);
	g_mutex_unlock(&m->lock);
	g_thread_join(m->thread);
	g_hash_table_unref(m->conns);
	g_mutex_clear(&m->lock);
	g_cond_clear(&m->stop_requested);
	g_free(m);
}

struct conn *idle_monitor_add(struct idle_monitor *m, int fd)
{
	struct conn *c = g_new0(struct conn, 1);

	c->monitor = m;
	c->fd = fd;
	c->last_progress_ms = time_mono_ms();
	g_mutex_lock(&m->lock);
	g_hash_table_add(m->conns, c);
	g_mutex_unlock(&m->lock);
	return c;
}

void idle_monitor_remove(struct conn *c)
{
	g_mutex_lock(&c->monitor->lock);
	g_hash_table_remove(c->monitor->conns, c);
	g_mutex_unlock(&c->monitor->lock);
	g_free(c);
}

static void set_handler_running(struct conn *c, bool handler_running)
{
	/*
	 * In this order: a check between the two must not measure the idle time
	 * from the start of a handler that has just ended.
	 */
	c->last_progress_ms = time_mono_ms();
	c->handler_running = handler_running;
}

void conn_request_begin(struct conn *c)
{
	current = c;
	set_handler_running(c, false);
}

void conn_handler_begin(void)
{
	if (current)
		set_handler_running(current, true);
}

void conn_request_end(struct conn *c)
{
	set_handler_running(c, false);
}

int server_connection_fd(void)
{
	return current ? current->fd : -1;
}
