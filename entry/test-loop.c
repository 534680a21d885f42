/*
 * The loop's timers act after what came in while the process was paused. Linux
 * interrupts epoll_wait when a stopped process goes on, so the loop's first
 * turn sees timers only. The pause is a jump of the clock.
 */
#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "entry/internal.h"

#define TIMEOUT_MS 60000
#define PAUSE_S    61

static int64_t jump_s;   /* by which the clock is ahead */
static bool paused;      /* the process is, in the next wait for I/O */
static bool interrupted; /* which ends without input then */
static int waits;

/* Replaces the C library's, for this program and libev. */
int clock_gettime(clockid_t id, struct timespec *t)
{
	int rc = (int)syscall(SYS_clock_gettime, id, t);

	t->tv_sec += jump_s;
	return rc;
}

/* The same; libev waits for I/O with it. */
int epoll_wait(int fd, struct epoll_event *events, int n, int ms)
{
	waits++;
	if (paused)
		jump_s += PAUSE_S;
	paused = false;
	if (!interrupted)
		return (int)syscall(SYS_epoll_pwait, fd, events, n, ms, NULL,
				    8);
	interrupted = false;
	errno = EINTR;
	return -1;
}

/* What came first; then all that came. */
struct seen {
	char order[8];
	int n;
};

static void on_input(struct ev_loop *loop, ev_io *w, int events)
{
	struct seen *s = w->data;

	(void)events;
	s->order[s->n++] = 'i';
	ev_io_stop(loop, w);
}

static void on_view(struct ev_loop *loop, ev_async *w, int events)
{
	struct seen *s = w->data;

	(void)loop;
	(void)events;
	s->order[s->n++] = 'v';
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct seen *s = w->data;

	(void)events;
	s->order[s->n++] = 't';
	ev_break(loop, EVBREAK_ALL);
}

/*
 * A timer, input and a view of the other thread all wait when the process goes
 * on.
 */
static void check_order(bool interrupts, int timer_priority)
{
	struct ev_loop *loop = ev_loop_new(EVBACKEND_EPOLL);
	struct seen seen = {0};
	int fds[2];
	ev_io io;
	ev_async view;
	ev_timer timer;

	g_assert_nonnull(loop);
	defer_init(loop);
	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), ==, 0);
	ev_io_init(&io, on_input, fds[0], EV_READ);
	ev_async_init(&view, on_view);
	ev_set_priority(&view, EV_MAXPRI);
	ev_init(&timer, on_timer);
	ev_set_priority(&timer, timer_priority);
	io.data = view.data = timer.data = &seen;
	ev_io_start(loop, &io);
	ev_async_start(loop, &view);
	timer_start_once(loop, &timer, TIMEOUT_MS);
	ev_run(loop, EVRUN_NOWAIT);
	g_assert_cmpint(send(fds[1], "x", 1, 0), ==, 1);
	ev_async_send(loop, &view);
	paused = true;
	interrupted = interrupts;
	ev_run(loop, 0);
	g_assert_cmpstr(seen.order, ==, "vit");
	ev_io_stop(loop, &io);
	ev_async_stop(loop, &view);
	defer_fini(loop);
	ev_loop_destroy(loop);
	close(fds[0]);
	close(fds[1]);
}

static void test_paused(void)
{
	check_order(false, EV_MINPRI);
}

static void test_paused_interrupted(void)
{
	check_order(true, EV_MINPRI);
}

static void ignore_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)w;
	(void)events;
}

/* Each turn of a loop that is not late waits for I/O more than once. */
static void test_one_wait(void)
{
	struct ev_loop *loop = ev_loop_new(EVBACKEND_EPOLL);
	ev_timer timer;

	defer_init(loop);
	ev_timer_init(&timer, ignore_timer, 0.01, 0.01);
	ev_timer_start(loop, &timer);
	ev_run(loop, EVRUN_NOWAIT);
	waits = 0;
	for (int i = 0; i < 10; i++)
		ev_run(loop, EVRUN_NOWAIT);
	g_assert_cmpint(waits, <=, 11);
	ev_timer_stop(loop, &timer);
	defer_fini(loop);
	ev_loop_destroy(loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/loop/paused", test_paused);
	g_test_add_func("/entry/loop/paused-interrupted",
			test_paused_interrupted);
	g_test_add_func("/entry/loop/one-wait", test_one_wait);
	return g_test_run();
}
