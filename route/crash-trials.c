/*
 * A blocked key is tried again, as what crashed the targets may have been
 * something else, or is over. A trial that ends in a crash costs a target, and
 * the rules allow three requests that reach targets later than ContactMs after
 * the crash that the fleet must know of (the third of a request, the fifth with
 * a part). Counted here, from the crashes in the record, which all nodes have,
 * are those later than SETTLED_MS after that crash: SETTLED_MS is less than
 * ContactMs, so no fewer than the rules count.
 *
 * | so far | a key that was sound before its crashes | another key |
 * | 0      | after 1 s                               | after 60 s  |
 * | 1      | after 4 s                               | after 120 s |
 * | 2      | after 240 s, as for other keys          | after 240 s |
 *
 * and so on, each time twice as long; a part has one early trial, then waits
 * 120 s. So a key that was sound has two early trials, of which one that begins
 * within ContactMs isn't counted by the rules, and a third four minutes later;
 * what a disagreement costs in between is counted as well, and puts off the
 * next trial.
 *
 * No node coordinates the trials. The nodes take turns in the key's rendezvous
 * order: the first when the time has come, the others later by TURN_MS times
 * the logarithm of their rank, as the key may not come at the first one, which
 * may also be gone. One that begins a trial tells all others, which then wait
 * for its result. A crash comes to their records, so that all wait again; a
 * response frees the key. A trial without either is repeated after a time that
 * doubles. Nodes whose views of the fleet differ may begin two trials at most
 * within the time that a message takes. The store has no part in this.
 */
#include "route/crash-trials.h"
#include "route/crash-evidence.h"

/* See the top. */
#define SETTLED_MS    1000
#define FIRST_WAIT_MS 60000
/* Crashes of trials come further apart than this. */
#define APART_MS 500
#define TURN_MS  500
/* A part comes at more nodes at once, so more of its trials coincide. */
#define EARLY_TRIALS_REQUEST 2
#define EARLY_TRIALS_PART    1
/* Trials of a key that was sound, by the number of failed trials. */
static const int64_t early_wait_ms[EARLY_TRIALS_REQUEST] = {1000, 4000};
/* Time for the result of the first trial to arrive. */
#define RESULT_MS       10000
#define EARLY_RESULT_MS 1500
#define RESULT_MAX_MS   24000
/* A time without crashes, in which a trial says more, and how long to wait. */
#define QUIET_MS     500
#define QUIET_MAX_MS 2000

/* Count the trials that ended in a crash, at any node. */
static size_t count_failed(const struct cause_record *r,
			   const struct crash_trial_view *v)
{
	int64_t counted_ms = 0;
	size_t n = 0;

	for (size_t i = v->allow; i < r->crash_count; i++) {
		int64_t at_ms = r->crashes[i].at_ms;

		if (v->common[i] ||
		    at_ms - r->crashes[v->allow - 1].at_ms <= SETTLED_MS ||
		    (counted_ms && at_ms - counted_ms < APART_MS))
			continue;
		counted_ms = at_ms;
		n++;
	}
	return n;
}

/* Return log2(n + 1) x TURN_MS, linear between powers of 2. */
static int64_t turn_ms(size_t n)
{
	size_t power = 1;
	int64_t ms = 0;

	for (n++; n >= 2 * power; power *= 2)
		ms += TURN_MS;
	return ms + (int64_t)((n - power) * TURN_MS / power);
}

static int64_t last_crash_ms(const struct cause_record *r)
{
	return r->crash_count ? r->crashes[r->crash_count - 1].at_ms : 0;
}

/* Return the time from a key's last crash to the next trial. */
static int64_t wait_ms(const struct cause_record *r,
		       const struct crash_trial_view *v)
{
	size_t failed = count_failed(r, v);

	if (crash_evidence_was_sound(r) &&
	    failed < (r->whole ? EARLY_TRIALS_REQUEST : EARLY_TRIALS_PART))
		return early_wait_ms[failed];
	return FIRST_WAIT_MS << failed;
}

static int64_t result_ms(const struct crash_trials *t, bool was_sound)
{
	int64_t ms = was_sound ? EARLY_RESULT_MS : RESULT_MS;

	for (unsigned i = 1; i < t->count && ms < RESULT_MAX_MS; i++)
		ms *= 2;
	return MIN(ms, RESULT_MAX_MS);
}

bool crash_trials_due(const struct crash_trials *t,
		      const struct cause_record *r,
		      const struct crash_trial_view *v, int64_t now_ms)
{
	int64_t at_ms = last_crash_ms(r);

	if (!at_ms)
		return false;
	if (t->at_ms > at_ms &&
	    now_ms - t->at_ms < result_ms(t, crash_evidence_was_sound(r)))
		return false;
	at_ms += wait_ms(r, v) + turn_ms(v->rank);
	return now_ms >= at_ms && (now_ms - v->last_crash_ms >= QUIET_MS ||
				   now_ms - at_ms >= QUIET_MAX_MS);
}

int64_t crash_trials_begin(struct crash_trials *t, const struct cause_record *r,
			   int64_t now_ms)
{
	if (t->at_ms <= last_crash_ms(r))
		t->count = 0;
	t->count++;
	t->at_ms = now_ms;
	return result_ms(t, crash_evidence_was_sound(r));
}
