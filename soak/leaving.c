/*
 * leaving SEED SECONDS [ENTRIES [DRAIN_MS [slow|slow-judged]]]: one run in
 * which targets leave all the time, with their row as draining first or
 * without, several at once, and are replaced by others or come back under their
 * name. Meanwhile entries are paused, their ways to the store are delayed,
 * silent or cut, and their datagrams to other entries are lost or late, which
 * excuses none that reaches the store. slow: the store is slow for all at
 * times, which counts as a disturbance of the store; slow-judged: it does not
 * count. Prints a TAP line, and a comment line for each request that reached a
 * target later than bounds.drain after the store had acknowledged that it
 * leaves, from an entry that was in touch.
 *
 * Each attempt id names the entry that took the request from its caller.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "soak/soak.h"
#include "soak/test-harm.h"

#define ENTRIES     8 /* unless the command line says otherwise */
#define CALLERS     8
#define INSTANCES   10 /* that are in use */
#define SLOTS       40 /* addresses */
#define NUMBERS_MAX 4096
#define PROXIED     3    /* stand-ins behind the addresses */
#define LEAVING_MAX 4    /* that leave at once */
#define DRAIN_MS    2000 /* the same */
/* From the entry's send to the stand-in's read, through a proxy. */
#define TRANSPORT_MS 150
/* An entry is in touch when it had no trouble for this long. */
#define CONTACT_MS 3000
/*
 * A machine on which this process gets no processor for a while may delay the
 * others as well: such times count as transport, longer ones as trouble of all.
 */
#define LATE_BEAT_MS     20
#define TROUBLE_BEAT_MS  1000
#define LOST_FACTOR      2
#define BEAT_INTERVAL_MS 5
/* An address is used again this long after its target has left. */
#define ADDRESS_KEPT_MS 8000
/* Half of the entries have trouble; these change at this interval. */
#define DISTURBED_MS 9000
#define TROUBLE_ON   INT64_MAX
/* Slow answers of the store end before the entries' timeout. */
#define SLOW_MAX_MS 1200

/* A target that is or was listed; its name is never given to another one. */
struct instance {
	unsigned number; /* in its name; 0: the slot is free */
	bool listed;     /* its row is there */
	bool draining;
	bool removed_first; /* without draining before */
	bool judged;        /* the store was sound when it left */
	int64_t left_ms;    /* acknowledged; 0: in use */
	int64_t lost_ms;    /* of the soak, then */
	int64_t remove_ms;  /* when its row is removed; 0: not planned */
	int64_t back_ms;    /* when it comes back; 0: never */
	int64_t born_ms;
	int sequence;
	struct proxy *proxy;
};

struct soak_entry {
	struct entry_process process;
	struct proxy *store;
	int64_t clear_ms;    /* end of its fault; 0: none */
	int64_t harm_end_ms; /* of its ways to other entries; 0: none */
	int64_t trouble_ms;  /* end of the last one, or TROUBLE_ON */
	const char *fault;   /* the last one; for messages */
};

struct leaving_soak {
	struct rig *rig;
	struct ledger *ledger;
	GRand *rand; /* used by main only */
	size_t entry_count;
	struct soak_entry entries[RIG_ENTRIES_MAX];
	GMutex lock; /* guards the instances and all times of trouble */
	struct instance instances[SLOTS];
	unsigned last_number;
	int64_t store_trouble_ms; /* end of the last one, or TROUBLE_ON */
	int64_t outage_end_ms;    /* of the store; 0: none */
	int64_t slow_end_ms;      /* while the store is slow; 0: it isn't */
	bool slow, slow_judged;   /* see above */
	int64_t beat_ms, lost_ms; /* last beat; sum of the times without one */
	int drain_ms;
	char *bounds;
	size_t disturbed; /* the first of the entries that have trouble */
	/* By number, once their address is used again. */
	struct instance former[NUMBERS_MAX];
	int leavings, judged, in_drain, late, excused, refused;
	atomic_bool stop;
	char *program_path;
	GPtrArray *late_ids; /* attempts that were late */
};

static struct leaving_soak *running; /* a script has no context argument */

/* Whether a time is at least the contact time after the end of a trouble. */
static bool is_sound(int64_t trouble_ms, int64_t now_ms)
{
	return now_ms > trouble_ms && now_ms - trouble_ms > CONTACT_MS;
}

/* Note for how long this process had no processor; the lock is held. */
static void note_beat(struct leaving_soak *s, int64_t now_ms)
{
	int64_t lost_ms = s->beat_ms ? now_ms - s->beat_ms : 0;

	if (lost_ms > LATE_BEAT_MS)
		s->lost_ms += lost_ms;
	if (lost_ms > TROUBLE_BEAT_MS && s->store_trouble_ms != TROUBLE_ON)
		s->store_trouble_ms = now_ms;
	s->beat_ms = MAX(s->beat_ms, now_ms);
}

static void *beat_thread(void *arg)
{
	struct leaving_soak *s = arg;

	while (!atomic_load(&s->stop)) {
		g_mutex_lock(&s->lock);
		note_beat(s, time_mono_ms());
		g_mutex_unlock(&s->lock);
		g_usleep(BEAT_INTERVAL_MS * 1000);
	}
	return NULL;
}

/* Return the instance to which a request was sent; the lock is held. */
static struct instance find_instance(struct leaving_soak *s,
				     const struct rig_request *req)
{
	char *name = named_target(req);
	unsigned number = name ? (unsigned)atoi(name + 1) : 0;

	g_free(name);
	for (size_t i = 0; number && i < SLOTS; i++)
		if (s->instances[i].number == number)
			return s->instances[i];
	return number < NUMBERS_MAX ? s->former[number] : (struct instance){0};
}

/* Check the time of a request at a target. */
static void run_script(struct rig_request *req)
{
	struct leaving_soak *s = running;
	size_t e = (size_t)atoi(req->attempt_id + 1);
	int64_t now_ms = time_mono_ms(), ago_ms;
	struct instance i;
	bool late, judged;

	g_mutex_lock(&s->lock);
	note_beat(s, now_ms);
	i = find_instance(s, req);
	ago_ms = i.left_ms ? now_ms - i.left_ms : 0;
	late = ago_ms > s->drain_ms + TRANSPORT_MS +
				LOST_FACTOR * (s->lost_ms - i.lost_ms);
	judged = is_sound(s->store_trouble_ms, now_ms) &&
		 is_sound(s->entries[e].trouble_ms, now_ms);
	s->judged += judged;
	judged &= late && i.judged;
	s->in_drain += i.left_ms && !late;
	s->late += judged;
	s->excused += late && !judged;
	if (judged)
		g_ptr_array_add(s->late_ids, g_strdup(req->attempt_id));
	g_mutex_unlock(&s->lock);
	if (judged)
		ledger_record_broken(
			s->ledger,
			"i%u got a request of entry %d, %d ms after its "
			"leaving was acknowledged (%s), last trouble of "
			"the entry %d ms ago (%s)",
			i.number, (int)e, (int)ago_ms,
			i.removed_first ? "removed" : "draining",
			(int)(now_ms - s->entries[e].trouble_ms),
			s->entries[e].fault);
	if (!i.number)
		ledger_record_broken(s->ledger, "a request for no target: %s",
				     req->text);
	g_usleep(2000);
	respond_signed(req, 200, req->attempt_id);
}

/* Send requests to random entries until the soak stops. */
static void *caller_thread(void *arg)
{
	static atomic_uint last;
	struct leaving_soak *s = arg;

	while (!atomic_load(&s->stop)) {
		size_t e =
			(size_t)g_random_int_range(0, (gint32)s->entry_count);
		char *id = g_strdup_printf("e%d-%u", (int)e,
					   atomic_fetch_add(&last, 1));
		struct reply *r = rig_call_as(s->rig, e, id, "none", "GET",
					      "/safe/", NULL);

		if (r->status == 200 && r->complete) {
			ledger_record_served(s->ledger);
		} else {
			g_mutex_lock(&s->lock);
			s->refused++;
			g_mutex_unlock(&s->lock);
		}
		reply_free(r);
		g_free(id);
		g_usleep((gulong)g_random_int_range(2000, 20000));
	}
	return NULL;
}

/* Write the row of an instance, or remove it; the lock is not held. */
static void write_instance(struct leaving_soak *s, struct instance *i)
{
	/* Shorter names give colliding ids; see /platform/decode/target-ids. */
	char *name = g_strdup_printf("i%u-target-of-the-soak", i->number);
	char *address = g_strdup_printf("127.0.0.1:%d", proxy_port(i->proxy));
	json_t *j =
		json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I}", "Service",
			  "pool", "Address", address, "Zone", "a", "Version",
			  i->number % 2 ? "v1" : "v2", "Slots", 16, "State",
			  i->draining ? "draining" : "ready", "Sequence",
			  ++i->sequence, "born", (json_int_t)i->born_ms);

	rig_write_row(s->rig, "servers", name, i->listed ? j : NULL);
	json_decref(j);
	g_free(address);
	g_free(name);
}

/* List a new target at an address that is free for long enough. */
static void add_instance(struct leaving_soak *s)
{
	int64_t now_ms = time_mono_ms();

	for (size_t k = 0; k < SLOTS; k++) {
		struct instance *i = &s->instances[k];

		if (s->last_number + 1 == NUMBERS_MAX || i->listed ||
		    i->back_ms ||
		    (i->left_ms && now_ms - i->left_ms < ADDRESS_KEPT_MS))
			continue;
		g_mutex_lock(&s->lock);
		s->former[i->number] = *i;
		*i = (struct instance){.number = ++s->last_number,
				       .listed = true,
				       .born_ms = time_now_ms(),
				       .proxy = i->proxy};
		g_mutex_unlock(&s->lock);
		write_instance(s, i);
		return;
	}
}

static size_t count_in_use(const struct leaving_soak *s)
{
	size_t n = 0;

	for (size_t k = 0; k < SLOTS; k++)
		n += s->instances[k].listed && !s->instances[k].left_ms;
	return n;
}

/* Let a target leave, in one way or the other, and perhaps come back. */
static void let_leave(struct leaving_soak *s, struct instance *i)
{
	int64_t now_ms;
	bool drains = g_rand_boolean(s->rand);

	i->draining = drains;
	i->listed = drains;
	write_instance(s, i);
	now_ms = time_mono_ms();
	g_mutex_lock(&s->lock);
	i->removed_first = !drains;
	i->judged = is_sound(s->store_trouble_ms, now_ms);
	i->left_ms = now_ms;
	i->lost_ms = s->lost_ms;
	i->remove_ms =
		drains ? now_ms + g_rand_int_range(s->rand, 200, 4000) : 0;
	i->back_ms = g_rand_int_range(s->rand, 0, 4)
			     ? 0
			     : now_ms + g_rand_int_range(s->rand, 3000, 8000);
	s->leavings++;
	g_mutex_unlock(&s->lock);
}

/* Remove the rows that are due, and list targets again that come back. */
static void go_on(struct leaving_soak *s, int64_t now_ms)
{
	for (size_t k = 0; k < SLOTS; k++) {
		struct instance *i = &s->instances[k];

		if (i->remove_ms && now_ms >= i->remove_ms) {
			i->listed = false;
			i->remove_ms = 0;
			write_instance(s, i);
		}
		if (!i->back_ms || now_ms < i->back_ms || i->remove_ms)
			continue;
		g_mutex_lock(&s->lock);
		i->left_ms = 0;
		i->back_ms = 0;
		i->listed = true;
		i->draining = false;
		if (g_rand_boolean(s->rand))
			i->born_ms = time_now_ms();
		g_mutex_unlock(&s->lock);
		write_instance(s, i);
	}
}

/* Some targets leave at once; others take their places. */
static void replace(struct leaving_soak *s)
{
	int n = g_rand_int_range(s->rand, 1, LEAVING_MAX + 1);

	for (int tries = 0; n > 0 && tries < 4 * SLOTS; tries++) {
		struct instance *i =
			&s->instances[g_rand_int_range(s->rand, 0, SLOTS)];

		if (!i->listed || i->left_ms)
			continue;
		let_leave(s, i);
		n--;
	}
	while (count_in_use(s) < INSTANCES && s->last_number) {
		unsigned before = s->last_number;

		add_instance(s);
		if (s->last_number == before)
			return;
	}
}

/* Write heartbeats of some targets. */
static void write_heartbeats(struct leaving_soak *s)
{
	for (int n = 0; n < 6; n++) {
		struct instance *i =
			&s->instances[g_rand_int_range(s->rand, 0, SLOTS)];

		if (i->listed)
			write_instance(s, i);
	}
}

/* Begin a fault of one entry; the store goes on for the others. */
static void disturb_entry(struct leaving_soak *s, int64_t now_ms)
{
	static const enum proxy_fault faults[] = {
		PROXY_FAULT_DELAY, PROXY_FAULT_STALL, PROXY_FAULT_ONE_WAY,
		PROXY_FAULT_RESET, PROXY_FAULT_CUT};
	static const char *const names[] = {"store delayed", "store stalled",
					    "store one-way", "store reset",
					    "store cut"};
	size_t half = (s->entry_count + 1) / 2;
	size_t k = s->disturbed +
		   (size_t)g_rand_int_range(s->rand, 0, (gint32)half);
	struct soak_entry *e = &s->entries[k % s->entry_count];
	int kind = g_rand_int_range(s->rand, 0, 10);
	int fault = g_rand_int_range(s->rand, 0, G_N_ELEMENTS(faults));

	if (e->clear_ms)
		return;
	g_mutex_lock(&s->lock);
	e->trouble_ms = TROUBLE_ON;
	e->fault = kind < 5 ? "paused" : names[fault];
	g_mutex_unlock(&s->lock);
	/* Short pauses delay the answers that others wait for. */
	e->clear_ms =
		now_ms + (kind < 2 ? g_rand_int_range(s->rand, 50, 800)
				   : g_rand_int_range(s->rand, 500, 4500));
	if (kind >= 5) {
		proxy_set_fault(e->store, faults[fault]);
		return;
	}
	kill(e->process.pid, SIGSTOP);
	e->process.suspended = true;
}

/* Harm the ways of one entry to the others, in either or both directions. */
static void harm_peers(struct leaving_soak *s, int64_t now_ms)
{
	struct soak_entry *e = &s->entries[g_rand_int_range(
		s->rand, 0, (gint32)s->entry_count)];

	if (e->harm_end_ms)
		return;
	harm_peers_of(&e->process,
		      (char)g_rand_int_range(s->rand, PEER_HARM_NONE + 1,
					     PEER_HARM_END));
	e->harm_end_ms = now_ms + g_rand_int_range(s->rand, 500, 6000);
}

/* The store takes long for all entries; the soak's own writes are at once. */
static void begin_slow(struct leaving_soak *s, int64_t now_ms)
{
	if (s->slow_end_ms || s->outage_end_ms)
		return;
	if (!s->slow_judged) {
		g_mutex_lock(&s->lock);
		s->store_trouble_ms = TROUBLE_ON;
		g_mutex_unlock(&s->lock);
	}
	rig_set_store_slow(s->rig, SLOW_MAX_MS);
	s->slow_end_ms = now_ms + g_rand_int_range(s->rand, 2000, 6000);
}

static void begin_outage(struct leaving_soak *s, int64_t now_ms)
{
	if (s->outage_end_ms || s->slow_end_ms)
		return;
	g_mutex_lock(&s->lock);
	s->store_trouble_ms = TROUBLE_ON;
	g_mutex_unlock(&s->lock);
	rig_set_store_fault(s->rig, g_rand_boolean(s->rand)
					    ? STORE_FAULT_NO_ANSWER
					    : STORE_FAULT_UNAVAILABLE);
	s->outage_end_ms = now_ms + g_rand_int_range(s->rand, 500, 5000);
}

static void end_store_trouble(struct leaving_soak *s)
{
	g_mutex_lock(&s->lock);
	if (s->store_trouble_ms == TROUBLE_ON)
		s->store_trouble_ms = time_mono_ms();
	g_mutex_unlock(&s->lock);
}

/* End the faults that are due. */
static void clear_faults(struct leaving_soak *s, int64_t now_ms)
{
	for (size_t k = 0; k < s->entry_count; k++) {
		struct soak_entry *e = &s->entries[k];

		if (e->harm_end_ms && now_ms >= e->harm_end_ms) {
			harm_peers_of(&e->process, PEER_HARM_NONE);
			e->harm_end_ms = 0;
		}
		if (!e->clear_ms || now_ms < e->clear_ms)
			continue;
		proxy_set_fault(e->store, PROXY_FAULT_NONE);
		if (e->process.suspended)
			kill(e->process.pid, SIGCONT);
		e->process.suspended = false;
		e->clear_ms = 0;
		g_mutex_lock(&s->lock);
		e->trouble_ms = time_mono_ms();
		g_mutex_unlock(&s->lock);
	}
	if (s->slow_end_ms && now_ms >= s->slow_end_ms) {
		rig_set_store_slow(s->rig, 0);
		s->slow_end_ms = 0;
		end_store_trouble(s);
	}
	if (!s->outage_end_ms || now_ms < s->outage_end_ms)
		return;
	rig_set_store_fault(s->rig, STORE_FAULT_NONE);
	s->outage_end_ms = 0;
	end_store_trouble(s);
}

/* An entry that ends by itself breaks a guarantee; it isn't started again. */
static void check_exits(struct leaving_soak *s)
{
	for (size_t k = 0; k < s->entry_count; k++) {
		struct entry_process *p = &s->entries[k].process;
		int status;

		if (!p->pid || waitpid(p->pid, &status, WNOHANG) != p->pid)
			continue;
		p->pid = 0;
		process_print_log_tail(p);
		ledger_record_broken(s->ledger, "entry %d exited: status %d",
				     (int)k, status);
	}
}

/* Return settings in which the store is read as rarely as by default. */
static char *settings_text(struct leaving_soak *s, size_t k)
{
	char *text =
		rig_entry_settings(s->rig, k, proxy_port(s->entries[k].store));
	GString *out = g_string_new(text);

	g_string_replace(out, "targets_poll = 100\n", "", 0);
	g_string_replace(out, "timeout = 500\n", "", 0);
	g_free(text);
	return g_string_free(out, FALSE);
}

static void set_up(struct leaving_soak *s)
{
	s->rig = rig_new(PROXIED, 0, run_script);
	s->bounds = g_strdup_printf("drain = %d\n", s->drain_ms);
	s->rig->bounds = s->bounds;
	for (size_t t = 0; t < PROXIED; t++)
		rig_publish(s->rig, t, NULL);
	for (size_t k = 0; k < SLOTS; k++)
		s->instances[k].proxy =
			proxy_new(s->rig->targets[k % PROXIED].port);
	for (int n = 0; n < INSTANCES; n++)
		add_instance(s);
	for (size_t k = 0; k < s->entry_count; k++) {
		char *text;

		s->entries[k].store = proxy_new(s->rig->stores[k].port);
		s->entries[k].fault = "start";
		s->entries[k].process.harmed = true;
		text = settings_text(s, k);
		process_set_settings(&s->entries[k].process, text);
		g_free(text);
		process_start(&s->entries[k].process, s->program_path);
	}
	for (size_t k = 0; k < s->entry_count; k++) {
		WAIT_UNTIL(is_ready(s->rig->entries[k].ready_port));
		s->entries[k].trouble_ms = time_mono_ms();
	}
	s->store_trouble_ms = time_mono_ms();
}

/* Print what entry k has logged of a request that it took. */
static void print_request(const struct entry_process *p, const char *id,
			  size_t k)
{
	char *text;

	if ((size_t)atoi(id + 1) != k)
		return;
	text = g_strdup_printf("request=%s ", id);
	process_print_log_lines(p, text);
	g_free(text);
}

static void tear_down(struct leaving_soak *s)
{
	for (size_t k = 0; k < s->entry_count; k++) {
		struct entry_process *p = &s->entries[k].process;
		char *log = g_strconcat(p->settings_path, ".log", NULL);
		char *harm = g_strconcat(p->settings_path, ".harm", NULL);

		process_stop(p, SIGKILL);
		for (size_t i = 0; i < s->late_ids->len; i++)
			print_request(p, s->late_ids->pdata[i], k);
		remove(p->settings_path);
		remove(harm);
		g_free(harm);
		if (!getenv("KEEP_LOGS"))
			remove(log);
		g_free(log);
		g_free(p->settings_path);
		proxy_free(s->entries[k].store);
	}
	for (size_t k = 0; k < SLOTS; k++)
		proxy_free(s->instances[k].proxy);
	rig_free(s->rig);
	g_free(s->bounds);
}

/* Inject what the seed says until the end; all faults end before. */
static void run(struct leaving_soak *s, int64_t end_ms)
{
	int64_t next_ms = 0, change_ms = 0;

	while (time_mono_ms() < end_ms) {
		int64_t now_ms = time_mono_ms();

		clear_faults(s, now_ms);
		go_on(s, now_ms);
		check_exits(s);
		write_heartbeats(s);
		if (now_ms >= change_ms) {
			s->disturbed = (size_t)g_rand_int_range(
				s->rand, 0, (gint32)s->entry_count);
			change_ms = now_ms + DISTURBED_MS;
		}
		if (now_ms >= next_ms) {
			int what = g_rand_int_range(s->rand, 0, 150);

			if (what < 48)
				replace(s);
			else if (what < 119)
				disturb_entry(s, now_ms);
			else if (what < 148)
				harm_peers(s, now_ms);
			else if (s->slow)
				begin_slow(s, now_ms);
			else
				begin_outage(s, now_ms);
			next_ms = now_ms + g_rand_int_range(s->rand, 50, 500);
		}
		g_usleep(20 * 1000);
	}
	clear_faults(s, INT64_MAX);
}

int main(int argc, char **argv)
{
	static struct leaving_soak s;
	GThread *callers[CALLERS], *beats;
	uint32_t seed = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;
	int seconds = argc > 2 ? atoi(argv[2]) : 20, broken;

	signal(SIGPIPE, SIG_IGN);
	running = &s;
	s.entry_count =
		argc > 3 ? (size_t)CLAMP(atoi(argv[3]), 1, RIG_ENTRIES_MAX)
			 : ENTRIES;
	s.drain_ms = argc > 4 ? MAX(atoi(argv[4]), 100) : DRAIN_MS;
	s.program_path = getenv("RAMPENTRY") ? getenv("RAMPENTRY")
					     : "build/soak/harmed-entry";
	s.slow_judged = argc > 5 && !strcmp(argv[5], "slow-judged");
	s.slow = s.slow_judged || (argc > 5 && !strcmp(argv[5], "slow"));
	s.late_ids = g_ptr_array_new_with_free_func(g_free);
	s.rand = g_rand_new_with_seed(seed);
	s.ledger = ledger_new();
	set_up(&s);
	beats = g_thread_new("beat", beat_thread, &s);
	for (int i = 0; i < CALLERS; i++)
		callers[i] = g_thread_new("caller", caller_thread, &s);
	run(&s, time_mono_ms() + 1000 * (int64_t)seconds);
	atomic_store(&s.stop, true);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(callers[i]);
	g_thread_join(beats);
	tear_down(&s);
	broken = ledger_check(s.ledger);
	printf("%s 1 - leaving seed %u: %d served, %d not, %d targets left, "
	       "%d requests in their drain time, %d judged, %d late, "
	       "%d late but excused, %d ms lost\n1..1\n",
	       broken ? "not ok" : "ok", seed, ledger_served_count(s.ledger),
	       s.refused, s.leavings, s.in_drain, s.judged, s.late, s.excused,
	       (int)s.lost_ms);
	ledger_free(s.ledger);
	g_ptr_array_unref(s.late_ids);
	g_rand_free(s.rand);
	return broken != 0;
}
