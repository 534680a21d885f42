/* Starts the project's entry with the run command of the deploy file. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "internal.h"

#define PROGRAM       "target/bin/rampentry"
#define TEMPLATE      "deploy/entry.conf.in"
#define METRICS_PORT  ":19464" /* in the template */
#define READY_WAIT_MS 15000
/* Below the system's range for connections that go out. */
#define PORT_MIN 12000
#define PORT_MAX 32000

/* Whether nothing listens at a port. */
static bool is_free(int port)
{
	struct sockaddr_in at = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr = {htonl(INADDR_LOOPBACK)},
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok = !bind(fd, (struct sockaddr *)&at, sizeof(at));

	close(fd);
	return ok;
}

/*
 * Return a port that is free, as is the next one, and which is no other call's
 * result. Connections that go out get ports above PORT_MAX.
 */
static int free_port(void)
{
	static int port;

	if (!port)
		port = g_random_int_range(PORT_MIN, PORT_MAX - 200) & ~1;
	do
		port += 2;
	while (!is_free(port) || !is_free(port + 1));
	return port;
}

/* Fill in a placeholder of the template. */
static void fill_in(GString *text, const char *name, const char *value)
{
	char *placeholder = g_strdup_printf("{{%s}}", name);

	g_string_replace(text, placeholder, value, 0);
	g_free(placeholder);
}

static void fill_in_address(GString *text, const char *name, int port)
{
	char *value = g_strdup_printf("127.0.0.1:%d", port);

	fill_in(text, name, value);
	g_free(value);
}

static void fill_in_number(GString *text, const char *name, int n)
{
	char *value = g_strdup_printf("%d", n);

	fill_in(text, name, value);
	g_free(value);
}

/* The template has one port that is the same on all machines. */
static void use_free_port(GString *text, const char *fixed, int port)
{
	char *value = g_strdup_printf(":%d", port);

	g_string_replace(text, fixed, value, 0);
	g_free(value);
}

/* The settings of a small deployment (SYSTEM.md), in the project's format. */
static GString *settings_of(const struct entry_process *p, bool bootstrap)
{
	static const char *const values[][2] = {
		{"Ip", "127.0.0.1"},
		{"Zone", "zone-a"},
		{"Region", "region-a"},
		{"SeedNodes", ""},
		{"Bounds.DrainMs", "2000"},
		{"Bounds.ContactMs", "3000"},
		{"Bounds.GraceS", "8"},
		{"Bounds.ConfigApplyMs", "2000"},
		{"Bounds.RevokeMs", "5000"},
		{"Bounds.RetryBudgetRatio", "0.2"},
		{"Bounds.RetryWindowS", "10"},
		{"Bounds.RetryAllowance", "52"},
		{"Bounds.CapacityFactor", "2"},
		{"Bounds.ttl_max_s", "5"},
		{"Bounds.WarmupOvershoot", ""},
		{"Bounds.WarmupAllowance", ""},
	};
	char *template = NULL;
	GString *text;

	if (!g_file_get_contents(TEMPLATE, &template, NULL, NULL))
		case_end(CASE_NOT_RUN, "cannot read " TEMPLATE);
	text = g_string_new(template);
	g_free(template);
	for (size_t i = 0; i < G_N_ELEMENTS(values); i++)
		fill_in(text, values[i][0], values[i][1]);
	fill_in(text, "NodeName", p->options.name);
	fill_in(text, "Bootstrap", bootstrap ? "true" : "false");
	fill_in_address(text, "Listen.Frontend", p->callers_port);
	fill_in_address(text, "Listen.Ready", p->ready_port);
	fill_in_address(text, "Listen.Registry", p->registry_port);
	fill_in_address(text, "Platform.Address", p->store_port);
	fill_in_number(text, "EphemeralPorts.0", p->peers_port);
	use_free_port(text, METRICS_PORT, p->metrics_port);
	fill_in_number(text, "Limits.MemoryMb", p->options.memory_mb);
	fill_in_number(text, "Limits.MaxFds", p->options.files);
	return text;
}

/* Become the entry; the limit on descriptors is that of its settings. */
static void exec_entry(const char *settings, int files)
{
	struct rlimit limit = {(rlim_t)files, (rlim_t)files};
	int null = open("/dev/null", O_WRONLY);

	/* When the case itself is killed, too. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	setrlimit(RLIMIT_NOFILE, &limit);
	dup2(null, STDOUT_FILENO);
	dup2(null, STDERR_FILENO);
	execl(PROGRAM, PROGRAM, "--settings", settings, (char *)NULL);
	_exit(127);
}

bool ready_check(struct conn *c, int64_t until_ms)
{
	static const char request[] =
		"GET /auburnramp/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
	struct message m = {0};
	bool ready = conn_send(c, request, sizeof(request) - 1) &&
		     conn_read_head(c, &m, until_ms) &&
		     conn_read_body(c, &m, until_ms) && m.status == 200;

	message_clear(&m);
	return ready;
}

static bool is_ready(const struct entry_process *p)
{
	struct conn *c = conn_connect(p->ready_port, 0);
	bool ready = c && ready_check(c, now_ms() + 1000);

	conn_free(c);
	return ready;
}

static void await_ready(const struct entry_process *p)
{
	int64_t until_ms = now_ms() + READY_WAIT_MS;

	while (!is_ready(p)) {
		if (now_ms() > until_ms)
			case_end(CASE_NOT_RUN, "%s is not ready",
				 p->options.name);
		sleep_ms(20);
	}
	record("platform: %s is ready", p->options.name);
}

static void start(struct entry_process *p, bool bootstrap)
{
	char path[] = "/tmp/review-XXXXXX";
	GString *text = settings_of(p, bootstrap);
	int fd = mkstemp(path);

	if (fd < 0 || write(fd, text->str, text->len) < (ssize_t)text->len)
		case_end(CASE_NOT_RUN, "cannot write the settings");
	close(fd);
	g_string_free(text, TRUE);
	p->pid = fork();
	if (!p->pid)
		exec_entry(path, p->options.files);
	if (p->pid < 0)
		case_end(CASE_NOT_RUN, "cannot fork");
	case_add_process(p);
	record("platform: starts " PROGRAM " as %s, MemoryMb %d, MaxFds %d",
	       p->options.name, p->options.memory_mb, p->options.files);
	await_ready(p);
	unlink(path);
}

struct entry_process *entry_start(struct store *s,
				  const struct entry_options *o)
{
	struct entry_process *p = g_new0(struct entry_process, 1);

	p->options = *o;
	p->callers_port = free_port();
	p->ready_port = free_port();
	p->registry_port = free_port();
	p->peers_port = free_port();
	p->metrics_port = free_port();
	p->store_port = store_listen(s, o->name);
	start(p, true);
	return p;
}

void entry_kill(struct entry_process *p)
{
	kill(p->pid, SIGKILL);
	waitpid(p->pid, NULL, 0);
	p->pid = 0;
	record("%s: was killed", p->options.name);
}

void entry_start_again(struct entry_process *p)
{
	start(p, false);
}

int64_t entry_memory_kib(const struct entry_process *p)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)p->pid);
	char *text = NULL, *line;
	int64_t n = 0;

	if (g_file_get_contents(path, &text, NULL, NULL) &&
	    (line = strstr(text, "VmRSS:")))
		n = strtoll(line + 6, NULL, 10);
	g_free(text);
	g_free(path);
	return n;
}
