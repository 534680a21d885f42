/*
 * Closes the connections of a server on which nothing moves: idle ones, ones
 * whose request stops half-way and ones whose peer takes no more of its answer.
 * libmicrohttpd has a timeout of its own, but a connection's thread polls
 * without a pause through the last second of it.
 */
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "http/server.h"

#define CHECKS_PER_IDLE 8
#define CHECK_MAX_MS    1000

struct idle {
	GMutex lock;
	GCond stopping;
	GHashTable *conns; /* set of struct conn */
	int64_t idle_ms;
	bool stop;
	GThread *thread;
};

struct conn {
	struct idle *idle;
	int fd;
	_Atomic int64_t since_ms; /* monotonic; the last sign of life */
	int unsent;           /* bytes of answer that the peer hasn't taken */
	atomic_bool handling; /* the server is at work on a request */
};

/* Each connection has its own thread. */
static __thread struct conn *current;

/* Whether the connection waits for its peer. */
static bool waits(struct conn *c, int64_t now)
{
	int unsent = 0;

	ioctl(c->fd, SIOCOUTQ, &unsent);
	if ((c->handling && !unsent) || unsent != c->unsent)
		c->since_ms = now;
	c->unsent = unsent;
	return now - c->since_ms >= c->idle->idle_ms;
}

static void check_all(struct idle *id)
{
	int64_t now = time_mono_ms();
	GHashTableIter it;
	gpointer c;

	g_hash_table_iter_init(&it, id->conns);
	while (g_hash_table_iter_next(&it, &c, NULL)) {
		if (waits(c, now))
			shutdown(((struct conn *)c)->fd, SHUT_RDWR);
	}
}

static void *run(void *arg)
{
	struct idle *id = arg;
	int64_t every_ms =
		CLAMP(id->idle_ms / CHECKS_PER_IDLE, 1, CHECK_MAX_MS);

	g_mutex_lock(&id->lock);
	while (!id->stop) {
		gint64 at = g_get_monotonic_time() + every_ms * 1000;

		if (!g_cond_wait_until(&id->stopping, &id->lock, at))
			check_all(id);
	}
	g_mutex_unlock(&id->lock);
	return NULL;
}

struct idle *idle_new(int64_t idle_ms)
{
	struct idle *id = g_new0(struct idle, 1);

	g_mutex_init(&id->lock);
	g_cond_init(&id->stopping);
	id->conns = g_hash_table_new(NULL, NULL);
	id->idle_ms = idle_ms;
	id->thread = g_thread_new("idle", run, id);
	return id;
}

void idle_free(struct idle *id)
{
	g_mutex_lock(&id->lock);
	id->stop = true;
	g_cond_signal(&id->stopping);
	g_mutex_unlock(&id->lock);
	g_thread_join(id->thread);
	g_hash_table_unref(id->conns);
	g_mutex_clear(&id->lock);
	g_cond_clear(&id->stopping);
	g_free(id);
}

struct conn *idle_opened(struct idle *id, int fd)
{
	struct conn *c = g_new0(struct conn, 1);

	c->idle = id;
	c->fd = fd;
	c->since_ms = time_mono_ms();
	g_mutex_lock(&id->lock);
	g_hash_table_add(id->conns, c);
	g_mutex_unlock(&id->lock);
	return c;
}

void idle_closed(struct conn *c)
{
	g_mutex_lock(&c->idle->lock);
	g_hash_table_remove(c->idle->conns, c);
	g_mutex_unlock(&c->idle->lock);
	g_free(c);
}

static void set_handling(struct conn *c, bool handling)
{
	/* In this order: work that ends must not look silent since its start.
	 */
	c->since_ms = time_mono_ms();
	c->handling = handling;
}

void idle_request(struct conn *c)
{
	current = c;
	set_handling(c, false);
}

void idle_handling(void)
{
	if (current)
		set_handling(current, true);
}

void idle_ended(struct conn *c)
{
	set_handling(c, false);
}

int server_caller_fd(void)
{
	return current ? current->fd : -1;
}
