/* Blocking connections of loopback, and HTTP messages on them. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "internal.h"

#define BACKLOG    1024
#define READ_BYTES 65536

static struct sockaddr_in loopback(int port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr = {htonl(INADDR_LOOPBACK)},
	};
}

struct conn *conn_new(int fd)
{
	struct conn *c = g_new0(struct conn, 1);

	c->fd = fd;
	c->input = g_string_new(NULL);
	return c;
}

void conn_free(struct conn *c)
{
	if (!c)
		return;
	close(c->fd);
	g_string_free(c->input, TRUE);
	g_free(c);
}

struct conn *conn_connect(int port, int rcvbuf)
{
	struct sockaddr_in to = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	if (fd < 0)
		return NULL;
	if (rcvbuf)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &rcvbuf, sizeof(rcvbuf));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!connect(fd, (struct sockaddr *)&to, sizeof(to)))
		return conn_new(fd);
	close(fd);
	return NULL;
}

bool conn_send(struct conn *c, const char *p, size_t n)
{
	while (n) {
		ssize_t sent = send(c->fd, p, n, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		p += sent;
		n -= (size_t)sent;
	}
	return true;
}

/* Read once; false: the end, an error, or until_ms has passed. */
bool conn_receive(struct conn *c, int64_t until_ms)
{
	struct pollfd p = {c->fd, POLLIN, 0};
	char bytes[READ_BYTES];
	int64_t left = until_ms - now_ms();
	ssize_t n;

	if (left <= 0 || poll(&p, 1, (int)MIN(left, INT32_MAX)) <= 0)
		return false;
	n = recv(c->fd, bytes, sizeof(bytes), 0);
	if (n <= 0)
		return false;
	g_string_append_len(c->input, bytes, n);
	return true;
}

void message_clear(struct message *m)
{
	g_free(m->head);
	if (m->body)
		g_string_free(m->body, TRUE);
	*m = (struct message){0};
}

bool conn_read_head(struct conn *c, struct message *m, int64_t until_ms)
{
	const char *end;
	size_t n;

	message_clear(m);
	while (!(end = strstr(c->input->str, "\r\n\r\n")))
		if (!conn_receive(c, until_ms))
			return false;
	n = (size_t)(end - c->input->str) + 4;
	m->head = g_strndup(c->input->str, n);
	m->body = g_string_new(NULL);
	g_string_erase(c->input, 0, (gssize)n);
	if (g_str_has_prefix(m->head, "HTTP/1.1 "))
		m->status = (int)strtol(m->head + 9, NULL, 10);
	return true;
}

char *message_header(const struct message *m, const char *name)
{
	size_t n = strlen(name);
	const char *p = m->head;

	while (p && (p = strstr(p, "\r\n"))) {
		p += 2;
		if (g_ascii_strncasecmp(p, name, n) || p[n] != ':')
			continue;
		return g_strstrip(
			g_strndup(p + n + 1, strcspn(p + n + 1, "\r\n")));
	}
	return NULL;
}

bool conn_take_event(struct conn *c, int *id, char **version)
{
	char *text = strstr(c->input->str, "id: "), *data, *end;

	if (!text || !(data = strstr(text, "\ndata: ")) ||
	    !(end = strstr(data, "\n\n")))
		return false;
	data += strlen("\ndata: ");
	*id = (int)strtol(text + strlen("id: "), NULL, 10);
	*version = g_strndup(data, (gsize)(end - data));
	g_string_erase(c->input, 0, end + 2 - c->input->str);
	return true;
}

bool conn_read_body(struct conn *c, struct message *m, int64_t until_ms)
{
	char *length = message_header(m, "Content-Length");
	size_t n = length ? strtoul(length, NULL, 10) : 0;

	g_free(length);
	while (m->body->len < n) {
		size_t take = MIN(n - m->body->len, c->input->len);

		g_string_append_len(m->body, c->input->str, (gssize)take);
		g_string_erase(c->input, 0, (gssize)take);
		if (m->body->len < n && !conn_receive(c, until_ms))
			return false;
	}
	return true;
}

bool conn_send_request(struct conn *c, const struct request *r)
{
	return conn_send_request_with_key(c, r, KEY);
}

bool conn_send_request_with_key(struct conn *c, const struct request *r,
				const char *key)
{
	GString *s = g_string_new(NULL);
	bool ok;

	g_string_printf(s,
			"%s %s HTTP/1.1\r\nHost: " HOST
			"\r\nAuburnramp-Attempt-Id: %s\r\nApi-Key: %s"
			"\r\nAuburnramp-Deadline-Ms: %d\r\n%s"
			"Content-Length: %zu\r\n\r\n",
			r->method, r->path, r->id, key, r->deadline_ms,
			r->headers ? r->headers : "", r->body_bytes);
	for (size_t i = 0; i < r->body_bytes; i++)
		g_string_append_c(s, 'b');
	ok = conn_send(c, s->str, s->len);
	g_string_free(s, TRUE);
	return ok;
}

int listen_free(int *port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in at = loopback(0);
	socklen_t n = sizeof(at);

	if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof(at)) < 0 ||
	    listen(fd, BACKLOG) < 0 ||
	    getsockname(fd, (struct sockaddr *)&at, &n) < 0)
		case_end(CASE_NOT_RUN, "cannot listen: %s", g_strerror(errno));
	*port = ntohs(at.sin_port);
	return fd;
}

struct server {
	int listener;
	void (*serve)(struct conn *c, void *ctx);
	void *ctx;
};

struct served {
	struct server *server;
	struct conn *conn;
};

static void *serve_one(void *p)
{
	struct served *s = p;

	s->server->serve(s->conn, s->server->ctx);
	conn_free(s->conn);
	g_free(s);
	return NULL;
}

static void *accept_all(void *p)
{
	struct server *server = p;
	int fd;

	while ((fd = accept4(server->listener, NULL, NULL, SOCK_CLOEXEC)) >=
	       0) {
		struct served *s = g_new0(struct served, 1);

		s->server = server;
		s->conn = conn_new(fd);
		g_thread_unref(g_thread_new("connection", serve_one, s));
	}
	return NULL;
}

void serve_connections(int listener, void (*serve)(struct conn *c, void *ctx),
		       void *ctx)
{
	struct server *server = g_new0(struct server, 1);

	*server = (struct server){listener, serve, ctx};
	g_thread_unref(g_thread_new("server", accept_all, server));
}
