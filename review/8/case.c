/*
 * While engines name a Server-Limit, most streams that requesters take up after
 * an entry was killed are refused. See claim.txt.
 */
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "review/stand-ins-2/stand-in.h"

#define FOLDER   "review/8"
#define ENTRIES  3
#define ENGINES  9
#define KILLED   0 /* index of the entry that is killed */
#define EVENTS   40
#define EVENT_US 100000
/* Each engine takes 3 requests a second; all of them 27. */
#define LIMIT       "Server-Limit: 3\r\n"
#define PER_S       32
#define DEADLINE_MS 15000
#define WARM_MS     9000 /* before the kill */
#define AFTER_MS    6000 /* in which new streams are sent */
#define STREAMS_MAX 1000
/* "Of 12 or more streams [...] under half of the share of new streams" */
#define TAKEN_UP_MIN 12
#define PARTS        40 /* shared first parts of prompts */

static atomic_int asked, began, taken_up, gone_on, failed;

static bool answer(struct engine_request *r)
{
	bool ok = send_stream_head(r, LIMIT);

	for (int i = r->last_event + 1; i <= EVENTS && ok; i++) {
		ok = send_event(r, i);
		g_usleep(EVENT_US);
	}
	return ok && send_stream_end(r);
}

static size_t random_entry(void)
{
	size_t i;

	do
		i = (size_t)g_random_int_range(0, ENTRIES);
	while (!entry_runs(i));
	return i;
}

/* Ask for a stream, or for the rest of one; -1: the entry is gone. */
static int ask(const char *id, const char *prompt, const char *more,
	       int left_ms, struct reply *r)
{
	size_t entry = random_entry();
	char *headers = g_strconcat(prompt, more, NULL);
	int fd = connect_to(entry, 0);

	memset(r, 0, sizeof(*r));
	if (fd >= 0) {
		send_request(fd, "/stream/a", id, left_ms, headers);
		read_reply(fd, 0, r);
		close(fd);
	}
	g_free(headers);
	record("%s to entry %d: %s%s status=%d complete=%d last_event=%d "
	       "retry_after=%.3f",
	       id, (int)entry + 1, *more ? "take-up " : "new",
	       *more ? strstr(more, "Resumes:") : "", r->status, r->complete,
	       r->last_event, r->retry_after_s);
	return fd;
}

/* A requester: one request, and one take-up if the stream breaks off. */
static void *request(void *p)
{
	char *id = new_id(), *other = new_id(), *more;
	char *prompt =
		g_strdup_printf("Auburnramp-Prefix-Hash: %x:512,%s:20\r\n"
				"Auburnramp-Token-Usage: 532,200\r\n"
				"Auburnramp-Model: m\r\n",
				g_random_int_range(1, PARTS), id);
	struct reply r;
	int fd;

	(void)p;
	atomic_fetch_add(&asked, 1);
	fd = ask(id, prompt, "", DEADLINE_MS, &r);
	if (fd < 0)
		atomic_fetch_add(&failed, 1);
	if (r.last_event)
		atomic_fetch_add(&began, 1);
	if (r.last_event && !r.complete) {
		int last = r.last_event;

		more = g_strdup_printf("Last-Event-Id: %d\r\nResumes: %s\r\n",
				       last, id);
		atomic_fetch_add(&taken_up, 1);
		ask(other, prompt, more, DEADLINE_MS - last * 100, &r);
		if (r.last_event > last || (r.status == 200 && r.complete))
			atomic_fetch_add(&gone_on, 1);
		g_free(more);
	}
	g_free(prompt);
	g_free(id);
	g_free(other);
	return NULL;
}

int main(void)
{
	GThread *threads[STREAMS_MAX];
	int64_t began_us, end_us;
	size_t n = 0;
	bool killed = false, broken;
	double new_share, on_share;

	signal(SIGPIPE, SIG_IGN);
	stand_ins_start(FOLDER);
	for (int i = 0; i < ENGINES; i++)
		start_engine("v1", answer);
	start_entries(ENTRIES);
	wait_until_ready();
	sleep(4);
	began_us = g_get_monotonic_time();
	end_us = began_us + (WARM_MS + AFTER_MS) * 1000;
	while (g_get_monotonic_time() < end_us && n < STREAMS_MAX) {
		int64_t next_us = began_us + (int64_t)n * 1000000 / PER_S;
		int64_t now_us = g_get_monotonic_time();

		if (!killed && has_trouble() &&
		    now_us - began_us >= WARM_MS * 1000) {
			signal_entry(KILLED, SIGKILL);
			killed = true;
		}
		if (now_us < next_us) {
			g_usleep(MIN((gulong)(next_us - now_us), 5000));
			continue;
		}
		threads[n++] = g_thread_new("requester", request, NULL);
	}
	for (size_t i = 0; i < n; i++)
		g_thread_join(threads[i]);
	new_share = (double)began / MAX(asked, 1);
	on_share = taken_up ? (double)gone_on / taken_up : 1;
	if (began < asked / 2 || failed > asked / 20 ||
	    (has_trouble() && taken_up < TAKEN_UP_MIN))
		give_up("of %d streams %d began, %d entries could not be "
			"reached, %d were taken up",
			asked, began, failed, taken_up);
	broken = taken_up >= TAKEN_UP_MIN && on_share < new_share / 2;
	record("of %d new streams %d began (%.2f), of %d taken up %d went on "
	       "(%.2f): LOST %s",
	       asked, began, new_share, taken_up, gone_on, on_share,
	       broken ? "is broken" : "holds");
	stop_entries();
	return broken;
}
