/*
 * call-watch: whether a call to the store that has no answer yet shows that the
 * store is in trouble. A store that has lately been slow to answer, as on a
 * busy machine, is not in trouble when it is slow again. Pure state; control
 * thread only.
 */
#ifndef CALL_WATCH_H
#define CALL_WATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Answers whose times are remembered. */
#define CALL_WATCH_ANSWERS 16

struct call_watch {
	int64_t started_ms; /* of the call in progress; 0: none */
	int64_t due_ms;     /* when it counts as hanging */
	struct call_answer {
		int64_t at_ms, took_ms; /* 0: none */
	} answers[CALL_WATCH_ANSWERS];
	size_t next; /* of the answers to be replaced */
};

/*
 * A call begins; failing: the last one has failed. Return when to ask whether
 * it is hanging.
 */
int64_t call_watch_begin(struct call_watch *w, int64_t now_ms, bool failing);
/*
 * Whether the call is hanging. If not, due_ms says when to ask again: a thread
 * that was paused has not looked for the answer.
 */
bool call_watch_is_hanging(struct call_watch *w, int64_t now_ms);
/* The call has ended; answered: by the store. */
void call_watch_end(struct call_watch *w, int64_t now_ms, bool answered);
/* Return the longest time that a recent answer took; 0: there was none. */
int64_t call_watch_slowest_ms(const struct call_watch *w, int64_t now_ms);

/*
 * A call that fails lets the node use its list of targets for the contact time.
 * Return the longest pause after it such that the next one, of which the store
 * has to answer within timeout_ms, shows within that time that the store is
 * still in trouble. delay_ms: by which the next one may be late.
 */
int64_t call_watch_pause_max_ms(int64_t contact_ms, int64_t timeout_ms,
				int64_t delay_ms);

#endif
