/*
 * soak SEED SECONDS [ENTRIES]: one run. Prints a TAP line, and a comment line
 * for each broken guarantee. The seed chooses the faults; the timing of
 * processes and callers varies from run to run.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak/soak.h"

#define ENTRIES       3 /* unless the command line says otherwise */
#define TARGETS       3
#define CALLERS       6
#define STREAM_EVENTS 6
/* Events that a caller keeps when it loses its connection. */
#define EVENTS_KEPT 3
/* Attempts that a caller makes to take a broken stream up. */
#define TAKE_UPS_MAX 2
/* Time for all entries to serve again after the last fault. */
#define RECOVERY_MAX_MS 12000
/* Consecutive responses that show that an entry has recovered. */
#define RECOVERY_SUCCESSES 10
/* bounds.revoke of the rig's settings */
#define REVOKE_MS 3000
/* Most entries that reach the targets through proxies of their own. */
#define WAYS_MAX 3
/* Share of the requests that crash their target; see run_script. */
#define DEADLY_SHARE 0.01
/* Crashes after which, and a time, a request may reach so many targets more. */
#define DEADLY_CRASHES 3
#define CONTACT_MS     3000
#define DEADLY_MORE    3
/* Time for which a target that has crashed is down. */
#define DOWN_MS 700
/* Keys k1 and up, each of which replaces the one before. */
#define KEYS_MAX  250
#define KEY_SLOTS 256

/* Kinds of requests: each is the index of its route's path. */
enum {
	REQUEST_ONCE,
	REQUEST_SAFE,
	REQUEST_STREAM,
	REQUEST_STREAM_ONCE,
	REQUEST_KINDS,
};

struct soak {
	struct rig *rig;
	struct ledger *ledger;
	size_t entry_count;
	struct proxy *store_proxies[RIG_ENTRIES_MAX];
	struct proxy *target_proxies[TARGETS];
	struct proxy *ways[WAYS_MAX][TARGETS]; /* of entries to these */
	int64_t cut_end_ms[WAYS_MAX];          /* when the ways open again */
	atomic_int_least64_t crash_end_ms[TARGETS]; /* 0: it runs */
	atomic_int deadly_sends;
	struct entry_process entries[RIG_ENTRIES_MAX];
	GRand *fault_rand; /* chooses the faults; used by main only */
	atomic_bool stop;
	atomic_int recovering; /* entries whose check has not ended */
	atomic_int key;        /* number of the current key */
	/* By key number; 0: not revoked. */
	atomic_int_least64_t key_revoked_ms[KEY_SLOTS];
	/* When each proxy's fault ends; those to the targets come first. */
	int64_t fault_end_ms[RIG_ENTRIES_MAX + TARGETS];
	char *program_path;
};

static struct soak *running_soak; /* a script has no context argument */

static void respond_version_event(struct rig_request *req, int id)
{
	char *text = g_strdup_printf("id: %d\ndata: %s\n\n", id,
				     req->target->version);

	respond_raw(req, "%x\r\n%s\r\n", (unsigned)strlen(text), text);
	g_free(text);
}

/* Crash the target: its connections are reset and new ones refused. */
static void crash(struct soak *s, struct rig_request *req)
{
	size_t t = (size_t)(req->target - s->rig->targets);

	atomic_fetch_add(&s->deadly_sends, 1);
	atomic_store(&s->crash_end_ms[t], time_mono_ms() + DOWN_MS);
	proxy_set_fault(s->target_proxies[t], PROXY_FAULT_CRASH);
	req->close_connection = true;
}

/*
 * Answer as a target that often fails. Of 1000 requests 40 are rejected and 30
 * get no response, 20 of these a TCP reset. The next 30 get status 500 unless
 * they are streams; 10 of them end with a close, a stream after its third
 * event. All others succeed. The response takes up to 50 ms to begin. 20 more
 * streams break after their third event, and on kept connections 30 responses
 * follow a refusal that is of no request.
 */
static void run_script(struct rig_request *req)
{
	uint32_t r = (uint32_t)g_random_int_range(0, 1000);
	int first_event = resume_after(req) + 1;
	bool stream = strstr(req->text, "/stream") != NULL;

	if (strstr(req->text, "/deadly")) {
		crash(running_soak, req);
		return;
	}
	if (r < 40) {
		respond_not_executed(req);
		return;
	}
	/* A resumed stream continues a run that is recorded already. */
	if (first_event == 1)
		ledger_record_run(running_soak->ledger, req->attempt_id);
	req->close_connection = r < 80;
	req->reset_connection = r < 60;
	if (r < 70)
		return;
	if (r >= 970 && req->on_connection > 1)
		respond_refusal_of_none(req);
	g_usleep(r * 50);
	if (!stream) {
		respond_signed(req, r < 100 ? 500 : 200, req->attempt_id);
		return;
	}
	req->close_connection |= r < 120;
	respond_stream_start(req);
	for (int i = first_event; i <= STREAM_EVENTS; i++) {
		respond_version_event(req, i);
		g_usleep(10000);
		if (req->close_connection && i == 3)
			return;
	}
	respond_stream_end(req);
}

/* What a caller has got of a stream, over its attempts. */
struct received {
	char version[8]; /* that sent its events; empty: no event yet */
	int events;
};

/*
 * Check that a stream's events go on after those received, from one version,
 * and are all of them if it is complete.
 */
static void check_stream(struct soak *s, const char *id, const struct reply *r,
			 struct received *got)
{
	GString *expected = g_string_new(NULL);
	int events = 0;

	if (!*got->version && r->body->len)
		g_strlcpy(got->version,
			  strstr(r->body->str, "data: v2") ? "v2" : "v1",
			  sizeof(got->version));
	for (int i = got->events + 1; i <= STREAM_EVENTS; i++) {
		g_string_append_printf(expected, "id: %d\ndata: %s\n\n", i,
				       got->version);
		events += expected->len <= r->body->len;
	}
	if (!g_str_has_prefix(expected->str, r->body->str))
		ledger_record_broken(s->ledger,
				     "%s: events do not go on after %d of %s",
				     id, got->events, got->version);
	if (r->complete && r->body->len != expected->len)
		ledger_record_broken(
			s->ledger, "%s: complete without its last events", id);
	got->events += events;
	g_string_free(expected, TRUE);
}

/* Check entry's guarantees for every response. */
static void check_reply(struct soak *s, const char *id, struct received *got,
			const struct reply *r)
{
	if (r->malformed)
		ledger_record_broken(s->ledger,
				     "%s: response is not valid HTTP", id);
	/* Entry answers with these only when the request did not run. */
	if (r->status == 503 || r->status == 429 || r->status == 408 ||
	    r->status == 421)
		ledger_record_not_run(s->ledger, id);
	if (r->status != 200)
		return;
	if (!r->has_signature)
		ledger_record_broken(s->ledger, "%s: success without signature",
				     id);
	if (!strstr(r->headers, id))
		ledger_record_broken(s->ledger,
				     "%s: response to another request", id);
	if (got)
		check_stream(s, id, r, got);
	else if (r->complete && strcmp(r->body->str, id) != 0)
		ledger_record_broken(s->ledger, "%s: body of another request",
				     id);
	if (r->complete)
		ledger_record_served(s->ledger);
}

/* A request of a caller that may take several attempts. */
struct call {
	size_t entry;
	uint32_t kind;
	int key;
	struct received got; /* of a stream */
	char first_id[32];   /* of the attempt that brought its first event */
};

/* Make an attempt through an entry and check the response; return its status.
 */
static int call_and_check(struct soak *s, struct call *c, bool *complete)
{
	static const char *const paths[] = {"/once/", "/safe/", "/stream/",
					    "/stream-once/"};
	int64_t sent_ms = time_mono_ms(), revoked_ms;
	char id[32], name[16], *headers = NULL;
	struct reply *r;
	int status;

	ledger_add_request(
		s->ledger,
		c->kind == REQUEST_ONCE || c->kind == REQUEST_STREAM_ONCE, id);
	snprintf(name, sizeof(name), "k%d", c->key);
	if (c->got.events)
		headers = rig_take_up_headers(c->got.events, c->first_id);
	r = rig_call_as(s->rig, c->entry, id, name,
			c->kind == REQUEST_SAFE ? "GET" : "POST",
			paths[c->kind], headers);
	check_reply(s, id, c->kind >= REQUEST_STREAM ? &c->got : NULL, r);
	if (c->got.events && !*c->first_id)
		g_strlcpy(c->first_id, id, sizeof(c->first_id));
	revoked_ms = atomic_load(&s->key_revoked_ms[c->key]);
	if (r->status == 200 && revoked_ms && sent_ms > revoked_ms + REVOKE_MS)
		ledger_record_broken(s->ledger,
				     "%s: ran with a key revoked %d ms ago", id,
				     (int)(sent_ms - revoked_ms));
	status = r->status;
	*complete = r->complete;
	reply_free(r);
	g_free(headers);
	return status;
}

/* Take a broken stream up at other entries. */
static void take_up(struct soak *s, struct call *c)
{
	bool complete = false;

	for (int i = 0; i < TAKE_UPS_MAX && !complete; i++) {
		int status;

		c->entry =
			(size_t)g_random_int_range(0, (gint32)s->entry_count);
		status = call_and_check(s, c, &complete);
		if (status)
			ledger_record_take_up(s->ledger, status == 200);
	}
}

/* Send the request that crashes targets, which comes again at any entry. */
static void call_deadly(struct soak *s, size_t entry)
{
	char key[16];
	char id[32];
	struct reply *r;

	ledger_add_request(s->ledger, false, id);
	snprintf(key, sizeof(key), "k%d", atomic_load(&s->key));
	r = rig_call_as(s->rig, entry, id, key, "GET", "/safe/deadly", NULL);
	if (r->status == 200)
		ledger_record_broken(s->ledger, "%s: a crash was answered", id);
	reply_free(r);
}

/* Send random requests until the soak stops, some with the last revoked key. */
static void *caller_thread(void *arg)
{
	struct soak *s = arg;

	while (!atomic_load(&s->stop)) {
		struct call c = {
			.entry = (size_t)g_random_int_range(
				0, (gint32)s->entry_count),
			.kind = (uint32_t)g_random_int_range(0, REQUEST_KINDS),
			.key = atomic_load(&s->key)};
		bool complete;

		if (c.key > 1 && g_random_int_range(0, 5) == 0)
			c.key--; /* a revoked one */
		if (g_random_double() < DEADLY_SHARE)
			call_deadly(s, c.entry);
		call_and_check(s, &c, &complete);
		/* Some callers lose what came after the third event. */
		if (complete && c.got.events > EVENTS_KEPT &&
		    g_random_int_range(0, 3) == 0) {
			c.got.events = EVENTS_KEPT;
			complete = false;
		}
		if (c.kind == REQUEST_STREAM && c.got.events && !complete)
			take_up(s, &c);
		g_usleep((gulong)g_random_int_range(1000, 20000));
	}
	return NULL;
}

/*
 * Record an exit other than a planned stop as a fault. A SIGTERM or SIGHUP that
 * arrives before the program has installed its handlers also kills it, which is
 * harmless: it has accepted no request by then.
 */
static void check_exit(struct soak *s, size_t i, int status)
{
	int sig = WIFSIGNALED(status) ? WTERMSIG(status) : 0;

	if (WIFEXITED(status) && !WEXITSTATUS(status))
		return;
	if (!s->entries[i].seen_ready && (sig == SIGTERM || sig == SIGHUP))
		return;
	process_print_log_tail(&s->entries[i]);
	ledger_record_broken(
		s->ledger, "entry %d exited unexpectedly: status %d signal %d",
		(int)i, WIFEXITED(status) ? WEXITSTATUS(status) : 0, sig);
}

/* Restart entries that have exited; note those that became ready. */
static void restart_exited(struct soak *s)
{
	for (size_t i = 0; i < s->entry_count; i++) {
		struct entry_process *process = &s->entries[i];
		int status;

		if (process->pid &&
		    waitpid(process->pid, &status, WNOHANG) == process->pid) {
			check_exit(s, i, status);
			process->pid = 0;
		}
		if (!process->pid)
			process_start(&s->entries[i], s->program_path);
		else if (!process->seen_ready && !process->suspended)
			process->seen_ready =
				is_ready(s->rig->entries[i].ready_port);
	}
}

/* Replace the only key by the next one, which revokes it. */
static void rotate_key(struct soak *s)
{
	int old_key = atomic_load(&s->key);
	char name[16];

	if (old_key + 1 >= KEYS_MAX)
		return;
	snprintf(name, sizeof(name), "k%d", old_key + 1);
	rig_write_config(s->rig, name);
	atomic_store(&s->key_revoked_ms[old_key], time_mono_ms());
	atomic_store(&s->key, old_key + 1);
}

/* An entry loses its way to all targets. */
static void cut_off(struct soak *s, size_t entry, enum proxy_fault fault,
		    int64_t end_ms)
{
	if (entry >= WAYS_MAX || !s->ways[entry][0])
		return;
	for (size_t t = 0; t < TARGETS; t++)
		proxy_set_fault(s->ways[entry][t], fault);
	s->cut_end_ms[entry] = end_ms;
}

/* Start the targets that have crashed again, under another start time. */
static void restart_targets(struct soak *s, int64_t now_ms)
{
	for (size_t t = 0; t < TARGETS; t++) {
		int64_t end_ms = atomic_load(&s->crash_end_ms[t]);

		if (!end_ms || now_ms < end_ms)
			continue;
		atomic_store(&s->crash_end_ms[t], 0);
		s->rig->targets[t].advertised_start_ms = time_now_ms();
		proxy_set_fault(s->target_proxies[t], PROXY_FAULT_NONE);
		rig_publish(s->rig, t, "ready");
	}
}

/* Inject one fault; it overlaps with earlier ones that have not ended. */
static void inject_fault(struct soak *s, int64_t now_ms)
{
	size_t e = (size_t)g_rand_int_range(s->fault_rand, 0,
					    (gint32)s->entry_count);
	size_t t = (size_t)g_rand_int_range(s->fault_rand, 0, TARGETS);
	int fault = g_rand_int_range(s->fault_rand, 1, PROXY_FAULT_COUNT);
	int64_t end_ms = now_ms + g_rand_int_range(s->fault_rand, 200, 4000);

	switch (g_rand_int_range(s->fault_rand, 0, 10)) {
	case 0:
		proxy_set_fault(s->store_proxies[e], (enum proxy_fault)fault);
		s->fault_end_ms[TARGETS + e] = end_ms;
		return;
	case 1:
		/* A proxy before it would wait for the connection. */
		if (fault == PROXY_FAULT_CUT)
			fault = PROXY_FAULT_STALL;
		proxy_set_fault(s->target_proxies[t], (enum proxy_fault)fault);
		s->fault_end_ms[t] = end_ms;
		return;
	case 2:
		process_stop(&s->entries[e], SIGKILL);
		return;
	case 3: /* planned stop */
		process_stop(&s->entries[e], SIGTERM);
		return;
	case 4: /* reload the settings */
		if (s->entries[e].pid)
			kill(s->entries[e].pid, SIGHUP);
		return;
	case 5:
		if (s->entries[e].pid)
			kill(s->entries[e].pid, SIGSTOP);
		s->entries[e].suspended = true;
		return;
	case 6:
		rotate_key(s);
		return;
	case 7:
		rig_publish(s->rig, t, "draining");
		return;
	case 8:
		cut_off(s, e, (enum proxy_fault)fault, end_ms);
		return;
	default:
		rig_publish(s->rig, t, NULL);
		return;
	}
}

/*
 * Clear the proxies' faults that are due. At random, resume suspended entries
 * and list targets as ready again. With all, do so for every one.
 */
static void clear_faults(struct soak *s, int64_t now_ms, bool all)
{
	for (size_t i = 0; i < TARGETS + s->entry_count; i++) {
		if (!all && now_ms < s->fault_end_ms[i])
			continue;
		if (i < TARGETS && atomic_load(&s->crash_end_ms[i]))
			continue;
		proxy_set_fault(i < TARGETS ? s->target_proxies[i]
					    : s->store_proxies[i - TARGETS],
				PROXY_FAULT_NONE);
	}
	for (size_t i = 0; i < s->entry_count; i++) {
		struct entry_process *process = &s->entries[i];

		if (!process->suspended ||
		    (!all && g_rand_int_range(s->fault_rand, 0, 5)))
			continue;
		kill(process->pid, SIGCONT);
		process->suspended = false;
	}
	for (size_t e = 0; e < WAYS_MAX && s->ways[e][0]; e++)
		for (size_t t = 0; t < TARGETS; t++)
			if (all || now_ms >= s->cut_end_ms[e])
				proxy_set_fault(s->ways[e][t],
						PROXY_FAULT_NONE);
	for (size_t t = 0; t < TARGETS; t++)
		if (all || !g_rand_int_range(s->fault_rand, 0, 4))
			rig_publish(s->rig, t, "ready");
}

/* The check of one entry; its thread ends once the entry has recovered. */
struct recovery {
	struct soak *soak;
	size_t entry;
	GThread *thread;
	int64_t deadline_ms;
	bool recovered;
};

static void *recovery_thread(void *arg)
{
	struct recovery *r = arg;
	int successes = 0;

	while (successes < RECOVERY_SUCCESSES &&
	       time_mono_ms() < r->deadline_ms) {
		struct call c = {.entry = r->entry,
				 .kind = REQUEST_SAFE,
				 .key = atomic_load(&r->soak->key)};
		bool complete;
		int status = call_and_check(r->soak, &c, &complete);

		successes = status == 200 || status == 500 ? successes + 1 : 0;
		g_usleep(20000);
	}
	r->recovered = successes >= RECOVERY_SUCCESSES;
	atomic_fetch_sub(&r->soak->recovering, 1);
	return NULL;
}

/* Check that every entry serves again now that all faults are cleared. */
static void check_recovery(struct soak *s)
{
	int64_t deadline_ms = time_mono_ms() + RECOVERY_MAX_MS;
	struct recovery checks[RIG_ENTRIES_MAX] = {0};

	atomic_store(&s->recovering, (int)s->entry_count);
	for (size_t i = 0; i < s->entry_count; i++) {
		checks[i].soak = s;
		checks[i].entry = i;
		checks[i].deadline_ms = deadline_ms;
		checks[i].thread =
			g_thread_new("recovery", recovery_thread, &checks[i]);
	}
	while (atomic_load(&s->recovering)) {
		restart_targets(s, time_mono_ms());
		restart_exited(s);
		g_usleep(20000);
	}
	for (size_t i = 0; i < s->entry_count; i++) {
		g_thread_join(checks[i].thread);
		if (!checks[i].recovered)
			ledger_record_broken(s->ledger,
					     "entry %d did not recover in time",
					     (int)i);
	}
}

/*
 * With all faults cleared, the request that crashes targets goes on to reach
 * them.
 */
static void check_deadly(struct soak *s)
{
	int before;

	for (size_t i = 0; i < 3 * s->entry_count ||
			   atomic_load(&s->deadly_sends) < DEADLY_CRASHES;
	     i++) {
		call_deadly(s, i % s->entry_count);
		g_usleep(300 * 1000);
		restart_targets(s, time_mono_ms());
	}
	g_usleep(CONTACT_MS * 1000);
	restart_targets(s, time_mono_ms());
	before = atomic_load(&s->deadly_sends);
	for (size_t i = 0; i < 3 * s->entry_count; i++)
		call_deadly(s, i % s->entry_count);
	if (atomic_load(&s->deadly_sends) - before > DEADLY_MORE)
		ledger_record_broken(s->ledger,
				     "a request reached %d targets after it "
				     "had crashed %d",
				     atomic_load(&s->deadly_sends) - before,
				     before);
}

/* Start the rig, the proxies and the entry processes behind them. */
static void set_up(struct soak *s)
{
	s->rig = rig_new(TARGETS, 0, run_script);
	for (size_t i = 0; i < TARGETS; i++)
		s->rig->targets[i].version = i ? "v1" : "v2";
	for (size_t i = 0; i < TARGETS; i++) {
		s->target_proxies[i] = proxy_new(s->rig->targets[i].port);
		s->rig->targets[i].advertised_port =
			proxy_port(s->target_proxies[i]);
		rig_publish(s->rig, i, "ready");
	}
	rig_write_config(s->rig, "k1");
	atomic_store(&s->key, 1);
	for (size_t i = 0; i < s->entry_count; i++) {
		char *text;

		for (size_t t = 0; s->entry_count <= WAYS_MAX && t < TARGETS;
		     t++) {
			s->ways[i][t] =
				proxy_new(proxy_port(s->target_proxies[t]));
			s->rig->stores[i].target_ports[t] =
				proxy_port(s->ways[i][t]);
		}
		s->store_proxies[i] = proxy_new(s->rig->stores[i].port);
		text = rig_entry_settings(s->rig, i,
					  proxy_port(s->store_proxies[i]));
		process_set_settings(&s->entries[i], text);
		g_free(text);
		process_start(&s->entries[i], s->program_path);
	}
}

static void tear_down(struct soak *s)
{
	for (size_t i = 0; i < s->entry_count; i++) {
		process_stop(&s->entries[i], SIGKILL);
		unlink(s->entries[i].settings_path);
		g_free(s->entries[i].settings_path);
		proxy_free(s->store_proxies[i]);
		for (size_t t = 0; i < WAYS_MAX && s->ways[i][t] && t < TARGETS;
		     t++)
			proxy_free(s->ways[i][t]);
	}
	for (size_t i = 0; i < TARGETS; i++)
		proxy_free(s->target_proxies[i]);
	rig_free(s->rig);
}

int main(int argc, char **argv)
{
	struct soak s = {0};
	GThread *callers[CALLERS];
	uint32_t seed = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;
	int64_t end_ms;
	int broken, taken_up, gone_on;

	signal(SIGPIPE, SIG_IGN);
	running_soak = &s;
	s.entry_count =
		argc > 3 ? (size_t)CLAMP(atoi(argv[3]), 1, RIG_ENTRIES_MAX)
			 : ENTRIES;
	end_ms = time_mono_ms() + 1000 * (argc > 2 ? atoi(argv[2]) : 10);
	s.program_path =
		getenv("RAMPENTRY") ? getenv("RAMPENTRY") : "bin/rampentry";
	s.fault_rand = g_rand_new_with_seed(seed);
	s.ledger = ledger_new();
	set_up(&s);
	for (int i = 0; i < CALLERS; i++)
		callers[i] = g_thread_new("caller", caller_thread, &s);
	while (time_mono_ms() < end_ms) {
		int64_t now_ms = time_mono_ms();

		inject_fault(&s, now_ms);
		g_usleep((gulong)g_rand_int_range(s.fault_rand, 100, 700) *
			 1000);
		restart_targets(&s, time_mono_ms());
		clear_faults(&s, time_mono_ms(), false);
		restart_exited(&s);
	}
	restart_targets(&s, INT64_MAX);
	clear_faults(&s, 0, true);
	check_recovery(&s);
	atomic_store(&s.stop, true);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(callers[i]);
	check_deadly(&s);
	tear_down(&s);
	broken = ledger_check(s.ledger);
	ledger_count_take_ups(s.ledger, &taken_up, &gone_on);
	printf("%s 1 - soak seed %u: %d served, %d of %d streams taken up went "
	       "on, %d guarantees broken\n1..1\n",
	       broken ? "not ok" : "ok", seed, ledger_served_count(s.ledger),
	       gone_on, taken_up, broken);
	ledger_free(s.ledger);
	g_rand_free(s.fault_rand);
	return broken != 0;
}
