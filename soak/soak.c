/* soak SEED SECONDS: one run; prints a TAP line and what was broken. */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak/soak.h"

#define ENTRIES 3
#define TARGETS 3
#define CALLERS 6
#define EVENTS  6
/* After the faults the entries have this long to serve again. */
#define RECOVER_MS 12000
/* Bytes of an entry's log that are shown when it ended by itself. */
#define LOG_SHOWN 2000
/* Requests in a row that show it. */
#define RECOVERED 10

struct child {
	GPid pid; /* 0: does not run */
	bool paused;
	bool ready; /* was seen to be since its start */
	char *path; /* of its settings */
};

struct soak {
	struct rig *g;
	struct ledger *ledger;
	struct way *stores[ENTRIES];
	struct way *targets[TARGETS];
	struct child entries[ENTRIES];
	GRand *rand; /* of the faults */
	atomic_bool stop;
	atomic_int key;                       /* number of the key that holds */
	atomic_int_least64_t revoked_ms[256]; /* when key i was taken away */
	int64_t heal_ms[ENTRIES + TARGETS];
	char *program;
};

static struct soak *the; /* for the scripts, which have no context */

/* Targets: each kind of answer, some of them bad. */
static void script(struct talk *t)
{
	uint32_t r = g_random_int_range(0, 1000);
	int from = talk_after(t) + 1;
	bool stream = strstr(t->head, "/stream") != NULL;

	if (r < 40) {
		talk_not_run(t);
		return;
	}
	/* The rest of a stream is the same run. */
	if (from == 1)
		ledger_run(the->ledger, t->id);
	t->close = r < 80;
	t->reset = r < 60;
	if (r < 70)
		return;
	g_usleep(r * 50);
	if (!stream) {
		talk_answer(t, r < 100 ? 500 : 200, t->id);
		return;
	}
	talk_stream(t);
	for (int i = from; i <= EVENTS; i++) {
		talk_event(t, i);
		g_usleep(10000);
		if (t->close && i == 3)
			return;
	}
	talk_end(t);
}

static void check_stream(struct soak *s, const char *id, const struct reply *r)
{
	GString *want = g_string_new(NULL);

	for (int i = 1; i <= EVENTS; i++)
		g_string_append_printf(want, "id: %d\ndata: e%d\n\n", i, i);
	if (!g_str_has_prefix(want->str, r->body->str))
		ledger_broken(s->ledger, "%s: events out of order", id);
	if (r->complete && r->body->len != want->len)
		ledger_broken(s->ledger, "%s: complete before its end", id);
	g_string_free(want, TRUE);
}

static void check(struct soak *s, const char *id, bool stream,
		  const struct reply *r)
{
	if (r->malformed)
		ledger_broken(s->ledger, "%s: bytes that are no answer", id);
	if (r->status == 503 || r->status == 429 || r->status == 408 ||
	    r->status == 421)
		ledger_not_run(s->ledger, id);
	if (r->status != 200)
		return;
	if (!r->signature)
		ledger_broken(s->ledger, "%s: success without signature", id);
	if (!strstr(r->head, id))
		ledger_broken(s->ledger, "%s: answer of another", id);
	if (stream)
		check_stream(s, id, r);
	else if (r->complete && strcmp(r->body->str, id) != 0)
		ledger_broken(s->ledger, "%s: body of another", id);
	if (r->complete)
		ledger_served(s->ledger);
}

/* One request through an entry; returns its status. */
static int request(struct soak *s, size_t entry, uint32_t kind, int key)
{
	static const char *const paths[] = {"/once/", "/safe/", "/stream/",
					    "/stream-once/"};
	bool stream = kind >= 2;
	int64_t sent = time_mono_ms(), revoked;
	char id[32], name[16];
	struct reply *r;
	int status;

	ledger_ask(s->ledger, kind == 0 || kind == 3, id);
	snprintf(name, sizeof(name), "k%d", key);
	r = ask_as(s->g, entry, id, name, kind == 1 ? "GET" : "POST",
		   paths[kind]);
	check(s, id, stream, r);
	revoked = atomic_load(&s->revoked_ms[key]);
	/* bounds.revoke of the rig's settings */
	if (r->status == 200 && revoked && sent > revoked + 3000)
		ledger_broken(s->ledger, "%s: ran with a key revoked %d ms ago",
			      id, (int)(sent - revoked));
	status = r->status;
	reply_free(r);
	return status;
}

static void *caller_run(void *arg)
{
	struct soak *s = arg;

	while (!atomic_load(&s->stop)) {
		int key = atomic_load(&s->key);

		if (key > 1 && g_random_int_range(0, 5) == 0)
			key--; /* one that was taken away */
		request(s, (size_t)g_random_int_range(0, ENTRIES),
			(uint32_t)g_random_int_range(0, 4), key);
		g_usleep((gulong)g_random_int_range(1000, 20000));
	}
	return NULL;
}

/* In the child: an entry does not outlive the soak, however that ends. */
static void end_with_soak(void *ctx)
{
	(void)ctx;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static void start_entry(struct soak *s, size_t i)
{
	struct child *c = &s->entries[i];
	char *argv[] = {s->program, "--settings", c->path, NULL};
	char *log = g_strconcat(c->path, ".log", NULL);
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	GError *err = NULL;

	g_assert_cmpint(fd, >=, 0);
	g_spawn_async_with_fds(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
			       end_with_soak, NULL, &c->pid, -1, fd, fd, &err);
	g_assert_no_error(err);
	close(fd);
	g_free(log);
	c->ready = false;
}

static void stop_entry(struct soak *s, size_t i, int sig)
{
	struct child *c = &s->entries[i];

	if (!c->pid)
		return;
	if (c->paused)
		kill(c->pid, SIGCONT);
	c->paused = false;
	kill(c->pid, sig);
	if (sig != SIGKILL)
		return;
	waitpid(c->pid, NULL, 0);
	c->pid = 0;
}

/* The last that an entry wrote, as it can not be played again. */
static void show_log(const struct child *c)
{
	char *path = g_strconcat(c->path, ".log", NULL), *text = NULL;
	gsize n = 0;

	if (g_file_get_contents(path, &text, &n, NULL))
		printf("# %s ends with:\n%s\n", path,
		       text + (n > LOG_SHOWN ? n - LOG_SHOWN : 0));
	g_free(text);
	g_free(path);
}

/*
 * A signal that comes before the program can take it ends it; it has accepted
 * nothing then. Any other end but that of a planned stop is a fault.
 */
static void check_end(struct soak *s, size_t i, int status)
{
	int sig = WIFSIGNALED(status) ? WTERMSIG(status) : 0;

	if (WIFEXITED(status) && !WEXITSTATUS(status))
		return;
	if (!s->entries[i].ready && (sig == SIGTERM || sig == SIGHUP))
		return;
	show_log(&s->entries[i]);
	ledger_broken(s->ledger,
		      "entry %d ended by itself: status %d signal %d", (int)i,
		      WIFEXITED(status) ? WEXITSTATUS(status) : 0, sig);
}

/* Start again what has ended. */
static void revive(struct soak *s)
{
	for (size_t i = 0; i < ENTRIES; i++) {
		struct child *c = &s->entries[i];
		int status;

		if (c->pid && waitpid(c->pid, &status, WNOHANG) == c->pid) {
			check_end(s, i, status);
			c->pid = 0;
		}
		if (!c->pid)
			start_entry(s, i);
		else if (!c->ready && !c->paused)
			c->ready = is_ready(s->g->entries[i].ready);
	}
}

static void change_key(struct soak *s)
{
	int was = atomic_load(&s->key);
	char name[16];

	if (was + 1 >= 250)
		return;
	snprintf(name, sizeof(name), "k%d", was + 1);
	rig_config(s->g, name);
	atomic_store(&s->revoked_ms[was], time_mono_ms());
	atomic_store(&s->key, was + 1);
}

/* One step of trouble; several overlap. */
static void trouble(struct soak *s, int64_t now_ms)
{
	size_t e = (size_t)g_rand_int_range(s->rand, 0, ENTRIES);
	size_t t = (size_t)g_rand_int_range(s->rand, 0, TARGETS);
	int fault = g_rand_int_range(s->rand, 1, WAY_FAULTS);
	int64_t heal = now_ms + g_rand_int_range(s->rand, 200, 4000);

	switch (g_rand_int_range(s->rand, 0, 9)) {
	case 0:
		way_set(s->stores[e], (enum way_fault)fault);
		s->heal_ms[e] = heal;
		return;
	case 1:
		way_set(s->targets[t], (enum way_fault)fault);
		s->heal_ms[ENTRIES + t] = heal;
		return;
	case 2:
		stop_entry(s, e, SIGKILL);
		return;
	case 3:
		stop_entry(s, e, SIGTERM);
		return;
	case 4:
		if (s->entries[e].pid)
			kill(s->entries[e].pid, SIGHUP);
		return;
	case 5:
		if (s->entries[e].pid)
			kill(s->entries[e].pid, SIGSTOP);
		s->entries[e].paused = true;
		return;
	case 6:
		change_key(s);
		return;
	case 7:
		rig_list(s->g, t, "draining");
		return;
	default:
		rig_list(s->g, t, NULL);
		return;
	}
}

/* End what has lasted long enough. */
static void heal(struct soak *s, int64_t now_ms, bool all)
{
	for (size_t i = 0; i < ENTRIES + TARGETS; i++) {
		if (!all && now_ms < s->heal_ms[i])
			continue;
		way_set(i < ENTRIES ? s->stores[i] : s->targets[i - ENTRIES],
			WAY_WELL);
	}
	for (size_t i = 0; i < ENTRIES; i++) {
		struct child *c = &s->entries[i];

		if (!c->paused || (!all && g_rand_int_range(s->rand, 0, 5)))
			continue;
		kill(c->pid, SIGCONT);
		c->paused = false;
	}
	for (size_t t = 0; t < TARGETS; t++)
		if (all || !g_rand_int_range(s->rand, 0, 4))
			rig_list(s->g, t, "ready");
}

/* All is well again: every entry must serve. */
static void check_recovery(struct soak *s)
{
	int64_t until = time_mono_ms() + RECOVER_MS;

	for (size_t i = 0; i < ENTRIES; i++) {
		int row = 0;

		while (row < RECOVERED && time_mono_ms() < until) {
			int status = request(s, i, 1, atomic_load(&s->key));

			row = status == 200 || status == 500 ? row + 1 : 0;
			g_usleep(20000);
			revive(s);
		}
		if (row < RECOVERED)
			ledger_broken(s->ledger, "entry %d does not recover",
				      (int)i);
	}
}

static void begin(struct soak *s)
{
	s->g = rig_new(TARGETS, 0, script);
	for (size_t i = 0; i < TARGETS; i++) {
		s->targets[i] = way_new(s->g->targets[i].port);
		s->g->targets[i].shown_port = way_port(s->targets[i]);
		rig_list(s->g, i, "ready");
	}
	rig_config(s->g, "k1");
	atomic_store(&s->key, 1);
	for (size_t i = 0; i < ENTRIES; i++) {
		char *text;
		int fd;

		s->stores[i] = way_new(s->g->stores[i].port);
		text = rig_settings(s->g, i, way_port(s->stores[i]));
		fd = g_file_open_tmp("soak-XXXXXX", &s->entries[i].path, NULL);
		close(fd);
		g_assert_true(g_file_set_contents(s->entries[i].path, text, -1,
						  NULL));
		g_free(text);
		start_entry(s, i);
	}
}

static void end(struct soak *s)
{
	for (size_t i = 0; i < ENTRIES; i++) {
		stop_entry(s, i, SIGKILL);
		unlink(s->entries[i].path);
		g_free(s->entries[i].path);
		way_free(s->stores[i]);
	}
	for (size_t i = 0; i < TARGETS; i++)
		way_free(s->targets[i]);
	rig_free(s->g);
}

int main(int argc, char **argv)
{
	struct soak s = {0};
	GThread *callers[CALLERS];
	uint32_t seed = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;
	int64_t until_ms;
	int broken;

	signal(SIGPIPE, SIG_IGN);
	the = &s;
	until_ms = time_mono_ms() + 1000 * (argc > 2 ? atoi(argv[2]) : 10);
	s.program = getenv("RAMPENTRY") ? getenv("RAMPENTRY") : "bin/rampentry";
	s.rand = g_rand_new_with_seed(seed);
	s.ledger = ledger_new();
	begin(&s);
	for (int i = 0; i < CALLERS; i++)
		callers[i] = g_thread_new("caller", caller_run, &s);
	while (time_mono_ms() < until_ms) {
		int64_t now = time_mono_ms();

		trouble(&s, now);
		g_usleep((gulong)g_rand_int_range(s.rand, 100, 700) * 1000);
		heal(&s, time_mono_ms(), false);
		revive(&s);
	}
	heal(&s, 0, true);
	check_recovery(&s);
	atomic_store(&s.stop, true);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(callers[i]);
	end(&s);
	broken = ledger_close(s.ledger);
	printf("%s 1 - soak seed %u: %d served, %d promises broken\n1..1\n",
	       broken ? "not ok" : "ok", seed, ledger_served_count(s.ledger),
	       broken);
	ledger_free(s.ledger);
	g_rand_free(s.rand);
	return broken != 0;
}
