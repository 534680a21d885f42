/*
 * outage: when the platform's store failed and since when it answers again, by
 * all calls to it and by what other nodes tell of theirs. Pure state; control
 * thread only.
 */
#ifndef OUTAGE_H
#define OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/* Interval at which readers ask a store that does not answer. */
#define OUTAGE_PROBE_MS 400

struct outage {
	int64_t current_ms; /* the store answered then or later; 0: never */
	int64_t since_ms;   /* first call that failed since; 0: none */
	int64_t failed_ms;  /* start of the last call that failed; 0: none */
	int64_t hanging_ms; /* start of one that gets no answer; 0: none */
	int64_t ended_ms;   /* first sign after an outage; 0: there was none */
};

/*
 * The store has answered a call of this node or of another one, sent at sent_ms
 * at the latest, of which this node learns now. A time without answers is an
 * outage only if a call failed in it: a node that was paused had none either.
 */
void outage_note_answer(struct outage *o, int64_t sent_ms, int64_t now_ms);
/*
 * The same of a reader's call, or of what another node tells of one: in an
 * outage the reader has asked in vain OUTAGE_PROBE_MS before.
 */
void outage_note_probed_answer(struct outage *o, int64_t sent_ms,
			       int64_t now_ms);
/* A call of this node that was sent at sent_ms has failed. */
void outage_note_failure(struct outage *o, int64_t sent_ms);
/* One has no answer for longer than is usual; 0: it has ended. */
void outage_note_hanging(struct outage *o, int64_t sent_ms);
/* Count as ended now: all rows may have to be written again. */
void outage_restart(struct outage *o, int64_t now_ms);
/* Return when the store was last known not to answer; 0: never. */
int64_t outage_last_ms(const struct outage *o);
/*
 * Return from when on rows that are missing in the store are those of targets
 * that have gone: targets whose rows expired during an outage write them again.
 */
int64_t outage_settled_ms(const struct outage *o);
/*
 * Whether what a read lacks has gone that began at a time: a call that is
 * answered later shows the store as it was when it was sent, at the earliest.
 */
bool outage_is_settled(const struct outage *o, int64_t read_started_ms);
/*
 * Return from when on a node that is no reader reads the targets itself: the
 * readers read when missing rows may be removed, and tell the others.
 */
int64_t outage_own_reads_ms(const struct outage *o);

#endif
