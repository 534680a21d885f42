/*
 * Bad input from callers: the node answers with a clear error or closes the
 * connection, and keeps serving. All tests use the same node.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node/test-harness.h"

#define BODY_MAX_BYTES   4096
#define IDLE_CONNECTIONS 2000
#define IDLE_MS          1000
#define OTHER_FDS        200
#define SETTINGS                                                               \
	"[limits]\nbody = 4096\nheaders = 8192\nidle = 1000\nconnections = "   \
	"4096\n"

#define AUTH       "Authorization: Bearer key-recif"
#define VALID_BODY "{\"model\":\"assistant\",\"messages\":[" MESSAGE "]}"
#define MESSAGE    "{\"role\":\"user\",\"content\":\"hi\"}"
#define CHAT_PATH  "/v1/chat/completions"

static struct rig *rig;

static int port(void)
{
	return rig->nodes[0].port;
}

/* The node still answers a valid request completely. */
static void assert_serving(void)
{
	struct chat_stream *a =
		chat_stream_open(port(), "assistant", "alive", 3);

	g_assert_cmpint(a->status, ==, 200);
	chat_stream_read(a, 4);
	g_assert_true(a->done);
	chat_stream_free(a);
}

/* Bad JSON, unknown services and bad keys: a JSON error with an outcome. */
static void test_requests(void)
{
	static const struct {
		const char *method, *path, *header, *body;
		int status;
		const char *type;
	} cases[] = {
		{"POST", CHAT_PATH, AUTH, "{", 400, "bad_request"},
		{"POST", CHAT_PATH, AUTH, "", 400, "bad_request"},
		{"POST", CHAT_PATH, AUTH, "[]", 400, "bad_request"},
		{"POST", CHAT_PATH, AUTH, "\"\xff\xfe\"", 400, "bad_request"},
		{"POST", CHAT_PATH, AUTH,
		 "{\"model\":\"assistant\",\"messages\":"
		 "[{\"role\":\"user\",\"content\":\"\xc3\x28\"}]}",
		 400, "bad_request"},
		{"POST", CHAT_PATH, AUTH, "{\"model\":\"assistant\"}", 400,
		 "bad_request"},
		{"POST", CHAT_PATH, AUTH,
		 "{\"model\":7,\"messages\":[" MESSAGE "]}", 400,
		 "bad_request"},
		{"POST", CHAT_PATH, AUTH,
		 "{\"model\":\"assistant\",\"messages\":[7]}", 400,
		 "bad_request"},
		{"POST", CHAT_PATH, AUTH,
		 "{\"model\":\"nothing\",\"messages\":[" MESSAGE "]}", 404,
		 "not_found"},
		{"POST", CHAT_PATH, AUTH,
		 "{\"model\":\"forum\",\"messages\":[" MESSAGE "]}", 404,
		 "not_found"},
		{"POST", CHAT_PATH, "X-Nothing: 1", VALID_BODY, 401,
		 "unauthorized"},
		{"POST", CHAT_PATH, "Authorization: Bearer key-none",
		 VALID_BODY, 401, "unauthorized"},
		{"POST", CHAT_PATH, "Authorization: Basic key-recif",
		 VALID_BODY, 401, "unauthorized"},
		{"GET", "/v1/services/nothing/app/x", AUTH, NULL, 404,
		 "not_found"},
		{"GET", "/v1/services/assistant/app/x", AUTH, NULL, 404,
		 "not_found"},
		{"GET", "/v1/streams/nonsense", AUTH, NULL, 403, "forbidden"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *headers[] = {cases[i].header,
					 "Content-Type: application/json",
					 NULL};
		struct reply r =
			call_local(port(), cases[i].method, cases[i].path,
				   headers, cases[i].body);
		const json_t *error = json_object_get(r.json, "error");

		g_test_message("row %zu", i);
		g_assert_cmpint(r.status, ==, cases[i].status);
		g_assert_cmpstr(
			json_string_value(json_object_get(error, "type")), ==,
			cases[i].type);
		g_assert_nonnull(
			json_string_value(json_object_get(error, "message")));
		g_assert_nonnull(r.outcome);
		reply_clear(&r);
	}
	assert_serving();
}

/* Deadlines that are malformed, past, or too large for an integer. */
static void test_headers(void)
{
	static const struct {
		const char *header;
		int status;
	} cases[] = {
		{"Ramp-Deadline: soon", 400},
		{"Ramp-Deadline: 1", 504},
		{"Ramp-Deadline: -1", 504},
		{"Ramp-Deadline: 99999999999999999999999", 200},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *headers[] = {AUTH, cases[i].header,
					 "Content-Type: application/json",
					 NULL};
		struct reply r = call_local(port(), "POST", CHAT_PATH, headers,
					    VALID_BODY);

		g_assert_cmpint(r.status, ==, cases[i].status);
		reply_clear(&r);
	}
}

static int connect_raw(void)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons((uint16_t)port()),
				.sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&a, sizeof(a)), ==, 0);
	return fd;
}

static void send_text(int fd, const char *s)
{
	g_assert_cmpint(send(fd, s, strlen(s), MSG_NOSIGNAL), ==,
			(ssize_t)strlen(s));
}

/* Wait for input. Return the bytes read, or 0 at the end or a reset. */
static ssize_t receive(int fd, char *buf, size_t max)
{
	struct pollfd p = {fd, POLLIN, 0};
	ssize_t n;

	g_assert_cmpint(poll(&p, 1, WAIT_MS), ==, 1);
	n = recv(fd, buf, max, 0);
	return MAX(n, 0);
}

/* Return the response's status, or 0 if the node closes without one. */
static int raw_status(int fd)
{
	char buf[512] = "";
	ssize_t n = receive(fd, buf, sizeof(buf) - 1);
	int status = 0;

	if (n > 0)
		g_assert_cmpint(sscanf(buf, "HTTP/1.1 %d", &status), ==, 1);
	return status;
}

/* A body over limits.body is refused, and the outcome is not-run. */
static void test_too_large(void)
{
	char *body = g_strnfill(BODY_MAX_BYTES, 'x');
	char *json = g_strdup_printf("{\"model\":\"assistant\",\"messages\":"
				     "[{\"role\":\"user\",\"content\":"
				     "\"%s\"}]}",
				     body);
	static const char *const headers[] = {
		AUTH, "Content-Type: application/json", NULL};
	struct reply r = call_local(port(), "POST", CHAT_PATH, headers, json);

	g_assert_cmpint(r.status, ==, 413);
	g_assert_cmpstr(r.outcome, ==, "not-run");
	reply_clear(&r);
	g_free(json);
	g_free(body);
	assert_serving();
}

/* Too many headers, and one that is too long. */
static void test_headers_too_large(void)
{
	GString *many_headers = g_string_new("POST " CHAT_PATH " HTTP/1.1\r\n");
	GString *long_header =
		g_string_new("POST " CHAT_PATH " HTTP/1.1\r\nX-Long: ");
	GString *const cases[] = {many_headers, long_header};

	for (int i = 0; i < 4000; i++)
		g_string_append_printf(many_headers, "X-%d: 1\r\n", i);
	for (int i = 0; i < 20000; i++)
		g_string_append_c(long_header, 'y');
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int fd = connect_raw();
		int status;

		/* The node may close before it has read everything. */
		send(fd, cases[i]->str, cases[i]->len, MSG_NOSIGNAL);
		status = raw_status(fd);
		g_assert_cmpint(status, ==, 431);
		close(fd);
		g_string_free(cases[i], TRUE);
	}
	assert_serving();
}

/* A body or a header stays incomplete: the node closes the connection. */
static void test_half_body(void)
{
	char buf[512];
	int fd = connect_raw();

	send_text(fd, "POST " CHAT_PATH " HTTP/1.1\r\nHost: x\r\n" AUTH
		      "\r\nContent-Length: 100\r\n\r\n{\"model\"");
	while (receive(fd, buf, sizeof(buf)) > 0)
		;
	close(fd);
	fd = connect_raw();
	send_text(fd, "POST " CHAT_PATH " HTTP/1.1\r\nHo");
	while (receive(fd, buf, sizeof(buf)) > 0)
		;
	close(fd);
	assert_serving();
}

/* A client never reads: its work is cancelled, others are served. */
static void test_never_reads(void)
{
	int64_t cancelled_before = rig_engine_cancellations(rig);
	int min_buffer = 1;
	int fd = connect_raw();
	char *body =
		g_strdup("{\"model\":\"assistant\",\"stream\":true,"
			 "\"max_tokens\":1000000,\"messages\":[" MESSAGE "]}");
	char *head = g_strdup_printf("POST " CHAT_PATH
				     " HTTP/1.1\r\nHost: x\r\n" AUTH
				     "\r\nContent-Length: %zu\r\n\r\n",
				     strlen(body));

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &min_buffer, sizeof(min_buffer));
	send_text(fd, head);
	send_text(fd, body);
	WAIT_UNTIL(rig_engine_cancellations(rig) == cancelled_before + 1);
	assert_serving();
	close(fd);
	g_free(head);
	g_free(body);
}

static bool raise_fd_limit(rlim_t n)
{
	struct rlimit l;

	g_assert_cmpint(getrlimit(RLIMIT_NOFILE, &l), ==, 0);
	if (l.rlim_max < n)
		return false;
	l.rlim_cur = MAX(l.rlim_cur, n);
	return !setrlimit(RLIMIT_NOFILE, &l);
}

/* Many idle connections: the node keeps serving and closes them in time. */
static void test_idle_connections(void)
{
	int *fds = g_new(int, IDLE_CONNECTIONS);
	char buf[512];

	g_assert_true(raise_fd_limit(IDLE_CONNECTIONS + OTHER_FDS));
	for (int i = 0; i < IDLE_CONNECTIONS; i++)
		fds[i] = connect_raw();
	assert_serving();
	for (int i = 0; i < IDLE_CONNECTIONS; i++) {
		while (receive(fds[i], buf, sizeof(buf)) > 0)
			;
		close(fds[i]);
	}
	assert_serving();
	g_free(fds);
}

int main(int argc, char **argv)
{
	int failed;

	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	block_stop_signals();
	rig = rig_new(1, 1, SETTINGS);
	rig_start(rig);
	g_test_add_func("/bad-input/requests", test_requests);
	g_test_add_func("/bad-input/headers", test_headers);
	g_test_add_func("/bad-input/too-large", test_too_large);
	g_test_add_func("/bad-input/headers-too-large", test_headers_too_large);
	g_test_add_func("/bad-input/half-body", test_half_body);
	g_test_add_func("/bad-input/never-reads", test_never_reads);
	g_test_add_func("/bad-input/idle-connections", test_idle_connections);
	failed = g_test_run();
	g_assert_cmpint(rig->nodes[0].pid, >, 0);
	rig_free(rig);
	return failed;
}
