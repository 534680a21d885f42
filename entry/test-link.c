/* Tests of connections to targets: what is sent once they are established. */
#include <errno.h>
#include <string.h>
#include <unistd.h>

#include "entry/internal.h"

/* A connection to a listener of this process, with a request queued. */
struct fixture {
	struct ev_loop *loop;
	struct link *link;
	int listener;
	bool wanted;
	int asked; /* calls of may_send */
};

static bool may_send(void *ctx)
{
	struct fixture *f = ctx;

	f->asked++;
	if (!f->wanted)
		link_close(f->link);
	return f->wanted;
}

static const struct link_ops ops = {.may_send = may_send};

static void open_link(struct fixture *f)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	socklen_t len = sizeof(at);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	f->listener = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(f->listener, (struct sockaddr *)&at, sizeof(at)),
			==, 0);
	g_assert_cmpint(listen(f->listener, 1), ==, 0);
	getsockname(f->listener, (struct sockaddr *)&at, &len);
	f->loop = ev_loop_new(EVFLAG_AUTO);
	defer_init(f->loop);
	f->link = link_open(f->loop, &at);
	link_expect_response(f->link, &ops, f);
	link_send(f->link, "request", 7, (struct str){NULL, 0});
	while (!f->asked)
		ev_run(f->loop, EVRUN_ONCE);
}

static void close_all(struct fixture *f, int fd)
{
	close(fd);
	close(f->listener);
	defer_fini(f->loop);
	ev_loop_destroy(f->loop);
}

/* A request that is no longer wanted when the connection opens is sent. */
static void test_not_wanted(void)
{
	struct fixture f = {.wanted = false};
	char p[16];
	int fd;

	open_link(&f);
	fd = accept(f.listener, NULL, NULL);
	g_assert_cmpint(recv(fd, p, sizeof(p), 0), <=, 0);
	close_all(&f, fd);
}

/* Open a connection, and return the target's end once it has the request. */
static int receive_request(struct fixture *f)
{
	char p[16];
	int fd;

	open_link(f);
	fd = accept(f->listener, NULL, NULL);
	g_assert_cmpint(recv(fd, p, sizeof(p), 0), ==, 7);
	return fd;
}

static void test_wanted(void)
{
	struct fixture f = {.wanted = true};
	int fd = receive_request(&f);

	g_assert_cmpint(f.asked, ==, 1);
	link_close(f.link);
	close_all(&f, fd);
}

/* A request that was given up arrives when a cut ends, and runs. */
static void test_given_up(void)
{
	struct fixture f = {.wanted = true};
	int fd = receive_request(&f);
	char p[16];

	link_close(f.link);
	g_assert_cmpint(recv(fd, p, sizeof(p), 0), ==, -1);
	g_assert_cmpint(errno, ==, ECONNRESET);
	close_all(&f, fd);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/link/not-wanted", test_not_wanted);
	g_test_add_func("/link/wanted", test_wanted);
	g_test_add_func("/link/given-up", test_given_up);
	return g_test_run();
}
