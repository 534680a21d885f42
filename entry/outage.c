/* When the platform's store failed and when it is back. See outage.h. */
#include "base/base.h"
#include "entry/outage.h"

/*
 * The store counts as down after this time without an answer, and this time
 * after the first call that failed in it: a single call may fail for other
 * reasons.
 */
#define OUTAGE_MS  2500
#define FAILING_MS 2000
/*
 * Targets whose rows expired during an outage write them again within about 2 s
 * of its end.
 */
#define RECOVERY_MS 2300
/* In which other nodes have told of the rows that were removed then. */
#define TOLD_MS 500

void outage_note_answer(struct outage *o, int64_t sent_ms, int64_t now_ms)
{
	bool failed = o->since_ms && sent_ms - o->since_ms > FAILING_MS;

	/* A call may have been sent during the outage and answered after it. */
	if (o->current_ms && failed && sent_ms - o->current_ms > OUTAGE_MS)
		o->ended_ms = now_ms;
	if (sent_ms >= o->since_ms)
		o->since_ms = 0;
	o->current_ms = MAX(o->current_ms, sent_ms);
}

void outage_note_probed_answer(struct outage *o, int64_t sent_ms,
			       int64_t now_ms)
{
	int64_t ended = o->ended_ms;

	outage_note_answer(o, sent_ms, now_ms);
	if (o->ended_ms != ended)
		outage_note_failure(o, sent_ms - OUTAGE_PROBE_MS);
}

void outage_note_failure(struct outage *o, int64_t sent_ms)
{
	if (!o->since_ms)
		o->since_ms = sent_ms;
	o->failed_ms = MAX(o->failed_ms, sent_ms);
}

void outage_note_hanging(struct outage *o, int64_t sent_ms)
{
	if (!o->since_ms)
		o->since_ms = sent_ms;
	o->hanging_ms = sent_ms;
}

void outage_restart(struct outage *o, int64_t now_ms)
{
	o->ended_ms = now_ms;
	o->current_ms = MAX(o->current_ms, now_ms);
}

int64_t outage_last_ms(const struct outage *o)
{
	return MAX(o->failed_ms, o->hanging_ms);
}

int64_t outage_settled_ms(const struct outage *o)
{
	return o->ended_ms ? o->ended_ms + RECOVERY_MS : 0;
}

bool outage_is_settled(const struct outage *o, int64_t read_started_ms)
{
	return read_started_ms >= outage_settled_ms(o);
}

int64_t outage_own_reads_ms(const struct outage *o)
{
	return o->ended_ms ? outage_settled_ms(o) + TOLD_MS : 0;
}
