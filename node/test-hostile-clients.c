/*
 * Clients of the own interface that send requests of a legal size made of very
 * many short header lines, whole or without an end, or keep half a body. The
 * node is a real process; it must live, its memory must not grow beyond a
 * bound, and it must answer an ordinary request beside them.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node/test-harness.h"

#define CALLERS    300
#define HEAD_BYTES 15000 /* limits.headers is 16,384 */
#define BODY_BYTES 500000
/* What the crowd may take; each sends a fiftieth of it or less. */
#define MEMORY_MAX (100 << 20)
#define SETTLE_MS  2000

struct crowd_case {
	const char *name;
	const char *line; /* of which the head is made */
	size_t head_bytes;
	bool half;        /* the head does not end */
	size_t body_sent; /* of BODY_BYTES; 0: no body */
};

static const struct crowd_case crowds[] = {
	{"half-head", "a:\r\n", HEAD_BYTES, true, 0},
	{"head", "a:\r\n", HEAD_BYTES, false, 0},
	{"half-body", "", 0, false, 100000},
};

static int dial(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

static GString *request_text(const struct crowd_case *c)
{
	GString *s = g_string_new("POST /v1/services/forum/app/x HTTP/1.1\r\n"
				  "Host: x\r\n"
				  "Authorization: Bearer key-recif\r\n");

	while (s->len < c->head_bytes)
		g_string_append(s, c->line);
	if (c->half)
		return s;
	g_string_append_printf(s, "Content-Length: %d\r\n\r\n",
			       c->body_sent ? BODY_BYTES : 0);
	for (size_t i = 0; i < c->body_sent; i++)
		g_string_append_c(s, 'x');
	return s;
}

static bool ordinary_is_served(int port)
{
	static const char *const headers[] = {"Authorization: Bearer key-recif",
					      NULL};
	struct reply r = call_local(port, "GET", "/v1/services/forum/app/x",
				    headers, NULL);
	bool served = r.status == 200;

	reply_clear(&r);
	return served;
}

/* A crowd ends the node, fills its memory, or denies an ordinary caller. */
static void test_crowd(gconstpointer data)
{
	const struct crowd_case *c = data;
	struct rig *g = rig_new(1, 1, NULL);
	GString *text = request_text(c);
	const struct proc *node = &g->nodes[0];
	int fds[CALLERS];
	int64_t before, most = 0;

	rig_start(g);
	WAIT_UNTIL(ordinary_is_served(node->port));
	before = proc_memory_bytes(node);
	g_assert_cmpint(before, >, 0);
	for (size_t i = 0; i < CALLERS; i++) {
		fds[i] = dial(node->port);
		/* The node may close before it has taken all. */
		(void)!send(fds[i], text->str, text->len,
			    MSG_NOSIGNAL | MSG_DONTWAIT);
	}
	for (int i = 0; i < SETTLE_MS / 10; i++) {
		most = MAX(most, proc_memory_bytes(node));
		g_usleep(10 * 1000);
	}
	WAIT_UNTIL(ordinary_is_served(node->port));
	g_test_message("memory grew by %d MB", (int)((most - before) >> 20));
	g_assert_cmpint(most - before, <=, MEMORY_MAX);
	for (size_t i = 0; i < CALLERS; i++)
		close(fds[i]);
	WAIT_UNTIL(ordinary_is_served(node->port));
	g_assert_cmpint(proc_memory_bytes(node), >, 0);
	rig_free(g);
	g_string_free(text, TRUE);
}

/* A legal request of many lines is refused although the node has no load. */
static void test_legal(void)
{
	static const struct crowd_case one = {"", "a:\r\n", HEAD_BYTES, false,
					      0};
	struct rig *g = rig_new(1, 1, NULL);
	GString *text = request_text(&one);
	char p[64] = "";
	int fd;

	rig_start(g);
	fd = dial(g->nodes[0].port);
	g_assert_cmpint(send(fd, text->str, text->len, MSG_NOSIGNAL), ==,
			text->len);
	g_assert_cmpint(recv(fd, p, 12, MSG_WAITALL), ==, 12);
	g_assert_cmpstr(p, ==, "HTTP/1.1 200");
	close(fd);
	rig_free(g);
	g_string_free(text, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	for (size_t i = 0; i < G_N_ELEMENTS(crowds); i++) {
		char *path = g_strconcat("/hostile-clients-own/",
					 crowds[i].name, NULL);

		g_test_add_data_func(path, &crowds[i], test_crowd);
		g_free(path);
	}
	g_test_add_func("/hostile-clients-own/legal", test_legal);
	return g_test_run();
}
